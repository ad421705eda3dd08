//! All texts for operators: alarms, tables, units, and the complete state as plain text for pipes and screen readers.
//!
//! [`alarms()`] lists conditions that need attention. [`engine_table`], [`class_table`], [`query_table`], [`member_table`] and
//! [`lease_table`] are the tables. [`plain_text()`] combines them. This module does not depend on a terminal.

mod alarms;
mod engine_state;
mod layout;
mod plain;
mod tables;
mod units;

pub use alarms::alarms;
pub use engine_state::{engine_state, is_silent, SILENT_MILLIS};
pub use layout::{column_widths, format_row, wrap_text, Table};
pub use plain::{plain_text, title};
pub use tables::{
    class_table, consensus_summary, engine_table, lease_table, member_table, query_table,
};
pub use units::{format_millis, format_seconds};
