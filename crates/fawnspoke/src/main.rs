//! The command line of `fawnspoke`: parses the arguments and dispatches to the package that implements the subcommand.

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
/// Without arguments and with GW_CONFIG set, it runs the dispatcher.
#[derive(Parser)]
#[command(name = "fawnspoke", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the dispatcher configured by GW_CONFIG and GW_STATE
    Serve,
    /// Validate a dispatcher's configuration
    Check {
        /// The configuration file, in JSON
        file: PathBuf,
    },
    /// Run the embedded scenario: two dispatchers, failing partners and one kill; takes about 15 s
    Demo {
        #[command(flatten)]
        run: RunArgs,
    },
    /// Test scenarios with stand-ins and faults, their audit, and measurements
    #[command(subcommand)]
    Lab(LabCommand),
    /// Inspect a dispatcher's journal, read-only
    #[command(subcommand)]
    Journal(JournalCommand),
    /// Query or control a running dispatcher
    #[command(name = "door")]
    Control(ControlArgs),
    /// Check a fleet's configuration file, or bootstrap the fleet
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
}

#[derive(Args)]
struct ControlArgs {
    /// Address of the dispatcher's control port
    #[arg(long = "at", env = "GW_CONTROL")]
    address: SocketAddr,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
    /// Timeout in seconds, for the connection and for the answer each
    #[arg(long = "patience", default_value_t = 2.0, value_parser = parse_seconds, global = true)]
    timeout: f64,
    #[command(subcommand)]
    command: ControlCommand,
}

#[derive(Subcommand)]
enum ControlCommand {
    /// Report whether the dispatcher is ready to serve; exit code 1 if it is not
    Status,
    /// Print the metrics
    Metrics,
    /// List the fleet's members as this member sees them
    Members,
    /// List the fleet's duties with their holders and epochs
    Duties,
    /// Suspend an endpoint until it is restored
    Suspend {
        /// The endpoint's id in discovery's list
        id: String,
    },
    /// Restore a suspended endpoint
    Restore {
        /// The endpoint's id in discovery's list
        id: String,
    },
}

#[derive(Subcommand)]
enum JournalCommand {
    /// Summarise pending messages and notices by destination and age, and the contents of the segments
    Show {
        /// The dispatcher's state directory
        directory: PathBuf,
    },
    /// Check the journal's integrity; exit code 1 if it is damaged
    Verify {
        /// The dispatcher's state directory
        directory: PathBuf,
    },
    /// Write the pending messages as JSON, one a line
    Dump {
        /// The dispatcher's state directory
        directory: PathBuf,
        /// Include the bodies, in base64
        #[arg(long)]
        bodies: bool,
        /// Write every record instead of the pending messages
        #[arg(long)]
        records: bool,
    },
    /// Copy all readable messages to a new journal; exit code 1 if data was lost
    Repair {
        /// The state directory of a stopped dispatcher
        directory: PathBuf,
        /// The new directory: missing or empty
        target: PathBuf,
    },
}

