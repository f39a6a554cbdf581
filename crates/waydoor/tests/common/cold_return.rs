//! Simulates a fleet of dispatchers, in virtual time, and one destination that has an outage and returns cold.
//! Counts all calls and probes that reach the cold destination against the bound of the acceptance test.

use super::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two rounds of every dispatcher.
const STEP_SECONDS: f64 = 0.02;
/// Time after which a connection attempt without a response fails.
const CONNECT_TIMEOUT_SECONDS: f64 = 1.5;
/// Time until a refused connection or a rejection is known.
const FAST_RESPONSE_SECONDS: f64 = 0.02;
/// Service time of a call, without its time in the queue.
const SERVICE_SECONDS: f64 = 0.1;
/// Longest queue of the destination, in seconds of its present capacity.
const MAX_QUEUE_SECONDS: f64 = 1.0;
/// Share of calls that fail in an outage of the kind [`Outage::Errors`].
const ERROR_SHARE: f64 = 0.9;
/// Deadline of all messages.
const DEADLINE_SECONDS: f64 = 12.0;
/// Time from the kill of a dispatcher until it has started again.
const RESTART_SECONDS: f64 = 0.6;
/// Share of messages that are unsafe to repeat.
const UNSAFE_SHARE: f64 = 0.4;
/// Index of the safe and of the unsafe class in [`settings`].
const CLASSES: (usize, usize) = (0, 2);

/// What happens to calls during the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refused,
    /// Connections never come up.
    Silent,
    /// Calls are never answered.
    Hung,
    /// Every call is rejected.
    Rejected,
    /// Every call is rejected and told to wait until the destination returns.
    RejectedWithWait,
    /// Most calls fail.
    Errors,
}

/// All kinds of outages.
pub const OUTAGES: [Outage; 5] =
    [Outage::Refused, Outage::Silent, Outage::Hung, Outage::Rejected, Outage::Errors];

/// What the destination's responses report about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// The limit, which equals the capacity, and what is left of it.
    Limit,
    /// That there is no limit.
    NoLimit,
    /// Nothing.
    Nothing,
}

/// When dispatchers are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restarts {
    /// At random times during the outage.
    DuringTheOutage,
    /// All at once, so that they start again as the destination returns.
    AtTheReturn,
}

/// One outage and the return from it.
#[derive(Clone, Copy, Debug)]
pub struct ColdReturn {
    pub fleet_size: usize,
    /// Calls a second that the warm destination serves.
    pub capacity: f64,
    /// Demand relative to the capacity.
    pub load: f64,
    pub outage: Outage,
    pub reports: Reports,
    /// Start of the outage and time of the return.
    pub outage_from: Seconds,
    pub returns_at: Seconds,
    /// Share of the dispatchers that are killed and started again [`RESTART_SECONDS`] later with what they
    /// recorded.
    pub restarted_share: f64,
    pub restarts: Restarts,
    /// Some dispatchers get several times the mean traffic.
    pub uneven: bool,
}

/// How the calls that reached the cold destination compare with the bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLoad {
    /// Largest number of calls in a window, relative to the bound for that window.
    pub worst_ratio: f64,
    /// Whether the bound was exceeded.
    pub exceeded: bool,
    /// Whether over two thirds of the calls in the first window above the bound came from dispatchers that had
    /// observed the outage, which breaks the rule.
    pub rule_broken: bool,
    /// Served calls from the return until the destination was warm or had collapsed.
    pub served: usize,
}

/// Settings of the incident's deployment: the slow start of the operators' pages.
pub fn cold_return_settings(fleet_size: usize) -> Settings {
    Settings {
        dispatcher_count: fleet_size as u32,
        max_concurrent_calls: 40,
        max_attempts: 12,
        slow_start: SlowStart {
            cold_capacity_share: 0.19,
            warm_up_time: 9.6,
            overload_multiple: 2.0,
            overload_window: 3.0,
        },
        classes: settings()
            .classes
            .into_iter()
            .map(|class| Class { deadline: DEADLINE_SECONDS, ..class })
            .collect(),
        ..settings()
    }
}

/// A call or probe whose end is not known to its dispatcher yet.
struct Pending {
    ends_at: Seconds,
    dispatcher: usize,
    /// The life of the dispatcher that sent it: the end is lost if that process was killed.
    life: u32,
    end: Event,
    /// It reaches the destination then, if the destination has returned by then.
    connects_at: Option<Seconds>,
}

