//! Invalid settings, unknown ids, and random event sequences under which the delivery rules must hold.

mod common;

use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use waydoor::*;

/// Name of the setting that the error names after `change`.
fn invalid_setting(change: impl Fn(&mut Settings)) -> String {
    let mut settings = settings();
    change(&mut settings);
    Dispatcher::new(settings, 1).expect_err("these settings are invalid").name
}

#[test]
fn invalid_settings_are_named() {
    assert_eq!(invalid_setting(|s| s.max_concurrent_calls = 0), "slots");
    assert_eq!(invalid_setting(|s| s.max_messages = 0), "room");
    assert_eq!(invalid_setting(|s| s.max_attempts = 0), "attempts");
    assert_eq!(invalid_setting(|s| s.dispatcher_count = 0), "dispatchers");
    assert_eq!(invalid_setting(|s| s.classes[0].deadline = f64::NAN), "classes[0].deadline");
    assert_eq!(invalid_setting(|s| s.classes[1].target_latency = -1.0), "classes[1].aim");
    assert_eq!(invalid_setting(|s| s.classes[0].late_value_share = 2.0), "classes[0].late_share");
    assert_eq!(
        invalid_setting(|s| s.classes[1].effect = Effect::Keyed { window: 0.0, by_zone: false }),
        "classes[1].effect.window"
    );
    assert_eq!(invalid_setting(|s| s.slow_start.overload_window = f64::INFINITY), "returning.window");
    assert_eq!(invalid_setting(|s| s.slow_start.cold_capacity_share = 0.0), "returning.cold_share");
    assert_eq!(invalid_setting(|s| s.order_key_cooldown = f64::NAN), "key_rest");
    assert_eq!(invalid_setting(|s| s.tenants = vec![Tenant { quota: 0.0 }]), "tenants[0].quota");
    assert_eq!(invalid_setting(|s| s.over_quota_value = 1.5), "over_share_worth");
    assert_eq!(
        invalid_setting(|s| s.discovery_mode = DiscoveryMode::Subscription { max_renewal_interval: 0.0 }),
        "listing.ask_within"
    );
}

#[test]
fn unknown_late_and_repeated_events_have_no_effect() {
    let mut harness = Harness::new(settings());
    harness.end_attempt(77, 1, 0, Outcome::Served, 0.1);
    harness.end_attempt(77, 99, 3, Outcome::TimedOut, 0.1);
    harness.handle(Event::Withdrawn(MessageId(5)));
    harness.handle(Event::TimerFired(12345));
    harness.handle(Event::ProbeEnded {
        endpoint: EndpointId(99),
        outcome: Outcome::Error,
        latency: 0.1,
        rate_limit_report: None,
    });
    harness.handle(Event::ListUpdate(vec![EndpointEntry { kind: 50, ..entry(9, 9) }]));
    assert!(harness.run_round().is_empty());
    harness.accept(1, 0, 1);
    harness.accept(1, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.end_attempt(1, 1, 4, Outcome::Overloaded, 0.1);
    assert!(
        harness.run_until(1001.0).is_empty(),
        "the outcome of an attempt that was never made has no effect"
    );
    harness.end_attempt(1, 1, 0, Outcome::Served, 0.1);
    harness.end_attempt(1, 1, 0, Outcome::Served, 0.1);
    harness.accept(1, 0, 1);
    assert!(harness.run_until(1030.0).is_empty(), "the message has already ended");
    assert!(!harness.is_rejected(1) && !harness.is_failed(1));
}

#[test]
fn a_message_of_an_unknown_class_is_rejected() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 50, 1);
    assert!(harness.run_round().is_empty());
    assert!(harness.is_rejected(1));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let actions_of_run = || {
        let mut harness = Harness::new(settings());
        let mut all_actions = Vec::new();
        for id in 0..60 {
            harness.accept(id, (id % 3) as usize, 1 + (id % 3) as u32);
            for sent in harness.run_round() {
                let outcome = if id % 4 == 0 { Outcome::Overloaded } else { Outcome::Error };
                harness.end_attempt(sent.id, sent.endpoint, 0, outcome, 0.1);
            }
            all_actions.extend(harness.actions.clone());
            harness.now += 0.1;
        }
        all_actions
    };
    assert_eq!(actions_of_run(), actions_of_run());
}

