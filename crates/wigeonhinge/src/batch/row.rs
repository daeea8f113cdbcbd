//! Rows of jobs in the store.
//!
//! They are stored in a compact codec that is not self-describing, so all fields are always written,
//! in their order here.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::JobSpec;
use crate::batch::Run;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::WorkspaceId;
use crate::partition::Partition;

/// Accepted job, as stored for the role holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRow {
    /// Identifier of the job.
    pub id: JobId,
    /// Partition that schedules the job.
    pub partition: Partition,
    /// Name of the queue that accepted the job.
    pub queue: CompactString,
    /// Pool of the queue when the job was accepted.
    pub pool: PoolId,
    /// Unix time in milliseconds at which the job was accepted.
    pub accepted_ms: i64,
    /// Steps and timing as the caller requested them.
    pub job: JobSpec,
    /// Workspace that submitted the job; empty for none. Rows of the first versions of the codec lack
    /// it and all later fields.
    pub workspace: WorkspaceId,
    /// What came with the job from another partition; `None` if it is in the one that accepted it. It
    /// is the last field, as rows of earlier versions of the codec lack it.
    pub transfer: Option<TransferRow>,
}

/// Transfer of a job from another partition, part of its row there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TransferRow {
    /// Number of transfers of the job so far, from 1.
    pub count: u32,
    /// Progress of its tasks when it was transferred; none of them had a run.
    pub progress: ProgressRow,
}

/// Lifecycle state of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Accepted; no task was started.
    #[default]
    Pending,
    /// At least one task was started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows, or crashed its workers.
    Failed,
    /// Cancelled by the caller.
    Canceled,
}

impl Phase {
    /// Returns whether the job has ended.
    pub fn terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }
}

/// State of a job as every entry shows it to callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateRow {
    /// Current lifecycle state.
    pub phase: Phase,
    /// Name of the queue that accepted the job.
    pub queue: CompactString,
    /// Partition that schedules the job.
    pub partition: Partition,
    /// Unix time in milliseconds at which the job ended; `None` before.
    pub ended_ms: Option<i64>,
}

/// Task progress of a job that has not ended; only the role holder reads it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRow {
    /// Current lifecycle state.
    pub phase: Phase,
    /// Tasks that were started at least once.
    pub tasks: Vec<TaskRow>,
}

/// Run that was lost when the lease of its worker ended, stored as a list in this order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LostRunRow(
    /// Worker that had the run.
    pub WorkerId,
    /// Number of the run.
    pub Run,
    /// Whether it may have crashed the worker.
    pub bool,
    /// Whether it is known to have been on the worker.
    pub bool,
);

/// Task of a job, stored as a list in this order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRow(
    /// Occurrence, from 0.
    pub u32,
    /// Step, from 0.
    pub u32,
    /// Index within the step, from 0.
    pub u32,
    /// Highest run that may have been started.
    pub Run,
    /// Number of failed runs.
    pub u32,
    /// Whether the task is done.
    pub bool,
    /// Worker that may have a run of the task; empty for none.
    pub WorkerId,
    /// Newest checkpoint; empty for none.
    pub CompactString,
    /// Highest run counted as failed; 0 for none.
    pub Run,
    /// Suspicion that its runs crash their workers; 0 for none.
    pub u32,
    /// Number of workers that crashed while they are known to have had a run of the task.
    pub u32,
    /// Number of runs lost at their starts since the last one that survived its start.
    pub u32,
    /// Incarnation of the worker that may have a run of the task; 0 if unknown.
    pub u64,
    /// Runs that were lost with their workers, as long as it is unknown whether these crashed.
    pub Vec<LostRunRow>,
);
