//! Executes the actions of the decision core: starts calls and probes, journals how they end, ends messages
//! undelivered.

use crate::call::{Call, CallMessage};
use crate::call_results::{MessageEnd, Resolution};
use crate::calls::{self, CallEnd, PoolUse};
use crate::directory::ListedEndpoint;
use crate::inputs::Input;
use crate::serving::Phase;
use crate::transfer::{Completion, Transfer};
use crate::{Node, log, unproven};
use fawnspoke_control::metrics::CountedOutcome;
use fawnspoke_journal::Notice;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use waydoor::{Action, DestinationId, Effect, EndpointId, Event, Outcome, Seconds};

/// Journals the end of a call and queues it for the decision core.
pub fn complete_call(node: &Node, endpoint: EndpointId, destination: u32, sent_at: Seconds, end: CallEnd) {
    for end in end.message_ends.iter().filter(|end| end.outcome == Outcome::Served) {
        node.count_message_end(end.number, CountedOutcome::Fulfilled);
    }
    for message_end in &end.message_ends {
        let number = message_end.number;
        let has_begun = || node.journal.borrow().get(number).is_some_and(|entry| entry.in_flight.is_some());
        match message_end.resolution {
            Resolution::UnprovenDelivery => unproven::add(node, number, &end),
            Resolution::EndByNotice => unproven::end_as_over(node, number),
            Resolution::Settled => {
                node.observe_journal_write(node.journal.borrow_mut().close(number));
            }
            Resolution::Open if has_begun() => {
                let may_have_run = message_end.may_have_run();
                node.observe_journal_write(node.journal.borrow_mut().attempt_ended(number, may_have_run));
            }
            Resolution::Open => {}
        }
    }
    node.traffic.record_call_end(destination, &end);
    node.fleet.report_outcomes(destination, end.message_ends.iter().map(|end| end.outcome));
    node.send_input(Input::CallEnded { endpoint, sent_at, end });
}

/// Makes a call and reports its end: here, or to the new process if that has taken over meanwhile.
pub async fn run_call(node: Rc<Node>, call: Call, sent_at: Seconds) {
    let single = call.messages.first().filter(|_| call.messages.len() == 1).map(|message| message.number);
    let cancellation = Rc::new(Notify::new());
    single.inspect(|number| drop(node.cancellations.borrow_mut().insert(*number, cancellation.clone())));
    let end_with = |outcome: Outcome| {
        let end = |message: &CallMessage| MessageEnd::open(message.number, message.attempt, outcome);
        CallEnd::without_report(call.messages.iter().map(end).collect(), false)
    };
    let mut pool_use = PoolUse::default();
    let (mut end, is_aborted) = tokio::select! {
        end = calls::perform(&node, &call, &mut pool_use) => (end, false),
        () = cancellation.notified() => (end_with(Outcome::Cancelled), false),
        () = node.abort_signal.notified() => (end_with(Outcome::ConnectionReset), true),
    };
    // A batch response tells in its body what has ended.
    if single.is_some() && pool_use.may_have_ended_message() {
        end.message_ends.iter_mut().for_each(MessageEnd::close_if_uncertain);
    }
    node.calls_with_connection.set(node.calls_with_connection.get() - 1);
    single.inspect(|number| drop(node.cancellations.borrow_mut().remove(number)));
    let (endpoint, destination) = (call.endpoint, call.destination);
    match node.serving_state.wait_until_settled().await {
        Phase::HandedOver if is_aborted => {}
        Phase::HandedOver => {
            // The connection is not transferred.
            end.connection_kept = false;
            node.transfer(Transfer::Completion(Completion::Call {
                endpoint: endpoint.0,
                destination,
                sent_at,
                end,
            }));
        }
        _ => complete_call(&node, endpoint, destination, sent_at, end),
    }
    node.calls_in_flight.set(node.calls_in_flight.get() - 1);
}

/// A message that the decision core wants sent.
struct SendRequest {
    number: u64,
    endpoint: EndpointId,
    attempt: u32,
    timeout: Seconds,
    /// The message must not share its call with others.
    unbatched: bool,
}

/// Groups the messages sent in one tick into calls: messages to one endpoint share a call up to the batch size of the
/// destination.
#[derive(Default)]
pub struct CallBatcher {
    calls: Vec<Call>,
    /// The index of the last call that can take more messages, by endpoint and by whether a repeat of its messages is
    /// unsafe: unsafe messages get a longer timeout, and a call has only one.
    open: BTreeMap<(EndpointId, bool), usize>,
}

