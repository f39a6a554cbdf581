//! The open client connections, and which of them is closed for another client: for its place among the connections, or
//! for the memory that its request holds.

use crate::client_closes::{CloseCounters, CloseReason};
use crate::client_connection::ClientConnection;
use crate::request_memory::RequestMemory;
use crate::stream::Unread;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// A client whose request is expected or arrives keeps its connection and memory for this long, while others wait for them.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(100);
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

impl ClientConnections {
    /// Without connections; with this memory for requests, in bytes.
    pub fn new(request_bytes: u64) -> ClientConnections {
        ClientConnections {
            open: RefCell::default(),
            next_number: Cell::new(0),
            closes: CloseCounters::default(),
            memory: RequestMemory::new(request_bytes),
            responses: Semaphore::new(MAX_RESPONSES),
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
        self.open.borrow_mut().remove(&number);
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

    /// Number of connections on which no request is expected or in progress.
    pub fn idle_count(&self) -> usize {
        self.open.borrow().values().filter(|client| client.is_idle()).count()
    }

    /// Closes the idle connection that has been silent for the longest, and returns it.
    pub fn close_idle(&self) -> Option<Rc<ClientConnection>> {
        let open = self.open.borrow();
        let mut idle: Vec<&Rc<ClientConnection>> = open.values().filter(|client| client.is_idle()).collect();
        idle.sort_by_key(|client| client.last_active_at());
        // Closing it would lose a request that has not been read yet.
        let oldest = idle.into_iter().find(|client| client.stream.unread() != Unread::Bytes)?;
        self.closes.add(CloseReason::IdleDisplaced);
        oldest.close();
        Some(oldest.clone())
    }

    /// Closes a connection for another client: an idle one, or else one of the larger group, those whose request is
    /// expected or those whose request arrives; of these the one that has waited for the longest, once that is
    /// [`MIN_REQUEST_TIME`]. So many clients that send nothing displace none in the middle of a request, and the reverse.
    pub fn evict(&self, now: Instant) {
        self.evict_connection(now);
    }

    fn evict_connection(&self, now: Instant) -> Eviction {
        if self.open.borrow().values().any(|client| client.is_evicted()) {
            return Eviction::InProgress;
        }
        if let Some(client) = self.close_idle() {
            client.evict();
            return Eviction::InProgress;
        }
        let open = self.open.borrow();
        let waiting = open.values().filter(|client| !client.is_closing());
        let waiting = waiting.filter_map(|client| Some((client.request_since()?, client)));
        let (arriving, expected): (Vec<_>, Vec<_>) =
            waiting.partition(|(_, client)| client.has_unanswered_request());
        let mut larger_group = if arriving.len() > expected.len() { arriving } else { expected };
        larger_group.sort_by_key(|(since, _)| *since);
        for (since, client) in larger_group {
            let evictable_at = since + MIN_REQUEST_TIME;
            if evictable_at > now {
                return Eviction::NotBefore(evictable_at);
            }
            if client.is_read_up() {
                self.closes.add(CloseReason::Displaced);
                client.evict();
                return Eviction::InProgress;
            }
        }
        // What has arrived on all of them is read in the next turn.
        Eviction::NotBefore(now + READ_DELAY)
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
        let evictable_at = since + MIN_REQUEST_TIME;
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
