//! Scenarios: what a run is made of, read from TOML and checked before anything starts.

use crate::record::Effect;
use serde::Deserialize;
use std::path::Path;

/// Longest run, in seconds: loops are bounded in time.
const LENGTH_MOST: f64 = 600.0;
/// Most messages of a run, by its rate and length.
const MESSAGES_MOST: f64 = 500_000.0;

/// A run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    #[serde(default = "unnamed")]
    pub name: String,
    /// All that is drawn follows from it.
    #[serde(default = "one")]
    pub seed: u64,
    /// Messages come for so long, in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// The dispatchers.
    pub dispatchers: Dispatchers,
    /// Those who hand messages in.
    pub clients: Clients,
    /// Classes of messages.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Partners: each is one destination, numbered from 1.
    #[serde(rename = "partner")]
    pub partners: Vec<Partner>,
    /// Customers with a share; messages of a partner without one have none.
    #[serde(default, rename = "customer")]
    pub tenants: Vec<Tenant>,
    /// How worth falls once the aim has passed.
    #[serde(default)]
    #[serde(rename = "decay")]
    pub value_decay: ValueDecay,
    /// Whether dispatchers may probe.
    #[serde(default = "yes")]
    pub probes: bool,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What goes wrong by chance.
    #[serde(default)]
    #[serde(rename = "random")]
    pub random_faults: RandomFaults,
    /// Kills over and over.
    #[serde(default)]
    pub killer: KillerSettings,
    /// Upgrades over and over.
    #[serde(default)]
    pub upgrader: UpgraderSettings,
    /// The dispatchers as a fleet, with trouble between them.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// The figures of returning destinations.
    #[serde(default)]
    #[serde(rename = "returning")]
    pub recovery: Recovery,
    /// By how much each time limit of the rules is longer, in milliseconds: what the machine itself may be late.
    #[serde(default = "slack_ms")]
    pub slack_ms: u64,
}

fn slack_ms() -> u64 {
    50
}

fn yes() -> bool {
    true
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueDecay {
    /// By half with each further aim.
    #[default]
    ByHalf,
    /// Evenly, to the deadline.
    Even,
}

/// A customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second within its share, at all dispatchers together.
    pub quota_per_s: f64,
}

fn unnamed() -> String {
    "unnamed".into()
}

fn one() -> u64 {
    1
}

/// The dispatchers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatchers {
    /// How many.
    pub count: usize,
    /// Calls that each may have out at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Messages that each may hold.
    #[serde(default = "room")]
    #[serde(rename = "room")]
    pub max_pending: usize,
    /// Attempts for one message.
    #[serde(default = "attempts")]
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Length of a round, in milliseconds.
    #[serde(default = "tick_ms")]
    pub tick_ms: f64,
    /// Memory that each is told it may use, in MB.
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    /// Descriptors that each may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Budget of each one's folder, in MB.
    #[serde(default = "disk_mb")]
    pub disk_mb: f64,
    /// A dispatcher that was killed starts again after so long, in milliseconds.
    #[serde(default = "restart_ms")]
    #[serde(rename = "restart_ms")]
    pub restart_delay_ms: u64,
}

fn slots() -> usize {
    48
}
fn room() -> usize {
    600
}
fn attempts() -> u32 {
    12
}
fn tick_ms() -> f64 {
    5.0
}
fn memory_mb() -> f64 {
    64.0
}
fn sockets() -> usize {
    512
}
fn disk_mb() -> f64 {
    3.0
}
fn restart_ms() -> u64 {
    600
}

/// Those who hand messages in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Messages a second, all clients together; they come by chance and wait for nothing.
    #[serde(rename = "rate")]
    pub messages_per_s: f64,
    /// A client waits so long for the answer, in milliseconds.
    #[serde(default = "patience_ms")]
    #[serde(rename = "patience_ms")]
    pub response_timeout_ms: u64,
    /// The chance that a message that was turned away is handed in again.
    #[serde(default = "retries")]
    #[serde(rename = "retries")]
    pub retry_probability: f64,
    /// It does so after a time between these, in milliseconds, or when it was told to come.
    #[serde(default = "backoff_ms")]
    pub backoff_ms: [u64; 2],
    /// The front sends on to a dead dispatcher for a time between these, in milliseconds.
    #[serde(default = "notice_ms")]
    #[serde(rename = "notice_ms")]
    pub failure_detection_ms: [u64; 2],
    /// Most connections to one dispatcher.
    #[serde(default = "connections")]
    #[serde(rename = "connections")]
    pub max_connections: usize,
}

