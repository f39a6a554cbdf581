//! Operating a running dispatcher: queries and commands on its control port, and upgrades.

use crate::support::*;
use fawnspoke_control::protocol::{Request, Response as ControlResponse};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a dispatcher with a control port and waits until it is ready.
fn start_with_control_port(platform: &Platform, known: &[serde_json::Value]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(platform, known);
    dispatcher.control_enabled = true;
    dispatcher.start();
    // The process listens shortly before its status is ready.
    eventually("the ready status", || is_success(&dispatcher.send_control_request(&Request::Status)));
    dispatcher
}

fn suspend(id: &str) -> Request {
    Request::Suspend(id.into())
}

fn restore(id: &str) -> Request {
    Request::Restore(id.into())
}

fn is_success(response: &ControlResponse) -> bool {
    matches!(response, ControlResponse::Success(_))
}

fn metrics(dispatcher: &Dispatcher) -> BTreeMap<String, u64> {
    let ControlResponse::Metrics(metrics) = dispatcher.send_control_request(&Request::Metrics) else {
        panic!("no metrics")
    };
    metrics.into_iter().map(|(name, value, _)| (name, value)).collect()
}

/// Sends the old process SIGTERM and waits until it exits with success.
fn stop(old_process: &mut Child) {
    let kill_status =
        std::process::Command::new("sh").arg("-c").arg(format!("kill -TERM {}", old_process.id())).status();
    assert!(kill_status.is_ok_and(|status| status.success()));
    let signalled_at = Instant::now();
    assert!(old_process.wait().unwrap().success());
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
}

#[test]
fn a_suspended_endpoint_gets_no_calls_until_it_is_restored() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert!(
        !is_success(&dispatcher.send_control_request(&suspend("nobody"))),
        "an endpoint that was never listed"
    );
    assert!(!is_success(&dispatcher.send_control_request(&restore("nobody"))));
    assert!(is_success(&dispatcher.send_control_request(&suspend("e"))));
    assert!(is_success(&dispatcher.send_control_request(&suspend("e"))), "suspending twice succeeds");
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    // An update from discovery doesn't end the suspension.
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty());
    assert_eq!(metrics(&dispatcher)["app.out_of_rotation"], 1);
    assert_eq!(metrics(&dispatcher)["app.open_requests"], 1);
    // Neither does a kill, nor an absence from the list.
    dispatcher.kill();
    dispatcher.start();
    platform.push_changes(3, &[endpoint.list_entry("e", 7, "removed")]);
    platform.push_changes(4, &[endpoint.list_entry("e", 7, "up")]);
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty());
    assert!(is_success(&dispatcher.send_control_request(&restore("e"))), "one restore ends the suspension");
    eventually("the call", || endpoint.message_ids() == ["m1"]);
    eventually("the metrics", || metrics(&dispatcher)["app.fulfilled.safe"] == 1);
    let metrics = metrics(&dispatcher);
    assert_eq!((metrics["app.relayed"], metrics["app.registry_entries"]), (1, 1));
}

#[test]
fn an_endpoint_restored_while_unlisted_is_cold_when_listed_again() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Hang), Platform::start());
    let dispatcher =
        start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    assert!(is_success(&dispatcher.send_control_request(&suspend("e"))));
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "removed")]);
    eventually("its removal from the list", || metrics(&dispatcher)["app.registry_entries"] == 1);
    assert!(
        is_success(&dispatcher.send_control_request(&restore("e"))),
        "an endpoint that was listed before can be restored"
    );
    platform.push_changes(3, &[endpoint.list_entry("e", 7, "up")]);
    eventually("its entry in the list", || metrics(&dispatcher)["app.registry_entries"] == 2);
    // Nothing was sent to it yet: the dispatcher itself keeps it out of rotation until a trial succeeds.
    eventually("both endpoints out of rotation", || metrics(&dispatcher)["app.out_of_rotation"] == 2);
}

