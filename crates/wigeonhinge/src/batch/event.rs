//! What the scheduler is told, and what it asks for.

use compact_str::CompactString;

use crate::batch::Catalog;
use crate::batch::JobRow;
use crate::batch::Machine;
use crate::batch::ProgressRow;
use crate::batch::Report;
use crate::batch::Run;
use crate::batch::StateRow;
use crate::batch::TaskId;
use crate::batch::Wave;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::VmId;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A configuration is in force.
    Configure(Catalog),
    /// A job was accepted.
    Accept(JobRow),
    /// A job's cancellation was accepted.
    Cancel(JobId),
    /// The workers that the registry lists.
    Workers(Vec<WorkerEntry>),
    /// A worker listed its runs.
    Report(WorkerId, Report),
    /// A lease extension was sent to a worker.
    LeaseExtended(WorkerId),
    /// A start was answered.
    StartAnswered(WorkerId, TaskId, Run, StartReply),
    /// A stop was answered; `false` if the outcome is unknown.
    StopAnswered(WorkerId, TaskId, Run, bool),
    /// The platform's list of machines.
    Machines(Vec<Machine>),
    /// A machine order was answered; `false` if it was refused or its outcome is unknown.
    OrderAnswered(VmId, bool),
    /// A maintenance wave is due.
    Wave(Wave),
    /// Time went by.
    Tick,
}

/// Answer of a worker to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The worker has no room.
    NoRoom,
    /// The worker refused and did nothing.
    Refused,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The outcome is unknown.
    Unknown,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// Worker that is asked.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: Run,
        /// What the task runs, as the caller wrote it.
        spec: CompactString,
        /// Checkpoint to resume from; empty for none.
        checkpoint: CompactString,
    },
    /// Stop a run.
    Stop {
        /// Worker that is asked.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: Run,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// Worker that is asked.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: Run,
        /// Share in percent.
        percent: u32,
    },
    /// Acknowledge ends up to a number.
    Acknowledge {
        /// Worker that listed them.
        worker: WorkerId,
        /// Number of the last one.
        end: u64,
    },
    /// Move a machine to a pool.
    Move {
        /// Machine.
        machine: VmId,
        /// Pool that receives it.
        pool: PoolId,
    },
    /// Begin a machine's maintenance.
    Maintain {
        /// Machine.
        machine: VmId,
        /// Wave that asks for it.
        wave: u64,
    },
    /// Publish a wave's state.
    Publish {
        /// Wave.
        wave: u64,
        /// Whether each of its machines had its maintenance.
        completed: bool,
    },
    /// Write a line to the log.
    Log(String),
}

/// Rows of a job that are to be written, and the number that acknowledges them.
#[derive(Clone, Debug)]
pub struct Write {
    /// Job.
    pub job: JobId,
    /// Version of the job that the rows hold.
    pub version: u64,
    /// State, if the store may hold another one.
    pub state: Option<StateRow>,
    /// What its runs did; nothing once the job has ended.
    pub progress: Option<ProgressRow>,
    /// Whether the store may hold an earlier progress.
    pub progress_stored: bool,
}

/// Standing of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSummary {
    /// Workers.
    pub workers: usize,
    /// Runs that may exist on them.
    pub runs: usize,
    /// Tasks that wait for room.
    pub waiting: usize,
    /// Thousandths of a core that the runs request.
    pub used_millicores: u64,
    /// Thousandths of a core that the workers have.
    pub total_millicores: u64,
}
