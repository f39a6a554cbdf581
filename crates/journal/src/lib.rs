//! The dispatcher's journal: a durable, append-only log of every message that is not finished yet.
//!
//! Records are appended to segment files, and an in-memory index holds the state of all open messages. A record is
//! written before the effect that it announces, so the next process can continue where this one stopped. Records of
//! finished messages become dead bytes; [`Journal::compact_step`] reclaims them in small steps, so that no pause grows
//! with the number of open messages.
//!
//! - [`format`](mod@format): the on-disk format, described in `docs/journal-format.md`; no I/O.
//! - [`index`]: the state that the records describe, and which segment holds each live record; no I/O.
//! - [`recent_outcomes`]: a bounded memory of finished messages, for duplicate detection; no I/O.
//! - [`compaction`]: which segment to compact next, how much per step, and admission of new messages; no I/O.
//! - [`scan`](mod@scan): reads a journal directory without changing it; the first step of recovery.
//! - [`inspect`]: the operators' commands on a journal.
//! - [`files`]: the file-system abstraction.
//! - [`journal`]: the journal itself, which combines the modules above with I/O.

pub mod compaction;
pub mod files;
pub mod format;
pub mod index;
pub mod inspect;
pub mod journal;
mod legacy;
pub mod recent_outcomes;
pub mod scan;

pub use files::{Disk, Files};
pub use format::{AcceptedMessage, AttemptStart, Notice, QuotaLevel, QuotaStatus, UNKNOWN_ZONE, UnixMicros};
pub use index::JournaledMessage;
pub use journal::{Damage, Durability, Journal, OpenError, Options, Recovery};
pub use recent_outcomes::FinalOutcome;
