//! The legacy format: a single file of framed records, which was rewritten as a whole. It is read and never written.

use crate::format::{AcceptedMessage, AttemptStart, Notice, Progress, UnixMicros};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Name of the legacy journal file.
pub(crate) const FILE_NAME: &str = "journal";
/// Name of its replacement while it was being written; it is not a valid journal yet.
pub(crate) const TEMP_FILE_NAME: &str = "journal.next";
/// Bytes of length and checksum in front of each record.
const FRAME_BYTES: usize = 8;

/// A record of the legacy format, see [`crate::format::Record`]. `History` holds the earlier attempts of a message.
#[derive(Serialize, Deserialize)]
pub(crate) enum Record<'a> {
    Accepted {
        number: u64,
        id: &'a str,
        class: &'a str,
        destination: u32,
        accepted_at: UnixMicros,
        deadline: UnixMicros,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    History {
        number: u64,
        attempts: u32,
        may_have_run: Option<AttemptStart>,
    },
    AttemptStarted {
        number: u64,
        start: AttemptStart,
    },
    AttemptEnded {
        number: u64,
        may_have_run: bool,
    },
    NoticeDue {
        number: u64,
        notice: Notice,
    },
    Closed {
        number: u64,
    },
    Outage {
        destination: u32,
        ongoing: bool,
    },
}

/// The content of a legacy journal.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct LegacyJournal {
    pub(crate) messages: BTreeMap<u64, (AcceptedMessage, Progress)>,
    pub(crate) outages: BTreeSet<u32>,
    /// Bytes at the end that are an incomplete record, which was never acknowledged.
    pub(crate) torn_bytes: usize,
}

fn decode_record(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let payload = rest.get(..length)?;
    let is_valid = crc32fast::hash(payload) == u32::from_le_bytes(*checksum);
    Some((postcard::from_bytes(payload).ok().filter(|_| is_valid)?, FRAME_BYTES + length))
}

/// The identity of the journal that a legacy file with these bytes is migrated to.
pub(crate) fn derive_identity(bytes: &[u8]) -> u128 {
    u128::from(bytes.len() as u64) << 32 | u128::from(crc32fast::hash(bytes))
}

/// Reads a legacy file up to its first invalid record, as the program that wrote it did.
pub(crate) fn parse(mut bytes: &[u8]) -> LegacyJournal {
    let mut journal = LegacyJournal::default();
    while let Some((record, length)) = decode_record(bytes) {
        bytes = &bytes[length..];
        match record {
            Record::Accepted { number, id, class, destination, accepted_at, deadline, key, body } => {
                let message = AcceptedMessage {
                    id: id.into(),
                    class: class.into(),
                    destination,
                    accepted_at,
                    deadline,
                    key: key.map(Into::into),
                    tenant: None,
                    body: Bytes::copy_from_slice(body),
                };
                journal.messages.insert(number, (message, Progress::default()));
            }
            Record::History { number, attempts, may_have_run } => {
                if let Some((_, progress)) = journal.messages.get_mut(&number) {
                    (progress.attempts, progress.may_have_run) = (attempts, may_have_run);
                }
            }
            Record::AttemptStarted { number, start } => {
                if let Some((_, progress)) = journal.messages.get_mut(&number) {
                    (progress.attempts, progress.in_flight) =
                        (progress.attempts.saturating_add(1), Some(start));
                }
            }
            Record::AttemptEnded { number, may_have_run } => {
                if let Some((_, progress)) = journal.messages.get_mut(&number) {
                    let in_flight = progress.in_flight.take().filter(|_| may_have_run);
                    progress.may_have_run = progress.may_have_run.or(in_flight);
                }
            }
            Record::NoticeDue { number, notice } => {
                if let Some((message, progress)) = journal.messages.get_mut(&number) {
                    (progress.notice, message.body) = (Some(notice), Bytes::new());
                }
            }
            Record::Closed { number } => _ = journal.messages.remove(&number),
            Record::Outage { destination, ongoing: true } => _ = journal.outages.insert(destination),
            Record::Outage { destination, ongoing: false } => _ = journal.outages.remove(&destination),
        }
    }
    journal.torn_bytes = bytes.len();
    journal
}
