//! A machine in trouble: wall clocks that are stepped, folders that refuse writes, system calls that fail or fall short.
//! The process runs with a preloaded library (`crates/machine-faults`) that causes them.

use crate::manual_endpoint::ManualEndpoint;
use crate::support::*;
use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Numbers in the file that the library reads.
const FIELDS: usize = 16;

/// The fields of the file, in the library's order.
#[derive(Clone, Copy)]
#[repr(u64)]
pub enum Field {
    WallOffset,
    FolderError,
    ReadMost,
    WriteMost,
    AcceptError,
    AcceptEvery,
    ConnectError,
    ConnectEvery,
    InterruptEvery,
    TearNext,
    Faults,
    SocketError,
    BreakError,
    BreakEvery,
}

/// What the machine does to one dispatcher's processes.
#[derive(Clone)]
pub struct Machine {
    path: PathBuf,
}

impl Machine {
    /// One without trouble so far, under this dispatcher's processes.
    pub fn under(dispatcher: &mut Dispatcher) -> Machine {
        let library = std::env::current_exe().unwrap().with_file_name("libmachine_faults.so");
        assert!(library.exists(), "{} is built with the tests", library.display());
        let path = dispatcher.state_dir().with_file_name("machine");
        fs::write(&path, [0; FIELDS * 8]).unwrap();
        dispatcher.shell_prelude =
            format!("export MACHINE_FAULTS='{}' LD_PRELOAD='{}';", path.display(), library.display());
        Machine { path }
    }

    pub fn set(&self, field: Field, value: i64) {
        let file = File::options().write(true).open(&self.path).unwrap();
        file.write_all_at(&value.to_ne_bytes(), field as u64 * 8).unwrap();
    }

    pub fn step_wall_clock(&self, seconds: i64) {
        self.set(Field::WallOffset, seconds * 1_000_000);
    }

    /// How many calls failed or fell short so far.
    fn faults(&self) -> i64 {
        let (file, mut number) = (File::open(&self.path).unwrap(), [0; 8]);
        file.read_exact_at(&mut number, Field::Faults as u64 * 8).unwrap();
        i64::from_ne_bytes(number)
    }

    /// Writes to the folder fail for so long, from now on.
    pub fn refuse_writes(&self, error: i32, time: Duration) -> thread::JoinHandle<()> {
        self.set(Field::FolderError, error.into());
        let machine = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            machine.set(Field::FolderError, 0);
        })
    }
}

fn ok() -> Reply {
    Reply::status(200)
}

/// A dispatcher that knows of an endpoint to which nothing may go yet.
fn holding(platform: &Platform) -> (Dispatcher, Machine) {
    let mut dispatcher = Dispatcher::new(platform, &[draining_endpoint(7)]);
    let machine = Machine::under(&mut dispatcher);
    dispatcher.start();
    (dispatcher, machine)
}

