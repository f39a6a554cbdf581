//! The in-memory state that the journal's records describe: all open messages, and for each segment which of its
//! records are still live. No I/O: records go in, state and sizes come out.

use crate::format::{
    AcceptedMessage, AttemptStart, Notice, Progress, QuotaLevel, Record, SealedSegment, UNKNOWN_ZONE,
    UnixMicros,
};
use crate::recent_outcomes::{FinalOutcome, RecentOutcomes};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Upper bound on the bytes of a message on disk besides its id, class, key and body: the fixed fields and frame of
/// its first record, a copy of its progress, and its closing record.
pub const MAX_MESSAGE_OVERHEAD_BYTES: u64 = 192;
/// Upper bound on the bytes of a message's copy besides its id, class, key and body.
const COPY_OVERHEAD_BYTES: u64 = 72;
/// Upper bound on the bytes of a record that closes a message.
const TOMBSTONE_BYTES: u64 = 32;
/// Upper bound on the bytes of a progress record.
const PROGRESS_RECORD_BYTES: u64 = 48;

/// Maximum number of tenants whose quota levels are stored. Tenant names come from the settings and change over time;
/// the level with the oldest time is evicted.
const MAX_QUOTA_LEVELS: usize = 1024;

/// An open message with its delivery state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournaledMessage {
    /// The message as it was accepted.
    pub message: AcceptedMessage,
    /// Number of attempts started.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_have_run: Option<AttemptStart>,
    /// The attempt in flight.
    pub in_flight: Option<AttemptStart>,
    /// The notice that the platform has yet to receive.
    pub notice: Option<Notice>,
}

impl JournaledMessage {
    /// Whether `message` is a resubmission of this one. Once a notice is due the body is gone and is not compared.
    pub fn matches(&self, message: &AcceptedMessage) -> bool {
        let AcceptedMessage { class, destination, key, body, .. } = &self.message;
        (class, destination, key) == (&message.class, &message.destination, &message.key)
            && (self.notice.is_some() || *body == message.body)
    }

    /// The delivery state.
    pub fn progress(&self) -> Progress {
        let JournaledMessage { attempts, may_have_run, in_flight, notice, .. } = *self;
        Progress { attempts, may_have_run, in_flight, notice }
    }

    fn set_progress(&mut self, progress: Progress) {
        let Progress { attempts, may_have_run, in_flight, notice } = progress;
        (self.attempts, self.may_have_run, self.in_flight, self.notice) =
            (attempts, may_have_run, in_flight, notice);
        if notice.is_some() {
            self.message.body = Bytes::new();
        }
    }

    /// Upper bound on its bytes on disk, including the records that are still to be written for it.
    pub fn max_size(&self) -> u64 {
        max_message_size(&self.message)
    }

    /// Bytes of a copy of its first record.
    fn copy_size(&self) -> u64 {
        self.max_size() - MAX_MESSAGE_OVERHEAD_BYTES + COPY_OVERHEAD_BYTES
    }

    /// The first record of the message, or a copy of it with its delivery state.
    pub fn to_record(&self, number: u64, progress: Option<Progress>) -> Record<'_> {
        accepted_record(number, &self.message, progress)
    }
}

/// See [`JournaledMessage::max_size`].
pub fn max_message_size(message: &AcceptedMessage) -> u64 {
    let key = message.key.as_ref().map_or(0, String::len);
    let tenant = message.tenant.as_ref().map_or(0, |(name, _)| name.len());
    (message.id.len() + message.class.len() + key + tenant + message.body.len()) as u64
        + MAX_MESSAGE_OVERHEAD_BYTES
}

/// The first record of a message, or a copy of it with its delivery state.
pub fn accepted_record(number: u64, message: &AcceptedMessage, progress: Option<Progress>) -> Record<'_> {
    Record::Accepted {
        number,
        id: &message.id,
        class: &message.class,
        destination: message.destination,
        accepted_at: message.accepted_at,
        deadline: message.deadline,
        key: message.key.as_deref(),
        tenant: message.tenant.as_ref().map(|(name, quota)| (name.as_str(), *quota)),
        body: &message.body,
        progress,
    }
}

