//! One dispatcher on sockets: feeds the decisions of the library and carries them out.
//!
//! All runs on one thread. What happens goes into one queue; once a tick the queue goes to the decisions,
//! and what they ask for is done. Nothing is decided here.

mod actions;
mod calls;
mod client_listener;
mod clients;
mod clock;
mod compaction;
mod config;
mod control;
mod directory;
mod discovery;
mod event_loop;
mod fleet;
mod handover;
mod journaling;
mod log;
mod requests;
mod retry;
mod serving;
mod size_limits;
mod startup;
mod stream;
mod traffic;
mod transfer;

use calls::ConnectionPool;
use clients::ClientConnections;
use clock::JournalClock;
use config::Config;
use directory::Directory;
use event_loop::{ExitAction, Input};
use fawnspoke_control::metrics::Metrics;
use fawnspoke_handover::lock::Lock;
use fawnspoke_journal::{Journal, UnixMicros};
use rustix::io::Errno;
use serving::ServingState;
use startup::Signals;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::os::unix::process::CommandExt;
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
use waydoor::{DestinationId, Dispatcher, Event, Seconds};

/// What the parts of the dispatcher share.
struct Node {
    config: Config,
    started_at: Instant,
    /// The clock of what is journaled.
    journal_clock: JournalClock,
    input_sender: UnboundedSender<Input>,
    dispatcher: RefCell<Dispatcher>,
    journal: RefCell<Journal>,
    directory: RefCell<Directory>,
    pool: ConnectionPool,
    traffic: traffic::TrafficCounters,
    /// What operators are shown.
    metrics: Arc<Metrics>,
    /// What operators have ordered.
    overrides: control::OperatorOverrides,
    /// What parts outside of the decisions say.
    fleet: fleet::FleetConstraints,
    /// Where discovery is now; a new configuration may move it.
    discovery_address: watch::Sender<SocketAddr>,
    /// Since when writes to the folder that lasts fail.
    journal_failing_since: Cell<Option<Instant>>,
    /// Taken in the journal, but the 202 is not written yet.
    unacknowledged: RefCell<HashSet<u64>>,
    clients: ClientConnections,
    /// Calls begun of which not all is done yet, and those of them that may have a connection open.
    calls_in_flight: Cell<usize>,
    calls_with_connection: Cell<usize>,
    shutting_down: Cell<bool>,
    /// A notice is owed.
    notice_due: Notify,
    /// The watch is to begin anew.
    resubscribe: Notify,
    /// Connections of clients end, each once it owes no answer.
    close_clients: watch::Sender<bool>,
    listener: Rc<TcpListener>,
    /// Whether this process serves, or hands over.
    serving_state: ServingState,
    /// Who holds it owns the folder that lasts.
    owner_lock: RefCell<Option<Lock>>,
    /// Shared by all processes that may have calls out.
    calls_lock: RefCell<Option<Lock>>,
    /// Where a process comes that is to take over.
    handover_socket: handover::HandoverListener,
    /// What goes over to it.
    transfers: UnboundedSender<Transfer>,
    /// Calls that are out break off: all of them, ...
    abort_signal: Notify,
    /// ... or that of one message.
    cancellations: RefCell<HashMap<u64, Rc<Notify>>>,
    /// The decisions' state came from the process before.
    adopted_state: bool,
}

impl Node {
    fn now(&self) -> Seconds {
        self.started_at.elapsed().as_secs_f64()
    }

    fn send_input(&self, input: Input) {
        // The loop that reads it lives as long as the process.
        let _ = self.input_sender.send(input);
    }

    /// Breaks off all calls; when this returns none has a connection open.
    async fn abort_calls(&self) {
        while self.calls_with_connection.get() > 0 {
            self.abort_signal.notify_waiters();
            tokio::task::yield_now().await;
        }
    }

    /// Gives something to the process that has taken over.
    fn transfer(&self, item: Transfer) {
        let _ = self.transfers.send(item);
    }

    fn send_event(&self, event: Event) {
        self.send_input(Input::Event(event));
    }

    /// The time now on the clock of what is journaled.
    fn unix_now(&self) -> UnixMicros {
        self.journal_clock.now()
    }

    /// A point of Unix time on the decisions' clock.
    fn to_monotonic(&self, at: UnixMicros) -> Seconds {
        self.now() + (at as f64 - self.unix_now() as f64) / 1e6
    }

    fn retry_after(&self, destination: DestinationId) -> Seconds {
        let at = self.dispatcher.borrow().retry_after(self.now(), destination);
        at.min(self.config.max_retry_after_seconds)
    }
}

/// Runs the dispatcher that `GW_CONFIG` and `GW_STATE` describe until it is told to stop. A configuration that
/// is wrong ends the start with one line that names the key, and exit code 2; a start that fails for another
/// cause (an address in use, a folder that can't be written) with exit code 1.
pub fn serve() -> ExitCode {
    // Signals may come from the first moment on, and one that is not heeded would end the process.
    let (runtime, signals) = match retry::blocking(runtime_with_signals) {
        Ok(heeded) => heeded,
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
    let ran = LocalSet::new().block_on(&runtime, startup::run(config, signals));
    match ran {
        Ok(ExitAction::Exit) => ExitCode::SUCCESS,
        Ok(ExitAction::Restart) => {
            // All that this process had open closes with it; what is on record is taken up as after a kill.
            let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
            log::error(format_args!("fawnspoke: beginning anew: {error}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            log::error(format_args!("fawnspoke: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// The runtime, with signals heeded.
fn runtime_with_signals() -> io::Result<(Runtime, Signals)> {
    // Where it gets no pair of sockets for signals, tokio panics.
    let built = std::panic::catch_unwind(|| {
        drop(UnixStream::pair()?);
        tokio::runtime::Builder::new_current_thread().enable_all().build()
    });
    let runtime = built.unwrap_or_else(|_| Err(Errno::NFILE.into()))?;
    let signals = runtime.block_on(async { Signals::heed() })?;
    Ok((runtime, signals))
}

/// Reads a configuration without starting anything.
///
/// # Errors
/// One line that names the file, the key and what is wrong with it.
pub fn check(file: &Path) -> Result<String, String> {
    let config = Config::from_file(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok(format!(
        "{}: {}: {} classes, {} kinds of destination, {} slots, room for {} messages",
        file.display(),
        config.name,
        config.classes.len(),
        config.kinds.len(),
        config.settings.max_concurrent_calls,
        config.settings.max_messages
    ))
}
