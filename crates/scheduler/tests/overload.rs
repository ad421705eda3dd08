//! Overload: coordinators that each use a subset of the engines, and engines that run out of
//! memory.

use driftfront_scheduler::*;
use driftfront_test_support::scheduler::*;

fn probes(act: &[Action]) -> Vec<u64> {
    act.iter()
        .filter_map(|a| {
            if let Action::Probe(e) = a {
                Some(e.0)
            } else {
                None
            }
        })
        .collect()
}

/// One of a hundred coordinators, with a light class, a wide class and one in between.
fn subset_settings() -> Settings {
    let mut s = settings(vec![
        class(S, 1.0, 1.0),
        class(4 * S, 10.0, 4.0),
        class(4 * S, 5.0, 2.0),
    ]);
    s.coordinators = 100;
    s.kinds = vec![
        MachineKind {
            cores: Some(8.0),
            memory_mb: Some(16384.0)
        };
        2
    ];
    s.report_fields = vec![ReportField::Busy];
    s
}

fn paging_settings() -> Settings {
    let mut s = subset_settings();
    (s.coordinators, s.out_of_memory) = (1, OutOfMemory::Page);
    s.report_fields = vec![ReportField::Busy, ReportField::Memory];
    s
}

#[test]
fn engine_out_of_memory_gets_no_queries_despite_idle_cores() {
    let mut harness = SchedulerHarness::new(paging_settings(), &[listed(1), listed(2)]);
    harness.report(1, &[0.1, 1.0]);
    harness.report(2, &[0.6, 0.5]);
    for _ in 0..4 {
        let (q, act) = harness.arrive(0, 200 * MS, 3);
        assert_eq!(started_attempts(&act), [(q.0, 2)]);
        harness.end(q, 0, Outcome::Ok, 200 * MS);
    }
}

#[test]
fn memory_exhaustion_ends_when_its_report_expires() {
    let mut harness = SchedulerHarness::new(paging_settings(), &[listed(1)]);
    harness.report(1, &[0.1, 1.0]);
    let (q, act) = harness.arrive(1, 4 * S, 3);
    assert!(
        started_attempts(&act).is_empty(),
        "no start while the report is recent"
    );
    assert!(started_attempts(&harness.tick(2 * S)).is_empty());
    assert_eq!(started_attempts(&harness.tick(2 * S)), [(q.0, 1)]);
}

#[test]
fn preferred_engines_without_reports_get_no_whole_table_group() {
    let list: Vec<ListedEngine> = (1..=20).map(listed).collect();
    let mut harness = SchedulerHarness::new(subset_settings(), &list);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (q, act) = harness.arrive(0, 100 * MS, 3);
        used.extend(started_attempts(&act).iter().map(|s| s.1));
        harness.end(q, 0, Outcome::Ok, 100 * MS);
    }
    assert!(used.len() > 8, "{used:?}");
}

/// Engines used by a coordinator with this seed for many light queries, with the number of queries.
fn used(seed: u64, list: &[ListedEngine]) -> std::collections::BTreeMap<u64, usize> {
    let mut s = subset_settings();
    s.kinds[1].cores = Some(16.0);
    let mut harness = SchedulerHarness::seeded(s, list, seed);
    let mut used = std::collections::BTreeMap::new();
    for _ in 0..200 {
        let (q, act) = harness.arrive(0, 100 * MS, 3);
        started_attempts(&act)
            .iter()
            .for_each(|s| *used.entry(s.1).or_default() += 1);
        harness.end(q, 0, Outcome::Ok, 100 * MS);
    }
    used
}

#[test]
fn subset_uses_few_engines_and_each_coordinator_others() {
    let list: Vec<ListedEngine> = (1..=60).map(listed).collect();
    let (one, other) = (used(7, &list), used(8, &list));
    assert!(
        (8..=12).contains(&one.len()) && (8..=12).contains(&other.len()),
        "{one:?} {other:?}"
    );
    assert!(
        one.keys().filter(|e| other.contains_key(e)).count() < 7,
        "{one:?} {other:?}"
    );
    // An engine that leaves is replaced by one other, and the rest of the subset is unchanged.
    let left = *one.keys().next().unwrap();
    let rest: Vec<ListedEngine> = list
        .iter()
        .filter(|l| l.engine.0 != left)
        .copied()
        .collect();
    let after = used(7, &rest);
    assert_eq!(
        after.keys().filter(|e| !one.contains_key(e)).count(),
        1,
        "{one:?} {after:?}"
    );
}

