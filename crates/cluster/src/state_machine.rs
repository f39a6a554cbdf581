//! What stands on the agreed log. The core hands a part what was agreed, confirmations and a leader's news; the part says
//! what it wants to have agreed and what the dispatcher is to hear.

use crate::members::Members;
use crate::{MemberId, Seconds};

/// How the member stands when a part decides.
pub struct MemberView<'a> {
    /// The member itself.
    pub id: MemberId,
    /// Its name.
    pub name: &'a str,
    /// The leader, where one is known.
    pub leader: Option<MemberId>,
    /// All members, as agreed.
    pub members: &'a Members,
    /// Entries of the log since it was last cut.
    pub log_length: u64,
}

/// What a part wants.
#[derive(Debug)]
pub struct Decisions<U> {
    /// To be agreed; a member that does not lead sends it to the leader, and it may be lost.
    pub proposals: Vec<Vec<u8>>,
    /// What a leader has decided on what it knows as one: proposed under that leadership or never.
    pub leader_proposals: Vec<Vec<u8>>,
    /// For the dispatcher.
    pub updates: Vec<U>,
    /// The log is to be cut here: all up to what is applied now goes into a snapshot.
    pub compact: bool,
}

impl<U> Default for Decisions<U> {
    fn default() -> Decisions<U> {
        Decisions { proposals: Vec::new(), leader_proposals: Vec::new(), updates: Vec::new(), compact: false }
    }
}

/// A state machine over the agreed log, free of I/O. All times are of the member's own clock.
pub trait StateMachine {
    /// What the dispatcher tells.
    type Input;
    /// What the dispatcher hears.
    type Update;

    /// The member's number; before all else.
    fn set_member_id(&mut self, me: MemberId);
    /// Whether another member may have this proposed: nothing that only a leader decides.
    fn accepts_proposal(&self, entry: &[u8]) -> bool;
    /// An entry was agreed, at this place.
    fn apply_entry(&mut self, now: Seconds, index: u64, entry: &[u8]);
    /// A member was removed, as agreed, at the place that is applied next.
    fn member_removed(&mut self, member: MemberId);
    /// All up to this place is applied.
    fn applied_up_to(&mut self, index: u64);
    /// The agreed state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes the place of all that was agreed before; a snapshot that can't be read is refused with `false`.
    fn restore(&mut self, now: Seconds, snapshot: &[u8]) -> bool;

    /// The number of a question to the leader, where one is due: `now` was read before anything is sent.
    fn confirmation_request(&mut self, now: Seconds) -> Option<u64>;
    /// The leader led after that question was asked; what it gave away by then lies in the log up to `after`.
    fn leadership_confirmed(&mut self, now: Seconds, request: u64, required_index: u64);

    /// This member leads from now on, or no more.
    fn leadership_changed(&mut self, now: Seconds, is_leader: bool);
    /// A member's question has come to this leader. `now` was read after it came.
    fn request_received(&mut self, now: Seconds, from: MemberId);
    /// Whether all that a member was given has surely passed, as this leader knows.
    fn lease_expired(&self, now: Seconds, member: MemberId) -> bool;

    /// The member stops: what it holds is to be given on by its word.
    fn release_all(&mut self, now: Seconds);
    /// Nothing is held any more, as the log says.
    fn has_released_all(&self) -> bool;

    /// The dispatcher tells something.
    fn handle_input(&mut self, now: Seconds, input: Self::Input);
    /// What is to be done now.
    fn decide(&mut self, now: Seconds, view: &MemberView) -> Decisions<Self::Update>;
    /// How things are, for operators, as JSON.
    fn status(&self, now: Seconds, view: &MemberView) -> serde_json::Value;
}
