//! What the event loop holds of all clients: their connections, who waits for which response, and the listening socket.

use super::connection::Client;
use crate::node::ConnectionId;
use calloop::RegistrationToken;
use driftfront_core::{Micros, RequestId};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;

/// Clients' connections.
#[derive(Default)]
pub(in crate::node) struct Clients {
    pub(in crate::node) connections: BTreeMap<ConnectionId, Client>,
    /// The connection on which each open request waits for its response, the request's class, and when it was accepted.
    pub(in crate::node) requesters: BTreeMap<RequestId, (ConnectionId, u16, Micros)>,
    /// Connections closed since the process is paused or hands over.
    pub(in crate::node) sent_away: u64,
    /// Looks at the backlog while there was no room for another client.
    pub(in crate::node) accepts_full: u64,
    /// Connections closed to make room.
    pub(in crate::node) evicted: u64,
    /// Connections on which more was sent ahead than is held.
    pub(in crate::node) overruns: u64,
}

/// The socket that clients connect to.
pub(in crate::node) struct ClientListener {
    /// `None` once the process leaves for good.
    pub(in crate::node) socket: Option<Rc<TcpListener>>,
    pub(in crate::node) token: Option<RegistrationToken>,
    /// It was passed: other processes may hold it, too.
    pub(in crate::node) is_passed: bool,
    /// How often a passed socket was found blocking.
    pub(in crate::node) unblocked: u64,
}

impl ClientListener {
    pub(in crate::node) fn new(socket: TcpListener, is_passed: bool) -> ClientListener {
        ClientListener {
            socket: Some(Rc::new(socket)),
            token: None,
            is_passed,
            unblocked: 0,
        }
    }
}
