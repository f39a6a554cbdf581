//! Traffic counters of each destination, logged in one line per second unless all are zero. `fawnspoke
//! lab fleet` adds up the lines of a fleet, to find load that is harmless from one dispatcher alone.

use crate::calls::CallEnd;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use waydoor::{Outcome, RateLimitReport, Seconds};

/// Destinations in one line; the others of that second are summed up as `rest`.
const MAX_DESTINATIONS_PER_LINE: usize = 64;
/// An overload response is due to the rate limit if less than `LIMIT_EXHAUSTED_BELOW` of it is
/// left, and has another cause if `LIMIT_UNUSED_FROM` of it or more is left.
const LIMIT_EXHAUSTED_BELOW: f64 = 0.2;
const LIMIT_UNUSED_FROM: f64 = 0.8;
/// The names of the counters in the line, which `fawnspoke lab fleet` reads.
const COUNTER_NAMES: [&str; 21] = [
    "taken",
    "calls",
    "messages",
    "served",
    "full",
    "full_used",
    "full_shut",
    "lost",
    "unconnected",
    "connects",
    "probes",
    "back",
    "given_up",
    "held",
    "oldest_ms",
    "reports",
    "left_pct",
    "limit",
    "surplus",
    "unproven",
    "ended",
];

/// Counters and gauges of one destination for one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DestinationCounters {
    /// Messages accepted.
    pub accepted: u64,
    /// Calls started.
    pub calls: u64,
    /// Messages in those calls.
    pub messages: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Calls rejected because of overload.
    pub overloaded: u64,
    /// Of these, the calls whose response reported that the rate limit was used up.
    pub limit_exhausted: u64,
    /// Of these, the calls whose response reported that nearly all of the limit was left: the
    /// destination was unavailable, its queue full, cold or short of connections.
    pub limit_unused: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
    /// Calls that could not connect.
    pub connect_failures: u64,
    pub new_connections: u64,
    pub probes: u64,
    /// Messages handed back: unsent, or harmless to send again.
    pub handed_back: u64,
    /// Messages given up.
    pub given_up: u64,
    /// Messages that are open at the end of the second.
    pub open: u64,
    /// Age of the oldest of them, in milliseconds.
    pub oldest_ms: u64,
    /// Reports that state what is left of a rate limit.
    pub reports: u64,
    /// Sum of what these reports state, in percent.
    pub remaining_percent_sum: u64,
    /// The rate limit that was reported last, in calls per second.
    pub rate_limit: u64,
    /// Responses that belong to no call.
    pub surplus_responses: u64,
    /// Deliveries that could not be proven before their messages had to end by a notice.
    pub unproven_deliveries: u64,
    /// Messages that an endpoint refused to run, because they are over or have used up their attempts.
    pub refused_as_ended: u64,
}

impl DestinationCounters {
    fn values(&self) -> [u64; 21] {
        let DestinationCounters {
            accepted,
            calls,
            messages,
            delivered,
            overloaded,
            failed,
            connect_failures,
            new_connections,
            ..
        } = *self;
        let DestinationCounters { limit_exhausted, limit_unused, .. } = *self;
        let DestinationCounters {
            probes,
            handed_back,
            given_up,
            open,
            oldest_ms,
            reports,
            remaining_percent_sum,
            rate_limit,
            surplus_responses,
            unproven_deliveries,
            refused_as_ended,
            ..
        } = *self;
        [
            accepted,
            calls,
            messages,
            delivered,
            overloaded,
            limit_exhausted,
            limit_unused,
            failed,
            connect_failures,
            new_connections,
            probes,
            handed_back,
            given_up,
            open,
            oldest_ms,
            reports,
            remaining_percent_sum,
            rate_limit,
            surplus_responses,
            unproven_deliveries,
            refused_as_ended,
        ]
    }

    fn add(&mut self, other: &DestinationCounters) {
        self.accepted += other.accepted;
        self.calls += other.calls;
        self.messages += other.messages;
        self.delivered += other.delivered;
        self.overloaded += other.overloaded;
        self.limit_exhausted += other.limit_exhausted;
        self.limit_unused += other.limit_unused;
        self.failed += other.failed;
        self.connect_failures += other.connect_failures;
        self.new_connections += other.new_connections;
        self.probes += other.probes;
        self.handed_back += other.handed_back;
        self.given_up += other.given_up;
        self.open += other.open;
        self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
        self.reports += other.reports;
        self.remaining_percent_sum += other.remaining_percent_sum;
        self.surplus_responses += other.surplus_responses;
        self.unproven_deliveries += other.unproven_deliveries;
        self.refused_as_ended += other.refused_as_ended;
    }
}

/// The counters of the current second.
#[derive(Default)]
pub struct TrafficCounters {
    destinations: RefCell<BTreeMap<u32, DestinationCounters>>,
}

