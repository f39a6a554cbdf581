//! Several processes of the program as one fleet, with faults between them, on loopback sockets. What each wrote is judged
//! by the lab's history checker. Each test waits on conditions, never on a tight time.

mod duties;
mod faults;
mod member_identity;
mod trials;

use fawnspoke_lab::blocking::{Endpoint, Platform, Reply, eventually};
use fawnspoke_lab::test_fleet::{FleetShape, TestFleet};
use std::path::Path;

/// Acts come often, and terms are short.
const QUICK: &str = "term_s = 1.0\nkeeper_round_s = 0.05\nhold_most_s = 1.0\ncut_after = 100\ndisk_mb = 0.5";

/// A fleet with one platform and one endpoint for destination 7 that answers by the script.
struct Stage {
    members: TestFleet,
    endpoint: Endpoint,
    _platform: Platform,
}

fn stage(
    voters: usize, observers: usize, settings: &str, script: impl Fn() -> Reply + Send + Sync + 'static,
) -> Stage {
    let (endpoint, platform) = (Endpoint::start(move |_, _| script()), Platform::start());
    let shape = FleetShape { voters, observers, extra_config: settings.into() };
    let (program, parent) =
        (Path::new(env!("CARGO_BIN_EXE_fawnspoke")), Path::new(env!("CARGO_TARGET_TMPDIR")));
    let known = [endpoint.list_entry("e", 7, "up")];
    let members = TestFleet::new(program, parent, &shape, &[&platform], &known).expect("folders and relays");
    Stage { members, endpoint, _platform: platform }
}

fn started(voters: usize, observers: usize) -> Stage {
    let mut stage = stage(voters, observers, QUICK, || Reply::status(200));
    stage.members.start();
    stage
}

/// Who holds the keeper's duty, once somebody does under a later epoch.
fn next_keeper(members: &TestFleet, epoch: u64) -> (usize, u64) {
    let mut found = None;
    eventually("another keeper", || {
        found = members.duty_holder("keeper").filter(|(_, now)| *now > epoch);
        found.is_some()
    });
    found.expect("a keeper")
}

fn clean(members: &TestFleet) {
    let faults = members.violations();
    assert!(faults.is_empty(), "{faults:#?}");
}
