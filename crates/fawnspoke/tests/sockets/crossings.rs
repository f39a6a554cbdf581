//! Two things that cross: each test forces one order of them and says which.

use crate::gated::Gated;
use crate::stage::*;
use std::time::{Duration, Instant};

/// The connection of a call is on its way; another call of the destination is told to wait; then it comes up.
#[test]
fn a_wait_told_while_a_connection_comes_up_is_heeded() {
    const WAIT: Duration = Duration::from_millis(3900);
    let (quick, mut slow) = (Gated::open(), Gated::locked());
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[slow.host("slow", 7), quick.host("quick", 7)]);
    dispatcher.config["settings"]["limits"]["connect_timeout"] = 10.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.hand_in("safe", "m1", 7), 202);
    assert_eq!(dispatcher.hand_in("safe", "m2", 7), 202);
    let mut peer = quick.accept();
    assert!(peer.request().is_some());
    eventually("a connect that hangs", || slow.knocked());
    let told = Instant::now();
    peer.write(b"HTTP/1.1 429 Wait\r\nRetry-After: 3.9\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(peer.request().is_none(), "it has read the answer, and closes");
    slow.unlock();
    let mut late = slow.accept();
    assert!(told.elapsed() < WAIT - Duration::from_millis(500), "the connection came up within the wait");
    assert!(late.request().is_some());
    assert!(told.elapsed() >= WAIT - Duration::from_millis(100), "a call {:?} into the wait", told.elapsed());
    assert!(platform.notices().is_empty());
}
