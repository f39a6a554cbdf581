//! Two things that cross: each test forces one order of them and says which.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::time::{Duration, Instant};

/// The connection of a call is on its way; another call of the destination is told to wait; then it comes up.
#[test]
fn a_wait_told_while_a_connection_comes_up_is_heeded() {
    const WAIT: Duration = Duration::from_millis(3900);
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[slow.host("slow", 7), quick.host("quick", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    let mut peer = quick.accept();
    assert!(peer.read_request().is_some());
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    let told = Instant::now();
    peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 3.9\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(peer.read_request().is_none(), "it has read the answer, and closes");
    slow.accept_connects();
    let mut late = slow.accept();
    assert!(told.elapsed() < WAIT - Duration::from_millis(500), "the connection came up within the wait");
    assert!(late.read_request().is_some());
    assert!(told.elapsed() >= WAIT - Duration::from_millis(100), "a call {:?} into the wait", told.elapsed());
    assert!(platform.notices().is_empty());
}

/// The connection of a call that was not sent stays, idle for longer than an unsafe message is risked on.
#[test]
fn a_connection_that_was_kept_unused_is_known_to_be_idle() {
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[slow.host("slow", 7), quick.host("quick", 7)]);
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
    assert!(peer.read_request().is_none(), "it has read the answer, and closes");
    slow.accept_connects();
    let mut kept = slow.accept();
    let mut gone = quick.host("quick", 7);
    gone["health"] = "draining".into();
    platform.push_changes(2, &[gone]);
    // Both run out within the wait; the unsafe one is all that is left when it is over.
    eventually("their ends", || ["m1", "m2"].iter().all(|id| platform.outcomes(id) == ["handed_back"]));
    assert_eq!(client.submit("unsafe", "u", 7, 15_000, b"x").status(), 202);
    let mut anew = slow.accept();
    assert!(
        anew.read_request().is_some_and(|request| request.contains("u\r\n")),
        "on a connection of its own"
    );
    assert!(kept.read_request().is_none(), "the one that was idle is closed");
}

/// A keyed message may have run; its second call's connection comes up only when the memory of its key is over.
#[test]
fn a_key_that_is_forgotten_while_a_connection_comes_up_is_not_sent_again() {
    let (quick, mut slow) = (ManualEndpoint::start(), ManualEndpoint::with_full_backlog());
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[quick.host("quick", 7)]);
    dispatcher.config["settings"]["grades"][1]["repeat_window"] = 2.25.into();
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    let mut peer = quick.accept();
    assert!(peer.read_request().is_some());
    let ran = Instant::now();
    // The next call can go nowhere else.
    let mut gone = quick.host("quick", 7);
    gone["health"] = "draining".into();
    platform.push_changes(2, &[gone, slow.host("slow", 7), draining_endpoint(8)]);
    dispatcher.submit_once_listed("safe", "other", 8);
    // It is tried again within the memory, which is over 2 s after the first call; a connect is repeated after 1 s.
    eventually("some time", || ran.elapsed() > Duration::from_millis(1400));
    peer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    eventually("the end of the key's memory", || ran.elapsed() > Duration::from_millis(2010));
    slow.accept_connects();
    let served = slow.serve();
    let called = || served.requests().iter().any(|call| call.contains("m1"));
    eventually("its end", || !platform.outcomes("m1").is_empty() || called());
    assert_eq!(served.connections(), 1, "the connection came up");
    assert!(!called(), "sent again {:?} after it may have run", ran.elapsed());
    assert_eq!(platform.outcomes("m1"), ["handed_back"]);
}

/// The end of a client's sending stands behind its request before the request is read.
#[test]
fn a_client_that_ends_its_sending_hears_that_nothing_was_taken() {
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
    assert_eq!(answer.status(), 503, "whether it is there still can't be known");
    assert!(answer.header("retry-after").is_some());
    assert!(client.is_closed_by_peer());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
    eventually("the others' calls", || endpoint.message_ids().contains(&"after".to_string()));
    assert!(!endpoint.message_ids().contains(&"half".to_string()));
}

/// The head of an answer comes shortly before its message's time is up, and its body never.
#[test]
fn a_body_that_stalls_past_its_messages_time_makes_no_notice_late() {
    const TIME: Duration = Duration::from_millis(1500);
    let (stalls, silent) = (ManualEndpoint::start(), ManualEndpoint::start());
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[stalls.host("a", 7), silent.host("b", 8)]);
    let mut client = dispatcher.connect();
    let handed = Instant::now();
    for (id, dest) in [("stalls", 7), ("silent", 8)] {
        assert_eq!(client.submit("unsafe", id, dest, TIME.as_millis() as u32, b"x").status(), 202);
    }
    let (mut peer, mut other) = (stalls.accept(), silent.accept());
    assert!(peer.read_request().is_some() && other.read_request().is_some());
    eventually("almost the end", || handed.elapsed() > TIME - Duration::from_millis(150));
    peer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\n");
    // Both ends are due at the same time.
    let (mut times, begun) = ([None; 2], Instant::now());
    eventually("both notices", || {
        for (time, id) in times.iter_mut().zip(["stalls", "silent"]) {
            *time = time.or_else(|| (platform.outcomes(id) == ["given_up"]).then(|| begun.elapsed()));
        }
        times.iter().all(Option::is_some)
    });
    let late = times[0].unwrap().saturating_sub(times[1].unwrap());
    assert!(late < Duration::from_millis(100), "{late:?} after that of a call that is never answered");
}

/// The process is killed while the connection of a call is coming up: its message was found untried, and is tried.
#[test]
fn a_kill_while_a_connection_comes_up_leaves_its_message_untried() {
    let (slow, platform) = (ManualEndpoint::with_full_backlog(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[slow.host("slow", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("unsafe", "u", 7), 202);
    eventually("a connect that hangs", || slow.pending_connects() == 1);
    dispatcher.kill();
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("its end", || !endpoint.requests().is_empty() || !platform.outcomes("u").is_empty());
    assert_eq!(endpoint.message_ids(), ["u"], "it never ran: {:?}", platform.notices());
}
