//! Plays scripts on virtual time and prints what members knew and when, as tables.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{self, Consensus, Notice, Peer};
use driftfront_cluster::message_authentication::{MessageAuthenticator, Payload};
use driftfront_cluster::{Cluster, Identity, MemberMetadata, MemberStatus, Micros, Options};
use driftfront_cluster_simulation::rights::Load;
use driftfront_cluster_simulation::world::{addr, keys, name, Seen};
use driftfront_cluster_simulation::{fault_scenario, percentile, Script, World};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

const USAGE: &str = "driftfront-cluster-simulation members [--members N] [--runs K] [--loss PART] [--seed N] [--settle S] [--late]
    a member is killed 10 s after they settled and the rest watched for 20 s more: how long until all know, who was called down
    though it was there, and what each sends
driftfront-cluster-simulation storm [--members N] [--runs K] [--seed N]
    storms of faults drawn by their seeds, then quiet: how long until all have one view again; a seed that does not is named
driftfront-cluster-simulation agreed [--members N] [--voters N] [--keeps] [--runs K] [--seed N]
    the same storms over members that ask for rights: whether any is ever held twice, and how long until one leads again
driftfront-cluster-simulation leader [--members N] [--voters N] [--runs K] [--seed N] [--loss PART]
    the leader is killed after 40 s: how long until another leads, and until the next request is answered
driftfront-cluster-simulation check [--time N] [--terms N] [--entries N] [--depth N]
    the model of a right that is lent, in all states that can be reached within the bounds
driftfront-cluster-simulation fuzz [--agreed] [--runs N] [--seed N]
    spoilt datagrams, and well sealed ones with spoilt payloads, into one member that goes on talking to another; or spoilt
    words among voters
driftfront-cluster-simulation play SCRIPT
    plays a script and prints each change of a member's view of another";

const S: Micros = 1_000_000;

/// An option's number.
fn number<T: FromStr<Err: Display>>(
    args: &mut pico_args::Arguments,
    name: &'static str,
    otherwise: T,
) -> Result<T, String> {
    args.opt_value_from_str(name)
        .map(|v| v.unwrap_or(otherwise))
        .map_err(|e| e.to_string())
}

fn members(mut args: pico_args::Arguments) -> Result<(), String> {
    let verbose = args.contains("--late");
    let n = number(&mut args, "--members", 24u32)?;
    let runs = number(&mut args, "--runs", 20u64)?;
    let loss = number(&mut args, "--loss", 0f64)?;
    let seed = number(&mut args, "--seed", 1u64)?;
    // What they send is counted from here on for ten seconds; then the one is killed.
    let settle = number(&mut args, "--settle", 10u64)? * S;
    let killed = settle + 10 * S;
    let mut first: Vec<Micros> = Vec::new();
    let mut all: Vec<Micros> = Vec::new();
    let (mut false_deaths, mut unknowing, mut sent, mut bytes) = (0u64, 0u64, 0u64, 0u64);
    for run in 0..runs {
        let victim = n - 1 - (run % u64::from(n.saturating_sub(3).max(1))) as u32;
        let text = format!(
            "members {n}\nseed {}\nlink \"all\" \"all\" loss={loss:.3} delay=\"1 ms\" jitter=\"1 ms\"\n\
             at \"{} s\" {{ kill \"m{victim}\" }}",
            seed + run,
            killed / S
        );
        let mut world = World::new(Script::read(&text)?);
        world.play(settle, |_| false);
        let before: (u64, u64) = sums(&world, n);
        world.play(killed, |_| false);
        let after = sums(&world, n);
        (sent, bytes) = (sent + after.0 - before.0, bytes + after.1 - before.1);
        world.play(killed + 20 * S, |_| false);
        let down = |s: &&Seen| s.standing == Some(MemberStatus::Down);
        let mut knew: Vec<Micros> = world
            .seen
            .iter()
            .filter(down)
            .filter(|s| s.of == victim && s.at >= killed)
            .map(|s| s.at - killed)
            .collect();
        knew.sort_unstable();
        // What became of a witness that came late: the next question is always how.
        for by in world.living().into_iter().filter(|_| verbose) {
            let of_it: Vec<_> = world
                .seen
                .iter()
                .filter(|s| s.by == by && s.of == victim && s.at > killed - 2 * S)
                .collect();
            let late = of_it
                .last()
                .is_none_or(|s| s.at > killed + 6 * S || s.standing != Some(MemberStatus::Down));
            for s in of_it.iter().filter(|_| late) {
                println!(
                    "  seed {}: {:.2} s m{by} sees m{victim} {:?}",
                    seed + run,
                    s.at as f64 / 1e6,
                    s.standing
                );
            }
        }
        first.extend(knew.first());
        all.extend(knew.last());
        let gone = (0..n)
            .filter(|&by| by != victim && world.standing(by, victim) != Some(MemberStatus::Down));
        unknowing += gone.count() as u64;
        false_deaths += world
            .seen
            .iter()
            .filter(down)
            .filter(|s| s.of != victim && s.at > settle / 2)
            .count() as u64;
    }
    first.sort_unstable();
    all.sort_unstable();
    let each = runs as f64 * 10.0 * f64::from(n);
    println!("members {n}, loss {loss}, {runs} runs from seed {seed}");
    println!(
        "  first knows of a death  p50 {:.2} s  p99 {:.2} s",
        percentile(&first, 0.5),
        percentile(&first, 0.99)
    );
    println!(
        "  all know                p50 {:.2} s  p99 {:.2} s  max {:.2} s; {unknowing} never did in 20 s",
        percentile(&all, 0.5),
        percentile(&all, 0.99),
        percentile(&all, 1.0)
    );
    println!("  called down though there {false_deaths} times, by any of all");
    println!(
        "  each sends {:.1} datagrams, {:.0} bytes a second",
        sent as f64 / each,
        bytes as f64 / each
    );
    Ok(())
}

