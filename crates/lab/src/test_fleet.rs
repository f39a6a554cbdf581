//! Several processes of the program as one fleet, a relay between each two that speak, for tests and measures that are
//! not asynchronous themselves.

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

/// A member that is not stopped answers by then.
const PATIENCE: Duration = Duration::from_millis(700);

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Members that vote, from the first on.
    pub voters: usize,
    /// Members that follow.
    pub observers: usize,
    /// Further lines of the fleet's file.
    pub extra_config: String,
}

/// A fleet of processes.
pub struct TestFleet {
    /// The processes, by number; `n0` and so on by name.
    pub dispatchers: Vec<Dispatcher>,
    program: PathBuf,
    folder: PathBuf,
    relays: BTreeMap<(usize, usize), Relay>,
    /// How many are to vote.
    voters: usize,
}

impl TestFleet {
    /// Makes the folders, files and relays of a fleet; nothing runs yet. `known`: the list that each starts with.
    ///
    /// # Errors
    /// Those of the folder and of relays.
    pub fn new(
        program: &Path, parent: &Path, shape: &FleetShape, platforms: &[&Platform], known: &[Value],
    ) -> io::Result<TestFleet> {
        let count = shape.voters + shape.observers;
        let mut dispatchers: Vec<Dispatcher> = (0..count)
            .map(|i| Dispatcher::new(program, parent, platforms[i % platforms.len()], known))
            .collect();
        let folder = dispatchers[0].state_dir().with_file_name("fleet-files");
        fs::create_dir_all(&folder)?;
        let layout = Topology { members: count, voters: shape.voters };
        let mut relays = BTreeMap::new();
        for (i, j) in layout.connections() {
            relays.insert((i, j), Relay::start(dispatchers[j].member_address())?);
        }
        for (i, dispatcher) in dispatchers.iter_mut().enumerate() {
            let here = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
            // Who is never called from here needs an address all the same.
            let at = |j: usize| (relays.get(&(i, j)).map_or(here(1 + j), |relay| relay.address), here(0));
            let text = layout.config_file(&shape.extra_config, at);
            let file = folder.join(format!("n{i}.hcl"));
            fs::write(&file, text)?;
            dispatcher.config["name"] = format!("n{i}").into();
            dispatcher.control_enabled = true;
            dispatcher.shell_prelude =
                format!("FAWNSPOKE_FLEET='{}'; export FAWNSPOKE_FLEET;", file.display());
        }
        Ok(TestFleet { dispatchers, program: program.to_path_buf(), folder, relays, voters: shape.voters })
    }

    /// Where a member's file of the fleet is.
    pub fn config_file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("n{i}.hcl"))
    }

    /// Makes the first member the fleet's founder.
    ///
    /// # Errors
    /// What the program says.
    pub fn bootstrap(&self) -> Result<(), String> {
        let found = Command::new(&self.program)
            .args(["fleet", "found"])
            .arg(self.config_file(0))
            .arg("n0")
            .arg(self.dispatchers[0].state_dir())
            .stdout(Stdio::null())
            .output()
            .map_err(|error| error.to_string())?;
        if found.status.success() { Ok(()) } else { Err(String::from_utf8_lossy(&found.stderr).into_owned()) }
    }

    /// Founds the fleet, starts all, and waits until all are members and the keeper's duty is held.
    ///
    /// # Panics
    /// Where that does not come.
    pub fn start(&mut self) {
        self.bootstrap().expect("a founded fleet");
        self.dispatchers.iter_mut().for_each(Dispatcher::start);
        let all = self.dispatchers.len();
        eventually("all members, and a keeper", || {
            (0..all).all(|i| {
                self.status(i).is_some_and(|fleet| fleet["members"].as_array().map_or(0, Vec::len) == all)
            }) && self.voters(0) == self.voters
                && self.duty_holder("keeper").is_some()
        });
    }

    fn voters(&self, i: usize) -> usize {
        let fleet = self.status(i).unwrap_or_default();
        fleet["members"].as_array().into_iter().flatten().filter(|member| member["voter"] == true).count()
    }

    /// How a member sees the fleet; nothing where it does not say.
    pub fn status(&self, i: usize) -> Option<Value> {
        let at = self.dispatchers[i].control_address().filter(|_| self.dispatchers[i].is_running())?;
        match fawnspoke_control::client::send_request(at, &Request::Fleet, PATIENCE) {
            Ok(Response::Success(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// Who holds a duty, by its own word that its term runs: the member's number, and the epoch.
    pub fn duty_holder(&self, duty: &str) -> Option<(usize, u64)> {
        (0..self.dispatchers.len()).filter(|i| self.dispatchers[*i].is_running()).find_map(|i| {
            let fleet = self.status(i)?;
            let held = fleet["part"]["duties"]
                .as_array()?
                .iter()
                .find(|one| one["name"] == duty && one["mine"] == true)?;
            Some((i, held["epoch"].as_u64()?))
        })
    }

    /// Who leads, as a member sees it: the number.
    pub fn leader(&self, by: usize) -> Option<usize> {
        let fleet = self.status(by)?;
        fleet["leader"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// Changes the relay between two members, whoever of them calls. `from_first`: as the one that is named first sees it,
    /// what it says is `there`.
    pub fn set_link_blocked(&self, one: usize, other: usize, cut: (bool, bool)) {
        let set = |relay: &Relay, (there, back): (bool, bool)| {
            relay.set(|way| (way.forward_blocked, way.backward_blocked) = (there, back));
        };
        if let Some(relay) = self.relays.get(&(one, other)) {
            set(relay, cut);
        }
        if let Some(relay) = self.relays.get(&(other, one)) {
            set(relay, (cut.1, cut.0));
        }
    }

    /// Cuts a member off from all others: what it says, what it hears, or both.
    pub fn partition(&self, one: usize, (says, hears): (bool, bool)) {
        (0..self.dispatchers.len())
            .filter(|i| *i != one)
            .for_each(|other| self.set_link_blocked(one, other, (says, hears)));
    }

    /// Changes all relays.
    pub fn update_relays(&self, change: impl Fn(&mut LinkState)) {
        self.relays.values().for_each(|relay| relay.set(&change));
    }

    /// Bytes that passed between members so far.
    pub fn relayed_bytes(&self) -> u64 {
        self.relays.values().map(Relay::relayed_bytes).sum()
    }

    /// The histories of all members, by name.
    pub fn histories(&self) -> BTreeMap<String, Vec<LogLine>> {
        let lines = |dispatcher: &Dispatcher| {
            dispatcher.log().iter().filter_map(|line| history::parse_line(line)).collect()
        };
        self.dispatchers.iter().enumerate().map(|(i, one)| (format!("n{i}"), lines(one))).collect()
    }

    /// What is wrong with them.
    pub fn violations(&self) -> Vec<String> {
        history::find_violations(&self.histories())
    }

    /// The first act as a duty under a later epoch than this: when, and which epoch.
    pub fn first_action_after(&self, duty: &str, epoch: u64) -> Option<(f64, u64)> {
        let histories = self.histories();
        let acts = histories.values().flatten().filter_map(|line| match line {
            LogLine::DutyAction { at, duty: of, epoch: under } if of == duty && *under > epoch => {
                Some((*at, *under))
            }
            _ => None,
        });
        acts.min_by(|one, other| one.0.total_cmp(&other.0))
    }
}
