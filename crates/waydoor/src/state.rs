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
    #[serde(rename = "Shut")]
    Unavailable,
    /// Served again, cold.
    #[serde(rename = "Returning")]
    Recovering(Seconds),
}

pub(crate) enum Admission {
    Open,
    TrialOnly,
    ClosedUntil(Seconds),
}

/// A decayed count of events a second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    pub(crate) per_second: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Seconds,
}

impl DecayingRate {
    pub(crate) fn value_at(&self, now: Seconds, time: f64) -> f64 {
        self.per_second * (-(now - self.updated_at) / time).exp()
    }

    pub(crate) fn record_event(&mut self, now: Seconds, time: f64) {
        (self.per_second, self.updated_at) = (self.value_at(now, time) + 1.0 / time, now);
    }
}

/// The own pace at a place's limit.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RateLimiter {
    /// What the place takes from all dispatchers, calls a second, where that is listed or told.
    pub(crate) capacity: Option<f64>,
    /// The place's limit is counted here: at a destination, or at each of its endpoints where they are apart.
    #[serde(rename = "limited")]
    pub(crate) enforces_limit: bool,
    /// It told that it has no limit but its capacity.
    #[serde(rename = "uncounted")]
    pub(crate) unlimited: bool,
    /// Share of the capacity that this dispatcher takes to be its own.
    #[serde(rename = "part")]
    pub(crate) own_share: f64,
    #[serde(rename = "even")]
    pub(crate) even_share: f64,
    /// Calls a second, learned then.
    #[serde(rename = "rate")]
    pub(crate) learned_rate: Option<(f64, Seconds)>,
    #[serde(rename = "due")]
    pub(crate) next_send_at: Seconds,
    #[serde(rename = "sent")]
    pub(crate) sent_rate: DecayingRate,
}

/// Whether a place serves, and how it comes back where it does not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct OutageState {
    pub(crate) health: Health,
    #[serde(rename = "served_at")]
    pub(crate) last_success_at: Seconds,
    /// When the latest call that was served had been sent.
    #[serde(rename = "overtook_at")]
    pub(crate) last_success_sent_at: Seconds,
    /// When the last call that failed was sent.
    #[serde(rename = "failed_at")]
    pub(crate) last_failure_sent_at: Seconds,
    #[serde(rename = "fails")]
    pub(crate) consecutive_failures: u32,
    /// Share of calls that is lost while it is in service.
    #[serde(rename = "lost")]
    pub(crate) baseline_loss: f64,
    #[serde(rename = "trial_at")]
    pub(crate) next_trial_at: Seconds,
    /// When it was back at the latest, while it returns.
    #[serde(default)]
    #[serde(rename = "found_at")]
    pub(crate) recovery_seen_at: Seconds,
    #[serde(rename = "trials")]
    pub(crate) trial_count: u32,
    #[serde(rename = "vouched")]
    pub(crate) probe_succeeded: bool,
}

/// What refusals told.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct OverloadBackoff {
    #[serde(rename = "fulls")]
    pub(crate) consecutive_overloads: u32,
    #[serde(rename = "full_since")]
    pub(crate) overloaded_since: Seconds,
    #[serde(rename = "full_at")]
    pub(crate) last_overload_at: Seconds,
    /// Calls that the place takes at once, found when it refused some, and when that was.
    #[serde(rename = "at_once")]
    pub(crate) concurrency_limit: Option<(f64, Seconds)>,
    #[serde(rename = "wait_until")]
    pub(crate) retry_after_until: Seconds,
    #[serde(rename = "pause_until")]
    pub(crate) backoff_until: Seconds,
}

/// Decayed means of the time of a call and of the share that fails.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServiceStats {
    #[serde(rename = "latency")]
    pub(crate) mean_latency: f64,
    #[serde(rename = "failing")]
    pub(crate) failure_share: f64,
    #[serde(rename = "learned_at")]
    pub(crate) updated_at: Seconds,
}

