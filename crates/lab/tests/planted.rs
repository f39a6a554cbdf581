//! Breaches planted in records: the auditor must find each, name its rule, and find nothing in their neighbours
//! that keep the rules by a little.

use fawnspoke_lab::auditor::{Rule, Verdict, audit};
use fawnspoke_lab::record::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

/// A record that is written step by step; entries may be added out of order.
struct Story(Vec<Entry>);

impl Story {
    fn new() -> Story {
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
                class("turns", Effect::Safe, true),
            ],
            capacities: vec![DestinationCapacity { destination: 7, capacity: 10.0 }],
            ..Rules::default()
        };
        let mut story = Story(Vec::new());
        story.add(0, Event::Rules(rules));
        story.add(0, Event::ProcessStarted { dispatcher: 0 });
        story.add(0, Event::ProcessReady { dispatcher: 0 });
        story
    }

    fn add(&mut self, at: Micros, what: Event) -> &mut Story {
        self.0.push(Entry { at, event: what });
        self
    }

    fn ask_at(&mut self, at: Micros, dispatcher: usize, class: &str, id: &str, fresh: bool) -> &mut Story {
        self.add(
            at,
            Event::Submitted {
                id: id.into(),
                origin: id.trim_end_matches('\'').into(),
                class: class.into(),
                destination: 7,
                key: (class == "keyed").then(|| format!("key-{id}")),
                order: (class == "turns").then(|| "k".into()),
                body_digest: 9,
                deadline: at + 20 * S,
                dispatcher,
                new_connection: fresh,
            },
        )
    }

    /// Asked, and taken 10 ms later.
    fn take(&mut self, at: Micros, class: &str, id: &str) -> &mut Story {
        self.ask_at(at, 0, class, id, true).answer(at + 10 * MS, id, 202)
    }

    fn answer(&mut self, at: Micros, id: &str, status: u16) -> &mut Story {
        self.add(at, Event::Answered { id: id.into(), status })
    }

    fn call_with(&mut self, at: Micros, call: u64, from: usize, items: Vec<Item>) -> &mut Story {
        let first = at - 2;
        self.add(
            at,
            Event::Call {
                call,
                endpoint: "e".into(),
                destination: 7,
                dispatcher: from,
                first_byte_at: first,
                items,
            },
        )
    }

    fn call(&mut self, at: Micros, call: u64, class: &str, id: &str) -> &mut Story {
        self.call_with(at, call, 0, vec![item(class, id)])
    }

    fn ran(&mut self, at: Micros, call: u64, id: &str) -> &mut Story {
        self.add(at, Event::MessageProcessed { call, id: id.into(), took_effect: true })
    }

    fn end(&mut self, at: Micros, call: u64, end: CallEnd) -> &mut Story {
        self.add(at, Event::CallEnded { call, end, results: vec![], retry_after: None })
    }

    /// Called, run and answered within 100 ms.
    fn deliver(&mut self, at: Micros, call: u64, class: &str, id: &str) -> &mut Story {
        self.call(at, call, class, id).ran(at + 90 * MS, call, id).end(
            at + 100 * MS,
            call,
            CallEnd::Answered(200),
        )
    }

    fn notice(&mut self, at: Micros, id: &str, outcome: Outcome) -> &mut Story {
        self.add(at, Event::Notice { dispatcher: 0, id: id.into(), outcome, retry_ms: None, status: 204 })
    }

    fn signal(&mut self, at: Micros, signal: ProcessSignal) -> &mut Story {
        self.add(at, Event::SignalSent { dispatcher: 0, signal })
    }

    fn told(&mut self, at: Micros, state: EndpointState) -> &mut Story {
        self.add(at, Event::ChangeDelivered { dispatcher: 0, endpoint: "e".into(), state })
    }

    /// So many calls of fresh messages, evenly from `at` to `to`.
    fn flood(&mut self, at: Micros, to: Micros, count: u64, from: usize) -> &mut Story {
        for i in 0..count {
            let (when, id) = (at + (to - at) * i / count, format!("f{from}-{i}"));
            self.ask_at(when - 50 * MS, from, "safe", &id, true).answer(when - 40 * MS, &id, 202);
            self.call_with(when, 10_000 + 1000 * from as u64 + i, from, vec![item("safe", &id)]);
            self.end(when + 20 * MS, 10_000 + 1000 * from as u64 + i, CallEnd::Answered(200));
        }
        self
    }

    /// Destination 7 fails a call of dispatchers 0 to `seen` at 1 s and is back, cold, at 10 s.
    fn outage(&mut self, seen: usize) -> &mut Story {
        self.add(500 * MS, Event::OutageStarted { destination: 7, refuses_connections: false });
        for from in 0..seen {
            let id = format!("o{from}");
            self.ask_at(600 * MS, from, "safe", &id, true).answer(610 * MS, &id, 202);
            self.call_with(S, 9000 + from as u64, from, vec![item("safe", &id)]);
            self.end(S + 30 * MS, 9000 + from as u64, CallEnd::Broken);
            self.add(
                S + 90 * MS,
                Event::Notice {
                    dispatcher: from,
                    id,
                    outcome: Outcome::HandedBack,
                    retry_ms: None,
                    status: 204,
                },
            );
        }
        self.add(10 * S, Event::OutageEnded { destination: 7 })
    }

    fn judge(&self) -> Verdict {
        let mut entries = self.0.clone();
        entries.push(Entry { at: 100 * S, event: Event::RunEnded });
        entries.sort_by_key(|entry| entry.at);
        audit(&entries)
    }
}

