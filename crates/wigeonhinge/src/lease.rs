//! Lease of an entry in the store, and until when the holder may rely on it.

use std::time::Duration;

use crate::id::Fence;
use crate::id::Time;

/// Duration of an entry's session lease from each renewal.
pub const SESSION_TTL: Duration = Duration::from_secs(6);

/// Interval between renewals of the session lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time before the end of a lease at which the holder stops relying on it.
///
/// Covers the delay between check and action, and clocks that run at different
/// rates.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// A lease held by this entry.
///
/// The deadline counts from just before the request was sent, which is earlier
/// than the moment from which the store counts. Check [`Lease::valid`] right
/// before every action, so that a holder that was paused past its deadline does
/// nothing.
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
    /// Creates a lease of duration `ttl` whose request was sent at `sent`.
    pub fn new(fence: Fence, sent: Time, ttl: Duration) -> Self {
        let deadline = deadline(sent, ttl);
        Self { fence, deadline }
    }

    /// Extends the lease after a confirmed renewal whose request was sent at `sent`.
    ///
    /// A confirmation that arrives out of order does not shorten the lease.
    pub fn renewed(&mut self, sent: Time, ttl: Duration) {
        self.deadline = self.deadline.max(deadline(sent, ttl));
    }

    /// Returns a lease with the same deadline and another fence.
    pub fn with_fence(self, fence: Fence) -> Self {
        Self { fence, ..self }
    }

    /// Returns whether the holder may act at `now`.
    pub fn valid(&self, now: Time) -> bool {
        now < self.deadline
    }

    /// Returns the time until which the holder may act; [`EXPIRY_MARGIN`] is already
    /// subtracted.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the fencing number to send with every action.
    pub fn fence(&self) -> Fence {
        self.fence
    }
}

fn deadline(sent: Time, ttl: Duration) -> Time {
    sent + ttl.saturating_sub(EXPIRY_MARGIN)
}
