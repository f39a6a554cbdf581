//! The program: reads its arguments and hands over to the part that is asked for.

mod fleet;

use clap::{Args, Parser, Subcommand};
use fawnspoke_control::client;
use fawnspoke_control::protocol::{Request, Response};
use fawnspoke_journal::inspect::{self, InspectError, RepairReport};
use fawnspoke_lab::bench::BenchSettings;
use fawnspoke_lab::command;
use std::io::{BufWriter, ErrorKind, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A delivery service for messages to other firms' systems.
///
/// Without a subcommand, and with GW_CONFIG set, it is the dispatcher.
#[derive(Parser)]
#[command(name = "fawnspoke", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the dispatcher that GW_CONFIG and GW_STATE describe
    Serve,
    /// Read a dispatcher's configuration and say what is wrong with it
    Check {
        /// The configuration, in JSON
        file: PathBuf,
    },
    /// Play the embedded scenario: two dispatchers, partners in trouble, one kill; some 15 s
    Demo {
        #[command(flatten)]
        play: Play,
    },
    /// Stand-ins, faults and the auditor
    #[command(subcommand)]
    Lab(Lab),
    /// Look into a dispatcher's journal; nothing is written to it
    #[command(subcommand)]
    Journal(Journal),
    /// Ask a running dispatcher, or order it something
    Door(Door),
    /// The operators' file of a fleet, and its first member
    #[command(subcommand)]
    Fleet(fleet::Fleet),
}

#[derive(Args)]
struct Door {
    /// Where the dispatcher answers operators
    #[arg(long, env = "GW_CONTROL")]
    at: SocketAddr,
    /// As JSON
    #[arg(long, global = true)]
    json: bool,
    /// Seconds to wait for the connection and for the answer, each
    #[arg(long, default_value_t = 2.0, value_parser = seconds, global = true)]
    patience: f64,
    #[command(subcommand)]
    ask: Ask,
}

#[derive(Subcommand)]
enum Ask {
    /// Whether it is ready to serve: exit code 1 where it says no
    Status,
    /// The figures
    Metrics,
    /// The fleet's members, as this one sees them
    Members,
    /// The fleet's duties: who holds which, under which epoch
    Duties,
    /// Take an endpoint out, until it is called back
    Suspend {
        /// The endpoint's id in discovery's list
        id: String,
    },
    /// Let an endpoint serve again
    Restore {
        /// The endpoint's id in discovery's list
        id: String,
    },
}

#[derive(Subcommand)]
enum Journal {
    /// Tell what is owed, to whom and since when, and what the segments hold
    Show {
        /// The dispatcher's folder
        folder: PathBuf,
    },
    /// Tell whether it is sound: exit code 1 on damage
    Verify {
        /// The dispatcher's folder
        folder: PathBuf,
    },
    /// Write what is owed as JSON, a message a line
    Dump {
        /// The dispatcher's folder
        folder: PathBuf,
        /// With the bodies, in base64
        #[arg(long)]
        bodies: bool,
        /// Every record in place of what is owed
        #[arg(long)]
        records: bool,
    },
    /// Write all that can be read to a new folder; exit code 1 where something is lost
    Repair {
        /// The folder of a dispatcher that is stopped
        folder: PathBuf,
        /// The new folder: not there, or empty
        to: PathBuf,
    },
}

