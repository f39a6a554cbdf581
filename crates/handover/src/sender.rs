//! The old process's side.
//!
//! It is_owner until it frees the lock, and again once it has taken it back. Between the two it changes nothing that is on
//! record and begins nothing; what is out goes on.

use crate::Seconds;

/// A taker that has not said that it is_owner by then is doubted: clients wait 0.4 s for an answer.
pub const RECEIVER_TIMEOUT_SECONDS: Seconds = 1.0;
/// How often the lock is tried while its holder is in doubt.
pub const LOCK_RETRY_SECONDS: Seconds = 0.05;
/// A lock that somebody else holds for so long, with no link to him, is not coming back.
pub const MAX_LOCK_WAIT_SECONDS: Seconds = 3.0;
/// A process that has drained and was not told to stop ends by itself after this.
pub const EXIT_GRACE_SECONDS: Seconds = 5.0;
/// From the word to stop on, calls that are out may end by then; the platform kills 3.7 s after it.
pub const CALL_DRAIN_SECONDS: Seconds = 3.0;

/// What happens to the giver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A taker asks.
    HandoverRequested,
    /// The taker is_owner.
    OwnershipAcquired,
    /// The taker can't use what it got.
    StateUnusable,
    /// The link has ended.
    LinkClosed,
    /// The lock was tried for, and is held by this process now, or not.
    LockResult(bool),
    /// No call is out, and all that goes over has gone.
    Drained,
    /// The process is told to stop.
    Terminate,
    /// Time has passed.
    Tick,
}

/// What the giver does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say no to a taker that asks, and why.
    Reject(&'static str),
    /// Begin nothing more; write nothing more; free the lock; send all that is known.
    HandOver,
    /// Try for the lock.
    TryLock,
    /// End the link and go on as before: nothing has changed meanwhile.
    Resume,
    /// The rest may go over: clients' connections, idle ones to endpoints.
    SendConnections,
    /// Break off what is out, so that whoever is_owner may take it for ended.
    AbortCalls,
    /// Begin anew, from what is on record.
    Restart,
    /// End the process.
    Exit,
}

/// Where the giver stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SenderState {
    /// It is_owner.
    Owner {
        /// It was told to stop.
        stopping: bool,
    },
    /// It has given and not heard yet; nobody may own.
    AwaitingReceiver {
        /// From then on the taker is doubted.
        timeout_at: Seconds,
        /// The lock was tried for, or is to be, then.
        lock_retry_at: Seconds,
        /// The link has ended since then.
        link_closed_at: Option<Seconds>,
        /// It was told to stop.
        stopping: bool,
    },
    /// The taker is_owner; calls of this process may still be out.
    Draining {
        /// Nothing is out any more.
        drained: bool,
        /// It ends then at the latest, where that is known.
        exit_at: Option<Seconds>,
    },
    /// The taker has died while this process was finishing: nobody may own.
    ReceiverLost {
        /// Since then.
        since: Seconds,
        /// The lock is tried for next.
        lock_retry_at: Seconds,
        /// It was told to stop.
        stopping: bool,
    },
    /// It does nothing more.
    Ended,
}

impl Default for SenderState {
    fn default() -> SenderState {
        SenderState::Owner { stopping: false }
    }
}

impl SenderState {
    /// Whether this process is_owner.
    pub fn is_owner(&self) -> bool {
        matches!(self, SenderState::Owner { .. })
    }

    /// One event, and what to do about it, in this order.
    pub fn step(&mut self, now: Seconds, event: Event) -> Vec<Action> {
        let (next, actions) = self.after(now, event);
        *self = next;
        actions
    }

