//! The operators' control port of a dispatcher.
//!
//! - [`protocol`]: the text protocol, one request line and one response per connection;
//! - [`metrics`]: the counters and gauges that the control port serves;
//! - [`overrides`]: operator overrides, which stay in force until they are removed;
//! - [`override_file`]: the file that persists the overrides;
//! - [`server`]: the control server, on a thread of its own;
//! - [`disconnections`]: counts of callers that were disconnected before their request was complete;
//! - [`client`]: the client side.
//!
//! The protocol, the metrics, the overrides and the counts are free of I/O.

pub mod client;
pub mod disconnections;
pub mod metrics;
pub mod override_file;
pub mod overrides;
pub mod protocol;
pub mod server;
