//! A connection to an endpoint or to discovery: an HTTP/1.1 client over a socket whose bytes are observed.
//!
//! hyper reports only that a request failed, so [`ResponseMonitor`] also watches the bytes of the connection.

use crate::log;
use crate::stream::{HeadScanner, SharedStream, Unread, WeakStream};
use fawnspoke_control::metrics::Metrics;
use fawnspoke_pairing::{ObservedHead, ResponseHead, ResponsePairing, ResponseProof, SocketState};
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::Instant;
use waydoor::{EndpointId, Seconds};

/// Most bytes of the head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most bytes of the interim (1xx) responses to a request. A server may send a few; an endpoint that sends nothing else
/// occupies a slot and the thread.
const MAX_INTERIM_BYTES: usize = 64 * 1024;
/// Bytes after which a connection reads no more in this turn of its task, however much has arrived: all connections
/// share one thread. One read, of up to `MAX_HEAD_BYTES`, may go beyond it.
const READ_BYTES_PER_TURN: usize = 16 * 1024;
/// Bytes that are read at a time once hyper reads no more.
const READ_BUFFER_BYTES: usize = 4096;
/// Reads of what has arrived on a connection that is being closed.
const MAX_CLOSING_READS: usize = 16;
/// Most header lines of a response.
const MAX_HEADERS: usize = 64;
/// Time from the first byte of a response to its last. Without this limit a response that stalls midway would occupy
/// its slot until the call times out.
pub const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a single message once a status line with 200 is read: the message is delivered then, and the rest of
/// the response only brings a rate limit report and a reusable connection.
const HEAD_COMPLETION_TIMEOUT: Duration = Duration::from_millis(50);

/// A response that arrived on a connection to an endpoint while no request was outstanding there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurplusResponse {
    pub endpoint: EndpointId,
    pub destination: u32,
    pub address: SocketAddr,
    /// The number of the connection in this process.
    pub connection: u64,
    /// Requests sent on the connection so far.
    pub requests: u64,
    pub head: ResponseHead,
}

/// What an endpoint sent that is not the response to the current request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionReport {
    Surplus(SurplusResponse),
    /// The response asks for a wait, whichever request it belongs to.
    RetryAfter {
        endpoint: EndpointId,
        delay: Seconds,
    },
}

/// Names a connection to an endpoint, and reports what arrives there beside responses.
pub struct EndpointConnection {
    pub endpoint: EndpointId,
    pub destination: u32,
    pub address: SocketAddr,
    /// The number of the connection in this process.
    pub number: u64,
    pub report: Rc<dyn Fn(ConnectionReport)>,
}

impl EndpointConnection {
    fn report(&self, requests: u64, head: ResponseHead) {
        let &EndpointConnection { endpoint, destination, address, number: connection, .. } = self;
        let surplus = SurplusResponse { endpoint, destination, address, connection, requests, head };
        (self.report)(ConnectionReport::Surplus(surplus));
    }

    /// Reports only the wait that a response asks for.
    fn report_wait(&self, head: ResponseHead) {
        let Some(delay) = head.retry_after else { return };
        let (endpoint, delay) = (self.endpoint, delay.as_secs_f64());
        (self.report)(ConnectionReport::RetryAfter { endpoint, delay });
    }
}

/// Observes the bytes of a connection since the last request was put on it.
#[derive(Default)]
pub struct ResponseMonitor {
    /// None for a connection to discovery.
    endpoint: Option<EndpointConnection>,
    stream: WeakStream,
    /// Pairs all requests and responses of the connection.
    pub pairing: RefCell<ResponsePairing>,
    pub head: RefCell<HeadScanner>,
    /// When the first byte of the response arrived; preceding 1xx responses do not count.
    pub first_byte_at: Cell<Option<Instant>>,
    /// Signals the first byte of the response.
    pub first_byte: Notify,
    /// The peer has closed the connection. Recorded here because hyper itself closes a connection after a head that it
    /// cannot parse, and then the socket does not show any more who closed first.
    pub peer_closed: Cell<bool>,
    /// A write has failed.
    pub write_failed: Cell<bool>,
    /// Bytes were written since the last flush.
    unflushed: Cell<bool>,
    /// Bytes that were read in this turn of the connection's task.
    read_in_turn: Cell<usize>,
    /// The metrics that count the messages of the current request once it is written, and their number.
    pub relay_count: RefCell<Option<(Arc<Metrics>, u64)>>,
}