/// A step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Accept {
        class: usize,
        destination: u32,
        key: u64,
    },
    /// Ends the attempt with this index among those in flight.
    End {
        index: usize,
        outcome: usize,
        with_retry_after: bool,
    },
    Wait(f64),
    List {
        endpoint: u64,
        state: usize,
    },
    Withdraw(u64),
    /// Repeats the last end of an attempt.
    Repeat,
    /// Replaces the dispatcher by a new one.
    Restart,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, 1..4u32, 0..3u64)
            .prop_map(|(class, destination, key)| Step::Accept { class, destination, key }),
        8 => (0..8usize, 0..7usize, any::<bool>())
            .prop_map(|(index, outcome, with_retry_after)| Step::End { index, outcome, with_retry_after }),
        6 => (0.0..1.5f64).prop_map(Step::Wait),
        1 => (1..5u64, 0..3usize).prop_map(|(endpoint, state)| Step::List { endpoint, state }),
        1 => (0..40u64).prop_map(Step::Withdraw),
        1 => Just(Step::Repeat),
        1 => Just(Step::Restart),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::NotSent,
    Outcome::AttemptsExhausted,
];

/// What the checker recorded of a message.
#[derive(Clone, Debug)]
struct TrackedMessage {
    class: usize,
    destination: u32,
    key: Option<u64>,
    deadline: f64,
    attempts: u32,
    /// Endpoint, start and timeout of the attempt in flight.
    in_flight: Option<(u64, f64, f64)>,
    first_uncertain_start: Option<f64>,
    may_have_run: bool,
    final_outcomes: u32,
    withdrawn: bool,
    /// An endpoint said that it has used up its attempts.
    attempts_exhausted: bool,
}

/// Records what happened and checks the delivery rules, independently of the dispatcher's state.
#[derive(Default)]
struct Checker {
    messages: BTreeMap<u64, TrackedMessage>,
    key_queues: BTreeMap<u64, Vec<u64>>,
    key_paused_until: BTreeMap<u64, f64>,
    retry_after_until: BTreeMap<u32, f64>,
    is_ready: BTreeMap<u64, bool>,
}

fn destination_of(endpoint: u64) -> u32 {
    if endpoint == 4 { 1 } else { endpoint as u32 }
}

