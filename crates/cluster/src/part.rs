//! What stands on the agreed log. The core hands a part what was agreed, confirmations and a leader's news; the part says
//! what it wants to have agreed and what the dispatcher is to hear.

use crate::members::Members;
use crate::{Id, Seconds};

/// How the member stands when a part decides.
pub struct View<'a> {
    /// The member itself.
    pub me: Id,
    /// Its name.
    pub name: &'a str,
    /// The leader, where one is known.
    pub leader: Option<Id>,
    /// All members, as agreed.
    pub members: &'a Members,
    /// Entries of the log since it was last cut.
    pub log: u64,
}

/// What a part wants.
#[derive(Debug)]
pub struct Wants<N> {
    /// To be agreed; a member that does not lead sends it to the leader, and it may be lost.
    pub propose: Vec<Vec<u8>>,
    /// What a leader has decided on what it knows as one: proposed under that leadership or never.
    pub grants: Vec<Vec<u8>>,
    /// For the dispatcher.
    pub news: Vec<N>,
    /// The log is to be cut here: all up to what is applied now goes into a snapshot.
    pub cut: bool,
}

impl<N> Default for Wants<N> {
    fn default() -> Wants<N> {
        Wants { propose: Vec::new(), grants: Vec::new(), news: Vec::new(), cut: false }
    }
}

/// A state machine over the agreed log, free of I/O. All times are of the member's own clock.
pub trait Part {
    /// What the dispatcher tells.
    type Fact;
    /// What the dispatcher hears.
    type News;

    /// The member's number; before all else.
    fn begin(&mut self, me: Id);
    /// Whether another member may have this proposed: nothing that only a leader decides.
    fn proposable(&self, entry: &[u8]) -> bool;
    /// An entry was agreed, at this place.
    fn agreed(&mut self, now: Seconds, at: u64, entry: &[u8]);
    /// A member was removed, as agreed, at the place that is applied next.
    fn removed(&mut self, member: Id);
    /// All up to this place is applied.
    fn applied(&mut self, at: u64);
    /// The agreed state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes the place of all that was agreed before; a snapshot that can't be read is refused with `false`.
    fn restore(&mut self, now: Seconds, snapshot: &[u8]) -> bool;

    /// The number of a question to the leader, where one is due: `now` was read before anything is sent.
    fn question(&mut self, now: Seconds) -> Option<u64>;
    /// The leader led after that question was asked; what it gave away by then lies in the log up to `after`.
    fn confirmed(&mut self, now: Seconds, question: u64, after: u64);

    /// This member leads from now on, or no more.
    fn leads(&mut self, now: Seconds, leads: bool);
    /// A member's question has come to this leader. `now` was read after it came.
    fn heard(&mut self, now: Seconds, from: Id);
    /// Whether all that a member was given has surely passed, as this leader knows.
    fn lapsed(&self, now: Seconds, member: Id) -> bool;

    /// The member stops: what it holds is to be given on by its word.
    fn leave(&mut self, now: Seconds);
    /// Nothing is held any more, as the log says.
    fn left(&self) -> bool;

    /// The dispatcher tells something.
    fn fact(&mut self, now: Seconds, fact: Self::Fact);
    /// What is to be done now.
    fn decide(&mut self, now: Seconds, view: &View) -> Wants<Self::News>;
    /// How things are, for operators, as JSON.
    fn show(&self, now: Seconds, view: &View) -> serde_json::Value;
}
