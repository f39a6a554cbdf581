//! Who is a member, as agreed in the log, and the one change that is due next.

use crate::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An observer that is so few entries behind has caught up.
const CAUGHT_UP: u64 = 64;

/// Whether an observer may vote: it is there, has the log, and is few entries behind what is agreed. One that has
/// acknowledged nothing yet has nothing, however short the log is.
pub fn caught_up(active: bool, acknowledged: u64, agreed: u64) -> bool {
    active && acknowledged > 0 && acknowledged + CAUGHT_UP >= agreed
}

/// A member as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// It votes; else it follows.
    pub voter: bool,
}

/// One change of members, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It follows the log from now on.
    Join {
        /// Its birth.
        id: MemberId,
        /// Its name.
        name: String,
    },
    /// It has caught up, and votes from now on.
    Promote(MemberId),
    /// It is no member any more.
    Remove(MemberId),
}

/// All members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<MemberId, Member>);

/// What a leader knows when it looks for the next change.
pub struct Known<'a> {
    /// Those that have asked to join, by birth: their names.
    pub asking: &'a BTreeMap<MemberId, String>,
    /// The fleet's file: whether a name is in it, and whether it is to vote.
    pub named: &'a dyn Fn(&str) -> Option<bool>,
    /// Whether all that a member was given has surely passed.
    pub lapsed: &'a dyn Fn(MemberId) -> bool,
    /// Whether a member has the log up to about its end, and is there.
    pub caught_up: &'a dyn Fn(MemberId) -> bool,
    /// Members at most.
    pub most: usize,
}

impl Members {
    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    /// The members that only follow.
    pub fn observers(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| !member.voter).map(|(id, _)| *id)
    }

    /// The member of this name.
    pub fn by_name(&self, name: &str) -> Option<MemberId> {
        self.0.iter().find(|(_, member)| member.name == name).map(|(id, _)| *id)
    }

    /// Carries out an agreed change; one that makes no sense any more changes nothing.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Join { id, name } => {
                self.0.entry(*id).or_insert(Member { name: name.clone(), voter: false });
            }
            Change::Promote(id) => drop(self.0.entry(*id).and_modify(|member| member.voter = true)),
            Change::Remove(id) => drop(self.0.remove(id)),
        }
    }

    /// The change that is due next: one at a time. A birth that follows an older one of its name waits until that one's
    /// term has surely passed; it takes its place as an observer first.
    pub fn next(&self, known: &Known) -> Option<Change> {
        for (id, name) in known.asking.iter().filter(|(id, _)| !self.0.contains_key(id)) {
            if (known.named)(name).is_none() {
                continue;
            }
            match self.by_name(name) {
                // Two that live under one name are a fault of operators: the first one stays.
                Some(old) if !(known.lapsed)(old) => {}
                Some(old) => return Some(Change::Remove(old)),
                None if self.0.len() < known.most => {
                    return Some(Change::Join { id: *id, name: name.clone() });
                }
                None => {}
            }
        }
        let ready =
            |id: &MemberId| self.0.get(id).is_some_and(|member| (known.named)(&member.name) == Some(true));
        self.observers().find(|id| ready(id) && (known.caught_up)(*id)).map(Change::Promote)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn next(
        members: &Members, asking: &[(MemberId, &str)], lapsed: &[MemberId], caught_up: &[MemberId],
    ) -> Option<Change> {
        let asking = asking.iter().map(|(id, name)| (*id, name.to_string())).collect();
        members.next(&Known {
            asking: &asking,
            named: &|name| ["a", "b", "c", "o"].contains(&name).then(|| name != "o"),
            lapsed: &|id| lapsed.contains(&id),
            caught_up: &|id| caught_up.contains(&id),
            most: 3,
        })
    }

    #[test]
    fn one_that_has_nothing_has_not_caught_up() {
        assert!(caught_up(true, 1, 10) && caught_up(true, 936, 1000));
        assert!(!caught_up(true, 0, 10) && !caught_up(true, 935, 1000) && !caught_up(false, 1000, 1000));
    }

    #[test]
    fn joining_following_voting_and_being_replaced() {
        let mut members = Members::default();
        let mut step = |change: Change| {
            members.apply(&change);
            members.clone()
        };
        let one = step(Change::Join { id: 1, name: "a".into() });
        assert_eq!(next(&one, &[], &[], &[]), None);
        assert_eq!(next(&one, &[], &[], &[1]), Some(Change::Promote(1)));
        let one = step(Change::Promote(1));
        assert_eq!(next(&one, &[(9, "stranger")], &[], &[]), None);
        let join = Change::Join { id: 7, name: "o".into() };
        assert_eq!(next(&one, &[(7, "o")], &[], &[]), Some(join.clone()));
        // An observer is never promoted that the file does not name as a voter.
        let two = step(join);
        assert_eq!(next(&two, &[], &[], &[7]), None);
        // The old birth goes once its term has passed, and only then the new one comes.
        assert_eq!(next(&two, &[(8, "o")], &[], &[]), None);
        assert_eq!(next(&two, &[(8, "o")], &[7], &[]), Some(Change::Remove(7)));
        let one = step(Change::Remove(7));
        assert_eq!(next(&one, &[(8, "o")], &[], &[]), Some(Change::Join { id: 8, name: "o".into() }));
        step(Change::Join { id: 8, name: "o".into() });
        let full = step(Change::Join { id: 2, name: "b".into() });
        assert_eq!(next(&full, &[(3, "c")], &[], &[]), None);
    }
}
