//! Storms of faults over processes of the program, then quiet: how long until all have one view again.

use driftfront_cluster_harness::{ClusterHarness, Request};
use driftfront_cluster_simulation::{fault_scenario, percentile};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const USAGE: &str = "driftfront-cluster-harness --binary PATH --cost [--members N] [--seconds S]
    what the fleet costs processes that have nothing else to do
driftfront-cluster-harness --binary PATH --pauses [--seconds S]
    how long a process's loop keeps clients waiting at most, in a fleet of five and alone, in turn
driftfront-cluster-harness --binary PATH --holds [--members N] [--voters N] [--keeps] [--runs K] [--seed N] [--last PATH]
    storms over processes that operators ask for holds: whether one was ever held twice; with --last those that
    do not vote are of that build
driftfront-cluster-harness --binary PATH --soak [--runs K] [--seed N] [--at-once N]
    soaks of restarts on the platform's wire, with clocks that are set and engines that hang; broken rules by seed
driftfront-cluster-harness --binary PATH [--members N] [--runs K] [--seed N]
    each run starts N processes, draws a storm by its seed and plays it; a run that does not come to one view is named";

fn value(args: &[String], name: &str) -> Option<String> {
    args.iter()
        .position(|a| a == name)
        .and_then(|n| args.get(n + 1))
        .cloned()
}

/// What the fleet costs each process that has nothing else to do.
fn cost(binary: &str, members: u32, seconds: u64) {
    let script = format!("members {members}");
    let mut rig = ClusterHarness::start(binary, "127.0.0.1:9", &script);
    let all: Vec<u32> = (0..members).collect();
    rig.wait_until_members_are(&all, &all);
    let sum = |rig: &mut ClusterHarness| {
        let mut sum = [0u64; 4];
        for m in 0..members {
            let (memory, ticks) = rig.process(m).usage();
            let counts = [
                ticks,
                rig.counter(m, "fleet_datagrams_sent"),
                rig.counter(m, "fleet_bytes_sent"),
                memory,
            ];
            sum.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
        }
        sum
    };
    let before = sum(&mut rig);
    std::thread::sleep(Duration::from_secs(seconds));
    let after = sum(&mut rig);
    let each = |n: usize| (after[n] - before[n]) as f64 / seconds as f64 / f64::from(members);
    let longest = (0..members)
        .map(|m| rig.counter(m, "fleet_turn_longest_us"))
        .max()
        .unwrap_or(0);
    println!(
        "processes {members}: each {:.1} ms of processor, {:.1} datagrams, {:.0} bytes a second, {:.1} MB resident; \
         longest turn {longest} µs",
        each(0) * 10.0,
        each(1),
        each(2),
        after[3] as f64 / 1024.0 / f64::from(members)
    );
}

/// Soaks of restarts, some at once; each broken rule with its seed.
fn soaks(args: &[String], binary: &str) -> ExitCode {
    let number = |name: &str, otherwise: u64| {
        value(args, name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(otherwise)
    };
    let (first, runs) = (number("--seed", 1), number("--runs", 1));
    let next = AtomicU64::new(first);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..number("--at-once", 2) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + runs {
                    return;
                }
                let report =
                    driftfront_cluster_harness::soak::play(std::path::Path::new(binary), seed);
                println!("seed {seed}: {report}");
                if !report.breaches.is_empty() {
                    for (process, log) in &report.logs {
                        println!("seed {seed}: process {process:?} said\n{log}");
                    }
                    broken.lock().expect("the seeds").push(seed);
                }
            });
        }
    });
    let broken = broken.into_inner().expect("the seeds");
    println!("{runs} soaks, rules broken in {}: {broken:?}", broken.len());
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// How long clients wait for an answer that needs nothing, by turns in a fleet and alone.
fn pauses(binary: &str, seconds: u64) {
    let mut waits: [Vec<u64>; 2] = Default::default();
    for turn in 0..4 {
        // The script of one member is a fleet of one that never hears another.
        let script = if turn % 2 == 0 {
            "members 5\nvoters 3 keeps=#true"
        } else {
            "members 1"
        };
        let rig = ClusterHarness::start(binary, "127.0.0.1:9", script);
        if turn % 2 == 0 {
            rig.wait_until_members_are(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
            rig.wait_for_leader(&[0, 1, 2], None);
        } else {
            // No fleet at all.
            rig.change_config(0, |text| {
                text.lines()
                    .filter(|l| !l.starts_with("fleet"))
                    .collect::<Vec<_>>()
                    .join("\n")
            });
        }
        let mut rig = rig;
        if turn % 2 == 1 {
            rig.now("kill \"m0\"");
            rig.start_alone(0);
        }
        let addr = rig.clients(0);
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut bytes = [0; 4096];
        while Instant::now() < until {
            let asked = Instant::now();
            if stream
                .write_all(b"GET /alive HTTP/1.1\r\nHost: t\r\n\r\n")
                .is_err()
            {
                break;
            }
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 => waits[turn % 2].push(asked.elapsed().as_micros() as u64),
                _ => break,
            }
            std::thread::sleep(Duration::from_micros(700));
        }
    }
    for (of, waits) in ["in a fleet of five", "with no fleet"]
        .iter()
        .zip(&mut waits)
    {
        waits.sort_unstable();
        println!(
            "{of}: an answer after p50 {:.3} ms  p99.9 {:.3} ms  max {:.3} ms, of {}",
            percentile(waits, 0.5) * 1e3,
            percentile(waits, 0.999) * 1e3,
            percentile(waits, 1.0) * 1e3,
            waits.len()
        );
    }
}

