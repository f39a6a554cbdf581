//! What the decisions ask for, carried out: calls and their ends, final answers, probes.

use crate::calls::{self, Call, CallEnd, CallMessage};
use crate::directory::Place;
use crate::event_loop::Input;
use crate::serving::Phase;
use crate::transfer::{Completion, Transfer};
use crate::{Node, log};
use fawnspoke_control::figures::End;
use fawnspoke_journal::Notice;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use waydoor::{Action, DestinationId, Effect, EndpointId, Event, Outcome, Seconds};

/// Records how a call ended as soon as that is known, then tells the round loop.
pub fn complete_call(node: &Node, endpoint: EndpointId, dest: u32, sent_at: Seconds, end: CallEnd) {
    for end in end.ends.iter().filter(|end| end.outcome == Outcome::Served) {
        node.count_message_end(end.number, End::Fulfilled);
    }
    {
        let mut journal = node.journal.borrow_mut();
        for end in &end.ends {
            node.observe_journal_write(match end.settled {
                true => journal.over(end.number),
                // Its start was never on record: it never began.
                false if journal.get(end.number).is_none_or(|kept| kept.out.is_none()) => continue,
                false => journal.ended(end.number, !end.outcome.never_ran()),
            });
        }
    }
    node.traffic.ended(dest, &end);
    node.fleet.ended(dest, end.ends.iter().map(|end| end.outcome));
    node.send_input(Input::CallEnded { endpoint, sent_at, end });
}

/// Makes a call, and sees to it that its end is known to whoever owns by then.
pub async fn run_call(node: Rc<Node>, call: Call, sent_at: Seconds) {
    let one = call.messages.first().filter(|_| call.messages.len() == 1).map(|item| item.number);
    let broken_off = Rc::new(Notify::new());
    one.inspect(|number| drop(node.cancellations.borrow_mut().insert(*number, broken_off.clone())));
    let ended = |outcome: Outcome| {
        let end = |item: &CallMessage| calls::MessageEnd {
            number: item.number,
            attempt: item.attempt,
            outcome,
            settled: false,
        };
        CallEnd::without_report(call.messages.iter().map(end).collect(), false)
    };
    let (mut end, cut) = tokio::select! {
        end = calls::perform(&node, &call) => (end, false),
        () = broken_off.notified() => (ended(Outcome::Cancelled), false),
        () = node.abort_signal.notified() => (ended(Outcome::Reset), true),
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
        let Some(handed) = node.journal.borrow().get(number).map(|kept| kept.handed.clone()) else { return };
        let item = CallMessage { number, attempt, handed };
        let place = node.directory.borrow().place(endpoint).filter(|p| p.dest == item.handed.dest);
        let Some(place) = place.filter(|place| node.fleet.may_try(place.dest)) else {
            let ends = vec![calls::MessageEnd { number, attempt, outcome: Outcome::Moot, settled: false }];
            node.send_input(Input::CallEnded {
                endpoint,
                sent_at: node.now(),
                end: CallEnd::without_report(ends, false),
            });
            return;
        };
        let effect = node.class_effect(&item.handed.class);
        let batch = node.config.settings.kinds.get(place.kind).map_or(1, |kind| kind.batch);
        let alike = (endpoint, effect == Some(Effect::Unsafe));
        if !alone
            && let Some(call) = self.open.get(&alike).and_then(|at| self.calls.get_mut(*at))
            && call.messages.len() < batch
        {
            call.messages.push(item);
            call.timeout = call.timeout.min(timeout);
            return;
        }
        if !alone {
            self.open.insert(alike, self.calls.len());
        }
        let Place { dial: address, dest, zone, .. } = place;
        self.calls.push(Call { endpoint, address, dest, zone, messages: vec![item], timeout });
    }
}

/// Carries out what the decisions ask for.
pub fn execute(node: &Rc<Node>, now: Seconds, actions: &[Action], timer: &mut Option<(u32, Seconds)>) {
    let mut sends = Calls::default();
    for action in actions {
        match action {
            Action::Send { id, endpoint, attempt, timeout, alone } => {
                let (number, endpoint, attempt) = (id.0, *endpoint, *attempt);
                sends.add(node, Send { number, endpoint, attempt, timeout: *timeout, alone: *alone });
            }
            Action::Refuse(id) => {
                let dest = node.journal.borrow().get(id.0).map(|kept| DestinationId(kept.handed.dest));
                dest.inspect(|dest| node.traffic.count(dest.0, |count| count.back += 1));
                let retry_in_ms = dest.map_or(0.0, |dest| node.retry_after(dest) * 1000.0).ceil() as u64;
                node.count_message_end(id.0, End::Throttled);
                end(node, id.0, Notice::HandedBack { retry_in_ms });
            }
            Action::Fail(id) => {
                let dest = node.journal.borrow().get(id.0).map(|kept| kept.handed.dest);
                dest.inspect(|dest| node.traffic.count(*dest, |count| count.given_up += 1));
                node.count_message_end(id.0, End::Faulted);
                end(node, id.0, Notice::GivenUp);
            }
            Action::SetTimer { token, at } => *timer = Some((*token, *at)),
            Action::BreakOff { id, .. } => {
                if let Some(out) = node.cancellations.borrow().get(&id.0) {
                    out.notify_one();
                }
            }
            Action::Probe(endpoint) => {
                let (node, endpoint) = (node.clone(), *endpoint);
                let dest = node.directory.borrow().place(endpoint).map(|place| place.dest);
                dest.inspect(|dest| node.traffic.count(*dest, |count| count.probes += 1));
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
                            dest.inspect(|dest| node.fleet.ended(*dest, [outcome]));
                            node.send_event(Event::Probed { endpoint, outcome, latency, allowance });
                        }
                    }
                });
            }
            Action::CloseIdle(endpoint) => {
                node.pool.close_idle(*endpoint);
            }
            Action::Subscribe => node.resubscribe.notify_one(),
            Action::Remember { destination, out } => {
                node.fleet.out(node, destination.0, *out);
                node.observe_journal_write(node.journal.borrow_mut().outage(destination.0, *out));
            }
            Action::Note(text) => log::info(format_args!("{now:.3} {text}")),
        }
    }
    for call in sends.calls {
        node.traffic.count(call.dest, |count| {
            count.calls += 1;
            count.messages += call.messages.len() as u64;
        });
        node.calls_in_flight.set(node.calls_in_flight.get() + 1);
        node.calls_with_connection.set(node.calls_with_connection.get() + 1);
        spawn_local(run_call(node.clone(), call, now));
    }
}

pub fn end(node: &Node, number: u64, notice: Notice) {
    node.observe_journal_write(node.journal.borrow_mut().owe(number, notice));
    node.notice_due.notify_one();
}
