//! Members without sockets: a network, clocks, stalls, kills and folders by one seed, over the core and the library that
//! run in a dispatcher.

use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::core::{Core, bootstrap_records};
use fawnspoke_cluster::identity::Identity;
use fawnspoke_cluster::store::Record;
use fawnspoke_cluster::wire::Frame;
use fawnspoke_duty::duties::{Duties, DutyEvent, DutyReport, Settings};
use fawnspoke_duty::lease_table::{DutyId, HolderUpdate};
use fawnspoke_duty::{MemberId, SafetyRules, Seconds, trials};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// Length of a step, in seconds of true time.
const STEP: Seconds = 0.01;
/// Frames on their way at once, per world.
const FRAMES_MOST: usize = 20_000;

/// What a play is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub voters: usize,
    pub observers: usize,
    /// Seconds with faults, and seconds after them.
    pub faults_s: Seconds,
    pub quiet_s: Seconds,
    pub rules: SafetyRules,
    /// The clocks' rates lie within this of true; the file says 2%.
    pub rate: f64,
    /// Folders lose their last record at a kill, and nobody looks at them.
    pub forgetful: bool,
}

pub const SOUND: Plan = Plan {
    voters: 3,
    observers: 1,
    faults_s: 8.0,
    quiet_s: 5.0,
    rules: SafetyRules {
        term_from_request: true,
        new_leader_waits: true,
        reject_stale_epochs: true,
        guard_covers_drift: true,
        apply_before_use: true,
    },
    rate: 0.02,
    forgetful: false,
};

struct Member {
    name: String,
    identity: Identity,
    disk: Vec<Record>,
    /// So many of its records outlast the machine.
    synced: usize,
    core: Option<Core<Duties>>,
    rate: f64,
    offset: Seconds,
    /// Stopped, or dead, until then.
    stopped_until: Seconds,
    full_until: Seconds,
    questions: u64,
}

/// One frame on its way.
struct Flight {
    at: Seconds,
    from: MemberId,
    to: MemberId,
    frame: Frame,
}

/// What somebody outside would write down, with true time.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A member looked at its clock and acted under an epoch.
    Acted { at: Seconds, by: MemberId, name: DutyId, epoch: u64 },
    /// A member begins, and learns the log anew.
    Began { by: MemberId },
    /// A member learnt from the log that a duty was given.
    Given { by: MemberId, name: DutyId, epoch: u64, holder: Option<MemberId> },
    /// A member learnt of a word that was agreed.
    Told { at: Seconds, by: MemberId, name: DutyId, epoch: u64, word: HolderUpdate },
}

