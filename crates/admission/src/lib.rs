//! Admission control for servers whose callers share a limited number of connections, and of whom some never send a
//! complete request.
//!
//! - [`table`]: the decisions, without I/O: who is admitted, who waits, and who is disconnected for others;
//! - [`gate`]: the same for asynchronous servers that accept one caller after the other.
//!
//! While connections are free, a caller is limited by its server's own time limit alone. Once all are in use, a caller
//! that has not sent a complete request keeps its connection for a minimum time; new callers wait in the listener's
//! queue meanwhile, where their requests arrive. So a caller that sends its request in pieces is not disconnected for
//! those that connect after it, and `max_callers` per minimum time pass through, however many callers send nothing.

pub mod gate;
pub mod table;

/// Length of the listener's queue in which the callers of a server wait: those beyond it are dropped by the kernel and connect
/// again a second later.
pub const LISTEN_BACKLOG: i32 = 1024;
