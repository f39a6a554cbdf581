//! Calls to endpoints, and the connections that they go over.

use crate::serving::Phase;
use crate::stream::{HeadScanner, SharedStream, Unread};
use crate::{Node, log};
use fawnspoke_control::metrics::Metrics;
use fawnspoke_journal::AcceptedMessage;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use waydoor::{EndpointId, Event, MessageId, Outcome, RateLimitReport, Seconds};

/// What is read of an answer: twice the longest body, since a call may hold several messages' ends.
const ANSWER_MOST: usize = 128 * 1024;
/// Longest head of an answer, and its lines.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// Share of the keep-alive time after which an idle connection is dropped: well before the endpoint does.
const KEEPALIVE_SHARE: f64 = 0.85;
/// After its first byte an answer is there or will not come. Answers that stop short would else keep their slots.
const REST_OF_ANSWER: Duration = Duration::from_millis(300);
/// After a first line with 200, which tells all of a single message, the rest is waited for no longer than that: it
/// brings a report, and a connection that can be kept.
const REST_OF_HEAD: Duration = Duration::from_millis(50);
/// What has arrived is read within this time.
const LATE_READ: Duration = Duration::from_millis(5);

/// What a connection has brought since the last request was put on it.
#[derive(Default)]
struct Heard {
    head: RefCell<HeadScanner>,
    /// When the answer's first byte came; 1xx answers ahead do not count.
    first_at: Cell<Option<Instant>>,
    first: Notify,
    /// The other side has ended the connection. After a head that hyper cannot read it ends it itself, so
    /// the socket can't be asked any more.
    ended: Cell<bool>,
    /// A write has failed.
    unwritten: Cell<bool>,
    /// Bytes went to the socket since the last flush; once it is flushed, a request is written whole.
    wrote: Cell<bool>,
    /// Who counts the messages of the request that is being written.
    relays: RefCell<Option<(Arc<Metrics>, u64)>>,
}

impl Heard {
    fn clear(&self) {
        self.head.take();
        self.first_at.set(None);
        self.unwritten.set(false);
        self.wrote.set(false);
    }

    /// hyper flushes once it has nothing more to write: the request is with the socket whole.
    fn flushed(&self) {
        if self.wrote.take()
            && let Some((figures, messages)) = self.relays.take()
        {
            figures.add_relayed(messages);
        }
    }

    fn follow(&self, bytes: &[u8]) {
        let mut head = self.head.borrow_mut();
        head.scan(bytes);
        let first_at = head.has_started().then(|| self.first_at.get().unwrap_or_else(Instant::now));
        self.first_at.set(first_at);
        if first_at.is_some() {
            self.first.notify_one();
        }
    }

    /// When an answer that is awaited until then is given up. `one`: it answers a single message.
    fn until(&self, until: Instant, one: bool) -> Instant {
        let all = one && self.head.borrow().status() == Some(StatusCode::OK);
        let rest = if all { REST_OF_HEAD } else { REST_OF_ANSWER };
        self.first_at.get().map_or(until, |at| until.min(at + rest))
    }
}

/// What hyper reads and writes.
struct Line {
    wire: SharedStream,
    heard: Rc<Heard>,
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.wire).poll_read(cx, buf);
        let bytes = &buf.filled()[before..];
        self.heard.follow(bytes);
        self.heard.ended.set(read.is_ready() && bytes.is_empty());
        read
    }
}

impl Line {
    fn note(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(1..)) => self.heard.wrote.set(true),
            Poll::Ready(Err(_)) => self.heard.unwritten.set(true),
            _ => {}
        }
        written
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write(cx, bytes);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write_vectored(cx, parts);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.wire.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.heard.flushed();
        Pin::new(&mut self.wire).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire).poll_shutdown(cx)
    }
}

/// A connection. Dropped, it is closed, whatever is still out on it.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub address: SocketAddr,
    pub stream: SharedStream,
    heard: Rc<Heard>,
    task: AbortHandle,
    pub idle_since: Instant,
}