fn sums(world: &World, n: u32) -> (u64, u64) {
    (0..n)
        .map(|m| world.counters(m))
        .fold((0, 0), |sum, c| (sum.0 + c.sent, sum.1 + c.sent_bytes))
}

/// Feeds a member what no honest one sends, one input after another; an input that makes it panic ends the run with its
/// number, which with the seed makes it again.
fn fuzz(mut args: pico_args::Arguments) -> Result<(), String> {
    let (runs, seed) = (
        number(&mut args, "--runs", 1_000_000u64)?,
        number(&mut args, "--seed", 1u64)?,
    );
    let mut rng = SmallRng::seed_from_u64(seed);
    let fleet = |n: u8, rng: &mut SmallRng| {
        let me = Identity {
            name: name(u32::from(n)),
            addr: addr(u32::from(n)),
            session: u64::from(n),
            back: 0,
        };
        let seeds = vec![addr(1), addr(2)];
        Cluster::new(
            0,
            Options {
                me,
                about: MemberMetadata::default(),
                keys: keys(),
                seeds,
                seed: rng.random(),
                agreed: None,
            },
        )
    };
    let (mut target, mut peer) = (fleet(1, &mut rng), fleet(2, &mut rng));
    let mut forger = MessageAuthenticator::new(keys(), 99);
    // Payloads as honest members send them, to be spoilt.
    let mut honest: Vec<Vec<u8>> = Vec::new();
    let mut clock = 0;
    for n in 0..runs {
        clock += 50;
        if n % 500 == 0 {
            for _ in 0..2 {
                target.tick(clock);
                peer.tick(clock);
                peer.tell(rng.random_range(2..6), &rng.random::<[u8; 8]>());
                while let Some((_, bytes)) = target.next_outgoing() {
                    peer.take(clock, &bytes);
                }
                while let Some((_, bytes)) = peer.next_outgoing() {
                    if honest.len() < 400 {
                        honest.push(bytes.clone());
                    } else {
                        honest[rng.random_range(0..400)] = bytes.clone();
                    }
                    target.take(clock, &bytes);
                }
            }
        }
        let mut input: Vec<u8> = match honest.choose(&mut rng) {
            Some(one) if rng.random_bool(0.9) => one.clone(),
            _ => (0..rng.random_range(0..1300))
                .map(|_| rng.random())
                .collect(),
        };
        let kind = rng.random_range(0..4);
        // Sealed well: the payload alone is spoilt.
        if kind < 3 && input.len() > 45 {
            let payload = [
                Payload::Members,
                Payload::GossipState,
                Payload::Versions,
                Payload::Unknown(77),
            ];
            let payload = payload[usize::from(input[28].clamp(1, 4)) - 1];
            let mut bytes = input[29..input.len() - 16].to_vec();
            for _ in 0..rng.random_range(0..6) {
                let at = rng.random_range(0..bytes.len());
                match rng.random_range(0..4) {
                    0 => bytes[at] = rng.random(),
                    1 => bytes[at] ^= 1 << rng.random_range(0..8),
                    2 => bytes.truncate(at.max(1)),
                    _ => bytes.insert(at, rng.random()),
                }
            }
            bytes.truncate(1150);
            input = forger
                .seal(payload, &bytes, if rng.random_bool(0.5) { 1 } else { 0 })
                .unwrap_or_default();
        } else if !input.is_empty() {
            let at = rng.random_range(0..input.len());
            input[at] ^= 1 << rng.random_range(0..8);
        }
        let stood = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            target.take(clock, &input);
            while target.next_outgoing().is_some() {}
        }));
        if stood.is_err() {
            return Err(format!("seed {seed}, input {n}: {input:02x?}"));
        }
    }
    let c = target.counters();
    println!(
        "{runs} inputs from seed {seed}: taken {}, spoilt {}, foreign {}, replayed {}",
        c.taken, c.spoilt, c.foreign, c.replayed
    );
    println!(
        "  unreadable {}, facts refused {}, of an unknown kind {}",
        c.unreadable, c.refused, c.unknown_kind
    );
    println!("  it stands, and sees {} others", target.others());
    Ok(())
}

