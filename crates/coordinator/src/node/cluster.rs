//! The fleet's hands: a UDP socket, read before any of the unit's timers runs, and never for long at once. All of it is
//! there only where the operator's file has a `fleet`.

mod consensus;
mod holds;
mod log_file;

use super::{EventSource, Node};
use crate::config::ClusterConfig;
use crate::discovery::EngineListUpdate;
use driftfront_cluster::{
    Cluster, Identity, Keyring, MemberMetadata, MemberStatus, Options, State, MAX_DATAGRAM_BYTES,
};
use driftfront_control::snapshot::Member;
use driftfront_core::{lifecycle, ListKind, Micros, Phase};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Datagrams read before other sources have their turn, and the time that they may take: the loop serves clients first.
const TURN: usize = 128;
const TIME: Duration = Duration::from_millis(2);
/// Coordinators of the engines' list that are kept as seeds.
const LISTED_MOST: usize = 256;
/// Bytes that the socket holds while the loop is elsewhere.
const SOCKET_HOLDS: usize = 1024 * 1024;

/// The fleet as this process takes part in it.
pub(super) struct ClusterRuntime {
    socket: Rc<UdpSocket>,
    unit: Cluster,
    about: MemberMetadata,
    began: Instant,
    clock: Micros,
    /// Coordinators that the engines' list names: seeds as those of the operator's file.
    listed: BTreeMap<String, SocketAddr>,
    /// The consensus log's file, and operators that wait for it.
    consensus: consensus::ConsensusHost,
    /// Turns that ended with more to read.
    cut_short: u64,
    /// Datagrams that the system would not send.
    unsent: u64,
    /// The longest turn, in microseconds.
    longest: u64,
}

impl ClusterRuntime {
    /// A clock that no one sets: the fleet's time must not jump with the system's.
    fn clock(&self) -> Micros {
        self.clock + self.began.elapsed().as_micros() as Micros
    }
}