fn patience_ms() -> u64 {
    400
}
fn retries() -> f64 {
    0.8
}
fn backoff_ms() -> [u64; 2] {
    [310, 980]
}
fn notice_ms() -> [u64; 2] {
    [300, 1500]
}
fn connections() -> usize {
    120
}

/// A class of messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Its part of the messages, against the others'.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Wanted within so many seconds.
    #[serde(rename = "aim_s")]
    pub target_latency_s: f64,
    /// Given up after so many seconds.
    pub deadline_s: f64,
    /// For keyed classes: a key is remembered for so many seconds.
    #[serde(default)]
    #[serde(rename = "window_s")]
    pub key_window_s: f64,
    /// Worth of one.
    #[serde(default = "worth")]
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(default = "late_share")]
    #[serde(rename = "late_share")]
    pub deadline_value_share: f64,
    /// Bytes of a body, least and most.
    #[serde(default = "body")]
    #[serde(rename = "body")]
    pub body_bytes: [usize; 2],
}

fn worth() -> f64 {
    1.0
}
fn late_share() -> f64 {
    0.3
}
fn body() -> [usize; 2] {
    [100, 400]
}

/// How a partner limits its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RateLimit {
    /// By its capacity alone.
    #[default]
    None,
    /// So many a second, with a burst of as many as come in a quarter second.
    Rate,
    /// So many in each span of time.
    Window,
}

/// A partner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its endpoints.
    #[serde(default = "endpoints")]
    pub endpoints: usize,
    /// Its part of the messages, against the others'.
    #[serde(rename = "share")]
    pub weight: f64,
    /// The customer whose messages it gets.
    #[serde(default)]
    #[serde(rename = "customer")]
    pub tenant: Option<String>,
    /// Calls a second that it serves once warm, all endpoints together.
    #[serde(rename = "capacity")]
    pub capacity_per_s: f64,
    /// Time that a call takes, least and most, in milliseconds.
    pub service_ms: [f64; 2],
    /// Calls wait for their turn for so long at most, in milliseconds; then they are turned away.
    #[serde(default = "queue_ms")]
    #[serde(rename = "queue_ms")]
    pub max_queue_ms: f64,
    /// How it limits calls.
    #[serde(default)]
    #[serde(rename = "limit")]
    pub rate_limit: RateLimit,
    /// The limit, in calls a second.
    #[serde(default)]
    pub limit_per_s: f64,
    /// The span in which a window limit counts, in seconds.
    #[serde(default = "window_s")]
    #[serde(rename = "window_s")]
    pub limit_window_s: f64,
    /// What is above the limit is told how long to wait.
    #[serde(default)]
    #[serde(rename = "tells_wait")]
    pub sends_retry_after: bool,
    /// Messages in a call at most.
    #[serde(default = "batch")]
    #[serde(rename = "batch")]
    pub max_batch: usize,
    /// Connections that an endpoint holds.
    #[serde(default = "partner_connections")]
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// It closes connections that have been idle for so many seconds.
    #[serde(default = "idle_s")]
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Share of the calls that end in an error, half of them after they have run.
    #[serde(default)]
    #[serde(rename = "errors")]
    pub error_probability: f64,
    /// Share of the calls whose connection is reset once they have run.
    #[serde(default)]
    #[serde(rename = "resets")]
    pub reset_probability: f64,
    /// Share of the answers that are cut at a byte drawn by chance.
    #[serde(default)]
    #[serde(rename = "cuts")]
    pub truncation_probability: f64,
    /// Share of the answers that can't be read.
    #[serde(default)]
    #[serde(rename = "spoilt")]
    pub malformed_probability: f64,
    /// Share of the answers that are good and bring more than belongs to them: a 1xx ahead, a second copy or noise
    /// behind, a report that can't be read.
    #[serde(default)]
    #[serde(rename = "extras")]
    pub extra_data_probability: f64,
    /// Share of the requests on whose first bytes the connection is reset: they never run.
    #[serde(default)]
    #[serde(rename = "request_resets")]
    pub request_reset_probability: f64,
}

fn endpoints() -> usize {
    2
}
fn queue_ms() -> f64 {
    400.0
}
fn window_s() -> f64 {
    1.0
}
fn batch() -> usize {
    1
}
fn partner_connections() -> usize {
    64
}
fn idle_s() -> f64 {
    15.0
}

