//! Settings that make no sense, ids that are unknown, and random days on which the rules must hold.

mod common;

use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use waydoor::*;

fn fault(change: impl Fn(&mut Settings)) -> String {
    let mut own = settings();
    change(&mut own);
    Dispatcher::new(own, 1).expect_err("these settings make no sense").name
}

#[test]
fn senseless_settings_are_named() {
    assert_eq!(fault(|s| s.max_concurrent_calls = 0), "slots");
    assert_eq!(fault(|s| s.max_messages = 0), "room");
    assert_eq!(fault(|s| s.max_attempts = 0), "attempts");
    assert_eq!(fault(|s| s.dispatcher_count = 0), "dispatchers");
    assert_eq!(fault(|s| s.classes[0].deadline = f64::NAN), "classes[0].deadline");
    assert_eq!(fault(|s| s.classes[1].target_latency = -1.0), "classes[1].aim");
    assert_eq!(fault(|s| s.classes[0].late_value_share = 2.0), "classes[0].late_share");
    assert_eq!(
        fault(|s| s.classes[1].effect = Effect::Keyed { window: 0.0, by_zone: false }),
        "classes[1].effect.window"
    );
    assert_eq!(fault(|s| s.slow_start.overload_window = f64::INFINITY), "returning.window");
    assert_eq!(fault(|s| s.slow_start.cold_capacity_share = 0.0), "returning.cold_share");
    assert_eq!(fault(|s| s.order_key_cooldown = f64::NAN), "key_rest");
    assert_eq!(fault(|s| s.tenants = vec![Tenant { quota: 0.0 }]), "tenants[0].quota");
    assert_eq!(fault(|s| s.over_quota_value = 1.5), "over_share_worth");
    assert_eq!(
        fault(|s| s.discovery_mode = DiscoveryMode::Subscription { max_renewal_interval: 0.0 }),
        "listing.ask_within"
    );
}

#[test]
fn unknown_late_and_repeated_events_change_nothing() {
    let mut stage = Stage::new(settings());
    stage.end(77, 1, 0, Outcome::Served, 0.1);
    stage.end(77, 99, 3, Outcome::TimedOut, 0.1);
    stage.event(Event::Withdrawn(MessageId(5)));
    stage.event(Event::TimerFired(12345));
    stage.event(Event::ProbeEnded {
        endpoint: EndpointId(99),
        outcome: Outcome::Error,
        latency: 0.1,
        rate_limit_report: None,
    });
    stage.event(Event::ListUpdate(vec![EndpointEntry { kind: 50, ..entry(9, 9) }]));
    assert!(stage.round().is_empty());
    stage.take(1, 0, 1);
    stage.take(1, 0, 1);
    assert_eq!(stage.round().len(), 1);
    stage.end(1, 1, 4, Outcome::Overloaded, 0.1);
    assert!(stage.until(1001.0).is_empty(), "an outcome of an attempt that never was");
    stage.end(1, 1, 0, Outcome::Served, 0.1);
    stage.end(1, 1, 0, Outcome::Served, 0.1);
    stage.take(1, 0, 1);
    assert!(stage.until(1030.0).is_empty(), "it has ended");
    assert!(!stage.refused(1) && !stage.failed(1));
}

#[test]
fn a_message_of_an_unknown_class_is_refused() {
    let mut stage = Stage::new(settings());
    stage.take(1, 50, 1);
    assert!(stage.round().is_empty());
    assert!(stage.refused(1));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut stage = Stage::new(settings());
        let mut all = Vec::new();
        for id in 0..60 {
            stage.take(id, (id % 3) as usize, 1 + (id % 3) as u32);
            for sent in stage.round() {
                let outcome = if id % 4 == 0 { Outcome::Overloaded } else { Outcome::Error };
                stage.end(sent.id, sent.endpoint, 0, outcome, 0.1);
            }
            all.extend(stage.actions.clone());
            stage.now += 0.1;
        }
        all
    };
    assert_eq!(play(), play());
}

