//! Events and actions of the scheduler.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use wigeonhinge_schema::audit;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::jobs::Batch;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::Snapshot;
use wigeonhinge_schema::ledger::Phase;

use crate::id::Fence;
use crate::id::JobId;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;
use crate::id::VmId;
use crate::place::Capacity;

/// One attempt to run a job. Workers identify it by the text `{job}.{attempt}`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// Job that is attempted.
    pub job: JobId,
    /// Number of the attempt; the first is 1.
    pub attempt: u32,
}

impl Task {
    /// Parses the text that workers use; `None` if it is malformed.
    ///
    /// ```
    /// use wigeonhinge::scheduler::Task;
    ///
    /// let task = Task::parse("night-build.2").unwrap();
    /// assert_eq!((task.job.as_str(), task.attempt), ("night-build", 2));
    /// assert_eq!(task.to_string(), "night-build.2");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (job, attempt) = text.rsplit_once('.')?;
        Some(Self {
            job: job.into(),
            attempt: attempt.parse().ok()?,
        })
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.attempt)
    }
}

/// Input of [`Scheduler::handle`](super::Scheduler::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A submitter sent a job. If the identifier is known, the answer is the state of
    /// the known job.
    Submit {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Submitted job; its state, worker, incarnation, fence, attempts and reason are
        /// ignored.
        job: Box<Job>,
    },
    /// A submitter cancels a job.
    Cancel {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Job to cancel.
        job: JobId,
    },
    /// A submitter asks for the state of a job.
    Query {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Job whose state is wanted.
        job: JobId,
    },
    /// The role was acquired, or its lease was renewed.
    Lease {
        /// Fence of the role.
        fence: Fence,
        /// When to stop relying on the lease; see
        /// [`Lease::deadline`](crate::lease::Lease::deadline).
        until: Time,
    },
    /// The role was lost or released.
    RoleLost,
    /// Answer to [`Action::Recover`].
    Recovered {
        /// Snapshot, if one exists.
        snapshot: Option<Box<Snapshot>>,
        /// Log from the position after the snapshot, without a gap, oldest first.
        batches: Vec<LogEntry>,
    },
    /// The store created the log position of an [`Action::Append`].
    Stored {
        /// Position that was created.
        seq: u64,
        /// Version of its key.
        version: u64,
    },
    /// The log position of an [`Action::Append`] exists already.
    Conflict {
        /// Position that was to be created.
        seq: u64,
    },
    /// Answer to [`Action::Read`].
    Read {
        /// Position that was read.
        seq: u64,
        /// Content of the position; `None` if it is absent.
        entry: Option<LogEntry>,
    },
    /// The store did not answer an [`Action::Append`], [`Action::Read`] or
    /// [`Action::Recover`], or answered with an error. An append may have
    /// taken effect.
    StoreUnavailable,
    /// Capacity that each team uses in the other pools, possibly out of date; it
    /// counts against their quotas here. See [`Scheduler::team_usage`](super::Scheduler::team_usage).
    UsageElsewhere(BTreeMap<TeamId, Capacity>),
    /// A configuration took effect.
    Adopt(Box<Fleet>),
    /// Ledger phases of the VMs of the pool; a VM that is missing accepts no tasks.
    Phases(BTreeMap<VmId, Phase>),
    /// Reports of the workers of the pool, possibly out of date.
    Reports(Vec<WorkerReport>),
    /// A worker answered an [`Action::Command`], or its answer was lost.
    Reply {
        /// Worker that the command was sent to.
        worker: VmId,
        /// Task that the command is for.
        task: Task,
        /// Command that this answers.
        command: Command,
        /// Incarnation of the worker; 0 if the answer was lost.
        incarnation: u64,
        /// Answer of the worker.
        reply: Reply,
    },
    /// Time passed; required every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}

/// Content of a log position in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Version of the key; above 1 if the position was trimmed and created again,
    /// which only a writer with an outdated view does.
    pub version: u64,
    /// Batch that the position holds.
    pub batch: Batch,
}

/// Last report of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Worker that reports.
    pub worker: VmId,
    /// Number that grows with each restart of the worker; a restart ends all tasks.
    pub incarnation: u64,
    /// Tasks that run, and tasks that ended recently.
    pub tasks: Vec<TaskReport>,
}

/// Task in the report of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskReport {
    /// Task on the worker.
    pub task: Task,
    /// State of the task.
    pub state: TaskState,
    /// Peak usage since the start; the default if it was not measured.
    pub peak: Size,
}

