//! Accepted jobs in memory: occurrences, steps and what is ready to start.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::JobRow;
use crate::batch::Phase;
use crate::batch::ProgressRow;
use crate::batch::Queue;
use crate::batch::StateRow;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::TaskRow;
use crate::batch::Write;
use crate::batch::task::Status;
use crate::batch::task::Task;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;

/// Attempts of a queue that no configuration describes any more.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Time in milliseconds by which a job has to be early to count as one that is in time;
/// covers the way of its results to the caller.
const MARGIN_MS: i64 = 150;

/// Position of a task in the order of starts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Whether the job cannot be in time any more.
    pub(super) late: bool,
    pub(super) priority: u32,
    pub(super) deadline_ms: i64,
    pub(super) task: TaskId,
}

/// Accepted job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) row: JobRow,
    pub(super) pool: PoolId,
    pub(super) priority: u32,
    pub(super) attempts: u32,
    pub(super) stretch: f64,
    pub(super) objective: Duration,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    pub(super) phase: Phase,
    /// State that the store holds or will hold once the writes that were taken are done.
    stored: Phase,
    /// Whether a progress was written, or is about to be.
    recorded: bool,
    pub(super) version: u64,
    /// Whether it waits for a row to be taken.
    pub(super) dirty: bool,
}

/// One occurrence of a job.
#[derive(Debug)]
pub(super) struct Occurrence {
    pub(super) due_ms: i64,
    pub(super) late: bool,
    pub(super) steps: Vec<Tasks>,
}

/// Tasks of a step.
#[derive(Debug)]
pub(super) struct Tasks {
    pub(super) tasks: Vec<Task>,
    pub(super) done: usize,
}

impl Tasks {
    fn complete(&self) -> bool {
        self.done == self.tasks.len()
    }
}

impl Job {
    fn new(row: JobRow, queue: Option<&Queue>) -> Self {
        let mut job = Self {
            pool: row.pool.clone(),
            row,
            priority: 0,
            attempts: DEFAULT_ATTEMPTS,
            stretch: 1.0,
            objective: Duration::ZERO,
            occurrences: BTreeMap::new(),
            phase: Phase::Pending,
            stored: Phase::Pending,
            recorded: false,
            version: 0,
            dirty: false,
        };
        if let Some(queue) = queue {
            job.follow(queue);
        }
        for number in 0..job.count() {
            let due_ms = job.due_ms(number);
            job.occurrences
                .insert(number, Occurrence::new(&job.row.job.steps, due_ms));
        }
        job
    }

    /// Takes over what the queue says; returns whether that changes the order of starts.
    fn follow(&mut self, queue: &Queue) -> bool {
        let before = (
            std::mem::replace(&mut self.pool, queue.pool.clone()),
            std::mem::replace(&mut self.priority, queue.priority),
            std::mem::replace(&mut self.stretch, queue.stretch_factor),
            std::mem::replace(&mut self.objective, queue.objective),
        );
        self.attempts = queue.max_attempts.max(1);
        before
            != (
                self.pool.clone(),
                self.priority,
                self.stretch,
                self.objective,
            )
    }

    /// Returns the number of occurrences.
    fn count(&self) -> u32 {
        self.row.job.repeat.max(1)
    }

    fn due_ms(&self, occurrence: u32) -> i64 {
        match self.row.job.repeat {
            0 => self.row.accepted_ms,
            _ => self.row.job.start_ms + i64::from(occurrence) * self.row.job.interval_ms,
        }
    }

    pub(super) fn step(&self, step: u32) -> Option<&Step> {
        self.row.job.steps.get(step as usize)
    }

