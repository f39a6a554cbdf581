//! All duties of one member, as a state machine over the replicated log.
//!
//! Input: agreed entries, confirmations of renewal requests, leadership changes, and reports from the dispatcher.
//! Output: entries to propose, grants by the leader, and events for the dispatcher. A member publishes updates about
//! a duty only while its lease term is valid.

use crate::discovery_polling::DiscoveryPolling;
use crate::granter::LeaseGranter;
use crate::lease_table::{ApplyResult, DutyId, Entry, HolderUpdate, LeaseTable, MAX_REQUESTERS};
use crate::lease_term::LeaseTerm;
use crate::trials::{self, TrialCoordinator};
use crate::{MemberId, SafetyRules, Seconds};
use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::state_machine::{Decisions, MemberView, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A proposal that has not been applied after this share of a lease term is sent again.
const RETRY_TERM_SHARE: f64 = 0.3;

/// Reports from the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DutyReport {
    /// About the state of a destination.
    Destination(trials::DestinationReport),
    /// The discovery subscription has ended or was rejected.
    DiscoveryFailed,
    /// A list with this sequence number has arrived from discovery.
    ListReceived(u64),
}

/// Events for the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DutyEvent {
    /// The duties have started; earlier reports have to be repeated.
    Started,
    /// The permission for this member's trials at a destination has changed.
    TrialPermission(u32, trials::TrialPermission),
    /// Discovery is to be polled now.
    PollDiscovery,
    /// To be logged: a duty was granted under this epoch, or lost its holder.
    Granted(DutyId, u64, Option<MemberId>),
    /// To be logged: an update by the holder was agreed.
    Updated(DutyId, u64, HolderUpdate),
    /// To be logged: an update was rejected; its epoch, and the duty's current epoch.
    Rejected(DutyId, u64, u64),
    /// To be logged: this member acted under this epoch, after checking its lease term at this time.
    Acted(DutyId, u64, Seconds),
}

/// Settings of a member's duties.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Length of a lease term, in seconds.
    pub lease_term: Seconds,
    /// Maximum relative deviation of a clock from true time.
    pub max_clock_error: f64,
    /// How long other members defer to a holder after its last update, in seconds.
    pub max_deferral: Seconds,
    /// Number of log entries after which the log is compacted.
    pub compaction_threshold: u64,
    /// Interval of the log maintenance rounds, in seconds.
    pub maintenance_interval: Seconds,
    /// All rules, except in tests.
    pub rules: SafetyRules,
}

impl DutySettings {
    /// The settings from the operators' fleet file.
    pub fn from_config(config: &FleetConfig) -> DutySettings {
        DutySettings {
            lease_term: config.term_s,
            max_clock_error: config.clock_rate,
            max_deferral: config.hold_most_s,
            compaction_threshold: config.cut_after,
            maintenance_interval: config.keeper_round_s,
            rules: SafetyRules::default(),
        }
    }
}

/// All duties of one member.
pub struct Duties {
    settings: DutySettings,
    own_id: MemberId,
    leases: LeaseTable,
    lease_term: LeaseTerm,
    granter: LeaseGranter,
    trials: TrialCoordinator,
    discovery_polling: DiscoveryPolling,
    /// Epochs of leases that this member has released: it no longer acts under them.
    released_epochs: BTreeSet<u64>,
    leaving: bool,
    /// Proposals that have not been applied yet, with the time at which each was last sent.
    proposals: BTreeMap<Proposal, Option<Seconds>>,
    updates: Vec<(DutyId, u64, HolderUpdate)>,
    completed_rounds: u64,
    next_round_at: Seconds,
    next_compaction_at: Seconds,
    events: Vec<DutyEvent>,
    compaction_due: bool,
}

/// A change of the lease table that this member proposes until it has been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proposal {
    Request(DutyId),
    Withdraw(DutyId),
    Release(DutyId, u64),
}

