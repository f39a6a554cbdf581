//! How late the event loop runs. Everything shares one thread, so work that another task does in one turn delays the
//! event loop, and with it every timer of a message.

use std::time::Duration;
use waydoor::Seconds;

/// A delay that is worth a line: a notice is overdue 0.3 s after the deadline of its message.
const LOGGED_DELAY: Duration = Duration::from_millis(50);

/// The longest delay of the event loop since the last line.
#[derive(Default)]
pub struct LoopDelay {
    longest: Duration,
}

impl LoopDelay {
    /// Records by how much a tick came later than it was due.
    pub fn record(&mut self, delay: Duration) {
        self.longest = self.longest.max(delay);
    }

    /// Starts anew, and returns the line on the time before if there is one.
    pub fn take_line(&mut self, now: Seconds) -> Option<String> {
        let longest = std::mem::take(&mut self.longest);
        let line = || format!("{now:.3} event loop: up to {:.3} s late", longest.as_secs_f64());
        (longest >= LOGGED_DELAY).then(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_delay_is_logged_once() {
        let mut delay = LoopDelay::default();
        delay.record(Duration::from_millis(49));
        assert_eq!(delay.take_line(1.0), None);
        [20, 70, 30].into_iter().for_each(|delay_ms| delay.record(Duration::from_millis(delay_ms)));
        assert_eq!(delay.take_line(2.0).as_deref(), Some("2.000 event loop: up to 0.070 s late"));
        assert_eq!(delay.take_line(3.0), None);
    }
}
