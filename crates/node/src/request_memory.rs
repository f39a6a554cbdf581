//! The memory for clients' requests that are longer than the allowance of their connections: a budget in bytes, of which
//! each such request holds a lease until it is answered. Requests wait for it in the order in which they asked.

use crate::memory_plan::REQUEST_ALLOWANCE_BYTES;
use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The unit in which memory is leased.
const UNIT_BYTES: usize = 1024;

/// The budget of this process.
pub struct RequestMemory {
    available: Arc<Semaphore>,
    total_units: usize,
    /// Requests that wait for memory.
    waiting: Cell<usize>,
    /// Notified when a request begins to wait.
    wanted: Notify,
}

/// The memory that one request holds beyond the allowance of its connection. Dropping it returns the memory.
#[derive(Default)]
pub struct MemoryLease(Option<OwnedSemaphorePermit>);

impl MemoryLease {
    fn units(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Bytes of a request that may be held with this lease and the connection's allowance.
    pub fn bytes(&self) -> usize {
        REQUEST_ALLOWANCE_BYTES as usize + self.units() * UNIT_BYTES
    }

    /// Whether it holds memory of the budget.
    pub fn is_held(&self) -> bool {
        self.0.is_some()
    }

    /// Adds what was leased in addition.
    pub fn extend(&mut self, added: OwnedSemaphorePermit) {
        match &mut self.0 {
            Some(held) => held.merge(added),
            none => *none = Some(added),
        }
    }
}

/// Counts a request as waiting for as long as it exists.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Waiting<'a> {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RequestMemory {
    /// A budget of this many bytes.
    pub fn new(bytes: u64) -> RequestMemory {
        let total_units = (bytes as usize / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        RequestMemory {
            available: Arc::new(Semaphore::new(total_units)),
            total_units,
            waiting: Cell::new(0),
            wanted: Notify::new(),
        }
    }

    /// Waits for what a request needs in addition to its lease to be `bytes` long. Returns at once if that is nothing.
    pub async fn lease(&self, lease_bytes: usize, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = bytes.saturating_sub(lease_bytes).div_ceil(UNIT_BYTES).min(self.total_units);
        let units = u32::try_from(units).ok().filter(|units| *units > 0)?;
        if let Ok(leased) = self.available.clone().try_acquire_many_owned(units) {
            return Some(leased);
        }
        let _waiting = Waiting::new(&self.waiting);
        self.wanted.notify_one();
        // The semaphore is never closed.
        self.available.clone().acquire_many_owned(units).await.ok()
    }

    /// Bytes that are leased.
    pub fn leased_bytes(&self) -> usize {
        (self.total_units - self.available.available_permits()) * UNIT_BYTES
    }

    /// Number of requests that wait for memory.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Completes once a request waits for memory.
    pub async fn wait_until_wanted(&self) {
        while self.waiting.get() == 0 {
            self.wanted.notified().await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::time::timeout;

    const ALLOWANCE: usize = REQUEST_ALLOWANCE_BYTES as usize;

    #[tokio::test]
    async fn memory_is_leased_in_order_and_returned() {
        let memory = RequestMemory::new(4 * 1024);
        let (mut first, mut second) = (MemoryLease::default(), MemoryLease::default());
        assert!(memory.lease(first.bytes(), ALLOWANCE).await.is_none());
        first.extend(memory.lease(first.bytes(), ALLOWANCE + 3000).await.unwrap());
        assert_eq!((memory.leased_bytes(), first.bytes()), (3 * 1024, ALLOWANCE + 3 * 1024));
        let blocked = timeout(Duration::from_millis(5), memory.lease(second.bytes(), ALLOWANCE + 2048)).await;
        assert!(blocked.is_err() && memory.waiting() == 0);
        let waiting = memory.lease(second.bytes(), ALLOWANCE + 2048);
        let release = async {
            memory.wait_until_wanted().await;
            drop(first);
        };
        second.extend(tokio::join!(waiting, release).0.unwrap());
        assert_eq!(memory.leased_bytes(), 2 * 1024);
        drop(second);
        assert_eq!(memory.leased_bytes(), 0);
    }

    #[tokio::test]
    async fn a_request_that_exceeds_the_budget_gets_all_of_it() {
        let memory = RequestMemory::new(4 * 1024);
        assert_eq!(memory.lease(ALLOWANCE, 1 << 20).await.unwrap().num_permits(), 4);
    }
}
