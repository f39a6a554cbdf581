//! Clients that send malformed, ambiguous or incomplete requests, or nothing at all.

use crate::support::*;
use std::time::{Duration, Instant};

fn reply_ok(_: usize, _: &HttpMessage) -> Reply {
    Reply::status(200)
}

fn start() -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(reply_ok), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    (endpoint, platform, dispatcher)
}

/// The head of a valid message, without its length and the empty line at its end.
fn head(id: &str) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\n\
         Request-Timeout-Ms: 9000\r\nX-Consignee: dest=7\r\n"
    )
}

/// Checks that no earlier request has reached the endpoint, and that a valid message still does.
fn assert_only_a_valid_message_is_delivered(dispatcher: &Dispatcher, endpoint: &Endpoint) {
    assert_eq!(dispatcher.submit("safe", "good", 7), 202);
    eventually("the call of the valid message", || endpoint.message_ids().contains(&"good".to_string()));
    assert_eq!(endpoint.message_ids(), ["good"]);
}

#[test]
fn ambiguous_requests_that_may_smuggle_another_are_rejected() {
    let (endpoint, _platform, dispatcher) = start();
    let hidden = format!("0\r\n\r\n{}Content-Length: 0\r\n\r\n", head("hidden"));
    let length = hidden.len();
    for (case, rest, status) in [
        ("both", format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n\r\n{hidden}"), 411),
        ("reversed", format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n\r\n{hidden}"), 411),
        ("chunked", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(), 411),
        ("trailing", "Content-Length: 2\r\n\r\nabcd".into(), 400),
        ("next", format!("Content-Length: 0\r\n\r\n{}Content-Length: 0\r\n\r\n", head("next2")), 400),
        ("doubled", "Content-Length: 0\r\nRequest-Id: other\r\n\r\n".into(), 400),
        ("lengths", "Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello".into(), 400),
        ("negative", "Content-Length: -5\r\n\r\n".into(), 400),
    ] {
        let mut client = dispatcher.connect();
        client.write(format!("{}{rest}", head(case)).as_bytes());
        assert_eq!(client.read_response().status(), status, "{case}");
        assert!(client.is_closed_by_peer(), "{case}: the connection is closed");
    }
    assert_only_a_valid_message_is_delivered(&dispatcher, &endpoint);
}

#[test]
fn timeouts_and_lengths_beyond_the_limits_are_rejected() {
    let (endpoint, _platform, dispatcher) = start();
    // The deadline of the class is 20 s.
    assert_eq!(dispatcher.connect().submit("safe", "m1", 7, 20_001, b"x").status(), 400);
    assert_eq!(dispatcher.connect().submit("safe", "m2", 7, u32::MAX, b"x").status(), 400);
    let mut client = dispatcher.connect();
    client.write(format!("{}Content-Length: 60000000\r\n\r\n", head("m3")).as_bytes());
    assert_eq!(client.read_response().status(), 413);
    let mut client = dispatcher.connect();
    // A head that never ends; the response may arrive while it is still being written.
    let padded = format!("{}X-Pad: {}", head("m4"), "p".repeat(15_000));
    client.write(padded.as_bytes());
    client.write(&[b'p'; 2_000]);
    assert_eq!(client.read_response().status(), 431);
    assert_only_a_valid_message_is_delivered(&dispatcher, &endpoint);
}

#[test]
fn an_id_in_use_is_not_accepted_for_another_message() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202, "a repeat of the same message is accepted already");
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 503);
    assert_eq!(dispatcher.connect().submit("safe", "m1", 7, 15_000, b"other").status(), 503);
    dispatcher.kill();
    let endpoint = Endpoint::start(reply_ok);
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("the call of the first message", || endpoint.requests().len() == 1);
    assert_eq!(endpoint.requests()[0].request.text(), "hello");
}

