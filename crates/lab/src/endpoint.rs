//! A stand-in for one endpoint of a partner: reads calls, asks its script what to do, and keeps the record.
//!
//! An endpoint listens at one address for each dispatcher, so that it knows who calls. What it decides to do it
//! does whether or not the dispatcher still listens: a call that was given up runs on.

use crate::http::{self, HttpConnection, HttpMessage};
use crate::record::{CallEnd, Event, Item, MessageResult, Recorder, digest};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// A call that has arrived in full.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its number, unique in the run.
    pub number: u64,
    /// The dispatcher that makes it.
    pub dispatcher: usize,
    /// Its connection, counted from 0 at each endpoint.
    pub connection: usize,
    /// The request.
    pub request: HttpMessage,
    /// Its messages; none for a probe.
    pub items: Vec<Item>,
    /// Whether it is a probe.
    pub probe: bool,
}

/// What an endpoint writes in response to a call.
#[derive(Clone, Debug)]
pub enum EndpointResponse {
    /// A complete response: its status, header lines with their line ends, its body.
    Complete(u16, String, Vec<u8>),
    /// A complete response, after which the connection is closed without announcing it.
    CompleteAndClose(u16),
    /// Bytes as they are, and how the call counts as ended; the connection stays open.
    Raw(Vec<u8>, CallEnd),
    /// The first bytes, then the second ones repeatedly until the other side closes.
    Endless(Vec<u8>, Vec<u8>),
    /// The given number of bytes of a response with that status, then a reset.
    Truncated(u16, usize),
    /// Closes the connection without a response.
    Disconnect,
    /// Resets the connection.
    Reset,
    /// Never responds; reads on until the other side closes.
    Hang,
}

/// How an endpoint handles a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How long it works before it writes.
    pub delay: Duration,
    /// What it writes then.
    pub response: EndpointResponse,
    /// The result of each message, where the call is a batch and the status 200.
    pub results: Vec<MessageResult>,
    /// The Retry-After of the response.
    pub retry_after: Option<Duration>,
    /// Which of the messages are processed.
    pub processed: Vec<bool>,
}

impl Reply {
    /// A response that is written at once.
    pub fn immediate(response: EndpointResponse) -> Reply {
        Reply {
            delay: Duration::ZERO,
            response,
            results: Vec::new(),
            retry_after: None,
            processed: Vec::new(),
        }
    }

    /// A response with only a status, written at once.
    pub fn status(status: u16) -> Reply {
        Reply::immediate(EndpointResponse::Complete(status, String::new(), Vec::new()))
    }

    /// The same reply after a delay.
    pub fn delayed(self, delay: Duration) -> Reply {
        Reply { delay, ..self }
    }
}

/// Decides what an endpoint does.
pub trait CallHandler: Send + Sync + 'static {
    /// Whether the connection is reset on the next request's first bytes, which then never runs.
    fn resets_request(&self) -> bool {
        false
    }
    /// A call has come whole.
    fn handle(&self, call: &Call) -> Reply;
    /// Its work is done, whatever becomes of its answer.
    fn processed(&self, _call: &Call, _reply: &Reply) {}
    /// Its answer is written, or its connection has ended.
    fn finished(&self, _call: &Call, _reply: &Reply) {}
}

impl<F: Fn(&Call) -> Reply + Send + Sync + 'static> CallHandler for F {
    fn handle(&self, call: &Call) -> Reply {
        self(call)
    }
}

/// How an endpoint's sockets behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// As usual.
    Open,
    /// Open connections are reset, new ones refused: the process is gone.
    Refusing,
    /// Nothing is read and nothing answered: the machine is gone, and says nothing of it. What is open is reset
    /// once it is back.
    Silent,
}

/// Counters that tests look at.
#[derive(Default)]
pub struct Counters {
    /// Connections that were accepted.
    pub accepted_connections: AtomicUsize,
    /// Connections that have ended.
    pub closed_connections: AtomicUsize,
    /// Calls that the other side gave up.
    pub abandoned_calls: AtomicUsize,
}

/// ConnectionLimits of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// It closes a connection that has been idle for so long.
    pub idle_timeout: Option<Duration>,
    /// It holds so many connections; calls on more are turned away with 503.
    pub max_connections: usize,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits { idle_timeout: None, max_connections: usize::MAX }
    }
}

