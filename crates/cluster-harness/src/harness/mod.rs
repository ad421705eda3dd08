//! A cluster of processes and the network between them.

mod config;
mod faults;
mod waits;

use crate::{
    member_name, Consensus, EventLog, Member, Net, Process, Request, RequestError, Script,
    TcpProxy, KEY,
};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// An engine as named in the members' configuration files.
#[derive(Clone, Debug)]
pub struct EngineEndpoint {
    /// The engine's name.
    pub name: String,
    /// The address it listens on.
    pub addr: SocketAddr,
}

/// A cluster of processes and the network between them.
pub struct ClusterHarness {
    /// The network between the members.
    pub net: Net,
    script: Script,
    binary: PathBuf,
    folder: PathBuf,
    engines: Vec<EngineEndpoint>,
    /// Proxies between members and engines, if scripts may refer to engines.
    engine_links: Option<TcpProxy>,
    processes: Vec<Process>,
    log: EventLog,
}

/// Numbers the harnesses of this process, since each has its own directory.
static NEXT_HARNESS: AtomicUsize = AtomicUsize::new(0);

impl ClusterHarness {
    /// Starts the members of a script. They run `binary` and are configured with one engine at the address `engine`.
    pub fn start(binary: &str, engine: &str, script: &str) -> ClusterHarness {
        let script = Script::read(script).expect("a valid script");
        ClusterHarness::from_script(binary, engine, script)
    }

    /// Like [`ClusterHarness::start`], with a parsed script.
    pub fn from_script(binary: &str, engine: &str, script: Script) -> ClusterHarness {
        let engine = EngineEndpoint {
            name: "engine-1".to_string(),
            addr: engine.parse().expect("a valid engine address"),
        };
        ClusterHarness::start_members(binary, vec![engine], script, false)
    }

    /// Like [`ClusterHarness::start`], with links between the members and these engines, which a script refers to as `e0`, `e1` and
    /// so on.
    pub fn with_engines(
        binary: &str,
        engines: Vec<EngineEndpoint>,
        script: &str,
    ) -> ClusterHarness {
        let script = Script::read(script).expect("a valid script");
        ClusterHarness::start_members(binary, engines, script, true)
    }

    fn start_members(
        binary: &str,
        engines: Vec<EngineEndpoint>,
        script: Script,
        has_engine_links: bool,
    ) -> ClusterHarness {
        let linked_engines: Vec<SocketAddr> = engines
            .iter()
            .filter(|_| has_engine_links)
            .map(|engine| engine.addr)
            .collect();
        let count = u32::try_from(linked_engines.len()).expect("the number of engines fits in u32");
        let net = Net::start(script.members, count, script.zones, script.seed);
        let engine_links =
            has_engine_links.then(|| TcpProxy::start(script.members, &linked_engines, &net));
        let mut harness = ClusterHarness {
            net,
            script,
            binary: binary.into(),
            folder: create_folder(),
            engines,
            engine_links,
            processes: Vec::new(),
            log: EventLog::start(),
        };
        harness.write_key(KEY);
        for member in 0..harness.script.members {
            let config = harness.config(member);
            let process = Process::new(&harness.binary, &harness.folder, member, &config);
            harness.processes.push(process);
        }
        for member in 0..harness.script.members {
            harness.start_member(member);
        }
        harness
    }

