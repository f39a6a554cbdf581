//! Log lines of the member's thread. Remote members can trigger many of them, so their rate is limited; lines that were
//! dropped are counted.

use crate::Seconds;
use std::fmt::Display;
use std::io::Write;

/// Writes one line to standard output. A failed write loses the line and has no other effect.
pub fn log_line(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

const MAX_LINES_PER_SECOND: u32 = 5;

/// Limits the rate of log lines that remote members can trigger.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    window_start: Seconds,
    lines_in_window: u32,
    dropped: u32,
}

impl RateLimitedLog {
    /// Whether one more line may be written now; if so, the number of lines dropped before it.
    fn admit(&mut self, now: Seconds) -> Option<u32> {
        let mut dropped = 0;
        if now - self.window_start >= 1.0 {
            dropped = std::mem::take(&mut self.dropped);
            (self.window_start, self.lines_in_window) = (now, 0);
        }
        if self.lines_in_window >= MAX_LINES_PER_SECOND {
            self.dropped += 1;
            return None;
        }
        self.lines_in_window += 1;
        Some(dropped)
    }

    /// Writes a line unless the rate limit is reached.
    pub fn line(&mut self, now: Seconds, text: impl Display) {
        match self.admit(now) {
            Some(0) => log_line(format_args!("fleet: {text}")),
            Some(dropped) => log_line(format_args!("fleet: {dropped} lines dropped\nfleet: {text}")),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_over_the_limit_are_dropped_and_counted() {
        let mut log = RateLimitedLog::default();
        let written = (0..100).filter(|_| log.admit(5.0).is_some()).count();
        assert_eq!((written, log.admit(5.9), log.admit(6.0), log.admit(6.0)), (5, None, Some(96), Some(0)));
    }
}