/// Reads a key file that nobody else can read.
pub fn read_keys(path: &Path) -> Result<Keyring, String> {
    let told = |e: String| format!("{}: {e}", path.display());
    let meta = std::fs::metadata(path).map_err(|e| told(e.to_string()))?;
    let mode = meta.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(told(format!(
            "its mode is {:03o}: others can read it; chmod 600 it",
            mode & 0o777
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
    Keyring::parse(&text).map_err(told)
}

fn state(state: lifecycle::State) -> State {
    match state {
        lifecycle::State::Starting => State::Starting,
        lifecycle::State::Ready => State::Serving,
        lifecycle::State::Draining | lifecycle::State::Drained => State::Paused,
        lifecycle::State::HandingOver | lifecycle::State::Ending => State::Ending,
    }
}

impl Node {
    /// Takes part in the fleet, where the operator's file says so.
    pub(super) fn join_cluster(&mut self) -> Result<(), String> {
        let Some(config) = self.config.cluster.clone() else {
            return Ok(());
        };
        let ClusterConfig {
            listen,
            advertise,
            key_file,
            seeds,
            zone,
            region,
            ..
        } = config;
        let keys = read_keys(&key_file).map_err(|e| format!("fleet: {e}"))?;
        let socket = UdpSocket::bind(listen).map_err(|e| format!("fleet: {listen}: {e}"))?;
        let shown = |e: std::io::Error| format!("fleet: {e}");
        socket.set_nonblocking(true).map_err(shown)?;
        // What others say while this process is held up should be there when it goes on.
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_HOLDS);
        let here = socket.local_addr().map_err(shown)?;
        let socket = Rc::new(socket);
        let clock = self.clock();
        let drawn = self.config.seed ^ clock.rotate_left(32) ^ u64::from(std::process::id());
        let session =
            Identity::session_at(clock, crate::net::fnv1a_64(&drawn.to_le_bytes()) as u32);
        let me = Identity {
            name: self.config.name.clone(),
            addr: advertise.unwrap_or(here),
            session,
            back: 0,
        };
        let about = MemberMetadata {
            zone,
            region,
            build: env!("CARGO_PKG_VERSION").into(),
            state: State::Starting,
            since_ms: clock / 1000,
        };
        let options = Options {
            me,
            about: about.clone(),
            keys,
            seeds,
            seed: crate::net::fnv1a_64(&session.to_le_bytes()),
            agreed: None,
        };
        let unit = Cluster::new(clock, options);
        self.register_source(socket.clone(), EventSource::Cluster)
            .map_err(|e| format!("fleet: {e}"))?;
        tracing::info!(%here, "fleet");
        self.cluster = Some(Box::new(ClusterRuntime {
            socket,
            unit,
            about,
            began: Instant::now(),
            clock,
            listed: BTreeMap::new(),
            consensus: consensus::ConsensusHost::default(),
            cut_short: 0,
            unsent: 0,
            longest: 0,
        }));
        self.open_log();
        Ok(())
    }

    /// Datagrams have come.
    pub(super) fn read_datagrams(&mut self) {
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        let begun = Instant::now();
        // One byte more than the longest shows what is too long.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for turn in 0.. {
            if turn >= TURN || begun.elapsed() >= TIME {
                fleet.cut_short += 1;
                self.deferred.push(EventSource::Cluster);
                break;
            }
            match fleet.socket.recv(&mut bytes) {
                Ok(n) => {
                    let clock = fleet.clock();
                    fleet.unit.take(clock, &bytes[..n]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A refused one tells of an earlier send; none of it ends the socket.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.send_datagrams();
        if let Some(fleet) = self.cluster.as_mut() {
            fleet.longest = fleet.longest.max(begun.elapsed().as_micros() as u64);
        }
    }

    /// The unit's time, once all that has come is read.
    pub(super) fn update_cluster(&mut self) {
        if self.cluster.is_none() {
            return;
        }
        self.read_datagrams();
        if self
            .deferred
            .iter()
            .any(|s| matches!(s, EventSource::Cluster))
        {
            // More lies in the socket than one turn holds: nobody is accused before it is read.
            return;
        }
        let state = state(self.lifecycle.state());
        let now = self.now;
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        if fleet.about.state != state {
            (fleet.about.state, fleet.about.since_ms) = (state, now / 1000);
            fleet.unit.update_metadata(&fleet.about);
        }
        let clock = fleet.clock();
        // With each sweep: what is looked at seldom can't be told from what is held up.
        fleet.unit.tick(clock);
        self.update_consensus(state);
        self.send_datagrams();
    }

    /// The engines' list has told of coordinators, or of some that are gone.
    pub(super) fn update_discovered_seeds(&mut self, told: &EngineListUpdate) {
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        let before = fleet.listed.clone();
        if told.kind == ListKind::Full {
            fleet.listed.clear();
        }
        // A line that takes a coordinator out looks as one that takes an engine out.
        for gone in told.descriptions.iter().filter(|f| f.phase == Phase::Gone) {
            fleet.listed.remove(&gone.name);
        }
        fleet
            .listed
            .extend(told.coordinators.iter().take(LISTED_MOST).cloned());
        while fleet.listed.len() > LISTED_MOST {
            fleet.listed.pop_last();
        }
        if fleet.listed != before {
            self.change_seeds();
        }
    }

    fn change_seeds(&mut self) {
        let seeds = self
            .config
            .cluster
            .as_ref()
            .map_or(Vec::new(), |f| f.seeds.clone());
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        let listed = fleet.listed.values().copied();
        fleet
            .unit
            .change_seeds(seeds.into_iter().chain(listed).collect());
    }

    fn send_datagrams(&mut self) {
        self.persist_log_writes();
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        while let Some((to, bytes)) = fleet.unit.next_outgoing() {
            fleet.unsent += u64::from(fleet.socket.send_to(&bytes, to).is_err());
        }
    }

    /// The others need not find out that this process ends.
    pub(super) fn leave_cluster(&mut self) {
        if let Some(fleet) = self.cluster.as_mut() {
            let clock = fleet.clock();
            fleet.unit.leave(clock);
            self.send_datagrams();
        }
    }

    /// SIGHUP: keys and seeds are read again; a mistaken file leaves the old ones.
    pub(super) fn reload_cluster(&mut self, new: Option<&ClusterConfig>) {
        let (Some(fleet), Some(new)) = (self.cluster.as_mut(), new) else {
            return;
        };
        match read_keys(&new.key_file) {
            Ok(keys) => {
                tracing::info!(keys = ?keys.ids(), "fleet: keys read again");
                fleet.unit.change_keys(keys);
                if let Some(config) = &mut self.config.cluster {
                    config.seeds = new.seeds.clone();
                }
                self.change_seeds();
            }
            Err(e) => tracing::error!("fleet: the old keys stay: {e}"),
        }
    }

    /// The members, for operators.
    pub(super) fn member_views(&self) -> Vec<Member> {
        let Some(fleet) = &self.cluster else {
            return Vec::new();
        };
        let member = |m: driftfront_cluster::MemberView| {
            let (about, age) = m.about.map_or((None, None), |(about, age)| {
                (Some(about), Some(age / 1_000_000))
            });
            let about = about.unwrap_or_default();
            Member {
                name: m.name,
                addr: m.addr.to_string(),
                standing: match m.standing {
                    MemberStatus::Alive => "there",
                    MemberStatus::Suspected => "doubted",
                    MemberStatus::Down => "gone",
                }
                .into(),
                for_s: m.status_age / 1_000_000,
                zone: about.zone,
                region: about.region,
                build: about.build,
                state: if age.is_some() {
                    about.state.word()
                } else {
                    ""
                }
                .into(),
                since_ms: about.since_ms,
                told_age_s: age,
                me: m.is_self,
            }
        };
        fleet.unit.members().into_iter().map(member).collect()
    }

    /// Counts of the fleet, a line each; empty where there is none.
    pub(super) fn cluster_counters(&self) -> String {
        let Some(fleet) = &self.cluster else {
            return String::new();
        };
        let c = fleet.unit.counters();
        let lines = [
            ("members_there", fleet.unit.others() as u64 + 1),
            ("datagrams_sent", c.sent),
            ("bytes_sent", c.sent_bytes),
            ("datagrams_taken", c.taken),
            ("bytes_taken", c.received_bytes),
            ("datagrams_refused{why=\"foreign\"}", c.foreign),
            ("datagrams_refused{why=\"version\"}", c.version),
            ("datagrams_refused{why=\"unknown key\"}", c.unknown_key),
            ("datagrams_refused{why=\"spoilt\"}", c.spoilt),
            ("datagrams_refused{why=\"replayed\"}", c.replayed),
            ("datagrams_refused{why=\"stale\"}", c.stale),
            ("datagrams_old_key", c.old_key),
            ("datagrams_unknown_kind", c.unknown_kind),
            ("datagrams_unreadable", c.unreadable),
            ("datagrams_withheld", c.rate_limited),
            ("datagrams_unsent", fleet.unsent),
            ("facts_refused", c.refused),
            ("sessions_forgotten", c.sessions_evicted),
            ("members_up", c.members_up),
            ("members_down", c.members_down),
            ("came_back", c.rejoins),
            ("started_over", c.membership_resets),
            ("sessions_outdone", c.sessions_raised),
            ("stumbles", c.stalls),
            ("doubt", u64::from(fleet.unit.doubt())),
            ("turns_cut_short", fleet.cut_short),
            ("turn_longest_us", fleet.longest),
        ];
        let agreed = consensus::counters(fleet);
        lines
            .into_iter()
            .chain(agreed)
            .map(|(name, n)| format!("fleet_{name} {n}\n"))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::read_keys;
    use std::os::unix::fs::PermissionsExt;

    #[test]
    fn a_key_file_that_others_can_read_or_that_holds_no_key_is_told() {
        let path = std::env::temp_dir().join(format!("driftfront-keys-{}", std::process::id()));
        let mode =
            |mode| std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        std::fs::write(&path, "000102030405060708090a0b0c0d0e0f\n").unwrap();
        mode(0o644);
        assert!(read_keys(&path).unwrap_err().contains("chmod 600"));
        mode(0o600);
        assert_eq!(read_keys(&path).unwrap().ids().len(), 1);
        std::fs::write(&path, "secret").unwrap();
        let why = read_keys(&path).unwrap_err();
        assert!(why.contains("line 1") && !why.contains("secret"), "{why}");
        std::fs::remove_file(&path).unwrap();
        assert!(read_keys(&path).is_err());
    }
}
