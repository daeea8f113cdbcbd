//! Tasks on workers: commands, replies, reports and timers.

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

/// Time that a checkpoint of preempted work may take.
const CHECKPOINT_WAIT: Time = Time::from_millis(500);

/// Wait for the answer to a start before the worker is asked what became of it.
const REPLY_WAIT: Time = Time::from_secs(2);

/// First wait before a command is repeated; doubles each time.
const AGAIN: Time = Time::from_millis(200);

/// Longest wait before a command is repeated.
const MAX_AGAIN: Time = Time::from_secs(30);

/// Attempts that may fail before the job is marked failed on a small pool.
const MAX_FAILURES: u32 = 6;

/// A job that has a worker.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) worker: VmId,
    pub(super) attempt: u32,
    pub(super) step: Step,
    /// Jobs that have to be stopped before this one starts.
    blockers: BTreeSet<JobId>,
    /// Job that this one makes room for.
    helps: Option<JobId>,
    /// Size that the worker was asked to reserve.
    asked: Capacity,
    /// Size that is held: the one asked for, or what was seen in use.
    size: Capacity,
    peak: Size,
    resume: bool,
    /// Whether the worker is known to have run it.
    ran: bool,
    throttled: bool,
    at: Time,
    wait: Time,
}

/// Progress of a job that has a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// The start is not durable yet.
    Writing,
    /// The start is durable; the worker was not asked.
    Ready,
    /// The worker was asked.
    Asked,
    /// Whether the worker runs the task is not known.
    Doubtful,
    /// The worker runs the task.
    Running,
    /// The task saves its progress before it is stopped.
    Saving(Why),
    /// The worker was asked to stop the task.
    Stopping(Why),
}

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Why {
    Cancel,
    Doubt,
    Room,
}

impl Live {
    pub(super) fn planned(
        worker: VmId,
        attempt: u32,
        size: Capacity,
        resume: bool,
        blockers: BTreeSet<JobId>,
    ) -> Self {
        Self {
            worker,
            attempt,
            step: Step::Writing,
            blockers,
            helps: None,
            asked: size,
            size,
            peak: Size::default(),
            resume,
            ran: false,
            throttled: false,
            at: Time::ZERO,
            wait: AGAIN,
        }
    }

    fn was_asked(&self) -> bool {
        !matches!(self.step, Step::Writing | Step::Ready)
    }
}

impl Scheduler {
    /// Takes the confirmation that the start of an attempt is durable.
    pub(super) fn start_stored(&mut self, id: &JobId, attempt: u32, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        if live.attempt == attempt && live.step == Step::Writing {
            live.step = Step::Ready;
            self.try_start(id, now);
        }
    }

    /// Takes up a job whose start another holder recorded.
    pub(super) fn doubt(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let size = job.size.unwrap_or_default().into();
        let worker = VmId::from(&job.worker);
        let mut live = Live::planned(worker, job.attempts, size, false, BTreeSet::new());
        live.step = Step::Doubtful;
        live.ran = job.state() == State::Running;
        self.live.insert(id.clone(), live);
        self.arm(id, now, AGAIN);
    }

    /// Holds the capacity and the quota of every job that has a worker.
    pub(super) fn hold_all(&mut self, now: Time) {
        if self.placer.worker_names().len() == 0 {
            return;
        }
        let ids: Vec<JobId> = self.live.keys().cloned().collect();
        for id in ids {
            if !self.placer.contains(&self.live[&id].worker) {
                self.lose_task(&id, "its worker was removed", now);
                continue;
            }
            self.hold(&id, now);
        }
    }

    fn hold(&mut self, id: &JobId, now: Time) {
        let (Some(job), Some(live)) = (self.jobs.get(id), self.live.get(id)) else {
            return;
        };
        let request = self.request(id, job, live.size, now);
        let (team, precedence) = (job.team.clone(), (job.priority, job.submitted_ms));
        let (worker, step, throttled) = (live.worker.clone(), live.step, live.throttled);
        self.placer.reserve(id, &worker, &request, now);
        if live_step_runs(step) {
            self.placer.set_running(id);
        }
        if matches!(step, Step::Saving(_) | Step::Stopping(_)) {
            self.placer.set_vacating(id, true);
        }
        self.placer.set_throttled(id, throttled);
        let changes = self.quotas.add(&team, precedence, id, request.size);
        self.apply_borrow_changes(changes);
    }

