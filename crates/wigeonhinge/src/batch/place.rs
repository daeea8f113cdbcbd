//! Placement of ready tasks on workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::batch::Batch;
use crate::batch::Phase;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::crash::SuspicionLevel;
use crate::batch::task::Status;
use crate::batch::task::Task;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::PoolId;
use crate::id::Time;

/// Result of an attempt to place a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Placement {
    /// Capacity is reserved.
    Placed,
    /// The task does not wait any more.
    Gone,
    /// No worker has capacity for it.
    NoWorker,
    /// It must not start yet.
    TooEarly,
    /// The cap of its workspace has no room for it.
    Capped,
}

impl Batch {
    /// Reserves capacity for a task, or for its whole gang.
    pub(super) fn place_task(
        &mut self,
        task: &TaskId,
        step: &Step,
        reserved: &BTreeSet<WorkerId>,
        now: Time,
    ) -> Placement {
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
            let Some(state) = state else {
                return Placement::NoWorker;
            };
            if !state.waiting() {
                // A run that was considered lost has ended in the meantime.
                return Placement::Gone;
            }
            if state.held_back(now) {
                return Placement::TooEarly;
            }
            if state.is_exhausted() {
                self.give_up(&member, now);
                return Placement::Gone;
            }
            run = run.max(state.run + 1);
            if offset == 0 && !self.cap_allows_start(task, step) {
                return Placement::Capped;
            }
            match self.choose_worker(&member, step, (&chosen, reserved), now) {
                Some(worker) => chosen.push((member, worker)),
                None => return Placement::NoWorker,
            }
        }
        let version = self.bump_version(&task.job);
        for (member, worker) in chosen {
            self.reserve(&member, &worker, (run, version), now);
        }
        Placement::Placed
    }

    /// Returns whether a task of a step would fit on another machine in the pool, whichever it is.
    pub(super) fn any_machine_fits(&self, pool: &PoolId, step: &Step) -> bool {
        let pool = self.workers.pool(pool);
        let fits = pool.is_some_and(|it| it.fits_when_empty(step.size()));
        fits && step.requires.is_empty()
    }

    /// Returns whether a task may start beside other weak suspects.
    pub(super) fn is_weak_suspect(&self, task: &TaskId) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        state.is_some_and(|state| state.suspicion_level() == SuspicionLevel::Weak)
    }

    /// Returns whether a task needs a worker without new runs.
    pub(super) fn is_isolated(&self, task: &TaskId) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        state.is_some_and(Task::is_isolated)
    }

    pub(super) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task.step)
    }

    fn reserve(&mut self, task: &TaskId, worker: &WorkerId, (run, version): (u32, u64), now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = job.step(task.step).cloned() else {
            return;
        };
        job.phase = Phase::Active;
        job.unschedulable_since = None;
        let workspace = job.row.workspace.clone();
        self.holds.release(task);
        let mut suspicion = SuspicionLevel::None;
        let incarnation = self.workers.get(worker).map_or(0, |it| it.incarnation);
        if let Some(state) = job.task_mut(task) {
            state.incarnation = incarnation;
            suspicion = state.start_suspicion(&step);
            state.run = run;
            state.status = Status::Recording {
                worker: worker.clone(),
                version,
            };
        }
        if let Some(entry) = self.workers.get_mut(worker) {
            let run_state = RunState {
                suspicion,
                workspace,
                ..RunState::new(run, &step, Stage::Reserved, now)
            };
            entry.insert(task.clone(), run_state);
        }
        self.start_unanswered(task.clone(), run);
    }

    /// Returns the best worker with capacity for a task, besides the gang members in `chosen`.
    ///
    /// Workers are tried in the order in which they are filled, so that the first one that fits is
    /// taken unless the step prefers some workers or the worker failed lately.
    pub(super) fn choose_worker(
        &mut self,
        task: &TaskId,
        step: &Step,
        (chosen, reserved): (&[(TaskId, WorkerId)], &BTreeSet<WorkerId>),
        now: Time,
    ) -> Option<WorkerId> {
        self.workers.refresh();
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        if state.held_back(now) {
            return None;
        }
        let suspicion = state.start_suspicion(step);
        let isolated = state.is_isolated() && !step.gang;
        let mut taken: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for (_, worker) in chosen {
            *taken.entry(worker).or_default() += 1;
        }
        let held = self.holds.for_others(task);
        let claim = self.claim(task, step, &job.pool, now);
        let fits = |id: &WorkerId, worker: &Worker| {
            let chosen_size = step.size().scaled(taken.get(id).copied().unwrap_or(0));
            let held_size = held.get(id).copied().unwrap_or_default();
            worker.accepts_work(now)
                && worker.may_start_beside(suspicion)
                && (!isolated || worker.fresh.is_empty())
                && !reserved.contains(id)
                && step
                    .size()
                    .fits(worker.free().minus(chosen_size).minus(held_size))
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &taken) < step.max_per_worker)
                && claim.as_ref().is_none_or(|claim| {
                    self.respects_reservations(claim, worker, chosen_size.plus(held_size), now)
                })
        };
        let rack = chosen
            .first()
            .filter(|_| step.same_rack)
            .and_then(|(_, id)| self.workers.get(id));
        let pool = self.workers.pool(&job.pool)?;
        let open = pool.open(step.size().millicores);
        let open = open.filter_map(|id| Some((id, self.workers.get(id)?)));
        let cost = |id: &WorkerId, worker: &Worker| {
            let avoided = state.avoid.as_ref() == Some(id);
            let no_affinity =
                !step.affinity.is_empty() && !worker.entry.labels.contains(&step.affinity);
            let other_rack = rack.is_some_and(|it| it.entry.labels != worker.entry.labels);
            let conflicting = conflicting_runs(step, worker);
            let cost = (
                avoided,
                worker.start_cost(suspicion),
                no_affinity,
                other_rack,
                worker.failure_streak,
                conflicting,
            );
            (cost, cost == (false, 0, false, false, 0, 0))
        };
        let best = |paused: bool| {
            let mut best = None;
            for (id, worker) in open.clone() {
                if worker.paused(now) != paused || !fits(id, worker) {
                    continue;
                }
                let (cost, lowest) = cost(id, worker);
                if lowest {
                    return Some(id.clone());
                }
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, id.clone()));
                }
            }
            best.map(|(_, id)| id)
        };
        // If all workers of the pool are paused, they are used nevertheless.
        let all_paused = || {
            let mut accepting = pool.open(0).filter_map(|id| self.workers.get(id));
            accepting.all(|it| it.paused(now) || !it.accepts_work(now))
        };
        match best(false) {
            None if all_paused() => best(true),
            found => found,
        }
    }

    /// Returns the worker on which a long-running task that fits nowhere should fit soonest: one
    /// that has room for it once its other runs end, but for the long-running ones. The same for a
    /// task that needs a worker without new runs.
    ///
    /// Without a reservation, short tasks would take any capacity that becomes free,
    /// and a larger long-running task would never fit.
    pub(super) fn worker_to_reserve(
        &self,
        task: &TaskId,
        reserved: &BTreeSet<WorkerId>,
        now: Time,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        let isolated = state.is_isolated() && !state.held_back(now);
        let step = job.step(task.step);
        let step = step.filter(|step| step.long_running || (isolated && !step.gang))?;
        let none = BTreeMap::new();
        let held = self.holds.for_others(task);
        let eligible = |id: &WorkerId, worker: &Worker| {
            let held_size = held.get(id).copied().unwrap_or_default();
            worker.entry.pool == job.pool
                && worker.accepts_work(now)
                && !worker.paused(now)
                && !reserved.contains(id)
                && step.size().fits(
                    worker
                        .entry
                        .capacity
                        .minus(worker.long_running)
                        .minus(held_size),
                )
                && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
                && (step.max_per_worker == 0
                    || self.siblings(worker, task, &none) < step.max_per_worker)
        };
        // Keeps an earlier reservation, as another worker would have to be drained from the start.
        let earlier = self.holds.worker(task).or(self.reservations.get(task));
        if let Some(id) = earlier
            && self
                .workers
                .get(id)
                .is_some_and(|worker| eligible(id, worker))
        {
            return Some(id.clone());
        }
        let open = self.workers.pool(&job.pool)?.open(0);
        open.filter_map(|id| Some((id, self.workers.get(id)?)))
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
    pub(super) fn siblings(
        &self,
        worker: &Worker,
        task: &TaskId,
        taken: &BTreeMap<&WorkerId, u64>,
    ) -> u32 {
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

/// Returns how many runs of a worker conflict with a task: latency-sensitive tasks and best-effort
/// ones disturb each other.
fn conflicting_runs(step: &Step, worker: &Worker) -> usize {
    let runs = worker.runs.values();
    match (step.best_effort, step.goal_ms > 0) {
        (true, _) => runs.filter(|run| run.goal_ms > 0).count(),
        (_, true) => runs.filter(|run| run.best_effort).count(),
        _ => 0,
    }
}
