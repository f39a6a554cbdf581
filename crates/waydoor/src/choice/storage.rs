//! The folder that lasts refuses writes: what may not go out without a record waits for it.
//! Guards what may not be repeated freely against calls that no later life knows of. Harm: it waits.

use super::*;

/// After a start that could not be recorded, the next one is tried so much later.
const WRITE_RETRY_SECONDS: Seconds = 0.1;

/// Whether starts of calls can be put on record, as far as that was tried.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Storage {
    /// Until then nothing that needs a record is sent.
    paused_until: Option<Seconds>,
}

impl Storage {
    /// A start could not be put on record.
    pub(super) fn write_failed(&mut self, now: Seconds) {
        self.paused_until = Some(now + WRITE_RETRY_SECONDS);
    }

    /// Until when calls of this class have to wait; none where they need not.
    pub(super) fn blocked_until(&self, now: Seconds, effect: Effect) -> Option<Seconds> {
        self.paused_until.filter(|until| now < *until && effect != Effect::Safe)
    }

    /// Whether writes failed a moment ago.
    pub(super) fn is_failing(&self, now: Seconds) -> bool {
        self.paused_until.is_some_and(|until| now < until + WRITE_RETRY_SECONDS)
    }
}
