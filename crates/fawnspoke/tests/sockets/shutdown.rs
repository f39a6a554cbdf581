//! SIGTERM: which messages are still accepted, which are settled before the process ends, and how connections close.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::support::*;
use std::time::Duration;

/// A dispatcher that keeps running after SIGTERM while its one call is in flight. Destination 8 has no available
/// endpoint.
fn with_call_in_flight() -> (ManualEndpoint, Peer, Platform, Dispatcher) {
    let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "in-flight", 7), 202);
    let mut peer = endpoint.accept();
    assert!(peer.read_request().is_some());
    (endpoint, peer, platform, dispatcher)
}

fn request_shutdown(dispatcher: &Dispatcher) {
    dispatcher.signal("TERM");
    eventually("the shutdown to begin", || dispatcher.log_contains("told to stop"));
}

#[test]
fn messages_that_expire_before_the_next_process_can_send_them_are_rejected() {
    let (manual_endpoint, mut peer, platform, mut dispatcher) = with_call_in_flight();
    request_shutdown(&dispatcher);
    // Destination 8 has no available endpoint.
    let answer = dispatcher.connect().submit("safe", "short", 8, 4000, b"x");
    assert_eq!(answer.status(), 503, "it would expire before the next process starts");
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert_eq!(dispatcher.connect().submit("safe", "long", 8, 19_000, b"x").status(), 202);
    // A message that can be sent at once is accepted, however short its timeout.
    assert_eq!(dispatcher.connect().submit("safe", "quick", 7, 2500, b"x").status(), 202);
    let mut other = manual_endpoint.accept();
    assert!(other.read_request().is_some_and(|request| request.contains("quick")));
    for peer in [&mut peer, &mut other] {
        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(dispatcher.wait());
    // The next process sends the message that was left in the journal.
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("late", 8, "up")]);
    dispatcher.start();
    eventually("its call", || endpoint.message_ids() == ["long"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn messages_that_expire_before_the_next_process_starts_are_handed_back() {
    let (_endpoint, _peer, platform, mut dispatcher) = with_call_in_flight();
    assert_eq!(dispatcher.connect().submit("unsafe", "short", 8, 4500, b"x").status(), 202);
    assert_eq!(dispatcher.connect().submit("safe", "long", 8, 19_000, b"x").status(), 202);
    request_shutdown(&dispatcher);
    assert!(dispatcher.wait());
    assert_eq!(
        platform.outcomes("short"),
        ["handed_back"],
        "it would have expired before the next process starts"
    );
    assert!(platform.outcomes("long").is_empty());
}

/// A client keeps its connection open while the process keeps running for a call in flight.
#[test]
fn idle_connections_close_while_new_ones_are_still_accepted() {
    let (_endpoint, mut peer, _platform, mut dispatcher) = with_call_in_flight();
    let mut persistent = dispatcher.connect();
    assert_eq!(persistent.submit("safe", "queued", 8, 15_000, b"x").status(), 202);
    request_shutdown(&dispatcher);
    assert!(
        persistent.is_closed_by_peer(),
        "an idle connection is closed, or its client would send on it until the kill"
    );
    // The call is aborted 2 s after it began, and the process ends after that.
    assert!(peer.is_open_and_quiet(), "the connection closes long before the process ends");
    // A request that crossed the close is sent again on a new connection. That connection is accepted before its first
    // byte arrives: one that was opened later has its response already.
    let mut new_connection = dispatcher.connect();
    let mut later_connection = dispatcher.connect();
    later_connection.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(later_connection.read_response().status(), 503);
    let repeated = new_connection.submit("safe", "again", 7, 15_000, b"x");
    assert_eq!((repeated.status(), repeated.header("connection")), (202, Some("close")));
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert!(dispatcher.wait());
}

/// A client has sent part of a request when the last call ends, and sends its last byte only after that.
#[test]
fn a_request_that_has_begun_is_answered_before_the_process_ends() {
    let (_endpoint, mut peer, _platform, mut dispatcher) = with_call_in_flight();
    let mut client = dispatcher.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().status(), 200);
    let mut slow_client = dispatcher.connect();
    request_shutdown(&dispatcher);
    slow_client.write(
        b"POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: slow\r\nRequest-Class: safe\r\nX-Consignee: dest=8\r\n\
          Request-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\nx",
    );
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert!(client.is_closed_by_peer());
    // Longer than an idle process keeps running, and shorter than the longest shutdown.
    std::thread::sleep(Duration::from_millis(900));
    slow_client.write(b"x");
    assert_eq!(slow_client.read_response().status(), 503, "rejected: it would have expired");
    assert!(dispatcher.wait());
}

/// With one call slot, a kill leaves messages without an attempt. The next process receives fresh messages before the
/// first of them is answered.
#[test]
fn messages_left_unattempted_by_a_kill_are_sent_before_fresh_ones() {
    let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 1.into();
    dispatcher.start();
    for number in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("recovered{number}"), 7), 202);
    }
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7)]);
    dispatcher.start();
    let mut peer = endpoint.accept();
    let mut calls = vec![peer.read_request().expect("the first call")];
    for number in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("fresh{number}"), 7), 202);
    }
    while calls.len() < 10 {
        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        calls.push(peer.read_request().expect("a call on the reused connection"));
    }
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let first_position = |id_prefix: &str| calls.iter().position(|call| call.contains(id_prefix));
    let last_recovered = calls.iter().rposition(|call| call.contains("recovered"));
    assert!(last_recovered < first_position("fresh"), "{:?} {:?}", last_recovered, first_position("fresh"));
}
