//! The engine list from discovery: watches its source and passes each update to the engine registry.

use super::{ConnectionId, EventSource, Node};
use crate::config::Config;
use crate::discovery::backoff::Disconnect;
use crate::discovery::read;
use crate::net::connect;
use crate::node::discovery_client::ConnectionError;
use driftfront_core::Micros;
use driftfront_settings::json::Json;
use std::net::SocketAddr;
use tinyjson::JsonValue;

impl Node {
    /// Reloads the configuration file on SIGHUP. Only the source of the engine list and the cluster's keys and seeds are
    /// applied; the rest takes effect at the next start. Client and engine connections are not affected.
    pub(super) fn reload(&mut self) {
        let now = self.clock();
        let Some(path) = self.config.file.clone() else {
            return tracing::warn!("there is no configuration file to reload");
        };
        let new = match Config::load(&path) {
            Ok(new) => new,
            // A partially written or invalid file must not end a running coordinator.
            Err(e) => return tracing::error!("keeping the old configuration: {e}"),
        };
        self.reload_cluster(new.cluster.as_ref());
        if new.discovery == self.config.discovery {
            return tracing::info!(
                "configuration reloaded; the source of the engine list is unchanged"
            );
        }
        tracing::info!(from = ?self.config.discovery, to = ?new.discovery, "the source of the engine list has changed");
        // The old source is not needed any more: updates would be missed while waiting for it to close the connection.
        let registration = self.discovery.take_connection();
        self.unregister(registration);
        self.discovery
            .switch_source(&self.config.discovery, &new.discovery);
        self.config.discovery = new.discovery;
        self.check_discovery(now);
        self.execute_commands();
    }

    /// Reads the list file if it has changed, closes a silent connection, and opens a new one when it is due.
    pub(super) fn check_discovery(&mut self, now: Micros) {
        if let Some(update) = self.discovery.poll_file(now) {
            self.apply_list_update(now, &update);
        }
        if let Some(reason) = self.discovery.reason_to_disconnect(now) {
            self.drop_discovery_connection(now, reason, Disconnect::Silent);
        }
        if let Some(address) = self.discovery.address_to_connect(now) {
            self.connect_to_discovery(now, address);
        }
    }

    fn connect_to_discovery(&mut self, now: Micros, address: SocketAddr) {
        let id = self.next_connection_id();
        let opened = connect(address).map_err(|e| e.to_string());
        let registered = opened.and_then(|stream| {
            let registration = self
                .register_source(stream.clone(), EventSource::DiscoveryClient(id))
                .map_err(|e| e.to_string())?;
            Ok((stream, registration))
        });
        match registered {
            Ok((stream, registration)) => {
                self.discovery
                    .begin_connection(now, id, stream, registration);
            }
            Err(e) => self.drop_discovery_connection(now, &e, Disconnect::Closed),
        }
    }

    /// Closes the connection, and schedules the next one.
    pub(super) fn drop_discovery_connection(
        &mut self,
        now: Micros,
        reason: &str,
        disconnect: Disconnect,
    ) {
        tracing::info!("engine list: {reason}");
        let registration = self.discovery.take_connection();
        self.unregister(registration);
        self.discovery.back_off(now, disconnect);
    }

    /// Handles a readiness event of the connection to the source.
    pub(super) fn handle_discovery_ready(&mut self, now: Micros, id: ConnectionId) {
        loop {
            match self.read_discovery(now, id) {
                Ok(true) => {}
                Ok(false) => return,
                Err(e) => {
                    return self.drop_discovery_connection(now, &e.to_string(), Disconnect::Closed)
                }
            }
        }
    }

    /// Writes and reads once, and applies the received updates. Returns whether there may be more to read.
    fn read_discovery(&mut self, now: Micros, id: ConnectionId) -> Result<bool, ConnectionError> {
        let exchange = self.discovery.exchange(now, id)?;
        for update in exchange.updates {
            self.apply_list_update(now, &update);
        }
        exchange.may_have_more
    }

    fn apply_list_update(&mut self, now: Micros, update: &JsonValue) {
        match read(&self.config.zones, &self.config.kinds, Json(Some(update))) {
            Ok(list) => {
                for error in &list.rejected_entries {
                    tracing::warn!("engine list: {error}");
                }
                self.discovery.record_update(now);
                self.update_discovered_seeds(&list);
                let change = self.registry.apply_listing(list.kind, list.descriptions);
                self.apply_registry_change(now, &change);
            }
            Err(e) => tracing::warn!("engine list: {e}"),
        }
    }
}