#[test]
fn metrics_count_each_outcome_once() {
    let (endpoint, platform) = (
        Endpoint::start(|n, _| match n {
            0 => Reply::status(200),
            // The call may have run, so that an unsafe message fails.
            1 => Reply::Disconnect,
            _ => Reply::status(200),
        }),
        Platform::start(),
    );
    let dispatcher = start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    eventually("the first outcome", || metrics(&dispatcher)["app.fulfilled.keyed"] == 1);
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the failure", || metrics(&dispatcher)["app.faulted.unsafe"] == 1);
    assert_eq!(dispatcher.submit("safe", "m3", 99), 503);
    let metrics = metrics(&dispatcher);
    assert_eq!(metrics["app.throttled.safe"], 1);
    assert_eq!((metrics["app.relayed"], metrics["app.open_requests"]), (2, 0));
    let is_resource = |name: &str| name.starts_with("app.memory_") || name == "app.client_connections";
    let outcomes = metrics.iter().filter(|(name, _)| !is_resource(name)).map(|(_, value)| value);
    assert_eq!(outcomes.sum::<u64>(), 1 + 1 + 1 + 2 + 1, "{metrics:?}");
}

#[test]
fn an_upgrade_hands_over_all_state_and_connections() {
    let slow_script = |n: usize, _: &HttpMessage| match n {
        0 => Reply::Delayed(Duration::from_millis(1500), 200),
        _ => Reply::status(200),
    };
    let (slow, suspended, platform) =
        (Endpoint::start(slow_script), Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = start_with_control_port(
        &platform,
        &[slow.list_entry("slow", 7, "up"), suspended.list_entry("suspended", 8, "up")],
    );
    // An unsafe call in flight, a partial request, an idle connection and a suspended endpoint.
    assert_eq!(dispatcher.submit("unsafe", "in-flight", 7), 202);
    eventually("the call", || slow.requests().len() == 1);
    let mut idle_client = dispatcher.connect();
    assert_eq!(idle_client.submit("safe", "suspended-1", 8, 15_000, b"x").status(), 202);
    eventually("the other call", || suspended.message_ids() == ["suspended-1"]);
    assert!(is_success(&dispatcher.send_control_request(&suspend("suspended"))));
    let mut partial_client = dispatcher.connect();
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: partial\r\nRequest-Class: safe\r\nRequest-Timeout-Ms: 15000\r\n\
                X-Consignee: dest=7\r\nContent-Length: 10\r\n\r\n";
    partial_client.write(head.as_bytes());
    partial_client.write(b"01234");
    let old_control_address = dispatcher.control_address();
    thread::sleep(Duration::from_millis(50));

    let mut old_process = dispatcher.upgrade();
    assert_ne!(dispatcher.control_address(), old_control_address);
    eventually("the ready status", || is_success(&dispatcher.send_control_request(&Request::Status)));
    // Both connections continue in the new process.
    partial_client.write(b"56789");
    assert_eq!(partial_client.read_response().status(), 202);
    assert_eq!(idle_client.submit("safe", "idle", 8, 15_000, b"y").status(), 202);
    stop(&mut old_process);
    eventually("the call of the partial request", || slow.message_ids() == ["in-flight", "partial"]);
    assert_eq!(slow.requests()[1].request.body, b"0123456789");
    assert!(dispatcher.log_contains("with its in-memory state"));
    // The outcome of the call in flight was recorded once: no notice is due, and the call is not repeated.
    eventually("the end of all messages except the suspended endpoint's", || {
        metrics(&dispatcher)["app.open_requests"] == 1
    });
    assert!(platform.notices().is_empty());
    assert_eq!(suspended.message_ids(), ["suspended-1"]);
    assert!(is_success(&dispatcher.send_control_request(&restore("suspended"))));
    eventually("the call at the restored endpoint", || suspended.message_ids() == ["suspended-1", "idle"]);
}

#[test]
fn five_upgrades_in_a_row_keep_pending_messages() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert!(is_success(&dispatcher.send_control_request(&suspend("e"))));
    for i in 0..5 {
        for class in ["safe", "keyed", "unsafe"] {
            assert_eq!(dispatcher.submit(class, &format!("{class}-{i}"), 7), 202);
        }
        let mut old_process = dispatcher.upgrade();
        eventually("the ready status", || is_success(&dispatcher.send_control_request(&Request::Status)));
        stop(&mut old_process);
    }
    assert_eq!(metrics(&dispatcher)["app.open_requests"], 15);
    assert!(is_success(&dispatcher.send_control_request(&restore("e"))));
    eventually("all messages", || endpoint.requests().len() >= 15);
    let mut ids = endpoint.message_ids();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), endpoint.requests().len()), (15, 15), "each message is called once");
}

