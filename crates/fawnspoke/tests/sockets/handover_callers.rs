//! Upgrades while accepting connections fails.

use crate::machine_faults::{FaultInjector, Field};
use crate::support::*;
use std::process::Child;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The new process has this long to say that it serves (operators' page, "Upgrades").
const UPGRADE_LIMIT: Duration = Duration::from_secs(6);
/// After this time, an upgrade that does not come to its end is ended by a kill of the old process.
const GIVE_UP_AFTER: Duration = Duration::from_secs(15);

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
fn upgrade_three_times(dispatcher: &mut Dispatcher) {
    for number in 1..=3 {
        let (mut old_process, took) = timed_upgrade(dispatcher);
        old_process.kill().expect("a signal");
        old_process.wait().expect("its end");
        assert!(took < UPGRADE_LIMIT, "upgrade {number}: {took:?}");
        let with_state =
            |line: &String| line == "handover: took over from the previous process, with its in-memory state";
        assert_eq!(dispatcher.log().iter().filter(|line| with_state(line)).count(), number);
    }
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
