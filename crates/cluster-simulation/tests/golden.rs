//! Compares parsed scripts, the output of commands and the traces of runs with golden files. The golden file of a run contains a
//! hash of all bytes sent, so it detects any change in the members' behavior.

use driftfront_cluster::MemberStatus;
use driftfront_cluster_simulation::lease_workload::{AnsweredRequest, Grant, LeaseLoad};
use driftfront_cluster_simulation::{
    fault_scenario, Directions, FaultAction, Group, Link, Script, TimedAction, World,
};
use driftfront_test_support::assert_golden;
use std::fmt::Write;
use std::process::Command;

const S: u64 = 1_000_000;

fn group(group: &Group) -> String {
    match group {
        Group::All => "all".into(),
        Group::Zone(zone) => format!("z{zone}"),
        Group::Member(member) => format!("m{member}"),
        Group::Engines => "engines".into(),
        Group::Engine(engine) => format!("e{engine}"),
    }
}

fn groups(groups: &[Group]) -> String {
    groups.iter().map(group).collect::<Vec<_>>().join(",")
}

fn link(link: &Link) -> String {
    format!(
        "loss {} repeat {} delay {} jitter {} cut {} throttle {}",
        link.loss, link.duplication, link.delay, link.jitter, link.is_cut, link.bytes_per_second
    )
}

/// Describes a script in a format of this test.
fn describe(script: &Script) -> String {
    let mut text = format!(
        "members {} zones {} voters {} keeps {} replace after {} seed {} until {}\n",
        script.members,
        script.zones,
        script.voters,
        script.persists_log,
        script.replace_after,
        script.seed,
        script.until
    );
    for TimedAction { at, action } in &script.actions {
        let words = match action {
            FaultAction::Link(from, to, of) => {
                format!("link {} {} {}", group(from), group(to), link(of))
            }
            FaultAction::Cut(some, directions) => {
                let Directions { outgoing, incoming } = directions;
                format!("cut {} out {outgoing} in {incoming}", groups(some))
            }
            FaultAction::Partition(some, from, directions) => {
                let Directions { outgoing, incoming } = directions;
                format!(
                    "part {} from {} out {outgoing} in {incoming}",
                    groups(some),
                    group(from)
                )
            }
            FaultAction::Reset(some, from) => {
                format!("reset {} from {}", groups(some), group(from))
            }
            FaultAction::Heal => "heal".into(),
            FaultAction::Kill(some) => format!("kill {}", groups(some)),
            FaultAction::Suspend(some) => format!("stop {}", groups(some)),
            FaultAction::Resume(some) => format!("wake {}", groups(some)),
            FaultAction::Start(some) => format!("start {}", groups(some)),
            FaultAction::Leave(some) => format!("leave {}", groups(some)),
            FaultAction::Clock(some, by) => format!("clock {} by {by}", groups(some)),
        };
        let _ = writeln!(text, "{at} {words}");
    }
    text
}

const SCRIPT: &str = r#"members 8 zones=2            // m0 .. m7, zone z0, z1 in turn
voters 3 keeps=#true replace-after="10 s"
seed 7
until "40 s"
link "all" "all" delay="2 ms" jitter="1 ms"
at "5 s" { cut "m0" "m1" }
at "6 s" { cut "z1" ways="out" }
at "6500 ms" { cut "z0" ways="in" }
at "9 s" { link "m0" "all" loss=0.3 delay="50 ms" repeat=0.1 }
at "10 s" { part "m0" "z1" from="e0" }
at "11 s" { reset "m0" from="engines" }
at "12 s" { link "m1" "engines" delay="80 ms" throttle=20000 }
at "13 s" { part "m1" from="m3" ways="out" }
at "15 s" { heal }
at "20 s" { kill "m2" "m4"; stop "m5" }
at "21 s" { stop "m3" }
at "29 s" { wake "m3" "m5" }
at "30 s" { start "m2" "m4" }
at "31 s" { leave "m4" }
at "32 s" { clock "m5" by="3600 s" }
at "33 s" { clock "m5" by="-3600 s" }
"#;

