//! The journal: the durable ledger of what a dispatcher owes.
//!
//! A log of records in segments, each a file that is only appended to, with an index of what is owed in memory. A
//! record that is on file before its effect lets the next life of the dispatcher go on where this one ended. What
//! is over leaves dead bytes behind; they are won back in small steps ([`Journal::step`]), so that no pause grows
//! with what is held.
//!
//! - [`format`](mod@format): the bytes, described in `docs/journal-format.md`; no I/O.
//! - [`ledger`]: what the records say, and which segment each fact stands in; no I/O.
//! - [`ended`]: messages that are over, for as long as that is remembered; no I/O.
//! - [`plan`]: which segment to empty next, how much at a step, what still fits; no I/O.
//! - [`survey`](mod@survey): reads a folder and changes nothing: what recovery begins with.
//! - [`inspect`]: what operators ask of a journal.
//! - [`files`]: the seam to the file system.
//! - [`journal`]: the thin shell that puts them together.

pub mod ended;
pub mod files;
pub mod format;
pub mod inspect;
pub mod journal;
pub mod ledger;
mod old;
pub mod plan;
pub mod survey;

pub use ended::End;
pub use files::{Disk, Files};
pub use format::{Handed, Level, Notice, Share, Start, UNKNOWN_ZONE, UnixMicros};
pub use journal::{Damage, Durability, Journal, OpenError, Options, Recovery};
pub use ledger::Kept;
