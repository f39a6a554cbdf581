//! Scenario files: the settings of a lab run, read from TOML and validated before anything starts.

use crate::record::Effect;
use serde::Deserialize;
use std::path::Path;

/// Longest run in seconds; it bounds every loop of the lab.
const MAX_DURATION_S: f64 = 600.0;
/// Maximum number of messages of a run, computed from its rate and duration.
const MAX_MESSAGES: f64 = 500_000.0;

/// The settings of one lab run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, for reports.
    #[serde(default = "default_name")]
    pub name: String,
    /// Seed of everything that is drawn at random.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds during which clients submit messages.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// The dispatchers under test.
    pub dispatchers: Dispatchers,
    /// The clients that submit messages.
    pub clients: Clients,
    /// Classes of messages.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Partners: each is one destination, numbered from 1.
    #[serde(rename = "partner")]
    pub partners: Vec<Partner>,
    /// Tenants with a quota; messages of a partner without a tenant have none.
    #[serde(default, rename = "customer")]
    pub tenants: Vec<Tenant>,
    /// How a message's value declines after its target latency.
    #[serde(default)]
    #[serde(rename = "decay")]
    pub value_decay: ValueDecay,
    /// Whether dispatchers may send probes.
    #[serde(default = "default_true")]
    pub probes: bool,
    /// Faults at fixed times.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Faults at random times.
    #[serde(default)]
    #[serde(rename = "random")]
    pub random_faults: RandomFaults,
    /// Repeated kills of dispatchers.
    #[serde(default)]
    pub killer: KillerSettings,
    /// Repeated upgrades of dispatchers.
    #[serde(default)]
    pub upgrader: UpgraderSettings,
    /// The dispatchers as a fleet, with faults between its members.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// How destinations recover from an outage.
    #[serde(default)]
    #[serde(rename = "returning")]
    pub recovery: Recovery,
    /// Milliseconds by which every time limit of the audited rules is extended, for delays of the machine
    /// itself.
    #[serde(default = "default_slack_ms")]
    pub slack_ms: u64,
}

fn default_slack_ms() -> u64 {
    50
}

fn default_true() -> bool {
    true
}

/// How a message's value declines after its target latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueDecay {
    /// Exponentially: it halves with each further target latency.
    #[default]
    ByHalf,
    /// Linearly, until the deadline.
    Even,
}

/// A tenant with a quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages per second within its quota, over all dispatchers.
    pub quota_per_s: f64,
}

fn default_name() -> String {
    "unnamed".into()
}

fn default_seed() -> u64 {
    1
}

/// Settings of the dispatchers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatchers {
    /// Number of dispatchers.
    pub count: usize,
    /// Calls that each may have in flight.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Messages that each may have pending.
    #[serde(default = "default_max_pending")]
    #[serde(rename = "room")]
    pub max_pending: usize,
    /// Attempts for one message.
    #[serde(default = "default_max_attempts")]
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Interval between two ticks, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    /// Memory limit of each, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Limit of open file descriptors of each.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Disk limit of each one's state directory, in MB.
    #[serde(default = "default_disk_mb")]
    pub disk_mb: f64,
    /// Milliseconds between the death of a dispatcher and its restart.
    #[serde(default = "default_restart_delay_ms")]
    #[serde(rename = "restart_ms")]
    pub restart_delay_ms: u64,
}

fn default_slots() -> usize {
    48
}
fn default_max_pending() -> usize {
    600
}
fn default_max_attempts() -> u32 {
    12
}
fn default_tick_ms() -> f64 {
    5.0
}
fn default_memory_mb() -> f64 {
    64.0
}
fn default_sockets() -> usize {
    512
}
fn default_disk_mb() -> f64 {
    3.0
}
fn default_restart_delay_ms() -> u64 {
    600
}

