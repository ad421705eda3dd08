//! A new version under load while discovery is down. An engine that began to drain long before must get nothing from it.

use crate::platform::{
    call, event, instance, start_clients, start_engine, wait_ready, Arrivals, Discovery, Platform,
};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const ENGINES: usize = 3;
const CLIENTS: u64 = 8;
/// How long discovery is down.
const OUTAGE_MS: u64 = 8_000;
/// The coordinator's news counts as told this long after the new process's yes.
const TOLD_AFTER_YES_MS: u64 = 2_000;
const DRAIN_GRACE_MS: u64 = 250;
const SLACK_MS: u64 = 50;
/// To say yes, the new process has this long.
const YES_LIMIT_MS: u64 = 6_000;

pub fn stale_list() -> Outcome {
    let arrivals = Arrivals::default();
    let names: Vec<String> = (1..=ENGINES).map(|n| format!("s-0000000{n}")).collect();
    let ports: Vec<u16> = names
        .iter()
        .map(|name| start_engine(name, &arrivals))
        .collect();
    let ready: Vec<String> = names
        .iter()
        .zip(&ports)
        .map(|(name, port)| instance(name, *port, "ready"))
        .collect();
    let discovery = Discovery::start();
    let first = event(1, true, &ready);
    discovery.tell(1, &first);
    let platform = Platform::new(&discovery, 1, &[first]);
    let (old, old_address) = platform.start();
    if !wait_ready(old_address, YES_LIMIT_MS) {
        return Outcome::NotRun("the coordinator is not ready".into());
    }
    note("the first process says yes");
    let stop = Arc::new(AtomicBool::new(false));
    start_clients(platform.port, CLIENTS, &stop);
    sleep_ms(2000);
    discovery.tell(
        2,
        &event(2, false, &[instance(&names[0], ports[0], "draining")]),
    );
    let told_at = now_ms();
    sleep_ms(4000);
    let down_at = now_ms();
    if run::has_trouble() {
        discovery.go_down();
    }
    sleep_ms(1000);
    let (new, new_address) = platform.start();
    if !wait_ready(new_address, YES_LIMIT_MS) {
        return Outcome::NotRun("the new process did not say yes in time".into());
    }
    let yes_at = now_ms();
    note("the new process says yes");
    run::terminate(old);
    note(&format!(
        "the old process gets SIGTERM; STATUS there: {}",
        call(old_address, "STATUS")
    ));
    while now_ms() < down_at + OUTAGE_MS {
        sleep_ms(10);
    }
    if run::has_trouble() {
        discovery.come_back();
    }
    sleep_ms(2000);
    stop.store(true, Ordering::Relaxed);
    sleep_ms(300);
    if !run::is_running(new) {
        return Outcome::NotRun("the new process has ended".into());
    }
    let arrivals = lock(&arrivals);
    let times = |name: &str| {
        arrivals
            .iter()
            .filter(|a| a.1 == name)
            .map(|a| a.0)
            .collect::<Vec<u64>>()
    };
    let allowed_until = yes_at + TOLD_AFTER_YES_MS + DRAIN_GRACE_MS + SLACK_MS;
    let old_grace = told_at + DRAIN_GRACE_MS + SLACK_MS;
    for name in &names {
        let times = times(name);
        let count = |from: u64, to: u64| times.iter().filter(|t| (from..to).contains(t)).count();
        note(&format!(
            "{name}: {} requests until the drain's grace ended ({old_grace} ms), {} until the yes ({yes_at} ms), {} until the new \
             process counts as told ({allowed_until} ms), {} later",
            count(0, old_grace),
            count(old_grace, yes_at),
            count(yes_at, allowed_until),
            count(allowed_until, u64::MAX)
        ));
    }
    let late: Vec<u64> = times(&names[0])
        .into_iter()
        .filter(|t| *t > allowed_until)
        .collect();
    match (late.first(), late.last()) {
        (Some(begin), Some(end)) => Outcome::Broken(format!(
            "{} requests reached the draining engine later than 2 s and its grace after the yes: from {} to {} ms after the yes",
            late.len(),
            begin - yes_at,
            end - yes_at
        )),
        _ => Outcome::Held(format!("no request reached the draining engine after {allowed_until} ms")),
    }
}

/// A call for the list takes this long while discovery is crowded.
const SLOW_MS: u64 = 3_000;
/// What discovery has to tell counts as told this long after the change at the latest, arrived or not.
const TOLD_AT_LATEST_MS: u64 = 7_000;

/// Discovery is slow while an engine begins to drain.
pub fn slow_discovery() -> Outcome {
    let arrivals = Arrivals::default();
    let names: Vec<String> = (1..=ENGINES).map(|n| format!("s-0000000{n}")).collect();
    let ports: Vec<u16> = names
        .iter()
        .map(|name| start_engine(name, &arrivals))
        .collect();
    let ready: Vec<String> = names
        .iter()
        .zip(&ports)
        .map(|(name, port)| instance(name, *port, "ready"))
        .collect();
    let discovery = Discovery::start();
    let first = event(1, true, &ready);
    discovery.tell(1, &first);
    let mut platform = Platform::with_limits(&discovery, 1, &[first], 192, 1024);
    let coordinator = platform.start_alone(1024);
    let stop = Arc::new(AtomicBool::new(false));
    start_clients(platform.port, CLIENTS, &stop);
    sleep_ms(3000);
    if run::has_trouble() {
        discovery.become_slow(SLOW_MS);
    }
    sleep_ms(500);
    discovery.tell(
        2,
        &event(2, false, &[instance(&names[0], ports[0], "draining")]),
    );
    let changed_at = now_ms();
    sleep_ms(25_000);
    stop.store(true, Ordering::Relaxed);
    sleep_ms(300);
    if !run::is_running(coordinator) {
        return Outcome::NotRun("the coordinator has ended".into());
    }
    let allowed_until = changed_at + TOLD_AT_LATEST_MS + DRAIN_GRACE_MS + SLACK_MS;
    let arrivals = lock(&arrivals);
    let times: Vec<u64> = arrivals
        .iter()
        .filter(|a| a.1 == names[0])
        .map(|a| a.0)
        .collect();
    let late: Vec<u64> = times
        .iter()
        .copied()
        .filter(|t| *t > allowed_until)
        .collect();
    note(&format!(
        "{}: {} requests until {allowed_until} ms, {} later",
        names[0],
        times.len() - late.len(),
        late.len()
    ));
    match (late.first(), late.last()) {
        (Some(begin), Some(end)) => Outcome::Broken(format!(
            "{} requests reached the draining engine after it counted as told and its grace was over: from {} to {} ms after the change",
            late.len(),
            begin - changed_at,
            end - changed_at
        )),
        _ => Outcome::Held(format!("no request reached the draining engine after {allowed_until} ms")),
    }
}
