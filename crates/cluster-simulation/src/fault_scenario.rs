//! Scripts drawn at random: a storm of faults, then quiet. What must hold after is the same for all: one view again.

use crate::script::{FaultAction, Group, Link, Script};
use driftfront_cluster::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const S: Micros = 1_000_000;
/// The storm lasts this long, from the script's fifth second on; then all is healed, woken and started again.
pub const STORM: Micros = 20 * S;
/// When it is quiet.
pub const QUIET: Micros = 25 * S;
/// One view again is owed this long after: what went down before the quiet is asked each two seconds, by each.
pub const OWED: Micros = 30 * S;

/// A storm over so many members, by its seed. `clocks`: some are set, too, where the rig can do that.
pub fn storm(members: u32, seed: u64, clocks: bool) -> Script {
    let mut rng = SmallRng::seed_from_u64(seed);
    let zones = 1 + rng.random_range(0..3);
    let mut actions = Vec::new();
    let some = |rng: &mut SmallRng| -> Vec<Group> {
        let most = 1 + members / 3;
        (0..1 + rng.random_range(0..most))
            .map(|_| Group::Member(rng.random_range(0..members)))
            .collect()
    };
    for _ in 0..3 + rng.random_range(0..8) {
        let at = 5 * S + rng.random_range(0..STORM);
        let action = match rng.random_range(0..12) {
            0..=2 => FaultAction::Kill(some(&mut rng)),
            3 => FaultAction::Start(vec![Group::All]),
            4..=5 => FaultAction::Stop(some(&mut rng)),
            6 => FaultAction::Wake(vec![Group::All]),
            7 => FaultAction::Cut(
                some(&mut rng),
                [(true, true), (true, false), (false, true)][rng.random_range(0..3)],
            ),
            8 => FaultAction::Cut(vec![Group::Zone(rng.random_range(0..zones))], (true, true)),
            9 => FaultAction::Heal,
            10 if clocks => {
                FaultAction::Clock(some(&mut rng), rng.random_range(-4000..4000) * S as i64)
            }
            _ => {
                let link = Link {
                    loss: rng.random_range(0.0..0.4),
                    repeat: rng.random_range(0.0..0.2),
                    delay: rng.random_range(0..20_000),
                    jitter: rng.random_range(0..30_000),
                    cut: false,
                    throttle: 0,
                };
                FaultAction::Link(
                    Group::All,
                    Group::Member(rng.random_range(0..members)),
                    link,
                )
            }
        };
        actions.push((at, action));
    }
    let calm = Link {
        delay: 1_000,
        jitter: 1_000,
        ..Link::default()
    };
    let last = [
        FaultAction::Link(Group::All, Group::All, calm),
        FaultAction::Heal,
        FaultAction::Wake(vec![Group::All]),
        FaultAction::Start(vec![Group::All]),
    ];
    actions.extend(last.into_iter().map(|d| (QUIET, d)));
    actions.sort_by_key(|d| d.0);
    Script {
        members,
        zones,
        voters: 0,
        keeps: false,
        replace_after: 10 * S,
        seed,
        until: QUIET + OWED,
        actions,
    }
}
