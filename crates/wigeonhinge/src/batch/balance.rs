//! Assignment of machines to pools by demand, weighed against the cost of moves.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::machines::Order;
use crate::batch::worker::Worker;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

/// Share of a pool's capacity that its demand may use before the pool needs another machine.
const MAX_UTILIZATION: f64 = 0.92;

/// Time for which a peak in demand keeps machines in a pool, so that a short lull releases none.
///
/// A move pays off once the machine stays away for 3 s.
const DEMAND_RETENTION: Duration = Duration::from_millis(2_000);

/// Time ahead for which rising demand is extrapolated; about the duration of a move.
const FORECAST_SECS: f64 = 1.2;

/// Machines beyond the resource demand that a pool may get because short tasks must run on
/// separate workers; finishing a job is worth about five moves.
const MAX_SPREAD_MACHINES: usize = 3;

/// Machines that every pool keeps, except standby pools.
const MIN_MACHINES: usize = 1;

/// Recent demand of each pool in machines, by time.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    samples: BTreeMap<PoolId, VecDeque<(Time, usize)>>,
}

impl DemandHistory {
    /// Adds a sample and returns the highest one within the retention time.
    fn record(&mut self, pool: &PoolId, need: usize, now: Time) -> usize {
        let samples = self.samples.entry(pool.clone()).or_default();
        samples.push_back((now, need));
        while samples
            .front()
            .is_some_and(|(time, _)| now.saturating_sub(*time) > DEMAND_RETENTION)
        {
            samples.pop_front();
        }
        samples.iter().map(|(_, need)| *need).max().unwrap_or(need)
    }
}

/// A pool's demand and supply in machines.
#[derive(Debug)]
struct PoolBalance {
    pool: PoolId,
    /// Machines that the current demand requires.
    required: usize,
    /// Highest value of `required` within the retention time.
    recent_peak: usize,
    /// Machines in the pool or moving to it.
    supply: usize,
}

impl PoolBalance {
    fn shortage(&self) -> usize {
        self.required.saturating_sub(self.supply)
    }
}

impl Batch {
    /// Moves machines to pools that lack capacity, and idle machines to the standby pool.
    pub(super) fn balance_pools(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let mut balances = self.pool_balances(now);
        self.advance_moves(&mut balances, now);
        while let Some(index) = largest_shortage(&balances) {
            let pool = balances[index].pool.clone();
            let Some((machine, source)) = self.cheapest_machine(&balances, now) else {
                break;
            };
            balances[index].supply += 1;
            if let Some(source) = source {
                balances[source].supply -= 1;
            }
            self.plan_move(&machine, pool, now);
        }
        self.release_idle(&mut balances, now);
    }

    fn pool_balances(&mut self, now: Time) -> Vec<PoolBalance> {
        let pools: Vec<PoolId> = self
            .catalog
            .pools
            .iter()
            .filter(|rule| !rule.standby)
            .map(|rule| rule.name.clone())
            .collect();
        let mut balances = Vec::new();
        for pool in pools {
            let required = self.required_machines(&pool, now);
            let recent_peak = self.demand_history.record(&pool, required, now);
            let supply = self.supply(&pool, now);
            balances.push(PoolBalance {
                pool,
                required,
                recent_peak,
                supply,
            });
        }
        balances
    }

    /// Counts the machines that are in a pool, moving to it, or planned for it.
    fn supply(&self, pool: &PoolId, now: Time) -> usize {
        let counts = |managed: &&super::machines::ManagedMachine| match (
            &managed.planned_pool,
            &managed.order,
        ) {
            (Some(planned), _) => planned == pool,
            (None, Some(Order::Move(target))) => target == pool,
            _ => {
                managed.machine.pool == *pool
                    && (now < managed.available_at || managed.machine.state != MachineState::Down)
            }
        };
        self.machines.values().filter(counts).count()
    }

