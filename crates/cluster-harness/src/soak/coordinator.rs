//! One coordinator through its life: processes of the program, one after another, with signals and the platform's kill.

use super::client::Target;
use super::list::List;
use super::plan::{Life, Plan, Signal};
use crate::process_log::{address_in, ProcessLog};
use crate::wall_clock::WallClock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings, with words in capitals for what a plan sets.
const CONFIG: &str = include_str!("config.json");
/// How often a process is looked at while it ends.
const POLL: Duration = Duration::from_millis(2);

/// How one process ended.
#[derive(Debug)]
pub(super) struct Ended {
    /// The coordinator, and which of its processes.
    pub process: (usize, u32),
    /// When it was told to end, if it was.
    pub told: Option<Instant>,
    /// It had to be killed.
    pub killed: bool,
    /// It ended by itself without having been told, or badly.
    pub crashed: Option<String>,
    /// What it logged.
    pub log: String,
}

/// A coordinator of the soak.
pub(super) struct Coordinator {
    binary: PathBuf,
    number: usize,
    config: PathBuf,
    text: String,
    lists: [SocketAddr; 2],
    kills_after: Duration,
    length: Duration,
    descriptors: usize,
    clock: WallClock,
}

/// A process of it that runs.
struct Process {
    child: Child,
    number: u32,
    log: Arc<Mutex<String>>,
    listen: SocketAddr,
}

impl Coordinator {
    /// One that is not started yet.
    pub(super) fn new(binary: &Path, number: usize, plan: &Plan, list: &List) -> Coordinator {
        let descriptors = plan.coordinators[number].descriptors;
        let micros = |time: Duration| time.as_micros().to_string();
        let text = CONFIG
            .replace("NAME", &format!("soak{number}"))
            .replace("SOCKETS", &descriptors.to_string())
            .replace("DEADLINE", &micros(plan.deadline))
            .replace("FREE", &plan.budget.free.to_string())
            .replace("RATIO", &plan.budget.ratio.to_string())
            .replace("WINDOW", &micros(plan.budget.window));
        let name = format!(
            "driftfront-soak-{}-{}-{number}.json",
            std::process::id(),
            plan.seed
        );
        let coordinator = Coordinator {
            binary: binary.into(),
            number,
            config: std::env::temp_dir().join(name),
            text,
            lists: list.addrs,
            kills_after: plan.kills_after(),
            length: plan.length,
            descriptors,
            clock: WallClock::new(binary),
        };
        coordinator.follow(0);
        coordinator
    }

    /// From its next start, or SIGHUP, on it follows the list at this address.
    fn follow(&self, list: usize) {
        let text = self.text.replace("LIST", &self.lists[list].to_string());
        std::fs::write(&self.config, text).expect("a temporary file");
    }

    /// Lives through its signals and steps, then until the soak's end; how each of its processes ended.
    pub(super) fn live(self, life: &Life, target: &Target, begun: Instant) -> Vec<Ended> {
        let mut running = Running::start(&self, target);
        for (at, event) in events_of(life) {
            running.restart_if_ended(begun + at);
            sleep_until(begun + at);
            running.apply(event);
        }
        let end = begun + self.length + self.kills_after;
        running.restart_if_ended(end);
        // At the end it has nothing open any more: clients' time is over.
        sleep_until(end);
        let ends = running.end();
        let _ = std::fs::remove_file(&self.config);
        ends
    }