#[derive(Subcommand)]
enum Lab {
    /// Play a scenario and judge it
    Run {
        /// The scenario, in TOML
        scenario: PathBuf,
        #[command(flatten)]
        play: Play,
    },
    /// Print the script of arrivals and faults that a scenario and its seed give
    Script {
        /// The scenario, in TOML
        scenario: PathBuf,
        /// In place of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Judge a record that an earlier run kept
    Audit {
        /// The record, one JSON object a line
        record: PathBuf,
    },
    /// Measure how fast one dispatcher delivers, beside a plain proxy on the same core
    Bench {
        /// Seconds of each of the four measures
        #[arg(long, default_value_t = 4.0, value_parser = seconds)]
        seconds: f64,
        /// Bytes of a body
        #[arg(long, default_value_t = 212, value_parser = clap::value_parser!(u64).range(0..=65536))]
        body: u64,
        /// Connections of the load
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(2..=500))]
        connections: u64,
        /// Calls that the dispatcher may have out
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1500))]
        slots: u64,
        /// Length of the dispatcher's rounds, in milliseconds
        #[arg(long, default_value_t = 5.0, value_parser = seconds)]
        tick_ms: f64,
        /// Measure another build of the program in place of this one
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Sum up what all dispatchers of a fleet counted, by time and destination
    Fleet {
        /// The folder of their logs, a file *.log each
        logs: PathBuf,
        /// Seconds of a row
        #[arg(long, default_value_t = 5.0, value_parser = seconds)]
        every: f64,
    },
    /// Tell what a fleet lost by destination: room unused while messages were held, refusals by meaning, returns
    Losses {
        /// The folder of its logs, a file *.log each
        logs: PathBuf,
        /// The folder of an earlier play, to stand beside it
        #[arg(long)]
        before: Option<PathBuf>,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Measure how long a duty takes to be another member's after a kill, a stall, a cut and an ordinary stop
    HandingOn {
        /// Terms, in seconds
        #[arg(long, value_delimiter = ',', default_value = "1,3,10", value_parser = seconds)]
        terms: Vec<f64>,
        /// How often each
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        times: u64,
    },
    /// Count what dispatchers try at a place that is out, and ask of a discovery that does not answer: alone, as a fleet
    Tries {
        /// Dispatchers
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=60))]
        count: u64,
        /// Seconds for which the place, and then discovery, is out
        #[arg(long, default_value_t = 30.0, value_parser = seconds)]
        out_s: f64,
        /// Messages a second at each
        #[arg(long, default_value_t = 5.0, value_parser = seconds)]
        a_second: f64,
    },
    /// Measure what members of a fleet cost at rest, beside dispatchers alone
    Rest {
        /// Dispatchers; five of them vote
        #[arg(long, value_delimiter = ',', default_value = "5,30", value_parser = clap::value_parser!(u64).range(5..=200))]
        counts: Vec<u64>,
        /// Seconds of each
        #[arg(long, default_value_t = 10.0, value_parser = seconds)]
        seconds: f64,
    },
    /// Run the plain proxy that the bench compares with
    #[command(hide = true)]
    Proxy {
        /// Where it listens
        listen: SocketAddr,
        /// Where it forwards to
        to: SocketAddr,
    },
    /// Run a dispatcher that breaks rules on purpose, in place of `serve`
    #[command(hide = true)]
    Naive {
        /// What it does wrong
        fault: String,
    },
}

#[derive(Args)]
struct Play {
    /// In place of the scenario's own
    #[arg(long)]
    seed: Option<u64>,
    /// Play so many seeds, one after the other, counted up from the first
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Run naive dispatchers with this fault: forgets, early, resends, doubles, impatient, stubborn or honest
    #[arg(long, value_name = "FAULT")]
    broken: Option<String>,
    /// Play another build of the program in place of this one
    #[arg(long, conflicts_with = "broken")]
    program: Option<PathBuf>,
    /// Keep the record of all that the stand-ins saw in this file
    #[arg(long)]
    record: Option<PathBuf>,
    /// Keep the dispatchers' logs in this folder
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// A figure that may be set from a thousandth to a minute or so.
fn seconds(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().map_err(|error| error.to_string())?;
    if (0.001..=60.0).contains(&number) { Ok(number) } else { Err("must lie between 0.001 and 60".into()) }
}

impl From<Play> for command::PlayOptions {
    fn from(play: Play) -> command::PlayOptions {
        let Play { seed, seeds, broken, program, record, logs } = play;
        command::PlayOptions { seed, seeds, naive_fault: broken, program, record, logs }
    }
}

fn main() -> ExitCode {
    // As the platform starts it: nothing else is looked at.
    if std::env::args_os().len() == 1 && std::env::var_os("GW_CONFIG").is_some() {
        return fawnspoke_node::serve();
    }
    match Cli::parse().command {
        Command::Serve => fawnspoke_node::serve(),
        Command::Check { file } => said(fawnspoke_node::check_config(&file)),
        Command::Demo { play } => command::demo(&play.into()),
        Command::Lab(Lab::Run { scenario, play }) => command::run(&scenario, &play.into()),
        Command::Lab(Lab::Script { scenario, seed }) => command::script(&scenario, seed),
        Command::Lab(Lab::Audit { record }) => command::audit(&record),
        Command::Lab(Lab::Bench { seconds, body, connections, slots, tick_ms, program }) => {
            let (body, connections, slots) = (body as usize, connections as usize, slots as usize);
            command::bench(&BenchSettings { seconds, body, connections, slots, tick_ms, program })
        }
        Command::Lab(Lab::Fleet { logs, every }) => command::fleet(&logs, every),
        Command::Lab(Lab::Losses { logs, before, json }) => command::losses(&logs, before.as_deref(), json),
        Command::Lab(Lab::HandingOn { terms, times }) => {
            command::measure_duty_failover(&terms, times as usize)
        }
        Command::Lab(Lab::Tries { count, out_s, a_second }) => {
            command::measure_trials(count as usize, out_s, a_second)
        }
        Command::Lab(Lab::Rest { counts, seconds }) => command::measure_idle_cost(&counts, seconds),
        Command::Lab(Lab::Proxy { listen, to }) => command::proxy(listen, to),
        Command::Lab(Lab::Naive { fault }) => command::naive(&fault),
        Command::Door(asked) => door(asked),
        Command::Fleet(asked) => said(fleet::run(asked)),
        Command::Journal(asked) => match journal(&asked) {
            Ok(code) => code,
            // Who reads has had enough.
            Err(InspectError::Write(error)) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("fawnspoke: {error}");
                ExitCode::from(2)
            }
        },
    }
}

