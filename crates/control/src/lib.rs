//! The operators' door of a dispatcher.
//!
//! - [`protocol`]: one line in, one answer out, as a decoder and an encoder;
//! - [`metrics`]: the counts and gauges that the door shows;
//! - [`overrides`]: what operators have ordered and what holds until it is called back;
//! - [`override_file`]: the file in which orders outlast the process;
//! - [`server`]: the shell that listens, on a thread of its own;
//! - [`client`]: the other side.
//!
//! What decides knows nothing of sockets or files.

pub mod client;
pub mod metrics;
pub mod override_file;
pub mod overrides;
pub mod protocol;
pub mod server;
