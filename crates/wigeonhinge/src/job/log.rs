//! Write-ahead log of the job changes of a pool. Each batch takes one position, a
//! key that is created by compare-and-swap only if it is absent.
//!
//! At most one batch is in flight. A batch whose result is unknown is sent again
//! to the same position, where it cannot take effect twice.

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

/// Longest time that a change of an urgent job waits for more changes to batch.
pub const URGENT_BATCH_WINDOW: Time = Duration::from_millis(200);

/// Longest time that any other change waits for more changes to batch.
pub const BATCH_WINDOW: Time = Duration::from_secs(2);

/// Number of batches between two snapshots.
pub const SNAPSHOT_INTERVAL_BATCHES: u64 = 256;

/// Jobs in one batch; keeps a batch under 1 MB.
pub const MAX_BATCH_JOBS: usize = 1_000;

/// First wait before a failed request to the store is retried; doubles each time.
const INITIAL_BACKOFF: Time = Duration::from_millis(200);

/// Longest wait before a failed request to the store is retried.
const MAX_BACKOFF: Time = Duration::from_secs(2);

/// Time without an answer after which a request to the store is sent again.
const STORE_TIMEOUT: Time = Duration::from_secs(5);

/// Result of handling an answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The batch is durable.
    Stored(Box<Batch>),
    /// No result yet; the actions, if any, have to be carried out.
    Wait(Vec<Action>),
    /// A delayed batch of an earlier holder, or of an earlier term of this one, took
    /// the position before the first batch of this term; the log has to be read again.
    Reload,
    /// Another writer holds the role; the batch was not written and never will be.
    Superseded,
}

/// Writer of the log of a pool, for one term of the holder of its role.
#[derive(Clone, Debug)]
pub struct Log {
    pool: PoolId,
    entry: EntryId,
    fence: Fence,
    last_seq: u64,
    snapshot_seq: u64,
    in_flight: Option<SentBatch>,
}

#[derive(Clone, Debug)]
struct SentBatch {
    batch: Batch,
    ids: BTreeSet<JobId>,
    since: Time,
    due: Time,
    wait: Time,
}

impl Log {
    /// Creates a writer that continues after `last_seq`, the last position of the log;
    /// `snapshot_seq` is the position that the stored snapshot covers.
    pub fn new(
        pool: PoolId,
        entry: EntryId,
        fence: Fence,
        last_seq: u64,
        snapshot_seq: u64,
    ) -> Self {
        Self {
            pool,
            entry,
            fence,
            last_seq,
            snapshot_seq,
            in_flight: None,
        }
    }