#[test]
fn incomplete_requests_time_out() {
    let (endpoint, _platform, dispatcher) = start();
    let started_at = Instant::now();
    let mut clients: Vec<Client> = (0..3).map(|_| dispatcher.connect()).collect();
    clients[1].write(head("half-a-head").as_bytes());
    clients[2].write(format!("{}Content-Length: 9\r\n\r\nhalf", head("half-a-body")).as_bytes());
    for client in &mut clients {
        assert!(client.is_closed_by_peer());
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(15),
        "they are closed long before any other timeout applies"
    );
    // A connection that is idle between two requests stays open.
    let mut persistent = dispatcher.connect();
    assert_eq!(persistent.submit("safe", "first", 7, 9_000, b"x").status(), 202);
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(persistent.submit("safe", "second", 7, 9_000, b"x").status(), 202);
    eventually("both calls", || endpoint.requests().len() == 2);
}

#[test]
fn many_silent_clients_leave_file_descriptors_for_deliveries() {
    let (endpoint, platform) = (Endpoint::start(reply_ok), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["limits"]["sockets"] = 64.into();
    dispatcher.shell_prelude = "ulimit -n 64;".into();
    dispatcher.start();
    let mut silent: Vec<Client> = (0..200).map(|_| dispatcher.connect()).collect();
    for i in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    eventually("the calls", || endpoint.requests().len() == 5);
    assert!(silent[0].is_closed_by_peer(), "the connection that was idle longest is closed first");
    platform.push_changes(2, &[endpoint.list_entry("e2", 8, "up")]);
    dispatcher.submit_once_listed("safe", "by-new-list", 8);
    assert!(!dispatcher.log_contains("Too many open files"));
}

#[test]
fn idle_client_connections_are_closed_at_the_limit() {
    let (endpoint, platform) = (Endpoint::start(reply_ok), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // Allows 30 client connections, 10 of them idle: the first is closed long before 30 are open.
    dispatcher.config["limits"]["sockets"] = 80.into();
    dispatcher.start();
    let mut regular = dispatcher.connect();
    let mut send_on_new_connection = |i| {
        let mut client = dispatcher.connect();
        assert_eq!(client.submit("safe", &format!("m{i}"), 7, 15_000, b"x").status(), 202);
        assert_eq!(regular.submit("safe", &format!("r{i}"), 7, 15_000, b"x").status(), 202);
        client
    };
    let mut clients: Vec<_> = (0..20).map(&mut send_on_new_connection).collect();
    assert!(clients[0].is_closed_by_peer(), "the connection that was idle longest is closed");
    let last = clients.last_mut().unwrap();
    assert_eq!(
        last.submit("safe", "again", 7, 15_000, b"x").status(),
        202,
        "the most recent connection is kept"
    );
}

#[test]
fn a_message_repeated_after_its_end_is_not_delivered_again() {
    let endpoint = Endpoint::start(|_, request| match request.header("request-id") {
        Some(id) if id.starts_with("bad") => Reply::status(500),
        _ => Reply::status(200),
    });
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "good", 7), 202);
    assert_eq!(dispatcher.submit("unsafe", "bad", 7), 202);
    eventually("both calls", || endpoint.message_ids().len() == 2);
    eventually("the notice", || platform.outcomes("bad") == ["given_up"]);
    let assert_repeats_are_answered_from_the_record = |dispatcher: &Dispatcher| {
        // The response may still be on its way when the call has been seen.
        eventually("the recorded failure", || dispatcher.submit("unsafe", "bad", 7) == 409);
        eventually("the recorded delivery", || dispatcher.submit("unsafe", "good", 7) == 202);
        assert_eq!(dispatcher.submit("unsafe", "good", 7), 202);
    };
    assert_repeats_are_answered_from_the_record(&dispatcher);
    // The next process reads it from the records in the journal.
    dispatcher.kill();
    dispatcher.start();
    assert_repeats_are_answered_from_the_record(&dispatcher);
    assert_eq!(dispatcher.submit("unsafe", "next", 7), 202);
    eventually("the call of the next message", || endpoint.message_ids().contains(&"next".to_string()));
    let ids = endpoint.message_ids();
    assert_eq!(ids.len(), 3, "each message is delivered once: {ids:?}");
}