struct Shared {
    name: String,
    dest: u32,
    traits: ConnectionLimits,
    script: Box<dyn CallHandler>,
    recorder: Recorder,
    numbers: Arc<AtomicU64>,
    door: watch::Sender<SocketState>,
    counters: Counters,
}

impl Shared {
    /// Connections that are open.
    fn open(&self) -> usize {
        let counters = &self.counters;
        counters.accepted_connections.load(Ordering::SeqCst)
            - counters.closed_connections.load(Ordering::SeqCst)
    }
}

/// Where a call comes from.
#[derive(Clone, Copy)]
struct From {
    dispatcher: usize,
    connection: usize,
    /// There were too many connections when this one came.
    extra: bool,
}

/// A running endpoint. It ends when it is dropped.
pub struct Endpoint {
    shared: Arc<Shared>,
    at: BTreeMap<usize, SocketAddr>,
    listening: Mutex<Vec<JoinHandle<()>>>,
}

/// A listener at an address. Std's socket options allow one that was used just now.
async fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    // The port of a listener that has just ended may be held for a moment.
    for _ in 0..100 {
        match TcpListener::bind(at).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && at.port() != 0 => {
                sleep(Duration::from_millis(20)).await;
            }
            bound => return bound,
        }
    }
    TcpListener::bind(at).await
}

