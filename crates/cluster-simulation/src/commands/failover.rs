//! The leader is killed: how long until another leads, and until the next request is answered.

use super::{number, play_until_led, CommandError, Outcome, SECOND};
use driftfront_cluster::Micros;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{percentile, Script, World};
use pico_args::Arguments;

/// When the leader is killed.
const KILLED_AT: Micros = 40 * SECOND;
/// When a run ends.
const END: Micros = 60 * SECOND;
/// How often it is checked whether a member leads.
const POLL_INTERVAL: Micros = SECOND / 100;
/// Answers from here on until the kill show how long a request takes otherwise.
const USUAL_FROM: Micros = 33 * SECOND;
/// Answers earlier than this behind the kill may be to what was agreed before it.
const ANSWERS_BEFORE: Micros = SECOND / 10;

/// What all runs showed, in microseconds.
#[derive(Default)]
struct Times {
    led_after: Vec<Micros>,
    answered_after: Vec<Micros>,
    usual: Vec<Micros>,
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
    print_row("another leads after", &mut times.led_after);
    print_row("a request is answered after", &mut times.answered_after);
    print_row("a request takes otherwise", &mut times.usual);
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
            let why = format!("seed {seed}: nobody leads");
            return Err(CommandError::Violated(why));
        };
        world.apply_text(&format!("kill \"m{leader}\""));
        play_until_led(&mut world, POLL_INTERVAL, END);
        self.led_after.push(world.time() - KILLED_AT);
        world.play(END, |_| false);
        if let Some(workload) = &world.lease_workload {
            self.usual
                .extend(workload.answer_times(USUAL_FROM, KILLED_AT));
            let answered = workload.answered.iter().map(|request| request.at);
            let first = { answered }.find(|&at| at > KILLED_AT + ANSWERS_BEFORE);
            self.answered_after.extend(first.map(|at| at - KILLED_AT));
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
