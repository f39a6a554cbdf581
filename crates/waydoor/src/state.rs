//! The state of a dispatcher: plain data and its bookkeeping, without decisions or tuned constants. The
//! modules under `src/policy` read and change it.

use crate::interface::*;
use crate::policy::DEFAULT_LATENCY_SECONDS;
use crate::policy::journaling::JournalHealth;
use crate::policy::list_confirmation::ListConfirmation;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whether a target is available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// Calls are unanswered for too long; none has failed yet.
    Suspect,
    /// All calls fail or are rejected; only trials are sent.
    #[serde(rename = "Shut")]
    Unavailable,
    /// Serves again since this time and may still be cold.
    #[serde(rename = "Returning")]
    Recovering(Seconds),
}

/// Whether a call may be sent now.
pub(crate) enum Admission {
    Open,
    /// As a trial, which tests whether the target is available again.
    TrialOnly,
    /// Not before this time.
    ClosedUntil(Seconds),
}

/// An exponentially decaying count of events a second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    pub(crate) per_second: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Seconds,
}

impl DecayingRate {
    pub(crate) fn value_at(&self, now: Seconds, time_constant: f64) -> f64 {
        self.per_second * (-(now - self.updated_at) / time_constant).exp()
    }

    pub(crate) fn record_event(&mut self, now: Seconds, time_constant: f64) {
        (self.per_second, self.updated_at) = (self.value_at(now, time_constant) + 1.0 / time_constant, now);
    }
}

/// The rate at which this dispatcher calls a target whose limit is shared by all dispatchers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RateLimiter {
    /// Calls a second that the target accepts from all dispatchers, if listed or reported.
    pub(crate) capacity: Option<f64>,
    /// The rate limit applies to this target: a destination, or each of its endpoints if they are
    /// independent.
    #[serde(rename = "limited")]
    pub(crate) enforces_limit: bool,
    /// The target reported that it has no rate limit, so only its capacity bounds it.
    #[serde(rename = "uncounted")]
    pub(crate) unlimited: bool,
    /// Share of the capacity that this dispatcher uses, from its part of the demand.
    #[serde(rename = "part")]
    pub(crate) own_share: f64,
    /// Share of the capacity if all dispatchers used equal parts.
    #[serde(rename = "even")]
    pub(crate) even_share: f64,
    /// Calls a second, and the time at which this rate was learned.
    #[serde(rename = "rate")]
    pub(crate) learned_rate: Option<(f64, Seconds)>,
    /// When the next call is due.
    #[serde(rename = "due")]
    pub(crate) next_send_at: Seconds,
    /// Calls a second that were sent.
    #[serde(rename = "sent")]
    pub(crate) sent_rate: DecayingRate,
}

/// Whether a target is available, and how it recovers if not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct OutageState {
    pub(crate) health: Health,
    /// When the last served call ended.
    #[serde(rename = "served_at")]
    pub(crate) last_success_at: Seconds,
    /// When the most recently sent call among those that were served was sent.
    #[serde(rename = "overtook_at")]
    pub(crate) last_success_sent_at: Seconds,
    /// When the most recently sent call among those that failed was sent.
    #[serde(rename = "failed_at")]
    pub(crate) last_failure_sent_at: Seconds,
    /// Failures since the last served call.
    #[serde(rename = "fails")]
    pub(crate) consecutive_failures: u32,
    /// Share of calls that fails while the target is available.
    #[serde(rename = "lost")]
    pub(crate) baseline_loss: f64,
    /// When the next trial may be sent.
    #[serde(rename = "trial_at")]
    pub(crate) next_trial_at: Seconds,
    /// When a served call first proved the recovery.
    #[serde(default)]
    #[serde(rename = "found_at")]
    pub(crate) recovery_seen_at: Seconds,
    /// Trials since the target became suspect or unavailable.
    #[serde(rename = "trials")]
    pub(crate) trial_count: u32,
    /// A health probe succeeded since the last trial.
    #[serde(rename = "vouched")]
    pub(crate) probe_succeeded: bool,
}

