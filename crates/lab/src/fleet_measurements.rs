//! Measures of a fleet of processes: how long until a duty is another one's after a fault, and what the fleet tries and
//! asks while a place or discovery is out, beside the same processes without the fleet's file.

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

/// A fault after which a duty has to be another one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP, for longer than all else takes.
    Stall,
    /// Cut off both ways.
    Cut,
    /// SIGTERM: it gives the duty on by its word.
    Word,
}

/// The clock by which members write their acts.
fn boot() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Times from a fault to the next holder's first act.
pub struct DutyFailover {
    /// The term, in seconds.
    pub term: f64,
    /// The fault.
    pub fault: HolderFault,
    /// In milliseconds.
    pub times: Histogram<u64>,
    /// How often the holder was the leader too.
    pub led: usize,
    /// What is wrong with the histories.
    pub violations: Vec<String>,
}

impl fmt::Display for DutyFailover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, worst) = (self.times.value_at_quantile(0.5) as f64, self.times.max() as f64);
        write!(
            f,
            "term {:>4} s  {:<6} {:>3} times, {:>2} of a leader  median {:>7.3} s  worst {:>7.3} s  {} breaks",
            self.term,
            format!("{:?}", self.fault).to_lowercase(),
            self.times.len(),
            self.led,
            median / 1000.0,
            worst / 1000.0,
            self.violations.len()
        )
    }
}

fn fleet(program: &Path, folder: &Path, shape: &FleetShape) -> io::Result<(TestFleet, Endpoint, Platform)> {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let known = [endpoint.list_entry("e", 7, "up")];
    let members = TestFleet::new(program, folder, shape, &[&platform], &known)?;
    Ok((members, endpoint, platform))
}

/// Measures one fault, so often, with five voters.
///
/// # Errors
/// Those of folders and relays.
///
/// # Panics
/// Where a fleet does not come up, or nobody takes the duty, in 30 s.
pub fn measure_duty_failover(
    program: &Path, folder: &Path, term: f64, fault: HolderFault, times: usize,
) -> io::Result<DutyFailover> {
    let settings = format!("term_s = {term}\nkeeper_round_s = 0.02\nhold_most_s = 1.0\ndisk_mb = 1\n");
    let shape = FleetShape { voters: 5, observers: 0, extra_config: settings };
    let (mut members, _endpoint, _platform) = fleet(program, folder, &shape)?;
    members.start();
    let mut measured = DutyFailover {
        term,
        fault,
        times: Histogram::new(3).map_err(io::Error::other)?,
        led: 0,
        violations: Vec::new(),
    };
    for _ in 0..times {
        let mut held = None;
        eventually("a keeper", || {
            held = members.duty_holder("keeper");
            held.is_some()
        });
        let Some((holder, epoch)) = held else { continue };
        measured.led += usize::from(members.leader(holder) == Some(holder));
        let began = boot();
        match fault {
            HolderFault::Kill => members.dispatchers[holder].kill(),
            HolderFault::Stall => members.dispatchers[holder].signal("STOP"),
            HolderFault::Cut => members.partition(holder, (true, true)),
            HolderFault::Word => members.dispatchers[holder].signal("TERM"),
        }
        let mut acted = None;
        let until = Instant::now() + Duration::from_secs_f64(30.0 + 4.0 * term);
        while acted.is_none() && Instant::now() < until {
            acted = members.first_action_after("keeper", epoch);
            sleep(Duration::from_millis(2));
        }
        let at = acted.ok_or_else(|| io::Error::other("nobody took the duty"))?.0;
        let took = ((at - began) * 1000.0).max(0.0) as u64;
        measured.times.record(took).map_err(io::Error::other)?;
        match fault {
            HolderFault::Kill => members.dispatchers[holder].start(),
            HolderFault::Stall => members.dispatchers[holder].signal("CONT"),
            HolderFault::Cut => members.partition(holder, (false, false)),
            HolderFault::Word => {
                members.dispatchers[holder].wait();
                members.dispatchers[holder].start();
            }
        }
        let back = || members.status(holder).is_some_and(|fleet| fleet["leader"].is_string());
        let until = Instant::now() + Duration::from_secs_f64(20.0 + 4.0 * term);
        while !back() {
            if Instant::now() > until {
                let log = members.dispatchers[holder].log();
                let said: Vec<_> = log
                    .iter()
                    .rev()
                    .filter(|l| l.starts_with("fleet:") && !l.contains("acts"))
                    .take(20)
                    .collect();
                let shown = members.status(holder).unwrap_or_default();
                return Err(io::Error::other(format!("n{holder} does not return; {shown}\n{said:#?}")));
            }
            sleep(Duration::from_millis(10));
        }
    }
    measured.violations = members.violations();
    Ok(measured)
}