    pub(super) fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        let step = occurrence.steps.get(id.step as usize)?;
        step.tasks.get(id.index as usize)
    }

    pub(super) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(&id.occurrence)?;
        let step = occurrence.steps.get_mut(id.step as usize)?;
        step.tasks.get_mut(id.index as usize)
    }

    fn complete(&self) -> bool {
        let done = |occurrence: &Occurrence| occurrence.steps.iter().all(Tasks::complete);
        self.occurrences.values().all(done)
    }

    /// Returns the names of all tasks with their states.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.occurrences.iter().flat_map(move |(number, entry)| {
            entry.steps.iter().enumerate().flat_map(move |(step, it)| {
                it.tasks.iter().enumerate().map(move |(index, task)| {
                    let id = TaskId {
                        job: self.row.id.clone(),
                        occurrence: *number,
                        step: step as u32,
                        index: index as u32,
                    };
                    (id, task)
                })
            })
        })
    }

    /// Returns the rows that the store is to hold.
    pub(super) fn take_write(&mut self) -> Write {
        self.dirty = false;
        self.recorded = true;
        let before = std::mem::replace(&mut self.stored, self.phase);
        Write {
            job: self.row.id.clone(),
            version: self.version,
            state: (before != self.phase).then(|| self.state(None)),
            progress: Some(self.progress()),
            progress_stored: true,
        }
    }

    fn state(&self, ended_ms: Option<i64>) -> StateRow {
        StateRow {
            phase: self.phase,
            queue: self.row.queue.clone(),
            ended_ms,
        }
    }

    fn progress(&self) -> ProgressRow {
        let tasks = self.tasks().filter(|(_, task)| !task.fresh());
        let tasks = tasks.map(|(id, task)| {
            TaskRow(
                id.occurrence,
                id.step,
                id.index,
                task.run,
                task.fails,
                task.done(),
                task.worker().cloned().unwrap_or_default(),
                task.saved.clone(),
                task.judged,
            )
        });
        ProgressRow {
            phase: self.phase,
            tasks: tasks.collect(),
        }
    }

    fn apply(&mut self, progress: ProgressRow) {
        self.phase = progress.phase;
        self.stored = progress.phase;
        self.recorded = true;
        for row in progress.tasks {
            let TaskRow(occurrence, step, index, run, fails, done, worker, saved, judged) = row;
            let Some(entry) = self.occurrences.get_mut(&occurrence) else {
                continue;
            };
            let Some(tasks) = entry.steps.get_mut(step as usize) else {
                continue;
            };
            let Some(task) = tasks.tasks.get_mut(index as usize) else {
                continue;
            };
            task.run = run;
            task.fails = fails;
            task.judged = judged;
            task.saved = saved;
            if done {
                task.status = Status::Done;
                tasks.done += 1;
            } else if !worker.is_empty() {
                task.status = Status::Placed { worker };
            }
        }
    }
}

impl Occurrence {
    fn new(steps: &[Step], due_ms: i64) -> Self {
        let steps = steps.iter().map(|step| Tasks {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
        });
        Self {
            due_ms,
            late: false,
            steps: steps.collect(),
        }
    }

    /// Returns whether the steps before a step are done.
    fn open(&self, step: &Step) -> bool {
        let complete = |number: &usize| self.steps.get(*number).is_none_or(Tasks::complete);
        step.after.iter().all(complete)
    }
}

impl Batch {
    pub(super) fn accept(&mut self, row: JobRow, progress: Option<ProgressRow>, now: Time) {
        let id = row.id.clone();
        if self.jobs.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        let age = self.wall_ms(now).saturating_sub(row.accepted_ms);
        let age = Duration::from_millis(u64::try_from(age).unwrap_or(0));
        self.demand.arrived(&row, now.saturating_sub(age), now);
        let queue = self.catalog.queue(&row.queue).cloned();
        let mut job = Job::new(row, queue.as_ref());
        if let Some(progress) = progress {
            job.apply(progress);
        }
        self.jobs.insert(id.clone(), job);
        self.adopt_runs(&id, now);
        self.enqueue(&id, now);
        self.complete(&id, now);
    }

    /// Follows the job's queue to the pool that the configuration names.
    pub(super) fn retarget(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(queue) = self.catalog.queue(&job.row.queue) else {
            return;
        };
        if job.follow(queue) {
            self.requeue(id, now);
        }
    }

