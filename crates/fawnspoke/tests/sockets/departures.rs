//! Clients that leave before their answer, with more of their input unread, and ids that come again afterwards, also while the
//! dispatcher is upgraded.

use crate::support::*;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_millis(450);
const CLIENTS: u64 = 4;
/// A body that is read in many pieces.
const LONG_BODY_BYTES: usize = 60_000;
/// Time between two upgrades; the old process is told to end when the new one is ready.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(300);
const UPGRADES: usize = 6;

fn request(id: &str, body_bytes: usize) -> String {
    let head = format!(
        "POST /unsafe HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: unsafe\r\n\
         Request-Timeout-Ms: 9000\r\nX-Consignee: dest=7\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    head + &"x".repeat(body_bytes)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_nodelay(true).expect("a socket");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
    stream
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
}

/// Sends a message and leaves in one of several ways, before the answer or right behind it.
fn send_and_leave(address: SocketAddr, text: &str, rng: &mut fastrand::Rng) {
    let mut stream = connect(address);
    let _ = match rng.u32(..5) {
        0 => stream.write_all(format!("{text}{text}").as_bytes()),
        1 => stream.write_all(&text.as_bytes()[..text.len() - 1]),
        _ => stream.write_all(text.as_bytes()),
    };
    thread::sleep(Duration::from_micros(rng.u64(..4000)));
    match rng.u32(..3) {
        0 => reset(stream),
        1 => drop(stream),
        _ => drop(stream.read(&mut [0; 512])),
    }
}

/// Sends a message until it is accepted, or reported as failed.
fn send_until_accepted(address: SocketAddr, text: &str, until: Instant) {
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
        let mut response = [0; 512];
        let read = stream.write_all(text.as_bytes()).and_then(|()| stream.read(&mut response));
        if read.is_ok() && (response.starts_with(b"HTTP/1.1 202") || response.starts_with(b"HTTP/1.1 409")) {
            return;
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn end_process(process: &mut Child) {
    let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
}

/// Clients leave and send their messages again, while `disturb` runs; each message runs at most once.
fn play(seed: u64, body_bytes: usize, disturb: impl FnOnce(&mut Dispatcher)) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.config["settings"]["limits"]["open_cap"] = 1000.into();
    dispatcher.start();
    let stop = &AtomicBool::new(false);
    let sent: u64 = thread::scope(|scope| {
        let submit = move |client: u64| {
            let mut rng = fastrand::Rng::with_seed(seed * 10 + client);
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let id = format!("left{client}-{count}");
                let text = request(&id, body_bytes);
                send_and_leave(address, &text, &mut rng);
                send_until_accepted(address, &text, Instant::now() + Duration::from_secs(2));
                count += 1;
            }
            count
        };
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || submit(client))).collect();
        disturb(&mut dispatcher);
        stop.store(true, Ordering::SeqCst);
        clients.into_iter().map(|client| client.join().expect("no panic")).sum()
    });
    thread::sleep(Duration::from_millis(500));
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    endpoint.message_ids().into_iter().for_each(|id| *calls.entry(id).or_default() += 1);
    println!("seed {seed}: {sent} messages, {} called", calls.len());
    let repeated: Vec<_> = calls.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "seed {seed}: called more than once: {repeated:?}");
    assert!(
        sent > 20 && calls.len() * 10 > sent as usize * 9,
        "seed {seed}: {} of {sent} called",
        calls.len()
    );
}

/// Guards against a message that runs again because its client left before the answer and sent it once more.
#[test]
fn an_id_that_comes_again_after_its_client_left_runs_once() {
    play(1, 1, |_| thread::sleep(Duration::from_secs(3)));
}

/// The same at the other process of an upgrade.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    for (seed, body_bytes) in [(2, 1), (3, 1), (4, LONG_BODY_BYTES), (5, LONG_BODY_BYTES)] {
        play(seed, body_bytes, |dispatcher| {
            let mut old_processes = Vec::new();
            for _ in 0..UPGRADES {
                thread::sleep(UPGRADE_INTERVAL);
                old_processes.push(dispatcher.upgrade());
                end_process(old_processes.last_mut().expect("an old process"));
            }
            thread::sleep(Duration::from_millis(500));
            for process in &mut old_processes {
                let _ = process.kill();
                process.wait().expect("a process");
            }
        });
    }
}

/// Guards against requests that are sent on though their client has closed its connection before they were read.
#[test]
fn requests_that_a_client_leaves_unread_are_not_sent_on() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let address = dispatcher.client_address();
    for round in 0..40 {
        let text: String = (0..50).map(|number| request(&format!("r{round}-{number}"), 1)).collect();
        let mut stream = connect(address);
        // The pieces end within a request, at its end, or behind it.
        let cut = [text.len(), 300, request("r0-0", 1).len(), 4096][round % 4].min(text.len());
        let _ = stream.write_all(&text.as_bytes()[..cut]);
        thread::sleep(Duration::from_micros(500 * (round as u64 % 3)));
        let _ = stream.write_all(&text.as_bytes()[cut..]);
        if round % 2 == 0 { reset(stream) } else { drop(stream) }
    }
    thread::sleep(Duration::from_millis(500));
    // The first request of a connection may have been read and answered before the others arrived.
    let sent_on: Vec<String> = endpoint.message_ids().into_iter().filter(|id| !id.ends_with("-0")).collect();
    assert!(sent_on.is_empty(), "{sent_on:?}");
    assert_eq!(dispatcher.submit("safe", "sound", 7), 202);
    eventually("the sound message", || endpoint.message_ids().contains(&"sound".to_string()));
}
