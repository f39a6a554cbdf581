//! What dispatchers may send after the first signs of an outage, and while a destination may still be cold.

mod common;

use common::*;
use waydoor::*;

const FLEET_SIZE: usize = 40;
const STEP_SECONDS: Seconds = 0.05;
/// The time in which the acceptance test counts calls.
const WINDOW_SECONDS: Seconds = 3.0;
const NO_LIMIT: RateLimitReport = RateLimitReport { rate: 0.0, remaining_share: Some(0.0) };

/// One dispatcher of a fleet, and the calls and probes that it started.
struct Member {
    dispatcher: Dispatcher,
    now: Seconds,
    calls: Vec<(Seconds, MessageId, EndpointId, u32)>,
    probes: Vec<(Seconds, EndpointId)>,
}

impl Member {
    /// A member of a fleet of [`FLEET_SIZE`] with `messages` queued messages of a class.
    fn new(seed: u64, class: usize, messages: u64) -> Self {
        let settings = Settings { dispatcher_count: FLEET_SIZE as u32, max_attempts: 1000, ..settings() };
        let mut dispatcher = Dispatcher::new(settings, seed).unwrap();
        dispatcher.handle(0.0, Event::ListSnapshot(vec![entry(1, 1)]));
        let mut member = Member { dispatcher, now: 0.0, calls: Vec::new(), probes: Vec::new() };
        (1..=messages).for_each(|id| member.accept(id, class));
        member
    }

    /// Accepts a message.
    fn accept(&mut self, id: u64, class: usize) {
        let message = Message {
            id: MessageId(id),
            class,
            destination: DESTINATION_1,
            deadline: 1000.0,
            key: None,
            tenant: 0,
            over_quota: None,
        };
        self.dispatcher.handle(self.now, Event::Accepted(message));
    }

    /// Runs one round; returns the number of calls and probes that it started.
    fn step(&mut self) -> usize {
        self.now += STEP_SECONDS;
        let before = self.arrivals();
        let mut actions = Vec::new();
        self.dispatcher.decide(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, attempt, .. } => {
                    self.calls.push((self.now, id, endpoint, attempt))
                }
                Action::Probe(endpoint) => self.probes.push((self.now, endpoint)),
                _ => {}
            }
        }
        self.arrivals() - before
    }

    fn arrivals(&self) -> usize {
        self.calls.len() + self.probes.len()
    }

    /// Ends the last call at once.
    fn end_last_call(&mut self, outcome: Outcome, rate_limit_report: Option<RateLimitReport>) {
        self.end_last_call_with_wait(outcome, rate_limit_report, None);
    }

    /// Ends the last call at once; its response may ask to wait.
    fn end_last_call_with_wait(
        &mut self, outcome: Outcome, rate_limit_report: Option<RateLimitReport>, retry_after: Option<Seconds>,
    ) {
        let Some((_, id, endpoint, attempt)) = self.calls.last().copied() else { return };
        self.dispatcher.handle(
            self.now,
            Event::AttemptEnded(AttemptEnd {
                id,
                endpoint,
                attempt,
                outcome,
                retry_after,
                settled: false,
                latency: STEP_SECONDS,
                rate_limit_report,
                connection_reused: false,
                connection_kept: false,
            }),
        );
    }

    /// Runs until the first call has started.
    fn start_first_call(&mut self) {
        while self.calls.is_empty() {
            self.step();
        }
    }
}

fn fleet(class: usize, messages: u64) -> Vec<Member> {
    (0..FLEET_SIZE as u64).map(|seed| Member::new(seed, class, messages)).collect()
}

/// The calls that the settings allow all dispatchers together, at a destination that is cold, in one window.
fn cold_budget() -> f64 {
    let slow_start = settings().slow_start;
    slow_start.overload_multiple * slow_start.cold_capacity_share * entry(1, 1).rate * WINDOW_SECONDS
}

#[test]
fn a_large_fleet_whose_calls_were_rejected_once_stays_within_the_budget_of_a_cold_destination() {
    let mut calls = 0;
    for mut member in fleet(0, 3) {
        member.start_first_call();
        member.end_last_call(Outcome::Overloaded, Some(NO_LIMIT));
        let until = member.now + WINDOW_SECONDS;
        while member.now < until {
            if member.step() > 0 {
                member.end_last_call(Outcome::Overloaded, Some(NO_LIMIT));
            }
        }
        calls += member.calls.len() - 1;
    }
    assert!(
        calls as f64 <= max_cold_calls(cold_budget()),
        "{calls} calls in the window after the rejections"
    );
}

