//! Keyed hashes (SipHash-1-3): without the seed nobody can choose inputs that collide.

use siphasher::sip::SipHasher13;

/// A hash of `bytes` that differs with each seed.
pub fn keyed_hash(seed: u64, bytes: &[u8]) -> u64 {
    SipHasher13::new_with_keys(seed, !seed).hash(bytes)
}
