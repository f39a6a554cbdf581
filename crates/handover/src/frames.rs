//! What passes between the two: one packet a frame.
//!
//! The first packet of each side is a [`Hello`], in JSON, which every version reads; what follows is of the version that
//! both know.

pub use fawnspoke_frames::{FrameError, decode, encode};
use serde::{Deserialize, Serialize};

/// The version of the frames. One that differs is no partner: the new process waits until the old one has ended.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest packet, in bytes: what a client has sent of a request so far fits, head and body.
pub const MAX_PACKET_BYTES: usize = 128 * 1024;
/// Bytes of a state in one packet.
pub const STATE_CHUNK_BYTES: usize = 64 * 1024;
/// A state that is longer is none.
pub const MAX_STATE_BYTES: usize = 64 << 20;

/// The first word of a taker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its [`PROTOCOL_VERSION`].
    pub version: u32,
    /// It wants what the decisions hold in mind. Without it the giver breaks off its calls first.
    pub decisions: bool,
}

/// What a giver sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SenderFrame {
    /// It does not give, and why.
    Rejected(String),
    /// A piece of its state; the last one is empty. With that one comes the clients' listening socket as a descriptor,
    /// unless both have it from who started them.
    State(Vec<u8>),
    /// A client's connection, as a descriptor.
    Client {
        /// What was read of a request that is not whole.
        partial_request: Vec<u8>,
        /// Since when that request is awaited, in milliseconds; none where none is.
        waited_ms: Option<u32>,
    },
    /// An idle connection to an endpoint, as a descriptor.
    IdleConnection {
        /// The endpoint, by the decisions' number.
        endpoint: u64,
        /// Where it is.
        address: std::net::SocketAddr,
        /// For how long it has been idle, in milliseconds.
        idle_ms: u32,
    },
    /// How a call ended that was out: in the form that the dispatcher keeps.
    CallCompleted(Vec<u8>),
    /// How an order was carried out that came to the giver's door: asked by [`ReceiverFrame::OverrideResult`]'s number.
    OverrideCommand {
        /// Counts the orders.
        number: u32,
        /// Given, or called back.
        activate: bool,
        /// The endpoint's id.
        endpoint_id: String,
    },
}

/// What a taker sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReceiverFrame {
    /// It owns.
    OwnershipAcquired,
    /// It can't use what came, and why.
    StateUnusable(String),
    /// How an order was carried out that came to the giver's door.
    OverrideResult {
        /// The order's number.
        number: u32,
        /// A yes.
        success: bool,
        /// With this text.
        message: String,
    },
}

impl Hello {
    /// As a packet.
    ///
    /// # Errors
    /// None that is known.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        fawnspoke_frames::encode_hello(self)
    }

    /// Reads a packet.
    ///
    /// # Errors
    /// Where it is no hello.
    pub fn decode(packet: &[u8]) -> Result<Hello, FrameError> {
        fawnspoke_frames::decode_hello(packet)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_sent_is_read() {
        let hello = Hello { version: PROTOCOL_VERSION, decisions: true };
        assert_eq!(Hello::decode(&hello.encode().unwrap()).unwrap(), hello);
        // A later version may say more.
        let later = Hello::decode(br#"{"version":9,"decisions":false,"more":[1]}"#).unwrap();
        assert_eq!(later.version, 9);
        let frame = SenderFrame::Client { partial_request: vec![0, 255], waited_ms: Some(7) };
        assert_eq!(decode::<SenderFrame>(&encode(&frame).unwrap()).unwrap(), frame);
    }

    proptest! {
        #[test]
        fn bytes_that_are_no_frame_are_an_error_and_no_more(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = (decode::<SenderFrame>(&bytes), decode::<ReceiverFrame>(&bytes), Hello::decode(&bytes));
        }
    }
}
