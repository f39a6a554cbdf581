//! Outages and returns: when a place counts as out, who tries it, and how it is filled again.
//! Guards a cold place against what is held, and messages against one that is out. Harm: false outages cost.

use super::attempts::{TIMEOUT_LEAST, TIMEOUT_MEANS};
use super::*;

/// Unanswered for this many means, with nothing else served since, a destination is suspect.
pub(super) const SILENT_MEANS: f64 = 5.0;
/// And not before this time, for the same reason as `TIMEOUT_LEAST`.
pub(super) const SILENT_LEAST: f64 = 1.2;
/// Failures in a row that shut a destination: one may be chance ...
const FAILS_TO_SHUT: u32 = 2;
/// ... and so may more, at a place that always loses some calls: the row has less than this chance there.
const ROW_CHANCE: f64 = 0.002;
/// Weight of a call in the share that a place loses on usual days: fifty calls count, an outage hardly.
const USUAL_SAMPLE: f64 = 0.02;
/// A place that is not known to lose calls may lose this share, and no more is usual at any.
const USUAL_LEAST: f64 = 0.02;
const USUAL_MOST: f64 = 0.2;
/// A gap between two served calls that is shorter is no outage: nothing restarts and goes cold so fast.
const OUTAGE_LEAST: f64 = 1.0;
/// Share of failures above which it is out: the rule says most calls; this errs on the safe side.
pub(super) const SICK_SHARE: f64 = 0.4;
/// First interval between trials of a shut destination; it grows by a fifth each up to `TRIAL_MOST`.
pub(super) const TRIAL: f64 = 0.5;
pub(super) const TRIAL_MOST: f64 = 0.9;
/// Trials out at once: more would fill the slots while a place is silent.
pub(super) const TRIALS_OUT: usize = 2;
/// Share of the returning budget that is used: parts of uneven dispatchers may add up to more than the whole.
const RAMP_SHARE: f64 = 0.9;
/// The same for the trials of a few, before the return is found.
const TRIAL_SHARE: f64 = 0.85;
/// The same before a crowd has found the return: new messages are trials besides.
const CROWD_TRIALS: f64 = 0.65;
/// Those trials and the chances of new messages, which grow with the load, together.
const CROWD_TRIES: f64 = 1.2;
/// The most that all together ask of a place, over its limit, as far as one's own load tells.
const CROWD_LOAD_MOST: f64 = 1.5;
/// A gap between failure and success that is longer than this part of the cold time dates no return.
const DATED_MOST: f64 = 0.5;

impl Lane {
    fn unproven(&mut self, now: Seconds) {
        (self.outage.health, self.outage.trial_at, self.outage.failed_at) = (Health::Shut, now, now);
    }

    pub(super) fn shut(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        self.outage.trials = if self.outage.health == Health::Shut { self.outage.trials } else { 0 };
        (self.outage.health, self.outage.vouched) = (Health::Shut, false);
        self.outage.trial_at = self.outage.trial_at.max(now + self.trial_wait(now, rule, rng));
    }

    /// Each of a crowd spends its own part of the cold budget, by seeded chance. Harm: a return is seen late.
    pub(super) fn trial_wait(&self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) -> Seconds {
        let alone = (TRIAL * 1.2f64.powi(self.outage.trials.min(8) as i32)).min(TRIAL_MOST);
        let turn = 1.0 / self.ramp(now, rule).1;
        let crowd = if self.pace.crowded() { turn } else { (turn - rule.overload_window).max(0.0) };
        let few = if self.pace.crowded() { 0.0 } else { self.trial_turn(rule) };
        (alone * (0.75 + 0.5 * rng.f64())).max(few).max(crowd * -(1.0 - rng.f64()).ln())
    }

    /// Time between the trials of each of a few: what the rule's budget leaves beside the chances of new
    /// messages. Guards a small place. Harm: its return is seen later.
    fn trial_turn(&self, rule: &SlowStart) -> Seconds {
        let allowed =
            rule.overload_multiple * rule.cold_capacity_share * self.pace.whole() * rule.overload_window;
        let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
        let chances = TRIAL_SHARE * allowed * self.pace.part / self.pace.even;
        let trials = (TRIAL_SHARE * (allowed + slack) - chances).max(TRIAL_SHARE * allowed);
        rule.overload_window / (self.pace.even * trials)
    }

