//! Generates random fault scenarios: a period of faults, followed by a period without faults in which all members must converge to
//! the same view.

use crate::script::{Directions, FaultAction, Group, Link, Script, TimedAction};
use driftfront_cluster::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND: Micros = 1_000_000;
/// Earliest time of a fault. The members know each other by then.
const FAULTS_FROM: Micros = 5 * SECOND;
/// Length of the period of faults.
const FAULTS_DURATION: Micros = 20 * SECOND;
/// End of the period of faults: all links are healed, and all processes are resumed or started.
pub const QUIET_FROM: Micros = FAULTS_FROM + FAULTS_DURATION;
/// All members must converge to the same view within this time after the end of faults. Each member probes members that were down
/// every two seconds.
pub const CONVERGENCE_TIMEOUT: Micros = 30 * SECOND;
/// Maximum clock step, in seconds.
const MAX_CLOCK_STEP_SECONDS: i64 = 4000;

/// Draws a scenario from a seed. `sets_clocks` says whether it may step the members' clocks, which is not possible with real
/// processes.
pub fn draw(members: u32, seed: u64, sets_clocks: bool) -> Script {
    let mut rng = SmallRng::seed_from_u64(seed);
    let zones = 1 + rng.random_range(0..3);
    let mut generator = Generator {
        rng,
        members,
        zones,
        sets_clocks,
    };
    let mut actions = generator.draw_actions();
    actions.extend(recovery());
    actions.sort_by_key(|timed| timed.at);
    Script {
        members,
        zones,
        voters: 0,
        persists_log: false,
        replace_after: 10 * SECOND,
        seed,
        until: QUIET_FROM + CONVERGENCE_TIMEOUT,
        actions,
    }
}

/// Returns the actions that end all faults.
fn recovery() -> impl Iterator<Item = TimedAction> {
    let healthy = Link {
        delay: 1_000,
        jitter: 1_000,
        ..Link::default()
    };
    let actions = [
        FaultAction::Link(Group::All, Group::All, healthy),
        FaultAction::Heal,
        FaultAction::Resume(vec![Group::All]),
        FaultAction::Start(vec![Group::All]),
    ];
    actions.into_iter().map(|action| TimedAction {
        at: QUIET_FROM,
        action,
    })
}

/// Draws faults. The order and types of the draws must not change, since that would change the scenario of a seed.
struct Generator {
    rng: SmallRng,
    members: u32,
    zones: u32,
    sets_clocks: bool,
}

impl Generator {
    fn draw_actions(&mut self) -> Vec<TimedAction> {
        let count: i32 = 3 + self.rng.random_range(0..8);
        (0..count)
            .map(|_| TimedAction {
                at: FAULTS_FROM + self.rng.random_range(0..FAULTS_DURATION),
                action: self.draw_action(),
            })
            .collect()
    }

    fn draw_action(&mut self) -> FaultAction {
        let kind: i32 = self.rng.random_range(0..12);
        match kind {
            0..=2 => FaultAction::Kill(self.draw_members()),
            3 => FaultAction::Start(vec![Group::All]),
            4..=5 => FaultAction::Suspend(self.draw_members()),
            6 => FaultAction::Resume(vec![Group::All]),
            7 => FaultAction::Cut(self.draw_members(), self.draw_directions()),
            8 => {
                let zone = Group::Zone(self.rng.random_range(0..self.zones));
                FaultAction::Cut(vec![zone], Directions::BOTH)
            }
            9 => FaultAction::Heal,
            10 if self.sets_clocks => {
                let members = self.draw_members();
                let steps = -MAX_CLOCK_STEP_SECONDS..MAX_CLOCK_STEP_SECONDS;
                let seconds: i64 = self.rng.random_range(steps);
                FaultAction::Clock(members, seconds * SECOND as i64)
            }
            _ => {
                let link = self.draw_link();
                let receiver = Group::Member(self.rng.random_range(0..self.members));
                FaultAction::Link(Group::All, receiver, link)
            }
        }
    }

    /// Draws up to a third of all members, possibly with repetitions.
    fn draw_members(&mut self) -> Vec<Group> {
        let max = 1 + self.members / 3;
        let count: u32 = 1 + self.rng.random_range(0..max);
        (0..count)
            .map(|_| Group::Member(self.rng.random_range(0..self.members)))
            .collect()
    }

    fn draw_directions(&mut self) -> Directions {
        let choices = [Directions::BOTH, Directions::OUTGOING, Directions::INCOMING];
        let chosen: usize = self.rng.random_range(0..choices.len());
        choices[chosen]
    }

    fn draw_link(&mut self) -> Link {
        Link {
            loss: self.rng.random_range(0.0..0.4),
            duplication: self.rng.random_range(0.0..0.2),
            delay: self.rng.random_range(0..20_000),
            jitter: self.rng.random_range(0..30_000),
            is_cut: false,
            bytes_per_second: 0,
        }
    }
}
