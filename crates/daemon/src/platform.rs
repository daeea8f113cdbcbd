//! Client of the platform: its key-value store, its list of VMs and its workers.
//!
//! `docs/wire.md` describes the wire format of every call.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeonhinge::id::Fence;

pub use crate::platform::http::CALL_TIMEOUT;
pub use crate::platform::http::HttpPlatform;
pub use crate::platform::http::Traffic;

mod http;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Identifier of a session lease of the store.
pub type LeaseId = u64;

/// Version of a key of the store; 0 while the key is absent.
pub type Version = u64;

/// A call to the platform that failed or returned no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    effect: Effect,
    reason: CompactString,
}

/// Effect of a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call did not take effect and never will.
    None,
    /// The call may have taken effect, or may take effect later.
    Unknown,
}

/// A value of the store with its key and version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Document<T> {
    /// Key in the store.
    pub key: CompactString,
    /// Version of the key that holds this value.
    pub version: Version,
    /// Decoded value.
    pub value: T,
}

/// Result of a compare-and-swap on a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The write took effect; the key now has this version.
    Done(Version),
    /// The key has this version instead of the expected one; nothing was written.
    Conflict(Version),
}

/// A key of the store and its version, without the value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct KeyVersion {
    /// Key in the store.
    pub key: CompactString,
    /// Current version of the key.
    pub version: Version,
}

/// The platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmList {
    /// Time at which the list was accurate, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// VMs that the platform knows.
    pub vms: Vec<Vm>,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub name: CompactString,
    /// State at the time of the list.
    pub state: VmState,
}

/// State of a VM on the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
    /// The VM has stopped.
    Gone,
}

/// Reports of workers on their state and tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct WorkerList {
    /// Time at which the reports were made, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// One report for each worker.
    pub workers: Vec<Worker>,
}

/// Report of one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Worker {
    /// VM that the worker runs on.
    pub vm: CompactString,
    /// State of the worker.
    pub state: WorkerState,
    /// Boot number; changes with every reboot.
    pub boot: u64,
    /// Step of the last worker command that the worker accepted; 0 if none since its boot.
    pub step: u64,
    /// Tasks of the worker, including those that ended since its last boot.
    pub tasks: Vec<Task>,
}

/// State of a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// Accepts tasks.
    Up,
    /// Accepts no new tasks; running tasks continue.
    Cordoned,
    /// Accepts no new tasks and waits for the running ones to end.
    Draining,
    /// Runs no tasks after a drain.
    Drained,
    /// The worker is restarting.
    Rebooting,
    /// The worker cannot run tasks.
    Broken,
}

/// Report on a task of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Task {
    /// Identifier of the task.
    pub id: CompactString,
    /// State of the task.
    pub state: TaskState,
    /// Whether the task has run at any time.
    pub ran: bool,
    /// Last measured usage, which may be old; `None` before the first measurement.
    pub usage: Option<Usage>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task was stopped by a command or because its lease ended.
    Stopped,
    /// The task succeeded.
    Done,
    /// The task ended with a failure or failed to start.
    Failed,
    /// The start was refused; the task has not run and never will.
    Refused,
}

/// Answer of a worker to the start of a task or to a task command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct TaskAnswer {
    /// State of the task after the command.
    pub state: TaskState,
    /// Whether the task has run at any time.
    pub ran: bool,
    /// Boot number of the worker.
    pub boot: u64,
}

/// Outcome of the start of a task or of a task command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskReply {
    /// The worker handled the call.
    Answer(TaskAnswer),
    /// The worker or the task is unknown; the call had no effect.
    Absent,
    /// The worker has seen this higher fence of the role; the call had no effect.
    Fenced(Fence),
}

/// Resources that a task uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Time of the measurement, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Processor use in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
}

/// Request to start a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Identifier of the task.
    pub id: CompactString,
    /// Role under which the task is started, such as `jobs/crews`.
    pub role: CompactString,
    /// Fence of that role.
    pub fence: Fence,
    /// Boot number for which the start is valid; the worker refuses it in any other boot.
    pub boot: u64,
    /// Time that the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Processor capacity of the task in thousandths of a core.
    pub millicores: u32,
    /// Memory of the task in MiB.
    pub memory_mb: u64,
    /// Number of accelerators of the task.
    pub accelerators: u32,
    /// Whether to continue from the checkpoint of an earlier task of the job.
    pub resume: bool,
}

