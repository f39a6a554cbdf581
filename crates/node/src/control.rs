//! Where the operators' door meets the dispatcher: orders are put on record and carried out, gauges read.

use crate::serving::Phase;
use crate::transfer::Transfer;
use crate::{Node, log};
use fawnspoke_control::metrics::Gauges;
use fawnspoke_control::override_file::OverrideFile;
use fawnspoke_control::overrides::{Change, MAX_OVERRIDES, OverrideKey, Overrides, UpdateResult};
use fawnspoke_control::server::ControlCommand;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use waydoor::Event;

/// The orders in force, and where they are on record.
pub struct OperatorOverrides {
    overrides: RefCell<Overrides>,
    file: OverrideFile,
    /// What is on record is not what is in force: the folder refused it.
    unsaved: Cell<bool>,
    /// Called back while no list had them in service: they come back cold. No more than orders may be in force.
    restored: RefCell<VecDeque<String>>,
}

impl OperatorOverrides {
    /// Orders that an earlier life left. One that can't be read is said, and holds nothing: the dispatcher serves.
    pub fn open(state_dir: &Path) -> OperatorOverrides {
        let file = OverrideFile::new(state_dir);
        let overrides = file.load().unwrap_or_else(|error| {
            log::info_limited(format_args!("orders: {error}; none is in force"));
            Overrides::default()
        });
        for (id, _) in overrides.suspended() {
            log::info(format_args!("orders: {id} is out by hand"));
        }
        OperatorOverrides {
            overrides: RefCell::new(overrides),
            file,
            unsaved: Cell::new(false),
            restored: RefCell::default(),
        }
    }

    /// Puts the orders in force on record.
    ///
    /// # Errors
    /// Those of the folder; [`Control::retry_save`] tries again.
    fn save(&self) -> io::Result<()> {
        let saved = self.file.save(&self.overrides.borrow());
        self.unsaved.set(saved.is_err());
        saved
    }

    /// Records orders that the folder refused when they were given.
    pub fn retry_save(&self) {
        if self.unsaved.get() && self.save().is_ok() {
            log::info_limited(format_args!("orders: on record again"));
        }
    }

    /// Whether an endpoint is out by hand.
    pub fn is_suspended(&self, host: &str) -> bool {
        self.overrides.borrow().is_suspended(host)
    }
}

/// Carries out what operators order, for as long as the process runs.
pub async fn process_commands(node: Rc<Node>, mut commands: UnboundedReceiver<ControlCommand>) {
    while let Some(asked) = commands.recv().await {
        let command = match asked {
            ControlCommand::Override(command) => command,
            ControlCommand::FleetStatus(answer) => {
                let node = node.clone();
                spawn_local(async move { answer.send(node.fleet.status().await) });
                continue;
            }
        };
        // While this process hands over, nobody owns the orders; then they are the other one's.
        if node.serving_state.wait_until_settled().await == Phase::HandedOver {
            node.transfer(Transfer::Order(command));
            continue;
        }
        let answer = apply_command(&node, &command.key, command.activate);
        // A caller that has left was told that it may be carried out yet.
        let _ = command.reply.send(answer);
    }
}

/// Carries out one order: on record, then in force.
pub fn apply_command(node: &Node, subject: &OverrideKey, suspend: bool) -> Result<String, String> {
    let operator_overrides = &node.overrides;
    let id = &subject.endpoint_id;
    let ever_listed = node.directory.borrow().ever_listed(id);
    let now = node.unix_now() / 1000;
    let step = {
        let mut overrides = operator_overrides.overrides.borrow_mut();
        match suspend {
            true => overrides.add(subject.clone(), ever_listed, now),
            false => overrides.remove(subject, ever_listed),
        }
    };
    // Also where it stands already, but is not on record.
    let must_save = matches!(step, UpdateResult::Changed(_)) || operator_overrides.unsaved.get();
    let saved = if must_save { operator_overrides.save() } else { Ok(()) };
    let unsaved_text =
        |error: &io::Error| format!("in force, but not on record yet, and gone with this process: {error}");
    if let (UpdateResult::Unchanged, Err(error)) = (&step, &saved) {
        return Err(unsaved_text(error));
    }
    match step {
        UpdateResult::Unchanged if suspend => return Ok(format!("{id} is out already")),
        UpdateResult::Unchanged => return Ok(format!("{id} may serve")),
        UpdateResult::Rejected(refusal) => return Err(refusal.to_string()),
        UpdateResult::Changed(change) => {
            let entry = node.directory.borrow_mut().set_suspended(id, change == Change::Added);
            if let Some(entry) = entry {
                node.send_event(Event::ListUpdate(vec![entry]));
                if change == Change::Added {
                    node.pool.close_idle(entry.endpoint);
                }
            }
            // It was restarted meanwhile.
            let mut restored = operator_overrides.restored.borrow_mut();
            restored.retain(|other| other != id);
            if change == Change::Removed {
                restored.push_back(id.clone());
                if restored.len() > MAX_OVERRIDES {
                    restored.pop_front();
                }
            }
            drop(restored);
            report_restored(node);
            log::info_limited(format_args!(
                "orders: {id} {}",
                if suspend { "out by hand" } else { "may serve" }
            ));
        }
    }
    match saved {
        Err(error) => Err(unsaved_text(&error)),
        _ if suspend => Ok(format!("{id} is out until RESTORE")),
        _ => Ok(format!("{id} may serve, cold at first")),
    }
}

/// Tells the decisions of endpoints that were called back and are in service now: they were restarted meanwhile.
pub fn report_restored(node: &Node) {
    let directory = node.directory.borrow();
    node.overrides.restored.borrow_mut().retain(|id| {
        let ready_endpoint = directory.ready_endpoint(id);
        ready_endpoint.inspect(|endpoint| node.send_event(Event::EndpointRestored(*endpoint)));
        ready_endpoint.is_none()
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
    Gauges {
        pending_messages: node.journal.borrow().open_messages() as u64,
        listed_endpoints: listed,
        out_of_rotation: avoided,
    }
}
