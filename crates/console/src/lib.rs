//! What an operator sees.
//!
//! [`messages`] makes the texts, [`app`] is the console's state without a terminal, [`screen`] draws it, [`remote`] speaks to the
//! program, and [`run`] joins them on a real terminal.
//!
//! The console only observes: closing or killing it changes nothing in the program, and several may run at once.
#![forbid(unsafe_code)]

pub mod app;
pub mod messages;
pub mod remote;
pub mod run;
pub mod screen;
