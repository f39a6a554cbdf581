//! The identity of a member. A name alone is not enough: a member whose state directory was emptied, or restored from
//! an older copy, must not vote as the one that it was before.

use crate::MemberId;
use serde::{Deserialize, Serialize};

/// The identity of a member, as stored on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The dispatcher's name.
    pub name: String,
    /// Drawn at the first start in its state directory.
    #[serde(rename = "birth")]
    pub id: MemberId,
    /// Number of starts in that directory, this one included. Persisted before anything is sent under it.
    #[serde(rename = "life")]
    pub start_count: u64,
}

/// How far a member's persisted Raft state reaches, in the terms by which other members judge it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The latest term.
    pub term: u64,
    /// Whether it has voted in that term.
    pub voted: bool,
    /// The last index of its log.
    #[serde(rename = "last")]
    pub last_index: u64,
}

impl LogPosition {
    /// Whether a member at this position still has everything that it had at `acknowledged`.
    pub fn covers(&self, acknowledged: &LogPosition) -> bool {
        match self.term.cmp(&acknowledged.term) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                self.voted >= acknowledged.voted && self.last_index >= acknowledged.last_index
            }
            std::cmp::Ordering::Less => false,
        }
    }

    /// Advances to what was acknowledged: within one term the position only grows.
    pub fn advance(&mut self, term: u64, voted: bool, last_index: u64) {
        match term.cmp(&self.term) {
            std::cmp::Ordering::Greater => *self = LogPosition { term, voted, last_index },
            std::cmp::Ordering::Equal => {
                (self.voted, self.last_index) = (self.voted || voted, self.last_index.max(last_index));
            }
            std::cmp::Ordering::Less => {}
        }
    }
}

/// What one member has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedState {
    /// The latest start count in its hellos.
    pub start_count: u64,
    /// The position that it has acknowledged.
    pub position: LogPosition,
}

impl AcknowledgedState {
    /// Whether a hello with this start count and position comes from an older copy of the state directory.
    pub fn is_ahead_of(&self, start_count: u64, position: &LogPosition) -> bool {
        start_count < self.start_count || !position.covers(&self.position)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_older_copy_is_distinguished_from_a_restart() {
        let mut acknowledged = AcknowledgedState { start_count: 3, position: LogPosition::default() };
        acknowledged.position.advance(4, false, 10);
        acknowledged.position.advance(4, true, 8);
        acknowledged.position.advance(3, true, 99);
        assert_eq!(acknowledged.position, LogPosition { term: 4, voted: true, last_index: 10 });
        let current = LogPosition { term: 4, voted: true, last_index: 10 };
        assert!(!acknowledged.is_ahead_of(4, &current));
        assert!(!acknowledged.is_ahead_of(3, &LogPosition { term: 5, voted: false, last_index: 2 }));
        for older in [
            LogPosition { voted: false, ..current },
            LogPosition { last_index: 9, ..current },
            LogPosition { term: 3, voted: true, last_index: 50 },
        ] {
            assert!(acknowledged.is_ahead_of(4, &older), "{older:?}");
        }
        assert!(acknowledged.is_ahead_of(2, &current));
    }
}
