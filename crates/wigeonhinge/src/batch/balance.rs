//! Which machines work in which pool: demand decides, within the price of moves.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::pools::Order;
use crate::batch::worker::Worker;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

/// Share of a pool's capacity that its demand may fill before it asks for a machine.
const FILL: f64 = 0.92;

/// Time for which a demand is remembered, so that a short lull gives no machine away.
///
/// A machine that stays away for 3 s has paid for its move.
const MEMORY: Duration = Duration::from_millis(2_000);

/// Time ahead for which a rising demand is extrapolated; a move takes about that long.
const LEAD: f64 = 1.2;

/// Machines beyond its demand that a pool asks for because short tasks keep apart;
/// a job earns as much as about five moves cost.
const APART: usize = 3;

/// Machines that a pool keeps if it has a queue.
const LEAST: usize = 1;

/// Demand of the pools over the last moments.
#[derive(Debug, Default)]
pub(super) struct Needs {
    recent: BTreeMap<PoolId, VecDeque<(Time, usize)>>,
}

impl Needs {
    /// Notes a pool's need and returns the highest recent one.
    fn note(&mut self, pool: &PoolId, need: usize, now: Time) -> usize {
        let recent = self.recent.entry(pool.clone()).or_default();
        recent.push_back((now, need));
        while recent
            .front()
            .is_some_and(|(time, _)| now.saturating_sub(*time) > MEMORY)
        {
            recent.pop_front();
        }
        recent.iter().map(|(_, need)| *need).max().unwrap_or(need)
    }
}

/// A pool's demand and supply in machines.
#[derive(Debug)]
struct Standing {
    pool: PoolId,
    /// Machines that the present demand needs.
    need: usize,
    /// Machines that it needed lately.
    recent: usize,
    /// Machines that it has or that are on their way.
    supply: usize,
}

impl Standing {
    fn shortage(&self) -> usize {
        self.need.saturating_sub(self.supply)
    }
}

impl Batch {
    /// Moves machines to the pools whose work waits, and parks idle ones.
    pub(super) fn balance(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let mut standings = self.standings(now);
        self.follow_plans(&mut standings, now);
        while let Some(index) = neediest(&standings) {
            let pool = standings[index].pool.clone();
            let Some((machine, donor)) = self.donor(&standings, now) else {
                break;
            };
            standings[index].supply += 1;
            if let Some(donor) = donor {
                standings[donor].supply -= 1;
            }
            self.plan(&machine, pool, now);
        }
        self.park(&mut standings, now);
    }

    fn standings(&mut self, now: Time) -> Vec<Standing> {
        let pools: Vec<PoolId> = self
            .catalog
            .pools
            .iter()
            .filter(|rule| !rule.standby)
            .map(|rule| rule.name.clone())
            .collect();
        let mut standings = Vec::new();
        for pool in pools {
            let need = self.need(&pool, now);
            let recent = self.needs.note(&pool, need, now);
            let supply = self.supply(&pool, now);
            standings.push(Standing {
                pool,
                need,
                recent,
                supply,
            });
        }
        standings
    }

    /// Counts the machines that work in a pool, are on their way to it, or are promised to it.
    fn supply(&self, pool: &PoolId, now: Time) -> usize {
        let counts = |held: &&super::pools::Held| match (&held.plan, &held.order) {
            (Some(plan), _) => plan == pool,
            (None, Some(Order::Move(target))) => target == pool,
            _ => {
                held.machine.pool == *pool
                    && (now < held.back || held.machine.state != MachineState::Down)
            }
        };
        self.machines.values().filter(counts).count()
    }

