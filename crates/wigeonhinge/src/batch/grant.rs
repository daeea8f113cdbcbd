//! Lease granted to one worker, and starts that may still reach the worker.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::MAX_CLOCK_DRIFT;
use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::WORKER_LEASE;
use crate::batch::worker;
use crate::id::Time;

/// Most by which a reading of a clock in milliseconds may be behind, as a worker rounds its time before
/// and after it applies the rate of its clock. A restart that moves a clock by less than this moves the
/// end of a lease by less than the grace after it.
const CLOCK_ROUNDING: Duration = Duration::from_millis(20);

/// Lease of a worker, as known to the entry that grants it.
///
/// Once a lease has expired, its runs are considered lost and may start on another
/// worker. A start that was sent earlier and not answered is refused by the worker
/// while the lease is expired, but would be executed under a new lease. Therefore
/// no new lease begins until every such start has been stopped.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::Grant;
///
/// let mut grant = Grant::default();
/// assert!(grant.extend(Duration::ZERO).is_none(), "the worker's clock is unknown");
/// grant.record_clock(5_000, Duration::ZERO);
/// assert_eq!(grant.extend(Duration::from_millis(200)), Some(8_700));
/// ```
#[derive(Debug, Default)]
pub struct Grant {
    /// Last reading of the worker's clock in milliseconds, and its local time.
    clock: Option<(u64, Time)>,
    /// Expiry of the lease on the worker's clock in milliseconds.
    expiry_ms: u64,
    /// Local time after which the lease has expired for certain.
    local_expiry: Option<Time>,
    /// When a new lease last began after an expired one, or the worker's incarnation.
    renewed_at: Time,
    /// Starts whose outcome is unknown.
    unsettled: BTreeSet<(TaskId, Run)>,
}

impl Grant {
    /// Records a reading of the worker's clock in milliseconds.
    pub fn record_clock(&mut self, millis: u64, now: Time) {
        self.clock = Some((millis, now));
    }

    /// Returns what the worker's clock shows at least when it receives a call that is sent now, or
    /// `None` if the clock is unknown. A clock that shows less is that of another incarnation.
    pub fn earliest_clock(&self, now: Time) -> Option<u64> {
        let (millis, read) = self.clock?;
        let passed = now.saturating_sub(read).mul_f64(1.0 - MAX_CLOCK_DRIFT);
        let earliest = millis + passed.as_millis() as u64;
        Some(earliest.saturating_sub(CLOCK_ROUNDING.as_millis() as u64))
    }

    /// Begins the lease of the worker's next incarnation, which refuses all calls that were meant for
    /// earlier ones. No start that was requested before is sent.
    pub fn restart(&mut self, now: Time) {
        *self = Self {
            renewed_at: now,
            ..Self::default()
        };
    }

    /// Returns the expiry of the lease on the worker's clock in milliseconds, or `None` if the
    /// clock is unknown.
    pub fn expiry_ms(&self) -> Option<u64> {
        self.clock.map(|_| self.expiry_ms)
    }

    /// Returns the local time after which the lease has expired for certain, or `None` if there was
    /// no lease yet.
    pub fn lease_end(&self) -> Option<Time> {
        self.local_expiry
    }

    /// Extends the lease and returns its new expiry on the worker's clock in milliseconds.
    ///
    /// Returns `None` if the clock is unknown, or if the lease has expired and an
    /// earlier start may still arrive.
    pub fn extend(&mut self, now: Time) -> Option<u64> {
        let (millis, read) = self.clock?;
        if self.expired(now) {
            if !self.unsettled.is_empty() {
                return None;
            }
            self.renewed_at = now;
        }
        let elapsed = now.saturating_sub(read) + WORKER_LEASE;
        self.expiry_ms = self.expiry_ms.max(millis + elapsed.as_millis() as u64);
        self.local_expiry = Some(now + worker::longest_lease());
        Some(self.expiry_ms)
    }

    /// Returns whether a start that the scheduler requested at `ordered` may be sent now.
    ///
    /// If the lease has expired since then, the scheduler considers its run lost.
    pub fn may_start(&self, ordered: Time, now: Time) -> bool {
        ordered >= self.renewed_at && !self.expired(now)
    }

    /// Records a start that is about to be sent.
    pub fn start_sent(&mut self, task: &TaskId, run: Run) {
        self.unsettled.insert((task.clone(), run));
    }

    /// Records that a start was answered or can no longer be executed.
    pub fn start_settled(&mut self, task: &TaskId, run: Run) {
        self.unsettled.remove(&(task.clone(), run));
    }

    /// Returns whether the outcome of every start is known.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// Returns the starts to stop before a new lease can begin; none while the lease lasts.
    pub fn starts_to_stop(&self, now: Time) -> Vec<(TaskId, Run)> {
        match self.expired(now) {
            true => self.unsettled.iter().cloned().collect(),
            false => Vec::new(),
        }
    }

    fn expired(&self, now: Time) -> bool {
        self.local_expiry.is_some_and(|expiry| now >= expiry)
    }
}
