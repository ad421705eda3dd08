//! What an operator asks of a running program.

use crate::json::{ObjectReader, ObjectWriter};
use crate::VERSION;

/// Time between two snapshots where a request names none.
const DEFAULT_FOLLOW_MILLIS: u64 = 1_000;
/// Shortest time between two snapshots.
const MIN_FOLLOW_MILLIS: u64 = 50;
/// Longest time between two snapshots.
const MAX_FOLLOW_MILLIS: u64 = 60_000;
/// Characters of an unknown request's name that are repeated to the client.
const MAX_SHOWN_NAME_CHARS: usize = 40;

/// A request: an object whose member `do` names it, beside its version `v` and its `id`.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// `snapshot`: everything, once.
    Snapshot,
    /// `follow`: everything, again and again; milliseconds between.
    Follow(u64),
    /// `events`: the last events, and with `true` all that come.
    Events(bool),
    /// `drain`: nothing new goes to an engine.
    Drain {
        /// The engine.
        engine: String,
        /// Also the last one that is ready.
        force: bool,
    },
    /// `resume`: lifts a drain.
    Resume(String),
    /// `pause`: sends the clients away.
    Pause,
    /// `unpause`: back to work.
    Unpause,
    /// `add`: adds an engine.
    Add {
        /// Its name.
        engine: String,
        /// Where it listens.
        addr: String,
        /// Its zone, by name; empty for the first.
        zone: String,
        /// Its machine kind, by name; empty for the first.
        kind: String,
    },
    /// `remove`: takes an engine out of the list.
    Remove {
        /// The engine.
        engine: String,
        /// Also while it takes work.
        force: bool,
    },
    /// `roll`: begins a rolling restart of these engines, or of all; with `true` only says what it would do.
    Roll(Vec<String>, bool),
    /// `back`: the engine that a rolling restart has handed over is back.
    EngineReturned,
    /// `hold`: takes a hold over the whole cluster.
    Hold {
        /// Its name: of one name only one is held.
        name: String,
        /// For how long, in seconds.
        for_s: u64,
        /// It is held beyond that, until it is given back.
        stays: bool,
        /// Why, for other operators.
        note: String,
    },
    /// `unhold`: gives a hold back, whoever took it.
    Unhold(String),
    /// `roll_stop`: stops the rolling restart.
    RollStop,
    /// `roll_go_on`: lets a stopped rolling restart continue.
    RollResume,
    /// `auth`: the answer to a challenge.
    Auth(String),
}

/// Why a line is no request. The program answers with these words.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It is no JSON object.
    #[error("the line is no JSON object")]
    NotJson,
    /// Its version is another one.
    #[error("this program speaks version {VERSION} of the protocol, not {0}")]
    Version(u64),
    /// Its name is unknown.
    #[error("nothing is called {0:?} here")]
    Unknown(String),
    /// A member that it needs is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
}

impl Request {
    /// The request as a line, under an id.
    pub fn line(&self, id: u64) -> String {
        let object = ObjectWriter::new()
            .with("v", &VERSION)
            .with("id", &id)
            .with("do", &self.name().to_string());
        self.write_members(object).into_line()
    }

    /// Reads a line: its id (0 where it has none), and what it asks for.
    pub fn read(line: &str) -> (u64, Result<Request, RequestError>) {
        match ObjectReader::parse(line) {
            Some(object) => {
                let id = object.get_whole_number("id").unwrap_or(0);
                (id, Request::read_object(&object))
            }
            None => (0, Err(RequestError::NotJson)),
        }
    }

