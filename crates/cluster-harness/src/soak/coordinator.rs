//! One coordinator through its life: processes of the program, one after another, with signals and the platform's kill.

use super::client::Target;
use super::list::List;
use super::plan::{Life, Plan, Signal};
use crate::wall_clock::WallClock;
use std::io::{BufRead, BufReader};
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
pub struct Ended {
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
pub struct Coordinator {
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
    pub fn new(binary: &Path, number: usize, plan: &Plan, list: &List) -> Coordinator {
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
    pub fn live(self, life: &Life, target: &Target, begun: Instant) -> Vec<Ended> {
        let mut ends = Vec::new();
        let mut process = self.start(0);
        target.set(Some((process.listen, 0)));
        let signals = life
            .signals
            .iter()
            .map(|&(at, signal)| (at, Event::Signal(signal)));
        let steps = life
            .steps
            .iter()
            .map(|&(at, offset)| (at, Event::Step(offset)));
        let mut events: Vec<(Duration, Event)> = signals.chain(steps).collect();
        events.sort_by_key(|e| e.0);
        let (mut told, mut list) = (None, 0);
        for (at, event) in events {
            // Behind the first SIGTERM the platform looks whether the process has ended, and kills it in time.
            let until = begun + at;
            if let Some(ended) = told.and_then(|told| self.wait(&mut process, told, until)) {
                ends.push(ended);
                process = self.start(process.number + 1);
                target.set(Some((process.listen, process.number)));
                told = None;
            }
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
            match event {
                Event::Step(offset) => self.clock.set(offset),
                Event::Signal(Signal::Hangup) => {
                    list = 1 - list;
                    self.follow(list);
                    process.signal("-HUP");
                }
                Event::Signal(Signal::Terminate) => {
                    process.signal("-TERM");
                    told.get_or_insert(Instant::now());
                }
            }
        }
        let end = begun + self.length;
        if let Some(ended) =
            told.and_then(|told| self.wait(&mut process, told, end + self.kills_after))
        {
            ends.push(ended);
            process = self.start(process.number + 1);
            target.set(Some((process.listen, process.number)));
        }
        // At the end it has nothing open any more: clients' time is over.
        std::thread::sleep((end + self.kills_after).saturating_duration_since(Instant::now()));
        process.signal("-TERM");
        let told = Instant::now();
        ends.extend(self.wait(&mut process, told, told + self.kills_after * 2));
        let _ = std::fs::remove_file(&self.config);
        ends
    }

    fn start(&self, number: u32) -> Process {
        let shell = format!(
            "ulimit -n {}; exec \"$0\" serve --config \"$1\"",
            self.descriptors
        );
        let mut command = Command::new("sh");
        command
            .args(["-c", &shell])
            .arg(&self.binary)
            .arg(&self.config);
        let mut child = self
            .clock
            .give_to(&mut command)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let log = Arc::new(Mutex::new(String::new()));
        let mut line = String::new();
        let listen = loop {
            line.clear();
            assert!(
                lines.read_line(&mut line).expect("a log") > 0,
                "the program ended at its start"
            );
            log.lock().expect("the log").push_str(&line);
            if let Some(addr) = line
                .trim()
                .rsplit("listen=")
                .next()
                .and_then(|a| a.parse().ok())
            {
                break addr;
            }
        };
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                kept.lock().expect("the log").push_str(&line);
                line.clear();
            }
        });
        Process {
            child,
            number,
            log,
            listen,
        }
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
