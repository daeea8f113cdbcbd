//! Maintenance waves: each machine once, within the wave's limit and the budgets of its tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::machines::Order;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

/// Machines of a wave that are emptied beside those that are down for it.
const MAX_PREPARED: usize = 2;

/// Time before a wave's deadline at which short runs are no longer waited for.
const URGENT_TIME: Duration = Duration::from_secs(4);

/// Time from the end of an order to the worker's first report.
const RECOVERY_TIME: Duration = Duration::from_millis(700);

/// Factor on the time that a wave's rest needs, from which busy machines are emptied too.
const PRESSURE_FACTOR: f64 = 1.6;

/// Waiting tasks of a pool from which it needs every machine.
const STRAINED_QUEUE: usize = 8;

/// Time in which a machine with lasting tasks is emptied.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Time for which a worker may still list a run that a predecessor stopped: the platform's
/// longest bound for a stop is 400 ms, and its order took some milliseconds.
const STOP_REPORT_DELAY: Duration = Duration::from_millis(600);

/// Cost from which a machine counts as busy.
const BUSY_COST: u64 = 100;

/// Request that machines have their maintenance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Machines.
    pub machines: Vec<VmId>,
    /// Time that is left.
    pub remaining: Duration,
    /// Machines that may be down for it at the same time.
    pub limit: usize,
    /// Machines that had it.
    pub done: BTreeSet<VmId>,
    /// Whether all machines had it.
    pub completed: bool,
}

/// Waves that are under way.
#[derive(Debug, Default)]
pub(super) struct MaintenanceWaves {
    waves: BTreeMap<u64, ActiveWave>,
}

#[derive(Debug)]
struct ActiveWave {
    wave: Wave,
    deadline: Time,
    published: bool,
}

impl MaintenanceWaves {
    pub(super) fn add(&mut self, wave: Wave, now: Time) {
        let deadline = now + wave.remaining;
        let published = wave.completed;
        self.waves.entry(wave.number).or_insert(ActiveWave {
            wave,
            deadline,
            published,
        });
    }

    /// Returns whether a machine still waits for its maintenance.
    pub(super) fn is_pending(&self, machine: &VmId) -> bool {
        self.waves.values().any(|it| {
            !it.published && it.wave.machines.contains(machine) && !it.wave.done.contains(machine)
        })
    }

    pub(super) fn mark_done(&mut self, wave: u64, machine: &VmId) {
        if let Some(active) = self.waves.get_mut(&wave) {
            active.wave.done.insert(machine.clone());
        }
    }

    /// Returns the machines of a wave that had their maintenance.
    pub(super) fn progress(&self, wave: u64) -> BTreeSet<VmId> {
        let active = self.waves.get(&wave);
        active.map(|it| it.wave.done.clone()).unwrap_or_default()
    }
}

impl Batch {
    /// Returns the machines of a wave that had their maintenance.
    pub fn wave_progress(&self, wave: u64) -> BTreeSet<VmId> {
        self.maintenance.progress(wave)
    }

