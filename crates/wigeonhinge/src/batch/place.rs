//! Placement of ready tasks on workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::batch::Batch;
use crate::batch::Phase;
use crate::batch::Size;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::job::Rank;
use crate::batch::task::Status;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::PoolId;
use crate::id::Time;

/// Tasks without a suitable worker after which a pass over a pool ends.
const MAX_MISSES: usize = 16;

impl Batch {
    /// Places ready tasks of the pools that changed since the last pass.
    pub(super) fn place_tasks(&mut self, now: Time) {
        while let Some(pool) = self.dirty_pools.pop_first() {
            self.place_pool(&pool, now);
        }
    }

    fn place_pool(&mut self, pool: &PoolId, now: Time) {
        let mut misses = 0;
        let mut placed = Vec::new();
        // Workers that get no other tasks until a long-running task fits on them.
        let mut reserved = BTreeSet::new();
        let Some(ready) = self.ready.get(pool) else {
            return;
        };
        let ranks: Vec<Rank> = ready.iter().take(MAX_MISSES * 16).cloned().collect();
        for rank in ranks {
            if misses >= MAX_MISSES {
                break;
            }
            match self.place_task(&rank.task, &reserved, now) {
                true => placed.push(rank),
                false => {
                    misses += 1;
                    if let Some(worker) = self.worker_to_reserve(&rank.task, &reserved, now) {
                        self.reservations.insert(rank.task.clone(), worker.clone());
                        reserved.insert(worker);
                    }
                }
            }
        }
        if let Some(ready) = self.ready.get_mut(pool) {
            for rank in placed {
                ready.remove(&rank);
                self.reservations.remove(&rank.task);
            }
        }
    }

    /// Reserves capacity for a task, or for its whole gang.
    ///
    /// Returns whether the task can leave the ready queue, which is also so if it no longer waits.
    fn place_task(&mut self, task: &TaskId, reserved: &BTreeSet<WorkerId>, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(step) = job.step(task.step) else {
            return true;
        };
        let step = step.clone();
        let count = match step.gang {
            true => step.count,
            false => 1,
        };
        let mut chosen: Vec<(TaskId, WorkerId)> = Vec::new();
        let mut run = 0;
        for offset in 0..count {
            let member = TaskId {
                index: task.index + offset,
                ..task.clone()
            };
            let state = self.jobs.get(&task.job).and_then(|job| job.task(&member));
            if state.is_some_and(|state| !state.waiting()) {
                // A run that was considered lost has ended in the meantime.
                return true;
            }
            let worker = self.choose_worker(&member, &step, (&chosen, reserved), now);
            let (Some(worker), Some(state)) = (worker, state) else {
                return false;
            };
            run = run.max(state.run + 1);
            chosen.push((member, worker));
        }
        let version = self.bump_version(&task.job);
        for (member, worker) in chosen {
            self.reserve(&member, &worker, (run, version), now);
        }
        true
    }

