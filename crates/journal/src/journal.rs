//! The journal itself: segments on a file system, an in-memory index, and the operations that keep the two in step.

use crate::compaction::{self, Admission, Limits, Usage, round_up_to_block};
use crate::files::{Disk, Files};
use crate::format::{self, AcceptedMessage, AttemptStart, Header, Notice, Progress, Record, UnixMicros};
use crate::index::{self, JournaledMessage, LiveRecord, MessageIndex};
use crate::legacy;
use crate::recent_outcomes::{FinalOutcome, RecentOutcomes};
use crate::scan::{ScanResult, ScannedSegment, scan};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;

/// What a record has to survive before its effect may take place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process: written data is in the operating system's cache.
    #[default]
    None,
    /// A crash of the machine, for records older than the interval at which the caller calls [`Journal::sync`].
    Interval,
    /// A crash of the machine: no record counts as stored before [`Journal::sync`] has returned.
    Always,
}

/// Options for opening a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Sizes; see [`Limits::for_budget`].
    pub limits: Limits,
    /// See [`Durability`].
    pub durability: Durability,
    /// The current time.
    pub now: UnixMicros,
    /// Identity of a journal that is created here: a number that no other journal has. An existing journal keeps its
    /// own.
    pub identity: u128,
    /// How many final outcomes to remember for duplicate detection. Of earlier processes, only those are known whose
    /// records still exist.
    pub remembered_outcomes: usize,
}

/// Why a journal can't be opened. The directory is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A newer program wrote it.
    #[error("{file}: written by a newer program: format {version}, this one supports {}", format::VERSION)]
    Newer {
        /// Name of the file.
        file: String,
        /// Its format version.
        version: u16,
    },
    /// There is a journal of the legacy format beside one of the current format: an older program has run in the
    /// directory since. Both may hold open messages.
    #[error(
        "{}: a journal in the legacy format exists beside the current one; move one of them away",
        legacy::FILE_NAME
    )]
    TwoFormats,
    /// The file system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Damage that a crash can't have caused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// Bytes that are not a valid record, though valid data follows or should follow.
    #[error("segment {segment}: {length} bytes at offset {offset} are no record")]
    InvalidBytes {
        /// Number of the segment.
        segment: u64,
        /// Offset of the first invalid byte.
        offset: u64,
        /// Number of invalid bytes.
        length: u64,
    },
    /// A segment is shorter than a later segment recorded.
    #[error("segment {segment}: the file has {length} bytes, a later segment lists {listed_length}")]
    Truncated {
        /// Number of the segment.
        segment: u64,
        /// Its length in bytes.
        length: u64,
        /// The recorded length in bytes.
        listed_length: u64,
    },
    /// A segment that a later segment lists does not exist.
    #[error("segment {segment} is missing")]
    MissingSegment {
        /// Number of the segment.
        segment: u64,
    },
    /// A file with a segment's name that is not a segment of this journal. It is left unchanged.
    #[error("{file}: {problem}")]
    ForeignFile {
        /// Name of the file.
        file: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// What was found when a journal was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Bytes at the end of the last segment that are an incomplete record. It was never acknowledged and is ignored.
    pub torn_bytes: u64,
    /// All other damage.
    pub damage: Vec<Damage>,
    /// Number of messages that were migrated from the legacy format, if there was a journal of that format.
    pub migrated_messages: Option<usize>,
    /// The latest timestamp of any record. The wall clock may have been set back since.
    pub latest_timestamp: UnixMicros,
}

/// Counters since the journal was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes written, including copies.
    pub bytes_written: u64,
    /// Bytes of copies made by compaction.
    pub bytes_copied: u64,
    /// Segments removed by compaction.
    pub segments_removed: u64,
    /// Messages rejected because the journal was full.
    pub rejected_messages: u64,
    /// Failed file-system calls.
    pub failed_calls: u64,
}

