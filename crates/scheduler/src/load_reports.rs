//! Load reports that engines send about themselves.
//!
//! Input: the values of a report, by position as named in the settings. Output: the values that
//! decisions use. Bound: one report per engine; an old one is ignored.

use crate::settings::ReportField;
use crate::types::Micros;

/// Older reports are ignored; the engine then counts as average.
pub(crate) const MAX_REPORT_AGE: Micros = 3_000_000;
/// Values outside 0 to this maximum are treated as absent.
const MAX_VALUE: f64 = 1e6;

/// A load report, received directly or through a peer. Absent values are `None`; fractions are from
/// 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    /// Time of the report on this host's clock.
    pub at: Micros,
    /// Queries running.
    pub active: Option<f64>,
    /// Queries waiting for memory.
    pub waiting: Option<f64>,
    /// Fraction of cores that are busy.
    pub busy: Option<f64>,
    /// Fraction of memory that is granted.
    pub memory: Option<f64>,
    /// Fraction of disks that are busy.
    pub disk: Option<f64>,
}

impl LoadReport {
    /// Parses a report's values. Values out of range are treated as absent.
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

    /// Whether the report is recent enough to be used.
    pub(crate) fn is_fresh(&self, now: Micros) -> bool {
        now < self.at + MAX_REPORT_AGE
    }

    /// The known fractions of resources in use.
    pub(crate) fn shares(&self) -> impl Iterator<Item = f64> {
        [self.busy, self.memory, self.disk].into_iter().flatten()
    }
}
