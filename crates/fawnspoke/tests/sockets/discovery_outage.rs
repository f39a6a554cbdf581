//! Several dispatchers that ask one discovery service, and outages of it.

use crate::support::*;
use std::thread;
use std::time::{Duration, Instant};

const DISPATCHERS: usize = 8;
/// The size of the fleet that each of them is told.
const FLEET_SIZE: u32 = 40;
const OUTAGE: Duration = Duration::from_secs(12);
/// A change counts as told 6 s after discovery could be reached; then the shortest grace of a drain is over.
const LATEST: Duration = Duration::from_millis(6500);

/// Guards against pauses that grow with the fleet and waits for answers that never come: forty dispatchers asked for the
/// list up to 14 s after an outage (review/8).
#[test]
fn dispatchers_of_a_large_fleet_ask_in_time_after_a_silent_outage() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    platform.set(|behavior| behavior.heartbeats = true);
    let mut dispatchers: Vec<_> =
        (0..DISPATCHERS).map(|_| Dispatcher::new(&platform, &[draining_endpoint(7)])).collect();
    for (number, dispatcher) in dispatchers.iter_mut().enumerate() {
        dispatcher.config["settings"]["discovery"] = "subscribe".into();
        dispatcher.config["settings"]["balancers"] = FLEET_SIZE.into();
        dispatcher.config["seed"] = format!("{:x}", 0x51 + number).into();
        dispatcher.start();
    }
    eventually("a watch of each dispatcher", || platform.watch_paths().len() >= DISPATCHERS);
    platform.set_silent(true);
    thread::sleep(OUTAGE);
    platform.set_silent(false);
    let reachable_at = Instant::now();
    platform.push_changes(2, &[endpoint.list_entry("e", 8, "up")]);
    let mut missing: Vec<_> = (0..DISPATCHERS).collect();
    let mut listed_after = Vec::new();
    eventually("the list at each dispatcher", || {
        missing.retain(|number| {
            let is_listed = dispatchers[*number].submit("safe", &format!("m{number}"), 8) == 202;
            listed_after.extend(is_listed.then(|| reachable_at.elapsed()));
            !is_listed
        });
        missing.is_empty()
    });
    println!("listed after {listed_after:?}");
    assert!(listed_after.iter().all(|after| *after <= LATEST), "{listed_after:?}");
}