fn item(class: &str, id: &str) -> Item {
    Item { id: id.into(), key: (class == "keyed").then(|| format!("key-{id}")), body_digest: 9 }
}

type Plot = fn(&mut Story);

/// What is planted, its rule, and the record.
const BREACHES: &[(&str, Rule, Plot)] = &[
    ("taken and forgotten", Rule::Lost, |s| {
        s.take(S, "safe", "m");
    }),
    ("called, failed and forgotten", Rule::Lost, |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").end(3 * S, 1, CallEnd::Answered(500));
    }),
    ("the notice comes too late", Rule::Lost, |s| {
        s.take(S, "safe", "m").notice(21 * S + 400 * MS, "m", Outcome::GivenUp);
    }),
    ("delivered too late", Rule::Lost, |s| {
        s.take(S, "safe", "m").deliver(21 * S + 300 * MS, 1, "safe", "m");
    }),
    ("lost by a restart", Rule::Lost, |s| {
        s.take(S, "safe", "m")
            .signal(2 * S, ProcessSignal::Kill)
            .add(4 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("overdue once a restart is over", Rule::Lost, |s| {
        s.take(S, "safe", "m")
            .signal(20 * S, ProcessSignal::Kill)
            .add(22 * S, Event::ProcessReady { dispatcher: 0 });
        s.notice(23 * S + 600 * MS, "m", Outcome::GivenUp);
    }),
    ("overdue after it stood still", Rule::Lost, |s| {
        s.take(S, "safe", "m").signal(20 * S, ProcessSignal::Stop).signal(22 * S, ProcessSignal::Cont);
        s.notice(24 * S, "m", Outcome::GivenUp);
    }),
    ("a new connection ended with no answer", Rule::Lost, |s| {
        s.ask_at(S, 0, "safe", "m", true).add(S + 50 * MS, Event::ConnectionLost { id: "m".into() });
    }),
    ("a connection ended with no answer after SIGTERM", Rule::Lost, |s| {
        s.signal(S, ProcessSignal::Term).ask_at(S + 100 * MS, 0, "safe", "m", true);
        s.add(S + 200 * MS, Event::ConnectionLost { id: "m".into() })
            .add(6 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("a batch whose ends were not told, forgotten", Rule::Lost, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b");
        s.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]);
        s.add(
            3 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(200),
                results: vec![MessageResult::Delivered],
                retry_after: None,
            },
        );
    }),
    ("a batch with one refused, forgotten", Rule::Lost, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b");
        s.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]);
        let fates = vec![MessageResult::Delivered, MessageResult::Rejected];
        s.add(
            3 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(200), results: fates, retry_after: None },
        );
    }),
    ("a spoilt answer to a batch taken for a delivery", Rule::Lost, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b");
        s.call_with(2 * S, 1, 0, vec![item("safe", "a"), item("safe", "b")]).end(
            3 * S,
            1,
            CallEnd::Truncated(200),
        );
    }),
    ("two different ends", Rule::SingleAnswer, |s| {
        s.take(S, "safe", "m").notice(2 * S, "m", Outcome::GivenUp).notice(3 * S, "m", Outcome::HandedBack);
    }),
    ("sent after it was ended", Rule::SingleAnswer, |s| {
        s.take(S, "safe", "m").notice(2 * S, "m", Outcome::HandedBack).deliver(3 * S, 1, "safe", "m");
    }),
    ("sent after it was given up", Rule::SingleAnswer, |s| {
        s.take(S, "keyed", "m").notice(2 * S, "m", Outcome::GivenUp).deliver(
            2 * S + 90 * MS,
            1,
            "keyed",
            "m",
        );
    }),
    ("sent after it was refused", Rule::SingleAnswer, |s| {
        s.ask_at(S, 0, "safe", "m", true).answer(S + 5 * MS, "m", 503).deliver(2 * S, 1, "safe", "m");
    }),
    ("refused though a call is out", Rule::SingleAnswer, |s| {
        s.ask_at(S, 0, "unsafe", "m", true).call(S + 5 * MS, 1, "unsafe", "m").answer(S + 9 * MS, "m", 429);
        s.end(2 * S, 1, CallEnd::Answered(200));
    }),
    ("an unsafe message again after an error", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Answered(500));
        s.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again after a break", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Broken);
        s.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again after a time-out", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Closed);
        s.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again after its answer was cut", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").ran(3 * S, 1, "m").end(
            3 * S,
            1,
            CallEnd::Truncated(500),
        );
        s.deliver(4 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again after a restart", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").signal(3 * S, ProcessSignal::Kill).end(
            3 * S,
            1,
            CallEnd::Closed,
        );
        s.add(4 * S, Event::ProcessReady { dispatcher: 0 }).deliver(5 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again after its delivery", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").deliver(2 * S, 1, "unsafe", "m").deliver(5 * S, 2, "unsafe", "m");
    }),
    ("an unsafe message again: refused once, failed once", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Answered(503));
        s.call(4 * S, 2, "unsafe", "m").end(5 * S, 2, CallEnd::Broken).deliver(6 * S, 3, "unsafe", "m");
    }),
    ("an unsafe message handed back after a time-out", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Closed);
        s.notice(3 * S, "m", Outcome::HandedBack);
    }),
    ("an unsafe message handed back while it is out", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").notice(3 * S, "m", Outcome::HandedBack);
        s.end(4 * S, 1, CallEnd::Broken);
    }),
    ("an unsafe message of a batch again that was told to have failed", Rule::Duplicate, |s| {
        s.take(S, "unsafe", "a").take(S, "unsafe", "b");
        s.call_with(2 * S, 1, 0, vec![item("unsafe", "a"), item("unsafe", "b")]);
        let fates = vec![MessageResult::Delivered, MessageResult::Failed];
        s.add(
            3 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(200), results: fates, retry_after: None },
        );
        s.deliver(4 * S, 2, "unsafe", "b");
    }),
    ("a keyed message after its window", Rule::Duplicate, |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").end(3 * S, 1, CallEnd::Broken);
        s.deliver(17 * S + 100 * MS, 2, "keyed", "m");
    }),
    ("a keyed message after its window, a later try inside it", Rule::Duplicate, |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").end(3 * S, 1, CallEnd::Broken);
        s.call(10 * S, 2, "keyed", "m").end(11 * S, 2, CallEnd::Broken).deliver(18 * S, 3, "keyed", "m");
    }),
    ("an effect twice under one key, whatever the window", Rule::Duplicate, |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").ran(2 * S, 1, "m").end(
            3 * S,
            1,
            CallEnd::Broken,
        );
        s.call(4 * S, 2, "keyed", "m").ran(4 * S, 2, "m").end(5 * S, 2, CallEnd::Answered(200));
    }),
    ("two calls at once", Rule::ConcurrentAttempts, |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").call(2 * S + 500 * MS, 2, "safe", "m");
        s.end(3 * S, 1, CallEnd::Answered(500)).end(3 * S, 2, CallEnd::Answered(200));
    }),
    ("two calls at once, the second refused first", Rule::ConcurrentAttempts, |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").call(2 * S + 500 * MS, 2, "safe", "m");
        s.end(2 * S + 600 * MS, 2, CallEnd::Answered(503)).end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("two calls at once, the first never ends", Rule::ConcurrentAttempts, |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").deliver(3 * S, 2, "safe", "m");
    }),
    ("a call while another is out that is closed late", Rule::ConcurrentAttempts, |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").call(3 * S, 2, "safe", "m");
        s.end(3 * S + 80 * MS, 1, CallEnd::Closed).end(4 * S, 2, CallEnd::Answered(200));
    }),
    ("alone and in a batch at once", Rule::ConcurrentAttempts, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b").call(2 * S, 1, "safe", "a");
        s.call_with(2 * S + 100 * MS, 2, 0, vec![item("safe", "b"), item("safe", "a")]);
        let fates = vec![MessageResult::Delivered, MessageResult::Delivered];
        s.add(
            3 * S,
            Event::CallEnded { call: 2, end: CallEnd::Answered(200), results: fates, retry_after: None },
        );
        s.end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("a call to one that drains", Rule::Drain, |s| {
        s.told(S, EndpointState::Draining).take(2 * S, "safe", "m").deliver(2 * S + 100 * MS, 1, "safe", "m");
    }),
    ("a call to one that is gone", Rule::Drain, |s| {
        s.told(S, EndpointState::Removed).take(2 * S, "safe", "m").deliver(5 * S, 1, "safe", "m");
    }),
    ("a probe of one that is gone", Rule::Drain, |s| {
        s.told(S, EndpointState::Removed);
        s.add(3 * S, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: true });
    }),
    ("a call to one that drained before a restart", Rule::Drain, |s| {
        s.told(S, EndpointState::Draining)
            .signal(2 * S, ProcessSignal::Kill)
            .add(3 * S, Event::ProcessReady { dispatcher: 0 });
        s.take(4 * S, "safe", "m").deliver(5 * S, 1, "safe", "m");
    }),
    ("drains, then goes: the grace does not begin anew", Rule::Drain, |s| {
        s.told(S, EndpointState::Draining).told(2 * S, EndpointState::Removed);
        s.take(2 * S, "safe", "m").deliver(2 * S + 500 * MS, 1, "safe", "m");
    }),
    ("never told, since it did not ask", Rule::Drain, |s| {
        s.add(S, Event::EndpointChanged { endpoint: "e".into(), state: EndpointState::Draining });
        s.take(8 * S, "safe", "m").deliver(8 * S + 100 * MS, 1, "safe", "m");
    }),
    ("a cold place pushed by all who saw it fail", Rule::ColdStart, |s| {
        s.outage(2).flood(10 * S, 13 * S, 20, 0).flood(10 * S, 13 * S, 20, 1);
    }),
    ("a cold place pushed at once", Rule::ColdStart, |s| {
        s.outage(1).flood(10 * S, 10 * S + 200 * MS, 40, 0);
    }),
    ("a place half warm pushed", Rule::ColdStart, |s| {
        s.outage(1).flood(14 * S, 17 * S, 80, 0);
    }),
    ("a cold place pushed by probes", Rule::ColdStart, |s| {
        s.outage(1);
        for i in 0..40 {
            let at = 10 * S + i * 50 * MS;
            s.add(at, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: true });
        }
    }),
    ("a place that refused connections pushed by one who held messages for it", Rule::ColdStart, |s| {
        s.add(S, Event::OutageStarted { destination: 7, refuses_connections: true })
            .take(2 * S, "safe", "m")
            .add(10 * S, Event::OutageEnded { destination: 7 });
        s.flood(10 * S + 200 * MS, 13 * S, 40, 0).deliver(13 * S, 1, "safe", "m");
    }),
    ("a cold place pushed by one whose probe had failed", Rule::ColdStart, |s| {
        s.add(S, Event::OutageStarted { destination: 7, refuses_connections: false });
        s.add(2 * S, Event::Probe { endpoint: "e".into(), destination: 7, dispatcher: 0, healthy: false });
        s.add(10 * S, Event::OutageEnded { destination: 7 }).flood(10 * S, 13 * S, 40, 0);
    }),
    ("out of turn", Rule::Order, |s| {
        s.take(S, "turns", "a").take(2 * S, "turns", "b").deliver(3 * S, 1, "turns", "b");
        s.deliver(4 * S, 2, "turns", "a");
    }),
    ("in turn, but while the one before is out", Rule::Order, |s| {
        s.take(S, "turns", "a").take(2 * S, "turns", "b").call(3 * S, 1, "turns", "a");
        s.deliver(3 * S + 200 * MS, 2, "turns", "b").end(4 * S, 1, CallEnd::Answered(200));
    }),
    ("a call while it waits", Rule::RetryAfter, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b").call(2 * S, 1, "safe", "a");
        s.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        s.deliver(2 * S + 500 * MS, 2, "safe", "b").deliver(4 * S, 3, "safe", "a");
    }),
    ("a probe while it waits", Rule::RetryAfter, |s| {
        s.take(S, "safe", "a").call(2 * S, 1, "safe", "a");
        s.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(503), results: vec![], retry_after: Some(S) },
        );
        s.add(
            2 * S + 900 * MS,
            Event::Probe { endpoint: "f".into(), destination: 7, dispatcher: 0, healthy: true },
        );
        s.deliver(4 * S, 3, "safe", "a");
    }),
    ("a call while the longer of two waits lasts", Rule::RetryAfter, |s| {
        s.take(S, "safe", "a").take(S, "safe", "b").call(2 * S, 1, "safe", "a").call(2 * S, 2, "safe", "b");
        s.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(3 * S),
            },
        );
        s.add(
            2 * S + 1,
            Event::CallEnded { call: 2, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        s.deliver(4 * S, 3, "safe", "b").deliver(6 * S, 4, "safe", "a");
    }),
    ("to another destination", Rule::Altered, |s| {
        s.take(S, "safe", "m");
        let (endpoint, items) = ("x".into(), vec![item("safe", "m")]);
        s.add(
            2 * S,
            Event::Call { call: 1, endpoint, destination: 8, dispatcher: 0, first_byte_at: 2 * S, items },
        );
        s.end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("another body", Rule::Altered, |s| {
        s.take(S, "safe", "m").call_with(2 * S, 1, 0, vec![Item { body_digest: 8, ..item("safe", "m") }]);
        s.end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("another key", Rule::Altered, |s| {
        s.take(S, "keyed", "m").call_with(
            2 * S,
            1,
            0,
            vec![Item { key: Some("x".into()), ..item("keyed", "m") }],
        );
        s.end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("no key", Rule::Altered, |s| {
        s.take(S, "keyed", "m").call_with(2 * S, 1, 0, vec![Item { key: None, ..item("keyed", "m") }]);
        s.end(3 * S, 1, CallEnd::Answered(200));
    }),
    ("an id that nobody handed in", Rule::Altered, |s| {
        s.deliver(2 * S, 1, "safe", "m");
    }),
    ("a process that ends by itself", Rule::Crash, |s| {
        s.add(2 * S, Event::ProcessExited { dispatcher: 0, expected: false });
    }),
];

/// Records that keep the rules, some by a little.
const CLEAN: &[(&str, Plot)] = &[
    ("delivered", |s| {
        s.take(S, "unsafe", "m").deliver(2 * S, 1, "unsafe", "m");
    }),
    ("delivered before the client heard that it is taken", |s| {
        s.ask_at(S, 0, "safe", "m", true).deliver(S + 5 * MS, 1, "safe", "m").answer(S + 300 * MS, "m", 202);
    }),
    ("the notice comes in the slack", |s| {
        s.take(S, "safe", "m").notice(21 * S + 340 * MS, "m", Outcome::GivenUp);
    }),
    ("a notice twice, the same", |s| {
        s.take(S, "safe", "m").notice(2 * S, "m", Outcome::GivenUp).notice(9 * S, "m", Outcome::GivenUp);
    }),
    ("a notice for what is delivered", |s| {
        s.take(S, "safe", "m").deliver(2 * S, 1, "safe", "m").notice(3 * S, "m", Outcome::GivenUp);
    }),
    ("overdue while it restarts", |s| {
        s.take(S, "safe", "m")
            .signal(21 * S, ProcessSignal::Kill)
            .add(30 * S, Event::ProcessReady { dispatcher: 0 });
        s.notice(31 * S + 400 * MS, "m", Outcome::GivenUp);
    }),
    ("told to stop, then killed: one restart", |s| {
        s.take(S, "safe", "m").signal(20 * S, ProcessSignal::Term).signal(24 * S, ProcessSignal::Kill);
        s.add(25 * S, Event::ProcessReady { dispatcher: 0 }).notice(26 * S, "m", Outcome::GivenUp);
    }),
    ("an unsafe message again after refusals", |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Answered(503));
        s.call(4 * S, 2, "unsafe", "m").end(5 * S, 2, CallEnd::Answered(429)).deliver(
            6 * S,
            3,
            "unsafe",
            "m",
        );
    }),
    ("an unsafe message given up after a break", |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").ran(3 * S, 1, "m").end(
            3 * S,
            1,
            CallEnd::Broken,
        );
        s.notice(4 * S, "m", Outcome::GivenUp);
    }),
    ("an unsafe message handed back after a refusal", |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").end(3 * S, 1, CallEnd::Answered(503));
        s.notice(4 * S, "m", Outcome::HandedBack);
    }),
    ("an unsafe message whose answer was cut behind its 200", |s| {
        s.take(S, "unsafe", "m").call(2 * S, 1, "unsafe", "m").ran(2 * S, 1, "m").end(
            3 * S,
            1,
            CallEnd::Truncated(200),
        );
    }),
    ("a keyed message inside its window", |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").end(3 * S, 1, CallEnd::Broken);
        s.deliver(16 * S + 900 * MS, 2, "keyed", "m");
    }),
    ("a keyed message after the window of a try that never ran", |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").end(3 * S, 1, CallEnd::Answered(429));
        s.call(10 * S, 2, "keyed", "m").end(11 * S, 2, CallEnd::Broken).deliver(18 * S, 3, "keyed", "m");
    }),
    ("a keyed message whose repeat was dropped", |s| {
        s.take(S, "keyed", "m").call(2 * S, 1, "keyed", "m").ran(2 * S, 1, "m").end(
            3 * S,
            1,
            CallEnd::Broken,
        );
        s.call(4 * S, 2, "keyed", "m")
            .add(4 * S, Event::MessageProcessed { call: 2, id: "m".into(), took_effect: false });
        s.end(5 * S, 2, CallEnd::Answered(200));
    }),
    ("a safe message over and over", |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").ran(2 * S, 1, "m").end(3 * S, 1, CallEnd::Broken);
        s.deliver(4 * S, 2, "safe", "m").deliver(15 * S, 3, "safe", "m");
    }),
    ("its own close is seen after the next call", |s| {
        s.take(S, "safe", "m").call(2 * S, 1, "safe", "m").call(3 * S, 2, "safe", "m");
        s.end(3 * S + 40 * MS, 1, CallEnd::Closed).end(4 * S, 2, CallEnd::Answered(200));
    }),
    ("a client that left, and handed it in again", |s| {
        s.ask_at(S, 0, "unsafe", "m", true).add(S + 400 * MS, Event::ClientTimedOut { id: "m".into() });
        s.deliver(S + 500 * MS, 1, "unsafe", "m");
        s.ask_at(S + 450 * MS, 0, "unsafe", "m'", true).answer(S + 460 * MS, "m'", 202);
        s.deliver(S + 700 * MS, 2, "unsafe", "m'");
    }),
    ("a connection that a kill ended", |s| {
        s.ask_at(S, 0, "safe", "m", true).signal(S + 10 * MS, ProcessSignal::Kill);
        s.add(S + 11 * MS, Event::ConnectionLost { id: "m".into() })
            .add(2 * S, Event::ProcessReady { dispatcher: 0 });
    }),
    ("a kept connection that was closed between requests", |s| {
        s.ask_at(S, 0, "safe", "m", false).add(S + MS, Event::ConnectionLost { id: "m".into() });
        s.ask_at(S + 2 * MS, 0, "safe", "m", true).answer(S + 9 * MS, "m", 202).deliver(
            2 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("a call in the drain's grace", |s| {
        s.told(2 * S, EndpointState::Draining).take(2 * S, "safe", "m").deliver(
            3 * S + 40 * MS,
            1,
            "safe",
            "m",
        );
    }),
    ("listed anew after it had gone", |s| {
        s.told(S, EndpointState::Removed).told(3 * S, EndpointState::Up).take(4 * S, "safe", "m").deliver(
            5 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("never told, for the platform was silent", |s| {
        s.add(500 * MS, Event::PlatformSilent { silent: true });
        s.add(S, Event::EndpointChanged { endpoint: "e".into(), state: EndpointState::Draining });
        s.add(9 * S, Event::PlatformSilent { silent: false }).take(8 * S, "safe", "m").deliver(
            9 * S,
            1,
            "safe",
            "m",
        );
    }),
    ("a cold place led up within its budget", |s| {
        s.outage(2).flood(10 * S, 13 * S, 14, 0).flood(13 * S, 19 * S, 60, 1);
    }),
    ("a cold place pushed by one who knew of nothing", |s| {
        s.outage(1).flood(10 * S, 13 * S, 40, 1);
    }),
    ("a warm place pushed", |s| {
        s.outage(1).flood(20 * S, 23 * S, 90, 0);
    }),
    ("in turn", |s| {
        s.take(S, "turns", "a").take(2 * S, "turns", "b").deliver(3 * S, 1, "turns", "a");
        s.deliver(4 * S, 2, "turns", "b");
    }),
    ("out of turn once the one before is given up", |s| {
        s.take(S, "turns", "a").take(2 * S, "turns", "b").notice(3 * S, "a", Outcome::HandedBack);
        s.deliver(4 * S, 2, "turns", "b");
    }),
    ("a call on its way when the wait was told, and one after it", |s| {
        s.take(S, "safe", "a").take(S, "safe", "b").call(2 * S, 1, "safe", "a");
        s.add(
            2 * S,
            Event::CallEnded { call: 1, end: CallEnd::Answered(429), results: vec![], retry_after: Some(S) },
        );
        s.deliver(2 * S + 90 * MS, 2, "safe", "b").deliver(3 * S + 10 * MS, 3, "safe", "a");
    }),
    ("a wait that a restart ended", |s| {
        s.take(S, "safe", "a").call(2 * S, 1, "safe", "a");
        s.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(5 * S),
            },
        );
        s.signal(3 * S, ProcessSignal::Kill).add(4 * S, Event::ProcessStarted { dispatcher: 0 });
        s.add(4 * S, Event::ProcessReady { dispatcher: 0 }).deliver(5 * S, 2, "safe", "a");
    }),
    ("a wait that was told to another", |s| {
        s.take(S, "safe", "a").call_with(2 * S, 1, 1, vec![item("safe", "a")]);
        s.add(
            2 * S,
            Event::CallEnded {
                call: 1,
                end: CallEnd::Answered(429),
                results: vec![],
                retry_after: Some(5 * S),
            },
        );
        s.deliver(3 * S, 2, "safe", "a");
    }),
    ("a process that ends when told", |s| {
        s.signal(S, ProcessSignal::Term).add(2 * S, Event::ProcessExited { dispatcher: 0, expected: true });
    }),
    ("refused", |s| {
        s.ask_at(S, 0, "safe", "m", true).answer(S + 5 * MS, "m", 503);
    }),
];

#[test]
fn each_planted_breach_is_found_and_named() {
    assert!(BREACHES.len() >= 40, "{}", BREACHES.len());
    for (name, rule, plot) in BREACHES {
        let mut story = Story::new();
        plot(&mut story);
        let verdict = story.judge();
        let rules: Vec<_> = verdict.breach_counts.keys().collect();
        assert_eq!(rules, [rule], "{name}: {:#?}", verdict.breaches);
        let breach = &verdict.breaches[0];
        assert!(!breach.subject.is_empty() && !breach.text.is_empty() && breach.at > 0, "{name}: {breach}");
        assert!(!verdict.is_clean());
    }
}

#[test]
fn their_neighbours_that_keep_the_rules_pass() {
    for (name, plot) in CLEAN {
        let mut story = Story::new();
        plot(&mut story);
        let verdict = story.judge();
        assert!(verdict.is_clean(), "{name}: {:#?}", verdict.breaches);
    }
}

#[test]
fn a_breach_is_found_among_much_that_is_clean() {
    for (name, rule, plot) in
        BREACHES.iter().filter(|(_, rule, _)| !matches!(rule, Rule::ColdStart | Rule::RetryAfter))
    {
        let mut story = Story::new();
        for i in 0..300 {
            let (id, at) = (format!("n{i}"), S + i * 50 * MS);
            story.take(at, "keyed", &id);
            let dest = Event::Call {
                call: 100 + i,
                endpoint: "other".into(),
                destination: 7,
                dispatcher: 0,
                first_byte_at: at + 20 * MS,
                items: vec![item("keyed", &id)],
            };
            story.add(at + 20 * MS, dest).end(at + 30 * MS, 100 + i, CallEnd::Answered(200));
        }
        plot(&mut story);
        let verdict = story.judge();
        assert!(verdict.breach_counts.contains_key(rule), "{name}: {:#?}", verdict.breaches);
        assert!(verdict.classes["keyed"].delivered >= 300, "{name}");
    }
}

#[test]
fn counts_go_by_the_message_and_not_by_its_ids() {
    let mut story = Story::new();
    // Refused, handed in again, delivered within the aim.
    story.ask_at(S, 0, "keyed", "a", true).answer(S, "a", 503);
    story.ask_at(S + 500 * MS, 0, "keyed", "a'", true).answer(S + 510 * MS, "a'", 202);
    story.deliver(S + 600 * MS, 1, "keyed", "a'");
    // Delivered under an id whose client had left: that counts for nothing.
    story.ask_at(S, 0, "keyed", "b", true).add(S + 400 * MS, Event::ClientTimedOut { id: "b".into() });
    story.call(S + 500 * MS, 2, "keyed", "b").ran(S + 500 * MS, 2, "b").end(
        S + 600 * MS,
        2,
        CallEnd::Answered(200),
    );
    story.ask_at(S + 700 * MS, 0, "keyed", "b'", true).answer(S + 710 * MS, "b'", 202);
    story.call(4 * S, 3, "keyed", "b'").ran(4 * S, 3, "b'").end(4 * S, 3, CallEnd::Answered(200));
    story.take(S, "keyed", "c").notice(2 * S, "c", Outcome::HandedBack);
    story.take(S, "keyed", "d").notice(2 * S, "d", Outcome::GivenUp);
    story.ask_at(S, 0, "keyed", "e", true).answer(S, "e", 429);
    let verdict = story.judge();
    let tally = &verdict.classes["keyed"];
    assert!(verdict.is_clean(), "{:#?}", verdict.breaches);
    assert_eq!((tally.messages, tally.accepted, tally.delivered, tally.within_target), (5, 4, 2, 1));
    assert_eq!((tally.handed_back, tally.given_up, tally.rejected, tally.unanswered), (1, 1, 1, 0));
    assert_eq!((tally.duplicated, tally.duplicated_by_clients, tally.lost), (0, 1, 0));
    assert_eq!(tally.latencies, [700 * MS, 3 * S]);
}

#[test]
fn a_record_survives_its_file() {
    let mut story = Story::new();
    story.take(S, "keyed", "m").deliver(2 * S, 1, "keyed", "m").outage(2).told(S, EndpointState::Draining);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    save(&path, &story.0).unwrap();
    assert_eq!(load(&path).unwrap(), story.0);
    std::fs::write(&path, "{\"at\":1,\"what\":\"done\"}\n").unwrap();
    assert!(load(&path).unwrap_err().contains(":1: "));
}

#[test]
fn what_a_restart_finds_untried_is_tried() {
    // So many of a dozen are called in the next life; the others are handed back with 16 s left.
    let story = |called: usize| {
        let mut story = Story::new();
        for i in 0..12 {
            story.take(S, "safe", &format!("m{i}"));
        }
        story.signal(2 * S, ProcessSignal::Kill).add(3 * S, Event::ProcessStarted { dispatcher: 0 });
        story.add(4 * S, Event::ProcessReady { dispatcher: 0 });
        for i in 0..12 {
            let id = format!("m{i}");
            match i < called {
                true => story.deliver(5 * S, i as u64, "safe", &id),
                false => story.notice(5 * S, &id, Outcome::HandedBack),
            };
        }
        story.judge()
    };
    let verdict = story(5);
    assert_eq!(verdict.breach_counts.get(&Rule::NeverCalled), Some(&1), "{verdict:?}");
    assert_eq!((verdict.classes["safe"].recovered, verdict.classes["safe"].never_called), (12, 7));
    let verdict = story(6);
    assert!(verdict.is_clean(), "half is not over half: {verdict:?}");
    assert_eq!((verdict.classes["safe"].recovered, verdict.classes["safe"].never_called), (12, 6));
    // Without a restart nobody finds anything, whatever is handed back.
    let mut alone = Story::new();
    for i in 0..12 {
        alone.take(S, "safe", &format!("m{i}")).notice(5 * S, &format!("m{i}"), Outcome::HandedBack);
    }
    let verdict = alone.judge();
    assert_eq!(verdict.classes["safe"].recovered, 0);
}
