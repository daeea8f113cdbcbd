//! Local copy of the rows that every entry follows: holders of partitions, racks and wave plans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::PoolId;
use wigeonhinge::id::ZoneId;
use wigeonhinge::partition::Holder;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::Topology;
use wigeonhinge::partition::WavePlan;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Revision;

use crate::site::keys;

/// Stored row of a partition's holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HolderRow {
    pub(crate) entry: EntryId,
    pub(crate) zone: ZoneId,
}

/// Stored row of a partition's part of a wave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PartRow {
    /// Whether the maintenance of all its machines was ordered and accepted.
    pub(crate) begun: bool,
    /// Whether its machines are all back in service.
    pub(crate) settled: bool,
}

/// Stored row of the pools that have no worker in a partition.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct AbsentRow {
    pub(crate) pools: BTreeSet<PoolId>,
}

/// Rows that every entry follows.
#[derive(Debug, Default)]
pub(crate) struct Control {
    pub(crate) topology: Topology,
    /// Plans of waves by their number.
    pub(crate) plans: BTreeMap<u64, WavePlan>,
    /// Parts of waves that partitions reported.
    pub(crate) parts: BTreeMap<(u64, Partition), PartRow>,
    /// Whether all rows were loaded at least once.
    pub(crate) loaded: bool,
    /// Number of changes so far; tells whether a reader has seen them all.
    pub(crate) version: u64,
    /// Last applied revision of each existing key.
    revisions: BTreeMap<String, Revision>,
    /// Keys whose values could not be decoded, with the reason, since the last call of
    /// [`Control::take_unreadable`].
    unreadable: Vec<(String, String)>,
}

impl Control {
    /// Returns the last applied revision of a key; `None` if it does not exist.
    pub(super) fn revision(&self, key: &str) -> Option<Revision> {
        self.revisions.get(key).copied()
    }

    /// Replaces the content with a snapshot of the store.
    pub(super) fn load(&mut self, items: Vec<Item>, revision: Revision) {
        let listed = |key: &String| items.iter().any(|item| item.key == *key);
        let missing = self.revisions.keys().filter(|key| !listed(key));
        let missing: Vec<String> = missing.cloned().collect();
        for key in missing {
            self.remove(&key, revision);
        }
        for item in items {
            self.set(&item);
        }
        self.loaded = true;
    }

    pub(super) fn apply(&mut self, change: &Change) {
        match change {
            Change::Set(item) => self.set(item),
            Change::Removed { key, revision } => self.remove(key, *revision),
        }
    }

    /// Applies an item unless a newer revision of its key is known.
    fn set(&mut self, item: &Item) {
        let last = self.revisions.entry(item.key.clone()).or_default();
        if *last >= item.revision {
            return;
        }
        *last = item.revision;
        self.version += 1;
        let key = item.key.as_str();
        if let Some(partition) = number(key, keys::ROLES) {
            if let Some(row) = self.decode::<HolderRow>(item) {
                let HolderRow { entry, zone } = row;
                let holder = Some(Holder { entry, zone });
                self.topology.set_holder(partition, holder);
            }
        } else if key == keys::LAYOUT {
            if let Some(row) = self.decode(item) {
                self.topology.set_layout(Some(row));
            }
        } else if let Some(rack) = key.strip_prefix(keys::RACKS) {
            if let Some(row) = self.decode(item) {
                self.topology
                    .set_rack(rack.into(), Some((row, item.revision)));
            }
        } else if let Some(partition) = number(key, keys::ABSENT) {
            if let Some(AbsentRow { pools }) = self.decode(item) {
                self.topology.set_absent(partition, pools);
            }
        } else if let Some((wave, partition)) = wave_part(key) {
            if let Some(row) = self.decode(item) {
                self.parts.insert((wave, partition), row);
            }
        } else if let Some(wave) = number(key, keys::WAVE_PLANS)
            && let Some(plan) = self.decode(item)
        {
            self.plans.insert(wave, plan);
        }
    }

    fn remove(&mut self, key: &str, revision: Revision) {
        if self.revisions.get(key).is_some_and(|it| *it > revision) {
            return;
        }
        self.revisions.remove(key);
        self.version += 1;
        if let Some(partition) = number(key, keys::ROLES) {
            self.topology.set_holder(partition, None);
        } else if key == keys::LAYOUT {
            self.topology.set_layout(None);
        } else if let Some(rack) = key.strip_prefix(keys::RACKS) {
            self.topology.set_rack(rack.into(), None);
        } else if let Some(partition) = number(key, keys::ABSENT) {
            self.topology.set_absent(partition, BTreeSet::new());
        } else if let Some(part) = wave_part(key) {
            self.parts.remove(&part);
        } else if let Some(wave) = number::<u64>(key, keys::WAVE_PLANS) {
            self.plans.remove(&wave);
        }
    }

    fn decode<T: DeserializeOwned>(&mut self, item: &Item) -> Option<T> {
        match serde_json::from_slice(&item.value) {
            Ok(row) => Some(row),
            Err(error) => {
                self.unreadable.push((item.key.clone(), error.to_string()));
                None
            }
        }
    }

    /// Returns and clears the keys whose values could not be decoded, with the reason.
    pub(super) fn take_unreadable(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.unreadable)
    }
}

/// Returns the number that follows a prefix in a key, if nothing else does.
fn number<T: std::str::FromStr>(key: &str, prefix: &str) -> Option<T> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn wave_part(key: &str) -> Option<(u64, Partition)> {
    let (wave, partition) = key.strip_prefix(keys::WAVE_PLANS)?.split_once('/')?;
    Some((wave.parse().ok()?, partition.parse().ok()?))
}
