//! Assignment of machines to pools by demand, weighed against the cost of moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::Size;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::crash::SuspicionLevel;
use crate::batch::machines::ManagedMachine;
use crate::batch::machines::Order;
use crate::batch::machines::REGISTRATION_TIMEOUT;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::StopReason;
use crate::batch::worker::Worker;
use crate::batch::workers::PoolIndex;
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

/// Longest time that a task loses when it is stopped and resumes on another worker: the work since
/// its last checkpoint, the restoring of it (1.25 s together at most on the known sites), and 0.2 s
/// for the stop and the start.
const RELOCATION_MS: f64 = 1_450.0;

/// Remaining run time above which a run is relocated; a stop takes effect within 400 ms on the known
/// sites, and its end is listed some milliseconds later.
const MIN_RELOCATED_MS: f64 = 700.0;

/// Time to record a start above which the store may be out, so that a stopped task could not resume;
/// completed writes took 32 ms at most in a day with trouble.
const STALLED_START: Duration = Duration::from_millis(300);

/// Machines that every pool keeps, except standby pools.
const MIN_MACHINES: usize = 1;

/// Most unanswered orders to machines up to which idle ones are released. With 8 partitions a holder
/// may send 8 orders a second, and a move to a pool that needs it waits behind those before it.
const MAX_OPEN_ORDERS: usize = 16;

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

