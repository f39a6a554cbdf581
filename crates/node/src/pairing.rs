//! Pairs the responses on one connection with its requests, without I/O.
//!
//! HTTP/1.1 pairs them by order alone: one response too many, and each later one is taken for the response to the
//! wrong request. This module counts both from the bytes of the connection, so that surplus responses are noticed
//! whenever they arrive while no request is outstanding.

use hyper::StatusCode;
use std::time::Duration;

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

/// How the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    /// After this many bytes.
    Length(u64),
    /// Not followed here: chunked, or until the connection closes.
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
                Position::Body(remaining) => {
                    let skipped = remaining.min(bytes.len() as u64);
                    self.enter_body(remaining - skipped);
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
                Position::Head => {
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
            Some(Framing::Unknown) | None => self.position = Position::Unframed,
        }
        Some(ResponseHead { status: self.status, retry_after: self.retry_after })
    }

    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        let value = std::str::from_utf8(value).unwrap_or_default();
        if name.eq_ignore_ascii_case(b"content-length") {
            // Two lengths that differ, or no number: the end of the body isn't known.
            let length = value.parse().map_or(Framing::Unknown, Framing::Length);
            let is_consistent = self.framing.is_none_or(|framing| framing == length);
            self.framing = Some(if is_consistent { length } else { Framing::Unknown });
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.framing = Some(Framing::Unknown);
        } else if name.eq_ignore_ascii_case(b"retry-after") {
            let seconds: Option<f64> = value.parse().ok();
            self.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        }
    }
}

fn parse_status(line: &[u8]) -> Option<StatusCode> {
    let [b'0' | b'1', b' ', code @ ..] = line.strip_prefix(b"HTTP/1.")? else { return None };
    StatusCode::from_bytes(code.get(..3)?).ok()
}

/// Counts the requests and responses of one connection.
#[derive(Debug, Default)]
pub struct ResponsePairing {
    scanner: ResponseScanner,
    requests: u64,
}

impl ResponsePairing {
    /// Notes that a request is about to be written.
    pub fn request_sent(&mut self) {
        self.requests += 1;
    }

    /// Takes back the last request: no byte of it was written.
    pub fn request_not_sent(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Takes bytes that were read and returns the heads of responses that belong to no request.
    pub fn observe(&mut self, bytes: &[u8]) -> Vec<ResponseHead> {
        let mut surplus = Vec::new();
        let requests = self.requests;
        let mut complete_heads = self.scanner.started;
        // A head that was incomplete before belongs to the response that had started.
        if self.scanner.position == Position::Head {
            complete_heads -= 1;
        }
        self.scanner.scan(bytes, |head| {
            complete_heads += 1;
            if complete_heads > requests {
                surplus.push(head);
            }
        });
        surplus
    }

    /// Requests sent so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Responses that have started so far.
    fn responses(&self) -> u64 {
        self.scanner.started
    }

    /// Whether more responses than requests have started.
    pub fn has_surplus(&self) -> bool {
        self.responses() > self.requests
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    fn after_one_request() -> ResponsePairing {
        let mut pairing = ResponsePairing::default();
        pairing.request_sent();
        pairing
    }

    #[test]
    fn a_response_to_each_request_leaves_no_surplus() {
        let mut pairing = after_one_request();
        assert!(pairing.observe(OK.as_bytes()).is_empty());
        pairing.request_sent();
        for byte in format!("HTTP/1.1 103 Early\r\nA: b\r\n\r\n{OK}").bytes() {
            assert!(pairing.observe(&[byte]).is_empty());
        }
        assert_eq!((pairing.requests(), pairing.responses(), pairing.has_surplus()), (2, 2, false));
    }

    #[test]
    fn a_copy_behind_a_response_is_surplus_from_its_first_byte() {
        let mut pairing = after_one_request();
        assert!(pairing.observe(format!("{OK}H").as_bytes()).is_empty());
        assert!(pairing.has_surplus());
        let rest = "TTP/1.1 429 Full\r\nretry-after: 0.5\r\nContent-Length: 0\r\n\r\n";
        let head = ResponseHead {
            status: Some(StatusCode::TOO_MANY_REQUESTS),
            retry_after: Some(Duration::from_millis(500)),
        };
        assert_eq!(pairing.observe(rest.as_bytes()), [head]);
    }

    #[test]
    fn bytes_of_a_body_are_no_response() {
        let mut pairing = after_one_request();
        let body = "HTTP/1.1 200 OK\r\n\r\n";
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert!(pairing.observe(response.as_bytes()).is_empty());
        assert_eq!((pairing.responses(), pairing.has_surplus()), (1, false));
    }
}
