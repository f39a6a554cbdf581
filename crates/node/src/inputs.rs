//! The inputs of the event loop: what other tasks report to it.

use crate::calls::CallEnd;
use crate::connection::{ConnectionReport, SurplusResponse};
use waydoor::{EndpointId, Event, Seconds};

/// An input of the event loop.
pub enum Input {
    /// An event for the decision core.
    Event(Event),
    /// The first byte of the 202 response for a message was written.
    Accepted { number: u64 },
    /// A call ended.
    CallEnded { endpoint: EndpointId, sent_at: Seconds, end: CallEnd },
    /// A response arrived that belongs to no request.
    SurplusResponse(SurplusResponse),
}

impl From<ConnectionReport> for Input {
    fn from(report: ConnectionReport) -> Input {
        match report {
            ConnectionReport::Surplus(surplus) => Input::SurplusResponse(surplus),
            ConnectionReport::RetryAfter { endpoint, delay } => {
                Input::Event(Event::RetryAfter { endpoint, delay })
            }
        }
    }
}
