//! Reports of workers: active and finished runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::Phase;
use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::ready::Rank;
use crate::batch::task::Status;
use crate::batch::worker;
use crate::batch::worker::Stage;
use crate::batch::worker::StopReason;
use crate::id::Time;

/// Time without progress after which a run counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without full service after which a long-running task counts as stalled.
const LONG_RUNNING_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay before a failed task is started again.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Report of a worker, the answer to one poll.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Unix time in milliseconds at which the worker's incarnation began; 0 if unknown.
    pub incarnation: u64,
    /// Time since the incarnation began, on its own clock.
    pub age: Duration,
    /// When the poll was sent.
    pub requested_at: Time,
    /// End of the poll's time limit. A report that is handled later was answered before, and the
    /// process was suspended since.
    pub answered_by: Time,
    /// Runs that have not ended.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended and are not acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Whether further runs may have ended that `finished` does not list.
    pub more_finished: bool,
}

/// Run that has not ended, as reported by a worker.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Run number of the task.
    pub run: Run,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Progress in percent; for a long-running task the share of full service.
    pub percent: u32,
    /// Tail latency in milliseconds of a task with a latency goal; millicores in use of any other.
    pub measurement: f64,
}

/// Finished run that a worker reports until it is acknowledged.
#[derive(Clone, Debug)]
pub struct FinishedRun {
    /// Number of the finished run within the worker's incarnation, from 1.
    pub number: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Run number of the task.
    pub run: Run,
    /// How the run ended.
    pub end: End,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The run completed its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped, its lease expired, or its gang was incomplete.
    Interrupted,
}

impl Report {
    /// Returns the runs that the worker lists, whether they have ended or not.
    fn runs(&self) -> BTreeSet<(TaskId, Run)> {
        let running = self.running.iter().map(|it| (it.task.clone(), it.run));
        let finished = self.finished.iter().map(|it| (it.task.clone(), it.run));
        running.chain(finished).collect()
    }
}

