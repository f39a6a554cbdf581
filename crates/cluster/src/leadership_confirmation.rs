//! Requests of members to confirm that this leader still leads. They are batched: one read-index round to a majority is
//! in flight at a time, however many members ask.

use crate::config::MAX_MEMBERS;
use crate::{MemberId, Seconds};

/// A round that a majority has not answered within this many heartbeat intervals is abandoned.
const ROUND_TIMEOUT_HEARTBEATS: f64 = 4.0;
/// Maximum number of requests that wait for the next round.
const MAX_WAITING_REQUESTS: usize = 4 * MAX_MEMBERS;

/// The requests that the round in flight will answer.
#[derive(Debug)]
struct Batch {
    number: u64,
    requests: Vec<(MemberId, u64)>,
    started_at: Seconds,
}

/// The confirmation requests under one leadership.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<(MemberId, u64)>,
    in_flight: Option<Batch>,
    rounds: u64,
}

impl Confirmations {
    /// Queues a member's request. Requests over the limit are dropped: the member repeats them.
    pub fn request(&mut self, from: MemberId, request: u64) {
        if self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push((from, request));
        }
    }

    /// Starts the next round and returns its read-index context; nothing if no request waits or a round is in flight.
    pub fn next_round(&mut self, now: Seconds, heartbeat_interval: Seconds) -> Option<Vec<u8>> {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|batch| now - batch.started_at < ROUND_TIMEOUT_HEARTBEATS * heartbeat_interval)
        {
            return None;
        }
        // The requests of an abandoned round are dropped: members repeat them.
        self.in_flight = None;
        if self.waiting.is_empty() {
            return None;
        }
        self.rounds += 1;
        let requests = std::mem::take(&mut self.waiting);
        self.in_flight = Some(Batch { number: self.rounds, requests, started_at: now });
        Some(self.rounds.to_be_bytes().to_vec())
    }

    /// A majority has answered a round: returns the requests that it confirms, with the members that made them.
    pub fn complete_round(&mut self, context: &[u8]) -> Vec<(MemberId, u64)> {
        let batch = self.in_flight.take_if(|batch| batch.number.to_be_bytes() == context);
        batch.map_or(Vec::new(), |batch| batch.requests)
    }

    /// Drops all requests when the leadership ends or changes. A late answer to a round before that confirms nothing.
    pub fn clear(&mut self) {
        (self.waiting, self.in_flight) = (Vec::new(), None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_round_is_in_flight_at_a_time() {
        let mut confirmations = Confirmations::default();
        assert_eq!(confirmations.next_round(0.0, 0.1), None);
        confirmations.request(1, 10);
        confirmations.request(2, 20);
        let first = confirmations.next_round(0.0, 0.1).unwrap();
        confirmations.request(3, 30);
        assert_eq!(confirmations.next_round(0.3, 0.1), None);
        assert_eq!(confirmations.complete_round(&first), [(1, 10), (2, 20)]);
        assert_eq!(confirmations.complete_round(&first), []);
        let second = confirmations.next_round(0.3, 0.1).unwrap();
        // The second round times out: the third replaces it, and a late answer to the second confirms nothing.
        confirmations.request(4, 40);
        let third = confirmations.next_round(0.8, 0.1).unwrap();
        assert_eq!(confirmations.complete_round(&second), []);
        assert_eq!(confirmations.complete_round(&third), [(4, 40)]);
        confirmations.request(5, 50);
        let fourth = confirmations.next_round(1.0, 0.1).unwrap();
        confirmations.clear();
        assert_eq!(confirmations.complete_round(&fourth), []);
    }
}
