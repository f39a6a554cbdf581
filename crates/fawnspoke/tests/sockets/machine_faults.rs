//! Tests with faults of the machine: steps of the wall clock, a state directory that rejects writes, system calls that fail
//! or transfer less than asked. A preloaded library (`crates/machine-faults`) injects them into the dispatcher's process.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Number of integers in the library's control file.
const FIELDS: usize = 16;

/// The integers of the control file, in the library's order.
#[derive(Clone, Copy)]
#[repr(u64)]
pub enum Field {
    WallClockOffset,
    StateDirError,
    MaxReadBytes,
    MaxWriteBytes,
    AcceptError,
    AcceptErrorInterval,
    ConnectError,
    ConnectErrorInterval,
    InterruptInterval,
    TearNextWrite,
    FaultCount,
    SocketError,
    TransferError,
    TransferErrorInterval,
}

/// Controls the faults that are injected into the processes of one dispatcher.
#[derive(Clone)]
pub struct FaultInjector {
    path: PathBuf,
}

impl FaultInjector {
    /// Preloads the library into the processes that the dispatcher starts from now on. No fault is enabled yet.
    pub fn attach(dispatcher: &mut Dispatcher) -> FaultInjector {
        let library = std::env::current_exe().unwrap().with_file_name("libmachine_faults.so");
        assert!(library.exists(), "{} is built with the tests", library.display());
        let path = dispatcher.state_dir().with_file_name("machine");
        fs::write(&path, [0; FIELDS * 8]).unwrap();
        dispatcher.shell_prelude =
            format!("export MACHINE_FAULTS='{}' LD_PRELOAD='{}';", path.display(), library.display());
        FaultInjector { path }
    }

    /// Writes a field of the control file; 0 disables the fault.
    pub fn set(&self, field: Field, value: i64) {
        let file = File::options().write(true).open(&self.path).unwrap();
        file.write_all_at(&value.to_ne_bytes(), field as u64 * 8).unwrap();
    }

    /// Sets the offset of the wall clock from the real one.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.set(Field::WallClockOffset, seconds * 1_000_000);
    }

    /// Number of calls that were failed or shortened so far.
    fn fault_count(&self) -> i64 {
        let (file, mut number) = (File::open(&self.path).unwrap(), [0; 8]);
        file.read_exact_at(&mut number, Field::FaultCount as u64 * 8).unwrap();
        i64::from_ne_bytes(number)
    }

    /// Makes writes to the state directory fail from now on, for `duration`. The returned thread ends with the fault.
    pub fn fail_writes(&self, error: i32, duration: Duration) -> thread::JoinHandle<()> {
        self.set(Field::StateDirError, error.into());
        let faults = self.clone();
        thread::spawn(move || {
            thread::sleep(duration);
            faults.set(Field::StateDirError, 0);
        })
    }
}

fn ok() -> Reply {
    Reply::status(200)
}

/// Starts a dispatcher whose only endpoint is draining, so that messages for destination 7 stay queued.
fn start_with_draining_endpoint(platform: &Platform) -> (Dispatcher, FaultInjector) {
    let mut dispatcher = Dispatcher::new(platform, &[draining_endpoint(7)]);
    let faults = FaultInjector::attach(&mut dispatcher);
    dispatcher.start();
    (dispatcher, faults)
}

