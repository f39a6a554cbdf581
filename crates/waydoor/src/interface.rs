//! What goes into a [`Dispatcher`](crate::Dispatcher) and what comes out: settings, events, actions, ids.
//!
//! Times are seconds on the caller's clock; spans are seconds too. No decision lives here.

use serde::{Deserialize, Serialize};

/// A point on the caller's clock, or a span, in seconds.
pub type Seconds = f64;

/// A message, unique for as long as the dispatcher runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// One address of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// A system of another firm, reached through one or more endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DestinationId(pub u32);

/// The key under which messages of an ordered class keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// What one more delivery of the same message would do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// A repeat is dropped for `window` after the first attempt that may have run.
    Keyed {
        /// For how long the key is remembered.
        window: Seconds,
        /// Only endpoints of one zone share the memory of keys.
        by_zone: bool,
    },
    /// It must never take effect twice.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Delivered within this time it earns its full worth.
    #[serde(rename = "aim")]
    pub target_latency: Seconds,
    /// Time from first hand-in to the end of its life.
    pub deadline: Seconds,
    /// Worth of one message.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(rename = "late_share")]
    pub late_value_share: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// Messages of one key are delivered one at a time, in the order taken.
    pub ordered: bool,
}

/// A customer whose messages are carried.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second within its share, at all dispatchers together.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// The endpoints are separate routes, each with its own limit and outages.
    #[serde(rename = "routes_apart")]
    pub independent_endpoints: bool,
    /// Messages that one call carries at most.
    #[serde(rename = "batch")]
    pub max_batch: usize,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueDecay {
    /// Evenly, down to the late share at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// By half with each further aim, not under the late share.
    #[serde(rename = "ByHalf")]
    Exponential,
}

/// How the list of endpoints arrives.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    Pushed,
    /// Changes come to those who ask; one who has not asked for this long counts as told.
    #[serde(rename = "OnRequest")]
    Subscription {
        /// Longest time without asking.
        #[serde(rename = "ask_within")]
        max_renewal_interval: Seconds,
    },
}

impl DiscoveryMode {
    /// Longest time without asking; without end where the list comes by itself.
    pub(crate) fn ask_within(self) -> Seconds {
        match self {
            DiscoveryMode::Subscription { max_renewal_interval: ask_within } => ask_within,
            DiscoveryMode::Pushed => f64::INFINITY,
        }
    }
}

/// How a destination that was out must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Share of its capacity that it starts with.
    #[serde(rename = "cold_share")]
    pub cold_capacity_share: f64,
    /// Time until it is warm.
    #[serde(rename = "cold_time")]
    pub warm_up_time: Seconds,
    /// Sent more than this multiple of its present capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... for this long, it falls over.
    #[serde(rename = "window")]
    pub overload_window: Seconds,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many dispatchers share the destinations.
    #[serde(rename = "dispatchers")]
    pub dispatcher_count: u32,
    /// Calls out at once.
    #[serde(rename = "slots")]
    pub max_concurrent_calls: usize,
    /// Messages held or out at once; more are turned away before the dispatcher.
    #[serde(rename = "room")]
    pub max_messages: usize,
    /// Attempts for one message.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Idle connections close after this.
    pub keepalive: Option<Seconds>,
    /// Whether probes may be sent.
    pub probes: bool,
    /// Whether a call may be broken off.
    pub cancel: bool,
    /// The zone of this dispatcher.
    pub zone: u16,
    /// Classes, by their index.
    pub classes: Vec<Class>,
    /// Customers, by their index; none where messages are all of one.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its customer's share, as a part of its class's.
    #[serde(rename = "over_share_worth")]
    pub over_quota_value: f64,
    /// Kinds of destination, by their index.
    pub kinds: Vec<DestinationKind>,
    /// How worth falls.
    pub decay: ValueDecay,
    /// How the list of endpoints arrives.
    #[serde(rename = "listing")]
    pub discovery_mode: DiscoveryMode,
    /// Whether listed rates mean anything.
    #[serde(rename = "rates_listed")]
    pub use_listed_rates: bool,
    /// How returning destinations are to be treated.
    #[serde(rename = "returning")]
    pub slow_start: SlowStart,
    /// Rest of a key after an attempt that may still run.
    #[serde(rename = "key_rest")]
    pub order_key_cooldown: Seconds,
}

/// Largest time, rate or worth: what is computed with them stays a time that clocks can hold.
const FIGURE_MOST: f64 = 1e9;