/// Exit code 0, or 2 with one line that says what is wrong.
fn said(done: Result<String, String>) -> ExitCode {
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fawnspoke: {error}");
            ExitCode::from(2)
        }
    }
}

/// Exit code 0 for a yes or figures, 1 for a no, 2 where nobody answered.
fn door(asked: Door) -> ExitCode {
    let shown: Option<fn(&serde_json::Value) -> String> = match asked.ask {
        Ask::Members => Some(fleet::members),
        Ask::Duties => Some(fleet::duties),
        _ => None,
    };
    let call = match asked.ask {
        Ask::Status => Request::Status,
        Ask::Metrics => Request::Metrics,
        Ask::Members | Ask::Duties => Request::Fleet,
        Ask::Suspend { id } => Request::Suspend(id),
        Ask::Restore { id } => Request::Restore(id),
    };
    let reply = match client::send_request(asked.at, &call, Duration::from_secs_f64(asked.patience)) {
        Ok(reply) => reply,
        Err(error) => {
            eprintln!("fawnspoke: {}: {error}", asked.at);
            return ExitCode::from(2);
        }
    };
    let (text, code) = match (&reply, asked.json) {
        (Response::Success(text), json) if shown.is_some() => match (serde_json::from_str(text), shown) {
            (Ok(fleet), Some(shown)) if !json => (shown(&fleet), 0),
            _ => (text.clone(), 0),
        },
        (Response::Success(text), true) => {
            (serde_json::json!({"success": true, "text": text}).to_string(), 0)
        }
        (Response::Failure(text), true) => {
            (serde_json::json!({"success": false, "text": text}).to_string(), 1)
        }
        (Response::Success(text), false) => (format!("yes: {text}"), 0),
        (Response::Failure(text), false) => (format!("no: {text}"), 1),
        (Response::Metrics(figures), true) => {
            let figures = figures.iter().map(|(name, value, _)| (name.clone(), (*value).into()));
            (serde_json::Value::Object(figures.collect()).to_string(), 0)
        }
        (Response::Metrics(figures), false) => {
            let lines = figures.iter().map(|(name, value, _)| format!("{value:>12}  {name}"));
            (lines.collect::<Vec<_>>().join("\n"), 0)
        }
    };
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => ExitCode::from(2),
        _ => ExitCode::from(code),
    }
}

fn journal(asked: &Journal) -> Result<ExitCode, InspectError> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    let mut out = BufWriter::new(std::io::stdout().lock());
    let sound = match asked {
        Journal::Show { folder } => {
            write!(out, "{}", inspect::show(folder, now)?)?;
            true
        }
        Journal::Verify { folder } => {
            let (sound, text) = inspect::verify(folder)?;
            write!(out, "{text}")?;
            sound
        }
        Journal::Dump { folder, bodies, records: true } => {
            inspect::dump_records(folder, *bodies, &mut out)?;
            true
        }
        Journal::Dump { folder, bodies, records: false } => {
            inspect::dump(folder, *bodies, &mut out)?;
            true
        }
        Journal::Repair { folder, to } => {
            let RepairReport { messages, assumed_run: doubted, problems } = inspect::repair(folder, to, now)?;
            problems.iter().try_for_each(|line| writeln!(out, "{line}"))?;
            writeln!(
                out,
                "{messages} messages written to {}; {doubted} of them count as ones that may have run",
                to.display()
            )?;
            !problems.iter().any(|line| line.starts_with(inspect::DAMAGE_PREFIX))
        }
    };
    out.flush()?;
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
