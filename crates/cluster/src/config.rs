//! The operators' file (HCL) that makes a dispatcher a member of a fleet. Without one nothing of this package runs.

use crate::Seconds;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// How many voters a fleet may have.
pub const VOTERS: [usize; 4] = [1, 3, 5, 7];
/// Members at most, voters among them.
pub const MAX_MEMBERS: usize = 307;
/// Bytes of a name: all names of a fleet go into each snapshot.
const NAME_MOST: usize = 64;
/// The least and longest term, in seconds.
pub const TERM: (Seconds, Seconds) = (0.5, 60.0);
/// The largest bound on clocks' rates.
pub const CLOCK_RATE_MOST: f64 = 0.2;
/// Heartbeats of a leader in one term.
const BEATS: f64 = 20.0;
/// Heartbeats without a leader after which a follower is a candidate, at least; up to twice as many, by chance.
pub const ELECTION_BEATS: usize = 10;
/// Heartbeats are no closer and no further apart than this, in seconds.
const BEAT: (Seconds, Seconds) = (0.025, 0.5);

/// The file, checked.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The fleet's name: members of another one are refused.
    pub cluster: String,
    /// How long a member holds what the log gives it, from before it asked, in seconds.
    #[serde(default = "term")]
    pub term_s: Seconds,
    /// How far a clock's rate may be from true, as a share of 1.
    #[serde(default = "clock_rate")]
    pub clock_rate: f64,
    /// How long others hold back on the word of a holder, in seconds.
    #[serde(default = "hold_most")]
    pub hold_most_s: Seconds,
    /// What the agreed log may take on disk, in megabytes.
    #[serde(default = "disk")]
    pub disk_mb: f64,
    /// What waits to be sent and to be heard may take, in megabytes: half each, and a packet fits into that.
    #[serde(default = "memory")]
    pub memory_mb: f64,
    /// Entries of the log after which its keeper has it cut.
    #[serde(default = "cut_after")]
    pub cut_after: u64,
    /// The keeper writes a round into the log so often, in seconds.
    #[serde(default = "keeper_round")]
    pub keeper_round_s: Seconds,
    /// Each act under a duty, and each word, is a line in the log: for tests and for looking into a fault.
    #[serde(default)]
    pub history: bool,
    /// Every member by its name, which is the dispatcher's in its configuration.
    pub member: BTreeMap<String, PeerConfig>,
}

/// One member's line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Where other members call it.
    pub at: SocketAddr,
    /// Where it listens, if that is another address.
    pub listen: Option<SocketAddr>,
    /// Whether it is to vote.
    #[serde(default)]
    pub voter: bool,
}

fn term() -> Seconds {
    3.0
}

fn clock_rate() -> f64 {
    0.02
}

fn hold_most() -> Seconds {
    3.0
}

fn disk() -> f64 {
    4.0
}

fn memory() -> f64 {
    4.0
}

fn cut_after() -> u64 {
    2000
}

fn keeper_round() -> Seconds {
    10.0
}

impl FleetConfig {
    /// Reads the file for the member of this name.
    ///
    /// # Errors
    /// One line that names the file, the key and what is wrong with it.
    pub fn load(path: &Path, name: &str) -> Result<FleetConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        FleetConfig::parse(&text, name).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// The same of a text.
    ///
    /// # Errors
    /// One line that names the key and what is wrong with it.
    pub fn parse(text: &str, name: &str) -> Result<FleetConfig, String> {
        let one_line = |error: String| error.split_whitespace().collect::<Vec<_>>().join(" ");
        let value: serde_json::Value = hcl::from_str(text).map_err(|error| one_line(error.to_string()))?;
        let file: FleetConfig = serde_path_to_error::deserialize(value)
            .map_err(|error| one_line(format!("{}: {}", error.path(), error.inner())))?;
        file.check(name)?;
        Ok(file)
    }

