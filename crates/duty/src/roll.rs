//! Who holds what, as agreed in the log.

use crate::{MemberId, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Duties at most; one more is not agreed, and each dispatcher does it alone.
pub const DUTIES_MOST: usize = 512;

/// Members of whom it is agreed that they have use for one duty. More hold back all the same; they get it once others do not
/// want it any more. All of them go into each snapshot.
pub const WANTED_MOST: usize = 64;

/// What there is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Name {
    /// Looks after the log: has it cut, and writes a round so often.
    Keeper,
    /// Asks discovery while that does not answer.
    Lists,
    /// Tries a destination that is out.
    Tries(u32),
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Name::Keeper => write!(f, "keeper"),
            Name::Lists => write!(f, "lists"),
            Name::Tries(destination) => write!(f, "tries/{destination}"),
        }
    }
}

/// What a holder tells all members, under its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
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
    Want {
        /// Which.
        name: Name,
        /// Who.
        by: MemberId,
    },
    /// A member has no use for it any more.
    Unwant {
        /// Which.
        name: Name,
        /// Who.
        by: MemberId,
    },
    /// The granter gives it, taking it off the holder under an epoch.
    Give {
        /// Which.
        name: Name,
        /// The duty's epoch when that was decided; another one means that it was decided on what is no longer so.
        was: u64,
        /// To whom; to nobody where nobody may hold it.
        to: Option<MemberId>,
    },
    /// The holder gives it up and acts no more.
    Release {
        /// Which.
        name: Name,
        /// Its epoch.
        epoch: u64,
    },
    /// The holder tells something.
    Tell {
        /// Which.
        name: Name,
        /// Its epoch.
        epoch: u64,
        /// What.
        word: Word,
    },
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Grows with each change of holder, over all duties together.
    pub epoch: u64,
    /// Who holds it, where somebody does.
    pub holder: Option<MemberId>,
    /// Who has use for it.
    pub wanted: BTreeSet<MemberId>,
    /// The last word under this epoch.
    pub word: Option<Word>,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// Nothing that anybody has to act on.
    Nothing,
    /// The duty has this holder from here on, under a new epoch.
    Given(Name, u64, Option<MemberId>),
    /// Its holder has told something.
    Told(Name, u64, Word),
    /// A word under this epoch came too late; the duty's own is the second one.
    Refused(Name, u64, u64),
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roll {
    /// The last epoch that was given.
    epoch: u64,
    duties: BTreeMap<Name, Duty>,
}

impl Roll {
    /// A duty, where there is one of this name.
    pub fn get(&self, name: Name) -> Option<&Duty> {
        self.duties.get(&name)
    }

    /// All of them.
    pub fn duties(&self) -> impl Iterator<Item = (Name, &Duty)> {
        self.duties.iter().map(|(name, duty)| (*name, duty))
    }

    /// Those that a member holds, as agreed, with their epochs.
    pub fn held(&self, by: MemberId) -> impl Iterator<Item = (Name, u64)> {
        self.duties.iter().filter(move |(_, d)| d.holder == Some(by)).map(|(name, d)| (*name, d.epoch))
    }

    /// A member that is no more wants nothing. What it held is given on once its term has passed.
    pub fn forget(&mut self, member: MemberId) {
        self.duties.values_mut().for_each(|duty| {
            duty.wanted.remove(&member);
        });
        self.tidy();
    }

    /// A duty that nobody wants is gone; a holder that is there has to give it up first, by its word or its term.
    fn tidy(&mut self) {
        self.duties.retain(|_, duty| duty.holder.is_some() || !duty.wanted.is_empty());
    }

    fn give(&mut self, name: Name, to: Option<MemberId>) -> Did {
        let Some(duty) = self.duties.get_mut(&name) else { return Did::Nothing };
        self.epoch += 1;
        (duty.epoch, duty.holder, duty.word) = (self.epoch, to, None);
        let did = Did::Given(name, self.epoch, to);
        self.tidy();
        did
    }

