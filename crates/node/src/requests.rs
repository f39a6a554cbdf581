//! Client requests: checks each submitted message, journals it and answers.

use crate::Node;
use crate::client_closes::CloseReason;
use crate::client_connection::ClientConnection;
use crate::log;
use crate::memory_plan::MESSAGE_OVERHEAD_BYTES;
use crate::serving::Phase;
use crate::size_limits::MAX_BODY_BYTES;
use crate::stream::Unread;
use fawnspoke_control::metrics;
use fawnspoke_journal::{AcceptedMessage, FinalOutcome, Journal, UnixMicros};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::convert::Infallible;
use waydoor::{DestinationId, Effect, Event, Message, MessageId, QuotaStatus};

/// Longest message id or idempotency key.
const MAX_TOKEN_LENGTH: usize = 256;

/// Closes a message whose client left before it was acknowledged: nothing is due for it.
pub fn withdraw_unacknowledged(node: &Node, number: u64) {
    node.unacknowledged.borrow_mut().remove(&number);
    node.observe_journal_write(node.journal.borrow_mut().close(number));
}

type TextResponse = Response<Full<Bytes>>;

fn respond(status: StatusCode, text: impl Into<Bytes>) -> TextResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Handles one request.
pub async fn handle_request(
    node: &Node, client: &ClientConnection, request: Request<Incoming>,
) -> Result<TextResponse, Infallible> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health/ready") if node.shutting_down.get() => {
            respond(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
        }
        (&Method::GET, "/health/ready" | "/health/live") => respond(StatusCode::OK, "ok\n"),
        (_, "/health/ready" | "/health/live") => respond(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
        (method, path) => {
            match node.config.classes.iter().position(|class| path.strip_prefix('/') == Some(class)) {
                None => respond(StatusCode::NOT_FOUND, "no such path\n"),
                Some(_) if method != Method::POST => respond(StatusCode::METHOD_NOT_ALLOWED, "POST only\n"),
                Some(class) => accept_message(node, client, class, request).await,
            }
        }
    };
    // Connections are closed one by one while this process shuts down. After an invalid request there
    // may be more input than its sender declared.
    if response.status().is_client_error() {
        node.clients.closes.add(CloseReason::InvalidRequest);
    }
    if node.shutting_down.get() || response.status().is_client_error() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn accept_message(
    node: &Node, client: &ClientConnection, class: usize, request: Request<Incoming>,
) -> TextResponse {
    let received_at = node.unix_now();
    let (head, body) = request.into_parts();
    // A request with two lengths can hide another one, since it is unknown which of them another reader
    // uses. hyper drops Content-Length if Transfer-Encoding is present.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return respond(StatusCode::LENGTH_REQUIRED, "Content-Length alone tells the length\n");
    }
    let tenant = head.headers.get("Tenant").and_then(|name| name.to_str().ok()).map(str::trim);
    let tenant = tenant.and_then(|name| node.tenant_index(name));
    let submission = match parse_head(node, class, &head.headers, received_at) {
        Ok(submission) => submission,
        Err(problem) => return respond(StatusCode::BAD_REQUEST, format!("{problem}\n")),
    };
    let length = match read_body(body).await {
        Ok(Some(length)) => length,
        Ok(None) => return respond(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB\n"),
        Err(error) => return respond(StatusCode::BAD_REQUEST, format!("body: {error}\n")),
    };
    // A hand-over may have begun while the body was read. If this process then owns the journal no more, the other one gets
    // the request.
    if node.serving_state.phase() != Phase::Serving {
        node.serving_state.wait_for(|phase| phase == Phase::Serving).await;
    }
    let trailing = client.trailing_input();
    let Some(body) = client.body(length).filter(|_| trailing != Unread::Bytes) else {
        return respond(StatusCode::BAD_REQUEST, "one request at a time, as long as it says\n");
    };
    let submission = AcceptedMessage { body, ..submission };
    let destination_id = DestinationId(submission.destination);
    // The client may have left, and then submitted the message elsewhere; if it still reads, it may
    // send it again.
    if trailing == Unread::Closed {
        return reject(node, class, destination_id);
    }
    // A destination that no list has named may be a mistake, or appear in a later list.
    if !node.dispatcher.borrow().is_listed(destination_id) {
        return reject(node, class, destination_id);
    }
    let mut journal = node.journal.borrow_mut();
    match journal.number_by_id(&submission.id) {
        // Not acknowledged yet on another connection, which may still fail.
        Some(number) if node.unacknowledged.borrow().contains(&number) => {
            return reject(node, class, destination_id);
        }
        // A repeat of a message that is accepted already.
        Some(number) if journal.get(number).is_some_and(|journaled| journaled.matches(&submission)) => {
            return respond(StatusCode::ACCEPTED, "taken\n");
        }
        // Another message under an id that is in use would never be delivered.
        Some(_) => return reject(node, class, destination_id),
        None => {}
    }
    // A repeat of a message that has ended.
    match journal.final_outcome_of(&submission) {
        // Nothing more is due, and it must not run again.
        Some(FinalOutcome::Delivered) => return respond(StatusCode::ACCEPTED, "taken\n"),
        // Delivered, as far as its response can be trusted, and its notice was sent in any case.
        Some(FinalOutcome::GivenUp) if node.unproven.has_ended(&submission.id) => {
            return respond(StatusCode::ACCEPTED, "taken\n");
        }
        Some(FinalOutcome::GivenUp) => return respond(StatusCode::CONFLICT, "it failed, and may have run\n"),
        Some(FinalOutcome::HandedBack) | None => {}
    }
    if journal.open_messages() >= node.config.settings.max_messages {
        return reject(node, class, destination_id);
    }
    let message_bytes = journal_memory(&journal) + memory_of(&submission);
    if message_bytes > node.config.limits.memory_plan().messages {
        log::info_limited(format_args!("message {}: rejected, no memory for it", submission.id));
        return reject(node, class, destination_id);
    }
    let now = node.now();
    let message = Message {
        id: MessageId(u64::MAX),
        class,
        destination: destination_id,
        deadline: node.to_monotonic(submission.deadline),
        key: None,
        tenant: tenant.unwrap_or(usize::MAX),
        over_quota: None,
    };
    if !node.dispatcher.borrow().can_accept(now, message) {
        return reject(node, class, destination_id);
    }
    let quota = tenant.and_then(|tenant| Some((tenant, node.dispatcher.borrow().quota_status(now, tenant)?)));
    let tenant_quota = quota.map(|(tenant, QuotaStatus { over, remaining })| {
        let remaining_thousandths = (remaining * 1000.0) as u32;
        (
            node.config.tenants[tenant].clone(),
            fawnspoke_journal::QuotaStatus { exceeded: over, remaining_thousandths },
        )
    });
    let submission = AcceptedMessage { tenant: tenant_quota, ..submission };
    match journal.accept(&submission) {
        Ok(Some(number)) => {
            node.observe_journal_write(Ok(()));
            if let Some((tenant, QuotaStatus { remaining, .. })) = quota {
                let event = Event::QuotaUpdate { tenant, remaining, at: now };
                node.dispatcher.borrow_mut().handle(now, event);
            }
            node.unacknowledged.borrow_mut().insert(number);
            client.unacknowledged.set(Some(number));
            respond(StatusCode::ACCEPTED, "taken\n")
        }
        Ok(None) => reject(node, class, destination_id),
        Err(error) => {
            node.observe_journal_write(Err(error));
            reject(node, class, destination_id)
        }
    }
}

