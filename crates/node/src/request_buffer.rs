//! The bytes that a client has sent of its request, until the request is complete. Only then is it parsed for good: an
//! incomplete request costs its bytes and nothing else.

use crate::size_limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_REQUEST_HEADERS};
use crate::stream::HeadScanner;
use httparse::{EMPTY_HEADER, Request, Status};
use hyper::body::Bytes;

/// Bytes by which the buffer grows while the length of the request is unknown.
const GROWTH_BYTES: usize = 2048;

/// The bytes of the request that is expected or in progress, and what has arrived behind it.
#[derive(Default)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    head: HeadScanner,
    /// How much of it is the request, once its head is complete or invalid.
    request_length: Option<usize>,
}

impl RequestBuffer {
    /// The bytes so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The capacity that is needed to read on: the whole request if its length is known, else some more bytes.
    pub fn wanted_capacity(&self) -> usize {
        match self.request_length {
            Some(length) => length.max(self.bytes.len()),
            None => (self.bytes.len() / GROWTH_BYTES + 1) * GROWTH_BYTES,
        }
    }

    /// Adds what has arrived; not more than the capacity that was asked for.
    pub fn receive(&mut self, received: &[u8]) {
        let is_first = self.bytes.is_empty();
        self.bytes
            .reserve_exact(self.wanted_capacity().max(self.bytes.len() + received.len()) - self.bytes.len());
        self.bytes.extend_from_slice(received);
        self.head.scan(received);
        if self.request_length.is_none() {
            self.request_length = self.find_length(is_first);
        }
    }

    /// The length of the request, once that is certain. A head that is invalid or too long, or whose request is refused
    /// without its body, is complete as it is.
    fn find_length(&self, is_first: bool) -> Option<usize> {
        let length = self.bytes.len();
        let is_head_complete = self.head.bytes_after_head().is_some();
        if !is_head_complete {
            let is_rejected =
                length >= MAX_HEAD_BYTES || is_first && parse_head(&self.bytes) == ParsedHead::Invalid;
            return is_rejected.then_some(length);
        }
        Some(match parse_head(&self.bytes) {
            ParsedHead::Complete { head_length, body_length } if body_length <= MAX_BODY_BYTES => {
                head_length + body_length
            }
            ParsedHead::Complete { head_length, .. } => head_length,
            ParsedHead::Invalid => length,
        })
    }

    /// The length of the request, if all of it has arrived.
    pub fn complete_length(&self) -> Option<usize> {
        self.request_length.filter(|length| *length <= self.bytes.len())
    }

    /// The body of the request, which is complete and has this length; `None` if the request has another one.
    pub fn body(&self, length: usize) -> Option<Bytes> {
        let head_length = self.complete_length()?.checked_sub(length)?;
        let has_length = self.head.bytes_after_head()? == self.bytes.len() - head_length;
        has_length.then(|| Bytes::copy_from_slice(&self.bytes[head_length..head_length + length]))
    }

    /// Whether bytes have arrived behind the request.
    pub fn has_trailing_bytes(&self) -> bool {
        self.complete_length().is_some_and(|length| length < self.bytes.len())
    }

    /// Removes the request, which was answered. What has arrived behind it begins the next one.
    pub fn finish_request(&mut self) {
        let length = self.complete_length().unwrap_or(self.bytes.len());
        let rest = self.bytes.split_off(length);
        *self = RequestBuffer::default();
        if !rest.is_empty() {
            self.receive(&rest);
        }
    }

    /// Takes all bytes out.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(self).bytes
    }
}

