//! The new process's side.
//!
//! It owns once it holds the lock. It asks whoever holds it first: what that one knows is more than what is on record.

use crate::Seconds;

/// Between two tries.
pub const AGAIN: Seconds = 0.02;

/// What happens to the taker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process has begun.
    Begin,
    /// Somebody answers at the socket.
    Connected,
    /// Nobody does: no process serves, or one that knows nothing of this.
    Nobody,
    /// The giver says no: it is busy or stops.
    Refused,
    /// All that the giver knows has come, and can be used, or not.
    Given(bool),
    /// The link has ended.
    Broken,
    /// The lock was tried for, and is held by this process now, or not.
    Locked(bool),
    /// Whether no other process has calls out.
    Quiet(bool),
    /// Whether the link still holds, asked once the lock was had.
    Linked(bool),
    /// The time until the next try has passed.
    Again,
}

/// What the taker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the socket.
    Connect,
    /// Ask for all; `decisions`: also for what the decisions hold in mind.
    Ask {
        /// Whether it could be used.
        decisions: bool,
    },
    /// Tell the giver that what came is of no use, and end the link.
    SayUnusable,
    /// Try for the lock.
    TryLock,
    /// Look whether another process has calls out still: come back with `Quiet`.
    TryQuiet,
    /// Look whether the giver is still at the other end: come back with `Linked`. While this process holds the lock the
    /// giver can't take back what it gave.
    Confirm,
    /// Free the lock.
    Unlock,
    /// Drop what came, and the link.
    Drop,
    /// Come back with `Again` after [`AGAIN`].
    Wait,
    /// Own: open what is on record, go on with what came, and tell the giver, if there is one still.
    Own,
    /// Own: begin from what is on record alone.
    Begin,
}

/// Where the taker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Taker {
    /// It looks for a giver.
    Looking {
        /// What the decisions hold could not be used: the giver is from another program, or told something else.
        without: bool,
    },
    /// It has asked.
    Asking {
        /// As before.
        without: bool,
    },
    /// It has all, and tries for the lock.
    Locking {
        /// As before.
        without: bool,
    },
    /// No giver is there: it tries for the lock.
    Alone {
        /// As before.
        without: bool,
    },
    /// It has the lock, and waits until no call of another process is out.
    Quieting,
    /// It owns.
    Owner,
}

impl Default for Taker {
    fn default() -> Taker {
        Taker::Looking { without: false }
    }
}

impl Taker {
    /// Whether this process owns.
    pub fn owns(&self) -> bool {
        *self == Taker::Owner
    }

    /// One event, and what to do about it, in this order.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        use Action::*;
        let (next, actions) = match (*self, event) {
            (Taker::Looking { .. }, Event::Begin | Event::Again) => (*self, vec![Connect]),
            (Taker::Looking { without }, Event::Connected) => {
                (Taker::Asking { without }, vec![Ask { decisions: !without }])
            }
            (Taker::Looking { without }, Event::Nobody) => (Taker::Alone { without }, vec![TryLock]),
            // On record a call without an end may have run, and may go again: it has to be over.
            (Taker::Alone { .. }, Event::Locked(true)) => (Taker::Quieting, vec![TryQuiet]),
            (Taker::Quieting, Event::Quiet(true)) => (Taker::Owner, vec![Begin]),
            (Taker::Quieting, Event::Quiet(false)) => (*self, vec![Wait]),
            (Taker::Quieting, Event::Again) => (*self, vec![TryQuiet]),
            // Its holder may be a giver that has not opened its socket yet, or one that frees the lock when it ends.
            (Taker::Alone { without }, Event::Locked(false)) => (Taker::Looking { without }, vec![Wait]),
            // Somebody is there and hears nobody just now: the lock may be free, and is not for the taking.
            (Taker::Looking { .. }, Event::Refused) => (*self, vec![Wait]),
            (Taker::Asking { without }, Event::Refused | Event::Broken) => {
                (Taker::Looking { without }, vec![Drop, Wait])
            }
            (Taker::Asking { without }, Event::Given(true)) => (Taker::Locking { without }, vec![TryLock]),
            (Taker::Asking { .. }, Event::Given(false)) => {
                (Taker::Looking { without: true }, vec![SayUnusable, Wait])
            }
            // The lock may be free since a giver that had taken it back gives to somebody else: what came here is old.
            (Taker::Locking { .. }, Event::Locked(true)) => (*self, vec![Confirm]),
            (Taker::Locking { .. }, Event::Linked(true)) => (Taker::Owner, vec![Own]),
            (Taker::Locking { without }, Event::Linked(false)) => {
                (Taker::Looking { without }, vec![Unlock, Drop, Wait])
            }
            (Taker::Locking { .. }, Event::Locked(false)) => (*self, vec![Wait]),
            (Taker::Locking { .. }, Event::Again) => (*self, vec![TryLock]),
            // The giver has taken it back, or died and somebody else may own meanwhile: what came is old.
            (Taker::Locking { without }, Event::Broken) => (Taker::Looking { without }, vec![Drop, Wait]),
            (state, _) => (state, vec![]),
        };
        *self = next;
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(events: &[Event]) -> (Taker, Vec<Action>) {
        let mut taker = Taker::default();
        let actions = events.iter().flat_map(|event| taker.step(*event)).collect();
        (taker, actions)
    }

    #[test]
    fn it_takes_over() {
        let (taker, actions) =
            steps(&[Event::Begin, Event::Connected, Event::Given(true), Event::Locked(false), Event::Again]);
        assert!(!taker.owns());
        let asked = Action::Ask { decisions: true };
        assert_eq!(actions, [Action::Connect, asked, Action::TryLock, Action::Wait, Action::TryLock]);
    }

    #[test]
    fn what_was_taken_back_is_not_gone_on_with() {
        let asked = [Event::Begin, Event::Connected, Event::Given(true), Event::Locked(true)];
        let (taker, actions) = steps(&[&asked[..], &[Event::Linked(false)]].concat());
        assert_eq!(taker, Taker::default());
        assert_eq!(actions[3..], [Action::Confirm, Action::Unlock, Action::Drop, Action::Wait]);
        assert!(steps(&[&asked[..], &[Event::Linked(true)]].concat()).0.owns());
    }

    #[test]
    fn alone_it_begins_from_what_is_on_record() {
        let alone = [Event::Begin, Event::Nobody, Event::Locked(true), Event::Quiet(false), Event::Again];
        let (taker, actions) = steps(&alone);
        assert!(!taker.owns());
        let quiet = Action::TryQuiet;
        assert_eq!(actions, [Action::Connect, Action::TryLock, quiet, Action::Wait, quiet]);
        let (taker, actions) = steps(&[&alone[..], &[Event::Quiet(true)]].concat());
        assert!(taker.owns());
        assert_eq!(actions.last(), Some(&Action::Begin));
    }

    #[test]
    fn what_cannot_be_used_is_not_asked_for_again() {
        let (_, actions) =
            steps(&[Event::Begin, Event::Connected, Event::Given(false), Event::Again, Event::Connected]);
        assert_eq!(actions.last(), Some(&Action::Ask { decisions: false }));
    }

    #[test]
    fn a_giver_that_takes_back_is_asked_again() {
        let (taker, actions) =
            steps(&[Event::Begin, Event::Connected, Event::Given(true), Event::Broken, Event::Again]);
        assert_eq!(taker, Taker::default());
        assert_eq!(actions[3..], [Action::Drop, Action::Wait, Action::Connect]);
    }
}