    pub(super) fn advance_waves(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.maintenance.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now);
        }
    }

    fn advance_wave(&mut self, number: u64, now: Time) {
        let Some(active) = self.maintenance.waves.get(&number) else {
            return;
        };
        if active.published {
            return;
        }
        let limit = active.wave.limit.max(1);
        let urgent = now + URGENT_TIME >= active.deadline;
        let members = active.wave.machines.iter();
        let open: Vec<VmId> = members
            .filter(|it| !active.wave.done.contains(*it) && self.machines.contains_key(*it))
            .cloned()
            .collect();
        let down = active.wave.machines.iter();
        let down = down
            .filter(|it| {
                self.machines
                    .get(*it)
                    .is_some_and(|managed| managed.down(now))
            })
            .count();
        if open.is_empty() {
            self.publish(number);
            return;
        }
        let rounds = open.len().div_ceil(limit) as u32;
        let needed = (self.bounds.maintenance + RECOVERY_TIME) * (rounds + 1);
        let pressed = now + needed.mul_f64(PRESSURE_FACTOR) + URGENT_TIME >= active.deadline;
        let mut order: Vec<(u64, VmId)> = open
            .iter()
            .map(|machine| (self.drain_cost(machine), machine.clone()))
            .collect();
        order.sort();
        let mut slots = limit.saturating_sub(down);
        let mut prepared = 0;
        let left = active
            .deadline
            .saturating_sub(now + URGENT_TIME)
            .as_secs_f64();
        let allowed = self.drains_at_once(&order, left);
        let mut emptied: BTreeMap<PoolId, usize> = BTreeMap::new();
        let strained = self
            .ready
            .values()
            .any(|ready| ready.len() > STRAINED_QUEUE);
        for (cost, machine) in order {
            if prepared >= limit + MAX_PREPARED {
                break;
            }
            let Some(managed) = self.machines.get(&machine) else {
                continue;
            };
            if managed.order_active(now)
                || managed.machine.state != MachineState::Up
                || managed.planned_pool.is_some()
            {
                continue;
            }
            if managed.listing_outdated()
                || !self.worker_known(managed, now)
                || !self.may_order(&machine, now)
            {
                continue;
            }
            // Without pressure a pool empties one machine at a time, beside its idle ones.
            let busy = cost >= BUSY_COST;
            // A machine that is off is not needed; any other one is while tasks wait.
            if strained && !pressed && !self.catalog.is_standby(&managed.machine.pool) {
                continue;
            }
            if busy && !pressed {
                let pool = &managed.machine.pool;
                let count = emptied.entry(pool.clone()).or_default();
                *count += 1;
                if *count > allowed.get(pool).copied().unwrap_or(1) {
                    continue;
                }
            }
            let worker = managed.machine.worker.clone();
            prepared += 1;
            if self.drain(&worker, urgent, now) && slots > 0 {
                slots -= 1;
                self.send_order(&machine, Order::Maintain(number));
            }
        }
    }

    /// Returns how many busy machines of each pool are emptied at a time, so that all
    /// of them have their turn in the seconds that are left.
    fn drains_at_once(&self, order: &[(u64, VmId)], left: f64) -> BTreeMap<PoolId, usize> {
        let mut busy: BTreeMap<PoolId, usize> = BTreeMap::new();
        for (_, machine) in order.iter().filter(|(cost, _)| *cost >= BUSY_COST) {
            if let Some(managed) = self.machines.get(machine) {
                *busy.entry(managed.machine.pool.clone()).or_default() += 1;
            }
        }
        let turn = DRAIN_TIME.as_secs_f64();
        let share = |count: usize| (count as f64 * turn / left.max(turn)).ceil() as usize;
        busy.into_iter()
            .map(|(pool, count)| (pool, share(count).max(1)))
            .collect()
    }

    /// Publishes that a wave is complete.
    fn publish(&mut self, number: u64) {
        if let Some(active) = self.maintenance.waves.get_mut(&number) {
            active.published = true;
            self.actions.push(Action::Publish {
                wave: number,
                completed: true,
            });
        }
    }

    /// Returns what emptying a machine would cost; machines without runs come first.
    fn drain_cost(&self, machine: &VmId) -> u64 {
        let worker = self
            .machines
            .get(machine)
            .map(|managed| &managed.machine.worker);
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else {
            return 0;
        };
        let managed = u64::from(!worker.cordoned);
        worker
            .runs
            .values()
            .map(|run| match run.long_running {
                true => 10_000,
                false => 100 + u64::from(100 - run.percent.min(100)),
            })
            .sum::<u64>()
            + managed
    }

    /// Empties a worker; returns whether its machine may go down now.
    ///
    /// Short runs are left to end, unless the order is urgent.
    pub(super) fn drain(&mut self, id: &WorkerId, urgent: bool, now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        worker.cordoned = true;
        worker.cordoned_at = worker.cordoned_at.max(now);
        let runs: Vec<(TaskId, bool, Stage)> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.long_running, run.stage))
            .collect();
        let mut free = true;
        for (task, lasting, stage) in runs {
            if matches!(stage, Stage::Stopping(..)) {
                free = false;
                continue;
            }
            if lasting && self.may_stop(&task, now) && self.fits_elsewhere(&task, now) {
                self.log(format!("waves: {task} leaves worker {id}"));
                self.stop(id, &task);
            }
            if lasting || !urgent {
                free = false;
            }
        }
        free
    }

    /// Returns whether a task would find room on another worker.
    fn fits_elsewhere(&self, task: &TaskId, now: Time) -> bool {
        let step = self.jobs.get(&task.job).and_then(|it| it.step(task.step));
        step.is_none_or(|step| {
            self.choose_worker(task, step, (&[], &BTreeSet::new()), now)
                .is_some()
        })
    }

    /// Returns whether an order may end a lasting task's run now.
    fn may_stop(&self, task: &TaskId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(limit) = job.step(task.step).map(|step| step.max_unavailable) else {
            return true;
        };
        let limit = limit.unwrap_or(1).max(1) as usize;
        let at_work = |run: &RunState| match run.stage {
            Stage::Confirmed(since) => {
                run.percent >= 100 && now.saturating_sub(since) >= STOP_REPORT_DELAY
            }
            Stage::Reserved | Stage::Starting | Stage::Stopping(..) => false,
        };
        let siblings = job.tasks().filter(|(id, _)| {
            id.occurrence == task.occurrence && id.step == task.step && id.index != task.index
        });
        let away = siblings.filter(|(id, state)| {
            let worker = state.worker().and_then(|worker| self.workers.get(worker));
            let run = worker.and_then(|worker| worker.runs.get(id));
            !run.is_some_and(at_work)
        });
        away.count() < limit
    }
}
