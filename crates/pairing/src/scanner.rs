//! Splits the bytes of a connection into responses.

use http::StatusCode;
use std::time::Duration;

/// Maximum number of bytes kept of a line of a head; longer header values are of no interest here.
const MAX_LINE_BYTES: usize = 256;

/// The head of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResponseHead {
    /// None if the status line is malformed.
    pub status: Option<StatusCode>,
    /// Its Retry-After.
    pub retry_after: Option<Duration>,
}

/// How the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Framing {
    /// After this many bytes.
    Length(u64),
    /// After a chunk of no bytes.
    Chunked,
    /// With the connection, or not certain.
    Unknown,
}

/// Where the scanner is in the stream of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Position {
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ResponseScanner {
    pub(crate) position: Position,
    line: Vec<u8>,
    status_line_read: bool,
    status: Option<StatusCode>,
    retry_after: Option<Duration>,
    framing: Option<Framing>,
    /// Final responses whose first byte was read. The head of a 1xx response counts until it is complete.
    pub(crate) started: u64,
}

impl ResponseScanner {
    /// Takes the next bytes and passes on the head of each final response.
    pub(crate) fn scan(&mut self, mut bytes: &[u8], mut on_head: impl FnMut(ResponseHead)) {
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
