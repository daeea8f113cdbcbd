//! Starts, stops and losses of runs on workers.

use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::Run;
use crate::batch::StartReply;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::contact::predecessor_lease;
use crate::batch::task::Status;
use crate::batch::task::Task;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::StopReason;
use crate::batch::worker::Worker;
use crate::batch::worker::unanswered_lease;
use crate::id::JobId;
use crate::id::Time;

/// Time after which an unanswered stop is sent again.
const STOP_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an answered stop is sent again if the worker still reports the run; covers two
/// polls of 0.7 s.
const STOP_EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which an unanswered start is stopped; covers the starts queued before it for the same
/// worker.
const START_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a worker that refused a start gets no tasks.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Time for which an unhealthy worker gets no tasks.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(600);

impl Batch {
    /// Adds the runs of a job that a predecessor recorded to their workers.
    ///
    /// A worker that is not registered is added as unregistered and removed once its lease has
    /// expired.
    pub(super) fn adopt_runs(&mut self, id: &JobId, written_by: Time, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let lease_end = now + predecessor_lease();
        let mut unanswered = Vec::new();
        for (task, state) in job.tasks() {
            let Status::Placed { worker: name } = &state.status else {
                continue;
            };
            let Some(step) = job.step(task.step) else {
                continue;
            };
            let run = RunState {
                suspicion: state.start_suspicion(step),
                workspace: job.row.workspace.clone(),
                recorded_by: self.recorded_by(written_by, &task, state.run),
                ..RunState::new(state.run, step, Stage::Starting, now)
            };
            if !self.workers.contains_key(name) {
                let entry = WorkerEntry {
                    id: name.clone(),
                    ..WorkerEntry::default()
                };
                let mut worker = Worker::new(entry, now, lease_end);
                worker.unregistered = true;
                if let Some(until) = self.restarts.get(name) {
                    worker.inherit_lease(*until);
                }
                self.workers.insert(name.clone(), worker);
            }
            if run.recorded_by.is_some() {
                unanswered.push((task.clone(), run.run));
            }
            if let Some(worker) = self.workers.get_mut(name) {
                worker.insert(task, run);
            }
        }
        for (task, run) in unanswered {
            self.start_unanswered(task, run);
        }
    }

    /// Sends the starts of a job that are recorded in its stored row of this version.
    pub(super) fn send_recorded_starts(&mut self, id: &JobId, version: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.row.job.spec.clone();
        for (number, occurrence) in &mut job.occurrences {
            for (step, tasks) in occurrence.steps.iter_mut().enumerate() {
                for (index, task) in tasks.tasks.iter_mut().enumerate() {
                    let worker = match &task.status {
                        Status::Recording { worker, version: v } if *v <= version => worker.clone(),
                        _ => continue,
                    };
                    let name = TaskId {
                        job: id.clone(),
                        occurrence: *number,
                        step: step as u32,
                        index: index as u32,
                    };
                    task.status = Status::Placed {
                        worker: worker.clone(),
                    };
                    let entry = self.workers.get_mut(&worker);
                    if let Some(run) = entry.and_then(|it| it.runs.get_mut(&name)) {
                        run.stage = Stage::Starting;
                        run.since = now;
                        run.recorded_by = Some(now);
                        run.progressed_at = now;
                    }
                    self.actions.push(Action::Start {
                        worker,
                        task: name,
                        run: task.run,
                        spec: spec.clone(),
                        checkpoint: task.checkpoint.clone(),
                    });
                }
            }
        }
    }

