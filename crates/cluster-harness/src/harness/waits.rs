//! Waits until members report an expected state. Each wait panics after [`TEST_TIMEOUT`] with the state seen instead.

use super::ClusterHarness;
use crate::{Member, TEST_TIMEOUT};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ClusterHarness {
    /// Waits until all of `by` report the same leader, which is one of them and not `not`. Returns its number.
    pub fn wait_for_leader(&self, by: &[u32], not: Option<u32>) -> u32 {
        let mut elected = None;
        self.poll_until(
            Instant::now() + TEST_TIMEOUT,
            || {
                elected = self
                    .leader(by)
                    .filter(|leader| by.contains(leader) && Some(*leader) != not);
                elected.is_some()
            },
            || {
                format!(
                    "{by:?} do not report a common leader:\n{}",
                    self.consensus_views(by)
                )
            },
        );
        let leader = elected.expect("a leader ended the wait");
        self.log
            .record(format!("{by:?} report m{leader} as leader"));
        leader
    }

    fn consensus_views(&self, by: &[u32]) -> String {
        let views = by.iter().map(|&m| format!("{:?}", self.consensus(m)));
        views.collect::<Vec<_>>().join("\n")
    }

    /// Waits until each of `by` sees exactly `expected`.
    pub fn wait_until_members_are(&self, by: &[u32], expected: &[u32]) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        for &member in by {
            self.poll_until(
                deadline,
                || self.sees_exactly(member, expected),
                || {
                    let seen = self.members_seen_by(member);
                    format!("m{member} sees {seen:?}, not {expected:?}")
                },
            );
        }
        self.log.record(format!("{by:?} see {expected:?}"));
    }

    /// Waits until the members that a member sees satisfy `condition`, which `description` describes in the failure message.
    pub fn wait_until_members(
        &self,
        by: u32,
        description: &str,
        condition: impl Fn(&[Member]) -> bool,
    ) {
        self.poll_until(
            Instant::now() + TEST_TIMEOUT,
            || condition(&self.members_seen_by(by)),
            || {
                let seen = self.members_seen_by(by);
                format!("m{by}: timed out waiting for: {description}; it sees {seen:?}")
            },
        );
    }

    /// Waits until a member's counter has reached `minimum`.
    pub fn wait_for_counter(&self, member: u32, counter: &str, minimum: u64) {
        self.poll_until(
            Instant::now() + TEST_TIMEOUT,
            || self.counter(member, counter) >= minimum,
            || format!("m{member}: {counter} did not reach {minimum}"),
        );
    }

    /// Polls until `is_done` returns true. Panics after the deadline with a description and the event log.
    fn poll_until(
        &self,
        deadline: Instant,
        mut is_done: impl FnMut() -> bool,
        describe: impl Fn() -> String,
    ) {
        while !is_done() {
            assert!(
                Instant::now() < deadline,
                "{}\n{}",
                describe(),
                self.log.text()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