    /// Returns the number of machines that a pool's demand requires.
    fn required_machines(&self, pool: &PoolId, now: Time) -> usize {
        let workers = self.workers.values().filter(|it| it.entry.pool == *pool);
        let mut long_running = (0, 0);
        let mut short = (0, 0);
        let mut long_running_workers = 0;
        for worker in workers {
            long_running_workers += usize::from(worker.has_long_running());
            for run in worker.runs.values() {
                let sum = match run.long_running {
                    true => &mut long_running,
                    false => &mut short,
                };
                sum.0 += run.size.millicores;
                sum.1 += run.size.memory_mb;
            }
        }
        let mut short_hosts = 0;
        let mut long_running_hosts = 0;
        for rank in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&rank.task.job) else {
                continue;
            };
            let Some(step) = job.step(rank.task.step) else {
                continue;
            };
            short.0 += step.size().millicores;
            short.1 += step.size().memory_mb;
            if step.max_per_worker > 0 {
                let hosts = step.count.div_ceil(step.max_per_worker) as usize;
                let max_hosts = match step.long_running {
                    true => &mut long_running_hosts,
                    false => &mut short_hosts,
                };
                *max_hosts = hosts.max(*max_hosts);
            }
        }
        let size = self.machine_size(pool);
        let forecast = self.forecast(pool, now) * 1e3;
        let cores = long_running.0 as f64 + forecast.max(short.0 as f64);
        let memory = (long_running.1 + short.1) as f64;
        let machines = (cores / size.0).max(memory / size.1) / MAX_UTILIZATION;
        let replacement = usize::from(self.long_running_due(pool));
        let machines = machines.ceil() as usize;
        machines
            .max(short_hosts.min(machines + MAX_SPREAD_MACHINES))
            .max(long_running_hosts)
            .max(long_running_workers + replacement)
            .max(MIN_MACHINES)
    }

    /// Returns the cores that the jobs of a pool's queues are expected to use.
    fn forecast(&self, pool: &PoolId, now: Time) -> f64 {
        let queues = self.catalog.queues().filter(|it| it.pool == *pool);
        queues
            .map(|queue| self.demand.forecast(&queue.name, FORECAST_SECS, now))
            .sum()
    }

    /// Returns the millicores and the memory of a typical machine.
    fn machine_size(&self, pool: &PoolId) -> (f64, f64) {
        let own = self.workers.values().find(|it| it.entry.pool == *pool);
        let any = own.or_else(|| self.workers.values().next());
        let capacity = any.map(|it| it.entry.capacity).unwrap_or_default();
        let at_least = |value: u64| (value as f64).max(1.0);
        (at_least(capacity.millicores), at_least(capacity.memory_mb))
    }

    /// Returns whether a machine with long-running tasks is due for maintenance.
    fn long_running_due(&self, pool: &PoolId) -> bool {
        self.machines.values().any(|managed| {
            let worker = self.workers.get(&managed.machine.worker);
            managed.machine.pool == *pool
                && self.maintenance.is_pending(&managed.machine.id)
                && worker.is_some_and(Worker::has_long_running)
        })
    }

    /// Returns the machine that is cheapest to take, with the index of its pool: standby ones
    /// first, then idle ones of pools with a surplus, then those that become idle soonest.
    fn cheapest_machine(
        &self,
        balances: &[PoolBalance],
        now: Time,
    ) -> Option<(VmId, Option<usize>)> {
        let mut best: Option<(u64, VmId, Option<usize>)> = None;
        for (id, managed) in &self.machines {
            if !managed.is_available(now) || !self.may_order(id, now) {
                continue;
            }
            let standby = self.catalog.is_standby(&managed.machine.pool);
            let index = balances
                .iter()
                .position(|it| it.pool == managed.machine.pool);
            let surplus = index.is_some_and(|it| balances[it].supply > balances[it].required);
            if !standby && !surplus {
                continue;
            }
            let cost = match self.workers.get(&managed.machine.worker) {
                None if standby => 0,
                None => continue,
                Some(worker) if worker.has_long_running() || worker.entry.draining => continue,
                Some(worker) => {
                    worker
                        .runs
                        .values()
                        .map(|run| u64::from(101 - run.percent.min(100)))
                        .sum::<u64>()
                        + 1
                }
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, id.clone(), index));
            }
        }
        best.map(|(_, machine, index)| (machine, index))
    }

    fn plan_move(&mut self, machine: &VmId, pool: PoolId, now: Time) {
        let Some(managed) = self.machines.get_mut(machine) else {
            return;
        };
        let from = managed.machine.pool.clone();
        managed.planned_pool = Some(pool.clone());
        self.log(format!(
            "pools: machine {machine} is drained for its move from pool {from} to {pool}"
        ));
        self.advance_move(machine, now);
    }

    /// Continues planned moves and cancels those that the target pool no longer needs.
    fn advance_moves(&mut self, balances: &mut [PoolBalance], now: Time) {
        let planned = self
            .machines
            .iter()
            .filter(|(_, it)| it.planned_pool.is_some());
        let planned: Vec<VmId> = planned.map(|(id, _)| id.clone()).collect();
        for id in planned {
            let Some(managed) = self.machines.get_mut(&id) else {
                continue;
            };
            let target = managed.planned_pool.clone();
            let balance = balances
                .iter_mut()
                .find(|it| Some(&it.pool) == target.as_ref());
            if let Some(balance) = balance
                && balance.supply > balance.recent_peak
            {
                balance.supply -= 1;
                managed.planned_pool = None;
                continue;
            }
            self.advance_move(&id, now);
        }
    }

    /// Drains a machine with a planned move, and orders the move once it is drained.
    fn advance_move(&mut self, id: &VmId, now: Time) {
        let Some(managed) = self.machines.get(id) else {
            return;
        };
        let Some(pool) = managed.planned_pool.clone() else {
            return;
        };
        if managed.order_active(now)
            || managed.listing_outdated()
            || managed.machine.state != MachineState::Up
        {
            return;
        }
        if !self.worker_known(managed, now) {
            return;
        }
        let worker = managed.machine.worker.clone();
        let long_running = self
            .workers
            .get(&worker)
            .is_some_and(Worker::has_long_running);
        if long_running {
            if let Some(managed) = self.machines.get_mut(id) {
                managed.planned_pool = None;
            }
            return;
        }
        if self.drain(&worker, false, now) {
            if let Some(managed) = self.machines.get_mut(id) {
                managed.planned_pool = None;
            }
            self.send_order(id, Order::Move(pool));
        }
    }

    /// Moves idle machines of pools with more machines than their recent peak to the standby pool.
    fn release_idle(&mut self, balances: &mut [PoolBalance], now: Time) {
        if !self.demand.has_history(now) {
            return;
        }
        let target = self.catalog.pools.iter().find(|rule| rule.standby);
        let Some(target) = target.map(|rule| rule.name.clone()) else {
            return;
        };
        for balance in balances {
            let mut idle: Vec<VmId> = self
                .machines
                .iter()
                .filter(|(_, managed)| {
                    managed.machine.pool == balance.pool && managed.is_available(now)
                })
                .filter(|(id, _)| self.may_order(id, now))
                .filter(|(_, managed)| {
                    let worker = self.workers.get(&managed.machine.worker);
                    worker.is_some_and(|it| it.runs.is_empty() && it.has_reported)
                })
                .map(|(id, _)| id.clone())
                .collect();
            while balance.supply > balance.recent_peak.max(MIN_MACHINES) {
                let Some(machine) = idle.pop() else {
                    break;
                };
                balance.supply -= 1;
                self.plan_move(&machine, target.clone(), now);
            }
        }
    }
}

/// Returns the index of the pool with the largest shortage relative to its requirement.
fn largest_shortage(balances: &[PoolBalance]) -> Option<usize> {
    let lacking = balances
        .iter()
        .enumerate()
        .filter(|(_, it)| it.shortage() > 0);
    lacking
        .max_by_key(|(_, it)| it.shortage() * 1_000 / it.required.max(1))
        .map(|(index, _)| index)
}
