//! The lease table.

use driftfront_cluster::consensus::leases::{
    Command, Entry, Leases, Outcome, RequestId, MAX_LEASES, MAX_LEASES_PER_OWNER, MAX_OWNERS,
    MAX_TEXT_BYTES,
};
use driftfront_cluster::Micros;
use quickcheck::quickcheck;

const S: Micros = 1_000_000;

fn acquire(resource: &str, duration: Micros, stays: bool) -> Command {
    Command::Acquire {
        resource: resource.into(),
        amount: 1,
        limit: 1,
        duration,
        stays,
        note: "test".into(),
    }
}

fn entry(time: Micros, owner: &str, request: u64, command: Command) -> Entry {
    Entry {
        time,
        owner: owner.into(),
        session: 1,
        request,
        command,
    }
}

#[test]
fn resource_is_granted_once_until_the_end_then_at_higher_fence() {
    let mut leases = Leases::starting_at(7_999, 0);
    let first = leases.apply(1, entry(S, "a", 1, acquire("out", 10 * S, false)));
    assert_eq!(
        first,
        Outcome::Granted {
            fence: (7 << 20) + 1
        }
    );
    let full = Outcome::LimitReached {
        granted: 1,
        wait: Some(9 * S),
    };
    assert_eq!(
        leases.apply(2, entry(2 * S, "b", 1, acquire("out", 10 * S, false))),
        full
    );
    assert_eq!(
        leases.apply(
            3,
            entry(
                3 * S,
                "b",
                2,
                Command::Release {
                    fence: (7 << 20) + 1
                }
            )
        ),
        Outcome::NotOwner
    );
    // The resource is free at the lease's end, and not before.
    assert!(matches!(
        leases.apply(4, entry(11 * S - 1, "b", 3, acquire("out", S, false))),
        Outcome::LimitReached { .. }
    ));
    let second = leases.apply(5, entry(11 * S, "b", 4, acquire("out", S, false)));
    assert_eq!(
        second,
        Outcome::Granted {
            fence: (7 << 20) + 5
        }
    );
    assert_eq!(
        leases.apply(
            6,
            entry(
                11 * S,
                "a",
                2,
                Command::Renew {
                    fence: (7 << 20) + 1,
                    duration: S
                }
            )
        ),
        Outcome::NotOwner
    );
}

#[test]
fn lease_that_stays_counts_beyond_its_end_until_revoked() {
    let mut leases = Leases::default();
    assert_eq!(
        leases.apply(1, entry(S, "a", 1, acquire("out", S, true))),
        Outcome::Granted { fence: 1 }
    );
    let full = Outcome::LimitReached {
        granted: 1,
        wait: None,
    };
    assert_eq!(
        leases.apply(2, entry(900 * S, "b", 1, acquire("out", S, false))),
        full
    );
    assert_eq!(leases.all().next().map(|s| s.time_left), Some(None));
    assert_eq!(
        leases.apply(3, entry(901 * S, "b", 2, Command::Revoke { fence: 1 })),
        Outcome::Released
    );
    assert!(matches!(
        leases.apply(4, entry(902 * S, "b", 3, acquire("out", S, false))),
        Outcome::Granted { .. }
    ));
}

#[test]
fn repeated_request_counts_once_and_earlier_session_is_stale() {
    let mut leases = Leases::default();
    let request = entry(S, "a", 5, acquire("out", 10 * S, false));
    let first = leases.apply(1, request.clone());
    assert_eq!(leases.apply(2, request), first);
    assert_eq!(
        leases.outcome(
            "a",
            RequestId {
                session: 1,
                number: 5
            }
        ),
        Some(&first)
    );
    assert_eq!(
        leases.apply(3, entry(S, "a", 4, Command::Release { fence: 1 })),
        Outcome::Stale
    );
    // The next process of that name may release or renew the leases of its name; the earlier process may not.
    let later = Entry {
        session: 2,
        ..entry(
            2 * S,
            "a",
            1,
            Command::Renew {
                fence: 1,
                duration: 60 * S,
            },
        )
    };
    assert_eq!(leases.apply(4, later), Outcome::Renewed);
    assert_eq!(
        leases.apply(5, entry(3 * S, "a", 6, Command::Release { fence: 1 })),
        Outcome::Stale
    );
    assert_eq!(leases.granted_of("out"), 1);
}

#[test]
fn nothing_is_granted_in_the_grace_time_after_bootstrap() {
    let mut leases = Leases::starting_at(1, 30 * S);
    assert_eq!(
        leases.apply(1, entry(10 * S, "a", 1, acquire("x", S, false))),
        Outcome::TooEarly { wait: 20 * S }
    );
    assert!(matches!(
        leases.apply(2, entry(30 * S, "a", 2, acquire("x", S, false))),
        Outcome::Granted { .. }
    ));
}

#[test]
fn leases_owners_and_texts_are_bounded() {
    let mut leases = Leases::default();
    let mut index = 0;
    let mut request = |leases: &mut Leases, owner: &str, resource: &str| {
        index += 1;
        leases.apply(
            index,
            entry(S, owner, index, acquire(resource, 10 * S, false)),
        )
    };
    for n in 0..MAX_LEASES_PER_OWNER {
        assert!(matches!(
            request(&mut leases, "a", &format!("p{n}")),
            Outcome::Granted { .. }
        ));
    }
    assert_eq!(request(&mut leases, "a", "one more"), Outcome::OutOfBounds);
    for n in 0..MAX_OWNERS + 50 {
        request(&mut leases, &format!("o{n}"), &format!("q{n}"));
    }
    assert_eq!(leases.all().count(), MAX_LEASES);
    let is_remembered = |owner: &str, number: usize| {
        let number = number as u64;
        let request = RequestId { session: 1, number };
        leases.outcome(owner, request).is_some()
    };
    // Request numbers continue across owners.
    let of_first = MAX_LEASES_PER_OWNER + 1;
    let remembered =
        (0..MAX_OWNERS + 50).filter(|n| is_remembered(&format!("o{n}"), of_first + 1 + n));
    let count = remembered.count() + usize::from(is_remembered("a", of_first));
    assert_eq!(count, MAX_OWNERS);
    assert_eq!(
        request(&mut leases, "b", &"x".repeat(MAX_TEXT_BYTES + 1)),
        Outcome::OutOfBounds
    );
}

#[test]
fn granted_amount_never_exceeds_the_limit() {
    fn is_within_limit(requests: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut leases = Leases::default();
        let mut time = 0;
        requests
            .into_iter()
            .enumerate()
            .all(|(n, (what, who, amount, delay))| {
                time += Micros::from(delay) * 100_000;
                let fence = 1 + u64::from(amount) % (n as u64 + 1);
                let command = match what % 4 {
                    0 | 1 => Command::Acquire {
                        resource: "p".into(),
                        amount: u32::from(amount % 4),
                        limit: 5,
                        duration: S * Micros::from(what),
                        stays: what % 8 == 0,
                        note: String::new(),
                    },
                    2 => Command::Renew { fence, duration: S },
                    _ => Command::Release { fence },
                };
                leases.apply(
                    n as u64 + 1,
                    entry(time, &format!("o{}", who % 3), n as u64 + 1, command),
                );
                leases.granted_of("p") <= 5
            })
    }
    quickcheck(is_within_limit as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
