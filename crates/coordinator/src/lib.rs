//! The coordinator process: sockets, wire protocols and cluster membership around [`driftfront_core`].
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod backends;
pub mod clock;
pub mod config;
pub mod console;
pub mod demo;
pub mod discovery;
pub mod file_writer;
pub mod frontends;
pub mod handover;
pub mod memory;
pub mod net;
pub mod node;
pub mod operator_config;
pub mod service_window;
pub mod state_folder;
