//! Workers in memory: what may run on each and what it reported.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::Run;
use crate::batch::Size;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::id::JobId;
use crate::id::Time;

/// Time beyond a lease for which a run on a silent worker counts as alive.
pub(super) const LAPSE_SLACK: Duration = Duration::from_millis(200);

/// Time without a report after which a worker gets no new work.
const SILENCE: Duration = Duration::from_millis(900);

/// Time after the store's return in which entries that lapsed meanwhile come back.
const RETURN: Duration = Duration::from_millis(2_500);

/// Time for which a worker that fails what it starts gets no work.
const QUARANTINE: Duration = Duration::from_secs(5);

/// Failed ends in a row after which a worker is quarantined.
const FAIL_STREAK: u32 = 2;

/// Returns the time after which a lease that begins now has ended for certain.
pub(super) fn longest_lease() -> Duration {
    super::WORKER_LEASE.mul_f64(1.0 + super::MAX_CLOCK_DRIFT) + LAPSE_SLACK
}

/// State of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Room is reserved; the record is not stored yet.
    Reserved,
    /// A start was sent, or is recorded by a predecessor.
    Starting,
    /// The worker confirmed the start at this time.
    Confirmed(Time),
    /// A stop was sent, and answered if the second time is set.
    Stopping(Time, Option<Time>),
}

/// Run that may exist on a worker.
#[derive(Clone, Debug)]
pub(super) struct RunState {
    pub(super) run: Run,
    pub(super) size: Size,
    pub(super) stage: Stage,
    pub(super) since: Time,
    pub(super) percent: u32,
    /// When the percentage last rose.
    pub(super) progress: Time,
    pub(super) long_running: bool,
    pub(super) best_effort: bool,
    pub(super) goal_ms: u64,
    /// Reported tail in milliseconds, of a task that serves.
    pub(super) measurement: f64,
    /// Share at which it was told to work, in percent.
    pub(super) pace: u32,
}

/// Worker as the scheduler knows it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) runs: BTreeMap<TaskId, RunState>,
    pub(super) used: Size,
    /// Whether it listed its runs under this fence.
    pub(super) listed: bool,
    /// Whether the registry no longer has it.
    pub(super) absent: bool,
    pub(super) absent_since: Time,
    /// Whether its machine has another life.
    pub(super) gone: bool,
    pub(super) incarnation: u64,
    pub(super) joined: Time,
    pub(super) heard: Time,
    /// When its last lease has certainly ended.
    pub(super) lapse: Time,
    /// Time before which it gets no new work.
    pub(super) pause: Time,
    /// Whether it is kept free for an order to its machine.
    pub(super) held: bool,
    /// When the order last asked for it.
    pub(super) held_at: Time,
    pub(super) streak: u32,
    /// When the pace of a filling task last changed.
    pub(super) paced: Time,
    /// When an order to its machine was last accepted.
    pub(super) ordered: Option<Time>,
    /// Whether its last list had runs that no record knows; they take room until they are gone.
    pub(super) unknown: bool,
    /// Highest end seen.
    pub(super) seen: u64,
    /// Ends whose result is not stored yet.
    ends: BTreeMap<u64, (JobId, u64)>,
    acknowledged: u64,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry, joined: Time, lapse: Time) -> Self {
        Self {
            incarnation: entry.incarnation,
            entry,
            runs: BTreeMap::new(),
            used: Size::default(),
            listed: false,
            absent: false,
            absent_since: Time::ZERO,
            gone: false,
            joined,
            heard: Time::ZERO,
            lapse,
            pause: Time::ZERO,
            held: false,
            held_at: Time::ZERO,
            streak: 0,
            paced: Time::ZERO,
            ordered: None,
            unknown: false,
            seen: 0,
            ends: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    pub(super) fn update(&mut self, entry: WorkerEntry) {
        self.absent = false;
        self.entry = entry;
    }

    /// Forgets what the last incarnation said.
    pub(super) fn reset(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.seen = 0;
        self.ends.clear();
        self.acknowledged = 0;
        self.streak = 0;
        self.pause = Time::ZERO;
    }

    pub(super) fn insert(&mut self, task: TaskId, run: RunState) {
        self.used = self.used.plus(run.size);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(old.size);
        }
    }

    pub(super) fn remove(&mut self, task: &TaskId) -> Option<RunState> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(run.size);
        Some(run)
    }

    pub(super) fn free(&self) -> Size {
        self.entry.capacity.minus(self.used)
    }

    /// Returns whether it may get new work.
    pub(super) fn usable(&self, now: Time) -> bool {
        self.listed
            && !self.gone
            && !self.missing(now)
            && !self.entry.draining
            && !self.held
            && !self.unknown
            && now.saturating_sub(self.heard) < SILENCE
    }

    /// Returns whether it refused or failed work lately.
    pub(super) fn paused(&self, now: Time) -> bool {
        now < self.pause
    }

    /// Returns whether the registry has not had it for longer than an outage explains.
    pub(super) fn missing(&self, now: Time) -> bool {
        self.absent && now.saturating_sub(self.absent_since) > RETURN
    }

    pub(super) fn anchored(&self) -> bool {
        self.runs.values().any(|run| run.long_running)
    }

    /// Adds an end whose result a row of this version will hold.
    pub(super) fn add_end(&mut self, number: u64, job: JobId, version: u64) {
        self.ends.insert(number, (job, version));
    }

    /// Drops the ends of a job that a stored row of a version holds; returns whether others
    /// of that job are left.
    pub(super) fn store_ends(&mut self, job: &JobId, version: u64) -> bool {
        let mut left = false;
        self.ends.retain(|_, (name, needed)| {
            let later = *needed > version;
            left |= name == job && later;
            name != job || later
        });
        left
    }

    /// Returns the number up to which ends can be acknowledged, if it rose.
    pub(super) fn acknowledge(&mut self) -> Option<u64> {
        let end = match self.ends.first_key_value() {
            Some((first, _)) => first - 1,
            None => self.seen,
        };
        let rose = end > self.acknowledged;
        self.acknowledged = self.acknowledged.max(end);
        rose.then_some(end)
    }
}

impl Batch {
    /// Notes how a run on a worker ended.
    pub(super) fn judge(&mut self, worker: &WorkerId, failed: bool, now: Time) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !failed {
            entry.streak = 0;
            return;
        }
        entry.streak += 1;
        if entry.streak >= FAIL_STREAK {
            entry.pause = now + QUARANTINE;
            entry.streak = FAIL_STREAK - 1;
            self.note(format!(
                "jobs: worker {worker} is quarantined after failed runs"
            ));
        }
    }

    /// Quarantines a worker on which a run stood still.
    pub(super) fn distrust(&mut self, worker: &WorkerId, now: Time) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.pause = now + QUARANTINE;
        }
    }
}

impl RunState {
    pub(super) fn new(run: Run, step: &super::Step, stage: Stage, now: Time) -> Self {
        Self {
            run,
            size: step.size(),
            stage,
            since: now,
            percent: 0,
            progress: now,
            long_running: step.long_running,
            best_effort: step.best_effort,
            goal_ms: step.goal_ms,
            measurement: 0.0,
            pace: 100,
        }
    }
}
