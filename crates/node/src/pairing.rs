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

use hyper::StatusCode;
use std::time::{Duration, Instant};

/// A connection whose responses are as many as its requests, and that was silent for this time, is taken to be in step.
pub const QUIET_TIME: Duration = Duration::from_millis(500);
/// For this long after it was last found in step a connection may carry more requests. It then rests until it is again.
const MAX_UNPROVEN_TIME: Duration = Duration::from_secs(4);

/// Maximum number of bytes kept of a line of a head; longer header values are of no interest here.
const MAX_LINE_BYTES: usize = 256;

/// The head of a final response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// None if the status line is malformed.
    pub status: Option<StatusCode>,
    /// Its Retry-After.
    pub retry_after: Option<Duration>,
}

/// The head of a final response, and how it relates to the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedHead {
    pub head: ResponseHead,
    /// The response belongs to no request.
    pub is_surplus: bool,
}

/// How the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    /// After this many bytes.
    Length(u64),
    /// After a chunk of no bytes.
    Chunked,
    /// With the connection, or not certain.
    Unknown,
}

/// Where the scanner is in the stream of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Position {
    /// Before the first byte of a response.
    #[default]
    Between,
    Head,
    /// This many bytes of a body are still to come.
    Body(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// This many bytes of a chunk are still to come.
    Chunk(u64),
    /// In the end of the line behind a chunk.
    ChunkEnd,
    /// In the fields behind the last chunk.
    Trailer,
    /// In a body whose end isn't known.
    Unframed,
}

/// Splits the bytes of a connection into responses.
#[derive(Debug, Default)]
struct ResponseScanner {
    position: Position,
    line: Vec<u8>,
    status_line_read: bool,
    status: Option<StatusCode>,
    retry_after: Option<Duration>,
    framing: Option<Framing>,
    /// Final responses whose first byte was read. The head of a 1xx response counts until it is complete.
    started: u64,
}

impl ResponseScanner {
    /// Takes the next bytes and passes on the head of each final response.
    fn scan(&mut self, mut bytes: &[u8], mut on_head: impl FnMut(ResponseHead)) {
        while let Some((byte, rest)) = bytes.split_first() {
            match self.position {
                Position::Unframed => return,
                Position::Body(remaining) | Position::Chunk(remaining) => {
                    let skipped = remaining.min(bytes.len() as u64);
                    self.skip_body(remaining - skipped);
                    bytes = &bytes[skipped as usize..];
                    continue;
                }
                // Empty lines before a status line belong to no response.
                Position::Between if matches!(byte, b'\r' | b'\n') => {}
                Position::Between => {
                    self.started += 1;
                    *self = ResponseScanner {
                        position: Position::Head,
                        started: self.started,
                        ..Self::default()
                    };
                    self.line.push(*byte);
                }
                Position::Head if *byte == b'\n' => {
                    if let Some(head) = self.end_line() {
                        on_head(head);
                    }
                }
                _ if *byte == b'\n' => self.end_chunk_line(),
                _ => {
                    if self.line.len() < MAX_LINE_BYTES {
                        self.line.push(*byte);
                    }
                }
            }
            bytes = rest;
        }
    }

    fn enter_body(&mut self, remaining: u64) {
        self.position = if remaining == 0 { Position::Between } else { Position::Body(remaining) };
    }

    /// Notes that only `remaining` bytes of the body or chunk are still to come.
    fn skip_body(&mut self, remaining: u64) {
        match self.position {
            Position::Chunk(_) if remaining == 0 => self.position = Position::ChunkEnd,
            Position::Chunk(_) => self.position = Position::Chunk(remaining),
            _ => self.enter_body(remaining),
        }
    }

