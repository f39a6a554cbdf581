//! TrialCoordinator at a destination that is state: who holds them tries, the others hold theirs back until its word.
//!
//! What a member hears of others only takes state or holds back, for `hold_most` at a time. A bound that nobody renews ends
//! by itself, and the member tries as it would alone.

use crate::Seconds;
use crate::lease_table::{DutyId, HolderUpdate};
use std::collections::BTreeMap;

/// Destinations out at once that are looked after; each beyond is tried as alone.
const MAX_UNAVAILABLE: usize = 256;
/// A holder says at most so often that it tried, as a part of the time for which others hold back.
const UPDATE_INTERVAL_SHARE: f64 = 0.3;
/// A holder that has nothing to try with for so long gives the duty up, in the same unit.
const IDLE_SHARE: f64 = 0.6;

/// What the dispatcher tells of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DestinationReport {
    /// The decisions take it for state, or for just back and cold.
    Unavailable(u32),
    /// They take it for in service.
    InService(u32),
    /// A call there has failed.
    CallFailed(u32),
    /// A call there was served.
    CallServed(u32),
}

/// What binds the dispatcher's tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrialPermission {
    /// Another member tries; nothing goes there until then, or until the bound is lifted.
    Deferred(Seconds),
    /// This member tries, under this epoch, until its term ends.
    Holder(u64, Seconds),
    /// It tries as alone.
    Unrestricted,
}

/// One destination that is out for this member.
#[derive(Clone, Copy, Debug)]
struct UnavailableDestination {
    /// The duty as the log gave it last: its epoch, and whether it is this member's.
    grant: Option<(u64, bool)>,
    /// When the last sign of life of another holder came: its being given the duty, or its word.
    holder_seen_at: Seconds,
    /// The holder's word was that it is served again.
    recovered: bool,
    /// As a holder: the last word, and when it was told; when something was last tried.
    last_update: Option<(HolderUpdate, Seconds)>,
    last_trial: Seconds,
    permission: TrialPermission,
}

/// All destinations that are out for this member.
#[derive(Clone, Debug)]
pub struct TrialCoordinator {
    max_deferral: Seconds,
    unavailable: BTreeMap<u32, UnavailableDestination>,
    updates: Vec<(u32, u64, HolderUpdate)>,
    /// Destinations of which a duty is wanted or not, that the log has not been told of.
    request_changes: Vec<(u32, bool)>,
    releases: Vec<(u32, u64)>,
}

impl TrialCoordinator {
    /// None is state.
    pub fn new(max_deferral: Seconds) -> TrialCoordinator {
        TrialCoordinator {
            max_deferral,
            unavailable: BTreeMap::new(),
            updates: Vec::new(),
            request_changes: Vec::new(),
            releases: Vec::new(),
        }
    }

    /// The dispatcher tells something.
    pub fn handle_report(&mut self, now: Seconds, report: DestinationReport) {
        match report {
            DestinationReport::Unavailable(destination) => {
                if self.unavailable.len() >= MAX_UNAVAILABLE || self.unavailable.contains_key(&destination) {
                    return;
                }
                let state = UnavailableDestination {
                    grant: None,
                    holder_seen_at: now,
                    recovered: false,
                    last_update: None,
                    last_trial: now,
                    permission: TrialPermission::Unrestricted,
                };
                self.unavailable.insert(destination, state);
                self.request_changes.push((destination, true));
            }
            DestinationReport::InService(destination) => {
                let Some(state) = self.unavailable.remove(&destination) else { return };
                self.request_changes.push((destination, false));
                if let Some((epoch, true)) = state.grant {
                    self.updates.push((destination, epoch, HolderUpdate::Served));
                    self.releases.push((destination, epoch));
                }
            }
            DestinationReport::CallFailed(destination) | DestinationReport::CallServed(destination) => {
                let Some(state) = self.unavailable.get_mut(&destination) else { return };
                state.last_trial = now;
                let update = if matches!(report, DestinationReport::CallServed(_)) {
                    HolderUpdate::Served
                } else {
                    HolderUpdate::Out
                };
                let due = match state.last_update {
                    Some((previous, published_at)) => {
                        previous != update
                            || (update == HolderUpdate::Out
                                && now - published_at >= UPDATE_INTERVAL_SHARE * self.max_deferral)
                    }
                    None => true,
                };
                if let Some((epoch, true)) = state.grant.filter(|_| due) {
                    state.last_update = Some((update, now));
                    self.updates.push((destination, epoch, update));
                }
            }
        }
    }

