//! The bytes of the journal, as `docs/journal-format.md` describes them. Nothing here does I/O, and no bytes make
//! it panic.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Microseconds of Unix time: the only clock that means the same to the next process.
pub type UnixMicros = u64;

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"FSPKJRNL";
/// The version of the format that this program writes. Segments of version 1 are read, too.
pub const VERSION: u16 = 2;
/// Length of a segment's header in bytes.
pub const HEADER: usize = 48;
/// Bytes before a record's payload: marker, length, checksum.
pub const FRAME: usize = 8;
/// First byte of each frame: after damage, readers look for the next one.
const MARKER: u8 = 0xA7;
/// No payload is longer, in bytes: the longest body is 64 KiB, and an opening lists up to 100,000 segments.
pub const RECORD_MOST: usize = 4 * 1024 * 1024;

/// The zone of a call of which the record is lost.
pub const UNKNOWN_ZONE: u16 = u16::MAX;

/// When and where a call was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// When.
    pub at: UnixMicros,
    /// The zone of the endpoint, or [`UNKNOWN_ZONE`].
    pub zone: u16,
}

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// It may have run.
    GivenUp,
    /// It surely did not run, or running it again is harmless.
    HandedBack {
        /// When to come again, in milliseconds.
        retry_in_ms: u64,
    },
}

/// How a message stood with its customer's share when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// It came beyond it.
    pub exceeded: bool,
    /// What the customer could still hand in within it from then on, in thousandths of a message.
    pub remaining_thousandths: u32,
}

/// What a customer could still hand in within its share, and when that was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel {
    /// The customer's name.
    pub tenant: String,
    /// In thousandths of a message.
    pub remaining_thousandths: u32,
    /// When.
    pub at: UnixMicros,
}

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The client's id of it.
    pub id: String,
    /// Its class by name.
    pub class: String,
    /// The number of its destination.
    pub destination: u32,
    /// When it was taken.
    pub accepted_at: UnixMicros,
    /// When its time is up.
    pub deadline: UnixMicros,
    /// The idempotency key.
    pub key: Option<String>,
    /// Its customer by name, where that one has a share.
    pub tenant: Option<(String, QuotaStatus)>,
    /// The body; empty once a notice is owed.
    pub body: Bytes,
}

/// How far a message has come: all that later records have added to its first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Calls that were started.
    pub attempts: u32,
    /// The first call that may have run.
    pub may_have_run: Option<AttemptStart>,
    /// The call that is out.
    pub in_flight: Option<AttemptStart>,
    /// The notice that is owed to the platform.
    pub notice: Option<Notice>,
}

/// A segment that was sealed, as its successors list it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Its sequence number.
    pub segment: u64,
    /// How many of its bytes count, its header among them.
    pub length: u64,
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record<'a> {
    /// A message was taken on, as version 1 has it. Read as [`Record::Taken`], never written.
    Taken1 {
        /// See [`Record::Taken`].
        number: u64,
        /// See [`AcceptedMessage`].
        id: &'a str,
        /// See [`AcceptedMessage`].
        class: &'a str,
        /// See [`AcceptedMessage`].
        destination: u32,
        /// See [`AcceptedMessage`].
        accepted_at: UnixMicros,
        /// See [`AcceptedMessage`].
        deadline: UnixMicros,
        /// See [`AcceptedMessage`].
        key: Option<&'a str>,
        /// See [`AcceptedMessage`].
        body: &'a [u8],
        /// How far it had come when this copy was made; a first record has none.
        progress: Option<Progress>,
    },
    /// A call is about to go out.
    Started {
        /// The message.
        number: u64,
        /// When and where.
        start: AttemptStart,
    },
    /// A call ended, the message did not.
    Ended {
        /// The message.
        number: u64,
        /// Whether the call may have run.
        may_have_run: bool,
    },
    /// The message ended undelivered; the platform has yet to hear.
    Owed {
        /// The message.
        number: u64,
        /// What the platform is to hear.
        notice: Notice,
    },
    /// Nothing more is owed for the message.
    Over {
        /// The message.
        number: u64,
        /// The segment with its last [`Record::Taken`]: this record counts as long as that segment is there.
        base: u64,
    },
    /// A copy of how far a message has come, in place of the records before.
    Progress {
        /// The message.
        number: u64,
        /// How far.
        progress: Progress,
    },
    /// A destination is out or comes back cold; or it is as usual again.
    Outage {
        /// Its number.
        destination: u32,
        /// Whether it is out or cold.
        ongoing: bool,
    },
    /// The first record of a segment, as version 1 has it. Read as [`Record::Opening`], never written.
    Opening1 {
        /// All earlier segments that are there.
        sealed: Vec<Sealed>,
        /// Destinations that are out or cold.
        outages: Vec<u32>,
        /// The next message's number.
        next: u64,
    },
    /// A segment's facts all stand in later ones; its file goes.
    Removed {
        /// Its sequence number.
        segment: u64,
    },
    /// A message was taken on.
    Taken {
        /// The journal's number of it, never used again.
        number: u64,
        /// See [`AcceptedMessage`].
        id: &'a str,
        /// See [`AcceptedMessage`].
        class: &'a str,
        /// See [`AcceptedMessage`].
        destination: u32,
        /// See [`AcceptedMessage`].
        accepted_at: UnixMicros,
        /// See [`AcceptedMessage`].
        deadline: UnixMicros,
        /// See [`AcceptedMessage`].
        key: Option<&'a str>,
        /// See [`AcceptedMessage`].
        tenant: Option<(&'a str, QuotaStatus)>,
        /// See [`AcceptedMessage`].
        body: &'a [u8],
        /// How far it had come when this copy was made; a first record has none.
        progress: Option<Progress>,
    },
    /// The first record of a segment: what stood when it was begun.
    Opening {
        /// All earlier segments that are there.
        sealed: Vec<Sealed>,
        /// Destinations that are out or cold.
        outages: Vec<u32>,
        /// The next message's number.
        next: u64,
        /// Where customers stood with their shares.
        quota_levels: Vec<QuotaLevel>,
    },
}

