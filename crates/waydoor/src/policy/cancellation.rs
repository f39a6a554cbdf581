//! Cancels calls in flight that later ones overtook.
//!
//! Prevents that calls without an answer hold all slots. The cost is that a call which was only slow is
//! repeated.

use super::*;

/// A call that later ones overtook is cancelled after this multiple of the mean latency, but not before this
/// time, if its slot is needed.
const OVERTAKEN_LATENCY_MULTIPLE: f64 = 7.0;
const MIN_OVERTAKEN_SECONDS: f64 = 0.3;

impl Dispatcher {
    /// Cancels calls that later ones overtook, to free their slots. The cost is that a call which was only
    /// slow is repeated.
    pub(super) fn cancel_overtaken(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if !self.settings.cancel
            || self.calls.len() < self.settings.max_concurrent_calls
            || self.queued_destinations.is_empty()
        {
            return;
        }
        for (id, attempt, call, TargetState { stats, outage, .. }) in self.single_message_calls() {
            let min_age =
                (OVERTAKEN_LATENCY_MULTIPLE * stats.expected_latency(now)).max(MIN_OVERTAKEN_SECONDS);
            let overtaken_by = outage.last_success_sent_at - call.sent_at;
            let overtaken = now - call.sent_at >= min_age && overtaken_by >= min_age / 2.0;
            if overtaken && !call.carries_unsafe && !std::mem::replace(&mut call.cancelled, true) {
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }
}
