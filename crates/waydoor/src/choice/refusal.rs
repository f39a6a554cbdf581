//! What a refusal means: a limit, a door that is shut, or a full house.
//! Guards limits that refused calls use up, and waits that were told. Harm: pauses longer than need be.

use super::order::STATS_HALF_LIFE_SECONDS;
use super::pace::{MIN_RATE_SHARE, RATE_GROWTH_PER_SECOND};
use super::*;

/// Refusals in a row, over at least `MIN_OVERLOAD_OUTAGE_SECONDS`, that look like a shut door rather than a limit.
const MIN_OVERLOADS_FOR_OUTAGE: u32 = 4;
/// No span of a limit lasts as long without room for anyone.
const MIN_OVERLOAD_OUTAGE_SECONDS: f64 = 4.0;
/// First pause after an untold refusal, or the own turn at the limit if that is longer; doubles each time.
pub(super) const MIN_OVERLOAD_BACKOFF_SECONDS: f64 = 0.15;
/// Longest such pause: longer than the spans in which limits are counted ...
const MAX_OVERLOAD_BACKOFF_SECONDS: f64 = 1.6;
/// ... or so many in which the limit lets one call of every dispatcher through, if that is longer ...
const LARGE_FLEET_BACKOFF_TURNS: f64 = 2.0;
/// ... and no longer than this, which leaves a message several attempts.
const MAX_LARGE_FLEET_BACKOFF_SECONDS: f64 = 9.0;
/// A refusal cuts the pace to this share of what was sent.
const OVERLOAD_RATE_FACTOR: f64 = 0.8;

impl OverloadBackoff {
    pub(super) fn current_concurrency_limit(&self, now: Seconds) -> Option<f64> {
        self.concurrency_limit.map(|(calls, at)| calls * (1.0 + RATE_GROWTH_PER_SECOND).powf(now - at))
    }

    /// Counts a refusal; false for what was sent before the last one was heard: it is the same once more.
    fn count_overload(&mut self, now: Seconds, latency: Seconds) -> bool {
        if self.consecutive_overloads == 0 || now - self.backoff_until > STATS_HALF_LIFE_SECONDS {
            (self.consecutive_overloads, self.overloaded_since) = (0, now);
        }
        let again = self.consecutive_overloads == 0 || now - latency >= self.last_overload_at;
        if again {
            (self.consecutive_overloads, self.last_overload_at) = (self.consecutive_overloads + 1, now);
        }
        again
    }
}

impl TargetState {
    /// Learns from a refusal. `own_limit`: the limit is counted on this lane.
    pub(super) fn record_overload(
        &mut self, now: Seconds, latency: f64, own_limit: bool, rule: &SlowStart, rng: &mut fastrand::Rng,
    ) {
        let TargetState { rate_limiter: pace, backoff: refusals, outage, .. } = self;
        outage.last_failure_sent_at = outage.last_failure_sent_at.max(now - latency);
        // What is out still once one has been refused is what a place without a limit takes at once.
        if pace.unlimited {
            let least =
                refusals.current_concurrency_limit(now).map_or(1.0, |calls| calls * OVERLOAD_RATE_FACTOR);
            refusals.concurrency_limit = Some(((self.in_flight as f64).max(least), now));
        }
        let again = refusals.count_overload(now, latency);
        let own = pace.own_capacity();
        let doubled = 2f64.powi(refusals.consecutive_overloads.min(8) as i32 - 1);
        // Refused calls may use up the limit: all retries together must stay well below it.
        let crowd = LARGE_FLEET_BACKOFF_TURNS / (pace.even_share * pace.total_capacity());
        let first = if pace.unlimited {
            2.0 * MIN_OVERLOAD_BACKOFF_SECONDS
        } else {
            MIN_OVERLOAD_BACKOFF_SECONDS.max(1.0 / own)
        };
        let pause =
            (first * doubled).min(crowd.clamp(MAX_OVERLOAD_BACKOFF_SECONDS, MAX_LARGE_FLEET_BACKOFF_SECONDS));
        // Many that were refused at once come back at any time in twice the pause.
        let jitter = 1.0 + (0.5 + 1.5 * pace.fleet_factor()) * (rng.f64() - 0.5);
        refusals.backoff_until = refusals.backoff_until.max(now + pause * jitter);
        if own_limit
            && again
            && !pace.unlimited
            && (refusals.consecutive_overloads == 1 || pace.fleet_factor() > 0.0)
        {
            let sent = pace.current_rate(now).min(pace.sent_rate.per_second.max(own));
            let cut = if refusals.consecutive_overloads == 1 {
                OVERLOAD_RATE_FACTOR
            } else {
                OVERLOAD_RATE_FACTOR.powf(pace.fleet_factor())
            };
            pace.learned_rate = Some(((sent * cut).max(MIN_RATE_SHARE * own.min(pace.initial_rate())), now));
        }
        let long =
            now - refusals.overloaded_since.max(self.outage.last_success_at) > MIN_OVERLOAD_OUTAGE_SECONDS;
        if refusals.consecutive_overloads >= MIN_OVERLOADS_FOR_OUTAGE && long {
            self.mark_unavailable(now, rule, rng);
        }
    }
}

impl Dispatcher {
    /// A wait that a place tells.
    pub(super) fn apply_retry_after(&mut self, now: Seconds, id: EndpointId, wait: Seconds) {
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| wait > 0.0) else { return };
        let destination =
            self.destinations.get_mut(&endpoint.destination).filter(|d| !d.independent_endpoints);
        let limited = destination.map_or(&mut endpoint.target, |destination| &mut destination.target);
        limited.backoff.retry_after_until = limited.backoff.retry_after_until.max(now + wait);
        // No limit tells so long a wait: the door is shut, and opens cold to all who waited for one moment.
        if wait > MIN_OVERLOAD_OUTAGE_SECONDS
            && limited.backoff.retry_after_until > limited.rate_limiter.next_send_at
        {
            let rule = &self.settings.slow_start;
            limited.outage.health = Health::Recovering(limited.backoff.retry_after_until);
            limited.outage.recovery_seen_at = limited.backoff.retry_after_until;
            let turn = if limited.rate_limiter.is_large_fleet() {
                1.0 / limited.recovery_budget(now, rule).1
            } else {
                0.0
            };
            limited.rate_limiter.next_send_at = limited.backoff.retry_after_until + turn * self.rng.f64();
        }
    }
}
