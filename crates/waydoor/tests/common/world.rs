//! A small model of a whole deployment: dispatchers, a front that deals messages out, destinations with limits and
//! outages, a list that comes late. It judges the rules by what it did itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use waydoor::*;

/// A round of every dispatcher, in seconds.
const STEP: f64 = 0.02;
/// Messages come for so long.
const DAY: f64 = 16.0;
/// One way between a dispatcher and a destination.
const WAY: f64 = 0.005;
/// Refusals for so long, and so many, or a wait that is told to be as long, show a door that is shut and no limit.
const SHUT_TIME: f64 = 4.0;
/// See [`SHUT_TIME`].
const SHUT_CALLS: u32 = 4;
/// Calls that a returning place gets beyond its budget by chance and by those that were under way, at most ...
const COLD_SLACK: f64 = 4.0;
/// ... and by the trials of those that had seen the outage: one each where they are many ...
const MANY: usize = 6;
/// ... and where they are few one each in so long, in seconds, as each tries on its own.
const TRIAL: f64 = 0.75;
/// A dispatcher lets a message run out only if it did not sit idle for longer than this, in seconds ...
const CHANCE: f64 = 5.0;
/// ... and for so many rounds of the limit, in which it lets one call of every dispatcher through.
const CHANCE_ROUNDS: f64 = 3.0;

/// How a destination limits what it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// By what it can do at once.
    None,
    /// A steady rate.
    Rate,
    /// A count in each span.
    Window { span: f64 },
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct KindOf {
    pub limit: Limit,
    /// Refused calls use up the limit.
    pub refused_count: bool,
    /// Share of refusals that tell how long to wait.
    pub tells_wait: f64,
    /// Mean time of a call.
    pub latency: f64,
    pub traits: DestinationKind,
}

/// What happens to calls in an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Errors,
    Silent,
    Shut,
    Gone,
}

/// An outage of a destination.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub how: How,
    pub destination: usize,
    pub from: f64,
    pub until: f64,
}

/// All that is drawn for a case.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub dispatchers: u32,
    pub destinations: usize,
    /// Slots, as a multiple of what the full load keeps busy.
    pub slots_room: f64,
    /// Room, in seconds of the full load.
    pub hold: f64,
    pub attempts: u32,
    /// Relative sizes.
    pub customers: Vec<f64>,
    pub over_share_worth: f64,
    /// Quota of all customers over the load.
    pub quota: f64,
    pub pushed: bool,
    pub rates_listed: bool,
    pub probes: bool,
    /// Some endpoints drain and others take their place.
    pub replaced: bool,
    pub classes: Vec<Class>,
    pub kinds: Vec<KindOf>,
    pub troubles: Vec<Trouble>,
    pub decay: ValueDecay,
    /// Messages over the destinations' limits.
    pub load: f64,
    /// Messages a second of a destination of usual size.
    pub rate: f64,
    pub seed: u64,
    pub returning: SlowStart,
}

impl Deployment {
    /// Messages a second at load 1: sizes of destinations fall off evenly.
    fn size(&self, destination: usize) -> f64 {
        self.rate * (1.6 - 1.2 * destination as f64 / self.destinations as f64)
    }

    fn kind(&self, destination: usize) -> &KindOf {
        &self.kinds[destination % self.kinds.len()]
    }

    fn full_load(&self) -> f64 {
        (0..self.destinations).map(|d| self.size(d)).sum()
    }

