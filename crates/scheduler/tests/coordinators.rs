//! Many controllers side by side, each with a small share of every engine.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the numbers of these tests are small"
)]

use driftfront_scheduler::Controller;
use driftfront_scheduler::*;
use driftfront_test_support::scheduler::*;

struct CoordinatorGroup {
    all: Vec<Controller>,
    now: u64,
    next: u64,
    /// Coordinator, query, engine and class of each attempt in flight.
    in_flight: Vec<(usize, QueryId, u64, u16)>,
    probes: usize,
    messages: usize,
    sent: Vec<(u64, u64, u16)>,
}

impl CoordinatorGroup {
    fn new(coordinators: u32, settings: &Settings, engines: &[ListedEngine]) -> CoordinatorGroup {
        let one = |number| {
            let settings = Settings {
                coordinators,
                number,
                ..settings.clone()
            };
            let mut c = Controller::new(settings, u64::from(number) * 77 + 1);
            c.handle(
                100 * S,
                Event::EnginesListed {
                    kind: ListKind::Cached,
                    engines,
                },
                &mut Vec::new(),
            );
            c
        };
        let all = (0..coordinators).map(one).collect();
        CoordinatorGroup {
            all,
            now: 100 * S,
            next: 1,
            in_flight: vec![],
            probes: 0,
            messages: 0,
            sent: vec![],
        }
    }
    fn deliver(&mut self, coordinator: usize, event: Event) {
        let mut act = Vec::new();
        self.all[coordinator].handle(self.now, event, &mut act);
        for a in act {
            match a {
                Action::StartAttempt {
                    query: q,
                    engine: e,
                    ..
                } => {
                    let class = (q.0 % 5 == 0) as u16;
                    self.in_flight.push((coordinator, q, e.0, class));
                    self.sent.push((self.now, e.0, class));
                }
                Action::Probe(_) => self.probes += 1,
                Action::SendGossip { .. } => self.messages += 1,
                Action::Reject { query: q, .. } | Action::Fail(q) => {
                    self.in_flight.retain(|o| o.1 != q)
                }
                _ => {}
            }
        }
    }
    /// Every fifth query is of the wide class 1; the others are of class 0.
    fn arrive(&mut self, coordinator: usize) {
        let id = QueryId(self.next);
        self.next += 1;
        let class = (id.0 % 5 == 0) as u16;
        let work = Some(if class == 1 { 2e6 } else { 2e5 });
        let q = Query {
            id,
            class,
            tenant: 0,
            work,
            memory_mb: None,
            table_group: 3,
            ordering_key: None,
            has_idempotency_key: true,
            idempotent_until: None,
            runs_once: false,
            sticky_session: None,
            client_timeout: 20 * S,
        };
        self.deliver(coordinator, Event::QueryArrived(q));
    }
    fn tick(&mut self) {
        self.now += 50 * MS;
        for g in 0..self.all.len() {
            self.deliver(g, Event::TimerFired(0));
        }
    }
    fn finish(&mut self, n: usize) {
        let (coordinator, query, _, class) = self.in_flight.remove(n);
        let work = Some(if class == 1 { 2e6 } else { 2e5 });
        let (outcome, spent) = (Outcome::Ok, if class == 1 { 500 * MS } else { 200 * MS });
        let end = AttemptEnded {
            query,
            attempt: 0,
            outcome,
            query_answered: true,
            elapsed: spent,
            work,
            memory_mb: None,
            report: &[0.5],
        };
        self.deliver(coordinator, Event::AttemptEnded(end));
    }
}

fn group_settings() -> Settings {
    let mut s = settings(vec![class(S, 1.0, 1.0), class(3 * S, 10.0, 4.0)]);
    s.kinds = vec![MachineKind {
        cores: Some(8.0),
        memory_mb: None,
    }];
    s.report_fields = vec![ReportField::Busy];
    (s.may_gossip, s.may_probe) = (true, true);
    s
}

#[test]
fn probes_and_gossip_are_bounded_by_queries() {
    for (coordinators, engines) in [(40, 10), (80, 40)] {
        let list: Vec<ListedEngine> = (1..=engines).map(listed).collect();
        let mut group = CoordinatorGroup::new(coordinators, &group_settings(), &list);
        for _ in 0..1000 {
            let g = group.next as usize % group.all.len();
            group.arrive(g);
            group.tick();
            while !group.in_flight.is_empty() {
                group.finish(0);
            }
        }
        assert!(
            group.messages > 0 && group.messages <= 500,
            "{} messages for 1000 queries",
            group.messages
        );
        assert!(
            group.probes > 0 && group.probes <= 100,
            "{} probes for 1000 queries",
            group.probes
        );
    }
}

#[test]
fn coordinators_together_keep_the_slow_start_budget() {
    let mut cfg = group_settings();
    cfg.slow_start = Some(SlowStart {
        initial_share: 0.3,
        warm_up_time: 12 * S,
        overload_multiple: 2.5,
        window: 2 * S,
    });
    let mut list: Vec<ListedEngine> = (1..=20).map(listed).collect();
    let mut group = CoordinatorGroup::new(100, &cfg, &list);
    // The engines that random draws select differ by draw; six seconds cover enough draws.
    let step = |group: &mut CoordinatorGroup| {
        for _ in 0..10 {
            let g = (group.next * 37 % 100) as usize;
            group.arrive(g);
        }
        group.tick();
        while group.in_flight.len() > 30 {
            group.finish(0);
        }
    };
    // Ten seconds in which every coordinator learns the work of its queries.
    (0..200).for_each(|_| step(&mut group));
    list[4].started_at = Some(group.now);
    for g in 0..group.all.len() {
        group.deliver(
            g,
            Event::EnginesListed {
                kind: ListKind::Full,
                engines: &list,
            },
        );
    }
    let started_at = group.now;
    (0..120).for_each(|_| step(&mut group));
    let slow_start: Vec<(u64, f64)> = group
        .sent
        .iter()
        .filter(|s| s.0 > started_at && s.1 == 5)
        .map(|s| (s.0, if s.2 == 1 { 2e6 } else { 2e5 }))
        .collect();
    assert!(
        slow_start.len() >= 5,
        "an engine in slow start got {} queries in 6 s",
        slow_start.len()
    );
    let budget = 2.5 * 0.3 * 8.0 * 0.85 * 2e6;
    for (start, _) in &slow_start {
        let work: f64 = slow_start
            .iter()
            .filter(|c| (*start..*start + 2 * S).contains(&c.0))
            .map(|c| c.1)
            .sum();
        assert!(work <= budget, "{work} of {budget}");
    }
}

#[test]
fn coordinators_together_keep_near_the_thread_bound() {
    let list: Vec<ListedEngine> = (1..=20).map(listed).collect();
    let mut group = CoordinatorGroup::new(100, &group_settings(), &list);
    // A burst in which nothing ends: 2000 queries within a second on 160 cores.
    for n in 0..2000 {
        group.arrive(n % 100);
        if n % 100 == 99 {
            group.tick();
        }
    }
    let threads: f64 = group
        .in_flight
        .iter()
        .map(|o| if o.3 == 1 { 4.0 } else { 1.0 })
        .sum();
    // Without a cluster-wide bound each coordinator could start a wide query on every engine: 3200
    // threads.
    assert!(threads / 160.0 < 8.0, "{threads} threads on 160 cores");
    assert!(threads / 160.0 > 1.0, "{threads} threads on 160 cores");
}
