//! What one dispatcher of a fleet holds at a time.
//!
//! - [`roll`]: who holds what, as agreed: epochs that only grow, words under them;
//! - [`term`]: how long a member may act on it, on its own clock;
//! - [`granter`]: the leader's side: who gets what, and when it is free to be given;
//! - [`tries`]: tries at a place that is out, by the one that holds them;
//! - [`lists`]: who asks discovery while it does not answer;
//! - [`duties`]: all of them as a part that stands on the agreed log.
//!
//! Free of I/O: times are arguments.
//!
//! # Promises
//!
//! Taken for granted: a majority of voters whose folders keep what was synced; clocks that run at 1 ± `clock_rate` of true
//! time, asleep too.
//!
//! 1. At no instant do two members look at their clocks and find that they hold the same duty.
//! 2. A word under an epoch that is not its duty's is refused by every member alike.
//! 3. A duty whose holder is gone has another holder after [`bound`] at most, once a leader stands and somebody lives
//!    that may hold it.
//! 4. Without a majority no bound outlasts `hold_most`: each dispatcher does what it does alone.

pub mod discovery_polling;
pub mod duties;
pub mod granter;
pub mod lease_table;
pub mod lease_term;
pub mod trials;

use fawnspoke_cluster::config::FleetConfig;
pub use fawnspoke_cluster::{MemberId, Seconds};

/// Which of the rules hold. All of them, but in tests that show that checkers find a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// A term counts from before the question was sent, not from when its answer came.
    pub term_from_request: bool,
    /// A new leader waits as if each term had just begun.
    pub new_leader_waits: bool,
    /// Words under an older epoch are refused.
    pub reject_stale_epochs: bool,
    /// The guard covers clocks that run differently.
    pub guard_covers_drift: bool,
    /// A confirmation counts once the log up to it is applied.
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
    /// All rules but the one of this name; nothing where there is none.
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

/// The longest time from the end of a holder to its duty being another's, on any clock within the rate, in seconds: the
/// guard and two beats until the granter looks; before that an election, where the holder led too. Taken for granted: a
/// majority, an election in which votes are not split, and round trips that are short beside a beat.
pub fn max_failover_time(file: &FleetConfig, led: bool) -> Seconds {
    let election = if led { file.max_election_time() } else { 0.0 };
    (file.guard_time() + election + 2.0 * file.heartbeat_interval()) / (1.0 - file.clock_rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_bound_has_an_election_in_it_where_the_holder_led() {
        let text = "cluster = \"m\"\nterm_s = 1.0\nmember \"a\" {\n at = \"127.0.0.1:1\"\n voter = true\n}\n";
        let file = FleetConfig::parse(text, "a").unwrap();
        let (alone, led) = (max_failover_time(&file, false), max_failover_time(&file, true));
        // (1.02 / 0.98 + 0.1) / 0.98, and a term more for twenty beats.
        assert!((alone - 1.1641).abs() < 0.001 && (led - alone - 1.0 / 0.98).abs() < 0.001, "{alone} {led}");
    }
}