    /// Carries out one entry, on every member alike.
    pub fn apply(&mut self, entry: &Entry, rules: Rules) -> Did {
        match *entry {
            Entry::Want { name, by } => {
                if self.duties.len() < DUTIES_MOST || self.duties.contains_key(&name) {
                    let wanted = &mut self.duties.entry(name).or_default().wanted;
                    if wanted.len() < WANTED_MOST {
                        wanted.insert(by);
                    }
                }
                Did::Nothing
            }
            Entry::Unwant { name, by } => {
                if let Some(duty) = self.duties.get_mut(&name) {
                    duty.wanted.remove(&by);
                }
                self.tidy();
                Did::Nothing
            }
            Entry::Give { name, was, to } => match self.duties.get(&name) {
                Some(duty) if duty.epoch == was => self.give(name, to),
                _ => Did::Nothing,
            },
            Entry::Release { name, epoch } => match self.duties.get(&name) {
                Some(duty) if duty.epoch == epoch && duty.holder.is_some() => self.give(name, None),
                _ => Did::Nothing,
            },
            Entry::Tell { name, epoch, word } => match self.duties.get_mut(&name) {
                Some(duty) if duty.epoch == epoch || !rules.epochs => {
                    duty.word = Some(word);
                    Did::Told(name, epoch, word)
                }
                Some(duty) => Did::Refused(name, epoch, duty.epoch),
                None => Did::Refused(name, epoch, self.epoch),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(entries: &[Entry]) -> (Roll, Vec<Did>) {
        let mut roll = Roll::default();
        let did = entries.iter().map(|entry| roll.apply(entry, Rules::default())).collect();
        (roll, did)
    }

    const T: Name = Name::Tries(7);

    #[test]
    fn epochs_only_grow_also_over_a_duty_that_was_gone() {
        let (roll, did) = steps(&[
            Entry::Want { name: T, by: 1 },
            Entry::Give { name: T, was: 0, to: Some(1) },
            Entry::Unwant { name: T, by: 1 },
            Entry::Release { name: T, epoch: 1 },
            Entry::Want { name: T, by: 2 },
            Entry::Give { name: T, was: 0, to: Some(2) },
        ]);
        assert_eq!(did[1], Did::Given(T, 1, Some(1)));
        assert_eq!(did[3], Did::Given(T, 2, None));
        assert_eq!(did[5], Did::Given(T, 3, Some(2)));
        assert_eq!(roll.held(2).collect::<Vec<_>>(), [(T, 3)]);
    }

    #[test]
    fn what_was_decided_on_an_older_epoch_changes_nothing() {
        let (roll, did) = steps(&[
            Entry::Want { name: T, by: 1 },
            Entry::Give { name: T, was: 0, to: Some(1) },
            Entry::Give { name: T, was: 0, to: Some(2) },
            Entry::Release { name: T, epoch: 9 },
            Entry::Tell { name: T, epoch: 1, word: Word::Out },
            Entry::Give { name: T, was: 1, to: Some(2) },
            Entry::Tell { name: T, epoch: 1, word: Word::Served },
            Entry::Tell { name: Name::Keeper, epoch: 1, word: Word::Cut },
        ]);
        assert_eq!((did[2], did[3]), (Did::Nothing, Did::Nothing));
        assert_eq!(did[4], Did::Told(T, 1, Word::Out));
        assert_eq!((did[6], did[7]), (Did::Refused(T, 1, 2), Did::Refused(Name::Keeper, 1, 2)));
        assert_eq!(roll.get(T).and_then(|duty| duty.word), None);
    }

    #[test]
    fn a_duty_that_nobody_wants_stays_as_long_as_somebody_holds_it() {
        let (mut roll, _) = steps(&[
            Entry::Want { name: T, by: 1 },
            Entry::Give { name: T, was: 0, to: Some(1) },
            Entry::Unwant { name: T, by: 1 },
        ]);
        assert!(roll.get(T).is_some());
        roll.apply(&Entry::Give { name: T, was: 1, to: None }, Rules::default());
        assert!(roll.get(T).is_none());
        let many = (1..=WANTED_MOST as MemberId + 9).map(|by| Entry::Want { name: Name::Keeper, by });
        for entry in many {
            roll.apply(&entry, Rules::default());
        }
        assert_eq!(roll.get(Name::Keeper).map(|duty| duty.wanted.len()), Some(WANTED_MOST));
        // Members that are gone leave nothing behind.
        (1..=WANTED_MOST as MemberId).for_each(|member| roll.forget(member));
        assert!(roll.get(Name::Keeper).is_none());
        for number in 0..DUTIES_MOST as u32 + 5 {
            roll.apply(&Entry::Want { name: Name::Tries(number), by: 1 }, Rules::default());
        }
        assert_eq!(roll.duties().count(), DUTIES_MOST);
    }
}
