//! Proxies connections between members and engines according to the link between the two. The proxy listens on a separate address
//! for each pair of member and engine.
//!
//! A cut link holds back data, like a network that loses all segments: neither end notices, and data sent during the cut arrives
//! after it. A connection opened during a cut is established at once but transfers nothing. Latency is added to each chunk in turn.

use crate::net::Net;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Read buffer size.
const CHUNK_BYTES: usize = 16 * 1024;
/// How often the threads check whether a cut has ended and whether the network was shut down.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time a thread blocks in a read before it checks whether the network was shut down.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// One direction of a link, by the numbers of its endpoints in the network.
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

/// An open connection from a member to an engine.
struct Connection {
    /// From the member to the engine.
    direction: Direction,
    member_stream: TcpStream,
    engine_stream: TcpStream,
}

impl Connection {
    fn is_between(&self, some: &[u32], others: &[u32]) -> bool {
        let matches = |d: Direction| some.contains(&d.from) && others.contains(&d.to);
        matches(self.direction) || matches(self.direction.reversed())
    }

    fn shut_down(&self) {
        let _ = self.member_stream.shutdown(Shutdown::Both);
        let _ = self.engine_stream.shutdown(Shutdown::Both);
    }
}

type OpenConnections = Arc<Mutex<Vec<Connection>>>;

/// Proxies all connections between the members of a harness and its engines.
pub struct TcpProxy {
    /// The proxy's address for each member and engine.
    addrs: Vec<Vec<SocketAddr>>,
    open: OpenConnections,
}

impl TcpProxy {
    /// Starts a proxy between this number of members and these engines. It runs until the network is shut down.
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

    /// Returns the address at which a member reaches an engine.
    pub fn addr(&self, member: u32, engine: usize) -> SocketAddr {
        self.addrs[member as usize][engine]
    }

    /// Shuts down all connections between `some` and `others`. The peers see a reset or a close, depending on the operating system.
    pub fn reset(&self, some: &[u32], others: &[u32]) {
        let Ok(mut open) = self.open.lock() else {
            return;
        };
        open.retain(|connection| {
            let is_affected = connection.is_between(some, others);
            if is_affected {
                connection.shut_down();
            }
            !is_affected
        });
    }
}

/// Starts listening for connections of one member to one engine.
fn listen(
    engine: SocketAddr,
    direction: Direction,
    net: &Net,
    open: &OpenConnections,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    listener
        .set_nonblocking(true)
        .expect("making the listener non-blocking");
    let addr = listener.local_addr().expect("reading the local address");
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
    while !net.is_shut_down() {
        let Ok((member_stream, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        // If the engine does not listen, the member's connection is closed.
        if let Ok(engine_stream) = TcpStream::connect(engine) {
            let _ = connect(member_stream, engine_stream, direction, net, open);
        }
    }
}

/// Copies bytes between the two streams on two threads until either end closes.
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

/// Copies bytes in one direction until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, net: &Net) {
    let mut bytes = vec![0; CHUNK_BYTES];
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    while !net.is_shut_down() {
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
    // A cut holds back the close as well.
    let _ = wait_for_link(direction, 0, net);
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Waits while the link is cut, and then returns the transfer time of `bytes`. Returns `None` if the network was shut down.
fn wait_for_link(direction: Direction, bytes: usize, net: &Net) -> Option<Duration> {
    loop {
        match net.transfer_time(direction.from, direction.to, bytes) {
            Some(time) => return Some(time),
            None if net.is_shut_down() => return None,
            None => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
