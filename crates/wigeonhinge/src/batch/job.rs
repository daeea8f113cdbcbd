//! In-memory state of accepted jobs, and the queue of ready tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::JobRow;
use crate::batch::Phase;
use crate::batch::ProgressRow;
use crate::batch::Queue;
use crate::batch::StateRow;
use crate::batch::Step;
use crate::batch::StoredProgress;
use crate::batch::TaskId;
use crate::batch::TaskRow;
use crate::batch::TransferRow;
use crate::batch::Write;
use crate::batch::ready::Rank;
use crate::batch::ready::Urgency;
use crate::batch::task::Status;
use crate::batch::task::Task;
use crate::batch::worker::StopReason;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::partition::Partition;

/// Maximum attempts for jobs of a queue that the configuration no longer contains.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Time before the objective at which a job must be expected to end to count as on time, in
/// milliseconds; covers the delivery of its result to the caller.
const RESULT_DELIVERY_MS: i64 = 150;

/// Longest time between two checks whether a job can still meet its objective, in milliseconds;
/// expected run times change while the job waits.
const MAX_LATE_CHECK_MS: i64 = 1_000;

/// Shortest time between two such checks, in milliseconds.
const MIN_LATE_CHECK_MS: i64 = 100;

/// Accepted job that has not ended.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) row: JobRow,
    pub(super) pool: PoolId,
    pub(super) priority: u32,
    pub(super) max_attempts: u32,
    pub(super) stretch_factor: f64,
    pub(super) objective: Duration,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    pub(super) phase: Phase,
    /// Whether a run of one of the tasks is known to have existed on a worker.
    pub(super) begun: bool,
    /// Phase that the store holds once all taken writes are done.
    stored_phase: Phase,
    /// Whether a progress row was taken for writing.
    progress_stored: bool,
    pub(super) version: u64,
    /// Version of the newest row that the store holds.
    pub(super) stored_version: u64,
    /// Whether the job is in `Batch::changed_jobs`.
    pub(super) write_queued: bool,
    /// Whether it was logged that the job waits for the cap of its workspace.
    pub(super) cap_logged: bool,
    /// Since when no worker of the partition can run its ready tasks; see `transfer`.
    pub(super) unschedulable_since: Option<Time>,
    /// Whether it was logged that no worker can run its ready tasks.
    pub(super) wait_logged: bool,
}

/// Execution of all steps of a job; a repeated job has several.
#[derive(Debug)]
pub(super) struct Occurrence {
    pub(super) due_ms: i64,
    pub(super) late: bool,
    pub(super) steps: Vec<StepTasks>,
}

/// Tasks of one step.
#[derive(Debug)]
pub(super) struct StepTasks {
    pub(super) tasks: Vec<Task>,
    pub(super) done: usize,
}

