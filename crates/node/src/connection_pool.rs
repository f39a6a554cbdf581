//! The pool of idle connections to endpoints.

use crate::Node;
use crate::connection::Connection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use waydoor::EndpointId;

/// Fraction of the keep-alive time after which an idle connection is dropped: well before the endpoint closes it.
const KEEP_ALIVE_FRACTION: f64 = 0.85;

/// The idle connections by endpoint, the most recently used last. They are not keyed by address, since an address may
/// belong to another endpoint by now.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<EndpointId, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still reusable, and drops those that are not.
    pub fn checkout(
        &self, endpoint: EndpointId, address: SocketAddr, max_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        loop {
            let connection = connections.pop()?;
            if connection.address == address
                && connection.idle_since.elapsed() < max_idle
                && connection.is_reusable()
            {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection that was just used; false if it is not reusable.
    pub fn put_back(&self, endpoint: EndpointId, mut connection: Connection) -> bool {
        connection.idle_since = Instant::now();
        self.add_idle(endpoint, connection)
    }

    /// Keeps a connection that has been idle; false if it is not reusable.
    pub fn add_idle(&self, endpoint: EndpointId, connection: Connection) -> bool {
        if !connection.is_reusable() {
            return false;
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
        true
    }

    /// Empties the pool and returns the connections that are reusable.
    pub fn take_reusable(&self) -> Vec<(EndpointId, Connection)> {
        let idle = self.idle.take().into_iter().flat_map(|(endpoint, connections)| {
            connections
                .into_iter()
                .filter(Connection::is_reusable)
                .map(move |connection| (endpoint, connection))
        });
        idle.collect()
    }

    /// Closes the connection to an endpoint that has been idle for the longest time, unless it is the only one.
    pub fn close_spare(&self, endpoint: EndpointId) {
        let mut idle = self.idle.borrow_mut();
        if let Some(connections) = idle.get_mut(&endpoint).filter(|connections| connections.len() > 1) {
            connections.remove(0);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
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
            connections
                .retain(|connection| connection.idle_since.elapsed() < max_idle && connection.is_reusable());
        }
        let total: usize = idle.values().map(Vec::len).sum();
        for _ in max_connections..total {
            let oldest = idle.values_mut().filter(|connections| !connections.is_empty());
            if let Some(connections) = oldest.min_by_key(|connections| connections[0].idle_since) {
                connections.remove(0);
            }
        }
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
