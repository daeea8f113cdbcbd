//! A held lease and its deadline.

use std::time::Duration;

use crate::id::Fence;
use crate::id::Time;

/// Time that an entry's session lease lasts after a renewal.
pub const SESSION_TTL: Duration = Duration::from_secs(6);

/// Period of renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time before the end of a lease from which the holder no longer relies on it.
///
/// Covers the delay between the check and the action, and clocks that run at different rates.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// A lease that this entry holds.
///
/// The deadline counts from the moment before the renewal was sent, because the
/// store counts from a later one. Check [`Lease::valid`] right before every
/// action: a holder that was paused past its deadline then does nothing.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::lease::Lease;
///
/// let lease = Lease::new(7, Duration::from_secs(10), Duration::from_secs(6));
/// assert!(lease.valid(Duration::from_secs(15)));
/// assert!(!lease.valid(Duration::from_millis(15_500)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    fence: Fence,
    deadline: Time,
}

impl Lease {
    /// Creates a lease whose request was sent at `sent` and that lasts for `ttl`.
    pub fn new(fence: Fence, sent: Time, ttl: Duration) -> Self {
        let deadline = deadline(sent, ttl);
        Self { fence, deadline }
    }

    /// Takes note of a renewal that was sent at `sent` and confirmed.
    ///
    /// A confirmation that arrives out of order does not shorten the lease.
    pub fn renewed(&mut self, sent: Time, ttl: Duration) {
        self.deadline = self.deadline.max(deadline(sent, ttl));
    }

    /// Returns a lease with the same deadline and another fence.
    pub fn with_fence(self, fence: Fence) -> Self {
        Self { fence, ..self }
    }

    /// Returns whether the holder may act.
    pub fn valid(&self, now: Time) -> bool {
        now < self.deadline
    }

    /// Returns when the lease ends at the latest, less the margin.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the fencing number that goes with every action.
    pub fn fence(&self) -> Fence {
        self.fence
    }
}

fn deadline(sent: Time, ttl: Duration) -> Time {
    sent + ttl.saturating_sub(EXPIRY_MARGIN)
}
