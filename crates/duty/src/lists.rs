//! Who asks discovery while it does not answer: the holder asks often, the others on its word or slowly. A dispatcher
//! sends only to endpoints that its own list has named: a word makes it ask, and tells it no endpoint.

use crate::Seconds;

/// What binds the dispatcher's questions to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// As alone.
    Own,
    /// Another member asks; this one no more often than this, until then: spacing, end.
    Slow(Seconds, Seconds),
}

/// What this member knows of discovery, and of who asks it.
#[derive(Clone, Debug)]
pub struct Lists {
    hold_most: Seconds,
    /// Discovery does not answer this member since then.
    down: Option<Seconds>,
    /// The duty is another member's, since then.
    other: Option<Seconds>,
    /// The sequence of the own list, and the highest that a word told.
    own: u64,
    told: u64,
    pace: Option<Pace>,
    tell: Option<u64>,
    ask: bool,
}

impl Lists {
    /// Discovery answers.
    pub fn new(hold_most: Seconds) -> Lists {
        Lists { hold_most, down: None, other: None, own: 0, told: 0, pace: None, tell: None, ask: false }
    }

    /// Discovery has ended or refused the watch.
    pub fn failed(&mut self, now: Seconds) {
        self.down.get_or_insert(now);
    }

    /// A list of this sequence has come.
    pub fn came(&mut self, seq: u64) {
        // Whoever holds the duty tells the others: what they have may be older.
        if seq > self.own || self.down.is_some() {
            self.tell = Some(seq);
        }
        (self.own, self.down) = (seq, None);
    }

    /// The duty was given: to this member, to another one, or to nobody.
    pub fn given(&mut self, now: Seconds, holder: Option<bool>) {
        self.other = (holder == Some(false)).then_some(now);
    }

    /// The holder has told of a list, or that it asks still.
    pub fn told(&mut self, now: Seconds, seq: u64) {
        if self.other.is_some() {
            self.other = Some(now);
        }
        // Discovery has answered the holder. One that can't reach it now asks too.
        if seq > self.own.max(self.told) || (seq > 0 && self.down.is_some()) {
            self.ask = true;
        }
        self.told = self.told.max(seq);
    }

    /// Whether discovery is out of this member's reach: the duty is of use.
    pub fn wanted(&self) -> bool {
        self.down.is_some()
    }

    /// The pace, where it has changed.
    pub fn pace(&mut self, now: Seconds) -> Option<Pace> {
        let end = self.other.map(|at| at + self.hold_most);
        let pace = match end {
            Some(end) if self.down.is_some() && now < end => Pace::Slow(self.hold_most, end),
            _ => Pace::Own,
        };
        (self.pace.replace(pace) != Some(pace)).then_some(pace)
    }

    /// A list that the holder has to tell of.
    pub fn take_word(&mut self) -> Option<u64> {
        self.tell.take()
    }

    /// Discovery is to be asked now.
    pub fn take_ask(&mut self) -> bool {
        std::mem::take(&mut self.ask)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn others_ask_slowly_until_the_holder_has_heard_something() {
        let mut lists = Lists::new(3.0);
        lists.came(4);
        assert_eq!((lists.take_word(), lists.pace(0.0)), (Some(4), Some(Pace::Own)));
        lists.failed(1.0);
        lists.given(1.1, Some(false));
        assert_eq!(lists.pace(1.2), Some(Pace::Slow(3.0, 4.1)));
        lists.told(2.0, 0);
        assert!(!lists.take_ask());
        assert_eq!(lists.pace(2.0), Some(Pace::Slow(3.0, 5.0)));
        lists.told(3.0, 4);
        assert!(lists.take_ask());
        lists.came(4);
        assert_eq!(lists.pace(3.1), Some(Pace::Own));
        // A newer list that this one does not know makes it ask, also while its watch lives.
        lists.told(4.0, 5);
        assert!(lists.take_ask());
        lists.told(4.1, 5);
        assert!(!lists.take_ask());
    }

    #[test]
    fn a_holder_that_says_nothing_binds_nobody_for_long() {
        let mut lists = Lists::new(3.0);
        lists.failed(1.0);
        lists.given(1.0, Some(false));
        lists.pace(1.0);
        assert_eq!(lists.pace(4.0), Some(Pace::Own));
    }
}
