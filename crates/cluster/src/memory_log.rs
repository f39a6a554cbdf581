//! What the library reads of the log while it runs: all that is on record, in memory.

use crate::raft_types::{Conf, Entry, HardState, Snapshot};
use crate::store::Record;
use raft::prelude::{Entry as LibEntry, Snapshot as LibSnapshot};
use raft::storage::{GetEntriesContext, RaftState, Storage};
use raft::{Error, StorageError};
use std::cell::Cell;

/// Bytes of an entry beside what it says.
pub const ENTRY: u64 = 16;

/// The log after its last snapshot.
#[derive(Debug, Default)]
pub struct MemoryLog {
    /// What a voter must not forget.
    pub hard: HardState,
    /// The members now.
    pub conf: Conf,
    /// The log up to here.
    pub snapshot: Snapshot,
    /// All after it, without a gap.
    entries: Vec<Entry>,
    /// Somebody needs a snapshot that is newer than the one at hand.
    pub wanted: Cell<bool>,
    /// One that was made for that.
    pub made: Option<Snapshot>,
}

impl MemoryLog {
    /// What was on record, in its order.
    pub fn of(records: impl IntoIterator<Item = Record>) -> MemoryLog {
        let mut memory = MemoryLog::default();
        records.into_iter().for_each(|record| memory.take(record));
        memory.conf = memory.snapshot.conf.clone();
        // What is agreed lies within the log, whatever a record that was cut off has lost.
        memory.hard.commit = memory.hard.commit.clamp(memory.snapshot.index, memory.last());
        memory
    }

    /// Takes one record; an entry takes the place of all from its own place on.
    pub fn take(&mut self, record: Record) {
        match record {
            Record::HardState(hard) => self.hard = hard,
            Record::Snapshot(snapshot) if snapshot.index >= self.snapshot.index => {
                // What lies behind it goes on from it only where the log is the same there: a leader's snapshot that came to
                // a log of another history takes the place of all of it.
                if self.term_at(snapshot.index) == Some(snapshot.term) {
                    self.entries.retain(|entry| entry.index > snapshot.index);
                } else {
                    self.entries.clear();
                }
                self.hard.commit = self.hard.commit.max(snapshot.index);
                self.hard.term = self.hard.term.max(snapshot.term);
                self.snapshot = snapshot;
            }
            Record::Snapshot(_) => {}
            Record::Entry(entry) => {
                let Some(at) = entry.index.checked_sub(self.snapshot.index + 1) else { return };
                if at as usize <= self.entries.len() {
                    self.entries.truncate(at as usize);
                    self.entries.push(entry);
                }
            }
        }
    }

    /// A snapshot that came from a leader, as [`MemoryLog::take`] has it; the members are those that it knows.
    pub fn replace(&mut self, snapshot: Snapshot) {
        self.conf = snapshot.conf.clone();
        self.take(Record::Snapshot(snapshot));
    }

    /// The last place.
    pub fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Entries since the snapshot.
    pub fn length(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The whole as records: what a new file has to hold.
    pub fn records(&self) -> Vec<Record> {
        let first = [Record::Snapshot(self.snapshot.clone()), Record::HardState(self.hard)];
        first.into_iter().chain(self.entries.iter().cloned().map(Record::Entry)).collect()
    }

    /// The term of the entry at a place.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entries.get(index.checked_sub(self.snapshot.index + 1)? as usize).map(|entry| entry.term)
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.lib(), self.conf.lib()))
    }

    fn entries(
        &self, low: u64, high: u64, most: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<LibEntry>> {
        let (first, last) = (self.snapshot.index + 1, self.last());
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > last + 1 || low > high {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = most.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let asked = &self.entries[(low - first) as usize..(high - first) as usize];
        let fit = asked.iter().take_while(|entry| {
            let before = bytes;
            bytes += ENTRY + entry.data.len() as u64 + entry.change.as_ref().map_or(0, Vec::len) as u64;
            // One goes in any case.
            before == 0 || bytes <= most
        });
        Ok(fit.map(Entry::lib).collect())
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
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, to: u64) -> raft::Result<LibSnapshot> {
        // One that does not know its receiver as a member would be refused there.
        let knows = |made: &Snapshot| made.conf.voters.contains(&to) || made.conf.learners.contains(&to);
        match &self.made {
            Some(made) if made.index >= least.max(self.snapshot.index) && knows(made) => Ok(made.lib()),
            _ => {
                self.wanted.set(true);
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
    fn what_is_on_record_is_read_in_its_order() {
        let snapshot = Snapshot { index: 2, term: 1, ..Snapshot::default() };
        let hard = Record::HardState(HardState { term: 4, vote: 1, commit: 9 });
        let records = [Record::Snapshot(snapshot.clone()), entry(3, 1), entry(4, 1), hard, entry(4, 2)];
        let memory = MemoryLog::of(records);
        assert_eq!((memory.last(), memory.term_at(4), memory.hard.commit), (4, Some(2), 4));
        // One with a gap before it was never answered for.
        let gap = MemoryLog::of([Record::Snapshot(snapshot), entry(5, 1)]);
        assert_eq!(gap.last(), 2);
        assert_eq!(MemoryLog::of(memory.records()).records(), memory.records());
    }

    #[test]
    fn a_leaders_snapshot_leaves_nothing_of_another_history() {
        // The same in the next life as in this one: what stands behind it on record went on from other entries.
        let records = [entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)];
        let foreign = Snapshot { index: 2, term: 2, ..Snapshot::default() };
        let mut memory = MemoryLog::of(records.clone());
        memory.replace(foreign.clone());
        let next = MemoryLog::of(records.into_iter().chain([Record::Snapshot(foreign)]));
        assert_eq!((memory.last(), next.last()), (2, 2));
    }

    #[test]
    fn a_snapshot_takes_the_place_of_what_lies_before_it() {
        let mut memory = MemoryLog::of([entry(1, 1), entry(2, 1), entry(3, 1)]);
        memory.take(Record::Snapshot(Snapshot { index: 2, term: 1, ..Snapshot::default() }));
        assert_eq!(
            (memory.length(), memory.last(), memory.term_at(3), memory.term_at(1)),
            (1, 3, Some(1), None)
        );
        memory.take(Record::Snapshot(Snapshot { index: 1, term: 1, ..Snapshot::default() }));
        assert_eq!(memory.snapshot.index, 2);
        memory.take(Record::Snapshot(Snapshot { index: 9, term: 2, ..Snapshot::default() }));
        assert_eq!((memory.length(), memory.last()), (0, 9));
    }
}
