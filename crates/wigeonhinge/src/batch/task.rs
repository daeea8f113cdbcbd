//! Task identifiers and task state.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::batch::LostRunRow;
use crate::batch::Run;
use crate::batch::WorkerId;
use crate::batch::ready::Urgency;
use crate::id::JobId;
use crate::id::Time;

/// Identifier of a task, written as `job.occurrence.step.index`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job, from 0; always 0 unless the job repeats.
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

/// Error for a text that is not a task identifier.
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

/// Execution status of a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Status {
    /// Not assigned to a worker.
    #[default]
    Waiting,
    /// Assigned to a worker; the row with this version is not stored yet.
    Recording { worker: WorkerId, version: u64 },
    /// The assignment is stored; a run may exist on the worker.
    Placed { worker: WorkerId },
    /// Completed.
    Done,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) status: Status,
    /// Highest run that may have been started.
    pub(super) run: Run,
    pub(super) failures: u32,
    /// Highest run counted in `failures`.
    pub(super) last_failed_run: Run,
    /// Suspicion that its runs crash their workers; see `crash`.
    pub(super) suspicion: u32,
    /// Number of workers that crashed while they are known to have had a run of it.
    pub(super) crashes: u32,
    /// Number of runs lost before they had survived their starts, for whatever reason, since the
    /// last run that survived its start.
    pub(super) lost_at_start: u32,
    /// Runs that ended with the leases of their workers, as long as it is unknown whether these
    /// crashed.
    pub(super) unknown_fates: Vec<LostRunRow>,
    /// Incarnation of the worker that it was assigned to last.
    pub(super) incarnation: u64,
    /// Time before which it is not started while there are such workers.
    pub(super) held_until: Time,
    pub(super) checkpoint: CompactString,
    /// Worker on which the last run failed, stalled or was lost; used only if no other fits.
    pub(super) avoid: Option<WorkerId>,
    /// Time before which the task is not started again.
    pub(super) retry_at: Time,
    /// Its urgency in the ready queue of its pool, if it is there.
    pub(super) queued: Option<Urgency>,
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

    /// Returns whether it must not be started yet.
    pub(super) fn held_back(&self, now: Time) -> bool {
        self.retry_at > now || (!self.unknown_fates.is_empty() && self.held_until > now)
    }

    pub(super) fn done(&self) -> bool {
        self.status == Status::Done
    }

    /// Returns whether the task was never started, so that it needs no stored row.
    pub(super) fn is_new(&self) -> bool {
        self.run == 0 && self.waiting()
    }
}
