//! Plays a scenario: starts all stand-ins and the dispatchers, injects the script's faults, and returns the
//! record of what the stand-ins observed.

use crate::clients::SimulatedClients;
use crate::endpoint::{ConnectionLimits, Endpoint, SocketState};
use crate::fleet_faults::{self, FleetFault, FleetSummary, Relays, StateDirFate};
use crate::killer::{KillCounter, Kills};
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

/// Maximum number of entries of a record; a run of the largest allowed scenario stays below it.
const MAX_RECORD_ENTRIES: usize = 8_000_000;
/// Shortest time between SIGTERM and SIGKILL (protocol page, "Figures").
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// Time after SIGTERM for which the load balancer still routes new connections to the dispatcher.
const ROUTING_AFTER_TERM: Duration = Duration::from_millis(300);
/// Time added to the longest deadline before the run ends with messages still pending.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Port on which members of a fleet listen, each at its own address.
const MEMBERS_PORT: u16 = 7100;

/// Options of a run.
pub struct RunOptions {
    /// The program that is run as a dispatcher.
    pub program: Program,
    /// Directory for the dispatchers' state and logs.
    pub dir: PathBuf,
    /// Whether to report progress on standard error, once per second.
    pub progress: bool,
}

/// Result of a run.
pub struct RunOutcome {
    /// The record.
    pub entries: Vec<Entry>,
    /// Peak resident memory of each dispatcher, in KB.
    pub resident_kb: Vec<u64>,
    /// Messages for which no dispatcher accepted a connection.
    pub unreached_messages: usize,
    /// Partners that collapsed under overload while they were cold.
    pub collapsed_partners: Vec<String>,
    /// Kills by the scenario's killer.
    pub kills: Kills,
    /// Upgrades by the scenario's upgrader.
    pub upgrades: Upgrades,
    /// Summary of what the fleet's members logged, where the scenario has a fleet.
    pub fleet: Option<FleetSummary>,
}

/// Addresses of one run: a random network within 127.0.0.0/8, so that concurrent runs do not collide.
struct Network {
    base: [u8; 3],
    /// A bound port that reserves the network for the duration of the run.
    _reservation: TcpListener,
}

