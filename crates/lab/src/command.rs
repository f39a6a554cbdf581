//! The `lab` subcommands of the program.

use crate::auditor::audit as audit_record;
use crate::fleet_measurements::{self, HolderFault};
use crate::killer::Kills;
use crate::process::Program;
use crate::record;
use crate::runner::{self, RunOptions};
use crate::scenario::Scenario;
use crate::script::Script;
use crate::{bench, fleet_counters, loss, naive, proxy, summary};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The scenario of the subcommand `demo`.
pub const DEMO: &str = include_str!("../scenarios/demo.toml");

/// Most violations of a fleet's guarantees that are printed for one run.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// Options for playing a scenario.
#[derive(Clone, Debug)]
pub struct PlayOptions {
    /// Replaces the scenario's own seed.
    pub seed: Option<u64>,
    /// Number of consecutive seeds to play.
    pub seeds: u64,
    /// Runs the naive dispatcher with this fault in place of the real dispatcher.
    pub naive_fault: Option<String>,
    /// Program to run as the dispatcher in place of this one.
    pub program: Option<PathBuf>,
    /// File to which the record is written.
    pub record: Option<PathBuf>,
    /// Directory to which the dispatchers' logs are written.
    pub logs: Option<PathBuf>,
}

/// Reports invalid input in one line; exit code 2.
fn input_error(text: impl std::fmt::Display) -> ExitCode {
    eprintln!("fawnspoke: {text}");
    ExitCode::from(2)
}