    /// The duty was somebody's before this member found the place state.
    pub fn already_granted(&mut self, now: Seconds, destination: u32, epoch: u64, is_own: bool) {
        if self.unavailable.get(&destination).is_some_and(|state| state.grant.is_none()) {
            self.granted(now, destination, epoch, Some(is_own));
        }
    }

    /// The log has given the duty to somebody.
    pub fn granted(&mut self, now: Seconds, destination: u32, epoch: u64, holder: Option<bool>) {
        let Some(state) = self.unavailable.get_mut(&destination) else { return };
        state.grant = holder.map(|is_own| (epoch, is_own));
        (state.holder_seen_at, state.recovered, state.last_update, state.last_trial) =
            (now, false, None, now);
    }

    /// The holder has told something.
    pub fn holder_update(&mut self, now: Seconds, destination: u32, update: HolderUpdate) {
        let Some(state) = self.unavailable.get_mut(&destination) else { return };
        (state.holder_seen_at, state.recovered) = (now, update == HolderUpdate::Served);
    }

    /// Whether this member has use for the duty now.
    pub fn is_needed(&self, destination: u32) -> bool {
        self.unavailable.contains_key(&destination)
    }

    /// The bounds that have changed. `until`: the end of the member's own term.
    pub fn changed_permissions(&mut self, now: Seconds, term_end: Seconds) -> Vec<(u32, TrialPermission)> {
        let mut changed = Vec::new();
        for (destination, state) in &mut self.unavailable {
            let deferred_until = state.holder_seen_at + self.max_deferral;
            let permission = match state.grant {
                Some((epoch, true)) if now < term_end => TrialPermission::Holder(epoch, term_end),
                // Its term has ended: somebody else may be trying. For as long as others would hold back, it does.
                Some((_, true)) if term_end.is_finite() && now < term_end + self.max_deferral => {
                    TrialPermission::Deferred(term_end + self.max_deferral)
                }
                Some((_, false)) if !state.recovered && now < deferred_until => {
                    TrialPermission::Deferred(deferred_until)
                }
                _ => TrialPermission::Unrestricted,
            };
            if std::mem::replace(&mut state.permission, permission) != permission {
                changed.push((*destination, permission));
            }
        }
        changed
    }

    /// A holder with nothing to try with gives the duty up, and wants it no more until it has.
    pub fn release_idle(&mut self, now: Seconds) {
        for (destination, state) in &mut self.unavailable {
            if let Some((epoch, true)) = state.grant
                && now - state.last_trial > IDLE_SHARE * self.max_deferral
                && now - state.holder_seen_at > IDLE_SHARE * self.max_deferral
            {
                state.grant = None;
                self.request_changes.push((*destination, false));
                self.releases.push((*destination, epoch));
            }
        }
    }

    /// What the log is to be told: duties wanted or not, words, duties given up.
    #[allow(clippy::type_complexity)]
    pub fn take_pending(&mut self) -> (Vec<(u32, bool)>, Vec<(u32, u64, HolderUpdate)>, Vec<(u32, u64)>) {
        (
            std::mem::take(&mut self.request_changes),
            std::mem::take(&mut self.updates),
            std::mem::take(&mut self.releases),
        )
    }