    pub fn settings(&self) -> Settings {
        let each = self.full_load() / f64::from(self.dispatchers);
        let busy: f64 = (0..self.destinations).map(|d| self.size(d) * self.kind(d).latency).sum();
        let quota = self.full_load() * self.load * self.quota / self.customers.iter().sum::<f64>().max(0.1);
        Settings {
            dispatcher_count: self.dispatchers,
            max_concurrent_calls: ((busy / f64::from(self.dispatchers) * self.slots_room).ceil() as usize)
                .max(2),
            max_messages: ((each * self.hold) as usize).max(12),
            max_attempts: self.attempts,
            keepalive: Some(5.0),
            probes: self.probes,
            cancel: true,
            zone: 0,
            classes: self.classes.clone(),
            tenants: self.customers.iter().map(|size| Tenant { quota: quota * size }).collect(),
            over_quota_value: self.over_share_worth,
            kinds: self.kinds.iter().map(|kind| kind.traits).collect(),
            decay: self.decay,
            discovery_mode: if self.pushed {
                DiscoveryMode::Pushed
            } else {
                DiscoveryMode::Subscription { max_renewal_interval: 6.0 }
            },
            use_listed_rates: self.rates_listed,
            slow_start: self.returning,
            order_key_cooldown: 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Sums {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Turned away at the door, the room being full.
    pub turned_away: u64,
    pub calls: u64,
    pub calls_full: u64,
}

impl Sums {
    pub fn add(&mut self, other: &Sums) {
        self.taken += other.taken;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.turned_away += other.turned_away;
        self.calls += other.calls;
        self.calls_full += other.calls_full;
    }
}

/// How a case ended.
pub struct Played {
    pub sums: Sums,
    /// Rules that were broken, a line each.
    pub broken: Vec<String>,
}

#[derive(Clone, Debug)]
struct Seen {
    class: usize,
    destination: usize,
    deadline: f64,
    at: usize,
    key: Option<u64>,
    attempts: u32,
    out: Option<(u64, f64)>,
    /// First attempt that may have run, its zone.
    ran: Option<(f64, u16)>,
    ended: bool,
    served: bool,
    over_share: bool,
    /// For how long it could have gone at no cost to others since its dispatcher last sent anything there.
    chance: f64,
}

/// A place that is counted by itself: a destination, or a route apart.
#[derive(Clone, Debug)]
struct Place {
    rate: f64,
    span: (f64, f64),
    tokens: f64,
    tokens_at: f64,
    busy: BTreeSet<u64>,
    /// Calls that came: when, from whom.
    calls: Vec<(f64, usize)>,
    /// Who was told of a failure or refusal in an outage, and when first.
    informed: BTreeMap<usize, f64>,
    /// Who saw a call fail there, in an outage or not: to them it may have looked like one.
    doubted: BTreeSet<usize>,
}

#[derive(Clone, Debug)]
struct Door {
    destination: usize,
    zone: u16,
    place: usize,
    /// Nothing is there before and after.
    from: f64,
    until: f64,
}

struct Due(f64, u64, usize, Box<Event>);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// One dispatcher, with what the judge knows that it was told.
struct Node {
    dispatcher: Dispatcher,
    timer: Option<(u32, f64)>,
    told: BTreeMap<u64, EndpointState>,
    /// Told waits, by place.
    waits: BTreeMap<usize, f64>,
    /// Refusals with nothing else between them, by place: since when, how many, and when the last came.
    refused: BTreeMap<usize, (f64, u32, f64)>,
    /// Calls out, with the messages in each.
    calls: BTreeMap<u64, usize>,
    held: usize,
    awake: bool,
    rest: BTreeMap<u64, f64>,
    order: BTreeMap<u64, Vec<u64>>,
}

pub struct World<'a> {
    plan: &'a Deployment,
    settings: Settings,
    rng: fastrand::Rng,
    now: f64,
    nodes: Vec<Node>,
    messages: BTreeMap<u64, Seen>,
    open: BTreeSet<u64>,
    places: Vec<Place>,
    doors: BTreeMap<u64, Door>,
    queue: BinaryHeap<Reverse<Due>>,
    counter: u64,
    sums: Sums,
    broken: Vec<String>,
}

impl<'a> World<'a> {
    /// Plays a deployment from its first message to the end of its last.
    pub fn play(plan: &'a Deployment) -> Played {
        let mut world = World::new(plan);
        let longest = plan.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        while world.now < DAY + longest + 0.5 && world.broken.is_empty() {
            world.step();
        }
        world.judge_returns();
        for (id, m) in world.messages.iter().filter(|(_, m)| !m.ended) {
            world.broken.push(format!("lost: {id} has no final answer: {m:?}"));
        }
        world.broken.truncate(5);
        Played { sums: world.sums, broken: world.broken }
    }

    fn new(plan: &'a Deployment) -> World<'a> {
        let settings = plan.settings();
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let (mut places, mut doors) = (Vec::new(), BTreeMap::new());
        for destination in 0..plan.destinations {
            let endpoints = 1 + rng.u64(..3);
            let apart = plan.kind(destination).traits.independent_endpoints;
            let mut place = places.len();
            for i in 0..endpoints {
                if i == 0 || apart {
                    place = places.len();
                    let rate = plan.size(destination) / if apart { endpoints as f64 } else { 1.0 };
                    places.push(Place::new(rate, rng.f64()));
                }
                let id = destination as u64 * 10 + i;
                let zone = rng.u16(..2);
                // One of several goes while messages come, and another one takes its place.
                let until = if plan.replaced && i == 1 { rng.f64() * DAY } else { f64::INFINITY };
                doors.insert(id, Door { destination, zone, place, from: 0.0, until });
                if until.is_finite() {
                    let from = until - 0.5 + rng.f64();
                    // A route apart that takes another one's place is one of its own.
                    if apart {
                        place = places.len();
                        places.push(Place::new(plan.size(destination) / endpoints as f64, rng.f64()));
                    }
                    doors.insert(id + 5, Door { destination, zone, place, from, until: f64::INFINITY });
                }
            }
        }
        let nodes = (0..plan.dispatchers)
            .map(|i| Node {
                dispatcher: Dispatcher::new(settings.clone(), plan.seed ^ u64::from(i))
                    .expect("a configuration of the form"),
                timer: None,
                told: BTreeMap::new(),
                waits: BTreeMap::new(),
                refused: BTreeMap::new(),
                calls: BTreeMap::new(),
                held: 0,
                awake: true,
                rest: BTreeMap::new(),
                order: BTreeMap::new(),
            })
            .collect();
        let mut world = World {
            plan,
            settings,
            rng,
            now: 0.0,
            nodes,
            messages: BTreeMap::new(),
            open: BTreeSet::new(),
            places,
            doors,
            queue: BinaryHeap::new(),
            counter: 0,
            sums: Sums::default(),
            broken: Vec::new(),
        };
        for node in 0..world.nodes.len() {
            let list = world.list(0.0);
            world.tell(0.0, node, Event::ListSnapshot(list));
            if plan.pushed {
                world.push_changes(node);
            }
        }
        world
    }

    /// Every change reaches each dispatcher at a time of its own.
    fn push_changes(&mut self, node: usize) {
        let doors: Vec<_> = self.doors.iter().map(|(id, door)| (*id, door.clone())).collect();
        for (id, door) in doors {
            if door.from > 0.0 {
                let late = 0.1 + self.rng.f64();
                let line = self.line(id, &door, EndpointState::Ready);
                self.tell(door.from + late, node, Event::ListUpdate(vec![line]));
            }
            if door.until.is_finite() {
                let late = self.rng.f64();
                let draining = self.line(id, &door, EndpointState::Draining);
                let gone = self.line(id, &door, EndpointState::Removed);
                self.tell(door.until - 1.0 + late, node, Event::ListUpdate(vec![draining]));
                self.tell(door.until + late, node, Event::ListUpdate(vec![gone]));
            }
        }
    }

    fn line(&self, id: u64, door: &Door, listed: EndpointState) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(id),
            destination: DestinationId(door.destination as u32),
            kind: door.destination % self.plan.kinds.len(),
            zone: door.zone,
            rate: self.places[door.place].rate,
            state: listed,
        }
    }

    fn list(&self, at: f64) -> Vec<EndpointEntry> {
        let there = |door: &&Door| door.from <= at && at < door.until;
        let listed =
            |door: &Door| if at >= door.until - 1.0 { EndpointState::Draining } else { EndpointState::Ready };
        let doors = self.doors.iter().filter(|(_, door)| there(door));
        doors.map(|(id, door)| self.line(*id, door, listed(door))).collect()
    }

    fn tell(&mut self, at: f64, node: usize, event: Event) {
        self.counter += 1;
        self.queue.push(Reverse(Due(at, self.counter, node, Box::new(event))));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrivals();
        while self.queue.peek().is_some_and(|Reverse(due)| due.0 <= self.now) {
            if let Some(Reverse(Due(_, _, node, event))) = self.queue.pop() {
                self.hear(node, *event);
            }
        }
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].timer.filter(|(_, at)| *at <= self.now);
            if let Some((token, _)) = due {
                self.nodes[node].timer = None;
                self.hear(node, Event::TimerFired(token));
            }
            if std::mem::take(&mut self.nodes[node].awake) {
                let mut actions = Vec::new();
                self.nodes[node].dispatcher.decide(self.now, &mut actions);
                self.act(node, actions);
            }
        }
        self.chances();
    }

    fn arrivals(&mut self) {
        if self.now > DAY {
            return;
        }
        let load = self.plan.full_load() * self.plan.load;
        let mut count = (load * STEP) as u32;
        count += u32::from(self.rng.f64() < load * STEP - f64::from(count));
        for _ in 0..count {
            let mut at = self.rng.f64() * self.plan.full_load();
            let destination = (0..self.plan.destinations).find(|d| {
                at -= self.plan.size(*d);
                at <= 0.0
            });
            let destination = destination.unwrap_or(0);
            let class = self.rng.usize(..self.plan.classes.len());
            let node = self.rng.usize(..self.nodes.len());
            // The last index is a customer that no settings name.
            let tenant = self.rng.usize(..=self.plan.customers.len());
            if self.nodes[node].held >= self.settings.max_messages {
                self.sums.turned_away += 1;
                continue;
            }
            let known = &self.settings.classes[class];
            let key = known.ordered.then(|| self.rng.u64(..6) + 10 * node as u64);
            let deadline = self.now + known.deadline * (0.6 + 0.4 * self.rng.f64());
            let id = self.sums.taken;
            self.sums.taken += 1;
            let share = self.nodes[node].dispatcher.quota_status(self.now, tenant);
            if let Some(QuotaStatus { remaining: left, .. }) = share {
                self.hear(node, Event::QuotaRecovered { tenant, remaining: left, at: self.now });
            }
            let over = share.is_some_and(|share| share.over);
            let seen = Seen {
                class,
                destination,
                deadline,
                at: node,
                key,
                attempts: 0,
                out: None,
                ran: None,
                ended: false,
                served: false,
                over_share: over,
                chance: 0.0,
            };
            self.messages.insert(id, seen);
            self.open.insert(id);
            self.nodes[node].held += 1;
            if let Some(key) = key {
                self.nodes[node].order.entry(key).or_default().push(id);
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
            self.hear(node, Event::Accepted(message));
        }
    }

    fn hear(&mut self, node: usize, event: Event) {
        let now = self.now;
        match &event {
            Event::ListUpdate(lines) => {
                lines.iter().for_each(|l| _ = self.nodes[node].told.insert(l.endpoint.0, l.state))
            }
            Event::ListSnapshot(lines) => {
                self.nodes[node].told = lines.iter().map(|l| (l.endpoint.0, l.state)).collect();
            }
            Event::AttemptEnded(end) => self.ended(node, end),
            Event::ProbeEnded { endpoint, outcome, .. } if *outcome != Outcome::Served => {
                self.inform(node, endpoint.0);
            }
            _ => {}
        }
        self.nodes[node].dispatcher.handle(now, event);
        self.nodes[node].awake = true;
    }

    fn ended(&mut self, node: usize, end: &AttemptEnd) {
        let Some(m) = self.messages.get_mut(&end.id.0) else { return };
        let Some((call, sent)) = m.out.take() else { return };
        let place = self.doors[&end.endpoint.0].place;
        self.places[place].busy.remove(&call);
        let never = matches!(end.outcome, Outcome::Overloaded | Outcome::ConnectFailed);
        if !never {
            m.ran.get_or_insert((sent, self.doors[&end.endpoint.0].zone));
        }
        if end.outcome == Outcome::Served {
            (m.ended, m.served) = (true, true);
            self.sums.served += 1;
            self.nodes[node].held -= 1;
            self.open.remove(&end.id.0);
        }
        if let (Outcome::TimedOut | Outcome::ConnectionReset, Some(key)) = (end.outcome, m.key) {
            self.nodes[node].rest.insert(key, self.now + 1.0);
        }
        let left = self.nodes[node].calls.get_mut(&call);
        if left.is_some_and(|left| {
            *left -= 1;
            *left == 0
        }) {
            self.nodes[node].calls.remove(&call);
        }
        if let Some(wait) = end.retry_after {
            let until = self.nodes[node].waits.entry(place).or_insert(0.0);
            *until = until.max(self.now + wait);
        }
        let refused = end.outcome == Outcome::Overloaded;
        if refused {
            // A refusal may be a limit's: only a door that stays shut, or is told to, shows as one.
            // Calls that were out together are refused together.
            let (first, count, last) =
                self.nodes[node].refused.entry(place).or_insert((self.now, 0, f64::NEG_INFINITY));
            if sent >= *last {
                (*count, *last) = (*count + 1, self.now);
            }
            let shut = *count >= SHUT_CALLS && self.now - *first > SHUT_TIME;
            if shut || end.retry_after.is_some_and(|wait| wait > SHUT_TIME) {
                self.inform(node, end.endpoint.0);
            }
        } else {
            self.nodes[node].refused.remove(&place);
            if end.outcome != Outcome::Served {
                self.places[place].doubted.insert(node);
                self.inform(node, end.endpoint.0);
            }
        }
    }

    /// The dispatcher was told of a failure or refusal in an outage.
    fn inform(&mut self, node: usize, endpoint: u64) {
        let door = &self.doors[&endpoint];
        let (destination, now) = (door.destination, self.now);
        let out = self.troubles(destination).any(|t| now >= t.from && now < t.until + 0.5);
        if out {
            self.places[door.place].informed.entry(node).or_insert(now);
        }
    }

    fn troubles(&self, destination: usize) -> impl Iterator<Item = &'a Trouble> {
        // A destination has one outage a day at most.
        let plan = self.plan;
        plan.troubles.iter().filter(move |t| t.destination % plan.destinations == destination).take(1)
    }

    fn rule(&mut self, kept: bool, text: impl FnOnce() -> String) {
        if !kept && self.broken.len() < 5 {
            self.broken.push(format!("{:.2}: {}", self.now, text()));
        }
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        let now = self.now;
        // Sends of this round to one endpoint share calls; those that may not run twice do among themselves.
        let mut open: BTreeMap<(u64, bool), u64> = BTreeMap::new();
        let mut calls: BTreeMap<u64, (u64, Vec<(u64, f64)>)> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, unbatched: alone, .. } => {
                    self.judge_send(node, id.0, endpoint.0, timeout);
                    let Some(m) = self.messages.get_mut(&id.0) else { continue };
                    let batch = self.settings.kinds[m.destination % self.plan.kinds.len()].max_batch;
                    let alike = (endpoint.0, self.settings.classes[m.class].effect == Effect::Unsafe);
                    let joined = open.get(&alike).copied().filter(|_| !alone);
                    let joined = joined.filter(|call| calls[call].1.len() < batch);
                    let call = joined.unwrap_or_else(|| {
                        self.counter += 1;
                        self.counter
                    });
                    if !alone {
                        open.insert(alike, call);
                    }
                    m.out = Some((call, now));
                    m.attempts += 1;
                    let destination = m.destination;
                    let entry = calls.entry(call).or_insert((endpoint.0, Vec::new()));
                    entry.1.push((id.0, timeout));
                    // The chance went to this one.
                    for id in &self.open {
                        if let Some(other) = self.messages.get_mut(id)
                            && (other.at, other.destination) == (node, destination)
                        {
                            other.chance = 0.0;
                        }
                    }
                }
                Action::Reject(id) | Action::Fail(id) => {
                    let refused = matches!(action, Action::Reject(_));
                    self.judge_end(node, id.0, refused);
                }
                Action::Probe(endpoint) => self.probe(node, endpoint.0),
                Action::Subscribe => {
                    if self.rng.f64() < 0.1 {
                        self.tell(now + 0.3, node, Event::ListFailed);
                    } else {
                        let list = self.list(now);
                        self.tell(now + 0.05, node, Event::ListSnapshot(list));
                    }
                }
                Action::SetTimer { token, at } => self.nodes[node].timer = Some((token, at)),
                // It comes too late each time: the call ends as it would have.
                Action::CancelAttempt { id, attempt } => {
                    let out = self
                        .messages
                        .get(&id.0)
                        .is_some_and(|m| m.out.is_some() && m.attempts == attempt + 1);
                    self.rule(out, || format!("attempt {attempt} of {} is broken off and not out", id.0));
                }
                Action::CloseIdle(_) | Action::Log(_) | Action::RecordOutage { .. } => {}
            }
        }
        for (call, (endpoint, items)) in calls {
            self.nodes[node].calls.insert(call, items.len());
            self.call(node, call, endpoint, items);
        }
        let (out, slots) = (self.nodes[node].calls.len(), self.settings.max_concurrent_calls);
        self.rule(out <= slots, || format!("{out} calls out, {slots} slots"));
    }

    fn judge_send(&mut self, node: usize, id: u64, endpoint: u64, timeout: f64) {
        let now = self.now;
        let Some(m) = self.messages.get(&id).cloned() else {
            return self.rule(false, || format!("sent {id}, which nobody handed in"));
        };
        let door = self.doors[&endpoint].clone();
        let told = self.nodes[node].told.get(&endpoint).copied();
        let wait = self.nodes[node].waits.get(&door.place).copied().unwrap_or(0.0);
        let class = self.settings.classes[m.class].clone();
        let attempts = self.settings.max_attempts;
        self.rule(m.out.is_none(), || format!("two attempts of {id}"));
        self.rule(!m.ended, || format!("sent {id} after its end"));
        self.rule(m.attempts < attempts, || format!("more than {attempts} attempts of {id}"));
        self.rule(now + timeout <= m.deadline + 1e-9, || format!("an attempt outlives {id}"));
        self.rule(told == Some(EndpointState::Ready), || {
            format!("drain: sent {id} to {endpoint}, told {told:?}")
        });
        self.rule(door.destination == m.destination, || format!("{id} went elsewhere"));
        self.rule(now >= wait, || format!("wait until {wait:.2} at place {}", door.place));
        match (class.effect, m.ran) {
            (Effect::Unsafe, Some(_)) => self.rule(false, || format!("twice: unsafe {id} may have run")),
            (Effect::Keyed { window, by_zone }, Some((first, zone))) => {
                self.rule(now <= first + window, || format!("twice: {id} past its key's window"));
                self.rule(!by_zone || zone == door.zone, || format!("twice: {id} in another zone"));
            }
            _ => {}
        }
        if let Some(key) = m.key {
            let rest = self.nodes[node].rest.get(&key).copied().unwrap_or(0.0);
            let first = self.nodes[node].order[&key].iter().find(|id| !self.messages[id].ended).copied();
            self.rule(first == Some(id), || format!("order: {id} before {first:?}"));
            self.rule(m.attempts > 0 || now >= rest, || format!("order: {id} while its key rests"));
        }
    }

    fn judge_end(&mut self, node: usize, id: u64, refused: bool) {
        let now = self.now;
        let Some(m) = self.messages.get_mut(&id) else {
            return self.rule(false, || format!("ended {id}, which nobody handed in"));
        };
        let was = m.clone();
        m.ended = true;
        self.open.remove(&id);
        self.nodes[node].held -= 1;
        if refused {
            self.sums.refused += 1;
        } else {
            self.sums.failed += 1;
        }
        self.rule(was.out.is_none(), || format!("ended {id} with an attempt out"));
        self.rule(!was.ended, || format!("ended {id} twice"));
        self.rule(now <= was.deadline, || format!("ended {id} after its time"));
        let unproved = self.settings.classes[was.class].effect == Effect::Unsafe && was.ran.is_some();
        self.rule(!(refused && unproved), || format!("refused {id}, which may have run"));
        let place = self.doors.values().find(|door| door.destination == was.destination);
        let rate = place.map_or(1.0, |door| self.places[door.place].rate);
        // Where no rate is listed a place is taken to be small.
        let rate = if self.plan.rates_listed { rate } else { rate.min(1.0) };
        let rounds = f64::from(self.plan.dispatchers) / rate;
        // A place that looked out is tried by turns, so that all of them together stay inside its cold budget.
        let rule = self.settings.slow_start;
        let knew = place.is_some_and(|door| self.places[door.place].doubted.contains(&node));
        let turn = if knew { rounds / (rule.overload_multiple * rule.cold_capacity_share) } else { 0.0 };
        let most = CHANCE + CHANCE_ROUNDS * rounds.max(turn);
        let spent = was.ran.is_some() || was.attempts >= self.settings.max_attempts;
        self.rule(spent || was.chance <= most, || {
            format!("left behind: {id} could have gone for {:.1} s, {most:.1} at most: {was:?}", was.chance)
        });
    }

    fn is_out(&self, destination: usize, at: f64) -> Option<How> {
        self.troubles(destination).find(|t| at >= t.from && at < t.until).map(|t| t.how)
    }

    /// Share of its capacity that a destination has: less while it is cold.
    fn warmth(&self, destination: usize, at: f64) -> f64 {
        let rule = &self.settings.slow_start;
        self.troubles(destination)
            .filter(|t| at >= t.until)
            .map(|t| {
                rule.cold_capacity_share
                    + (1.0 - rule.cold_capacity_share) * ((at - t.until) / rule.warm_up_time).min(1.0)
            })
            .fold(1.0, f64::min)
    }

    /// A call reaches its destination: what comes back, and when.
    fn call(&mut self, node: usize, call: u64, endpoint: u64, items: Vec<(u64, f64)>) {
        let (now, door) = (self.now, self.doors[&endpoint].clone());
        self.sums.calls += 1;
        self.places[door.place].calls.push((now, node));
        let kind = self.plan.kind(door.destination).clone();
        let gone = now < door.from || now >= door.until + 1.5;
        let out = if gone { Some(How::Gone) } else { self.is_out(door.destination, now) };
        let patience = items.iter().map(|(_, timeout)| *timeout).fold(f64::INFINITY, f64::min);
        let factor = 0.4 + 0.6 * -(1.0 - self.rng.f64()).ln();
        let works = kind.latency * factor;
        let (outcome, after) = match out {
            Some(How::Errors) => (Outcome::Error, 2.0 * WAY),
            Some(How::Gone) => (Outcome::ConnectFailed, 2.0 * WAY),
            Some(How::Silent) => (Outcome::TimedOut, patience),
            Some(How::Shut) => (Outcome::Overloaded, 2.0 * WAY),
            None if !self.admits(door.place, &kind, call) => (Outcome::Overloaded, 2.0 * WAY),
            None if works >= patience => (Outcome::TimedOut, patience),
            None if self.rng.f64() < 0.003 => (Outcome::ConnectionReset, works),
            None => (Outcome::Served, works),
        };
        self.sums.calls_full += u64::from(outcome == Outcome::Overloaded);
        let wait = (outcome == Outcome::Overloaded && self.rng.f64() < kind.tells_wait).then(|| {
            let back = self.troubles(door.destination).find(|t| now < t.until && now >= t.from);
            match (back, kind.limit) {
                (Some(trouble), _) => trouble.until - now,
                (None, Limit::Window { span }) => span - (now - self.places[door.place].span.0),
                _ => 0.5,
            }
        });
        for (id, _) in items {
            let attempt = self.messages[&id].attempts - 1;
            let end = AttemptEnd {
                id: MessageId(id),
                endpoint: EndpointId(endpoint),
                attempt,
                outcome,
                retry_after: wait.map(|wait| wait.max(0.01)),
                settled: outcome == Outcome::Served,
                latency: after,
                rate_limit_report: None,
                connection_reused: false,
                connection_kept: outcome.answered(),
            };
            self.tell(now + after, node, Event::AttemptEnded(end));
        }
    }

    /// Whether a limit lets a call in; counts it.
    fn admits(&mut self, place: usize, kind: &KindOf, call: u64) -> bool {
        let now = self.now;
        let place = &mut self.places[place];
        let admitted = match kind.limit {
            Limit::None => (place.busy.len() as f64) < (3.0 * place.rate * kind.latency).max(2.0),
            Limit::Rate => {
                let most = (place.rate * 0.5).max(1.0);
                place.tokens = (place.tokens + place.rate * (now - place.tokens_at)).min(most);
                place.tokens_at = now;
                let admitted = place.tokens >= 1.0;
                if admitted || kind.refused_count {
                    place.tokens = (place.tokens - 1.0).max(-most);
                }
                admitted
            }
            Limit::Window { span } => {
                if now >= place.span.0 + span {
                    let spans = ((now - place.span.0) / span).floor();
                    place.span = (place.span.0 + spans * span, 0.0);
                }
                let most = (place.rate * span).round().max(1.0);
                let admitted = place.span.1 < most;
                place.span.1 += f64::from(u8::from(admitted || kind.refused_count));
                admitted
            }
        };
        if admitted {
            place.busy.insert(call);
        }
        admitted
    }

    fn probe(&mut self, node: usize, endpoint: u64) {
        let now = self.now;
        let door = self.doors[&endpoint].clone();
        let told = self.nodes[node].told.get(&endpoint).copied();
        let wait = self.nodes[node].waits.get(&door.place).copied().unwrap_or(0.0);
        self.rule(told == Some(EndpointState::Ready), || format!("drain: probed {endpoint}, told {told:?}"));
        self.rule(now >= wait, || format!("probed {endpoint} before its wait was over"));
        self.places[door.place].calls.push((now, node));
        let outcome = match self.is_out(door.destination, now) {
            Some(How::Silent) => Outcome::TimedOut,
            Some(How::Gone) => Outcome::ConnectFailed,
            Some(_) => Outcome::Error,
            None => Outcome::Served,
        };
        let latency = if outcome == Outcome::TimedOut { 1.0 } else { 2.0 * WAY };
        let (endpoint, allowance) = (EndpointId(endpoint), None);
        self.tell(
            now + latency,
            node,
            Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report: allowance },
        );
    }

    /// Messages that are held though they could go: a slot is free, the place is up and warm, and less than half of
    /// its limit is in use.
    fn chances(&mut self) {
        let now = self.now;
        let mut easy = BTreeMap::new();
        for id in self.open.iter().copied().collect::<Vec<_>>() {
            let m = &self.messages[&id];
            if m.out.is_some() || m.over_share {
                continue;
            }
            let node = &self.nodes[m.at];
            if node.calls.len() + 1 >= self.settings.max_concurrent_calls {
                continue;
            }
            // Its turn comes only when others of its key have ended.
            if m.key.is_some_and(|key| {
                let first = node.order[&key].iter().find(|id| !self.messages[id].ended);
                first != Some(&id) || now < node.rest.get(&key).copied().unwrap_or(0.0)
            }) {
                continue;
            }
            let destination = m.destination;
            let doors = self.doors.iter().filter(|(_, door)| door.destination == destination);
            let place = doors
                .filter(|(id, _)| node.told.get(id) == Some(&EndpointState::Ready))
                .map(|(_, door)| door.place)
                .find(|place| now >= node.waits.get(place).copied().unwrap_or(0.0));
            let Some(place) = place else { continue };
            // What refused all for so long looks shut, and is tried by turns that keep a cold place safe.
            if node.refused.get(&place).is_some_and(|(at, n, _)| *n >= SHUT_CALLS && now - at > SHUT_TIME) {
                continue;
            }
            let free = *easy.entry(place).or_insert_with(|| {
                let recent = self.places[place].calls.iter().rev().take_while(|(at, _)| now - at < 2.0);
                let room = (recent.count() as f64) < self.places[place].rate;
                room && self.is_out(destination, now).is_none() && self.warmth(destination, now) >= 1.0
            });
            if free && let Some(m) = self.messages.get_mut(&id) {
                m.chance += STEP;
            }
        }
    }

    /// No place that was out got more than its budget from those that had seen it.
    fn judge_returns(&mut self) {
        let rule = self.settings.slow_start;
        for door in self.doors.values() {
            let Some(trouble) = self.troubles(door.destination).next() else { continue };
            let place = &self.places[door.place];
            // What is shut for a moment only, or was never noticed to be out, is not judged.
            let calls: Vec<f64> = place
                .calls
                .iter()
                .filter(|(at, from)| {
                    *at >= trouble.until && place.informed.get(from).is_some_and(|told| told <= at)
                })
                .map(|(at, _)| *at)
                .collect();
            let each =
                if place.informed.len() > MANY { 1.0 } else { (rule.overload_window / TRIAL).max(1.0) };
            let slack = COLD_SLACK + each * place.informed.len() as f64;
            for (i, from) in calls.iter().enumerate() {
                if *from > trouble.until + rule.warm_up_time {
                    break;
                }
                let sent =
                    calls[i..].iter().take_while(|at| **at < from + rule.overload_window).count() as f64;
                let middle = from + rule.overload_window / 2.0;
                let capacity = place.rate * self.warmth(door.destination, middle);
                let budget = rule.overload_multiple * capacity * rule.overload_window;
                // New messages go there by chance, so the count has a spread.
                let budget = budget + budget.sqrt() + slack;
                if sent > budget {
                    self.broken.push(format!(
                        "cold: destination {} got {sent} calls in {:.1} s from {} that knew, {budget:.1} at most, \
                         {:.1} s after it came back",
                        door.destination,
                        rule.overload_window,
                        place.informed.len(),
                        from - trouble.until
                    ));
                    return;
                }
            }
        }
    }
}

impl Place {
    fn new(rate: f64, phase: f64) -> Place {
        Place {
            rate,
            span: (-phase, 0.0),
            tokens: 1.0,
            tokens_at: 0.0,
            busy: BTreeSet::new(),
            calls: Vec::new(),
            informed: BTreeMap::new(),
            doubted: BTreeSet::new(),
        }
    }
}
