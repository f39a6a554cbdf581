//! The log as the Raft library reads it: everything that is persisted, held in memory.

use crate::raft_types::{ConfState, Entry, HardState, Snapshot};
use crate::store::Record;
use raft::prelude::{Entry as LibEntry, Snapshot as LibSnapshot};
use raft::storage::{GetEntriesContext, RaftState, Storage};
use raft::{Error, StorageError};
use std::cell::Cell;

/// Bytes counted for an entry besides its data.
pub const ENTRY_OVERHEAD_BYTES: u64 = 16;

/// The last snapshot and the log after it.
#[derive(Debug, Default)]
pub struct MemoryLog {
    /// The term, vote and commit index.
    pub hard_state: HardState,
    /// The current voters and learners.
    pub conf_state: ConfState,
    /// The state up to the last compaction.
    pub snapshot: Snapshot,
    /// All entries after the snapshot, without a gap.
    entries: Vec<Entry>,
    /// Set when a member needs a newer snapshot than the prepared one.
    pub snapshot_requested: Cell<bool>,
    /// The snapshot prepared for sending.
    pub prepared_snapshot: Option<Snapshot>,
}

impl MemoryLog {
    /// Rebuilds the log from its persisted records, in the order in which they were written.
    pub fn from_records(records: impl IntoIterator<Item = Record>) -> MemoryLog {
        let mut log = MemoryLog::default();
        records.into_iter().for_each(|record| log.apply(record));
        log.conf_state = log.snapshot.conf_state.clone();
        // The commit index must lie within the log, even if a torn record at the end was lost.
        log.hard_state.commit = log.hard_state.commit.clamp(log.snapshot.index, log.last_entry_index());
        log
    }

    /// Applies one record. An entry replaces all entries from its own index on.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Snapshot(snapshot) if snapshot.index >= self.snapshot.index => {
                // Entries after the snapshot stay only if the log agrees with it at its index. Otherwise the snapshot
                // came from a leader with another history, and replaces the whole log.
                if self.term_at(snapshot.index) == Some(snapshot.term) {
                    self.entries.retain(|entry| entry.index > snapshot.index);
                } else {
                    self.entries.clear();
                }
                self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
                self.hard_state.term = self.hard_state.term.max(snapshot.term);
                self.snapshot = snapshot;
            }
            Record::Snapshot(_) => {}
            Record::Entry(entry) => {
                let Some(position) = entry.index.checked_sub(self.snapshot.index + 1) else { return };
                if position as usize <= self.entries.len() {
                    self.entries.truncate(position as usize);
                    self.entries.push(entry);
                }
            }
        }
    }

    /// Installs a snapshot from a leader, by the rules of [`MemoryLog::apply`], together with its members.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.conf_state = snapshot.conf_state.clone();
        self.apply(Record::Snapshot(snapshot));
    }

    /// The index of the last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The number of entries since the snapshot.
    pub fn entry_count(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The whole log as records: the content of a compacted file.
    pub fn to_records(&self) -> Vec<Record> {
        let first = [Record::Snapshot(self.snapshot.clone()), Record::HardState(self.hard_state)];
        first.into_iter().chain(self.entries.iter().cloned().map(Record::Entry)).collect()
    }

    /// The term of the entry at an index.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entries.get(index.checked_sub(self.snapshot.index + 1)? as usize).map(|entry| entry.term)
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.to_lib(), self.conf_state.to_lib()))
    }

    fn entries(
        &self, low: u64, high: u64, max_bytes: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<LibEntry>> {
        let (first, last) = (self.snapshot.index + 1, self.last_entry_index());
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > last + 1 || low > high {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let max_bytes = max_bytes.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let requested = &self.entries[(low - first) as usize..(high - first) as usize];
        let fitting = requested.iter().take_while(|entry| {
            let bytes_before = bytes;
            bytes += ENTRY_OVERHEAD_BYTES
                + entry.data.len() as u64
                + entry.change.as_ref().map_or(0, Vec::len) as u64;
            // At least one entry is returned, whatever its size.
            bytes_before == 0 || bytes <= max_bytes
        });
        Ok(fitting.map(Entry::to_lib).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.term_at(index).ok_or(Error::Store(match index < self.snapshot.index {
            true => StorageError::Compacted,
            false => StorageError::Unavailable,
        }))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, min_index: u64, to: u64) -> raft::Result<LibSnapshot> {
        // A member rejects a snapshot whose members do not include it.
        let includes_receiver = |snapshot: &Snapshot| {
            snapshot.conf_state.voters.contains(&to) || snapshot.conf_state.learners.contains(&to)
        };
        match &self.prepared_snapshot {
            Some(prepared)
                if prepared.index >= min_index.max(self.snapshot.index) && includes_receiver(prepared) =>
            {
                Ok(prepared.to_lib())
            }
            _ => {
                self.snapshot_requested.set(true);
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> Record {
        Record::Entry(Entry { term, index, change: None, data: vec![] })
    }

    #[test]
    fn records_are_applied_in_their_order() {
        let snapshot = Snapshot { index: 2, term: 1, ..Snapshot::default() };
        let hard_state = Record::HardState(HardState { term: 4, vote: 1, commit: 9 });
        let records = [Record::Snapshot(snapshot.clone()), entry(3, 1), entry(4, 1), hard_state, entry(4, 2)];
        let log = MemoryLog::from_records(records);
        assert_eq!((log.last_entry_index(), log.term_at(4), log.hard_state.commit), (4, Some(2), 4));
        // An entry after a gap was never acknowledged.
        let with_gap = MemoryLog::from_records([Record::Snapshot(snapshot), entry(5, 1)]);
        assert_eq!(with_gap.last_entry_index(), 2);
        assert_eq!(MemoryLog::from_records(log.to_records()).to_records(), log.to_records());
    }

    #[test]
    fn a_leaders_snapshot_removes_entries_of_another_history() {
        // The same holds in this process and after a restart: the entries behind the snapshot follow other entries.
        let records = [entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)];
        let conflicting = Snapshot { index: 2, term: 2, ..Snapshot::default() };
        let mut log = MemoryLog::from_records(records.clone());
        log.install_snapshot(conflicting.clone());
        let restarted = MemoryLog::from_records(records.into_iter().chain([Record::Snapshot(conflicting)]));
        assert_eq!((log.last_entry_index(), restarted.last_entry_index()), (2, 2));
    }

    #[test]
    fn a_snapshot_replaces_the_entries_before_it() {
        let mut log = MemoryLog::from_records([entry(1, 1), entry(2, 1), entry(3, 1)]);
        log.apply(Record::Snapshot(Snapshot { index: 2, term: 1, ..Snapshot::default() }));
        assert_eq!(
            (log.entry_count(), log.last_entry_index(), log.term_at(3), log.term_at(1)),
            (1, 3, Some(1), None)
        );
        log.apply(Record::Snapshot(Snapshot { index: 1, term: 1, ..Snapshot::default() }));
        assert_eq!(log.snapshot.index, 2);
        log.apply(Record::Snapshot(Snapshot { index: 9, term: 2, ..Snapshot::default() }));
        assert_eq!((log.entry_count(), log.last_entry_index()), (0, 9));
    }
}