/// Hands in messages of each class in turn, with this much time.
fn hand_in(dispatcher: &Dispatcher, count: usize, time_ms: u32) -> Vec<String> {
    let mut client = dispatcher.connect();
    let ids: Vec<String> = (0..count).map(|number| format!("m{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let class = ["safe", "keyed", "unsafe"][number % 3];
        assert_eq!(client.submit(class, id, 7, time_ms, b"x").status(), 202);
    }
    ids
}

/// Whether each message was called once and none has ended undelivered.
fn all_called_once(endpoint: &Endpoint, ids: &[String]) -> bool {
    let mut called = endpoint.message_ids();
    called.sort();
    let mut all = ids.to_vec();
    all.sort();
    called == all
}

/// The wall clock is stepped while the process is down; what it finds has time left.
fn found_after_a_step(seconds: i64) {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let ids = hand_in(&dispatcher, 20, 13_500);
    dispatcher.kill();
    machine.step_wall_clock(seconds);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("an end of each", || endpoint.requests().len() + platform.notices().len() >= ids.len());
    assert_eq!(platform.notices(), [] as [serde_json::Value; 0], "{seconds} s");
    assert!(all_called_once(&endpoint, &ids));
}

#[test]
fn what_a_restart_finds_is_tried_though_the_wall_clock_was_stepped() {
    [3600, -3600, 30, -30].into_iter().for_each(found_after_a_step);
}

/// Spans go on while the process is down, whatever the wall clock says: a key's memory ends in time.
#[test]
fn a_key_is_not_trusted_for_longer_after_a_step_back() {
    for seconds in [-3600, -2, 0] {
        let (gated, platform) = (ManualEndpoint::start(), Platform::start());
        let mut dispatcher = Dispatcher::new(&platform, &[gated.host("e", 7)]);
        dispatcher.config["settings"]["grades"][1]["repeat_window"] = 3.0.into();
        let machine = Machine::under(&mut dispatcher);
        dispatcher.start();
        assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
        let mut peer = gated.accept();
        assert!(peer.read_request().is_some());
        let ran = Instant::now();
        dispatcher.kill();
        machine.step_wall_clock(seconds);
        eventually("the end of the window", || ran.elapsed() > Duration::from_secs(3));
        dispatcher.start();
        eventually("its end", || !platform.outcomes("m1").is_empty() || !gated_is_quiet(&gated));
        assert_eq!(
            platform.outcomes("m1"),
            ["handed_back"],
            "{seconds} s: it may have run, and its key is forgotten"
        );
    }
}

fn gated_is_quiet(gated: &ManualEndpoint) -> bool {
    gated.accept_within(Duration::ZERO).is_none()
}

/// Steps in service, forward and back in turn: nothing ends early or late by them.
#[test]
fn steps_of_the_wall_clock_in_service_change_no_span() {
    let platform = Platform::start();
    let (dispatcher, machine) = holding(&platform);
    let stepping = thread::spawn(move || {
        for step in 0..600 {
            machine.step_wall_clock([3600, -3600, 1, -1, 0, 86_400][step % 6]);
            thread::sleep(Duration::from_millis(5));
        }
    });
    let begun = Instant::now();
    let ids = hand_in(&dispatcher, 60, 2500);
    let long = dispatcher.connect().submit("safe", "long", 7, 19_000, b"x");
    assert_eq!(long.status(), 202);
    eventually("their ends", || ids.iter().all(|id| !platform.outcomes(id).is_empty()));
    let time = begun.elapsed();
    assert!(time > Duration::from_millis(2000) && time < Duration::from_millis(2900), "{time:?}");
    assert!(platform.outcomes("long").is_empty());
    stepping.join().unwrap();
}

/// The folder refuses writes when the process starts, and for 1.5 s more.
fn starts_while_the_folder_refuses(error: i32) {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let ids = hand_in(&dispatcher, 9, 15_000);
    dispatcher.kill();
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    let refusing = machine.refuse_writes(error, Duration::from_millis(1500));
    let begun = Instant::now();
    dispatcher.start();
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    refusing.join().unwrap();
    assert!(machine.faults() > 0);
    eventually("all calls", || endpoint.requests().len() >= ids.len());
    assert!(all_called_once(&endpoint, &ids));
    assert!(platform.notices().is_empty());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
}

#[test]
fn a_start_outlasts_a_folder_that_refuses_writes() {
    [libc::EIO, libc::ENOSPC].into_iter().for_each(starts_while_the_folder_refuses);
}

/// A process that waits for its folder still heeds SIGTERM.
#[test]
fn a_start_that_waits_for_its_folder_can_be_told_to_stop() {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    dispatcher.kill();
    machine.set(Field::FolderError, libc::EIO.into());
    let mut child = dispatcher.command().spawn().unwrap();
    let faults = machine.faults();
    eventually("a second try", || machine.faults() >= faults + 2);
    let done = std::process::Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(done.success());
    let mut status = None;
    eventually("its end", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    assert!(status.unwrap().success());
}

/// The folder refuses writes while messages wait for a place that is out; some come back before it does.
fn held_while_the_folder_refuses(error: i32) {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let ids = hand_in(&dispatcher, 10, 12_000);
    let endpoint = Endpoint::start(|_, _| ok());
    let refusing = machine.refuse_writes(error, Duration::from_millis(2000));
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    // What may be repeated goes on; new messages are turned away and may come again.
    eventually("the calls that need no record", || endpoint.requests().len() >= 4);
    let answer = dispatcher.connect().submit("safe", "new", 7, 15_000, b"x");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    refusing.join().unwrap();
    let ended = Instant::now();
    eventually("all calls", || endpoint.requests().len() + platform.notices().len() >= ids.len());
    assert!(ended.elapsed() < Duration::from_millis(500), "{:?}", ended.elapsed());
    assert!(all_called_once(&endpoint, &ids), "{:?} {:?}", endpoint.message_ids(), platform.notices());
    assert!(platform.notices().is_empty());
    assert_eq!(dispatcher.submit("safe", "after", 7), 202);
    eventually("the last call", || endpoint.message_ids().contains(&"after".to_string()));
    // All of it is over for the next life too.
    eventually("its record", || dispatcher.submit("unsafe", "m2", 7) == 202);
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "later", 7), 202);
    eventually("the new call", || endpoint.message_ids().contains(&"later".to_string()));
    assert_eq!(endpoint.requests().len(), ids.len() + 2);
}

