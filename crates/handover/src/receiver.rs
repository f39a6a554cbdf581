//! The new process's side of a handover, as a state machine.
//!
//! The receiver becomes the owner by acquiring the lock on the state directory. It first requests the state of the
//! process that holds the lock, if there is one, since that includes more than the journal.

use crate::Seconds;

/// Delay between two attempts.
pub const RETRY_SECONDS: Seconds = 0.02;

/// Inputs of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process has started.
    Started,
    /// The connection to the sender's socket is open.
    Connected,
    /// Nothing listens on the socket: no process serves, or one that does not support handovers.
    NoListener,
    /// The sender has rejected the request: it is busy or stopping.
    Rejected,
    /// The whole state has arrived; whether it is usable.
    StateReceived(bool),
    /// The link to the sender has closed.
    LinkClosed,
    /// The result of [`Action::TryLock`]: whether this process holds the lock now.
    LockResult(bool),
    /// The result of [`Action::CheckCallsDrained`]: whether no other process has calls in flight.
    CallsDrained(bool),
    /// The result of [`Action::CheckLink`]: whether the link is still open.
    LinkChecked(bool),
    /// The delay of [`Action::ScheduleRetry`] has passed.
    RetryDue,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the sender's socket.
    Connect,
    /// Request the state.
    RequestState {
        /// Include the dispatcher's in-memory state; otherwise the receiver relies on the journal.
        in_memory_state: bool,
    },
    /// Report to the sender that the state is unusable, and close the link.
    ReportUnusable,
    /// Try to acquire the lock.
    TryLock,
    /// Check whether another process still has calls in flight; answered by [`Event::CallsDrained`].
    CheckCallsDrained,
    /// Check whether the sender is still connected; answered by [`Event::LinkChecked`]. The sender can't resume while
    /// this process holds the lock.
    CheckLink,
    /// Release the lock.
    Unlock,
    /// Discard the received state and close the link.
    DiscardState,
    /// Send [`Event::RetryDue`] after [`RETRY_SECONDS`].
    ScheduleRetry,
    /// Become the owner: open the journal, continue from the received state and confirm ownership to the sender.
    TakeOver,
    /// Become the owner with nothing but the journal.
    StartFromJournal,
}

/// The receiver's state. `journal_only`: the dispatcher's in-memory state proved unusable, because the sender runs
/// another program or has other settings, and is not requested any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReceiverState {
    /// Looks for a sender to connect to.
    Connecting {
        /// Do not request the in-memory state.
        journal_only: bool,
    },
    /// Has requested the state.
    AwaitingState {
        /// Do not request the in-memory state.
        journal_only: bool,
    },
    /// Has received the state and tries to acquire the lock.
    Locking {
        /// Do not request the in-memory state.
        journal_only: bool,
    },
    /// Nothing listens on the sender's socket; tries to acquire the lock.
    LockingWithoutSender {
        /// Do not request the in-memory state.
        journal_only: bool,
    },
    /// Holds the lock and waits until no other process has calls in flight.
    AwaitingCallDrain,
    /// This process is the owner.
    Owner,
}

impl Default for ReceiverState {
    fn default() -> ReceiverState {
        ReceiverState::Connecting { journal_only: false }
    }
}

