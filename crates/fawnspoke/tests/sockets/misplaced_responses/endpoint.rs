//! A stand-in for an endpoint or the platform that writes responses at any time, also such that no request asked for.

use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// How often a connection is checked for its end while a response is due.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Tolerance of time limits because of that interval and the sockets' latency.
const TOLERANCE: Duration = Duration::from_millis(50);
/// Calls that start within this time after a Retry-After was written may have been under way already.
const RETRY_AFTER_GRACE: Duration = Duration::from_millis(100);

/// Bytes that are written some time after an event, at once or in two parts with nothing between them.
#[derive(Clone)]
pub struct Extra {
    pub delay: Duration,
    pub bytes: Vec<u8>,
    /// What follows, and how much later.
    pub rest: Option<(Duration, Vec<u8>)>,
}

impl Extra {
    pub fn new(delay: Duration, bytes: impl Into<Vec<u8>>) -> Extra {
        Extra { delay, bytes: bytes.into(), rest: None }
    }
}

/// What an endpoint does with a request.
#[derive(Clone)]
pub struct Script {
    /// The response; `None` closes the connection.
    response: Option<Vec<u8>>,
    delay: Duration,
    /// Written after the request's last byte.
    before: Vec<Extra>,
    /// Written after the response.
    behind: Vec<Extra>,
}

impl Script {
    pub fn respond(response: impl Into<Vec<u8>>) -> Script {
        let response = Some(response.into());
        Script { response, delay: Duration::ZERO, before: Vec::new(), behind: Vec::new() }
    }

    pub fn disconnect() -> Script {
        Script { response: None, ..Script::respond("") }
    }

    /// Delays the response.
    pub fn after(mut self, delay: Duration) -> Script {
        self.delay = delay;
        self
    }

    /// Writes bytes after the request's last byte.
    pub fn with_extra(mut self, extra: Extra) -> Script {
        self.before.push(extra);
        self
    }

    /// Writes bytes after the response.
    pub fn followed_by(mut self, extra: Extra) -> Script {
        self.behind.push(extra);
        self
    }
}

/// A request as it was received.
pub struct Request {
    /// Its number at this endpoint, from 0.
    pub index: usize,
    /// Its number on its connection, from 0.
    pub index_on_connection: usize,
    pub path: String,
    /// Its Request-Id, or nothing.
    pub id: String,
    pub body: String,
}

impl Request {
    /// The ids of its messages: one, or those of a batch.
    pub fn message_ids(&self) -> Vec<String> {
        message_ids(&self.path, &self.id, &self.body)
    }
}

/// The ids of the messages of a request. Messages of a batch have bodies without line ends.
fn message_ids(path: &str, id: &str, body: &str) -> Vec<String> {
    if path != "/receive-many" {
        return Vec::from_iter((!id.is_empty()).then(|| id.to_string()));
    }
    body.lines().step_by(2).filter_map(|line| Some(line.split_once(' ')?.0.to_string())).collect()
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub path: String,
    /// The endpoint's address, and the port of the connection's other end.
    pub address: SocketAddr,
    pub connection: u16,
    pub body: String,
    pub received_at: Instant,
    /// The status of its own response.
    pub status: u16,
    /// The bytes of its own response.
    pub response: String,
    pub retry_after: Option<Duration>,
    /// When its own response was written.
    pub answered_at: Option<Instant>,
    /// When its connection was found closed by the dispatcher, if that was before its own response.
    pub abandoned_at: Option<Instant>,
}

impl Call {
    /// The ids of its messages: one, or those of a batch.
    pub fn message_ids(&self) -> Vec<String> {
        message_ids(&self.path, &self.id, &self.body)
    }

    /// Whether it was sent to this endpoint. A watch comes from the dispatcher of another test, whose platform has ended and
    /// had this port.
    fn is_own(&self) -> bool {
        !self.path.starts_with("/registry/")
    }

