//! Members of a fleet in a scenario, and trouble between them by seed: kills, stalls, cuts of each kind, slow and broken
//! links, folders that come back older or empty. What came of it is read from the logs.

use crate::history;
use crate::process::Process;
use crate::record::ProcessSignal;
use crate::relay::Relay;
use crate::scenario::FleetSettings;
use crate::topology::Topology;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::Command;

/// The relays between members, by who calls whom.
pub type Relays = BTreeMap<(usize, usize), Relay>;

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Killed, and started again; its folder of the fleet first put back to an older copy, or emptied.
    Kill(Folder),
    /// Stopped for so long, in seconds.
    Stop(f64),
    /// Cut off from all others for so long: what it says, what it hears, or both.
    CutOff(bool, bool, f64),
    /// One pair, one way or both, for so long.
    Pair(bool, bool, f64),
    /// One member's links are slow by so much for a while; then nobody hears it for so long, and it hears late answers.
    SlowThenCut(f64, f64),
    /// All links break off at once, and are slow for so long by so much.
    Slow(f64, f64),
}

/// What becomes of a folder while its process is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// It stays.
    Kept,
    /// It comes back as it was when it was copied last.
    Older,
    /// It is gone.
    Emptied,
}

impl Trouble {
    /// Whether it is of the kind of this name.
    pub fn is(&self, kind: &str) -> bool {
        match self {
            Trouble::Kill(_) => kind == "kill",
            Trouble::Stop(_) => kind == "stop",
            Trouble::CutOff(..) | Trouble::Pair(..) => kind == "cut",
            Trouble::Slow(..) | Trouble::SlowThenCut(..) => kind == "slow",
        }
    }

    /// The next one, by chance.
    pub fn draw(rng: &mut fastrand::Rng) -> Trouble {
        let span = 0.2 + 2.5 * rng.f64();
        match rng.u8(0..14) {
            0..3 => Trouble::Kill(Folder::Kept),
            3 => Trouble::Kill([Folder::Older, Folder::Emptied][rng.usize(0..2)]),
            4..7 => Trouble::Stop(span),
            7 => Trouble::CutOff(true, true, span),
            8 => Trouble::CutOff(true, false, span),
            9 => Trouble::CutOff(false, true, span),
            10 => Trouble::Pair(true, rng.bool(), span),
            11 | 12 => Trouble::SlowThenCut(0.1 + 0.5 * rng.f64(), span),
            _ => Trouble::Slow(span, 0.3 * rng.f64()),
        }
    }
}

/// Writes each member's file, and starts the relays between those that speak.
///
/// # Errors
/// Those of files and sockets.
pub async fn set_up(
    fleet: &FleetSettings, folders: &[PathBuf], at: impl Fn(usize) -> SocketAddr,
) -> io::Result<Relays> {
    let layout = Topology { members: folders.len(), voters: fleet.voters };
    let mut relays = Relays::new();
    for (i, j) in layout.connections() {
        relays.insert((i, j), Relay::start_async(Arc::new(Mutex::new(Some(at(j))))).await?);
    }
    for (i, folder) in folders.iter().enumerate() {
        let at = |j: usize| (relays.get(&(i, j)).map_or(at(j), |relay| relay.address), at(j));
        if let Some(rate) = fleet.clock_rates.get(i) {
            fs::write(folder.join("clock"), rate.to_string())?;
        }
        fs::write(folder.join("fleet.hcl"), layout.config_file(&fleet.extra_config, at))?;
    }
    Ok(relays)
}

/// Has the first member found the fleet.
///
/// # Errors
/// What the program says.
pub async fn found(program: &Path, folder: &Path) -> io::Result<()> {
    let mut command = Command::new(program);
    command.args(["fleet", "found"]).arg(folder.join("fleet.hcl")).arg("n0").arg(folder.join("state"));
    let done = command.output().await?;
    let said = String::from_utf8_lossy(&done.stderr);
    if done.status.success() { Ok(()) } else { Err(io::Error::other(said.into_owned())) }
}

/// Changes what one member says to all others and hears from them.
pub fn cut_off(relays: &Relays, one: usize, says: bool, hears: bool) {
    for ((caller, called), relay) in relays {
        if *caller == one {
            relay.set(|way| (way.forward_blocked, way.backward_blocked) = (says, hears));
        } else if *called == one {
            relay.set(|way| (way.forward_blocked, way.backward_blocked) = (hears, says));
        }
    }
}

/// What one member says and hears comes so much later, in seconds.
pub fn slow(relays: &Relays, one: usize, delay_s: f64) {
    let own = relays.iter().filter(|((caller, called), _)| [caller, called].contains(&&one));
    own.for_each(|(_, relay)| relay.set(|way| way.delay_s = delay_s));
}

/// All links are whole again.
pub fn heal(relays: &Relays) {
    relays.values().for_each(|relay| {
        relay.set(|way| (way.forward_blocked, way.backward_blocked, way.delay_s) = (false, false, 0.0));
    });
}

/// Copies the fleet's folder of a member, for [`Folder::Older`]. The process may run: a copy of that kind is one that
/// somebody makes of a living machine.
pub fn copy_aside(process: &Process) {
    let (from, to) = (process.state_dir().join("fleet"), process.state_dir().join("fleet.aside"));
    let _ = fs::remove_dir_all(&to);
    let _ = fs::create_dir_all(&to);
    for file in fs::read_dir(from).into_iter().flatten().flatten() {
        let _ = fs::copy(file.path(), to.join(file.file_name()));
    }
}

/// What becomes of the folder of a process that is dead.
pub fn turn_back(process: &Process, folder: Folder) {
    let (fleet, aside) = (process.state_dir().join("fleet"), process.state_dir().join("fleet.aside"));
    match folder {
        Folder::Kept => {}
        Folder::Emptied => drop(fs::remove_dir_all(fleet)),
        Folder::Older if aside.join("log").exists() => {
            let _ = fs::remove_dir_all(&fleet);
            let _ = fs::rename(aside, fleet);
        }
        Folder::Older => {}
    }
}

/// Stops a process for a while.
pub async fn stop(process: &Process, span: f64) {
    process.signal(ProcessSignal::Stop);
    tokio::time::sleep(Duration::from_secs_f64(span)).await;
    process.signal(ProcessSignal::Cont);
}

/// What the members' logs tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// Acts under a duty.
    pub acts: usize,
    /// The last epoch that was given.
    pub epochs: u64,
    /// What is wrong with the history.
    pub faults: Vec<String>,
}

/// Reads the history of `count` members from their logs.
pub fn read_logs(folder: &Path, count: usize) -> Told {
    let mut histories = BTreeMap::new();
    for i in 0..count {
        let text = fs::read_to_string(folder.join(format!("n{i}.log"))).unwrap_or_default();
        let lines: Vec<_> = text.lines().filter_map(history::parse_line).collect();
        histories.insert(format!("n{i}"), lines);
    }
    let all = || histories.values().flatten();
    let acts = all().filter(|line| matches!(line, history::LogLine::DutyAction { .. })).count();
    let epoch = |line: &history::LogLine| match line {
        history::LogLine::DutyGranted { epoch, .. } => *epoch,
        _ => 0,
    };
    Told { acts, epochs: all().map(epoch).max().unwrap_or(0), faults: history::find_violations(&histories) }
}
