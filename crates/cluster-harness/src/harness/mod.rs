//! A cluster of processes, and the network between them.

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

/// An engine as members' files name it.
#[derive(Clone, Debug)]
pub struct EngineEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// Processes, and the network between them.
pub struct ClusterHarness {
    /// The network.
    pub net: Net,
    script: Script,
    binary: PathBuf,
    folder: PathBuf,
    engines: Vec<EngineEndpoint>,
    /// The links between members and engines, where scripts may name engines.
    engine_links: Option<TcpProxy>,
    processes: Vec<Process>,
    log: EventLog,
}

/// Numbers the harnesses of this process: each has a folder of its own.
static NEXT_HARNESS: AtomicUsize = AtomicUsize::new(0);

impl ClusterHarness {
    /// Starts the members of the script with this text, which run `binary` in front of an engine at the address `engine`.
    pub fn start(binary: &str, engine: &str, script: &str) -> ClusterHarness {
        let script = Script::read(script).expect("a script");
        ClusterHarness::from_script(binary, engine, script)
    }

    /// As [`ClusterHarness::start`], of a script that has been read.
    pub fn from_script(binary: &str, engine: &str, script: Script) -> ClusterHarness {
        let engine = EngineEndpoint {
            name: "engine-1".to_string(),
            addr: engine.parse().expect("an address"),
        };
        ClusterHarness::start_members(binary, vec![engine], script, false)
    }

    /// As [`ClusterHarness::start`], with links between the members and these engines: a script names the first `e0`.
    pub fn with_engines(
        binary: &str,
        engines: Vec<EngineEndpoint>,
        script: &str,
    ) -> ClusterHarness {
        let script = Script::read(script).expect("a script");
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
        let count = u32::try_from(linked_engines.len()).expect("a number of engines");
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

    /// Writes the key file that all members read.
    pub fn write_key(&self, text: &str) {
        let path = self.key_file();
        std::fs::write(&path, format!("{text}\n")).expect("a temporary file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("its mode");
    }

    fn key_file(&self) -> PathBuf {
        self.folder.join("fleet.key")
    }

    /// A member's state folder, where the script has its members keep one.
    pub fn state_folder(&self, member: u32) -> PathBuf {
        self.folder.join(format!("m{member}.state"))
    }

    /// Has a member run another build from its next start on.
    pub fn set_binary(&mut self, member: u32, binary: &str) {
        self.process(member).binary = binary.into();
    }

    /// Changes a member's file; it is read at its next start or SIGHUP.
    pub fn change_config(&self, member: u32, change: impl FnOnce(String) -> String) {
        self.processes[member as usize].change_config(change);
    }

    /// What a member says that the cluster agreed on; `None` where it does not answer.
    pub fn consensus(&self, by: u32) -> Option<Consensus> {
        self.processes[by as usize].snapshot()?.agreed
    }

    /// The leader's number, if all of `by` name the same one.
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

    /// Requests a hold of a member, as an operator does, and returns what it says.
    ///
    /// # Errors
    ///
    /// The member refused it, or did not answer.
    pub fn request_hold(&self, by: u32, name: &str, seconds: u64) -> Result<String, RequestError> {
        let request = Request::Hold {
            name: name.into(),
            for_s: seconds,
            stays: false,
            note: String::new(),
        };
        self.request(by, &request)
    }

    /// Sends a member an operator's request, and returns what it says when that is done.
    ///
    /// # Errors
    ///
    /// The member refused it, or did not answer.
    pub fn request(&self, by: u32, request: &Request) -> Result<String, RequestError> {
        let reply = self.processes[by as usize].request(request);
        let shown = match &reply {
            Ok(words) => format!("Ok({words:?})"),
            Err(error) => format!("Err({:?})", error.to_string()),
        };
        self.log
            .record(format!("m{by} is asked {request:?}: {shown}"));
        reply
    }

    /// Starts a member that does not run.
    fn start_member(&mut self, member: u32) {
        let process = &mut self.processes[member as usize];
        if process.is_running() {
            return;
        }
        let datagrams = process.start(&self.log);
        let datagrams = datagrams.expect("it logs where its datagrams come in");
        self.net.set_process_addr(member, datagrams);
    }

    /// Starts another process under a member's name and file while the present one still runs, as an upgrade does. The new one is
    /// the member from now on; the old one is returned.
    pub fn start_successor(&mut self, member: u32) -> Process {
        let folder = self.folder.join("next");
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let old = &self.processes[member as usize];
        let next_socket = folder.join(format!("m{member}.sock"));
        let config = old.config_text().replace(
            &old.control_socket().display().to_string(),
            &next_socket.display().to_string(),
        );
        let mut process = Process::new(&old.binary, &folder, member, &config);
        let datagrams = process.start(&self.log);
        let datagrams = datagrams.expect("it logs where its datagrams come in");
        self.net.set_process_addr(member, datagrams);
        std::mem::replace(&mut self.processes[member as usize], process)
    }

    /// Starts a member whose file names no cluster any more.
    pub fn start_without_cluster(&mut self, member: u32) {
        self.processes[member as usize].start(&self.log);
    }

    /// Where operators of a member connect.
    pub fn control_socket(&self, member: u32) -> PathBuf {
        self.processes[member as usize].control_socket().into()
    }

    /// A member's process.
    pub fn process(&mut self, member: u32) -> &mut Process {
        &mut self.processes[member as usize]
    }

    /// Where a member's clients connect.
    pub fn client_addr(&self, member: u32) -> SocketAddr {
        let process = &self.processes[member as usize];
        process.client_addr.expect("it runs")
    }

    /// What happened so far.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// The members that one sees; none where it does not answer.
    pub fn members_seen_by(&self, by: u32) -> Vec<Member> {
        self.processes[by as usize].members()
    }

    /// Whether a member sees exactly `expected` as members that are not gone.
    pub fn sees_exactly(&self, by: u32, expected: &[u32]) -> bool {
        let mut names: Vec<String> = expected.iter().map(|&m| member_name(m)).collect();
        names.sort();
        // The program lists them by name.
        self.members_seen_by(by)
            .iter()
            .filter(|member| member.standing != "gone")
            .map(|member| &member.name)
            .eq(&names)
    }

    /// A member's counter; 0 where it does not answer.
    pub fn counter(&self, member: u32, name: &str) -> u64 {
        crate::process::counter(self.client_addr(member), name).unwrap_or(0)
    }
}

impl Drop for ClusterHarness {
    fn drop(&mut self) {
        self.processes.clear();
        self.net.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Makes the temporary folder of one harness.
fn create_folder() -> PathBuf {
    let number = NEXT_HARNESS.fetch_add(1, Ordering::Relaxed);
    let name = format!("driftfront-harness-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
