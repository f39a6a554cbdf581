//! Client connections: accepts them, limits their number and the time a request may take, and
//! closes them.

use crate::client_closes::{CloseCounters, CloseReason};
use crate::event_loop::Input;
use crate::requests;
use crate::serving::Phase;
use crate::size_limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::stream::{HeadScanner, SharedStream, Unread};
use crate::transfer::Transfer;
use crate::{Node, log};
use hyper::body::Bytes;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout};

/// A request, head and body, must have arrived this long after its connection was opened or its
/// first byte came; later it is abandoned. Its client waits only 400 ms for the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// After the last response, input is still read for this long and up to this many bytes: closing a
/// socket with unread bytes resets the connection, and the client might never see the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// While all connections are in use, a client whose request is expected or arrives keeps its own for this long.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(100);
/// Delay before another attempt to close a connection where all have unread input.
const READ_DELAY: Duration = Duration::from_millis(1);
/// A connection found open this recently is assumed to be open still: any stall of this process
/// that matters is longer.
const OPEN_CHECK_VALIDITY: Duration = Duration::from_millis(5);
/// The response to a request that did not arrive in time, or whose client appears to be gone.
const ABANDONED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Delay before the next accept after one failed for lack of a resource.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of bytes that are buffered of an incomplete request; a longer request is rejected.
const MAX_BUFFERED_REQUEST_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
const MAX_REQUEST_HEADERS: usize = 64;

/// The open client connections.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// Why connections were closed.
    pub closes: CloseCounters,
    /// Notified when a connection has ended or become idle.
    changed: Notify,
}

impl ClientConnections {
    fn add(&self, stream: SharedStream) -> (u64, Rc<ClientConnection>) {
        let (number, client) = (self.next_number.get(), Rc::new(ClientConnection::new(stream)));
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, client.clone());
        (number, client)
    }

    fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
        self.changed.notify_one();
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the connections of clients whose message is journaled but not yet acknowledged, and
    /// returns the numbers of these messages. The dispatcher has no obligation for them.
    pub fn close_unacknowledged(&self) -> Vec<u64> {
        let open = self.open.borrow();
        let unacknowledged = open.values().filter_map(|client| Some((client, client.unacknowledged.take()?)));
        let abandoned = unacknowledged.map(|(client, number)| {
            client.close();
            number
        });
        abandoned.collect()
    }

    /// Number of connections on which a request has begun that has no response yet.
    pub fn awaiting_response(&self) -> usize {
        let is_awaiting = |client: &&Rc<ClientConnection>| {
            client.request_since.get().is_some() && !client.request_bytes.borrow().is_empty()
        };
        self.open.borrow().values().filter(is_awaiting).count()
    }

    /// Number of connections on which no request is expected or in progress.
    fn idle_count(&self) -> usize {
        self.open.borrow().values().filter(|client| client.is_idle()).count()
    }

    /// Closes the idle connection that has been silent for the longest, and returns it.
    fn close_idle(&self) -> Option<Rc<ClientConnection>> {
        let open = self.open.borrow();
        let mut idle: Vec<&Rc<ClientConnection>> = open.values().filter(|client| client.is_idle()).collect();
        idle.sort_by_key(|client| client.last_active_at.get());
        // Closing it would lose a request that has not been read yet.
        let oldest = idle.into_iter().find(|client| client.stream.unread() != Unread::Bytes);
        oldest.inspect(|_| self.closes.add(CloseReason::IdleDisplaced));
        oldest.inspect(|client| client.close()).cloned()
    }

    /// Closes a connection for another client: an idle one, or else one of the larger group, those whose request is expected
    /// or those whose request arrives; of these the one that has waited for the longest, once that is
    /// [`MIN_REQUEST_TIME`]. So many clients that send nothing displace none in the middle of a request, and the reverse.
    /// Returns when to try again; never before a connection has changed if nothing.
    fn evict(&self, now: Instant) -> Option<Instant> {
        let is_evicted = |client: &Rc<ClientConnection>| client.evicted.get();
        if self.open.borrow().values().any(is_evicted) {
            return None;
        }
        if let Some(client) = self.close_idle() {
            client.evicted.set(true);
            return None;
        }
        let open = self.open.borrow();
        let waiting = open.values().filter(|client| !client.closing.get());
        let waiting = waiting.filter_map(|client| Some((client.request_since.get()?, client)));
        let (arriving, expected): (Vec<_>, Vec<_>) =
            waiting.partition(|(_, client)| client.has_unanswered_request());
        let mut larger_group = if arriving.len() > expected.len() { arriving } else { expected };
        larger_group.sort_by_key(|(since, _)| *since);
        for (since, client) in larger_group {
            let evictable_at = since + MIN_REQUEST_TIME;
            if evictable_at > now {
                return Some(evictable_at);
            }
            if client.stream.unread() != Unread::Bytes {
                client.evicted.set(true);
                self.closes.add(CloseReason::Displaced);
                client.close();
                return None;
            }
        }
        // What has arrived on all of them is read in the next turn.
        Some(now + READ_DELAY)
    }
}

