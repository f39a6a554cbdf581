//! Receives the list of endpoints from the platform's discovery service.

use crate::connection::{self, Connection};
use crate::directory::List;
use crate::error::BoxError;
use crate::json_stream::JsonValueStream;
use crate::watch_outage::WatchOutage;
use crate::{Node, control, log};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use waydoor::{Event, Seconds};

/// A watch that is silent for more than two heartbeats is broken, even if its connection looks
/// intact.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4500);
/// Discovery, through the agent on this machine, answers at once or is down.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A discovery service that all dispatchers share works through their requests in turn. One that is given up early still
/// costs it its work, and is sent again; one that was lost is missed for as long.
const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Shortest time from the begin of a request for a pushed list to the begin of the next one. With the time for which the
/// process may be held up it has to fit into the grace of a drain.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// An agent that refuses connects fails a request each `REQUEST_INTERVAL`; the same reason is logged this often.
const PUSHED_LOG_INTERVAL: Duration = Duration::from_secs(1);
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
    if node.config.is_list_pushed() {
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
    match node.config.is_list_pushed() {
        true => node.serving_state.run_while_serving(|| watch_pushed(node.clone())).await,
        false => node.serving_state.run_while_serving(|| watch_on_request(node.clone())).await,
    }
}

/// Watches a list that is pushed. Whenever no watch is open, a request for one is out, but for `REQUEST_INTERVAL` at most:
/// what the agent has counts as told as soon as it answers again.
async fn watch_pushed(node: Rc<Node>) {
    let mut address_changes = node.discovery_address.subscribe();
    let mut address = *address_changes.borrow_and_update();
    let mut outage = WatchOutage::new(PUSHED_LOG_INTERVAL);
    let mut is_closed = false;
    loop {
        let next_request_at = Instant::now() + REQUEST_INTERVAL;
        tokio::select! {
            end = run_watch(&node, address, &mut outage) => {
                is_closed = check_closed(&node, &end, is_closed);
                watch_ended(&node, &mut outage, &end);
            }
            // Another dispatcher has a list that this watch has not brought.
            () = node.resubscribe.notified() => {}
            _ = address_changes.changed() => {}
        }
        // A new address is tried at once.
        let _ = timeout_at(next_request_at, address_changes.wait_for(|current| *current != address)).await;
        let previous = std::mem::replace(&mut address, *address_changes.borrow_and_update());
        if previous != address {
            is_closed = false;
            list_unconfirmed(&node, node.now() + NEW_ADDRESS_SECONDS);
        }
    }
}

/// What the agent gets once a watch has closed counts as told, also if it falls silent before it is asked again. An agent
/// that is not running any more has nothing. `is_closed`: the watch before was closed, and no agent refused since. Returns
/// whether that holds now.
fn check_closed(node: &Node, end: &WatchEnd, is_closed: bool) -> bool {
    match end {
        WatchEnd::Closed(_) => {
            list_unconfirmed(node, node.now());
            true
        }
        WatchEnd::NotOpened(error) if is_closed && is_refused(error) => {
            node.send_event(Event::ListConfirmed);
            false
        }
        _ => is_closed,
    }
}

/// Whether nothing listens at the address.
fn is_refused(error: &BoxError) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Watches the list of a service that all dispatchers share, from each request of the decision core on.
async fn watch_on_request(node: Rc<Node>) {
    let mut address_changes = node.discovery_address.subscribe();
    let mut outage = WatchOutage::new(Duration::ZERO);
    node.resubscribe.notified().await;
    loop {
        let address = *address_changes.borrow_and_update();
        tokio::select! {
            end = run_watch(&node, address, &mut outage) => watch_ended(&node, &mut outage, &end),
            () = node.resubscribe.notified() => continue,
            _ = address_changes.changed() => continue,
        }
        // The service at a new address is not known to be overloaded, so it is contacted at once.
        tokio::select! {
            () = node.resubscribe.notified() => {}
            _ = address_changes.changed() => {}
        }
    }
}

/// Reports that a watch has ended, or that none could be opened.
fn watch_ended(node: &Node, outage: &mut WatchOutage, end: &WatchEnd) {
    outage.failed(Instant::now(), &end.to_string()).into_iter().for_each(log::info_limited);
    node.send_event(Event::ListFailed);
    node.fleet.list_failed();
}

