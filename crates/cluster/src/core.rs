//! A member without sockets, files and clocks. Times, frames and the dispatcher's facts go in; records to be synced,
//! frames and news come out. The caller's order is: [`Core::take_records`], sync what it gives, [`Core::records_persisted`], send
//! [`Core::take_frames`].

use crate::config::{ELECTION_BEATS, FleetConfig, MAX_MEMBERS};
use crate::identity::{Identity, LogPosition};
use crate::leadership_confirmation::Confirmations;
use crate::members::{Change, Known, Members, caught_up};
use crate::memory_log::{ENTRY, MemoryLog};
use crate::raft_types::{Conf, ENTRIES_MOST, Entry, HardState, Message, Snapshot};
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

/// After a stall no more beats than this are made up for.
const BEATS_MOST: u32 = 2;
/// Bytes of entries in one message.
const MESSAGE_BYTES: u64 = 64 << 10;
/// Messages of entries on their way to one member.
const INFLIGHT: usize = 32;
/// Bytes of entries that are proposed and not agreed; more are turned away.
const UNAGREED_BYTES: u64 = 1 << 20;
/// Whether a snapshot has come is asked so many beats after it was sent.
const SNAPSHOT_BEATS: u32 = ELECTION_BEATS as u32;
/// Whoever asked to join and was not heard for so many beats asks no more.
const ASKING_BEATS: f64 = 20.0;
/// Bytes of a proposal.
const PROPOSAL_MOST: usize = 16 << 10;

/// Why a member can't begin.
#[derive(Debug, thiserror::Error)]
pub enum CoreError {
    /// The library refuses what is on record.
    #[error("the agreed log: {0}")]
    Library(#[from] raft::Error),
    /// The state in the snapshot can't be read.
    #[error("the snapshot can't be read; another program's?")]
    Snapshot,
}

/// The state in a snapshot.
#[derive(Serialize, Deserialize)]
struct Image {
    members: Members,
    part: Vec<u8>,
}

/// A member.
pub struct Core<P: StateMachine> {
    file: Arc<FleetConfig>,
    identity: Identity,
    raw: RawNode<MemoryLog>,
    part: P,
    members: Members,
    beat_at: Seconds,
    rng: fastrand::Rng,
    /// Being synced.
    pending: Option<Ready>,
    frames: Vec<(MemberId, Frame)>,
    news: Vec<P::Update>,
    cut: bool,
    leads: bool,
    /// The term of that leadership.
    led: u64,
    /// Beats to the next election, and the term for which they were drawn.
    drawn: Option<(u64, usize)>,
    applied: u64,
    /// As a leader: who wants to join, and since when it has not said so.
    asking: BTreeMap<MemberId, (String, Seconds)>,
    confirmations: Confirmations,
    looks: RecordChecks,
    /// Members with a link: their names.
    linked: BTreeMap<MemberId, String>,
    /// Snapshots on their way, and the beats until a probe finds out whether they have come.
    snapshots: BTreeMap<MemberId, u32>,
}

/// The first record of a fleet, with one voter.
pub fn bootstrap_records(identity: &Identity, part: &impl StateMachine) -> Result<Vec<Record>, CoreError> {
    let mut members = Members::default();
    members.apply(&Change::Join { id: identity.id, name: identity.name.clone() });
    members.apply(&Change::Promote(identity.id));
    let data = image(&members, part)?;
    let conf = Conf { voters: vec![identity.id], learners: Vec::new() };
    let hard = HardState { term: 1, vote: 0, commit: 1 };
    Ok(vec![Record::Snapshot(Snapshot { index: 1, term: 1, conf, data }), Record::HardState(hard)])
}

fn image(members: &Members, part: &impl StateMachine) -> Result<Vec<u8>, CoreError> {
    let image = Image { members: members.clone(), part: part.snapshot() };
    postcard::to_stdvec(&image).map_err(|_| CoreError::Snapshot)
}

fn in_the_librarys_form(change: &Change) -> ConfChange {
    let (kind, id) = match change {
        Change::Join { id, .. } => (ConfChangeType::AddLearnerNode, *id),
        Change::Promote(id) => (ConfChangeType::AddNode, *id),
        Change::Remove(id) => (ConfChangeType::RemoveNode, *id),
    };
    let mut form = ConfChange { node_id: id, ..ConfChange::default() };
    form.set_change_type(kind);
    form
}

impl<P: StateMachine> Core<P> {
    /// A member with what is on record. Equal seeds and inputs give equal outputs.
    ///
    /// # Errors
    /// Where the record can't be used.
    pub fn new(
        file: Arc<FleetConfig>, identity: Identity, records: Vec<Record>, part: P, now: Seconds, seed: u64,
    ) -> Result<Core<P>, CoreError> {
        let memory = MemoryLog::of(records);
        let applied = memory.snapshot.index;
        let image = memory.snapshot.data.clone();
        let config = Config {
            id: identity.id,
            election_tick: ELECTION_BEATS,
            heartbeat_tick: 1,
            applied,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNAGREED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut core = Core {
            raw: RawNode::new(&config, memory, &logger)?,
            file,
            identity,
            part,
            members: Members::default(),
            beat_at: now,
            rng: fastrand::Rng::with_seed(seed),
            pending: None,
            frames: Vec::new(),
            news: Vec::new(),
            cut: false,
            leads: false,
            led: 0,
            drawn: None,
            applied,
            asking: BTreeMap::new(),
            confirmations: Confirmations::default(),
            looks: RecordChecks::default(),
            linked: BTreeMap::new(),
            snapshots: BTreeMap::new(),
        };
        core.part.set_member_id(core.identity.id);
        if applied > 0 {
            core.restore(now, &image)?;
        }
        core.draw();
        Ok(core)
    }

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// How far its record goes.
    pub fn log_position(&self) -> LogPosition {
        let memory = self.raw.store();
        LogPosition { term: memory.hard.term, voted: memory.hard.vote != 0, last: memory.last() }
    }

    /// The members, as agreed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What stands on the log.
    pub fn state_machine(&self) -> &P {
        &self.part
    }

    /// Whether this member leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leads
    }

