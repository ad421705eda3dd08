//! A soak test of restarts over the platform's protocol. Coordinators get series of signals and wall clock steps in front of engines
//! that hang, fail and reset connections, while clients keep using their open connections. Each process is killed at the earliest
//! time at which the platform may kill it. All inputs are drawn from a seed, and the rules are checked from outside the processes.

mod client;
mod coordinator;
mod engine;
mod list;
mod plan;
mod response;
mod rules;

pub use plan::Plan;
pub use rules::{ProcessLog, Report, Rule, Violation};

use client::{Clients, Target};
use coordinator::{Coordinator, EndedProcess};
use driftfront_mock_servers::request_log::RequestLog;
use engine::Engine;
use list::EngineList;
use std::fmt;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Identifies a process. Each coordinator runs several, one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// The number of the coordinator.
    pub coordinator: usize,
    /// The number of the process within its coordinator.
    pub process: u32,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {})", self.coordinator, self.process)
    }
}

/// How long clients may still receive responses after the last process has exited.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(50);

/// Runs the soak test of a seed with this build of the program, and returns its report.
pub fn play(binary: &Path, seed: u64) -> Report {
    let plan = Plan::draw(seed);
    let request_log = Arc::new(RequestLog::default());
    let started = Instant::now();
    let engines: Vec<Engine> = plan
        .engines
        .iter()
        .map(|faults| Engine::start(faults.clone(), started, &request_log))
        .collect();
    let list = EngineList::start(engines.iter().map(Engine::addr).collect());
    let targets: Vec<Target> = plan
        .coordinators
        .iter()
        .map(|_| Target::default())
        .collect();
    let clients = Clients::start(&plan, &targets);
    let ended_processes = run_coordinators(binary, &plan, &list, &targets, started);
    std::thread::sleep(FINAL_RESPONSE_TIME);
    let requests = clients.join();
    rules::check(&plan, &requests, &request_log, &list, ended_processes)
}

/// Runs all coordinators on separate threads while engines drain. Returns how each process ended.
fn run_coordinators(
    binary: &Path,
    plan: &Plan,
    list: &EngineList,
    targets: &[Target],
    started: Instant,
) -> Vec<EndedProcess> {
    std::thread::scope(|scope| {
        let drains = scope.spawn(|| list.play(&plan.drains, started));
        let schedules = plan.coordinators.iter().zip(targets).enumerate();
        let runs: Vec<_> = schedules
            .map(|(number, (schedule, target))| {
                let coordinator = Coordinator::new(binary, number, plan, list);
                scope.spawn(move || coordinator.run(schedule, target, started))
            })
            .collect();
        let ended_processes = runs
            .into_iter()
            .flat_map(|run| run.join().expect("joining a coordinator thread"))
            .collect();
        drains
            .join()
            .expect("joining the thread that drains engines");
        ended_processes
    })
}
