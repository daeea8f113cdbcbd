//! Jobs and workers as they were described.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::WorkerId;
use crate::id::PoolId;
use crate::id::VmId;
use crate::id::ZoneId;

/// Size of a task, or capacity of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Size {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Returns whether a task of this size fits into `free`.
    pub fn fits(self, free: Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference, at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Worker as the registry lists it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerEntry {
    /// Identifier.
    pub id: WorkerId,
    /// Address as `IP:port`.
    pub address: CompactString,
    /// Pool.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Capacity.
    pub capacity: Size,
    /// Labels: its kind and its rack.
    pub labels: Vec<CompactString>,
    /// Whether it finishes what it runs and takes no new work.
    pub draining: bool,
    /// Unix milliseconds at which this incarnation began; 0 if unknown.
    pub incarnation: u64,
    /// Machine whose life it is; empty if unknown.
    pub machine: VmId,
}

/// Job as its caller described it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// What its tasks run.
    #[serde(default)]
    pub spec: CompactString,
    /// Steps.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Times that the steps run; 0 stands for once, at once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat: u32,
    /// Unix milliseconds at which the first occurrence is due.
    #[serde(default, skip_serializing_if = "is_default")]
    pub start_ms: i64,
    /// Milliseconds from one occurrence to the next.
    #[serde(default, skip_serializing_if = "is_default")]
    pub interval_ms: i64,
}

/// Step of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Tasks.
    pub count: u32,
    /// Thousandths of a core that a task requests.
    #[serde(skip_serializing_if = "is_default")]
    pub millicores: u64,
    /// Memory in MB that a task requests.
    #[serde(skip_serializing_if = "is_default")]
    pub memory_mb: u64,
    /// Accelerators that a task requests.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// Rough estimate of a task's duration in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have; empty for none.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub requires: CompactString,
    /// Rack on which the tasks are faster; empty for none.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub affinity: CompactString,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "duplicates")]
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run, by name.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub image: CompactString,
    /// Objective of the tail of the response times in milliseconds; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub goal_ms: u64,
    /// Whether the tasks use only the capacity that others leave.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks that may be unavailable at the same time as a result of orders.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns what a task takes from a worker's capacity.
    pub fn size(&self) -> Size {
        Size {
            millicores: match self.best_effort {
                true => 0,
                false => self.millicores,
            },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
