//! The client of the control port.

use crate::protocol::{Request, Response};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest response that the client reads, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// Sends a request to a control port and reads the response. `timeout` applies to connecting, writing and reading
/// separately.
///
/// # Errors
/// I/O errors of the connection; `InvalidData` where the response is malformed.
pub fn send_request(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request.to_line().as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    Response::parse(&text)
        .ok_or_else(|| io::Error::new(ErrorKind::InvalidData, "not a response of a control port"))
}
