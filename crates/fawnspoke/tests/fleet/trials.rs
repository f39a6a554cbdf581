//! Tries at a place that is out: one member's affair, and never the reason why a message is not delivered.

use super::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

struct Played {
    tries: usize,
    delivered: BTreeSet<String>,
}

/// Each member hands in three messages a second for a place that breaks each call for some seconds.
fn play(fleet: bool, count: usize, out_s: f64) -> Played {
    let out = Arc::new(AtomicBool::new(false));
    let asked = out.clone();
    let mut stage = stage(3, count - 3, QUICK, move || match asked.load(Ordering::SeqCst) {
        true => Reply::Disconnect,
        false => Reply::status(200),
    });
    for dispatcher in &mut stage.members.dispatchers {
        dispatcher.config["settings"]["balancers"] = count.into();
        if !fleet {
            dispatcher.shell_prelude.clear();
        }
    }
    match fleet {
        true => stage.members.start(),
        false => stage.members.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.start()),
    }
    let (began, mut number) = (Instant::now(), 0);
    let mut at = |members: &TestFleet, until: f64| {
        while began.elapsed().as_secs_f64() < until {
            for (i, dispatcher) in members.dispatchers.iter().enumerate() {
                let _ = dispatcher.submit("keyed", &format!("m{i}-{number}"), 7);
            }
            number += 1;
            std::thread::sleep(Duration::from_millis(300));
        }
    };
    at(&stage.members, 1.0);
    out.store(true, Ordering::SeqCst);
    let before = stage.endpoint.requests().len();
    at(&stage.members, 1.0 + out_s);
    let tries = stage.endpoint.requests().len() - before;
    out.store(false, Ordering::SeqCst);
    let taken = number * count;
    let delivered = || stage.endpoint.message_ids().into_iter().collect::<BTreeSet<_>>();
    eventually("all messages", || delivered().len() >= taken);
    clean(&stage.members);
    Played { tries, delivered: delivered() }
}

#[test]
fn a_fleet_tries_less_than_its_members_alone_and_delivers_all() {
    let (alone, together) = (play(false, 5, 6.0), play(true, 5, 6.0));
    println!(
        "tries at a place that is out for 6 s, five members: {} alone, {} together",
        alone.tries, together.tries
    );
    assert!(together.tries < alone.tries, "{} alone, {} together", alone.tries, together.tries);
    assert!(together.delivered.len() >= 5);
}
