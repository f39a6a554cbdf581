//! The operators' door of a dispatcher.
//!
//! - [`protocol`]: one line in, one answer out, as a decoder and an encoder;
//! - [`figures`]: the counts and gauges that the door shows;
//! - [`orders`]: what operators have ordered and what holds until it is called back;
//! - [`record`]: the file in which orders outlast the process;
//! - [`door`]: the shell that listens, on a thread of its own;
//! - [`client`]: the other side.
//!
//! What decides knows nothing of sockets or files.

pub mod client;
pub mod door;
pub mod figures;
pub mod orders;
pub mod protocol;
pub mod record;
