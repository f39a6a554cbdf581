//! The state of one connection: its requests, its responses, and the deliveries that are not proven yet.

use crate::scanner::{Position, ResponseHead, ResponseScanner};
use http::StatusCode;
use std::time::Instant;

/// The head of a final response, and how it relates to the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedHead {
    /// The head.
    pub head: ResponseHead,
    /// The response belongs to no request.
    pub is_surplus: bool,
}

/// What a connection may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request was sent on it yet.
    Fresh,
    /// The response to the last request is outstanding or incomplete.
    Outstanding,
    /// No response is outstanding, and deliveries are unproven. More requests may follow.
    Verifying,
    /// No response is outstanding, and nothing is unproven.
    Idle,
    /// Responses can't be paired with requests any more: no request may follow.
    Desynchronised,
}

impl ConnectionState {
    /// Whether another request may be sent on the connection.
    pub fn allows_request(self) -> bool {
        matches!(self, ConnectionState::Fresh | ConnectionState::Verifying | ConnectionState::Idle)
    }
}

/// What a complete response to the last request proves about its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProof {
    /// It is the request's own: what it says is settled.
    Own,
    /// A delivery that may be a copy of an earlier response: to be added as unproven. The connection is kept.
    UnprovenDelivery,
    /// Another outcome that may be a copy: the messages may have run, and the call may still be open, so the connection is
    /// closed before a retry.
    MayHaveRun,
}

/// What became of unproven deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The responses were those to the requests.
    Delivered,
    /// A response belonged to no request, and not all of them were alike: any of the messages may have been rejected.
    Mismatched,
    /// The connection has ended before it could be told.
    Unknown,
}

/// What the socket of a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Nothing is unread.
    Silent,
    /// Bytes have arrived that are not read yet.
    HasUnread,
    /// The other end has closed the connection.
    Closed,
}

/// A delivery that rests on a response which may be a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UnprovenDelivery {
    /// The message's number in the journal.
    pub number: u64,
    /// When its own response is due at the latest.
    pub due_at: Instant,
}

/// Whether a response with this status ends the message of its request, if it is its own: no call may follow.
pub fn ends_message(status: StatusCode) -> bool {
    matches!(status, StatusCode::OK | StatusCode::GONE | StatusCode::GATEWAY_TIMEOUT)
}

/// Pairs the requests and responses of one connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResponsePairing {
    scanner: ResponseScanner,
    /// Another process opened the connection, and may have used it.
    is_adopted: bool,
    requests: u64,
    /// The head of the last response, once it is complete.
    last_head: Option<ResponseHead>,
    unproven: Vec<UnprovenDelivery>,
    /// A response that may be a copy had another status than 200.
    has_other_status: bool,
    /// A response named other messages than those of its request.
    is_foreign: bool,
    /// The number of the last request after which a response arrived that ends its message.
    ended_request: Option<u64>,
}

impl ResponsePairing {
    /// The pairing of a connection that another process has opened.
    pub fn adopted() -> ResponsePairing {
        ResponsePairing { is_adopted: true, ..ResponsePairing::default() }
    }

    /// Notes that a request is about to be written.
    pub fn request_sent(&mut self) {
        self.requests += 1;
    }

    /// Takes back the last request: no byte of it was written. Returns the head of the response that was taken for its
    /// own, if any.
    pub fn request_not_sent(&mut self) -> Option<ResponseHead> {
        self.requests = self.requests.saturating_sub(1);
        self.last_head.filter(|_| self.has_surplus())
    }

    /// Takes bytes that were read and returns the heads that they complete.
    pub fn observe(&mut self, bytes: &[u8]) -> Vec<ObservedHead> {
        let mut observed = Vec::new();
        let (requests, first_is_proven) = (self.requests, !self.is_adopted);
        let mut complete_heads = self.scanner.started;
        // A head that was incomplete before belongs to the response that had started.
        if self.scanner.position == Position::Head {
            complete_heads -= 1;
        }
        let (has_other_status, last_head) = (&mut self.has_other_status, &mut self.last_head);
        let ended_request = &mut self.ended_request;
        self.scanner.scan(bytes, |head| {
            if head.status.is_some_and(ends_message) {
                *ended_request = Some(requests);
            }
            complete_heads += 1;
            *last_head = Some(head);
            let may_be_copy = complete_heads > 1 || !first_is_proven;
            *has_other_status |= may_be_copy && head.status != Some(StatusCode::OK);
            observed.push(ObservedHead { head, is_surplus: complete_heads > requests });
        });
        observed
    }

