//! Storms of faults over processes of the program, then quiet: how long until all have one view again.

use driftfront_lab::{percentile, storm};
use driftfront_rig::Rig;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "driftfront-rig --binary PATH --cost [--members N] [--seconds S]
    what the fleet costs processes that have nothing else to do
driftfront-rig --binary PATH [--members N] [--runs K] [--seed N]
    each run starts N processes, draws a storm by its seed and plays it; a run that does not come to one view is named";

fn value(args: &[String], name: &str) -> Option<String> {
    args.iter().position(|a| a == name).and_then(|n| args.get(n + 1)).cloned()
}

/// What the fleet costs each process that has nothing else to do.
fn cost(binary: &str, members: u32, seconds: u64) {
    let script = format!("members {members}");
    let mut rig = Rig::start(binary, "127.0.0.1:9", &script);
    let all: Vec<u32> = (0..members).collect();
    rig.wait_until_seen(&all, &all);
    let sum = |rig: &mut Rig| {
        let mut sum = [0u64; 4];
        for m in 0..members {
            let (memory, ticks) = rig.process(m).usage();
            let counts =
                [ticks, rig.counter(m, "fleet_datagrams_sent"), rig.counter(m, "fleet_bytes_sent"), memory];
            sum.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
        }
        sum
    };
    let before = sum(&mut rig);
    std::thread::sleep(Duration::from_secs(seconds));
    let after = sum(&mut rig);
    let each = |n: usize| (after[n] - before[n]) as f64 / seconds as f64 / f64::from(members);
    let longest = (0..members).map(|m| rig.counter(m, "fleet_turn_longest_us")).max().unwrap_or(0);
    println!(
        "processes {members}: each {:.1} ms of processor, {:.1} datagrams, {:.0} bytes a second, {:.1} MB resident; \
         longest turn {longest} µs",
        each(0) * 10.0,
        each(1),
        each(2),
        after[3] as f64 / 1024.0 / f64::from(members)
    );
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(binary) = value(&args, "--binary") else {
        println!("{USAGE}");
        return ExitCode::from(2);
    };
    let number =
        |name: &str, otherwise: u64| value(&args, name).and_then(|v| v.parse().ok()).unwrap_or(otherwise);
    let (members, runs, first) = (number("--members", 5) as u32, number("--runs", 3), number("--seed", 1));
    if args.iter().any(|a| a == "--cost") {
        cost(&binary, members, number("--seconds", 20));
        return ExitCode::SUCCESS;
    }
    let all: Vec<u32> = (0..members).collect();
    let (mut took, mut never): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        let mut rig = Rig::of(&binary, "127.0.0.1:9", storm::storm(members, seed, false));
        rig.play();
        let quiet = Instant::now();
        let owed = Duration::from_micros(storm::OWED);
        let agree = |rig: &Rig| all.iter().all(|&m| rig.sees_just(m, &all));
        loop {
            if agree(&rig) {
                took.push(quiet.elapsed().as_micros() as u64);
                break;
            }
            if quiet.elapsed() > owed {
                never.push(seed);
                eprintln!("seed {seed}:\n{}", rig.log().text());
                for m in 0..members {
                    let seen: Vec<String> =
                        rig.sees(m).into_iter().map(|s| format!("{} {}", s.name, s.standing)).collect();
                    eprintln!(
                        "  m{m} sees {}; came back {}",
                        seen.join(", "),
                        rig.counter(m, "fleet_came_back")
                    );
                }
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    took.sort_unstable();
    println!(
        "processes {members}, {runs} storms from seed {first}: one view again after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
         never within the time owed: {never:?}",
        percentile(&took, 0.5),
        percentile(&took, 0.99),
        percentile(&took, 1.0)
    );
    if never.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
