//! Clients: takes messages on, once they stand in the journal, and answers.

use crate::journal::{Handed, UnixMicros};
use crate::{Input, Node, unix_now};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use waydoor::{DestinationId, Effect};

/// The protocol's limit of a body.
const BODY_MOST: usize = 64 * 1024;
/// A body that is too long is read so far, or the client would not hear the answer.
const DISCARD_MOST: usize = 1 << 20;
/// A client that has not sent its request by then never will: it waits 400 ms for the answer.
const BODY_TIME: Duration = Duration::from_secs(5);
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Longest id or key.
const TOKEN_MOST: usize = 256;
/// Share of the descriptors that clients' connections may take.
const CLIENT_SHARE: usize = 2;

/// Accepts clients for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(node.clone(), stream));
            }
            Err(error) => {
                // Out of descriptors, most likely: those that are there go on.
                println!("accept: {error}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    // Without it an answer may wait for an acknowledgement; a failure here shows at the first read.
    let _ = stream.set_nodelay(true);
    let unheard = Rc::new(Cell::new(None));
    let io = Line { stream, unheard: unheard.clone(), node: node.clone() };
    node.clients.set(node.clients.get() + 1);
    let service = service_fn(|request| answer(node.clone(), unheard.clone(), request));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME);
    let mut served = pin!(server.serve_connection(TokioIo::new(io), service));
    tokio::select! {
        // A client that breaks off is its own affair.
        _ = served.as_mut() => {}
        () = node.stopping.notified() => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
    node.clients.set(node.clients.get() - 1);
    if let Some(number) = unheard.take() {
        withdraw(&node, number);
    }
}

/// The client was gone before it could hear that its message was taken: nothing is owed.
fn withdraw(node: &Node, number: u64) {
    node.unheard.borrow_mut().remove(&number);
    node.record(node.journal.borrow_mut().over(number));
}

/// A client's connection. A message counts as taken from the first byte of its 202 on.
struct Line {
    stream: TcpStream,
    /// The message whose 202 is to be written.
    unheard: Rc<Cell<Option<u64>>>,
    node: Rc<Node>,
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.unheard.get().is_some() {
            // A client that closed while this process was stalled has handed the message in elsewhere. The
            // socket itself is asked: the runtime may not have heard of the end yet.
            let mut byte = [std::mem::MaybeUninit::uninit()];
            if matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(0)) {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        if written > 0
            && let Some(number) = self.unheard.take()
        {
            self.node.unheard.borrow_mut().remove(&number);
            self.node.send(Input::Taken(number));
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type Answer = Response<Full<Bytes>>;

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

async fn answer(
    node: Rc<Node>, unheard: Rc<Cell<Option<u64>>>, request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let mut answer = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health/ready") if node.closing.get() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
        }
        (&Method::GET, "/health/ready" | "/health/live") => plain(StatusCode::OK, "ok\n"),
        (_, "/health/ready" | "/health/live") => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
        (method, path) => {
            match node.config.classes.iter().position(|class| path.strip_prefix('/') == Some(class)) {
                None => plain(StatusCode::NOT_FOUND, "no such path\n"),
                Some(_) if method != Method::POST => plain(StatusCode::METHOD_NOT_ALLOWED, "POST only\n"),
                Some(class) => hand_in(&node, &unheard, class, request).await,
            }
        }
    };
    // Connections end one by one while this process stops, or when they take up too many descriptors.
    let crowded = node.clients.get() > node.config.limits.sockets / CLIENT_SHARE;
    if node.closing.get() || crowded {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn hand_in(
    node: &Node, unheard: &Cell<Option<u64>>, class: usize, request: Request<Incoming>,
) -> Answer {
    let received = unix_now();
    let (head, body) = request.into_parts();
    let handed = match read_head(node, class, &head.headers, received) {
        Ok(handed) => handed,
        Err(problem) => return plain(StatusCode::BAD_REQUEST, format!("{problem}\n")),
    };
    let body = match timeout(BODY_TIME, read_body(body)).await {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB\n"),
        Ok(Err(error)) => return plain(StatusCode::BAD_REQUEST, format!("body: {error}\n")),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "body: too slow\n"),
    };
    let handed = Handed { body, ..handed };
    let dest = DestinationId(handed.dest);
    let mut journal = node.journal.borrow_mut();
    match journal.number(&handed.id) {
        // Still to be heard on another connection, which may yet fail.
        Some(number) if node.unheard.borrow().contains(&number) => return refuse(node, dest),
        // The same message once more: it is owed already.
        Some(_) => return plain(StatusCode::ACCEPTED, "taken\n"),
        None => {}
    }
    if journal.open_messages() >= node.config.settings.room {
        return refuse(node, dest);
    }
    match journal.take(&handed) {
        Ok(Some(number)) => {
            node.unheard.borrow_mut().insert(number);
            unheard.set(Some(number));
            plain(StatusCode::ACCEPTED, "taken\n")
        }
        Ok(None) => refuse(node, dest),
        Err(error) => {
            println!("journal: {error}");
            refuse(node, dest)
        }
    }
}

/// Handing it in again is harmless, and is worth a try when the decisions say so.
fn refuse(node: &Node, dest: DestinationId) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", node.come_back(dest))) {
        answer.headers_mut().insert(RETRY_AFTER, seconds);
    }
    answer
}

fn read_head(
    node: &Node, class: usize, headers: &HeaderMap, received: UnixMicros,
) -> Result<Handed, &'static str> {
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default().trim());
    // Ids and keys stand between blanks where a call holds several messages.
    let token = |text: &&str| {
        (1..=TOKEN_MOST).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic()) && *text != "-"
    };
    let name = &node.config.classes[class];
    if text("Request-Class") != Some(name) {
        return Err("Request-Class: must be the class in the path");
    }
    let id = text("Request-Id").filter(token).ok_or("Request-Id: missing or malformed")?;
    let keyed = matches!(node.config.settings.classes[class].effect, Effect::Keyed { .. });
    let key = match text("Idempotency-Key") {
        Some(key) => Some(Some(key).filter(token).ok_or("Idempotency-Key: malformed")?.to_string()),
        None if keyed => return Err("Idempotency-Key: missing"),
        None => None,
    };
    let span = text("Request-Timeout-Ms").and_then(|ms| ms.parse::<u32>().ok());
    let span = span.ok_or("Request-Timeout-Ms: whole milliseconds expected")?;
    let parts = text("X-Consignee").unwrap_or_default().split([',', ';', ' ']);
    let dest = parts.filter_map(|part| part.strip_prefix("dest=")).find_map(|dest| dest.parse().ok());
    Ok(Handed {
        id: id.into(),
        class: name.clone(),
        dest: dest.ok_or("X-Consignee: dest=NUMBER expected")?,
        taken: received,
        deadline: received + u64::from(span) * 1000,
        key,
        body: Bytes::new(),
    })
}

/// The body, or none if it is too long.
async fn read_body(mut body: Incoming) -> Result<Option<Bytes>, hyper::Error> {
    if body.size_hint().lower() > DISCARD_MOST as u64 {
        return Ok(None);
    }
    let (mut bytes, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        length += data.len();
        if length > DISCARD_MOST {
            return Ok(None);
        }
        if length <= BODY_MOST {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(Some(bytes).filter(|_| length <= BODY_MOST).map(Bytes::from))
}
