//! SIGTERM: what is still taken on, what has its answer before the end, and how connections close.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::support::*;
use std::time::Duration;

/// A dispatcher that stays for as long as its one call is out, once it is told to stop; nothing may go to destination 8.
fn with_a_call_out() -> (ManualEndpoint, Peer, Platform, Dispatcher) {
    let (gated, platform) = (ManualEndpoint::start(), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[gated.host("e", 7), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "out", 7), 202);
    let mut peer = gated.accept();
    assert!(peer.read_request().is_some());
    (gated, peer, platform, dispatcher)
}

fn told(dispatcher: &Dispatcher) {
    dispatcher.signal("TERM");
    eventually("that it heard", || dispatcher.log_contains("told to stop"));
}

#[test]
fn what_can_neither_go_nor_live_until_the_next_life_is_refused() {
    let (gated, mut peer, platform, mut dispatcher) = with_a_call_out();
    told(&dispatcher);
    // Nothing may go to destination 8.
    let answer = dispatcher.connect().submit("safe", "short", 8, 4000, b"x");
    assert_eq!(answer.status(), 503, "it would be held for a life that comes too late");
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert_eq!(dispatcher.connect().submit("safe", "long", 8, 19_000, b"x").status(), 202);
    // What can go at once is taken, however short its time.
    assert_eq!(dispatcher.connect().submit("safe", "quick", 7, 2500, b"x").status(), 202);
    let mut other = gated.accept();
    assert!(other.read_request().is_some_and(|request| request.contains("quick")));
    for peer in [&mut peer, &mut other] {
        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(dispatcher.wait());
    // The next life tries what it finds.
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("late", 8, "up")]);
    dispatcher.start();
    eventually("its call", || endpoint.message_ids() == ["long"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn what_would_run_out_before_the_next_life_has_its_answer_in_this_one() {
    let (_gated, _peer, platform, mut dispatcher) = with_a_call_out();
    assert_eq!(dispatcher.connect().submit("unsafe", "short", 8, 4500, b"x").status(), 202);
    assert_eq!(dispatcher.connect().submit("safe", "long", 8, 19_000, b"x").status(), 202);
    told(&dispatcher);
    assert!(dispatcher.wait());
    assert_eq!(platform.outcomes("short"), ["handed_back"], "with its time over once another life begins");
    assert!(platform.outcomes("long").is_empty());
}

/// A client keeps its connection; the process stays for a call that is out.
#[test]
fn kept_connections_close_while_somebody_listens_still() {
    let (_gated, mut peer, _platform, mut dispatcher) = with_a_call_out();
    let mut kept = dispatcher.connect();
    assert_eq!(kept.submit("safe", "held", 8, 15_000, b"x").status(), 202);
    told(&dispatcher);
    assert!(
        kept.is_closed_by_peer(),
        "an idle connection ends, or its client would send on it up to the kill"
    );
    // The call is given up 2 s after it began, and the process ends after that.
    assert!(peer.is_open_and_quiet(), "it ends long before the process does");
    // A request that had crossed the close comes once more, on a new connection, which is accepted before its first byte
    // comes: one that was opened later has its answer already.
    let mut anew = dispatcher.connect();
    let mut later = dispatcher.connect();
    later.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(later.read_response().status(), 503);
    let again = anew.submit("safe", "again", 7, 15_000, b"x");
    assert_eq!((again.status(), again.header("connection")), (202, Some("close")));
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert!(dispatcher.wait());
}

/// A request has begun when the last call ends; its last byte comes only then.
#[test]
fn a_request_that_has_begun_has_its_answer_before_the_end() {
    let (_gated, mut peer, _platform, mut dispatcher) = with_a_call_out();
    let mut client = dispatcher.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().status(), 200);
    let mut slow = dispatcher.connect();
    told(&dispatcher);
    slow.write(
        b"POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: slow\r\nRequest-Class: safe\r\nX-Consignee: dest=8\r\n\
          Request-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\nx",
    );
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert!(client.is_closed_by_peer());
    // Longer than the process stays with nothing to do, and shorter than it may stay at all.
    std::thread::sleep(Duration::from_millis(900));
    slow.write(b"x");
    assert_eq!(slow.read_response().status(), 503, "not taken: its time would be over");
    assert!(dispatcher.wait());
}

/// One slot; a kill leaves some untried; in the next life fresh messages come before the first of them is answered.
#[test]
fn what_a_kill_leaves_untried_is_tried_before_fresh_ones() {
    let (gated, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 1.into();
    dispatcher.start();
    for number in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("found{number}"), 7), 202);
    }
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([gated.host("e", 7)]);
    dispatcher.start();
    let mut peer = gated.accept();
    let mut calls = vec![peer.read_request().expect("the first call")];
    for number in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("fresh{number}"), 7), 202);
    }
    while calls.len() < 10 {
        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        calls.push(peer.read_request().expect("a call on the connection that is kept"));
    }
    peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let first = |word: &str| calls.iter().position(|call| call.contains(word));
    let last = calls.iter().rposition(|call| call.contains("found"));
    assert!(last < first("fresh"), "{:?} {:?}", last, first("fresh"));
}
