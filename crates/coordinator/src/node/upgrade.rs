//! An upgrade under load: the listener that the platform passes, and what two processes of one coordinator exchange while
//! both run. When each of them accepts, keeps and closes connections is decided by the lifecycle; which order about an engine
//! holds, by the registry.

use super::{clients, Node};
use crate::config::Config;
use crate::handover::HandoverMailbox;
use driftfront_core::Micros;
use std::net::TcpListener;
use std::path::Path;

/// The variable that names the passed socket.
const PASSED_SOCKET_VARIABLE: &str = "LB_PASSED_SOCKET";
/// A successor that has not heard the source of its engines by then serves with what it was told at its start.
const FIRST_LIST_TIMEOUT: Micros = 2_000_000;
/// What the source has ready is received this long after its first byte.
const FIRST_LIST_SETTLE_TIME: Micros = 60_000;

/// What a process starts with: the clients' listener, and the exchange with other processes of this coordinator.
pub(super) struct StartSockets {
    pub(super) listener: TcpListener,
    /// The listener was passed: other processes may hold it, too.
    pub(super) is_passed: bool,
    /// Only beside a passed listener.
    pub(super) mailbox: Option<HandoverMailbox>,
}

/// Exchange with other processes of this coordinator.
pub(super) struct Handover {
    mailbox: Option<HandoverMailbox>,
    /// Another process runs.
    has_peers: bool,
    /// Orders taken over from others.
    merged_orders: u64,
}

impl Handover {
    pub(super) fn new(mailbox: Option<HandoverMailbox>) -> Handover {
        Handover {
            mailbox,
            has_peers: false,
            merged_orders: 0,
        }
    }

    /// Whether another process of this coordinator runs, by the last poll.
    pub(super) fn has_peers(&self) -> bool {
        self.has_peers
    }

    /// Whether an earlier process serves.
    pub(super) fn has_predecessor(&self) -> bool {
        let mailbox = self.mailbox.as_ref();
        mailbox.is_some_and(HandoverMailbox::has_predecessor)
    }

    /// Orders taken over from others.
    pub(super) fn merged_orders(&self) -> u64 {
        self.merged_orders
    }
}

/// Opens the clients' listener: the passed one, else one on the configured address.
pub(super) fn open_listener(config: &Config) -> Result<StartSockets, String> {
    let passed = std::env::var(PASSED_SOCKET_VARIABLE).ok();
    if let Some(passed) = passed.filter(|passed| !passed.is_empty()) {
        match driftfront_socket_activation::adopt(&passed) {
            Ok(listener) => {
                warn_of_other_address(config, &listener);
                return Ok(StartSockets {
                    listener,
                    is_passed: true,
                    mailbox: open_mailbox(config),
                });
            }
            Err(why) => {
                tracing::error!("{PASSED_SOCKET_VARIABLE}: {why}; the address is bound anew");
            }
        }
    }
    let listener = clients::listen(config.listen);
    Ok(StartSockets {
        listener: listener.map_err(|e| format!("listen on {}: {e}", config.listen))?,
        is_passed: false,
        mailbox: None,
    })
}

fn warn_of_other_address(config: &Config, listener: &TcpListener) {
    let configured = config.listen;
    let passed = listener.local_addr().unwrap_or(configured);
    if passed != configured {
        tracing::warn!(told = %configured, %passed, "the passed socket listens elsewhere");
    }
}

fn open_mailbox(config: &Config) -> Option<HandoverMailbox> {
    let Some(tmp) = std::env::var_os("TMPDIR").filter(|tmp| !tmp.is_empty()) else {
        tracing::warn!("no TMPDIR: other processes of this coordinator hear nothing of orders");
        return None;
    };
    HandoverMailbox::open(Path::new(&tmp), &config.name)
        .inspect_err(|e| tracing::error!("TMPDIR: {e}: other processes hear nothing of orders"))
        .ok()
}

impl Node {
    /// Takes over what other processes of this coordinator have ordered, and publishes what is new here.
    pub(super) fn poll_handover(&mut self, now: Micros) {
        let Some(mailbox) = &mut self.handover.mailbox else {
            return;
        };
        let polled = mailbox.poll();
        let has_peers = mailbox.has_peers();
        let has_successor = mailbox.has_successor();
        for error in polled.errors {
            tracing::error!("handover: {error}");
        }
        for received in polled.received {
            let (change, records) = self.registry.merge_handover(&received.message);
            if records.is_empty() {
                continue;
            }
            self.handover.merged_orders += records.len() as u64;
            let (process, orders) = (received.from.pid, records.len());
            tracing::info!(process, orders, "orders of another process hold here");
            self.apply_registry_change(now, &change);
            let _ = self.persist(now, &records);
        }
        if std::mem::replace(&mut self.handover.has_peers, has_peers) != has_peers {
            if has_peers {
                tracing::info!("another process runs beside this one");
            } else {
                tracing::info!("alone again");
            }
        }
        if self.lifecycle.record_successor(now, has_successor) {
            let message = if has_successor {
                "A successor is ready: new connections are its own, what was taken is answered"
            } else {
                "The successor is gone: this process serves again"
            };
            self.notify_operators(now, message.into());
        }
        self.publish_handover();
    }

    /// Publishes the orders that hold here: before one is confirmed, and once this process is ready.
    pub(super) fn publish_handover(&mut self) {
        let is_ready = self.lifecycle.has_been_ready();
        let Some(mailbox) = &mut self.handover.mailbox else {
            return;
        };
        if let Err(e) = mailbox.publish(self.registry.handover_state(is_ready)) {
            tracing::error!("handover: orders can't be told to other processes: {e}");
        }
    }

    /// Whether the list of engines is known well enough to serve by it. A successor waits until the source has spoken: what
    /// the platform told at the start may be long out of date.
    pub(super) fn knows_engines(&self, now: Micros) -> bool {
        let is_late = now >= self.started + FIRST_LIST_TIMEOUT;
        self.core.has_engines()
            && (!self.lifecycle.replaces_earlier()
                || is_late
                || self
                    .discovery
                    .has_received_first_list(now, FIRST_LIST_SETTLE_TIME))
    }

    /// Descriptors that this process may hold: half of the configured ones while another process runs beside it.
    pub(super) fn sockets(&self) -> usize {
        let divisor = if self.handover.has_peers { 2 } else { 1 };
        self.config.max_descriptors / divisor
    }
}
