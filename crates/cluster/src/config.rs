//! The operators' configuration file (HCL) that makes a dispatcher a member of a fleet. Nothing of this package runs
//! without one.

use crate::Seconds;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// The numbers of voters that a fleet may have.
pub const ALLOWED_VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];
/// Maximum number of members, voters included.
pub const MAX_MEMBERS: usize = 307;
/// Maximum length of a name: each snapshot contains the names of all members.
const MAX_NAME_BYTES: usize = 64;
/// The shortest and the longest lease term.
pub const TERM_SECONDS: (Seconds, Seconds) = (0.5, 60.0);
/// The largest clock rate error that may be configured.
pub const MAX_CLOCK_RATE: f64 = 0.2;
/// Heartbeats that a leader sends in one lease term.
const HEARTBEATS_PER_TERM: f64 = 20.0;
/// A follower stands for election after this many to twice as many heartbeat intervals without a leader; the number is
/// drawn at random.
pub const ELECTION_TICKS: usize = 10;
/// The shortest and the longest heartbeat interval.
const HEARTBEAT_INTERVAL_SECONDS: (Seconds, Seconds) = (0.025, 0.5);

/// The validated configuration of a fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The fleet's name. Members of other fleets are rejected.
    pub cluster: String,
    /// How long a member may act on its duties without a new confirmation, counted from before it requested the last
    /// one.
    #[serde(default = "default_term")]
    pub term_s: Seconds,
    /// Maximum relative error of a clock's rate, as a fraction of 1.
    #[serde(default = "default_clock_rate")]
    pub clock_rate: f64,
    /// How long other members defer after an update from a duty's holder.
    #[serde(default = "default_max_hold")]
    pub hold_most_s: Seconds,
    /// Maximum size of the replicated log on disk, in megabytes.
    #[serde(default = "default_max_disk")]
    pub disk_mb: f64,
    /// Maximum memory for queued frames, in megabytes: half for frames to send, half for received ones. Each half holds
    /// at least one packet of maximum size.
    #[serde(default = "default_max_memory")]
    pub memory_mb: f64,
    /// Length in entries at which the holder of the log maintenance duty has the log compacted.
    #[serde(default = "default_compaction_length")]
    pub cut_after: u64,
    /// Interval at which the holder of the log maintenance duty writes a round into the log.
    #[serde(default = "default_maintenance_interval")]
    pub keeper_round_s: Seconds,
    /// Whether each action and each holder update under a duty is logged, for tests and for diagnosis.
    #[serde(default)]
    pub history: bool,
    /// All members by name, which is the dispatcher's name in its own configuration.
    pub member: BTreeMap<String, PeerConfig>,
}

/// The `member` block of one member.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// The address that other members connect to.
    pub at: SocketAddr,
    /// The address that it listens on, if that is another one.
    pub listen: Option<SocketAddr>,
    /// Whether it is a voter.
    #[serde(default)]
    pub voter: bool,
}

fn default_term() -> Seconds {
    3.0
}

fn default_clock_rate() -> f64 {
    0.02
}

fn default_max_hold() -> Seconds {
    3.0
}

fn default_max_disk() -> f64 {
    4.0
}

fn default_max_memory() -> f64 {
    4.0
}

fn default_compaction_length() -> u64 {
    2000
}

fn default_maintenance_interval() -> Seconds {
    10.0
}

impl FleetConfig {
    /// Loads and validates the file for the member of this name.
    ///
    /// # Errors
    /// One line with the file, the key and the fault.
    pub fn load(path: &Path, name: &str) -> Result<FleetConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        FleetConfig::parse(&text, name).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    /// One line with the key and the fault.
    pub fn parse(text: &str, name: &str) -> Result<FleetConfig, String> {
        let one_line = |error: String| error.split_whitespace().collect::<Vec<_>>().join(" ");
        let value: serde_json::Value = hcl::from_str(text).map_err(|error| one_line(error.to_string()))?;
        let config: FleetConfig = serde_path_to_error::deserialize(value)
            .map_err(|error| one_line(format!("{}: {}", error.path(), error.inner())))?;
        config.validate(name)?;
        Ok(config)
    }

