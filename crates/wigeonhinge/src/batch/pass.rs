//! Passes over the ready tasks of a pool.
//!
//! A pass tries the tasks in the order of their ranks and ends after a number of tasks without a
//! worker, so that its cost does not grow with the number of waiting tasks. Tasks that no worker can
//! run may stay at the head of the queue for as long as their jobs are not cancelled. So the first
//! pass after a tick that ends early has a second window, which continues where the last one ended:
//! each ready task is tried after a bounded number of ticks, whatever waits before it. Passes follow
//! each burst of messages, hundreds a second on a large fleet, so they cannot all have one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::batch::Batch;
use crate::batch::Size;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::place::Placement;
use crate::batch::ready::Rank;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;

/// Tasks without a suitable worker after which a window of a pass ends. Each one costs a search of the
/// pool's open workers, so this bounds the cost of a pass over a pool in a flood; it also bounds the
/// workers that one pass reserves.
const MAX_MISSES: usize = 16;

/// Steps that are passed over because an equal or smaller task found no worker, after which a window
/// of a pass ends. It bounds the cost of a pass over a long queue of equal jobs, and ten ticks a second
/// go through 640 such steps.
const MAX_SKIPPED: usize = 64;

/// Tasks of a step that is passed over which are walked before the queue is searched for the next step;
/// a search costs about as much as the walk.
const MAX_WALKED: usize = 32;

/// Tasks that their caps hold back after which a window of a pass ends. They cost no search of workers
/// and leave the ready tasks, so that the next pass goes on behind them.
const MAX_CAPPED: usize = 4_096;

/// Step of an occurrence of a job.
type StepId = (JobId, u32, u32);

/// Part of a pass that ends after a number of tasks without a worker.
#[derive(Debug, Default)]
struct Window {
    misses: usize,
    skipped: usize,
    capped: usize,
}

/// What a pass over a pool has found so far.
///
/// Within a pass capacity only shrinks, so if a task finds no worker, equal tasks and tasks that ask
/// for more find none either.
#[derive(Debug, Default)]
struct Pass {
    /// Labels and sizes that tasks found no worker for, of steps that do not limit their tasks on one
    /// worker. The label is empty if any worker may run the task. The number is the expected run time
    /// in milliseconds if a reservation in time kept the task from a worker, as a shorter one may
    /// end before that; 0 otherwise.
    requests: Vec<(CompactString, Size, u64)>,
    /// Steps whose tasks found no worker.
    steps: BTreeSet<StepId>,
    /// Workers that get no other tasks until a long-running task fits on them.
    reserved: BTreeSet<WorkerId>,
    /// Long-running tasks without a worker that would fit on another machine in the pool: their
    /// number by step, and how many of them a worker may run.
    unplaced: BTreeMap<StepId, (u32, u32)>,
}

impl Window {
    fn is_full(&self) -> bool {
        self.misses >= MAX_MISSES || self.skipped >= MAX_SKIPPED || self.capped >= MAX_CAPPED
    }
}

impl Pass {
    fn record_miss(&mut self, task: &TaskId, step: &Step, run_ms: u64) {
        // The members of a gang need several workers at once.
        if step.gang {
            return;
        }
        if step.max_per_worker == 0 {
            let request = (step.requires.clone(), step.size(), run_ms);
            self.requests.push(request);
        }
        self.steps.insert(step_id(task));
    }

    /// Returns whether the tasks of a step find no worker for certain, except for those that room is
    /// held for.
    fn covers(&self, task: &TaskId, step: &Step, run_ms: impl Fn() -> u64) -> bool {
        let size = step.size();
        let covered = |(label, missed, missed_ms): &(CompactString, Size, u64)| {
            (label.is_empty() || *label == step.requires)
                && missed.fits(size)
                && (*missed_ms == 0 || *missed_ms <= run_ms())
        };
        let missed = self.requests.iter().any(covered) || self.steps.contains(&step_id(task));
        missed && !step.gang
    }

