//! Connections to engines.
//!
//! [`Engines`] owns them. These modules depend only on their own state and their arguments:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `state` | all connections, and the connection of each streamed request body |
//! | `connection` | one connection: its queue, its protocol session, its socket |
//! | `pool` | choosing a connection for an attempt or a probe |
//! | `liveness` | detecting silent engines, and scheduling liveness probes |
//!
//! The others connect them to the core, the clients and the event loop, as methods of `Node`:
//!
//! | module | event | action |
//! | --- | --- | --- |
//! | `attempts` | the core starts or stops an attempt, or starts a probe | it is queued on a connection, or fails |
//! | `connect` | work needs a connection | one with capacity is chosen, or a new one is opened |
//! | `write` | a connection is writable | queued work is checked again, and written |
//! | `upload` | a client sends more of a streamed body | it is written to the engine |
//! | `read` | a connection is readable | input is decoded, and the core is notified |
//! | `closing` | a connection ends, or is found silent, stalled or unused | attempts on it end (see `docs/endings.md`) |

mod attempts;
mod closing;
mod connect;
mod connection;
mod liveness;
mod pool;
mod read;
mod state;
mod upload;
mod write;

pub(super) use state::Engines;
