//! A fleet simulated without sockets, files or real clocks. One seed determines the network, clock rates, pauses,
//! kills and disk faults. The members run the same `Core` and `Duties` as a dispatcher does.

use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::core::{Core, bootstrap_records};
use fawnspoke_cluster::identity::Identity;
use fawnspoke_cluster::store::Record;
use fawnspoke_cluster::wire::Frame;
use fawnspoke_duty::duties::{Duties, DutyEvent, DutyReport, DutySettings};
use fawnspoke_duty::lease_table::{DutyId, HolderUpdate};
use fawnspoke_duty::{MemberId, SafetyRules, Seconds, trials};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// Length of a step, in seconds of true time.
const STEP_SECONDS: Seconds = 0.01;
/// Limit on frames in flight; further frames are lost.
const MAX_FRAMES_IN_FLIGHT: usize = 20_000;

/// Configuration of a run.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub voters: usize,
    pub learners: usize,
    /// Duration of the phase with faults, and of the phase without faults after it.
    pub fault_seconds: Seconds,
    pub quiet_seconds: Seconds,
    pub rules: SafetyRules,
    /// Maximum deviation of the clock rates from true time; the fleet file says 2 %.
    pub max_clock_error: f64,
    /// Each kill loses the last synced record, and the other members do not check for outdated stores.
    pub loses_records: bool,
}

/// A correct program: all safety rules, clocks within the permitted rate, and no records lost.
pub const BASELINE: SimulationConfig = SimulationConfig {
    voters: 3,
    learners: 1,
    fault_seconds: 8.0,
    quiet_seconds: 5.0,
    rules: SafetyRules {
        term_from_request: true,
        new_leader_waits: true,
        reject_stale_epochs: true,
        guard_covers_drift: true,
        apply_before_use: true,
    },
    max_clock_error: 0.02,
    loses_records: false,
};

/// A member, with its disk and its clock.
struct SimulatedMember {
    name: String,
    identity: Identity,
    disk: Vec<Record>,
    /// Number of records that survive a crash of the machine.
    synced_records: usize,
    core: Option<Core<Duties>>,
    clock_rate: f64,
    clock_offset: Seconds,
    /// Paused or not running until then.
    paused_until: Seconds,
    disk_full_until: Seconds,
    last_renewal: u64,
}

/// A frame in flight.
struct FrameInFlight {
    arrives_at: Seconds,
    from: MemberId,
    to: MemberId,
    frame: Frame,
}

/// What an outside observer records, with true time.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A member checked its clock and acted under an epoch.
    Acted { at: Seconds, member: MemberId, duty: DutyId, epoch: u64 },
    /// A member has started, and replays the log.
    Started { member: MemberId },
    /// A member applied a grant from the log.
    Granted { member: MemberId, duty: DutyId, epoch: u64, holder: Option<MemberId> },
    /// A member applied an update from the log.
    Updated { at: Seconds, member: MemberId, duty: DutyId, epoch: u64, update: HolderUpdate },
}

/// A running simulation of one fleet.
pub struct Simulation {
    config: SimulationConfig,
    fleet_config: Arc<FleetConfig>,
    rng: fastrand::Rng,
    now: Seconds,
    members: Vec<SimulatedMember>,
    frames_in_flight: Vec<FrameInFlight>,
    connected: BTreeMap<(usize, usize), bool>,
    /// Until when each directed connection is blocked.
    blocked_until: BTreeMap<(usize, usize), Seconds>,
    pub observations: Vec<Observation>,
    /// Instants at which two members found that they held the same duty.
    pub double_holders: Vec<String>,
    pub last_raft_term: u64,
    /// Number of stores that other members rejected as outdated copies.
    pub rejected_stores: u64,
}