impl Duties {
    /// The duties of a member whose id has not been set yet. `first_renewal`: see [`LeaseTerm::new`].
    pub fn new(settings: DutySettings, first_renewal: u64) -> Duties {
        let DutySettings { lease_term, max_clock_error, max_deferral, rules, .. } = settings;
        Duties {
            own_id: 0,
            leases: LeaseTable::default(),
            lease_term: LeaseTerm::new(lease_term, rules, first_renewal),
            granter: LeaseGranter::new(lease_term, max_clock_error, rules),
            trials: TrialCoordinator::new(max_deferral),
            discovery_polling: DiscoveryPolling::new(max_deferral),
            released_epochs: BTreeSet::new(),
            leaving: false,
            proposals: BTreeMap::new(),
            updates: Vec::new(),
            completed_rounds: 0,
            next_round_at: 0.0,
            next_compaction_at: 0.0,
            events: Vec::new(),
            compaction_due: false,
            settings,
        }
    }

    /// The epoch under which this member may act on a duty now. Callers check it immediately before each action.
    pub fn active_epoch(&self, now: Seconds, duty: DutyId) -> Option<u64> {
        let lease =
            self.leases.get(duty).filter(|lease| lease.holder == Some(self.own_id) && self.own_id != 0)?;
        (self.lease_term.is_valid(now) && !self.released_epochs.contains(&lease.epoch)).then_some(lease.epoch)
    }

    /// The replicated lease table.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Queues an update for the log, if this member may act on the duty now.
    fn publish(&mut self, now: Seconds, duty: DutyId, update: HolderUpdate) {
        if let Some(epoch) = self.active_epoch(now, duty) {
            self.events.push(DutyEvent::Acted(duty, epoch, now));
            self.updates.push((duty, epoch, update));
        }
    }

    fn maintain_log(&mut self, now: Seconds, view: &MemberView) {
        if self.active_epoch(now, DutyId::LogMaintenance).is_none() {
            return;
        }
        if now >= self.next_round_at {
            self.next_round_at = now + self.settings.maintenance_interval;
            self.publish(now, DutyId::LogMaintenance, HolderUpdate::Round(self.completed_rounds + 1));
        }
        if view.log_length >= self.settings.compaction_threshold && now >= self.next_compaction_at {
            self.next_compaction_at = now + RETRY_TERM_SHARE * self.settings.lease_term;
            self.publish(now, DutyId::LogMaintenance, HolderUpdate::Cut);
        }
    }

    fn handle_result(&mut self, now: Seconds, result: ApplyResult) {
        match result {
            ApplyResult::NoChange => {}
            ApplyResult::Granted(duty, epoch, holder) => {
                self.events.push(DutyEvent::Granted(duty, epoch, holder));
                let is_own = holder.map(|holder| holder == self.own_id);
                match duty {
                    DutyId::Trials(destination) => {
                        self.trials.granted(now, destination, epoch, is_own);
                        // Granted, but no longer needed here.
                        if is_own == Some(true) && !self.trials.is_needed(destination) {
                            self.proposals.insert(Proposal::Release(duty, epoch), None);
                        }
                    }
                    DutyId::DiscoveryPolling => {}
                    DutyId::LogMaintenance => self.next_round_at = now,
                }
                if self.leaving && is_own == Some(true) {
                    self.proposals.insert(Proposal::Release(duty, epoch), None);
                }
            }
            ApplyResult::Updated(duty, epoch, update) => {
                self.events.push(DutyEvent::Updated(duty, epoch, update));
                match (duty, update) {
                    (DutyId::Trials(destination), update) => {
                        self.trials.holder_update(now, destination, update)
                    }
                    (DutyId::DiscoveryPolling, HolderUpdate::List(seq)) => {
                        self.discovery_polling.holder_update(now, seq)
                    }
                    (DutyId::LogMaintenance, HolderUpdate::Round(number)) => {
                        self.completed_rounds = self.completed_rounds.max(number)
                    }
                    (DutyId::LogMaintenance, HolderUpdate::Cut) => self.compaction_due = true,
                    _ => {}
                }
            }
            ApplyResult::Rejected(duty, epoch, current_epoch) => {
                self.events.push(DutyEvent::Rejected(duty, epoch, current_epoch))
            }
        }
    }

    /// Whether a proposal has been applied, or has become pointless.
    fn is_settled(&self, proposal: &Proposal) -> bool {
        match *proposal {
            Proposal::Request(duty) => {
                let is_full =
                    self.leases.get(duty).is_some_and(|lease| lease.requested_by.len() >= MAX_REQUESTERS);
                is_full || self.has_requested(duty)
            }
            Proposal::Withdraw(duty) => !self.has_requested(duty),
            Proposal::Release(duty, epoch) => self.leases.get(duty).is_none_or(|lease| lease.epoch != epoch),
        }
    }

