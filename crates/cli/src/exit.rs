//! Exit statuses.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command did what it was asked for.
    Done,
    /// The command was refused or failed; nothing was changed.
    Refused,
    /// The input is at fault; nothing was changed.
    BadInput,
    /// Whether the change took effect is not known yet.
    Unknown,
}

impl Exit {
    /// Exit statuses, as `--help` prints them.
    pub const TABLE: &str = "Exit status: 0 done, 1 refused or failed, 2 bad input, \
                             3 outcome unknown.";

    /// Returns the exit status.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::BadInput => 2,
            Self::Unknown => 3,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
