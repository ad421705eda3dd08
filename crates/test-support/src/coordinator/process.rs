//! The program itself on loopback, as its operators run it. Waits are for events, never for a time.

use super::process_figures::status_kilobytes;
use super::{get, poll_until, write_temp_file, TEST_TIMEOUT};
use driftfront_cluster_harness::wall_clock::WallClock;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

/// The coordinator's program, of the same build as the test that runs.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the test's own file");
    let build = test
        .parent()
        .and_then(Path::parent)
        .expect("it lies in deps/");
    let program = build.join("driftfront");
    assert!(program.exists(), "{} is not built", program.display());
    program
}

/// Descriptors that a coordinator may hold where the test sets no limit.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// A running coordinator, as its operators run it; it is killed when this is dropped.
pub struct Coordinator {
    child: Child,
    /// Where its clients connect.
    pub addr: SocketAddr,
    /// Its second address, if it has one.
    pub management: Option<SocketAddr>,
    config: PathBuf,
    /// What it has logged; shown where a test fails. `DRIFTFRONT_TEST_LOG=debug` sets the level.
    log: Arc<Mutex<String>>,
}

impl Coordinator {
    /// Starts it with this configuration.
    pub fn start(config: &str) -> Coordinator {
        Coordinator::with_descriptor_limit(config, DEFAULT_DESCRIPTORS)
    }

    /// Starts it with a limit on its descriptors.
    pub fn with_descriptor_limit(config: &str, descriptors: usize) -> Coordinator {
        let shell = format!(
            "ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\""
        );
        Coordinator::spawn(config, Command::new("sh").args(["-c", &shell]))
    }

    /// Starts it under this wall clock.
    pub fn with_wall_clock(config: &str, clock: &WallClock) -> Coordinator {
        let shell = "exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\"";
        Coordinator::spawn(
            config,
            clock.apply_to(Command::new("sh").args(["-c", shell])),
        )
    }

    /// Starts it with this socket as descriptor 4, which `passed_socket` names in its environment; `tmp` is its `$TMPDIR`.
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

    /// Runs a shell's command with the program and its file as arguments, and waits until it serves.
    fn spawn(config: &str, command: &mut Command) -> Coordinator {
        let config = write_temp_file(config);
        let level = std::env::var("DRIFTFRONT_TEST_LOG").unwrap_or("info".into());
        let mut child = command
            .arg(program())
            .arg(&config)
            .env("DRIFTFRONT_LOG_LEVEL", level)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let serving = read_serving_line(&mut lines);
        let log = Arc::new(Mutex::new(String::new()));
        let further_lines = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                further_lines.lock().expect("the log").push_str(&line);
                line.clear();
            }
        });
        Coordinator {
            child,
            addr: address_in(&serving, "listen").expect("an address"),
            management: address_in(&serving, "management"),
            config,
            log,
        }
    }

    /// A counter's value.
    pub fn counter(&self, name: &str) -> u64 {
        let text = get(self.addr, "/counters").text();
        let line = text
            .lines()
            .find(|l| l.split(' ').next() == Some(name))
            .expect("a counter of this name");
        line.rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a count")
    }

    /// Polls until a counter has reached `minimum`.
    pub fn wait_for_counter(&self, name: &str, minimum: u64) {
        poll_until(
            || self.counter(name) >= minimum,
            || format!("{name} never came to {minimum}"),
        );
    }

    /// Polls until it is ready to serve.
    pub fn wait_until_ready(&self) {
        poll_until(
            || get(self.addr, "/alive").status == 200,
            || "never ready".into(),
        );
    }

    /// Sends one call to its second address and returns the reply.
    pub fn call_management(&self, line: &str) -> String {
        let mut stream =
            TcpStream::connect(self.management.expect("a second address")).expect("it listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        stream.write_all(line.as_bytes()).expect("it reads");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("a reply");
        reply
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log").clone()
    }

    /// Sends it SIGTERM, as the platform does to end it.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Whether it says that it is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        get(self.addr, "/alive").status == 503
    }

    /// Replaces its configuration and sends it SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Ends it as a crash does.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ended");
    }

    /// Stops its process until [`Coordinator::resume`], which then finds at once all that happened meanwhile.
    pub fn suspend(&self) {
        self.signal("-STOP");
        // The signal takes effect some time after it was sent: the process's state says when.
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).expect("its state");
        poll_until(|| state().contains(") T "), || "it never stopped".into());
    }

    /// Lets its process run on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }

    /// The most memory that it has held, in MB.
    pub fn memory_mb(&self) -> u64 {
        status_kilobytes(self.child.id(), "VmHWM").expect("a figure of this name") / 1024
    }

    /// Waits until it has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the program ends")
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!(
                "the coordinator at {} said:\n{}",
                self.addr,
                self.log.lock().expect("the log")
            );
        }
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Reads the log until the line that says where the program listens.
fn read_serving_line(log: &mut impl BufRead) -> String {
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        let count = log.read_line(&mut line).expect("a log");
        assert!(count > 0, "the program ended");
    }
    line
}

/// The address that a log line gives under this name, as in `listen=127.0.0.1:8080`.
fn address_in(line: &str, name: &str) -> Option<SocketAddr> {
    let value = line.trim().split(&format!("{name}=")).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
