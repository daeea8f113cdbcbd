//! What workers have, and what tasks hold of them.

use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Vm;

use crate::id::VmId;
use crate::place::Held;
use crate::place::THROTTLED;
use crate::place::Worker;
use crate::place::cap::Cap;

impl Worker {
    pub(super) fn new(vm: &Vm) -> Self {
        Self {
            name: VmId::from(&vm.name),
            zone: vm.zone.clone(),
            rack: vm.rack.clone(),
            total: Cap {
                cpu: i32::try_from(vm.cores.saturating_mul(1_000)).unwrap_or(i32::MAX),
                mem: i32::try_from(vm.memory_mb).unwrap_or(i32::MAX),
                acc: i32::try_from(vm.accelerators).unwrap_or(i32::MAX),
            },
            used: Cap::default(),
            usable: false,
            jobs: BTreeSet::new(),
        }
    }

    pub(super) fn order(&self) -> (bool, &str, &str, &str) {
        (self.total.acc > 0, &self.zone, &self.rack, &self.name)
    }

    pub(super) fn domain(&self) -> (&str, &str) {
        (&self.zone, &self.rack)
    }

    pub(super) fn within(&self, zone: &str) -> bool {
        zone.is_empty() || self.zone == zone
    }
}

impl Held {
    /// What the task takes from its worker.
    pub(super) fn holds(&self) -> Cap {
        if self.leaving {
            return Cap::default();
        }
        if self.throttled {
            let cpu = kept(self.size.cpu);
            return Cap { cpu, ..self.size };
        }
        self.size
    }

    /// What a preemption of the task frees.
    pub(super) fn gives(&self) -> Cap {
        if self.leaving || !self.running {
            return Cap::default();
        }
        if self.movable {
            return self.holds();
        }
        let cpu = self.holds().cpu - kept(self.size.cpu);
        Cap {
            cpu,
            ..Cap::default()
        }
    }
}

/// Processors that a throttled task of this size keeps.
pub(super) fn kept(cpu: i32) -> i32 {
    let percent = i32::try_from(THROTTLED).unwrap_or(i32::MAX);
    cpu / 100 * percent + cpu % 100 * percent / 100
}
