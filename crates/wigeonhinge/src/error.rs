//! Errors of the library.

use std::fmt;

use compact_str::CompactString;

/// Result of a fallible operation of the library.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the library.
///
/// ```
/// use wigeonhinge::Category;
/// use wigeonhinge::Error;
///
/// let error = Error::unknown("pool", "crews");
/// assert_eq!(error.category(), Category::Input);
/// assert_eq!(error.to_string(), "unknown pool \"crews\"");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    code: Code,
}

/// What an [`Error`] means to the one who handles it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The input is at fault; the same input fails again.
    Input,
    /// A rule forbids the change now; it may be allowed later.
    Refused,
    /// Another writer was first; read again and retry.
    Conflict,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Code {
    Unknown {
        what: &'static str,
        name: CompactString,
    },
    Refused {
        reason: CompactString,
    },
    Conflict {
        what: &'static str,
    },
}

impl Error {
    /// Reports a name that nothing is known under.
    pub fn unknown(what: &'static str, name: &str) -> Self {
        let name = CompactString::from(name);
        Self {
            code: Code::Unknown { what, name },
        }
    }

    /// Reports a change that a rule forbids.
    pub fn refused(reason: impl Into<CompactString>) -> Self {
        let reason = reason.into();
        Self {
            code: Code::Refused { reason },
        }
    }

    /// Reports a change that another writer overtook.
    pub fn conflict(what: &'static str) -> Self {
        Self {
            code: Code::Conflict { what },
        }
    }

    /// Returns what the error means to the one who handles it.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Unknown { .. } => Category::Input,
            Code::Refused { .. } => Category::Refused,
            Code::Conflict { .. } => Category::Conflict,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Code::Unknown { what, name } => write!(f, "unknown {what} {name:?}"),
            Code::Refused { reason } => write!(f, "refused: {reason}"),
            Code::Conflict { what } => write!(f, "{what} was changed by another writer"),
        }
    }
}

impl std::error::Error for Error {}
