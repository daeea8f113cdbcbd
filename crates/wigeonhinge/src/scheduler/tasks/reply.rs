//! Answers of workers to commands.

use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::State;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::job::JobEvent;
use crate::scheduler::Command;
use crate::scheduler::Reply;
use crate::scheduler::Scheduler;
use crate::scheduler::TASK_TTL;
use crate::scheduler::Task;
use crate::scheduler::tasks::INITIAL_BACKOFF;
use crate::scheduler::tasks::MAX_BACKOFF;
use crate::scheduler::tasks::Stage;
use crate::scheduler::tasks::StopReason;

impl Scheduler {
    pub(in crate::scheduler) fn on_reply(
        &mut self,
        worker: &VmId,
        task: &Task,
        command: Command,
        (incarnation, reply): (u64, Reply),
        now: Time,
    ) {
        if reply == Reply::Fenced {
            return self.lose_role();
        }
        let id = &task.job;
        let known = self.assignments.get(id);
        if !known.is_some_and(|assignment| {
            assignment.worker == *worker && assignment.attempt == task.attempt
        }) {
            return;
        }
        if incarnation > self.incarnations.get(worker).copied().unwrap_or(0) {
            self.incarnations.insert(worker.clone(), incarnation);
        }
        match reply {
            Reply::Restarted => self.requeue(id, false, now),
            // The incarnation does not matter: this is the answer to the only start
            // of the attempt.
            Reply::Stopped { ran: false } if matches!(command, Command::Start { .. }) => {
                self.requeue(id, false, now);
            }
            Reply::Running => self.on_running(id, Some(command), now),
            Reply::StartFailed(reason) if matches!(command, Command::Start { .. }) => {
                self.on_failed(id, false, &reason, now);
            }
            Reply::StartFailed(_) | Reply::Lost => self.on_unanswered(id, command, now),
            Reply::Done => self.on_done(id, now),
            Reply::Failed(reason) => self.on_failed(id, true, &reason, now),
            Reply::Stopped { ran } => self.on_stopped(id, ran, incarnation, now),
            Reply::Absent => self.on_absent(id, command, now),
            Reply::Fenced => {}
        }
    }

    pub(super) fn on_running(&mut self, id: &JobId, command: Option<Command>, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        match assignment.stage {
            Stage::StartSent | Stage::Uncertain => {
                // Another holder may have recorded the start and throttled the task.
                let unlimited = matches!(command, Some(Command::Start { .. }));
                assignment.stage = Stage::Running;
                assignment.ran = true;
                assignment.backoff = INITIAL_BACKOFF;
                let _ = self.jobs.apply(JobEvent::Run(id.clone()));
                self.placer.set_running(id);
                if !unlimited {
                    self.throttle(id, 100);
                }
                self.set_timer(id, now, TASK_TTL / 6);
            }
            Stage::Running => self.set_timer(id, now, TASK_TTL / 6),
            Stage::Checkpointing(reason) if command == Some(Command::Checkpoint) => {
                self.on_checkpointed(id, reason, now)
            }
            _ => {}
        }
    }

    pub(super) fn on_unanswered(&mut self, id: &JobId, command: Command, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        match (assignment.stage, command) {
            (Stage::StartSent, Command::Start { .. }) => {
                assignment.stage = Stage::Uncertain;
                self.set_timer(id, now, INITIAL_BACKOFF);
            }
            (Stage::Running, Command::Renew) => {
                let wait = assignment.backoff;
                assignment.backoff = (wait * 2).min(MAX_BACKOFF);
                self.set_timer(id, now, wait);
            }
            _ => {}
        }
    }

    /// Handles the answer that the worker does not know the task. After a stop, the
    /// task may still have run, so only an idempotent job is requeued.
    pub(super) fn on_absent(&mut self, id: &JobId, command: Command, now: Time) {
        let stage = self.assignments.get(id).map(|assignment| assignment.stage);
        match stage {
            Some(Stage::Uncertain | Stage::Running) => self.stop(id, StopReason::Uncertain, now),
            Some(Stage::Checkpointing(reason)) => self.stop(id, reason, now),
            Some(Stage::Stopping(_)) if command == Command::Stop => {
                self.on_stopped(id, true, 0, now);
            }
            _ => {}
        }
    }

    /// Handles the end of a task by a stop. An answer that the task never ran counts
    /// only from the incarnation that the start was recorded for, as a restarted
    /// worker has forgotten what it ran.
    pub(super) fn on_stopped(&mut self, id: &JobId, ran: bool, incarnation: u64, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        let ran = ran || assignment.ran || incarnation == 0 || incarnation != job.incarnation;
        let retry = job.idempotent || !ran;
        match assignment.stage {
            Stage::Stopping(StopReason::Cancel) => self.end_job(id, State::Cancelled, "", now),
            _ if retry => self.requeue(id, ran, now),
            _ => {
                let reason = "its worker stopped it after its start was in doubt";
                self.end_job(id, State::Unknown, reason, now);
            }
        }
    }

    pub(super) fn on_done(&mut self, id: &JobId, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        if assignment.peak != Size::default() {
            if let Some(declared) = job.size {
                self.usage.compare(&job.class, declared, assignment.peak);
            }
            self.usage.observe(&job.class, assignment.peak);
        }
        self.faults.record_success(&assignment.worker, id);
        self.end_job(id, State::Done, "", now);
    }
}
