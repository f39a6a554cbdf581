//! What a dispatcher holds in mind: plain data, no decision and no tuned value. `src/choice.rs` and its rooms fills it.

use crate::choice::UNKNOWN_LATENCY;
use crate::choice::storage::Storage;
use crate::interface::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// Silent for too long; nothing failed yet.
    Suspect,
    /// Failing or refusing all: only trials.
    Shut,
    /// Served again, cold.
    Returning(Seconds),
}

pub(crate) enum Gate {
    Open,
    Trial,
    Closed(Seconds),
}

/// A decayed count of events a second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Rate {
    pub(crate) per_second: f64,
    pub(crate) at: Seconds,
}

impl Rate {
    pub(crate) fn now(&self, now: Seconds, time: f64) -> f64 {
        self.per_second * (-(now - self.at) / time).exp()
    }

    pub(crate) fn count(&mut self, now: Seconds, time: f64) {
        (self.per_second, self.at) = (self.now(now, time) + 1.0 / time, now);
    }
}

/// The own pace at a place's limit.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Pace {
    /// What the place takes from all dispatchers, calls a second, where that is listed or told.
    pub(crate) capacity: Option<f64>,
    /// The place's limit is counted here: at a destination, or at each of its endpoints where they are apart.
    pub(crate) limited: bool,
    /// It told that it has no limit but its capacity.
    pub(crate) uncounted: bool,
    /// Share of the capacity that this dispatcher takes to be its own.
    pub(crate) part: f64,
    pub(crate) even: f64,
    /// Calls a second, learned then.
    pub(crate) rate: Option<(f64, Seconds)>,
    pub(crate) due: Seconds,
    pub(crate) sent: Rate,
}

/// Whether a place serves, and how it comes back where it does not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Outage {
    pub(crate) health: Health,
    pub(crate) served_at: Seconds,
    /// When the latest call that was served had been sent.
    pub(crate) overtook_at: Seconds,
    /// When the last call that failed was sent.
    pub(crate) failed_at: Seconds,
    pub(crate) fails: u32,
    /// Share of calls that is lost while it is in service.
    pub(crate) lost: f64,
    pub(crate) trial_at: Seconds,
    /// When it was back at the latest, while it returns.
    #[serde(default)]
    pub(crate) found_at: Seconds,
    pub(crate) trials: u32,
    pub(crate) vouched: bool,
}

/// What refusals told.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Refusals {
    pub(crate) fulls: u32,
    pub(crate) full_since: Seconds,
    pub(crate) full_at: Seconds,
    /// Calls that the place takes at once, found when it refused some, and when that was.
    pub(crate) at_once: Option<(f64, Seconds)>,
    pub(crate) wait_until: Seconds,
    pub(crate) pause_until: Seconds,
}

/// Decayed means of the time of a call and of the share that fails.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Service {
    pub(crate) latency: f64,
    pub(crate) failing: f64,
    pub(crate) learned_at: Seconds,
}

/// What was learned of a destination as a whole, or of one endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Lane {
    pub(crate) pace: Pace,
    pub(crate) outage: Outage,
    pub(crate) refusals: Refusals,
    pub(crate) service: Service,
    pub(crate) out: usize,
    /// Those of them that are waited for beyond the usual time-out.
    pub(crate) overdue: usize,
}

impl Lane {
    pub(crate) fn new(capacity: Option<f64>, latency: f64) -> Self {
        let never = f64::NEG_INFINITY;
        Lane {
            pace: Pace { capacity, part: 1.0, even: 1.0, ..Default::default() },
            outage: Outage { served_at: never, overtook_at: never, failed_at: never, ..Default::default() },
            service: Service { latency, learned_at: never, ..Default::default() },
            ..Default::default()
        }
    }

    fn landed(&mut self, call: &Call) {
        self.out = self.out.saturating_sub(1);
        self.overdue = self.overdue.saturating_sub(usize::from(call.overdue));
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) lane: Lane,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    pub(crate) held: BTreeSet<MessageId>,
    /// Those of them that must not run twice.
    pub(crate) risky: usize,
    /// Messages that come for it.
    pub(crate) demand: Rate,
    pub(crate) kind: usize,
    pub(crate) apart: bool,
    pub(crate) batch: usize,
    /// The next life would hear that it is out.
    pub(crate) remembered: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) lane: Lane,
    pub(crate) destination: DestinationId,
    pub(crate) zone: u16,
    pub(crate) ready: bool,
    pub(crate) used_at: Seconds,
    /// Since when an idle connection is there, if one is.
    pub(crate) idle_since: Option<Seconds>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Flight {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
}

