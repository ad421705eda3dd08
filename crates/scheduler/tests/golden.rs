//! Byte format of gossip messages, handling of received ones, and log lines.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the numbers of these tests are small"
)]

use driftfront_scheduler::Controller;
use driftfront_scheduler::*;
use driftfront_test_support::scheduler::{class, listed, settings, MS, S};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write;

const ALL_FIELDS: [ReportField; 9] = [
    ReportField::Active,
    ReportField::Waiting,
    ReportField::Busy,
    ReportField::ServiceMs,
    ReportField::Rate,
    ReportField::Errors,
    ReportField::Memory,
    ReportField::Disk,
    ReportField::Unknown,
];

/// A coordinator in a cluster of the given size. Each engine has two cores.
fn sender(coordinators: u32, fields: &[ReportField], number: u32, seed: u64) -> Controller {
    let with = Settings {
        coordinators,
        number,
        may_gossip: true,
        report_fields: fields.to_vec(),
        ..settings(vec![class(9 * S, 1.0, 1.0)])
    };
    let mut controller = Controller::new(with, seed);
    // Ids are truncated to six bytes; the peer reads the truncated id.
    let list: Vec<ListedEngine> = [1, 2, 300, 0xffee_ddcc_bbaa, 0x1_0000_0000_0007]
        .map(listed)
        .to_vec();
    let event = Event::EnginesListed {
        kind: ListKind::Cached,
        engines: &list,
    };
    controller.handle(100 * S, event, &mut Vec::new());
    controller
}

/// Ticks until messages are due, and returns each with its recipient.
fn messages(controller: &mut Controller, from: Micros) -> Vec<(u32, Vec<u8>)> {
    let mut all = Vec::new();
    for n in 0..25 {
        let mut actions = Vec::new();
        controller.handle(from + n * 50 * MS, Event::TimerFired(0), &mut actions);
        all.extend(actions.into_iter().filter_map(|a| match a {
            Action::SendGossip {
                peer,
                message: bytes,
            } => Some((peer, bytes)),
            _ => None,
        }));
    }
    all
}

fn work(controller: &mut Controller) {
    for n in 1..=6u64 {
        let query = Query {
            id: QueryId(n),
            class: 0,
            tenant: 0,
            work: Some((n * 300 * MS) as f64),
            memory_mb: None,
            table_group: n as u32,
            ordering_key: None,
            has_idempotency_key: true,
            idempotent_until: None,
            runs_once: false,
            sticky_session: None,
            client_timeout: 60 * S,
        };
        let now = 100 * S + n * 7 * MS;
        controller.handle(now, Event::QueryArrived(query), &mut Vec::new());
    }
}

fn reports(controller: &mut Controller, at: Micros) {
    for (engine, values) in [
        (1, [3.0, 2.0, 0.5, 40.0, 7.0, 1.0, 0.25, 0.125, 9.0]),
        (2, [300.0, 999.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]),
        (
            300,
            [f64::NAN, -1.0, 7.0, 0.0, 0.0, 0.0, f64::INFINITY, 0.0, 0.0],
        ),
    ] {
        let event = Event::ProbeEnded {
            engine: EngineId(engine),
            outcome: Outcome::Ok,
            report: &values,
        };
        controller.handle(at, event, &mut Vec::new());
    }
    let mut few = [0.0; 9];
    few[0] = 2.0;
    let event = Event::ProbeEnded {
        engine: EngineId(0xffee_ddcc_bbaa),
        outcome: Outcome::Ok,
        report: &few[..2],
    };
    controller.handle(at - 3 * S, event, &mut Vec::new());
}

fn first(messages: &[(u32, Vec<u8>)]) -> &[u8] {
    &messages.first().expect("a message was due").1
}

#[test]
fn message_with_every_kind_of_report_value() {
    let mut controller = sender(2, &ALL_FIELDS, 0, 3);
    work(&mut controller);
    reports(&mut controller, 100 * S + 200 * MS);
    let sent = messages(&mut controller, 100 * S + 300 * MS);
    assert_eq!(sent.iter().map(|m| m.0).collect::<Vec<_>>(), [1, 1]);
    assert_golden!("message_all_fields.bin", first(&sent));
}

#[test]
fn messages_without_reports_and_of_more_engines_than_fit() {
    let mut controller = sender(2, &[], 1, 4);
    work(&mut controller);
    assert_golden!(
        "message_no_fields.bin",
        first(&messages(&mut controller, 101 * S))
    );
    let mut controller = sender(2, &ALL_FIELDS, 1, 5);
    let list: Vec<ListedEngine> = (1..=40).map(listed).collect();
    controller.handle(
        100 * S,
        Event::EnginesListed {
            kind: ListKind::Full,
            engines: &list,
        },
        &mut Vec::new(),
    );
    reports(&mut controller, 100 * S);
    let sent = messages(&mut controller, 101 * S);
    assert!(first(&sent).len() <= 256);
    assert_golden!("message_full.bin", first(&sent));
}

/// A coordinator that uses a subset applies a peer's engine entries and forwards them.
#[test]
fn gossip_of_an_earlier_build_is_read_and_forwarded() {
    let mut reader = sender(14, &ALL_FIELDS, 2, 6);
    work(&mut reader);
    let bytes = read_golden!("message_all_fields.bin");
    reader.handle(
        101 * S,
        Event::GossipReceived {
            from: 0,
            message: &bytes,
        },
        &mut Vec::new(),
    );
    assert_golden!(
        "message_passed_on.bin",
        first(&messages(&mut reader, 101 * S))
    );
}

#[test]
fn malformed_gossip_and_other_versions_change_nothing() {
    let golden = read_golden!("message_all_fields.bin");
    let mut other_version = golden.clone();
    other_version[0] = 3;
    let mut not_a_number = golden.clone();
    not_a_number[1..5].copy_from_slice(&f32::NAN.to_be_bytes());
    let mut negative = golden.clone();
    negative[1..5].copy_from_slice(&(-1f32).to_be_bytes());
    let run = |bytes: Option<&[u8]>| {
        let mut reader = sender(14, &ALL_FIELDS, 2, 6);
        work(&mut reader);
        if let Some(bytes) = bytes {
            reader.handle(
                101 * S,
                Event::GossipReceived {
                    from: 0,
                    message: bytes,
                },
                &mut Vec::new(),
            );
        }
        messages(&mut reader, 101 * S)
    };
    let without = run(None);
    for bad in [
        &[][..],
        &golden[..3],
        &golden[..golden.len() - 1],
        &other_version,
        &not_a_number,
        &negative,
    ] {
        assert_eq!(run(Some(bad)), without);
    }
    assert_ne!(run(Some(&golden)), without);
}

/// Lines in the operators' log.
#[test]
fn log_lines() {
    let mut lines = String::new();
    for outcome in [
        Outcome::Unreachable,
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Cancelled,
        Outcome::Superseded,
        Outcome::Ok,
    ] {
        let mut controller = sender(2, &ALL_FIELDS, 0, 3);
        let mut actions = Vec::new();
        // Twice, since a single error may be the query's own fault.
        for n in 0..2 {
            let now = 110 * S + n * S;
            let event = Event::ProbeEnded {
                engine: EngineId(300),
                outcome,
                report: &[],
            };
            controller.handle(now, event, &mut actions);
        }
        for action in actions {
            if let Action::Log(line) = action {
                let _ = writeln!(lines, "{line}");
            }
        }
    }
    assert_golden!("log_lines.txt", lines);
}
