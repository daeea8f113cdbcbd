//! Local replica of the state of all jobs, kept current by a watch on the store.

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

/// Jobs by identifier, and whether the scheduler role is held.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    jobs: BTreeMap<JobId, JobInfo>,
    /// Revision of the role's key; `None` if nobody holds the role.
    pub(super) role_revision: Option<Revision>,
    /// Last applied revision of each existing key.
    revisions: BTreeMap<String, Revision>,
    /// Whether all items were loaded at least once.
    pub(super) loaded: bool,
    /// Keys whose values could not be decoded, with the reason, since the last call of
    /// [`Replica::take_unreadable`].
    unreadable: Vec<(String, String)>,
}

/// State of a job as the store's items describe it.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobInfo {
    pub(crate) queue: CompactString,
    pub(crate) phase: Phase,
    cancelled: bool,
    /// Whether the item with the job itself is in the store.
    stored: bool,
}

impl JobInfo {
    /// Returns the phase to show to callers; a cancellation counts before it is carried out.
    pub(crate) fn visible_phase(&self) -> Phase {
        match self.phase.terminal() {
            true => self.phase,
            false if self.cancelled => Phase::Canceled,
            false => self.phase,
        }
    }
}

impl Replica {
    pub(crate) fn job(&self, id: &str) -> Option<&JobInfo> {
        self.jobs.get(id).filter(|info| !info.queue.is_empty())
    }

    /// Counts the jobs of a queue that have not started and are not cancelled.
    pub(crate) fn count_pending(&self, queue: &str) -> usize {
        let is_pending = |info: &&JobInfo| {
            info.queue == queue && info.stored && info.visible_phase() == Phase::Pending
        };
        self.jobs.values().filter(is_pending).count()
    }

    /// Records a job that this entry stored, before the watch reports it.
    pub(crate) fn record_job(&mut self, row: &JobRow) {
        let info = self.jobs.entry(row.id.clone()).or_default();
        info.queue = row.queue.clone();
        info.stored = true;
    }

    /// Records a cancellation that this entry stored, before the watch reports it.
    pub(crate) fn record_cancellation(&mut self, id: &str) {
        if let Some(info) = self.jobs.get_mut(id) {
            info.cancelled = true;
        }
    }

    /// Records a job's state that this entry stored, before the watch reports it.
    pub(super) fn record_state(&mut self, id: &JobId, row: &StateRow) {
        let info = self.jobs.entry(id.clone()).or_default();
        info.queue = row.queue.clone();
        info.phase = row.phase;
    }

    /// Replaces the content with a snapshot of the store.
    pub(super) fn load(&mut self, items: Vec<Item>) {
        let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let known_keys: Vec<String> = self.revisions.keys().cloned().collect();
        let missing: Vec<String> = known_keys
            .into_iter()
            .filter(|key| !listed.contains(key.as_str()))
            .collect();
        for key in missing {
            let revision = self.revisions.get(&key).copied().unwrap_or(0);
            self.apply_removal(&key, revision + 1);
        }
        if !items.iter().any(|item| item.key == keys::ROLE) {
            self.role_revision = None;
        }
        for item in items {
            self.apply_item(&item);
        }
        self.loaded = true;
    }

    pub(super) fn apply(&mut self, change: &Change) {
        match change {
            Change::Set(item) => self.apply_item(item),
            Change::Removed { key, revision } => self.apply_removal(key, *revision),
        }
    }

    /// Applies an item unless a newer revision of its key is known.
    pub(super) fn apply_item(&mut self, item: &Item) {
        let last = self.revisions.entry(item.key.clone()).or_default();
        if *last >= item.revision {
            return;
        }
        *last = item.revision;
        if let Some(id) = item.key.strip_prefix(keys::JOBS) {
            match serde_json::from_slice::<JobRow>(&item.value) {
                Ok(row) => {
                    let info = self.jobs.entry(id.into()).or_default();
                    info.queue = row.queue;
                    info.stored = true;
                }
                Err(error) => self.record_unreadable(item, &error),
            }
        } else if let Some(id) = item.key.strip_prefix(keys::CANCELS) {
            self.jobs.entry(id.into()).or_default().cancelled = true;
        } else if let Some(id) = item.key.strip_prefix(keys::STATES) {
            match serde_json::from_slice::<StateRow>(&item.value) {
                Ok(row) => {
                    let info = self.jobs.entry(id.into()).or_default();
                    info.queue = row.queue;
                    info.phase = row.phase;
                }
                Err(error) => self.record_unreadable(item, &error),
            }
        } else if item.key == keys::ROLE {
            self.role_revision = Some(item.revision);
        }
    }

    fn record_unreadable(&mut self, item: &Item, error: &serde_json::Error) {
        self.unreadable.push((item.key.clone(), error.to_string()));
    }

    /// Returns and clears the keys whose values could not be decoded, with the reason.
    pub(super) fn take_unreadable(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.unreadable)
    }

    fn apply_removal(&mut self, key: &str, revision: Revision) {
        if self.revisions.get(key).is_some_and(|it| *it >= revision) {
            return;
        }
        self.revisions.remove(key);
        if let Some(id) = key.strip_prefix(keys::JOBS) {
            if let Some(info) = self.jobs.get_mut(id) {
                info.stored = false;
            }
        } else if let Some(id) = key.strip_prefix(keys::STATES) {
            self.jobs.remove(id);
        } else if key == keys::ROLE {
            self.role_revision = None;
        }
    }
}