    fn record_unplaced(&mut self, task: &TaskId, step: &Step) {
        let entry = self.unplaced.entry(step_id(task));
        entry.or_insert((0, step.max_per_worker)).0 += 1;
    }

    /// Returns how many more workers the pool needs; tasks of different steps may share them.
    fn missing_hosts(&self) -> usize {
        let hosts = self.unplaced.values().map(|(count, limit)| match limit {
            0 => 1,
            limit => count.div_ceil(*limit),
        });
        hosts.max().unwrap_or(0) as usize
    }
}

impl Batch {
    /// Places ready tasks of the pools that changed since the last pass.
    pub(super) fn place_tasks(&mut self, now: Time) {
        while let Some(pool) = self.dirty_pools.pop_first() {
            self.place_pool(&pool, now);
        }
    }

    fn place_pool(&mut self, pool: &PoolId, now: Time) {
        let mut pass = Pass::default();
        self.release_capped(pool);
        let rest_due = self.rest_due.remove(pool);
        self.backfill.begin_pass(pool);
        let head_end = self.place_window(pool, &mut pass, None, now);
        self.backfill.end_head(pool);
        let partial = head_end.is_some() && !rest_due;
        match head_end {
            Some(head_end) if rest_due => {
                let previous = self.pass_ends.remove(pool);
                let start = previous.map_or(head_end.clone(), |end| end.max(head_end));
                if let Some(end) = self.place_window(pool, &mut pass, Some(start), now) {
                    self.pass_ends.insert(pool.clone(), end);
                }
            }
            Some(_) => {}
            None => {
                self.pass_ends.remove(pool);
            }
        }
        self.record_hosts(pool, pass.missing_hosts(), partial);
    }

    /// Records how many more workers a pool needs. A partial pass may have missed some of the tasks
    /// that need them, so it does not lower the number.
    fn record_hosts(&mut self, pool: &PoolId, hosts: usize, partial: bool) {
        let known = self.unplaced_hosts.get(pool).copied().unwrap_or(0);
        match if partial { hosts.max(known) } else { hosts } {
            0 => self.unplaced_hosts.remove(pool),
            hosts => self.unplaced_hosts.insert(pool.clone(), hosts),
        };
    }

    /// Places the tasks of a pool after `start`, or from the head of the queue; returns the last rank
    /// if the window ended before the queue.
    fn place_window(
        &mut self,
        pool: &PoolId,
        pass: &mut Pass,
        start: Option<Rank>,
        now: Time,
    ) -> Option<Rank> {
        // Workers are reserved only for tasks at the head of the queue, and thus for a limited number.
        let reserves = start.is_none();
        let mut window = Window::default();
        let mut last = start;
        loop {
            last = self.pass_over(pool, pass, &mut window, last);
            if window.is_full() {
                break;
            }
            let rank = self.ready.get(pool)?.next(last.as_ref())?.clone();
            let Some(step) = self.step(&rank.task).cloned() else {
                self.dequeue(pool, &rank);
                last = Some(rank);
                continue;
            };
            let run_ms = || self.expected_run_ms(&rank.task, &step);
            let covered =
                pass.covers(&rank.task, &step, run_ms) && !self.may_fit_elsewhere(&rank.task);
            let placement = match covered {
                true => Placement::NoWorker,
                false => self.place_task(&rank.task, &step, &pass.reserved, now),
            };
            if matches!(placement, Placement::Placed | Placement::Gone) {
                self.dequeue(pool, &rank);
                self.reservations.remove(&rank.task);
                self.release_reservation(pool, &rank.task);
                last = Some(rank);
                continue;
            }
            if placement == Placement::Capped {
                window.capped += 1;
                if let Some(ready) = self.ready.get_mut(pool) {
                    ready.park(&rank);
                }
                self.log_capped(&rank.task.job);
                last = Some(rank);
                continue;
            }
            // An isolated task needs a worker without new runs, which other tasks do not.
            if placement == Placement::NoWorker && !covered && !self.is_isolated(&rank.task) {
                let run_ms = self.blocked_run_ms(&rank.task, &step);
                pass.record_miss(&rank.task, &step, run_ms);
            }
            let unplaced = placement == Placement::NoWorker
                && step.long_running
                && self.any_machine_fits(pool, &step);
            if unplaced {
                pass.record_unplaced(&rank.task, &step);
            }
            let may_reserve = reserves && (!covered || step.long_running);
            let reserved = may_reserve && self.reserve_worker(&rank.task, pass, now);
            let reserved = reserved
                || reserves
                    && placement == Placement::NoWorker
                    && self.reserve_in_time(&rank, &step, &pass.reserved, now);
            if reserved || !covered {
                window.misses += 1;
                last = Some(rank);
                continue;
            }
            window.skipped += 1;
            // The other tasks of the step are in the same position, unless they have to be counted.
            let counted = unplaced && step.max_per_worker > 0;
            last = match counted || self.holds.any_in_step(&rank.task) {
                true => Some(rank),
                false => Some(rank.last_of_step()),
            };
        }
        last
    }

