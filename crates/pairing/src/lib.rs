//! Pairs the responses on one connection with its requests, without I/O.
//!
//! HTTP/1.1 pairs them by order alone: one response too many, and each later one is taken for the response to the
//! wrong request. This module counts both from the bytes of the connection, so that surplus responses are noticed
//! whenever they arrive while no request is outstanding.
//!
//! The first response on a connection is that to its first request. A later 200 may be a copy of an earlier response, so
//! a delivery that rests on it is unproven. If it was a copy, the message's own response is read as one to a later request, or
//! as one beyond the requests, once it is due at the latest. So the delivery is proven if all responses were 200 until then. An
//! endpoint that answers later than that could still deceive it, so where copies were seen lately, nothing is proven so.

mod pairing;
mod scanner;

pub use pairing::{
    Conclusion, ConnectionState, ObservedHead, ResponsePairing, ResponseProof, SocketState, UnprovenDelivery,
    ends_message,
};
pub use scanner::ResponseHead;