/// Exit code 0 where no rule was violated, 1 otherwise.
fn exit_code(clean: bool) -> ExitCode {
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Plays the embedded scenario.
pub fn demo(play: &PlayOptions) -> ExitCode {
    match Scenario::parse("demo.toml", DEMO) {
        Ok(scenario) => play_seeds(&scenario, play),
        Err(error) => input_error(error),
    }
}

/// Plays a scenario file.
pub fn run(scenario: &Path, play: &PlayOptions) -> ExitCode {
    match Scenario::read(scenario) {
        Ok(scenario) => play_seeds(&scenario, play),
        Err(error) => input_error(error),
    }
}

/// Prints the script of a scenario file.
pub fn script(scenario: &Path, seed: Option<u64>) -> ExitCode {
    match Scenario::read(scenario) {
        Ok(scenario) => {
            let script = Script::generate(&scenario, seed.unwrap_or(scenario.seed));
            print!("{}", script.text(&scenario));
            println!("digest {:016x}", script.digest(&scenario));
            ExitCode::SUCCESS
        }
        Err(error) => input_error(error),
    }
}

/// Audits a record that an earlier run has written.
pub fn audit(path: &Path) -> ExitCode {
    match record::load(path) {
        Ok(entries) => {
            let verdict = audit_record(&entries);
            print!("{}{}", summary::format_classes(&verdict), summary::format_verdict(&verdict));
            exit_code(verdict.is_clean())
        }
        Err(error) => input_error(error),
    }
}

/// Sums the traffic counters in a fleet's logs by intervals of `interval_s` seconds.
pub fn fleet(dir: &Path, interval_s: f64) -> ExitCode {
    match fleet_counters::FleetCounters::read_logs(dir, interval_s) {
        Ok(fleet) => {
            print!("{}", fleet.text(interval_s));
            ExitCode::SUCCESS
        }
        Err(error) => input_error(error),
    }
}

/// Prints what a fleet lost by destination, in intervals of a second; compared with the logs of another
/// directory where one is given.
pub fn losses(dir: &Path, before: Option<&Path>, json: bool) -> ExitCode {
    const INTERVAL_S: f64 = 1.0;
    let read_losses = |dir: &Path| {
        Ok::<_, String>(loss::losses_by_destination(
            &fleet_counters::FleetCounters::read_logs(dir, INTERVAL_S)?,
            INTERVAL_S,
        ))
    };
    let (after, before) = match (read_losses(dir), before.map(read_losses).transpose()) {
        (Ok(after), Ok(before)) => (after, before),
        (Err(error), _) | (_, Err(error)) => return input_error(error),
    };
    if json {
        println!("{}", serde_json::json!({ "before": before, "after": after }));
    } else {
        print!("{}", loss::format_losses(before.as_ref(), &after));
    }
    ExitCode::SUCCESS
}

/// Runs the naive dispatcher with a fault.
pub fn naive(fault: &str) -> ExitCode {
    let Ok(fault) = fault.parse::<naive::Fault>() else { return input_error(naive::Fault::EXPECTED) };
    match runtime().and_then(|runtime| runtime.block_on(naive::serve(fault))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("naive dispatcher: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures throughput and latency compared with a plain proxy.
pub fn bench(settings: &bench::BenchSettings) -> ExitCode {
    let dir = match runner::create_run_dir(&std::env::temp_dir()) {
        Ok(dir) => dir,
        Err(error) => return input_error(error),
    };
    let result = std::env::current_exe().and_then(|program| bench::run(&program, &dir, settings));
    // Removal is best effort.
    let _ = std::fs::remove_dir_all(&dir);
    match result {
        Ok(result) => {
            print!("{}", bench::format_results(&result));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fawnspoke: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures how long a duty takes to fail over to another member, for lease terms in seconds.
pub fn measure_duty_failover(terms: &[f64], repetitions: usize) -> ExitCode {
    let result = std::env::current_exe().and_then(|program| {
        let dir = runner::create_run_dir(&std::env::temp_dir())?;
        let mut clean = true;
        for term in terms {
            for fault in [HolderFault::Kill, HolderFault::Stall, HolderFault::Cut, HolderFault::Word] {
                let result =
                    fleet_measurements::measure_duty_failover(&program, &dir, *term, fault, repetitions)?;
                println!("{result}");
                clean &= result.violations.is_empty();
            }
        }
        std::fs::remove_dir_all(dir)?;
        Ok(clean)
    });
    result.map_or_else(runtime_error, exit_code)
}

/// Counts trial calls and list requests during an outage, of standalone dispatchers and of a fleet.
pub fn measure_trials(count: usize, outage_s: f64, messages_per_s: f64) -> ExitCode {
    let result = std::env::current_exe().and_then(|program| {
        let dir = runner::create_run_dir(&std::env::temp_dir())?;
        for as_fleet in [false, true] {
            println!(
                "{}",
                fleet_measurements::measure_outage_cost(
                    &program,
                    &dir,
                    count,
                    as_fleet,
                    outage_s,
                    messages_per_s
                )?
            );
        }
        std::fs::remove_dir_all(dir)
    });
    result.map_or_else(runtime_error, |()| ExitCode::SUCCESS)
}

/// Measures the cost of idle fleet members, compared with standalone dispatchers.
pub fn measure_idle_cost(counts: &[u64], seconds: f64) -> ExitCode {
    let result = std::env::current_exe().and_then(|program| {
        let dir = runner::create_run_dir(&std::env::temp_dir())?;
        for count in counts {
            for as_fleet in [false, true] {
                println!(
                    "{}",
                    fleet_measurements::measure_idle_cost(
                        &program,
                        &dir,
                        *count as usize,
                        as_fleet,
                        seconds
                    )?
                );
            }
        }
        std::fs::remove_dir_all(dir)
    });
    result.map_or_else(runtime_error, |()| ExitCode::SUCCESS)
}

fn runtime_error(error: std::io::Error) -> ExitCode {
    eprintln!("fawnspoke: {error}");
    ExitCode::FAILURE
}

/// Runs the plain proxy.
pub fn proxy(listen: SocketAddr, target: SocketAddr) -> ExitCode {
    match runtime().and_then(|runtime| runtime.block_on(proxy::serve(listen, target))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The program to run as the dispatcher, with its arguments.
fn program(play: &PlayOptions) -> Result<Program, String> {
    let own_path = || std::env::current_exe().map_err(|error| format!("path of this program: {error}"));
    let path = play.program.clone().map_or_else(own_path, Ok)?;
    let arguments = match play.naive_fault.as_deref() {
        // Without arguments, as the platform starts it.
        None => Vec::new(),
        Some(fault) => {
            fault.parse::<naive::Fault>().map_err(|()| format!("--broken: {}", naive::Fault::EXPECTED))?;
            vec!["lab".into(), "naive".into(), fault.into()]
        }
    };
    Ok(Program { path, arguments })
}

/// Plays all requested seeds.
fn play_seeds(scenario: &Scenario, play: &PlayOptions) -> ExitCode {
    let program = match program(play) {
        Ok(program) => program,
        Err(error) => return input_error(error),
    };
    let first_seed = play.seed.unwrap_or(scenario.seed);
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed.saturating_add(play.seeds) {
        match play_seed(scenario, seed, play, &program) {
            Ok(true) => {}
            Ok(_) => failed_seeds.push(seed),
            Err(error) => {
                eprintln!("fawnspoke: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if play.seeds > 1 {
        println!(
            "{} of {} seeds clean; failed: {failed_seeds:?}",
            play.seeds - failed_seeds.len() as u64,
            play.seeds
        );
    }
    exit_code(failed_seeds.is_empty())
}

/// Plays one seed and prints its results; returns whether no rule was violated.
fn play_seed(scenario: &Scenario, seed: u64, play: &PlayOptions, program: &Program) -> std::io::Result<bool> {
    let script = Script::generate(scenario, seed);
    println!(
        "{}: seed {seed}, {} messages in {} s to {} partners, {} dispatchers, {} faults, script {:016x}",
        scenario.name,
        script.arrivals.len(),
        scenario.duration_s,
        scenario.partners.len(),
        scenario.dispatchers.count,
        script.faults.len(),
        script.digest(scenario)
    );
    let parent_dir = play.logs.clone().unwrap_or_else(std::env::temp_dir);
    let dir = runner::create_run_dir(&parent_dir)?;
    let options = RunOptions { program: program.clone(), dir: dir.clone(), progress: play.seeds == 1 };
    let outcome = runtime()?.block_on(runner::run_scenario(scenario, &script, &options));
    if play.logs.is_none() {
        // Removal is best effort.
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs: {}", dir.display());
    }
    let outcome = outcome?;
    if let Some(path) = &play.record {
        record::save(path, &outcome.entries)?;
    }
    let verdict = audit_record(&outcome.entries);
    print!("{}", summary::format_classes(&verdict));
    let memory_mb: Vec<String> =
        outcome.resident_kb.iter().map(|kb| format!("{:.1}", *kb as f64 / 1024.0)).collect();
    println!("peak resident memory of the dispatchers: {} MB", memory_mb.join(", "));
    let Kills { count, compacting, recovered, damaged } = outcome.kills;
    if count > 0 {
        println!(
            "{count} kills, {compacting} of them during journal compaction; {recovered} messages found by \
             the next processes; {damaged} journals damaged"
        );
    }
    if outcome.upgrades.count > 0 {
        print!("{}", outcome.upgrades);
    }
    if outcome.unreached_messages > 0 {
        println!("{} messages reached no dispatcher", outcome.unreached_messages);
    }
    if !outcome.collapsed_partners.is_empty() {
        println!("collapsed under overload: {}", outcome.collapsed_partners.join(", "));
    }
    print!("{}", summary::format_verdict(&verdict));
    let fleet = outcome.fleet.unwrap_or_default();
    if fleet.last_epoch > 0 {
        println!(
            "fleet: {} duty actions, last epoch {}, {} violations",
            fleet.actions,
            fleet.last_epoch,
            fleet.violations.len()
        );
        fleet.violations.iter().take(MAX_VIOLATIONS_SHOWN).for_each(|violation| println!("  {violation}"));
    }
    Ok(verdict.is_clean() && fleet.violations.is_empty())
}
