//! Plays a scenario: starts all stand-ins and the dispatchers, carries out the script, and gives the record.

use crate::clients::SimulatedClients;
use crate::endpoint::{ConnectionLimits, Endpoint, SocketState};
use crate::fleet_faults::{self, Folder, Relays, Told, Trouble};
use crate::killer::{Counter, Kills};
use crate::message_registry::MessageRegistry;
use crate::partner::{Partner, PartnerEndpoint, PartnerFault};
use crate::platform::{EndpointEntry, Platform};
use crate::process::{Process, Program};
use crate::record::{
    self, CallEnd, Effect, EndpointState, Entry, Event, Micros, ProcessSignal, Recorder, Rules,
};
use crate::scenario::{FaultKind, RateLimit, Scenario, ValueDecay};
use crate::script::{FaultEvent, Script, target_name};
use crate::upgrader::{Upgrades, upgrade};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Entries of a record at most: a run of the largest scenario stays under it.
const ENTRIES_MOST: usize = 8_000_000;
/// After SIGTERM a process is killed no sooner than this (protocol page, "Figures").
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// New connections go on coming for so long after SIGTERM.
const FRONT_AFTER_TERM: Duration = Duration::from_millis(300);
/// What is due by the rules is waited for, and so much more.
const SETTLE: Duration = Duration::from_secs(4);

/// Where members of a fleet listen, each at its own address.
const MEMBERS_PORT: u16 = 7100;

/// How a run is to be played.
pub struct RunOptions {
    /// What is run as a dispatcher.
    pub program: Program,
    /// Where folders and logs of the dispatchers are kept.
    pub folder: PathBuf,
    /// Progress on standard error, once a second.
    pub progress: bool,
}

/// What came of a run.
pub struct RunOutcome {
    /// The record.
    pub entries: Vec<Entry>,
    /// Highest resident memory of each dispatcher, in KB.
    pub resident_kb: Vec<u64>,
    /// Messages that found no dispatcher that would listen.
    pub unreached_messages: usize,
    /// Partners that were pushed over while they were cold.
    pub collapsed_partners: Vec<String>,
    /// Kills by the scenario's killer.
    pub kills: Kills,
    /// Upgrades by the scenario's upgrader.
    pub upgrades: Upgrades,
    /// What the members of the scenario's fleet told, where it has one.
    pub fleet: Option<Told>,
}

/// Addresses of one run: a network of its own in 127.0.0.0/8, so that two runs at once do not meet.
struct Network {
    base: [u8; 3],
    /// Holds the network for as long as the run lasts.
    _held: TcpListener,
}

