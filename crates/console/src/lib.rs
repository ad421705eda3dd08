//! The operator console.
//!
//! [`messages`] formats the texts, [`app`] holds the state of the console, [`screen`] draws it, [`remote`] connects to the
//! program, and [`run`] connects all of these to a terminal.
//!
//! The console changes the program only through requests: it can be closed or killed at any time, and several consoles can run
//! at once.
#![forbid(unsafe_code)]

pub mod app;
pub mod messages;
pub mod remote;
pub mod run;
pub mod screen;
