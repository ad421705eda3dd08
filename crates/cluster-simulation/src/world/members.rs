//! Names, addresses and the shared key of simulated members.

use driftfront_cluster::{Key, Keyring};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The key shared by all members.
pub const KEY: &str = "000102030405060708090a0b0c0d0e0f";

const PORT: u16 = 7946;

/// Returns the name of a member.
pub fn member_name(member: u32) -> String {
    format!("m{member}")
}

/// Returns the number of the member with this name.
pub(super) fn member_named(name: &str) -> Option<u32> {
    name.strip_prefix('m')?.parse().ok()
}

/// Returns the address of a member. The last two bytes contain its number.
pub fn member_addr(member: u32) -> SocketAddr {
    let [_, _, high, low] = member.to_be_bytes();
    SocketAddr::from(([127, 1, high, low], PORT))
}

/// Returns the number of the member at this address.
pub(super) fn member_at(addr: SocketAddr) -> Option<u32> {
    match addr.ip() {
        IpAddr::V4(ip) => Some(number_of(ip)),
        IpAddr::V6(_) => None,
    }
}

fn number_of(ip: Ipv4Addr) -> u32 {
    let [_, _, high, low] = ip.octets();
    u32::from_be_bytes([0, 0, high, low])
}

/// Returns a keyring with the key shared by all members.
///
/// # Panics
///
/// Never panics, since the key is well-formed.
pub fn keyring() -> Keyring {
    Keyring::from_key(Key::parse(KEY).expect("a key of 32 hex digits"))
}
