//! Tasks on workers: commands, and the timers that repeat them.

mod health;
mod reply;
mod report;

use std::collections::BTreeSet;

use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::State;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::job::JobEvent;
use crate::place::Capacity;
use crate::scheduler::Action;
use crate::scheduler::Command;
use crate::scheduler::Scheduler;
use crate::scheduler::TASK_TTL;
use crate::scheduler::Task;

pub(super) use crate::scheduler::tasks::health::Failures;
pub(super) use crate::scheduler::tasks::health::Suspect;

/// Time that a preempted task may take for its checkpoint before it is stopped.
const CHECKPOINT_TIMEOUT: Time = Time::from_millis(500);

/// Time without an answer after which a stop is repeated, or the worker is asked
/// what became of a start.
const REPLY_TIMEOUT: Time = Time::from_secs(2);

/// First wait before a command is repeated; doubles each time.
const INITIAL_BACKOFF: Time = Time::from_millis(200);

/// Longest wait before a command is repeated.
const MAX_BACKOFF: Time = Time::from_secs(30);

/// Failed attempts after which a job is marked failed, also on a pool with too few
/// workers to tell that the job is at fault.
const MAX_FAILED_ATTEMPTS: u32 = 6;

/// Assignment of a job to a worker.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) worker: VmId,
    pub(super) attempt: u32,
    pub(super) stage: Stage,
    /// Jobs that have to be stopped before this one is started.
    blockers: BTreeSet<JobId>,
    /// Job that this one is stopped for.
    preempted_for: Option<JobId>,
    /// Size that the start asks the worker to reserve.
    requested: Capacity,
    /// Size reserved here: the requested one, raised to the observed usage.
    size: Capacity,
    /// Peak usage that the worker reported.
    peak: Size,
    /// Whether the start resumes from a checkpoint.
    resume: bool,
    /// Whether the worker is known to have run the task.
    ran: bool,
    throttled: bool,
    /// When [`Scheduler::run_timers`] acts next on the job.
    timer_at: Time,
    /// Wait before the next repetition of a command.
    backoff: Time,
}

/// Stage of an assignment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The start is being recorded in the store.
    Recording,
    /// The start is recorded; it was not sent to the worker yet.
    Recorded,
    /// The start was sent to the worker.
    StartSent,
    /// It is not known whether the worker runs the task.
    Uncertain,
    /// The worker runs the task.
    Running,
    /// The task saves a checkpoint before it is stopped.
    Checkpointing(StopReason),
    /// A stop was sent to the worker.
    Stopping(StopReason),
}

/// Reason for stopping a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// A submitter cancelled the job.
    Cancel,
    /// It is not known whether the task runs.
    Uncertain,
    /// The capacity is needed for another job, or the worker leaves service.
    Vacate,
}

impl Assignment {
    pub(super) fn new(
        worker: VmId,
        attempt: u32,
        size: Capacity,
        resume: bool,
        blockers: BTreeSet<JobId>,
    ) -> Self {
        Self {
            worker,
            attempt,
            stage: Stage::Recording,
            blockers,
            preempted_for: None,
            requested: size,
            size,
            peak: Size::default(),
            resume,
            ran: false,
            throttled: false,
            timer_at: Time::ZERO,
            backoff: INITIAL_BACKOFF,
        }
    }

    fn start_sent(&self) -> bool {
        !matches!(self.stage, Stage::Recording | Stage::Recorded)
    }
}

impl Scheduler {
    /// Handles the confirmation that the start of an attempt is stored.
    pub(super) fn on_start_stored(&mut self, id: &JobId, attempt: u32, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        if assignment.attempt == attempt && assignment.stage == Stage::Recording {
            assignment.stage = Stage::Recorded;
            self.try_start(id, now);
        }
    }

    /// Resumes a job whose start was recorded by another holder of the role.
    pub(super) fn resume_uncertain(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let size = job.size.unwrap_or_default().into();
        let worker = VmId::from(&job.worker);
        let mut assignment = Assignment::new(worker, job.attempts, size, false, BTreeSet::new());
        assignment.stage = Stage::Uncertain;
        assignment.ran = job.state() == State::Running;
        self.assignments.insert(id.clone(), assignment);
        self.set_timer(id, now, INITIAL_BACKOFF);
    }

    /// Reserves the capacity and the quota of every assigned job, and gives up jobs
    /// whose worker is no longer in the pool.
    pub(super) fn reserve_all(&mut self, now: Time) {
        if self.placer.worker_names().len() == 0 {
            return;
        }
        let ids: Vec<JobId> = self.assignments.keys().cloned().collect();
        for id in ids {
            if !self.placer.contains(&self.assignments[&id].worker) {
                self.on_task_lost(&id, "its worker was removed", now);
                continue;
            }
            self.reserve(&id, now);
        }
    }

