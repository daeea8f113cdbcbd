//! Workers in the platform's registry, and the connections to them.

use std::rc::Rc;

use slog::info;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;

use crate::site::role::Role;
use crate::site::worker;

impl Role {
    pub(super) fn replace_workers(&mut self, items: Vec<Item>) {
        self.registry.clear();
        for item in items {
            self.update_worker(item);
        }
        self.sync_handles();
    }

    /// Applies changes of registry entries; heartbeats that change nothing have no effect.
    pub(super) fn update_workers(&mut self, changes: Vec<Change>) {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Set(item) => self.update_worker(item),
                Change::Removed { key, .. } => {
                    info!(self.shared.log, "registry: worker removed"; "key" => &key);
                    self.registry.remove(&key).is_some()
                }
            };
        }
        if changed {
            self.sync_handles();
        }
    }

    /// Applies a registry entry; returns whether it differs from the known one.
    fn update_worker(&mut self, item: Item) -> bool {
        match records::decode_worker(&item.key, &item.value) {
            Ok(entry) => {
                let known = self.registry.get(&item.key);
                if known == Some(&entry) {
                    return false;
                }
                if known.is_none_or(|it| it.draining != entry.draining) {
                    info!(self.shared.log, "registry: worker added or its drain state changed";
                        "worker" => %entry.id,
                        "pool" => %entry.pool, "draining" => entry.draining,
                        "machine" => %entry.machine);
                }
                self.registry.insert(item.key, entry);
                true
            }
            Err(reason) => {
                self.log_invalid(&item.key, &reason);
                self.registry.remove(&item.key).is_some()
            }
        }
    }

    /// Passes all registry entries to the scheduler and connects to the workers that it expects.
    pub(super) fn sync_handles(&mut self) {
        let entries: Vec<WorkerEntry> = self.registry.values().cloned().collect();
        self.apply(Event::Workers(entries.clone()));
        for entry in &entries {
            if !self.batch.has_active_worker(&entry.id) {
                continue;
            }
            let address = entry.address.parse().ok();
            let known = self.workers.get(&entry.id).map(|it| it.address);
            if known.is_some() && known == address {
                continue;
            }
            let may_extend = Rc::clone(&self.may_extend);
            let log = self.shared.log.clone();
            let channels = (log, self.inbox.clone());
            match worker::spawn(entry, self.term.fence, may_extend, channels) {
                Some(handle) => {
                    self.workers.insert(entry.id.clone(), handle);
                }
                None => self.log_invalid(&entry.id, "the address is not of the form IP:port"),
            }
        }
        self.drop_stale_handles();
    }

    /// Drops the connections to workers that the scheduler no longer expects to respond.
    pub(super) fn drop_stale_handles(&mut self) {
        let batch = &self.batch;
        self.workers.retain(|id, _| batch.has_active_worker(id));
    }
}
