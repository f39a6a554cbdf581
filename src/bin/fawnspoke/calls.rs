//! Calls to endpoints, and the connections that they go over.

use crate::journal::Handed;
use crate::{Node, log};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};
use waydoor::{Allowance, EndpointId, Outcome, Seconds};

/// What is read of an answer: twice the longest body, since a call may hold several messages' ends.
const ANSWER_MOST: usize = 128 * 1024;
/// Share of the keep-alive time after which an idle connection is dropped: well before the endpoint does.
const KEEPALIVE_SHARE: f64 = 0.85;
/// After its first line an answer is there or will not come.
const REST_OF_ANSWER: Duration = Duration::from_secs(1);
/// What has arrived is read within this time.
const LATE_READ: Duration = Duration::from_millis(5);

/// A connection. Dropped, it is closed, whatever is still out on it.
pub struct Link {
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
pub async fn connect(at: SocketAddr) -> io::Result<Link> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let task = spawn_local(async {
        // Its end shows at the sender; there is nothing more to tell.
        let _ = connection.await;
    });
    Ok(Link { sender, task: task.abort_handle(), idle_since: Instant::now() })
}

/// The idle connections, by address; the one used last is the last.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
}

impl Pool {
    fn reuse(&self, at: SocketAddr, keepalive: Duration) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&at)?;
        // A request on a connection that the endpoint has closed, or is about to, would be lost.
        links.retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < keepalive);
        links.pop()
    }

    fn put_back(&self, at: SocketAddr, mut link: Link) {
        link.idle_since = Instant::now();
        self.idle.borrow_mut().entry(at).or_default().push(link);
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, at: SocketAddr) {
        self.idle.borrow_mut().remove(&at);
    }

    /// Drops connections that have been idle since before `since`, when a call went out that has failed. A
    /// machine that vanished leaves all of them open and silent: each would cost one more call.
    fn distrust(&self, at: SocketAddr, since: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&at) {
            links.retain(|link| link.idle_since > since);
        }
    }

    /// Drops what has been idle for too long or is dead, and the oldest beyond `most`.
    pub fn sweep(&self, keepalive: Duration, most: usize) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|link| !link.sender.is_closed() && link.idle_since.elapsed() < keepalive);
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
pub fn keepalive(node: &Node) -> Duration {
    node.config.settings.keepalive.map_or(Duration::MAX, |k| Duration::from_secs_f64(k * KEEPALIVE_SHARE))
}

/// A message in a call.
pub struct Item {
    pub number: u64,
    pub attempt: u32,
    pub handed: Handed,
}

/// One call with one message or several.
pub struct Call {
    pub endpoint: EndpointId,
    pub at: SocketAddr,
    pub dest: u32,
    pub items: Vec<Item>,
    pub timeout: Seconds,
}

/// How one message of a call fared.
pub struct End {
    pub number: u64,
    pub attempt: u32,
    pub outcome: Outcome,
    /// Nothing more is owed for it.
    pub closed: bool,
}

/// How a call ended.
pub struct CallEnd {
    pub ends: Vec<End>,
    pub wait: Option<Seconds>,
    pub allowance: Option<Allowance>,
}

