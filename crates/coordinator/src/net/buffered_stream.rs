//! A non-blocking TCP connection with an output buffer.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// No more input for now.
    WouldBlock,
    /// The requested number of bytes was read; there may be more.
    LimitReached,
    /// The peer has closed its side.
    Closed,
}

/// Maximum bytes read per system call.
const SCRATCH_BYTES: usize = 64 * 1024;
/// Written bytes at the front of the output buffer are removed once they exceed this size.
const MAX_WRITTEN_BYTES_HELD: usize = 32 * 1024;
/// An empty output buffer with a larger capacity is freed: one large response must not occupy memory for the connection's life.
const MAX_RETAINED_BYTES: usize = 1024;
/// "Too many open files in system": the system is out of descriptors.
const ENFILE: i32 = 23;
/// "Too many open files": the process is out of descriptors.
const EMFILE: i32 = 24;
/// "Operation now in progress", which std has no name for on the stable channel.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// One buffer for all reads: a new one would have to be zeroed for each.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; SCRATCH_BYTES]);
}

/// A non-blocking TCP connection with an output buffer.
pub struct BufferedStream {
    stream: Rc<TcpStream>,
    out: Vec<u8>,
    /// Number of bytes at the front of `out` that were written.
    start: usize,
    /// Total bytes put into the buffer.
    queued: u64,
    /// Total bytes written to the socket.
    written: u64,
    /// An error that occurred after some bytes had been read; the next read returns it.
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

    /// Whether the connect has completed.
    ///
    /// # Errors
    ///
    /// The connect failed.
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

    /// Whether the peer has closed its side or reset the connection, even if there is unread input before that. False if the system
    /// cannot tell; the close is then noticed when the input has been read.
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
    /// The connection failed. Bytes read before the failure, possibly a whole response, are returned first, and the error by the
    /// next read.
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

    /// Appends bytes to the output buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        // Written bytes are removed even if a slow peer never lets the buffer become empty.
        if self.start > MAX_WRITTEN_BYTES_HELD {
            self.out.drain(..self.start);
            self.start = 0;
        }
        self.out.extend_from_slice(bytes);
        self.queued += bytes.len() as u64;
    }

    /// Writes until the socket would block; true if no output is left.
    ///
    /// # Errors
    ///
    /// The connection failed.
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

    /// Bytes of memory that the output buffer occupies.
    pub fn held_bytes(&self) -> usize {
        self.out.capacity()
    }

    /// Number of bytes waiting to be written.
    pub fn backlog(&self) -> usize {
        self.out.len() - self.start
    }

    /// Stream position after the last byte queued.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Stream position after the last byte written to the socket.
    pub fn written(&self) -> u64 {
        self.written
    }
}

/// Whether an error means that the process or the system is out of file descriptors.
pub fn is_out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// Starts a non-blocking connect. [`BufferedStream::poll_connected`] reports its result.
///
/// # Errors
///
/// The connect can't be started, for example for lack of descriptors.
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
