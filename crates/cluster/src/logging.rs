//! What the member's thread says, a line each. Peers may cause as many as they like: no more than so many are written in a
//! second, and those left out are counted.

use crate::Seconds;
use std::fmt::Display;
use std::io::Write;

/// Writes one line; a log that takes nothing costs its line and nothing else.
pub fn say(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

const LINES_A_SECOND: u32 = 5;

/// Lines that others may cause.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    since: Seconds,
    lines: u32,
    left_out: u32,
}

impl RateLimitedLog {
    /// Whether one more line is written at this time; with it, how many were left out before.
    fn room(&mut self, now: Seconds) -> Option<u32> {
        let mut left_out = 0;
        if now - self.since >= 1.0 {
            left_out = std::mem::take(&mut self.left_out);
            (self.since, self.lines) = (now, 0);
        }
        if self.lines >= LINES_A_SECOND {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(left_out)
    }

    /// Writes a line, where there is room.
    pub fn line(&mut self, now: Seconds, text: impl Display) {
        match self.room(now) {
            Some(0) => say(format_args!("fleet: {text}")),
            Some(left_out) => say(format_args!("fleet: {left_out} lines left out\nfleet: {text}")),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_a_few_lines_and_a_count() {
        let mut said = RateLimitedLog::default();
        let written = (0..100).filter(|_| said.room(5.0).is_some()).count();
        assert_eq!((written, said.room(5.9), said.room(6.0), said.room(6.0)), (5, None, Some(96), Some(0)));
    }
}
