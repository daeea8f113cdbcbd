//! Inputs and outputs of the scheduler.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::batch::Catalog;
use crate::batch::JobRow;
use crate::batch::Machine;
use crate::batch::ProgressRow;
use crate::batch::Report;
use crate::batch::RestartsRow;
use crate::batch::Run;
use crate::batch::Size;
use crate::batch::StateRow;
use crate::batch::TaskId;
use crate::batch::Wave;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;
use crate::id::WorkspaceId;

/// Input of the scheduler.
#[derive(Debug)]
pub enum Event {
    /// A configuration took effect; ignored unless its version is newer.
    Configure(Catalog),
    /// A job was accepted.
    Accept(JobRow),
    /// A job's cancellation was accepted.
    Cancel(JobId),
    /// The registry's complete list of workers.
    Workers(Vec<WorkerEntry>),
    /// A worker's registry entry was added or changed.
    WorkerRegistered(WorkerEntry),
    /// A worker came with a rack of another partition.
    WorkerGained(WorkerEntry),
    /// A worker's registry entry was removed.
    WorkerRemoved(WorkerId),
    /// Another instance answers at a worker's address, so the worker and its runs are gone.
    WorkerGone(WorkerId),
    /// A worker reported its active and finished runs.
    Report(WorkerId, Report),
    /// The last extension of a worker's lease that was sent has ended at this time for certain.
    LeaseExtended(WorkerId, Time),
    /// A start was answered, refused or timed out.
    StartAnswered(WorkerId, TaskId, Run, StartReply),
    /// A stop was answered; `false` if its outcome is unknown.
    StopAnswered(WorkerId, TaskId, Run, bool),
    /// A pace was answered; `false` if it was refused or its outcome is unknown.
    PaceAnswered(WorkerId, TaskId, Run, bool),
    /// The platform's complete list of machines.
    Machines(Vec<Machine>),
    /// Machines of the platform's list that belong to other partitions.
    ForeignMachines(BTreeSet<VmId>),
    /// A machine order was answered; `false` if it was refused.
    OrderAnswered(VmId, bool),
    /// The outcome of a machine order is unknown; it may still be carried out.
    OrderUnanswered(VmId),
    /// A machine order was not sent, or refused for want of capacity; an earlier attempt may still
    /// be carried out.
    OrderNotSent(VmId),
    /// A maintenance wave was requested.
    Wave(Wave),
    /// The number of machines of a wave that may be down at a time changed.
    WaveLimit(u64, usize),
    /// Part of each workspace's cap that this partition may use, if there are several partitions. A
    /// workspace with a cap that is not listed may use nothing.
    CapShares(BTreeMap<WorkspaceId, Size>),
    /// Time has passed; sent at a regular interval.
    Tick,
}

/// Answer of a worker to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run exists on the worker.
    Started,
    /// The worker lacks the capacity and did nothing.
    NoRoom,
    /// The worker refused and did nothing.
    Refused,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The start was not sent: it was withdrawn, or the worker's lease ended before.
    NotSent,
    /// The outcome is unknown.
    Unknown,
}

/// Output of the scheduler, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run on a worker.
    Start {
        /// Worker that receives the order.
        worker: WorkerId,
        /// Task to start.
        task: TaskId,
        /// Run number, higher than that of any earlier start of the task.
        run: Run,
        /// What the task runs, unchanged from the caller's request.
        spec: CompactString,
        /// Checkpoint to resume from; empty for none.
        checkpoint: CompactString,
    },
    /// Stop a run on a worker.
    Stop {
        /// Worker that receives the order.
        worker: WorkerId,
        /// Task whose run is stopped.
        task: TaskId,
        /// Run number; other runs of the task are left alone.
        run: Run,
    },
    /// Drop the stop of a run if it is not sent yet, as its reason has lapsed.
    WithdrawStop {
        /// Worker that would receive the stop.
        worker: WorkerId,
        /// Task whose run goes on.
        task: TaskId,
        /// Run number.
        run: Run,
    },
    /// Withdraw all starts for a worker that are not sent yet, and report each as not sent.
    WithdrawStarts {
        /// Worker that must not receive them.
        worker: WorkerId,
    },
    /// Limit the speed of a best-effort task.
    Pace {
        /// Worker that receives the order.
        worker: WorkerId,
        /// Task whose speed is limited.
        task: TaskId,
        /// Run number to which the limit applies.
        run: Run,
        /// Allowed share of full speed in percent.
        percent: u32,
    },
    /// Acknowledge finished runs up to a number.
    Acknowledge {
        /// Worker that reported them.
        worker: WorkerId,
        /// Incarnation of the worker that numbered them; 0 if unknown.
        incarnation: u64,
        /// Number of the last finished run to acknowledge.
        end: u64,
    },
    /// Store the workers that restarted lately, before any start that follows.
    RecordRestarts(RestartsRow),
    /// Move a machine to another pool.
    Move {
        /// Machine to move.
        machine: VmId,
        /// Pool that receives the machine.
        pool: PoolId,
    },
    /// Begin the maintenance of a machine.
    Maintain {
        /// Machine to maintain.
        machine: VmId,
        /// Wave that includes the machine.
        wave: u64,
    },
    /// Publish the state of a wave.
    Publish {
        /// Number of the wave.
        wave: u64,
        /// Whether all its machines had their maintenance.
        completed: bool,
    },
    /// Write a line to the entry's log.
    Log(String),
}

/// Rows of one job to write to the store.
#[derive(Clone, Debug)]
pub struct Write {
    /// Job whose rows these are.
    pub job: JobId,
    /// Version of the job that the rows contain; rises with each change of any job.
    pub version: u64,
    /// State row; `None` if the store holds the current one.
    pub state: Option<StateRow>,
    /// Progress row; `None` once the job has ended.
    pub progress: Option<ProgressRow>,
    /// Whether the store may hold a progress row of the job.
    pub progress_stored: bool,
    /// Row with which the job passes to another partition, if it does; this one's rows of the job
    /// are removed.
    pub transfer: Option<Box<JobRow>>,
}

/// Workers and load of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSummary {
    /// Workers, without those whose machines have been given to another worker.
    pub workers: usize,
    /// Runs that may exist on the workers.
    pub runs: usize,
    /// Ready tasks that wait for capacity.
    pub waiting: usize,
    /// Thousandths of a core that the runs request.
    pub used_millicores: u64,
    /// Thousandths of a core that the workers have.
    pub total_millicores: u64,
}
