//! Trials at an unavailable destination: the holder of the duty sends them, the other members defer theirs until it
//! reports recovery.
//!
//! Information from other members can only defer trials, for at most the maximum deferral at a time. A deferral that
//! is not renewed ends by itself, and the member sends its own trials as it would without a fleet.

use crate::Seconds;
use crate::lease_table::{DutyId, HolderUpdate};
use std::collections::BTreeMap;

/// Limit on coordinated destinations. Each further one is tried by every member independently.
const MAX_UNAVAILABLE: usize = 256;
/// Minimum interval between failure updates of a holder, as a share of the maximum deferral.
const UPDATE_INTERVAL_SHARE: f64 = 0.3;
/// Idle time after which a holder without messages to send releases the duty, as a share of the maximum deferral.
const IDLE_SHARE: f64 = 0.6;

/// Reports from the dispatcher about a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DestinationReport {
    /// The dispatcher considers it unavailable, or recovering and still cold.
    Unavailable(u32),
    /// The dispatcher considers it in service.
    InService(u32),
    /// A call to it has failed.
    CallFailed(u32),
    /// It has served a call.
    CallServed(u32),
}

/// What the dispatcher may send to an unavailable destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrialPermission {
    /// Another member sends the trials. Nothing may be sent until this time, or until the permission changes.
    Deferred(Seconds),
    /// This member sends the trials, under this epoch, until the end of its lease term.
    Holder(u64, Seconds),
    /// The member sends its own trials, as without a fleet.
    Unrestricted,
}

/// State of one destination that this member considers unavailable.
#[derive(Clone, Copy, Debug)]
struct UnavailableDestination {
    /// The last grant in the log: the epoch, and whether this member is the holder.
    grant: Option<(u64, bool)>,
    /// When another holder was last active: when it was granted the duty, or published an update.
    holder_seen_at: Seconds,
    /// Whether the holder has reported that the destination serves calls again.
    recovered: bool,
    /// For the holder: the last published update and its time.
    last_update: Option<(HolderUpdate, Seconds)>,
    /// When a call to the destination last ended, or the duty was granted.
    last_trial: Seconds,
    permission: TrialPermission,
}

/// The destinations that this member considers unavailable, and who sends trials to them.
#[derive(Clone, Debug)]
pub struct TrialCoordinator {
    max_deferral: Seconds,
    unavailable: BTreeMap<u32, UnavailableDestination>,
    /// Updates to publish: destination, epoch, content.
    updates: Vec<(u32, u64, HolderUpdate)>,
    /// Changed requests that have not been proposed yet: destination, and whether the duty is needed.
    request_changes: Vec<(u32, bool)>,
    /// Duties to release: destination, epoch.
    releases: Vec<(u32, u64)>,
}

impl TrialCoordinator {
    /// No destination is unavailable.
    pub fn new(max_deferral: Seconds) -> TrialCoordinator {
        TrialCoordinator {
            max_deferral,
            unavailable: BTreeMap::new(),
            updates: Vec::new(),
            request_changes: Vec::new(),
            releases: Vec::new(),
        }
    }

    /// Handles a report from the dispatcher.
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

    /// The duty had been granted before this member detected the outage.
    pub fn already_granted(&mut self, now: Seconds, destination: u32, epoch: u64, is_own: bool) {
        if self.unavailable.get(&destination).is_some_and(|state| state.grant.is_none()) {
            self.granted(now, destination, epoch, Some(is_own));
        }
    }

    /// The log has granted the duty: to this member (`Some(true)`), to another one, or to nobody.
    pub fn granted(&mut self, now: Seconds, destination: u32, epoch: u64, holder: Option<bool>) {
        let Some(state) = self.unavailable.get_mut(&destination) else { return };
        state.grant = holder.map(|is_own| (epoch, is_own));
        (state.holder_seen_at, state.recovered, state.last_update, state.last_trial) =
            (now, false, None, now);
    }

    /// The holder has published an update.
    pub fn holder_update(&mut self, now: Seconds, destination: u32, update: HolderUpdate) {
        let Some(state) = self.unavailable.get_mut(&destination) else { return };
        (state.holder_seen_at, state.recovered) = (now, update == HolderUpdate::Served);
    }

    /// Whether this member needs the duty now.
    pub fn is_needed(&self, destination: u32) -> bool {
        self.unavailable.contains_key(&destination)
    }

    /// The permissions that have changed. `term_end`: the end of this member's lease term.
    pub fn changed_permissions(&mut self, now: Seconds, term_end: Seconds) -> Vec<(u32, TrialPermission)> {
        let mut changed = Vec::new();
        for (destination, state) in &mut self.unavailable {
            let deferred_until = state.holder_seen_at + self.max_deferral;
            let permission = match state.grant {
                Some((epoch, true)) if now < term_end => TrialPermission::Holder(epoch, term_end),
                // This member's term has ended, so another one may be sending trials. It defers for as long as others
                // would.
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

    /// Releases the duty of destinations to which this member has sent no trial for a while, and withdraws its requests.
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

    /// Takes what is to be proposed: changed requests, updates, and releases.
    #[allow(clippy::type_complexity)]
    pub fn take_pending(&mut self) -> (Vec<(u32, bool)>, Vec<(u32, u64, HolderUpdate)>, Vec<(u32, u64)>) {
        (
            std::mem::take(&mut self.request_changes),
            std::mem::take(&mut self.updates),
            std::mem::take(&mut self.releases),
        )
    }

    /// The duty of a destination's trials.
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
        // It fails again: the next update defers trials again.
        trials.holder_update(14.0, 7, HolderUpdate::Out);
        assert_eq!(trials.changed_permissions(14.0, FOREVER), [(7, TrialPermission::Deferred(17.0))]);
        // No update came: the deferral ends by itself.
        assert_eq!(trials.changed_permissions(17.0, FOREVER), [(7, TrialPermission::Unrestricted)]);
        // A member that considers the destination in service ignores other holders' updates.
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
