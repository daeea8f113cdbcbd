//! What workers have, and what tasks hold of them.

use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Vm;

use crate::id::VmId;
use crate::place::Held;
use crate::place::THROTTLED;
use crate::place::Worker;
use crate::place::capacity::Capacity;

impl Worker {
    pub(super) fn new(vm: &Vm) -> Self {
        Self {
            name: VmId::from(&vm.name),
            zone: vm.zone.clone(),
            rack: vm.rack.clone(),
            total: Capacity {
                millicores: i32::try_from(vm.cores.saturating_mul(1_000)).unwrap_or(i32::MAX),
                memory_mb: i32::try_from(vm.memory_mb).unwrap_or(i32::MAX),
                accelerators: i32::try_from(vm.accelerators).unwrap_or(i32::MAX),
            },
            used: Capacity::default(),
            usable: false,
            jobs: BTreeSet::new(),
        }
    }

    pub(super) fn order(&self) -> (bool, &str, &str, &str) {
        (
            self.total.accelerators > 0,
            &self.zone,
            &self.rack,
            &self.name,
        )
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
    pub(super) fn holds(&self) -> Capacity {
        if self.leaving {
            return Capacity::default();
        }
        if self.throttled {
            let millicores = kept(self.size.millicores);
            return Capacity {
                millicores,
                ..self.size
            };
        }
        self.size
    }

    /// What a preemption of the task frees.
    pub(super) fn gives(&self) -> Capacity {
        if self.leaving || !self.running {
            return Capacity::default();
        }
        if self.movable {
            return self.holds();
        }
        let millicores = self.holds().millicores - kept(self.size.millicores);
        Capacity {
            millicores,
            ..Capacity::default()
        }
    }
}

/// Processors that a throttled task of this size keeps.
pub(super) fn kept(millicores: i32) -> i32 {
    let percent = i32::try_from(THROTTLED).unwrap_or(i32::MAX);
    millicores / 100 * percent + millicores % 100 * percent / 100
}
