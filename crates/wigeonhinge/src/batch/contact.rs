//! Contact of a role holder to the store and to its workers, without which it extends no leases.
//!
//! A holder that has lost the store but is answered by most workers goes on. Once half of the
//! workers have the fence of a successor, it cannot hear a majority any more; the successor waits for
//! the end of the leases that were extended until then.

use std::time::Duration;

use crate::batch::Batch;
use crate::batch::CONTACT_TIMEOUT;
use crate::batch::DEREGISTRATION_TIME;
use crate::batch::MAX_CLOCK_DRIFT;
use crate::batch::WORKER_LEASE;
use crate::batch::worker::Worker;
use crate::id::Time;

/// Time for which the answers of most workers let a holder extend leases; several ticks, so that
/// the permission ends soon after the loop that counts the answers.
const MAJORITY_TIME: Duration = Duration::from_millis(200);

/// Signs that an entry still holds its role.
///
/// A successor waits for the end of all leases that its predecessor may have extended. So each
/// extension needs a recent sign, judged at the moment of the extension: the process may have been
/// suspended since the last one, or its main loop may have ended.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::Contact;
///
/// let contact = Contact::new(Duration::ZERO);
/// assert!(contact.may_extend(Duration::from_millis(1_400)));
/// assert!(!contact.may_extend(Duration::from_millis(1_500)));
///
/// let mut fenced = contact;
/// fenced.end();
/// assert!(!fenced.may_extend(Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    renewed_at: Time,
    majority_at: Option<Time>,
    ended: bool,
}

impl Contact {
    /// Creates the contact of an entry that acquired its role at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            renewed_at: now,
            majority_at: None,
            ended: false,
        }
    }

    /// Returns when the last successful renewal of the role's lease was sent.
    pub fn renewed_at(&self) -> Time {
        self.renewed_at
    }

    /// Records a successful renewal of the role's lease, with the time at which it was sent.
    pub fn renew(&mut self, sent_at: Time) {
        self.renewed_at = sent_at;
    }

    /// Records that most workers answer.
    pub fn hear_majority(&mut self, now: Time) {
        self.majority_at = Some(now);
    }

    /// Records that another entry holds the role, or that its lease has ended.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Returns whether leases of workers may be extended.
    ///
    /// The store may be out for long, while nobody can take over. Then the answers of most workers
    /// are enough: those of a successor have a higher fence, which ends the term.
    pub fn may_extend(&self, now: Time) -> bool {
        let recent = |time: Time, limit| now.saturating_sub(time) < limit;
        let majority = self.majority_at.is_some_and(|it| recent(it, MAJORITY_TIME));
        !self.ended && (majority || recent(self.renewed_at, CONTACT_TIMEOUT))
    }
}

/// Returns the time after which a lease that a predecessor extended has ended, from when half of the
/// workers have the fence of its successor.
///
/// The predecessor hears no majority any more by then, but counts the answers to polls that it sent
/// up to a contact time-out before.
pub(super) fn predecessor_lease() -> Duration {
    WORKER_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + CONTACT_TIMEOUT + MAJORITY_TIME
}

impl Batch {
    /// Returns the number of workers that reported recently, and of those expected to.
    ///
    /// Workers that joined within the contact time-out, left the registry, or whose machines
    /// were ordered away are not expected to report.
    pub fn count_responsive(&self, now: Time) -> (usize, usize) {
        let leaving = |worker: &Worker| {
            let ordered = worker.ordered_at;
            ordered.is_some_and(|time| now.saturating_sub(time) < DEREGISTRATION_TIME)
        };
        let expected = self.workers.values().filter(|worker| {
            let new = now.saturating_sub(worker.registered_at) < CONTACT_TIMEOUT;
            let gone = worker.unregistered || worker.replaced || leaving(worker);
            !gone && !new && !self.is_parked(worker)
        });
        let responsive =
            |worker: &&Worker| now.saturating_sub(worker.reported_at) < CONTACT_TIMEOUT;
        (
            expected.clone().filter(responsive).count(),
            expected.count(),
        )
    }

    /// Returns whether most workers answer polls that were sent recently.
    ///
    /// A worker checks the fence when a poll arrives, so an answer shows nothing about the time
    /// after that.
    pub fn hears_majority(&self, now: Time) -> bool {
        let (heard, polled) =
            self.count_polled(|it| now.saturating_sub(it.requested_at) < CONTACT_TIMEOUT);
        heard * 2 > polled
    }

    /// Moves the ends of leases that a predecessor may still extend along with the time, until half
    /// of the workers have reported under the current fence: the others are no majority.
    pub(super) fn await_majority(&mut self, now: Time) {
        if self.has_majority {
            return;
        }
        let (reported, polled) = self.count_polled(|it| it.has_reported);
        self.has_majority = polled > 0 && reported * 2 >= polled;
        let lease_end = now + predecessor_lease();
        for id in self.workers.select(|worker| !worker.has_reported) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.lease_end = worker.lease_end.max(lease_end);
            }
        }
    }

    /// Counts the registered workers that are polled: those for which a condition holds, and all.
    ///
    /// Unlike [`Batch::count_responsive`], it leaves out none that a successor counts.
    fn count_polled(&self, condition: impl Fn(&Worker) -> bool) -> (usize, usize) {
        let polled =
            |worker: &&Worker| !worker.unregistered && !worker.replaced && !self.is_parked(worker);
        let polled = self.workers.values().filter(polled);
        (
            polled.clone().filter(|it| condition(it)).count(),
            polled.count(),
        )
    }
}
