//! Measurements of a fleet of dispatcher processes.
//!
//! - [`measure_duty_failover`]: the time until another member performs a duty after its holder fails.
//! - [`measure_outage_cost`]: the calls at a destination and at discovery while each of them is down.
//! - [`measure_idle_cost`]: processor time, network traffic and memory of members without traffic.
//!
//! The last two can also run the same processes without a fleet file, for comparison.

use crate::blocking::{Dispatcher, Endpoint, Platform, Reply, eventually};
use crate::test_fleet::{FleetShape, TestFleet};
use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A fault of a duty's holder after which another member has to take over.
///
/// The printed measurement shows a variant's name in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP until another member has taken over.
    Stall,
    /// A network partition in both directions.
    Cut,
    /// SIGTERM: the holder releases the duty by a message before it exits.
    Word,
}

/// Seconds of the boot-time clock, which members use for the times of their actions in the log.
fn boot_time_s() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Times from a fault of a duty's holder to the first action of the next holder.
pub struct DutyFailover {
    /// Lease term in seconds.
    pub term_s: f64,
    /// The injected fault.
    pub fault: HolderFault,
    /// Failover times in milliseconds.
    pub times_ms: Histogram<u64>,
    /// How often the failed holder was also the Raft leader.
    pub leader_failures: usize,
    /// Violations of the fleet's guarantees in the members' histories.
    pub violations: Vec<String>,
}

impl fmt::Display for DutyFailover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, worst) = (self.times_ms.value_at_quantile(0.5) as f64, self.times_ms.max() as f64);
        write!(
            f,
            "term {:>4} s  {:<6} {:>3} times, {:>2} of the leader  median {:>7.3} s  worst {:>7.3} s  {} violations",
            self.term_s,
            format!("{:?}", self.fault).to_lowercase(),
            self.times_ms.len(),
            self.leader_failures,
            median / 1000.0,
            worst / 1000.0,
            self.violations.len()
        )
    }
}

/// Creates a fleet with one endpoint that accepts every call, without starting it.
fn create_fleet(
    program: &Path, dir: &Path, shape: &FleetShape,
) -> io::Result<(TestFleet, Endpoint, Platform)> {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let known = [endpoint.list_entry("e", 7, "up")];
    let members = TestFleet::new(program, dir, shape, &[&platform], &known)?;
    Ok((members, endpoint, platform))
}

/// Injects a fault into the holder of the log maintenance duty, several times in a row, in a fleet of five voters.
///
/// # Errors
/// Returns an error if the fleet's directories or relays can't be created, no member takes over the duty, or the failed
/// member does not rejoin.
///
/// # Panics
/// Panics if the fleet does not start, or nobody holds that duty, within 30 s.
pub fn measure_duty_failover(
    program: &Path, dir: &Path, term_s: f64, fault: HolderFault, repeats: usize,
) -> io::Result<DutyFailover> {
    let settings = format!("term_s = {term_s}\nkeeper_round_s = 0.02\nhold_most_s = 1.0\ndisk_mb = 1\n");
    let shape = FleetShape { voters: 5, learners: 0, extra_config: settings };
    let (mut members, _endpoint, _platform) = create_fleet(program, dir, &shape)?;
    members.start();
    let mut measured = DutyFailover {
        term_s,
        fault,
        times_ms: Histogram::new(3).map_err(io::Error::other)?,
        leader_failures: 0,
        violations: Vec::new(),
    };
    for _ in 0..repeats {
        let mut current = None;
        eventually("a holder of the log maintenance duty", || {
            current = members.duty_holder("keeper");
            current.is_some()
        });
        let Some((holder, epoch)) = current else { continue };
        measured.leader_failures += usize::from(members.leader(holder) == Some(holder));
        let failed_at = boot_time_s();
        match fault {
            HolderFault::Kill => members.dispatchers[holder].kill(),
            HolderFault::Stall => members.dispatchers[holder].signal("STOP"),
            HolderFault::Cut => members.partition(holder, (true, true)),
            HolderFault::Word => members.dispatchers[holder].signal("TERM"),
        }
        let mut first_action = None;
        let until = Instant::now() + Duration::from_secs_f64(30.0 + 4.0 * term_s);
        while first_action.is_none() && Instant::now() < until {
            first_action = members.first_action_after("keeper", epoch);
            sleep(Duration::from_millis(2));
        }
        let acted_at = first_action.ok_or_else(|| io::Error::other("no member took over the duty"))?.0;
        let failover_ms = ((acted_at - failed_at) * 1000.0).max(0.0) as u64;
        measured.times_ms.record(failover_ms).map_err(io::Error::other)?;
        match fault {
            HolderFault::Kill => members.dispatchers[holder].start(),
            HolderFault::Stall => members.dispatchers[holder].signal("CONT"),
            HolderFault::Cut => members.partition(holder, (false, false)),
            HolderFault::Word => {
                members.dispatchers[holder].wait();
                members.dispatchers[holder].start();
            }
        }
        let has_rejoined = || members.status(holder).is_some_and(|fleet| fleet["leader"].is_string());
        let until = Instant::now() + Duration::from_secs_f64(20.0 + 4.0 * term_s);
        while !has_rejoined() {
            if Instant::now() > until {
                let log = members.dispatchers[holder].log();
                let latest_lines: Vec<_> = log
                    .iter()
                    .rev()
                    .filter(|l| l.starts_with("fleet:") && !l.contains("acts"))
                    .take(20)
                    .collect();
                let status = members.status(holder).unwrap_or_default();
                return Err(io::Error::other(format!(
                    "n{holder} did not rejoin the fleet; {status}\n{latest_lines:#?}"
                )));
            }
            sleep(Duration::from_millis(10));
        }
    }
    measured.violations = members.violations();
    Ok(measured)
}

