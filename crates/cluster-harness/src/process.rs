//! A process of the program, and the state it reports.

use crate::process_log::{address_in, ProcessLog};
use crate::{EventLog, RequestError, TEST_TIMEOUT};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::snapshot::{Member, Snapshot};
use driftfront_control::{Reply, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process, which may or may not be running.
pub struct Process {
    /// The executable for the next start.
    pub binary: PathBuf,
    config: PathBuf,
    socket: PathBuf,
    member: u32,
    child: Option<Child>,
    /// The address for clients, set at each start.
    pub client_addr: Option<SocketAddr>,
}

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: reload the configuration.
    Hangup,
    /// SIGTERM: shut down.
    Terminate,
    /// SIGSTOP: suspend until [`Signal::Continue`].
    Stop,
    /// SIGCONT: resume.
    Continue,
}

impl Signal {
    /// Sends the signal to a process. Does nothing if the process has exited.
    pub(crate) fn send(self, child: &Child) {
        let _ = Command::new("kill")
            .args([self.option(), &child.id().to_string()])
            .stderr(Stdio::null())
            .status();
    }

    /// Returns the option of `kill(1)`.
    fn option(self) -> &'static str {
        match self {
            Signal::Hangup => "-HUP",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Current resident memory.
    pub memory_kilobytes: u64,
    /// Processor time in system clock ticks.
    pub processor_ticks: u64,
}

impl Process {
    /// Creates a process that is not started yet. Its configuration file and control socket are in `folder`.
    pub fn new(binary: &Path, folder: &Path, member: u32, config: &str) -> Process {
        let path = folder.join(format!("m{member}.kdl"));
        std::fs::write(&path, config).expect("writing a temporary file");
        let socket = folder.join(format!("m{member}.sock"));
        Process {
            binary: binary.into(),
            config: path,
            socket,
            member,
            child: None,
            client_addr: None,
        }
    }

    /// Starts the process and waits until it serves. Returns the address that receives its datagrams if it takes part in a cluster.
    pub fn start(&mut self, log: &EventLog) -> Option<SocketAddr> {
        let mut command = Command::new(&self.binary);
        command
            .args(["serve", "--config"])
            .arg(&self.config)
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        let mut child = command.spawn().expect("starting the program");
        let mut lines = ProcessLog::capture(&mut child);
        let mut datagram_addr = None;
        let (member, log) = (self.member, log.clone());
        let client_addr = loop {
            let Some(line) = lines.next_line() else {
                panic!("m{member} exited during startup:\n{}", log.text());
            };
            datagram_addr = address_in(&line, "here").or(datagram_addr);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        self.client_addr = Some(client_addr);
        self.child = Some(child);
        lines.follow(move |line| log.record(format!("m{member} log: {}", line.trim())));
        datagram_addr
    }

    /// Returns whether the process exists; it may be suspended.
    pub fn is_running(&mut self) -> bool {
        let has_ended = |child: &mut Child| child.try_wait().is_ok_and(|status| status.is_some());
        if self.child.as_mut().is_none_or(has_ended) {
            self.child = None;
        }
        self.child.is_some()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &self.child {
            signal.send(child);
        }
    }

    /// Waits until the process exits. Returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child
            .take()
            .is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Returns the resources used; all zero if the process is not running.
    pub fn usage(&self) -> ProcessUsage {
        let Some(child) = &self.child else {
            return ProcessUsage::default();
        };
        let read = |name: &str| {
            let path = format!("/proc/{}/{name}", child.id());
            std::fs::read_to_string(path).unwrap_or_default()
        };
        ProcessUsage {
            memory_kilobytes: resident_kilobytes(&read("status")).unwrap_or(0),
            processor_ticks: processor_ticks(&read("stat")),
        }
    }

    /// Rewrites the configuration file with `change`.
    pub fn change_config(&self, change: impl FnOnce(String) -> String) {
        std::fs::write(&self.config, change(self.config_text())).expect("writing a temporary file");
    }

    /// Returns the text of the configuration file.
    pub fn config_text(&self) -> String {
        std::fs::read_to_string(&self.config).expect("reading the configuration file")
    }

    /// Returns the members that the process sees, sorted by name; empty if it does not respond.
    pub fn members(&self) -> Vec<Member> {
        self.snapshot()
            .map_or(Vec::new(), |snapshot| snapshot.members)
    }

    /// Returns the snapshot for operators, or `None` if the process does not respond.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let endpoint = Endpoint::Socket(self.socket.clone());
        match Remote::connect(&endpoint).and_then(|mut remote| remote.ask(&Request::Snapshot)) {
            Ok(Reply::Snapshot(snapshot)) => Some(*snapshot),
            _ => None,
        }
    }

    /// Sends an operator's request to the process, and returns the reply once the request is done.
    ///
    /// # Errors
    ///
    /// Fails if the process refuses the request or does not respond.
    pub fn request(&self, request: &Request) -> Result<String, RequestError> {
        send_request(&self.socket, request)
    }

    /// Returns the path of the control socket.
    pub fn control_socket(&self) -> &Path {
        &self.socket
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Parses `VmRSS` from the text of `/proc/PID/status`.
fn resident_kilobytes(status: &str) -> Option<u64> {
    let figure = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    figure.split_whitespace().next()?.parse().ok()
}

/// Parses user plus system time, in clock ticks, from the text of `/proc/PID/stat`.
fn processor_ticks(stat: &str) -> u64 {
    // Field indexes after the process name in parentheses.
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|f| f.parse::<u64>().ok());
    ticks(USER_TIME).unwrap_or(0) + ticks(SYSTEM_TIME).unwrap_or(0)
}

/// Sends an operator's request to a control socket, and returns the reply once the request is done.
///
/// # Errors
///
/// Fails if the program refuses the request or does not respond.
pub fn send_request(socket: &Path, request: &Request) -> Result<String, RequestError> {
    match Remote::connect(&Endpoint::Socket(socket.into()))?.ask(request)? {
        Reply::Done(words) => Ok(words),
        Reply::Refused(why) => Err(RequestError::Refused(why)),
        other => Err(RequestError::UnexpectedReply(Box::new(other))),
    }
}

/// Sends these bytes on a new connection and reads until the connection closes.
///
/// # Errors
///
/// Fails on socket errors, and if nothing is received for [`TEST_TIMEOUT`].
pub fn call(addr: SocketAddr, bytes: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(bytes.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Reads a counter of the program at this client address. Returns `None` if there is no such counter or the program does not
/// respond.
pub fn counter(addr: SocketAddr, name: &str) -> Option<u64> {
    let request = "GET /counters HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let text = call(addr, request).ok()?;
    let value_of = |line: &str| {
        let (counter, value) = line.rsplit_once(' ')?;
        (counter == name).then(|| value.parse().ok())
    };
    text.lines().find_map(value_of)?
}