    /// Runs the commands that are due.
    pub(super) fn run_timers(&mut self, now: Time) {
        while let Some((at, id)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id.clone()));
            self.timer(&id, now);
        }
    }

    fn timer(&mut self, id: &JobId, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        let wait = live.wait;
        live.wait = (wait * 2).min(MAX_AGAIN);
        match live.step {
            Step::Writing => {}
            Step::Ready => self.try_start(id, now),
            Step::Asked | Step::Doubtful => {
                live.step = Step::Doubtful;
                self.send(id, Command::Renew);
                self.arm(id, now, wait);
            }
            Step::Running => {
                self.send(id, Command::Renew);
                self.arm(id, now, TASK_TTL / 6);
            }
            Step::Saving(why) => self.saved(id, why, now),
            Step::Stopping(_) => {
                self.send(id, Command::Stop);
                self.arm(id, now, wait);
            }
        }
    }

    fn try_start(&mut self, id: &JobId, now: Time) {
        let valid = self.ready(now);
        let incarnation = self.jobs.get(id).map_or(0, |job| job.incarnation);
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        if live.step != Step::Ready || !live.blockers.is_empty() {
            return;
        }
        if !valid {
            return self.arm(id, now, AGAIN);
        }
        live.step = Step::Asked;
        live.wait = AGAIN;
        let start = Command::Start {
            size: live.size.into(),
            resume: live.resume,
            ttl: TASK_TTL,
            incarnation,
        };
        self.send(id, start);
        self.arm(id, now, REPLY_WAIT);
    }

    /// Makes a running task leave room for another job.
    pub(super) fn preempt(&mut self, id: &JobId, for_job: &JobId, now: Time) {
        if let Some(live) = self.live.get_mut(id) {
            live.helps = Some(for_job.clone());
        }
        self.save(id, now);
    }

    fn save(&mut self, id: &JobId, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        live.step = Step::Saving(Why::Room);
        self.placer.set_vacating(id, true);
        self.send(id, Command::Checkpoint);
        self.arm(id, now, CHECKPOINT_WAIT);
    }

    /// Stops a task that saved its progress, once the job that needs the room
    /// is sure to start.
    fn saved(&mut self, id: &JobId, why: Why, now: Time) {
        let helps = self.live.get(id).and_then(|live| live.helps.clone());
        let writing = helps
            .and_then(|job| self.live.get(&job))
            .is_some_and(|live| live.step == Step::Writing);
        if writing {
            return self.arm(id, now, Time::ZERO);
        }
        self.stop(id, why, now);
    }

    /// Stops a task, or gives up a start that the worker was not asked for.
    pub(super) fn stop(&mut self, id: &JobId, why: Why, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        if !live.was_asked() {
            return match why {
                Why::Cancel => self.finish(id, State::Cancelled, "", now),
                Why::Doubt | Why::Room => self.requeue(id, false, now),
            };
        }
        if live.step == Step::Stopping(Why::Cancel) {
            return;
        }
        live.step = Step::Stopping(why);
        live.wait = AGAIN;
        self.send(id, Command::Stop);
        self.arm(id, now, REPLY_WAIT);
    }

    /// Takes the loss of the worker of a task.
    pub(super) fn lose_task(&mut self, id: &JobId, reason: &str, now: Time) {
        let (Some(job), Some(live)) = (self.jobs.get(id), self.live.get(id)) else {
            return;
        };
        let asked = live.was_asked();
        if job.idempotent || !asked {
            return self.requeue(id, asked, now);
        }
        self.finish(id, State::Unknown, reason, now);
    }

    /// Ends a job.
    pub(super) fn finish(&mut self, id: &JobId, state: State, reason: &str, now: Time) {
        self.dequeue(id);
        self.free(id, now);
        self.failures.remove(id);
        self.faults.job_ended(id);
        let end = JobEvent::End {
            job: id.clone(),
            state,
            reason: reason.into(),
        };
        if self.jobs.apply(end).is_ok() {
            self.mark(id, false, now);
        }
    }

    /// Removes a job that the store does not have.
    pub(super) fn withdraw(&mut self, id: &JobId, now: Time) {
        self.dequeue(id);
        self.free(id, now);
        self.fresh.remove(id);
        self.dirty.remove(id);
        self.jobs.withdraw(id);
    }

    fn requeue(&mut self, id: &JobId, ran: bool, now: Time) {
        let step = self.live.get(id).map(|live| live.step);
        if step == Some(Step::Stopping(Why::Cancel)) {
            return self.finish(id, State::Cancelled, "", now);
        }
        self.free(id, now);
        let requeue = JobEvent::Requeue {
            job: id.clone(),
            ran,
        };
        if self.jobs.apply(requeue).is_err() {
            return self.finish(id, State::Unknown, "it may have run", now);
        }
        self.enqueue(id, now);
        self.mark(id, false, now);
    }

    /// Gives back the worker of a job.
    fn free(&mut self, id: &JobId, now: Time) {
        let Some(live) = self.live.remove(id) else {
            return;
        };
        self.timers.remove(&(live.at, id.clone()));
        self.placer.release(id);
        if let Some(job) = self.jobs.get(id) {
            let precedence = (job.priority, job.submitted_ms);
            let team = job.team.clone();
            let changes = self.quotas.remove(&team, precedence, id);
            self.apply_borrow_changes(changes);
        }
        self.freed = true;
        for victim in &live.blockers {
            self.spare(victim, now);
        }
        if let Some(helped) = &live.helps {
            if let Some(live) = self.live.get_mut(helped) {
                live.blockers.remove(id);
            }
            self.try_start(helped, now);
        }
    }

    /// Lets a task go on that was to make room for a job that is gone.
    fn spare(&mut self, id: &JobId, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        live.helps = None;
        if matches!(live.step, Step::Saving(_)) {
            live.step = Step::Running;
            self.placer.set_vacating(id, false);
            self.arm(id, now, TASK_TTL / 6);
        }
    }

    pub(super) fn throttle(&mut self, id: &JobId, percent: u32) {
        if let Some(live) = self.live.get_mut(id) {
            live.throttled = percent < 100;
        }
        self.placer.set_throttled(id, percent < 100);
        self.send(id, Command::Throttle { percent });
    }

    pub(super) fn send(&mut self, id: &JobId, command: Command) {
        let Some(live) = self.live.get(id) else {
            return;
        };
        self.out.push(Action::Command {
            worker: live.worker.clone(),
            task: Task {
                job: id.clone(),
                attempt: live.attempt,
            },
            command,
            fence: self.fence(),
        });
    }

    fn arm(&mut self, id: &JobId, now: Time, wait: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        self.timers.remove(&(live.at, id.clone()));
        // A timer that is due at once runs with the next tick, not in this one.
        live.at = now + wait.max(Time::from_millis(1));
        self.timers.insert((live.at, id.clone()));
    }
}

fn live_step_runs(step: Step) -> bool {
    matches!(step, Step::Running | Step::Saving(_) | Step::Stopping(_))
}