/// An open message and the location of its live records.
#[derive(Clone, Debug)]
struct Entry {
    journaled: JournaledMessage,
    /// The segment with its last `Accepted` record.
    base_segment: u64,
    /// The segment with its latest progress records, if that is another one. The first of them there holds the full
    /// progress, so earlier ones are dead.
    progress_segment: Option<u64>,
}

/// The live records of a segment.
#[derive(Clone, Debug, Default)]
struct SegmentContents {
    /// Messages whose last `Accepted` record is in it.
    base_messages: BTreeSet<u64>,
    /// Messages based in other segments whose latest progress records are in it.
    progress_messages: BTreeSet<u64>,
    /// Closed messages by their base segment, the one with their last `Accepted` record, while that exists.
    tombstones: BTreeMap<u64, Vec<u64>>,
    /// Upper bound on the bytes that copies of all these records would take.
    live_bytes: u64,
}

/// A live record, which has to be copied to a later segment before its own can be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveRecord {
    /// The `Accepted` record of the message with this number, with its progress.
    Message(u64),
    /// The progress of the message with this number.
    Progress(u64),
    /// The record that closes a message.
    Tombstone {
        /// Number of the message.
        number: u64,
        /// The segment with the message's last `Accepted` record.
        base_segment: u64,
    },
}

/// Index of all open messages and of the segments that hold their live records.
#[derive(Clone, Debug, Default)]
pub struct MessageIndex {
    entries: BTreeMap<u64, Entry>,
    numbers_by_id: HashMap<String, u64>,
    pending_notices: BTreeSet<u64>,
    outages: BTreeSet<u32>,
    /// Remaining quota in thousandths of a message, and the time of that level, by tenant name.
    quota_levels: BTreeMap<String, (u32, UnixMicros)>,
    segments: BTreeMap<u64, SegmentContents>,
    /// Segments whose compaction was started and not completed.
    partly_compacted: BTreeSet<u64>,
    /// Messages marked as possibly run because records are lost, until the change is written.
    assumed_run: BTreeSet<u64>,
    recent_outcomes: RecentOutcomes,
    next_number: u64,
    max_bytes: u64,
    latest_timestamp: UnixMicros,
}

impl MessageIndex {
    /// An empty index that remembers up to `max_outcomes` final outcomes.
    pub fn new(max_outcomes: usize) -> MessageIndex {
        MessageIndex {
            next_number: 1,
            recent_outcomes: RecentOutcomes::new(max_outcomes),
            ..MessageIndex::default()
        }
    }

    /// The final outcome of a message that is submitted again, if it is still remembered.
    pub fn final_outcome_of(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.recent_outcomes.get(message)
    }

    /// The remembered final outcomes.
    pub fn recent_outcomes(&self) -> &RecentOutcomes {
        &self.recent_outcomes
    }

    /// Replaces the outcomes that were rebuilt from the records by those of the previous process, which are more
    /// complete.
    pub fn restore_recent_outcomes(&mut self, recent_outcomes: RecentOutcomes) {
        self.recent_outcomes = recent_outcomes;
    }

    /// An open message by its number.
    pub fn get(&self, number: u64) -> Option<&JournaledMessage> {
        self.entries.get(&number).map(|entry| &entry.journaled)
    }

    /// The number of the open message with this id.
    pub fn number_by_id(&self, id: &str) -> Option<u64> {
        self.numbers_by_id.get(id).copied()
    }