    /// Returns the machines that a pool's demand needs.
    fn need(&self, pool: &PoolId, now: Time) -> usize {
        let workers = self.workers.values().filter(|it| it.entry.pool == *pool);
        let mut lasting = (0, 0);
        let mut short = (0, 0);
        let mut anchors = 0;
        for worker in workers {
            anchors += usize::from(worker.anchored());
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
        let machines = (cores / size.0).max(memory / size.1) / FILL;
        let leaving = usize::from(self.anchor_leaves(pool));
        let machines = machines.ceil() as usize;
        machines
            .max(apart.min(machines + APART))
            .max(lasting_apart)
            .max(anchors + leaving)
            .max(LEAST)
    }

    /// Returns the cores that a pool's queues are expected to keep busy.
    fn forecast(&self, pool: &PoolId, now: Time) -> f64 {
        let queues = self.catalog.queues().filter(|it| it.pool == *pool);
        queues
            .map(|queue| self.demand.forecast(&queue.name, LEAD, now))
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
    fn anchor_leaves(&self, pool: &PoolId) -> bool {
        self.machines.values().any(|held| {
            let worker = self.workers.get(&held.machine.worker);
            held.machine.pool == *pool
                && self.upkeep.wants(&held.machine.id)
                && worker.is_some_and(Worker::anchored)
        })
    }

    /// Chooses the machine that costs least to take: parked ones, then idle
    /// ones of pools with more than they need, then those that are idle soonest.
    fn donor(&self, standings: &[Standing], now: Time) -> Option<(VmId, Option<usize>)> {
        let mut best: Option<(u64, VmId, Option<usize>)> = None;
        for (id, held) in &self.machines {
            if !held.free(now) || !self.may_order(id, now) {
                continue;
            }
            let parked = self.catalog.is_standby(&held.machine.pool);
            let index = standings.iter().position(|it| it.pool == held.machine.pool);
            let spare = index.is_some_and(|it| standings[it].supply > standings[it].need);
            if !parked && !spare {
                continue;
            }
            let cost = match self.workers.get(&held.machine.worker) {
                None if parked => 0,
                None => continue,
                Some(worker) if worker.anchored() || worker.entry.draining => continue,
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

    fn plan(&mut self, machine: &VmId, pool: PoolId, now: Time) {
        let Some(held) = self.machines.get_mut(machine) else {
            return;
        };
        let from = held.machine.pool.clone();
        held.plan = Some(pool.clone());
        self.note(format!(
            "pools: machine {machine} is to move from {from} to {pool}"
        ));
        self.follow_plan(machine, now);
    }

    /// Goes on with decided moves; drops those that nobody needs any more.
    fn follow_plans(&mut self, standings: &mut [Standing], now: Time) {
        let planned = self.machines.iter().filter(|(_, it)| it.plan.is_some());
        let planned: Vec<VmId> = planned.map(|(id, _)| id.clone()).collect();
        for id in planned {
            let Some(held) = self.machines.get_mut(&id) else {
                continue;
            };
            let target = held.plan.clone();
            let standing = standings
                .iter_mut()
                .find(|it| Some(&it.pool) == target.as_ref());
            if let Some(standing) = standing
                && standing.supply > standing.recent
            {
                standing.supply -= 1;
                held.plan = None;
                continue;
            }
            self.follow_plan(&id, now);
        }
    }

    /// Empties a machine that is to move, and orders the move once it is empty.
    fn follow_plan(&mut self, id: &VmId, now: Time) {
        let Some(held) = self.machines.get(id) else {
            return;
        };
        let Some(pool) = held.plan.clone() else {
            return;
        };
        if held.busy(now) || held.outdated() || held.machine.state != MachineState::Up {
            return;
        }
        if !self.worker_certain(held, now) {
            return;
        }
        let worker = held.machine.worker.clone();
        let anchored = self.workers.get(&worker).is_some_and(Worker::anchored);
        if anchored {
            if let Some(held) = self.machines.get_mut(id) {
                held.plan = None;
            }
            return;
        }
        if self.clear(&worker, false, now) {
            if let Some(held) = self.machines.get_mut(id) {
                held.plan = None;
            }
            self.order(id, Order::Move(pool));
        }
    }

    /// Parks idle machines of pools that lately needed fewer.
    fn park(&mut self, standings: &mut [Standing], now: Time) {
        if !self.demand.known(now) {
            return;
        }
        let target = self.catalog.pools.iter().find(|rule| rule.standby);
        let Some(target) = target.map(|rule| rule.name.clone()) else {
            return;
        };
        for standing in standings {
            let mut idle: Vec<VmId> = self
                .machines
                .iter()
                .filter(|(_, held)| held.machine.pool == standing.pool && held.free(now))
                .filter(|(id, _)| self.may_order(id, now))
                .filter(|(_, held)| {
                    let worker = self.workers.get(&held.machine.worker);
                    worker.is_some_and(|it| it.runs.is_empty() && it.listed)
                })
                .map(|(id, _)| id.clone())
                .collect();
            while standing.supply > standing.recent.max(LEAST) {
                let Some(machine) = idle.pop() else {
                    break;
                };
                standing.supply -= 1;
                self.plan(&machine, target.clone(), now);
            }
        }
    }
}

/// Returns the pool that lacks the largest share of what it needs.
fn neediest(standings: &[Standing]) -> Option<usize> {
    let lacking = standings
        .iter()
        .enumerate()
        .filter(|(_, it)| it.shortage() > 0);
    lacking
        .max_by_key(|(_, it)| it.shortage() * 1_000 / it.need.max(1))
        .map(|(index, _)| index)
}
