//! The state of one client connection, shared with code that does not read from the connection.

use crate::request_buffer::RequestBuffer;
use crate::request_memory::MemoryLease;
use crate::size_limits::MAX_REQUEST_BYTES;
use crate::stream::{SharedStream, Unread};
use crate::transfer::Transfer;
use hyper::body::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection found open this recently is assumed to be open still: any stall of this process
/// that matters is longer.
const OPEN_CHECK_VALIDITY: Duration = Duration::from_millis(5);
/// The response to a request that did not arrive in time, or whose client appears to be gone.
const ABANDONED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The number of idle connections, which each connection keeps up to date.
pub type IdleCount = Rc<Cell<usize>>;

/// A client connection.
pub struct ClientConnection {
    pub stream: SharedStream,
    /// When the last byte arrived, or the last response was ready.
    last_active_at: Cell<Instant>,
    /// Since when a request is expected or being read. A new connection is expected to bring one, a
    /// kept-alive connection is not.
    request_since: Cell<Option<Instant>>,
    /// What was read of the request that is expected or in progress.
    pub request: RefCell<RequestBuffer>,
    /// The memory that it holds.
    pub lease: RefCell<MemoryLease>,
    /// Whether the rest of the request stays in the socket until there is memory for it.
    waits_for_memory: Cell<bool>,
    /// When its socket was last found open, if it was checked.
    found_open_at: Cell<Option<Instant>>,
    /// Whether the request has its response, which may not be written yet.
    is_answered: Cell<bool>,
    /// Whether bytes of a response were written since the latest request began.
    response_started: Cell<bool>,
    /// Whether the response is written.
    response_written: Cell<bool>,
    /// Whether a response announced that it is the last one on this connection.
    last_response: Cell<bool>,
    /// Whether this side closes the connection between two requests.
    closed_between_requests: Cell<bool>,
    /// The message whose 202 response is yet to be written.
    pub unacknowledged: Cell<Option<u64>>,
    /// Whether this side has decided to close it.
    closing: Cell<bool>,
    /// Whether that is for another client, which waits for its place.
    evicted: Cell<bool>,
    pub close_requested: Notify,
    idle_count: IdleCount,
    /// Whether it is part of that count.
    counts_as_idle: Cell<bool>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.closing.set(true);
        self.update_idle_count();
    }
}

impl ClientConnection {
    /// A new connection, on which a request is expected.
    pub fn new(stream: SharedStream, idle_count: IdleCount) -> ClientConnection {
        let now = Instant::now();
        ClientConnection {
            stream,
            last_active_at: Cell::new(now),
            request_since: Cell::new(Some(now)),
            request: RefCell::default(),
            lease: RefCell::default(),
            waits_for_memory: Cell::new(false),
            found_open_at: Cell::new(None),
            is_answered: Cell::new(false),
            response_started: Cell::new(false),
            response_written: Cell::new(false),
            last_response: Cell::new(false),
            closed_between_requests: Cell::new(false),
            unacknowledged: Cell::new(None),
            closing: Cell::new(false),
            evicted: Cell::new(false),
            close_requested: Notify::new(),
            idle_count,
            counts_as_idle: Cell::new(false),
        }
    }

    /// A connection of the previous process, which has awaited the rest of a request since `request_since`.
    pub fn adopted(
        stream: SharedStream, idle_count: IdleCount, request_since: Option<Instant>,
    ) -> ClientConnection {
        let client = ClientConnection::new(stream, idle_count);
        client.set_request_since(request_since);
        client
    }

    fn set_request_since(&self, request_since: Option<Instant>) {
        self.request_since.set(request_since);
        self.update_idle_count();
    }

    fn update_idle_count(&self) {
        let is_idle = self.is_idle();
        match (self.counts_as_idle.replace(is_idle), is_idle) {
            (false, true) => self.idle_count.set(self.idle_count.get() + 1),
            (true, false) => self.idle_count.set(self.idle_count.get() - 1),
            _ => {}
        }
    }

    /// What has arrived after the request. Clients send one request at a time: if more follows, the request's length is
    /// wrong, or it hides another request. The end of the input may be a half close: only writing the response shows
    /// whether the client is gone.
    pub fn trailing_input(&self) -> Unread {
        if self.request.borrow().has_trailing_bytes() {
            return Unread::Bytes;
        }
        let unread = self.stream.unread();
        if unread == Unread::Nothing {
            self.found_open_at.set(Some(Instant::now()));
        }
        unread
    }

    /// Whether the client has closed. A connection that was found open a moment ago is not checked
    /// again.
    pub fn has_closed(&self) -> bool {
        let known_open = self.found_open_at.get().is_some_and(|at| at.elapsed() <= OPEN_CHECK_VALIDITY);
        !known_open && self.stream.unread() == Unread::Closed
    }

    /// Since when a request is expected or in progress, if one is.
    pub fn request_since(&self) -> Option<Instant> {
        self.request_since.get()
    }

