//! What goes over to a process that has taken over.

use crate::calls::{CallEnd, Connection};
use crate::stream::SharedStream;
use fawnspoke_control::server::OverrideCommand;
use serde::{Deserialize, Serialize};
use waydoor::{EndpointId, Outcome, RateLimitReport, Seconds};

/// What is handed over once the other process owns, and what is told it then.
pub enum Transfer {
    /// A client's connection.
    Client { stream: SharedStream, read: Vec<u8>, asked_ms: Option<u32> },
    /// An idle connection to an endpoint.
    IdleConnection { endpoint: EndpointId, connection: Connection },
    /// What came of something that was out.
    Completion(Completion),
    /// An order that came to this process's door.
    Order(OverrideCommand),
}

/// What came of something that was out.
#[derive(Debug, Deserialize, Serialize)]
pub enum Completion {
    /// A call.
    Call { endpoint: u64, dest: u32, sent_at: Seconds, end: CallEnd },
    /// A probe.
    Probe { endpoint: u64, outcome: Outcome, latency: Seconds, allowance: Option<RateLimitReport> },
}
