//! What operators do to a dispatcher that serves: questions and orders at its door, and upgrades.

use crate::support::*;
use fawnspoke_control::protocol::{Request, Response as Said};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

fn with_door(platform: &Platform, known: &[serde_json::Value]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(platform, known);
    dispatcher.control_enabled = true;
    dispatcher.start();
    // It listens a moment before it says so.
    eventually("the yes", || yes(&dispatcher.send_control_request(&Request::Status)));
    dispatcher
}

fn suspend(id: &str) -> Request {
    Request::Suspend(id.into())
}

fn restore(id: &str) -> Request {
    Request::Restore(id.into())
}

fn yes(said: &Said) -> bool {
    matches!(said, Said::Success(_))
}

fn figures(dispatcher: &Dispatcher) -> BTreeMap<String, u64> {
    let Said::Metrics(figures) = dispatcher.send_control_request(&Request::Metrics) else {
        panic!("no figures")
    };
    figures.into_iter().map(|(name, value, _)| (name, value)).collect()
}

/// The old process is told to stop, and ends well.
fn stop(old: &mut Child) {
    let told = std::process::Command::new("sh").arg("-c").arg(format!("kill -TERM {}", old.id())).status();
    assert!(told.is_ok_and(|status| status.success()));
    let told = Instant::now();
    assert!(old.wait().unwrap().success());
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
}

#[test]
fn an_endpoint_out_by_hand_gets_nothing_until_it_is_called_back() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert!(!yes(&dispatcher.send_control_request(&suspend("nobody"))), "never listed");
    assert!(!yes(&dispatcher.send_control_request(&restore("nobody"))));
    assert!(yes(&dispatcher.send_control_request(&suspend("e"))));
    assert!(yes(&dispatcher.send_control_request(&suspend("e"))), "the same order");
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    // Whatever discovery says in between.
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty());
    assert_eq!(figures(&dispatcher)["app.out_of_rotation"], 1);
    assert_eq!(figures(&dispatcher)["app.open_requests"], 1);
    // Over a kill, and while it is not listed.
    dispatcher.kill();
    dispatcher.start();
    platform.push_changes(3, &[endpoint.list_entry("e", 7, "removed")]);
    platform.push_changes(4, &[endpoint.list_entry("e", 7, "up")]);
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty());
    assert!(yes(&dispatcher.send_control_request(&restore("e"))), "one call back ends it");
    eventually("the message", || endpoint.message_ids() == ["m1"]);
    eventually("the figures", || figures(&dispatcher)["app.fulfilled.safe"] == 1);
    let figures = figures(&dispatcher);
    assert_eq!((figures["app.relayed"], figures["app.registry_entries"]), (1, 1));
}

#[test]
fn what_is_called_back_while_it_is_not_listed_comes_back_cold() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Hang), Platform::start());
    let dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    assert!(yes(&dispatcher.send_control_request(&suspend("e"))));
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "removed")]);
    eventually("its end in the list", || figures(&dispatcher)["app.registry_entries"] == 1);
    assert!(yes(&dispatcher.send_control_request(&restore("e"))), "known, though not listed now");
    platform.push_changes(3, &[endpoint.list_entry("e", 7, "up")]);
    eventually("its line", || figures(&dispatcher)["app.registry_entries"] == 2);
    // Nothing was sent there: it is out by the dispatcher's own choice, until a trial is served.
    eventually("both out of rotation", || figures(&dispatcher)["app.out_of_rotation"] == 2);
}

#[test]
fn figures_tell_each_end_once() {
    let (endpoint, platform) = (
        Endpoint::start(|n, _| match n {
            0 => Reply::status(200),
            // It may have run: an unsafe one fails.
            1 => Reply::Disconnect,
            _ => Reply::status(200),
        }),
        Platform::start(),
    );
    let dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    eventually("the first end", || figures(&dispatcher)["app.fulfilled.keyed"] == 1);
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the failure", || figures(&dispatcher)["app.faulted.unsafe"] == 1);
    assert_eq!(dispatcher.submit("safe", "m3", 99), 503);
    let told = figures(&dispatcher);
    assert_eq!(told["app.throttled.safe"], 1);
    assert_eq!((told["app.relayed"], told["app.open_requests"]), (2, 0));
    assert_eq!(told.values().sum::<u64>(), 1 + 1 + 1 + 2 + 1, "{told:?}");
}