#[test]
fn zone_is_lost_after_two_of_its_engines_are_lost() {
    let list: Vec<ListedEngine> = (1..=20)
        .map(|e| ListedEngine {
            zone: (e % 2) as u16,
            ..listed(e)
        })
        .collect();
    // A probe costs so much that queries earn no budget for one.
    let s = Settings {
        may_probe: true,
        probe_cost: 1e9,
        report_on_probe: true,
        ..subset_settings()
    };
    let mut harness = SchedulerHarness::new(s, &list);
    let mut lost = std::collections::BTreeSet::new();
    let mut send_query = |harness: &mut SchedulerHarness, down: bool| {
        let (q, act) = harness.arrive(0, 100 * MS, 3);
        let (mut to, mut attempt) = (started_attempts(&act)[0].1, 0);
        while down && to % 2 == 1 {
            lost.insert(to);
            to = started_attempts(&harness.end(q, attempt, Outcome::Unreachable, 250 * MS))[0].1;
            attempt += 1;
        }
        harness.end(q, attempt, Outcome::Ok, 100 * MS);
        to
    };
    let all: Vec<u64> = (0..60).map(|_| send_query(&mut harness, true)).collect();
    assert!(all.iter().all(|e| e % 2 == 0));
    // The lost zone is probed once per second, until any of its engines answers.
    let probed = probes(&harness.tick(4 * S));
    assert!(
        (3..=5).contains(&probed.len()) && probed.iter().all(|e| e % 2 == 1),
        "{probed:?}"
    );
    harness.event(Event::ProbeEnded {
        engine: EngineId(probed[0]),
        outcome: Outcome::Ok,
        report: &[0.1],
    });
    assert!((0..60).any(|_| send_query(&mut harness, false) % 2 == 1));
    assert_eq!(lost.len(), 2, "{lost:?}");
}

#[test]
fn suspected_engine_is_probed_and_ejected_until_it_answers() {
    let list: Vec<ListedEngine> = (1..=2).map(listed).collect();
    let mut harness = SchedulerHarness::new(
        Settings {
            may_probe: true,
            ..subset_settings()
        },
        &list,
    );
    assert_eq!(
        probes(&harness.event(Event::ProbeEnded {
            engine: EngineId(1),
            outcome: Outcome::Reset,
            report: &[]
        })),
        [1]
    );
    let send_query = |harness: &mut SchedulerHarness| {
        let (q, act) = harness.arrive(0, 100 * MS, 3);
        harness.end(q, 0, Outcome::Ok, 100 * MS);
        started_attempts(&act)[0].1
    };
    assert!((0..20).all(|_| send_query(&mut harness) == 2));
    harness.event(Event::ProbeEnded {
        engine: EngineId(1),
        outcome: Outcome::Ok,
        report: &[0.1],
    });
    assert!((0..20).any(|_| send_query(&mut harness) == 1));
}

#[test]
fn engine_with_some_errors_or_slow_runs_gets_few_queries() {
    let list: Vec<ListedEngine> = (1..=10).map(listed).collect();
    for returns_errors in [true, false] {
        let mut harness = SchedulerHarness::new(subset_settings(), &list);
        let (mut to_faulty, mut all) = (0, 0);
        for _ in 0..600 {
            // Neither the client nor the engine states the query's work.
            let query = Query {
                work: None,
                ..harness.query(0, 0, 3)
            };
            let (q, act) = (query.id, harness.event(Event::QueryArrived(query)));
            let mut to = started_attempts(&act)[0].1;
            let mut attempt = 0;
            (to_faulty, all) = (to_faulty + usize::from(to == 1), all + 1);
            if returns_errors && to == 1 && to_faulty % 2 == 1 {
                to = started_attempts(&harness.end(q, attempt, Outcome::Error, 10 * MS))[0].1;
                attempt += 1;
            }
            // The faulty engine is three times slower, which still meets the objective on average.
            harness.end(
                q,
                attempt,
                Outcome::Ok,
                if !returns_errors && to == 1 {
                    300 * MS
                } else {
                    100 * MS
                },
            );
            harness.now += 50 * MS;
        }
        assert!(
            to_faulty * 20 < all,
            "{to_faulty} of {all} went to the faulty engine, returns_errors: {returns_errors}"
        );
    }
}