impl Network {
    /// Reserves a random network.
    async fn draw() -> io::Result<Network> {
        let mut rng = fastrand::Rng::new();
        for _ in 0..100 {
            let base = [127, rng.u8(1..=254), rng.u8(..)];
            let address = SocketAddr::from((Ipv4Addr::new(base[0], base[1], base[2], 254), 40404));
            if let Ok(listener) = TcpListener::bind(address).await {
                return Ok(Network { base, _reservation: listener });
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no free network in 127.0.0.0/8"))
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(self.base[0], self.base[1], self.base[2], host), port).into()
    }
}

/// The stand-ins and dispatchers of a run.
struct TestBed {
    scenario: Scenario,
    recorder: Recorder,
    platform: Platform,
    partners: Vec<Arc<Partner>>,
    /// Endpoints by partner; a replacement takes the slot of the endpoint that it replaces.
    endpoints: Mutex<Vec<Vec<Arc<Endpoint>>>>,
    processes: Vec<Process>,
    configs: Vec<Value>,
    clients: Arc<SimulatedClients>,
    network: Network,
    next_call_number: Arc<AtomicU64>,
    replacement_count: AtomicU64,
    rng: Mutex<fastrand::Rng>,
    /// Peak resident memory in KB, by dispatcher.
    peak_memory: PeakMemory,
    /// Links between members of a fleet.
    relays: Relays,
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Name of the kind of destinations with this batch size.
fn destination_kind(batch: usize) -> String {
    format!("batch-{batch}")
}

/// The parameters by which the auditor judges a record of this scenario.
pub fn audit_rules(scenario: &Scenario) -> Rules {
    let class = |class: &crate::scenario::Class| record::Class {
        name: class.name.clone(),
        effect: class.effect,
        key_window: micros(class.key_window_s),
        target_latency: micros(class.target_latency_s),
        ordered: false,
    };
    let destination = |(i, partner): (usize, &crate::scenario::Partner)| record::DestinationCapacity {
        destination: i as u32 + 1,
        capacity: partner.capacity_per_s,
    };
    Rules {
        classes: scenario.classes.iter().map(class).collect(),
        capacities: scenario.partners.iter().enumerate().map(destination).collect(),
        warm_up: micros(scenario.recovery.warm_up_s),
        initial_capacity_share: scenario.recovery.initial_capacity_share,
        overload_multiple: scenario.recovery.overload_multiple,
        overload_time: micros(scenario.recovery.overload_s),
        tolerance: scenario.slack_ms * 1000,
        ..Rules::default()
    }
}

/// The configuration of a dispatcher, without the values that are set at each start.
fn dispatcher_config(scenario: &Scenario, index: usize, listen: SocketAddr) -> Value {
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
    let dispatchers = &scenario.dispatchers;
    let recovery = &scenario.recovery;
    let settings = json!({
        "balancers": dispatchers.count, "discovery": "automatic", "tick": dispatchers.tick_ms / 1000.0, "weights": "nominal",
        "zone": 0, "zones": ["lab"], "kinds": batches.iter().map(|batch| destination_kind(*batch)).collect::<Vec<_>>(),
        "family_info": {"call_slots": dispatchers.slots, "kind_apart": vec![false; batches.len()], "kind_batch": batches,
            "loses_worth": match scenario.value_decay { ValueDecay::ByHalf => "by_half", ValueDecay::Even => "even" }},
        "grades": grades,
        "orgs": scenario.tenants.iter().map(|tenant| json!({"name": tenant.name,
            "quota_per_s": tenant.quota_per_s})).collect::<Vec<_>>(),
        "over_share_worth": 0.05,
        "limits": {"connect_timeout": 1.5, "keepalive": shortest_idle_timeout(scenario), "max_retry_after": 3.0,
            "open_cap": dispatchers.max_pending, "probes": scenario.probes, "send_cap": dispatchers.max_attempts},
        "report": {"fields": ["x0", "x1"], "source": "inline"},
        "safety": {"cold": recovery.warm_up_s, "cold_share": recovery.initial_capacity_share, "fall": recovery.overload_s,
            "must_ask_in": 10.0, "tip_multiple": recovery.overload_multiple},
    });
    json!({
        "name": format!("n{index}"), "listen": listen.to_string(), "seed": "0",
        "limits": {"cores": 1.0, "memory_mb": dispatchers.memory_mb, "sockets": dispatchers.sockets, "disk_mb": dispatchers.disk_mb},
        "settings": settings,
    })
}

/// The shortest idle timeout of all partners, as the dispatchers' keep-alive limit.
fn shortest_idle_timeout(scenario: &Scenario) -> f64 {
    scenario.partners.iter().map(|partner| partner.idle_timeout_s).fold(f64::INFINITY, f64::min)
}

/// Plays a scenario by its script.
///
/// # Errors
/// Where the run can't be set up or its record is too large; later failures show in the record.
pub async fn run_scenario(
    scenario: &Scenario, script: &Script, options: &RunOptions,
) -> io::Result<RunOutcome> {
    let recorder = Recorder::new(MAX_RECORD_ENTRIES);
    recorder.add(Event::Rules(audit_rules(scenario)));
    let test_bed = set_up(scenario, script, options, recorder.clone()).await?;
    let test_bed = Arc::new(test_bed);
    for index in 0..test_bed.processes.len() {
        test_bed.configure(index)?;
    }
    if scenario.fleet.voters > 0 {
        fleet_faults::bootstrap(&options.program.path, &test_bed.processes[0].dir()).await?;
    }
    for (index, process) in test_bed.processes.iter().enumerate() {
        process.start(test_bed.discovery_address(index)?).await?;
    }
    let run_start = recorder.now();
    let arrivals_task =
        tokio::spawn(test_bed.clients.clone().submit_arrivals(script.arrivals.clone(), run_start));
    let monitor_task = tokio::spawn(monitor(test_bed.clone(), options.progress, run_start));
    let mut tasks = Vec::new();
    for fault in script.faults.clone() {
        let test_bed = test_bed.clone();
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(test_bed.recorder.instant(run_start + fault.at).into()).await;
            if let Err(error) = test_bed.inject(&fault).await {
                // The record shows it too: the process or the endpoint does not return.
                eprintln!("{:?} of {}: {error}", fault.kind, target_name(&test_bed.scenario, &fault));
            }
        }));
    }
    let kill_counter = Arc::new(KillCounter::default());
    let latest_start = test_bed.recorder.instant(run_start + micros(scenario.duration_s * 0.9));
    for index in 0..test_bed.processes.len() {
        let (test_bed, kill_counter) = (test_bed.clone(), kill_counter.clone());
        let mut rng = fastrand::Rng::with_seed(script.seed ^ (index as u64 + 1) << 32);
        tasks.push(tokio::spawn(async move {
            let killer = &test_bed.scenario.killer;
            while std::time::Instant::now() < latest_start
                && kill_counter.kill(killer, &test_bed.processes[index], &mut rng).await
            {
                if let Err(error) = test_bed.restart(index).await {
                    eprintln!("dispatcher {index}: restart after a kill failed: {error}");
                    return;
                }
            }
        }));
    }
    if scenario.fleet.fault_count > 0 {
        let (test_bed, rng) = (test_bed.clone(), fastrand::Rng::with_seed(script.seed ^ 0xf1ee7));
        let latest_start = test_bed.recorder.instant(run_start + micros(scenario.duration_s * 0.8));
        tasks.push(tokio::spawn(async move { test_bed.inject_fleet_faults(rng, latest_start).await }));
    }
    let upgrades = Arc::new(Mutex::new(Upgrades::default()));
    for index in 0..test_bed.processes.len() {
        let (test_bed, upgrades) = (test_bed.clone(), upgrades.clone());
        let mut rng = fastrand::Rng::with_seed(script.seed ^ (index as u64 + 101) << 32);
        tasks.push(tokio::spawn(async move {
            let upgrader = &test_bed.scenario.upgrader;
            let interval_micros = upgrader.interval_ms[0] * 1000..=upgrader.interval_ms[1] * 1000;
            while std::time::Instant::now() < latest_start && Upgrades::try_start(&upgrades, upgrader) {
                sleep(Duration::from_micros(rng.u64(interval_micros.clone()))).await;
                if let Err(error) = test_bed.upgrade(index, &upgrades, &mut rng).await {
                    eprintln!("dispatcher {index}: upgrade failed: {error}");
                    return;
                }
            }
        }));
    }
    let _ = arrivals_task.await;
    for task in tasks {
        let _ = task.await;
    }
    let max_deadline_s = scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let latest_end = recorder.now() + micros(max_deadline_s) + SETTLE_TIME.as_micros() as Micros;
    let mut progress = Progress::default();
    loop {
        sleep(Duration::from_millis(100)).await;
        recorder.with_entries(|entries| progress.update(entries));
        if (test_bed.clients.active_submissions() == 0 && progress.pending.is_empty())
            || recorder.now() > latest_end
        {
            break;
        }
    }
    recorder.add(Event::RunEnded);
    monitor_task.abort();
    let entries = recorder.entries();
    if recorder.is_full() {
        return Err(io::Error::other("the record is full: the scenario is too large to be audited"));
    }
    let resident_kb = {
        let peak_memory = test_bed.peak_memory.lock().unwrap_or_else(PoisonError::into_inner);
        (0..test_bed.processes.len()).map(|i| peak_memory.get(&i).copied().unwrap_or(0)).collect()
    };
    for process in &test_bed.processes {
        process.signal(ProcessSignal::Kill);
    }
    for process in &test_bed.processes {
        process.wait_for_exit(Duration::from_secs(10)).await;
    }
    let collapsed_partners =
        test_bed.partners.iter().zip(&scenario.partners).filter(|(partner, _)| partner.has_collapsed());
    let collapsed_partners = collapsed_partners.map(|(_, partner_spec)| partner_spec.name.clone()).collect();
    let kills = kill_counter.kills();
    let mut upgrades = std::mem::take(&mut *upgrades.lock().unwrap_or_else(PoisonError::into_inner));
    for index in 0..test_bed.processes.len() {
        upgrades.read_log(&options.dir.join(format!("n{index}.log")));
    }
    let members = (scenario.fleet.voters > 0).then_some(test_bed.processes.len());
    let fleet = members.map(|count| fleet_faults::summarize_logs(&options.dir, count));
    Ok(RunOutcome {
        entries,
        resident_kb,
        unreached_messages: test_bed.clients.unreached_messages(),
        collapsed_partners,
        kills,
        upgrades,
        fleet,
    })
}