#[derive(Subcommand)]
enum LabCommand {
    /// Run a scenario and audit the result
    Run {
        /// The scenario, in TOML
        scenario: PathBuf,
        #[command(flatten)]
        run: RunArgs,
    },
    /// Print the script of arrivals and faults that a scenario and its seed generate
    Script {
        /// The scenario, in TOML
        scenario: PathBuf,
        /// Overrides the scenario's seed
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Audit a record written by an earlier run
    Audit {
        /// The record, one JSON object a line
        record: PathBuf,
    },
    /// Measure the throughput and latency of one dispatcher, beside a plain proxy on the same core
    Bench {
        /// Duration of each of the four measurements, in seconds
        #[arg(long, default_value_t = 4.0, value_parser = parse_seconds)]
        seconds: f64,
        /// Body size in bytes
        #[arg(long, default_value_t = 212, value_parser = clap::value_parser!(u64).range(0..=65536))]
        body: u64,
        /// Connections of the load generator
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(2..=500))]
        connections: u64,
        /// Maximum number of calls in flight
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1500))]
        slots: u64,
        /// Tick of the dispatcher's event loop, in milliseconds
        #[arg(long, default_value_t = 5.0, value_parser = parse_seconds)]
        tick_ms: f64,
        /// Measure another build of the program instead of this one
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Sum the traffic counters of all dispatchers of a fleet, by time and destination
    Fleet {
        /// The directory of their logs, one *.log file each
        logs: PathBuf,
        /// Length of the time interval of a row, in seconds
        #[arg(long = "every", default_value_t = 5.0, value_parser = parse_seconds)]
        interval: f64,
    },
    /// Report a fleet's losses by destination: capacity unused while messages were queued, rejections by cause, recoveries
    Losses {
        /// The directory of its logs, one *.log file each
        logs: PathBuf,
        /// The log directory of an earlier run to compare with
        #[arg(long = "before")]
        baseline: Option<PathBuf>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Measure the failover time of a duty after a kill, a stall, a network partition and a graceful stop
    #[command(name = "handing-on")]
    Failover {
        /// Lease terms, in seconds
        #[arg(long, value_delimiter = ',', default_value = "1,3,10", value_parser = parse_seconds)]
        terms: Vec<f64>,
        /// Repetitions for each term and kind of failure
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        times: u64,
    },
    /// Count the trials at an unavailable destination and the polls of an unresponsive discovery, without and with a fleet
    #[command(name = "tries")]
    Trials {
        /// Number of dispatchers
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=60))]
        count: u64,
        /// Seconds of each outage: the destination's, then discovery's
        #[arg(long = "out-s", default_value_t = 30.0, value_parser = parse_seconds)]
        outage_seconds: f64,
        /// Messages a second to each dispatcher
        #[arg(long = "a-second", default_value_t = 5.0, value_parser = parse_seconds)]
        messages_per_second: f64,
    },
    /// Measure the resource use of idle fleet members, beside dispatchers without a fleet
    #[command(name = "rest")]
    IdleCost {
        /// Numbers of dispatchers; five of them are voters
        #[arg(long, value_delimiter = ',', default_value = "5,30", value_parser = clap::value_parser!(u64).range(5..=200))]
        counts: Vec<u64>,
        /// Duration of each measurement, in seconds
        #[arg(long, default_value_t = 10.0, value_parser = parse_seconds)]
        seconds: f64,
    },
    /// Run the plain proxy used as the baseline of the bench
    #[command(hide = true)]
    Proxy {
        /// Address to listen on
        listen: SocketAddr,
        /// Address to forward to
        to: SocketAddr,
    },
    /// Run a deliberately faulty dispatcher instead of `serve`
    #[command(hide = true)]
    Naive {
        /// The fault
        fault: String,
    },
}

#[derive(Args)]
struct RunArgs {
    /// Overrides the scenario's seed
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run, one after the other
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Run naive dispatchers with this fault: forgets, early, resends, doubles, impatient, stubborn or honest
    #[arg(long = "broken", value_name = "FAULT")]
    naive_fault: Option<String>,
    /// Run another build of the program instead of this one
    #[arg(long, conflicts_with = "naive_fault")]
    program: Option<PathBuf>,
    /// Write the record of everything the stand-ins observed to this file
    #[arg(long)]
    record: Option<PathBuf>,
    /// Keep the dispatchers' logs in this directory
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// Parses a duration argument: 0.001 to 60.
fn parse_seconds(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().map_err(|error| error.to_string())?;
    if (0.001..=60.0).contains(&number) { Ok(number) } else { Err("must lie between 0.001 and 60".into()) }
}

impl From<RunArgs> for command::PlayOptions {
    fn from(args: RunArgs) -> command::PlayOptions {
        let RunArgs { seed, seeds, naive_fault, program, record, logs } = args;
        command::PlayOptions { seed, seeds, naive_fault, program, record, logs }
    }
}

fn main() -> ExitCode {
    // The platform starts the dispatcher without arguments, configured by its environment alone.
    if std::env::args_os().len() == 1 && std::env::var_os("GW_CONFIG").is_some() {
        return fawnspoke_node::serve();
    }
    match Cli::parse().command {
        Command::Serve => fawnspoke_node::serve(),
        Command::Check { file } => print_result(fawnspoke_node::check_config(&file)),
        Command::Demo { run } => command::demo(&run.into()),
        Command::Lab(LabCommand::Run { scenario, run }) => command::run(&scenario, &run.into()),
        Command::Lab(LabCommand::Script { scenario, seed }) => command::script(&scenario, seed),
        Command::Lab(LabCommand::Audit { record }) => command::audit(&record),
        Command::Lab(LabCommand::Bench { seconds, body, connections, slots, tick_ms, program }) => {
            let (body, connections, slots) = (body as usize, connections as usize, slots as usize);
            command::bench(&BenchSettings { seconds, body, connections, slots, tick_ms, program })
        }
        Command::Lab(LabCommand::Fleet { logs, interval }) => command::fleet(&logs, interval),
        Command::Lab(LabCommand::Losses { logs, baseline, json }) => {
            command::losses(&logs, baseline.as_deref(), json)
        }
        Command::Lab(LabCommand::Failover { terms, times }) => {
            command::measure_duty_failover(&terms, times as usize)
        }
        Command::Lab(LabCommand::Trials { count, outage_seconds, messages_per_second }) => {
            command::measure_trials(count as usize, outage_seconds, messages_per_second)
        }
        Command::Lab(LabCommand::IdleCost { counts, seconds }) => {
            command::measure_idle_cost(&counts, seconds)
        }
        Command::Lab(LabCommand::Proxy { listen, to }) => command::proxy(listen, to),
        Command::Lab(LabCommand::Naive { fault }) => command::naive(&fault),
        Command::Control(args) => run_control(args),
        Command::Fleet(command) => print_result(fleet::run(command)),
        Command::Journal(command) => match run_journal(&command) {
            Ok(code) => code,
            // The reader closed the pipe early, as `head` does.
            Err(InspectError::Write(error)) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("fawnspoke: {error}");
                ExitCode::from(2)
            }
        },
    }
}

