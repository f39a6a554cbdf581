//! The replicated member list, and the next membership change that a leader has to propose.

use crate::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A learner that lags behind by at most this many entries has caught up.
const MAX_CAUGHT_UP_LAG: u64 = 64;

/// Whether a learner may become a voter: it is active, has the log and lags only a few entries behind the commit index.
/// A learner that has acknowledged nothing has no log yet, however short the log is.
pub fn caught_up(active: bool, acknowledged: u64, committed: u64) -> bool {
    active && acknowledged > 0 && acknowledged + MAX_CAUGHT_UP_LAG >= committed
}

/// A committed member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// One membership change, as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The member becomes a learner.
    Join {
        /// Its id.
        id: MemberId,
        /// Its name.
        name: String,
    },
    /// The learner becomes a voter.
    Promote(MemberId),
    /// The member leaves the fleet.
    Remove(MemberId),
}

/// All members by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<MemberId, Member>);

/// The information by which a leader chooses the next membership change.
pub struct ChangeContext<'a> {
    /// The names of those that have requested to join, by id.
    pub join_requests: &'a BTreeMap<MemberId, String>,
    /// Looks up a name in the fleet's configuration: whether it is a voter, or nothing if it is unknown.
    pub configured_voter: &'a dyn Fn(&str) -> Option<bool>,
    /// Whether every lease that a member may have had has expired.
    pub lease_expired: &'a dyn Fn(MemberId) -> bool,
    /// Whether a member is active and close to the end of the log.
    pub caught_up: &'a dyn Fn(MemberId) -> bool,
    /// Maximum number of members.
    pub max_members: usize,
}

impl Members {
    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    /// The members that do not vote.
    pub fn learners(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| !member.voter).map(|(id, _)| *id)
    }

    /// The member of this name.
    pub fn by_name(&self, name: &str) -> Option<MemberId> {
        self.0.iter().find(|(_, member)| member.name == name).map(|(id, _)| *id)
    }

    /// Applies a committed change. A change that is obsolete has no effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Join { id, name } => {
                self.0.entry(*id).or_insert(Member { name: name.clone(), voter: false });
            }
            Change::Promote(id) => drop(self.0.entry(*id).and_modify(|member| member.voter = true)),
            Change::Remove(id) => drop(self.0.remove(id)),
        }
    }

    /// The next change to propose; changes are made one at a time. A new incarnation of a name waits until the lease of
    /// the previous one has expired; that one is removed, and the new one joins as a learner.
    pub fn next_change(&self, context: &ChangeContext) -> Option<Change> {
        for (id, name) in context.join_requests.iter().filter(|(id, _)| !self.0.contains_key(id)) {
            if (context.configured_voter)(name).is_none() {
                continue;
            }
            match self.by_name(name) {
                // Two processes that run under one name are an operator's mistake: the first one stays.
                Some(previous) if !(context.lease_expired)(previous) => {}
                Some(previous) => return Some(Change::Remove(previous)),
                None if self.0.len() < context.max_members => {
                    return Some(Change::Join { id: *id, name: name.clone() });
                }
                None => {}
            }
        }
        let may_vote = |id: &MemberId| {
            self.0.get(id).is_some_and(|member| (context.configured_voter)(&member.name) == Some(true))
        };
        self.learners().find(|id| may_vote(id) && (context.caught_up)(*id)).map(Change::Promote)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn next_change(
        members: &Members, join_requests: &[(MemberId, &str)], expired: &[MemberId], caught_up: &[MemberId],
    ) -> Option<Change> {
        let join_requests = join_requests.iter().map(|(id, name)| (*id, name.to_string())).collect();
        members.next_change(&ChangeContext {
            join_requests: &join_requests,
            configured_voter: &|name| ["a", "b", "c", "o"].contains(&name).then(|| name != "o"),
            lease_expired: &|id| expired.contains(&id),
            caught_up: &|id| caught_up.contains(&id),
            max_members: 3,
        })
    }

    #[test]
    fn a_learner_without_a_log_has_not_caught_up() {
        assert!(caught_up(true, 1, 10) && caught_up(true, 936, 1000));
        assert!(!caught_up(true, 0, 10) && !caught_up(true, 935, 1000) && !caught_up(false, 1000, 1000));
    }

    #[test]
    fn a_member_joins_is_promoted_and_is_replaced_by_a_new_incarnation() {
        let mut members = Members::default();
        let mut apply = |change: Change| {
            members.apply(&change);
            members.clone()
        };
        let one = apply(Change::Join { id: 1, name: "a".into() });
        assert_eq!(next_change(&one, &[], &[], &[]), None);
        assert_eq!(next_change(&one, &[], &[], &[1]), Some(Change::Promote(1)));
        let one = apply(Change::Promote(1));
        assert_eq!(next_change(&one, &[(9, "stranger")], &[], &[]), None);
        let join = Change::Join { id: 7, name: "o".into() };
        assert_eq!(next_change(&one, &[(7, "o")], &[], &[]), Some(join.clone()));
        // A learner that is not configured as a voter is never promoted.
        let two = apply(join);
        assert_eq!(next_change(&two, &[], &[], &[7]), None);
        // The previous incarnation is removed once its lease has expired; only then does the new one join.
        assert_eq!(next_change(&two, &[(8, "o")], &[], &[]), None);
        assert_eq!(next_change(&two, &[(8, "o")], &[7], &[]), Some(Change::Remove(7)));
        let one = apply(Change::Remove(7));
        assert_eq!(next_change(&one, &[(8, "o")], &[], &[]), Some(Change::Join { id: 8, name: "o".into() }));
        apply(Change::Join { id: 8, name: "o".into() });
        let full = apply(Change::Join { id: 2, name: "b".into() });
        assert_eq!(next_change(&full, &[(3, "c")], &[], &[]), None);
    }
}
