//! Racks that the holder of a partition may give orders to.

use std::collections::BTreeSet;

use crate::id::Fence;
use crate::id::RackId;
use crate::partition::Partition;
use crate::partition::Topology;

/// Racks of a partition in one term of its holder.
///
/// A term begins only once the holder's topology includes the term's own key: then it also includes
/// every rack that an earlier holder gave away.
///
/// ```
/// use wigeonhinge::partition::Ownership;
/// use wigeonhinge::partition::Topology;
///
/// let topology = Topology::default();
/// let mut ownership = Ownership::new(0, 17);
/// assert!(ownership.includes("r1", &topology));
/// assert_eq!(ownership.fence("r1", &topology), 17);
/// ownership.give("r1".into());
/// assert!(!ownership.includes("r1", &topology));
/// ```
#[derive(Clone, Debug)]
pub struct Ownership {
    partition: Partition,
    fence: Fence,
    /// Racks that this term gave to another partition, until the topology shows it.
    leaving: BTreeSet<RackId>,
}

impl Ownership {
    /// Creates the racks of a term with this fence.
    pub fn new(partition: Partition, fence: Fence) -> Self {
        Self {
            partition,
            fence,
            leaving: BTreeSet::new(),
        }
    }

    /// Returns whether a rack belongs to the partition and is not being given away.
    pub fn includes(&self, rack: &str, topology: &Topology) -> bool {
        !self.leaving.contains(rack) && topology.owner(rack).0 == self.partition
    }

    /// Returns the fence of orders to a rack: that of the term, or of the write with which the
    /// partition got the rack if that is later.
    pub fn fence(&self, rack: &str, topology: &Topology) -> Fence {
        self.fence.max(topology.owner(rack).1)
    }

    /// Records that a rack is about to be given to another partition.
    pub fn give(&mut self, rack: RackId) {
        self.leaving.insert(rack);
    }

    /// Returns whether racks are being given away.
    pub fn is_giving(&self) -> bool {
        !self.leaving.is_empty()
    }

    /// Applies a change of the topology.
    pub fn update(&mut self, topology: &Topology) {
        let partition = self.partition;
        let stays = |rack: &RackId| topology.owner(rack).0 == partition;
        self.leaving.retain(stays);
    }
}