/// Three voters that go on talking and asking; of what they say to each other some comes spoilt as well. A replica may break,
/// and be let in again; nothing else may.
fn fuzz_agreed(mut args: pico_args::Arguments) -> Result<(), String> {
    let (runs, seed) = (
        number(&mut args, "--runs", 1_000_000u64)?,
        number(&mut args, "--seed", 1u64)?,
    );
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: Vec<String> = (0..3).map(name).collect();
    let mut all: Vec<Consensus> = Vec::new();
    for (n, me) in names.iter().enumerate() {
        let initial_voters = names.clone();
        let options = consensus::Options {
            initial_voters,
            file: Some(Vec::new()),
            ..consensus::Options::default()
        };
        all.push(Consensus::new(me, (n as u64 + 1) << 20, rng.random(), options).0);
    }
    std::panic::set_hook(Box::new(|_| {}));
    let (mut spoilt, mut now, mut lent, mut under_way) = (0u64, 0u64, 0u64, Vec::new());
    while spoilt < runs {
        now += 25_000;
        let notices: Vec<Notice> = all.iter().map(Consensus::notice).collect();
        for (n, one) in all.iter_mut().enumerate() {
            let peers = || {
                let peer = |m: usize| Peer {
                    name: names[m].clone(),
                    status: MemberStatus::Alive,
                    status_age: now,
                    zone: String::new(),
                    notice: Some(notices[m].clone()),
                };
                (0..3).filter(|&m| m != n).map(peer).collect()
            };
            let stood = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                one.tick(now, now, peers);
                while let Some((_, outcome)) = one.outcome() {
                    if let Ok(Outcome::Granted { fence }) = outcome {
                        lent += 1;
                        one.release(fence);
                    }
                }
                if rng.random_bool(0.2) {
                    let resource = format!("p{}", rng.random_range(0..3));
                    let take = Command::Acquire {
                        resource,
                        amount: 1,
                        limit: 1,
                        duration: S,
                        stays: false,
                        note: String::new(),
                    };
                    one.ask(now, take, S);
                }
                while let Some(write) = one.next_write() {
                    one.kept(now, write.number);
                }
                while let Some((to, bytes)) = one.next_outgoing() {
                    under_way.push((n, to, bytes));
                }
            }));
            stood.map_err(|_| format!("seed {seed}, {spoilt} inputs, a tick of m{n}"))?;
        }
        for (from, to, bytes) in std::mem::take(&mut under_way) {
            let Some(to) = names.iter().position(|m| *m == to) else {
                continue;
            };
            for copy in 0..if rng.random_bool(0.02) { 2 } else { 1 } {
                let mut bytes = bytes.clone();
                for _ in 0..if copy == 0 { 0 } else { rng.random_range(1..4) } {
                    let at = rng.random_range(0..bytes.len().max(1));
                    match rng.random_range(0..4) {
                        _ if bytes.is_empty() => {}
                        0 => bytes[at] = rng.random(),
                        1 => bytes[at] ^= 1 << rng.random_range(0..8),
                        2 => bytes.truncate(at),
                        _ => bytes.insert(at, rng.random()),
                    }
                }
                spoilt += u64::from(copy > 0);
                let stood = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                    all[to].handle_message(now, now, &names[from], &bytes);
                }));
                stood.map_err(|_| format!("seed {seed}, input {spoilt}: {bytes:02x?}"))?;
            }
        }
    }
    let lost: u64 = all.iter().map(|a| a.counters().replicas_lost).sum();
    let unread: u64 = all.iter().map(|a| a.counters().unread).sum();
    println!("{spoilt} spoilt words from seed {seed}: unread {unread}, replicas broken and let in again {lost}, rights lent {lent}");
    Ok(())
}

