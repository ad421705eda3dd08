//! One operator's connection: lines come in, replies go out as fast as the operator reads them.

use crate::node::ConnectionId;
use calloop::RegistrationToken;
use driftfront_control::{greeting, LineReader};
use driftfront_core::Micros;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Bytes that may wait for an operator to read them: beyond that the connection is cut off.
const MAX_UNSENT_BYTES: usize = 4 * 1024 * 1024;
/// A connection with something unsent for longer than this is cut off, however little it is.
const MAX_UNSENT_TIME: Micros = 3_000_000;
/// Memory that an empty buffer may keep.
const RETAINED_BUFFER_BYTES: usize = 64 * 1024;
const CHALLENGE_BYTES: usize = 16;

/// Where the reply to an operator's request goes.
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
    /// Makes reads and writes return at once.
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

/// A request for snapshots at an interval.
pub(super) struct Subscription {
    pub(super) request: u64,
    pub(super) interval: Micros,
    pub(super) due: Micros,
}

/// The connection can't be used any more: its peer has closed it, or an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionClosed;

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// So many bytes; more may wait.
    Bytes(usize),
    /// Nothing waits.
    WouldBlock,
}

/// An operator's connection.
pub(super) struct OperatorConnection {
    stream: OperatorStream,
    pub(super) token: Option<RegistrationToken>,
    pub(super) lines: LineReader,
    unsent: Vec<u8>,
    /// Since when something is unsent.
    unsent_since: Option<Micros>,
    /// The challenge that the operator must answer before anything else; only on the control port.
    pub(super) challenge: Option<String>,
    pub(super) subscription: Option<Subscription>,
    /// The request for events as they happen.
    pub(super) events_request: Option<u64>,
}

impl OperatorConnection {
    /// A new connection, with the greeting as the first line to send.
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

    /// Sends what the system takes.
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

    /// Reads once into the lines; `buffer` is scratch space.
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

    /// Whether everything that was queued has been sent.
    pub(super) fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Whether more waits for the operator than a connection may hold.
    pub(super) fn is_over_limit(&self) -> bool {
        self.unsent.len() > MAX_UNSENT_BYTES
    }

    /// Whether the operator has not read for too long.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        self.unsent_since
            .is_some_and(|since| now > since + MAX_UNSENT_TIME)
    }
}

/// Random hexadecimal digits. Empty where the system has no random numbers: no answer is right then.
fn random_challenge() -> String {
    let mut random = [0; CHALLENGE_BYTES];
    let read =
        std::fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut random));
    match read {
        Ok(()) => random.iter().map(|byte| format!("{byte:02x}")).collect(),
        Err(_) => String::new(),
    }
}