impl TrafficCounters {
    /// Updates the counters of a destination.
    pub fn update(&self, destination: u32, change: impl FnOnce(&mut DestinationCounters)) {
        change(self.destinations.borrow_mut().entry(destination).or_default());
    }

    /// Counts the end of a call.
    pub fn record_call_end(&self, destination: u32, end: &CallEnd) {
        let delivered = end.message_ends.iter().filter(|end| end.outcome == Outcome::Served).count() as u64;
        let last = end.message_ends.last().map(|end| end.outcome);
        self.update(destination, |counters| {
            counters.delivered += delivered;
            if let Some(RateLimitReport { rate, remaining_share }) = end.rate_limit_report {
                counters.rate_limit = rate as u64;
                counters.reports += u64::from(remaining_share.is_some());
                counters.remaining_percent_sum += (remaining_share.unwrap_or(0.0) * 100.0) as u64;
            }
            counters.new_connections +=
                u64::from(!end.connection_reused && last != Some(Outcome::ConnectFailed));
            match last {
                Some(Outcome::Overloaded) => {
                    let told_limit = end.rate_limit_report.filter(|report| report.rate > 0.0);
                    let remaining_share = told_limit.and_then(|report| report.remaining_share);
                    counters.overloaded += 1;
                    counters.limit_exhausted += u64::from(
                        remaining_share
                            .is_some_and(|remaining_share| remaining_share < LIMIT_EXHAUSTED_BELOW),
                    );
                    counters.limit_unused += u64::from(
                        remaining_share.is_some_and(|remaining_share| remaining_share >= LIMIT_UNUSED_FROM),
                    );
                }
                Some(Outcome::ConnectFailed) => counters.connect_failures += 1,
                Some(Outcome::Served | Outcome::NotSent | Outcome::AttemptsExhausted) | None => {}
                Some(_) => counters.failed += 1,
            }
        });
    }

    /// The line with the counters, which then start again from zero; `None` if nothing happened.
    /// `open_messages`: destination and age of each open message.
    pub fn take_line(
        &self, now: Seconds, open_messages: impl Iterator<Item = (u32, Seconds)>,
    ) -> Option<String> {
        let mut destinations = self.destinations.take();
        for (destination, age) in open_messages {
            let counters = destinations.entry(destination).or_default();
            counters.open += 1;
            counters.oldest_ms = counters.oldest_ms.max((age.max(0.0) * 1000.0) as u64);
        }
        if destinations.is_empty() {
            return None;
        }
        let mut line = format!("{now:.3} counts");
        let mut rest = DestinationCounters::default();
        let mut write_counters = |name: &dyn std::fmt::Display, counters: &DestinationCounters| {
            let mut separator = ':';
            let _ = write!(line, " {name}");
            for (name, value) in COUNTER_NAMES.iter().zip(counters.values()).filter(|(_, value)| *value > 0) {
                let _ = write!(line, "{separator}{name}={value}");
                separator = ',';
            }
        };
        for (i, (destination, counters)) in destinations.iter().enumerate() {
            if i < MAX_DESTINATIONS_PER_LINE {
                write_counters(destination, counters)
            } else {
                rest.add(counters)
            }
        }
        if rest != DestinationCounters::default() {
            write_counters(&"rest", &rest);
        }
        Some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_reset_each_second_and_the_line_is_bounded() {
        let traffic = TrafficCounters::default();
        assert_eq!(traffic.take_line(1.0, std::iter::empty()), None);
        for destination in 0..100 {
            traffic.update(destination, |counters| counters.accepted += 2);
        }
        let line = traffic.take_line(2.0, [(3, 0.25), (3, 0.5), (99, 1.0)].into_iter()).unwrap();
        assert!(
            line.starts_with("2.000 counts 0:taken=2 1:taken=2 2:taken=2 3:taken=2,held=2,oldest_ms=500 ")
        );
        assert!(line.ends_with(" 63:taken=2 rest:taken=72,held=1,oldest_ms=1000"), "{line}");
        assert_eq!(traffic.take_line(3.0, std::iter::empty()), None);
    }

    #[test]
    fn a_rejection_that_reports_no_limit_is_not_counted_as_an_exhausted_limit() {
        let traffic = TrafficCounters::default();
        let end = |rate| CallEnd {
            rate_limit_report: Some(RateLimitReport { rate, remaining_share: Some(0.0) }),
            ..CallEnd::without_report(
                vec![crate::call_results::MessageEnd::open(1, 0, Outcome::Overloaded)],
                false,
            )
        };
        traffic.record_call_end(1, &end(0.0));
        traffic.record_call_end(2, &end(5.0));
        let line = traffic.take_line(1.0, std::iter::empty()).unwrap();
        assert!(line.contains(" 1:full=1,connects=1"), "{line}");
        assert!(line.contains(" 2:full=1,full_used=1,"), "{line}");
    }
}