fn storms(mut args: pico_args::Arguments) -> Result<(), String> {
    let members = number(&mut args, "--members", 8u32)?;
    let (runs, first) = (
        number(&mut args, "--runs", 100u64)?,
        number(&mut args, "--seed", 1u64)?,
    );
    let all: Vec<u32> = (0..members).collect();
    let (mut took, mut never): (Vec<Micros>, Vec<u64>) = (Vec::new(), Vec::new());
    let (mut deaths_after, mut most_sent) = (0u64, 0u64);
    for seed in first..first + runs {
        let script = fault_scenario::storm(members, seed, true);
        let (quiet, until) = (fault_scenario::QUIET, script.until);
        let mut world = World::new(script);
        world.play(quiet, |_| false);
        let before = sums(&world, members).0;
        match world.play(until, |w| w.time() > quiet && w.agree(&all)) {
            true => took.push(world.time() - quiet),
            false => {
                never.push(seed);
                for (at, deed) in &fault_scenario::storm(members, seed, true).deeds {
                    println!("  seed {seed}: {:6.2} s {deed:?}", *at as f64 / 1e6);
                }
                for by in 0..members {
                    let odd: Vec<String> = (0..members)
                        .filter(|&of| {
                            of != by && world.standing(by, of) != Some(MemberStatus::Alive)
                        })
                        .map(|of| format!("m{of} {:?}", world.standing(by, of)))
                        .collect();
                    println!(
                        "  seed {seed}: m{by} sees {}",
                        if odd.is_empty() {
                            "all".into()
                        } else {
                            odd.join(", ")
                        }
                    );
                }
            }
        }
        let seconds = ((world.time() - quiet) / S).max(1) * u64::from(members);
        most_sent = most_sent.max((sums(&world, members).0 - before) / seconds);
        let settled = world.time();
        world.play(settled + 5 * S, |_| false);
        deaths_after += world
            .seen
            .iter()
            .filter(|s| s.at > settled && s.standing == Some(MemberStatus::Down))
            .count() as u64;
    }
    took.sort_unstable();
    println!("members {members}, {runs} storms from seed {first}");
    println!(
        "  one view again after    p50 {:.2} s  p99 {:.2} s  max {:.2} s; never within the time owed: {never:?}",
        percentile(&took, 0.5),
        percentile(&took, 0.99),
        percentile(&took, 1.0)
    );
    println!("  called down in the 5 s after that {deaths_after} times, by any of all");
    println!("  each sent at most {most_sent} datagrams a second on average while they settled");
    if never.is_empty() {
        Ok(())
    } else {
        Err("some never had one view again".into())
    }
}

