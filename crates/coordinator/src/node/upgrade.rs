//! Upgrades under load: the listener passed by the platform, and the exchange between two processes of one coordinator while
//! both run. The lifecycle decides when each of them accepts, keeps and closes connections; the registry decides which order
//! about an engine takes precedence.

use super::{clients, Node, StartError};
use crate::config::Config;
use crate::handover::{HandoverMailbox, ReceivedMessage};
use driftfront_core::Micros;
use driftfront_engine_registry::handover::HandoverState;
use std::net::TcpListener;
use std::path::Path;

/// The environment variable that names the passed socket.
const PASSED_SOCKET_VARIABLE: &str = "LB_PASSED_SOCKET";
/// A successor that has not received its engine list by this time serves with the engines known at its start.
const FIRST_LIST_TIMEOUT: Micros = 2_000_000;
/// The initial engine list is considered complete this long after its first byte.
const FIRST_LIST_SETTLE_TIME: Micros = 60_000;

/// The resources opened before the node: the client listener, and the mailbox shared with other processes of this coordinator.
pub(super) struct StartSockets {
    pub(super) listener: TcpListener,
    /// The listener was passed by the platform, so other processes may hold it too.
    pub(super) is_passed: bool,
    /// Present only with a passed listener.
    pub(super) mailbox: Option<HandoverMailbox>,
}

/// The exchange with other processes of this coordinator.
pub(super) struct Handover {
    mailbox: Option<HandoverMailbox>,
    /// Another process is running.
    has_peers: bool,
    /// The number of orders merged from other processes.
    merged_orders: u64,
}

/// The state of the other processes after a poll.
struct PeerUpdate {
    /// New messages, ordered from the earliest process to the latest.
    received: Vec<ReceivedMessage>,
    /// Another process is running.
    has_peers: bool,
    /// A later process is ready.
    has_successor: bool,
}

impl Handover {
    pub(super) fn new(mailbox: Option<HandoverMailbox>) -> Handover {
        Handover {
            mailbox,
            has_peers: false,
            merged_orders: 0,
        }
    }

    /// Whether another process of this coordinator was running at the last poll.
    pub(super) fn has_peers(&self) -> bool {
        self.has_peers
    }

    /// Whether an earlier process is ready.
    pub(super) fn has_predecessor(&self) -> bool {
        let mailbox = self.mailbox.as_ref();
        mailbox.is_some_and(HandoverMailbox::has_predecessor)
    }

    /// The number of orders merged from other processes.
    pub(super) fn merged_orders(&self) -> u64 {
        self.merged_orders
    }

    /// Reads the messages of the other processes; `None` if there is no mailbox.
    fn poll(&mut self) -> Option<PeerUpdate> {
        let mailbox = self.mailbox.as_mut()?;
        let polled = mailbox.poll();
        for error in polled.errors {
            tracing::error!("handover: {error}");
        }
        Some(PeerUpdate {
            received: polled.received,
            has_peers: mailbox.has_peers(),
            has_successor: mailbox.has_successor(),
        })
    }

    /// Records whether another process is running, and logs changes.
    fn record_peers(&mut self, has_peers: bool) {
        if std::mem::replace(&mut self.has_peers, has_peers) == has_peers {
            return;
        }
        if has_peers {
            tracing::info!("another process of this coordinator is running");
        } else {
            tracing::info!("no other process of this coordinator is running");
        }
    }

    /// Publishes this process's message if there is a mailbox.
    fn publish(&mut self, message: impl FnOnce() -> HandoverState) {
        let Some(mailbox) = &mut self.mailbox else {
            return;
        };
        if let Err(error) = mailbox.publish(message()) {
            tracing::error!(%error, "handover message cannot be written");
        }
    }
}