/// What rejections because of overload imply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct OverloadBackoff {
    /// Rejections since the last served call; those sent before the last counted one ended do not count.
    #[serde(rename = "fulls")]
    pub(crate) consecutive_overloads: u32,
    /// When the first of them arrived.
    #[serde(rename = "full_since")]
    pub(crate) overloaded_since: Seconds,
    /// When the last of them arrived.
    #[serde(rename = "full_at")]
    pub(crate) last_overload_at: Seconds,
    /// Calls that the target accepts at once, derived from a rejection, and the time of that rejection.
    #[serde(rename = "at_once")]
    pub(crate) concurrency_limit: Option<(f64, Seconds)>,
    /// No calls until then, because of a retry-after.
    #[serde(rename = "wait_until")]
    pub(crate) retry_after_until: Seconds,
    /// No calls until then, after a rejection without a retry-after.
    #[serde(rename = "pause_until")]
    pub(crate) backoff_until: Seconds,
}

/// Decaying means of the call latency and of the share of failed calls.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServiceStats {
    #[serde(rename = "latency")]
    pub(crate) mean_latency: f64,
    #[serde(rename = "failing")]
    pub(crate) failure_share: f64,
    #[serde(rename = "learned_at")]
    pub(crate) updated_at: Seconds,
}

/// What is known about a target, which is a destination as a whole or one endpoint.
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
    pub(crate) in_flight: usize,
    /// Those of them that take longer than the usual timeout.
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
                recovery_seen_at: never,
                ..Default::default()
            },
            stats: ServiceStats { mean_latency: latency, updated_at: never, ..Default::default() },
            ..Default::default()
        }
    }

    fn call_finished(&mut self, call: &Call) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue_calls = self.overdue_calls.saturating_sub(usize::from(call.overdue));
    }
}

/// The state of a destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Destination {
    #[serde(rename = "lane")]
    pub(crate) target: TargetState,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// Messages without an attempt in flight.
    #[serde(rename = "held")]
    pub(crate) queued: BTreeSet<MessageId>,
    /// Those of them whose class is unsafe to repeat.
    #[serde(rename = "risky")]
    pub(crate) queued_unsafe: usize,
    /// Messages that arrive for the destination.
    pub(crate) demand: DecayingRate,
    /// Index of the settings' kinds; `usize::MAX` for a destination that no list has named.
    pub(crate) kind: usize,
    #[serde(rename = "apart")]
    pub(crate) independent_endpoints: bool,
    #[serde(rename = "batch")]
    pub(crate) max_batch: usize,
    /// The last recorded state says that it is unavailable or recovering.
    #[serde(rename = "remembered")]
    pub(crate) outage_recorded: bool,
}

/// The state of an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    #[serde(rename = "lane")]
    pub(crate) target: TargetState,
    pub(crate) destination: DestinationId,
    pub(crate) zone: u16,
    /// It may get new calls.
    pub(crate) ready: bool,
    #[serde(rename = "used_at")]
    pub(crate) last_call_at: Seconds,
    /// Since when an idle connection exists, if one does.
    pub(crate) idle_since: Option<Seconds>,
}

/// The call that carries an attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CallRef {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
}

/// What a tenant may still send within its quota.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct QuotaBalance {
    #[serde(rename = "left")]
    pub(crate) remaining: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Seconds,
}

/// The state of one message: what was sent, and what may have run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MessageState {
    pub(crate) message: Message,
    #[serde(rename = "taken")]
    pub(crate) accepted_at: Seconds,
    pub(crate) attempts: u32,
    /// The call of the current attempt.
    #[serde(rename = "out")]
    pub(crate) call: Option<CallRef>,
    /// When the first attempt that may have run was sent, and the zone of its endpoint.
    pub(crate) may_have_run: Option<(Seconds, u16)>,
    /// It needs no further attempt.
    #[serde(rename = "over")]
    pub(crate) done: bool,
    /// Rejected as invalid in a call with others, one of which is at fault: it gets a call of its own.
    #[serde(rename = "alone")]
    pub(crate) unbatched: bool,
    /// Rejected as invalid in a call of its own: no other attempt would succeed.
    #[serde(rename = "unusable")]
    pub(crate) undeliverable: bool,
    /// It exceeded its tenant's quota.
    #[serde(rename = "over_share")]
    pub(crate) over_quota: bool,
    /// A previous process accepted it, and this one recovered it.
    #[serde(default)]
    #[serde(rename = "found")]
    pub(crate) recovered: bool,
}