    /// Whether the table records this member's request for a duty.
    fn has_requested(&self, duty: DutyId) -> bool {
        self.leases.get(duty).is_some_and(|lease| lease.requested_by.contains(&self.own_id))
    }

    /// Withdraws recorded requests that are no longer needed: made by a previous process, or obsolete as discovery
    /// answers again.
    fn withdraw_unneeded(&mut self) {
        let requested = self.leases.iter().filter(|(_, lease)| lease.requested_by.contains(&self.own_id));
        let unneeded = requested.filter(|(duty, _)| match duty {
            DutyId::Trials(destination) => !self.trials.is_needed(*destination),
            DutyId::DiscoveryPolling => !self.discovery_polling.is_needed(),
            DutyId::LogMaintenance => false,
        });
        for proposal in unneeded.map(|(duty, _)| Proposal::Withdraw(duty)).collect::<Vec<_>>() {
            self.proposals.entry(proposal).or_insert(None);
        }
    }

    /// The entries that this member proposes now.
    fn pending_entries(&mut self, now: Seconds) -> Vec<Entry> {
        let (request_changes, updates, releases) = self.trials.take_pending();
        for (destination, needed) in request_changes {
            let duty = TrialCoordinator::duty_id(destination);
            let (proposal, opposite) = match needed {
                true => (Proposal::Request(duty), Proposal::Withdraw(duty)),
                false => (Proposal::Withdraw(duty), Proposal::Request(duty)),
            };
            self.proposals.remove(&opposite);
            self.proposals.insert(proposal, None);
        }
        for (destination, epoch, update) in updates {
            if self.active_epoch(now, TrialCoordinator::duty_id(destination)) == Some(epoch) {
                self.publish(now, TrialCoordinator::duty_id(destination), update);
            }
        }
        for (destination, epoch) in releases {
            self.proposals.insert(Proposal::Release(TrialCoordinator::duty_id(destination), epoch), None);
        }
        if self.discovery_polling.is_needed() && !self.has_requested(DutyId::DiscoveryPolling) {
            self.proposals.remove(&Proposal::Withdraw(DutyId::DiscoveryPolling));
            self.proposals.entry(Proposal::Request(DutyId::DiscoveryPolling)).or_insert(None);
        }
        self.withdraw_unneeded();
        if self.leases.get(DutyId::LogMaintenance).is_none() {
            self.proposals.entry(Proposal::Request(DutyId::LogMaintenance)).or_insert(None);
        }
        self.stop_acting_on_released();
        let settled: Vec<Proposal> =
            self.proposals.keys().filter(|proposal| self.is_settled(proposal)).copied().collect();
        self.proposals.retain(|proposal, _| !settled.contains(proposal));
        let (member, retry_before) = (self.own_id, now - RETRY_TERM_SHARE * self.settings.lease_term);
        let due = self
            .proposals
            .iter_mut()
            .filter(|(_, sent_at)| sent_at.is_none_or(|sent_at| sent_at <= retry_before));
        let mut entries: Vec<Entry> = due
            .map(|(proposal, sent_at)| {
                *sent_at = Some(now);
                match *proposal {
                    Proposal::Request(duty) => Entry::Request { duty, member },
                    Proposal::Withdraw(duty) => Entry::Withdraw { duty, member },
                    Proposal::Release(duty, epoch) => Entry::Release { duty, epoch },
                }
            })
            .collect();
        let updates = std::mem::take(&mut self.updates);
        entries.extend(updates.into_iter().map(|(duty, epoch, update)| Entry::Update {
            duty,
            epoch,
            update,
        }));
        entries
    }

    /// Stops acting on a lease before its release is proposed.
    fn stop_acting_on_released(&mut self) {
        for proposal in self.proposals.keys() {
            if let Proposal::Release(_, epoch) = proposal {
                self.released_epochs.insert(*epoch);
            }
        }
        let held: BTreeSet<u64> = self.leases.held_by(self.own_id).map(|(_, epoch)| epoch).collect();
        let release_proposed = |epoch: &u64| {
            self.proposals
                .keys()
                .any(|proposal| matches!(proposal, Proposal::Release(_, released) if released == epoch))
        };
        self.released_epochs.retain(|epoch| held.contains(epoch) || release_proposed(epoch));
    }
}

