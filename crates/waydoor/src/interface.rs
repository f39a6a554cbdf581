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
    pub aim: Seconds,
    /// Time from first hand-in to the end of its life.
    pub deadline: Seconds,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_share: f64,
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
pub struct Kind {
    /// The endpoints are separate routes, each with its own limit and outages.
    pub routes_apart: bool,
    /// Messages that one call carries at most.
    pub batch: usize,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the late share at the deadline.
    Even,
    /// By half with each further aim, not under the late share.
    ByHalf,
}

/// How the list of endpoints arrives.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Listing {
    /// Changes come by themselves.
    Pushed,
    /// Changes come to those who ask; one who has not asked for this long counts as told.
    OnRequest {
        /// Longest time without asking.
        ask_within: Seconds,
    },
}

impl Listing {
    /// Longest time without asking; without end where the list comes by itself.
    pub(crate) fn ask_within(self) -> Seconds {
        match self {
            Listing::OnRequest { ask_within } => ask_within,
            Listing::Pushed => f64::INFINITY,
        }
    }
}

/// How a destination that was out must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnRule {
    /// Share of its capacity that it starts with.
    pub cold_share: f64,
    /// Time until it is warm.
    pub cold_time: Seconds,
    /// Sent more than this multiple of its present capacity ...
    pub multiple: f64,
    /// ... for this long, it falls over.
    pub window: Seconds,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many dispatchers share the destinations.
    pub dispatchers: u32,
    /// Calls out at once.
    pub slots: usize,
    /// Messages held or out at once; more are turned away before the dispatcher.
    pub room: usize,
    /// Attempts for one message.
    pub attempts: u32,
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
    pub over_share_worth: f64,
    /// Kinds of destination, by their index.
    pub kinds: Vec<Kind>,
    /// How worth falls.
    pub decay: Decay,
    /// How the list of endpoints arrives.
    pub listing: Listing,
    /// Whether listed rates mean anything.
    pub rates_listed: bool,
    /// How returning destinations are to be treated.
    pub returning: ReturnRule,
    /// Rest of a key after an attempt that may still run.
    pub key_rest: Seconds,
}

/// Largest time, rate or worth: what is computed with them stays a time that clocks can hold.
const FIGURE_MOST: f64 = 1e9;

impl Settings {
    /// Whether the settings make sense; the error names the one that does not.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let settings = self;
        let fault = |name: String, problem: &str| Err(SettingsError { name, problem: problem.into() });
        let span = |x: f64| (0.0..=FIGURE_MOST).contains(&x);
        for (name, n) in
            [("slots", settings.slots), ("room", settings.room), ("attempts", settings.attempts as usize)]
        {
            if n == 0 {
                return fault(name.into(), "must be at least 1");
            }
        }
        if settings.dispatchers == 0 {
            return fault("dispatchers".into(), "must be at least 1");
        }
        for (i, class) in settings.classes.iter().enumerate() {
            let figures = [("aim", class.aim), ("deadline", class.deadline), ("worth", class.worth)];
            for (name, x) in figures {
                if !span(x) || (x == 0.0 && name != "worth") {
                    return fault(format!("classes[{i}].{name}"), "must be a number above 0, 1e9 at most");
                }
            }
            if !(0.0..=1.0).contains(&class.late_share) {
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
        if !(0.0..=1.0).contains(&settings.over_share_worth) {
            return fault("over_share_worth".into(), "must lie between 0 and 1");
        }
        let rule = &settings.returning;
        let ask = match settings.listing {
            Listing::OnRequest { ask_within } => ask_within,
            Listing::Pushed => 1.0,
        };
        let figures = [
            ("returning.cold_share", rule.cold_share),
            ("returning.cold_time", rule.cold_time),
            ("returning.multiple", rule.multiple),
            ("returning.window", rule.window),
            ("listing.ask_within", ask),
            ("keepalive", settings.keepalive.unwrap_or(1.0)),
        ];
        for (name, x) in figures {
            if !(span(x) && x > 0.0) {
                return fault(name.into(), "must be a number above 0, 1e9 at most");
            }
        }
        if !span(settings.key_rest) {
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
    /// ([`Dispatcher::share`](crate::Dispatcher::share)); none: it is counted now.
    pub over_share: Option<bool>,
}

/// How a message stands with its customer's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// It comes beyond it.
    pub over: bool,
    /// Messages that the customer may still hand in within it at this dispatcher, this one not among them.
    pub left: f64,
}

/// How a call or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Never sent, since its start could not be put on record; it counts as no attempt.
    NotRecorded,
    /// An answer came and cannot be read: it may have run, and the endpoint lives.
    Spoilt,
    /// The call cannot be used as it is: it never ran, and the endpoint lives.
    Rejected,
}

impl Outcome {
    /// Whether the call has surely not run.
    pub fn never_ran(self) -> bool {
        use Outcome::{Full, Moot, NoConnection, NotRecorded, Rejected};
        matches!(self, Full | NoConnection | Moot | NotRecorded | Rejected)
    }

