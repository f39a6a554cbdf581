//! Faults between members of a fleet, drawn from a seed: kills, pauses, partitions, slow and broken links, and
//! state directories that are rolled back or deleted. Their effect on the fleet's guarantees is read from the
//! members' logs.

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

/// The relays between members, by dialing and accepting member.
pub type Relays = BTreeMap<(usize, usize), Relay>;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetFault {
    /// A member is killed and restarted; its fleet state may be rolled back or deleted first.
    Kill(StateDirFate),
    /// A member is paused for this many seconds.
    Pause(f64),
    /// A member is partitioned from all others for this many seconds: what it sends, what it receives, or
    /// both.
    Partition(bool, bool, f64),
    /// One link is blocked in one direction or both for this many seconds.
    BlockLink(bool, bool, f64),
    /// A member's links are delayed by the first number of seconds; then nothing that it sends arrives for the
    /// second number of seconds, while delayed responses still reach it.
    DelayThenPartition(f64, f64),
    /// All connections are reset, and all links are delayed: duration and delay, in seconds.
    ResetAndDelay(f64, f64),
}

/// What happens to a member's fleet state while its process is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateDirFate {
    /// It stays.
    Kept,
    /// It is replaced by the last copy.
    RolledBack,
    /// It is deleted.
    Deleted,
}

impl FleetFault {
    /// Whether the fault belongs to the kind with this name.
    pub fn is_kind(&self, kind: &str) -> bool {
        match self {
            FleetFault::Kill(_) => kind == "kill",
            FleetFault::Pause(_) => kind == "stop",
            FleetFault::Partition(..) | FleetFault::BlockLink(..) => kind == "cut",
            FleetFault::ResetAndDelay(..) | FleetFault::DelayThenPartition(..) => kind == "slow",
        }
    }

    /// Draws a random fault.
    pub fn draw(rng: &mut fastrand::Rng) -> FleetFault {
        let duration_s = 0.2 + 2.5 * rng.f64();
        match rng.u8(0..14) {
            0..3 => FleetFault::Kill(StateDirFate::Kept),
            3 => FleetFault::Kill([StateDirFate::RolledBack, StateDirFate::Deleted][rng.usize(0..2)]),
            4..7 => FleetFault::Pause(duration_s),
            7 => FleetFault::Partition(true, true, duration_s),
            8 => FleetFault::Partition(true, false, duration_s),
            9 => FleetFault::Partition(false, true, duration_s),
            10 => FleetFault::BlockLink(true, rng.bool(), duration_s),
            11 | 12 => FleetFault::DelayThenPartition(0.1 + 0.5 * rng.f64(), duration_s),
            _ => FleetFault::ResetAndDelay(duration_s, 0.3 * rng.f64()),
        }
    }
}

/// Writes each member's fleet configuration and starts the relays between members that connect to each other.
///
/// # Errors
/// Those of files and sockets.
pub async fn start_relays(
    fleet: &FleetSettings, member_dirs: &[PathBuf], listen_address: impl Fn(usize) -> SocketAddr,
) -> io::Result<Relays> {
    let topology = Topology { members: member_dirs.len(), voters: fleet.voters };
    let mut relays = Relays::new();
    for (dialer, acceptor) in topology.connections() {
        relays.insert(
            (dialer, acceptor),
            Relay::start_async(Arc::new(Mutex::new(Some(listen_address(acceptor))))).await?,
        );
    }
    for (member, dir) in member_dirs.iter().enumerate() {
        let addresses = |acceptor: usize| {
            (
                relays.get(&(member, acceptor)).map_or(listen_address(acceptor), |relay| relay.address),
                listen_address(acceptor),
            )
        };
        if let Some(clock_rate) = fleet.clock_rates.get(member) {
            fs::write(dir.join("clock"), clock_rate.to_string())?;
        }
        fs::write(dir.join("fleet.hcl"), topology.config_file(&fleet.extra_config, addresses))?;
    }
    Ok(relays)
}