impl StateMachine for Duties {
    type Input = DutyReport;
    type Event = DutyEvent;

    fn set_member_id(&mut self, own_id: MemberId) {
        self.own_id = own_id;
        self.events.push(DutyEvent::Started);
    }

    fn accepts_proposal(&self, entry: &[u8]) -> bool {
        postcard::from_bytes::<Entry>(entry).is_ok_and(|entry| !matches!(entry, Entry::Grant { .. }))
    }

    fn apply_entry(&mut self, now: Seconds, _index: u64, entry: &[u8]) {
        let Ok(entry) = postcard::from_bytes::<Entry>(entry) else { return };
        if let Entry::Release { duty, epoch } = entry
            && let Some(lease) = self.leases.get(duty).filter(|lease| lease.epoch == epoch)
            && let Some(holder) = lease.holder
        {
            let still_requested = !matches!(duty, DutyId::Trials(_)) || lease.requested_by.contains(&holder);
            if still_requested {
                self.granter.duty_released(now, holder);
            }
        }
        let result = self.leases.apply(&entry, self.settings.rules);
        self.handle_result(now, result);
    }

    fn member_removed(&mut self, member: MemberId) {
        self.leases.remove_member(member);
    }

    fn applied_up_to(&mut self, index: u64) {
        self.lease_term.log_applied(index);
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.leases).unwrap_or_default()
    }

    fn restore(&mut self, now: Seconds, snapshot: &[u8]) -> bool {
        let Ok(restored) = postcard::from_bytes::<LeaseTable>(snapshot) else { return false };
        let previous = std::mem::replace(&mut self.leases, restored);
        let changed: Vec<ApplyResult> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.epoch > 0)
            .filter(|(duty_id, lease)| {
                previous.get(*duty_id).is_none_or(|previous| previous.epoch != lease.epoch)
            })
            .map(|(duty_id, lease)| ApplyResult::Granted(duty_id, lease.epoch, lease.holder))
            .collect();
        changed.into_iter().for_each(|result| self.handle_result(now, result));
        if let Some(HolderUpdate::Round(number)) =
            self.leases.get(DutyId::LogMaintenance).and_then(|lease| lease.latest_update)
        {
            self.completed_rounds = self.completed_rounds.max(number);
        }
        true
    }

    fn confirmation_request(&mut self, now: Seconds) -> Option<u64> {
        if self.leaving { None } else { self.lease_term.next_renewal(now) }
    }

    fn leadership_confirmed(&mut self, now: Seconds, renewal: u64, required_index: u64) {
        self.lease_term.renewal_confirmed(now, renewal, required_index);
    }

    fn leadership_changed(&mut self, now: Seconds, is_leader: bool) {
        self.granter.set_leading(now, is_leader);
    }

    fn request_received(&mut self, now: Seconds, from: MemberId) {
        self.granter.renewal_received(now, from);
    }

    fn lease_expired(&self, now: Seconds, member: MemberId) -> bool {
        self.granter.has_expired(now, member)
    }

    fn release_all(&mut self, _now: Seconds) {
        self.leaving = true;
        let held: Vec<_> = self.leases.held_by(self.own_id).collect();
        self.proposals.extend(held.into_iter().map(|(duty, epoch)| (Proposal::Release(duty, epoch), None)));
        self.stop_acting_on_released();
    }

    fn has_released_all(&self) -> bool {
        self.leases.held_by(self.own_id).next().is_none()
    }

    fn handle_input(&mut self, now: Seconds, report: DutyReport) {
        match report {
            DutyReport::Destination(report) => {
                self.trials.handle_report(now, report);
                // Others may have detected the outage earlier, and the duty may have been granted already.
                if let trials::DestinationReport::Unavailable(destination) = report
                    && let Some(lease) = self.leases.get(TrialCoordinator::duty_id(destination))
                    && let Some(holder) = lease.holder
                {
                    self.trials.already_granted(now, destination, lease.epoch, holder == self.own_id);
                }
            }
            DutyReport::DiscoveryFailed => self.discovery_polling.discovery_failed(),
            DutyReport::ListReceived(seq) => self.discovery_polling.list_received(seq),
        }
    }

    fn decide(&mut self, now: Seconds, view: &MemberView) -> Decisions<DutyEvent> {
        if view.members.0.contains_key(&self.own_id) {
            self.maintain_log(now, view);
            self.trials.release_idle(now);
            // Lists are announced only while some member cannot reach discovery.
            let is_requested =
                self.leases.get(DutyId::DiscoveryPolling).is_some_and(|lease| !lease.requested_by.is_empty());
            if let Some(seq) = self.discovery_polling.take_update().filter(|_| is_requested) {
                self.publish(now, DutyId::DiscoveryPolling, HolderUpdate::List(seq));
            }
        }
        let mut entries = self.pending_entries(now);
        if !view.members.0.contains_key(&self.own_id) {
            entries.clear();
        }
        let grants = self.granter.decide_grants(now, &self.leases, view.members);
        let permissions = self.trials.changed_permissions(now, self.lease_term.expires_at());
        self.events.extend(
            permissions
                .into_iter()
                .map(|(destination, permission)| DutyEvent::TrialPermission(destination, permission)),
        );
        if self.discovery_polling.take_poll_request(now) {
            self.events.push(DutyEvent::PollDiscovery);
        }
        Decisions {
            proposals: entries.iter().filter_map(|entry| postcard::to_stdvec(entry).ok()).collect(),
            leader_proposals: grants.iter().filter_map(|entry| postcard::to_stdvec(entry).ok()).collect(),
            events: std::mem::take(&mut self.events),
            compact: std::mem::take(&mut self.compaction_due),
        }
    }

    fn status(&self, now: Seconds, view: &MemberView) -> serde_json::Value {
        let member_name = |id: MemberId| view.members.0.get(&id).map(|member| member.name.clone());
        let duties: Vec<_> = self
            .leases
            .iter()
            .map(|(duty, lease)| {
                serde_json::json!({
                    "name": duty.to_string(), "epoch": lease.epoch, "holder": lease.holder.and_then(member_name),
                    "mine": self.active_epoch(now, duty).is_some(), "wanted": lease.requested_by.len(),
                    "word": lease.latest_update.map(|update| format!("{update:?}")),
                })
            })
            .collect();
        let remaining = self.lease_term.expires_at() - now;
        serde_json::json!({
            "term_left_s": remaining.is_finite().then(|| remaining.max(0.0)), "duties": duties, "rounds": self.completed_rounds,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnspoke_cluster::members::{Change, Members};

    fn settings() -> DutySettings {
        let rules = SafetyRules::default();
        DutySettings {
            lease_term: 3.0,
            max_clock_error: 0.02,
            max_deferral: 3.0,
            compaction_threshold: 100,
            maintenance_interval: 1000.0,
            rules,
        }
    }

    /// Member 1 of a fleet of two.
    struct TestMember {
        duties: Duties,
        members: Members,
        log_index: u64,
    }

    impl TestMember {
        fn new() -> TestMember {
            let mut members = Members::default();
            for id in [1, 2] {
                members.apply(&Change::Join { id, name: format!("n{id}") });
            }
            let mut duties = Duties::new(settings(), 0);
            duties.set_member_id(1);
            TestMember { duties, members, log_index: 0 }
        }

        fn apply_agreed(&mut self, now: Seconds, entry: Entry) {
            self.log_index += 1;
            self.duties.apply_entry(now, self.log_index, &postcard::to_stdvec(&entry).unwrap());
            self.duties.applied_up_to(self.log_index);
        }

        fn decide(&mut self, now: Seconds) -> (Vec<Entry>, Vec<DutyEvent>) {
            let view =
                MemberView { id: 1, name: "n1", leader: Some(2), members: &self.members, log_length: 0 };
            let decisions = self.duties.decide(now, &view);
            let decode = |entry: &Vec<u8>| postcard::from_bytes(entry).unwrap();
            (decisions.proposals.iter().map(decode).collect(), decisions.events)
        }

        /// Extends the lease term to three seconds from `now`.
        fn renew_term(&mut self, now: Seconds) {
            let renewal = self.duties.confirmation_request(now).unwrap();
            self.duties.leadership_confirmed(now, renewal, self.log_index);
        }
    }

    const TRIALS: DutyId = DutyId::Trials(7);

    #[test]
    fn grants_cannot_be_proposed_by_other_members() {
        let duties = Duties::new(settings(), 0);
        let proposable = |entry: Entry| duties.accepts_proposal(&postcard::to_stdvec(&entry).unwrap());
        assert!(
            proposable(Entry::Request { duty: TRIALS, member: 1 })
                && proposable(Entry::Release { duty: TRIALS, epoch: 1 })
        );
        assert!(
            !proposable(Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(1) })
                && !duties.accepts_proposal(b"\xff\xff")
        );
    }

    #[test]
    fn a_member_that_detects_an_outage_late_defers_too() {
        let mut member = TestMember::new();
        member.apply_agreed(1.0, Entry::Request { duty: TRIALS, member: 2 });
        member.apply_agreed(1.0, Entry::Grant { duty: TRIALS, expected_epoch: 0, holder: Some(2) });
        member.decide(1.0);
        member.duties.handle_input(2.0, DutyReport::Destination(trials::DestinationReport::Unavailable(7)));
        let (entries, events) = member.decide(2.0);
        assert!(entries.contains(&Entry::Request { duty: TRIALS, member: 1 }), "{entries:?}");
        assert!(
            events.contains(&DutyEvent::TrialPermission(7, trials::TrialPermission::Deferred(5.0))),
            "{events:?}"
        );
    }

    #[test]
    fn requests_of_a_previous_run_are_withdrawn() {
        let mut member = TestMember::new();
        member.apply_agreed(1.0, Entry::Request { duty: TRIALS, member: 1 });
        assert!(member.decide(1.0).0.contains(&Entry::Withdraw { duty: TRIALS, member: 1 }));
        member.apply_agreed(1.1, Entry::Withdraw { duty: TRIALS, member: 1 });
        assert!(!member.decide(9.0).0.iter().any(|entry| matches!(entry, Entry::Withdraw { .. })));
    }

    #[test]
    fn a_working_discovery_causes_no_log_entries() {
        let mut member = TestMember::new();
        member.apply_agreed(1.0, Entry::Request { duty: DutyId::LogMaintenance, member: 1 });
        member.duties.handle_input(1.0, DutyReport::DiscoveryFailed);
        assert!(member.decide(1.0).0.contains(&Entry::Request { duty: DutyId::DiscoveryPolling, member: 1 }));
        member.apply_agreed(1.1, Entry::Request { duty: DutyId::DiscoveryPolling, member: 1 });
        member.apply_agreed(
            1.1,
            Entry::Grant { duty: DutyId::DiscoveryPolling, expected_epoch: 0, holder: Some(1) },
        );
        member.renew_term(1.2);
        // While discovery is silent the holder has nothing to tell.
        let has_update =
            |entries: &[Entry]| entries.iter().any(|entry| matches!(entry, Entry::Update { .. }));
        assert!(!has_update(&member.decide(1.2).0) && !has_update(&member.decide(1.9).0));
        // Discovery answers, with no change.
        member.duties.handle_input(2.0, DutyReport::ListReceived(4));
        let withdraw = Entry::Withdraw { duty: DutyId::DiscoveryPolling, member: 1 };
        let announcement =
            Entry::Update { duty: DutyId::DiscoveryPolling, epoch: 1, update: HolderUpdate::List(4) };
        assert_eq!(member.decide(2.0).0, [withdraw, announcement]);
        member.apply_agreed(2.1, withdraw);
        for tick in 0..40 {
            let now = 2.5 + f64::from(tick);
            member.renew_term(now);
            member.duties.handle_input(now, DutyReport::ListReceived(5 + tick as u64));
            assert_eq!(member.decide(now).0, []);
        }
    }

    #[test]
    fn a_released_duty_is_not_acted_on_before_the_release_is_agreed() {
        let mut member = TestMember::new();
        member.apply_agreed(1.0, Entry::Request { duty: DutyId::LogMaintenance, member: 1 });
        member.apply_agreed(
            1.0,
            Entry::Grant { duty: DutyId::LogMaintenance, expected_epoch: 0, holder: Some(1) },
        );
        member.renew_term(1.1);
        assert_eq!(member.duties.active_epoch(1.2, DutyId::LogMaintenance), Some(1));
        member.duties.release_all(1.3);
        assert_eq!(member.duties.active_epoch(1.3, DutyId::LogMaintenance), None);
        assert!(member.decide(1.3).0.contains(&Entry::Release { duty: DutyId::LogMaintenance, epoch: 1 }));
    }
}