    /// Whether a whole answer came, after which a connection is idle as a rule.
    pub fn answered(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Full | Outcome::Error | Outcome::Rejected)
    }
}

/// What an endpoint tells of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// The limit in calls a second; 0 where none is counted.
    pub rate: f64,
    /// Share of the limit that is left for all, between 0 and 1, where that is told; some tenths of a second old.
    pub left: Option<f64>,
}

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service; nothing is said of its health.
    Ready,
    /// Nothing new may go there.
    Draining,
    /// No longer there.
    Gone,
}

/// A line of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
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
    pub listed: Listed,
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
    pub wait: Option<Seconds>,
    /// Nothing more is owed for the message.
    pub closed: bool,
    /// Time since the send.
    pub latency: Seconds,
    /// What the endpoint tells of its limit.
    pub allowance: Option<Allowance>,
    /// The call went over a connection that had been idle.
    pub reused: bool,
    /// The call's connection is idle now and may be used again.
    pub kept: bool,
}

/// What a dispatcher learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was taken.
    Taken(Message),
    /// A message that an earlier life of this dispatcher took is taken up again.
    Resumed {
        /// The message.
        message: Message,
        /// When it was taken; earlier than the clock's start as a rule.
        taken: Seconds,
        /// Attempts that were used.
        attempts: u32,
        /// When the first attempt that may have run was sent, and the zone it went to.
        may_have_run: Option<(Seconds, u16)>,
    },
    /// When an earlier life of this dispatcher ended, the destination was out or had just come back
    /// ([`Action::Remember`] was the last word on it).
    Remembered(DestinationId),
    /// An endpoint that got nothing for a while (operators had taken it out) was started anew meanwhile: it serves
    /// again, and is cold. Its line of the list came before.
    Restarted(EndpointId),
    /// What a customer had left of its share: told by [`Dispatcher::share`](crate::Dispatcher::share) for a
    /// message that was taken then, in this life or an earlier one.
    Counted {
        /// The customer, an index of [`Settings::tenants`].
        tenant: usize,
        /// Messages that it may still hand in.
        left: f64,
        /// When the message came.
        at: Seconds,
    },
    /// The dispatcher stops then: no attempt may be out any more.
    Closing(Seconds),
    /// An attempt ended.
    Ended(AttemptEnd),
    /// An endpoint told a wait in an answer that is not whole yet; the attempt's end comes by itself.
    WaitTold {
        /// The endpoint.
        endpoint: EndpointId,
        /// From now on.
        wait: Seconds,
    },
    /// Nobody wants the message any more.
    Withdrawn(MessageId),
    /// Changed lines of the list.
    ListChanged(Vec<Entry>),
    /// The whole list; what is not in it is gone.
    ListWhole(Vec<Entry>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription brought a sign of life and no news.
    ListAlive,
    /// A timer that was set is due.
    Timer(u32),
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time it took.
        latency: Seconds,
        /// What the endpoint tells of its limit.
        allowance: Option<Allowance>,
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
        alone: bool,
    },
    /// End it undelivered; coming again is harmless.
    Refuse(MessageId),
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
    BreakOff {
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
    Remember {
        /// The destination.
        destination: DestinationId,
        /// It is out, or back and cold still.
        out: bool,
    },
    /// A line for the log.
    Note(String),
}
