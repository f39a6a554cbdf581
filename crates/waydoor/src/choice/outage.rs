//! Outages and returns: when a place counts as out, who tries it, and how it is filled again.
//! Guards a cold place against what is held, and messages against one that is out. Harm: false outages cost.

use super::attempts::{MIN_TIMEOUT_SECONDS, TIMEOUT_LATENCY_MULTIPLE};
use super::*;

/// Unanswered for this many means, with nothing else served since, a destination is suspect.
pub(super) const SILENCE_LATENCY_MULTIPLE: f64 = 5.0;
/// And not before this time, for the same reason as `MIN_TIMEOUT_SECONDS`.
pub(super) const MIN_SILENCE_SECONDS: f64 = 1.2;
/// Failures in a row that shut a destination: one may be chance ...
const MIN_FAILURE_ROW: u32 = 2;
/// ... and so may more, at a place that always loses some calls: the row has less than this chance there.
const MAX_FAILURE_ROW_CHANCE: f64 = 0.002;
/// Weight of a call in the share that a place loses on usual days: fifty calls count, an outage hardly.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.02;
/// A place that is not known to lose calls may lose this share, and no more is usual at any.
const MIN_BASELINE_LOSS: f64 = 0.02;
const MAX_BASELINE_LOSS: f64 = 0.2;
/// A gap between two served calls that is shorter is no outage: nothing restarts and goes cold so fast.
const MIN_OUTAGE_SECONDS: f64 = 1.0;
/// Share of failures above which it is out: the rule says most calls; this errs on the safe side.
pub(super) const UNHEALTHY_FAILURE_SHARE: f64 = 0.4;
/// First interval between trials of a shut destination; it grows by a fifth each up to `MAX_TRIAL_INTERVAL_SECONDS`.
pub(super) const FIRST_TRIAL_INTERVAL_SECONDS: f64 = 0.5;
pub(super) const MAX_TRIAL_INTERVAL_SECONDS: f64 = 0.9;
/// Trials out at once: more would fill the slots while a place is silent.
pub(super) const MAX_TRIALS_IN_FLIGHT: usize = 2;
/// Share of the returning budget that is used: parts of uneven dispatchers may add up to more than the whole.
const RECOVERY_BUDGET_USE: f64 = 0.9;
/// The same for the trials of a few, before the return is found.
const TRIAL_BUDGET_USE: f64 = 0.85;
/// The same before a crowd has found the return: new messages are trials besides.
const LARGE_FLEET_TRIAL_USE: f64 = 0.65;
/// Those trials and the chances of new messages, which grow with the load, together.
const LARGE_FLEET_TOTAL_USE: f64 = 1.2;
/// The most that all together ask of a place, over its limit, as far as one's own load tells.
const MAX_LARGE_FLEET_LOAD: f64 = 1.5;
/// A gap between failure and success that is longer than this part of the cold time dates no return.
const MAX_RECOVERY_GAP_SHARE: f64 = 0.5;

impl TargetState {
    fn mark_unproven(&mut self, now: Seconds) {
        (self.outage.health, self.outage.next_trial_at, self.outage.last_failure_sent_at) =
            (Health::Unavailable, now, now);
    }

    pub(super) fn mark_unavailable(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        self.outage.trial_count =
            if self.outage.health == Health::Unavailable { self.outage.trial_count } else { 0 };
        (self.outage.health, self.outage.probe_succeeded) = (Health::Unavailable, false);
        self.outage.next_trial_at = self.outage.next_trial_at.max(now + self.trial_interval(now, rule, rng));
    }

    /// Each of a crowd spends its own part of the cold budget, by seeded chance. Harm: a return is seen late.
    pub(super) fn trial_interval(&self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) -> Seconds {
        let alone = (FIRST_TRIAL_INTERVAL_SECONDS * 1.2f64.powi(self.outage.trial_count.min(8) as i32))
            .min(MAX_TRIAL_INTERVAL_SECONDS);
        let turn = 1.0 / self.recovery_budget(now, rule).1;
        let crowd =
            if self.rate_limiter.is_large_fleet() { turn } else { (turn - rule.overload_window).max(0.0) };
        let few =
            if self.rate_limiter.is_large_fleet() { 0.0 } else { self.small_fleet_trial_interval(rule) };
        (alone * (0.75 + 0.5 * rng.f64())).max(few).max(crowd * -(1.0 - rng.f64()).ln())
    }

