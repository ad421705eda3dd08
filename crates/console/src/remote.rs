//! A connection to a running program, with blocking calls: for commands, and for a thread of the console.

use driftfront_control::{challenge_in, key, LineReader, Reply, Request, MAX_REPLY_BYTES};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Longest wait for a greeting or a reply, unless [`Remote::disable_timeout`] was called.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;

/// Where a program listens for operators.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// A Unix socket.
    Socket(PathBuf),
    /// A loopback address, and the key.
    Port(String, Vec<u8>),
}

trait Stream: Read + Write + Send {
    /// Reads take at most this long; `None` for ever.
    fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()>;
    /// Another handle of the same connection.
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
    /// Connects, and proves the key where one is asked for.
    ///
    /// # Errors
    ///
    /// The socket's errors; `PermissionDenied` where the key is not right, `InvalidData` where no program of this kind answers.
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
        let challenge = challenge_in(&greeting).ok_or_else(|| invalid_data("no greeting"))?;
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
                "the key is not right",
            )),
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut bytes = [0; READ_BYTES];
        loop {
            let line = self.lines.next_line(MAX_REPLY_BYTES);
            if let Some(line) = line.map_err(|_| invalid_data("a line without end"))? {
                return Ok(line);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    return Err(io::Error::new(
                        ErrorKind::UnexpectedEof,
                        "the program has ended",
                    ))
                }
                Ok(n) => self.lines.push(&bytes[..n]),
                // A terminal that changes its size interrupts a wait.
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

    /// The next reply, to any request. Lines that are no reply are passed over.
    ///
    /// # Errors
    ///
    /// The connection's errors, `UnexpectedEof` where the program has ended, `InvalidData` for a line beyond the bound.
    pub fn next_reply(&mut self) -> io::Result<(u64, Reply)> {
        loop {
            let line = self.read_line()?;
            if let Some(reply) = Reply::read(&line) {
                return Ok(reply);
            }
        }
    }

    /// The next reply to this request.
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

    /// From now on replies may take as long as they like.
    ///
    /// # Errors
    ///
    /// The socket's errors.
    pub fn disable_timeout(&self) -> io::Result<()> {
        self.stream.set_timeout(None)
    }

    /// Another handle of the same connection, to write from another thread.
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
