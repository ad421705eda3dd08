//! The identity of a member.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Random low bits of a session; the bits above are the clock's milliseconds.
const RANDOM_SESSION_BITS: u32 = 20;

/// A process of the cluster. Sent in postcard format: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member's name, stable across restarts.
    pub name: String,
    /// The address for its datagrams.
    pub addr: SocketAddr,
    /// Grows with each start of the process.
    pub session: u64,
    /// How often it was declared down in this session and rejoined.
    pub rejoins: u16,
}

impl Identity {
    /// Sessions from this one on are not valid, and no member raises its own session that far: about 70 years after 1970.
    pub const MAX_SESSION: u64 = 1 << 61;

    /// The session of a process that starts at `clock`. It grows with each millisecond of the clock; the random bits
    /// distinguish processes that start within the same one.
    pub fn session_at(clock: Micros, random: u32) -> u64 {
        let mask = (1 << RANDOM_SESSION_BITS) - 1;
        (clock / 1000) << RANDOM_SESSION_BITS | u64::from(random & mask)
    }

    /// The identity of an unknown member at an address.
    pub fn at(addr: SocketAddr) -> Identity {
        Identity {
            name: String::new(),
            addr,
            session: 0,
            rejoins: 0,
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            rejoins: self.rejoins.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.session, self.rejoins) > (other.session, other.rejoins)
    }
}