/// The state of one client connection, shared with code that does not read from the connection.
pub struct ClientConnection {
    pub stream: SharedStream,
    /// When the last byte arrived, or the last response was ready.
    last_active_at: Cell<Instant>,
    /// Since when a request is expected or being read. A new connection is expected to bring one, a
    /// kept-alive connection is not.
    request_since: Cell<Option<Instant>>,
    head: RefCell<HeadScanner>,
    /// What was read of the request that is expected or in progress.
    request_bytes: RefCell<Vec<u8>>,
    /// When its socket was last found open, if it was checked.
    found_open_at: Cell<Option<Instant>>,
    /// Whether bytes of a response were written since the latest request began.
    response_started: Cell<bool>,
    /// Whether a response announced that it is the last one on this connection.
    last_response: Cell<bool>,
    /// Whether this side closes the connection between two requests.
    closed_between_requests: Cell<bool>,
    /// The message whose 202 response is yet to be written.
    pub unacknowledged: Cell<Option<u64>>,
    /// Whether this side has decided to close it.
    closing: Cell<bool>,
    /// Whether that is for another client, which waits for its descriptor.
    evicted: Cell<bool>,
    close_requested: Notify,
}

impl ClientConnection {
    fn new(stream: SharedStream) -> ClientConnection {
        let now = Instant::now();
        ClientConnection {
            stream,
            last_active_at: Cell::new(now),
            request_since: Cell::new(Some(now)),
            head: RefCell::default(),
            request_bytes: RefCell::default(),
            found_open_at: Cell::new(None),
            response_started: Cell::new(false),
            last_response: Cell::new(false),
            closed_between_requests: Cell::new(false),
            unacknowledged: Cell::new(None),
            closing: Cell::new(false),
            evicted: Cell::new(false),
            close_requested: Notify::new(),
        }
    }

    /// What has arrived after a request with a body of this length. Clients send one request at a time:
    /// if more follows, the request's length is wrong, or it hides another request. The end of the input
    /// may be a half close: only writing the response shows whether the client is gone.
    pub fn trailing_input(&self, body_length: usize) -> Unread {
        let unread = self.stream.unread();
        if unread == Unread::Nothing {
            self.found_open_at.set(Some(Instant::now()));
        }
        match self.head.borrow().bytes_after_head() {
            Some(length) if length <= body_length => unread,
            _ => Unread::Bytes,
        }
    }

    /// Whether the client has closed. A connection that was found open a moment ago is not checked
    /// again.
    fn has_closed(&self) -> bool {
        let known_open = self.found_open_at.get().is_some_and(|at| at.elapsed() <= OPEN_CHECK_VALIDITY);
        !known_open && self.stream.unread() == Unread::Closed
    }

    /// Decides to close it.
    fn close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }

    fn is_idle(&self) -> bool {
        !self.closing.get() && self.is_between_requests()
    }

    /// Whether no request is expected or in progress on it.
    fn is_between_requests(&self) -> bool {
        self.request_since.get().is_none()
    }

    /// The request has its response: the next one may begin at any time.
    fn request_answered(&self) {
        self.last_active_at.set(Instant::now());
        self.request_since.set(None);
        self.head.take();
        // An idle connection does not keep the buffer of its longest request.
        self.request_bytes.take();
    }

    /// Whether part of a request was read that has no response yet.
    fn has_unanswered_request(&self) -> bool {
        !self.request_bytes.borrow().is_empty() && !self.response_started.get() && !self.last_response.get()
    }

    /// Answers a request that is abandoned: nothing was accepted, and it may be sent again.
    fn abandon_request(&self) {
        if self.has_unanswered_request() && self.stream.try_write(ABANDONED_RESPONSE).is_ok() {
            self.last_response.set(true);
        }
    }

    /// Records bytes of a request that have arrived.
    fn receive(&self, bytes: &[u8]) {
        let now = Instant::now();
        if self.request_bytes.borrow().is_empty() {
            self.response_started.set(false);
        }
        self.last_active_at.set(now);
        self.request_since.set(self.request_since.get().or(Some(now)));
        self.head.borrow_mut().scan(bytes);
        let mut request_bytes = self.request_bytes.borrow_mut();
        if request_bytes.len() <= MAX_BUFFERED_REQUEST_BYTES {
            request_bytes.extend_from_slice(bytes);
        }
    }

    /// The body of the request, which has arrived completely and has this length.
    pub fn body(&self, length: usize) -> Option<Bytes> {
        let request_bytes = self.request_bytes.borrow();
        let head_length = request_bytes.len().checked_sub(self.head.borrow().bytes_after_head()?)?;
        request_bytes.get(head_length..head_length + length).map(Bytes::copy_from_slice)
    }

    /// The state that another process needs to continue the connection; `None` if the request is too long
    /// to be accepted.
    fn to_transfer(&self) -> Option<Transfer> {
        let partial_request = self.request_bytes.take();
        let waited_ms = self.request_since.get().map(|at| at.elapsed().as_millis() as u32);
        (partial_request.len() <= MAX_BUFFERED_REQUEST_BYTES).then(|| Transfer::Client {
            stream: self.stream.clone(),
            partial_request,
            waited_ms,
        })
    }
}

