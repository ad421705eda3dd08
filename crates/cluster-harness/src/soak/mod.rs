//! A soak of restarts on the platform's wire: processes of the program in front of engines that hang, fail and reset, with wall
//! clocks that are set and signals in series, while clients use their open connections until the kill at the earliest moment that
//! the platform allows. Everything is drawn from a seed; the rules are counted from outside.

mod client;
mod coordinator;
mod engine;
mod list;
mod plan;
mod response;
mod verdict;

pub use plan::Plan;
pub use verdict::{Breach, ProcessLog, Report, RuleBreach};

use client::{Clients, Target};
use coordinator::{Coordinator, EndedProcess};
use driftfront_mock_servers::request_log::RequestLog;
use engine::Engine;
use list::EngineList;
use std::fmt;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Which process of the program: each coordinator runs several, one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// Number of the coordinator.
    pub coordinator: usize,
    /// Number of the process among the coordinator's.
    pub process: u32,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {})", self.coordinator, self.process)
    }
}

/// Time for the last responses after the last process has ended.
const TIME_AFTER_END: Duration = Duration::from_millis(50);

/// Plays the soak of a seed with this build of the program, and returns what was counted.
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
    std::thread::sleep(TIME_AFTER_END);
    let requests = clients.end();
    verdict::judge(&plan, &requests, &request_log, &list, ended_processes)
}

/// Runs all coordinators, each on a thread of its own, while engines drain; how each of their processes ended.
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
            .flat_map(|run| run.join().expect("a coordinator's thread"))
            .collect();
        drains.join().expect("the list's changes");
        ended_processes
    })
}