impl Network {
    async fn draw() -> io::Result<Network> {
        let mut rng = fastrand::Rng::new();
        for _ in 0..100 {
            let base = [127, rng.u8(1..=254), rng.u8(..)];
            let at = SocketAddr::from((Ipv4Addr::new(base[0], base[1], base[2], 254), 40404));
            if let Ok(held) = TcpListener::bind(at).await {
                return Ok(Network { base, _held: held });
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no free network in 127.0.0.0/8"))
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(self.base[0], self.base[1], self.base[2], host), port).into()
    }
}

/// All that is on stage.
struct Stage {
    scenario: Scenario,
    recorder: Recorder,
    platform: Platform,
    partners: Vec<Arc<Partner>>,
    /// By partner; an endpoint that was replaced makes place for the new one.
    endpoints: Mutex<Vec<Vec<Arc<Endpoint>>>>,
    processes: Vec<Process>,
    configs: Vec<Value>,
    clients: Arc<SimulatedClients>,
    network: Network,
    numbers: Arc<AtomicU64>,
    renamed: AtomicU64,
    rng: Mutex<fastrand::Rng>,
    /// Highest resident memory, by dispatcher.
    peaks: Peaks,
    /// Between members of a fleet.
    relays: Relays,
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

fn kind_name(batch: usize) -> String {
    format!("batch-{batch}")
}

/// The figures by which a scenario's record is judged.
pub fn rules(scenario: &Scenario) -> Rules {
    let class = |class: &crate::scenario::Class| record::Class {
        name: class.name.clone(),
        effect: class.effect,
        key_window: micros(class.key_window_s),
        target_latency: micros(class.target_latency_s),
        ordered: false,
    };
    let place = |(i, partner): (usize, &crate::scenario::Partner)| record::DestinationCapacity {
        destination: i as u32 + 1,
        capacity: partner.capacity_per_s,
    };
    Rules {
        classes: scenario.classes.iter().map(class).collect(),
        capacities: scenario.partners.iter().enumerate().map(place).collect(),
        warm_up: micros(scenario.recovery.warm_up_s),
        initial_capacity_share: scenario.recovery.initial_capacity_share,
        overload_multiple: scenario.recovery.overload_multiple,
        overload_time: micros(scenario.recovery.overload_s),
        tolerance: scenario.slack_ms * 1000,
        ..Rules::default()
    }
}

/// The configuration of a dispatcher, but for what its own start adds.
fn configuration(scenario: &Scenario, index: usize, listen: SocketAddr) -> Value {
    let grades: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Safe => "read_like",
                Effect::Keyed => "idempotency_key",
                Effect::Unsafe => "non_idempotent",
            };
            json!({"name": class.name, "deadline": class.deadline_s, "effect": effect, "gain": class.value,
                "goal_time": class.target_latency_s, "group": "all", "late_share": class.deadline_value_share,
                "repeat_window": class.key_window_s, "stream": false})
        })
        .collect();
    let mut batches: Vec<usize> = scenario.partners.iter().map(|partner| partner.max_batch).collect();
    batches.sort_unstable();
    batches.dedup();
    let d = &scenario.dispatchers;
    let returning = &scenario.recovery;
    let settings = json!({
        "balancers": d.count, "discovery": "automatic", "tick": d.tick_ms / 1000.0, "weights": "nominal",
        "zone": 0, "zones": ["lab"], "kinds": batches.iter().map(|batch| kind_name(*batch)).collect::<Vec<_>>(),
        "family_info": {"call_slots": d.slots, "kind_apart": vec![false; batches.len()], "kind_batch": batches,
            "loses_worth": match scenario.value_decay { ValueDecay::ByHalf => "by_half", ValueDecay::Even => "even" }},
        "grades": grades,
        "orgs": scenario.tenants.iter().map(|customer| json!({"name": customer.name,
            "quota_per_s": customer.quota_per_s})).collect::<Vec<_>>(),
        "over_share_worth": 0.05,
        "limits": {"connect_timeout": 1.5, "keepalive": shortest_idle(scenario), "max_retry_after": 3.0,
            "open_cap": d.max_pending, "probes": scenario.probes, "send_cap": d.max_attempts},
        "report": {"fields": ["x0", "x1"], "source": "inline"},
        "safety": {"cold": returning.warm_up_s, "cold_share": returning.initial_capacity_share, "fall": returning.overload_s,
            "must_ask_in": 10.0, "tip_multiple": returning.overload_multiple},
    });
    json!({
        "name": format!("n{index}"), "listen": listen.to_string(), "seed": "0",
        "limits": {"cores": 1.0, "memory_mb": d.memory_mb, "sockets": d.sockets, "disk_mb": d.disk_mb},
        "settings": settings,
    })
}

fn shortest_idle(scenario: &Scenario) -> f64 {
    scenario.partners.iter().map(|partner| partner.idle_timeout_s).fold(f64::INFINITY, f64::min)
}

