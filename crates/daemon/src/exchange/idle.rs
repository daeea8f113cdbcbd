//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::time::Instant;

use wigeonhinge::id::UpstreamId;

use crate::dispatch::Target;
use crate::exchange::connection::Connection;

/// Idle connections kept to one upstream by all I/O threads until the gateway sets a limit.
const DEFAULT_CONNECTION_LIMIT: u32 = 8;

/// Idle connections of one I/O thread, by upstream.
///
/// The threads divide the limit of an upstream equally, so a limit below the
/// number of threads keeps no connection.
pub(super) struct IdleConnections {
    threads: u32,
    connections: BTreeMap<UpstreamId, Vec<Connection>>,
    limits: BTreeMap<UpstreamId, u32>,
}

impl IdleConnections {
    pub(super) fn new(threads: usize) -> Self {
        Self {
            threads: u32::try_from(threads).unwrap_or(u32::MAX).max(1),
            connections: BTreeMap::new(),
            limits: BTreeMap::new(),
        }
    }

    /// Sets how many connections all I/O threads together may keep, and closes those above it.
    pub(super) fn limit(&mut self, upstream: UpstreamId, limit: u32) {
        self.limits.insert(upstream.clone(), limit);
        let thread_limit = self.thread_limit(&upstream);
        if let Some(connections) = self.connections.get_mut(&upstream) {
            connections.truncate(thread_limit);
        }
    }

    /// Takes the most recently used connection; closes those that lead to a former address.
    pub(super) fn take(&mut self, target: &Target) -> Option<Connection> {
        let connections = self.connections.get_mut(&target.upstream)?;
        connections.retain(|connection| connection.usable(target));
        let index = connections.iter().rposition(Connection::ready)?;
        Some(connections.remove(index))
    }

    pub(super) fn keep(&mut self, mut connection: Connection) {
        let upstream = connection.target().upstream.clone();
        let thread_limit = self.thread_limit(&upstream);
        let connections = self.connections.entry(upstream).or_default();
        if connections.len() < thread_limit {
            connection.checked = Instant::now();
            connections.push(connection);
        }
    }

    /// Takes the connections whose last success is not after `before`, and drops the closed ones.
    pub(super) fn take_stale(&mut self, before: Instant) -> Vec<Connection> {
        let mut stale = Vec::new();
        for connections in self.connections.values_mut() {
            connections.retain(Connection::alive);
            let due = connections.extract_if(.., |connection| {
                connection.ready() && connection.checked <= before
            });
            stale.extend(due);
        }
        self.connections
            .retain(|_, connections| !connections.is_empty());
        stale
    }

    fn thread_limit(&self, upstream: &UpstreamId) -> usize {
        let limit = self
            .limits
            .get(upstream)
            .copied()
            .unwrap_or(DEFAULT_CONNECTION_LIMIT);
        (limit / self.threads) as usize
    }
}
