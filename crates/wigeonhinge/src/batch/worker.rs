//! In-memory state of workers: runs that may exist, and what was reported.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::Run;
use crate::batch::Size;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::caps::Charge;
use crate::batch::crash::Casualty;
use crate::batch::crash::SuspicionLevel;
use crate::batch::workers::IndexEntry;
use crate::id::JobId;
use crate::id::Time;
use crate::id::WorkspaceId;

/// Time after the expiry of a lease until the runs of an unreachable worker count as lost.
pub(super) const LEASE_GRACE: Duration = Duration::from_millis(200);

/// Time without a report after which a worker gets no tasks.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time in which registry entries that expired during an outage of the store are registered again.
const REGISTRY_RECOVERY: Duration = Duration::from_millis(2_500);

/// Time for which a worker gets no tasks after repeated failures or a stalled run.
const QUARANTINE_TIME: Duration = Duration::from_secs(5);

/// Time for which a worker that left an order unanswered gets no tasks, unless it answers another
/// one before. A stop is repeated after 0.5 s and counts as unanswered 0.3 s later.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// Consecutive failed runs after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;

/// Returns the time after which a lease that begins now has expired for certain, even on a slow
/// clock.
pub fn longest_lease() -> Duration {
    super::WORKER_LEASE.mul_f64(1.0 + super::MAX_CLOCK_DRIFT) + LEASE_GRACE
}

/// Time within which a call to a worker that does not answer may reach the worker's next incarnation:
/// the longest wait of a start until it is sent, and 2 s in which the worker starts again.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Returns the time after which a lease has expired for certain that a worker's incarnation takes now
/// from a call that was meant for an earlier one.
///
/// The end of the lease was counted on the clock of the earlier incarnation, so that it may last for
/// as long as a worker grants.
pub(super) fn inherited_lease(longest: Duration) -> Duration {
    longest.mul_f64(1.0 + super::MAX_CLOCK_DRIFT) + LEASE_GRACE
}

/// The same for a call that is sent now, if the worker does not answer.
pub(super) fn unanswered_lease(longest: Duration) -> Duration {
    RESTART_TIME + inherited_lease(longest)
}

/// State of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Capacity is reserved; the row with the start is not stored yet.
    Reserved,
    /// A start was sent, or may have been sent by a predecessor that recorded it.
    Starting,
    /// The worker confirmed the start at this time.
    Confirmed(Time),
    /// A stop was sent at or after the first time, and answered at the second one, if any.
    Stopping(Time, Option<Time>),
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// It is not needed: its task is done, or its job has ended.
    Obsolete,
    /// Its start had no answer, so that it may begin at any time.
    Unanswered,
    /// Its worker is drained.
    Drain,
    /// It makes no progress.
    Stalled,
}

/// Run that may exist on a worker.
#[derive(Clone, Debug)]
pub(super) struct RunState {
    pub(super) run: Run,
    pub(super) size: Size,
    /// Workspace that it counts for; empty for none.
    pub(super) workspace: WorkspaceId,
    /// What it counts against the cap of the workspace.
    pub(super) request: Size,
    pub(super) stage: Stage,
    /// Why it was stopped, if it was.
    pub(super) stop_reason: StopReason,
    /// Whether the last report listed it.
    pub(super) listed: bool,
    /// When its start was given up as unanswered, if it was.
    pub(super) unanswered_at: Option<Time>,
    /// When the capacity was reserved, or, once the start was sent, when that happened.
    pub(super) since: Time,
    /// Time by which its start was recorded, and soon after which it was sent; `None` before that, and
    /// if a predecessor is known to have had an answer.
    pub(super) recorded_by: Option<Time>,
    /// Last reported progress, or share of full service, in percent.
    pub(super) percent: u32,
    /// When the run last made progress, or a long-running task was in full service.
    pub(super) progressed_at: Time,
    pub(super) long_running: bool,
    pub(super) best_effort: bool,
    /// Objective for the tail latency in milliseconds; 0 for none.
    pub(super) goal_ms: u64,
    /// Last reported measurement; see `ActiveRun`.
    pub(super) measurement: f64,
    /// Current speed limit in percent.
    pub(super) pace: u32,
    /// Whether the order that set it had no answer, so that it may not be in effect.
    pub(super) pace_lost: bool,
    /// Whether the worker is known to have had it, from an answer or a listing.
    pub(super) seen: bool,
    /// Whether the worker had it for long enough after its start; see `crash`.
    pub(super) survived: bool,
    /// How much speaks for the task crashing its workers.
    pub(super) suspicion: SuspicionLevel,
}

