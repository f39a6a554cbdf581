//! Members of a fleet of dispatchers, and one agreed log among them.
//!
//! - [`mod@file`]: the operators' file that turns it on;
//! - [`identity`]: who a member is: name, birth and lives;
//! - [`looks`]: who has looked at whose record;
//! - [`confirm`]: questions whether a leader leads;
//! - [`memory`]: the log while it runs;
//! - [`members`]: who is a member, and the one change that is due next;
//! - [`forms`]: the agreement library's messages and records in a form of our own;
//! - [`part`]: what stands on the log, such as duties;
//! - [`mod@core`]: a member without sockets, files and clocks: events in, records and frames out;
//! - [`store`]: the record on disk, synced before anything is answered for;
//! - [`wire`] and [`links`]: what passes between members, and the connections over which it does;
//! - [`said`]: lines that others may cause;
//! - [`shell`]: the thread that feeds the core and carries out what it asks for.
//!
//! What decides knows nothing of sockets, files or clocks.

pub mod clock;
pub mod confirm;
pub mod core;
pub mod file;
pub mod forms;
pub mod identity;
pub mod links;
pub mod looks;
pub mod members;
pub mod memory;
pub mod part;
pub mod said;
pub mod shell;
pub mod store;
pub mod wire;

/// A point on the machine's clock that goes on while it sleeps (`CLOCK_BOOTTIME`), or a span, in seconds.
pub type Seconds = f64;

/// A member's number: its birth, drawn when its folder was first used. Never 0.
pub type Id = u64;
