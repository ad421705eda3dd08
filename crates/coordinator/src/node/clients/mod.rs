//! Client connections.
//!
//! [`ClientListener`] owns the listening socket, [`Clients`] the connections. These modules depend only on their own state and
//! their arguments:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listener` | the listening socket |
//! | `state` | all connections, the requester of each open request, counters |
//! | `connection` | one connection: reading requests, writing responses, timeouts |
//!
//! The others connect them to the frontend, the core, the engines and the event loop, as methods of `Node`:
//!
//! | module | event | action |
//! | --- | --- | --- |
//! | `accept` | a client connects | the connection is added if there is capacity |
//! | `read` | a connection is readable or writable | output is written, requests are started, input is read |
//! | `requests` | a request is complete | it is accepted, answered at once, or withdraws another, as the frontend decides |
//! | `kill` | a client kills queries | each engine that runs one is sent a kill request |
//! | `upload` | an engine accepts more of a streamed body | more of the body is read from the client |
//! | `respond` | the core forwards a chunk, or ends a request | the response is written |
//! | `shedding` | the memory budget is exceeded | incomplete requests are refused, and pipelined input is dropped |
//! | `closing` | a connection ends, or exceeds a timeout | pending requests are answered or abandoned (see `docs/endings.md`) |

mod accept;
mod closing;
mod connection;
mod kill;
mod listener;
mod read;
mod requests;
mod respond;
mod shedding;
mod state;
mod upload;

pub(super) use connection::BodyUpdate;
pub(super) use listener::{listen, ClientListener};
pub(super) use state::Clients;