/// What may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL to a dispatcher, which starts again.
    Kill,
    /// SIGTERM, SIGKILL 3.7 s later if it still runs, and a start.
    Term,
    /// SIGSTOP, and SIGCONT once its time is over.
    Stop,
    /// A new configuration with discovery at another address, and SIGHUP.
    Reload,
    /// A partner refuses connections, and comes back cold.
    Down,
    /// A partner is silent, and comes back cold.
    Silent,
    /// A partner takes calls and never answers, and comes back cold.
    Hang,
    /// A partner turns all away, and comes back cold.
    Shut,
    /// A partner fails most calls, and comes back cold.
    Errors,
    /// A partner takes `factor` times as long.
    Slow,
    /// A partner's answers are cut, each at a byte drawn by chance.
    Cuts,
    /// A partner's answers can't be read.
    Spoilt,
    /// An endpoint drains, and is gone when its time is over.
    Drain,
    /// An endpoint is gone; a new one under a new name comes at its address.
    Replace,
    /// The platform tells nothing.
    PlatformSilent,
    /// What the platform tells comes torn.
    PlatformTorn,
    /// What the platform tells comes `factor` seconds later.
    PlatformLate,
}

impl FaultKind {
    /// Whether it befalls a dispatcher.
    pub fn targets_dispatcher(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Term | FaultKind::Stop | FaultKind::Reload)
    }

    /// Whether it befalls the platform.
    pub fn targets_platform(self) -> bool {
        matches!(self, FaultKind::PlatformSilent | FaultKind::PlatformTorn | FaultKind::PlatformLate)
    }

    /// Whether it ends by itself and takes no time of its own.
    fn is_instant(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Term | FaultKind::Reload | FaultKind::Replace)
    }
}

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
    /// For how long, in seconds.
    #[serde(default)]
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Which dispatcher, from 0.
    pub dispatcher: Option<usize>,
    /// Which partner, by name.
    pub partner: Option<String>,
    /// Which of its endpoints, from 0.
    #[serde(default)]
    pub endpoint: usize,
    /// How much slower, or how many seconds late.
    pub factor: Option<f64>,
}

/// What goes wrong by chance: how often each, at times and with those that the seed draws.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RandomFaults {
    /// Kills of dispatchers.
    pub kills: usize,
    /// Planned restarts.
    #[serde(rename = "terms")]
    pub planned_restarts: usize,
    /// Dispatchers that stand still for a while.
    #[serde(rename = "stops")]
    pub pauses: usize,
    /// New configurations.
    pub reloads: usize,
    /// Outages of partners, of any kind.
    pub outages: usize,
    /// Partners that slow down.
    #[serde(rename = "slows")]
    pub slowdowns: usize,
    /// Partners whose answers are cut or spoilt for a while.
    #[serde(rename = "spoils")]
    pub corruptions: usize,
    /// Endpoints that drain or are replaced.
    #[serde(rename = "churns")]
    pub endpoint_changes: usize,
    /// Spells in which the platform is silent, torn or late.
    #[serde(rename = "platform")]
    pub platform_faults: usize,
}

/// Kills of dispatchers, one after the other, each a while after it has become ready again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KillerSettings {
    /// How many, all dispatchers together; those that find no time before the last tenth of the run are left out.
    pub kills: usize,
    /// A ready dispatcher is killed after a time between these, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// For so long, in milliseconds, it waits for a moment at which the journal is half-way through winning room back.
    #[serde(rename = "aim_ms")]
    pub max_compaction_wait_ms: u64,
}

impl Default for KillerSettings {
    fn default() -> KillerSettings {
        KillerSettings { kills: 0, interval_ms: [50, 500], max_compaction_wait_ms: 0 }
    }
}

/// Upgrades of dispatchers, one after the other: a second process is started beside the first, and takes over.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpgraderSettings {
    /// How many, all dispatchers together; those that find no time before the last tenth of the run are left out.
    pub upgrades: usize,
    /// From one to the next of a dispatcher it takes a time between these, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// Share of the upgrades in which the old process, the new one or both are killed.
    #[serde(rename = "kills")]
    pub kill_probability: f64,
    /// Such a kill comes within so long of the second process's start, in milliseconds.
    #[serde(rename = "within_ms")]
    pub max_kill_delay_ms: u64,
}

impl Default for UpgraderSettings {
    fn default() -> UpgraderSettings {
        UpgraderSettings {
            upgrades: 0,
            interval_ms: [200, 600],
            kill_probability: 0.0,
            max_kill_delay_ms: 40,
        }
    }
}

