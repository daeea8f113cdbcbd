//! Fake of the store.

use std::collections::BTreeMap;

use wigeonhinge::id::Time;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::LogEntry;
use wigeonhinge_schema::jobs::Batch;
use wigeonhinge_schema::jobs::Snapshot;

use super::Stats;

/// Log and snapshot of one pool, and the holder of its role.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Entry that holds the role.
    pub holder: Option<usize>,
    /// Fence of the role.
    pub fence: u64,
    /// End of the lease.
    pub until: Time,
    /// Batches by position.
    pub log: BTreeMap<u64, LogEntry>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    versions: BTreeMap<u64, u64>,
}

impl Store {
    /// Carries out a call and returns its answer.
    pub fn call(&mut self, action: Action, stats: &mut Stats) -> Option<Event> {
        match action {
            Action::Append(batch) => Some(self.append(*batch, stats)),
            Action::Read { seq } => {
                let entry = self.log.get(&seq).cloned();
                Some(Event::Read { seq, entry })
            }
            Action::Recover => {
                let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
                let batches = self.log.range(covered + 1..);
                stats.calls += 1;
                Some(Event::Recovered {
                    snapshot: self.snapshot.clone().map(Box::new),
                    batches: batches.map(|(_, entry)| entry.clone()).collect(),
                })
            }
            Action::Snapshot { snapshot, trim } => {
                self.save(*snapshot, trim, stats);
                None
            }
            _ => None,
        }
    }

    fn append(&mut self, batch: Batch, stats: &mut Stats) -> Event {
        let seq = batch.seq;
        if self.log.contains_key(&seq) {
            return Event::Conflict { seq };
        }
        let version = self.versions.entry(seq).or_default();
        *version += 1;
        let version = *version;
        stats.writes += 1;
        stats.bytes += serde_json::to_vec(&batch).map_or(0, |text| text.len() as u64);
        self.log.insert(seq, LogEntry { version, batch });
        Event::Stored { seq, version }
    }

    fn save(&mut self, snapshot: Snapshot, trim: u64, stats: &mut Stats) {
        let newer = self
            .snapshot
            .as_ref()
            .is_none_or(|old| old.seq <= snapshot.seq && old.fence <= snapshot.fence);
        if !newer {
            return;
        }
        stats.writes += 1;
        stats.bytes += serde_json::to_vec(&snapshot).map_or(0, |text| text.len() as u64);
        self.snapshot = Some(snapshot);
        self.log = self.log.split_off(&(trim + 1));
    }
}
