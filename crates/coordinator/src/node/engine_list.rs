//! The list of engines as it comes from discovery: the source is watched, and each update goes to the engine registry.

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
    /// SIGHUP: the configuration's file has been replaced. The list of engines moves to the source it names; the rest of it takes
    /// effect at the next start, and all connections stay as they are.
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
        // The old address has nothing more to send: waiting for its close would cost the updates that come meanwhile.
        let registration = self.discovery.take_connection();
        self.unregister(registration);
        self.discovery
            .switch_source(&self.config.discovery, &new.discovery);
        self.config.discovery = new.discovery;
        self.check_discovery(now);
        self.execute_commands();
    }

    /// Reads a file that has changed; ends a connection that is silent, and opens one where its time has come.
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

    /// Ends the connection, and sets when the next is opened.
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

    /// Handles a readiness event of the connection.
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

    /// Writes and reads once, and applies what has come; true if there may be more to read.
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