/// Calls and resources of the dispatchers while a destination, and then discovery, was down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageCost {
    /// Number of dispatchers.
    pub count: usize,
    /// Whether they formed a fleet.
    pub as_fleet: bool,
    /// Messages that arrived at the destination while it aborted each call.
    pub attempts: usize,
    /// Attempts of the dispatcher that made the most of them.
    pub max_attempts: usize,
    /// Watch requests to discovery while it did not respond.
    pub discovery_calls: usize,
    /// Accepted messages.
    pub accepted: usize,
    /// Accepted messages that were delivered in the end.
    pub delivered: usize,
    /// Processor time of all dispatchers, in seconds per second.
    pub cpu: f64,
    /// Resident memory of the dispatcher that used the most, in megabytes.
    pub max_memory_mb: f64,
}

impl fmt::Display for OutageCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>3} dispatchers {:<8} attempts {:>5}, at most {:>4} by one  discovery calls {:>5}  accepted {:>5}  \
             delivered {:>5}  {:.3} of a core each  {:.1} MB at most",
            self.count,
            if self.as_fleet { "a fleet" } else { "alone" },
            self.attempts,
            self.max_attempts,
            self.discovery_calls,
            self.accepted,
            self.delivered,
            self.cpu / self.count as f64,
            self.max_memory_mb
        )
    }
}

/// Resources that dispatchers without traffic use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleCost {
    /// Number of dispatchers.
    pub count: usize,
    /// Number of voters among them; 0 if they are not a fleet.
    pub voters: usize,
    /// From the start of the first process until the fleet is complete, in seconds.
    pub startup_s: f64,
    /// Processor time in seconds per second: of the leader (or the first dispatcher), and the means of the voters and
    /// of the learners.
    pub cpu: [f64; 3],
    /// Bytes per second between members, divided by the number of members.
    pub bytes_per_s: f64,
    /// Highest resident memory of a voter and of a learner, in megabytes.
    pub max_memory_mb: [f64; 2],
}

impl fmt::Display for IdleCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [leader, voter, learner] = self.cpu;
        let [voter_mb, learner_mb] = self.max_memory_mb;
        write!(
            f,
            "{:>3} dispatchers, {} voters  complete after {:>5.1} s  of a core: leader {leader:.4}, voter {voter:.4}, \
             observer {learner:.4}  {:>7.0} bytes/s each  voter {voter_mb:.1} MB, observer {learner_mb:.1} MB",
            self.count, self.voters, self.startup_s, self.bytes_per_s
        )
    }
}

/// Measures for `duration_s` seconds what dispatchers without traffic use, with the default lease term.
///
/// # Errors
/// Returns an error if the fleet's directories or relays can't be created.
///
/// # Panics
/// Panics if the fleet does not start within 30 s.
pub fn measure_idle_cost(
    program: &Path, dir: &Path, count: usize, as_fleet: bool, duration_s: f64,
) -> io::Result<IdleCost> {
    let voters = 5.min(count);
    let shape = FleetShape { voters, learners: count - voters, extra_config: "disk_mb = 1".into() };
    let (mut members, _endpoint, _platform) = create_fleet(program, dir, &shape)?;
    let started_at = Instant::now();
    match as_fleet {
        true => members.start(),
        false => {
            members.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.shell_prelude.clear());
            members.dispatchers.iter_mut().for_each(Dispatcher::start);
        }
    }
    let startup_s = started_at.elapsed().as_secs_f64();
    sleep(Duration::from_secs(3));
    let leader = if as_fleet { members.leader(0).unwrap_or(0) } else { 0 };
    let pids: Vec<u32> = members.dispatchers.iter().filter_map(Dispatcher::process_id).collect();
    let (cpu_before, bytes_before, measured_from) = (
        pids.iter().map(|pid| cpu_seconds(*pid)).collect::<Vec<_>>(),
        members.relayed_bytes(),
        Instant::now(),
    );
    sleep(Duration::from_secs_f64(duration_s));
    let elapsed_s = measured_from.elapsed().as_secs_f64();
    let cpu: Vec<f64> =
        pids.iter().zip(cpu_before).map(|(pid, before)| (cpu_seconds(*pid) - before) / elapsed_s).collect();
    let mean = |of: &[f64]| if of.is_empty() { 0.0 } else { of.iter().sum::<f64>() / of.len() as f64 };
    let max_memory = |of: &[u32]| {
        of.iter().filter_map(|pid| crate::process::resident_kb(*pid)).max().unwrap_or(0) as f64 / 1024.0
    };
    Ok(IdleCost {
        count,
        voters: if as_fleet { voters } else { 0 },
        startup_s,
        cpu: [cpu.get(leader).copied().unwrap_or(0.0), mean(&cpu[..voters]), mean(&cpu[voters..])],
        bytes_per_s: (members.relayed_bytes() - bytes_before) as f64 / elapsed_s / count as f64,
        max_memory_mb: [max_memory(&pids[..voters]), max_memory(&pids[voters..])],
    })
}

