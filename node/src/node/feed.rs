//! The connection to the platform's list of engines: kept up, and taken anew when it falls silent.

use super::{ConnId, Node, Source};
use crate::members::stream::{ServerEvent, Stream, SILENCE};
use crate::net::{connect, Link, ReadEnd};
use calloop::RegistrationToken;
use driftfront_core::Micros;
use driftfront_settings::json::{parse, Json};
use std::net::SocketAddr;

/// A connect that takes longer is begun anew.
const CONNECT_MOST: Micros = 1_000_000;
/// Wait before a new connection, doubled with each failure: 7 s after an event it counts as told.
const AGAIN: Micros = 50_000;
const AGAIN_MOST: Micros = 800_000;
const READ_AT_ONCE: usize = 64 * 1024;

/// The feed of engine lists.
pub(super) struct Feed {
    coordinator: Option<SocketAddr>,
    conn: Option<FeedConn>,
    /// Number of the last event taken over.
    last: u64,
    next_try: Micros,
    failures: u32,
}

struct FeedConn {
    id: ConnId,
    link: Link,
    token: Option<RegistrationToken>,
    stream: Stream,
    up: bool,
    heard: Micros,
}

impl Feed {
    pub(super) fn new(coordinator: Option<SocketAddr>, last: u64) -> Feed {
        Feed { coordinator, conn: None, last, next_try: 0, failures: 0 }
    }
}

impl Node {
    pub(super) fn sweep_feed(&mut self, now: Micros) {
        let Some(addr) = self.feed.coordinator else { return };
        if let Some(conn) = &self.feed.conn {
            let most = if conn.up { SILENCE } else { CONNECT_MOST };
            if now > conn.heard + most {
                self.drop_feed(now, "silent");
            }
        }
        if self.feed.conn.is_none() && now >= self.feed.next_try {
            let id = self.conn_id();
            let opened = connect(addr).map_err(|e| e.to_string());
            match opened.and_then(|s| Ok((s.clone(), self.register(s, Source::Feed(id))?))) {
                Ok((stream, token)) => {
                    let link = Link::new(stream);
                    let (stream, token) = (Stream::default(), Some(token));
                    self.feed.conn = Some(FeedConn { id, link, token, stream, up: false, heard: now });
                }
                Err(e) => self.drop_feed(now, &e),
            }
        }
    }

    pub(super) fn drop_feed(&mut self, now: Micros, why: &str) {
        tracing::info!("engine list: {why}");
        if let Some(mut conn) = self.feed.conn.take() {
            self.unwatch(conn.token.take());
        }
        self.feed.next_try = now + (AGAIN << self.feed.failures.min(8)).min(AGAIN_MOST);
        self.feed.failures += 1;
    }

    pub(super) fn feed_ready(&mut self, now: Micros, id: ConnId) {
        if let Err(why) = self.feed_work(now, id) {
            self.drop_feed(now, &why);
        }
    }

    fn feed_work(&mut self, now: Micros, id: ConnId) -> Result<(), String> {
        let last = self.feed.last;
        let host = self.feed.coordinator.map(|a| a.to_string()).unwrap_or_default();
        loop {
            let Some(conn) = self.feed.conn.as_mut().filter(|c| c.id == id) else { return Ok(()) };
            if !conn.up {
                if !conn.link.came_up().map_err(|e| e.to_string())? {
                    return Ok(());
                }
                (conn.up, conn.heard) = (true, now);
                conn.link.push(&Stream::request(&host, last));
            }
            conn.link.flush().map_err(|e| e.to_string())?;
            let (mut bytes, mut events) = (Vec::new(), Vec::new());
            let end = conn.link.read(&mut bytes, READ_AT_ONCE).map_err(|e| e.to_string())?;
            if !bytes.is_empty() {
                conn.heard = now;
                self.feed.failures = 0;
                conn.stream.feed(&bytes, &mut events)?;
            }
            for event in events {
                self.take_event(now, &event);
            }
            match end {
                ReadEnd::Dry => return Ok(()),
                ReadEnd::Closed => return Err("closed by the coordinator".into()),
                ReadEnd::Enough => {}
            }
        }
    }

    fn take_event(&mut self, now: Micros, event: &ServerEvent) {
        let json = match parse(event.data.as_bytes()) {
            Ok(json) => json,
            Err(e) => return tracing::warn!("engine list: {e}"),
        };
        let json = Json(Some(&json));
        // After a new connection events may come again.
        let number = event.id.or(json.get("index").whole());
        if number.is_some_and(|n| n <= self.feed.last) {
            return;
        }
        match self.table.apply(json) {
            Ok(change) => self.take_change(now, &change),
            Err(e) => tracing::warn!("engine list: {e}"),
        }
        self.feed.last = number.unwrap_or(self.feed.last);
    }
}