/// Plays a scenario by its script.
///
/// # Errors
/// What kept it from being set up; what goes wrong later is in the record.
pub async fn run_scenario(
    scenario: &Scenario, script: &Script, options: &RunOptions,
) -> io::Result<RunOutcome> {
    let recorder = Recorder::new(ENTRIES_MOST);
    recorder.add(Event::Rules(rules(scenario)));
    let stage = set_up(scenario, script, options, recorder.clone()).await?;
    let stage = Arc::new(stage);
    for index in 0..stage.processes.len() {
        stage.configure(index)?;
    }
    if scenario.fleet.voters > 0 {
        fleet_faults::found(&options.program.path, &stage.processes[0].dir()).await?;
    }
    for (index, process) in stage.processes.iter().enumerate() {
        process.start(stage.agent(index)?).await?;
    }
    let began = recorder.now();
    let arriving = tokio::spawn(stage.clients.clone().submit_arrivals(script.arrivals.clone(), began));
    let watching = tokio::spawn(watch(stage.clone(), options.progress, began));
    let mut turning = Vec::new();
    for turn in script.faults.clone() {
        let stage = stage.clone();
        turning.push(tokio::spawn(async move {
            tokio::time::sleep_until(stage.recorder.instant(began + turn.at).into()).await;
            if let Err(error) = stage.turn(&turn).await {
                // It shows in the record: the process did not come back, or the endpoint stayed away.
                eprintln!("{:?} of {}: {error}", turn.kind, target_name(&stage.scenario, &turn));
            }
        }));
    }
    let counter = Arc::new(Counter::default());
    let stop = stage.recorder.instant(began + micros(scenario.duration_s * 0.9));
    for index in 0..stage.processes.len() {
        let (stage, counter) = (stage.clone(), counter.clone());
        let mut rng = fastrand::Rng::with_seed(script.seed ^ (index as u64 + 1) << 32);
        turning.push(tokio::spawn(async move {
            let killer = &stage.scenario.killer;
            while std::time::Instant::now() < stop
                && counter.kill(killer, &stage.processes[index], &mut rng).await
            {
                if let Err(error) = stage.restart(index).await {
                    eprintln!("dispatcher {index} after a kill: {error}");
                    return;
                }
            }
        }));
    }
    if scenario.fleet.fault_count > 0 {
        let (stage, rng) = (stage.clone(), fastrand::Rng::with_seed(script.seed ^ 0xf1ee7));
        let stop = stage.recorder.instant(began + micros(scenario.duration_s * 0.8));
        turning.push(tokio::spawn(async move { stage.trouble(rng, stop).await }));
    }
    let upgrades = Arc::new(Mutex::new(Upgrades::default()));
    for index in 0..stage.processes.len() {
        let (stage, upgrades) = (stage.clone(), upgrades.clone());
        let mut rng = fastrand::Rng::with_seed(script.seed ^ (index as u64 + 101) << 32);
        turning.push(tokio::spawn(async move {
            let upgrader = &stage.scenario.upgrader;
            let every = upgrader.interval_ms[0] * 1000..=upgrader.interval_ms[1] * 1000;
            while std::time::Instant::now() < stop && Upgrades::begin(&upgrades, upgrader) {
                sleep(Duration::from_micros(rng.u64(every.clone()))).await;
                if let Err(error) = stage.upgrade(index, &upgrades, &mut rng).await {
                    eprintln!("dispatcher {index} in an upgrade: {error}");
                    return;
                }
            }
        }));
    }
    let _ = arriving.await;
    for turn in turning {
        let _ = turn.await;
    }
    let longest = scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let until = recorder.now() + micros(longest) + SETTLE.as_micros() as Micros;
    let mut progress = Progress::default();
    loop {
        sleep(Duration::from_millis(100)).await;
        recorder.with_entries(|entries| progress.follow(entries));
        if (stage.clients.active_submissions() == 0 && progress.open.is_empty()) || recorder.now() > until {
            break;
        }
    }
    recorder.add(Event::RunEnded);
    watching.abort();
    let entries = recorder.entries();
    if recorder.is_full() {
        return Err(io::Error::other("the record is full: the scenario is too large to be judged"));
    }
    let resident_kb = {
        let peaks = stage.peaks.lock().unwrap_or_else(PoisonError::into_inner);
        (0..stage.processes.len()).map(|i| peaks.get(&i).copied().unwrap_or(0)).collect()
    };
    for process in &stage.processes {
        process.signal(ProcessSignal::Kill);
    }
    for process in &stage.processes {
        process.wait_for_exit(Duration::from_secs(10)).await;
    }
    let fallen = stage.partners.iter().zip(&scenario.partners).filter(|(partner, _)| partner.has_collapsed());
    let fallen = fallen.map(|(_, spec)| spec.name.clone()).collect();
    let kills = counter.kills();
    let mut upgrades = std::mem::take(&mut *upgrades.lock().unwrap_or_else(PoisonError::into_inner));
    for index in 0..stage.processes.len() {
        upgrades.read_log(&options.folder.join(format!("n{index}.log")));
    }
    let members = (scenario.fleet.voters > 0).then_some(stage.processes.len());
    let fleet = members.map(|count| fleet_faults::read_logs(&options.folder, count));
    Ok(RunOutcome {
        entries,
        resident_kb,
        unreached_messages: stage.clients.unreached_messages(),
        collapsed_partners: fallen,
        kills,
        upgrades,
        fleet,
    })
}