    /// Passes over the next steps whose tasks find no worker for certain and get none reserved;
    /// returns the last rank that was passed over.
    ///
    /// While more tasks wait than the workers can run, these are nearly all steps of a pass, and a
    /// search of the queue for each of them would be most of its cost.
    fn pass_over(
        &self,
        pool: &PoolId,
        pass: &Pass,
        window: &mut Window,
        last: Option<Rank>,
    ) -> Option<Rank> {
        let Some(ready) = self.ready.get(pool).filter(|_| !pass.steps.is_empty()) else {
            return last;
        };
        let mut last = last;
        loop {
            let mut passed: Option<&Rank> = None;
            // Whether the other tasks of that step are in the same position.
            let mut whole = false;
            let mut walked = 0;
            for rank in ready.after(last.as_ref()) {
                if whole && passed.is_some_and(|it| it.is_same_step(rank)) {
                    walked += 1;
                    if walked > MAX_WALKED {
                        break;
                    }
                    continue;
                }
                if window.is_full() || !self.is_passed_over(rank, pass) {
                    break;
                }
                window.skipped += 1;
                whole = !self.holds.any_in_step(&rank.task);
                walked = 0;
                passed = Some(rank);
            }
            last = match passed.cloned() {
                Some(rank) if whole => Some(rank.last_of_step()),
                Some(rank) => Some(rank),
                None => return last,
            };
            if walked <= MAX_WALKED {
                return last;
            }
        }
    }

    /// Returns whether a ready task finds no worker for certain and gets none reserved.
    fn is_passed_over(&self, rank: &Rank, pass: &Pass) -> bool {
        let job = self.jobs.get(&rank.task.job);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(rank.task.step)?))) else {
            return false;
        };
        let run_ms = || self.expected_run_ms(&rank.task, step);
        // Only large tasks get reservations in time.
        let may_reserve =
            step.long_running || self.catalog.backfill && self.is_large(&job.pool, step.size());
        !may_reserve && pass.covers(&rank.task, step, run_ms) && !self.may_fit_elsewhere(&rank.task)
    }

    /// Returns whether a task may fit on a worker on which equal tasks do not.
    fn may_fit_elsewhere(&self, task: &TaskId) -> bool {
        self.holds.worker(task).is_some() || self.is_weak_suspect(task)
    }

    /// Keeps a worker from the other tasks of the pass until a task fits there, if one is suitable.
    fn reserve_worker(&mut self, task: &TaskId, pass: &mut Pass, now: Time) -> bool {
        let Some(worker) = self.worker_to_reserve(task, &pass.reserved, now) else {
            return false;
        };
        self.reservations.insert(task.clone(), worker.clone());
        pass.reserved.insert(worker);
        true
    }
}

fn step_id(task: &TaskId) -> StepId {
    (task.job.clone(), task.occurrence, task.step)
}