impl std::fmt::Debug for ResponseMonitor {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.describe())
    }
}

impl ResponseMonitor {
    /// Prepares for a request that is about to be sent.
    pub fn begin_request(&self) {
        self.pairing.borrow_mut().request_sent();
        self.head.take();
        self.first_byte_at.set(None);
        self.write_failed.set(false);
        self.unflushed.set(false);
    }

    /// Notes that the request which had begun was not sent after all.
    pub fn cancel_request(&self) {
        let surplus = self.pairing.borrow_mut().request_not_sent();
        surplus.into_iter().for_each(|head| self.report_surplus(head));
    }

    /// What a response with this status to the last request proves, unless its body names the messages.
    pub fn proof(&self, status: StatusCode) -> ResponseProof {
        let names_messages = false;
        self.pairing.borrow().proof(status, names_messages)
    }

    /// Whether a delivery on the connection is unproven.
    pub fn has_unproven(&self) -> bool {
        self.pairing.borrow().has_unproven()
    }

    /// Whether responses can't be paired with requests any more.
    pub fn is_out_of_step(&self) -> bool {
        self.pairing.borrow().is_desynchronised()
    }

    /// Whether the connection is out of step and responses to its unproven deliveries may still follow, or are there.
    pub fn is_awaiting_responses(&self) -> bool {
        let pairing = self.pairing.borrow();
        let may_follow = pairing.is_desynchronised() && pairing.has_unproven();
        may_follow || self.socket_state() == SocketState::HasUnread
    }

    /// What the socket of the connection shows.
    pub fn socket_state(&self) -> SocketState {
        match self.stream.unread() {
            Unread::Nothing => SocketState::Silent,
            Unread::Bytes => SocketState::HasUnread,
            Unread::Closed => SocketState::Closed,
        }
    }

    /// A text that names the connection in the log.
    pub fn describe(&self) -> String {
        self.endpoint.as_ref().map_or_else(
            || "connection to discovery".into(),
            |endpoint| format!("connection {} to {}", endpoint.number, endpoint.address),
        )
    }

    /// A text that names the connection and its last request in the log.
    pub fn describe_request(&self) -> String {
        format!("request {} of {}", self.pairing.borrow().requests(), self.describe())
    }

    /// The connection's endpoint.
    pub fn endpoint_id(&self) -> Option<EndpointId> {
        self.endpoint.as_ref().map(|endpoint| endpoint.endpoint)
    }

    /// Counts the messages of the request as relayed. hyper flushes once it has nothing more to write, so the whole
    /// request has been written to the socket.
    fn on_flush(&self) {
        if self.unflushed.take()
            && let Some((metrics, messages)) = self.relay_count.take()
        {
            metrics.add_relayed(messages);
        }
    }

    fn report_surplus(&self, head: ResponseHead) {
        let requests = self.pairing.borrow().requests();
        self.endpoint.iter().for_each(|endpoint| endpoint.report(requests, head));
    }

    /// Scans bytes that were read.
    fn observe(&self, bytes: &[u8]) {
        let observed = self.pairing.borrow_mut().observe(bytes);
        for observed in observed.into_iter().filter(|observed| observed.is_surplus) {
            self.report_surplus(observed.head);
        }
        let mut head = self.head.borrow_mut();
        head.scan(bytes);
        let first_byte_at = head.has_started().then(|| self.first_byte_at.get().unwrap_or_else(Instant::now));
        self.first_byte_at.set(first_byte_at);
        if first_byte_at.is_some() {
            self.first_byte.notify_one();
        }
    }

    /// Whether more interim responses to the request have arrived than a server has reason to send.
    pub fn has_excess_interim(&self) -> bool {
        self.head.borrow().interim_bytes() > MAX_INTERIM_BYTES
    }

    /// A new turn of the connection's task begins.
    fn begin_turn(&self) {
        self.read_in_turn.set(0);
    }

    /// Whether the connection has read its share of this turn.
    fn is_turn_used_up(&self) -> bool {
        self.read_in_turn.get() >= READ_BYTES_PER_TURN
    }

