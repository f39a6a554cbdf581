//! Whether this process serves: what reads, writes and begins things waits here while it hands over.

use std::cell::RefCell;
use std::future::Future;
use std::task::{Context, Poll, Waker};
use tokio::sync::watch;

/// Where this process stands towards the one that takes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It owns and serves.
    #[default]
    Serving,
    /// It has given all away and not heard yet that it was taken: nothing begins, nothing is written.
    HandingOver,
    /// The other one owns.
    HandedOver,
}

/// The phase, and who waits for it to change.
#[derive(Default)]
pub struct ServingState {
    phase: watch::Sender<Phase>,
    /// Readers that found it shut: they are few moments from its opening, or from their end.
    shut_out: RefCell<Vec<Waker>>,
}

impl ServingState {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// The phase from now on.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
        self.shut_out.take().into_iter().for_each(Waker::wake);
    }

    /// Ready while this process serves.
    pub fn poll_serving(&self, cx: &Context<'_>) -> Poll<()> {
        if self.phase() == Phase::Serving {
            return Poll::Ready(());
        }
        self.shut_out.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the phase is such a one.
    pub async fn wait_for(&self, such: impl Fn(Phase) -> bool) -> Phase {
        // The sender lives as long as this does.
        self.phase.subscribe().wait_for(|phase| such(*phase)).await.map_or(Phase::HandedOver, |phase| *phase)
    }

    /// Waits until it is known who owns.
    pub async fn wait_until_settled(&self) -> Phase {
        self.wait_for(|phase| phase != Phase::HandingOver).await
    }

    /// Does something while this process serves, from its beginning each time that it serves again.
    pub async fn run_while_serving<F: Future>(&self, begin: impl Fn() -> F) {
        loop {
            self.wait_for(|phase| phase == Phase::Serving).await;
            tokio::select! {
                _ = begin() => return,
                _ = self.wait_for(|phase| phase != Phase::Serving) => {}
            }
        }
    }
}
