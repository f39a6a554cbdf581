//! The send rate to a target whose rate limit is shared by all dispatchers.
//!
//! Keeps all dispatchers together within a reported limit: each uses its share. The cost is that unused
//! shares stay idle.

use super::recovery_budget::MAX_TRIALS_IN_FLIGHT;
use super::*;

/// Growth of the rate per second while nothing is rejected, as a share of it.
pub(super) const RATE_GROWTH_PER_SECOND: f64 = 0.15;
/// The rate does not fall below this part of the own share, so that a dispatcher with few messages is not
/// displaced.
pub(super) const MIN_RATE_SHARE: f64 = 0.6;
/// Time over which a dispatcher of a large fleet may accumulate calls for a burst.
const BURST_WINDOW_SECONDS: f64 = 4.0;
/// In a large fleet, the part of [`RATE_GROWTH_PER_SECOND`] that applies for each call a second that the
/// dispatcher expects to send.
const RATE_GROWTH_PER_CALL: f64 = 0.2;
/// Largest number of calls in a burst.
const MAX_BURST_CALLS: f64 = 2.0;
/// A report of the remaining limit changes the rate in proportion to this factor and to the difference from
/// the mean below.
const REPORT_GAIN: f64 = 0.1;
/// Mean remaining share of a limit that is almost used up.
const MEAN_REMAINING_SHARE: f64 = 0.4;
/// A rate that is not used is not known to be accepted: it is limited to this multiple of the measured send
/// rate, or to the initial rate.
const MAX_UNUSED_RATE_MULTIPLE: f64 = 1.5;
/// Time constant of the measured send rate.
const SEND_RATE_WINDOW_SECONDS: f64 = 3.0;
/// Up to this size a fleet is small: the idle connections of all dispatchers fill no connection table, and a
/// recovering target tolerates one call of each dispatcher.
pub(super) const SMALL_FLEET_SIZE: f64 = 6.0;

impl RateLimiter {
    /// Calls a second that the target accepts from all dispatchers.
    pub(super) fn total_capacity(&self) -> f64 {
        self.capacity.unwrap_or(DEFAULT_CAPACITY_PER_SECOND)
    }

    /// The own share of the capacity, in calls a second.
    pub(super) fn own_capacity(&self) -> f64 {
        self.own_share * self.total_capacity()
    }

    /// Whether the target is shared by so many dispatchers that rates which are harmless from one of them
    /// overload it together.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.even_share * SMALL_FLEET_SIZE < 1.0
    }

    /// 0 for a small fleet, close to 1 for a large one.
    pub(super) fn fleet_factor(&self) -> f64 {
        (1.0 - SMALL_FLEET_SIZE * self.even_share).max(0.0)
    }

    /// Share of the common budget that this dispatcher uses: an equal share, or the excess of its own share
    /// over it, since the others leave that much unused.
    pub(super) fn budget_share(&self) -> f64 {
        self.even_share.max(self.own_share - self.even_share)
    }

    /// The rate before anything was learned: the own share, and more than that in a small fleet.
    pub(super) fn initial_rate(&self) -> f64 {
        let limit = self.capacity.filter(|_| self.enforces_limit && !self.unlimited).unwrap_or(f64::INFINITY);
        limit * self.budget_share() * (1.0 + SMALL_FLEET_SIZE * self.even_share / self.fleet_factor())
    }

    /// The rate grows while nothing is rejected; in a large fleet, in proportion to the calls that could have
    /// been rejected.
    pub(super) fn current_rate(&self, now: Seconds) -> f64 {
        let growth_share =
            |rate: f64| 1.0 - self.fleet_factor() * (1.0 - RATE_GROWTH_PER_CALL * rate.min(1.0));
        let grow = |rate: f64, at| rate * (1.0 + RATE_GROWTH_PER_SECOND * growth_share(rate)).powf(now - at);
        self.learned_rate.map_or(self.initial_rate(), |(rate, at)| grow(rate, at))
    }

    /// Applies a report about the rate limit: the rate keeps its share of the limit. The cost is that a wrong
    /// report misleads until the next one.
    pub(super) fn apply_report(&mut self, now: Seconds, report: RateLimitReport) {
        self.unlimited = report.rate <= 0.0;
        if self.unlimited {
            return;
        }
        if let (Some(old_limit), Some((rate, at))) = (self.capacity, self.learned_rate) {
            self.learned_rate = Some((rate * report.rate / old_limit, at));
        }
        self.capacity = Some(report.rate);
        // The remaining limit tells each dispatcher of a large fleet what its few own calls cannot.
        let rate = self.current_rate(now);
        if let Some(remaining_share) =
            report.remaining_share.filter(|_| self.fleet_factor() > 0.0 && rate.is_finite())
        {
            let adjusted =
                rate * (self.fleet_factor() * REPORT_GAIN * (remaining_share - MEAN_REMAINING_SHARE)).exp();
            let max_rate = self
                .initial_rate()
                .max(MAX_UNUSED_RATE_MULTIPLE * self.sent_rate.value_at(now, SEND_RATE_WINDOW_SECONDS))
                .min(report.rate);
            self.learned_rate =
                Some((adjusted.min(max_rate).max(MIN_RATE_SHARE * self.even_share * report.rate), now));
        }
    }

    /// Calls that may be sent at once: in a large fleet, no more than the dispatcher's part of what the limit
    /// accepts in some seconds.
    pub(super) fn burst(&self, now: Seconds) -> f64 {
        (BURST_WINDOW_SECONDS * self.current_rate(now)).clamp(2.0 - self.fleet_factor(), MAX_BURST_CALLS)
    }

    /// Delays the first call to a new target at random, so that the first calls of all dispatchers do not
    /// exceed a small limit together.
    pub(super) fn randomize_phase(&mut self, now: Seconds, rng: &mut fastrand::Rng) {
        if self.fleet_factor() > 0.0 && self.initial_rate().is_finite() {
            self.next_send_at = now + self.fleet_factor() * rng.f64() * self.burst(now) / self.initial_rate();
        }
    }
}

