//! How the members of a fleet in the lab lie to each other: who calls whom, and the fleet's file of each.

use std::fmt::Write;
use std::net::SocketAddr;

/// The members of a fleet, by number; `n0` and so on by name. The first ones vote.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// How many there are.
    pub members: usize,
    /// How many vote.
    pub voters: usize,
}

impl Topology {
    fn is_voter(self, i: usize) -> bool {
        i < self.voters
    }

    /// Who calls whom, as the program has it: who does not vote calls who does, and voters call those after them by name.
    pub fn connections(self) -> Vec<(usize, usize)> {
        let calls = |i: usize, j: usize| match (self.is_voter(i), self.is_voter(j)) {
            (false, voter) => voter,
            (true, true) => format!("n{i}") < format!("n{j}"),
            (true, false) => false,
        };
        let all = (0..self.members).flat_map(|i| (0..self.members).map(move |j| (i, j)));
        all.filter(|(i, j)| i != j && calls(*i, *j)).collect()
    }

    /// The file of one member. `at`: where it calls another one, and where that one listens.
    pub fn config_file(self, settings: &str, at: impl Fn(usize) -> (SocketAddr, SocketAddr)) -> String {
        let mut text = format!("cluster = \"lab\"\nhistory = true\n{settings}\n");
        for j in 0..self.members {
            let ((at, listen), votes) = (at(j), self.is_voter(j));
            let _ = writeln!(
                text,
                "member \"n{j}\" {{\n  at = \"{at}\"\n  listen = \"{listen}\"\n  voter = {votes}\n}}"
            );
        }
        text
    }
}