#[test]
fn an_upgrade_takes_all_along() {
    let slow = |n: usize, _: &HttpMessage| match n {
        0 => Reply::Delayed(Duration::from_millis(1500), 200),
        _ => Reply::status(200),
    };
    let (slow, banned, platform) =
        (Endpoint::start(slow), Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher =
        with_door(&platform, &[slow.list_entry("slow", 7, "up"), banned.list_entry("banned", 8, "up")]);
    // A call that is out and may not be repeated, a request that is half there, an idle connection, a ban.
    assert_eq!(dispatcher.submit("unsafe", "out", 7), 202);
    eventually("the call", || slow.requests().len() == 1);
    let mut idle = dispatcher.connect();
    assert_eq!(idle.submit("safe", "banned-1", 8, 15_000, b"x").status(), 202);
    eventually("the other call", || banned.message_ids() == ["banned-1"]);
    assert!(yes(&dispatcher.send_control_request(&suspend("banned"))));
    let mut half = dispatcher.connect();
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: half\r\nRequest-Class: safe\r\nRequest-Timeout-Ms: 15000\r\n\
                X-Consignee: dest=7\r\nContent-Length: 10\r\n\r\n";
    half.write(head.as_bytes());
    half.write(b"01234");
    let door = dispatcher.control_address();
    thread::sleep(Duration::from_millis(50));

    let mut old = dispatcher.upgrade();
    assert_ne!(dispatcher.control_address(), door);
    eventually("the yes", || yes(&dispatcher.send_control_request(&Request::Status)));
    // Neither connection has noticed.
    half.write(b"56789");
    assert_eq!(half.read_response().status(), 202);
    assert_eq!(idle.submit("safe", "idle", 8, 15_000, b"y").status(), 202);
    stop(&mut old);
    eventually("the half request's call", || slow.message_ids() == ["out", "half"]);
    assert_eq!(slow.requests()[1].request.body, b"0123456789");
    assert!(dispatcher.log_contains("with its in-memory state"));
    // The call that was out ended once, and its end is known: nothing is owed, nothing goes again.
    eventually("all ends but the ban's", || figures(&dispatcher)["app.open_requests"] == 1);
    assert!(platform.notices().is_empty());
    assert_eq!(banned.message_ids(), ["banned-1"]);
    assert!(yes(&dispatcher.send_control_request(&restore("banned"))));
    eventually("what the ban held", || banned.message_ids() == ["banned-1", "idle"]);
}

#[test]
fn five_upgrades_in_a_row_with_messages_held() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert!(yes(&dispatcher.send_control_request(&suspend("e"))));
    for i in 0..5 {
        for class in ["safe", "keyed", "unsafe"] {
            assert_eq!(dispatcher.submit(class, &format!("{class}-{i}"), 7), 202);
        }
        let mut old = dispatcher.upgrade();
        eventually("the yes", || yes(&dispatcher.send_control_request(&Request::Status)));
        stop(&mut old);
    }
    assert_eq!(figures(&dispatcher)["app.open_requests"], 15);
    assert!(yes(&dispatcher.send_control_request(&restore("e"))));
    eventually("all messages", || endpoint.requests().len() >= 15);
    let mut ids = endpoint.message_ids();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), endpoint.requests().len()), (15, 15), "each once");
}