/// Starts the stand-ins and prepares the dispatchers' processes.
async fn set_up(
    scenario: &Scenario, script: &Script, options: &RunOptions, recorder: Recorder,
) -> io::Result<TestBed> {
    let network = Network::draw().await?;
    let dispatcher_count = scenario.dispatchers.count;
    let (message_registry, next_call_number) =
        (Arc::new(MessageRegistry::default()), Arc::new(AtomicU64::new(1)));
    let (mut partners, mut endpoints, mut list_entries) = (Vec::new(), Vec::new(), Vec::new());
    for (i, partner_spec) in scenario.partners.iter().enumerate() {
        let destination = i as u32 + 1;
        let partner = Arc::new(Partner::new(
            partner_spec.clone(),
            scenario.recovery.clone(),
            destination,
            scenario.dispatchers.max_attempts,
            script.seed,
            message_registry.clone(),
            recorder.clone(),
        ));
        let mut partner_endpoints = Vec::new();
        for endpoint_index in 0..partner_spec.endpoints {
            // Each partner has an address of its own; its endpoints differ by port.
            let addresses = vec![network.at(20 + (i % 200) as u8, 0); dispatcher_count];
            let name = format!("{}-{endpoint_index}", partner_spec.name);
            let connection_limits = ConnectionLimits {
                idle_timeout: Some(Duration::from_secs_f64(partner_spec.idle_timeout_s)),
                max_connections: partner_spec.max_connections,
            };
            let endpoint_script = PartnerEndpoint(partner.clone(), endpoint_index);
            let endpoint = Endpoint::start(
                &name,
                destination,
                &addresses,
                connection_limits,
                endpoint_script,
                recorder.clone(),
                next_call_number.clone(),
            )
            .await?;
            list_entries.push(list_entry(scenario, i, &endpoint, dispatcher_count));
            partner_endpoints.push(Arc::new(endpoint));
        }
        partners.push(partner);
        endpoints.push(partner_endpoints);
    }
    let (platform, notices) = Platform::new(list_entries, recorder.clone());
    let (mut processes, mut configs, mut listen_addresses) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..dispatcher_count {
        let host = 1 + index as u8;
        platform.start_agent(index, network.at(host, 0)).await?;
        // The port stays free: no other run uses this network.
        let listen = TcpListener::bind(network.at(host, 0)).await?.local_addr()?;
        let log = options.dir.join(format!("n{index}.log"));
        let program = options.program.clone();
        processes.push(Process::new(index, program, listen, &options.dir, log, recorder.clone())?);
        configs.push(dispatcher_config(scenario, index, listen));
        listen_addresses.push(listen);
    }
    let state_dirs: Vec<_> = processes.iter().map(Process::dir).collect();
    let relays = match scenario.fleet.voters {
        0 => Relays::new(),
        _ => {
            fleet_faults::start_relays(&scenario.fleet, &state_dirs, |i| {
                network.at(1 + i as u8, MEMBERS_PORT)
            })
            .await?
        }
    };
    let clients =
        SimulatedClients::new(scenario.clone(), recorder.clone(), message_registry, listen_addresses);
    tokio::spawn(clients.clone().handle_notices(notices));
    Ok(TestBed {
        scenario: scenario.clone(),
        recorder,
        platform,
        partners,
        endpoints: Mutex::new(endpoints),
        processes,
        configs,
        clients,
        network,
        next_call_number,
        replacement_count: AtomicU64::new(0),
        rng: Mutex::new(fastrand::Rng::with_seed(script.seed)),
        peak_memory: Mutex::default(),
        relays,
    })
}