    fn reserve(&mut self, task: &TaskId, worker: &WorkerId, (run, version): (u32, u64), now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = job.step(task.step).cloned() else {
            return;
        };
        job.phase = Phase::Active;
        if let Some(state) = job.task_mut(task) {
            state.run = run;
            state.queued = false;
            state.status = Status::Recording {
                worker: worker.clone(),
                version,
            };
        }
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.insert(
                task.clone(),
                RunState::new(run, &step, Stage::Reserved, now),
            );
        }
    }

    /// Returns the best worker with capacity for a task, besides the gang members in `chosen`.
    pub(super) fn choose_worker(
        &self,
        task: &TaskId,
        step: &Step,
        (chosen, reserved): (&[(TaskId, WorkerId)], &BTreeSet<WorkerId>),
        now: Time,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        if state.retry_at > now {
            return None;
        }
        let mut taken: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for (_, worker) in chosen {
            *taken.entry(worker).or_default() += 1;
        }
        let fits = |id: &WorkerId, worker: &Worker| {
            let chosen_size = scaled(step.size(), taken.get(id).copied().unwrap_or(0));
            worker.entry.pool == job.pool
                && worker.accepts_work(now)
                && !reserved.contains(id)
                && step.size().fits(worker.free().minus(chosen_size))
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &taken) < step.max_per_worker)
        };
        let rack = chosen
            .first()
            .filter(|_| step.same_rack)
            .and_then(|(_, id)| self.workers.get(id));
        let pool = self.workers.values().filter(|it| it.entry.pool == job.pool);
        // If all workers of the pool are paused, they are used nevertheless.
        let all_paused = pool
            .filter(|it| it.accepts_work(now))
            .all(|it| it.paused(now));
        self.workers
            .iter()
            .filter(|(_, worker)| all_paused || !worker.paused(now))
            .filter(|(id, worker)| fits(id, worker))
            .min_by_key(|(id, worker)| {
                let avoided = state.avoid.as_ref() == Some(*id);
                let no_affinity =
                    !step.affinity.is_empty() && !worker.entry.labels.contains(&step.affinity);
                let other_rack = rack.is_some_and(|it| it.entry.labels != worker.entry.labels);
                (
                    avoided,
                    no_affinity,
                    other_rack,
                    worker.failure_streak,
                    placement_cost(step, worker),
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Returns the worker on which a long-running task that fits nowhere should fit soonest.
    ///
    /// Without a reservation, short tasks would take any capacity that becomes free,
    /// and a larger long-running task would never fit.
    fn worker_to_reserve(
        &self,
        task: &TaskId,
        reserved: &BTreeSet<WorkerId>,
        now: Time,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step).filter(|step| step.long_running)?;
        let none = BTreeMap::new();
        let eligible = |id: &WorkerId, worker: &Worker| {
            worker.entry.pool == job.pool
                && worker.accepts_work(now)
                && !worker.paused(now)
                && !reserved.contains(id)
                && step.size().fits(worker.entry.capacity)
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &none) < step.max_per_worker)
        };
        // Keeps an earlier reservation, as another worker would have to be drained from the start.
        if let Some(id) = self.reservations.get(task)
            && self
                .workers
                .get(id)
                .is_some_and(|worker| eligible(id, worker))
        {
            return Some(id.clone());
        }
        self.workers
            .iter()
            .filter(|(id, worker)| eligible(id, worker))
            .max_by_key(|(_, worker)| {
                let free = worker.free();
                let missing = step.size().minus(free);
                (
                    Reverse((missing.millicores, missing.memory_mb)),
                    free.millicores,
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Counts the tasks of the same step and occurrence on a worker, with those in `taken`.
    fn siblings(&self, worker: &Worker, task: &TaskId, taken: &BTreeMap<&WorkerId, u64>) -> u32 {
        let first = TaskId {
            index: 0,
            ..task.clone()
        };
        let last = TaskId {
            index: u32::MAX,
            ..task.clone()
        };
        let running = worker.runs.range(first..=last).count() as u32;
        running + taken.get(&worker.entry.id).copied().unwrap_or(0) as u32
    }
}

/// Sort key of a worker for a task, lowest first.
///
/// Separates latency-sensitive from best-effort tasks, and packs all others on workers
/// that are in use already.
fn placement_cost(step: &Step, worker: &Worker) -> (u64, bool, Reverse<u64>) {
    let latency_sensitive = worker.runs.values().filter(|run| run.goal_ms > 0).count() as u64;
    let best_effort = worker.runs.values().filter(|run| run.best_effort).count() as u64;
    let conflicting = match (step.best_effort, step.goal_ms > 0) {
        (true, _) => latency_sensitive,
        (_, true) => best_effort,
        _ => 0,
    };
    (
        conflicting,
        !worker.has_long_running(),
        Reverse(worker.used.millicores),
    )
}

fn scaled(size: Size, count: u64) -> Size {
    Size {
        millicores: size.millicores * count,
        memory_mb: size.memory_mb * count,
        accelerators: size.accelerators * count,
    }
}