impl Simulation {
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let mut text =
            "cluster = \"sim\"\nterm_s = 1.0\nclock_rate = 0.02\ncut_after = 20\nkeeper_round_s = 0.1\n\
                        hold_most_s = 1.0\n"
                .to_string();
        let count = config.voters + config.learners;
        for i in 0..count {
            let voter = i < config.voters;
            let _ =
                writeln!(text, "member \"m{i}\" {{\n at = \"127.0.0.1:{}\"\n voter = {voter}\n}}", 7000 + i);
        }
        let fleet_config = Arc::new(FleetConfig::parse(&text, "m0").unwrap());
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut members = Vec::new();
        for i in 0..count {
            let identity = Identity { name: format!("m{i}"), id: rng.u64(1..), start_count: 0 };
            let clock_rate = 1.0
                + config.max_clock_error
                    * (2.0 * rng.f64() - 1.0).signum()
                    * if rng.bool() { 1.0 } else { rng.f64() };
            members.push(SimulatedMember {
                name: format!("m{i}"),
                identity,
                disk: Vec::new(),
                synced_records: 0,
                core: None,
                clock_rate,
                clock_offset: 1000.0 * rng.f64(),
                paused_until: 0.0,
                disk_full_until: 0.0,
                last_renewal: 0,
            });
        }
        let mut simulation = Simulation {
            config,
            fleet_config,
            rng,
            now: 0.0,
            members,
            frames_in_flight: Vec::new(),
            connected: BTreeMap::new(),
            blocked_until: BTreeMap::new(),
            observations: Vec::new(),
            double_holders: Vec::new(),
            last_raft_term: 0,
            rejected_stores: 0,
        };
        let duties = simulation.create_duties(0, 0);
        simulation.members[0].disk = bootstrap_records(&simulation.members[0].identity, &duties).unwrap();
        simulation.members[0].synced_records = simulation.members[0].disk.len();
        simulation
    }

    fn create_duties(&self, _: usize, first_renewal: u64) -> Duties {
        let settings =
            DutySettings { rules: self.config.rules, ..DutySettings::from_config(&self.fleet_config) };
        Duties::new(settings, first_renewal)
    }

    fn clock(&self, i: usize) -> Seconds {
        self.members[i].clock_offset + self.now * self.members[i].clock_rate
    }

    fn start_member(&mut self, i: usize) {
        self.members[i].identity.start_count += 1;
        self.members[i].last_renewal += 1 << 20;
        let duties = self.create_duties(i, self.members[i].last_renewal);
        let (now, seed, fleet_config) = (self.clock(i), self.rng.u64(..), self.fleet_config.clone());
        let member = &self.members[i];
        let core =
            Core::new(fleet_config, member.identity.clone(), member.disk.clone(), duties, now, seed).unwrap();
        self.members[i].core = Some(core);
        self.observations.push(Observation::Started { member: self.members[i].identity.id });
        // A restarted member doesn't remember that the destination is unavailable; it usually detects it again.
        if self.rng.f64() < 0.7 {
            self.report(i, trials::DestinationReport::Unavailable(7));
        }
    }

    fn report(&mut self, i: usize, report: trials::DestinationReport) {
        let now = self.clock(i);
        if let Some(core) = &mut self.members[i].core {
            core.handle_input(now, DutyReport::Destination(report));
        }
        self.process_output(i);
    }

    fn is_running(&self, i: usize) -> bool {
        self.members[i].core.is_some() && self.now >= self.members[i].paused_until
    }

    fn index_of(&self, id: MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.identity.id == id)
    }

    /// Writes and syncs records, applies entries, and sends frames.
    fn process_output(&mut self, i: usize) {
        let now = self.clock(i);
        let disk_full = self.now < self.members[i].disk_full_until;
        let member = &mut self.members[i];
        let Some(core) = &mut member.core else { return };
        while let Some((records, sync)) = core.take_records() {
            if disk_full && !records.is_empty() {
                // Nothing was written: the member restarts from what is on its disk.
                self.kill(i, 0.3);
                return;
            }
            member.disk.extend(records);
            if sync {
                member.synced_records = member.disk.len();
            }
            core.records_persisted(now).unwrap();
        }
        if let Some(records) = core.compact(false).unwrap() {
            (member.disk, member.synced_records) = (records, 0);
            member.synced_records = member.disk.len();
        }
        let (own_id, own_index) = (member.identity.id, i);
        let (frames, events) = (core.take_frames(), core.take_events());
        for event in events {
            let observation = match event {
                DutyEvent::Acted(duty, epoch, _) => {
                    Observation::Acted { at: self.now, member: own_id, duty, epoch }
                }
                DutyEvent::Granted(duty, epoch, holder) => {
                    Observation::Granted { member: own_id, duty, epoch, holder }
                }
                DutyEvent::Updated(duty, epoch, update) => {
                    Observation::Updated { at: self.now, member: own_id, duty, epoch, update }
                }
                _ => continue,
            };
            self.observations.push(observation);
        }
        for (to, frame) in frames {
            // The first frame of a connection always fits into its queue.
            let is_lost = self.rng.f64() < 0.01 && frame != Frame::HelloVerified;
            let is_slow = self.rng.f64() < 0.02;
            let delay = if is_slow { self.rng.f64() * 3.0 } else { 0.001 + 0.02 * self.rng.f64() };
            let is_connected =
                self.index_of(to).is_some_and(|j| self.connected.get(&pair(own_index, j)) == Some(&true));
            if !is_lost && is_connected && self.frames_in_flight.len() < MAX_FRAMES_IN_FLIGHT {
                self.frames_in_flight.push(FrameInFlight {
                    arrives_at: self.now + delay,
                    from: own_id,
                    to,
                    frame,
                });
            }
        }
    }

    fn kill(&mut self, i: usize, downtime: Seconds) {
        let (rng, member) = (&mut self.rng, &mut self.members[i]);
        // Records that were not synced may be lost.
        if rng.bool() {
            member.disk.truncate(member.synced_records);
        }
        if self.config.loses_records && member.disk.len() > 1 {
            member.disk.pop();
            member.synced_records = member.synced_records.min(member.disk.len());
        }
        member.core = None;
        member.paused_until = self.now + downtime;
        self.disconnect(i);
    }

    fn disconnect(&mut self, i: usize) {
        for j in 0..self.members.len() {
            if i != j && self.connected.insert(pair(i, j), false) == Some(true) {
                for (member, peer) in [(i, j), (j, i)] {
                    let peer_id = self.members[peer].identity.id;
                    if let Some(core) = &mut self.members[member].core {
                        core.peer_disconnected(peer_id);
                    }
                }
            }
        }
    }

    fn connect(&mut self) {
        for i in 0..self.members.len() {
            for j in i + 1..self.members.len() {
                let is_blocked =
                    |a, b| self.blocked_until.get(&(a, b)).is_some_and(|until| self.now < *until);
                let (name, peer_name) = (&self.members[i].name, &self.members[j].name);
                let may_dial =
                    (self.fleet_config.dials(name, peer_name), self.fleet_config.dials(peer_name, name));
                let can_connect =
                    self.is_running(i) && self.is_running(j) && !is_blocked(i, j) && !is_blocked(j, i);
                if !can_connect
                    || may_dial == (false, false)
                    || self.connected.get(&pair(i, j)) == Some(&true)
                {
                    continue;
                }
                let mut accepted = true;
                for (receiver, sender) in [(i, j), (j, i)] {
                    let (identity, log_position) = {
                        let core = self.members[sender].core.as_ref().unwrap();
                        (core.identity().clone(), core.log_position())
                    };
                    let core = self.members[receiver].core.as_mut().unwrap();
                    let result =
                        core.peer_connected(identity.id, &identity.name, identity.start_count, &log_position);
                    if result.is_err() && !self.config.loses_records {
                        // The rejected member restarts with a new identity.
                        accepted = false;
                        self.rejected_stores += 1;
                        self.kill(sender, 0.2);
                        let id = self.rng.u64(1..);
                        let member = &mut self.members[sender];
                        (member.disk, member.synced_records) = (Vec::new(), 0);
                        member.identity = Identity { name: member.name.clone(), id, start_count: 0 };
                        break;
                    }
                }
                if accepted {
                    self.connected.insert(pair(i, j), true);
                    // The first frame informs the accepting member of the connection.
                    let (dialer, acceptor) = if may_dial.0 { (i, j) } else { (j, i) };
                    let id = self.members[acceptor].identity.id;
                    self.members[dialer].core.as_mut().unwrap().peer_accepted(id);
                    self.process_output(dialer);
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let (count, now) = (self.members.len(), self.now);
        let i = self.rng.usize(0..count);
        match self.rng.u8(0..9) {
            0 => {
                let downtime = 0.05 + 2.0 * self.rng.f64();
                self.kill(i, downtime);
            }
            1 | 2 => self.members[i].paused_until = now + 0.1 + 3.0 * self.rng.f64(),
            3 => {
                let until = now + 0.2 + 3.0 * self.rng.f64();
                (0..count).filter(|j| *j != i).for_each(|j| {
                    self.blocked_until.insert((i, j), until);
                    self.blocked_until.insert((j, i), until);
                });
            }
            4 => {
                let until = now + 0.2 + 3.0 * self.rng.f64();
                self.blocked_until.extend((0..count).filter(|j| *j != i).map(|j| ((i, j), until)));
            }
            5 => {
                let j = self.rng.usize(0..count);
                self.blocked_until.insert((i, j), now + 0.2 + 3.0 * self.rng.f64());
            }
            6 => self.members[i].disk_full_until = now + 0.5 * self.rng.f64(),
            7 => {
                // Pauses the leader in particular.
                if let Some(i) =
                    (0..count).find(|i| self.members[*i].core.as_ref().is_some_and(Core::is_leader))
                {
                    self.members[i].paused_until = now + 0.1 + 3.0 * self.rng.f64();
                }
            }
            _ => {
                // Kills all members; they restart in another order.
                if self.rng.f64() < 0.3 {
                    for i in 0..count {
                        let downtime = 0.05 + 0.5 * self.rng.f64();
                        self.kill(i, downtime);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_SECONDS;
        for i in 0..self.members.len() {
            if self.members[i].core.is_none() && self.now >= self.members[i].paused_until {
                self.start_member(i);
            }
        }
        self.connect();
        let (due, later) = std::mem::take(&mut self.frames_in_flight)
            .into_iter()
            .partition(|frame| frame.arrives_at <= self.now);
        self.frames_in_flight = later;
        let mut due: Vec<FrameInFlight> = due;
        self.rng.shuffle(&mut due);
        for sent in due {
            let (Some(from), Some(to)) = (self.index_of(sent.from), self.index_of(sent.to)) else { continue };
            let is_blocked = self.blocked_until.get(&(from, to)).is_some_and(|until| self.now < *until);
            if is_blocked || self.connected.get(&pair(from, to)) != Some(&true) {
                continue;
            }
            if self.now < self.members[to].paused_until {
                // The frame waits in the socket buffer.
                self.frames_in_flight.push(sent);
                continue;
            }
            let now = self.clock(to);
            if let Some(core) = &mut self.members[to].core {
                core.receive_frame(now, sent.from, sent.frame);
            }
            self.process_output(to);
        }
        for i in 0..self.members.len() {
            if !self.is_running(i) {
                continue;
            }
            let now = self.clock(i);
            if self.members[i].core.as_ref().is_some_and(|core| core.next_tick_at() <= now) {
                if let Some(core) = &mut self.members[i].core {
                    core.tick(now);
                }
                self.process_output(i);
                match self.rng.u16(0..400) {
                    0..40 => self.report(i, trials::DestinationReport::CallFailed(7)),
                    40..42 => self.report(i, trials::DestinationReport::CallServed(7)),
                    42 => self.report(i, trials::DestinationReport::InService(7)),
                    43..46 => self.report(i, trials::DestinationReport::Unavailable(7)),
                    _ => {}
                }
            }
        }
        self.check_exclusive_holders();
    }

    /// Every running or paused member checks its clock now: does more than one find that it holds a duty?
    fn check_exclusive_holders(&mut self) {
        for duty in [DutyId::LogMaintenance, DutyId::Trials(7)] {
            let held_epoch = |i: &usize| {
                let core = self.members[*i].core.as_ref()?;
                core.state_machine().active_epoch(self.clock(*i), duty)
            };
            let holders: Vec<_> =
                (0..self.members.len()).filter_map(|i| held_epoch(&i).map(|epoch| (i, epoch))).collect();
            if holders.len() > 1 {
                self.double_holders.push(format!("{:.2} {duty}: {holders:?}", self.now));
            }
        }
    }

    /// Runs the whole schedule: a start-up phase, a phase with faults, and a phase without.
    pub fn run(&mut self) {
        let startup_seconds = 2.0;
        let mut next_fault_at = startup_seconds;
        while self.now < startup_seconds + self.config.fault_seconds {
            self.step();
            if self.now >= next_fault_at {
                self.inject_fault();
                next_fault_at = self.now + 0.1 + 0.8 * self.rng.f64();
            }
        }
        self.blocked_until.clear();
        for member in &mut self.members {
            member.disk_full_until = 0.0;
            member.paused_until = member.paused_until.min(self.now + 0.1);
        }
        let end = self.now + self.config.quiet_seconds;
        while self.now < end {
            self.step();
        }
        self.last_raft_term =
            self.members.iter().filter_map(|m| m.core.as_ref()).map(Core::term).max().unwrap_or(0);
    }

    /// Runs without faults until the condition holds. Returns after how many seconds it did; `None` if not within the
    /// limit.
    pub fn run_until(&mut self, limit: Seconds, condition: impl Fn(&Simulation) -> bool) -> Option<Seconds> {
        let start = self.now;
        while self.now < start + limit {
            self.step();
            if condition(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Whether a running member holds the log maintenance duty.
    pub fn log_is_maintained(&self) -> bool {
        (0..self.members.len()).any(|i| {
            let core = self.members[i].core.as_ref();
            core.is_some_and(|core| {
                core.state_machine().active_epoch(self.clock(i), DutyId::LogMaintenance).is_some()
            })
        })
    }

    /// Whether every member takes part in the consensus protocol.
    pub fn all_participate(&self) -> bool {
        self.members.iter().all(|member| member.core.as_ref().is_some_and(Core::is_participating))
    }

    /// Whether all members have joined and are close to the same log index.
    pub fn check_agreement(&self) -> Result<(), String> {
        let cores: Vec<_> = self.members.iter().filter_map(|m| m.core.as_ref()).collect();
        let max_applied = cores.iter().map(|core| core.applied()).max().unwrap_or(0);
        for core in &cores {
            let name = &core.identity().name;
            if !core.members().0.contains_key(&core.identity().id) {
                return Err(format!("{name} is not a member; {:?}", core.members()));
            }
            if core.applied() + 50 < max_applied {
                return Err(format!("{name} has applied {} of {max_applied}", core.applied()));
            }
        }
        Ok(())
    }
}

impl Simulation {
    /// Describes the state of all members, for failure messages.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (i, member) in self.members.iter().enumerate() {
            let id = member.identity.id;
            let (start_count, disk) = (member.identity.start_count, member.disk.len());
            let _ = write!(text, "{} {id:016x} starts {start_count} disk {disk} ", member.name);
            if let Some(core) = &member.core {
                let (term, applied, participating) = (core.term(), core.applied(), core.is_participating());
                let connected: Vec<_> = core.connected_members().values().collect();
                let (members, leader) = (&core.members().0, core.leader().map(|id| format!("{id:016x}")));
                let _ = write!(
                    text,
                    "term {term} applied {applied} participating {participating} leader {leader:?} {connected:?} "
                );
                let members: Vec<_> = members
                    .iter()
                    .map(|(id, m)| format!("{id:016x}={}{}", m.name, if m.voter { "v" } else { "o" }))
                    .collect();
                let _ = write!(
                    text,
                    "{members:?} log position {:?} leads {} {} log maintenance epoch {:?}",
                    core.log_position(),
                    core.is_leader(),
                    core.status(self.clock(i))["part"],
                    core.state_machine().active_epoch(self.clock(i), DutyId::LogMaintenance)
                );
            }
            text.push('\n');
        }
        text
    }
}

fn pair(i: usize, j: usize) -> (usize, usize) {
    (i.min(j), i.max(j))
}
