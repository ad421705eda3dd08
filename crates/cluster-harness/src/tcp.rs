//! Connections between members and engines, by the link between the two: each member has an address of its own for each
//! engine, behind which this stands.
//!
//! A cut link holds what is sent, as a network that loses all segments does: neither end hears of it, and what was sent before
//! the cut's end comes through after it. A connection that is made meanwhile comes up at once, and is silent. Delays hold up
//! one piece after another.

use crate::net::Net;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Read at once.
const PIECE: usize = 16 * 1024;
/// Looks at a cut, and at the rig's end.
const POLL: Duration = Duration::from_millis(5);

/// Open connections: who with which engine, and both ends.
type Open = Arc<Mutex<Vec<(u32, u32, TcpStream, TcpStream)>>>;

/// All connections of a rig.
pub struct Wires {
    addrs: Vec<Vec<SocketAddr>>,
    open: Open,
}

impl Wires {
    /// For so many members, before these engines.
    pub fn start(members: u32, engines: &[SocketAddr], net: &Net) -> Wires {
        let open = Open::default();
        let mut addrs = Vec::new();
        for member in 0..members {
            let mut own = Vec::new();
            for (n, &engine) in engines.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
                listener.set_nonblocking(true).expect("a listener");
                own.push(listener.local_addr().expect("an address"));
                let (open, net) = (open.clone(), net.clone());
                std::thread::spawn(move || {
                    accept(&listener, engine, (member, members + n as u32), &net, &open)
                });
            }
            addrs.push(own);
        }
        Wires { addrs, open }
    }

    /// Where a member finds an engine.
    pub fn addr(&self, member: u32, engine: usize) -> SocketAddr {
        self.addrs[member as usize][engine]
    }

    /// All connections between these and those end with a reset or a close, whichever the system makes of it.
    pub fn reset(&self, some: &[u32], others: &[u32]) {
        let Ok(mut open) = self.open.lock() else {
            return;
        };
        open.retain(|(member, engine, a, b)| {
            let between = |x: &u32, y: &u32| some.contains(x) && others.contains(y);
            let ends = between(member, engine) || between(engine, member);
            if ends {
                let _ = (a.shutdown(Shutdown::Both), b.shutdown(Shutdown::Both));
            }
            !ends
        });
    }
}

fn accept(listener: &TcpListener, engine: SocketAddr, of: (u32, u32), net: &Net, open: &Open) {
    while !net.is_over() {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(POLL);
            continue;
        };
        // An engine that does not listen refuses: so does this.
        let Ok(far) = TcpStream::connect(engine) else {
            continue;
        };
        let _ = (
            near.set_nonblocking(false),
            near.set_nodelay(true),
            far.set_nodelay(true),
        );
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
            continue;
        };
        let (Ok(near_end), Ok(far_end)) = (near.try_clone(), far.try_clone()) else {
            continue;
        };
        if let Ok(mut open) = open.lock() {
            open.retain(|c| c.2.peer_addr().is_ok());
            open.push((of.0, of.1, near_end, far_end));
        }
        let (there, back) = (net.clone(), net.clone());
        std::thread::spawn(move || carry(near, far, of, &there));
        std::thread::spawn(move || carry(far_too, near_too, (of.1, of.0), &back));
    }
}

/// Carries bytes one way until either end closes.
fn carry(mut from: TcpStream, mut to: TcpStream, of: (u32, u32), net: &Net) {
    let mut bytes = vec![0; PIECE];
    let _ = from.set_read_timeout(Some(Duration::from_millis(200)));
    while !net.is_over() {
        let n = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue
            }
            Err(_) => break,
        };
        let takes = loop {
            match net.carries(of.0, of.1, n) {
                Some(takes) => break takes,
                None if net.is_over() => return,
                None => std::thread::sleep(POLL),
            }
        };
        if !takes.is_zero() {
            std::thread::sleep(takes);
        }
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    // A close passes through a cut no more than bytes do.
    while net.carries(of.0, of.1, 0).is_none() && !net.is_over() {
        std::thread::sleep(POLL);
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}