    /// Handles a complete line between the chunks of a body.
    fn end_chunk_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        self.position = match self.position {
            Position::ChunkSize => match parse_chunk_size(line) {
                Some(0) => Position::Trailer,
                Some(size) => Position::Chunk(size),
                None => Position::Unframed,
            },
            Position::Trailer if line.is_empty() => Position::Between,
            Position::Trailer => Position::Trailer,
            _ => Position::ChunkSize,
        };
    }

    /// Handles a complete line of the head; returns the head with its last, empty line.
    fn end_line(&mut self) -> Option<ResponseHead> {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        if !std::mem::replace(&mut self.status_line_read, true) {
            self.status = parse_status(line);
            return None;
        }
        if !line.is_empty() {
            self.read_header(line);
            return None;
        }
        if self.status.is_some_and(|status| status.is_informational()) {
            *self = ResponseScanner { started: self.started - 1, ..Self::default() };
            return None;
        }
        let has_no_body = matches!(self.status, Some(StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED));
        match self.framing {
            _ if has_no_body => self.enter_body(0),
            Some(Framing::Length(length)) => self.enter_body(length),
            Some(Framing::Chunked) => self.position = Position::ChunkSize,
            Some(Framing::Unknown) | None => self.position = Position::Unframed,
        }
        Some(ResponseHead { status: self.status, retry_after: self.retry_after })
    }

    /// Two headers that differ make the end of the body uncertain.
    fn set_framing(&mut self, framing: Framing) {
        let is_consistent = self.framing.is_none_or(|known| known == framing);
        self.framing = Some(if is_consistent { framing } else { Framing::Unknown });
    }

    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        let value = std::str::from_utf8(value).unwrap_or_default();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.set_framing(value.parse().map_or(Framing::Unknown, Framing::Length));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let is_chunked = value.eq_ignore_ascii_case("chunked");
            self.set_framing(if is_chunked { Framing::Chunked } else { Framing::Unknown });
        } else if name.eq_ignore_ascii_case(b"retry-after") {
            let seconds: Option<f64> = value.parse().ok();
            self.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        }
    }
}

/// The size in the line before a chunk; extensions may follow it.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?.trim_ascii();
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()
}

fn parse_status(line: &[u8]) -> Option<StatusCode> {
    let [b'0' | b'1', b' ', code @ ..] = line.strip_prefix(b"HTTP/1.")? else { return None };
    StatusCode::from_bytes(code.get(..3)?).ok()
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
    HasUnread,
    Closed,
}

/// A delivery that rests on a response which may be a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnprovenDelivery {
    /// The message's number in the journal.
    pub number: u64,
    /// When its own response is due at the latest.
    pub due_at: Instant,
}

