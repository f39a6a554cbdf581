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
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// After the last answer so much is still read, for so long: closed with bytes unread, a connection is reset
/// and its client may never hear the answer.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_MOST: usize = 1 << 20;
/// What was found open so long ago is taken to be: a stall of this process that matters is longer.
const STILL_THERE: Duration = Duration::from_millis(5);
/// The answer to a request of which the rest did not come in time, or whose client is gone for all that is known.
const GIVEN_UP: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Before the next accept after one that failed for want of something.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What is kept of a request that is not whole; a longer one is refused in the end.
const RECORD_MOST: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Header lines of a request.
const HEADERS_MOST: usize = 64;

/// The connections that are open.
#[derive(Default)]
pub struct Clients {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    count: Cell<u64>,
}

impl Clients {
    fn add(&self, wire: SharedStream) -> (u64, Rc<Client>) {
        let (number, client) = (self.count.get(), Rc::new(Client::new(wire)));
        self.count.set(number + 1);
        self.open.borrow_mut().insert(number, client.clone());
        (number, client)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Messages that are on record though their clients have not heard of it: those clients leave, and nothing is owed.
    pub fn leave_unheard(&self) -> Vec<u64> {
        let open = self.open.borrow();
        let unheard = open.values().filter_map(|client| Some((client, client.unheard.take()?)));
        let left = unheard.map(|(client, number)| {
            client.going.set(true);
            client.leave.notify_one();
            number
        });
        left.collect()
    }

    /// Connections on which a request has begun that has no answer yet.
    pub fn asking(&self) -> usize {
        let asks =
            |client: &&Rc<Client>| client.asked_at.get().is_some() && !client.record.borrow().is_empty();
        self.open.borrow().values().filter(asks).count()
    }

    /// Connections on which no request is owed.
    fn idle(&self) -> usize {
        self.open.borrow().values().filter(|client| client.idle()).count()
    }

    /// Closes the connection that has been silent for the longest, of all or of the idle ones. One on which a request has
    /// begun goes last.
    fn make_room(&self, idle: bool) {
        let open = self.open.borrow();
        for _ in 0..open.len() {
            let staying = open.values().filter(|client| !client.going.get() && (!idle || client.idle()));
            let order = |client: &&Rc<Client>| (client.owes_answer(), client.heard_at.get());
            let Some(oldest) = staying.min_by_key(order) else { return };
            // A request that nobody has read yet would be lost with it.
            if oldest.wire.unread() == Unread::Bytes {
                oldest.heard_at.set(Instant::now());
                continue;
            }
            oldest.going.set(true);
            oldest.leave.notify_one();
            return;
        }
    }
}

/// One client's connection, as those see it who do not read it.
pub struct Client {
    pub wire: SharedStream,
    /// When a byte came last, or an answer was ready.
    heard_at: Cell<Instant>,
    /// Since when a request is awaited or read. A new connection owes one, a kept one does not.
    asked_at: Cell<Option<Instant>>,
    head: RefCell<HeadScanner>,
    /// What was read of the request that is awaited or read.
    record: RefCell<Vec<u8>>,
    /// When its socket was last found open, if that was looked at.
    open_at: Cell<Option<Instant>>,
    /// Bytes of an answer were written since the request began that was read last.
    answering: Cell<bool>,
    /// An answer said that it is the last one.
    last_answer: Cell<bool>,
    /// This side ends it between two requests.
    ended_at_rest: Cell<bool>,
    /// The message whose 202 is to be written.
    pub unheard: Cell<Option<u64>>,
    going: Cell<bool>,
    leave: Notify,
}

impl Client {
    fn new(wire: SharedStream) -> Client {
        let now = Instant::now();
        Client {
            wire,
            heard_at: Cell::new(now),
            asked_at: Cell::new(Some(now)),
            head: RefCell::default(),
            record: RefCell::default(),
            open_at: Cell::new(None),
            answering: Cell::new(false),
            last_answer: Cell::new(false),
            ended_at_rest: Cell::new(false),
            unheard: Cell::new(None),
            going: Cell::new(false),
            leave: Notify::new(),
        }
    }

    /// What has come behind a request with a body of this length. Clients send one request at a time: one with more behind
    /// it is not what its sender took it for, or hides another. An end may be that of the sending alone: whether its client
    /// has left can't be told before it is written to.
    pub fn behind(&self, body: usize) -> Unread {
        let unread = self.wire.unread();
        if unread == Unread::Nothing {
            self.open_at.set(Some(Instant::now()));
        }
        match self.head.borrow().bytes_after_head() {
            Some(behind) if behind <= body => unread,
            _ => Unread::Bytes,
        }
    }

