//! Outages and recovery: decides when a target counts as unavailable, which calls test it, and how its
//! traffic grows again.
//!
//! Prevents a cold target from being overloaded by what is queued for it, and messages from being lost at one
//! that is unavailable. The cost is delay after a false alarm.

use super::attempts::{MIN_TIMEOUT_SECONDS, TIMEOUT_LATENCY_MULTIPLE};
use super::*;

/// A target is suspect once a call is unanswered for this multiple of its mean latency and nothing else was
/// served ...
pub(super) const SILENCE_LATENCY_MULTIPLE: f64 = 5.0;
/// ... but not before this time, for the same reason as `MIN_TIMEOUT_SECONDS`.
pub(super) const MIN_SILENCE_SECONDS: f64 = 1.2;
/// Consecutive failures that make a target unavailable: a single one may be chance ...
const MIN_FAILURES_FOR_OUTAGE: u32 = 2;
/// ... and so may several at a target that always loses some calls: their probability must be below this.
const MAX_CHANCE_OF_FAILURES: f64 = 0.002;
/// Weight of a call in the baseline loss: about fifty calls count; an outage hardly changes it.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.02;
/// Lower and upper limit of the loss that is normal for a target.
const MIN_BASELINE_LOSS: f64 = 0.02;
const MAX_BASELINE_LOSS: f64 = 0.2;
/// A shorter gap between two served calls is no outage: no target restarts within this time.
const MIN_OUTAGE_SECONDS: f64 = 1.0;
/// Share of failures above which a target is unavailable: the rule is "most calls", with a margin.
pub(super) const UNHEALTHY_FAILURE_SHARE: f64 = 0.4;
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
/// Upper limit of the demand for a target, relative to its limit, as estimated from the own share.
const MAX_LARGE_FLEET_LOAD: f64 = 1.5;
/// Maximum gap between failure and success by which a recovery is dated, as a share of the warm-up time.
const MAX_RECOVERY_GAP_SHARE: f64 = 0.5;

impl TargetState {
    fn mark_unproven(&mut self, now: Seconds) {
        (self.outage.health, self.outage.next_trial_at, self.outage.last_failure_sent_at) =
            (Health::Unavailable, now, now);
    }

