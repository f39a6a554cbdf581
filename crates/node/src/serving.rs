//! The phase of this process in a handover. Tasks that read from clients, write to the journal or begin calls wait here
//! while this process does not own the dispatcher's state.

use std::cell::RefCell;
use std::future::Future;
use std::task::{Context, Poll, Waker};
use tokio::sync::watch;

/// The phase of a handover, for the process that hands over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It owns the state and serves.
    #[default]
    Serving,
    /// It has sent its state and has no confirmation yet: nothing begins, nothing is written.
    HandingOver,
    /// The other process owns the state.
    HandedOver,
}

/// The phase, and the tasks that wait for it to change.
#[derive(Default)]
pub struct ServingState {
    phase: watch::Sender<Phase>,
    /// Readers that wait for this process to serve again or to end. Either happens within moments.
    blocked_readers: RefCell<Vec<Waker>>,
}

impl ServingState {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Changes the phase and wakes all waiting tasks.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
        self.blocked_readers.take().into_iter().for_each(Waker::wake);
    }

    /// Ready while this process serves.
    pub fn poll_serving(&self, cx: &Context<'_>) -> Poll<()> {
        if self.phase() == Phase::Serving {
            return Poll::Ready(());
        }
        self.blocked_readers.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the phase satisfies a condition.
    pub async fn wait_for(&self, condition: impl Fn(Phase) -> bool) -> Phase {
        // The sender lives as long as `self`, so the wait can't fail.
        self.phase
            .subscribe()
            .wait_for(|phase| condition(*phase))
            .await
            .map_or(Phase::HandedOver, |phase| *phase)
    }

    /// Waits until it is decided which process owns the state.
    pub async fn wait_until_settled(&self) -> Phase {
        self.wait_for(|phase| phase != Phase::HandingOver).await
    }

    /// Runs a task while this process serves; cancels it when a handover begins, and starts it again if that fails.
    pub async fn run_while_serving<F: Future>(&self, start: impl Fn() -> F) {
        loop {
            self.wait_for(|phase| phase == Phase::Serving).await;
            tokio::select! {
                _ = start() => return,
                _ = self.wait_for(|phase| phase != Phase::Serving) => {}
            }
        }
    }
}
