//! The form in which two processes of the program speak, over a Unix socket or TCP: the first packet of each side is a
//! hello, in JSON, which every version reads; what follows are frames of the version that both know.
//!
//! What keeps packets apart is the socket's affair: packets on a Unix socket, a length before each on TCP.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes that are no packet of this kind.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Not in JSON, or not a hello.
    #[error("no hello: {0}")]
    Hello(#[from] serde_json::Error),
    /// Not a frame of this version.
    #[error("no frame: {0}")]
    Frame(#[from] postcard::Error),
}

/// A hello as a packet.
///
/// # Errors
/// None that is known.
pub fn encode_hello(hello: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    Ok(serde_json::to_vec(hello)?)
}

/// Reads a packet that is to be a hello.
///
/// # Errors
/// Where it is none.
pub fn decode_hello<T: DeserializeOwned>(packet: &[u8]) -> Result<T, FrameError> {
    Ok(serde_json::from_slice(packet)?)
}

/// A frame as a packet.
///
/// # Errors
/// None that is known.
pub fn encode(frame: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    Ok(postcard::to_stdvec(frame)?)
}

/// Reads a packet.
///
/// # Errors
/// Where it is no frame of this kind.
pub fn decode<T: DeserializeOwned>(packet: &[u8]) -> Result<T, FrameError> {
    Ok(postcard::from_bytes(packet)?)
}
