//! Topology of a fleet in the lab: which member connects to which, and each member's configuration file.

use std::fmt::Write;
use std::net::SocketAddr;

/// The members of a fleet by index, named `n0` and so on. The first ones are voters.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of members.
    pub members: usize,
    /// Number of voters.
    pub voters: usize,
}

impl Topology {
    fn is_voter(self, i: usize) -> bool {
        i < self.voters
    }

    /// All pairs (dialing member, accepting member), as the program connects them: learners connect to voters, and each voter
    /// connects to the voters whose names follow its own.
    pub fn connections(self) -> Vec<(usize, usize)> {
        let connects = |i: usize, j: usize| match (self.is_voter(i), self.is_voter(j)) {
            (false, voter) => voter,
            (true, true) => format!("n{i}") < format!("n{j}"),
            (true, false) => false,
        };
        let pairs = (0..self.members).flat_map(|i| (0..self.members).map(move |j| (i, j)));
        pairs.filter(|(i, j)| i != j && connects(*i, *j)).collect()
    }

    /// The configuration file of one member. `addresses`: the address at which that member reaches another
    /// one, and the address at which the other one listens.
    pub fn config_file(
        self, settings: &str, addresses: impl Fn(usize) -> (SocketAddr, SocketAddr),
    ) -> String {
        let mut text = format!("cluster = \"lab\"\nhistory = true\n{settings}\n");
        for j in 0..self.members {
            let ((address, listen), voter) = (addresses(j), self.is_voter(j));
            let _ = writeln!(
                text,
                "member \"n{j}\" {{\n  at = \"{address}\"\n  listen = \"{listen}\"\n  voter = {voter}\n}}"
            );
        }
        text
    }
}