impl Checker {
    /// Checks and records the actions of a round.
    fn check_round(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let key_state = self.messages.get(&id.0).and_then(|message| message.key).map(|key| {
                        let next_of_key = self.key_queues[&key].iter().find(|id| {
                            let message = &self.messages[id];
                            message.in_flight.is_some() || !(message.withdrawn || message.final_outcomes > 0)
                        });
                        (next_of_key.copied(), self.key_paused_until.get(&key).copied())
                    });
                    let message = self.messages.get_mut(&id.0).expect("the message was accepted");
                    assert!(message.in_flight.is_none(), "two attempts in flight");
                    assert!(message.final_outcomes == 0 && !message.withdrawn, "sent after its end");
                    assert!(!message.attempts_exhausted, "sent after its last attempt");
                    assert!(now + timeout <= message.deadline, "the attempt outlasts the deadline");
                    assert!(self.is_ready[&endpoint.0], "sent to a draining or removed endpoint");
                    assert_eq!(destination_of(endpoint.0), message.destination);
                    assert!(
                        self.retry_after_until.get(&message.destination).is_none_or(|until| now >= *until),
                        "during a retry-after"
                    );
                    match message.class {
                        1 => assert!(
                            message.first_uncertain_start.is_none_or(|first| now <= first + 12.0),
                            "after the key's window"
                        ),
                        2 => assert!(
                            !message.may_have_run,
                            "an unsafe message that may have run was sent again"
                        ),
                        _ => {}
                    }
                    if let Some((next_of_key, key_paused_until)) = key_state {
                        assert_eq!(next_of_key, Some(id.0), "out of order");
                        assert!(
                            message.attempts > 0 || key_paused_until.is_none_or(|until| now >= until),
                            "the key is paused"
                        );
                    }
                    message.attempts += 1;
                    assert!(message.attempts <= 6);
                    message.in_flight = Some((endpoint.0, now, *timeout));
                }
                Action::Reject(id) | Action::Fail(id) => {
                    let message = self.messages.get_mut(&id.0).expect("the message was accepted");
                    assert!(message.in_flight.is_none(), "ended with an attempt in flight");
                    assert!(!message.withdrawn && message.final_outcomes == 0, "ended twice");
                    let rejected = matches!(action, Action::Reject(_));
                    assert!(
                        !(rejected && message.class == 2 && message.may_have_run),
                        "an unsafe message that may have run was rejected"
                    );
                    assert!(now <= message.deadline, "ended after its deadline");
                    message.final_outcomes += 1;
                }
                Action::Probe(endpoint) => {
                    assert!(self.is_ready[&endpoint.0], "probe of a draining or removed endpoint");
                    let destination = destination_of(endpoint.0);
                    assert!(
                        self.retry_after_until.get(&destination).is_none_or(|until| now >= *until),
                        "during a retry-after"
                    );
                }
                _ => {}
            }
        }
    }
}

fn new_dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings(), 3).unwrap();
    dispatcher.handle(1000.0, Event::ListSnapshot(vec![entry(1, 1), entry(2, 2), entry(3, 3), entry(4, 1)]));
    dispatcher
}

/// Runs the steps, then waits until all messages have ended, and checks each round.
fn run_steps(steps: Vec<Step>) {
    let mut dispatcher = new_dispatcher();
    let mut checker =
        Checker { is_ready: (1..5).map(|endpoint| (endpoint, true)).collect(), ..Checker::default() };
    let mut now = 1000.0;
    let mut next_id = 0;
    let mut actions = Vec::new();
    let mut last_end = None;
    let mut steps = steps;
    // Time in which all unfinished messages end.
    steps.extend((0..60).map(|_| Step::Wait(0.5)));
    for step in steps {
        let mut until = now;
        match step {
            Step::Accept { class, destination, key } => {
                let id = next_id;
                next_id += 1;
                let key = (class == 3 && key > 0).then_some(key);
                let deadline = now + 20.0;
                let message = Message {
                    id: MessageId(id),
                    class,
                    destination: DestinationId(destination),
                    deadline,
                    key: key.map(OrderKey),
                    tenant: 0,
                    over_quota: None,
                };
                let (attempts, final_outcomes) = (0, 0);
                let tracked = TrackedMessage {
                    class,
                    destination,
                    key,
                    deadline,
                    attempts,
                    in_flight: None,
                    first_uncertain_start: None,
                    may_have_run: false,
                    final_outcomes,
                    withdrawn: false,
                    attempts_exhausted: false,
                };
                checker.messages.insert(id, tracked);
                if let Some(key) = key {
                    checker.key_queues.entry(key).or_default().push(id);
                }
                dispatcher.handle(now, Event::Accepted(message));
            }
            Step::End { index, outcome, with_retry_after } => {
                let in_flight: Vec<u64> = checker
                    .messages
                    .iter()
                    .filter(|(_, message)| message.in_flight.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = in_flight.get(index % in_flight.len().max(1)).copied() {
                    last_end = Some(end_attempt(
                        &mut checker,
                        &mut dispatcher,
                        now,
                        id,
                        OUTCOMES[outcome],
                        with_retry_after,
                    ));
                }
            }
            Step::Wait(time) => until = now + time,
            Step::List { endpoint, state } => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][state];
                checker.is_ready.insert(endpoint, state == EndpointState::Ready);
                let update = EndpointEntry { state, ..entry(endpoint, destination_of(endpoint)) };
                dispatcher.handle(now, Event::ListUpdate(vec![update]));
            }
            Step::Withdraw(id) => {
                if let Some(message) = checker.messages.get_mut(&id) {
                    message.withdrawn = true;
                }
                dispatcher.handle(now, Event::Withdrawn(MessageId(id)));
            }
            Step::Repeat => {
                if let Some(event) = last_end {
                    dispatcher.handle(now, Event::AttemptEnded(event));
                }
            }
            Step::Restart => {
                dispatcher = new_dispatcher();
                let entries: Vec<_> = checker
                    .is_ready
                    .iter()
                    .map(|(endpoint, ready)| EndpointEntry {
                        state: if *ready { EndpointState::Ready } else { EndpointState::Removed },
                        ..entry(*endpoint, destination_of(*endpoint))
                    })
                    .collect();
                dispatcher.handle(now, Event::ListSnapshot(entries));
                checker = Checker { is_ready: std::mem::take(&mut checker.is_ready), ..Checker::default() };
                last_end = None;
            }
        }
        loop {
            actions.clear();
            dispatcher.decide(now, &mut actions);
            checker.check_round(now, &actions);
            if now >= until {
                break;
            }
            now += 0.01;
            // End attempts whose timeout has passed.
            let timed_out: Vec<u64> = checker
                .messages
                .iter()
                .filter(|(_, message)| message.in_flight.is_some_and(|(_, at, timeout)| now >= at + timeout))
                .map(|(id, _)| *id)
                .collect();
            for id in timed_out {
                end_attempt(&mut checker, &mut dispatcher, now, id, Outcome::TimedOut, false);
            }
        }
    }
    for (id, message) in &checker.messages {
        assert!(
            message.withdrawn || message.final_outcomes == 1,
            "message {id} has no final outcome: {message:?}"
        );
    }
}

