//! What passes between the two: one packet a frame.
//!
//! The first packet of each side is a [`Hello`], in JSON, which every version reads; what follows is of the version that
//! both know.

pub use fawnspoke_frames::{FrameError, packet, read};
use serde::{Deserialize, Serialize};

/// The version of the frames. One that differs is no partner: the new process waits until the old one has ended.
pub const VERSION: u32 = 1;
/// Longest packet, in bytes: what a client has sent of a request so far fits, head and body.
pub const PACKET_MOST: usize = 128 * 1024;
/// Bytes of a state in one packet.
pub const CHUNK: usize = 64 * 1024;
/// A state that is longer is none.
pub const STATE_MOST: usize = 64 << 20;

/// The first word of a taker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its [`VERSION`].
    pub version: u32,
    /// It wants what the decisions hold in mind. Without it the giver breaks off its calls first.
    pub decisions: bool,
}

/// What a giver sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromGiver {
    /// It does not give, and why.
    Refused(String),
    /// A piece of its state; the last one is empty. With that one comes the clients' listening socket as a descriptor,
    /// unless both have it from who started them.
    State(Vec<u8>),
    /// A client's connection, as a descriptor.
    Client {
        /// What was read of a request that is not whole.
        read: Vec<u8>,
        /// Since when that request is awaited, in milliseconds; none where none is.
        asked_ms: Option<u32>,
    },
    /// An idle connection to an endpoint, as a descriptor.
    Idle {
        /// The endpoint, by the decisions' number.
        endpoint: u64,
        /// Where it is.
        at: std::net::SocketAddr,
        /// For how long it has been idle, in milliseconds.
        idle_ms: u32,
    },
    /// How a call ended that was out: in the form that the dispatcher keeps.
    Ended(Vec<u8>),
    /// How an order was carried out that came to the giver's door: asked by [`FromTaker::Carried`]'s number.
    Order {
        /// Counts the orders.
        number: u32,
        /// Given, or called back.
        given: bool,
        /// The endpoint's id.
        id: String,
    },
}

/// What a taker sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromTaker {
    /// It owns.
    Mine,
    /// It can't use what came, and why.
    Unusable(String),
    /// How an order was carried out that came to the giver's door.
    Carried {
        /// The order's number.
        number: u32,
        /// A yes.
        yes: bool,
        /// With this text.
        text: String,
    },
}

impl Hello {
    /// As a packet.
    ///
    /// # Errors
    /// None that is known.
    pub fn packet(&self) -> Result<Vec<u8>, FrameError> {
        fawnspoke_frames::hello_packet(self)
    }

    /// Reads a packet.
    ///
    /// # Errors
    /// Where it is no hello.
    pub fn read(packet: &[u8]) -> Result<Hello, FrameError> {
        fawnspoke_frames::read_hello(packet)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_sent_is_read() {
        let hello = Hello { version: VERSION, decisions: true };
        assert_eq!(Hello::read(&hello.packet().unwrap()).unwrap(), hello);
        // A later version may say more.
        let later = Hello::read(br#"{"version":9,"decisions":false,"more":[1]}"#).unwrap();
        assert_eq!(later.version, 9);
        let frame = FromGiver::Client { read: vec![0, 255], asked_ms: Some(7) };
        assert_eq!(read::<FromGiver>(&packet(&frame).unwrap()).unwrap(), frame);
    }

    proptest! {
        #[test]
        fn bytes_that_are_no_frame_are_an_error_and_no_more(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = (read::<FromGiver>(&bytes), read::<FromTaker>(&bytes), Hello::read(&bytes));
        }
    }
}
