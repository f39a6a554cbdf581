//! The decisions of the admission control, without I/O.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// The limits of a server on its callers.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Maximum number of callers at a time; at least one is admitted.
    pub max_callers: usize,
    /// For this long after its admission, a caller is not evicted.
    pub min_time: Duration,
}

/// An admitted caller. Later callers have greater ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(u64);

/// What a server has to do with the next caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The caller is admitted under this id.
    Admitted(CallerId),
    /// All connections are in use: disconnect this caller, remove it once its connection is closed, and ask again.
    Evict(CallerId),
    /// All connections are in use: ask again once a caller is removed or its request is complete, or at this time.
    Wait(Option<Instant>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerState {
    /// Its request is not complete, or has not been begun to be handled.
    Pending,
    /// Its request is being handled.
    Handled,
    /// It was evicted, and its connection is being closed.
    Evicted,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    source: IpAddr,
    admitted_at: Instant,
    state: CallerState,
}

/// The callers of a server.
#[derive(Debug)]
pub struct AdmissionTable {
    limits: AdmissionLimits,
    callers: BTreeMap<CallerId, Caller>,
    next_id: u64,
}

impl AdmissionTable {
    /// A table without callers.
    pub fn new(limits: AdmissionLimits) -> AdmissionTable {
        AdmissionTable { limits, callers: BTreeMap::new(), next_id: 0 }
    }

    /// Decides on a caller from `source` that has connected and waits to be admitted.
    pub fn admit(&mut self, now: Instant, source: IpAddr) -> Decision {
        if self.callers.len() < self.limits.max_callers.max(1) {
            return Decision::Admitted(self.insert(now, source));
        }
        // One connection is enough for one caller.
        if self.callers.values().any(|caller| caller.state == CallerState::Evicted) {
            return Decision::Wait(None);
        }
        let Some(id) = self.eviction_candidate() else { return Decision::Wait(None) };
        let Some(caller) = self.callers.get_mut(&id) else { return Decision::Wait(None) };
        let evictable_at = caller.admitted_at + self.limits.min_time;
        if now < evictable_at {
            return Decision::Wait(Some(evictable_at));
        }
        caller.state = CallerState::Evicted;
        Decision::Evict(id)
    }

    /// The caller's request is being handled from now on: it is not evicted any more, and if it was to be, another one is.
    pub fn mark_handled(&mut self, id: CallerId) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.state = CallerState::Handled;
        }
    }

    /// The caller's connection is closed.
    pub fn remove(&mut self, id: CallerId) {
        self.callers.remove(&id);
    }

    /// Number of connections in use.
    pub fn count(&self) -> usize {
        self.callers.len()
    }

    fn insert(&mut self, now: Instant, source: IpAddr) -> CallerId {
        let id = CallerId(self.next_id);
        self.next_id += 1;
        self.callers.insert(id, Caller { source, admitted_at: now, state: CallerState::Pending });
        id
    }

    /// The oldest pending caller of the source that has the most of them, so that many callers from one address do not
    /// displace those from others. Among sources that have equally many, the oldest caller.
    fn eviction_candidate(&self) -> Option<CallerId> {
        let mut sources: BTreeMap<IpAddr, (usize, CallerId)> = BTreeMap::new();
        let pending = self.callers.iter().filter(|(_, caller)| caller.state == CallerState::Pending);
        for (id, caller) in pending {
            // Ids are in the order of admission: the first one of a source is its oldest.
            sources.entry(caller.source).or_insert((0, *id)).0 += 1;
        }
        let largest = sources.into_values().max_by_key(|(count, oldest)| (*count, Reverse(*oldest)));
        largest.map(|(_, oldest)| oldest)
    }
}
