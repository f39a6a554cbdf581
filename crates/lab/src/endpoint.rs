//! A stand-in for one endpoint of a partner: reads calls, asks its handler how to respond, and keeps the record.
//!
//! An endpoint listens at a separate address for each dispatcher, and so knows which dispatcher calls. It completes the work
//! that its handler has chosen even if the dispatcher no longer waits: an abandoned call still runs.

use crate::http::{self, HttpConnection, HttpMessage};
use crate::misplaced::MisplacedBytes;
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
    /// What follows the response and belongs to no request.
    pub misplaced: Vec<MisplacedBytes>,
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
            misplaced: Vec::new(),
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

/// Decides how an endpoint handles its calls.
pub trait CallHandler: Send + Sync + 'static {
    /// Whether the connection is reset on the first bytes of the next request, which then never runs.
    fn resets_request(&self) -> bool {
        false
    }
    /// Called when a call has arrived in full.
    fn handle(&self, call: &Call) -> Reply;
    /// Called when the work of a call is done, whatever becomes of its response.
    fn processed(&self, _call: &Call, _reply: &Reply) {}
    /// Called when the response is written, or the connection has ended.
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
    /// Connections are accepted and served.
    Open,
    /// The process is down: open connections are reset, new ones refused.
    Refusing,
    /// The machine is unreachable: nothing is read and nothing answered. Connections that are open are reset once it
    /// is back.
    Silent,
}

/// Counters for tests.
#[derive(Default)]
pub struct Counters {
    /// Connections that were accepted.
    pub accepted_connections: AtomicUsize,
    /// Connections that have ended.
    pub closed_connections: AtomicUsize,
    /// Calls that the other side abandoned.
    pub abandoned_calls: AtomicUsize,
}

/// The limits that an endpoint sets to its connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// It closes a connection after this idle time.
    pub idle_timeout: Option<Duration>,
    /// Calls on connections beyond this number are rejected with 503.
    pub max_connections: usize,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits { idle_timeout: None, max_connections: usize::MAX }
    }
}

struct Shared {
    name: String,
    destination: u32,
    limits: ConnectionLimits,
    handler: Box<dyn CallHandler>,
    recorder: Recorder,
    call_numbers: Arc<AtomicU64>,
    socket_state: watch::Sender<SocketState>,
    counters: Counters,
}

impl Shared {
    /// The number of open connections.
    fn open_connections(&self) -> usize {
        let counters = &self.counters;
        counters.accepted_connections.load(Ordering::SeqCst)
            - counters.closed_connections.load(Ordering::SeqCst)
    }
}

/// The origin of a call.
#[derive(Clone, Copy)]
struct CallOrigin {
    dispatcher: usize,
    connection: usize,
    /// The connection was beyond the maximum when it was accepted.
    over_limit: bool,
}

/// A running endpoint. It ends when it is dropped.
pub struct Endpoint {
    shared: Arc<Shared>,
    addresses: BTreeMap<usize, SocketAddr>,
    accept_tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// Opens a listener at an address. The standard library's socket options allow an address that was in use just now.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // The port of a listener that has just ended may stay in use for a moment.
    for _ in 0..100 {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && address.port() != 0 => {
                sleep(Duration::from_millis(20)).await;
            }
            result => return result,
        }
    }
    TcpListener::bind(address).await
}

impl Endpoint {
    /// Starts an endpoint that listens at each of the addresses (port 0: any) for the dispatcher of the same index.
    /// `call_numbers` counts the calls of a run.
    ///
    /// # Errors
    /// An address can't be listened at.
    pub async fn start(
        name: &str, destination: u32, addresses: &[SocketAddr], limits: ConnectionLimits,
        handler: impl CallHandler, recorder: Recorder, call_numbers: Arc<AtomicU64>,
    ) -> io::Result<Endpoint> {
        let shared = Arc::new(Shared {
            name: name.into(),
            destination,
            limits,
            handler: Box::new(handler),
            recorder,
            call_numbers,
            socket_state: watch::Sender::new(SocketState::Open),
            counters: Counters::default(),
        });
        let mut endpoint = Endpoint { shared, addresses: BTreeMap::new(), accept_tasks: Mutex::default() };
        for (dispatcher, address) in addresses.iter().enumerate() {
            let listener = listen(*address).await?;
            endpoint.addresses.insert(dispatcher, listener.local_addr()?);
            endpoint.accept(dispatcher, listener);
        }
        Ok(endpoint)
    }

