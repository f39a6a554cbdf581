//! Calls and probes to endpoints over HTTP/1.1.
//!
//! A call carries one message (`/receive`) or a batch (`/receive-many`). [`perform`] always returns a [`CallEnd`] with
//! the outcome for each message. Above all the outcome says whether the message may have run at the endpoint, since
//! that decides whether it may be sent again.

use crate::call::{Call, CallMessage};
use crate::call_results::{CallResponse, CallResult, MessageEnd, Resolution, ResponseBody};
use crate::connection::{self, Connection, RESPONSE_COMPLETION_TIMEOUT, ResponseMonitor};
use crate::connection_pool::idle_reuse_limit;
use crate::serving::Phase;
use crate::{Node, log};
use fawnspoke_pairing::ResponseProof;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use waydoor::{EndpointId, Event, MessageId, Outcome, RateLimitReport, Seconds};

/// Longest response body that is read. Only the results of a batch are kept of it.
const MAX_RESPONSE_BYTES: usize = 128 * 1024;
/// Longest line with the result of one message of a batch: its id, a word and the line's end.
const MAX_RESULT_LINE_BYTES: usize = 512;
/// Time to read bytes that have already arrived.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_millis(5);

/// How a call ended.
#[derive(Debug, Deserialize, Serialize)]
pub struct CallEnd {
    /// How the call ended for each of its messages; the last one represents the whole call.
    pub message_ends: Vec<MessageEnd>,
    pub retry_after: Option<Seconds>,
    pub rate_limit_report: Option<RateLimitReport>,
    /// The call used a connection from the pool.
    pub connection_reused: bool,
    /// The connection went back to the pool.
    pub connection_kept: bool,
    /// The connection, if the request was sent by this process.
    #[serde(skip)]
    pub monitor: Option<Rc<ResponseMonitor>>,
    /// When the response was due at the latest.
    #[serde(skip)]
    pub due_at: Option<std::time::Instant>,
}

impl CallEnd {
    /// The end of a call whose response, if any, gives no usable information beyond the outcome.
    pub fn without_report(message_ends: Vec<MessageEnd>, connection_reused: bool) -> CallEnd {
        CallEnd {
            message_ends,
            retry_after: None,
            rate_limit_report: None,
            connection_reused,
            connection_kept: false,
            monitor: None,
            due_at: None,
        }
    }
}

/// How [`exchange`] used the pool.
#[derive(Default)]
pub struct PoolUse {
    /// The connection came from the pool.
    connection_reused: bool,
    /// The request was not sent, and its connection went back to the pool.
    connection_kept: bool,
    /// The connection on which the request was sent.
    monitor: Option<Rc<ResponseMonitor>>,
}

impl PoolUse {
    /// Whether a response to the call has arrived that ends its message, if it is its own. To be asked once the call has
    /// ended: then everything that arrived was read.
    pub fn may_have_ended_message(&self) -> bool {
        self.monitor.as_ref().is_some_and(|monitor| monitor.pairing.borrow().may_have_ended_last_request())
    }
}

