//! Speaks to a running program, blocking: for commands and for the console's own thread.

use driftfront_control::{challenge_in, key, LineReader, Reply, Request, MAX_REPLY_BYTES};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Where a program listens for operators.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// A Unix socket.
    Socket(PathBuf),
    /// A loopback address, and the key.
    Port(String, Vec<u8>),
}

trait Stream: Read + Write + Send {
    fn wait(&self, most: Option<Duration>) -> io::Result<()>;
    fn copy(&self) -> io::Result<Box<dyn Stream>>;
}

impl Stream for UnixStream {
    fn wait(&self, most: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(most)
    }
    fn copy(&self) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(self.try_clone()?))
    }
}

impl Stream for TcpStream {
    fn wait(&self, most: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(most)
    }
    fn copy(&self) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(self.try_clone()?))
    }
}

/// A connection to a program.
pub struct Remote {
    stream: Box<dyn Stream>,
    lines: LineReader,
    last: u64,
}

/// A connect or a plain answer takes at most this long.
const PATIENCE: Duration = Duration::from_secs(10);

impl Remote {
    /// Connects, and proves the key where one is asked for.
    pub fn connect(at: &Endpoint) -> io::Result<Remote> {
        let (stream, secret): (Box<dyn Stream>, &[u8]) = match at {
            Endpoint::Socket(path) => (Box::new(UnixStream::connect(path)?), &[]),
            Endpoint::Port(addr, key) => (Box::new(TcpStream::connect(addr)?), key),
        };
        stream.wait(Some(PATIENCE))?;
        let mut remote = Remote {
            stream,
            lines: LineReader::default(),
            last: 0,
        };
        let challenge = challenge_in(&remote.line()?).ok_or_else(|| odd("no greeting"))?;
        if let Some(challenge) = challenge {
            let id = remote.send(&Request::Auth(key::answer(secret, &challenge)))?;
            match remote.reply(id)? {
                Reply::Done(_) => {}
                _ => {
                    return Err(io::Error::new(
                        ErrorKind::PermissionDenied,
                        "the key is not right",
                    ))
                }
            }
        }
        Ok(remote)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut bytes = [0; 64 * 1024];
        loop {
            if let Some(line) = self
                .lines
                .next_line(MAX_REPLY_BYTES)
                .map_err(|_| odd("a line without end"))?
            {
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

    /// Sends a request; its id.
    pub fn send(&mut self, request: &Request) -> io::Result<u64> {
        self.last += 1;
        self.stream.write_all(request.line(self.last).as_bytes())?;
        Ok(self.last)
    }

    /// The next reply, to whatever.
    pub fn next_reply(&mut self) -> io::Result<(u64, Reply)> {
        loop {
            let line = self.line()?;
            if let Some(reply) = Reply::read(&line) {
                return Ok(reply);
            }
        }
    }

    /// The next reply to this request.
    pub fn reply(&mut self, id: u64) -> io::Result<Reply> {
        loop {
            let (of, reply) = self.next_reply()?;
            if of == id {
                return Ok(reply);
            }
        }
    }

    /// Asks, and waits for the answer.
    pub fn ask(&mut self, request: &Request) -> io::Result<Reply> {
        let id = self.send(request)?;
        self.reply(id)
    }

    /// From now on replies may take as long as they like.
    pub fn wait_for_ever(&self) -> io::Result<()> {
        self.stream.wait(None)
    }

    /// A second end of the same connection, to write from another thread.
    pub fn writer(&self) -> io::Result<impl Write + Send> {
        self.stream.copy()
    }
}

fn odd(words: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, words.to_string())
}
