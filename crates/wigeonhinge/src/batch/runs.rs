//! Runs on workers: starts, stops, and runs that are lost.

use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::CONTACT_TIMEOUT;
use crate::batch::MAX_CLOCK_DRIFT;
use crate::batch::Run;
use crate::batch::StartReply;
use crate::batch::TaskId;
use crate::batch::WORKER_LEASE;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::task::Status;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::JobId;
use crate::id::Time;

/// Time after which an unanswered stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// Time after which an answered stop is sent again if its run is still listed;
/// two looks of 0.7 s fit into it.
const STOP_LISTED: Duration = Duration::from_millis(2_500);

/// Time for an answer to a start, with those that wait for the same worker before it.
const START_ANSWER: Duration = Duration::from_secs(2);

/// Pause before a worker that refused a start is asked again.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Pause before an unhealthy worker is asked again.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(600);

impl Batch {
    /// Enters the runs that a predecessor recorded for a job.
    pub(super) fn adopt_runs(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let lease = WORKER_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + CONTACT_TIMEOUT;
        for (task, state) in job.tasks() {
            let Status::Placed { worker: name } = &state.status else {
                continue;
            };
            let Some(step) = job.step(task.step) else {
                continue;
            };
            let run = RunState::new(state.run, step, Stage::Starting, now);
            let worker = self.workers.entry(name.clone()).or_insert_with(|| {
                let entry = WorkerEntry {
                    id: name.clone(),
                    ..WorkerEntry::default()
                };
                let mut worker = Worker::new(entry, now, now + lease);
                worker.absent = true;
                worker
            });
            worker.insert(task, run);
        }
    }

    /// Orders the starts whose records a row of this version holds.
    pub(super) fn start_recorded(&mut self, id: &JobId, version: u64, now: Time) {
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
                        run.progress = now;
                    }
                    self.actions.push(Action::Start {
                        worker,
                        task: name,
                        run: task.run,
                        spec: spec.clone(),
                        checkpoint: task.saved.clone(),
                    });
                }
            }
        }
    }

    pub(super) fn started(
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
                if state.stage == Stage::Starting {
                    state.stage = Stage::Confirmed(now);
                    state.progress = now;
                }
                return;
            }
            StartReply::Unknown => {
                // A start without an answer may still happen; only a stop of the run excludes it.
                if state.stage == Stage::Starting {
                    self.stop(worker, task);
                }
                return;
            }
            StartReply::NoRoom | StartReply::Refused => entry.pause = now + REFUSED_PAUSE,
            StartReply::Unhealthy => entry.pause = now + UNHEALTHY_PAUSE,
        }
        entry.remove(task);
        self.note(format!("jobs: worker {worker} refused {task}: {reply:?}"));
        self.lost(worker, task, run, now);
    }

    pub(super) fn stopped(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        (run, known): (Run, bool),
        now: Time,
    ) {
        let entry = self.workers.get_mut(worker);
        let state = entry.and_then(|entry| entry.runs.get_mut(task));
        if let Some(state) = state.filter(|it| it.run == run)
            && let Stage::Stopping(asked, None) = state.stage
            && known
        {
            state.stage = Stage::Stopping(asked, Some(now));
        }
    }

    /// Stops the run of a task on a worker, or drops its reservation.
    pub(super) fn stop(&mut self, worker: &WorkerId, task: &TaskId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let heard = entry.heard;
        let Some(state) = entry.runs.get_mut(task) else {
            return;
        };
        match state.stage {
            Stage::Reserved => {
                entry.remove(task);
            }
            Stage::Stopping(..) => {}
            Stage::Starting | Stage::Confirmed(_) => {
                state.stage = Stage::Stopping(heard, None);
                let run = state.run;
                self.actions.push(Action::Stop {
                    worker: worker.clone(),
                    task: task.clone(),
                    run,
                });
            }
        }
    }

    /// Takes a run for lost: the task waits again.
    pub(super) fn lost(&mut self, worker: &WorkerId, task: &TaskId, run: Run, now: Time) {
        if let Some(entry) = self.workers.get(worker) {
            self.stale.insert(entry.entry.pool.clone());
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
        state.shun = Some(worker.clone());
        state.queued = false;
        self.touch(&task.job);
        self.enqueue(&task.job, now);
    }

    /// Gives up the runs of workers whose leases have ended, and repeats stops.
    pub(super) fn lapse(&mut self, now: Time) {
        let mut lost = Vec::new();
        let mut stops = Vec::new();
        let mut stuck = Vec::new();
        for (id, worker) in &mut self.workers {
            if now >= worker.lapse && !worker.runs.is_empty() {
                worker.listed = false;
                for (task, run) in &worker.runs {
                    lost.push((id.clone(), task.clone(), run.run));
                }
                continue;
            }
            for (task, run) in &mut worker.runs {
                let waits = run.stage == Stage::Starting && worker.listed;
                if waits && now.saturating_sub(run.since) > START_ANSWER {
                    stuck.push((id.clone(), task.clone()));
                    continue;
                }
                let Stage::Stopping(asked, answered) = &mut run.stage else {
                    continue;
                };
                let over = match answered {
                    // The lists of a look that was sent after the answer decide.
                    Some(time) => now.saturating_sub(*time) > STOP_LISTED,
                    None => now.saturating_sub(*asked) > STOP_RETRY,
                };
                if over && worker.listed {
                    *asked = now;
                    *answered = None;
                    stops.push((id.clone(), task.clone(), run.run));
                }
            }
        }
        for (worker, task, run) in lost {
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.remove(&task);
            }
            self.note(format!(
                "jobs: lease of worker {worker} ended, {task} run {run} is lost"
            ));
            self.lost(&worker, &task, run, now);
        }
        for (worker, task) in stuck {
            self.note(format!(
                "jobs: start of {task} on worker {worker} has no answer"
            ));
            self.stop(&worker, &task);
        }
        for (worker, task, run) in stops {
            self.actions.push(Action::Stop { worker, task, run });
        }
        self.drop_absent(now);
    }
}
