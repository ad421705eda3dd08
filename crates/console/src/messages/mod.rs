//! Everything that operators read, as text: alarms, tables, units, and the whole of it for pipes and screen readers.
//!
//! [`alarms()`] names what needs an eye; [`engines`], [`classes`], [`queries`], [`members`] and [`holds`] are the tables; [`plain()`]
//! puts it all together. Nothing here knows a terminal.

mod alarms;
mod engine_state;
mod layout;
mod plain;
mod tables;
mod units;

pub use alarms::alarms;
pub use engine_state::{is_silent, state, SILENT_MILLIS};
pub use layout::{row_text, widths, wrapped, Table};
pub use plain::{plain, title};
pub use tables::{agreed, classes, engines, holds, members, queries};
pub use units::{millis, span};
