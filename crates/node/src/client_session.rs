//! Serves one client connection: reads a request to its end, answers it, and begins again.
//!
//! A request is collected in the connection's own buffer, within the memory that the connection may use. hyper gets it once it
//! is complete, so its buffers and the parsed head exist only while the response is made.

use crate::client_closes::CloseReason;
use crate::client_connection::ClientConnection;
use crate::inputs::Input;
use crate::serving::Phase;
use crate::size_limits::{MAX_HEAD_BYTES, MAX_REQUEST_BYTES, MAX_REQUEST_HEADERS};
use crate::stream::{SharedStream, Unread};
use crate::{Node, requests};
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::{Instant, sleep_until, timeout};

/// A request, head and body, must have arrived this long after its connection was opened or its
/// first byte came; later it is abandoned. Its client waits only 400 ms for the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to write a response. It fits into the socket's buffer, unless the client reads none of many responses.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// After the last response, input is still read for this long and up to this many bytes: closing a
/// socket with unread bytes resets the connection, and the client might never see the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Bytes that are read from a socket at a time.
const READ_BYTES: usize = 4096;

/// How a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// A request is complete.
    Respond,
    /// Another request may follow.
    Receive,
    /// The connection ends.
    End,
    /// Another process continues it.
    HandOver,
}

/// Serves one connection. `already_read`: what the previous process had read of it.
pub async fn serve_connection(
    node: Rc<Node>, number: u64, client: Rc<ClientConnection>, already_read: Vec<u8>,
) {
    if !already_read.is_empty() {
        client.receive(&already_read);
    }
    drop(already_read);
    tokio::select! {
        next = serve_requests(&node, &client) => match next {
            Next::HandOver => {
                if !client.is_closing() && let Some(transfer) = client.to_transfer() {
                    node.transfer(transfer);
                }
            }
            _ => finish(&client).await,
        },
        () = client.close_requested.notified() => {
            client.set_closed_between_requests(client.is_between_requests());
            finish(&client).await;
        }
    }
    node.clients.remove(number);
    if let Some(number) = client.unacknowledged.take() {
        requests::withdraw_unacknowledged(&node, number);
    }
}

/// Serves requests until the connection ends or another process continues it.
async fn serve_requests(node: &Rc<Node>, client: &Rc<ClientConnection>) -> Next {
    let mut next = Next::Receive;
    loop {
        next = match next {
            Next::Receive => receive_request(node, client).await,
            // Boxed, so that a connection that waits for a request does not hold the memory of hyper's state.
            Next::Respond => Box::pin(respond(node, client)).await,
            end => return end,
        };
    }
}

/// Reads until a request is complete.
async fn receive_request(node: &Node, client: &ClientConnection) -> Next {
    let mut stopping = node.close_clients.subscribe();
    loop {
        if client.request.borrow().complete_length().is_some() {
            return Next::Respond;
        }
        let request_since = client.request_since();
        let is_stoppable = client.is_idle() && client.stream.unread() != Unread::Bytes;
        tokio::select! {
            read = read_more(node, client) => {
                if !matches!(read, Ok(1..)) {
                    return Next::End;
                }
            }
            _ = node.serving_state.wait_for(|phase| phase == Phase::HandedOver) => return Next::HandOver,
            // This also completes if the shutdown began before. A connection on which a request is expected or in progress
            // gets a response that says that it is the last. The sender lives as long as the node.
            _ = stopping.wait_for(|stopping| *stopping), if is_stoppable => {
                // Closing it would lose a request that has not been read yet.
                if client.stream.unread() != Unread::Bytes {
                    client.set_closed_between_requests(true);
                    node.clients.closes.add(CloseReason::Stopping);
                    return Next::End;
                }
            }
            () = sleep_until(request_since.unwrap_or_else(Instant::now) + REQUEST_TIMEOUT), if request_since.is_some() => {
                node.clients.closes.add(CloseReason::RequestTimedOut);
                return Next::End;
            }
        }
    }
}

/// Reads some bytes of a request, once there is memory for them. Returns their number; zero at the end of the input.
async fn read_more(node: &Node, client: &ClientConnection) -> io::Result<usize> {
    let wanted = client.request.borrow().wanted_capacity();
    let lease_bytes = client.lease.borrow().bytes();
    client.set_waits_for_memory(true);
    let added = node.clients.memory.lease(lease_bytes, wanted).await;
    client.set_waits_for_memory(false);
    added.into_iter().for_each(|added| client.lease.borrow_mut().extend(added));
    poll_fn(|cx| poll_read(node, client, wanted, cx)).await
}

