//! One line to a connection, one answer back.

use std::fmt::Display;

/// Longest line of a call, its end not counted, in bytes. No id of an endpoint that may be ordered about is longer than
/// [`MAX_ID_BYTES`].
pub const MAX_LINE_BYTES: usize = 512;
/// Longest id of an endpoint in a call, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// The line behind the figures.
pub const END_OF_METRICS: &str = "EOT";

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Whether this process is ready to serve.
    Status,
    /// The figures.
    Metrics,
    /// Take an endpoint out until it is called back.
    Suspend(String),
    /// An endpoint may serve again.
    Restore(String),
    /// How the fleet stands, as this member sees it: members and duties, as JSON.
    Fleet,
}

impl Request {
    /// The line that asks for it.
    pub fn to_line(&self) -> String {
        match self {
            Request::Status => "STATUS\n".into(),
            Request::Metrics => "METRICS\n".into(),
            Request::Fleet => "FLEET\n".into(),
            Request::Suspend(id) => format!("SUSPEND {id}\n"),
            Request::Restore(id) => format!("RESTORE {id}\n"),
        }
    }

    /// Reads a line without its end.
    ///
    /// # Errors
    /// Where it is no call; the error says what is wrong with it.
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
        let named = |id: Option<&str>| match id {
            None => Err(RequestError::NoId),
            Some(id) if id.len() > MAX_ID_BYTES => Err(RequestError::LongId),
            Some(id) => Ok(id.to_string()),
        };
        match (verb, id) {
            ("STATUS", None) => Ok(Request::Status),
            ("METRICS", None) => Ok(Request::Metrics),
            ("FLEET", None) => Ok(Request::Fleet),
            ("STATUS" | "METRICS" | "FLEET", Some(_)) => Err(RequestError::TooManyWords),
            ("SUSPEND", id) => named(id).map(Request::Suspend),
            ("RESTORE", id) => named(id).map(Request::Restore),
            _ => Err(RequestError::Unknown),
        }
    }
}

/// What is wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A line with nothing in it.
    #[error("an empty line; STATUS, METRICS, SUSPEND ID or RESTORE ID expected")]
    Empty,
    /// Bytes that are no UTF-8, or control characters.
    #[error("not plain text")]
    NotText,
    /// The first word is none that is known.
    #[error("unknown call; STATUS, METRICS, SUSPEND ID or RESTORE ID expected")]
    Unknown,
    /// More words than the call takes.
    #[error("too many words")]
    TooManyWords,
    /// The endpoint is not named.
    #[error("an endpoint's id is missing")]
    NoId,
    /// An id that is longer than [`MAX_ID_BYTES`].
    #[error("an id longer than 256 bytes")]
    LongId,
    /// No line end within [`MAX_LINE_BYTES`].
    #[error("a line longer than 512 bytes")]
    LongLine,
    /// The caller ended its sending before the line's end: a cut id is another endpoint's.
    #[error("the line was cut off")]
    CutOff,
}

/// Puts one line together from pieces. It holds [`MAX_LINE_BYTES`] bytes at most.
#[derive(Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
}

impl Decoder {
    /// Takes bytes that came; once the line is whole, what it asks for. What stands behind the line is left alone.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Request, RequestError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + piece.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(RequestError::LongLine));
        }
        self.line.extend_from_slice(piece);
        end?;
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        Some(if line.len() > MAX_LINE_BYTES { Err(RequestError::LongLine) } else { Request::parse(line) })
    }

    /// The caller sends nothing more, and its line is not whole.
    pub fn finish(&self) -> RequestError {
        if self.line.is_empty() { RequestError::Empty } else { RequestError::CutOff }
    }
}

/// A yes, as one line.
pub fn success(text: impl Display) -> String {
    line("SUCCESS", text)
}

/// A no, as one line.
pub fn failure(text: impl Display) -> String {
    line("FAILURE", text)
}

/// An answer is one line, whatever stands in its text.
fn line(word: &str, text: impl Display) -> String {
    let text: String = text.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    if text.is_empty() { format!("{word}\n") } else { format!("{word} {text}\n") }
}

/// What a door has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A line that begins with `SUCCESS`, and its text.
    Success(String),
    /// A line that begins with `FAILURE`, and its text.
    Failure(String),
    /// The figures, a line each, by name: the value and its sign (`c` counts up, `g` goes up and down).
    Metrics(Vec<(String, u64, char)>),
}

impl Response {
    /// Reads a whole answer; none where it is not one.
    pub fn parse(text: &str) -> Option<Response> {
        let first = text.lines().next().unwrap_or_default();
        let (word, rest) = first.split_once(' ').unwrap_or((first, ""));
        if text.ends_with('\n') && word == "SUCCESS" {
            return Some(Response::Success(rest.into()));
        }
        if text.ends_with('\n') && word == "FAILURE" {
            return Some(Response::Failure(rest.into()));
        }
        let body = text.trim_end().strip_suffix(END_OF_METRICS)?;
        let figures = body.lines().map(|line| {
            let (name, value) = line.rsplit_once(':')?;
            let (value, sign) = value.split_once('|')?;
            Some((name.to_string(), value.parse().ok()?, sign.parse().ok()?))
        });
        figures.collect::<Option<_>>().map(Response::Metrics)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_put_together_from_pieces() {
        let mut decoder = Decoder::default();
        assert_eq!(decoder.feed(b"SUSP"), None);
        assert_eq!(decoder.feed(b"END s-1"), None);
        assert_eq!(decoder.feed(b"\r"), None);
        assert_eq!(decoder.feed(b"\nRESTORE s-2\n"), Some(Ok(Request::Suspend("s-1".into()))));
    }

    #[test]
    fn what_is_no_call_is_said_to_be_none() {
        let read = |line: &[u8]| Decoder::default().feed(line).unwrap().unwrap_err();
        assert_eq!(read(b"\n"), RequestError::Empty);
        assert_eq!(read(b"STATUS \0\n"), RequestError::NotText);
        assert_eq!(read(b"\xff\xfe\n"), RequestError::NotText);
        assert_eq!(read(b"status\n"), RequestError::Unknown);
        assert_eq!(read(b"STATUS now\n"), RequestError::TooManyWords);
        assert_eq!(read(b"SUSPEND\n"), RequestError::NoId);
        assert_eq!(read(b"SUSPEND a b\n"), RequestError::TooManyWords);
        assert_eq!(read(format!("SUSPEND {}\n", "x".repeat(257)).as_bytes()), RequestError::LongId);
        assert_eq!(read(&[b'x'; 10_000]), RequestError::LongLine);
        let mut cut = Decoder::default();
        assert_eq!(cut.feed(b"SUSPEND s-1"), None);
        assert_eq!(cut.finish(), RequestError::CutOff);
    }

    #[test]
    fn an_answer_is_one_line_and_is_read_back() {
        assert_eq!(failure("two\nlines"), "FAILURE two lines\n");
        assert_eq!(Response::parse(&success("")), Some(Response::Success(String::new())));
        assert_eq!(Response::parse("FAILURE why\n"), Some(Response::Failure("why".into())));
        let figures = "app.fulfilled.a:3|c\napp.open_requests:1|g\nEOT\n";
        let read = vec![("app.fulfilled.a".into(), 3, 'c'), ("app.open_requests".into(), 1, 'g')];
        assert_eq!(Response::parse(figures), Some(Response::Metrics(read)));
        assert_eq!(Response::parse("app.fulfilled.a:3|c\n"), None);
        assert_eq!(Response::parse("SUCCESS cut"), None);
    }
}
