//! Callers at the address of a member that never complete a hello, or send it twice.

use super::*;
use fawnspoke_lab::blocking::Dispatcher;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A member that starts joins within this time; alone it takes less than a second.
const JOIN_LIMIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fleet of one voter, which runs, and one learner, which does not.
fn start_voter() -> FleetFixture {
    let mut fleet = new_fleet(1, 1, FAST_SETTINGS, || Reply::status(200));
    fleet.members.bootstrap().expect("a bootstrapped fleet");
    fleet.members.dispatchers[0].start();
    wait_for_log_maintainer(&fleet.members, 0);
    fleet
}

fn member_address(dispatcher: &Dispatcher) -> SocketAddr {
    dispatcher.member_address().lock().expect("no panic").expect("its address")
}

/// Starts the learner; returns how long it took until it was a member.
fn join(fleet: &mut FleetFixture) -> Duration {
    let started_at = Instant::now();
    fleet.members.dispatchers[1].start();
    eventually("the learner as a member", || {
        let joined = |status: serde_json::Value| status["members"].as_array().map_or(0, Vec::len) == 2;
        fleet.members.status(1).is_some_and(joined)
    });
    started_at.elapsed()
}

/// Connects and sends the first `length` bytes of a packet.
fn open_held(address: SocketAddr, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.write_all(&[&100u32.to_be_bytes()[..], b"{\"versions\""].concat()[..length]);
    stream.set_nonblocking(true).expect("a socket");
    stream
}

fn is_closed(stream: &mut TcpStream) -> bool {
    let read = stream.read(&mut [0; 64]);
    !read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Holds `count` connections without a whole hello, and opens a new one at once for each that ends.
fn hold_connections(address: SocketAddr, count: usize, stop: &AtomicBool) {
    let mut connections: Vec<TcpStream> = (0..count).map(|number| open_held(address, number % 15)).collect();
    while !stop.load(Ordering::SeqCst) {
        for (number, connection) in connections.iter_mut().enumerate() {
            if is_closed(connection) {
                *connection = open_held(address, number % 15);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Lets the learner join while `count` connections are held without a whole hello.
fn join_beside_callers(mut fleet: FleetFixture, count: usize) {
    let address = member_address(&fleet.members.dispatchers[0]);
    let stop = &AtomicBool::new(false);
    let took = thread::scope(|scope| {
        scope.spawn(move || hold_connections(address, count, stop));
        // The callers are there before the member.
        thread::sleep(Duration::from_millis(500));
        let joined = scope.spawn(|| join(&mut fleet)).join();
        stop.store(true, Ordering::SeqCst);
        joined.expect("a member in time")
    });
    println!("{count} callers: the learner joined after {took:?}");
    assert!(took < JOIN_LIMIT, "{took:?}");
    assert_eq!(fleet.members.dispatchers[1].submit("keyed", "m1", 7), 202);
    assert_valid_history(&fleet.members);
}

/// Guards against a member that is turned away for callers that say nothing: it was, while 32 of them held a connection.
#[test]
fn a_member_joins_beside_40_callers_without_a_hello() {
    join_beside_callers(start_voter(), 40);
}

/// The same where most callers wait for a connection.
#[test]
fn a_member_joins_beside_1000_callers_without_a_hello() {
    join_beside_callers(start_voter(), 1000);
}

/// Guards against connections that count as pending for ever: those that another one of the same member replaced while their
/// hello was being answered.
#[test]
fn a_replaced_connection_does_not_count_as_pending() {
    let fleet = start_voter();
    let address = member_address(&fleet.members.dispatchers[0]);
    let hello = json!({"versions": [1, 1], "cluster": "lab", "name": "n1", "to": "n0", "birth": 9, "life": 1,
        "mark": {"term": 0, "voted": false, "last": 0}, "refused": null});
    let text = hello.to_string();
    let packet = [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    for _ in 0..5 {
        let mut connections: Vec<TcpStream> =
            (0..20).map(|_| TcpStream::connect(address).expect("a connection")).collect();
        // The member reads all hellos at once, and each replaces the one before.
        fleet.members.dispatchers[0].signal("STOP");
        connections.iter_mut().for_each(|stream| drop(stream.write_all(&packet)));
        fleet.members.dispatchers[0].signal("CONT");
        thread::sleep(Duration::from_millis(100));
    }
    // Fewer than may be pending.
    join_beside_callers(fleet, 20);
}

/// Guards against callers that take as much memory as members may before it is known whether they are one.
#[test]
fn callers_that_announce_a_long_hello_cost_little_memory() {
    const CALLERS: usize = 60;
    const ANNOUNCED_BYTES: u32 = 1_000_000;
    const MAX_GROWTH_KB: u64 = 8_000;
    let fleet = start_voter();
    let voter = &fleet.members.dispatchers[0];
    let address = member_address(voter);
    let resident_kb = || fawnspoke_lab::process::resident_kb(voter.process_id().expect("a process"));
    let before = resident_kb().expect("a running process");
    let bytes = [&ANNOUNCED_BYTES.to_be_bytes()[..], &vec![b'x'; 900_000]].concat();
    let mut most = before;
    for _ in 0..5 {
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a socket");
                    let _ = stream.write_all(&bytes);
                    thread::sleep(Duration::from_millis(300));
                });
            }
            thread::sleep(Duration::from_millis(250));
            most = most.max(resident_kb().expect("a running process"));
        });
    }
    println!("{before} kB before, {most} kB beside {CALLERS} callers");
    assert!(most <= before + MAX_GROWTH_KB, "{before} kB before, {most} kB");
}
