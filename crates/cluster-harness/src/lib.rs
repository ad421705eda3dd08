//! Many processes of the real program on loopback, and faults between them: datagrams are lost, late, repeated or cut one
//! way or both; processes are killed, stopped, woken and started again. The scripts are the lab's, and so are the words.
//!
//! Every process has an address that the others know; behind it stands this rig, which knows each sender by where its
//! datagrams come from, and lets them through, or not, by the link between the two.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod load;
pub mod net;
pub mod process;
mod process_log;
pub mod soak;
pub mod tcp;
pub mod wall_clock;

pub use driftfront_cluster_simulation::world::{member_name as name, KEY};
pub use driftfront_cluster_simulation::{FaultAction, Group, Link, Script, TimedAction};
pub use driftfront_control::snapshot::{Consensus, Member};
pub use driftfront_control::Request;
pub use net::Net;
pub use process::Process;
pub use tcp::Wires;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A wait that long means that the test has failed; nothing is decided by it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// What happened, of all processes, in one order.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<(Duration, String)>>>);

impl Log {
    fn note(&self, begun: Instant, words: String) {
        if let Ok(mut all) = self.0.lock() {
            all.push((begun.elapsed(), words));
        }
    }

    /// All of it, a line each.
    pub fn text(&self) -> String {
        let all = self.0.lock().map(|a| a.clone()).unwrap_or_default();
        all.iter()
            .map(|(at, words)| format!("{:9.3} s  {words}\n", at.as_secs_f64()))
            .collect()
    }
}

/// Processes, and the network between them.
pub struct ClusterHarness {
    /// The network.
    pub net: Net,
    script: Script,
    binary: PathBuf,
    folder: PathBuf,
    /// Engines as members' files name them; each member's own address for each where links stand between.
    engines: Vec<(String, SocketAddr)>,
    wires: Option<Wires>,
    processes: Vec<Process>,
    begun: Instant,
    log: Log,
}

static RIGS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

impl ClusterHarness {
    /// Starts a script's members: processes of this program, in front of an engine at this address.
    pub fn start(binary: &str, engine: &str, script: &str) -> ClusterHarness {
        ClusterHarness::of(binary, engine, Script::read(script).expect("a script"))
    }

    /// The same of a script that is read.
    pub fn of(binary: &str, engine: &str, script: Script) -> ClusterHarness {
        let engines = vec![("engine-1".to_string(), engine.parse().expect("an address"))];
        ClusterHarness::between(binary, engines, script, false)
    }

    /// With links between the members and these engines, too: `e0` is the first.
    pub fn with_engines(
        binary: &str,
        engines: Vec<(String, SocketAddr)>,
        script: &str,
    ) -> ClusterHarness {
        ClusterHarness::between(
            binary,
            engines,
            Script::read(script).expect("a script"),
            true,
        )
    }

