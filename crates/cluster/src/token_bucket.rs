//! A rate limit on what a member sends, independent of the size of the cluster.

use crate::Micros;

/// Average size of a datagram that the limit allows.
const BYTES_PER_DATAGRAM: f64 = 600.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Tokens for datagrams and for their bytes. The bucket holds at most the tokens of one second.
pub(crate) struct TokenBucket {
    datagrams_per_second: f64,
    datagrams: f64,
    bytes: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(datagrams_per_second: f64) -> TokenBucket {
        TokenBucket {
            datagrams_per_second,
            datagrams: datagrams_per_second,
            bytes: datagrams_per_second * BYTES_PER_DATAGRAM,
            updated_at: 0,
        }
    }

    /// Takes the tokens for a datagram of this size; false if there are too few.
    pub(crate) fn take(&mut self, now: Micros, bytes: usize) -> bool {
        self.refill(now);
        let bytes = bytes as f64;
        let has_tokens = self.datagrams >= 1.0 && self.bytes >= bytes;
        if has_tokens {
            self.datagrams -= 1.0;
            self.bytes -= bytes;
        }
        has_tokens
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = now.max(self.updated_at);
        let max_datagrams = self.datagrams_per_second;
        let max_bytes = self.datagrams_per_second * BYTES_PER_DATAGRAM;
        self.datagrams = (self.datagrams + seconds * max_datagrams).min(max_datagrams);
        self.bytes = (self.bytes + seconds * max_bytes).min(max_bytes);
    }
}
