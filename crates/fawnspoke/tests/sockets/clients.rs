//! Clients that send what they should not, or nothing.

use crate::support::*;
use std::time::{Duration, Instant};

fn ok(_: usize, _: &HttpMessage) -> Reply {
    Reply::status(200)
}

fn started() -> (Endpoint, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(ok), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    (endpoint, dispatcher)
}

/// The head of a good message, but for its length and its end.
fn head(id: &str) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\n\
         Request-Timeout-Ms: 9000\r\nX-Consignee: dest=7\r\n"
    )
}

/// Nothing of what came before may reach the endpoint; a good message still does.
fn only_this_one_comes(dispatcher: &Dispatcher, endpoint: &Endpoint) {
    assert_eq!(dispatcher.submit("safe", "good", 7), 202);
    eventually("the good message", || endpoint.message_ids().contains(&"good".to_string()));
    assert_eq!(endpoint.message_ids(), ["good"]);
}

#[test]
fn requests_that_may_hide_another_are_turned_away() {
    let (endpoint, dispatcher) = started();
    let hidden = format!("0\r\n\r\n{}Content-Length: 0\r\n\r\n", head("hidden"));
    let long = hidden.len();
    for (what, rest, status) in [
        ("both", format!("Content-Length: {long}\r\nTransfer-Encoding: chunked\r\n\r\n{hidden}"), 411),
        ("turned", format!("Transfer-Encoding: chunked\r\nContent-Length: {long}\r\n\r\n{hidden}"), 411),
        ("chunked", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(), 411),
        ("behind", "Content-Length: 2\r\n\r\nabcd".into(), 400),
        ("next", format!("Content-Length: 0\r\n\r\n{}Content-Length: 0\r\n\r\n", head("next2")), 400),
        ("doubled", "Content-Length: 0\r\nRequest-Id: other\r\n\r\n".into(), 400),
        ("lengths", "Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello".into(), 400),
        ("negative", "Content-Length: -5\r\n\r\n".into(), 400),
    ] {
        let mut client = dispatcher.connect();
        client.write(format!("{}{rest}", head(what)).as_bytes());
        assert_eq!(client.read_response().status(), status, "{what}");
        assert!(client.is_closed_by_peer(), "{what}: the connection ends");
    }
    only_this_one_comes(&dispatcher, &endpoint);
}

#[test]
fn figures_beyond_sense_are_turned_away() {
    let (endpoint, dispatcher) = started();
    // The class may take 20 s.
    assert_eq!(dispatcher.connect().submit("safe", "m1", 7, 20_001, b"x").status(), 400);
    assert_eq!(dispatcher.connect().submit("safe", "m2", 7, u32::MAX, b"x").status(), 400);
    let mut client = dispatcher.connect();
    client.write(format!("{}Content-Length: 60000000\r\n\r\n", head("m3")).as_bytes());
    assert_eq!(client.read_response().status(), 413);
    let mut client = dispatcher.connect();
    // A head without an end; the answer may come while it is still being written.
    let padded = format!("{}X-Pad: {}", head("m4"), "p".repeat(15_000));
    client.write(padded.as_bytes());
    client.write(&[b'p'; 2_000]);
    assert_eq!(client.read_response().status(), 431);
    only_this_one_comes(&dispatcher, &endpoint);
}

#[test]
fn an_id_in_use_is_not_taken_for_another_message() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202, "the same once more is owed already");
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 503);
    assert_eq!(dispatcher.connect().submit("safe", "m1", 7, 15_000, b"other").status(), 503);
    dispatcher.kill();
    let endpoint = Endpoint::start(ok);
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("the first one's call", || endpoint.requests().len() == 1);
    assert_eq!(endpoint.requests()[0].request.text(), "hello");
}

#[test]
fn half_a_request_is_given_up_in_time() {
    let (endpoint, dispatcher) = started();
    let since = Instant::now();
    let mut clients: Vec<Client> = (0..3).map(|_| dispatcher.connect()).collect();
    clients[1].write(head("half-a-head").as_bytes());
    clients[2].write(format!("{}Content-Length: 9\r\n\r\nhalf", head("half-a-body")).as_bytes());
    for client in &mut clients {
        assert!(client.is_closed_by_peer());
    }
    assert!(since.elapsed() < Duration::from_secs(15), "long before anything else would end them");
    // One that has asked and waits for its next request may stay.
    let mut kept = dispatcher.connect();
    assert_eq!(kept.submit("safe", "first", 7, 9_000, b"x").status(), 202);
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(kept.submit("safe", "second", 7, 9_000, b"x").status(), 202);
    eventually("both calls", || endpoint.requests().len() == 2);
}

#[test]
fn a_crowd_leaves_descriptors_for_the_work() {
    let (endpoint, platform) = (Endpoint::start(ok), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["limits"]["sockets"] = 64.into();
    dispatcher.shell_prelude = "ulimit -n 64;".into();
    dispatcher.start();
    let mut crowd: Vec<Client> = (0..200).map(|_| dispatcher.connect()).collect();
    for i in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    eventually("the calls", || endpoint.requests().len() == 5);
    assert!(crowd[0].is_closed_by_peer(), "the longest idle went first");
    platform.push_changes(2, &[endpoint.list_entry("e2", 8, "up")]);
    dispatcher.submit_once_listed("safe", "by-new-list", 8);
    assert!(!dispatcher.log_contains("Too many open files"));
}

#[test]
fn clients_that_ask_once_and_stay_make_room_for_others() {
    let (endpoint, platform) = (Endpoint::start(ok), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // 30 connections of clients, 10 of them idle: far fewer than all are open when the first has to go.
    dispatcher.config["limits"]["sockets"] = 80.into();
    dispatcher.start();
    let mut regular = dispatcher.connect();
    let mut ask = |i| {
        let mut client = dispatcher.connect();
        assert_eq!(client.submit("safe", &format!("m{i}"), 7, 15_000, b"x").status(), 202);
        assert_eq!(regular.submit("safe", &format!("r{i}"), 7, 15_000, b"x").status(), 202);
        client
    };
    let mut clients: Vec<_> = (0..20).map(&mut ask).collect();
    assert!(clients[0].is_closed_by_peer(), "the one that has been idle for the longest");
    let last = clients.last_mut().unwrap();
    assert_eq!(last.submit("safe", "again", 7, 15_000, b"x").status(), 202, "the last one is kept");
}

#[test]
fn a_message_that_comes_again_after_its_end_does_not_run_again() {
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
    let again = |dispatcher: &Dispatcher| {
        // Its answer may be on its way still when the call has been seen.
        eventually("the end on record", || dispatcher.submit("unsafe", "bad", 7) == 409);
        eventually("the end of the good one", || dispatcher.submit("unsafe", "good", 7) == 202);
        assert_eq!(dispatcher.submit("unsafe", "good", 7), 202);
    };
    again(&dispatcher);
    // The next life knows it from the records that are still there.
    dispatcher.kill();
    dispatcher.start();
    again(&dispatcher);
    assert_eq!(dispatcher.submit("unsafe", "next", 7), 202);
    eventually("the next one", || endpoint.message_ids().contains(&"next".to_string()));
    let ids = endpoint.message_ids();
    assert_eq!(ids.len(), 3, "each once: {ids:?}");
}
