//! Capacity of workers, and the part of it that each task occupies.

use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Vm;

use crate::id::VmId;
use crate::place::Reservation;
use crate::place::THROTTLED_PERCENT;
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

    pub(super) fn sort_key(&self) -> (bool, &str, &str, &str) {
        (
            self.total.accelerators > 0,
            &self.zone,
            &self.rack,
            &self.name,
        )
    }

    pub(super) fn failure_domain(&self) -> (&str, &str) {
        (&self.zone, &self.rack)
    }

    pub(super) fn in_zone(&self, zone: &str) -> bool {
        zone.is_empty() || self.zone == zone
    }
}

impl Reservation {
    /// Returns the capacity that the task occupies on its worker.
    pub(super) fn occupied(&self) -> Capacity {
        if self.vacating {
            return Capacity::default();
        }
        if self.throttled {
            let millicores = throttled_millicores(self.size.millicores);
            return Capacity {
                millicores,
                ..self.size
            };
        }
        self.size
    }

    /// Returns the capacity that preempting the task frees: all of it if the task can
    /// be stopped, otherwise the cores that throttling takes.
    pub(super) fn preemptible(&self) -> Capacity {
        if self.vacating || !self.running {
            return Capacity::default();
        }
        if self.restartable {
            return self.occupied();
        }
        let millicores = self.occupied().millicores - throttled_millicores(self.size.millicores);
        Capacity {
            millicores,
            ..Capacity::default()
        }
    }
}

/// Returns the cores that a throttled task keeps, in millicores.
pub(super) fn throttled_millicores(millicores: i32) -> i32 {
    let percent = i32::try_from(THROTTLED_PERCENT).unwrap_or(i32::MAX);
    millicores / 100 * percent + millicores % 100 * percent / 100
}