impl MessageState {
    /// Whether it was recovered after a restart and this process has not attempted it yet.
    pub(crate) fn is_untried_recovery(&self) -> bool {
        self.recovered && self.attempts == 0
    }

    pub(crate) fn new(message: Message, accepted_at: Seconds, over_quota: bool) -> Self {
        let (attempts, call, may_have_run) = (0, None, None);
        let (done, unbatched, undeliverable, recovered) = (false, false, false, false);
        MessageState {
            message,
            accepted_at,
            attempts,
            call,
            may_have_run,
            done,
            unbatched,
            undeliverable,
            over_quota,
            recovered,
        }
    }
}

/// A call in flight, with one or more messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    #[serde(rename = "messages")]
    pub(crate) message_count: usize,
    /// The last message that was added to it.
    #[serde(rename = "last")]
    pub(crate) last_message: MessageId,
    /// Messages whose attempt has not ended.
    #[serde(rename = "pending")]
    pub(crate) pending_messages: usize,
    /// How long its connection had been idle; 0 for a new one.
    #[serde(rename = "idle")]
    pub(crate) connection_idle: Seconds,
    /// The deadline of a message ends before the timeout that the call would get.
    #[serde(rename = "cut")]
    pub(crate) deadline_limited: bool,
    /// It carries an unsafe message and is awaited until the deadline ...
    #[serde(rename = "risky")]
    pub(crate) carries_unsafe: bool,
    /// ... and any other call would have timed out by now.
    pub(crate) overdue: bool,
    /// It is being cancelled, and its end is awaited.
    #[serde(rename = "broken_off")]
    pub(crate) cancelled: bool,
}

impl Call {
    pub(crate) fn new(
        endpoint: EndpointId, sent_at: Seconds, connection_idle: Seconds, carries_unsafe: bool,
    ) -> Self {
        let (message_count, pending_messages, deadline_limited, overdue, cancelled) =
            (0, 0, false, false, false);
        let last_message = MessageId(u64::MAX);
        Call {
            endpoint,
            sent_at,
            message_count,
            last_message,
            pending_messages,
            connection_idle,
            deadline_limited,
            carries_unsafe,
            overdue,
            cancelled,
        }
    }
}

/// The messages of one order key, of which only the first may be sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct KeyQueue {
    #[serde(rename = "queue")]
    pub(crate) messages: VecDeque<MessageId>,
    /// No new message is started until then, since an attempt may still run.
    #[serde(rename = "rest_until")]
    pub(crate) cooldown_until: Seconds,
}

impl Destination {
    /// A destination that no list has named so far.
    pub(crate) fn unlisted() -> Self {
        Destination::new(
            None,
            DEFAULT_LATENCY_SECONDS,
            usize::MAX,
            DestinationKind { independent_endpoints: false, max_batch: 1 },
        )
    }

    pub(crate) fn new(rate: Option<f64>, latency: f64, kind: usize, properties: DestinationKind) -> Self {
        Destination {
            target: TargetState::new(rate, latency),
            endpoints: BTreeSet::new(),
            queued: BTreeSet::new(),
            queued_unsafe: 0,
            demand: DecayingRate::default(),
            kind,
            independent_endpoints: properties.independent_endpoints,
            max_batch: properties.max_batch.max(1),
            outage_recorded: false,
        }
    }
}

fn serialize_rng<S: Serializer>(rng: &fastrand::Rng, serializer: S) -> Result<S::Ok, S::Error> {
    rng.get_seed().serialize(serializer)
}

