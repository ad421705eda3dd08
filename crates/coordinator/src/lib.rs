//! Sockets, wires and membership round [`driftfront_core`]: the coordinator as one program.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod backs;
pub mod clock;
pub mod config;
pub mod console;
pub mod demo;
pub mod disk;
pub mod fronts;
pub mod handover;
pub mod members;
pub mod net;
pub mod node;
pub mod operator;
pub mod service;
pub mod state;
