//! Rows that the store holds.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::JobSpec;
use crate::batch::Run;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::PoolId;

/// Accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRow {
    /// Identifier.
    pub id: JobId,
    /// Queue.
    pub queue: CompactString,
    /// Pool of the queue when the job was accepted.
    pub pool: PoolId,
    /// Unix milliseconds of the acceptance.
    pub accepted_ms: i64,
    /// What to run.
    pub job: JobSpec,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted, not started.
    #[default]
    Pending,
    /// Started.
    Active,
    /// Each task ended as done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Cancelled by its caller.
    Canceled,
}

impl Phase {
    /// Returns whether the job will not change any more.
    pub fn terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }
}

/// State of a job that any entry shows to callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateRow {
    /// State.
    pub phase: Phase,
    /// Queue.
    pub queue: CompactString,
    /// Unix milliseconds at which the state became terminal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<i64>,
}

/// What the runs of an open job did so far; only the holder of the role reads it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRow {
    /// State.
    pub phase: Phase,
    /// Tasks that differ from a new one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRow>,
}

/// Task of a job, stored as a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRow(
    /// Occurrence.
    pub u32,
    /// Step.
    pub u32,
    /// Index within the step.
    pub u32,
    /// Highest run that may have been started.
    pub Run,
    /// Runs that ended as failed.
    pub u32,
    /// Whether it is done.
    pub bool,
    /// Worker that may run it; empty for none.
    pub WorkerId,
    /// Newest checkpoint; empty for none.
    pub CompactString,
    /// Highest run that counts among the failed ones.
    #[serde(default)]
    pub Run,
);