#[test]
fn overlapping_connects_that_all_fail_count_as_an_outage() {
    const CONNECT_SECONDS: Seconds = 1.5;
    let mut harness = Harness::new(settings());
    let mut connecting: Vec<(Seconds, StartedAttempt)> = Vec::new();
    let mut log = Vec::new();
    for step in 1..=160 {
        harness.now += STEP_SECONDS;
        if step % 10 == 0 {
            harness.accept(step, 0, 1);
        }
        while connecting.first().is_some_and(|(started_at, _)| started_at + CONNECT_SECONDS <= harness.now) {
            let (_, call) = connecting.remove(0);
            harness.end_attempt(call.id, call.endpoint, 0, Outcome::ConnectFailed, CONNECT_SECONDS);
        }
        let started = harness.run_round();
        connecting.extend(started.into_iter().map(|call| (harness.now, call)));
        log.extend(harness.actions.iter().filter_map(|action| match action {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
    }
    assert!(log.iter().any(|line| line.contains("-> Unavailable after ConnectFailed")), "{log:?}");
}

#[test]
fn a_large_fleet_that_waits_for_answers_stays_within_the_budget_of_a_cold_destination() {
    const UNTIL_SUSPECTED: Seconds = 1.2;
    let mut calls = 0;
    for mut member in fleet(0, 3) {
        member.start_first_call();
        let suspected_at = member.now + UNTIL_SUSPECTED;
        while member.now < suspected_at {
            member.step();
        }
        while member.now < suspected_at + WINDOW_SECONDS {
            calls += member.step();
        }
    }
    assert!(calls as f64 <= max_cold_calls(cold_budget()), "{calls} calls in the window after the suspicion");
}

/// Runs rounds until a call starts; collects the log.
fn next_call(harness: &mut Harness, log: &mut Vec<String>) -> StartedAttempt {
    loop {
        harness.now += STEP_SECONDS;
        let started = harness.run_round();
        log.extend(harness.actions.iter().filter_map(|action| match action {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
        if let Some(call) = started.first() {
            return *call;
        }
        assert!(harness.now < 1100.0, "no call within 100 s: {log:?}");
    }
}

#[test]
fn a_late_timeout_during_slow_start_does_not_end_it() {
    const LATENCY: Seconds = 0.05;
    const UNANSWERED: u64 = 100;
    let mut harness = Harness::new(settings());
    let mut log: Vec<String> = Vec::new();
    harness.accept(UNANSWERED, 0, 1);
    let unanswered = next_call(&mut harness, &mut log);
    let unanswered_since = harness.now;
    for id in 1..=8 {
        harness.accept(id, 0, 1);
        let call = next_call(&mut harness, &mut log);
        harness.end_attempt(call.id, call.endpoint, 0, Outcome::Error, LATENCY);
        harness.handle(Event::Withdrawn(MessageId(id)));
    }
    for id in 9..=10 {
        harness.accept(id, 0, 1);
        let call = next_call(&mut harness, &mut log);
        harness.end_attempt(call.id, call.endpoint, 0, Outcome::Served, LATENCY);
    }
    let latency = harness.now - unanswered_since;
    harness.end_attempt(UNANSWERED, unanswered.endpoint, 0, Outcome::TimedOut, latency);
    for id in 11..=12 {
        harness.accept(id, 0, 1);
        let call = next_call(&mut harness, &mut log);
        harness.end_attempt(call.id, call.endpoint, 0, Outcome::Served, LATENCY);
    }
    assert!(
        log.iter().any(|line| line.contains("Recovering(") && line.contains("-> Unavailable")),
        "{log:?}"
    );
    assert!(!log.iter().any(|line| line.contains("-> Healthy")), "{log:?}");
}

#[test]
fn a_large_fleet_that_restarts_together_stays_within_the_budget_of_a_cold_destination() {
    let mut calls = 0;
    for mut member in fleet(0, 0) {
        member.dispatcher.handle(0.0, Event::OutageRestored(DESTINATION_1));
        for id in 1..=3 {
            let message = Message {
                id: MessageId(id),
                class: 0,
                destination: DESTINATION_1,
                deadline: 1000.0,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            let recovered = Event::Recovered(MessageProgress {
                message,
                accepted_at: -1.0,
                attempts: 0,
                may_have_run: None,
            });
            member.dispatcher.handle(0.0, recovered);
        }
        while member.now < WINDOW_SECONDS {
            if member.step() > 0 {
                member.end_last_call(Outcome::Overloaded, Some(NO_LIMIT));
            }
        }
        calls += member.calls.len();
    }
    assert!(calls as f64 <= max_cold_calls(cold_budget()), "{calls} calls in the first window");
}

#[test]
fn a_large_fleet_that_was_told_to_wait_stays_within_the_budget_of_a_cold_destination() {
    const RETURNS_AT: Seconds = 16.0;
    // All dispatchers together get as many messages as the destination can take.
    const SECONDS_PER_MESSAGE: Seconds = 5.0;
    let mut calls = 0;
    for (index, mut member) in fleet(0, 1).into_iter().enumerate() {
        // The first calls are spread over the outage, so that some waits are short and some are long.
        let first_call_at = index as f64 * RETURNS_AT / FLEET_SIZE as f64;
        let mut next_id = 2;
        while member.now < RETURNS_AT + WINDOW_SECONDS {
            let is_sent = member.now >= first_call_at && member.step() > 0;
            if !is_sent && member.now < first_call_at {
                member.now += STEP_SECONDS;
            }
            let wait = Some(RETURNS_AT - member.now).filter(|wait| *wait > 0.0);
            if is_sent {
                calls += usize::from(wait.is_none());
                member.end_last_call_with_wait(Outcome::Overloaded, Some(NO_LIMIT), wait);
            }
            if member.now > SECONDS_PER_MESSAGE * (next_id - 1) as f64 {
                member.accept(next_id, 0);
                next_id += 1;
            }
        }
    }
    assert!(calls as f64 <= max_cold_calls(cold_budget()), "{calls} calls in the window after the wait");
}