#[test]
fn parsed_scripts_match_golden_file() {
    let mut text = String::new();
    for script in [
        "",
        "members 5",
        "voters 2",
        "members 4 zones=4\nuntil \"900 ms\"",
        SCRIPT,
    ] {
        let _ = writeln!(
            text,
            "{}",
            describe(&Script::read(script).expect("a script"))
        );
    }
    assert_golden!("scripts.txt", text);
}

#[test]
fn errors_of_invalid_scripts_match_golden_file() {
    let mut text = String::new();
    let invalid = [
        "members",
        "members \"five\"",
        "members -1",
        "members 2000",
        "seed",
        "until \"5 h\"",
        "until 5",
        "voters",
        "voters 9 replace-after=\"soon\"",
        "link \"all\"",
        "link \"all\" \"nobody\"",
        "link \"all\" \"all\" loss=2",
        "link \"all\" \"all\" delay=5",
        "\n\nat \"5 s\" { cut }",
        "at \"5 s\" { cut \"m0\" ways=\"round\" }",
        "at \"5 s\" { part \"m0\" }",
        "at \"5 s\" { reset \"m0\" from=\"there\" }",
        "at \"5 s\" { clock \"m0\" }",
        "at \"5 s\" { clock \"m0\" by=\"-5 parsecs\" }",
        "at \"5 s\" { explode \"m0\" }",
        "at { heal }",
        "at \"5 s\"",
        "later \"5 s\"",
        "members 5 {",
    ];
    for script in invalid {
        let result = match Script::read(script) {
            Ok(script) => format!("read: {}", describe(&script).trim_end()),
            Err(error) => error.to_string(),
        };
        let _ = writeln!(text, "{script:?}: {result}");
    }
    assert_golden!("scripts-wrong.txt", text);
}

#[test]
fn fault_scenarios_match_golden_file() {
    let mut text = String::new();
    for (members, seed, clocks) in [(8, 1, true), (6, 2, false), (3, 3, true), (20, 4, true)] {
        let _ = writeln!(
            text,
            "{}",
            describe(&fault_scenario::draw(members, seed, clocks))
        );
    }
    assert_golden!("storms.txt", text);
}

fn status_text(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspected => "doubted",
        MemberStatus::Down => "down",
    }
}

/// FNV-1a hash of some bytes.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Runs a script and records, for each second, the hash of all bytes sent and each change of a member's view.
fn play(script: Script, load: Option<LeaseLoad>) -> String {
    let (members, until) = (script.members, script.until);
    let mut world = World::new(script);
    if let Some(load) = load {
        world.start_lease_workload(load);
    }
    let (mut text, mut shown) = (String::new(), 0);
    while world.time() < until {
        let next = (world.time() + S).min(until);
        world.play(next, |_| false);
        for seen in &world.view_changes[shown..] {
            let _ = writeln!(
                text,
                "{} m{} sees m{} {}",
                seen.at,
                seen.observer,
                seen.subject,
                status_text(seen.status)
            );
        }
        shown = world.view_changes.len();
        let leader = world.leader();
        let _ = writeln!(
            text,
            "{} trace {:016x} leader {leader:?}",
            world.time(),
            world.trace
        );
    }
    for m in 0..members {
        let c = world.counters(m);
        let disk = world.disk_mut(m).clone();
        let _ = writeln!(
            text,
            "m{m}: sent {} of {} bytes, taken {}, downs {}, backs {}, withheld {}, disk {} bytes {:016x}",
            c.sent, c.sent_bytes, c.accepted, c.members_down, c.rejoins, c.rate_limited, disk.len(), fnv1a(&disk)
        );
    }
    if let Some(workload) = &world.lease_workload {
        let _ = writeln!(
            text,
            "lent {}, unanswered {}, wrong {:?}",
            workload.granted, workload.timed_out, workload.violations
        );
        for (fence, Grant { resource, owner }) in &workload.grants {
            let _ = writeln!(text, "{fence} {resource} m{owner}");
        }
        for AnsweredRequest { at, latency } in &workload.answered {
            let _ = writeln!(text, "answered at {at} after {latency}");
        }
    }
    text
}

