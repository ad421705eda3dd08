//! Connections of clients.
//!
//! [`ClientListener`] owns the socket they connect to, [`Clients`] their connections. The modules of both need nothing but their own
//! state and what they are passed:
//!
//! | module | job |
//! | --- | --- |
//! | `listener` | the listening socket |
//! | `state` | all connections, who awaits which response, counters |
//! | `connection` | one connection: reading requests, writing responses, when its time is up |
//!
//! The others connect them with the frontend, the core, the engines and the event loop, as methods of `Node`:
//!
//! | module | event | what follows |
//! | --- | --- | --- |
//! | `accept` | a client connects | its connection is added while there is capacity |
//! | `read` | a connection can be read or written | writes, begins requests and reads, as far as all three go |
//! | `requests` | a request is complete | the frontend decides: accepted, answered at once, or withdrawn |
//! | `kill` | a client orders queries to end | each engine that runs one is sent the order |
//! | `upload` | an engine takes more of a streamed body | the client's connection is read on |
//! | `respond` | the core forwards a chunk, or ends a request | the response is written |
//! | `closing` | a connection ends, or the periodic check finds its time up | what is owed is answered (see `docs/endings.md`) |

mod accept;
mod closing;
mod connection;
mod kill;
mod listener;
mod read;
mod requests;
mod respond;
mod state;
mod upload;

pub(super) use connection::BodyUpdate;
pub(super) use listener::{listen, ClientListener};
pub(super) use state::Clients;
