//! Runs the journal's compaction, one bounded step per tick, and logs statistics about it.

use crate::{Node, log};
use std::time::{Duration, Instant};

/// Minimum interval between two log lines with statistics.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Runs the compaction steps and measures them.
#[derive(Default)]
pub struct Compactor {
    steps: u64,
    total_time: Duration,
    longest_step: Duration,
    reported_at: Option<Instant>,
    /// Removed segments and rejected messages at the last report.
    reported_counts: (u64, u64),
}

impl Compactor {
    /// Runs one step, if there is work, and logs a line if one is due.
    pub fn step(&mut self, node: &Node) {
        let started_at = Instant::now();
        let mut journal = node.journal.borrow_mut();
        match journal.compact_step() {
            Ok(false) => {}
            Ok(true) => {
                let duration = started_at.elapsed();
                (self.steps, self.total_time, self.longest_step) =
                    (self.steps + 1, self.total_time + duration, self.longest_step.max(duration));
            }
            Err(error) => node.observe_journal_write(Err(error)),
        }
        let counters = journal.counters();
        let reported_at = *self.reported_at.get_or_insert(started_at);
        if started_at - reported_at >= REPORT_INTERVAL
            && self.reported_counts != (counters.segments_removed, counters.rejected_messages)
        {
            (self.reported_at, self.reported_counts) =
                (Some(started_at), (counters.segments_removed, counters.rejected_messages));
            let segments = journal.segments();
            let (bytes, live) = segments
                .iter()
                .fold((0, 0), |(bytes, live), (_, length, live_bytes)| (bytes + length, live + live_bytes));
            log::info_limited(format_args!(
                "journal: {} segments, {bytes} bytes, {live} live; {} bytes written, {} of them copies, in {} steps of \
                 {:.3} ms on average and {:.3} ms at most; {} segments removed, {} messages rejected for lack of \
                 space, {} file system calls failed",
                segments.len(),
                counters.bytes_written,
                counters.bytes_copied,
                self.steps,
                self.total_time.as_secs_f64() * 1e3 / self.steps.max(1) as f64,
                self.longest_step.as_secs_f64() * 1e3,
                counters.segments_removed,
                counters.rejected_messages,
                counters.failed_calls
            ));
        }
    }
}
