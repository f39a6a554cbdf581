//! Accepts client connections and limits their number.

use crate::client_connection::ClientConnection;
use crate::client_session::serve_connection;
use crate::stream::SharedStream;
use crate::{Node, log};
use rustix::io::Errno;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Delay before the next accept after one failed for lack of a resource.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Returns the memory of requests that others wait for, for as long as the process runs.
pub async fn reclaim_memory(node: Rc<Node>) {
    node.clients.reclaim_memory().await;
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
        node.clients.limit_idle(max_idle);
        match accepted {
            Ok(stream) => {
                // It counts from here on: more connections may be accepted before its task has run.
                let client = ClientConnection::new(stream, node.clients.idle_count());
                let (number, client) = node.clients.add(client);
                spawn_local(serve_connection(node.clone(), number, client, Vec::new()));
                node.clients.make_room(max_connections).await;
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

/// Takes over a client's connection from the previous process, which has read `partial_request` and has
/// waited `waited_ms` for the rest of that request.
pub fn adopt(
    node: &Rc<Node>, stream: TcpStream, partial_request: Vec<u8>, waited_ms: Option<u32>,
) -> io::Result<()> {
    let request_since = waited_ms.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms.into())));
    let stream = SharedStream::new(stream)?;
    let client = ClientConnection::adopted(stream, node.clients.idle_count(), request_since);
    let (number, client) = node.clients.add(client);
    spawn_local(serve_connection(node.clone(), number, client, partial_request));
    // The previous process had as many connections as are allowed, and this one may have accepted others already.
    if node.clients.count() > node.config.limits.max_clients() {
        node.clients.evict(Instant::now());
    }
    Ok(())
}
