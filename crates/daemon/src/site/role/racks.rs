//! Racks of the partition: its workers and machines, and racks that pass to other partitions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use slog::info;
use slog::warn;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Machine;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::id::Fence;
use wigeonhinge::id::PoolId;
use wigeonhinge::id::RackId;
use wigeonhinge::id::VmId;
use wigeonhinge::partition::FIRST;
use wigeonhinge::partition::FleetLoad;
use wigeonhinge::partition::LayoutRow;
use wigeonhinge::partition::Limits;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::RackLoad;
use wigeonhinge::partition::RackRow;
use wigeonhinge::partition::is_uneven;
use wigeonhinge::partition::partition_count;
use wigeonhinge::partition::racks_to_give;
use wigeonhinge::workspace::Workspaces;

use crate::site::clock;
use crate::site::keys;
use crate::site::role::Role;

/// Time from the start of a term until its holder changes the number of partitions, if no jobs are
/// open, and otherwise. Meanwhile an entry with more resources may take over.
const LAYOUT_DELAY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(20));

/// Time for which an entry holds several partitions before it leaves one to another entry.
const SPREAD_DELAY: Duration = Duration::from_secs(5);

/// Time until an entry tries again to leave a partition to another entry.
const SPREAD_RETRY: Duration = Duration::from_secs(60);

/// Most racks that are given or recorded at once. Their rows fit into one write, beside a few others;
/// the division of 3,000 workers into 8 partitions takes some 30 such writes.
const RACKS_AT_ONCE: usize = 24;

/// Ticks between two steps of a division, 200 ms. Every entry reads each row of a rack as it is stored:
/// 300 entries make 1,500 reads a second of the 2,000 that a small store allows, and the store rejects
/// renewals of roles beyond that.
const DIVISION_TICKS: u64 = 4;

/// Machine of any partition.
#[derive(Debug)]
pub(super) struct KnownMachine {
    rack: RackId,
}

impl Role {
    /// Returns whether a rack belongs to this partition.
    pub(super) fn owns(&self, rack: &str) -> bool {
        let control = self.shared.control.borrow();
        self.ownership.includes(rack, &control.topology)
    }

    fn owner(&self, rack: &str) -> Partition {
        self.shared.control.borrow().topology.owner(rack).0
    }

    /// Returns the partition of a machine; a machine that is not listed counts as one of the first.
    pub(super) fn machine_owner(&self, machine: &VmId) -> Partition {
        let known = self.machines.get(machine);
        known.map_or(FIRST, |it| self.owner(&it.rack))
    }

    /// Returns the fence of orders to a rack.
    pub(super) fn rack_fence(&self, rack: &str) -> Fence {
        let control = self.shared.control.borrow();
        self.ownership.fence(rack, &control.topology)
    }

    pub(super) fn machine_fence(&self, machine: &VmId) -> Fence {
        let known = self.machines.get(machine);
        known.map_or(self.term.fence, |it| self.rack_fence(&it.rack))
    }

    /// Passes the machines of this partition to the scheduler.
    pub(super) fn update_machines(&mut self, list: Vec<Machine>) {
        let machines = list.iter().map(|it| {
            let rack = it.rack.clone();
            (it.id.clone(), KnownMachine { rack })
        });
        self.machines = machines.collect();
        let (own, foreign): (Vec<Machine>, Vec<Machine>) =
            list.into_iter().partition(|it| self.owns(&it.rack));
        let foreign: BTreeSet<VmId> = foreign.into_iter().map(|it| it.id).collect();
        self.apply(Event::ForeignMachines(foreign));
        self.apply(Event::Machines(own));
        self.drop_stale_handles();
        self.plan_waves();
    }