    /// Takes a job's tasks out of the list of ready ones and adds them anew.
    fn requeue(&mut self, id: &JobId, now: Time) {
        for ready in self.ready.values_mut() {
            ready.retain(|rank| rank.task.job != *id);
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for occurrence in job.occurrences.values_mut() {
            for tasks in &mut occurrence.steps {
                for task in &mut tasks.tasks {
                    task.queued = false;
                }
            }
        }
        self.enqueue(id, now);
    }

    /// Adds the tasks of a job whose turn has come to the list of ready ones.
    pub(super) fn enqueue(&mut self, id: &JobId, now: Time) {
        let wall = self.wall_ms(now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let ready = self.ready.entry(job.pool.clone()).or_default();
        for (number, occurrence) in &mut job.occurrences {
            if occurrence.due_ms > wall && job.row.job.repeat > 0 {
                continue;
            }
            let deadline_ms =
                occurrence.due_ms + self.demand.objective(&job.row, job.stretch, job.objective);
            for (index, step) in job.row.job.steps.iter().enumerate() {
                if !occurrence.open(step) {
                    continue;
                }
                let gang_waits =
                    step.gang && !occurrence.steps[index].tasks.iter().all(Task::waiting);
                if gang_waits {
                    continue;
                }
                for (task_index, task) in occurrence.steps[index].tasks.iter_mut().enumerate() {
                    if !task.waiting() || task.queued || (step.gang && task_index > 0) {
                        continue;
                    }
                    task.queued = true;
                    ready.insert(Rank {
                        late: occurrence.late && !step.long_running,
                        priority: job.priority,
                        // A lasting task loses by each moment that it is away.
                        deadline_ms: match step.long_running {
                            true => i64::MIN,
                            false => deadline_ms,
                        },
                        task: TaskId {
                            job: id.clone(),
                            occurrence: *number,
                            step: index as u32,
                            index: task_index as u32,
                        },
                    });
                }
            }
        }
        self.stale.insert(job.pool.clone());
    }

    /// Adds occurrences that became due.
    pub(super) fn due(&mut self, now: Time) {
        let repeated = |job: &&Job| job.row.job.repeat > 0;
        let ids = self.jobs.values().filter(repeated);
        let ids: Vec<JobId> = ids.map(|job| job.row.id.clone()).collect();
        for id in ids {
            self.enqueue(&id, now);
        }
    }

    /// Puts occurrences that cannot be in time any more behind the others.
    pub(super) fn rerank(&mut self, now: Time) {
        let wall = self.wall_ms(now);
        let mut moved = Vec::new();
        for (id, job) in &mut self.jobs {
            let allowed = self.demand.objective(&job.row, job.stretch, job.objective);
            for occurrence in job.occurrences.values_mut() {
                let rest = self.demand.rest(&job.row, occurrence);
                let late = wall + rest + MARGIN_MS > occurrence.due_ms + allowed;
                if late && !occurrence.late {
                    occurrence.late = true;
                    moved.push(id.clone());
                }
            }
        }
        moved.dedup();
        for id in moved {
            self.requeue(&id, now);
        }
    }

    /// Ends a job whose tasks are all done.
    pub(super) fn complete(&mut self, id: &JobId, now: Time) -> Option<u64> {
        let job = self.jobs.get(id)?;
        match job.complete() && !job.row.job.steps.iter().any(|step| step.long_running) {
            true => Some(self.finish(id, Phase::Completed, now)),
            false => None,
        }
    }

    pub(super) fn cancel(&mut self, id: &JobId, now: Time) {
        if self.jobs.contains_key(id) {
            self.finish(id, Phase::Canceled, now);
        }
    }

    /// Ends a job: stops its runs and leaves its last row to be written.
    pub(super) fn finish(&mut self, id: &JobId, phase: Phase, now: Time) -> u64 {
        let version = self.touch(id);
        let Some(mut job) = self.jobs.remove(id) else {
            return version;
        };
        job.phase = phase;
        for ready in self.ready.values_mut() {
            ready.retain(|rank| rank.task.job != *id);
        }
        self.reservations.retain(|task, _| task.job != *id);
        let age = self.wall_ms(now) - job.row.accepted_ms;
        self.note(format!(
            "jobs: job {id} ended as {phase:?}, {age} ms after it was accepted"
        ));
        for (task, state) in job.tasks() {
            if let Some(worker) = state.worker() {
                self.stop(&worker.clone(), &task);
            }
        }
        self.finals.push_back(Write {
            job: id.clone(),
            version,
            state: Some(job.state(Some(self.wall_ms(now)))),
            progress: None,
            progress_stored: job.recorded,
        });
        self.ended.insert(id.clone(), now + self.bounds.retention);
        version
    }

    /// Returns the Unix time in milliseconds.
    pub(super) fn wall_ms(&self, now: Time) -> i64 {
        self.epoch_ms + now.as_millis() as i64
    }
}
