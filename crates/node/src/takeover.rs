//! The new process's side of an upgrade: waits until it owns the state directory, takes over the state of the previous process,
//! and receives what follows from it: connections, and the results of calls that are still in flight there.
//!
//! All decisions are made by the receiver's state machine of `fawnspoke_handover`.

use crate::actions::complete_call;
use crate::call_results::MessageEnd;
use crate::calls::CallEnd;
use crate::config::Config;
use crate::handover::{HandoverState, PACKET_TIMEOUT, POLL_INTERVAL};
use crate::inputs::Input;
use crate::serving::Phase;
use crate::stream::SharedStream;
use crate::transfer::{Completion, Transfer};
use crate::{Node, clients, connection, control, log};
use fawnspoke_control::overrides::{OverrideKey, OverrideKind};
use fawnspoke_handover::frames::{
    self, Hello, MAX_STATE_BYTES, PROTOCOL_VERSION, ReceiverFrame, SenderFrame,
};
use fawnspoke_handover::link::Link;
use fawnspoke_handover::lock::{self, Lock};
use fawnspoke_handover::receiver::{self, ReceiverState};
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use waydoor::{EndpointId, Event as DispatcherEvent, InFlightAttempt, Outcome};

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
        let completion = Completion::Call {
            endpoint: attempt.endpoint.0,
            destination,
            sent_at: attempt.sent_at,
            end: CallEnd::without_report(vec![end], false),
        };
        apply_or_pass_on(&node, completion).await;
    }
    node.has_predecessor.set(false);
}

async fn receive_transfer(
    node: &Rc<Node>, link: &Link, frame: SenderFrame, descriptor: Option<OwnedFd>,
    in_flight: &mut HashMap<(u64, u32), InFlightAttempt>,
) {
    let stream =
        descriptor.and_then(|descriptor| TcpStream::from_std(std::net::TcpStream::from(descriptor)).ok());
    match (frame, stream) {
        // The numbers of its endpoints are another process's: a new process that starts from the journal numbers them anew.
        (SenderFrame::IdleConnection { .. } | SenderFrame::CallCompleted(_), _) if !node.adopted_state => {}
        (SenderFrame::Client { partial_request, waited_ms }, Some(stream)) => {
            if let Err(error) = receive_client(node, stream, partial_request, waited_ms).await {
                log::info_limited(format_args!("handover: client connection: {error}"));
            }
        }
        (SenderFrame::IdleConnection { endpoint, address, idle_ms }, Some(stream)) => {
            let now = tokio::time::Instant::now();
            let idle_since = now.checked_sub(Duration::from_millis(idle_ms.into())).unwrap_or(now);
            let endpoint = EndpointId(endpoint);
            // The connection is usable as long as this process serves and the list has the endpoint at this address.
            if node.serving_state.phase() == Phase::Serving
                && node.directory.borrow().ready_address(endpoint) == Some(address)
                && let endpoint_connection = node.endpoint_connection(endpoint, address)
                && let Ok(connection) =
                    connection::adopt(stream, address, idle_since, endpoint_connection).await
            {
                node.pool.add_idle(endpoint, connection);
            }
        }
        (SenderFrame::CallCompleted(bytes), _) => match frames::decode(&bytes) {
            Ok(completion) => {
                if let Some(completion) = without_known_ends(completion, in_flight) {
                    apply_or_pass_on(node, completion).await;
                }
            }
            Err(error) => log::info_limited(format_args!("handover: {error}")),
        },
        (SenderFrame::OverrideCommand { number, activate, endpoint_id }, _) => {
            let result = match node.serving_state.wait_until_settled().await {
                Phase::HandedOver => Err("another process took over meanwhile; try again".into()),
                _ => control::apply_command(
                    node,
                    &OverrideKey { kind: OverrideKind::Suspend, endpoint_id },
                    activate,
                ),
            };
            let (success, message) =
                result.map_or_else(|message| (false, message), |message| (true, message));
            if let Ok(packet) = frames::encode(&ReceiverFrame::OverrideResult { number, success, message }) {
                let _ = timeout(PACKET_TIMEOUT, link.send(&packet, None)).await;
            }
        }
        (other, _) => log::info_limited(format_args!("handover: unexpected frame: {other:?}")),
    }
}

/// Serves a client of the previous process, or passes the connection on if this process has handed over itself.
async fn receive_client(
    node: &Rc<Node>, stream: TcpStream, partial_request: Vec<u8>, waited_ms: Option<u32>,
) -> io::Result<()> {
    if node.serving_state.wait_until_settled().await != Phase::HandedOver {
        return clients::adopt(node, stream, partial_request, waited_ms);
    }
    let stream = SharedStream::new(stream)?;
    node.transfer(Transfer::Client { stream, partial_request, waited_ms });
    Ok(())
}

/// Removes the ends of attempts that are not expected, and the expected ones from `in_flight`. What remains of a call without
/// an expected end is its wait, if it has one.
fn without_known_ends(
    completion: Completion, in_flight: &mut HashMap<(u64, u32), InFlightAttempt>,
) -> Option<Completion> {
    let Completion::Call { endpoint, destination, sent_at, mut end } = completion else {
        return Some(completion);
    };
    end.message_ends.retain(|end| in_flight.remove(&(end.number, end.attempt)).is_some());
    if end.message_ends.is_empty() {
        return end.retry_after.map(|delay| Completion::RetryAfter { endpoint, delay });
    }
    Some(Completion::Call { endpoint, destination, sent_at, end })
}

/// Applies what an endpoint sent to the previous process. If this process has handed over meanwhile, the next one is the owner and
/// gets it: this one has neither the journal nor the state of the decision core any more.
async fn apply_or_pass_on(node: &Node, completion: Completion) {
    if node.serving_state.wait_until_settled().await == Phase::HandedOver {
        return node.transfer(Transfer::Completion(completion));
    }
    match completion {
        Completion::Call { endpoint, destination, sent_at, end } => {
            complete_call(node, EndpointId(endpoint), destination, sent_at, end);
        }
        Completion::Probe { endpoint, outcome, latency, rate_limit_report } => {
            node.send_event(DispatcherEvent::ProbeEnded {
                endpoint: EndpointId(endpoint),
                outcome,
                latency,
                rate_limit_report,
            });
        }
        Completion::RetryAfter { endpoint, delay } => {
            node.send_event(DispatcherEvent::RetryAfter { endpoint: EndpointId(endpoint), delay });
        }
        Completion::SurplusResponse(surplus) => node.send_input(Input::SurplusResponse(surplus.into())),
    }
}