impl TargetState {
    /// Returns the rate that was booked for a call which reached no process, so that connections which were
    /// closed unnoticed do not use up half of a limit. If the target counts such calls, a rejection corrects
    /// the rate.
    pub(super) fn refund_call(&mut self, now: Seconds, slow_start: &SlowStart) {
        let healthy = self.outage.health == Health::Healthy;
        self.rate_limiter.next_send_at -=
            if healthy { 1.0 / self.allowed_rate(now, slow_start).0 } else { 0.0 };
    }

    /// The rate that is allowed now, and the calls that may be sent at once. While the target is unavailable,
    /// the interval between trials limits them further.
    fn allowed_rate(&self, now: Seconds, slow_start: &SlowStart) -> (f64, f64) {
        match self.outage.health {
            Health::Recovering(_) => {
                (self.rate_limiter.current_rate(now).min(self.recovery_budget(now, slow_start).1), 1.0)
            }
            _ => (self.rate_limiter.current_rate(now), self.rate_limiter.burst(now)),
        }
    }

    /// Whether a call may be sent now.
    pub(super) fn admission(&self, now: Seconds, slow_start: &SlowStart) -> Admission {
        let mut open_at = self.backoff.retry_after_until.max(self.backoff.backoff_until);
        let (rate, burst) = self.allowed_rate(now, slow_start);
        if rate.is_finite() {
            open_at = open_at.max(self.rate_limiter.next_send_at - (burst - 1.0) / rate);
        }
        if self
            .backoff
            .current_concurrency_limit(now)
            .is_some_and(|max_calls| self.in_flight as f64 >= max_calls)
        {
            open_at = f64::INFINITY;
        }
        let is_trial = matches!(self.outage.health, Health::Suspect | Health::Unavailable);
        if is_trial {
            let trials = self.in_flight.saturating_sub(self.overdue_calls);
            open_at = open_at.max(if trials < MAX_TRIALS_IN_FLIGHT {
                self.outage.next_trial_at
            } else {
                f64::INFINITY
            });
        }
        match (now < open_at, is_trial) {
            (true, _) => Admission::ClosedUntil(open_at),
            (false, true) => Admission::TrialOnly,
            (false, false) => Admission::Open,
        }
    }

    /// Books a call or a probe that is sent.
    pub(super) fn book_call(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        let (rate, _) = self.allowed_rate(now, slow_start);
        self.rate_limiter.next_send_at = self.rate_limiter.next_send_at.max(now) + 1.0 / rate;
        self.rate_limiter.sent_rate.record_event(now, SEND_RATE_WINDOW_SECONDS);
        if matches!(self.outage.health, Health::Suspect | Health::Unavailable) {
            self.outage.next_trial_at = now + self.trial_interval(now, slow_start, rng);
            (self.outage.trial_count, self.outage.probe_succeeded) = (self.outage.trial_count + 1, false);
        }
    }
}

impl Dispatcher {
    /// Limits the rate of recovered messages to the own share at first, so that a whole backlog does not hit
    /// a target that had reported its limit or was cold. The cost is that messages which waited for the
    /// restart wait longer.
    pub(super) fn limit_backlog_rate(&mut self, now: Seconds, id: DestinationId) {
        self.for_each_limited_target(id, |TargetState { rate_limiter, .. }, _, _| {
            let own_rate = rate_limiter.capacity.map(|capacity| (rate_limiter.own_share * capacity, now));
            rate_limiter.learned_rate = rate_limiter.learned_rate.or(own_rate);
        });
    }
}