impl CallBatcher {
    fn add(&mut self, node: &Node, request: SendRequest) {
        let SendRequest { number, endpoint, attempt, timeout, unbatched } = request;
        let Some(content) = node.journal.borrow().get(number).map(|e| e.message.clone()) else { return };
        let message = CallMessage { number, attempt, content };
        let listed = node
            .directory
            .borrow()
            .get(endpoint)
            .filter(|listed| listed.destination == message.content.destination);
        let Some(listed) = listed.filter(|listed| node.fleet.may_send(listed.destination)) else {
            let message_ends = vec![MessageEnd::open(number, attempt, Outcome::NotSent)];
            node.send_input(Input::CallEnded {
                endpoint,
                sent_at: node.now(),
                end: CallEnd::without_report(message_ends, false),
            });
            return;
        };
        let effect = node.class_effect(&message.content.class);
        let max_batch = node.config.settings.kinds.get(listed.kind).map_or(1, |kind| kind.max_batch);
        // The effect of a class that is no longer configured isn't known.
        let carries_unsafe = matches!(effect, Some(Effect::Unsafe) | None);
        let batch_key = (endpoint, carries_unsafe);
        if !unbatched
            && let Some(call) = self.open.get(&batch_key).and_then(|index| self.calls.get_mut(*index))
            && call.messages.len() < max_batch
        {
            call.messages.push(message);
            call.timeout = call.timeout.min(timeout);
            return;
        }
        if !unbatched {
            self.open.insert(batch_key, self.calls.len());
        }
        let ListedEndpoint { address, destination, zone, .. } = listed;
        let messages = vec![message];
        self.calls.push(Call { endpoint, address, destination, zone, messages, timeout, carries_unsafe });
    }
}

/// Executes the actions that the decision core returned for one tick.
pub fn execute(node: &Rc<Node>, now: Seconds, actions: &[Action], timer: &mut Option<(u32, Seconds)>) {
    let mut batcher = CallBatcher::default();
    for action in actions {
        match action {
            Action::Send { id, endpoint, attempt, timeout, unbatched } => {
                let (number, endpoint, attempt) = (id.0, *endpoint, *attempt);
                batcher.add(
                    node,
                    SendRequest { number, endpoint, attempt, timeout: *timeout, unbatched: *unbatched },
                );
            }
            Action::Reject(id) => {
                let destination =
                    node.journal.borrow().get(id.0).map(|entry| DestinationId(entry.message.destination));
                destination.inspect(|destination| {
                    node.traffic.update(destination.0, |counters| counters.handed_back += 1)
                });
                let retry_in_ms = destination
                    .map_or(0.0, |destination| node.retry_after(destination) * 1000.0)
                    .ceil() as u64;
                node.count_message_end(id.0, CountedOutcome::Throttled);
                node.end_undelivered(id.0, Notice::HandedBack { retry_in_ms });
            }
            Action::Fail(id) => {
                let destination = node.journal.borrow().get(id.0).map(|entry| entry.message.destination);
                destination.inspect(|destination| {
                    node.traffic.update(*destination, |counters| counters.given_up += 1)
                });
                node.count_message_end(id.0, CountedOutcome::Faulted);
                node.end_undelivered(id.0, Notice::GivenUp);
            }
            Action::SetTimer { token, at } => *timer = Some((*token, *at)),
            Action::CancelAttempt { id, .. } => {
                if let Some(cancellation) = node.cancellations.borrow().get(&id.0) {
                    cancellation.notify_one();
                }
            }
            Action::Probe(endpoint) => {
                let (node, endpoint) = (node.clone(), *endpoint);
                let destination = node.directory.borrow().get(endpoint).map(|listed| listed.destination);
                destination.inspect(|destination| {
                    node.traffic.update(*destination, |counters| counters.probes += 1)
                });
                spawn_local(async move {
                    let (outcome, rate_limit_report) = calls::probe(&node, endpoint).await;
                    let latency = node.now() - now;
                    match node.serving_state.wait_until_settled().await {
                        Phase::HandedOver => {
                            let endpoint = endpoint.0;
                            node.transfer(Transfer::Completion(Completion::Probe {
                                endpoint,
                                outcome,
                                latency,
                                rate_limit_report,
                            }));
                        }
                        _ => {
                            destination
                                .inspect(|destination| node.fleet.report_outcomes(*destination, [outcome]));
                            node.send_event(Event::ProbeEnded {
                                endpoint,
                                outcome,
                                latency,
                                rate_limit_report,
                            });
                        }
                    }
                });
            }
            Action::CloseIdle(endpoint) => {
                node.pool.close_idle(*endpoint);
            }
            // An unsafe message always gets a new connection.
            Action::AvoidIdle(_) => {}
            Action::Subscribe => node.resubscribe.notify_one(),
            Action::RecordOutage { destination, ongoing } => {
                node.fleet.set_unavailable(node, destination.0, *ongoing);
                node.observe_journal_write(node.journal.borrow_mut().set_outage(destination.0, *ongoing));
            }
            Action::Log(text) => log::info(format_args!("{now:.3} {text}")),
        }
    }
    for call in batcher.calls {
        node.traffic.update(call.destination, |counters| {
            counters.calls += 1;
            counters.messages += call.messages.len() as u64;
        });
        node.calls_in_flight.set(node.calls_in_flight.get() + 1);
        node.calls_with_connection.set(node.calls_with_connection.get() + 1);
        spawn_local(run_call(node.clone(), call, now));
    }
}