impl Settings {
    /// Whether the settings make sense; the error names the one that does not.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let settings = self;
        let fault = |name: String, problem: &str| Err(SettingsError { name, problem: problem.into() });
        let span = |x: f64| (0.0..=FIGURE_MOST).contains(&x);
        for (name, n) in [
            ("slots", settings.max_concurrent_calls),
            ("room", settings.max_messages),
            ("attempts", settings.max_attempts as usize),
        ] {
            if n == 0 {
                return fault(name.into(), "must be at least 1");
            }
        }
        if settings.dispatcher_count == 0 {
            return fault("dispatchers".into(), "must be at least 1");
        }
        for (i, class) in settings.classes.iter().enumerate() {
            let figures =
                [("aim", class.target_latency), ("deadline", class.deadline), ("worth", class.value)];
            for (name, x) in figures {
                if !span(x) || (x == 0.0 && name != "worth") {
                    return fault(format!("classes[{i}].{name}"), "must be a number above 0, 1e9 at most");
                }
            }
            if !(0.0..=1.0).contains(&class.late_value_share) {
                return fault(format!("classes[{i}].late_share"), "must lie between 0 and 1");
            }
            if let Effect::Keyed { window, .. } = class.effect
                && !(span(window) && window > 0.0)
            {
                return fault(format!("classes[{i}].effect.window"), "must be a number above 0, 1e9 at most");
            }
        }
        for (i, tenant) in settings.tenants.iter().enumerate() {
            if !(span(tenant.quota) && tenant.quota > 0.0) {
                return fault(format!("tenants[{i}].quota"), "must be a number above 0, 1e9 at most");
            }
        }
        if !(0.0..=1.0).contains(&settings.over_quota_value) {
            return fault("over_share_worth".into(), "must lie between 0 and 1");
        }
        let rule = &settings.slow_start;
        let ask = match settings.discovery_mode {
            DiscoveryMode::Subscription { max_renewal_interval: ask_within } => ask_within,
            DiscoveryMode::Pushed => 1.0,
        };
        let figures = [
            ("returning.cold_share", rule.cold_capacity_share),
            ("returning.cold_time", rule.warm_up_time),
            ("returning.multiple", rule.overload_multiple),
            ("returning.window", rule.overload_window),
            ("listing.ask_within", ask),
            ("keepalive", settings.keepalive.unwrap_or(1.0)),
        ];
        for (name, x) in figures {
            if !(span(x) && x > 0.0) {
                return fault(name.into(), "must be a number above 0, 1e9 at most");
            }
        }
        if !span(settings.order_key_cooldown) {
            return fault("key_rest".into(), "must be a number, 0 or more, 1e9 at most");
        }
        Ok(())
    }
}

/// Settings that make no sense; the text names the setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {name}: {problem}")]
pub struct SettingsError {
    /// The setting.
    pub name: String,
    /// What is wrong with it.
    pub problem: String,
}

/// A message to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, an index of [`Settings::classes`].
    pub class: usize,
    /// Where it goes.
    pub destination: DestinationId,
    /// It may be delivered until then.
    pub deadline: Seconds,
    /// Its key of order, if any.
    pub key: Option<OrderKey>,
    /// Its customer, an index of [`Settings::tenants`]; one that is not there has no share that binds.
    pub tenant: usize,
    /// Whether it came beyond its customer's share, where that was asked when it came
    /// ([`Dispatcher::quota_status`](crate::Dispatcher::quota_status)); none: it is counted now.
    #[serde(rename = "over_share")]
    pub over_quota: Option<bool>,
}

/// How a message stands with its customer's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// It comes beyond it.
    pub over: bool,
    /// Messages that the customer may still hand in within it at this dispatcher, this one not among them.
    pub remaining: f64,
}

/// How a call or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    #[serde(rename = "Full")]
    Overloaded,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    #[serde(rename = "NoConnection")]
    ConnectFailed,
    /// The connection broke; it may have run.
    #[serde(rename = "Reset")]
    ConnectionReset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    #[serde(rename = "Moot")]
    NotSent,
    /// Never sent, since its start could not be put on record; it counts as no attempt.
    NotRecorded,
    /// An answer came and cannot be read: it may have run, and the endpoint lives.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// The call cannot be used as it is: it never ran, and the endpoint lives.
    #[serde(rename = "Rejected")]
    InvalidRequest,
}

impl Outcome {
    /// Whether the call has surely not run.
    pub fn never_ran(self) -> bool {
        use Outcome::{ConnectFailed, InvalidRequest, NotRecorded, NotSent, Overloaded};
        matches!(self, Overloaded | ConnectFailed | NotSent | NotRecorded | InvalidRequest)
    }