/// Opens the client listener: the passed one if there is one, otherwise one bound to the configured address.
pub(super) fn open_listener(config: &Config) -> Result<StartSockets, StartError> {
    let passed = std::env::var(PASSED_SOCKET_VARIABLE).ok();
    if let Some(passed) = passed.filter(|passed| !passed.is_empty()) {
        match driftfront_socket_activation::adopt(&passed) {
            Ok(listener) => {
                warn_if_address_differs(config, &listener);
                return Ok(StartSockets {
                    listener,
                    is_passed: true,
                    mailbox: open_mailbox(config),
                });
            }
            Err(error) => {
                tracing::error!(
                    "{PASSED_SOCKET_VARIABLE}: {error}; binding the configured address instead"
                );
            }
        }
    }
    let address = config.listen;
    let listener =
        clients::listen(address).map_err(|source| StartError::Listen { address, source })?;
    Ok(StartSockets {
        listener,
        is_passed: false,
        mailbox: None,
    })
}

fn warn_if_address_differs(config: &Config, listener: &TcpListener) {
    let configured = config.listen;
    let passed = listener.local_addr().unwrap_or(configured);
    if passed != configured {
        tracing::warn!(%configured, %passed, "passed socket is bound to another address");
    }
}

fn open_mailbox(config: &Config) -> Option<HandoverMailbox> {
    let Some(tmp) = std::env::var_os("TMPDIR").filter(|tmp| !tmp.is_empty()) else {
        tracing::warn!("TMPDIR is not set; orders are not exchanged with other processes");
        return None;
    };
    HandoverMailbox::open(Path::new(&tmp), &config.name)
        .inspect_err(|error| {
            tracing::error!(%error, "TMPDIR cannot be used; orders are not exchanged with other processes");
        })
        .ok()
}

impl Node {
    /// Merges orders from other processes of this coordinator, and publishes this process's own.
    pub(super) fn poll_handover(&mut self, now: Micros) {
        let Some(update) = self.handover.poll() else {
            return;
        };
        for received in &update.received {
            self.merge_orders(now, received);
        }
        self.handover.record_peers(update.has_peers);
        if self.lifecycle.record_successor(now, update.has_successor) {
            let message = if update.has_successor {
                "A successor is ready: it takes new connections, and this process completes its open requests"
            } else {
                "The successor has ended: this process serves again"
            };
            self.notify_operators(now, message.into());
        }
        self.publish_handover();
    }

    /// Merges the orders of another process's message, and persists them if there is a state folder.
    fn merge_orders(&mut self, now: Micros, received: &ReceivedMessage) {
        let (change, records) = self.registry.merge_handover(&received.message);
        if records.is_empty() {
            return;
        }
        let (process, orders) = (received.from.pid, records.len());
        self.handover.merged_orders += orders as u64;
        tracing::info!(process, orders, "orders of another process merged");
        self.apply_registry_change(now, &change);
        let _ = self.persist(now, &records);
    }

    /// Publishes the orders in effect; called before an order is confirmed and once this process is ready.
    pub(super) fn publish_handover(&mut self) {
        let is_ready = self.lifecycle.has_been_ready();
        let registry = &self.registry;
        self.handover.publish(|| registry.handover_state(is_ready));
    }

    /// Whether the list of engines is current enough to serve. A successor waits for the list from its source, since the one
    /// that the platform provided at its start may be out of date.
    pub(super) fn has_current_engine_list(&self, now: Micros) -> bool {
        if !self.core.has_engines() {
            return false;
        }
        let is_late = now >= self.started + FIRST_LIST_TIMEOUT;
        let discovery = &self.discovery;
        !self.lifecycle.replaces_earlier()
            || is_late
            || discovery.has_received_first_list(now, FIRST_LIST_SETTLE_TIME)
    }

    /// The limit of file descriptors of this process: half of the configured limit while another process is running.
    pub(super) fn descriptor_limit(&self) -> usize {
        let divisor = if self.handover.has_peers() { 2 } else { 1 };
        self.config.max_descriptors / divisor
    }
}
