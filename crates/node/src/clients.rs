//! Clients' connections: how many there are, how long each may take, and when one has to go.

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
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, Sleep, sleep, timeout};

/// From its connection or its first byte on, a request is there by then, head and body together, or never
/// will be: its client waits 400 ms for the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// After the last answer so much is still read, for so long: closed with bytes unread, a connection is reset
/// and its client may never hear the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// What was found open so long ago is taken to be: a stall of this process that matters is longer.
const OPEN_CHECK_VALIDITY: Duration = Duration::from_millis(5);
/// The answer to a request of which the rest did not come in time, or whose client is gone for all that is known.
const ABANDONED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Before the next accept after one that failed for want of something.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// What is kept of a request that is not whole; a longer one is refused in the end.
const MAX_BUFFERED_REQUEST_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Header lines of a request.
const MAX_REQUEST_HEADERS: usize = 64;

/// The connections that are open.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
}

impl ClientConnections {
    fn add(&self, stream: SharedStream) -> (u64, Rc<ClientConnection>) {
        let (number, client) = (self.next_number.get(), Rc::new(ClientConnection::new(stream)));
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, client.clone());
        (number, client)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Messages that are on record though their clients have not heard of it: those clients leave, and nothing is owed.
    pub fn close_unacknowledged(&self) -> Vec<u64> {
        let open = self.open.borrow();
        let unacknowledged = open.values().filter_map(|client| Some((client, client.unacknowledged.take()?)));
        let abandoned = unacknowledged.map(|(client, number)| {
            client.closing.set(true);
            client.close_requested.notify_one();
            number
        });
        abandoned.collect()
    }

    /// Connections on which a request has begun that has no answer yet.
    pub fn awaiting_response(&self) -> usize {
        let is_awaiting = |client: &&Rc<ClientConnection>| {
            client.request_since.get().is_some() && !client.request_bytes.borrow().is_empty()
        };
        self.open.borrow().values().filter(is_awaiting).count()
    }

    /// Connections on which no request is owed.
    fn idle_count(&self) -> usize {
        self.open.borrow().values().filter(|client| client.is_idle()).count()
    }

    /// Closes the connection that has been silent for the longest, of all or of the idle ones. One on which a request has
    /// begun goes last.
    fn close_longest_silent(&self, idle_only: bool) {
        let open = self.open.borrow();
        for _ in 0..open.len() {
            let candidates =
                open.values().filter(|client| !client.closing.get() && (!idle_only || client.is_idle()));
            let priority = |client: &&Rc<ClientConnection>| {
                (client.has_unanswered_request(), client.last_active_at.get())
            };
            let Some(oldest) = candidates.min_by_key(priority) else { return };
            // A request that nobody has read yet would be lost with it.
            if oldest.stream.unread() == Unread::Bytes {
                oldest.last_active_at.set(Instant::now());
                continue;
            }
            oldest.closing.set(true);
            oldest.close_requested.notify_one();
            return;
        }
    }
}

/// One client's connection, as those see it who do not read it.
pub struct ClientConnection {
    pub stream: SharedStream,
    /// When a byte came last, or an answer was ready.
    last_active_at: Cell<Instant>,
    /// Since when a request is awaited or read. A new connection owes one, a kept one does not.
    request_since: Cell<Option<Instant>>,
    head: RefCell<HeadScanner>,
    /// What was read of the request that is awaited or read.
    request_bytes: RefCell<Vec<u8>>,
    /// When its socket was last found open, if that was looked at.
    found_open_at: Cell<Option<Instant>>,
    /// Bytes of an answer were written since the request began that was read last.
    response_started: Cell<bool>,
    /// An answer said that it is the last one.
    last_response: Cell<bool>,
    /// This side ends it between two requests.
    closed_between_requests: Cell<bool>,
    /// The message whose 202 is to be written.
    pub unacknowledged: Cell<Option<u64>>,
    closing: Cell<bool>,
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
            close_requested: Notify::new(),
        }
    }

    /// What has come behind a request with a body of this length. Clients send one request at a time: one with more behind
    /// it is not what its sender took it for, or hides another. An end may be that of the sending alone: whether its client
    /// has left can't be told before it is written to.
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

    /// Whether the client has closed; one that was there a moment ago is not asked for again.
    fn has_closed(&self) -> bool {
        let known_open = self.found_open_at.get().is_some_and(|at| at.elapsed() <= OPEN_CHECK_VALIDITY);
        !known_open && self.stream.unread() == Unread::Closed
    }

    fn is_idle(&self) -> bool {
        !self.closing.get() && self.is_between_requests()
    }

    /// Whether no request is owed or awaited on it.
    fn is_between_requests(&self) -> bool {
        self.request_since.get().is_none()
    }

    /// The request has its answer: the next one may take its time to begin.
    fn request_answered(&self) {
        self.last_active_at.set(Instant::now());
        self.request_since.set(None);
        self.head.take();
        // An idle connection keeps no room for the longest request that it had.
        self.request_bytes.take();
    }

    /// Whether something was read of a request that has no answer yet.
    fn has_unanswered_request(&self) -> bool {
        !self.request_bytes.borrow().is_empty() && !self.response_started.get() && !self.last_response.get()
    }

    /// A request that was begun and is given up gets its answer: nothing was taken, and it may come again.
    fn abandon_request(&self) {
        if self.has_unanswered_request() && self.stream.try_write(ABANDONED_RESPONSE).is_ok() {
            self.last_response.set(true);
        }
    }

    /// Bytes of the request have come.
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

    /// The body of the request, which is whole and of this length.
    pub fn body(&self, length: usize) -> Option<Bytes> {
        let request_bytes = self.request_bytes.borrow();
        let head_length = request_bytes.len().checked_sub(self.head.borrow().bytes_after_head()?)?;
        request_bytes.get(head_length..head_length + length).map(Bytes::copy_from_slice)
    }

    /// What another process needs to go on with it; none where a request is longer than any that is taken.
    fn to_transfer(&self) -> Option<Transfer> {
        let read = self.request_bytes.take();
        let asked_ms = self.request_since.get().map(|at| at.elapsed().as_millis() as u32);
        (read.len() <= MAX_BUFFERED_REQUEST_BYTES).then(|| Transfer::Client {
            stream: self.stream.clone(),
            read,
            asked_ms,
        })
    }
}

