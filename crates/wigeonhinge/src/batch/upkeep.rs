//! Maintenance waves: each machine once, within the wave's limit and the budgets of its tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::pools::Order;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

/// Machines of a wave that are emptied beside those that are down for it.
const AHEAD: usize = 2;

/// Time before a wave's deadline at which short runs are no longer waited for.
const URGENT: Duration = Duration::from_secs(4);

/// Time from the end of an order to the worker's first report.
const RETURN: Duration = Duration::from_millis(700);

/// Factor on the time that a wave's rest needs, from which busy machines are emptied too.
const PRESSED: f64 = 1.6;

/// Waiting tasks of a pool from which it needs every machine.
const STRAINED: usize = 8;

/// Time in which a machine with lasting tasks is emptied.
const EMPTYING: Duration = Duration::from_millis(3_000);

/// Time for which a worker may still list a run that a predecessor stopped: the platform's
/// longest bound for a stop is 400 ms, and its order took some milliseconds.
const STOPPING: Duration = Duration::from_millis(600);

/// Cost from which a machine counts as busy.
const BUSY: u64 = 100;

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
pub(super) struct Upkeep {
    waves: BTreeMap<u64, Active>,
}

#[derive(Debug)]
struct Active {
    wave: Wave,
    due: Time,
    published: bool,
}

impl Upkeep {
    pub(super) fn add(&mut self, wave: Wave, now: Time) {
        let due = now + wave.remaining;
        let published = wave.completed;
        self.waves.entry(wave.number).or_insert(Active {
            wave,
            due,
            published,
        });
    }

    /// Returns whether a machine still waits for its maintenance.
    pub(super) fn wants(&self, machine: &VmId) -> bool {
        self.waves.values().any(|it| {
            !it.published && it.wave.machines.contains(machine) && !it.wave.done.contains(machine)
        })
    }

    pub(super) fn done(&mut self, wave: u64, machine: &VmId) {
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
        self.upkeep.progress(wave)
    }

    pub(super) fn maintain(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.upkeep.waves.keys().copied().collect();
        for number in numbers {
            self.advance(number, now);
        }
    }

    fn advance(&mut self, number: u64, now: Time) {
        let Some(active) = self.upkeep.waves.get(&number) else {
            return;
        };
        if active.published {
            return;
        }
        let limit = active.wave.limit.max(1);
        let urgent = now + URGENT >= active.due;
        let members = active.wave.machines.iter();
        let open: Vec<VmId> = members
            .filter(|it| !active.wave.done.contains(*it) && self.machines.contains_key(*it))
            .cloned()
            .collect();
        let down = active.wave.machines.iter();
        let down = down
            .filter(|it| self.machines.get(*it).is_some_and(|held| held.down(now)))
            .count();
        if open.is_empty() {
            self.publish(number);
            return;
        }
        let rounds = open.len().div_ceil(limit) as u32;
        let needed = (self.bounds.maintenance + RETURN) * (rounds + 1);
        let pressed = now + needed.mul_f64(PRESSED) + URGENT >= active.due;
        let mut order: Vec<(u64, VmId)> = open
            .iter()
            .map(|machine| (self.cost(machine), machine.clone()))
            .collect();
        order.sort();
        let mut slots = limit.saturating_sub(down);
        let mut prepared = 0;
        let left = active.due.saturating_sub(now + URGENT).as_secs_f64();
        let allowed = self.emptied_at_once(&order, left);
        let mut emptied: BTreeMap<PoolId, usize> = BTreeMap::new();
        let strained = self.ready.values().any(|ready| ready.len() > STRAINED);
        for (cost, machine) in order {
            if prepared >= limit + AHEAD {
                break;
            }
            let Some(held) = self.machines.get(&machine) else {
                continue;
            };
            if held.busy(now) || held.machine.state != MachineState::Up || held.plan.is_some() {
                continue;
            }
            if held.outdated() || !self.worker_certain(held, now) || !self.may_order(&machine, now)
            {
                continue;
            }
            // Without pressure a pool empties one machine at a time, beside its idle ones.
            let busy = cost >= BUSY;
            // A machine that is off is not needed; any other one is while tasks wait.
            if strained && !pressed && !self.catalog.is_standby(&held.machine.pool) {
                continue;
            }
            if busy && !pressed {
                let pool = &held.machine.pool;
                let count = emptied.entry(pool.clone()).or_default();
                *count += 1;
                if *count > allowed.get(pool).copied().unwrap_or(1) {
                    continue;
                }
            }
            let worker = held.machine.worker.clone();
            prepared += 1;
            if self.clear(&worker, urgent, now) && slots > 0 {
                slots -= 1;
                self.order(&machine, Order::Maintain(number));
            }
        }
    }

    /// Returns how many busy machines of each pool are emptied at a time, so that all
    /// of them have their turn in the seconds that are left.
    fn emptied_at_once(&self, order: &[(u64, VmId)], left: f64) -> BTreeMap<PoolId, usize> {
        let mut busy: BTreeMap<PoolId, usize> = BTreeMap::new();
        for (_, machine) in order.iter().filter(|(cost, _)| *cost >= BUSY) {
            if let Some(held) = self.machines.get(machine) {
                *busy.entry(held.machine.pool.clone()).or_default() += 1;
            }
        }
        let turn = EMPTYING.as_secs_f64();
        let share = |count: usize| (count as f64 * turn / left.max(turn)).ceil() as usize;
        busy.into_iter()
            .map(|(pool, count)| (pool, share(count).max(1)))
            .collect()
    }

    /// Publishes that a wave is complete.
    fn publish(&mut self, number: u64) {
        if let Some(active) = self.upkeep.waves.get_mut(&number) {
            active.published = true;
            self.actions.push(Action::Publish {
                wave: number,
                completed: true,
            });
        }
    }

    /// Returns what emptying a machine would cost; machines without runs come first.
    fn cost(&self, machine: &VmId) -> u64 {
        let worker = self.machines.get(machine).map(|held| &held.machine.worker);
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else {
            return 0;
        };
        let held = u64::from(!worker.held);
        worker
            .runs
            .values()
            .map(|run| match run.long_running {
                true => 10_000,
                false => 100 + u64::from(100 - run.percent.min(100)),
            })
            .sum::<u64>()
            + held
    }

    /// Empties a worker; returns whether its machine may go down now.
    ///
    /// Short runs are left to end, unless the order is urgent.
    pub(super) fn clear(&mut self, id: &WorkerId, urgent: bool, now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        worker.held = true;
        worker.held_at = worker.held_at.max(now);
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
            if lasting && self.may_miss(&task, now) && self.has_place(&task, now) {
                self.note(format!("waves: {task} leaves worker {id}"));
                self.stop(id, &task);
            }
            if lasting || !urgent {
                free = false;
            }
        }
        free
    }

    /// Returns whether a task would find room on another worker.
    fn has_place(&self, task: &TaskId, now: Time) -> bool {
        let step = self.jobs.get(&task.job).and_then(|it| it.step(task.step));
        step.is_none_or(|step| {
            self.choose(task, step, (&[], &BTreeSet::new()), now)
                .is_some()
        })
    }

    /// Returns whether an order may end a lasting task's run now.
    fn may_miss(&self, task: &TaskId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(limit) = job.step(task.step).map(|step| step.max_unavailable) else {
            return true;
        };
        let limit = limit.unwrap_or(1).max(1) as usize;
        let at_work = |run: &RunState| match run.stage {
            Stage::Confirmed(since) => run.percent >= 100 && now.saturating_sub(since) >= STOPPING,
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
