//! Starts, suspends, resumes and ends processes.

use super::events::Event;
use super::{keyring, member_addr, member_name, World, TICK_INTERVAL};
use driftfront_cluster::{consensus, Identity, MemberMetadata, Options};
use rand::Rng;

/// Number of seed members, whose addresses all members know from the start.
const SEEDS: u32 = 3;

impl World {
    /// Starts a member's process unless it is running.
    pub(super) fn start(&mut self, member: u32) {
        // Drawn even if the process is running, so that the following draws don't depend on it.
        let seed = self.rng.random();
        let first_tick = self.rng.random_range(0..TICK_INTERVAL);
        let session = Identity::session_at(self.clock(member), self.rng.random());
        if self.process(member).agent.is_some() {
            return;
        }
        let clock = self.clock(member);
        let options = self.agent_options(member, session, seed);
        self.process_mut(member).start(clock, options);
        self.events
            .schedule(self.now + first_tick, Event::Tick(member));
    }

    fn agent_options(&self, member: u32, session: u64, seed: u64) -> Options {
        let script = &self.script;
        let process = self.process(member);
        let zone = format!("z{}", member % script.zones);
        let consensus = (script.voters > 0).then(|| consensus::Options {
            initial_voters: (0..script.voters).map(member_name).collect(),
            replace_after: script.replace_after,
            zone: zone.clone(),
            file: script.persists_log.then(|| process.disk.clone()),
        });
        Options {
            identity: Identity {
                name: member_name(member),
                addr: member_addr(member),
                session,
                rejoins: 0,
            },
            metadata: MemberMetadata {
                zone,
                build: "lab".into(),
                since_ms: process.clock(self.now) / 1000,
                ..MemberMetadata::default()
            },
            keys: keyring(),
            seeds: (0..SEEDS.min(script.members)).map(member_addr).collect(),
            seed,
            consensus,
        }
    }

    /// Kills a member's process, which does not leave the cluster first.
    pub(super) fn kill(&mut self, member: u32) {
        let rng = &mut self.rng;
        let process = &mut self.processes[member as usize];
        process.end(|length| rng.random_range(0..=length));
        if let Some(workload) = &mut self.lease_workload {
            workload.forget_requests(member);
        }
        self.views.retain(|(observer, _), _| *observer != member);
    }

    pub(super) fn suspend(&mut self, member: u32) {
        self.process_mut(member).is_suspended = true;
    }

    /// Resumes a suspended process, which then reads the datagrams that have arrived.
    pub(super) fn resume(&mut self, member: u32) {
        self.process_mut(member).is_suspended = false;
        self.handle_arrived(member);
    }

    /// Makes a member leave the cluster, and ends its process.
    pub(super) fn leave(&mut self, member: u32) {
        let clock = self.clock(member);
        if let Some(agent) = self.agent(member) {
            agent.leave(clock);
        }
        self.handle_arrived(member);
        self.kill(member);
    }
}