/// What a fleet did while a place, or discovery, was out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageCost {
    /// Members, or dispatchers that are none.
    pub count: usize,
    /// As a fleet.
    pub fleet: bool,
    /// Calls at the place while it broke each.
    pub tries: usize,
    /// Of these, by the one that tried most.
    pub busiest: usize,
    /// Watches that were asked for while discovery did not answer.
    pub lists: usize,
    /// Messages taken, and delivered in the end.
    pub taken: usize,
    /// See above.
    pub delivered: usize,
    /// Processor time of all, in seconds per second.
    pub cpu: f64,
    /// Highest resident memory of one, in megabytes.
    pub memory_mb: f64,
}

impl fmt::Display for OutageCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>3} dispatchers {:<8} tries {:>5}, {:>4} by one  list calls {:>5}  taken {:>5}  delivered {:>5}  {:.3} of a core each  {:.1} MB \
             at most",
            self.count,
            if self.fleet { "a fleet" } else { "alone" },
            self.tries,
            self.busiest,
            self.lists,
            self.taken,
            self.delivered,
            self.cpu / self.count as f64,
            self.memory_mb
        )
    }
}

/// What members cost that do nothing, beside dispatchers that are none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleCost {
    /// Dispatchers.
    pub count: usize,
    /// Of these, voters; none where they are no fleet.
    pub voters: usize,
    /// From the start of the first to a fleet that is whole, in seconds.
    pub whole_s: f64,
    /// Processor time in seconds per second: of the leader or the first, of the mean voter, of the mean observer.
    pub cpu: [f64; 3],
    /// Bytes a second between members, for each member.
    pub bytes: f64,
    /// Highest resident memory of a voter, and of an observer, in megabytes.
    pub memory_mb: [f64; 2],
}

impl fmt::Display for IdleCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, voter, observer] = self.cpu;
        let [votes, follows] = self.memory_mb;
        write!(
            f,
            "{:>3} dispatchers, {} vote  whole after {:>5.1} s  of a core: leader {first:.4}, voter {voter:.4}, observer \
             {observer:.4}  {:>7.0} bytes/s each  voter {votes:.1} MB, observer {follows:.1} MB",
            self.count, self.voters, self.whole_s, self.bytes
        )
    }
}

/// Measures what members cost at rest, for so many seconds, at the term of the file's default.
///
/// # Errors
/// Those of folders and relays.
///
/// # Panics
/// Where a fleet does not come up in 30 s.
pub fn measure_idle_cost(
    program: &Path, folder: &Path, count: usize, as_fleet: bool, span: f64,
) -> io::Result<IdleCost> {
    let voters = 5.min(count);
    let shape = FleetShape { voters, observers: count - voters, extra_config: "disk_mb = 1".into() };
    let (mut members, _endpoint, _platform) = fleet(program, folder, &shape)?;
    let began = Instant::now();
    match as_fleet {
        true => members.start(),
        false => {
            members.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.shell_prelude.clear());
            members.dispatchers.iter_mut().for_each(Dispatcher::start);
        }
    }
    let whole_s = began.elapsed().as_secs_f64();
    sleep(Duration::from_secs(3));
    let leader = if as_fleet { members.leader(0).unwrap_or(0) } else { 0 };
    let ids: Vec<u32> = members.dispatchers.iter().filter_map(Dispatcher::process_id).collect();
    let (before, carried, began) =
        (ids.iter().map(|id| cpu(*id)).collect::<Vec<_>>(), members.relayed_bytes(), Instant::now());
    sleep(Duration::from_secs_f64(span));
    let spent = began.elapsed().as_secs_f64();
    let used: Vec<f64> = ids.iter().zip(before).map(|(id, before)| (cpu(*id) - before) / spent).collect();
    let mean = |of: &[f64]| if of.is_empty() { 0.0 } else { of.iter().sum::<f64>() / of.len() as f64 };
    let memory = |of: &[u32]| {
        of.iter().filter_map(|id| crate::process::resident_kb(*id)).max().unwrap_or(0) as f64 / 1024.0
    };
    Ok(IdleCost {
        count,
        voters: if as_fleet { voters } else { 0 },
        whole_s,
        cpu: [used.get(leader).copied().unwrap_or(0.0), mean(&used[..voters]), mean(&used[voters..])],
        bytes: (members.relayed_bytes() - carried) as f64 / spent / count as f64,
        memory_mb: [memory(&ids[..voters]), memory(&ids[voters..])],
    })
}