impl Record<'_> {
    /// The record as this version has it.
    fn current(self) -> Self {
        match self {
            Record::Taken1 { number, id, class, destination, accepted_at, deadline, key, body, progress } => {
                let tenant = None;
                Record::Taken {
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
                }
            }
            Record::Opening1 { sealed, outages, next } => {
                Record::Opening { sealed, outages, next, quota_levels: Vec::new() }
            }
            other => other,
        }
    }
}

/// The head of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Which journal the segment is of: drawn at random when the journal was begun.
    pub identity: u128,
    /// The segment's number in it, from 1.
    pub segment: u64,
    /// When it was begun.
    pub created: UnixMicros,
}

/// What is wrong with a segment's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// Fewer bytes than a header has.
    #[error("its header is cut short")]
    Short,
    /// Another kind of file.
    #[error("it is no segment of a journal")]
    Foreign,
    /// Of a later program.
    #[error("its format has version {0}, this program knows {VERSION}")]
    Newer(u16),
    /// The checksum does not fit.
    #[error("its header is damaged")]
    Damaged,
}

impl Header {
    /// The header's bytes.
    pub fn bytes(&self) -> [u8; HEADER] {
        let mut bytes = [0; HEADER];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..10].copy_from_slice(&VERSION.to_le_bytes());
        bytes[10..12].copy_from_slice(&(HEADER as u16).to_le_bytes());
        bytes[12..28].copy_from_slice(&self.identity.to_le_bytes());
        bytes[28..36].copy_from_slice(&self.segment.to_le_bytes());
        bytes[36..44].copy_from_slice(&self.created.to_le_bytes());
        let sum = crc32fast::hash(&bytes[..44]);
        bytes[44..].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads a header.
    ///
    /// # Errors
    /// See [`HeaderError`]. A newer version is told before its checksum is looked at: its header may differ.
    pub fn read(bytes: &[u8]) -> Result<Header, HeaderError> {
        let known = bytes.len().min(8);
        if bytes[..known] != MAGIC[..known] {
            return Err(HeaderError::Foreign);
        }
        if let Some(version) = bytes.get(8..10) {
            let version = u16::from_le_bytes([version[0], version[1]]);
            if version > VERSION {
                return Err(HeaderError::Newer(version));
            }
        }
        let bytes: &[u8; HEADER] = bytes.first_chunk().ok_or(HeaderError::Short)?;
        if crc32fast::hash(&bytes[..44]).to_le_bytes() != bytes[44..] {
            return Err(HeaderError::Damaged);
        }
        let eight = |at: usize| u64::from_le_bytes(std::array::from_fn(|i| bytes[at + i]));
        let identity = u128::from_le_bytes(std::array::from_fn(|i| bytes[12 + i]));
        Ok(Header { identity, segment: eight(28), created: eight(36) })
    }
}

/// The checksum of a payload. It holds for one segment only: bytes that strayed from another one do not pass.
fn sum(segment: u64, payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&segment.to_le_bytes());
    sum.update(&(payload.len() as u32).to_le_bytes());
    sum.update(payload);
    sum.finalize()
}

/// Appends a record's frame and payload to `bytes`; returns how long they are.
///
/// # Errors
/// Where the record is longer than [`RECORD_MOST`]; `bytes` is as before.
pub fn frame(bytes: &mut Vec<u8>, segment: u64, record: &Record) -> std::io::Result<usize> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; FRAME]);
    *bytes = postcard::to_extend(record, std::mem::take(bytes)).map_err(std::io::Error::other)?;
    let length = bytes.len() - start - FRAME;
    if length > RECORD_MOST {
        bytes.truncate(start);
        return Err(std::io::Error::other("the record is too long"));
    }
    let sum = sum(segment, &bytes[start + FRAME..]);
    let head = &mut bytes[start..start + FRAME];
    head[..4].copy_from_slice(&((length as u32) << 8 | u32::from(MARKER)).to_le_bytes());
    head[4..].copy_from_slice(&sum.to_le_bytes());
    Ok(FRAME + length)
}

/// The record at the start of `bytes` and its length with its frame; none where there is no whole sound one.
pub fn unframe(segment: u64, bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let (head, rest) = bytes.split_first_chunk::<4>()?;
    let (told, rest) = rest.split_first_chunk::<4>()?;
    let head = u32::from_le_bytes(*head);
    let length = (head >> 8) as usize;
    if head as u8 != MARKER || length > RECORD_MOST {
        return None;
    }
    let payload = rest.get(..length)?;
    if sum(segment, payload) != u32::from_le_bytes(*told) {
        return None;
    }
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Some((Record::current(record), FRAME + length)),
        _ => None,
    }
}

/// Where the next sound record begins at or after `from`, looking at `bytes` byte by byte.
pub fn next_sound(segment: u64, bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find(|at| bytes[*at] == MARKER && unframe(segment, &bytes[*at..]).is_some())
}

/// Whether `bytes` end within their first record, or before it.
pub fn cut_short(bytes: &[u8]) -> bool {
    match bytes.first_chunk::<4>().map(|head| u32::from_le_bytes(*head)) {
        Some(head) if head as u8 == MARKER => FRAME + (head >> 8) as usize > bytes.len(),
        Some(_) => false,
        None => true,
    }
}
