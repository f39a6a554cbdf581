//! Members of a fleet of dispatchers, and one agreed log among them.
//!
//! - [`config`]: the operators' file that turns it on;
//! - [`identity`]: who a member is: name, birth and lives;
//! - [`record_checks`]: who has looked at whose record;
//! - [`leadership_confirmation`]: questions whether a leader leads;
//! - [`memory_log`]: the log while it runs;
//! - [`members`]: who is a member, and the one change that is due next;
//! - [`raft_types`]: the agreement library's messages and records in a form of our own;
//! - [`state_machine`]: what stands on the log, such as duties;
//! - [`mod@core`]: a member without sockets, files and clocks: events in, records and frames out;
//! - [`store`]: the record on disk, synced before anything is answered for;
//! - [`wire`] and [`connections`]: what passes between members, and the connections over which it does;
//! - [`logging`]: lines that others may cause;
//! - [`runtime`]: the thread that feeds the core and carries out what it asks for.
//!
//! What decides knows nothing of sockets, files or clocks.

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

/// A point on the machine's clock that goes on while it sleeps (`CLOCK_BOOTTIME`), or a span, in seconds.
pub type Seconds = f64;

/// A member's number: its birth, drawn when its folder was first used. Never 0.
pub type MemberId = u64;
