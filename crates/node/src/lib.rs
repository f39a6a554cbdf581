//! One dispatcher on sockets: feeds the decisions of the library and carries them out.
//!
//! All runs on one thread. What happens goes into one queue; once a tick the queue goes to the decisions,
//! and what they ask for is done. Nothing is decided here.

mod acts;
mod bounds;
mod calls;
mod clients;
mod clock;
mod config;
mod control;
mod counts;
mod directory;
mod discovery;
mod gate;
mod handover;
mod inherited;
mod intake;
mod log;
mod records;
mod rest;
mod retry;
mod rounds;
mod sizes;
mod space;
mod start;
mod wire;

use calls::Pool;
use clients::Clients;
use clock::JournalClock;
use config::Config;
use directory::Directory;
use fawnspoke_control::figures::Figures;
use fawnspoke_handover::lock::Lock;
use fawnspoke_journal::{Journal, UnixMicros};
use gate::Gate;
use rest::Rest;
use rounds::{Finish, Input};
use rustix::io::Errno;
use start::Signals;
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
use waydoor::{DestinationId, Dispatcher, Event, Seconds};

/// What the parts of the dispatcher share.
struct Node {
    config: Config,
    started: Instant,
    /// The clock of what is journaled.
    clock: JournalClock,
    inbox: UnboundedSender<Input>,
    dispatcher: RefCell<Dispatcher>,
    journal: RefCell<Journal>,
    directory: RefCell<Directory>,
    pool: Pool,
    counts: counts::Counts,
    /// What operators are shown.
    figures: Arc<Figures>,
    /// What operators have ordered.
    control: control::Control,
    /// What parts outside of the decisions say.
    bounds: bounds::Bounds,
    /// Where discovery is now; a new configuration may move it.
    discovery: watch::Sender<SocketAddr>,
    /// Since when writes to the folder that lasts fail.
    storage_failed_at: Cell<Option<Instant>>,
    /// Taken in the journal, but the 202 is not written yet.
    unheard: RefCell<HashSet<u64>>,
    clients: Clients,
    /// Calls begun of which not all is done yet, and those of them that may have a connection open.
    calls_out: Cell<usize>,
    calls_open: Cell<usize>,
    closing: Cell<bool>,
    /// A notice is owed.
    notices: Notify,
    /// The watch is to begin anew.
    resubscribe: Notify,
    /// Connections of clients end, each once it owes no answer.
    stopping: watch::Sender<bool>,
    listener: Rc<TcpListener>,
    /// Whether this process serves, or hands over.
    gate: Gate,
    /// Who holds it owns the folder that lasts.
    lock: RefCell<Option<Lock>>,
    /// Shared by all processes that may have calls out.
    calls_lock: RefCell<Option<Lock>>,
    /// Where a process comes that is to take over.
    doorstep: handover::Doorstep,
    /// What goes over to it.
    rest: UnboundedSender<Rest>,
    /// Calls that are out break off: all of them, ...
    cut: Notify,
    /// ... or that of one message.
    breaks: RefCell<HashMap<u64, Rc<Notify>>>,
    /// The decisions' state came from the process before.
    adopted: bool,
}

impl Node {
    fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    fn send(&self, input: Input) {
        // The loop that reads it lives as long as the process.
        let _ = self.inbox.send(input);
    }

    /// Breaks off all calls; when this returns none has a connection open.
    async fn cut_calls(&self) {
        while self.calls_open.get() > 0 {
            self.cut.notify_waiters();
            tokio::task::yield_now().await;
        }
    }

    /// Gives something to the process that has taken over.
    fn hand(&self, rest: Rest) {
        let _ = self.rest.send(rest);
    }

    fn tell(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// The time now on the clock of what is journaled.
    fn unix_now(&self) -> UnixMicros {
        self.clock.now()
    }

    /// A point of Unix time on the decisions' clock.
    fn seconds(&self, at: UnixMicros) -> Seconds {
        self.now() + (at as f64 - self.unix_now() as f64) / 1e6
    }

    fn come_back(&self, destination: DestinationId) -> Seconds {
        let at = self.dispatcher.borrow().retry_after(self.now(), destination);
        at.min(self.config.max_retry_after)
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
            log::complain(format_args!("fawnspoke: runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => {
            log::complain(format_args!("fawnspoke: {error}"));
            return ExitCode::from(2);
        }
    };
    let ran = LocalSet::new().block_on(&runtime, start::run(config, signals));
    match ran {
        Ok(Finish::End) => ExitCode::SUCCESS,
        Ok(Finish::Again) => {
            // All that this process had open closes with it; what is on record is taken up as after a kill.
            let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
            log::complain(format_args!("fawnspoke: beginning anew: {error}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            log::complain(format_args!("fawnspoke: {error}"));
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
