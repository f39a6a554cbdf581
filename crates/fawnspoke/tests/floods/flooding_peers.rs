//! Peers that write as fast as they are read: none of them may keep the dispatcher's thread from other messages.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::run_alone;
use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A message has to get its final answer within this time of its deadline.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Connections of clients that flood at a time.
const FLOODING_CLIENTS: usize = 16;
const MESSAGES: usize = 40;

/// Submits messages one after the other and returns the longest time to the call of one.
fn longest_delivery(dispatcher: &Dispatcher, endpoint: &Endpoint) -> Duration {
    let mut client = dispatcher.connect();
    let mut longest = Duration::ZERO;
    for number in 0..MESSAGES {
        let sent_at = Instant::now();
        assert_eq!(client.submit("safe", &format!("m{number}"), 7, 15_000, b"x").status(), 202);
        eventually("the delivery", || endpoint.requests().len() > number);
        longest = longest.max(sent_at.elapsed());
        thread::sleep(Duration::from_millis(25));
    }
    let delays: Vec<_> = dispatcher.log().into_iter().filter(|line| line.contains("event loop:")).collect();
    println!("longest delivery {longest:?}; {delays:?}");
    longest
}

/// Writes until the dispatcher closes.
fn flood(mut peer: Peer, bytes: Vec<u8>) {
    thread::spawn(move || while peer.try_write(&bytes).is_ok() {});
}

/// A dispatcher whose discovery service answers each watch with these bytes and then repeats `more`.
fn start_with_flooding_watch(head: &'static [u8], more: Vec<u8>) -> (Endpoint, Dispatcher) {
    let (endpoint, discovery, platform) =
        (Endpoint::start(|_, _| Reply::status(200)), ManualEndpoint::start(), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["discovery"] = discovery.address.to_string().into();
    // The watch tells nothing, and the list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 600.0.into();
    dispatcher.start();
    thread::spawn(move || {
        loop {
            let mut peer = discovery.accept_within(Duration::from_secs(600)).expect("a watch");
            if peer.read_request().is_some() && peer.try_write(head).is_ok() {
                flood(peer, more.clone());
            }
        }
    });
    (endpoint, dispatcher)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against a watch whose head is preceded by interim responses without end.
#[test]
fn a_watch_of_interim_responses_delays_no_delivery() {
    let _running = run_alone();
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(600);
    let (endpoint, dispatcher) = start_with_flooding_watch(b"", interim.into_bytes());
    assert!(longest_delivery(&dispatcher, &endpoint) <= MAX_DELAY);
}

/// Guards against heartbeats of a watch as fast as they are read.
#[test]
fn a_watch_of_heartbeats_delays_no_delivery() {
    let _running = run_alone();
    let (endpoint, dispatcher) =
        start_with_flooding_watch(CHUNKED_HEAD, chunk("\n").repeat(4000).into_bytes());
    assert!(longest_delivery(&dispatcher, &endpoint) <= MAX_DELAY);
}

/// Guards against lists of a watch as fast as they are read, each of which is applied.
#[test]
fn a_watch_of_lists_delays_no_delivery() {
    let _running = run_alone();
    let lists = "{\"seq\":2,\"whole\":false,\"hosts\":[]}\n".repeat(400);
    let (endpoint, dispatcher) = start_with_flooding_watch(CHUNKED_HEAD, chunk(&lists).into_bytes());
    assert!(longest_delivery(&dispatcher, &endpoint) <= MAX_DELAY);
}

/// Guards against one line of a watch without end.
#[test]
fn a_watch_of_one_endless_line_delays_no_delivery() {
    let _running = run_alone();
    let hosts = "{\"host\":\"x\"},".repeat(1000);
    let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1d\r\n{\"seq\":2,\"whole\":true,\"hosts\":\r\n1\r\n[\r\n";
    let (endpoint, dispatcher) = start_with_flooding_watch(first, chunk(&hosts).into_bytes());
    assert!(longest_delivery(&dispatcher, &endpoint) <= MAX_DELAY);
}

/// Guards against a response to notices whose body has no end: all of it was kept in memory.
#[test]
fn an_endless_response_to_notices_delays_no_delivery_and_takes_no_memory() {
    let _running = run_alone();
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), ManualEndpoint::start());
    let mut dispatcher =
        Dispatcher::new(&Platform::start(), &[endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    dispatcher.config["discovery"] = platform.address.to_string().into();
    // The watch is not answered, and the list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 600.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.connect().submit("safe", "m", 8, 300, b"x").status(), 202);
    thread::spawn(move || {
        loop {
            let mut peer = platform.accept_within(Duration::from_secs(600)).expect("a connection");
            let is_notice = peer.read_request().is_some_and(|request| request.contains("/status"));
            let head = if is_notice { "HTTP/1.1 500 No\r\nContent-Length: 9000000000\r\n\r\n" } else { "" };
            if is_notice && peer.try_write(head.as_bytes()).is_ok() {
                flood(peer, vec![b'x'; 65536]);
            }
        }
    });
    assert!(longest_delivery(&dispatcher, &endpoint) <= MAX_DELAY);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", dispatcher.process_id().unwrap())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
    let peak_kb: u64 = peak.trim_end_matches(" kB").parse().unwrap();
    println!("peak memory {peak_kb} kB");
    assert!(peak_kb < 32_000, "{peak_kb} kB");
}

/// Guards against clients that write requests as fast as they are read.
#[test]
fn pipelined_requests_of_clients_delay_no_delivery() {
    let _running = run_alone();
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let (stop, address) = (Arc::new(AtomicBool::new(false)), dispatcher.client_address());
    let clients: Vec<_> = (0..FLOODING_CLIENTS)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let requests = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(500);
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut writer) = TcpStream::connect(address) else { continue };
                    let mut reader = writer.try_clone().unwrap();
                    let discard = thread::spawn(move || {
                        let mut buffer = [0; 65536];
                        while reader.read(&mut buffer).is_ok_and(|length| length > 0) {}
                    });
                    while !stop.load(Ordering::Relaxed) && writer.write_all(&requests).is_ok() {}
                    drop(writer.shutdown(std::net::Shutdown::Both));
                    discard.join().unwrap();
                }
            })
        })
        .collect();
    let longest = longest_delivery(&dispatcher, &endpoint);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(longest <= MAX_DELAY);
}
