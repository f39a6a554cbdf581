//! Final answers: what is given up on, when, and what its client may make of it.
//! Guards messages against an end that comes late or promises too much. Harm: some are given up too early.

use super::outage::TRIAL;
use super::*;

/// Time kept before the deadline for the final answer.
pub(super) const ANSWER_MARGIN: f64 = 0.03;

impl Dispatcher {
    /// Final answers: refused where that is lawful, else failed.
    pub(super) fn answer(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        actions.append(&mut self.decided);
        let mut look = std::mem::take(&mut self.review);
        if now >= self.answer_at {
            look = self.parcels.keys().copied().collect();
            self.answer_at = f64::INFINITY;
        }
        for id in look {
            let Some(parcel) = self.parcels.get(&id).filter(|p| p.out.is_none() && !p.over) else { continue };
            let usual = self.destinations.get(&parcel.message.destination);
            let usual = usual.map_or(UNKNOWN_LATENCY, |d| d.lane.service.latency(now)).max(ANSWER_MARGIN);
            let last = self.before_end((parcel.message.deadline - usual).min(self.key_ends(parcel)));
            let effect = self.settings.classes[parcel.message.class].effect;
            let lost = effect == Effect::Unsafe && parcel.may_have_run.is_some();
            if now >= last || lost || parcel.unusable || parcel.attempts >= self.settings.max_attempts {
                self.end(id, actions);
            } else {
                self.answer_at = self.answer_at.min(last);
            }
        }
    }

    /// When a client should come again: once the destination is open and has served what it holds.
    pub fn retry_after(&self, now: Seconds, destination: DestinationId) -> Seconds {
        let Some(destination) = self.destinations.get(&destination) else { return TRIAL };
        let lane = &destination.lane;
        let closed = match lane.gate(now, &self.settings.slow_start) {
            Gate::Closed(until) if until.is_finite() => until - now,
            _ => 0.0,
        };
        let own = lane.pace.own() * destination.batch as f64;
        closed.max(0.0) + (destination.held.len() as f64 + 1.0) / own
    }

    pub(super) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(parcel) = self.parcels.get_mut(&id) else { return };
        let effect = self.settings.classes[parcel.message.class].effect;
        let repeats = matches!(effect, Effect::Safe | Effect::Keyed { by_zone: false, .. });
        // What is unusable would fare no better another time.
        let harmless = !parcel.unusable && (repeats || parcel.may_have_run.is_none());
        actions.push(if harmless { Action::Reject(id) } else { Action::Fail(id) });
        parcel.over = true;
        self.settle(id, ENDED_KEPT);
    }
}