    /// Returns whether a batch is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether the batch in flight contains a job.
    pub fn in_flight_has(&self, job: &str) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|sent| sent.ids.contains(job))
    }

    /// Returns whether a batch has been in flight for at least `wait`.
    pub fn stalled(&self, now: Time, wait: Time) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|sent| now >= sent.since + wait)
    }

    /// Returns the action that writes the next batch. The caller has to check
    /// [`Log::has_in_flight`] before.
    pub fn append(&mut self, jobs: Vec<Job>, now: Time) -> Action {
        let batch = Batch {
            pool: self.pool.to_string(),
            seq: self.last_seq + 1,
            fence: self.fence,
            writer: self.entry.to_string(),
            jobs,
        };
        self.in_flight = Some(SentBatch {
            ids: batch
                .jobs
                .iter()
                .map(|job| job.id.as_str().into())
                .collect(),
            batch: batch.clone(),
            since: now,
            due: now + STORE_TIMEOUT,
            wait: INITIAL_BACKOFF,
        });
        Action::Append(Box::new(batch))
    }

    /// Handles the confirmation that a position was created. A version above 1 means
    /// that the position had been used and trimmed before, so that this writer's
    /// view is outdated.
    pub fn on_stored(&mut self, seq: u64, version: u64) -> Outcome {
        if !self.is_awaiting(seq) {
            return Outcome::Wait(Vec::new());
        }
        if version != 1 {
            return Outcome::Superseded;
        }
        self.confirm()
    }

    /// Handles the refusal of a position that exists: reads it, as a lost answer to
    /// the own batch looks the same.
    pub fn on_conflict(&mut self, seq: u64, now: Time) -> Outcome {
        if !self.is_awaiting(seq) {
            return Outcome::Wait(Vec::new());
        }
        if let Some(sent) = &mut self.in_flight {
            sent.due = now + STORE_TIMEOUT;
        }
        Outcome::Wait(vec![Action::Read { seq }])
    }

    /// Handles the content of a position that was in conflict.
    pub fn on_read(&mut self, seq: u64, entry: Option<LogEntry>, now: Time) -> Outcome {
        if !self.is_awaiting(seq) {
            return Outcome::Wait(Vec::new());
        }
        let Some(entry) = entry else {
            return self.resend(now);
        };
        let own = self.in_flight.as_ref().map(|sent| &sent.batch) == Some(&entry.batch);
        if own && entry.version == 1 {
            return self.confirm();
        }
        if entry.version == 1 && entry.batch.fence <= self.fence {
            return Outcome::Reload;
        }
        Outcome::Superseded
    }

    /// Handles a failure of the store; schedules the request again with backoff.
    pub fn on_unavailable(&mut self, now: Time) {
        if let Some(sent) = &mut self.in_flight {
            sent.due = now + sent.wait;
            sent.wait = (sent.wait * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns the batch in flight if it is due to be sent again.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let due = self.in_flight.as_ref().is_some_and(|sent| sent.due <= now);
        if !due {
            return Vec::new();
        }
        match self.resend(now) {
            Outcome::Wait(actions) => actions,
            _ => Vec::new(),
        }
    }

    /// Returns the position that a snapshot has to cover; `None` while none is due.
    pub fn snapshot_due(&self) -> Option<u64> {
        let due = self.in_flight.is_none()
            && self.last_seq >= self.snapshot_seq + SNAPSHOT_INTERVAL_BATCHES;
        due.then_some(self.last_seq)
    }

    /// Records that a snapshot up to the last position is being written, and returns
    /// the last position that may be trimmed. The batches since the previous
    /// snapshot stay, for readers that still have that one.
    pub fn record_snapshot(&mut self) -> u64 {
        let trim = self.snapshot_seq;
        self.snapshot_seq = self.last_seq;
        trim
    }

    fn is_awaiting(&self, seq: u64) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|sent| sent.batch.seq == seq)
    }

    fn confirm(&mut self) -> Outcome {
        match self.in_flight.take() {
            Some(sent) => {
                self.last_seq = sent.batch.seq;
                Outcome::Stored(Box::new(sent.batch))
            }
            None => Outcome::Wait(Vec::new()),
        }
    }

    fn resend(&mut self, now: Time) -> Outcome {
        let Some(sent) = &mut self.in_flight else {
            return Outcome::Wait(Vec::new());
        };
        sent.due = now + STORE_TIMEOUT;
        Outcome::Wait(vec![Action::Append(Box::new(sent.batch.clone()))])
    }
}

/// End of a log that was replayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEnd {
    /// Last position of the log.
    pub last_seq: u64,
    /// Position that the snapshot covers.
    pub snapshot_seq: u64,
    /// Highest fence among the writers of the snapshot and the batches.
    pub fence: Fence,
}

/// Passes the jobs of a snapshot and of the batches after it to `restore`, oldest
/// first. Returns `None` if a position is missing or was created again after it
/// was trimmed.
pub fn replay(
    snapshot: Option<Snapshot>,
    batches: Vec<LogEntry>,
    restore: &mut dyn FnMut(Job),
) -> Option<LogEnd> {
    let snapshot_seq = snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
    let mut fence = snapshot.as_ref().map_or(0, |snapshot| snapshot.fence);
    let mut last_seq = snapshot_seq;
    for job in snapshot.into_iter().flat_map(|snapshot| snapshot.jobs) {
        restore(job);
    }
    for entry in batches {
        if entry.batch.seq <= last_seq {
            continue;
        }
        if entry.batch.seq != last_seq + 1 || entry.version != 1 {
            return None;
        }
        last_seq = entry.batch.seq;
        fence = fence.max(entry.batch.fence);
        entry.batch.jobs.into_iter().for_each(&mut *restore);
    }
    Some(LogEnd {
        last_seq,
        snapshot_seq,
        fence,
    })
}
