//! What the records say: the messages that are not over, and for each segment which of its facts still count. No
//! I/O: records go in, sums come out.

use crate::format::{
    AcceptedMessage, AttemptStart, Notice, Progress, QuotaLevel, Record, Sealed, UNKNOWN_ZONE, UnixMicros,
};
use crate::recent_outcomes::{FinalOutcome, RecentOutcomes};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a message takes at most besides the bytes of its id, class, key and body: numbers and times of its first
/// record with its frame, a copy of its progress, and the record of its end.
pub const OVERHEAD: u64 = 192;
/// What a copy of a message takes besides those bytes.
const COPY: u64 = 72;
/// What a record that ends a message takes at most.
const TOMB: u64 = 32;
/// What a copy of a message's progress takes.
const PROGRESS: u64 = 48;

/// Customers whose shares are remembered: names come from settings, which change; the oldest goes.
const LEVELS: usize = 1024;

/// A message that is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournaledMessage {
    /// As it was handed in.
    pub message: AcceptedMessage,
    /// Calls that were started.
    pub attempts: u32,
    /// The first call that may have run.
    pub may_have_run: Option<AttemptStart>,
    /// The call that is out.
    pub in_flight: Option<AttemptStart>,
    /// The notice that is owed to the platform.
    pub notice: Option<Notice>,
}

impl JournaledMessage {
    /// Whether this is what is handed in once more; the body is gone once a notice is owed.
    pub fn matches(&self, message: &AcceptedMessage) -> bool {
        let AcceptedMessage { class, destination, key, body, .. } = &self.message;
        (class, destination, key) == (&message.class, &message.destination, &message.key)
            && (self.notice.is_some() || *body == message.body)
    }

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        let JournaledMessage { attempts, may_have_run, in_flight, notice, .. } = *self;
        Progress { attempts, may_have_run, in_flight, notice }
    }

    fn set(&mut self, progress: Progress) {
        let Progress { attempts, may_have_run, in_flight, notice } = progress;
        (self.attempts, self.may_have_run, self.in_flight, self.notice) =
            (attempts, may_have_run, in_flight, notice);
        if notice.is_some() {
            self.message.body = Bytes::new();
        }
    }

    /// What it takes at most, in bytes, with all that is still to be written of it.
    pub fn size(&self) -> u64 {
        size(&self.message)
    }

    /// What a copy of it takes, in bytes.
    fn copy(&self) -> u64 {
        self.size() - OVERHEAD + COPY
    }

    /// The first record of the message, or a copy of it.
    pub fn record(&self, number: u64, progress: Option<Progress>) -> Record<'_> {
        accepted_record(number, &self.message, progress)
    }
}

/// See [`JournaledMessage::size`].
pub fn size(message: &AcceptedMessage) -> u64 {
    let key = message.key.as_ref().map_or(0, String::len);
    let tenant = message.tenant.as_ref().map_or(0, |(name, _)| name.len());
    (message.id.len() + message.class.len() + key + tenant + message.body.len()) as u64 + OVERHEAD
}

/// The first record of a message, or a copy of it with how far it has come.
pub fn accepted_record(number: u64, message: &AcceptedMessage, progress: Option<Progress>) -> Record<'_> {
    Record::Taken {
        number,
        id: &message.id,
        class: &message.class,
        destination: message.destination,
        accepted_at: message.accepted_at,
        deadline: message.deadline,
        key: message.key.as_deref(),
        tenant: message.tenant.as_ref().map(|(name, share)| (name.as_str(), *share)),
        body: &message.body,
        progress,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    journaled: JournaledMessage,
    /// The segment with its last `Taken` record.
    base: u64,
    /// The segment with later records of it, where that is another one. The first of them there is a copy of all
    /// its progress, so those before count no more.
    touched: Option<u64>,
}

