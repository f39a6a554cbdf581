//! Responses that belong to no request: what an endpoint writes, by seed, some time after the response to a call.

use crate::endpoint::EndpointResponse;
use crate::http;
use std::time::Duration;

/// Shortest and longest distance from the response before it; each order of magnitude is equally likely.
const DISTANCE_SECONDS: (f64, f64) = (1e-4, 2.0);

const EMPTY_OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Bytes that belong to no request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MisplacedBytes {
    /// Time from the response before them.
    pub delay: Duration,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Chooses what follows the responses of a partner.
#[derive(Debug, Default)]
pub struct MisplacedResponses {
    /// The partner's last response.
    last_response: Vec<u8>,
}

impl MisplacedResponses {
    /// Chooses what follows a response: copies of it or of the partner's response before, whole or in halves, other
    /// responses; often nothing.
    pub fn following(
        &mut self, rng: &mut fastrand::Rng, probability: f64, response: &EndpointResponse,
    ) -> Vec<MisplacedBytes> {
        let EndpointResponse::Complete(status, headers, body) = response else { return Vec::new() };
        if probability == 0.0 {
            return Vec::new();
        }
        let own = http::response_bytes(*status, headers, body);
        let earlier = std::mem::replace(&mut self.last_response, own.clone());
        if rng.f64() >= probability {
            return Vec::new();
        }
        let delay = random_distance(rng);
        let after = |delay: Duration, bytes: &[u8]| MisplacedBytes { delay, bytes: bytes.to_vec() };
        match rng.u8(..8) {
            0..3 => vec![after(delay, &own)],
            3 if !earlier.is_empty() => vec![after(delay, &earlier)],
            3 | 4 => vec![after(delay, &own), after(delay * 2, &own)],
            5 => vec![after(delay, EMPTY_OK)],
            6 => {
                let (first, rest) = own.split_at(own.len() / 2);
                vec![after(Duration::ZERO, first), after(delay, rest)]
            }
            _ => vec![after(delay, REQUEST_TIMEOUT)],
        }
    }
}

fn random_distance(rng: &mut fastrand::Rng) -> Duration {
    let (shortest, longest) = DISTANCE_SECONDS;
    Duration::from_secs_f64(shortest * (longest / shortest).powf(rng.f64()))
}
