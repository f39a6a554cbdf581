//! The journal: the durable ledger of what a dispatcher owes.
//!
//! A log of records in segments, each a file that is only appended to, with an index of what is owed in memory. A
//! record that is on file before its effect lets the next life of the dispatcher go on where this one ended. What
//! is over leaves dead bytes behind; they are won back in small steps ([`Journal::step`]), so that no pause grows
//! with what is held.
//!
//! - [`format`](mod@format): the bytes, described in `docs/journal-format.md`; no I/O.
//! - [`index`]: what the records say, and which segment each fact stands in; no I/O.
//! - [`ended`]: messages that are over, for as long as that is remembered; no I/O.
//! - [`compaction`]: which segment to empty next, how much at a step, what still fits; no I/O.
//! - [`scan`](mod@survey): reads a folder and changes nothing: what recovery begins with.
//! - [`inspect`]: what operators ask of a journal.
//! - [`files`]: the seam to the file system.
//! - [`journal`]: the thin shell that puts them together.

pub mod compaction;
pub mod files;
pub mod format;
pub mod index;
pub mod inspect;
pub mod journal;
mod old;
pub mod recent_outcomes;
pub mod scan;

pub use files::{Disk, Files};
pub use format::{AcceptedMessage, AttemptStart, Notice, QuotaLevel, QuotaStatus, UNKNOWN_ZONE, UnixMicros};
pub use index::JournaledMessage;
pub use journal::{Damage, Durability, Journal, OpenError, Options, Recovery};
pub use recent_outcomes::FinalOutcome;
