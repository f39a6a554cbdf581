//! The old process's side.
//!
//! It owns until it frees the lock, and again once it has taken it back. Between the two it changes nothing that is on
//! record and begins nothing; what is out goes on.

use crate::Seconds;

/// A taker that has not said that it owns by then is doubted: clients wait 0.4 s for an answer.
pub const PATIENCE: Seconds = 1.0;
/// How often the lock is tried while its holder is in doubt.
pub const TRY_EVERY: Seconds = 0.05;
/// A lock that somebody else holds for so long, with no link to him, is not coming back.
pub const LOCK_MOST: Seconds = 3.0;
/// A process that has finished and was not told to stop ends by itself after this.
pub const LINGER: Seconds = 5.0;
/// From the word to stop on, calls that are out may end by then; the platform kills 3.7 s after it.
pub const CALLS_END: Seconds = 3.0;

/// What happens to the giver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A taker asks.
    Asked,
    /// The taker owns.
    Mine,
    /// The taker can't use what it got.
    Unusable,
    /// The link has ended.
    Broken,
    /// The lock was tried for, and is held by this process now, or not.
    Locked(bool),
    /// No call is out, and all that goes over has gone.
    Finished,
    /// The process is told to stop.
    Terminate,
    /// Time has passed.
    Tick,
}

/// What the giver does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say no to a taker that asks, and why.
    Refuse(&'static str),
    /// Begin nothing more; write nothing more; free the lock; send all that is known.
    Give,
    /// Try for the lock.
    TryLock,
    /// End the link and go on as before: nothing has changed meanwhile.
    Resume,
    /// The rest may go over: clients' connections, idle ones to endpoints.
    HandRest,
    /// Break off what is out, so that whoever owns may take it for ended.
    Cut,
    /// Begin anew, from what is on record.
    Restart,
    /// End the process.
    Exit,
}

/// Where the giver stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Giver {
    /// It owns.
    Owner {
        /// It was told to stop.
        stopping: bool,
    },
    /// It has given and not heard yet; nobody may own.
    Given {
        /// From then on the taker is doubted.
        doubt_at: Seconds,
        /// The lock was tried for, or is to be, then.
        try_at: Seconds,
        /// The link has ended since then.
        broken: Option<Seconds>,
        /// It was told to stop.
        stopping: bool,
    },
    /// The taker owns; calls of this process may still be out.
    Finishing {
        /// Nothing is out any more.
        finished: bool,
        /// It ends then at the latest, where that is known.
        end_at: Option<Seconds>,
    },
    /// The taker has died while this process was finishing: nobody may own.
    Orphan {
        /// Since then.
        since: Seconds,
        /// The lock is tried for next.
        try_at: Seconds,
        /// It was told to stop.
        stopping: bool,
    },
    /// It does nothing more.
    Over,
}

impl Default for Giver {
    fn default() -> Giver {
        Giver::Owner { stopping: false }
    }
}

impl Giver {
    /// Whether this process owns.
    pub fn owns(&self) -> bool {
        matches!(self, Giver::Owner { .. })
    }

    /// One event, and what to do about it, in this order.
    pub fn step(&mut self, now: Seconds, event: Event) -> Vec<Action> {
        let (next, actions) = self.after(now, event);
        *self = next;
        actions
    }

