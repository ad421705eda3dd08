//! Challenge-response authentication of operators on TCP. The key itself is never sent.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Computes the answer to a challenge: its HMAC-SHA-256 under the key, in hexadecimal.
pub fn answer(key: &[u8], challenge: &str) -> String {
    let digest = keyed_hash(key, challenge).finalize().into_bytes();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Verifies an answer. The digest is compared in constant time.
pub fn verify_answer(key: &[u8], challenge: &str, answer: &str) -> bool {
    let digest = parse_hex(answer);
    digest.is_some_and(|digest| keyed_hash(key, challenge).verify_slice(&digest).is_ok())
}

fn keyed_hash(key: &[u8], challenge: &str) -> Hmac<Sha256> {
    let mac = <Hmac<Sha256> as Mac>::new_from_slice(key);
    let mut mac = mac.expect("HMAC accepts keys of any length");
    mac.update(challenge.as_bytes());
    mac
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let byte = |start: usize| u8::from_str_radix(text.get(start..start + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
