//! The I/O layer of a dispatcher: clients, endpoints, discovery, the journal, upgrades.
//!
//! All decisions are made by [`Dispatcher`], the decision core in the `waydoor` crate, which does no I/O. This crate
//! turns what happens on sockets and timers into its events, and carries out the actions that it returns.
//!
//! Everything runs on one thread. Inputs are collected in one queue; once per tick the `event_loop` module passes it
//! to the decision core and executes the resulting actions.

mod actions;
mod call;
mod call_results;
mod calls;
mod client_closes;
mod client_connection;
mod client_connections;
mod client_listener;
mod client_session;
mod clients;
mod clock;
mod compaction;
mod config;
mod connection;
mod connection_pool;
mod control;
mod directory;
mod discovery;
mod error;
mod event_loop;
mod fleet;
mod handover;
mod inputs;
mod journaling;
mod json_stream;
mod log;
mod loop_delay;
mod memory_plan;
mod notices;
mod panics;
mod process_memory;
mod recovery;
mod request_buffer;
mod request_memory;
mod requests;
mod resource_log;
mod retry;
mod serving;
mod size_limits;
mod startup;
mod stream;
mod takeover;
mod traffic;
mod transfer;
mod unproven;
mod watch_outage;

use client_connections::ClientConnections;
use clock::JournalClock;
use config::Config;
use connection::{ConnectionReport, EndpointConnection};
use connection_pool::ConnectionPool;
use directory::Directory;
use event_loop::ExitAction;
use fawnspoke_control::metrics::Metrics;
use fawnspoke_handover::lock::Lock;
use fawnspoke_journal::{Journal, UnixMicros};
use inputs::Input;
use rustix::io::Errno;
use serving::ServingState;
use startup::Signals;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::os::unix::process::CommandExt;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::task::LocalSet;
use transfer::Transfer;
use waydoor::{DestinationId, Dispatcher, EndpointId, Event, Seconds};

/// The state that the modules of the dispatcher share.
struct Node {
    config: Config,
    started_at: Instant,
    /// Clock of all journaled times.
    journal_clock: JournalClock,
    /// Feeds the event loop.
    input_sender: UnboundedSender<Input>,
    dispatcher: RefCell<Dispatcher>,
    journal: RefCell<Journal>,
    directory: RefCell<Directory>,
    pool: ConnectionPool,
    /// Deliveries that rest on a response which may belong to an earlier request.
    unproven: unproven::UnprovenDeliveries,
    /// Connections to endpoints that were opened so far.
    opened_connections: Cell<u64>,
    traffic: traffic::TrafficCounters,
    /// Metrics shown to operators.
    metrics: Arc<Metrics>,
    /// Overrides that operators have set.
    overrides: control::OperatorOverrides,
    /// Constraints that the fleet puts on this dispatcher.
    fleet: fleet::FleetConstraints,
    /// Current address of discovery; a reloaded configuration may change it.
    discovery_address: watch::Sender<SocketAddr>,
    /// Since when journal writes have been failing.
    journal_failing_since: Cell<Option<Instant>>,
    /// Journaled messages whose 202 response has not been written yet.
    unacknowledged: RefCell<HashSet<u64>>,
    clients: ClientConnections,
    /// The memory of this process, as last read.
    process_memory: Cell<process_memory::ProcessMemory>,
    /// Calls that have begun and whose end is not processed yet.
    calls_in_flight: Cell<usize>,
    /// Those of the calls in flight that may have a connection open.
    calls_with_connection: Cell<usize>,
    /// SIGTERM or SIGINT was received.
    shutting_down: Cell<bool>,
    /// Wakes the sender of notices.
    notice_due: Notify,
    /// Makes the subscription to discovery start again.
    resubscribe: Notify,
    /// True once client connections are to close, each after its outstanding response.
    close_clients: watch::Sender<bool>,
    /// The listening socket for clients.
    listener: Rc<TcpListener>,
    /// Whether this process serves, is handing over or has handed over.
    serving_state: ServingState,
    /// Its holder owns the state directory.
    owner_lock: RefCell<Option<Lock>>,
    /// Shared lock of all processes that may have calls in flight.
    calls_lock: RefCell<Option<Lock>>,
    /// Where a new process connects to take over from this one.
    handover_socket: handover::HandoverListener,
    /// Queue of what is transferred to the new process.
    transfer_sender: UnboundedSender<Transfer>,
    /// Aborts all calls in flight.
    abort_signal: Notify,
    /// Signals that cancel the call of a single message, by message number.
    cancellations: RefCell<HashMap<u64, Rc<Notify>>>,
    /// The state of the decision core was handed over by the previous process.
    adopted_state: bool,
    /// The process from which this one took over still runs, and may have calls in flight.
    has_predecessor: Cell<bool>,
}