    pub(super) fn start_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        (run, reply): (Run, StartReply),
        now: Time,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let known = entry.runs.get_mut(task).filter(|it| it.run == run);
        let Some(state) = known else {
            return;
        };
        match reply {
            StartReply::Started => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.begun = true;
                }
                if state.stage == Stage::Starting {
                    state.stage = Stage::Confirmed(now);
                    state.progressed_at = now;
                }
                return;
            }
            StartReply::Unknown => {
                // An unanswered start may still be executed unless the run is stopped. While others
                // of its step are unavailable, the next report tells first whether it is running.
                if state.stage == Stage::Starting {
                    state.unanswered_at = Some(now);
                    if !state.long_running || self.may_stop(task, now) {
                        self.stop(worker, task, StopReason::Unanswered);
                    }
                }
                return;
            }
            StartReply::NoRoom | StartReply::Refused => entry.paused_until = now + REFUSED_PAUSE,
            StartReply::Unhealthy => entry.paused_until = now + UNHEALTHY_PAUSE,
            // A start that its stop withdrew says nothing about the worker.
            StartReply::NotSent if matches!(state.stage, Stage::Stopping(..)) => {}
            StartReply::NotSent => entry.paused_until = now + REFUSED_PAUSE,
        }
        entry.remove(task);
        self.log(match reply {
            StartReply::NotSent => {
                format!("jobs: start of {task} run {run} was not sent to worker {worker}")
            }
            _ => format!("jobs: worker {worker} refused {task}: {reply:?}; the worker is paused"),
        });
        if reply == StartReply::NotSent {
            self.abandon_gang(task, run, now);
        }
        self.run_lost(worker, task, run, now);
    }

    /// Withdraws the starts for a worker that are not sent yet, and queues their tasks again.
    pub(super) fn withdraw_starts(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker.runs.iter();
        let reserved = runs.filter(|(_, run)| run.stage == Stage::Reserved);
        let reserved: Vec<(TaskId, Run)> = reserved.map(|it| (it.0.clone(), it.1.run)).collect();
        // Whether these were sent is known only to their sender.
        if worker.runs.values().any(|it| it.stage == Stage::Starting) {
            self.actions
                .push(Action::WithdrawStarts { worker: id.clone() });
        }
        for (task, run) in reserved {
            self.log(format!(
                "jobs: start of {task} run {run} is withdrawn from worker {id}"
            ));
            self.release(id, &task, run, now);
            self.abandon_gang(&task, run, now);
        }
    }

    /// Releases the reserved capacity of a run that was not started, and queues its task again.
    fn release(&mut self, id: &WorkerId, task: &TaskId, run: Run, now: Time) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.remove(task);
        }
        self.run_lost(id, task, run, now);
    }

    /// Ends the run of the other members of a gang one of which is not started: they would wait for
    /// it in vain. Does nothing if the task has no gang.
    fn abandon_gang(&mut self, task: &TaskId, run: Run, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.step(task.step).filter(|step| step.gang) else {
            return;
        };
        let mut members = Vec::new();
        for index in (0..step.count).filter(|index| *index != task.index) {
            let member = TaskId {
                index,
                ..task.clone()
            };
            let state = job.task(&member).filter(|state| state.run == run);
            if let Some(worker) = state.and_then(Task::worker) {
                members.push((worker.clone(), member));
            }
        }
        for (worker, member) in members {
            let entry = self.workers.get(&worker);
            let state = entry.and_then(|entry| entry.runs.get(&member));
            match state.map(|state| state.stage) {
                Some(Stage::Reserved) => self.release(&worker, &member, run, now),
                _ => self.stop(&worker, &member, StopReason::Obsolete),
            }
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        (run, confirmed): (Run, bool),
        now: Time,
    ) {
        let entry = self.workers.get_mut(worker);
        let state = entry.and_then(|entry| entry.runs.get_mut(task));
        if let Some(state) = state.filter(|it| it.run == run)
            && let Stage::Stopping(sent_at, None) = state.stage
            && confirmed
        {
            state.stage = Stage::Stopping(sent_at, Some(now));
        }
    }

    /// Stops the run of a task on a worker, or releases its reserved capacity if no start was sent.
    pub(super) fn stop(&mut self, worker: &WorkerId, task: &TaskId, reason: StopReason) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let reported_at = entry.reported_at;
        let Some(state) = entry.runs.get_mut(task) else {
            return;
        };
        match state.stage {
            Stage::Reserved => {
                entry.remove(task);
            }
            Stage::Stopping(..) => {
                if reason == StopReason::Obsolete {
                    state.stop_reason = reason;
                }
            }
            Stage::Starting | Stage::Confirmed(_) => {
                state.stage = Stage::Stopping(reported_at, None);
                state.stop_reason = reason;
                let run = state.run;
                self.actions.push(Action::Stop {
                    worker: worker.clone(),
                    task: task.clone(),
                    run,
                });
            }
        }
    }

    /// Returns whether the reason to stop a run has lapsed, so that an unanswered stop is not
    /// repeated.
    ///
    /// The worker lists the run, and ending it now would make more tasks of its step unavailable
    /// than allowed, or is not needed as its start arrived after all.
    fn stop_lapsed(&self, id: &WorkerId, task: &TaskId, run: &RunState, now: Time) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        let current = state.is_some_and(|it| it.run == run.run && it.worker() == Some(id));
        if !run.listed || !current {
            return false;
        }
        match run.stop_reason {
            StopReason::Obsolete => false,
            StopReason::Unanswered => true,
            StopReason::Drain => run.long_running && !self.may_stop(task, now),
            StopReason::Stalled => {
                run.long_running && run.percent >= 100 && !self.may_stop(task, now)
            }
        }
    }

    /// Lets the runs of a worker go on whose stops had no answer and have lost their reason.
    pub(super) fn revoke_stops(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let stopping = worker.runs.iter();
        let stopping = stopping.filter(|(_, run)| matches!(run.stage, Stage::Stopping(_, None)));
        let lapsed: Vec<(TaskId, Run, StopReason)> = stopping
            .filter(|(task, run)| self.stop_lapsed(id, task, run, now))
            .map(|(task, run)| (task.clone(), run.run, run.stop_reason))
            .collect();
        for (task, run, reason) in lapsed {
            let worker = self.workers.get_mut(id);
            if let Some(state) = worker.and_then(|it| it.runs.get_mut(&task)) {
                state.stage = Stage::Confirmed(now);
            }
            self.log(format!(
                "jobs: {task} run {run} goes on on worker {id}: its stop ({reason:?}) had no answer \
                 and is not needed any more"
            ));
            self.actions.push(Action::WithdrawStop {
                worker: id.clone(),
                task,
                run,
            });
        }
    }

    /// Queues the task of a lost run again; does nothing if the task has another run.
    pub(super) fn run_lost(&mut self, worker: &WorkerId, task: &TaskId, run: Run, now: Time) {
        if let Some(entry) = self.workers.get(worker) {
            self.dirty_pools.insert(entry.entry.pool.clone());
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if state.run != run || state.worker() != Some(worker) {
            return;
        }
        state.status = Status::Waiting;
        state.avoid = Some(worker.clone());
        state.queued = None;
        self.bump_version(&task.job);
        self.enqueue(&task.job, now);
    }

    /// Handles time-outs: expired leases, unanswered starts, and stops without an answer or effect.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let mut lost = Vec::new();
        let mut stops = Vec::new();
        let mut unanswered_starts = Vec::new();
        for (id, worker) in self.workers.iter() {
            if worker.runs.is_empty() {
                continue;
            }
            if now >= worker.lease_end {
                let runs = worker.runs.iter();
                let runs = runs.filter(|(_, run)| !self.may_still_begin(run, now));
                lost.extend(runs.map(|(task, run)| (id.clone(), task.clone(), run.run)));
                continue;
            }
            for (task, run) in worker.runs.iter().filter(|_| worker.has_reported) {
                match run.stage {
                    Stage::Starting
                        if now.saturating_sub(run.since) > START_ANSWER_TIMEOUT
                            && (run.unanswered_at.is_none()
                                || !self.needs_report(task, run, now)) =>
                    {
                        unanswered_starts.push((id.clone(), task.clone()));
                    }
                    Stage::Stopping(..)
                        if run.stop_timed_out(now) && !self.needs_report(task, run, now) =>
                    {
                        stops.push((id.clone(), task.clone()));
                    }
                    _ => {}
                }
            }
        }
        for (worker, task, run) in lost {
            self.run_lapsed(&worker, &task, now);
            self.log(format!(
                "jobs: lease of worker {worker} ended, {task} run {run} is lost"
            ));
            self.run_lost(&worker, &task, run, now);
        }
        for (worker, task) in unanswered_starts {
            self.log(format!(
                "jobs: start of {task} on worker {worker} has no answer; the run is stopped"
            ));
            self.stop(&worker, &task, StopReason::Unanswered);
        }
        for (worker, task) in stops {
            self.repeat_stop(&worker, &task, now);
        }
        self.remove_absent(now);
    }

    /// Returns whether a run may begin, or go on, although the lease of its worker has ended.
    ///
    /// If the worker has started again under its identifier, its next incarnation carries out a start
    /// that the one before it left unanswered, and the lease that the start carries is counted on a
    /// clock that starts anew.
    fn may_still_begin(&self, run: &RunState, now: Time) -> bool {
        let lease = unanswered_lease(self.bounds.lease);
        run.is_unanswered() && run.recorded_by.is_some_and(|since| now < since + lease)
    }

    /// Returns whether a run may be stopped only after a report: it may be in service, and others
    /// of its step are unavailable.
    fn needs_report(&self, task: &TaskId, run: &RunState, now: Time) -> bool {
        let needed = run.stage == Stage::Starting || run.stop_reason != StopReason::Obsolete;
        run.long_running && needed && !self.may_stop(task, now)
    }

    /// Sends the stop of a run again if it is due.
    pub(super) fn repeat_stop(&mut self, worker: &WorkerId, task: &TaskId, now: Time) {
        let entry = self.workers.get_mut(worker);
        let Some(state) = entry.and_then(|it| it.runs.get_mut(task)) else {
            return;
        };
        if state.stop_timed_out(now) {
            state.stage = Stage::Stopping(now, None);
            let run = state.run;
            self.actions.push(Action::Stop {
                worker: worker.clone(),
                task: task.clone(),
                run,
            });
        }
    }
}

impl RunState {
    /// Returns whether its stop has to be sent again.
    fn stop_timed_out(&self, now: Time) -> bool {
        match self.stage {
            // A poll that is sent after the answer tells whether the run is gone.
            Stage::Stopping(_, Some(answered)) => {
                now.saturating_sub(answered) > STOP_EFFECT_TIMEOUT
            }
            Stage::Stopping(sent_at, None) => now.saturating_sub(sent_at) > STOP_ANSWER_TIMEOUT,
            Stage::Reserved | Stage::Starting | Stage::Confirmed(_) => false,
        }
    }

    /// Returns whether a report that was requested at this time and does not list the run lets its
    /// unanswered start be stopped, or an unanswered stop be repeated.
    pub(super) fn awaits_stop(&self, requested_at: Time, now: Time) -> bool {
        match self.stage {
            Stage::Starting => self.unanswered_at.is_some_and(|time| time <= requested_at),
            Stage::Stopping(_, None) => self.stop_timed_out(now),
            Stage::Reserved | Stage::Confirmed(_) | Stage::Stopping(..) => false,
        }
    }
}