#[test]
fn a_process_with_other_settings_takes_what_is_on_record() {
    let script = |n: usize, _: &HttpMessage| if n == 0 { Reply::Hang } else { Reply::status(200) };
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let mut dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("keyed", "out", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 9.into();
    let mut old = dispatcher.upgrade();
    eventually("the yes", || yes(&dispatcher.send_control_request(&Request::Status)));
    assert!(dispatcher.log_contains("with the journal only"));
    // The old one broke its call off before anything was given: never two attempts at once.
    eventually("the old one's word", || dispatcher.log_contains("calls out"));
    assert!(dispatcher.log_contains("; 0 calls out"));
    eventually("the old call's end", || endpoint.abandoned_calls() == 1);
    eventually("the message again", || endpoint.message_ids() == ["out", "out"]);
    stop(&mut old);
    eventually("its end", || figures(&dispatcher)["app.open_requests"] == 0);
}

/// The first line that is answered to a message; none where the connection breaks.
fn try_hand_in(at: std::net::SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\nRequest-Timeout-Ms: 15000\r\n\
         X-Consignee: dest=7\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.lines().next().map(String::from)
}

#[test]
fn whoever_is_left_serves_when_the_new_process_is_killed() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // An address that stays the same where the old process begins anew.
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    dispatcher.config["listen"] = at.to_string().into();
    dispatcher.start();
    for i in 0..20 {
        let mut child = dispatcher.command().spawn().unwrap();
        thread::sleep(Duration::from_millis(2 * i));
        child.kill().unwrap();
        child.wait().unwrap();
        // Where it had taken over already, the old one begins anew from what is on record.
        let id = format!("m{i}");
        eventually("an answer", || try_hand_in(at, &id).is_some_and(|line| line.contains(" 202 ")));
    }
    eventually("all", || (0..20).all(|i| endpoint.message_ids().contains(&format!("m{i}"))));
}

#[test]
fn a_process_that_waits_for_the_folder_can_be_told_to_stop() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // Somebody owns the folder, and answers nobody.
    let held = fawnspoke_handover::lock::try_lock(&dispatcher.state_dir()).unwrap();
    assert!(held.is_some());
    let door = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut child = dispatcher.command().env("GW_CONTROL", door.to_string()).spawn().unwrap();
    // Its door answers while it waits.
    let asked = || fawnspoke_control::client::send_request(door, &Request::Status, Duration::from_secs(5));
    eventually("a no", || asked().is_ok_and(|said| !yes(&said)));
    stop(&mut child);
    drop(held);
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
}

#[test]
fn the_listening_socket_is_inherited() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    // A connection that nobody has accepted yet is served by whoever comes.
    let mut early = TcpStream::connect(at).unwrap();
    early.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    dispatcher.config["listen"] = at.to_string().into();
    let mut child =
        dispatcher.command().stdin(OwnedFd::from(listener)).env("GW_INHERITED_FD", "0").spawn().unwrap();
    let mut answer = String::new();
    early.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    early.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    child.kill().unwrap();
    child.wait().unwrap();
    // One that is no socket is told of in a line.
    let output = dispatcher.command().env("GW_INHERITED_FD", "77").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn the_door_answers_beside_callers_that_say_nothing() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = with_door(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let at = dispatcher.control_address().unwrap();
    let (mut bad, mut quick) = (Vec::new(), 0);
    for i in 0..200 {
        let mut stream = TcpStream::connect(at).unwrap();
        match i % 5 {
            0 => {}
            1 => drop(stream.write_all(b"SUSP")),
            2 => drop(stream.write_all(&[0; 64])),
            3 => drop(stream.write_all(&[b'x'; 100_000])),
            // Several calls in one write, and nothing read.
            _ => drop(stream.write_all(b"METRICS\nMETRICS\nSUSPEND e\n")),
        }
        bad.push(stream);
        if i % 20 == 0 {
            let asked = Instant::now();
            assert!(yes(&dispatcher.send_control_request(&Request::Status)));
            assert!(yes(&dispatcher.send_control_request(&restore("e"))));
            assert!(!figures(&dispatcher).is_empty());
            quick += u32::from(asked.elapsed() < Duration::from_secs(1));
        }
    }
    // A busy machine may be late now and then; a door that waits for bad callers is late from the second time on.
    assert!(quick >= 7, "{quick} of 10 times answered within a second");
    // What stood behind the first call was no call.
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the message", || endpoint.message_ids() == ["m1"]);
}
