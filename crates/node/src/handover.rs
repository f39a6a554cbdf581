//! Connects the handover of an upgrade to the dispatcher: carries out the actions of the state machines
//! of `fawnspoke_handover`, the sender's in the old process and the receiver's in the new one. All
//! decisions are made by these state machines.

use crate::actions::complete_call;
use crate::call_results::MessageEnd;
use crate::calls::CallEnd;
use crate::config::Config;
use crate::connection::{self, Connection};
use crate::connection_pool::DistrustedEndpoint;
use crate::directory::Directory;
use crate::event_loop::Input;
use crate::serving::Phase;
use crate::startup::open_journal;
use crate::stream::SharedStream;
use crate::transfer::{Completion, Transfer};
use crate::{Node, clients, control, log, requests, unproven};
use fawnspoke_admission::gate::{AdmissionGate, AdmissionSlot};
use fawnspoke_admission::table::AdmissionLimits;
use fawnspoke_control::metrics::Gauges;
use fawnspoke_control::overrides::{OverrideKey, OverrideKind};
use fawnspoke_control::server::CommandReply;
use fawnspoke_handover::frames::{
    self, Hello, MAX_STATE_BYTES, PROTOCOL_VERSION, ReceiverFrame, STATE_CHUNK_BYTES, SenderFrame,
};
use fawnspoke_handover::link::{Link, Listener};
use fawnspoke_handover::lock::{self, Lock};
use fawnspoke_handover::receiver::{self, ReceiverState};
use fawnspoke_handover::sender::{Action, Event, SenderState};
use fawnspoke_journal::OpenError;
use fawnspoke_journal::recent_outcomes::RecentOutcomes;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use waydoor::{Dispatcher, EndpointId, Event as DispatcherEvent, InFlightAttempt, Outcome};

/// Polling interval during a handover.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limits of connections on which no handover request has arrived yet. A new process sends its request as soon as it is
/// connected.
const PENDING_LIMITS: AdmissionLimits =
    AdmissionLimits { max_callers: 4, min_time: Duration::from_millis(10) };
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for a new process to send its request.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to send or receive one packet of the state.
const PACKET_TIMEOUT: Duration = Duration::from_secs(1);

/// All state of the dispatcher that is not in the journal.
#[derive(Deserialize)]
pub struct HandoverState {
    /// When the dispatcher's clock began, on the system's monotonic clock.
    #[serde(rename = "started")]
    clock_start_seconds: f64,
    /// The state of the decision core.
    #[serde(rename = "decisions")]
    pub dispatcher: Dispatcher,
    /// The listed endpoints.
    pub directory: Directory,
    /// Messages that have ended.
    #[serde(rename = "ended")]
    pub ended_messages: RecentOutcomes,
    /// Endpoints whose connections carry one request each; an earlier version sends none.
    #[serde(default)]
    pub distrusted: Vec<DistrustedEndpoint>,
}

/// A [`HandoverState`] to write, by reference.
#[derive(Serialize)]
struct HandoverStateRef<'a> {
    #[serde(rename = "started")]
    clock_start_seconds: f64,
    #[serde(rename = "decisions")]
    dispatcher: &'a Dispatcher,
    directory: &'a Directory,
    #[serde(rename = "ended")]
    ended_messages: &'a RecentOutcomes,
    distrusted: Vec<DistrustedEndpoint>,
}

/// The system's monotonic clock, which both processes read, in seconds.
fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

impl HandoverState {
    /// When the dispatcher's clock began.
    pub fn clock_start(&self) -> Instant {
        let now = Instant::now();
        let age =
            Duration::try_from_secs_f64(monotonic_seconds() - self.clock_start_seconds).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
    }
}

// ---- the old process ----------------------------------------------------------------------------------------------

/// Operator commands that were forwarded to the new process, by number, and where their results go.
type ForwardedCommands = BTreeMap<u32, CommandReply>;

/// A new process's request to take over.
pub struct HandoverRequest {
    link: Link,
    hello: Hello,
}

/// Accepts handover requests for as long as this process owns the state directory.
pub struct HandoverListener {
    state_dir: PathBuf,
    requests: UnboundedSender<HandoverRequest>,
    listen_task: RefCell<Option<AbortHandle>>,
}