/// The entry of a partner's endpoint in discovery's list.
fn list_entry(
    scenario: &Scenario, partner: usize, endpoint: &Endpoint, dispatcher_count: usize,
) -> EndpointEntry {
    let partner_spec = &scenario.partners[partner];
    let rate_limit_per_s = if partner_spec.rate_limit == RateLimit::None {
        partner_spec.capacity_per_s
    } else {
        partner_spec.limit_per_s.min(partner_spec.capacity_per_s)
    };
    EndpointEntry {
        name: endpoint.name().into(),
        addresses: (0..dispatcher_count).filter_map(|dispatcher| endpoint.address(dispatcher)).collect(),
        zone: "lab".into(),
        destination_kind: destination_kind(partner_spec.max_batch),
        destination: partner as u32 + 1,
        state: EndpointState::Up,
        rate_limit_per_s,
    }
}

impl TestBed {
    /// The address at which a dispatcher reaches the platform.
    fn discovery_address(&self, index: usize) -> io::Result<SocketAddr> {
        self.platform.agent_address(index).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes a dispatcher's configuration as the platform would at this moment.
    fn configure(&self, index: usize) -> io::Result<()> {
        let mut config = self.configs[index].clone();
        config["discovery"] = self.discovery_address(index)?.to_string().into();
        config["known"] = self.platform.known_list(index);
        let seed = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        config["seed"] = format!("{seed:016x}").into();
        self.processes[index].write_config(&config)
    }

    /// The current endpoints of a partner.
    fn endpoints(&self, partner: usize) -> Vec<Arc<Endpoint>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)[partner].clone()
    }

    /// Sets how the sockets of all endpoints of a partner behave.
    async fn set_socket_states(&self, partner: usize, state: SocketState) -> io::Result<()> {
        for endpoint in self.endpoints(partner) {
            endpoint.set_socket_state(state).await?;
        }
        Ok(())
    }

    /// Starts a dispatcher again after its process has ended.
    async fn restart(&self, index: usize) -> io::Result<()> {
        let process = &self.processes[index];
        process.wait_for_exit(Duration::from_secs(10)).await;
        sleep(Duration::from_millis(self.scenario.dispatchers.restart_delay_ms)).await;
        self.configure(index)?;
        process.start(self.discovery_address(index)?).await?;
        self.clients.set_alive(index, true);
        Ok(())
    }

    /// Upgrades a dispatcher once; starts it again where no process survives.
    async fn upgrade(
        &self, index: usize, counts: &Mutex<Upgrades>, rng: &mut fastrand::Rng,
    ) -> io::Result<()> {
        let control = TcpListener::bind(self.network.at(1 + index as u8, 0)).await?.local_addr()?;
        self.configure(index)?;
        let (upgrader, process) = (&self.scenario.upgrader, &self.processes[index]);
        if !upgrade(upgrader, process, &self.recorder, (self.discovery_address(index)?, control), counts, rng)
            .await?
        {
            self.restart(index).await?;
        }
        Ok(())
    }

    /// Makes a partner unavailable for the duration of a fault, then lets it recover cold.
    async fn outage(
        &self, fault: &FaultEvent, partner_fault: PartnerFault, socket_state: SocketState,
    ) -> io::Result<()> {
        let partner = &self.partners[fault.target];
        let refuses_connections = socket_state == SocketState::Refusing;
        self.recorder.add(Event::OutageStarted { destination: partner.destination(), refuses_connections });
        partner.set_fault(partner_fault);
        self.set_socket_states(fault.target, socket_state).await?;
        sleep(Duration::from_micros(fault.duration)).await;
        partner.recover();
        self.set_socket_states(fault.target, SocketState::Open).await
    }

    /// Injects one fault and waits for its end.
    async fn inject(&self, fault: &FaultEvent) -> io::Result<()> {
        let duration = Duration::from_micros(fault.duration);
        match fault.kind {
            FaultKind::Kill => {
                let process = &self.processes[fault.target];
                process.signal(ProcessSignal::Kill);
                let [min, max] = self.scenario.clients.failure_detection_ms;
                let detection_ms = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(min..=max);
                tokio::join!(self.restart(fault.target), async {
                    sleep(Duration::from_millis(detection_ms)).await;
                    // It may have restarted before the load balancer detected its death.
                    if process.pid().is_none() {
                        self.clients.set_alive(fault.target, false);
                    }
                })
                .0
            }
            FaultKind::Term => {
                let process = &self.processes[fault.target];
                process.signal(ProcessSignal::Term);
                sleep(ROUTING_AFTER_TERM).await;
                self.clients.set_alive(fault.target, false);
                if !process.wait_for_exit(KILL_AFTER - ROUTING_AFTER_TERM).await {
                    process.signal(ProcessSignal::Kill);
                }
                self.restart(fault.target).await
            }
            FaultKind::Stop => {
                self.processes[fault.target].signal(ProcessSignal::Stop);
                sleep(duration).await;
                self.processes[fault.target].signal(ProcessSignal::Cont);
                Ok(())
            }
            FaultKind::Reload => {
                let host = 1 + fault.target as u8;
                self.platform.start_agent(fault.target, self.network.at(host, 0)).await?;
                self.configure(fault.target)?;
                self.processes[fault.target].signal(ProcessSignal::Hup);
                Ok(())
            }
            FaultKind::Down => self.outage(fault, PartnerFault::None, SocketState::Refusing).await,
            FaultKind::Silent => self.outage(fault, PartnerFault::None, SocketState::Silent).await,
            FaultKind::Hang => self.outage(fault, PartnerFault::Hang, SocketState::Open).await,
            FaultKind::Shut => self.outage(fault, PartnerFault::RejectAll, SocketState::Open).await,
            FaultKind::Errors => self.outage(fault, PartnerFault::Errors, SocketState::Open).await,
            FaultKind::Slow | FaultKind::Cuts | FaultKind::Spoilt => {
                let partner = &self.partners[fault.target];
                partner.set_fault(match fault.kind {
                    FaultKind::Slow => PartnerFault::Slow(fault.factor),
                    FaultKind::Cuts => PartnerFault::TruncatedResponses,
                    _ => PartnerFault::MalformedResponses,
                });
                sleep(duration).await;
                partner.set_fault(PartnerFault::None);
                Ok(())
            }
            FaultKind::Drain => {
                let Some(endpoint) = self.endpoints(fault.target).get(fault.endpoint).cloned() else {
                    return Ok(());
                };
                let Some(mut list_entry) = self.platform.entry(endpoint.name()) else { return Ok(()) };
                list_entry.state = EndpointState::Draining;
                self.platform.update_entry(list_entry.clone());
                sleep(duration).await;
                list_entry.state = EndpointState::Removed;
                self.platform.update_entry(list_entry);
                // A removed endpoint still accepts calls for the grace period of the rules;
                // then a new one replaces it.
                sleep(Duration::from_millis(1500)).await;
                self.replace_endpoint(fault, endpoint).await
            }
            FaultKind::Replace => {
                let Some(endpoint) = self.endpoints(fault.target).get(fault.endpoint).cloned() else {
                    return Ok(());
                };
                let Some(list_entry) = self.platform.entry(endpoint.name()) else { return Ok(()) };
                self.platform.update_entry(EndpointEntry { state: EndpointState::Removed, ..list_entry });
                self.replace_endpoint(fault, endpoint).await
            }
            FaultKind::PlatformSilent => {
                self.platform.set_behavior(|behavior| behavior.silent = true);
                sleep(duration).await;
                self.platform.set_behavior(|behavior| behavior.silent = false);
                Ok(())
            }
            FaultKind::PlatformTorn => {
                self.platform.set_behavior(|behavior| behavior.truncate_updates = true);
                sleep(duration).await;
                self.platform.set_behavior(|behavior| behavior.truncate_updates = false);
                Ok(())
            }
            FaultKind::PlatformLate => {
                self.platform
                    .set_behavior(|behavior| behavior.update_delay = Duration::from_secs_f64(fault.factor));
                sleep(duration).await;
                self.platform.set_behavior(|behavior| behavior.update_delay = Duration::ZERO);
                Ok(())
            }
        }
    }

    /// Injects random faults between the members of a fleet until `latest_start`, then restores all links.
    async fn inject_fleet_faults(
        self: Arc<TestBed>, mut rng: fastrand::Rng, latest_start: std::time::Instant,
    ) {
        let fleet = &self.scenario.fleet;
        let count = self.processes.len();
        let (mut tasks, mut lost_state_dirs) = (Vec::new(), 0);
        sleep(Duration::from_secs_f64(fleet.first_fault_s)).await;
        for _ in 0..fleet.fault_count {
            sleep(Duration::from_micros(rng.u64(fleet.interval_ms[0] * 1000..=fleet.interval_ms[1] * 1000)))
                .await;
            if std::time::Instant::now() >= latest_start {
                break;
            }
            let (test_bed, member, peer) = (self.clone(), rng.usize(0..count), rng.usize(0..count));
            let mut fault = FleetFault::draw(&mut rng);
            while fleet.only_kind.as_ref().is_some_and(|only_kind| !fault.is_kind(only_kind)) {
                fault = FleetFault::draw(&mut rng);
            }
            // A member that loses its state is no voter until it has joined again, so only one member loses it
            // in a run.
            if matches!(fault, FleetFault::Kill(StateDirFate::RolledBack | StateDirFate::Deleted)) {
                lost_state_dirs += 1;
                if lost_state_dirs > 1 {
                    fault = FleetFault::Kill(StateDirFate::Kept);
                }
            }
            if rng.bool() {
                fleet_faults::copy_fleet_state(&self.processes[rng.usize(0..count)]);
            }
            tasks.push(tokio::spawn(async move { test_bed.inject_fleet_fault(fault, member, peer).await }));
        }
        for task in tasks {
            let _ = task.await;
        }
        fleet_faults::restore_links(&self.relays);
    }

    /// Injects one fault into the fleet and waits for its end.
    async fn inject_fleet_fault(&self, fault: FleetFault, member: usize, peer: usize) {
        let process = &self.processes[member];
        let wait = |duration_s: f64| sleep(Duration::from_secs_f64(duration_s));
        match fault {
            FleetFault::Kill(dir_fate) => {
                if process.pid().is_none() {
                    return;
                }
                process.signal(ProcessSignal::Kill);
                process.wait_for_exit(Duration::from_secs(10)).await;
                fleet_faults::apply_state_dir_fate(process, dir_fate);
                if let Err(error) = self.restart(member).await {
                    eprintln!("dispatcher {member}: restart after a kill failed: {error}");
                }
            }
            FleetFault::Pause(duration_s) => fleet_faults::pause(process, duration_s).await,
            FleetFault::Partition(outgoing, incoming, duration_s) => {
                fleet_faults::partition(&self.relays, member, outgoing, incoming);
                wait(duration_s).await;
                fleet_faults::partition(&self.relays, member, false, false);
            }
            FleetFault::BlockLink(forward, backward, duration_s) => {
                if let Some(relay) = self.relays.get(&(member, peer)) {
                    relay.set(|link| (link.forward_blocked, link.backward_blocked) = (forward, backward));
                    wait(duration_s).await;
                    relay.set(|link| (link.forward_blocked, link.backward_blocked) = (false, false));
                }
            }
            FleetFault::DelayThenPartition(delay_s, duration_s) => {
                fleet_faults::set_delay(&self.relays, member, delay_s);
                wait(1.0).await;
                // Responses to its earlier requests are still on their way.
                fleet_faults::partition(&self.relays, member, true, false);
                wait(1.0).await;
                fleet_faults::set_delay(&self.relays, member, 0.0);
                wait(duration_s).await;
                fleet_faults::partition(&self.relays, member, false, false);
            }
            FleetFault::ResetAndDelay(duration_s, delay_s) => {
                self.relays.values().for_each(|relay| {
                    relay.set(|link| (link.delay_s, link.resets) = (delay_s, link.resets + 1));
                });
                wait(duration_s).await;
                self.relays.values().for_each(|relay| relay.set(|link| link.delay_s = 0.0));
            }
        }
    }

    /// Starts a new endpoint with a new name at the addresses of a removed one.
    async fn replace_endpoint(&self, fault: &FaultEvent, removed: Arc<Endpoint>) -> io::Result<()> {
        removed.set_socket_state(SocketState::Refusing).await?;
        let partner_spec = &self.scenario.partners[fault.target];
        let dispatcher_count = self.scenario.dispatchers.count;
        let addresses: Vec<_> =
            (0..dispatcher_count).filter_map(|dispatcher| removed.address(dispatcher)).collect();
        let number = self.replacement_count.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{}-new{number}", partner_spec.name, fault.endpoint);
        let partner = &self.partners[fault.target];
        let connection_limits = ConnectionLimits {
            idle_timeout: Some(Duration::from_secs_f64(partner_spec.idle_timeout_s)),
            max_connections: partner_spec.max_connections,
        };
        let endpoint_script = PartnerEndpoint(partner.clone(), fault.endpoint);
        let (recorder, next_call_number) = (self.recorder.clone(), self.next_call_number.clone());
        let endpoint = Endpoint::start(
            &name,
            partner.destination(),
            &addresses,
            connection_limits,
            endpoint_script,
            recorder,
            next_call_number,
        )
        .await?;
        self.platform.update_entry(list_entry(&self.scenario, fault.target, &endpoint, dispatcher_count));
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = endpoints[fault.target].get_mut(fault.endpoint) {
            *slot = Arc::new(endpoint);
        }
        Ok(())
    }
}

