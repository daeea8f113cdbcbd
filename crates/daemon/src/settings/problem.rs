//! Errors about missing and invalid settings.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use compact_str::CompactString;

/// All problems found in the settings; there is at least one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    pub(super) file: Option<PathBuf>,
    pub(super) problems: Vec<Problem>,
}

/// A missing or invalid setting, or a syntax error of the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line and column, both from 1; `None` if unknown.
    pub position: Option<(usize, usize)>,
    /// Path of the setting, such as `limits.receive_ms`; empty for the whole file.
    pub path: CompactString,
    /// The invalid value as written, or the cause if the file cannot be read or parsed.
    pub value: CompactString,
    /// Description of a valid value.
    pub expected: CompactString,
}

impl Error {
    /// Returns the problems in the order in which they were found.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the path of the settings file, or `None` if the settings were not read from a file.
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
