//! The key that operators on TCP have to know: it is never sent, only a challenge is answered with it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The answer to a challenge: HMAC-SHA-256 of it under the key, in hex.
pub fn answer(key: &[u8], challenge: &str) -> String {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any length does");
    mac.update(challenge.as_bytes());
    mac.finalize()
        .into_bytes()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Whether an answer is right; takes the same time whatever is wrong with it.
pub fn is_right(key: &[u8], challenge: &str, answer: &str) -> bool {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any length does");
    mac.update(challenge.as_bytes());
    let byte = |at: usize| {
        answer
            .get(at..at + 2)
            .and_then(|h| u8::from_str_radix(h, 16).ok())
    };
    let bytes: Option<Vec<u8>> = (0..answer.len()).step_by(2).map(byte).collect();
    bytes.is_some_and(|b| mac.verify_slice(&b).is_ok())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_key_s_own_answer_to_this_challenge_is_right() {
        let told = answer(b"key", "c1");
        assert!(is_right(b"key", "c1", &told));
        assert!(!is_right(b"other", "c1", &told) && !is_right(b"key", "c2", &told));
        for odd in ["", "zz", &told[..10], &format!("{told}00"), "é"] {
            assert!(!is_right(b"key", "c1", odd), "{odd}");
        }
    }
}
