//! The socket that clients connect to.

use crate::net::is_out_of_descriptors;
use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Length of the listen backlog, sized for a burst of connects.
const LISTEN_BACKLOG: i32 = 1024;

/// Opens a non-blocking listening socket.
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

/// The result of one accept.
pub(super) enum AcceptOutcome {
    /// A connection was accepted.
    Connection(TcpStream),
    /// Nothing was accepted, but another connection may be waiting.
    Retry,
    /// No descriptor is available; the connection stays in the backlog.
    OutOfDescriptors,
    /// No connection can be accepted now.
    Stop,
}

/// The socket that clients connect to.
pub(in crate::node) struct ClientListener {
    /// `None` once closed, when the process shuts down.
    socket: Option<Rc<TcpListener>>,
    registration: Option<RegistrationToken>,
    /// Whether the socket was passed to this process, so that other processes may hold it too.
    is_passed: bool,
    /// How often a passed socket was found in blocking mode.
    unblocked_count: u64,
}

impl ClientListener {
    /// Wraps a socket that is not registered with the event loop yet. `is_passed`: other processes may hold it too.
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

    pub(in crate::node) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// The address that clients use; `None` once it is closed.
    pub(in crate::node) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// How often a passed socket was found in blocking mode.
    pub(in crate::node) fn unblocked_count(&self) -> u64 {
        self.unblocked_count
    }

    /// Stores the event loop registration.
    pub(in crate::node) fn set_registration(&mut self, registration: RegistrationToken) {
        self.registration = Some(registration);
    }

    /// Takes the event loop registration, for the caller to remove.
    pub(in crate::node) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    pub(in crate::node) fn close(&mut self) {
        self.socket = None;
    }

    /// Accepts the next connection from the backlog.
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
                tracing::warn!("accept: out of file descriptors");
                AcceptOutcome::OutOfDescriptors
            }
            // This connection was closed while in the backlog; the next one may succeed.
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => AcceptOutcome::Retry,
            Err(e) if e.kind() == ErrorKind::Interrupted => AcceptOutcome::Retry,
            // Other errors would recur at once; the next periodic check retries.
            Err(e) => {
                tracing::warn!("accept: {e}");
                AcceptOutcome::Stop
            }
        }
    }

    /// Makes a passed socket non-blocking. All holders share its mode, and another holder may have made it blocking again, which
    /// would block the event loop in `accept`; so the mode is checked before each call. False if it cannot be set.
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