#[test]
fn an_upgrade_with_other_settings_recovers_from_the_journal() {
    let script = |n: usize, _: &HttpMessage| if n == 0 { Reply::Hang } else { Reply::status(200) };
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let mut dispatcher = start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("keyed", "in-flight", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 9.into();
    let mut old_process = dispatcher.upgrade();
    eventually("the ready status", || is_success(&dispatcher.send_control_request(&Request::Status)));
    assert!(dispatcher.log_contains("with the journal only"));
    // The old process cancelled its call before the handover, so that no message has two attempts at once.
    eventually("the old process's log line", || dispatcher.log_contains("calls out"));
    assert!(dispatcher.log_contains("; 0 calls out"));
    eventually("the end of the old call's connection", || endpoint.abandoned_calls() == 1);
    eventually("the retry", || endpoint.message_ids() == ["in-flight", "in-flight"]);
    stop(&mut old_process);
    eventually("the end of the message", || metrics(&dispatcher)["app.open_requests"] == 0);
}

/// Submits a message and returns the status line of the answer; `None` if the connection breaks.
fn try_submit(address: std::net::SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
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
fn the_old_process_serves_again_when_the_new_one_is_killed() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // A fixed address, which stays the same if the old process restarts.
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.start();
    for i in 0..20 {
        let mut child = dispatcher.command().spawn().unwrap();
        thread::sleep(Duration::from_millis(2 * i));
        child.kill().unwrap();
        child.wait().unwrap();
        // If the new process had taken over already, the old one restarts from the journal.
        let id = format!("m{i}");
        eventually("an answer", || try_submit(address, &id).is_some_and(|line| line.contains(" 202 ")));
    }
    eventually("the calls of all messages", || {
        (0..20).all(|i| endpoint.message_ids().contains(&format!("m{i}")))
    });
}

#[test]
fn a_process_that_waits_for_the_state_directory_stops_on_sigterm() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // Another process owns the state directory and answers no handover request.
    let lock = fawnspoke_handover::lock::try_lock(&dispatcher.state_dir()).unwrap();
    assert!(lock.is_some());
    let control_address = free_address();
    let mut child = dispatcher.command().env("GW_CONTROL", control_address.to_string()).spawn().unwrap();
    // Its control port answers while it waits.
    let ask_status =
        || fawnspoke_control::client::send_request(control_address, &Request::Status, Duration::from_secs(5));
    eventually("a negative status", || ask_status().is_ok_and(|response| !is_success(&response)));
    stop(&mut child);
    drop(lock);
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
}

#[test]
fn the_listening_socket_is_inherited() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // The new process serves a connection that was waiting in the backlog.
    let mut waiting_client = TcpStream::connect(address).unwrap();
    waiting_client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    dispatcher.config["listen"] = address.to_string().into();
    let mut child =
        dispatcher.command().stdin(OwnedFd::from(listener)).env("GW_INHERITED_FD", "0").spawn().unwrap();
    let mut answer = String::new();
    waiting_client.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    waiting_client.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    child.kill().unwrap();
    child.wait().unwrap();
    // A descriptor that is not a socket is an error.
    let output = dispatcher.command().env("GW_INHERITED_FD", "77").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn the_control_port_answers_beside_silent_and_malformed_callers() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = start_with_control_port(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let address = dispatcher.control_address().unwrap();
    let (mut bad_connections, mut quick_responses) = (Vec::new(), 0);
    for i in 0..200 {
        let mut stream = TcpStream::connect(address).unwrap();
        match i % 5 {
            0 => {}
            1 => drop(stream.write_all(b"SUSP")),
            2 => drop(stream.write_all(&[0; 64])),
            3 => drop(stream.write_all(&[b'x'; 100_000])),
            // Several requests in one write; the responses are never read.
            _ => drop(stream.write_all(b"METRICS\nMETRICS\nSUSPEND e\n")),
        }
        bad_connections.push(stream);
        if i % 20 == 0 {
            let asked_at = Instant::now();
            assert!(is_success(&dispatcher.send_control_request(&Request::Status)));
            assert!(is_success(&dispatcher.send_control_request(&restore("e"))));
            assert!(!metrics(&dispatcher).is_empty());
            quick_responses += u32::from(asked_at.elapsed() < Duration::from_secs(1));
        }
    }
    // A busy machine may delay some responses; a server blocked by bad callers would be late from the second time on.
    assert!(quick_responses >= 7, "{quick_responses} of 10 times answered within a second");
    // Of several requests on one connection only the first counts: the SUSPEND was ignored.
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}