    /// Requests sent so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Responses that have started so far.
    fn responses(&self) -> u64 {
        self.scanner.started
    }

    /// Whether the last request was the first one on the connection: its response can be no copy of an earlier one.
    fn is_first_request(&self) -> bool {
        !self.is_adopted && self.requests == 1
    }

    /// What a complete response with this status to the last request proves. `names_messages`: its body names the
    /// messages of the request, which no copy of an earlier response does.
    pub fn proof(&self, status: StatusCode, names_messages: bool) -> ResponseProof {
        let is_delivery = status == StatusCode::OK;
        if self.is_first_request() || (is_delivery && names_messages) {
            ResponseProof::Own
        } else if is_delivery {
            ResponseProof::UnprovenDelivery
        } else {
            ResponseProof::MayHaveRun
        }
    }

    /// Whether any response that ends its message has arrived since the last request was sent. It may be its own, also
    /// if another one was taken for that.
    pub fn may_have_ended_last_request(&self) -> bool {
        self.ended_request == Some(self.requests)
    }

    /// What the connection may be used for now.
    pub fn state(&self) -> ConnectionState {
        if self.is_desynchronised() {
            ConnectionState::Desynchronised
        } else if self.responses() < self.requests || self.scanner.position != Position::Between {
            ConnectionState::Outstanding
        } else if self.has_unproven() {
            ConnectionState::Verifying
        } else if self.requests == 0 && !self.is_adopted {
            ConnectionState::Fresh
        } else {
            ConnectionState::Idle
        }
    }

    /// Notes that the response to the last request named other messages than that.
    pub fn mark_foreign(&mut self) {
        self.is_foreign = true;
    }

    /// Whether responses can't be paired with requests any more: no request may follow.
    pub fn is_desynchronised(&self) -> bool {
        self.responses() > self.requests || self.is_foreign || self.scanner.position == Position::Unframed
    }

    /// Adds an unproven delivery.
    pub fn add_unproven(&mut self, delivery: UnprovenDelivery) {
        self.unproven.push(delivery);
    }

    /// Whether a delivery is unproven.
    pub fn has_unproven(&self) -> bool {
        !self.unproven.is_empty()
    }

    /// Removes the unproven deliveries of messages that `is_selected` selects and returns the messages.
    pub fn take_unproven(&mut self, is_selected: impl Fn(u64) -> bool) -> Vec<u64> {
        let (taken, unproven): (Vec<_>, Vec<_>) =
            self.unproven.iter().partition(|delivery| is_selected(delivery.number));
        self.unproven = unproven;
        taken.into_iter().map(|delivery| delivery.number).collect()
    }

    /// Ends the unproven deliveries of which it is certain what became of them, and returns their messages.
    ///
    /// A message's own response has arrived once it was due. If its 200 was a copy, its own response was read as that to a
    /// later request or as a surplus one. So it was delivered if all responses were 200 until then.
    ///
    /// `is_trusted`: no copies of responses were seen at the endpoint lately, so its responses come in time.
    pub fn conclude(
        &mut self, now: Instant, socket: SocketState, is_trusted: bool,
    ) -> Option<(Conclusion, Vec<u64>)> {
        if let Some(conclusion) = self.conclusion_for_all(socket) {
            return Some((conclusion, self.take_unproven(|_| true)));
        }
        if !self.has_read_all(socket) {
            return None;
        }
        let is_certain = is_trusted && !self.has_surplus() && !self.has_other_status;
        let conclusion = if is_certain { Conclusion::Delivered } else { Conclusion::Unknown };
        let (due, unproven): (Vec<_>, Vec<_>) =
            self.unproven.iter().partition(|delivery| now >= delivery.due_at);
        self.unproven = unproven;
        Some((conclusion, due.into_iter().map(|delivery| delivery.number).collect()))
    }

    fn has_surplus(&self) -> bool {
        self.responses() > self.requests || self.is_foreign
    }

    /// What is certain of all unproven deliveries, if anything is.
    fn conclusion_for_all(&self, socket: SocketState) -> Option<Conclusion> {
        let is_closed = socket == SocketState::Closed;
        let is_mismatch = self.has_other_status || self.is_foreign || is_closed;
        match self.has_surplus() {
            true => Some(Conclusion::Mismatched).filter(|_| is_mismatch),
            false => Some(Conclusion::Unknown).filter(|_| is_closed),
        }
    }