/// Settings of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Messages per second over all clients, as a Poisson process: a client does not wait for earlier
    /// messages.
    #[serde(rename = "rate")]
    pub messages_per_s: f64,
    /// Milliseconds that a client waits for a response.
    #[serde(default = "default_response_timeout_ms")]
    #[serde(rename = "patience_ms")]
    pub response_timeout_ms: u64,
    /// Probability that a rejected message is submitted again.
    #[serde(default = "default_retry_probability")]
    #[serde(rename = "retries")]
    pub retry_probability: f64,
    /// Shortest and longest delay before that retry, in milliseconds, unless the response has a Retry-After.
    #[serde(default = "default_backoff_ms")]
    pub backoff_ms: [u64; 2],
    /// Shortest and longest time for which the load balancer still routes to a dead dispatcher, in
    /// milliseconds.
    #[serde(default = "default_failure_detection_ms")]
    #[serde(rename = "notice_ms")]
    pub failure_detection_ms: [u64; 2],
    /// Maximum number of idle connections to one dispatcher.
    #[serde(default = "default_client_connections")]
    #[serde(rename = "connections")]
    pub max_connections: usize,
}

fn default_response_timeout_ms() -> u64 {
    400
}
fn default_retry_probability() -> f64 {
    0.8
}
fn default_backoff_ms() -> [u64; 2] {
    [310, 980]
}
fn default_failure_detection_ms() -> [u64; 2] {
    [300, 1500]
}
fn default_client_connections() -> usize {
    120
}

/// A class of messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeated delivery does.
    pub effect: Effect,
    /// Relative share of the messages that are of this class.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Target latency in seconds.
    #[serde(rename = "aim_s")]
    pub target_latency_s: f64,
    /// Seconds after which a message is given up.
    pub deadline_s: f64,
    /// For keyed classes: seconds for which a partner remembers an idempotency key.
    #[serde(default)]
    #[serde(rename = "window_s")]
    pub key_window_s: f64,
    /// Value of a delivery within the target latency.
    #[serde(default = "default_value")]
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of that value that is left at the deadline.
    #[serde(default = "default_deadline_value_share")]
    #[serde(rename = "late_share")]
    pub deadline_value_share: f64,
    /// Smallest and largest body, in bytes.
    #[serde(default = "default_body_bytes")]
    #[serde(rename = "body")]
    pub body_bytes: [usize; 2],
}

fn default_value() -> f64 {
    1.0
}
fn default_deadline_value_share() -> f64 {
    0.3
}
fn default_body_bytes() -> [usize; 2] {
    [100, 400]
}

/// How a partner limits the rate of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RateLimit {
    /// Not at all; only its capacity counts.
    #[default]
    None,
    /// A token bucket whose burst is a quarter second of the rate.
    Rate,
    /// A number of calls per fixed window.
    Window,
}

