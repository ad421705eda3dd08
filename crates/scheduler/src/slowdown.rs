//! Slowdown: how much longer queries run on an engine than alone.
//!
//! Input: ratios of run time to work over threads, and their times. Output: a believed ratio; 1 is the pace of a query alone.
//! Means are of logarithms: estimates scatter, and a plain mean would see pressure in mere scatter.

use crate::types::{Micros, TICK_INTERVAL};

/// Queries that run this many times longer than alone mean pressure.
pub(crate) const PRESSURE_SLOWDOWN: f64 = 2.0;
/// A believed slowdown lies within these bounds.
pub(crate) const MIN_SLOWDOWN: f64 = 0.3;
pub(crate) const MAX_SLOWDOWN: f64 = 6.0;
/// An engine of a subset that errs counts as so much slower: it is met too seldom for its errors to be counted.
const ERROR_PENALTY: f64 = 3.0;
/// A belief that nothing confirms is halved towards the usual in this time, µs: a slow engine's way back.
const HALF_LIFE_MICROS: f64 = 4e6;
/// A belief stands for so long before that begins.
const HOLD_TIME: Micros = 1_000_000;

/// The believed slowdown of one engine, and when it was last seen.
#[derive(Clone, Copy)]
pub(crate) struct Slowdown {
    ratio: f64,
    seen_at: Micros,
}

impl Slowdown {
    /// An engine that nothing is known of.
    pub(crate) fn none(now: Micros) -> Slowdown {
        Slowdown {
            ratio: 1.0,
            seen_at: now,
        }
    }

    /// Run time over run time alone.
    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Takes this ratio over.
    pub(crate) fn record(&mut self, ratio: f64, now: Micros) {
        *self = Slowdown {
            ratio,
            seen_at: now,
        };
    }

    /// Moves the belief towards a sample.
    pub(crate) fn move_towards(&mut self, sample: f64, weight: f64, now: Micros) {
        self.record(blended(self.ratio, sample, weight), now);
    }

    /// Counts an error as slowness.
    pub(crate) fn penalize_error(&mut self, now: Micros) {
        self.record((self.ratio * ERROR_PENALTY).min(MAX_SLOWDOWN), now);
    }

    /// Raises the belief to what attempts show that are still out; else lets it fade towards `usual`, once a tick.
    pub(crate) fn raise_or_fade(&mut self, shown: Option<f64>, usual: f64, now: Micros) {
        match shown.filter(|&shown| shown > self.ratio) {
            Some(shown) => self.record(shown, now),
            None if now > self.seen_at + HOLD_TIME => self.ratio = faded(self.ratio, usual),
            None => {}
        }
    }
}

/// A ratio moved towards a sample, in logarithms.
pub(crate) fn blended(ratio: f64, sample: f64, weight: f64) -> f64 {
    ratio * (sample / ratio).powf(weight)
}

/// A ratio after one more tick without news.
pub(crate) fn faded(ratio: f64, usual: f64) -> f64 {
    usual + (ratio - usual) * 0.5f64.powf(TICK_INTERVAL as f64 / HALF_LIFE_MICROS)
}
