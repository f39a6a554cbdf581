//! An endpoint with gates: it accepts, reads and answers only when the test says so.

use crate::support::list_entry;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far longer than anything takes that is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// An endpoint that does nothing by itself.
pub struct ManualEndpoint {
    pub at: SocketAddr,
    listener: TcpListener,
    /// It fills the queue of connections that nobody has accepted.
    filler: Option<TcpStream>,
}

impl ManualEndpoint {
    /// One to which connections come up at once.
    pub fn start() -> ManualEndpoint {
        ManualEndpoint::with_backlog(16)
    }

    /// One to which no connection comes up before `accept_connects`.
    pub fn with_full_backlog() -> ManualEndpoint {
        let mut gated = ManualEndpoint::with_backlog(0);
        gated.filler = Some(TcpStream::connect(gated.at).unwrap());
        gated
    }

    fn with_backlog(backlog: i32) -> ManualEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(backlog).unwrap();
        let listener = TcpListener::from(socket);
        ManualEndpoint { at: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// How many wait for a connection to come up.
    pub fn pending_connects(&self) -> usize {
        let here = format!("0100007F:{:04X}", self.at.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let waits = |line: &&str| {
            let fields: Vec<_> = line.split_whitespace().collect();
            fields.get(2) == Some(&&*here) && fields.get(3) == Some(&"02")
        };
        table.lines().filter(waits).count()
    }

    /// Lets connections come up from now on.
    pub fn accept_connects(&mut self) {
        self.filler.take().expect("a locked one");
        drop(self.accept());
    }

    /// The next connection.
    pub fn accept(&self) -> Peer {
        self.accept_within(PATIENCE).expect("a connection")
    }

    /// The next connection, if it comes within this time.
    pub fn accept_within(&self, time: Duration) -> Option<Peer> {
        self.listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + time;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return Some(Peer { stream });
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Answers all that comes with 200 from now on.
    pub fn serve(self) -> Served {
        let served = Served::default();
        let (seen, connections) = (served.requests.clone(), served.connections.clone());
        self.listener.set_nonblocking(false).unwrap();
        // It ends with the test's process.
        std::thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let seen = seen.clone();
                std::thread::spawn(move || {
                    let mut peer = Peer { stream };
                    while let Some(request) = peer.read_request() {
                        seen.lock().unwrap().push(request);
                        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        served
    }

    /// Its line in discovery's list.
    pub fn host(&self, name: &str, dest: u32) -> Value {
        list_entry(name, self.at, dest, "single", "up")
    }
}

/// What came to one that answers.
#[derive(Default)]
pub struct Served {
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
}

impl Served {
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// One connection to it.
pub struct Peer {
    stream: TcpStream,
}

impl Peer {
    /// The next request, head and body; none where the other side has ended the connection.
    pub fn read_request(&mut self) -> Option<String> {
        let (mut read, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            let text = String::from_utf8_lossy(&read).to_ascii_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
                if body.len() >= length.map_or(0, |length| length.trim().parse().unwrap()) {
                    return Some(String::from_utf8_lossy(&read).into_owned());
                }
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return None,
                Ok(n) => read.extend_from_slice(&piece[..n]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no request: {error}"),
            }
        }
    }

    /// Whether the other side has neither sent more nor ended the connection.
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