    /// Reads the responses that have arrived on a connection that is being closed, for the waits in them: nobody else
    /// reads them any more.
    fn observe_unread(&self, stream: &SharedStream) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_CLOSING_READS {
            let Ok(length @ 1..) = stream.read_arrived(&mut buffer) else { return };
            let observed = self.pairing.borrow_mut().observe(&buffer[..length]);
            for ObservedHead { head, is_surplus } in observed {
                match is_surplus {
                    true => self.report_surplus(head),
                    false => self.endpoint.iter().for_each(|endpoint| endpoint.report_wait(head)),
                }
            }
        }
    }

    /// When to stop waiting for the response, given the deadline of the call. `is_single`: the call carries one
    /// message.
    pub fn response_deadline(&self, call_deadline: Instant, is_single: bool) -> Instant {
        let is_delivered = is_single && self.head.borrow().status() == Some(StatusCode::OK);
        let limit = if is_delivered { HEAD_COMPLETION_TIMEOUT } else { RESPONSE_COMPLETION_TIMEOUT };
        self.first_byte_at.get().map_or(call_deadline, |at| call_deadline.min(at + limit))
    }
}

/// The stream that hyper reads and writes; reports all bytes to the monitor.
struct MonitoredStream {
    stream: SharedStream,
    pub monitor: Rc<ResponseMonitor>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.monitor.is_turn_used_up() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = &buf.filled()[before..];
        self.monitor.read_in_turn.set(self.monitor.read_in_turn.get() + bytes.len());
        self.monitor.observe(bytes);
        self.monitor.peer_closed.set(read.is_ready() && bytes.is_empty());
        if self.monitor.has_excess_interim() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many interim responses",
            )));
        }
        read
    }
}

impl MonitoredStream {
    /// Records the result of a write.
    fn track_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(1..)) => self.monitor.unflushed.set(true),
            Poll::Ready(Err(_)) => self.monitor.write_failed.set(true),
            _ => {}
        }
        written
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.track_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.track_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.monitor.on_flush();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection to an endpoint. Dropping it closes it, even while a response is outstanding.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub address: SocketAddr,
    pub stream: SharedStream,
    pub monitor: Rc<ResponseMonitor>,
    /// Task that drives the connection.
    driver: AbortHandle,
    /// When it was last put into the pool or opened.
    pub idle_since: Instant,
    /// Another process has the socket now.
    is_transferred: bool,
}

impl Connection {
    /// Whether another request may use it. Unread bytes belong to no outstanding response, and would be taken for the
    /// response to the next request. A request on a connection that the peer has closed would be lost.
    pub fn is_reusable(&self) -> bool {
        let unread = self.stream.unread();
        if unread == Unread::Bytes {
            let description = self.monitor.describe();
            log::info_limited(format_args!("{description}: bytes beyond its responses; closing it"));
        }
        !self.sender.is_closed() && !self.monitor.is_out_of_step() && unread == Unread::Nothing
    }
}

impl Connection {
    /// Whether a request may be sent on it now, as far as its responses show.
    pub fn allows_request(&self) -> bool {
        self.monitor.pairing.borrow().state().allows_request()
    }
}

impl Connection {
    /// Drops it without closing it: another process has the socket now.
    pub fn release(mut self) {
        self.is_transferred = true;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.is_transferred {
            // Once the endpoint sees the end of the connection, nothing that it writes is expected to be read. What it wrote
            // before has arrived.
            let _ = self.stream.shutdown_write();
            self.monitor.observe_unread(&self.stream);
        }
        self.driver.abort();
    }
}

/// Opens a connection. `endpoint`: None for one to discovery.
pub async fn connect(address: SocketAddr, endpoint: Option<EndpointConnection>) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    wrap_stream(stream, address, Instant::now(), endpoint, ResponsePairing::default()).await
}

/// Makes a [`Connection`] of a stream to discovery that has just been opened.
pub async fn for_discovery(stream: TcpStream, address: SocketAddr) -> io::Result<Connection> {
    wrap_stream(stream, address, Instant::now(), None, ResponsePairing::default()).await
}

