//! One member of the fleet without I/O. Times, frames and the dispatcher's reports go in; records to persist, frames to
//! send and events for the dispatcher come out.
//!
//! The caller has to keep this order: [`Core::take_records`], persist them, [`Core::records_persisted`], send
//! [`Core::take_frames`]. A frame that is sent before the records are synced could acknowledge what a crash then loses.

use crate::config::{ELECTION_TICKS, FleetConfig, MAX_MEMBERS};
use crate::identity::{Identity, LogPosition};
use crate::leadership_confirmation::Confirmations;
use crate::members::{Change, ChangeContext, Members, caught_up};
use crate::memory_log::{ENTRY_OVERHEAD_BYTES, MemoryLog};
use crate::raft_types::{ConfState, Entry, HardState, MAX_ENTRIES_PER_MESSAGE, Message, Snapshot};
use crate::record_checks::RecordChecks;
use crate::state_machine::{MemberView, StateMachine};
use crate::store::Record;
use crate::wire::{Frame, Rejection};
use crate::{MemberId, Seconds};
use raft::prelude::{ConfChange, ConfChangeType, EntryType, MessageType};
use raft::{Config, RawNode, Ready, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of ticks that are made up for after the thread was stalled.
const MAX_CATCH_UP_TICKS: u32 = 2;
/// Maximum size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// Maximum number of append messages in flight to one member.
const MAX_INFLIGHT_MESSAGES: usize = 32;
/// Maximum size of the proposed entries that are not committed; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;
/// Number of ticks after which a sent snapshot is assumed to be delivered, so that the library probes whether it was.
const SNAPSHOT_TICKS: u32 = ELECTION_TICKS as u32;
/// A join request expires unless it is repeated within this many heartbeat intervals.
const JOIN_REQUEST_HEARTBEATS: f64 = 20.0;
/// Maximum size of a proposal.
const MAX_PROPOSAL_BYTES: usize = 16 << 10;

/// Why a member can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum CoreError {
    /// The Raft library rejects the persisted state.
    #[error("the replicated log: {0}")]
    Library(#[from] raft::Error),
    /// A snapshot can't be decoded.
    #[error("the snapshot can't be decoded; it may come from another program")]
    Snapshot,
}

/// The content of a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotData {
    members: Members,
    state_machine: Vec<u8>,
}

/// A member of the fleet.
pub struct Core<S: StateMachine> {
    config: Arc<FleetConfig>,
    identity: Identity,
    raft_node: RawNode<MemoryLog>,
    state_machine: S,
    members: Members,
    next_tick_at: Seconds,
    rng: fastrand::Rng,
    /// The library's output whose records are being persisted.
    pending_ready: Option<Ready>,
    frames: Vec<(MemberId, Frame)>,
    events: Vec<S::Event>,
    compaction_due: bool,
    is_leader: bool,
    /// The term in which `is_leader` was determined.
    leadership_term: u64,
    /// The election timeout in ticks, and the term for which it was drawn.
    election_timeout: Option<(u64, usize)>,
    applied: u64,
    /// As a leader: the names of those that request to join, and when they last did.
    join_requests: BTreeMap<MemberId, (String, Seconds)>,
    confirmations: Confirmations,
    record_checks: RecordChecks,
    /// The names of the members with a connection.
    connected: BTreeMap<MemberId, String>,
    /// Receivers of snapshots, with the number of ticks until delivery is assumed.
    snapshots_in_flight: BTreeMap<MemberId, u32>,
}

/// The first records of a new fleet whose only voter is this member.
pub fn bootstrap_records(
    identity: &Identity, state_machine: &impl StateMachine,
) -> Result<Vec<Record>, CoreError> {
    let mut members = Members::default();
    members.apply(&Change::Join { id: identity.id, name: identity.name.clone() });
    members.apply(&Change::Promote(identity.id));
    let data = snapshot_data(&members, state_machine)?;
    let conf_state = ConfState { voters: vec![identity.id], learners: Vec::new() };
    let hard_state = HardState { term: 1, vote: 0, commit: 1 };
    Ok(vec![
        Record::Snapshot(Snapshot { index: 1, term: 1, conf_state, data }),
        Record::HardState(hard_state),
    ])
}