    fn accept(&self, dispatcher: usize, listener: TcpListener) {
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            loop {
                // Connections are accepted in the silent state as well, and reset once the machine is back.
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let connection = shared.counters.accepted_connections.fetch_add(1, Ordering::SeqCst);
                let over_limit = shared.open_connections() > shared.limits.max_connections;
                let (origin, shared) = (CallOrigin { dispatcher, connection, over_limit }, shared.clone());
                tokio::spawn(async move {
                    serve_connection(&shared, origin, stream).await;
                    shared.counters.closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        self.accept_tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
    }

    /// The address at which it listens for a dispatcher.
    pub fn address(&self, dispatcher: usize) -> Option<SocketAddr> {
        self.addresses.get(&dispatcher).copied()
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
    /// An address can't be listened at again.
    pub async fn set_socket_state(&self, state: SocketState) -> io::Result<()> {
        let previous = self.shared.socket_state.send_replace(state);
        if previous == state {
            return Ok(());
        }
        if state == SocketState::Refusing {
            self.stop_listening();
        }
        if previous == SocketState::Refusing {
            for (dispatcher, address) in &self.addresses {
                self.accept(*dispatcher, listen(*address).await?);
            }
        }
        Ok(())
    }

    fn stop_listening(&self) {
        let tasks = std::mem::take(&mut *self.accept_tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop_listening();
        self.shared.socket_state.send_replace(SocketState::Refusing);
    }
}

async fn serve_connection(shared: &Arc<Shared>, origin: CallOrigin, stream: TcpStream) {
    let mut socket_state = shared.socket_state.subscribe();
    socket_state.mark_unchanged();
    let mut http_connection = HttpConnection::new(stream);
    loop {
        if *socket_state.borrow() != SocketState::Open {
            break;
        }
        let state_of_call = socket_state.clone();
        let next_step = tokio::select! {
            biased;
            _ = socket_state.changed() => continue,
            next_step = serve_call(shared, origin, &mut http_connection, state_of_call) => next_step,
        };
        match next_step {
            NextStep::KeepOpen => {}
            NextStep::Reset => return http_connection.reset(),
            NextStep::Close => return,
        }
    }
    // An unreachable machine leaves its connections open until it is back.
    let _ = socket_state.wait_for(|socket_state| *socket_state != SocketState::Silent).await;
    http_connection.reset();
}

enum NextStep {
    KeepOpen,
    Reset,
    Close,
}

/// Records the end of a call once, however it ends.
struct EndRecorder<'a> {
    shared: &'a Shared,
    call: &'a Call,
    reply: &'a Reply,
    recorded: bool,
    /// When writing of the response began: its Retry-After runs from then at the latest.
    writing_since: Option<u64>,
}

impl EndRecorder<'_> {
    fn record(&mut self, end: CallEnd) {
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        self.shared.handler.finished(self.call, self.reply);
        if !self.call.probe {
            let elapsed = self.writing_since.map_or(0, |at| self.shared.recorder.now().saturating_sub(at));
            let retry_after = self
                .reply
                .retry_after
                .map(|retry_after| (retry_after.as_micros() as u64).saturating_sub(elapsed));
            let (retry_after, results) = match end {
                CallEnd::Answered(_) => (retry_after, self.reply.results.clone()),
                _ => (None, Vec::new()),
            };
            self.shared.recorder.add(Event::CallEnded { call: self.call.number, end, results, retry_after });
        }
    }
}

impl Drop for EndRecorder<'_> {
    fn drop(&mut self) {
        // The endpoint itself went down during the call.
        self.record(CallEnd::Broken);
    }
}

/// Serves one call on a connection.
async fn serve_call(
    shared: &Arc<Shared>, origin: CallOrigin, http_connection: &mut HttpConnection,
    mut socket_state: watch::Receiver<SocketState>,
) -> NextStep {
    if shared.handler.resets_request() {
        let idle_timeout = shared.limits.idle_timeout.unwrap_or(Duration::from_secs(3600));
        return match timeout(idle_timeout, http_connection.read_available()).await {
            Ok(Ok(bytes)) if !bytes.is_empty() => NextStep::Reset,
            _ => NextStep::Close,
        };
    }
    let request = match shared.limits.idle_timeout {
        Some(idle_timeout) => match timeout(idle_timeout, http_connection.read_request()).await {
            Ok(request) => request,
            Err(_) => return NextStep::Close,
        },
        None => http_connection.read_request().await,
    };
    let Ok(Some(request)) = request else { return NextStep::Close };
    let probe = request.start_line.starts_with("GET ");
    let items = if probe { Some(Vec::new()) } else { parse_items(&request) };
    let Some(items) = items else {
        let written = http_connection.write(&http::response_bytes(400, "", b"")).await;
        return if written.is_ok() { NextStep::KeepOpen } else { NextStep::Close };
    };
    let CallOrigin { dispatcher, connection, over_limit } = origin;
    let first_byte_at = shared.recorder.micros_at(request.first_byte_at);
    let number = shared.call_numbers.fetch_add(1, Ordering::SeqCst);
    let call = Call { number, dispatcher, connection, request, items, probe };
    if !probe {
        shared.recorder.add(Event::Call {
            call: number,
            endpoint: shared.name.clone(),
            destination: shared.destination,
            dispatcher,
            first_byte_at,
            items: call.items.clone(),
        });
    }
    let rejected = over_limit && shared.open_connections() > shared.limits.max_connections;
    let reply = if rejected { Reply::status(503) } else { shared.handler.handle(&call) };
    if probe {
        let healthy = matches!(reply.response, EndpointResponse::Complete(200, ..));
        let (endpoint, destination) = (shared.name.clone(), shared.destination);
        shared.recorder.add(Event::Probe { endpoint, destination, dispatcher, healthy });
    }
    let mut end_recorder =
        EndRecorder { shared, call: &call, reply: &reply, recorded: false, writing_since: None };
    let pending_work = PendingWork {
        shared: shared.clone(),
        call: Some((call.clone(), reply.clone())),
        started_at: std::time::Instant::now(),
    };
    if !reply.delay.is_zero() {
        tokio::select! {
            biased;
            () = http_connection.wait_closed() => {
                end_recorder.record(CallEnd::Closed);
                shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
                // The work completes although the caller is gone.
                pending_work.continue_in_background(&mut socket_state);
                return NextStep::Close;
            }
            () = sleep(reply.delay) => {}
        }
    }
    pending_work.complete();
    // The first write to a connection that the other side has closed succeeds.
    if http_connection.is_closed_by_peer() {
        end_recorder.record(CallEnd::Closed);
        return NextStep::Close;
    }
    end_recorder.writing_since = Some(shared.recorder.now());
    let (end, next_step) = write_response(shared, http_connection, &reply.response).await;
    end_recorder.record(end);
    for MisplacedBytes { delay, bytes } in &reply.misplaced {
        // Without a shared socket this fault is left out.
        let _ = http_connection.write_later(*delay, bytes.clone());
    }
    next_step
}

/// The work of a call, which completes even if the call is abandoned, unless the process goes down.
struct PendingWork {
    shared: Arc<Shared>,
    call: Option<(Call, Reply)>,
    started_at: std::time::Instant,
}

impl PendingWork {
    fn complete(mut self) {
        if let Some((call, reply)) = self.call.take() {
            self.shared.handler.processed(&call, &reply);
        }
    }

    fn continue_in_background(self, socket_state: &mut watch::Receiver<SocketState>) {
        let Some(remaining) =
            self.call.as_ref().map(|(_, reply)| reply.delay.saturating_sub(self.started_at.elapsed()))
        else {
            return;
        };
        let mut socket_state = socket_state.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = sleep(remaining) => self.complete(),
                _ = socket_state.wait_for(|socket_state| *socket_state == SocketState::Refusing) => {}
            }
        });
    }
}

