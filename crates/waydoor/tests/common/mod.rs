//! A small stage for the dispatcher: settings, a list, and helpers that play rounds.
#![allow(dead_code)]

/// Calls in the rule's window that a cold place bears, where the settings allow it `n` then (standing test).
pub fn cold_budget(n: f64) -> f64 {
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 }
}

pub mod fleet;
pub mod world;

use waydoor::*;

pub const HOME: DestinationId = DestinationId(1);

pub fn class(effect: Effect) -> Class {
    Class { target_latency: 2.0, deadline: 20.0, value: 1.0, late_value_share: 0.3, effect, ordered: false }
}

/// Classes: 0 safe, 1 keyed, 2 unsafe, 3 safe in order.
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

/// A dispatcher with its clock and the sends that are out.
pub struct Stage {
    pub dispatcher: Dispatcher,
    pub now: Seconds,
    pub actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub id: u64,
    pub endpoint: u64,
    pub timeout: f64,
}

impl Stage {
    pub fn new(settings: Settings) -> Self {
        let mut stage =
            Stage { dispatcher: Dispatcher::new(settings, 1).unwrap(), now: 1000.0, actions: Vec::new() };
        stage.event(Event::ListSnapshot(vec![entry(1, 1), entry(2, 2), entry(3, 3)]));
        stage
    }

    pub fn event(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event);
    }

    pub fn take(&mut self, id: u64, class: usize, destination: u32) {
        self.take_keyed(id, class, destination, None);
    }

    pub fn take_keyed(&mut self, id: u64, class: usize, destination: u32, key: Option<u64>) {
        let (id, destination) = (MessageId(id), DestinationId(destination));
        let deadline = self.now + 20.0;
        self.event(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key: key.map(OrderKey),
            tenant: 0,
            over_quota: None,
        }));
    }

    /// Decides and returns what was sent.
    pub fn round(&mut self) -> Vec<Sent> {
        self.actions.clear();
        self.dispatcher.decide(self.now, &mut self.actions);
        self.actions
            .iter()
            .filter_map(|action| match action {
                Action::Send { id, endpoint, timeout, .. } => {
                    Some(Sent { id: id.0, endpoint: endpoint.0, timeout: *timeout })
                }
                _ => None,
            })
            .collect()
    }

    pub fn end(&mut self, id: u64, endpoint: u64, attempt: u32, outcome: Outcome, latency: f64) {
        self.end_waiting(id, endpoint, attempt, outcome, latency, None);
    }

    pub fn end_waiting(
        &mut self, id: u64, endpoint: u64, attempt: u32, outcome: Outcome, latency: f64,
        wait: Option<Seconds>,
    ) {
        self.event(Event::AttemptEnded(AttemptEnd {
            id: MessageId(id),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            retry_after: wait,
            settled: outcome == Outcome::Served,
            latency,
            rate_limit_report: None,
            connection_reused: false,
            connection_kept: outcome.answered(),
        }));
    }

    /// Serves one safe message at an endpoint's destination, so that its pace is known.
    pub fn serve(&mut self, id: u64, destination: u32) {
        self.take(id, 0, destination);
        let sent = self.round();
        assert_eq!(sent.len(), 1, "one message goes out");
        self.now += 0.2;
        self.end(id, sent[0].endpoint, 0, Outcome::Served, 0.2);
        assert!(self.round().is_empty());
    }

    pub fn refused(&self, id: u64) -> bool {
        self.actions.contains(&Action::Reject(MessageId(id)))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.actions.contains(&Action::Fail(MessageId(id)))
    }

    /// Plays rounds every 50 ms up to a time; returns all sends with their times.
    pub fn until(&mut self, end: Seconds) -> Vec<(Seconds, Sent)> {
        let mut all = Vec::new();
        while self.now < end {
            self.now += 0.05;
            all.extend(self.round().into_iter().map(|sent| (self.now, sent)));
        }
        all
    }
}
