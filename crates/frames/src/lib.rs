//! The encoding of messages between two processes of the program, over a Unix socket or TCP.
//!
//! The first packet of a connection is a hello in JSON, which every protocol version can read. All other packets are
//! postcard frames of the version that both sides know. Splitting a byte stream into packets is left to the
//! transport: a Unix socket keeps message boundaries, on TCP each packet is preceded by its length.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a packet can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The packet is not a valid hello.
    #[error("invalid hello: {0}")]
    Hello(#[from] serde_json::Error),
    /// The packet is not a valid frame of this version.
    #[error("invalid frame: {0}")]
    Frame(#[from] postcard::Error),
}

/// Encodes a hello as a packet.
///
/// # Errors
/// Where the hello can't be encoded; none is known.
pub fn encode_hello(hello: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    Ok(serde_json::to_vec(hello)?)
}

/// Decodes a packet as a hello.
///
/// # Errors
/// Where the packet is not a hello.
pub fn decode_hello<T: DeserializeOwned>(packet: &[u8]) -> Result<T, FrameError> {
    Ok(serde_json::from_slice(packet)?)
}

/// Encodes a frame as a packet.
///
/// # Errors
/// Where the frame can't be encoded; none is known.
pub fn encode(frame: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    Ok(postcard::to_stdvec(frame)?)
}

/// Decodes a packet as a frame.
///
/// # Errors
/// Where the packet is not a frame of this type.
pub fn decode<T: DeserializeOwned>(packet: &[u8]) -> Result<T, FrameError> {
    Ok(postcard::from_bytes(packet)?)
}