/// Whether this process has no file descriptor left. After other failures no client connection has to be
/// closed.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// Whether an accept failed only for the connection it was to return (accept(2)), or was
/// interrupted.
fn affects_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted, InvalidInput};
    let connection_errors =
        [Errno::PROTO, Errno::NETDOWN, Errno::HOSTDOWN, Errno::HOSTUNREACH, Errno::NETUNREACH];
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted | InvalidInput)
        || connection_errors.iter().any(|code| error.raw_os_error() == Some(code.raw_os_error()))
}

/// Accepts clients for as long as this process serves.
pub async fn serve(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| accept_connections(node.clone())).await;
}

async fn accept_connections(node: Rc<Node>) {
    let listener = node.listener.clone();
    let (max_connections, max_idle) =
        (node.config.limits.max_clients(), node.config.limits.max_idle_clients());
    loop {
        let accepted = listener.accept().await.and_then(|(stream, _)| SharedStream::new(stream));
        if accepted.as_ref().is_err_and(is_out_of_descriptors) {
            node.clients.evict(Instant::now());
        }
        if node.clients.idle_count() > max_idle {
            node.clients.close_idle();
        }
        match accepted {
            Ok(stream) => {
                // It counts from here on: more connections may be accepted before its task has run.
                let (number, client) = node.clients.add(stream);
                spawn_local(serve_connection(node.clone(), number, client, Vec::new()));
                make_room(&node, max_connections).await;
            }
            // Only one connection, which is gone, is affected, or the call was interrupted.
            Err(error) if affects_one_connection(&error) => {
                log::info_limited(format_args!("accept: {error}"))
            }
            Err(error) => {
                log::info_limited(format_args!("accept: {error}"));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until no more connections are open than are allowed, and closes some for that. New clients wait in the listener's
/// queue meanwhile, where their requests arrive.
async fn make_room(node: &Node, max_connections: usize) {
    while node.clients.count() > max_connections {
        let changed = node.clients.changed.notified();
        match node.clients.evict(Instant::now()) {
            None => changed.await,
            Some(at) => tokio::select! {
                () = changed => {}
                () = sleep_until(at) => {}
            },
        }
    }
}

/// Takes over a client's connection from the previous process, which has read `partial_request` and has
/// waited `waited_ms` for the rest of that request.
pub fn adopt(
    node: &Rc<Node>, stream: TcpStream, partial_request: Vec<u8>, waited_ms: Option<u32>,
) -> io::Result<()> {
    let (number, client) = node.clients.add(SharedStream::new(stream)?);
    let request_since = waited_ms.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms.into())));
    client.request_since.set(request_since);
    spawn_local(serve_connection(node.clone(), number, client, partial_request));
    Ok(())
}

/// Serves one connection. `already_read`: what the previous process had read of it.
async fn serve_connection(node: Rc<Node>, number: u64, client: Rc<ClientConnection>, already_read: Vec<u8>) {
    let request_timer = Box::pin(sleep(REQUEST_TIMEOUT));
    let stream = ClientStream { client: client.clone(), node: node.clone(), request_timer, already_read };
    let service = service_fn(|request| {
        let (node, client) = (node.clone(), client.clone());
        async move {
            let response = requests::handle_request(&node, &client, request).await;
            let is_last = response.as_ref().is_ok_and(|response| response.headers().contains_key(CONNECTION));
            client.last_response.set(is_last);
            client.request_answered();
            node.clients.changed.notify_one();
            response
        }
    });
    let mut server = http1::Builder::new();
    // A client that closes its sending side after the request still receives the response.
    server.half_close(true);
    server.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_REQUEST_HEADERS).header_read_timeout(None);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    let mut stopping = node.close_clients.subscribe();
    // This also completes if the shutdown began before the connection was accepted. The sender lives as
    // long as the node.
    let stopping = async { drop(stopping.wait_for(|stopping| *stopping).await) };
    let served_to_end = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = stopping => {
                // An idle connection is closed at once. Where a request is expected or in progress, its
                // response says that it is the last: hyper would close a new connection on which
                // nothing has arrived yet.
                if client.is_idle() && client.stream.unread() != Unread::Bytes {
                    client.closed_between_requests.set(true);
                    node.clients.closes.add(CloseReason::Stopping);
                    connection.as_mut().graceful_shutdown();
                }
                let _ = connection.await;
            }
        }
    };
    tokio::select! {
        () = served_to_end => finish(&client).await,
        () = client.close_requested.notified() => {
            client.closed_between_requests.set(client.is_between_requests());
            finish(&client).await;
        }
        _ = node.serving_state.wait_for(|phase| phase == Phase::HandedOver) => {
            if !client.closing.get() && let Some(transfer) = client.to_transfer() {
                node.transfer(transfer);
            }
        }
    }
    node.clients.remove(number);
    if let Some(number) = client.unacknowledged.take() {
        requests::withdraw_unacknowledged(&node, number);
    }
}