    fn after(self, now: Seconds, event: Event) -> (SenderState, Vec<Action>) {
        use Action::*;
        let stay = |actions: Vec<Action>| (self, actions);
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
                stay(vec![Reject("stopping")])
            }
            (SenderState::Owner { .. }, Event::Terminate) => (SenderState::Owner { stopping: true }, vec![]),
            (
                SenderState::AwaitingReceiver { .. }
                | SenderState::Draining { .. }
                | SenderState::ReceiverLost { .. },
                Event::HandoverRequested,
            ) => stay(vec![Reject("an upgrade is under way")]),
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
                let given = SenderState::AwaitingReceiver {
                    timeout_at,
                    lock_retry_at: now + LOCK_RETRY_SECONDS,
                    link_closed_at: None,
                    stopping,
                };
                (given, vec![TryLock])
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
            // Whoever holds the lock without a link to this process has begun from what is on record.
            (SenderState::AwaitingReceiver { link_closed_at: Some(at), .. }, Event::LockResult(false))
                if now >= at + MAX_LOCK_WAIT_SECONDS =>
            {
                (SenderState::Ended, vec![AbortCalls, Exit])
            }
            (
                SenderState::AwaitingReceiver { timeout_at, lock_retry_at, link_closed_at, stopping },
                Event::Tick,
            ) => {
                let doubted = link_closed_at.is_some() || now >= timeout_at;
                if doubted && now >= lock_retry_at {
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
                    stay(vec![])
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
                let orphan = SenderState::ReceiverLost {
                    since: now,
                    lock_retry_at: now + LOCK_RETRY_SECONDS,
                    stopping,
                };
                (orphan, vec![AbortCalls, TryLock])
            }
            // It was told to stop, and whoever told it starts another.
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
            _ => stay(vec![]),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(events: &[(Seconds, Event)]) -> (SenderState, Vec<Action>) {
        let mut giver = SenderState::default();
        let actions = events.iter().flat_map(|(at, event)| giver.step(*at, *event)).collect();
        (giver, actions)
    }

    #[test]
    fn it_gives_and_finishes() {
        let (giver, actions) = steps(&[
            (0.0, Event::HandoverRequested),
            (0.1, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (0.3, Event::Drained),
            (0.4, Event::Terminate),
        ]);
        let busy = Action::Reject("an upgrade is under way");
        assert_eq!(actions, [Action::HandOver, busy, Action::SendConnections, Action::Exit]);
        assert_eq!(giver, SenderState::Ended);
    }

    #[test]
    fn a_taker_that_dies_or_hangs_leaves_the_old_one_serving() {
        let (giver, actions) = steps(&[
            (0.0, Event::HandoverRequested),
            (0.1, Event::LinkClosed),
            (0.1, Event::LockResult(true)),
        ]);
        assert_eq!(actions, [Action::HandOver, Action::TryLock, Action::Resume]);
        assert!(giver.is_owner());
        let hangs = [
            (0.0, Event::HandoverRequested),
            (0.5, Event::Tick),
            (1.1, Event::Tick),
            (1.1, Event::LockResult(true)),
        ];
        assert_eq!(steps(&hangs).1, [Action::HandOver, Action::TryLock, Action::Resume]);
        let unusable =
            [(0.0, Event::HandoverRequested), (0.1, Event::StateUnusable), (0.1, Event::LockResult(true))];
        assert!(steps(&unusable).0.is_owner());
    }

    #[test]
    fn while_the_taker_has_the_lock_it_is_waited_for() {
        let mut giver = SenderState::default();
        giver.step(0.0, Event::HandoverRequested);
        for i in 10..100 {
            let now = f64::from(i) / 10.0;
            assert_eq!(giver.step(now, Event::Tick), [Action::TryLock]);
            assert_eq!(giver.step(now, Event::LockResult(false)), []);
        }
        assert_eq!(giver.step(11.0, Event::OwnershipAcquired), [Action::SendConnections]);
    }

    #[test]
    fn calls_may_end_for_a_while_after_the_word() {
        let (giver, actions) = steps(&[
            (0.0, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (1.0, Event::Terminate),
            (3.9, Event::Tick),
            (4.1, Event::Tick),
        ]);
        assert_eq!(actions, [Action::HandOver, Action::SendConnections, Action::AbortCalls, Action::Exit]);
        assert_eq!(giver, SenderState::Ended);
        let alone = [
            (0.0, Event::HandoverRequested),
            (0.2, Event::OwnershipAcquired),
            (1.0, Event::Drained),
            (6.1, Event::Tick),
        ];
        assert_eq!(steps(&alone).0, SenderState::Ended);
    }

    #[test]
    fn a_taker_that_dies_as_owner_is_followed_by_the_old_one() {
        let orphan = [
            (0.0, Event::HandoverRequested),
            (0.1, Event::OwnershipAcquired),
            (0.2, Event::LinkClosed),
            (0.2, Event::LockResult(true)),
        ];
        let actions = steps(&orphan).1;
        let expected =
            [Action::HandOver, Action::SendConnections, Action::AbortCalls, Action::TryLock, Action::Restart];
        assert_eq!(actions, expected);
    }
}