/// Whether another holder may have called a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// It registered for the first time while this holder had the role, or there was no other holder.
    New,
    /// A predecessor, or the holder of another partition, may have called it or a former incarnation.
    Inherited,
}

/// State of a worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) origin: Origin,
    pub(super) runs: BTreeMap<TaskId, RunState>,
    /// Requests of all runs.
    pub(super) used: Size,
    /// Changes of the use of workspaces that [`super::workers::Workers`] has not applied yet.
    pub(super) charges: Vec<Charge>,
    /// Unknown runs of the last report whose jobs are known, with what they count for their workspaces.
    pub(super) unknown_runs: Vec<(WorkspaceId, Size)>,
    /// Requests of the long-running runs.
    pub(super) long_running: Size,
    /// Number of long-running runs.
    long_running_count: usize,
    /// Number of runs that have not survived their starts, by the suspicion against their tasks.
    pub(super) fresh: BTreeMap<SuspicionLevel, usize>,
    /// Runs that were given up when the lease ended, until it is known whether the worker crashed.
    pub(super) lapsed: Vec<Casualty>,
    pub(super) lapsed_at: Time,
    /// Whether the worker reported its runs under the current fence.
    pub(super) has_reported: bool,
    /// Whether the worker is missing from the registry.
    pub(super) unregistered: bool,
    pub(super) unregistered_since: Time,
    /// Whether its machine now runs another worker or none.
    pub(super) replaced: bool,
    pub(super) incarnation: u64,
    /// Whether this incarnation reported that it drains.
    pub(super) drained: bool,
    pub(super) registered_at: Time,
    pub(super) reported_at: Time,
    /// When the poll of its last report was sent.
    pub(super) requested_at: Time,
    /// Time after which its last lease has expired for certain.
    pub(super) lease_end: Time,
    /// Time after which a lease has expired that its incarnation may have taken from calls that were
    /// meant for an earlier one. It holds for all runs of the incarnation.
    pub(super) inherited_lease_end: Time,
    /// Time before which the worker gets no tasks unless all others of its pool are paused.
    pub(super) paused_until: Time,
    /// Time before which the same holds because it left an order unanswered.
    unanswered_until: Time,
    /// Whether the worker gets no tasks because an order to its machine is planned.
    pub(super) cordoned: bool,
    /// When the cordon was last renewed.
    pub(super) cordoned_at: Time,
    pub(super) failure_streak: u32,
    /// When the speed limit of a best-effort task last changed.
    pub(super) paced_at: Time,
    /// When the platform last accepted an order to its machine.
    pub(super) ordered_at: Option<Time>,
    /// Whether its last report had unknown runs, which use capacity until they are stopped.
    pub(super) has_unknown_runs: bool,
    /// Highest number of a finished run that was processed.
    pub(super) last_end: u64,
    /// Finished runs whose results are not stored: the job, and its version with the result.
    unstored_ends: BTreeMap<u64, (JobId, u64)>,
    acknowledged: u64,
    /// Whether the worker may have changed since it was indexed.
    pub(super) marked: bool,
    /// What the index holds of the worker.
    pub(super) indexed: Option<IndexEntry>,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry, registered_at: Time, lease_end: Time) -> Self {
        Self {
            incarnation: entry.incarnation,
            drained: entry.draining,
            entry,
            origin: Origin::Inherited,
            runs: BTreeMap::new(),
            used: Size::default(),
            charges: Vec::new(),
            unknown_runs: Vec::new(),
            long_running: Size::default(),
            long_running_count: 0,
            fresh: BTreeMap::new(),
            lapsed: Vec::new(),
            lapsed_at: Time::ZERO,
            has_reported: false,
            unregistered: false,
            unregistered_since: Time::ZERO,
            replaced: false,
            registered_at,
            reported_at: Time::ZERO,
            requested_at: Time::ZERO,
            lease_end,
            inherited_lease_end: Time::ZERO,
            paused_until: Time::ZERO,
            unanswered_until: Time::ZERO,
            cordoned: false,
            cordoned_at: Time::ZERO,
            failure_streak: 0,
            paced_at: Time::ZERO,
            ordered_at: None,
            has_unknown_runs: false,
            last_end: 0,
            unstored_ends: BTreeMap::new(),
            acknowledged: 0,
            marked: false,
            indexed: None,
        }
    }

    pub(super) fn update(&mut self, entry: WorkerEntry) {
        self.unregistered = false;
        self.drained |= entry.draining;
        self.entry = entry;
    }

    /// Records that its incarnation may have taken a lease that lasts until then from calls that were
    /// meant for an earlier one.
    pub(super) fn inherit_lease(&mut self, until: Time) {
        self.inherited_lease_end = self.inherited_lease_end.max(until);
        self.set_lease_end(self.lease_end);
    }

    /// Records that its lease has expired for certain at a time, or later if it took one from calls
    /// that were meant for an earlier incarnation.
    pub(super) fn set_lease_end(&mut self, lease_end: Time) {
        self.lease_end = lease_end.max(self.inherited_lease_end);
    }

    /// Clears the state that belonged to the previous incarnation.
    pub(super) fn reset_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.last_end = 0;
        self.unstored_ends.clear();
        self.acknowledged = 0;
        self.failure_streak = 0;
        self.paused_until = Time::ZERO;
        self.unanswered_until = Time::ZERO;
    }

    pub(super) fn insert(&mut self, task: TaskId, run: RunState) {
        self.remove(&task);
        self.used = self.used.plus(run.size);
        if !run.workspace.is_empty() {
            self.charges
                .push(Charge::Add(run.workspace.clone(), run.request));
        }
        if run.long_running {
            self.long_running = self.long_running.plus(run.size);
            self.long_running_count += 1;
        }
        if !run.survived {
            *self.fresh.entry(run.suspicion).or_default() += 1;
        }
        self.runs.insert(task, run);
    }

    pub(super) fn remove(&mut self, task: &TaskId) -> Option<RunState> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(run.size);
        if !run.workspace.is_empty() {
            self.charges
                .push(Charge::Remove(run.workspace.clone(), run.request));
        }
        if run.long_running {
            self.long_running = self.long_running.minus(run.size);
            self.long_running_count -= 1;
        }
        if !run.survived
            && let Some(count) = self.fresh.get_mut(&run.suspicion)
        {
            *count -= 1;
            self.fresh.retain(|_, count| *count > 0);
        }
        Some(run)
    }

    /// Records that a run survived its start.
    pub(super) fn survive(&mut self, task: &TaskId, suspicion: SuspicionLevel) {
        if let Some(mut run) = self.remove(task) {
            run.survived = true;
            run.suspicion = suspicion;
            self.insert(task.clone(), run);
        }
    }

    /// Replaces the unknown runs that count for workspaces.
    pub(super) fn set_unknown_runs(&mut self, runs: Vec<(WorkspaceId, Size)>) {
        let previous = std::mem::replace(&mut self.unknown_runs, runs);
        let ended = previous.into_iter();
        let ended = ended.map(|(workspace, size)| Charge::Remove(workspace, size));
        let listed = self.unknown_runs.iter();
        let listed = listed.map(|(workspace, size)| Charge::Add(workspace.clone(), *size));
        self.charges.extend(listed.chain(ended));
    }

    /// Returns the changes of use that its removal makes.
    pub(super) fn take_charges(&mut self) -> Vec<Charge> {
        self.set_unknown_runs(Vec::new());
        let runs = self.runs.values().filter(|run| !run.workspace.is_empty());
        let ended = runs.map(|run| Charge::Remove(run.workspace.clone(), run.request));
        self.charges.extend(ended);
        std::mem::take(&mut self.charges)
    }

    pub(super) fn free(&self) -> Size {
        self.entry.capacity.minus(self.used)
    }

    /// Returns whether the worker may get tasks, as far as this does not depend on the time.
    pub(super) fn is_open(&self) -> bool {
        self.has_reported
            && !self.replaced
            && !self.entry.draining
            && !self.cordoned
            && !self.has_unknown_runs
    }

    /// Returns whether the worker may get tasks.
    pub(super) fn accepts_work(&self, now: Time) -> bool {
        self.is_open()
            && !self.deregistered(now)
            && now.saturating_sub(self.reported_at) < REPORT_TIMEOUT
    }

    /// Returns whether the worker is paused after refused, failed or stalled runs, or an order
    /// without an answer.
    pub(super) fn paused(&self, now: Time) -> bool {
        now < self.paused_until.max(self.unanswered_until)
    }

    /// Returns whether the worker has been missing from the registry for longer than an outage of
    /// the store explains.
    pub(super) fn deregistered(&self, now: Time) -> bool {
        self.unregistered && now.saturating_sub(self.unregistered_since) > REGISTRY_RECOVERY
    }

    pub(super) fn has_long_running(&self) -> bool {
        self.long_running_count > 0
    }

    /// Adds a finished run whose result the row of this version will contain.
    pub(super) fn add_end(&mut self, number: u64, job: JobId, version: u64) {
        self.unstored_ends.insert(number, (job, version));
    }

    /// Returns whether the results of some finished runs are not stored yet.
    pub(super) fn has_unstored_ends(&self) -> bool {
        !self.unstored_ends.is_empty()
    }

    /// Removes the finished runs of a job whose results are stored with this version; returns
    /// whether others of the job are left.
    pub(super) fn ends_stored(&mut self, job: &JobId, version: u64) -> bool {
        let mut left = false;
        self.unstored_ends.retain(|_, (name, needed)| {
            let later = *needed > version;
            left |= name == job && later;
            name != job || later
        });
        left
    }

    /// Returns the number up to which finished runs can be acknowledged, if it rose since the last
    /// call.
    pub(super) fn acknowledge(&mut self) -> Option<u64> {
        let end = match self.unstored_ends.first_key_value() {
            Some((first, _)) => first - 1,
            None => self.last_end,
        };
        let rose = end > self.acknowledged;
        self.acknowledged = self.acknowledged.max(end);
        rose.then_some(end)
    }
}