impl Node {
    /// Seconds since the start on the decision core's clock, which a handover carries on.
    fn now(&self) -> Seconds {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Queues an input for the next tick.
    fn send_input(&self, input: Input) {
        // The receiver, in the event loop, lives as long as the process.
        let _ = self.input_sender.send(input);
    }

    /// Aborts all calls; when this returns, none of them has a connection open.
    async fn abort_calls(&self) {
        while self.calls_with_connection.get() > 0 {
            self.abort_signal.notify_waiters();
            tokio::task::yield_now().await;
        }
    }

    /// Accepted messages that have not ended.
    fn open_messages(&self) -> usize {
        self.journal.borrow().open_messages()
    }

    /// Names a new connection to an endpoint.
    fn endpoint_connection(&self, endpoint: EndpointId, address: SocketAddr) -> EndpointConnection {
        let destination = self.directory.borrow().get(endpoint).map_or(0, |listed| listed.destination);
        let number = self.opened_connections.get() + 1;
        self.opened_connections.set(number);
        let inputs = self.input_sender.clone();
        // The receiver, in the event loop, lives as long as the process.
        let report = Rc::new(move |report: ConnectionReport| drop(inputs.send(report.into())));
        EndpointConnection { endpoint, destination, address, number, report }
    }

    /// Queues an item for the process that has taken over.
    fn transfer(&self, item: Transfer) {
        let _ = self.transfer_sender.send(item);
    }

    /// Queues an event for the decision core.
    fn send_event(&self, event: Event) {
        self.send_input(Input::Event(event));
    }

    /// The current time on the journal's clock.
    fn unix_now(&self) -> UnixMicros {
        self.journal_clock.now()
    }

    /// Converts a journaled time to the decision core's clock.
    fn to_monotonic(&self, at: UnixMicros) -> Seconds {
        self.now() + (at as f64 - self.unix_now() as f64) / 1e6
    }

    /// How long a client should wait before it sends a message for this destination again.
    fn retry_after(&self, destination: DestinationId) -> Seconds {
        let delay = self.dispatcher.borrow().retry_after(self.now(), destination);
        delay.min(self.config.max_retry_after_seconds)
    }
}

/// Runs the dispatcher that `GW_CONFIG` and `GW_STATE` describe until SIGTERM or SIGINT. An invalid configuration
/// ends the start with one line that names the key, and exit code 2; any other failure of the start (an address in
/// use, a directory that can't be written) ends it with exit code 1.
pub fn serve() -> ExitCode {
    // Signals may arrive at any moment, and one without a handler would kill the process.
    let (runtime, signals) = match retry::blocking(runtime_with_signals) {
        Ok(built) => built,
        Err(error) => {
            log::error(format_args!("fawnspoke: runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => {
            log::error(format_args!("fawnspoke: {error}"));
            return ExitCode::from(2);
        }
    };
    panics::install_hook();
    let started_at = Instant::now();
    let run = || LocalSet::new().block_on(&runtime, startup::run(config, signals));
    let outcome = std::panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(Ok(ExitAction::Restart));
    match outcome {
        Ok(ExitAction::Exit) => ExitCode::SUCCESS,
        Ok(ExitAction::Restart)
            if panics::dispatcher_panicked() && !panics::may_restart(started_at.elapsed()) =>
        {
            log::error("fawnspoke: panicked within a second of its start; not started again");
            ExitCode::FAILURE
        }
        Ok(ExitAction::Restart) => {
            log::info("restarting from the journal");
            // The sockets and files of this process close on exec; the new one recovers from the journal as after a
            // kill.
            let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
            log::error(format_args!("fawnspoke: cannot restart: {error}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            log::error(format_args!("fawnspoke: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Builds the runtime and installs the signal handlers.
fn runtime_with_signals() -> io::Result<(Runtime, Signals)> {
    // tokio panics when it cannot create its socket pair for signals.
    let built = std::panic::catch_unwind(|| {
        drop(UnixStream::pair()?);
        tokio::runtime::Builder::new_current_thread().enable_all().build()
    });
    let runtime = built.unwrap_or_else(|_| Err(Errno::NFILE.into()))?;
    let signals = runtime.block_on(async { Signals::install() })?;
    Ok((runtime, signals))
}

/// Validates a configuration file without starting anything, and returns a one-line summary.
///
/// # Errors
/// One line that names the file, the key and the problem.
pub fn check_config(file: &Path) -> Result<String, String> {
    let config = Config::from_file(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok(format!(
        "{}: {}: {} classes, {} kinds of destination, {} slots, capacity for {} messages",
        file.display(),
        config.name,
        config.classes.len(),
        config.kinds.len(),
        config.settings.max_concurrent_calls,
        config.settings.max_messages
    ))
}
