//! Who asks discovery while it does not answer: the holder asks often, the others on its word or slowly. A dispatcher
//! sends only to endpoints that its own list has named: a word makes it ask, and tells it no endpoint.

use crate::Seconds;

/// A list that a word told of and that has not come by then is asked for, as a part of the time for which others are slow.
const BEHIND: f64 = 0.5;

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
    /// The sequence of the own list.
    own: u64,
    /// A word told of a newer one, then. A watch that lives brings it by itself in a moment.
    newer: Option<(u64, Seconds)>,
    pace: Option<Pace>,
    tell: Option<u64>,
    ask: bool,
}

impl Lists {
    /// Discovery answers.
    pub fn new(hold_most: Seconds) -> Lists {
        Lists { hold_most, down: None, other: None, own: 0, newer: None, pace: None, tell: None, ask: false }
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
        self.newer = self.newer.filter(|(newer, _)| *newer > seq);
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
        // Discovery has answered the holder. One that can't reach it asks now; another one in a while, if it has to.
        self.ask |= seq > 0 && self.down.is_some();
        if seq > self.own && self.newer.is_none_or(|(newer, _)| seq > newer) {
            self.newer = Some((seq, now));
        }
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
    pub fn take_ask(&mut self, now: Seconds) -> bool {
        let late = self.newer.take_if(|(_, at)| now - *at > BEHIND * self.hold_most);
        std::mem::take(&mut self.ask) || late.is_some()
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
        assert!(!lists.take_ask(2.0));
        assert_eq!(lists.pace(2.0), Some(Pace::Slow(3.0, 5.0)));
        lists.told(3.0, 4);
        assert!(lists.take_ask(3.0));
        lists.came(4);
        assert_eq!(lists.pace(3.1), Some(Pace::Own));
        // A newer list comes by itself where the watch lives; where it does not come, it is asked for, once.
        lists.told(4.0, 5);
        assert!(!lists.take_ask(5.0));
        lists.came(5);
        assert!(!lists.take_ask(9.0));
        lists.told(10.0, 6);
        lists.told(11.0, 6);
        assert!(!lists.take_ask(11.4) && lists.take_ask(11.6) && !lists.take_ask(20.0));
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
