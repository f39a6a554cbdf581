//! The one place where parts outside of the decisions meet the rounds: they get facts and the time, and give bounds back.
//! A bound holds back or hastens, and ends by itself; nothing here waits for a part.

use crate::config::Config;
use crate::serving::Phase;
use crate::{Node, log};
use fawnspoke_cluster::clock;
use fawnspoke_cluster::runtime::{self, MemberHandle};
use fawnspoke_duty::Seconds as BootSeconds;
use fawnspoke_duty::discovery_polling::PollingRate;
use fawnspoke_duty::duties::{Duties, DutyEvent, DutyReport, Settings};
use fawnspoke_duty::lease_table::{DutyId, HolderUpdate};
use fawnspoke_duty::trials::{DestinationReport, TrialPermission};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use waydoor::{EndpointEntry, Event, Outcome};

/// The thread answers an operator by then, or the answer is no.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// What binds this dispatcher, and the parts that say so. Without the fleet's file there are none.
pub struct FleetConstraints {
    member: RefCell<Option<MemberHandle<DutyReport>>>,
    update_sender: UnboundedSender<DutyEvent>,
    updates: RefCell<Option<UnboundedReceiver<DutyEvent>>>,
    /// Destinations that are out for the decisions, and what binds tries there.
    outages: RefCell<BTreeMap<u32, TrialPermission>>,
    /// Destinations held back now.
    restricted: RefCell<BTreeSet<u32>>,
    discovery_pace: Cell<PollingRate>,
    list_seq: Cell<Option<u64>>,
    /// How long a bound holds back that nobody renews.
    max_hold_seconds: BootSeconds,
    /// Discovery's watch has ended, and nothing has come since.
    watch_ended: Cell<bool>,
    /// Each act under a duty is a line in the log.
    log_actions: bool,
}

/// What a bound lets this dispatcher do now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Permission {
    /// As alone.
    Unrestricted,
    /// Nothing goes there.
    Restricted,
    /// It tries for all, under this epoch.
    Holder(u64),
}

/// A bound ends by itself, also where the member's thread has ended with it: a holder whose term is over holds back for as
/// long as others would, and is alone then.
fn permission(bound: TrialPermission, now: BootSeconds, max_hold_seconds: BootSeconds) -> Permission {
    match bound {
        TrialPermission::Holder(epoch, until) if now < until => Permission::Holder(epoch),
        TrialPermission::Holder(_, until) if now < until + max_hold_seconds => Permission::Restricted,
        TrialPermission::Deferred(until) if now < until => Permission::Restricted,
        _ => Permission::Unrestricted,
    }
}

impl FleetConstraints {
    /// None are in force.
    pub fn new(config: &Config) -> FleetConstraints {
        let (update_sender, updates) = unbounded_channel();
        FleetConstraints {
            member: RefCell::default(),
            update_sender,
            updates: RefCell::new(Some(updates)),
            outages: RefCell::default(),
            restricted: RefCell::default(),
            discovery_pace: Cell::new(PollingRate::Normal),
            list_seq: Cell::new(None),
            max_hold_seconds: config.fleet.as_ref().map_or(0.0, |file| file.hold_most_s),
            watch_ended: Cell::new(false),
            log_actions: config.fleet.as_ref().is_some_and(|file| file.history),
        }
    }

    /// Begins the member, where this dispatcher is to be one. It takes its record once whoever has it lets it go.
    pub fn start_member(&self, config: &Config) {
        let Some(file) = &config.fleet else { return };
        let member_settings = runtime::Settings {
            config: file.clone(),
            name: config.name.clone(),
            state_dir: config.state_dir.clone(),
        };
        let duties = Settings { rules: duty_rules(), ..Settings::from_file(file) };
        let create_duties = move || Duties::new(duties.clone(), fastrand::u64(..u64::MAX / 2));
        match runtime::spawn(member_settings, create_duties, self.update_sender.clone()) {
            Ok(member) => drop(self.member.replace(Some(member))),
            Err(error) => {
                log::info_limited(format_args!("fleet: no thread: {error}; this dispatcher is alone"))
            }
        }
    }

    fn report(&self, fact: DutyReport) {
        if let Some(member) = &*self.member.borrow() {
            member.send(fact);
        }
    }

    /// The decisions take a destination for out, or no more.
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

    /// How a call or a probe ended at a destination.
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

    /// Another member, which tries for this one, has found a destination out still: as if a probe of the own had failed.
    /// Without it the decisions would date its return by their own last failure, and fill it too fast.
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

    /// Discovery's watch has ended.
    pub fn list_failed(&self) {
        self.watch_ended.set(true);
        self.report(DutyReport::DiscoveryFailed);
    }

    /// A list has come.
    pub fn list_received(&self, seq: u64) {
        self.list_seq.set(Some(seq));
        self.watch_ended.set(false);
        self.report(DutyReport::ListReceived(seq));
    }

    /// A watch brought a sign of life: discovery answers, and has nothing new.
    pub fn watch_alive(&self, seq: u64) {
        if self.watch_ended.get() {
            self.list_received(seq);
        }
    }