fn snapshot_data(members: &Members, state_machine: &impl StateMachine) -> Result<Vec<u8>, CoreError> {
    let data = SnapshotData { members: members.clone(), state_machine: state_machine.snapshot() };
    postcard::to_stdvec(&data).map_err(|_| CoreError::Snapshot)
}

fn to_lib_change(change: &Change) -> ConfChange {
    let (kind, id) = match change {
        Change::Join { id, .. } => (ConfChangeType::AddLearnerNode, *id),
        Change::Promote(id) => (ConfChangeType::AddNode, *id),
        Change::Remove(id) => (ConfChangeType::RemoveNode, *id),
    };
    let mut lib_change = ConfChange { node_id: id, ..ConfChange::default() };
    lib_change.set_change_type(kind);
    lib_change
}

impl<S: StateMachine> Core<S> {
    /// Starts a member from its persisted records. The same seed and inputs always give the same outputs.
    ///
    /// # Errors
    /// If the records can't be used.
    pub fn new(
        config: Arc<FleetConfig>, identity: Identity, records: Vec<Record>, state_machine: S, now: Seconds,
        seed: u64,
    ) -> Result<Core<S>, CoreError> {
        let log = MemoryLog::from_records(records);
        let applied = log.snapshot.index;
        let data = log.snapshot.data.clone();
        let raft_config = Config {
            id: identity.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: 1,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut core = Core {
            raft_node: RawNode::new(&raft_config, log, &logger)?,
            config,
            identity,
            state_machine,
            members: Members::default(),
            next_tick_at: now,
            rng: fastrand::Rng::with_seed(seed),
            pending_ready: None,
            frames: Vec::new(),
            events: Vec::new(),
            compaction_due: false,
            is_leader: false,
            leadership_term: 0,
            election_timeout: None,
            applied,
            join_requests: BTreeMap::new(),
            confirmations: Confirmations::default(),
            record_checks: RecordChecks::default(),
            connected: BTreeMap::new(),
            snapshots_in_flight: BTreeMap::new(),
        };
        core.state_machine.set_member_id(core.identity.id);
        if applied > 0 {
            core.restore(now, &data)?;
        }
        core.set_election_timeout();
        Ok(core)
    }

    /// This member's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// How far this member's persisted state reaches.
    pub fn log_position(&self) -> LogPosition {
        let log = self.raft_node.store();
        LogPosition {
            term: log.hard_state.term,
            voted: log.hard_state.vote != 0,
            last_index: log.last_entry_index(),
        }
    }

    /// The members, as committed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The replicated state machine.
    pub fn state_machine(&self) -> &S {
        &self.state_machine
    }

    /// Whether this member is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The leader, as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        Some(self.raft_node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The index up to which the log is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current Raft term.
    pub fn term(&self) -> u64 {
        self.raft_node.raft.term
    }

    /// When [`Core::tick`] is due next.
    pub fn next_tick_at(&self) -> Seconds {
        self.next_tick_at
    }

    /// Whether this member takes part in Raft: see [`RecordChecks`].
    pub fn is_participating(&self) -> bool {
        self.record_checks.is_participating()
    }

    /// A connection to a member has opened. Its hello is checked against what it has acknowledged to this member.
    /// Returns another incarnation of the same name whose connection is to be closed: a name has only one connection.
    ///
    /// # Errors
    /// If the member's state directory is an older copy.
    pub fn peer_connected(
        &mut self, id: MemberId, name: &str, start_count: u64, position: &LogPosition,
    ) -> Result<Option<MemberId>, Rejection> {
        self.record_checks.verify_hello(id, start_count, position, &self.members)?;
        let previous = self
            .connected
            .iter()
            .find(|(other, other_name)| **other != id && *other_name == name)
            .map(|(other, _)| *other);
        self.connected.insert(id, name.to_string());
        Ok(previous)
    }

    /// The other side has accepted a connection that this member opened, so it has verified this member's hello. This
    /// member replies that it has verified the other side's hello too; otherwise both could wait forever for the first
    /// frame.
    pub fn peer_accepted(&mut self, id: MemberId) {
        self.record_checks.record_verified_by(id);
        self.frames.push((id, Frame::HelloVerified));
    }

    /// The connection to a member has closed.
    pub fn peer_disconnected(&mut self, id: MemberId) {
        self.connected.remove(&id);
        self.raft_node.report_unreachable(id);
    }

    /// The names of the members with a connection.
    pub fn connected_members(&self) -> &BTreeMap<MemberId, String> {
        &self.connected
    }

    /// Advances the clock to `now`.
    pub fn tick(&mut self, now: Seconds) {
        let is_participating = self.record_checks.update_participation(self.identity.id, &self.members);
        let interval = self.config.heartbeat_interval();
        let mut ticks = 0;
        while now >= self.next_tick_at {
            self.next_tick_at += interval;
            ticks += 1;
            if ticks <= MAX_CATCH_UP_TICKS && is_participating {
                self.raft_node.tick();
            }
            if ticks > MAX_CATCH_UP_TICKS {
                self.next_tick_at = self.next_tick_at.max(now);
            }
        }
        self.report_delivered_snapshots(ticks);
        self.set_election_timeout();
        let is_member = self.members.0.contains_key(&self.identity.id);
        if ticks > 0 && !is_member {
            let connected: Vec<MemberId> = self.connected.keys().copied().collect();
            self.frames.extend(connected.into_iter().map(|id| (id, Frame::Join)));
        }
        // A process that is not a member, as far as it knows, holds nothing and needs no confirmation.
        if is_member && let Some(request) = self.state_machine.confirmation_request(now) {
            match self.leader() {
                Some(id) if id == self.identity.id => self.request_confirmation(now, id, request),
                Some(id) => self.frames.push((id, Frame::ConfirmLeadership(request))),
                None => {}
            }
        }
        if self.is_leader {
            self.change_members(now);
        }
        self.decide(now);
    }

    /// Reports snapshots as delivered some ticks after they were sent. The library then probes the receiver, and sends
    /// a lost snapshot again.
    fn report_delivered_snapshots(&mut self, ticks: u32) {
        self.snapshots_in_flight
            .values_mut()
            .for_each(|remaining| *remaining = remaining.saturating_sub(ticks));
        let due: Vec<MemberId> = self
            .snapshots_in_flight
            .iter()
            .filter(|(_, remaining)| **remaining == 0)
            .map(|(id, _)| *id)
            .collect();
        for to in due {
            self.snapshots_in_flight.remove(&to);
            self.raft_node.report_snapshot(to, SnapshotStatus::Finish);
        }
    }

    /// Sets the election timeout to one drawn from this member's own seed, once for each term. The library draws a new
    /// one whenever it resets its timer, from a random generator that can't be seeded.
    fn set_election_timeout(&mut self) {
        let term = self.raft_node.raft.term;
        if self.election_timeout.is_none_or(|(drawn_for, _)| drawn_for != term) {
            self.election_timeout = Some((term, ELECTION_TICKS + self.rng.usize(0..ELECTION_TICKS)));
        }
        if let Some((_, ticks)) = self.election_timeout {
            self.raft_node.raft.set_randomized_election_timeout(ticks);
        }
    }

    /// Handles a frame from a connected member.
    pub fn receive_frame(&mut self, now: Seconds, from: MemberId, frame: Frame) {
        // A member sends frames only after it has verified this member's hello.
        self.record_checks.record_verified_by(from);
        match frame {
            Frame::Raft(message) => {
                if message.from != from
                    || message.to != self.identity.id
                    || !self.record_checks.is_participating()
                {
                    return;
                }
                if let Some(acknowledged) = message.acknowledges() {
                    self.record_checks.record_acknowledgement(from, acknowledged);
                }
                if let Ok(message) = message.to_lib() {
                    // A message that the library rejects is treated as lost.
                    let _ = self.raft_node.step(message);
                }
                self.set_election_timeout();
            }
            Frame::HelloVerified => {}
            Frame::Join => {
                if let Some(name) = self.connected.get(&from).filter(|_| self.is_leader) {
                    self.join_requests.insert(from, (name.clone(), now));
                }
            }
            Frame::ConfirmLeadership(request) => self.request_confirmation(now, from, request),
            Frame::LeadershipConfirmed { request, required_index } if self.leader() == Some(from) => {
                self.state_machine.leadership_confirmed(now, request, required_index);
            }
            Frame::LeadershipConfirmed { .. } => {}
            Frame::Propose(entry) if self.state_machine.accepts_proposal(&entry) => self.propose(entry),
            Frame::Propose(_) => {}
        }
        self.decide(now);
    }

    /// Passes a report of the dispatcher to the state machine.
    pub fn handle_input(&mut self, now: Seconds, input: S::Input) {
        self.state_machine.handle_input(now, input);
        self.decide(now);
    }

    /// Queues a confirmation request, of another member or of this one.
    fn request_confirmation(&mut self, now: Seconds, from: MemberId, request: u64) {
        if !self.is_leader || !self.members.0.contains_key(&from) {
            return;
        }
        self.state_machine.request_received(now, from);
        self.confirmations.request(from, request);
        self.start_confirmation_round(now);
    }

    /// Asks a majority whether this member still leads, on behalf of all waiting requests.
    fn start_confirmation_round(&mut self, now: Seconds) {
        if self.raft_node.raft.commit_to_current_term()
            && let Some(context) = self.confirmations.next_round(now, self.config.heartbeat_interval())
        {
            self.raft_node.read_index(context);
        }
    }

    fn answer_confirmations(&mut self, now: Seconds, context: &[u8]) {
        // Everything that this leader has granted so far is in its log at or before the last index.
        let required_index = self.raft_node.raft.raft_log.last_index();
        for (to, request) in self.confirmations.complete_round(context) {
            if to == self.identity.id {
                self.state_machine.leadership_confirmed(now, request, required_index);
            } else {
                self.frames.push((to, Frame::LeadershipConfirmed { request, required_index }));
            }
        }
        self.start_confirmation_round(now);
    }

    fn propose(&mut self, entry: Vec<u8>) {
        if self.is_leader && entry.len() <= MAX_PROPOSAL_BYTES {
            // A rejected proposal is treated as lost: whoever made it repeats it.
            let _ = self.raft_node.propose(Vec::new(), entry);
        }
    }

    fn change_members(&mut self, now: Seconds) {
        let request_timeout = JOIN_REQUEST_HEARTBEATS * self.config.heartbeat_interval();
        self.join_requests
            .retain(|id, (_, at)| now - *at < request_timeout && !self.members.0.contains_key(id));
        if self.raft_node.raft.has_pending_conf() {
            return;
        }
        let join_requests = self.join_requests.iter().map(|(id, (name, _))| (*id, name.clone())).collect();
        let (committed, own_id) = (self.raft_node.raft.raft_log.committed, self.identity.id);
        let progress = self.raft_node.raft.prs();
        let caught_up = |id: MemberId| {
            id != own_id && progress.get(id).is_some_and(|p| caught_up(p.recent_active, p.matched, committed))
        };
        let change = self.members.next_change(&ChangeContext {
            join_requests: &join_requests,
            configured_voter: &|name| self.config.member.get(name).map(|peer| peer.voter),
            lease_expired: &|id| self.state_machine.lease_expired(now, id),
            caught_up: &caught_up,
            max_members: MAX_MEMBERS,
        });
        let Some(change) = change else { return };
        if let Ok(context) = postcard::to_stdvec(&change) {
            let _ = self.raft_node.propose_conf_change(context, to_lib_change(&change));
        }
    }

    fn decide(&mut self, now: Seconds) {
        let view = MemberView {
            id: self.identity.id,
            name: &self.identity.name,
            leader: Some(self.raft_node.raft.leader_id).filter(|id| *id != 0),
            members: &self.members,
            log_length: self.raft_node.store().entry_count(),
        };
        let decisions = self.state_machine.decide(now, &view);
        self.compaction_due |= decisions.compact;
        self.events.extend(decisions.events);
        // The library may have lost the leadership, or lost and regained it, before the state machine was informed.
        let still_leads = self.is_leader
            && self.raft_node.raft.state == StateRole::Leader
            && self.raft_node.raft.term == self.leadership_term;
        for entry in decisions.leader_proposals.into_iter().filter(|_| still_leads) {
            self.propose(entry);
        }
        for entry in decisions.proposals {
            match self.leader() {
                Some(id) if id == self.identity.id => self.propose(entry),
                Some(id) => self.frames.push((id, Frame::Propose(entry))),
                None => {}
            }
        }
    }

    /// The records to persist next, and whether they must be synced. Returns nothing while earlier records are being
    /// persisted, or if there is nothing to do.
    pub fn take_records(&mut self) -> Option<(Vec<Record>, bool)> {
        if self.pending_ready.is_some() || !self.raft_node.has_ready() {
            return None;
        }
        let ready = self.raft_node.ready();
        let mut records = Vec::new();
        if !ready.snapshot().is_empty() {
            records.push(Record::Snapshot(Snapshot::from_lib(ready.snapshot())));
        }
        records.extend(ready.entries().iter().map(|entry| Record::Entry(Entry::from_lib(entry))));
        records.extend(ready.hs().map(|state| Record::HardState(HardState::from_lib(state))));
        let sync = ready.must_sync();
        self.pending_ready = Some(ready);
        Some((records, sync))
    }

    /// The records of [`Core::take_records`] are persisted: applies what is committed and releases frames for sending.
    ///
    /// # Errors
    /// If a leader's snapshot can't be decoded: the member can't go on.
    pub fn records_persisted(&mut self, now: Seconds) -> Result<(), CoreError> {
        let Some(mut ready) = self.pending_ready.take() else { return Ok(()) };
        if !ready.snapshot().is_empty() {
            let snapshot = Snapshot::from_lib(ready.snapshot());
            let (index, data) = (snapshot.index, snapshot.data.clone());
            self.raft_node.mut_store().install_snapshot(snapshot);
            self.restore(now, &data)?;
            self.applied = index;
            self.state_machine.applied_up_to(index);
        }
        for entry in ready.entries() {
            self.raft_node.mut_store().apply(Record::Entry(Entry::from_lib(entry)));
        }
        if let Some(state) = ready.hs() {
            self.raft_node.mut_store().hard_state = HardState::from_lib(state);
        }
        if let Some(soft_state) = ready.ss() {
            let is_leader = soft_state.raft_state == StateRole::Leader;
            let previous_term = std::mem::replace(&mut self.leadership_term, self.raft_node.raft.term);
            if std::mem::replace(&mut self.is_leader, is_leader) != is_leader
                || previous_term != self.leadership_term
            {
                self.confirmations.clear();
                self.join_requests.clear();
                self.state_machine.leadership_changed(now, is_leader);
            }
        }
        let reads = ready.take_read_states();
        let messages = ready.take_messages();
        let persisted_messages = ready.take_persisted_messages();
        self.send(messages.iter().chain(&persisted_messages));
        self.apply(now, ready.take_committed_entries());
        let mut light_ready = self.raft_node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.raft_node.mut_store().hard_state.commit = commit;
        }
        let messages = light_ready.take_messages();
        self.send(messages.iter());
        self.apply(now, light_ready.take_committed_entries());
        self.raft_node.advance_apply();
        for read in reads {
            self.answer_confirmations(now, &read.request_ctx);
        }
        if self.raft_node.store().snapshot_requested.take() {
            let snapshot = self.make_snapshot()?;
            self.raft_node.mut_store().prepared_snapshot = Some(snapshot);
        }
        self.set_election_timeout();
        self.decide(now);
        Ok(())
    }