    /// When the last byte arrived, or the last response was ready.
    pub fn last_active_at(&self) -> Instant {
        self.last_active_at.get()
    }

    /// Decides to close it.
    pub fn close(&self) {
        self.closing.set(true);
        self.update_idle_count();
        self.close_requested.notify_one();
    }

    /// Decides to close it for another client.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.close();
    }

    /// Whether this side has decided to close it.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether it is being closed for another client.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Notes whether no request is lost by the close.
    pub fn set_closed_between_requests(&self, closed_between_requests: bool) {
        self.closed_between_requests.set(closed_between_requests);
    }

    /// Whether no request is expected or in progress on it, and it stays open.
    pub fn is_idle(&self) -> bool {
        !self.closing.get() && self.is_between_requests()
    }

    /// Whether no request is expected or in progress on it.
    pub fn is_between_requests(&self) -> bool {
        self.request_since.get().is_none()
    }

    /// Whether a request has begun that has no response yet.
    pub fn is_awaiting_response(&self) -> bool {
        self.request_since.get().is_some() && !self.request.borrow().is_empty()
    }

    /// Whether part of a request was read that has no response yet.
    pub fn has_unanswered_request(&self) -> bool {
        !self.request.borrow().is_empty() && !self.response_started.get() && !self.last_response.get()
    }

    /// Whether memory beyond the connection's allowance waits for the rest of a request.
    pub fn holds_memory_for_rest(&self) -> bool {
        self.lease.borrow().is_held() && self.request.borrow().complete_length().is_none()
    }

    /// Notes whether the rest of the request stays in the socket until there is memory for it.
    pub fn set_waits_for_memory(&self, waits_for_memory: bool) {
        self.waits_for_memory.set(waits_for_memory);
    }

    /// Whether nothing has arrived that will be read in the next turn.
    pub fn is_read_up(&self) -> bool {
        self.waits_for_memory.get() || self.stream.unread() != Unread::Bytes
    }

    /// Records bytes of a request that have arrived.
    pub fn receive(&self, bytes: &[u8]) {
        let now = Instant::now();
        let mut request = self.request.borrow_mut();
        if request.is_empty() {
            self.response_started.set(false);
        }
        self.last_active_at.set(now);
        self.set_request_since(self.request_since.get().or(Some(now)));
        request.receive(bytes);
    }

    /// The body of the request, which has arrived completely and has this length.
    pub fn body(&self, length: usize) -> Option<Bytes> {
        self.request.borrow().body(length)
    }

    /// The response to a complete request begins.
    pub fn begin_response(&self) {
        self.is_answered.set(false);
        self.response_written.set(false);
    }

    /// The request has its response; `is_last`: the connection ends with it.
    pub fn request_answered(&self, is_last: bool) {
        self.last_response.set(is_last);
        self.is_answered.set(true);
        self.last_active_at.set(Instant::now());
        self.set_request_since(None);
    }

    /// Whether the request has its response, which may not be written yet.
    pub fn is_answered(&self) -> bool {
        self.is_answered.get()
    }

    /// Bytes of a response were written.
    pub fn response_started(&self) {
        self.response_started.set(true);
    }

    /// All that hyper has to write so far is written.
    pub fn output_flushed(&self) {
        self.response_written.set(self.is_answered.get() && self.response_started.get());
    }

    /// Whether the response is written.
    pub fn is_response_written(&self) -> bool {
        self.response_written.get()
    }

    /// Makes room for the next request after the response was written.
    pub fn finish_request(&self) {
        let mut request = self.request.borrow_mut();
        request.finish_request();
        if !request.is_empty() {
            self.response_started.set(false);
            self.set_request_since(Some(Instant::now()));
        }
        self.lease.take();
    }

    /// Whether the client may still be reading a response that was written.
    pub fn needs_linger(&self) -> bool {
        self.last_response.get() || self.response_started.get() && !self.closed_between_requests.get()
    }

    /// Answers a request that is abandoned: nothing was accepted, and it may be sent again.
    pub fn abandon_request(&self) {
        if self.has_unanswered_request() {
            self.write_abandoned_response();
        }
    }

    /// Writes the response to a request that is abandoned, if the client still reads.
    pub fn write_abandoned_response(&self) {
        if self.stream.try_write(ABANDONED_RESPONSE).is_ok() {
            self.last_response.set(true);
        }
    }

    /// Drops what was read of the request, and its memory.
    pub fn release_request(&self) {
        self.request.borrow_mut().take_bytes();
        self.lease.take();
    }

    /// The state that another process needs to continue the connection; `None` if the request is too long
    /// to be accepted.
    pub fn to_transfer(&self) -> Option<Transfer> {
        let partial_request = self.request.borrow_mut().take_bytes();
        self.lease.take();
        let waited_ms = self.request_since.get().map(|at| at.elapsed().as_millis() as u32);
        (partial_request.len() <= MAX_REQUEST_BYTES).then(|| Transfer::Client {
            stream: self.stream.clone(),
            partial_request,
            waited_ms,
        })
    }
}
