//! What goes over to a process that has taken over.

use crate::calls::{CallEnd, Link as Connection};
use crate::wire::Wire;
use fawnspoke_control::door::Order;
use serde::{Deserialize, Serialize};
use waydoor::{EndpointId, Outcome, RateLimitReport, Seconds};

/// What is handed over once the other process owns, and what is told it then.
pub enum Rest {
    /// A client's connection.
    Client { wire: Wire, read: Vec<u8>, asked_ms: Option<u32> },
    /// An idle connection to an endpoint.
    Idle { endpoint: EndpointId, link: Connection },
    /// What came of something that was out.
    Told(Told),
    /// An order that came to this process's door.
    Order(Order),
}

/// What came of something that was out.
#[derive(Debug, Deserialize, Serialize)]
pub enum Told {
    /// A call.
    Call { endpoint: u64, dest: u32, sent_at: Seconds, end: CallEnd },
    /// A probe.
    Probe { endpoint: u64, outcome: Outcome, latency: Seconds, allowance: Option<RateLimitReport> },
}