/// Pairs the requests and responses of one connection.
#[derive(Debug, Default)]
pub struct ResponsePairing {
    scanner: ResponseScanner,
    /// Another process opened the connection, and may have used it.
    is_adopted: bool,
    requests: u64,
    /// The head of the last response, once it is complete.
    last_head: Option<ResponseHead>,
    /// When the last byte was read.
    last_read_at: Option<Instant>,
    unproven: Vec<UnprovenDelivery>,
    /// Since when there are unproven deliveries, or since the connection was last found in step.
    unproven_since: Option<Instant>,
    /// A response since the last proof that may be a copy had another status than 200.
    has_other_status: bool,
    /// A response named other messages than those of its request.
    is_foreign: bool,
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
    pub fn observe(&mut self, now: Instant, bytes: &[u8]) -> Vec<ObservedHead> {
        self.last_read_at = Some(now);
        let mut observed = Vec::new();
        let (requests, first_is_proven) = (self.requests, !self.is_adopted);
        let mut complete_heads = self.scanner.started;
        // A head that was incomplete before belongs to the response that had started.
        if self.scanner.position == Position::Head {
            complete_heads -= 1;
        }
        let (has_other_status, last_head) = (&mut self.has_other_status, &mut self.last_head);
        self.scanner.scan(bytes, |head| {
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
    pub fn is_first_request(&self) -> bool {
        !self.is_adopted && self.requests == 1
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
    pub fn add_unproven(&mut self, now: Instant, delivery: UnprovenDelivery) {
        self.unproven.push(delivery);
        self.unproven_since.get_or_insert(now);
    }

    /// Whether a delivery is unproven.
    pub fn has_unproven(&self) -> bool {
        !self.unproven.is_empty()
    }

    /// Whether the connection was not in step for so long that no request may follow until it is.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.unproven_since.is_some_and(|since| now >= since + MAX_UNPROVEN_TIME)
    }

    /// Removes the unproven deliveries of messages that `is_selected` selects and returns the messages.
    pub fn take_unproven(&mut self, is_selected: impl Fn(u64) -> bool) -> Vec<u64> {
        let (taken, unproven): (Vec<_>, Vec<_>) =
            self.unproven.iter().partition(|delivery| is_selected(delivery.number));
        self.unproven = unproven;
        taken.into_iter().map(|delivery| delivery.number).collect()
    }

    /// Ends the unproven deliveries of which it is certain what became of them, and returns their messages.
    /// `is_trusted`: no copies of responses were seen at the endpoint lately, so silence proves that there were none.
    pub fn conclude(
        &mut self, now: Instant, socket: SocketState, is_trusted: bool,
    ) -> Option<(Conclusion, Vec<u64>)> {
        if let Some(conclusion) = self.conclusion_for_all(socket) {
            return Some((conclusion, self.take_unproven(|_| true)));
        }
        if !self.is_in_step(now, socket) {
            return None;
        }
        self.unproven_since = Some(now).filter(|_| self.has_unproven());
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

    /// Whether no response is outstanding and nothing was read for a while.
    fn is_in_step(&self, now: Instant, socket: SocketState) -> bool {
        socket == SocketState::Silent
            && self.scanner.position == Position::Between
            && self.responses() >= self.requests
            && self.last_read_at.is_none_or(|at| now >= at + QUIET_TIME)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    const DUE: Duration = Duration::from_secs(1);

    /// Takes bytes and returns the heads of responses that belong to no request.
    fn surplus(pairing: &mut ResponsePairing, now: Instant, bytes: &[u8]) -> Vec<ResponseHead> {
        let observed = pairing.observe(now, bytes).into_iter();
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
            assert!(surplus(&mut pairing, now, OK.as_bytes()).is_empty());
        }
        pairing.add_unproven(now, UnprovenDelivery { number: 2, due_at: now + DUE });
        pairing
    }

    #[test]
    fn a_delivery_is_proven_by_silence_once_its_response_was_due() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(
            pairing.conclude(now + QUIET_TIME, SocketState::Silent, true),
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
    fn a_delivery_is_not_proven_right_after_another_response() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        pairing.request_sent();
        assert!(surplus(&mut pairing, now + DUE, OK.as_bytes()).is_empty());
        assert_eq!(pairing.conclude(now + DUE, SocketState::Silent, true), None);
        let quiet_at = now + DUE + QUIET_TIME;
        assert_eq!(
            pairing.conclude(quiet_at, SocketState::Silent, true),
            Some((Conclusion::Delivered, vec![2]))
        );
    }

    #[test]
    fn a_surplus_rejection_disproves_a_delivery() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(surplus(&mut pairing, now, REJECTED.as_bytes()).len(), 1);
        assert_eq!(pairing.conclude(now, SocketState::Silent, true), Some((Conclusion::Mismatched, vec![2])));
        assert!(pairing.is_desynchronised());
    }

    #[test]
    fn a_surplus_200_leaves_a_delivery_unknown() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(surplus(&mut pairing, now, OK.as_bytes()).len(), 1);
        assert_eq!(pairing.conclude(now, SocketState::Silent, true), None);
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
        pairing.observe(now, &REJECTED.as_bytes()[..5]);
        assert_eq!(pairing.conclude(now + DUE, SocketState::Silent, true), None);
        pairing.observe(now, &REJECTED.as_bytes()[5..]);
        assert_eq!(pairing.conclude(now, SocketState::Silent, true), Some((Conclusion::Mismatched, vec![2])));
    }

    #[test]
    fn a_delivery_is_not_proven_while_a_later_request_is_outstanding() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        pairing.request_sent();
        assert_eq!(pairing.conclude(now + 2 * DUE, SocketState::Silent, true), None);
        // A rejection that the earlier request was owed is read as the response to the later one.
        assert!(surplus(&mut pairing, now, REJECTED.as_bytes()).is_empty());
        assert_eq!(
            pairing.conclude(now + 2 * DUE, SocketState::Silent, true),
            Some((Conclusion::Unknown, vec![2]))
        );
    }

    #[test]
    fn a_delivery_is_unknown_if_the_connection_ends_before() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert_eq!(pairing.conclude(now, SocketState::Closed, true), Some((Conclusion::Unknown, vec![2])));
    }

