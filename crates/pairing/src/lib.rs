//! Pairs the responses on one connection with its requests, without I/O.
//!
//! HTTP/1.1 pairs them by order alone: one response too many, and each later one is taken for the response to the
//! wrong request. This module counts both from the bytes of the connection, so that surplus responses are noticed
//! whenever they arrive while no request is outstanding.
//!
//! The first response on a connection is that to its first request. A later 200 may be a copy of an earlier response, so
//! a delivery that rests on it is unproven. It is proven when its own response was due at the latest, and the connection
//! has then been silent for a while with as many responses as requests. An endpoint that answers later than that could
//! still deceive it, so where copies were seen lately, silence proves nothing.

mod pairing;
mod scanner;

pub use pairing::{
    Conclusion, ConnectionState, ObservedHead, QUIET_TIME, ResponsePairing, ResponseProof, SocketState,
    UnprovenDelivery, ends_message,
};
pub use scanner::ResponseHead;