    /// Whether everything that has arrived was read, up to the end of a head.
    fn has_read_all(&self, socket: SocketState) -> bool {
        socket == SocketState::Silent && self.scanner.position != Position::Head
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    const DUE: Duration = Duration::from_secs(1);

    /// Takes bytes and returns the heads of responses that belong to no request.
    fn surplus(pairing: &mut ResponsePairing, bytes: &[u8]) -> Vec<ResponseHead> {
        let observed = pairing.observe(bytes).into_iter();
        observed.filter(|observed| observed.is_surplus).map(|observed| observed.head).collect()
    }

    fn after_one_request() -> ResponsePairing {
        let mut pairing = ResponsePairing::default();
        pairing.request_sent();
        pairing
    }

    /// A connection whose second response, a 200, was taken for the delivery of message 2.
    fn with_unproven_delivery(now: Instant) -> ResponsePairing {
        let mut pairing = ResponsePairing::default();
        for _ in 0..2 {
            pairing.request_sent();
            assert!(surplus(&mut pairing, OK.as_bytes()).is_empty());
        }
        pairing.add_unproven(UnprovenDelivery { number: 2, due_at: now + DUE });
        pairing
    }

    #[test]
    fn a_delivery_is_proven_once_its_response_was_due() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(
            pairing.conclude(now + DUE / 2, SocketState::Silent, true),
            Some((Conclusion::Delivered, vec![]))
        );
        assert_eq!(pairing.conclude(now + DUE, SocketState::HasUnread, true), None);
        assert_eq!(
            pairing.conclude(now + DUE, SocketState::Silent, true),
            Some((Conclusion::Delivered, vec![2]))
        );
        assert!(!pairing.has_unproven() && !pairing.is_desynchronised());
    }

