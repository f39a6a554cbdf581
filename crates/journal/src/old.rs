//! The format before this one: one file of framed records, written anew as a whole. Read, never written.

use crate::format::{AcceptedMessage, AttemptStart, Notice, Progress, UnixMicros};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The file.
pub(crate) const FILE: &str = "journal";
/// Its successor while it was written anew; no journal yet.
pub(crate) const NEXT_FILE: &str = "journal.next";
/// Length and checksum before each record.
const FRAME: usize = 8;

#[derive(Serialize, Deserialize)]
pub(crate) enum Record<'a> {
    Taken {
        number: u64,
        id: &'a str,
        class: &'a str,
        destination: u32,
        accepted_at: UnixMicros,
        deadline: UnixMicros,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    Past {
        number: u64,
        attempts: u32,
        may_have_run: Option<AttemptStart>,
    },
    Started {
        number: u64,
        start: AttemptStart,
    },
    Ended {
        number: u64,
        may_have_run: bool,
    },
    Owed {
        number: u64,
        notice: Notice,
    },
    Over {
        number: u64,
    },
    Outage {
        destination: u32,
        ongoing: bool,
    },
}

/// What an old file tells.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Old {
    pub(crate) messages: BTreeMap<u64, (AcceptedMessage, Progress)>,
    pub(crate) outages: BTreeSet<u32>,
    /// Bytes at the end that are no whole record: one that never happened.
    pub(crate) torn_bytes: usize,
}

fn unframe(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length)?;
    let whole = crc32fast::hash(body) == u32::from_le_bytes(*sum);
    Some((postcard::from_bytes(body).ok().filter(|_| whole)?, FRAME + length))
}

/// The identity of a journal that is carried over from these bytes.
pub(crate) fn identity(bytes: &[u8]) -> u128 {
    u128::from(bytes.len() as u64) << 32 | u128::from(crc32fast::hash(bytes))
}

/// Reads an old file up to its first record that is not whole, as the program that wrote it did.
pub(crate) fn read(mut bytes: &[u8]) -> Old {
    let mut old = Old::default();
    while let Some((record, length)) = unframe(bytes) {
        bytes = &bytes[length..];
        match record {
            Record::Taken { number, id, class, destination, accepted_at, deadline, key, body } => {
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
                old.messages.insert(number, (message, Progress::default()));
            }
            Record::Past { number, attempts, may_have_run } => {
                if let Some((_, progress)) = old.messages.get_mut(&number) {
                    (progress.attempts, progress.may_have_run) = (attempts, may_have_run);
                }
            }
            Record::Started { number, start } => {
                if let Some((_, progress)) = old.messages.get_mut(&number) {
                    (progress.attempts, progress.in_flight) =
                        (progress.attempts.saturating_add(1), Some(start));
                }
            }
            Record::Ended { number, may_have_run } => {
                if let Some((_, progress)) = old.messages.get_mut(&number) {
                    let in_flight = progress.in_flight.take().filter(|_| may_have_run);
                    progress.may_have_run = progress.may_have_run.or(in_flight);
                }
            }
            Record::Owed { number, notice } => {
                if let Some((message, progress)) = old.messages.get_mut(&number) {
                    (progress.notice, message.body) = (Some(notice), Bytes::new());
                }
            }
            Record::Over { number } => _ = old.messages.remove(&number),
            Record::Outage { destination, ongoing: true } => _ = old.outages.insert(destination),
            Record::Outage { destination, ongoing: false } => _ = old.outages.remove(&destination),
        }
    }
    old.torn_bytes = bytes.len();
    old
}
