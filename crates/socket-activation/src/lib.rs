//! A listening socket that this process was started with.
//!
//! The standard library makes a value of a bare descriptor only in an unsafe step, since two owners of one descriptor
//! would close it under each other. That step stands here alone: it is taken once in a process's life, before it has
//! opened anything of its own under that number, and only for a descriptor that is a listening stream socket.
#![warn(missing_docs)]
#![deny(unsafe_code)]

use socket2::{Domain, Socket, Type};
use std::fmt;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// The descriptor under which the platform passes the clients' listening socket.
pub const PASSED: i32 = 4;

/// Why a descriptor is not adopted. It is left as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The name it was told by is not the number of [`PASSED`].
    OtherNumber(String),
    /// Nothing is open under that number.
    Closed,
    /// It is open, but no socket.
    NoSocket,
    /// It is a socket on which nobody can connect.
    NotListening,
    /// It was adopted before.
    Taken,
    /// The system says no.
    System(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::OtherNumber(told) => write!(f, "{told:?} is not descriptor {PASSED}"),
            Refusal::Closed => write!(f, "descriptor {PASSED} is not open"),
            Refusal::NoSocket => write!(f, "descriptor {PASSED} is no socket"),
            Refusal::NotListening => write!(f, "descriptor {PASSED} is no listening TCP socket"),
            Refusal::Taken => write!(f, "descriptor {PASSED} is in use already"),
            Refusal::System(why) => write!(f, "descriptor {PASSED}: {why}"),
        }
    }
}

impl std::error::Error for Refusal {}

static TAKEN: AtomicBool = AtomicBool::new(false);

/// Adopts the passed socket, told by the text of the variable that names it. It is made non-blocking: every process
/// that holds it shares that, and none of them wants to wait in `accept`.
pub fn adopt(told: &str) -> Result<TcpListener, Refusal> {
    if told.trim().parse() != Ok(PASSED) {
        return Err(Refusal::OtherNumber(told.chars().take(40).collect()));
    }
    let link =
        std::fs::read_link(format!("/proc/self/fd/{PASSED}")).map_err(|_| Refusal::Closed)?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(Refusal::NoSocket);
    }
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(Refusal::Taken);
    }
    let socket = Socket::from(owned());
    match check(&socket) {
        Ok(()) => Ok(socket.into()),
        Err(refusal) => {
            // Not ours: it stays open as it was.
            let _ = socket.into_raw_fd();
            TAKEN.store(false, Ordering::SeqCst);
            Err(refusal)
        }
    }
}

fn check(socket: &Socket) -> Result<(), Refusal> {
    let system = |e: std::io::Error| Refusal::System(e.to_string());
    let stream = socket.r#type().map_err(system)? == Type::STREAM;
    let domain = socket.domain().map_err(system)?;
    if !stream
        || ![Domain::IPV4, Domain::IPV6].contains(&domain)
        || !socket.is_listener().map_err(system)?
    {
        return Err(Refusal::NotListening);
    }
    socket
        .set_nonblocking(true)
        .and_then(|()| socket.set_cloexec(true))
        .map_err(system)
}

#[allow(unsafe_code)]
fn owned() -> OwnedFd {
    // SAFETY: the caller has seen that the descriptor is open, and `TAKEN` lets one owner at a time be made of it. The
    // program asks for this before anything else of it could hold that number.
    unsafe { OwnedFd::from_raw_fd(PASSED) }
}
