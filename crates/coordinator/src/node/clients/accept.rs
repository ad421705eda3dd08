//! The listening socket: connections are accepted while there is room for them.

use super::connection::Client;
use crate::net::{is_out_of_descriptors, BufferedStream};
use crate::node::{EventSource, Node};
use driftfront_core::Micros;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Descriptors, in 100 of all, for clients; usual ones hold a third at most.
const CLIENT_DESCRIPTORS_PERCENT: usize = 60;
/// The same while another process of this coordinator runs. Usual clients hold a third with both together, and must all find room
/// here: one that waits in the backlog while others are read loses its place in its key's order.
const CLIENT_DESCRIPTORS_PERCENT_WHILE_SHARED: usize = 40;
/// Connects that may wait to be accepted: a burst of them.
const LISTEN_BACKLOG: i32 = 1024;

/// What came of one look at the backlog.
enum Accept {
    /// A connection.
    Stream(TcpStream),
    /// Another look may bring one.
    Retry,
    /// None can be accepted now.
    Stop,
}

/// Listens with room for a burst of connects.
pub(in crate::node) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl Node {
    /// Accepts connections while there is room; what has to wait is looked at again with each sweep.
    pub(in crate::node) fn accept_clients(&mut self, now: Micros) {
        let max_clients = self.max_clients();
        while self.lifecycle.accepts_connections() {
            if self.clients.connections.len() >= max_clients && !self.evict_client(now) {
                // Counted with each look, whether somebody waits or not.
                self.clients.accepts_full += 1;
                return;
            }
            match self.accept_stream(now) {
                Accept::Stream(stream) => self.add_client(now, stream),
                Accept::Retry => {}
                Accept::Stop => return,
            }
        }
    }

    /// Clients' connections that may be open.
    fn max_clients(&self) -> usize {
        let percent = if self.handover.has_peers() {
            CLIENT_DESCRIPTORS_PERCENT_WHILE_SHARED
        } else {
            CLIENT_DESCRIPTORS_PERCENT
        };
        self.config.max_descriptors * percent / 100
    }

    /// Accepts the next connection of the backlog, if one can be accepted now.
    fn accept_stream(&mut self, now: Micros) -> Accept {
        if self.listener.is_passed && !self.unblock_listener() {
            return Accept::Stop;
        }
        let Some(listener) = &self.listener.socket else {
            return Accept::Stop;
        };
        match listener.accept() {
            Ok((stream, _)) => Accept::Stream(stream),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Accept::Stop,
            // The connection stays in the backlog until there is room.
            Err(e) if is_out_of_descriptors(&e) => {
                tracing::warn!("out of descriptors");
                if self.evict_client(now) {
                    Accept::Retry
                } else {
                    Accept::Stop
                }
            }
            // A connection that ended in the backlog: the next may be well.
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => Accept::Retry,
            Err(e) if e.kind() == ErrorKind::Interrupted => Accept::Retry,
            // What else the system says it would say again at once; the next sweep asks anew.
            Err(e) => {
                tracing::warn!("accept: {e}");
                Accept::Stop
            }
        }
    }

    /// Whoever else holds a passed socket may have let it block again, and the loop would stand still in `accept`. That is shared
    /// by all holders, so it is checked before each call.
    fn unblock_listener(&mut self) -> bool {
        let Some(listener) = &self.listener.socket else {
            return false;
        };
        let socket = socket2::SockRef::from(&**listener);
        if socket.nonblocking().is_ok_and(|nonblocking| nonblocking) {
            return true;
        }
        self.listener.unblocked += 1;
        listener.set_nonblocking(true).is_ok()
    }

    fn add_client(&mut self, now: Micros, stream: TcpStream) {
        let is_prepared = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        if is_prepared.is_err() {
            return;
        }
        let id = self.next_connection_id();
        let stream = Rc::new(stream);
        match self.register_source(stream.clone(), EventSource::Client(id)) {
            Ok(registration) => {
                let limits = self.frontend.request_limits();
                let client = Client::new(now, BufferedStream::new(stream), registration, limits);
                self.clients.connections.insert(id, client);
                // What came before the socket was registered brings no event of its own.
                self.on_client_ready(now, id);
            }
            Err(e) => tracing::warn!("a client's socket: {e}"),
        }
    }
}
