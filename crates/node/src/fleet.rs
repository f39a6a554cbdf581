//! Connects the event loop to the fleet member's thread: reports calls, outages and lists to it, and
//! applies the restrictions that it returns. A restriction delays attempts, and expires unless it is
//! renewed; the thread may also trigger a request to discovery, and never delays one. The event loop
//! never waits for the thread.

use crate::config::Config;
use crate::serving::Phase;
use crate::{Node, log};
use fawnspoke_cluster::clock;
use fawnspoke_cluster::runtime::{self, MemberHandle};
use fawnspoke_duty::Seconds as BootSeconds;
use fawnspoke_duty::duties::{Duties, DutyEvent, DutyReport, DutySettings};
use fawnspoke_duty::lease_table::{DutyId, HolderUpdate};
use fawnspoke_duty::trials::{DestinationReport, TrialPermission};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use waydoor::{EndpointEntry, Event, Outcome};

/// Time for the member to answer an operator; after that the request fails.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The fleet's restrictions on this dispatcher, and the member that they come from. Without a fleet
/// file there are none.
pub struct FleetConstraints {
    member: RefCell<Option<MemberHandle<DutyReport>>>,
    update_sender: UnboundedSender<DutyEvent>,
    updates: RefCell<Option<UnboundedReceiver<DutyEvent>>>,
    /// Destinations that the decision core considers unavailable, and the restriction on attempts
    /// there.
    outages: RefCell<BTreeMap<u32, TrialPermission>>,
    /// Destinations to which nothing is sent now.
    restricted: RefCell<BTreeSet<u32>>,
    list_seq: Cell<Option<u64>>,
    /// A restriction that is not renewed expires after this time.
    max_deferral_seconds: BootSeconds,
    /// Whether the discovery watch has ended, and nothing has arrived since.
    watch_ended: Cell<bool>,
    /// Whether each action under a duty is logged.
    log_actions: bool,
}

/// What the fleet allows this dispatcher to do at a destination now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Permission {
    /// It acts on its own.
    Unrestricted,
    /// Nothing is sent there.
    Restricted,
    /// It makes the attempts for all members, under this epoch.
    Holder(u64),
}

/// The permission at a given time. It needs no further update to expire, even if the member's thread
/// has ended: a holder whose lease term is over sends nothing for as long as other members may defer to
/// a holder, and then acts on its own.
fn permission(
    trial_permission: TrialPermission, now: BootSeconds, max_deferral_seconds: BootSeconds,
) -> Permission {
    match trial_permission {
        TrialPermission::Holder(epoch, until) if now < until => Permission::Holder(epoch),
        TrialPermission::Holder(_, until) if now < until + max_deferral_seconds => Permission::Restricted,
        TrialPermission::Deferred(until) if now < until => Permission::Restricted,
        _ => Permission::Unrestricted,
    }
}

impl FleetConstraints {
    /// No restrictions; the member is not started yet.
    pub fn new(config: &Config) -> FleetConstraints {
        let (update_sender, updates) = unbounded_channel();
        FleetConstraints {
            member: RefCell::default(),
            update_sender,
            updates: RefCell::new(Some(updates)),
            outages: RefCell::default(),
            restricted: RefCell::default(),
            list_seq: Cell::new(None),
            max_deferral_seconds: config.fleet.as_ref().map_or(0.0, |fleet_config| fleet_config.hold_most_s),
            watch_ended: Cell::new(false),
            log_actions: config.fleet.as_ref().is_some_and(|fleet_config| fleet_config.history),
        }
    }

    /// Starts the member, if this dispatcher is one. It opens its record once the process that holds
    /// the record releases it.
    pub fn start_member(&self, config: &Config) {
        let Some(fleet_config) = &config.fleet else { return };
        let member_settings = runtime::Settings {
            config: fleet_config.clone(),
            name: config.name.clone(),
            state_dir: config.state_dir.clone(),
        };
        let duties = DutySettings { rules: duty_rules(), ..DutySettings::from_config(fleet_config) };
        let create_duties = move || Duties::new(duties.clone(), fastrand::u64(..u64::MAX / 2));
        match runtime::spawn(member_settings, create_duties, self.update_sender.clone()) {
            Ok(member) => drop(self.member.replace(Some(member))),
            Err(error) => log::info_limited(format_args!(
                "fleet: cannot start the member thread: {error}; continuing without the fleet"
            )),
        }
    }

    fn report(&self, duty_report: DutyReport) {
        if let Some(member) = &*self.member.borrow() {
            member.send(duty_report);
        }
    }

