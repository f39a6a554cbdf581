//! The end of this process: what is still taken on, and what must have its answer before.
//! Guards messages against being held for a life that comes too late. Harm: they are handed in elsewhere.

use super::attempts::MIN_TIMEOUT_SECONDS;
use super::order::LAST_CALL_LATENCY_MULTIPLE;
use super::*;

/// From the last call here until the next life's first: kill, pause and start (protocol page), the journal.
const RESTART_SECONDS: f64 = 2.0;

impl Dispatcher {
    /// Whether a message is taken on: it can go before this process ends, or has time left in the next life.
    pub fn can_accept(&self, now: Seconds, message: Message) -> bool {
        let at_once = || self.select_endpoint(now, &MessageState::new(message, now, false)).is_ok();
        self.shutdown_at == f64::INFINITY
            || message.deadline
                >= self.shutdown_at + RESTART_SECONDS + LAST_CALL_LATENCY_MULTIPLE * DEFAULT_LATENCY_SECONDS
            || self.calls.len() + self.queued_destinations.len() < self.settings.max_concurrent_calls
                && at_once()
    }

    /// When a held message gets its answer that is due by `last`: no call of use begins at the very end.
    pub(super) fn before_shutdown(&self, last: Seconds) -> Seconds {
        if last < self.shutdown_at + RESTART_SECONDS {
            last.min(self.shutdown_at - MIN_TIMEOUT_SECONDS)
        } else {
            last
        }
    }
}
