//! Tries at a destination that is out: who holds them tries, the others hold theirs back until its word.
//!
//! What a member hears of others only takes out or holds back, for `hold_most` at a time. A bound that nobody renews ends
//! by itself, and the member tries as it would alone.

use crate::Seconds;
use crate::roll::{Name, Word};
use std::collections::BTreeMap;

/// Destinations out at once that are looked after; each beyond is tried as alone.
const OUT_MOST: usize = 256;
/// A holder says at most so often that it tried, as a part of the time for which others hold back.
const WORDS: f64 = 0.3;
/// A holder that has nothing to try with for so long gives the duty up, in the same unit.
const IDLE: f64 = 0.6;

/// What the dispatcher tells of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// The decisions take it for out, or for just back and cold.
    Out(u32),
    /// They take it for in service.
    Well(u32),
    /// A call there has failed.
    Failed(u32),
    /// A call there was served.
    Served(u32),
}

/// What binds the dispatcher's tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// Another member tries; nothing goes there until then, or until the bound is lifted.
    Held(Seconds),
    /// This member tries, under this epoch, until its term ends.
    Mine(u64, Seconds),
    /// It tries as alone.
    Free,
}

/// One destination that is out for this member.
#[derive(Clone, Copy, Debug)]
struct Out {
    /// The duty as the log gave it last: its epoch, and whether it is this member's.
    given: Option<(u64, bool)>,
    /// When the last sign of life of another holder came: its being given the duty, or its word.
    sign: Seconds,
    /// The holder's word was that it is served again.
    served: bool,
    /// As a holder: the last word, and when it was told; when something was last tried.
    told: Option<(Word, Seconds)>,
    tried: Seconds,
    bound: Bound,
}

/// All destinations that are out for this member.
#[derive(Clone, Debug)]
pub struct Tries {
    hold_most: Seconds,
    out: BTreeMap<u32, Out>,
    words: Vec<(u32, u64, Word)>,
    /// Destinations of which a duty is wanted or not, that the log has not been told of.
    wants: Vec<(u32, bool)>,
    releases: Vec<(u32, u64)>,
}

impl Tries {
    /// None is out.
    pub fn new(hold_most: Seconds) -> Tries {
        Tries { hold_most, out: BTreeMap::new(), words: Vec::new(), wants: Vec::new(), releases: Vec::new() }
    }

    /// The dispatcher tells something.
    pub fn fact(&mut self, now: Seconds, fact: Fact) {
        match fact {
            Fact::Out(destination) => {
                if self.out.len() >= OUT_MOST || self.out.contains_key(&destination) {
                    return;
                }
                let out =
                    Out { given: None, sign: now, served: false, told: None, tried: now, bound: Bound::Free };
                self.out.insert(destination, out);
                self.wants.push((destination, true));
            }
            Fact::Well(destination) => {
                let Some(out) = self.out.remove(&destination) else { return };
                self.wants.push((destination, false));
                if let Some((epoch, true)) = out.given {
                    self.words.push((destination, epoch, Word::Served));
                    self.releases.push((destination, epoch));
                }
            }
            Fact::Failed(destination) | Fact::Served(destination) => {
                let Some(out) = self.out.get_mut(&destination) else { return };
                out.tried = now;
                let word = if matches!(fact, Fact::Served(_)) { Word::Served } else { Word::Out };
                let due = match out.told {
                    Some((told, at)) => {
                        told != word || (word == Word::Out && now - at >= WORDS * self.hold_most)
                    }
                    None => true,
                };
                if let Some((epoch, true)) = out.given.filter(|_| due) {
                    out.told = Some((word, now));
                    self.words.push((destination, epoch, word));
                }
            }
        }
    }

    /// The duty was somebody's before this member found the place out.
    pub fn known(&mut self, now: Seconds, destination: u32, epoch: u64, mine: bool) {
        if self.out.get(&destination).is_some_and(|out| out.given.is_none()) {
            self.given(now, destination, epoch, Some(mine));
        }
    }

    /// The log has given the duty to somebody.
    pub fn given(&mut self, now: Seconds, destination: u32, epoch: u64, holder: Option<bool>) {
        let Some(out) = self.out.get_mut(&destination) else { return };
        out.given = holder.map(|mine| (epoch, mine));
        (out.sign, out.served, out.told, out.tried) = (now, false, None, now);
    }

    /// The holder has told something.
    pub fn told(&mut self, now: Seconds, destination: u32, word: Word) {
        let Some(out) = self.out.get_mut(&destination) else { return };
        (out.sign, out.served) = (now, word == Word::Served);
    }

    /// Whether this member has use for the duty now.
    pub fn wants(&self, destination: u32) -> bool {
        self.out.contains_key(&destination)
    }

    /// The bounds that have changed. `until`: the end of the member's own term.
    pub fn bounds(&mut self, now: Seconds, until: Seconds) -> Vec<(u32, Bound)> {
        let mut changed = Vec::new();
        for (destination, out) in &mut self.out {
            let held = out.sign + self.hold_most;
            let bound = match out.given {
                Some((epoch, true)) if now < until => Bound::Mine(epoch, until),
                // Its term has ended: somebody else may be trying. For as long as others would hold back, it does.
                Some((_, true)) if until.is_finite() && now < until + self.hold_most => {
                    Bound::Held(until + self.hold_most)
                }
                Some((_, false)) if !out.served && now < held => Bound::Held(held),
                _ => Bound::Free,
            };
            if std::mem::replace(&mut out.bound, bound) != bound {
                changed.push((*destination, bound));
            }
        }
        changed
    }

