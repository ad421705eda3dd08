//! A coordinator of a soak test: a sequence of processes that get signals and are killed if they don't exit in time.

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

/// Configuration template. Words in capitals are replaced with values of the plan.
const CONFIG: &str = include_str!("config.json");
/// How often a process that should exit is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A process that ended.
#[derive(Debug)]
pub(super) struct EndedProcess {
    pub id: ProcessId,
    /// When it was first sent SIGTERM.
    pub terminated_at: Instant,
    pub end: ProcessEnd,
    /// Its log.
    pub log: String,
}

/// How a process ended after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// It exited successfully.
    Success,
    /// It exited with an error, or crashed.
    Crash(ExitStatus),
    /// It was killed because it had not exited in time.
    Killed,
}

/// A coordinator of a soak test.
pub(super) struct Coordinator {
    binary: PathBuf,
    number: usize,
    config: PathBuf,
    /// The configuration, except for the address of the engine list.
    config_text: String,
    /// The two addresses of the engine list. SIGHUP switches between them.
    lists: [SocketAddr; 2],
    /// How long after SIGTERM the process is killed.
    kill_timeout: Duration,
    length: Duration,
    descriptors: usize,
    clock: WallClock,
}

/// A running process of a coordinator.
struct Process {
    child: Child,
    number: u32,
    log: Arc<Mutex<String>>,
    listen: SocketAddr,
}

impl Coordinator {
    /// Creates a coordinator that is not started yet.
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
            kill_timeout: plan.kill_timeout(),
            length: plan.length,
            descriptors,
            clock: WallClock::new(binary),
        };
        coordinator.write_config(0);
        coordinator
    }

    /// Writes the configuration with one of the addresses of the engine list. It is read at the next start or SIGHUP.
    fn write_config(&self, list: usize) {
        let text = self
            .config_text
            .replace("LIST", &self.lists[list].to_string());
        std::fs::write(&self.config, text).expect("writing a temporary file");
    }

    /// Applies the scheduled signals and clock steps, and runs until the end of the soak test. Returns how each process ended.
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
        let end = started + self.length + self.kill_timeout;
        running.restart_if_ended(end);
        // By now all clients have given up, so no request is open.
        sleep_until(end);
        let ended_processes = running.shut_down();
        let _ = std::fs::remove_file(&self.config);
        ended_processes
    }

    /// Starts a process and waits until it serves.
    fn start(&self, number: u32) -> Process {
        let mut child = self.spawn();
        let mut lines = ProcessLog::capture(&mut child);
        let log = Arc::new(Mutex::new(String::new()));
        let listen = loop {
            let line = lines
                .next_line()
                .expect("the program exited during startup");
            log.lock().expect("locking the log").push_str(&line);
            if let Some(addr) = address_in(&line, "listen") {
                break addr;
            }
        };
        let further_lines = log.clone();
        lines.follow(move |line| {
            further_lines
                .lock()
                .expect("locking the log")
                .push_str(line)
        });
        Process {
            child,
            number,
            log,
            listen,
        }
    }

    /// Spawns the program with its limit on file descriptors and its wall clock.
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

    /// Waits until a process exits after SIGTERM, and kills it once the timeout has passed. Returns `None` if it still runs at
    /// `until`.
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
            log: process.log.lock().expect("locking the log").clone(),
        };
        loop {
            match process.child.try_wait().expect("polling the process") {
                Some(status) if status.success() => {
                    return Some(ended(process, ProcessEnd::Success))
                }
                Some(status) => return Some(ended(process, ProcessEnd::Crash(status))),
                None => {}
            }
            if Instant::now() >= terminated_at + self.kill_timeout {
                process.child.kill().expect("killing the process");
                process
                    .child
                    .wait()
                    .expect("waiting for the killed process");
                return Some(ended(process, ProcessEnd::Killed));
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// A scheduled event of a coordinator.
#[derive(Clone, Copy)]
enum Event {
    Signal(Signal),
    /// Sets the offset of its wall clock, in microseconds.
    ClockStep(i64),
}

/// Returns all events of a schedule, ordered by time.
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

/// A coordinator with its current process.
struct Running<'a> {
    coordinator: &'a Coordinator,
    target: &'a Target,
    process: Process,
    /// When the process was first sent SIGTERM. It is killed if it has not exited after the timeout.
    terminated_at: Option<Instant>,
    /// Index of the engine list's address in the configuration.
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

    /// After SIGTERM, waits until this time for the process to exit, and starts the next one if it did.
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

    /// Terminates the process. Returns how each process of the coordinator ended.
    fn shut_down(mut self) -> Vec<EndedProcess> {
        Signal::Terminate.send(&self.process.child);
        let terminated_at = Instant::now();
        let until = terminated_at + self.coordinator.kill_timeout * 2;
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
