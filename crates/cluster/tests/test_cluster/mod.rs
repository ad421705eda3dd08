//! A cluster of consensus participants on virtual time, without faults, which records all messages and writes.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{CompletedRequest, Consensus, Notice, Options, Peer};
use driftfront_cluster::{MemberStatus, Micros};

pub(crate) const SECOND: Micros = 1_000_000;
const STEP: Micros = 25_000;
/// The start of all clocks. A session is the clock in milliseconds, shifted left by 20 bits.
const START_MS: u64 = 1_764_600_000_000;

/// One member: its name, its consensus participant, and the content of its log file.
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) consensus: Consensus,
    pub(crate) file: Option<Vec<u8>>,
    /// All bytes written to the file since this was last cleared, including overwritten ones.
    pub(crate) written: Vec<u8>,
    pub(crate) outcomes: Vec<CompletedRequest>,
}

/// A message that was sent.
pub(crate) struct Sent {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

pub(crate) struct TestCluster {
    pub(crate) now: Micros,
    pub(crate) members: Vec<Member>,
    /// All messages sent since this was last cleared.
    pub(crate) sent: Vec<Sent>,
}

pub(crate) fn names(count: usize) -> Vec<String> {
    ["a", "b", "c", "d", "e"][..count]
        .iter()
        .map(|n| n.to_string())
        .collect()
}

/// Opens a member's participant with this log file. The first three members are the initial voters.
pub(crate) fn open(number: usize, start: u64, file: Option<Vec<u8>>) -> Consensus {
    let options = Options {
        initial_voters: names(3),
        replace_after: 300 * SECOND,
        zone: format!("z{number}"),
        file,
    };
    let session = (START_MS + number as u64 + start) << 20;
    let (consensus, error) = Consensus::new(
        &names(5)[number],
        session,
        7 + number as u64 + start,
        options,
    );
    assert_eq!(error, None);
    consensus
}

impl TestCluster {
    /// Starts one member for each log file. The first three are the initial voters.
    pub(crate) fn start(files: Vec<Option<Vec<u8>>>) -> TestCluster {
        let member = |(number, file): (usize, Option<Vec<u8>>)| Member {
            name: names(5)[number].clone(),
            consensus: open(number, 0, file.clone()),
            file,
            written: Vec::new(),
            outcomes: Vec::new(),
        };
        let members = files.into_iter().enumerate().map(member).collect();
        TestCluster {
            now: 0,
            members,
            sent: Vec::new(),
        }
    }

    /// Replaces the member's process by a new one of the same name, with this log file.
    pub(crate) fn restart(&mut self, number: usize, file: Option<Vec<u8>>) {
        let start = 1_000 + self.now / 1_000;
        self.members[number].consensus = open(number, start, file.clone());
        self.members[number].file = file;
    }

    pub(crate) fn clock(&self) -> Micros {
        START_MS * 1_000 + self.now
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.consensus.replica().is_some_and(|r| r.leads());
        self.members.iter().position(leads)
    }

    /// Advances virtual time. `deliver` returns the receiver of each message, or `None` to drop it.
    pub(crate) fn run_for(
        &mut self,
        time: Micros,
        mut deliver: impl FnMut(&Sent) -> Option<usize>,
    ) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step(&mut deliver);
        }
    }

    fn step(&mut self, deliver: &mut impl FnMut(&Sent) -> Option<usize>) {
        let (now, clock) = (self.now, self.clock());
        let notices: Vec<Notice> = self.members.iter().map(|m| m.consensus.notice()).collect();
        let mut in_flight = Vec::new();
        for number in 0..self.members.len() {
            let peer = |other: usize| Peer {
                name: names(5)[other].clone(),
                status: MemberStatus::Alive,
                status_age: now,
                zone: format!("z{other}"),
                notice: Some(notices[other].clone()),
            };
            let others: Vec<Peer> = (0..notices.len())
                .filter(|&o| o != number)
                .map(peer)
                .collect();
            self.members[number].consensus.tick(now, clock, || others);
            self.collect(number, &mut in_flight);
        }
        while let Some(sent) = in_flight.pop() {
            if let Some(to) = deliver(&sent) {
                let from = self.members[sent.from].name.clone();
                self.members[to]
                    .consensus
                    .handle_message(now, clock, &from, &sent.bytes);
                self.collect(to, &mut in_flight);
            }
            self.sent.push(sent);
        }
    }

    /// Applies and confirms a member's writes, and collects its messages and completed requests.
    fn collect(&mut self, number: usize, in_flight: &mut Vec<Sent>) {
        let (now, all) = (self.now, names(5));
        let member = &mut self.members[number];
        while let Some(write) = member.consensus.next_write() {
            let file = member.file.as_mut().expect("a member with a log file");
            if write.replaces_file {
                file.clear();
            }
            file.extend(&write.bytes);
            member.written.extend(&write.bytes);
            member.consensus.confirm_write(now, write.number);
        }
        while let Some((to, bytes)) = member.consensus.next_outgoing() {
            let to = all.iter().position(|n| *n == to).expect("a member");
            in_flight.push(Sent {
                from: number,
                to,
                bytes,
            });
        }
        while let Some(outcome) = member.consensus.next_outcome() {
            member.outcomes.push(outcome);
        }
    }

    /// Submits a command and runs until its outcome is known.
    pub(crate) fn execute(&mut self, number: usize, command: Command) -> Outcome {
        let clock = self.clock();
        let request = self.members[number]
            .consensus
            .submit(clock, command, 10 * SECOND);
        for _ in 0..200 {
            self.run_for(STEP, |sent| Some(sent.to));
            let completed = self.members[number]
                .outcomes
                .iter()
                .find(|completed| completed.number == request);
            if let Some(completed) = completed {
                return completed.result.clone().expect("an outcome in time");
            }
        }
        panic!("request {request} was not completed");
    }
}