/// The dispatchers as members of a fleet, and trouble between them over and over.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// How many vote, from the first on; without any there is no fleet. The others follow.
    pub voters: usize,
    /// Further lines of the fleet's file.
    #[serde(rename = "settings")]
    pub extra_config: String,
    /// How often something goes wrong, all together, until the last fifth of the run.
    #[serde(rename = "troubles")]
    pub fault_count: usize,
    /// When the first comes, in seconds: by then all have joined.
    #[serde(rename = "from_s")]
    pub first_fault_s: f64,
    /// From one trouble to the next it takes a time between these, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// The rate of each member's clock; 1 for those that are not named. It takes a build with the feature `planted`.
    pub clock_rates: Vec<f64>,
    /// One trouble alone, in place of all kinds: `kill`, `stop`, `cut` or `slow`.
    #[serde(rename = "only")]
    pub only_kind: Option<String>,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            voters: 0,
            extra_config: String::new(),
            fault_count: 0,
            first_fault_s: 3.0,
            interval_ms: [200, 900],
            clock_rates: Vec::new(),
            only_kind: None,
        }
    }
}

/// The figures of returning destinations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// Seconds until it is warm.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of its capacity that it starts with.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// Sent more than this multiple of its present capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... for so many seconds, it falls over.
    #[serde(rename = "fall_s")]
    pub overload_s: f64,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery { warm_up_s: 9.6, initial_capacity_share: 0.19, overload_multiple: 2.0, overload_s: 3.0 }
    }
}

