//! Records with planted violations: the auditor must find each and name its rule, and must find nothing in similar records
//! that narrowly keep the rules.

use fawnspoke_lab::auditor::{Rule, Verdict, audit};
use fawnspoke_lab::record::*;

/// Microseconds per second.
const S: Micros = 1_000_000;
/// Microseconds per millisecond.
const MS: Micros = 1_000;

/// Builds a record step by step; entries may be added out of order.
struct RecordBuilder(Vec<Entry>);

impl RecordBuilder {
    fn new() -> RecordBuilder {
        let class = |name: &str, effect, ordered| Class {
            name: name.into(),
            effect,
            key_window: 15 * S,
            target_latency: 2 * S,
            ordered,
        };
        let rules = Rules {
            classes: vec![
                class("safe", Effect::Safe, false),
                class("keyed", Effect::Keyed, false),
                class("unsafe", Effect::Unsafe, false),
                class("ordered", Effect::Safe, true),
            ],
            capacities: vec![DestinationCapacity { destination: 7, capacity: 10.0 }],
            ..Rules::default()
        };
        let mut record = RecordBuilder(Vec::new());
        record.add(0, Event::Rules(rules));
        record.add(0, Event::ProcessStarted { dispatcher: 0 });
        record.add(0, Event::ProcessReady { dispatcher: 0 });
        record
    }

    fn add(&mut self, at: Micros, event: Event) -> &mut RecordBuilder {
        self.0.push(Entry { at, event });
        self
    }

    fn submit_at(
        &mut self, at: Micros, dispatcher: usize, class: &str, id: &str, new_connection: bool,
    ) -> &mut RecordBuilder {
        self.add(
            at,
            Event::Submitted {
                id: id.into(),
                origin: id.trim_end_matches('\'').into(),
                class: class.into(),
                destination: 7,
                key: (class == "keyed").then(|| format!("key-{id}")),
                order: (class == "ordered").then(|| "k".into()),
                body_digest: 9,
                deadline: at + 20 * S,
                dispatcher,
                new_connection,
            },
        )
    }

    /// Submits a message, which is accepted 10 ms later.
    fn accept(&mut self, at: Micros, class: &str, id: &str) -> &mut RecordBuilder {
        self.submit_at(at, 0, class, id, true).answer(at + 10 * MS, id, 202)
    }

    fn answer(&mut self, at: Micros, id: &str, status: u16) -> &mut RecordBuilder {
        self.add(at, Event::Answered { id: id.into(), status })
    }

    fn call_with(
        &mut self, at: Micros, call: u64, dispatcher: usize, items: Vec<Item>,
    ) -> &mut RecordBuilder {
        let first_byte_at = at - 2;
        self.add(
            at,
            Event::Call { call, endpoint: "e".into(), destination: 7, dispatcher, first_byte_at, items },
        )
    }

    fn call(&mut self, at: Micros, call: u64, class: &str, id: &str) -> &mut RecordBuilder {
        self.call_with(at, call, 0, vec![item(class, id)])
    }

    fn processed(&mut self, at: Micros, call: u64, id: &str) -> &mut RecordBuilder {
        self.add(at, Event::MessageProcessed { call, id: id.into(), took_effect: true })
    }

    fn call_ended(&mut self, at: Micros, call: u64, end: CallEnd) -> &mut RecordBuilder {
        self.add(at, Event::CallEnded { call, end, results: vec![], retry_after: None })
    }

    /// Adds a call that is processed and answered within 100 ms.
    fn deliver(&mut self, at: Micros, call: u64, class: &str, id: &str) -> &mut RecordBuilder {
        self.call(at, call, class, id).processed(at + 90 * MS, call, id).call_ended(
            at + 100 * MS,
            call,
            CallEnd::Answered(200),
        )
    }

    fn notice(&mut self, at: Micros, id: &str, outcome: Outcome) -> &mut RecordBuilder {
        self.add(at, Event::Notice { dispatcher: 0, id: id.into(), outcome, retry_ms: None, status: 204 })
    }

    fn signal(&mut self, at: Micros, signal: ProcessSignal) -> &mut RecordBuilder {
        self.add(at, Event::SignalSent { dispatcher: 0, signal })
    }

    fn list_change(&mut self, at: Micros, state: EndpointState) -> &mut RecordBuilder {
        self.add(at, Event::ChangeDelivered { dispatcher: 0, endpoint: "e".into(), state })
    }

