//! What the door shows: counts since this process began, and gauges of now.
//!
//! One type owns every figure. The dispatcher's thread writes, the door's reads; nothing waits for the other.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// How a message count_outcome, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedOutcome {
    /// Delivered.
    Fulfilled,
    /// Refused at the door, or handed back.
    Throttled,
    /// Failed.
    Faulted,
}

/// The ends of one class.
#[derive(Debug, Default)]
struct Class {
    name: String,
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
}

/// The gauges: how things are now, not how often they happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages taken and not count_outcome.
    pub pending_messages: u64,
    /// Endpoints in the list.
    pub listed_endpoints: u64,
    /// Listed endpoints that get nothing now, by hand or by the dispatcher's own choice.
    pub out_of_rotation: u64,
}

/// All figures of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<Class>,
    relayed: AtomicU64,
    open: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
    ready: AtomicBool,
}

impl Metrics {
    /// All at 0, for classes of these names.
    pub fn new(classes: &[String]) -> Metrics {
        let class = |name: &String| Class { name: name.clone(), ..Class::default() };
        Metrics { classes: classes.iter().map(class).collect(), ..Metrics::default() }
    }

    /// A message of this class has count_outcome. One of a class that is no longer configured is under no name.
    pub fn count_outcome(&self, class: usize, end: CountedOutcome) {
        let Some(class) = self.classes.get(class) else { return };
        let count = match end {
            CountedOutcome::Fulfilled => &class.fulfilled,
            CountedOutcome::Throttled => &class.throttled,
            CountedOutcome::Faulted => &class.faulted,
        };
        count.fetch_add(1, Relaxed);
    }

    /// So many messages were written whole to an endpoint.
    pub fn add_relayed(&self, messages: u64) {
        self.relayed.fetch_add(messages, Relaxed);
    }

    /// How things are now.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.open.store(gauges.pending_messages, Relaxed);
        self.listed.store(gauges.listed_endpoints, Relaxed);
        self.avoided.store(gauges.out_of_rotation, Relaxed);
    }

    /// Whether this process serves.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// This process serves from now on, or no more.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Relaxed);
    }

    /// The lines of all figures.
    pub fn statsd_lines(&self) -> String {
        let mut text = String::new();
        for class in &self.classes {
            for (what, count) in [
                ("fulfilled", &class.fulfilled),
                ("throttled", &class.throttled),
                ("faulted", &class.faulted),
            ] {
                let _ = writeln!(text, "app.{what}.{}:{}|c", class.name, count.load(Relaxed));
            }
        }
        let _ = writeln!(text, "app.relayed:{}|c", self.relayed.load(Relaxed));
        for (what, gauge) in [
            ("open_requests", &self.open),
            ("registry_entries", &self.listed),
            ("out_of_rotation", &self.avoided),
        ] {
            let _ = writeln!(text, "app.{what}:{}|g", gauge.load(Relaxed));
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_stands_under_its_class() {
        let figures = Metrics::new(&["a".into(), "b".into()]);
        figures.count_outcome(0, CountedOutcome::Fulfilled);
        figures.count_outcome(1, CountedOutcome::Throttled);
        figures.count_outcome(1, CountedOutcome::Throttled);
        figures.count_outcome(1, CountedOutcome::Faulted);
        figures.count_outcome(7, CountedOutcome::Faulted);
        figures.add_relayed(4);
        figures.set_gauges(Gauges { pending_messages: 5, listed_endpoints: 6, out_of_rotation: 2 });
        assert_eq!(
            figures.statsd_lines(),
            "app.fulfilled.a:1|c\napp.throttled.a:0|c\napp.faulted.a:0|c\napp.fulfilled.b:0|c\n\
             app.throttled.b:2|c\napp.faulted.b:1|c\napp.relayed:4|c\napp.open_requests:5|g\n\
             app.registry_entries:6|g\napp.out_of_rotation:2|g\n"
        );
    }
}
