//! Formats the counters of all components for `/counters` and for the log at exit, one name and value per line. Names and order
//! are stable, since scripts read them; `docs/console.md` and `docs/daily.md` describe them.

use super::Node;
use std::fmt::{Display, Write as _};

/// Appends the line of a counter.
fn add(text: &mut String, name: &str, value: impl Display) {
    let _ = writeln!(text, "{name} {value}");
}

impl Node {
    /// All counters as text.
    pub(super) fn counters(&self) -> String {
        let mut text = self.core.counters().to_string();
        let (clients, engines) = (self.clients.counters(), &self.engines);
        let client_connections = self.clients.connection_count();
        add(&mut text, "connections_clients", client_connections);
        add(&mut text, "connections_engines", engines.connection_count());
        add(&mut text, "requests_open", self.core.open_requests());
        add(&mut text, "bodies_passing", engines.upload_count());
        add(&mut text, "results_paused", engines.paused_count());
        text += &self.frontend.counters();
        if let Some(control) = &self.control {
            text += &control.counters();
        }
        let state = self.lifecycle.state().name().replace(' ', "_");
        add(&mut text, &format!("state{{is=\"{state}\"}}"), 1);
        let orders = self.registry.orders().len();
        add(&mut text, "engines_out_by_order", orders);
        add(&mut text, "connections_sent_away", clients.closed_for_drain);
        add(&mut text, "accepts_full", clients.accepts_full);
        add(&mut text, "clients_dropped", clients.evicted);
        add(&mut text, "clients_overrun", clients.overruns);
        add(&mut text, "clients_shed", clients.shed);
        text += &self.management.counters();
        let is_successor = u8::from(self.lifecycle.replaces_earlier());
        add(&mut text, "upgrade_succeeds", is_successor);
        let merged_orders = self.handover.merged_orders();
        add(&mut text, "upgrade_orders_merged", merged_orders);
        let unblocked = self.listener.unblocked_count();
        add(&mut text, "listener_unblocked", unblocked);
        text += &self.cluster_counters();
        self.add_retry_budget(&mut text);
        add(&mut text, "wall_clock_steps", self.wall.steps);
        add(&mut text, "wall_clock_stepped_by_us", self.wall.stepped_by);
        text
    }

    /// Appends the retry budget's usage, if the settings have a retry budget.
    fn add_retry_budget(&self, text: &mut String) {
        let Some(usage) = self.core.retry_budget_usage(self.now) else {
            return;
        };
        add(text, "retry_budget_used", usage.used);
        let allowed = format!("{:.1}", usage.allowed);
        add(text, "retry_budget_allowed", allowed);
        add(text, "retry_budget_taken", usage.requests);
        add(text, "retries_denied", usage.denied);
        add(text, "retries_withheld", usage.denied_at_send);
    }
}