pub struct World {
    plan: Plan,
    file: Arc<FleetConfig>,
    rng: fastrand::Rng,
    now: Seconds,
    members: Vec<Member>,
    flights: Vec<Flight>,
    linked: BTreeMap<(usize, usize), bool>,
    /// A directed pair is cut until then.
    cuts: BTreeMap<(usize, usize), Seconds>,
    pub seen: Vec<Seen>,
    /// Two that held one duty at one instant, by their own looks.
    pub both: Vec<String>,
    pub terms: u64,
    /// Folders that others took for older copies.
    pub reborn: u64,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut text =
            "cluster = \"sim\"\nterm_s = 1.0\nclock_rate = 0.02\ncut_after = 20\nkeeper_round_s = 0.1\n\
                        hold_most_s = 1.0\n"
                .to_string();
        let count = plan.voters + plan.observers;
        for i in 0..count {
            let voter = i < plan.voters;
            let _ =
                writeln!(text, "member \"m{i}\" {{\n at = \"127.0.0.1:{}\"\n voter = {voter}\n}}", 7000 + i);
        }
        let file = Arc::new(FleetConfig::parse(&text, "m0").unwrap());
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut members = Vec::new();
        for i in 0..count {
            let identity = Identity { name: format!("m{i}"), id: rng.u64(1..), start_count: 0 };
            let rate =
                1.0 + plan.rate * (2.0 * rng.f64() - 1.0).signum() * if rng.bool() { 1.0 } else { rng.f64() };
            members.push(Member {
                name: format!("m{i}"),
                identity,
                disk: Vec::new(),
                synced: 0,
                core: None,
                rate,
                offset: 1000.0 * rng.f64(),
                stopped_until: 0.0,
                full_until: 0.0,
                questions: 0,
            });
        }
        let mut world = World {
            plan,
            file,
            rng,
            now: 0.0,
            members,
            flights: Vec::new(),
            linked: BTreeMap::new(),
            cuts: BTreeMap::new(),
            seen: Vec::new(),
            both: Vec::new(),
            terms: 0,
            reborn: 0,
        };
        let part = world.part(0, 0);
        world.members[0].disk = bootstrap_records(&world.members[0].identity, &part).unwrap();
        world.members[0].synced = world.members[0].disk.len();
        world
    }

    fn part(&self, _: usize, first: u64) -> Duties {
        let settings = Settings { rules: self.plan.rules, ..Settings::from_file(&self.file) };
        Duties::new(settings, first)
    }

    fn clock(&self, i: usize) -> Seconds {
        self.members[i].offset + self.now * self.members[i].rate
    }

    fn start(&mut self, i: usize) {
        self.members[i].identity.start_count += 1;
        self.members[i].questions += 1 << 20;
        let part = self.part(i, self.members[i].questions);
        let (now, seed, file) = (self.clock(i), self.rng.u64(..), self.file.clone());
        let member = &self.members[i];
        let core = Core::new(file, member.identity.clone(), member.disk.clone(), part, now, seed).unwrap();
        self.members[i].core = Some(core);
        self.seen.push(Seen::Began { by: self.members[i].identity.id });
        // What the place is for it, it has forgotten; it finds out.
        if self.rng.f64() < 0.7 {
            self.tell(i, trials::DestinationReport::Unavailable(7));
        }
    }

    fn tell(&mut self, i: usize, fact: trials::DestinationReport) {
        let now = self.clock(i);
        if let Some(core) = &mut self.members[i].core {
            core.handle_input(now, DutyReport::Destination(fact));
        }
        self.work(i);
    }

    fn up(&self, i: usize) -> bool {
        self.members[i].core.is_some() && self.now >= self.members[i].stopped_until
    }

    fn index(&self, id: MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.identity.id == id)
    }

    /// Syncs, applies, sends.
    fn work(&mut self, i: usize) {
        let now = self.clock(i);
        let full = self.now < self.members[i].full_until;
        let member = &mut self.members[i];
        let Some(core) = &mut member.core else { return };
        while let Some((records, sync)) = core.take_records() {
            if full && !records.is_empty() {
                // Nothing was written: it begins anew from what is there.
                self.die(i, 0.3);
                return;
            }
            member.disk.extend(records);
            if sync {
                member.synced = member.disk.len();
            }
            core.records_persisted(now).unwrap();
        }
        if let Some(records) = core.compact(false).unwrap() {
            (member.disk, member.synced) = (records, 0);
            member.synced = member.disk.len();
        }
        let (me, name) = (member.identity.id, i);
        let (frames, news) = (core.take_frames(), core.take_updates());
        for news in news {
            let seen = match news {
                DutyEvent::Acted(name, epoch, _) => Seen::Acted { at: self.now, by: me, name, epoch },
                DutyEvent::Granted(name, epoch, holder) => Seen::Given { by: me, name, epoch, holder },
                DutyEvent::Updated(name, epoch, word) => {
                    Seen::Told { at: self.now, by: me, name, epoch, word }
                }
                _ => continue,
            };
            self.seen.push(seen);
        }
        for (to, frame) in frames {
            // The first frame of a link finds room in its queue.
            let lost = self.rng.f64() < 0.01 && frame != Frame::HelloVerified;
            let slow = self.rng.f64() < 0.02;
            let delay = if slow { self.rng.f64() * 3.0 } else { 0.001 + 0.02 * self.rng.f64() };
            let linked = self.index(to).is_some_and(|j| self.linked.get(&pair(name, j)) == Some(&true));
            if !lost && linked && self.flights.len() < FRAMES_MOST {
                self.flights.push(Flight { at: self.now + delay, from: me, to, frame });
            }
        }
    }

    fn die(&mut self, i: usize, for_s: Seconds) {
        let (rng, member) = (&mut self.rng, &mut self.members[i]);
        // What was not synced may be gone.
        if rng.bool() {
            member.disk.truncate(member.synced);
        }
        if self.plan.forgetful && member.disk.len() > 1 {
            member.disk.pop();
            member.synced = member.synced.min(member.disk.len());
        }
        member.core = None;
        member.stopped_until = self.now + for_s;
        self.unlink(i);
    }

    fn unlink(&mut self, i: usize) {
        for j in 0..self.members.len() {
            if i != j && self.linked.insert(pair(i, j), false) == Some(true) {
                for (one, other) in [(i, j), (j, i)] {
                    let id = self.members[other].identity.id;
                    if let Some(core) = &mut self.members[one].core {
                        core.peer_disconnected(id);
                    }
                }
            }
        }
    }

    fn connect(&mut self) {
        for i in 0..self.members.len() {
            for j in i + 1..self.members.len() {
                let cut = |a, b| self.cuts.get(&(a, b)).is_some_and(|until| self.now < *until);
                let (one, other) = (&self.members[i].name, &self.members[j].name);
                let calls = (self.file.dials(one, other), self.file.dials(other, one));
                let there = self.up(i) && self.up(j) && !cut(i, j) && !cut(j, i);
                if !there || calls == (false, false) || self.linked.get(&pair(i, j)) == Some(&true) {
                    continue;
                }
                let mut well = true;
                for (one, other) in [(i, j), (j, i)] {
                    let (identity, mark) = {
                        let core = self.members[other].core.as_ref().unwrap();
                        (core.identity().clone(), core.log_position())
                    };
                    let core = self.members[one].core.as_mut().unwrap();
                    let linked =
                        core.peer_connected(identity.id, &identity.name, identity.start_count, &mark);
                    if linked.is_err() && !self.plan.forgetful {
                        // It is told so, and born anew.
                        well = false;
                        self.reborn += 1;
                        self.die(other, 0.2);
                        let birth = self.rng.u64(1..);
                        let member = &mut self.members[other];
                        (member.disk, member.synced) = (Vec::new(), 0);
                        member.identity = Identity { name: member.name.clone(), id: birth, start_count: 0 };
                        break;
                    }
                }
                if well {
                    self.linked.insert(pair(i, j), true);
                    // Who is called learns by what it hears.
                    let (caller, called) = if calls.0 { (i, j) } else { (j, i) };
                    let id = self.members[called].identity.id;
                    self.members[caller].core.as_mut().unwrap().peer_accepted(id);
                    self.work(caller);
                }
            }
        }
    }

    fn fault(&mut self) {
        let (count, now) = (self.members.len(), self.now);
        let i = self.rng.usize(0..count);
        match self.rng.u8(0..9) {
            0 => {
                let for_s = 0.05 + 2.0 * self.rng.f64();
                self.die(i, for_s);
            }
            1 | 2 => self.members[i].stopped_until = now + 0.1 + 3.0 * self.rng.f64(),
            3 => {
                let until = now + 0.2 + 3.0 * self.rng.f64();
                (0..count).filter(|j| *j != i).for_each(|j| {
                    self.cuts.insert((i, j), until);
                    self.cuts.insert((j, i), until);
                });
            }
            4 => {
                let until = now + 0.2 + 3.0 * self.rng.f64();
                self.cuts.extend((0..count).filter(|j| *j != i).map(|j| ((i, j), until)));
            }
            5 => {
                let j = self.rng.usize(0..count);
                self.cuts.insert((i, j), now + 0.2 + 3.0 * self.rng.f64());
            }
            6 => self.members[i].full_until = now + 0.5 * self.rng.f64(),
            7 => {
                // The leader, of all members.
                if let Some(i) =
                    (0..count).find(|i| self.members[*i].core.as_ref().is_some_and(Core::is_leader))
                {
                    self.members[i].stopped_until = now + 0.1 + 3.0 * self.rng.f64();
                }
            }
            _ => {
                // All at once, and started in another order.
                if self.rng.f64() < 0.3 {
                    for i in 0..count {
                        let for_s = 0.05 + 0.5 * self.rng.f64();
                        self.die(i, for_s);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for i in 0..self.members.len() {
            if self.members[i].core.is_none() && self.now >= self.members[i].stopped_until {
                self.start(i);
            }
        }
        self.connect();
        let (due, later) =
            std::mem::take(&mut self.flights).into_iter().partition(|flight| flight.at <= self.now);
        self.flights = later;
        let mut due: Vec<Flight> = due;
        self.rng.shuffle(&mut due);
        for flight in due {
            let (Some(from), Some(to)) = (self.index(flight.from), self.index(flight.to)) else { continue };
            let cut = self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until);
            if cut || self.linked.get(&pair(from, to)) != Some(&true) {
                continue;
            }
            if self.now < self.members[to].stopped_until {
                // It waits in the socket.
                self.flights.push(flight);
                continue;
            }
            let now = self.clock(to);
            if let Some(core) = &mut self.members[to].core {
                core.receive_frame(now, flight.from, flight.frame);
            }
            self.work(to);
        }
        for i in 0..self.members.len() {
            if !self.up(i) {
                continue;
            }
            let now = self.clock(i);
            if self.members[i].core.as_ref().is_some_and(|core| core.next_tick_at() <= now) {
                if let Some(core) = &mut self.members[i].core {
                    core.tick(now);
                }
                self.work(i);
                match self.rng.u16(0..400) {
                    0..40 => self.tell(i, trials::DestinationReport::CallFailed(7)),
                    40..42 => self.tell(i, trials::DestinationReport::CallServed(7)),
                    42 => self.tell(i, trials::DestinationReport::InService(7)),
                    43..46 => self.tell(i, trials::DestinationReport::Unavailable(7)),
                    _ => {}
                }
            }
        }
        self.look();
    }

    /// Whoever would look at its clock now, stopped or not: how many would find that they hold a duty?
    fn look(&mut self) {
        for name in [DutyId::LogMaintenance, DutyId::Trials(7)] {
            let holds = |i: &usize| {
                let core = self.members[*i].core.as_ref()?;
                core.state_machine().active_epoch(self.clock(*i), name)
            };
            let holders: Vec<_> =
                (0..self.members.len()).filter_map(|i| holds(&i).map(|epoch| (i, epoch))).collect();
            if holders.len() > 1 {
                self.both.push(format!("{:.2} {name}: {holders:?}", self.now));
            }
        }
    }

    /// Plays it all. After the faults a holder of the keeper's duty has to stand.
    pub fn play(&mut self) {
        let settled = 2.0;
        let mut next = settled;
        while self.now < settled + self.plan.faults_s {
            self.step();
            if self.now >= next {
                self.fault();
                next = self.now + 0.1 + 0.8 * self.rng.f64();
            }
        }
        self.cuts.clear();
        for member in &mut self.members {
            member.full_until = 0.0;
            member.stopped_until = member.stopped_until.min(self.now + 0.1);
        }
        let end = self.now + self.plan.quiet_s;
        while self.now < end {
            self.step();
        }
        self.terms = self.members.iter().filter_map(|m| m.core.as_ref()).map(Core::term).max().unwrap_or(0);
    }

    /// Plays without faults until something holds: after how many seconds; none where it does not within a limit.
    pub fn until(&mut self, limit: Seconds, holds: impl Fn(&World) -> bool) -> Option<Seconds> {
        let began = self.now;
        while self.now < began + limit {
            self.step();
            if holds(self) {
                return Some(self.now - began);
            }
        }
        None
    }

    /// The keeper's duty is held, and by one that is there.
    pub fn kept(&self) -> bool {
        (0..self.members.len()).any(|i| {
            let core = self.members[i].core.as_ref();
            core.is_some_and(|core| {
                core.state_machine().active_epoch(self.clock(i), DutyId::LogMaintenance).is_some()
            })
        })
    }

    /// All take part in the library's protocol.
    pub fn all_speak(&self) -> bool {
        self.members.iter().all(|member| member.core.as_ref().is_some_and(Core::is_participating))
    }

    /// All members agree, and all are members.
    pub fn whole(&self) -> Result<(), String> {
        let cores: Vec<_> = self.members.iter().filter_map(|m| m.core.as_ref()).collect();
        let most = cores.iter().map(|core| core.applied()).max().unwrap_or(0);
        for core in &cores {
            let name = &core.identity().name;
            if !core.members().0.contains_key(&core.identity().id) {
                return Err(format!("{name} is no member; {:?}", core.members()));
            }
            if core.applied() + 50 < most {
                return Err(format!("{name} is at {} of {most}", core.applied()));
            }
        }
        Ok(())
    }
}

impl World {
    /// How things are, for whoever looks into a failure.
    pub fn state(&self) -> String {
        let mut text = String::new();
        for (i, member) in self.members.iter().enumerate() {
            let id = member.identity.id;
            let (life, disk) = (member.identity.start_count, member.disk.len());
            let _ = write!(text, "{} {id:016x} life {life} disk {disk} ", member.name);
            if let Some(core) = &member.core {
                let (term, applied, speaks) = (core.term(), core.applied(), core.is_participating());
                let linked: Vec<_> = core.connected_members().values().collect();
                let (members, led) = (&core.members().0, core.leader().map(|id| format!("{id:016x}")));
                let _ =
                    write!(text, "term {term} applied {applied} speaks {speaks} leader {led:?} {linked:?} ");
                let members: Vec<_> = members
                    .iter()
                    .map(|(id, m)| format!("{id:016x}={}{}", m.name, if m.voter { "v" } else { "o" }))
                    .collect();
                let _ = write!(
                    text,
                    "{members:?} mark {:?} leads {} {} kept {:?}",
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