/// A segment's facts that count.
#[derive(Clone, Debug, Default)]
struct Facts {
    /// Messages whose last `Taken` record it holds.
    bases: BTreeSet<u64>,
    /// Messages of other segments of whose progress it holds records.
    touched: BTreeSet<u64>,
    /// Messages that are over, by the segment with their last `Taken` record while that is there.
    tombs: BTreeMap<u64, Vec<u64>>,
    /// What copies of all that would take at most, in bytes.
    weight: u64,
}

/// A fact that has to stand in a later segment before the one it stands in can go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A message: its `Taken` record with its progress.
    Message(u64),
    /// How far a message has come.
    Progress(u64),
    /// That a message is over.
    Over {
        /// The message.
        number: u64,
        /// The segment with its last `Taken` record.
        base: u64,
    },
}

/// All that is owed, and where it stands.
#[derive(Clone, Debug, Default)]
pub struct MessageIndex {
    entries: BTreeMap<u64, Entry>,
    numbers: HashMap<String, u64>,
    owed: BTreeSet<u64>,
    outages: BTreeSet<u32>,
    /// What customers had left of their shares, and when: one for each name.
    quota_levels: BTreeMap<String, (u32, UnixMicros)>,
    segments: BTreeMap<u64, Facts>,
    /// Segments of which copies were begun and not ended.
    unfinished: BTreeSet<u64>,
    assumed_run: BTreeSet<u64>,
    ended: RecentOutcomes,
    next: u64,
    size: u64,
    latest_timestamp: UnixMicros,
}

impl MessageIndex {
    /// A ledger that knows of nothing, and will remember so many ends.
    pub fn new(ends: usize) -> MessageIndex {
        MessageIndex { next: 1, ended: RecentOutcomes::new(ends), ..MessageIndex::default() }
    }

    /// How a message ended that is handed in again, where that is remembered.
    pub fn final_outcome_of(&self, message: &AcceptedMessage) -> Option<FinalOutcome> {
        self.ended.get(message)
    }

    /// The ends that are remembered.
    pub fn ended(&self) -> &RecentOutcomes {
        &self.ended
    }

    /// Remembers what another process remembered, in place of what is on file: that is less.
    pub fn restore_recent_outcomes(&mut self, ended: RecentOutcomes) {
        self.ended = ended;
    }

    /// A message that is not over.
    pub fn get(&self, number: u64) -> Option<&JournaledMessage> {
        self.entries.get(&number).map(|entry| &entry.journaled)
    }

