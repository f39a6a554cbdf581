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

pub mod duties;
pub mod granter;
pub mod lists;
pub mod roll;
pub mod term;
pub mod tries;

pub use fawnspoke_cluster::{Id, Seconds};

/// Which of the rules hold. All of them, but in tests that show that checkers find a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// A term counts from before the question was sent, not from when its answer came.
    pub from_question: bool,
    /// A new leader waits as if each term had just begun.
    pub leader_waits: bool,
    /// Words under an older epoch are refused.
    pub epochs: bool,
    /// The guard covers clocks that run differently.
    pub clocks: bool,
    /// A confirmation counts once the log up to it is applied.
    pub applied_first: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { from_question: true, leader_waits: true, epochs: true, clocks: true, applied_first: true }
    }
}

impl Rules {
    /// All rules but the one of this name; nothing where there is none.
    pub fn without(name: &str) -> Option<Rules> {
        let mut rules = Rules::default();
        match name {
            "from_question" => rules.from_question = false,
            "leader_waits" => rules.leader_waits = false,
            "epochs" => rules.epochs = false,
            "clocks" => rules.clocks = false,
            "applied_first" => rules.applied_first = false,
            _ => return None,
        }
        Some(rules)
    }
}

/// The longest time from the death of a holder to its duty being given anew, on any clock within the rate, in seconds: an
/// election of up to two terms where it led too, the guard after that, and two beats until the granter looks. Taken for
/// granted: a majority, and one election in which votes are not split.
pub fn bound(term: Seconds, clock_rate: f64, beat: Seconds, led: bool) -> Seconds {
    let election = if led { 20.0 * beat * 2.0 } else { 0.0 };
    (fawnspoke_cluster::file::guard(term, clock_rate) + election + 2.0 * beat) / (1.0 - clock_rate)
}
