//! Slowdown: ratio of a query's run time on an engine to its run time alone.
//!
//! Input: ratios of run time to work per thread, and when they were observed. Output: an estimated
//! ratio; 1 is the speed of a query that runs alone. Averages are taken over logarithms: estimates
//! scatter, and an arithmetic mean would mistake scatter for pressure.

use crate::types::{Micros, TICK_INTERVAL};

/// An engine above this slowdown is under pressure.
pub(crate) const PRESSURE_SLOWDOWN: f64 = 2.0;
/// Bounds of an estimated slowdown.
pub(crate) const MIN_SLOWDOWN: f64 = 0.3;
pub(crate) const MAX_SLOWDOWN: f64 = 6.0;
/// Factor on the slowdown of an engine that returns an error, for a coordinator that uses a subset:
/// it sends too few queries there to estimate an error rate.
const ERROR_PENALTY: f64 = 3.0;
/// Half-life of an unconfirmed estimate's distance from the usual value, in µs. Lets a slow engine
/// recover.
const HALF_LIFE_MICROS: f64 = 4e6;
/// An estimate is kept for this long before it starts to decay.
const HOLD_TIME: Micros = 1_000_000;

/// Estimated slowdown of one engine, and when it was last observed.
#[derive(Clone, Copy)]
pub(crate) struct Slowdown {
    ratio: f64,
    seen_at: Micros,
}

impl Slowdown {
    /// The estimate for an engine without observations.
    pub(crate) fn none(now: Micros) -> Slowdown {
        Slowdown {
            ratio: 1.0,
            seen_at: now,
        }
    }

    /// Run time divided by run time alone.
    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Replaces the estimate.
    pub(crate) fn record(&mut self, ratio: f64, now: Micros) {
        *self = Slowdown {
            ratio,
            seen_at: now,
        };
    }

    /// Moves the estimate towards a sample.
    pub(crate) fn move_towards(&mut self, sample: f64, weight: f64, now: Micros) {
        self.record(blended(self.ratio, sample, weight), now);
    }

    /// Treats an error as slowness.
    pub(crate) fn penalize_error(&mut self, now: Micros) {
        self.record((self.ratio * ERROR_PENALTY).min(MAX_SLOWDOWN), now);
    }

    /// Raises the estimate to what attempts in flight show, otherwise lets it decay towards
    /// `baseline`. Called once per tick.
    pub(crate) fn raise_or_decay(&mut self, observed: Option<f64>, baseline: f64, now: Micros) {
        match observed.filter(|&observed| observed > self.ratio) {
            Some(observed) => self.record(observed, now),
            None if now > self.seen_at + HOLD_TIME => self.ratio = decayed(self.ratio, baseline),
            None => {}
        }
    }
}

/// Geometric interpolation between a ratio and a sample.
pub(crate) fn blended(ratio: f64, sample: f64, weight: f64) -> f64 {
    ratio * (sample / ratio).powf(weight)
}

/// A ratio after one more tick without an observation.
pub(crate) fn decayed(ratio: f64, baseline: f64) -> f64 {
    baseline + (ratio - baseline) * 0.5f64.powf(TICK_INTERVAL as f64 / HALF_LIFE_MICROS)
}
