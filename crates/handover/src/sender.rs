//! The old process's side of a handover, as a state machine.
//!
//! The sender owns the state directory until it releases the lock, and again once it has reacquired it. In between it
//! changes nothing in the journal and starts no call; calls in flight continue.

use crate::Seconds;

/// How long the sender waits for the receiver to confirm ownership before it tries to reacquire the lock. Clients wait
/// 0.4 s for an answer.
pub const RECEIVER_TIMEOUT_SECONDS: Seconds = 1.0;
/// Interval between attempts to reacquire the lock while it is not known whether the receiver lives.
pub const LOCK_RETRY_SECONDS: Seconds = 0.05;
/// A lock held by another process for this long, with no link to that process, is taken to be lost for good.
pub const MAX_LOCK_WAIT_SECONDS: Seconds = 3.0;
/// A sender that has drained its calls and received no signal exits by itself after this time.
pub const EXIT_GRACE_SECONDS: Seconds = 5.0;
/// Calls in flight may complete for this long after the termination signal; the platform kills the process after 3.7 s.
pub const CALL_DRAIN_SECONDS: Seconds = 3.0;

/// Inputs of the sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A receiver requests the handover.
    HandoverRequested,
    /// The receiver has confirmed that it is the owner.
    OwnershipAcquired,
    /// The receiver can't use the state that it was sent.
    StateUnusable,
    /// The link to the receiver has closed.
    LinkClosed,
    /// The result of [`Action::TryLock`]: whether this process holds the lock now.
    LockResult(bool),
    /// No call is in flight and everything to be sent has been sent.
    Drained,
    /// The process has received a termination signal.
    Terminate,
    /// Time has passed.
    Tick,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reject the receiver's request, with the reason.
    Reject(&'static str),
    /// Start no more calls, write nothing more, release the lock and send the whole state.
    HandOver,
    /// Try to acquire the lock.
    TryLock,
    /// Close the link and continue as owner: the state on disk has not changed in the meantime.
    Resume,
    /// Send the rest: client connections and idle connections to endpoints.
    SendConnections,
    /// Abort the calls in flight, so that the next owner may treat them as ended.
    AbortCalls,
    /// Restart the dispatcher from the journal.
    Restart,
    /// Exit the process.
    Exit,
}

/// The sender's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SenderState {
    /// This process is the owner.
    Owner {
        /// A termination signal has arrived.
        stopping: bool,
    },
    /// The state has been sent and the receiver has not confirmed yet; there may be no owner.
    AwaitingReceiver {
        /// When the sender starts to try for the lock.
        timeout_at: Seconds,
        /// When the lock is tried for next.
        lock_retry_at: Seconds,
        /// When the link closed, if it has.
        link_closed_at: Option<Seconds>,
        /// A termination signal has arrived.
        stopping: bool,
    },
    /// The receiver is the owner; calls of this process may still be in flight.
    Draining {
        /// No call is in flight any more.
        drained: bool,
        /// When the process exits at the latest, if that is known.
        exit_at: Option<Seconds>,
    },
    /// The receiver died while this process was draining; there may be no owner.
    ReceiverLost {
        /// When the link closed.
        since: Seconds,
        /// When the lock is tried for next.
        lock_retry_at: Seconds,
        /// A termination signal has arrived.
        stopping: bool,
    },
    /// The sender has finished and does nothing more.
    Ended,
}

impl Default for SenderState {
    fn default() -> SenderState {
        SenderState::Owner { stopping: false }
    }
}

impl SenderState {
    /// Whether this process is the owner.
    pub fn is_owner(&self) -> bool {
        matches!(self, SenderState::Owner { .. })
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Seconds, event: Event) -> Vec<Action> {
        let (next, actions) = self.transition(now, event);
        *self = next;
        actions
    }