/// Follows a growing record: which messages are pending, for the end of the run and for progress reports.
#[derive(Default)]
struct Progress {
    processed: usize,
    /// Messages that were accepted and have not ended yet.
    pending: HashMap<String, ()>,
    calls: HashMap<u64, Vec<String>>,
    /// Messages that ended before the client had read the response that accepted them.
    ended_early: HashMap<String, ()>,
    accepted: u64,
    delivered: u64,
    notices: u64,
    rejected: u64,
}

impl Progress {
    fn update(&mut self, entries: &[Entry]) {
        for entry in &entries[self.processed.min(entries.len())..] {
            match &entry.event {
                Event::Answered { id, status: 200 | 202 } => {
                    self.accepted += 1;
                    if self.ended_early.remove(id).is_none() {
                        self.pending.insert(id.clone(), ());
                    }
                }
                Event::Answered { status: 429 | 503, .. } => self.rejected += 1,
                Event::Call { call, items, .. } => {
                    self.calls.insert(*call, items.iter().map(|item| item.id.clone()).collect());
                }
                Event::CallEnded { call, end, results, .. } => {
                    let ids = self.calls.remove(call).unwrap_or_default();
                    for (i, id) in ids.iter().enumerate() {
                        let single = ids.len() == 1;
                        let ended = match (end, results.get(i)) {
                            (CallEnd::Answered(200) | CallEnd::Truncated(200), _) if single => true,
                            (CallEnd::Answered(200), Some(result)) => {
                                matches!(
                                    result,
                                    record::MessageResult::Delivered | record::MessageResult::Expired
                                )
                            }
                            (CallEnd::Answered(410), _) => true,
                            _ => false,
                        };
                        if ended {
                            self.delivered += 1;
                            self.finish(id);
                        }
                    }
                }
                Event::Notice { id, status: 204, .. } => {
                    self.notices += 1;
                    self.finish(id);
                }
                _ => {}
            }
        }
        self.processed = entries.len();
    }

