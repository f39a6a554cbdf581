//! Messages that end without delivery: which ones, when, and whether their clients may send them again.
//!
//! Prevents an end that comes too late or promises too much. The cost is that some messages are given up too
//! early.

use super::recovery_budget::FIRST_TRIAL_INTERVAL_SECONDS;
use super::*;

/// Time reserved before the deadline for reporting the end.
pub(super) const ANSWER_MARGIN_SECONDS: f64 = 0.03;

impl Dispatcher {
    /// Ends messages that can no longer be delivered: rejected if a repeat is harmless, failed otherwise.
    pub(super) fn end_undeliverable(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        actions.append(&mut self.pending_actions);
        let mut ids = std::mem::take(&mut self.messages_to_review);
        if now >= self.next_review_at {
            ids = self.messages.keys().copied().collect();
            self.next_review_at = f64::INFINITY;
        }
        for id in ids {
            let Some(open) = self.messages.get(&id).filter(|s| s.call.is_none() && !s.done) else { continue };
            let call_time = self.destinations.get(&open.message.destination);
            let call_time = call_time
                .map_or(DEFAULT_LATENCY_SECONDS, |d| d.target.stats.expected_latency(now))
                .max(ANSWER_MARGIN_SECONDS);
            let last_send_at =
                self.before_shutdown((open.message.deadline - call_time).min(self.key_expires_at(open)));
            let effect = self.settings.classes[open.message.class].effect;
            let may_not_repeat = effect == Effect::Unsafe && open.may_have_run.is_some();
            if now >= last_send_at
                || may_not_repeat
                || open.undeliverable
                || open.attempts >= self.settings.max_attempts
            {
                self.end_message(id, actions);
            } else {
                self.next_review_at = self.next_review_at.min(last_send_at);
            }
        }
    }

    /// When a client should send again: once the destination accepts calls and has served its queue.
    pub fn retry_after(&self, now: Seconds, id: DestinationId) -> Seconds {
        let Some(destination) = self.destinations.get(&id) else { return FIRST_TRIAL_INTERVAL_SECONDS };
        let target = &destination.target;
        let closed_for = match target.admission(now, &self.settings.slow_start) {
            Admission::ClosedUntil(until) if until.is_finite() => until - now,
            _ => 0.0,
        };
        let own_rate = target.rate_limiter.own_capacity() * destination.max_batch as f64;
        closed_for.max(0.0) + (destination.queued.len() as f64 + 1.0) / own_rate
    }

    pub(super) fn end_message(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(state) = self.messages.get_mut(&id) else { return };
        let effect = self.settings.classes[state.message.class].effect;
        let is_repeatable = matches!(effect, Effect::Safe | Effect::Keyed { by_zone: false, .. });
        // Another attempt of an undeliverable message would fail as well.
        let is_harmless = !state.undeliverable && (is_repeatable || state.may_have_run.is_none());
        actions.push(if is_harmless { Action::Reject(id) } else { Action::Fail(id) });
        state.done = true;
        self.remove_if_settled(id, MAX_ENDED_MESSAGES);
    }
}
