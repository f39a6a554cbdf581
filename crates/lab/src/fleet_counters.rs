//! Sums the traffic counters that the dispatchers of a fleet log in their `counts` lines, by time interval and
//! destination. Behavior that overloads a destination only when all dispatchers show it at once is
//! visible only in these sums.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Columns of the table, by the counters' names in the logs; other counters are not printed.
pub const COLUMNS: [&str; 11] = [
    "taken",
    "calls",
    "messages",
    "served",
    "full",
    "lost",
    "unconnected",
    "connects",
    "probes",
    "back",
    "given_up",
];

/// The counters in a fleet's logs.
#[derive(Debug, Default, PartialEq)]
pub struct FleetCounters {
    /// Number of logs that were read.
    pub logs: usize,
    /// Number of lines with counters.
    pub counter_lines: usize,
    /// Sum of each counter, by interval (its number) and destination, then by the counter's name.
    pub intervals: BTreeMap<(u64, String), BTreeMap<String, u64>>,
    /// Sum over the interval's lines of the pending messages, and the age of the oldest in milliseconds, by
    /// interval and destination.
    pub pending: BTreeMap<(u64, String), (u64, u64)>,
    /// Dispatchers that logged counters, by interval.
    pub reporting: BTreeMap<u64, BTreeSet<usize>>,
    /// Failed requests for the endpoint list, by interval.
    pub list_failures: BTreeMap<u64, u64>,
}

impl FleetCounters {
    /// Adds one line of a dispatcher's log; lines without counters are ignored. `interval_s`: length of an
    /// interval in seconds.
    pub fn add_line(&mut self, log: usize, line: &str, interval_s: f64) {
        let mut fields = line.split_whitespace();
        let Some(time) = fields.next().and_then(|field| field.parse::<f64>().ok()).filter(|t| *t >= 0.0)
        else {
            return;
        };
        let interval = (time / interval_s) as u64;
        if line.contains("discovery: watch ended") {
            *self.list_failures.entry(interval).or_default() += 1;
        }
        if !fields.by_ref().take(2).any(|field| field == "counts") {
            return;
        }
        self.counter_lines += 1;
        self.reporting.entry(interval).or_default().insert(log);
        for (destination, counters) in fields.filter_map(|field| field.split_once(':')) {
            let totals = self.intervals.entry((interval, destination.to_string())).or_default();
            let pairs = counters.split(',').filter_map(|value| value.split_once('='));
            for (name, value) in pairs.filter_map(|(name, value)| Some((name, value.parse::<u64>().ok()?))) {
                let pending = self.pending.entry((interval, destination.to_string())).or_default();
                match name {
                    // A gauge, logged every second of the interval.
                    "held" => pending.0 += value,
                    "oldest_ms" => pending.1 = pending.1.max(value),
                    // Each dispatcher reports it: the lowest value of the interval counts.
                    "limit" => {
                        let lowest = totals.entry(name.to_string()).or_insert(value);
                        *lowest = value.min(*lowest);
                    }
                    _ => *totals.entry(name.to_string()).or_default() += value,
                }
            }
        }
    }

