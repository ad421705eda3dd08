//! A build of the program whose processor time and memory a bench measures.

use super::process_figures::{processor_seconds, status_kilobytes};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a program may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An address of this machine on which nothing listens yet.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// A running program; it is killed when this is dropped, and its files are removed.
pub struct MeasuredProcess {
    child: Child,
    files: Vec<PathBuf>,
}

impl MeasuredProcess {
    /// Starts the command, which reads and makes these files, and waits until `is_ready`.
    pub fn start(
        command: &mut Command,
        files: Vec<PathBuf>,
        mut is_ready: impl FnMut() -> bool,
    ) -> MeasuredProcess {
        let child = command.stderr(Stdio::null()).spawn().expect("it starts");
        let process = MeasuredProcess { child, files };
        let started = Instant::now();
        while !is_ready() {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "{command:?} never got ready"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// The processor time that it has used, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        processor_seconds(self.child.id())
    }

    /// The memory that it holds now, in MB.
    pub fn resident_mb(&self) -> f64 {
        let kilobytes = status_kilobytes(self.child.id(), "VmRSS").expect("a figure");
        kilobytes as f64 / 1024.0
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