/// Submits messages of the three classes in turn, with this timeout, and returns their ids.
fn submit_messages(dispatcher: &Dispatcher, count: usize, timeout_ms: u32) -> Vec<String> {
    let mut client = dispatcher.connect();
    let ids: Vec<String> = (0..count).map(|number| format!("m{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let class = ["safe", "keyed", "unsafe"][number % 3];
        assert_eq!(client.submit(class, id, 7, timeout_ms, b"x").status(), 202);
    }
    ids
}

/// Whether each of the messages was called exactly once, and no other was.
fn all_called_once(endpoint: &Endpoint, ids: &[String]) -> bool {
    let mut called = endpoint.message_ids();
    called.sort();
    let mut expected = ids.to_vec();
    expected.sort();
    called == expected
}

/// Steps the wall clock while the process is down. The recovered messages have time left and must be delivered.
fn recover_after_wall_clock_step(seconds: i64) {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let ids = submit_messages(&dispatcher, 20, 13_500);
    dispatcher.kill();
    faults.step_wall_clock(seconds);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("the end of each message", || {
        endpoint.requests().len() + platform.notices().len() >= ids.len()
    });
    assert_eq!(platform.notices(), [] as [serde_json::Value; 0], "{seconds} s");
    assert!(all_called_once(&endpoint, &ids));
}

#[test]
fn messages_recovered_after_a_wall_clock_step_are_delivered() {
    [3600, -3600, 30, -30].into_iter().for_each(recover_after_wall_clock_step);
}

/// Time elapsed while the process was down counts, whatever the wall clock says: a keyed message is not repeated after the
/// end of its repeat window.
#[test]
fn a_wall_clock_step_back_does_not_extend_the_repeat_window() {
    for seconds in [-3600, -2, 0] {
        let (manual_endpoint, platform) = (ManualEndpoint::start(), Platform::start());
        let mut dispatcher = Dispatcher::new(&platform, &[manual_endpoint.list_entry("e", 7)]);
        dispatcher.config["settings"]["grades"][1]["repeat_window"] = 3.0.into();
        let faults = FaultInjector::attach(&mut dispatcher);
        dispatcher.start();
        assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
        let mut peer = manual_endpoint.accept();
        assert!(peer.read_request().is_some());
        let called_at = Instant::now();
        dispatcher.kill();
        faults.step_wall_clock(seconds);
        eventually("the end of the repeat window", || called_at.elapsed() > Duration::from_secs(3));
        dispatcher.start();
        eventually("a notice or a repeated call", || {
            !platform.outcomes("m1").is_empty() || !has_no_connection(&manual_endpoint)
        });
        assert_eq!(
            platform.outcomes("m1"),
            ["handed_back"],
            "{seconds} s: it may have run, and its key has expired"
        );
    }
}

/// Whether no connection waits at the endpoint.
fn has_no_connection(manual_endpoint: &ManualEndpoint) -> bool {
    manual_endpoint.accept_within(Duration::ZERO).is_none()
}

/// The wall clock is stepped forward and back while the dispatcher serves: no message ends early or late.
#[test]
fn wall_clock_steps_while_serving_change_no_deadline() {
    let platform = Platform::start();
    let (dispatcher, faults) = start_with_draining_endpoint(&platform);
    let stepping = thread::spawn(move || {
        for step in 0..600 {
            faults.step_wall_clock([3600, -3600, 1, -1, 0, 86_400][step % 6]);
            thread::sleep(Duration::from_millis(5));
        }
    });
    let started_at = Instant::now();
    let ids = submit_messages(&dispatcher, 60, 2500);
    let long_lived = dispatcher.connect().submit("safe", "long", 7, 19_000, b"x");
    assert_eq!(long_lived.status(), 202);
    eventually("the notices of all messages", || ids.iter().all(|id| !platform.outcomes(id).is_empty()));
    let elapsed = started_at.elapsed();
    assert!(elapsed > Duration::from_millis(2000) && elapsed < Duration::from_millis(2900), "{elapsed:?}");
    assert!(platform.outcomes("long").is_empty());
    stepping.join().unwrap();
}

/// The state directory rejects writes when the process starts, and for 1.5 s more.
fn start_while_writes_fail(error: i32) {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let ids = submit_messages(&dispatcher, 9, 15_000);
    dispatcher.kill();
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    let fault = faults.fail_writes(error, Duration::from_millis(1500));
    let started_at = Instant::now();
    dispatcher.start();
    assert!(started_at.elapsed() < Duration::from_millis(2500), "{:?}", started_at.elapsed());
    fault.join().unwrap();
    assert!(faults.fault_count() > 0);
    eventually("all calls", || endpoint.requests().len() >= ids.len());
    assert!(all_called_once(&endpoint, &ids));
    assert!(platform.notices().is_empty());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
}

#[test]
fn a_start_waits_until_the_state_directory_accepts_writes() {
    [libc::EIO, libc::ENOSPC].into_iter().for_each(start_while_writes_fail);
}

/// A process that waits for its state directory to accept writes stops on SIGTERM.
#[test]
fn a_start_that_waits_for_the_state_directory_stops_on_sigterm() {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    dispatcher.kill();
    faults.set(Field::StateDirError, libc::EIO.into());
    let mut child = dispatcher.command().spawn().unwrap();
    let faults_before = faults.fault_count();
    eventually("a second attempt to write", || faults.fault_count() >= faults_before + 2);
    let kill_status =
        std::process::Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(kill_status.success());
    let mut status = None;
    eventually("the exit of the process", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    assert!(status.unwrap().success());
}

/// The state directory rejects writes while messages are queued; their endpoint becomes available before the fault ends.
fn deliver_queued_messages_while_writes_fail(error: i32) {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let ids = submit_messages(&dispatcher, 10, 12_000);
    let endpoint = Endpoint::start(|_, _| ok());
    let fault = faults.fail_writes(error, Duration::from_millis(2000));
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    // Messages that may be repeated are sent; new messages are rejected with a Retry-After.
    eventually("the calls that need no record", || endpoint.requests().len() >= 4);
    let answer = dispatcher.connect().submit("safe", "new", 7, 15_000, b"x");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    fault.join().unwrap();
    let fault_ended_at = Instant::now();
    eventually("all calls", || endpoint.requests().len() + platform.notices().len() >= ids.len());
    assert!(fault_ended_at.elapsed() < Duration::from_millis(500), "{:?}", fault_ended_at.elapsed());
    assert!(all_called_once(&endpoint, &ids), "{:?} {:?}", endpoint.message_ids(), platform.notices());
    assert!(platform.notices().is_empty());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
    eventually("the last call", || endpoint.message_ids().contains(&"after".to_string()));
    // The next process doesn't send the ended messages again. The ends on reused connections are on record once proven.
    eventually("the ends of all messages on record", || dispatcher.open_journal_messages() == 0);
    eventually("a write to the journal", || dispatcher.submit("unsafe", "m2", 7) == 202);
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "later", 7), 202);
    eventually("the new call", || endpoint.message_ids().contains(&"later".to_string()));
    assert_eq!(endpoint.requests().len(), ids.len() + 2, "{:?}", endpoint.message_ids());
}

