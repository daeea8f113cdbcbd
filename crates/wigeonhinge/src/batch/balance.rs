//! Which machines work in which pool: demand decides, within the price of moves.

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

/// Share of a pool's capacity that its demand may fill before it asks for a machine.
const MAX_UTILIZATION: f64 = 0.92;

/// Time for which a demand is remembered, so that a short lull gives no machine away.
///
/// A machine that stays away for 3 s has paid for its move.
const DEMAND_RETENTION: Duration = Duration::from_millis(2_000);

/// Time ahead for which a rising demand is extrapolated; a move takes about that long.
const FORECAST_SECS: f64 = 1.2;

/// Machines beyond its demand that a pool asks for because short tasks keep apart;
/// a job earns as much as about five moves cost.
const MAX_SPREAD_MACHINES: usize = 3;

/// Machines that a pool keeps if it has a queue.
const MIN_MACHINES: usize = 1;

/// Demand of the pools over the last moments.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    samples: BTreeMap<PoolId, VecDeque<(Time, usize)>>,
}

impl DemandHistory {
    /// Notes a pool's need and returns the highest recent one.
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
    /// Machines that the present demand needs.
    required: usize,
    /// Machines that it needed lately.
    recent_peak: usize,
    /// Machines that it has or that are on their way.
    supply: usize,
}

impl PoolBalance {
    fn shortage(&self) -> usize {
        self.required.saturating_sub(self.supply)
    }
}