    fn start(&self, number: u32) -> Process {
        let mut child = self.spawn();
        let mut lines = ProcessLog::of(&mut child);
        let log = Arc::new(Mutex::new(String::new()));
        let listen = loop {
            let line = lines.next_line().expect("the program ended at its start");
            log.lock().expect("the log").push_str(&line);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        let kept = log.clone();
        lines.follow(move |line| kept.lock().expect("the log").push_str(line));
        Process {
            child,
            number,
            log,
            listen,
        }
    }

    /// Starts the program with its limit on descriptors, under its wall clock.
    fn spawn(&self) -> Child {
        let shell = format!(
            "ulimit -n {}; exec \"$0\" serve --config \"$1\"",
            self.descriptors
        );
        let mut command = Command::new("sh");
        command
            .args(["-c", &shell])
            .arg(&self.binary)
            .arg(&self.config);
        self.clock
            .give_to(&mut command)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts")
    }

    /// Waits until a process that was told to end has done so, and kills it at the earliest moment; nothing where it still may
    /// run then.
    fn wait(&self, process: &mut Process, told: Instant, until: Instant) -> Option<Ended> {
        loop {
            if let Some(status) = process.child.try_wait().expect("its state") {
                return Some(self.ended(process, told, false, Some(status)));
            }
            if Instant::now() >= told + self.kills_after {
                process.child.kill().expect("it runs");
                process.child.wait().expect("it ended");
                return Some(self.ended(process, told, true, None));
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL);
        }
    }

    fn ended(
        &self,
        process: &Process,
        told: Instant,
        killed: bool,
        status: Option<ExitStatus>,
    ) -> Ended {
        let crashed = status.filter(|s| !s.success()).map(|s| s.to_string());
        let log = process.log.lock().expect("the log").clone();
        Ended {
            process: (self.number, process.number),
            told: Some(told),
            killed,
            crashed,
            log,
        }
    }
}

/// What happens to a coordinator.
enum Event {
    Signal(Signal),
    /// Its wall clock is set, to be so many microseconds off.
    Step(i64),
}

/// All that happens to a coordinator, in order of time.
fn events_of(life: &Life) -> Vec<(Duration, Event)> {
    let signals = life.signals.iter();
    let signals = signals.map(|&(at, signal)| (at, Event::Signal(signal)));
    let steps = life.steps.iter();
    let steps = steps.map(|&(at, offset)| (at, Event::Step(offset)));
    let mut events: Vec<(Duration, Event)> = signals.chain(steps).collect();
    events.sort_by_key(|e| e.0);
    events
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// A coordinator with the process that runs now.
struct Running<'a> {
    coordinator: &'a Coordinator,
    target: &'a Target,
    process: Process,
    /// When it got its first SIGTERM: from then on the platform looks whether it has ended, and kills it in time.
    terminated_at: Option<Instant>,
    /// Which list of engines it follows.
    list: usize,
    ends: Vec<Ended>,
}

impl<'a> Running<'a> {
    fn start(coordinator: &'a Coordinator, target: &'a Target) -> Running<'a> {
        let process = coordinator.start(0);
        target.set(Some((process.listen, 0)));
        Running {
            coordinator,
            target,
            process,
            terminated_at: None,
            list: 0,
            ends: Vec::new(),
        }
    }

    /// Waits until this time for a process that got a SIGTERM; starts the next one where it has ended.
    fn restart_if_ended(&mut self, until: Instant) {
        let Some(terminated_at) = self.terminated_at else {
            return;
        };
        let ended = self
            .coordinator
            .wait(&mut self.process, terminated_at, until);
        let Some(ended) = ended else {
            return;
        };
        self.ends.push(ended);
        self.process = self.coordinator.start(self.process.number + 1);
        self.target
            .set(Some((self.process.listen, self.process.number)));
        self.terminated_at = None;
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Step(offset) => self.coordinator.clock.set(offset),
            Event::Signal(Signal::Hangup) => {
                self.list = 1 - self.list;
                self.coordinator.follow(self.list);
                self.process.signal("-HUP");
            }
            Event::Signal(Signal::Terminate) => {
                self.process.signal("-TERM");
                self.terminated_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Ends the process; how each of the coordinator's ended.
    fn end(mut self) -> Vec<Ended> {
        self.process.signal("-TERM");
        let terminated_at = Instant::now();
        let until = terminated_at + self.coordinator.kills_after * 2;
        let ended = self
            .coordinator
            .wait(&mut self.process, terminated_at, until);
        self.ends.extend(ended);
        self.ends
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .stderr(Stdio::null())
            .status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
