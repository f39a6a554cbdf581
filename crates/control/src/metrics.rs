//! The metrics of a process: counters since its start, and gauges.
//!
//! All values are atomics: the dispatcher's thread writes them, the control server's thread reads them, and neither
//! waits for the other.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// The outcome of a message, as the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedOutcome {
    /// Delivered.
    Fulfilled,
    /// Rejected on arrival, or handed back.
    Throttled,
    /// Failed.
    Faulted,
}

/// The outcome counters of one class of messages.
#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
}

/// The gauges: current values, not counts of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages accepted and still without an outcome.
    pub pending_messages: u64,
    /// Endpoints in discovery's list.
    pub listed_endpoints: u64,
    /// Listed endpoints that get no calls at present, suspended by an operator or unavailable to the dispatcher.
    pub out_of_rotation: u64,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: u64,
    /// The most of it so far.
    pub peak_bytes: u64,
    /// Bytes that the journal needs for open messages and notices.
    pub message_bytes: u64,
    /// Open client connections.
    pub client_connections: u64,
    /// Bytes that clients' requests hold beyond the allowances of their connections.
    pub request_bytes: u64,
}

/// All metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounters>,
    relayed: AtomicU64,
    pending_messages: AtomicU64,
    listed_endpoints: AtomicU64,
    out_of_rotation: AtomicU64,
    resident_bytes: AtomicU64,
    peak_bytes: AtomicU64,
    message_bytes: AtomicU64,
    client_connections: AtomicU64,
    request_bytes: AtomicU64,
    ready: AtomicBool,
}

impl Metrics {
    /// All metrics at 0, for classes of these names.
    pub fn new(classes: &[String]) -> Metrics {
        let class = |name: &String| ClassCounters { name: name.clone(), ..ClassCounters::default() };
        Metrics { classes: classes.iter().map(class).collect(), ..Metrics::default() }
    }

    /// Counts the outcome of a message. A class that is no longer configured has no metric and is not counted.
    pub fn count_outcome(&self, class: usize, outcome: CountedOutcome) {
        let Some(class) = self.classes.get(class) else { return };
        let counter = match outcome {
            CountedOutcome::Fulfilled => &class.fulfilled,
            CountedOutcome::Throttled => &class.throttled,
            CountedOutcome::Faulted => &class.faulted,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Counts messages that were written completely to an endpoint.
    pub fn add_relayed(&self, messages: u64) {
        self.relayed.fetch_add(messages, Relaxed);
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.pending_messages.store(gauges.pending_messages, Relaxed);
        self.listed_endpoints.store(gauges.listed_endpoints, Relaxed);
        self.out_of_rotation.store(gauges.out_of_rotation, Relaxed);
        self.resident_bytes.store(gauges.resident_bytes, Relaxed);
        self.peak_bytes.store(gauges.peak_bytes, Relaxed);
        self.message_bytes.store(gauges.message_bytes, Relaxed);
        self.client_connections.store(gauges.client_connections, Relaxed);
        self.request_bytes.store(gauges.request_bytes, Relaxed);
    }

    /// Whether this process is ready to serve.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// Sets whether this process is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Relaxed);
    }

    /// All metrics in StatsD's text format, one per line.
    pub fn statsd_lines(&self) -> String {
        let mut text = String::new();
        for class in &self.classes {
            for (name, counter) in [
                ("fulfilled", &class.fulfilled),
                ("throttled", &class.throttled),
                ("faulted", &class.faulted),
            ] {
                let _ = writeln!(text, "app.{name}.{}:{}|c", class.name, counter.load(Relaxed));
            }
        }
        let _ = writeln!(text, "app.relayed:{}|c", self.relayed.load(Relaxed));
        for (name, gauge) in [
            ("open_requests", &self.pending_messages),
            ("registry_entries", &self.listed_endpoints),
            ("out_of_rotation", &self.out_of_rotation),
            ("memory_resident", &self.resident_bytes),
            ("memory_peak", &self.peak_bytes),
            ("memory_messages", &self.message_bytes),
            ("client_connections", &self.client_connections),
            ("memory_requests", &self.request_bytes),
        ] {
            let _ = writeln!(text, "app.{name}:{}|g", gauge.load(Relaxed));
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn outcomes_are_counted_by_class() {
        let metrics = Metrics::new(&["a".into(), "b".into()]);
        metrics.count_outcome(0, CountedOutcome::Fulfilled);
        metrics.count_outcome(1, CountedOutcome::Throttled);
        metrics.count_outcome(1, CountedOutcome::Throttled);
        metrics.count_outcome(1, CountedOutcome::Faulted);
        metrics.count_outcome(7, CountedOutcome::Faulted);
        metrics.add_relayed(4);
        metrics.set_gauges(Gauges {
            pending_messages: 5,
            listed_endpoints: 6,
            out_of_rotation: 2,
            resident_bytes: 7,
            peak_bytes: 8,
            message_bytes: 9,
            client_connections: 10,
            request_bytes: 11,
        });
        assert_eq!(
            metrics.statsd_lines(),
            "app.fulfilled.a:1|c\napp.throttled.a:0|c\napp.faulted.a:0|c\napp.fulfilled.b:0|c\n\
             app.throttled.b:2|c\napp.faulted.b:1|c\napp.relayed:4|c\napp.open_requests:5|g\n\
             app.registry_entries:6|g\napp.out_of_rotation:2|g\napp.memory_resident:7|g\n\
             app.memory_peak:8|g\napp.memory_messages:9|g\napp.client_connections:10|g\n\
             app.memory_requests:11|g\n"
        );
    }
}
