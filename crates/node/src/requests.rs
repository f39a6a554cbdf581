//! Clients' requests: takes messages on, once they stand in the journal, and answers.

use crate::Node;
use crate::clients::Client;
use crate::size_limits::MAX_BODY_BYTES;
use crate::stream::Unread;
use fawnspoke_control::figures;
use fawnspoke_journal::{AcceptedMessage, FinalOutcome, UnixMicros};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::convert::Infallible;
use waydoor::{DestinationId, Effect, Event, Message, MessageId, QuotaStatus};

/// A body that is too long is read so far, or the client would not hear the answer.
const DISCARD_MOST: usize = 1 << 20;
/// Longest id or key.
const TOKEN_MOST: usize = 256;

/// The client was gone before it could hear that its message was taken: nothing is owed.
pub fn withdraw(node: &Node, number: u64) {
    node.unacknowledged.borrow_mut().remove(&number);
    node.observe_journal_write(node.journal.borrow_mut().close(number));
}

type Answer = Response<Full<Bytes>>;

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

/// The answer to a request.
pub async fn answer(node: &Node, client: &Client, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let mut answer = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health/ready") if node.shutting_down.get() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
        }
        (&Method::GET, "/health/ready" | "/health/live") => plain(StatusCode::OK, "ok\n"),
        (_, "/health/ready" | "/health/live") => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
        (method, path) => {
            match node.config.classes.iter().position(|class| path.strip_prefix('/') == Some(class)) {
                None => plain(StatusCode::NOT_FOUND, "no such path\n"),
                Some(_) if method != Method::POST => plain(StatusCode::METHOD_NOT_ALLOWED, "POST only\n"),
                Some(class) => hand_in(node, client, class, request).await,
            }
        }
    };
    // Connections end one by one while this process stops. Behind a request that was wrong may stand more
    // than its sender says.
    if node.shutting_down.get() || answer.status().is_client_error() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn hand_in(node: &Node, client: &Client, class: usize, request: Request<Incoming>) -> Answer {
    let received = node.unix_now();
    let (head, body) = request.into_parts();
    // With two lengths a request can hide another one; which of them another reader goes by is not known.
    // hyper tells of Content-Length no more once there is the other.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return plain(StatusCode::LENGTH_REQUIRED, "Content-Length alone tells the length\n");
    }
    let tenant = head.headers.get("Tenant").and_then(|name| name.to_str().ok()).map(str::trim);
    let tenant = tenant.and_then(|name| node.tenant_index(name));
    let handed = match read_head(node, class, &head.headers, received) {
        Ok(handed) => handed,
        Err(problem) => return plain(StatusCode::BAD_REQUEST, format!("{problem}\n")),
    };
    let length = match read_body(body).await {
        Ok(Some(length)) => length,
        Ok(None) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB\n"),
        Err(error) => return plain(StatusCode::BAD_REQUEST, format!("body: {error}\n")),
    };
    let behind = client.behind(length);
    let Some(body) = client.body(length).filter(|_| behind != Unread::Bytes) else {
        return plain(StatusCode::BAD_REQUEST, "one request at a time, as long as it says\n");
    };
    let handed = AcceptedMessage { body, ..handed };
    let dest = DestinationId(handed.destination);
    // It may have left, and then handed the message in elsewhere; if it listens still, it may come again.
    if behind == Unread::Closed {
        return refuse(node, class, dest);
    }
    // What no list has named may be a slip, or come with a later list.
    if !node.dispatcher.borrow().is_listed(dest) {
        return refuse(node, class, dest);
    }
    let mut journal = node.journal.borrow_mut();
    match journal.number_by_id(&handed.id) {
        // Still to be heard on another connection, which may yet fail.
        Some(number) if node.unacknowledged.borrow().contains(&number) => return refuse(node, class, dest),
        // The same message once more: it is owed already.
        Some(number) if journal.get(number).is_some_and(|kept| kept.matches(&handed)) => {
            return plain(StatusCode::ACCEPTED, "taken\n");
        }
        // Another one under an id that is in use would never be delivered.
        Some(_) => return refuse(node, class, dest),
        None => {}
    }
    // Once more after its end.
    match journal.final_outcome_of(&handed) {
        // Nothing more is owed, and it may not run again.
        Some(FinalOutcome::Delivered) => return plain(StatusCode::ACCEPTED, "taken\n"),
        Some(FinalOutcome::GivenUp) => return plain(StatusCode::CONFLICT, "it failed, and may have run\n"),
        Some(FinalOutcome::HandedBack) | None => {}
    }
    if journal.open_messages() >= node.config.settings.max_messages {
        return refuse(node, class, dest);
    }
    let now = node.now();
    let message = Message {
        id: MessageId(u64::MAX),
        class,
        destination: dest,
        deadline: node.to_monotonic(handed.deadline),
        key: None,
        tenant: tenant.unwrap_or(usize::MAX),
        over_quota: None,
    };
    if !node.dispatcher.borrow().can_accept(now, message) {
        return refuse(node, class, dest);
    }
    let share = tenant.and_then(|tenant| Some((tenant, node.dispatcher.borrow().quota_status(now, tenant)?)));
    let customer = share.map(|(tenant, QuotaStatus { over, remaining: left })| {
        let left = (left * 1000.0) as u32;
        (
            node.config.tenants[tenant].clone(),
            fawnspoke_journal::QuotaStatus { exceeded: over, remaining_thousandths: left },
        )
    });
    let handed = AcceptedMessage { tenant: customer, ..handed };
    match journal.accept(&handed) {
        Ok(Some(number)) => {
            node.observe_journal_write(Ok(()));
            if let Some((tenant, QuotaStatus { remaining: left, .. })) = share {
                let counted = Event::QuotaRecovered { tenant, remaining: left, at: now };
                node.dispatcher.borrow_mut().handle(now, counted);
            }
            node.unacknowledged.borrow_mut().insert(number);
            client.unheard.set(Some(number));
            plain(StatusCode::ACCEPTED, "taken\n")
        }
        Ok(None) => refuse(node, class, dest),
        Err(error) => {
            node.observe_journal_write(Err(error));
            refuse(node, class, dest)
        }
    }
}