#[test]
fn queued_messages_are_delivered_after_write_failures() {
    [libc::EIO, libc::ENOSPC].into_iter().for_each(deliver_queued_messages_while_writes_fail);
}

/// The process is killed while its state directory rejects writes, with unsafe messages that were never sent: the next
/// process may send them.
#[test]
fn unsent_messages_survive_a_kill_during_write_failures() {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let mut client = dispatcher.connect();
    for id in ["u1", "u2", "u3"] {
        assert_eq!(client.submit("unsafe", id, 7, 15_000, b"x").status(), 202);
    }
    let endpoint = Endpoint::start(|_, _| ok());
    faults.set(Field::StateDirError, libc::ENOSPC.into());
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    let faults_before = faults.fault_count();
    eventually("failed records of the calls' starts", || faults.fault_count() >= faults_before + 3);
    dispatcher.kill();
    assert!(endpoint.requests().is_empty() && platform.notices().is_empty());
    faults.set(Field::StateDirError, 0);
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("the calls of all messages", || endpoint.requests().len() + platform.notices().len() >= 3);
    assert!(platform.notices().is_empty(), "none of them can have run: {:?}", platform.notices());
}

/// The process is killed in the middle of a journal write: the records before the write survive.
#[test]
fn a_kill_in_the_middle_of_a_write_loses_no_earlier_record() {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let ids = submit_messages(&dispatcher, 6, 15_000);
    faults.set(Field::TearNextWrite, 1);
    let mut client = dispatcher.connect();
    client.send("safe", "torn", 7, 15_000, b"x");
    assert!(!dispatcher.wait(), "the process is killed during the write");
    faults.set(Field::TearNextWrite, 0);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("all calls", || endpoint.requests().len() >= ids.len());
    assert_eq!(dispatcher.submit("unsafe", "after", 7), 202);
    eventually("the new call", || endpoint.message_ids().contains(&"after".to_string()));
    assert!(!endpoint.message_ids().contains(&"torn".to_string()));
}

