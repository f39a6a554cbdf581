//! The new process's side.
//!
//! It is_owner once it holds the lock. It asks whoever holds it first: what that one knows is more than what is on record.

use crate::Seconds;

/// Between two tries.
pub const RETRY_SECONDS: Seconds = 0.02;

/// What happens to the taker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process has begun.
    Started,
    /// Somebody answers at the socket.
    Connected,
    /// NoListener does: no process serves, or one that knows nothing of this.
    NoListener,
    /// The giver says no: it is busy or stops.
    Rejected,
    /// All that the giver knows has come, and can be used, or not.
    StateReceived(bool),
    /// The link has ended.
    LinkClosed,
    /// The lock was tried for, and is held by this process now, or not.
    LockResult(bool),
    /// Whether no other process has calls out.
    CallsDrained(bool),
    /// Whether the link still holds, asked once the lock was had.
    LinkChecked(bool),
    /// The time until the next try has passed.
    RetryDue,
}

/// What the taker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the socket.
    Connect,
    /// Ask for all; `decisions`: also for what the decisions hold in mind.
    RequestState {
        /// Whether it could be used.
        with_decisions: bool,
    },
    /// Tell the giver that what came is of no use, and end the link.
    ReportUnusable,
    /// Try for the lock.
    TryLock,
    /// Look whether another process has calls out still: come back with `CallsDrained`.
    CheckCallsDrained,
    /// Look whether the giver is still at the other end: come back with `LinkChecked`. While this process holds the lock the
    /// giver can't take back what it gave.
    CheckLink,
    /// Free the lock.
    Unlock,
    /// DiscardState what came, and the link.
    DiscardState,
    /// Come back with `RetryDue` after [`RETRY_SECONDS`].
    ScheduleRetry,
    /// TakeOver: open what is on record, go on with what came, and tell the giver, if there is one still.
    TakeOver,
    /// TakeOver: begin from what is on record alone.
    StartFromJournal,
}

/// Where the taker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReceiverState {
    /// It looks for a giver.
    Connecting {
        /// What the decisions hold could not be used: the giver is from another program, or told something else.
        without_decisions: bool,
    },
    /// It has asked.
    AwaitingState {
        /// As before.
        without_decisions: bool,
    },
    /// It has all, and tries for the lock.
    Locking {
        /// As before.
        without_decisions: bool,
    },
    /// No giver is there: it tries for the lock.
    LockingWithoutSender {
        /// As before.
        without_decisions: bool,
    },
    /// It has the lock, and waits until no call of another process is out.
    AwaitingCallDrain,
    /// It is_owner.
    Owner,
}

impl Default for ReceiverState {
    fn default() -> ReceiverState {
        ReceiverState::Connecting { without_decisions: false }
    }
}

impl ReceiverState {
    /// Whether this process is_owner.
    pub fn is_owner(&self) -> bool {
        *self == ReceiverState::Owner
    }