fn deserialize_rng<'a, D: Deserializer<'a>>(deserializer: D) -> Result<fastrand::Rng, D::Error> {
    u64::deserialize(deserializer).map(fastrand::Rng::with_seed)
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightAttempt {
    /// The message.
    pub id: MessageId,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Seconds,
}

/// One dispatcher: takes events with [`handle`](Dispatcher::handle) and returns actions from
/// [`decide`](Dispatcher::decide).
///
/// Its serialised form is for the process that takes over in an upgrade and needs the same fields: a program
/// with other fields cannot read it and starts from the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    #[serde(serialize_with = "serialize_rng", deserialize_with = "deserialize_rng")]
    pub(crate) rng: fastrand::Rng,
    #[serde(rename = "parcels")]
    pub(crate) messages: BTreeMap<MessageId, MessageState>,
    pub(crate) calls: BTreeMap<u64, Call>,
    /// The last number given to a call or a timer.
    #[serde(rename = "counter")]
    pub(crate) last_number: u64,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    #[serde(rename = "lines")]
    pub(crate) key_queues: BTreeMap<OrderKey, KeyQueue>,
    /// By tenant.
    #[serde(rename = "purses")]
    pub(crate) quota_balances: BTreeMap<usize, QuotaBalance>,
    /// Destinations with queued messages.
    #[serde(rename = "waiting")]
    pub(crate) queued_destinations: BTreeSet<DestinationId>,
    /// Messages to check in the next round for an end without delivery.
    #[serde(rename = "review")]
    pub(crate) messages_to_review: Vec<MessageId>,
    /// When idle connections are to be closed.
    #[serde(rename = "closing")]
    pub(crate) idle_closes: Vec<(Seconds, EndpointId)>,
    /// By kind of destination: how long an idle connection is kept, when this was learned, and the number of
    /// successive failures of idle connections.
    #[serde(rename = "holds")]
    pub(crate) idle_limits: BTreeMap<usize, (Seconds, Seconds, u32)>,
    /// When all messages are checked for an end without delivery.
    #[serde(rename = "answer_at")]
    pub(crate) next_review_at: Seconds,
    /// When calls in flight are checked for a missing answer.
    #[serde(rename = "silent_at")]
    pub(crate) next_silence_check_at: Seconds,
    /// The last round that came late because this process stalled.
    #[serde(rename = "stalled_at")]
    pub(crate) last_stall_at: Seconds,
    /// Mean latency over all destinations.
    #[serde(rename = "usual_latency")]
    pub(crate) mean_latency: f64,
    /// When the first message or answer was handled.
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Seconds>,
    /// Actions for the next round: ends of messages of an unknown class, and outages to record.
    #[serde(rename = "decided")]
    pub(crate) pending_actions: Vec<Action>,
    /// Destinations that were unavailable when the previous process ended and are not listed yet.
    #[serde(rename = "recalled")]
    pub(crate) recovered_outages: BTreeSet<DestinationId>,
    /// Messages that ended, as a set and in the order of their ends: repeated events are ignored.
    #[serde(rename = "ended")]
    pub(crate) ended_messages: (BTreeSet<MessageId>, VecDeque<MessageId>),
    /// When to subscribe to the list of endpoints again.
    #[serde(rename = "ask_at")]
    pub(crate) next_subscribe_at: Seconds,
    /// This process has subscribed.
    #[serde(rename = "asked")]
    pub(crate) subscribe_sent: bool,
    /// When the subscription request was sent that has no answer yet.
    #[serde(skip)]
    pub(crate) subscribe_sent_at: Option<Seconds>,
    /// When the subscription last showed a sign of life.
    #[serde(skip)]
    pub(crate) subscription_alive_at: Seconds,
    /// Consecutive requests that were queued for too long. A new process begins with one: many may start at once.
    #[serde(skip)]
    pub(crate) queued_subscribes: u32,
    /// Consecutive failures to subscribe.
    #[serde(rename = "asks")]
    pub(crate) failed_subscribes: u32,
    /// Token and time of the timer that is set.
    pub(crate) timer: Option<(u32, Seconds)>,
    #[serde(rename = "notes")]
    pub(crate) log_lines: Vec<String>,
    /// Log lines of this process so far.
    #[serde(rename = "noted")]
    pub(crate) log_line_count: u32,
    /// When this dispatcher stops.
    #[serde(rename = "closing_at")]
    pub(crate) shutdown_at: Seconds,
    /// Whether attempts can be recorded.
    #[serde(default)]
    #[serde(rename = "storage")]
    pub(crate) journal: JournalHealth,
    /// Whether the list may be used for calls.
    #[serde(default)]
    pub(crate) list_confirmation: ListConfirmation,
}

