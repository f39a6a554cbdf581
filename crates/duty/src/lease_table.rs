//! The replicated table of leases: which member holds which duty.
//!
//! Every member applies the same entries in the same order. Each change of holder gets a new epoch, larger than all
//! epochs before it over all duties, so that an entry decided on outdated state is recognised and ignored.

use crate::{MemberId, SafetyRules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Limit on duties in the table. A request for one more is ignored, and every dispatcher does that work on its own.
pub const MAX_DUTIES: usize = 512;

/// Limit on recorded requesters of one duty, as all of them are part of each snapshot. Further members still defer to
/// the holder, and are recorded once others withdraw.
pub const MAX_REQUESTERS: usize = 64;

/// Identifies a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DutyId {
    /// Maintains the log: has it compacted, and publishes a numbered round at a fixed interval.
    LogMaintenance,
    /// Polls the discovery service while that does not answer.
    DiscoveryPolling,
    /// Sends trial calls to an unavailable destination.
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

/// What a holder publishes to all members under its epoch. The variant names appear in log lines and in the status
/// output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HolderUpdate {
    /// A trial failed: the destination is still unavailable.
    Out,
    /// The destination has served a call.
    Served,
    /// Discovery has delivered the list with this sequence number; 0 if the holder is still polling.
    List(u64),
    /// Number of a log maintenance round.
    Round(u64),
    /// The log is to be compacted up to this entry.
    Cut,
}

/// One entry of the replicated log. Serialised by position, so the order of variants and fields is part of the
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A member requests a duty.
    Request {
        /// The requested duty.
        duty: DutyId,
        /// The requesting member.
        member: MemberId,
    },
    /// A member withdraws its request.
    Withdraw {
        /// The requested duty.
        duty: DutyId,
        /// The member that had requested it.
        member: MemberId,
    },
    /// The leader grants a duty to a member, or revokes it.
    Grant {
        /// The granted duty.
        duty: DutyId,
        /// The duty's epoch when the leader decided. If it has changed since, the grant is outdated and ignored.
        expected_epoch: u64,
        /// The new holder; `None` if no member is eligible.
        holder: Option<MemberId>,
    },
    /// The holder releases a duty and no longer acts on it.
    Release {
        /// The released duty.
        duty: DutyId,
        /// The epoch under which it was held.
        epoch: u64,
    },
    /// The holder publishes an update.
    Update {
        /// The duty that the update is about.
        duty: DutyId,
        /// The epoch under which the holder acted.
        epoch: u64,
        /// The content of the update.
        update: HolderUpdate,
    },
}

/// State of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Epoch of the last grant or release; 0 if it was never granted. Epochs grow over all duties together.
    pub epoch: u64,
    /// The current holder, if any.
    pub holder: Option<MemberId>,
    /// Members that have requested the duty.
    pub requested_by: BTreeSet<MemberId>,
    /// The last update published under this epoch.
    pub latest_update: Option<HolderUpdate>,
}

/// The effect of applying one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// No change that a member has to react to.
    NoChange,
    /// The duty has a new holder, or none, under this new epoch.
    Granted(DutyId, u64, Option<MemberId>),
    /// The holder published an update under this epoch.
    Updated(DutyId, u64, HolderUpdate),
    /// An update was rejected: the epoch it carried, and the duty's current epoch (the table's last one if the duty has
    /// no lease).
    Rejected(DutyId, u64, u64),
}

/// The leases on all duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The epoch of the last change of holder, over all duties.
    last_epoch: u64,
    leases: BTreeMap<DutyId, Lease>,
}

impl LeaseTable {
    /// The lease on a duty, if the table has one.
    pub fn get(&self, duty: DutyId) -> Option<&Lease> {
        self.leases.get(&duty)
    }

    /// All leases.
    pub fn iter(&self) -> impl Iterator<Item = (DutyId, &Lease)> {
        self.leases.iter().map(|(duty, lease)| (*duty, lease))
    }

    /// The duties that the table assigns to a member, with their epochs.
    pub fn held_by(&self, member: MemberId) -> impl Iterator<Item = (DutyId, u64)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.holder == Some(member))
            .map(|(duty, lease)| (*duty, lease.epoch))
    }

    /// Drops the requests of a member that was removed. What it holds is granted to others once its lease term has
    /// expired.
    pub fn remove_member(&mut self, member: MemberId) {
        self.leases.values_mut().for_each(|lease| {
            lease.requested_by.remove(&member);
        });
        self.remove_unused();
    }

    /// Removes leases that nobody has requested and nobody holds. A holder has to release its lease, or let it
    /// expire, before the lease can be removed.
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

    /// Applies one log entry, with the same effect on every member.
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
        // Nothing of a removed member remains in the table.
        (1..=MAX_REQUESTERS as MemberId).for_each(|member| table.remove_member(member));
        assert!(table.get(DutyId::LogMaintenance).is_none());
        for number in 0..MAX_DUTIES as u32 + 5 {
            table.apply(&Entry::Request { duty: DutyId::Trials(number), member: 1 }, SafetyRules::default());
        }
        assert_eq!(table.iter().count(), MAX_DUTIES);
    }
}
