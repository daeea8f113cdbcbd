//! Workers in memory: what may run on each and what it reported.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::Reply;
use crate::batch::Run;
use crate::batch::Size;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::task::Status;
use crate::id::JobId;
use crate::id::Time;

/// Time beyond a lease for which a run on a silent worker counts as alive.
pub(super) const LAPSE_SLACK: Duration = Duration::from_millis(200);

/// Time without a report after which a worker gets no new work.
const SILENCE: Duration = Duration::from_millis(900);

/// Time after the store's return in which entries that lapsed meanwhile come back.
const RETURN: Duration = Duration::from_millis(2_500);

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

/// Time for which a worker that fails what it starts gets no work.
const QUARANTINE: Duration = Duration::from_secs(5);

/// Failed ends in a row after which a worker is quarantined.
const FAIL_STREAK: u32 = 2;

/// Returns the time after which a lease that begins now has ended for certain.
pub(super) fn longest_lease() -> Duration {
    super::LEASE.mul_f64(1.0 + super::CLOCK_SLACK) + LAPSE_SLACK
}

/// State of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Room is reserved; the record is not stored yet.
    Reserved,
    /// A start was sent, or is recorded by a predecessor.
    Starting,
    /// The worker confirmed the start at this time.
    Confirmed(Time),
    /// A stop was sent, and answered if the second time is set.
    Stopping(Time, Option<Time>),
}

/// Run that may exist on a worker.
#[derive(Clone, Debug)]
pub(super) struct RunState {
    pub(super) run: Run,
    pub(super) size: Size,
    pub(super) stage: Stage,
    pub(super) since: Time,
    pub(super) percent: u32,
    /// When the percentage last rose.
    pub(super) progress: Time,
    pub(super) lasting: bool,
    pub(super) fills: bool,
    pub(super) goal_ms: u64,
    /// Reported tail in milliseconds, of a task that serves.
    pub(super) figure: f64,
    /// Share at which it was told to work, in percent.
    pub(super) pace: u32,
}