    /// Writes the key file shared by all members.
    pub fn write_key(&self, text: &str) {
        let path = self.key_file();
        std::fs::write(&path, format!("{text}\n")).expect("writing a temporary file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))
            .expect("setting file permissions");
    }

    fn key_file(&self) -> PathBuf {
        self.folder.join("fleet.key")
    }

    /// Returns a member's state directory, which exists if the script makes members persist their logs.
    pub fn state_folder(&self, member: u32) -> PathBuf {
        self.folder.join(format!("m{member}.state"))
    }

    /// Makes a member run another build from its next start on.
    pub fn set_binary(&mut self, member: u32, binary: &str) {
        self.process(member).binary = binary.into();
    }

    /// Changes a member's configuration file, which is read at its next start or SIGHUP.
    pub fn change_config(&self, member: u32, change: impl FnOnce(String) -> String) {
        self.processes[member as usize].change_config(change);
    }

    /// Returns the state of consensus as reported by a member, or `None` if it does not respond.
    pub fn consensus(&self, by: u32) -> Option<Consensus> {
        self.processes[by as usize].snapshot()?.agreed
    }

    /// Returns the number of the leader if all of `by` report the same one.
    pub fn leader(&self, by: &[u32]) -> Option<u32> {
        let leader_named_by = |&member: &u32| {
            let leader = self.consensus(member)?.leader;
            (!leader.is_empty()).then_some(leader)
        };
        let first = by.first().and_then(leader_named_by)?;
        let all_agree = by
            .iter()
            .all(|member| leader_named_by(member).as_deref() == Some(&first));
        if !all_agree {
            return None;
        }
        first.strip_prefix('m')?.parse().ok()
    }

    /// Requests a hold from a member, as an operator does, and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails if the member refuses the request or does not respond.
    pub fn request_hold(&self, by: u32, name: &str, seconds: u64) -> Result<String, RequestError> {
        let request = Request::Hold {
            name: name.into(),
            for_s: seconds,
            stays: false,
            note: String::new(),
        };
        self.request(by, &request)
    }

    /// Sends an operator's request to a member, and returns the reply once the request is done.
    ///
    /// # Errors
    ///
    /// Fails if the member refuses the request or does not respond.
    pub fn request(&self, by: u32, request: &Request) -> Result<String, RequestError> {
        let reply = self.processes[by as usize].request(request);
        let shown = match &reply {
            Ok(words) => format!("Ok({words:?})"),
            Err(error) => format!("Err({:?})", error.to_string()),
        };
        self.log
            .record(format!("m{by} request {request:?}: {shown}"));
        reply
    }

    /// Starts a member unless it is running.
    fn start_member(&mut self, member: u32) {
        let process = &mut self.processes[member as usize];
        if process.is_running() {
            return;
        }
        let datagram_addr = process.start(&self.log);
        let datagram_addr = datagram_addr.expect("the log states the datagram address");
        self.net.set_process_addr(member, datagram_addr);
    }

    /// Starts a second process with a member's name and configuration while the current one still runs, as an upgrade does. The new
    /// process takes the member's place; the old one is returned.
    pub fn start_successor(&mut self, member: u32) -> Process {
        let folder = self.folder.join("next");
        std::fs::create_dir_all(&folder).expect("creating a temporary directory");
        let old = &self.processes[member as usize];
        let next_socket = folder.join(format!("m{member}.sock"));
        let config = old.config_text().replace(
            &old.control_socket().display().to_string(),
            &next_socket.display().to_string(),
        );
        let mut process = Process::new(&old.binary, &folder, member, &config);
        let datagram_addr = process.start(&self.log);
        let datagram_addr = datagram_addr.expect("the log states the datagram address");
        self.net.set_process_addr(member, datagram_addr);
        std::mem::replace(&mut self.processes[member as usize], process)
    }

    /// Starts a member whose configuration no longer contains a cluster.
    pub fn start_without_cluster(&mut self, member: u32) {
        self.processes[member as usize].start(&self.log);
    }

    /// Returns a member's control socket.
    pub fn control_socket(&self, member: u32) -> PathBuf {
        self.processes[member as usize].control_socket().into()
    }

    /// Returns a member's process.
    pub fn process(&mut self, member: u32) -> &mut Process {
        &mut self.processes[member as usize]
    }

    /// Returns the address for a member's clients.
    pub fn client_addr(&self, member: u32) -> SocketAddr {
        let process = &self.processes[member as usize];
        process.client_addr.expect("the process runs")
    }

    /// Returns the event log.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// Returns the members that a member sees; empty if it does not respond.
    pub fn members_seen_by(&self, by: u32) -> Vec<Member> {
        self.processes[by as usize].members()
    }

    /// Returns whether the members that a member sees and that are not gone are exactly `expected`.
    pub fn sees_exactly(&self, by: u32, expected: &[u32]) -> bool {
        let mut names: Vec<String> = expected.iter().map(|&m| member_name(m)).collect();
        names.sort();
        // The program sorts members by name.
        self.members_seen_by(by)
            .iter()
            .filter(|member| member.standing != "gone")
            .map(|member| &member.name)
            .eq(&names)
    }

    /// Returns a member's counter; 0 if it does not respond.
    pub fn counter(&self, member: u32, name: &str) -> u64 {
        crate::process::counter(self.client_addr(member), name).unwrap_or(0)
    }
}

impl Drop for ClusterHarness {
    fn drop(&mut self) {
        self.processes.clear();
        self.net.shut_down();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Creates the temporary directory of a harness.
fn create_folder() -> PathBuf {
    let number = NEXT_HARNESS.fetch_add(1, Ordering::Relaxed);
    let name = format!("driftfront-harness-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("creating a temporary directory");
    folder
}
