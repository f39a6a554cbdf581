//! Orders that last: what operators have ordered, and what holds until it is called back.
//!
//! Free of I/O. A call gives a [`Step`]: what is to be on record before the answer, and the answer. The same
//! order twice is one; one call back ends it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Orders in force at once. Each is a line in a small file.
pub const ORDERS_MOST: usize = 128;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The endpoint gets nothing new.
    Hold,
}

/// What an order is about: its kind, and the endpoint's id in discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// What it does.
    pub kind: Kind,
    /// To whom.
    pub id: String,
}

/// Since when an order is in force: Unix time in milliseconds.
pub type Since = u64;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The order is in force from now on.
    Began,
    /// It was called back.
    Ended,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing changes; the answer is yes.
    Stands,
    /// This changes. It is to be on record before the yes, and in force whether or not that worked.
    Changes(Change),
    /// The answer is no.
    Refused(Refusal),
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No list has named this id.
    #[error("no endpoint of this id was ever listed")]
    NeverListed,
    /// [`ORDERS_MOST`] are in force.
    #[error("128 orders are in force, the most; call one back first")]
    TooMany,
}

/// The orders in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    force: BTreeMap<Subject, Since>,
}

impl Orders {
    /// Whether such an order is in force.
    pub fn holds(&self, id: &str) -> bool {
        self.force.keys().any(|subject| subject.kind == Kind::Hold && subject.id == id)
    }

    /// Ids that are held.
    pub fn held(&self) -> impl Iterator<Item = (&str, Since)> {
        self.force.iter().map(|(subject, since)| (&*subject.id, *since))
    }

    /// How many are in force.
    pub fn len(&self) -> usize {
        self.force.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.force.is_empty()
    }

    /// An order is given. `known`: a list has named the id, now or earlier.
    pub fn give(&mut self, subject: Subject, known: bool, now: Since) -> Step {
        if self.force.contains_key(&subject) {
            return Step::Stands;
        }
        if !known {
            return Step::Refused(Refusal::NeverListed);
        }
        if self.force.len() >= ORDERS_MOST {
            return Step::Refused(Refusal::TooMany);
        }
        self.force.insert(subject, now);
        Step::Changes(Change::Began)
    }

    /// An order is called back. One that is not in force is over already, where the id is known.
    pub fn call_back(&mut self, subject: &Subject, known: bool) -> Step {
        match self.force.remove(subject) {
            Some(_) => Step::Changes(Change::Ended),
            None if known => Step::Stands,
            None => Step::Refused(Refusal::NeverListed),
        }
    }

    /// What stands on record.
    pub fn record(&self) -> Vec<u8> {
        let entry =
            |(subject, since): (&Subject, &Since)| Entry { subject: subject.clone(), since_ms: *since };
        let record = Record { version: VERSION, orders: self.force.iter().map(entry).collect() };
        serde_json::to_vec(&record).unwrap_or_default()
    }

    /// The orders of a record.
    ///
    /// # Errors
    /// Where it is none, or of a later version.
    pub fn from_record(bytes: &[u8]) -> Result<Orders, RecordError> {
        let record: Record = serde_json::from_slice(bytes)?;
        if record.version > VERSION {
            return Err(RecordError::Later(record.version));
        }
        let force = record.orders.into_iter().map(|entry| (entry.subject, entry.since_ms)).collect();
        Ok(Orders { force })
    }
}

/// The record's version.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Record {
    version: u32,
    orders: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    subject: Subject,
    since_ms: Since,
}

/// A record that holds no orders.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It can't be read.
    #[error("not a record of orders: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A later program wrote it.
    #[error("a record of version {0}, which this program does not know")]
    Later(u32),
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hold(id: &str) -> Subject {
        Subject { kind: Kind::Hold, id: id.into() }
    }

    #[test]
    fn an_order_holds_until_one_call_back() {
        let mut orders = Orders::default();
        assert_eq!(orders.give(hold("a"), true, 1), Step::Changes(Change::Began));
        // Once more, also while its endpoint is not listed.
        assert_eq!(orders.give(hold("a"), false, 2), Step::Stands);
        assert!(orders.holds("a"));
        assert_eq!(orders.call_back(&hold("a"), false), Step::Changes(Change::Ended));
        assert!(!orders.holds("a"));
        assert_eq!(orders.call_back(&hold("a"), true), Step::Stands);
    }

    #[test]
    fn an_id_that_was_never_listed_is_owed_a_no() {
        let mut orders = Orders::default();
        assert_eq!(orders.give(hold("a"), false, 1), Step::Refused(Refusal::NeverListed));
        assert_eq!(orders.call_back(&hold("a"), false), Step::Refused(Refusal::NeverListed));
        assert!(orders.is_empty());
    }

    #[test]
    fn orders_are_bounded_and_outlast_the_process() {
        let mut orders = Orders::default();
        for i in 0..ORDERS_MOST {
            assert_eq!(orders.give(hold(&format!("e{i}")), true, i as u64), Step::Changes(Change::Began));
        }
        assert_eq!(orders.give(hold("more"), true, 1), Step::Refused(Refusal::TooMany));
        assert_eq!(Orders::from_record(&orders.record()).unwrap(), orders);
        assert!(matches!(Orders::from_record(b"{\"version\":9,\"orders\":[]}"), Err(RecordError::Later(9))));
        assert!(matches!(Orders::from_record(b"{"), Err(RecordError::Unreadable(_))));
    }
}