impl Connection {
    /// Whether a request may go on it. A byte that waits belongs to no answer that is owed: the next call's
    /// answer would be taken from it. A request on a connection that has ended would be lost.
    pub fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.stream.unread() == Unread::Nothing
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
pub async fn connect(at: SocketAddr) -> io::Result<Connection> {
    wrap_stream(TcpStream::connect(at).await?, at, Instant::now()).await
}

/// Takes a connection that is open, and idle since then.
pub async fn wrap_stream(stream: TcpStream, at: SocketAddr, idle_since: Instant) -> io::Result<Connection> {
    let wire = SharedStream::new(stream)?;
    let heard = Rc::new(Heard::default());
    let line = Line { wire: wire.clone(), heard: heard.clone() };
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).max_headers(HEADERS_MOST);
    let (sender, connection) = builder.handshake(TokioIo::new(line)).await.map_err(io::Error::other)?;
    let task = spawn_local(async {
        // Its end shows at the sender; there is nothing more to tell.
        let _ = connection.await;
    });
    Ok(Connection { sender, address: at, stream: wire, heard, task: task.abort_handle(), idle_since })
}

/// The idle connections, by endpoint and not by address: that may be another endpoint's by now. The one used
/// last is the last.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<EndpointId, Vec<Connection>>>,
}