    /// Whether the client has closed; one that was there a moment ago is not asked for again.
    fn closed(&self) -> bool {
        let there = self.open_at.get().is_some_and(|at| at.elapsed() <= STILL_THERE);
        !there && self.wire.unread() == Unread::Closed
    }

    fn idle(&self) -> bool {
        !self.going.get() && self.is_between_requests()
    }

    /// Whether no request is owed or awaited on it.
    fn is_between_requests(&self) -> bool {
        self.asked_at.get().is_none()
    }

    /// The request has its answer: the next one may take its time to begin.
    fn answered(&self) {
        self.heard_at.set(Instant::now());
        self.asked_at.set(None);
        self.head.take();
        // An idle connection keeps no room for the longest request that it had.
        self.record.take();
    }

    /// Whether something was read of a request that has no answer yet.
    fn owes_answer(&self) -> bool {
        !self.record.borrow().is_empty() && !self.answering.get() && !self.last_answer.get()
    }

    /// A request that was begun and is given up gets its answer: nothing was taken, and it may come again.
    fn give_up(&self) {
        if self.owes_answer() && self.wire.try_write(GIVEN_UP).is_ok() {
            self.last_answer.set(true);
        }
    }

    /// Bytes of the request have come.
    fn heard(&self, bytes: &[u8]) {
        let now = Instant::now();
        if self.record.borrow().is_empty() {
            self.answering.set(false);
        }
        self.heard_at.set(now);
        self.asked_at.set(self.asked_at.get().or(Some(now)));
        self.head.borrow_mut().scan(bytes);
        let mut record = self.record.borrow_mut();
        if record.len() <= RECORD_MOST {
            record.extend_from_slice(bytes);
        }
    }

    /// The body of the request, which is whole and of this length.
    pub fn body(&self, length: usize) -> Option<Bytes> {
        let record = self.record.borrow();
        let head = record.len().checked_sub(self.head.borrow().bytes_after_head()?)?;
        record.get(head..head + length).map(Bytes::copy_from_slice)
    }

    /// What another process needs to go on with it; none where a request is longer than any that is taken.
    fn moved(&self) -> Option<Transfer> {
        let read = self.record.take();
        let asked_ms = self.asked_at.get().map(|at| at.elapsed().as_millis() as u32);
        (read.len() <= RECORD_MOST).then(|| Transfer::Client { stream: self.wire.clone(), read, asked_ms })
    }
}

/// Whether this process has no descriptor left. Another cause passes without a client's leaving.
fn is_short_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// Whether an accept failed for the one connection that it was to bring (accept(2)), or was interrupted.
fn is_of_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted, InvalidInput};
    let broken = [Errno::PROTO, Errno::NETDOWN, Errno::HOSTDOWN, Errno::HOSTUNREACH, Errno::NETUNREACH];
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted | InvalidInput)
        || broken.iter().any(|code| error.raw_os_error() == Some(code.raw_os_error()))
}

/// Accepts clients for as long as this process serves.
pub async fn serve(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| accept(node.clone())).await;
}

