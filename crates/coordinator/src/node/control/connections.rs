//! Accepting, reading, writing and closing operators' connections.

use super::connection::{
    ConnectionClosed, OperatorConnection, OperatorStream, ReadProgress, ReplyTo,
};
use super::Control;
use crate::node::{ConnectionId, EventSource, Node};
use calloop::RegistrationToken;
use driftfront_control::{Reply, MAX_REQUEST_BYTES};
use driftfront_core::Micros;

/// The maximum number of concurrent operator connections; further ones are closed on accept.
const MAX_OPERATORS: usize = 16;
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// A connection that sends more than this in one turn is closed, since no operator sends that much.
const MAX_BYTES_PER_TURN: usize = 1024 * 1024;

impl Control {
    /// Whether the limit of operator connections is reached.
    fn is_full(&self) -> bool {
        self.connections.len() >= MAX_OPERATORS
    }

    /// The subscribers to events.
    pub(super) fn event_followers(&self) -> Vec<ReplyTo> {
        let followers = self
            .connections
            .iter()
            .filter_map(|(&connection, operator)| {
                let request = operator.events_request?;
                Some(ReplyTo {
                    connection,
                    request,
                })
            });
        followers.collect()
    }

    /// The operators that have not read for too long.
    fn stalled_operators(&self, now: Micros) -> Vec<ConnectionId> {
        let connections = self.connections.iter();
        let stalled = connections.filter(|(_, operator)| operator.is_stalled(now));
        stalled.map(|(&id, _)| id).collect()
    }

    /// The subscriptions that are due for a snapshot. One that has not read the previous snapshot yet is skipped: a slow
    /// connection gets fewer snapshots, not older ones.
    fn take_due_subscriptions(&mut self, now: Micros) -> Vec<ReplyTo> {
        let mut due = Vec::new();
        for (&connection, operator) in &mut self.connections {
            let is_flushed = operator.is_flushed();
            let Some(subscription) = &mut operator.subscription else {
                continue;
            };
            if now >= subscription.due && is_flushed {
                subscription.due = now + subscription.interval;
                due.push(ReplyTo {
                    connection,
                    request: subscription.request,
                });
            }
        }
        due
    }
}

impl Node {
    /// Accepts all pending connections of one of the operator listeners.
    pub(in crate::node) fn accept_operators(&mut self, listener: usize) {
        let control = self.control.as_ref();
        let listener = control.and_then(|control| control.listeners.get(listener).cloned());
        let Some(listener) = listener else {
            return;
        };
        // After an error, such as running out of file descriptors, the next periodic check tries again.
        while let Ok(stream) = listener.accept() {
            if self.control.as_ref().is_none_or(Control::is_full) {
                continue;
            }
            if stream.set_nonblocking().is_err() {
                continue;
            }
            let id = self.next_connection_id();
            let Ok(token) = self.register_operator(id, &stream) else {
                continue;
            };
            let operator = OperatorConnection::new(stream, token);
            if let Some(control) = &mut self.control {
                control.connections.insert(id, operator);
            }
            self.handle_operator_ready(id);
        }
    }

    fn register_operator(
        &mut self,
        id: ConnectionId,
        stream: &OperatorStream,
    ) -> Result<RegistrationToken, calloop::Error> {
        match stream {
            OperatorStream::Unix(stream) => {
                self.register_source(stream.clone(), EventSource::ControlConnection(id))
            }
            OperatorStream::Tcp(stream) => {
                self.register_source(stream.clone(), EventSource::ControlConnection(id))
            }
        }
    }

    fn operator(&mut self, id: ConnectionId) -> Option<&mut OperatorConnection> {
        self.control.as_mut()?.connections.get_mut(&id)
    }

    /// Closes an operator's connection. Orders that it has sent are still carried out.
    pub(in crate::node) fn drop_operator(&mut self, id: ConnectionId) {
        let control = self.control.as_mut();
        let operator = control.and_then(|control| control.connections.remove(&id));
        if let Some(mut operator) = operator {
            self.unregister(operator.token.take());
        }
    }

    /// Sends a reply if its connection is still open.
    pub(in crate::node) fn send_reply(&mut self, to: ReplyTo, reply: &Reply) {
        self.send_line(to.connection, &reply.line(to.request));
    }

    /// Queues a line and sends as much as the socket accepts. A connection with too many unsent bytes is closed.
    pub(super) fn send_line(&mut self, id: ConnectionId, line: &str) {
        let now = self.now;
        let Some(operator) = self.operator(id) else {
            return;
        };
        operator.push(now, line);
        if operator.is_over_limit() {
            return self.close_stalled_operator(id);
        }
        self.flush_operator(id);
    }

    fn flush_operator(&mut self, id: ConnectionId) {
        if let Some(Err(ConnectionClosed)) = self.operator(id).map(OperatorConnection::flush) {
            self.drop_operator(id);
        }
    }

    fn close_stalled_operator(&mut self, id: ConnectionId) {
        if let Some(control) = &mut self.control {
            control.operators_cut_off += 1;
        }
        tracing::info!("operator connection closed: the operator does not read");
        self.drop_operator(id);
    }

    /// Handles a readiness event of an operator's connection.
    pub(in crate::node) fn handle_operator_ready(&mut self, id: ConnectionId) {
        self.flush_operator(id);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut bytes_read = 0;
        while let Some(operator) = self.operator(id) {
            match operator.read(&mut buffer) {
                Ok(ReadProgress::Bytes(count)) => bytes_read += count,
                Ok(ReadProgress::WouldBlock) => return,
                Err(ConnectionClosed) => return self.drop_operator(id),
            }
            self.handle_operator_lines(id);
            if bytes_read > MAX_BYTES_PER_TURN {
                return self.drop_operator(id);
            }
        }
    }

    /// Handles the complete lines that have been read. A line that is too long closes the connection.
    fn handle_operator_lines(&mut self, id: ConnectionId) {
        while let Some(operator) = self.operator(id) {
            match operator.lines.next_line(MAX_REQUEST_BYTES) {
                Ok(Some(line)) => self.handle_operator_line(id, &line),
                Ok(None) => return,
                Err(_) => return self.drop_operator(id),
            }
        }
    }

    /// Closes the connections of operators that have not read for too long.
    pub(super) fn close_stalled_operators(&mut self, now: Micros) {
        let control = self.control.as_ref();
        let stalled = control.map_or(Vec::new(), |control| control.stalled_operators(now));
        for id in stalled {
            self.close_stalled_operator(id);
        }
    }

    /// Sends a snapshot to each operator whose subscription is due.
    pub(super) fn send_due_snapshots(&mut self, now: Micros) {
        let control = self.control.as_mut();
        let due = control.map_or(Vec::new(), |control| control.take_due_subscriptions(now));
        for to in due {
            let line = self.snapshot_line(now, to.request);
            self.send_line(to.connection, &line);
        }
    }
}