/// Makes a call and waits for its end.
pub async fn perform(node: &Node, call: &Call, pool_use: &mut PoolUse) -> CallEnd {
    let deadline = Instant::now() + Duration::from_secs_f64(call.timeout.clamp(0.0, 3600.0));
    let Call { endpoint, address, destination, zone, ref messages, carries_unsafe, .. } = *call;
    let is_open = || node.directory.borrow().may_receive(endpoint, address, destination);
    let response = match build_request(call) {
        Ok(request) => {
            exchange(
                node,
                (endpoint, address),
                request,
                deadline,
                &is_open,
                &RequestContent { messages, zone, needs_new_connection: carries_unsafe },
                pool_use,
            )
            .await
        }
        Err(error) => {
            log::info_limited(format_args!("call to {address}: cannot build the request: {error}"));
            Err(Outcome::Error)
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(outcome) => {
            let PoolUse { connection_reused, connection_kept, .. } = *pool_use;
            let open = |message: &CallMessage| MessageEnd::open(message.number, message.attempt, outcome);
            let message_ends = messages.iter().map(open).collect();
            return CallEnd { connection_kept, ..CallEnd::without_report(message_ends, connection_reused) };
        }
    };
    let monitor = pool_use.monitor.clone();
    let proof = monitor.as_ref().map_or(ResponseProof::MayHaveRun, |monitor| monitor.proof(response.status));
    let CallResult { message_ends, is_ambiguous } = CallResponse {
        status: response.status,
        is_line_busy: response.headers.get("X-Line-Busy").is_some_and(|value| value == "1"),
        body: response.body.as_deref(),
        proof,
    }
    .interpret(messages);
    if let Some(monitor) = monitor.iter().find(|_| is_ambiguous) {
        monitor.pairing.borrow_mut().mark_foreign();
        // The call may still be open there, and a retry must not be a second attempt beside it.
        node.pool.close_out_of_step();
    }
    log_unexpected_status(call, response.status);
    let description = monitor.as_ref().map_or_else(String::new, |monitor| monitor.describe_request());
    record_refusals_to_run(node, call, &message_ends, (response.status, &description));
    // Of a malformed response the wait alone is used: honouring one that was not meant only delays messages.
    let report_fields = node.config.report_fields.filter(|_| response.body.is_whole());
    let rate_limit_report =
        report_fields.and_then(|fields| parse_rate_limit_report(&response.headers, fields));
    CallEnd {
        message_ends,
        retry_after: parse_retry_after(&response.headers),
        rate_limit_report,
        connection_reused: pool_use.connection_reused,
        connection_kept: response.connection_kept,
        monitor,
        due_at: Some(deadline.into_std()),
    }
}

/// Logs a status that the protocol does not have, or that rejects the request as invalid.
fn log_unexpected_status(call: &Call, status: StatusCode) {
    match status {
        StatusCode::OK
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::GATEWAY_TIMEOUT
        | StatusCode::GONE
        | StatusCode::INTERNAL_SERVER_ERROR => {}
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => log::info_limited(format_args!(
            "call to {}: endpoint rejected {} messages with {status}",
            call.address,
            call.messages.len()
        )),
        other => log::info_limited(format_args!("call to {}: unexpected status {other}", call.address)),
    }
}

/// Logs and counts the messages that the endpoint refused to run because they are over or have used up their attempts, and
/// whether each is sent again.
fn record_refusals_to_run(
    node: &Node, call: &Call, message_ends: &[MessageEnd], (status, request): (StatusCode, &str),
) {
    // An endpoint without a free slot refuses messages that have not ended.
    let is_line_busy = status == StatusCode::SERVICE_UNAVAILABLE;
    let is_ended = |end: &&MessageEnd| matches!(end.outcome, Outcome::NotSent | Outcome::AttemptsExhausted);
    for end in message_ends.iter().filter(is_ended).filter(|_| !is_line_busy) {
        let id = call.messages.iter().find(|message| message.number == end.number);
        let id = id.map_or("", |message| &*message.content.id);
        let next = match end.resolution {
            Resolution::Settled => "closed",
            Resolution::Open => "to be ended by a notice",
            _ => "ended by a notice, since the response may belong to an earlier request",
        };
        log::info_limited(format_args!(
            "message {id}: attempt {} refused as ended ({status}) on {request}: {next}",
            end.attempt
        ));
        node.traffic.update(call.destination, |counters| counters.refused_as_ended += 1);
    }
}

/// Sends a health check request to an endpoint.
pub async fn probe(node: &Node, endpoint: EndpointId) -> (Outcome, Option<RateLimitReport>) {
    let Some(listed) = node.directory.borrow().get(endpoint) else { return (Outcome::NotSent, None) };
    let deadline = Instant::now() + Duration::from_secs_f64(node.config.connect_timeout_seconds);
    let request =
        Request::get("/health/live").header("Host", listed.address.to_string()).body(Full::default());
    let Ok(request) = request else { return (Outcome::NotSent, None) };
    let is_open = || node.directory.borrow().may_receive(endpoint, listed.address, listed.destination);
    let content = RequestContent { messages: &[], zone: listed.zone, needs_new_connection: true };
    match exchange(
        node,
        (endpoint, listed.address),
        request,
        deadline,
        &is_open,
        &content,
        &mut PoolUse::default(),
    )
    .await
    {
        Err(outcome) => (outcome, None),
        Ok(response) if !response.body.is_whole() => (Outcome::MalformedResponse, None),
        Ok(response) => {
            let report = node
                .config
                .report_fields
                .and_then(|fields| parse_rate_limit_report(&response.headers, fields));
            if let Some(delay) = parse_retry_after(&response.headers) {
                node.send_event(Event::RetryAfter { endpoint, delay });
            }
            match response.status {
                StatusCode::OK => (Outcome::Served, report),
                StatusCode::SERVICE_UNAVAILABLE => (Outcome::Overloaded, report),
                _ => (Outcome::Error, report),
            }
        }
    }
}

/// A response whose status line could be parsed.
struct EndpointResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody<Vec<u8>>,
    /// The connection went back to the pool.
    connection_kept: bool,
}

