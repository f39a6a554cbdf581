//! Fleet membership and one replicated log, on tikv's `raft` library.
//!
//! - [`config`]: the operators' file that makes a dispatcher a member of a fleet;
//! - [`identity`]: a member's id and start count, and how far its persisted Raft state reaches;
//! - [`record_checks`]: detects members whose state directory was restored from an older copy;
//! - [`leadership_confirmation`]: batches requests to confirm that the leader still leads;
//! - [`memory_log`]: the log storage that the Raft library reads;
//! - [`members`]: the replicated member list and the next change to it;
//! - [`raft_types`]: serializable forms of the Raft library's messages and records;
//! - [`state_machine`]: the trait of what is replicated, such as duties;
//! - [`mod@core`]: one member without I/O: events in, records and frames out;
//! - [`store`]: the persistent log, synced before anything in it is acknowledged;
//! - [`wire`] and [`connections`]: the protocol between members and the connections that carry it;
//! - [`logging`]: rate-limited log lines;
//! - [`runtime`]: the thread that drives the core and does its I/O.
//!
//! The core makes every decision and does no I/O of its own: sockets, files and clocks belong to the runtime.

pub mod clock;
pub mod config;
pub mod connections;
pub mod core;
pub mod identity;
pub mod leadership_confirmation;
pub mod logging;
pub mod members;
pub mod memory_log;
pub mod raft_types;
pub mod record_checks;
pub mod runtime;
pub mod state_machine;
pub mod store;
pub mod wire;

/// A time or a duration in seconds. Times are read from a clock that also counts while the machine is suspended
/// (`CLOCK_BOOTTIME`).
pub type Seconds = f64;

/// Identifies one incarnation of a member: drawn at random when its state directory is first used. Never 0, which the
/// Raft library takes for "no member".
pub type MemberId = u64;
