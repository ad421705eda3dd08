//! Where the list of engines comes from: one watched connection, kept up, or a file.

use super::{ConnectionId, EventSource, Node};
use crate::config::{Config, DiscoverySource};
use crate::discovery::backoff::{Backoff, Disconnect};
use crate::discovery::{etcd::Etcd, file::File, read, stream::Stream, EngineListWatch};
use crate::net::{connect, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_core::Micros;
use driftfront_settings::json::Json;
use std::net::SocketAddr;
use tinyjson::JsonValue;

/// A connect that takes longer is begun anew.
const CONNECT_MOST: Micros = 500_000;
const READ_AT_ONCE: usize = 64 * 1024;

/// The feed of engine lists.
pub(super) struct DiscoveryClient {
    watch: Option<(SocketAddr, Box<dyn EngineListWatch>)>,
    file: Option<File>,
    conn: Option<DiscoveryConnection>,
    next_try: Micros,
    backoff: Backoff,
    /// When the source was first heard.
    first: Option<Micros>,
    /// When the source last said something of engines.
    told: Micros,
    /// What it is, in words.
    about: String,
}

struct DiscoveryConnection {
    id: ConnectionId,
    link: BufferedStream,
    token: Option<RegistrationToken>,
    up: bool,
    heard: Micros,
}

impl DiscoveryClient {
    pub(super) fn new(from: &DiscoverySource, last: u64, backoff: Backoff) -> DiscoveryClient {
        let (mut watch, mut file): (Option<(SocketAddr, Box<dyn EngineListWatch>)>, _) =
            (None, None);
        let about = match from {
            DiscoverySource::Stream(addr) => format!("the platform's stream at {addr}"),
            DiscoverySource::Etcd(addr, _) => format!("etcd at {addr}"),
            DiscoverySource::File(path) => format!("the file {}", path.display()),
            DiscoverySource::Fixed => "the operator's file".into(),
        };
        match from {
            DiscoverySource::Stream(addr) => {
                watch = Some((*addr, Box::new(Stream::new(addr.to_string(), last))))
            }
            DiscoverySource::Etcd(addr, prefix) => {
                watch = Some((*addr, Box::new(Etcd::new(addr.to_string(), prefix.clone()))));
            }
            DiscoverySource::File(path) => file = Some(File::new(path.clone())),
            DiscoverySource::Fixed => {}
        }
        DiscoveryClient {
            watch,
            file,
            conn: None,
            next_try: 0,
            backoff,
            first: None,
            told: 0,
            about,
        }
    }

    /// Whether all that the source tells at once has come: so long after its first byte. One that can't be heard has.
    pub(super) fn has_received_first_list(&self, now: Micros, after: Micros) -> bool {
        self.watch.is_none() || self.first.is_some_and(|at| now >= at + after)
    }

    /// What the source is, and how long it has said nothing where it should be heard all the time.
    pub(super) fn about(&self, now: Micros) -> (String, Option<Micros>) {
        let heard = self
            .conn
            .as_ref()
            .filter(|c| c.up)
            .map_or(self.told, |c| c.heard);
        let age = self
            .watch
            .as_ref()
            .map(|_| now.saturating_sub(heard))
            .filter(|_| heard > 0);
        (self.about.clone(), age)
    }

    /// Follows another source; at a new address of the same kind the list goes on behind its last event.
    fn follow(&mut self, from: &DiscoverySource, to: &DiscoverySource) {
        let same = match (from, to) {
            (DiscoverySource::Stream(_), DiscoverySource::Stream(addr)) => Some(*addr),
            (DiscoverySource::Etcd(_, old), DiscoverySource::Etcd(addr, new)) if old == new => {
                Some(*addr)
            }
            _ => None,
        };
        match (same, &mut self.watch) {
            (Some(addr), Some((at, watch))) => {
                *at = addr;
                watch.moved(addr.to_string());
            }
            // Another kind of source numbers its events by itself: the whole list is read.
            _ => *self = DiscoveryClient::new(to, 0, self.backoff.anew()),
        }
        (self.next_try, self.backoff) = (0, self.backoff.anew());
    }
}

impl Node {
    /// SIGHUP: the configuration's file has been replaced. The list of engines moves to where it says;
    /// what else it says holds from the next start on, and all connections stay as they are.
    pub(super) fn reload(&mut self) {
        let now = self.clock();
        let Some(path) = self.config.file.clone() else {
            return tracing::warn!("no file to read again");
        };
        let new = match Config::load(&path) {
            Ok(new) => new,
            // A half-written or mistaken file must not end a coordinator that serves well.
            Err(e) => return tracing::error!("the old configuration stays: {e}"),
        };
        self.reload_cluster(new.cluster.as_ref());
        if new.discovery == self.config.discovery {
            return tracing::info!(
                "configuration read again; the list of engines stays where it is"
            );
        }
        tracing::info!(from = ?self.config.discovery, to = ?new.discovery, "the list of engines moves");
        if let Some(mut conn) = self.discovery.conn.take() {
            // The old address tells nothing more: waiting for its close would cost what is told meanwhile.
            self.unregister(conn.token.take());
        }
        self.discovery
            .follow(&self.config.discovery, &new.discovery);
        self.config.discovery = new.discovery;
        self.check_discovery(now);
        self.execute_commands();
    }

    pub(super) fn check_discovery(&mut self, now: Micros) {
        if let Some(update) = self.discovery.file.as_mut().and_then(|f| f.poll(now)) {
            self.take_update(now, &update);
        }
        let Some((addr, silence)) = self.discovery.watch.as_ref().map(|w| (w.0, w.1.silence()))
        else {
            return;
        };
        if let Some(conn) = &self.discovery.conn {
            let most = if conn.up { silence } else { CONNECT_MOST };
            if now > conn.heard + most {
                let why = if conn.up {
                    "nothing heard, taken anew"
                } else {
                    "connect timed out"
                };
                self.drop_discovery_connection(now, why, Disconnect::Silent);
            }
        }
        if self.discovery.conn.is_none() && now >= self.discovery.next_try {
            let id = self.next_connection_id();
            let opened = connect(addr).map_err(|e| e.to_string());
            match opened.and_then(|s| {
                Ok((
                    s.clone(),
                    self.register_stream(s, EventSource::DiscoveryClient(id))?,
                ))
            }) {
                Ok((stream, token)) => {
                    let (link, token) = (BufferedStream::new(stream), Some(token));
                    self.discovery.conn = Some(DiscoveryConnection {
                        id,
                        link,
                        token,
                        up: false,
                        heard: now,
                    });
                }
                Err(e) => self.drop_discovery_connection(now, &e, Disconnect::Closed),
            }
        }
    }

    pub(super) fn drop_discovery_connection(&mut self, now: Micros, why: &str, how: Disconnect) {
        tracing::info!("engine list: {why}");
        if let Some(mut conn) = self.discovery.conn.take() {
            self.unregister(conn.token.take());
        }
        self.discovery.next_try = self.discovery.backoff.again(now, how);
    }

    pub(super) fn on_discovery_ready(&mut self, now: Micros, id: ConnectionId) {
        if let Err(why) = self.read_discovery(now, id) {
            self.drop_discovery_connection(now, &why, Disconnect::Closed);
        }
    }

    fn read_discovery(&mut self, now: Micros, id: ConnectionId) -> Result<(), String> {
        loop {
            let Some(conn) = self.discovery.conn.as_mut().filter(|c| c.id == id) else {
                return Ok(());
            };
            let Some((_, watch)) = self.discovery.watch.as_mut() else {
                return Ok(());
            };
            if !conn.up {
                if !conn.link.poll_connected().map_err(|e| e.to_string())? {
                    return Ok(());
                }
                (conn.up, conn.heard) = (true, now);
                conn.link.push(&watch.open());
            }
            conn.link.flush().map_err(|e| e.to_string())?;
            let (mut bytes, mut out, mut updates) = (Vec::new(), Vec::new(), Vec::new());
            let end = conn
                .link
                .read(&mut bytes, READ_AT_ONCE)
                .map_err(|e| e.to_string())?;
            let mut fed = Ok(());
            if !bytes.is_empty() {
                conn.heard = now;
                self.discovery.first.get_or_insert(now);
                self.discovery.backoff.heard(now);
                fed = watch.feed(&bytes, &mut out, &mut updates);
                conn.link.push(&out);
                conn.link.flush().map_err(|e| e.to_string())?;
            }
            for update in updates {
                self.take_update(now, &update);
            }
            fed?;
            match end {
                ReadOutcome::WouldBlock => return Ok(()),
                ReadOutcome::Closed => return Err("closed by the other side".into()),
                ReadOutcome::LimitReached => {}
            }
        }
    }

    fn take_update(&mut self, now: Micros, update: &JsonValue) {
        match read(&self.config.zones, &self.config.kinds, Json(Some(update))) {
            Ok(told) => {
                told.rejected_entries
                    .iter()
                    .for_each(|why| tracing::warn!("engine list: {why}"));
                self.discovery.told = now;
                self.update_discovered_seeds(&told);
                let change = self.registry.apply_listing(told.kind, told.descriptions);
                self.apply_registry_change(now, &change);
            }
            Err(e) => tracing::warn!("engine list: {e}"),
        }
    }
}
