//! A fleet of processes with a relay on each link between two members, for tests and measurements that are not
//! asynchronous.

use crate::blocking::{Dispatcher, Platform, eventually};
use crate::history::{self, LogLine};
use crate::relay::{LinkState, Relay};
use crate::topology::Topology;
use fawnspoke_control::protocol::{Request, Response};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

/// A member that is not stopped responds within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of voters, which are the first members.
    pub voters: usize,
    /// Number of learners.
    pub learners: usize,
    /// Further lines of the fleet's configuration file.
    pub extra_config: String,
}

/// A fleet of processes.
pub struct TestFleet {
    /// The members by index; named `n0` and so on.
    pub dispatchers: Vec<Dispatcher>,
    program: PathBuf,
    dir: PathBuf,
    relays: BTreeMap<(usize, usize), Relay>,
    /// Expected number of voters.
    voters: usize,
}

impl TestFleet {
    /// Creates the directories, configuration files and relays of a fleet; no member runs yet. `known`: the
    /// endpoint list with which each member starts.
    ///
    /// # Errors
    /// Those of the directory and of the relays.
    pub fn new(
        program: &Path, parent: &Path, shape: &FleetShape, platforms: &[&Platform], known: &[Value],
    ) -> io::Result<TestFleet> {
        let members = shape.voters + shape.learners;
        let mut dispatchers: Vec<Dispatcher> = (0..members)
            .map(|i| Dispatcher::new(program, parent, platforms[i % platforms.len()], known))
            .collect();
        let dir = dispatchers[0].state_dir().with_file_name("fleet-files");
        fs::create_dir_all(&dir)?;
        let topology = Topology { members, voters: shape.voters };
        let mut relays = BTreeMap::new();
        for (i, j) in topology.connections() {
            relays.insert((i, j), Relay::start(dispatchers[j].member_address())?);
        }
        for (i, dispatcher) in dispatchers.iter_mut().enumerate() {
            let loopback = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
            // A member to which this one never connects needs an address in the file, too.
            let addresses =
                |j: usize| (relays.get(&(i, j)).map_or(loopback(1 + j), |relay| relay.address), loopback(0));
            let config = topology.config_file(&shape.extra_config, addresses);
            let file = dir.join(format!("n{i}.hcl"));
            fs::write(&file, config)?;
            dispatcher.config["name"] = format!("n{i}").into();
            dispatcher.control_enabled = true;
            dispatcher.shell_prelude =
                format!("FAWNSPOKE_FLEET='{}'; export FAWNSPOKE_FLEET;", file.display());
        }
        Ok(TestFleet { dispatchers, program: program.to_path_buf(), dir, relays, voters: shape.voters })
    }

