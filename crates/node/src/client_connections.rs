//! The open client connections, and which of them is closed for another client: for its place among the connections, or
//! for the memory that its request holds.

use crate::client_closes::{CloseCounters, CloseReason};
use crate::client_connection::{ClientConnection, IdleCount};
use crate::request_memory::RequestMemory;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// A client whose request is expected or arrives keeps its connection and memory for this long, while others wait for them,
/// where there are [`FULL_TIME_CONNECTIONS`] or more. With fewer connections the time is shorter in proportion, or a crowd's
/// queue would take longer than a client waits.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(100);
const FULL_TIME_CONNECTIONS: usize = 400;
/// The shortest such time: a request that is written at once has arrived by then.
const LEAST_REQUEST_TIME: Duration = Duration::from_millis(20);
/// How long the connections that may be closed are known without another look at all connections.
const QUEUE_VALIDITY: Duration = Duration::from_millis(10);
/// Delay before another attempt to close a connection where all have unread input.
const READ_DELAY: Duration = Duration::from_millis(1);
/// Requests that are answered at a time. Each has the buffers of the HTTP library.
const MAX_RESPONSES: usize = 64;

/// The open client connections.
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// Why connections were closed.
    pub closes: CloseCounters,
    /// The memory for requests beyond the allowances of connections.
    pub memory: RequestMemory,
    /// Limits the requests that are answered at a time.
    pub responses: Semaphore,
    /// How long a client keeps its connection and memory while others wait for them.
    min_request_time: Duration,
    idle_count: IdleCount,
    /// Connections that are being closed for another client.
    evicting: Cell<usize>,
    eviction_queue: RefCell<EvictionQueue>,
    /// Notified when a connection has ended or become idle.
    changed: Notify,
}

/// When a connection may be closed for another one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Eviction {
    /// One is being closed.
    InProgress,
    /// None may be closed before.
    NotBefore(Instant),
    /// There is none.
    Nothing,
}

/// How long a client keeps its connection and memory while others wait for them.
fn min_request_time(max_connections: usize) -> Duration {
    let share = max_connections.min(FULL_TIME_CONNECTIONS) as f64 / FULL_TIME_CONNECTIONS as f64;
    MIN_REQUEST_TIME.mul_f64(share).max(LEAST_REQUEST_TIME)
}

/// Why a connection may be closed for another client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Candidacy {
    /// It is idle, and was last active then.
    Idle(Instant),
    /// Its request has been expected or incomplete since then.
    Waiting(Instant),
}

impl Candidacy {
    /// The current one of a connection, if it has one.
    fn of(client: &ClientConnection) -> Option<Candidacy> {
        if client.is_closing() {
            return None;
        }
        Some(match client.request_since() {
            Some(since) => Candidacy::Waiting(since),
            None => Candidacy::Idle(client.last_active_at()),
        })
    }
}

/// The connections that may be closed for another client, the next one first. Finding them takes a look at all
/// connections, and in a crowd each new connection needs one, so the result is used for a moment.
#[derive(Default)]
struct EvictionQueue {
    found_at: Option<Instant>,
    candidates: VecDeque<(Candidacy, Weak<ClientConnection>)>,
}

impl EvictionQueue {
    /// Looks at all connections: idle ones come first, then those of the larger group, whose request is expected or arrives.
    fn find(open: &BTreeMap<u64, Rc<ClientConnection>>, now: Instant) -> EvictionQueue {
        let (mut idle, mut arriving, mut expected) = (Vec::new(), Vec::new(), Vec::new());
        for client in open.values() {
            match Candidacy::of(client) {
                Some(Candidacy::Idle(since)) => idle.push((since, client)),
                Some(Candidacy::Waiting(since)) if client.has_unanswered_request() => {
                    arriving.push((since, client))
                }
                Some(Candidacy::Waiting(since)) => expected.push((since, client)),
                None => {}
            }
        }
        let mut waiting = if arriving.len() > expected.len() { arriving } else { expected };
        idle.sort_by_key(|(since, _)| *since);
        waiting.sort_by_key(|(since, _)| *since);
        let idle = idle.into_iter().map(|(since, client)| (Candidacy::Idle(since), Rc::downgrade(client)));
        let waiting =
            waiting.into_iter().map(|(since, client)| (Candidacy::Waiting(since), Rc::downgrade(client)));
        EvictionQueue { found_at: Some(now), candidates: idle.chain(waiting).collect() }
    }

