//! Jobs that pass to another partition, as no worker of this one can run them.
//!
//! A pool may have no worker in a partition: it has fewer racks than there are partitions, its
//! machines were lost or drained, or a configuration gave the queue another pool. The same holds for
//! workers with a label or with room for a large task.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::JobRow;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::ready::Rank;
use crate::batch::ready::ReadyQueue;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::partition::Partition;

/// Time for which a job waits for a worker that can run it; a machine that moves to the pool registers
/// within about this time.
const TRANSFER_DELAY: Duration = Duration::from_secs(2);

/// Most steps with ready tasks of a pool that one search looks at.
const MAX_SEARCHED: usize = 128;

/// Most jobs that one search returns.
const MAX_UNSCHEDULABLE: usize = 32;

/// Most tasks that were started of a job that is transferred. Their progress is part of the job's row,
/// and the store limits its length.
const MAX_STARTED_TASKS: usize = 2_000;

impl Step {
    /// Returns whether workers can run the step if they have no other runs: all of its tasks at once
    /// if it is a gang, else one of them.
    fn can_run_on<'a>(&self, workers: impl IntoIterator<Item = &'a WorkerEntry>) -> bool {
        let needed = match self.gang {
            true => u64::from(self.count),
            false => 1,
        };
        let mut places = 0_u64;
        workers.into_iter().any(|worker| {
            places = places.saturating_add(self.places_on(worker));
            places >= needed
        })
    }

    /// Returns how many tasks of the step fit on a worker that has no other runs.
    fn places_on(&self, worker: &WorkerEntry) -> u64 {
        if !self.requires.is_empty() && !worker.labels.contains(&self.requires) {
            return 0;
        }
        let size = self.size();
        let capacity = worker.capacity;
        let resources = [
            (size.millicores, capacity.millicores),
            (size.memory_mb, capacity.memory_mb),
            (size.accelerators, capacity.accelerators),
        ];
        let fitting = resources.map(|(size, capacity)| capacity.checked_div(size));
        let fitting = fitting.into_iter().flatten().min().unwrap_or(u64::MAX);
        match self.max_per_worker {
            0 => fitting,
            limit => fitting.min(u64::from(limit)),
        }
    }
}

impl Batch {
    /// Returns jobs that have nothing running and wait in vain: for some time no worker of the
    /// partition could run their ready tasks.
    ///
    /// A call looks at a part of the ready tasks, and the next one goes on from there.
    pub fn unschedulable_jobs(&mut self, now: Time) -> Vec<JobId> {
        self.transferred_jobs.retain(|_, (_, until)| *until > now);
        if self.ready.values().all(ReadyQueue::is_empty) {
            return Vec::new();
        }
        let mut pools: BTreeMap<&PoolId, Vec<&WorkerEntry>> = BTreeMap::new();
        let usable = self.workers.values().filter(|it| {
            let gone = it.replaced || it.deregistered(now);
            !gone && !it.entry.draining
        });
        for worker in usable {
            let pool = pools.entry(&worker.entry.pool).or_default();
            pool.push(&worker.entry);
        }
        let mut unschedulable = Vec::new();
        let mut lines = Vec::new();
        for (pool, ready) in &self.ready {
            let workers = pools.get(pool).map(Vec::as_slice).unwrap_or_default();
            let mut at = self.searched.remove(pool);
            for _ in 0..MAX_SEARCHED {
                let Some(rank) = ready.next(at.as_ref()) else {
                    at = None;
                    break;
                };
                let task = &rank.task;
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && let Some(step) = job.step(task.step)
                {
                    match step.can_run_on(workers.iter().copied()) {
                        true => job.unschedulable_since = None,
                        false => {
                            let since = *job.unschedulable_since.get_or_insert(now);
                            let waited = now.saturating_sub(since) >= TRANSFER_DELAY;
                            if waited && !unschedulable.contains(&task.job) {
                                unschedulable.push(task.job.clone());
                            }
                            if waited && !std::mem::replace(&mut job.wait_logged, true) {
                                lines.push(format!(
                                    "jobs: no worker of pool {pool} here can run {task}, which waits"
                                ));
                            }
                        }
                    }
                }
                at = Some(rank.clone().last_of_step());
                if unschedulable.len() >= MAX_UNSCHEDULABLE {
                    break;
                }
            }
            self.searched
                .extend(at.map(|rank: Rank| (pool.clone(), rank)));
        }
        self.actions.extend(lines.into_iter().map(Action::Log));
        unschedulable.retain(|job| !self.has_runs(job) && self.is_movable(job));
        unschedulable
    }

    /// Returns whether a run of a job may exist on a worker.
    fn has_runs(&self, job: &JobId) -> bool {
        let first = TaskId {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        self.workers.values().any(|worker| {
            let next = worker.runs.range(&first..).next();
            next.is_some_and(|(task, _)| task.job == *job)
        })
    }

    fn is_movable(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            let started = job.tasks().filter(|(_, task)| !task.is_new());
            started.take(MAX_STARTED_TASKS + 1).count() <= MAX_STARTED_TASKS
        })
    }

    /// Returns whether workers can run each step of a job that is not complete.
    pub fn can_run(&self, job: &str, workers: &[&WorkerEntry]) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            let pool = workers.iter().copied().filter(|it| it.pool == job.pool);
            let mut steps = job.open_steps();
            steps.all(|step| step.can_run_on(pool.clone()))
        })
    }

    /// Returns the pool of an open job.
    pub fn pool_of(&self, job: &str) -> Option<&PoolId> {
        self.jobs.get(job).map(|job| &job.pool)
    }

    /// Returns whether a pool has a worker in the partition that does not drain.
    pub fn has_pool(&self, pool: &str, now: Time) -> bool {
        let usable = self.workers.values().filter(|it| !it.replaced);
        let mut usable = usable.filter(|it| it.entry.pool == pool && !it.entry.draining);
        usable.any(|it| !it.deregistered(now))
    }

    /// Passes a job of which nothing runs to another partition.
    ///
    /// The other one has it once the store holds the write, which also removes it from this one.
    pub fn transfer(&mut self, id: &JobId, to: Partition, now: Time) {
        let version = self.bump_version(id);
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let count = job.row.transfer.as_ref().map_or(0, |it| it.count) + 1;
        let until = now + self.bounds.retention;
        self.transferred_jobs.insert(id.clone(), (count, until));
        self.unstored_jobs.insert(id.clone(), version);
        self.final_writes.push_back(job.into_transfer(to, count));
    }

    /// Returns whether a job left for another partition after its row was written, so that a list of
    /// accepted jobs that is read late still has it.
    pub(super) fn was_transferred(&self, row: &JobRow) -> bool {
        let count = row.transfer.as_ref().map_or(0, |it| it.count);
        let left = self.transferred_jobs.get(&row.id);
        left.is_some_and(|(left, _)| count < *left)
    }
}