/// A partner: one destination with its endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Number of its endpoints.
    #[serde(default = "default_endpoints")]
    pub endpoints: usize,
    /// Relative share of the messages that go to this partner.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Tenant whose messages it receives.
    #[serde(default)]
    #[serde(rename = "customer")]
    pub tenant: Option<String>,
    /// Calls per second that it serves when warm, over all endpoints.
    #[serde(rename = "capacity")]
    pub capacity_per_s: f64,
    /// Shortest and longest service time of a call, in milliseconds.
    pub service_ms: [f64; 2],
    /// Longest time that a call may wait in an endpoint's queue, in milliseconds; calls beyond it are
    /// rejected.
    #[serde(default = "default_max_queue_ms")]
    #[serde(rename = "queue_ms")]
    pub max_queue_ms: f64,
    /// How it limits the rate of calls.
    #[serde(default)]
    #[serde(rename = "limit")]
    pub rate_limit: RateLimit,
    /// The rate limit in calls per second.
    #[serde(default)]
    pub limit_per_s: f64,
    /// Length of the window of a window limit, in seconds.
    #[serde(default = "default_limit_window_s")]
    #[serde(rename = "window_s")]
    pub limit_window_s: f64,
    /// Whether calls above the rate limit are answered with a Retry-After.
    #[serde(default)]
    #[serde(rename = "tells_wait")]
    pub sends_retry_after: bool,
    /// Maximum number of messages in one call.
    #[serde(default = "default_max_batch")]
    #[serde(rename = "batch")]
    pub max_batch: usize,
    /// Connections that an endpoint accepts.
    #[serde(default = "default_partner_connections")]
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Seconds after which it closes an idle connection.
    #[serde(default = "default_idle_timeout_s")]
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Probability that a call fails with status 500; half of these have taken effect.
    #[serde(default)]
    #[serde(rename = "errors")]
    pub error_probability: f64,
    /// Probability that the connection is reset after the call has taken effect.
    #[serde(default)]
    #[serde(rename = "resets")]
    pub reset_probability: f64,
    /// Probability that the response is truncated at a random byte.
    #[serde(default)]
    #[serde(rename = "cuts")]
    pub truncation_probability: f64,
    /// Probability that the response is malformed.
    #[serde(default)]
    #[serde(rename = "spoilt")]
    pub malformed_probability: f64,
    /// Probability that a valid response carries data that does not belong to it: an informational (1xx)
    /// response before it, a second copy or noise after it, or an unreadable rate limit report.
    #[serde(default)]
    #[serde(rename = "extras")]
    pub extra_data_probability: f64,
    /// Probability that a response of any status is followed, after 0.1 ms to 2 s, by one that belongs to no request: a
    /// copy of it or of an earlier one, whole or in halves, or another response.
    #[serde(default)]
    #[serde(rename = "misplaced")]
    pub misplaced_probability: f64,
    /// Probability that the connection is reset on the first bytes of a request, which is then not executed.
    #[serde(default)]
    #[serde(rename = "request_resets")]
    pub request_reset_probability: f64,
}

fn default_endpoints() -> usize {
    2
}
fn default_max_queue_ms() -> f64 {
    400.0
}
fn default_limit_window_s() -> f64 {
    1.0
}
fn default_max_batch() -> usize {
    1
}
fn default_partner_connections() -> usize {
    64
}
fn default_idle_timeout_s() -> f64 {
    15.0
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL to a dispatcher, which is then restarted.
    Kill,
    /// Planned restart: SIGTERM, SIGKILL 3.7 s later if it still runs, and a start.
    Term,
    /// SIGSTOP, and SIGCONT at the end of the fault.
    Stop,
    /// SIGHUP with a new configuration in which discovery has another address.
    Reload,
    /// A partner refuses connections, then recovers cold.
    Down,
    /// A partner does not respond on any connection, then recovers cold.
    Silent,
    /// A partner accepts calls and never responds, then recovers cold.
    Hang,
    /// A partner rejects all calls, then recovers cold.
    Shut,
    /// A partner fails most calls, then recovers cold.
    Errors,
    /// A partner's service times are `factor` times as long.
    Slow,
    /// A partner's responses are truncated at random bytes.
    Cuts,
    /// A partner's responses are malformed.
    Spoilt,
    /// An endpoint drains, and is removed at the end of the fault.
    Drain,
    /// An endpoint is removed; a new one with another name takes over its address.
    Replace,
    /// Discovery does not respond.
    PlatformSilent,
    /// Discovery's messages are truncated in the middle of a line.
    PlatformTorn,
    /// Discovery reports changes `factor` seconds late.
    PlatformLate,
}

impl FaultKind {
    /// Whether the fault's target is a dispatcher.
    pub fn targets_dispatcher(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Term | FaultKind::Stop | FaultKind::Reload)
    }

    /// Whether the fault's target is the platform.
    pub fn targets_platform(self) -> bool {
        matches!(self, FaultKind::PlatformSilent | FaultKind::PlatformTorn | FaultKind::PlatformLate)
    }

    /// Whether the fault has no duration.
    fn is_instant(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Term | FaultKind::Reload | FaultKind::Replace)
    }
}

/// One fault of a scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds since the start of the run.
    pub at_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration in seconds.
    #[serde(default)]
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Index of the target dispatcher, from 0.
    pub dispatcher: Option<usize>,
    /// Name of the target partner.
    pub partner: Option<String>,
    /// Index of the partner's endpoint, from 0.
    #[serde(default)]
    pub endpoint: usize,
    /// Slowdown factor, or seconds of delay.
    pub factor: Option<f64>,
}