    /// One event, and what to do about it, in this order.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        use Action::*;
        let (next, actions) = match (*self, event) {
            (ReceiverState::Connecting { .. }, Event::Started | Event::RetryDue) => (*self, vec![Connect]),
            (ReceiverState::Connecting { without_decisions }, Event::Connected) => (
                ReceiverState::AwaitingState { without_decisions },
                vec![RequestState { with_decisions: !without_decisions }],
            ),
            (ReceiverState::Connecting { without_decisions }, Event::NoListener) => {
                (ReceiverState::LockingWithoutSender { without_decisions }, vec![TryLock])
            }
            // On record a call without_decisions an end may have run, and may go again: it has to be over.
            (ReceiverState::LockingWithoutSender { .. }, Event::LockResult(true)) => {
                (ReceiverState::AwaitingCallDrain, vec![CheckCallsDrained])
            }
            (ReceiverState::AwaitingCallDrain, Event::CallsDrained(true)) => {
                (ReceiverState::Owner, vec![StartFromJournal])
            }
            (ReceiverState::AwaitingCallDrain, Event::CallsDrained(false)) => (*self, vec![ScheduleRetry]),
            (ReceiverState::AwaitingCallDrain, Event::RetryDue) => (*self, vec![CheckCallsDrained]),
            // Its holder may be a giver that has not opened its socket yet, or one that frees the lock when it ends.
            (ReceiverState::LockingWithoutSender { without_decisions }, Event::LockResult(false)) => {
                (ReceiverState::Connecting { without_decisions }, vec![ScheduleRetry])
            }
            // Somebody is there and hears nobody just now: the lock may be free, and is not for the taking.
            (ReceiverState::Connecting { .. }, Event::Rejected) => (*self, vec![ScheduleRetry]),
            (ReceiverState::AwaitingState { without_decisions }, Event::Rejected | Event::LinkClosed) => {
                (ReceiverState::Connecting { without_decisions }, vec![DiscardState, ScheduleRetry])
            }
            (ReceiverState::AwaitingState { without_decisions }, Event::StateReceived(true)) => {
                (ReceiverState::Locking { without_decisions }, vec![TryLock])
            }
            (ReceiverState::AwaitingState { .. }, Event::StateReceived(false)) => {
                (ReceiverState::Connecting { without_decisions: true }, vec![ReportUnusable, ScheduleRetry])
            }
            // The lock may be free since a giver that had taken it back gives to somebody else: what came here is old.
            (ReceiverState::Locking { .. }, Event::LockResult(true)) => (*self, vec![CheckLink]),
            (ReceiverState::Locking { .. }, Event::LinkChecked(true)) => {
                (ReceiverState::Owner, vec![TakeOver])
            }
            (ReceiverState::Locking { without_decisions }, Event::LinkChecked(false)) => {
                (ReceiverState::Connecting { without_decisions }, vec![Unlock, DiscardState, ScheduleRetry])
            }
            (ReceiverState::Locking { .. }, Event::LockResult(false)) => (*self, vec![ScheduleRetry]),
            (ReceiverState::Locking { .. }, Event::RetryDue) => (*self, vec![TryLock]),
            // The giver has taken it back, or died and somebody else may own meanwhile: what came is old.
            (ReceiverState::Locking { without_decisions }, Event::LinkClosed) => {
                (ReceiverState::Connecting { without_decisions }, vec![DiscardState, ScheduleRetry])
            }
            (state, _) => (state, vec![]),
        };
        *self = next;
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(events: &[Event]) -> (ReceiverState, Vec<Action>) {
        let mut taker = ReceiverState::default();
        let actions = events.iter().flat_map(|event| taker.step(*event)).collect();
        (taker, actions)
    }

    #[test]
    fn it_takes_over() {
        let (taker, actions) = steps(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(true),
            Event::LockResult(false),
            Event::RetryDue,
        ]);
        assert!(!taker.is_owner());
        let asked = Action::RequestState { with_decisions: true };
        assert_eq!(
            actions,
            [Action::Connect, asked, Action::TryLock, Action::ScheduleRetry, Action::TryLock]
        );
    }

    #[test]
    fn what_was_taken_back_is_not_gone_on_with() {
        let asked = [Event::Started, Event::Connected, Event::StateReceived(true), Event::LockResult(true)];
        let (taker, actions) = steps(&[&asked[..], &[Event::LinkChecked(false)]].concat());
        assert_eq!(taker, ReceiverState::default());
        assert_eq!(
            actions[3..],
            [Action::CheckLink, Action::Unlock, Action::DiscardState, Action::ScheduleRetry]
        );
        assert!(steps(&[&asked[..], &[Event::LinkChecked(true)]].concat()).0.is_owner());
    }

    #[test]
    fn alone_it_begins_from_what_is_on_record() {
        let alone = [
            Event::Started,
            Event::NoListener,
            Event::LockResult(true),
            Event::CallsDrained(false),
            Event::RetryDue,
        ];
        let (taker, actions) = steps(&alone);
        assert!(!taker.is_owner());
        let quiet = Action::CheckCallsDrained;
        assert_eq!(actions, [Action::Connect, Action::TryLock, quiet, Action::ScheduleRetry, quiet]);
        let (taker, actions) = steps(&[&alone[..], &[Event::CallsDrained(true)]].concat());
        assert!(taker.is_owner());
        assert_eq!(actions.last(), Some(&Action::StartFromJournal));
    }

    #[test]
    fn what_cannot_be_used_is_not_asked_for_again() {
        let (_, actions) = steps(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(false),
            Event::RetryDue,
            Event::Connected,
        ]);
        assert_eq!(actions.last(), Some(&Action::RequestState { with_decisions: false }));
    }

    #[test]
    fn a_giver_that_takes_back_is_asked_again() {
        let (taker, actions) = steps(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(true),
            Event::LinkClosed,
            Event::RetryDue,
        ]);
        assert_eq!(taker, ReceiverState::default());
        assert_eq!(actions[3..], [Action::DiscardState, Action::ScheduleRetry, Action::Connect]);
    }
}
