//! Spare capacity that keeps the promises during maintenance and after the loss of a rack.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::ledger::Ledger;

/// Spare capacity of a fleet description in VMs: what it has, and what it requires with and without
/// sharing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Buffer {
    /// VMs that the fleet has beyond the promises of all pools.
    pub held: u32,
    /// VMs that maintenance may take out of service at the same time: the sum of the budgets.
    pub maintenance: u32,
    /// VMs of the largest rack of each region; the pools of a region share one such reserve through
    /// the spare pool.
    pub rack: u32,
    /// Requirement without sharing: each pool's budget and the most VMs it has in one rack.
    pub unshared: u32,
    /// Requirement with a spare rack in each pool on top of its budget.
    pub spare_racks: u32,
    /// Lower bound for any division of the reserve, see `docs/decisions/buffer.md`.
    pub bound: u32,
}

/// Returns the spare capacity that a fleet description has and requires.
///
/// The requirement is the sum over the regions, because capacity is not shared between regions.
/// Pools with regional budgets count in each region with the budget of that region.
pub fn assess(fleet: &Fleet) -> Buffer {
    let zones: BTreeMap<&str, &str> = fleet
        .rules
        .iter()
        .flat_map(|rules| &rules.zones)
        .map(|zone| (zone.name.as_str(), zone.region.as_str()))
        .collect();
    let regions: BTreeSet<&str> = zones.values().copied().collect();
    let mut total = Buffer::default();
    for region in regions {
        total.add(&assess_region(fleet, &zones, region));
    }
    total
}

impl Buffer {
    /// Returns the required VMs if all pools share one rack reserve through the spare pool.
    pub fn shared(&self) -> u32 {
        self.maintenance + self.rack
    }

    fn add(&mut self, other: &Self) {
        self.held += other.held;
        self.maintenance += other.maintenance;
        self.rack += other.rack;
        self.unshared += other.unshared;
        self.spare_racks += other.spare_racks;
        self.bound += other.bound;
    }
}

fn assess_region(fleet: &Fleet, zones: &BTreeMap<&str, &str>, region: &str) -> Buffer {
    let mut racks: BTreeMap<(&str, &str), BTreeMap<&str, u32>> = BTreeMap::new();
    let mut sizes: BTreeMap<&str, u32> = BTreeMap::new();
    let vms = fleet
        .inventory
        .iter()
        .filter(|vm| zones.get(vm.zone.as_str()) == Some(&region));
    for vm in vms {
        let rack = racks.entry((&vm.zone, &vm.rack)).or_default();
        *rack.entry(&vm.pool).or_default() += 1;
        *sizes.entry(&vm.pool).or_default() += 1;
    }
    let rack = racks
        .values()
        .map(|pools| pools.values().sum::<u32>())
        .max()
        .unwrap_or(0);
    let mut buffer = Buffer {
        rack,
        ..Buffer::default()
    };
    let mut rounds = 1;
    for pool in fleet.rules.iter().flat_map(|rules| &rules.pools) {
        let Some(&size) = sizes.get(pool.name.as_str()) else {
            continue;
        };
        let (budget, promised) = regional_limits(pool, region);
        let most_in_rack = racks
            .values()
            .filter_map(|pools| pools.get(pool.name.as_str()))
            .max()
            .copied()
            .unwrap_or(0);
        buffer.held += size.saturating_sub(promised);
        buffer.maintenance += budget;
        buffer.unshared += budget + most_in_rack;
        buffer.spare_racks += budget + rack;
        rounds = rounds.max(size.div_ceil(budget.max(1)));
    }
    // A wave that lasts as long as its slowest pool needs has this many VMs out of service on
    // average.
    let in_maintenance = sizes.values().sum::<u32>().div_ceil(rounds);
    buffer.bound = rack + in_maintenance;
    buffer
}

fn regional_limits(pool: &Pool, region: &str) -> (u32, u32) {
    if pool.budgets.is_empty() {
        return (pool.max_unavailable, pool.promised);
    }
    let part = pool.budgets.iter().find(|part| part.region == region);
    part.map_or((0, 0), |part| (part.max_unavailable, part.promised))
}

/// Active VMs by pool and rack, to check the promises against the loss of a rack.
///
/// The promises are kept if the spare pool has at least as many active VMs beyond its own promise
/// as the other pools together lack for theirs.
#[derive(Clone, Debug)]
pub struct Headroom {
    pools: Vec<PoolLevel>,
    spare: Option<usize>,
    racks: Vec<Vec<(usize, i64)>>,
    rack_lost: bool,
}