impl Dispatcher {
    /// A dispatcher in its initial state; `seed` determines its jitter.
    ///
    /// # Errors
    ///
    /// If a setting is out of its range; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher::with_latency(settings, seed, DEFAULT_LATENCY_SECONDS))
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
            journal: JournalHealth::default(),
            started_at: None,
            pending_actions: Vec::new(),
            recovered_outages: BTreeSet::new(),
            ended_messages: Default::default(),
            next_subscribe_at: f64::NEG_INFINITY,
            subscribe_sent: false,
            subscribe_sent_at: None,
            queued_subscribes: 1,
            subscription_alive_at: f64::NEG_INFINITY,
            failed_subscribes: 0,
            timer: None,
            log_lines: Vec::new(),
            log_line_count: 0,
            shutdown_at: f64::INFINITY,
            list_confirmation: ListConfirmation::default(),
        }
    }

    /// The settings it was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether the message is queued or in flight and not withdrawn or ended.
    pub fn is_active(&self, id: MessageId) -> bool {
        self.messages.get(&id).is_some_and(|state| !state.done)
    }

    /// The attempts in flight, in the order of their message ids.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let attempts = self.messages.iter().filter_map(|(id, state)| Some((id, state, state.call?)));
        let attempts = attempts.map(|(id, state, CallRef { endpoint, call })| InFlightAttempt {
            id: *id,
            endpoint,
            attempt: state.attempts.saturating_sub(1),
            sent_at: self.calls.get(&call).map_or(f64::NEG_INFINITY, |call| call.sent_at),
        });
        attempts.collect()
    }

    /// The calls that carry one message each: the message, the attempt's number, the call and its endpoint's
    /// state.
    pub(crate) fn single_message_calls(
        &mut self,
    ) -> impl Iterator<Item = (MessageId, u32, &mut Call, &TargetState)> {
        let (messages, endpoints) = (&self.messages, &self.endpoints);
        self.calls.values_mut().filter(|call| call.message_count == 1).filter_map(|call| {
            let attempt = messages.get(&call.last_message)?.attempts.saturating_sub(1);
            let target = &endpoints.get(&call.endpoint)?.target;
            Some((call.last_message, attempt, call, target))
        })
    }

    /// Continues this state in another process on the same clock: the timer, the subscription and the
    /// shutdown of the old process no longer apply.
    pub fn resume_in_new_process(&mut self) {
        (self.timer, self.shutdown_at) = (None, f64::INFINITY);
        (self.next_subscribe_at, self.subscribe_sent, self.failed_subscribes) = (f64::NEG_INFINITY, false, 0);
        (self.subscribe_sent_at, self.queued_subscribes) = (None, 1);
    }

    /// Removes a message from its call; returns the call if that was its last message.
    pub(crate) fn leave_call(&mut self, call_ref: CallRef) -> Option<Call> {
        let call = self.calls.get_mut(&call_ref.call)?;
        call.pending_messages -= 1;
        if call.pending_messages > 0 {
            return None;
        }
        let call = self.calls.remove(&call_ref.call)?;
        if let Some(endpoint) = self.endpoints.get_mut(&call_ref.endpoint) {
            endpoint.target.call_finished(&call);
            if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
                destination.target.call_finished(&call);
            }
        }
        Some(call)
    }

    /// Calls `update` with a destination's own state, and with those of its endpoints if they are
    /// independent.
    pub(crate) fn for_each_limited_target(
        &mut self, id: DestinationId,
        mut update: impl FnMut(&mut TargetState, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let (slow_start, rng) = (&self.settings.slow_start, &mut self.rng);
        update(&mut destination.target, slow_start, rng);
        for endpoint in destination.endpoints.iter().filter(|_| destination.independent_endpoints) {
            self.endpoints.entry(*endpoint).and_modify(|e| update(&mut e.target, slow_start, rng));
        }
    }

    /// Calls `update` with each target that a call to the endpoint counts against.
    pub(crate) fn for_each_call_target(
        &mut self, endpoint: EndpointId,
        mut update: impl FnMut(&mut TargetState, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        update(&mut e.target, &self.settings.slow_start, &mut self.rng);
        if let Some(destination) =
            self.destinations.get_mut(&e.destination).filter(|d| !d.independent_endpoints)
        {
            update(&mut destination.target, &self.settings.slow_start, &mut self.rng);
        }
    }

    /// Calls `update` with the state of a destination and those of its endpoints.
    pub(crate) fn for_each_target(
        &mut self, id: DestinationId,
        mut update: impl FnMut(&mut TargetState, &SlowStart, &mut fastrand::Rng),
    ) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        update(&mut destination.target, &self.settings.slow_start, &mut self.rng);
        for endpoint_id in &destination.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint_id) {
                update(&mut endpoint.target, &self.settings.slow_start, &mut self.rng);
            }
        }
    }

    /// Whether a list has named the destination; messages for any other cannot be delivered for now.
    pub fn is_listed(&self, destination: DestinationId) -> bool {
        self.destinations.get(&destination).is_some_and(|destination| destination.kind != usize::MAX)
    }

    /// Whether an endpoint gets nothing but trials now: it or its destination is unavailable or sent a
    /// retry-after that has not passed.
    pub fn is_unavailable(&self, now: Seconds, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return false };
        let is_closed = |target: &TargetState| {
            target.outage.health == Health::Unavailable || target.backoff.retry_after_until > now
        };
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.independent_endpoints);
        is_closed(&endpoint.target) || destination.is_some_and(|destination| is_closed(&destination.target))
    }

    /// The target that an endpoint's rate limit applies to: itself or its destination.
    pub(crate) fn limited_target(&self, endpoint: EndpointId) -> Option<&TargetState> {
        let endpoint = self.endpoints.get(&endpoint)?;
        let destination = self.destinations.get(&endpoint.destination).filter(|d| !d.independent_endpoints);
        Some(destination.map_or(&endpoint.target, |destination| &destination.target))
    }

    /// Counts a message against its tenant's quota; returns whether it exceeds it.
    pub(crate) fn count_against_quota(&mut self, now: Seconds, tenant: usize) -> bool {
        let Some(status) = self.quota_status(now, tenant) else { return false };
        self.set_quota_balance(now, tenant, status.remaining, now);
        status.over
    }

    /// Restores what a previous process recorded about a message.
    pub(crate) fn restore_message(
        &mut self, id: MessageId, accepted_at: Seconds, attempts: u32, may_have_run: Option<(Seconds, u16)>,
    ) {
        if let Some(state) = self.messages.get_mut(&id) {
            (state.accepted_at, state.attempts, state.may_have_run) = (accepted_at, attempts, may_have_run);
            state.recovered = true;
        }
    }

    pub(crate) fn set_quota_balance(&mut self, now: Seconds, tenant: usize, remaining: f64, at: Seconds) {
        if tenant < self.settings.tenants.len() && remaining >= 0.0 {
            self.quota_balances.insert(tenant, QuotaBalance { remaining, updated_at: at.min(now) });
        }
    }

    /// Sets a timer, unless one is set that fires at least as early.
    pub(crate) fn schedule_timer(&mut self, now: Seconds, wake_at: Seconds) -> Option<Action> {
        if !wake_at.is_finite() || self.timer.is_some_and(|(_, at)| at <= wake_at && at >= now) {
            return None;
        }
        self.last_number += 1;
        let (token, at) = (self.last_number as u32, wake_at.max(now + 0.001));
        self.timer = Some((token, at));
        Some(Action::SetTimer { token, at })
    }

    /// Adds a message to the queue of its destination.
    pub(crate) fn enqueue(&mut self, message: &Message) {
        self.queued_destinations.insert(message.destination);
        self.messages_to_review.push(message.id);
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        let is_unsafe = self.settings.classes.get(message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.queued_unsafe += usize::from(destination.queued.insert(message.id) && is_unsafe);
    }

    /// Removes a message from the queue of its destination.
    pub(crate) fn dequeue(&mut self, id: MessageId) {
        let Some(state) = self.messages.get(&id) else { return };
        let destination_id = state.message.destination;
        let Some(destination) = self.destinations.get_mut(&destination_id) else { return };
        let is_unsafe =
            self.settings.classes.get(state.message.class).is_some_and(|c| c.effect == Effect::Unsafe);
        destination.queued_unsafe -= usize::from(destination.queued.remove(&id) && is_unsafe);
        if destination.queued.is_empty() {
            self.queued_destinations.remove(&destination_id);
            // A destination that was never listed is only kept while it has messages.
            if destination.kind == usize::MAX {
                self.destinations.remove(&destination_id);
            }
        }
    }

    /// The client no longer wants the message; an attempt in flight is still awaited.
    pub(crate) fn withdraw(&mut self, id: MessageId, max_kept: usize) {
        if let Some(state) = self.messages.get_mut(&id) {
            state.done = true;
            self.remove_if_settled(id, max_kept);
        }
    }

    /// Closes the idle connections that are due, and lowers `wake_at` to the next one.
    pub(crate) fn close_idle_connections(
        &mut self, now: Seconds, actions: &mut Vec<Action>, wake_at: &mut Seconds,
    ) {
        let endpoints = &mut self.endpoints;
        self.idle_closes.retain(|(at, id)| {
            if now < *at {
                *wake_at = wake_at.min(*at);
                return true;
            }
            // A connection that was used meanwhile has a later entry.
            if let Some(e) = endpoints.get_mut(id)
                && e.idle_since.take_if(|since| *since <= *at).is_some()
            {
                actions.push(Action::CloseIdle(*id));
            }
            false
        });
    }

    /// Removes a message that is done and has no attempt in flight.
    pub(crate) fn remove_if_settled(&mut self, id: MessageId, max_kept: usize) {
        self.dequeue(id);
        let Some(state) = self.messages.get(&id).filter(|s| s.done && s.call.is_none()) else { return };
        if let Some(key_queue) = state.message.key.and_then(|key| self.key_queues.get_mut(&key)) {
            key_queue.messages.retain(|other| *other != id);
        }
        self.messages.remove(&id);
        self.ended_messages.1.extend(self.ended_messages.0.insert(id).then_some(id));
        if self.ended_messages.1.len() > max_kept
            && let Some(oldest) = self.ended_messages.1.pop_front()
        {
            self.ended_messages.0.remove(&oldest);
        }
    }

    /// Removes an endpoint that is no longer in service, once no call to it is in flight.
    pub(crate) fn remove_if_unlisted(&mut self, id: EndpointId) {
        let Some(e) = self.endpoints.get(&id).filter(|e| !e.ready && e.target.in_flight == 0) else { return };
        if let Some(destination) = self.destinations.get_mut(&e.destination) {
            destination.endpoints.remove(&id);
        }
        self.endpoints.remove(&id);
    }

    /// Applies entries of the list of endpoints; a snapshot takes all others out of service.
    pub(crate) fn update_endpoints(&mut self, entries: Vec<EndpointEntry>, snapshot: bool, latency: Seconds) {
        if snapshot {
            self.endpoints.values_mut().for_each(|endpoint| endpoint.ready = false);
        }
        let mut changed: BTreeSet<DestinationId> = BTreeSet::new();
        for entry in entries {
            let Some(kind) = self.settings.kinds.get(entry.kind).copied() else { continue };
            let rate =
                Some(entry.rate).filter(|r| self.settings.use_listed_rates && r.is_finite() && *r > 0.0);
            let new_destination = || Destination::new(rate, latency, entry.kind, kind);
            let destination = self.destinations.entry(entry.destination).or_insert_with(new_destination);
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
        let removed: Vec<_> = self.endpoints.iter().filter(|(_, e)| !e.ready).map(|(id, _)| *id).collect();
        removed.into_iter().for_each(|id| self.remove_if_unlisted(id));
        // Endpoints that share a limit get equal parts of it.
        for id in changed {
            let Some(d) = self.destinations.get(&id).filter(|d| !d.independent_endpoints) else { continue };
            let endpoint_count = d.endpoints.len().max(1) as f64;
            let equal_part = d.target.rate_limiter.capacity.map(|rate| rate / endpoint_count);
            for endpoint in &d.endpoints {
                self.endpoints.entry(*endpoint).and_modify(|e| e.target.rate_limiter.capacity = equal_part);
            }
        }
    }
}
