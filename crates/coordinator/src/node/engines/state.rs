//! State of all engine connections.

use super::connection::EngineConnection;
use super::liveness::LivenessProbes;
use crate::backends::AttemptRequest;
use crate::node::ConnectionId;
use driftfront_core::{AttemptKey, EngineId, Micros, RequestId};
use std::collections::BTreeMap;

/// All engine connections, with the streamed request bodies.
#[derive(Default)]
pub(in crate::node) struct Engines {
    connections: BTreeMap<ConnectionId, EngineConnection>,
    /// The connection that receives each streamed request body.
    uploads: BTreeMap<RequestId, ConnectionId>,
    pub(super) liveness_probes: LivenessProbes,
    /// Number of connections whose reading is paused for a slow client.
    paused_count: usize,
    /// Number of results being streamed to clients, as last counted by [`Engines::count_streaming`].
    streaming_count: usize,
}

impl Engines {
    pub(super) fn insert(&mut self, id: ConnectionId, connection: EngineConnection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection, and the upload on it.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<EngineConnection> {
        let connection = self.connections.remove(&id)?;
        self.paused_count -= usize::from(connection.is_paused());
        if let Some(key) = connection.upload() {
            self.uploads.remove(&key.request);
        }
        Some(connection)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&EngineConnection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut EngineConnection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &EngineConnection)> {
        self.connections.iter().map(|(&id, conn)| (id, conn))
    }

    pub(super) fn connections_to(
        &self,
        engine: EngineId,
    ) -> impl Iterator<Item = (ConnectionId, &EngineConnection)> {
        self.iter().filter(move |(_, c)| c.engine() == engine)
    }

    /// Whether a connection to an engine is established.
    pub(in crate::node) fn is_connected_to(&self, engine: EngineId) -> bool {
        self.connections_to(engine).any(|(_, c)| c.is_connected())
    }

    /// The engine of each connection, and when bytes were last received on it; 0 if never.
    pub(in crate::node) fn receive_times(&self) -> impl Iterator<Item = (EngineId, Micros)> + '_ {
        self.iter().map(|(_, c)| (c.engine(), c.last_received()))
    }

    pub(in crate::node) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Number of request bodies being streamed.
    pub(in crate::node) fn upload_count(&self) -> usize {
        self.uploads.len()
    }

    /// Number of connections whose reading is paused for a slow client.
    pub(in crate::node) fn paused_count(&self) -> usize {
        self.paused_count
    }

    /// The connection that receives a request's body, if that is being streamed.
    pub(in crate::node) fn upload_connection(&self, request: RequestId) -> Option<ConnectionId> {
        self.uploads.get(&request).copied()
    }

    /// Adds an attempt to a connection's output.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: ConnectionId,
        attempt: &AttemptRequest,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        conn.start_attempt(now, attempt);
        if attempt.request.is_body_streamed {
            self.uploads.insert(attempt.key.request, id);
        }
    }

    /// Ends the body streamed on a connection; false if the connection has ended.
    pub(super) fn finish_body(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) -> bool {
        let Some(conn) = self.connections.get_mut(&id) else {
            return false;
        };
        conn.finish_body(now, key);
        self.uploads.remove(&key.request);
        true
    }

    /// Pauses or resumes reading on a connection; true if it is now paused, or has ended.
    pub(super) fn set_paused(&mut self, now: Micros, id: ConnectionId, is_paused: bool) -> bool {
        let Some(conn) = self.connections.get_mut(&id) else {
            return true;
        };
        self.paused_count += usize::from(is_paused);
        self.paused_count -= usize::from(conn.is_paused());
        conn.set_paused(now, is_paused);
        is_paused
    }

    /// Excludes an engine's connections from new work, as they lead to its earlier process or address.
    pub(in crate::node) fn retire_connections(&mut self, engine: EngineId) {
        let connections = self.connections.values_mut();
        connections
            .filter(|c| c.engine() == engine)
            .for_each(EngineConnection::retire);
    }

    /// Removes an engine that is no longer listed; attempts in flight on its connections may still complete.
    pub(super) fn forget_engine(&mut self, engine: EngineId) {
        self.retire_connections(engine);
        self.liveness_probes.forget_engine(engine);
    }

    /// Counts the results being streamed to clients.
    pub(super) fn count_streaming(&mut self) {
        let connections = self.connections.values();
        self.streaming_count = connections.filter(|c| c.session().is_streaming()).count();
    }

    /// Number of results being streamed to clients, as last counted.
    pub(super) fn streaming_count(&self) -> usize {
        self.streaming_count
    }
}