/// Members that ask for rights through storms of faults.
fn agreed(mut args: pico_args::Arguments) -> Result<(), String> {
    let keeps = args.contains("--keeps");
    let members = number(&mut args, "--members", 6u32)?;
    let voters = number(&mut args, "--voters", 3u32)?;
    let (runs, first) = (
        number(&mut args, "--runs", 100u64)?,
        number(&mut args, "--seed", 1u64)?,
    );
    let (mut wrong, mut never, mut took) = (Vec::new(), Vec::new(), Vec::new());
    let (mut lent, mut unanswered, mut leaders, mut replaced, mut lost) = (0, 0, 0, 0, 0);
    for seed in first..first + runs {
        let mut script = fault_scenario::storm(members, seed, true);
        (script.voters, script.keeps) = (voters, keeps);
        let mut world = World::new(script);
        world.ask(Load {
            one_in: 10,
            ..Load::default()
        });
        world.play(fault_scenario::QUIET, |_| false);
        let owed = fault_scenario::QUIET + fault_scenario::OWED;
        while world.led().is_none() && world.time() < owed {
            let next = world.time() + S / 10;
            world.play(next, |_| false);
        }
        match world.led() {
            Some(_) => took.push(world.time() - fault_scenario::QUIET),
            None => {
                never.push(seed);
                for m in world.living() {
                    let Some(a) = world.fleet(m).and_then(|f| f.agreed()) else {
                        continue;
                    };
                    println!("  seed {seed}: m{m} {:?} {:?}", a.view(), a.notice());
                }
            }
        }
        world.play(owed + 10 * S, |_| false);
        let rights = world.rights.as_ref().ok_or("no rights")?;
        wrong.extend(rights.wrong.iter().map(|w| format!("seed {seed}: {w}")));
        (lent, unanswered) = (lent + rights.lent, unanswered + rights.unanswered);
        for m in world.living() {
            let Some(c) = world
                .fleet(m)
                .and_then(|f| f.agreed())
                .map(|a| a.counters())
            else {
                continue;
            };
            (leaders, replaced, lost) = (
                leaders + c.leaders,
                replaced + c.changes,
                lost + c.replicas_lost,
            );
        }
    }
    took.sort_unstable();
    println!(
        "members {members}, voters {voters}, logs kept: {keeps}, {runs} storms from seed {first}"
    );
    println!(
        "  lent {lent} times, {unanswered} requests with no answer in time; held twice: {}",
        wrong.len()
    );
    println!("  leaders seen {leaders}, steps in who decides {replaced}, replicas let go {lost}");
    println!(
        "  somebody leads again after p50 {:.2} s  p99 {:.2} s  max {:.2} s; never within the time owed: {never:?}",
        percentile(&took, 0.5),
        percentile(&took, 0.99),
        percentile(&took, 1.0)
    );
    wrong.iter().take(20).for_each(|w| println!("  {w}"));
    if wrong.is_empty() && never.is_empty() {
        Ok(())
    } else {
        Err("a right was held twice, or nobody led".into())
    }
}

/// Looks at all states of the model, and whether it finds what mistaken builds would do.
fn check(mut args: pico_args::Arguments) -> Result<(), String> {
    use driftfront_cluster_simulation::model::{Bounds, Wrong};
    use stateright::{Checker, HasDiscoveries, Model};
    let (time, terms) = (
        number(&mut args, "--time", 2u64)?,
        number(&mut args, "--terms", 2u8)?,
    );
    let (entries, depth) = (
        number(&mut args, "--entries", 3usize)?,
        number(&mut args, "--depth", 12usize)?,
    );
    let mut failed = false;
    for wrong in [Wrong::FromTheAnswer, Wrong::OwnClock, Wrong::Nothing] {
        let bounds = Bounds {
            time,
            terms,
            entries,
            wrong,
        };
        let checker = bounds
            .checker()
            .threads(std::thread::available_parallelism().map_or(2, |n| n.get().min(3)));
        let checker = if depth > 0 {
            checker.target_max_depth(depth)
        } else {
            checker
        };
        let done = checker
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let found: Vec<String> = done.discoveries().into_keys().map(String::from).collect();
        println!(
            "{wrong:?}: {} states, {} of them different, depth {}; found: {found:?}",
            done.state_count(),
            done.unique_state_count(),
            done.max_depth()
        );
        let twice = found
            .iter()
            .any(|f| f == "never both" || f == "agreed once");
        failed |= twice != (wrong != Wrong::Nothing);
        if let Some(path) = done
            .discovery("never both")
            .filter(|_| wrong == Wrong::Nothing)
        {
            println!("{path:?}");
        }
    }
    if failed {
        Err("the model lends twice, or does not find what a mistaken build would do".into())
    } else {
        Ok(())
    }
}