    fn validate(&self, name: &str) -> Result<(), String> {
        let check_range = |key: &str, value: f64, (min, max): (f64, f64)| {
            let error = || format!("{key}: must lie between {min} and {max}");
            (min..=max).contains(&value).then_some(()).ok_or_else(error)
        };
        if self.cluster.is_empty() || self.cluster.len() > MAX_NAME_BYTES {
            return Err(format!("cluster: must be a name of 1 to {MAX_NAME_BYTES} bytes"));
        }
        check_range("term_s", self.term_s, TERM_SECONDS)?;
        check_range("clock_rate", self.clock_rate, (0.0, MAX_CLOCK_RATE))?;
        check_range("hold_most_s", self.hold_most_s, (0.1, 60.0))?;
        check_range("disk_mb", self.disk_mb, (0.25, 1000.0))?;
        check_range("memory_mb", self.memory_mb, (2.5, 1000.0))?;
        check_range("cut_after", self.cut_after as f64, (10.0, 1e6))?;
        check_range("keeper_round_s", self.keeper_round_s, (0.01, 3600.0))?;
        let voters = self.voters().count();
        if !ALLOWED_VOTER_COUNTS.contains(&voters) {
            return Err(format!("member: {voters} have voter = true, must be 1, 3, 5 or 7"));
        }
        if self.member.len() > MAX_MEMBERS {
            return Err(format!("member: {} are named, {MAX_MEMBERS} at most", self.member.len()));
        }
        for (member, peer) in &self.member {
            if member.is_empty() || member.len() > MAX_NAME_BYTES {
                return Err(format!("member.{member}: a name must have 1 to {MAX_NAME_BYTES} bytes"));
            }
            if peer.at.port() == 0 {
                return Err(format!("member.{member}.at: must have a port"));
            }
            if let Some((other, _)) =
                self.member.iter().find(|(other, p)| *other != member && p.at == peer.at)
            {
                return Err(format!("member.{member}.at: is also the address of {other}"));
            }
        }
        if !self.member.contains_key(name) {
            return Err(format!("member: does not name {name}, which is this dispatcher"));
        }
        Ok(())
    }

    /// The names of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &str> {
        self.member.iter().filter(|(_, peer)| peer.voter).map(|(name, _)| &**name)
    }

    /// Whether the member of this name is a voter.
    pub fn is_voter(&self, name: &str) -> bool {
        self.member.get(name).is_some_and(|peer| peer.voter)
    }

    /// Whether `dialer` is the one of the two members that opens their connection: a learner connects to each voter,
    /// and a voter to each voter whose name sorts after its own.
    pub fn dials(&self, dialer: &str, target: &str) -> bool {
        match (self.is_voter(dialer), self.is_voter(target)) {
            (false, voter) => voter,
            (true, true) => dialer < target,
            (true, false) => false,
        }
    }

    /// Time between two heartbeats of a leader, which is also the length of a Raft tick.
    pub fn heartbeat_interval(&self) -> Seconds {
        (self.term_s / HEARTBEATS_PER_TERM).clamp(HEARTBEAT_INTERVAL_SECONDS.0, HEARTBEAT_INTERVAL_SECONDS.1)
    }

    /// The longest time from a leader's last heartbeat until a follower stands for election.
    pub fn max_election_time(&self) -> Seconds {
        2.0 * ELECTION_TICKS as f64 * self.heartbeat_interval()
    }

    /// How long a leader waits, on its own clock, until a lease term that started before has expired on every clock;
    /// all clocks run at 1 ± `clock_rate` of true time.
    pub fn guard_time(&self) -> Seconds {
        guard_time(self.term_s, self.clock_rate)
    }
}

/// A duration on one clock that is at least `term` on any other, where both run at 1 ± `rate` of true time.
pub fn guard_time(term: Seconds, rate: f64) -> Seconds {
    term * (1.0 + rate) / (1.0 - rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "cluster = \"m\"\nmember \"a\" {\n  at = \"127.0.0.1:7101\"\n  voter = true\n}\n\
                        member \"b\" {\n  at = \"127.0.0.1:7102\"\n}\n";

    #[test]
    fn defaults_and_member_blocks_are_parsed() {
        let config = FleetConfig::parse(VALID, "b").unwrap();
        assert_eq!(
            (config.term_s, config.clock_rate, config.voters().collect::<Vec<_>>()),
            (3.0, 0.02, vec!["a"])
        );
        assert!(config.dials("b", "a") && !config.dials("a", "b"));
        assert!(config.guard_time() > 3.0 * 1.04 && config.guard_time() < 3.0 * 1.05);
    }

    #[test]
    fn an_error_is_one_line_that_names_the_key() {
        let with_line = |line: &str| format!("{line}\n{VALID}");
        let cases = [
            (with_line("term_s = 0.1"), "term_s: must lie between 0.5 and 60"),
            (with_line("term_s = \"long\""), "term_s: invalid type"),
            (with_line("clock_rate = 0.5"), "clock_rate: must lie"),
            (with_line("turm_s = 3"), "unknown field `turm_s`"),
            (with_line("disk_mb = 0"), "disk_mb: must lie"),
            (VALID.replace("\"m\"", "\"\""), "cluster: must be a name"),
            (VALID.replace("voter = true", "voter = false"), "member: 0 have voter = true"),
            (VALID.replace("\"b\"", &format!("\"{}\"", "b".repeat(65))), "a name must have 1 to 64 bytes"),
            (VALID.replace("7102", "7101"), "is also the address of b"),
            (VALID.replace("7102", "0"), "member.b.at: must have a port"),
            (VALID.replace("127.0.0.1:7102", "nowhere"), "member.b.at: "),
            (VALID.replace("voter", "votes"), "member.a"),
            (VALID.replace("member \"b\"", "member \"c\""), "does not name b"),
            ("cluster = ".to_string(), "-->"),
        ];
        for (text, expected) in cases {
            let error = FleetConfig::parse(&text, "b").unwrap_err();
            assert!(error.contains(expected) && !error.contains('\n'), "{expected}: {error}");
        }
    }
}