    /// The share of the budget that each of a crowd may use for trials: chances come on top, by its load.
    fn crowd_trials(&self) -> f64 {
        // Some get several times the mean: what they send is no measure of what all do.
        CROWD_TRIALS.min(CROWD_TRIES / (1.0 + (self.pace.part / self.pace.even).min(CROWD_LOAD_MOST)))
    }

    /// Whether a place that returned may still be cold: it may have been back only by the first served call.
    pub(super) fn may_be_cold(&self, now: Seconds, rule: &SlowStart) -> bool {
        now - self.outage.found_at < rule.warm_up_time
    }

    /// While shut or cold: the share of a warm place's traffic that may go there; the own part.
    pub(super) fn ramp(&self, now: Seconds, rule: &SlowStart) -> (f64, f64) {
        let (warm, used) = match self.outage.health {
            Health::Returning(since) => (((now - since) / rule.warm_up_time).clamp(0.0, 1.0), RAMP_SHARE),
            _ => (0.0, if self.pace.crowded() { self.crowd_trials() } else { TRIAL_SHARE }),
        };
        let share = used
            * rule.overload_multiple
            * (rule.cold_capacity_share + (1.0 - rule.cold_capacity_share) * warm);
        (share, share * self.pace.divided() * self.pace.whole())
    }

    /// A new message may go at once with the chance that keeps all dispatchers together inside the budget.
    pub(super) fn chance(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        let (share, own) = self.ramp(now, rule);
        if self.outage.health != Health::Healthy && own * TRIAL_MOST < 1.0 && rng.f64() < share {
            (self.outage.trial_at, self.pace.due) = (now, now);
        }
    }

