//! Compares the command's output, the plans of soak tests and the members' configuration files with golden files.

use driftfront_cluster_harness::soak::{Plan, Report, Rule, Violation};
use driftfront_cluster_harness::ClusterHarness;
use driftfront_test_support::assert_golden;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_driftfront-cluster-harness"))
}

#[test]
fn command_prints_usage() {
    let mut text = String::new();
    for args in [&[][..], &["--help"], &["--soak"]] {
        let output = Command::new(program())
            .args(args)
            .output()
            .expect("running the command");
        let _ = writeln!(
            text,
            "{args:?}: {:?}\n{}{}",
            output.status.code(),
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
    }
    // The usage text contains the name of the executable.
    let name = program().file_name().unwrap().to_str().unwrap();
    assert_golden!("usage.txt", text.replace(name, "PROGRAM"));
}

#[test]
fn soak_plans_match_golden_file() {
    let mut text = String::new();
    for seed in 1..=12 {
        let plan = Plan::draw(seed);
        let _ = writeln!(
            text,
            "seed {} length {:?} deadline {:?} clients {} drains {:?} kill after {:?}",
            plan.seed,
            plan.length,
            plan.deadline,
            plan.clients,
            plan.drains,
            plan.kill_timeout()
        );
        for (number, faults) in plan.engines.iter().enumerate() {
            for fault in faults {
                let _ = writeln!(
                    text,
                    "  engine {number} {:?} {:?}",
                    fault.during, fault.mode
                );
            }
        }
        for (number, schedule) in plan.coordinators.iter().enumerate() {
            let _ = writeln!(
                text,
                "  coordinator {number} signals {:?} steps {:?} crowd {} descriptors {}",
                schedule.signals, schedule.clock_steps, schedule.idle_clients, schedule.descriptors
            );
        }
    }
    assert_golden!("soaks.txt", text);
}

#[test]
fn soak_report_matches_golden_file() {
    let all = [
        Rule::Lost,
        Rule::Duplicate,
        Rule::Drain,
        Rule::RetryBudget,
        Rule::Crash,
        Rule::Killed,
    ];
    let report = Report {
        requests: 100,
        statuses: [(200, 90), (503, 7)].into(),
        late: 2,
        close_races: 3,
        retries: 4,
        processes: 5,
        violations: all
            .into_iter()
            .map(|rule| Violation {
                rule,
                description: "in words".to_string(),
            })
            .collect(),
        logs: Vec::new(),
    };
    assert_golden!("report.txt", report.to_string());
}

/// Writes a script that logs its addresses, as the real program does, and then sleeps.
fn write_mock_program(folder: &Path) -> PathBuf {
    use std::os::unix::fs::PermissionsExt;
    std::fs::create_dir_all(folder).expect("a temporary folder");
    let path = folder.join("program");
    let lines = "#!/bin/sh\necho 'INFO fleet here=127.0.0.1:7 zone=z0' >&2\necho 'INFO serving listen=127.0.0.1:8' >&2\nexec sleep 60\n";
    std::fs::write(&path, lines).expect("a temporary file");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("its mode");
    path
}

#[test]
fn member_configurations_match_golden_file() {
    let folder =
        std::env::temp_dir().join(format!("driftfront-harness-golden-{}", std::process::id()));
    let binary = write_mock_program(&folder);
    let mut text = String::new();
    let scripts = [
        "members 1",
        "members 4 zones=2\nvoters 3 keeps=#true replace-after=\"7 s\"",
        "members 2\nvoters 1",
    ];
    for script in scripts {
        let mut harness = ClusterHarness::start(binary.to_str().unwrap(), "127.0.0.1:9", script);
        let members = script.as_bytes()[8] - b'0';
        let socket = harness.control_socket(0);
        let own = socket.parent().unwrap().to_str().unwrap();
        let ports: Vec<String> = (0..u32::from(members))
            .map(|m| harness.net.public_addr(m).to_string())
            .collect();
        for member in 0..u32::from(members) {
            let mut file = harness.process(member).config_text().replace(own, "FOLDER");
            for (n, port) in ports.iter().enumerate() {
                file = file.replace(port, &format!("ADDRESS-{n}"));
            }
            let _ = writeln!(text, "{file}");
            assert_eq!(harness.client_addr(member).to_string(), "127.0.0.1:8");
        }
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
    assert_golden!("member-files.txt", text);
}