    pub(super) fn mark_unavailable(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        self.outage.trial_count =
            if self.outage.health == Health::Unavailable { self.outage.trial_count } else { 0 };
        (self.outage.health, self.outage.probe_succeeded) = (Health::Unavailable, false);
        self.outage.next_trial_at =
            self.outage.next_trial_at.max(now + self.trial_interval(now, slow_start, rng));
    }

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
        let budget = slow_start.overload_multiple
            * slow_start.cold_capacity_share
            * self.rate_limiter.total_capacity()
            * slow_start.overload_window;
        let tolerance = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        let new_messages =
            TRIAL_BUDGET_USE * budget * self.rate_limiter.own_share / self.rate_limiter.even_share;
        let trials = (TRIAL_BUDGET_USE * (budget + tolerance) - new_messages).max(TRIAL_BUDGET_USE * budget);
        slow_start.overload_window / (self.rate_limiter.even_share * trials)
    }

    /// Share of the budget that each dispatcher of a large fleet may use for trials; the new messages that
    /// are admitted by chance come on top, in proportion to its load.
    fn large_fleet_trial_share(&self) -> f64 {
        // Some dispatchers get several times the mean load, which says nothing about the load of all.
        LARGE_FLEET_TRIAL_USE.min(
            LARGE_FLEET_TOTAL_USE
                / (1.0
                    + (self.rate_limiter.own_share / self.rate_limiter.even_share).min(MAX_LARGE_FLEET_LOAD)),
        )
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
                    self.large_fleet_trial_share()
                } else {
                    TRIAL_BUDGET_USE
                },
            ),
        };
        let share = budget_use
            * slow_start.overload_multiple
            * (slow_start.cold_capacity_share + (1.0 - slow_start.cold_capacity_share) * warmth);
        (share, share * self.rate_limiter.budget_share() * self.rate_limiter.total_capacity())
    }

    /// Admits a new message at once, with a probability that keeps all dispatchers within the budget.
    pub(super) fn admit_by_chance(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        let (share, own_rate) = self.recovery_budget(now, slow_start);
        if self.outage.health != Health::Healthy
            && own_rate * MAX_TRIAL_INTERVAL_SECONDS < 1.0
            && rng.f64() < share
        {
            (self.outage.next_trial_at, self.rate_limiter.next_send_at) = (now, now);
        }
    }

    /// Applies the end of a call or probe. `own_limit`: the rate limit applies to this target.
    pub(super) fn record_outcome(
        &mut self, now: Seconds, outcome: Outcome, latency: f64, own_limit: bool, slow_start: &SlowStart,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            Outcome::Served => {
                self.stats.record_sample(now, Some(latency), 0.0);
                // A short gap was caused by a rate limit, lost calls or a full connection table, not by an
                // outage.
                let was_outage = now - self.outage.last_success_at > MIN_OUTAGE_SECONDS
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE;
                self.update_baseline_loss(0.0);
                let state = &mut self.outage;
                state.last_success_sent_at = state.last_success_sent_at.max(now - latency);
                let was_outage =
                    was_outage && (state.health == Health::Unavailable || state.consecutive_failures > 0);
                (
                    state.consecutive_failures,
                    self.backoff.consecutive_overloads,
                    state.trial_count,
                    state.last_success_at,
                ) = (0, 0, 0, now);
                state.health = match state.health {
                    // The call was sent before the target sent its retry-after.
                    Health::Unavailable if now < self.backoff.retry_after_until => Health::Unavailable,
                    // It recovered at some time since the last failure: the middle is the best estimate.
                    Health::Unavailable | Health::Suspect if was_outage => {
                        let sent_at = now - latency;
                        let gap = (sent_at - state.last_failure_sent_at)
                            .clamp(0.0, MAX_RECOVERY_GAP_SHARE * slow_start.warm_up_time);
                        state.recovery_seen_at = sent_at;
                        Health::Recovering(sent_at - gap / 2.0)
                    }
                    Health::Unavailable | Health::Suspect => Health::Healthy,
                    other => other,
                };
            }
            Outcome::Overloaded => self.record_overload(now, latency, own_limit, slow_start, rng),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.stats.record_sample(now, None, 1.0);
                // A call that was sent before the last served one says nothing about the present.
                let sent_before_success = self.outage.last_success_at > now - latency;
                self.outage.last_failure_sent_at = self.outage.last_failure_sent_at.max(now - latency);
                self.outage.consecutive_failures += u32::from(!sent_before_success);
                let trial_failed = self.outage.health == Health::Unavailable && !sent_before_success;
                // Prevents slow start without an outage before it; the cost is one more lost call in an
                // outage.
                let normal_loss = self.outage.baseline_loss.max(MIN_BASELINE_LOSS);
                let failure_limit = (MIN_FAILURES_FOR_OUTAGE as f64)
                    .max((MAX_CHANCE_OF_FAILURES.ln() / normal_loss.ln()).ceil());
                self.update_baseline_loss(1.0);
                let OutageState { consecutive_failures, baseline_loss, health, .. } = self.outage;
                if f64::from(consecutive_failures) >= failure_limit
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE + baseline_loss
                    || trial_failed
                {
                    self.mark_unavailable(now, slow_start, rng);
                } else if consecutive_failures > 0
                    && self.rate_limiter.is_large_fleet()
                    && health == Health::Healthy
                {
                    // One more call from each of a large fleet is too much for a cold target.
                    (self.outage.health, self.outage.trial_count) = (Health::Suspect, 0);
                    self.outage.next_trial_at = now + self.trial_interval(now, slow_start, rng);
                    self.admit_by_chance(now, slow_start, rng);
                }
            }
            // An answer that cannot be used shows that the process runs, not that it delivers.
            Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::NotRecorded
            | Outcome::MalformedResponse
            | Outcome::InvalidRequest => {}
        }
    }

    /// Updates the share of calls that the target loses while it is available.
    fn update_baseline_loss(&mut self, failed: f64) {
        if self.outage.health == Health::Healthy {
            self.outage.baseline_loss = (self.outage.baseline_loss
                + BASELINE_SAMPLE_WEIGHT * (failed - self.outage.baseline_loss))
                .min(MAX_BASELINE_LOSS);
        }
    }

    /// Allows the next trial at once, after one whose message had ended: it did not reach the target.
    pub(super) fn allow_trial_now(&mut self, now: Seconds) {
        if matches!(self.outage.health, Health::Suspect | Health::Unavailable) {
            (self.outage.next_trial_at, self.outage.trial_count) =
                (now, self.outage.trial_count.saturating_sub(1));
        }
    }
}

