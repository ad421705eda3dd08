//! What a member tells of itself: a record that later builds may add fields to.

/// Where a member stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does not know its engines yet.
    Starting,
    /// It serves.
    Serving,
    /// An operator sends its clients away.
    Paused,
    /// It answers what it took, and ends.
    Ending,
    /// A later build's word.
    Other,
}

const STATES: [(State, &str); 4] = [
    (State::Starting, "starting"),
    (State::Serving, "serving"),
    (State::Paused, "paused"),
    (State::Ending, "ending"),
];

impl State {
    /// In plain words.
    pub fn word(self) -> &'static str {
        STATES
            .iter()
            .find(|s| s.0 == self)
            .map_or("in a state of a later build", |s| s.1)
    }
}

/// Longest text of a field, in bytes; more is cut at a character.
const MAX_TEXT_BYTES: usize = 48;
const ZONE: u8 = 1;
const REGION: u8 = 2;
const BUILD: u8 = 3;
const STATE: u8 = 4;
const SINCE: u8 = 5;

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberMetadata {
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Its region; empty where it has none.
    pub region: String,
    /// Its build.
    pub build: String,
    /// Where it stands.
    pub state: State,
    /// Since when, by its own clock, in milliseconds since 1970.
    pub since_ms: u64,
}

impl Default for MemberMetadata {
    fn default() -> MemberMetadata {
        let (zone, region, build) = Default::default();
        MemberMetadata {
            zone,
            region,
            build,
            state: State::Starting,
            since_ms: 0,
        }
    }
}

fn cut(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

impl MemberMetadata {
    /// As bytes: fields of a number, a length and that many bytes.
    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let mut field = |number: u8, bytes: &[u8]| {
            out.extend([number, bytes.len() as u8]);
            out.extend_from_slice(bytes);
        };
        field(ZONE, cut(&self.zone).as_bytes());
        field(REGION, cut(&self.region).as_bytes());
        field(BUILD, cut(&self.build).as_bytes());
        field(STATE, self.state.word().as_bytes());
        field(SINCE, &self.since_ms.to_be_bytes());
        out
    }

    /// Reads such bytes; fields of a later build are skipped. `None` where they end within a field.
    pub fn read(mut bytes: &[u8]) -> Option<MemberMetadata> {
        let mut about = MemberMetadata {
            state: State::Other,
            ..MemberMetadata::default()
        };
        while let [number, length, rest @ ..] = bytes {
            let (value, rest) = rest.split_at_checked(usize::from(*length))?;
            let text = || cut(&String::from_utf8_lossy(value)).to_string();
            match *number {
                ZONE => about.zone = text(),
                REGION => about.region = text(),
                BUILD => about.build = text(),
                STATE => {
                    about.state = STATES
                        .iter()
                        .find(|s| s.1.as_bytes() == value)
                        .map_or(State::Other, |s| s.0)
                }
                SINCE => about.since_ms = u64::from_be_bytes(value.try_into().ok()?),
                _ => {}
            }
            bytes = rest;
        }
        bytes.is_empty().then_some(about)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    #[test]
    fn it_is_read_as_it_was_written_and_by_a_build_that_knows_fewer_fields() {
        let about = MemberMetadata {
            zone: "room-a".into(),
            region: "north".into(),
            build: "0.2.0".into(),
            state: State::Paused,
            since_ms: 1_764_600_000_123,
        };
        assert_eq!(MemberMetadata::read(&about.write()), Some(about.clone()));
        let mut later = about.write();
        later.extend([99, 3, 1, 2, 3]);
        assert_eq!(MemberMetadata::read(&later), Some(about.clone()));
        let unknown = MemberMetadata::read(&[STATE, 4, b'r', b'o', b'l', b'l']).unwrap();
        assert_eq!(unknown.state, State::Other);
        for end in 1..later.len() {
            let read = MemberMetadata::read(&later[..end]);
            assert!(
                read.is_none() || read.is_some_and(|a| a.zone == "room-a" || a.zone.is_empty())
            );
        }
        let long = MemberMetadata {
            zone: "é".repeat(60),
            ..about
        };
        assert_eq!(
            MemberMetadata::read(&long.write()).unwrap().zone,
            "é".repeat(24)
        );
    }

    #[test]
    fn no_bytes_make_it_panic() {
        fn reads(bytes: Vec<u8>) -> bool {
            MemberMetadata::read(&bytes).is_none_or(|a| a.zone.len() <= MAX_TEXT_BYTES)
        }
        quickcheck(reads as fn(Vec<u8>) -> bool);
    }
}