/// What a customer may still hand in within its share.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Purse {
    pub(crate) left: f64,
    pub(crate) at: Seconds,
}

/// The ledger of one message: what was sent and what may have run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Parcel {
    pub(crate) message: Message,
    pub(crate) taken: Seconds,
    pub(crate) attempts: u32,
    pub(crate) out: Option<Flight>,
    /// First attempt that may have run, and its zone.
    pub(crate) may_have_run: Option<(Seconds, u16)>,
    pub(crate) over: bool,
    /// Rejected in a call with others: one of them cannot be used.
    pub(crate) alone: bool,
    /// Rejected by itself: no other attempt would fare better.
    pub(crate) unusable: bool,
    /// It came beyond its customer's share.
    pub(crate) over_share: bool,
    /// An earlier life had taken it, and this one found it.
    #[serde(default)]
    pub(crate) found: bool,
}

impl Parcel {
    /// Whether a restart found it and nobody has called with it so far.
    pub(crate) fn untried(&self) -> bool {
        self.found && self.attempts == 0
    }

    pub(crate) fn new(message: Message, taken: Seconds, over_share: bool) -> Self {
        let (attempts, out, may_have_run) = (0, None, None);
        let (over, alone, unusable, found) = (false, false, false, false);
        Parcel { message, taken, attempts, out, may_have_run, over, alone, unusable, over_share, found }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    pub(crate) messages: usize,
    /// The last message that joined it.
    pub(crate) last: MessageId,
    pub(crate) pending: usize,
    /// How long its connection had been idle; 0 for a new one.
    pub(crate) idle: Seconds,
    /// A message's time ends before the time that the call would get.
    pub(crate) cut: bool,
    /// It is waited for as long as its message lives ...
    pub(crate) risky: bool,
    /// ... and any other call would have been given up by now.
    pub(crate) overdue: bool,
    /// It is broken off, and its end is awaited.
    pub(crate) broken_off: bool,
}

impl Call {
    pub(crate) fn new(endpoint: EndpointId, sent_at: Seconds, idle: Seconds, risky: bool) -> Self {
        let (messages, pending, cut, overdue, broken_off) = (0, 0, false, false, false);
        let last = MessageId(u64::MAX);
        Call { endpoint, sent_at, messages, last, pending, idle, cut, risky, overdue, broken_off }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Line {
    pub(crate) queue: VecDeque<MessageId>,
    pub(crate) rest_until: Seconds,
}

impl Destination {
    /// One that no list has told of.
    pub(crate) fn unlisted() -> Self {
        Destination::new(
            None,
            UNKNOWN_LATENCY,
            usize::MAX,
            DestinationKind { independent_endpoints: false, max_batch: 1 },
        )
    }

    pub(crate) fn new(rate: Option<f64>, latency: f64, kind: usize, traits: DestinationKind) -> Self {
        Destination {
            lane: Lane::new(rate, latency),
            endpoints: BTreeSet::new(),
            held: BTreeSet::new(),
            risky: 0,
            demand: Rate::default(),
            kind,
            apart: traits.independent_endpoints,
            batch: traits.max_batch.max(1),
            remembered: false,
        }
    }
}

fn seed<S: Serializer>(rng: &fastrand::Rng, to: S) -> Result<S::Ok, S::Error> {
    rng.get_seed().serialize(to)
}

fn seeded<'a, D: Deserializer<'a>>(from: D) -> Result<fastrand::Rng, D::Error> {
    u64::deserialize(from).map(fastrand::Rng::with_seed)
}

/// A message that is out: where to, which attempt, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightAttempt {
    /// The message.
    pub id: MessageId,
    /// Where it went.
    pub endpoint: EndpointId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Seconds,
}

/// One dispatcher: learns with [`handle`](Dispatcher::handle), acts with [`decide`](Dispatcher::decide).
///
/// What it serializes to is for the process that takes over, and for a program that knows the same fields: another one
/// cannot read it, and starts from what is on record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    #[serde(serialize_with = "seed", deserialize_with = "seeded")]
    pub(crate) rng: fastrand::Rng,
    pub(crate) parcels: BTreeMap<MessageId, Parcel>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) counter: u64,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) lines: BTreeMap<OrderKey, Line>,
    /// By customer.
    pub(crate) purses: BTreeMap<usize, Purse>,
    /// Destinations with held messages; messages to look at this round; idle connections to close, when.
    pub(crate) waiting: BTreeSet<DestinationId>,
    pub(crate) review: Vec<MessageId>,
    pub(crate) closing: Vec<(Seconds, EndpointId)>,
    /// For how long an idle connection is kept, by kind, and since when that is known.
    pub(crate) holds: BTreeMap<usize, (Seconds, Seconds, u32)>,
    pub(crate) answer_at: Seconds,
    pub(crate) silent_at: Seconds,
    pub(crate) stalled_at: Seconds,
    pub(crate) usual_latency: f64,
    pub(crate) started: Option<Seconds>,
    /// What was decided between two rounds: ends of messages of no known class, outages to remember.
    pub(crate) decided: Vec<Action>,
    /// Out when an earlier life ended, and not listed in this one so far.
    pub(crate) recalled: BTreeSet<DestinationId>,
    pub(crate) ended: (BTreeSet<MessageId>, VecDeque<MessageId>),
    pub(crate) ask_at: Seconds,
    pub(crate) asked: bool,
    pub(crate) asks: u32,
    pub(crate) timer: Option<(u32, Seconds)>,
    pub(crate) notes: Vec<String>,
    pub(crate) noted: u32,
    /// When this dispatcher stops.
    pub(crate) closing_at: Seconds,
    /// Whether calls can be put on record.
    #[serde(default)]
    pub(crate) storage: Storage,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet; `seed` feeds its jitter.
    ///
    /// # Errors
    ///
    /// If a setting makes no sense; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher::empty(settings, seed, UNKNOWN_LATENCY))
    }

    fn empty(settings: Settings, seed: u64, latency: Seconds) -> Self {
        Dispatcher {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            parcels: BTreeMap::new(),
            calls: BTreeMap::new(),
            counter: 0,
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            lines: BTreeMap::new(),
            purses: BTreeMap::new(),
            waiting: BTreeSet::new(),
            review: Vec::new(),
            closing: Vec::new(),
            holds: BTreeMap::new(),
            answer_at: f64::INFINITY,
            silent_at: f64::INFINITY,
            stalled_at: f64::NEG_INFINITY,
            usual_latency: latency,
            storage: Storage::default(),
            started: None,
            decided: Vec::new(),
            recalled: BTreeSet::new(),
            ended: Default::default(),
            ask_at: f64::NEG_INFINITY,
            asked: false,
            asks: 0,
            timer: None,
            notes: Vec::new(),
            noted: 0,
            closing_at: f64::INFINITY,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether a message is in mind that is not over.
    pub fn is_active(&self, id: MessageId) -> bool {
        self.parcels.get(&id).is_some_and(|parcel| !parcel.over)
    }

    /// The messages that are out, in the order of their ids.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let out = self.parcels.iter().filter_map(|(id, parcel)| Some((id, parcel, parcel.out?)));
        let out = out.map(|(id, parcel, Flight { endpoint, call })| InFlightAttempt {
            id: *id,
            endpoint,
            attempt: parcel.attempts.saturating_sub(1),
            sent_at: self.calls.get(&call).map_or(f64::NEG_INFINITY, |call| call.sent_at),
        });
        out.collect()
    }

    /// The calls that carry one message: it, the attempt's number, the call and its endpoint's lane.
    pub(crate) fn sole_calls(&mut self) -> impl Iterator<Item = (MessageId, u32, &mut Call, &Lane)> {
        let (parcels, endpoints) = (&self.parcels, &self.endpoints);
        self.calls.values_mut().filter(|call| call.messages == 1).filter_map(|call| {
            let attempt = parcels.get(&call.last)?.attempts.saturating_sub(1);
            let lane = &endpoints.get(&call.endpoint)?.lane;
            Some((call.last, attempt, call, lane))
        })
    }

    /// Another process goes on with this state, on the same clock: what the old one had pending with its surroundings
    /// (its timer, its subscription, its own end) is gone.
    pub fn resume_in_new_process(&mut self) {
        (self.timer, self.closing_at) = (None, f64::INFINITY);
        (self.ask_at, self.asked, self.asks) = (f64::NEG_INFINITY, false, 0);
    }

    /// Takes a message out of its call; gives the call once it was the last one in it.
    pub(crate) fn landed(&mut self, flight: Flight) -> Option<Call> {
        let call = self.calls.get_mut(&flight.call)?;
        call.pending -= 1;
        if call.pending > 0 {
            return None;
        }
        let call = self.calls.remove(&flight.call)?;
        if let Some(endpoint) = self.endpoints.get_mut(&flight.endpoint) {
            endpoint.lane.landed(&call);
            if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
                destination.lane.landed(&call);
            }
        }
        Some(call)
    }

    /// The lanes of a destination that count a limit: its own, or those of its endpoints, where they are apart, too.
    pub(crate) fn limited_lanes(&mut self, number: DestinationId, mut with: impl FnMut(&mut Lane)) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        with(&mut destination.lane);
        for id in destination.endpoints.iter().filter(|_| destination.apart) {
            self.endpoints.entry(*id).and_modify(|e| with(&mut e.lane));
        }
    }

    /// The lanes that a call to the endpoint is booked on.
    pub(crate) fn each_lane(
        &mut self, endpoint: EndpointId, mut with: impl FnMut(&mut Lane, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        with(&mut e.lane, &self.settings.slow_start, &mut self.rng);
        if let Some(destination) = self.destinations.get_mut(&e.destination).filter(|d| !d.apart) {
            with(&mut destination.lane, &self.settings.slow_start, &mut self.rng);
        }
    }

    /// A destination's own lane and those of its endpoints.
    pub(crate) fn all_lanes(
        &mut self, number: DestinationId, mut with: impl FnMut(&mut Lane, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        with(&mut destination.lane, &self.settings.slow_start, &mut self.rng);
        for id in &destination.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                with(&mut endpoint.lane, &self.settings.slow_start, &mut self.rng);
            }
        }
    }

    /// Whether a list has named the destination: what nobody has heard of can only be held for nothing.
    pub fn is_listed(&self, destination: DestinationId) -> bool {
        self.destinations.get(&destination).is_some_and(|destination| destination.kind != usize::MAX)
    }

    /// Whether nothing but trials goes to an endpoint now: it is out, it told a wait that runs, or its destination did.
    pub fn is_unavailable(&self, now: Seconds, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return false };
        let out = |lane: &Lane| lane.outage.health == Health::Shut || lane.refusals.wait_until > now;
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.apart);
        out(&endpoint.lane) || destination.is_some_and(|destination| out(&destination.lane))
    }

    /// The lane of an endpoint's limit: its own, or its destination's.
    pub(crate) fn limited_lane(&self, endpoint: EndpointId) -> Option<&Lane> {
        let endpoint = self.endpoints.get(&endpoint)?;
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.apart);
        Some(destination.map_or(&endpoint.lane, |destination| &destination.lane))
    }

    /// Counts a message of a customer now; whether it comes beyond its share.
    pub(crate) fn counts_over(&mut self, now: Seconds, tenant: usize) -> bool {
        let Some(share) = self.quota_status(now, tenant) else { return false };
        self.counted(now, tenant, share.remaining, now);
        share.over
    }

    /// What an earlier life knew of a message.
    pub(crate) fn recalled(
        &mut self, id: MessageId, taken: Seconds, attempts: u32, may_have_run: Option<(Seconds, u16)>,
    ) {
        if let Some(parcel) = self.parcels.get_mut(&id) {
            (parcel.taken, parcel.attempts, parcel.may_have_run) = (taken, attempts, may_have_run);
            parcel.found = true;
        }
    }

    pub(crate) fn counted(&mut self, now: Seconds, tenant: usize, left: f64, at: Seconds) {
        if tenant < self.settings.tenants.len() && left >= 0.0 {
            self.purses.insert(tenant, Purse { left, at: at.min(now) });
        }
    }

    /// A timer for that time, where none is set that comes as early.
    pub(crate) fn wake_at(&mut self, now: Seconds, wake: Seconds) -> Option<Action> {
        if !wake.is_finite() || self.timer.is_some_and(|(_, at)| at <= wake && at >= now) {
            return None;
        }
        self.counter += 1;
        let (token, at) = (self.counter as u32, wake.max(now + 0.001));
        self.timer = Some((token, at));
        Some(Action::SetTimer { token, at })
    }

    /// Puts a message among the held ones of its destination.
    pub(crate) fn hold(&mut self, message: &Message) {
        self.waiting.insert(message.destination);
        self.review.push(message.id);
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        let risky = self.settings.classes.get(message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.risky += usize::from(destination.held.insert(message.id) && risky);
    }

    /// Takes a message from the held ones.
    pub(crate) fn release_hold(&mut self, id: MessageId) {
        let Some(parcel) = self.parcels.get(&id) else { return };
        let number = parcel.message.destination;
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let risky =
            self.settings.classes.get(parcel.message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.risky -= usize::from(destination.held.remove(&id) && risky);
        if destination.held.is_empty() {
            self.waiting.remove(&number);
            // Nothing is kept of a destination that was never listed.
            if destination.kind == usize::MAX {
                self.destinations.remove(&number);
            }
        }
    }

    /// Nobody wants a message any more; one that is out is waited for.
    pub(crate) fn withdrawn(&mut self, id: MessageId, kept: usize) {
        if let Some(parcel) = self.parcels.get_mut(&id) {
            parcel.over = true;
            self.settle(id, kept);
        }
    }

    /// Closes the idle connections that are due, and tells when the next ones are.
    pub(crate) fn close_idle(&mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds) {
        let endpoints = &mut self.endpoints;
        self.closing.retain(|(at, id)| {
            if now < *at {
                *wake = wake.min(*at);
                return true;
            }
            // One that was used meanwhile has a later entry.
            if let Some(e) = endpoints.get_mut(id)
                && e.idle_since.take_if(|since| *since <= *at).is_some()
            {
                actions.push(Action::CloseIdle(*id));
            }
            false
        });
    }

    /// Drops a message that is over and has nothing out.
    pub(crate) fn settle(&mut self, id: MessageId, kept: usize) {
        self.release_hold(id);
        let Some(parcel) = self.parcels.get(&id).filter(|p| p.over && p.out.is_none()) else { return };
        if let Some(line) = parcel.message.key.and_then(|key| self.lines.get_mut(&key)) {
            line.queue.retain(|other| *other != id);
        }
        self.parcels.remove(&id);
        self.ended.1.extend(self.ended.0.insert(id).then_some(id));
        if self.ended.1.len() > kept
            && let Some(old) = self.ended.1.pop_front()
        {
            self.ended.0.remove(&old);
        }
    }

    /// Drops an endpoint that is off the list once nothing is out there.
    pub(crate) fn forget(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id).filter(|e| !e.ready && e.lane.out == 0) else { return };
        if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
            destination.endpoints.remove(&id);
        }
        self.endpoints.remove(&id);
    }

    /// Notes a change of health for the log.
    pub(crate) fn note(
        &mut self, most: u32, place: &str, number: u64, was: Health, is: Health, cause: Outcome,
    ) {
        if std::mem::discriminant(&was) != std::mem::discriminant(&is) && self.noted < most {
            self.noted += 1;
            self.notes.push(format!("{place} {number}: {was:?} -> {is:?} after {cause:?}"));
        }
    }

    /// Copies lines of the list.
    pub(crate) fn enrol(&mut self, entries: Vec<EndpointEntry>, whole: bool, latency: Seconds) {
        if whole {
            self.endpoints.values_mut().for_each(|endpoint| endpoint.ready = false);
        }
        let mut changed: BTreeSet<DestinationId> = BTreeSet::new();
        for entry in entries {
            let Some(kind) = self.settings.kinds.get(entry.kind).copied() else { continue };
            let rate =
                Some(entry.rate).filter(|r| self.settings.use_listed_rates && r.is_finite() && *r > 0.0);
            let new = || Destination::new(rate, latency, entry.kind, kind);
            let destination = self.destinations.entry(entry.destination).or_insert_with(new);
            (destination.kind, destination.apart, destination.batch) =
                (entry.kind, kind.independent_endpoints, kind.max_batch.max(1));
            destination.endpoints.insert(entry.endpoint);
            destination.lane.pace.capacity = rate.or(destination.lane.pace.capacity);
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint {
                lane: Lane::new(rate, latency),
                destination: entry.destination,
                zone: entry.zone,
                ready: false,
                used_at: f64::NEG_INFINITY,
                idle_since: None,
            });
            endpoint.ready = entry.state == EndpointState::Ready;
            endpoint.zone = entry.zone;
            changed.insert(entry.destination);
        }
        let old: Vec<_> = self.endpoints.iter().filter(|(_, e)| !e.ready).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|id| self.forget(id));
        // Endpoints that share a limit take even parts of it.
        for number in changed {
            let Some(destination) = self.destinations.get(&number).filter(|d| !d.apart) else { continue };
            let endpoints = destination.endpoints.len().max(1) as f64;
            let part = destination.lane.pace.capacity.map(|rate| rate / endpoints);
            for id in &destination.endpoints {
                self.endpoints.entry(*id).and_modify(|e| e.lane.pace.capacity = part);
            }
        }
    }
}
