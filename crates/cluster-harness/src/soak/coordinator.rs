//! One coordinator of a soak: processes of the program, one after another, with signals and the platform's kill.

use super::client::{Listening, Target};
use super::list::EngineList;
use super::plan::{Plan, Schedule};
use super::ProcessId;
use crate::process::Signal;
use crate::process_log::{address_in, ProcessLog};
use crate::wall_clock::WallClock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings, with words in capitals for what a plan sets.
const CONFIG: &str = include_str!("config.json");
/// Time between looks at a process that is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How one process ended.
#[derive(Debug)]
pub(super) struct EndedProcess {
    pub id: ProcessId,
    /// When it got its first SIGTERM.
    pub terminated_at: Instant,
    pub end: ProcessEnd,
    /// What it logged.
    pub log: String,
}

/// How a process ended that got a SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// In order.
    Success,
    /// With an error, or by a signal of its own.
    Crash(ExitStatus),
    /// By the platform's kill, as it had not ended in time.
    Killed,
}

/// A coordinator of the soak.
pub(super) struct Coordinator {
    binary: PathBuf,
    number: usize,
    config: PathBuf,
    /// The text of the file, but for the list's address.
    config_text: String,
    /// The addresses between which a SIGHUP moves the list of engines.
    lists: [SocketAddr; 2],
    /// How long after SIGTERM the platform kills.
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
    /// A coordinator that is not started yet.
    pub(super) fn new(binary: &Path, number: usize, plan: &Plan, list: &EngineList) -> Coordinator {
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
            config_text: text,
            lists: list.addrs,
            kills_after: plan.kills_after(),
            length: plan.length,
            descriptors,
            clock: WallClock::new(binary),
        };
        coordinator.write_config(0);
        coordinator
    }

    /// Writes its file with one of the list's addresses; it is read at the next start or SIGHUP.
    fn write_config(&self, list: usize) {
        let text = self
            .config_text
            .replace("LIST", &self.lists[list].to_string());
        std::fs::write(&self.config, text).expect("writing a temporary file");
    }

    /// Runs through its signals and clock steps, then until the soak's end; how each of its processes ended.
    pub(super) fn run(
        self,
        schedule: &Schedule,
        target: &Target,
        started: Instant,
    ) -> Vec<EndedProcess> {
        let mut running = Running::start(&self, target);
        for (time, event) in events_of(schedule) {
            running.restart_if_ended(started + time);
            sleep_until(started + time);
            running.apply(event);
        }
        let end = started + self.length + self.kills_after;
        running.restart_if_ended(end);
        // At the end it has nothing open any more: all clients have given up.
        sleep_until(end);
        let ended_processes = running.end();
        let _ = std::fs::remove_file(&self.config);
        ended_processes
    }

    /// Starts a process, and waits until it serves.
    fn start(&self, number: u32) -> Process {
        let mut child = self.spawn();
        let mut lines = ProcessLog::capture(&mut child);
        let log = Arc::new(Mutex::new(String::new()));
        let listen = loop {
            let line = lines.next_line().expect("the program ended at its start");
            log.lock().expect("the log").push_str(&line);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        let further_lines = log.clone();
        lines.follow(move |line| further_lines.lock().expect("the log").push_str(line));
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
            .apply_to(&mut command)
            .stderr(Stdio::piped())
            .spawn()
            .expect("starting the program")
    }

    /// Waits until a process that got a SIGTERM has ended, and kills it at the earliest moment that the platform allows; `None`
    /// where it still runs at `until`.
    fn wait(
        &self,
        process: &mut Process,
        terminated_at: Instant,
        until: Instant,
    ) -> Option<EndedProcess> {
        let ended = |process: &Process, end| EndedProcess {
            id: ProcessId {
                coordinator: self.number,
                process: process.number,
            },
            terminated_at,
            end,
            log: process.log.lock().expect("the log").clone(),
        };
        loop {
            match process.child.try_wait().expect("its state") {
                Some(status) if status.success() => {
                    return Some(ended(process, ProcessEnd::Success))
                }
                Some(status) => return Some(ended(process, ProcessEnd::Crash(status))),
                None => {}
            }
            if Instant::now() >= terminated_at + self.kills_after {
                process.child.kill().expect("it runs");
                process.child.wait().expect("it ended");
                return Some(ended(process, ProcessEnd::Killed));
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// What happens to a coordinator.
#[derive(Clone, Copy)]
enum Event {
    Signal(Signal),
    /// Its wall clock is set, and is off by so many microseconds from then on.
    ClockStep(i64),
}

/// All that happens to a coordinator, in order of time.
fn events_of(schedule: &Schedule) -> Vec<(Duration, Event)> {
    let signals = schedule.signals.iter();
    let signals = signals.map(|&(time, signal)| (time, Event::Signal(signal)));
    let steps = schedule.clock_steps.iter();
    let steps = steps.map(|&(time, offset)| (time, Event::ClockStep(offset)));
    let mut events: Vec<(Duration, Event)> = signals.chain(steps).collect();
    events.sort_by_key(|event| event.0);
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
    /// When it got its first SIGTERM: from then on the platform waits for its end, and kills it in time.
    terminated_at: Option<Instant>,
    /// Which list of engines it follows.
    list: usize,
    ended_processes: Vec<EndedProcess>,
}

impl<'a> Running<'a> {
    fn start(coordinator: &'a Coordinator, target: &'a Target) -> Running<'a> {
        let process = coordinator.start(0);
        target.set(process.listening());
        Running {
            coordinator,
            target,
            process,
            terminated_at: None,
            list: 0,
            ended_processes: Vec::new(),
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
        self.ended_processes.push(ended);
        self.process = self.coordinator.start(self.process.number + 1);
        self.target.set(self.process.listening());
        self.terminated_at = None;
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::ClockStep(offset) => self.coordinator.clock.set(offset),
            Event::Signal(signal) => {
                match signal {
                    Signal::Hangup => {
                        self.list = 1 - self.list;
                        self.coordinator.write_config(self.list);
                    }
                    Signal::Terminate => {
                        self.terminated_at.get_or_insert_with(Instant::now);
                    }
                    Signal::Stop | Signal::Continue => {}
                }
                signal.send(&self.process.child);
            }
        }
    }

    /// Ends the process; how each of the coordinator's ended.
    fn end(mut self) -> Vec<EndedProcess> {
        Signal::Terminate.send(&self.process.child);
        let terminated_at = Instant::now();
        let until = terminated_at + self.coordinator.kills_after * 2;
        let ended = self
            .coordinator
            .wait(&mut self.process, terminated_at, until);
        self.ended_processes.extend(ended);
        self.ended_processes
    }
}

impl Process {
    fn listening(&self) -> Listening {
        Listening {
            addr: self.listen,
            process: self.number,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