/// What was learned of a destination as a whole, or of one endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetState {
    #[serde(rename = "pace")]
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) outage: OutageState,
    #[serde(rename = "refusals")]
    pub(crate) backoff: OverloadBackoff,
    #[serde(rename = "service")]
    pub(crate) stats: ServiceStats,
    #[serde(rename = "out")]
    pub(crate) calls_in_flight: usize,
    /// Those of them that are waited for beyond the usual time-out.
    #[serde(rename = "overdue")]
    pub(crate) overdue_calls: usize,
}

impl TargetState {
    pub(crate) fn new(capacity: Option<f64>, latency: f64) -> Self {
        let never = f64::NEG_INFINITY;
        TargetState {
            rate_limiter: RateLimiter { capacity, own_share: 1.0, even_share: 1.0, ..Default::default() },
            outage: OutageState {
                last_success_at: never,
                last_success_sent_at: never,
                last_failure_sent_at: never,
                ..Default::default()
            },
            stats: ServiceStats { mean_latency: latency, updated_at: never, ..Default::default() },
            ..Default::default()
        }
    }

    fn call_finished(&mut self, call: &Call) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.overdue_calls = self.overdue_calls.saturating_sub(usize::from(call.overdue));
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Destination {
    #[serde(rename = "lane")]
    pub(crate) target: TargetState,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    #[serde(rename = "held")]
    pub(crate) queued: BTreeSet<MessageId>,
    /// Those of them that must not run twice.
    #[serde(rename = "risky")]
    pub(crate) queued_unsafe: usize,
    /// Messages that come for it.
    pub(crate) demand: DecayingRate,
    pub(crate) kind: usize,
    #[serde(rename = "apart")]
    pub(crate) independent_endpoints: bool,
    #[serde(rename = "batch")]
    pub(crate) max_batch: usize,
    /// The next life would hear that it is out.
    #[serde(rename = "remembered")]
    pub(crate) outage_recorded: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    #[serde(rename = "lane")]
    pub(crate) target: TargetState,
    pub(crate) destination: DestinationId,
    pub(crate) zone: u16,
    pub(crate) ready: bool,
    #[serde(rename = "used_at")]
    pub(crate) last_call_at: Seconds,
    /// Since when an idle connection is there, if one is.
    pub(crate) idle_since: Option<Seconds>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CallRef {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
}

/// What a customer may still hand in within its share.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct QuotaBalance {
    #[serde(rename = "left")]
    pub(crate) remaining: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Seconds,
}

/// The ledger of one message: what was sent and what may have run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MessageState {
    pub(crate) message: Message,
    #[serde(rename = "taken")]
    pub(crate) accepted_at: Seconds,
    pub(crate) attempts: u32,
    #[serde(rename = "out")]
    pub(crate) in_flight: Option<CallRef>,
    /// First attempt that may have run, and its zone.
    pub(crate) may_have_run: Option<(Seconds, u16)>,
    #[serde(rename = "over")]
    pub(crate) done: bool,
    /// Rejected in a call with others: one of them cannot be used.
    #[serde(rename = "alone")]
    pub(crate) unbatched: bool,
    /// Rejected by itself: no other attempt would fare better.
    #[serde(rename = "unusable")]
    pub(crate) undeliverable: bool,
    /// It came beyond its customer's share.
    #[serde(rename = "over_share")]
    pub(crate) over_quota: bool,
    /// An earlier life had taken it, and this one found it.
    #[serde(default)]
    #[serde(rename = "found")]
    pub(crate) recovered: bool,
}

impl MessageState {
    /// Whether a restart found it and nobody has called with it so far.
    pub(crate) fn is_untried_recovery(&self) -> bool {
        self.recovered && self.attempts == 0
    }