/// Seconds of processor time of a process so far.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = rest.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

/// Plays a place that breaks each call for a while and then discovery that does not answer for as long, with messages
/// handed in at each dispatcher.
///
/// # Errors
/// Those of folders and relays.
///
/// # Panics
/// Where a fleet does not come up, or messages are not delivered, in 30 s.
pub fn measure_outage_cost(
    program: &Path, folder: &Path, count: usize, as_fleet: bool, out_s: f64, a_second: f64,
) -> io::Result<OutageCost> {
    let out = Arc::new(AtomicBool::new(false));
    let asked = out.clone();
    let endpoint = Endpoint::start(move |_, _| match asked.load(Ordering::SeqCst) {
        true => Reply::Disconnect,
        false => Reply::status(200),
    });
    let platform = Platform::start();
    platform.set(|mood| mood.heartbeats = true);
    let known = [endpoint.list_entry("e", 7, "up")];
    let shape = FleetShape {
        voters: 5.min(count | 1),
        observers: count - 5.min(count | 1),
        extra_config: "disk_mb = 1".into(),
    };
    let mut members = TestFleet::new(program, folder, &shape, &[&platform], &known)?;
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
    let mut taken = BTreeSet::new();
    let mut number = 0;
    let mut hand_in = |members: &TestFleet, span: f64| {
        let (began, every) = (Instant::now(), 1.0 / a_second);
        let mut at = 0.0;
        while at < span {
            for (i, dispatcher) in members.dispatchers.iter().enumerate() {
                let id = format!("m{i}-{number}");
                if dispatcher.submit("keyed", &id, 7) == 202 {
                    taken.insert(id);
                }
            }
            number += 1;
            at += every;
            sleep(Duration::from_secs_f64((at - began.elapsed().as_secs_f64()).max(0.0)));
        }
    };
    hand_in(&members, 3.0);
    let ids: Vec<u32> = members.dispatchers.iter().filter_map(Dispatcher::process_id).collect();
    let (before_cpu, began) = (ids.iter().map(|id| cpu(*id)).sum::<f64>(), Instant::now());
    out.store(true, Ordering::SeqCst);
    let before = endpoint.requests().len();
    hand_in(&members, out_s);
    let tried = endpoint.message_ids().split_off(before);
    let tries = tried.len();
    let of = |i: usize| tried.iter().filter(|id| id.starts_with(&format!("m{i}-"))).count();
    let busiest = (0..count).map(of).max().unwrap_or(0);
    out.store(false, Ordering::SeqCst);
    let back = endpoint.requests().len();
    hand_in(&members, 3.0);
    let asked_before = platform.watch_paths().len();
    platform.set(|mood| mood.silent = true);
    sleep(Duration::from_secs_f64(out_s));
    let lists = platform.watch_paths().len() - asked_before;
    platform.set(|mood| mood.silent = false);
    let spent = ids.iter().map(|id| cpu(*id)).sum::<f64>() - before_cpu;
    let cpu = spent / began.elapsed().as_secs_f64();
    // What was broken off is no delivery.
    let delivered = || {
        let ids = endpoint.message_ids();
        let served = ids[..before].iter().chain(&ids[back..]).filter(|id| taken.contains(*id));
        served.collect::<BTreeSet<_>>().len()
    };
    let until = Instant::now() + Duration::from_secs(20);
    while delivered() < taken.len() && Instant::now() < until {
        sleep(Duration::from_millis(50));
    }
    let memory =
        ids.iter().filter_map(|id| crate::process::resident_kb(*id)).max().unwrap_or(0) as f64 / 1024.0;
    let (taken_in, delivered) = (taken.len(), delivered());
    Ok(OutageCost {
        count,
        fleet: as_fleet,
        tries,
        busiest,
        lists,
        taken: taken_in,
        delivered,
        cpu,
        memory_mb: memory,
    })
}