    /// Adds `count` calls of new messages, spread evenly from `at` to `to`.
    fn add_calls(&mut self, at: Micros, to: Micros, count: u64, dispatcher: usize) -> &mut RecordBuilder {
        for i in 0..count {
            let (arrived_at, id) = (at + (to - at) * i / count, format!("f{dispatcher}-{i}"));
            self.submit_at(arrived_at - 50 * MS, dispatcher, "safe", &id, true).answer(
                arrived_at - 40 * MS,
                &id,
                202,
            );
            self.call_with(
                arrived_at,
                10_000 + 1000 * dispatcher as u64 + i,
                dispatcher,
                vec![item("safe", &id)],
            );
            self.call_ended(
                arrived_at + 20 * MS,
                10_000 + 1000 * dispatcher as u64 + i,
                CallEnd::Answered(200),
            );
        }
        self
    }

    /// Destination 7 fails one call of each of the first `dispatchers` dispatchers at 1 s and recovers, cold, at 10 s.
    fn outage(&mut self, dispatchers: usize) -> &mut RecordBuilder {
        self.add(500 * MS, Event::OutageStarted { destination: 7, refuses_connections: false });
        for dispatcher in 0..dispatchers {
            let id = format!("o{dispatcher}");
            self.submit_at(600 * MS, dispatcher, "safe", &id, true).answer(610 * MS, &id, 202);
            self.call_with(S, 9000 + dispatcher as u64, dispatcher, vec![item("safe", &id)]);
            self.call_ended(S + 30 * MS, 9000 + dispatcher as u64, CallEnd::Broken);
            self.add(
                S + 90 * MS,
                Event::Notice { dispatcher, id, outcome: Outcome::HandedBack, retry_ms: None, status: 204 },
            );
        }
        self.add(10 * S, Event::OutageEnded { destination: 7 })
    }

    fn audit(&self) -> Verdict {
        let mut entries = self.0.clone();
        entries.push(Entry { at: 100 * S, event: Event::RunEnded });
        entries.sort_by_key(|entry| entry.at);
        audit(&entries)
    }
}

fn item(class: &str, id: &str) -> Item {
    Item { id: id.into(), key: (class == "keyed").then(|| format!("key-{id}")), body_digest: 9 }
}

type BuildRecord = fn(&mut RecordBuilder);