/// How a watch, or a request for one, has ended.
enum WatchEnd {
    /// The request was not answered with a watch.
    NotOpened(BoxError),
    /// Nothing came for longer than a source that works is silent.
    Silent,
    /// The connection was closed or reset.
    Closed(Option<hyper::Error>),
    /// A list could not be read.
    Malformed(BoxError),
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::NotOpened(error) | WatchEnd::Malformed(error) => error.fmt(formatter),
            WatchEnd::Silent => formatter.write_str("silent"),
            WatchEnd::Closed(None) => formatter.write_str("closed"),
            WatchEnd::Closed(Some(error)) => error.fmt(formatter),
        }
    }
}

/// Runs one watch, from connecting to its end.
async fn run_watch(node: &Node, address: SocketAddr, outage: &mut WatchOutage) -> WatchEnd {
    match request_watch(node, address).await {
        Ok(response) => follow_watch(node, response, outage).await,
        Err(error) => WatchEnd::NotOpened(error),
    }
}

/// Requests a watch of what changes after the current list.
async fn request_watch(node: &Node, address: SocketAddr) -> Result<WatchResponse, BoxError> {
    let requested_at = Instant::now();
    let (connected, response_timeout) = match node.config.is_list_pushed() {
        true => (timeout(RESPONSE_TIMEOUT, connect_repeatedly(address)).await, 2 * RESPONSE_TIMEOUT),
        // A connect that gets no answer from a shared service tells no more than a response that does not come.
        false => {
            (timeout(QUEUED_RESPONSE_TIMEOUT, TcpStream::connect(address)).await, QUEUED_RESPONSE_TIMEOUT)
        }
    };
    let mut connection = connection::for_discovery(connected??, address).await?;
    let seq = node.directory.borrow().seq();
    let request = Request::get(format!("/registry/instances?stream=1&index={seq}"))
        .header("Host", address.to_string())
        .body(Full::default())?;
    connection.monitor.begin_request();
    let response =
        timeout_at(requested_at + response_timeout, connection.sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("answered {}", response.status()).into());
    }
    Ok(WatchResponse { body: response.into_body(), _connection: connection })
}

/// Connects to the agent. Another connect is begun at each interval: the system repeats a SYN that was dropped only after
/// a second. Two are out at most.
async fn connect_repeatedly(address: SocketAddr) -> io::Result<TcpStream> {
    let mut first = pin!(TcpStream::connect(address));
    if let Ok(connected) = timeout(REQUEST_INTERVAL, &mut first).await {
        return connected;
    }
    loop {
        tokio::select! {
            connected = &mut first => return connected,
            connected = timeout(REQUEST_INTERVAL, TcpStream::connect(address)) => {
                if let Ok(connected) = connected {
                    return connected;
                }
            }
        }
    }
}

/// The response to a request for a watch, which lasts until its connection ends.
struct WatchResponse {
    body: Incoming,
    _connection: Connection,
}

/// Reports that the source of the list has told all that it has.
fn list_confirmed(node: &Node, outage: &mut WatchOutage) {
    outage.answered(Instant::now()).into_iter().for_each(log::info_limited);
    node.send_event(Event::ListConfirmed);
}

/// Applies what a watch brings until it ends.
async fn follow_watch(node: &Node, mut watch: WatchResponse, outage: &mut WatchOutage) -> WatchEnd {
    let mut stream = JsonValueStream::default();
    // Another watch may begin with a lower version.
    let mut watch_seq = 0;
    let mut first_line_due_at = Some(Instant::now() + FIRST_LINE_TIMEOUT);
    loop {
        // A value that has begun must be completed soon; between two values the heartbeat interval applies.
        let deadline = stream.complete_by.unwrap_or_else(|| Instant::now() + WATCH_TIMEOUT);
        let due_at = first_line_due_at.map_or(deadline, |due_at| due_at.min(deadline));
        let frame = timeout_at(due_at, watch.body.frame()).await;
        if let (Err(_), Some(_)) = (&frame, first_line_due_at.take()) {
            list_confirmed(node, outage);
            continue;
        }
        let Ok(frame) = frame else { return WatchEnd::Silent };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return WatchEnd::Closed(Some(error)),
            None => return WatchEnd::Closed(None),
        };
        let Ok(data) = frame.into_data() else { continue };
        let pushed = stream.push(&data, |value| {
            watch_seq = apply_watch_line(node, value, watch_seq)?;
            list_confirmed(node, outage);
            Ok(())
        });
        let has_content = match pushed {
            Ok(has_content) => has_content,
            Err(error) => return WatchEnd::Malformed(error),
        };
        if !has_content {
            list_confirmed(node, outage);
            node.send_event(Event::ListKeepAlive);
            node.fleet.watch_alive(node.directory.borrow().seq());
        }
    }
}