async fn set_up(
    scenario: &Scenario, script: &Script, options: &RunOptions, recorder: Recorder,
) -> io::Result<Stage> {
    let network = Network::draw().await?;
    let count = scenario.dispatchers.count;
    let (ledger, numbers) = (Arc::new(MessageRegistry::default()), Arc::new(AtomicU64::new(1)));
    let (mut partners, mut endpoints, mut hosts) = (Vec::new(), Vec::new(), Vec::new());
    for (i, spec) in scenario.partners.iter().enumerate() {
        let dest = i as u32 + 1;
        let partner = Arc::new(Partner::new(
            spec.clone(),
            scenario.recovery.clone(),
            dest,
            scenario.dispatchers.max_attempts,
            script.seed,
            ledger.clone(),
            recorder.clone(),
        ));
        let mut own = Vec::new();
        for n in 0..spec.endpoints {
            // An address for each partner; its endpoints differ by port.
            let at = vec![network.at(20 + (i % 200) as u8, 0); count];
            let name = format!("{}-{n}", spec.name);
            let traits = ConnectionLimits {
                idle_timeout: Some(Duration::from_secs_f64(spec.idle_timeout_s)),
                max_connections: spec.max_connections,
            };
            let door = PartnerEndpoint(partner.clone(), n);
            let endpoint =
                Endpoint::start(&name, dest, &at, traits, door, recorder.clone(), numbers.clone()).await?;
            hosts.push(host(scenario, i, &endpoint, count));
            own.push(Arc::new(endpoint));
        }
        partners.push(partner);
        endpoints.push(own);
    }
    let (platform, notices) = Platform::new(hosts, recorder.clone());
    let (mut processes, mut configs, mut listens) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..count {
        let host = 1 + index as u8;
        platform.start_agent(index, network.at(host, 0)).await?;
        // A port that was free just now, in a network that nobody else draws from.
        let listen = TcpListener::bind(network.at(host, 0)).await?.local_addr()?;
        let log = options.folder.join(format!("n{index}.log"));
        let program = options.program.clone();
        processes.push(Process::new(index, program, listen, &options.folder, log, recorder.clone())?);
        configs.push(configuration(scenario, index, listen));
        listens.push(listen);
    }
    let folders: Vec<_> = processes.iter().map(Process::dir).collect();
    let relays = match scenario.fleet.voters {
        0 => Relays::new(),
        _ => {
            fleet_faults::set_up(&scenario.fleet, &folders, |i| network.at(1 + i as u8, MEMBERS_PORT)).await?
        }
    };
    let clients = SimulatedClients::new(scenario.clone(), recorder.clone(), ledger, listens);
    tokio::spawn(clients.clone().handle_notices(notices));
    Ok(Stage {
        scenario: scenario.clone(),
        recorder,
        platform,
        partners,
        endpoints: Mutex::new(endpoints),
        processes,
        configs,
        clients,
        network,
        numbers,
        renamed: AtomicU64::new(0),
        rng: Mutex::new(fastrand::Rng::with_seed(script.seed)),
        peaks: Mutex::default(),
        relays,
    })
}