    /// The name of a destination's duty.
    pub fn duty_id(destination: u32) -> DutyId {
        DutyId::Trials(destination)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FOREVER: Seconds = 1e9;

    #[test]
    fn others_defer_until_the_holder_reports_recovery_or_the_deferral_ends() {
        let mut trials = TrialCoordinator::new(3.0);
        trials.handle_report(10.0, DestinationReport::Unavailable(7));
        assert_eq!(trials.take_pending().0, [(7, true)]);
        assert!(trials.changed_permissions(10.0, FOREVER).is_empty());
        trials.granted(10.1, 7, 4, Some(false));
        assert_eq!(trials.changed_permissions(10.1, FOREVER), [(7, TrialPermission::Deferred(13.1))]);
        trials.holder_update(12.0, 7, HolderUpdate::Out);
        assert_eq!(trials.changed_permissions(12.0, FOREVER), [(7, TrialPermission::Deferred(15.0))]);
        trials.holder_update(13.0, 7, HolderUpdate::Served);
        assert_eq!(trials.changed_permissions(13.0, FOREVER), [(7, TrialPermission::Unrestricted)]);
        // It fails again: the next word holds back again.
        trials.holder_update(14.0, 7, HolderUpdate::Out);
        assert_eq!(trials.changed_permissions(14.0, FOREVER), [(7, TrialPermission::Deferred(17.0))]);
        // No word came: the bound ends by itself.
        assert_eq!(trials.changed_permissions(17.0, FOREVER), [(7, TrialPermission::Unrestricted)]);
        // What another holder does is no affair of one for which the place is well.
        trials.handle_report(18.0, DestinationReport::InService(7));
        trials.holder_update(18.1, 7, HolderUpdate::Out);
        assert!(trials.changed_permissions(18.1, FOREVER).is_empty());
    }

    #[test]
    fn a_member_that_detects_the_outage_later_defers_too() {
        let mut trials = TrialCoordinator::new(3.0);
        trials.granted(9.0, 7, 4, Some(false));
        trials.handle_report(10.0, DestinationReport::Unavailable(7));
        assert!(trials.changed_permissions(10.0, FOREVER).is_empty());
        trials.already_granted(10.0, 7, 4, false);
        assert_eq!(trials.changed_permissions(10.0, FOREVER), [(7, TrialPermission::Deferred(13.0))]);
    }

    #[test]
    fn a_holder_publishes_its_results_at_a_limited_rate() {
        let mut trials = TrialCoordinator::new(3.0);
        trials.handle_report(10.0, DestinationReport::Unavailable(7));
        trials.handle_report(10.0, DestinationReport::CallFailed(7));
        trials.granted(10.1, 7, 4, Some(true));
        assert_eq!(trials.changed_permissions(10.1, 12.0), [(7, TrialPermission::Holder(4, 12.0))]);
        assert!(trials.take_pending().1.is_empty());
        for at in [10.2, 10.3, 11.0, 11.2, 11.3] {
            trials.handle_report(at, DestinationReport::CallFailed(7));
        }
        trials.handle_report(11.4, DestinationReport::CallServed(7));
        trials.handle_report(11.5, DestinationReport::CallServed(7));
        assert_eq!(
            trials.take_pending().1,
            [(7, 4, HolderUpdate::Out), (7, 4, HolderUpdate::Out), (7, 4, HolderUpdate::Served)]
        );
        trials.handle_report(12.0, DestinationReport::InService(7));
        assert_eq!(
            trials.take_pending(),
            (vec![(7, false)], vec![(7, 4, HolderUpdate::Served)], vec![(7, 4)])
        );
    }

    #[test]
    fn a_holder_whose_term_ended_defers_and_is_unrestricted_afterwards() {
        let mut trials = TrialCoordinator::new(3.0);
        trials.handle_report(10.0, DestinationReport::Unavailable(7));
        trials.granted(10.1, 7, 4, Some(true));
        trials.changed_permissions(10.1, 12.0);
        assert_eq!(trials.changed_permissions(12.0, 12.0), [(7, TrialPermission::Deferred(15.0))]);
        assert_eq!(trials.changed_permissions(15.0, 12.0), [(7, TrialPermission::Unrestricted)]);
    }

    #[test]
    fn an_idle_holder_releases_the_duty() {
        let mut trials = TrialCoordinator::new(3.0);
        trials.handle_report(10.0, DestinationReport::Unavailable(7));
        trials.granted(10.0, 7, 4, Some(true));
        trials.take_pending();
        trials.release_idle(11.5);
        assert_eq!(trials.take_pending().2, []);
        trials.release_idle(12.0);
        assert_eq!(trials.take_pending(), (vec![(7, false)], vec![], vec![(7, 4)]));
    }
}