    /// Path of a member's fleet configuration.
    pub fn config_file(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}.hcl"))
    }

    /// Bootstraps the fleet with the first member as its first voter.
    ///
    /// # Errors
    /// What the program reports.
    pub fn bootstrap(&self) -> Result<(), String> {
        let output = Command::new(&self.program)
            .args(["fleet", "found"])
            .arg(self.config_file(0))
            .arg("n0")
            .arg(self.dispatchers[0].state_dir())
            .stdout(Stdio::null())
            .output()
            .map_err(|error| error.to_string())?;
        if output.status.success() {
            Ok(())
        } else {
            Err(String::from_utf8_lossy(&output.stderr).into_owned())
        }
    }

    /// Bootstraps the fleet, starts all processes, and waits until all are members and the log maintenance duty is
    /// held.
    ///
    /// # Panics
    /// Where that does not happen within 30 s.
    pub fn start(&mut self) {
        self.bootstrap().expect("the fleet is bootstrapped");
        self.dispatchers.iter_mut().for_each(Dispatcher::start);
        let members = self.dispatchers.len();
        eventually("all members and a holder of the log maintenance duty", || {
            (0..members).all(|i| {
                self.status(i).is_some_and(|fleet| fleet["members"].as_array().map_or(0, Vec::len) == members)
            }) && self.voters(0) == self.voters
                && self.duty_holder("keeper").is_some()
        });
    }

    fn voters(&self, i: usize) -> usize {
        let fleet = self.status(i).unwrap_or_default();
        fleet["members"].as_array().into_iter().flatten().filter(|member| member["voter"] == true).count()
    }

    /// The fleet's status as one member reports it; none where it does not respond.
    pub fn status(&self, i: usize) -> Option<Value> {
        let at = self.dispatchers[i].control_address().filter(|_| self.dispatchers[i].is_running())?;
        match fawnspoke_control::client::send_request(at, &Request::Fleet, RESPONSE_TIMEOUT) {
            Ok(Response::Success(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// The member that reports to hold a duty within a valid lease term: its index and the epoch.
    pub fn duty_holder(&self, duty: &str) -> Option<(usize, u64)> {
        (0..self.dispatchers.len()).filter(|i| self.dispatchers[*i].is_running()).find_map(|i| {
            let fleet = self.status(i)?;
            let lease = fleet["part"]["duties"]
                .as_array()?
                .iter()
                .find(|entry| entry["name"] == duty && entry["mine"] == true)?;
            Some((i, lease["epoch"].as_u64()?))
        })
    }

    /// Index of the leader as one member reports it.
    pub fn leader(&self, by: usize) -> Option<usize> {
        let fleet = self.status(by)?;
        fleet["leader"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// Blocks or unblocks the link between two members, whichever of them connects. `blocked`: whether messages
    /// from the first to the second are blocked, and those from the second to the first.
    pub fn set_link_blocked(&self, first: usize, second: usize, blocked: (bool, bool)) {
        let block = |relay: &Relay, (forward, backward): (bool, bool)| {
            relay.set(|state| (state.forward_blocked, state.backward_blocked) = (forward, backward));
        };
        if let Some(relay) = self.relays.get(&(first, second)) {
            block(relay, blocked);
        }
        if let Some(relay) = self.relays.get(&(second, first)) {
            block(relay, (blocked.1, blocked.0));
        }
    }

    /// Partitions a member from all others: what it sends, what it receives, or both.
    pub fn partition(&self, member: usize, (outgoing, incoming): (bool, bool)) {
        (0..self.dispatchers.len())
            .filter(|i| *i != member)
            .for_each(|other| self.set_link_blocked(member, other, (outgoing, incoming)));
    }

    /// Changes the state of all relays.
    pub fn update_relays(&self, change: impl Fn(&mut LinkState)) {
        self.relays.values().for_each(|relay| relay.set(&change));
    }

    /// Bytes that the members have exchanged so far.
    pub fn relayed_bytes(&self) -> u64 {
        self.relays.values().map(Relay::relayed_bytes).sum()
    }

    /// The history of each member, by name, as logged.
    pub fn histories(&self) -> BTreeMap<String, Vec<LogLine>> {
        let lines = |dispatcher: &Dispatcher| {
            dispatcher.log().iter().filter_map(|line| history::parse_line(line)).collect()
        };
        self.dispatchers
            .iter()
            .enumerate()
            .map(|(i, dispatcher)| (format!("n{i}"), lines(dispatcher)))
            .collect()
    }

    /// Violations of the fleet's guarantees in these histories.
    pub fn violations(&self) -> Vec<String> {
        history::find_violations(&self.histories())
    }

    /// The first action under a duty with a later epoch than this: its time and its epoch.
    pub fn first_action_after(&self, duty: &str, epoch: u64) -> Option<(f64, u64)> {
        let histories = self.histories();
        let actions = histories.values().flatten().filter_map(|line| match line {
            LogLine::DutyAction { at, duty: of_duty, epoch: action_epoch }
                if of_duty == duty && *action_epoch > epoch =>
            {
                Some((*at, *action_epoch))
            }
            _ => None,
        });
        actions.min_by(|first, second| first.0.total_cmp(&second.0))
    }
}
