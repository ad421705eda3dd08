//! Holds are requested of all members while a fault scenario passes: whether one was ever held twice, and how long until one
//! leads again.

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
/// Requests of one client at most.
const MAX_REQUESTS: u32 = 2_000;
/// Different holds that are requested.
const HOLD_NAMES: u32 = 2;
/// For how long a hold is requested.
const HOLD_SECONDS: u64 = 2;
/// What a holder may use of that, counted from before its request: less a twentieth and 0.1 s.
const USABLE_TIME: Duration = Duration::from_millis(1_800);
/// Nothing is granted for ten seconds after a bootstrap, and a scenario may have had the voters bootstrap another log.
const TIME_AFTER_BOOTSTRAP: Duration = Duration::from_secs(12);

/// What the command line asks for.
struct Options {
    members: u32,
    voters: u32,
    runs: u64,
    first_seed: u64,
    logs_are_kept: bool,
    /// The build of members that are no voters.
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
            logs_are_kept: args.has("--keeps"),
            last_build: args.value("--last").map(String::from),
            prints_refusals: args.has("--refused"),
        }
    }
}

/// A hold as an operator knows it: from when to when its holder may act on it for sure.
#[derive(Clone, Debug)]
struct Certain {
    name: String,
    fence: u64,
    from: Duration,
    until: Duration,
}

/// What one client got.
#[derive(Default)]
struct Answers {
    held: Vec<Certain>,
    unanswered: u64,
    /// Refusals by their words, without digits.
    refused: BTreeMap<String, u64>,
}

impl Answers {
    fn add(&mut self, other: Answers) {
        self.held.extend(other.held);
        self.unanswered += other.unanswered;
        for (why, count) in other.refused {
            *self.refused.entry(why).or_default() += count;
        }
    }
}

/// What all runs showed.
#[derive(Default)]
struct Summary {
    /// Holds that were granted.
    granted: usize,
    /// Requests that got no answer in time.
    unanswered: u64,
    /// Holds that two could act on at once, in words.
    held_twice: Vec<String>,
    /// Seeds after which nobody led in time.
    never_led: Vec<u64>,
    /// Microseconds until one led.
    led_after: Vec<u64>,
}

/// Plays the scenarios that the command line asks for.
pub(crate) fn run(args: &Arguments, binary: &str) -> ExitCode {
    let options = Options::read(args);
    let mut summary = Summary::default();
    for seed in options.first_seed..options.first_seed + options.runs {
        play(&options, binary, seed, &mut summary);
    }
    summary.print(&options);
    let all_led = summary.never_led.is_empty() || options.last_build.is_some();
    exit_code(summary.held_twice.is_empty() && all_led)
}