/// Number of random faults of each kind; their times and targets follow from the seed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RandomFaults {
    /// Kills of dispatchers.
    pub kills: usize,
    /// Planned restarts of dispatchers.
    #[serde(rename = "terms")]
    pub planned_restarts: usize,
    /// Dispatchers that are paused by SIGSTOP.
    #[serde(rename = "stops")]
    pub pauses: usize,
    /// New configurations.
    pub reloads: usize,
    /// Outages of partners, of any kind.
    pub outages: usize,
    /// Partners that slow down.
    #[serde(rename = "slows")]
    pub slowdowns: usize,
    /// Partners whose responses are truncated or malformed.
    #[serde(rename = "spoils")]
    pub corruptions: usize,
    /// Endpoints that drain or are replaced.
    #[serde(rename = "churns")]
    pub endpoint_changes: usize,
    /// Periods in which discovery is silent, torn or late.
    #[serde(rename = "platform")]
    pub platform_faults: usize,
}

/// Repeated kills: each dispatcher is killed some time after it has become ready again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KillerSettings {
    /// Number of kills over all dispatchers. Kills that are not reached before the last tenth of the run are
    /// skipped.
    pub kills: usize,
    /// Shortest and longest time from ready to the next kill, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// How long a kill waits for a moment in the middle of a journal compaction, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub max_compaction_wait_ms: u64,
}

impl Default for KillerSettings {
    fn default() -> KillerSettings {
        KillerSettings { kills: 0, interval_ms: [50, 500], max_compaction_wait_ms: 0 }
    }
}

/// Repeated upgrades: a second process starts beside the first and takes over.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpgraderSettings {
    /// Number of upgrades over all dispatchers. Upgrades that are not reached before the last tenth of the run
    /// are skipped.
    pub upgrades: usize,
    /// Shortest and longest time between two upgrades of a dispatcher, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// Probability that the old process, the new one or both are killed during an upgrade.
    #[serde(rename = "kills")]
    pub kill_probability: f64,
    /// Longest time from the second process's start to such a kill, in milliseconds.
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

/// The dispatchers as members of a fleet, with random faults between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Number of voters, which are the first members; the others are learners. Without voters there is no
    /// fleet.
    pub voters: usize,
    /// Further lines of the fleet's configuration file.
    #[serde(rename = "settings")]
    pub extra_config: String,
    /// Number of faults until the last fifth of the run.
    #[serde(rename = "troubles")]
    pub fault_count: usize,
    /// Earliest time of a fault, in seconds; all members have joined by then.
    #[serde(rename = "from_s")]
    pub first_fault_s: f64,
    /// Shortest and longest time between two faults, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: [u64; 2],
    /// Clock rate of each member; 1 for members that are not listed. Needs a build with the feature `planted`.
    pub clock_rates: Vec<f64>,
    /// Restricts the faults to one kind: `kill`, `stop`, `cut` or `slow`.
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

/// How a destination recovers from an outage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// Seconds until it is warm again.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of its capacity at the start of the recovery.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// It collapses when it receives more than this multiple of its current capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... for this many seconds.
    #[serde(rename = "fall_s")]
    pub overload_s: f64,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery { warm_up_s: 9.6, initial_capacity_share: 0.19, overload_multiple: 2.0, overload_s: 3.0 }
    }
}