/// Makes a call and waits for its end.
pub async fn call(node: &Node, call: &Call) -> CallEnd {
    let until = Instant::now() + Duration::from_secs_f64(call.timeout.clamp(0.0, 3600.0));
    let open = || node.directory.borrow().open(call.endpoint, call.dest);
    let answer = match request(call) {
        Ok(request) => exchange(node, call.at, request, until, &open).await,
        Err(error) => {
            log::line(format_args!("call to {}: cannot be written: {error}", call.at));
            Err(Outcome::Error)
        }
    };
    let all = |outcome: Outcome, closed: bool| {
        let end = |item: &Item| End { number: item.number, attempt: item.attempt, outcome, closed };
        call.items.iter().map(end).collect::<Vec<_>>()
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(outcome) => return CallEnd { ends: all(outcome, false), wait: None, allowance: None },
    };
    let ends = match answer.status {
        StatusCode::OK if call.items.len() > 1 => match answer.body {
            Some(body) => many_ends(&call.items, &body),
            // All may have run; which ones were delivered is not known.
            None => all(Outcome::Reset, false),
        },
        StatusCode::OK => all(Outcome::Served, true),
        StatusCode::SERVICE_UNAVAILABLE if answer.headers.get("X-Line-Busy").is_some_and(|v| v == "1") => {
            all(Outcome::Moot, false)
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => all(Outcome::Full, false),
        StatusCode::GATEWAY_TIMEOUT => all(Outcome::Moot, false),
        StatusCode::GONE => all(Outcome::Moot, true),
        StatusCode::INTERNAL_SERVER_ERROR => all(Outcome::Error, false),
        other => {
            log::line(format_args!("call to {}: answered {other}", call.at));
            all(Outcome::Error, false)
        }
    };
    let allowance = node.config.report_field.and_then(|field| allowance(&answer.headers, field));
    CallEnd { ends, wait: wait(&answer.headers), allowance }
}

/// Asks an endpoint whether it runs.
pub async fn probe(node: &Node, endpoint: EndpointId) -> (Outcome, Option<Allowance>) {
    let Some(place) = node.directory.borrow().place(endpoint) else { return (Outcome::Moot, None) };
    let until = Instant::now() + Duration::from_secs_f64(node.config.connect_timeout);
    let request = Request::get("/health/live").header("Host", place.dial.to_string()).body(Full::default());
    let Ok(request) = request else { return (Outcome::Moot, None) };
    let open = || node.directory.borrow().open(endpoint, place.dest);
    match exchange(node, place.dial, request, until, &open).await {
        Err(outcome) => (outcome, None),
        Ok(answer) => {
            let told = node.config.report_field.and_then(|field| allowance(&answer.headers, field));
            match answer.status {
                StatusCode::OK => (Outcome::Served, told),
                StatusCode::SERVICE_UNAVAILABLE => (Outcome::Full, told),
                _ => (Outcome::Error, told),
            }
        }
    }
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    /// None where it broke off or is too long.
    body: Option<Bytes>,
}

/// One request and its answer. An error tells whether the request may have run.
async fn exchange(
    node: &Node, at: SocketAddr, mut request: Request<Full<Bytes>>, until: Instant, open: &dyn Fn() -> bool,
) -> Result<Answer, Outcome> {
    loop {
        let (mut link, reused) = match node.pool.reuse(at, keepalive(node)) {
            Some(link) => (link, true),
            None => {
                let limit = Duration::from_secs_f64(node.config.connect_timeout);
                match timeout_at(until, timeout(limit, connect(at))).await {
                    Ok(Ok(Ok(link))) => (link, false),
                    // Nothing was sent: a connection that does not come up in time is no time-out.
                    _ => return Err(Outcome::NoConnection),
                }
            }
        };
        match timeout_at(until, link.sender.ready()).await {
            Ok(Ok(())) => {}
            _ if reused => continue,
            _ => return Err(Outcome::NoConnection),
        }
        // Connecting takes time: what is drained or gone by now gets nothing new.
        if !open() {
            node.pool.put_back(at, link);
            return Err(Outcome::Moot);
        }
        let sent_at = Instant::now();
        let mut sent = pin!(link.sender.try_send_request(request));
        let answer = match timeout_at(until, sent.as_mut()).await {
            // After a stall of this process the time is up before anything was read: what came meanwhile is
            // no time-out.
            Err(_) => timeout(LATE_READ, sent).await,
            answer => answer,
        };
        match answer {
            Ok(Ok(answer)) => return Ok(rest(node, at, link, answer, until).await),
            Ok(Err(mut error)) => match error.take_message() {
                // An idle connection that was closed meanwhile: no byte was written, so this is no resend.
                Some(unsent) if reused => request = unsent,
                Some(_) => return Err(Outcome::NoConnection),
                None => {
                    node.pool.distrust(at, sent_at);
                    return Err(Outcome::Reset);
                }
            },
            Err(_) => {
                node.pool.distrust(at, sent_at);
                return Err(Outcome::TimedOut);
            }
        }
    }
}

/// Reads the rest of an answer; the connection is kept if it is whole.
async fn rest(node: &Node, at: SocketAddr, link: Link, answer: Response<Incoming>, until: Instant) -> Answer {
    let (head, body) = answer.into_parts();
    let until = until.max(Instant::now() + REST_OF_ANSWER);
    let body = timeout_at(until, Limited::new(body, ANSWER_MOST).collect()).await;
    let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
    if body.is_some() && !link.sender.is_closed() {
        node.pool.put_back(at, link);
    }
    Answer { status: head.status, headers: head.headers, body }
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
fn many_ends(items: &[Item], body: &[u8]) -> Vec<End> {
    let text = String::from_utf8_lossy(body);
    let told: HashMap<&str, &str> = text.lines().filter_map(|line| line.trim().split_once(' ')).collect();
    let end = |item: &Item| {
        let (outcome, closed) = match told.get(&*item.handed.id).map(|word| word.trim()) {
            Some("delivered") => (Outcome::Served, true),
            Some("failed") => (Outcome::Error, false),
            Some("refused") => (Outcome::Full, false),
            Some("over") => (Outcome::Moot, true),
            Some("spent") => (Outcome::Moot, false),
            _ => (Outcome::Reset, false),
        };
        End { number: item.number, attempt: item.attempt, outcome, closed }
    };
    let mut ends: Vec<End> = items.iter().map(end).collect();
    // The end that comes last stands for the call: what was not sent tells nothing, a refusal most.
    ends.sort_by_key(|end| match end.outcome {
        Outcome::Moot => 0,
        Outcome::Served => 1,
        Outcome::Full => 3,
        _ => 2,
    });
    ends
}

fn wait(headers: &HeaderMap) -> Option<Seconds> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds).filter(|s| s.is_finite() && *s > 0.0)
}

fn allowance(headers: &HeaderMap, field: &str) -> Option<Allowance> {
    let report: serde_json::Value = serde_json::from_slice(headers.get("Server-Load")?.as_bytes()).ok()?;
    Some(Allowance { rate: report.get(field)?.as_f64()? })
}