/// A hold as an operator knows it: which number, and from when to when its holder may act on it for sure.
#[derive(Clone, Debug)]
struct Certain {
    name: String,
    fence: u64,
    from: Duration,
    until: Duration,
}

/// Holds are asked for of all members while a storm passes.
fn holds(args: &[String], binary: &str) -> ExitCode {
    let number = |name: &str, otherwise: u64| {
        value(args, name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(otherwise)
    };
    let (members, voters) = (number("--members", 5) as u32, number("--voters", 3) as u32);
    let (runs, first) = (number("--runs", 3), number("--seed", 1));
    let keeps = args.iter().any(|a| a == "--keeps");
    let last = value(args, "--last");
    let (mut lent, mut unanswered, mut twice, mut never, mut led) =
        (0, 0, Vec::new(), Vec::new(), Vec::new());
    for seed in first..first + runs {
        let mut script = fault_scenario::storm(members, seed, false);
        (script.voters, script.keeps) = (voters, keeps);
        let mut rig = ClusterHarness::of(binary, "127.0.0.1:9", script);
        if let Some(last) = &last {
            for m in voters..members {
                rig.give_build(m, last);
                // Its file must hold nothing that it does not know.
                rig.change_config(m, |text| {
                    let words = text.split("voter \"").next().unwrap_or_default();
                    let rest = text
                        .split_once("}\nstate")
                        .map_or("}\n".into(), |(_, s)| format!("}}\nstate{s}"));
                    let file = if words.len() < text.len() {
                        format!("{words}{rest}")
                    } else {
                        text.clone()
                    };
                    file.split("replace-after")
                        .enumerate()
                        .map(|(n, part)| match n {
                            0 => part.to_string(),
                            _ => part
                                .split_once("\" ")
                                .map_or(part.into(), |(_, rest)| rest.to_string()),
                        })
                        .collect()
                });
                rig.now(&format!("kill \"m{m}\"; start \"m{m}\""));
            }
        }
        let (begun, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
        let held: Arc<Mutex<Vec<Certain>>> = Arc::default();
        let unsure = Arc::new(AtomicU64::new(0));
        let refused: Arc<Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
        let asking: Vec<_> = (0..members)
            .map(|m| {
                let (at, over, held) = (rig.control(m), over.clone(), held.clone());
                let (unsure, refused) = (unsure.clone(), refused.clone());
                std::thread::spawn(move || {
                    for n in 0..2_000u32 {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let name = format!("h{}", n % 2);
                        let asked = begun.elapsed();
                        let request = Request::Hold {
                            name: name.clone(),
                            for_s: 2,
                            stays: false,
                            note: String::new(),
                        };
                        let said = driftfront_cluster_harness::process::ask(&at, &request);
                        let from = begun.elapsed();
                        match said {
                            Ok(words) => {
                                let fence = words
                                    .rsplit(' ')
                                    .next()
                                    .and_then(|f| f.parse().ok())
                                    .unwrap_or(0);
                                // What a holder may use: its time from before it asked, less a twentieth and 0.1 s.
                                let until = asked + Duration::from_millis(1_800);
                                if let Ok(mut all) = held.lock() {
                                    all.push(Certain {
                                        name,
                                        fence,
                                        from,
                                        until,
                                    });
                                }
                            }
                            Err(why) if why.contains("in time") => {
                                unsure.fetch_add(1, Ordering::Relaxed);
                            }
                            Err(why) => {
                                if let Ok(mut all) = refused.lock() {
                                    *all.entry(
                                        why.chars().filter(|c| !c.is_ascii_digit()).collect(),
                                    )
                                    .or_insert(0u64) += 1;
                                }
                            }
                        }
                        std::thread::sleep(Duration::from_millis(40 + u64::from(m) * 7));
                    }
                })
            })
            .collect();
        rig.play();
        let quiet = Instant::now();
        let new: Vec<u32> = (0..voters).collect();
        while rig.leader(&new).is_none()
            && quiet.elapsed() < Duration::from_micros(fault_scenario::OWED)
        {
            std::thread::sleep(Duration::from_millis(50));
        }
        match rig.leader(&new) {
            Some(_) => led.push(quiet.elapsed().as_micros() as u64),
            None => never.push(seed),
        }
        // Nothing is lent for ten seconds after a founding, and a storm may have had the voters found another log.
        std::thread::sleep(Duration::from_secs(12));
        over.store(true, Ordering::Relaxed);
        asking.into_iter().for_each(|t| drop(t.join()));
        if args.iter().any(|a| a == "--refused") {
            println!("seed {seed}: {:?}", refused.lock().map(|r| r.clone()));
        }
        let mut all = held.lock().map(|h| h.clone()).unwrap_or_default();
        (lent, unanswered) = (
            lent + all.len(),
            unanswered + unsure.load(Ordering::Relaxed),
        );
        all.sort_by_key(|h| (h.name.clone(), h.fence));
        for pair in all.windows(2).filter(|p| p[0].name == p[1].name) {
            // The later number's holder may act while the earlier one's still does.
            if pair[0].fence == pair[1].fence || pair[1].from < pair[0].until {
                twice.push(format!("seed {seed}: {:?} and {:?}", pair[0], pair[1]));
            }
        }
        if twice
            .iter()
            .any(|t| t.starts_with(&format!("seed {seed}:")))
            || never.contains(&seed)
        {
            eprintln!("seed {seed}:\n{}", rig.log().text());
            (0..members).for_each(|m| eprintln!("  m{m}: {:?}", rig.agreed(m)));
        }
    }
    led.sort_unstable();
    println!(
        "processes {members}, voters {voters}, logs kept: {keeps}, {runs} storms from seed {first}: lent {lent} times, \
         {unanswered} with no answer in time, held twice {}; one leads after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
         never within the time owed: {never:?}",
        twice.len(),
        percentile(&led, 0.5),
        percentile(&led, 0.99),
        percentile(&led, 1.0)
    );
    twice.iter().take(5).for_each(|t| println!("  {t}"));
    if twice.is_empty() && (never.is_empty() || last.is_some()) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(binary) = value(&args, "--binary") else {
        println!("{USAGE}");
        return ExitCode::from(2);
    };
    let number = |name: &str, otherwise: u64| {
        value(&args, name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(otherwise)
    };
    let (members, runs, first) = (
        number("--members", 5) as u32,
        number("--runs", 3),
        number("--seed", 1),
    );
    if args.iter().any(|a| a == "--soak") {
        return soaks(&args, &binary);
    }
    if args.iter().any(|a| a == "--holds") {
        return holds(&args, &binary);
    }
    if args.iter().any(|a| a == "--pauses") {
        pauses(&binary, number("--seconds", 20));
        return ExitCode::SUCCESS;
    }
    if args.iter().any(|a| a == "--cost") {
        cost(&binary, members, number("--seconds", 20));
        return ExitCode::SUCCESS;
    }
    let all: Vec<u32> = (0..members).collect();
    let (mut took, mut never): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        let mut rig = ClusterHarness::of(
            &binary,
            "127.0.0.1:9",
            fault_scenario::storm(members, seed, false),
        );
        rig.play();
        let quiet = Instant::now();
        let owed = Duration::from_micros(fault_scenario::OWED);
        let agree = |rig: &ClusterHarness| all.iter().all(|&m| rig.sees_just(m, &all));
        loop {
            if agree(&rig) {
                took.push(quiet.elapsed().as_micros() as u64);
                break;
            }
            if quiet.elapsed() > owed {
                never.push(seed);
                eprintln!("seed {seed}:\n{}", rig.log().text());
                for m in 0..members {
                    let seen: Vec<String> = rig
                        .sees(m)
                        .into_iter()
                        .map(|s| format!("{} {}", s.name, s.standing))
                        .collect();
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
