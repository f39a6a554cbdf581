//! Trials of an unavailable endpoint: one member of a fleet makes them, and they never prevent a delivery.

use super::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

struct OutageResult {
    calls_while_down: usize,
    delivered: BTreeSet<String>,
}

/// Sends three messages a second through each dispatcher while the endpoint breaks every call for `outage_s` seconds.
/// The dispatchers form a fleet if `in_fleet` is set; otherwise they are independent.
fn run_outage(in_fleet: bool, member_count: usize, outage_s: f64) -> OutageResult {
    let endpoint_down = Arc::new(AtomicBool::new(false));
    let is_down = endpoint_down.clone();
    let mut fleet =
        new_fleet(3, member_count - 3, FAST_SETTINGS, move || match is_down.load(Ordering::SeqCst) {
            true => Reply::Disconnect,
            false => Reply::status(200),
        });
    for dispatcher in &mut fleet.members.dispatchers {
        dispatcher.config["settings"]["balancers"] = member_count.into();
        if !in_fleet {
            dispatcher.shell_prelude.clear();
        }
    }
    match in_fleet {
        true => fleet.members.start(),
        false => fleet.members.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.start()),
    }
    let (started_at, mut round) = (Instant::now(), 0);
    let mut send_until = |members: &TestFleet, end_s: f64| {
        while started_at.elapsed().as_secs_f64() < end_s {
            for (i, dispatcher) in members.dispatchers.iter().enumerate() {
                let _ = dispatcher.submit("keyed", &format!("m{i}-{round}"), 7);
            }
            round += 1;
            std::thread::sleep(Duration::from_millis(300));
        }
    };
    send_until(&fleet.members, 1.0);
    endpoint_down.store(true, Ordering::SeqCst);
    let before = fleet.endpoint.requests().len();
    send_until(&fleet.members, 1.0 + outage_s);
    let calls_while_down = fleet.endpoint.requests().len() - before;
    endpoint_down.store(false, Ordering::SeqCst);
    let sent_count = round * member_count;
    let delivered = || fleet.endpoint.message_ids().into_iter().collect::<BTreeSet<_>>();
    eventually("all messages", || delivered().len() >= sent_count);
    assert_valid_history(&fleet.members);
    OutageResult { calls_while_down, delivered: delivered() }
}

#[test]
fn a_fleet_makes_fewer_trials_than_independent_members_and_delivers_all() {
    let (independent, fleet) = (run_outage(false, 5, 6.0), run_outage(true, 5, 6.0));
    println!(
        "calls to an endpoint that is down for 6 s, by five members: {} independent, {} in a fleet",
        independent.calls_while_down, fleet.calls_while_down
    );
    assert!(
        fleet.calls_while_down < independent.calls_while_down,
        "{} independent, {} in a fleet",
        independent.calls_while_down,
        fleet.calls_while_down
    );
    assert!(fleet.delivered.len() >= 5);
}