    fn is_current(&self, now: Instant) -> bool {
        self.found_at.is_some_and(|at| at + QUEUE_VALIDITY > now)
    }

    /// Takes the next connection that may be closed now.
    fn next(
        &mut self, now: Instant, min_request_time: Duration,
    ) -> Result<(CloseReason, Rc<ClientConnection>), Eviction> {
        while let Some((candidacy, client)) = self.candidates.pop_front() {
            let Some(client) = client.upgrade().filter(|client| Candidacy::of(client) == Some(candidacy))
            else {
                continue;
            };
            let reason = match candidacy {
                Candidacy::Idle(_) => CloseReason::IdleDisplaced,
                Candidacy::Waiting(since) if since + min_request_time > now => {
                    self.candidates.push_front((candidacy, Rc::downgrade(&client)));
                    return Err(Eviction::NotBefore(since + min_request_time));
                }
                Candidacy::Waiting(_) => CloseReason::Displaced,
            };
            // Closing it would lose what is read in the next turn.
            if client.is_read_up() {
                return Ok((reason, client));
            }
        }
        Err(Eviction::Nothing)
    }
}

impl ClientConnections {
    /// Without connections, of which `max_connections` are allowed; with this memory for requests, in bytes.
    pub fn new(max_connections: usize, request_bytes: u64) -> ClientConnections {
        ClientConnections {
            open: RefCell::default(),
            next_number: Cell::new(0),
            closes: CloseCounters::default(),
            memory: RequestMemory::new(request_bytes),
            responses: Semaphore::new(MAX_RESPONSES),
            min_request_time: min_request_time(max_connections),
            idle_count: IdleCount::default(),
            evicting: Cell::new(0),
            eviction_queue: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Adds a connection and returns its number.
    pub fn add(&self, client: ClientConnection) -> (u64, Rc<ClientConnection>) {
        let (number, client) = (self.next_number.get(), Rc::new(client));
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, client.clone());
        (number, client)
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: u64) {
        let removed = self.open.borrow_mut().remove(&number);
        if removed.is_some_and(|client| client.is_evicted()) {
            self.evicting.set(self.evicting.get() - 1);
        }
        self.connection_changed();
    }

    /// A connection has ended or become idle.
    pub fn connection_changed(&self) {
        self.changed.notify_one();
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the connections of clients whose message is journaled but not yet acknowledged, and
    /// returns the numbers of these messages. The dispatcher has no obligation for them.
    pub fn close_unacknowledged(&self) -> Vec<u64> {
        let open = self.open.borrow();
        let unacknowledged = open.values().filter_map(|client| Some((client, client.unacknowledged.take()?)));
        let abandoned = unacknowledged.map(|(client, number)| {
            client.close();
            number
        });
        abandoned.collect()
    }

    /// Number of connections on which a request has begun that has no response yet.
    pub fn awaiting_response(&self) -> usize {
        self.open.borrow().values().filter(|client| client.is_awaiting_response()).count()
    }

    /// The number of idle connections, for new ones.
    pub fn idle_count(&self) -> IdleCount {
        self.idle_count.clone()
    }

    /// Closes the idle connection that has been silent for the longest, if there are more than `max_idle`.
    pub fn limit_idle(&self, max_idle: usize) {
        if self.idle_count.get() <= max_idle {
            return;
        }
        let open = self.open.borrow();
        let mut idle: Vec<&Rc<ClientConnection>> = open.values().filter(|client| client.is_idle()).collect();
        idle.sort_by_key(|client| client.last_active_at());
        // Closing it would lose a request that has not been read yet.
        if let Some(oldest) = idle.into_iter().find(|client| client.is_read_up()) {
            self.closes.add(CloseReason::IdleDisplaced);
            oldest.close();
        }
    }

    /// Closes a connection for another client: an idle one, or else one of the larger group, those whose request is
    /// expected or those whose request arrives; of these the one that has waited for the longest, once that is
    /// `min_request_time`. So many clients that send nothing displace none in the middle of a request, and the reverse.
    pub fn evict(&self, now: Instant) {
        self.evict_connection(now);
    }

    fn evict_connection(&self, now: Instant) -> Eviction {
        if self.evicting.get() > 0 {
            return Eviction::InProgress;
        }
        let mut queue = self.eviction_queue.borrow_mut();
        let mut next = Err(Eviction::Nothing);
        if queue.is_current(now) {
            next = queue.next(now, self.min_request_time);
        }
        if matches!(next, Err(Eviction::Nothing)) {
            *queue = EvictionQueue::find(&self.open.borrow(), now);
            next = queue.next(now, self.min_request_time);
        }
        match next {
            Ok((reason, client)) => {
                self.closes.add(reason);
                self.evicting.set(self.evicting.get() + 1);
                client.evict();
                Eviction::InProgress
            }
            // By then another connection may have become idle.
            Err(Eviction::NotBefore(at)) => Eviction::NotBefore(at.min(now + QUEUE_VALIDITY)),
            // What has arrived on all of them is read in the next turn.
            Err(_) => Eviction::NotBefore(now + READ_DELAY),
        }
    }

    /// Waits until no more connections are open than are allowed, and closes some for that. New clients wait in the
    /// listener's queue meanwhile, where their requests arrive.
    pub async fn make_room(&self, max_connections: usize) {
        while self.count() > max_connections {
            let changed = self.changed.notified();
            match self.evict_connection(Instant::now()) {
                Eviction::InProgress | Eviction::Nothing => changed.await,
                Eviction::NotBefore(at) => tokio::select! {
                    () = changed => {}
                    () = sleep_until(at) => {}
                },
            }
        }
    }

    /// Takes the memory of the incomplete request that has held it for the longest, once its time is over, and closes its
    /// connection.
    fn evict_for_memory(&self, now: Instant) -> Eviction {
        let open = self.open.borrow();
        let holders = open.values().filter(|client| client.holds_memory_for_rest());
        let holders = holders.filter_map(|client| Some((client.request_since()?, client)));
        let Some((since, client)) = holders.min_by_key(|(since, _)| *since) else { return Eviction::Nothing };
        let evictable_at = since + self.min_request_time;
        if evictable_at > now {
            return Eviction::NotBefore(evictable_at);
        }
        self.closes.add(CloseReason::DisplacedForMemory);
        client.abandon_request();
        client.release_request();
        client.close();
        Eviction::InProgress
    }

    /// Closes connections whose requests hold memory while other requests wait for it. Never returns.
    pub async fn reclaim_memory(&self) {
        loop {
            self.memory.wait_until_wanted().await;
            match self.evict_for_memory(Instant::now()) {
                // The requests that get the memory are no longer counted as waiting once their tasks have run.
                Eviction::InProgress => yield_now().await,
                Eviction::NotBefore(at) => sleep_until(at).await,
                Eviction::Nothing => sleep(READ_DELAY).await,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_crowd_of_900_is_through_the_queue_before_a_client_gives_up() {
        const RESPONSE_LIMIT: Duration = Duration::from_millis(400);
        for max_connections in 60..900 {
            let turns = 900f64 / max_connections as f64;
            assert!(min_request_time(max_connections).mul_f64(turns) <= RESPONSE_LIMIT, "{max_connections}");
        }
        assert_eq!(min_request_time(434), MIN_REQUEST_TIME);
        assert_eq!(min_request_time(1), LEAST_REQUEST_TIME);
    }
}