#[test]
fn run_of_a_script_matches_golden_file() {
    assert_golden!("run-script.txt", play(Script::read(SCRIPT).unwrap(), None));
}

#[test]
fn runs_of_fault_scenarios_with_leases_match_golden_files() {
    for (seed, keeps) in [(1, true), (2, false), (3, true), (4, false), (5, true)] {
        let mut script = fault_scenario::draw(6, seed, true);
        (script.voters, script.persists_log) = (3, keeps);
        let load = LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        };
        assert_golden!(&format!("run-storm-{seed}.txt"), play(script, Some(load)));
    }
}

#[test]
fn run_with_a_replaced_voter_matches_golden_file() {
    let script = "members 7\nvoters 3 keeps=#true replace-after=\"5 s\"\nseed 9\nuntil \"70 s\"\n\
                  link \"all\" \"all\" loss=0.05 delay=\"2 ms\" jitter=\"2 ms\"\n\
                  at \"30 s\" { kill \"m1\" }\nat \"50 s\" { start \"m1\" }";
    let load = LeaseLoad {
        polls_per_request: 1,
        resources: 400,
        max_duration: 60 * S,
        ..LeaseLoad::default()
    };
    assert_golden!(
        "run-replaced.txt",
        play(Script::read(script).unwrap(), Some(load))
    );
}

#[test]
fn run_of_60_members_matches_golden_file() {
    let script = "members 60 zones=3\nvoters 5\nseed 3\nuntil \"20 s\"\nlink \"all\" \"all\" loss=0.02 delay=\"1 ms\" jitter=\"1 ms\"\n\
                  at \"8 s\" { kill \"m7\" \"m0\" }\nat \"12 s\" { cut \"z1\" }\nat \"16 s\" { heal }";
    let run = play(Script::read(script).unwrap(), None);
    let traces: String = run
        .lines()
        .filter(|l| !l.contains(" sees "))
        .map(|l| format!("{l}\n"))
        .collect();
    assert_golden!("run-dozens.txt", traces);
}

fn program_name() -> &'static str {
    let path = std::path::Path::new(env!("CARGO_BIN_EXE_driftfront-cluster-simulation"));
    path.file_name().unwrap().to_str().unwrap()
}

fn run_command(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_driftfront-cluster-simulation"))
        .args(args)
        .output()
        .expect("running the command");
    format!(
        "{args:?}: {:?}\n{}{}\n",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn command_output_matches_golden_file() {
    let script = std::env::temp_dir().join(format!(
        "driftfront-simulation-golden-{}.kdl",
        std::process::id()
    ));
    std::fs::write(
        &script,
        "members 3\nuntil \"8 s\"\nat \"4 s\" { kill \"m2\" }",
    )
    .unwrap();
    let path = script.to_str().unwrap();
    let mut text = String::new();
    let commands: [&[&str]; 14] = [
        &[],
        &["--help"],
        &["unknown"],
        &[
            "members",
            "--members",
            "6",
            "--runs",
            "2",
            "--loss",
            "0.1",
            "--settle",
            "5",
        ],
        &["members", "--runs", "many"],
        &["storm", "--members", "5", "--runs", "3", "--seed", "4"],
        &["agreed", "--members", "5", "--runs", "2", "--keeps"],
        &["agreed", "--members", "5", "--runs", "2", "--seed", "3"],
        &["leader", "--members", "4", "--runs", "2"],
        &["fuzz", "--runs", "20000"],
        &["fuzz", "--agreed", "--runs", "500"],
        &["play"],
        &["play", "/nowhere.kdl"],
        &["play", path],
    ];
    for args in commands {
        // The usage text contains the name of the executable.
        text += &run_command(args)
            .replace(path, "SCRIPT")
            .replace(program_name(), "PROGRAM");
    }
    std::fs::remove_file(&script).unwrap();
    assert_golden!("command.txt", text);
}
