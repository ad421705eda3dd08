//! A process of the program, and what it says of itself.

use crate::process_log::{address_in, ProcessLog};
use crate::{Log, TEST_TIMEOUT};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::snapshot::{Member, Snapshot};
use driftfront_control::{Reply, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// A process, running or not.
pub struct Process {
    /// The build that its next start runs.
    pub binary: PathBuf,
    config: PathBuf,
    socket: PathBuf,
    member: u32,
    child: Option<Child>,
    /// Where its clients connect, while it runs.
    pub clients: Option<SocketAddr>,
}

impl Process {
    /// One that is not started yet.
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
            clients: None,
        }
    }

    /// Starts it; where its datagrams come in, if it takes part in a fleet.
    pub fn start(&mut self, log: &Log, begun: Instant) -> Option<SocketAddr> {
        let mut command = Command::new(&self.binary);
        command
            .args(["serve", "--config"])
            .arg(&self.config)
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = ProcessLog::of(&mut child);
        let mut cluster = None;
        let (member, log) = (self.member, log.clone());
        let clients = loop {
            let Some(line) = lines.next_line() else {
                panic!("m{member} ended:\n{}", log.text());
            };
            cluster = address_in(&line, "here").or(cluster);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        self.clients = Some(clients);
        self.child = Some(child);
        lines.follow(move |line| log.note(begun, format!("m{member} says {}", line.trim())));
        cluster
    }

    /// Whether it runs, or stands still.
    pub fn runs(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()));
        if ended {
            self.child = None;
        }
        !ended
    }

    /// Ends it as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal, by its id.
    pub fn signal(&mut self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([name, &child.id().to_string()])
                .status();
        }
    }

    /// Waits until it has ended; whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child
            .take()
            .is_some_and(|mut c| c.wait().is_ok_and(|s| s.success()))
    }

    /// Its resident memory in KB and the processor time that it has used, in clock ticks.
    pub fn usage(&self) -> (u64, u64) {
        let Some(id) = self.child.as_ref().map(Child::id) else {
            return (0, 0);
        };
        let text =
            |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
        let status = text("status");
        let memory = status.lines().find_map(|l| {
            l.strip_prefix("VmRSS:")?
                .split_whitespace()
                .next()?
                .parse()
                .ok()
        });
        let stat = text("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        (memory.unwrap_or(0), ticks(11) + ticks(12))
    }

    /// Gives it another file, changed by this.
    pub fn change_config(&self, change: impl FnOnce(String) -> String) {
        std::fs::write(&self.config, change(self.file())).expect("a temporary file");
    }

    /// Its file's text.
    pub fn file(&self) -> String {
        std::fs::read_to_string(&self.config).expect("its file")
    }

    /// Whom it sees, by name; none where it does not answer, as one that is stopped.
    pub fn members(&self) -> Vec<Member> {
        self.snapshot().map_or(Vec::new(), |s| s.members)
    }

    /// All that it tells operators; nothing where it does not answer.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let at = Endpoint::Socket(self.socket.clone());
        match Remote::connect(&at).and_then(|mut r| r.ask(&Request::Snapshot)) {
            Ok(Reply::Snapshot(s)) => Some(*s),
            _ => None,
        }
    }

    /// Has it do what operators may ask; what it says, as done or as refused.
    pub fn ask(&self, request: &Request) -> Result<String, String> {
        ask(&self.socket, request)
    }

    /// Where operators connect.
    pub fn control(&self) -> &Path {
        &self.socket
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Has the program that listens here for operators do something; what it says, as done or as refused.
pub fn ask(socket: &Path, request: &Request) -> Result<String, String> {
    match Remote::connect(&Endpoint::Socket(socket.into())).and_then(|mut r| r.ask(request)) {
        Ok(Reply::Done(words)) => Ok(words),
        Ok(Reply::Refused(why)) => Err(why),
        Ok(other) => Err(format!("{other:?}")),
        Err(e) => Err(e.to_string()),
    }
}

/// Sends these bytes on a new connection and reads all that comes until its end.
pub fn call(addr: SocketAddr, bytes: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(bytes.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// A counter of the program that listens here.
pub fn counter(addr: SocketAddr, name: &str) -> Option<u64> {
    let text = call(
        addr,
        "GET /counters HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
    )
    .ok()?;
    let line = text
        .lines()
        .find(|l| l.rsplit_once(' ').is_some_and(|(n, _)| n == name))?;
    line.rsplit(' ').next()?.parse().ok()
}
