//! The log of a process of the program: its lines on standard error.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr};

/// A process's log, read from its beginning.
pub(crate) struct ProcessLog {
    lines: BufReader<ChildStderr>,
}

impl ProcessLog {
    /// The log of a process whose standard error is piped.
    ///
    /// # Panics
    ///
    /// Panics where it is not piped, or was taken before.
    pub(crate) fn of(child: &mut Child) -> ProcessLog {
        let stderr = child.stderr.take().expect("standard error is piped");
        ProcessLog {
            lines: BufReader::new(stderr),
        }
    }

    /// The next line with its end; `None` where the process has closed its log.
    pub(crate) fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.lines.read_line(&mut line).ok()?;
        (count > 0).then_some(line)
    }

    /// Hands all further lines to this, on a thread of its own.
    pub(crate) fn follow(mut self, mut handle: impl FnMut(&str) + Send + 'static) {
        std::thread::spawn(move || {
            while let Some(line) = self.next_line() {
                handle(&line);
            }
        });
    }
}

/// The address that a log line gives under this name, as in `listen=127.0.0.1:8080`.
pub(crate) fn address_in(line: &str, name: &str) -> Option<SocketAddr> {
    let value = line.trim().split(&format!("{name}=")).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
