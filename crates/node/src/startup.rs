//! The start of a dispatcher: the journal, the signals, the parts in their order.

use crate::calls::ConnectionPool;
use crate::clients::{self, ClientConnections};
use crate::clock::JournalClock;
use crate::config::Config;
use crate::directory::Directory;
use crate::event_loop::{EventSources, ExitAction, apply_input, run_event_loop};
use crate::fleet::{self, FleetConstraints};
use crate::retry::{self, Retry};
use crate::serving::ServingState;
use crate::{Node, client_listener, clock, control, discovery, handover, log, traffic};
use fawnspoke_control::metrics::Metrics;
use fawnspoke_control::server;
use fawnspoke_journal::compaction::{self, Limits};
use fawnspoke_journal::{Durability, Journal, OpenError, Options, Recovery};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use waydoor::Dispatcher;

/// Messages that are over and remembered as such, some 200 KB: a client that comes again does so within seconds.
const ENDS: usize = 4096;

/// The signals that the process heeds. They are asked for before clients can know of it.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Asks for them; only inside of a runtime.
    pub fn heed() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is followed at once; all else is what
/// this process was started with. A file that is no configuration changes nothing.
pub async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::from_environment() {
            Ok(config) => {
                let kept = node.config.differences(&config);
                let kept = if kept.is_empty() {
                    String::new()
                } else {
                    format!("; restart for {}", kept.join(", "))
                };
                log::info(format_args!(
                    "configuration read anew: discovery at {}{kept}",
                    config.discovery_address
                ));
                node.discovery_address.send_if_modified(|at| {
                    std::mem::replace(at, config.discovery_address) != config.discovery_address
                });
            }
            Err(error) => log::info(format_args!("configuration not read, the old one stays: {error}")),
        }
    }
}

/// Opens the journal and tells what was found; with it, the clock of what it holds.
pub fn open_journal(config: &Config) -> Result<(Journal, JournalClock), OpenError> {
    let known = JournalClock::read(&config.state_dir)?;
    let now = known.map_or_else(clock::wall, JournalClock::now);
    let options = Options {
        // The platform's own count may have a block more than ours; the clock's file and its successor have one each.
        limits: Limits::for_budget(config.limits.journal_bytes().saturating_sub(3 * compaction::BLOCK_BYTES)),
        durability: Durability::None,
        now,
        identity: u128::from(config.seed) << 64 | u128::from(now),
        remembered_outcomes: ENDS,
    };
    let (journal, recovery) = Journal::open(&config.state_dir, options)?;
    let Recovery { torn_bytes: torn, damage, migrated_messages: carried, latest_timestamp: latest } =
        recovery;
    if torn > 0 {
        log::info(format_args!("journal: {torn} bytes of a torn record left out"));
    }
    if let Some(messages) = carried {
        log::info(format_args!("journal: {messages} messages carried over from the format before"));
    }
    for damage in damage {
        log::info(format_args!("journal: damaged: {damage}"));
    }
    let clock = match known.filter(|clock| !clock.is_behind(latest)) {
        Some(clock) => clock,
        None => {
            let clock = JournalClock::begin(&config.state_dir, latest)?;
            let ahead = clock.now().saturating_sub(clock::wall()) as f64 / 1e6;
            log::info(format_args!(
                "clock: a boot that is new to the folder; {ahead:.3} s ahead of the wall clock"
            ));
            clock
        }
    };
    Ok((journal, clock))
}

/// Opens the journal once its folder lets it.
async fn open_when_writable(config: &Config) -> Result<(Journal, JournalClock), String> {
    let mut retry = Retry::new();
    let named = |error: &OpenError| format!("GW_STATE: {}: {error}", config.state_dir.display());
    loop {
        let error = match open_journal(config) {
            Err(error @ OpenError::Io(_)) => error,
            opened => return opened.map_err(|error| named(&error)),
        };
        let Some((pause, first)) = retry.next_pause() else { return Err(named(&error)) };
        if first {
            log::info(format_args!("{}; trying again", named(&error)));
        }
        tokio::time::sleep(pause).await;
    }
}