    /// All open messages in the order of acceptance.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &JournaledMessage)> {
        self.entries.iter().map(|(number, entry)| (*number, &entry.journaled))
    }

    /// Number of open messages.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no open messages.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Messages that only wait for their notice to be delivered, in the order of acceptance.
    pub fn pending_notices(&self) -> &BTreeSet<u64> {
        &self.pending_notices
    }

    /// Destinations that are unavailable or recovering.
    pub fn outages(&self) -> &BTreeSet<u32> {
        &self.outages
    }

    /// The number that the next message gets.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Upper bound on the bytes of all open messages on disk.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// The latest timestamp of any record. The next process's clock must not start before it.
    pub fn latest_timestamp(&self) -> UnixMicros {
        self.latest_timestamp
    }

    /// Upper bound on the bytes that copies of a segment's live records take. At zero the segment can be deleted.
    pub fn live_bytes(&self, segment: u64) -> u64 {
        self.segments.get(&segment).map_or(0, |contents| contents.live_bytes)
    }

    /// The live records of a segment; none once it can be deleted.
    pub fn live_records(&self, segment: u64) -> impl Iterator<Item = LiveRecord> {
        self.segments.get(&segment).into_iter().flat_map(|contents| {
            let base_messages = contents.base_messages.iter().map(|number| LiveRecord::Message(*number));
            let progress_messages =
                contents.progress_messages.iter().map(|number| LiveRecord::Progress(*number));
            let tombstones = contents.tombstones.iter().flat_map(|(base_segment, numbers)| {
                numbers
                    .iter()
                    .map(|number| LiveRecord::Tombstone { number: *number, base_segment: *base_segment })
            });
            base_messages.chain(progress_messages).chain(tombstones)
        })
    }

    /// A segment whose compaction was interrupted. It must be completed before any other segment is compacted:
    /// otherwise a message's closing record could be dropped while a stale copy of the message still exists.
    pub fn partly_compacted(&self) -> Option<u64> {
        self.partly_compacted.first().copied()
    }

    /// Applies a record that was read from a segment. Records about unknown messages have no effect.
    ///
    /// The writer compacts and deletes one segment completely before it starts on another. So the record that closes a
    /// message only has to outlive the segment with the last copy of that message.
    pub fn replay(&mut self, segment: u64, record: &Record) {
        if let Record::Accepted {
            number,
            id,
            class,
            destination,
            accepted_at,
            deadline,
            key,
            tenant,
            body,
            progress,
        } = record
        {
            let message = AcceptedMessage {
                id: (*id).into(),
                class: (*class).into(),
                destination: *destination,
                accepted_at: *accepted_at,
                deadline: *deadline,
                key: key.map(Into::into),
                tenant: tenant.map(|(name, quota)| (name.into(), quota)),
                body: Bytes::copy_from_slice(body),
            };
            if let Some(stale) = self.base_segment(*number).filter(|base| *base != segment) {
                self.partly_compacted.insert(stale);
            }
            self.insert(segment, *number, message, *progress);
            return;
        }
        self.apply(record);
        self.track_location(segment, record);
    }

    /// Applies the effect of a record, whichever segment it is in.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::AttemptStarted { number, start } => {
                self.latest_timestamp = self.latest_timestamp.max(start.at);
                self.update(*number, |journaled| {
                    // An earlier attempt that is still in flight never got an end record: its process stopped first.
                    journaled.may_have_run = journaled.may_have_run.or(journaled.in_flight);
                    (journaled.attempts, journaled.in_flight) =
                        (journaled.attempts.saturating_add(1), Some(*start));
                });
            }
            Record::AttemptEnded { number, may_have_run } => self.update(*number, |journaled| {
                let in_flight = journaled.in_flight.take().filter(|_| *may_have_run);
                journaled.may_have_run = journaled.may_have_run.or(in_flight);
            }),
            Record::NoticeDue { number, notice } => self.update(*number, |journaled| {
                journaled.set_progress(Progress { notice: Some(*notice), ..journaled.progress() });
            }),
            Record::Progress { number, progress } => {
                self.update(*number, |journaled| journaled.set_progress(*progress))
            }
            Record::Closed { number, .. } => {
                if let Some(journaled) = self.entries.get(number).map(|entry| &entry.journaled)
                    && let Some(outcome) = FinalOutcome::of(journaled)
                {
                    self.recent_outcomes.record(&journaled.message, outcome);
                }
                self.remove(*number);
            }
            Record::Outage { destination, ongoing: true } => _ = self.outages.insert(*destination),
            Record::Outage { destination, ongoing: false } => _ = self.outages.remove(destination),
            Record::SegmentOpened { outages, next_number, quota_levels, .. } => {
                self.outages = outages.iter().copied().collect();
                self.next_number = self.next_number.max(*next_number);
                for QuotaLevel { tenant, remaining_thousandths, at } in quota_levels {
                    self.update_quota_level(tenant, *remaining_thousandths, *at);
                }
            }
            Record::SegmentRemoved { segment } => {
                // Messages of the segment that were not copied are closed; their closing records may be gone.
                let stale = self.segments.get(segment).map(|contents| contents.base_messages.clone());
                stale.into_iter().flatten().for_each(|number| self.remove(number));
                self.remove_segment(*segment);
            }
            Record::Accepted { .. } | Record::AcceptedV1 { .. } | Record::SegmentOpenedV1 { .. } => {}
        }
    }

    /// Registers that a record is stored in a segment, and what of it has to outlive the segment.
    pub fn track_location(&mut self, segment: u64, record: &Record) {
        match record {
            Record::AttemptStarted { number, .. }
            | Record::AttemptEnded { number, .. }
            | Record::NoticeDue { number, .. } => {
                self.track_progress(segment, *number);
            }
            Record::Progress { number, .. } => {
                // It replaces all earlier progress records of the message.
                self.untrack_progress(*number);
                self.track_progress(segment, *number);
            }
            // A closing record is needed no longer than the message's base segment exists.
            Record::Closed { number, base_segment }
                if *base_segment != segment && self.segments.contains_key(base_segment) =>
            {
                let contents = self.segments.entry(segment).or_default();
                contents.tombstones.entry(*base_segment).or_default().push(*number);
                contents.live_bytes += TOMBSTONE_BYTES;
            }
            _ => {}
        }
    }

    /// Adds a message whose first record, or a copy of it with its progress, is stored in a segment.
    pub fn insert(
        &mut self, segment: u64, number: u64, message: AcceptedMessage, progress: Option<Progress>,
    ) {
        self.next_number = self.next_number.max(number.saturating_add(1));
        self.latest_timestamp = self.latest_timestamp.max(message.accepted_at);
        self.remove(number);
        self.segments.entry(segment).or_default();
        // A copy repeats the quota level from the time of acceptance, which is outdated.
        if let (Some((tenant, quota)), None) = (&message.tenant, progress) {
            self.update_quota_level(tenant, quota.remaining_thousandths, message.accepted_at);
        }
        let mut journaled =
            JournaledMessage { message, attempts: 0, may_have_run: None, in_flight: None, notice: None };
        journaled.set_progress(progress.unwrap_or_default());
        if journaled.notice.is_some() {
            self.pending_notices.insert(number);
        }
        // Should two messages have the same id, which no client is expected to cause, the first one keeps it.
        self.numbers_by_id.entry(journaled.message.id.clone()).or_insert(number);
        let contents = self.segments.entry(segment).or_default();
        contents.base_messages.insert(number);
        contents.live_bytes += journaled.copy_size();
        self.max_bytes += journaled.max_size();
        self.entries.insert(number, Entry { journaled, base_segment: segment, progress_segment: None });
    }

    /// Stores a tenant's quota level, unless a later one is known.
    fn update_quota_level(&mut self, tenant: &str, remaining_thousandths: u32, at: UnixMicros) {
        match self.quota_levels.get_mut(tenant) {
            Some(level) if at >= level.1 => *level = (remaining_thousandths, at),
            Some(_) => {}
            None => _ = self.quota_levels.insert(tenant.into(), (remaining_thousandths, at)),
        }
        if self.quota_levels.len() > MAX_QUOTA_LEVELS
            && let Some(oldest) =
                self.quota_levels.iter().min_by_key(|(_, (_, at))| *at).map(|(name, _)| name.clone())
        {
            self.quota_levels.remove(&oldest);
        }
    }

    /// The latest known quota level of each tenant.
    pub fn quota_levels(&self) -> impl Iterator<Item = QuotaLevel> {
        self.quota_levels.iter().map(|(name, (remaining_thousandths, at))| QuotaLevel {
            tenant: name.clone(),
            remaining_thousandths: *remaining_thousandths,
            at: *at,
        })
    }

    /// Makes the copy in `segment` the message's base record. The message itself is unchanged.
    pub fn relocate(&mut self, segment: u64, number: u64) {
        self.untrack_progress(number);
        let Some(entry) = self.entries.get_mut(&number) else { return };
        let copy_size = entry.journaled.copy_size();
        let previous = std::mem::replace(&mut entry.base_segment, segment);
        if let Some(contents) = self.segments.get_mut(&previous) {
            contents.base_messages.remove(&number);
            contents.live_bytes -= copy_size;
        }
        let contents = self.segments.entry(segment).or_default();
        contents.base_messages.insert(number);
        contents.live_bytes += copy_size;
    }

    /// The segment with the last `Accepted` record of a message.
    pub fn base_segment(&self, number: u64) -> Option<u64> {
        self.entries.get(&number).map(|entry| entry.base_segment)
    }

    /// Whether the next progress record of a message in this segment must hold its full progress, because the segment
    /// has no earlier record of the message.
    pub fn needs_full_progress(&self, segment: u64, number: u64) -> bool {
        let entry = self.entries.get(&number);
        entry.is_some_and(|entry| entry.base_segment != segment && entry.progress_segment != Some(segment))
    }

    /// Removes a segment whose file is deleted, and all tombstones that were only needed because of it.
    pub fn remove_segment(&mut self, segment: u64) {
        self.segments.remove(&segment);
        self.partly_compacted.remove(&segment);
        for contents in self.segments.values_mut() {
            if let Some(numbers) = contents.tombstones.remove(&segment) {
                contents.live_bytes -= numbers.len() as u64 * TOMBSTONE_BYTES;
            }
        }
    }

    /// Marks every message based in this segment or an earlier one as possibly run: a damaged or missing record may
    /// have been the one that said so. The change has to be written to the journal as well, see
    /// [`take_assumed_run`](MessageIndex::take_assumed_run).
    pub fn assume_run(&mut self, segment: u64) {
        for (number, entry) in self.entries.iter_mut().filter(|(_, entry)| entry.base_segment <= segment) {
            let JournaledMessage { message, may_have_run, .. } = &mut entry.journaled;
            // The earliest possible start; the zone is unknown.
            let earliest = AttemptStart { at: message.accepted_at, zone: UNKNOWN_ZONE };
            may_have_run.get_or_insert(earliest);
            self.assumed_run.insert(*number);
        }
    }

    /// Returns and clears the open messages that [`assume_run`](MessageIndex::assume_run) marked.
    pub fn take_assumed_run(&mut self) -> Vec<u64> {
        let assumed_run = std::mem::take(&mut self.assumed_run);
        assumed_run.into_iter().filter(|number| self.entries.contains_key(number)).collect()
    }

    /// Marks attempts without an end record as possibly run. Called when a new process starts on the journal.
    pub fn resolve_in_flight(&mut self) {
        for entry in self.entries.values_mut() {
            let in_flight = entry.journaled.in_flight.take();
            entry.journaled.may_have_run = entry.journaled.may_have_run.or(in_flight);
        }
    }

    /// Schedules a segment to be compacted before any other.
    pub fn compact_first(&mut self, segment: u64) {
        self.partly_compacted.insert(segment);
    }

    /// Adds a segment without live records.
    pub fn add_segment(&mut self, segment: u64) {
        self.segments.entry(segment).or_default();
    }

    /// Changes a message and adjusts the totals that depend on its size.
    fn update(&mut self, number: u64, change: impl FnOnce(&mut JournaledMessage)) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        let before = entry.journaled.max_size();
        change(&mut entry.journaled);
        let after = entry.journaled.max_size();
        if let Some(contents) = self.segments.get_mut(&entry.base_segment) {
            contents.live_bytes = contents.live_bytes + after - before;
        }
        self.max_bytes = self.max_bytes + after - before;
        if entry.journaled.notice.is_some() {
            self.pending_notices.insert(number);
        }
    }

    /// Registers that the latest progress record of a message is stored in a segment.
    fn track_progress(&mut self, segment: u64, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if entry.base_segment != segment && entry.progress_segment != Some(segment) {
            let previous = entry.progress_segment.replace(segment);
            if let Some(contents) = previous.and_then(|previous| self.segments.get_mut(&previous))
                && contents.progress_messages.remove(&number)
            {
                contents.live_bytes -= PROGRESS_RECORD_BYTES;
            }
            let contents = self.segments.entry(segment).or_default();
            contents.progress_messages.insert(number);
            contents.live_bytes += PROGRESS_RECORD_BYTES;
        }
    }

    /// Marks the earlier progress records of the message as dead.
    fn untrack_progress(&mut self, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if let Some(contents) =
            entry.progress_segment.take().and_then(|segment| self.segments.get_mut(&segment))
            && contents.progress_messages.remove(&number)
        {
            contents.live_bytes -= PROGRESS_RECORD_BYTES;
        }
    }

    /// Removes a message; all of its records are dead then.
    fn remove(&mut self, number: u64) {
        self.untrack_progress(number);
        let Some(entry) = self.entries.remove(&number) else { return };
        self.max_bytes -= entry.journaled.max_size();
        if let Some(contents) = self.segments.get_mut(&entry.base_segment) {
            contents.base_messages.remove(&number);
            contents.live_bytes -= entry.journaled.copy_size();
        }
        self.pending_notices.remove(&number);
        if self.numbers_by_id.get(&entry.journaled.message.id) == Some(&number) {
            self.numbers_by_id.remove(&entry.journaled.message.id);
        }
    }

    /// Removes a tombstone from segment `from` after it was copied to another one.
    pub fn relocate_tombstone(&mut self, from: u64, number: u64, base_segment: u64) {
        let Some(contents) = self.segments.get_mut(&from) else { return };
        let Some(numbers) = contents.tombstones.get_mut(&base_segment) else { return };
        let Some(position) = numbers.iter().rposition(|other| *other == number) else { return };
        numbers.swap_remove(position);
        contents.live_bytes -= TOMBSTONE_BYTES;
        if numbers.is_empty() {
            contents.tombstones.remove(&base_segment);
        }
    }
}

/// Approximate size of a record with its frame, in bytes.
pub fn estimated_record_size(record: &Record) -> u64 {
    match record {
        Record::Accepted { id, class, key, tenant, body, .. } => {
            let tenant = tenant.map_or(0, |(name, _)| name.len());
            (id.len() + class.len() + key.map_or(0, str::len) + tenant + body.len()) as u64
                + COPY_OVERHEAD_BYTES
        }
        _ => PROGRESS_RECORD_BYTES,
    }
}

/// The list of sealed segments for a [`Record::SegmentOpened`], from their numbers and lengths.
pub fn sealed_segments(segments: impl Iterator<Item = (u64, u64)>) -> Vec<SealedSegment> {
    segments.map(|(segment, length)| SealedSegment { segment, length }).collect()
}