    pub(crate) fn new(message: Message, taken: Seconds, over_share: bool) -> Self {
        let (attempts, out, may_have_run) = (0, None, None);
        let (over, alone, unusable, found) = (false, false, false, false);
        MessageState {
            message,
            accepted_at: taken,
            attempts,
            in_flight: out,
            may_have_run,
            done: over,
            unbatched: alone,
            undeliverable: unusable,
            over_quota: over_share,
            recovered: found,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    #[serde(rename = "messages")]
    pub(crate) message_count: usize,
    /// The last message that joined it.
    #[serde(rename = "last")]
    pub(crate) last_message: MessageId,
    #[serde(rename = "pending")]
    pub(crate) pending_messages: usize,
    /// How long its connection had been idle; 0 for a new one.
    #[serde(rename = "idle")]
    pub(crate) connection_idle: Seconds,
    /// A message's time ends before the time that the call would get.
    #[serde(rename = "cut")]
    pub(crate) deadline_limited: bool,
    /// It is waited for as long as its message lives ...
    #[serde(rename = "risky")]
    pub(crate) carries_unsafe: bool,
    /// ... and any other call would have been given up by now.
    pub(crate) overdue: bool,
    /// It is broken off, and its end is awaited.
    #[serde(rename = "broken_off")]
    pub(crate) cancelled: bool,
}

impl Call {
    pub(crate) fn new(endpoint: EndpointId, sent_at: Seconds, idle: Seconds, risky: bool) -> Self {
        let (messages, pending, cut, overdue, broken_off) = (0, 0, false, false, false);
        let last = MessageId(u64::MAX);
        Call {
            endpoint,
            sent_at,
            message_count: messages,
            last_message: last,
            pending_messages: pending,
            connection_idle: idle,
            deadline_limited: cut,
            carries_unsafe: risky,
            overdue,
            cancelled: broken_off,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct KeyQueue {
    #[serde(rename = "queue")]
    pub(crate) messages: VecDeque<MessageId>,
    #[serde(rename = "rest_until")]
    pub(crate) cooldown_until: Seconds,
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
            target: TargetState::new(rate, latency),
            endpoints: BTreeSet::new(),
            queued: BTreeSet::new(),
            queued_unsafe: 0,
            demand: DecayingRate::default(),
            kind,
            independent_endpoints: traits.independent_endpoints,
            max_batch: traits.max_batch.max(1),
            outage_recorded: false,
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
    #[serde(rename = "parcels")]
    pub(crate) messages: BTreeMap<MessageId, MessageState>,
    pub(crate) calls: BTreeMap<u64, Call>,
    #[serde(rename = "counter")]
    pub(crate) last_number: u64,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    #[serde(rename = "lines")]
    pub(crate) key_queues: BTreeMap<OrderKey, KeyQueue>,
    /// By customer.
    #[serde(rename = "purses")]
    pub(crate) quota_balances: BTreeMap<usize, QuotaBalance>,
    /// Destinations with held messages; messages to look at this round; idle connections to close, when.
    #[serde(rename = "waiting")]
    pub(crate) queued_destinations: BTreeSet<DestinationId>,
    #[serde(rename = "review")]
    pub(crate) messages_to_review: Vec<MessageId>,
    #[serde(rename = "closing")]
    pub(crate) idle_closes: Vec<(Seconds, EndpointId)>,
    /// For how long an idle connection is kept, by kind, and since when that is known.
    #[serde(rename = "holds")]
    pub(crate) idle_limits: BTreeMap<usize, (Seconds, Seconds, u32)>,
    #[serde(rename = "answer_at")]
    pub(crate) next_review_at: Seconds,
    #[serde(rename = "silent_at")]
    pub(crate) next_silence_check_at: Seconds,
    #[serde(rename = "stalled_at")]
    pub(crate) last_stall_at: Seconds,
    #[serde(rename = "usual_latency")]
    pub(crate) mean_latency: f64,
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Seconds>,
    /// What was decided between two rounds: ends of messages of no known class, outages to remember.
    #[serde(rename = "decided")]
    pub(crate) pending_actions: Vec<Action>,
    /// Out when an earlier life ended, and not listed in this one so far.
    #[serde(rename = "recalled")]
    pub(crate) recovered_outages: BTreeSet<DestinationId>,
    #[serde(rename = "ended")]
    pub(crate) ended_messages: (BTreeSet<MessageId>, VecDeque<MessageId>),
    #[serde(rename = "ask_at")]
    pub(crate) next_subscribe_at: Seconds,
    #[serde(rename = "asked")]
    pub(crate) subscribe_sent: bool,
    #[serde(rename = "asks")]
    pub(crate) failed_subscribes: u32,
    pub(crate) timer: Option<(u32, Seconds)>,
    #[serde(rename = "notes")]
    pub(crate) log_lines: Vec<String>,
    #[serde(rename = "noted")]
    pub(crate) log_line_count: u32,
    /// When this dispatcher stops.
    #[serde(rename = "closing_at")]
    pub(crate) shutdown_at: Seconds,
    /// Whether calls can be put on record.
    #[serde(default)]
    #[serde(rename = "storage")]
    pub(crate) journal: Storage,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet; `seed` feeds its jitter.
    ///
    /// # Errors
    ///
    /// If a setting makes no sense; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher::with_latency(settings, seed, UNKNOWN_LATENCY))
    }

    fn with_latency(settings: Settings, seed: u64, latency: Seconds) -> Self {
        Dispatcher {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            messages: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_number: 0,
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            quota_balances: BTreeMap::new(),
            queued_destinations: BTreeSet::new(),
            messages_to_review: Vec::new(),
            idle_closes: Vec::new(),
            idle_limits: BTreeMap::new(),
            next_review_at: f64::INFINITY,
            next_silence_check_at: f64::INFINITY,
            last_stall_at: f64::NEG_INFINITY,
            mean_latency: latency,
            journal: Storage::default(),
            started_at: None,
            pending_actions: Vec::new(),
            recovered_outages: BTreeSet::new(),
            ended_messages: Default::default(),
            next_subscribe_at: f64::NEG_INFINITY,
            subscribe_sent: false,
            failed_subscribes: 0,
            timer: None,
            log_lines: Vec::new(),
            log_line_count: 0,
            shutdown_at: f64::INFINITY,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether a message is in mind that is not over.
    pub fn is_active(&self, id: MessageId) -> bool {
        self.messages.get(&id).is_some_and(|parcel| !parcel.done)
    }

    /// The messages that are out, in the order of their ids.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let out = self.messages.iter().filter_map(|(id, parcel)| Some((id, parcel, parcel.in_flight?)));
        let out = out.map(|(id, parcel, CallRef { endpoint, call })| InFlightAttempt {
            id: *id,
            endpoint,
            attempt: parcel.attempts.saturating_sub(1),
            sent_at: self.calls.get(&call).map_or(f64::NEG_INFINITY, |call| call.sent_at),
        });
        out.collect()
    }

    /// The calls that carry one message: it, the attempt's number, the call and its endpoint's lane.
    pub(crate) fn single_message_calls(
        &mut self,
    ) -> impl Iterator<Item = (MessageId, u32, &mut Call, &TargetState)> {
        let (parcels, endpoints) = (&self.messages, &self.endpoints);
        self.calls.values_mut().filter(|call| call.message_count == 1).filter_map(|call| {
            let attempt = parcels.get(&call.last_message)?.attempts.saturating_sub(1);
            let lane = &endpoints.get(&call.endpoint)?.target;
            Some((call.last_message, attempt, call, lane))
        })
    }

    /// Another process goes on with this state, on the same clock: what the old one had pending with its surroundings
    /// (its timer, its subscription, its own end) is gone.
    pub fn resume_in_new_process(&mut self) {
        (self.timer, self.shutdown_at) = (None, f64::INFINITY);
        (self.next_subscribe_at, self.subscribe_sent, self.failed_subscribes) = (f64::NEG_INFINITY, false, 0);
    }

    /// Takes a message out of its call; gives the call once it was the last one in it.
    pub(crate) fn leave_call(&mut self, flight: CallRef) -> Option<Call> {
        let call = self.calls.get_mut(&flight.call)?;
        call.pending_messages -= 1;
        if call.pending_messages > 0 {
            return None;
        }
        let call = self.calls.remove(&flight.call)?;
        if let Some(endpoint) = self.endpoints.get_mut(&flight.endpoint) {
            endpoint.target.call_finished(&call);
            if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
                destination.target.call_finished(&call);
            }
        }
        Some(call)
    }

    /// The lanes of a destination that count a limit: its own, or those of its endpoints, where they are apart, too.
    pub(crate) fn for_each_limited_target(
        &mut self, number: DestinationId, mut with: impl FnMut(&mut TargetState),
    ) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        with(&mut destination.target);
        for id in destination.endpoints.iter().filter(|_| destination.independent_endpoints) {
            self.endpoints.entry(*id).and_modify(|e| with(&mut e.target));
        }
    }

    /// The lanes that a call to the endpoint is booked on.
    pub(crate) fn for_each_call_target(
        &mut self, endpoint: EndpointId,
        mut with: impl FnMut(&mut TargetState, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        with(&mut e.target, &self.settings.slow_start, &mut self.rng);
        if let Some(destination) =
            self.destinations.get_mut(&e.destination).filter(|d| !d.independent_endpoints)
        {
            with(&mut destination.target, &self.settings.slow_start, &mut self.rng);
        }
    }

    /// A destination's own lane and those of its endpoints.
    pub(crate) fn for_each_target(
        &mut self, number: DestinationId,
        mut with: impl FnMut(&mut TargetState, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        with(&mut destination.target, &self.settings.slow_start, &mut self.rng);
        for id in &destination.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                with(&mut endpoint.target, &self.settings.slow_start, &mut self.rng);
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
        let out = |lane: &TargetState| {
            lane.outage.health == Health::Unavailable || lane.backoff.retry_after_until > now
        };
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.independent_endpoints);
        out(&endpoint.target) || destination.is_some_and(|destination| out(&destination.target))
    }

    /// The lane of an endpoint's limit: its own, or its destination's.
    pub(crate) fn limited_target(&self, endpoint: EndpointId) -> Option<&TargetState> {
        let endpoint = self.endpoints.get(&endpoint)?;
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.independent_endpoints);
        Some(destination.map_or(&endpoint.target, |destination| &destination.target))
    }

    /// Counts a message of a customer now; whether it comes beyond its share.
    pub(crate) fn count_against_quota(&mut self, now: Seconds, tenant: usize) -> bool {
        let Some(share) = self.quota_status(now, tenant) else { return false };
        self.set_quota_balance(now, tenant, share.remaining, now);
        share.over
    }

    /// What an earlier life knew of a message.
    pub(crate) fn restore_message(
        &mut self, id: MessageId, taken: Seconds, attempts: u32, may_have_run: Option<(Seconds, u16)>,
    ) {
        if let Some(parcel) = self.messages.get_mut(&id) {
            (parcel.accepted_at, parcel.attempts, parcel.may_have_run) = (taken, attempts, may_have_run);
            parcel.recovered = true;
        }
    }

    pub(crate) fn set_quota_balance(&mut self, now: Seconds, tenant: usize, left: f64, at: Seconds) {
        if tenant < self.settings.tenants.len() && left >= 0.0 {
            self.quota_balances.insert(tenant, QuotaBalance { remaining: left, updated_at: at.min(now) });
        }
    }

    /// A timer for that time, where none is set that comes as early.
    pub(crate) fn schedule_timer(&mut self, now: Seconds, wake: Seconds) -> Option<Action> {
        if !wake.is_finite() || self.timer.is_some_and(|(_, at)| at <= wake && at >= now) {
            return None;
        }
        self.last_number += 1;
        let (token, at) = (self.last_number as u32, wake.max(now + 0.001));
        self.timer = Some((token, at));
        Some(Action::SetTimer { token, at })
    }

    /// Puts a message among the held ones of its destination.
    pub(crate) fn enqueue(&mut self, message: &Message) {
        self.queued_destinations.insert(message.destination);
        self.messages_to_review.push(message.id);
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        let risky = self.settings.classes.get(message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.queued_unsafe += usize::from(destination.queued.insert(message.id) && risky);
    }

    /// Takes a message from the held ones.
    pub(crate) fn dequeue(&mut self, id: MessageId) {
        let Some(parcel) = self.messages.get(&id) else { return };
        let number = parcel.message.destination;
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let risky =
            self.settings.classes.get(parcel.message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.queued_unsafe -= usize::from(destination.queued.remove(&id) && risky);
        if destination.queued.is_empty() {
            self.queued_destinations.remove(&number);
            // Nothing is kept of a destination that was never listed.
            if destination.kind == usize::MAX {
                self.destinations.remove(&number);
            }
        }
    }

    /// Nobody wants a message any more; one that is out is waited for.
    pub(crate) fn withdraw(&mut self, id: MessageId, kept: usize) {
        if let Some(parcel) = self.messages.get_mut(&id) {
            parcel.done = true;
            self.remove_if_settled(id, kept);
        }
    }

    /// Closes the idle connections that are due, and tells when the next ones are.
    pub(crate) fn close_idle_connections(
        &mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds,
    ) {
        let endpoints = &mut self.endpoints;
        self.idle_closes.retain(|(at, id)| {
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
    pub(crate) fn remove_if_settled(&mut self, id: MessageId, kept: usize) {
        self.dequeue(id);
        let Some(parcel) = self.messages.get(&id).filter(|p| p.done && p.in_flight.is_none()) else { return };
        if let Some(line) = parcel.message.key.and_then(|key| self.key_queues.get_mut(&key)) {
            line.messages.retain(|other| *other != id);
        }
        self.messages.remove(&id);
        self.ended_messages.1.extend(self.ended_messages.0.insert(id).then_some(id));
        if self.ended_messages.1.len() > kept
            && let Some(old) = self.ended_messages.1.pop_front()
        {
            self.ended_messages.0.remove(&old);
        }
    }

    /// Drops an endpoint that is off the list once nothing is out there.
    pub(crate) fn remove_if_unlisted(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id).filter(|e| !e.ready && e.target.calls_in_flight == 0)
        else {
            return;
        };
        if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
            destination.endpoints.remove(&id);
        }
        self.endpoints.remove(&id);
    }

    /// Notes a change of health for the log.
    pub(crate) fn log_health_change(
        &mut self, most: u32, place: &str, number: u64, was: Health, is: Health, cause: Outcome,
    ) {
        if std::mem::discriminant(&was) != std::mem::discriminant(&is) && self.log_line_count < most {
            self.log_line_count += 1;
            self.log_lines.push(format!("{place} {number}: {was:?} -> {is:?} after {cause:?}"));
        }
    }

    /// Copies lines of the list.
    pub(crate) fn update_endpoints(&mut self, entries: Vec<EndpointEntry>, whole: bool, latency: Seconds) {
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
            (destination.kind, destination.independent_endpoints, destination.max_batch) =
                (entry.kind, kind.independent_endpoints, kind.max_batch.max(1));
            destination.endpoints.insert(entry.endpoint);
            destination.target.rate_limiter.capacity = rate.or(destination.target.rate_limiter.capacity);
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint {
                target: TargetState::new(rate, latency),
                destination: entry.destination,
                zone: entry.zone,
                ready: false,
                last_call_at: f64::NEG_INFINITY,
                idle_since: None,
            });
            endpoint.ready = entry.state == EndpointState::Ready;
            endpoint.zone = entry.zone;
            changed.insert(entry.destination);
        }
        let old: Vec<_> = self.endpoints.iter().filter(|(_, e)| !e.ready).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|id| self.remove_if_unlisted(id));
        // Endpoints that share a limit take even parts of it.
        for number in changed {
            let Some(destination) = self.destinations.get(&number).filter(|d| !d.independent_endpoints)
            else {
                continue;
            };
            let endpoints = destination.endpoints.len().max(1) as f64;
            let part = destination.target.rate_limiter.capacity.map(|rate| rate / endpoints);
            for id in &destination.endpoints {
                self.endpoints.entry(*id).and_modify(|e| e.target.rate_limiter.capacity = part);
            }
        }
    }
}