    fn send<'a>(&mut self, messages: impl Iterator<Item = &'a raft::prelude::Message>) {
        let messages = messages.inspect(|message| {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_in_flight.entry(message.to).or_insert(SNAPSHOT_TICKS);
            }
        });
        let frames = messages.map(|message| (message.to, Frame::Raft(Box::new(Message::from_lib(message)))));
        self.frames.extend(frames);
    }

    fn apply(&mut self, now: Seconds, entries: Vec<raft::prelude::Entry>) {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryNormal {
                if !entry.data.is_empty() {
                    self.state_machine.apply_entry(now, entry.index, &entry.data);
                }
            } else if let Ok(change) = postcard::from_bytes::<Change>(&entry.context) {
                // The library rejects a change that would remove the last voter; the members stay unchanged then.
                if let Ok(conf_state) = self.raft_node.apply_conf_change(&to_lib_change(&change)) {
                    self.raft_node.mut_store().conf_state = ConfState::from_lib(&conf_state);
                    self.members.apply(&change);
                    if let Change::Remove(id) = change {
                        self.state_machine.member_removed(id);
                    }
                }
            }
            self.state_machine.applied_up_to(self.applied);
        }
    }

    fn restore(&mut self, now: Seconds, data: &[u8]) -> Result<(), CoreError> {
        let data: SnapshotData = postcard::from_bytes(data).map_err(|_| CoreError::Snapshot)?;
        if !self.state_machine.restore(now, &data.state_machine) {
            return Err(CoreError::Snapshot);
        }
        self.members = data.members;
        Ok(())
    }

    fn make_snapshot(&self) -> Result<Snapshot, CoreError> {
        let log = self.raft_node.store();
        let term = log.term_at(self.applied).unwrap_or(log.snapshot.term);
        let data = snapshot_data(&self.members, &self.state_machine)?;
        Ok(Snapshot { index: self.applied, term, conf_state: log.conf_state.clone(), data })
    }

    /// Compacts the log if that is due or `forced`. Returns the records that replace all earlier ones on disk.
    ///
    /// # Errors
    /// If the snapshot can't be encoded.
    pub fn compact(&mut self, forced: bool) -> Result<Option<Vec<Record>>, CoreError> {
        if self.pending_ready.is_some() || !(std::mem::take(&mut self.compaction_due) || forced) {
            return Ok(None);
        }
        if self.applied <= self.raft_node.store().snapshot.index {
            return Ok(None);
        }
        let snapshot = self.make_snapshot()?;
        let log = self.raft_node.mut_store();
        log.prepared_snapshot = Some(snapshot.clone());
        log.apply(Record::Snapshot(snapshot));
        Ok(Some(self.raft_node.store().to_records()))
    }

    /// The frames to send, with their receivers. They may be sent only after the records of [`Core::take_records`] are
    /// persisted.
    pub fn take_frames(&mut self) -> Vec<(MemberId, Frame)> {
        std::mem::take(&mut self.frames)
    }

    /// Takes the events for the dispatcher.
    pub fn take_events(&mut self) -> Vec<S::Event> {
        std::mem::take(&mut self.events)
    }

    /// The member is about to stop: its state machine releases everything that it holds.
    pub fn release_all(&mut self, now: Seconds) {
        self.state_machine.release_all(now);
        self.decide(now);
    }

    /// Whether everything that this member held is released.
    pub fn has_released_all(&self) -> bool {
        self.state_machine.has_released_all()
    }

    /// Transfers the leadership to the connected voter whose log is most complete, before this member stops.
    pub fn transfer_leadership(&mut self) {
        let own_id = self.identity.id;
        let progress = self.raft_node.raft.prs();
        let candidates = self.members.voters().filter(|id| *id != own_id && self.connected.contains_key(id));
        let successor = candidates.max_by_key(|id| progress.get(*id).map_or(0, |p| p.matched));
        if let Some(successor) = successor.filter(|_| self.is_leader) {
            self.raft_node.transfer_leader(successor);
        }
    }

    /// The member's state as JSON, for operators.
    pub fn status(&self, now: Seconds) -> serde_json::Value {
        let own_id = self.identity.id;
        let name = |id: MemberId| self.members.0.get(&id).map(|member| member.name.clone());
        let members = self.members.0.iter().map(|(id, member)| {
            serde_json::json!({
                "name": member.name, "birth": format!("{id:016x}"), "voter": member.voter,
                "leads": self.leader() == Some(*id), "self": *id == own_id,
                "linked": *id == own_id || self.connected.contains_key(id),
            })
        });
        serde_json::json!({
            "cluster": self.config.cluster, "name": self.identity.name, "birth": format!("{own_id:016x}"),
            "life": self.identity.start_count, "member": self.members.0.contains_key(&own_id),
            "speaks": self.record_checks.is_participating(), "leader": self.leader().and_then(name),
            "term": self.raft_node.raft.term, "applied": self.applied,
            "log": self.raft_node.store().entry_count(), "members": members.collect::<Vec<_>>(),
            "part": self.state_machine.status(now, &MemberView {
                id: own_id, name: &self.identity.name, leader: self.leader(), members: &self.members,
                log_length: self.raft_node.store().entry_count(),
            }),
        })
    }
}

const _: () = assert!(
    MAX_MESSAGE_BYTES / ENTRY_OVERHEAD_BYTES <= MAX_ENTRIES_PER_MESSAGE as u64,
    "a message never has more entries than a receiver accepts"
);