/// Makes a [`Connection`] of a stream that another process opened and that has been idle since `idle_since`.
pub async fn adopt(
    stream: TcpStream, address: SocketAddr, idle_since: Instant, endpoint: EndpointConnection,
) -> io::Result<Connection> {
    wrap_stream(stream, address, idle_since, Some(endpoint), ResponsePairing::adopted()).await
}

/// Observes what still arrives once hyper reads no more: it stops at the first byte that belongs to no request, and the
/// responses to earlier requests may follow.
async fn observe_rest(mut stream: SharedStream, monitor: &ResponseMonitor) {
    // On the heap: each connection would hold an array as part of its task from the start.
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        monitor.observe(&buffer[..length]);
        // Other connections take their turn, however much has arrived on this one.
        yield_now().await;
    }
}

async fn wrap_stream(
    stream: TcpStream, address: SocketAddr, idle_since: Instant, endpoint: Option<EndpointConnection>,
    pairing: ResponsePairing,
) -> io::Result<Connection> {
    let stream = SharedStream::new(stream)?;
    let monitor = Rc::new(ResponseMonitor {
        endpoint,
        stream: stream.downgrade(),
        pairing: RefCell::new(pairing),
        ..ResponseMonitor::default()
    });
    let monitored = MonitoredStream { stream: stream.clone(), monitor: monitor.clone() };
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
    let (sender, mut http) = builder.handshake(TokioIo::new(monitored)).await.map_err(io::Error::other)?;
    let (rest, driver_monitor) = (stream.clone(), monitor.clone());
    let driver = spawn_local(async move {
        let run_turn = |cx: &mut Context<'_>| {
            driver_monitor.begin_turn();
            Pin::new(&mut http).poll(cx)
        };
        // The sender reports the end of the connection.
        let _ = poll_fn(run_turn).await;
        drop(http);
        observe_rest(rest, &driver_monitor).await;
    });
    Ok(Connection {
        sender,
        address,
        stream,
        monitor,
        driver: driver.abort_handle(),
        idle_since,
        is_transferred: false,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use socket2::SockRef;
    use std::io::{Read, Write};
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;
    use tokio::sync::mpsc::unbounded_channel;

    #[tokio::test]
    async fn a_wait_that_arrives_before_its_connection_is_closed_is_reported() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (reports, mut received) = unbounded_channel();
        let report = Rc::new(move |report| reports.send(report).unwrap());
        let endpoint =
            EndpointConnection { endpoint: EndpointId(1), destination: 7, address, number: 1, report };
        let connect_then_close = async {
            let connection = connect(address, Some(endpoint)).await.unwrap();
            let (mut peer, _) = listener.accept().unwrap();
            connection.monitor.begin_request();
            let own = b"HTTP/1.1 429 Full\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
            let surplus = b"HTTP/1.1 503 Full\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n";
            peer.write_all(own).unwrap();
            peer.write_all(surplus).unwrap();
            drop(connection);
            assert_eq!(peer.read(&mut [0]).unwrap(), 0);
        };
        tokio::task::LocalSet::new().run_until(connect_then_close).await;
        let own = received.try_recv().unwrap();
        assert!(matches!(own, ConnectionReport::RetryAfter { delay: 0.5, .. }));
        let ConnectionReport::Surplus(surplus) = received.try_recv().unwrap() else {
            panic!("not a surplus response")
        };
        assert_eq!(surplus.head.retry_after, Some(Duration::from_millis(700)));
    }

    #[tokio::test]
    async fn a_failed_write_is_recorded_until_the_next_request() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let stream = SharedStream::new(stream).unwrap();
        let monitor = Rc::new(ResponseMonitor::default());
        let mut monitored = MonitoredStream { stream: stream.clone(), monitor: monitor.clone() };
        let (peer, _) = listener.accept().await.unwrap();
        monitored.write_all(b"first").await.unwrap();
        assert!(!monitor.write_failed.get());
        // With a zero linger time, closing resets the connection.
        SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        drop(peer);
        while stream.unread() != Unread::Closed {
            tokio::task::yield_now().await;
        }
        // The write reports the error that the socket holds.
        monitored.write_all(b"second").await.unwrap_err();
        assert!(monitor.write_failed.get());
        monitor.begin_request();
        assert!(!monitor.write_failed.get());
    }
}
