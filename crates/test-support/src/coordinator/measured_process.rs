//! A running program whose processor time and memory a benchmark measures.

use super::process_usage::{processor_seconds, status_kilobytes};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a program may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns a loopback address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    listener.local_addr().expect("reading the local address")
}

/// A running program. It is killed and its files are removed when this is dropped.
pub struct MeasuredProcess {
    child: Child,
    files: Vec<PathBuf>,
}

impl MeasuredProcess {
    /// Starts the command, which uses these files, and waits until `is_ready` returns true.
    pub fn start(
        command: &mut Command,
        files: Vec<PathBuf>,
        mut is_ready: impl FnMut() -> bool,
    ) -> MeasuredProcess {
        let child = command
            .stderr(Stdio::null())
            .spawn()
            .expect("starting the program");
        let process = MeasuredProcess { child, files };
        let started = Instant::now();
        while !is_ready() {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "{command:?} did not become ready"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// Returns the processor time used, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        processor_seconds(self.child.id())
    }

    /// Returns the current resident memory, in MB.
    pub fn resident_mb(&self) -> f64 {
        let kilobytes =
            status_kilobytes(self.child.id(), "VmRSS").expect("VmRSS in /proc/PID/status");
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
