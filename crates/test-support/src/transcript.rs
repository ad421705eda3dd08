//! Long seeded runs as golden files: the first lines in full, a hash of each block, and a count of each kind of line.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Lines that stand in the text as they are.
const HEAD_LINES: usize = 120;
/// Lines of which one hash is made.
const BLOCK_LINES: usize = 1_000;

/// A seeded generator (splitmix64) for tests, so that no code under test decides what happens in them.
#[derive(Clone, Debug)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    /// The next number, all 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number under `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next_u64() % n.max(1)
    }

    /// True in so many of 100 cases.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// A figure from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.below(1 << 30) as f64 / (1u64 << 30) as f64)
    }
}

/// The lines of a run.
#[derive(Debug, Default)]
pub struct Transcript {
    head: String,
    hashes: Vec<u64>,
    hash: u64,
    lines: usize,
    kinds: BTreeMap<String, usize>,
}

impl Transcript {
    /// Adds a line, counted under `kind`.
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

    /// The first lines, then what [`Transcript::summary`] gives.
    pub fn text(&self) -> String {
        format!("{}{}", self.head, self.summary())
    }

    /// How many lines there are, how many of each kind, and the hash of each block.
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
