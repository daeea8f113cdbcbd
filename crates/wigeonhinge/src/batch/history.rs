//! Times at which the store reached its revisions, as one entry saw them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::Revision;
use crate::id::Time;

/// Shortest time between two revisions that are kept.
const RESOLUTION: Duration = Duration::from_millis(100);

/// Number of revisions that are kept: half a minute at [`RESOLUTION`], longer than any lease.
const CAPACITY: usize = 300;

/// Revisions of the store and the times at which it is known to have reached them. A row tells its
/// revision, not its age, and the clocks of entries differ.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::RevisionHistory;
///
/// let mut history = RevisionHistory::default();
/// history.record(7, Duration::from_secs(1));
/// history.record(9, Duration::from_secs(2));
/// assert_eq!(history.written_by(8), Some(Duration::from_secs(2)));
/// assert_eq!(history.written_by(10), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RevisionHistory(VecDeque<(Revision, Time)>);

impl RevisionHistory {
    /// Records that the store has reached a revision.
    pub fn record(&mut self, revision: Revision, now: Time) {
        if let Some((last, time)) = self.0.back()
            && (revision <= *last || now.saturating_sub(*time) < RESOLUTION)
        {
            return;
        }
        if self.0.len() == CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back((revision, now));
    }

    /// Returns a time by which a revision was written, or `None` if the store is not known to have
    /// reached it.
    pub fn written_by(&self, revision: Revision) -> Option<Time> {
        let first = self.0.partition_point(|(seen, _)| *seen < revision);
        self.0.get(first).map(|(_, time)| *time)
    }
}
