//! The pool of idle connections to endpoints.

use crate::Node;
use crate::connection::Connection;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use waydoor::EndpointId;

/// Fraction of the keep-alive time after which an idle connection is dropped: well before the endpoint closes it.
const KEEP_ALIVE_FRACTION: f64 = 0.85;

/// Time after a response that belonged to no request for which the endpoint's connections carry one request each.
const DISTRUST_TIME: Duration = Duration::from_secs(60);
/// Longest time that a retired connection is open: each takes a place in the endpoint's connection table.
const MAX_RETIRED_TIME: Duration = Duration::from_secs(1);
/// Retired connections that are open at a time.
const MAX_RETIRED: usize = 64;

/// An endpoint whose connections carry one request each, for a process that takes over.
#[derive(Debug, Deserialize, Serialize)]
pub struct DistrustedEndpoint {
    endpoint: u64,
    /// For how long they still do.
    remaining: Duration,
}

/// The idle connections by endpoint, the most recently used last. They are not keyed by address, since an address may
/// belong to another endpoint by now.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<EndpointId, Vec<Connection>>>,
    /// Connections that are out of step and open only for the responses that may still follow, and since when.
    retired: RefCell<VecDeque<(Instant, Connection)>>,
    /// Endpoints that sent a response which belonged to no request, and until when their connections carry one request
    /// each.
    distrusted: RefCell<BTreeMap<EndpointId, Instant>>,
}

impl ConnectionPool {
    /// Stops the reuse of connections to an endpoint that sent a response which belonged to no request.
    pub fn distrust(&self, endpoint: EndpointId) {
        self.distrusted.borrow_mut().insert(endpoint, Instant::now() + DISTRUST_TIME);
    }

    /// The endpoints whose connections carry one request each.
    pub fn distrusted(&self) -> Vec<DistrustedEndpoint> {
        let now = Instant::now();
        let distrusted = self.distrusted.borrow();
        let remaining = |(endpoint, until): (&EndpointId, &Instant)| DistrustedEndpoint {
            endpoint: endpoint.0,
            remaining: until.saturating_duration_since(now),
        };
        distrusted.iter().map(remaining).collect()
    }

    /// Continues the distrust of the previous process.
    pub fn restore_distrusted(&self, endpoints: Vec<DistrustedEndpoint>) {
        let now = Instant::now();
        let restored = endpoints.into_iter().map(|distrusted| {
            (EndpointId(distrusted.endpoint), now + distrusted.remaining.min(DISTRUST_TIME))
        });
        self.distrusted.borrow_mut().extend(restored);
    }

    /// Whether connections to an endpoint may carry more than one request.
    pub fn is_trusted(&self, endpoint: EndpointId) -> bool {
        self.distrusted.borrow().get(&endpoint).is_none_or(|until| Instant::now() >= *until)
    }

    /// Takes the most recently used connection that is still reusable, and drops those that are not.
    pub fn checkout(
        &self, endpoint: EndpointId, address: SocketAddr, max_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        let is_usable = |connection: &Connection| {
            connection.address == address
                && connection.idle_since.elapsed() < max_idle
                && connection.is_reusable()
        };
        self.retain_or_retire(connections, is_usable);
        let index = connections.iter().rposition(Connection::allows_request)?;
        Some(connections.remove(index))
    }

    fn retain_or_retire(&self, connections: &mut Vec<Connection>, is_kept: impl Fn(&Connection) -> bool) {
        let (kept, closed): (Vec<_>, Vec<_>) = std::mem::take(connections).into_iter().partition(is_kept);
        *connections = kept;
        closed.into_iter().for_each(|connection| self.retire(connection));
    }

    /// Closes a connection. If it is out of step and has unproven deliveries, their responses, and waits in them, may
    /// still follow: it is closed a moment later. No other is kept, since each takes a place in the endpoint's table.
    pub fn retire(&self, connection: Connection) {
        if !connection.monitor.is_awaiting_responses() {
            return;
        }
        let mut retired = self.retired.borrow_mut();
        retired.push_back((Instant::now(), connection));
        if retired.len() > MAX_RETIRED {
            retired.pop_front();
        }
    }

    /// Keeps a connection that was just used; false if it is not reusable.
    pub fn put_back(&self, endpoint: EndpointId, mut connection: Connection) -> bool {
        connection.idle_since = Instant::now();
        self.add_idle(endpoint, connection)
    }

    /// Keeps a connection that has been idle; false if it is not reusable.
    pub fn add_idle(&self, endpoint: EndpointId, connection: Connection) -> bool {
        if !connection.is_reusable() || !self.is_trusted(endpoint) {
            self.retire(connection);
            return false;
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
        true
    }

    /// Empties the pool and returns the connections that are reusable.
    pub fn take_reusable(&self) -> Vec<(EndpointId, Connection)> {
        let mut reusable = Vec::new();
        for (endpoint, mut connections) in self.idle.take() {
            self.retain_or_retire(&mut connections, Connection::is_reusable);
            reusable.extend(connections.into_iter().map(|connection| (endpoint, connection)));
        }
        reusable
    }

    /// Closes the connections that are out of step and have no unproven deliveries: calls on them may still be open, and
    /// their messages are sent again.
    pub fn close_out_of_step(&self) {
        let is_kept = |connection: &Connection| {
            !connection.monitor.is_out_of_step() || connection.monitor.is_awaiting_responses()
        };
        self.idle.borrow_mut().values_mut().for_each(|connections| connections.retain(is_kept));
        self.retired.borrow_mut().retain(|(_, connection)| is_kept(connection));
    }

    /// Closes the connection to an endpoint that has been idle for the longest time, unless it is the only one. One with
    /// unproven deliveries stays: closing it would leave them unproven.
    pub fn close_spare(&self, endpoint: EndpointId) {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&endpoint).filter(|connections| connections.len() > 1) else {
            return;
        };
        let spare = connections.iter().position(|connection| !connection.monitor.has_unproven());
        if let Some(spare) = spare {
            connections.remove(spare);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let closed = self.idle.borrow_mut().remove(&endpoint).unwrap_or_default();
        closed.into_iter().for_each(|connection| self.retire(connection));
    }

    /// Drops connections that have been idle since `since` or longer, after a call has failed: they are probably dead
    /// too, and each would fail another call.
    pub fn drop_idle_since(&self, endpoint: EndpointId, since: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&endpoint) {
            connections.retain(|connection| connection.idle_since > since);
        }
    }

    /// Drops connections that have been idle for `max_idle` or are dead, then the oldest beyond `max_connections`.
    pub fn sweep(&self, max_idle: Duration, max_connections: usize) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            let is_kept = |connection: &Connection| {
                connection.idle_since.elapsed() < max_idle && connection.is_reusable()
            };
            self.retain_or_retire(connections, is_kept);
        }
        let total: usize = idle.values().map(Vec::len).sum();
        for _ in max_connections..total {
            let oldest = idle.values_mut().filter(|connections| !connections.is_empty());
            if let Some(connections) = oldest.min_by_key(|connections| connections[0].idle_since) {
                self.retire(connections.remove(0));
            }
        }
        self.distrusted.borrow_mut().retain(|_, until| Instant::now() < *until);
        self.retired.borrow_mut().retain(|(since, connection)| {
            connection.monitor.is_awaiting_responses() && since.elapsed() < MAX_RETIRED_TIME
        });
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// How long an idle connection may be reused.
pub fn idle_reuse_limit(node: &Node) -> Duration {
    node.config
        .settings
        .keepalive
        .map_or(Duration::MAX, |seconds| Duration::from_secs_f64(seconds * KEEP_ALIVE_FRACTION))
}