/// Whether this process has no descriptor left. Another cause passes without a client's leaving.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// Whether an accept failed for the one connection that it was to bring (accept(2)), or was interrupted.
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
        let out_of_descriptors = accepted.as_ref().is_err_and(is_out_of_descriptors);
        let full = out_of_descriptors || node.clients.open.borrow().len() >= max_connections;
        if full || node.clients.idle_count() > max_idle {
            node.clients.close_longest_silent(!full);
            // It is closed before the next one is accepted.
            yield_now().await;
        }
        match accepted {
            Ok(stream) => {
                // It counts from here on: more may be accepted before its task has run.
                let (number, client) = node.clients.add(stream);
                spawn_local(serve_connection(node.clone(), number, client, Vec::new()));
            }
            // It concerns one connection that is gone, or a call that was interrupted.
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

/// Takes a client's connection over: what was read of its request, and for how long that is awaited.
pub fn adopt(node: &Rc<Node>, stream: TcpStream, read: Vec<u8>, asked_ms: Option<u32>) -> io::Result<()> {
    let (number, client) = node.clients.add(SharedStream::new(stream)?);
    let request_since = asked_ms.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms.into())));
    client.request_since.set(request_since);
    spawn_local(serve_connection(node.clone(), number, client, read));
    Ok(())
}

/// Serves one connection. `before`: what was read of it by the process that had it.
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
            response
        }
    });
    let mut server = http1::Builder::new();
    // Whoever ends its sending behind its request still hears the answer.
    server.half_close(true);
    server.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_REQUEST_HEADERS).header_read_timeout(None);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    let mut stopping = node.close_clients.subscribe();
    // What was there before this connection is heard of too. The sender lives as long as the node.
    let stopping = async { drop(stopping.wait_for(|stopping| *stopping).await) };
    let served_to_end = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = stopping => {
                // An idle one ends at once. Where a request is owed or awaited, its answer says that it is the last:
                // hyper would close a new connection on which nothing has come yet.
                if client.is_idle() && client.stream.unread() != Unread::Bytes {
                    client.closed_between_requests.set(true);
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
    node.clients.open.borrow_mut().remove(&number);
    if let Some(number) = client.unacknowledged.take() {
        requests::withdraw_unacknowledged(&node, number);
    }
}

/// Ends a connection that is not served any more. What comes behind its last answer is read, or a reset would take that
/// answer with it; where none was written nothing more is read: its client knows by the reset that it may come again.
async fn finish(client: &ClientConnection) {
    client.abandon_request();
    if client.last_response.get() || client.response_started.get() && !client.closed_between_requests.get() {
        // A client that breaks off is its own affair.
        let _ = timeout(LINGER_TIMEOUT, linger(client.stream.clone())).await;
    }
}

/// Ends the writing and reads on until the client has closed.
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

/// What hyper reads and writes. A message counts as taken from the first byte of its 202 on.
struct ClientStream {
    client: Rc<ClientConnection>,
    node: Rc<Node>,
    request_timer: Pin<Box<Sleep>>,
    /// What another process has read of this connection.
    already_read: Vec<u8>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // While this process hands over, what comes stays with the socket: whoever owns reads it.
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
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let client = &self.client;
        // A client that closed while this process was stalled has handed the message in elsewhere.
        if client.unacknowledged.get().is_some() && client.has_closed() {
            // It may have ended its sending alone, and listen still.
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
