//! Workers in the platform's registry, and the connections to them.

use slog::info;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::batch::WorkerId;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;

use crate::site::role::Role;
use crate::site::worker;

impl Role {
    /// Replaces all registry entries.
    pub(super) fn replace_workers(&mut self, items: Vec<Item>) {
        self.registry.clear();
        for item in items {
            self.update_worker(item);
        }
        let own = self.registry.values().filter(|it| self.owns(&it.rack));
        let own: Vec<WorkerEntry> = own.cloned().collect();
        self.apply(Event::Workers(own));
        self.connect_all();
        self.drop_stale_handles();
    }

    /// Connects to all workers from which the scheduler expects reports.
    pub(super) fn connect_all(&mut self) {
        let entries: Vec<WorkerEntry> = self.registry.values().cloned().collect();
        for entry in &entries {
            self.connect(entry);
        }
    }

    /// Applies changes of registry entries; heartbeats that change nothing have no effect.
    pub(super) fn update_workers(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Set(item) => {
                    if let Some(entry) = self.update_worker(item).filter(|it| self.owns(&it.rack)) {
                        self.apply(Event::WorkerRegistered(entry.clone()));
                        self.connect(&entry);
                    }
                }
                Change::Removed { key, .. } => {
                    info!(self.shared.log, "registry: worker removed"; "key" => &key);
                    self.forget_worker(&key);
                }
            }
        }
    }

    /// Decodes a registry entry; returns it if it differs from the known one.
    fn update_worker(&mut self, item: Item) -> Option<WorkerEntry> {
        match records::decode_worker(&item.key, &item.value) {
            Ok(entry) => {
                let known = self.registry.get(&item.key);
                if known == Some(&entry) {
                    return None;
                }
                if known.is_none_or(|it| it.draining != entry.draining) {
                    info!(self.shared.log, "registry: worker added or its drain state changed";
                        "worker" => %entry.id,
                        "pool" => %entry.pool, "draining" => entry.draining,
                        "machine" => %entry.machine);
                }
                self.registry.insert(item.key, entry.clone());
                Some(entry)
            }
            Err(reason) => {
                self.log_invalid(&item.key, &reason);
                self.forget_worker(&item.key);
                None
            }
        }
    }

    fn forget_worker(&mut self, key: &str) {
        if let Some(entry) = self.registry.remove(key) {
            self.apply(Event::WorkerRemoved(entry.id));
        }
    }

    /// Connects to a worker from which the scheduler expects reports, unless that was done.
    pub(super) fn connect(&mut self, entry: &WorkerEntry) {
        if !self.batch.expects_reports(&entry.id) {
            return;
        }
        let known = self.workers.get(&entry.id).map(|it| it.address);
        if known.is_some() && known == entry.address {
            return;
        }
        let (log, metrics) = (self.shared.log.clone(), self.shared.metrics.clone());
        let channels = (log, metrics, self.inbox.clone());
        let fence = self.rack_fence(&entry.rack);
        let handle = worker::spawn(entry, fence, &self.term, channels);
        if let Some(handle) = handle {
            self.record_lease(&entry.id);
            self.workers.insert(entry.id.clone(), handle);
        }
    }

    /// Drops the connections to workers from which the scheduler expects no reports any more.
    pub(super) fn drop_stale_handles(&mut self) {
        let batch = &self.batch;
        let stale = self.workers.keys().filter(|id| !batch.expects_reports(id));
        let stale: Vec<WorkerId> = stale.cloned().collect();
        for worker in stale {
            self.record_lease(&worker);
            self.workers.remove(&worker);
        }
    }
}