/// Reads into the buffer of the request, up to `capacity` bytes in all.
fn poll_read(
    node: &Node, client: &ClientConnection, capacity: usize, cx: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    // During a handover, input stays in the socket: the process that owns the connection afterwards
    // reads it.
    ready!(node.serving_state.poll_serving(cx));
    let mut bytes = [0; READ_BYTES];
    let room = capacity.saturating_sub(client.request.borrow().bytes().len()).min(READ_BYTES);
    let mut buffer = ReadBuf::new(&mut bytes[..room]);
    ready!(Pin::new(&mut client.stream.clone()).poll_read(cx, &mut buffer))?;
    if !buffer.filled().is_empty() {
        client.receive(buffer.filled());
    }
    Poll::Ready(Ok(buffer.filled().len()))
}

/// Answers the request that is complete.
async fn respond(node: &Rc<Node>, client: &Rc<ClientConnection>) -> Next {
    // It fails only once it is closed, which never happens.
    let _permit = node.clients.responses.acquire().await;
    client.begin_response();
    let stream = RequestStream { client: client.clone(), node: node.clone(), read_bytes: 0 };
    let service = service_fn(|request| async {
        let response = requests::handle_request(node, client, request).await;
        let is_last = response.as_ref().is_ok_and(|response| response.headers().contains_key(CONNECTION));
        client.request_answered(is_last);
        node.clients.connection_changed();
        response
    });
    let mut server = http1::Builder::new();
    // A client that closes its sending side after the request still receives the response.
    server.half_close(true);
    server.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_REQUEST_HEADERS).header_read_timeout(None);
    let mut connection = std::pin::pin!(server.serve_connection(TokioIo::new(stream), service));
    let served = poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(_) => Poll::Ready(Next::End),
        Poll::Pending if client.is_response_written() => Poll::Ready(Next::Receive),
        Poll::Pending => Poll::Pending,
    });
    let handed_over = async {
        node.serving_state.wait_for(|phase| phase == Phase::HandedOver).await;
        // The other process answers a request that this one has not answered.
        if client.is_answered() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        biased;
        served = timeout(RESPONSE_TIMEOUT, served) => match served {
            Ok(Next::Receive) => {
                client.finish_request();
                Next::Receive
            }
            Ok(end) => end,
            Err(_) => {
                node.clients.closes.add(CloseReason::ResponseTimedOut);
                Next::End
            }
        },
        () = handed_over => Next::HandOver,
    }
}

/// Ends a connection that is no longer served. What arrives after its last response is read, since
/// a reset would discard that response. If no response was written, nothing more is read: the reset
/// tells the client that it may send the request again. Of one that is closed for another client, only what has arrived
/// already is read.
async fn finish(client: &ClientConnection) {
    client.abandon_request();
    client.release_request();
    if client.is_evicted() {
        discard_arrived(&client.stream);
    } else if client.needs_linger() {
        // A client that breaks the connection affects only itself.
        let _ = timeout(LINGER_TIMEOUT, linger(client.stream.clone())).await;
    }
}

/// Reads what has arrived, without waiting for more.
fn discard_arrived(stream: &SharedStream) {
    let mut bytes = [0; READ_BYTES];
    let mut remaining = MAX_REQUEST_BYTES;
    while let Ok(length @ 1..) = stream.read_arrived(&mut bytes) {
        remaining = remaining.saturating_sub(length);
        if remaining == 0 {
            return;
        }
    }
}

/// Closes the sending side and reads until the client has closed.
async fn linger(mut stream: SharedStream) -> io::Result<()> {
    stream.shutdown().await?;
    let (mut bytes, mut remaining) = (vec![0; READ_BYTES], MAX_LINGER_BYTES);
    loop {
        let read = stream.read(&mut bytes).await?;
        if read == 0 || read > remaining {
            return Ok(());
        }
        remaining -= read;
    }
}

/// The stream that hyper reads and writes: it reads the request that is complete, and nothing beyond it. A message counts as
/// accepted from the first byte of its 202 response on.
struct RequestStream {
    client: Rc<ClientConnection>,
    node: Rc<Node>,
    /// How much of the request hyper has read.
    read_bytes: usize,
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.node.serving_state.poll_serving(cx));
        let request = self.client.request.borrow();
        let end = request.complete_length().unwrap_or(0);
        let rest = request.bytes().get(self.read_bytes..end).unwrap_or_default();
        if rest.is_empty() {
            return Poll::Pending;
        }
        let length = rest.len().min(buf.remaining());
        buf.put_slice(&rest[..length]);
        drop(request);
        self.read_bytes += length;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let client = &self.client;
        // A client that closed while this process was stalled has submitted the message elsewhere.
        if client.unacknowledged.get().is_some() && client.has_closed() {
            // It may have closed only its sending side, and still be reading.
            client.write_abandoned_response();
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = ready!(Pin::new(&mut client.stream.clone()).poll_write(cx, bytes))?;
        if written > 0 {
            client.response_started();
            if let Some(number) = client.unacknowledged.take() {
                self.node.unacknowledged.borrow_mut().remove(&number);
                self.node.send_input(Input::Accepted { number });
            }
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.client.stream.clone()).poll_flush(cx))?;
        self.client.output_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client.stream.clone()).poll_shutdown(cx)
    }
}
