//! Workers that the registry lists, and the connections to them.

use std::rc::Rc;

use slog::info;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;

use crate::site::lookout;
use crate::site::role::Role;

impl Role {
    pub(super) fn all_workers(&mut self, items: Vec<Item>) {
        self.registry.clear();
        for item in items {
            self.worker(item);
        }
        self.register();
    }

    /// Takes changes; heartbeats that change nothing are left out.
    pub(super) fn some_workers(&mut self, changes: Vec<Change>) {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Set(item) => self.worker(item),
                Change::Removed { key, .. } => {
                    info!(self.shared.log, "registry: worker left"; "key" => &key);
                    self.registry.remove(&key).is_some()
                }
            };
        }
        if changed {
            self.register();
        }
    }

    /// Takes an entry; returns whether it differs from the known one.
    fn worker(&mut self, item: Item) -> bool {
        match records::decode_worker(&item.key, &item.value) {
            Ok(entry) => {
                let known = self.registry.get(&item.key);
                if known == Some(&entry) {
                    return false;
                }
                if known.is_none_or(|it| it.draining != entry.draining) {
                    info!(self.shared.log, "registry: worker"; "worker" => %entry.id,
                        "pool" => %entry.pool, "draining" => entry.draining,
                        "machine" => %entry.machine);
                }
                self.registry.insert(item.key, entry);
                true
            }
            Err(reason) => {
                self.unreadable(&item.key, &reason);
                self.registry.remove(&item.key).is_some()
            }
        }
    }

    pub(super) fn register(&mut self) {
        let entries: Vec<WorkerEntry> = self.registry.values().cloned().collect();
        self.handle(Event::Workers(entries.clone()));
        for entry in &entries {
            if !self.batch.has_active_worker(&entry.id) {
                continue;
            }
            let address = entry.address.parse().ok();
            let known = self.workers.get(&entry.id).map(|it| it.address);
            if known.is_some() && known == address {
                continue;
            }
            let extend = Rc::clone(&self.extend);
            let log = self.shared.log.clone();
            let tell = (log, self.inbox.clone());
            match lookout::spawn(entry, self.term.fence, extend, tell) {
                Some(handle) => {
                    self.workers.insert(entry.id.clone(), handle);
                }
                None => self.unreadable(&entry.id, "the address is no IP:port"),
            }
        }
        self.drop_handles();
    }

    /// Ends the connections to workers that cannot answer any more.
    pub(super) fn drop_handles(&mut self) {
        let batch = &self.batch;
        self.workers.retain(|id, _| batch.has_active_worker(id));
    }
}
