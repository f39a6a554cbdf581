//! The on-disk format of the journal, as `docs/journal-format.md` describes it. This module does no I/O, and no
//! input makes it panic.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Microseconds of Unix time. A monotonic clock would mean nothing to the next process.
pub type UnixMicros = u64;

/// The magic number at the start of every segment.
pub const MAGIC: [u8; 8] = *b"FSPKJRNL";
/// The format version that this program writes. It also reads segments of version 1.
pub const VERSION: u16 = 2;
/// Length of a segment header in bytes.
pub const HEADER_BYTES: usize = 48;
/// Bytes in front of a record's payload: marker, payload length and checksum.
pub const FRAME_BYTES: usize = 8;
/// First byte of each record frame. After damage, readers search for the next one.
const RECORD_MARKER: u8 = 0xA7;
/// Maximum payload length of a record. A message body has up to 64 KiB, but a [`Record::SegmentOpened`] lists up to
/// 100,000 segments.
pub const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// The zone of an attempt whose record is lost.
pub const UNKNOWN_ZONE: u16 = u16::MAX;

/// When and where an attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// Time of the start.
    pub at: UnixMicros,
    /// The zone of the endpoint, or [`UNKNOWN_ZONE`].
    pub zone: u16,
}

/// How an undelivered message ended, as reported to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Delivery was given up: an attempt may have run.
    GivenUp,
    /// The message was handed back: no attempt ran, or running it again is harmless.
    HandedBack {
        /// Suggested delay before the client submits the message again, in milliseconds.
        retry_in_ms: u64,
    },
}

/// A tenant's quota at the time when one of its messages was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Whether the message exceeded the quota.
    pub exceeded: bool,
    /// What remained of the quota after this message, in thousandths of a message.
    pub remaining_thousandths: u32,
}

/// What remained of a tenant's quota at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel {
    /// The tenant's name.
    pub tenant: String,
    /// What remained of the quota, in thousandths of a message.
    pub remaining_thousandths: u32,
    /// Time at which this was the level.
    pub at: UnixMicros,
}

/// A message as the client submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The id that the client gave it.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Number of its destination.
    pub destination: u32,
    /// When it was accepted.
    pub accepted_at: UnixMicros,
    /// When its delivery deadline passes.
    pub deadline: UnixMicros,
    /// The idempotency key.
    pub key: Option<String>,
    /// Its tenant's name and quota, where the tenant has a quota.
    pub tenant: Option<(String, QuotaStatus)>,
    /// The body; empty once a notice is due, as no further attempt needs it.
    pub body: Bytes,
}

/// The delivery state of a message: what later records have added to its first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of attempts started.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_have_run: Option<AttemptStart>,
    /// The attempt in flight.
    pub in_flight: Option<AttemptStart>,
    /// The notice that the platform has yet to receive.
    pub notice: Option<Notice>,
}

/// A sealed segment, as later segments list it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedSegment {
    /// Its sequence number.
    pub segment: u64,
    /// Its valid length in bytes, including the header. Bytes beyond it are ignored.
    pub length: u64,
}

/// A journal record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record<'a> {
    /// Version 1 of [`Record::Accepted`]: read as that, never written.
    AcceptedV1 {
        /// See [`Record::Accepted`].
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
        /// Delivery state at the time of this copy; `None` in a message's first record.
        progress: Option<Progress>,
    },
    /// An attempt is about to be sent.
    AttemptStarted {
        /// Number of the message.
        number: u64,
        /// When and where it was started.
        start: AttemptStart,
    },
    /// An attempt ended without delivering the message.
    AttemptEnded {
        /// Number of the message.
        number: u64,
        /// Whether the attempt may have run.
        may_have_run: bool,
    },
    /// The message ended undelivered, and the platform has to be notified.
    NoticeDue {
        /// Number of the message.
        number: u64,
        /// The notice to send.
        notice: Notice,
    },
    /// The message is finished: it needs neither an attempt nor a notice any more.
    Closed {
        /// Number of the message.
        number: u64,
        /// The segment with the message's last [`Record::Accepted`]: this record stays live while that segment exists.
        base_segment: u64,
    },
    /// A copy of a message's delivery state, which replaces the earlier records of it.
    Progress {
        /// Number of the message.
        number: u64,
        /// The delivery state.
        progress: Progress,
    },
    /// A destination became unavailable or is still recovering, or its outage is over.
    Outage {
        /// Number of the destination.
        destination: u32,
        /// Whether it is unavailable or still recovering.
        ongoing: bool,
    },
    /// Version 1 of [`Record::SegmentOpened`]: read as that, never written.
    SegmentOpenedV1 {
        /// All earlier segments that still exist.
        sealed: Vec<SealedSegment>,
        /// Destinations that are unavailable or recovering.
        outages: Vec<u32>,
        /// The next message's number.
        next_number: u64,
    },
    /// All live records of a segment have been copied to later ones; its file is about to be deleted.
    SegmentRemoved {
        /// Sequence number of that segment.
        segment: u64,
    },
    /// A message was accepted.
    Accepted {
        /// The number that the journal gave it, which is never reused.
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
        /// Delivery state at the time of this copy; `None` in a message's first record.
        progress: Option<Progress>,
    },
    /// The first record of a segment: the state at the time when the segment was started.
    SegmentOpened {
        /// All earlier segments that still exist.
        sealed: Vec<SealedSegment>,
        /// Destinations that are unavailable or recovering.
        outages: Vec<u32>,
        /// The next message's number.
        next_number: u64,
        /// The last known quota levels of the tenants.
        quota_levels: Vec<QuotaLevel>,
    },
}

