//! The thin shell: segments on a file system, a ledger in memory, and steps that keep the two together.

use crate::compaction::{self, Admission, Limits, Usage, blocks};
use crate::files::{Disk, Files};
use crate::format::{self, AcceptedMessage, AttemptStart, Header, Notice, Progress, Record, UnixMicros};
use crate::index::{self, Fact, JournaledMessage, MessageIndex};
use crate::old;
use crate::recent_outcomes::{FinalOutcome, RecentOutcomes};
use crate::scan::{ScanResult, Segment, scan};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;

/// What a record has to outlast before its effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// The process. What was written is in the hands of the operating system.
    #[default]
    None,
    /// The machine, for all that is older than the caller's interval: it calls [`Journal::sync`] so often.
    Interval,
    /// The machine: nothing is promised before [`Journal::sync`] has returned.
    Always,
}

/// How a journal is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Sizes; [`Limits::of`] a budget for all files together.
    pub limits: Limits,
    /// See [`Durability`].
    pub durability: Durability,
    /// The time now.
    pub now: UnixMicros,
    /// Names a journal that is begun; any number that no other journal has.
    pub identity: u128,
    /// Messages that are over and are remembered as such, against one that is handed in again: so many of this life,
    /// and of earlier ones those whose records are still there.
    pub remembered_outcomes: usize,
}

/// Why a journal can't be opened. Nothing was changed.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A later program wrote it.
    #[error("{file}: written by a newer program: format {version}, this one knows {}", format::VERSION)]
    Newer {
        /// The file.
        file: String,
        /// Its version.
        version: u16,
    },
    /// A journal of the old format beside one of this: an older program ran here since. Both may hold messages.
    #[error("{}: a journal of an older program beside this one's; one of them must be moved away", old::FILE)]
    Both,
    /// The file system.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Something in the files that no crash leaves behind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// Bytes that are no record, with sound ones after them.
    #[error("segment {segment}: {length} bytes at {offset} are no record")]
    Bad {
        /// The segment.
        segment: u64,
        /// Where they begin.
        offset: u64,
        /// How many.
        length: u64,
    },
    /// A segment is shorter than its successor says.
    #[error("segment {segment}: {length} bytes, {listed} are listed")]
    Cut {
        /// The segment.
        segment: u64,
        /// Its length in bytes.
        length: u64,
        /// The length that is listed.
        listed: u64,
    },
    /// A segment that is listed is not there.
    #[error("segment {segment} is missing")]
    Missing {
        /// The segment.
        segment: u64,
    },
    /// A file that is no segment of this journal in its place. It is left as it is.
    #[error("{file}: {problem}")]
    Foreign {
        /// The file.
        file: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// What was found when a journal was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Bytes at the end of the last segment that are no whole record: one that never happened.
    pub torn_bytes: u64,
    /// All else that is wrong.
    pub damage: Vec<Damage>,
    /// Messages that were carried over from the old format.
    pub migrated_messages: Option<usize>,
    /// The latest time that any record tells: the clock may have gone back since.
    pub latest_timestamp: UnixMicros,
}

/// Sums since the journal was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes written, copies among them.
    pub bytes_written: u64,
    /// Bytes of copies.
    pub bytes_copied: u64,
    /// Segments that were removed.
    pub segments_removed: u64,
    /// Messages that were refused for want of room.
    pub rejected_messages: u64,
    /// Calls of the file system that failed.
    pub failed_calls: u64,
}

struct Head<H> {
    segment: u64,
    handle: H,
    /// Bytes of its header and its first record.
    first: u64,
    /// Bytes that count.
    length: u64,
    /// Bytes on file.
    bytes_on_disk: u64,
    /// There may be bytes beyond `length` that could not be cut off: nothing more goes here.
    broken: bool,
    /// Something was written since it was last synced.
    unsynced: bool,
}

#[derive(Clone, Copy)]
struct Sealed {
    length: u64,
    bytes_on_disk: u64,
}

/// What happened and could not be written so far: it is all in the ledger.
#[derive(Default)]
struct Unwritten {
    /// Messages that have come further.
    messages: BTreeSet<u64>,
    /// Messages that are over, and the segments with their last `Taken` records.
    overs: Vec<(u64, u64)>,
    /// Destinations that went out or came back.
    outages: BTreeSet<u32>,
}