impl Batch {
    pub(super) fn apply_report(&mut self, id: &WorkerId, mut report: Report, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.has_reported && !worker.runs.is_empty() {
            let line = format!(
                "jobs: worker {id} reports {} runs and {} ends for the first time in this term, {} \
                 are recorded; recorded for incarnation {}, registered {}, reported {}",
                report.running.len(),
                report.finished.len(),
                worker.runs.len(),
                worker.incarnation,
                worker.entry.incarnation,
                report.incarnation
            );
            self.actions.push(Action::Log(line));
        }
        if report.incarnation != 0 && worker.incarnation != report.incarnation {
            let restarted = worker.incarnation != 0;
            worker.reset_incarnation(report.incarnation);
            if restarted {
                self.worker_restarted(id, now);
                let mut kept = report.runs();
                if report.more_finished {
                    kept.extend(self.runs_of_incarnation(id, report.incarnation));
                }
                self.worker_gone(id, &kept, now);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.drained = worker.entry.draining;
                }
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.reported_at = now.min(report.answered_by);
        worker.requested_at = report.requested_at;
        // The worker was silent and has not crashed.
        let lapsed = std::mem::take(&mut worker.lapsed);
        self.fate_known(id, &lapsed);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.has_reported {
            worker.has_reported = true;
            // The worker now has this fence, so a predecessor can no longer extend the lease.
            worker.set_lease_end(now + worker::longest_lease());
            self.dirty_pools.insert(worker.entry.pool.clone());
            self.inherit_unseen_lease(id, report.age, now);
        }
        let last_end = self.workers.get(id).map_or(0, |it| it.last_end);
        let finished = std::mem::take(&mut report.finished).into_iter();
        for end in finished.filter(|it| it.number > last_end) {
            self.run_ended(id, end, now);
        }
        self.reconcile_runs(id, report, now);
        self.acknowledge(id);
    }

    /// Returns the runs of a worker whose starts are recorded for an incarnation.
    fn runs_of_incarnation(&self, id: &WorkerId, incarnation: u64) -> Vec<(TaskId, Run)> {
        let runs = self.workers.get(id).into_iter().flat_map(|it| &it.runs);
        let recorded = runs.filter(|(task, _)| {
            let job = self.jobs.get(&task.job);
            let state = job.and_then(|job| job.task(task));
            state.is_some_and(|state| state.incarnation == incarnation)
        });
        recorded
            .map(|(task, run)| (task.clone(), run.run))
            .collect()
    }

    /// Acknowledges the ends of a worker whose results are all stored.
    pub(super) fn acknowledge(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(end) = worker.acknowledge()
        {
            self.actions.push(Action::Acknowledge {
                worker: id.clone(),
                incarnation: worker.incarnation,
                end,
            });
        }
    }

    /// Removes the runs of a worker but those in `listed`, and queues their tasks again.
    pub(super) fn lose_runs(&mut self, id: &WorkerId, listed: &BTreeSet<(TaskId, Run)>, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs: Vec<(TaskId, Run)> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .filter(|run| !listed.contains(run))
            .collect();
        for (task, run) in runs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(&task);
            }
            self.run_lost(id, &task, run, now);
        }
    }

    fn run_ended(&mut self, id: &WorkerId, ended: FinishedRun, now: Time) {
        let FinishedRun {
            number, task, run, ..
        } = &ended;
        let mut elapsed = None;
        let mut long_running = false;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_end = worker.last_end.max(*number);
            self.dirty_pools.insert(worker.entry.pool.clone());
            if worker.runs.get(task).is_some_and(|it| it.run == *run)
                && let Some(state) = worker.remove(task)
            {
                long_running = state.long_running;
                if let Stage::Confirmed(since) = state.stage {
                    elapsed = Some(now.saturating_sub(since));
                }
            }
        }
        // A failure of a long-running task is no evidence against the worker, as it may fail at any
        // time and on any worker.
        match ended.end {
            End::Done => self.record_outcome(id, false, now),
            End::Failed if !long_running => self.record_outcome(id, true, now),
            End::Failed | End::Interrupted => {}
        }
        if ended.end == End::Failed {
            self.log(format!("jobs: {task} run {run} failed on worker {id}"));
        }
        let version = self.apply_end(id, &ended, elapsed, now);
        if let (Some(version), Some(worker)) = (version, self.workers.get_mut(id)) {
            worker.add_end(*number, task.job.clone(), version);
            let workers = self.unstored_ends.entry(task.job.clone()).or_default();
            workers.insert(id.clone());
        }
    }

    /// Applies a finished run to its task; returns the version of the job that includes the result,
    /// or `None` if the store needs no further row for it.
    fn apply_end(
        &mut self,
        id: &WorkerId,
        ended: &FinishedRun,
        elapsed: Option<Duration>,
        now: Time,
    ) -> Option<u64> {
        let task = &ended.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // Until the store holds the end of the job, a successor starts its tasks again.
            return self.unstored_jobs.get(&task.job).copied();
        };
        job.begun = true;
        let step = job.step(task.step)?.clone();
        let queue = job.row.queue.clone();
        let pool = job.pool.clone();
        let attempts = job.max_attempts;
        let unstored = job.unstored_version();
        let state = job.task_mut(task)?;
        if state.done() {
            // Another run, or another member of the gang, may have ended just before.
            return unstored;
        }
        let current = state.run == ended.run && state.worker() == Some(id);
        let elsewhere = state.worker().filter(|_| !current).cloned();
        if !ended.checkpoint.is_empty() && current {
            state.checkpoint = ended.checkpoint.clone();
        }
        match ended.end {
            End::Done if !step.long_running => {
                state.status = Status::Done;
                state.checkpoint = CompactString::default();
                let queued = state.queued.take();
                if let (Some(urgency), Some(ready)) = (queued, self.ready.get_mut(&pool)) {
                    let task = task.clone();
                    ready.remove(&Rank { urgency, task });
                }
                if let Some(elapsed) = elapsed {
                    self.demand.record_run_time(&queue, &step, elapsed);
                }
                if let Some(other) = elsewhere {
                    self.stop(&other, task, StopReason::Obsolete);
                }
                return Some(self.task_done(task, ended.run, now));
            }
            // A new role holder receives failed runs again whose acknowledgement was lost.
            End::Failed if !step.long_running && ended.run > state.last_failed_run => {
                state.last_failed_run = ended.run;
                state.failures += 1;
                if state.failures >= attempts {
                    self.log(format!(
                        "jobs: {task} failed {attempts} times; its job fails"
                    ));
                    return Some(self.finish(&task.job, Phase::Failed, now));
                }
            }
            End::Done | End::Failed | End::Interrupted => {}
        }
        if current {
            state.status = Status::Waiting;
            state.queued = None;
            if ended.end == End::Failed {
                state.avoid = Some(id.clone());
                state.retry_at = now + FAILED_RETRY_DELAY;
            }
        }
        let version = self.bump_version(&task.job);
        self.enqueue(&task.job, now);
        Some(version)
    }

    /// Updates the step of a task of which a run is done, with all members of its gang; ends the job
    /// or enqueues the steps that depend on it.
    fn task_done(&mut self, task: &TaskId, run: Run, now: Time) -> u64 {
        let mut later_runs = Vec::new();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let gang = job.step(task.step).is_some_and(|step| step.gang);
            let entry = job.occurrences.get_mut(&task.occurrence);
            if let Some(tasks) = entry.and_then(|it| it.steps.get_mut(task.step as usize)) {
                if gang {
                    for (index, member) in tasks.tasks.iter_mut().enumerate() {
                        // The members of the run that is done have ended with it.
                        if let Some(worker) = member.worker().filter(|_| member.run != run) {
                            later_runs.push((worker.clone(), index as u32));
                        }
                        member.status = Status::Done;
                    }
                }
                tasks.done = tasks.tasks.iter().filter(|it| it.done()).count();
            }
        }
        for (worker, index) in later_runs {
            let member = TaskId {
                index,
                ..task.clone()
            };
            self.stop(&worker, &member, StopReason::Obsolete);
        }
        if let Some(version) = self.finish_if_complete(&task.job, now) {
            return version;
        }
        let version = self.bump_version(&task.job);
        self.enqueue(&task.job, now);
        version
    }

    /// Compares the runs that a worker reports with those that may exist on it.
    ///
    /// Runs that are missing for certain are lost; runs that are not known are stopped. While the
    /// worker has ends that it does not list, a missing run may be one of them.
    fn reconcile_runs(&mut self, id: &WorkerId, report: Report, now: Time) {
        let Report {
            requested_at,
            running,
            more_finished,
            ..
        } = report;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut unknown = Vec::new();
        for state in worker.runs.values_mut() {
            state.listed = false;
        }
        let mut confirmed = Vec::new();
        let mut survived = Vec::new();
        let mut listed = BTreeMap::new();
        let mut checkpoints = Vec::new();
        for entry in running {
            listed.insert(entry.task.clone(), entry.run);
            match worker.runs.get_mut(&entry.task) {
                Some(state) if state.run == entry.run => {
                    state.listed = true;
                    state.seen = true;
                    if state.stage == Stage::Starting {
                        state.stage = Stage::Confirmed(now);
                        confirmed.push(entry.task.job.clone());
                    }
                    if entry.percent > state.percent || (state.long_running && entry.percent >= 100)
                    {
                        state.progressed_at = now;
                    }
                    if let Stage::Confirmed(since) = state.stage
                        && !state.survived
                        && since + state.survival_time() <= requested_at
                    {
                        survived.push(entry.task.clone());
                    }
                    state.percent = entry.percent;
                    state.measurement = entry.measurement;
                    if !entry.checkpoint.is_empty() {
                        checkpoints.push((entry.task, entry.run, entry.checkpoint));
                    }
                }
                _ => unknown.push((entry.task, entry.run)),
            }
        }
        for task in survived {
            self.run_survived(id, &task);
        }
        for job in confirmed {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.begun = true;
            }
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut lost = Vec::new();
        let mut unanswered = Vec::new();
        for (task, state) in &worker.runs {
            if listed.get(task) == Some(&state.run) {
                continue;
            }
            if state.awaits_stop(requested_at, now) {
                unanswered.push(task.clone());
            }
            let gone = match state.stage {
                _ if more_finished => false,
                Stage::Reserved => false,
                // A predecessor recorded the start; the poll raised the worker's fence, so the
                // start cannot arrive any more.
                Stage::Starting => state.since <= requested_at && state.since == self.term_start,
                Stage::Confirmed(since) => since <= requested_at,
                Stage::Stopping(_, answered) => answered.is_some_and(|since| since <= requested_at),
            };
            if gone {
                lost.push((task.clone(), state.run));
            }
        }
        for (task, run) in lost {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(&task);
            }
            self.log(format!(
                "jobs: {task} run {run} is not on worker {id} and counts as lost"
            ));
            self.run_lost(id, &task, run, now);
        }
        for task in unanswered {
            self.stop(id, &task, StopReason::Unanswered);
            self.repeat_stop(id, &task, now);
        }
        self.revoke_stops(id, now);
        let counted = self.unknown_requests(&unknown);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.has_unknown_runs = !unknown.is_empty();
            worker.set_unknown_runs(counted);
        }
        for (task, run) in unknown {
            self.actions.push(Action::Stop {
                worker: id.clone(),
                task,
                run,
            });
        }
        for (task, run, checkpoint) in checkpoints {
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&task))
                && state.run == run
            {
                state.checkpoint = checkpoint;
            }
        }
    }

    /// Stops stalled runs and quarantines their workers, so that the tasks start elsewhere.
    pub(super) fn stop_stalled(&mut self, now: Time) {
        let mut stalled = Vec::new();
        for (id, worker) in self.workers.iter() {
            // A report may be as old as one poll; without it, progress is unknown.
            if now.saturating_sub(worker.reported_at) > Duration::from_millis(700) {
                continue;
            }
            for (task, run) in &worker.runs {
                let Stage::Confirmed(_) = run.stage else {
                    continue;
                };
                let limit = match run.long_running {
                    true => LONG_RUNNING_STALL_TIMEOUT,
                    false => STALL_TIMEOUT,
                };
                let stalled_run = now.saturating_sub(run.progressed_at) > limit;
                if stalled_run && run.pace == 100 && !run.best_effort {
                    stalled.push((id.clone(), task.clone()));
                }
            }
        }
        for (worker, task) in stalled {
            self.log(format!(
                "jobs: {task} stands still on worker {worker}; run stopped, worker quarantined"
            ));
            self.quarantine(&worker, now);
            if let Some(job) = self.jobs.get_mut(&task.job)
                && let Some(state) = job.task_mut(&task)
            {
                state.avoid = Some(worker.clone());
            }
            self.stop(&worker, &task, StopReason::Stalled);
        }
    }
}
