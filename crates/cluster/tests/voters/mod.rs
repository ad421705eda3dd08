//! Members that take part in what is agreed, on virtual time and with no faults: all that they send and store can be looked at.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{CompletedRequest, Consensus, Notice, Options, Peer};
use driftfront_cluster::{MemberStatus, Micros};

pub(crate) const SECOND: Micros = 1_000_000;
const STEP: Micros = 25_000;
/// Clocks begin here: a session is a clock's milliseconds, moved by 20 bits.
const BEGIN_MS: u64 = 1_764_600_000_000;

/// One member: its name, its part in the log, and the file that it keeps.
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) agreed: Consensus,
    pub(crate) file: Option<Vec<u8>>,
    /// All that was written to the file since this was last emptied, what was written over included.
    pub(crate) written: Vec<u8>,
    pub(crate) outcomes: Vec<CompletedRequest>,
}

/// A message on its way.
pub(crate) struct Sent {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

pub(crate) struct Voters {
    pub(crate) now: Micros,
    pub(crate) members: Vec<Member>,
    /// All that was sent since this was last emptied.
    pub(crate) sent: Vec<Sent>,
}

pub(crate) fn names(count: usize) -> Vec<String> {
    ["a", "b", "c", "d", "e"][..count]
        .iter()
        .map(|n| n.to_string())
        .collect()
}

/// A member's part: the first three are voters, and what each keeps is in this file.
pub(crate) fn open(number: usize, start: u64, file: Option<Vec<u8>>) -> Consensus {
    let options = Options {
        initial_voters: names(3),
        replace_after: 300 * SECOND,
        zone: format!("z{number}"),
        file,
    };
    let session = (BEGIN_MS + number as u64 + start) << 20;
    let (agreed, wrong) = Consensus::new(
        &names(5)[number],
        session,
        7 + number as u64 + start,
        options,
    );
    assert_eq!(wrong, None);
    agreed
}

impl Voters {
    /// Members with these files, of which the first three are the first voters.
    pub(crate) fn start(files: Vec<Option<Vec<u8>>>) -> Voters {
        let member = |(number, file): (usize, Option<Vec<u8>>)| Member {
            name: names(5)[number].clone(),
            agreed: open(number, 0, file.clone()),
            file,
            written: Vec::new(),
            outcomes: Vec::new(),
        };
        let members = files.into_iter().enumerate().map(member).collect();
        Voters {
            now: 0,
            members,
            sent: Vec::new(),
        }
    }

    /// The member's process ends and another of its name starts, with this file.
    pub(crate) fn restart(&mut self, number: usize, file: Option<Vec<u8>>) {
        let start = 1_000 + self.now / 1_000;
        self.members[number].agreed = open(number, start, file.clone());
        self.members[number].file = file;
    }

    pub(crate) fn clock(&self) -> Micros {
        BEGIN_MS * 1_000 + self.now
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.agreed.replica().is_some_and(|r| r.leads());
        self.members.iter().position(leads)
    }

    /// Plays on for so long; messages go where `deliver` says, or nowhere.
    pub(crate) fn play(&mut self, time: Micros, mut deliver: impl FnMut(&Sent) -> Option<usize>) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step(&mut deliver);
        }
    }

    fn step(&mut self, deliver: &mut impl FnMut(&Sent) -> Option<usize>) {
        let (now, clock) = (self.now, self.clock());
        let notices: Vec<Notice> = self.members.iter().map(|m| m.agreed.notice()).collect();
        let mut under_way = Vec::new();
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
            self.members[number].agreed.tick(now, clock, || others);
            self.collect(number, &mut under_way);
        }
        while let Some(sent) = under_way.pop() {
            if let Some(to) = deliver(&sent) {
                let from = self.members[sent.from].name.clone();
                self.members[to]
                    .agreed
                    .handle_message(now, clock, &from, &sent.bytes);
                self.collect(to, &mut under_way);
            }
            self.sent.push(sent);
        }
    }

    /// Stores what is to be stored, and gathers what is to be sent.
    fn collect(&mut self, number: usize, under_way: &mut Vec<Sent>) {
        let (now, all) = (self.now, names(5));
        let member = &mut self.members[number];
        while let Some(write) = member.agreed.next_write() {
            let file = member.file.as_mut().expect("a member that keeps a file");
            if write.replaces_file {
                file.clear();
            }
            file.extend(&write.bytes);
            member.written.extend(&write.bytes);
            member.agreed.confirm_write(now, write.number);
        }
        while let Some((to, bytes)) = member.agreed.next_outgoing() {
            let to = all.iter().position(|n| *n == to).expect("a member");
            under_way.push(Sent {
                from: number,
                to,
                bytes,
            });
        }
        while let Some(outcome) = member.agreed.next_outcome() {
            member.outcomes.push(outcome);
        }
    }

    /// Has something agreed; what became of it.
    pub(crate) fn ask(&mut self, number: usize, command: Command) -> Outcome {
        let clock = self.clock();
        let request = self.members[number]
            .agreed
            .submit(clock, command, 10 * SECOND);
        for _ in 0..200 {
            self.play(STEP, |sent| Some(sent.to));
            let answer = self.members[number]
                .outcomes
                .iter()
                .find(|completed| completed.number == request);
            if let Some(completed) = answer {
                return completed.result.clone().expect("an answer in time");
            }
        }
        panic!("no answer to request {request}");
    }
}
