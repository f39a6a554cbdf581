//! Who holds what, as agreed in the log.

use crate::{MemberId, SafetyRules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Duties at most; one more is not agreed, and each dispatcher does it alone.
pub const MAX_DUTIES: usize = 512;

/// Members of whom it is agreed that they have use for one duty. More hold back all the same; they get it once others do not
/// want it any more. All of them go into each snapshot.
pub const MAX_REQUESTERS: usize = 64;

/// What there is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DutyId {
    /// Looks after the log: has it cut, and writes a round so often.
    LogMaintenance,
    /// Asks discovery while that does not answer.
    DiscoveryPolling,
    /// Tries a destination that is out.
    Trials(u32),
}

impl fmt::Display for DutyId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DutyId::LogMaintenance => write!(f, "keeper"),
            DutyId::DiscoveryPolling => write!(f, "lists"),
            DutyId::Trials(destination) => write!(f, "tries/{destination}"),
        }
    }
}

/// What a holder tells all members, under its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HolderUpdate {
    /// It tried, and the place is out yet.
    Out,
    /// The place has served a call.
    Served,
    /// Discovery has told a list of this sequence.
    List(u64),
    /// The keeper's round of this number.
    Round(u64),
    /// The log is to be cut here.
    Cut,
}

/// One entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A member has use for a duty.
    Request {
        /// Which.
        duty: DutyId,
        /// Who.
        member: MemberId,
    },
    /// A member has no use for it any more.
    Withdraw {
        /// Which.
        duty: DutyId,
        /// Who.
        member: MemberId,
    },
    /// The granter gives it, taking it off the holder under an epoch.
    Grant {
        /// Which.
        duty: DutyId,
        /// The duty's epoch when that was decided; another one means that it was decided on what is no longer so.
        expected_epoch: u64,
        /// To whom; to nobody where nobody may hold it.
        holder: Option<MemberId>,
    },
    /// The holder gives it up and acts no more.
    Release {
        /// Which.
        duty: DutyId,
        /// Its epoch.
        epoch: u64,
    },
    /// The holder tells something.
    Update {
        /// Which.
        duty: DutyId,
        /// Its epoch.
        epoch: u64,
        /// What.
        update: HolderUpdate,
    },
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Grows with each change of holder, over all duties together.
    pub epoch: u64,
    /// Who holds it, where somebody does.
    pub holder: Option<MemberId>,
    /// Who has use for it.
    pub requested_by: BTreeSet<MemberId>,
    /// The last word under this epoch.
    pub latest_update: Option<HolderUpdate>,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// Nothing that anybody has to act on.
    NoChange,
    /// The duty has this holder from here on, under a new epoch.
    Granted(DutyId, u64, Option<MemberId>),
    /// Its holder has told something.
    Updated(DutyId, u64, HolderUpdate),
    /// A word under this epoch came too late; the duty's own is the second one.
    Rejected(DutyId, u64, u64),
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The last epoch that was given.
    last_epoch: u64,
    leases: BTreeMap<DutyId, Lease>,
}

