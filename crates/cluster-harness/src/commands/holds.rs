//! Requests holds from all members during a fault scenario. Checks that no hold ever has two holders, and measures how long it takes
//! until there is a leader again.

use super::arguments::Arguments;
use super::{exit_code, micros, NO_ENGINE};
use driftfront_cluster_harness::{process, ClusterHarness, Request};
use driftfront_cluster_simulation::{fault_scenario, percentile};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests per client.
const MAX_REQUESTS: u32 = 2_000;
/// Number of different holds that clients request.
const HOLD_COUNT: u32 = 2;
/// Requested duration of a hold.
const HOLD_SECONDS: u64 = 2;
/// How long a holder may rely on a hold, counted from before its request: the requested duration less 5% and 0.1 s.
const USABLE_TIME: Duration = Duration::from_millis(1_800);
/// No hold is granted for 10 s after a bootstrap, and a scenario may have made the voters bootstrap a new log.
const TIME_AFTER_BOOTSTRAP: Duration = Duration::from_secs(12);

/// Command line options.
struct Options {
    members: u32,
    voters: u32,
    runs: u64,
    first_seed: u64,
    persists_logs: bool,
    /// The build run by members that are not voters.
    last_build: Option<String>,
    prints_refusals: bool,
}

impl Options {
    fn read(args: &Arguments) -> Options {
        Options {
            members: args.count("--members", 5),
            voters: args.count("--voters", 3),
            runs: args.number("--runs", 3),
            first_seed: args.number("--seed", 1),
            persists_logs: args.has("--keeps"),
            last_build: args.value("--last").map(String::from),
            prints_refusals: args.has("--refused"),
        }
    }
}

/// A granted hold, with the time in which its holder may rely on it.
#[derive(Clone, Debug)]
struct HeldInterval {
    name: String,
    fencing_token: u64,
    from: Duration,
    until: Duration,
}

/// Results of one client.
#[derive(Default)]
struct ClientResults {
    granted: Vec<HeldInterval>,
    unanswered: u64,
    /// Number of refusals by message, without digits.
    refused: BTreeMap<String, u64>,
}

impl ClientResults {
    fn add(&mut self, other: ClientResults) {
        self.granted.extend(other.granted);
        self.unanswered += other.unanswered;
        for (why, count) in other.refused {
            *self.refused.entry(why).or_default() += count;
        }
    }
}

/// Results of all runs.
#[derive(Default)]
struct Summary {
    /// Number of granted holds.
    granted: usize,
    /// Number of requests that timed out.
    unanswered: u64,
    /// Descriptions of overlapping grants of the same hold.
    overlaps: Vec<String>,
    /// Seeds after which no leader was elected in time.
    seeds_without_leader: Vec<u64>,
    /// Microseconds until there was a leader.
    election_times: Vec<u64>,
}

/// Runs the scenarios given on the command line.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let options = Options::read(args);
    let mut summary = Summary::default();
    for seed in options.first_seed..options.first_seed + options.runs {
        play(&options, binary, seed, &mut summary);
    }
    summary.print(&options);
    let all_elected = summary.seeds_without_leader.is_empty() || options.last_build.is_some();
    exit_code(summary.overlaps.is_empty() && all_elected)
}

/// Runs the scenario of one seed and adds its results to the summary.
fn play(options: &Options, binary: &str, seed: u64, summary: &mut Summary) {
    let mut harness = start(options, binary, seed);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let clients: Vec<JoinHandle<ClientResults>> = (0..options.members)
        .map(|member| start_client(&harness, member, started, &is_stopped))
        .collect();
    harness.play();
    let election_time = wait_for_leader(&harness, options.voters);
    std::thread::sleep(TIME_AFTER_BOOTSTRAP);
    is_stopped.store(true, Ordering::Relaxed);
    let mut results = ClientResults::default();
    for client in clients {
        if let Ok(one) = client.join() {
            results.add(one);
        }
    }
    if options.prints_refusals {
        println!("seed {seed}: {:?}", results.refused);
    }
    let overlaps = find_overlaps(seed, &mut results.granted);
    if election_time.is_none() || !overlaps.is_empty() {
        eprintln!("seed {seed}:\n{}", harness.log().text());
        for member in 0..options.members {
            eprintln!("  m{member}: {:?}", harness.consensus(member));
        }
    }
    summary.granted += results.granted.len();
    summary.unanswered += results.unanswered;
    summary.overlaps.extend(overlaps);
    match election_time {
        Some(time) => summary.election_times.push(micros(time)),
        None => summary.seeds_without_leader.push(seed),
    }
}