    /// Learns from the end of a call or probe. `own_limit`: the limit is counted on this lane.
    pub(super) fn learn(
        &mut self, now: Seconds, outcome: Outcome, latency: f64, own_limit: bool, rule: &SlowStart,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            Outcome::Served => {
                self.service.sample(now, Some(latency), 0.0);
                // A short gap was a limit, lost calls or a full table of connections, not an outage.
                let out = now - self.outage.served_at > OUTAGE_LEAST || self.service.failing > SICK_SHARE;
                self.usual(0.0);
                let own = &mut self.outage;
                own.overtook_at = own.overtook_at.max(now - latency);
                let out = out && (own.health == Health::Shut || own.fails > 0);
                (own.fails, self.refusals.fulls, own.trials, own.served_at) = (0, 0, 0, now);
                own.health = match own.health {
                    // It was sent before the place told that it is shut.
                    Health::Shut if now < self.refusals.wait_until => Health::Shut,
                    // It is back since some time after the last failure, as likely early as late.
                    Health::Shut | Health::Suspect if out => {
                        let found = now - latency;
                        let gap = (found - own.failed_at).clamp(0.0, DATED_MOST * rule.warm_up_time);
                        own.found_at = found;
                        Health::Returning(found - gap / 2.0)
                    }
                    Health::Shut | Health::Suspect => Health::Healthy,
                    other => other,
                };
            }
            Outcome::Overloaded => self.refused(now, latency, own_limit, rule, rng),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.service.sample(now, None, 1.0);
                // Sent before the last served call, it tells nothing of now. Harm: none in an outage.
                let stale = self.outage.served_at > now - latency;
                self.outage.failed_at = self.outage.failed_at.max(now - latency);
                self.outage.fails += u32::from(!stale);
                let doubted = self.outage.health == Health::Shut && !stale;
                // Guards against ramps after outages that were none. Harm: an outage costs a call more.
                let lost = self.outage.lost.max(USUAL_LEAST);
                let row = (FAILS_TO_SHUT as f64).max((ROW_CHANCE.ln() / lost.ln()).ceil());
                self.usual(1.0);
                let Outage { fails, lost, health, .. } = self.outage;
                if f64::from(fails) >= row || self.service.failing > SICK_SHARE + lost || doubted {
                    self.shut(now, rule, rng);
                } else if fails > 0 && self.pace.crowded() && health == Health::Healthy {
                    // One try more of each of a crowd is too much for a place that comes back cold.
                    (self.outage.health, self.outage.trials) = (Health::Suspect, 0);
                    self.outage.trial_at = now + self.trial_wait(now, rule, rng);
                    self.chance(now, rule, rng);
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
    fn usual(&mut self, failed: f64) {
        if self.outage.health == Health::Healthy {
            self.outage.lost =
                (self.outage.lost + USUAL_SAMPLE * (failed - self.outage.lost)).min(USUAL_MOST);
        }
    }

    /// A trial whose message was over told nothing of the place, and cost it nothing: the next goes at once.
    pub(super) fn try_again(&mut self, now: Seconds) {
        if matches!(self.outage.health, Health::Suspect | Health::Shut) {
            (self.outage.trial_at, self.outage.trials) = (now, self.outage.trials.saturating_sub(1));
        }
    }
}

impl Dispatcher {
    /// An outage that was seen outlasts the process: what holds much for it may not give it all at once.
    pub(super) fn remember(&mut self, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let cold = |lane: &Lane| matches!(lane.outage.health, Health::Shut | Health::Returning(_));
        let mut routes = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let out = if destination.apart { routes.any(|e| cold(&e.lane)) } else { cold(&destination.lane) };
        if out != destination.remembered {
            destination.remembered = out;
            self.decided.push(Action::RecordOutage { destination: number, ongoing: out });
        }
    }

    /// What was out when an earlier life ended is tried first and returns cold. Harm: one long back waits.
    pub(super) fn recall(&mut self, now: Seconds, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        if destination.endpoints.is_empty() || !self.recalled.remove(&number) {
            return;
        }
        destination.remembered = true;
        self.limited_lanes(number, |lane| lane.unproven(now));
    }

    /// What operators had out is tried first, and returns cold. Others there that served meanwhile go on.
    pub(super) fn restarted(&mut self, now: Seconds, id: EndpointId) {
        self.endpoints.entry(id).and_modify(|e| e.lane.unproven(now));
        let Some(number) = self.endpoints.get(&id).map(|e| e.destination) else { return };
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        if !destination.apart && destination.endpoints.len() == 1 {
            destination.lane.unproven(now);
        }
        self.remember(number);
    }

    /// A call unanswered for far longer than usual, with nothing served since, makes its lane suspect.
    /// What an own stall kept from coming is no silence. Harm: a slow call delays others.
    pub(super) fn suspect_silence(&mut self, now: Seconds) {
        if now < self.silent_at {
            return;
        }
        self.silent_at = f64::INFINITY;
        for call in self.calls.values_mut() {
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { continue };
            let since = call.sent_at.max(self.stalled_at);
            let due = since + (TIMEOUT_MEANS * destination.lane.service.latency(now)).max(TIMEOUT_LEAST);
            if call.risky && !call.overdue && now >= due {
                // It is waited for, but others need not wait for it. Guards a place that is back against
                // staying shut for as long as those messages live. Harm: slots, within the share.
                call.overdue = true;
                endpoint.lane.overdue += 1;
                destination.lane.overdue += 1;
            } else if call.risky && !call.overdue {
                self.silent_at = self.silent_at.min(due);
            }
            for lane in [&mut endpoint.lane, &mut destination.lane] {
                let at = since + (SILENT_MEANS * lane.service.latency(now)).max(SILENT_LEAST);
                let own = &mut lane.outage;
                let silent = own.health == Health::Healthy && own.served_at < call.sent_at;
                if silent && now >= at {
                    (own.health, own.trial_at, own.trials) = (Health::Suspect, now + TRIAL, 0);
                } else if silent {
                    self.silent_at = self.silent_at.min(at);
                }
            }
        }
    }
}
