//! Seeded random draws.
//!
//! Used instead of the `rand` crate because the same seed must give the same decisions in every
//! build: the generator's sequence is part of the behaviour.

/// A small seeded generator (SplitMix64).
#[derive(Clone, Debug)]
pub(crate) struct Random(pub u64);

impl Random {
    /// A number less than `n`; 0 if `n` is 0.
    #[allow(clippy::cast_possible_truncation, reason = "less than `n`, a `usize`")]
    pub(crate) fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % n.max(1) as u64) as usize
    }

    /// Moves `count` randomly chosen entries to the front of `list` (partial Fisher-Yates shuffle).
    pub(crate) fn shuffle_front<T>(&mut self, list: &mut [T], count: usize) {
        for n in 0..count.min(list.len()) {
            let other = n + self.below(list.len() - n);
            list.swap(n, other);
        }
    }

    /// Moves `count` randomly chosen entries to the front of `list`, each with a probability
    /// proportional to its weight. `weights` is reordered along with `list`.
    pub(crate) fn shuffle_front_weighted<T>(
        &mut self,
        list: &mut [T],
        weights: &mut [f64],
        count: usize,
    ) {
        for n in 0..count.min(list.len()) {
            let unit = self.below(1 << 32) as f64 / (1u64 << 32) as f64;
            let mut remaining = unit * weights[n..].iter().sum::<f64>();
            let is_passed = |weight: &&f64| {
                remaining -= **weight;
                remaining >= 0.0
            };
            let passed = weights[n..].iter().take_while(is_passed).count();
            let other = (n + passed).min(list.len() - 1);
            list.swap(n, other);
            weights.swap(n, other);
        }
    }
}