#[test]
fn cluster_uses_slow_start_budget_without_exceeding_it() {
    let mut s = subset_settings();
    s.slow_start = Some(SlowStart {
        initial_share: 0.35,
        warm_up_time: 15 * S,
        overload_multiple: 4.0,
        window: 3 * S / 2,
    });
    let warm: Vec<ListedEngine> = (1..=10).map(listed).collect();
    let warming_up: Vec<ListedEngine> = (11..=20)
        .map(|e| ListedEngine {
            started_at: Some(100 * S - e),
            ..listed(e)
        })
        .collect();
    let (mut light, mut light_to_warming_up) = (0, 0);
    let mut budget = std::collections::BTreeMap::<u64, f64>::new();
    // 50 of the 100 coordinators, which together demand a third more than the cluster's capacity.
    for seed in 0..50 {
        let mut harness = SchedulerHarness::seeded(
            s.clone(),
            &[warm.clone(), warming_up.clone()].concat(),
            1000 + seed,
        );
        harness.tick(50 * MS);
        for n in 0..60 {
            // First the work of each class is learned; then follows one window with eight light
            // queries and one of the class in between.
            let (class, work) = if n % 9 == 8 {
                (2, 3 * S)
            } else {
                (0, 100 * MS)
            };
            let (q, act) = harness.arrive(class, work, n);
            for (_, to) in started_attempts(&act).into_iter().filter(|_| n >= 51) {
                light += usize::from(class == 0);
                light_to_warming_up += usize::from(class == 0 && to > 10);
                *budget.entry(to).or_default() += work as f64;
            }
            harness.end(q, 0, Outcome::Ok, if class == 0 { work } else { work / 2 });
            harness.tick(if n < 50 {
                0
            } else if n == 50 {
                2 * S
            } else {
                150 * MS
            });
        }
    }
    // At least half of the light queries, although the engines in slow start have a quarter of the
    // capacity.
    assert!(
        light_to_warming_up * 2 > light,
        "{light_to_warming_up} of {light}"
    );
    let most = 4.0 * 8.0 * 0.85 * 0.35 * 1.5 * S as f64;
    assert!(
        budget.iter().all(|(&e, &work)| e <= 10 || work < most),
        "{budget:?} over {most}"
    );
}

#[test]
fn engines_without_reports_get_queries_by_their_cores() {
    let list: Vec<ListedEngine> = (1..=60)
        .map(|e| ListedEngine {
            kind: (e % 2) as u16,
            ..listed(e)
        })
        .collect();
    let all: Vec<_> = (0..40).flat_map(|seed| used(seed, &list)).collect();
    let large: usize = all.iter().filter(|u| u.0 % 2 == 1).map(|u| u.1).sum();
    let part = large as f64 / all.iter().map(|u| u.1).sum::<usize>() as f64;
    assert!(
        (0.6..0.73).contains(&part),
        "two thirds of all cores took {part}"
    );
}

#[test]
fn wide_queries_wait_and_light_ones_pass_under_pressure() {
    // Pressure from a busy report, and from a report of more queries than the bound has threads
    // for.
    for (field, value) in [(ReportField::Busy, 1.0), (ReportField::Active, 40.0)] {
        let list: Vec<ListedEngine> = (1..=4).map(listed).collect();
        let mut harness = SchedulerHarness::new(
            Settings {
                report_fields: vec![field],
                ..subset_settings()
            },
            &list,
        );
        (1..=4).for_each(|e| harness.report(e, &[value]));
        harness.tick(50 * MS);
        let (_, first) = harness.arrive(2, 2 * S, 1);
        assert_eq!(
            started_attempts(&first).len(),
            1,
            "an idle coordinator may always start one"
        );
        let (_, wide) = harness.arrive(1, 8 * S, 2);
        assert!(started_attempts(&wide).is_empty(), "{field:?}");
        let (_, light) = harness.arrive(0, 100 * MS, 3);
        assert_eq!(started_attempts(&light).len(), 1, "{field:?}");
    }
}

#[test]
fn cluster_room_goes_to_queries_in_time_before_late_ones() {
    let mut s = subset_settings();
    s.classes = vec![
        class(4 * S, 10.0, 4.0),
        class(S, 1.0, 2.0),
        class(50 * S, 1.0, 2.0),
    ];
    (s.classes[1].kinds, s.classes[1].late_weight) = (Some(vec![0]), 0.5);
    s.classes[2].kinds = Some(vec![1]);
    let list = [
        listed(1),
        ListedEngine {
            kind: 1,
            ..listed(2)
        },
        listed(3),
        listed(4),
    ];
    let mut harness = SchedulerHarness::new(s, &list);
    (1..=4).for_each(|e| harness.report(e, &[1.0]));
    harness.tick(50 * MS);
    let (out, act) = harness.arrive(0, 4 * S, 1);
    assert_eq!(started_attempts(&act).len(), 1);
    let (_, late) = harness.arrive(1, 30 * S, 2);
    let (timely, act) = harness.arrive(2, 30 * S, 3);
    assert!(
        started_attempts(&late).is_empty() && started_attempts(&act).is_empty(),
        "no room for either"
    );
    let act = harness.end(out, 0, Outcome::Ok, S);
    assert_eq!(started_attempts(&act).first(), Some(&(timely.0, 2)));
}

