//! Simulates a whole deployment: dispatchers, the front end that spreads messages over them, destinations
//! with rate limits and outages, and an endpoint list that arrives late.
//!
//! The simulation checks the delivery rules against its own records, independently of the dispatchers' state.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use waydoor::*;

/// Time between two rounds of a dispatcher.
const STEP_SECONDS: f64 = 0.02;
/// Messages arrive during this time.
const ARRIVAL_SECONDS: f64 = 16.0;
/// Network latency between a dispatcher and a destination, one way.
const ONE_WAY_LATENCY_SECONDS: f64 = 0.005;
/// A destination that only rejects calls for longer than this, and at least [`UNAVAILABLE_AFTER_REJECTIONS`]
/// of them, or that sends a longer retry-after, is unavailable rather than at its rate limit.
const UNAVAILABLE_AFTER_SECONDS: f64 = 4.0;
/// See [`UNAVAILABLE_AFTER_SECONDS`].
const UNAVAILABLE_AFTER_REJECTIONS: u32 = 4;
/// Calls beyond the slow-start budget that a recovering target may get by chance or because they were already
/// in flight. Trials by the dispatchers that observed the outage come on top.
const MAX_EXTRA_COLD_CALLS: f64 = 4.0;
/// Above this number of observers of an outage, each may add one trial call to a window ...
const MAX_SMALL_OBSERVER_GROUP: usize = 6;
/// ... and up to it, each may add one trial call per this interval, as each sends trials independently.
const TRIAL_INTERVAL_SECONDS: f64 = 0.75;
/// A message may expire undelivered only if the time during which it could have been sent is no longer than
/// this, plus [`MAX_ELIGIBLE_LIMIT_ROUNDS`].
const MAX_ELIGIBLE_SECONDS: f64 = 5.0;
/// Rounds of the rate limit by which that time may be longer; in a round, the limit admits one call from
/// every dispatcher.
const MAX_ELIGIBLE_LIMIT_ROUNDS: f64 = 3.0;

/// How a destination limits the calls that it accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// By the number of concurrent calls.
    Concurrency,
    /// By a token bucket.
    TokenBucket,
    /// By a count in each fixed window.
    FixedWindow { length: f64 },
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct DestinationProfile {
    pub limit: RateLimit,
    /// Rejected calls count against the limit.
    pub rejected_calls_count: bool,
    /// Share of rejections that carry a retry-after.
    pub retry_after_share: f64,
    /// Mean time of a call.
    pub mean_latency: f64,
    pub settings: DestinationKind,
}

/// What happens to calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageKind {
    /// Calls are answered with errors.
    Errors,
    /// Calls get no response.
    Unresponsive,
    /// Calls are rejected as if at a rate limit.
    Overloaded,
    /// No connection can be made.
    ConnectionRefused,
}

/// An outage of a destination.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub kind: OutageKind,
    pub destination: usize,
    pub start: f64,
    pub end: f64,
}

/// All random parameters of a test case.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub dispatchers: u32,
    pub destinations: usize,
    /// Slots, as a multiple of those that the full load occupies.
    pub slot_headroom: f64,
    /// Maximum of pending messages, in seconds of the full load.
    pub queue_seconds: f64,
    pub attempts: u32,
    /// Relative sizes of the tenants.
    pub tenant_sizes: Vec<f64>,
    pub over_quota_value: f64,
    /// Sum of all tenants' quotas relative to the load.
    pub quota_over_load: f64,
    pub list_pushed: bool,
    pub use_listed_rates: bool,
    pub probes: bool,
    /// Some endpoints drain and are replaced by others.
    pub endpoints_replaced: bool,
    pub classes: Vec<Class>,
    pub kinds: Vec<DestinationProfile>,
    pub outages: Vec<Outage>,
    pub decay: ValueDecay,
    /// Message rate relative to the sum of the destinations' limits.
    pub relative_load: f64,
    /// Messages per second of a destination of average size.
    pub average_rate: f64,
    pub seed: u64,
    pub slow_start: SlowStart,
}

impl Deployment {
    /// Messages per second at load 1; it decreases linearly with the destination's number.
    fn nominal_rate(&self, destination: usize) -> f64 {
        self.average_rate * (1.6 - 1.2 * destination as f64 / self.destinations as f64)
    }

    fn kind(&self, destination: usize) -> &DestinationProfile {
        &self.kinds[destination % self.kinds.len()]
    }

    /// Messages per second of all destinations at load 1.
    fn full_load(&self) -> f64 {
        (0..self.destinations).map(|d| self.nominal_rate(d)).sum()
    }

