//! Crowds of clients that stop within their requests and connect again when they are closed.

use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The address of the dispatchers of these tests.
pub const DISPATCHER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 66, 0, 1);
const CROWD_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 66, 0, 2);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const FIRST_REQUEST: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: service.internal\r\n\r\n";
/// Longest body that the protocol allows.
pub const BODY_BYTES: usize = 64 * 1024;

/// Whether the peer of a non-blocking connection has left it open. What it has sent is read into `received`.
fn is_open(connection: &mut impl Read, received: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 512];
    loop {
        match connection.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
    }
}

/// What each client of a crowd sends before it stops.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// A head and half of the longest body.
    HalfBody,
    /// A head with 50 short fields, and all but a piece of the longest body.
    ShortFields,
    /// A head with 56 fields of 230 bytes, and all but a byte of the longest body.
    LongFields,
    /// 3,000 fields without an end of the head.
    EndlessHead,
    /// A complete request that is no message, and then as `ShortFields`.
    SecondRequest,
}

/// The head of a message with a body of this length.
pub fn head(class: &str, id: &str, fields: &str, body_bytes: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Idempotency-Key: {id}\r\nRequest-Timeout-Ms: 1000\r\nX-Consignee: dest=7\r\n{fields}\
         Content-Length: {body_bytes}\r\n\r\n"
    )
}

fn request(part: Part, id: &str) -> Vec<u8> {
    let fields = |count: usize, length: usize| -> String {
        (0..count).map(|number| format!("x-{number:04}: {}\r\n", "v".repeat(length))).collect()
    };
    let (head, body_bytes) = match part {
        Part::HalfBody => (head("keyed", id, "", BODY_BYTES), BODY_BYTES / 2),
        Part::ShortFields => (head("keyed", id, &fields(50, 1), BODY_BYTES), 65_000),
        Part::LongFields => (head("keyed", id, &fields(56, 220), BODY_BYTES), BODY_BYTES - 1),
        Part::EndlessHead => (format!("POST /keyed HTTP/1.1\r\n{}", fields(3000, 1)), 0),
        Part::SecondRequest => {
            let second = request(Part::ShortFields, &format!("{id}s"));
            return [FIRST_REQUEST, &second].concat();
        }
    };
    [head.as_bytes(), &vec![b'b'; body_bytes]].concat()
}

/// Connects from another address than the tests that run beside or after a crowd: the kernel remembers for a while how fast
/// an address answers, and which ports were in use.
fn connect_from(source: Ipv4Addr, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((source, 0)).into())?;
    socket.connect_timeout(&address.into(), timeout)?;
    Ok(socket.into())
}

/// A client of a crowd.
struct CrowdClient {
    stream: TcpStream,
    /// What it sends before it waits for a response; empty if it does not wait.
    first: usize,
    bytes: Vec<u8>,
    sent: usize,
    answered: bool,
}

impl CrowdClient {
    fn connect(address: SocketAddr, part: Part, id: &str) -> Option<CrowdClient> {
        let stream = connect_from(CROWD_ADDRESS, address, Duration::from_millis(200)).ok()?;
        stream.set_nonblocking(true).expect("a socket");
        let bytes = request(part, id);
        let first = if matches!(part, Part::SecondRequest) { FIRST_REQUEST.len() } else { bytes.len() };
        Some(CrowdClient { stream, first, bytes, sent: 0, answered: false })
    }

    /// Writes and reads what it can; false once the dispatcher has closed.
    fn step(&mut self) -> bool {
        let end = if self.answered { self.bytes.len() } else { self.first };
        match self.stream.write(&self.bytes[self.sent..end]) {
            Ok(length) => self.sent += length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        let mut received = Vec::new();
        let open = is_open(&mut self.stream, &mut received);
        self.answered |= received.starts_with(b"HTTP/1.1 200");
        open
    }
}

/// Keeps `count` clients connected that stop within their requests; each that is closed connects again.
pub fn hold(address: SocketAddr, part: Part, count: usize, ids: &AtomicUsize, stop: &AtomicBool) {
    let connect = || {
        let number = ids.fetch_add(1, Ordering::SeqCst);
        CrowdClient::connect(address, part, &format!("crowd{number}"))
    };
    let mut clients: Vec<Option<CrowdClient>> = (0..count).map(|_| connect()).collect();
    while !stop.load(Ordering::SeqCst) {
        for client in &mut clients {
            if !client.as_mut().is_some_and(CrowdClient::step) {
                *client = connect();
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}