impl LeaseTable {
    /// A duty, where there is one of this name.
    pub fn get(&self, duty: DutyId) -> Option<&Lease> {
        self.leases.get(&duty)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (DutyId, &Lease)> {
        self.leases.iter().map(|(duty, lease)| (*duty, lease))
    }

    /// Those that a member holds, as agreed, with their epochs.
    pub fn held_by(&self, member: MemberId) -> impl Iterator<Item = (DutyId, u64)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.holder == Some(member))
            .map(|(duty, lease)| (*duty, lease.epoch))
    }

    /// A member that is no more wants nothing. What it held is given on once its term has passed.
    pub fn remove_member(&mut self, member: MemberId) {
        self.leases.values_mut().for_each(|lease| {
            lease.requested_by.remove(&member);
        });
        self.remove_unused();
    }

    /// A duty that nobody wants is gone; a holder that is there has to give it up first, by its word or its term.
    fn remove_unused(&mut self) {
        self.leases.retain(|_, lease| lease.holder.is_some() || !lease.requested_by.is_empty());
    }

    fn grant(&mut self, duty: DutyId, holder: Option<MemberId>) -> ApplyResult {
        let Some(lease) = self.leases.get_mut(&duty) else { return ApplyResult::NoChange };
        self.last_epoch += 1;
        (lease.epoch, lease.holder, lease.latest_update) = (self.last_epoch, holder, None);
        let result = ApplyResult::Granted(duty, self.last_epoch, holder);
        self.remove_unused();
        result
    }

    /// Carries out one entry, on every member alike.
    pub fn apply(&mut self, entry: &Entry, rules: SafetyRules) -> ApplyResult {
        match *entry {
            Entry::Request { duty, member } => {
                if self.leases.len() < MAX_DUTIES || self.leases.contains_key(&duty) {
                    let requested_by = &mut self.leases.entry(duty).or_default().requested_by;
                    if requested_by.len() < MAX_REQUESTERS {
                        requested_by.insert(member);
                    }
                }
                ApplyResult::NoChange
            }
            Entry::Withdraw { duty, member } => {
                if let Some(lease) = self.leases.get_mut(&duty) {
                    lease.requested_by.remove(&member);
                }
                self.remove_unused();
                ApplyResult::NoChange
            }
            Entry::Grant { duty, expected_epoch, holder } => match self.leases.get(&duty) {
                Some(lease) if lease.epoch == expected_epoch => self.grant(duty, holder),
                _ => ApplyResult::NoChange,
            },
            Entry::Release { duty, epoch } => match self.leases.get(&duty) {
                Some(lease) if lease.epoch == epoch && lease.holder.is_some() => self.grant(duty, None),
                _ => ApplyResult::NoChange,
            },
            Entry::Update { duty, epoch, update } => match self.leases.get_mut(&duty) {
                Some(lease) if lease.epoch == epoch || !rules.reject_stale_epochs => {
                    lease.latest_update = Some(update);
                    ApplyResult::Updated(duty, epoch, update)
                }
                Some(lease) => ApplyResult::Rejected(duty, epoch, lease.epoch),
                None => ApplyResult::Rejected(duty, epoch, self.last_epoch),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply_all(entries: &[Entry]) -> (LeaseTable, Vec<ApplyResult>) {
        let mut table = LeaseTable::default();
        let results = entries.iter().map(|entry| table.apply(entry, SafetyRules::default())).collect();
        (table, results)
    }

    const TRIALS: DutyId = DutyId::Trials(7);

    #[test]
    fn epochs_keep_growing_after_a_lease_was_removed() {
        let (table, results) = apply_all(&[
            Entry::Request { duty: TRIALS, member: 1 },
            Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(1) },
            Entry::Withdraw { duty: TRIALS, member: 1 },
            Entry::Release { duty: TRIALS, epoch: 1 },
            Entry::Request { duty: TRIALS, member: 2 },
            Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(2) },
        ]);
        assert_eq!(results[1], ApplyResult::Granted(TRIALS, 1, Some(1)));
        assert_eq!(results[3], ApplyResult::Granted(TRIALS, 2, None));
        assert_eq!(results[5], ApplyResult::Granted(TRIALS, 3, Some(2)));
        assert_eq!(table.held_by(2).collect::<Vec<_>>(), [(TRIALS, 3)]);
    }

    #[test]
    fn entries_under_a_stale_epoch_change_nothing() {
        let (table, results) = apply_all(&[
            Entry::Request { duty: TRIALS, member: 1 },
            Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(1) },
            Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(2) },
            Entry::Release { duty: TRIALS, epoch: 9 },
            Entry::Update { duty: TRIALS, epoch: 1, update: HolderUpdate::Out },
            Entry::Grant { duty: TRIALS, expected_epoch: 1, holder: Some(2) },
            Entry::Update { duty: TRIALS, epoch: 1, update: HolderUpdate::Served },
            Entry::Update { duty: DutyId::LogMaintenance, epoch: 1, update: HolderUpdate::Cut },
        ]);
        assert_eq!((results[2], results[3]), (ApplyResult::NoChange, ApplyResult::NoChange));
        assert_eq!(results[4], ApplyResult::Updated(TRIALS, 1, HolderUpdate::Out));
        assert_eq!(
            (results[6], results[7]),
            (ApplyResult::Rejected(TRIALS, 1, 2), ApplyResult::Rejected(DutyId::LogMaintenance, 1, 2))
        );
        assert_eq!(table.get(TRIALS).and_then(|lease| lease.latest_update), None);
    }

    #[test]
    fn a_lease_without_requests_stays_while_it_has_a_holder() {
        let (mut table, _) = apply_all(&[
            Entry::Request { duty: TRIALS, member: 1 },
            Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(1) },
            Entry::Withdraw { duty: TRIALS, member: 1 },
        ]);
        assert!(table.get(TRIALS).is_some());
        table.apply(&Entry::Grant { duty: TRIALS, expected_epoch: 1, holder: None }, SafetyRules::default());
        assert!(table.get(TRIALS).is_none());
        let requests = (1..=MAX_REQUESTERS as MemberId + 9)
            .map(|member| Entry::Request { duty: DutyId::LogMaintenance, member });
        for entry in requests {
            table.apply(&entry, SafetyRules::default());
        }
        assert_eq!(
            table.get(DutyId::LogMaintenance).map(|lease| lease.requested_by.len()),
            Some(MAX_REQUESTERS)
        );
        // Members that are gone leave nothing behind.
        (1..=MAX_REQUESTERS as MemberId).for_each(|member| table.remove_member(member));
        assert!(table.get(DutyId::LogMaintenance).is_none());
        for number in 0..MAX_DUTIES as u32 + 5 {
            table.apply(&Entry::Request { duty: DutyId::Trials(number), member: 1 }, SafetyRules::default());
        }
        assert_eq!(table.iter().count(), MAX_DUTIES);
    }
}
