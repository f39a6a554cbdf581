//! Why this process closed clients' connections, counted for one log line a second.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

/// Why this process closed a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// It was idle, and another client needed its place.
    IdleDisplaced,
    /// Its request was expected or incomplete, and another client needed its place.
    Displaced,
    /// Its request was incomplete, and another request needed its memory.
    DisplacedForMemory,
    /// Its request did not arrive in time.
    RequestTimedOut,
    /// Its response could not be written: the client does not read.
    ResponseTimedOut,
    /// Its request was invalid, or longer than the protocol allows.
    InvalidRequest,
    /// The process stops.
    Stopping,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::IdleDisplaced => "idle_displaced",
            CloseReason::Displaced => "displaced",
            CloseReason::DisplacedForMemory => "displaced_for_memory",
            CloseReason::RequestTimedOut => "timed_out",
            CloseReason::ResponseTimedOut => "not_reading",
            CloseReason::InvalidRequest => "invalid",
            CloseReason::Stopping => "stopping",
        })
    }
}

/// The closes since the last log line, by reason.
#[derive(Default)]
pub struct CloseCounters(RefCell<BTreeMap<CloseReason, u64>>);

impl CloseCounters {
    /// Counts one close.
    pub fn add(&self, reason: CloseReason) {
        *self.0.borrow_mut().entry(reason).or_default() += 1;
    }

    /// The counters as `reason=count`, separated by commas, which then start again from zero; `None` if all are zero.
    pub fn take(&self) -> Option<String> {
        let counters = self.0.take();
        let fields: Vec<String> =
            counters.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        (!fields.is_empty()).then(|| fields.join(","))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_are_listed_by_reason_and_start_again() {
        let counters = CloseCounters::default();
        assert_eq!(counters.take(), None);
        counters.add(CloseReason::RequestTimedOut);
        counters.add(CloseReason::Displaced);
        counters.add(CloseReason::Displaced);
        assert_eq!(counters.take().as_deref(), Some("displaced=2,timed_out=1"));
        assert_eq!(counters.take(), None);
    }
}
