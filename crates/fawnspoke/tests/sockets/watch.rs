//! The watch (a streaming request) on discovery's list: how updates are split, where the stream breaks off, and what
//! makes the dispatcher reconnect.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::support::*;
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn write_chunk(peer: &mut Peer, text: &str) {
    peer.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
}

fn list(seq: u64, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": false, "hosts": hosts})
}

/// A dispatcher with a manually driven discovery service, and the connection of its first watch.
fn start_with_watch(known: &[Value]) -> (ManualEndpoint, Dispatcher, Peer) {
    let (discovery, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, known);
    dispatcher.config["discovery"] = discovery.address.to_string().into();
    // Some watches bring no valid list, and the list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 600.0.into();
    dispatcher.start();
    let mut watch = discovery.accept();
    assert!(watch.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")));
    watch.write(RESPONSE_HEAD);
    (discovery, dispatcher, watch)
}

#[test]
fn an_indented_list_is_read_however_it_is_split() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let (_discovery, dispatcher, mut watch) = start_with_watch(&[]);
    let text = serde_json::to_string_pretty(&list(2, &[endpoint.list_entry("e", 7, "up")])).unwrap();
    // In chunks of a few bytes, with line ends inside the list and none at its end.
    for part in text.as_bytes().chunks(7) {
        write_chunk(&mut watch, std::str::from_utf8(part).unwrap());
    }
    dispatcher.submit_once_listed("safe", "m1", 7);
    eventually("the call by the split list", || endpoint.message_ids().contains(&"m1".to_string()));
    // Two lists in one chunk, and the beginning of a third.
    let next_lists = list(3, &[endpoint.list_entry("e", 7, "draining")]).to_string()
        + &serde_json::to_string_pretty(&list(4, &[draining_endpoint(8)])).unwrap()
        + "\r\n {\"seq\":5,";
    write_chunk(&mut watch, &next_lists);
    dispatcher.submit_once_listed("safe", "m2", 8);
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    write_chunk(
        &mut watch,
        &(r#""whole":false,"hosts":["#.to_string() + &endpoint.list_entry("e", 8, "up").to_string() + "]}"),
    );
    eventually("the call of the message that waited for the third list", || {
        endpoint.message_ids().contains(&"m2".to_string())
    });
    assert!(
        !endpoint.message_ids().contains(&"m3".to_string()),
        "the endpoint was draining before m3 was accepted"
    );
}

/// Accepts the next watch. Heartbeats continue on the old one, so that the dispatcher doesn't reconnect because of its
/// silence.
fn accept_next_watch(discovery: &ManualEndpoint, watch: &mut Peer) -> Peer {
    let started_at = Instant::now();
    loop {
        if let Some(peer) = discovery.accept_within(Duration::from_millis(100)) {
            return peer;
        }
        assert!(started_at.elapsed() < Duration::from_secs(20), "the dispatcher kept the old watch");
        // Fails once the dispatcher has closed the old watch.
        let _ = watch.try_write(b"1\r\n\n\r\n");
    }
}

/// A list breaks off in the middle; heartbeats follow it.
#[test]
fn a_truncated_list_reopens_the_watch() {
    let (discovery, _dispatcher, mut watch) = start_with_watch(&[draining_endpoint(7)]);
    write_chunk(&mut watch, "{\"seq\":2,\"whole\":false,\"hosts\":[\n");
    let mut next_watch = accept_next_watch(&discovery, &mut watch);
    assert!(
        next_watch.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")),
        "no part of the truncated list is applied"
    );
}

/// An invalid list arrives; heartbeats follow it.
#[test]
fn an_invalid_list_reopens_the_watch_and_keeps_the_current_list() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let invalid_lists = ["{\"seq\":2,\"whole\":true,\"hosts\":7}\n", "{\"seq\":2]\n", "7\n"];
    for (number, invalid_list) in invalid_lists.into_iter().enumerate() {
        let (discovery, dispatcher, mut watch) = start_with_watch(&[endpoint.list_entry("e", 7, "up")]);
        write_chunk(&mut watch, invalid_list);
        let mut next_watch = accept_next_watch(&discovery, &mut watch);
        assert!(
            next_watch.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")),
            "{invalid_list}"
        );
        assert_eq!(dispatcher.submit("safe", &format!("m{number}"), 7), 202);
        eventually("its call", || endpoint.message_ids().contains(&format!("m{number}")));
    }
}

#[test]
fn a_late_copy_of_a_list_line_does_not_undo_a_drain() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let marker = |name: &str, destination| {
        let marker = Endpoint::start(|_, _| Reply::status(200));
        (marker.list_entry(name, destination, "up"), marker)
    };
    let ((up, _first), (last, second)) = (marker("f", 8), marker("g", 9));
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up"), up]);
    platform.push_changes(3, &[endpoint.list_entry("e", 7, "draining")]);
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    platform.push_changes(4, &[last]);
    dispatcher.submit_once_listed("safe", "m9", 9);
    eventually("the call after the last line", || second.requests().len() == 1);
    assert_eq!(dispatcher.submit("safe", "m7", 7), 202);
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty(), "an endpoint that drains got a call");
}