#[test]
fn what_is_held_outlasts_a_folder_that_refuses_writes() {
    [libc::EIO, libc::ENOSPC].into_iter().for_each(held_while_the_folder_refuses);
}

/// The process is killed while its folder refuses writes, with messages that were never sent.
#[test]
fn a_kill_while_the_folder_refuses_leaves_unsent_messages_unsent() {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let mut client = dispatcher.connect();
    for id in ["u1", "u2", "u3"] {
        assert_eq!(client.submit("unsafe", id, 7, 15_000, b"x").status(), 202);
    }
    let endpoint = Endpoint::start(|_, _| ok());
    machine.set(Field::FolderError, libc::ENOSPC.into());
    platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
    let faults = machine.faults();
    eventually("calls that could not be recorded", || machine.faults() >= faults + 3);
    dispatcher.kill();
    assert!(endpoint.requests().is_empty() && platform.notices().is_empty());
    machine.set(Field::FolderError, 0);
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("their calls", || endpoint.requests().len() + platform.notices().len() >= 3);
    assert!(platform.notices().is_empty(), "they had surely not run: {:?}", platform.notices());
}

/// A write stops half way and the process dies in it: what stood before it holds.
#[test]
fn a_kill_in_the_middle_of_a_write_loses_nothing_before_it() {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let ids = hand_in(&dispatcher, 6, 15_000);
    machine.set(Field::TearNext, 1);
    let mut client = dispatcher.connect();
    client.send("safe", "torn", 7, 15_000, b"x");
    assert!(!dispatcher.wait(), "it dies in the write");
    machine.set(Field::TearNext, 0);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("all calls", || endpoint.requests().len() >= ids.len());
    assert_eq!(dispatcher.submit("unsafe", "after", 7), 202);
    eventually("the new call", || endpoint.message_ids().contains(&"after".to_string()));
    assert!(!endpoint.message_ids().contains(&"torn".to_string()));
}

/// Reads and writes that fall short, at clients, calls, the watch and notices.
#[test]
fn reads_and_writes_of_a_few_bytes_are_no_end() {
    for (read, write) in [(1, 0), (0, 1), (1, 1), (7, 5)] {
        let endpoint = Endpoint::start(|_, request| match request.header("request-id") {
            Some(id) if id.starts_with("bad") => Reply::Disconnect,
            _ => ok(),
        });
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(8)]);
        let machine = Machine::under(&mut dispatcher);
        machine.set(Field::ReadMost, read);
        machine.set(Field::WriteMost, write);
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
        assert!(machine.faults() > 0);
    }
}

