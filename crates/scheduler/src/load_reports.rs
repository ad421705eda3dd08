//! Load reports: what an engine says of its own load.
//!
//! Input: the values of a report, by position as the settings name them. Output: the values that decisions read. Bound: one
//! report for each engine; an old one says nothing.

use crate::settings::ReportField;
use crate::types::Micros;

/// An older report says nothing: the engine counts as average.
pub(crate) const MAX_REPORT_AGE: Micros = 3_000_000;
/// Values outside of 0 to this count as absent.
const MAX_VALUE: f64 = 1e6;

/// A load report, its own or as a peer passed it on. Values that it lacks are `None`; shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    /// When it was made, on this host's clock.
    pub at: Micros,
    /// Queries running.
    pub active: Option<f64>,
    /// Queries waiting for memory.
    pub waiting: Option<f64>,
    /// Share of cores busy.
    pub busy: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disk: Option<f64>,
}

impl LoadReport {
    /// Reads a report's values; absurd ones count as absent.
    pub(crate) fn read(at: Micros, fields: &[ReportField], values: &[f64]) -> LoadReport {
        let mut report = LoadReport {
            at,
            ..LoadReport::default()
        };
        for (field, &value) in fields.iter().zip(values) {
            if !(0.0..=MAX_VALUE).contains(&value) {
                continue;
            }
            match field {
                ReportField::Active => report.active = Some(value),
                ReportField::Waiting => report.waiting = Some(value),
                ReportField::Busy => report.busy = Some(value.min(1.0)),
                ReportField::Memory => report.memory = Some(value.min(1.0)),
                ReportField::Disk => report.disk = Some(value.min(1.0)),
                ReportField::ServiceMs
                | ReportField::Rate
                | ReportField::Errors
                | ReportField::Unknown => {}
            }
        }
        report
    }

    /// Whether it still says something.
    pub(crate) fn is_fresh(&self, now: Micros) -> bool {
        now < self.at + MAX_REPORT_AGE
    }

    /// The shares of resources in use, as far as they are known.
    pub(crate) fn shares(&self) -> impl Iterator<Item = f64> {
        [self.busy, self.memory, self.disk].into_iter().flatten()
    }
}
