//! The other side of the door: one call, one answer.

use crate::protocol::{Request, Response};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// No answer is longer, in bytes.
const ANSWER_MOST: u64 = 1 << 20;

/// Asks the door at an address; each of connecting, writing and reading takes `patience` at most.
///
/// # Errors
/// Where nobody answers, or what comes is no answer (`InvalidData`).
pub fn send_request(at: SocketAddr, call: &Request, patience: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&at, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(call.to_line().as_bytes())?;
    let mut text = String::new();
    stream.take(ANSWER_MOST).read_to_string(&mut text)?;
    Response::parse(&text).ok_or_else(|| io::Error::new(ErrorKind::InvalidData, "no answer of a door"))
}
