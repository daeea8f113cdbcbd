//! Log of batches of a pool: one position per batch, created by CAS from
//! "absent".
//!
//! One batch at most is in flight. A batch whose result is unknown is sent again
//! to the same position, which cannot take effect twice.

use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::jobs::Batch;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Snapshot;

use crate::id::EntryId;
use crate::id::Fence;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::scheduler::Action;
use crate::scheduler::LogEntry;

/// Longest wait of urgent changes for their batch.
pub const URGENT_WINDOW: Time = Duration::from_millis(200);

/// Longest wait of all other changes for their batch.
pub const WINDOW: Time = Duration::from_secs(2);

/// Batches between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 256;

/// Changed jobs in one batch; keeps a batch under 1 MB.
pub const MAX_BATCH: usize = 1_000;

/// First wait before a request to the store is repeated; doubles each time.
const BACKOFF: Time = Duration::from_millis(200);

/// Longest wait before a request to the store is repeated.
const MAX_BACKOFF: Time = Duration::from_secs(2);

/// Time after which an unanswered request to the store is repeated.
const STORE_TIMEOUT: Time = Duration::from_secs(5);

/// What an answer of the store means.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The batch is durable.
    Stored(Box<Batch>),
    /// Nothing changed, or a request is repeated.
    Wait(Vec<Action>),
    /// A delayed batch of an earlier view took the position before this role's
    /// first batch; the log has to be read again.
    Reload,
    /// Another writer holds the role; the batch was not written and never is.
    Overtaken,
}

/// Positions of the log of a pool, for one holder of its role.
#[derive(Clone, Debug)]
pub struct Log {
    pool: PoolId,
    entry: EntryId,
    fence: Fence,
    last: u64,
    covered: u64,
    flight: Option<Flight>,
}

#[derive(Clone, Debug)]
struct Flight {
    batch: Batch,
    ids: BTreeSet<JobId>,
    since: Time,
    due: Time,
    wait: Time,
}

impl Log {
    /// Continues the log after its last position.
    pub fn new(pool: PoolId, entry: EntryId, fence: Fence, last: u64, covered: u64) -> Self {
        Self {
            pool,
            entry,
            fence,
            last,
            covered,
            flight: None,
        }
    }

    /// Whether a batch is in flight.
    pub fn busy(&self) -> bool {
        self.flight.is_some()
    }

    /// Whether the batch in flight contains a job.
    pub fn flies(&self, job: &str) -> bool {
        let flight = self.flight.as_ref();
        flight.is_some_and(|flight| flight.ids.contains(job))
    }

    /// Whether the store has not confirmed the batch in flight for this long.
    pub fn stalled(&self, now: Time, wait: Time) -> bool {
        let flight = self.flight.as_ref();
        flight.is_some_and(|flight| now >= flight.since + wait)
    }

    /// Sends the next batch. The caller checks [`Log::busy`] before.
    pub fn append(&mut self, jobs: Vec<Job>, now: Time) -> Action {
        let batch = Batch {
            pool: self.pool.to_string(),
            seq: self.last + 1,
            fence: self.fence,
            writer: self.entry.to_string(),
            jobs,
        };
        self.flight = Some(Flight {
            ids: batch
                .jobs
                .iter()
                .map(|job| job.id.as_str().into())
                .collect(),
            batch: batch.clone(),
            since: now,
            due: now + STORE_TIMEOUT,
            wait: BACKOFF,
        });
        Action::Append(Box::new(batch))
    }

    /// Takes the confirmation of a position. A version above 1 means that the
    /// position had been used and removed, so that this view is outdated.
    pub fn stored(&mut self, seq: u64, version: u64) -> Outcome {
        if !self.awaits(seq) {
            return Outcome::Wait(Vec::new());
        }
        if version != 1 {
            return Outcome::Overtaken;
        }
        self.confirm()
    }

