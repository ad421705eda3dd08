//! Who a member is.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bits of a session that are drawn; those above are the clock's milliseconds.
const DRAWN_SESSION_BITS: u32 = 20;

/// A process of the cluster. Sent in postcard's form: the order of the fields stays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Differs with each start of the process, and grows.
    pub session: u64,
    /// How often it was called down in this session and came back.
    pub rejoins: u16,
}

impl Identity {
    /// Sessions above this are no honest process's, and nobody is led to one: some 70 years from 1970.
    pub const MAX_SESSION: u64 = 1 << 61;

    /// A session for a process that starts now: grows with the clock, by milliseconds, and differs from those of others
    /// that start in the same one.
    pub fn session_at(clock: Micros, drawn: u32) -> u64 {
        let mask = (1 << DRAWN_SESSION_BITS) - 1;
        (clock / 1000) << DRAWN_SESSION_BITS | u64::from(drawn & mask)
    }

    /// Somebody unknown at an address.
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