/// Worker as the scheduler knows it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) runs: BTreeMap<TaskId, RunState>,
    pub(super) used: Size,
    /// Whether it listed its runs under this fence.
    pub(super) listed: bool,
    /// Whether the registry no longer has it.
    pub(super) absent: bool,
    pub(super) absent_since: Time,
    /// Whether its machine has another life.
    pub(super) gone: bool,
    pub(super) born: u64,
    pub(super) joined: Time,
    pub(super) heard: Time,
    /// When its last lease has certainly ended.
    pub(super) lapse: Time,
    /// Time before which it gets no new work.
    pub(super) pause: Time,
    /// Whether it is kept free for an order to its machine.
    pub(super) held: bool,
    /// When the order last asked for it.
    pub(super) held_at: Time,
    pub(super) streak: u32,
    /// When the pace of a filling task last changed.
    pub(super) paced: Time,
    /// When an order to its machine was last accepted.
    pub(super) ordered: Option<Time>,
    /// Whether its last list had runs that no record knows; they take room until they are gone.
    pub(super) unknown: bool,
    /// Highest end seen.
    pub(super) seen: u64,
    /// Ends whose result is not stored yet.
    ends: BTreeMap<u64, (JobId, u64)>,
    acknowledged: u64,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry, joined: Time, lapse: Time) -> Self {
        Self {
            born: entry.born,
            entry,
            runs: BTreeMap::new(),
            used: Size::default(),
            listed: false,
            absent: false,
            absent_since: Time::ZERO,
            gone: false,
            joined,
            heard: Time::ZERO,
            lapse,
            pause: Time::ZERO,
            held: false,
            held_at: Time::ZERO,
            streak: 0,
            paced: Time::ZERO,
            ordered: None,
            unknown: false,
            seen: 0,
            ends: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    pub(super) fn update(&mut self, entry: WorkerEntry) {
        self.absent = false;
        self.entry = entry;
    }

    /// Forgets what the last incarnation said.
    pub(super) fn reset(&mut self, born: u64) {
        self.born = born;
        self.seen = 0;
        self.ends.clear();
        self.acknowledged = 0;
        self.streak = 0;
        self.pause = Time::ZERO;
    }

    pub(super) fn insert(&mut self, task: TaskId, run: RunState) {
        self.used = self.used.plus(run.size);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(old.size);
        }
    }

    pub(super) fn remove(&mut self, task: &TaskId) -> Option<RunState> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(run.size);
        Some(run)
    }

    pub(super) fn free(&self) -> Size {
        self.entry.capacity.minus(self.used)
    }

    /// Returns whether it may get new work.
    pub(super) fn usable(&self, now: Time) -> bool {
        self.listed
            && !self.gone
            && !self.missing(now)
            && !self.entry.draining
            && !self.held
            && !self.unknown
            && now.saturating_sub(self.heard) < SILENCE
    }

    /// Returns whether it refused or failed work lately.
    pub(super) fn paused(&self, now: Time) -> bool {
        now < self.pause
    }

    /// Returns whether the registry has not had it for longer than an outage explains.
    pub(super) fn missing(&self, now: Time) -> bool {
        self.absent && now.saturating_sub(self.absent_since) > RETURN
    }

    pub(super) fn anchored(&self) -> bool {
        self.runs.values().any(|run| run.lasting)
    }

    /// Adds an end whose result a row of this version will hold.
    pub(super) fn add_end(&mut self, number: u64, job: JobId, version: u64) {
        self.ends.insert(number, (job, version));
    }

    /// Drops the ends of a job that a stored row of a version holds; returns whether others
    /// of that job are left.
    pub(super) fn store_ends(&mut self, job: &JobId, version: u64) -> bool {
        let mut left = false;
        self.ends.retain(|_, (name, needed)| {
            let later = *needed > version;
            left |= name == job && later;
            name != job || later
        });
        left
    }

    /// Returns the number up to which ends can be acknowledged, if it rose.
    pub(super) fn acknowledge(&mut self) -> Option<u64> {
        let end = match self.ends.first_key_value() {
            Some((first, _)) => first - 1,
            None => self.seen,
        };
        let rose = end > self.acknowledged;
        self.acknowledged = self.acknowledged.max(end);
        rose.then_some(end)
    }
}

impl Batch {
    /// Enters the runs that a predecessor recorded for a job.
    pub(super) fn adopt_runs(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let lease = super::LEASE.mul_f64(1.0 + super::CLOCK_SLACK) + super::CONTACT;
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
        (run, reply): (Run, Reply),
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
            Reply::Started => {
                if state.stage == Stage::Starting {
                    state.stage = Stage::Confirmed(now);
                    state.progress = now;
                }
                return;
            }
            Reply::Unknown => {
                // A start without an answer may still happen; only a stop of the run excludes it.
                if state.stage == Stage::Starting {
                    self.stop(worker, task);
                }
                return;
            }
            Reply::NoRoom | Reply::Refused => entry.pause = now + REFUSED_PAUSE,
            Reply::Unhealthy => entry.pause = now + UNHEALTHY_PAUSE,
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

    /// Notes how a run on a worker ended.
    pub(super) fn judge(&mut self, worker: &WorkerId, failed: bool, now: Time) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !failed {
            entry.streak = 0;
            return;
        }
        entry.streak += 1;
        if entry.streak >= FAIL_STREAK {
            entry.pause = now + QUARANTINE;
            entry.streak = FAIL_STREAK - 1;
            self.note(format!(
                "jobs: worker {worker} is quarantined after failed runs"
            ));
        }
    }

    /// Quarantines a worker on which a run stood still.
    pub(super) fn distrust(&mut self, worker: &WorkerId, now: Time) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.pause = now + QUARANTINE;
        }
    }
}

impl RunState {
    pub(super) fn new(run: Run, step: &super::Step, stage: Stage, now: Time) -> Self {
        Self {
            run,
            size: step.size(),
            stage,
            since: now,
            percent: 0,
            progress: now,
            lasting: step.lasting,
            fills: step.fills,
            goal_ms: step.goal_ms,
            figure: 0.0,
            pace: 100,
        }
    }
}