impl Batch {
    /// Counts consecutive failed runs on a worker and quarantines it at the limit.
    pub(super) fn record_outcome(&mut self, worker: &WorkerId, failed: bool, now: Time) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !failed {
            entry.failure_streak = 0;
            return;
        }
        entry.failure_streak += 1;
        if entry.failure_streak >= QUARANTINE_FAILURES {
            entry.paused_until = now + QUARANTINE_TIME;
            entry.failure_streak = QUARANTINE_FAILURES - 1;
            self.log(format!(
                "jobs: worker {worker} is quarantined after consecutive failed runs"
            ));
        }
    }

    /// Places tasks by the changed capacity of a worker, which may be smaller than what its runs use.
    pub(super) fn capacity_changed(&mut self, worker: &WorkerId, (from, to): (Size, Size)) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let used = entry.used;
        self.dirty_pools.insert(entry.entry.pool.clone());
        self.log(format!(
            "jobs: capacity of worker {worker} changes from {from} to {to}, of which {used} are \
             reserved"
        ));
    }

    /// Pauses a worker that left an order unanswered: the starts behind its orders would wait.
    pub(super) fn order_unanswered(&mut self, worker: &WorkerId, now: Time) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.unanswered_until = now + UNANSWERED_PAUSE;
        }
    }

    /// Ends the pause of a worker that left an order unanswered.
    pub(super) fn order_responded(&mut self, worker: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.unanswered_until = Time::ZERO;
        }
    }

    /// Quarantines a worker on which a run stalled.
    pub(super) fn quarantine(&mut self, worker: &WorkerId, now: Time) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.paused_until = now + QUARANTINE_TIME;
        }
    }
}

impl RunState {
    pub(super) fn new(run: Run, step: &super::Step, stage: Stage, now: Time) -> Self {
        Self {
            run,
            size: step.size(),
            workspace: WorkspaceId::default(),
            request: step.request(),
            stage,
            stop_reason: StopReason::Obsolete,
            listed: false,
            unanswered_at: None,
            since: now,
            recorded_by: None,
            percent: 0,
            progressed_at: now,
            long_running: step.long_running,
            best_effort: step.best_effort,
            goal_ms: step.goal_ms,
            measurement: 0.0,
            pace: 100,
            pace_lost: false,
            seen: false,
            survived: false,
            suspicion: SuspicionLevel::None,
        }
    }
}
