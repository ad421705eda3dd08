//! Requests to a running program.

use crate::json::{ObjectReader, ObjectWriter};
use crate::VERSION;

/// Default interval between two snapshots.
const DEFAULT_FOLLOW_MILLIS: u64 = 1_000;
/// Minimum interval between two snapshots.
const MIN_FOLLOW_MILLIS: u64 = 50;
/// Maximum interval between two snapshots.
const MAX_FOLLOW_MILLIS: u64 = 60_000;
/// Maximum number of characters of an unknown request's name that are repeated in the error.
const MAX_SHOWN_NAME_CHARS: usize = 40;

/// A request: an object with the name of the request (`do`), the protocol version (`v`) and an `id`.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// `snapshot`: one snapshot.
    Snapshot,
    /// `follow`: a snapshot at this interval, in milliseconds.
    Follow(u64),
    /// `events`: the last events; with `true` also all future ones.
    Events(bool),
    /// `drain`: sends no new work to an engine.
    Drain {
        /// The engine.
        engine: String,
        /// Drain it even if it is the last ready engine.
        force: bool,
    },
    /// `resume`: lifts a drain.
    Resume(String),
    /// `pause`: disconnects the clients.
    Pause,
    /// `unpause`: ends a pause.
    Unpause,
    /// `add`: adds an engine.
    Add {
        /// The engine.
        engine: String,
        /// The address it listens on.
        addr: String,
        /// The name of its zone; empty for the first zone.
        zone: String,
        /// The name of its machine kind; empty for the first kind.
        kind: String,
    },
    /// `remove`: removes an engine from the list.
    Remove {
        /// The engine.
        engine: String,
        /// Remove it even if it is ready.
        force: bool,
    },
    /// `roll`: starts a rolling restart of these engines, or of all if the list is empty; with `true` only returns the plan.
    Roll(Vec<String>, bool),
    /// `back`: confirms that the engine handed over by a rolling restart is back.
    EngineReturned,
    /// `hold`: acquires a cluster-wide lease.
    Hold {
        /// The name of the lease. At most one lease of a name is granted at a time.
        name: String,
        /// The duration, in seconds.
        for_s: u64,
        /// The lease stays granted after that time, until it is released.
        stays: bool,
        /// The reason, for other operators.
        note: String,
    },
    /// `unhold`: releases a lease, whoever acquired it.
    Unhold(String),
    /// `roll_stop`: stops the rolling restart.
    RollStop,
    /// `roll_go_on`: resumes a stopped rolling restart.
    RollResume,
    /// `auth`: the answer to a challenge.
    Auth(String),
}

/// Why a line is rejected. `Display` is the text of the reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is not a JSON object.
    #[error("the line is no JSON object")]
    NotJson,
    /// The request has another protocol version.
    #[error("this program speaks version {VERSION} of the protocol, not {0}")]
    Version(u64),
    /// The name of the request is unknown.
    #[error("nothing is called {0:?} here")]
    Unknown(String),
    /// A required member is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
}

impl Request {
    /// Formats the request as a line with this id.
    pub fn line(&self, id: u64) -> String {
        let object = ObjectWriter::new()
            .with("v", &VERSION)
            .with("id", &id)
            .with("do", &self.name().to_string());
        self.write_members(object).into_line()
    }

    /// Parses a line into its id (0 if there is none) and the request.
    pub fn read(line: &str) -> (u64, Result<Request, RequestError>) {
        match ObjectReader::parse(line) {
            Some(object) => {
                let id = object.get_u64("id").unwrap_or(0);
                (id, Request::read_object(&object))
            }
            None => (0, Err(RequestError::NotJson)),
        }
    }

    /// The name of the request, in the member `do`.
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
        let version = object.get_u64("v");
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
            "roll" => Request::Roll(object.get_strings("engines"), flag("dry_run")),
            "back" => Request::EngineReturned,
            "hold" => Request::Hold {
                name: required("name")?,
                for_s: object
                    .get_u64("for_s")
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
        .get_u64("every_ms")
        .unwrap_or(DEFAULT_FOLLOW_MILLIS)
        .clamp(MIN_FOLLOW_MILLIS, MAX_FOLLOW_MILLIS)
}