impl Endpoint {
    /// Starts an endpoint that listens at each of the addresses (port 0: any) for the dispatcher of that place.
    /// `numbers` counts the calls of a run.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start(
        name: &str, dest: u32, at: &[SocketAddr], traits: ConnectionLimits, script: impl CallHandler,
        recorder: Recorder, numbers: Arc<AtomicU64>,
    ) -> io::Result<Endpoint> {
        let shared = Arc::new(Shared {
            name: name.into(),
            dest,
            traits,
            script: Box::new(script),
            recorder,
            numbers,
            door: watch::Sender::new(SocketState::Open),
            counters: Counters::default(),
        });
        let mut endpoint = Endpoint { shared, at: BTreeMap::new(), listening: Mutex::default() };
        for (dispatcher, at) in at.iter().enumerate() {
            let listener = listen(*at).await?;
            endpoint.at.insert(dispatcher, listener.local_addr()?);
            endpoint.accept(dispatcher, listener);
        }
        Ok(endpoint)
    }

    fn accept(&self, dispatcher: usize, listener: TcpListener) {
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            loop {
                // Also while nothing is read: what came up then is reset once the machine is back.
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let connection = shared.counters.accepted_connections.fetch_add(1, Ordering::SeqCst);
                let extra = shared.open() > shared.traits.max_connections;
                let (from, shared) = (From { dispatcher, connection, extra }, shared.clone());
                tokio::spawn(async move {
                    connected(&shared, from, stream).await;
                    shared.counters.closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        self.listening.lock().unwrap_or_else(PoisonError::into_inner).push(task);
    }

    /// Where it listens for a dispatcher.
    pub fn address(&self, dispatcher: usize) -> Option<SocketAddr> {
        self.at.get(&dispatcher).copied()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Its counters.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Changes how its sockets behave.
    ///
    /// # Errors
    /// Those of listening anew.
    pub async fn set_socket_state(&self, door: SocketState) -> io::Result<()> {
        let was = self.shared.door.send_replace(door);
        if was == door {
            return Ok(());
        }
        if door == SocketState::Refusing {
            self.stop_listening();
        }
        if was == SocketState::Refusing {
            for (dispatcher, at) in &self.at {
                self.accept(*dispatcher, listen(*at).await?);
            }
        }
        Ok(())
    }

    fn stop_listening(&self) {
        let tasks = std::mem::take(&mut *self.listening.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop_listening();
        self.shared.door.send_replace(SocketState::Refusing);
    }
}

async fn connected(shared: &Arc<Shared>, from: From, stream: TcpStream) {
    let mut door = shared.door.subscribe();
    door.mark_unchanged();
    let mut wire = HttpConnection::new(stream);
    loop {
        if *door.borrow() != SocketState::Open {
            break;
        }
        let later = door.clone();
        let served = tokio::select! {
            biased;
            _ = door.changed() => continue,
            served = one(shared, from, &mut wire, later) => served,
        };
        match served {
            Next::Another => {}
            Next::Reset => return wire.reset(),
            Next::Close => return,
        }
    }
    // A machine that is gone leaves its connections open until it is back.
    let _ = door.wait_for(|door| *door != SocketState::Silent).await;
    wire.reset();
}

enum Next {
    Another,
    Reset,
    Close,
}

/// What is told once, however the call ends.
struct Ending<'a> {
    shared: &'a Shared,
    call: &'a Call,
    reply: &'a Reply,
    told: bool,
    /// When the answer was about to be written: its wait runs from then at the latest.
    written: Option<u64>,
}

impl Ending<'_> {
    fn tell(&mut self, how: CallEnd) {
        if std::mem::replace(&mut self.told, true) {
            return;
        }
        self.shared.script.finished(self.call, self.reply);
        if !self.call.probe {
            let late = self.written.map_or(0, |at| self.shared.recorder.now().saturating_sub(at));
            let wait = self.reply.retry_after.map(|wait| (wait.as_micros() as u64).saturating_sub(late));
            let (wait, fates) = match how {
                CallEnd::Answered(_) => (wait, self.reply.results.clone()),
                _ => (None, Vec::new()),
            };
            self.shared.recorder.add(Event::CallEnded {
                call: self.call.number,
                end: how,
                results: fates,
                retry_after: wait,
            });
        }
    }
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        // The endpoint itself went down under it.
        self.tell(CallEnd::Broken);
    }
}

/// One call on a connection.
async fn one(
    shared: &Arc<Shared>, from: From, wire: &mut HttpConnection, mut door: watch::Receiver<SocketState>,
) -> Next {
    if shared.script.resets_request() {
        let limit = shared.traits.idle_timeout.unwrap_or(Duration::from_secs(3600));
        return match timeout(limit, wire.read_available()).await {
            Ok(Ok(piece)) if !piece.is_empty() => Next::Reset,
            _ => Next::Close,
        };
    }
    let request = match shared.traits.idle_timeout {
        Some(idle) => match timeout(idle, wire.read_request()).await {
            Ok(request) => request,
            Err(_) => return Next::Close,
        },
        None => wire.read_request().await,
    };
    let Ok(Some(request)) = request else { return Next::Close };
    let probe = request.start_line.starts_with("GET ");
    let items = if probe { Some(Vec::new()) } else { items(&request) };
    let Some(items) = items else {
        let written = wire.write(&http::response_bytes(400, "", b"")).await;
        return if written.is_ok() { Next::Another } else { Next::Close };
    };
    let From { dispatcher, connection, extra } = from;
    let first = shared.recorder.micros_at(request.first_byte_at);
    let number = shared.numbers.fetch_add(1, Ordering::SeqCst);
    let call = Call { number, dispatcher, connection, request, items, probe };
    if !probe {
        shared.recorder.add(Event::Call {
            call: number,
            endpoint: shared.name.clone(),
            destination: shared.dest,
            dispatcher,
            first_byte_at: first,
            items: call.items.clone(),
        });
    }
    let full = extra && shared.open() > shared.traits.max_connections;
    let reply = if full { Reply::status(503) } else { shared.script.handle(&call) };
    if probe {
        let well = matches!(reply.response, EndpointResponse::Complete(200, ..));
        let (endpoint, dest) = (shared.name.clone(), shared.dest);
        shared.recorder.add(Event::Probe { endpoint, destination: dest, dispatcher, healthy: well });
    }
    let mut ending = Ending { shared, call: &call, reply: &reply, told: false, written: None };
    let work = Work {
        shared: shared.clone(),
        call: Some((call.clone(), reply.clone())),
        started: std::time::Instant::now(),
    };
    if !reply.delay.is_zero() {
        tokio::select! {
            biased;
            () = wire.wait_closed() => {
                ending.tell(CallEnd::Closed);
                shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
                // It runs on though nobody listens.
                work.run_on(&mut door);
                return Next::Close;
            }
            () = sleep(reply.delay) => {}
        }
    }
    work.done();
    ending.written = Some(shared.recorder.now());
    let (how, next) = write(shared, wire, &reply.response).await;
    ending.tell(how);
    next
}

/// Work that is done or runs on; a process that goes down takes it along.
struct Work {
    shared: Arc<Shared>,
    call: Option<(Call, Reply)>,
    started: std::time::Instant,
}

impl Work {
    fn done(mut self) {
        if let Some((call, reply)) = self.call.take() {
            self.shared.script.processed(&call, &reply);
        }
    }

    fn run_on(self, door: &mut watch::Receiver<SocketState>) {
        let Some(left) =
            self.call.as_ref().map(|(_, reply)| reply.delay.saturating_sub(self.started.elapsed()))
        else {
            return;
        };
        let mut door = door.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = sleep(left) => self.done(),
                _ = door.wait_for(|door| *door == SocketState::Refusing) => {}
            }
        });
    }
}

