//! An endpoint that a test drives by hand: it accepts, reads and answers only when the test calls for it.

use crate::support::list_entry;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far longer than any event that a test waits for takes.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// An endpoint that accepts and answers nothing by itself.
pub struct ManualEndpoint {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Fills the listener's accept queue, so that further connects hang.
    backlog_filler: Option<TcpStream>,
}

impl ManualEndpoint {
    /// An endpoint to which connections are established at once.
    pub fn start() -> ManualEndpoint {
        ManualEndpoint::with_backlog(16)
    }

    /// An endpoint to which no connection is established before `accept_connects`.
    pub fn with_full_backlog() -> ManualEndpoint {
        let mut endpoint = ManualEndpoint::with_backlog(0);
        endpoint.backlog_filler = Some(TcpStream::connect(endpoint.address).unwrap());
        endpoint
    }

    fn with_backlog(backlog: i32) -> ManualEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(backlog).unwrap();
        let listener = TcpListener::from(socket);
        ManualEndpoint { address: listener.local_addr().unwrap(), listener, backlog_filler: None }
    }

    /// The number of connects to this endpoint that are not established yet (sockets in state SYN_SENT).
    pub fn pending_connects(&self) -> usize {
        let local_address = format!("0100007F:{:04X}", self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_syn_sent = |line: &&str| {
            let fields: Vec<_> = line.split_whitespace().collect();
            fields.get(2) == Some(&&*local_address) && fields.get(3) == Some(&"02")
        };
        table.lines().filter(is_syn_sent).count()
    }

    /// Frees the accept queue, so that connections are established from now on.
    pub fn accept_connects(&mut self) {
        self.backlog_filler.take().expect("an endpoint with a full backlog");
        drop(self.accept());
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Peer {
        self.accept_within(MAX_WAIT).expect("a connection")
    }

    /// Accepts the next connection, if one arrives within this time.
    pub fn accept_within(&self, time: Duration) -> Option<Peer> {
        self.listener.set_nonblocking(true).unwrap();
        let give_up_at = Instant::now() + time;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
                return Some(Peer { stream });
            }
            if Instant::now() >= give_up_at {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Answers every request with 200 from now on.
    pub fn serve(self) -> ReceivedRequests {
        let received = ReceivedRequests::default();
        let (requests, connections) = (received.requests.clone(), received.connections.clone());
        self.listener.set_nonblocking(false).unwrap();
        // The thread ends with the test process.
        std::thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let requests = requests.clone();
                std::thread::spawn(move || {
                    let mut peer = Peer { stream };
                    while let Some(request) = peer.read_request() {
                        requests.lock().unwrap().push(request);
                        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        received
    }

    /// The entry of this endpoint in discovery's list.
    pub fn list_entry(&self, name: &str, destination: u32) -> Value {
        list_entry(name, self.address, destination, "single", "up")
    }
}

/// The requests and connections that a serving endpoint has received.
#[derive(Default)]
pub struct ReceivedRequests {
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
}

impl ReceivedRequests {
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// A connection accepted by a [`ManualEndpoint`].
pub struct Peer {
    stream: TcpStream,
}

impl Peer {
    /// Reads the next request, head and body; `None` if the peer has closed the connection.
    pub fn read_request(&mut self) -> Option<String> {
        let (mut read, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            let text = String::from_utf8_lossy(&read).to_ascii_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
                if body.len() >= length.map_or(0, |length| length.trim().parse().unwrap()) {
                    return Some(String::from_utf8_lossy(&read).into_owned());
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => read.extend_from_slice(&buffer[..n]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no request: {error}"),
            }
        }
    }

    /// Whether the peer has neither sent more bytes nor closed the connection.
    pub fn is_open_and_quiet(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.try_write(bytes).unwrap();
    }

    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
}