    /// Reports that the decision core considers a destination unavailable, or available again.
    pub fn set_unavailable(&self, node: &Node, destination: u32, unavailable: bool) {
        if self.member.borrow().is_none()
            || node.directory.borrow().has_independent_endpoints(&node.config, destination)
        {
            return;
        }
        if unavailable {
            self.outages.borrow_mut().entry(destination).or_insert(TrialPermission::Unrestricted);
            self.report(DutyReport::Destination(DestinationReport::Unavailable(destination)));
        } else if self.outages.borrow_mut().remove(&destination).is_some() {
            self.report(DutyReport::Destination(DestinationReport::InService(destination)));
        }
    }

    /// Reports how a call or a probe at a destination ended.
    pub fn report_outcomes(&self, destination: u32, outcomes: impl IntoIterator<Item = Outcome>) {
        if !self.outages.borrow().contains_key(&destination) {
            return;
        }
        for outcome in outcomes {
            match outcome {
                Outcome::Served => {
                    self.report(DutyReport::Destination(DestinationReport::CallServed(destination)))
                }
                Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                    self.report(DutyReport::Destination(DestinationReport::CallFailed(destination)));
                }
                _ => {}
            }
        }
    }

    /// Another member, which makes the attempts for this one, has found a destination still
    /// unavailable: handled like a failed probe of this dispatcher. Otherwise the decision core would
    /// date the recovery from its own last failure, and send too much too soon.
    fn still_unavailable(&self, node: &Node, destination: u32) {
        if !matches!(self.outages.borrow().get(&destination), Some(TrialPermission::Deferred(_))) {
            return;
        }
        let endpoint = node.directory.borrow().any_endpoint_of(destination);
        let (outcome, latency, rate_limit_report) = (Outcome::ConnectionReset, 0.0, None);
        endpoint.inspect(|at| {
            node.send_event(Event::ProbeEnded { endpoint: *at, outcome, latency, rate_limit_report })
        });
    }

    /// Reports that the discovery watch has ended.
    pub fn list_failed(&self) {
        self.watch_ended.set(true);
        self.report(DutyReport::DiscoveryFailed);
    }

    /// Reports that a list has arrived.
    pub fn list_received(&self, seq: u64) {
        self.list_seq.set(Some(seq));
        self.watch_ended.set(false);
        self.report(DutyReport::ListReceived(seq));
    }

    /// Reports a keep-alive of the watch: discovery is available, and the list has not changed.
    pub fn watch_alive(&self, seq: u64) {
        if self.watch_ended.get() {
            self.list_received(seq);
        }
    }

    /// Whether a call may go to a destination now. A holder checks its term here, right before the
    /// action.
    pub fn may_send(&self, destination: u32) -> bool {
        let Some(trial_permission) = self.outages.borrow().get(&destination).copied() else { return true };
        let now = clock::now();
        match permission(trial_permission, now, self.max_deferral_seconds) {
            Permission::Holder(epoch) if self.log_actions => {
                log::info(format_args!(
                    "fleet: {:.6} acts tries/{destination} epoch {epoch}",
                    clock::to_machine_time(now)
                ));
                true
            }
            Permission::Holder(_) | Permission::Unrestricted => true,
            Permission::Restricted => false,
        }
    }

    /// Applies restrictions that have begun or ended.
    pub fn refresh(&self, node: &Node) {
        if self.outages.borrow().is_empty() && self.restricted.borrow().is_empty() {
            return;
        }
        let now = clock::now();
        let is_restricted = |trial_permission: &TrialPermission| {
            permission(*trial_permission, now, self.max_deferral_seconds) == Permission::Restricted
        };
        let to_restrict: BTreeSet<u32> = self
            .outages
            .borrow()
            .iter()
            .filter(|(_, trial_permission)| is_restricted(trial_permission))
            .map(|(destination, _)| *destination)
            .collect();
        if *self.restricted.borrow() != to_restrict {
            self.set_restricted(node, to_restrict)
                .into_iter()
                .for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// Restricts these destinations and no others; returns the changed entries of the list.
    fn set_restricted(&self, node: &Node, to_restrict: BTreeSet<u32>) -> Vec<Vec<EndpointEntry>> {
        let previous = self.restricted.replace(to_restrict.clone());
        let mut directory = node.directory.borrow_mut();
        let changed = previous.symmetric_difference(&to_restrict);
        let entries = changed
            .map(|destination| directory.set_restricted(*destination, to_restrict.contains(destination)));
        entries.filter(|entries| !entries.is_empty()).collect()
    }

    /// Lifts all restrictions and releases the member's record: another process of this dispatcher
    /// continues.
    pub fn stop_member(&self, node: &Node) {
        if let Some(member) = self.member.take() {
            member.stop();
        }
        for entries in self.lift_all(node) {
            node.dispatcher.borrow_mut().handle(node.now(), Event::ListUpdate(entries));
        }
    }

    /// Lifts all restrictions; returns the changed entries of the list.
    fn lift_all(&self, node: &Node) -> Vec<Vec<EndpointEntry>> {
        self.outages.borrow_mut().clear();
        self.set_restricted(node, BTreeSet::new())
    }

    /// Restarts the member, since the other process has not taken over.
    pub fn resume(&self, node: &Node) {
        self.start_member(&node.config);
        let outages: Vec<u32> = node.journal.borrow().outages().collect();
        outages.into_iter().for_each(|destination| self.set_unavailable(node, destination, true));
    }

    /// Leaves the fleet at shutdown: the member's duties are passed on, and the dispatcher does the
    /// rest on its own.
    pub async fn leave_fleet(&self, node: &Node) {
        let member = self.member.take();
        if let Some(member) = member {
            member.leave().await;
            self.lift_all(node).into_iter().for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// The state of the fleet, as this member sees it, as JSON.
    ///
    /// # Errors
    /// If this dispatcher is no member, or the member does not answer.
    pub async fn status(&self) -> Result<String, String> {
        let member = self.member.borrow().clone().ok_or("this dispatcher is no member of a fleet")?;
        member.status(STATUS_TIMEOUT).await.ok_or_else(|| "the member does not answer".into())
    }
}

/// Processes the member's updates for as long as the process runs.
pub async fn process_updates(node: Rc<Node>) {
    let Some(mut updates) = node.fleet.updates.take() else { return };
    while let Some(update) = updates.recv().await {
        if node.serving_state.phase() != Phase::Serving {
            continue;
        }
        let constraints = &node.fleet;
        match update {
            DutyEvent::Started => {
                // A member that has just started does not know what was reported before.
                let outages: Vec<u32> = constraints.outages.borrow().keys().copied().collect();
                outages.iter().for_each(|destination| {
                    constraints.report(DutyReport::Destination(DestinationReport::Unavailable(*destination)))
                });
                constraints
                    .list_seq
                    .get()
                    .into_iter()
                    .for_each(|seq| constraints.report(DutyReport::ListReceived(seq)));
            }
            DutyEvent::TrialPermission(destination, trial_permission) => {
                if let Some(current) = constraints.outages.borrow_mut().get_mut(&destination) {
                    *current = trial_permission;
                }
                constraints.refresh(&node);
            }
            // Where the list is pushed and no watch is open, it is being asked for already.
            DutyEvent::PollDiscovery if node.config.is_list_pushed() && constraints.watch_ended.get() => {}
            DutyEvent::PollDiscovery => node.resubscribe.notify_one(),
            DutyEvent::Granted(duty, epoch, holder) => {
                let holder_name = holder.map_or("nobody".into(), |id| format!("{id:016x}"));
                log::info(format_args!(
                    "fleet: {:.6} given {duty} epoch {epoch} to {holder_name}",
                    clock::to_machine_time(clock::now())
                ));
            }
            DutyEvent::Rejected(duty, epoch, current_epoch) => {
                log::info(format_args!(
                    "fleet: {:.6} refused {duty} epoch {epoch}, {current_epoch} is given",
                    clock::now()
                ));
            }
            DutyEvent::Updated(duty, epoch, holder_update) => {
                if constraints.log_actions {
                    log::info(format_args!(
                        "fleet: {:.6} told {duty} epoch {epoch} {holder_update:?}",
                        clock::now()
                    ));
                }
                if let (DutyId::Trials(destination), HolderUpdate::Out) = (duty, holder_update) {
                    constraints.still_unavailable(&node, destination);
                }
            }
            DutyEvent::Acted(duty, epoch, at) if constraints.log_actions => {
                log::info(format_args!("fleet: {:.6} acts {duty} epoch {epoch}", clock::to_machine_time(at)));
            }
            DutyEvent::Acted(..) => {}
        }
    }
}

/// All safety rules. With the feature `planted`, which is for tests only, the rule that an
/// environment variable names is disabled.
fn duty_rules() -> fawnspoke_duty::SafetyRules {
    #[cfg(feature = "planted")]
    if let Some(rules) =
        std::env::var("FAWNSPOKE_PLANTED").ok().and_then(|name| fawnspoke_duty::SafetyRules::without(&name))
    {
        return rules;
    }
    fawnspoke_duty::SafetyRules::default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_restriction_that_is_not_renewed_expires() {
        let restricted_at = |at| permission(TrialPermission::Deferred(10.0), at, 3.0);
        assert_eq!(
            (restricted_at(9.9), restricted_at(10.0)),
            (Permission::Restricted, Permission::Unrestricted)
        );
        let holder_at = |at| permission(TrialPermission::Holder(4, 10.0), at, 3.0);
        assert_eq!(
            (holder_at(9.9), holder_at(10.0), holder_at(12.9), holder_at(13.0)),
            (Permission::Holder(4), Permission::Restricted, Permission::Restricted, Permission::Unrestricted)
        );
        assert_eq!(permission(TrialPermission::Unrestricted, 0.0, 3.0), Permission::Unrestricted);
    }
}
