//! Items that are transferred to the new process after a handover.

use crate::calls::CallEnd;
use crate::connection::Connection;
use crate::stream::SharedStream;
use fawnspoke_control::server::OverrideCommand;
use serde::{Deserialize, Serialize};
use waydoor::{EndpointId, Outcome, RateLimitReport, Seconds};

/// An item that is sent to the new process once it owns the dispatcher's state.
pub enum Transfer {
    /// A client's connection, the bytes read of an incomplete request, and for how long the rest has been awaited.
    Client { stream: SharedStream, partial_request: Vec<u8>, waited_ms: Option<u32> },
    /// An idle connection to an endpoint.
    IdleConnection { endpoint: EndpointId, connection: Connection },
    /// The result of a call or a probe.
    Completion(Completion),
    /// An operator override that arrived at this process's control port.
    OverrideCommand(OverrideCommand),
}

/// The result of a call or a probe that was in flight at the handover.
#[derive(Debug, Deserialize, Serialize)]
pub enum Completion {
    /// The end of a call.
    Call { endpoint: u64, destination: u32, sent_at: Seconds, end: CallEnd },
    /// The result of a probe.
    Probe { endpoint: u64, outcome: Outcome, latency: Seconds, rate_limit_report: Option<RateLimitReport> },
}
