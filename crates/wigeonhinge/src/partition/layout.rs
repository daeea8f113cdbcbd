//! Number of partitions, and the racks that a partition gives to another one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::PoolId;
use crate::id::RackId;
use crate::partition::Partition;

/// Jobs a second that workspaces are entitled to, in a partition, for each core of its holder. A job has
/// some 13 tasks, a core starts 4,000 tasks a second, and at a time workspaces use about half of what
/// they are entitled to.
const JOBS_PER_CORE: f64 = 600.0;

/// Least machines of a partition that is made for the sake of workspaces' jobs. Partitions of 44 machines
/// lacked workers in pools for which they had accepted jobs, and those jobs never ran.
const MIN_MACHINES: f64 = 100.0;

/// Least cores that the number of partitions is decided from. The number never falls, and smaller
/// entries hold partition 0 only while the others are away.
const MIN_CORES: f64 = 0.25;

/// Most machines of a partition: a holder takes part in five calls and two rows for each task, and
/// 350 machines need up to 0.19 cores.
const MAX_MACHINES: f64 = 400.0;

/// Machines of a partition for each core of its holder, at about half of the processor.
const MACHINES_PER_CORE: f64 = 1_600.0;

/// Machines of a partition for each Mbit/s of its holder's link, at about half of the link; a task
/// takes 1.5 to 2 KB.
const MACHINES_PER_MBPS: f64 = 36.0;

/// Difference in workers between two partitions below which no rack is given.
const MIN_IMBALANCE: usize = 2;

/// Share of a partition's workers by which another one must be behind before a division begins, as
/// its reciprocal. Idle machines that move between pools change the numbers by less all the time, and
/// each rack that is given is read by every entry.
const UNEVEN_SHARE: usize = 8;

/// Resources of an entry that holds a partition.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Processor time in cores.
    pub cores: f64,
    /// Rate of the network link in Mbit/s.
    pub link_mbps: f64,
}

/// What the holders of all partitions together have to carry.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLoad {
    /// Number of machines.
    pub machines: usize,
    /// Jobs a second that workspaces are entitled to; 0 if there are none.
    pub job_rate: f64,
}

/// Returns into how many partitions a fleet is divided, so that an entry with such limits carries
/// one of them.
///
/// ```
/// use wigeonhinge::partition::FleetLoad;
/// use wigeonhinge::partition::Limits;
/// use wigeonhinge::partition::partition_count;
///
/// let limits = Limits { cores: 0.5, link_mbps: 200.0 };
/// let fleet = |machines| FleetLoad { machines, ..FleetLoad::default() };
/// assert_eq!(partition_count(&fleet(350), limits), 1);
/// assert_eq!(partition_count(&fleet(1_100), limits), 3);
/// ```
pub fn partition_count(fleet: &FleetLoad, limits: Limits) -> u32 {
    let share = MAX_MACHINES
        .min(MACHINES_PER_CORE * limits.cores)
        .min(MACHINES_PER_MBPS * limits.link_mbps)
        .max(1.0);
    let by_machines = fleet.machines as f64 / share;
    let by_jobs = fleet.job_rate / (JOBS_PER_CORE * limits.cores.max(MIN_CORES));
    let most = (fleet.machines as f64 / MIN_MACHINES).floor();
    let count = by_machines.ceil().max(by_jobs.ceil().min(most));
    count.max(1.0) as u32
}

/// Rack with its owner and load.
#[derive(Clone, Debug)]
pub struct RackLoad {
    /// Name of the rack.
    pub rack: RackId,
    /// Partition that owns it.
    pub partition: Partition,
    /// Workers by pool.
    pub workers: BTreeMap<PoolId, usize>,
    /// Whether it can change its owner now.
    pub idle: bool,
}

impl RackLoad {
    fn total(&self) -> usize {
        self.workers.values().sum()
    }
}

/// Workers of one partition.
#[derive(Debug, Default)]
struct PartitionLoad {
    total: usize,
    pools: BTreeMap<PoolId, usize>,
}

