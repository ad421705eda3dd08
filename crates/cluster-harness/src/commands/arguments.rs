//! Command line arguments.

/// All arguments after the program name.
pub(crate) struct Arguments(Vec<String>);

impl Arguments {
    /// Returns the arguments of this process.
    pub(crate) fn from_env() -> Arguments {
        Arguments(std::env::args().skip(1).collect())
    }

    /// Returns whether an option was given.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.0.iter().any(|a| a == name)
    }

    /// Returns the value of an option.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let position = self.0.iter().position(|a| a == name)?;
        self.0.get(position + 1).map(String::as_str)
    }

    /// Returns the numeric value of an option, or the default if it is missing or not a number.
    pub(crate) fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.value(name).and_then(|v| v.parse().ok());
        value.unwrap_or(default)
    }

    /// Like [`Arguments::number`], for a number of members.
    pub(crate) fn count(&self, name: &str, default: u32) -> u32 {
        u32::try_from(self.number(name, default.into())).unwrap_or(u32::MAX)
    }
}
