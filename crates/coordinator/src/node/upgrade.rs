//! An upgrade under load: the listener that the platform passes, and what two processes of one coordinator tell each
//! other while both run. When each of them accepts, keeps and ends is the lifecycle's; whose order holds is the roster's.

use super::Node;
use crate::config::Config;
use crate::handover::HandoverMailbox;
use driftfront_core::Micros;
use std::net::TcpListener;
use std::path::Path;

/// The variable that names the passed socket.
const PASSED_SOCKET: &str = "LB_PASSED_SOCKET";
/// A successor that has not heard the source of its list by then serves with what it was told at its start.
const LIST_WITHIN: Micros = 2_000_000;
/// What the source tells at once is told this long after its first byte.
const LIST_SETTLES: Micros = 60_000;

/// The clients' listener, whether it was passed, and then the place among the processes of this coordinator.
pub(super) fn listener(
    config: &Config,
) -> Result<(TcpListener, bool, Option<HandoverMailbox>), String> {
    let told = std::env::var(PASSED_SOCKET)
        .ok()
        .filter(|told| !told.is_empty());
    if let Some(told) = told {
        match driftfront_socket_activation::adopt(&told) {
            Ok(listener) => {
                let at = listener.local_addr().map_or(config.listen, |at| at);
                if at != config.listen {
                    tracing::warn!(told = %config.listen, passed = %at, "the passed socket listens elsewhere");
                }
                return Ok((listener, true, post(config)));
            }
            Err(why) => tracing::error!("{PASSED_SOCKET}: {why}; the address is bound anew"),
        }
    }
    let listener = super::clients::listen(config.listen);
    Ok((
        listener.map_err(|e| format!("listen on {}: {e}", config.listen))?,
        false,
        None,
    ))
}

fn post(config: &Config) -> Option<HandoverMailbox> {
    let tmp = std::env::var_os("TMPDIR").filter(|t| !t.is_empty());
    let Some(tmp) = tmp else {
        tracing::warn!("no TMPDIR: other processes of this coordinator hear nothing of orders");
        return None;
    };
    let opened = HandoverMailbox::open(Path::new(&tmp), &config.name);
    opened
        .inspect_err(|e| tracing::error!("TMPDIR: {e}: other processes hear nothing of orders"))
        .ok()
}

impl Node {
    /// Takes over what other processes of this coordinator say, and tells them what is new here.
    pub(super) fn poll_handover(&mut self, now: Micros) {
        let Some(post) = &mut self.post else { return };
        let news = post.poll();
        let (shares, succeeded) = (post.shares(), post.has_successor());
        news.told
            .iter()
            .for_each(|why| tracing::error!("handover: {why}"));
        for (number, word) in news.words {
            let (change, records) = self.roster.merge_handover(&word);
            if !records.is_empty() {
                self.merged += records.len() as u64;
                tracing::info!(
                    process = number.1,
                    orders = records.len(),
                    "orders of another process hold here"
                );
                self.apply_registry_change(now, &change);
                let _ = self.write_down(now, records);
            }
        }
        if std::mem::replace(&mut self.shares, shares) != shares {
            tracing::info!(
                "{}",
                if shares {
                    "another process runs beside this one"
                } else {
                    "alone again"
                }
            );
        }
        if self.lifecycle.succeeded(now, succeeded) {
            let words = match succeeded {
                true => {
                    "A successor is ready: new connections are its own, what was taken is answered"
                }
                false => "The successor is gone: this process serves again",
            };
            self.told(now, words.into());
        }
        self.publish_handover();
    }

    /// Tells other processes what holds here: before an order is confirmed, and once this one is ready.
    pub(super) fn publish_handover(&mut self) {
        let ready = self.lifecycle.has_begun();
        let Some(post) = &mut self.post else { return };
        if let Err(e) = post.tell(self.roster.handover_state(ready)) {
            tracing::error!("handover: orders can't be told to other processes: {e}");
        }
    }

    /// Whether the list of engines is known well enough to serve by it. A successor waits until the source has spoken:
    /// what the platform told at the start may be long out of date.
    pub(super) fn knows_engines(&self, now: Micros) -> bool {
        let late = now >= self.started + LIST_WITHIN;
        self.core.has_engines()
            && (!self.lifecycle.succeeds()
                || late
                || self.feed.has_received_first_list(now, LIST_SETTLES))
    }

    /// Descriptors that engines' connections are a part of: with another process beside it, half of what both may hold.
    pub(super) fn sockets(&self) -> usize {
        self.config.sockets / if self.shares { 2 } else { 1 }
    }
}
