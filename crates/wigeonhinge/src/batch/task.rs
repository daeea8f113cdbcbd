//! Names and states of tasks.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::batch::Run;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::Time;

/// Name of a task, written as `job.occurrence.step.index`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Job.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// The text is no task's name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTaskIdError;

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, ParseTaskIdError> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let index = number().ok_or(ParseTaskIdError)?;
        let step = number().ok_or(ParseTaskIdError)?;
        let occurrence = number().ok_or(ParseTaskIdError)?;
        let job = parts.next().ok_or(ParseTaskIdError)?.into();
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Status {
    /// Not on any worker.
    #[default]
    Waiting,
    /// A worker was chosen; the record is not stored yet.
    Recording { worker: WorkerId, version: u64 },
    /// A run may exist on a worker.
    Placed { worker: WorkerId },
    /// Ended as done.
    Done,
}

/// Task of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) status: Status,
    /// Highest run that may have been started.
    pub(super) run: Run,
    pub(super) fails: u32,
    /// Highest run that counts among them.
    pub(super) judged: Run,
    pub(super) saved: CompactString,
    /// Worker on which the last run ended badly.
    pub(super) shun: Option<WorkerId>,
    /// Time before which it is not started again.
    pub(super) retry: Time,
    /// Whether it stands in the list of ready tasks.
    pub(super) queued: bool,
}

impl Task {
    pub(super) fn worker(&self) -> Option<&WorkerId> {
        match &self.status {
            Status::Recording { worker, .. } | Status::Placed { worker } => Some(worker),
            Status::Waiting | Status::Done => None,
        }
    }

    pub(super) fn waiting(&self) -> bool {
        self.status == Status::Waiting
    }

    pub(super) fn done(&self) -> bool {
        self.status == Status::Done
    }

    /// Returns whether nothing ever happened to it.
    pub(super) fn fresh(&self) -> bool {
        self.run == 0 && self.waiting()
    }
}