    /// A holder with nothing to try with gives the duty up, and wants it no more until it has.
    pub fn idle(&mut self, now: Seconds) {
        for (destination, out) in &mut self.out {
            if let Some((epoch, true)) = out.given
                && now - out.tried > IDLE * self.hold_most
                && now - out.sign > IDLE * self.hold_most
            {
                out.given = None;
                self.wants.push((*destination, false));
                self.releases.push((*destination, epoch));
            }
        }
    }

    /// What the log is to be told: duties wanted or not, words, duties given up.
    #[allow(clippy::type_complexity)]
    pub fn take(&mut self) -> (Vec<(u32, bool)>, Vec<(u32, u64, Word)>, Vec<(u32, u64)>) {
        (std::mem::take(&mut self.wants), std::mem::take(&mut self.words), std::mem::take(&mut self.releases))
    }

    /// The name of a destination's duty.
    pub fn name(destination: u32) -> Name {
        Name::Tries(destination)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FOREVER: Seconds = 1e9;

    #[test]
    fn others_hold_back_until_the_holders_word_or_the_bound() {
        let mut tries = Tries::new(3.0);
        tries.fact(10.0, Fact::Out(7));
        assert_eq!(tries.take().0, [(7, true)]);
        assert!(tries.bounds(10.0, FOREVER).is_empty());
        tries.given(10.1, 7, 4, Some(false));
        assert_eq!(tries.bounds(10.1, FOREVER), [(7, Bound::Held(13.1))]);
        tries.told(12.0, 7, Word::Out);
        assert_eq!(tries.bounds(12.0, FOREVER), [(7, Bound::Held(15.0))]);
        tries.told(13.0, 7, Word::Served);
        assert_eq!(tries.bounds(13.0, FOREVER), [(7, Bound::Free)]);
        // It fails again: the next word holds back again.
        tries.told(14.0, 7, Word::Out);
        assert_eq!(tries.bounds(14.0, FOREVER), [(7, Bound::Held(17.0))]);
        // No word came: the bound ends by itself.
        assert_eq!(tries.bounds(17.0, FOREVER), [(7, Bound::Free)]);
        // What another holder does is no affair of one for which the place is well.
        tries.fact(18.0, Fact::Well(7));
        tries.told(18.1, 7, Word::Out);
        assert!(tries.bounds(18.1, FOREVER).is_empty());
    }

    #[test]
    fn a_member_that_finds_it_out_later_holds_back_too() {
        let mut tries = Tries::new(3.0);
        tries.given(9.0, 7, 4, Some(false));
        tries.fact(10.0, Fact::Out(7));
        assert!(tries.bounds(10.0, FOREVER).is_empty());
        tries.known(10.0, 7, 4, false);
        assert_eq!(tries.bounds(10.0, FOREVER), [(7, Bound::Held(13.0))]);
    }

    #[test]
    fn a_holder_tells_what_it_found_and_not_too_often() {
        let mut tries = Tries::new(3.0);
        tries.fact(10.0, Fact::Out(7));
        tries.fact(10.0, Fact::Failed(7));
        tries.given(10.1, 7, 4, Some(true));
        assert_eq!(tries.bounds(10.1, 12.0), [(7, Bound::Mine(4, 12.0))]);
        assert!(tries.take().1.is_empty());
        for at in [10.2, 10.3, 11.0, 11.2, 11.3] {
            tries.fact(at, Fact::Failed(7));
        }
        tries.fact(11.4, Fact::Served(7));
        tries.fact(11.5, Fact::Served(7));
        assert_eq!(tries.take().1, [(7, 4, Word::Out), (7, 4, Word::Out), (7, 4, Word::Served)]);
        tries.fact(12.0, Fact::Well(7));
        assert_eq!(tries.take(), (vec![(7, false)], vec![(7, 4, Word::Served)], vec![(7, 4)]));
    }

    #[test]
    fn a_holder_whose_term_has_ended_holds_back_and_then_is_alone() {
        let mut tries = Tries::new(3.0);
        tries.fact(10.0, Fact::Out(7));
        tries.given(10.1, 7, 4, Some(true));
        tries.bounds(10.1, 12.0);
        assert_eq!(tries.bounds(12.0, 12.0), [(7, Bound::Held(15.0))]);
        assert_eq!(tries.bounds(15.0, 12.0), [(7, Bound::Free)]);
    }

    #[test]
    fn a_holder_with_nothing_to_try_with_gives_the_duty_up() {
        let mut tries = Tries::new(3.0);
        tries.fact(10.0, Fact::Out(7));
        tries.given(10.0, 7, 4, Some(true));
        tries.take();
        tries.idle(11.5);
        assert_eq!(tries.take().2, []);
        tries.idle(12.0);
        assert_eq!(tries.take(), (vec![(7, false)], vec![], vec![(7, 4)]));
    }
}