impl Batch {
    /// Moves machines to the pools whose work waits, and parks idle ones.
    pub(super) fn balance_pools(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let mut balances = self.pool_balances(now);
        self.advance_moves(&mut balances, now);
        while let Some(index) = largest_shortage(&balances) {
            let pool = balances[index].pool.clone();
            let Some((machine, donor)) = self.cheapest_machine(&balances, now) else {
                break;
            };
            balances[index].supply += 1;
            if let Some(donor) = donor {
                balances[donor].supply -= 1;
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

    /// Counts the machines that work in a pool, are on their way to it, or are promised to it.
    fn supply(&self, pool: &PoolId, now: Time) -> usize {
        let counts =
            |held: &&super::machines::ManagedMachine| match (&held.planned_pool, &held.order) {
                (Some(plan), _) => plan == pool,
                (None, Some(Order::Move(target))) => target == pool,
                _ => {
                    held.machine.pool == *pool
                        && (now < held.available_at || held.machine.state != MachineState::Down)
                }
            };
        self.machines.values().filter(counts).count()
    }

    /// Returns the machines that a pool's demand needs.
    fn required_machines(&self, pool: &PoolId, now: Time) -> usize {
        let workers = self.workers.values().filter(|it| it.entry.pool == *pool);
        let mut lasting = (0, 0);
        let mut short = (0, 0);
        let mut anchors = 0;
        for worker in workers {
            anchors += usize::from(worker.has_long_running());
            for run in worker.runs.values() {
                let sum = match run.long_running {
                    true => &mut lasting,
                    false => &mut short,
                };
                sum.0 += run.size.millicores;
                sum.1 += run.size.memory_mb;
            }
        }
        let mut apart = 0;
        let mut lasting_apart = 0;
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
                let most = match step.long_running {
                    true => &mut lasting_apart,
                    false => &mut apart,
                };
                *most = hosts.max(*most);
            }
        }
        let size = self.machine_size(pool);
        let forecast = self.forecast(pool, now) * 1e3;
        let cores = lasting.0 as f64 + forecast.max(short.0 as f64);
        let memory = (lasting.1 + short.1) as f64;
        let machines = (cores / size.0).max(memory / size.1) / MAX_UTILIZATION;
        let leaving = usize::from(self.long_running_due(pool));
        let machines = machines.ceil() as usize;
        machines
            .max(apart.min(machines + MAX_SPREAD_MACHINES))
            .max(lasting_apart)
            .max(anchors + leaving)
            .max(MIN_MACHINES)
    }

    /// Returns the cores that a pool's queues are expected to keep busy.
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

    /// Returns whether a machine with lasting tasks is due for maintenance.
    fn long_running_due(&self, pool: &PoolId) -> bool {
        self.machines.values().any(|held| {
            let worker = self.workers.get(&held.machine.worker);
            held.machine.pool == *pool
                && self.maintenance.is_pending(&held.machine.id)
                && worker.is_some_and(Worker::has_long_running)
        })
    }

    /// Chooses the machine that costs least to take: parked ones, then idle
    /// ones of pools with more than they need, then those that are idle soonest.
    fn cheapest_machine(
        &self,
        balances: &[PoolBalance],
        now: Time,
    ) -> Option<(VmId, Option<usize>)> {
        let mut best: Option<(u64, VmId, Option<usize>)> = None;
        for (id, held) in &self.machines {
            if !held.is_available(now) || !self.may_order(id, now) {
                continue;
            }
            let parked = self.catalog.is_standby(&held.machine.pool);
            let index = balances.iter().position(|it| it.pool == held.machine.pool);
            let spare = index.is_some_and(|it| balances[it].supply > balances[it].required);
            if !parked && !spare {
                continue;
            }
            let cost = match self.workers.get(&held.machine.worker) {
                None if parked => 0,
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
        let Some(held) = self.machines.get_mut(machine) else {
            return;
        };
        let from = held.machine.pool.clone();
        held.planned_pool = Some(pool.clone());
        self.log(format!(
            "pools: machine {machine} is to move from {from} to {pool}"
        ));
        self.advance_move(machine, now);
    }

    /// Goes on with decided moves; drops those that nobody needs any more.
    fn advance_moves(&mut self, balances: &mut [PoolBalance], now: Time) {
        let planned = self
            .machines
            .iter()
            .filter(|(_, it)| it.planned_pool.is_some());
        let planned: Vec<VmId> = planned.map(|(id, _)| id.clone()).collect();
        for id in planned {
            let Some(held) = self.machines.get_mut(&id) else {
                continue;
            };
            let target = held.planned_pool.clone();
            let balance = balances
                .iter_mut()
                .find(|it| Some(&it.pool) == target.as_ref());
            if let Some(balance) = balance
                && balance.supply > balance.recent_peak
            {
                balance.supply -= 1;
                held.planned_pool = None;
                continue;
            }
            self.advance_move(&id, now);
        }
    }

    /// Empties a machine that is to move, and orders the move once it is empty.
    fn advance_move(&mut self, id: &VmId, now: Time) {
        let Some(held) = self.machines.get(id) else {
            return;
        };
        let Some(pool) = held.planned_pool.clone() else {
            return;
        };
        if held.order_active(now)
            || held.listing_outdated()
            || held.machine.state != MachineState::Up
        {
            return;
        }
        if !self.worker_known(held, now) {
            return;
        }
        let worker = held.machine.worker.clone();
        let anchored = self
            .workers
            .get(&worker)
            .is_some_and(Worker::has_long_running);
        if anchored {
            if let Some(held) = self.machines.get_mut(id) {
                held.planned_pool = None;
            }
            return;
        }
        if self.drain(&worker, false, now) {
            if let Some(held) = self.machines.get_mut(id) {
                held.planned_pool = None;
            }
            self.send_order(id, Order::Move(pool));
        }
    }

    /// Parks idle machines of pools that lately needed fewer.
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
                .filter(|(_, held)| held.machine.pool == balance.pool && held.is_available(now))
                .filter(|(id, _)| self.may_order(id, now))
                .filter(|(_, held)| {
                    let worker = self.workers.get(&held.machine.worker);
                    worker.is_some_and(|it| it.runs.is_empty() && it.listed)
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

/// Returns the pool that lacks the largest share of what it needs.
fn largest_shortage(balances: &[PoolBalance]) -> Option<usize> {
    let lacking = balances
        .iter()
        .enumerate()
        .filter(|(_, it)| it.shortage() > 0);
    lacking
        .max_by_key(|(_, it)| it.shortage() * 1_000 / it.required.max(1))
        .map(|(index, _)| index)
}