    /// Adopts the workers of racks that were given to this partition.
    pub(super) fn sync_racks(&mut self) {
        let partitions = {
            let control = self.shared.control.borrow();
            self.ownership.update(&control.topology);
            control.topology.partitions()
        };
        let entries: Vec<WorkerEntry> = self.registry.values().cloned().collect();
        for entry in entries {
            if self.owns(&entry.rack) && !self.batch.has_worker(&entry.id) {
                self.apply(Event::WorkerGained(entry.clone()));
                self.connect(&entry);
            }
        }
        let rate = self.shared.settings.machine_orders / f64::from(partitions);
        self.order_limiter.set_rate(rate);
    }

    /// Decides the number of partitions, and gives racks to partitions with fewer workers.
    pub(super) fn divide(&mut self) {
        let partitions = self.shared.control.borrow().topology.partitions();
        if self.term.partition == FIRST {
            self.update_layout(partitions);
        }
        if partitions > 1 && !self.ownership.is_giving() {
            self.dividing = self.give_racks(partitions);
        }
    }

    /// Goes on with a division once the racks that were given last have their new owners.
    pub(super) fn continue_division(&mut self) {
        let due = self.dividing && self.ticks.is_multiple_of(DIVISION_TICKS);
        if due && !self.ownership.is_giving() && self.extra_rows.is_empty() {
            self.divide();
        }
    }

    /// Gives up this partition if the entry holds others too, so that an entry without one takes it.
    ///
    /// If none does, this entry takes it again, and keeps it for a while.
    pub(super) fn spread(&mut self) {
        let now = clock::now();
        let shared = &self.shared;
        let young = now.saturating_sub(self.started_at) < SPREAD_DELAY;
        let tried = shared.spread_at.get();
        let recent = tried.is_some_and(|time| now.saturating_sub(time) < SPREAD_RETRY);
        let several = {
            let topology = &shared.control.borrow().topology;
            let held = topology.held_by(&shared.settings.entry);
            held.len() > 1 && held.last() == Some(&self.term.partition)
        };
        if several && !young && !recent {
            shared.spread_at.set(Some(now));
            self.lost_reason = Some("left to an entry that holds no partition".into());
        }
    }

    fn fleet_load(&self) -> FleetLoad {
        let catalog = self.shared.catalog.borrow();
        let workspaces = catalog.as_ref().and_then(|it| it.workspaces.as_ref());
        FleetLoad {
            machines: self.machines.len().max(self.registry.len()),
            job_rate: workspaces.map_or(0.0, Workspaces::total_weight),
        }
    }

    /// Raises the number of partitions if the fleet has outgrown it.
    fn update_layout(&mut self, partitions: u32) {
        let settings = &self.shared.settings;
        let limits = Limits {
            cores: settings.cores,
            link_mbps: settings.link_mbps,
        };
        let fleet = self.fleet_load();
        let wanted = partition_count(&fleet, limits);
        let delay = match self.batch.has_jobs() {
            true => LAYOUT_DELAY.1,
            false => LAYOUT_DELAY.0,
        };
        let age = clock::now().saturating_sub(self.started_at);
        if wanted <= partitions || age < delay {
            return;
        }
        info!(self.shared.log, "partitions: number changed"; "partitions" => wanted,
            "before" => partitions, "machines" => fleet.machines,
            "job_rate" => fleet.job_rate);
        // The others may begin as soon as the row is stored.
        self.divide_caps(wanted);
        let row = LayoutRow { partitions: wanted };
        self.queue_json(keys::LAYOUT.to_owned(), &row);
    }

