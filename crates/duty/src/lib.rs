//! Leases on work that exactly one dispatcher of a fleet does at a time.
//!
//! - [`lease_table`]: the replicated table of leases: who holds which duty, under an epoch that only grows;
//! - [`lease_term`]: for how long a member may act on its leases, measured on its own clock;
//! - [`granter`]: the leader's side: who is granted a duty, and when an expired lease may be granted again;
//! - [`trials`]: trials at an unavailable destination, sent by the one member that holds the duty;
//! - [`discovery_polling`]: which member announces that the discovery service answers again;
//! - [`duties`]: the state machine over the replicated log that combines all of these.
//!
//! The crate does no I/O; the current time is an argument.
//!
//! # Guarantees
//!
//! They assume a majority of voters whose state directories keep what was synced, and clocks whose rate stays within
//! 1 ± `clock_rate` of true time, also while the machine is suspended.
//!
//! 1. At no instant do two members that read their own clocks both find that they hold the same duty.
//! 2. Every member rejects an update that carries another epoch than the duty's current one.
//! 3. A duty whose holder has failed is granted to another member within [`max_failover_time`], once there is a
//!    leader and an eligible member.
//! 4. Without a majority no restriction lasts longer than `hold_most`; after that each dispatcher works on its own.

pub mod discovery_polling;
pub mod duties;
pub mod granter;
pub mod lease_table;
pub mod lease_term;
pub mod trials;

use fawnspoke_cluster::config::FleetConfig;
pub use fawnspoke_cluster::{MemberId, Seconds};

/// Which safety rules are in force. Tests switch one off to show that the checkers detect the resulting violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// A lease term starts when its renewal request is sent, not when the confirmation arrives.
    pub term_from_request: bool,
    /// A new leader waits as if every term had just started.
    pub new_leader_waits: bool,
    /// Updates that carry an outdated epoch are rejected.
    pub reject_stale_epochs: bool,
    /// The guard interval covers the difference between clock rates.
    pub guard_covers_drift: bool,
    /// A confirmation takes effect only once the log it depends on has been applied.
    pub apply_before_use: bool,
}

impl Default for SafetyRules {
    fn default() -> SafetyRules {
        SafetyRules {
            term_from_request: true,
            new_leader_waits: true,
            reject_stale_epochs: true,
            guard_covers_drift: true,
            apply_before_use: true,
        }
    }
}

impl SafetyRules {
    /// All rules except the named one; `None` for an unknown name.
    pub fn without(name: &str) -> Option<SafetyRules> {
        let mut rules = SafetyRules::default();
        match name {
            "from_question" => rules.term_from_request = false,
            "leader_waits" => rules.new_leader_waits = false,
            "epochs" => rules.reject_stale_epochs = false,
            "clocks" => rules.guard_covers_drift = false,
            "applied_first" => rules.apply_before_use = false,
            _ => return None,
        }
        Some(rules)
    }
}

/// Upper bound, in seconds, from the failure of a holder until its duty is granted to another member, on any clock
/// within the permitted rate: the guard plus two heartbeats until the granter runs; if the holder was also the leader
/// (`led`), an election comes first.
///
/// Assumes a majority, an election without split votes, and round trips that are short compared to a heartbeat.
pub fn max_failover_time(config: &FleetConfig, led: bool) -> Seconds {
    let election = if led { config.max_election_time() } else { 0.0 };
    (config.guard_time() + election + 2.0 * config.heartbeat_interval()) / (1.0 - config.clock_rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn failover_time_includes_an_election_if_the_holder_led() {
        let text = "cluster = \"m\"\nterm_s = 1.0\nmember \"a\" {\n at = \"127.0.0.1:1\"\n voter = true\n}\n";
        let config = FleetConfig::parse(text, "a").unwrap();
        let (follower, led) = (max_failover_time(&config, false), max_failover_time(&config, true));
        // (1.02 / 0.98 + 0.1) / 0.98; with an election, one more term of twenty heartbeats.
        assert!(
            (follower - 1.1641).abs() < 0.001 && (led - follower - 1.0 / 0.98).abs() < 0.001,
            "{follower} {led}"
        );
    }
}
