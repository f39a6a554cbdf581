//! How long a member may act on what it holds, on its own clock.

use crate::{Rules, Seconds};
use std::collections::VecDeque;

/// Questions in one term.
const ASKS: f64 = 6.0;
/// Questions that wait for their answers; an older one's answer is of no more use.
const ASKED_MOST: usize = 16;

/// A member's own term.
#[derive(Clone, Debug)]
pub struct Term {
    length: Seconds,
    rules: Rules,
    /// Questions, and when each was about to be sent.
    asked: VecDeque<(u64, Seconds)>,
    next: u64,
    ask_at: Seconds,
    /// Answers, by the place of the log that has to be applied before each counts, and until when it lets act.
    waiting: Vec<(u64, Seconds)>,
    applied: u64,
    until: Seconds,
}

impl Term {
    /// None yet. `first`: the number of the first question; another than that of an earlier life, as an answer to that one's
    /// may come yet.
    pub fn new(length: Seconds, rules: Rules, first: u64) -> Term {
        let asked = VecDeque::new();
        Term {
            length,
            rules,
            asked,
            next: first,
            ask_at: 0.0,
            waiting: Vec::new(),
            applied: 0,
            until: f64::NEG_INFINITY,
        }
    }

    /// The next question, where one is due. `now` was read before it is sent: the term counts from here.
    pub fn question(&mut self, now: Seconds) -> Option<u64> {
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + self.length / ASKS;
        self.next += 1;
        self.asked.push_back((self.next, now));
        if self.asked.len() > ASKED_MOST {
            self.asked.pop_front();
        }
        Some(self.next)
    }

    /// An answer to a question: what was given away before lies in the log up to `after`.
    pub fn confirmed(&mut self, now: Seconds, question: u64, after: u64) {
        let Some(at) = self.asked.iter().position(|(number, _)| *number == question) else { return };
        let (_, sent) = self.asked[at];
        self.asked.drain(..=at);
        let from = if self.rules.from_question { sent } else { now };
        let after = if self.rules.applied_first { after } else { 0 };
        self.waiting.push((after, from + self.length));
        self.count();
    }

    /// The log is applied up to here.
    pub fn applied(&mut self, at: u64) {
        self.applied = self.applied.max(at);
        self.count();
    }

    fn count(&mut self) {
        let (applied, until) = (self.applied, &mut self.until);
        self.waiting.retain(|(after, at)| {
            if *after <= applied {
                *until = until.max(*at);
            }
            *after > applied
        });
        // Those that are over before they count never will.
        let least = self.waiting.len().saturating_sub(ASKED_MOST);
        self.waiting.drain(..least);
    }

    /// Until when the member may act on what it holds. It looks right before each act: what it found a line earlier may
    /// be old.
    pub fn until(&self) -> Seconds {
        self.until
    }

    /// Whether it may act now.
    pub fn runs(&self, now: Seconds) -> bool {
        now < self.until
    }

    /// Nothing more is done under this term; the next one counts from a question after this.
    pub fn end(&mut self) {
        self.asked.clear();
        self.waiting.clear();
        self.until = f64::NEG_INFINITY;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_term_counts_from_before_its_question_and_after_the_log() {
        let mut term = Term::new(3.0, Rules::default(), 10);
        let question = term.question(100.0).unwrap();
        assert_eq!(term.question(100.1), None);
        term.confirmed(102.0, question, 5);
        assert!(!term.runs(102.0));
        term.applied(4);
        assert!(!term.runs(102.0));
        term.applied(5);
        assert!(term.runs(102.9) && !term.runs(103.0));
        // A second answer to the same question gives nothing, nor one to a question that was never asked.
        term.confirmed(102.5, question, 0);
        term.confirmed(102.5, 999, 0);
        assert_eq!(term.until(), 103.0);
        // An answer to an older question than the last one answered is of no use.
        let (first, second) = (term.question(104.0).unwrap(), term.question(105.0).unwrap());
        term.confirmed(105.1, second, 5);
        term.confirmed(105.2, first, 5);
        assert_eq!(term.until(), 108.0);
        term.end();
        assert!(!term.runs(105.3));
    }

    #[test]
    fn with_a_rule_taken_out_it_runs_longer() {
        let run = |rules: Rules| {
            let mut term = Term::new(3.0, rules, 0);
            let question = term.question(100.0).unwrap();
            term.confirmed(102.0, question, 5);
            term.until()
        };
        assert_eq!(run(Rules { applied_first: false, ..Rules::default() }), 103.0);
        assert_eq!(run(Rules { applied_first: false, from_question: false, ..Rules::default() }), 105.0);
    }
}
