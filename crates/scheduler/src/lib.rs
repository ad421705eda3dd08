//! Query scheduler of one coordinator: decides when each query runs, and on which engine.
//!
//! The host passes what it observes to a [`Controller`] as [`Event`]s and carries out the
//! [`Action`]s that it returns. The scheduler has no clock, starts no threads and does no I/O, so
//! the same seed and the same events always give the same actions.
//!
//! Modules, in layers; each imports only from the lines above its own:
//!
//! - vocabulary: `types`, `settings`, `events`, `actions`;
//! - records, each with the rules that change it: `random`, `send_ledger`, `retry_budget`, `quota`,
//!   `ordering`, `discovery`, `zone_failure`, `start_time`, `load_reports`, `slowdown`,
//!   `estimates`, `outlier_detection`, `gossip`, `queries`, `engines`, `cluster_load`;
//! - `state`: the records that more than one decision reads;
//! - decisions: `admission`, `objectives`, `slow_start`, `capacity`, `retry`, `resources`, `queue`,
//!   `candidates`, `routing`, `probes`, `overruns`, `health`, `demand_share`;
//! - changes that span several records: `attempts`, `learning`, `gossip_exchange`;
//! - `dispatch` moves queries between states, `ejection` responds to engine failures, and
//!   `controller` distributes events.
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