impl PartitionLoad {
    fn add(&mut self, rack: &RackLoad) {
        self.total += rack.total();
        for (pool, count) in &rack.workers {
            *self.pools.entry(pool.clone()).or_default() += count;
        }
    }

    fn remove(&mut self, rack: &RackLoad) {
        self.total -= rack.total();
        for (pool, count) in &rack.workers {
            if let Some(workers) = self.pools.get_mut(pool) {
                *workers -= count;
            }
        }
    }

    fn workers(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).copied().unwrap_or(0)
    }
}

/// Returns whether partition `from` has so many more workers than one of `targets` that it should
/// give racks until both are even.
///
/// ```
/// use std::collections::BTreeMap;
/// use wigeonhinge::partition::RackLoad;
/// use wigeonhinge::partition::is_uneven;
///
/// let rack = |partition, workers| RackLoad {
///     rack: format!("r{partition}").into(),
///     partition,
///     workers: BTreeMap::from([("quoting".into(), workers)]),
///     idle: true,
/// };
/// let targets = [0, 1].into();
/// assert!(is_uneven(0, &targets, &[rack(0, 400), rack(1, 340)]));
/// assert!(!is_uneven(0, &targets, &[rack(0, 400), rack(1, 370)]));
/// ```
pub fn is_uneven(from: Partition, targets: &BTreeSet<Partition>, racks: &[RackLoad]) -> bool {
    let mut totals: BTreeMap<Partition, usize> = targets.iter().map(|it| (*it, 0)).collect();
    for rack in racks {
        *totals.entry(rack.partition).or_default() += rack.total();
    }
    let own = totals.get(&from).copied().unwrap_or(0);
    let least = targets.iter().filter_map(|it| totals.get(it)).min();
    least.is_some_and(|least| (own.saturating_sub(*least)) * UNEVEN_SHARE > own)
}

/// Returns up to `limit` racks that partition `from` should give to those in `targets`, with their
/// new owners, so that the workers of each pool are spread evenly.
pub fn racks_to_give(
    from: Partition,
    targets: &BTreeSet<Partition>,
    racks: &[RackLoad],
    limit: usize,
) -> Vec<(RackId, Partition)> {
    let mut loads: BTreeMap<Partition, PartitionLoad> = BTreeMap::new();
    for partition in targets.iter().copied().chain([from]) {
        loads.entry(partition).or_default();
    }
    for rack in racks {
        loads.entry(rack.partition).or_default().add(rack);
    }
    let own = racks.iter().filter(|it| it.partition == from && it.idle);
    let mut own: Vec<&RackLoad> = own.collect();
    let mut gifts = Vec::new();
    while gifts.len() < limit {
        let least = loads.iter().filter(|(it, _)| targets.contains(*it));
        let Some(target) = least.min_by_key(|(_, load)| load.total).map(|(it, _)| *it) else {
            break;
        };
        if target == from {
            break;
        }
        let (mine, theirs) = (&loads[&from], &loads[&target]);
        let surplus = mine.total.saturating_sub(theirs.total);
        let evens_out = |rack: &RackLoad| surplus >= 2 * rack.total().max(MIN_IMBALANCE);
        let pool_surplus = |rack: &RackLoad| {
            let surplus = |pool| mine.workers(pool) as i64 - theirs.workers(pool) as i64;
            rack.workers.keys().map(surplus).max().unwrap_or(0)
        };
        let candidates = own.iter().enumerate().filter(|(_, rack)| evens_out(rack));
        let best = candidates.max_by_key(|(_, rack)| pool_surplus(rack));
        let Some(index) = best.map(|(index, _)| index) else {
            break;
        };
        let rack = own.remove(index);
        if let Some(load) = loads.get_mut(&from) {
            load.remove(rack);
        }
        if let Some(load) = loads.get_mut(&target) {
            load.add(rack);
        }
        gifts.push((rack.rack.clone(), target));
    }
    gifts
}
