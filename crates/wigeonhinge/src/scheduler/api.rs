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

/// One attempt to run a job; workers know it as `{job}.{attempt}`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// Job.
    pub job: JobId,
    /// Number of the attempt; the first is 1.
    pub attempt: u32,
}

impl Task {
    /// Reads the form that workers know; `None` when it is not one.
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

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A submitter sent a job; an identifier that is known is answered with
    /// the state of the known job.
    Submit {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Job; its state, worker, fence, attempts and reason are ignored.
        job: Box<Job>,
    },
    /// A submitter cancels a job.
    Cancel {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Job.
        job: JobId,
    },
    /// A submitter asks for the state of a job.
    Query {
        /// Number that the embedder gives the request.
        ticket: Ticket,
        /// Job.
        job: JobId,
    },
    /// The role was taken, or its lease was renewed.
    Lease {
        /// Fence of the role.
        fence: Fence,
        /// When the lease ends at the latest, less the margin.
        until: Time,
    },
    /// The role was lost or given up.
    RoleLost,
    /// Answer to [`Action::Recover`].
    Recovered {
        /// Snapshot, if one exists.
        snapshot: Option<Box<Snapshot>>,
        /// Log from the position after the snapshot without a gap, oldest first.
        batches: Vec<LogEntry>,
    },
    /// The store created the position of an [`Action::Append`].
    Stored {
        /// Position.
        seq: u64,
        /// Version of the key.
        version: u64,
    },
    /// The position of an [`Action::Append`] is taken.
    Conflict {
        /// Position.
        seq: u64,
    },
    /// Answer to [`Action::Read`]; `None` when the position is absent.
    Read {
        /// Position.
        seq: u64,
        /// What the position holds.
        entry: Option<LogEntry>,
    },
    /// The store did not answer an [`Action::Append`], [`Action::Read`] or
    /// [`Action::Recover`], or answered with an error. An append may have
    /// taken effect.
    StoreUnavailable,
    /// What teams hold in the other pools, possibly out of date; it counts
    /// against their quotas here. See [`Scheduler::held`](super::Scheduler::held).
    HeldElsewhere(BTreeMap<TeamId, Capacity>),
    /// A configuration came into force.
    Adopt(Box<Fleet>),
    /// Ledger phases of the VMs of the pool; a VM that is missing is not active.
    Phases(BTreeMap<VmId, Phase>),
    /// Reports of the workers of the pool, possibly out of date.
    Reports(Vec<WorkerReport>),
    /// A worker answered an [`Action::Command`], or its answer was lost.
    Reply {
        /// Worker.
        worker: VmId,
        /// Task.
        task: Task,
        /// Command that this answers.
        command: Command,
        /// Incarnation of the worker; 0 when the answer was lost.
        incarnation: u64,
        /// Answer.
        reply: Reply,
    },
    /// Time passed.
    Tick,
}

/// A position of the log as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Version of the key; above 1 when the position was removed and created
    /// again, which only a writer with an outdated view does.
    pub version: u64,
    /// Batch.
    pub batch: Batch,
}

/// State of a worker as it last reported it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Worker.
    pub worker: VmId,
    /// Grows with each restart of the worker, which ends all its tasks.
    pub incarnation: u64,
    /// Tasks that run, and tasks that ended lately.
    pub tasks: Vec<TaskReport>,
}

/// State of a task as its worker last reported it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskReport {
    /// Task.
    pub task: Task,
    /// State.
    pub state: TaskState,
    /// Highest use since the start.
    pub peak: Size,
}

/// State of a task on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// Runs.
    Running,
    /// Ended well.
    Done,
    /// Ran and ended with a fault.
    Failed(CompactString),
    /// Was stopped by a command.
    Stopped,
}

/// Command to a worker on one task. Each carries the fence of the role; a
/// worker rejects a command whose fence is lower than the highest it has seen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Command {
    /// Start the task. A worker starts the same task once at most, and the
    /// embedder sends the command once at most.
    Start {
        /// Size to reserve.
        size: Size,
        /// Whether to continue from the checkpoint of an earlier attempt.
        resume: bool,
        /// The worker stops the task when no renewal arrives for this long.
        ttl: Time,
        /// Incarnation that the start is meant for; the worker answers
        /// [`Reply::Restarted`] in any other, as a restart made it forget which starts to refuse.
        incarnation: u64,
    },
    /// Extend the lease of the task by its time to live.
    Renew,
    /// Save the progress of the task; it goes on running.
    Checkpoint,
    /// Limit the task to this percentage of its processors; 100 ends the limit.
    Throttle {
        /// Percentage.
        percent: u32,
    },
    /// Stop the task. A worker that does not know the task refuses to start it
    /// from now on, so that a delayed [`Command::Start`] has no effect.
    Stop,
}

/// Answer of a worker to a [`Command`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reply {
    /// The command took effect, or had before; the task runs.
    Running,
    /// The worker restarted since the incarnation that the start names; nothing
    /// ran, and the start tells nothing about worker or job.
    Restarted,
    /// The start failed before anything ran.
    StartFailed(CompactString),
    /// The task has ended well.
    Done,
    /// The task ran and has ended with a fault.
    Failed(CompactString),
    /// The task is stopped.
    Stopped {
        /// Whether it ever ran; when not, it never will. A worker that may have
        /// forgotten the task answers that it ran.
        ran: bool,
    },
    /// The worker knows no such task; it may still receive a delayed start.
    Absent,
    /// The worker has seen a higher fence.
    Fenced,
    /// No answer, or none that says what happened.
    Lost,
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the snapshot and the log after it; answer with [`Event::Recovered`].
    Recover,
    /// Create the log position `batch.seq` if it is absent; answer with
    /// [`Event::Stored`], [`Event::Conflict`] or [`Event::StoreUnavailable`].
    Append(Box<Batch>),
    /// Read a log position; answer with [`Event::Read`] or [`Event::StoreUnavailable`].
    Read {
        /// Position.
        seq: u64,
    },
    /// Write the snapshot by CAS unless the stored one has a higher position or
    /// fence, then remove the log positions up to `trim`. A failure needs no
    /// answer; a later snapshot replaces this one.
    Snapshot {
        /// Snapshot.
        snapshot: Box<Snapshot>,
        /// Last position that may be removed, with all before it.
        trim: u64,
    },
    /// Send a command to a worker; answer with [`Event::Reply`].
    Command {
        /// Worker.
        worker: VmId,
        /// Task.
        task: Task,
        /// Command.
        command: Command,
        /// Fence of the role.
        fence: Fence,
    },
    /// Answer a submitter.
    Answer {
        /// Request.
        ticket: Ticket,
        /// Answer.
        answer: Answer,
    },
    /// Ask the holder of the fleet role to quarantine a worker. The scheduler
    /// itself starts nothing on it.
    Quarantine {
        /// Worker.
        worker: VmId,
        /// Reason.
        reason: CompactString,
    },
    /// Add a record to the audit trail; the embedder sets `id` and `who`.
    Audit(audit::Record),
}

/// Answer to a submitter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The store has the job; it waits or is being started.
    Accepted,
    /// The job was not accepted and does not run.
    Refused(CompactString),
    /// The job runs on this worker.
    Running(VmId),
    /// The job has ended well.
    Done,
    /// The job has failed.
    Failed(CompactString),
    /// The job was cancelled and does not run.
    Cancelled,
    /// No worker could ever run the job; says what it lacks.
    Impossible(CompactString),
    /// Whether the job was accepted, or whether it ran, is not known. Asking
    /// again with the same identifier is safe.
    Unknown(CompactString),
}