    fn after(self, now: Seconds, event: Event) -> (Giver, Vec<Action>) {
        use Action::*;
        let stay = |actions: Vec<Action>| (self, actions);
        match (self, event) {
            (Giver::Owner { stopping: false }, Event::Asked) => {
                let (doubt_at, try_at) = (now + PATIENCE, now + PATIENCE);
                (Giver::Given { doubt_at, try_at, broken: None, stopping: false }, vec![Give])
            }
            (Giver::Owner { stopping: true }, Event::Asked) => stay(vec![Refuse("stopping")]),
            (Giver::Owner { .. }, Event::Terminate) => (Giver::Owner { stopping: true }, vec![]),
            (Giver::Given { .. } | Giver::Finishing { .. } | Giver::Orphan { .. }, Event::Asked) => {
                stay(vec![Refuse("an upgrade is under way")])
            }
            (Giver::Given { doubt_at, try_at, broken, .. }, Event::Terminate) => {
                (Giver::Given { doubt_at, try_at, broken, stopping: true }, vec![])
            }
            (Giver::Given { stopping, .. }, Event::Mine) => {
                let end_at = stopping.then_some(now + CALLS_END);
                (Giver::Finishing { finished: false, end_at }, vec![HandRest])
            }
            (Giver::Given { doubt_at, stopping, .. }, Event::Unusable) => {
                let given = Giver::Given { doubt_at, try_at: now + TRY_EVERY, broken: None, stopping };
                (given, vec![TryLock])
            }
            (Giver::Given { doubt_at, broken, stopping, .. }, Event::Broken) => {
                let broken = broken.or(Some(now));
                (Giver::Given { doubt_at, try_at: now + TRY_EVERY, broken, stopping }, vec![TryLock])
            }
            (Giver::Given { stopping, .. }, Event::Locked(true)) => (Giver::Owner { stopping }, vec![Resume]),
            // Whoever holds the lock without a link to this process has begun from what is on record.
            (Giver::Given { broken: Some(at), .. }, Event::Locked(false)) if now >= at + LOCK_MOST => {
                (Giver::Over, vec![Cut, Exit])
            }
            (Giver::Given { doubt_at, try_at, broken, stopping }, Event::Tick) => {
                let doubted = broken.is_some() || now >= doubt_at;
                if doubted && now >= try_at {
                    (Giver::Given { doubt_at, try_at: now + TRY_EVERY, broken, stopping }, vec![TryLock])
                } else {
                    stay(vec![])
                }
            }
            (Giver::Finishing { finished: false, end_at }, Event::Finished) => match end_at {
                Some(_) => (Giver::Over, vec![Exit]),
                None => (Giver::Finishing { finished: true, end_at: Some(now + LINGER) }, vec![]),
            },
            (Giver::Finishing { finished: true, .. }, Event::Terminate) => (Giver::Over, vec![Exit]),
            (Giver::Finishing { finished, end_at }, Event::Terminate) => {
                let end_at = end_at.map_or(now + CALLS_END, |at| at.min(now + CALLS_END));
                (Giver::Finishing { finished, end_at: Some(end_at) }, vec![])
            }
            (Giver::Finishing { end_at: Some(at), .. }, Event::Tick) if now >= at => {
                (Giver::Over, vec![Cut, Exit])
            }
            (Giver::Finishing { finished, end_at }, Event::Broken) => {
                let stopping = end_at.is_some() && !finished;
                let orphan = Giver::Orphan { since: now, try_at: now + TRY_EVERY, stopping };
                (orphan, vec![Cut, TryLock])
            }
            // It was told to stop, and whoever told it starts another.
            (Giver::Orphan { stopping: true, .. }, Event::Locked(true)) => (Giver::Over, vec![Exit]),
            (Giver::Orphan { .. }, Event::Locked(true)) => (Giver::Over, vec![Restart]),
            (Giver::Orphan { since, .. }, Event::Locked(false)) if now >= since + LOCK_MOST => {
                (Giver::Over, vec![Exit])
            }
            (Giver::Orphan { since, try_at, .. }, Event::Terminate) => {
                (Giver::Orphan { since, try_at, stopping: true }, vec![])
            }
            (Giver::Orphan { since, try_at, stopping }, Event::Tick) if now >= try_at => {
                (Giver::Orphan { since, try_at: now + TRY_EVERY, stopping }, vec![TryLock])
            }
            _ => stay(vec![]),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(events: &[(Seconds, Event)]) -> (Giver, Vec<Action>) {
        let mut giver = Giver::default();
        let actions = events.iter().flat_map(|(at, event)| giver.step(*at, *event)).collect();
        (giver, actions)
    }

    #[test]
    fn it_gives_and_finishes() {
        let (giver, actions) = steps(&[
            (0.0, Event::Asked),
            (0.1, Event::Asked),
            (0.2, Event::Mine),
            (0.3, Event::Finished),
            (0.4, Event::Terminate),
        ]);
        let busy = Action::Refuse("an upgrade is under way");
        assert_eq!(actions, [Action::Give, busy, Action::HandRest, Action::Exit]);
        assert_eq!(giver, Giver::Over);
    }

    #[test]
    fn a_taker_that_dies_or_hangs_leaves_the_old_one_serving() {
        let (giver, actions) =
            steps(&[(0.0, Event::Asked), (0.1, Event::Broken), (0.1, Event::Locked(true))]);
        assert_eq!(actions, [Action::Give, Action::TryLock, Action::Resume]);
        assert!(giver.owns());
        let hangs = [(0.0, Event::Asked), (0.5, Event::Tick), (1.1, Event::Tick), (1.1, Event::Locked(true))];
        assert_eq!(steps(&hangs).1, [Action::Give, Action::TryLock, Action::Resume]);
        let unusable = [(0.0, Event::Asked), (0.1, Event::Unusable), (0.1, Event::Locked(true))];
        assert!(steps(&unusable).0.owns());
    }

    #[test]
    fn while_the_taker_has_the_lock_it_is_waited_for() {
        let mut giver = Giver::default();
        giver.step(0.0, Event::Asked);
        for i in 10..100 {
            let now = f64::from(i) / 10.0;
            assert_eq!(giver.step(now, Event::Tick), [Action::TryLock]);
            assert_eq!(giver.step(now, Event::Locked(false)), []);
        }
        assert_eq!(giver.step(11.0, Event::Mine), [Action::HandRest]);
    }

    #[test]
    fn calls_may_end_for_a_while_after_the_word() {
        let (giver, actions) = steps(&[
            (0.0, Event::Asked),
            (0.2, Event::Mine),
            (1.0, Event::Terminate),
            (3.9, Event::Tick),
            (4.1, Event::Tick),
        ]);
        assert_eq!(actions, [Action::Give, Action::HandRest, Action::Cut, Action::Exit]);
        assert_eq!(giver, Giver::Over);
        let alone = [(0.0, Event::Asked), (0.2, Event::Mine), (1.0, Event::Finished), (6.1, Event::Tick)];
        assert_eq!(steps(&alone).0, Giver::Over);
    }

    #[test]
    fn a_taker_that_dies_as_owner_is_followed_by_the_old_one() {
        let orphan =
            [(0.0, Event::Asked), (0.1, Event::Mine), (0.2, Event::Broken), (0.2, Event::Locked(true))];
        let actions = steps(&orphan).1;
        let expected = [Action::Give, Action::HandRest, Action::Cut, Action::TryLock, Action::Restart];
        assert_eq!(actions, expected);
    }
}
