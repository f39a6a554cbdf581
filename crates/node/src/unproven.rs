//! Deliveries that rest on a response which may belong to an earlier request: what becomes of their messages.
//!
//! Such a message has ended for the decision core. A notice for it is in the journal at once, so that a later process ends it
//! and doesn't call it again, and is held. The message is closed once its delivery is proven. If that fails (a response too many followed, its connection has ended, or its deadline
//! comes first), the notice is sent, which does no harm to a message that was delivered. It is never called again: its response
//! may have been its own.

use crate::calls::CallEnd;
use crate::connection::ResponseMonitor;
use crate::{Node, log};
use fawnspoke_control::metrics::CountedOutcome;
use fawnspoke_journal::Notice;
use fawnspoke_pairing::{Conclusion, UnprovenDelivery};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;
use waydoor::Seconds;

/// Time before a message's deadline at which a notice ends it if its delivery is still unproven. It covers the interval
/// of the checks and a stall of the process.
const DEADLINE_MARGIN_SECONDS: Seconds = 0.75;

/// Messages ended by a notice that are remembered, some 60 KB.
const MAX_ENDED_IDS: usize = 1024;

/// The unproven deliveries of this process.
#[derive(Default)]
pub struct UnprovenDeliveries {
    /// The connections that have any.
    monitors: RefCell<Vec<Rc<ResponseMonitor>>>,
    /// Their messages, by number in the journal.
    numbers: RefCell<BTreeSet<u64>>,
    /// Ids of messages that were ended by a notice although they may have been delivered, the oldest first.
    ended_ids: RefCell<VecDeque<String>>,
    /// A response belonged to no request since the last check.
    check_due: Cell<bool>,
}

impl UnprovenDeliveries {
    /// Number of messages whose delivery is unproven.
    pub fn count(&self) -> usize {
        self.numbers.borrow().len()
    }

    /// Whether the delivery of a message is unproven.
    pub fn contains(&self, number: u64) -> bool {
        self.numbers.borrow().contains(&number)
    }

    /// Whether a message was ended by a notice although it may have been delivered: if it comes again, it is owed nothing.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended_ids.borrow().iter().any(|ended| ended == id)
    }

    fn remember_end(&self, id: &str) {
        let mut ended_ids = self.ended_ids.borrow_mut();
        ended_ids.push_back(id.to_string());
        if ended_ids.len() > MAX_ENDED_IDS {
            ended_ids.pop_front();
        }
    }

    /// Asks for a check in this tick.
    pub fn request_check(&self) {
        self.check_due.set(true);
    }

    /// Whether a check was requested; resets the request.
    pub fn take_requested_check(&self) -> bool {
        self.check_due.take()
    }
}

/// Adds a message whose delivery rests on an unproven response.
pub fn add(node: &Node, number: u64, end: &CallEnd) {
    if node.journal.borrow().get(number).is_none() {
        return;
    }
    // A later process doesn't call it again either.
    node.observe_journal_write(node.journal.borrow_mut().notice_due(number, Notice::GivenUp));
    let (Some(monitor), Some(due_at)) = (&end.monitor, end.due_at) else {
        return release_notice(node, number, "its connection was not taken over");
    };
    if is_overdue(node, number) {
        return release_notice(node, number, "its deadline is near");
    }
    // They don't count as open messages, but the journal holds them.
    if node.unproven.count() >= node.config.settings.max_messages {
        return release_notice(node, number, "too many others wait to be proven");
    }
    node.unproven.numbers.borrow_mut().insert(number);
    monitor.pairing.borrow_mut().add_unproven(UnprovenDelivery { number, due_at });
    let mut monitors = node.unproven.monitors.borrow_mut();
    if !monitors.iter().any(|known| Rc::ptr_eq(known, monitor)) {
        monitors.push(monitor.clone());
    }
}

/// Ends a message by a notice that is over if the response to its call is its own: in case it is not.
pub fn end_as_over(node: &Node, number: u64) {
    if node.journal.borrow().get(number).is_some() {
        node.count_message_end(number, CountedOutcome::Faulted);
        node.end_undelivered(number, Notice::GivenUp);
    }
}

/// Checks all unproven deliveries.
pub fn check(node: &Node) {
    let monitors = node.unproven.monitors.take();
    let now = Instant::now();
    for monitor in monitors {
        let socket = monitor.socket_state();
        let is_trusted = monitor.endpoint_id().is_none_or(|endpoint| node.pool.is_trusted(endpoint));
        let concluded = monitor.pairing.borrow_mut().conclude(now, socket, is_trusted);
        if let Some((conclusion, numbers)) = concluded {
            if conclusion == Conclusion::Mismatched {
                node.pool.close_out_of_step();
            }
            numbers.into_iter().for_each(|number| conclude(node, conclusion, number));
        }
        let overdue = monitor.pairing.borrow_mut().take_unproven(|number| is_overdue(node, number));
        overdue.into_iter().for_each(|number| release_notice(node, number, "its deadline is near"));
        if monitor.has_unproven() {
            node.unproven.monitors.borrow_mut().push(monitor);
        }
    }
}

/// Ends all messages whose delivery is unproven, before another process takes over.
pub fn end_all(node: &Node) {
    for monitor in node.unproven.monitors.take() {
        let numbers = monitor.pairing.borrow_mut().take_unproven(|_| true);
        numbers.into_iter().for_each(|number| release_notice(node, number, "another process takes over"));
    }
}

fn is_overdue(node: &Node, number: u64) -> bool {
    let journal = node.journal.borrow();
    let Some(entry) = journal.get(number) else { return true };
    node.now() >= node.to_monotonic(entry.message.deadline) - DEADLINE_MARGIN_SECONDS
}

fn conclude(node: &Node, conclusion: Conclusion, number: u64) {
    match conclusion {
        Conclusion::Delivered => {
            node.unproven.numbers.borrow_mut().remove(&number);
            node.observe_journal_write(node.journal.borrow_mut().close(number));
        }
        Conclusion::Unknown => release_notice(node, number, "its connection does not show it"),
        // It may still be its own: the surplus response may be the copy.
        Conclusion::Mismatched => release_notice(node, number, "a response beyond the requests followed it"),
    }
}

/// Lets the notice of a message be sent whose delivery can't be proven.
fn release_notice(node: &Node, number: u64, reason: &str) {
    node.unproven.numbers.borrow_mut().remove(&number);
    let destination = {
        let journal = node.journal.borrow();
        let Some(entry) = journal.get(number) else { return };
        log::info_limited(format_args!(
            "message {}: delivered by a response that may belong to an earlier request, and {reason}: given up",
            entry.message.id
        ));
        node.unproven.remember_end(&entry.message.id);
        entry.message.destination
    };
    node.traffic.update(destination, |counters| counters.unproven_deliveries += 1);
    node.notice_due.notify_one();
}
