//! Items that are transferred to the new process after a handover.

use crate::calls::CallEnd;
use crate::connection::{Connection, SurplusResponse};
use crate::inputs::Input;
use crate::stream::SharedStream;
use fawnspoke_control::server::OverrideCommand;
use fawnspoke_pairing::ResponseHead;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use waydoor::{EndpointId, Event, Outcome, RateLimitReport, Seconds};

/// An item that is sent to the new process once it owns the dispatcher's state.
pub enum Transfer {
    /// A client's connection, the bytes read of an incomplete request, and for how long the rest has been awaited.
    Client { stream: SharedStream, partial_request: Vec<u8>, waited_ms: Option<u32> },
    /// An idle connection to an endpoint.
    IdleConnection { endpoint: EndpointId, connection: Connection },
    /// What an endpoint sent to a connection of this process.
    Completion(Completion),
    /// An operator override that arrived at this process's control port.
    OverrideCommand(OverrideCommand),
}

/// What an endpoint sent to a connection of the process that hands over.
#[derive(Debug, Deserialize, Serialize)]
pub enum Completion {
    /// The end of a call.
    Call { endpoint: u64, destination: u32, sent_at: Seconds, end: CallEnd },
    /// The result of a probe.
    Probe { endpoint: u64, outcome: Outcome, latency: Seconds, rate_limit_report: Option<RateLimitReport> },
    /// An endpoint asked to wait.
    RetryAfter { endpoint: u64, delay: Seconds },
    /// A response belonged to no request.
    SurplusResponse(TransferredSurplus),
}

/// A [`SurplusResponse`], to be transferred.
#[derive(Debug, Deserialize, Serialize)]
pub struct TransferredSurplus {
    endpoint: u64,
    destination: u32,
    address: SocketAddr,
    connection: u64,
    requests: u64,
    status: Option<u16>,
    retry_after: Option<Duration>,
}

impl From<SurplusResponse> for TransferredSurplus {
    fn from(surplus: SurplusResponse) -> TransferredSurplus {
        let SurplusResponse { endpoint, destination, address, connection, requests, head } = surplus;
        TransferredSurplus {
            endpoint: endpoint.0,
            destination,
            address,
            connection,
            requests,
            status: head.status.map(|status| status.as_u16()),
            retry_after: head.retry_after,
        }
    }
}

impl From<TransferredSurplus> for SurplusResponse {
    fn from(transferred: TransferredSurplus) -> SurplusResponse {
        let TransferredSurplus { endpoint, destination, address, connection, requests, status, retry_after } =
            transferred;
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let head = ResponseHead { status, retry_after };
        SurplusResponse { endpoint: EndpointId(endpoint), destination, address, connection, requests, head }
    }
}

impl Completion {
    /// What the new process has to know of an input that this one gets after a handover. The ends of calls and probes are
    /// transferred by themselves.
    pub fn of_late_input(input: Input) -> Option<Completion> {
        match input {
            Input::SurplusResponse(surplus) => Some(Completion::SurplusResponse(surplus.into())),
            Input::Event(Event::RetryAfter { endpoint, delay }) => {
                Some(Completion::RetryAfter { endpoint: endpoint.0, delay })
            }
            _ => None,
        }
    }
}
