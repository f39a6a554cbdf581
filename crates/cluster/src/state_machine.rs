//! The trait of the state machine that is replicated over the log. The core passes it committed entries, confirmations
//! of the leadership and changes of leader; it returns what to propose and what to report to the dispatcher.

use crate::members::Members;
use crate::{MemberId, Seconds};

/// The member's situation at the time of a decision.
pub struct MemberView<'a> {
    /// The member's own id.
    pub id: MemberId,
    /// Its name.
    pub name: &'a str,
    /// The leader, if one is known.
    pub leader: Option<MemberId>,
    /// All members, as committed.
    pub members: &'a Members,
    /// Number of log entries since the last compaction.
    pub log_length: u64,
}

/// What a state machine wants done.
#[derive(Debug)]
pub struct Decisions<E> {
    /// Entries to propose. A member that does not lead forwards them to the leader; they may be lost.
    pub proposals: Vec<Vec<u8>>,
    /// Entries that this member has decided on as the leader. They are proposed under that leadership or dropped.
    pub leader_proposals: Vec<Vec<u8>>,
    /// Reports to the dispatcher.
    pub events: Vec<E>,
    /// Whether to compact the log: everything applied so far goes into a snapshot.
    pub compact: bool,
}

impl<E> Default for Decisions<E> {
    fn default() -> Decisions<E> {
        Decisions { proposals: Vec::new(), leader_proposals: Vec::new(), events: Vec::new(), compact: false }
    }
}

/// A state machine replicated over the log, free of I/O. All times are read from the member's own clock.
pub trait StateMachine {
    /// What the dispatcher reports to it.
    type Input;
    /// What it reports to the dispatcher.
    type Event;

    /// Sets the member's own id. Called once, before everything else.
    fn set_member_id(&mut self, id: MemberId);
    /// Whether another member may have this entry proposed here. Entries that only a leader may decide on are not
    /// accepted.
    fn accepts_proposal(&self, entry: &[u8]) -> bool;
    /// Applies a committed entry.
    fn apply_entry(&mut self, now: Seconds, index: u64, entry: &[u8]);
    /// Applies the committed removal of a member. The index follows in the next call of `applied_up_to`.
    fn member_removed(&mut self, member: MemberId);
    /// The log is applied up to and including this index.
    fn applied_up_to(&mut self, index: u64);
    /// Serializes the replicated state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the replicated state by a snapshot. Returns `false` if the snapshot can't be decoded.
    fn restore(&mut self, now: Seconds, snapshot: &[u8]) -> bool;

    /// The number of the next request to confirm the leadership, if one is due. `now` was read before anything is sent.
    fn confirmation_request(&mut self, now: Seconds) -> Option<u64>;
    /// The leader was still the leader after this request was made. Everything that it had granted by then is in the
    /// log up to `required_index`.
    fn leadership_confirmed(&mut self, now: Seconds, request: u64, required_index: u64);

    /// This member became the leader, ceased to be it, or leads in a new term.
    fn leadership_changed(&mut self, now: Seconds, is_leader: bool);
    /// A member's confirmation request reached this leader. `now` was read after it arrived.
    fn request_received(&mut self, now: Seconds, from: MemberId);
    /// Whether, as far as this leader knows, any lease that the member may have had has expired.
    fn lease_expired(&self, now: Seconds, member: MemberId) -> bool;

    /// The member is about to stop: releases everything that it holds.
    fn release_all(&mut self, now: Seconds);
    /// Whether, according to the log, this member holds nothing any more.
    fn has_released_all(&self) -> bool;

    /// Handles a report of the dispatcher.
    fn handle_input(&mut self, now: Seconds, input: Self::Input);
    /// Decides what is to be done now.
    fn decide(&mut self, now: Seconds, view: &MemberView) -> Decisions<Self::Event>;
    /// The current state as JSON, for operators.
    fn status(&self, now: Seconds, view: &MemberView) -> serde_json::Value;
}