async fn accept(node: Rc<Node>) {
    let listener = node.listener.clone();
    let (most, most_idle) = (node.config.limits.clients(), node.config.limits.idle_clients());
    loop {
        let accepted = listener.accept().await.and_then(|(stream, _)| SharedStream::new(stream));
        let short = accepted.as_ref().is_err_and(is_short_of_descriptors);
        let full = short || node.clients.open.borrow().len() >= most;
        if full || node.clients.idle() > most_idle {
            node.clients.make_room(!full);
            // It is closed before the next one is accepted.
            yield_now().await;
        }
        match accepted {
            Ok(wire) => {
                // It counts from here on: more may be accepted before its task has run.
                let (number, client) = node.clients.add(wire);
                spawn_local(connection(node.clone(), number, client, Vec::new()));
            }
            // It concerns one connection that is gone, or a call that was interrupted.
            Err(error) if is_of_one_connection(&error) => log::info_limited(format_args!("accept: {error}")),
            Err(error) => {
                log::info_limited(format_args!("accept: {error}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Takes a client's connection over: what was read of its request, and for how long that is awaited.
pub fn adopt(node: &Rc<Node>, stream: TcpStream, read: Vec<u8>, asked_ms: Option<u32>) -> io::Result<()> {
    let (number, client) = node.clients.add(SharedStream::new(stream)?);
    let asked_at = asked_ms.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms.into())));
    client.asked_at.set(asked_at);
    spawn_local(connection(node.clone(), number, client, read));
    Ok(())
}

/// Serves one connection. `before`: what was read of it by the process that had it.
async fn connection(node: Rc<Node>, number: u64, client: Rc<Client>, before: Vec<u8>) {
    let limit = Box::pin(sleep(REQUEST_TIME));
    let line = Line { client: client.clone(), node: node.clone(), limit, before };
    let service = service_fn(|request| {
        let (node, client) = (node.clone(), client.clone());
        async move {
            let answer = requests::answer(&node, &client, request).await;
            let is_last = answer.as_ref().is_ok_and(|answer| answer.headers().contains_key(CONNECTION));
            client.last_answer.set(is_last);
            client.answered();
            answer
        }
    });
    let mut server = http1::Builder::new();
    // Whoever ends its sending behind its request still hears the answer.
    server.half_close(true);
    server.max_buf_size(MAX_HEAD_BYTES).max_headers(HEADERS_MOST).header_read_timeout(None);
    let mut served = pin!(server.serve_connection(TokioIo::new(line), service));
    let mut stopping = node.close_clients.subscribe();
    // What was there before this connection is heard of too. The sender lives as long as the node.
    let stopping = async { drop(stopping.wait_for(|stopping| *stopping).await) };
    let ended = async {
        tokio::select! {
            _ = served.as_mut() => {}
            () = stopping => {
                // An idle one ends at once. Where a request is owed or awaited, its answer says that it is the last:
                // hyper would close a new connection on which nothing has come yet.
                if client.idle() && client.wire.unread() != Unread::Bytes {
                    client.ended_at_rest.set(true);
                    served.as_mut().graceful_shutdown();
                }
                let _ = served.await;
            }
        }
    };
    tokio::select! {
        () = ended => end(&client).await,
        () = client.leave.notified() => {
            client.ended_at_rest.set(client.is_between_requests());
            end(&client).await;
        }
        _ = node.serving_state.wait_for(|phase| phase == Phase::HandedOver) => {
            if !client.going.get() && let Some(rest) = client.moved() {
                node.transfer(rest);
            }
        }
    }
    node.clients.open.borrow_mut().remove(&number);
    if let Some(number) = client.unheard.take() {
        requests::withdraw(&node, number);
    }
}

/// Ends a connection that is not served any more. What comes behind its last answer is read, or a reset would take that
/// answer with it; where none was written nothing more is read: its client knows by the reset that it may come again.
async fn end(client: &Client) {
    client.give_up();
    if client.last_answer.get() || client.answering.get() && !client.ended_at_rest.get() {
        // A client that breaks off is its own affair.
        let _ = timeout(LINGER, linger(client.wire.clone())).await;
    }
}

/// Ends the writing and reads on until the client has closed.
async fn linger(mut wire: SharedStream) -> io::Result<()> {
    wire.shutdown().await?;
    let (mut bytes, mut left) = ([0; 4096], LINGER_MOST);
    loop {
        let read = wire.read(&mut bytes).await?;
        if read == 0 || read > left {
            return Ok(());
        }
        left -= read;
    }
}

/// What hyper reads and writes. A message counts as taken from the first byte of its 202 on.
struct Line {
    client: Rc<Client>,
    node: Rc<Node>,
    limit: Pin<Box<Sleep>>,
    /// What another process has read of this connection.
    before: Vec<u8>,
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // While this process hands over, what comes stays with the socket: whoever owns reads it.
        ready!(self.node.serving_state.poll_serving(cx));
        if !self.before.is_empty() {
            let read = self.before.len().min(buf.remaining());
            let rest = self.before.split_off(read);
            let read = std::mem::replace(&mut self.before, rest);
            self.client.heard(&read);
            buf.put_slice(&read);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let mut wire = self.client.wire.clone();
        if let Poll::Ready(read) = Pin::new(&mut wire).poll_read(cx, buf) {
            let bytes = &buf.filled()[before..];
            if !bytes.is_empty() {
                self.client.heard(bytes);
            }
            return Poll::Ready(read);
        }
        let Some(asked_at) = self.client.asked_at.get() else { return Poll::Pending };
        let until = asked_at + REQUEST_TIME;
        if self.limit.deadline() != until {
            self.limit.as_mut().reset(until);
        }
        ready!(self.limit.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for Line {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let client = &self.client;
        // A client that closed while this process was stalled has handed the message in elsewhere.
        if client.unheard.get().is_some() && client.closed() {
            // It may have ended its sending alone, and listen still.
            let _ = client.wire.try_write(GIVEN_UP);
            client.last_answer.set(true);
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = ready!(Pin::new(&mut client.wire.clone()).poll_write(cx, bytes))?;
        client.answering.set(client.answering.get() || written > 0);
        if written > 0
            && let Some(number) = client.unheard.take()
        {
            self.node.unacknowledged.borrow_mut().remove(&number);
            self.node.send_input(Input::Accepted { number });
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client.wire.clone()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client.wire.clone()).poll_shutdown(cx)
    }
}