    /// The leader, as far as it knows.
    pub fn leader(&self) -> Option<MemberId> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// All up to this place is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The library's term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// When [`Core::tick`] is due next.
    pub fn next_tick_at(&self) -> Seconds {
        self.beat_at
    }

    /// Whether it takes part in the library's protocol yet.
    pub fn is_participating(&self) -> bool {
        self.looks.spoke()
    }

    /// A link has come up. The other side's record is judged by what it has acknowledged here. Another birth of its name that
    /// has a link gives that up: a name has one link.
    ///
    /// # Errors
    /// Where it is an older copy.
    pub fn peer_connected(
        &mut self, id: MemberId, name: &str, life: u64, mark: &LogPosition,
    ) -> Result<Option<MemberId>, Rejection> {
        self.looks.judge(id, life, mark, &self.members)?;
        let other =
            self.linked.iter().find(|(other, of)| **other != id && *of == name).map(|(other, _)| *other);
        self.linked.insert(id, name.to_string());
        Ok(other)
    }

    /// This side called, and the other speaks with it: it has looked. It learns the same of this one, or it might wait for
    /// ever for somebody to say something.
    pub fn peer_accepted(&mut self, id: MemberId) {
        self.looks.looked_by(id);
        self.frames.push((id, Frame::HelloVerified));
    }

    /// A link has ended.
    pub fn peer_disconnected(&mut self, id: MemberId) {
        self.linked.remove(&id);
        self.raw.report_unreachable(id);
    }

    /// Members that are linked.
    pub fn connected_members(&self) -> &BTreeMap<MemberId, String> {
        &self.linked
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Seconds) {
        let speaks = self.looks.speaks(self.identity.id, &self.members);
        let beat = self.file.heartbeat_interval();
        let mut beats = 0;
        while now >= self.beat_at {
            self.beat_at += beat;
            beats += 1;
            if beats <= BEATS_MOST && speaks {
                self.raw.tick();
            }
            if beats > BEATS_MOST {
                self.beat_at = self.beat_at.max(now);
            }
        }
        self.ask_for_snapshots(beats);
        self.draw();
        let member = self.members.0.contains_key(&self.identity.id);
        if beats > 0 && !member {
            let linked: Vec<MemberId> = self.linked.keys().copied().collect();
            self.frames.extend(linked.into_iter().map(|id| (id, Frame::Join)));
        }
        // Whoever does not know yet that it is a member has nothing to hold.
        if member && let Some(question) = self.part.confirmation_request(now) {
            match self.leader() {
                Some(id) if id == self.identity.id => self.ask(now, id, question),
                Some(id) => self.frames.push((id, Frame::ConfirmLeadership(question))),
                None => {}
            }
        }
        if self.leads {
            self.change_members(now);
        }
        self.decide(now);
    }