    /// Settings of each dispatcher.
    pub fn settings(&self) -> Settings {
        let arrivals_per_dispatcher = self.full_load() / f64::from(self.dispatchers);
        let busy_slots: f64 =
            (0..self.destinations).map(|d| self.nominal_rate(d) * self.kind(d).mean_latency).sum();
        let quota = self.full_load() * self.relative_load * self.quota_over_load
            / self.tenant_sizes.iter().sum::<f64>().max(0.1);
        Settings {
            dispatcher_count: self.dispatchers,
            max_concurrent_calls: ((busy_slots / f64::from(self.dispatchers) * self.slot_headroom).ceil()
                as usize)
                .max(2),
            max_messages: ((arrivals_per_dispatcher * self.queue_seconds) as usize).max(12),
            max_attempts: self.attempts,
            keepalive: Some(5.0),
            probes: self.probes,
            cancel: true,
            zone: 0,
            classes: self.classes.clone(),
            tenants: self.tenant_sizes.iter().map(|size| Tenant { quota: quota * size }).collect(),
            over_quota_value: self.over_quota_value,
            kinds: self.kinds.iter().map(|kind| kind.settings).collect(),
            decay: self.decay,
            discovery_mode: if self.list_pushed {
                DiscoveryMode::Pushed
            } else {
                DiscoveryMode::Subscription { max_renewal_interval: 6.0 }
            },
            use_listed_rates: self.use_listed_rates,
            slow_start: self.slow_start,
            order_key_cooldown: 1.0,
        }
    }
}

/// Totals over all dispatchers of one or more deployments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub accepted: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Rejected by the front end because the dispatcher holds its maximum of messages.
    pub rejected_at_capacity: u64,
    pub calls: u64,
    pub calls_overloaded: u64,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.rejected_at_capacity += other.rejected_at_capacity;
        self.calls += other.calls;
        self.calls_overloaded += other.calls_overloaded;
    }
}

/// Result of a simulated deployment.
pub struct SimulationResult {
    pub totals: Totals,
    /// Violations of the delivery rules, a line each.
    pub violations: Vec<String>,
}

/// What the simulation recorded of a message.
#[derive(Clone, Debug)]
struct TrackedMessage {
    class: usize,
    destination: usize,
    deadline: f64,
    /// Its dispatcher.
    node_index: usize,
    key: Option<u64>,
    attempts: u32,
    /// Call and start time of the attempt in flight.
    in_flight: Option<(u64, f64)>,
    /// Start time and zone of the first attempt that may have run.
    may_have_run: Option<(f64, u16)>,
    ended: bool,
    served: bool,
    over_quota: bool,
    /// Time during which it could have been sent without cost to others, since its dispatcher last sent
    /// anything to the destination.
    eligible_seconds: f64,
}

/// What a rate limit and an outage apply to: a destination, or one of its independent endpoints.
#[derive(Clone, Debug)]
struct TargetModel {
    rate: f64,
    /// Start of the current fixed window, and the calls counted in it.
    window: (f64, f64),
    /// Tokens of the token bucket.
    tokens: f64,
    tokens_updated_at: f64,
    calls_in_service: BTreeSet<u64>,
    /// Time and dispatcher of each call.
    calls: Vec<(f64, usize)>,
    /// Dispatchers that received a failure or rejection during an outage, with the time of the first.
    outage_observers: BTreeMap<usize, f64>,
    /// Dispatchers that saw a call fail, during an outage or not: to them it may have looked like an outage.
    failure_observers: BTreeSet<usize>,
}

/// A simulated endpoint.
#[derive(Clone, Debug)]
struct EndpointModel {
    destination: usize,
    zone: u16,
    target: usize,
    /// Nothing listens at the endpoint before `online_from` and after `online_until`.
    online_from: f64,
    online_until: f64,
}

/// An event for a dispatcher: time, sequence number (the order of events at the same time), index of the
/// node, event.
struct ScheduledEvent(f64, u64, usize, Box<Event>);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// A dispatcher, with what the simulation reported to it.
struct Node {
    dispatcher: Dispatcher,
    timer: Option<(u32, f64)>,
    /// Latest state of each endpoint that was sent to the dispatcher.
    listed_states: BTreeMap<u64, EndpointState>,
    /// End of the retry-after, by target.
    retry_after_until: BTreeMap<usize, f64>,
    /// Uninterrupted rejections, by target: time of the first, their number, time of the last.
    overload_streaks: BTreeMap<usize, (f64, u32, f64)>,
    /// Calls in flight, with the number of unfinished messages in each.
    calls: BTreeMap<u64, usize>,
    /// Unfinished messages of the dispatcher.
    pending_messages: usize,
    needs_decision: bool,
    /// End of the pause of an order key after an attempt that may still run.
    key_blocked_until: BTreeMap<u64, f64>,
    /// Messages of each order key, in the order accepted.
    key_queues: BTreeMap<u64, Vec<u64>>,
}

/// State of a simulated deployment.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    settings: Settings,
    rng: fastrand::Rng,
    now: f64,
    nodes: Vec<Node>,
    messages: BTreeMap<u64, TrackedMessage>,
    unfinished: BTreeSet<u64>,
    targets: Vec<TargetModel>,
    endpoints: BTreeMap<u64, EndpointModel>,
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    totals: Totals,
    violations: Vec<String>,
}

impl<'a> Simulation<'a> {
    /// Simulates a deployment from its first message to the end of its last.
    pub fn run(deployment: &'a Deployment) -> SimulationResult {
        let mut simulation = Simulation::new(deployment);
        let longest = deployment.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        while simulation.now < ARRIVAL_SECONDS + longest + 0.5 && simulation.violations.is_empty() {
            simulation.step();
        }
        simulation.check_recoveries();
        for (id, message) in simulation.messages.iter().filter(|(_, message)| !message.ended) {
            simulation.violations.push(format!("lost: message {id} has no final outcome: {message:?}"));
        }
        simulation.violations.truncate(5);
        SimulationResult { totals: simulation.totals, violations: simulation.violations }
    }

