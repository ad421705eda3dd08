//! The scheduler decides, for one coordinator, when and on which engine each query runs.
//!
//! Feed a [`Controller`] what the coordinator sees as [`Event`]s; it answers with [`Action`]s. It has no clock, no threads and
//! does no I/O, so the same seed and events give the same actions.
//!
//! Modules, each of which imports only those above it:
//!
//! - vocabulary: `types`, `settings`, `events`, `actions`;
//! - records, each with the rules that change it: `random`, `send_ledger`, `retry_budget`, `quota`, `ordering`, `discovery`,
//!   `zone_failure`, `start_time`, `load_reports`, `slowdown`, `estimates`, `outlier_detection`, `gossip`, `queries`, `engines`,
//!   `cluster_load`;
//! - `state`: all records that more than one decision reads;
//! - decisions: `admission`, `objectives`, `slow_start`, `capacity`, `retry`, `resources`, `queue`, `candidates`, `routing`,
//!   `probes`, `overruns`, `health`, `demand_share`;
//! - changes over several records: `attempts`, `learning`, `gossip_exchange`;
//! - `dispatch` takes a query from one state to the next, `ejection` acts on engines' failures, and `controller` passes events on.
#![forbid(unsafe_code)]

mod actions;
mod admission;
mod attempts;
mod candidates;
mod capacity;
mod cluster_load;
mod controller;
mod demand_share;
mod discovery;
mod dispatch;
mod ejection;
mod engines;
mod estimates;
mod events;
mod gossip;
mod gossip_exchange;
mod health;
mod learning;
mod load_reports;
mod objectives;
mod ordering;
mod outlier_detection;
mod overruns;
mod probes;
mod queries;
mod queue;
mod quota;
mod random;
mod resources;
mod retry;
mod retry_budget;
mod routing;
mod send_ledger;
mod settings;
mod slow_start;
mod slowdown;
mod start_time;
mod state;
mod types;
mod zone_failure;

pub use actions::{Action, Actions};
pub use controller::Controller;
pub use events::{AttemptEnded, Event, ListKind, ListedEngine, Outcome, Phase, ProgressReport};
pub use retry_budget::RetryBudgetUsage;
pub use settings::{
    DeduplicationScope, Idempotency, MachineKind, OutOfMemory, QueryClass, ReportField,
    RetryBudget, Settings, SlowStart, Tenant,
};
pub use types::{EngineId, Micros, Query, QueryId, StickySession};

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct ReadmeExample;
