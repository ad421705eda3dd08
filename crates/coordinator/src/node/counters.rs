//! What `/counters` tells, and the log at the end.

use super::Node;

impl Node {
    pub(super) fn counters(&self) -> String {
        let connections = format!(
            "connections_clients {}\nconnections_engines {}\n",
            self.clients.connections.len(),
            self.engines.connections.len()
        );
        let bodies = format!(
            "bodies_passing {}\nresults_paused {}\n",
            self.engines.uploads.len(),
            self.engines.paused
        );
        let (core, front) = (self.core.counters(), self.frontend.counters());
        let control = self
            .control
            .as_ref()
            .map(|c| c.counters())
            .unwrap_or_default();
        let bans = self.registry.orders().len();
        let state = self.lifecycle.state().word().replace(' ', "_");
        let lifecycle = format!("state{{is=\"{state}\"}} 1\nengines_out_by_order {bans}\n");
        let away = format!(
            "connections_sent_away {}\naccepts_full {}\nclients_dropped {}\nclients_overrun {}\n",
            self.clients.sent_away,
            self.clients.accepts_full,
            self.clients.evicted,
            self.clients.overruns
        );
        let management = self.management.counters();
        let succeeds = u8::from(self.lifecycle.succeeds());
        let upgrade = format!(
            "upgrade_succeeds {succeeds}\nupgrade_orders_merged {}\n",
            self.handover.merged_orders()
        );
        let upgrade = format!("{upgrade}listener_unblocked {}\n", self.listener.unblocked);
        let open = self.core.open_requests();
        let fleet = self.cluster_counters();
        let budget = self.budget_counters();
        let clock = format!(
            "wall_clock_steps {}\nwall_clock_stepped_by_us {}\n",
            self.wall.steps, self.wall.stepped_by
        );
        format!("{core}{connections}requests_open {open}\n{bodies}{front}{control}{lifecycle}{away}{management}{upgrade}{fleet}{budget}{clock}")
    }

    /// How far the retry budget is used.
    fn budget_counters(&self) -> String {
        let Some(usage) = self.core.retry_budget_usage(self.now) else {
            return String::new();
        };
        format!(
            "retry_budget_used {}\nretry_budget_allowed {:.1}\nretry_budget_taken {}\nretries_denied {}\n\
             retries_withheld {}\n",
            usage.used, usage.allowed, usage.taken, usage.denied, usage.withheld
        )
    }
}