    #[test]
    fn a_connection_rests_until_it_is_in_step_again() {
        let now = Instant::now();
        let mut pairing = with_unproven_delivery(now);
        assert!(!pairing.is_resting(now));
        let later = now + MAX_UNPROVEN_TIME;
        assert!(pairing.is_resting(later));
        assert!(pairing.conclude(later, SocketState::Silent, true).is_some());
        assert!(!pairing.is_resting(later));
    }

    #[test]
    fn a_response_to_each_request_leaves_no_surplus() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, Instant::now(), OK.as_bytes()).is_empty());
        pairing.request_sent();
        for byte in format!("HTTP/1.1 103 Early\r\nA: b\r\n\r\n{OK}").bytes() {
            assert!(surplus(&mut pairing, Instant::now(), &[byte]).is_empty());
        }
        assert_eq!((pairing.requests(), pairing.responses(), pairing.is_desynchronised()), (2, 2, false));
    }

    #[test]
    fn a_copy_behind_a_response_is_surplus_from_its_first_byte() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, Instant::now(), format!("{OK}H").as_bytes()).is_empty());
        assert!(pairing.is_desynchronised());
        let rest = "TTP/1.1 429 Full\r\nretry-after: 0.5\r\nContent-Length: 0\r\n\r\n";
        let head = ResponseHead {
            status: Some(StatusCode::TOO_MANY_REQUESTS),
            retry_after: Some(Duration::from_millis(500)),
        };
        assert_eq!(surplus(&mut pairing, Instant::now(), rest.as_bytes()), [head]);
    }

    #[test]
    fn a_chunked_body_ends_behind_its_trailer() {
        let mut pairing = after_one_request();
        let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                        4;a=b\r\nHT\nP\r\n10\r\n0123456789abcdef\r\n0\r\nA: b\r\n\r\n";
        for byte in response.bytes() {
            assert!(surplus(&mut pairing, Instant::now(), &[byte]).is_empty());
            assert!(!pairing.is_desynchronised());
        }
        assert_eq!(surplus(&mut pairing, Instant::now(), REJECTED.as_bytes()).len(), 1);
    }

    #[test]
    fn a_response_before_a_request_that_was_not_written_is_surplus() {
        let mut pairing = after_one_request();
        assert!(surplus(&mut pairing, Instant::now(), OK.as_bytes()).is_empty());
        pairing.request_sent();
        assert!(surplus(&mut pairing, Instant::now(), REJECTED.as_bytes()).is_empty());
        let head = ResponseHead { status: Some(StatusCode::SERVICE_UNAVAILABLE), retry_after: None };
        assert_eq!(pairing.request_not_sent(), Some(head));
        assert!(pairing.is_desynchronised());
    }

    #[test]
    fn bytes_of_a_body_are_no_response() {
        let mut pairing = after_one_request();
        let body = "HTTP/1.1 200 OK\r\n\r\n";
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert!(surplus(&mut pairing, Instant::now(), response.as_bytes()).is_empty());
        assert_eq!((pairing.responses(), pairing.is_desynchronised()), (1, false));
    }
}