struct Simulation {
    scenario: ColdReturn,
    settings: Settings,
    rng: fastrand::Rng,
    queue_seconds: f64,
    queue_updated_at: Seconds,
    /// Calls within the current second, for the reported limit.
    limit_window: (i64, f64),
    arrivals: VecDeque<(Seconds, usize)>,
    observers: BTreeSet<usize>,
    load: ColdLoad,
}

impl Simulation {
    fn is_out(&self, now: Seconds) -> bool {
        now >= self.scenario.outage_from && now < self.scenario.returns_at
    }

    fn capacity(&self, now: Seconds) -> f64 {
        let SlowStart { cold_capacity_share, warm_up_time, .. } = self.settings.slow_start;
        let warmth = ((now - self.scenario.returns_at) / warm_up_time).clamp(0.0, 1.0);
        let share = if now < self.scenario.outage_from {
            1.0
        } else {
            cold_capacity_share + (1.0 - cold_capacity_share) * warmth
        };
        self.scenario.capacity * share
    }

    /// Counts a call or probe that reaches the destination.
    fn count_arrival(&mut self, now: Seconds, dispatcher: usize) {
        let SlowStart { warm_up_time, overload_multiple, overload_window, .. } = self.settings.slow_start;
        let returned_at = self.scenario.returns_at;
        if now < returned_at || now > returned_at + warm_up_time || self.load.exceeded {
            return;
        }
        self.arrivals.push_back((now, dispatcher));
        while self.arrivals.front().is_some_and(|(at, _)| *at < now - overload_window) {
            self.arrivals.pop_front();
        }
        let from = (now - overload_window).max(returned_at);
        let mean_capacity = (self.capacity(from) + self.capacity(from + overload_window)) / 2.0;
        let bound = max_cold_calls(overload_multiple * mean_capacity * overload_window);
        let calls = self.arrivals.len() as f64;
        self.load.worst_ratio = self.load.worst_ratio.max(calls / bound);
        if calls > bound {
            let informed =
                self.arrivals.iter().filter(|(_, from)| self.observers.contains(from)).count() as f64;
            self.load.exceeded = true;
            self.load.rule_broken = informed > calls * 2.0 / 3.0;
        }
    }

    fn report(&self) -> Option<RateLimitReport> {
        match self.scenario.reports {
            Reports::Nothing => None,
            Reports::NoLimit => Some(RateLimitReport { rate: 0.0, remaining_share: Some(0.0) }),
            Reports::Limit => {
                let remaining = (1.0 - self.limit_window.1 / self.scenario.capacity).clamp(0.0, 1.0);
                Some(RateLimitReport { rate: self.scenario.capacity, remaining_share: Some(remaining) })
            }
        }
    }

    /// A call that reaches the destination: its outcome, and how long it takes; `None` if it is never answered.
    fn serve(&mut self, now: Seconds, dispatcher: usize) -> Option<(Outcome, f64)> {
        self.count_arrival(now, dispatcher);
        if self.limit_window.0 != now as i64 {
            self.limit_window = (now as i64, 0.0);
        }
        self.limit_window.1 += 1.0;
        if self.is_out(now) {
            match self.scenario.outage {
                Outage::Hung => return None,
                Outage::Rejected | Outage::RejectedWithWait => {
                    return Some((Outcome::Overloaded, FAST_RESPONSE_SECONDS));
                }
                Outage::Errors if self.rng.f64() < ERROR_SHARE => {
                    return Some((Outcome::Error, SERVICE_SECONDS));
                }
                _ => {}
            }
        }
        let limited = self.scenario.reports == Reports::Limit && self.limit_window.1 > self.scenario.capacity;
        self.queue_seconds = (self.queue_seconds - (now - self.queue_updated_at)).max(0.0);
        self.queue_updated_at = now;
        if limited || self.queue_seconds > MAX_QUEUE_SECONDS {
            return Some((Outcome::Overloaded, FAST_RESPONSE_SECONDS));
        }
        let queued = self.queue_seconds;
        self.queue_seconds += 1.0 / self.capacity(now);
        self.load.served += usize::from(now >= self.scenario.returns_at);
        Some((Outcome::Served, queued + SERVICE_SECONDS * (0.5 + self.rng.f64())))
    }

