//! A call to an endpoint: its messages, and where it goes.

use fawnspoke_journal::AcceptedMessage;
use std::net::SocketAddr;
use waydoor::{EndpointId, Seconds};

/// A message that a call carries.
pub struct CallMessage {
    /// Its number in the journal.
    pub number: u64,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    pub content: AcceptedMessage,
}

/// A call that carries one message or a batch.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub destination: u32,
    /// The endpoint's zone.
    pub zone: u16,
    pub messages: Vec<CallMessage>,
    pub timeout: Seconds,
    /// A message of the call must not be sent again once it may have run.
    pub carries_unsafe: bool,
}
