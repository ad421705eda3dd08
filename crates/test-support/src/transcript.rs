//! Condenses long seeded runs for golden files: the first lines in full, a hash of each block, and a count of each kind of line.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of lines included in full.
const HEAD_LINES: usize = 120;
/// Number of lines per hash.
const BLOCK_LINES: usize = 1_000;

/// The SplitMix64 pseudorandom number generator. Tests use it so that their input does not depend on the code under test.
#[derive(Clone, Debug)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    /// Returns the next 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next_u64() % n.max(1)
    }

    /// Returns true with a probability in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns a number from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.below(1 << 30) as f64 / (1u64 << 30) as f64)
    }
}

/// The transcript of a run.
#[derive(Debug, Default)]
pub struct Transcript {
    head: String,
    hashes: Vec<u64>,
    hash: u64,
    lines: usize,
    kinds: BTreeMap<String, usize>,
}

impl Transcript {
    /// Appends a line and counts it under `kind`.
    pub fn line(&mut self, kind: &str, line: &str) {
        *self.kinds.entry(kind.to_string()).or_default() += 1;
        if self.lines < HEAD_LINES {
            self.head.push_str(line);
            self.head.push('\n');
        }
        if self.lines.is_multiple_of(BLOCK_LINES) {
            self.hashes.push(0);
            self.hash = 0xcbf2_9ce4_8422_2325;
        }
        // FNV-1a.
        for byte in line.bytes().chain([b'\n']) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        if let Some(last) = self.hashes.last_mut() {
            *last = self.hash;
        }
        self.lines += 1;
    }

    /// Returns the first lines, followed by [`Transcript::summary`].
    pub fn text(&self) -> String {
        format!("{}{}", self.head, self.summary())
    }

    /// Returns the number of lines in total and per kind, and the hash of each block.
    pub fn summary(&self) -> String {
        let mut text = format!("... {} lines\n", self.lines);
        for (kind, count) in &self.kinds {
            let _ = writeln!(text, "{kind} {count}");
        }
        for (n, hash) in self.hashes.iter().enumerate() {
            let _ = writeln!(text, "block {n} {hash:016x}");
        }
        text
    }
}
