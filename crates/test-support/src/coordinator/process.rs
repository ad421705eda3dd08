//! Runs the coordinator as a process on loopback. Tests wait for events, never for a fixed time.

use super::process_usage::status_kilobytes;
use super::{get, poll_until, write_temp_file, TEST_TIMEOUT};
use driftfront_cluster_harness::wall_clock::WallClock;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

/// Returns the path of the coordinator built in the same target directory as the running test.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable");
    let build = test
        .parent()
        .and_then(Path::parent)
        .expect("the test executable is in deps/");
    let program = build.join("driftfront");
    assert!(program.exists(), "{} is not built", program.display());
    program
}

/// Limit on a coordinator's file descriptors if the test sets none.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// A running coordinator process. It is killed when this is dropped.
pub struct Coordinator {
    child: Child,
    /// The address for clients.
    pub addr: SocketAddr,
    /// The management address, if it is configured.
    pub management: Option<SocketAddr>,
    config: PathBuf,
    /// Its log, printed when a test fails. The environment variable `DRIFTFRONT_TEST_LOG` sets the level, for example to `debug`.
    log: Arc<Mutex<String>>,
}

impl Coordinator {
    /// Starts a coordinator with this configuration.
    pub fn start(config: &str) -> Coordinator {
        Coordinator::with_descriptor_limit(config, DEFAULT_DESCRIPTORS)
    }

    /// Starts a coordinator with a limit on its file descriptors.
    pub fn with_descriptor_limit(config: &str, descriptors: usize) -> Coordinator {
        let shell = format!(
            "ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\""
        );
        Coordinator::spawn(config, Command::new("sh").args(["-c", &shell]))
    }

    /// Starts a coordinator that uses this wall clock.
    pub fn with_wall_clock(config: &str, clock: &WallClock) -> Coordinator {
        let shell = "exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\"";
        Coordinator::spawn(
            config,
            clock.apply_to(Command::new("sh").args(["-c", shell])),
        )
    }

    /// Starts a coordinator that inherits this socket as descriptor 4. `passed_socket` is the value of `LB_PASSED_SOCKET`, and `tmp`
    /// that of `TMPDIR`.
    pub fn with_inherited_socket(
        config: &str,
        socket: std::os::fd::OwnedFd,
        passed_socket: &str,
        tmp: &Path,
    ) -> Coordinator {
        let shell =
            "exec 4<&0 0</dev/null \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\"";
        let mut command = Command::new("sh");
        command
            .args(["-c", shell])
            .stdin(socket)
            .env("LB_PASSED_SOCKET", passed_socket)
            .env("TMPDIR", tmp);
        Coordinator::spawn(config, &mut command)
    }

    /// Runs a shell command with the program and its configuration file as arguments, and waits until the program serves.
    fn spawn(config: &str, command: &mut Command) -> Coordinator {
        let config = write_temp_file(config);
        let level = std::env::var("DRIFTFRONT_TEST_LOG").unwrap_or("info".into());
        let mut child = command
            .arg(program())
            .arg(&config)
            .env("DRIFTFRONT_LOG_LEVEL", level)
            .stderr(Stdio::piped())
            .spawn()
            .expect("starting the program");
        let mut lines = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let serving = read_serving_line(&mut lines);
        let log = Arc::new(Mutex::new(String::new()));
        let further_lines = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                further_lines
                    .lock()
                    .expect("locking the log")
                    .push_str(&line);
                line.clear();
            }
        });
        Coordinator {
            child,
            addr: address_in(&serving, "listen").expect("the log line contains the listen address"),
            management: address_in(&serving, "management"),
            config,
            log,
        }
    }

    /// Returns the value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let text = get(self.addr, "/counters").text();
        let line = text
            .lines()
            .find(|l| l.split(' ').next() == Some(name))
            .expect("a counter with this name");
        line.rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a counter value")
    }

    /// Polls until a counter has reached `minimum`.
    pub fn wait_for_counter(&self, name: &str, minimum: u64) {
        poll_until(
            || self.counter(name) >= minimum,
            || format!("{name} did not reach {minimum}"),
        );
    }

    /// Polls until the coordinator is ready.
    pub fn wait_until_ready(&self) {
        poll_until(
            || get(self.addr, "/alive").status == 200,
            || "the coordinator did not become ready".into(),
        );
    }

    /// Sends a call to the management address and returns the reply.
    pub fn call_management(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.management.expect("a management address"))
            .expect("connecting to the management address");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("setting the read timeout");
        stream.write_all(line.as_bytes()).expect("sending the call");
        let mut reply = String::new();
        stream
            .read_to_string(&mut reply)
            .expect("reading the reply");
        reply
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("locking the log").clone()
    }

    /// Sends SIGTERM, as the platform does to shut a coordinator down.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Returns whether the coordinator reports that it is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        get(self.addr, "/alive").status == 503
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("writing the configuration");
        self.signal("-HUP");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("killing the process");
        self.child.wait().expect("waiting for the killed process");
    }

    /// Suspends the process. After [`Coordinator::resume`] it finds everything that happened meanwhile at once.
    pub fn suspend(&self) {
        self.signal("-STOP");
        // The signal takes effect with a delay; the process state shows when.
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).expect("reading the process state");
        poll_until(
            || state().contains(") T "),
            || "the process was not suspended".into(),
        );
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("running kill");
        assert!(status.success());
    }

    /// Returns the peak resident memory, in MB.
    pub fn memory_mb(&self) -> u64 {
        status_kilobytes(self.child.id(), "VmHWM").expect("VmHWM in /proc/PID/status") / 1024
    }

    /// Returns the resident memory that no file backs, in KB, or `None` once the process has ended.
    pub fn anonymous_kb(&self) -> Option<u64> {
        status_kilobytes(self.child.id(), "RssAnon")
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("waiting for the program")
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!(
                "log of the coordinator at {}:\n{}",
                self.addr,
                self.log.lock().expect("locking the log")
            );
        }
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Reads the log up to the line with the listen address.
fn read_serving_line(log: &mut impl BufRead) -> String {
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        let count = log.read_line(&mut line).expect("reading the log");
        assert!(count > 0, "the program exited during startup");
    }
    line
}

/// Parses the address of a `name=address` field of a log line, such as `listen=127.0.0.1:8080`.
fn address_in(line: &str, name: &str) -> Option<SocketAddr> {
    let value = line.trim().split(&format!("{name}=")).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