    /// Has the library probe whether snapshots have come that were sent a while ago; what was lost goes again.
    fn ask_for_snapshots(&mut self, beats: u32) {
        self.snapshots.values_mut().for_each(|left| *left = left.saturating_sub(beats));
        let due: Vec<MemberId> =
            self.snapshots.iter().filter(|(_, left)| **left == 0).map(|(id, _)| *id).collect();
        for to in due {
            self.snapshots.remove(&to);
            self.raw.report_snapshot(to, SnapshotStatus::Finish);
        }
    }

    /// The time to the next election, by this member's own chance, one for each term: the library draws anew whenever it
    /// counts anew, by a chance that is no seed's.
    fn draw(&mut self) {
        let term = self.raw.raft.term;
        if self.drawn.is_none_or(|(of, _)| of != term) {
            self.drawn = Some((term, ELECTION_BEATS + self.rng.usize(0..ELECTION_BEATS)));
        }
        if let Some((_, beats)) = self.drawn {
            self.raw.raft.set_randomized_election_timeout(beats);
        }
    }

    /// A frame has come from a member with a link.
    pub fn receive_frame(&mut self, now: Seconds, from: MemberId, frame: Frame) {
        // Whoever sends anything has looked.
        self.looks.looked_by(from);
        match frame {
            Frame::Raft(message) => {
                if message.from != from || message.to != self.identity.id || !self.looks.spoke() {
                    return;
                }
                if let Some(acknowledged) = message.acknowledges() {
                    self.looks.acknowledged(from, acknowledged);
                }
                if let Ok(message) = message.lib() {
                    // What the library finds out of place is as good as lost.
                    let _ = self.raw.step(message);
                }
                self.draw();
            }
            Frame::HelloVerified => {}
            Frame::Join => {
                if let Some(name) = self.linked.get(&from).filter(|_| self.leads) {
                    self.asking.insert(from, (name.clone(), now));
                }
            }
            Frame::ConfirmLeadership(question) => self.ask(now, from, question),
            Frame::LeadershipConfirmed { request: question, required_index: after }
                if self.leader() == Some(from) =>
            {
                self.part.leadership_confirmed(now, question, after);
            }
            Frame::LeadershipConfirmed { .. } => {}
            Frame::Propose(entry) if self.part.accepts_proposal(&entry) => self.propose(entry),
            Frame::Propose(_) => {}
        }
        self.decide(now);
    }

    /// The dispatcher tells something.
    pub fn handle_input(&mut self, now: Seconds, fact: P::Input) {
        self.part.handle_input(now, fact);
        self.decide(now);
    }

    /// A question has come to this member, or is its own.
    fn ask(&mut self, now: Seconds, from: MemberId, question: u64) {
        if !self.leads || !self.members.0.contains_key(&from) {
            return;
        }
        self.part.request_received(now, from);
        self.confirmations.ask(from, question);
        self.ask_majority(now);
    }

    /// Asks a majority whether this member still leads, for all questions that wait.
    fn ask_majority(&mut self, now: Seconds) {
        if self.raw.raft.commit_to_current_term()
            && let Some(context) = self.confirmations.next(now, self.file.heartbeat_interval())
        {
            self.raw.read_index(context);
        }
    }

    fn answer(&mut self, now: Seconds, context: &[u8]) {
        // What this leader has given away so far has its place at or before its log's end.
        let after = self.raw.raft.raft_log.last_index();
        for (to, question) in self.confirmations.answered(context) {
            if to == self.identity.id {
                self.part.leadership_confirmed(now, question, after);
            } else {
                self.frames
                    .push((to, Frame::LeadershipConfirmed { request: question, required_index: after }));
            }
        }
        self.ask_majority(now);
    }

    fn propose(&mut self, entry: Vec<u8>) {
        if self.leads && entry.len() <= PROPOSAL_MOST {
            // Turned away is as good as lost: whoever wants it says so again.
            let _ = self.raw.propose(Vec::new(), entry);
        }
    }

    fn change_members(&mut self, now: Seconds) {
        let patience = ASKING_BEATS * self.file.heartbeat_interval();
        self.asking.retain(|id, (_, at)| now - *at < patience && !self.members.0.contains_key(id));
        if self.raw.raft.has_pending_conf() {
            return;
        }
        let asking = self.asking.iter().map(|(id, (name, _))| (*id, name.clone())).collect();
        let (last, me) = (self.raw.raft.raft_log.committed, self.identity.id);
        let progress = self.raw.raft.prs();
        let caught_up = |id: MemberId| {
            id != me && progress.get(id).is_some_and(|p| caught_up(p.recent_active, p.matched, last))
        };
        let change = self.members.next(&Known {
            asking: &asking,
            named: &|name| self.file.member.get(name).map(|peer| peer.voter),
            lapsed: &|id| self.part.lease_expired(now, id),
            caught_up: &caught_up,
            most: MAX_MEMBERS,
        });
        let Some(change) = change else { return };
        if let Ok(context) = postcard::to_stdvec(&change) {
            let _ = self.raw.propose_conf_change(context, in_the_librarys_form(&change));
        }
    }