/// Processor time that a process has used so far, in seconds (proc(5), utime and stime).
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

/// Counts the calls of the dispatchers during two outages of `outage_s` seconds each, while messages are submitted to
/// each dispatcher: first a destination aborts each call, then discovery does not respond.
///
/// # Errors
/// Returns an error if the fleet's directories or relays can't be created.
///
/// # Panics
/// Panics if the fleet does not start within 30 s.
pub fn measure_outage_cost(
    program: &Path, dir: &Path, count: usize, as_fleet: bool, outage_s: f64, messages_per_s: f64,
) -> io::Result<OutageCost> {
    let outage = Arc::new(AtomicBool::new(false));
    let endpoint_outage = outage.clone();
    let endpoint = Endpoint::start(move |_, _| match endpoint_outage.load(Ordering::SeqCst) {
        true => Reply::Disconnect,
        false => Reply::status(200),
    });
    let platform = Platform::start();
    platform.set(|behavior| behavior.heartbeats = true);
    let known = [endpoint.list_entry("e", 7, "up")];
    let shape = FleetShape {
        voters: 5.min(count | 1),
        learners: count - 5.min(count | 1),
        extra_config: "disk_mb = 1".into(),
    };
    let mut members = TestFleet::new(program, dir, &shape, &[&platform], &known)?;
    for dispatcher in &mut members.dispatchers {
        dispatcher.config["settings"]["balancers"] = count.into();
        if !as_fleet {
            dispatcher.shell_prelude.clear();
        }
    }
    match as_fleet {
        true => members.start(),
        false => members.dispatchers.iter_mut().for_each(Dispatcher::start),
    }
    let mut accepted = BTreeSet::new();
    let mut number = 0;
    let mut submit_for = |members: &TestFleet, duration_s: f64| {
        let (started_at, interval_s) = (Instant::now(), 1.0 / messages_per_s);
        let mut next_s = 0.0;
        while next_s < duration_s {
            for (i, dispatcher) in members.dispatchers.iter().enumerate() {
                let id = format!("m{i}-{number}");
                if dispatcher.submit("keyed", &id, 7) == 202 {
                    accepted.insert(id);
                }
            }
            number += 1;
            next_s += interval_s;
            sleep(Duration::from_secs_f64((next_s - started_at.elapsed().as_secs_f64()).max(0.0)));
        }
    };
    submit_for(&members, 3.0);
    let pids: Vec<u32> = members.dispatchers.iter().filter_map(Dispatcher::process_id).collect();
    let (cpu_before, measured_from) = (pids.iter().map(|pid| cpu_seconds(*pid)).sum::<f64>(), Instant::now());
    outage.store(true, Ordering::SeqCst);
    let before_outage = endpoint.requests().len();
    submit_for(&members, outage_s);
    let attempted = endpoint.message_ids().split_off(before_outage);
    let attempts = attempted.len();
    let attempts_by = |i: usize| attempted.iter().filter(|id| id.starts_with(&format!("m{i}-"))).count();
    let max_attempts = (0..count).map(attempts_by).max().unwrap_or(0);
    outage.store(false, Ordering::SeqCst);
    let after_outage = endpoint.requests().len();
    submit_for(&members, 3.0);
    let watches_before = platform.watch_paths().len();
    platform.set(|behavior| behavior.silent = true);
    sleep(Duration::from_secs_f64(outage_s));
    let discovery_calls = platform.watch_paths().len() - watches_before;
    platform.set(|behavior| behavior.silent = false);
    let cpu_used = pids.iter().map(|pid| cpu_seconds(*pid)).sum::<f64>() - cpu_before;
    let cpu = cpu_used / measured_from.elapsed().as_secs_f64();
    // Calls that the endpoint aborted during the outage are not deliveries.
    let count_delivered = || {
        let ids = endpoint.message_ids();
        let served =
            ids[..before_outage].iter().chain(&ids[after_outage..]).filter(|id| accepted.contains(*id));
        served.collect::<BTreeSet<_>>().len()
    };
    let until = Instant::now() + Duration::from_secs(20);
    while count_delivered() < accepted.len() && Instant::now() < until {
        sleep(Duration::from_millis(50));
    }
    let max_memory_mb =
        pids.iter().filter_map(|pid| crate::process::resident_kb(*pid)).max().unwrap_or(0) as f64 / 1024.0;
    let (accepted_count, delivered) = (accepted.len(), count_delivered());
    Ok(OutageCost {
        count,
        as_fleet,
        attempts,
        max_attempts,
        discovery_calls,
        accepted: accepted_count,
        delivered,
        cpu,
        max_memory_mb,
    })
}
