//! The lab's subcommands.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a scenario is to be played.
#[derive(Clone, Debug)]
pub struct Play {
    /// In place of the scenario's own seed.
    pub seed: Option<u64>,
    /// How many seeds, counted up.
    pub seeds: u64,
    /// The fault of the naive dispatcher that takes the place of the real one.
    pub broken: Option<String>,
    /// Where the record is kept.
    pub record: Option<PathBuf>,
    /// Where the dispatchers' logs are kept.
    pub logs: Option<PathBuf>,
}

/// x
pub fn demo(_: &Play) -> ExitCode {
    ExitCode::FAILURE
}
/// x
pub fn run(_: &Path, _: &Play) -> ExitCode {
    ExitCode::FAILURE
}
/// x
pub fn script(_: &Path, _: Option<u64>) -> ExitCode {
    ExitCode::FAILURE
}
/// x
pub fn audit(_: &Path) -> ExitCode {
    ExitCode::FAILURE
}
/// x
pub fn naive() -> ExitCode {
    ExitCode::FAILURE
}
