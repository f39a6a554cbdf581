//! Rejections because of overload: a rate limit, an outage, or too many concurrent calls.
//!
//! Keeps rejected calls from using up a rate limit, and honours retry-after. The cost is that pauses are
//! longer than necessary.

use super::outage::CallResult;
use super::rate_limit::{MIN_RATE_SHARE, RATE_GROWTH_PER_SECOND};
use super::scheduling::STATS_HALF_LIFE_SECONDS;
use super::*;

/// Consecutive rejections, over at least the time below, that look like an outage and not like a rate limit.
const MIN_OVERLOADS_FOR_OUTAGE: u32 = 4;
/// A rate limit never rejects all calls for this long.
const MIN_OVERLOAD_OUTAGE_SECONDS: f64 = 4.0;
/// First backoff after a rejection without retry-after, unless one call at this dispatcher's part of the
/// limit takes longer; it doubles each time.
pub(super) const MIN_OVERLOAD_BACKOFF_SECONDS: f64 = 0.15;
/// Longest such backoff: longer than the windows in which rate limits are counted ...
const MAX_OVERLOAD_BACKOFF_SECONDS: f64 = 1.6;
/// ... or the time in which the limit accepts this many calls of each dispatcher, if that is longer ...
const LARGE_FLEET_BACKOFF_TURNS: f64 = 2.0;
/// ... but no longer than this, which leaves a message several attempts.
const MAX_LARGE_FLEET_BACKOFF_SECONDS: f64 = 9.0;
/// A rate limit caused a rejection if less than this share of it is left: reports are late and noisy, and a
/// target that is unavailable has nearly all of it left.
const MAX_EXHAUSTED_SHARE: f64 = 0.5;
/// A rejection reduces the rate to this share of the rate at which calls were sent.
const OVERLOAD_RATE_FACTOR: f64 = 0.8;

/// What a rejection says about its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverloadCause {
    /// The response reported a rate limit of which little is left.
    RateLimit,
    /// The response reported that no rate limit caused it: a full queue or an outage did.
    NotRateLimit,
    /// The response reported nothing.
    Unknown,
}

impl OverloadCause {
    pub(super) fn from_report(report: Option<RateLimitReport>) -> Self {
        match report {
            Some(RateLimitReport { rate, .. }) if rate <= 0.0 => OverloadCause::NotRateLimit,
            Some(RateLimitReport { remaining_share: Some(share), .. }) if share < MAX_EXHAUSTED_SHARE => {
                OverloadCause::RateLimit
            }
            Some(RateLimitReport { remaining_share: Some(_), .. }) => OverloadCause::NotRateLimit,
            _ => OverloadCause::Unknown,
        }
    }
}

impl OverloadBackoff {
    pub(super) fn current_concurrency_limit(&self, now: Seconds) -> Option<f64> {
        self.concurrency_limit.map(|(calls, at)| calls * (1.0 + RATE_GROWTH_PER_SECOND).powf(now - at))
    }

    /// Counts a rejection; returns false for a call that was sent before the last counted rejection arrived,
    /// which has the same cause.
    fn count_overload(&mut self, now: Seconds, latency: Seconds) -> bool {
        if self.consecutive_overloads == 0 || now - self.backoff_until > STATS_HALF_LIFE_SECONDS {
            (self.consecutive_overloads, self.overloaded_since) = (0, now);
        }
        let is_new = self.consecutive_overloads == 0 || now - latency >= self.last_overload_at;
        if is_new {
            (self.consecutive_overloads, self.last_overload_at) = (self.consecutive_overloads + 1, now);
        }
        is_new
    }
}

