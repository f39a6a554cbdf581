//! Peers that write as fast as they are read. The tests run one at a time, and in a binary of their own: a flood takes
//! the time of others, too.

mod flooding_peers;
mod interim_responses;
#[allow(dead_code)]
#[path = "../sockets/manual_endpoint.rs"]
mod manual_endpoint;
#[allow(dead_code, unused_imports)]
#[path = "../sockets/support.rs"]
mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test runs.
pub fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
