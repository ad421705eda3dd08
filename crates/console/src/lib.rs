//! What an operator sees. [`words`] says things plainly, [`app`] is the console's state without a terminal, [`screen`]
//! draws it, [`remote`] speaks to the program, and [`run`] joins them on a real terminal.
//!
//! The console only looks on: closing or killing it changes nothing in the program, and several may run at once.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod app;
pub mod messages;
pub mod remote;
pub mod run;
pub mod screen;
