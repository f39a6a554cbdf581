//! What the decisions ask for, carried out: calls and their ends, final answers, probes.

use crate::calls::{self, Call, CallEnd, Item};
use crate::directory::ListedEndpoint;
use crate::event_loop::Input;
use crate::serving::Phase;
use crate::transfer::{Completion, Transfer};
use crate::{Node, log};
use fawnspoke_control::metrics::CountedOutcome;
use fawnspoke_journal::Notice;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use waydoor::{Action, DestinationId, Effect, EndpointId, Event, Outcome, Seconds};

/// Records how a call ended as soon as that is known, then tells the round loop.
pub fn complete_call(node: &Node, endpoint: EndpointId, dest: u32, sent_at: Seconds, end: CallEnd) {
    for end in end.ends.iter().filter(|end| end.outcome == Outcome::Served) {
        node.count_message_end(end.number, CountedOutcome::Fulfilled);
    }
    {
        let mut journal = node.journal.borrow_mut();
        for end in &end.ends {
            node.observe_journal_write(match end.settled {
                true => journal.close(end.number),
                // Its start was never on record: it never began.
                false if journal.get(end.number).is_none_or(|kept| kept.in_flight.is_none()) => continue,
                false => journal.attempt_ended(end.number, !end.outcome.never_ran()),
            });
        }
    }
    node.traffic.record_call_end(dest, &end);
    node.fleet.report_outcomes(dest, end.ends.iter().map(|end| end.outcome));
    node.send_input(Input::CallEnded { endpoint, sent_at, end });
}

/// Makes a call, and sees to it that its end is known to whoever owns by then.
pub async fn run_call(node: Rc<Node>, call: Call, sent_at: Seconds) {
    let one = call.items.first().filter(|_| call.items.len() == 1).map(|item| item.number);
    let broken_off = Rc::new(Notify::new());
    one.inspect(|number| drop(node.cancellations.borrow_mut().insert(*number, broken_off.clone())));
    let ended = |outcome: Outcome| {
        let end = |item: &Item| calls::MessageEnd {
            number: item.number,
            attempt: item.attempt,
            outcome,
            settled: false,
        };
        CallEnd::without_report(call.items.iter().map(end).collect(), false)
    };
    let (mut end, cut) = tokio::select! {
        end = calls::call(&node, &call) => (end, false),
        () = broken_off.notified() => (ended(Outcome::Cancelled), false),
        () = node.abort_signal.notified() => (ended(Outcome::ConnectionReset), true),
    };
    node.calls_with_connection.set(node.calls_with_connection.get() - 1);
    one.inspect(|number| drop(node.cancellations.borrow_mut().remove(number)));
    let (endpoint, dest) = (call.endpoint, call.dest);
    match node.serving_state.wait_until_settled().await {
        Phase::HandedOver if cut => {}
        Phase::HandedOver => {
            // Its connection stays behind.
            end.connection_kept = false;
            node.transfer(Transfer::Completion(Completion::Call {
                endpoint: endpoint.0,
                dest,
                sent_at,
                end,
            }));
        }
        _ => complete_call(&node, endpoint, dest, sent_at, end),
    }
    node.calls_in_flight.set(node.calls_in_flight.get() - 1);
}

/// A send that the decisions ask for.
struct Send {
    number: u64,
    endpoint: EndpointId,
    attempt: u32,
    timeout: Seconds,
    alone: bool,
}

/// The sends of one round, as calls: those to one endpoint share a call as far as its kind allows.
#[derive(Default)]
pub struct Calls {
    calls: Vec<Call>,
    /// The call with room for more, by endpoint and by whether its messages may never run twice: those are waited
    /// for, and a call has one time-out.
    open: BTreeMap<(EndpointId, bool), usize>,
}