fn host(scenario: &Scenario, partner: usize, endpoint: &Endpoint, count: usize) -> EndpointEntry {
    let spec = &scenario.partners[partner];
    let share = if spec.rate_limit == RateLimit::None {
        spec.capacity_per_s
    } else {
        spec.limit_per_s.min(spec.capacity_per_s)
    };
    EndpointEntry {
        name: endpoint.name().into(),
        addresses: (0..count).filter_map(|dispatcher| endpoint.address(dispatcher)).collect(),
        zone: "lab".into(),
        destination_kind: kind_name(spec.max_batch),
        destination: partner as u32 + 1,
        state: EndpointState::Up,
        rate_limit_per_s: share,
    }
}

impl Stage {
    fn agent(&self, index: usize) -> io::Result<SocketAddr> {
        self.platform.agent_address(index).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes a dispatcher's configuration as the platform would now.
    fn configure(&self, index: usize) -> io::Result<()> {
        let mut config = self.configs[index].clone();
        config["discovery"] = self.agent(index)?.to_string().into();
        config["known"] = self.platform.known_list(index);
        let seed = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        config["seed"] = format!("{seed:016x}").into();
        self.processes[index].write_config(&config)
    }

    fn endpoints(&self, partner: usize) -> Vec<Arc<Endpoint>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)[partner].clone()
    }

    async fn doors(&self, partner: usize, door: SocketState) -> io::Result<()> {
        for endpoint in self.endpoints(partner) {
            endpoint.set_socket_state(door).await?;
        }
        Ok(())
    }

    async fn restart(&self, index: usize) -> io::Result<()> {
        let process = &self.processes[index];
        process.wait_for_exit(Duration::from_secs(10)).await;
        sleep(Duration::from_millis(self.scenario.dispatchers.restart_delay_ms)).await;
        self.configure(index)?;
        process.start(self.agent(index)?).await?;
        self.clients.set_alive(index, true);
        Ok(())
    }

    /// One upgrade of a dispatcher; where no process is left, it is started again.
    async fn upgrade(&self, index: usize, to: &Mutex<Upgrades>, rng: &mut fastrand::Rng) -> io::Result<()> {
        let control = TcpListener::bind(self.network.at(1 + index as u8, 0)).await?.local_addr()?;
        self.configure(index)?;
        let (upgrader, process) = (&self.scenario.upgrader, &self.processes[index]);
        if !upgrade(upgrader, process, &self.recorder, (self.agent(index)?, control), to, rng).await? {
            self.restart(index).await?;
        }
        Ok(())
    }

    async fn outage(&self, turn: &FaultEvent, trouble: PartnerFault, door: SocketState) -> io::Result<()> {
        let partner = &self.partners[turn.target];
        let refusing = door == SocketState::Refusing;
        self.recorder
            .add(Event::OutageStarted { destination: partner.destination(), refuses_connections: refusing });
        partner.set_fault(trouble);
        self.doors(turn.target, door).await?;
        sleep(Duration::from_micros(turn.duration)).await;
        partner.recover();
        self.doors(turn.target, SocketState::Open).await
    }

    async fn turn(&self, turn: &FaultEvent) -> io::Result<()> {
        let span = Duration::from_micros(turn.duration);
        match turn.kind {
            FaultKind::Kill => {
                let process = &self.processes[turn.target];
                process.signal(ProcessSignal::Kill);
                let [least, most] = self.scenario.clients.failure_detection_ms;
                let notice = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(least..=most);
                tokio::join!(self.restart(turn.target), async {
                    sleep(Duration::from_millis(notice)).await;
                    // Back before anybody noticed.
                    if process.pid().is_none() {
                        self.clients.set_alive(turn.target, false);
                    }
                })
                .0
            }
            FaultKind::Term => {
                let process = &self.processes[turn.target];
                process.signal(ProcessSignal::Term);
                sleep(FRONT_AFTER_TERM).await;
                self.clients.set_alive(turn.target, false);
                if !process.wait_for_exit(KILL_AFTER - FRONT_AFTER_TERM).await {
                    process.signal(ProcessSignal::Kill);
                }
                self.restart(turn.target).await
            }
            FaultKind::Stop => {
                self.processes[turn.target].signal(ProcessSignal::Stop);
                sleep(span).await;
                self.processes[turn.target].signal(ProcessSignal::Cont);
                Ok(())
            }
            FaultKind::Reload => {
                let host = 1 + turn.target as u8;
                self.platform.start_agent(turn.target, self.network.at(host, 0)).await?;
                self.configure(turn.target)?;
                self.processes[turn.target].signal(ProcessSignal::Hup);
                Ok(())
            }
            FaultKind::Down => self.outage(turn, PartnerFault::None, SocketState::Refusing).await,
            FaultKind::Silent => self.outage(turn, PartnerFault::None, SocketState::Silent).await,
            FaultKind::Hang => self.outage(turn, PartnerFault::Hang, SocketState::Open).await,
            FaultKind::Shut => self.outage(turn, PartnerFault::RejectAll, SocketState::Open).await,
            FaultKind::Errors => self.outage(turn, PartnerFault::Errors, SocketState::Open).await,
            FaultKind::Slow | FaultKind::Cuts | FaultKind::Spoilt => {
                let partner = &self.partners[turn.target];
                partner.set_fault(match turn.kind {
                    FaultKind::Slow => PartnerFault::Slow(turn.factor),
                    FaultKind::Cuts => PartnerFault::TruncatedResponses,
                    _ => PartnerFault::MalformedResponses,
                });
                sleep(span).await;
                partner.set_fault(PartnerFault::None);
                Ok(())
            }
            FaultKind::Drain => {
                let Some(endpoint) = self.endpoints(turn.target).get(turn.endpoint).cloned() else {
                    return Ok(());
                };
                let Some(mut host) = self.platform.entry(endpoint.name()) else { return Ok(()) };
                host.state = EndpointState::Draining;
                self.platform.update_entry(host.clone());
                sleep(span).await;
                host.state = EndpointState::Removed;
                self.platform.update_entry(host);
                // Gone from the list, it still stands for the rule's grace; then a new one comes.
                sleep(Duration::from_millis(1500)).await;
                self.newcomer(turn, endpoint).await
            }
            FaultKind::Replace => {
                let Some(endpoint) = self.endpoints(turn.target).get(turn.endpoint).cloned() else {
                    return Ok(());
                };
                let Some(host) = self.platform.entry(endpoint.name()) else { return Ok(()) };
                self.platform.update_entry(EndpointEntry { state: EndpointState::Removed, ..host });
                self.newcomer(turn, endpoint).await
            }
            FaultKind::PlatformSilent => {
                self.platform.set_behavior(|mood| mood.silent = true);
                sleep(span).await;
                self.platform.set_behavior(|mood| mood.silent = false);
                Ok(())
            }
            FaultKind::PlatformTorn => {
                self.platform.set_behavior(|mood| mood.truncate_updates = true);
                sleep(span).await;
                self.platform.set_behavior(|mood| mood.truncate_updates = false);
                Ok(())
            }
            FaultKind::PlatformLate => {
                self.platform.set_behavior(|mood| mood.update_delay = Duration::from_secs_f64(turn.factor));
                sleep(span).await;
                self.platform.set_behavior(|mood| mood.update_delay = Duration::ZERO);
                Ok(())
            }
        }
    }

    /// Trouble between the members of a fleet, until `stop`; then all is whole again.
    async fn trouble(self: Arc<Stage>, mut rng: fastrand::Rng, stop: std::time::Instant) {
        let fleet = &self.scenario.fleet;
        let count = self.processes.len();
        let (mut ends, mut folders) = (Vec::new(), 0);
        sleep(Duration::from_secs_f64(fleet.first_fault_s)).await;
        for _ in 0..fleet.fault_count {
            sleep(Duration::from_micros(rng.u64(fleet.interval_ms[0] * 1000..=fleet.interval_ms[1] * 1000)))
                .await;
            if std::time::Instant::now() >= stop {
                break;
            }
            let (stage, one, other) = (self.clone(), rng.usize(0..count), rng.usize(0..count));
            let mut trouble = Trouble::draw(&mut rng);
            while fleet.only_kind.as_ref().is_some_and(|only| !trouble.is(only)) {
                trouble = Trouble::draw(&mut rng);
            }
            // A folder that is gone costs its fleet a voter until another is in its place.
            if matches!(trouble, Trouble::Kill(Folder::Older | Folder::Emptied)) {
                folders += 1;
                if folders > 1 {
                    trouble = Trouble::Kill(Folder::Kept);
                }
            }
            if rng.bool() {
                fleet_faults::copy_aside(&self.processes[rng.usize(0..count)]);
            }
            ends.push(tokio::spawn(async move { stage.one_trouble(trouble, one, other).await }));
        }
        for end in ends {
            let _ = end.await;
        }
        fleet_faults::heal(&self.relays);
    }

    async fn one_trouble(&self, trouble: Trouble, one: usize, other: usize) {
        let process = &self.processes[one];
        let after = |span: f64| sleep(Duration::from_secs_f64(span));
        match trouble {
            Trouble::Kill(folder) => {
                if process.pid().is_none() {
                    return;
                }
                process.signal(ProcessSignal::Kill);
                process.wait_for_exit(Duration::from_secs(10)).await;
                fleet_faults::turn_back(process, folder);
                if let Err(error) = self.restart(one).await {
                    eprintln!("dispatcher {one} after a kill: {error}");
                }
            }
            Trouble::Stop(span) => fleet_faults::stop(process, span).await,
            Trouble::CutOff(says, hears, span) => {
                fleet_faults::cut_off(&self.relays, one, says, hears);
                after(span).await;
                fleet_faults::cut_off(&self.relays, one, false, false);
            }
            Trouble::Pair(there, back, span) => {
                if let Some(relay) = self.relays.get(&(one, other)) {
                    relay.set(|way| (way.forward_blocked, way.backward_blocked) = (there, back));
                    after(span).await;
                    relay.set(|way| (way.forward_blocked, way.backward_blocked) = (false, false));
                }
            }
            Trouble::SlowThenCut(delay, span) => {
                fleet_faults::slow(&self.relays, one, delay);
                after(1.0).await;
                // Answers to what it has asked are on their way yet.
                fleet_faults::cut_off(&self.relays, one, true, false);
                after(1.0).await;
                fleet_faults::slow(&self.relays, one, 0.0);
                after(span).await;
                fleet_faults::cut_off(&self.relays, one, false, false);
            }
            Trouble::Slow(span, delay) => {
                self.relays.values().for_each(|relay| {
                    relay.set(|way| (way.delay_s, way.resets) = (delay, way.resets + 1));
                });
                after(span).await;
                self.relays.values().for_each(|relay| relay.set(|way| way.delay_s = 0.0));
            }
        }
    }

    /// A new endpoint under a new name, at the address of one that is gone.
    async fn newcomer(&self, turn: &FaultEvent, old: Arc<Endpoint>) -> io::Result<()> {
        old.set_socket_state(SocketState::Refusing).await?;
        let spec = &self.scenario.partners[turn.target];
        let count = self.scenario.dispatchers.count;
        let at: Vec<_> = (0..count).filter_map(|dispatcher| old.address(dispatcher)).collect();
        let number = self.renamed.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{}-new{number}", spec.name, turn.endpoint);
        let partner = &self.partners[turn.target];
        let traits = ConnectionLimits {
            idle_timeout: Some(Duration::from_secs_f64(spec.idle_timeout_s)),
            max_connections: spec.max_connections,
        };
        let door = PartnerEndpoint(partner.clone(), turn.endpoint);
        let (recorder, numbers) = (self.recorder.clone(), self.numbers.clone());
        let endpoint =
            Endpoint::start(&name, partner.destination(), &at, traits, door, recorder, numbers).await?;
        self.platform.update_entry(host(&self.scenario, turn.target, &endpoint, count));
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(place) = endpoints[turn.target].get_mut(turn.endpoint) {
            *place = Arc::new(endpoint);
        }
        Ok(())
    }
}

