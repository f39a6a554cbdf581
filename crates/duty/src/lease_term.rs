//! How long a member may act on its leases, measured on its own clock.
//!
//! The member sends renewal requests to the leader. Each confirmation extends the term, counted from the time at
//! which the request was sent.

use crate::{SafetyRules, Seconds};
use std::collections::VecDeque;

/// Renewal requests sent per lease term.
const RENEWALS_PER_TERM: f64 = 6.0;
/// Limit on unanswered renewal requests, and on confirmations that wait for the log; older ones are dropped.
const MAX_PENDING_RENEWALS: usize = 16;

/// A member's own lease term.
#[derive(Clone, Debug)]
pub struct LeaseTerm {
    duration: Seconds,
    rules: SafetyRules,
    /// Unanswered renewal requests: number, and the time read before sending.
    pending: VecDeque<(u64, Seconds)>,
    last_number: u64,
    next_renewal_at: Seconds,
    /// Confirmations that wait for the log: the index that has to be applied first, and the expiry that they grant.
    confirmations: Vec<(u64, Seconds)>,
    applied_index: u64,
    expires_at: Seconds,
}

impl LeaseTerm {
    /// A term that has not started. `first_number` has to differ from the numbers of the previous process, whose
    /// confirmations may still arrive.
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

    /// The number of the next renewal request, if one is due. `now` was read before the request is sent: the term
    /// counts from it.
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

    /// The leader confirmed a renewal request. All grants made until then are in the log up to `required_index`.
    pub fn renewal_confirmed(&mut self, now: Seconds, renewal: u64, required_index: u64) {
        let Some(position) = self.pending.iter().position(|(number, _)| *number == renewal) else { return };
        let (_, sent_at) = self.pending[position];
        self.pending.drain(..=position);
        let start = if self.rules.term_from_request { sent_at } else { now };
        let required_index = if self.rules.apply_before_use { required_index } else { 0 };
        self.confirmations.push((required_index, start + self.duration));
        self.update_expiry();
    }

    /// The log has been applied up to this index.
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
        // Drops the oldest confirmations: they would have expired before they take effect.
        let excess = self.confirmations.len().saturating_sub(MAX_PENDING_RENEWALS);
        self.confirmations.drain(..excess);
    }

    /// The end of the member's term. Callers check it immediately before each action; an earlier result may be
    /// outdated.
    pub fn expires_at(&self) -> Seconds {
        self.expires_at
    }

    /// Whether the member may act now.
    pub fn is_valid(&self, now: Seconds) -> bool {
        now < self.expires_at
    }

    /// Ends the term at once. Only a renewal request sent after this starts a new one.
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
    fn a_term_counts_from_its_request_and_needs_the_log_applied() {
        let mut term = LeaseTerm::new(3.0, SafetyRules::default(), 10);
        let renewal = term.next_renewal(100.0).unwrap();
        assert_eq!(term.next_renewal(100.1), None);
        term.renewal_confirmed(102.0, renewal, 5);
        assert!(!term.is_valid(102.0));
        term.log_applied(4);
        assert!(!term.is_valid(102.0));
        term.log_applied(5);
        assert!(term.is_valid(102.9) && !term.is_valid(103.0));
        // A second confirmation of the same request has no effect, nor one of a request that was never sent.
        term.renewal_confirmed(102.5, renewal, 0);
        term.renewal_confirmed(102.5, 999, 0);
        assert_eq!(term.expires_at(), 103.0);
        // A confirmation of an older request than the last confirmed one has no effect.
        let (first, second) = (term.next_renewal(104.0).unwrap(), term.next_renewal(105.0).unwrap());
        term.renewal_confirmed(105.1, second, 5);
        term.renewal_confirmed(105.2, first, 5);
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