/// How long nothing is agreed once the leader is gone.
fn leader(mut args: pico_args::Arguments) -> Result<(), String> {
    let members = number(&mut args, "--members", 5u32)?;
    let voters = number(&mut args, "--voters", 3u32)?;
    let loss = number(&mut args, "--loss", 0f64)?;
    let (runs, first) = (
        number(&mut args, "--runs", 100u64)?,
        number(&mut args, "--seed", 1u64)?,
    );
    let (mut led, mut answered, mut usual) = (Vec::new(), Vec::new(), Vec::new());
    for seed in first..first + runs {
        let mut world = World::new(Script::read(&format!(
            "members {members}\nvoters {voters} keeps=#true\nseed {seed}\n\
             link \"all\" \"all\" loss={loss:.3} delay=\"1 ms\" jitter=\"1 ms\""
        ))?);
        world.ask(Load {
            one_in: 4,
            resources: 100,
            duration: 2 * S,
            patience: 30 * S,
        });
        world.play(40 * S, |_| false);
        let Some(old) = world.led() else {
            return Err(format!("seed {seed}: nobody leads"));
        };
        world.now(&format!("kill \"m{old}\""));
        while world.led().is_none() && world.time() < 60 * S {
            let next = world.time() + S / 100;
            world.play(next, |_| false);
        }
        led.push(world.time() - 40 * S);
        world.play(60 * S, |_| false);
        let rights = world.rights.as_ref().ok_or("no rights")?;
        usual.extend(rights.times(33 * S, 40 * S));
        answered.extend(
            rights
                .answered
                .iter()
                .map(|a| a.0)
                .find(|&at| at > 40 * S + S / 10)
                .map(|at| at - 40 * S),
        );
    }
    for times in [&mut led, &mut answered, &mut usual] {
        times.sort_unstable();
    }
    let row = |what: &str, times: &[Micros]| {
        let at = |part| percentile(times, part);
        println!(
            "  {what:<28} p50 {:.3} s  p99 {:.3} s  max {:.3} s  of {}",
            at(0.5),
            at(0.99),
            at(1.0),
            times.len()
        );
    };
    println!("members {members}, voters {voters}, loss {loss}, {runs} runs from seed {first}");
    row("another leads after", &led);
    row("a request is answered after", &answered);
    row("a request takes otherwise", &usual);
    Ok(())
}

/// A status as scripts' readers know it.
fn status_text(status: Option<MemberStatus>) -> &'static str {
    match status {
        None => "None",
        Some(MemberStatus::Alive) => "Some(Alive)",
        Some(MemberStatus::Suspected) => "Some(Doubted)",
        Some(MemberStatus::Down) => "Some(Down)",
    }
}

fn play(mut args: pico_args::Arguments) -> Result<(), String> {
    let path: String = args.free_from_str().map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let script = Script::read(&text).map_err(|e| format!("{path}: {e}"))?;
    let until = script.until;
    let mut world = World::new(script);
    world.play(until, |_| false);
    for s in &world.seen {
        println!(
            "{:8.3} s  m{} sees m{} {}",
            s.at as f64 / 1e6,
            s.by,
            s.of,
            status_text(s.standing)
        );
    }
    println!("trace {:016x}", world.trace);
    Ok(())
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let done = match args.subcommand() {
        Ok(Some(command)) if command == "members" => members(args),
        Ok(Some(command)) if command == "fuzz" => match args.contains("--agreed") {
            true => fuzz_agreed(args),
            false => fuzz(args),
        },
        Ok(Some(command)) if command == "storm" => storms(args),
        Ok(Some(command)) if command == "agreed" => agreed(args),
        Ok(Some(command)) if command == "check" => check(args),
        Ok(Some(command)) if command == "leader" => leader(args),
        Ok(Some(command)) if command == "play" => play(args),
        _ => {
            println!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
