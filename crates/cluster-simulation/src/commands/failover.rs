//! Kills the leader, and measures the time until there is a new leader and until the next request is answered.

use super::{number, play_until_leader, CommandError, Outcome, SECOND};
use driftfront_cluster::Micros;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{percentile, Script, World};
use pico_args::Arguments;

/// When the leader is killed.
const KILLED_AT: Micros = 40 * SECOND;
/// When a run ends.
const END: Micros = 60 * SECOND;
/// How often the simulation is checked for a leader.
const POLL_INTERVAL: Micros = SECOND / 100;
/// Answers from here until the kill give the latency without a failover.
const BASELINE_FROM: Micros = 33 * SECOND;
/// Answers within this time after the kill may belong to requests that were committed before it.
const EARLIER_COMMIT_TIME: Micros = SECOND / 10;

/// Results of all runs, in microseconds.
#[derive(Default)]
struct Times {
    election_times: Vec<Micros>,
    recovery_times: Vec<Micros>,
    baseline_latencies: Vec<Micros>,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let members = number(&mut args, "--members", 5u32)?;
    let voters = number(&mut args, "--voters", 3u32)?;
    let loss = number(&mut args, "--loss", 0f64)?;
    let runs = number(&mut args, "--runs", 100u64)?;
    let first = number(&mut args, "--seed", 1u64)?;
    let mut times = Times::default();
    for seed in first..first + runs {
        let text = format!(
            "members {members}\nvoters {voters} keeps=#true\nseed {seed}\n\
             link \"all\" \"all\" loss={loss:.3} delay=\"1 ms\" jitter=\"1 ms\""
        );
        let script = Script::read(&text)?;
        times.add_run(script, seed)?;
    }
    println!("members {members}, voters {voters}, loss {loss}, {runs} runs from seed {first}");
    print_row("new leader after", &mut times.election_times);
    print_row("next answer after", &mut times.recovery_times);
    print_row("latency without failover", &mut times.baseline_latencies);
    Ok(())
}

impl Times {
    fn add_run(&mut self, script: Script, seed: u64) -> Outcome {
        let mut world = World::new(script);
        world.start_lease_workload(LeaseLoad {
            polls_per_request: 4,
            resources: 100,
            max_duration: 2 * SECOND,
            timeout: 30 * SECOND,
        });
        world.play(KILLED_AT, |_| false);
        let Some(leader) = world.leader() else {
            let why = format!("seed {seed}: no leader was elected");
            return Err(CommandError::Violated(why));
        };
        world.apply_text(&format!("kill \"m{leader}\""));
        play_until_leader(&mut world, POLL_INTERVAL, END);
        self.election_times.push(world.time() - KILLED_AT);
        world.play(END, |_| false);
        if let Some(workload) = &world.lease_workload {
            self.baseline_latencies
                .extend(workload.latencies(BASELINE_FROM, KILLED_AT));
            let answered = workload.answered.iter().map(|request| request.at);
            let first = { answered }.find(|&at| at > KILLED_AT + EARLIER_COMMIT_TIME);
            self.recovery_times.extend(first.map(|at| at - KILLED_AT));
        }
        Ok(())
    }
}

fn print_row(what: &str, times: &mut [Micros]) {
    times.sort_unstable();
    let at = |part| percentile(times, part);
    println!(
        "  {what:<28} p50 {:.3} s  p99 {:.3} s  max {:.3} s  of {}",
        at(0.5),
        at(0.99),
        at(1.0),
        times.len()
    );
}
