//! HTTP/1.1 as the stand-ins need it: with the bytes, and the times at which they came, at hand. RFC 9112.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head that is read.
const HEAD_MOST: usize = 64 * 1024;
/// Longest body that is read: more than any call may hold.
const BODY_MOST: usize = 4 << 20;
/// Lines of a head.
const HEADERS_MOST: usize = 64;

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// Its first line, without the line's end.
    pub start_line: String,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body, by Content-Length or in chunks.
    pub body: Vec<u8>,
    /// When its first byte was there.
    pub first_byte_at: Instant,
    /// When its last byte was there.
    pub last_byte_at: Instant,
}

impl HttpMessage {
    /// The status of an answer; 0 where it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// A request's method and its path.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// A header's value; its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection, read through a buffer.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl HttpConnection {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // It only costs time where it can't be set.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Those of connecting; `TimedOut` after `limit`.
    pub async fn connect(at: SocketAddr, limit: Duration) -> io::Result<HttpConnection> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(at)).await??;
        Ok(HttpConnection::new(stream))
    }

    /// Whether the other side has closed, or sent what nobody asked for.
    pub fn is_stale(&mut self) -> bool {
        !self.buffer.is_empty()
            || match self.stream.try_read(&mut [0]) {
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
                Ok(_) => true,
            }
    }

    async fn more(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let read = self.stream.read(&mut piece).await?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    /// Waits for the other side to close; what it sends meanwhile is kept for the next read, as far as a head
    /// may be long.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < HEAD_MOST {
            if !matches!(self.more().await, Ok(1..)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads on and forgets what comes, until the other side closes.
    pub async fn discard_until_closed(&mut self) {
        loop {
            self.buffer.clear();
            if !matches!(self.more().await, Ok(1..)) {
                return;
            }
        }
    }

    /// The next bytes as they come; none at the connection's end.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn read_available(&mut self) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.more().await?;
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a request; none where the connection ended before its first byte.
    ///
    /// # Errors
    /// Those of the socket; `InvalidData` for what is no request; `UnexpectedEof` for half of one.
    pub async fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.read(true).await
    }

    /// Reads an answer; 1xx answers are passed over.
    ///
    /// # Errors
    /// Those of the socket; `InvalidData` for what is no answer; `UnexpectedEof` where it doesn't come whole.
    pub async fn read_response(&mut self) -> io::Result<HttpMessage> {
        loop {
            let answer = self.read(false).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if answer.status() >= 200 {
                return Ok(answer);
            }
        }
    }

    async fn read(&mut self, request: bool) -> io::Result<Option<HttpMessage>> {
        if self.buffer.is_empty() && self.more().await? == 0 {
            return Ok(None);
        }
        let begun = Instant::now();
        let (length, mut http) = loop {
            if let Some(head) = parse(&self.buffer, request, begun)? {
                break head;
            }
            if self.buffer.len() > HEAD_MOST {
                return Err(bad("a head without an end"));
            }
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        self.buffer.drain(..length);
        if http.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            http.body = self.chunks().await?;
        } else {
            let length = match http.header("content-length") {
                Some(text) => text.trim().parse().map_err(|_| bad("Content-Length is no number"))?,
                None => 0,
            };
            http.body = self.take(length).await?;
        }
        http.last_byte_at = Instant::now();
        Ok(Some(http))
    }

    /// The next bytes, so many.
    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > BODY_MOST {
            return Err(bad("a body that is too long"));
        }
        while self.buffer.len() < length {
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_string());
            }
            if self.buffer.len() > HEAD_MOST || self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line().await?;
            let length = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(length, 16).map_err(|_| bad("a chunk without a length"))?;
            if length == 0 {
                while !self.line().await?.is_empty() {}
                return Ok(body);
            }
            if body.len() + length > BODY_MOST {
                return Err(bad("a body that is too long"));
            }
            body.extend(self.take(length).await?);
            self.line().await?;
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the sending; what the other side says is still read.
    ///
    /// # Errors
    /// Those of the connection.
    pub async fn shutdown_write(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Ends the connection by a reset: what is on its way is lost.
    pub fn reset(self) {
        // Where it can't be set the connection ends in the usual way.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A head and its length; none while it is not whole.
fn parse(bytes: &[u8], request: bool, begun: Instant) -> io::Result<Option<(usize, HttpMessage)>> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let (first, length, headers) = if request {
        let mut head = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(length) =
            head.parse(bytes).map_err(|error| bad(&error.to_string()))?
        else {
            return Ok(None);
        };
        let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
        (format!("{method} {path} HTTP/1.1"), length, head.headers)
    } else {
        let mut head = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(length) =
            head.parse(bytes).map_err(|error| bad(&error.to_string()))?
        else {
            return Ok(None);
        };
        let (code, reason) = (head.code.unwrap_or_default(), head.reason.unwrap_or_default());
        (format!("HTTP/1.1 {code} {reason}"), length, head.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    let headers = headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    Ok(Some((
        length,
        HttpMessage {
            start_line: first,
            headers,
            body: Vec::new(),
            first_byte_at: begun,
            last_byte_at: begun,
        },
    )))
}

/// An answer's bytes: `headers` are whole lines, each with its end.
pub fn response_bytes(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        410 => "Gone",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    };
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n{length}{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    async fn pair() -> (HttpConnection, HttpConnection) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let one =
            HttpConnection::connect(listener.local_addr().unwrap(), Duration::from_secs(9)).await.unwrap();
        (one, HttpConnection::new(listener.accept().await.unwrap().0))
    }

    #[tokio::test]
    async fn requests_are_read_in_pieces_one_after_the_other() {
        let (mut client, mut server) = pair().await;
        client.write(b"POST /a HTTP/1.1\r\nA: b\r\nContent-Len").await.unwrap();
        let reading = tokio::spawn(async move {
            let first = server.read_request().await.unwrap().unwrap();
            let second = server.read_request().await.unwrap().unwrap();
            (first, second, server.read_request().await)
        });
        tokio::task::yield_now().await;
        client
            .write(b"gth: 4\r\n\r\nfourGET /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
            .await
            .unwrap();
        client.write(b"1;x=y\r\nc\r\n0\r\n\r\nGET /half").await.unwrap();
        drop(client);
        let (first, second, third) = reading.await.unwrap();
        assert_eq!((first.target(), first.text().as_str()), (("POST", "/a"), "four"));
        assert_eq!((second.target(), second.text().as_str()), (("GET", "/b"), "abc"));
        assert_eq!(third.unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
    }

    #[tokio::test]
    async fn a_reset_is_no_end_in_peace() {
        let (mut client, server) = pair().await;
        server.reset();
        assert_eq!(client.read_response().await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        let (mut client, mut server) = pair().await;
        server.write(&response_bytes(100, "", b"")).await.unwrap();
        server.write(&response_bytes(429, "Retry-After: 1.5\r\n", b"no")).await.unwrap();
        let told = client.read_response().await.unwrap();
        assert_eq!((told.status(), told.header("retry-after"), &*told.body), (429, Some("1.5"), &b"no"[..]));
    }
}
