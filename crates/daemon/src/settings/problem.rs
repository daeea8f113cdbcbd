//! Problems of settings.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use compact_str::CompactString;

/// Every problem found in settings; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    pub(super) file: Option<PathBuf>,
    pub(super) problems: Vec<Problem>,
}

/// A problem in settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line and column, both from 1; `None` for settings that were not read from a file.
    pub position: Option<(usize, usize)>,
    /// Setting, such as `limits.receive_ms`.
    pub path: CompactString,
    /// Offending value.
    pub value: CompactString,
    /// What was expected.
    pub expected: CompactString,
}

impl Error {
    /// Returns the problems, in the order of the file.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the file; `None` for settings that were not read from one.
    pub fn file(&self) -> Option<&Path> {
        self.file.as_deref()
    }
}

impl Problem {
    pub(super) fn new(path: &str, value: &str, expected: &str) -> Self {
        Self {
            position: None,
            path: path.into(),
            value: value.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            if let Some(file) = &self.file {
                write!(f, "{}:", file.display())?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.position {
            write!(f, "{line}:{column}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "value {}; expected {}", self.value, self.expected)
    }
}

impl std::error::Error for Error {}