pub async fn run(config: Config, mut signals: Signals) -> Result<ExitAction, String> {
    let figures = Arc::new(Metrics::new(&config.classes));
    let (asked, orders) = unbounded_channel();
    if let Some(control) = config.control_address {
        // Operators are answered from now on, while the journal is read too.
        let at = retry::blocking(|| server::start(control, figures.clone(), asked.clone()));
        let at = at.map_err(|error| format!("control: {control}: {error}"))?;
        log::info(format_args!("{} answers operators at {at}", config.name));
    }
    let (locks, taken) = tokio::select! {
        arrived = handover::acquire_ownership(&config) => arrived,
        // It owns nothing yet.
        _ = signals.terminate.recv() => return Ok(ExitAction::Exit),
        _ = signals.interrupt.recv() => return Ok(ExitAction::Exit),
    };
    let (mut journal, clock) = tokio::select! {
        opened = open_when_writable(&config) => opened?,
        _ = signals.terminate.recv() => return Ok(ExitAction::Exit),
        _ = signals.interrupt.recv() => return Ok(ExitAction::Exit),
    };
    let (state, given) = taken.map_or((None, None), |mut taken| (taken.state.take(), Some(taken)));
    let adopted = state.is_some();
    let (started, dispatcher, directory) = match state {
        Some(mut state) => {
            let started = state.clock_start();
            journal.restore_recent_outcomes(state.ended_messages);
            state.dispatcher.resume_in_new_process();
            (started, state.dispatcher, state.directory)
        }
        None => {
            let dispatcher = Dispatcher::new(config.settings.clone(), config.seed);
            (Instant::now(), dispatcher.map_err(|error| error.to_string())?, Directory::default())
        }
    };
    let (given, passed) = given.map_or((None, None), |mut given| (given.listener.take(), Some(given)));
    let listener = client_listener::open(config.listen_address, given).await?;
    log::info(format_args!(
        "{} listens at {}",
        config.name,
        listener.local_addr().map_err(|e| e.to_string())?
    ));
    let (sender, mut inbox) = unbounded_channel();
    let (doorstep, asked) = handover::HandoverListener::new(&config.state_dir);
    let (rest, handed) = unbounded_channel();
    let node = Rc::new(Node {
        started_at: started,
        journal_clock: clock,
        input_sender: sender,
        dispatcher: RefCell::new(dispatcher),
        journal: RefCell::new(journal),
        directory: RefCell::new(directory),
        pool: ConnectionPool::default(),
        traffic: traffic::TrafficCounters::default(),
        metrics: figures,
        fleet: FleetConstraints::new(&config),
        overrides: control::OperatorOverrides::open(&config.state_dir),
        discovery_address: watch::Sender::new(config.discovery_address),
        journal_failing_since: Cell::new(None),
        unacknowledged: RefCell::default(),
        clients: ClientConnections::default(),
        calls_in_flight: Cell::new(0),
        calls_with_connection: Cell::new(0),
        shutting_down: Cell::new(false),
        notice_due: Notify::new(),
        resubscribe: Notify::new(),
        close_clients: watch::Sender::new(false),
        listener: Rc::new(listener),
        serving_state: ServingState::default(),
        owner_lock: RefCell::new(locks.owner),
        calls_lock: RefCell::new(locks.calls),
        handover_socket: doorstep,
        transfers: rest,
        abort_signal: Notify::new(),
        cancellations: RefCell::default(),
        adopted_state: adopted,
        config,
    });
    if !adopted {
        let known = discovery::apply_list(&node, node.config.document["known"].to_string().as_bytes());
        known.unwrap_or_else(|error| log::info_limited(format_args!("known: left out: {error}")));
    }
    node.fleet.start_member(&node.config);
    node.restore_from_journal();
    // The decisions know the list and what is owed before the first client is heard.
    std::iter::from_fn(|| inbox.try_recv().ok()).for_each(|input| apply_input(&node, node.now(), input));
    if let Some(passed) = passed {
        spawn_local(handover::complete_takeover(node.clone(), passed));
    }
    node.handover_socket.open();
    spawn_local(discovery::watch_list(node.clone()));
    spawn_local(discovery::deliver_notices(node.clone()));
    // Clients come once all that was owed is taken up again; nothing here waits for discovery.
    spawn_local(clients::serve(node.clone()));
    spawn_local(fleet::process_updates(node.clone()));
    spawn_local(control::process_commands(node.clone(), orders));
    node.metrics.set_gauges(control::gauges(&node));
    node.metrics.set_ready(true);
    spawn_local(reload(node.clone(), signals.hangup));
    let Signals { terminate, interrupt, .. } = signals;
    let finish =
        run_event_loop(node.clone(), EventSources { inbox, terminate, interrupt, asked, rest: handed }).await;
    // Idle clients hear that the connection ends; a request that is being answered is still answered.
    node.close_clients.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(finish)
}