    /// The request's name in the member `do`.
    fn name(&self) -> &'static str {
        match self {
            Request::Snapshot => "snapshot",
            Request::Follow(_) => "follow",
            Request::Events(_) => "events",
            Request::Drain { .. } => "drain",
            Request::Resume(_) => "resume",
            Request::Pause => "pause",
            Request::Unpause => "unpause",
            Request::Add { .. } => "add",
            Request::Remove { .. } => "remove",
            Request::Roll(..) => "roll",
            Request::EngineReturned => "back",
            Request::Hold { .. } => "hold",
            Request::Unhold(_) => "unhold",
            Request::RollStop => "roll_stop",
            Request::RollResume => "roll_go_on",
            Request::Auth(_) => "auth",
        }
    }

    fn write_members(&self, object: ObjectWriter) -> ObjectWriter {
        match self {
            Request::Snapshot
            | Request::Pause
            | Request::Unpause
            | Request::EngineReturned
            | Request::RollStop
            | Request::RollResume => object,
            Request::Follow(millis) => object.with("every_ms", millis),
            Request::Events(follow) => object.with("follow", follow),
            Request::Drain { engine, force } | Request::Remove { engine, force } => {
                object.with("engine", engine).with("force", force)
            }
            Request::Resume(engine) => object.with("engine", engine),
            Request::Add {
                engine,
                addr,
                zone,
                kind,
            } => object
                .with("engine", engine)
                .with("addr", addr)
                .with("zone", zone)
                .with("kind", kind),
            Request::Roll(engines, is_dry_run) => {
                object.with("engines", engines).with("dry_run", is_dry_run)
            }
            Request::Hold {
                name,
                for_s,
                stays,
                note,
            } => object
                .with("name", name)
                .with("for_s", for_s)
                .with("stays", stays)
                .with("note", note),
            Request::Unhold(name) => object.with("name", name),
            Request::Auth(answer) => object.with("answer", answer),
        }
    }

    fn read_object(object: &ObjectReader) -> Result<Request, RequestError> {
        let version = object.get_whole_number("v");
        let version = version.ok_or(RequestError::Missing("v"))?;
        if version != VERSION {
            return Err(RequestError::Version(version));
        }
        let name: String = object.get("do").ok_or(RequestError::Missing("do"))?;
        let text = |member: &str| object.get::<String>(member).unwrap_or_default();
        let flag = |member: &str| object.get::<bool>(member).unwrap_or_default();
        let required = |member: &'static str| match text(member) {
            empty if empty.is_empty() => Err(RequestError::Missing(member)),
            text => Ok(text),
        };
        Ok(match name.as_str() {
            "snapshot" => Request::Snapshot,
            "follow" => Request::Follow(follow_millis(object)),
            "events" => Request::Events(flag("follow")),
            "drain" => Request::Drain {
                engine: required("engine")?,
                force: flag("force"),
            },
            "resume" => Request::Resume(required("engine")?),
            "pause" => Request::Pause,
            "unpause" => Request::Unpause,
            "add" => Request::Add {
                engine: required("engine")?,
                addr: text("addr"),
                zone: text("zone"),
                kind: text("kind"),
            },
            "remove" => Request::Remove {
                engine: required("engine")?,
                force: flag("force"),
            },
            "roll" => Request::Roll(object.get_texts("engines"), flag("dry_run")),
            "back" => Request::EngineReturned,
            "hold" => Request::Hold {
                name: required("name")?,
                for_s: object
                    .get_whole_number("for_s")
                    .ok_or(RequestError::Missing("for_s"))?,
                stays: flag("stays"),
                note: text("note"),
            },
            "unhold" => Request::Unhold(required("name")?),
            "roll_stop" => Request::RollStop,
            "roll_go_on" => Request::RollResume,
            "auth" => Request::Auth(required("answer")?),
            other => {
                let shown = other.chars().take(MAX_SHOWN_NAME_CHARS).collect();
                return Err(RequestError::Unknown(shown));
            }
        })
    }
}

fn follow_millis(object: &ObjectReader) -> u64 {
    object
        .get_whole_number("every_ms")
        .unwrap_or(DEFAULT_FOLLOW_MILLIS)
        .clamp(MIN_FOLLOW_MILLIS, MAX_FOLLOW_MILLIS)
}
