//! Faults of settings.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use compact_str::CompactString;

/// Every fault found in settings; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    pub(super) file: Option<PathBuf>,
    pub(super) faults: Vec<Fault>,
}

/// A fault in settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line and column, both from 1; `None` for settings that were not read from a file.
    pub place: Option<(usize, usize)>,
    /// Setting, such as `limits.receive_ms`.
    pub path: CompactString,
    /// Offending value.
    pub value: CompactString,
    /// What was expected.
    pub expected: CompactString,
}

impl Error {
    /// Returns the faults, in the order of the file.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the file; `None` for settings that were not read from one.
    pub fn file(&self) -> Option<&Path> {
        self.file.as_deref()
    }
}

impl Fault {
    pub(super) fn new(path: &str, value: &str, expected: &str) -> Self {
        Self {
            place: None,
            path: path.into(),
            value: value.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            if let Some(file) = &self.file {
                write!(f, "{}:", file.display())?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.place {
            write!(f, "{line}:{column}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "value {}; expected {}", self.value, self.expected)
    }
}

impl std::error::Error for Error {}
