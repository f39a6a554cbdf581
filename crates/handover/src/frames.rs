//! The messages between sender and receiver, one frame per packet.
//!
//! The receiver's first packet is a [`Hello`] in JSON, which every protocol version can read. All other packets are
//! postcard frames of [`PROTOCOL_VERSION`].

pub use fawnspoke_frames::{FrameError, decode, encode};
use serde::{Deserialize, Serialize};

/// The version of the frames. Processes of different versions do not hand over: the new one waits until the old one
/// exits.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest packet, in bytes. A partially received client request, head and body, fits into it.
pub const MAX_PACKET_BYTES: usize = 128 * 1024;
/// Bytes of the state in one packet.
pub const STATE_CHUNK_BYTES: usize = 64 * 1024;
/// A longer state is rejected.
pub const MAX_STATE_BYTES: usize = 64 << 20;

/// The receiver's first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The receiver's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Whether the receiver requests the dispatcher's in-memory state. If not, the sender aborts its calls before it
    /// hands over.
    #[serde(rename = "decisions")]
    pub in_memory_state: bool,
}

/// A frame from the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SenderFrame {
    /// The handover is rejected, with the reason.
    Rejected(String),
    /// A chunk of the state; an empty chunk ends it. The clients' listening socket comes with the last one as a file
    /// descriptor, unless both processes inherited it from their parent.
    State(Vec<u8>),
    /// A client connection, sent along as a file descriptor.
    Client {
        /// The bytes read so far of an incomplete request.
        partial_request: Vec<u8>,
        /// For how long the rest of that request has been awaited, in milliseconds; none if no request is incomplete.
        waited_ms: Option<u32>,
    },
    /// An idle connection to an endpoint, sent along as a file descriptor.
    IdleConnection {
        /// The endpoint's number in the dispatcher.
        endpoint: u64,
        /// The endpoint's address.
        address: std::net::SocketAddr,
        /// For how long the connection has been idle, in milliseconds.
        idle_ms: u32,
    },
    /// The result of a call that was in flight, encoded by the dispatcher.
    CallCompleted(Vec<u8>),
    /// An operator override that the sender's control port has received. The receiver answers with
    /// [`ReceiverFrame::OverrideResult`] and the same number.
    OverrideCommand {
        /// Identifies the override; counted up.
        number: u32,
        /// Whether to add the override or to remove it.
        activate: bool,
        /// The endpoint's id in the service registry.
        endpoint_id: String,
    },
}

/// A frame from the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReceiverFrame {
    /// The receiver is the owner now.
    OwnershipAcquired,
    /// The receiver can't use the state, with the reason.
    StateUnusable(String),
    /// The result of an operator override that the sender forwarded.
    OverrideResult {
        /// The number of the override.
        number: u32,
        /// Whether it succeeded.
        success: bool,
        /// The text for the operator.
        message: String,
    },
}

impl Hello {
    /// Encodes the hello as a packet.
    ///
    /// # Errors
    /// Where it can't be encoded; none is known.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        fawnspoke_frames::encode_hello(self)
    }

    /// Decodes a packet.
    ///
    /// # Errors
    /// Where the packet is not a hello.
    pub fn decode(packet: &[u8]) -> Result<Hello, FrameError> {
        fawnspoke_frames::decode_hello(packet)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn frames_and_hellos_round_trip() {
        let hello = Hello { version: PROTOCOL_VERSION, in_memory_state: true };
        assert_eq!(Hello::decode(&hello.encode().unwrap()).unwrap(), hello);
        // A later version may add fields.
        let newer = Hello::decode(br#"{"version":9,"decisions":false,"more":[1]}"#).unwrap();
        assert_eq!(newer.version, 9);
        let frame = SenderFrame::Client { partial_request: vec![0, 255], waited_ms: Some(7) };
        assert_eq!(decode::<SenderFrame>(&encode(&frame).unwrap()).unwrap(), frame);
    }

    proptest! {
        #[test]
        fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = (decode::<SenderFrame>(&bytes), decode::<ReceiverFrame>(&bytes), Hello::decode(&bytes));
        }
    }
}