    /// Whether a whole answer came, after which a connection is idle as a rule.
    pub fn answered(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Overloaded | Outcome::Error | Outcome::InvalidRequest)
    }
}

/// What an endpoint tells of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The limit in calls a second; 0 where none is counted.
    pub rate: f64,
    /// Share of the limit that is left for all, between 0 and 1, where that is told; some tenths of a second old.
    #[serde(rename = "left")]
    pub remaining_share: Option<f64>,
}

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service; nothing is said of its health.
    Ready,
    /// Nothing new may go there.
    Draining,
    /// No longer there.
    Removed,
}

/// A line of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its destination's kind, an index of [`Settings::kinds`].
    pub kind: usize,
    /// Its zone.
    pub zone: u16,
    /// Calls a second that the destination (or the route apart) takes from all dispatchers.
    pub rate: f64,
    /// Whether it may get new work.
    pub state: EndpointState,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Where the attempt went.
    pub endpoint: EndpointId,
    /// Its number, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// A wait that the destination told.
    pub retry_after: Option<Seconds>,
    /// Nothing more is owed for the message.
    pub settled: bool,
    /// Time since the send.
    pub latency: Seconds,
    /// What the endpoint tells of its limit.
    pub rate_limit_report: Option<RateLimitReport>,
    /// The call went over a connection that had been idle.
    pub connection_reused: bool,
    /// The call's connection is idle now and may be used again.
    pub connection_kept: bool,
}

/// What a dispatcher learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was taken.
    Accepted(Message),
    /// A message that an earlier life of this dispatcher took is taken up again.
    Recovered {
        /// The message.
        message: Message,
        /// When it was taken; earlier than the clock's start as a rule.
        accepted_at: Seconds,
        /// Attempts that were used.
        attempts: u32,
        /// When the first attempt that may have run was sent, and the zone it went to.
        may_have_run: Option<(Seconds, u16)>,
    },
    /// When an earlier life of this dispatcher ended, the destination was out or had just come back
    /// ([`Action::RecordOutage`] was the last word on it).
    OutageRecovered(DestinationId),
    /// An endpoint that got nothing for a while (operators had taken it out) was started anew meanwhile: it serves
    /// again, and is cold. Its line of the list came before.
    EndpointRestored(EndpointId),
    /// What a customer had left of its share: told by [`Dispatcher::quota_status`](crate::Dispatcher::quota_status) for a
    /// message that was taken then, in this life or an earlier one.
    QuotaRecovered {
        /// The customer, an index of [`Settings::tenants`].
        tenant: usize,
        /// Messages that it may still hand in.
        remaining: f64,
        /// When the message came.
        at: Seconds,
    },
    /// The dispatcher stops then: no attempt may be out any more.
    ShutdownAt(Seconds),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// An endpoint told a wait in an answer that is not whole yet; the attempt's end comes by itself.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// From now on.
        delay: Seconds,
    },
    /// Nobody wants the message any more.
    Withdrawn(MessageId),
    /// Changed lines of the list.
    ListUpdate(Vec<EndpointEntry>),
    /// The whole list; what is not in it is gone.
    ListSnapshot(Vec<EndpointEntry>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription brought a sign of life and no news.
    ListKeepAlive,
    /// A timer that was set is due.
    TimerFired(u32),
    /// A probe ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time it took.
        latency: Seconds,
        /// What the endpoint tells of its limit.
        rate_limit_report: Option<RateLimitReport>,
    },
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Call the endpoint with the message.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// Give the attempt up after this long.
        timeout: Seconds,
        /// It shares its call with no other message.
        #[serde(rename = "alone")]
        unbatched: bool,
    },
    /// End it undelivered; coming again is harmless.
    #[serde(rename = "Refuse")]
    Reject(MessageId),
    /// End it as failed; nothing is promised.
    Fail(MessageId),
    /// Wake the dispatcher.
    SetTimer {
        /// Comes back as given.
        token: u32,
        /// When.
        at: Seconds,
    },
    /// Break off the attempt that a message has out, alone in its call. It may have run; its end comes as
    /// [`Outcome::Cancelled`], unless another one has come already.
    #[serde(rename = "BreakOff")]
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Check an endpoint; it counts as a call there.
    Probe(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Ask for the changes of the list from now on.
    Subscribe,
    /// Keep for the next life of this dispatcher that the destination is out or comes back cold; or that it
    /// is as usual again.
    #[serde(rename = "Remember")]
    RecordOutage {
        /// The destination.
        destination: DestinationId,
        /// It is out, or back and cold still.
        #[serde(rename = "out")]
        ongoing: bool,
    },
    /// A line for the log.
    #[serde(rename = "Note")]
    Log(String),
}
