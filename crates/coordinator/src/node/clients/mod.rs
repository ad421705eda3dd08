//! Connections of clients.
//!
//! | module | job |
//! | --- | --- |
//! | `state` | what is held of all clients |
//! | `connection` | the state of one connection, and when its time is up |
//! | `accept` | the listening socket |
//! | `read` | reads, takes requests and writes, as far as all three go |
//! | `requests` | requests as they come off a connection: accepted, answered at once, or withdrawn |
//! | `kill` | a client's order to end queries |
//! | `upload` | bodies that are streamed to an engine as they come |
//! | `respond` | responses as they go out |
//! | `closing` | how connections end, and what is owed then (see `docs/endings.md`) |

mod accept;
mod closing;
mod connection;
mod kill;
mod read;
mod requests;
mod respond;
mod state;
mod upload;

pub(super) use accept::listen;
pub(super) use state::{ClientListener, Clients};
pub(super) use upload::BodyChunk;