/// Plays the scenario of one seed, and adds what it showed to the summary.
fn play(options: &Options, binary: &str, seed: u64, summary: &mut Summary) {
    let mut harness = start(options, binary, seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let clients: Vec<JoinHandle<Answers>> = (0..options.members)
        .map(|member| start_client(&harness, member, begun, &is_over))
        .collect();
    harness.play();
    let led_after = wait_for_leader(&harness, options.voters);
    std::thread::sleep(TIME_AFTER_BOOTSTRAP);
    is_over.store(true, Ordering::Relaxed);
    let mut answers = Answers::default();
    for client in clients {
        if let Ok(one) = client.join() {
            answers.add(one);
        }
    }
    if options.prints_refusals {
        println!("seed {seed}: {:?}", answers.refused);
    }
    let held_twice = held_twice(seed, &mut answers.held);
    if led_after.is_none() || !held_twice.is_empty() {
        eprintln!("seed {seed}:\n{}", harness.log().text());
        for member in 0..options.members {
            eprintln!("  m{member}: {:?}", harness.consensus(member));
        }
    }
    summary.granted += answers.held.len();
    summary.unanswered += answers.unanswered;
    summary.held_twice.extend(held_twice);
    match led_after {
        Some(time) => summary.led_after.push(micros(time)),
        None => summary.never_led.push(seed),
    }
}

fn start(options: &Options, binary: &str, seed: u64) -> ClusterHarness {
    let mut script = fault_scenario::draw(options.members, seed, false);
    script.voters = options.voters;
    script.persists_log = options.logs_are_kept;
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

/// An operator's file without what a build before consensus does not know: the voters and `replace-after`.
fn without_consensus(text: &str) -> String {
    let file = match text.split_once("voter \"") {
        Some((before, _)) => {
            let behind = text.split_once("}\nstate");
            let end = behind.map_or("}\n".into(), |(_, state)| format!("}}\nstate{state}"));
            format!("{before}{end}")
        }
        None => text.to_string(),
    };
    let mut parts = file.split("replace-after");
    let first = parts.next().unwrap_or_default().to_string();
    parts.fold(first, |kept, part| {
        let behind_value = part.split_once("\" ").map_or(part, |(_, behind)| behind);
        kept + behind_value
    })
}

/// How long until the voters say that one of them leads; `None` where they don't in time.
fn wait_for_leader(harness: &ClusterHarness, voters: u32) -> Option<Duration> {
    let quiet_since = Instant::now();
    let voters: Vec<u32> = (0..voters).collect();
    while quiet_since.elapsed() < Duration::from_micros(fault_scenario::CONVERGENCE_TIMEOUT) {
        if harness.leader(&voters).is_some() {
            return Some(quiet_since.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    harness.leader(&voters).map(|_| quiet_since.elapsed())
}

/// An operator who requests one hold after another of a member, until it is over.
fn start_client(
    harness: &ClusterHarness,
    member: u32,
    begun: Instant,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<Answers> {
    let (socket, is_over): (PathBuf, _) = (harness.control_socket(member), is_over.clone());
    let interval = Duration::from_millis(40 + u64::from(member) * 7);
    std::thread::spawn(move || {
        let mut answers = Answers::default();
        for number in 0..MAX_REQUESTS {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            request_hold(&socket, number, begun, &mut answers);
            std::thread::sleep(interval);
        }
        answers
    })
}

/// Requests a hold of the member at this control socket, and adds what it says to `answers`.
fn request_hold(socket: &Path, number: u32, begun: Instant, answers: &mut Answers) {
    let name = format!("h{}", number % HOLD_NAMES);
    let requested_at = begun.elapsed();
    let request = Request::Hold {
        name: name.clone(),
        for_s: HOLD_SECONDS,
        stays: false,
        note: String::new(),
    };
    let error = match process::send_request(socket, &request) {
        Ok(words) => {
            answers.held.push(Certain {
                name,
                fence: last_number(&words),
                from: begun.elapsed(),
                until: requested_at + USABLE_TIME,
            });
            return;
        }
        Err(error) => error.to_string(),
    };
    if error.contains("in time") {
        answers.unanswered += 1;
    } else {
        let words = error.chars().filter(|c| !c.is_ascii_digit()).collect();
        *answers.refused.entry(words).or_default() += 1;
    }
}

/// The fencing number at the end of an answer.
fn last_number(words: &str) -> u64 {
    let last = words.rsplit(' ').next();
    last.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Pairs of holds of one name where the later number's holder may act while the earlier one's still does.
fn held_twice(seed: u64, held: &mut [Certain]) -> Vec<String> {
    held.sort_by_key(|h| (h.name.clone(), h.fence));
    let pairs = held.windows(2).filter(|pair| pair[0].name == pair[1].name);
    pairs
        .filter(|pair| pair[0].fence == pair[1].fence || pair[1].from < pair[0].until)
        .map(|pair| format!("seed {seed}: {:?} and {:?}", pair[0], pair[1]))
        .collect()
}

impl Summary {
    fn print(&mut self, options: &Options) {
        self.led_after.sort_unstable();
        println!(
            "processes {}, voters {}, logs kept: {}, {} storms from seed {}: lent {} times, \
             {} with no answer in time, held twice {}; one leads after p50 {:.2} s  p99 {:.2} s  max {:.2} s; \
             never within the time owed: {:?}",
            options.members,
            options.voters,
            options.logs_are_kept,
            options.runs,
            options.first_seed,
            self.granted,
            self.unanswered,
            self.held_twice.len(),
            percentile(&self.led_after, 0.5),
            percentile(&self.led_after, 0.99),
            percentile(&self.led_after, 1.0),
            self.never_led
        );
        for pair in self.held_twice.iter().take(5) {
            println!("  {pair}");
        }
    }
}