impl Scenario {
    /// Parses and validates a scenario; `name` is the file's name in error messages.
    ///
    /// # Errors
    /// One line: the file, the line where one can be named, what is wrong and what is expected.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, String> {
        let line_of = |offset: usize| text[..offset.min(text.len())].lines().count().max(1);
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_of(span.start + 1));
            format!("{name}:{line}: {}", error.message().replace('\n', "; "))
        })?;
        scenario.check().map_err(|(section, index, key, problem)| {
            let line = key_line(text, section, index, key);
            format!("{name}:{line}: {key}: {problem}")
        })?;
        Ok(scenario)
    }

    /// Reads a scenario file.
    ///
    /// # Errors
    /// As [`Scenario::parse`]; also where the file can't be read.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Scenario::parse(&path.display().to_string(), &text)
    }

    /// Validates the values. An error is the section, the index among sections of that name, the key and the
    /// problem.
    fn check(&self) -> Result<(), (&'static str, usize, &'static str, String)> {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        let require = |holds: bool, section, index, key, problem: &str| match holds {
            true => Ok(()),
            false => Err((section, index, key, problem.to_string())),
        };
        const POSITIVE: &str = "must be a number above 0";
        const FRACTION: &str = "must lie between 0 and 1";
        let duration = self.duration_s;
        require(
            is_positive(duration) && duration <= MAX_DURATION_S,
            "",
            0,
            "length_s",
            "must be above 0 and at most 600",
        )?;
        require(self.slack_ms <= 2000, "", 0, "slack_ms", "must be at most 2000")?;
        let dispatchers = &self.dispatchers;
        for (key, number, max) in [
            ("count", dispatchers.count, 64),
            ("slots", dispatchers.slots, 10_000),
            ("room", dispatchers.max_pending, 1_000_000),
            ("attempts", dispatchers.max_attempts as usize, 1000),
            ("sockets", dispatchers.sockets, 100_000),
        ] {
            require(
                (1..=max).contains(&number),
                "dispatchers",
                0,
                key,
                &format!("must lie between 1 and {max}"),
            )?;
        }
        for (key, value) in [
            ("tick_ms", dispatchers.tick_ms),
            ("memory_mb", dispatchers.memory_mb),
            ("disk_mb", dispatchers.disk_mb),
        ] {
            require(is_positive(value), "dispatchers", 0, key, POSITIVE)?;
        }
        let fleet = &self.fleet;
        let valid_voters = [0, 1, 3, 5, 7].contains(&fleet.voters) && fleet.voters <= dispatchers.count;
        require(valid_voters, "fleet", 0, "voters", "must be 0, 1, 3, 5 or 7, and no more than dispatchers")?;
        require(fleet.fault_count <= 10_000, "fleet", 0, "troubles", "must be at most 10000")?;
        require(
            fleet.interval_ms[0] <= fleet.interval_ms[1],
            "fleet",
            0,
            "every_ms",
            "the shortest must not exceed the longest",
        )?;
        let valid_only =
            fleet.only_kind.as_deref().is_none_or(|only| ["kill", "stop", "cut", "slow"].contains(&only));
        require(valid_only, "fleet", 0, "only", "must be kill, stop, cut or slow")?;
        require(
            fleet.first_fault_s.is_finite() && fleet.first_fault_s >= 0.0,
            "fleet",
            0,
            "from_s",
            "must be a number of at least 0",
        )?;
        let clients = &self.clients;
        require(is_positive(clients.messages_per_s), "clients", 0, "rate", POSITIVE)?;
        let message_count = clients.messages_per_s * duration;
        require(
            message_count <= MAX_MESSAGES,
            "clients",
            0,
            "rate",
            "more than 500,000 messages in the run's length",
        )?;
        require(is_fraction(clients.retry_probability), "clients", 0, "retries", FRACTION)?;
        require(clients.response_timeout_ms > 0, "clients", 0, "patience_ms", POSITIVE)?;
        require(clients.max_connections > 0, "clients", 0, "connections", POSITIVE)?;
        for (key, range) in [("backoff_ms", clients.backoff_ms), ("notice_ms", clients.failure_detection_ms)]
        {
            require(range[0] <= range[1], "clients", 0, key, "the minimum must not exceed the maximum")?;
        }
        require(!self.classes.is_empty(), "", 0, "class", "at least one [[class]] expected")?;
        for (i, class) in self.classes.iter().enumerate() {
            for (key, value) in
                [("share", class.weight), ("aim_s", class.target_latency_s), ("deadline_s", class.deadline_s)]
            {
                require(is_positive(value), "class", i, key, POSITIVE)?;
            }
            let keyed = class.effect == Effect::Keyed;
            require(
                !keyed || is_positive(class.key_window_s),
                "class",
                i,
                "window_s",
                "a keyed class needs a window above 0",
            )?;
            require(is_fraction(class.deadline_value_share), "class", i, "late_share", FRACTION)?;
            require(
                class.value.is_finite() && class.value >= 0.0,
                "class",
                i,
                "worth",
                "must be at least 0",
            )?;
            let valid_body = class.body_bytes[0] <= class.body_bytes[1] && class.body_bytes[1] <= 64 * 1024;
            require(valid_body, "class", i, "body", "expected minimum and maximum, at most 65536")?;
            let is_duplicate = self.classes[..i].iter().any(|other| other.name == class.name);
            require(!is_duplicate, "class", i, "name", "duplicate class name")?;
            let valid_name =
                !class.name.is_empty() && class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            require(valid_name, "class", i, "name", "only letters, digits and '-' are allowed")?;
        }
        require(!self.partners.is_empty(), "", 0, "partner", "at least one [[partner]] expected")?;
        for (i, partner) in self.partners.iter().enumerate() {
            let spec = partner;
            let is_duplicate = self.partners[..i].iter().any(|other| other.name == spec.name);
            require(!is_duplicate, "partner", i, "name", "duplicate partner name")?;
            for (key, value) in [
                ("share", spec.weight),
                ("capacity", spec.capacity_per_s),
                ("idle_s", spec.idle_timeout_s),
                ("window_s", spec.limit_window_s),
            ] {
                require(is_positive(value), "partner", i, key, POSITIVE)?;
            }
            let tenant_exists =
                spec.tenant.iter().all(|name| self.tenants.iter().any(|tenant| tenant.name == *name));
            require(tenant_exists, "partner", i, "customer", "no [[customer]] has this name")?;
            require(
                (1..=64).contains(&spec.endpoints),
                "partner",
                i,
                "endpoints",
                "must lie between 1 and 64",
            )?;
            require(
                (1..=100).contains(&spec.max_batch),
                "partner",
                i,
                "batch",
                "must lie between 1 and 100",
            )?;
            require(spec.max_connections > 0, "partner", i, "connections", POSITIVE)?;
            require(
                spec.max_queue_ms.is_finite() && spec.max_queue_ms >= 0.0,
                "partner",
                i,
                "queue_ms",
                "must be at least 0",
            )?;
            let valid_service = is_positive(spec.service_ms[0])
                && spec.service_ms[0] <= spec.service_ms[1]
                && spec.service_ms[1] <= 60_000.0;
            require(
                valid_service,
                "partner",
                i,
                "service_ms",
                "expected minimum and maximum, above 0 and at most 60000",
            )?;
            let valid_limit = spec.rate_limit == RateLimit::None || is_positive(spec.limit_per_s);
            require(valid_limit, "partner", i, "limit_per_s", "a rate limit needs a value above 0")?;
            for (key, value) in [
                ("errors", spec.error_probability),
                ("resets", spec.reset_probability),
                ("cuts", spec.truncation_probability),
                ("spoilt", spec.malformed_probability),
                ("extras", spec.extra_data_probability),
                ("misplaced", spec.misplaced_probability),
                ("request_resets", spec.request_reset_probability),
            ] {
                require(is_fraction(value), "partner", i, key, FRACTION)?;
            }
            let sum = spec.error_probability
                + spec.reset_probability
                + spec.truncation_probability
                + spec.malformed_probability
                + spec.extra_data_probability;
            require(
                sum <= 1.0,
                "partner",
                i,
                "errors",
                "errors, resets, cuts, spoilt and extras must not add up to more than 1",
            )?;
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            require(is_positive(tenant.quota_per_s), "customer", i, "quota_per_s", POSITIVE)?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(i, fault)?;
        }
        let recovery = &self.recovery;
        require(is_positive(recovery.warm_up_s), "returning", 0, "cold_s", POSITIVE)?;
        require(is_positive(recovery.overload_s), "returning", 0, "fall_s", POSITIVE)?;
        require(is_positive(recovery.overload_multiple), "returning", 0, "multiple", POSITIVE)?;
        require(
            is_fraction(recovery.initial_capacity_share) && recovery.initial_capacity_share > 0.0,
            "returning",
            0,
            "cold_share",
            FRACTION,
        )
    }

    /// Validates one fault; errors as for `check`.
    fn check_fault(
        &self, i: usize, fault: &Fault,
    ) -> Result<(), (&'static str, usize, &'static str, String)> {
        let error = |key, problem: String| Err(("fault", i, key, problem));
        let duration = self.duration_s;
        if !(0.0..=duration).contains(&fault.at_s) {
            return error("at_s", format!("must lie between 0 and the run's {duration} s"));
        }
        if !fault.duration_s.is_finite() || fault.duration_s < 0.0 {
            return error("for_s", "must be at least 0".into());
        }
        if fault.at_s + fault.duration_s > duration {
            return error("for_s", format!("must end within the run's {duration} s"));
        }
        if !fault.kind.is_instant() && fault.duration_s == 0.0 {
            return error("for_s", "this fault kind needs a duration above 0".into());
        }
        match fault.dispatcher {
            Some(index) if index >= self.dispatchers.count => {
                return error(
                    "dispatcher",
                    format!("there are only {}, counted from 0", self.dispatchers.count),
                );
            }
            None if fault.kind.targets_dispatcher() => {
                return error("dispatcher", "missing: expected an index from 0".into());
            }
            Some(_) if !fault.kind.targets_dispatcher() => {
                return error("dispatcher", "this fault kind does not target a dispatcher".into());
            }
            _ => {}
        }
        let partner = fault.partner.as_ref();
        let found_partner = partner.and_then(|name| self.partners.iter().find(|p| p.name == *name));
        let needs_partner = !fault.kind.targets_dispatcher() && !fault.kind.targets_platform();
        match (partner, found_partner) {
            (Some(name), None) => return error("partner", format!("no partner is named '{name}'")),
            (None, _) if needs_partner => return error("partner", "missing: expected a name".into()),
            (Some(_), _) if !needs_partner => return error("partner", "not allowed for this kind".into()),
            (_, Some(found_partner)) if fault.endpoint >= found_partner.endpoints => {
                return error(
                    "endpoint",
                    format!("'{}' has only {}, counted from 0", found_partner.name, found_partner.endpoints),
                );
            }
            _ => {}
        }
        let needs_factor = matches!(fault.kind, FaultKind::Slow | FaultKind::PlatformLate);
        if needs_factor
            && !fault.factor.is_some_and(|factor| factor.is_finite() && factor > 0.0 && factor <= 1000.0)
        {
            return error("factor", "must be a number above 0 and at most 1000".into());
        }
        // Overlapping outages of one partner would leave the time of its recovery undefined.
        if let Some(other) = self.faults[..i].iter().find(|other| {
            !fault.kind.is_instant()
                && !other.kind.is_instant()
                && other.partner.is_some()
                && other.partner == fault.partner
                && other.at_s < fault.at_s + fault.duration_s
                && fault.at_s < other.at_s + other.duration_s
        }) {
            let text = format!(
                "another fault affects this partner from {} s for {} s",
                other.at_s, other.duration_s
            );
            return error("at_s", text);
        }
        Ok(())
    }
}

/// The line of a key in the section with this index, or the section's own line where the key is not written.
fn key_line(text: &str, section: &str, index: usize, key: &str) -> usize {
    let (mut current_section, mut seen_sections, mut section_line) = (String::new(), 0, 1);
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[') {
            current_section = name.trim_matches(['[', ']']).trim().to_string();
            if current_section == section {
                seen_sections += 1;
                if seen_sections == index + 1 {
                    section_line = i + 1;
                }
            }
        } else if current_section == section
            && (section.is_empty() || seen_sections == index + 1)
            && line.split(['=', ' ']).next() == Some(key)
        {
            return i + 1;
        }
    }
    section_line
}
