//! Everything that an operator may want to see, at one moment.

use crate::json::object;

object! {
    /// A running program, as it stands.
    Snapshot {
        /// The program's version.
        version: String,
        /// The coordinator's name.
        name: String,
        /// When this was, as Unix microseconds.
        at: u64,
        /// How long it has been up, in seconds.
        up_s: u64,
        /// Where clients connect.
        listen: String,
        /// What clients and engines speak.
        front: String,
        /// It takes requests.
        ready: bool,
        /// It is ending.
        stopping: bool,
        /// What the program is doing: `starting`, `ready`, `draining`, `drained`, `handing over` or `ending`.
        state: String,
        /// Where the list of engines comes from, in words.
        source: String,
        /// Seconds since the source last said anything.
        source_age_s: Option<u64>,
        /// What would be forgotten at a restart, in words; empty where nothing would.
        forgets: String,
        /// Requests that have no answer yet.
        open: u64,
        /// Clients' and engines' connections.
        connections: Vec<u64>,
        /// The engines, by name.
        engines: Vec<Engine>,
        /// The classes, in the settings' order.
        classes: Vec<Class>,
        /// The queries that run longest, imports first.
        queries: Vec<Query>,
        /// Sessions held and, of these, tied.
        sessions: Vec<u64>,
        /// The roll, if there is one.
        roll: Option<Roll>,
        /// The fleet's coordinators, by name, this one among them; empty where there is no fleet.
        members: Vec<Member>,
        /// What the fleet has agreed on; nothing where there is no fleet, or it has not been opened yet.
        agreed: Option<Consensus>,
    }
}

object! {
    /// What the fleet has agreed on, as this one knows it.
    Consensus {
        /// This one's part: `founds`, `votes`, `learns`, `reads` or `unfit`.
        part: String,
        /// Who leads; empty where nobody is heard to: then nothing new is agreed.
        leader: String,
        /// The term and the last entry known.
        term: u64,
        /// See `term`.
        index: u64,
        /// Who decides.
        voters: Vec<Voter>,
        /// The first voters that lack, where nothing is founded yet.
        missing: Vec<String>,
        /// All that is held.
        holds: Vec<Held>,
    }
}

object! {
    /// One who decides.
    Voter {
        /// Its name.
        name: String,
        /// It is there.
        there: bool,
    }
}

object! {
    /// A right that is lent.
    Held {
        /// What is held.
        name: String,
        /// Its number: later ones are higher.
        fence: u64,
        /// Through which coordinator it was taken.
        owner: String,
        /// How much of it.
        amount: u64,
        /// Seconds until it ends, as of the last entry; nothing where it stays until it is given back.
        left_s: Option<u64>,
        /// It counts beyond its end.
        stays: bool,
        /// Why, in words.
        note: String,
    }
}

object! {
    /// A coordinator of the fleet.
    Member {
        /// Its name.
        name: String,
        /// Where its datagrams go.
        addr: String,
        /// `there`, `doubted` or `gone`.
        standing: String,
        /// Seconds for which it has stood so.
        for_s: u64,
        /// Its zone; empty for none.
        zone: String,
        /// Its region; empty for none.
        region: String,
        /// Its build.
        build: String,
        /// What it is doing, by its own word; empty where it has told none.
        state: String,
        /// Since when, by its own clock, as Unix milliseconds.
        since_ms: u64,
        /// Seconds since it told that; nothing if it never did.
        told_age_s: Option<u64>,
        /// It is this one.
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
        /// Its building.
        zone: String,
        /// Its machine kind.
        kind: String,
        /// `ready`, `draining` or `gone`.
        phase: String,
        /// What the source says, where it lists the engine.
        listed: Option<String>,
        /// An operator added it.
        added: bool,
        /// An operator's order: `drain` or `remove`; empty for none.
        order: String,
        /// Who gave it.
        order_by: String,
        /// Seconds since then.
        order_age_s: u64,
        /// Queries that run there for this program.
        running: u64,
        /// Of these the imports, which are never sent again.
        imports: u64,
        /// Milliseconds since it last said anything; nothing if it never did.
        heard_ms: Option<u64>,
        /// Open connections to it.
        connections: u64,
        /// Seconds until it counts as warm.
        warm_in_s: u64,
        /// What it answered in the last minute.
        minute: Service,
    }
}

object! {
    /// A class of requests.
    Class {
        /// Its name.
        name: String,
        /// An answer within this many milliseconds is in time.
        wanted_ms: u64,
        /// It must not run twice.
        once: bool,
        /// Requests without an answer yet.
        open: u64,
        /// The last minute.
        minute: Service,
        /// The last hour.
        hour: Service,
    }
}

object! {
    /// How well was served over some time.
    Service {
        /// Requests that were answered or left.
        asked: u64,
        /// Served.
        served: u64,
        /// Served within the wanted time.
        in_time: u64,
        /// Refused.
        refused: u64,
        /// Failed, before or behind some rows.
        failed: u64,
        /// Time to the answer, for half of those served, in milliseconds.
        p50_ms: f64,
        /// For 99 of 100 of them.
        p99_ms: f64,
    }
}

object! {
    /// A query that runs.
    Query {
        /// Its client's name for it.
        call: String,
        /// Its class.
        class: String,
        /// Its engine; empty while it waits.
        engine: String,
        /// How long it has been here, in milliseconds.
        age_ms: u64,
        /// It is an import, which is never sent again.
        import: bool,
    }
}

object! {
    /// A roll.
    Roll {
        /// Where it stands.
        stage: String,
        /// The engine at hand.
        engine: String,
        /// Those that are still to go, the one at hand among them.
        left: Vec<String>,
        /// Those that are through.
        through: Vec<String>,
        /// What it waits for, or why it stopped.
        why: String,
    }
}

impl Service {
    /// Share served within the wanted time, of what was asked; 1 where nothing was.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.in_time as f64 / self.asked as f64
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::json::Field;

    #[test]
    fn a_snapshot_is_read_back_and_one_with_fields_missing_takes_their_defaults() {
        let engine = Engine {
            name: "e\"1".into(),
            heard_ms: Some(12),
            ..Engine::default()
        };
        let class = Class {
            hour: Service {
                p99_ms: 1.5,
                ..Service::default()
            },
            ..Class::default()
        };
        let snapshot = Snapshot {
            engines: vec![engine],
            classes: vec![class],
            sessions: vec![2, 1],
            ..Snapshot::default()
        };
        let text = Field::to_json(&snapshot).stringify().expect("JSON");
        assert_eq!(
            Snapshot::from_json(&text.parse().expect("JSON")),
            Some(snapshot)
        );
        let older: tinyjson::JsonValue = r#"{"name":"n","engines":[{"name":"e"}],"newer":1}"#
            .parse()
            .expect("JSON");
        assert!(Snapshot::from_json(&older).is_some_and(|s| s.engines[0].heard_ms.is_none()));
        let odd: tinyjson::JsonValue = r#"{"name":5}"#.parse().expect("JSON");
        assert_eq!(Snapshot::from_json(&odd), None);
    }
}
