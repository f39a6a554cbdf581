//! Receives the list of endpoints from the platform's discovery service.

use crate::connection;
use crate::directory::List;
use crate::json_stream::JsonValueStream;
use crate::{Node, control, log};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};
use waydoor::{DiscoveryMode, Event, Seconds};

/// A watch that is silent for more than two heartbeats is broken, even if its connection looks
/// intact.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4500);
/// Discovery, through the agent on this machine, answers at once or is down.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A discovery service that all dispatchers share works through their requests in turn. One that is given up early still
/// costs it its work, and is sent again; one that was lost is missed for as long.
const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A watch whose head has arrived brings what its source has to tell at once. If nothing has come after this time, there
/// is nothing.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of a drain's grace in which no call begins any more: the process may be held up between its decision and the first
/// byte.
const HOLD_MARGIN_SECONDS: Seconds = 0.25;
/// After SIGHUP a change that the new address has counts as told this much later.
const NEW_ADDRESS_SECONDS: Seconds = 4.0;

/// Applies a list in discovery's format.
///
/// # Errors
/// If it cannot be parsed; the current list then stays.
pub fn apply_list(node: &Node, value: &[u8]) -> Result<(), BoxError> {
    apply(node, parse_list(value)?);
    Ok(())
}

/// Applies a line of a watch, unless it is older than the one before: a late copy would undo what came since. Returns
/// the version of the watch.
fn apply_watch_line(node: &Node, value: &[u8], seq: u64) -> Result<u64, BoxError> {
    let list = parse_list(value)?;
    if list.seq < seq {
        log::info_limited(format_args!("discovery: ignored version {} after version {seq}", list.seq));
        return Ok(seq);
    }
    let seq = list.seq;
    apply(node, list);
    Ok(seq)
}

/// Reports that the list may be outdated: what its source has counts as told at `told_at`, whether or not it answers. A
/// list that is requested has another rule: its requests are repeated in time.
fn list_unconfirmed(node: &Node, told_at: Seconds) {
    if !is_list_on_request(node) {
        let hold_from = told_at + (node.config.drain_grace_seconds - HOLD_MARGIN_SECONDS).max(0.0);
        node.send_event(Event::ListUnconfirmed { hold_from });
    }
}

/// Reports that this process begins with the list of an earlier one.
pub fn process_started(node: &Node, started_at: std::time::Instant) {
    list_unconfirmed(node, node.now() - started_at.elapsed().as_secs_f64());
}

fn parse_list(value: &[u8]) -> Result<List, BoxError> {
    serde_json::from_slice(value).map_err(|error| format!("invalid list: {error}").into())
}

fn apply(node: &Node, list: List) {
    let (kinds, zones) = (&node.config.kinds, &node.config.zones);
    let is_suspended = |host: &str| node.overrides.is_suspended(host);
    let (event, unusable) = node.directory.borrow_mut().apply(list, kinds, zones, &is_suspended);
    // Nothing is sent there any more, and another endpoint may appear at the address.
    unusable.into_iter().for_each(|endpoint| node.pool.close_idle(endpoint));
    node.send_event(event);
    node.fleet.list_received(node.directory.borrow().seq());
    control::report_restored(node);
}

/// Watches the list for as long as the process runs. If all dispatchers share one discovery
/// service, a watch is only started when the decision core requests it.
pub async fn watch_list(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| watch_loop(node.clone())).await;
}