impl Record<'_> {
    /// Converts a record of an older version to the current one.
    fn upgrade(self) -> Self {
        match self {
            Record::AcceptedV1 {
                number,
                id,
                class,
                destination,
                accepted_at,
                deadline,
                key,
                body,
                progress,
            } => {
                let tenant = None;
                Record::Accepted {
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
            Record::SegmentOpenedV1 { sealed, outages, next_number } => {
                Record::SegmentOpened { sealed, outages, next_number, quota_levels: Vec::new() }
            }
            other => other,
        }
    }
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Identifies the journal that the segment belongs to: a random number drawn when the journal was created.
    pub identity: u128,
    /// The segment's sequence number, from 1.
    pub segment: u64,
    /// When the segment was started.
    pub created_at: UnixMicros,
}

/// Why a segment header is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// There are fewer bytes than a header has.
    #[error("the header is incomplete")]
    Truncated,
    /// The magic number is missing: this is another kind of file.
    #[error("not a journal segment")]
    WrongMagic,
    /// A newer program wrote it.
    #[error("format version {0} is newer than the supported version {VERSION}")]
    Newer(u16),
    /// The checksum does not match.
    #[error("the header checksum does not match")]
    ChecksumMismatch,
}

impl Header {
    /// Encodes the header.
    pub fn to_bytes(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..10].copy_from_slice(&VERSION.to_le_bytes());
        bytes[10..12].copy_from_slice(&(HEADER_BYTES as u16).to_le_bytes());
        bytes[12..28].copy_from_slice(&self.identity.to_le_bytes());
        bytes[28..36].copy_from_slice(&self.segment.to_le_bytes());
        bytes[36..44].copy_from_slice(&self.created_at.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..44]);
        bytes[44..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header.
    ///
    /// # Errors
    /// See [`HeaderError`]. A newer version is reported before the checksum is verified, as its header layout may
    /// differ.
    pub fn parse(bytes: &[u8]) -> Result<Header, HeaderError> {
        let magic_length = bytes.len().min(8);
        if bytes[..magic_length] != MAGIC[..magic_length] {
            return Err(HeaderError::WrongMagic);
        }
        if let Some(version) = bytes.get(8..10) {
            let version = u16::from_le_bytes([version[0], version[1]]);
            if version > VERSION {
                return Err(HeaderError::Newer(version));
            }
        }
        let bytes: &[u8; HEADER_BYTES] = bytes.first_chunk().ok_or(HeaderError::Truncated)?;
        if crc32fast::hash(&bytes[..44]).to_le_bytes() != bytes[44..] {
            return Err(HeaderError::ChecksumMismatch);
        }
        let read_u64 = |offset: usize| u64::from_le_bytes(std::array::from_fn(|i| bytes[offset + i]));
        let identity = u128::from_le_bytes(std::array::from_fn(|i| bytes[12 + i]));
        Ok(Header { identity, segment: read_u64(28), created_at: read_u64(36) })
    }
}

/// The checksum of a payload. It covers the segment number, so a record that was copied bytewise from another segment
/// does not verify.
fn checksum(segment: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Appends a framed record to `bytes` and returns the length of the frame and payload.
///
/// # Errors
/// If the payload is longer than [`MAX_RECORD_BYTES`]; `bytes` is unchanged then.
pub fn append_record(bytes: &mut Vec<u8>, segment: u64, record: &Record) -> std::io::Result<usize> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; FRAME_BYTES]);
    *bytes = postcard::to_extend(record, std::mem::take(bytes)).map_err(std::io::Error::other)?;
    let length = bytes.len() - start - FRAME_BYTES;
    if length > MAX_RECORD_BYTES {
        bytes.truncate(start);
        return Err(std::io::Error::other("record exceeds the maximum payload length"));
    }
    let checksum = checksum(segment, &bytes[start + FRAME_BYTES..]);
    let head = &mut bytes[start..start + FRAME_BYTES];
    head[..4].copy_from_slice(&((length as u32) << 8 | u32::from(RECORD_MARKER)).to_le_bytes());
    head[4..].copy_from_slice(&checksum.to_le_bytes());
    Ok(FRAME_BYTES + length)
}

/// Decodes the record at the start of `bytes`. Returns it with its framed length, or `None` if it is incomplete or
/// does not verify.
pub fn decode_record(segment: u64, bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let (head, rest) = bytes.split_first_chunk::<4>()?;
    let (stored_checksum, rest) = rest.split_first_chunk::<4>()?;
    let head = u32::from_le_bytes(*head);
    let length = (head >> 8) as usize;
    if head as u8 != RECORD_MARKER || length > MAX_RECORD_BYTES {
        return None;
    }
    let payload = rest.get(..length)?;
    if checksum(segment, payload) != u32::from_le_bytes(*stored_checksum) {
        return None;
    }
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Some((Record::upgrade(record), FRAME_BYTES + length)),
        _ => None,
    }
}

/// Finds the next valid record at or after offset `from` by trying each byte.
pub fn find_next_record(segment: u64, bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .find(|offset| bytes[*offset] == RECORD_MARKER && decode_record(segment, &bytes[*offset..]).is_some())
}

/// Whether `bytes` end before their first record is complete.
pub fn is_truncated(bytes: &[u8]) -> bool {
    match bytes.first_chunk::<4>().map(|head| u32::from_le_bytes(*head)) {
        Some(head) if head as u8 == RECORD_MARKER => FRAME_BYTES + (head >> 8) as usize > bytes.len(),
        Some(_) => false,
        None => true,
    }
}