async fn write_response(
    shared: &Shared, http_connection: &mut HttpConnection, response: &EndpointResponse,
) -> (CallEnd, NextStep) {
    let or_closed = |written: io::Result<()>, end: CallEnd, next_step: NextStep| match written {
        Ok(()) => (end, next_step),
        Err(_) => (CallEnd::Closed, NextStep::Close),
    };
    match response {
        EndpointResponse::Complete(status, headers, body) => {
            let written = http_connection.write(&http::response_bytes(*status, headers, body)).await;
            or_closed(written, CallEnd::Answered(*status), NextStep::KeepOpen)
        }
        EndpointResponse::CompleteAndClose(status) => or_closed(
            http_connection.write(&http::response_bytes(*status, "", b"")).await,
            CallEnd::Answered(*status),
            NextStep::Close,
        ),
        EndpointResponse::Raw(bytes, end) => {
            or_closed(http_connection.write(bytes).await, *end, NextStep::KeepOpen)
        }
        EndpointResponse::Endless(start, more) => {
            let end = match parse_status(start) {
                Some(status) => CallEnd::Truncated(status),
                None => CallEnd::Broken,
            };
            let mut written = http_connection.write(start).await;
            while written.is_ok() {
                written = http_connection.write(more).await;
                // Lets other tasks run.
                tokio::task::yield_now().await;
            }
            shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
            (end, NextStep::Close)
        }
        EndpointResponse::Truncated(status, length) => {
            let complete = http::response_bytes(*status, "", b"the rest of it never comes\n");
            let line_end = complete.iter().position(|byte| *byte == b'\n').unwrap_or(0);
            let end = if *length > line_end { CallEnd::Truncated(*status) } else { CallEnd::Broken };
            let prefix = &complete[..(*length).min(complete.len() - 1)];
            let written = http_connection.write(prefix).await;
            // A reset discards what the other side has not read yet.
            sleep(Duration::from_millis(5)).await;
            or_closed(written, end, NextStep::Reset)
        }
        EndpointResponse::Disconnect => (CallEnd::Broken, NextStep::Close),
        EndpointResponse::Reset => (CallEnd::Broken, NextStep::Reset),
        EndpointResponse::Hang => {
            http_connection.discard_until_closed().await;
            shared.counters.abandoned_calls.fetch_add(1, Ordering::SeqCst);
            (CallEnd::Closed, NextStep::Close)
        }
    }
}

/// The status in a complete status line.
fn parse_status(bytes: &[u8]) -> Option<u16> {
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let line = std::str::from_utf8(line).ok()?.strip_prefix("HTTP/1.1 ")?;
    line.get(..3)?.parse().ok()
}

/// Parses the messages of a call; `None` where they are malformed.
fn parse_items(request: &HttpMessage) -> Option<Vec<Item>> {
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
