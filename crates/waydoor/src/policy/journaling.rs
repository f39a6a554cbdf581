//! Whether attempts can be recorded in the journal, and which ones wait while they cannot.
//!
//! Prevents calls that are not safe to repeat and of which the next process would have no record. The cost is
//! that their messages wait.

use super::*;

/// Pause after a failure to record the start of an attempt.
const WRITE_RETRY_SECONDS: Seconds = 0.1;

/// The state of the journal, as far as attempts have shown it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct JournalHealth {
    /// Until then, nothing that needs a record is sent.
    paused_until: Option<Seconds>,
}

impl JournalHealth {
    /// The start of an attempt could not be recorded.
    pub(super) fn write_failed(&mut self, now: Seconds) {
        self.paused_until = Some(now + WRITE_RETRY_SECONDS);
    }

    /// Until when calls of this class have to wait, if they have to.
    pub(super) fn blocked_until(&self, now: Seconds, effect: Effect) -> Option<Seconds> {
        self.paused_until.filter(|until| now < *until && effect != Effect::Safe)
    }

    /// Whether a write failed a moment ago.
    pub(super) fn is_failing(&self, now: Seconds) -> bool {
        self.paused_until.is_some_and(|until| now < until + WRITE_RETRY_SECONDS)
    }
}
