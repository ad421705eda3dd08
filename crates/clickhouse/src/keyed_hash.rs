//! Keyed hashes (SipHash-1-3): colliding inputs can't be chosen without knowledge of the seed.

use siphasher::sip::SipHasher13;

/// Hashes `bytes` with a key derived from `seed`.
pub fn keyed_hash(seed: u64, bytes: &[u8]) -> u64 {
    SipHasher13::new_with_keys(seed, !seed).hash(bytes)
}
