//! The lab's subcommands.

use crate::auditor::audit as judge;
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

/// The scenario of `demo`.
pub const DEMO: &str = include_str!("../scenarios/demo.toml");

/// Breaks of a fleet's promises that are shown of one run.
const FAULTS_SHOWN: usize = 10;

/// How a scenario is to be played.
#[derive(Clone, Debug)]
pub struct PlayOptions {
    /// In place of the scenario's own seed.
    pub seed: Option<u64>,
    /// How many seeds, counted up.
    pub seeds: u64,
    /// The fault of the naive dispatcher that takes the place of the real one.
    pub naive_fault: Option<String>,
    /// The program that is run in place of this one.
    pub program: Option<PathBuf>,
    /// Where the record is kept.
    pub record: Option<PathBuf>,
    /// Where the dispatchers' logs are kept.
    pub logs: Option<PathBuf>,
}

/// Wrong input: one line, exit code 2.
fn wrong(text: impl std::fmt::Display) -> ExitCode {
    eprintln!("fawnspoke: {text}");
    ExitCode::from(2)
}

/// Exit code 0 where no rule was broken, 1 where one was.
fn code(clean: bool) -> ExitCode {
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Plays the embedded scenario.
pub fn demo(play: &PlayOptions) -> ExitCode {
    match Scenario::parse("demo.toml", DEMO) {
        Ok(scenario) => played(&scenario, play),
        Err(error) => wrong(error),
    }
}

/// Plays a scenario of the user's own.
pub fn run(scenario: &Path, play: &PlayOptions) -> ExitCode {
    match Scenario::read(scenario) {
        Ok(scenario) => played(&scenario, play),
        Err(error) => wrong(error),
    }
}

/// Prints a scenario's script.
pub fn script(scenario: &Path, seed: Option<u64>) -> ExitCode {
    match Scenario::read(scenario) {
        Ok(scenario) => {
            let script = Script::generate(&scenario, seed.unwrap_or(scenario.seed));
            print!("{}", script.text(&scenario));
            println!("digest {:016x}", script.digest(&scenario));
            ExitCode::SUCCESS
        }
        Err(error) => wrong(error),
    }
}

/// Judges a record that was kept.
pub fn audit(path: &Path) -> ExitCode {
    match record::load(path) {
        Ok(entries) => {
            let verdict = judge(&entries);
            print!("{}{}", summary::format_classes(&verdict), summary::format_verdict(&verdict));
            code(verdict.is_clean())
        }
        Err(error) => wrong(error),
    }
}

/// Sums the counts in a fleet's logs over spans of `every` seconds.
pub fn fleet(folder: &Path, every: f64) -> ExitCode {
    match fleet_counters::FleetCounters::read_logs(folder, every) {
        Ok(fleet) => {
            print!("{}", fleet.text(every));
            ExitCode::SUCCESS
        }
        Err(error) => wrong(error),
    }
}

/// What a fleet lost by destination, by the second; beside another folder's, where one is given.
pub fn losses(folder: &Path, before: Option<&Path>, json: bool) -> ExitCode {
    const SPAN: f64 = 1.0;
    let read = |folder: &Path| {
        Ok::<_, String>(loss::losses_by_destination(
            &fleet_counters::FleetCounters::read_logs(folder, SPAN)?,
            SPAN,
        ))
    };
    let (after, before) = match (read(folder), before.map(read).transpose()) {
        (Ok(after), Ok(before)) => (after, before),
        (Err(error), _) | (_, Err(error)) => return wrong(error),
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
    let Ok(fault) = fault.parse::<naive::Fault>() else { return wrong(naive::Fault::EXPECTED) };
    match runtime().and_then(|runtime| runtime.block_on(naive::serve(fault))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("naive dispatcher: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures throughput and latency beside a plain proxy.
pub fn bench(settings: &bench::BenchSettings) -> ExitCode {
    let folder = match runner::create_run_dir(&std::env::temp_dir()) {
        Ok(folder) => folder,
        Err(error) => return wrong(error),
    };
    let measured = std::env::current_exe().and_then(|program| bench::run(&program, &folder, settings));
    // What is left of it is only in the way.
    let _ = std::fs::remove_dir_all(&folder);
    match measured {
        Ok(measured) => {
            print!("{}", bench::format_results(&measured));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fawnspoke: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures how long duties take to be another one's, at terms in seconds.
pub fn measure_duty_failover(terms: &[f64], times: usize) -> ExitCode {
    let measured = std::env::current_exe().and_then(|program| {
        let folder = runner::create_run_dir(&std::env::temp_dir())?;
        let mut clean = true;
        for term in terms {
            for fault in [HolderFault::Kill, HolderFault::Stall, HolderFault::Cut, HolderFault::Word] {
                let measured =
                    fleet_measurements::measure_duty_failover(&program, &folder, *term, fault, times)?;
                println!("{measured}");
                clean &= measured.violations.is_empty();
            }
        }
        std::fs::remove_dir_all(folder)?;
        Ok(clean)
    });
    measured.map_or_else(failed, code)
}

/// Counts tries and list calls of dispatchers alone and as a fleet.
pub fn measure_trials(count: usize, out_s: f64, a_second: f64) -> ExitCode {
    let measured = std::env::current_exe().and_then(|program| {
        let folder = runner::create_run_dir(&std::env::temp_dir())?;
        for fleet in [false, true] {
            println!(
                "{}",
                fleet_measurements::measure_outage_cost(&program, &folder, count, fleet, out_s, a_second)?
            );
        }
        std::fs::remove_dir_all(folder)
    });
    measured.map_or_else(failed, |()| ExitCode::SUCCESS)
}

/// Measures what members cost at rest, beside dispatchers alone.
pub fn measure_idle_cost(counts: &[u64], seconds: f64) -> ExitCode {
    let measured = std::env::current_exe().and_then(|program| {
        let folder = runner::create_run_dir(&std::env::temp_dir())?;
        for count in counts {
            for fleet in [false, true] {
                println!(
                    "{}",
                    fleet_measurements::measure_idle_cost(
                        &program,
                        &folder,
                        *count as usize,
                        fleet,
                        seconds
                    )?
                );
            }
        }
        std::fs::remove_dir_all(folder)
    });
    measured.map_or_else(failed, |()| ExitCode::SUCCESS)
}

fn failed(error: std::io::Error) -> ExitCode {
    eprintln!("fawnspoke: {error}");
    ExitCode::FAILURE
}

/// Runs the plain proxy.
pub fn proxy(listen: SocketAddr, to: SocketAddr) -> ExitCode {
    match runtime().and_then(|runtime| runtime.block_on(proxy::serve(listen, to))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn program(play: &PlayOptions) -> Result<Program, String> {
    let own = || std::env::current_exe().map_err(|error| format!("this program's own path: {error}"));
    let path = play.program.clone().map_or_else(own, Ok)?;
    let arguments = match play.naive_fault.as_deref() {
        // Bare, as the platform starts it.
        None => Vec::new(),
        Some(fault) => {
            fault.parse::<naive::Fault>().map_err(|()| format!("--broken: {}", naive::Fault::EXPECTED))?;
            vec!["lab".into(), "naive".into(), fault.into()]
        }
    };
    Ok(Program { path, arguments })
}

fn played(scenario: &Scenario, play: &PlayOptions) -> ExitCode {
    let program = match program(play) {
        Ok(program) => program,
        Err(error) => return wrong(error),
    };
    let first = play.seed.unwrap_or(scenario.seed);
    let mut broken = Vec::new();
    for seed in first..first.saturating_add(play.seeds) {
        match one(scenario, seed, play, &program) {
            Ok(true) => {}
            Ok(_) => broken.push(seed),
            Err(error) => {
                eprintln!("fawnspoke: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if play.seeds > 1 {
        println!("{} of {} seeds clean; broken: {broken:?}", play.seeds - broken.len() as u64, play.seeds);
    }
    code(broken.is_empty())
}

fn one(scenario: &Scenario, seed: u64, play: &PlayOptions, program: &Program) -> std::io::Result<bool> {
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
    let parent = play.logs.clone().unwrap_or_else(std::env::temp_dir);
    let folder = runner::create_run_dir(&parent)?;
    let options = RunOptions { program: program.clone(), folder: folder.clone(), progress: play.seeds == 1 };
    let outcome = runtime()?.block_on(runner::run_scenario(scenario, &script, &options));
    if play.logs.is_none() {
        // What is left of it is only in the way.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs: {}", folder.display());
    }
    let outcome = outcome?;
    if let Some(path) = &play.record {
        record::save(path, &outcome.entries)?;
    }
    let verdict = judge(&outcome.entries);
    print!("{}", summary::format_classes(&verdict));
    let memory: Vec<String> =
        outcome.resident_kb.iter().map(|kb| format!("{:.1}", *kb as f64 / 1024.0)).collect();
    println!("resident memory of the dispatchers at most: {} MB", memory.join(", "));
    let Kills { count, compacting, found, damaged } = outcome.kills;
    if count > 0 {
        println!(
            "{count} kills, {compacting} of them while the journal was winning room back; {found} messages found by \
             the next lives; {damaged} folders damaged"
        );
    }
    if outcome.upgrades.count > 0 {
        print!("{}", outcome.upgrades);
    }
    if outcome.unreached_messages > 0 {
        println!("{} messages found no dispatcher that would listen", outcome.unreached_messages);
    }
    if !outcome.collapsed_partners.is_empty() {
        println!("fell over: {}", outcome.collapsed_partners.join(", "));
    }
    print!("{}", summary::format_verdict(&verdict));
    let told = outcome.fleet.unwrap_or_default();
    if told.epochs > 0 {
        println!("the fleet: {} acts under {} epochs, {} breaks", told.acts, told.epochs, told.faults.len());
        told.faults.iter().take(FAULTS_SHOWN).for_each(|fault| println!("  {fault}"));
    }
    Ok(verdict.is_clean() && told.faults.is_empty())
}