/// Short reads and writes on the connections of clients, calls, the watch and notices.
#[test]
fn short_reads_and_writes_break_no_connection() {
    for (read, write) in [(1, 0), (0, 1), (1, 1), (7, 5)] {
        let endpoint = Endpoint::start(|_, request| match request.header("request-id") {
            Some(id) if id.starts_with("bad") => Reply::Disconnect,
            _ => ok(),
        });
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(8)]);
        let faults = FaultInjector::attach(&mut dispatcher);
        faults.set(Field::MaxReadBytes, read);
        faults.set(Field::MaxWriteBytes, write);
        dispatcher.start();
        eventually("the watch", || !platform.watch_paths().is_empty());
        platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
        dispatcher.submit_once_listed("safe", "first", 7);
        let mut client = dispatcher.connect();
        for number in 0..20 {
            let body = vec![b'x'; number * 40];
            let answer = client.submit("safe", &format!("m{number}"), 7, 15_000, &body);
            assert_eq!(answer.status(), 202, "{read} {write}: m{number}");
        }
        assert_eq!(client.submit("unsafe", "bad", 7, 15_000, b"x").status(), 202);
        eventually("all calls", || endpoint.requests().len() == 22);
        eventually("the notice", || platform.outcomes("bad") == ["given_up"]);
        assert!(faults.fault_count() > 0);
    }
}

/// Transient errors of accept, connect and epoll_wait.
#[test]
fn transient_errors_end_no_request_and_close_no_idle_client() {
    let accept_errors =
        [libc::ECONNABORTED, libc::EINTR, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPERM];
    let connect_errors = [libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::ETIMEDOUT, libc::EHOSTUNREACH];
    for (round, accept_error) in accept_errors.into_iter().enumerate() {
        let endpoint = Endpoint::start(|_, _| Reply::AnswerAndClose(200));
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let faults = FaultInjector::attach(&mut dispatcher);
        dispatcher.start();
        let mut idle_clients: Vec<_> = (0..5).map(|_| dispatcher.connect()).collect();
        for (number, client) in idle_clients.iter_mut().enumerate() {
            assert_eq!(client.submit("safe", &format!("r{number}"), 7, 15_000, b"x").status(), 202);
        }
        faults.set(Field::AcceptError, accept_error.into());
        faults.set(Field::ConnectError, connect_errors[round % connect_errors.len()].into());
        faults.set(Field::InterruptInterval, 3);
        faults.set(Field::ConnectErrorInterval, 2);
        faults.set(Field::AcceptErrorInterval, 2);
        for number in 0..10 {
            let id = format!("m{number}");
            assert_eq!(
                dispatcher.connect().submit("safe", &id, 7, 15_000, b"x").status(),
                202,
                "{accept_error}"
            );
        }
        for (number, client) in idle_clients.iter_mut().enumerate() {
            let answer = client.submit("safe", &format!("again{number}"), 7, 15_000, b"x");
            assert_eq!(answer.status(), 202, "{accept_error}: an idle client keeps its connection");
        }
        eventually("all calls", || endpoint.requests().len() == 20);
        assert!(platform.notices().is_empty());
    }
}

