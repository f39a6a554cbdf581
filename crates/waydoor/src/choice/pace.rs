//! The pace at a limit that many share.
//! Guards a told limit against all dispatchers together: each keeps to a part. Harm: unused parts lie idle.

use super::outage::MAX_TRIALS_IN_FLIGHT;
use super::*;

/// The pace grows by this share a second while nothing is refused.
pub(super) const RATE_GROWTH_PER_SECOND: f64 = 0.15;
/// The pace never falls below this share of the own part, so that a small sender keeps its place.
pub(super) const MIN_RATE_SHARE: f64 = 0.6;
/// Time over which one of many may gather calls to send at once.
const BURST_WINDOW_SECONDS: f64 = 4.0;
/// One of many grows by this part of it for each call that it expects to make.
const RATE_GROWTH_PER_CALL: f64 = 0.2;
/// Calls that the pace lets through at once.
const MAX_BURST_CALLS: f64 = 2.0;
/// An answer that tells what is left for all moves the pace by this, times how far it is from ...
const REPORT_GAIN: f64 = 0.1;
/// ... what is left on the mean where a limit is all but used.
const MEAN_REMAINING_SHARE: f64 = 0.4;
/// A pace that is not used tells nothing: it is no more than this times what is sent, or the fair one.
const MAX_UNUSED_RATE_MULTIPLE: f64 = 1.5;
/// Time over which the own sending rate is measured.
const SEND_RATE_WINDOW_SECONDS: f64 = 3.0;
/// So few dispatchers fill no table with unused connections, and the rule's slack covers a call of each.
pub(super) const SMALL_FLEET_SIZE: f64 = 6.0;

impl RateLimiter {
    /// What the place takes from all, and the own part of it, calls a second.
    pub(super) fn total_capacity(&self) -> f64 {
        self.capacity.unwrap_or(DEFAULT_CAPACITY)
    }

    pub(super) fn own_capacity(&self) -> f64 {
        self.own_share * self.total_capacity()
    }

    /// Whether so many dispatchers share the place that rates meant for one do not add up.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.even_share * SMALL_FLEET_SIZE < 1.0
    }

    /// How much of a crowd all dispatchers are: 0 for a few, close to 1 for many.
    pub(super) fn fleet_factor(&self) -> f64 {
        (1.0 - SMALL_FLEET_SIZE * self.even_share).max(0.0)
    }

    /// The part taken of what all may do: an even one, or the own demand less that, which others leave.
    pub(super) fn budget_share(&self) -> f64 {
        self.even_share.max(self.own_share - self.even_share)
    }

    /// The pace before anything is learned: the own part, and the more above it the fewer they are.
    pub(super) fn initial_rate(&self) -> f64 {
        let whole = self.capacity.filter(|_| self.enforces_limit && !self.unlimited).unwrap_or(f64::INFINITY);
        whole * self.budget_share() * (1.0 + SMALL_FLEET_SIZE * self.even_share / self.fleet_factor())
    }

    /// It grows while nothing is refused; one of many by the calls that may be expected to have told of it.
    pub(super) fn current_rate(&self, now: Seconds) -> f64 {
        let told = |rate: f64| 1.0 - self.fleet_factor() * (1.0 - RATE_GROWTH_PER_CALL * rate.min(1.0));
        let grown = |rate: f64, at| rate * (1.0 + RATE_GROWTH_PER_SECOND * told(rate)).powf(now - at);
        self.learned_rate.map_or(self.initial_rate(), |(rate, at)| grown(rate, at))
    }

    /// Heeds what the place tells of its limit: the pace is as good a share of the new one. Harm: a wrong
    /// report misleads until the next.
    pub(super) fn apply_report(&mut self, now: Seconds, told: RateLimitReport) {
        self.unlimited = told.rate <= 0.0;
        if self.unlimited {
            return;
        }
        if let (Some(was), Some((pace, at))) = (self.capacity, self.learned_rate) {
            self.learned_rate = Some((pace * told.rate / was, at));
        }
        self.capacity = Some(told.rate);
        // What is left for all tells each of many what its own few calls can't.
        let pace = self.current_rate(now);
        if let Some(left) = told.remaining_share.filter(|_| self.fleet_factor() > 0.0 && pace.is_finite()) {
            let moved = pace * (self.fleet_factor() * REPORT_GAIN * (left - MEAN_REMAINING_SHARE)).exp();
            let used = self
                .initial_rate()
                .max(MAX_UNUSED_RATE_MULTIPLE * self.sent_rate.value_at(now, SEND_RATE_WINDOW_SECONDS))
                .min(told.rate);
            self.learned_rate =
                Some((moved.min(used).max(MIN_RATE_SHARE * self.even_share * told.rate), now));
        }
    }

    /// Calls at once: of many dispatchers, no more than their part of what a limit lets through in a while.
    pub(super) fn burst(&self, now: Seconds) -> f64 {
        (BURST_WINDOW_SECONDS * self.current_rate(now)).clamp(2.0 - self.fleet_factor(), MAX_BURST_CALLS)
    }

    /// Its turn at a place that is new here comes at random. Guards a small limit against the first calls of
    /// all.
    pub(super) fn randomize_phase(&mut self, now: Seconds, rng: &mut fastrand::Rng) {
        if self.fleet_factor() > 0.0 && self.initial_rate().is_finite() {
            self.next_send_at = now + self.fleet_factor() * rng.f64() * self.burst(now) / self.initial_rate();
        }
    }
}

