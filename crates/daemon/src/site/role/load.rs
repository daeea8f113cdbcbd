//! Waiting jobs of the partition, which every entry can tell callers.

use crate::site::clock;
use crate::site::keys;
use crate::site::load::LoadRow;
use crate::site::role::Role;

impl Role {
    /// Stores how many jobs of each queue wait.
    pub(super) fn publish_load(&mut self) {
        let row = LoadRow {
            at_ms: clock::wall_ms(),
            pending: self.batch.pending_jobs(),
        };
        self.queue_json(keys::load(self.term.partition), &row);
    }
}