/// Memory of the messages and notices that the journal holds, in bytes.
pub fn journal_memory(journal: &Journal) -> u64 {
    journal.live_bytes() + journal.entry_count() as u64 * MESSAGE_OVERHEAD_BYTES
}

/// Memory that a message takes once it is accepted, in bytes.
fn memory_of(message: &AcceptedMessage) -> u64 {
    message.body.len() as u64 + MESSAGE_OVERHEAD_BYTES
}

/// Rejects a message. Submitting it again is harmless; the response suggests when, as estimated by the
/// decision core.
fn reject(node: &Node, class: usize, destination_id: DestinationId) -> TextResponse {
    node.metrics.count_outcome(class, metrics::CountedOutcome::Throttled);
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", node.retry_after(destination_id))) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn parse_head(
    node: &Node, class: usize, headers: &HeaderMap, received_at: UnixMicros,
) -> Result<AcceptedMessage, &'static str> {
    // If a header is repeated, it is unknown which of its values is meant.
    let unique_headers =
        ["Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key", "X-Consignee", "Tenant"];
    if unique_headers.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands twice");
    }
    let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default().trim());
    // Ids and keys are separated by blanks in a call with several messages.
    let is_token = |text: &&str| {
        (1..=MAX_TOKEN_LENGTH).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_graphic())
            && *text != "-"
    };
    let class_name = &node.config.classes[class];
    if header("Request-Class") != Some(class_name) {
        return Err("Request-Class: must be the class in the path");
    }
    let id = header("Request-Id").filter(is_token).ok_or("Request-Id: missing or malformed")?;
    let settings = &node.config.settings.classes[class];
    let key = match header("Idempotency-Key") {
        Some(key) => Some(Some(key).filter(is_token).ok_or("Idempotency-Key: malformed")?.to_string()),
        None if matches!(settings.effect, Effect::Keyed { .. }) => return Err("Idempotency-Key: missing"),
        None => None,
    };
    let timeout_ms = header("Request-Timeout-Ms").and_then(|ms| ms.parse::<u32>().ok());
    let timeout_ms = timeout_ms.ok_or("Request-Timeout-Ms: whole milliseconds expected")?;
    // The limits are planned for messages that are queued no longer than their class allows.
    if f64::from(timeout_ms) > (settings.deadline * 1000.0).ceil() {
        return Err("Request-Timeout-Ms: longer than the class may take");
    }
    let parts = header("X-Consignee").unwrap_or_default().split([',', ';', ' ']);
    let destination =
        parts.filter_map(|part| part.strip_prefix("dest=")).find_map(|number| number.parse().ok());
    Ok(AcceptedMessage {
        id: id.into(),
        class: class_name.clone(),
        destination: destination.ok_or("X-Consignee: dest=NUMBER expected")?,
        accepted_at: received_at,
        deadline: received_at + u64::from(timeout_ms) * 1000,
        key,
        tenant: None,
        body: Bytes::new(),
    })
}

/// Reads to the end of the body, which the connection's buffer keeps. Returns its length, or `None`
/// if the declared one is too long: of such a request only the head is read.
async fn read_body(mut body: Incoming) -> Result<Option<usize>, hyper::Error> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Ok(None);
    }
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        length += data.len();
    }
    Ok(Some(length).filter(|_| length <= MAX_BODY_BYTES))
}
