//! A bounded memory of the final outcomes of messages, for duplicate detection: a message that is submitted again
//! after its end must not take effect twice. No I/O.

use crate::format::{AcceptedMessage, Notice};
use crate::index::JournaledMessage;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, Hasher};

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// Delivered, or settled by the destination's answer: it must not run again.
    Delivered,
    /// Delivery was given up: it may have run.
    GivenUp,
    /// Handed back to the client: submitting it again is harmless.
    HandedBack,
}

impl FinalOutcome {
    /// The outcome of a message that is being closed; `None` if the message was withdrawn.
    pub(crate) fn of(journaled: &JournaledMessage) -> Option<FinalOutcome> {
        match journaled.notice {
            // Its notice became due when its attempt was answered, in case the answer was not its own.
            Some(Notice::GivenUp) if journaled.in_flight.is_some() => Some(FinalOutcome::Delivered),
            Some(Notice::GivenUp) => Some(FinalOutcome::GivenUp),
            Some(Notice::HandedBack { .. }) => Some(FinalOutcome::HandedBack),
            // Without an attempt, the message was withdrawn: its client disconnected before it got the answer.
            None => (journaled.attempts > 0).then_some(FinalOutcome::Delivered),
        }
    }
}

/// The outcomes of the last `max_entries` messages that ended, at some 40 bytes each. It is serialized by field name
/// for the process that takes over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecentOutcomes {
    #[serde(rename = "most")]
    max_entries: usize,
    /// Random for each instance, so that clients cannot construct messages with colliding fingerprints.
    #[serde(rename = "keys")]
    hash_keys: (u64, u64),
    order: VecDeque<u64>,
    #[serde(rename = "ends")]
    outcomes: HashMap<u64, FinalOutcome>,
}

impl Default for RecentOutcomes {
    fn default() -> RecentOutcomes {
        RecentOutcomes::new(0)
    }
}

impl RecentOutcomes {
    /// An empty memory for up to `max_entries` outcomes.
    pub fn new(max_entries: usize) -> RecentOutcomes {
        let hash_keys = (RandomState::new().hash_one(0), RandomState::new().hash_one(1));
        RecentOutcomes { max_entries, hash_keys, order: VecDeque::new(), outcomes: HashMap::new() }
    }

    /// A hash of a message's id, class, destination and key. The body is not included, as it is dropped once a notice
    /// is due. A message collides by chance with a remembered one with a probability of `max_entries` / 2^64.
    fn fingerprint(&self, message: &AcceptedMessage) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.hash_keys.0, self.hash_keys.1);
        (&message.id, &message.class, message.destination, &message.key).hash(&mut hasher);
        hasher.finish()
    }

    /// Stores an outcome and evicts the oldest one if necessary.
    pub fn record(&mut self, message: &AcceptedMessage, outcome: FinalOutcome) {
        let fingerprint = self.fingerprint(message);
        if self.max_entries == 0 || self.outcomes.insert(fingerprint, outcome).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.max_entries
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// The outcome of a message, if it is still remembered.
    pub fn get(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.outcomes.get(&self.fingerprint(message)).copied()
    }

    /// Number of remembered outcomes.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no outcome is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(id: u64) -> AcceptedMessage {
        let (class, key, body) = ("c".to_string(), Some(format!("k{id}")), "b".into());
        AcceptedMessage {
            id: id.to_string(),
            class,
            destination: 1,
            accepted_at: 1,
            deadline: 2,
            key,
            tenant: None,
            body,
        }
    }

    #[test]
    fn only_the_most_recent_outcomes_are_remembered() {
        let mut recent = RecentOutcomes::new(100);
        for id in 0..1000 {
            // A message that was handed back, accepted again and delivered occupies one entry, not two.
            recent.record(&message(id), FinalOutcome::HandedBack);
            recent.record(&message(id), FinalOutcome::Delivered);
        }
        assert_eq!((recent.len(), recent.outcomes.len()), (100, 100));
        assert_eq!(recent.get(&message(900)), Some(FinalOutcome::Delivered));
        assert_eq!(recent.get(&message(899)), None);
        assert_eq!(
            recent.get(&AcceptedMessage { destination: 2, ..message(950) }),
            None,
            "a different message with the same id"
        );
        recent = RecentOutcomes::new(0);
        recent.record(&message(1), FinalOutcome::Delivered);
        assert!(recent.is_empty() && recent.get(&message(1)).is_none());
    }
}
