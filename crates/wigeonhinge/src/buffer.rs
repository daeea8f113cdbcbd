//! Capacity held back to keep the promises during maintenance and the loss of a rack.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::ledger::Ledger;

/// Capacity in VMs that a fleet description holds back or needs to hold back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Buffer {
    /// VMs beyond the promises of all pools.
    pub held: u32,
    /// VMs that maintenance may take out of service at the same time: the sum of the budgets.
    pub maintenance: u32,
    /// VMs of the largest rack of each region, held once and shared through the spare pool.
    pub rack: u32,
    /// Need without sharing: every pool holds its budget and the most VMs it has in one rack.
    pub unshared: u32,
    /// Need with a spare rack in each pool on top of its budget.
    pub spare_racks: u32,
    /// Lower bound for any division of the reserve, see `docs/decisions/buffer.md`.
    pub bound: u32,
}

/// Returns the capacity held back and needed by a fleet description.
///
/// Pools with parts for regions count once for each region, since capacity is not shared between
/// regions.
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
        total.add(&region_need(fleet, &zones, region));
    }
    total
}

impl Buffer {
    /// Returns the need with the rack reserve shared through the spare pool.
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

fn region_need(fleet: &Fleet, zones: &BTreeMap<&str, &str>, region: &str) -> Buffer {
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
        let (budget, promised) = part(pool, region);
        let worst = racks
            .values()
            .filter_map(|pools| pools.get(pool.name.as_str()))
            .max()
            .copied()
            .unwrap_or(0);
        buffer.held += size.saturating_sub(promised);
        buffer.maintenance += budget;
        buffer.unshared += budget + worst;
        buffer.spare_racks += budget + rack;
        rounds = rounds.max(size.div_ceil(budget.max(1)));
    }
    // At the pace of the slowest pool, this many VMs are out of service on average.
    let pace = sizes.values().sum::<u32>().div_ceil(rounds);
    buffer.bound = rack + pace;
    buffer
}

fn part(pool: &Pool, region: &str) -> (u32, u32) {
    if pool.budgets.is_empty() {
        return (pool.max_unavailable, pool.promised);
    }
    let part = pool.budgets.iter().find(|part| part.region == region);
    part.map_or((0, 0), |part| (part.max_unavailable, part.promised))
}

/// Active VMs by pool and rack, to ask what the loss of a rack leaves.
///
/// Every pool keeps its promise when what the others lack fits into what the spare pool has beyond
/// its own promise.
#[derive(Clone, Debug)]
pub struct Headroom {
    pools: Vec<Stock>,
    spare: Option<usize>,
    racks: Vec<Vec<(usize, i64)>>,
    lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct Stock {
    active: i64,
    promised: i64,
}

/// Place of a VM in a [`Headroom`].
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    pool: usize,
    rack: usize,
}

impl Headroom {
    /// Counts the active VMs of a ledger and returns the place of each VM.
    pub fn new(ledger: &Ledger) -> (Self, Vec<Slot>) {
        let names: BTreeMap<&str, usize> = ledger
            .pools()
            .iter()
            .enumerate()
            .map(|(index, pool)| (pool.name.as_str(), index))
            .collect();
        let pools = ledger
            .pools()
            .iter()
            .map(|pool| Stock {
                active: 0,
                promised: i64::from(pool.promised),
            })
            .collect();
        let mut headroom = Self {
            pools,
            spare: ledger.pools().iter().position(|pool| pool.spare),
            racks: Vec::new(),
            lost: !lost_racks(ledger.vms()).is_empty(),
        };
        let mut racks: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut slots = Vec::with_capacity(ledger.vms().len());
        for vm in ledger.vms() {
            let next = racks.len();
            let rack = *racks.entry((&vm.zone, &vm.rack)).or_insert(next);
            if rack == next {
                headroom.racks.push(Vec::new());
            }
            let pool = names.get(vm.pool.as_str()).copied().unwrap_or(0);
            let slot = Slot { pool, rack };
            if vm.phase() == Phase::Active {
                headroom.count(slot, 1);
            }
            slots.push(slot);
        }
        (headroom, slots)
    }

    /// Takes an active VM out of the count.
    pub fn remove(&mut self, slot: Slot) {
        self.count(slot, -1);
    }

    /// Takes an inactive VM into the count.
    pub fn restore(&mut self, slot: Slot) {
        self.count(slot, 1);
    }

    /// Returns whether every promise is kept, also after the loss of any one rack.
    ///
    /// While a rack is lost, the reserve is in use for it, and the promises have to hold as things
    /// stand.
    pub fn holds(&self) -> bool {
        let lack = self.lack();
        if lack > self.surplus() {
            return false;
        }
        self.lost || self.racks.iter().all(|rack| self.survives(rack, lack))
    }

    fn survives(&self, rack: &[(usize, i64)], lack: i64) -> bool {
        let mut lack = lack;
        let mut surplus = self.surplus();
        for &(pool, count) in rack {
            if Some(pool) == self.spare {
                surplus -= count;
                continue;
            }
            let stock = self.pools[pool];
            let before = (stock.promised - stock.active).max(0);
            let after = (stock.promised - stock.active + count).max(0);
            lack += after - before;
        }
        lack <= surplus
    }

    /// Returns what the pools other than the spare pool lack.
    fn lack(&self) -> i64 {
        self.pools
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != self.spare)
            .map(|(_, stock)| (stock.promised - stock.active).max(0))
            .sum()
    }

    /// Returns what the spare pool has beyond its promise.
    fn surplus(&self) -> i64 {
        self.spare.map_or(0, |index| {
            let stock = self.pools[index];
            stock.active - stock.promised
        })
    }

    fn count(&mut self, slot: Slot, change: i64) {
        if let Some(stock) = self.pools.get_mut(slot.pool) {
            stock.active += change;
        }
        let rack = &mut self.racks[slot.rack];
        match rack.iter_mut().find(|(pool, _)| *pool == slot.pool) {
            Some((_, count)) => *count += change,
            None => rack.push((slot.pool, change)),
        }
    }
}

/// Returns the racks, by zone and name, of which at least two VMs and half of all are down.
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