impl TargetState {
    /// Applies a rejection. `own_limit`: the rate limit applies to this target.
    pub(super) fn record_overload(
        &mut self, now: Seconds, result: CallResult, own_limit: bool, slow_start: &SlowStart,
        rng: &mut fastrand::Rng,
    ) {
        let CallResult { latency, overload_cause, .. } = result;
        let TargetState { rate_limiter, backoff, outage, .. } = self;
        outage.last_failure_sent_at = outage.last_failure_sent_at.max(now - latency);
        // A target without a rate limit accepts as many calls at once as are still in flight after a
        // rejection.
        if rate_limiter.unlimited {
            let min_limit =
                backoff.current_concurrency_limit(now).map_or(1.0, |calls| calls * OVERLOAD_RATE_FACTOR);
            backoff.concurrency_limit = Some(((self.in_flight as f64).max(min_limit), now));
        }
        let is_new = backoff.count_overload(now, latency);
        let own_capacity = rate_limiter.own_capacity();
        let doubling = 2f64.powi(backoff.consecutive_overloads.min(8) as i32 - 1);
        // Rejected calls may count against the limit: the retries of all dispatchers must stay well below it.
        let fleet_interval =
            LARGE_FLEET_BACKOFF_TURNS / (rate_limiter.even_share * rate_limiter.total_capacity());
        let first_backoff = if rate_limiter.unlimited {
            2.0 * MIN_OVERLOAD_BACKOFF_SECONDS
        } else {
            MIN_OVERLOAD_BACKOFF_SECONDS.max(1.0 / own_capacity)
        };
        let delay = (first_backoff * doubling)
            .min(fleet_interval.clamp(MAX_OVERLOAD_BACKOFF_SECONDS, MAX_LARGE_FLEET_BACKOFF_SECONDS));
        // Calls of a large fleet that were rejected together are spread over up to twice the backoff.
        let jitter = 1.0 + (0.5 + 1.5 * rate_limiter.fleet_factor()) * (rng.f64() - 0.5);
        backoff.backoff_until = backoff.backoff_until.max(now + delay * jitter);
        if own_limit
            && is_new
            && !rate_limiter.unlimited
            && (backoff.consecutive_overloads == 1 || rate_limiter.fleet_factor() > 0.0)
        {
            let sent_rate =
                rate_limiter.current_rate(now).min(rate_limiter.sent_rate.per_second.max(own_capacity));
            let factor = if backoff.consecutive_overloads == 1 {
                OVERLOAD_RATE_FACTOR
            } else {
                OVERLOAD_RATE_FACTOR.powf(rate_limiter.fleet_factor())
            };
            rate_limiter.learned_rate = Some((
                (sent_rate * factor).max(MIN_RATE_SHARE * own_capacity.min(rate_limiter.initial_rate())),
                now,
            ));
        }
        // Where nothing is reported, a listed rate is a limit that other dispatchers may use up.
        let may_be_rate_limit = match overload_cause {
            OverloadCause::RateLimit => true,
            OverloadCause::NotRateLimit => false,
            OverloadCause::Unknown => self.rate_limiter.capacity.is_some(),
        };
        let lasts_long =
            now - backoff.overloaded_since.max(self.outage.last_success_at) > MIN_OVERLOAD_OUTAGE_SECONDS;
        if backoff.consecutive_overloads >= MIN_OVERLOADS_FOR_OUTAGE && lasts_long {
            self.mark_unavailable(now, slow_start, rng);
        } else if !may_be_rate_limit && self.backoff.retry_after_until <= now {
            self.suspect_in_large_fleet(now, slow_start, rng);
        } else if overload_cause == OverloadCause::NotRateLimit && self.rate_limiter.is_large_fleet() {
            self.recover_after_wait(now, slow_start, rng);
        }
    }

    /// Takes the end of the wait for the end of an outage: the target will be cold, and all dispatchers that
    /// wait for the same moment would call at once.
    fn recover_after_wait(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        let wait_until = self.backoff.retry_after_until;
        if self.outage.health == Health::Recovering(wait_until) {
            return;
        }
        self.outage.health = Health::Recovering(wait_until);
        self.outage.recovery_seen_at = wait_until;
        let max_offset = if self.rate_limiter.is_large_fleet() {
            1.0 / self.recovery_budget(now, slow_start).1
        } else {
            0.0
        };
        self.rate_limiter.next_send_at =
            self.rate_limiter.next_send_at.max(wait_until + max_offset * rng.f64());
    }
}

impl Dispatcher {
    /// Applies a retry-after.
    pub(super) fn apply_retry_after(&mut self, now: Seconds, id: EndpointId, delay: Seconds) {
        let before = self.limited_target_health(id);
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| delay > 0.0) else { return };
        let destination =
            self.destinations.get_mut(&endpoint.destination).filter(|d| !d.independent_endpoints);
        let limited = destination.map_or(&mut endpoint.target, |destination| &mut destination.target);
        limited.backoff.retry_after_until = limited.backoff.retry_after_until.max(now + delay);
        // Such a long wait is an outage, not a rate limit.
        if delay > MIN_OVERLOAD_OUTAGE_SECONDS {
            limited.recover_after_wait(now, &self.settings.slow_start, &mut self.rng);
            if let (Some((target, before)), Some((_, after))) = (before, self.limited_target_health(id)) {
                self.log_health_change(target, before, after, HealthChangeCause::LongRetryAfter);
            }
        }
    }
}
