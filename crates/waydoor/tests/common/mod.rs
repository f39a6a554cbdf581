//! Test harness for a single dispatcher: default settings, an endpoint list and helpers that run rounds.
#![allow(dead_code)]

/// Maximum number of calls that may reach a cold destination within the slow-start window.
///
/// `expected` is the number that the settings allow. Arrivals are random, so the bound adds 3 standard deviations
/// for small counts and 2 for large ones. The acceptance test (the "standing test") applies the same bound.
pub fn max_cold_calls(expected: f64) -> f64 {
    if expected < 30.0 {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

pub mod cold_return;
pub mod fleet;
pub mod world;

use waydoor::*;

/// The destination of endpoint 1, which most tests use.
pub const DESTINATION_1: DestinationId = DestinationId(1);

/// A class with default values and the given effect of a repeat.
pub fn class(effect: Effect) -> Class {
    Class { target_latency: 2.0, deadline: 20.0, value: 1.0, late_value_share: 0.3, effect, ordered: false }
}

/// Default settings. Classes by index: 0 safe, 1 keyed, 2 unsafe, 3 safe and ordered.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed { window: 12.0, by_zone: false };
    let ordered = Class { ordered: true, ..class(Effect::Safe) };
    Settings {
        dispatcher_count: 2,
        max_concurrent_calls: 8,
        max_messages: 100,
        max_attempts: 6,
        keepalive: Some(5.0),
        probes: true,
        cancel: true,
        zone: 0,
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe), ordered],
        kinds: vec![
            DestinationKind { independent_endpoints: false, max_batch: 1 },
            DestinationKind { independent_endpoints: true, max_batch: 1 },
        ],
        decay: ValueDecay::Exponential,
        discovery_mode: DiscoveryMode::Pushed,
        use_listed_rates: true,
        slow_start: SlowStart {
            cold_capacity_share: 0.25,
            warm_up_time: 10.0,
            overload_multiple: 1.5,
            overload_window: 3.0,
        },
        order_key_cooldown: 2.0,
        tenants: Vec::new(),
        over_quota_value: 1.0,
    }
}

/// A list entry of a ready endpoint with default values.
pub fn entry(endpoint: u64, destination: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination),
        kind: 0,
        zone: 0,
        rate: 8.0,
        state: EndpointState::Ready,
    }
}

/// A dispatcher, its clock, and the actions of its last round.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Seconds,
    pub actions: Vec<Action>,
}

/// An attempt that the dispatcher started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedAttempt {
    pub id: u64,
    pub endpoint: u64,
    pub timeout: f64,
}

impl Harness {
    /// A dispatcher with one endpoint for each of the destinations 1 to 3.
    pub fn new(settings: Settings) -> Self {
        let mut harness =
            Harness { dispatcher: Dispatcher::new(settings, 1).unwrap(), now: 1000.0, actions: Vec::new() };
        harness.handle(Event::ListSnapshot(vec![entry(1, 1), entry(2, 2), entry(3, 3)]));
        harness
    }

    /// Passes an event to the dispatcher at the current time.
    pub fn handle(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event);
    }

    /// Accepts a message without an order key; its deadline is 20 s from now.
    pub fn accept(&mut self, id: u64, class: usize, destination: u32) {
        self.accept_ordered(id, class, destination, None);
    }

    /// Accepts a message with an optional order key; its deadline is 20 s from now.
    pub fn accept_ordered(&mut self, id: u64, class: usize, destination: u32, key: Option<u64>) {
        let (id, destination) = (MessageId(id), DestinationId(destination));
        let deadline = self.now + 20.0;
        self.handle(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key: key.map(OrderKey),
            tenant: 0,
            over_quota: None,
        }));
    }

    /// Runs one decision and returns the attempts it started.
    pub fn run_round(&mut self) -> Vec<StartedAttempt> {
        self.actions.clear();
        self.dispatcher.decide(self.now, &mut self.actions);
        self.actions
            .iter()
            .filter_map(|action| match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    Some(StartedAttempt { id: id.0, endpoint: endpoint.0, timeout: *timeout })
                }
                _ => None,
            })
            .collect()
    }

    /// Ends an attempt with an outcome.
    pub fn end_attempt(&mut self, id: u64, endpoint: u64, attempt: u32, outcome: Outcome, latency: f64) {
        self.end_with_retry_after(id, endpoint, attempt, outcome, latency, None);
    }

    /// Ends an attempt with an outcome and an optional retry-after of the destination.
    pub fn end_with_retry_after(
        &mut self, id: u64, endpoint: u64, attempt: u32, outcome: Outcome, latency: f64,
        retry_after: Option<Seconds>,
    ) {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id: MessageId(id),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            retry_after,
            settled: outcome == Outcome::Served,
            latency,
            rate_limit_report: None,
            connection_reused: false,
            connection_kept: outcome.answered(),
        }));
    }

    /// Delivers one safe message, so that the destination's send rate and latency are known.
    pub fn deliver_one(&mut self, id: u64, destination: u32) {
        self.accept(id, 0, destination);
        let sent = self.run_round();
        assert_eq!(sent.len(), 1, "exactly one message is sent");
        self.now += 0.2;
        self.end_attempt(id, sent[0].endpoint, 0, Outcome::Served, 0.2);
        assert!(self.run_round().is_empty());
    }

    /// Whether the last round rejected the message.
    pub fn is_rejected(&self, id: u64) -> bool {
        self.actions.contains(&Action::Reject(MessageId(id)))
    }

    /// Whether the last round ended the message as failed.
    pub fn is_failed(&self, id: u64) -> bool {
        self.actions.contains(&Action::Fail(MessageId(id)))
    }

    /// Runs a round every 50 ms until `end`; returns all started attempts with their start times.
    pub fn run_until(&mut self, end: Seconds) -> Vec<(Seconds, StartedAttempt)> {
        let mut started = Vec::new();
        while self.now < end {
            self.now += 0.05;
            started.extend(self.run_round().into_iter().map(|sent| (self.now, sent)));
        }
        started
    }
}
