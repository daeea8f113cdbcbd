//! The lease that one worker is granted, and the starts that may still reach it.

use std::collections::BTreeSet;

use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::WORKER_LEASE;
use crate::batch::worker;
use crate::id::Time;

/// Lease of a worker as its granter knows it.
///
/// Once a lease has ended its runs are given up, and they may start elsewhere.
/// A start that was sent before and has no answer is refused by the worker as
/// long as the lease stays ended, but would be carried out under a new one. So
/// no new lease begins until each such start was stopped.
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
    /// Time on the worker's clock in milliseconds, and when it was read.
    clock: Option<(u64, Time)>,
    /// End of the lease on the worker's clock, in milliseconds.
    until: u64,
    /// When the lease has certainly ended.
    ends: Option<Time>,
    /// When a lease that had ended was last followed by a new one.
    renewed: Time,
    /// Starts whose outcome is unknown.
    doubtful: BTreeSet<(TaskId, Run)>,
}

impl Grant {
    /// Notes the worker's clock.
    pub fn record_clock(&mut self, millis: u64, now: Time) {
        self.clock = Some((millis, now));
    }

    /// Returns the end of the lease on the worker's clock in milliseconds, if the clock is known.
    pub fn expiry_ms(&self) -> Option<u64> {
        self.clock.map(|_| self.until)
    }

    /// Extends the lease; returns its new end on the worker's clock in milliseconds.
    ///
    /// Returns nothing if the clock is unknown, or if the lease has ended and a
    /// start from before may still arrive.
    pub fn extend(&mut self, now: Time) -> Option<u64> {
        let (millis, read) = self.clock?;
        if self.ended(now) {
            if !self.doubtful.is_empty() {
                return None;
            }
            self.renewed = now;
        }
        let elapsed = now.saturating_sub(read) + WORKER_LEASE;
        self.until = self.until.max(millis + elapsed.as_millis() as u64);
        self.ends = Some(now + worker::longest_lease());
        Some(self.until)
    }

    /// Returns whether a start that was ordered at `ordered` may be sent now.
    ///
    /// Its run was given up if the lease has ended since then.
    pub fn may_start(&self, ordered: Time, now: Time) -> bool {
        ordered >= self.renewed && !self.ended(now)
    }

    /// Notes a start that is sent.
    pub fn start_sent(&mut self, task: &TaskId, run: Run) {
        self.doubtful.insert((task.clone(), run));
    }

    /// Notes that a start was answered, or that it cannot be carried out any more.
    pub fn start_settled(&mut self, task: &TaskId, run: Run) {
        self.doubtful.remove(&(task.clone(), run));
    }

    /// Returns the starts that have to be stopped before a new lease begins.
    pub fn starts_to_stop(&self, now: Time) -> Vec<(TaskId, Run)> {
        match self.ended(now) {
            true => self.doubtful.iter().cloned().collect(),
            false => Vec::new(),
        }
    }

    fn ended(&self, now: Time) -> bool {
        self.ends.is_some_and(|ends| now >= ends)
    }
}
