//! Admission control for an asynchronous server on one thread.

use crate::table::{AdmissionLimits, AdmissionTable, CallerId, Decision};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Admits the callers of a server. One task asks it for one caller after the other.
#[derive(Debug)]
pub struct AdmissionGate {
    table: RefCell<AdmissionTable>,
    /// Notified when the caller of this id is evicted.
    evictions: RefCell<BTreeMap<CallerId, Rc<Notify>>>,
    /// Notified when a decision may have changed.
    changed: Notify,
}

impl AdmissionGate {
    /// A gate without callers.
    pub fn new(limits: AdmissionLimits) -> Rc<AdmissionGate> {
        Rc::new(AdmissionGate {
            table: RefCell::new(AdmissionTable::new(limits)),
            evictions: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Waits until the caller from `source` is admitted, and evicts another one where the limits demand it. The caller's
    /// connection is open meanwhile, beyond those of the admitted callers.
    pub async fn admit(self: &Rc<Self>, source: IpAddr) -> AdmissionSlot {
        loop {
            let decision = self.table.borrow_mut().admit(Instant::now(), source);
            match decision {
                Decision::Admitted(id) => return self.new_slot(id),
                Decision::Evict(id) => self.evict(id),
                Decision::Wait(None) => self.changed.notified().await,
                Decision::Wait(Some(at)) => tokio::select! {
                    () = self.changed.notified() => {}
                    () = sleep_until(at.into()) => {}
                },
            }
        }
    }

    /// Number of admitted callers whose connections are open.
    pub fn count(&self) -> usize {
        self.table.borrow().count()
    }

    fn new_slot(self: &Rc<Self>, id: CallerId) -> AdmissionSlot {
        let eviction = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, eviction.clone());
        AdmissionSlot { gate: self.clone(), id, eviction, admitted_at: Instant::now() }
    }

    fn evict(&self, id: CallerId) {
        if let Some(eviction) = self.evictions.borrow().get(&id) {
            eviction.notify_one();
        }
    }
}

/// The admission of one caller. Dropping it, also when the caller's task is aborted, lets another one in, so it is dropped
/// after the caller's connection.
#[derive(Debug)]
pub struct AdmissionSlot {
    gate: Rc<AdmissionGate>,
    id: CallerId,
    eviction: Rc<Notify>,
    admitted_at: Instant,
}

impl AdmissionSlot {
    /// Completes when the caller is evicted: its connection is to be closed at once.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// The caller's request is being handled from now on: it is not evicted any more.
    pub fn mark_handled(&self) {
        self.gate.table.borrow_mut().mark_handled(self.id);
        self.gate.changed.notify_one();
    }

    /// For how long the caller has been admitted.
    pub fn age(&self) -> Duration {
        self.admitted_at.elapsed()
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.gate.table.borrow_mut().remove(self.id);
        self.gate.evictions.borrow_mut().remove(&self.id);
        self.gate.changed.notify_one();
    }
}