/// The segment that records are appended to.
struct ActiveSegment<H> {
    segment: u64,
    handle: H,
    /// Bytes of its header and its first record.
    preamble_length: u64,
    /// Bytes of complete records, including the header.
    length: u64,
    /// Length of the file.
    bytes_on_disk: u64,
    /// The file may have bytes beyond `length` that could not be truncated, so nothing more is appended to it.
    broken: bool,
    /// Whether data was written since the last sync.
    unsynced: bool,
}

/// Valid length and file length of a sealed segment.
#[derive(Clone, Copy)]
struct SealedFile {
    length: u64,
    bytes_on_disk: u64,
}

/// Changes that are in the index and could not be written yet.
#[derive(Default)]
struct PendingRecords {
    /// Messages whose delivery state has changed.
    messages: BTreeSet<u64>,
    /// Messages that were closed, with the segments of their last `Accepted` records.
    closed: Vec<(u64, u64)>,
    /// Destinations whose outage started or ended.
    outages: BTreeSet<u32>,
}

impl PendingRecords {
    fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.closed.is_empty() && self.outages.is_empty()
    }
}

/// A durable log of open messages with an in-memory index.
pub struct Journal<F: Files = Disk> {
    files: F,
    limits: Limits,
    durability: Durability,
    identity: u128,
    index: MessageIndex,
    sealed: BTreeMap<u64, SealedFile>,
    active: Option<ActiveSegment<F::Handle>>,
    /// Number of the next segment.
    next_segment: u64,
    /// The segment that is being compacted, and whether its removal has been recorded.
    compacting: Option<(u64, bool)>,
    pending: PendingRecords,
    /// Bytes of files that are not part of the journal.
    foreign_bytes: u64,
    opened_at: UnixMicros,
    counters: Counters,
    buffer: Vec<u8>,
}

/// File name of a segment.
pub fn file_name(segment: u64) -> String {
    format!("{segment:016x}.journal")
}

/// The number of the segment with this file name, if it is one.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".journal").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok().filter(|number| file_name(*number) == name)
}

impl Journal<Disk> {
    /// Opens the journal in a directory, or creates one.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(directory: &Path, options: Options) -> Result<(Journal<Disk>, Recovery), OpenError> {
        Journal::recover(Disk::new(directory), options)
    }
}