#[derive(Clone, Debug)]
enum Step {
    Take { class: usize, destination: u32, key: u64 },
    End { which: usize, outcome: usize, wait: bool },
    Wait(f64),
    List { endpoint: u64, listed: usize },
    Withdraw(u64),
    Repeat,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, 1..4u32, 0..3u64).prop_map(|(class, destination, key)| Step::Take { class, destination, key }),
        8 => (0..8usize, 0..7usize, any::<bool>()).prop_map(|(which, outcome, wait)| Step::End { which, outcome, wait }),
        6 => (0.0..1.5f64).prop_map(Step::Wait),
        1 => (1..5u64, 0..3usize).prop_map(|(endpoint, listed)| Step::List { endpoint, listed }),
        1 => (0..40u64).prop_map(Step::Withdraw),
        1 => Just(Step::Repeat),
        1 => Just(Step::Restart),
    ]
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::NotSent,
];

#[derive(Clone, Debug)]
struct Seen {
    class: usize,
    destination: u32,
    key: Option<u64>,
    deadline: f64,
    attempts: u32,
    out: Option<(u64, f64, f64)>,
    maybe: Option<f64>,
    unproved: bool,
    answers: u32,
    gone: bool,
}

/// What must hold, kept apart from the module's own ledger.
#[derive(Default)]
struct Judge {
    messages: BTreeMap<u64, Seen>,
    order: BTreeMap<u64, Vec<u64>>,
    rest: BTreeMap<u64, f64>,
    waits: BTreeMap<u32, f64>,
    listed: BTreeMap<u64, bool>,
}

fn destination_of(endpoint: u64) -> u32 {
    if endpoint == 4 { 1 } else { endpoint as u32 }
}

impl Judge {
    fn round(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    let front = self.messages.get(&id.0).and_then(|m| m.key).map(|key| {
                        let turn = self.order[&key].iter().find(|o| {
                            let m = &self.messages[o];
                            m.out.is_some() || !(m.gone || m.answers > 0)
                        });
                        (turn.copied(), self.rest.get(&key).copied())
                    });
                    let m = self.messages.get_mut(&id.0).expect("a known message");
                    assert!(m.out.is_none(), "two attempts out");
                    assert!(m.answers == 0 && !m.gone, "sent after its end");
                    assert!(now + timeout <= m.deadline, "outlives the message");
                    assert!(self.listed[&endpoint.0], "sent to a draining or gone endpoint");
                    assert_eq!(destination_of(endpoint.0), m.destination);
                    assert!(self.waits.get(&m.destination).is_none_or(|w| now >= *w), "a told wait");
                    match m.class {
                        1 => assert!(m.maybe.is_none_or(|first| now <= first + 12.0), "past the window"),
                        2 => assert!(!m.unproved, "unsafe, and it may have run"),
                        _ => {}
                    }
                    if let Some((turn, rest)) = front {
                        assert_eq!(turn, Some(id.0), "out of order");
                        assert!(m.attempts > 0 || rest.is_none_or(|r| now >= r), "the key rests");
                    }
                    m.attempts += 1;
                    assert!(m.attempts <= 6);
                    m.out = Some((endpoint.0, now, *timeout));
                }
                Action::Reject(id) | Action::Fail(id) => {
                    let m = self.messages.get_mut(&id.0).expect("a known message");
                    assert!(m.out.is_none(), "answered with an attempt out");
                    assert!(!m.gone && m.answers == 0, "answered twice");
                    let refused = matches!(action, Action::Reject(_));
                    assert!(!(refused && m.class == 2 && m.unproved), "refused, and it may have run");
                    assert!(now <= m.deadline, "answered late");
                    m.answers += 1;
                }
                Action::Probe(endpoint) => {
                    assert!(self.listed[&endpoint.0], "probe of a gone endpoint");
                    let destination = destination_of(endpoint.0);
                    assert!(self.waits.get(&destination).is_none_or(|w| now >= *w), "a told wait");
                }
                _ => {}
            }
        }
    }
}

fn fresh() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings(), 3).unwrap();
    dispatcher.handle(1000.0, Event::ListSnapshot(vec![entry(1, 1), entry(2, 2), entry(3, 3), entry(4, 1)]));
    dispatcher
}

