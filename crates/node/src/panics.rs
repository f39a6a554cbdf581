//! What a panic does: it is logged, and the process starts again from its journal.
//!
//! The runtime catches the panic of a task and drops the task. That would leave a process that runs but accepts no
//! clients or sends no notices. So the event loop restarts the process once a task of its thread has panicked. Panics of
//! other threads are logged only: the fleet's thread recovers by itself, and without the control port messages are
//! still delivered.

use crate::log;
use std::panic;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Name of the thread that runs the dispatcher.
const DISPATCHER_THREAD: &str = "main";
/// A process that panics sooner after its start is not restarted: it would panic again, without end.
const MIN_UPTIME: Duration = Duration::from_secs(1);

static DISPATCHER_PANICKED: AtomicBool = AtomicBool::new(false);

/// Logs all panics of this process from now on, each with its thread, place and message.
pub fn install_hook() {
    panic::set_hook(Box::new(|info| {
        let current = thread::current();
        let thread_name = current.name().unwrap_or("unnamed");
        log::info(describe(thread_name, &info.to_string()));
        if thread_name == DISPATCHER_THREAD {
            DISPATCHER_PANICKED.store(true, Ordering::Relaxed);
        }
    }));
}

/// Whether a task of the dispatcher's thread has panicked.
pub fn dispatcher_panicked() -> bool {
    DISPATCHER_PANICKED.load(Ordering::Relaxed)
}

/// Whether a process that panicked this long after its start is started again.
pub fn may_restart(uptime: Duration) -> bool {
    uptime >= MIN_UPTIME
}

/// The panic on one line.
fn describe(thread_name: &str, panic: &str) -> String {
    format!("panic in thread {thread_name}: {}", panic.split_whitespace().collect::<Vec<_>>().join(" "))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_is_one_line() {
        let text = "panicked at src/a.rs:1:2:\nindex out of range\n";
        assert_eq!(
            describe("main", text),
            "panic in thread main: panicked at src/a.rs:1:2: index out of range"
        );
    }

    #[test]
    fn a_process_that_panics_at_its_start_is_not_restarted() {
        assert!(!may_restart(Duration::from_millis(999)));
        assert!(may_restart(Duration::from_secs(1)));
    }
}
