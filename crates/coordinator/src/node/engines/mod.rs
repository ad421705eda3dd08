//! Connections to engines.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | the state of one connection |
//! | `pool` | choosing or opening a connection for an attempt or a probe |
//! | `write` | what is written: queued probes and attempts |
//! | `upload` | bodies that are streamed to an engine as their client sends them |
//! | `read` | what is read, and what the core is told of it |
//! | `liveness` | when an engine was last heard, and probes where nothing else shows that it lives |
//! | `closing` | how connections end, and what is owed then (see `docs/endings.md`) |

mod closing;
mod connection;
mod liveness;
mod pool;
mod read;
mod upload;
mod write;

pub(super) use connection::Engines;