impl Dispatcher {
    /// Records the start or end of an outage, so that the next process does not send a whole backlog at once.
    pub(super) fn record_outage_change(&mut self, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let is_cold =
            |t: &TargetState| matches!(t.outage.health, Health::Unavailable | Health::Recovering(_));
        let mut endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let ongoing = if destination.independent_endpoints {
            endpoints.any(|e| is_cold(&e.target))
        } else {
            is_cold(&destination.target)
        };
        if ongoing != destination.outage_recorded {
            destination.outage_recorded = ongoing;
            self.pending_actions.push(Action::RecordOutage { destination: id, ongoing });
        }
    }

    /// A destination that was unavailable when the previous process ended gets trials first and counts as
    /// cold when it serves. The cost is a delay at one that recovered long before.
    pub(super) fn restore_outage(&mut self, now: Seconds, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        if destination.endpoints.is_empty() || !self.recovered_outages.remove(&id) {
            return;
        }
        destination.outage_recorded = true;
        self.for_each_limited_target(id, |target| target.mark_unproven(now));
    }

    /// An endpoint that operators had suspended gets trials first and counts as cold when it serves.
    /// Endpoints of the destination that served meanwhile are not affected.
    pub(super) fn endpoint_restored(&mut self, now: Seconds, id: EndpointId) {
        self.endpoints.entry(id).and_modify(|e| e.target.mark_unproven(now));
        let Some(destination_id) = self.endpoints.get(&id).map(|e| e.destination) else { return };
        let Some(destination) = self.destinations.get_mut(&destination_id) else { return };
        if !destination.independent_endpoints && destination.endpoints.len() == 1 {
            destination.target.mark_unproven(now);
        }
        self.record_outage_change(destination_id);
    }

    /// Marks a target suspect if a call is unanswered for far longer than usual and nothing was served since.
    /// A stall of this process is not counted as silence. The cost is that a slow call delays others.
    pub(super) fn suspect_unanswered(&mut self, now: Seconds) {
        if now < self.next_silence_check_at {
            return;
        }
        self.next_silence_check_at = f64::INFINITY;
        for call in self.calls.values_mut() {
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { continue };
            let since = call.sent_at.max(self.last_stall_at);
            let timeout_at = since
                + (TIMEOUT_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now))
                    .max(MIN_TIMEOUT_SECONDS);
            if call.carries_unsafe && !call.overdue && now >= timeout_at {
                // The call is still awaited, but trials no longer wait for it: otherwise a target that has
                // recovered would stay unavailable until the deadline of that message. The cost is an
                // occupied slot.
                call.overdue = true;
                endpoint.target.overdue_calls += 1;
                destination.target.overdue_calls += 1;
            } else if call.carries_unsafe && !call.overdue {
                self.next_silence_check_at = self.next_silence_check_at.min(timeout_at);
            }
            for target in [&mut endpoint.target, &mut destination.target] {
                let suspect_at = since
                    + (SILENCE_LATENCY_MULTIPLE * target.stats.expected_latency(now))
                        .max(MIN_SILENCE_SECONDS);
                let state = &mut target.outage;
                let unanswered = state.health == Health::Healthy && state.last_success_at < call.sent_at;
                if unanswered && now >= suspect_at {
                    (state.health, state.next_trial_at, state.trial_count) =
                        (Health::Suspect, now + FIRST_TRIAL_INTERVAL_SECONDS, 0);
                } else if unanswered {
                    self.next_silence_check_at = self.next_silence_check_at.min(suspect_at);
                }
            }
        }
    }
}
