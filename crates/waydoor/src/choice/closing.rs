//! The end of this process: what is still taken on, and what must have its answer before.
//! Guards messages against being held for a life that comes too late. Harm: they are handed in elsewhere.

use super::attempts::TIMEOUT_LEAST;
use super::order::LAST_CALL;
use super::*;

/// From the last call here until the next life's first: kill, pause and start (protocol page), the journal.
const RESTART: f64 = 2.0;

impl Dispatcher {
    /// Whether a message is taken on: it can go before this process ends, or has time left in the next life.
    pub fn can_accept(&self, now: Seconds, message: Message) -> bool {
        let at_once = || self.place(now, &Parcel::new(message, now, false)).is_ok();
        self.closing_at == f64::INFINITY
            || message.deadline >= self.closing_at + RESTART + LAST_CALL * UNKNOWN_LATENCY
            || self.calls.len() + self.waiting.len() < self.settings.max_concurrent_calls && at_once()
    }

    /// When a held message gets its answer that is due by `last`: no call of use begins at the very end.
    pub(super) fn before_end(&self, last: Seconds) -> Seconds {
        if last < self.closing_at + RESTART { last.min(self.closing_at - TIMEOUT_LEAST) } else { last }
    }
}