/// Errors of a moment at accept, connect and epoll_wait.
#[test]
fn errors_of_a_moment_end_no_request_and_close_no_idle_client() {
    let accepts = [libc::ECONNABORTED, libc::EINTR, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPERM];
    let connects = [libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::ETIMEDOUT, libc::EHOSTUNREACH];
    for (round, accept) in accepts.into_iter().enumerate() {
        let endpoint = Endpoint::start(|_, _| Reply::AnswerAndClose(200));
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let machine = Machine::under(&mut dispatcher);
        dispatcher.start();
        let mut resting: Vec<_> = (0..5).map(|_| dispatcher.connect()).collect();
        for (number, client) in resting.iter_mut().enumerate() {
            assert_eq!(client.submit("safe", &format!("r{number}"), 7, 15_000, b"x").status(), 202);
        }
        machine.set(Field::AcceptError, accept.into());
        machine.set(Field::ConnectError, connects[round % connects.len()].into());
        machine.set(Field::InterruptEvery, 3);
        machine.set(Field::ConnectEvery, 2);
        machine.set(Field::AcceptEvery, 2);
        for number in 0..10 {
            let id = format!("m{number}");
            assert_eq!(dispatcher.connect().submit("safe", &id, 7, 15_000, b"x").status(), 202, "{accept}");
        }
        for (number, client) in resting.iter_mut().enumerate() {
            let answer = client.submit("safe", &format!("again{number}"), 7, 15_000, b"x");
            assert_eq!(answer.status(), 202, "{accept}: an idle client keeps its connection");
        }
        eventually("all calls", || endpoint.requests().len() == 20);
        assert!(platform.notices().is_empty());
    }
}

/// Standard output takes nothing: lines are lost, and nothing else.
#[test]
fn a_log_that_cannot_be_written_ends_nothing() {
    let endpoint = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    drop(listener);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["listen"] = at.to_string().into();
    let full = File::options().write(true).open("/dev/full").unwrap();
    let mut child = dispatcher.command().stdout(full.try_clone().unwrap()).stderr(full).spawn().unwrap();
    let mut status = None;
    eventually("that it listens", || {
        status = child.try_wait().unwrap();
        status.is_some() || std::net::TcpStream::connect(at).is_ok()
    });
    assert!(status.is_none(), "{status:?}");
    let done = std::process::Command::new("kill").arg("-HUP").arg(child.id().to_string()).status().unwrap();
    assert!(done.success());
    thread::sleep(Duration::from_millis(300));
    assert!(child.try_wait().unwrap().is_none(), "it lives on");
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The folder refuses the record of an end; the process is killed; the message has time left in the next life. What was handed
/// back may have been handed in elsewhere.
#[test]
fn what_was_handed_back_is_not_sent_by_the_next_life() {
    let platform = Platform::start();
    let (mut dispatcher, machine) = holding(&platform);
    let handed = Instant::now();
    assert_eq!(dispatcher.connect().submit("unsafe", "m1", 7, 4900, b"x").status(), 202);
    machine.set(Field::FolderError, libc::EIO.into());
    dispatcher.signal("TERM");
    // Its answer is due before this process ends.
    eventually("the end of the process's time", || handed.elapsed() > Duration::from_millis(3000));
    dispatcher.kill();
    machine.set(Field::FolderError, 0);
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("its end", || !endpoint.requests().is_empty() || !platform.outcomes("m1").is_empty());
    thread::sleep(Duration::from_millis(300));
    assert!(endpoint.requests().is_empty() || platform.outcomes("m1").is_empty(), "handed back, and sent");
}

/// An upgrade while the folder refuses writes: whoever owns afterwards, each message is called once, and no request is lost.
#[test]
fn an_upgrade_while_the_folder_refuses_loses_and_doubles_nothing() {
    for time in [0, 700, 1500] {
        let platform = Platform::start();
        let (mut dispatcher, machine) = holding(&platform);
        let ids = hand_in(&dispatcher, 9, 15_000);
        machine.step_wall_clock(3600);
        let refusing = machine.refuse_writes(libc::EIO, Duration::from_millis(time));
        let mut old = dispatcher.upgrade();
        refusing.join().unwrap();
        let endpoint = Endpoint::start(|_, _| ok());
        platform.push_changes(2, &[endpoint.list_entry("e", 7, "up")]);
        eventually("all calls", || endpoint.requests().len() + platform.notices().len() >= ids.len());
        assert!(
            all_called_once(&endpoint, &ids),
            "{time} ms: {:?} {:?}",
            endpoint.message_ids(),
            platform.notices()
        );
        assert_eq!(dispatcher.submit("safe", "after", 7), 202);
        eventually("the new call", || endpoint.message_ids().contains(&"after".to_string()));
        let _ = old.kill();
        old.wait().unwrap();
    }
}

/// "Requests with very little time left": each gets its final answer in time.
#[test]
fn requests_without_time_are_ended_in_time() {
    let platform = Platform::start();
    let (dispatcher, _machine) = holding(&platform);
    for (number, time) in [0, 1, 5, 30, 100].into_iter().enumerate() {
        for class in ["safe", "keyed", "unsafe"] {
            let (id, handed) = (format!("{class}{number}"), Instant::now());
            let status = dispatcher.connect().submit(class, &id, 7, time, b"x").status();
            if status == 202 {
                eventually("its notice", || platform.outcomes(&id) == ["handed_back"]);
                let late = handed.elapsed().saturating_sub(Duration::from_millis(time.into()));
                assert!(late < Duration::from_millis(300), "{id}: {late:?}");
            } else {
                assert_eq!(status, 503);
            }
        }
    }
}

/// An endpoint is taken out by hand while the folder refuses the order's record; it holds in the next life too.
#[test]
fn an_order_that_could_not_be_recorded_is_recorded_later() {
    let endpoint = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let mut dispatcher =
        Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    dispatcher.control_enabled = true;
    let machine = Machine::under(&mut dispatcher);
    dispatcher.start();
    machine.set(Field::FolderError, libc::ENOSPC.into());
    let answer = dispatcher.send_control_request(&fawnspoke_control::protocol::Request::Suspend("e".into()));
    let text = format!("{answer:?}");
    assert!(text.contains("not on record"), "{text}");
    machine.set(Field::FolderError, 0);
    thread::sleep(Duration::from_millis(1500));
    dispatcher.kill();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    thread::sleep(Duration::from_millis(1500));
    assert!(endpoint.requests().is_empty(), "it is out by hand until it is called back");
}

/// No socket, no epoll and no place to listen at in the first second of a start.
#[test]
fn a_start_outlasts_a_machine_that_is_short_of_sockets() {
    for error in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        let endpoint = Endpoint::start(|_, _| ok());
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        dispatcher.control_enabled = true;
        let machine = Machine::under(&mut dispatcher);
        machine.set(Field::SocketError, error.into());
        let passing = machine.clone();
        let passed = thread::spawn(move || {
            thread::sleep(Duration::from_millis(1000));
            passing.set(Field::SocketError, 0);
        });
        dispatcher.start();
        passed.join().unwrap();
        assert!(machine.faults() > 0);
        assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
        eventually("its call", || endpoint.requests().len() == 1);
    }
}

