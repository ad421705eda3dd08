//! The snapshot: the complete state of a program, as shown to operators.
//!
//! The structs correspond to the JSON objects of the protocol. Field names are the member names, with the unit as a suffix
//! (`_s` seconds, `_ms` milliseconds). Missing members take their default.

use crate::json::object;

object! {
    /// The state of a running program.
    Snapshot {
        /// The program's version.
        version: String,
        /// The coordinator's name.
        name: String,
        /// When the snapshot was taken, in Unix microseconds.
        at: u64,
        /// Seconds since the program started.
        up_s: u64,
        /// The address for clients.
        listen: String,
        /// The protocol of clients and engines.
        front: String,
        /// Whether it accepts requests.
        ready: bool,
        /// Whether it is shutting down.
        stopping: bool,
        /// The lifecycle state: `starting`, `ready`, `draining`, `drained`, `handing over` or `ending`.
        state: String,
        /// The source of the engine list, as text for operators.
        source: String,
        /// Seconds since the last message from that source.
        source_age_s: Option<u64>,
        /// What would be lost on a restart, as text for operators; empty if nothing is lost.
        forgets: String,
        /// Number of requests without a final answer.
        open: u64,
        /// Numbers of open connections: of clients, then to engines.
        connections: Vec<u64>,
        /// The engines, by name.
        engines: Vec<Engine>,
        /// The classes, in the order of the settings.
        classes: Vec<Class>,
        /// The longest-running queries, imports first.
        queries: Vec<Query>,
        /// The number of sessions, and of the sticky ones among them.
        sessions: Vec<u64>,
        /// The rolling restart, if there is one.
        roll: Option<RollingRestart>,
        /// The coordinators of the cluster, including this one, by name; empty if there is no cluster.
        members: Vec<Member>,
        /// The state of the consensus; `None` if there is no cluster, or its log has not been opened yet.
        agreed: Option<Consensus>,
    }
}

object! {
    /// The state of the consensus, as known to this coordinator.
    Consensus {
        /// This coordinator's role: `founds`, `votes`, `learns`, `reads` or `unfit`.
        part: String,
        /// The leader; empty if none is known, in which case nothing new can be committed.
        leader: String,
        /// The current term.
        term: u64,
        /// The index of the last known log entry.
        index: u64,
        /// The voters.
        voters: Vec<Voter>,
        /// The initial voters that are still missing for the bootstrap of the log.
        missing: Vec<String>,
        /// All granted leases.
        holds: Vec<Lease>,
    }
}

object! {
    /// A voter of the consensus.
    Voter {
        /// Its name.
        name: String,
        /// Whether it is alive, as far as this coordinator knows.
        there: bool,
    }
}

object! {
    /// A granted lease, which operators know as a "hold".
    Lease {
        /// The name of the resource.
        name: String,
        /// The fencing token; later leases have higher tokens.
        fence: u64,
        /// The coordinator through which it was acquired.
        owner: String,
        /// The amount of the resource.
        amount: u64,
        /// Seconds until it expires, as of the last log entry; `None` if it is granted until it is released.
        left_s: Option<u64>,
        /// Whether it stays granted after it has expired, until it is released.
        stays: bool,
        /// The reason, for other operators.
        note: String,
    }
}

object! {
    /// A coordinator of the cluster.
    Member {
        /// Its name.
        name: String,
        /// The address for datagrams.
        addr: String,
        /// `there`, `doubted` or `gone`.
        standing: String,
        /// Seconds since it entered this status.
        for_s: u64,
        /// The zone; empty if there is none.
        zone: String,
        /// The region; empty if there is none.
        region: String,
        /// Its version.
        build: String,
        /// The lifecycle state that it last reported; empty if it never reported one.
        state: String,
        /// When it entered that state, by its own clock, in Unix milliseconds.
        since_ms: u64,
        /// Seconds since that report; `None` if there was none.
        told_age_s: Option<u64>,
        /// Whether it is the coordinator that sent this snapshot.
        me: bool,
    }
}

object! {
    /// An engine.
    Engine {
        /// Its name.
        name: String,
        /// The address it listens on.
        addr: String,
        /// The name of its zone (a building).
        zone: String,
        /// The name of its machine kind.
        kind: String,
        /// `ready`, `draining` or `gone`.
        phase: String,
        /// The phase according to the source; `None` if the source does not list it.
        listed: Option<String>,
        /// Whether an operator added it.
        added: bool,
        /// The operator's order in force: `drain` or `remove`; empty if there is none.
        order: String,
        /// Who gave the order.
        order_by: String,
        /// Seconds since the order was given.
        order_age_s: u64,
        /// Number of queries of this program that run there.
        running: u64,
        /// Number of imports among them. Imports are never retried.
        imports: u64,
        /// Milliseconds since anything was received from it; `None` if nothing ever was.
        heard_ms: Option<u64>,
        /// Number of open connections to it.
        connections: u64,
        /// Seconds until the slow start ends.
        warm_in_s: u64,
        /// Service statistics of the last minute.
        minute: Service,
    }
}

object! {
    /// A class of queries.
    Class {
        /// Its name.
        name: String,
        /// The latency objective, in milliseconds.
        wanted_ms: u64,
        /// Whether its queries must not run twice.
        once: bool,
        /// Number of requests without a final answer.
        open: u64,
        /// Statistics of the last minute.
        minute: Service,
        /// Statistics of the last hour.
        hour: Service,
    }
}

object! {
    /// Service statistics of a period.
    Service {
        /// Requests that were answered, or whose clients disconnected.
        asked: u64,
        /// Requests that were served.
        served: u64,
        /// Requests that were served within the latency objective.
        in_time: u64,
        /// Requests that were refused.
        refused: u64,
        /// Requests that failed, before or after rows were sent.
        failed: u64,
        /// Median latency of served requests.
        p50_ms: f64,
        /// 99th percentile of the latency of served requests.
        p99_ms: f64,
    }
}

object! {
    /// A running or queued query.
    Query {
        /// The client's id of the query.
        call: String,
        /// The class.
        class: String,
        /// The engine; empty while the query is queued.
        engine: String,
        /// Milliseconds since it arrived.
        age_ms: u64,
        /// Whether it is an import. Imports are never retried.
        import: bool,
    }
}

object! {
    /// A rolling restart.
    RollingRestart {
        /// The stage: `next`, `draining`, `handed`, `warming`, `stopped` or `done`.
        stage: String,
        /// The current engine.
        engine: String,
        /// The engines still to be restarted, the current one first.
        left: Vec<String>,
        /// The engines that are completed.
        through: Vec<String>,
        /// What it waits for, or why it stopped, as text for operators.
        why: String,
    }
}

impl Service {
    /// Share of requests that were served within the latency objective; 1 if there were no requests.
    pub fn in_time_share(&self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.in_time as f64 / self.asked as f64
        }
    }
}
