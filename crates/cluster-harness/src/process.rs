//! A process of the program, and what it reports of itself.

use crate::process_log::{address_in, ProcessLog};
use crate::{EventLog, RequestError, TEST_TIMEOUT};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::snapshot::{Member, Snapshot};
use driftfront_control::{Reply, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process, running or not.
pub struct Process {
    /// The build that its next start runs.
    pub binary: PathBuf,
    config: PathBuf,
    socket: PathBuf,
    member: u32,
    child: Option<Child>,
    /// Where its clients connect, while it runs.
    pub client_addr: Option<SocketAddr>,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again.
    Hangup,
    /// End in order.
    Terminate,
    /// Stand still until [`Signal::Continue`].
    Stop,
    /// Run on.
    Continue,
}

impl Signal {
    /// Sends it to a process; nothing happens where that has ended.
    pub(crate) fn send(self, child: &Child) {
        let _ = Command::new("kill")
            .args([self.option(), &child.id().to_string()])
            .stderr(Stdio::null())
            .status();
    }

    /// The option of `kill`.
    fn option(self) -> &'static str {
        match self {
            Signal::Hangup => "-HUP",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Its resident memory now.
    pub memory_kilobytes: u64,
    /// Processor time, in clock ticks of the system.
    pub processor_ticks: u64,
}

impl Process {
    /// A process that is not started yet; its file and socket lie in `folder`.
    pub fn new(binary: &Path, folder: &Path, member: u32, config: &str) -> Process {
        let path = folder.join(format!("m{member}.kdl"));
        std::fs::write(&path, config).expect("a temporary file");
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

    /// Starts it, and waits until it serves; returns where its datagrams come in, if it takes part in a cluster.
    pub fn start(&mut self, log: &EventLog) -> Option<SocketAddr> {
        let mut command = Command::new(&self.binary);
        command
            .args(["serve", "--config"])
            .arg(&self.config)
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = ProcessLog::of(&mut child);
        let mut datagram_addr = None;
        let (member, log) = (self.member, log.clone());
        let client_addr = loop {
            let Some(line) = lines.next_line() else {
                panic!("m{member} ended:\n{}", log.text());
            };
            datagram_addr = address_in(&line, "here").or(datagram_addr);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        self.client_addr = Some(client_addr);
        self.child = Some(child);
        lines.follow(move |line| log.record(format!("m{member} says {}", line.trim())));
        datagram_addr
    }

    /// Whether it runs, or is stopped by a signal.
    pub fn is_running(&mut self) -> bool {
        let has_ended = |child: &mut Child| child.try_wait().is_ok_and(|status| status.is_some());
        if self.child.as_mut().is_none_or(has_ended) {
            self.child = None;
        }
        self.child.is_some()
    }

    /// Ends it as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal, where it runs.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &self.child {
            signal.send(child);
        }
    }

    /// Waits until it has ended; whether it ended with success.
    pub fn wait(&mut self) -> bool {
        self.child
            .take()
            .is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// What it has used; nothing where it does not run.
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

    /// Replaces its file by what `change` makes of the text.
    pub fn change_config(&self, change: impl FnOnce(String) -> String) {
        std::fs::write(&self.config, change(self.config_text())).expect("a temporary file");
    }

    /// The text of its file.
    pub fn config_text(&self) -> String {
        std::fs::read_to_string(&self.config).expect("its file")
    }

    /// The members that it sees, by name; none where it does not answer.
    pub fn members(&self) -> Vec<Member> {
        self.snapshot()
            .map_or(Vec::new(), |snapshot| snapshot.members)
    }

    /// The snapshot that operators get; `None` where it does not answer.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let endpoint = Endpoint::Socket(self.socket.clone());
        match Remote::connect(&endpoint).and_then(|mut remote| remote.ask(&Request::Snapshot)) {
            Ok(Reply::Snapshot(snapshot)) => Some(*snapshot),
            _ => None,
        }
    }

    /// Sends it an operator's request, and returns what it says when that is done.
    ///
    /// # Errors
    ///
    /// It refused the request, or did not answer.
    pub fn request(&self, request: &Request) -> Result<String, RequestError> {
        send_request(&self.socket, request)
    }

    /// Where operators connect.
    pub fn control_socket(&self) -> &Path {
        &self.socket
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The figure of `VmRSS` in the text of `/proc/PID/status`.
fn resident_kilobytes(status: &str) -> Option<u64> {
    let figure = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    figure.split_whitespace().next()?.parse().ok()
}

/// User and system time in the text of `/proc/PID/stat`, in clock ticks.
fn processor_ticks(stat: &str) -> u64 {
    /// Fields behind the name in brackets.
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let behind_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|f| f.parse::<u64>().ok());
    ticks(USER_TIME).unwrap_or(0) + ticks(SYSTEM_TIME).unwrap_or(0)
}

/// Sends an operator's request to the program at this control socket, and returns what it says when that is done.
///
/// # Errors
///
/// The program refused the request, or did not answer.
pub fn send_request(socket: &Path, request: &Request) -> Result<String, RequestError> {
    match Remote::connect(&Endpoint::Socket(socket.into()))?.ask(request)? {
        Reply::Done(words) => Ok(words),
        Reply::Refused(why) => Err(RequestError::Refused(why)),
        other => Err(RequestError::UnexpectedReply(Box::new(other))),
    }
}

/// Sends these bytes on a new connection and reads all that comes until its end.
///
/// # Errors
///
/// The socket's errors; a time-out behind [`TEST_TIMEOUT`].
pub fn call(addr: SocketAddr, bytes: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(bytes.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// A counter of the program whose clients connect at this address; `None` where it has none of this name, or does not answer.
pub fn counter(addr: SocketAddr, name: &str) -> Option<u64> {
    let request = "GET /counters HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let text = call(addr, request).ok()?;
    let value_of = |line: &str| {
        let (counter, value) = line.rsplit_once(' ')?;
        (counter == name).then(|| value.parse().ok())
    };
    text.lines().find_map(value_of)?
}
