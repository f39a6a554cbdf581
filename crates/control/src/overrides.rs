//! Overrides that last: what operators have ordered, and what is_suspended until it is called back.
//!
//! Free of I/O. A call gives a [`UpdateResult`]: what is to be on record before the answer, and the answer. The same
//! order twice is one; one call back ends it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Overrides in force at once. Each is a line in a small file.
pub const MAX_OVERRIDES: usize = 128;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OverrideKind {
    /// The endpoint gets nothing new.
    #[serde(rename = "hold")]
    Suspend,
}

/// What an order is about: its kind, and the endpoint's id in discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OverrideKey {
    /// What it does.
    pub kind: OverrideKind,
    /// To whom.
    #[serde(rename = "id")]
    pub endpoint_id: String,
}

/// UnixMillis when an order is in force: Unix time in milliseconds.
pub type UnixMillis = u64;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The order is in force from now on.
    Added,
    /// It was called back.
    Removed,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// Nothing changes; the answer is yes.
    Unchanged,
    /// This changes. It is to be on record before the yes, and in force whether or not that worked.
    Changed(Change),
    /// The answer is no.
    Rejected(OverrideError),
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// No list has named this id.
    #[error("no endpoint of this id was ever listed")]
    NeverListed,
    /// [`MAX_OVERRIDES`] are in force.
    #[error("128 orders are in force, the most; call one back first")]
    TooMany,
}

/// The orders in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    force: BTreeMap<OverrideKey, UnixMillis>,
}

impl Overrides {
    /// Whether such an order is in force.
    pub fn is_suspended(&self, id: &str) -> bool {
        self.force.keys().any(|subject| subject.kind == OverrideKind::Suspend && subject.endpoint_id == id)
    }

    /// Ids that are held.
    pub fn suspended(&self) -> impl Iterator<Item = (&str, UnixMillis)> {
        self.force.iter().map(|(subject, since)| (&*subject.endpoint_id, *since))
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
    pub fn add(&mut self, subject: OverrideKey, known: bool, now: UnixMillis) -> UpdateResult {
        if self.force.contains_key(&subject) {
            return UpdateResult::Unchanged;
        }
        if !known {
            return UpdateResult::Rejected(OverrideError::NeverListed);
        }
        if self.force.len() >= MAX_OVERRIDES {
            return UpdateResult::Rejected(OverrideError::TooMany);
        }
        self.force.insert(subject, now);
        UpdateResult::Changed(Change::Added)
    }

    /// An order is called back. One that is not in force is over already, where the id is known.
    pub fn remove(&mut self, subject: &OverrideKey, known: bool) -> UpdateResult {
        match self.force.remove(subject) {
            Some(_) => UpdateResult::Changed(Change::Removed),
            None if known => UpdateResult::Unchanged,
            None => UpdateResult::Rejected(OverrideError::NeverListed),
        }
    }

    /// What stands on record.
    pub fn to_json(&self) -> Vec<u8> {
        let entry = |(subject, since): (&OverrideKey, &UnixMillis)| Entry {
            subject: subject.clone(),
            since_ms: *since,
        };
        let record = Record { version: VERSION, orders: self.force.iter().map(entry).collect() };
        serde_json::to_vec(&record).unwrap_or_default()
    }

    /// The orders of a record.
    ///
    /// # Errors
    /// Where it is none, or of a later version.
    pub fn from_json(bytes: &[u8]) -> Result<Overrides, OverrideFileError> {
        let record: Record = serde_json::from_slice(bytes)?;
        if record.version > VERSION {
            return Err(OverrideFileError::UnsupportedVersion(record.version));
        }
        let force = record.orders.into_iter().map(|entry| (entry.subject, entry.since_ms)).collect();
        Ok(Overrides { force })
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
    subject: OverrideKey,
    since_ms: UnixMillis,
}

/// A record that is_suspended no orders.
#[derive(Debug, thiserror::Error)]
pub enum OverrideFileError {
    /// It can't be read.
    #[error("not a record of orders: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A later program wrote it.
    #[error("a record of version {0}, which this program does not know")]
    UnsupportedVersion(u32),
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hold(id: &str) -> OverrideKey {
        OverrideKey { kind: OverrideKind::Suspend, endpoint_id: id.into() }
    }

    #[test]
    fn an_order_holds_until_one_call_back() {
        let mut orders = Overrides::default();
        assert_eq!(orders.add(hold("a"), true, 1), UpdateResult::Changed(Change::Added));
        // Once more, also while its endpoint is not listed.
        assert_eq!(orders.add(hold("a"), false, 2), UpdateResult::Unchanged);
        assert!(orders.is_suspended("a"));
        assert_eq!(orders.remove(&hold("a"), false), UpdateResult::Changed(Change::Removed));
        assert!(!orders.is_suspended("a"));
        assert_eq!(orders.remove(&hold("a"), true), UpdateResult::Unchanged);
    }

    #[test]
    fn an_id_that_was_never_listed_is_owed_a_no() {
        let mut orders = Overrides::default();
        assert_eq!(orders.add(hold("a"), false, 1), UpdateResult::Rejected(OverrideError::NeverListed));
        assert_eq!(orders.remove(&hold("a"), false), UpdateResult::Rejected(OverrideError::NeverListed));
        assert!(orders.is_empty());
    }

    #[test]
    fn orders_are_bounded_and_outlast_the_process() {
        let mut orders = Overrides::default();
        for i in 0..MAX_OVERRIDES {
            assert_eq!(
                orders.add(hold(&format!("e{i}")), true, i as u64),
                UpdateResult::Changed(Change::Added)
            );
        }
        assert_eq!(orders.add(hold("more"), true, 1), UpdateResult::Rejected(OverrideError::TooMany));
        assert_eq!(Overrides::from_json(&orders.to_json()).unwrap(), orders);
        assert!(matches!(
            Overrides::from_json(b"{\"version\":9,\"orders\":[]}"),
            Err(OverrideFileError::UnsupportedVersion(9))
        ));
        assert!(matches!(Overrides::from_json(b"{"), Err(OverrideFileError::Unreadable(_))));
    }
}
