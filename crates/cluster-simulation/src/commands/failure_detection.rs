//! Kills a member, and measures how long the others take to detect it and how often members are wrongly declared down.

use super::{number, traffic, Outcome, SECOND};
use driftfront_cluster::{MemberStatus, Micros};
use driftfront_cluster_simulation::world::ViewChange;
use driftfront_cluster_simulation::{percentile, Script, ScriptError, World};
use pico_args::Arguments;

/// How long traffic is counted before the member is killed.
const TRAFFIC_TIME: Micros = 10 * SECOND;
/// How long the other members are observed after the kill.
const OBSERVATION_TIME: Micros = 20 * SECOND;
/// A detection later than this after the kill is reported as late.
const LATE_AFTER: Micros = 6 * SECOND;

struct Options {
    members: u32,
    runs: u32,
    loss: f64,
    first_seed: u64,
    /// How long the members may settle before measurements start.
    settle_time: Micros,
    prints_late: bool,
}

impl Options {
    fn killed_at(&self) -> Micros {
        self.settle_time + TRAFFIC_TIME
    }
}

/// Results of all runs.
#[derive(Default)]
struct Summary {
    /// Time until the first and until the last member detected the failure, in each run.
    first_detections: Vec<Micros>,
    last_detections: Vec<Micros>,
    missed_detections: u64,
    false_positives: u64,
    datagrams: u64,
    bytes: u64,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let prints_late = args.contains("--late");
    let options = Options {
        members: number(&mut args, "--members", 24)?,
        runs: number(&mut args, "--runs", 20)?,
        loss: number(&mut args, "--loss", 0.0)?,
        first_seed: number(&mut args, "--seed", 1)?,
        settle_time: number(&mut args, "--settle", 10u64)? * SECOND,
        prints_late,
    };
    let mut summary = Summary::default();
    for run in 0..options.runs {
        summary.add_run(&options, run)?;
    }
    summary.print(&options);
    Ok(())
}

impl Summary {
    fn add_run(&mut self, options: &Options, run: u32) -> Outcome {
        let seed = options.first_seed + u64::from(run);
        let victims = options.members.saturating_sub(3).max(1);
        let victim = options.members - 1 - run % victims;
        let mut world = World::new(read_script(options, seed, victim)?);
        world.play(options.settle_time, |_| false);
        let before = traffic(&world, options.members);
        world.play(options.killed_at(), |_| false);
        let after = traffic(&world, options.members);
        self.datagrams += after.datagrams - before.datagrams;
        self.bytes += after.bytes - before.bytes;
        world.play(options.killed_at() + OBSERVATION_TIME, |_| false);
        self.add_detections(options, &world, victim);
        if options.prints_late {
            print_late_detections(options, &world, seed, victim);
        }
        Ok(())
    }

    fn add_detections(&mut self, options: &Options, world: &World, victim: u32) {
        let killed_at = options.killed_at();
        let is_down = |s: &&ViewChange| s.status == MemberStatus::Down;
        let detections = || world.view_changes.iter().filter(is_down);
        let known = detections().filter(|s| s.subject == victim && s.at >= killed_at);
        let times: Vec<Micros> = known.map(|s| s.at - killed_at).collect();
        self.first_detections.extend(times.iter().min());
        self.last_detections.extend(times.iter().max());
        let knows = |by: u32| world.status(by, victim) == Some(MemberStatus::Down);
        let others = (0..options.members).filter(|&by| by != victim);
        self.missed_detections += others.filter(|&by| !knows(by)).count() as u64;
        let is_false = |s: &&ViewChange| s.subject != victim && s.at > options.settle_time / 2;
        self.false_positives += detections().filter(is_false).count() as u64;
    }

    fn print(&mut self, options: &Options) {
        let Options {
            members,
            runs,
            loss,
            first_seed,
            ..
        } = options;
        self.first_detections.sort_unstable();
        self.last_detections.sort_unstable();
        let member_seconds = f64::from(*runs) * 10.0 * f64::from(*members);
        println!("members {members}, loss {loss}, {runs} runs from seed {first_seed}");
        println!(
            "  first detection   p50 {:.2} s  p99 {:.2} s",
            percentile(&self.first_detections, 0.5),
            percentile(&self.first_detections, 0.99)
        );
        println!(
            "  detection by all  p50 {:.2} s  p99 {:.2} s  max {:.2} s; {} missed within 20 s",
            percentile(&self.last_detections, 0.5),
            percentile(&self.last_detections, 0.99),
            percentile(&self.last_detections, 1.0),
            self.missed_detections
        );
        println!(
            "  members wrongly declared down: {} times",
            self.false_positives
        );
        println!(
            "  per member: {:.1} datagrams and {:.0} bytes per second",
            self.datagrams as f64 / member_seconds,
            self.bytes as f64 / member_seconds
        );
    }
}

fn read_script(options: &Options, seed: u64, victim: u32) -> Result<Script, ScriptError> {
    let text = format!(
        "members {}\nseed {seed}\nlink \"all\" \"all\" loss={:.3} delay=\"1 ms\" jitter=\"1 ms\"\n\
         at \"{} s\" {{ kill \"m{victim}\" }}",
        options.members,
        options.loss,
        options.killed_at() / SECOND
    );
    Script::read(&text)
}

/// Prints the view changes of members that detected the failure late or not at all.
fn print_late_detections(options: &Options, world: &World, seed: u64, victim: u32) {
    let killed_at = options.killed_at();
    for by in world.running_members() {
        let is_about_victim = |s: &&ViewChange| {
            s.observer == by && s.subject == victim && s.at > killed_at - 2 * SECOND
        };
        let views: Vec<&ViewChange> = world.view_changes.iter().filter(is_about_victim).collect();
        let is_late = views
            .last()
            .is_none_or(|s| s.at > killed_at + LATE_AFTER || s.status != MemberStatus::Down);
        for seen in views.iter().filter(|_| is_late) {
            println!(
                "  seed {seed}: {:.2} s m{by} sees m{victim} {:?}",
                seen.at as f64 / 1e6,
                Some(seen.status)
            );
        }
    }
}
