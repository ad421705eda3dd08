//! Bootstrap of a log.
#![allow(clippy::too_many_lines, reason = "a scenario reads from top to bottom")]

use driftfront_cluster::consensus::{Announcement, Bootstrap};
use std::collections::{BTreeMap, BTreeSet};

fn names() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

#[test]
fn log_is_bootstrapped_once_all_initial_voters_promised() {
    let mut a = Bootstrap::new("a", 1, &names()).unwrap();
    let empty = |id| {
        Some(Announcement {
            replica_id: id,
            cluster_id: 0,
            promised: 0,
        })
    };
    assert!(a.poll(|n| if n == "b" { empty(2) } else { None }).is_none());
    assert_eq!(
        (
            a.promised(),
            a.missing(|n| if n == "b" { empty(2) } else { None })
        ),
        (0, vec!["c".to_string()])
    );
    assert!(a.poll(|n| empty(if n == "b" { 2 } else { 3 })).is_none());
    let set = a.promised();
    assert!(set != 0);
    let one_promised = |n: &str| {
        Some(Announcement {
            replica_id: if n == "b" { 2 } else { 3 },
            cluster_id: 0,
            promised: if n == "b" { set } else { 0 },
        })
    };
    assert!(a.poll(one_promised).is_none());
    let all_promised = |n: &str| {
        Some(Announcement {
            replica_id: if n == "b" { 2 } else { 3 },
            cluster_id: 0,
            promised: set,
        })
    };
    assert_eq!(
        a.poll(all_promised)
            .map(|f| (f.cluster_id, f.replica_id, f.initial_voters.len())),
        Some((set, 1, 3))
    );
    assert!(Bootstrap::new("d", 1, &names()).is_none());
}

/// Initial voters restart and see each other's announcements late. At no time may two bootstrapped logs both have a majority
/// of live processes, since both could then grant leases.
#[test]
fn two_logs_never_have_a_living_majority_each() {
    #[derive(Clone)]
    struct Process {
        id: u64,
        bootstrap: Bootstrap,
        cluster: u64,
    }
    fn is_safe(steps: Vec<(u8, u8)>) -> bool {
        let all = names();
        let mut next = 10;
        let mut fresh = |n: usize| {
            next += 1;
            Process {
                id: next,
                bootstrap: Bootstrap::new(&all[n], next, &all).unwrap(),
                cluster: 0,
            }
        };
        let mut processes: Vec<Process> = (0..3).map(&mut fresh).collect();
        // The last announcement that each process has seen of each other one.
        let mut seen: BTreeMap<(usize, usize), Announcement> = BTreeMap::new();
        let mut sets: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        steps.into_iter().all(|(what, who)| {
            let (n, m) = (usize::from(who) % 3, usize::from(who / 3) % 3);
            match what % 8 {
                0 => {
                    // The process restarts, and has seen no announcements.
                    processes[n] = fresh(n);
                    seen.retain(|k, _| k.0 != n);
                }
                1..=3 => {
                    let process = &processes[m];
                    let announcement = Announcement {
                        replica_id: process.id,
                        cluster_id: process.cluster,
                        promised: process.bootstrap.promised(),
                    };
                    seen.insert((n, m), announcement);
                }
                _ if processes[n].cluster == 0 => {
                    let view =
                        |name: &str| seen.get(&(n, all.iter().position(|a| a == name)?)).copied();
                    if let Some(identity) = processes[n].bootstrap.poll(view) {
                        processes[n].cluster = identity.cluster_id;
                        sets.insert(
                            identity.cluster_id,
                            identity.initial_voters.iter().map(|v| v.id).collect(),
                        );
                    }
                }
                _ => {}
            }
            let majority = |(cluster, set): (&u64, &BTreeSet<u64>)| {
                processes
                    .iter()
                    .filter(|o| o.cluster == *cluster && set.contains(&o.id))
                    .count()
                    >= 2
            };
            sets.iter().filter(|s| majority((s.0, s.1))).count() <= 1
        })
    }
    let mut check = quickcheck::QuickCheck::new().tests(3000);
    check.quickcheck(is_safe as fn(Vec<(u8, u8)>) -> bool);
    quickcheck::quickcheck(is_safe as fn(Vec<(u8, u8)>) -> bool);
}
