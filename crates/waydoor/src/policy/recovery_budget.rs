//! The calls that a target may get while it is unavailable or cold: how often it is tried, and how its
//! traffic grows again.
//!
//! Keeps all dispatchers together within the budget of a cold target. The cost is that a recovery is noticed
//! later.

use super::*;

/// First interval between trials of an unavailable target; each is a fifth longer, up to the maximum.
pub(super) const FIRST_TRIAL_INTERVAL_SECONDS: f64 = 0.5;
pub(super) const MAX_TRIAL_INTERVAL_SECONDS: f64 = 0.9;
/// Trials in flight at once; more would fill the slots while a target does not answer.
pub(super) const MAX_TRIALS_IN_FLIGHT: usize = 2;
/// Share of the recovery budget that is used: the shares of uneven dispatchers may add up to more than 1.
const RECOVERY_BUDGET_USE: f64 = 0.9;
/// Share of the budget for trials in a small fleet, before the recovery is noticed.
const TRIAL_BUDGET_USE: f64 = 0.85;
/// The same in a large fleet, where some new messages are sent as additional trials.
const LARGE_FLEET_TRIAL_USE: f64 = 0.65;
/// Share of the budget for all trials, including the new messages, whose number grows with the load.
const LARGE_FLEET_TOTAL_USE: f64 = 1.2;
/// From this share of the warm-up time on, slow start uses its budget beside new messages.
const FULL_USE_WARMTH: f64 = 0.5;
/// Upper limit of the demand for a target, relative to its limit, as estimated from the own share.
const MAX_LARGE_FLEET_LOAD: f64 = 1.5;
/// The same for a target with a large budget, to which random variation may add little.
const MAX_LARGE_TARGET_LOAD: f64 = 3.0;
/// From this many calls in one window on, the protocol's acceptance test counts a budget as large.
const LARGE_BUDGET_CALLS: f64 = 30.0;

/// Whether a dispatcher with this part of the budget, in calls a second, sends so seldom that some new
/// messages are sent at once.
fn admits_by_chance(own_rate: f64) -> bool {
    own_rate * MAX_TRIAL_INTERVAL_SECONDS < 1.0
}

impl TargetState {
    /// Time until the next trial, with jitter: each dispatcher of a large fleet uses its part of the recovery
    /// budget. The cost is that a recovery is noticed later.
    pub(super) fn trial_interval(
        &self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng,
    ) -> Seconds {
        let backoff = (FIRST_TRIAL_INTERVAL_SECONDS * 1.2f64.powi(self.outage.trial_count.min(8) as i32))
            .min(MAX_TRIAL_INTERVAL_SECONDS);
        let interval = 1.0 / self.recovery_budget(now, slow_start).1;
        let large_fleet = if self.rate_limiter.is_large_fleet() {
            interval
        } else {
            (interval - slow_start.overload_window).max(0.0)
        };
        let small_fleet =
            if self.rate_limiter.is_large_fleet() { 0.0 } else { self.small_fleet_interval(slow_start) };
        (backoff * (0.75 + 0.5 * rng.f64())).max(small_fleet).max(large_fleet * -(1.0 - rng.f64()).ln())
    }

    /// Time between trials of each dispatcher in a small fleet: what the budget leaves besides the new
    /// messages that are admitted by chance. Protects destinations of low capacity; the cost is that their
    /// recovery is noticed later.
    fn small_fleet_interval(&self, slow_start: &SlowStart) -> Seconds {
        let budget = self.cold_budget(slow_start);
        let tolerance =
            if budget < LARGE_BUDGET_CALLS { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        let new_messages =
            TRIAL_BUDGET_USE * budget * self.rate_limiter.own_share / self.rate_limiter.even_share;
        let trials = (TRIAL_BUDGET_USE * (budget + tolerance) - new_messages).max(TRIAL_BUDGET_USE * budget);
        slow_start.overload_window / (self.rate_limiter.even_share * trials)
    }

    /// Calls that a target accepts in one window while it is cold.
    fn cold_budget(&self, slow_start: &SlowStart) -> f64 {
        slow_start.overload_multiple
            * slow_start.cold_capacity_share
            * self.rate_limiter.total_capacity()
            * slow_start.overload_window
    }

    /// Share of the budget that each dispatcher of a large fleet may use for trials; the new messages that
    /// are admitted by chance come on top, in proportion to its load.
    fn large_fleet_trial_share(&self, slow_start: &SlowStart) -> f64 {
        LARGE_FLEET_TRIAL_USE.min(LARGE_FLEET_TOTAL_USE / (1.0 + self.estimated_load(slow_start)))
    }

    /// The demand for the target relative to its capacity, as this dispatcher sees it. Some dispatchers get
    /// several times the mean load, which says little about the load of all.
    fn estimated_load(&self, slow_start: &SlowStart) -> f64 {
        let max_load = if self.cold_budget(slow_start) < LARGE_BUDGET_CALLS {
            MAX_LARGE_FLEET_LOAD
        } else {
            MAX_LARGE_TARGET_LOAD
        };
        (self.rate_limiter.own_share / self.rate_limiter.even_share).min(max_load)
    }

    /// Whether a recovering target may still be cold: only the first served call proves its recovery.
    pub(super) fn may_be_cold(&self, now: Seconds, slow_start: &SlowStart) -> bool {
        now - self.outage.recovery_seen_at < slow_start.warm_up_time
    }

    /// The share of a warm target's traffic that may be sent while it is unavailable or cold, and the calls a
    /// second of this dispatcher.
    pub(super) fn recovery_budget(&self, now: Seconds, slow_start: &SlowStart) -> (f64, f64) {
        let (warmth, budget_use) = match self.outage.health {
            Health::Recovering(since) => {
                (((now - since) / slow_start.warm_up_time).clamp(0.0, 1.0), RECOVERY_BUDGET_USE)
            }
            _ => (
                0.0,
                if self.rate_limiter.is_large_fleet() {
                    self.large_fleet_trial_share(slow_start)
                } else {
                    TRIAL_BUDGET_USE
                },
            ),
        };
        let share = budget_use
            * slow_start.overload_multiple
            * (slow_start.cold_capacity_share + (1.0 - slow_start.cold_capacity_share) * warmth);
        let own_rate = share * self.rate_limiter.budget_share() * self.rate_limiter.total_capacity();
        let is_recovering = matches!(self.outage.health, Health::Recovering(_));
        if is_recovering && self.rate_limiter.is_large_fleet() && admits_by_chance(own_rate) {
            // New messages that are admitted by chance use the budget as well. The warmer the target is, the
            // less they matter.
            let cold_use = (LARGE_FLEET_TOTAL_USE / (1.0 + self.estimated_load(slow_start))).min(1.0);
            let use_factor = cold_use + (1.0 - cold_use) * (warmth / FULL_USE_WARMTH).min(1.0);
            (share * use_factor, own_rate * use_factor)
        } else {
            (share, own_rate)
        }
    }

    /// Admits a new message at once, with a probability that keeps all dispatchers within the budget.
    pub(super) fn admit_by_chance(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        let (share, own_rate) = self.recovery_budget(now, slow_start);
        if self.outage.health != Health::Healthy
            && self.backoff.retry_after_until <= now
            && admits_by_chance(own_rate)
            && rng.f64() < share
        {
            (self.outage.next_trial_at, self.rate_limiter.next_send_at) = (now, now);
        }
    }
}