/// Role under which a command is sent, and its fence.
///
/// A worker tracks the highest fence of each role separately, because the fences
/// of different roles cannot be compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Authority<'a> {
    /// Name of the role, such as `jobs/crews`.
    pub role: &'a str,
    /// Fence of the role.
    pub fence: Fence,
}

/// Command to a running task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskCommand {
    /// Extend the lease of the task.
    Renew {
        /// New time to live of the lease, in milliseconds from now.
        lease_ms: u64,
    },
    /// Save the progress of the task, which continues to run.
    Checkpoint,
    /// Limit the processor use of the task.
    Throttle {
        /// Percentage of the processor capacity that the task may use; 100 removes the limit.
        percent: u32,
    },
    /// Stop the task and refuse every later start of it.
    Stop,
}

/// Command to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerCommand {
    /// Accept no new tasks.
    Cordon,
    /// Accept no new tasks and let the running ones end.
    Drain,
    /// Restart the worker.
    Reboot,
    /// Accept tasks again.
    Uncordon,
}

/// Answer of a worker to a worker command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// The command took effect.
    Done,
    /// The worker has seen this higher fence; the command had no effect.
    Fenced(Fence),
    /// The worker refused the command for this reason; it had no effect.
    Refused(CompactString),
}

/// Calls to the platform.
///
/// Every call ends within its timeout. A write that fails with
/// [`Effect::Unknown`] may have taken effect.
pub trait Platform {
    /// Reads a key; `None` if it is absent.
    fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Document<T>>>>;

    /// Writes a key if its version is `expect`; the store removes the key when `lease` ends.
    fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        expect: Version,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Swap>>;

    /// Removes a key if its version is `expect`.
    fn delete(&self, key: &str, expect: Version) -> impl Future<Output = Result<Swap>>;

    /// Lists the keys that begin with `prefix`, with their versions.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<KeyVersion>>>;

    /// Waits for a version of a key newer than `after`; `None` if there is none within `wait`.
    fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Document<T>>>>;

    /// Creates a lease for `holder` that ends after `ttl` unless it is renewed.
    fn grant(&self, holder: &str, ttl: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Renews a lease; `false` if it has already ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool>>;

    /// Ends a lease, which removes its keys; succeeds also if the lease has already ended.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Reads the platform's list of VMs.
    fn vms(&self) -> impl Future<Output = Result<VmList>>;

    /// Reads the reports of the workers on these VMs.
    fn workers(&self, vms: &[CompactString]) -> impl Future<Output = Result<WorkerList>>;

    /// Starts a task on a worker.
    fn start_task(&self, vm: &str, start: &StartRequest)
    -> impl Future<Output = Result<TaskReply>>;

    /// Sends a command to a task.
    fn command_task(
        &self,
        vm: &str,
        id: &str,
        command: TaskCommand,
        authority: Authority<'_>,
    ) -> impl Future<Output = Result<TaskReply>>;

    /// Sends a command to a worker, which refuses a `step` below the highest that it has seen.
    fn command_worker(
        &self,
        vm: &str,
        command: WorkerCommand,
        authority: Authority<'_>,
        step: u64,
    ) -> impl Future<Output = Result<WorkerReply>>;
}

impl Error {
    /// Creates the error of a call that had no effect.
    pub fn no_effect(reason: impl fmt::Display) -> Self {
        Self::new(Effect::None, reason)
    }

    /// Creates the error of a call that may have had an effect.
    pub fn unknown_effect(reason: impl fmt::Display) -> Self {
        Self::new(Effect::Unknown, reason)
    }

    fn new(effect: Effect, reason: impl fmt::Display) -> Self {
        let reason = format_compact!("{reason}");
        Self { effect, reason }
    }

    /// Returns whether the call may have taken effect.
    pub fn effect(&self) -> Effect {
        self.effect
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = &self.reason;
        match self.effect {
            Effect::None => write!(f, "the call did not take effect: {reason}"),
            Effect::Unknown => write!(f, "the outcome is unknown: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl TaskCommand {
    fn path_segment(self) -> &'static str {
        match self {
            Self::Renew { .. } => "renew",
            Self::Checkpoint => "checkpoint",
            Self::Throttle { .. } => "throttle",
            Self::Stop => "stop",
        }
    }
}

impl WorkerCommand {
    fn path_segment(self) -> &'static str {
        match self {
            Self::Cordon => "cordon",
            Self::Drain => "drain",
            Self::Reboot => "reboot",
            Self::Uncordon => "uncordon",
        }
    }
}

/// Decodes the body of an answer; a failure leaves the effect of the call unknown.
fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| Error::unknown_effect(format!("bad answer: {error}")))
}