/// What a request carries.
struct RequestContent<'a> {
    /// None for a probe.
    messages: &'a [CallMessage],
    /// The endpoint's zone.
    zone: u16,
    /// The response must be the first one on its connection, so that no copy of an earlier one is taken for it.
    needs_new_connection: bool,
}

/// Sends a request over a pooled or a new connection and reads the response. The outcome in an error says whether the
/// request may have run. The start of the messages is journaled before the first byte is sent. `is_open`: whether the
/// endpoint may still get requests.
async fn exchange(
    node: &Node, (endpoint, address): (EndpointId, SocketAddr), mut request: Request<Full<Bytes>>,
    deadline: Instant, is_open: &dyn Fn() -> bool, content: &RequestContent<'_>, pool_use: &mut PoolUse,
) -> Result<EndpointResponse, Outcome> {
    let RequestContent { messages, zone, needs_new_connection } = *content;
    let is_single = messages.len() == 1;
    let ids: Vec<_> = messages.iter().map(|message| MessageId(message.number)).collect();
    let mut start_recorded = false;
    loop {
        let mut conn;
        (conn, pool_use.connection_reused) = match checkout(node, endpoint, address, needs_new_connection) {
            Some(conn) => (conn, true),
            None => {
                let connect_timeout = Duration::from_secs_f64(node.config.connect_timeout_seconds);
                match timeout_at(
                    deadline,
                    timeout(
                        connect_timeout,
                        connection::connect(address, Some(node.endpoint_connection(endpoint, address))),
                    ),
                )
                .await
                {
                    Ok(Ok(Ok(conn))) => (conn, false),
                    // Nothing was sent, so this is not the timeout of a call that may have run.
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
        };
        match timeout_at(deadline, conn.sender.ready()).await {
            Ok(Ok(())) => {}
            _ if pool_use.connection_reused => {
                node.pool.retire(conn);
                continue;
            }
            _ => return Err(Outcome::ConnectFailed),
        }
        // A response that precedes its request can't belong to it.
        if !conn.is_reusable() {
            if !pool_use.connection_reused {
                return Err(Outcome::ConnectFailed);
            }
            node.pool.retire(conn);
            continue;
        }
        // Connecting takes time. Meanwhile the endpoint may have begun draining or left the list, or this process may
        // have begun a handover.
        if !is_open() || node.serving_state.phase() != Phase::Serving {
            return Err(Outcome::NotSent);
        }
        // The decision core may have received events meanwhile that forbid the call. The connection is unused.
        if !node.dispatcher.borrow().may_start_call(node.now(), endpoint, &ids) {
            pool_use.connection_kept = node.pool.put_back(endpoint, conn);
            return Err(Outcome::NotSent);
        }
        if !std::mem::replace(&mut start_recorded, true)
            && let Err(outcome) = node.record_call_start(messages, zone)
        {
            pool_use.connection_kept = node.pool.put_back(endpoint, conn);
            return Err(outcome);
        }
        let sent_at = Instant::now();
        conn.monitor.begin_request();
        pool_use.monitor = Some(conn.monitor.clone());
        conn.monitor.relay_count.replace((!ids.is_empty()).then(|| (node.metrics.clone(), ids.len() as u64)));
        let monitor = conn.monitor.clone();
        let mut sending = pin!(conn.sender.try_send_request(request));
        let result = loop {
            tokio::select! {
                result = sending.as_mut() => break Ok(result),
                // The deadline of a response that has begun is earlier.
                () = monitor.first_byte.notified() => {}
                () = sleep_until(monitor.response_deadline(deadline, is_single)) => {
                    // What had begun was an interim response.
                    if Instant::now() < monitor.response_deadline(deadline, is_single) {
                        continue;
                    }
                    // If this process was stalled, a response may have arrived in time without being read yet: give
                    // it a moment before the call counts as timed out.
                    break timeout(BUFFERED_READ_TIMEOUT, sending).await
                }
            }
        };
        let outcome = match result {
            Ok(Ok(head)) => return Ok(read_body(node, endpoint, conn, head, deadline, ids.len()).await),
            Ok(Err(mut error)) => match error.take_message() {
                // The peer closed a pooled connection before a byte was written, so sending again is no repeat.
                Some(unsent) if pool_use.connection_reused => {
                    conn.monitor.cancel_request();
                    node.pool.retire(conn);
                    request = unsent;
                    continue;
                }
                Some(_) => return Err(Outcome::ConnectFailed),
                // The connection broke before the last byte was written, and endpoints start work only on a complete
                // request.
                None if monitor.write_failed.get() => Outcome::ConnectFailed,
                None => Outcome::ConnectionReset,
            },
            Err(_) => Outcome::TimedOut,
        };
        // hyper reports only that the response was unusable; the bytes that arrived show whether it had a status line.
        let (status, has_started) = (monitor.head.borrow().status(), monitor.first_byte_at.get().is_some());
        if let Some(status) = status.filter(|status| fawnspoke_pairing::ends_message(*status)) {
            return Ok(EndpointResponse {
                status,
                headers: HeaderMap::new(),
                body: ResponseBody::Partial(Vec::new()),
                connection_kept: false,
            });
        }
        // An endpoint that dies while responding also leaves a partial response, but then its connection closes.
        let is_endless = monitor.has_excess_interim();
        if has_started && !is_endless && !monitor.peer_closed.get() {
            return Err(Outcome::MalformedResponse);
        }
        // Counts as a failed connection: a retry at once would meet the same.
        if is_endless {
            log::info_limited(format_args!(
                "call to {address}: too many interim responses; connection closed"
            ));
        }
        // A host that vanished leaves all its connections open and silent. A host that closes idle connections closes
        // the oldest first, so only older ones are suspect.
        let since = if outcome == Outcome::TimedOut { sent_at } else { conn.idle_since };
        node.pool.drop_idle_since(endpoint, since);
        return Err(outcome);
    }
}

/// Takes an idle connection. If a new one is needed instead, closes a spare one to make room at the endpoint.
fn checkout(
    node: &Node, endpoint: EndpointId, address: SocketAddr, needs_new_connection: bool,
) -> Option<Connection> {
    if !node.pool.is_trusted(endpoint) {
        node.pool.close_idle(endpoint);
        return None;
    }
    if needs_new_connection {
        node.pool.close_spare(endpoint);
        return None;
    }
    node.pool.checkout(endpoint, address, idle_reuse_limit(node))
}

/// Reads the body of a response and returns the connection to the pool if the response is complete. Waits no longer
/// than the deadline of the call, when the outcomes of its messages are due. The body of a response with 200 has the
/// outcomes of a batch, if there are several messages.
async fn read_body(
    node: &Node, endpoint: EndpointId, connection: Connection, response: Response<Incoming>,
    deadline: Instant, message_count: usize,
) -> EndpointResponse {
    let body_reports = message_count > 1;
    let max_kept_bytes = if body_reports { message_count * MAX_RESULT_LINE_BYTES } else { 0 };
    let (head, body) = response.into_parts();
    // If the head ends the message, a body that did not arrive with it is not worth a slot, and the end is recorded before a
    // kill may come.
    let limit = if body_reports || !fawnspoke_pairing::ends_message(head.status) {
        RESPONSE_COMPLETION_TIMEOUT
    } else {
        BUFFERED_READ_TIMEOUT
    };
    let now = Instant::now();
    let deadline = (now + limit).min(deadline.max(now + BUFFERED_READ_TIMEOUT));
    let bytes = RefCell::default();
    let mut collected = pin!(collect_body(body, &bytes, max_kept_bytes));
    let mut completed = timeout_at(deadline.min(now + BUFFERED_READ_TIMEOUT), collected.as_mut()).await;
    if completed.is_err() {
        // Retry-After counts from when it was sent, so it is reported before the body is complete.
        if let Some(delay) = parse_retry_after(&head.headers) {
            node.send_event(Event::RetryAfter { endpoint, delay });
        }
        completed = timeout_at(deadline, collected).await;
    }
    let is_whole = completed.is_ok_and(|completed| completed);
    let body = if is_whole { ResponseBody::Whole } else { ResponseBody::Partial }(bytes.take());
    // The endpoint may have left the list meanwhile.
    let is_listed = node.directory.borrow().ready_address(endpoint) == Some(connection.address);
    // A rejection that may belong to an earlier request leaves the call possibly open. Closing its connection gives it
    // up, so that a retry is no second attempt beside it.
    let may_be_open = connection.monitor.proof(head.status) == ResponseProof::MayHaveRun;
    let connection_kept = is_whole && is_listed && !may_be_open && node.pool.put_back(endpoint, connection);
    EndpointResponse { status: head.status, headers: head.headers, body, connection_kept }
}

/// Reads a body, and keeps up to `max_kept_bytes` of it in `bytes`; whether it is complete and not too long.
async fn collect_body(mut body: Incoming, bytes: &RefCell<Vec<u8>>, max_kept_bytes: usize) -> bool {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > MAX_RESPONSE_BYTES || max_kept_bytes > 0 && length > max_kept_bytes {
            return false;
        }
        if max_kept_bytes > 0 {
            bytes.borrow_mut().extend_from_slice(&data);
        }
    }
    true
}

/// Builds the HTTP request of a call.
fn build_request(call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let timeout_ms = (call.timeout * 1000.0).ceil() as u64;
    let head = |path: &str| {
        let host = call.address.to_string();
        Request::post(path).header("Host", host).header("Request-Timeout-Ms", timeout_ms)
    };
    if let [message] = &call.messages[..] {
        let mut head = head("/receive").header("Request-Id", &message.content.id);
        if let Some(key) = &message.content.key {
            head = head.header("Idempotency-Key", key);
        }
        return head.body(Full::new(message.content.body.clone()));
    }
    let mut body = Vec::new();
    for CallMessage { content, .. } in &call.messages {
        let key = content.key.as_deref().unwrap_or("-");
        body.extend_from_slice(format!("{} {key} {}\r\n", content.id, content.body.len()).as_bytes());
        body.extend_from_slice(&content.body);
        body.extend_from_slice(b"\r\n");
    }
    head("/receive-many").body(Full::new(body.into()))
}

/// The Retry-After of a response, in seconds.
fn parse_retry_after(headers: &HeaderMap) -> Option<Seconds> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds).filter(|seconds| seconds.is_finite() && *seconds > 0.0)
}

/// The rate limit report in the Server-Load header, a JSON object. The names of its fields are configured; that of the
/// remaining share is optional.
fn parse_rate_limit_report(
    headers: &HeaderMap, (rate_field, remaining_field): (&str, Option<&str>),
) -> Option<RateLimitReport> {
    let report: serde_json::Value = serde_json::from_slice(headers.get("Server-Load")?.as_bytes()).ok()?;
    let rate = report.get(rate_field)?.as_f64().filter(|rate| rate.is_finite() && *rate >= 0.0)?;
    let remaining =
        remaining_field.and_then(|field| report.get(field)?.as_f64()).filter(|share| share.is_finite());
    Some(RateLimitReport { rate, remaining_share: remaining.map(|share| share.clamp(0.0, 1.0)) })
}