impl TargetState {
    /// A call that reached no process took no turn. Guards against spending half of a limit on connections
    /// that have been closed unseen. Harm: if the place counts it all the same, a refusal corrects the pace.
    pub(super) fn refund_call(&mut self, now: Seconds, rule: &SlowStart) {
        let healthy = self.outage.health == Health::Healthy;
        self.rate_limiter.next_send_at -= if healthy { 1.0 / self.allowed_rate(now, rule).0 } else { 0.0 };
    }

    /// The rate that is allowed now, and how many calls at once. While shut, the trials' own interval binds.
    fn allowed_rate(&self, now: Seconds, rule: &SlowStart) -> (f64, f64) {
        match self.outage.health {
            Health::Recovering(_) => {
                (self.rate_limiter.current_rate(now).min(self.recovery_budget(now, rule).1), 1.0)
            }
            _ => (self.rate_limiter.current_rate(now), self.rate_limiter.burst(now)),
        }
    }

    pub(super) fn admission(&self, now: Seconds, rule: &SlowStart) -> Admission {
        let mut open_at = self.backoff.retry_after_until.max(self.backoff.backoff_until);
        let (rate, burst) = self.allowed_rate(now, rule);
        if rate.is_finite() {
            open_at = open_at.max(self.rate_limiter.next_send_at - (burst - 1.0) / rate);
        }
        if self.backoff.current_concurrency_limit(now).is_some_and(|calls| self.in_flight as f64 >= calls) {
            open_at = f64::INFINITY;
        }
        let trial = matches!(self.outage.health, Health::Suspect | Health::Unavailable);
        if trial {
            let tries = self.in_flight.saturating_sub(self.overdue_calls);
            open_at = open_at.max(if tries < MAX_TRIALS_IN_FLIGHT {
                self.outage.next_trial_at
            } else {
                f64::INFINITY
            });
        }
        match (now < open_at, trial) {
            (true, _) => Admission::ClosedUntil(open_at),
            (false, true) => Admission::TrialOnly,
            (false, false) => Admission::Open,
        }
    }

    /// Books a call or a probe that goes out.
    pub(super) fn book_call(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        let (rate, _) = self.allowed_rate(now, rule);
        self.rate_limiter.next_send_at = self.rate_limiter.next_send_at.max(now) + 1.0 / rate;
        self.rate_limiter.sent_rate.record_event(now, SEND_RATE_WINDOW_SECONDS);
        if matches!(self.outage.health, Health::Suspect | Health::Unavailable) {
            self.outage.next_trial_at = now + self.trial_interval(now, rule, rng);
            (self.outage.trial_count, self.outage.probe_succeeded) = (self.outage.trial_count + 1, false);
        }
    }
}

impl Dispatcher {
    /// What an earlier life left goes at the own part's pace at first. Guards a place that had told its limit
    /// or was cold against a clump of all that is held. Harm: what waited for the restart waits longer.
    pub(super) fn limit_backlog_rate(&mut self, now: Seconds, number: DestinationId) {
        self.for_each_limited_target(number, |TargetState { rate_limiter: pace, .. }| {
            let own = pace.capacity.map(|capacity| (pace.own_share * capacity, now));
            pace.learned_rate = pace.learned_rate.or(own);
        });
    }
}
