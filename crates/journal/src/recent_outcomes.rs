//! Messages that are over, for as long as that is worth remembering: one that comes again must not take effect once
//! more. No I/O.

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
    /// Delivered, or over by the other side's word: nothing is owed, and it may not run again.
    Delivered,
    /// Given up: it may have run.
    GivenUp,
    /// Handed back: handing it in again is harmless.
    HandedBack,
}

impl FinalOutcome {
    /// How a message ends of which nothing more is owed; none where no client was ever told of it.
    pub(crate) fn of(journaled: &JournaledMessage) -> Option<FinalOutcome> {
        match journaled.notice {
            Some(Notice::GivenUp) => Some(FinalOutcome::GivenUp),
            Some(Notice::HandedBack { .. }) => Some(FinalOutcome::HandedBack),
            // Without a call it was withdrawn: its client was gone before it heard.
            None => (journaled.attempts > 0).then_some(FinalOutcome::Delivered),
        }
    }
}

/// The last messages that ended, at most so many: some 40 bytes each. It goes to the process that takes over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecentOutcomes {
    most: usize,
    /// Drawn anew for each: nobody can choose ids that meet.
    keys: (u64, u64),
    order: VecDeque<u64>,
    ends: HashMap<u64, FinalOutcome>,
}

impl Default for RecentOutcomes {
    fn default() -> RecentOutcomes {
        RecentOutcomes::new(0)
    }
}

impl RecentOutcomes {
    /// Remembers so many ends.
    pub fn new(most: usize) -> RecentOutcomes {
        let keys = (RandomState::new().hash_one(0), RandomState::new().hash_one(1));
        RecentOutcomes { most, keys, order: VecDeque::new(), ends: HashMap::new() }
    }

    /// A message by its id, class, destination and key. The body is not looked at: it is gone once a notice is owed.
    /// Two messages meet by chance in one of 2^64 / `most` cases.
    fn mark(&self, message: &AcceptedMessage) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.keys.0, self.keys.1);
        (&message.id, &message.class, message.destination, &message.key).hash(&mut hasher);
        hasher.finish()
    }

    /// Remembers an end; the oldest one makes place.
    pub fn remember(&mut self, message: &AcceptedMessage, end: FinalOutcome) {
        let mark = self.mark(message);
        if self.most == 0 || self.ends.insert(mark, end).is_some() {
            return;
        }
        self.order.push_back(mark);
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// How the message ended, where that is remembered.
    pub fn get(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.ends.get(&self.mark(message)).copied()
    }

    /// How many ends are remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none is remembered.
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
    fn the_last_ends_are_remembered_and_no_more() {
        let mut ended = RecentOutcomes::new(100);
        for id in 0..1000 {
            // Twice: a message that ends again, after it was handed back and taken anew, takes no second place.
            ended.remember(&message(id), FinalOutcome::HandedBack);
            ended.remember(&message(id), FinalOutcome::Delivered);
        }
        assert_eq!((ended.len(), ended.ends.len()), (100, 100));
        assert_eq!(ended.get(&message(900)), Some(FinalOutcome::Delivered));
        assert_eq!(ended.get(&message(899)), None);
        assert_eq!(
            ended.get(&AcceptedMessage { destination: 2, ..message(950) }),
            None,
            "another message under the id"
        );
        ended = RecentOutcomes::new(0);
        ended.remember(&message(1), FinalOutcome::Delivered);
        assert!(ended.is_empty() && ended.get(&message(1)).is_none());
    }
}