    /// Takes the refusal of a position that is taken.
    pub fn conflict(&mut self, seq: u64, now: Time) -> Outcome {
        if !self.awaits(seq) {
            return Outcome::Wait(Vec::new());
        }
        if let Some(flight) = &mut self.flight {
            flight.due = now + STORE_TIMEOUT;
        }
        Outcome::Wait(vec![Action::Read { seq }])
    }

    /// Takes the content of a position that was in conflict.
    pub fn read(&mut self, seq: u64, entry: Option<LogEntry>, now: Time) -> Outcome {
        if !self.awaits(seq) {
            return Outcome::Wait(Vec::new());
        }
        let Some(entry) = entry else {
            return self.repeat(now);
        };
        let own = self.flight.as_ref().map(|flight| &flight.batch) == Some(&entry.batch);
        if own && entry.version == 1 {
            return self.confirm();
        }
        if entry.version == 1 && entry.batch.fence <= self.fence {
            return Outcome::Reload;
        }
        Outcome::Overtaken
    }

    /// Takes a failure of the store; the request is repeated later.
    pub fn unavailable(&mut self, now: Time) {
        if let Some(flight) = &mut self.flight {
            flight.due = now + flight.wait;
            flight.wait = (flight.wait * 2).min(MAX_BACKOFF);
        }
    }

    /// Repeats the request that is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let due = self.flight.as_ref().is_some_and(|flight| flight.due <= now);
        if !due {
            return Vec::new();
        }
        match self.repeat(now) {
            Outcome::Wait(actions) => actions,
            _ => Vec::new(),
        }
    }

    /// Returns the position that a snapshot has to cover, once it is due.
    pub fn snapshot_due(&self) -> Option<u64> {
        let due = self.flight.is_none() && self.last >= self.covered + SNAPSHOT_EVERY;
        due.then_some(self.last)
    }

    /// Notes a snapshot and returns the last position that may be removed. The
    /// batches of the interval before stay, for readers of the older snapshot.
    pub fn snapshot(&mut self) -> u64 {
        let trim = self.covered;
        self.covered = self.last;
        trim
    }

    fn awaits(&self, seq: u64) -> bool {
        let flight = self.flight.as_ref();
        flight.is_some_and(|flight| flight.batch.seq == seq)
    }

    fn confirm(&mut self) -> Outcome {
        match self.flight.take() {
            Some(flight) => {
                self.last = flight.batch.seq;
                Outcome::Stored(Box::new(flight.batch))
            }
            None => Outcome::Wait(Vec::new()),
        }
    }

    fn repeat(&mut self, now: Time) -> Outcome {
        let Some(flight) = &mut self.flight else {
            return Outcome::Wait(Vec::new());
        };
        flight.due = now + STORE_TIMEOUT;
        Outcome::Wait(vec![Action::Append(Box::new(flight.batch.clone()))])
    }
}

/// End of a log that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// Last position.
    pub last: u64,
    /// Position that the snapshot covers.
    pub covered: u64,
    /// Highest fence of a writer.
    pub fence: Fence,
}

/// Rebuilds the jobs from a snapshot and the batches after it; `None` when a
/// position is missing or was written again after its removal.
pub fn replay(
    snapshot: Option<Snapshot>,
    batches: Vec<LogEntry>,
    restore: &mut dyn FnMut(Job),
) -> Option<End> {
    let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
    let mut fence = snapshot.as_ref().map_or(0, |snapshot| snapshot.fence);
    let mut last = covered;
    for job in snapshot.into_iter().flat_map(|snapshot| snapshot.jobs) {
        restore(job);
    }
    for entry in batches {
        if entry.batch.seq <= last {
            continue;
        }
        if entry.batch.seq != last + 1 || entry.version != 1 {
            return None;
        }
        last = entry.batch.seq;
        fence = fence.max(entry.batch.fence);
        entry.batch.jobs.into_iter().for_each(&mut *restore);
    }
    Some(End {
        last,
        covered,
        fence,
    })
}