#[derive(Debug, PartialEq)]
enum ParsedHead {
    /// The end of the head and the declared length of the body; no length counts as none for a body that is not declared
    /// by its length alone, as such a request is refused.
    Complete { head_length: usize, body_length: usize },
    /// Not a head that hyper accepts; it has the response to it.
    Invalid,
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [EMPTY_HEADER; MAX_REQUEST_HEADERS];
    let mut request = Request::new(&mut headers);
    let head_length = match request.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        // Not reached for a complete head.
        Ok(Status::Partial) => bytes.len(),
        Err(_) => return ParsedHead::Invalid,
    };
    let named = |name: &'static str| {
        request.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let is_chunked = named("transfer-encoding").next().is_some();
    let values = named("content-length").flat_map(|header| header.value.split(|byte| *byte == b','));
    let lengths: Vec<Option<usize>> =
        values.map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok()).collect();
    let body_length = match lengths[..] {
        [Some(length), ref others @ ..]
            if !is_chunked && others.iter().all(|other| *other == Some(length)) =>
        {
            length
        }
        _ => 0,
    };
    ParsedHead::Complete { head_length, body_length }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn received(pieces: &[&[u8]]) -> RequestBuffer {
        let mut buffer = RequestBuffer::default();
        pieces.iter().for_each(|piece| buffer.receive(piece));
        buffer
    }

    #[test]
    fn a_request_is_complete_with_its_body() {
        let mut buffer = received(&[b"POST /a HTTP/1.1\r\nContent-Le", b"ngth: 4\r\n\r\nbo"]);
        assert_eq!((buffer.complete_length(), buffer.body(4)), (None, None));
        buffer.receive(b"dy");
        assert_eq!(buffer.body(4).as_deref(), Some(&b"body"[..]));
        assert!(!buffer.has_trailing_bytes());
        buffer.receive(b"GET /");
        assert!(buffer.has_trailing_bytes());
        buffer.finish_request();
        assert_eq!((buffer.bytes(), buffer.complete_length()), (&b"GET /"[..], None));
    }

    #[test]
    fn a_request_without_a_body_is_complete_with_its_head() {
        let mut buffer = received(&[b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"]);
        assert_eq!(buffer.complete_length(), Some(19));
        buffer.finish_request();
        assert_eq!(buffer.complete_length(), Some(19));
        buffer.finish_request();
        assert!(buffer.is_empty());
    }

    #[test]
    fn a_request_that_is_refused_without_its_body_is_complete_with_its_head() {
        for field in
            ["Transfer-Encoding: chunked", "Content-Length: 65537", "Content-Length: -1", "Content-Length: x"]
        {
            let head = format!("POST /a HTTP/1.1\r\n{field}\r\n\r\n");
            assert_eq!(received(&[head.as_bytes()]).complete_length(), Some(head.len()), "{field}");
        }
        let twice = b"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
        assert_eq!(received(&[twice]).complete_length(), Some(twice.len()));
        let equal = b"POST /a HTTP/1.1\r\nContent-Length: 2, 2\r\nContent-Length: 2\r\n\r\nhi";
        assert_eq!(received(&[equal]).complete_length(), Some(equal.len()));
        assert_eq!(received(&[&equal[..equal.len() - 1]]).complete_length(), None);
    }

    #[test]
    fn a_head_that_is_invalid_or_too_long_is_complete_as_it_is() {
        assert_eq!(received(&[b"\0\0\0\0"]).complete_length(), Some(4));
        assert_eq!(received(&[b"POST /a HTTP/1.1\r\n"]).complete_length(), None);
        let many = format!("POST /a HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(MAX_REQUEST_HEADERS + 1));
        assert_eq!(received(&[many.as_bytes()]).complete_length(), Some(many.len()));
        let endless = vec![b'a'; MAX_HEAD_BYTES];
        assert_eq!(received(&[&endless[..8], &endless[8..]]).complete_length(), Some(MAX_HEAD_BYTES));
    }

    #[test]
    fn the_buffer_grows_to_what_was_asked_for() {
        let mut buffer = received(&[b"POST /a HTTP/1.1\r\n"]);
        assert_eq!((buffer.wanted_capacity(), buffer.bytes.capacity()), (GROWTH_BYTES, GROWTH_BYTES));
        buffer.receive(b"Content-Length: 65536\r\n\r\n");
        assert_eq!(buffer.wanted_capacity(), 43 + 65536);
        buffer.receive(b"b");
        assert_eq!(buffer.bytes.capacity(), 43 + 65536);
    }
}