/// Active and promised VMs of a pool.
#[derive(Clone, Copy, Debug)]
struct PoolLevel {
    active: i64,
    promised: i64,
}

/// Pool and rack of a VM, as indexes into a [`Headroom`].
#[derive(Clone, Copy, Debug)]
pub struct Position {
    pool: usize,
    rack: usize,
}

impl Headroom {
    /// Counts the active VMs of a ledger; also returns the position of each VM, in ledger order.
    pub fn new(ledger: &Ledger) -> (Self, Vec<Position>) {
        let names: BTreeMap<&str, usize> = ledger
            .pools()
            .iter()
            .enumerate()
            .map(|(index, pool)| (pool.name.as_str(), index))
            .collect();
        let pools = ledger
            .pools()
            .iter()
            .map(|pool| PoolLevel {
                active: 0,
                promised: i64::from(pool.promised),
            })
            .collect();
        let mut headroom = Self {
            pools,
            spare: ledger.pools().iter().position(|pool| pool.spare),
            racks: Vec::new(),
            rack_lost: !lost_racks(ledger.vms()).is_empty(),
        };
        let mut racks: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut positions = Vec::with_capacity(ledger.vms().len());
        for vm in ledger.vms() {
            let next = racks.len();
            let rack = *racks.entry((&vm.zone, &vm.rack)).or_insert(next);
            if rack == next {
                headroom.racks.push(Vec::new());
            }
            let pool = names.get(vm.pool.as_str()).copied().unwrap_or(0);
            let position = Position { pool, rack };
            if vm.phase() == Phase::Active {
                headroom.adjust(position, 1);
            }
            positions.push(position);
        }
        (headroom, positions)
    }

    /// Removes an active VM from the count.
    pub fn remove(&mut self, position: Position) {
        self.adjust(position, -1);
    }

    /// Adds a VM to the count of active VMs.
    pub fn restore(&mut self, position: Position) {
        self.adjust(position, 1);
    }

    /// Returns whether every promise is kept, also after the loss of any one rack.
    ///
    /// While a rack is down, it already uses the reserve, so only the present promises are checked
    /// and not the loss of a further rack.
    pub fn promises_hold(&self) -> bool {
        let deficit = self.deficit();
        if deficit > self.surplus() {
            return false;
        }
        self.rack_lost
            || self
                .racks
                .iter()
                .all(|rack| self.survives_loss(rack, deficit))
    }

    fn survives_loss(&self, rack: &[(usize, i64)], deficit: i64) -> bool {
        let mut deficit = deficit;
        let mut surplus = self.surplus();
        for &(pool, count) in rack {
            if Some(pool) == self.spare {
                surplus -= count;
                continue;
            }
            let level = self.pools[pool];
            let before = (level.promised - level.active).max(0);
            let after = (level.promised - level.active + count).max(0);
            deficit += after - before;
        }
        deficit <= surplus
    }

    /// Returns how many active VMs the pools other than the spare pool lack for their promises.
    fn deficit(&self) -> i64 {
        self.pools
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != self.spare)
            .map(|(_, level)| (level.promised - level.active).max(0))
            .sum()
    }

    /// Returns how many active VMs the spare pool has beyond its promise; negative if it lacks some.
    fn surplus(&self) -> i64 {
        self.spare.map_or(0, |index| {
            let level = self.pools[index];
            level.active - level.promised
        })
    }

    fn adjust(&mut self, position: Position, change: i64) {
        if let Some(level) = self.pools.get_mut(position.pool) {
            level.active += change;
        }
        let rack = &mut self.racks[position.rack];
        match rack.iter_mut().find(|(pool, _)| *pool == position.pool) {
            Some((_, count)) => *count += change,
            None => rack.push((position.pool, change)),
        }
    }
}

/// Returns the racks, by zone and name, with at least two VMs and at least half of their VMs down.
pub fn lost_racks(vms: &[VmState]) -> BTreeSet<(&str, &str)> {
    let mut racks: BTreeMap<(&str, &str), (u32, u32)> = BTreeMap::new();
    for vm in vms {
        let (size, down) = racks.entry((&vm.zone, &vm.rack)).or_default();
        *size += 1;
        *down += u32::from(vm.phase() == Phase::Down);
    }
    racks
        .into_iter()
        .filter(|(_, (size, down))| *down >= 2 && down * 2 >= *size)
        .map(|(rack, _)| rack)
        .collect()
}
