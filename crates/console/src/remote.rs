//! A blocking connection to a running program, used by commands and by a thread of the console.

use driftfront_control::{challenge_in, key, LineReader, Reply, Request, MAX_REPLY_BYTES};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Timeout for the greeting and for replies, until [`Remote::disable_timeout`] is called.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// The address at which a program accepts control connections.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// The path of a Unix socket.
    Socket(PathBuf),
    /// A loopback TCP address, and the key.
    Port(String, Vec<u8>),
}

/// A connected stream socket.
trait Stream: Read + Write + Send {
    /// Sets the read timeout; `None` disables it.
    fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()>;
    /// Duplicates the handle of the connection.
    fn duplicate(&self) -> io::Result<Box<dyn Stream>>;
}

impl Stream for UnixStream {
    fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(timeout)
    }
    fn duplicate(&self) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(self.try_clone()?))
    }
}

impl Stream for TcpStream {
    fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(timeout)
    }
    fn duplicate(&self) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(self.try_clone()?))
    }
}

/// A connection to a program.
pub struct Remote {
    stream: Box<dyn Stream>,
    lines: LineReader,
    /// The id of the last request.
    last_id: u64,
}

impl Remote {
    /// Connects, and authenticates if the program requires it.
    ///
    /// # Errors
    ///
    /// The socket's errors; `PermissionDenied` if the key is rejected, `InvalidData` if the peer does not speak this protocol.
    pub fn connect(at: &Endpoint) -> io::Result<Remote> {
        let (stream, secret): (Box<dyn Stream>, &[u8]) = match at {
            Endpoint::Socket(path) => (Box::new(UnixStream::connect(path)?), &[]),
            Endpoint::Port(addr, key) => (Box::new(TcpStream::connect(addr)?), key),
        };
        stream.set_timeout(Some(REPLY_TIMEOUT))?;
        let mut remote = Remote {
            stream,
            lines: LineReader::default(),
            last_id: 0,
        };
        let greeting = remote.read_line()?;
        let challenge = challenge_in(&greeting)
            .ok_or_else(|| invalid_data("the peer sent no valid greeting"))?;
        if let Some(challenge) = challenge {
            remote.authenticate(secret, &challenge)?;
        }
        Ok(remote)
    }

    fn authenticate(&mut self, secret: &[u8], challenge: &str) -> io::Result<()> {
        let answer = key::answer(secret, challenge);
        match self.ask(&Request::Auth(answer))? {
            Reply::Done(_) => Ok(()),
            _ => Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "the key was rejected",
            )),
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut bytes = [0; READ_BYTES];
        loop {
            let line = self.lines.next_line(MAX_REPLY_BYTES);
            if let Some(line) =
                line.map_err(|_| invalid_data("a line exceeds the maximum length"))?
            {
                return Ok(line);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    return Err(io::Error::new(
                        ErrorKind::UnexpectedEof,
                        "the program closed the connection",
                    ))
                }
                Ok(n) => self.lines.push(&bytes[..n]),
                // A resize of the terminal raises a signal, which interrupts a blocking read.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Sends a request, and returns its id.
    ///
    /// # Errors
    ///
    /// The connection's errors.
    pub fn send(&mut self, request: &Request) -> io::Result<u64> {
        self.last_id += 1;
        let line = request.line(self.last_id);
        self.stream.write_all(line.as_bytes())?;
        Ok(self.last_id)
    }

    /// Waits for the next reply to any request. Lines that are not a known reply are skipped.
    ///
    /// # Errors
    ///
    /// The connection's errors; `UnexpectedEof` if the program closed the connection, `InvalidData` for a line that is too long.
    pub fn next_reply(&mut self) -> io::Result<(u64, Reply)> {
        loop {
            let line = self.read_line()?;
            if let Some(reply) = Reply::read(&line) {
                return Ok(reply);
            }
        }
    }

    /// Waits for the next reply to this request. Replies to other requests are dropped.
    ///
    /// # Errors
    ///
    /// As [`Remote::next_reply`].
    pub fn reply(&mut self, id: u64) -> io::Result<Reply> {
        loop {
            let (reply_id, reply) = self.next_reply()?;
            if reply_id == id {
                return Ok(reply);
            }
        }
    }

    /// Sends a request, and waits for its reply.
    ///
    /// # Errors
    ///
    /// As [`Remote::send`] and [`Remote::next_reply`].
    pub fn ask(&mut self, request: &Request) -> io::Result<Reply> {
        let id = self.send(request)?;
        self.reply(id)
    }

    /// Disables the timeout: from now on reads wait for replies indefinitely.
    ///
    /// # Errors
    ///
    /// The socket's errors.
    pub fn disable_timeout(&self) -> io::Result<()> {
        self.stream.set_timeout(None)
    }

    /// A second handle of the connection, for writing from another thread.
    ///
    /// # Errors
    ///
    /// The socket's errors.
    pub fn writer(&self) -> io::Result<impl Write + Send> {
        self.stream.duplicate()
    }
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, message)
}