/// Writes to standard output and standard error fail with ENOSPC: log lines are lost, and the process keeps running.
#[test]
fn a_log_that_cannot_be_written_does_not_stop_the_process() {
    let endpoint = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["listen"] = address.to_string().into();
    let full = File::options().write(true).open("/dev/full").unwrap();
    let mut child = dispatcher.command().stdout(full.try_clone().unwrap()).stderr(full).spawn().unwrap();
    let mut status = None;
    eventually("the listening socket", || {
        status = child.try_wait().unwrap();
        status.is_some() || std::net::TcpStream::connect(address).is_ok()
    });
    assert!(status.is_none(), "{status:?}");
    let kill_status =
        std::process::Command::new("kill").arg("-HUP").arg(child.id().to_string()).status().unwrap();
    assert!(kill_status.success());
    thread::sleep(Duration::from_millis(300));
    assert!(child.try_wait().unwrap().is_none(), "the process is still running");
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The state directory rejects the record of a message's end, and the process is killed. The message has time left in the
/// next process, which must not send it: its client may have submitted it elsewhere after the notice.
#[test]
fn a_handed_back_message_is_not_sent_by_the_next_process() {
    let platform = Platform::start();
    let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
    let submitted_at = Instant::now();
    assert_eq!(dispatcher.connect().submit("unsafe", "m1", 7, 4900, b"x").status(), 202);
    faults.set(Field::StateDirError, libc::EIO.into());
    dispatcher.signal("TERM");
    // The notice is due before the process has to exit.
    eventually("the end of the shutdown time", || submitted_at.elapsed() > Duration::from_millis(3000));
    dispatcher.kill();
    faults.set(Field::StateDirError, 0);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("a call or a notice", || {
        !endpoint.requests().is_empty() || !platform.outcomes("m1").is_empty()
    });
    thread::sleep(Duration::from_millis(300));
    assert!(
        endpoint.requests().is_empty() || platform.outcomes("m1").is_empty(),
        "the message was both handed back and sent"
    );
}

/// An upgrade while the state directory rejects writes: whichever process owns it afterwards, each message is called once, and
/// no request is lost.
#[test]
fn an_upgrade_during_write_failures_loses_and_repeats_no_message() {
    for fault_ms in [0, 700, 1500] {
        let platform = Platform::start();
        let (mut dispatcher, faults) = start_with_draining_endpoint(&platform);
        let ids = submit_messages(&dispatcher, 9, 15_000);
        faults.step_wall_clock(3600);
        let fault = faults.fail_writes(libc::EIO, Duration::from_millis(fault_ms));
        let mut old_process = dispatcher.upgrade();
        fault.join().unwrap();
        let endpoint = Endpoint::start(|_, _| ok());
        platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
        eventually("all calls", || endpoint.requests().len() + platform.notices().len() >= ids.len());
        assert!(
            all_called_once(&endpoint, &ids),
            "{fault_ms} ms: {:?} {:?} {:#?}",
            endpoint.message_ids(),
            platform.notices(),
            dispatcher.log()
        );
        assert_eq!(dispatcher.submit("safe", "after", 7), 202);
        eventually("the new call", || endpoint.message_ids().contains(&"after".to_string()));
        let _ = old_process.kill();
        old_process.wait().unwrap();
    }
}

/// Requests with a timeout of 0 to 100 ms: each gets its final answer or notice on time.
#[test]
fn requests_with_almost_no_time_left_end_on_time() {
    let platform = Platform::start();
    let (dispatcher, _faults) = start_with_draining_endpoint(&platform);
    for (number, timeout_ms) in [0, 1, 5, 30, 100].into_iter().enumerate() {
        for class in ["safe", "keyed", "unsafe"] {
            let (id, submitted_at) = (format!("{class}{number}"), Instant::now());
            let status = dispatcher.connect().submit(class, &id, 7, timeout_ms, b"x").status();
            if status == 202 {
                eventually("the notice", || platform.outcomes(&id) == ["handed_back"]);
                let delay = submitted_at.elapsed().saturating_sub(Duration::from_millis(timeout_ms.into()));
                assert!(delay < Duration::from_millis(300), "{id}: {delay:?}");
            } else {
                assert_eq!(status, 503);
            }
        }
    }
}

/// An operator suspends an endpoint while the state directory rejects writes: the suspension is saved once writes succeed, and
/// so still holds in the next process.
#[test]
fn an_override_that_could_not_be_saved_is_saved_later() {
    let endpoint = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let mut dispatcher =
        Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    dispatcher.control_enabled = true;
    let faults = FaultInjector::attach(&mut dispatcher);
    dispatcher.start();
    faults.set(Field::StateDirError, libc::ENOSPC.into());
    let answer = dispatcher.send_control_request(&fawnspoke_control::protocol::Request::Suspend("e".into()));
    let text = format!("{answer:?}");
    assert!(text.contains("not on record"), "{text}");
    faults.set(Field::StateDirError, 0);
    thread::sleep(Duration::from_millis(1500));
    dispatcher.kill();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    thread::sleep(Duration::from_millis(1500));
    assert!(endpoint.requests().is_empty(), "the endpoint is suspended until it is restored");
}

/// In the first second of a start, calls that create a socket or an epoll instance, or that listen, fail.
#[test]
fn a_start_waits_until_sockets_are_available() {
    for error in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        let endpoint = Endpoint::start(|_, _| ok());
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        dispatcher.control_enabled = true;
        let faults = FaultInjector::attach(&mut dispatcher);
        faults.set(Field::SocketError, error.into());
        let faults_to_clear = faults.clone();
        let fault = thread::spawn(move || {
            thread::sleep(Duration::from_millis(1000));
            faults_to_clear.set(Field::SocketError, 0);
        });
        dispatcher.start();
        fault.join().unwrap();
        assert!(faults.fault_count() > 0);
        assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
        eventually("the call", || endpoint.requests().len() == 1);
    }
}

