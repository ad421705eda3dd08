//! Connections between members and engines, by the link between the two: each member has an address of its own for each
//! engine, at which the proxy listens.
//!
//! A cut link holds back what is sent, as a network that loses all segments does: neither end notices, and what was sent during
//! the cut arrives after it. A connection that is made meanwhile is established at once, and silent. Delays hold up one chunk
//! after another.

use crate::net::Net;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// The threads look this often whether a cut is over, and whether the network has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for bytes before a thread looks whether the network has ended.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// One direction of a link, by the numbers that the network has for its ends.
#[derive(Clone, Copy)]
struct Direction {
    from: u32,
    to: u32,
}

impl Direction {
    fn reversed(self) -> Direction {
        Direction {
            from: self.to,
            to: self.from,
        }
    }
}

/// An open connection of a member to an engine.
struct Connection {
    /// From the member to the engine.
    direction: Direction,
    member_stream: TcpStream,
    engine_stream: TcpStream,
}

impl Connection {
    fn is_between(&self, some: &[u32], others: &[u32]) -> bool {
        let joins = |d: Direction| some.contains(&d.from) && others.contains(&d.to);
        joins(self.direction) || joins(self.direction.reversed())
    }

    fn shut_down(&self) {
        let _ = self.member_stream.shutdown(Shutdown::Both);
        let _ = self.engine_stream.shutdown(Shutdown::Both);
    }
}

type OpenConnections = Arc<Mutex<Vec<Connection>>>;

/// All connections between the members of a harness and its engines.
pub struct TcpProxy {
    /// Where each member finds each engine.
    addrs: Vec<Vec<SocketAddr>>,
    open: OpenConnections,
}

impl TcpProxy {
    /// Listens for so many members in front of these engines, until the network ends.
    pub fn start(members: u32, engines: &[SocketAddr], net: &Net) -> TcpProxy {
        let open = OpenConnections::default();
        let addrs = (0..members)
            .map(|member| {
                (members..)
                    .zip(engines)
                    .map(|(number, &engine)| {
                        let direction = Direction {
                            from: member,
                            to: number,
                        };
                        listen(engine, direction, net, &open)
                    })
                    .collect()
            })
            .collect();
        TcpProxy { addrs, open }
    }

    /// Where a member finds an engine.
    pub fn addr(&self, member: u32, engine: usize) -> SocketAddr {
        self.addrs[member as usize][engine]
    }

    /// Ends all connections between `some` and `others`; the system makes a reset or a close of it.
    pub fn reset(&self, some: &[u32], others: &[u32]) {
        let Ok(mut open) = self.open.lock() else {
            return;
        };
        open.retain(|connection| {
            let ends = connection.is_between(some, others);
            if ends {
                connection.shut_down();
            }
            !ends
        });
    }
}

/// Listens for one member in front of one engine.
fn listen(
    engine: SocketAddr,
    direction: Direction,
    net: &Net,
    open: &OpenConnections,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let (open, net) = (open.clone(), net.clone());
    std::thread::spawn(move || accept(&listener, engine, direction, &net, &open));
    addr
}

fn accept(
    listener: &TcpListener,
    engine: SocketAddr,
    direction: Direction,
    net: &Net,
    open: &OpenConnections,
) {
    while !net.has_ended() {
        let Ok((member_stream, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        // Where the engine does not listen, the member's connection closes.
        if let Ok(engine_stream) = TcpStream::connect(engine) {
            let _ = connect(member_stream, engine_stream, direction, net, open);
        }
    }
}

/// Copies bytes between the two streams on threads of their own until either end closes.
fn connect(
    member_stream: TcpStream,
    engine_stream: TcpStream,
    direction: Direction,
    net: &Net,
    open: &OpenConnections,
) -> std::io::Result<()> {
    let _ = member_stream.set_nonblocking(false);
    let _ = member_stream.set_nodelay(true);
    let _ = engine_stream.set_nodelay(true);
    let (member_copy, engine_copy) = (member_stream.try_clone()?, engine_stream.try_clone()?);
    let connection = Connection {
        direction,
        member_stream: member_stream.try_clone()?,
        engine_stream: engine_stream.try_clone()?,
    };
    if let Ok(mut open) = open.lock() {
        open.retain(|c| c.member_stream.peer_addr().is_ok());
        open.push(connection);
    }
    let (requests, responses) = (net.clone(), net.clone());
    std::thread::spawn(move || copy(member_stream, engine_stream, direction, &requests));
    std::thread::spawn(move || copy(engine_copy, member_copy, direction.reversed(), &responses));
    Ok(())
}

/// Copies bytes one way until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, net: &Net) {
    let mut bytes = vec![0; CHUNK_BYTES];
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    while !net.has_ended() {
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        let Some(time) = wait_for_link(direction, count, net) else {
            return;
        };
        if !time.is_zero() {
            std::thread::sleep(time);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // A close passes a cut no more than bytes do.
    let _ = wait_for_link(direction, 0, net);
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Waits while the link is cut; how long so many bytes take on it then. `None` once the network has ended.
fn wait_for_link(direction: Direction, bytes: usize, net: &Net) -> Option<Duration> {
    loop {
        match net.transfer_time(direction.from, direction.to, bytes) {
            Some(time) => return Some(time),
            None if net.has_ended() => return None,
            None => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