    /// Starts a call: when its end is known, with which outcome, and when it will connect if it has not yet.
    fn start_call(
        &mut self, now: Seconds, dispatcher: usize, timeout: Seconds,
    ) -> (Seconds, Outcome, Option<Seconds>) {
        if self.is_out(now) && self.scenario.outage == Outage::Refused {
            return (now + FAST_RESPONSE_SECONDS, Outcome::ConnectFailed, None);
        }
        if self.is_out(now) && self.scenario.outage == Outage::Silent {
            let wait = timeout.min(CONNECT_TIMEOUT_SECONDS);
            let connects_at = now + wait * self.rng.f64();
            return (now + wait, Outcome::ConnectFailed, Some(connects_at));
        }
        match self.serve(now, dispatcher) {
            Some((outcome, latency)) if latency < timeout => (now + latency, outcome, None),
            _ => (now + timeout, Outcome::TimedOut, None),
        }
    }
}

/// Simulates one return; the result is determined by the scenario and the seed.
pub fn simulate_cold_return(scenario: ColdReturn, seed: u64) -> ColdLoad {
    let fleet_size = scenario.fleet_size;
    let settings = cold_return_settings(fleet_size);
    let entries: Vec<_> =
        (1..=2).map(|id| EndpointEntry { rate: scenario.capacity, ..entry(id, 1) }).collect();
    let until = scenario.returns_at + settings.slow_start.warm_up_time;
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = |index: usize, life: u32, now: Seconds| {
        let seed = seed * 100_000 + index as u64 * 10 + u64::from(life);
        let mut dispatcher = Dispatcher::new(settings.clone(), seed).unwrap();
        dispatcher.handle(now, Event::ListSnapshot(entries.clone()));
        dispatcher
    };
    let mut fleet: Vec<Dispatcher> = (0..fleet_size).map(|index| start(index, 0, 0.0)).collect();
    let mut lives = vec![0u32; fleet_size];
    let mut kill_at: Vec<Seconds> = (0..fleet_size)
        .map(|_| {
            let during = scenario.outage_from + rng.f64() * (scenario.returns_at - scenario.outage_from);
            let at = match scenario.restarts {
                Restarts::DuringTheOutage => during,
                Restarts::AtTheReturn => scenario.returns_at - RESTART_SECONDS,
            };
            if rng.f64() < scenario.restarted_share { at } else { f64::INFINITY }
        })
        .collect();
    let mut down_until = vec![f64::NEG_INFINITY; fleet_size];
    let mut recorded_outage = vec![false; fleet_size];
    let mut open: Vec<BTreeMap<MessageId, (Message, Seconds, u32)>> = vec![BTreeMap::new(); fleet_size];
    let weights: Vec<f64> =
        (0..fleet_size).map(|_| if scenario.uneven { 0.1 - (1.0 - rng.f64()).ln() } else { 1.0 }).collect();
    let total_weight: f64 = weights.iter().sum();
    let mut simulation = Simulation {
        scenario,
        settings: settings.clone(),
        rng: fastrand::Rng::with_seed(seed + 1),
        queue_seconds: 0.0,
        queue_updated_at: 0.0,
        limit_window: (0, 0.0),
        arrivals: VecDeque::new(),
        observers: BTreeSet::new(),
        load: ColdLoad::default(),
    };
    let (mut pending, mut last_id): (Vec<Pending>, u64) = (Vec::new(), 0);
    for step in 1..(until / STEP_SECONDS) as u64 {
        let now = step as f64 * STEP_SECONDS;
        for index in 0..fleet_size {
            if now >= kill_at[index] {
                (kill_at[index], down_until[index]) = (f64::INFINITY, now + RESTART_SECONDS);
                lives[index] += 1;
            }
            if down_until[index].is_finite() && now >= down_until[index] {
                down_until[index] = f64::NEG_INFINITY;
                fleet[index] = start(index, lives[index], now);
                if recorded_outage[index] {
                    fleet[index].handle(now, Event::OutageRestored(DESTINATION_1));
                }
                for (message, accepted_at, attempts) in open[index].values() {
                    if message.deadline > now {
                        fleet[index].handle(
                            now,
                            Event::Recovered(MessageProgress {
                                message: *message,
                                accepted_at: *accepted_at,
                                attempts: *attempts,
                                may_have_run: None,
                            }),
                        );
                    }
                }
            }
        }
        let mut arrivals_due = scenario.load * scenario.capacity * STEP_SECONDS;
        while rng.f64() < arrivals_due {
            arrivals_due -= 1.0;
            last_id += 1;
            let mut point = rng.f64() * total_weight;
            let receiver = weights
                .iter()
                .position(|weight| {
                    point -= weight;
                    point <= 0.0
                })
                .unwrap_or(0);
            if down_until[receiver].is_finite() {
                continue;
            }
            let message = Message {
                id: MessageId(last_id),
                class: if rng.f64() < UNSAFE_SHARE { CLASSES.1 } else { CLASSES.0 },
                destination: DESTINATION_1,
                deadline: now + DEADLINE_SECONDS,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            open[receiver].insert(message.id, (message, now, 0));
            fleet[receiver].handle(now, Event::Accepted(message));
        }
        let (ended, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut pending).into_iter().partition(|call| call.ends_at <= now);
        pending = remaining;
        for call in &mut pending {
            // A connection that was awaited through the end of the outage comes up.
            if call.connects_at.is_some_and(|at| at <= now) {
                call.connects_at = None;
                if !simulation.is_out(now) && lives[call.dispatcher] == call.life {
                    let (outcome, latency) =
                        simulation.serve(now, call.dispatcher).unwrap_or((Outcome::TimedOut, 1.0));
                    call.ends_at = now + latency;
                    let report = simulation.report();
                    set_outcome(&mut call.end, outcome, latency, report);
                }
            }
        }
        for call in ended {
            if lives[call.dispatcher] != call.life || down_until[call.dispatcher].is_finite() {
                continue;
            }
            let (outcome, settled) = match &call.end {
                Event::AttemptEnded(end) => (end.outcome, end.settled.then_some(end.id)),
                Event::ProbeEnded { outcome, .. } => (*outcome, None),
                _ => continue,
            };
            if outcome != Outcome::Served && simulation.is_out(now) {
                simulation.observers.insert(call.dispatcher);
            }
            settled.and_then(|id| open[call.dispatcher].remove(&id));
            fleet[call.dispatcher].handle(now, call.end);
        }
        for index in 0..fleet_size {
            if down_until[index].is_finite() {
                continue;
            }
            let mut actions = Vec::new();
            fleet[index].decide(now, &mut actions);
            for action in actions {
                let life = lives[index];
                match action {
                    Action::Send { id, endpoint, attempt, timeout, .. } => {
                        if let Some(state) = open[index].get_mut(&id) {
                            state.2 = attempt + 1;
                        }
                        let (ends_at, outcome, connects_at) = simulation.start_call(now, index, timeout);
                        let report = simulation.report();
                        let mut end = Event::AttemptEnded(AttemptEnd {
                            id,
                            endpoint,
                            attempt,
                            outcome,
                            retry_after: None,
                            settled: false,
                            latency: ends_at - now,
                            rate_limit_report: None,
                            connection_reused: false,
                            connection_kept: false,
                        });
                        set_outcome(&mut end, outcome, ends_at - now, report);
                        let waits = scenario.outage == Outage::RejectedWithWait && simulation.is_out(now);
                        if let Event::AttemptEnded(end) = &mut end
                            && waits
                        {
                            end.retry_after = Some(scenario.returns_at - ends_at).filter(|wait| *wait > 0.0);
                        }
                        pending.push(Pending { ends_at, dispatcher: index, life, end, connects_at });
                    }
                    Action::Probe(endpoint) => {
                        let (ends_at, outcome, connects_at) =
                            simulation.start_call(now, index, CONNECT_TIMEOUT_SECONDS);
                        let report = simulation.report();
                        let mut end = Event::ProbeEnded {
                            endpoint,
                            outcome,
                            latency: ends_at - now,
                            rate_limit_report: None,
                        };
                        set_outcome(&mut end, outcome, ends_at - now, report);
                        pending.push(Pending { ends_at, dispatcher: index, life, end, connects_at });
                    }
                    Action::Reject(id) | Action::Fail(id) => drop(open[index].remove(&id)),
                    Action::RecordOutage { ongoing, .. } => recorded_outage[index] = ongoing,
                    _ => {}
                }
            }
        }
        if simulation.load.exceeded {
            break;
        }
    }
    simulation.load
}

/// Sets how a call or a probe ended; only an answered call carries a report.
fn set_outcome(event: &mut Event, new: Outcome, elapsed: Seconds, report: Option<RateLimitReport>) {
    match event {
        Event::AttemptEnded(end) => {
            (end.outcome, end.latency, end.settled) = (new, elapsed, new == Outcome::Served);
            end.connection_kept = new.answered();
            end.rate_limit_report = report.filter(|_| new.answered());
        }
        Event::ProbeEnded { outcome, latency, rate_limit_report, .. } => {
            (*outcome, *latency) = (new, elapsed);
            *rate_limit_report = report.filter(|_| new.answered());
        }
        _ => {}
    }
}