    /// Whether it takes effect, also if the dispatcher does not wait for the response.
    pub fn may_have_run(&self) -> bool {
        matches!(self.status, 0 | 200 | 500)
    }

    fn is_open_at(&self, at: Instant) -> bool {
        let end = self.answered_at.or(self.abandoned_at);
        self.received_at < at && end.is_none_or(|end| end > at + TOLERANCE)
    }
}

type Decide = dyn Fn(&Request) -> Script + Send + Sync;

struct Shared {
    calls: Mutex<Vec<Call>>,
    decide: Box<Decide>,
}

impl Shared {
    fn calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a call and returns its number.
    fn add(&self, call: Call) -> usize {
        let mut calls = self.calls();
        calls.push(call);
        calls.len() - 1
    }

    /// Records the status and wait of a call's own response.
    fn set_status(&self, index: usize, response: &[u8]) {
        let text = String::from_utf8_lossy(response).into_owned();
        let call = &mut self.calls()[index];
        call.status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        let seconds = header(&text, "retry-after").and_then(|seconds| seconds.parse().ok());
        call.retry_after = seconds.map(Duration::from_secs_f64);
        call.response = text;
    }
}

/// The stand-in. It runs until the test process ends.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Endpoint {
    pub fn start(decide: impl Fn(&Request) -> Script + Send + Sync + 'static) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let address = listener.local_addr().expect("its address");
        let shared = Arc::new(Shared { calls: Mutex::default(), decide: Box::new(decide) });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Endpoint { address, shared }
    }

    /// All calls so far.
    pub fn all_calls(&self) -> Vec<Call> {
        self.shared.calls().clone()
    }

    /// The calls of a message so far.
    pub fn calls(&self, id: &str) -> Vec<Call> {
        self.all_calls().into_iter().filter(|call| call.id == id).collect()
    }

    /// Requests whose own response was written.
    pub fn answered(&self) -> usize {
        self.all_calls().iter().filter(|call| call.answered_at.is_some()).count()
    }

    /// How often the message's own response with 200 was written.
    pub fn deliveries(&self, id: &str) -> usize {
        self.calls(id).iter().filter(|call| call.status == 200 && call.answered_at.is_some()).count()
    }

    /// Whether a request whose body contains the text was answered with this status.
    pub fn has_answered(&self, text: &str, status: u16) -> bool {
        let is_match = |call: &Call| call.body.contains(text) && call.status == status;
        self.all_calls().iter().any(|call| is_match(call) && call.answered_at.is_some())
    }
}

/// Each call that began while an earlier one of its message was open.
pub fn overlapping_attempts(calls: &[Call]) -> Vec<String> {
    let overlaps = |(number, call): (usize, &Call)| {
        // Probes carry no message.
        let earlier = calls[..number].iter().filter(|other| !call.id.is_empty() && other.id == call.id);
        earlier.filter(|other| other.is_open_at(call.received_at)).count() > 0
    };
    let overlapping = calls.iter().enumerate().filter(|(number, call)| overlaps((*number, call)));
    overlapping.map(|(_, call)| format!("{}: a second attempt beside an open one", call.id)).collect()
}

/// Each call that began inside a Retry-After that was written on an open connection.
pub fn calls_inside_waits(calls: &[Call]) -> Vec<String> {
    let mut inside = Vec::new();
    for told in calls.iter().filter(|told| told.is_own()) {
        let (Some(retry_after), Some(at)) = (told.retry_after, told.answered_at) else { continue };
        let is_inside = |call: &&Call| {
            let elapsed = call.received_at.saturating_duration_since(at);
            call.is_own() && elapsed > RETRY_AFTER_GRACE + TOLERANCE && elapsed + TOLERANCE < retry_after
        };
        let early = calls.iter().filter(is_inside);
        inside.extend(early.map(|call| format!("{}: called inside the Retry-After of {}", call.id, told.id)));
    }
    inside
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Reads one request; `None` once the connection has ended.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize =
                header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return None,
        }
    }
}

