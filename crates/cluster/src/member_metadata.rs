//! Metadata that a member publishes about itself: a gossip record to which later builds may add fields.
//!
//! The record is a sequence of fields, each a number, a length and that many bytes. Unknown fields are skipped.
//!
//! | number | field |
//! | --- | --- |
//! | 1 | zone, UTF-8 |
//! | 2 | region, UTF-8 |
//! | 3 | build, UTF-8 |
//! | 4 | state, one of the names of [`State::name`] |
//! | 5 | when the state was entered, in milliseconds since 1970, 8 bytes big endian |

/// The lifecycle state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does not have its engine list yet.
    Starting,
    /// It serves requests.
    Serving,
    /// An operator paused it: it drains its clients.
    Paused,
    /// It completes the requests that it accepted, then exits.
    Ending,
    /// A state that this build does not know.
    Other,
}

/// The names of the states on the wire.
const STATE_NAMES: [(State, &str); 4] = [
    (State::Starting, "starting"),
    (State::Serving, "serving"),
    (State::Paused, "paused"),
    (State::Ending, "ending"),
];

impl State {
    /// The name of the state, as it is sent and shown to operators.
    pub fn name(self) -> &'static str {
        STATE_NAMES
            .iter()
            .find(|(state, _)| *state == self)
            .map_or("in a state of a later build", |(_, name)| name)
    }

    fn from_name(sent: &[u8]) -> State {
        STATE_NAMES
            .iter()
            .find(|(_, name)| name.as_bytes() == sent)
            .map_or(State::Other, |(state, _)| *state)
    }
}

/// Longest text of a field, in bytes; longer text is truncated at a character boundary.
pub const MAX_TEXT_BYTES: usize = 48;
const ZONE_FIELD: u8 = 1;
const REGION_FIELD: u8 = 2;
const BUILD_FIELD: u8 = 3;
const STATE_FIELD: u8 = 4;
const SINCE_FIELD: u8 = 5;

/// Metadata of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberMetadata {
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its region; empty if it has none.
    pub region: String,
    /// The version of its build.
    pub build: String,
    /// Its lifecycle state.
    pub state: State,
    /// When it entered that state, by its own clock, in milliseconds since 1970.
    pub since_ms: u64,
}

impl Default for MemberMetadata {
    fn default() -> MemberMetadata {
        MemberMetadata {
            zone: String::new(),
            region: String::new(),
            build: String::new(),
            state: State::Starting,
            since_ms: 0,
        }
    }
}

/// Truncates a text to [`MAX_TEXT_BYTES`] at a character boundary.
fn truncate(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

fn write_field(number: u8, bytes: &[u8], out: &mut Vec<u8>) {
    let length = u8::try_from(bytes.len()).expect("a field is at most MAX_TEXT_BYTES long");
    out.extend([number, length]);
    out.extend_from_slice(bytes);
}

impl MemberMetadata {
    /// Encodes the metadata as a gossip record.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        write_field(ZONE_FIELD, truncate(&self.zone).as_bytes(), &mut out);
        write_field(REGION_FIELD, truncate(&self.region).as_bytes(), &mut out);
        write_field(BUILD_FIELD, truncate(&self.build).as_bytes(), &mut out);
        write_field(STATE_FIELD, self.state.name().as_bytes(), &mut out);
        write_field(SINCE_FIELD, &self.since_ms.to_be_bytes(), &mut out);
        out
    }

    /// Decodes a gossip record; `None` if it ends within a field.
    pub fn decode(mut bytes: &[u8]) -> Option<MemberMetadata> {
        let mut metadata = MemberMetadata {
            state: State::Other,
            ..MemberMetadata::default()
        };
        while let [number, length, remaining @ ..] = bytes {
            let (value, remaining) = remaining.split_at_checked(usize::from(*length))?;
            metadata.read_field(*number, value)?;
            bytes = remaining;
        }
        bytes.is_empty().then_some(metadata)
    }

    fn read_field(&mut self, number: u8, value: &[u8]) -> Option<()> {
        let text = || truncate(&String::from_utf8_lossy(value)).to_string();
        match number {
            ZONE_FIELD => self.zone = text(),
            REGION_FIELD => self.region = text(),
            BUILD_FIELD => self.build = text(),
            STATE_FIELD => self.state = State::from_name(value),
            SINCE_FIELD => self.since_ms = u64::from_be_bytes(value.try_into().ok()?),
            _ => {}
        }
        Some(())
    }
}
