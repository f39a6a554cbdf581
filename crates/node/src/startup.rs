//! Startup of a dispatcher process: signal handlers, the journal, and the tasks in their order.

use crate::client_connections::ClientConnections;
use crate::clients;
use crate::config::Config;
use crate::connection_pool::ConnectionPool;
use crate::directory::Directory;
use crate::event_loop::{EventSources, ExitAction, apply_input, run_event_loop};
use crate::fleet::{self, FleetConstraints};
use crate::recovery::open_when_writable;
use crate::retry;
use crate::serving::ServingState;
use crate::{Node, client_listener, control, discovery, handover, log, notices, takeover, traffic};
use fawnspoke_control::metrics::Metrics;
use fawnspoke_control::server;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use waydoor::Dispatcher;

/// The signals that the process handles. The handlers are installed before clients can reach the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers; must be called inside of a runtime.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reloads the configuration at each SIGHUP. Only the address of discovery takes effect at once; for all other keys the
/// log names those that need a restart. An invalid file changes nothing.
pub async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::from_environment() {
            Ok(config) => {
                let unapplied = node.config.differences(&config);
                let unapplied = if unapplied.is_empty() {
                    String::new()
                } else {
                    format!("; restart for {}", unapplied.join(", "))
                };
                log::info(format_args!(
                    "configuration reloaded: discovery at {}{unapplied}",
                    config.discovery_address
                ));
                node.discovery_address.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery_address) != config.discovery_address
                });
            }
            Err(error) => log::info(format_args!("configuration not read, the old one stays: {error}")),
        }
    }
}

/// Runs a dispatcher from its start to its exit.
///
/// # Errors
/// One line that says why it could not start.
pub async fn run(mut config: Config, mut signals: Signals) -> Result<ExitAction, String> {
    let process_started_at = Instant::now();
    let metrics = Arc::new(Metrics::new(&config.classes));
    let known = std::mem::take(&mut config.known);
    let (control_sender, control_requests) = unbounded_channel();
    if let Some(control_address) = config.control_address {
        // The control port answers from now on, also while the journal is read.
        let max_callers = config.limits.max_control_callers();
        let start = || server::start(control_address, max_callers, metrics.clone(), control_sender.clone());
        let address = retry::blocking(start);
        let address = address.map_err(|error| format!("control: {control_address}: {error}"))?;
        log::info(format_args!("{} answers operators at {address}", config.name));
    }
    let (locks, handover) = tokio::select! {
        arrived = takeover::acquire_ownership(&config) => arrived,
        // This process owns nothing yet.
        _ = signals.terminate.recv() => return Ok(ExitAction::Exit),
        _ = signals.interrupt.recv() => return Ok(ExitAction::Exit),
    };
    let (mut journal, journal_clock) = tokio::select! {
        opened = open_when_writable(&config) => opened?,
        _ = signals.terminate.recv() => return Ok(ExitAction::Exit),
        _ = signals.interrupt.recv() => return Ok(ExitAction::Exit),
    };
    let (state, handover) =
        handover.map_or((None, None), |mut handover| (handover.state.take(), Some(handover)));
    let adopted_state = state.is_some();
    let pool = ConnectionPool::default();
    let (started_at, dispatcher, directory) = match state {
        Some(mut state) => {
            let started_at = state.clock_start();
            journal.restore_recent_outcomes(state.ended_messages);
            state.dispatcher.resume_in_new_process();
            pool.restore_distrusted(state.distrusted);
            (started_at, state.dispatcher, state.directory)
        }
        None => {
            let dispatcher = Dispatcher::new(config.settings.clone(), config.seed);
            (Instant::now(), dispatcher.map_err(|error| error.to_string())?, Directory::default())
        }
    };
    let (listener, handover) =
        handover.map_or((None, None), |mut handover| (handover.listener.take(), Some(handover)));
    let listener = client_listener::open(config.listen_address, listener).await?;
    log::info(format_args!(
        "{} listens at {}",
        config.name,
        listener.local_addr().map_err(|error| error.to_string())?
    ));
    log::info(format_args!("memory: {}", config.limits.memory_plan()));
    let (sender, mut inputs) = unbounded_channel();
    let (handover_socket, takeover_requests) = handover::HandoverListener::new(&config.state_dir);
    let (transfer_sender, transfer_receiver) = unbounded_channel();
    let node = Rc::new(Node {
        started_at,
        journal_clock,
        input_sender: sender,
        dispatcher: RefCell::new(dispatcher),
        journal: RefCell::new(journal),
        directory: RefCell::new(directory),
        pool,
        unproven: Default::default(),
        opened_connections: Cell::new(0),
        traffic: traffic::TrafficCounters::default(),
        metrics,
        fleet: FleetConstraints::new(&config),
        overrides: control::OperatorOverrides::open(&config.state_dir),
        discovery_address: watch::Sender::new(config.discovery_address),
        journal_failing_since: Cell::new(None),
        unacknowledged: RefCell::default(),
        clients: ClientConnections::new(config.limits.max_clients(), config.limits.memory_plan().requests),
        process_memory: Cell::default(),
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
        handover_socket,
        transfer_sender,
        abort_signal: Notify::new(),
        cancellations: RefCell::default(),
        adopted_state,
        has_predecessor: Cell::new(handover.is_some()),
        config,
    });
    if !adopted_state {
        let result = discovery::apply_list(&node, known.as_bytes());
        result.unwrap_or_else(|error| log::info_limited(format_args!("known: ignored: {error}")));
        discovery::process_started(&node, process_started_at);
    }
    drop(known);
    node.fleet.start_member(&node.config);
    node.restore_from_journal();
    // The decision core gets the list and the restored messages before the first client is served.
    std::iter::from_fn(|| inputs.try_recv().ok()).for_each(|input| apply_input(&node, node.now(), input));
    if let Some(handover) = handover {
        spawn_local(takeover::complete_takeover(node.clone(), handover));
    }
    node.handover_socket.open();
    spawn_local(discovery::watch_list(node.clone()));
    spawn_local(notices::deliver_notices(node.clone()));
    // Clients are served once all journaled messages are restored; this does not wait for discovery.
    spawn_local(clients::serve(node.clone()));
    spawn_local(clients::reclaim_memory(node.clone()));
    spawn_local(fleet::process_updates(node.clone()));
    spawn_local(control::process_commands(node.clone(), control_requests));
    node.metrics.set_gauges(control::gauges(&node));
    node.metrics.set_ready(true);
    spawn_local(reload(node.clone(), signals.hangup));
    let Signals { terminate, interrupt, .. } = signals;
    let exit_action = run_event_loop(
        node.clone(),
        EventSources { inputs, terminate, interrupt, takeover_requests, transfers: transfer_receiver },
    )
    .await;
    // Closes idle client connections; a request in progress still gets its response.
    node.close_clients.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(exit_action)
}
