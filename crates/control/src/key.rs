//! The key that operators on TCP have to know: it is never sent, only a challenge is answered with it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The answer to a challenge: its HMAC-SHA-256 under the key, in hexadecimal digits.
pub fn answer(key: &[u8], challenge: &str) -> String {
    let digest = authenticate(key, challenge).finalize().into_bytes();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether an answer is right; takes the same time whatever is wrong with its digits.
pub fn verify_answer(key: &[u8], challenge: &str, answer: &str) -> bool {
    let digest = parse_hex(answer);
    digest.is_some_and(|digest| authenticate(key, challenge).verify_slice(&digest).is_ok())
}

fn authenticate(key: &[u8], challenge: &str) -> Hmac<Sha256> {
    let mac = <Hmac<Sha256> as Mac>::new_from_slice(key);
    let mut mac = mac.expect("HMAC takes a key of any length");
    mac.update(challenge.as_bytes());
    mac
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