/// State of a task on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task completed successfully.
    Done,
    /// The task ran and failed, with this reason.
    Failed(CompactString),
    /// The task was stopped by a command.
    Stopped,
}

/// Command to a worker about one task. Each is sent with the fence of the role; a
/// worker rejects a command whose fence is lower than the highest it has seen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Command {
    /// Starts the task. A worker starts the same task at most once, and the embedder
    /// sends the command at most once.
    Start {
        /// Size that the worker has to reserve.
        size: Size,
        /// Whether to resume from the checkpoint of an earlier attempt.
        resume: bool,
        /// Time without a renewal after which the worker stops the task.
        ttl: Time,
        /// Incarnation of the worker that the start is meant for. In any other, the
        /// worker answers [`Reply::Restarted`], as a restart makes it forget which tasks
        /// it must not start.
        incarnation: u64,
    },
    /// Extends the lease of the task by its time to live.
    Renew,
    /// Saves the progress of the task, which keeps running.
    Checkpoint,
    /// Limits the task to a share of its cores.
    Throttle {
        /// Share in percent; 100 removes the limit.
        percent: u32,
    },
    /// Stops the task. A worker that does not know the task refuses to start it from
    /// then on, so that a delayed [`Command::Start`] has no effect.
    Stop,
}

/// Answer of a worker to a [`Command`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reply {
    /// The command took effect, now or before, and the task runs.
    Running,
    /// The worker has another incarnation than the start names. Nothing ran, and
    /// neither the worker nor the job is at fault.
    Restarted,
    /// The start failed before the task ran, with this reason.
    StartFailed(CompactString),
    /// The task completed successfully.
    Done,
    /// The task ran and failed, with this reason.
    Failed(CompactString),
    /// The task is stopped.
    Stopped {
        /// Whether the task ever ran; if not, it never will. A worker that may have
        /// forgotten the task answers that it ran.
        ran: bool,
    },
    /// The worker does not know the task; a delayed start may still reach it.
    Absent,
    /// The command was rejected, as the worker has seen a higher fence.
    Fenced,
    /// No answer, or one that does not tell what happened.
    Lost,
}

/// Output of [`Scheduler::handle`](super::Scheduler::handle) for the embedder to
/// carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the snapshot and the log after it; answer with [`Event::Recovered`] or
    /// [`Event::StoreUnavailable`].
    Recover,
    /// Create the log position `batch.seq` if it is absent; answer with
    /// [`Event::Stored`], [`Event::Conflict`] or [`Event::StoreUnavailable`].
    Append(Box<Batch>),
    /// Read a log position; answer with [`Event::Read`] or [`Event::StoreUnavailable`].
    Read {
        /// Position to read.
        seq: u64,
    },
    /// Write the snapshot by compare-and-swap unless the stored one has a higher
    /// position or fence, then remove the log positions up to `trim`. A failure needs
    /// no answer; a later snapshot replaces this one.
    Snapshot {
        /// Snapshot to write.
        snapshot: Box<Snapshot>,
        /// Last position that may be removed, together with all before it.
        trim: u64,
    },
    /// Send a command to a worker; answer with [`Event::Reply`].
    Command {
        /// Worker to send the command to.
        worker: VmId,
        /// Task that the command is for.
        task: Task,
        /// Command to send.
        command: Command,
        /// Fence of the role, to send with the command.
        fence: Fence,
    },
    /// Answer a submitter.
    Answer {
        /// Number of the request.
        ticket: Ticket,
        /// Answer to the request.
        answer: Answer,
    },
    /// Request the quarantine of a worker from the holder of the fleet role. The
    /// scheduler itself starts no more tasks on it.
    Quarantine {
        /// Worker that is considered faulty.
        worker: VmId,
        /// Reason for the request.
        reason: CompactString,
    },
    /// Append a record to the audit trail; the embedder sets `id` and `who`.
    Audit(audit::Record),
}

/// Answer to a submitter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is stored, and waits or is being started.
    Accepted,
    /// The request was refused, with this reason. A job whose submission was refused
    /// does not run.
    Refused(CompactString),
    /// The job runs on this worker.
    Running(VmId),
    /// The job completed successfully.
    Done,
    /// The job failed, with this reason.
    Failed(CompactString),
    /// The job was cancelled and does not run.
    Cancelled,
    /// No worker could ever run the job; the text says which capacity is short.
    Impossible(CompactString),
    /// It is not known whether the job was accepted or whether it ran, for this
    /// reason. Repeating the request with the same identifier is safe.
    Unknown(CompactString),
}
