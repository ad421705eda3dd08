//! A soak of restarts on the platform's wire: processes of the program before engines that hang, err and reset, with wall clocks
//! that are set and signals in series, while clients use their open connections until the kill at the earliest moment that the
//! platform allows. Everything is drawn from a seed; the rules are counted from outside.

mod client;
mod coordinator;
mod engine;
mod list;
mod plan;
mod verdict;

pub use plan::Plan;
pub use verdict::{Breach, Report};

use client::{Clients, Target};
use coordinator::Coordinator;
use driftfront_mock_servers::ledger::RequestLog;
use engine::Engine;
use list::List;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Plays the soak of a seed with this build of the program; what was counted.
pub fn play(binary: &Path, seed: u64) -> Report {
    let plan = Plan::draw(seed);
    let ledger = Arc::new(RequestLog::default());
    let begun = Instant::now();
    let engines: Vec<Engine> = plan
        .engines
        .iter()
        .map(|troubles| Engine::start(troubles.clone(), begun, &ledger))
        .collect();
    let list = List::start(engines.iter().map(Engine::addr).collect());
    let targets: Vec<Target> = plan
        .coordinators
        .iter()
        .map(|_| Target::default())
        .collect();
    let clients = Clients::start(&plan, &targets);
    let lives: Vec<_> = std::thread::scope(|scope| {
        let drains = scope.spawn(|| list.play(&plan.drains, begun));
        let each = plan.coordinators.iter().zip(&targets).enumerate();
        let lives: Vec<_> = each
            .map(|(number, (life, target))| {
                let coordinator = Coordinator::new(binary, number, &plan, &list);
                scope.spawn(move || coordinator.live(life, target, begun))
            })
            .collect();
        let lives = lives
            .into_iter()
            .map(|l| l.join().expect("a coordinator's life"))
            .collect();
        drains.join().expect("the list's changes");
        lives
    });
    std::thread::sleep(Duration::from_millis(50));
    let asked = clients.end();
    verdict::judge(&plan, &asked, &ledger, &list, lives)
}
