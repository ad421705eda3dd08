//! Storms of faults over processes of the program, then quiet: how long until all have one view again.

use driftfront_lab::storm;
use driftfront_rig::Rig;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "driftfront-rig --binary PATH [--members N] [--runs K] [--seed N]
    each run starts N processes, draws a storm by its seed and plays it; a run that does not come to one view is named";

fn value(args: &[String], name: &str) -> Option<String> {
    args.iter().position(|a| a == name).and_then(|n| args.get(n + 1)).cloned()
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
    let all: Vec<String> = (0..members).map(|m| format!("m{m}")).collect();
    let (mut took, mut never): (Vec<Duration>, Vec<u64>) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        let mut rig = Rig::of(&binary, "127.0.0.1:9", storm::storm(members, seed, false));
        rig.play();
        let quiet = Instant::now();
        let owed = Duration::from_micros(storm::OWED);
        let agree = |rig: &Rig| {
            (0..members).all(|m| {
                let seen = rig.sees(m);
                let mut there: Vec<String> =
                    seen.into_iter().filter(|s| s.standing != "gone").map(|s| s.name).collect();
                there.sort();
                there == all
            })
        };
        loop {
            if agree(&rig) {
                took.push(quiet.elapsed());
                break;
            }
            if quiet.elapsed() > owed {
                never.push(seed);
                eprintln!("seed {seed}:\n{}", rig.log().text());
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    took.sort_unstable();
    let at = |part: f64| {
        let place = ((took.len() as f64 * part).ceil() as usize).clamp(1, took.len().max(1)) - 1;
        took.get(place).map_or(f64::NAN, Duration::as_secs_f64)
    };
    println!(
        "processes {members}, {runs} storms from seed {first}: one view again after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
         never within the time owed: {never:?}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    if never.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