    /// Reads all files `*.log` of a directory, one per dispatcher.
    ///
    /// # Errors
    /// One line that names the directory or file, where it can't be read or has no counters.
    pub fn read_logs(dir: &Path, interval_s: f64) -> Result<FleetCounters, String> {
        let error_at = |path: &Path, error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let mut counters = FleetCounters::default();
        let files = std::fs::read_dir(dir).map_err(|error| error_at(dir, &error))?;
        let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|extension| extension == "log"));
        paths.sort();
        for path in paths {
            let file = std::fs::File::open(&path).map_err(|error| error_at(&path, &error))?;
            for line in BufReader::new(file).split(b'\n') {
                let line = line.map_err(|error| error_at(&path, &error))?;
                counters.add_line(counters.logs, &String::from_utf8_lossy(&line), interval_s);
            }
            counters.logs += 1;
        }
        if counters.counter_lines == 0 {
            return Err(error_at(dir, &"no log with counts (files *.log of dispatchers)"));
        }
        Ok(counters)
    }

    /// The table: a row for each interval and destination, and one for all destinations.
    pub fn text(&self, interval_s: f64) -> String {
        let mut text = format!("{} logs, {} lines of counts\n", self.logs, self.counter_lines);
        text.push_str(&format!("{:>6} {:>5}", "from_s", "dest"));
        for column in COLUMNS {
            text.push_str(&format!(" {column:>11}"));
        }
        text.push_str(&format!(
            " {:>9} {:>9} {:>5} {:>5} {:>5} {:>5}\n",
            "held", "oldest_s", "left%", "limit", "alive", "lists"
        ));
        let interval_numbers: BTreeSet<u64> = self.intervals.keys().map(|(interval, _)| *interval).collect();
        for interval in interval_numbers {
            let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
            let mut total_pending = (0, 0);
            let mut row =
                |destination: &str, counters: &dyn Fn(&str) -> u64, pending: (u64, u64), tail: String| {
                    text.push_str(&format!("{:>6} {destination:>5}", interval as f64 * interval_s));
                    for column in COLUMNS {
                        text.push_str(&format!(" {:>11}", counters(column)));
                    }
                    let (mean, oldest) = (pending.0 as f64 / interval_s.max(1.0), pending.1 as f64 / 1000.0);
                    let remaining_percent = counters("left_pct") as f64 / counters("reports").max(1) as f64;
                    let limit = counters("limit");
                    text.push_str(&format!(
                        " {mean:>9.0} {oldest:>9.1} {remaining_percent:>5.0} {limit:>5}{tail}\n"
                    ));
                };
            for ((row_interval, destination), counters) in &self.intervals {
                if *row_interval != interval {
                    continue;
                }
                let pending = self.pending.get(&(interval, destination.clone())).copied().unwrap_or_default();
                total_pending = (total_pending.0 + pending.0, total_pending.1.max(pending.1));
                for (name, value) in counters {
                    *totals.entry(name).or_default() += value;
                }
                row(destination, &|name| counters.get(name).copied().unwrap_or(0), pending, String::new());
            }
            let reporting = self.reporting.get(&interval).map_or(0, BTreeSet::len);
            let list_failures = self.list_failures.get(&interval).copied().unwrap_or(0);
            let tail = format!(" {reporting:>5} {list_failures:>5}");
            row("all", &|name| totals.get(name).copied().unwrap_or(0), total_pending, tail);
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_of_all_dispatchers_add_up_by_interval_and_destination() {
        let mut counters = FleetCounters::default();
        // The platform may prepend its own timestamp to the dispatcher's.
        counters.add_line(0, "1.5 0.5 counts 4:taken=3,calls=1,held=2,oldest_ms=700 6:full=1", 5.0);
        counters.add_line(1, "4.9 counts 4:taken=2,held=1,oldest_ms=900,strange=x", 5.0);
        counters.add_line(1, "5.1 counts 4:taken=7", 5.0);
        counters.add_line(1, "5.2 discovery: watch ended: answered 503", 5.0);
        for other_line in
            ["", "x", "nan counts 4:taken=1", "-1 counts 4:taken=1", "3.0 a counted thing 4:taken=1"]
        {
            counters.add_line(2, other_line, 5.0);
        }
        assert_eq!(counters.counter_lines, 3);
        assert_eq!(counters.intervals[&(0, "4".into())]["taken"], 5);
        assert_eq!(counters.intervals[&(0, "6".into())]["full"], 1);
        assert_eq!(counters.intervals[&(1, "4".into())]["taken"], 7);
        assert_eq!(counters.pending[&(0, "4".into())], (3, 900));
        assert_eq!((counters.reporting[&0].len(), counters.list_failures[&1]), (2, 1));
        let text = counters.text(5.0);
        assert!(text.lines().any(|line| line.split_whitespace().take(3).eq(["0", "all", "5"])), "{text}");
    }
}
