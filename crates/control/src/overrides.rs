//! Operator overrides, which stay in force until they are removed.
//!
//! Free of I/O. Each update returns an [`UpdateResult`], which says what has to be saved before the operator is
//! answered. Updates are idempotent: adding an override twice is adding it once, and one removal ends it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most overrides in force at a time. Each is an entry in a small file.
pub const MAX_OVERRIDES: usize = 128;

/// What an override does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OverrideKind {
    /// The endpoint gets no new calls.
    #[serde(rename = "hold")]
    Suspend,
}

/// Identifies an override: its kind, and the endpoint's id in discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OverrideKey {
    /// What the override does.
    pub kind: OverrideKind,
    /// The endpoint that it applies to.
    #[serde(rename = "id")]
    pub endpoint_id: String,
}

/// A Unix time in milliseconds.
pub type UnixMillis = u64;

/// How the set of overrides has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The override is in force from now on.
    Added,
    /// The override is no longer in force.
    Removed,
}

/// The result of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// Nothing has changed; the update succeeds.
    Unchanged,
    /// The set has changed. It has to be saved before success is reported, and is in force even if saving fails.
    Changed(Change),
    /// The update fails.
    Rejected(OverrideError),
}

/// Why an update is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// Discovery has never listed this id.
    #[error("no endpoint of this id was ever listed")]
    NeverListed,
    /// [`MAX_OVERRIDES`] are in force.
    #[error("128 orders are in force, the most; call one back first")]
    TooMany,
}

/// The overrides in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    active: BTreeMap<OverrideKey, UnixMillis>,
}

impl Overrides {
    /// Whether the endpoint is suspended.
    pub fn is_suspended(&self, id: &str) -> bool {
        self.active.keys().any(|key| key.kind == OverrideKind::Suspend && key.endpoint_id == id)
    }

    /// The ids of the suspended endpoints, each with the time of its suspension.
    pub fn suspended(&self) -> impl Iterator<Item = (&str, UnixMillis)> {
        self.active.iter().map(|(key, since)| (&*key.endpoint_id, *since))
    }

    /// The number of overrides in force.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether no override is in force.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Adds an override. `ever_listed`: whether discovery lists the endpoint or has listed it before.
    pub fn add(&mut self, key: OverrideKey, ever_listed: bool, now: UnixMillis) -> UpdateResult {
        if self.active.contains_key(&key) {
            return UpdateResult::Unchanged;
        }
        if !ever_listed {
            return UpdateResult::Rejected(OverrideError::NeverListed);
        }
        if self.active.len() >= MAX_OVERRIDES {
            return UpdateResult::Rejected(OverrideError::TooMany);
        }
        self.active.insert(key, now);
        UpdateResult::Changed(Change::Added)
    }

    /// Removes an override. Removing one that is not in force succeeds if discovery has ever listed the endpoint.
    pub fn remove(&mut self, key: &OverrideKey, ever_listed: bool) -> UpdateResult {
        match self.active.remove(key) {
            Some(_) => UpdateResult::Changed(Change::Removed),
            None if ever_listed => UpdateResult::Unchanged,
            None => UpdateResult::Rejected(OverrideError::NeverListed),
        }
    }

    /// The overrides as the contents of the override file.
    pub fn to_json(&self) -> Vec<u8> {
        let entry = |(key, since): (&OverrideKey, &UnixMillis)| Entry { key: key.clone(), since_ms: *since };
        let file =
            FileContents { version: FORMAT_VERSION, overrides: self.active.iter().map(entry).collect() };
        serde_json::to_vec(&file).unwrap_or_default()
    }

    /// Reads the contents of an override file.
    ///
    /// # Errors
    /// Where the contents are invalid or of a newer version.
    pub fn from_json(bytes: &[u8]) -> Result<Overrides, OverrideFileError> {
        let file: FileContents = serde_json::from_slice(bytes)?;
        if file.version > FORMAT_VERSION {
            return Err(OverrideFileError::UnsupportedVersion(file.version));
        }
        let active = file.overrides.into_iter().map(|entry| (entry.key, entry.since_ms)).collect();
        Ok(Overrides { active })
    }
}

/// The version of the file format.
const FORMAT_VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct FileContents {
    version: u32,
    #[serde(rename = "orders")]
    overrides: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    key: OverrideKey,
    since_ms: UnixMillis,
}

/// Why the contents of an override file are rejected.
#[derive(Debug, thiserror::Error)]
pub enum OverrideFileError {
    /// The contents can't be parsed.
    #[error("invalid override file: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A newer version of the program wrote the file.
    #[error("override file has version {0}, which this program does not support")]
    UnsupportedVersion(u32),
}

#[cfg(test)]
mod tests {
    use super::*;

    fn suspend_key(id: &str) -> OverrideKey {
        OverrideKey { kind: OverrideKind::Suspend, endpoint_id: id.into() }
    }

    #[test]
    fn an_override_is_in_force_until_it_is_removed_once() {
        let mut overrides = Overrides::default();
        assert_eq!(overrides.add(suspend_key("a"), true, 1), UpdateResult::Changed(Change::Added));
        // Adding it again succeeds, even while discovery does not list the endpoint.
        assert_eq!(overrides.add(suspend_key("a"), false, 2), UpdateResult::Unchanged);
        assert!(overrides.is_suspended("a"));
        assert_eq!(overrides.remove(&suspend_key("a"), false), UpdateResult::Changed(Change::Removed));
        assert!(!overrides.is_suspended("a"));
        assert_eq!(overrides.remove(&suspend_key("a"), true), UpdateResult::Unchanged);
    }

    #[test]
    fn rejects_an_id_that_was_never_listed() {
        let mut overrides = Overrides::default();
        assert_eq!(
            overrides.add(suspend_key("a"), false, 1),
            UpdateResult::Rejected(OverrideError::NeverListed)
        );
        assert_eq!(
            overrides.remove(&suspend_key("a"), false),
            UpdateResult::Rejected(OverrideError::NeverListed)
        );
        assert!(overrides.is_empty());
    }

    #[test]
    fn overrides_are_bounded_and_round_trip_through_the_file_format() {
        let mut overrides = Overrides::default();
        for i in 0..MAX_OVERRIDES {
            assert_eq!(
                overrides.add(suspend_key(&format!("e{i}")), true, i as u64),
                UpdateResult::Changed(Change::Added)
            );
        }
        assert_eq!(
            overrides.add(suspend_key("more"), true, 1),
            UpdateResult::Rejected(OverrideError::TooMany)
        );
        assert_eq!(Overrides::from_json(&overrides.to_json()).unwrap(), overrides);
        assert!(matches!(
            Overrides::from_json(b"{\"version\":9,\"orders\":[]}"),
            Err(OverrideFileError::UnsupportedVersion(9))
        ));
        assert!(matches!(Overrides::from_json(b"{"), Err(OverrideFileError::Unreadable(_))));
    }
}