impl Calls {
    fn add(&mut self, node: &Node, send: Send) {
        let Send { number, endpoint, attempt, timeout, alone } = send;
        let Some(handed) = node.journal.borrow().get(number).map(|kept| kept.message.clone()) else { return };
        let item = Item { number, attempt, handed };
        let place =
            node.directory.borrow().get(endpoint).filter(|p| p.destination == item.handed.destination);
        let Some(place) = place.filter(|place| node.fleet.may_send(place.destination)) else {
            let ends = vec![calls::MessageEnd { number, attempt, outcome: Outcome::NotSent, settled: false }];
            node.send_input(Input::CallEnded {
                endpoint,
                sent_at: node.now(),
                end: CallEnd::without_report(ends, false),
            });
            return;
        };
        let effect = node.class_effect(&item.handed.class);
        let batch = node.config.settings.kinds.get(place.kind).map_or(1, |kind| kind.max_batch);
        let alike = (endpoint, effect == Some(Effect::Unsafe));
        if !alone
            && let Some(call) = self.open.get(&alike).and_then(|at| self.calls.get_mut(*at))
            && call.items.len() < batch
        {
            call.items.push(item);
            call.timeout = call.timeout.min(timeout);
            return;
        }
        if !alone {
            self.open.insert(alike, self.calls.len());
        }
        let ListedEndpoint { address: at, destination: dest, zone, .. } = place;
        self.calls.push(Call { endpoint, at, dest, zone, items: vec![item], timeout });
    }
}

/// Carries out what the decisions ask for.
pub fn execute(node: &Rc<Node>, now: Seconds, actions: &[Action], timer: &mut Option<(u32, Seconds)>) {
    let mut sends = Calls::default();
    for action in actions {
        match action {
            Action::Send { id, endpoint, attempt, timeout, unbatched: alone } => {
                let (number, endpoint, attempt) = (id.0, *endpoint, *attempt);
                sends.add(node, Send { number, endpoint, attempt, timeout: *timeout, alone: *alone });
            }
            Action::Reject(id) => {
                let dest =
                    node.journal.borrow().get(id.0).map(|kept| DestinationId(kept.message.destination));
                dest.inspect(|dest| node.traffic.update(dest.0, |counters| counters.handed_back += 1));
                let retry_in_ms = dest.map_or(0.0, |dest| node.retry_after(dest) * 1000.0).ceil() as u64;
                node.count_message_end(id.0, CountedOutcome::Throttled);
                end(node, id.0, Notice::HandedBack { retry_in_ms });
            }
            Action::Fail(id) => {
                let dest = node.journal.borrow().get(id.0).map(|kept| kept.message.destination);
                dest.inspect(|dest| node.traffic.update(*dest, |counters| counters.given_up += 1));
                node.count_message_end(id.0, CountedOutcome::Faulted);
                end(node, id.0, Notice::GivenUp);
            }
            Action::SetTimer { token, at } => *timer = Some((*token, *at)),
            Action::CancelAttempt { id, .. } => {
                if let Some(out) = node.cancellations.borrow().get(&id.0) {
                    out.notify_one();
                }
            }
            Action::Probe(endpoint) => {
                let (node, endpoint) = (node.clone(), *endpoint);
                let dest = node.directory.borrow().get(endpoint).map(|info| info.destination);
                dest.inspect(|dest| node.traffic.update(*dest, |counters| counters.probes += 1));
                spawn_local(async move {
                    let (outcome, allowance) = calls::probe(&node, endpoint).await;
                    let latency = node.now() - now;
                    match node.serving_state.wait_until_settled().await {
                        Phase::HandedOver => {
                            let endpoint = endpoint.0;
                            node.transfer(Transfer::Completion(Completion::Probe {
                                endpoint,
                                outcome,
                                latency,
                                allowance,
                            }));
                        }
                        _ => {
                            dest.inspect(|dest| node.fleet.report_outcomes(*dest, [outcome]));
                            node.send_event(Event::ProbeEnded {
                                endpoint,
                                outcome,
                                latency,
                                rate_limit_report: allowance,
                            });
                        }
                    }
                });
            }
            Action::CloseIdle(endpoint) => {
                node.pool.close_idle(*endpoint);
            }
            Action::Subscribe => node.resubscribe.notify_one(),
            Action::RecordOutage { destination, ongoing: out } => {
                node.fleet.set_unavailable(node, destination.0, *out);
                node.observe_journal_write(node.journal.borrow_mut().set_outage(destination.0, *out));
            }
            Action::Log(text) => log::info(format_args!("{now:.3} {text}")),
        }
    }
    for call in sends.calls {
        node.traffic.update(call.dest, |counters| {
            counters.calls += 1;
            counters.messages += call.items.len() as u64;
        });
        node.calls_in_flight.set(node.calls_in_flight.get() + 1);
        node.calls_with_connection.set(node.calls_with_connection.get() + 1);
        spawn_local(run_call(node.clone(), call, now));
    }
}

pub fn end(node: &Node, number: u64, notice: Notice) {
    node.observe_journal_write(node.journal.borrow_mut().notice_due(number, notice));
    node.notice_due.notify_one();
}