    /// Time between the trials of each of a few: what the rule's budget leaves beside the chances of new
    /// messages. Guards a small place. Harm: its return is seen later.
    fn small_fleet_trial_interval(&self, rule: &SlowStart) -> Seconds {
        let allowed = rule.overload_multiple
            * rule.cold_capacity_share
            * self.rate_limiter.total_capacity()
            * rule.overload_window;
        let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
        let chances = TRIAL_BUDGET_USE * allowed * self.rate_limiter.own_share / self.rate_limiter.even_share;
        let trials = (TRIAL_BUDGET_USE * (allowed + slack) - chances).max(TRIAL_BUDGET_USE * allowed);
        rule.overload_window / (self.rate_limiter.even_share * trials)
    }

    /// The share of the budget that each of a crowd may use for trials: chances come on top, by its load.
    fn large_fleet_trial_share(&self) -> f64 {
        // Some get several times the mean: what they send is no measure of what all do.
        LARGE_FLEET_TRIAL_USE.min(
            LARGE_FLEET_TOTAL_USE
                / (1.0
                    + (self.rate_limiter.own_share / self.rate_limiter.even_share).min(MAX_LARGE_FLEET_LOAD)),
        )
    }

    /// Whether a place that returned may still be cold: it may have been back only by the first served call.
    pub(super) fn may_be_cold(&self, now: Seconds, rule: &SlowStart) -> bool {
        now - self.outage.recovery_seen_at < rule.warm_up_time
    }

    /// While shut or cold: the share of a warm place's traffic that may go there; the own part.
    pub(super) fn recovery_budget(&self, now: Seconds, rule: &SlowStart) -> (f64, f64) {
        let (warm, used) = match self.outage.health {
            Health::Recovering(since) => {
                (((now - since) / rule.warm_up_time).clamp(0.0, 1.0), RECOVERY_BUDGET_USE)
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
        let share = used
            * rule.overload_multiple
            * (rule.cold_capacity_share + (1.0 - rule.cold_capacity_share) * warm);
        (share, share * self.rate_limiter.budget_share() * self.rate_limiter.total_capacity())
    }

    /// A new message may go at once with the chance that keeps all dispatchers together inside the budget.
    pub(super) fn admit_by_chance(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        let (share, own) = self.recovery_budget(now, rule);
        if self.outage.health != Health::Healthy
            && own * MAX_TRIAL_INTERVAL_SECONDS < 1.0
            && rng.f64() < share
        {
            (self.outage.next_trial_at, self.rate_limiter.next_send_at) = (now, now);
        }
    }

    /// Learns from the end of a call or probe. `own_limit`: the limit is counted on this lane.
    pub(super) fn record_outcome(
        &mut self, now: Seconds, outcome: Outcome, latency: f64, own_limit: bool, rule: &SlowStart,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            Outcome::Served => {
                self.stats.record_sample(now, Some(latency), 0.0);
                // A short gap was a limit, lost calls or a full table of connections, not an outage.
                let out = now - self.outage.last_success_at > MIN_OUTAGE_SECONDS
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE;
                self.update_baseline_loss(0.0);
                let own = &mut self.outage;
                own.last_success_sent_at = own.last_success_sent_at.max(now - latency);
                let out = out && (own.health == Health::Unavailable || own.consecutive_failures > 0);
                (
                    own.consecutive_failures,
                    self.backoff.consecutive_overloads,
                    own.trial_count,
                    own.last_success_at,
                ) = (0, 0, 0, now);
                own.health = match own.health {
                    // It was sent before the place told that it is shut.
                    Health::Unavailable if now < self.backoff.retry_after_until => Health::Unavailable,
                    // It is back since some time after the last failure, as likely early as late.
                    Health::Unavailable | Health::Suspect if out => {
                        let found = now - latency;
                        let gap = (found - own.last_failure_sent_at)
                            .clamp(0.0, MAX_RECOVERY_GAP_SHARE * rule.warm_up_time);
                        own.recovery_seen_at = found;
                        Health::Recovering(found - gap / 2.0)
                    }
                    Health::Unavailable | Health::Suspect => Health::Healthy,
                    other => other,
                };
            }
            Outcome::Overloaded => self.record_overload(now, latency, own_limit, rule, rng),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.stats.record_sample(now, None, 1.0);
                // Sent before the last served call, it tells nothing of now. Harm: none in an outage.
                let stale = self.outage.last_success_at > now - latency;
                self.outage.last_failure_sent_at = self.outage.last_failure_sent_at.max(now - latency);
                self.outage.consecutive_failures += u32::from(!stale);
                let doubted = self.outage.health == Health::Unavailable && !stale;
                // Guards against ramps after outages that were none. Harm: an outage costs a call more.
                let lost = self.outage.baseline_loss.max(MIN_BASELINE_LOSS);
                let row = (MIN_FAILURE_ROW as f64).max((MAX_FAILURE_ROW_CHANCE.ln() / lost.ln()).ceil());
                self.update_baseline_loss(1.0);
                let OutageState { consecutive_failures: fails, baseline_loss: lost, health, .. } =
                    self.outage;
                if f64::from(fails) >= row
                    || self.stats.failure_share > UNHEALTHY_FAILURE_SHARE + lost
                    || doubted
                {
                    self.mark_unavailable(now, rule, rng);
                } else if fails > 0 && self.rate_limiter.is_large_fleet() && health == Health::Healthy {
                    // One try more of each of a crowd is too much for a place that comes back cold.
                    (self.outage.health, self.outage.trial_count) = (Health::Suspect, 0);
                    self.outage.next_trial_at = now + self.trial_interval(now, rule, rng);
                    self.admit_by_chance(now, rule, rng);
                }
            }
            // An answer that came shows a process that lives, not one that serves.
            Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::NotRecorded
            | Outcome::MalformedResponse
            | Outcome::InvalidRequest => {}
        }
    }

