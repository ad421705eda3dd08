//! The socket that clients connect to.

use crate::net::is_out_of_descriptors;
use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connects that may wait to be accepted: a burst of them.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens with a backlog for a burst of connects.
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

/// What came of one accept.
pub(super) enum AcceptOutcome {
    /// A connection.
    Connection(TcpStream),
    /// Another accept may bring one.
    Retry,
    /// There is no descriptor for it: the connection stays in the backlog.
    OutOfDescriptors,
    /// None can be accepted now.
    Stop,
}

/// The socket that clients connect to.
pub(in crate::node) struct ClientListener {
    /// `None` once the process leaves for good.
    socket: Option<Rc<TcpListener>>,
    registration: Option<RegistrationToken>,
    /// It was passed: other processes may hold it, too.
    is_passed: bool,
    /// How often a passed socket was found blocking.
    unblocked_count: u64,
}

impl ClientListener {
    /// Wraps a socket that is not registered with the event loop yet. `is_passed`: other processes may hold it, too.
    pub(in crate::node) fn new(socket: TcpListener, is_passed: bool) -> ClientListener {
        ClientListener {
            socket: Some(Rc::new(socket)),
            registration: None,
            is_passed,
            unblocked_count: 0,
        }
    }

    /// The socket; `None` once it is closed.
    pub(in crate::node) fn socket(&self) -> Option<Rc<TcpListener>> {
        self.socket.clone()
    }

    /// Whether it is not closed yet.
    pub(in crate::node) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// The address that clients use; `None` once it is closed.
    pub(in crate::node) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// How often a passed socket was found blocking.
    pub(in crate::node) fn unblocked_count(&self) -> u64 {
        self.unblocked_count
    }

    /// Keeps the registration with the event loop.
    pub(in crate::node) fn set_registration(&mut self, registration: RegistrationToken) {
        self.registration = Some(registration);
    }

    /// Takes the registration with the event loop, to end it.
    pub(in crate::node) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    /// Closes the socket.
    pub(in crate::node) fn close(&mut self) {
        self.socket = None;
    }

    /// Accepts the next connection of the backlog, if one can be accepted now.
    pub(super) fn accept(&mut self) -> AcceptOutcome {
        if self.is_passed && !self.unblock() {
            return AcceptOutcome::Stop;
        }
        let Some(socket) = &self.socket else {
            return AcceptOutcome::Stop;
        };
        match socket.accept() {
            Ok((stream, _)) => AcceptOutcome::Connection(stream),
            Err(e) if e.kind() == ErrorKind::WouldBlock => AcceptOutcome::Stop,
            Err(e) if is_out_of_descriptors(&e) => {
                tracing::warn!("out of descriptors");
                AcceptOutcome::OutOfDescriptors
            }
            // A connection that ended in the backlog: the next may be well.
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => AcceptOutcome::Retry,
            Err(e) if e.kind() == ErrorKind::Interrupted => AcceptOutcome::Retry,
            // Any other error would come again at once; the next periodic check tries again.
            Err(e) => {
                tracing::warn!("accept: {e}");
                AcceptOutcome::Stop
            }
        }
    }

    /// Another holder of a passed socket may have made it blocking again, and the loop would stand still in `accept`. The mode is
    /// shared by all holders, so it is checked before each call. False if it can't be set.
    fn unblock(&mut self) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let reference = socket2::SockRef::from(&**socket);
        if reference.nonblocking().is_ok_and(|nonblocking| nonblocking) {
            return true;
        }
        self.unblocked_count += 1;
        socket.set_nonblocking(true).is_ok()
    }
}