fn start(options: &Options, binary: &str, seed: u64) -> ClusterHarness {
    let mut script = fault_scenario::draw(options.members, seed, false);
    script.voters = options.voters;
    script.persists_log = options.persists_logs;
    let mut harness = ClusterHarness::from_script(binary, NO_ENGINE, script);
    if let Some(last_build) = &options.last_build {
        for member in options.voters..options.members {
            harness.set_binary(member, last_build);
            harness.change_config(member, |text| without_consensus(&text));
            harness.apply_script(&format!("kill \"m{member}\"; start \"m{member}\""));
        }
    }
    harness
}

/// Removes the settings that builds before consensus don't know from a configuration: the voters and `replace-after`.
fn without_consensus(text: &str) -> String {
    let file = match text.split_once("voter \"") {
        Some((before, _)) => {
            let after_voters = text.split_once("}\nstate");
            let end = after_voters.map_or("}\n".into(), |(_, state)| format!("}}\nstate{state}"));
            format!("{before}{end}")
        }
        None => text.to_string(),
    };
    let mut parts = file.split("replace-after");
    let first = parts.next().unwrap_or_default().to_string();
    parts.fold(first, |kept, part| {
        let after_value = part.split_once("\" ").map_or(part, |(_, after)| after);
        kept + after_value
    })
}

/// Returns how long it takes until the voters report a common leader, or `None` if they don't in time.
fn wait_for_leader(harness: &ClusterHarness, voters: u32) -> Option<Duration> {
    let faults_ended_at = Instant::now();
    let voters: Vec<u32> = (0..voters).collect();
    while faults_ended_at.elapsed() < Duration::from_micros(fault_scenario::CONVERGENCE_TIMEOUT) {
        if harness.leader(&voters).is_some() {
            return Some(faults_ended_at.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    harness.leader(&voters).map(|_| faults_ended_at.elapsed())
}

/// Starts a client that requests one hold after another from a member until `is_stopped` is set.
fn start_client(
    harness: &ClusterHarness,
    member: u32,
    started: Instant,
    is_stopped: &Arc<AtomicBool>,
) -> JoinHandle<ClientResults> {
    let (socket, is_stopped): (PathBuf, _) = (harness.control_socket(member), is_stopped.clone());
    let interval = Duration::from_millis(40 + u64::from(member) * 7);
    std::thread::spawn(move || {
        let mut results = ClientResults::default();
        for number in 0..MAX_REQUESTS {
            if is_stopped.load(Ordering::Relaxed) {
                break;
            }
            request_hold(&socket, number, started, &mut results);
            std::thread::sleep(interval);
        }
        results
    })
}

/// Requests a hold from the member at this control socket and adds the result to `results`.
fn request_hold(socket: &Path, number: u32, started: Instant, results: &mut ClientResults) {
    let name = format!("h{}", number % HOLD_COUNT);
    let requested_at = started.elapsed();
    let request = Request::Hold {
        name: name.clone(),
        for_s: HOLD_SECONDS,
        stays: false,
        note: String::new(),
    };
    let error = match process::send_request(socket, &request) {
        Ok(words) => {
            results.granted.push(HeldInterval {
                name,
                fencing_token: fencing_token_in(&words),
                from: started.elapsed(),
                until: requested_at + USABLE_TIME,
            });
            return;
        }
        Err(error) => error.to_string(),
    };
    if error.contains("in time") {
        results.unanswered += 1;
    } else {
        let words = error.chars().filter(|c| !c.is_ascii_digit()).collect();
        *results.refused.entry(words).or_default() += 1;
    }
}

/// Parses the fencing token at the end of a reply.
fn fencing_token_in(words: &str) -> u64 {
    let last = words.rsplit(' ').next();
    last.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Finds pairs of grants of the same hold with the same fencing token, or where the holder with the higher token may act while the
/// other one still does.
fn find_overlaps(seed: u64, granted: &mut [HeldInterval]) -> Vec<String> {
    granted.sort_by_key(|h| (h.name.clone(), h.fencing_token));
    let pairs = granted
        .windows(2)
        .filter(|pair| pair[0].name == pair[1].name);
    pairs
        .filter(|pair| {
            pair[0].fencing_token == pair[1].fencing_token || pair[1].from < pair[0].until
        })
        .map(|pair| format!("seed {seed}: {:?} and {:?}", pair[0], pair[1]))
        .collect()
}

impl Summary {
    fn print(&mut self, options: &Options) {
        self.election_times.sort_unstable();
        println!(
            "{} processes, {} voters, persistent logs: {}, {} fault scenarios from seed {}: {} holds granted, \
             {} requests timed out, {} overlapping grants; leader after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
             seeds without a leader in time: {:?}",
            options.members,
            options.voters,
            options.persists_logs,
            options.runs,
            options.first_seed,
            self.granted,
            self.unanswered,
            self.overlaps.len(),
            percentile(&self.election_times, 0.5),
            percentile(&self.election_times, 0.99),
            percentile(&self.election_times, 1.0),
            self.seeds_without_leader
        );
        for pair in self.overlaps.iter().take(5) {
            println!("  {pair}");
        }
    }
}
