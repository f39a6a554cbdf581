//! Where the operators' door meets the dispatcher: orders are put on record and carried out, gauges read.

use crate::serving::Phase;
use crate::transfer::Transfer;
use crate::{Node, log};
use fawnspoke_control::door::Asked;
use fawnspoke_control::figures::Gauges;
use fawnspoke_control::orders::{Change, ORDERS_MOST, Orders, Step, Subject};
use fawnspoke_control::record::File;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use waydoor::Event;

/// The orders in force, and where they are on record.
pub struct Control {
    orders: RefCell<Orders>,
    file: File,
    /// What is on record is not what is in force: the folder refused it.
    unrecorded: Cell<bool>,
    /// Called back while no list had them in service: they come back cold. No more than orders may be in force.
    cold: RefCell<VecDeque<String>>,
}

impl Control {
    /// Orders that an earlier life left. One that can't be read is said, and holds nothing: the dispatcher serves.
    pub fn open(folder: &Path) -> Control {
        let file = File::new(folder);
        let orders = file.read().unwrap_or_else(|error| {
            log::info_limited(format_args!("orders: {error}; none is in force"));
            Orders::default()
        });
        for (id, _) in orders.held() {
            log::info(format_args!("orders: {id} is out by hand"));
        }
        Control { orders: RefCell::new(orders), file, unrecorded: Cell::new(false), cold: RefCell::default() }
    }

    /// Puts the orders in force on record.
    ///
    /// # Errors
    /// Those of the folder; [`Control::catch_up`] tries again.
    fn record(&self) -> io::Result<()> {
        let recorded = self.file.write(&self.orders.borrow());
        self.unrecorded.set(recorded.is_err());
        recorded
    }

    /// Records orders that the folder refused when they were given.
    pub fn catch_up(&self) {
        if self.unrecorded.get() && self.record().is_ok() {
            log::info_limited(format_args!("orders: on record again"));
        }
    }

    /// Whether an endpoint is out by hand.
    pub fn holds(&self, host: &str) -> bool {
        self.orders.borrow().holds(host)
    }
}

/// Carries out what operators order, for as long as the process runs.
pub async fn obey(node: Rc<Node>, mut orders: UnboundedReceiver<Asked>) {
    while let Some(asked) = orders.recv().await {
        let order = match asked {
            Asked::Order(order) => order,
            Asked::Fleet(answer) => {
                let node = node.clone();
                spawn_local(async move { answer.send(node.fleet.show().await) });
                continue;
            }
        };
        // While this process hands over, nobody owns the orders; then they are the other one's.
        if node.serving_state.wait_until_settled().await == Phase::HandedOver {
            node.transfer(Transfer::Order(order));
            continue;
        }
        let answer = carry_out(&node, &order.subject, order.given);
        // A caller that has left was told that it may be carried out yet.
        let _ = order.answer.send(answer);
    }
}

/// Carries out one order: on record, then in force.
pub fn carry_out(node: &Node, subject: &Subject, given: bool) -> Result<String, String> {
    let control = &node.overrides;
    let id = &subject.id;
    let known = node.directory.borrow().ever_listed(id);
    let now = node.unix_now() / 1000;
    let step = {
        let mut orders = control.orders.borrow_mut();
        match given {
            true => orders.give(subject.clone(), known, now),
            false => orders.call_back(subject, known),
        }
    };
    // Also where it stands already, but is not on record.
    let due = matches!(step, Step::Changes(_)) || control.unrecorded.get();
    let record = if due { control.record() } else { Ok(()) };
    let unrecorded =
        |error: &io::Error| format!("in force, but not on record yet, and gone with this process: {error}");
    if let (Step::Stands, Err(error)) = (&step, &record) {
        return Err(unrecorded(error));
    }
    match step {
        Step::Stands if given => return Ok(format!("{id} is out already")),
        Step::Stands => return Ok(format!("{id} may serve")),
        Step::Refused(refusal) => return Err(refusal.to_string()),
        Step::Changes(change) => {
            let entry = node.directory.borrow_mut().hold(id, change == Change::Began);
            if let Some(entry) = entry {
                node.send_event(Event::ListUpdate(vec![entry]));
                if change == Change::Began {
                    node.pool.close_idle(entry.endpoint);
                }
            }
            // It was restarted meanwhile.
            let mut cold = control.cold.borrow_mut();
            cold.retain(|other| other != id);
            if change == Change::Ended {
                cold.push_back(id.clone());
                if cold.len() > ORDERS_MOST {
                    cold.pop_front();
                }
            }
            drop(cold);
            restarted(node);
            log::info_limited(format_args!(
                "orders: {id} {}",
                if given { "out by hand" } else { "may serve" }
            ));
        }
    }
    match record {
        Err(error) => Err(unrecorded(&error)),
        _ if given => Ok(format!("{id} is out until RESTORE")),
        _ => Ok(format!("{id} may serve, cold at first")),
    }
}

/// Tells the decisions of endpoints that were called back and are in service now: they were restarted meanwhile.
pub fn restarted(node: &Node) {
    let directory = node.directory.borrow();
    node.overrides.cold.borrow_mut().retain(|id| {
        let serving = directory.serving(id);
        serving.inspect(|endpoint| node.send_event(Event::EndpointRestored(*endpoint)));
        serving.is_none()
    });
}

/// How things are now.
pub fn gauges(node: &Node) -> Gauges {
    let (directory, dispatcher) = (node.directory.borrow(), node.dispatcher.borrow());
    let now = node.now();
    let (mut listed, mut avoided) = (0, 0);
    for (endpoint, ready) in directory.listed() {
        listed += 1;
        avoided += u64::from(!ready || dispatcher.is_unavailable(now, endpoint));
    }
    Gauges { open: node.journal.borrow().open_messages() as u64, listed, avoided }
}
