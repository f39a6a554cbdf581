//! The text protocol of the control port: one request line per connection, one response.

use std::fmt::Display;

/// Longest request line without its line end, in bytes. It suffices for a verb and an id of [`MAX_ID_BYTES`].
pub const MAX_LINE_BYTES: usize = 512;
/// Longest endpoint id in a request, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// The line that ends the metrics.
pub const END_OF_METRICS: &str = "EOT";

/// A request to the control port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Whether this process is ready to serve.
    Status,
    /// The metrics.
    Metrics,
    /// Suspend an endpoint until it is restored.
    Suspend(String),
    /// Lift the suspension of an endpoint.
    Restore(String),
    /// The fleet's status as this member sees it: members and duties, as JSON.
    Fleet,
}

impl Request {
    /// The request as a line.
    pub fn to_line(&self) -> String {
        match self {
            Request::Status => "STATUS\n".into(),
            Request::Metrics => "METRICS\n".into(),
            Request::Fleet => "FLEET\n".into(),
            Request::Suspend(id) => format!("SUSPEND {id}\n"),
            Request::Restore(id) => format!("RESTORE {id}\n"),
        }
    }

    /// Parses a line without its line end.
    ///
    /// # Errors
    /// Where the line is not a valid request.
    pub fn parse(line: &[u8]) -> Result<Request, RequestError> {
        let line = std::str::from_utf8(line).map_err(|_| RequestError::NotText)?;
        if line.chars().any(|c| c.is_control() && c != '\t') {
            return Err(RequestError::NotText);
        }
        let mut words = line.split_ascii_whitespace();
        let verb = words.next().ok_or(RequestError::Empty)?;
        let id = words.next();
        if words.next().is_some() {
            return Err(RequestError::TooManyWords);
        }
        let required_id = |id: Option<&str>| match id {
            None => Err(RequestError::MissingId),
            Some(id) if id.len() > MAX_ID_BYTES => Err(RequestError::IdTooLong),
            Some(id) => Ok(id.to_string()),
        };
        match (verb, id) {
            ("STATUS", None) => Ok(Request::Status),
            ("METRICS", None) => Ok(Request::Metrics),
            ("FLEET", None) => Ok(Request::Fleet),
            ("STATUS" | "METRICS" | "FLEET", Some(_)) => Err(RequestError::TooManyWords),
            ("SUSPEND", id) => required_id(id).map(Request::Suspend),
            ("RESTORE", id) => required_id(id).map(Request::Restore),
            _ => Err(RequestError::UnknownVerb),
        }
    }
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is empty.
    #[error("an empty line; STATUS, METRICS, SUSPEND ID or RESTORE ID expected")]
    Empty,
    /// The line is not UTF-8 or contains control characters.
    #[error("not plain text")]
    NotText,
    /// The verb is unknown.
    #[error("unknown call; STATUS, METRICS, SUSPEND ID or RESTORE ID expected")]
    UnknownVerb,
    /// The request has more words than its verb takes.
    #[error("too many words")]
    TooManyWords,
    /// The endpoint id is missing.
    #[error("an endpoint's id is missing")]
    MissingId,
    /// The id is longer than [`MAX_ID_BYTES`].
    #[error("an id longer than 256 bytes")]
    IdTooLong,
    /// There is no line end within [`MAX_LINE_BYTES`].
    #[error("a line longer than 512 bytes")]
    LineTooLong,
    /// The client closed its sending side before the line end. A truncated id could be that of another endpoint.
    #[error("the line was cut off")]
    Truncated,
}

/// Assembles a request line from chunks. It buffers little more than [`MAX_LINE_BYTES`].
#[derive(Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
}

impl Decoder {
    /// Adds received bytes; returns the request once its line is complete. Bytes after the line are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Request, RequestError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let chunk = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + chunk.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(RequestError::LineTooLong));
        }
        self.line.extend_from_slice(chunk);
        end?;
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        Some(if line.len() > MAX_LINE_BYTES { Err(RequestError::LineTooLong) } else { Request::parse(line) })
    }

    /// How many bytes of an incomplete line were received.
    pub fn received_bytes(&self) -> usize {
        self.line.len()
    }

    /// The error for a client that sends nothing more before its line is complete.
    pub fn finish(&self) -> RequestError {
        if self.line.is_empty() { RequestError::Empty } else { RequestError::Truncated }
    }
}

