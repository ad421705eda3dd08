//! Everything that an operator may want to see, at one moment.
//!
//! The structs are the objects of the wire: their fields have the names of its members, and units as suffixes (`_s` seconds, `_ms`
//! milliseconds). Fields that are missing take their default.

use crate::json::object;

object! {
    /// A running program, as it stands.
    Snapshot {
        /// The program's version.
        version: String,
        /// The coordinator's name.
        name: String,
        /// When the snapshot was taken, as Unix microseconds.
        at: u64,
        /// Seconds since the program started.
        up_s: u64,
        /// Where clients connect.
        listen: String,
        /// The protocol of clients and engines.
        front: String,
        /// It accepts requests.
        ready: bool,
        /// It is shutting down.
        stopping: bool,
        /// What the program is doing: `starting`, `ready`, `draining`, `drained`, `handing over` or `ending`.
        state: String,
        /// Where the list of engines comes from, for operators to read.
        source: String,
        /// Seconds since anything came from that source.
        source_age_s: Option<u64>,
        /// What a restart would forget, for operators to read; empty where nothing is forgotten.
        forgets: String,
        /// Requests without a final answer yet.
        open: u64,
        /// Open connections: clients', then engines'.
        connections: Vec<u64>,
        /// The engines, by name.
        engines: Vec<Engine>,
        /// The classes, in the settings' order.
        classes: Vec<Class>,
        /// The queries that run longest, imports first.
        queries: Vec<Query>,
        /// Sessions, and the sticky ones among them.
        sessions: Vec<u64>,
        /// The rolling restart, if there is one.
        roll: Option<RollingRestart>,
        /// The cluster's coordinators, by name, this one among them; empty where there is no cluster.
        members: Vec<Member>,
        /// The state of consensus; `None` where there is no cluster, or its log has not been opened yet.
        agreed: Option<Consensus>,
    }
}

object! {
    /// The state of consensus, as this coordinator knows it.
    Consensus {
        /// This coordinator's role: `founds`, `votes`, `learns`, `reads` or `unfit`.
        part: String,
        /// The leader; empty where none is known: then nothing new is agreed.
        leader: String,
        /// The current term.
        term: u64,
        /// The index of the last known log entry.
        index: u64,
        /// The voters.
        voters: Vec<Voter>,
        /// The initial voters that are missing while the log is not bootstrapped yet.
        missing: Vec<String>,
        /// All leases that are granted.
        holds: Vec<Lease>,
    }
}

object! {
    /// A voter of the consensus.
    Voter {
        /// Its name.
        name: String,
        /// It is alive, as far as this coordinator knows.
        there: bool,
    }
}

object! {
    /// A lease that is granted (a "hold" to operators).
    Lease {
        /// The resource.
        name: String,
        /// Its fencing token: later leases have higher ones.
        fence: u64,
        /// The coordinator through which it was acquired.
        owner: String,
        /// The amount of the resource.
        amount: u64,
        /// Seconds until it expires, as of the last log entry; `None` where it holds until it is released.
        left_s: Option<u64>,
        /// It holds beyond its end, until it is released.
        stays: bool,
        /// Why, for other operators.
        note: String,
    }
}

object! {
    /// A coordinator of the cluster.
    Member {
        /// Its name.
        name: String,
        /// The address of its datagrams.
        addr: String,
        /// `there`, `doubted` or `gone`.
        standing: String,
        /// Seconds for which it has had this status.
        for_s: u64,
        /// Its zone; empty for none.
        zone: String,
        /// Its region; empty for none.
        region: String,
        /// Its version.
        build: String,
        /// What it is doing, as it reported; empty where it reported nothing.
        state: String,
        /// Since when, by its own clock, as Unix milliseconds.
        since_ms: u64,
        /// Seconds since it reported that; `None` if it never did.
        told_age_s: Option<u64>,
        /// It is the coordinator that answers.
        me: bool,
    }
}

object! {
    /// An engine.
    Engine {
        /// Its name.
        name: String,
        /// Where it listens.
        addr: String,
        /// Its zone (a building), by name.
        zone: String,
        /// Its machine kind, by name.
        kind: String,
        /// `ready`, `draining` or `gone`.
        phase: String,
        /// Its phase as the source lists it; `None` where it does not.
        listed: Option<String>,
        /// An operator added it.
        added: bool,
        /// The operator's order that holds: `drain` or `remove`; empty for none.
        order: String,
        /// Who gave it.
        order_by: String,
        /// Seconds since it was given.
        order_age_s: u64,
        /// Queries that run there for this program.
        running: u64,
        /// Imports among them, which are never sent again.
        imports: u64,
        /// Milliseconds since anything came from it; `None` if nothing ever did.
        heard_ms: Option<u64>,
        /// Open connections to it.
        connections: u64,
        /// Seconds until its slow start is over.
        warm_in_s: u64,
        /// Requests that it answered in the last minute.
        minute: Service,
    }
}

object! {
    /// A class of queries.
    Class {
        /// Its name.
        name: String,
        /// The latency objective: an answer within this time is in time.
        wanted_ms: u64,
        /// It must not run twice.
        once: bool,
        /// Requests without a final answer yet.
        open: u64,
        /// The last minute.
        minute: Service,
        /// The last hour.
        hour: Service,
    }
}

object! {
    /// The service over a period.
    Service {
        /// Requests that were answered, or whose clients left.
        asked: u64,
        /// Requests that were served.
        served: u64,
        /// Served within the latency objective.
        in_time: u64,
        /// Requests that were refused.
        refused: u64,
        /// Requests that failed, before or after some rows.
        failed: u64,
        /// Median time to the answer of those served.
        p50_ms: f64,
        /// 99th percentile of that time.
        p99_ms: f64,
    }
}

object! {
    /// A query that runs.
    Query {
        /// The client's id of it.
        call: String,
        /// Its class.
        class: String,
        /// Its engine; empty while it is queued.
        engine: String,
        /// Milliseconds since it arrived.
        age_ms: u64,
        /// It is an import, which is never sent again.
        import: bool,
    }
}

object! {
    /// A rolling restart.
    RollingRestart {
        /// Its stage: `next`, `draining`, `handed`, `warming`, `stopped` or `done`.
        stage: String,
        /// The current engine.
        engine: String,
        /// Engines that are still to go, the current one first.
        left: Vec<String>,
        /// Engines that are completed.
        through: Vec<String>,
        /// What it waits for, or why it stopped, for operators to read.
        why: String,
    }
}

impl Service {
    /// Share served within the wanted time, of what was asked; 1 where nothing was.
    pub fn in_time_share(&self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.in_time as f64 / self.asked as f64
        }
    }
}
