//! Racks that pass to another partition.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::MachineState;
use crate::id::RackId;
use crate::id::Time;
use crate::id::VmId;

/// Time added to the platform's bound between orders of two holders, for the delay of answers.
const REST_SLACK: Duration = Duration::from_millis(500);

impl Batch {
    /// Returns which of some racks can pass to another partition: no run may exist on their workers,
    /// all results from there are stored, no order to their machines is open or recent, and no
    /// maintenance wave is active.
    ///
    /// The next owner may then give orders at once, and acknowledges ends of jobs that it does not know. One pass over workers and machines answers for
    /// all racks: at 3,000 workers a pass for each rack blocks the holder for longer than its lease.
    pub fn idle_racks(&self, racks: &BTreeSet<RackId>, now: Time) -> BTreeSet<RackId> {
        if self.maintenance.active() {
            return BTreeSet::new();
        }
        let rest = self.bounds.order_lease + REST_SLACK;
        let mut idle = racks.clone();
        for worker in self.workers.values() {
            if !worker.runs.is_empty() || worker.has_unknown_runs || worker.has_unstored_ends() {
                idle.remove(&worker.entry.rack);
            }
        }
        for (id, managed) in &self.machines {
            let rests = managed.machine.state != MachineState::Moving
                && managed.planned_pool.is_none()
                && managed.rested(rest, now)
                && self.may_order(id, now);
            if !rests {
                idle.remove(&managed.machine.rack);
            }
        }
        idle
    }

    /// Removes the workers and machines of racks that pass to other partitions.
    pub fn release_racks(&mut self, racks: &BTreeSet<RackId>) {
        for id in self.workers.select(|it| racks.contains(&it.entry.rack)) {
            self.workers.remove(&id);
        }
        self.machines
            .retain(|_, it| !racks.contains(&it.machine.rack));
    }

    /// Returns the rack of a worker, if the worker is known.
    pub fn rack_of(&self, worker: &str) -> Option<&RackId> {
        self.workers.get(worker).map(|it| &it.entry.rack)
    }

    /// Returns whether a machine is known, so that its orders are this partition's.
    pub fn manages(&self, machine: &VmId) -> bool {
        self.machines.contains_key(machine)
    }
}
