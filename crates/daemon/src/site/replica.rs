//! What an entry knows of all jobs, from the store's watch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::StateRow;
use wigeonhinge::id::JobId;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Revision;

use crate::site::keys;

/// Jobs by identifier, and the holder of the scheduler role.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    jobs: BTreeMap<JobId, Known>,
    /// Revision of the role's key, if the role is held.
    pub(super) role: Option<Revision>,
    revisions: BTreeMap<String, Revision>,
    /// Whether it was read whole at least once.
    pub(super) complete: bool,
    /// Keys whose values cannot be read, with the reason, since they were last taken.
    unreadable: Vec<(String, String)>,
}

/// What is known of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) queue: CompactString,
    pub(crate) phase: Phase,
    cancelled: bool,
    /// Whether the job itself is still in the store.
    open: bool,
}

impl Known {
    /// Returns the state that callers are shown.
    pub(crate) fn shown(&self) -> Phase {
        match self.phase.terminal() {
            true => self.phase,
            false if self.cancelled => Phase::Canceled,
            false => self.phase,
        }
    }
}

impl Replica {
    pub(crate) fn job(&self, id: &str) -> Option<&Known> {
        self.jobs.get(id).filter(|known| !known.queue.is_empty())
    }

    /// Counts the jobs of a queue that have not started.
    pub(crate) fn waiting(&self, queue: &str) -> usize {
        let waits =
            |known: &&Known| known.queue == queue && known.open && known.shown() == Phase::Pending;
        self.jobs.values().filter(waits).count()
    }

    /// Notes a job that this entry stored.
    pub(crate) fn accepted(&mut self, row: &JobRow) {
        let known = self.jobs.entry(row.id.clone()).or_default();
        known.queue = row.queue.clone();
        known.open = true;
    }

    /// Notes a cancellation that this entry stored.
    pub(crate) fn cancelled(&mut self, id: &str) {
        if let Some(known) = self.jobs.get_mut(id) {
            known.cancelled = true;
        }
    }

    /// Notes a row that this entry stored.
    pub(super) fn written(&mut self, id: &JobId, row: &StateRow) {
        let known = self.jobs.entry(id.clone()).or_default();
        known.queue = row.queue.clone();
        known.phase = row.phase;
    }

    /// Replaces everything by what the store holds.
    pub(super) fn load(&mut self, items: Vec<Item>) {
        let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let known: Vec<String> = self.revisions.keys().cloned().collect();
        let gone: Vec<String> = known
            .into_iter()
            .filter(|key| !listed.contains(key.as_str()))
            .collect();
        for key in gone {
            let revision = self.revisions.get(&key).copied().unwrap_or(0);
            self.remove(&key, revision + 1);
        }
        if !items.iter().any(|item| item.key == keys::ROLE) {
            self.role = None;
        }
        for item in items {
            self.set(&item);
        }
        self.complete = true;
    }

    pub(super) fn apply(&mut self, change: &Change) {
        match change {
            Change::Set(item) => self.set(item),
            Change::Removed { key, revision } => self.remove(key, *revision),
        }
    }

    /// Takes an item unless a newer one is known.
    pub(super) fn set(&mut self, item: &Item) {
        let last = self.revisions.entry(item.key.clone()).or_default();
        if *last >= item.revision {
            return;
        }
        *last = item.revision;
        if let Some(id) = item.key.strip_prefix(keys::JOBS) {
            match serde_json::from_slice::<JobRow>(&item.value) {
                Ok(row) => {
                    let known = self.jobs.entry(id.into()).or_default();
                    known.queue = row.queue;
                    known.open = true;
                }
                Err(error) => self.skip(item, &error),
            }
        } else if let Some(id) = item.key.strip_prefix(keys::CANCELS) {
            self.jobs.entry(id.into()).or_default().cancelled = true;
        } else if let Some(id) = item.key.strip_prefix(keys::STATES) {
            match serde_json::from_slice::<StateRow>(&item.value) {
                Ok(row) => {
                    let known = self.jobs.entry(id.into()).or_default();
                    known.queue = row.queue;
                    known.phase = row.phase;
                }
                Err(error) => self.skip(item, &error),
            }
        } else if item.key == keys::ROLE {
            self.role = Some(item.revision);
        }
    }

    fn skip(&mut self, item: &Item, error: &serde_json::Error) {
        self.unreadable.push((item.key.clone(), error.to_string()));
    }

    /// Takes the keys whose values could not be read, with the reason.
    pub(super) fn take_unreadable(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.unreadable)
    }

    fn remove(&mut self, key: &str, revision: Revision) {
        if self.revisions.get(key).is_some_and(|it| *it >= revision) {
            return;
        }
        self.revisions.remove(key);
        if let Some(id) = key.strip_prefix(keys::JOBS) {
            if let Some(known) = self.jobs.get_mut(id) {
                known.open = false;
            }
        } else if let Some(id) = key.strip_prefix(keys::STATES) {
            self.jobs.remove(id);
        } else if key == keys::ROLE {
            self.role = None;
        }
    }
}
