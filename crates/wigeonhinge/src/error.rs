//! Error type of the library.

use std::fmt;

use compact_str::CompactString;

/// Result of a fallible operation of the library.
pub type Result<T> = std::result::Result<T, Error>;

/// An input error, a refused change or a write conflict.
///
/// ```
/// use wigeonhinge::Category;
/// use wigeonhinge::Error;
///
/// let error = Error::unknown("pool", "crews");
/// assert_eq!(error.classify(), Category::Input);
/// assert_eq!(error.to_string(), "unknown pool \"crews\"");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

/// Class of an [`Error`], which decides how a caller reacts to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The input is invalid; retrying with the same input fails again.
    Input,
    /// A rule forbids the change in the current state; it may be allowed later.
    Refused,
    /// Another writer changed the value first; read it again and retry.
    Conflict,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
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
    /// Creates an error for a `name` that no item of the kind `what` has.
    pub fn unknown(what: &'static str, name: &str) -> Self {
        let name = CompactString::from(name);
        Self {
            kind: Kind::Unknown { what, name },
        }
    }

    /// Creates an error for a change that a rule forbids.
    pub fn refused(reason: impl Into<CompactString>) -> Self {
        let reason = reason.into();
        Self {
            kind: Kind::Refused { reason },
        }
    }

    /// Creates an error for a change of `what` that another writer overtook.
    pub fn conflict(what: &'static str) -> Self {
        Self {
            kind: Kind::Conflict { what },
        }
    }

    /// Returns the category, which tells whether a retry can succeed.
    pub fn classify(&self) -> Category {
        match self.kind {
            Kind::Unknown { .. } => Category::Input,
            Kind::Refused { .. } => Category::Refused,
            Kind::Conflict { .. } => Category::Conflict,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Unknown { what, name } => write!(f, "unknown {what} {name:?}"),
            Kind::Refused { reason } => write!(f, "refused: {reason}"),
            Kind::Conflict { what } => write!(f, "{what} was changed by another writer"),
        }
    }
}

impl std::error::Error for Error {}