/// Handing it in again is harmless, and is worth a try when the decisions say so.
fn refuse(node: &Node, class: usize, dest: DestinationId) -> Answer {
    node.metrics.ended(class, figures::End::Throttled);
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", node.retry_after(dest))) {
        answer.headers_mut().insert(RETRY_AFTER, seconds);
    }
    answer
}

fn read_head(
    node: &Node, class: usize, headers: &HeaderMap, received: UnixMicros,
) -> Result<AcceptedMessage, &'static str> {
    // Of a header that stands twice, nobody can say which one holds.
    let names =
        ["Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key", "X-Consignee", "Tenant"];
    if names.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands twice");
    }
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
    let known = &node.config.settings.classes[class];
    let key = match text("Idempotency-Key") {
        Some(key) => Some(Some(key).filter(token).ok_or("Idempotency-Key: malformed")?.to_string()),
        None if matches!(known.effect, Effect::Keyed { .. }) => return Err("Idempotency-Key: missing"),
        None => None,
    };
    let span = text("Request-Timeout-Ms").and_then(|ms| ms.parse::<u32>().ok());
    let span = span.ok_or("Request-Timeout-Ms: whole milliseconds expected")?;
    // It would be held for longer than anything that is planned for.
    if f64::from(span) > (known.deadline * 1000.0).ceil() {
        return Err("Request-Timeout-Ms: longer than the class may take");
    }
    let parts = text("X-Consignee").unwrap_or_default().split([',', ';', ' ']);
    let dest = parts.filter_map(|part| part.strip_prefix("dest=")).find_map(|dest| dest.parse().ok());
    Ok(AcceptedMessage {
        id: id.into(),
        class: name.clone(),
        destination: dest.ok_or("X-Consignee: dest=NUMBER expected")?,
        accepted_at: received,
        deadline: received + u64::from(span) * 1000,
        key,
        tenant: None,
        body: Bytes::new(),
    })
}

/// Reads to the end of the body, which the client's record keeps; its length, or none if it is too long.
async fn read_body(mut body: Incoming) -> Result<Option<usize>, hyper::Error> {
    if body.size_hint().lower() > DISCARD_MOST as u64 {
        return Ok(None);
    }
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        length += data.len();
        if length > DISCARD_MOST {
            return Ok(None);
        }
    }
    Ok(Some(length).filter(|_| length <= MAX_BODY_BYTES))
}
