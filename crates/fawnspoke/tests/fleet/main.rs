//! Several processes of the program as one fleet, with faults between them, on loopback sockets. What each wrote is judged
//! by the lab's history checker. Each test waits on conditions, never on a tight time.

mod duties;
mod faults;
mod member_identity;
mod trials;

use fawnspoke_lab::members::{Members, Shape};
use fawnspoke_lab::stage::{Endpoint, Platform, Reply, eventually};
use std::path::Path;

/// Acts come often, and terms are short.
const QUICK: &str = "term_s = 1.0\nkeeper_round_s = 0.05\nhold_most_s = 1.0\ncut_after = 100\ndisk_mb = 0.5";

/// A fleet with one platform and one endpoint for destination 7 that answers by the script.
struct Stage {
    members: Members,
    endpoint: Endpoint,
    _platform: Platform,
}

fn stage(
    voters: usize, observers: usize, settings: &str, script: impl Fn() -> Reply + Send + Sync + 'static,
) -> Stage {
    let (endpoint, platform) = (Endpoint::start(move |_, _| script()), Platform::start());
    let shape = Shape { voters, observers, settings: settings.into() };
    let (program, parent) =
        (Path::new(env!("CARGO_BIN_EXE_fawnspoke")), Path::new(env!("CARGO_TARGET_TMPDIR")));
    let known = [endpoint.host("e", 7, "up")];
    let members = Members::new(program, parent, &shape, &[&platform], &known).expect("folders and relays");
    Stage { members, endpoint, _platform: platform }
}

fn started(voters: usize, observers: usize) -> Stage {
    let mut stage = stage(voters, observers, QUICK, || Reply::status(200));
    stage.members.start();
    stage
}

/// Who holds the keeper's duty, once somebody does under a later epoch.
fn next_keeper(members: &Members, epoch: u64) -> (usize, u64) {
    let mut found = None;
    eventually("another keeper", || {
        found = members.holder("keeper").filter(|(_, now)| *now > epoch);
        found.is_some()
    });
    found.expect("a keeper")
}

fn clean(members: &Members) {
    let faults = members.faults();
    assert!(faults.is_empty(), "{faults:#?}");
}