/// Follows a record as it grows: what is under way, for the end of the run and for who watches it.
#[derive(Default)]
struct Progress {
    seen: usize,
    /// Taken on and not yet over.
    open: HashMap<String, ()>,
    calls: HashMap<u64, Vec<String>>,
    /// Over before the client had read that they were taken.
    early: HashMap<String, ()>,
    taken: u64,
    delivered: u64,
    noticed: u64,
    refused: u64,
}

impl Progress {
    fn follow(&mut self, entries: &[Entry]) {
        for entry in &entries[self.seen.min(entries.len())..] {
            match &entry.event {
                Event::Answered { id, status: 200 | 202 } => {
                    self.taken += 1;
                    if self.early.remove(id).is_none() {
                        self.open.insert(id.clone(), ());
                    }
                }
                Event::Answered { status: 429 | 503, .. } => self.refused += 1,
                Event::Call { call, items, .. } => {
                    self.calls.insert(*call, items.iter().map(|item| item.id.clone()).collect());
                }
                Event::CallEnded { call, end, results, .. } => {
                    let ids = self.calls.remove(call).unwrap_or_default();
                    for (i, id) in ids.iter().enumerate() {
                        let alone = ids.len() == 1;
                        let over = match (end, results.get(i)) {
                            (CallEnd::Answered(200) | CallEnd::Truncated(200), _) if alone => true,
                            (CallEnd::Answered(200), Some(result)) => {
                                matches!(
                                    result,
                                    record::MessageResult::Delivered | record::MessageResult::Expired
                                )
                            }
                            (CallEnd::Answered(410), _) => true,
                            _ => false,
                        };
                        if over {
                            self.delivered += 1;
                            self.close(id);
                        }
                    }
                }
                Event::Notice { id, status: 204, .. } => {
                    self.noticed += 1;
                    self.close(id);
                }
                _ => {}
            }
        }
        self.seen = entries.len();
    }