impl ConnectionPool {
    fn reuse(&self, endpoint: EndpointId, at: SocketAddr, keepalive: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&endpoint)?;
        loop {
            let link = links.pop()?;
            if link.address == at && link.idle_since.elapsed() < keepalive && link.is_reusable() {
                return Some(link);
            }
        }
    }

    /// Keeps a connection for later calls; false where it is not sound.
    fn put_back(&self, endpoint: EndpointId, mut link: Connection) -> bool {
        link.idle_since = Instant::now();
        self.add_idle(endpoint, link)
    }

    /// The same for one that has been idle.
    pub fn add_idle(&self, endpoint: EndpointId, link: Connection) -> bool {
        if !link.is_reusable() {
            return false;
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(link);
        true
    }

    /// Takes all out that may be used again.
    pub fn take_reusable(&self) -> Vec<(EndpointId, Connection)> {
        let idle = self.idle.take().into_iter().flat_map(|(endpoint, links)| {
            links.into_iter().filter(Connection::is_reusable).map(move |link| (endpoint, link))
        });
        idle.collect()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Drops connections that have been idle since `since` or before, after a call that has failed: each of
    /// them would cost one more.
    fn distrust(&self, endpoint: EndpointId, since: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&endpoint) {
            links.retain(|link| link.idle_since > since);
        }
    }

    /// Drops what has been idle for too long or is dead, and the oldest beyond `most`.
    pub fn sweep(&self, keepalive: Duration, most: usize) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|link| link.idle_since.elapsed() < keepalive && link.is_reusable());
        }
        let total: usize = idle.values().map(Vec::len).sum();
        for _ in most..total {
            let oldest = idle.values_mut().filter(|links| !links.is_empty());
            if let Some(links) = oldest.min_by_key(|links| links[0].idle_since) {
                links.remove(0);
            }
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

/// For how long an idle connection is used again.
pub fn idle_reuse_limit(node: &Node) -> Duration {
    node.config.settings.keepalive.map_or(Duration::MAX, |k| Duration::from_secs_f64(k * KEEPALIVE_SHARE))
}

/// A message in a call.
pub struct Item {
    pub number: u64,
    pub attempt: u32,
    pub handed: AcceptedMessage,
}

/// One call with one message or several.
pub struct Call {
    pub endpoint: EndpointId,
    pub at: SocketAddr,
    pub dest: u32,
    /// The endpoint's zone.
    pub zone: u16,
    pub items: Vec<Item>,
    pub timeout: Seconds,
}

/// How one message of a call fared.
#[derive(Debug, Deserialize, Serialize)]
pub struct MessageEnd {
    pub number: u64,
    pub attempt: u32,
    pub outcome: Outcome,
    /// Nothing more is owed for it.
    pub settled: bool,
}

/// How a call ended.
#[derive(Debug, Deserialize, Serialize)]
pub struct CallEnd {
    pub ends: Vec<MessageEnd>,
    pub retry_after: Option<Seconds>,
    pub rate_limit_report: Option<RateLimitReport>,
    /// Its connection had been idle.
    pub connection_reused: bool,
    /// Its connection is idle now.
    pub connection_kept: bool,
}

impl CallEnd {
    /// The end of a call that brought nothing that can be believed but what happened to it.
    pub fn without_report(ends: Vec<MessageEnd>, reused: bool) -> CallEnd {
        CallEnd {
            ends,
            retry_after: None,
            rate_limit_report: None,
            connection_reused: reused,
            connection_kept: false,
        }
    }
}

/// What became of the connections of a request.
#[derive(Default)]
struct Used {
    /// Its connection had been idle.
    reused: bool,
    /// It was not sent, and its connection is idle now.
    kept: bool,
}

/// Makes a call and waits for its end.
pub async fn call(node: &Node, call: &Call) -> CallEnd {
    let until = Instant::now() + Duration::from_secs_f64(call.timeout.clamp(0.0, 3600.0));
    let Call { endpoint, at, dest, ref items, .. } = *call;
    let open = || node.directory.borrow().may_receive(endpoint, at, dest);
    let mut used = Used::default();
    let answer = match request(call) {
        Ok(request) => {
            exchange(node, (endpoint, at), request, until, &open, (items, call.zone), &mut used).await
        }
        Err(error) => {
            log::info_limited(format_args!("call to {at}: cannot be written: {error}"));
            Err(Outcome::Error)
        }
    };
    let all = |outcome: Outcome, closed: bool| {
        let end =
            |item: &Item| MessageEnd { number: item.number, attempt: item.attempt, outcome, settled: closed };
        items.iter().map(end).collect::<Vec<_>>()
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(outcome) => {
            let Used { reused, kept } = used;
            return CallEnd { connection_kept: kept, ..CallEnd::without_report(all(outcome, false), reused) };
        }
    };
    let Some(body) = &answer.body else {
        // A first line with 200 is true of the one message that it answers; of several it tells nothing, and
        // nothing else that stands in such an answer is believed.
        let one = answer.status == StatusCode::OK && items.len() == 1;
        let ends = all(if one { Outcome::Served } else { Outcome::MalformedResponse }, one);
        // A wait runs from when its answer is written; heeding one that was not meant costs time alone.
        return CallEnd { retry_after: wait(&answer.headers), ..CallEnd::without_report(ends, used.reused) };
    };
    let ends = match answer.status {
        StatusCode::OK if items.len() > 1 => many_ends(items, body),
        StatusCode::OK => all(Outcome::Served, true),
        StatusCode::SERVICE_UNAVAILABLE if answer.headers.get("X-Line-Busy").is_some_and(|v| v == "1") => {
            all(Outcome::NotSent, false)
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => all(Outcome::Overloaded, false),
        StatusCode::GATEWAY_TIMEOUT => all(Outcome::NotSent, false),
        StatusCode::GONE => all(Outcome::NotSent, true),
        StatusCode::INTERNAL_SERVER_ERROR => all(Outcome::Error, false),
        status @ (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE) => {
            log::info_limited(format_args!("call to {at}: {} messages answered {status}", items.len()));
            all(Outcome::InvalidRequest, false)
        }
        other => {
            log::info_limited(format_args!("call to {at}: answered {other}"));
            all(Outcome::Error, false)
        }
    };
    let allowance = node.config.report_fields.and_then(|fields| allowance(&answer.headers, fields));
    CallEnd {
        ends,
        retry_after: wait(&answer.headers),
        rate_limit_report: allowance,
        connection_reused: used.reused,
        connection_kept: answer.kept,
    }
}

/// Asks an endpoint whether it runs.
pub async fn probe(node: &Node, endpoint: EndpointId) -> (Outcome, Option<RateLimitReport>) {
    let Some(place) = node.directory.borrow().get(endpoint) else { return (Outcome::NotSent, None) };
    let until = Instant::now() + Duration::from_secs_f64(node.config.connect_timeout_seconds);
    let request =
        Request::get("/health/live").header("Host", place.address.to_string()).body(Full::default());
    let Ok(request) = request else { return (Outcome::NotSent, None) };
    let open = || node.directory.borrow().may_receive(endpoint, place.address, place.destination);
    let none = (&[][..], place.zone);
    match exchange(node, (endpoint, place.address), request, until, &open, none, &mut Used::default()).await {
        Err(outcome) => (outcome, None),
        Ok(answer) if answer.body.is_none() => (Outcome::MalformedResponse, None),
        Ok(answer) => {
            let told = node.config.report_fields.and_then(|fields| allowance(&answer.headers, fields));
            if let Some(wait) = wait(&answer.headers) {
                node.send_event(Event::RetryAfter { endpoint, delay: wait });
            }
            match answer.status {
                StatusCode::OK => (Outcome::Served, told),
                StatusCode::SERVICE_UNAVAILABLE => (Outcome::Overloaded, told),
                _ => (Outcome::Error, told),
            }
        }
    }
}

/// An answer of which the first line could be read.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    /// None where the answer is spoilt: not whole, too long or not to be read.
    body: Option<Bytes>,
    /// Its connection is idle now.
    kept: bool,
}

/// One request and its answer. An error tells whether the request may have run. `messages`: those it carries; of
/// several the body of an answer with 200 tells something.
async fn exchange(
    node: &Node, (endpoint, at): (EndpointId, SocketAddr), mut request: Request<Full<Bytes>>, until: Instant,
    open: &dyn Fn() -> bool, (items, zone): (&[Item], u16), used: &mut Used,
) -> Result<Answer, Outcome> {
    let one = items.len() == 1;
    let messages: Vec<_> = items.iter().map(|item| MessageId(item.number)).collect();
    let mut recorded = false;
    loop {
        let mut link;
        (link, used.reused) = match node.pool.reuse(endpoint, at, idle_reuse_limit(node)) {
            Some(link) => (link, true),
            None => {
                let limit = Duration::from_secs_f64(node.config.connect_timeout_seconds);
                match timeout_at(until, timeout(limit, connect(at))).await {
                    Ok(Ok(Ok(link))) => (link, false),
                    // Nothing was sent: a connection that does not come up in time is no time-out.
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
        };
        match timeout_at(until, link.sender.ready()).await {
            Ok(Ok(())) => {}
            _ if used.reused => continue,
            _ => return Err(Outcome::ConnectFailed),
        }
        // Connecting takes time: what is drained or gone by now gets nothing new, and no more does a process begin
        // that hands over.
        if !open() || node.serving_state.phase() != Phase::Serving {
            return Err(Outcome::NotSent);
        }
        // The decisions may have learned meanwhile what forbids it. The connection is as good as new.
        if !node.dispatcher.borrow().may_start_call(node.now(), endpoint, &messages) {
            used.kept = node.pool.put_back(endpoint, link);
            return Err(Outcome::NotSent);
        }
        if !std::mem::replace(&mut recorded, true)
            && let Err(outcome) = node.record_call_start(items, zone)
        {
            used.kept = node.pool.put_back(endpoint, link);
            return Err(outcome);
        }
        let sent_at = Instant::now();
        link.heard.clear();
        link.heard
            .relays
            .replace((!messages.is_empty()).then(|| (node.metrics.clone(), messages.len() as u64)));
        let heard = link.heard.clone();
        let mut sent = pin!(link.sender.try_send_request(request));
        let answer = loop {
            tokio::select! {
                answer = sent.as_mut() => break Ok(answer),
                // The time of an answer that has begun is short.
                () = heard.first.notified() => {}
                // After a stall of this process the time is up before anything was read: what came meanwhile
                // is no time-out.
                () = sleep_until(heard.until(until, one)) => break timeout(LATE_READ, sent).await,
            }
        };
        let outcome = match answer {
            Ok(Ok(answer)) => return Ok(rest(node, endpoint, link, answer, until, messages.len() > 1).await),
            Ok(Err(mut error)) => match error.take_message() {
                // An idle connection that was closed meanwhile: no byte was written, so this is no resend.
                Some(unsent) if used.reused => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Err(Outcome::ConnectFailed),
                // It broke before the last byte was written: an endpoint begins a call only then.
                None if heard.unwritten.get() => Outcome::ConnectFailed,
                None => Outcome::ConnectionReset,
            },
            Err(_) => Outcome::TimedOut,
        };
        // hyper tells only that no answer could be read; what came of it tells more.
        let (status, begun) = (heard.head.borrow().status(), heard.first_at.get().is_some());
        if status == Some(StatusCode::OK) {
            return Ok(Answer { status: StatusCode::OK, headers: HeaderMap::new(), body: None, kept: false });
        }
        // A process that dies while it answers leaves half an answer, too, but its connection ends.
        if begun && !heard.ended.get() {
            return Err(Outcome::MalformedResponse);
        }
        // A machine that vanished leaves all connections open and silent; one that closes those that are idle
        // closes the older ones first.
        let since = if outcome == Outcome::TimedOut { sent_at } else { link.idle_since };
        node.pool.distrust(endpoint, since);
        return Err(outcome);
    }
}

/// Reads the rest of an answer; the connection is kept if it is whole. It is waited for no longer than the call is: the
/// ends of its messages are due.
async fn rest(
    node: &Node, endpoint: EndpointId, link: Connection, answer: Response<Incoming>, until: Instant,
    told: bool,
) -> Answer {
    let (head, body) = answer.into_parts();
    // Where the head tells all, a body that did not come with it is not worth a slot.
    let limit = if told || head.status != StatusCode::OK { REST_OF_ANSWER } else { LATE_READ };
    let now = Instant::now();
    let until = (now + limit).min(until.max(now + LATE_READ));
    let mut collected = pin!(Limited::new(body, ANSWER_MOST).collect());
    let mut body = timeout_at(until.min(now + LATE_READ), collected.as_mut()).await;
    if body.is_err() {
        // A wait runs from when it was written, and the rest may take its time.
        if let Some(wait) = wait(&head.headers) {
            node.send_event(Event::RetryAfter { endpoint, delay: wait });
        }
        body = timeout_at(until, collected).await;
    }
    let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
    // What has left the list meanwhile gets nothing more.
    let listed = node.directory.borrow().ready_address(endpoint) == Some(link.address);
    let kept = body.is_some() && listed && node.pool.put_back(endpoint, link);
    Answer { status: head.status, headers: head.headers, body, kept }
}

fn request(call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let wait_ms = (call.timeout * 1000.0).ceil() as u64;
    let head = |path: &str| {
        let host = call.at.to_string();
        Request::post(path).header("Host", host).header("Request-Timeout-Ms", wait_ms)
    };
    if let [item] = &call.items[..] {
        let mut head = head("/receive").header("Request-Id", &item.handed.id);
        if let Some(key) = &item.handed.key {
            head = head.header("Idempotency-Key", key);
        }
        return head.body(Full::new(item.handed.body.clone()));
    }
    let mut body = Vec::new();
    for Item { handed, .. } in &call.items {
        let key = handed.key.as_deref().unwrap_or("-");
        body.extend_from_slice(format!("{} {key} {}\r\n", handed.id, handed.body.len()).as_bytes());
        body.extend_from_slice(&handed.body);
        body.extend_from_slice(b"\r\n");
    }
    head("/receive-many").body(Full::new(body.into()))
}

/// The ends of the messages of one call. One that is not told may have run.
fn many_ends(items: &[Item], body: &[u8]) -> Vec<MessageEnd> {
    let text = String::from_utf8_lossy(body);
    let told: HashMap<&str, &str> = text.lines().filter_map(|line| line.trim().split_once(' ')).collect();
    let end = |item: &Item| {
        let (outcome, closed) = match told.get(&*item.handed.id).map(|word| word.trim()) {
            Some("delivered") => (Outcome::Served, true),
            Some("failed") => (Outcome::Error, false),
            Some("refused") => (Outcome::Overloaded, false),
            Some("over") => (Outcome::NotSent, true),
            Some("spent") => (Outcome::NotSent, false),
            _ => (Outcome::ConnectionReset, false),
        };
        MessageEnd { number: item.number, attempt: item.attempt, outcome, settled: closed }
    };
    let mut ends: Vec<MessageEnd> = items.iter().map(end).collect();
    // The end that comes last stands for the call: what was not sent tells nothing, a refusal most.
    ends.sort_by_key(|end| match end.outcome {
        Outcome::NotSent => 0,
        Outcome::Served => 1,
        Outcome::Overloaded => 3,
        _ => 2,
    });
    ends
}

fn wait(headers: &HeaderMap) -> Option<Seconds> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds).filter(|s| s.is_finite() && *s > 0.0)
}

fn allowance(headers: &HeaderMap, (rate, left): (&str, Option<&str>)) -> Option<RateLimitReport> {
    let report: serde_json::Value = serde_json::from_slice(headers.get("Server-Load")?.as_bytes()).ok()?;
    let rate = report.get(rate)?.as_f64().filter(|rate| rate.is_finite() && *rate >= 0.0)?;
    let left = left.and_then(|left| report.get(left)?.as_f64()).filter(|left| left.is_finite());
    Some(RateLimitReport { rate, remaining_share: left.map(|left| left.clamp(0.0, 1.0)) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use socket2::SockRef;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    #[tokio::test]
    async fn a_write_that_fails_is_known() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let wire = SharedStream::new(stream).unwrap();
        let heard = Rc::new(Heard::default());
        let mut line = Line { wire: wire.clone(), heard: heard.clone() };
        let (peer, _) = listener.accept().await.unwrap();
        line.write_all(b"first").await.unwrap();
        assert!(!heard.unwritten.get());
        // Closed so, the peer resets the connection.
        SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        drop(peer);
        while wire.unread() != Unread::Closed {
            tokio::task::yield_now().await;
        }
        // The first write after it may only bring the fault that is kept at the socket.
        line.write_all(b"second").await.unwrap_err();
        assert!(heard.unwritten.get());
        heard.clear();
        assert!(!heard.unwritten.get());
    }
}
