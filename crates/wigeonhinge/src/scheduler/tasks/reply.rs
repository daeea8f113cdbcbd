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
use crate::scheduler::tasks::AGAIN;
use crate::scheduler::tasks::MAX_AGAIN;
use crate::scheduler::tasks::Step;
use crate::scheduler::tasks::Why;

impl Scheduler {
    pub(in crate::scheduler) fn reply(
        &mut self,
        worker: &VmId,
        task: &Task,
        command: Command,
        (incarnation, reply): (u64, Reply),
        now: Time,
    ) {
        if reply == Reply::Fenced {
            return self.lose();
        }
        let id = &task.job;
        let known = self.live.get(id);
        if !known.is_some_and(|live| live.worker == *worker && live.attempt == task.attempt) {
            return;
        }
        if incarnation > self.incarnations.get(worker).copied().unwrap_or(0) {
            self.incarnations.insert(worker.clone(), incarnation);
        }
        match reply {
            Reply::Restarted => self.requeue(id, false, now),
            // The answer to the only start of the attempt needs no incarnation.
            Reply::Stopped { ran: false } if matches!(command, Command::Start { .. }) => {
                self.requeue(id, false, now);
            }
            Reply::Running => self.runs(id, Some(command), now),
            Reply::StartFailed(reason) if matches!(command, Command::Start { .. }) => {
                self.failed(id, false, &reason, now);
            }
            Reply::StartFailed(_) | Reply::Lost => self.unanswered(id, command, now),
            Reply::Done => self.done(id, now),
            Reply::Failed(reason) => self.failed(id, true, &reason, now),
            Reply::Stopped { ran } => self.stopped(id, ran, incarnation, now),
            Reply::Absent => self.absent(id, command, now),
            Reply::Fenced => {}
        }
    }

    pub(super) fn runs(&mut self, id: &JobId, command: Option<Command>, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        match live.step {
            Step::Asked | Step::Doubtful => {
                // The holder that recorded the start may have throttled it.
                let unlimited = matches!(command, Some(Command::Start { .. }));
                live.step = Step::Running;
                live.ran = true;
                live.wait = AGAIN;
                let _ = self.jobs.apply(JobEvent::Run(id.clone()));
                self.placer.set_running(id);
                if !unlimited {
                    self.throttle(id, 100);
                }
                self.arm(id, now, TASK_TTL / 6);
            }
            Step::Running => self.arm(id, now, TASK_TTL / 6),
            Step::Saving(why) if command == Some(Command::Checkpoint) => self.saved(id, why, now),
            _ => {}
        }
    }

    pub(super) fn unanswered(&mut self, id: &JobId, command: Command, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        match (live.step, command) {
            (Step::Asked, Command::Start { .. }) => {
                live.step = Step::Doubtful;
                self.arm(id, now, AGAIN);
            }
            (Step::Running, Command::Renew) => {
                let wait = live.wait;
                live.wait = (wait * 2).min(MAX_AGAIN);
                self.arm(id, now, wait);
            }
            _ => {}
        }
    }

    /// Takes the answer that the worker does not know the task. After a stop it
    /// confirms nothing, so only an idempotent job may start again.
    pub(super) fn absent(&mut self, id: &JobId, command: Command, now: Time) {
        let step = self.live.get(id).map(|live| live.step);
        match step {
            Some(Step::Doubtful | Step::Running) => self.stop(id, Why::Doubt, now),
            Some(Step::Saving(why)) => self.stop(id, why, now),
            Some(Step::Stopping(_)) if command == Command::Stop => {
                self.stopped(id, true, 0, now);
            }
            _ => {}
        }
    }

    /// Takes the end of a task by a stop. "Never ran" counts only from the
    /// incarnation that the start was recorded for: a restarted worker has
    /// forgotten what it ran.
    pub(super) fn stopped(&mut self, id: &JobId, ran: bool, incarnation: u64, now: Time) {
        let (Some(job), Some(live)) = (self.jobs.get(id), self.live.get(id)) else {
            return;
        };
        let ran = ran || live.ran || incarnation == 0 || incarnation != job.incarnation;
        let retry = job.idempotent || !ran;
        match live.step {
            Step::Stopping(Why::Cancel) => self.finish(id, State::Cancelled, "", now),
            _ if retry => self.requeue(id, ran, now),
            _ => {
                let reason = "its worker stopped it after its start was in doubt";
                self.finish(id, State::Unknown, reason, now);
            }
        }
    }

    pub(super) fn done(&mut self, id: &JobId, now: Time) {
        let (Some(job), Some(live)) = (self.jobs.get(id), self.live.get(id)) else {
            return;
        };
        if live.peak != Size::default() {
            self.usage.observe(&job.class, live.peak);
        }
        self.faults.record_success(&live.worker, id);
        self.finish(id, State::Done, "", now);
    }
}
