//! The configuration: one JSON file and a few environment variables, checked once at startup.

use crate::memory_plan::{MemoryDemand, MemoryPlan};
use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::runtime;
use fawnspoke_control::{override_file, server};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use waydoor::{Class, DestinationKind, DiscoveryMode, Effect, Settings, SlowStart, Tenant, ValueDecay};

/// The configuration of this dispatcher.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    pub discovery_address: SocketAddr,
    /// The address of the control port, if there is one.
    pub control_address: Option<SocketAddr>,
    /// The directory for everything that outlives the process.
    pub state_dir: PathBuf,
    /// The fleet file, if this dispatcher is a member of a fleet.
    pub fleet: Option<FleetConfig>,
    pub seed: u64,
    pub limits: Limits,
    /// The file as it was read, without `known`.
    pub document: Value,
    /// The list of endpoints that the file has as `known`, in discovery's format. Taken out at the start.
    pub known: String,
    /// The settings of the decision core.
    pub settings: Settings,
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub tenants: Vec<String>,
    /// Events within this interval are handled together.
    pub tick_seconds: f64,
    pub connect_timeout_seconds: f64,
    /// An endpoint that drains or is gone may get calls for this long after this dispatcher was told.
    pub drain_grace_seconds: f64,
    pub max_retry_after_seconds: f64,
    /// The fields of a load report that hold an endpoint's rate limit and what is left of it, if
    /// answers carry reports.
    pub report_fields: Option<(&'static str, Option<&'static str>)>,
}

/// The resource limits of the process, and what follows from them for its modules.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
    /// What other parts of the process use.
    #[serde(skip)]
    pub reserved: Reserved,
}

/// Resources that are not available to the journal, clients and calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reserved {
    pub descriptors: usize,
    pub disk_bytes: u64,
    /// Calls in flight that the settings allow; their connections need memory.
    pub call_slots: usize,
    /// Endpoints of the list that the file has as `known`.
    pub listed_endpoints: usize,
}

impl Limits {
    /// Descriptors of the process itself: standard streams, the runtime's, the listener, the journal's
    /// segment and its successor, connections to discovery, and those that are about to be closed.
    const OWN_DESCRIPTORS: usize = 20;
    /// Share of the client connections that may be idle.
    const IDLE_CLIENT_SHARE: f64 = 1.0 / 3.0;
    /// Callers of the control port get one of this many descriptors, within the limits below.
    const DESCRIPTORS_PER_CONTROL_CALLER: usize = 8;
    const MIN_CONTROL_CALLERS: usize = 16;
    const MAX_CONTROL_CALLERS: usize = 128;
    /// Share of the disk space that the fleet's record may use.
    const FLEET_DISK_SHARE: f64 = 0.5;

    /// Maximum number of callers of the control port at a time.
    pub fn max_control_callers(&self) -> usize {
        (self.sockets / Limits::DESCRIPTORS_PER_CONTROL_CALLER)
            .clamp(Limits::MIN_CONTROL_CALLERS, Limits::MAX_CONTROL_CALLERS)
    }

    /// How the memory is divided.
    pub fn memory_plan(&self) -> MemoryPlan {
        let free_descriptors = self.sockets.saturating_sub(self.used_descriptors());
        let client_connections = free_descriptors / 2;
        MemoryPlan::new(&MemoryDemand {
            limit: (self.memory_mb * 1e6) as u64,
            disk: (self.disk_mb * 1e6) as u64,
            client_connections,
            endpoint_connections: free_descriptors - client_connections,
            slots: self.reserved.call_slots,
            listed_endpoints: self.reserved.listed_endpoints,
        })
    }

    /// Maximum number of client connections: half of the descriptors, and no more than the memory has room for.
    pub fn max_clients(&self) -> usize {
        self.memory_plan().max_client_connections.max(1)
    }

    /// Maximum number of client connections without a request. Without this limit, clients that send one
    /// request and keep their connection could occupy all connections, and new clients would have to wait
    /// until old connections are closed. The cost is that a client that returns after a pause must
    /// reconnect.
    pub fn max_idle_clients(&self) -> usize {
        ((self.max_clients() as f64 * Limits::IDLE_CLIENT_SHARE) as usize).max(1)
    }

    /// Maximum number of concurrent calls: the connections that clients leave free, and no more than the memory has room
    /// for.
    fn max_calls(&self) -> usize {
        let free_descriptors = self.sockets.saturating_sub(self.used_descriptors() + self.max_clients());
        free_descriptors.min(self.memory_plan().max_endpoint_connections).max(1)
    }

