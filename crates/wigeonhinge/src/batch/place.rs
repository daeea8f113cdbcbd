//! Choice of a worker for each ready task.

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

/// Tasks that find no room before a pass over a pool ends.
const MISSES: usize = 16;

impl Batch {
    /// Places ready tasks of the pools in which something changed.
    pub(super) fn place(&mut self, now: Time) {
        while let Some(pool) = self.stale.pop_first() {
            self.place_pool(&pool, now);
        }
    }

    fn place_pool(&mut self, pool: &PoolId, now: Time) {
        let mut misses = 0;
        let mut placed = Vec::new();
        // Workers that are left to run empty until a lasting task fits.
        let mut reserved = BTreeSet::new();
        let Some(ready) = self.ready.get(pool) else {
            return;
        };
        let ranks: Vec<Rank> = ready.iter().take(MISSES * 16).cloned().collect();
        for rank in ranks {
            if misses >= MISSES {
                break;
            }
            match self.place_task(&rank.task, &reserved, now) {
                true => placed.push(rank),
                false => {
                    misses += 1;
                    if let Some(worker) = self.reservation(&rank.task, &reserved, now) {
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

    /// Reserves room for a task, or for its whole gang; returns whether it did.
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
                // It ended while it waited, as a run that was given up did after all.
                return true;
            }
            let worker = self.choose(&member, &step, (&chosen, reserved), now);
            let (Some(worker), Some(state)) = (worker, state) else {
                return false;
            };
            run = run.max(state.run + 1);
            chosen.push((member, worker));
        }
        let version = self.touch(&task.job);
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

    pub(super) fn choose(
        &self,
        task: &TaskId,
        step: &Step,
        (chosen, reserved): (&[(TaskId, WorkerId)], &BTreeSet<WorkerId>),
        now: Time,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        if state.retry > now {
            return None;
        }
        let mut taken: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for (_, worker) in chosen {
            *taken.entry(worker).or_default() += 1;
        }
        let fits = |id: &WorkerId, worker: &Worker| {
            let promised = scaled(step.size(), taken.get(id).copied().unwrap_or(0));
            worker.entry.pool == job.pool
                && worker.usable(now)
                && !reserved.contains(id)
                && step.size().fits(worker.free().minus(promised))
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &taken) < step.max_per_worker)
        };
        let rack = chosen
            .first()
            .filter(|_| step.same_rack)
            .and_then(|(_, id)| self.workers.get(id));
        let pool = self.workers.values().filter(|it| it.entry.pool == job.pool);
        // A pool in which all workers are paused is better than none.
        let all_paused = pool.filter(|it| it.usable(now)).all(|it| it.paused(now));
        self.workers
            .iter()
            .filter(|(_, worker)| all_paused || !worker.paused(now))
            .filter(|(id, worker)| fits(id, worker))
            .min_by_key(|(id, worker)| {
                let shunned = state.shun.as_ref() == Some(*id);
                let far =
                    !step.affinity.is_empty() && !worker.entry.labels.contains(&step.affinity);
                let apart = rack.is_some_and(|it| it.entry.labels != worker.entry.labels);
                (shunned, far, apart, worker.streak, crowding(step, worker))
            })
            .map(|(id, _)| id.clone())
    }

    /// Returns the worker that a lasting task without room will fit on first.
    ///
    /// Short tasks would take each bit of room that others leave, and the
    /// larger lasting task would never fit.
    fn reservation(
        &self,
        task: &TaskId,
        reserved: &BTreeSet<WorkerId>,
        now: Time,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step).filter(|step| step.long_running)?;
        let none = BTreeMap::new();
        let suits = |id: &WorkerId, worker: &Worker| {
            worker.entry.pool == job.pool
                && worker.usable(now)
                && !worker.paused(now)
                && !reserved.contains(id)
                && step.size().fits(worker.entry.capacity)
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &none) < step.max_per_worker)
        };
        // A worker that was reserved before stays so; another one would begin anew.
        if let Some(id) = self.reservations.get(task)
            && self.workers.get(id).is_some_and(|worker| suits(id, worker))
        {
            return Some(id.clone());
        }
        self.workers
            .iter()
            .filter(|(id, worker)| suits(id, worker))
            .max_by_key(|(_, worker)| {
                let free = worker.free();
                let short = step.size().minus(free);
                (
                    Reverse((short.millicores, short.memory_mb)),
                    free.millicores,
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Counts the tasks of a task's step and occurrence on a worker.
    fn siblings(&self, worker: &Worker, task: &TaskId, taken: &BTreeMap<&WorkerId, u64>) -> u32 {
        let first = TaskId {
            index: 0,
            ..task.clone()
        };
        let last = TaskId {
            index: u32::MAX,
            ..task.clone()
        };
        let there = worker.runs.range(first..=last).count() as u32;
        there + taken.get(&worker.entry.id).copied().unwrap_or(0) as u32
    }
}

/// Orders workers by how well a task suits them: serving and filling tasks keep
/// apart, and the other ones gather on the workers that are in use anyway.
fn crowding(step: &Step, worker: &Worker) -> (u64, bool, Reverse<u64>) {
    let serving = worker.runs.values().filter(|run| run.goal_ms > 0).count() as u64;
    let filling = worker.runs.values().filter(|run| run.best_effort).count() as u64;
    let disturbed = match (step.best_effort, step.goal_ms > 0) {
        (true, _) => serving,
        (_, true) => filling,
        _ => 0,
    };
    (
        disturbed,
        !worker.anchored(),
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
