//! Division of a fleet into partitions, each scheduled by one entry.
//!
//! A partition owns whole racks, with the machines and workers in them, and the jobs that were
//! accepted for it. [`Topology`] is what every entry knows of the division. Rules that keep it safe:
//!
//! - A rack changes its owner only by a write of the owner, while nothing runs on it and no order to
//!   one of its machines is recent. The revision of that write is the lowest fence of the new owner.
//! - The number of partitions never falls. A partition without racks gets no new jobs.
//! - A job changes its partition only by a write of the holder, while nothing of it runs: it stays in
//!   the one for which it was accepted unless no worker there can run it.

mod caps;
mod claim;
mod layout;
mod ownership;
mod wave;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::Step;
use crate::id::EntryId;
use crate::id::Fence;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ZoneId;

pub use crate::partition::caps::CapColumn;
pub use crate::partition::caps::CapHolder;
pub use crate::partition::caps::CapPart;
pub use crate::partition::caps::CapTable;
pub use crate::partition::claim::Claimant;
pub use crate::partition::claim::claim_delay;
pub use crate::partition::layout::FleetLoad;
pub use crate::partition::layout::Limits;
pub use crate::partition::layout::RackLoad;
pub use crate::partition::layout::is_uneven;
pub use crate::partition::layout::partition_count;
pub use crate::partition::layout::racks_to_give;
pub use crate::partition::ownership::Ownership;
pub use crate::partition::wave::WavePlan;

/// Number of a partition, from 0.
pub type Partition = u32;

/// Partition that owns every rack that no [`RackRow`] gives to another one.
///
/// Its holder also decides the number of partitions and the limits of maintenance waves.
pub const FIRST: Partition = 0;

/// Stored row: how the fleet is divided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LayoutRow {
    /// Number of partitions, at least 1.
    pub partitions: u32,
}

/// Stored row of a rack.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RackRow {
    /// Owner of the rack.
    pub partition: Partition,
    /// Labels of the machines in the rack when it got this owner.
    #[serde(default)]
    pub labels: BTreeSet<CompactString>,
}

/// Entry that schedules a partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the entry.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
}

/// Division of the fleet, as an entry knows it from the store.
///
/// ```
/// use wigeonhinge::partition::LayoutRow;
/// use wigeonhinge::partition::RackRow;
/// use wigeonhinge::partition::Topology;
///
/// let mut topology = Topology::default();
/// assert_eq!(topology.owner("r1"), (0, 0));
/// topology.set_layout(Some(LayoutRow { partitions: 2 }));
/// let row = RackRow { partition: 1, labels: Default::default() };
/// topology.set_rack("r1".into(), Some((row, 17)));
/// assert_eq!(topology.owner("r1"), (1, 17));
/// assert_eq!(topology.choose("5c0e7a21d94b36f8", "crews", &[]), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Topology {
    layout: Option<LayoutRow>,
    /// Racks with a row, and the revision of the row.
    racks: BTreeMap<RackId, (RackRow, Fence)>,
    holders: BTreeMap<Partition, Holder>,
    /// Pools that have no worker in a partition, by partition.
    absent: BTreeMap<Partition, BTreeSet<PoolId>>,
}

impl Topology {
    /// Applies the layout row, or its removal.
    pub fn set_layout(&mut self, row: Option<LayoutRow>) {
        self.layout = row;
    }

    /// Applies a rack's row with its revision, or its removal.
    pub fn set_rack(&mut self, rack: RackId, row: Option<(RackRow, Fence)>) {
        match row {
            Some(row) => self.racks.insert(rack, row),
            None => self.racks.remove(&rack),
        };
    }

    /// Applies a change of a partition's holder.
    pub fn set_holder(&mut self, partition: Partition, holder: Option<Holder>) {
        match holder {
            Some(holder) => self.holders.insert(partition, holder),
            None => self.holders.remove(&partition),
        };
    }

    /// Applies the pools for whose jobs a partition has no worker.
    pub fn set_absent(&mut self, partition: Partition, pools: BTreeSet<PoolId>) {
        self.absent.insert(partition, pools);
    }

    /// Returns the pools for whose jobs a partition has no worker.
    pub fn absent(&self, partition: Partition) -> BTreeSet<PoolId> {
        self.absent.get(&partition).cloned().unwrap_or_default()
    }

    /// Returns the number of partitions.
    pub fn partitions(&self) -> u32 {
        self.layout.map_or(1, |row| row.partitions.max(1))
    }

    /// Returns the holder of a partition, if it has one.
    pub fn holder(&self, partition: Partition) -> Option<&Holder> {
        self.holders.get(&partition)
    }

    /// Returns the partitions that an entry holds, in order.
    pub fn held_by(&self, entry: &str) -> Vec<Partition> {
        let holders = self.holders.iter();
        let own = holders.filter(|(_, it)| it.entry == entry);
        own.map(|(partition, _)| *partition).collect()
    }

    /// Returns the number of partitions that entries of an availability zone hold.
    pub fn held_in(&self, zone: &str) -> usize {
        self.holders.values().filter(|it| it.zone == zone).count()
    }

    /// Returns the owner of a rack, and the lowest fence with which it may give orders there.
    pub fn owner(&self, rack: &str) -> (Partition, Fence) {
        match self.racks.get(rack) {
            Some((row, revision)) => (row.partition, *revision),
            None => (FIRST, 0),
        }
    }

    /// Returns the partition for a new job of a pool: each gets a share of the jobs by its racks, of
    /// those near the job's data or with the label that the job requires if there are any. One without
    /// workers of the pool gets none while another has some.
    pub fn choose(&self, job: &str, pool: &str, steps: &[Step]) -> Partition {
        let has_pool = |row: &RackRow| {
            let absent = self.absent.get(&row.partition);
            !absent.is_some_and(|pools| pools.contains(pool))
        };
        let nowhere = !self.racks.values().any(|(row, _)| has_pool(row));
        let serves = |row: &RackRow| nowhere || has_pool(row);
        let near = steps.iter().find_map(|step| self.racks.get(&step.affinity));
        if let Some((row, _)) = near.filter(|(row, _)| serves(row)) {
            return row.partition;
        }
        let fits = |row: &RackRow| {
            let mut required = steps.iter().filter(|step| !step.requires.is_empty());
            required.all(|step| row.labels.contains(&step.requires))
        };
        let owners = |fitting: bool| -> Vec<Partition> {
            let rows = self.racks.values().map(|(row, _)| row);
            let rows = rows.filter(|row| serves(row) && (!fitting || fits(row)));
            rows.map(|row| row.partition).collect()
        };
        let mut candidates = owners(true);
        if candidates.is_empty() {
            candidates = owners(false);
        }
        pick(job, &candidates).unwrap_or(FIRST)
    }
}

/// Returns one of several partitions, the same one for a job each time.
pub fn pick(job: &str, partitions: &[Partition]) -> Option<Partition> {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    let index = hasher.finish().checked_rem(partitions.len() as u64)?;
    partitions.get(index as usize).copied()
}
