//! Holds calls while the list of endpoints may be outdated: a process that starts has the list of an earlier
//! one, and while the source of a pushed list is silent it can't tell whether an endpoint drains by now.
//!
//! Prevents calls to endpoints that drain or are gone. The cost is that messages wait, some beyond their
//! deadline, for as long as the source is silent.

use super::*;

/// Whether the list may be used for calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ListConfirmation {
    /// From then on calls are held, unless the list is confirmed before.
    hold_from: Option<Seconds>,
    /// Since when calls have been held.
    held_since: Option<Seconds>,
}

impl ListConfirmation {
    /// Whether calls are held now.
    pub(super) fn holds_calls(&self, now: Seconds) -> bool {
        self.hold_from.is_some_and(|hold_from| now >= hold_from)
    }
}

impl Dispatcher {
    /// The list is not confirmed any more. Calls continue until `hold_from`, by when each change that the
    /// list lacks has to be heeded.
    pub(super) fn list_unconfirmed(&mut self, hold_from: Seconds) {
        let earlier = self.list_confirmation.hold_from.unwrap_or(f64::INFINITY);
        self.list_confirmation.hold_from = Some(hold_from.min(earlier));
    }

    /// The source of the list has told all that it has. What has been held goes out at the pace of a backlog.
    pub(super) fn list_confirmed(&mut self, now: Seconds) {
        let ListConfirmation { held_since, .. } = std::mem::take(&mut self.list_confirmation);
        let Some(held_since) = held_since else { return };
        let held_for = now - held_since;
        self.log_lines.push(format!("list confirmed: calls were held for {held_for:.3} s"));
        for destination in self.queued_destinations.clone() {
            self.limit_backlog_rate(now, destination);
        }
    }

    /// Whether calls are held now; logs when that begins.
    pub(super) fn holds_calls(&mut self, now: Seconds) -> bool {
        let is_held = self.list_confirmation.holds_calls(now);
        if is_held && self.list_confirmation.held_since.is_none() && !self.queued_destinations.is_empty() {
            self.list_confirmation.held_since = Some(now);
            self.log_lines.push("list not confirmed: calls are held until its source answers".into());
        }
        is_held
    }
}
