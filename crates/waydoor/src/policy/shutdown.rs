//! The shutdown of this process: which messages are still accepted, and which must end before it.
//!
//! Prevents messages from waiting for a process that starts too late. The cost is that clients send them
//! elsewhere.

use super::attempts::MIN_TIMEOUT_SECONDS;
use super::scheduling::LAST_CALL_LATENCY_MULTIPLE;
use super::*;

/// Time between the last call of this process and the first of the next one: kill, pause, start, and reading
/// the journal.
const RESTART_SECONDS: f64 = 2.0;

impl Dispatcher {
    /// Whether to accept a message: it can be sent before this process ends, or has time left in the next
    /// one.
    pub fn can_accept(&self, now: Seconds, message: Message) -> bool {
        let can_send_now = || self.select_endpoint(now, &MessageState::new(message, now, false)).is_ok();
        self.shutdown_at == f64::INFINITY
            || message.deadline
                >= self.shutdown_at + RESTART_SECONDS + LAST_CALL_LATENCY_MULTIPLE * DEFAULT_LATENCY_SECONDS
            || self.calls.len() + self.queued_destinations.len() < self.settings.max_concurrent_calls
                && can_send_now()
    }

    /// When to end a queued message that has to end by `last`: no useful call begins right before the
    /// shutdown.
    pub(super) fn before_shutdown(&self, last: Seconds) -> Seconds {
        if last < self.shutdown_at + RESTART_SECONDS {
            last.min(self.shutdown_at - MIN_TIMEOUT_SECONDS)
        } else {
            last
        }
    }
}