/// Bootstraps the fleet with the first member as its first voter.
///
/// # Errors
/// What the program reports.
pub async fn bootstrap(program: &Path, dir: &Path) -> io::Result<()> {
    let mut command = Command::new(program);
    command.args(["fleet", "found"]).arg(dir.join("fleet.hcl")).arg("n0").arg(dir.join("state"));
    let output = command.output().await?;
    let stderr = String::from_utf8_lossy(&output.stderr);
    if output.status.success() { Ok(()) } else { Err(io::Error::other(stderr.into_owned())) }
}

/// Blocks or unblocks what one member sends to all others and what it receives from them.
pub fn partition(relays: &Relays, member: usize, outgoing: bool, incoming: bool) {
    for ((dialer, acceptor), relay) in relays {
        if *dialer == member {
            relay.set(|link| (link.forward_blocked, link.backward_blocked) = (outgoing, incoming));
        } else if *acceptor == member {
            relay.set(|link| (link.forward_blocked, link.backward_blocked) = (incoming, outgoing));
        }
    }
}

/// Delays everything that one member sends and receives, in seconds.
pub fn set_delay(relays: &Relays, member: usize, delay_s: f64) {
    let own = relays.iter().filter(|((dialer, acceptor), _)| [dialer, acceptor].contains(&&member));
    own.for_each(|(_, relay)| relay.set(|link| link.delay_s = delay_s));
}

/// Removes all blocks and delays.
pub fn restore_links(relays: &Relays) {
    relays.values().for_each(|relay| {
        relay.set(|link| (link.forward_blocked, link.backward_blocked, link.delay_s) = (false, false, 0.0));
    });
}

/// Copies a member's fleet state for [`StateDirFate::RolledBack`]. The process may be running, as when an
/// operator copies the directory of a live machine.
pub fn copy_fleet_state(process: &Process) {
    let (source, copy) = (process.state_dir().join("fleet"), process.state_dir().join("fleet.aside"));
    let _ = fs::remove_dir_all(&copy);
    let _ = fs::create_dir_all(&copy);
    for file in fs::read_dir(source).into_iter().flatten().flatten() {
        let _ = fs::copy(file.path(), copy.join(file.file_name()));
    }
}

/// Changes the fleet state of a process that is down.
pub fn apply_state_dir_fate(process: &Process, fate: StateDirFate) {
    let (state, copy) = (process.state_dir().join("fleet"), process.state_dir().join("fleet.aside"));
    match fate {
        StateDirFate::Kept => {}
        StateDirFate::Deleted => drop(fs::remove_dir_all(state)),
        StateDirFate::RolledBack if copy.join("log").exists() => {
            let _ = fs::remove_dir_all(&state);
            let _ = fs::rename(copy, state);
        }
        StateDirFate::RolledBack => {}
    }
}

/// Pauses a process for this many seconds.
pub async fn pause(process: &Process, duration_s: f64) {
    process.signal(ProcessSignal::Stop);
    tokio::time::sleep(Duration::from_secs_f64(duration_s)).await;
    process.signal(ProcessSignal::Cont);
}

/// Summary of what the members logged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSummary {
    /// Number of actions under a duty.
    pub actions: usize,
    /// The last epoch that was granted.
    pub last_epoch: u64,
    /// Violations of the fleet's guarantees.
    pub violations: Vec<String>,
}

/// Summarizes the logs of `count` members.
pub fn summarize_logs(dir: &Path, count: usize) -> FleetSummary {
    let mut histories = BTreeMap::new();
    for i in 0..count {
        let text = fs::read_to_string(dir.join(format!("n{i}.log"))).unwrap_or_default();
        let lines: Vec<_> = text.lines().filter_map(history::parse_line).collect();
        histories.insert(format!("n{i}"), lines);
    }
    let all_lines = || histories.values().flatten();
    let actions = all_lines().filter(|line| matches!(line, history::LogLine::DutyAction { .. })).count();
    let granted_epoch = |line: &history::LogLine| match line {
        history::LogLine::DutyGranted { epoch, .. } => *epoch,
        _ => 0,
    };
    FleetSummary {
        actions,
        last_epoch: all_lines().map(granted_epoch).max().unwrap_or(0),
        violations: history::find_violations(&histories),
    }
}
