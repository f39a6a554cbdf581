//! The journal's work on space, a bounded step after each round, and what is told of it.

use crate::{Node, log};
use std::time::{Duration, Instant};

/// No more often than this is a line written about the journal.
const REPORT: Duration = Duration::from_secs(60);

/// What the steps took.
#[derive(Default)]
pub struct Compactor {
    steps: u64,
    time: Duration,
    longest: Duration,
    reported: Option<Instant>,
    told: (u64, u64),
}

impl Compactor {
    /// One step, where there is work.
    pub fn step(&mut self, node: &Node) {
        let begun = Instant::now();
        let mut journal = node.journal.borrow_mut();
        match journal.compact_step() {
            Ok(false) => {}
            Ok(true) => {
                let took = begun.elapsed();
                (self.steps, self.time, self.longest) =
                    (self.steps + 1, self.time + took, self.longest.max(took));
            }
            Err(error) => node.observe_journal_write(Err(error)),
        }
        let counts = journal.counters();
        let since = *self.reported.get_or_insert(begun);
        if begun - since >= REPORT && self.told != (counts.segments_removed, counts.rejected_messages) {
            (self.reported, self.told) = (Some(begun), (counts.segments_removed, counts.rejected_messages));
            let segments = journal.segments();
            let (bytes, live) =
                segments.iter().fold((0, 0), |(b, l), (_, length, live)| (b + length, l + live));
            log::info_limited(format_args!(
                "journal: {} segments, {bytes} bytes, {live} live; {} bytes written, {} of them copies, in {} steps of \
                 {:.3} ms on average and {:.3} at most; {} removed, {} messages refused for room, {} calls failed",
                segments.len(),
                counts.bytes_written,
                counts.bytes_copied,
                self.steps,
                self.time.as_secs_f64() * 1e3 / self.steps.max(1) as f64,
                self.longest.as_secs_f64() * 1e3,
                counts.segments_removed,
                counts.rejected_messages,
                counts.failed_calls
            ));
        }
    }
}