    #[test]
    fn a_delivery_is_proven_on_a_connection_in_use() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        for _ in 0..3 {
            pairing.request_sent();
            assert!(surplus(&mut pairing, OK.as_bytes()).is_empty());
        }
        pairing.request_sent();
        assert_eq!(
            pairing.conclude(now + DUE, SocketState::Silent, true),
            Some((Conclusion::Delivered, vec![2]))
        );
    }

    #[test]
    fn a_rejection_until_its_response_was_due_leaves_a_delivery_unknown() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        // A rejection that the earlier request was owed may be read as the response to any later one.
        for response in [OK, REJECTED, OK] {
            pairing.request_sent();
            assert!(surplus(&mut pairing, response.as_bytes()).is_empty());
        }
        assert_eq!(
            pairing.conclude(now + DUE, SocketState::Silent, true),
            Some((Conclusion::Unknown, vec![2]))
        );
    }

    #[test]
    fn a_response_that_has_begun_proves_nothing_before_its_status_is_known() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        pairing.request_sent();
        pairing.observe(&REJECTED.as_bytes()[..5]);
        assert_eq!(pairing.conclude(now + DUE, SocketState::Silent, true), None);
    }

    #[test]
    fn a_surplus_rejection_disproves_a_delivery() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(surplus(&mut pairing, REJECTED.as_bytes()).len(), 1);
        assert_eq!(pairing.conclude(now, SocketState::Silent, true), Some((Conclusion::Mismatched, vec![2])));
        assert!(pairing.is_desynchronised());
    }

    #[test]
    fn a_surplus_200_leaves_a_delivery_unknown() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(surplus(&mut pairing, OK.as_bytes()).len(), 1);
        let before_due = pairing.conclude(now, SocketState::Silent, true);
        assert_eq!(before_due, Some((Conclusion::Unknown, vec![])));
        assert_eq!(
            pairing.conclude(now + DUE, SocketState::Silent, true),
            Some((Conclusion::Unknown, vec![2]))
        );
        assert!(pairing.is_desynchronised());
    }

    #[test]
    fn silence_proves_no_delivery_where_copies_were_seen() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(
            pairing.conclude(now + DUE, SocketState::Silent, false),
            Some((Conclusion::Unknown, vec![2]))
        );
    }

    #[test]
    fn a_surplus_response_that_has_begun_proves_nothing() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        pairing.observe(&REJECTED.as_bytes()[..5]);
        assert_eq!(pairing.conclude(now + DUE, SocketState::Silent, true), None);
        pairing.observe(&REJECTED.as_bytes()[5..]);
        assert_eq!(pairing.conclude(now, SocketState::Silent, true), Some((Conclusion::Mismatched, vec![2])));
    }

    #[test]
    fn a_delivery_is_unknown_if_the_connection_ends_before() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(pairing.conclude(now, SocketState::Closed, true), Some((Conclusion::Unknown, vec![2])));
    }

    #[test]
    fn a_connection_carries_requests_while_deliveries_are_unproven() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(pairing.state(), ConnectionState::Verifying);
        assert!(pairing.state().allows_request());
        assert!(pairing.conclude(now + DUE, SocketState::Silent, true).is_some());
        assert_eq!(pairing.state(), ConnectionState::Idle);
    }

    #[test]
    fn a_response_that_ends_its_message_counts_for_the_last_request_alone() {
        let mut pairing = after_one_request();
        surplus(&mut pairing, OK.as_bytes());
        assert!(pairing.may_have_ended_last_request());
        pairing.request_sent();
        surplus(&mut pairing, REJECTED.as_bytes());
        assert!(!pairing.may_have_ended_last_request());
        surplus(&mut pairing, OK.as_bytes());
        assert!(pairing.may_have_ended_last_request());
    }

    #[test]
    fn a_connection_awaits_the_whole_response() {
        let mut pairing = ResponsePairing::default();
        assert_eq!(pairing.state(), ConnectionState::Fresh);
        pairing.request_sent();
        assert_eq!(pairing.state(), ConnectionState::Outstanding);
        let (first, rest) = OK.as_bytes().split_at(OK.len() - 1);
        pairing.observe(first);
        assert_eq!(pairing.state(), ConnectionState::Outstanding);
        pairing.observe(rest);
        assert_eq!(pairing.state(), ConnectionState::Idle);
        assert_eq!(ResponsePairing::adopted().state(), ConnectionState::Idle);
        pairing.observe(b"H");
        assert_eq!(pairing.state(), ConnectionState::Desynchronised);
    }

    #[test]
    fn a_later_response_proves_only_the_messages_that_it_names() {
        let mut pairing = after_one_request();
        assert_eq!(pairing.proof(StatusCode::SERVICE_UNAVAILABLE, false), ResponseProof::Own);
        assert_eq!(pairing.proof(StatusCode::OK, false), ResponseProof::Own);
        pairing.request_sent();
        assert_eq!(pairing.proof(StatusCode::SERVICE_UNAVAILABLE, true), ResponseProof::MayHaveRun);
        assert_eq!(pairing.proof(StatusCode::OK, false), ResponseProof::UnprovenDelivery);
        assert_eq!(pairing.proof(StatusCode::OK, true), ResponseProof::Own);
    }

    #[test]
    fn a_response_to_each_request_leaves_no_surplus() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, OK.as_bytes()).is_empty());
        pairing.request_sent();
        for byte in format!("HTTP/1.1 103 Early\r\nA: b\r\n\r\n{OK}").bytes() {
            assert!(surplus(&mut pairing, &[byte]).is_empty());
        }
        assert_eq!((pairing.requests(), pairing.responses(), pairing.is_desynchronised()), (2, 2, false));
    }

    #[test]
    fn a_copy_behind_a_response_is_surplus_from_its_first_byte() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, format!("{OK}H").as_bytes()).is_empty());
        assert!(pairing.is_desynchronised());
        let rest = "TTP/1.1 429 Full\r\nretry-after: 0.5\r\nContent-Length: 0\r\n\r\n";
        let head = ResponseHead {
            status: Some(StatusCode::TOO_MANY_REQUESTS),
            retry_after: Some(Duration::from_millis(500)),
        };
        assert_eq!(surplus(&mut pairing, rest.as_bytes()), [head]);
    }

    #[test]
    fn a_chunked_body_ends_behind_its_trailer() {
        let mut pairing = after_one_request();
        let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        4;a=b\r\nHT\nP\r\n10\r\n0123456789abcdef\r\n0\r\nA: b\r\n\r\n";
        for byte in response.bytes() {
            assert!(surplus(&mut pairing, &[byte]).is_empty());
            assert!(!pairing.is_desynchronised());
        }
        assert_eq!(surplus(&mut pairing, REJECTED.as_bytes()).len(), 1);
    }

    #[test]
    fn a_response_before_a_request_that_was_not_written_is_surplus() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, OK.as_bytes()).is_empty());
        pairing.request_sent();
        assert!(surplus(&mut pairing, REJECTED.as_bytes()).is_empty());
        let head = ResponseHead { status: Some(StatusCode::SERVICE_UNAVAILABLE), retry_after: None };
        assert_eq!(pairing.request_not_sent(), Some(head));
        assert!(pairing.is_desynchronised());
    }

    #[test]
    fn bytes_of_a_body_are_no_response() {
        let mut pairing = after_one_request();
        let body = "HTTP/1.1 200 OK\r\n\r\n";
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert!(surplus(&mut pairing, response.as_bytes()).is_empty());
        assert_eq!((pairing.responses(), pairing.is_desynchronised()), (1, false));
    }
}
