//! Socket activation: a listening socket that this process was started with.
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
pub const PASSED_DESCRIPTOR: i32 = 4;

/// Why a descriptor is not adopted. It is left as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// The name it was told by is not the number of [`PASSED_DESCRIPTOR`].
    WrongDescriptor(String),
    /// Nothing is open under that number.
    Closed,
    /// It is open, but no socket.
    NotASocket,
    /// It is a socket on which nobody can connect.
    NotListening,
    /// It was adopted before.
    AlreadyAdopted,
    /// The system says no.
    System(String),
}

impl fmt::Display for AdoptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdoptError::WrongDescriptor(told) => {
                write!(f, "{told:?} is not descriptor {PASSED_DESCRIPTOR}")
            }
            AdoptError::Closed => write!(f, "descriptor {PASSED_DESCRIPTOR} is not open"),
            AdoptError::NotASocket => write!(f, "descriptor {PASSED_DESCRIPTOR} is no socket"),
            AdoptError::NotListening => write!(
                f,
                "descriptor {PASSED_DESCRIPTOR} is no listening TCP socket"
            ),
            AdoptError::AlreadyAdopted => {
                write!(f, "descriptor {PASSED_DESCRIPTOR} is in use already")
            }
            AdoptError::System(why) => write!(f, "descriptor {PASSED_DESCRIPTOR}: {why}"),
        }
    }
}

impl std::error::Error for AdoptError {}

static IS_ADOPTED: AtomicBool = AtomicBool::new(false);

/// Adopts the passed socket. `told`: the text of the variable that names its descriptor.
///
/// It is made non-blocking: every process that holds it shares that, and none of them wants to wait in `accept`.
///
/// # Errors
///
/// Fails where the descriptor is none that can be adopted; it is left as it was.
pub fn adopt(told: &str) -> Result<TcpListener, AdoptError> {
    if told.trim().parse() != Ok(PASSED_DESCRIPTOR) {
        return Err(AdoptError::WrongDescriptor(told.chars().take(40).collect()));
    }
    let link = std::fs::read_link(format!("/proc/self/fd/{PASSED_DESCRIPTOR}"))
        .map_err(|_| AdoptError::Closed)?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(AdoptError::NotASocket);
    }
    if IS_ADOPTED.swap(true, Ordering::SeqCst) {
        return Err(AdoptError::AlreadyAdopted);
    }
    let socket = Socket::from(owned());
    match check(&socket) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            // Not ours: it stays open as it was.
            let _ = socket.into_raw_fd();
            IS_ADOPTED.store(false, Ordering::SeqCst);
            Err(error)
        }
    }
}

fn check(socket: &Socket) -> Result<(), AdoptError> {
    let system = |e: std::io::Error| AdoptError::System(e.to_string());
    let stream = socket.r#type().map_err(system)? == Type::STREAM;
    let domain = socket.domain().map_err(system)?;
    if !stream
        || ![Domain::IPV4, Domain::IPV6].contains(&domain)
        || !socket.is_listener().map_err(system)?
    {
        return Err(AdoptError::NotListening);
    }
    socket
        .set_nonblocking(true)
        .and_then(|()| socket.set_cloexec(true))
        .map_err(system)
}

#[allow(
    unsafe_code,
    reason = "the standard library makes an owned descriptor of a bare one in no other way"
)]
fn owned() -> OwnedFd {
    // SAFETY: the caller has seen that the descriptor is open, and `IS_ADOPTED` lets one owner at a time be made of it. The
    // program asks for this before anything else of it could hold that number.
    unsafe { OwnedFd::from_raw_fd(PASSED_DESCRIPTOR) }
}
