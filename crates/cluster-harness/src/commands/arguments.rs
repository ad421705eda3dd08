//! The command line.

/// All arguments behind the program's name.
pub(crate) struct Arguments(Vec<String>);

impl Arguments {
    /// Those of this process.
    pub(crate) fn of_process() -> Arguments {
        Arguments(std::env::args().skip(1).collect())
    }

    /// Whether an option was given.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.0.iter().any(|a| a == name)
    }

    /// An option's value.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let position = self.0.iter().position(|a| a == name)?;
        self.0.get(position + 1).map(String::as_str)
    }

    /// An option's number; the default where it was not given, or is none.
    pub(crate) fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.value(name).and_then(|v| v.parse().ok());
        value.unwrap_or(default)
    }

    /// An option's number of members.
    pub(crate) fn count(&self, name: &str, default: u32) -> u32 {
        u32::try_from(self.number(name, default.into())).unwrap_or(u32::MAX)
    }
}
