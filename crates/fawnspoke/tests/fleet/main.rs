//! Several processes of the program as one fleet, with faults between them, on loopback sockets. The lab's history
//! checker verifies the events that each process has logged. The tests wait for conditions and rely on no tight timing.

mod callers;
mod duties;
mod faults;
mod lists;
mod member_identity;
mod trials;

use fawnspoke_lab::blocking::{Endpoint, Platform, Reply, eventually};
use fawnspoke_lab::test_fleet::{FleetShape, TestFleet};
use std::path::Path;

/// Short lease terms and frequent duty actions, so that the tests finish quickly.
const FAST_SETTINGS: &str =
    "term_s = 1.0\nkeeper_round_s = 0.05\nhold_most_s = 1.0\ncut_after = 100\ndisk_mb = 0.5";

/// A fleet with one platform and one endpoint for destination 7, which answers each request by a script.
struct FleetFixture {
    members: TestFleet,
    endpoint: Endpoint,
    _platform: Platform,
}

fn new_fleet(
    voters: usize, learners: usize, settings: &str, script: impl Fn() -> Reply + Send + Sync + 'static,
) -> FleetFixture {
    let (endpoint, platform) = (Endpoint::start(move |_, _| script()), Platform::start());
    let shape = FleetShape { voters, learners, extra_config: settings.into() };
    let (program, parent) =
        (Path::new(env!("CARGO_BIN_EXE_fawnspoke")), Path::new(env!("CARGO_TARGET_TMPDIR")));
    let known = [endpoint.list_entry("e", 7, "up")];
    let members =
        TestFleet::new(program, parent, &shape, &[&platform], &known).expect("state folders and relays");
    FleetFixture { members, endpoint, _platform: platform }
}

fn start_fleet(voters: usize, learners: usize) -> FleetFixture {
    let mut fleet = new_fleet(voters, learners, FAST_SETTINGS, || Reply::status(200));
    fleet.members.start();
    fleet
}

/// Waits until a member holds the log maintenance duty (`keeper` in the log) under an epoch later than `epoch`.
/// Returns the member and its epoch.
fn wait_for_log_maintainer(members: &TestFleet, epoch: u64) -> (usize, u64) {
    let mut found = None;
    eventually("a holder of the log maintenance duty under a later epoch", || {
        found = members.duty_holder("keeper").filter(|(_, current)| *current > epoch);
        found.is_some()
    });
    found.expect("a holder of the log maintenance duty")
}

fn assert_valid_history(members: &TestFleet) {
    let violations = members.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}
