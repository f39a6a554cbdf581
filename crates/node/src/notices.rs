//! Sends notices to the platform, which receives them at the address of its discovery service.

use crate::error::BoxError;
use crate::{Node, connection, log};
use fawnspoke_journal::Notice;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The platform's receiver of notices answers at once or is down.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A request with notices that is not answered within this time is repeated: a notice is overdue 0.3 s
/// after its message's deadline. Each failure doubles the time, up to `RESPONSE_TIMEOUT`. Repeated
/// notices do no harm.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Delay before notices that are not journaled yet are checked again.
const UNRECORDED_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_NOTICES_PER_REQUEST: usize = 64;
/// Longest body of a response to notices; it has none by the protocol.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Sends notices to the platform until it has acknowledged each.
pub async fn deliver_notices(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| delivery_loop(node.clone())).await;
}

async fn delivery_loop(node: Rc<Node>) {
    let mut address_changes = node.discovery_address.subscribe();
    let mut backoff = INITIAL_BACKOFF;
    let mut batch_limit = MAX_NOTICES_PER_REQUEST;
    let mut response_timeout = FIRST_RESPONSE_TIMEOUT;
    let mut has_failed = false;
    loop {
        let is_held = |number| node.unproven.contains(number);
        let due = node.journal.borrow().due_notices(node.unix_now(), batch_limit, is_held);
        if due.is_empty() {
            // A notice must be journaled before it is sent, so one that is not is checked again soon.
            let unrecorded = node.journal.borrow().pending_notices().any(|number| !is_held(number));
            if unrecorded {
                sleep(UNRECORDED_RETRY_DELAY).await;
            } else {
                node.notice_due.notified().await;
            }
            continue;
        }
        let address = *address_changes.borrow_and_update();
        let response = tokio::select! {
            response = post(address, &due, response_timeout) => response,
            // Notices that the old address has received already do no harm at the new one.
            _ = address_changes.changed() => {
                (backoff, response_timeout) = (INITIAL_BACKOFF, FIRST_RESPONSE_TIMEOUT);
                continue;
            }
        };
        match response {
            Ok(StatusCode::NO_CONTENT) => {
                has_failed = false;
                (backoff, batch_limit, response_timeout) =
                    (INITIAL_BACKOFF, MAX_NOTICES_PER_REQUEST, FIRST_RESPONSE_TIMEOUT);
                for (number, ..) in due {
                    node.observe_journal_write(node.journal.borrow_mut().close(number));
                }
                continue;
            }
            // A notice that cannot be parsed must not block the others.
            Ok(StatusCode::BAD_REQUEST) if due.len() > 1 => {
                batch_limit = 1;
                continue;
            }
            Ok(StatusCode::BAD_REQUEST) => {
                log::info_limited(format_args!(
                    "notice for {}: the platform cannot parse it; dropped",
                    due[0].1
                ));
                node.observe_journal_write(node.journal.borrow_mut().close(due[0].0));
                continue;
            }
            Ok(status) => log::info_limited(format_args!("notices: platform answered {status}")),
            Err(error) => {
                log::info_limited(format_args!("notices: {error}"));
                response_timeout = (response_timeout * 2).min(RESPONSE_TIMEOUT);
                // After a pause as well, the notices would be overdue.
                if !std::mem::replace(&mut has_failed, true) {
                    continue;
                }
            }
        }
        let _ = timeout(backoff, address_changes.wait_for(|current| *current != address)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Sends one request with notices. Its connection carries no other request: a late copy of an earlier response would
/// be taken for the acknowledgement.
async fn post(
    address: SocketAddr, notices: &[(u64, String, Notice)], response_timeout: Duration,
) -> Result<StatusCode, BoxError> {
    let mut lines = Vec::new();
    for (_, id, notice) in notices {
        let line = match notice {
            Notice::GivenUp => serde_json::json!({"message": id, "outcome": "given_up"}),
            Notice::HandedBack { retry_in_ms } => {
                serde_json::json!({"message": id, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
            }
        };
        serde_json::to_writer(&mut lines, &line)?;
        lines.push(b'\n');
    }
    let deadline = Instant::now() + response_timeout;
    let mut connection = timeout_at(deadline, connection::connect(address, None)).await??;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/status")
        .header("Host", address.to_string())
        .header("Connection", "close")
        .body(Full::new(Bytes::from(lines)))?;
    connection.monitor.begin_request();
    let response = timeout_at(deadline, connection.sender.send_request(request)).await??;
    let status = response.status();
    // A response that ends an acknowledgement has no body, and nothing of another one is used.
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    timeout_at(deadline, body.collect()).await?.map_err(|error| error.to_string())?;
    Ok(status)
}