impl Unwritten {
    fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.overs.is_empty() && self.outages.is_empty()
    }
}

/// What is owed, in memory and on file.
pub struct Journal<F: Files = Disk> {
    files: F,
    limits: Limits,
    durability: Durability,
    identity: u128,
    index: MessageIndex,
    sealed: BTreeMap<u64, Sealed>,
    head: Option<Head<F::Handle>>,
    /// The next segment's number.
    next: u64,
    /// The segment that is being emptied, and whether its removal stands on record.
    emptying: Option<(u64, bool)>,
    unwritten: Unwritten,
    /// Files that are not ours, in bytes.
    foreign: u64,
    started: UnixMicros,
    counters: Counters,
    buffer: Vec<u8>,
}

/// The file of a segment.
pub fn file_name(segment: u64) -> String {
    format!("{segment:016x}.journal")
}

pub(crate) fn file_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".journal").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok().filter(|number| file_name(*number) == name)
}

impl Journal<Disk> {
    /// Opens the journal of a folder, or begins one.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(folder: &Path, options: Options) -> Result<(Journal<Disk>, Recovery), OpenError> {
        Journal::recover(Disk::new(folder), options)
    }
}

impl<F: Files> Journal<F> {
    /// Opens the journal of a folder, or begins one. Until its first new segment is whole, nothing is changed but
    /// for files that no longer count; so a crash in here does no harm.
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
            head: None,
            next: 1,
            emptying: None,
            unwritten: Unwritten::default(),
            foreign: 0,
            started: now,
            counters: Counters::default(),
            buffer: Vec::new(),
        };
        let scan = scan(&journal.files, remembered_outcomes)?;
        let ScanResult { identity, segments, index, recovery, foreign, remove, next, old } = scan;
        (journal.identity, journal.foreign, journal.next) =
            (identity.unwrap_or(journal.identity), foreign, next);
        let mut recovery = recovery;
        for name in remove {
            journal.files.remove(&name)?;
        }
        if let Some(old) = old {
            journal.carry_over(old)?;
            recovery.latest_timestamp = journal.index.latest_timestamp();
            return Ok((journal, recovery));
        }
        journal.index = index;
        journal.sealed = segments
            .into_iter()
            .map(|(number, Segment { length, bytes_on_disk, .. })| (number, Sealed { length, bytes_on_disk }))
            .collect();
        journal.index.settle();
        journal.begin_segment()?;
        for number in journal.index.assumed_run() {
            let Some(progress) = journal.index.get(number).map(JournaledMessage::progress) else { continue };
            journal.append_noted(&[Record::Progress { number, progress }])?;
        }
        Ok((journal, recovery))
    }

    /// Takes over what a file of the old format tells.
    fn carry_over(&mut self, old: old::Old) -> io::Result<()> {
        self.begin_segment()?;
        let messages =
            old.messages.into_iter().map(|(number, (message, progress))| (number, message, progress));
        self.adopt(old.outages.into_iter(), messages)?;
        self.files.remove(old::NEXT_FILE)?;
        self.files.remove(old::FILE)?;
        self.index.settle();
        Ok(())
    }

    /// Writes down what another journal told; when this returns it outlasts the machine.
    pub(crate) fn adopt(
        &mut self, outages: impl Iterator<Item = u32>,
        messages: impl Iterator<Item = (u64, AcceptedMessage, Progress)>,
    ) -> io::Result<()> {
        for destination in outages {
            let record = Record::Outage { destination, ongoing: true };
            self.append(std::slice::from_ref(&record))?;
            self.index.happened(&record);
        }
        for (number, message, progress) in messages {
            let segment = self.append(&[index::accepted_record(number, &message, Some(progress))])?;
            self.index.insert(segment, number, message, Some(progress));
        }
        if let Some(head) = &self.head {
            self.files.sync(&head.handle)?;
        }
        self.files.sync_folder()
    }

    /// A message that is not over.
    pub fn get(&self, number: u64) -> Option<&JournaledMessage> {
        self.index.get(number)
    }

    /// The number of the message with an id.
    pub fn number_by_id(&self, id: &str) -> Option<u64> {
        self.index.number(id)
    }

    /// The ends that are remembered, for the process that takes over.
    pub fn recent_outcomes(&self) -> &RecentOutcomes {
        self.index.ended()
    }

    /// Remembers what the process remembered that handed this journal over.
    pub fn restore_recent_outcomes(&mut self, ended: RecentOutcomes) {
        self.index.restore_recent_outcomes(ended);
    }

    /// How a message ended that is handed in again, where that is remembered.
    pub fn final_outcome_of(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.index.final_outcome_of(message)
    }

    /// All messages that are not over, in the order taken.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &JournaledMessage)> {
        self.index.iter()
    }

    /// Destinations that were out, or back and cold, when this was last known.
    pub fn outages(&self) -> impl Iterator<Item = u32> {
        self.index.outages().iter().copied()
    }

    /// Where customers stood with their shares when they last handed something in.
    pub fn quota_levels(&self) -> impl Iterator<Item = format::QuotaLevel> {
        self.index.quota_levels()
    }

    /// Messages that are neither delivered nor ended.
    pub fn open_messages(&self) -> usize {
        self.index.len() - self.index.owed().len()
    }

    /// The first notices that are owed.
    pub fn pending_notices(&self, most: usize) -> Vec<(u64, String, Notice)> {
        self.due_notices(UnixMicros::MAX, most)
    }

    /// The notices that may go out now: those on record, and those of messages whose time is up, which no later life
    /// would send any more.
    pub fn due_notices(&self, now: UnixMicros, most: usize) -> Vec<(u64, String, Notice)> {
        let journaled =
            self.index.owed().iter().filter_map(|number| Some((*number, self.index.get(*number)?)));
        let due = journaled.filter(|(number, journaled)| {
            journaled.message.deadline <= now || !self.unwritten.messages.contains(number)
        });
        let owed = due.filter_map(|(number, journaled)| {
            Some((number, journaled.message.id.clone(), journaled.notice?))
        });
        owed.take(most).collect()
    }

    /// Sums since the journal was opened.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Segments that are there, with the one that is written to: number, bytes, and bytes of those that count.
    pub fn segments(&self) -> Vec<(u64, u64, u64)> {
        let sealed = self.sealed.iter().map(|(segment, s)| (*segment, s.length));
        let head = self.head.iter().map(|head| (head.segment, head.length));
        sealed.chain(head).map(|(segment, length)| (segment, length, self.index.weight(segment))).collect()
    }

    /// Bytes of all files, in whole blocks.
    pub fn bytes_on_disk(&self) -> u64 {
        let sealed: u64 = self.sealed.values().map(|s| blocks(s.bytes_on_disk)).sum();
        sealed + self.head.iter().map(|head| blocks(head.bytes_on_disk)).sum::<u64>() + self.foreign
    }

    /// Whether all that happened is on file.
    pub fn is_fully_written(&self) -> bool {
        self.unwritten.is_empty()
    }

    fn stock(&self) -> Usage {
        Usage { bytes_on_disk: self.bytes_on_disk(), owed: self.index.size() + self.foreign }
    }

    /// Takes a message on; none where there is no room for it.
    ///
    /// # Errors
    /// Where its record is not on file: it was not taken.
    pub fn accept(&mut self, message: &AcceptedMessage) -> io::Result<Option<u64>> {
        self.flush_pending()?;
        let size = index::size(message);
        let fits = match compaction::admit(&self.limits, self.stock(), size, size) {
            Admission::Fits => true,
            // A step may win enough; more than one would hold up everybody else.
            Admission::Later => {
                self.compact_step()?;
                compaction::admit(&self.limits, self.stock(), size, size) == Admission::Fits
            }
            Admission::Full => false,
        };
        if !fits {
            self.counters.rejected_messages += 1;
            return Ok(None);
        }
        let number = self.index.next();
        let segment = self.append(&[index::accepted_record(number, message, None)])?;
        self.index.insert(segment, number, message.clone(), None);
        Ok(Some(number))
    }

    /// A call is about to go out.
    ///
    /// # Errors
    /// Where the record is not on file: the call must not go out, and counts as never begun.
    pub fn attempt_started(&mut self, number: u64, start: AttemptStart) -> io::Result<()> {
        self.reclaim_reserve();
        // First: it would write this message's progress as if the call had begun.
        self.flush_pending()?;
        let before = self.index.get(number).map(JournaledMessage::progress);
        let record = Record::Started { number, start };
        self.index.happened(&record);
        let written = self.write_progress(&record);
        if let Some(before) = before.filter(|_| written.is_err()) {
            self.index.happened(&Record::Progress { number, progress: before });
        }
        written
    }

    /// A call goes out though its record could not be written: that it is made once more does no harm. The record is
    /// written before any other.
    pub fn attempt_started_unrecorded(&mut self, number: u64, start: AttemptStart) {
        self.index.happened(&Record::Started { number, start });
        self.unwritten.messages.insert(number);
    }

    /// A call has ended and the message is not delivered.
    ///
    /// # Errors
    /// Where the record is not on file yet; it will be before any other.
    pub fn attempt_ended(&mut self, number: u64, may_have_run: bool) -> io::Result<()> {
        self.write(Record::Ended { number, may_have_run })
    }

    /// The message ends undelivered; the platform has yet to hear.
    ///
    /// # Errors
    /// As for [`ended`](Journal::ended).
    pub fn notice_due(&mut self, number: u64, notice: Notice) -> io::Result<()> {
        self.write(Record::Owed { number, notice })
    }

    /// Nothing more is owed for the message.
    ///
    /// # Errors
    /// As for [`ended`](Journal::ended).
    pub fn close(&mut self, number: u64) -> io::Result<()> {
        let Some(base) = self.index.base(number) else { return Ok(()) };
        self.write(Record::Over { number, base })
    }

    /// A destination is out or comes back cold; or it is as usual again.
    ///
    /// # Errors
    /// As for [`ended`](Journal::ended).
    pub fn set_outage(&mut self, destination: u32, ongoing: bool) -> io::Result<()> {
        self.write(Record::Outage { destination, ongoing })
    }

    /// What happened is true even where it can't be written: memory follows in any case, and what it tells is
    /// written before anything else.
    fn write(&mut self, record: Record<'static>) -> io::Result<()> {
        self.reclaim_reserve();
        self.index.happened(&record);
        let written = self.flush_pending().and_then(|()| self.write_progress(&record));
        if written.is_err() {
            match record {
                Record::Over { number, base } => self.unwritten.overs.push((number, base)),
                Record::Outage { destination, .. } => _ = self.unwritten.outages.insert(destination),
                Record::Started { number, .. }
                | Record::Ended { number, .. }
                | Record::Owed { number, .. } => {
                    self.unwritten.messages.insert(number);
                }
                _ => {}
            }
        }
        written
    }

    /// Where the reserve is in use, what ends messages pays for room as it goes. Two segments are left then: one that
    /// is being emptied costs another one's room until it goes.
    fn reclaim_reserve(&mut self) {
        if self.bytes_on_disk() + 2 * self.limits.segment_bytes > self.limits.budget_bytes {
            let _ = self.compact_step();
        }
    }

    fn write_progress(&mut self, record: &Record) -> io::Result<()> {
        let segment = self.room_for(index::record_size(record))?;
        let (Record::Started { number, .. } | Record::Ended { number, .. } | Record::Owed { number, .. }) =
            *record
        else {
            return self.append_noted(std::slice::from_ref(record));
        };
        match self.index.get(number).map(JournaledMessage::progress) {
            Some(progress) if self.index.needs_copy(segment, number) => {
                self.append_noted(&[Record::Progress { number, progress }])
            }
            _ => self.append_noted(std::slice::from_ref(record)),
        }
    }

    fn append_noted(&mut self, records: &[Record]) -> io::Result<()> {
        let segment = self.append(records)?;
        records.iter().for_each(|record| self.index.stands(segment, record));
        Ok(())
    }

    /// Writes what could not be written when it happened.
    ///
    /// # Errors
    /// Where it can't be written still.
    pub fn flush_pending(&mut self) -> io::Result<()> {
        if self.unwritten.is_empty() {
            return Ok(());
        }
        let Unwritten { messages, overs, outages } = std::mem::take(&mut self.unwritten);
        let known = |number: &u64| Some((*number, self.index.get(*number)?.progress()));
        let progress = messages.iter().filter_map(known);
        let mut records: Vec<Record> =
            progress.map(|(number, progress)| Record::Progress { number, progress }).collect();
        records.extend(overs.iter().map(|(number, base)| Record::Over { number: *number, base: *base }));
        let is_out = |destination: &u32| self.index.outages().contains(destination);
        records.extend(
            outages.iter().map(|destination| Record::Outage {
                destination: *destination,
                ongoing: is_out(destination),
            }),
        );
        let written = self.append_noted(&records);
        if written.is_err() {
            self.unwritten = Unwritten { messages, overs, outages };
        }
        written
    }

    /// Works on space for a bounded time: copies what counts of one segment, or removes it. Tells whether there
    /// was anything to do.
    ///
    /// # Errors
    /// Where a call of the file system failed; the step may be asked for again.
    pub fn compact_step(&mut self) -> io::Result<bool> {
        self.flush_pending()?;
        if self.head.as_ref().is_none_or(|head| head.broken) {
            self.begin_segment()?;
        }
        let stock = self.stock();
        let emptying = match self.emptying {
            Some(emptying) => emptying,
            None => {
                let sealed = self.sealed.iter().map(|(segment, s)| compaction::Segment {
                    segment: *segment,
                    length: s.bytes_on_disk,
                    weight: self.index.weight(*segment),
                });
                let next = self.index.unfinished().or_else(|| compaction::next(&self.limits, stock, sealed));
                let Some(next) = next else { return Ok(false) };
                (next, false)
            }
        };
        let segment = emptying.0;
        self.emptying = Some(emptying);
        let most = compaction::step(&self.limits, stock);
        if self.index.facts(segment).next().is_some() {
            let target = self.room_for(most)?;
            let (mut facts, mut buffer) = (Vec::new(), std::mem::take(&mut self.buffer));
            buffer.clear();
            for fact in self.index.facts(segment) {
                let journaled =
                    |number: u64| self.index.get(number).map(|journaled| (journaled, journaled.progress()));
                let record = match fact {
                    Fact::Message(number) => {
                        journaled(number).map(|(k, progress)| k.record(number, Some(progress)))
                    }
                    Fact::Progress(number) => {
                        journaled(number).map(|(_, progress)| Record::Progress { number, progress })
                    }
                    Fact::Over { number, base } => Some(Record::Over { number, base }),
                };
                let Some(record) = record else { continue };
                format::frame(&mut buffer, target, &record)?;
                facts.push(fact);
                if buffer.len() as u64 >= most {
                    break;
                }
            }
            let written = self.put(&buffer);
            self.counters.bytes_copied += buffer.len() as u64 * u64::from(written.is_ok());
            self.buffer = buffer;
            written?;
            for fact in facts {
                match fact {
                    Fact::Message(number) => self.index.moved(target, number),
                    Fact::Progress(number) => {
                        if let Some(progress) = self.index.get(number).map(JournaledMessage::progress) {
                            self.index.stands(target, &Record::Progress { number, progress });
                        }
                    }
                    Fact::Over { number, base } => {
                        self.index.tomb_moved(segment, number, base);
                        self.index.stands(target, &Record::Over { number, base });
                    }
                }
            }
        }
        if self.index.facts(segment).next().is_none() {
            self.finish(emptying)?;
        }
        Ok(true)
    }

    /// Removes a segment whose facts all stand in later ones.
    fn finish(&mut self, (segment, recorded): (u64, bool)) -> io::Result<()> {
        if !recorded {
            self.append(&[Record::Removed { segment }])?;
            self.emptying = Some((segment, true));
        }
        if self.durability != Durability::None {
            // The copies outlast the machine before what they were made of goes.
            self.sync()?;
        }
        let removed = self.files.remove(&file_name(segment));
        self.note(removed)?;
        self.sealed.remove(&segment);
        self.index.remove_segment(segment);
        self.counters.segments_removed += 1;
        self.emptying = None;
        Ok(())
    }

    /// Waits until all that was written outlasts the machine.
    ///
    /// # Errors
    /// Where that is not sure. The segment is sealed then: a later success would tell nothing of its bytes.
    pub fn sync(&mut self) -> io::Result<()> {
        let Some(head) = self.head.as_mut().filter(|head| head.unsynced) else { return Ok(()) };
        let synced = self.files.sync(&head.handle);
        head.unsynced = false;
        if synced.is_err() {
            // Nobody can say which of its bytes are there: all that counts is written once more, elsewhere.
            head.broken = true;
            self.index.rewrite(head.segment);
        }
        self.note(synced)
    }

    fn note<T>(&mut self, done: io::Result<T>) -> io::Result<T> {
        self.counters.failed_calls += u64::from(done.is_err());
        done
    }

    /// Appends records in one write; tells which segment they stand in.
    fn append(&mut self, records: &[Record]) -> io::Result<u64> {
        let size: u64 = records.iter().map(index::record_size).sum();
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let result = (|| {
            let segment = self.room_for(size)?;
            for record in records {
                format::frame(&mut buffer, segment, record)?;
            }
            self.put(&buffer)?;
            Ok(segment)
        })();
        self.buffer = buffer;
        result
    }

    /// The segment to write to, after a new one was begun if that is due.
    fn room_for(&mut self, bytes: u64) -> io::Result<u64> {
        let most = self.limits.segment_bytes;
        let due = self.head.as_ref().is_none_or(|head| {
            // A record that is longer than a segment gets one of its own.
            head.broken || (head.length + bytes > most && head.length > head.first)
        });
        if due
            && let Err(error) = self.begin_segment()
            && self.head.as_ref().is_none_or(|head| head.broken)
        {
            return Err(error);
        }
        self.head.as_ref().map(|head| head.segment).ok_or_else(|| io::Error::other("no segment"))
    }

    /// Writes bytes at the end of the head, all or none.
    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(head) = &mut self.head else { return Err(io::Error::other("no segment")) };
        let mut written = 0;
        let mut result = Ok(());
        while written < bytes.len() && result.is_ok() {
            match self.files.append(&mut head.handle, &bytes[written..]) {
                Ok(0) => result = Err(io::ErrorKind::WriteZero.into()),
                Ok(more) => written += more,
                Err(error) => result = Err(error),
            }
        }
        if result.is_err() {
            self.counters.failed_calls += 1;
            // Half a record would hide all that comes after it.
            if self.files.truncate(&mut head.handle, head.length).is_err() {
                self.counters.failed_calls += 1;
                (head.broken, head.bytes_on_disk) = (true, head.length + written as u64);
            }
            return result;
        }
        head.length += bytes.len() as u64;
        head.bytes_on_disk = head.length;
        head.unsynced = true;
        self.counters.bytes_written += bytes.len() as u64;
        Ok(())
    }

    /// Seals the head and begins the next segment.
    fn begin_segment(&mut self) -> io::Result<()> {
        if self.durability != Durability::None {
            self.sync()?;
        }
        let segment = self.next;
        let head = self.head.iter().map(|head| (head.segment, head.length));
        let sealed = self.sealed.iter().map(|(segment, s)| (*segment, s.length)).chain(head);
        let opening = Record::Opening {
            sealed: index::sealed(sealed),
            outages: self.index.outages().iter().copied().collect(),
            next: self.index.next(),
            quota_levels: self.index.quota_levels().collect(),
        };
        let header = Header { identity: self.identity, segment, created: self.started };
        let mut bytes = header.bytes().to_vec();
        format::frame(&mut bytes, segment, &opening)?;
        let name = file_name(segment);
        let created = self.files.create(&name);
        let handle = self.note(created)?;
        self.next = segment + 1;
        let (first, broken) = (bytes.len() as u64, false);
        let begun = Head { segment, handle, first, length: 0, bytes_on_disk: 0, broken, unsynced: false };
        let before = self.head.replace(begun);
        let whole = self.put(&bytes);
        if let Err(error) = whole {
            self.head = before;
            // Without a whole first record it is of no account if it stays.
            let removed = self.files.remove(&name);
            let _ = self.note(removed);
            return Err(error);
        }
        // From here on it counts: what stands in it holds for all before it.
        if let Some(head) = before {
            self.sealed
                .insert(head.segment, Sealed { length: head.length, bytes_on_disk: head.bytes_on_disk });
        }
        self.index.open(segment);
        if self.durability != Durability::None {
            self.sync()?;
            let synced = self.files.sync_folder();
            self.note(synced)?;
        }
        Ok(())
    }
}