    /// The number of the message with an id.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    /// All messages that are not over, in the order taken.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &JournaledMessage)> {
        self.entries.iter().map(|(number, entry)| (*number, &entry.journaled))
    }

    /// How many messages are not over.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all messages are over.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Messages that are over but for a notice, in the order taken.
    pub fn owed(&self) -> &BTreeSet<u64> {
        &self.owed
    }

    /// Destinations that are out or cold.
    pub fn outages(&self) -> &BTreeSet<u32> {
        &self.outages
    }

    /// The number of the next message.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// What copies of all messages take at most, in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// The latest time that any record tells: no later life begins before it.
    pub fn latest_timestamp(&self) -> UnixMicros {
        self.latest_timestamp
    }

    /// What the facts of a segment take in a copy at most, in bytes. A segment that weighs nothing may go.
    pub fn weight(&self, segment: u64) -> u64 {
        self.segments.get(&segment).map_or(0, |facts| facts.weight)
    }

    /// The facts of a segment that count; none where the segment may go.
    pub fn facts(&self, segment: u64) -> impl Iterator<Item = Fact> {
        self.segments.get(&segment).into_iter().flat_map(|facts| {
            let bases = facts.bases.iter().map(|number| Fact::Message(*number));
            let touched = facts.touched.iter().map(|number| Fact::Progress(*number));
            let tombs = facts.tombs.iter().flat_map(|(base, numbers)| {
                numbers.iter().map(|number| Fact::Over { number: *number, base: *base })
            });
            bases.chain(touched).chain(tombs)
        })
    }

    /// A segment that an earlier life had begun to empty. It goes before any other: the end of a message would
    /// not outlast a stale copy of it.
    pub fn unfinished(&self) -> Option<u64> {
        self.unfinished.first().copied()
    }

    /// Takes note of a record that was read from a segment. What tells of unknown messages changes nothing.
    ///
    /// The writer empties one segment at a time to its end and removes it before it empties another: so a record
    /// that ends a message has to outlast only the segment with the last copy of it.
    pub fn replay(&mut self, segment: u64, record: &Record) {
        if let Record::Taken {
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
                tenant: tenant.map(|(name, share)| (name.into(), share)),
                body: Bytes::copy_from_slice(body),
            };
            if let Some(stale) = self.base(*number).filter(|base| *base != segment) {
                self.unfinished.insert(stale);
            }
            self.insert(segment, *number, message, *progress);
            return;
        }
        self.happened(record);
        self.stands(segment, record);
    }

    /// Takes note of what a record tells, wherever it stands.
    pub fn happened(&mut self, record: &Record) {
        match record {
            Record::Started { number, start } => {
                self.latest_timestamp = self.latest_timestamp.max(start.at);
                self.change(*number, |journaled| {
                    // The end of one that was out before is not on record: its life ended first.
                    journaled.may_have_run = journaled.may_have_run.or(journaled.in_flight);
                    (journaled.attempts, journaled.in_flight) =
                        (journaled.attempts.saturating_add(1), Some(*start));
                });
            }
            Record::Ended { number, may_have_run } => self.change(*number, |journaled| {
                let in_flight = journaled.in_flight.take().filter(|_| *may_have_run);
                journaled.may_have_run = journaled.may_have_run.or(in_flight);
            }),
            Record::Owed { number, notice } => self.change(*number, |journaled| {
                journaled.set(Progress { notice: Some(*notice), ..journaled.progress() });
            }),
            Record::Progress { number, progress } => {
                self.change(*number, |journaled| journaled.set(*progress))
            }
            Record::Over { number, .. } => {
                if let Some(journaled) = self.entries.get(number).map(|entry| &entry.journaled)
                    && let Some(end) = FinalOutcome::of(journaled)
                {
                    self.ended.remember(&journaled.message, end);
                }
                self.forget(*number);
            }
            Record::Outage { destination, ongoing: true } => _ = self.outages.insert(*destination),
            Record::Outage { destination, ongoing: false } => _ = self.outages.remove(destination),
            Record::Opening { outages, next, quota_levels, .. } => {
                self.outages = outages.iter().copied().collect();
                self.next = self.next.max(*next);
                for QuotaLevel { tenant, remaining_thousandths, at } in quota_levels {
                    self.level(tenant, *remaining_thousandths, *at);
                }
            }
            Record::Removed { segment } => {
                // What it held that was not copied was over: the record of that may be gone already.
                let stale = self.segments.get(segment).map(|facts| facts.bases.clone());
                stale.into_iter().flatten().for_each(|number| self.forget(number));
                self.remove_segment(*segment);
            }
            Record::Taken { .. } | Record::Taken1 { .. } | Record::Opening1 { .. } => {}
        }
    }

    /// Takes note that a record stands in a segment: what of it has to outlast the segment.
    pub fn stands(&mut self, segment: u64, record: &Record) {
        match record {
            Record::Started { number, .. } | Record::Ended { number, .. } | Record::Owed { number, .. } => {
                self.touch(segment, *number);
            }
            Record::Progress { number, .. } => {
                // It stands for all records of progress before it.
                self.untouch(*number);
                self.touch(segment, *number);
            }
            // Nothing of the message outlasts the segment that it begins in, or that one is gone.
            Record::Over { number, base } if *base != segment && self.segments.contains_key(base) => {
                let facts = self.segments.entry(segment).or_default();
                facts.tombs.entry(*base).or_default().push(*number);
                facts.weight += TOMB;
            }
            _ => {}
        }
    }

    /// Takes note of a message whose first record, or a copy of it with how far it had come, stands in a segment.
    pub fn insert(
        &mut self, segment: u64, number: u64, message: AcceptedMessage, progress: Option<Progress>,
    ) {
        self.next = self.next.max(number.saturating_add(1));
        self.latest_timestamp = self.latest_timestamp.max(message.accepted_at);
        self.forget(number);
        self.segments.entry(segment).or_default();
        // A copy tells what stood long ago.
        if let (Some((tenant, share)), None) = (&message.tenant, progress) {
            self.level(tenant, share.remaining_thousandths, message.accepted_at);
        }
        let mut journaled =
            JournaledMessage { message, attempts: 0, may_have_run: None, in_flight: None, notice: None };
        journaled.set(progress.unwrap_or_default());
        if journaled.notice.is_some() {
            self.owed.insert(number);
        }
        // Of two messages with one id, which nobody hands in, the first keeps it.
        self.numbers.entry(journaled.message.id.clone()).or_insert(number);
        let facts = self.segments.entry(segment).or_default();
        facts.bases.insert(number);
        facts.weight += journaled.copy();
        self.size += journaled.size();
        self.entries.insert(number, Entry { journaled, base: segment, touched: None });
    }

    /// Takes note of what a customer had left of its share.
    fn level(&mut self, tenant: &str, remaining_thousandths: u32, at: UnixMicros) {
        match self.quota_levels.get_mut(tenant) {
            Some(level) if at >= level.1 => *level = (remaining_thousandths, at),
            Some(_) => {}
            None => _ = self.quota_levels.insert(tenant.into(), (remaining_thousandths, at)),
        }
        if self.quota_levels.len() > LEVELS
            && let Some(oldest) =
                self.quota_levels.iter().min_by_key(|(_, (_, at))| *at).map(|(name, _)| name.clone())
        {
            self.quota_levels.remove(&oldest);
        }
    }

    /// Where customers stood with their shares when they last handed something in.
    pub fn quota_levels(&self) -> impl Iterator<Item = QuotaLevel> {
        self.quota_levels.iter().map(|(name, (remaining_thousandths, at))| QuotaLevel {
            tenant: name.clone(),
            remaining_thousandths: *remaining_thousandths,
            at: *at,
        })
    }

    /// Moves a message to the copy that was made of it. Its body is not touched.
    pub fn moved(&mut self, segment: u64, number: u64) {
        self.untouch(number);
        let Some(entry) = self.entries.get_mut(&number) else { return };
        let size = entry.journaled.copy();
        let old = std::mem::replace(&mut entry.base, segment);
        if let Some(facts) = self.segments.get_mut(&old) {
            facts.bases.remove(&number);
            facts.weight -= size;
        }
        let facts = self.segments.entry(segment).or_default();
        facts.bases.insert(number);
        facts.weight += size;
    }

    /// The last `Taken` record of a message stands there.
    pub fn base(&self, number: u64) -> Option<u64> {
        self.entries.get(&number).map(|entry| entry.base)
    }

    /// Whether a record of the message's progress in a segment must tell all of it: none there tells what came
    /// before.
    pub fn needs_copy(&self, segment: u64, number: u64) -> bool {
        let entry = self.entries.get(&number);
        entry.is_some_and(|entry| entry.base != segment && entry.touched != Some(segment))
    }

    /// Drops what is known of a segment: its file is gone, and with it all need to outlast it.
    pub fn remove_segment(&mut self, segment: u64) {
        self.segments.remove(&segment);
        self.unfinished.remove(&segment);
        for facts in self.segments.values_mut() {
            if let Some(numbers) = facts.tombs.remove(&segment) {
                facts.weight -= numbers.len() as u64 * TOMB;
            }
        }
    }

    /// Every message whose last copy stands at or before a damage may have run: the record that tells so may be
    /// what was lost. It has to be written down, too: [`assumed_run`](Ledger::doubted).
    pub fn assume_run(&mut self, segment: u64) {
        for (number, entry) in self.entries.iter_mut().filter(|(_, entry)| entry.base <= segment) {
            let JournaledMessage { message, may_have_run, .. } = &mut entry.journaled;
            // The earliest time at which it can have been sent; nobody knows where to.
            let first = AttemptStart { at: message.accepted_at, zone: UNKNOWN_ZONE };
            may_have_run.get_or_insert(first);
            self.assumed_run.insert(*number);
        }
    }

    /// Messages that were doubted; forgets which they were.
    pub fn assumed_run(&mut self) -> Vec<u64> {
        let assumed_run = std::mem::take(&mut self.assumed_run);
        assumed_run.into_iter().filter(|number| self.entries.contains_key(number)).collect()
    }

    /// A call whose end was not recorded may have run: at the start of a life.
    pub fn settle(&mut self) {
        for entry in self.entries.values_mut() {
            let in_flight = entry.journaled.in_flight.take();
            entry.journaled.may_have_run = entry.journaled.may_have_run.or(in_flight);
        }
    }

    /// A segment is to be emptied before any other.
    pub fn rewrite(&mut self, segment: u64) {
        self.unfinished.insert(segment);
    }

    /// Makes segments known that hold no fact.
    pub fn open(&mut self, segment: u64) {
        self.segments.entry(segment).or_default();
    }

    fn change(&mut self, number: u64, with: impl FnOnce(&mut JournaledMessage)) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        let before = entry.journaled.size();
        with(&mut entry.journaled);
        let after = entry.journaled.size();
        if let Some(facts) = self.segments.get_mut(&entry.base) {
            facts.weight = facts.weight + after - before;
        }
        self.size = self.size + after - before;
        if entry.journaled.notice.is_some() {
            self.owed.insert(number);
        }
    }

    fn touch(&mut self, segment: u64, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if entry.base != segment && entry.touched != Some(segment) {
            let before = entry.touched.replace(segment);
            if let Some(facts) = before.and_then(|before| self.segments.get_mut(&before))
                && facts.touched.remove(&number)
            {
                facts.weight -= PROGRESS;
            }
            let facts = self.segments.entry(segment).or_default();
            facts.touched.insert(number);
            facts.weight += PROGRESS;
        }
    }

    /// No earlier record of the message's progress counts any more.
    fn untouch(&mut self, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if let Some(facts) = entry.touched.take().and_then(|segment| self.segments.get_mut(&segment))
            && facts.touched.remove(&number)
        {
            facts.weight -= PROGRESS;
        }
    }

    /// Drops a message from memory; none of its records count.
    fn forget(&mut self, number: u64) {
        self.untouch(number);
        let Some(entry) = self.entries.remove(&number) else { return };
        self.size -= entry.journaled.size();
        if let Some(facts) = self.segments.get_mut(&entry.base) {
            facts.bases.remove(&number);
            facts.weight -= entry.journaled.copy();
        }
        self.owed.remove(&number);
        if self.numbers.get(&entry.journaled.message.id) == Some(&number) {
            self.numbers.remove(&entry.journaled.message.id);
        }
    }

    /// A copy was made of the record that ends a message, out of a segment.
    pub fn tomb_moved(&mut self, from: u64, number: u64, base: u64) {
        let Some(facts) = self.segments.get_mut(&from) else { return };
        let Some(numbers) = facts.tombs.get_mut(&base) else { return };
        let Some(at) = numbers.iter().rposition(|other| *other == number) else { return };
        numbers.swap_remove(at);
        facts.weight -= TOMB;
        if numbers.is_empty() {
            facts.tombs.remove(&base);
        }
    }
}

/// What a record takes with its frame, in bytes, more or less.
pub fn record_size(record: &Record) -> u64 {
    match record {
        Record::Taken { id, class, key, tenant, body, .. } => {
            let tenant = tenant.map_or(0, |(name, _)| name.len());
            (id.len() + class.len() + key.map_or(0, str::len) + tenant + body.len()) as u64 + COPY
        }
        _ => PROGRESS,
    }
}

/// What an opening record lists of the segments that are there.
pub fn sealed(segments: impl Iterator<Item = (u64, u64)>) -> Vec<Sealed> {
    segments.map(|(segment, length)| Sealed { segment, length }).collect()
}