    fn decide(&mut self, now: Seconds) {
        let view = MemberView {
            id: self.identity.id,
            name: &self.identity.name,
            leader: Some(self.raw.raft.leader_id).filter(|id| *id != 0),
            members: &self.members,
            log_length: self.raw.store().length(),
        };
        let wants = self.part.decide(now, &view);
        self.cut |= wants.compact;
        self.news.extend(wants.updates);
        // The library may have lost the leadership, or lost and won it again, and the part not heard of it yet.
        let leads = self.leads && self.raw.raft.state == StateRole::Leader && self.raw.raft.term == self.led;
        for entry in wants.leader_proposals.into_iter().filter(|_| leads) {
            self.propose(entry);
        }
        for entry in wants.proposals {
            match self.leader() {
                Some(id) if id == self.identity.id => self.propose(entry),
                Some(id) => self.frames.push((id, Frame::Propose(entry))),
                None => {}
            }
        }
    }

    /// What has to be synced next, and whether it has to; nothing while something is, or where nothing is to be done.
    pub fn take_records(&mut self) -> Option<(Vec<Record>, bool)> {
        if self.pending.is_some() || !self.raw.has_ready() {
            return None;
        }
        let ready = self.raw.ready();
        let mut records = Vec::new();
        if !ready.snapshot().is_empty() {
            records.push(Record::Snapshot(Snapshot::of(ready.snapshot())));
        }
        records.extend(ready.entries().iter().map(|entry| Record::Entry(Entry::of(entry))));
        records.extend(ready.hs().map(|hard| Record::HardState(HardState::of(hard))));
        let sync = ready.must_sync();
        self.pending = Some(ready);
        Some((records, sync))
    }

    /// What [`Core::take_records`] gave is synced: what was agreed is applied, and frames may go.
    ///
    /// # Errors
    /// Where a leader's snapshot can't be read: the member can't go on.
    pub fn records_persisted(&mut self, now: Seconds) -> Result<(), CoreError> {
        let Some(mut ready) = self.pending.take() else { return Ok(()) };
        if !ready.snapshot().is_empty() {
            let snapshot = Snapshot::of(ready.snapshot());
            let (index, data) = (snapshot.index, snapshot.data.clone());
            self.raw.mut_store().replace(snapshot);
            self.restore(now, &data)?;
            self.applied = index;
            self.part.applied_up_to(index);
        }
        for entry in ready.entries() {
            self.raw.mut_store().take(Record::Entry(Entry::of(entry)));
        }
        if let Some(hard) = ready.hs() {
            self.raw.mut_store().hard = HardState::of(hard);
        }
        if let Some(soft) = ready.ss() {
            let leads = soft.raft_state == StateRole::Leader;
            let led = std::mem::replace(&mut self.led, self.raw.raft.term);
            if std::mem::replace(&mut self.leads, leads) != leads || led != self.led {
                self.confirmations.forget();
                self.asking.clear();
                self.part.leadership_changed(now, leads);
            }
        }
        let reads = ready.take_read_states();
        let messages = ready.take_messages();
        let after = ready.take_persisted_messages();
        self.send(messages.iter().chain(&after));
        self.apply(now, ready.take_committed_entries());
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raw.mut_store().hard.commit = commit;
        }
        let messages = light.take_messages();
        self.send(messages.iter());
        self.apply(now, light.take_committed_entries());
        self.raw.advance_apply();
        for read in reads {
            self.answer(now, &read.request_ctx);
        }
        if self.raw.store().wanted.take() {
            let made = self.make_snapshot()?;
            self.raw.mut_store().made = Some(made);
        }
        self.draw();
        self.decide(now);
        Ok(())
    }