/// A success response, as one line.
pub fn success(text: impl Display) -> String {
    response_line("SUCCESS", text)
}

/// A failure response, as one line.
pub fn failure(text: impl Display) -> String {
    response_line("FAILURE", text)
}

/// Formats a response line. Control characters in the text become spaces, so that the response stays one line.
fn response_line(status: &str, text: impl Display) -> String {
    let text: String = text.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    if text.is_empty() { format!("{status}\n") } else { format!("{status} {text}\n") }
}

/// A response of the control port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A line that begins with `SUCCESS`, with the text behind it.
    Success(String),
    /// A line that begins with `FAILURE`, with the text behind it.
    Failure(String),
    /// The metrics, one per line: name, value and StatsD type (`c` for a counter, `g` for a gauge).
    Metrics(Vec<(String, u64, char)>),
}

impl Response {
    /// Parses a complete response; `None` where the text is not one.
    pub fn parse(text: &str) -> Option<Response> {
        let first = text.lines().next().unwrap_or_default();
        let (status, rest) = first.split_once(' ').unwrap_or((first, ""));
        if text.ends_with('\n') && status == "SUCCESS" {
            return Some(Response::Success(rest.into()));
        }
        if text.ends_with('\n') && status == "FAILURE" {
            return Some(Response::Failure(rest.into()));
        }
        let body = text.trim_end().strip_suffix(END_OF_METRICS)?;
        let metrics = body.lines().map(|line| {
            let (name, value) = line.rsplit_once(':')?;
            let (value, metric_type) = value.split_once('|')?;
            Some((name.to_string(), value.parse().ok()?, metric_type.parse().ok()?))
        });
        metrics.collect::<Option<_>>().map(Response::Metrics)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn assembles_a_line_from_chunks() {
        let mut decoder = Decoder::default();
        assert_eq!(decoder.feed(b"SUSP"), None);
        assert_eq!(decoder.feed(b"END s-1"), None);
        assert_eq!(decoder.feed(b"\r"), None);
        assert_eq!(decoder.feed(b"\nRESTORE s-2\n"), Some(Ok(Request::Suspend("s-1".into()))));
    }

    #[test]
    fn rejects_invalid_requests() {
        let parse_error = |line: &[u8]| Decoder::default().feed(line).unwrap().unwrap_err();
        assert_eq!(parse_error(b"\n"), RequestError::Empty);
        assert_eq!(parse_error(b"STATUS \0\n"), RequestError::NotText);
        assert_eq!(parse_error(b"\xff\xfe\n"), RequestError::NotText);
        assert_eq!(parse_error(b"status\n"), RequestError::UnknownVerb);
        assert_eq!(parse_error(b"STATUS now\n"), RequestError::TooManyWords);
        assert_eq!(parse_error(b"SUSPEND\n"), RequestError::MissingId);
        assert_eq!(parse_error(b"SUSPEND a b\n"), RequestError::TooManyWords);
        assert_eq!(parse_error(format!("SUSPEND {}\n", "x".repeat(257)).as_bytes()), RequestError::IdTooLong);
        assert_eq!(parse_error(&[b'x'; 10_000]), RequestError::LineTooLong);
        let mut truncated = Decoder::default();
        assert_eq!(truncated.feed(b"SUSPEND s-1"), None);
        assert_eq!(truncated.finish(), RequestError::Truncated);
    }

    #[test]
    fn responses_are_one_line_and_parse_back() {
        assert_eq!(failure("two\nlines"), "FAILURE two lines\n");
        assert_eq!(Response::parse(&success("")), Some(Response::Success(String::new())));
        assert_eq!(Response::parse("FAILURE why\n"), Some(Response::Failure("why".into())));
        let metrics = "app.fulfilled.a:3|c\napp.open_requests:1|g\nEOT\n";
        let parsed = vec![("app.fulfilled.a".into(), 3, 'c'), ("app.open_requests".into(), 1, 'g')];
        assert_eq!(Response::parse(metrics), Some(Response::Metrics(parsed)));
        assert_eq!(Response::parse("app.fulfilled.a:3|c\n"), None);
        assert_eq!(Response::parse("SUCCESS cut"), None);
    }
}
