//! What workers list: runs and ends.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::Phase;
use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::task::Status;
use crate::batch::worker;
use crate::batch::worker::Stage;
use crate::id::Time;

/// Time without progress after which a run counts as standing still.
const STALL: Duration = Duration::from_millis(1_200);

/// Time without full service after which a lasting run counts as standing still.
const LASTING_STALL: Duration = Duration::from_millis(2_500);

/// Pause before a task that failed starts again.
const FAILED_PAUSE: Duration = Duration::from_millis(20);

/// Lists of a worker.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Unix milliseconds at which the incarnation began; 0 if unknown.
    pub incarnation: u64,
    /// When the worker was asked.
    pub requested_at: Time,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What ended and was not acknowledged.
    pub finished: Vec<FinishedRun>,
}

/// Run that a worker lists.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub run: Run,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Progress, or share of service of a lasting task, in percent.
    pub percent: u32,
    /// Tail of a serving task in milliseconds, or thousandths of a core in use.
    pub measurement: f64,
}

/// End of a run that a worker lists.
#[derive(Clone, Debug)]
pub struct FinishedRun {
    /// Number within the incarnation, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub run: Run,
    /// How it ended.
    pub end: End,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, its lease ended, or its gang was incomplete.
    Interrupted,
}

impl Batch {
    pub(super) fn report(&mut self, id: &WorkerId, report: Report, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if report.incarnation != 0 && worker.incarnation != report.incarnation {
            let reborn = worker.incarnation != 0;
            worker.reset(report.incarnation);
            if reborn {
                self.forget_runs(id, now);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.heard = now;
        if !worker.listed {
            worker.listed = true;
            // Its fence keeps a predecessor from extending the lease any more.
            worker.lapse = now + worker::longest_lease();
            self.stale.insert(worker.entry.pool.clone());
        }
        let seen = worker.seen;
        for end in report.finished.into_iter().filter(|it| it.number > seen) {
            self.ended(id, end, now);
        }
        self.running(id, report.running, report.requested_at, now);
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(end) = worker.acknowledge()
        {
            self.actions.push(Action::Acknowledge {
                worker: id.clone(),
                end,
            });
        }
    }

    /// Gives up all runs on a worker whose machine ended them.
    pub(super) fn forget_runs(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs: Vec<(TaskId, Run)> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        for (task, run) in runs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(&task);
            }
            self.lost(id, &task, run, now);
        }
    }