    fn send<'a>(&mut self, messages: impl Iterator<Item = &'a raft::prelude::Message>) {
        let messages = messages.inspect(|message| {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots.entry(message.to).or_insert(SNAPSHOT_BEATS);
            }
        });
        let frames = messages.map(|message| (message.to, Frame::Raft(Box::new(Message::of(message)))));
        self.frames.extend(frames);
    }

    fn apply(&mut self, now: Seconds, entries: Vec<raft::prelude::Entry>) {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryNormal {
                if !entry.data.is_empty() {
                    self.part.apply_entry(now, entry.index, &entry.data);
                }
            } else if let Ok(change) = postcard::from_bytes::<Change>(&entry.context) {
                // The library refuses what would leave it without a voter; then nothing has changed.
                if let Ok(conf) = self.raw.apply_conf_change(&in_the_librarys_form(&change)) {
                    self.raw.mut_store().conf = Conf::of(&conf);
                    self.members.apply(&change);
                    if let Change::Remove(id) = change {
                        self.part.member_removed(id);
                    }
                }
            }
            self.part.applied_up_to(self.applied);
        }
    }

    fn restore(&mut self, now: Seconds, data: &[u8]) -> Result<(), CoreError> {
        let image: Image = postcard::from_bytes(data).map_err(|_| CoreError::Snapshot)?;
        if !self.part.restore(now, &image.part) {
            return Err(CoreError::Snapshot);
        }
        self.members = image.members;
        Ok(())
    }

    fn make_snapshot(&self) -> Result<Snapshot, CoreError> {
        let memory = self.raw.store();
        let term = memory.term_at(self.applied).unwrap_or(memory.snapshot.term);
        let data = image(&self.members, &self.part)?;
        Ok(Snapshot { index: self.applied, term, conf: memory.conf.clone(), data })
    }

    /// Cuts the log where that is due, or where `forced`: the records that take the place of all that were written.
    ///
    /// # Errors
    /// Where the state can't be written as a snapshot.
    pub fn compact(&mut self, forced: bool) -> Result<Option<Vec<Record>>, CoreError> {
        if self.pending.is_some() || !(std::mem::take(&mut self.cut) || forced) {
            return Ok(None);
        }
        if self.applied <= self.raw.store().snapshot.index {
            return Ok(None);
        }
        let snapshot = self.make_snapshot()?;
        let memory = self.raw.mut_store();
        memory.made = Some(snapshot.clone());
        memory.take(Record::Snapshot(snapshot));
        Ok(Some(self.raw.store().records()))
    }

    /// What is to be sent, to whom. Only after what [`Core::take_records`] gave is synced.
    pub fn take_frames(&mut self) -> Vec<(MemberId, Frame)> {
        std::mem::take(&mut self.frames)
    }

    /// What the dispatcher is to hear.
    pub fn take_updates(&mut self) -> Vec<P::Update> {
        std::mem::take(&mut self.news)
    }

    /// The member stops: its part gives on what it holds.
    pub fn release_all(&mut self, now: Seconds) {
        self.part.release_all(now);
        self.decide(now);
    }

    /// Whether all that it held has been given on.
    pub fn has_released_all(&self) -> bool {
        self.part.has_released_all()
    }

    /// Gives the leadership to another voter that has caught up, before this member stops.
    pub fn transfer_leadership(&mut self) {
        let me = self.identity.id;
        let progress = self.raw.raft.prs();
        let next = self.members.voters().filter(|id| *id != me && self.linked.contains_key(id));
        let next = next.max_by_key(|id| progress.get(*id).map_or(0, |p| p.matched));
        if let Some(next) = next.filter(|_| self.leads) {
            self.raw.transfer_leader(next);
        }
    }

    /// How things are, for operators, as JSON.
    pub fn status(&self, now: Seconds) -> serde_json::Value {
        let me = self.identity.id;
        let name = |id: MemberId| self.members.0.get(&id).map(|member| member.name.clone());
        let members = self.members.0.iter().map(|(id, member)| {
            serde_json::json!({
                "name": member.name, "birth": format!("{id:016x}"), "voter": member.voter,
                "leads": self.leader() == Some(*id), "self": *id == me,
                "linked": *id == me || self.linked.contains_key(id),
            })
        });
        serde_json::json!({
            "cluster": self.file.cluster, "name": self.identity.name, "birth": format!("{me:016x}"),
            "life": self.identity.start_count, "member": self.members.0.contains_key(&me), "speaks": self.looks.spoke(),
            "leader": self.leader().and_then(name), "term": self.raw.raft.term, "applied": self.applied,
            "log": self.raw.store().length(), "members": members.collect::<Vec<_>>(),
            "part": self.part.status(now, &MemberView {
                id: me, name: &self.identity.name, leader: self.leader(), members: &self.members,
                log_length: self.raw.store().length(),
            }),
        })
    }
}

const _: () =
    assert!(MESSAGE_BYTES / ENTRY <= ENTRIES_MOST as u64, "a message has no more entries than is read");
