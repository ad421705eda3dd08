//! What the program holds of all clients: their connections, and who awaits which response.

use super::connection::ClientConnection;
use crate::frontends::ResponseWriter;
use crate::node::ConnectionId;
use driftfront_core::{Micros, RequestId};
use std::collections::BTreeMap;

/// All clients' connections.
#[derive(Default)]
pub(in crate::node) struct Clients {
    connections: BTreeMap<ConnectionId, ClientConnection>,
    /// Who awaits the response of each open request.
    requesters: BTreeMap<RequestId, Requester>,
    counters: ClientCounters,
}

/// Who awaits a request's response.
#[derive(Clone, Copy)]
pub(in crate::node) struct Requester {
    /// The connection that the response goes to.
    pub(in crate::node) connection: ConnectionId,
    /// The request's class.
    pub(in crate::node) class: u16,
    pub(in crate::node) accepted_at: Micros,
}

/// Counters of clients' connections.
#[derive(Clone, Copy, Default)]
pub(in crate::node) struct ClientCounters {
    /// Connections closed since the process is paused or hands over.
    pub(in crate::node) closed_for_drain: u64,
    /// Looks at the backlog while there was no capacity for another client.
    pub(in crate::node) accepts_full: u64,
    /// Connections closed to make room.
    pub(in crate::node) evicted: u64,
    /// Connections on which more was sent ahead than is buffered.
    pub(in crate::node) overruns: u64,
}

impl Clients {
    /// Adds a connection.
    pub(super) fn insert(&mut self, id: ConnectionId, connection: ClientConnection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection that ends. Who awaited a response on it stays until the request is abandoned.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClientConnection> {
        self.connections.remove(&id)
    }

    /// The connection of this number.
    pub(super) fn get(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&id)
    }

    /// The connection of this number, to change.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&id)
    }

    /// The numbers of all connections.
    pub(super) fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Number of connections.
    pub(in crate::node) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether bytes wait for some client to read them.
    pub(in crate::node) fn has_unread_output(&self) -> bool {
        self.connections.values().any(ClientConnection::is_writing)
    }

    /// Counters.
    pub(in crate::node) fn counters(&self) -> ClientCounters {
        self.counters
    }

    /// Counters, to change.
    pub(super) fn counters_mut(&mut self) -> &mut ClientCounters {
        &mut self.counters
    }

    /// Who awaits a request's response.
    pub(in crate::node) fn requester(&self, request: RequestId) -> Option<Requester> {
        self.requesters.get(&request).copied()
    }

    /// The connection on which a request's response is awaited.
    pub(super) fn connection_of(&self, request: RequestId) -> Option<ConnectionId> {
        self.requester(request).map(|r| r.connection)
    }

    /// From now on a connection awaits a request's response.
    pub(super) fn await_response(
        &mut self,
        request: RequestId,
        requester: Requester,
        writer: Box<dyn ResponseWriter>,
    ) {
        self.requesters.insert(request, requester);
        if let Some(client) = self.connections.get_mut(&requester.connection) {
            client.open(request, writer);
        }
    }

    /// Nobody awaits a request's response any more.
    pub(super) fn remove_requester(&mut self, request: RequestId) {
        self.requesters.remove(&request);
    }

    /// Bytes that wait for a request's client to read them.
    pub(in crate::node) fn backlog(&self, request: RequestId) -> usize {
        let id = self.connection_of(request);
        let client = id.and_then(|id| self.connections.get(&id));
        client.map_or(0, ClientConnection::backlog)
    }

    /// The connection that can best be spared for its descriptor.
    pub(super) fn eviction_candidate(&self, now: Micros) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(&id, c)| Some((c.eviction_rank(now)?, id)));
        ranked.max().map(|(_, id)| id)
    }

    /// Reads and drops what stands behind more than is buffered on a connection; false once the connection has ended.
    pub(super) fn discard_overrun(&mut self, id: ConnectionId) -> bool {
        let Some(client) = self.connections.get_mut(&id) else {
            return true;
        };
        self.counters.overruns += u64::from(client.mark_overrun());
        client.discard_input()
    }

    /// After a panic nothing is being worked on.
    pub(in crate::node) fn reset_turns(&mut self) {
        let connections = self.connections.values_mut();
        connections.for_each(ClientConnection::end_turn);
    }
}