/// The planted violation, its rule, and the record.
const VIOLATIONS: &[(&str, Rule, BuildRecord)] = &[
    ("accepted and forgotten", Rule::Lost, |record| {
        record.accept(S, "safe", "m");
    }),
    ("called, failed and forgotten", Rule::Lost, |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(500),
        );
    }),
    ("the notice comes too late", Rule::Lost, |record| {
        record.accept(S, "safe", "m").notice(21 * S + 400 * MS, "m", Outcome::GivenUp);
    }),
    ("delivered too late", Rule::Lost, |record| {
        record.accept(S, "safe", "m").deliver(21 * S + 300 * MS, 1, "safe", "m");
    }),
    ("lost by a restart", Rule::Lost, |record| {
        record
            .accept(S, "safe", "m")
            .signal(2 * S, ProcessSignal::Kill)
            .add(4 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("overdue once a restart is over", Rule::Lost, |record| {
        record
            .accept(S, "safe", "m")
            .signal(20 * S, ProcessSignal::Kill)
            .add(22 * S, Event::ProcessReady { dispatcher: 0 });
        record.notice(23 * S + 600 * MS, "m", Outcome::GivenUp);
    }),
    ("overdue after the process was suspended", Rule::Lost, |record| {
        record.accept(S, "safe", "m").signal(20 * S, ProcessSignal::Stop).signal(22 * S, ProcessSignal::Cont);
        record.notice(24 * S, "m", Outcome::GivenUp);
    }),
    ("a new connection ended with no answer", Rule::Lost, |record| {
        record.submit_at(S, 0, "safe", "m", true).add(S + 50 * MS, Event::ConnectionLost { id: "m".into() });
    }),
    ("a connection ended with no answer after SIGTERM", Rule::Lost, |record| {
        record.signal(S, ProcessSignal::Term).submit_at(S + 100 * MS, 0, "safe", "m", true);
        record
            .add(S + 200 * MS, Event::ConnectionLost { id: "m".into() })
            .add(6 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("a batch with a missing result, forgotten", Rule::Lost, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b");
        record.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]);
        record.add(
            3 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(200),
                results: vec![MessageResult::Delivered],
                retry_after: None,
            },
        );
    }),
    ("a batch with one message rejected, forgotten", Rule::Lost, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b");
        record.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]);
        let results = vec![MessageResult::Delivered, MessageResult::Rejected];
        record.add(
            3 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(200), results, retry_after: None },
        );
    }),
    ("a truncated response to a batch treated as a delivery", Rule::Lost, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b");
        record.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]).call_ended(
            3 * S,
            1,
            CallEnd::Truncated(200),
        );
    }),
    ("two different outcomes", Rule::SingleAnswer, |record| {
        record.accept(S, "safe", "m").notice(2 * S, "m", Outcome::GivenUp).notice(
            3 * S,
            "m",
            Outcome::HandedBack,
        );
    }),
    ("sent after it was handed back", Rule::SingleAnswer, |record| {
        record.accept(S, "safe", "m").notice(2 * S, "m", Outcome::HandedBack).deliver(3 * S, 1, "safe", "m");
    }),
    ("sent after it was given up", Rule::SingleAnswer, |record| {
        record.accept(S, "keyed", "m").notice(2 * S, "m", Outcome::GivenUp).deliver(
            2 * S + 90 * MS,
            1,
            "keyed",
            "m",
        );
    }),
    ("sent after it was rejected", Rule::SingleAnswer, |record| {
        record.submit_at(S, 0, "safe", "m", true).answer(S + 5 * MS, "m", 503).deliver(2 * S, 1, "safe", "m");
    }),
    ("rejected while a call is in flight", Rule::SingleAnswer, |record| {
        record.submit_at(S, 0, "unsafe", "m", true).call(S + 5 * MS, 1, "unsafe", "m").answer(
            S + 9 * MS,
            "m",
            429,
        );
        record.call_ended(2 * S, 1, CallEnd::Answered(200));
    }),
    ("an unsafe message sent again after an error", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(500),
        );
        record.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again after a broken connection", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(3 * S, 1, CallEnd::Broken);
        record.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again after a timeout", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(3 * S, 1, CallEnd::Closed);
        record.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again after a truncated response", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").processed(3 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Truncated(500),
        );
        record.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again after a restart", Rule::Duplicate, |record| {
        record
            .accept(S, "unsafe", "m")
            .call(2 * S, 1, "unsafe", "m")
            .signal(3 * S, ProcessSignal::Kill)
            .call_ended(3 * S, 1, CallEnd::Closed);
        record.add(4 * S, Event::ProcessReady { dispatcher: 0 }).deliver(5 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again after its delivery", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").deliver(2 * S, 1, "unsafe", "m").deliver(5 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message sent again: rejected once, failed once", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(503),
        );
        record.call(4 * S, 2, "unsafe", "m").call_ended(5 * S, 2, CallEnd::Broken).deliver(
            6 * S,
            3,
            "unsafe",
            "m",
        );
    }),
    ("an unsafe message handed back after a timeout", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(3 * S, 1, CallEnd::Closed);
        record.notice(3 * S, "m", Outcome::HandedBack);
    }),
    ("an unsafe message handed back while a call is in flight", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").notice(3 * S, "m", Outcome::HandedBack);
        record.call_ended(4 * S, 1, CallEnd::Broken);
    }),
    ("an unsafe message of a batch sent again after its result was a failure", Rule::Duplicate, |record| {
        record.accept(S, "unsafe", "a").accept(S, "unsafe", "b");
        record.call_with(2 * S, 1, 0, vec![item("unsafe", "a"), item("unsafe", "b")]);
        let results = vec![MessageResult::Delivered, MessageResult::Failed];
        record.add(
            3 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(200), results, retry_after: None },
        );
        record.deliver(4 * S, 2, "unsafe", "b");
    }),
    ("a keyed message sent again after its key window", Rule::Duplicate, |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").call_ended(3 * S, 1, CallEnd::Broken);
        record.deliver(17 * S + 100 * MS, 2, "keyed", "m");
    }),
    (
        "a keyed message sent again after its key window, with another attempt within it",
        Rule::Duplicate,
        |record| {
            record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").call_ended(3 * S, 1, CallEnd::Broken);
            record.call(10 * S, 2, "keyed", "m").call_ended(11 * S, 2, CallEnd::Broken).deliver(
                18 * S,
                3,
                "keyed",
                "m",
            );
        },
    ),
    ("two effects under one key, within the key window", Rule::Duplicate, |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").processed(2 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Broken,
        );
        record.call(4 * S, 2, "keyed", "m").processed(4 * S, 2, "m").call_ended(
            5 * S,
            2,
            CallEnd::Answered(200),
        );
    }),
    ("two calls at once", Rule::ConcurrentAttempts, |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").call(2 * S + 500 * MS, 2, "safe", "m");
        record.call_ended(3 * S, 1, CallEnd::Answered(500)).call_ended(3 * S, 2, CallEnd::Answered(200));
    }),
    ("two calls at once, the second rejected first", Rule::ConcurrentAttempts, |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").call(2 * S + 500 * MS, 2, "safe", "m");
        record.call_ended(2 * S + 600 * MS, 2, CallEnd::Answered(503)).call_ended(
            3 * S,
            1,
            CallEnd::Answered(200),
        );
    }),
    ("two calls at once, the first never ends", Rule::ConcurrentAttempts, |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").deliver(3 * S, 2, "safe", "m");
    }),
    ("a call while another is in flight that is closed late", Rule::ConcurrentAttempts, |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").call(3 * S, 2, "safe", "m");
        record.call_ended(3 * S + 80 * MS, 1, CallEnd::Closed).call_ended(4 * S, 2, CallEnd::Answered(200));
    }),
    ("in a single call and in a batch at once", Rule::ConcurrentAttempts, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b").call(2 * S, 1, "safe", "a");
        record.call_with(2 * S + 100 * MS, 2, 0, vec![item("safe", "b"), item("safe", "a")]);
        let results = vec![MessageResult::Delivered, MessageResult::Delivered];
        record.add(
            3 * S,
            Event::CallEnded { call: 2, end: CallEnd::Answered(200), results, retry_after: None },
        );
        record.call_ended(3 * S, 1, CallEnd::Answered(200));
    }),
    ("a call to a draining endpoint", Rule::Drain, |record| {
        record.list_change(S, EndpointState::Draining).accept(2 * S, "safe", "m").deliver(
            2 * S + 100 * MS,
            1,
            "safe",
            "m",
        );
    }),
    ("a call to a removed endpoint", Rule::Drain, |record| {
        record.list_change(S, EndpointState::Removed).accept(2 * S, "safe", "m").deliver(
            5 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("a probe of a removed endpoint", Rule::Drain, |record| {
        record.list_change(S, EndpointState::Removed);
        record
            .add(3 * S, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: true });
    }),
    ("a call to an endpoint that drained before a restart", Rule::Drain, |record| {
        record
            .list_change(S, EndpointState::Draining)
            .signal(2 * S, ProcessSignal::Kill)
            .add(3 * S, Event::ProcessReady { dispatcher: 0 });
        record.accept(4 * S, "safe", "m").deliver(5 * S, 1, "safe", "m");
    }),
    ("draining, then removed: the grace period does not restart", Rule::Drain, |record| {
        record.list_change(S, EndpointState::Draining).list_change(2 * S, EndpointState::Removed);
        record.accept(2 * S, "safe", "m").deliver(2 * S + 500 * MS, 1, "safe", "m");
    }),
    ("not informed because it did not ask", Rule::Drain, |record| {
        record.add(S, Event::EndpointChanged { endpoint: "e".into(), state: EndpointState::Draining });
        record.accept(8 * S, "safe", "m").deliver(8 * S + 100 * MS, 1, "safe", "m");
    }),
    ("a cold destination overloaded by all dispatchers that saw it fail", Rule::ColdStart, |record| {
        record.outage(2).add_calls(10 * S, 13 * S, 20, 0).add_calls(10 * S, 13 * S, 20, 1);
    }),
    ("a cold destination overloaded in a burst", Rule::ColdStart, |record| {
        record.outage(1).add_calls(10 * S, 10 * S + 200 * MS, 40, 0);
    }),
    ("a half-warm destination overloaded", Rule::ColdStart, |record| {
        record.outage(1).add_calls(14 * S, 17 * S, 80, 0);
    }),
    ("a cold destination overloaded by probes", Rule::ColdStart, |record| {
        record.outage(1);
        for i in 0..40 {
            let at = 10 * S + i * 50 * MS;
            record
                .add(at, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: true });
        }
    }),
    (
        "a destination that refused connections overloaded by a dispatcher with pending messages for it",
        Rule::ColdStart,
        |record| {
            record
                .add(S, Event::OutageStarted { destination: 7, refuses_connections: true })
                .accept(2 * S, "safe", "m")
                .add(10 * S, Event::OutageEnded { destination: 7 });
            record.add_calls(10 * S + 200 * MS, 13 * S, 40, 0).deliver(13 * S, 1, "safe", "m");
        },
    ),
    ("a cold destination overloaded by a dispatcher whose probe had failed", Rule::ColdStart, |record| {
        record.add(S, Event::OutageStarted { destination: 7, refuses_connections: false });
        record
            .add(2 * S, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: false });
        record.add(10 * S, Event::OutageEnded { destination: 7 }).add_calls(10 * S, 13 * S, 40, 0);
    }),
    ("out of order", Rule::Order, |record| {
        record.accept(S, "ordered", "a").accept(2 * S, "ordered", "b").deliver(3 * S, 1, "ordered", "b");
        record.deliver(4 * S, 2, "ordered", "a");
    }),
    ("in order, but while the predecessor is in flight", Rule::Order, |record| {
        record.accept(S, "ordered", "a").accept(2 * S, "ordered", "b").call(3 * S, 1, "ordered", "a");
        record.deliver(3 * S + 200 * MS, 2, "ordered", "b").call_ended(4 * S, 1, CallEnd::Answered(200));
    }),
    ("a call during a Retry-After", Rule::RetryAfter, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b").call(2 * S, 1, "safe", "a");
        record.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        record.deliver(2 * S + 500 * MS, 2, "safe", "b").deliver(4 * S, 3, "safe", "a");
    }),
    ("a probe during a Retry-After", Rule::RetryAfter, |record| {
        record.accept(S, "safe", "a").call(2 * S, 1, "safe", "a");
        record.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(503), results: vec![], retry_after: Some(S) },
        );
        record.add(
            2 * S + 900 * MS,
            Event::Probe { endpoint: "f".into(), destination: 7, dispatcher: 0, healthy: true },
        );
        record.deliver(4 * S, 3, "safe", "a");
    }),
    ("a call during the longer of two Retry-After periods", Rule::RetryAfter, |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b").call(2 * S, 1, "safe", "a").call(
            2 * S,
            2,
            "safe",
            "b",
        );
        record.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(3 * S),
            },
        );
        record.add(
            2 * S + 1,
            Event::CallEnded { call: 2, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        record.deliver(4 * S, 3, "safe", "b").deliver(6 * S, 4, "safe", "a");
    }),
    ("to another destination", Rule::Altered, |record| {
        record.accept(S, "safe", "m");
        let (endpoint, items) = ("x".into(), vec![item("safe", "m")]);
        record.add(
            2 * S,
            Event::Call { call: 1, endpoint, destination: 8, dispatcher: 0, first_byte_at: 2 * S, items },
        );
        record.call_ended(3 * S, 1, CallEnd::Answered(200));
    }),
    ("another body", Rule::Altered, |record| {
        record.accept(S, "safe", "m").call_with(
            2 * S,
            1,
            0,
            vec![Item { body_digest: 8, ..item("safe", "m") }],
        );
        record.call_ended(3 * S, 1, CallEnd::Answered(200));
    }),
    ("another key", Rule::Altered, |record| {
        record.accept(S, "keyed", "m").call_with(
            2 * S,
            1,
            0,
            vec![Item { key: Some("x".into()), ..item("keyed", "m") }],
        );
        record.call_ended(3 * S, 1, CallEnd::Answered(200));
    }),
    ("no key", Rule::Altered, |record| {
        record.accept(S, "keyed", "m").call_with(2 * S, 1, 0, vec![Item { key: None, ..item("keyed", "m") }]);
        record.call_ended(3 * S, 1, CallEnd::Answered(200));
    }),
    ("an id that no client submitted", Rule::Altered, |record| {
        record.deliver(2 * S, 1, "safe", "m");
    }),
    ("a process that exits unexpectedly", Rule::Crash, |record| {
        record.add(2 * S, Event::ProcessExited { dispatcher: 0, expected: false });
    }),
];

