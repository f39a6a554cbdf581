//! Final answers: what is given up on, when, and what its client may make of it.
//! Guards messages against an end that comes late or promises too much. Harm: some are given up too early.

use super::outage::FIRST_TRIAL_INTERVAL_SECONDS;
use super::*;

/// Time kept before the deadline for the final answer.
pub(super) const ANSWER_MARGIN_SECONDS: f64 = 0.03;

impl Dispatcher {
    /// Final answers: refused where that is lawful, else failed.
    pub(super) fn end_undeliverable(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        actions.append(&mut self.pending_actions);
        let mut look = std::mem::take(&mut self.messages_to_review);
        if now >= self.next_review_at {
            look = self.messages.keys().copied().collect();
            self.next_review_at = f64::INFINITY;
        }
        for id in look {
            let Some(parcel) = self.messages.get(&id).filter(|p| p.in_flight.is_none() && !p.done) else {
                continue;
            };
            let usual = self.destinations.get(&parcel.message.destination);
            let usual = usual
                .map_or(DEFAULT_LATENCY_SECONDS, |d| d.target.stats.expected_latency(now))
                .max(ANSWER_MARGIN_SECONDS);
            let last =
                self.before_shutdown((parcel.message.deadline - usual).min(self.key_expires_at(parcel)));
            let effect = self.settings.classes[parcel.message.class].effect;
            let lost = effect == Effect::Unsafe && parcel.may_have_run.is_some();
            if now >= last || lost || parcel.undeliverable || parcel.attempts >= self.settings.max_attempts {
                self.end_message(id, actions);
            } else {
                self.next_review_at = self.next_review_at.min(last);
            }
        }
    }

    /// When a client should come again: once the destination is open and has served what it holds.
    pub fn retry_after(&self, now: Seconds, destination: DestinationId) -> Seconds {
        let Some(destination) = self.destinations.get(&destination) else {
            return FIRST_TRIAL_INTERVAL_SECONDS;
        };
        let lane = &destination.target;
        let closed = match lane.admission(now, &self.settings.slow_start) {
            Admission::ClosedUntil(until) if until.is_finite() => until - now,
            _ => 0.0,
        };
        let own = lane.rate_limiter.own_capacity() * destination.max_batch as f64;
        closed.max(0.0) + (destination.queued.len() as f64 + 1.0) / own
    }

    pub(super) fn end_message(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(parcel) = self.messages.get_mut(&id) else { return };
        let effect = self.settings.classes[parcel.message.class].effect;
        let repeats = matches!(effect, Effect::Safe | Effect::Keyed { by_zone: false, .. });
        // What is unusable would fare no better another time.
        let harmless = !parcel.undeliverable && (repeats || parcel.may_have_run.is_none());
        actions.push(if harmless { Action::Reject(id) } else { Action::Fail(id) });
        parcel.done = true;
        self.remove_if_settled(id, MAX_ENDED_MESSAGES);
    }
}
