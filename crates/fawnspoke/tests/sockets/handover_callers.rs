//! Upgrades beside callers that hold connections of the handover socket, and while accepting connections fails.

use crate::machine_faults::{FaultInjector, Field};
use crate::support::*;
use socket2::{Domain, SockAddr, Socket, Type};
use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The new process has this long to say that it serves (operators' page, "Upgrades").
const UPGRADE_LIMIT: Duration = Duration::from_secs(6);
/// After this time, an upgrade that does not come to its end is ended by a kill of the old process.
const GIVE_UP_AFTER: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The handover socket of a state directory.
struct SocketPath {
    directory: File,
}

impl SocketPath {
    /// A path that is short enough for a socket address, however long the directory's is.
    fn address(&self) -> SockAddr {
        let path = format!("/proc/self/fd/{}/handover", self.directory.as_raw_fd());
        SockAddr::unix(PathBuf::from(path)).expect("a short path")
    }

    /// A connection that sends nothing; none while the listener's queue is full or no process listens.
    fn connect(&self) -> Option<Socket> {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).expect("a socket");
        socket.set_nonblocking(true).expect("a socket");
        socket.connect(&self.address()).is_ok().then_some(socket)
    }
}

/// Holds up to `count` connections, and opens a new one at once for each that ends.
fn hold_connections(path: &SocketPath, count: usize, stop: &AtomicBool) {
    let mut connections: Vec<Option<Socket>> = (0..count).map(|_| None).collect();
    while !stop.load(Ordering::SeqCst) {
        for connection in &mut connections {
            if !connection.as_mut().is_some_and(|socket| is_open(socket, &mut Vec::new())) {
                *connection = path.connect();
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Upgrades the dispatcher; returns the old process and how long the new one took until it listened.
fn timed_upgrade(dispatcher: &mut Dispatcher) -> (Child, Duration) {
    let (started_at, old_process_id) = (Instant::now(), dispatcher.process_id().expect("a process"));
    let (done, is_done) = channel::<()>();
    let watchdog = thread::spawn(move || {
        if is_done.recv_timeout(GIVE_UP_AFTER) == Err(RecvTimeoutError::Timeout) {
            let kill = format!("kill -KILL {old_process_id}");
            let _ = std::process::Command::new("sh").arg("-c").arg(kill).status();
        }
    });
    let old_process = dispatcher.upgrade();
    let took = started_at.elapsed();
    drop(done);
    watchdog.join().expect("no panic");
    (old_process, took)
}

/// Upgrades three times, and checks that each one takes over the in-memory state in time.
fn upgrade_three_times(dispatcher: &mut Dispatcher) -> Duration {
    let mut worst = Duration::ZERO;
    for number in 1..=3 {
        let (mut old_process, took) = timed_upgrade(dispatcher);
        old_process.kill().expect("a signal");
        old_process.wait().expect("its end");
        assert!(took < UPGRADE_LIMIT, "upgrade {number}: {took:?}");
        let with_state =
            |line: &String| line == "handover: took over from the previous process, with its in-memory state";
        assert_eq!(dispatcher.log().iter().filter(|line| with_state(line)).count(), number);
        worst = worst.max(took);
    }
    worst
}

fn upgrade_beside_callers(count: usize) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let path = SocketPath { directory: File::open(dispatcher.state_dir()).expect("a directory") };
    let stop = &AtomicBool::new(false);
    let worst = thread::scope(|scope| {
        scope.spawn(|| hold_connections(&path, count, stop));
        // The callers are there before the new process.
        thread::sleep(Duration::from_millis(300));
        let worst = scope.spawn(|| upgrade_three_times(&mut dispatcher)).join();
        stop.store(true, Ordering::SeqCst);
        worst.expect("upgrades in time")
    });
    println!("{count} callers: the slowest of three upgrades took {worst:?}");
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}

/// Guards against an upgrade that is turned away for callers that say nothing: it was, while four of them held a connection.
#[test]
fn an_upgrade_goes_through_beside_20_callers_that_send_nothing() {
    upgrade_beside_callers(20);
}

/// The same where most callers wait for a connection, or find the queue full.
#[test]
fn an_upgrade_goes_through_beside_1000_callers_that_send_nothing() {
    upgrade_beside_callers(1000);
}

/// Guards against a handover socket on which nobody accepts any more after one accept has failed.
#[test]
fn an_upgrade_goes_through_after_a_failed_accept() {
    for error in [libc::ENFILE, libc::ECONNABORTED, libc::ENOMEM] {
        let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let faults = FaultInjector::attach(&mut dispatcher);
        dispatcher.start();
        faults.set(Field::AcceptError, error.into());
        faults.set(Field::AcceptErrorInterval, 1);
        let end_of_faults = thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            faults.set(Field::AcceptErrorInterval, 0);
        });
        upgrade_three_times(&mut dispatcher);
        end_of_faults.join().expect("no panic");
    }
}

#[test]
fn an_upgrade_is_taken_after_the_handover_socket_could_not_be_made_at_first() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    // The socket's file can't take the place of a directory.
    let socket = dispatcher.state_dir().join("handover");
    std::fs::create_dir_all(&socket).unwrap();
    dispatcher.start();
    eventually("the failure", || dispatcher.log_contains("handover: cannot listen"));
    std::fs::remove_dir(&socket).unwrap();
    eventually("the handover socket", || socket.exists());
    let mut previous = dispatcher.upgrade();
    previous.wait().expect("the previous process ends");
    assert!(dispatcher.log_contains("handover: took over"));
}
