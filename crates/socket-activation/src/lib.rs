//! Socket activation: takes over a listening socket that was passed to the process at its start.
//!
//! The standard library turns a raw descriptor into an owned one only in unsafe code, since two owners of a descriptor would
//! close it twice. That code is confined to this crate. It runs once in the life of a process, before the process has opened a
//! descriptor of that number itself, and only a listening stream socket is adopted.
#![warn(missing_docs)]
#![deny(unsafe_code)]

use socket2::{Domain, Socket, Type};
use std::fmt;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// The descriptor under which the platform passes the clients' listening socket.
pub const PASSED_DESCRIPTOR: i32 = 4;

/// Characters of a wrong value that the error repeats.
const MAX_SHOWN_CHARS: usize = 40;

/// Why a descriptor is not adopted. It stays open and unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// The variable's value is not the number of [`PASSED_DESCRIPTOR`].
    WrongDescriptor(String),
    /// The descriptor is not open.
    Closed,
    /// The descriptor is not a socket.
    NotASocket,
    /// The descriptor is not a listening TCP socket.
    NotListening,
    /// The descriptor was adopted before.
    AlreadyAdopted,
    /// A system call failed; holds the system's message.
    System(String),
}

impl fmt::Display for AdoptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdoptError::WrongDescriptor(value) => {
                write!(f, "{value:?} is not descriptor {PASSED_DESCRIPTOR}")
            }
            AdoptError::Closed => write!(f, "descriptor {PASSED_DESCRIPTOR} is not open"),
            AdoptError::NotASocket => write!(f, "descriptor {PASSED_DESCRIPTOR} is not a socket"),
            AdoptError::NotListening => write!(
                f,
                "descriptor {PASSED_DESCRIPTOR} is not a listening TCP socket"
            ),
            AdoptError::AlreadyAdopted => {
                write!(f, "descriptor {PASSED_DESCRIPTOR} is already in use")
            }
            AdoptError::System(why) => write!(f, "descriptor {PASSED_DESCRIPTOR}: {why}"),
        }
    }
}

impl std::error::Error for AdoptError {}

static IS_ADOPTED: AtomicBool = AtomicBool::new(false);

/// Adopts the passed socket. `value` is that of the environment variable with the descriptor's number.
///
/// The socket is set to non-blocking mode. All processes that share it share this mode, and none of them blocks in `accept`.
///
/// # Errors
///
/// Fails if the descriptor can't be adopted; it stays open and unchanged.
pub fn adopt(value: &str) -> Result<TcpListener, AdoptError> {
    if value.trim().parse() != Ok(PASSED_DESCRIPTOR) {
        let start = value.chars().take(MAX_SHOWN_CHARS).collect();
        return Err(AdoptError::WrongDescriptor(start));
    }
    let link = std::fs::read_link(format!("/proc/self/fd/{PASSED_DESCRIPTOR}"))
        .map_err(|_| AdoptError::Closed)?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(AdoptError::NotASocket);
    }
    if IS_ADOPTED.swap(true, Ordering::SeqCst) {
        return Err(AdoptError::AlreadyAdopted);
    }
    let socket = Socket::from(take_descriptor());
    match check(&socket) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            // Releases the descriptor without closing it.
            let _ = socket.into_raw_fd();
            IS_ADOPTED.store(false, Ordering::SeqCst);
            Err(error)
        }
    }
}

fn check(socket: &Socket) -> Result<(), AdoptError> {
    let system_error = |e: std::io::Error| AdoptError::System(e.to_string());
    let is_stream = socket.r#type().map_err(system_error)? == Type::STREAM;
    let domain = socket.domain().map_err(system_error)?;
    if !is_stream
        || ![Domain::IPV4, Domain::IPV6].contains(&domain)
        || !socket.is_listener().map_err(system_error)?
    {
        return Err(AdoptError::NotListening);
    }
    socket
        .set_nonblocking(true)
        .and_then(|()| socket.set_cloexec(true))
        .map_err(system_error)
}

#[allow(
    unsafe_code,
    reason = "the standard library has no safe conversion of a raw descriptor to an owned one"
)]
fn take_descriptor() -> OwnedFd {
    // SAFETY: the caller has checked that the descriptor is open, and `IS_ADOPTED` allows one owner at a time. The program
    // adopts the socket before it opens anything that could get this number.
    unsafe { OwnedFd::from_raw_fd(PASSED_DESCRIPTOR) }
}