#[test]
fn heavy_query_probes_first_when_answers_bring_no_reports() {
    let list: Vec<ListedEngine> = (1..=4).map(listed).collect();
    let mut s = Settings {
        report_on_probe: true,
        may_probe: true,
        ..subset_settings()
    };
    s.classes[1].latency_objective = 20 * S;
    for answered in [true, false] {
        let mut harness = SchedulerHarness::new(s.clone(), &list);
        // About forty light queries earn the budget for the probes of one heavy query.
        for _ in 0..45 {
            let (q, act) = harness.arrive(0, 100 * MS, 1);
            assert_eq!(
                started_attempts(&act).len(),
                1,
                "a light query does not wait for a probe"
            );
            harness.end(q, 0, Outcome::Ok, 100 * MS);
        }
        let (q, act) = harness.arrive(1, 60 * S, 2);
        let probed = probes(&act);
        assert!(
            probed.len() >= 2 && started_attempts(&act).is_empty(),
            "{act:?}"
        );
        let mut act = Vec::new();
        if answered {
            for (n, &e) in probed.iter().enumerate() {
                let busy = if n + 1 == probed.len() { 0.1 } else { 0.9 };
                act = harness.event(Event::ProbeEnded {
                    engine: EngineId(e),
                    outcome: Outcome::Ok,
                    report: &[busy],
                });
            }
            assert_eq!(started_attempts(&act), [(q.0, probed[probed.len() - 1])]);
        } else {
            act.extend(harness.tick(200 * MS));
            assert_eq!(
                started_attempts(&act).len(),
                1,
                "an unanswered probe does not delay it for long"
            );
        }
    }
}

#[test]
fn late_attempt_that_cannot_be_cancelled_is_left_running() {
    let mut s = subset_settings();
    s.may_cancel = false;
    let mut harness = SchedulerHarness::new(s, &[listed(1), listed(2)]);
    let (q, act) = harness.arrive(0, 500 * MS, 1);
    assert_eq!(started_attempts(&act).len(), 1);
    let act = harness.tick(8 * S);
    assert!(
        !act.iter()
            .any(|a| matches!(a, Action::Reject { query: id, .. } | Action::Fail(id) if *id == q)),
        "{act:?}"
    );
}

#[test]
fn spill_does_not_exclude_engine_with_few_coordinators() {
    let mut s = subset_settings();
    s.coordinators = 1;
    let mut harness = SchedulerHarness::new(s, &[listed(1), listed(2)]);
    harness.report(1, &[0.1]);
    harness.report(2, &[0.9]);
    let (q, act) = harness.arrive(0, 200 * MS, 1);
    assert_eq!(started_attempts(&act), [(q.0, 1)]);
    harness.event(Event::ProgressReported {
        query: q,
        attempt: 0,
        report: ProgressReport::Spills(100.0),
    });
    let (next, act) = harness.arrive(0, 200 * MS, 2);
    assert_eq!(
        started_attempts(&act),
        [(next.0, 1)],
        "the other engine is far busier"
    );
}

#[test]
fn light_queries_pass_the_bound_of_engine_full_of_wide_ones() {
    // Under pressure, 2 cores allow 2 x 2.2 + 2 = 6.4 threads: three wide queries. Light queries
    // may exceed that by one widest query. The queued wide queries do not block them: a light query
    // goes ahead of them and starts at once.
    let mut s = settings(vec![class(2 * S, 1.0, 1.0), class(10 * S, 1.0, 2.0)]);
    s.report_fields = vec![ReportField::Waiting];
    let mut harness = SchedulerHarness::new(s, &[listed(1)]);
    harness.report(1, &[1.0]);
    let mut started = |class, work| -> usize {
        (0..8)
            .map(|_| started_attempts(&harness.arrive(class, work, 1).1).len())
            .sum()
    };
    assert_eq!((started(1, 8 * S), started(0, 50 * MS)), (3, 2));
}

#[test]
fn coordinator_takes_the_share_of_others_that_are_down() {
    // The share of one of three coordinators on 4 cores is 4 x 2.2 x 2 / 3 + 1 = 6.9 threads. Under
    // pressure, which 9 active queries cause, the whole engine allows 4 x 2.2 + 1 = 9.8.
    let started = |others: f64| {
        let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
        (s.coordinators, s.report_fields) = (3, vec![ReportField::Active]);
        s.kinds[0].cores = Some(4.0);
        let mut harness = SchedulerHarness::new(s, &[listed(1)]);
        let mut started = 0;
        for _ in 0..20 {
            started += started_attempts(&harness.arrive(0, 30 * S, 1).1).len();
            harness.report(1, &[started as f64 + others]);
            started += started_attempts(&harness.tick(S)).len();
        }
        started
    };
    // While the load reports include queries of the other coordinators, the coordinator keeps to
    // its share; without such queries it uses the whole engine.
    assert!(
        started(3.0) <= 7 && started(0.0) >= 9,
        "{} and {}",
        started(3.0),
        started(0.0)
    );
}
