//! An operator's connection: reads request lines and buffers replies until the operator reads them.

use crate::node::ConnectionId;
use calloop::RegistrationToken;
use driftfront_control::{greeting, LineReader};
use driftfront_core::Micros;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// The maximum number of unsent bytes; a connection that exceeds it is closed.
const MAX_UNSENT_BYTES: usize = 4 * 1024 * 1024;
/// A connection with any unsent bytes for longer than this is closed.
const MAX_UNSENT_TIME: Micros = 3_000_000;
/// The capacity that an empty send buffer retains.
const RETAINED_BUFFER_BYTES: usize = 64 * 1024;
const CHALLENGE_BYTES: usize = 16;

/// The destination of the reply to an operator's request.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct ReplyTo {
    pub(in crate::node) connection: ConnectionId,
    /// The request's id, chosen by the operator.
    pub(in crate::node) request: u64,
}

/// The socket of an operator's connection.
#[derive(Clone)]
pub(super) enum OperatorStream {
    Unix(Rc<UnixStream>),
    Tcp(Rc<TcpStream>),
}

impl OperatorStream {
    /// Makes the socket non-blocking, and disables Nagle's algorithm on TCP.
    pub(super) fn set_nonblocking(&self) -> io::Result<()> {
        match self {
            OperatorStream::Unix(stream) => stream.set_nonblocking(true),
            OperatorStream::Tcp(stream) => {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)
            }
        }
    }

    fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        match self {
            OperatorStream::Unix(stream) => (&**stream).read(bytes),
            OperatorStream::Tcp(stream) => (&**stream).read(bytes),
        }
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            OperatorStream::Unix(stream) => (&**stream).write(bytes),
            OperatorStream::Tcp(stream) => (&**stream).write(bytes),
        }
    }
}

/// A subscription to snapshots at an interval.
pub(super) struct Subscription {
    pub(super) request: u64,
    pub(super) interval: Micros,
    pub(super) due: Micros,
}

/// The connection was closed by the peer or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionClosed;

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// This number of bytes was read; there may be more.
    Bytes(usize),
    /// There is nothing to read.
    WouldBlock,
}

/// An operator's connection.
pub(super) struct OperatorConnection {
    stream: OperatorStream,
    pub(super) token: Option<RegistrationToken>,
    pub(super) lines: LineReader,
    unsent: Vec<u8>,
    /// Since when there have been unsent bytes.
    unsent_since: Option<Micros>,
    /// The challenge that the operator must answer before any other request; only on the control port.
    pub(super) challenge: Option<String>,
    pub(super) subscription: Option<Subscription>,
    /// The id of the request that subscribed to events.
    pub(super) events_request: Option<u64>,
}

impl OperatorConnection {
    /// Creates a connection with the greeting queued as its first line.
    pub(super) fn new(stream: OperatorStream, token: RegistrationToken) -> OperatorConnection {
        let challenge = matches!(stream, OperatorStream::Tcp(_)).then(random_challenge);
        let greeting = greeting(env!("CARGO_PKG_VERSION"), challenge.as_deref());
        OperatorConnection {
            stream,
            token: Some(token),
            lines: LineReader::default(),
            unsent: greeting.into_bytes(),
            unsent_since: None,
            challenge,
            subscription: None,
            events_request: None,
        }
    }

    /// Queues a line for the operator.
    pub(super) fn push(&mut self, now: Micros, line: &str) {
        self.unsent.extend(line.bytes());
        self.unsent_since.get_or_insert(now);
    }

    /// Sends as many bytes as the socket accepts.
    pub(super) fn flush(&mut self) -> Result<(), ConnectionClosed> {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) if count > 0 => drop(self.unsent.drain(..count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return Err(ConnectionClosed),
            }
        }
        self.unsent_since = None;
        self.unsent.shrink_to(RETAINED_BUFFER_BYTES);
        Ok(())
    }

    /// Reads once and passes the bytes to the line reader; `buffer` is scratch space.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Result<ReadProgress, ConnectionClosed> {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Err(ConnectionClosed),
                Ok(count) => {
                    self.lines.push(&buffer[..count]);
                    return Ok(ReadProgress::Bytes(count));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadProgress::WouldBlock),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(ConnectionClosed),
            }
        }
    }

    /// Whether all queued bytes have been sent.
    pub(super) fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Whether the unsent bytes exceed the limit.
    pub(super) fn is_over_limit(&self) -> bool {
        self.unsent.len() > MAX_UNSENT_BYTES
    }

    /// Whether there have been unsent bytes for too long.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        self.unsent_since
            .is_some_and(|since| now > since + MAX_UNSENT_TIME)
    }
}

/// Random hexadecimal digits. Empty if the system provides no random numbers; no response is accepted then.
fn random_challenge() -> String {
    let mut random = [0; CHALLENGE_BYTES];
    let read =
        std::fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut random));
    match read {
        Ok(()) => random.iter().map(|byte| format!("{byte:02x}")).collect(),
        Err(_) => String::new(),
    }
}
