//! Division of a maintenance wave's limit among partitions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::partition::Partition;

/// Stored plan of a wave: how many of its machines each partition may have down at a time.
///
/// The sum of the shares never exceeds the wave's limit. A partition's share falls only to zero, and
/// only once the partition reported that all its machines of the wave are back in service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WavePlan {
    /// Deadline as Unix time in milliseconds.
    pub due_ms: i64,
    /// Share of each partition.
    pub shares: BTreeMap<Partition, usize>,
}

impl WavePlan {
    /// Divides a limit by the machines of the wave that each partition has.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use wigeonhinge::partition::WavePlan;
    ///
    /// let machines = BTreeMap::from([(0, 10), (1, 5)]);
    /// let plan = WavePlan::new(60_000, 3, &machines);
    /// assert_eq!(plan.shares, BTreeMap::from([(0, 2), (1, 1)]));
    /// ```
    pub fn new(due_ms: i64, limit: usize, machines: &BTreeMap<Partition, usize>) -> Self {
        let mut plan = Self {
            due_ms,
            shares: machines.keys().map(|it| (*it, 0)).collect(),
        };
        plan.divide(limit, machines, &BTreeSet::new());
        plan
    }

    /// Passes the shares of partitions whose machines are all back in service to the others;
    /// returns whether the plan changed.
    pub fn redivide(
        &mut self,
        limit: usize,
        machines: &BTreeMap<Partition, usize>,
        finished: &BTreeSet<Partition>,
    ) -> bool {
        let before = self.shares.clone();
        for partition in finished {
            self.shares.insert(*partition, 0);
        }
        for partition in machines.keys() {
            self.shares.entry(*partition).or_insert(0);
        }
        self.divide(limit, machines, finished);
        self.shares != before
    }

    /// Adds what is left of the limit to the shares, each time where a share is smallest for the
    /// number of machines.
    fn divide(
        &mut self,
        limit: usize,
        machines: &BTreeMap<Partition, usize>,
        finished: &BTreeSet<Partition>,
    ) {
        let used: usize = self.shares.values().sum();
        for _ in used..limit {
            let open = self.shares.iter_mut().filter_map(|(partition, share)| {
                let count = machines.get(partition).copied().unwrap_or(0);
                (!finished.contains(partition) && *share < count).then_some((share, count))
            });
            let smallest = open.min_by(|(a, many), (b, few)| {
                let load = |share: usize, count: usize| (share as f64 + 1.0) / count as f64;
                load(**a, *many).total_cmp(&load(**b, *few))
            });
            match smallest {
                Some((share, _)) => *share += 1,
                None => return,
            }
        }
    }
}
