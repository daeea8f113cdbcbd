//! Job descriptions by callers and worker entries of the registry.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::WorkerId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::VmId;
use crate::id::ZoneId;

/// Resource request of a task, or capacity of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Size {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Returns whether a request of this size fits into `free`.
    pub fn fits(self, free: Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum of both sizes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns `count` times this size.
    pub(super) fn scaled(self, count: u64) -> Self {
        Self {
            millicores: self.millicores * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// Returns the `count`th part of each resource, rounded down.
    pub(super) fn divided(self, count: u64) -> Self {
        Self {
            millicores: self.millicores / count,
            memory_mb: self.memory_mb / count,
            accelerators: self.accelerators / count,
        }
    }

    /// Returns a part from 0 to 1 of each resource, rounded up.
    pub(super) fn part(self, part: f64) -> Self {
        let of = |value: u64| (value as f64 * part).ceil() as u64;
        Self {
            millicores: of(self.millicores),
            memory_mb: of(self.memory_mb),
            accelerators: of(self.accelerators),
        }
    }

    /// Returns the difference of each resource, at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Display for Size {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            millicores,
            memory_mb,
            accelerators,
        } = self;
        write!(
            formatter,
            "{millicores} millicores, {memory_mb} MB and {accelerators} accelerators"
        )
    }
}

/// Registry entry of a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerEntry {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Address at which the worker takes calls; `None` if it is known from stored rows only.
    pub address: Option<SocketAddr>,
    /// Pool that the worker belongs to.
    pub pool: PoolId,
    /// Availability zone of the machine.
    pub zone: ZoneId,
    /// Rack of the machine; empty if unknown.
    pub rack: RackId,
    /// Total capacity for tasks.
    pub capacity: Size,
    /// Labels, such as machine kind and rack.
    pub labels: Vec<CompactString>,
    /// Whether the worker finishes its runs and accepts no new ones.
    pub draining: bool,
    /// Unix time in milliseconds at which this incarnation began; 0 if unknown.
    pub incarnation: u64,
    /// Machine that the worker runs on; empty if unknown.
    pub machine: VmId,
}

/// Description of a job by its caller.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// What the tasks run; passed to workers unchanged.
    pub spec: CompactString,
    /// Steps, referred to by their index.
    pub steps: Vec<Step>,
    /// Number of occurrences; 0 for a single one that is due at once.
    pub repeat: u32,
    /// Unix time in milliseconds at which the first occurrence is due.
    pub start_ms: i64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: i64,
}

/// Step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Thousandths of a core that a task requests.
    pub millicores: u64,
    /// Memory in MB that a task requests.
    pub memory_mb: u64,
    /// Accelerators that a task requests.
    pub accelerators: u64,
    /// Rough estimate of a task's duration in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the steps that must complete first.
    pub after: Vec<usize>,
    /// Whether tasks save checkpoints from which they can resume.
    pub checkpointing: bool,
    /// Whether the tasks must all run at the same time.
    pub gang: bool,
    /// Whether the tasks should share a rack, as they are slower across racks.
    pub same_rack: bool,
    /// Label that a worker must have; empty for none.
    pub requires: CompactString,
    /// Label of workers on which the tasks run faster, such as a rack; empty for none.
    pub affinity: CompactString,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled, and restart however they end.
    pub long_running: bool,
    /// Name of the image that the tasks run; empty if not given.
    pub image: CompactString,
    /// Objective for the tail of the response times in milliseconds; 0 if the tasks serve none.
    pub goal_ms: u64,
    /// Whether the tasks use only cores that other tasks leave idle.
    pub best_effort: bool,
    /// Number of tasks that machine orders may make unavailable at the same time;
    /// at least 1, and 1 if absent.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the capacity that a task reserves on its worker; best-effort tasks reserve no cores.
    pub fn size(&self) -> Size {
        Size {
            millicores: match self.best_effort {
                true => 0,
                false => self.millicores,
            },
            ..self.request()
        }
    }

    /// Returns what a task requests; best-effort tasks request cores although they reserve none.
    pub fn request(&self) -> Size {
        Size {
            millicores: self.millicores,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}