/// Ends the attempt of a message in flight, and records its end.
fn end_attempt(
    checker: &mut Checker, dispatcher: &mut Dispatcher, now: f64, id: u64, outcome: Outcome,
    with_retry_after: bool,
) -> AttemptEnd {
    let message = checker.messages.get_mut(&id).unwrap();
    let (endpoint, started_at, _) = message.in_flight.take().unwrap();
    let surely_not_run = matches!(
        outcome,
        Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::AttemptsExhausted
    );
    message.attempts_exhausted |= outcome == Outcome::AttemptsExhausted;
    if !surely_not_run {
        message.may_have_run = true;
        message.first_uncertain_start.get_or_insert(started_at);
    }
    let retry_after = (with_retry_after && outcome == Outcome::Overloaded).then_some(1.5);
    if let Some(delay) = retry_after {
        let until = checker.retry_after_until.entry(message.destination).or_insert(0.0);
        *until = until.max(now + delay);
    }
    if let (Outcome::TimedOut | Outcome::ConnectionReset, Some(key)) = (outcome, message.key) {
        checker.key_paused_until.insert(key, now + 2.0);
    }
    let settled = outcome == Outcome::Served;
    if settled {
        message.final_outcomes += 1;
    }
    let attempt_end = AttemptEnd {
        id: MessageId(id),
        endpoint: EndpointId(endpoint),
        attempt: message.attempts - 1,
        outcome,
        retry_after,
        settled,
        latency: now - started_at,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: outcome.answered(),
    };
    dispatcher.handle(now, Event::AttemptEnded(attempt_end));
    attempt_end
}

#[test]
fn random_event_sequences_keep_the_rules() {
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let rng =
        proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    let sequences = proptest::collection::vec(step_strategy(), 1..120);
    runner
        .run(&sequences, |steps| {
            run_steps(steps);
            Ok(())
        })
        .unwrap();
}