    fn close(&mut self, id: &str) {
        if self.open.remove(id).is_none() {
            self.early.insert(id.into(), ());
        }
    }
}

/// Tells how the run goes, and keeps the dispatchers' highest memory.
async fn watch(stage: Arc<Stage>, progress: bool, began: Micros) {
    let mut state = Progress::default();
    let mut turns = 0;
    loop {
        sleep(Duration::from_millis(250)).await;
        for (i, process) in stage.processes.iter().enumerate() {
            if let Some(kb) = process.resident_kb() {
                let mut peaks = stage.peaks.lock().unwrap_or_else(PoisonError::into_inner);
                let peak = peaks.entry(i).or_default();
                *peak = kb.max(*peak);
            }
        }
        turns += 1;
        if progress && turns % 4 == 0 {
            stage.recorder.with_entries(|entries| state.follow(entries));
            let seconds = (stage.recorder.now() - began) as f64 / 1e6;
            let up = stage.processes.iter().filter(|process| process.pid().is_some()).count();
            eprintln!(
                "{seconds:5.1} s  {up} of {} dispatchers up  taken {}  delivered {}  notices {}  refused {}  held {}",
                stage.processes.len(),
                state.taken,
                state.delivered,
                state.noticed,
                state.refused,
                state.open.len()
            );
        }
    }
}

/// A folder for one run below `parent`, made anew.
///
/// # Errors
/// Those of the file system.
pub fn create_run_dir(parent: &Path) -> io::Result<PathBuf> {
    let mut rng = fastrand::Rng::new();
    let folder = parent.join(format!("fawnspoke-lab-{}-{:08x}", std::process::id(), rng.u32(..)));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

type Peaks = Mutex<BTreeMap<usize, u64>>;
