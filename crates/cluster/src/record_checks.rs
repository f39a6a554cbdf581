//! Detection of state directories that were restored from an older copy. Each member remembers what the others have
//! acknowledged and compares it with their hellos. A voter takes no part in Raft until a majority has verified its own
//! hello this way: with an older copy it might vote a second time in a term, or miss entries that it has acknowledged.

use crate::MemberId;
use crate::config::MAX_MEMBERS;
use crate::identity::{AcknowledgedState, LogPosition};
use crate::members::Members;
use crate::wire::Rejection;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of member ids whose acknowledgements are remembered.
const MAX_REMEMBERED: usize = 4 * MAX_MEMBERS;

/// What others have acknowledged to this member, and which of them have verified this member's own state.
#[derive(Debug, Default)]
pub struct RecordChecks {
    /// What others have acknowledged.
    acknowledged: BTreeMap<MemberId, AcknowledgedState>,
    /// Members that have verified this member's hello. Empty once a majority has.
    verified_by: BTreeSet<MemberId>,
    is_participating: bool,
}

impl RecordChecks {
    /// Compares the position in a member's hello with what that member has acknowledged here.
    ///
    /// # Errors
    /// [`Rejection::OlderCopy`] if its state directory is an older copy.
    pub fn verify_hello(
        &mut self, id: MemberId, start_count: u64, position: &LogPosition, members: &Members,
    ) -> Result<(), Rejection> {
        let state = self.acknowledged.entry(id).or_default();
        if state.is_ahead_of(start_count, position) {
            return Err(Rejection::OlderCopy);
        }
        state.start_count = start_count;
        // The last entries may come from a former leader and be overwritten, so the hello's last index is not recorded.
        // What the member has acknowledged within a term remains recorded.
        state.position.advance(position.term, position.voted, 0);
        while self.acknowledged.len() > MAX_REMEMBERED {
            let non_member = self
                .acknowledged
                .keys()
                .find(|other| **other != id && !members.0.contains_key(other))
                .copied();
            let Some(non_member) = non_member else { break };
            self.acknowledged.remove(&non_member);
        }
        Ok(())
    }

    /// Records that a member has acknowledged to have persisted this term, vote and index.
    pub fn record_acknowledgement(&mut self, id: MemberId, (term, voted, last): (u64, bool, u64)) {
        if let Some(state) = self.acknowledged.get_mut(&id) {
            state.position.advance(term, voted, last);
        }
    }

    /// Another member communicates with this one, so it has verified this member's hello.
    pub fn record_verified_by(&mut self, id: MemberId) {
        if !self.is_participating {
            self.verified_by.insert(id);
        }
    }

    /// Updates and returns whether this member takes part in Raft: it is not a voter, or a majority of the voters,
    /// itself included, has verified its hello. Once reached, the state stays.
    pub fn update_participation(&mut self, own_id: MemberId, members: &Members) -> bool {
        if !self.is_participating {
            let voters: BTreeSet<MemberId> = members.voters().collect();
            let verified = voters.iter().filter(|id| **id == own_id || self.verified_by.contains(id)).count();
            self.is_participating = !voters.contains(&own_id) || 2 * verified > voters.len();
        }
        if self.is_participating {
            self.verified_by.clear();
        }
        self.is_participating
    }

    /// The result of the last [`RecordChecks::update_participation`].
    pub fn is_participating(&self) -> bool {
        self.is_participating
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::members::Change;

    #[test]
    fn a_voter_participates_once_a_majority_has_verified_its_hello() {
        let mut members = Members::default();
        for id in 1..=5 {
            members.apply(&Change::Join { id, name: format!("n{id}") });
            members.apply(&Change::Promote(id));
        }
        members.apply(&Change::Join { id: 9, name: "o".into() });
        let mut checks = RecordChecks::default();
        assert!(
            RecordChecks::default().update_participation(9, &members)
                && RecordChecks::default().update_participation(77, &members)
        );
        checks.record_verified_by(9);
        checks.record_verified_by(2);
        checks.record_verified_by(2);
        assert!(!checks.update_participation(1, &members));
        checks.record_verified_by(3);
        assert!(checks.update_participation(1, &members) && checks.is_participating());
        // Half is not a majority.
        members.apply(&Change::Remove(5));
        let mut half = RecordChecks::default();
        half.record_verified_by(2);
        assert!(!half.update_participation(1, &members));
    }

    #[test]
    fn acknowledgements_are_remembered_up_to_the_limit() {
        let (mut checks, members) = (RecordChecks::default(), Members::default());
        let position = LogPosition { term: 3, voted: false, last_index: 5 };
        assert_eq!(checks.verify_hello(1, 1, &position, &members), Ok(()));
        checks.record_acknowledgement(1, (3, true, 7));
        assert_eq!(checks.verify_hello(1, 2, &position, &members), Err(Rejection::OlderCopy));
        for id in 2..5000 {
            assert_eq!(checks.verify_hello(id, 1, &position, &members), Ok(()));
            checks.record_acknowledgement(id + 10_000, (1, true, 1));
        }
        assert!(checks.acknowledged.len() <= MAX_REMEMBERED);
    }
}
