//! Sums what the dispatchers of a fleet logged: their `counts` lines, by time and destination. What is harmless at
//! one dispatcher and harmful when all do it shows only here.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Columns of the table, by the names that the dispatchers write; what is not named here is left out.
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

/// What a fleet's logs say.
#[derive(Debug, Default, PartialEq)]
pub struct FleetCounters {
    /// Logs that were read.
    pub logs: usize,
    /// Lines of counts in them.
    pub counter_lines: usize,
    /// By span (its number) and destination, each figure by its name.
    pub intervals: BTreeMap<(u64, String), BTreeMap<String, u64>>,
    /// Messages held at the end of each span, and the age of the oldest in milliseconds, by the same.
    pub pending: BTreeMap<(u64, String), (u64, u64)>,
    /// Dispatchers whose counts say something, by span.
    pub reporting: BTreeMap<u64, BTreeSet<usize>>,
    /// Calls for the list that failed, by span.
    pub list_failures: BTreeMap<u64, u64>,
}

impl FleetCounters {
    /// Takes one line of a dispatcher's log. `every`: seconds of a span. Lines that are no counts are passed over.
    pub fn add_line(&mut self, log: usize, line: &str, every: f64) {
        let mut words = line.split_whitespace();
        let Some(time) = words.next().and_then(|word| word.parse::<f64>().ok()).filter(|t| *t >= 0.0) else {
            return;
        };
        let span = (time / every) as u64;
        if line.contains("discovery: watch ended") {
            *self.list_failures.entry(span).or_default() += 1;
        }
        if !words.by_ref().take(2).any(|word| word == "counts") {
            return;
        }
        self.counter_lines += 1;
        self.reporting.entry(span).or_default().insert(log);
        for (dest, figures) in words.filter_map(|word| word.split_once(':')) {
            let sums = self.intervals.entry((span, dest.to_string())).or_default();
            let read = figures.split(',').filter_map(|figure| figure.split_once('='));
            for (name, figure) in read.filter_map(|(name, figure)| Some((name, figure.parse::<u64>().ok()?)))
            {
                let held = self.pending.entry((span, dest.to_string())).or_default();
                match name {
                    // A gauge: every second of the span tells it.
                    "held" => held.0 += figure,
                    "oldest_ms" => held.1 = held.1.max(figure),
                    // Told by each: the lowest of the span.
                    "limit" => {
                        let least = sums.entry(name.to_string()).or_insert(figure);
                        *least = figure.min(*least);
                    }
                    _ => *sums.entry(name.to_string()).or_default() += figure,
                }
            }
        }
    }

    /// Reads all files `*.log` of a folder, a dispatcher each.
    ///
    /// # Errors
    /// One line that names the folder or file, where it can't be read or holds no counts.
    pub fn read_logs(folder: &Path, every: f64) -> Result<FleetCounters, String> {
        let fault = |path: &Path, error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let mut fleet = FleetCounters::default();
        let files = std::fs::read_dir(folder).map_err(|error| fault(folder, &error))?;
        let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|extension| extension == "log"));
        paths.sort();
        for path in paths {
            let file = std::fs::File::open(&path).map_err(|error| fault(&path, &error))?;
            for line in BufReader::new(file).split(b'\n') {
                let line = line.map_err(|error| fault(&path, &error))?;
                fleet.add_line(fleet.logs, &String::from_utf8_lossy(&line), every);
            }
            fleet.logs += 1;
        }
        if fleet.counter_lines == 0 {
            return Err(fault(folder, &"no log with counts (files *.log of dispatchers)"));
        }
        Ok(fleet)
    }

    /// The table: a row for each span and destination, and one for all.
    pub fn text(&self, every: f64) -> String {
        let mut text = format!("{} logs, {} lines of counts\n", self.logs, self.counter_lines);
        text.push_str(&format!("{:>6} {:>5}", "from_s", "dest"));
        for column in COLUMNS {
            text.push_str(&format!(" {column:>11}"));
        }
        text.push_str(&format!(
            " {:>9} {:>9} {:>5} {:>5} {:>5} {:>5}\n",
            "held", "oldest_s", "left%", "limit", "alive", "lists"
        ));
        let numbers: BTreeSet<u64> = self.intervals.keys().map(|(span, _)| *span).collect();
        for span in numbers {
            let mut all: BTreeMap<&str, u64> = BTreeMap::new();
            let mut whole = (0, 0);
            let mut row = |dest: &str, figures: &dyn Fn(&str) -> u64, held: (u64, u64), tail: String| {
                text.push_str(&format!("{:>6} {dest:>5}", span as f64 * every));
                for column in COLUMNS {
                    text.push_str(&format!(" {:>11}", figures(column)));
                }
                let (mean, oldest) = (held.0 as f64 / every.max(1.0), held.1 as f64 / 1000.0);
                let left = figures("left_pct") as f64 / figures("reports").max(1) as f64;
                let limit = figures("limit");
                text.push_str(&format!(" {mean:>9.0} {oldest:>9.1} {left:>5.0} {limit:>5}{tail}\n"));
            };
            for ((at, dest), figures) in &self.intervals {
                if *at != span {
                    continue;
                }
                let held = self.pending.get(&(span, dest.clone())).copied().unwrap_or_default();
                whole = (whole.0 + held.0, whole.1.max(held.1));
                for (name, figure) in figures {
                    *all.entry(name).or_default() += figure;
                }
                row(dest, &|name| figures.get(name).copied().unwrap_or(0), held, String::new());
            }
            let alive = self.reporting.get(&span).map_or(0, BTreeSet::len);
            let lists = self.list_failures.get(&span).copied().unwrap_or(0);
            let tail = format!(" {alive:>5} {lists:>5}");
            row("all", &|name| all.get(name).copied().unwrap_or(0), whole, tail);
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_of_all_dispatchers_add_up_by_span_and_destination() {
        let mut fleet = FleetCounters::default();
        // The platform may put its own time before the dispatcher's.
        fleet.add_line(0, "1.5 0.5 counts 4:taken=3,calls=1,held=2,oldest_ms=700 6:full=1", 5.0);
        fleet.add_line(1, "4.9 counts 4:taken=2,held=1,oldest_ms=900,strange=x", 5.0);
        fleet.add_line(1, "5.1 counts 4:taken=7", 5.0);
        fleet.add_line(1, "5.2 discovery: watch ended: answered 503", 5.0);
        for noise in ["", "x", "nan counts 4:taken=1", "-1 counts 4:taken=1", "3.0 a counted thing 4:taken=1"]
        {
            fleet.add_line(2, noise, 5.0);
        }
        assert_eq!(fleet.counter_lines, 3);
        assert_eq!(fleet.intervals[&(0, "4".into())]["taken"], 5);
        assert_eq!(fleet.intervals[&(0, "6".into())]["full"], 1);
        assert_eq!(fleet.intervals[&(1, "4".into())]["taken"], 7);
        assert_eq!(fleet.pending[&(0, "4".into())], (3, 900));
        assert_eq!((fleet.reporting[&0].len(), fleet.list_failures[&1]), (2, 1));
        let text = fleet.text(5.0);
        assert!(text.lines().any(|line| line.split_whitespace().take(3).eq(["0", "all", "5"])), "{text}");
    }
}
