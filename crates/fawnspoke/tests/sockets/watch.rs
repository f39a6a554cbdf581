//! The watch on the list: how it is written, where it breaks off, what opens it anew.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::support::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(peer: &mut Peer, text: &str) {
    peer.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
}

fn list(seq: u64, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": false, "hosts": hosts})
}

/// A dispatcher whose discovery does what the test says, and its first watch.
fn watched(known: &[Value]) -> (ManualEndpoint, Dispatcher, Peer) {
    let (discovery, platform) = (ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, known);
    dispatcher.config["discovery"] = discovery.at.to_string().into();
    dispatcher.start();
    let mut watch = discovery.accept();
    assert!(watch.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")));
    watch.write(HEAD);
    (discovery, dispatcher, watch)
}

#[test]
fn an_indented_list_is_read_however_it_is_cut() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let (_discovery, dispatcher, mut watch) = watched(&[]);
    let text = serde_json::to_string_pretty(&list(2, &[endpoint.list_entry("e", 7, "up")])).unwrap();
    // In pieces of a few bytes, with line ends inside and none behind.
    for piece in text.as_bytes().chunks(7) {
        chunk(&mut watch, std::str::from_utf8(piece).unwrap());
    }
    dispatcher.submit_once_listed("safe", "m1", 7);
    eventually("its call", || endpoint.message_ids().contains(&"m1".to_string()));
    // Two in one piece, and the beginning of a third.
    let more = list(3, &[endpoint.list_entry("e", 7, "draining")]).to_string()
        + &serde_json::to_string_pretty(&list(4, &[draining_endpoint(8)])).unwrap()
        + "\r\n {\"seq\":5,";
    chunk(&mut watch, &more);
    dispatcher.submit_once_listed("safe", "m2", 8);
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    chunk(
        &mut watch,
        &(r#""whole":false,"hosts":["#.to_string() + &endpoint.list_entry("e", 8, "up").to_string() + "]}"),
    );
    eventually("the call of what waited for the third", || {
        endpoint.message_ids().contains(&"m2".to_string())
    });
    assert!(!endpoint.message_ids().contains(&"m3".to_string()), "it drained before m3 was taken");
}

/// The next watch, while heartbeats go on at the one before: its silence does not end it.
fn anew(discovery: &ManualEndpoint, watch: &mut Peer) -> Peer {
    let begun = Instant::now();
    loop {
        if let Some(peer) = discovery.accept_within(Duration::from_millis(100)) {
            return peer;
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "the old watch is kept");
        // Once it is given up nobody reads it.
        let _ = watch.try_write(b"1\r\n\n\r\n");
    }
}

/// A list breaks off in the middle; heartbeats go on behind it.
#[test]
fn a_list_that_breaks_off_opens_the_watch_anew() {
    let (discovery, _dispatcher, mut watch) = watched(&[draining_endpoint(7)]);
    chunk(&mut watch, "{\"seq\":2,\"whole\":false,\"hosts\":[\n");
    let mut anew = anew(&discovery, &mut watch);
    assert!(
        anew.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")),
        "nothing of it counts"
    );
}

/// What can't be read as a list comes, and heartbeats go on behind it.
#[test]
fn what_is_no_list_opens_the_watch_anew_and_leaves_the_list() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let wrongs = ["{\"seq\":2,\"whole\":true,\"hosts\":7}\n", "{\"seq\":2]\n", "7\n"];
    for (number, wrong) in wrongs.into_iter().enumerate() {
        let (discovery, dispatcher, mut watch) = watched(&[endpoint.list_entry("e", 7, "up")]);
        chunk(&mut watch, wrong);
        let mut anew = anew(&discovery, &mut watch);
        assert!(anew.read_request().is_some_and(|request| request.contains("stream=1&index=1 ")), "{wrong}");
        assert_eq!(dispatcher.submit("safe", &format!("m{number}"), 7), 202);
        eventually("its call", || endpoint.message_ids().contains(&format!("m{number}")));
    }
}
