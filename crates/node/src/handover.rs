//! The old process's side of an upgrade: carries out the actions of the sender's state machine of
//! `fawnspoke_handover`, which makes all decisions.

use crate::connection::Connection;
use crate::connection_pool::DistrustedEndpoint;
use crate::directory::Directory;
use crate::error::BoxError;
use crate::inputs::Input;
use crate::recovery::open_journal;
use crate::serving::Phase;
use crate::stream::SharedStream;
use crate::transfer::{Completion, Transfer};
use crate::{Node, log, requests, unproven};
use fawnspoke_admission::gate::{AdmissionGate, AdmissionSlot};
use fawnspoke_admission::table::AdmissionLimits;
use fawnspoke_control::metrics::Gauges;
use fawnspoke_control::server::CommandReply;
use fawnspoke_handover::frames::{
    self, Hello, PROTOCOL_VERSION, ReceiverFrame, STATE_CHUNK_BYTES, SenderFrame,
};
use fawnspoke_handover::link::{Link, Listener};
use fawnspoke_handover::lock::{self};
use fawnspoke_handover::sender::{Action, Event, SenderState};
use fawnspoke_journal::OpenError;
use fawnspoke_journal::recent_outcomes::RecentOutcomes;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use waydoor::Dispatcher;

/// Polling interval during a handover.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limits of connections on which no handover request has arrived yet. A new process sends its request as soon as it is
/// connected.
const PENDING_LIMITS: AdmissionLimits =
    AdmissionLimits { max_callers: 4, min_time: Duration::from_millis(10) };
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay after the socket could not be bound.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for a new process to send its request.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to send or receive one packet of the state.
pub const PACKET_TIMEOUT: Duration = Duration::from_secs(1);

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

    /// Starts to listen, in place of an earlier listener. If that fails it is tried again; until then an upgrade is a
    /// restart.
    pub fn open(&self) {
        self.close();
        let listener = Listener::bind(&self.state_dir);
        if let Err(error) = &listener {
            log::info_limited(format_args!(
                "handover: cannot listen: {error}; an upgrade is a restart until that succeeds"
            ));
        }
        let (state_dir, requests) = (self.state_dir.clone(), self.requests.clone());
        let task = spawn_local(async move {
            let listener = match listener {
                Ok(listener) => listener,
                Err(_) => retry_bind(&state_dir).await,
            };
            accept_requests(listener, requests).await;
        });
        self.listen_task.replace(Some(task.abort_handle()));
    }

    fn close(&self) {
        if let Some(task) = self.listen_task.take() {
            task.abort();
        }
    }
}

/// Binds the handover socket once the folder allows it.
async fn retry_bind(state_dir: &Path) -> Listener {
    loop {
        sleep(BIND_RETRY_DELAY).await;
        if let Ok(listener) = Listener::bind(state_dir) {
            log::info_limited(format_args!("handover: listening"));
            return listener;
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
    // A process that starts from the journal assumes that all calls have ended.
    if !first_request.hello.in_memory_state && node.has_predecessor.get() {
        reject_request(&first_request.link, "calls of an earlier process are in flight").await;
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
            && !node.has_predecessor.get()
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
