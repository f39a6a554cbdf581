//! One line to a connection, one answer back.

use std::fmt::Display;

/// Longest line of a call, its end not counted, in bytes. No id of an endpoint that may be ordered about is longer than
/// [`ID_MOST`].
pub const LINE_MOST: usize = 512;
/// Longest id of an endpoint in a call, in bytes.
pub const ID_MOST: usize = 256;
/// The line behind the figures.
pub const END_OF_FIGURES: &str = "EOT";

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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

impl Call {
    /// The line that asks for it.
    pub fn line(&self) -> String {
        match self {
            Call::Status => "STATUS\n".into(),
            Call::Metrics => "METRICS\n".into(),
            Call::Fleet => "FLEET\n".into(),
            Call::Suspend(id) => format!("SUSPEND {id}\n"),
            Call::Restore(id) => format!("RESTORE {id}\n"),
        }
    }

    /// Reads a line without its end.
    ///
    /// # Errors
    /// Where it is no call; the error says what is wrong with it.
    pub fn read(line: &[u8]) -> Result<Call, Malformed> {
        let line = std::str::from_utf8(line).map_err(|_| Malformed::NotText)?;
        if line.chars().any(|c| c.is_control() && c != '\t') {
            return Err(Malformed::NotText);
        }
        let mut words = line.split_ascii_whitespace();
        let verb = words.next().ok_or(Malformed::Empty)?;
        let id = words.next();
        if words.next().is_some() {
            return Err(Malformed::TooManyWords);
        }
        let named = |id: Option<&str>| match id {
            None => Err(Malformed::NoId),
            Some(id) if id.len() > ID_MOST => Err(Malformed::LongId),
            Some(id) => Ok(id.to_string()),
        };
        match (verb, id) {
            ("STATUS", None) => Ok(Call::Status),
            ("METRICS", None) => Ok(Call::Metrics),
            ("FLEET", None) => Ok(Call::Fleet),
            ("STATUS" | "METRICS" | "FLEET", Some(_)) => Err(Malformed::TooManyWords),
            ("SUSPEND", id) => named(id).map(Call::Suspend),
            ("RESTORE", id) => named(id).map(Call::Restore),
            _ => Err(Malformed::Unknown),
        }
    }
}

/// What is wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
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
    /// An id that is longer than [`ID_MOST`].
    #[error("an id longer than 256 bytes")]
    LongId,
    /// No line end within [`LINE_MOST`].
    #[error("a line longer than 512 bytes")]
    LongLine,
    /// The caller ended its sending before the line's end: a cut id is another endpoint's.
    #[error("the line was cut off")]
    CutOff,
}

/// Puts one line together from pieces. It holds [`LINE_MOST`] bytes at most.
#[derive(Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
}

impl Decoder {
    /// Takes bytes that came; once the line is whole, what it asks for. What stands behind the line is left alone.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, Malformed>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + piece.len() > LINE_MOST + 1 {
            return Some(Err(Malformed::LongLine));
        }
        self.line.extend_from_slice(piece);
        end?;
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        Some(if line.len() > LINE_MOST { Err(Malformed::LongLine) } else { Call::read(line) })
    }

    /// The caller sends nothing more, and its line is not whole.
    pub fn end(&self) -> Malformed {
        if self.line.is_empty() { Malformed::Empty } else { Malformed::CutOff }
    }
}

/// A yes, as one line.
pub fn yes(text: impl Display) -> String {
    line("SUCCESS", text)
}

/// A no, as one line.
pub fn no(text: impl Display) -> String {
    line("FAILURE", text)
}

/// An answer is one line, whatever stands in its text.
fn line(word: &str, text: impl Display) -> String {
    let text: String = text.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    if text.is_empty() { format!("{word}\n") } else { format!("{word} {text}\n") }
}

/// What a door has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A line that begins with `SUCCESS`, and its text.
    Yes(String),
    /// A line that begins with `FAILURE`, and its text.
    No(String),
    /// The figures, a line each, by name: the value and its sign (`c` counts up, `g` goes up and down).
    Figures(Vec<(String, u64, char)>),
}

impl Reply {
    /// Reads a whole answer; none where it is not one.
    pub fn read(text: &str) -> Option<Reply> {
        let first = text.lines().next().unwrap_or_default();
        let (word, rest) = first.split_once(' ').unwrap_or((first, ""));
        if text.ends_with('\n') && word == "SUCCESS" {
            return Some(Reply::Yes(rest.into()));
        }
        if text.ends_with('\n') && word == "FAILURE" {
            return Some(Reply::No(rest.into()));
        }
        let body = text.trim_end().strip_suffix(END_OF_FIGURES)?;
        let figures = body.lines().map(|line| {
            let (name, value) = line.rsplit_once(':')?;
            let (value, sign) = value.split_once('|')?;
            Some((name.to_string(), value.parse().ok()?, sign.parse().ok()?))
        });
        figures.collect::<Option<_>>().map(Reply::Figures)
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
        assert_eq!(decoder.feed(b"\nRESTORE s-2\n"), Some(Ok(Call::Suspend("s-1".into()))));
    }

    #[test]
    fn what_is_no_call_is_said_to_be_none() {
        let read = |line: &[u8]| Decoder::default().feed(line).unwrap().unwrap_err();
        assert_eq!(read(b"\n"), Malformed::Empty);
        assert_eq!(read(b"STATUS \0\n"), Malformed::NotText);
        assert_eq!(read(b"\xff\xfe\n"), Malformed::NotText);
        assert_eq!(read(b"status\n"), Malformed::Unknown);
        assert_eq!(read(b"STATUS now\n"), Malformed::TooManyWords);
        assert_eq!(read(b"SUSPEND\n"), Malformed::NoId);
        assert_eq!(read(b"SUSPEND a b\n"), Malformed::TooManyWords);
        assert_eq!(read(format!("SUSPEND {}\n", "x".repeat(257)).as_bytes()), Malformed::LongId);
        assert_eq!(read(&[b'x'; 10_000]), Malformed::LongLine);
        let mut cut = Decoder::default();
        assert_eq!(cut.feed(b"SUSPEND s-1"), None);
        assert_eq!(cut.end(), Malformed::CutOff);
    }

    #[test]
    fn an_answer_is_one_line_and_is_read_back() {
        assert_eq!(no("two\nlines"), "FAILURE two lines\n");
        assert_eq!(Reply::read(&yes("")), Some(Reply::Yes(String::new())));
        assert_eq!(Reply::read("FAILURE why\n"), Some(Reply::No("why".into())));
        let figures = "app.fulfilled.a:3|c\napp.open_requests:1|g\nEOT\n";
        let read = vec![("app.fulfilled.a".into(), 3, 'c'), ("app.open_requests".into(), 1, 'g')];
        assert_eq!(Reply::read(figures), Some(Reply::Figures(read)));
        assert_eq!(Reply::read("app.fulfilled.a:3|c\n"), None);
        assert_eq!(Reply::read("SUCCESS cut"), None);
    }
}