    fn used_descriptors(&self) -> usize {
        Limits::OWN_DESCRIPTORS + self.reserved.descriptors
    }

    /// Bytes that the journal may use on disk: its files count as memory.
    pub fn journal_bytes(&self) -> u64 {
        self.memory_plan().files.saturating_sub(self.reserved.disk_bytes)
    }

    /// Maximum number of idle connections to endpoints: what this many calls leave free.
    pub fn max_idle_connections(&self, calls: usize) -> usize {
        self.max_calls().saturating_sub(calls).max(1)
    }
}

/// The file as it is written: the fields of this type and of those below are named like its keys.
#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    control: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    settings: RawSettings,
}

#[derive(Deserialize)]
struct RawSettings {
    balancers: u32,
    discovery: RawListing,
    family_info: RawFamily,
    grades: Vec<RawClass>,
    kinds: Vec<String>,
    limits: RawLimits,
    #[serde(default)]
    orgs: Vec<RawTenant>,
    over_share_worth: Option<f64>,
    report: RawReport,
    safety: RawSafety,
    tick: f64,
    weights: String,
    zone: u16,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawListing {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct RawFamily {
    call_slots: usize,
    kind_apart: Vec<bool>,
    kind_batch: Vec<usize>,
    loses_worth: RawDecay,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawDecay {
    Even,
    ByHalf,
}

#[derive(Deserialize)]
struct RawClass {
    name: String,
    deadline: f64,
    effect: RawEffect,
    gain: f64,
    goal_time: f64,
    group: String,
    late_share: f64,
    repeat_window: Option<f64>,
    #[serde(default)]
    serial_by_key: bool,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
struct RawLimits {
    connect_timeout: f64,
    keepalive: Option<f64>,
    max_retry_after: Option<f64>,
    open_cap: usize,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    send_cap: usize,
}

#[derive(Deserialize)]
struct RawReport {
    #[serde(default)]
    fields: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
struct RawSafety {
    cold: f64,
    cold_share: f64,
    fall: f64,
    must_ask_in: Option<f64>,
    stop_sending_within: Option<f64>,
    tip_multiple: f64,
}

const MIN_TICK_SECONDS: f64 = 1e-4;
/// The shortest grace of a drain that deployments have.
const DEFAULT_DRAIN_GRACE_SECONDS: f64 = 0.5;
const MIN_CONNECT_TIMEOUT_SECONDS: f64 = 1e-3;

/// Settings of the decision core whose keys in the file have another name.
const SETTING_KEYS: [(&str, &str); 10] = [
    ("slots", "family_info.call_slots"),
    ("room", "limits.open_cap"),
    ("attempts", "limits.send_cap"),
    ("dispatchers", "balancers"),
    ("returning.cold_share", "safety.cold_share"),
    ("returning.cold_time", "safety.cold"),
    ("returning.multiple", "safety.tip_multiple"),
    ("returning.window", "safety.fall"),
    ("listing.ask_within", "safety.must_ask_in"),
    ("keepalive", "limits.keepalive"),
];

impl Config {
    /// Reads the configuration that the environment names; an error names the key that is wrong.
    pub fn from_environment() -> Result<Config, String> {
        let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG: not set".to_string())?;
        let text = std::fs::read(&path).map_err(|error| format!("GW_CONFIG: {path}: {error}"))?;
        let state_dir = std::env::var_os("GW_STATE").ok_or("GW_STATE: not set")?;
        let control_address = match std::env::var("GW_CONTROL") {
            Ok(at) => Some(at.parse().map_err(|error| format!("GW_CONTROL: {at}: {error}"))?),
            Err(_) => None,
        };
        let fleet = std::env::var_os("FAWNSPOKE_FLEET").map(PathBuf::from);
        Config::read(&text, state_dir.into(), control_address, fleet.as_deref())
    }

    /// Reads a configuration that is only checked: it has no state directory.
    pub fn from_file(file: &Path) -> Result<Config, String> {
        let text = std::fs::read(file).map_err(|error| error.to_string())?;
        Config::read(&text, PathBuf::new(), None, None)
    }

    /// Whether the list is pushed by an agent on this machine. If not, it is requested from a discovery service that all
    /// dispatchers share.
    pub fn is_list_pushed(&self) -> bool {
        self.settings.discovery_mode == DiscoveryMode::Pushed
    }

    /// `control_address`: from the environment, which is this process's own; the file may be shared
    /// with other dispatchers.
    fn read(
        text: &[u8], state_dir: PathBuf, control_address: Option<SocketAddr>, fleet: Option<&Path>,
    ) -> Result<Config, String> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let mut raw: RawConfig = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| format!("{}: {}", error.path(), error.inner()))?;
        let control_address = control_address.or(raw.control);
        if control_address.is_some() {
            raw.limits.reserved = Reserved {
                descriptors: server::max_descriptors(raw.limits.max_control_callers()),
                disk_bytes: override_file::MAX_DISK_BYTES,
                ..Reserved::default()
            };
        }
        raw.limits.reserved.call_slots = raw.settings.family_info.call_slots;
        let mut document: Value = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        // Parsed, the list of a large fleet would take several megabytes for as long as the process runs.
        let known = document.as_object_mut().and_then(|document| document.remove("known"));
        let hosts = known.as_ref().and_then(|known| known["hosts"].as_array());
        raw.limits.reserved.listed_endpoints = hosts.map_or(0, Vec::len);
        let fleet = fleet.map(|path| FleetConfig::load(path, &raw.name)).transpose()?;
        if let Some(fleet_config) = &fleet {
            raw.limits.reserved.descriptors += runtime::max_descriptors(fleet_config, &raw.name);
            raw.limits.reserved.disk_bytes += runtime::max_disk_bytes(fleet_config);
            let max_fleet_bytes = raw.limits.disk_mb * 1e6 * Limits::FLEET_DISK_SHARE;
            if runtime::max_disk_bytes(fleet_config) as f64 > max_fleet_bytes {
                return Err(format!(
                    "FAWNSPOKE_FLEET: disk_mb: {} of {} MB; the journal needs at least half of them",
                    fleet_config.disk_mb, raw.limits.disk_mb
                ));
            }
        }
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|error| format!("seed: {error}"))?;
        let raw_settings = raw.settings;
        let mut classes = Vec::new();
        for (i, class) in raw_settings.grades.iter().enumerate() {
            if class.serial_by_key {
                return Err(format!("settings.grades[{i}].serial_by_key: ordering keys are not supported"));
            }
            let effect = match class.effect {
                RawEffect::ReadLike => Effect::Safe,
                RawEffect::NonIdempotent => Effect::Unsafe,
                RawEffect::IdempotencyKey => Effect::Keyed {
                    window: class
                        .repeat_window
                        .ok_or_else(|| format!("settings.grades[{i}].repeat_window: missing"))?,
                    by_zone: class.group != "all",
                },
            };
            let (target_latency, deadline, value) = (class.goal_time, class.deadline, class.gain);
            classes.push(Class {
                target_latency,
                deadline,
                value,
                late_value_share: class.late_share,
                effect,
                ordered: false,
            });
        }
        let family = &raw_settings.family_info;
        let kind = |i: usize| DestinationKind {
            independent_endpoints: family.kind_apart.get(i).copied().unwrap_or(false),
            max_batch: family.kind_batch.get(i).copied().unwrap_or(1),
        };
        let settings = Settings {
            dispatcher_count: raw_settings.balancers,
            max_concurrent_calls: family.call_slots.min(raw.limits.max_calls()),
            max_messages: raw_settings.limits.open_cap,
            max_attempts: u32::try_from(raw_settings.limits.send_cap)
                .map_err(|_| "settings.limits.send_cap: too large")?,
            keepalive: raw_settings.limits.keepalive,
            probes: raw_settings.limits.probes,
            cancel: raw_settings.limits.cancel,
            zone: raw_settings.zone,
            classes,
            kinds: (0..raw_settings.kinds.len()).map(kind).collect(),
            decay: match family.loses_worth {
                RawDecay::Even => ValueDecay::Linear,
                RawDecay::ByHalf => ValueDecay::Exponential,
            },
            discovery_mode: match raw_settings.discovery {
                RawListing::Automatic => DiscoveryMode::Pushed,
                RawListing::Subscribe => DiscoveryMode::Subscription {
                    max_renewal_interval: raw_settings
                        .safety
                        .must_ask_in
                        .ok_or("settings.safety.must_ask_in: missing")?,
                },
            },
            use_listed_rates: raw_settings.weights != "off",
            slow_start: SlowStart {
                cold_capacity_share: raw_settings.safety.cold_share,
                warm_up_time: raw_settings.safety.cold,
                overload_multiple: raw_settings.safety.tip_multiple,
                overload_window: raw_settings.safety.fall,
            },
            tenants: raw_settings.orgs.iter().map(|tenant| Tenant { quota: tenant.quota_per_s }).collect(),
            over_quota_value: raw_settings.over_share_worth.unwrap_or(1.0),
            order_key_cooldown: 0.0,
        };
        waydoor::Dispatcher::new(settings.clone(), seed).map_err(|error| {
            let key = SETTING_KEYS
                .iter()
                .find(|(name, _)| *name == error.name)
                .map_or(&*error.name, |(_, key)| key);
            let key = key.replace("tenants[", "orgs[").replace("].quota", "].quota_per_s");
            let key = key.replace("classes[", "grades[").replace("].worth", "].gain");
            let key = key.replace("].aim", "].goal_time").replace("].effect.window", "].repeat_window");
            format!("settings.{key}: {}", error.problem)
        })?;
        for (key, seconds, minimum) in [
            ("tick", raw_settings.tick, MIN_TICK_SECONDS),
            ("limits.connect_timeout", raw_settings.limits.connect_timeout, MIN_CONNECT_TIMEOUT_SECONDS),
        ] {
            if !(minimum..60.0).contains(&seconds) {
                return Err(format!(
                    "settings.{key}: must be a number of seconds, at least {minimum} and under 60"
                ));
            }
        }
        let drain_grace_seconds =
            raw_settings.safety.stop_sending_within.unwrap_or(DEFAULT_DRAIN_GRACE_SECONDS);
        if !(0.0..3600.0).contains(&drain_grace_seconds) {
            return Err(
                "settings.safety.stop_sending_within: must be a number of seconds, at least 0 and under 3600"
                    .into(),
            );
        }
        if raw_settings.limits.max_retry_after.is_some_and(|seconds| seconds < 0.0) {
            return Err("settings.limits.max_retry_after: must be a number of seconds, 0 or more".into());
        }
        for (i, class) in raw_settings.grades.iter().enumerate() {
            // It is part of a URL path.
            let is_path_byte = |b: u8| b.is_ascii_graphic() && !b"/?#".contains(&b);
            if class.name.is_empty() || !class.name.bytes().all(is_path_byte) {
                return Err(format!(
                    "settings.grades[{i}].name: {:?} cannot be part of a URL path",
                    class.name
                ));
            }
            if raw_settings.grades[..i].iter().any(|other| other.name == class.name) {
                return Err(format!("settings.grades[{i}].name: {} is a duplicate", class.name));
            }
        }
        let is_reported = |field: &str| {
            raw_settings.report.source == "inline" && raw_settings.report.fields.iter().any(|f| f == field)
        };
        Ok(Config {
            name: raw.name,
            listen_address: raw.listen,
            discovery_address: raw.discovery,
            control_address,
            state_dir,
            fleet,
            seed,
            limits: raw.limits,
            document,
            known: known.map_or_else(String::new, |known| known.to_string()),
            settings,
            classes: raw_settings.grades.into_iter().map(|class| class.name).collect(),
            kinds: raw_settings.kinds,
            zones: raw_settings.zones,
            tenants: raw_settings.orgs.into_iter().map(|tenant| tenant.name).collect(),
            tick_seconds: raw_settings.tick,
            connect_timeout_seconds: raw_settings.limits.connect_timeout,
            drain_grace_seconds,
            max_retry_after_seconds: raw_settings.limits.max_retry_after.unwrap_or(f64::INFINITY),
            report_fields: is_reported("x1").then_some(("x1", is_reported("x0").then_some("x0"))),
        })
    }

    /// The keys by which `other` differs and that take effect only at a restart: discovery's address is
    /// followed, and the seed and the list of known endpoints matter only at startup.
    pub fn differences(&self, other: &Config) -> Vec<String> {
        let mut keys = Vec::new();
        collect_differences("", &self.document, &other.document, &mut keys);
        keys.retain(|key| !["control", "discovery", "seed"].contains(&key.as_str()));
        keys
    }
}

/// Collects the paths at which two values differ; anything but an object is a leaf.
fn collect_differences(path: &str, one: &Value, other: &Value, keys: &mut Vec<String>) {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            let added = other.keys().filter(|key| !one.contains_key(*key));
            for key in one.keys().chain(added) {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let (one, other) = (one.get(key), other.get(key));
                collect_differences(&path, one.unwrap_or(&Value::Null), other.unwrap_or(&Value::Null), keys);
            }
        }
        _ if one != other => keys.push(path.to_string()),
        _ => {}
    }
}
