//! Division of the caps of workspaces among partitions.

use slog::info;
use wigeonhinge::batch::Event;

use crate::site::role::Role;

impl Role {
    /// Limits the partition to its part of each cap, while there are several partitions.
    pub(super) fn sync_caps(&mut self) {
        let partitions = self.shared.control.borrow().topology.partitions();
        self.divide_caps(partitions);
    }

    /// Limits the partition to its part of each cap among so many partitions. Their number never falls,
    /// so a lower one than before is outdated.
    pub(super) fn divide_caps(&mut self, partitions: u32) {
        let divided = (partitions.max(self.divided_caps.0), self.catalog_version);
        if divided.0 <= 1 || divided == self.divided_caps {
            return;
        }
        let catalog = self.shared.catalog.borrow().clone();
        let workspaces = catalog.as_ref().and_then(|it| it.workspaces.as_ref());
        let Some(workspaces) = workspaces else {
            return;
        };
        self.divided_caps = divided;
        info!(self.shared.log, "caps: divided among partitions"; "partition" => self.term.partition,
            "partitions" => divided.0, "workspaces" => workspaces.iter().len());
        self.apply(Event::CapShares(workspaces.cap_parts(divided.0)));
    }
}
