//! What a refusal means: a limit, a door that is shut, or a full house.
//! Guards limits that refused calls use up, and waits that were told. Harm: pauses longer than need be.

use super::order::FORGET;
use super::pace::{PACE_GROWTH, PACE_LEAST};
use super::*;

/// Refusals in a row, over at least `SHUT_FULL_TIME`, that look like a shut door rather than a limit.
const SHUT_FULLS: u32 = 4;
/// No span of a limit lasts as long without room for anyone.
const SHUT_FULL_TIME: f64 = 4.0;
/// First pause after an untold refusal, or the own turn at the limit if that is longer; doubles each time.
pub(super) const FULL_PAUSE: f64 = 0.15;
/// Longest such pause: longer than the spans in which limits are counted ...
const FULL_PAUSE_MOST: f64 = 1.6;
/// ... or so many in which the limit lets one call of every dispatcher through, if that is longer ...
const CROWD_PAUSES: f64 = 2.0;
/// ... and no longer than this, which leaves a message several attempts.
const CROWD_PAUSE_MOST: f64 = 9.0;
/// A refusal cuts the pace to this share of what was sent.
const PACE_CUT: f64 = 0.8;

impl Refusals {
    pub(super) fn at_once(&self, now: Seconds) -> Option<f64> {
        self.at_once.map(|(calls, at)| calls * (1.0 + PACE_GROWTH).powf(now - at))
    }

    /// Counts a refusal; false for what was sent before the last one was heard: it is the same once more.
    fn count(&mut self, now: Seconds, latency: Seconds) -> bool {
        if self.fulls == 0 || now - self.pause_until > FORGET {
            (self.fulls, self.full_since) = (0, now);
        }
        let again = self.fulls == 0 || now - latency >= self.full_at;
        if again {
            (self.fulls, self.full_at) = (self.fulls + 1, now);
        }
        again
    }
}

impl Lane {
    /// Learns from a refusal. `own_limit`: the limit is counted on this lane.
    pub(super) fn refused(
        &mut self, now: Seconds, latency: f64, own_limit: bool, rule: &SlowStart, rng: &mut fastrand::Rng,
    ) {
        let Lane { pace, refusals, outage, .. } = self;
        outage.failed_at = outage.failed_at.max(now - latency);
        // What is out still once one has been refused is what a place without a limit takes at once.
        if pace.uncounted {
            let least = refusals.at_once(now).map_or(1.0, |calls| calls * PACE_CUT);
            refusals.at_once = Some(((self.out as f64).max(least), now));
        }
        let again = refusals.count(now, latency);
        let own = pace.own();
        let doubled = 2f64.powi(refusals.fulls.min(8) as i32 - 1);
        // Refused calls may use up the limit: all retries together must stay well below it.
        let crowd = CROWD_PAUSES / (pace.even * pace.whole());
        let first = if pace.uncounted { 2.0 * FULL_PAUSE } else { FULL_PAUSE.max(1.0 / own) };
        let pause = (first * doubled).min(crowd.clamp(FULL_PAUSE_MOST, CROWD_PAUSE_MOST));
        // Many that were refused at once come back at any time in twice the pause.
        let jitter = 1.0 + (0.5 + 1.5 * pace.crowd()) * (rng.f64() - 0.5);
        refusals.pause_until = refusals.pause_until.max(now + pause * jitter);
        if own_limit && again && !pace.uncounted && (refusals.fulls == 1 || pace.crowd() > 0.0) {
            let sent = pace.now(now).min(pace.sent.per_second.max(own));
            let cut = if refusals.fulls == 1 { PACE_CUT } else { PACE_CUT.powf(pace.crowd()) };
            pace.rate = Some(((sent * cut).max(PACE_LEAST * own.min(pace.fair())), now));
        }
        let long = now - refusals.full_since.max(self.outage.served_at) > SHUT_FULL_TIME;
        if refusals.fulls >= SHUT_FULLS && long {
            self.shut(now, rule, rng);
        }
    }
}

impl Dispatcher {
    /// A wait that a place tells.
    pub(super) fn heed(&mut self, now: Seconds, id: EndpointId, wait: Seconds) {
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| wait > 0.0) else { return };
        let destination = self.destinations.get_mut(&endpoint.destination).filter(|d| !d.apart);
        let limited = destination.map_or(&mut endpoint.lane, |destination| &mut destination.lane);
        limited.refusals.wait_until = limited.refusals.wait_until.max(now + wait);
        // No limit tells so long a wait: the door is shut, and opens cold to all who waited for one moment.
        if wait > SHUT_FULL_TIME && limited.refusals.wait_until > limited.pace.due {
            let rule = &self.settings.slow_start;
            limited.outage.health = Health::Returning(limited.refusals.wait_until);
            limited.outage.found_at = limited.refusals.wait_until;
            let turn = if limited.pace.crowded() { 1.0 / limited.ramp(now, rule).1 } else { 0.0 };
            limited.pace.due = limited.refusals.wait_until + turn * self.rng.f64();
        }
    }
}