/// Prints the result of a command: exit code 0, or 2 with a one-line error.
fn print_result(result: Result<String, String>) -> ExitCode {
    match result {
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

/// Sends a request to the control port and prints the response. Exit code 0 for success or metrics, 1 for a negative
/// response, 2 without a response.
fn run_control(args: ControlArgs) -> ExitCode {
    let table_formatter: Option<fn(&serde_json::Value) -> String> = match args.command {
        ControlCommand::Members => Some(fleet::format_members),
        ControlCommand::Duties => Some(fleet::format_duties),
        _ => None,
    };
    let request = match args.command {
        ControlCommand::Status => Request::Status,
        ControlCommand::Metrics => Request::Metrics,
        ControlCommand::Members | ControlCommand::Duties => Request::Fleet,
        ControlCommand::Suspend { id } => Request::Suspend(id),
        ControlCommand::Restore { id } => Request::Restore(id),
    };
    let response = match client::send_request(args.address, &request, Duration::from_secs_f64(args.timeout)) {
        Ok(response) => response,
        Err(error) => {
            eprintln!("fawnspoke: {}: {error}", args.address);
            return ExitCode::from(2);
        }
    };
    let (text, code) = match (&response, args.json) {
        (Response::Success(text), json) if table_formatter.is_some() => {
            match (serde_json::from_str(text), table_formatter) {
                (Ok(fleet), Some(format_table)) if !json => (format_table(&fleet), 0),
                _ => (text.clone(), 0),
            }
        }
        (Response::Success(text), true) => {
            (serde_json::json!({"success": true, "text": text}).to_string(), 0)
        }
        (Response::Failure(text), true) => {
            (serde_json::json!({"success": false, "text": text}).to_string(), 1)
        }
        (Response::Success(text), false) => (format!("yes: {text}"), 0),
        (Response::Failure(text), false) => (format!("no: {text}"), 1),
        (Response::Metrics(metrics), true) => {
            let members = metrics.iter().map(|(name, value, _)| (name.clone(), (*value).into()));
            (serde_json::Value::Object(members.collect()).to_string(), 0)
        }
        (Response::Metrics(metrics), false) => {
            let lines = metrics.iter().map(|(name, value, _)| format!("{value:>12}  {name}"));
            (lines.collect::<Vec<_>>().join("\n"), 0)
        }
    };
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => ExitCode::from(2),
        _ => ExitCode::from(code),
    }
}

/// Runs a journal command. Exit code 1 if the journal is damaged.
fn run_journal(command: &JournalCommand) -> Result<ExitCode, InspectError> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64);
    let mut output = BufWriter::new(std::io::stdout().lock());
    let intact = match command {
        JournalCommand::Show { directory } => {
            write!(output, "{}", inspect::show(directory, now)?)?;
            true
        }
        JournalCommand::Verify { directory } => {
            let (intact, text) = inspect::verify(directory)?;
            write!(output, "{text}")?;
            intact
        }
        JournalCommand::Dump { directory, bodies, records: true } => {
            inspect::dump_records(directory, *bodies, &mut output)?;
            true
        }
        JournalCommand::Dump { directory, bodies, records: false } => {
            inspect::dump(directory, *bodies, &mut output)?;
            true
        }
        JournalCommand::Repair { directory, target } => {
            let RepairReport { messages, assumed_run, problems } = inspect::repair(directory, target, now)?;
            problems.iter().try_for_each(|line| writeln!(output, "{line}"))?;
            writeln!(
                output,
                "{messages} messages written to {}; {assumed_run} of them may have run",
                target.display()
            )?;
            !problems.iter().any(|line| line.starts_with(inspect::DAMAGE_PREFIX))
        }
    };
    output.flush()?;
    Ok(if intact { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