    /// Learns what share of calls a place loses while it is in service.
    fn update_baseline_loss(&mut self, failed: f64) {
        if self.outage.health == Health::Healthy {
            self.outage.baseline_loss = (self.outage.baseline_loss
                + BASELINE_SAMPLE_WEIGHT * (failed - self.outage.baseline_loss))
                .min(MAX_BASELINE_LOSS);
        }
    }

    /// A trial whose message was over told nothing of the place, and cost it nothing: the next goes at once.
    pub(super) fn allow_trial_now(&mut self, now: Seconds) {
        if matches!(self.outage.health, Health::Suspect | Health::Unavailable) {
            (self.outage.next_trial_at, self.outage.trial_count) =
                (now, self.outage.trial_count.saturating_sub(1));
        }
    }
}

impl Dispatcher {
    /// An outage that was seen outlasts the process: what holds much for it may not give it all at once.
    pub(super) fn record_outage_change(&mut self, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let cold =
            |lane: &TargetState| matches!(lane.outage.health, Health::Unavailable | Health::Recovering(_));
        let mut routes = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let out = if destination.independent_endpoints {
            routes.any(|e| cold(&e.target))
        } else {
            cold(&destination.target)
        };
        if out != destination.outage_recorded {
            destination.outage_recorded = out;
            self.pending_actions.push(Action::RecordOutage { destination: number, ongoing: out });
        }
    }

    /// What was out when an earlier life ended is tried first and returns cold. Harm: one long back waits.
    pub(super) fn restore_outage(&mut self, now: Seconds, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        if destination.endpoints.is_empty() || !self.recovered_outages.remove(&number) {
            return;
        }
        destination.outage_recorded = true;
        self.for_each_limited_target(number, |lane| lane.mark_unproven(now));
    }

    /// What operators had out is tried first, and returns cold. Others there that served meanwhile go on.
    pub(super) fn endpoint_restored(&mut self, now: Seconds, id: EndpointId) {
        self.endpoints.entry(id).and_modify(|e| e.target.mark_unproven(now));
        let Some(number) = self.endpoints.get(&id).map(|e| e.destination) else { return };
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        if !destination.independent_endpoints && destination.endpoints.len() == 1 {
            destination.target.mark_unproven(now);
        }
        self.record_outage_change(number);
    }

    /// A call unanswered for far longer than usual, with nothing served since, makes its lane suspect.
    /// What an own stall kept from coming is no silence. Harm: a slow call delays others.
    pub(super) fn suspect_unanswered(&mut self, now: Seconds) {
        if now < self.next_silence_check_at {
            return;
        }
        self.next_silence_check_at = f64::INFINITY;
        for call in self.calls.values_mut() {
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { continue };
            let since = call.sent_at.max(self.last_stall_at);
            let due = since
                + (TIMEOUT_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now))
                    .max(MIN_TIMEOUT_SECONDS);
            if call.carries_unsafe && !call.overdue && now >= due {
                // It is waited for, but others need not wait for it. Guards a place that is back against
                // staying shut for as long as those messages live. Harm: slots, within the share.
                call.overdue = true;
                endpoint.target.overdue_calls += 1;
                destination.target.overdue_calls += 1;
            } else if call.carries_unsafe && !call.overdue {
                self.next_silence_check_at = self.next_silence_check_at.min(due);
            }
            for lane in [&mut endpoint.target, &mut destination.target] {
                let at = since
                    + (SILENCE_LATENCY_MULTIPLE * lane.stats.expected_latency(now)).max(MIN_SILENCE_SECONDS);
                let own = &mut lane.outage;
                let silent = own.health == Health::Healthy && own.last_success_at < call.sent_at;
                if silent && now >= at {
                    (own.health, own.next_trial_at, own.trial_count) =
                        (Health::Suspect, now + FIRST_TRIAL_INTERVAL_SECONDS, 0);
                } else if silent {
                    self.next_silence_check_at = self.next_silence_check_at.min(at);
                }
            }
        }
    }
}
