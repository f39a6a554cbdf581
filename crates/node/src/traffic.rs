//! What passed at each destination, counted and told in a line a second while anything happens: what is harmless
//! at one dispatcher shows in the sum over the fleet (`fawnspoke lab fleet`).

use crate::calls::CallEnd;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use waydoor::{Outcome, RateLimitReport, Seconds};

/// Destinations in one line; the others of that second are summed up as `rest`.
const PLACES: usize = 64;
/// A refusal with less left than this of a limit comes from the limit, one with more than that does not.
const LEFT_NONE: f64 = 0.2;
const LEFT_MOST: f64 = 0.8;
/// What is counted, by the names that the line uses.
const NAMES: [&str; 18] = [
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
];

/// Events and gauges of one second at one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Messages that came.
    pub taken: u64,
    /// Calls that were begun.
    pub calls: u64,
    /// Messages in them.
    pub messages: u64,
    /// Messages delivered.
    pub served: u64,
    /// Calls that were turned away.
    pub full: u64,
    /// Those of them that told that nothing was left of the limit ...
    pub full_used: u64,
    /// ... and those that told that nearly all was: shut, its queue full, cold or short of connections.
    pub full_shut: u64,
    /// Calls that failed otherwise.
    pub lost: u64,
    /// Calls that could not connect.
    pub unconnected: u64,
    /// New connections.
    pub connects: u64,
    /// Probes.
    pub probes: u64,
    /// Messages handed back unsent or harmless to send again.
    pub back: u64,
    /// Messages given up.
    pub given_up: u64,
    /// Messages that are open at the second's end.
    pub held: u64,
    /// Age of the oldest of them, in milliseconds.
    pub oldest_ms: u64,
    /// Reports that told what is left of a limit.
    pub reports: u64,
    /// What they told, in hundredths, summed up.
    pub left_pct: u64,
    /// The limit that was told last, in calls a second.
    pub limit: u64,
}

impl Count {
    fn figures(&self) -> [u64; 18] {
        let Count { taken, calls, messages, served, full, lost, unconnected, connects, .. } = *self;
        let Count { full_used, full_shut, .. } = *self;
        let Count { probes, back, given_up, held, oldest_ms, reports, left_pct, limit, .. } = *self;
        [
            taken,
            calls,
            messages,
            served,
            full,
            full_used,
            full_shut,
            lost,
            unconnected,
            connects,
            probes,
            back,
            given_up,
            held,
            oldest_ms,
            reports,
            left_pct,
            limit,
        ]
    }

    fn add(&mut self, other: &Count) {
        self.taken += other.taken;
        self.calls += other.calls;
        self.messages += other.messages;
        self.served += other.served;
        self.full += other.full;
        self.full_used += other.full_used;
        self.full_shut += other.full_shut;
        self.lost += other.lost;
        self.unconnected += other.unconnected;
        self.connects += other.connects;
        self.probes += other.probes;
        self.back += other.back;
        self.given_up += other.given_up;
        self.held += other.held;
        self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
        self.reports += other.reports;
        self.left_pct += other.left_pct;
    }
}

/// The counts of the second that runs.
#[derive(Default)]
pub struct Counts {
    places: RefCell<BTreeMap<u32, Count>>,
}

impl Counts {
    /// Counts something at a destination.
    pub fn count(&self, dest: u32, with: impl FnOnce(&mut Count)) {
        with(self.places.borrow_mut().entry(dest).or_default());
    }

    /// Counts the end of a call.
    pub fn ended(&self, dest: u32, end: &CallEnd) {
        let served = end.ends.iter().filter(|end| end.outcome == Outcome::Served).count() as u64;
        let last = end.ends.last().map(|end| end.outcome);
        self.count(dest, |count| {
            count.served += served;
            if let Some(RateLimitReport { rate, remaining_share: left }) = end.rate_limit_report {
                count.limit = rate as u64;
                count.reports += u64::from(left.is_some());
                count.left_pct += (left.unwrap_or(0.0) * 100.0) as u64;
            }
            count.connects += u64::from(!end.connection_reused && last != Some(Outcome::ConnectFailed));
            match last {
                Some(Outcome::Overloaded) => {
                    let left = end.rate_limit_report.and_then(|told| told.remaining_share);
                    count.full += 1;
                    count.full_used += u64::from(left.is_some_and(|left| left < LEFT_NONE));
                    count.full_shut += u64::from(left.is_some_and(|left| left >= LEFT_MOST));
                }
                Some(Outcome::ConnectFailed) => count.unconnected += 1,
                Some(Outcome::Served | Outcome::NotSent) | None => {}
                Some(_) => count.lost += 1,
            }
        });
    }

    /// The line of what was counted, and counts anew; none where nothing happened. `held`: destination and age of
    /// each open message.
    pub fn line(&self, now: Seconds, held: impl Iterator<Item = (u32, Seconds)>) -> Option<String> {
        let mut places = self.places.take();
        for (dest, age) in held {
            let count = places.entry(dest).or_default();
            count.held += 1;
            count.oldest_ms = count.oldest_ms.max((age.max(0.0) * 1000.0) as u64);
        }
        if places.is_empty() {
            return None;
        }
        let mut line = format!("{now:.3} counts");
        let mut rest = Count::default();
        let mut tell = |name: &dyn std::fmt::Display, count: &Count| {
            let mut before = ':';
            let _ = write!(line, " {name}");
            for (name, figure) in NAMES.iter().zip(count.figures()).filter(|(_, figure)| *figure > 0) {
                let _ = write!(line, "{before}{name}={figure}");
                before = ',';
            }
        };
        for (i, (dest, count)) in places.iter().enumerate() {
            if i < PLACES { tell(dest, count) } else { rest.add(count) }
        }
        if rest != Count::default() {
            tell(&"rest", &rest);
        }
        Some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_is_told_once_and_its_line_is_bounded() {
        let counts = Counts::default();
        assert_eq!(counts.line(1.0, std::iter::empty()), None);
        for dest in 0..100 {
            counts.count(dest, |count| count.taken += 2);
        }
        let line = counts.line(2.0, [(3, 0.25), (3, 0.5), (99, 1.0)].into_iter()).unwrap();
        assert!(
            line.starts_with("2.000 counts 0:taken=2 1:taken=2 2:taken=2 3:taken=2,held=2,oldest_ms=500 ")
        );
        assert!(line.ends_with(" 63:taken=2 rest:taken=72,held=1,oldest_ms=1000"), "{line}");
        assert_eq!(counts.line(3.0, std::iter::empty()), None);
    }
}