/// Ends a connection that is no longer served. What arrives after its last response is read, since
/// a reset would discard that response. If no response was written, nothing more is read: the reset
/// tells the client that it may send the request again. Nor is more read of one that is closed for another client: all
/// that had arrived was read.
async fn finish(client: &ClientConnection) {
    client.abandon_request();
    if client.evicted.get() {
        return;
    }
    if client.last_response.get() || client.response_started.get() && !client.closed_between_requests.get() {
        // A client that breaks the connection affects only itself.
        let _ = timeout(LINGER_TIMEOUT, linger(client.stream.clone())).await;
    }
}

/// Closes the sending side and reads until the client has closed.
async fn linger(mut stream: SharedStream) -> io::Result<()> {
    stream.shutdown().await?;
    let (mut bytes, mut remaining) = ([0; 4096], MAX_LINGER_BYTES);
    loop {
        let read = stream.read(&mut bytes).await?;
        if read == 0 || read > remaining {
            return Ok(());
        }
        remaining -= read;
    }
}

/// The stream that hyper reads and writes. A message counts as accepted from the first byte of its
/// 202 response on.
struct ClientStream {
    client: Rc<ClientConnection>,
    node: Rc<Node>,
    request_timer: Pin<Box<Sleep>>,
    /// What the previous process read of this connection.
    already_read: Vec<u8>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // During a handover, input stays in the socket: the process that owns the connection afterwards
        // reads it.
        ready!(self.node.serving_state.poll_serving(cx));
        if !self.already_read.is_empty() {
            let read = self.already_read.len().min(buf.remaining());
            let rest = self.already_read.split_off(read);
            let read = std::mem::replace(&mut self.already_read, rest);
            self.client.receive(&read);
            buf.put_slice(&read);
            return Poll::Ready(Ok(()));
        }
        let filled_before = buf.filled().len();
        let mut stream = self.client.stream.clone();
        if let Poll::Ready(read) = Pin::new(&mut stream).poll_read(cx, buf) {
            let bytes = &buf.filled()[filled_before..];
            if !bytes.is_empty() {
                self.client.receive(bytes);
            }
            return Poll::Ready(read);
        }
        let Some(request_since) = self.client.request_since.get() else { return Poll::Pending };
        let deadline = request_since + REQUEST_TIMEOUT;
        if self.request_timer.deadline() != deadline {
            self.request_timer.as_mut().reset(deadline);
        }
        ready!(self.request_timer.as_mut().poll(cx));
        self.node.clients.closes.add(CloseReason::RequestTimedOut);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let client = &self.client;
        // A client that closed while this process was stalled has submitted the message elsewhere.
        if client.unacknowledged.get().is_some() && client.has_closed() {
            // It may have closed only its sending side, and still be reading.
            let _ = client.stream.try_write(ABANDONED_RESPONSE);
            client.last_response.set(true);
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = ready!(Pin::new(&mut client.stream.clone()).poll_write(cx, bytes))?;
        client.response_started.set(client.response_started.get() || written > 0);
        if written > 0
            && let Some(number) = client.unacknowledged.take()
        {
            self.node.unacknowledged.borrow_mut().remove(&number);
            self.node.send_input(Input::Accepted { number });
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client.stream.clone()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client.stream.clone()).poll_shutdown(cx)
    }
}
