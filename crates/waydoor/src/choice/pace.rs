//! The pace at a limit that many share.
//! Guards a told limit against all dispatchers together: each keeps to a part. Harm: unused parts lie idle.

use super::outage::TRIALS_OUT;
use super::*;

/// The pace grows by this share a second while nothing is refused.
pub(super) const PACE_GROWTH: f64 = 0.15;
/// The pace never falls below this share of the own part, so that a small sender keeps its place.
pub(super) const PACE_LEAST: f64 = 0.6;
/// Time over which one of many may gather calls to send at once.
const PACE_SPAN: f64 = 4.0;
/// One of many grows by this part of it for each call that it expects to make.
const PACE_CROWD_GROWTH: f64 = 0.2;
/// Calls that the pace lets through at once.
const PACE_BURST: f64 = 2.0;
/// An answer that tells what is left for all moves the pace by this, times how far it is from ...
const PACE_DRIFT: f64 = 0.1;
/// ... what is left on the mean where a limit is all but used.
const PACE_LEFT: f64 = 0.4;
/// A pace that is not used tells nothing: it is no more than this times what is sent, or the fair one.
const PACE_UNUSED: f64 = 1.5;
/// Time over which the own sending rate is measured.
const RATE_TIME: f64 = 3.0;
/// So few dispatchers fill no table with unused connections, and the rule's slack covers a call of each.
pub(super) const FEW: f64 = 6.0;

impl Pace {
    /// What the place takes from all, and the own part of it, calls a second.
    pub(super) fn whole(&self) -> f64 {
        self.capacity.unwrap_or(SMALL_CAPACITY)
    }

    pub(super) fn own(&self) -> f64 {
        self.part * self.whole()
    }

    /// Whether so many dispatchers share the place that rates meant for one do not add up.
    pub(super) fn crowded(&self) -> bool {
        self.even * FEW < 1.0
    }

    /// How much of a crowd all dispatchers are: 0 for a few, close to 1 for many.
    pub(super) fn crowd(&self) -> f64 {
        (1.0 - FEW * self.even).max(0.0)
    }

    /// The part taken of what all may do: an even one, or the own demand less that, which others leave.
    pub(super) fn divided(&self) -> f64 {
        self.even.max(self.part - self.even)
    }

    /// The pace before anything is learned: the own part, and the more above it the fewer they are.
    pub(super) fn fair(&self) -> f64 {
        let whole = self.capacity.filter(|_| self.limited && !self.uncounted).unwrap_or(f64::INFINITY);
        whole * self.divided() * (1.0 + FEW * self.even / self.crowd())
    }

    /// It grows while nothing is refused; one of many by the calls that may be expected to have told of it.
    pub(super) fn now(&self, now: Seconds) -> f64 {
        let told = |rate: f64| 1.0 - self.crowd() * (1.0 - PACE_CROWD_GROWTH * rate.min(1.0));
        let grown = |rate: f64, at| rate * (1.0 + PACE_GROWTH * told(rate)).powf(now - at);
        self.rate.map_or(self.fair(), |(rate, at)| grown(rate, at))
    }

    /// Heeds what the place tells of its limit: the pace is as good a share of the new one. Harm: a wrong
    /// report misleads until the next.
    pub(super) fn told(&mut self, now: Seconds, told: RateLimitReport) {
        self.uncounted = told.rate <= 0.0;
        if self.uncounted {
            return;
        }
        if let (Some(was), Some((pace, at))) = (self.capacity, self.rate) {
            self.rate = Some((pace * told.rate / was, at));
        }
        self.capacity = Some(told.rate);
        // What is left for all tells each of many what its own few calls can't.
        let pace = self.now(now);
        if let Some(left) = told.remaining_share.filter(|_| self.crowd() > 0.0 && pace.is_finite()) {
            let moved = pace * (self.crowd() * PACE_DRIFT * (left - PACE_LEFT)).exp();
            let used = self.fair().max(PACE_UNUSED * self.sent.now(now, RATE_TIME)).min(told.rate);
            self.rate = Some((moved.min(used).max(PACE_LEAST * self.even * told.rate), now));
        }
    }

    /// Calls at once: of many dispatchers, no more than their part of what a limit lets through in a while.
    pub(super) fn burst(&self, now: Seconds) -> f64 {
        (PACE_SPAN * self.now(now)).clamp(2.0 - self.crowd(), PACE_BURST)
    }

    /// Its turn at a place that is new here comes at random. Guards a small limit against the first calls of
    /// all.
    pub(super) fn phase(&mut self, now: Seconds, rng: &mut fastrand::Rng) {
        if self.crowd() > 0.0 && self.fair().is_finite() {
            self.due = now + self.crowd() * rng.f64() * self.burst(now) / self.fair();
        }
    }
}

impl Lane {
    /// A call that reached no process took no turn. Guards against spending half of a limit on connections
    /// that have been closed unseen. Harm: if the place counts it all the same, a refusal corrects the pace.
    pub(super) fn unbook(&mut self, now: Seconds, rule: &SlowStart) {
        let healthy = self.outage.health == Health::Healthy;
        self.pace.due -= if healthy { 1.0 / self.allowed(now, rule).0 } else { 0.0 };
    }

    /// The rate that is allowed now, and how many calls at once. While shut, the trials' own interval binds.
    fn allowed(&self, now: Seconds, rule: &SlowStart) -> (f64, f64) {
        match self.outage.health {
            Health::Returning(_) => (self.pace.now(now).min(self.ramp(now, rule).1), 1.0),
            _ => (self.pace.now(now), self.pace.burst(now)),
        }
    }

    pub(super) fn gate(&self, now: Seconds, rule: &SlowStart) -> Gate {
        let mut open_at = self.refusals.wait_until.max(self.refusals.pause_until);
        let (rate, burst) = self.allowed(now, rule);
        if rate.is_finite() {
            open_at = open_at.max(self.pace.due - (burst - 1.0) / rate);
        }
        if self.refusals.at_once(now).is_some_and(|calls| self.out as f64 >= calls) {
            open_at = f64::INFINITY;
        }
        let trial = matches!(self.outage.health, Health::Suspect | Health::Shut);
        if trial {
            let tries = self.out.saturating_sub(self.overdue);
            open_at = open_at.max(if tries < TRIALS_OUT { self.outage.trial_at } else { f64::INFINITY });
        }
        match (now < open_at, trial) {
            (true, _) => Gate::Closed(open_at),
            (false, true) => Gate::Trial,
            (false, false) => Gate::Open,
        }
    }

    /// Books a call or a probe that goes out.
    pub(super) fn book(&mut self, now: Seconds, rule: &SlowStart, rng: &mut fastrand::Rng) {
        let (rate, _) = self.allowed(now, rule);
        self.pace.due = self.pace.due.max(now) + 1.0 / rate;
        self.pace.sent.count(now, RATE_TIME);
        if matches!(self.outage.health, Health::Suspect | Health::Shut) {
            self.outage.trial_at = now + self.trial_wait(now, rule, rng);
            (self.outage.trials, self.outage.vouched) = (self.outage.trials + 1, false);
        }
    }
}

impl Dispatcher {
    /// What an earlier life left goes at the own part's pace at first. Guards a place that had told its limit
    /// or was cold against a clump of all that is held. Harm: what waited for the restart waits longer.
    pub(super) fn pace_backlog(&mut self, now: Seconds, number: DestinationId) {
        self.limited_lanes(number, |Lane { pace, .. }| {
            let own = pace.capacity.map(|capacity| (pace.part * capacity, now));
            pace.rate = pace.rate.or(own);
        });
    }
}
