//! Counts of waiting jobs that the holders of partitions store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use wigeonhinge::Time;
use wigeonhinge_platform::store::Range;
use wigeonhinge_platform::store::Revision;

use crate::site::Shared;
use crate::site::clock;
use crate::site::keys;

/// Time for which counts that were read are used again.
const REUSE_TIME: Duration = Duration::from_millis(300);

/// Time after which a row that did not change says nothing any more; holders store theirs each
/// second.
const MAX_UNCHANGED: Duration = Duration::from_millis(2_500);

/// Age of a row by the clocks of its writer and this entry after which it says nothing any more;
/// clocks may differ by seconds.
const MAX_AGE_MS: i64 = 6_000;

/// Time limit for a read of the counts.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Stored row: jobs of a partition of which no task has started.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct LoadRow {
    /// Unix time in milliseconds at which the jobs were counted.
    pub(super) at_ms: i64,
    /// Number of jobs by queue.
    pub(super) pending: BTreeMap<CompactString, usize>,
}

/// Counts as they were read last.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    read_at: RefCell<Option<Time>>,
    counts: RefCell<BTreeMap<CompactString, usize>>,
    /// Revision of each row, and when it was seen first.
    seen: RefCell<BTreeMap<String, (Revision, Time)>>,
}

impl Loads {
    /// Returns how many jobs of a queue wait in all partitions.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the counts cannot be read or are out of date.
    pub(crate) async fn pending(&self, shared: &Shared, queue: &str) -> Result<usize, String> {
        let reusable = |time: Time| clock::now().saturating_sub(time) < REUSE_TIME;
        if !self.read_at.borrow().is_some_and(reusable) {
            self.read(shared).await?;
        }
        Ok(self.counts.borrow().get(queue).copied().unwrap_or(0))
    }

    async fn read(&self, shared: &Shared) -> Result<(), String> {
        let mut range = Range::new(keys::LOADS);
        while !range.is_complete() {
            let page = shared.store.read_page(&mut range, READ_TIMEOUT).await;
            page.map_err(|error| error.to_string())?;
        }
        let now = clock::now();
        let mut counts: BTreeMap<CompactString, usize> = BTreeMap::new();
        for item in range.into_parts().0 {
            let row: LoadRow =
                serde_json::from_slice(&item.value).map_err(|error| error.to_string())?;
            let seen = self.seen.borrow().get(&item.key).copied();
            let since = match seen {
                Some((revision, since)) if revision == item.revision => since,
                _ => now,
            };
            let old = (clock::wall_ms() - row.at_ms).abs() > MAX_AGE_MS;
            if old || now.saturating_sub(since) > MAX_UNCHANGED {
                return Err(format!("{} was not counted lately", item.key));
            }
            self.seen
                .borrow_mut()
                .insert(item.key, (item.revision, since));
            for (queue, count) in row.pending {
                *counts.entry(queue).or_default() += count;
            }
        }
        *self.counts.borrow_mut() = counts;
        *self.read_at.borrow_mut() = Some(now);
        Ok(())
    }
}