    fn new(deployment: &'a Deployment) -> Simulation<'a> {
        let settings = deployment.settings();
        let mut rng = fastrand::Rng::with_seed(deployment.seed);
        let (mut targets, mut endpoints) = (Vec::new(), BTreeMap::new());
        for destination in 0..deployment.destinations {
            let endpoint_count = 1 + rng.u64(..3);
            let independent = deployment.kind(destination).settings.independent_endpoints;
            let mut target = targets.len();
            for i in 0..endpoint_count {
                if i == 0 || independent {
                    target = targets.len();
                    let rate = deployment.nominal_rate(destination)
                        / if independent { endpoint_count as f64 } else { 1.0 };
                    targets.push(TargetModel::new(rate, rng.f64()));
                }
                let id = destination as u64 * 10 + i;
                let zone = rng.u16(..2);
                // One of several endpoints leaves while messages arrive, and another one replaces it.
                let online_until = if deployment.endpoints_replaced && i == 1 {
                    rng.f64() * ARRIVAL_SECONDS
                } else {
                    f64::INFINITY
                };
                endpoints
                    .insert(id, EndpointModel { destination, zone, target, online_from: 0.0, online_until });
                if online_until.is_finite() {
                    let online_from = online_until - 0.5 + rng.f64();
                    // A replacement of an independent endpoint has its own limit and outages.
                    if independent {
                        target = targets.len();
                        targets.push(TargetModel::new(
                            deployment.nominal_rate(destination) / endpoint_count as f64,
                            rng.f64(),
                        ));
                    }
                    endpoints.insert(
                        id + 5,
                        EndpointModel { destination, zone, target, online_from, online_until: f64::INFINITY },
                    );
                }
            }
        }
        let nodes = (0..deployment.dispatchers)
            .map(|i| Node {
                dispatcher: Dispatcher::new(settings.clone(), deployment.seed ^ u64::from(i))
                    .expect("generated settings are valid"),
                timer: None,
                listed_states: BTreeMap::new(),
                retry_after_until: BTreeMap::new(),
                overload_streaks: BTreeMap::new(),
                calls: BTreeMap::new(),
                pending_messages: 0,
                needs_decision: true,
                key_blocked_until: BTreeMap::new(),
                key_queues: BTreeMap::new(),
            })
            .collect();
        let mut simulation = Simulation {
            deployment,
            settings,
            rng,
            now: 0.0,
            nodes,
            messages: BTreeMap::new(),
            unfinished: BTreeSet::new(),
            targets,
            endpoints,
            scheduled: BinaryHeap::new(),
            last_sequence: 0,
            totals: Totals::default(),
            violations: Vec::new(),
        };
        for node in 0..simulation.nodes.len() {
            let list = simulation.list_snapshot(0.0);
            simulation.schedule(0.0, node, Event::ListSnapshot(list));
            if deployment.list_pushed {
                simulation.schedule_list_updates(node);
            }
        }
        simulation
    }

    /// Every change reaches each dispatcher at a different time.
    fn schedule_list_updates(&mut self, node: usize) {
        let endpoints: Vec<_> = self.endpoints.iter().map(|(id, model)| (*id, model.clone())).collect();
        for (id, model) in endpoints {
            if model.online_from > 0.0 {
                let delay = 0.1 + self.rng.f64();
                let added = self.list_entry(id, &model, EndpointState::Ready);
                self.schedule(model.online_from + delay, node, Event::ListUpdate(vec![added]));
            }
            if model.online_until.is_finite() {
                let delay = self.rng.f64();
                let draining = self.list_entry(id, &model, EndpointState::Draining);
                let removed = self.list_entry(id, &model, EndpointState::Removed);
                self.schedule(model.online_until - 1.0 + delay, node, Event::ListUpdate(vec![draining]));
                self.schedule(model.online_until + delay, node, Event::ListUpdate(vec![removed]));
            }
        }
    }

    fn list_entry(&self, id: u64, model: &EndpointModel, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(id),
            destination: DestinationId(model.destination as u32),
            kind: model.destination % self.deployment.kinds.len(),
            zone: model.zone,
            rate: self.targets[model.target].rate,
            state,
        }
    }

    fn list_snapshot(&self, at: f64) -> Vec<EndpointEntry> {
        let is_online = |model: &&EndpointModel| model.online_from <= at && at < model.online_until;
        let state = |model: &EndpointModel| {
            if at >= model.online_until - 1.0 { EndpointState::Draining } else { EndpointState::Ready }
        };
        let endpoints = self.endpoints.iter().filter(|(_, model)| is_online(model));
        endpoints.map(|(id, model)| self.list_entry(*id, model, state(model))).collect()
    }

    fn schedule(&mut self, at: f64, node: usize, event: Event) {
        self.last_sequence += 1;
        self.scheduled.push(Reverse(ScheduledEvent(at, self.last_sequence, node, Box::new(event))));
    }