impl Scenario {
    /// Reads and checks a scenario; `name` stands in what is told of faults.
    ///
    /// # Errors
    /// One line: the file, the line where one can be named, what is wrong and what is expected.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, String> {
        let line_of = |at: usize| text[..at.min(text.len())].lines().count().max(1);
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_of(span.start + 1));
            format!("{name}:{line}: {}", error.message().replace('\n', "; "))
        })?;
        scenario.check().map_err(|(section, index, key, problem)| {
            let line = place(text, section, index, key);
            format!("{name}:{line}: {key}: {problem}")
        })?;
        Ok(scenario)
    }

    /// Reads a scenario's file.
    ///
    /// # Errors
    /// As [`Scenario::parse`]; and the file where it can't be read.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Scenario::parse(&path.display().to_string(), &text)
    }

    /// The section, which of its kind, the key and what is wrong.
    fn check(&self) -> Result<(), (&'static str, usize, &'static str, String)> {
        let above = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let expect = |holds: bool, section, index, key, problem: &str| match holds {
            true => Ok(()),
            false => Err((section, index, key, problem.to_string())),
        };
        const ABOVE: &str = "must be a number above 0";
        const SHARE: &str = "must lie between 0 and 1";
        let length = self.duration_s;
        expect(
            above(length) && length <= LENGTH_MOST,
            "",
            0,
            "length_s",
            "must lie above 0 and be 600 at most",
        )?;
        expect(self.slack_ms <= 2000, "", 0, "slack_ms", "must be 2000 at most")?;
        let d = &self.dispatchers;
        for (key, n, most) in [
            ("count", d.count, 64),
            ("slots", d.slots, 10_000),
            ("room", d.max_pending, 1_000_000),
            ("attempts", d.max_attempts as usize, 1000),
            ("sockets", d.sockets, 100_000),
        ] {
            expect(
                (1..=most).contains(&n),
                "dispatchers",
                0,
                key,
                &format!("must lie between 1 and {most}"),
            )?;
        }
        for (key, x) in [("tick_ms", d.tick_ms), ("memory_mb", d.memory_mb), ("disk_mb", d.disk_mb)] {
            expect(above(x), "dispatchers", 0, key, ABOVE)?;
        }
        let f = &self.fleet;
        let voters = [0, 1, 3, 5, 7].contains(&f.voters) && f.voters <= d.count;
        expect(voters, "fleet", 0, "voters", "must be 0, 1, 3, 5 or 7, and no more than dispatchers")?;
        expect(f.fault_count <= 10_000, "fleet", 0, "troubles", "must be 10000 at most")?;
        expect(
            f.interval_ms[0] <= f.interval_ms[1],
            "fleet",
            0,
            "every_ms",
            "must be the shortest and the longest",
        )?;
        let only = f.only_kind.as_deref().is_none_or(|only| ["kill", "stop", "cut", "slow"].contains(&only));
        expect(only, "fleet", 0, "only", "must be kill, stop, cut or slow")?;
        expect(
            f.first_fault_s.is_finite() && f.first_fault_s >= 0.0,
            "fleet",
            0,
            "from_s",
            "must be a number, 0 or more",
        )?;
        let c = &self.clients;
        expect(above(c.messages_per_s), "clients", 0, "rate", ABOVE)?;
        let messages = c.messages_per_s * length;
        expect(
            messages <= MESSAGES_MOST,
            "clients",
            0,
            "rate",
            "more than 500,000 messages in the run's length",
        )?;
        expect(share(c.retry_probability), "clients", 0, "retries", SHARE)?;
        expect(c.response_timeout_ms > 0, "clients", 0, "patience_ms", ABOVE)?;
        expect(c.max_connections > 0, "clients", 0, "connections", ABOVE)?;
        for (key, span) in [("backoff_ms", c.backoff_ms), ("notice_ms", c.failure_detection_ms)] {
            expect(span[0] <= span[1], "clients", 0, key, "the least must not be above the most")?;
        }
        expect(!self.classes.is_empty(), "", 0, "class", "at least one [[class]] expected")?;
        for (i, class) in self.classes.iter().enumerate() {
            for (key, x) in
                [("share", class.weight), ("aim_s", class.target_latency_s), ("deadline_s", class.deadline_s)]
            {
                expect(above(x), "class", i, key, ABOVE)?;
            }
            let keyed = class.effect == Effect::Keyed;
            expect(
                !keyed || above(class.key_window_s),
                "class",
                i,
                "window_s",
                "a keyed class needs one above 0",
            )?;
            expect(share(class.deadline_value_share), "class", i, "late_share", SHARE)?;
            expect(class.value.is_finite() && class.value >= 0.0, "class", i, "worth", "must be 0 or more")?;
            let body = class.body_bytes[0] <= class.body_bytes[1] && class.body_bytes[1] <= 64 * 1024;
            expect(body, "class", i, "body", "least and most expected, 65536 at most")?;
            let twin = self.classes[..i].iter().any(|other| other.name == class.name);
            expect(!twin, "class", i, "name", "another class has this name")?;
            let word =
                !class.name.is_empty() && class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            expect(word, "class", i, "name", "letters, digits and '-' expected")?;
        }
        expect(!self.partners.is_empty(), "", 0, "partner", "at least one [[partner]] expected")?;
        for (i, partner) in self.partners.iter().enumerate() {
            let p = partner;
            let twin = self.partners[..i].iter().any(|other| other.name == p.name);
            expect(!twin, "partner", i, "name", "another partner has this name")?;
            for (key, x) in [
                ("share", p.weight),
                ("capacity", p.capacity_per_s),
                ("idle_s", p.idle_timeout_s),
                ("window_s", p.limit_window_s),
            ] {
                expect(above(x), "partner", i, key, ABOVE)?;
            }
            let known = p.tenant.iter().all(|name| self.tenants.iter().any(|c| c.name == *name));
            expect(known, "partner", i, "customer", "there is no [[customer]] of this name")?;
            expect((1..=64).contains(&p.endpoints), "partner", i, "endpoints", "must lie between 1 and 64")?;
            expect((1..=100).contains(&p.max_batch), "partner", i, "batch", "must lie between 1 and 100")?;
            expect(p.max_connections > 0, "partner", i, "connections", ABOVE)?;
            expect(
                p.max_queue_ms.is_finite() && p.max_queue_ms >= 0.0,
                "partner",
                i,
                "queue_ms",
                "must be 0 or more",
            )?;
            let service =
                above(p.service_ms[0]) && p.service_ms[0] <= p.service_ms[1] && p.service_ms[1] <= 60_000.0;
            expect(
                service,
                "partner",
                i,
                "service_ms",
                "least and most expected, above 0 and 60000 at most",
            )?;
            let limited = p.rate_limit == RateLimit::None || above(p.limit_per_s);
            expect(limited, "partner", i, "limit_per_s", "a limit needs one above 0")?;
            for (key, x) in [
                ("errors", p.error_probability),
                ("resets", p.reset_probability),
                ("cuts", p.truncation_probability),
                ("spoilt", p.malformed_probability),
                ("extras", p.extra_data_probability),
                ("request_resets", p.request_reset_probability),
            ] {
                expect(share(x), "partner", i, key, SHARE)?;
            }
            let sum = p.error_probability
                + p.reset_probability
                + p.truncation_probability
                + p.malformed_probability
                + p.extra_data_probability;
            expect(
                sum <= 1.0,
                "partner",
                i,
                "errors",
                "errors, resets, cuts, spoilt and extras are more than all calls",
            )?;
        }
        for (i, customer) in self.tenants.iter().enumerate() {
            expect(above(customer.quota_per_s), "customer", i, "quota_per_s", ABOVE)?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(i, fault)?;
        }
        let r = &self.recovery;
        expect(above(r.warm_up_s), "returning", 0, "cold_s", ABOVE)?;
        expect(above(r.overload_s), "returning", 0, "fall_s", ABOVE)?;
        expect(above(r.overload_multiple), "returning", 0, "multiple", ABOVE)?;
        expect(
            share(r.initial_capacity_share) && r.initial_capacity_share > 0.0,
            "returning",
            0,
            "cold_share",
            SHARE,
        )
    }

    fn check_fault(
        &self, i: usize, fault: &Fault,
    ) -> Result<(), (&'static str, usize, &'static str, String)> {
        let wrong = |key, problem: String| Err(("fault", i, key, problem));
        let length = self.duration_s;
        if !(0.0..=length).contains(&fault.at_s) {
            return wrong("at_s", format!("must lie between 0 and the run's {length} s"));
        }
        if !fault.duration_s.is_finite() || fault.duration_s < 0.0 {
            return wrong("for_s", "must be 0 or more".into());
        }
        if fault.at_s + fault.duration_s > length {
            return wrong("for_s", format!("it would outlast the run's {length} s"));
        }
        if !fault.kind.is_instant() && fault.duration_s == 0.0 {
            return wrong("for_s", "this kind lasts for a time: a number above 0 expected".into());
        }
        match fault.dispatcher {
            Some(n) if n >= self.dispatchers.count => {
                return wrong("dispatcher", format!("there are {}, counted from 0", self.dispatchers.count));
            }
            None if fault.kind.targets_dispatcher() => {
                return wrong("dispatcher", "missing: which one, from 0".into());
            }
            Some(_) if !fault.kind.targets_dispatcher() => {
                return wrong("dispatcher", "this kind does not befall a dispatcher".into());
            }
            _ => {}
        }
        let partner = fault.partner.as_ref();
        let known = partner.and_then(|name| self.partners.iter().find(|p| p.name == *name));
        let wanted = !fault.kind.targets_dispatcher() && !fault.kind.targets_platform();
        match (partner, known) {
            (Some(name), None) => return wrong("partner", format!("there is no partner '{name}'")),
            (None, _) if wanted => return wrong("partner", "missing: its name".into()),
            (Some(_), _) if !wanted => return wrong("partner", "this kind does not befall a partner".into()),
            (_, Some(known)) if fault.endpoint >= known.endpoints => {
                return wrong(
                    "endpoint",
                    format!("'{}' has {}, counted from 0", known.name, known.endpoints),
                );
            }
            _ => {}
        }
        let needs = matches!(fault.kind, FaultKind::Slow | FaultKind::PlatformLate);
        if needs && !fault.factor.is_some_and(|x| x.is_finite() && x > 0.0 && x <= 1000.0) {
            return wrong("factor", "must be a number above 0, 1000 at most".into());
        }
        // Two outages of one partner at once would leave open when it is back.
        if let Some(other) = self.faults[..i].iter().find(|other| {
            !fault.kind.is_instant()
                && !other.kind.is_instant()
                && other.partner.is_some()
                && other.partner == fault.partner
                && other.at_s < fault.at_s + fault.duration_s
                && fault.at_s < other.at_s + other.duration_s
        }) {
            let text = format!(
                "another fault befalls this partner from {} s for {} s",
                other.at_s, other.duration_s
            );
            return wrong("at_s", text);
        }
        Ok(())
    }
}

/// The line on which a key of the so-manieth section stands, or the section's own where it is not written.
fn place(text: &str, section: &str, index: usize, key: &str) -> usize {
    let (mut current, mut count, mut head) = (String::new(), 0, 1);
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[') {
            current = name.trim_matches(['[', ']']).trim().to_string();
            if current == section {
                count += 1;
                if count == index + 1 {
                    head = i + 1;
                }
            }
        } else if current == section
            && (section.is_empty() || count == index + 1)
            && line.split(['=', ' ']).next() == Some(key)
        {
            return i + 1;
        }
    }
    head
}