impl ReceiverState {
    /// Whether this process is the owner.
    pub fn is_owner(&self) -> bool {
        *self == ReceiverState::Owner
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        use Action::*;
        let (next, actions) = match (*self, event) {
            (ReceiverState::Connecting { .. }, Event::Started | Event::RetryDue) => (*self, vec![Connect]),
            (ReceiverState::Connecting { journal_only }, Event::Connected) => (
                ReceiverState::AwaitingState { journal_only },
                vec![RequestState { in_memory_state: !journal_only }],
            ),
            (ReceiverState::Connecting { journal_only }, Event::NoListener) => {
                (ReceiverState::LockingWithoutSender { journal_only }, vec![TryLock])
            }
            // A call without a recorded outcome may still be running, and its messages may be sent again: wait for
            // its end.
            (ReceiverState::LockingWithoutSender { .. }, Event::LockResult(true)) => {
                (ReceiverState::AwaitingCallDrain, vec![CheckCallsDrained])
            }
            (ReceiverState::AwaitingCallDrain, Event::CallsDrained(true)) => {
                (ReceiverState::Owner, vec![StartFromJournal])
            }
            (ReceiverState::AwaitingCallDrain, Event::CallsDrained(false)) => (*self, vec![ScheduleRetry]),
            (ReceiverState::AwaitingCallDrain, Event::RetryDue) => (*self, vec![CheckCallsDrained]),
            // The lock holder may be a sender that has not opened its socket yet, or one that releases the lock on
            // exit.
            (ReceiverState::LockingWithoutSender { journal_only }, Event::LockResult(false)) => {
                (ReceiverState::Connecting { journal_only }, vec![ScheduleRetry])
            }
            // A sender that rejects the request may have released the lock for another receiver: do not try for it.
            (ReceiverState::Connecting { .. }, Event::Rejected) => (*self, vec![ScheduleRetry]),
            (ReceiverState::AwaitingState { journal_only }, Event::Rejected | Event::LinkClosed) => {
                (ReceiverState::Connecting { journal_only }, vec![DiscardState, ScheduleRetry])
            }
            (ReceiverState::AwaitingState { journal_only }, Event::StateReceived(true)) => {
                (ReceiverState::Locking { journal_only }, vec![TryLock])
            }
            (ReceiverState::AwaitingState { .. }, Event::StateReceived(false)) => {
                (ReceiverState::Connecting { journal_only: true }, vec![ReportUnusable, ScheduleRetry])
            }
            // The sender may have resumed and then released the lock for another receiver, which makes this state
            // stale.
            (ReceiverState::Locking { .. }, Event::LockResult(true)) => (*self, vec![CheckLink]),
            (ReceiverState::Locking { .. }, Event::LinkChecked(true)) => {
                (ReceiverState::Owner, vec![TakeOver])
            }
            (ReceiverState::Locking { journal_only }, Event::LinkChecked(false)) => {
                (ReceiverState::Connecting { journal_only }, vec![Unlock, DiscardState, ScheduleRetry])
            }
            (ReceiverState::Locking { .. }, Event::LockResult(false)) => (*self, vec![ScheduleRetry]),
            (ReceiverState::Locking { .. }, Event::RetryDue) => (*self, vec![TryLock]),
            // The sender has resumed, or died and another process may be the owner by now: the state is stale.
            (ReceiverState::Locking { journal_only }, Event::LinkClosed) => {
                (ReceiverState::Connecting { journal_only }, vec![DiscardState, ScheduleRetry])
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

    fn run_events(events: &[Event]) -> (ReceiverState, Vec<Action>) {
        let mut receiver = ReceiverState::default();
        let actions = events.iter().flat_map(|event| receiver.step(*event)).collect();
        (receiver, actions)
    }

    #[test]
    fn requests_the_state_then_the_lock() {
        let (receiver, actions) = run_events(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(true),
            Event::LockResult(false),
            Event::RetryDue,
        ]);
        assert!(!receiver.is_owner());
        let request = Action::RequestState { in_memory_state: true };
        assert_eq!(
            actions,
            [Action::Connect, request, Action::TryLock, Action::ScheduleRetry, Action::TryLock]
        );
    }

    #[test]
    fn discards_the_state_when_the_sender_has_resumed() {
        let until_locked =
            [Event::Started, Event::Connected, Event::StateReceived(true), Event::LockResult(true)];
        let (receiver, actions) = run_events(&[&until_locked[..], &[Event::LinkChecked(false)]].concat());
        assert_eq!(receiver, ReceiverState::default());
        assert_eq!(
            actions[3..],
            [Action::CheckLink, Action::Unlock, Action::DiscardState, Action::ScheduleRetry]
        );
        assert!(run_events(&[&until_locked[..], &[Event::LinkChecked(true)]].concat()).0.is_owner());
    }

    #[test]
    fn without_a_sender_it_starts_from_the_journal_once_calls_are_drained() {
        let no_sender = [
            Event::Started,
            Event::NoListener,
            Event::LockResult(true),
            Event::CallsDrained(false),
            Event::RetryDue,
        ];
        let (receiver, actions) = run_events(&no_sender);
        assert!(!receiver.is_owner());
        let check = Action::CheckCallsDrained;
        assert_eq!(actions, [Action::Connect, Action::TryLock, check, Action::ScheduleRetry, check]);
        let (receiver, actions) = run_events(&[&no_sender[..], &[Event::CallsDrained(true)]].concat());
        assert!(receiver.is_owner());
        assert_eq!(actions.last(), Some(&Action::StartFromJournal));
    }

    #[test]
    fn does_not_request_unusable_state_again() {
        let (_, actions) = run_events(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(false),
            Event::RetryDue,
            Event::Connected,
        ]);
        assert_eq!(actions.last(), Some(&Action::RequestState { in_memory_state: false }));
    }

    #[test]
    fn requests_the_state_again_from_a_sender_that_resumed() {
        let (receiver, actions) = run_events(&[
            Event::Started,
            Event::Connected,
            Event::StateReceived(true),
            Event::LinkClosed,
            Event::RetryDue,
        ]);
        assert_eq!(receiver, ReceiverState::default());
        assert_eq!(actions[3..], [Action::DiscardState, Action::ScheduleRetry, Action::Connect]);
    }
}