async fn write(shared: &Shared, wire: &mut HttpConnection, how: &EndpointResponse) -> (CallEnd, Next) {
    let after = |written: io::Result<()>, end: CallEnd, next: Next| match written {
        Ok(()) => (end, next),
        Err(_) => (CallEnd::Closed, Next::Close),
    };
    match how {
        EndpointResponse::Complete(status, headers, body) => {
            let written = wire.write(&http::response_bytes(*status, headers, body)).await;
            after(written, CallEnd::Answered(*status), Next::Another)
        }
        EndpointResponse::CompleteAndClose(status) => after(
            wire.write(&http::response_bytes(*status, "", b"")).await,
            CallEnd::Answered(*status),
            Next::Close,
        ),
        EndpointResponse::Raw(bytes, end) => after(wire.write(bytes).await, *end, Next::Another),
        EndpointResponse::Endless(start, more) => {
            let end = match status(start) {
                Some(status) => CallEnd::Truncated(status),
                None => CallEnd::Broken,
            };
            let mut written = wire.write(start).await;
            while written.is_ok() {
                written = wire.write(more).await;
                // So that others get their turn.
                tokio::task::yield_now().await;
            }
            shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
            (end, Next::Close)
        }
        EndpointResponse::Truncated(status, at) => {
            let whole = http::response_bytes(*status, "", b"the rest of it never comes\n");
            let line = whole.iter().position(|byte| *byte == b'\n').unwrap_or(0);
            let end = if *at > line { CallEnd::Truncated(*status) } else { CallEnd::Broken };
            let piece = &whole[..(*at).min(whole.len() - 1)];
            let written = wire.write(piece).await;
            // A reset takes along what the other side has not read yet.
            sleep(Duration::from_millis(5)).await;
            after(written, end, Next::Reset)
        }
        EndpointResponse::Disconnect => (CallEnd::Broken, Next::Close),
        EndpointResponse::Reset => (CallEnd::Broken, Next::Reset),
        EndpointResponse::Hang => {
            wire.discard_until_closed().await;
            shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
            (CallEnd::Closed, Next::Close)
        }
    }
}

/// The status of a whole first line.
fn status(bytes: &[u8]) -> Option<u16> {
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let line = std::str::from_utf8(line).ok()?.strip_prefix("HTTP/1.1 ")?;
    line.get(..3)?.parse().ok()
}

/// The messages of a call; none where it can't be read.
fn items(request: &HttpMessage) -> Option<Vec<Item>> {
    let ("POST", path) = request.target() else { return None };
    match path {
        "/receive" => {
            let id = request.header("request-id")?.to_string();
            let key = request.header("idempotency-key").map(Into::into);
            Some(vec![Item { id, key, body_digest: digest(&request.body) }])
        }
        "/receive-many" => {
            let (mut rest, mut items) = (&request.body[..], Vec::<Item>::new());
            while !rest.is_empty() {
                let end = rest.windows(2).position(|pair| pair == b"\r\n")?;
                let line = std::str::from_utf8(&rest[..end]).ok()?;
                let mut words = line.split(' ');
                let (id, key, length) = (words.next()?, words.next()?, words.next()?.parse::<usize>().ok()?);
                rest = &rest[end + 2..];
                let body = rest.get(..length)?;
                rest = rest.get(length..)?.strip_prefix(b"\r\n")?;
                if items.iter().any(|item| item.id == id) {
                    return None;
                }
                let key = Some(key).filter(|key| *key != "-").map(Into::into);
                items.push(Item { id: id.into(), key, body_digest: digest(body) });
            }
            Some(items).filter(|items| !items.is_empty())
        }
        _ => None,
    }
}