fn play(steps: Vec<Step>) {
    let mut dispatcher = fresh();
    let mut judge = Judge { listed: (1..5).map(|e| (e, true)).collect(), ..Judge::default() };
    let mut now = 1000.0;
    let mut next = 0;
    let mut actions = Vec::new();
    let mut last = None;
    let mut steps = steps;
    // Time to end all that is open.
    steps.extend((0..60).map(|_| Step::Wait(0.5)));
    for step in steps {
        let mut until = now;
        match step {
            Step::Take { class, destination, key } => {
                let id = next;
                next += 1;
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
                let (attempts, answers) = (0, 0);
                let seen = Seen {
                    class,
                    destination,
                    key,
                    deadline,
                    attempts,
                    out: None,
                    maybe: None,
                    unproved: false,
                    answers,
                    gone: false,
                };
                judge.messages.insert(id, seen);
                if let Some(key) = key {
                    judge.order.entry(key).or_default().push(id);
                }
                dispatcher.handle(now, Event::Accepted(message));
            }
            Step::End { which, outcome, wait } => {
                let out: Vec<u64> =
                    judge.messages.iter().filter(|(_, m)| m.out.is_some()).map(|(id, _)| *id).collect();
                if let Some(id) = out.get(which % out.len().max(1)).copied() {
                    last = Some(end(&mut judge, &mut dispatcher, now, id, OUTCOMES[outcome], wait));
                }
            }
            Step::Wait(time) => until = now + time,
            Step::List { endpoint, listed } => {
                let listed = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][listed];
                judge.listed.insert(endpoint, listed == EndpointState::Ready);
                let line = EndpointEntry { state: listed, ..entry(endpoint, destination_of(endpoint)) };
                dispatcher.handle(now, Event::ListUpdate(vec![line]));
            }
            Step::Withdraw(id) => {
                if let Some(m) = judge.messages.get_mut(&id) {
                    m.gone = true;
                }
                dispatcher.handle(now, Event::Withdrawn(MessageId(id)));
            }
            Step::Repeat => {
                if let Some(event) = last {
                    dispatcher.handle(now, Event::AttemptEnded(event));
                }
            }
            Step::Restart => {
                dispatcher = fresh();
                let listed: Vec<_> = judge
                    .listed
                    .iter()
                    .map(|(e, ready)| EndpointEntry {
                        state: if *ready { EndpointState::Ready } else { EndpointState::Removed },
                        ..entry(*e, destination_of(*e))
                    })
                    .collect();
                dispatcher.handle(now, Event::ListSnapshot(listed));
                judge = Judge { listed: std::mem::take(&mut judge.listed), ..Judge::default() };
                last = None;
            }
        }
        loop {
            actions.clear();
            dispatcher.decide(now, &mut actions);
            judge.round(now, &actions);
            if now >= until {
                break;
            }
            now += 0.01;
            // Time-outs end attempts by themselves.
            let late: Vec<u64> = judge
                .messages
                .iter()
                .filter(|(_, m)| m.out.is_some_and(|(_, at, timeout)| now >= at + timeout))
                .map(|(id, _)| *id)
                .collect();
            for id in late {
                end(&mut judge, &mut dispatcher, now, id, Outcome::TimedOut, false);
            }
        }
    }
    for (id, m) in &judge.messages {
        assert!(m.gone || m.answers == 1, "message {id} has no final answer: {m:?}");
    }
}

fn end(
    judge: &mut Judge, to: &mut Dispatcher, now: f64, id: u64, outcome: Outcome, wait: bool,
) -> AttemptEnd {
    let m = judge.messages.get_mut(&id).unwrap();
    let (endpoint, at, _) = m.out.take().unwrap();
    let proved = matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent);
    if !proved {
        m.unproved = true;
        m.maybe.get_or_insert(at);
    }
    let wait = (wait && outcome == Outcome::Overloaded).then_some(1.5);
    if let Some(wait) = wait {
        let until = judge.waits.entry(m.destination).or_insert(0.0);
        *until = until.max(now + wait);
    }
    if let (Outcome::TimedOut | Outcome::ConnectionReset, Some(key)) = (outcome, m.key) {
        judge.rest.insert(key, now + 2.0);
    }
    let closed = outcome == Outcome::Served;
    if closed {
        m.answers += 1;
    }
    let event = AttemptEnd {
        id: MessageId(id),
        endpoint: EndpointId(endpoint),
        attempt: m.attempts - 1,
        outcome,
        retry_after: wait,
        settled: closed,
        latency: now - at,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: outcome.answered(),
    };
    to.handle(now, Event::AttemptEnded(event));
    event
}

#[test]
fn random_days_keep_the_rules() {
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let rng =
        proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    let days = proptest::collection::vec(step(), 1..120);
    runner
        .run(&days, |steps| {
            play(steps);
            Ok(())
        })
        .unwrap();
}
