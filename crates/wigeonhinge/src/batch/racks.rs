//! Racks that pass to another partition.

use std::time::Duration;

use crate::batch::Batch;
use crate::batch::MachineState;
use crate::batch::WorkerId;
use crate::id::RackId;
use crate::id::Time;
use crate::id::VmId;

/// Time added to the platform's bound between orders of two holders, for the delay of answers.
const REST_SLACK: Duration = Duration::from_millis(500);

impl Batch {
    /// Returns whether a rack can pass to another partition: no run may exist on its workers, no
    /// order to its machines is open or recent, and no maintenance wave is active.
    ///
    /// The next owner may then give orders at once.
    pub fn rack_idle(&self, rack: &str, now: Time) -> bool {
        let rest = self.bounds.order_lease + REST_SLACK;
        let mut workers = self.workers.values().filter(|it| it.entry.rack == rack);
        let mut machines = self.machines.iter();
        !self.maintenance.active()
            && workers.all(|worker| worker.runs.is_empty() && !worker.has_unknown_runs)
            && machines.all(|(id, managed)| {
                managed.machine.rack != rack
                    || (managed.machine.state != MachineState::Moving
                        && managed.planned_pool.is_none()
                        && managed.rested(rest, now)
                        && self.may_order(id, now))
            })
    }

    /// Removes the workers and machines of a rack that passes to another partition.
    pub fn release_rack(&mut self, rack: &str) {
        for id in self.workers.select(|it| it.entry.rack == rack) {
            self.workers.remove(&id);
        }
        self.machines.retain(|_, it| it.machine.rack != rack);
    }

    /// Returns the workers in a rack.
    pub fn workers_in(&self, rack: &RackId) -> Vec<WorkerId> {
        self.workers.select(|it| it.entry.rack == *rack)
    }

    /// Returns whether a machine is known, so that its orders are this partition's.
    pub fn manages(&self, machine: &VmId) -> bool {
        self.machines.contains_key(machine)
    }
}