    fn ended(&mut self, id: &WorkerId, ended: FinishedRun, now: Time) {
        let FinishedRun {
            number, task, run, ..
        } = &ended;
        let mut elapsed = None;
        let mut lasting = false;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.seen = worker.seen.max(*number);
            self.stale.insert(worker.entry.pool.clone());
            if worker.runs.get(task).is_some_and(|it| it.run == *run)
                && let Some(state) = worker.remove(task)
            {
                lasting = state.long_running;
                if let Stage::Confirmed(since) = state.stage {
                    elapsed = Some(now.saturating_sub(since));
                }
            }
        }
        // Lasting tasks may fail at any time, on any worker.
        match ended.end {
            End::Done => self.judge(id, false, now),
            End::Failed if !lasting => self.judge(id, true, now),
            End::Failed | End::Interrupted => {}
        }
        if ended.end == End::Failed {
            self.note(format!("jobs: {task} run {run} failed on worker {id}"));
        }
        let version = self.settle(id, &ended, elapsed, now);
        if let (Some(version), Some(worker)) = (version, self.workers.get_mut(id)) {
            worker.add_end(*number, task.job.clone(), version);
            let workers = self.unstored.entry(task.job.clone()).or_default();
            workers.insert(id.clone());
        }
    }

    /// Applies an end to its task; returns the version of the job that holds it.
    fn settle(
        &mut self,
        id: &WorkerId,
        ended: &FinishedRun,
        elapsed: Option<Duration>,
        now: Time,
    ) -> Option<u64> {
        let task = &ended.task;
        let job = self.jobs.get_mut(&task.job)?;
        let step = job.step(task.step)?.clone();
        let queue = job.row.queue.clone();
        let attempts = job.attempts;
        let state = job.task_mut(task)?;
        if state.done() {
            return None;
        }
        let current = state.run == ended.run && state.worker() == Some(id);
        let elsewhere = state.worker().filter(|_| !current).cloned();
        if !ended.checkpoint.is_empty() && current {
            state.saved = ended.checkpoint.clone();
        }
        match ended.end {
            End::Done if !step.long_running => {
                state.status = Status::Done;
                state.saved = CompactString::default();
                if let Some(elapsed) = elapsed {
                    self.demand.learn(&queue, &step, elapsed);
                }
                if let Some(other) = elsewhere {
                    self.stop(&other, task);
                }
                return Some(self.task_done(task, now));
            }
            // A successor sees an end again whose acknowledgement was lost.
            End::Failed if !step.long_running && ended.run > state.judged => {
                state.judged = ended.run;
                state.fails += 1;
                if state.fails >= attempts {
                    self.note(format!("jobs: {task} failed {attempts} times"));
                    return Some(self.finish(&task.job, Phase::Failed, now));
                }
            }
            End::Done | End::Failed | End::Interrupted => {}
        }
        if current {
            state.status = Status::Waiting;
            state.queued = false;
            if ended.end == End::Failed {
                state.shun = Some(id.clone());
                state.retry = now + FAILED_PAUSE;
            }
        }
        let version = self.touch(&task.job);
        self.enqueue(&task.job, now);
        Some(version)
    }

    /// Counts a task that is done; ends the job or opens its next steps.
    fn task_done(&mut self, task: &TaskId, now: Time) -> u64 {
        let mut members = Vec::new();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let gang = job.step(task.step).is_some_and(|step| step.gang);
            let entry = job.occurrences.get_mut(&task.occurrence);
            if let Some(tasks) = entry.and_then(|it| it.steps.get_mut(task.step as usize)) {
                if gang {
                    for member in &mut tasks.tasks {
                        if let Some(worker) = member.worker() {
                            members.push(worker.clone());
                        }
                        member.status = Status::Done;
                    }
                }
                tasks.done = tasks.tasks.iter().filter(|it| it.done()).count();
            }
        }
        if let Some(version) = self.complete(&task.job, now) {
            return version;
        }
        let version = self.touch(&task.job);
        self.enqueue(&task.job, now);
        version
    }

    /// Compares the listed runs with those that may exist.
    fn running(&mut self, id: &WorkerId, running: Vec<ActiveRun>, asked: Time, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut unknown = Vec::new();
        let mut listed = BTreeMap::new();
        let mut saved = Vec::new();
        for entry in running {
            listed.insert(entry.task.clone(), entry.run);
            match worker.runs.get_mut(&entry.task) {
                Some(state) if state.run == entry.run => {
                    if state.stage == Stage::Starting {
                        state.stage = Stage::Confirmed(now);
                    }
                    if entry.percent > state.percent || (state.long_running && entry.percent >= 100)
                    {
                        state.progress = now;
                    }
                    state.percent = entry.percent;
                    state.measurement = entry.measurement;
                    if !entry.checkpoint.is_empty() {
                        saved.push((entry.task, entry.run, entry.checkpoint));
                    }
                }
                _ => unknown.push((entry.task, entry.run)),
            }
        }
        let mut lost = Vec::new();
        for (task, state) in &worker.runs {
            if listed.get(task) == Some(&state.run) {
                continue;
            }
            let certain = match state.stage {
                Stage::Reserved => false,
                // Recorded by a predecessor, whose starts are fenced by this list.
                Stage::Starting => state.since <= asked && state.since == self.started,
                Stage::Confirmed(since) => since <= asked,
                Stage::Stopping(_, answered) => answered.is_some_and(|since| since <= asked),
            };
            if certain {
                lost.push((task.clone(), state.run));
            }
        }
        for (task, run) in lost {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(&task);
            }
            self.note(format!("jobs: {task} run {run} is not on worker {id}"));
            self.lost(id, &task, run, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unknown = !unknown.is_empty();
        }
        for (task, run) in unknown {
            self.actions.push(Action::Stop {
                worker: id.clone(),
                task,
                run,
            });
        }
        for (task, run, checkpoint) in saved {
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&task))
                && state.run == run
            {
                state.saved = checkpoint;
            }
        }
    }

    /// Stops runs that stand still, so that they start elsewhere.
    pub(super) fn stalled(&mut self, now: Time) {
        let mut stalled = Vec::new();
        for (id, worker) in &self.workers {
            if now.saturating_sub(worker.heard) > Duration::from_millis(700) {
                continue;
            }
            for (task, run) in &worker.runs {
                let Stage::Confirmed(_) = run.stage else {
                    continue;
                };
                let limit = match run.long_running {
                    true => LASTING_STALL,
                    false => STALL,
                };
                let still = now.saturating_sub(run.progress) > limit;
                if still && run.pace == 100 && !run.best_effort {
                    stalled.push((id.clone(), task.clone()));
                }
            }
        }
        for (worker, task) in stalled {
            self.note(format!("jobs: {task} stands still on worker {worker}"));
            self.distrust(&worker, now);
            if let Some(job) = self.jobs.get_mut(&task.job)
                && let Some(state) = job.task_mut(&task)
            {
                state.shun = Some(worker.clone());
            }
            self.stop(&worker, &task);
        }
    }
}
