//! State of all client connections, and the requester of each open request.

use super::connection::ClientConnection;
use crate::frontends::ResponseWriter;
use crate::node::ConnectionId;
use driftfront_core::{Micros, RequestId};
use std::collections::BTreeMap;

/// All client connections, with the requesters of open requests.
#[derive(Default)]
pub(in crate::node) struct Clients {
    connections: BTreeMap<ConnectionId, ClientConnection>,
    /// The requester of each open request.
    requesters: BTreeMap<RequestId, Requester>,
    counters: ClientCounters,
}

/// The recipient of a request's response.
#[derive(Clone, Copy)]
pub(in crate::node) struct Requester {
    /// The connection to which the response is written.
    pub(in crate::node) connection: ConnectionId,
    pub(in crate::node) class: u16,
    pub(in crate::node) accepted_at: Micros,
}

/// Counters of client connections.
#[derive(Clone, Copy, Default)]
pub(in crate::node) struct ClientCounters {
    /// Connections closed because the process is paused or hands over.
    pub(in crate::node) closed_for_drain: u64,
    /// Attempts to accept while there was no capacity for another client.
    pub(in crate::node) accepts_full: u64,
    /// Connections closed to free descriptors.
    pub(in crate::node) evicted: u64,
    /// Connections whose pipelined input exceeded the buffer limit.
    pub(in crate::node) overruns: u64,
    /// Connections whose input was freed because the memory budget was exceeded.
    pub(in crate::node) shed: u64,
}

impl Clients {
    pub(super) fn insert(&mut self, id: ConnectionId, connection: ClientConnection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection. The requester of its open request stays until the request is abandoned.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClientConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn connection_ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    pub(in crate::node) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether any connection has pending output.
    pub(in crate::node) fn has_unread_output(&self) -> bool {
        self.connections.values().any(ClientConnection::is_writing)
    }

    pub(in crate::node) fn counters(&self) -> ClientCounters {
        self.counters
    }

    pub(super) fn counters_mut(&mut self) -> &mut ClientCounters {
        &mut self.counters
    }

    /// The requester of an open request.
    pub(in crate::node) fn requester(&self, request: RequestId) -> Option<Requester> {
        self.requesters.get(&request).copied()
    }

    /// The connection that awaits a request's response.
    pub(super) fn connection_of(&self, request: RequestId) -> Option<ConnectionId> {
        self.requester(request).map(|r| r.connection)
    }

    /// Opens a request on the connection that awaits its response.
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

    /// Removes the requester of a request that has ended.
    pub(super) fn remove_requester(&mut self, request: RequestId) {
        self.requesters.remove(&request);
    }

    /// Bytes of output that a request's client has not read yet.
    pub(in crate::node) fn backlog(&self, request: RequestId) -> usize {
        let id = self.connection_of(request);
        let client = id.and_then(|id| self.connections.get(&id));
        client.map_or(0, ClientConnection::backlog)
    }

    /// The connection with the highest eviction rank.
    pub(super) fn eviction_candidate(&self, now: Micros) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(&id, c)| Some((c.eviction_rank(now)?, id)));
        ranked.max().map(|(_, id)| id)
    }

    /// The connection whose input to free first if memory is short; `None` if no connection holds much.
    pub(super) fn shedding_candidate(&self, now: Micros) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(&id, c)| Some((c.shedding_rank(now)?, id)));
        ranked.max().map(|(_, id)| id)
    }

    /// Reads and discards input beyond the buffer limit; false once the connection has ended.
    pub(super) fn discard_overrun(&mut self, id: ConnectionId) -> bool {
        let Some(client) = self.connections.get_mut(&id) else {
            return true;
        };
        self.counters.overruns += u64::from(client.mark_overrun());
        client.discard_input()
    }

    /// Clears the processing mark of all connections, after a panic interrupted a turn.
    pub(in crate::node) fn reset_turns(&mut self) {
        let connections = self.connections.values_mut();
        connections.for_each(ClientConnection::end_turn);
    }
}