impl<F: Files> Journal<F> {
    /// Opens the journal in a directory, or creates one. Until the first new segment is complete, only obsolete files
    /// are changed, so a crash during recovery loses nothing.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn recover(files: F, options: Options) -> Result<(Journal<F>, Recovery), OpenError> {
        let Options { limits, durability, now, identity, remembered_outcomes } = options;
        let mut journal = Journal {
            files,
            limits,
            durability,
            identity,
            index: MessageIndex::new(remembered_outcomes),
            sealed: BTreeMap::new(),
            active: None,
            next_segment: 1,
            compacting: None,
            pending: PendingRecords::default(),
            foreign_bytes: 0,
            opened_at: now,
            counters: Counters::default(),
            buffer: Vec::new(),
        };
        let scan = scan(&journal.files, remembered_outcomes)?;
        let ScanResult {
            identity,
            segments,
            index,
            recovery,
            foreign_bytes,
            obsolete_files,
            next_segment,
            legacy,
        } = scan;
        (journal.identity, journal.foreign_bytes, journal.next_segment) =
            (identity.unwrap_or(journal.identity), foreign_bytes, next_segment);
        let mut recovery = recovery;
        for name in obsolete_files {
            journal.files.remove(&name)?;
        }
        if let Some(legacy) = legacy {
            journal.migrate_legacy(legacy)?;
            recovery.latest_timestamp = journal.index.latest_timestamp();
            return Ok((journal, recovery));
        }
        journal.index = index;
        journal.sealed = segments
            .into_iter()
            .map(|(number, ScannedSegment { length, bytes_on_disk, .. })| {
                (number, SealedFile { length, bytes_on_disk })
            })
            .collect();
        journal.index.resolve_in_flight();
        journal.start_segment()?;
        for number in journal.index.take_assumed_run() {
            let Some(progress) = journal.index.get(number).map(JournaledMessage::progress) else { continue };
            journal.append_tracked(&[Record::Progress { number, progress }])?;
        }
        Ok((journal, recovery))
    }

    /// Copies the content of a legacy journal, then removes its files.
    fn migrate_legacy(&mut self, legacy: legacy::LegacyJournal) -> io::Result<()> {
        self.start_segment()?;
        let messages =
            legacy.messages.into_iter().map(|(number, (message, progress))| (number, message, progress));
        self.import(legacy.outages.into_iter(), messages)?;
        self.files.remove(legacy::TEMP_FILE_NAME)?;
        self.files.remove(legacy::FILE_NAME)?;
        self.index.resolve_in_flight();
        Ok(())
    }

    /// Writes the content of another journal. It is synced to disk when this returns.
    pub(crate) fn import(
        &mut self, outages: impl Iterator<Item = u32>,
        messages: impl Iterator<Item = (u64, AcceptedMessage, Progress)>,
    ) -> io::Result<()> {
        for destination in outages {
            let record = Record::Outage { destination, ongoing: true };
            self.append(std::slice::from_ref(&record))?;
            self.index.apply(&record);
        }
        for (number, message, progress) in messages {
            let segment = self.append(&[index::accepted_record(number, &message, Some(progress))])?;
            self.index.insert(segment, number, message, Some(progress));
        }
        if let Some(active) = &self.active {
            self.files.sync(&active.handle)?;
        }
        self.files.sync_directory()
    }

    /// An open message by its number.
    pub fn get(&self, number: u64) -> Option<&JournaledMessage> {
        self.index.get(number)
    }

    /// The number of the open message with this id.
    pub fn number_by_id(&self, id: &str) -> Option<u64> {
        self.index.number_by_id(id)
    }

    /// The remembered final outcomes, for the process that takes over.
    pub fn recent_outcomes(&self) -> &RecentOutcomes {
        self.index.recent_outcomes()
    }

    /// Takes over the final outcomes that the previous process remembered.
    pub fn restore_recent_outcomes(&mut self, recent_outcomes: RecentOutcomes) {
        self.index.restore_recent_outcomes(recent_outcomes);
    }

    /// The final outcome of a message that is submitted again, if it is still remembered.
    pub fn final_outcome_of(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.index.final_outcome_of(message)
    }

    /// All open messages in the order of acceptance.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &JournaledMessage)> {
        self.index.iter()
    }

    /// Destinations that were unavailable or recovering according to the last records.
    pub fn outages(&self) -> impl Iterator<Item = u32> {
        self.index.outages().iter().copied()
    }

    /// The latest known quota level of each tenant.
    pub fn quota_levels(&self) -> impl Iterator<Item = format::QuotaLevel> {
        self.index.quota_levels()
    }

    /// Number of messages that are still to be delivered.
    pub fn open_messages(&self) -> usize {
        self.index.len() - self.index.pending_notices().len()
    }

    /// The pending notices, whether or not they are recorded.
    pub fn pending_notices(&self) -> impl Iterator<Item = u64> {
        self.index.pending_notices().iter().copied()
    }

    /// The first `max_count` notices that may be sent now, without those that `is_held` selects. A notice has to be recorded before it is sent, or the next
    /// process could still deliver the message; after the deadline it would not, so then no record is needed.
    pub fn due_notices(
        &self, now: UnixMicros, max_count: usize, is_held: impl Fn(u64) -> bool,
    ) -> Vec<(u64, String, Notice)> {
        let journaled = self
            .index
            .pending_notices()
            .iter()
            .filter(|number| !is_held(**number))
            .filter_map(|number| Some((*number, self.index.get(*number)?)));
        let sendable = journaled.filter(|(number, journaled)| {
            journaled.message.deadline <= now || !self.pending.messages.contains(number)
        });
        let notices = sendable.filter_map(|(number, journaled)| {
            Some((number, journaled.message.id.clone(), journaled.notice?))
        });
        notices.take(max_count).collect()
    }

    /// Counters since the journal was opened.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// All segments including the active one: number, length in bytes, and live bytes.
    pub fn segments(&self) -> Vec<(u64, u64, u64)> {
        let sealed = self.sealed.iter().map(|(segment, file)| (*segment, file.length));
        let active = self.active.iter().map(|active| (active.segment, active.length));
        sealed
            .chain(active)
            .map(|(segment, length)| (segment, length, self.index.live_bytes(segment)))
            .collect()
    }

    /// Bytes of all files, each rounded up to whole blocks.
    pub fn bytes_on_disk(&self) -> u64 {
        let sealed: u64 = self.sealed.values().map(|file| round_up_to_block(file.bytes_on_disk)).sum();
        sealed
            + self.active.iter().map(|active| round_up_to_block(active.bytes_on_disk)).sum::<u64>()
            + self.foreign_bytes
    }

    /// Whether all changes have been written.
    pub fn is_fully_written(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of messages and notices that have not ended.
    pub fn entry_count(&self) -> usize {
        self.index.len()
    }

    /// Upper bound on the bytes that all open messages and notices need in the files.
    pub fn live_bytes(&self) -> u64 {
        self.usage().max_live_bytes
    }

    fn usage(&self) -> Usage {
        Usage {
            bytes_on_disk: self.bytes_on_disk(),
            max_live_bytes: self.index.max_bytes() + self.foreign_bytes,
        }
    }

    /// Accepts a message and returns its number, or `None` if the journal is full.
    ///
    /// # Errors
    /// If its record could not be written; the message is not accepted then.
    pub fn accept(&mut self, message: &AcceptedMessage) -> io::Result<Option<u64>> {
        self.flush_pending()?;
        let max_size = index::max_message_size(message);
        let fits = match compaction::admit(&self.limits, self.usage(), max_size, max_size) {
            Admission::Fits => true,
            // One step may free enough. More than one would delay all other work.
            Admission::AfterCompaction => {
                self.compact_step()?;
                compaction::admit(&self.limits, self.usage(), max_size, max_size) == Admission::Fits
            }
            Admission::Full => false,
        };
        if !fits {
            self.counters.rejected_messages += 1;
            return Ok(None);
        }
        let number = self.index.next_number();
        let segment = self.append(&[index::accepted_record(number, message, None)])?;
        self.index.insert(segment, number, message.clone(), None);
        Ok(Some(number))
    }

    /// Records that an attempt is about to be sent.
    ///
    /// # Errors
    /// If the record could not be written. The attempt must not be sent, and counts as never started.
    pub fn attempt_started(&mut self, number: u64, start: AttemptStart) -> io::Result<()> {
        self.compact_if_reserve_used();
        // Before the index changes: the pending records would describe this message as if the attempt had started.
        self.flush_pending()?;
        let previous = self.index.get(number).map(JournaledMessage::progress);
        let record = Record::AttemptStarted { number, start };
        self.index.apply(&record);
        let written = self.append_event(&record);
        if let Some(previous) = previous.filter(|_| written.is_err()) {
            self.index.apply(&Record::Progress { number, progress: previous });
        }
        written
    }

    /// Notes an attempt that is sent although its record could not be written, which is allowed where a repeat does no
    /// harm. The record is written before any other.
    pub fn attempt_started_unrecorded(&mut self, number: u64, start: AttemptStart) {
        self.index.apply(&Record::AttemptStarted { number, start });
        self.pending.messages.insert(number);
    }

    /// Records that an attempt has ended without delivering the message.
    ///
    /// # Errors
    /// If the record could not be written yet. It stays pending and is written before any other.
    pub fn attempt_ended(&mut self, number: u64, may_have_run: bool) -> io::Result<()> {
        self.record_event(Record::AttemptEnded { number, may_have_run })
    }

    /// Records that the message ended undelivered and that the platform has to be notified.
    ///
    /// # Errors
    /// As for [`attempt_ended`](Journal::attempt_ended).
    pub fn notice_due(&mut self, number: u64, notice: Notice) -> io::Result<()> {
        self.record_event(Record::NoticeDue { number, notice })
    }

    /// Records that the message is finished.
    ///
    /// # Errors
    /// As for [`attempt_ended`](Journal::attempt_ended).
    pub fn close(&mut self, number: u64) -> io::Result<()> {
        let Some(base_segment) = self.index.base_segment(number) else { return Ok(()) };
        self.record_event(Record::Closed { number, base_segment })
    }

    /// Records that a destination is unavailable or still recovering (`ongoing`), or that its outage is over.
    ///
    /// # Errors
    /// As for [`attempt_ended`](Journal::attempt_ended).
    pub fn set_outage(&mut self, destination: u32, ongoing: bool) -> io::Result<()> {
        self.record_event(Record::Outage { destination, ongoing })
    }

    /// Applies and writes an event. It has happened whether or not it can be written, so the index changes in any
    /// case, and an event that could not be written becomes pending.
    fn record_event(&mut self, record: Record<'static>) -> io::Result<()> {
        self.compact_if_reserve_used();
        self.index.apply(&record);
        let written = self.flush_pending().and_then(|()| self.append_event(&record));
        if written.is_err() {
            match record {
                Record::Closed { number, base_segment } => self.pending.closed.push((number, base_segment)),
                Record::Outage { destination, .. } => _ = self.pending.outages.insert(destination),
                Record::AttemptStarted { number, .. }
                | Record::AttemptEnded { number, .. }
                | Record::NoticeDue { number, .. } => {
                    self.pending.messages.insert(number);
                }
                _ => {}
            }
        }
        written
    }

    /// Runs a compaction step if less than two segments of the budget are left, so that records which close messages
    /// make room for themselves. Two segments, because the copies of a segment take space until it is removed.
    fn compact_if_reserve_used(&mut self) {
        if self.bytes_on_disk() + 2 * self.limits.segment_bytes > self.limits.budget_bytes {
            let _ = self.compact_step();
        }
    }

    /// Appends the record of an event that was already applied to the index, or the full progress of its message if the
    /// segment has no earlier record of it.
    fn append_event(&mut self, record: &Record) -> io::Result<()> {
        let segment = self.segment_for(index::estimated_record_size(record))?;
        let (Record::AttemptStarted { number, .. }
        | Record::AttemptEnded { number, .. }
        | Record::NoticeDue { number, .. }) = *record
        else {
            return self.append_tracked(std::slice::from_ref(record));
        };
        match self.index.get(number).map(JournaledMessage::progress) {
            Some(progress) if self.index.needs_full_progress(segment, number) => {
                self.append_tracked(&[Record::Progress { number, progress }])
            }
            _ => self.append_tracked(std::slice::from_ref(record)),
        }
    }

    /// Appends records and registers their location in the index.
    fn append_tracked(&mut self, records: &[Record]) -> io::Result<()> {
        let segment = self.append(records)?;
        records.iter().for_each(|record| self.index.track_location(segment, record));
        Ok(())
    }

    /// Writes the changes that could not be written when they happened.
    ///
    /// # Errors
    /// If they still can't be written.
    pub fn flush_pending(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let PendingRecords { messages, closed, outages } = std::mem::take(&mut self.pending);
        let current = |number: &u64| Some((*number, self.index.get(*number)?.progress()));
        let progress = messages.iter().filter_map(current);
        let mut records: Vec<Record> =
            progress.map(|(number, progress)| Record::Progress { number, progress }).collect();
        records.extend(
            closed.iter().map(|(number, base_segment)| Record::Closed {
                number: *number,
                base_segment: *base_segment,
            }),
        );
        let is_ongoing = |destination: &u32| self.index.outages().contains(destination);
        records.extend(outages.iter().map(|destination| Record::Outage {
            destination: *destination,
            ongoing: is_ongoing(destination),
        }));
        let written = self.append_tracked(&records);
        if written.is_err() {
            self.pending = PendingRecords { messages, closed, outages };
        }
        written
    }

    /// Runs one bounded compaction step: copies live records of one segment, or removes the segment. Returns whether
    /// there was anything to do.
    ///
    /// # Errors
    /// If a file-system call failed; the step can be retried.
    pub fn compact_step(&mut self) -> io::Result<bool> {
        self.flush_pending()?;
        if self.active.as_ref().is_none_or(|active| active.broken) {
            self.start_segment()?;
        }
        let usage = self.usage();
        let compacting = match self.compacting {
            Some(compacting) => compacting,
            None => {
                let sealed = self.sealed.iter().map(|(segment, file)| compaction::SegmentUsage {
                    segment: *segment,
                    length: file.bytes_on_disk,
                    live_bytes: self.index.live_bytes(*segment),
                });
                let next = self
                    .index
                    .partly_compacted()
                    .or_else(|| compaction::next_segment(&self.limits, usage, sealed));
                let Some(next) = next else { return Ok(false) };
                (next, false)
            }
        };
        let segment = compacting.0;
        self.compacting = Some(compacting);
        let max_bytes = compaction::step_bytes(&self.limits, usage);
        if self.index.live_records(segment).next().is_some() {
            let target = self.segment_for(max_bytes)?;
            let (mut copied, mut buffer) = (Vec::new(), std::mem::take(&mut self.buffer));
            buffer.clear();
            for live in self.index.live_records(segment) {
                let journaled =
                    |number: u64| self.index.get(number).map(|journaled| (journaled, journaled.progress()));
                let record = match live {
                    LiveRecord::Message(number) => journaled(number)
                        .map(|(journaled, progress)| journaled.to_record(number, Some(progress))),
                    LiveRecord::Progress(number) => {
                        journaled(number).map(|(_, progress)| Record::Progress { number, progress })
                    }
                    LiveRecord::Tombstone { number, base_segment } => {
                        Some(Record::Closed { number, base_segment })
                    }
                };
                let Some(record) = record else { continue };
                format::append_record(&mut buffer, target, &record)?;
                copied.push(live);
                if buffer.len() as u64 >= max_bytes {
                    break;
                }
            }
            let written = self.append_bytes(&buffer);
            self.counters.bytes_copied += buffer.len() as u64 * u64::from(written.is_ok());
            self.buffer = buffer;
            written?;
            for live in copied {
                match live {
                    LiveRecord::Message(number) => self.index.relocate(target, number),
                    LiveRecord::Progress(number) => {
                        if let Some(progress) = self.index.get(number).map(JournaledMessage::progress) {
                            self.index.track_location(target, &Record::Progress { number, progress });
                        }
                    }
                    LiveRecord::Tombstone { number, base_segment } => {
                        self.index.relocate_tombstone(segment, number, base_segment);
                        self.index.track_location(target, &Record::Closed { number, base_segment });
                    }
                }
            }
        }
        if self.index.live_records(segment).next().is_none() {
            self.remove_compacted(compacting)?;
        }
        Ok(true)
    }

    /// Removes a segment whose live records have all been copied.
    fn remove_compacted(&mut self, (segment, removal_recorded): (u64, bool)) -> io::Result<()> {
        if !removal_recorded {
            self.append(&[Record::SegmentRemoved { segment }])?;
            self.compacting = Some((segment, true));
        }
        if self.durability != Durability::None {
            // The copies must be durable before their originals are deleted.
            self.sync()?;
        }
        let removed = self.files.remove(&file_name(segment));
        self.count_failure(removed)?;
        self.sealed.remove(&segment);
        self.index.remove_segment(segment);
        self.counters.segments_removed += 1;
        self.compacting = None;
        Ok(())
    }

    /// Waits until all written data is durable.
    ///
    /// # Errors
    /// If that is not certain. The segment gets no more records then, as a later successful sync would prove nothing
    /// about the data that failed.
    pub fn sync(&mut self) -> io::Result<()> {
        let Some(active) = self.active.as_mut().filter(|active| active.unsynced) else { return Ok(()) };
        let synced = self.files.sync(&active.handle);
        active.unsynced = false;
        if synced.is_err() {
            // Which of its bytes are durable is unknown, so all of its live records are written again to another
            // segment.
            active.broken = true;
            self.index.compact_first(active.segment);
        }
        self.count_failure(synced)
    }

    /// Counts a failed file-system call and passes its result on.
    fn count_failure<T>(&mut self, result: io::Result<T>) -> io::Result<T> {
        self.counters.failed_calls += u64::from(result.is_err());
        result
    }

    /// Appends records in one write and returns the segment that holds them.
    fn append(&mut self, records: &[Record]) -> io::Result<u64> {
        let size: u64 = records.iter().map(index::estimated_record_size).sum();
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let result = (|| {
            let segment = self.segment_for(size)?;
            for record in records {
                format::append_record(&mut buffer, segment, record)?;
            }
            self.append_bytes(&buffer)?;
            Ok(segment)
        })();
        self.buffer = buffer;
        result
    }

    /// The segment to append `bytes` to. Starts a new one first if the active one is full or broken.
    fn segment_for(&mut self, bytes: u64) -> io::Result<u64> {
        let max_bytes = self.limits.segment_bytes;
        let new_segment_due = self.active.as_ref().is_none_or(|active| {
            // A record that is longer than a segment gets one of its own.
            active.broken || (active.length + bytes > max_bytes && active.length > active.preamble_length)
        });
        if new_segment_due
            && let Err(error) = self.start_segment()
            && self.active.as_ref().is_none_or(|active| active.broken)
        {
            return Err(error);
        }
        self.active.as_ref().map(|active| active.segment).ok_or_else(|| io::Error::other("no active segment"))
    }

    /// Appends bytes to the active segment, all or none.
    fn append_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(active) = &mut self.active else { return Err(io::Error::other("no active segment")) };
        let mut written = 0;
        let mut result = Ok(());
        while written < bytes.len() && result.is_ok() {
            match self.files.append(&mut active.handle, &bytes[written..]) {
                Ok(0) => result = Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) => result = Err(error),
            }
        }
        if result.is_err() {
            self.counters.failed_calls += 1;
            // An incomplete record would hide all records after it.
            if self.files.truncate(&mut active.handle, active.length).is_err() {
                self.counters.failed_calls += 1;
                (active.broken, active.bytes_on_disk) = (true, active.length + written as u64);
            }
            return result;
        }
        active.length += bytes.len() as u64;
        active.bytes_on_disk = active.length;
        active.unsynced = true;
        self.counters.bytes_written += bytes.len() as u64;
        Ok(())
    }

    /// Seals the active segment and starts the next one.
    fn start_segment(&mut self) -> io::Result<()> {
        if self.durability != Durability::None {
            self.sync()?;
        }
        let segment = self.next_segment;
        let active = self.active.iter().map(|active| (active.segment, active.length));
        let sealed = self.sealed.iter().map(|(segment, file)| (*segment, file.length)).chain(active);
        let opening = Record::SegmentOpened {
            sealed: index::sealed_segments(sealed),
            outages: self.index.outages().iter().copied().collect(),
            next_number: self.index.next_number(),
            quota_levels: self.index.quota_levels().collect(),
        };
        let header = Header { identity: self.identity, segment, created_at: self.opened_at };
        let mut bytes = header.to_bytes().to_vec();
        format::append_record(&mut bytes, segment, &opening)?;
        let name = file_name(segment);
        let created = self.files.create(&name);
        let handle = self.count_failure(created)?;
        self.next_segment = segment + 1;
        let (preamble_length, broken) = (bytes.len() as u64, false);
        let active = ActiveSegment {
            segment,
            handle,
            preamble_length,
            length: 0,
            bytes_on_disk: 0,
            broken,
            unsynced: false,
        };
        let previous = self.active.replace(active);
        let written = self.append_bytes(&bytes);
        if let Err(error) = written {
            self.active = previous;
            // Without a complete first record the file is ignored, should it fail to be removed.
            let removed = self.files.remove(&name);
            let _ = self.count_failure(removed);
            return Err(error);
        }
        // The new segment is valid from here on; its first record describes the state before it.
        if let Some(active) = previous {
            self.sealed.insert(
                active.segment,
                SealedFile { length: active.length, bytes_on_disk: active.bytes_on_disk },
            );
        }
        self.index.add_segment(segment);
        if self.durability != Durability::None {
            self.sync()?;
            let synced = self.files.sync_directory();
            self.count_failure(synced)?;
        }
        Ok(())
    }
}