/// A broken connection shows as ETIMEDOUT or EHOSTUNREACH, at reads and at writes: what may have run is never sent again if it may not
/// be repeated, and everything has its end.
#[test]
fn breaks_that_show_otherwise_are_breaks() {
    for (error, every) in [(libc::ETIMEDOUT, 7), (libc::EHOSTUNREACH, 5), (libc::ENETUNREACH, 11)] {
        let endpoint = Endpoint::start(|_, _| ok());
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let machine = Machine::under(&mut dispatcher);
        dispatcher.start();
        machine.set(Field::BreakError, error.into());
        machine.set(Field::BreakEvery, every);
        let at = dispatcher.connect();
        drop(at);
        let mut taken = Vec::new();
        for number in 0..40 {
            let (id, class) = (format!("m{number}"), ["safe", "keyed", "unsafe"][number % 3]);
            let mut client = dispatcher.connect();
            client.send(class, &id, 7, 3000, b"x");
            // Its own connection may be one that breaks.
            if client.try_read_response().is_some_and(|answer| answer.status() == 202) {
                taken.push((id, class));
            }
        }
        machine.set(Field::BreakEvery, 0);
        assert!(taken.len() >= 10, "{} taken", taken.len());
        for (id, class) in &taken {
            eventually("its end", || {
                endpoint.message_ids().contains(id) || !platform.outcomes(id).is_empty()
            });
            let calls = endpoint.message_ids().iter().filter(|other| *other == id).count();
            assert!(calls <= 1 || *class != "unsafe", "{id}: {calls} calls");
        }
    }
}