/// Reads and writes report a broken connection as ETIMEDOUT, EHOSTUNREACH or ENETUNREACH: an unsafe message that may have run
/// is not sent again, and every accepted message ends.
#[test]
fn network_errors_on_transfers_count_as_broken_connections() {
    for (error, interval) in [(libc::ETIMEDOUT, 7), (libc::EHOSTUNREACH, 5), (libc::ENETUNREACH, 11)] {
        let endpoint = Endpoint::start(|_, _| ok());
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let faults = FaultInjector::attach(&mut dispatcher);
        dispatcher.start();
        faults.set(Field::TransferError, error.into());
        faults.set(Field::TransferErrorInterval, interval);
        let unused_client = dispatcher.connect();
        drop(unused_client);
        let mut accepted = Vec::new();
        for number in 0..40 {
            let (id, class) = (format!("m{number}"), ["safe", "keyed", "unsafe"][number % 3]);
            let mut client = dispatcher.connect();
            client.send(class, &id, 7, 3000, b"x");
            // The client's own connection may break, too.
            if client.try_read_response().is_some_and(|answer| answer.status() == 202) {
                accepted.push((id, class));
            }
        }
        faults.set(Field::TransferErrorInterval, 0);
        assert!(accepted.len() >= 10, "{} accepted", accepted.len());
        for (id, class) in &accepted {
            eventually("the end of the message", || {
                endpoint.message_ids().contains(id) || !platform.outcomes(id).is_empty()
            });
            let calls = endpoint.message_ids().iter().filter(|other| *other == id).count();
            assert!(calls <= 1 || *class != "unsafe", "{id}: {calls} calls");
        }
    }
}
