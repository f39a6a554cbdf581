//! Connects the control port to the dispatcher: saves and applies operator overrides, and computes
//! the gauges.

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

/// The operator overrides in force, and the file that persists them.
pub struct OperatorOverrides {
    overrides: RefCell<Overrides>,
    file: OverrideFile,
    /// Whether the file differs from what is in force, because a write failed.
    unsaved: Cell<bool>,
    /// Endpoints that an operator restored while no list had them in service: they are cold when they
    /// return. At most as many as there may be overrides.
    restored: RefCell<VecDeque<String>>,
}

impl OperatorOverrides {
    /// Reads the overrides that an earlier process left. If the file cannot be read, that is logged and
    /// no override is in force: the dispatcher serves.
    pub fn open(state_dir: &Path) -> OperatorOverrides {
        let file = OverrideFile::new(state_dir);
        let overrides = file.load().unwrap_or_else(|error| {
            log::info_limited(format_args!("orders: {error}; no override is in force"));
            Overrides::default()
        });
        for (id, _) in overrides.suspended() {
            log::info(format_args!("orders: {id} is suspended by an operator"));
        }
        OperatorOverrides {
            overrides: RefCell::new(overrides),
            file,
            unsaved: Cell::new(false),
            restored: RefCell::default(),
        }
    }

    /// Writes the overrides in force to the file.
    ///
    /// # Errors
    /// If the file cannot be written; [`OperatorOverrides::retry_save`] tries again.
    fn save(&self) -> io::Result<()> {
        let saved = self.file.save(&self.overrides.borrow());
        self.unsaved.set(saved.is_err());
        saved
    }

    /// Saves the overrides if the last attempt to save them failed.
    pub fn retry_save(&self) {
        if self.unsaved.get() && self.save().is_ok() {
            log::info_limited(format_args!("orders: saved again after a failed write"));
        }
    }

    /// Whether an operator has suspended this endpoint.
    pub fn is_suspended(&self, id: &str) -> bool {
        self.overrides.borrow().is_suspended(id)
    }
}

/// Carries out operators' commands for as long as the process runs.
pub async fn process_commands(node: Rc<Node>, mut commands: UnboundedReceiver<ControlCommand>) {
    while let Some(request) = commands.recv().await {
        let command = match request {
            ControlCommand::Override(command) => command,
            ControlCommand::FleetStatus(answer) => {
                let node = node.clone();
                spawn_local(async move { answer.send(node.fleet.status().await) });
                continue;
            }
        };
        // During a handover no process owns the overrides; afterwards the other process may own them.
        if node.serving_state.wait_until_settled().await == Phase::HandedOver {
            node.transfer(Transfer::OverrideCommand(command));
            continue;
        }
        command.reply.send(apply_command(&node, &command.key, command.activate));
    }
}

/// Carries out one command: it is first written to the file, then put in force.
pub fn apply_command(node: &Node, key: &OverrideKey, suspend: bool) -> Result<String, String> {
    let operator_overrides = &node.overrides;
    let id = &key.endpoint_id;
    let ever_listed = node.directory.borrow().ever_listed(id);
    let now = node.unix_now() / 1000;
    let result = {
        let mut overrides = operator_overrides.overrides.borrow_mut();
        match suspend {
            true => overrides.add(key.clone(), ever_listed, now),
            false => overrides.remove(key, ever_listed),
        }
    };
    // An override that is in force already may still be missing in the file.
    let must_save = matches!(result, UpdateResult::Changed(_)) || operator_overrides.unsaved.get();
    let saved = if must_save { operator_overrides.save() } else { Ok(()) };
    let unsaved_text =
        |error: &io::Error| format!("in force, but not on record yet, and gone with this process: {error}");
    if let (UpdateResult::Unchanged, Err(error)) = (&result, &saved) {
        return Err(unsaved_text(error));
    }
    match result {
        UpdateResult::Unchanged if suspend => return Ok(format!("{id} is out already")),
        UpdateResult::Unchanged => return Ok(format!("{id} may serve")),
        UpdateResult::Rejected(rejection) => return Err(rejection.to_string()),
        UpdateResult::Changed(change) => {
            let entry = node.directory.borrow_mut().set_suspended(id, change == Change::Added);
            if let Some(entry) = entry {
                node.send_event(Event::ListUpdate(vec![entry]));
                if change == Change::Added {
                    node.pool.close_idle(entry.endpoint);
                }
            }
            // A restored endpoint was restarted meanwhile, so the decision core treats it as cold.
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
                if suspend { "suspended by an operator" } else { "may serve" }
            ));
        }
    }
    match saved {
        Err(error) => Err(unsaved_text(&error)),
        _ if suspend => Ok(format!("{id} is out until RESTORE")),
        _ => Ok(format!("{id} may serve, cold at first")),
    }
}

/// Reports to the decision core which restored endpoints are in service now: they were restarted
/// meanwhile.
pub fn report_restored(node: &Node) {
    let directory = node.directory.borrow();
    node.overrides.restored.borrow_mut().retain(|id| {
        let ready_endpoint = directory.ready_endpoint(id);
        ready_endpoint.inspect(|endpoint| node.send_event(Event::EndpointRestored(*endpoint)));
        ready_endpoint.is_none()
    });
}

/// The current gauges.
pub fn gauges(node: &Node) -> Gauges {
    let (directory, dispatcher) = (node.directory.borrow(), node.dispatcher.borrow());
    let now = node.now();
    let (mut listed_endpoints, mut out_of_rotation) = (0, 0);
    for (endpoint, ready) in directory.listed() {
        listed_endpoints += 1;
        out_of_rotation += u64::from(!ready || dispatcher.is_unavailable(now, endpoint));
    }
    let memory = node.process_memory.get();
    Gauges {
        pending_messages: node.open_messages() as u64,
        listed_endpoints,
        out_of_rotation,
        resident_bytes: memory.resident,
        peak_bytes: memory.peak,
        message_bytes: node.journal.borrow().live_bytes(),
        client_connections: node.clients.count() as u64,
        request_bytes: node.clients.memory.leased_bytes() as u64,
    }
}
