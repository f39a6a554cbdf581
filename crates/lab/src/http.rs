//! HTTP/1.1 (RFC 9112) as the stand-ins need it: with access to the raw bytes and to the times at which they arrived.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Maximum size of a message head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a body, above that of any call.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 64;

/// A request or a response.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// The request line or status line, without the line end.
    pub start_line: String,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body, delimited by Content-Length or chunked.
    pub body: Vec<u8>,
    /// When its first byte had arrived.
    pub first_byte_at: Instant,
    /// When its last byte had arrived.
    pub last_byte_at: Instant,
}

impl HttpMessage {
    /// The status of a response; 0 where it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// A request's method and path.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// A header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with a read buffer.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Writes that are due later; they end with the connection.
    later_writes: JoinSet<()>,
}

fn invalid_data(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl HttpConnection {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // Without TCP_NODELAY the connection is slower, but works.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new(), later_writes: JoinSet::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The connection can't be opened; `TimedOut` after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<HttpConnection> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        Ok(HttpConnection::new(stream))
    }

    /// Whether the connection can't be reused: the other side has closed it, or sent data without a request.
    pub fn is_stale(&mut self) -> bool {
        !self.buffer.is_empty()
            || match self.stream.try_read(&mut [0]) {
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
                Ok(_) => true,
            }
    }

    /// Writes bytes after a delay, whatever else is written meanwhile.
    ///
    /// # Errors
    /// The socket can't be shared.
    pub fn write_later(&mut self, delay: Duration, bytes: Vec<u8>) -> io::Result<()> {
        let socket = self.stream.as_fd().try_clone_to_owned()?;
        let mut writer = TcpStream::from_std(socket.into())?;
        self.later_writes.spawn(async move {
            tokio::time::sleep(delay).await;
            // The other side may have closed the connection.
            let _ = writer.write_all(&bytes).await;
        });
        Ok(())
    }

    /// Whether the other side has closed the connection, also if that was not read yet.
    pub fn is_closed_by_peer(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.map_or_else(|error| error.kind() != io::ErrorKind::WouldBlock, |length| length == 0)
    }

    async fn fill_buffer(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Waits for the other side to close. What it sends meanwhile is kept for the next read, up to the maximum size of
    /// a head.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if !matches!(self.fill_buffer().await, Ok(1..)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads and discards data until the other side closes.
    pub async fn discard_until_closed(&mut self) {
        loop {
            self.buffer.clear();
            if !matches!(self.fill_buffer().await, Ok(1..)) {
                return;
            }
        }
    }

    /// Reads the bytes that are available next; empty at the connection's end.
    ///
    /// # Errors
    /// Reading from the socket failed.
    pub async fn read_available(&mut self) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill_buffer().await?;
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a request; `None` where the connection ended before its first byte.
    ///
    /// # Errors
    /// Reading from the socket failed; `InvalidData` for a malformed request; `UnexpectedEof` for an incomplete one.
    pub async fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.read_message(true).await
    }

    /// Reads a response; 1xx responses are skipped.
    ///
    /// # Errors
    /// Reading from the socket failed; `InvalidData` for a malformed response; `UnexpectedEof` for an incomplete one.
    pub async fn read_response(&mut self) -> io::Result<HttpMessage> {
        loop {
            let response = self.read_message(false).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if response.status() >= 200 {
                return Ok(response);
            }
        }
    }

    async fn read_message(&mut self, is_request: bool) -> io::Result<Option<HttpMessage>> {
        if self.buffer.is_empty() && self.fill_buffer().await? == 0 {
            return Ok(None);
        }
        let first_byte_at = Instant::now();
        let (length, mut message) = loop {
            if let Some(head) = parse_head(&self.buffer, is_request, first_byte_at)? {
                break head;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("the head exceeds the maximum size"));
            }
            if self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        self.buffer.drain(..length);
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            message.body = self.read_chunks().await?;
        } else {
            let length = match message.header("content-length") {
                Some(text) => {
                    text.trim().parse().map_err(|_| invalid_data("Content-Length is not a number"))?
                }
                None => 0,
            };
            message.body = self.read_exactly(length).await?;
        }
        message.last_byte_at = Instant::now();
        Ok(Some(message))
    }

    /// Reads the given number of bytes.
    async fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY_BYTES {
            return Err(invalid_data("the body exceeds the maximum size"));
        }
        while self.buffer.len() < length {
            if self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_string());
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let length = line.split(';').next().unwrap_or_default().trim();
            let length =
                usize::from_str_radix(length, 16).map_err(|_| invalid_data("a chunk has no valid length"))?;
            if length == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(body);
            }
            if body.len() + length > MAX_BODY_BYTES {
                return Err(invalid_data("the body exceeds the maximum size"));
            }
            body.extend(self.read_exactly(length).await?);
            self.read_line().await?;
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// Writing to the socket failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Shuts down the write side; data from the other side can still be read.
    ///
    /// # Errors
    /// The socket can't be shut down.
    pub async fn shutdown_write(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Resets the connection: data in flight is lost.
    pub fn reset(self) {
        // Where the option can't be set, the connection is closed in the normal way.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Parses a message head and returns it with its length; `None` while it is incomplete.
fn parse_head(
    bytes: &[u8], is_request: bool, first_byte_at: Instant,
) -> io::Result<Option<(usize, HttpMessage)>> {
    let mut header_lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (start_line, length, headers) = if is_request {
        let mut head = httparse::Request::new(&mut header_lines);
        let httparse::Status::Complete(length) =
            head.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?
        else {
            return Ok(None);
        };
        let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
        (format!("{method} {path} HTTP/1.1"), length, head.headers)
    } else {
        let mut head = httparse::Response::new(&mut header_lines);
        let httparse::Status::Complete(length) =
            head.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?
        else {
            return Ok(None);
        };
        let (code, reason) = (head.code.unwrap_or_default(), head.reason.unwrap_or_default());
        (format!("HTTP/1.1 {code} {reason}"), length, head.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    let headers =
        headers.iter().map(|header| (header.name.to_ascii_lowercase(), text(header.value))).collect();
    Ok(Some((
        length,
        HttpMessage { start_line, headers, body: Vec::new(), first_byte_at, last_byte_at: first_byte_at },
    )))
}

/// Encodes a response. `headers` are complete lines, each with its line end.
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

    async fn connected_pair() -> (HttpConnection, HttpConnection) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client =
            HttpConnection::connect(listener.local_addr().unwrap(), Duration::from_secs(9)).await.unwrap();
        (client, HttpConnection::new(listener.accept().await.unwrap().0))
    }

    #[tokio::test]
    async fn pipelined_requests_are_read_from_partial_writes() {
        let (mut client, mut server) = connected_pair().await;
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
    async fn a_reset_is_reported_and_interim_responses_are_skipped() {
        let (mut client, server) = connected_pair().await;
        server.reset();
        assert_eq!(client.read_response().await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        let (mut client, mut server) = connected_pair().await;
        server.write(&response_bytes(100, "", b"")).await.unwrap();
        server.write(&response_bytes(429, "Retry-After: 1.5\r\n", b"no")).await.unwrap();
        let response = client.read_response().await.unwrap();
        assert_eq!(
            (response.status(), response.header("retry-after"), &*response.body),
            (429, Some("1.5"), &b"no"[..])
        );
    }
}
