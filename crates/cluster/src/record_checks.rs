//! Who has looked at whose record. A voter whose folder may be an older copy says nothing until a majority has.

use crate::MemberId;
use crate::config::MAX_MEMBERS;
use crate::identity::{LogPosition, Seen};
use crate::members::Members;
use crate::wire::Rejection;
use std::collections::{BTreeMap, BTreeSet};

/// Births of which is remembered what they acknowledged.
const SEEN_MOST: usize = 4 * MAX_MEMBERS;

/// What this member knows of others' records, and whether enough know of its own.
#[derive(Debug, Default)]
pub struct RecordChecks {
    /// What others have acknowledged.
    seen: BTreeMap<MemberId, Seen>,
    /// Members that have looked at this one's hello and found nothing missing, until enough have.
    looked: BTreeSet<MemberId>,
    speaks: bool,
}

impl RecordChecks {
    /// Judges the record behind a hello by what its owner has acknowledged here.
    ///
    /// # Errors
    /// Where it is an older copy.
    pub fn judge(
        &mut self, id: MemberId, life: u64, mark: &LogPosition, members: &Members,
    ) -> Result<(), Rejection> {
        let seen = self.seen.entry(id).or_default();
        if seen.is_ahead_of(life, mark) {
            return Err(Rejection::OlderCopy);
        }
        seen.life = life;
        // Its last places may be a former leader's, and go; what it acknowledges in a term stays.
        seen.mark.note(mark.term, mark.voted, 0);
        while self.seen.len() > SEEN_MOST {
            let stranger =
                self.seen.keys().find(|other| **other != id && !members.0.contains_key(other)).copied();
            let Some(stranger) = stranger else { break };
            self.seen.remove(&stranger);
        }
        Ok(())
    }

    /// A member has said that this is on its record for good.
    pub fn acknowledged(&mut self, id: MemberId, (term, voted, last): (u64, bool, u64)) {
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.mark.note(term, voted, last);
        }
    }

    /// Another member speaks with this one: it has looked.
    pub fn looked_by(&mut self, id: MemberId) {
        if !self.speaks {
            self.looked.insert(id);
        }
    }

    /// Whether this member takes part in the library's protocol: it is no voter, or a majority has looked, itself among it.
    pub fn speaks(&mut self, me: MemberId, members: &Members) -> bool {
        if !self.speaks {
            let voters: BTreeSet<MemberId> = members.voters().collect();
            let looked = voters.iter().filter(|id| **id == me || self.looked.contains(id)).count();
            self.speaks = !voters.contains(&me) || 2 * looked > voters.len();
        }
        if self.speaks {
            self.looked.clear();
        }
        self.speaks
    }

    /// The same, as it was found last.
    pub fn spoke(&self) -> bool {
        self.speaks
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::members::Change;

    #[test]
    fn a_voter_speaks_once_a_majority_has_looked() {
        let mut members = Members::default();
        for id in 1..=5 {
            members.apply(&Change::Join { id, name: format!("n{id}") });
            members.apply(&Change::Promote(id));
        }
        members.apply(&Change::Join { id: 9, name: "o".into() });
        let mut looks = RecordChecks::default();
        assert!(RecordChecks::default().speaks(9, &members) && RecordChecks::default().speaks(77, &members));
        looks.looked_by(9);
        looks.looked_by(2);
        looks.looked_by(2);
        assert!(!looks.speaks(1, &members));
        looks.looked_by(3);
        assert!(looks.speaks(1, &members) && looks.spoke());
        // Half is no majority.
        members.apply(&Change::Remove(5));
        let mut half = RecordChecks::default();
        half.looked_by(2);
        assert!(!half.speaks(1, &members));
    }

    #[test]
    fn what_was_acknowledged_is_remembered_of_so_many() {
        let (mut looks, members) = (RecordChecks::default(), Members::default());
        let mark = LogPosition { term: 3, voted: false, last: 5 };
        assert_eq!(looks.judge(1, 1, &mark, &members), Ok(()));
        looks.acknowledged(1, (3, true, 7));
        assert_eq!(looks.judge(1, 2, &mark, &members), Err(Rejection::OlderCopy));
        for id in 2..5000 {
            assert_eq!(looks.judge(id, 1, &mark, &members), Ok(()));
            looks.acknowledged(id + 10_000, (1, true, 1));
        }
        assert!(looks.seen.len() <= SEEN_MOST);
    }
}
