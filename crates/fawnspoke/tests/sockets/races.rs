//! Races between two events: each test forces one order of them and names it.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::time::{Duration, Instant};

/// While the connection for one call is being established, another call of the destination receives a `Retry-After`;
/// then the connection is established.
#[test]
fn a_retry_after_received_while_connecting_is_honoured() {
    const RETRY_AFTER: Duration = Duration::from_millis(3900);
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher =
        Dispatcher::new(&platform, &[slow.list_entry("slow", 7), quick.list_entry("quick", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    let mut peer = quick.accept();
    assert!(peer.read_request().is_some());
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    let answered_at = Instant::now();
    peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 3.9\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(peer.read_request().is_none(), "the dispatcher has read the response and closes");
    slow.accept_connects();
    let mut late_connection = slow.accept();
    assert!(
        answered_at.elapsed() < RETRY_AFTER - Duration::from_millis(500),
        "the connection was established too late for this test"
    );
    assert!(late_connection.read_request().is_some());
    assert!(
        answered_at.elapsed() >= RETRY_AFTER - Duration::from_millis(100),
        "called after {:?}, before the Retry-After was over",
        answered_at.elapsed()
    );
    assert!(platform.notices().is_empty());
}

/// A connection whose call was not sent stays in the pool, idle for longer than is allowed for an unsafe message.
#[test]
fn a_connection_pooled_without_use_counts_as_idle() {
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher =
        Dispatcher::new(&platform, &[slow.list_entry("slow", 7), quick.list_entry("quick", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    let mut client = dispatcher.connect();
    for id in ["m1", "m2"] {
        assert_eq!(client.submit("safe", id, 7, 2500, b"x").status(), 202);
    }
    let mut peer = quick.accept();
    assert!(peer.read_request().is_some());
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 3.9\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(peer.read_request().is_none(), "the dispatcher has read the response and closes");
    slow.accept_connects();
    let mut pooled = slow.accept();
    let mut draining = quick.list_entry("quick", 7);
    draining["health"] = "draining".into();
    platform.push_changes(2, &[draining]);
    // Both messages expire before the Retry-After is over; only the unsafe message remains after it.
    eventually("the notices of both", || {
        ["m1", "m2"].iter().all(|id| platform.outcomes(id) == ["handed_back"])
    });
    assert_eq!(client.submit("unsafe", "u", 7, 15_000, b"x").status(), 202);
    let mut new_connection = slow.accept();
    assert!(
        new_connection.read_request().is_some_and(|request| request.contains("u\r\n")),
        "the unsafe message is sent on a new connection"
    );
    assert!(pooled.read_request().is_none(), "the idle connection is closed");
}

/// A keyed message may have run; the connection for its second attempt is established only after its repeat window.
#[test]
fn a_keyed_message_is_not_repeated_if_its_window_ends_while_connecting() {
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[quick.list_entry("quick", 7)]);
    dispatcher.config["settings"]["grades"][1]["repeat_window"] = 2.25.into();
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    let mut peer = quick.accept();
    assert!(peer.read_request().is_some());
    let called_at = Instant::now();
    // The next attempt can only go to the slow endpoint.
    let mut draining = quick.list_entry("quick", 7);
    draining["health"] = "draining".into();
    platform.push_changes(2, &[draining, slow.list_entry("slow", 7), draining_endpoint(8)]);
    dispatcher.submit_once_listed("safe", "other", 8);
    // The retry starts within the repeat window, which ends 2 s after the first call; a SYN is repeated after 1 s.
    eventually("the time before the retry", || called_at.elapsed() > Duration::from_millis(1400));
    peer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    eventually("the end of the repeat window", || called_at.elapsed() > Duration::from_millis(2010));
    slow.accept_connects();
    let received = slow.serve();
    let was_resent = || received.requests().iter().any(|call| call.contains("m1"));
    eventually("its notice or its second call", || !platform.outcomes("m1").is_empty() || was_resent());
    // The endpoint's thread may count the connection some milliseconds after the notice has come.
    eventually("the established connection", || received.connections() > 0);
    assert_eq!(received.connections(), 1, "no other connection was established");
    assert!(!was_resent(), "sent again {:?} after it may have run", called_at.elapsed());
    assert_eq!(platform.outcomes("m1"), ["handed_back"]);
}

/// A client closes its sending side (half-close) behind a request before the dispatcher reads that request.
#[test]
fn a_half_closed_client_receives_the_rejection_of_its_message() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let mut client = dispatcher.connect();
    assert_eq!(client.submit("safe", "before", 7, 15_000, b"x").status(), 202);
    dispatcher.signal("STOP");
    client.send("safe", "half", 7, 15_000, b"x");
    client.shutdown_write();
    dispatcher.signal("CONT");
    let answer = client.read_response();
    assert_eq!(answer.status(), 503, "the dispatcher can't know whether the client still reads");
    assert!(answer.header("retry-after").is_some());
    assert!(client.is_closed_by_peer());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
    eventually("the later message", || endpoint.message_ids().contains(&"after".to_string()));
    assert!(!endpoint.message_ids().contains(&"half".to_string()));
}

/// The head of a response arrives shortly before the deadline of its message, and its body never arrives.
#[test]
fn a_response_body_that_stalls_past_the_deadline_delays_no_notice() {
    const TIMEOUT: Duration = Duration::from_millis(1500);
    let (stalling, silent) = (ManualEndpoint::start(), ManualEndpoint::start());
    let platform = Platform::start();
    let dispatcher =
        Dispatcher::started(&platform, &[stalling.list_entry("a", 7), silent.list_entry("b", 8)]);
    let mut client = dispatcher.connect();
    let sent_at = Instant::now();
    for (id, destination) in [("stalls", 7), ("silent", 8)] {
        assert_eq!(client.submit("unsafe", id, destination, TIMEOUT.as_millis() as u32, b"x").status(), 202);
    }
    let (mut peer, mut silent_peer) = (stalling.accept(), silent.accept());
    assert!(peer.read_request().is_some() && silent_peer.read_request().is_some());
    eventually("the time shortly before the deadline", || {
        sent_at.elapsed() > TIMEOUT - Duration::from_millis(150)
    });
    peer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\n");
    // Both notices are due at the same time.
    let (mut times, wait_started_at) = ([None; 2], Instant::now());
    eventually("both notices", || {
        for (time, id) in times.iter_mut().zip(["stalls", "silent"]) {
            *time =
                time.or_else(|| (platform.outcomes(id) == ["given_up"]).then(|| wait_started_at.elapsed()));
        }
        times.iter().all(Option::is_some)
    });
    let delay = times[0].unwrap().saturating_sub(times[1].unwrap());
    assert!(
        delay < Duration::from_millis(100),
        "{delay:?} after the notice of a call that is never answered"
    );
}

/// The process is killed while it establishes the connection for a call. The next process finds the message without an
/// attempt and sends it, even though the message is unsafe.
#[test]
fn a_kill_while_connecting_leaves_the_message_unattempted() {
    let (slow, platform) = (ManualEndpoint::with_full_backlog(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[slow.list_entry("slow", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("unsafe", "u", 7), 202);
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    dispatcher.kill();
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("its call or its notice", || {
        !endpoint.requests().is_empty() || !platform.outcomes("u").is_empty()
    });
    assert_eq!(endpoint.message_ids(), ["u"], "the message was not delivered: {:?}", platform.notices());
}