    /// Gives racks to partitions with fewer workers; returns whether to look again soon.
    ///
    /// Racks that are being given have no holder until their rows are stored.
    fn give_racks(&mut self, partitions: u32) -> bool {
        let mut racks = self.rack_loads();
        let targets: BTreeSet<Partition> = {
            let control = self.shared.control.borrow();
            let all = 0..partitions;
            all.filter(|it| control.topology.holder(*it).is_some())
                .collect()
        };
        let from = self.term.partition;
        // Whether a rack is idle is looked up only if racks would be given at all.
        let mut gifts = match self.dividing || is_uneven(from, &targets, &racks) {
            true => racks_to_give(from, &targets, &racks, 1),
            false => Vec::new(),
        };
        if !gifts.is_empty() {
            let idle = self.idle_racks(&racks);
            for load in &mut racks {
                load.idle = idle.contains(&load.rack);
            }
            gifts = racks_to_give(from, &targets, &racks, RACKS_AT_ONCE);
        }
        if gifts.is_empty() {
            return from == FIRST && self.record_racks(&racks);
        }
        info!(self.shared.log, "partitions: racks are given"; "from" => from,
            "racks" => ?gifts);
        let given: BTreeSet<RackId> = gifts.iter().map(|(rack, _)| rack.clone()).collect();
        let mut labels = self.rack_labels(&given);
        self.batch.release_racks(&given);
        for (rack, partition) in gifts {
            let labels = labels.remove(&rack).unwrap_or_default();
            self.queue_json(keys::rack(&rack), &RackRow { partition, labels });
            self.ownership.give(rack);
        }
        self.drop_stale_handles();
        true
    }

    /// Returns the racks of this partition that can pass to another one now.
    fn idle_racks(&self, racks: &[RackLoad]) -> BTreeSet<RackId> {
        let own = racks.iter().filter(|it| it.idle);
        let own = own.map(|it| it.rack.clone()).collect();
        let mut idle = self.batch.idle_racks(&own, clock::now());
        for (worker, _) in self.workers.iter().filter(|(_, it)| !it.is_settled()) {
            if let Some(rack) = self.batch.rack_of(worker) {
                idle.remove(rack);
            }
        }
        idle
    }

    /// Returns all racks of the registry; those of this partition count as idle.
    fn rack_loads(&self) -> Vec<RackLoad> {
        let mut racks: BTreeMap<&RackId, RackLoad> = BTreeMap::new();
        for entry in self.registry.values().filter(|it| !it.rack.is_empty()) {
            let load = racks.entry(&entry.rack).or_insert_with(|| RackLoad {
                rack: entry.rack.clone(),
                partition: self.owner(&entry.rack),
                workers: BTreeMap::<PoolId, usize>::new(),
                idle: self.owns(&entry.rack),
            });
            *load.workers.entry(entry.pool.clone()).or_default() += 1;
        }
        racks.into_values().collect()
    }

    /// Stores rows of racks that the first partition keeps, so that entries choose it for jobs;
    /// returns whether some are left.
    fn record_racks(&mut self, racks: &[RackLoad]) -> bool {
        let unrecorded: Vec<RackId> = {
            let topology = &self.shared.control.borrow().topology;
            let own = racks.iter().map(|it| &it.rack);
            own.filter(|it| topology.owner(it) == (FIRST, 0) && self.owns(it))
                .cloned()
                .collect()
        };
        let left = unrecorded.len() > RACKS_AT_ONCE;
        let some: BTreeSet<RackId> = unrecorded.into_iter().take(RACKS_AT_ONCE).collect();
        for (rack, labels) in self.rack_labels(&some) {
            let partition = FIRST;
            self.queue_json(keys::rack(&rack), &RackRow { partition, labels });
        }
        left
    }

    fn rack_labels(&self, racks: &BTreeSet<RackId>) -> BTreeMap<RackId, BTreeSet<CompactString>> {
        let mut labels: BTreeMap<RackId, BTreeSet<CompactString>> = BTreeMap::new();
        for entry in self.registry.values().filter(|it| racks.contains(&it.rack)) {
            let rack = labels.entry(entry.rack.clone()).or_default();
            rack.extend(entry.labels.iter().cloned());
        }
        labels
    }

    /// Queues a row that is encoded as JSON.
    pub(super) fn queue_json(&mut self, key: String, row: &impl serde::Serialize) {
        match serde_json::to_vec(row) {
            Ok(value) => self.queue_row(key, value),
            Err(error) => {
                warn!(self.shared.log, "role: a row cannot be encoded, not storing it";
                    "key" => key, "error" => %error);
            }
        }
    }
}