    fn check(&self, name: &str) -> Result<(), String> {
        let within = |key: &str, x: f64, (least, most): (f64, f64)| {
            let fault = || format!("{key}: must lie between {least} and {most}");
            (least..=most).contains(&x).then_some(()).ok_or_else(fault)
        };
        if self.cluster.is_empty() || self.cluster.len() > NAME_MOST {
            return Err(format!("cluster: must be a name of 1 to {NAME_MOST} bytes"));
        }
        within("term_s", self.term_s, TERM)?;
        within("clock_rate", self.clock_rate, (0.0, CLOCK_RATE_MOST))?;
        within("hold_most_s", self.hold_most_s, (0.1, 60.0))?;
        within("disk_mb", self.disk_mb, (0.25, 1000.0))?;
        within("memory_mb", self.memory_mb, (2.5, 1000.0))?;
        within("cut_after", self.cut_after as f64, (10.0, 1e6))?;
        within("keeper_round_s", self.keeper_round_s, (0.01, 3600.0))?;
        let voters = self.voters().count();
        if !VOTERS.contains(&voters) {
            return Err(format!("member: {voters} have voter = true, must be 1, 3, 5 or 7"));
        }
        if self.member.len() > MAX_MEMBERS {
            return Err(format!("member: {} are named, {MAX_MEMBERS} at most", self.member.len()));
        }
        for (one, peer) in &self.member {
            if one.is_empty() || one.len() > NAME_MOST {
                return Err(format!("member.{one}: a name must have 1 to {NAME_MOST} bytes"));
            }
            if peer.at.port() == 0 {
                return Err(format!("member.{one}.at: must have a port"));
            }
            if let Some((other, _)) = self.member.iter().find(|(other, p)| *other != one && p.at == peer.at) {
                return Err(format!("member.{one}.at: is {other}'s too"));
            }
        }
        if !self.member.contains_key(name) {
            return Err(format!("member: does not name {name}, which is this dispatcher"));
        }
        Ok(())
    }

    /// The names of those that are to vote.
    pub fn voters(&self) -> impl Iterator<Item = &str> {
        self.member.iter().filter(|(_, peer)| peer.voter).map(|(name, _)| &**name)
    }

    /// Whether this name is to vote.
    pub fn votes(&self, name: &str) -> bool {
        self.member.get(name).is_some_and(|peer| peer.voter)
    }

    /// Whether `one` is the one of the two that calls the other: a voter is called by those that do not vote, and by
    /// voters whose names come before its own.
    pub fn dials(&self, one: &str, other: &str) -> bool {
        match (self.votes(one), self.votes(other)) {
            (false, voter) => voter,
            (true, true) => one < other,
            (true, false) => false,
        }
    }

    /// Time between two heartbeats of a leader, in seconds.
    pub fn heartbeat_interval(&self) -> Seconds {
        (self.term_s / BEATS).clamp(BEAT.0, BEAT.1)
    }

    /// The longest time from a leader's last heartbeat until a follower stands for election, in seconds.
    pub fn max_election_time(&self) -> Seconds {
        2.0 * ELECTION_BEATS as f64 * self.heartbeat_interval()
    }

    /// How long a granter waits, on its own clock, so that a term that began before has passed on any clock: each runs
    /// at 1 ± `clock_rate` of true time.
    pub fn guard_time(&self) -> Seconds {
        guard_time(self.term_s, self.clock_rate)
    }
}

/// A span on one clock that is no shorter than `term` on any other, both at 1 ± `rate` of true time.
pub fn guard_time(term: Seconds, rate: f64) -> Seconds {
    term * (1.0 + rate) / (1.0 - rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "cluster = \"m\"\nmember \"a\" {\n  at = \"127.0.0.1:7101\"\n  voter = true\n}\n\
                        member \"b\" {\n  at = \"127.0.0.1:7102\"\n}\n";

    #[test]
    fn defaults_and_blocks_are_read() {
        let file = FleetConfig::parse(GOOD, "b").unwrap();
        assert_eq!((file.term_s, file.clock_rate, file.voters().collect::<Vec<_>>()), (3.0, 0.02, vec!["a"]));
        assert!(file.dials("b", "a") && !file.dials("a", "b"));
        assert!(file.guard_time() > 3.0 * 1.04 && file.guard_time() < 3.0 * 1.05);
    }

    #[test]
    fn what_is_wrong_is_one_line_that_names_the_key() {
        let with = |line: &str| format!("{line}\n{GOOD}");
        let cases = [
            (with("term_s = 0.1"), "term_s: must lie between 0.5 and 60"),
            (with("term_s = \"long\""), "term_s: invalid type"),
            (with("clock_rate = 0.5"), "clock_rate: must lie"),
            (with("turm_s = 3"), "unknown field `turm_s`"),
            (with("disk_mb = 0"), "disk_mb: must lie"),
            (GOOD.replace("\"m\"", "\"\""), "cluster: must be a name"),
            (GOOD.replace("voter = true", "voter = false"), "member: 0 have voter = true"),
            (GOOD.replace("\"b\"", &format!("\"{}\"", "b".repeat(65))), "a name must have 1 to 64 bytes"),
            (GOOD.replace("7102", "7101"), "is b's too"),
            (GOOD.replace("7102", "0"), "member.b.at: must have a port"),
            (GOOD.replace("127.0.0.1:7102", "nowhere"), "member.b.at: "),
            (GOOD.replace("voter", "votes"), "member.a"),
            (GOOD.replace("member \"b\"", "member \"c\""), "does not name b"),
            ("cluster = ".to_string(), "-->"),
        ];
        for (text, expected) in cases {
            let error = FleetConfig::parse(&text, "b").unwrap_err();
            assert!(error.contains(expected) && !error.contains('\n'), "{expected}: {error}");
        }
    }
}