    fn transition(self, now: Seconds, event: Event) -> (SenderState, Vec<Action>) {
        use Action::*;
        let unchanged = |actions: Vec<Action>| (self, actions);
        match (self, event) {
            (SenderState::Owner { stopping: false }, Event::HandoverRequested) => {
                let (timeout_at, lock_retry_at) =
                    (now + RECEIVER_TIMEOUT_SECONDS, now + RECEIVER_TIMEOUT_SECONDS);
                (
                    SenderState::AwaitingReceiver {
                        timeout_at,
                        lock_retry_at,
                        link_closed_at: None,
                        stopping: false,
                    },
                    vec![HandOver],
                )
            }
            (SenderState::Owner { stopping: true }, Event::HandoverRequested) => {
                unchanged(vec![Reject("stopping")])
            }
            (SenderState::Owner { .. }, Event::Terminate) => (SenderState::Owner { stopping: true }, vec![]),
            (
                SenderState::AwaitingReceiver { .. }
                | SenderState::Draining { .. }
                | SenderState::ReceiverLost { .. },
                Event::HandoverRequested,
            ) => unchanged(vec![Reject("an upgrade is under way")]),
            (
                SenderState::AwaitingReceiver { timeout_at, lock_retry_at, link_closed_at, .. },
                Event::Terminate,
            ) => (
                SenderState::AwaitingReceiver { timeout_at, lock_retry_at, link_closed_at, stopping: true },
                vec![],
            ),
            (SenderState::AwaitingReceiver { stopping, .. }, Event::OwnershipAcquired) => {
                let exit_at = stopping.then_some(now + CALL_DRAIN_SECONDS);
                (SenderState::Draining { drained: false, exit_at }, vec![SendConnections])
            }
            (SenderState::AwaitingReceiver { timeout_at, stopping, .. }, Event::StateUnusable) => {
                let awaiting = SenderState::AwaitingReceiver {
                    timeout_at,
                    lock_retry_at: now + LOCK_RETRY_SECONDS,
                    link_closed_at: None,
                    stopping,
                };
                (awaiting, vec![TryLock])
            }
            (
                SenderState::AwaitingReceiver { timeout_at, link_closed_at, stopping, .. },
                Event::LinkClosed,
            ) => {
                let link_closed_at = link_closed_at.or(Some(now));
                (
                    SenderState::AwaitingReceiver {
                        timeout_at,
                        lock_retry_at: now + LOCK_RETRY_SECONDS,
                        link_closed_at,
                        stopping,
                    },
                    vec![TryLock],
                )
            }
            (SenderState::AwaitingReceiver { stopping, .. }, Event::LockResult(true)) => {
                (SenderState::Owner { stopping }, vec![Resume])
            }
            // A process that holds the lock without a link to this one has started from the journal.
            (SenderState::AwaitingReceiver { link_closed_at: Some(at), .. }, Event::LockResult(false))
                if now >= at + MAX_LOCK_WAIT_SECONDS =>
            {
                (SenderState::Ended, vec![AbortCalls, Exit])
            }
            (
                SenderState::AwaitingReceiver { timeout_at, lock_retry_at, link_closed_at, stopping },
                Event::Tick,
            ) => {
                let may_be_dead = link_closed_at.is_some() || now >= timeout_at;
                if may_be_dead && now >= lock_retry_at {
                    (
                        SenderState::AwaitingReceiver {
                            timeout_at,
                            lock_retry_at: now + LOCK_RETRY_SECONDS,
                            link_closed_at,
                            stopping,
                        },
                        vec![TryLock],
                    )
                } else {
                    unchanged(vec![])
                }
            }
            (SenderState::Draining { drained: false, exit_at }, Event::Drained) => match exit_at {
                Some(_) => (SenderState::Ended, vec![Exit]),
                None => {
                    (SenderState::Draining { drained: true, exit_at: Some(now + EXIT_GRACE_SECONDS) }, vec![])
                }
            },
            (SenderState::Draining { drained: true, .. }, Event::Terminate) => {
                (SenderState::Ended, vec![Exit])
            }
            (SenderState::Draining { drained, exit_at }, Event::Terminate) => {
                let exit_at = exit_at.map_or(now + CALL_DRAIN_SECONDS, |at| at.min(now + CALL_DRAIN_SECONDS));
                (SenderState::Draining { drained, exit_at: Some(exit_at) }, vec![])
            }
            (SenderState::Draining { exit_at: Some(at), .. }, Event::Tick) if now >= at => {
                (SenderState::Ended, vec![AbortCalls, Exit])
            }
            (SenderState::Draining { drained, exit_at }, Event::LinkClosed) => {
                let stopping = exit_at.is_some() && !drained;
                let receiver_lost = SenderState::ReceiverLost {
                    since: now,
                    lock_retry_at: now + LOCK_RETRY_SECONDS,
                    stopping,
                };
                (receiver_lost, vec![AbortCalls, TryLock])
            }
            // Whoever sent the termination signal starts another process.
            (SenderState::ReceiverLost { stopping: true, .. }, Event::LockResult(true)) => {
                (SenderState::Ended, vec![Exit])
            }
            (SenderState::ReceiverLost { .. }, Event::LockResult(true)) => {
                (SenderState::Ended, vec![Restart])
            }
            (SenderState::ReceiverLost { since, .. }, Event::LockResult(false))
                if now >= since + MAX_LOCK_WAIT_SECONDS =>
            {
                (SenderState::Ended, vec![Exit])
            }
            (SenderState::ReceiverLost { since, lock_retry_at, .. }, Event::Terminate) => {
                (SenderState::ReceiverLost { since, lock_retry_at, stopping: true }, vec![])
            }
            (SenderState::ReceiverLost { since, lock_retry_at, stopping }, Event::Tick)
                if now >= lock_retry_at =>
            {
                (
                    SenderState::ReceiverLost { since, lock_retry_at: now + LOCK_RETRY_SECONDS, stopping },
                    vec![TryLock],
                )
            }
            _ => unchanged(vec![]),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run_events(events: &[(Seconds, Event)]) -> (SenderState, Vec<Action>) {
        let mut sender = SenderState::default();
        let actions = events.iter().flat_map(|(at, event)| sender.step(*at, *event)).collect();
        (sender, actions)
    }

    #[test]
    fn hands_over_then_drains_and_exits() {
        let (sender, actions) = run_events(&[
            (0.0, Event::HandoverRequested),
            (0.1, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (0.3, Event::Drained),
            (0.4, Event::Terminate),
        ]);
        let rejected = Action::Reject("an upgrade is under way");
        assert_eq!(actions, [Action::HandOver, rejected, Action::SendConnections, Action::Exit]);
        assert_eq!(sender, SenderState::Ended);
    }

    #[test]
    fn a_receiver_that_dies_or_hangs_leaves_the_sender_serving() {
        let (sender, actions) = run_events(&[
            (0.0, Event::HandoverRequested),
            (0.1, Event::LinkClosed),
            (0.1, Event::LockResult(true)),
        ]);
        assert_eq!(actions, [Action::HandOver, Action::TryLock, Action::Resume]);
        assert!(sender.is_owner());
        let hung_receiver = [
            (0.0, Event::HandoverRequested),
            (0.5, Event::Tick),
            (1.1, Event::Tick),
            (1.1, Event::LockResult(true)),
        ];
        assert_eq!(run_events(&hung_receiver).1, [Action::HandOver, Action::TryLock, Action::Resume]);
        let unusable_state =
            [(0.0, Event::HandoverRequested), (0.1, Event::StateUnusable), (0.1, Event::LockResult(true))];
        assert!(run_events(&unusable_state).0.is_owner());
    }

    #[test]
    fn waits_as_long_as_the_receiver_holds_the_lock() {
        let mut sender = SenderState::default();
        sender.step(0.0, Event::HandoverRequested);
        for i in 10..100 {
            let now = f64::from(i) / 10.0;
            assert_eq!(sender.step(now, Event::Tick), [Action::TryLock]);
            assert_eq!(sender.step(now, Event::LockResult(false)), []);
        }
        assert_eq!(sender.step(11.0, Event::OwnershipAcquired), [Action::SendConnections]);
    }

    #[test]
    fn calls_may_complete_for_a_limited_time_after_termination() {
        let (sender, actions) = run_events(&[
            (0.0, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (1.0, Event::Terminate),
            (3.9, Event::Tick),
            (4.1, Event::Tick),
        ]);
        assert_eq!(actions, [Action::HandOver, Action::SendConnections, Action::AbortCalls, Action::Exit]);
        assert_eq!(sender, SenderState::Ended);
        let no_signal = [
            (0.0, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (1.0, Event::Drained),
            (6.1, Event::Tick),
        ];
        assert_eq!(run_events(&no_signal).0, SenderState::Ended);
    }

    #[test]
    fn restarts_when_a_receiver_that_owns_dies() {
        let receiver_lost = [
            (0.0, Event::HandoverRequested),
            (0.1, Event::OwnershipAcquired),
            (0.2, Event::LinkClosed),
            (0.2, Event::LockResult(true)),
        ];
        let actions = run_events(&receiver_lost).1;
        let expected =
            [Action::HandOver, Action::SendConnections, Action::AbortCalls, Action::TryLock, Action::Restart];
        assert_eq!(actions, expected);
    }
}
