//! Reads the log that a process writes to standard error.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr};

/// A reader of a process's log.
pub(crate) struct ProcessLog {
    lines: BufReader<ChildStderr>,
}

impl ProcessLog {
    /// Takes over the standard error of a process.
    ///
    /// # Panics
    ///
    /// Panics if standard error is not piped or was already taken.
    pub(crate) fn capture(child: &mut Child) -> ProcessLog {
        let stderr = child.stderr.take().expect("standard error is piped");
        ProcessLog {
            lines: BufReader::new(stderr),
        }
    }

    /// Returns the next line including its line terminator, or `None` after the process has closed its log.
    pub(crate) fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.lines.read_line(&mut line).ok()?;
        (count > 0).then_some(line)
    }

    /// Passes all further lines to `handle` on a separate thread.
    pub(crate) fn follow(mut self, mut handle: impl FnMut(&str) + Send + 'static) {
        std::thread::spawn(move || {
            while let Some(line) = self.next_line() {
                handle(&line);
            }
        });
    }
}

/// Parses the address of a `name=address` field of a log line, such as `listen=127.0.0.1:8080`.
pub(crate) fn address_in(line: &str, name: &str) -> Option<SocketAddr> {
    let value = line.trim().split(&format!("{name}=")).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