/// Records that keep the rules, some of them narrowly.
const CLEAN: &[(&str, BuildRecord)] = &[
    ("delivered", |record| {
        record.accept(S, "unsafe", "m").deliver(2 * S, 1, "unsafe", "m");
    }),
    ("delivered before the client read its acceptance", |record| {
        record.submit_at(S, 0, "safe", "m", true).deliver(S + 5 * MS, 1, "safe", "m").answer(
            S + 300 * MS,
            "m",
            202,
        );
    }),
    ("the notice comes within the tolerance", |record| {
        record.accept(S, "safe", "m").notice(21 * S + 340 * MS, "m", Outcome::GivenUp);
    }),
    ("the same notice twice", |record| {
        record.accept(S, "safe", "m").notice(2 * S, "m", Outcome::GivenUp).notice(
            9 * S,
            "m",
            Outcome::GivenUp,
        );
    }),
    ("a notice for a delivered message", |record| {
        record.accept(S, "safe", "m").deliver(2 * S, 1, "safe", "m").notice(3 * S, "m", Outcome::GivenUp);
    }),
    ("overdue while it restarts", |record| {
        record
            .accept(S, "safe", "m")
            .signal(21 * S, ProcessSignal::Kill)
            .add(30 * S, Event::ProcessReady { dispatcher: 0 });
        record.notice(31 * S + 400 * MS, "m", Outcome::GivenUp);
    }),
    ("told to stop, then killed: one restart", |record| {
        record.accept(S, "safe", "m").signal(20 * S, ProcessSignal::Term).signal(24 * S, ProcessSignal::Kill);
        record.add(25 * S, Event::ProcessReady { dispatcher: 0 }).notice(26 * S, "m", Outcome::GivenUp);
    }),
    ("an unsafe message sent again after rejections", |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(503),
        );
        record.call(4 * S, 2, "unsafe", "m").call_ended(5 * S, 2, CallEnd::Answered(429)).deliver(
            6 * S,
            3,
            "unsafe",
            "m",
        );
    }),
    ("an unsafe message given up after a broken connection", |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").processed(3 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Broken,
        );
        record.notice(4 * S, "m", Outcome::GivenUp);
    }),
    ("an unsafe message handed back after a rejection", |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(503),
        );
        record.notice(4 * S, "m", Outcome::HandedBack);
    }),
    ("an unsafe message whose response was truncated after the status line with 200", |record| {
        record.accept(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").processed(2 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Truncated(200),
        );
    }),
    ("a keyed message sent again within its key window", |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").call_ended(3 * S, 1, CallEnd::Broken);
        record.deliver(16 * S + 900 * MS, 2, "keyed", "m");
    }),
    ("a keyed message sent again after the key window of an attempt that never ran", |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").call_ended(
            3 * S,
            1,
            CallEnd::Answered(429),
        );
        record.call(10 * S, 2, "keyed", "m").call_ended(11 * S, 2, CallEnd::Broken).deliver(
            18 * S,
            3,
            "keyed",
            "m",
        );
    }),
    ("a keyed message whose repeat was dropped", |record| {
        record.accept(S, "keyed", "m").call(2 * S, 1, "keyed", "m").processed(2 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Broken,
        );
        record
            .call(4 * S, 2, "keyed", "m")
            .add(4 * S, Event::MessageProcessed { call: 2, id: "m".into(), took_effect: false });
        record.call_ended(5 * S, 2, CallEnd::Answered(200));
    }),
    ("a safe message sent repeatedly", |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").processed(2 * S, 1, "m").call_ended(
            3 * S,
            1,
            CallEnd::Broken,
        );
        record.deliver(4 * S, 2, "safe", "m").deliver(15 * S, 3, "safe", "m");
    }),
    ("a close that the endpoint observes after the next call", |record| {
        record.accept(S, "safe", "m").call(2 * S, 1, "safe", "m").call(3 * S, 2, "safe", "m");
        record.call_ended(3 * S + 40 * MS, 1, CallEnd::Closed).call_ended(4 * S, 2, CallEnd::Answered(200));
    }),
    ("a client that timed out and submitted the message again", |record| {
        record
            .submit_at(S, 0, "unsafe", "m", true)
            .add(S + 400 * MS, Event::ClientTimedOut { id: "m".into() });
        record.deliver(S + 500 * MS, 1, "unsafe", "m");
        record.submit_at(S + 450 * MS, 0, "unsafe", "m'", true).answer(S + 460 * MS, "m'", 202);
        record.deliver(S + 700 * MS, 2, "unsafe", "m'");
    }),
    ("a connection that ended because of a kill", |record| {
        record.submit_at(S, 0, "safe", "m", true).signal(S + 10 * MS, ProcessSignal::Kill);
        record
            .add(S + 11 * MS, Event::ConnectionLost { id: "m".into() })
            .add(2 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("a reused connection that was closed between requests", |record| {
        record.submit_at(S, 0, "safe", "m", false).add(S + MS, Event::ConnectionLost { id: "m".into() });
        record.submit_at(S + 2 * MS, 0, "safe", "m", true).answer(S + 9 * MS, "m", 202).deliver(
            2 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("a call within the drain grace period", |record| {
        record.list_change(2 * S, EndpointState::Draining).accept(2 * S, "safe", "m").deliver(
            3 * S + 40 * MS,
            1,
            "safe",
            "m",
        );
    }),
    ("listed again after its removal", |record| {
        record
            .list_change(S, EndpointState::Removed)
            .list_change(3 * S, EndpointState::Up)
            .accept(4 * S, "safe", "m")
            .deliver(5 * S, 1, "safe", "m");
    }),
    ("not informed because the platform was silent", |record| {
        record.add(500 * MS, Event::PlatformSilent { silent: true });
        record.add(S, Event::EndpointChanged { endpoint: "e".into(), state: EndpointState::Draining });
        record.add(9 * S, Event::PlatformSilent { silent: false }).accept(8 * S, "safe", "m").deliver(
            9 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("a cold destination slow-started within its budget", |record| {
        record.outage(2).add_calls(10 * S, 13 * S, 14, 0).add_calls(13 * S, 19 * S, 60, 1);
    }),
    ("a cold destination overloaded by a dispatcher that had not observed the outage", |record| {
        record.outage(1).add_calls(10 * S, 13 * S, 40, 1);
    }),
    ("a warm destination overloaded", |record| {
        record.outage(1).add_calls(20 * S, 23 * S, 90, 0);
    }),
    ("in order", |record| {
        record.accept(S, "ordered", "a").accept(2 * S, "ordered", "b").deliver(3 * S, 1, "ordered", "a");
        record.deliver(4 * S, 2, "ordered", "b");
    }),
    ("the successor sent once the predecessor is handed back", |record| {
        record.accept(S, "ordered", "a").accept(2 * S, "ordered", "b").notice(
            3 * S,
            "a",
            Outcome::HandedBack,
        );
        record.deliver(4 * S, 2, "ordered", "b");
    }),
    ("a call in flight when the Retry-After was sent, and one after its end", |record| {
        record.accept(S, "safe", "a").accept(S, "safe", "b").call(2 * S, 1, "safe", "a");
        record.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        record.deliver(2 * S + 90 * MS, 2, "safe", "b").deliver(3 * S + 10 * MS, 3, "safe", "a");
    }),
    ("a Retry-After that a restart ended", |record| {
        record.accept(S, "safe", "a").call(2 * S, 1, "safe", "a");
        record.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(5 * S),
            },
        );
        record.signal(3 * S, ProcessSignal::Kill).add(4 * S, Event::ProcessStarted { dispatcher: 0 });
        record.add(4 * S, Event::ProcessReady { dispatcher: 0 }).deliver(5 * S, 2, "safe", "a");
    }),
    ("a Retry-After that was sent to another dispatcher", |record| {
        record.accept(S, "safe", "a").call_with(2 * S, 1, 1, vec![item("safe", "a")]);
        record.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(5 * S),
            },
        );
        record.deliver(3 * S, 2, "safe", "a");
    }),
    ("a process that exits when told to", |record| {
        record
            .signal(S, ProcessSignal::Term)
            .add(2 * S, Event::ProcessExited { dispatcher: 0, expected: true });
    }),
    ("rejected", |record| {
        record.submit_at(S, 0, "safe", "m", true).answer(S + 5 * MS, "m", 503);
    }),
];

#[test]
fn each_planted_violation_is_found_and_named() {
    assert!(VIOLATIONS.len() >= 40, "{}", VIOLATIONS.len());
    for (name, rule, build) in VIOLATIONS {
        let mut record = RecordBuilder::new();
        build(&mut record);
        let verdict = record.audit();
        let rules: Vec<_> = verdict.violation_counts.keys().collect();
        assert_eq!(rules, [rule], "{name}: {:#?}", verdict.violations);
        let violation = &verdict.violations[0];
        assert!(
            !violation.subject.is_empty() && !violation.text.is_empty() && violation.at > 0,
            "{name}: {violation}"
        );
        assert!(!verdict.is_clean());
    }
}

#[test]
fn similar_records_that_keep_the_rules_pass() {
    for (name, build) in CLEAN {
        let mut record = RecordBuilder::new();
        build(&mut record);
        let verdict = record.audit();
        assert!(verdict.is_clean(), "{name}: {:#?}", verdict.violations);
    }
}

#[test]
fn a_violation_is_found_among_many_clean_messages() {
    for (name, rule, build) in
        VIOLATIONS.iter().filter(|(_, rule, _)| !matches!(rule, Rule::ColdStart | Rule::RetryAfter))
    {
        let mut record = RecordBuilder::new();
        for i in 0..300 {
            let (id, at) = (format!("n{i}"), S + i * 50 * MS);
            record.accept(at, "keyed", &id);
            let call = Event::Call {
                call: 100 + i,
                endpoint: "other".into(),
                destination: 7,
                dispatcher: 0,
                first_byte_at: at + 20 * MS,
                items: vec![item("keyed", &id)],
            };
            record.add(at + 20 * MS, call).call_ended(at + 30 * MS, 100 + i, CallEnd::Answered(200));
        }
        build(&mut record);
        let verdict = record.audit();
        assert!(verdict.violation_counts.contains_key(rule), "{name}: {:#?}", verdict.violations);
        assert!(verdict.classes["keyed"].delivered >= 300, "{name}");
    }
}

#[test]
fn counts_are_per_message_and_not_per_id() {
    let mut record = RecordBuilder::new();
    // Rejected, submitted again, delivered within the target latency.
    record.submit_at(S, 0, "keyed", "a", true).answer(S, "a", 503);
    record.submit_at(S + 500 * MS, 0, "keyed", "a'", true).answer(S + 510 * MS, "a'", 202);
    record.deliver(S + 600 * MS, 1, "keyed", "a'");
    // A delivery under an id whose client had timed out does not count.
    record.submit_at(S, 0, "keyed", "b", true).add(S + 400 * MS, Event::ClientTimedOut { id: "b".into() });
    record.call(S + 500 * MS, 2, "keyed", "b").processed(S + 500 * MS, 2, "b").call_ended(
        S + 600 * MS,
        2,
        CallEnd::Answered(200),
    );
    record.submit_at(S + 700 * MS, 0, "keyed", "b'", true).answer(S + 710 * MS, "b'", 202);
    record.call(4 * S, 3, "keyed", "b'").processed(4 * S, 3, "b'").call_ended(
        4 * S,
        3,
        CallEnd::Answered(200),
    );
    record.accept(S, "keyed", "c").notice(2 * S, "c", Outcome::HandedBack);
    record.accept(S, "keyed", "d").notice(2 * S, "d", Outcome::GivenUp);
    record.submit_at(S, 0, "keyed", "e", true).answer(S, "e", 429);
    let verdict = record.audit();
    let tally = &verdict.classes["keyed"];
    assert!(verdict.is_clean(), "{:#?}", verdict.violations);
    assert_eq!((tally.messages, tally.accepted, tally.delivered, tally.within_target), (5, 4, 2, 1));
    assert_eq!((tally.handed_back, tally.given_up, tally.rejected, tally.unanswered), (1, 1, 1, 0));
    assert_eq!((tally.duplicated, tally.duplicated_by_clients, tally.lost), (0, 1, 0));
    assert_eq!(tally.latencies, [700 * MS, 3 * S]);
}

#[test]
fn a_record_can_be_saved_and_loaded() {
    let mut record = RecordBuilder::new();
    record
        .accept(S, "keyed", "m")
        .deliver(2 * S, 1, "keyed", "m")
        .outage(2)
        .list_change(S, EndpointState::Draining);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    save(&path, &record.0).unwrap();
    assert_eq!(load(&path).unwrap(), record.0);
    std::fs::write(&path, "{\"at\":1,\"what\":\"done\"}\n").unwrap();
    assert!(load(&path).unwrap_err().contains(":1: "));
}

#[test]
fn recovered_messages_that_are_mostly_never_called_are_a_violation() {
    // The next process calls `called` of 12 recovered messages and hands the others back with 16 s left.
    let audit_with = |called: usize| {
        let mut record = RecordBuilder::new();
        for i in 0..12 {
            record.accept(S, "safe", &format!("m{i}"));
        }
        record.signal(2 * S, ProcessSignal::Kill).add(3 * S, Event::ProcessStarted { dispatcher: 0 });
        record.add(4 * S, Event::ProcessReady { dispatcher: 0 });
        for i in 0..12 {
            let id = format!("m{i}");
            match i < called {
                true => record.deliver(5 * S, i as u64, "safe", &id),
                false => record.notice(5 * S, &id, Outcome::HandedBack),
            };
        }
        record.audit()
    };
    let verdict = audit_with(5);
    assert_eq!(verdict.violation_counts.get(&Rule::NeverCalled), Some(&1), "{verdict:?}");
    assert_eq!((verdict.classes["safe"].recovered, verdict.classes["safe"].never_called), (12, 7));
    let verdict = audit_with(6);
    assert!(verdict.is_clean(), "exactly half is not a violation: {verdict:?}");
    assert_eq!((verdict.classes["safe"].recovered, verdict.classes["safe"].never_called), (12, 6));
    // Without a restart no message counts as recovered, whatever is handed back.
    let mut without_restart = RecordBuilder::new();
    for i in 0..12 {
        without_restart.accept(S, "safe", &format!("m{i}")).notice(
            5 * S,
            &format!("m{i}"),
            Outcome::HandedBack,
        );
    }
    let verdict = without_restart.audit();
    assert_eq!(verdict.classes["safe"].recovered, 0);
}