    fn finish(&mut self, id: &str) {
        if self.pending.remove(id).is_none() {
            self.ended_early.insert(id.into(), ());
        }
    }
}

/// Reports progress, and tracks the dispatchers' peak memory.
async fn monitor(test_bed: Arc<TestBed>, progress: bool, run_start: Micros) {
    let mut counts = Progress::default();
    let mut ticks = 0;
    loop {
        sleep(Duration::from_millis(250)).await;
        for (i, process) in test_bed.processes.iter().enumerate() {
            if let Some(kb) = process.resident_kb() {
                let mut peak_memory = test_bed.peak_memory.lock().unwrap_or_else(PoisonError::into_inner);
                let peak = peak_memory.entry(i).or_default();
                *peak = kb.max(*peak);
            }
        }
        ticks += 1;
        if progress && ticks % 4 == 0 {
            test_bed.recorder.with_entries(|entries| counts.update(entries));
            let seconds = (test_bed.recorder.now() - run_start) as f64 / 1e6;
            let up = test_bed.processes.iter().filter(|process| process.pid().is_some()).count();
            eprintln!(
                "{seconds:5.1} s  {up} of {} dispatchers up  accepted {}  delivered {}  notices {}  rejected {}  pending {}",
                test_bed.processes.len(),
                counts.accepted,
                counts.delivered,
                counts.notices,
                counts.rejected,
                counts.pending.len()
            );
        }
    }
}

/// Creates a new directory for one run below `parent`.
///
/// # Errors
/// Those of the file system.
pub fn create_run_dir(parent: &Path) -> io::Result<PathBuf> {
    let mut rng = fastrand::Rng::new();
    let dir = parent.join(format!("fawnspoke-lab-{}-{:08x}", std::process::id(), rng.u32(..)));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

type PeakMemory = Mutex<BTreeMap<usize, u64>>;
