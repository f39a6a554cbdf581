//! How long a member may act on what it holds, on its own clock.

use crate::{SafetyRules, Seconds};
use std::collections::VecDeque;

/// Questions in one term.
const RENEWALS_PER_TERM: f64 = 6.0;
/// Questions that wait for their answers; an older one's answer is of no more use.
const MAX_PENDING_RENEWALS: usize = 16;

/// A member's own term.
#[derive(Clone, Debug)]
pub struct LeaseTerm {
    duration: Seconds,
    rules: SafetyRules,
    /// Questions, and when each was about to be sent.
    pending: VecDeque<(u64, Seconds)>,
    last_number: u64,
    next_renewal_at: Seconds,
    /// Answers, by the place of the log that has to be applied before each counts, and until when it lets act.
    confirmations: Vec<(u64, Seconds)>,
    applied_index: u64,
    expires_at: Seconds,
}

impl LeaseTerm {
    /// None yet. `first`: the number of the first question; another than that of an earlier life, as an answer to that one's
    /// may come yet.
    pub fn new(duration: Seconds, rules: SafetyRules, first_number: u64) -> LeaseTerm {
        let pending = VecDeque::new();
        LeaseTerm {
            duration,
            rules,
            pending,
            last_number: first_number,
            next_renewal_at: 0.0,
            confirmations: Vec::new(),
            applied_index: 0,
            expires_at: f64::NEG_INFINITY,
        }
    }

    /// The next question, where one is due. `now` was read before it is sent: the term counts from here.
    pub fn next_renewal(&mut self, now: Seconds) -> Option<u64> {
        if now < self.next_renewal_at {
            return None;
        }
        self.next_renewal_at = now + self.duration / RENEWALS_PER_TERM;
        self.last_number += 1;
        self.pending.push_back((self.last_number, now));
        if self.pending.len() > MAX_PENDING_RENEWALS {
            self.pending.pop_front();
        }
        Some(self.last_number)
    }

    /// An answer to a question: what was given away before lies in the log up to `after`.
    pub fn renewal_confirmed(&mut self, now: Seconds, renewal: u64, required_index: u64) {
        let Some(position) = self.pending.iter().position(|(number, _)| *number == renewal) else { return };
        let (_, sent_at) = self.pending[position];
        self.pending.drain(..=position);
        let start = if self.rules.term_from_request { sent_at } else { now };
        let required_index = if self.rules.apply_before_use { required_index } else { 0 };
        self.confirmations.push((required_index, start + self.duration));
        self.update_expiry();
    }

    /// The log is applied up to here.
    pub fn log_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
        self.update_expiry();
    }

    fn update_expiry(&mut self) {
        let (applied_index, expires_at) = (self.applied_index, &mut self.expires_at);
        self.confirmations.retain(|(required_index, expiry)| {
            if *required_index <= applied_index {
                *expires_at = expires_at.max(*expiry);
            }
            *required_index > applied_index
        });
        // Those that are over before they count never will.
        let excess = self.confirmations.len().saturating_sub(MAX_PENDING_RENEWALS);
        self.confirmations.drain(..excess);
    }

    /// Until when the member may act on what it holds. It looks right before each act: what it found a line earlier may
    /// be old.
    pub fn expires_at(&self) -> Seconds {
        self.expires_at
    }

    /// Whether it may act now.
    pub fn is_valid(&self, now: Seconds) -> bool {
        now < self.expires_at
    }

    /// Nothing more is done under this term; the next one counts from a question after this.
    pub fn revoke(&mut self) {
        self.pending.clear();
        self.confirmations.clear();
        self.expires_at = f64::NEG_INFINITY;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_term_starts_before_the_request_and_needs_the_log_applied() {
        let mut term = LeaseTerm::new(3.0, SafetyRules::default(), 10);
        let renewal = term.next_renewal(100.0).unwrap();
        assert_eq!(term.next_renewal(100.1), None);
        term.renewal_confirmed(102.0, renewal, 5);
        assert!(!term.is_valid(102.0));
        term.log_applied(4);
        assert!(!term.is_valid(102.0));
        term.log_applied(5);
        assert!(term.is_valid(102.9) && !term.is_valid(103.0));
        // A second answer to the same question gives nothing, nor one to a question that was never asked.
        term.renewal_confirmed(102.5, renewal, 0);
        term.renewal_confirmed(102.5, 999, 0);
        assert_eq!(term.expires_at(), 103.0);
        // An answer to an older question than the last one answered is of no use.
        let (first_number, second) = (term.next_renewal(104.0).unwrap(), term.next_renewal(105.0).unwrap());
        term.renewal_confirmed(105.1, second, 5);
        term.renewal_confirmed(105.2, first_number, 5);
        assert_eq!(term.expires_at(), 108.0);
        term.revoke();
        assert!(!term.is_valid(105.3));
    }

    #[test]
    fn without_a_rule_the_term_lasts_longer() {
        let expiry = |rules: SafetyRules| {
            let mut term = LeaseTerm::new(3.0, rules, 0);
            let renewal = term.next_renewal(100.0).unwrap();
            term.renewal_confirmed(102.0, renewal, 5);
            term.expires_at()
        };
        assert_eq!(expiry(SafetyRules { apply_before_use: false, ..SafetyRules::default() }), 103.0);
        assert_eq!(
            expiry(SafetyRules {
                apply_before_use: false,
                term_from_request: false,
                ..SafetyRules::default()
            }),
            105.0
        );
    }
}