async fn watch_loop(node: Rc<Node>) {
    let mut address_changes = node.discovery_address.subscribe();
    let mut last_address = *address_changes.borrow();
    let mut backoff = INITIAL_BACKOFF;
    let on_request = is_list_on_request(&node);
    if on_request {
        node.resubscribe.notified().await;
    }
    loop {
        let mut ended_by = None;
        let (address, seq) = (*address_changes.borrow_and_update(), node.directory.borrow().seq());
        if std::mem::replace(&mut last_address, address) != address {
            list_unconfirmed(&node, node.now() + NEW_ADDRESS_SECONDS);
        }
        let started_at = Instant::now();
        tokio::select! {
            result = run_watch(&node, address, seq) => {
                ended_by = Some(result.unwrap_or_else(|error| error.to_string()));
                node.send_event(Event::ListFailed);
                node.fleet.list_failed();
            }
            () = node.resubscribe.notified() => {
                if on_request {
                    continue;
                }
            }
            // The sender lives as long as the node.
            _ = address_changes.changed() => {
                backoff = INITIAL_BACKOFF;
                continue;
            }
        }
        if on_request {
            if let Some(reason) = ended_by {
                log::info_limited(format_args!("discovery: watch ended: {reason}"));
            }
            // The service at a new address is not known to be overloaded, so it is contacted at once.
            tokio::select! {
                () = node.resubscribe.notified() => {}
                _ = address_changes.changed() => {}
            }
            continue;
        }
        // A watch that delivered a list or lasted for a while was successful, so the next one begins
        // after a short delay.
        let successful = node.directory.borrow().seq() != seq || started_at.elapsed() >= WATCH_TIMEOUT;
        backoff = if successful { INITIAL_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        // A new address is tried at once, and so is the current one if another dispatcher has had an
        // answer from it.
        let deferral = node.fleet.discovery_interval();
        let pause = deferral.map_or(backoff, |interval| interval.max(backoff));
        log::info_limited(format_args!(
            "discovery: watch ended: {}; asked again after {:.3} s{}",
            ended_by.as_deref().unwrap_or("requested anew"),
            pause.as_secs_f64(),
            if deferral.is_some() { ", which the fleet set" } else { "" },
        ));
        tokio::select! {
            _ = timeout(pause, address_changes.wait_for(|current| *current != address)) => {}
            () = node.resubscribe.notified() => {}
        }
    }
}

/// Whether the list must be requested from a discovery service that all dispatchers share.
fn is_list_on_request(node: &Node) -> bool {
    node.config.settings.discovery_mode != DiscoveryMode::Pushed
}

/// An error that ends a watch or a request.
pub type BoxError = Box<dyn std::error::Error>;

/// How long to wait for the connection of a watch, and for the response, both from the begin of the connect.
fn request_timeouts(node: &Node) -> (Duration, Duration) {
    match is_list_on_request(node) {
        // A connect that gets no answer tells no more than a response that does not come.
        true => (QUEUED_RESPONSE_TIMEOUT, QUEUED_RESPONSE_TIMEOUT),
        false => (RESPONSE_TIMEOUT, 2 * RESPONSE_TIMEOUT),
    }
}

/// Runs one watch, from connecting to its end, and returns why it ended.
async fn run_watch(node: &Node, address: SocketAddr, seq: u64) -> Result<String, BoxError> {
    let (connect_timeout, response_timeout) = request_timeouts(node);
    let started_at = Instant::now();
    let mut connection = timeout(connect_timeout, connection::connect(address, None)).await??;
    let request = Request::get(format!("/registry/instances?stream=1&index={seq}"))
        .header("Host", address.to_string())
        .body(Full::default())?;
    connection.monitor.begin_request();
    let response_due_at = started_at + response_timeout;
    let response = timeout_at(response_due_at, connection.sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Ok(format!("answered {}", response.status()));
    }
    log::info_limited(format_args!(
        "discovery: answered a watch after {:.3} s",
        started_at.elapsed().as_secs_f64()
    ));
    let mut body = response.into_body();
    let mut stream = JsonValueStream::default();
    // Another watch may begin with a lower version.
    let mut watch_seq = 0;
    let mut first_line_due_at = Some(Instant::now() + FIRST_LINE_TIMEOUT);
    loop {
        // A value that has begun must be completed soon; between two values the heartbeat interval applies.
        let deadline = stream.complete_by.unwrap_or_else(|| Instant::now() + WATCH_TIMEOUT);
        let due_at = first_line_due_at.map_or(deadline, |due_at| due_at.min(deadline));
        let frame = timeout_at(due_at, body.frame()).await;
        if let (Err(_), Some(_)) = (&frame, first_line_due_at.take()) {
            node.send_event(Event::ListConfirmed);
            continue;
        }
        let Ok(frame) = frame else { return Ok("silent".into()) };
        let Some(frame) = frame else { return Ok("closed".into()) };
        let Ok(data) = frame?.into_data() else { continue };
        let has_content = stream.push(&data, |value| {
            watch_seq = apply_watch_line(node, value, watch_seq)?;
            node.send_event(Event::ListConfirmed);
            Ok(())
        })?;
        if !has_content {
            node.send_event(Event::ListConfirmed);
            node.send_event(Event::ListKeepAlive);
            node.fleet.watch_alive(node.directory.borrow().seq());
        }
    }
}
