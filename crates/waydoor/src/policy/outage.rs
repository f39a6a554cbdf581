//! Outages: decides from the ends of calls when a target counts as unavailable and when it has recovered.
//!
//! Prevents a cold target from being overloaded by what is queued for it, and messages from being lost at one
//! that is unavailable. The cost is delay after a false alarm.

use super::overload::OverloadCause;
use super::*;

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
/// Maximum gap between failure and success by which a recovery is dated, as a share of the warm-up time.
const MAX_RECOVERY_GAP_SHARE: f64 = 0.5;

/// The end of a call or probe, as far as it concerns the health of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallResult {
    pub(super) outcome: Outcome,
    pub(super) latency: Seconds,
    /// Applies if the outcome is a rejection.
    pub(super) overload_cause: OverloadCause,
}

impl TargetState {
    /// Requires a trial before other calls: at once, or within the budget of a large fleet, whose dispatchers
    /// may all restart together.
    pub(super) fn mark_unproven(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        (self.outage.health, self.outage.last_failure_sent_at) = (Health::Unavailable, now);
        self.outage.next_trial_at = if self.rate_limiter.is_large_fleet() {
            now + self.trial_interval(now, slow_start, rng)
        } else {
            now
        };
    }

    pub(super) fn mark_unavailable(&mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng) {
        self.outage.trial_count =
            if self.outage.health == Health::Unavailable { self.outage.trial_count } else { 0 };
        (self.outage.health, self.outage.probe_succeeded) = (Health::Unavailable, false);
        self.outage.next_trial_at =
            self.outage.next_trial_at.max(now + self.trial_interval(now, slow_start, rng));
    }

    /// Applies the end of a call or probe. `own_limit`: the rate limit applies to this target.
    pub(super) fn record_outcome(
        &mut self, now: Seconds, result: CallResult, own_limit: bool, slow_start: &SlowStart,
        rng: &mut fastrand::Rng,
    ) {
        let CallResult { outcome, latency, .. } = result;
        match outcome {
            Outcome::Served => {
                self.stats.record_sample(now, Some(latency), 0.0);
                // A short gap was caused by a rate limit, lost calls or a full connection table, not by an
                // outage.
                let was_outage = now - self.outage.last_success_at > MIN_OUTAGE_SECONDS
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE;
                self.update_baseline_loss(0.0);
                let may_be_cold = self.may_be_cold(now, slow_start);
                let state = &mut self.outage;
                state.last_success_sent_at = state.last_success_sent_at.max(now - latency);
                let was_outage = was_outage
                    && (state.health == Health::Unavailable
                        || state.consecutive_failures > 0
                        || self.backoff.consecutive_overloads > 0);
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
                    // A failure during slow start does not end it.
                    Health::Unavailable | Health::Suspect if may_be_cold => {
                        Health::Recovering(state.recovery_seen_at)
                    }
                    Health::Unavailable | Health::Suspect => Health::Healthy,
                    other => other,
                };
            }
            Outcome::Overloaded => self.record_overload(now, result, own_limit, slow_start, rng),
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
                let OutageState { consecutive_failures, baseline_loss, .. } = self.outage;
                if f64::from(consecutive_failures) >= failure_limit
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE + baseline_loss
                    || trial_failed
                {
                    self.mark_unavailable(now, slow_start, rng);
                } else if consecutive_failures > 0 {
                    self.suspect_in_large_fleet(now, slow_start, rng);
                }
            }
            // An answer that cannot be used shows that the process runs, not that it delivers.
            Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::NotRecorded
            | Outcome::MalformedResponse
            | Outcome::InvalidRequest
            | Outcome::AttemptsExhausted => {}
        }
    }

    /// Suspects an outage after one failed or rejected call: one more call from each dispatcher of a large
    /// fleet would be too much for a cold target.
    pub(super) fn suspect_in_large_fleet(
        &mut self, now: Seconds, slow_start: &SlowStart, rng: &mut fastrand::Rng,
    ) {
        if self.rate_limiter.is_large_fleet() && self.outage.health == Health::Healthy {
            (self.outage.health, self.outage.trial_count) = (Health::Suspect, 0);
            self.outage.next_trial_at = now + self.trial_interval(now, slow_start, rng);
            self.admit_by_chance(now, slow_start, rng);
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