    fn between(
        binary: &str,
        engines: Vec<(String, SocketAddr)>,
        script: Script,
        wired: bool,
    ) -> ClusterHarness {
        let n = RIGS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("driftfront-rig-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let count = if wired { engines.len() as u32 } else { 0 };
        let net = Net::start(script.members, count, script.zones, script.seed);
        let addrs: Vec<SocketAddr> = engines.iter().map(|e| e.1).collect();
        let wires = wired.then(|| Wires::start(script.members, &addrs, &net));
        let mut harness = ClusterHarness {
            net,
            processes: Vec::new(),
            script,
            binary: binary.into(),
            engines,
            wires,
            folder,
            begun: Instant::now(),
            log: Log::default(),
        };
        harness.write_key(KEY);
        for member in 0..harness.script.members {
            let config = harness.config(member);
            let process = Process::new(&harness.binary, &harness.folder, member, &config);
            harness.processes.push(process);
        }
        for member in 0..harness.script.members {
            harness.spawn(member);
        }
        harness
    }

    /// The key file that all read.
    pub fn write_key(&self, text: &str) {
        use std::os::unix::fs::PermissionsExt;
        let path = self.key_file();
        std::fs::write(&path, format!("{text}\n")).expect("a temporary file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("its mode");
    }

    fn key_file(&self) -> PathBuf {
        self.folder.join("fleet.key")
    }

    fn config(&self, member: u32) -> String {
        let seeds: String = (0..self.script.members.min(3))
            .map(|m| format!("seed \"{}\"; ", self.net.public(m)))
            .collect();
        let engines: String = (0..self.engines.len())
            .map(|n| {
                let at = self
                    .wires
                    .as_ref()
                    .map_or(self.engines[n].1, |w| w.addr(member, n));
                format!("engine \"{}\" at=\"{at}\"; ", self.engines[n].0)
            })
            .collect();
        let voters: String = (0..self.script.voters)
            .map(|m| format!("voter \"m{m}\"; "))
            .collect();
        let state = match self.script.persists_log {
            true => format!("state \"{}\"\n", self.state(member).display()),
            false => String::new(),
        };
        format!(
            "name \"m{member}\"\nlisten \"127.0.0.1:0\"\ncontrol \"{}\"\n\
             engines {{ {engines}}}\n\
             fleet listen=\"127.0.0.1:0\" advertise=\"{}\" key-file=\"{}\" zone=\"z{}\" \
             replace-after=\"{} s\" {{ {seeds}{voters}}}\n{state}",
            self.folder.join(format!("m{member}.sock")).display(),
            self.net.public(member),
            self.key_file().display(),
            member % self.script.zones,
            self.script.replace_after / 1_000_000,
        )
    }

    /// A member's state folder, where the script has its members keep one.
    pub fn state(&self, member: u32) -> PathBuf {
        self.folder.join(format!("m{member}.state"))
    }

    /// Has this member run another build from its next start on.
    pub fn give_build(&mut self, member: u32, binary: &str) {
        self.processes[member as usize].binary = binary.into();
    }

    /// Gives a member another file, changed by this; it is read at its next start or SIGHUP.
    pub fn change_config(&self, member: u32, change: impl FnOnce(String) -> String) {
        self.processes[member as usize].change_config(change);
    }

    /// What a member knows to be agreed, by its own word; nothing where it does not answer.
    pub fn agreed(&self, by: u32) -> Option<Consensus> {
        self.processes[by as usize].snapshot()?.agreed
    }

    /// Who leads by the word of these, if they all say the same.
    pub fn leader(&self, by: &[u32]) -> Option<u32> {
        let says = |&m: &u32| self.agreed(m).map(|a| a.leader).filter(|l| !l.is_empty());
        let first = by.first().and_then(says)?;
        by.iter()
            .all(|m| says(m).as_deref() == Some(&first))
            .then_some(())?;
        first.strip_prefix('m')?.parse().ok()
    }

    /// Waits until all of these say that one of them leads, other than `not`; which one.
    pub fn wait_for_leader(&self, by: &[u32], not: Option<u32>) -> u32 {
        let since = Instant::now();
        loop {
            if let Some(leader) = self
                .leader(by)
                .filter(|l| by.contains(l) && Some(*l) != not)
            {
                self.log
                    .note(self.begun, format!("{by:?} say that m{leader} leads"));
                return leader;
            }
            let views = || {
                by.iter()
                    .map(|&m| format!("{:?}", self.agreed(m)))
                    .collect::<Vec<_>>()
                    .join("\n")
            };
            assert!(
                since.elapsed() < TEST_TIMEOUT,
                "nobody leads {by:?}:\n{}\n{}",
                views(),
                self.log.text()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// An operator asks a member for a hold; what it says, as done or as refused.
    pub fn hold(&self, by: u32, name: &str, for_s: u64) -> Result<String, String> {
        let request = Request::Hold {
            name: name.into(),
            for_s,
            stays: false,
            note: String::new(),
        };
        self.ask(by, &request)
    }

    /// Has a member do what operators may ask.
    pub fn ask(&self, by: u32, request: &Request) -> Result<String, String> {
        let said = self.processes[by as usize].ask(request);
        self.log
            .note(self.begun, format!("m{by} is asked {request:?}: {said:?}"));
        said
    }

    fn spawn(&mut self, member: u32) {
        if self.processes[member as usize].runs() {
            return;
        }
        let inner = self.processes[member as usize].start(&self.log, self.begun);
        self.net
            .place(member, inner.expect("it says where its datagrams come in"));
    }

    /// Starts another process under a member's name and file, as an upgrade does, before the one that runs has ended: that
    /// one is given back, and the member is the new one from now on.
    pub fn start_successor(&mut self, member: u32) -> Process {
        let folder = self.folder.join("next");
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let old = &self.processes[member as usize];
        let next = folder.join(format!("m{member}.sock"));
        let file = old.file().replace(
            &old.control().display().to_string(),
            &next.display().to_string(),
        );
        let mut process = Process::new(&old.binary, &folder, member, &file);
        let inner = process.start(&self.log, self.begun);
        self.net
            .place(member, inner.expect("it says where its datagrams come in"));
        std::mem::replace(&mut self.processes[member as usize], process)
    }

    /// Starts a member whose file has no fleet any more.
    pub fn start_alone(&mut self, member: u32) {
        self.processes[member as usize].start(&self.log, self.begun);
    }

    /// Where operators of a member connect.
    pub fn control(&self, member: u32) -> PathBuf {
        self.processes[member as usize].control().into()
    }

    /// A member's process.
    pub fn process(&mut self, member: u32) -> &mut Process {
        &mut self.processes[member as usize]
    }

    /// Where a member's clients connect.
    pub fn clients(&self, member: u32) -> std::net::SocketAddr {
        self.processes[member as usize].clients.expect("it runs")
    }

    /// What happened so far.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Does one thing now.
    pub fn action(&mut self, action: &FaultAction) {
        self.log.note(self.begun, format!("{action:?}"));
        match action {
            FaultAction::Link(from, to, link) => self.net.link(from, to, *link),
            FaultAction::Part(groups, from, directions) => self.net.part(groups, from, *directions),
            FaultAction::Reset(groups, from) => {
                let (some, others) = (
                    self.net.all_of(groups),
                    self.net.all_of(std::slice::from_ref(from)),
                );
                if let Some(wires) = &self.wires {
                    wires.reset(&some, &others);
                }
            }
            FaultAction::Heal => self.net.heal(),
            FaultAction::Cut(groups, directions) => {
                self.net.cut(&self.script.members_of(groups), *directions)
            }
            FaultAction::Kill(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|m| self.process(m).kill()),
            FaultAction::Stop(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|m| self.process(m).signal("-STOP")),
            FaultAction::Wake(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|m| self.process(m).signal("-CONT")),
            FaultAction::Start(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|m| self.spawn(m)),
            FaultAction::Leave(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|m| self.process(m).signal("-TERM")),
            // Processes on one machine share its clock; the lab moves clocks.
            FaultAction::Clock(..) => {}
        }
    }

    /// Does what this one line of a script says.
    pub fn now(&mut self, line: &str) {
        let script = Script::read(line).expect("a line of a script");
        for TimedAction { action, .. } in &script.actions {
            self.action(action);
        }
    }

    /// Plays the script's deeds, each at its time.
    pub fn play(&mut self) {
        for TimedAction { at, action } in self.script.actions.clone() {
            std::thread::sleep(Duration::from_micros(at).saturating_sub(self.begun.elapsed()));
            self.action(&action);
        }
    }

    /// Who a member sees, by its own word; none where it does not answer.
    pub fn sees(&self, by: u32) -> Vec<Member> {
        self.processes[by as usize].members()
    }

    /// Whether a member sees just these there, by its own word.
    pub fn sees_just(&self, by: u32, there: &[u32]) -> bool {
        let mut names: Vec<String> = there.iter().map(|&m| name(m)).collect();
        names.sort();
        // The program lists them by name.
        self.sees(by)
            .iter()
            .filter(|s| s.standing != "gone")
            .map(|s| &s.name)
            .eq(&names)
    }

    /// Waits until each of these sees just those there, or says what it sees instead.
    pub fn wait_until_members_are(&self, by: &[u32], there: &[u32]) {
        let since = Instant::now();
        for &m in by {
            while !self.sees_just(m, there) {
                let late = || {
                    format!(
                        "m{m} sees {:?}, not {there:?}\n{}",
                        self.sees(m),
                        self.log.text()
                    )
                };
                assert!(since.elapsed() < TEST_TIMEOUT, "{}", late());
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        self.log.note(self.begun, format!("{by:?} see {there:?}"));
    }

    /// Waits until this holds of what a member sees.
    pub fn wait(&self, by: u32, what: &str, holds: impl Fn(&[Member]) -> bool) {
        let since = Instant::now();
        loop {
            let seen = self.sees(by);
            if holds(&seen) {
                return;
            }
            assert!(
                since.elapsed() < TEST_TIMEOUT,
                "m{by}: {what}: never; it sees {seen:?}\n{}",
                self.log.text()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a member's counter has come this far.
    pub fn wait_for(&self, member: u32, counter: &str, least: u64) {
        let since = Instant::now();
        while self.counter(member, counter) < least {
            assert!(
                since.elapsed() < TEST_TIMEOUT,
                "m{member}: {counter} never came to {least}\n{}",
                self.log.text()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// A member's counter.
    pub fn counter(&self, member: u32, name: &str) -> u64 {
        process::counter(self.clients(member), name).unwrap_or(0)
    }
}

impl Drop for ClusterHarness {
    fn drop(&mut self) {
        self.processes.clear();
        self.net.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