impl StepTasks {
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
            max_attempts: DEFAULT_ATTEMPTS,
            stretch_factor: 1.0,
            objective: Duration::ZERO,
            occurrences: BTreeMap::new(),
            phase: Phase::Pending,
            begun: false,
            stored_phase: Phase::Pending,
            progress_stored: false,
            version: 0,
            stored_version: 0,
            write_queued: false,
            cap_logged: false,
            unschedulable_since: None,
            wait_logged: false,
        };
        if let Some(queue) = queue {
            job.apply_queue(queue);
        }
        for number in 0..job.occurrence_count() {
            let due_ms = job.due_ms(number);
            job.occurrences
                .insert(number, Occurrence::new(&job.row.job.steps, due_ms));
        }
        job
    }

    /// Returns the current version if the store does not hold it.
    pub(super) fn unstored_version(&self) -> Option<u64> {
        (self.version > self.stored_version).then_some(self.version)
    }

    /// Returns whether the settings of a queue change the pool or the ranks of the tasks.
    fn reranks(&self, queue: &Queue) -> bool {
        self.pool != queue.pool
            || self.priority != queue.priority
            || self.stretch_factor != queue.stretch_factor
            || self.objective != queue.objective
    }

    fn apply_queue(&mut self, queue: &Queue) {
        self.pool = queue.pool.clone();
        self.priority = queue.priority;
        self.stretch_factor = queue.stretch_factor;
        self.objective = queue.objective;
        self.max_attempts = queue.max_attempts.max(1);
    }

    fn occurrence_count(&self) -> u32 {
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

    /// Returns the steps that have tasks to be done.
    pub(super) fn open_steps(&self) -> impl Iterator<Item = &Step> {
        let steps = self.row.job.steps.iter().enumerate();
        let open = steps.filter(|(index, _)| {
            let tasks = |occurrence: &Occurrence| occurrence.steps[*index].complete();
            !self.occurrences.values().all(tasks)
        });
        open.map(|(_, step)| step)
    }

    fn complete(&self) -> bool {
        let done = |occurrence: &Occurrence| occurrence.steps.iter().all(StepTasks::complete);
        self.occurrences.values().all(done)
    }

    /// Returns all tasks with their identifiers.
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

    /// Returns the current rows and marks them as written.
    pub(super) fn take_write(&mut self) -> Write {
        self.write_queued = false;
        self.progress_stored = true;
        let before = std::mem::replace(&mut self.stored_phase, self.phase);
        Write {
            job: self.row.id.clone(),
            version: self.version,
            state: (before != self.phase).then(|| self.state(None)),
            progress: Some(self.progress()),
            progress_stored: true,
            transfer: None,
        }
    }

    /// Returns the rows with which the job, of which nothing runs, passes to another partition.
    pub(super) fn into_transfer(mut self, to: Partition, count: u32) -> Write {
        let progress = self.progress();
        self.row.partition = to;
        Write {
            job: self.row.id.clone(),
            version: self.version,
            state: Some(self.state(None)),
            progress: None,
            progress_stored: self.progress_stored,
            transfer: Some(Box::new(JobRow {
                pool: self.pool,
                transfer: Some(TransferRow { count, progress }),
                ..self.row
            })),
        }
    }

    fn state(&self, ended_ms: Option<i64>) -> StateRow {
        StateRow {
            phase: self.phase,
            queue: self.row.queue.clone(),
            partition: self.row.partition,
            ended_ms,
        }
    }

    fn progress(&self) -> ProgressRow {
        let mut rows = Vec::new();
        for (occurrence, entry) in &self.occurrences {
            for (step, tasks) in entry.steps.iter().enumerate() {
                let tasks = tasks.tasks.iter().enumerate();
                let tasks = tasks.filter(|(_, task)| !task.is_new());
                rows.extend(tasks.map(|(index, task)| {
                    TaskRow(
                        *occurrence,
                        step as u32,
                        index as u32,
                        task.run,
                        task.failures,
                        task.done(),
                        task.worker().cloned().unwrap_or_default(),
                        task.checkpoint.clone(),
                        task.last_failed_run,
                        task.suspicion,
                        task.crashes,
                        task.lost_at_start,
                        task.worker().map_or(0, |_| task.incarnation),
                        task.unknown_fates.clone(),
                    )
                }));
            }
        }
        ProgressRow {
            phase: self.phase,
            tasks: rows,
        }
    }

    fn apply_progress(&mut self, progress: ProgressRow) {
        self.phase = progress.phase;
        self.stored_phase = progress.phase;
        self.progress_stored = true;
        for row in progress.tasks {
            let TaskRow(
                occurrence,
                step,
                index,
                run,
                failures,
                done,
                worker,
                checkpoint,
                last_failed_run,
                suspicion,
                crashes,
                lost_at_start,
                incarnation,
                unknown_fates,
            ) = row;
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
            task.failures = failures;
            task.last_failed_run = last_failed_run;
            task.suspicion = suspicion;
            task.crashes = crashes;
            task.lost_at_start = lost_at_start;
            task.incarnation = incarnation;
            task.unknown_fates = unknown_fates;
            task.checkpoint = checkpoint;
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
        let steps = steps.iter().map(|step| StepTasks {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
        });
        Self {
            due_ms,
            late: false,
            steps: steps.collect(),
        }
    }

    /// Returns whether all steps that a step depends on are complete.
    fn dependencies_done(&self, step: &Step) -> bool {
        let complete = |number: &usize| self.steps.get(*number).is_none_or(StepTasks::complete);
        step.after.iter().all(complete)
    }
}

impl Batch {
    pub(super) fn accept(&mut self, mut row: JobRow, progress: Option<StoredProgress>, now: Time) {
        let id = row.id.clone();
        if self.jobs.contains_key(&id)
            || self.ended_jobs.contains_key(&id)
            || self.was_transferred(&row)
        {
            return;
        }
        let brought = row.transfer.as_mut().map(|it| StoredProgress {
            row: std::mem::take(&mut it.progress),
            written_by: now,
        });
        // A row of this partition is newer than what came with the job.
        let progress = progress.or(brought);
        let age = self.wall_ms(now).saturating_sub(row.accepted_ms);
        let age = Duration::from_millis(u64::try_from(age).unwrap_or(0));
        self.demand
            .record_arrival(&row, now.saturating_sub(age), now);
        let queue = self.catalog.queue(&row.queue).cloned();
        let mut job = Job::new(row, queue.as_ref());
        let written_by = progress.map(|progress| {
            job.apply_progress(progress.row);
            progress.written_by
        });
        if job.row.job.repeat > 0 {
            self.repeated_jobs.insert(id.clone());
        }
        self.late_checks.insert((self.wall_ms(now), id.clone()));
        self.jobs.insert(id.clone(), job);
        if let Some(written_by) = written_by {
            self.adopt_runs(&id, written_by, now);
        }
        self.adopt_fates(&id, now);
        self.enqueue(&id, now);
        self.finish_if_complete(&id, now);
    }

    /// Applies the current configuration of the job's queue.
    pub(super) fn update_queue(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(queue) = self.catalog.queue(&job.row.queue).cloned() else {
            return;
        };
        let reranks = job.reranks(&queue);
        if reranks {
            self.dequeue_job(id);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.apply_queue(&queue);
        }
        if reranks {
            self.enqueue(id, now);
        }
    }

    /// Removes a task from the ready queue of its pool.
    pub(super) fn dequeue(&mut self, pool: &PoolId, rank: &Rank) {
        if let Some(ready) = self.ready.get_mut(pool) {
            ready.remove(rank);
        }
        let job = self.jobs.get_mut(&rank.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&rank.task)) {
            task.queued = None;
        }
    }

    /// Removes the tasks of a job from the ready queue of its pool.
    fn dequeue_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(ready) = self.ready.get_mut(&job.pool) else {
            return;
        };
        for (number, occurrence) in &mut job.occurrences {
            for (step, tasks) in occurrence.steps.iter_mut().enumerate() {
                for (index, task) in tasks.tasks.iter_mut().enumerate() {
                    let Some(urgency) = task.queued.take() else {
                        continue;
                    };
                    let task = TaskId {
                        job: id.clone(),
                        occurrence: *number,
                        step: step as u32,
                        index: index as u32,
                    };
                    ready.remove(&Rank { urgency, task });
                }
            }
        }
    }

    /// Adds the tasks of a job that can start to the ready queue of its pool.
    pub(super) fn enqueue(&mut self, id: &JobId, now: Time) {
        let wall_ms = self.wall_ms(now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let ready = self.ready.entry(job.pool.clone()).or_default();
        let mut parked = false;
        for (number, occurrence) in &mut job.occurrences {
            if occurrence.due_ms > wall_ms && job.row.job.repeat > 0 {
                continue;
            }
            // Most calls find no task to add, as they follow the end of one in the middle of a step.
            let mut objective_ms = None;
            for (index, step) in job.row.job.steps.iter().enumerate() {
                if !occurrence.dependencies_done(step) {
                    continue;
                }
                let gang_waits =
                    step.gang && !occurrence.steps[index].tasks.iter().all(Task::waiting);
                if gang_waits {
                    continue;
                }
                for (task_index, task) in occurrence.steps[index].tasks.iter_mut().enumerate() {
                    let queued = task.queued.is_some();
                    if !task.waiting() || queued || (step.gang && task_index > 0) {
                        continue;
                    }
                    let objective_ms = *objective_ms.get_or_insert_with(|| {
                        self.demand
                            .objective_ms(&job.row, job.stretch_factor, job.objective)
                    });
                    let urgency = Urgency {
                        // An isolated task is late because its start was held back.
                        late: occurrence.late && !step.long_running && !task.is_isolated(),
                        priority: job.priority,
                        // Every moment without a long-running task is downtime.
                        deadline_ms: match step.long_running {
                            true => i64::MIN,
                            false => occurrence.due_ms + objective_ms,
                        },
                    };
                    task.queued = Some(urgency);
                    let task = TaskId {
                        job: id.clone(),
                        occurrence: *number,
                        step: index as u32,
                        index: task_index as u32,
                    };
                    parked |= ready.insert(Rank { urgency, task }, step, &job.row.workspace);
                }
            }
        }
        self.dirty_pools.insert(job.pool.clone());
        if parked {
            self.log_capped(id);
        }
    }

    /// Enqueues the tasks of occurrences that are due by now.
    pub(super) fn enqueue_due(&mut self, now: Time) {
        let ids: Vec<JobId> = self.repeated_jobs.iter().cloned().collect();
        for id in ids {
            self.enqueue(&id, now);
        }
    }

    /// Ranks occurrences that can no longer meet their objective after all others.
    ///
    /// A job is checked when it would become late at its last check's expectation.
    pub(super) fn demote_late(&mut self, now: Time) {
        let wall_ms = self.wall_ms(now);
        while self
            .late_checks
            .first()
            .is_some_and(|(time, _)| *time <= wall_ms)
        {
            let Some((_, id)) = self.late_checks.pop_first() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let objective_ms =
                self.demand
                    .objective_ms(&job.row, job.stretch_factor, job.objective);
            let mut demoted = false;
            let mut next_check = None;
            for occurrence in job.occurrences.values_mut().filter(|it| !it.late) {
                let remaining_ms = self.demand.remaining_ms(&job.row, occurrence);
                let late_at = occurrence.due_ms + objective_ms - remaining_ms - RESULT_DELIVERY_MS;
                occurrence.late = wall_ms > late_at;
                demoted |= occurrence.late;
                if !occurrence.late {
                    let check = late_at + 1;
                    next_check = Some(next_check.map_or(check, |it: i64| it.min(check)));
                }
            }
            if let Some(check) = next_check {
                let range = (wall_ms + MIN_LATE_CHECK_MS, wall_ms + MAX_LATE_CHECK_MS);
                self.late_checks
                    .insert((check.clamp(range.0, range.1), id.clone()));
            }
            if demoted {
                self.dequeue_job(&id);
                self.enqueue(&id, now);
            }
        }
    }

    /// Ends a job whose tasks are all done; returns the version of its final row.
    ///
    /// Jobs with long-running tasks end only when they are cancelled.
    pub(super) fn finish_if_complete(&mut self, id: &JobId, now: Time) -> Option<u64> {
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

    /// Removes a job from the open ones, with its tasks that wait.
    pub(super) fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        self.dequeue_job(id);
        let job = self.jobs.remove(id)?;
        self.repeated_jobs.remove(id);
        self.reservations.retain(|task, _| task.job != *id);
        self.backfill.release_job(&job.pool, id);
        Some(job)
    }

    /// Ends a job: stops its runs and queues its final row for writing.
    pub(super) fn finish(&mut self, id: &JobId, phase: Phase, now: Time) -> u64 {
        let version = self.bump_version(id);
        let Some(mut job) = self.remove_job(id) else {
            return version;
        };
        job.phase = phase;
        let age = self.wall_ms(now) - job.row.accepted_ms;
        self.log(format!(
            "jobs: job {id} ended as {phase:?}, {age} ms after it was accepted"
        ));
        for (task, state) in job.tasks() {
            if let Some(worker) = state.worker() {
                self.stop(&worker.clone(), &task, StopReason::Obsolete);
            }
        }
        self.final_writes.push_back(Write {
            job: id.clone(),
            version,
            state: Some(job.state(Some(self.wall_ms(now)))),
            progress: None,
            progress_stored: job.progress_stored,
            transfer: None,
        });
        self.unstored_jobs.insert(id.clone(), version);
        self.keep_ended(id.clone(), now);
        version
    }

    /// Returns the Unix time at `now` in milliseconds.
    pub(super) fn wall_ms(&self, now: Time) -> i64 {
        self.epoch_ms + now.as_millis() as i64
    }
}
