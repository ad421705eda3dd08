//! Connections to engines.
//!
//! [`Engines`] owns them. Its modules need nothing but their own state and what they are passed:
//!
//! | module | job |
//! | --- | --- |
//! | `state` | all connections, and which of them receives which upload |
//! | `connection` | one connection: its queue, its protocol session, its socket |
//! | `pool` | choosing a connection for an attempt or a probe |
//! | `liveness` | when an engine is silent, and when it is due for a liveness probe |
//!
//! The others connect it with the core, the clients and the event loop, as methods of `Node`:
//!
//! | module | event | what follows |
//! | --- | --- | --- |
//! | `attempts` | the core starts or stops an attempt, or starts a probe | it is queued on a connection, or fails |
//! | `connect` | work needs a connection | one with capacity, else a new one |
//! | `write` | a connection can be written | queued work is checked once more, and written |
//! | `upload` | a client sends more of a streamed body | it is written to the engine |
//! | `read` | a connection can be read | they are decoded, and the core is notified |
//! | `closing` | a connection ends, or the periodic check finds it silent, stuck or unused | attempts on it end (see `docs/endings.md`) |

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