/// Machines that a pool has or gets.
#[derive(Clone, Copy, Debug, Default)]
struct Supply {
    machines: usize,
    /// Those of them that no task can use yet.
    arriving: usize,
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

/// Machine that may move, by the cost of its move.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    cost: u64,
    machine: VmId,
    /// Index of its pool among the balances; `None` for a standby pool.
    source: Option<usize>,
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
        let relocate = !self.starts_stalled(now) && !self.maintenance.nearly_due(now);
        self.advance_moves(&mut balances, relocate, now);
        self.fill_shortages(&mut balances, relocate, now);
        self.release_idle(&mut balances, now);
    }

    /// Plans moves to pools with a shortage, to the largest one first.
    fn fill_shortages(&mut self, balances: &mut [PoolBalance], relocate: bool, now: Time) {
        if largest_shortage(balances).is_none() {
            return;
        }
        let mut candidates = self.movable_machines(balances, now).into_iter();
        while let Some(index) = largest_shortage(balances) {
            let spare = |source: Option<usize>| {
                source.is_none_or(|it| balances[it].supply > balances[it].required)
            };
            let Some(candidate) = candidates.find(|it| spare(it.source)) else {
                return;
            };
            let pool = balances[index].pool.clone();
            balances[index].supply += 1;
            if let Some(source) = candidate.source {
                balances[source].supply -= 1;
            }
            self.plan_move(&candidate.machine, pool, relocate, now);
        }
    }

    fn pool_balances(&mut self, now: Time) -> Vec<PoolBalance> {
        self.workers.refresh();
        let pools: Vec<PoolId> = self
            .catalog
            .pools
            .iter()
            .filter(|rule| !rule.standby)
            .map(|rule| rule.name.clone())
            .collect();
        let supplies = self.supplies(now);
        let replaced = self.pools_with_replacement();
        let mut balances = Vec::new();
        for pool in pools {
            let replacement = usize::from(replaced.contains(&pool));
            let supply = supplies.get(&pool).copied().unwrap_or_default();
            let mut required = self.required_machines(&pool, replacement, now);
            if let Some(hosts) = self.unplaced_hosts.get(&pool) {
                required = required.max(supply.machines - supply.arriving + hosts);
            }
            let recent_peak = self.demand_history.record(&pool, required, now);
            balances.push(PoolBalance {
                pool,
                required,
                recent_peak,
                supply: supply.machines,
            });
        }
        balances
    }

    /// Counts the machines that are in each pool, moving to it, or planned for it.
    fn supplies(&self, now: Time) -> BTreeMap<PoolId, Supply> {
        let mut supplies: BTreeMap<PoolId, Supply> = BTreeMap::new();
        for managed in self.machines.values() {
            let machine = &managed.machine;
            let in_service = now < managed.available_at || machine.state != MachineState::Down;
            let pool = match (&managed.planned_pool, &managed.order) {
                (Some(planned), _) => planned,
                (None, Some(Order::Move(target))) => target,
                _ if in_service => &machine.pool,
                _ => continue,
            };
            if !supplies.contains_key(pool) {
                supplies.insert(pool.clone(), Supply::default());
            }
            if let Some(supply) = supplies.get_mut(pool) {
                supply.machines += 1;
                supply.arriving += usize::from(self.is_arriving(managed, now));
            }
        }
        supplies
    }

    /// Returns whether a machine is on its way to a pool, or its worker there did not report yet.
    fn is_arriving(&self, managed: &ManagedMachine, now: Time) -> bool {
        let ordered = managed.planned_pool.is_some() || managed.order_active(now);
        let recent =
            managed.available_at > Time::ZERO && now < managed.available_at + REGISTRATION_TIMEOUT;
        let worker = self.workers.get(&managed.machine.worker);
        ordered || (recent && !worker.is_some_and(|it| it.has_reported))
    }

    /// Returns the number of machines that a pool's demand requires, with `replacement` more while
    /// long-running tasks have to leave a machine.
    fn required_machines(&self, pool: &PoolId, replacement: usize, now: Time) -> usize {
        let index = self.workers.pool(pool);
        let long_running = index.map(|it| it.long_running()).unwrap_or_default();
        let mut short = index.map(|it| it.short()).unwrap_or_default();
        let long_running_workers = index.map_or(0, |it| it.long_running_workers());
        let mut held_back = Size::default();
        let mut short_hosts = 0;
        let mut long_running_hosts = 0;
        if let Some(ready) = self.ready.get(pool) {
            let usable = self.usable_total(pool);
            short = short.plus(usable);
            held_back = ready.parked_total().plus(ready.total().minus(usable));
            short_hosts = ready.max_hosts(false);
            long_running_hosts = ready.max_hosts(true);
        }
        let size = self.machine_size(pool);
        // The forecast includes jobs that their caps hold back, in proportion to those of the open work.
        let open = short.millicores as f64;
        let usable = match held_back.millicores {
            0 => 1.0,
            held_back => open / (open + held_back as f64),
        };
        let forecast = self.forecast(pool, now) * 1e3 * usable;
        let cores = long_running.millicores as f64 + forecast.max(short.millicores as f64);
        let memory = (long_running.memory_mb + short.memory_mb) as f64;
        let machines = (cores / size.0).max(memory / size.1) / MAX_UTILIZATION;
        let machines = machines.ceil() as usize;
        machines
            .max(short_hosts.min(machines + MAX_SPREAD_MACHINES))
            .max(long_running_hosts)
            .max(long_running_workers + replacement)
            .max(MIN_MACHINES)
    }

    /// Returns the cores that the jobs of a pool's queues are expected to use.
    fn forecast(&self, pool: &PoolId, now: Time) -> f64 {
        let queues = self.demand.active_queues().filter(|name| {
            let queue = self.catalog.queue(name);
            queue.is_some_and(|it| it.pool == *pool)
        });
        queues
            .map(|name| self.demand.forecast(name, FORECAST_SECS, now))
            .sum()
    }

    /// Returns the millicores and the memory of a typical machine.
    fn machine_size(&self, pool: &PoolId) -> (f64, f64) {
        let own = self.workers.pool(pool).and_then(PoolIndex::mean_capacity);
        let any = own.or_else(|| self.workers.any_capacity());
        let capacity = any.unwrap_or_default();
        let at_least = |value: u64| (value as f64).max(1.0);
        (at_least(capacity.millicores), at_least(capacity.memory_mb))
    }

    /// Returns the pools that have a machine with long-running tasks that is due for maintenance.
    fn pools_with_replacement(&self) -> BTreeSet<PoolId> {
        let pending = self.maintenance.pending_machines();
        let due = pending.filter_map(|id| self.machines.get(id));
        let due = due.filter(|managed| {
            let worker = self.workers.get(&managed.machine.worker);
            worker.is_some_and(Worker::has_long_running)
        });
        due.map(|managed| managed.machine.pool.clone()).collect()
    }

    /// Returns the machines that may move to another pool, cheapest first: standby ones, then idle
    /// ones of pools with a surplus, then those that become idle soonest.
    fn movable_machines(&self, balances: &[PoolBalance], now: Time) -> Vec<Candidate> {
        let sources = balances.iter().enumerate();
        let sources: BTreeMap<&PoolId, (usize, bool)> = sources
            .map(|(index, it)| (&it.pool, (index, it.supply > it.required)))
            .collect();
        let mut candidates = Vec::new();
        for (id, managed) in &self.machines {
            let pool = &managed.machine.pool;
            let source = sources.get(pool);
            let standby = source.is_none() && self.catalog.is_standby(pool);
            if !standby && !source.is_some_and(|(_, surplus)| *surplus) {
                continue;
            }
            if !managed.is_available(now) || !self.may_order(id, now) {
                continue;
            }
            let cost = match self.workers.get(&managed.machine.worker) {
                None if standby => 0,
                None => continue,
                Some(worker) if worker.has_long_running() || worker.entry.draining => continue,
                Some(worker) => {
                    let remaining = |run: &RunState| u64::from(101 - run.percent.min(100));
                    worker.runs.values().map(remaining).sum::<u64>() + 1
                }
            };
            candidates.push(Candidate {
                cost,
                machine: id.clone(),
                source: source.map(|(index, _)| *index),
            });
        }
        candidates.sort();
        candidates
    }

    fn plan_move(&mut self, machine: &VmId, pool: PoolId, relocate: bool, now: Time) {
        let Some(managed) = self.machines.get_mut(machine) else {
            return;
        };
        let from = managed.machine.pool.clone();
        managed.planned_pool = Some(pool.clone());
        self.log(format!(
            "pools: machine {machine} is drained for its move from pool {from} to {pool}"
        ));
        self.advance_move(machine, relocate, now);
    }

    /// Continues planned moves and cancels those that the target pool no longer needs.
    fn advance_moves(&mut self, balances: &mut [PoolBalance], relocate: bool, now: Time) {
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
            self.advance_move(&id, relocate, now);
        }
    }

    /// Drains a machine with a planned move, and orders the move once it is drained.
    ///
    /// `relocate` allows stopping runs that resume elsewhere.
    fn advance_move(&mut self, id: &VmId, relocate: bool, now: Time) {
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
        if relocate {
            self.relocate_runs(&worker, now);
        }
        if self.drain(&worker, false, now) {
            if let Some(managed) = self.machines.get_mut(id) {
                managed.planned_pool = None;
            }
            self.send_order(id, Order::Move(pool), now);
        }
    }

    /// Stops the runs of a worker whose tasks resume from a checkpoint on another worker and still end
    /// in time, so that its machine is drained before they would end here.
    fn relocate_runs(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // Otherwise the tasks would come back to it.
        worker.cordoned = true;
        worker.cordoned_at = worker.cordoned_at.max(now);
        let runs = worker.runs.iter().filter(|(_, run)| {
            let confirmed = matches!(run.stage, Stage::Confirmed(_));
            confirmed && !run.long_running && run.suspicion == SuspicionLevel::None
        });
        let runs: Vec<(TaskId, u32)> = runs
            .map(|(task, run)| (task.clone(), run.percent))
            .collect();
        for (task, percent) in runs {
            if self.gains_by_relocation(&task, percent, now) && self.fits_elsewhere(&task, now) {
                self.log(format!(
                    "pools: {task} is stopped to drain worker {id} for a move"
                ));
                self.stop(id, &task, StopReason::Drain);
            }
        }
    }

    /// Returns whether some start waits for its record for so long that the store may be out.
    fn starts_stalled(&self, now: Time) -> bool {
        let runs = self.workers.values().flat_map(|it| it.runs.values());
        let mut reserved = runs.filter(|run| run.stage == Stage::Reserved);
        reserved.any(|run| now.saturating_sub(run.since) > STALLED_START)
    }

    /// Returns whether a run would end much later than it can be stopped, and its job is in time
    /// even if it resumes elsewhere.
    fn gains_by_relocation(&self, task: &TaskId, percent: u32, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job
            .step(task.step)
            .filter(|it| it.checkpointing && !it.gang)
        else {
            return false;
        };
        let Some(occurrence) = job.occurrences.get(&task.occurrence) else {
            return false;
        };
        let done = f64::from(percent.min(100)) / 100.0;
        let run_ms = self.demand.expected_ms(&job.row.queue, step) * (1.0 - done);
        let objective_ms = self
            .demand
            .objective_ms(&job.row, job.stretch_factor, job.objective);
        let rest_ms = self.demand.remaining_ms(&job.row, occurrence);
        let end_ms = self.wall_ms(now) + rest_ms + (run_ms + RELOCATION_MS) as i64;
        run_ms > MIN_RELOCATED_MS && end_ms <= occurrence.due_ms + objective_ms
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
        let excess = |balance: &PoolBalance| balance.supply > balance.recent_peak.max(MIN_MACHINES);
        if !balances.iter().any(excess) {
            return;
        }
        let open = self.machines.values().filter(|it| it.order.is_some());
        let mut left = MAX_OPEN_ORDERS.saturating_sub(open.count());
        let mut idle = self.idle_machines(now);
        for balance in balances {
            let machines = idle.remove(&balance.pool).unwrap_or_default();
            let mut machines = machines.into_iter().rev();
            while left > 0 && excess(balance) {
                let Some(machine) = machines.next() else {
                    break;
                };
                balance.supply -= 1;
                left -= 1;
                self.plan_move(&machine, target.clone(), false, now);
            }
        }
    }

    /// Returns the available machines without runs, by pool.
    fn idle_machines(&self, now: Time) -> BTreeMap<PoolId, Vec<VmId>> {
        let mut idle: BTreeMap<PoolId, Vec<VmId>> = BTreeMap::new();
        for (id, managed) in &self.machines {
            if !managed.is_available(now) || !self.may_order(id, now) {
                continue;
            }
            let worker = self.workers.get(&managed.machine.worker);
            if worker.is_some_and(|it| it.runs.is_empty() && it.has_reported) {
                let pool = managed.machine.pool.clone();
                idle.entry(pool).or_default().push(id.clone());
            }
        }
        idle
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
