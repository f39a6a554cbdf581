//! Who a member is. Its name alone is not enough: a folder that came back empty, or as an older copy, must never vote as
//! the one that it was.

use crate::MemberId;
use serde::{Deserialize, Serialize};

/// A member as it presents itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The dispatcher's name.
    pub name: String,
    /// Drawn at the first start in its folder.
    #[serde(rename = "birth")]
    pub id: MemberId,
    /// Starts in that folder, this one among them; on record before anything is said under it.
    #[serde(rename = "life")]
    pub start_count: u64,
}

/// How far a member's record goes, as far as others go by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The latest term.
    pub term: u64,
    /// Whether it has voted in that term.
    pub voted: bool,
    /// The last place of its log.
    pub last: u64,
}

impl LogPosition {
    /// Whether a record that goes as far as `self` has kept what `seen` was acknowledged by.
    pub fn keeps(&self, seen: &LogPosition) -> bool {
        match self.term.cmp(&seen.term) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => self.voted >= seen.voted && self.last >= seen.last,
            std::cmp::Ordering::Less => false,
        }
    }

    /// Takes note of what was acknowledged: within one term a record only grows.
    pub fn note(&mut self, term: u64, voted: bool, last: u64) {
        match term.cmp(&self.term) {
            std::cmp::Ordering::Greater => *self = LogPosition { term, voted, last },
            std::cmp::Ordering::Equal => {
                (self.voted, self.last) = (self.voted || voted, self.last.max(last));
            }
            std::cmp::Ordering::Less => {}
        }
    }
}

/// What is remembered of one birth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The latest life.
    pub life: u64,
    /// What it acknowledged.
    pub mark: LogPosition,
}

impl Seen {
    /// Whether a hello with this life and mark comes from an older copy of the folder.
    pub fn is_ahead_of(&self, life: u64, mark: &LogPosition) -> bool {
        life < self.life || !mark.keeps(&self.mark)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_older_copy_is_told_from_a_restart() {
        let mut seen = Seen { life: 3, mark: LogPosition::default() };
        seen.mark.note(4, false, 10);
        seen.mark.note(4, true, 8);
        seen.mark.note(3, true, 99);
        assert_eq!(seen.mark, LogPosition { term: 4, voted: true, last: 10 });
        let here = LogPosition { term: 4, voted: true, last: 10 };
        assert!(!seen.is_ahead_of(4, &here));
        assert!(!seen.is_ahead_of(3, &LogPosition { term: 5, voted: false, last: 2 }));
        for older in [
            LogPosition { voted: false, ..here },
            LogPosition { last: 9, ..here },
            LogPosition { term: 3, voted: true, last: 50 },
        ] {
            assert!(seen.is_ahead_of(4, &older), "{older:?}");
        }
        assert!(seen.is_ahead_of(2, &here));
    }
}