/// Writes bytes after a delay, in the background.
fn write_later(writer: &Arc<Mutex<TcpStream>>, extra: Extra) {
    let writer = writer.clone();
    thread::spawn(move || {
        thread::sleep(extra.delay);
        // Held between the parts as well: no other response comes between them.
        let mut stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
        // The dispatcher may have closed the connection.
        let _ = stream.write_all(&extra.bytes);
        if let Some((delay, rest)) = extra.rest {
            thread::sleep(delay);
            let _ = stream.write_all(&rest);
        }
    });
}

/// What the reading thread of a connection tells the one that responds.
struct Connection {
    /// When the dispatcher was found to have closed it.
    closed_at: Mutex<Option<Instant>>,
}

impl Connection {
    fn closed_at(&self) -> Option<Instant> {
        *self.closed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `until` or the end of the connection, and returns when it ended.
    fn wait(&self, until: Instant) -> Option<Instant> {
        while self.closed_at().is_none() && Instant::now() < until {
            thread::sleep(CLOSE_CHECK_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        self.closed_at()
    }
}

/// Reads requests as they arrive, and responds to them one after the other on another thread.
fn serve(shared: &Arc<Shared>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (Ok(address), Ok(peer)) = (stream.local_addr(), stream.peer_addr()) else { return };
    let Ok(writer) = stream.try_clone().map(Mutex::new).map(Arc::new) else { return };
    let connection = Arc::new(Connection { closed_at: Mutex::default() });
    let (requests, received) = mpsc::channel();
    let (responder, responding) = (shared.clone(), connection.clone());
    thread::spawn(move || {
        for (index, script) in received {
            if !respond(&responder, &responding, &writer, index, script) {
                break;
            }
        }
        let stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = stream.shutdown(Shutdown::Both);
    });
    let (mut buffer, mut index_on_connection) = (Vec::new(), 0);
    while let Some((head, body)) = read_request(&mut stream, &mut buffer) {
        let id = header(&head, "request-id").unwrap_or_default().to_string();
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        let call = Call {
            id: id.clone(),
            path: path.clone(),
            address,
            connection: peer.port(),
            body: body.clone(),
            received_at: Instant::now(),
            status: 0,
            response: String::new(),
            retry_after: None,
            answered_at: None,
            abandoned_at: None,
        };
        let index = shared.add(call);
        let script = (shared.decide)(&Request { index, index_on_connection, path, id, body });
        index_on_connection += 1;
        shared.set_status(index, script.response.as_deref().unwrap_or_default());
        if requests.send((index, script)).is_err() {
            break;
        }
    }
    *connection.closed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
}

/// Whether the dispatcher has closed the connection, which the reading thread may not have seen yet.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    let peeked = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Carries out a script; returns whether the connection goes on.
fn respond(
    shared: &Shared, connection: &Connection, writer: &Arc<Mutex<TcpStream>>, index: usize, script: Script,
) -> bool {
    let Some(response) = script.response else {
        shared.calls()[index].answered_at = Some(Instant::now());
        return false;
    };
    script.before.into_iter().for_each(|extra| write_later(writer, extra));
    if let Some(closed_at) = connection.wait(Instant::now() + script.delay) {
        shared.calls()[index].abandoned_at = Some(closed_at);
        return true;
    }
    let mut stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
    // The first write to a connection that the other end has closed succeeds.
    let is_written = !is_closed_by_peer(&stream) && stream.write_all(&response).is_ok();
    drop(stream);
    let now = Instant::now();
    match is_written {
        true => shared.calls()[index].answered_at = Some(now),
        false => shared.calls()[index].abandoned_at = Some(connection.closed_at().unwrap_or(now)),
    }
    script.behind.into_iter().for_each(|extra| write_later(writer, extra));
    true
}