    fn reserve(&mut self, id: &JobId, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        let request = self.placement_request(id, job, assignment.size, now);
        let (team, precedence) = (job.team.clone(), (job.priority, job.submitted_ms));
        let (worker, stage, throttled) = (
            assignment.worker.clone(),
            assignment.stage,
            assignment.throttled,
        );
        self.placer.reserve(id, &worker, &request, now);
        if is_on_worker(stage) {
            self.placer.set_running(id);
        }
        if matches!(stage, Stage::Checkpointing(_) | Stage::Stopping(_)) {
            self.placer.set_vacating(id, true);
        }
        self.placer.set_throttled(id, throttled);
        let changes = self.quotas.add(&team, precedence, id, request.size);
        self.apply_borrow_changes(changes);
    }

    /// Acts on every job whose timer has expired.
    pub(super) fn run_timers(&mut self, now: Time) {
        while let Some((at, id)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id.clone()));
            self.on_timer(&id, now);
        }
    }

    fn on_timer(&mut self, id: &JobId, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        let wait = assignment.backoff;
        assignment.backoff = (wait * 2).min(MAX_BACKOFF);
        match assignment.stage {
            Stage::Recording => {}
            Stage::Recorded => self.try_start(id, now),
            Stage::StartSent | Stage::Uncertain => {
                assignment.stage = Stage::Uncertain;
                self.send_command(id, Command::Renew);
                self.set_timer(id, now, wait);
            }
            Stage::Running => {
                self.send_command(id, Command::Renew);
                self.set_timer(id, now, TASK_TTL / 6);
            }
            Stage::Checkpointing(reason) => self.on_checkpointed(id, reason, now),
            Stage::Stopping(_) => {
                self.send_command(id, Command::Stop);
                self.set_timer(id, now, wait);
            }
        }
    }

    fn try_start(&mut self, id: &JobId, now: Time) {
        let ready = self.ready(now);
        let incarnation = self.jobs.get(id).map_or(0, |job| job.incarnation);
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        if assignment.stage != Stage::Recorded || !assignment.blockers.is_empty() {
            return;
        }
        if !ready {
            return self.set_timer(id, now, INITIAL_BACKOFF);
        }
        assignment.stage = Stage::StartSent;
        assignment.backoff = INITIAL_BACKOFF;
        let start = Command::Start {
            size: assignment.size.into(),
            resume: assignment.resume,
            ttl: TASK_TTL,
            incarnation,
        };
        self.send_command(id, start);
        self.set_timer(id, now, REPLY_TIMEOUT);
    }

    /// Preempts a running task for another job.
    pub(super) fn preempt(&mut self, id: &JobId, for_job: &JobId, now: Time) {
        if let Some(assignment) = self.assignments.get_mut(id) {
            assignment.preempted_for = Some(for_job.clone());
        }
        self.checkpoint(id, now);
    }

    /// Asks a task to save its progress before it is stopped. A task whose stop was sent
    /// only gives up its capacity: the order would replace the stop, and with it the
    /// cancellation that the stop may be for.
    fn checkpoint(&mut self, id: &JobId, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        self.placer.set_vacating(id, true);
        if matches!(assignment.stage, Stage::Stopping(_)) {
            return;
        }
        assignment.stage = Stage::Checkpointing(StopReason::Vacate);
        self.send_command(id, Command::Checkpoint);
        self.set_timer(id, now, CHECKPOINT_TIMEOUT);
    }

    /// Stops a task whose checkpoint was saved or timed out. Waits while the start of
    /// the job that preempts it is not stored, as that job may still be withdrawn.
    fn on_checkpointed(&mut self, id: &JobId, reason: StopReason, now: Time) {
        let preempted_for = self
            .assignments
            .get(id)
            .and_then(|assignment| assignment.preempted_for.clone());
        let recording = preempted_for
            .and_then(|job| self.assignments.get(&job))
            .is_some_and(|assignment| assignment.stage == Stage::Recording);
        if recording {
            return self.set_timer(id, now, Time::ZERO);
        }
        self.stop(id, reason, now);
    }

    /// Stops a task, or takes back a start that was not sent yet.
    pub(super) fn stop(&mut self, id: &JobId, reason: StopReason, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        if !assignment.start_sent() {
            return match reason {
                StopReason::Cancel => self.end_job(id, State::Cancelled, "", now),
                StopReason::Uncertain | StopReason::Vacate => self.requeue(id, false, now),
            };
        }
        if assignment.stage == Stage::Stopping(StopReason::Cancel) {
            return;
        }
        assignment.stage = Stage::Stopping(reason);
        assignment.backoff = INITIAL_BACKOFF;
        self.send_command(id, Command::Stop);
        self.set_timer(id, now, REPLY_TIMEOUT);
    }

    /// Handles the loss of a task with its worker. A job that may have run is requeued
    /// only if it is idempotent.
    pub(super) fn on_task_lost(&mut self, id: &JobId, reason: &str, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        let sent = assignment.start_sent();
        if job.idempotent || !sent {
            return self.requeue(id, sent, now);
        }
        let cancelled = assignment.stage == Stage::Stopping(StopReason::Cancel);
        self.end_job(id, State::Unknown, reason, now);
        if cancelled {
            // The worker may return with the task, which is stopped then.
            self.cancelled.insert(id.clone());
            self.cancelled.retain(|id| self.jobs.get(id).is_some());
        }
    }

    /// Ends a job in a final state and releases its worker.
    pub(super) fn end_job(&mut self, id: &JobId, state: State, reason: &str, now: Time) {
        self.dequeue(id);
        self.release(id, now);
        self.failures.remove(id);
        self.cancelled.remove(id);
        self.faults.job_ended(id);
        let end = JobEvent::End {
            job: id.clone(),
            state,
            reason: reason.into(),
        };
        if self.jobs.apply(end).is_ok() {
            self.mark_dirty(id, false, now);
        }
    }

    /// Removes a job that was never part of a batch.
    pub(super) fn withdraw(&mut self, id: &JobId, now: Time) {
        self.dequeue(id);
        self.release(id, now);
        self.unstored.remove(id);
        self.dirty.remove(id);
        self.jobs.withdraw(id);
    }

    fn requeue(&mut self, id: &JobId, ran: bool, now: Time) {
        let stage = self.assignments.get(id).map(|assignment| assignment.stage);
        if stage == Some(Stage::Stopping(StopReason::Cancel)) {
            return self.end_job(id, State::Cancelled, "", now);
        }
        self.record_growth(id);
        self.release(id, now);
        let requeue = JobEvent::Requeue {
            job: id.clone(),
            ran,
        };
        if self.jobs.apply(requeue).is_err() {
            return self.end_job(id, State::Unknown, "it may have run", now);
        }
        self.enqueue(id, now);
        self.mark_dirty(id, false, now);
    }

    /// Releases the worker of a job. Tasks that were to be preempted for it go on, and
    /// the job that it was preempted for may start.
    fn release(&mut self, id: &JobId, now: Time) {
        let Some(assignment) = self.assignments.remove(id) else {
            return;
        };
        self.timers.remove(&(assignment.timer_at, id.clone()));
        self.placer.release(id);
        if let Some(job) = self.jobs.get(id) {
            let precedence = (job.priority, job.submitted_ms);
            let team = job.team.clone();
            let changes = self.quotas.remove(&team, precedence, id);
            self.apply_borrow_changes(changes);
        }
        self.capacity_freed = true;
        for victim in &assignment.blockers {
            self.cancel_preemption(victim, now);
        }
        if let Some(next) = &assignment.preempted_for {
            if let Some(assignment) = self.assignments.get_mut(next) {
                assignment.blockers.remove(id);
            }
            self.try_start(next, now);
        }
    }

    /// Cancels the preemption of a task if it is not being stopped yet.
    fn cancel_preemption(&mut self, id: &JobId, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        assignment.preempted_for = None;
        if matches!(assignment.stage, Stage::Checkpointing(_)) {
            assignment.stage = Stage::Running;
            self.placer.set_vacating(id, false);
            self.set_timer(id, now, TASK_TTL / 6);
        }
    }

    pub(super) fn throttle(&mut self, id: &JobId, percent: u32) {
        if let Some(assignment) = self.assignments.get_mut(id) {
            assignment.throttled = percent < 100;
        }
        self.placer.set_throttled(id, percent < 100);
        self.send_command(id, Command::Throttle { percent });
    }

    pub(super) fn send_command(&mut self, id: &JobId, command: Command) {
        let Some(assignment) = self.assignments.get(id) else {
            return;
        };
        self.actions.push(Action::Command {
            worker: assignment.worker.clone(),
            task: Task {
                job: id.clone(),
                attempt: assignment.attempt,
            },
            command,
            fence: self.fence(),
        });
    }

    fn set_timer(&mut self, id: &JobId, now: Time, wait: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        self.timers.remove(&(assignment.timer_at, id.clone()));
        // A timer without a wait expires in the next tick; in this one,
        // `run_timers` would not end.
        assignment.timer_at = now + wait.max(Time::from_millis(1));
        self.timers.insert((assignment.timer_at, id.clone()));
    }
}

fn is_on_worker(stage: Stage) -> bool {
    matches!(
        stage,
        Stage::Running | Stage::Checkpointing(_) | Stage::Stopping(_)
    )
}
