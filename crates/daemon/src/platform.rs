//! The platform: key-value store, VM list and workers.
//!
//! `docs/wire.md` gives the wire form of every call.

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

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A session lease of the store.
pub type LeaseId = u64;

/// Version of a key; 0 while the key is absent.
pub type Version = u64;

/// A call to the platform that gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    effect: Effect,
    reason: CompactString,
}

/// What a failed call did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It did not take effect and never will.
    None,
    /// It may have taken effect, or may still.
    Unknown,
}

/// A value of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Document<T> {
    /// Key.
    pub key: CompactString,
    /// Version.
    pub version: Version,
    /// Value.
    pub value: T,
}

/// Answer to a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The write took effect and made this version.
    Done(Version),
    /// The key has this version, not the one expected; nothing was written.
    Conflict(Version),
}

/// A key and its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct KeyVersion {
    /// Key.
    pub key: CompactString,
    /// Version.
    pub version: Version,
}

/// The platform's list of VMs; may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmList {
    /// When the list was true, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// VMs.
    pub vms: Vec<Vm>,
}

/// A VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Vm {
    /// Name.
    pub name: CompactString,
    /// State.
    pub state: VmState,
}

/// State of a VM on the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to stop.
    Leaving,
    /// Stopped.
    Gone,
}

/// Reports of workers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct WorkerList {
    /// When the report was made, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Workers.
    pub workers: Vec<Worker>,
}

/// A worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Worker {
    /// VM.
    pub vm: CompactString,
    /// State.
    pub state: WorkerState,
    /// Boot number; differs after each reboot.
    pub boot: u64,
    /// Step of the last worker command that it accepted; 0 for none since its boot.
    pub step: u64,
    /// Tasks, also those that ended since the last start.
    pub tasks: Vec<Task>,
}

/// State of a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// Takes tasks.
    Up,
    /// Takes no new task.
    Cordoned,
    /// Waits for its tasks to end.
    Draining,
    /// Runs no task.
    Drained,
    /// Restarts.
    Rebooting,
    /// Does not work.
    Broken,
}

/// A task of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Task {
    /// Identifier.
    pub id: CompactString,
    /// State.
    pub state: TaskState,
    /// Whether it ever ran.
    pub ran: bool,
    /// Latest usage report, if one exists; lags behind.
    pub usage: Option<Usage>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Runs.
    Running,
    /// Stopped by a command, or because its lease ended.
    Stopped,
    /// Ended by itself with success.
    Done,
    /// Ended by itself with a failure, or failed to start.
    Failed,
    /// Not started, and never will be.
    Refused,
}

/// Answer of a worker to the start of a task or to a command on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct TaskAnswer {
    /// State after the command.
    pub state: TaskState,
    /// Whether it ever ran.
    pub ran: bool,
    /// Boot number of the worker.
    pub boot: u64,
}

/// Whether a worker carried out the start of a task or a command on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskReply {
    /// The worker answered.
    Answer(TaskAnswer),
    /// The worker or the task is not known; the call had no effect.
    Absent,
    /// The worker has seen this higher fence of the role; the call had no effect.
    Fenced(Fence),
}

/// Usage of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// When it was measured, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
}

/// A task to start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Identifier.
    pub id: CompactString,
    /// Role of the one who starts it.
    pub role: CompactString,
    /// Fence of that role.
    pub fence: Fence,
    /// Boot number that the start is meant for; the worker refuses it in any other.
    pub boot: u64,
    /// Milliseconds that the task may run without being renewed.
    pub lease_ms: u64,
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Whether to continue from the checkpoint of an earlier task of the job.
    pub resume: bool,
}

/// Role in whose name a command is given, and its fence.
///
/// A worker keeps the highest fence of each role apart, because the fences of
/// different roles cannot be compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Authority<'a> {
    /// Role, such as `jobs/crews`.
    pub role: &'a str,
    /// Fence of the role.
    pub fence: Fence,
}

/// Command to a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskCommand {
    /// Extend its lease.
    Renew {
        /// Milliseconds from now.
        lease_ms: u64,
    },
    /// Save its progress; it goes on running.
    Checkpoint,
    /// Limit its processors.
    Throttle {
        /// Percentage of what it may use; 100 ends the limit.
        percent: u32,
    },
    /// Stop it, and refuse to start it from now on.
    Stop,
}

/// Command to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerCommand {
    /// Take no new task.
    Cordon,
    /// Let the tasks end and take no new one.
    Drain,
    /// Restart.
    Reboot,
    /// Take tasks again.
    Uncordon,
}

/// Answer of a worker to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// The command took effect.
    Done,
    /// The worker has seen this higher fence; the command had no effect.
    Fenced(Fence),
    /// The worker refused for this reason; the command had no effect.
    Refused(CompactString),
}

/// Calls to the platform.
///
/// Every call ends within its time-out. A write that fails with
/// [`Effect::Unknown`] may have taken effect.
pub trait Platform {
    /// Reads a key; `None` while it is absent.
    fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Document<T>>>>;

    /// Writes a key if its version is `expect`; the key ends with `lease`.
    fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        expect: Version,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Swap>>;

    /// Removes a key if its version is `expect`.
    fn delete(&self, key: &str, expect: Version) -> impl Future<Output = Result<Swap>>;

    /// Lists the keys that begin with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<KeyVersion>>>;

    /// Waits for a version of a key above `after`; `None` if `wait` passes without one.
    fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Document<T>>>>;

    /// Opens a lease.
    fn grant(&self, holder: &str, ttl: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Extends a lease; `false` if it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool>>;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<VmList>>;

    /// Reads the reports of workers by the names of their VMs.
    fn workers(&self, vms: &[CompactString]) -> impl Future<Output = Result<WorkerList>>;

    /// Starts a task.
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

    /// Sends a command to a worker; a `step` below the highest it has seen is refused.
    fn command_worker(
        &self,
        vm: &str,
        command: WorkerCommand,
        authority: Authority<'_>,
        step: u64,
    ) -> impl Future<Output = Result<WorkerReply>>;
}

impl Error {
    /// Reports a call that had no effect.
    pub fn no_effect(reason: impl fmt::Display) -> Self {
        Self::new(Effect::None, reason)
    }

    /// Reports a call that may have had an effect.
    pub fn unknown_effect(reason: impl fmt::Display) -> Self {
        Self::new(Effect::Unknown, reason)
    }

    fn new(effect: Effect, reason: impl fmt::Display) -> Self {
        let reason = format_compact!("{reason}");
        Self { effect, reason }
    }

    /// Returns what the call did.
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
    fn path(self) -> &'static str {
        match self {
            Self::Renew { .. } => "renew",
            Self::Checkpoint => "checkpoint",
            Self::Throttle { .. } => "throttle",
            Self::Stop => "stop",
        }
    }
}

impl WorkerCommand {
    fn path(self) -> &'static str {
        match self {
            Self::Cordon => "cordon",
            Self::Drain => "drain",
            Self::Reboot => "reboot",
            Self::Uncordon => "uncordon",
        }
    }
}

/// Reads an answer's body.
fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| Error::unknown_effect(format!("bad answer: {error}")))
}