    /// Whether a call may go to a destination now. A holder looks at its term here, right before the act.
    pub fn may_send(&self, destination: u32) -> bool {
        let Some(bound) = self.outages.borrow().get(&destination).copied() else { return true };
        let now = clock::now();
        match permission(bound, now, self.max_hold_seconds) {
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

    /// Whether discovery is asked slowly now, because another member asks: how long to wait.
    pub fn discovery_interval(&self) -> Option<Duration> {
        match self.discovery_pace.get() {
            PollingRate::Reduced(interval, until) if clock::now() < until => {
                Some(Duration::from_secs_f64(interval))
            }
            _ => None,
        }
    }

    /// Puts bounds that have begun or ended in force.
    pub fn refresh(&self, node: &Node) {
        if self.outages.borrow().is_empty() && self.restricted.borrow().is_empty() {
            return;
        }
        let now = clock::now();
        let is_restricted = |bound: &TrialPermission| {
            permission(*bound, now, self.max_hold_seconds) == Permission::Restricted
        };
        let to_restrict: BTreeSet<u32> = self
            .outages
            .borrow()
            .iter()
            .filter(|(_, bound)| is_restricted(bound))
            .map(|(destination, _)| *destination)
            .collect();
        if *self.restricted.borrow() != to_restrict {
            self.set_restricted(node, to_restrict)
                .into_iter()
                .for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// Holds back these destinations and no others; what that changes in the list.
    fn set_restricted(&self, node: &Node, to_restrict: BTreeSet<u32>) -> Vec<Vec<EndpointEntry>> {
        let previous = self.restricted.replace(to_restrict.clone());
        let mut directory = node.directory.borrow_mut();
        let changed = previous.symmetric_difference(&to_restrict);
        let entries = changed
            .map(|destination| directory.set_restricted(*destination, to_restrict.contains(destination)));
        entries.filter(|entries| !entries.is_empty()).collect()
    }

    /// Lifts all bounds, and lets the member's record go: another process of this dispatcher goes on.
    pub fn stop_member(&self, node: &Node) {
        if let Some(member) = self.member.take() {
            member.stop();
        }
        for entries in self.lift_all(node) {
            node.dispatcher.borrow_mut().handle(node.now(), Event::ListUpdate(entries));
        }
    }

    /// No bound is in force any more; what that changes in the list.
    fn lift_all(&self, node: &Node) -> Vec<Vec<EndpointEntry>> {
        self.outages.borrow_mut().clear();
        self.discovery_pace.set(PollingRate::Normal);
        self.set_restricted(node, BTreeSet::new())
    }

    /// The other process has not taken over: the member goes on here.
    pub fn resume(&self, node: &Node) {
        self.start_member(&node.config);
        let outages: Vec<u32> = node.journal.borrow().outages().collect();
        outages.into_iter().for_each(|destination| self.set_unavailable(node, destination, true));
    }

    /// The dispatcher stops: what its member holds is given on, and it does the rest as alone.
    pub async fn leave_fleet(&self, node: &Node) {
        let member = self.member.take();
        if let Some(member) = member {
            member.leave().await;
            self.lift_all(node).into_iter().for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// How the fleet is, as this member sees it: JSON.
    ///
    /// # Errors
    /// Where there is none, or it does not answer.
    pub async fn status(&self) -> Result<String, String> {
        let member = self.member.borrow().clone().ok_or("this dispatcher is no member of a fleet")?;
        member.status(STATUS_TIMEOUT).await.ok_or_else(|| "the member does not answer".into())
    }
}

/// Hears what parts have to say, for as long as the process runs.
pub async fn process_updates(node: Rc<Node>) {
    let Some(mut updates) = node.fleet.updates.take() else { return };
    while let Some(update) = updates.recv().await {
        if node.serving_state.phase() != Phase::Serving {
            continue;
        }
        let constraints = &node.fleet;
        match update {
            DutyEvent::Started => {
                // It has forgotten what it was told.
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
            DutyEvent::TrialPermission(destination, bound) => {
                if let Some(current) = constraints.outages.borrow_mut().get_mut(&destination) {
                    *current = bound;
                }
                constraints.refresh(&node);
            }
            DutyEvent::PollingRate(pace) => constraints.discovery_pace.set(pace),
            DutyEvent::PollDiscovery => node.resubscribe.notify_one(),
            DutyEvent::Granted(name, epoch, holder) => {
                let holder_name = holder.map_or("nobody".into(), |id| format!("{id:016x}"));
                log::info(format_args!(
                    "fleet: {:.6} given {name} epoch {epoch} to {holder_name}",
                    clock::to_machine_time(clock::now())
                ));
            }
            DutyEvent::Rejected(name, epoch, current_epoch) => {
                log::info(format_args!(
                    "fleet: {:.6} refused {name} epoch {epoch}, {current_epoch} is given",
                    clock::now()
                ));
            }
            DutyEvent::Updated(name, epoch, word) => {
                if constraints.log_actions {
                    log::info(format_args!("fleet: {:.6} told {name} epoch {epoch} {word:?}", clock::now()));
                }
                if let (DutyId::Trials(destination), HolderUpdate::Out) = (name, word) {
                    constraints.still_unavailable(&node, destination);
                }
            }
            DutyEvent::Acted(name, epoch, at) if constraints.log_actions => {
                log::info(format_args!("fleet: {:.6} acts {name} epoch {epoch}", clock::to_machine_time(at)));
            }
            DutyEvent::Acted(..) => {}
        }
    }
}

/// All rules hold; with the feature `planted`, which is for tests alone, all but the one that a variable names.
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
    fn a_restriction_expires_though_nobody_lifts_it() {
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