    /// Advances the clock by one step: arrivals, due events, then a round of each dispatcher that got an
    /// event.
    fn step(&mut self) {
        self.now += STEP_SECONDS;
        self.generate_arrivals();
        while self.scheduled.peek().is_some_and(|Reverse(due)| due.0 <= self.now) {
            if let Some(Reverse(ScheduledEvent(_, _, node, event))) = self.scheduled.pop() {
                self.deliver(node, *event);
            }
        }
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].timer.filter(|(_, at)| *at <= self.now);
            if let Some((token, _)) = due {
                self.nodes[node].timer = None;
                self.deliver(node, Event::TimerFired(token));
            }
            if std::mem::take(&mut self.nodes[node].needs_decision) {
                let mut actions = Vec::new();
                self.nodes[node].dispatcher.decide(self.now, &mut actions);
                self.apply_actions(node, actions);
            }
        }
        self.track_eligible_time();
    }

    fn generate_arrivals(&mut self) {
        if self.now > ARRIVAL_SECONDS {
            return;
        }
        let load = self.deployment.full_load() * self.deployment.relative_load;
        let mut count = (load * STEP_SECONDS) as u32;
        count += u32::from(self.rng.f64() < load * STEP_SECONDS - f64::from(count));
        for _ in 0..count {
            let mut position = self.rng.f64() * self.deployment.full_load();
            let destination = (0..self.deployment.destinations).find(|d| {
                position -= self.deployment.nominal_rate(*d);
                position <= 0.0
            });
            let destination = destination.unwrap_or(0);
            let class = self.rng.usize(..self.deployment.classes.len());
            let node = self.rng.usize(..self.nodes.len());
            // The last index is a tenant that is not in the settings.
            let tenant = self.rng.usize(..=self.deployment.tenant_sizes.len());
            if self.nodes[node].pending_messages >= self.settings.max_messages {
                self.totals.rejected_at_capacity += 1;
                continue;
            }
            let class_settings = &self.settings.classes[class];
            let key = class_settings.ordered.then(|| self.rng.u64(..6) + 10 * node as u64);
            let deadline = self.now + class_settings.deadline * (0.6 + 0.4 * self.rng.f64());
            let id = self.totals.accepted;
            self.totals.accepted += 1;
            let quota = self.nodes[node].dispatcher.quota_status(self.now, tenant);
            if let Some(QuotaStatus { remaining, .. }) = quota {
                self.deliver(node, Event::QuotaUpdate { tenant, remaining, at: self.now });
            }
            let over = quota.is_some_and(|quota| quota.over);
            let tracked = TrackedMessage {
                class,
                destination,
                deadline,
                node_index: node,
                key,
                attempts: 0,
                in_flight: None,
                may_have_run: None,
                ended: false,
                served: false,
                over_quota: over,
                eligible_seconds: 0.0,
            };
            self.messages.insert(id, tracked);
            self.unfinished.insert(id);
            self.nodes[node].pending_messages += 1;
            if let Some(key) = key {
                self.nodes[node].key_queues.entry(key).or_default().push(id);
            }
            let message = Message {
                id: MessageId(id),
                class,
                destination: DestinationId(destination as u32),
                deadline,
                key: key.map(OrderKey),
                tenant,
                over_quota: Some(over),
            };
            self.deliver(node, Event::Accepted(message));
        }
    }

    /// Records an event and passes it to a dispatcher.
    fn deliver(&mut self, node: usize, event: Event) {
        let now = self.now;
        match &event {
            Event::ListUpdate(entries) => entries
                .iter()
                .for_each(|entry| _ = self.nodes[node].listed_states.insert(entry.endpoint.0, entry.state)),
            Event::ListSnapshot(entries) => {
                self.nodes[node].listed_states =
                    entries.iter().map(|entry| (entry.endpoint.0, entry.state)).collect();
            }
            Event::AttemptEnded(end) => self.record_attempt_end(node, end),
            Event::ProbeEnded { endpoint, outcome, .. } if *outcome != Outcome::Served => {
                self.record_outage_observer(node, endpoint.0);
            }
            _ => {}
        }
        self.nodes[node].dispatcher.handle(now, event);
        self.nodes[node].needs_decision = true;
    }

    fn record_attempt_end(&mut self, node: usize, end: &AttemptEnd) {
        let Some(message) = self.messages.get_mut(&end.id.0) else { return };
        let Some((call, sent_at)) = message.in_flight.take() else { return };
        let target = self.endpoints[&end.endpoint.0].target;
        self.targets[target].calls_in_service.remove(&call);
        let never_ran = matches!(end.outcome, Outcome::Overloaded | Outcome::ConnectFailed);
        if !never_ran {
            message.may_have_run.get_or_insert((sent_at, self.endpoints[&end.endpoint.0].zone));
        }
        if end.outcome == Outcome::Served {
            (message.ended, message.served) = (true, true);
            self.totals.served += 1;
            self.nodes[node].pending_messages -= 1;
            self.unfinished.remove(&end.id.0);
        }
        if let (Outcome::TimedOut | Outcome::ConnectionReset, Some(key)) = (end.outcome, message.key) {
            self.nodes[node].key_blocked_until.insert(key, self.now + 1.0);
        }
        let unfinished = self.nodes[node].calls.get_mut(&call);
        if unfinished.is_some_and(|unfinished| {
            *unfinished -= 1;
            *unfinished == 0
        }) {
            self.nodes[node].calls.remove(&call);
        }
        if let Some(retry_after) = end.retry_after {
            let until = self.nodes[node].retry_after_until.entry(target).or_insert(0.0);
            *until = until.max(self.now + retry_after);
        }
        let overloaded = end.outcome == Outcome::Overloaded;
        if overloaded {
            // A rejection may come from a rate limit: only repeated rejections or a long retry-after show an
            // outage. Calls that were in flight together are rejected together and count once.
            let (first, count, last) =
                self.nodes[node].overload_streaks.entry(target).or_insert((self.now, 0, f64::NEG_INFINITY));
            if sent_at >= *last {
                (*count, *last) = (*count + 1, self.now);
            }
            let unavailable =
                *count >= UNAVAILABLE_AFTER_REJECTIONS && self.now - *first > UNAVAILABLE_AFTER_SECONDS;
            if unavailable
                || end.retry_after.is_some_and(|retry_after| retry_after > UNAVAILABLE_AFTER_SECONDS)
            {
                self.record_outage_observer(node, end.endpoint.0);
            }
        } else {
            self.nodes[node].overload_streaks.remove(&target);
            if end.outcome != Outcome::Served {
                self.targets[target].failure_observers.insert(node);
                self.record_outage_observer(node, end.endpoint.0);
            }
        }
    }

    /// Records that a dispatcher received a failure or rejection during an outage.
    fn record_outage_observer(&mut self, node: usize, endpoint: u64) {
        let model = &self.endpoints[&endpoint];
        let (destination, now) = (model.destination, self.now);
        let outage_active =
            self.outages(destination).any(|outage| now >= outage.start && now < outage.end + 0.5);
        if outage_active {
            self.targets[model.target].outage_observers.entry(node).or_insert(now);
        }
    }

    fn outages(&self, destination: usize) -> impl Iterator<Item = &'a Outage> {
        // A destination has at most one outage in a simulation.
        let deployment = self.deployment;
        deployment
            .outages
            .iter()
            .filter(move |outage| outage.destination % deployment.destinations == destination)
            .take(1)
    }

    /// Records a violation unless the condition holds; at most five are kept.
    fn check(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        if !holds && self.violations.len() < 5 {
            self.violations.push(format!("{:.2}: {}", self.now, describe()));
        }
    }

    fn apply_actions(&mut self, node: usize, actions: Vec<Action>) {
        let now = self.now;
        // Messages sent to one endpoint in the same round share calls; unsafe ones only share calls with each
        // other.
        let mut open_batches: BTreeMap<(u64, bool), u64> = BTreeMap::new();
        let mut calls: BTreeMap<u64, (u64, Vec<(u64, f64)>)> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, unbatched, .. } => {
                    self.check_send(node, id.0, endpoint.0, timeout);
                    let Some(message) = self.messages.get_mut(&id.0) else { continue };
                    let max_batch =
                        self.settings.kinds[message.destination % self.deployment.kinds.len()].max_batch;
                    let batch_key =
                        (endpoint.0, self.settings.classes[message.class].effect == Effect::Unsafe);
                    let shared_call = open_batches.get(&batch_key).copied().filter(|_| !unbatched);
                    let shared_call = shared_call.filter(|call| calls[call].1.len() < max_batch);
                    let call = shared_call.unwrap_or_else(|| {
                        self.last_sequence += 1;
                        self.last_sequence
                    });
                    if !unbatched {
                        open_batches.insert(batch_key, call);
                    }
                    message.in_flight = Some((call, now));
                    message.attempts += 1;
                    let destination = message.destination;
                    let batch = calls.entry(call).or_insert((endpoint.0, Vec::new()));
                    batch.1.push((id.0, timeout));
                    // The opportunity to send went to this message.
                    for id in &self.unfinished {
                        if let Some(other) = self.messages.get_mut(id)
                            && (other.node_index, other.destination) == (node, destination)
                        {
                            other.eligible_seconds = 0.0;
                        }
                    }
                }
                Action::Reject(id) | Action::Fail(id) => {
                    let rejected = matches!(action, Action::Reject(_));
                    self.check_undelivered(node, id.0, rejected);
                }
                Action::Probe(endpoint) => self.simulate_probe(node, endpoint.0),
                Action::Subscribe => {
                    if self.rng.f64() < 0.1 {
                        self.schedule(now + 0.3, node, Event::ListFailed);
                    } else {
                        let list = self.list_snapshot(now);
                        self.schedule(now + 0.05, node, Event::ListSnapshot(list));
                    }
                }
                Action::SetTimer { token, at } => self.nodes[node].timer = Some((token, at)),
                // The cancellation always comes too late: the call ends as it would have.
                Action::CancelAttempt { id, attempt } => {
                    let in_flight = self.messages.get(&id.0).is_some_and(|message| {
                        message.in_flight.is_some() && message.attempts == attempt + 1
                    });
                    self.check(in_flight, || {
                        format!("attempt {attempt} of message {} is cancelled but not in flight", id.0)
                    });
                }
                Action::CloseIdle(_)
                | Action::AvoidIdle(_)
                | Action::Log(_)
                | Action::RecordOutage { .. } => {}
            }
        }
        for (call, (endpoint, batch)) in calls {
            self.nodes[node].calls.insert(call, batch.len());
            self.simulate_call(node, call, endpoint, batch);
        }
        let (in_flight, slots) = (self.nodes[node].calls.len(), self.settings.max_concurrent_calls);
        self.check(in_flight <= slots, || format!("{in_flight} calls in flight, {slots} slots"));
    }

    /// Checks the rules for starting an attempt.
    fn check_send(&mut self, node: usize, id: u64, endpoint: u64, timeout: f64) {
        let now = self.now;
        let Some(message) = self.messages.get(&id).cloned() else {
            return self.check(false, || format!("sent message {id}, which was never accepted"));
        };
        let model = self.endpoints[&endpoint].clone();
        let listed_state = self.nodes[node].listed_states.get(&endpoint).copied();
        let blocked_until = self.nodes[node].retry_after_until.get(&model.target).copied().unwrap_or(0.0);
        let class = self.settings.classes[message.class].clone();
        let attempts = self.settings.max_attempts;
        self.check(message.in_flight.is_none(), || format!("two attempts of message {id} in flight"));
        self.check(!message.ended, || format!("sent message {id} after its end"));
        self.check(message.attempts < attempts, || format!("more than {attempts} attempts of message {id}"));
        self.check(now + timeout <= message.deadline + 1e-9, || {
            format!("an attempt outlasts the deadline of message {id}")
        });
        self.check(listed_state == Some(EndpointState::Ready), || {
            format!("drain: sent message {id} to endpoint {endpoint}, listed as {listed_state:?}")
        });
        self.check(model.destination == message.destination, || {
            format!("message {id} was sent to another destination")
        });
        self.check(now >= blocked_until, || {
            format!("retry-after: target {} was blocked until {blocked_until:.2}", model.target)
        });
        match (class.effect, message.may_have_run) {
            (Effect::Unsafe, Some(_)) => {
                self.check(false, || format!("repeat: unsafe message {id} may have run"))
            }
            (Effect::Keyed { window, by_zone }, Some((first_run, zone))) => {
                self.check(now <= first_run + window, || {
                    format!("repeat: message {id} after its key's window")
                });
                self.check(!by_zone || zone == model.zone, || {
                    format!("repeat: message {id} in another zone")
                });
            }
            _ => {}
        }
        if let Some(key) = message.key {
            let key_blocked_until = self.nodes[node].key_blocked_until.get(&key).copied().unwrap_or(0.0);
            let first_of_key =
                self.nodes[node].key_queues[&key].iter().find(|id| !self.messages[id].ended).copied();
            self.check(first_of_key == Some(id), || format!("order: message {id} before {first_of_key:?}"));
            self.check(message.attempts > 0 || now >= key_blocked_until, || {
                format!("order: message {id} while its key is paused")
            });
        }
    }

    /// Checks the rules for ending a message undelivered, and records its end.
    fn check_undelivered(&mut self, node: usize, id: u64, rejected: bool) {
        let now = self.now;
        let Some(tracked) = self.messages.get_mut(&id) else {
            return self.check(false, || format!("ended message {id}, which was never accepted"));
        };
        let message = tracked.clone();
        tracked.ended = true;
        self.unfinished.remove(&id);
        self.nodes[node].pending_messages -= 1;
        if rejected {
            self.totals.rejected += 1;
        } else {
            self.totals.failed += 1;
        }
        self.check(message.in_flight.is_none(), || format!("ended message {id} with an attempt in flight"));
        self.check(!message.ended, || format!("ended message {id} twice"));
        self.check(now <= message.deadline, || format!("ended message {id} after its deadline"));
        let unsafe_and_uncertain =
            self.settings.classes[message.class].effect == Effect::Unsafe && message.may_have_run.is_some();
        self.check(!(rejected && unsafe_and_uncertain), || {
            format!("rejected unsafe message {id}, which may have run")
        });
        let target = self.endpoints.values().find(|model| model.destination == message.destination);
        let rate = target.map_or(1.0, |model| self.targets[model.target].rate);
        // Where no rate is listed, dispatchers assume a small target.
        let rate = if self.deployment.use_listed_rates { rate } else { rate.min(1.0) };
        let limit_round = f64::from(self.deployment.dispatchers) / rate;
        // Dispatchers take turns with trials of a target that looked unavailable, so that all of them
        // together stay within its slow-start budget.
        let slow_start = self.settings.slow_start;
        let saw_failures =
            target.is_some_and(|model| self.targets[model.target].failure_observers.contains(&node));
        let trial_interval = if saw_failures {
            limit_round / (slow_start.overload_multiple * slow_start.cold_capacity_share)
        } else {
            0.0
        };
        let max_eligible = MAX_ELIGIBLE_SECONDS + MAX_ELIGIBLE_LIMIT_ROUNDS * limit_round.max(trial_interval);
        let exempt = message.may_have_run.is_some() || message.attempts >= self.settings.max_attempts;
        self.check(exempt || message.eligible_seconds <= max_eligible, || {
            format!(
                "expired: message {id} could have been sent for {:.1} s, \
                 at most {max_eligible:.1} s are allowed: {message:?}",
                message.eligible_seconds
            )
        });
    }

    fn active_outage(&self, destination: usize, at: f64) -> Option<OutageKind> {
        self.outages(destination)
            .find(|outage| at >= outage.start && at < outage.end)
            .map(|outage| outage.kind)
    }

    /// Share of its capacity that a destination can use: less than 1 while it is cold.
    fn capacity_share(&self, destination: usize, at: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        self.outages(destination)
            .filter(|outage| at >= outage.end)
            .map(|outage| {
                slow_start.cold_capacity_share
                    + (1.0 - slow_start.cold_capacity_share)
                        * ((at - outage.end) / slow_start.warm_up_time).min(1.0)
            })
            .fold(1.0, f64::min)
    }

    /// A call reaches its destination: decides the outcome and schedules its arrival.
    fn simulate_call(&mut self, node: usize, call: u64, endpoint: u64, batch: Vec<(u64, f64)>) {
        let (now, model) = (self.now, self.endpoints[&endpoint].clone());
        self.totals.calls += 1;
        self.targets[model.target].calls.push((now, node));
        let kind = self.deployment.kind(model.destination).clone();
        let offline = now < model.online_from || now >= model.online_until + 1.5;
        let failure_mode = if offline {
            Some(OutageKind::ConnectionRefused)
        } else {
            self.active_outage(model.destination, now)
        };
        let call_timeout = batch.iter().map(|(_, timeout)| *timeout).fold(f64::INFINITY, f64::min);
        let factor = 0.4 + 0.6 * -(1.0 - self.rng.f64()).ln();
        let service_time = kind.mean_latency * factor;
        let (outcome, response_time) = match failure_mode {
            Some(OutageKind::Errors) => (Outcome::Error, 2.0 * ONE_WAY_LATENCY_SECONDS),
            Some(OutageKind::ConnectionRefused) => (Outcome::ConnectFailed, 2.0 * ONE_WAY_LATENCY_SECONDS),
            Some(OutageKind::Unresponsive) => (Outcome::TimedOut, call_timeout),
            Some(OutageKind::Overloaded) => (Outcome::Overloaded, 2.0 * ONE_WAY_LATENCY_SECONDS),
            None if !self.admits(model.target, &kind, call) => {
                (Outcome::Overloaded, 2.0 * ONE_WAY_LATENCY_SECONDS)
            }
            None if service_time >= call_timeout => (Outcome::TimedOut, call_timeout),
            None if self.rng.f64() < 0.003 => (Outcome::ConnectionReset, service_time),
            None => (Outcome::Served, service_time),
        };
        self.totals.calls_overloaded += u64::from(outcome == Outcome::Overloaded);
        let retry_after =
            (outcome == Outcome::Overloaded && self.rng.f64() < kind.retry_after_share).then(|| {
                let current_outage =
                    self.outages(model.destination).find(|outage| now < outage.end && now >= outage.start);
                match (current_outage, kind.limit) {
                    (Some(outage), _) => outage.end - now,
                    (None, RateLimit::FixedWindow { length }) => {
                        length - (now - self.targets[model.target].window.0)
                    }
                    _ => 0.5,
                }
            });
        for (id, _) in batch {
            let attempt = self.messages[&id].attempts - 1;
            let end = AttemptEnd {
                id: MessageId(id),
                endpoint: EndpointId(endpoint),
                attempt,
                outcome,
                retry_after: retry_after.map(|retry_after| retry_after.max(0.01)),
                settled: outcome == Outcome::Served,
                latency: response_time,
                rate_limit_report: None,
                connection_reused: false,
                connection_kept: outcome.answered(),
            };
            self.schedule(now + response_time, node, Event::AttemptEnded(end));
        }
    }

    /// Whether the rate limit admits a call; counts the call.
    fn admits(&mut self, target: usize, kind: &DestinationProfile, call: u64) -> bool {
        let now = self.now;
        let target = &mut self.targets[target];
        let admitted = match kind.limit {
            RateLimit::Concurrency => {
                (target.calls_in_service.len() as f64) < (3.0 * target.rate * kind.mean_latency).max(2.0)
            }
            RateLimit::TokenBucket => {
                let max_tokens = (target.rate * 0.5).max(1.0);
                target.tokens =
                    (target.tokens + target.rate * (now - target.tokens_updated_at)).min(max_tokens);
                target.tokens_updated_at = now;
                let admitted = target.tokens >= 1.0;
                if admitted || kind.rejected_calls_count {
                    target.tokens = (target.tokens - 1.0).max(-max_tokens);
                }
                admitted
            }
            RateLimit::FixedWindow { length } => {
                if now >= target.window.0 + length {
                    let elapsed_windows = ((now - target.window.0) / length).floor();
                    target.window = (target.window.0 + elapsed_windows * length, 0.0);
                }
                let max_calls = (target.rate * length).round().max(1.0);
                let admitted = target.window.1 < max_calls;
                target.window.1 += f64::from(u8::from(admitted || kind.rejected_calls_count));
                admitted
            }
        };
        if admitted {
            target.calls_in_service.insert(call);
        }
        admitted
    }

    fn simulate_probe(&mut self, node: usize, endpoint: u64) {
        let now = self.now;
        let model = self.endpoints[&endpoint].clone();
        let listed_state = self.nodes[node].listed_states.get(&endpoint).copied();
        let blocked_until = self.nodes[node].retry_after_until.get(&model.target).copied().unwrap_or(0.0);
        self.check(listed_state == Some(EndpointState::Ready), || {
            format!("drain: probed endpoint {endpoint}, listed as {listed_state:?}")
        });
        self.check(now >= blocked_until, || format!("retry-after: probed endpoint {endpoint} too early"));
        self.targets[model.target].calls.push((now, node));
        let outcome = match self.active_outage(model.destination, now) {
            Some(OutageKind::Unresponsive) => Outcome::TimedOut,
            Some(OutageKind::ConnectionRefused) => Outcome::ConnectFailed,
            Some(_) => Outcome::Error,
            None => Outcome::Served,
        };
        let latency = if outcome == Outcome::TimedOut { 1.0 } else { 2.0 * ONE_WAY_LATENCY_SECONDS };
        let (endpoint, rate_limit_report) = (EndpointId(endpoint), None);
        self.schedule(
            now + latency,
            node,
            Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report },
        );
    }

    /// Adds a step to each message that is pending although it could be sent: a slot is free, the target is
    /// available and warm, and less than half of its limit is in use.
    fn track_eligible_time(&mut self) {
        let now = self.now;
        let mut spare_capacity = BTreeMap::new();
        for id in self.unfinished.iter().copied().collect::<Vec<_>>() {
            let message = &self.messages[&id];
            if message.in_flight.is_some() || message.over_quota {
                continue;
            }
            let node = &self.nodes[message.node_index];
            if node.calls.len() + 1 >= self.settings.max_concurrent_calls {
                continue;
            }
            // Earlier messages of its order key have to end first.
            if message.key.is_some_and(|key| {
                let first_of_key = node.key_queues[&key].iter().find(|id| !self.messages[id].ended);
                first_of_key != Some(&id) || now < node.key_blocked_until.get(&key).copied().unwrap_or(0.0)
            }) {
                continue;
            }
            let destination = message.destination;
            let endpoints = self.endpoints.iter().filter(|(_, model)| model.destination == destination);
            let target = endpoints
                .filter(|(id, _)| node.listed_states.get(id) == Some(&EndpointState::Ready))
                .map(|(_, model)| model.target)
                .find(|target| now >= node.retry_after_until.get(target).copied().unwrap_or(0.0));
            let Some(target) = target else { continue };
            // A target that rejected every call for this long looks unavailable and gets only trials, which
            // keep a cold target from overload.
            if node.overload_streaks.get(&target).is_some_and(|(at, n, _)| {
                *n >= UNAVAILABLE_AFTER_REJECTIONS && now - at > UNAVAILABLE_AFTER_SECONDS
            }) {
                continue;
            }
            let can_serve = *spare_capacity.entry(target).or_insert_with(|| {
                let recent_calls =
                    self.targets[target].calls.iter().rev().take_while(|(at, _)| now - at < 2.0);
                let below_half_limit = (recent_calls.count() as f64) < self.targets[target].rate;
                below_half_limit
                    && self.active_outage(destination, now).is_none()
                    && self.capacity_share(destination, now) >= 1.0
            });
            if can_serve && let Some(message) = self.messages.get_mut(&id) {
                message.eligible_seconds += STEP_SECONDS;
            }
        }
    }

    /// Checks that no target got more calls after an outage than its slow-start budget from the dispatchers
    /// that had observed the outage.
    fn check_recoveries(&mut self) {
        let slow_start = self.settings.slow_start;
        for model in self.endpoints.values() {
            let Some(outage) = self.outages(model.destination).next() else { continue };
            let target = &self.targets[model.target];
            // Only calls by dispatchers that observed the outage count: an outage too short to be observed is
            // not checked.
            let calls: Vec<f64> = target
                .calls
                .iter()
                .filter(|(at, node)| {
                    *at >= outage.end
                        && target.outage_observers.get(node).is_some_and(|informed_at| informed_at <= at)
                })
                .map(|(at, _)| *at)
                .collect();
            let trials_per_observer = if target.outage_observers.len() > MAX_SMALL_OBSERVER_GROUP {
                1.0
            } else {
                (slow_start.overload_window / TRIAL_INTERVAL_SECONDS).max(1.0)
            };
            let slack = MAX_EXTRA_COLD_CALLS + trials_per_observer * target.outage_observers.len() as f64;
            for (i, window_start) in calls.iter().enumerate() {
                if *window_start > outage.end + slow_start.warm_up_time {
                    break;
                }
                let calls_in_window = calls[i..]
                    .iter()
                    .take_while(|at| **at < window_start + slow_start.overload_window)
                    .count() as f64;
                let window_middle = window_start + slow_start.overload_window / 2.0;
                let capacity = target.rate * self.capacity_share(model.destination, window_middle);
                let budget = slow_start.overload_multiple * capacity * slow_start.overload_window;
                // New messages are admitted at random, so the count varies.
                let budget = budget + budget.sqrt() + slack;
                if calls_in_window > budget {
                    self.violations.push(format!(
                        "slow start: destination {} got {calls_in_window} calls in {:.1} s from {} \
                         dispatchers that had observed its outage, at most {budget:.1} are allowed, \
                         {:.1} s after its recovery",
                        model.destination,
                        slow_start.overload_window,
                        target.outage_observers.len(),
                        window_start - outage.end
                    ));
                    return;
                }
            }
        }
    }
}

impl TargetModel {
    fn new(rate: f64, phase: f64) -> TargetModel {
        TargetModel {
            rate,
            window: (-phase, 0.0),
            tokens: 1.0,
            tokens_updated_at: 0.0,
            calls_in_service: BTreeSet::new(),
            calls: Vec::new(),
            outage_observers: BTreeMap::new(),
            failure_observers: BTreeSet::new(),
        }
    }
}
