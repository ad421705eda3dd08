//! A TCP connection with an output buffer; reads and writes may come in any pieces.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Nothing more for now.
    WouldBlock,
    /// As much as was asked for; there may be more.
    LimitReached,
    /// The peer has ended its side.
    Closed,
}

/// Bytes of one system call's read.
const SCRATCH_BYTES: usize = 64 * 1024;
/// Bytes that were written are held in front of those that wait up to this many.
const MAX_WRITTEN_BYTES_HELD: usize = 32 * 1024;
/// An emptied output buffer larger than this is given back: one large response must not keep its memory for the connection's life.
const MAX_RETAINED_BYTES: usize = 64 * 1024;
/// "Too many open files in system": the system is out of descriptors.
const ENFILE: i32 = 23;
/// "Too many open files": the process is out of descriptors.
const EMFILE: i32 = 24;
/// "Operation now in progress", which std has no name for on the stable channel.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// One buffer for all reads: a fresh one would be cleared for each.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; SCRATCH_BYTES]);
}

/// A non-blocking TCP connection with an output buffer.
pub struct BufferedStream {
    stream: Rc<TcpStream>,
    out: Vec<u8>,
    /// Bytes at the front of `out` that were written.
    start: usize,
    /// Bytes ever put into the buffer.
    queued: u64,
    /// Bytes ever taken by the system.
    written: u64,
    /// An error that came behind bytes that were read: returned by the next read.
    read_error: Option<io::Error>,
}

impl BufferedStream {
    /// Wraps a non-blocking stream.
    pub fn new(stream: Rc<TcpStream>) -> BufferedStream {
        BufferedStream {
            stream,
            out: Vec::new(),
            start: 0,
            queued: 0,
            written: 0,
            read_error: None,
        }
    }

    /// The socket, for the event loop.
    pub fn socket(&self) -> Rc<TcpStream> {
        self.stream.clone()
    }

    /// Whether a connect that was begun has come up.
    ///
    /// # Errors
    ///
    /// The connect's, if it failed.
    pub fn poll_connected(&self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Whether the peer has ended its side, or all of the connection, behind bytes that are not read yet. A system that can't
    /// tell says no: then it shows when those bytes are read.
    pub fn peer_has_closed(&self) -> bool {
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let mut fds = [PollFd::new(&*self.stream, ends)];
        poll(&mut fds, Some(&at_once)).is_ok() && fds[0].revents().intersects(ends)
    }

    /// Appends up to `max_bytes` received bytes to `into`.
    ///
    /// # Errors
    ///
    /// The connection's. An error comes by itself: bytes that came before it, maybe a whole response, are given first.
    pub fn read(&mut self, into: &mut Vec<u8>, max_bytes: usize) -> io::Result<ReadOutcome> {
        SCRATCH.with_borrow_mut(|scratch| self.read_through(scratch, into, max_bytes))
    }

    fn read_through(
        &mut self,
        scratch: &mut [u8],
        into: &mut Vec<u8>,
        max_bytes: usize,
    ) -> io::Result<ReadOutcome> {
        if let Some(error) = self.read_error.take() {
            return Err(error);
        }
        let mut remaining = max_bytes;
        while remaining > 0 {
            let room = remaining.min(scratch.len());
            match (&*self.stream).read(&mut scratch[..room]) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(n) => {
                    into.extend_from_slice(&scratch[..n]);
                    remaining -= n;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::WouldBlock),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if remaining < max_bytes => {
                    self.read_error = Some(e);
                    return Ok(ReadOutcome::LimitReached);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(ReadOutcome::LimitReached)
    }

    /// Puts bytes behind what waits to be written.
    pub fn push(&mut self, bytes: &[u8]) {
        // What a slow peer has taken gives its memory back, though something always waits.
        if self.start > MAX_WRITTEN_BYTES_HELD {
            self.out.drain(..self.start);
            self.start = 0;
        }
        self.out.extend_from_slice(bytes);
        self.queued += bytes.len() as u64;
    }

    /// Writes what the system takes; true if nothing is left.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.start < self.out.len() {
            match (&*self.stream).write(&self.out[self.start..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.start += n;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.start = 0;
        self.out.clear();
        if self.out.capacity() > MAX_RETAINED_BYTES {
            self.out = Vec::new();
        }
        Ok(true)
    }

    /// Bytes that wait to be written.
    pub fn backlog(&self) -> usize {
        self.out.len() - self.start
    }

    /// Place in the stream behind the last byte queued.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Place in the stream behind the last byte that the system took.
    pub fn written(&self) -> u64 {
        self.written
    }
}

/// Whether an error says that the process or the system is out of descriptors.
pub fn is_out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// Begins a connect; it comes up, or fails, later.
///
/// # Errors
///
/// Where it can't even be begun, as for want of descriptors.
pub fn connect(addr: SocketAddr) -> io::Result<Rc<TcpStream>> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(Rc::new(socket.into()))
}