impl HandoverListener {
    /// A listener for this state directory, and the receiver of its requests.
    pub fn new(state_dir: &Path) -> (HandoverListener, UnboundedReceiver<HandoverRequest>) {
        let (requests, receiver) = unbounded_channel();
        (
            HandoverListener {
                state_dir: state_dir.to_path_buf(),
                requests,
                listen_task: RefCell::default(),
            },
            receiver,
        )
    }

    /// Starts to listen, in place of an earlier listener. If that fails, an upgrade is a restart.
    pub fn open(&self) {
        self.close();
        let listener = match Listener::bind(&self.state_dir) {
            Ok(listener) => listener,
            Err(error) => {
                return log::info_limited(format_args!(
                    "handover: cannot listen: {error}; an upgrade is a restart"
                ));
            }
        };
        let task = spawn_local(accept_requests(listener, self.requests.clone()));
        self.listen_task.replace(Some(task.abort_handle()));
    }

    fn close(&self) {
        if let Some(task) = self.listen_task.take() {
            task.abort();
        }
    }
}

/// Accepts new processes, and passes their requests on.
async fn accept_requests(listener: Listener, requests: UnboundedSender<HandoverRequest>) {
    let pending = AdmissionGate::new(PENDING_LIMITS);
    loop {
        let link = match listener.accept().await {
            Ok(link) => link,
            // The connection is gone, or the machine is short of a resource for a moment.
            Err(error) => {
                log::info_limited(format_args!("handover: accept: {error}"));
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // The processes that connect have no addresses.
        let slot = pending.admit(Ipv4Addr::LOCALHOST.into()).await;
        let requests = requests.clone();
        spawn_local(async move {
            match receive_hello(&link, &slot).await {
                Some(hello) => drop(requests.send(HandoverRequest { link, hello })),
                None => drop(link),
            }
            // The slot is free once the connection is closed, or waits for the handover.
            drop(slot);
        });
    }
}

/// The hello of a new process; none if it doesn't come in time, or its connection is needed for another process.
async fn receive_hello(link: &Link, slot: &AdmissionSlot) -> Option<Hello> {
    let received = tokio::select! {
        biased;
        received = link.receive() => received,
        () = sleep(HELLO_TIMEOUT) => return None,
        () = slot.evicted() => return None,
    };
    let (packet, _) = received.ok()??;
    Hello::decode(&packet).ok()
}

/// How a handover ended for the old process.
pub enum HandoverResult {
    /// It continues as owner; `stopping`: it received a termination signal meanwhile.
    Resumed { stopping: bool },
    /// It exits.
    Ended,
    /// It restarts from the journal.
    Restart,
}

async fn reject_request(link: &Link, reason: &str) {
    log::info_limited(format_args!("handover: rejected a request: {reason}"));
    if let Ok(packet) = frames::encode(&SenderFrame::Rejected(reason.into())) {
        let _ = timeout(PACKET_TIMEOUT, link.send(&packet, None)).await;
    }
}

/// Hands the dispatcher over to a process that requests it, and continues until the handover has
/// ended.
pub async fn hand_over(
    node: &Rc<Node>, stopping: bool, first_request: HandoverRequest,
    requests: &mut UnboundedReceiver<HandoverRequest>, (terminate, interrupt): (&mut Signal, &mut Signal),
    transfers: &mut UnboundedReceiver<Transfer>, inputs: &mut UnboundedReceiver<Input>,
) -> HandoverResult {
    if first_request.hello.version != PROTOCOL_VERSION {
        reject_request(
            &first_request.link,
            &format!("version {PROTOCOL_VERSION} of the frames here, {} there", first_request.hello.version),
        )
        .await;
        return HandoverResult::Resumed { stopping };
    }
    let started_at = Instant::now();
    let (mut state_machine, mut link) = (SenderState::Owner { stopping }, Some(first_request.link));
    let (mut event, mut finished) = (Event::HandoverRequested, false);
    let (mut commands, mut command_count) = (ForwardedCommands::new(), 0);
    let mut later_request: Option<HandoverRequest> = None;
    loop {
        // An event that an action causes is handled before any other.
        let mut next = None;
        for action in state_machine.step(node.now(), event) {
            match action {
                Action::Reject(reason) => {
                    // The first request, if this process is stopping, or one that came later.
                    if let Some(rejected_link) =
                        later_request.take().map(|request| request.link).or_else(|| link.take())
                    {
                        reject_request(&rejected_link, reason).await;
                    }
                }
                Action::HandOver => {
                    log::info_limited(format_args!("handover: requested; handing over"));
                    if !first_request.hello.in_memory_state {
                        // A process that starts from the journal assumes that these calls have ended.
                        node.abort_calls().await;
                    }
                    // Their connections may be needed no more when it is known what became of them.
                    unproven::end_all(node);
                    node.serving_state.set_phase(Phase::HandingOver);
                    for number in node.clients.close_unacknowledged() {
                        requests::withdraw_unacknowledged(node, number);
                    }
                    // The decision core's state is sent without the fleet's restrictions.
                    node.fleet.stop_member(node);
                    node.owner_lock.replace(None);
                    let sent = match &link {
                        Some(link) => send_state(node, link, first_request.hello.in_memory_state).await,
                        None => Ok(()),
                    };
                    if let Err(error) = sent {
                        log::info_limited(format_args!("handover: {error}"));
                        next = Some(Event::LinkClosed);
                    }
                }
                Action::TryLock => {
                    let lock = lock::try_lock(&node.config.state_dir).unwrap_or_else(|error| {
                        log::info_limited(format_args!("handover: lock: {error}"));
                        None
                    });
                    next = Some(Event::LockResult(lock.is_some()));
                    if lock.is_some() {
                        node.owner_lock.replace(lock);
                    }
                }
                Action::Resume => {
                    link = None;
                    // The process that died may have begun to write to it.
                    if let Err(error) = reopen_journal(node) {
                        log::info_limited(format_args!("handover: {error}; restarting"));
                        return HandoverResult::Restart;
                    }
                    node.handover_socket.open();
                    node.serving_state.set_phase(Phase::Serving);
                    node.fleet.resume(node);
                    let took = started_at.elapsed().as_secs_f64();
                    log::info_limited(format_args!("handover: not taken; serving again after {took:.3} s"));
                }
                Action::SendConnections => {
                    node.handover_socket.close();
                    node.metrics.set_ready(false);
                    node.metrics.set_gauges(Gauges::default());
                    node.serving_state.set_phase(Phase::HandedOver);
                    for (endpoint, connection) in node.pool.take_reusable() {
                        node.transfer(Transfer::IdleConnection { endpoint, connection });
                    }
                    let took = started_at.elapsed().as_secs_f64();
                    let in_flight = node.calls_in_flight.get();
                    log::info_limited(format_args!(
                        "handover: taken after {took:.3} s; {in_flight} calls out"
                    ));
                }
                Action::AbortCalls => {
                    node.abort_calls().await;
                    node.calls_lock.replace(None);
                }
                Action::Restart => {
                    log::info_limited(format_args!(
                        "handover: the process that took over has died; restarting"
                    ));
                    return HandoverResult::Restart;
                }
                Action::Exit => {
                    log::info_limited(format_args!("handover: done; ending"));
                    return HandoverResult::Ended;
                }
            }
        }
        if let SenderState::Owner { stopping } = state_machine {
            return HandoverResult::Resumed { stopping };
        }
        if let Some(next) = next {
            event = next;
            continue;
        }
        let handed_over = node.serving_state.phase() == Phase::HandedOver;
        if handed_over
            && !finished
            && node.calls_in_flight.get() == 0
            && node.clients.count() == 0
            && transfers.is_empty()
            && inputs.is_empty()
        {
            finished = true;
            node.calls_lock.replace(None);
            event = Event::Drained;
            continue;
        }
        event = tokio::select! {
            frame = next_frame(link.as_ref()) => match frame {
                Some(ReceiverFrame::OwnershipAcquired) => Event::OwnershipAcquired,
                Some(ReceiverFrame::StateUnusable(reason)) => {
                    log::info_limited(format_args!("handover: the new process cannot use the state: {reason}"));
                    link = None;
                    Event::StateUnusable
                }
                Some(ReceiverFrame::OverrideResult { number, success, message }) => {
                    if let Some(answer) = commands.remove(&number) {
                        answer.send(if success { Ok(message) } else { Err(message) });
                    }
                    continue;
                }
                None => {
                    link = None;
                    Event::LinkClosed
                }
            },
            Some(request) = requests.recv() => {
                later_request = Some(request);
                Event::HandoverRequested
            }
            Some(transfer) = transfers.recv(), if handed_over => {
                let Some(link) = &link else { continue };
                if let Err(error) = send_transfer(link, transfer, &mut commands, &mut command_count).await {
                    log::info_limited(format_args!("handover: {error}"));
                }
                continue;
            }
            // Of a connection that was not transferred.
            Some(input) = inputs.recv(), if handed_over => {
                Completion::of_late_input(input)
                    .into_iter()
                    .for_each(|completion| node.transfer(Transfer::Completion(completion)));
                continue;
            }
            _ = terminate.recv() => Event::Terminate,
            _ = interrupt.recv() => Event::Terminate,
            () = sleep(POLL_INTERVAL) => Event::Tick,
        };
    }
}

/// The next frame; `None` once the link has ended. Without a link it never completes.
async fn next_frame(link: Option<&Link>) -> Option<ReceiverFrame> {
    let Some(link) = link else { return std::future::pending().await };
    let (packet, _) = link.receive().await.ok()??;
    frames::decode(&packet).ok()
}

type BoxError = Box<dyn std::error::Error>;

/// Opens the journal again and keeps the remembered outcomes of messages that ended in this process.
fn reopen_journal(node: &Node) -> Result<(), OpenError> {
    let (mut journal, _) = open_journal(&node.config)?;
    journal.restore_recent_outcomes(node.journal.borrow().recent_outcomes().clone());
    node.journal.replace(journal);
    Ok(())
}

/// Sends all state that is not in the journal.
async fn send_state(node: &Node, link: &Link, include_state: bool) -> Result<(), BoxError> {
    let mut state = Vec::new();
    if include_state {
        let (dispatcher, directory, journal) =
            (node.dispatcher.borrow(), node.directory.borrow(), node.journal.borrow());
        let clock_start_seconds = monotonic_seconds() - node.now();
        let (dispatcher, directory, ended_messages) = (&*dispatcher, &*directory, journal.recent_outcomes());
        ciborium::into_writer(
            &HandoverStateRef {
                clock_start_seconds,
                dispatcher,
                directory,
                ended_messages,
                distrusted: node.pool.distrusted(),
            },
            &mut state,
        )?;
    }
    for chunk in state.chunks(STATE_CHUNK_BYTES) {
        let packet = frames::encode(&SenderFrame::State(chunk.to_vec()))?;
        timeout(PACKET_TIMEOUT, link.send(&packet, None)).await??;
    }
    let packet = frames::encode(&SenderFrame::State(Vec::new()))?;
    timeout(PACKET_TIMEOUT, link.send(&packet, Some(node.listener.as_fd()))).await??;
    Ok(())
}

/// Sends one connection, result or command to the new process. A connection that was sent is closed
/// here.
async fn send_transfer(
    link: &Link, transfer: Transfer, commands: &mut ForwardedCommands, command_count: &mut u32,
) -> Result<(), BoxError> {
    let mut sent_connection = None;
    let (frame, stream) = match transfer {
        Transfer::Client { stream, partial_request, waited_ms } => {
            (SenderFrame::Client { partial_request, waited_ms }, Some(stream))
        }
        // A response that belongs to no request may have arrived meanwhile.
        Transfer::IdleConnection { connection, .. } if !connection.is_reusable() => return Ok(()),
        Transfer::IdleConnection { endpoint, connection } => {
            let idle_ms = connection.idle_since.elapsed().as_millis() as u32;
            let frame =
                SenderFrame::IdleConnection { endpoint: endpoint.0, address: connection.address, idle_ms };
            let stream = connection.stream.clone();
            sent_connection = Some(connection);
            (frame, Some(stream))
        }
        Transfer::Completion(completion) => (SenderFrame::CallCompleted(frames::encode(&completion)?), None),
        Transfer::OverrideCommand(command) => {
            *command_count += 1;
            commands.insert(*command_count, command.reply);
            (
                SenderFrame::OverrideCommand {
                    number: *command_count,
                    activate: command.activate,
                    endpoint_id: command.key.endpoint_id,
                },
                None,
            )
        }
    };
    let packet = frames::encode(&frame)?;
    timeout(PACKET_TIMEOUT, link.send(&packet, stream.as_ref().map(SharedStream::descriptor))).await??;
    sent_connection.into_iter().for_each(Connection::release);
    Ok(())
}

// ---- the new process ----------------------------------------------------------------------------------------------

/// What the previous process has sent before this one became the owner.
pub struct ReceivedHandover {
    link: Link,
    /// Its state; `None` if it cannot be used here.
    pub state: Option<HandoverState>,
    /// The listening socket for clients.
    pub listener: Option<OwnedFd>,
}

/// The locks of a process that owns the state directory; none of them where the file system does
/// not support locks.
#[derive(Default)]
pub struct Locks {
    pub owner: Option<Lock>,
    pub calls: Option<Lock>,
}

/// Waits until this process owns the state directory: at once if no other does, else by a handover
/// or when the other ends.
pub async fn acquire_ownership(config: &Config) -> (Locks, Option<ReceivedHandover>) {
    use receiver::{Action, Event};
    let (mut state_machine, mut link, mut locks) = (ReceiverState::default(), None, Locks::default());
    let (mut journal_only, mut state, mut listener) = (false, None, None);
    let mut event = Event::Started;
    let (mut rejection_logged, mut lock_error_logged) = (false, false);
    loop {
        let mut next = None;
        for action in state_machine.step(event) {
            match action {
                Action::Connect => {
                    link = None;
                    next = Some(match Link::connect(&config.state_dir) {
                        Ok(Some(connected)) => {
                            link = Some(connected);
                            Event::Connected
                        }
                        Ok(None) => Event::NoListener,
                        // Several processes are asking at once.
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Event::Rejected,
                        Err(error) => {
                            log::info_limited(format_args!("handover: cannot connect: {error}"));
                            Event::NoListener
                        }
                    });
                }
                Action::RequestState { in_memory_state } => {
                    journal_only = !in_memory_state;
                    next = Some(match &link {
                        Some(link) => {
                            request_state(
                                link,
                                config,
                                in_memory_state,
                                &mut state,
                                &mut listener,
                                &mut rejection_logged,
                            )
                            .await
                        }
                        None => Event::LinkClosed,
                    });
                }
                Action::ReportUnusable => {
                    let frame = ReceiverFrame::StateUnusable("another program's, or other settings".into());
                    if let (Some(link), Ok(packet)) = (link.take(), frames::encode(&frame)) {
                        let _ = timeout(PACKET_TIMEOUT, link.send(&packet, None)).await;
                    }
                    (state, listener) = (None, None);
                }
                Action::TryLock => match lock::try_lock(&config.state_dir) {
                    Ok(lock) => {
                        next = Some(Event::LockResult(lock.is_some()));
                        locks.owner = lock;
                    }
                    Err(error) if lock::is_unsupported(&error) => {
                        log::info_limited(format_args!("handover: lock: {error}; continuing without a lock"));
                        next = Some(Event::LockResult(true));
                    }
                    // Another process may hold it.
                    Err(error) => {
                        if !std::mem::replace(&mut lock_error_logged, true) {
                            log::info_limited(format_args!("handover: lock: {error}; trying again"));
                        }
                        next = Some(Event::LockResult(false));
                    }
                },
                Action::CheckLink => {
                    let linked = link.as_ref().is_some_and(|link| !link.is_closed());
                    next = Some(Event::LinkChecked(linked));
                }
                Action::Unlock => locks = Locks::default(),
                Action::CheckCallsDrained => {
                    let calls_lock = lock::lock_calls_if_idle(&config.state_dir);
                    let unsupported = calls_lock.as_ref().is_err_and(lock::is_unsupported);
                    locks.calls = calls_lock.unwrap_or_default();
                    next = Some(Event::CallsDrained(locks.calls.is_some() || unsupported));
                }
                Action::DiscardState => (link, state, listener) = (None, None, None),
                Action::ScheduleRetry => {
                    next = Some(tokio::select! {
                        true = link_ended(link.as_ref()) => Event::LinkClosed,
                        () = sleep(Duration::from_secs_f64(receiver::RETRY_SECONDS)) => Event::RetryDue,
                    });
                }
                Action::TakeOver => {
                    let received = link.take().map(|link| ReceivedHandover {
                        link,
                        state: state.take(),
                        listener: listener.take(),
                    });
                    let source = if journal_only { "the journal only" } else { "its in-memory state" };
                    // A process that checks whether others have calls in flight holds this lock only
                    // for a moment.
                    locks.calls = loop {
                        match lock::share_calls_lock(&config.state_dir) {
                            Ok(None) => sleep(Duration::from_millis(1)).await,
                            Err(error) if !lock::is_unsupported(&error) => sleep(POLL_INTERVAL).await,
                            shared => break shared.unwrap_or_default(),
                        }
                    };
                    log::info(format_args!("handover: took over from the previous process, with {source}"));
                    return (locks, received);
                }
                Action::StartFromJournal => return (locks, None),
            }
        }
        match next {
            Some(next) => event = next,
            None => {
                // Every state either causes an event or waits; if one ever did neither, it is polled
                // again.
                sleep(Duration::from_secs_f64(receiver::RETRY_SECONDS)).await;
                event = Event::RetryDue;
            }
        }
    }
}

/// Completes once the link has ended.
async fn link_ended(link: Option<&Link>) -> bool {
    let Some(link) = link else { return std::future::pending().await };
    while let Ok(Some(_)) = link.receive().await {}
    true
}

/// Requests all state from the old process.
async fn request_state(
    link: &Link, config: &Config, in_memory_state: bool, state: &mut Option<HandoverState>,
    listener: &mut Option<OwnedFd>, rejection_logged: &mut bool,
) -> receiver::Event {
    use receiver::Event;
    let Ok(hello) = (Hello { version: PROTOCOL_VERSION, in_memory_state }).encode() else {
        return Event::LinkClosed;
    };
    if link.send(&hello, None).await.is_err() {
        return Event::LinkClosed;
    }
    let mut bytes = Vec::new();
    loop {
        let Ok(Ok(Some((packet, descriptor)))) = timeout(PACKET_TIMEOUT, link.receive()).await else {
            return Event::LinkClosed;
        };
        match frames::decode(&packet) {
            Ok(SenderFrame::State(chunk)) if chunk.is_empty() => {
                *listener = descriptor;
                break;
            }
            Ok(SenderFrame::State(chunk)) if bytes.len() + chunk.len() <= MAX_STATE_BYTES => {
                bytes.extend(chunk)
            }
            Ok(SenderFrame::Rejected(reason)) => {
                if !std::mem::replace(rejection_logged, true) {
                    log::info_limited(format_args!("handover: not yet: {reason}"));
                }
                return Event::Rejected;
            }
            _ => return Event::LinkClosed,
        }
    }
    if !in_memory_state {
        return Event::StateReceived(true);
    }
    match ciborium::from_reader::<HandoverState, _>(&bytes[..]) {
        Ok(received) if *received.dispatcher.settings() == config.settings => {
            *state = Some(received);
            Event::StateReceived(true)
        }
        Ok(_) => {
            log::info_limited(format_args!(
                "handover: the previous process has other settings; using the journal only"
            ));
            Event::StateReceived(false)
        }
        Err(error) => {
            log::info_limited(format_args!("handover: {error}; using the journal only"));
            Event::StateReceived(false)
        }
    }
}

/// Confirms ownership to the old process and receives the rest from it: connections, and the results
/// of calls that are still in flight there.
pub async fn complete_takeover(node: Rc<Node>, received: ReceivedHandover) {
    let link = received.link;
    let mut in_flight: HashMap<(u64, u32), InFlightAttempt> = HashMap::new();
    if node.adopted_state {
        let attempts = node.dispatcher.borrow().in_flight();
        in_flight.extend(attempts.into_iter().map(|attempt| ((attempt.id.0, attempt.attempt), attempt)));
    }
    let ownership = frames::encode(&ReceiverFrame::OwnershipAcquired);
    let sent = match &ownership {
        Ok(packet) => timeout(PACKET_TIMEOUT, link.send(packet, None)).await,
        Err(_) => Ok(Err(std::io::ErrorKind::InvalidData.into())),
    };
    if matches!(sent, Ok(Ok(()))) {
        while let Ok(Some((packet, descriptor))) = link.receive().await {
            match frames::decode(&packet) {
                Ok(frame) => receive_transfer(&node, &link, frame, descriptor, &mut in_flight).await,
                Err(error) => log::info_limited(format_args!("handover: {error}")),
            }
        }
    }
    // The process has exited, and its sockets are closed: no more results can arrive, and the calls that
    // were in flight may have run.
    if !in_flight.is_empty() {
        log::info_limited(format_args!(
            "handover: the previous process ended with {} messages in flight",
            in_flight.len()
        ));
    }
    for attempt in in_flight.into_values() {
        let end = MessageEnd::open(attempt.id.0, attempt.attempt, Outcome::ConnectionReset);
        let destination = node.directory.borrow().get(attempt.endpoint).map_or(0, |info| info.destination);
        complete_call(
            &node,
            attempt.endpoint,
            destination,
            attempt.sent_at,
            CallEnd::without_report(vec![end], false),
        );
    }
}

async fn receive_transfer(
    node: &Rc<Node>, link: &Link, frame: SenderFrame, descriptor: Option<OwnedFd>,
    in_flight: &mut HashMap<(u64, u32), InFlightAttempt>,
) {
    let stream =
        descriptor.and_then(|descriptor| TcpStream::from_std(std::net::TcpStream::from(descriptor)).ok());
    match (frame, stream) {
        (SenderFrame::Client { partial_request, waited_ms }, Some(stream)) => {
            if let Err(error) = clients::adopt(node, stream, partial_request, waited_ms) {
                log::info_limited(format_args!("handover: client connection: {error}"));
            }
        }
        (SenderFrame::IdleConnection { endpoint, address, idle_ms }, Some(stream)) => {
            let now = tokio::time::Instant::now();
            let idle_since = now.checked_sub(Duration::from_millis(idle_ms.into())).unwrap_or(now);
            let endpoint = EndpointId(endpoint);
            // The connection is usable as long as the list has the endpoint at this address.
            if node.directory.borrow().ready_address(endpoint) == Some(address)
                && let endpoint_connection = node.endpoint_connection(endpoint, address)
                && let Ok(connection) =
                    connection::adopt(stream, address, idle_since, endpoint_connection).await
            {
                node.pool.add_idle(endpoint, connection);
            }
        }
        (SenderFrame::CallCompleted(bytes), _) => match frames::decode(&bytes) {
            Ok(Completion::Call { endpoint, destination, sent_at, mut end }) => {
                end.message_ends.retain(|end| in_flight.remove(&(end.number, end.attempt)).is_some());
                if end.message_ends.is_empty() {
                    let endpoint = EndpointId(endpoint);
                    let wait = end.retry_after.map(|delay| DispatcherEvent::RetryAfter { endpoint, delay });
                    wait.into_iter().for_each(|event| node.send_event(event));
                } else {
                    complete_call(node, EndpointId(endpoint), destination, sent_at, end);
                }
            }
            Ok(Completion::Probe { endpoint, outcome, latency, rate_limit_report }) => {
                node.send_event(DispatcherEvent::ProbeEnded {
                    endpoint: EndpointId(endpoint),
                    outcome,
                    latency,
                    rate_limit_report,
                });
            }
            Ok(Completion::RetryAfter { endpoint, delay }) => {
                node.send_event(DispatcherEvent::RetryAfter { endpoint: EndpointId(endpoint), delay });
            }
            Ok(Completion::SurplusResponse(surplus)) => {
                node.send_input(Input::SurplusResponse(surplus.into()))
            }
            Err(error) => log::info_limited(format_args!("handover: {error}")),
        },
        (SenderFrame::OverrideCommand { number, activate, endpoint_id }, _) => {
            let result = control::apply_command(
                node,
                &OverrideKey { kind: OverrideKind::Suspend, endpoint_id },
                activate,
            );
            let (success, message) =
                result.map_or_else(|message| (false, message), |message| (true, message));
            if let Ok(packet) = frames::encode(&ReceiverFrame::OverrideResult { number, success, message }) {
                let _ = timeout(PACKET_TIMEOUT, link.send(&packet, None)).await;
            }
        }
        (other, _) => log::info_limited(format_args!("handover: unexpected frame: {other:?}")),
    }
}
