//! Bounded queues: floors, spare capacity by priority, fairness among callers and teams.
//!
//! The slots of a pool serve the queue of its own service first, which is the
//! floor of that queue. Slots that the spare pool's queue leaves idle serve the
//! other queues.

mod queue;
mod ring;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::CallerId;
use crate::id::Index;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;
use crate::outcome::ErrorKind;

use crate::admit::queue::Queue;

/// Requests that an entry queues for a service whose limit is not configured.
pub const DEFAULT_QUEUE_LIMIT: usize = 1_024;

/// Of this number of slots of the spare pool, one stays free of other queues' work.
pub const SPARE_RESERVE_DIVISOR: u32 = 12;

/// A request that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
    /// Position in the order of arrival; a lower one is first.
    pub order: u64,
    /// Service.
    pub service: Index,
    /// Caller.
    pub caller: CallerId,
    /// Team; empty without one.
    pub team: TeamId,
    /// When the caller gives up.
    pub deadline: Time,
}

/// What the slots of a service can do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    /// Slots, free or not.
    pub slots: u32,
    /// Mean time that a request occupies a slot.
    pub mean: Duration,
}

/// Free slots of a service's upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Free slots.
    pub free: u32,
    /// Slots, free or not.
    pub total: u32,
}

/// The queues of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::admit::Admission;
/// use wigeonhinge::admit::Pace;
/// use wigeonhinge::admit::Room;
/// use wigeonhinge::admit::Waiting;
///
/// let mut admission = Admission::default();
/// admission.set(0, 1, 0);
/// let waiting = Waiting {
///     ticket: 1,
///     order: 1,
///     service: 0,
///     caller: "10.0.0.1".into(),
///     team: "".into(),
///     deadline: Duration::from_secs(10),
/// };
/// assert_eq!(admission.arrive(waiting, Pace::default(), Duration::ZERO), Ok(None));
/// let room = Room { free: 1, total: 8 };
/// assert_eq!(admission.next(0, room), Some(1));
/// assert_eq!(admission.next(0, room), None);
/// ```
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<Index, Queue>,
    spare: Option<Index>,
}

impl Admission {
    /// Adds or changes the queue of a service; a limit of 0 stands for [`DEFAULT_QUEUE_LIMIT`].
    ///
    /// Priority 0 is the most urgent.
    pub fn set(&mut self, service: Index, priority: u32, limit: u32) {
        let limit = match limit {
            0 => DEFAULT_QUEUE_LIMIT,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let queue = self.queues.entry(service).or_default();
        queue.priority = priority;
        queue.limit = limit;
    }

    /// Sets the service of the spare pool.
    pub fn lend(&mut self, spare: Option<Index>) {
        self.spare = spare;
    }

    /// Takes a request into its queue.
    ///
    /// Returns a request of the caller or team with the longest backlog that is
    /// refused with [`ErrorKind::QueueFull`] in its place.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::DeadlineBeforeSend`] if the request would probably wait longer
    /// than its caller, [`ErrorKind::QueueFull`] if the queue is full and its own
    /// backlog is the longest.
    pub fn arrive(
        &mut self,
        waiting: Waiting,
        pace: Pace,
        now: Time,
    ) -> Result<Option<Ticket>, ErrorKind> {
        let queue = self.queues.entry(waiting.service).or_default();
        if waiting.deadline <= now || queue.hopeless(&waiting, pace, now) {
            return Err(ErrorKind::DeadlineBeforeSend);
        }
        if queue.len() < queue.limit {
            queue.push(waiting);
            return Ok(None);
        }
        let dropped = queue.displace(&waiting).ok_or(ErrorKind::QueueFull)?;
        queue.push(waiting);
        Ok(Some(dropped))
    }

    /// Puts a request back that was taken out and did not run to its end.
    pub fn again(&mut self, waiting: Waiting) {
        let queue = self.queues.entry(waiting.service).or_default();
        queue.pay(&waiting.team, &waiting.caller, 0);
        queue.push(waiting);
    }

    /// Takes out the next request for the upstreams of a service.
    ///
    /// The service's own queue comes first. The spare pool then serves the most
    /// urgent other queue, and among equals the one with the earliest deadline,
    /// as long as one slot in [`SPARE_RESERVE_DIVISOR`] stays free.
    pub fn next(&mut self, pool: Index, room: Room) -> Option<Ticket> {
        if room.free == 0 {
            return None;
        }
        let own = self.queues.get_mut(&pool).and_then(Queue::next);
        if own.is_some() || self.spare != Some(pool) {
            return own;
        }
        if room.free <= room.total.div_ceil(SPARE_RESERVE_DIVISOR) {
            return None;
        }
        self.queues
            .values_mut()
            .filter_map(|queue| Some((queue.priority, queue.earliest()?, queue)))
            .min_by_key(|(priority, deadline, _)| (*priority, *deadline))
            .and_then(|(_, _, queue)| queue.next())
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, waiting: &Waiting) {
        if let Some(queue) = self.queues.get_mut(&waiting.service) {
            queue.remove(waiting);
        }
    }

    /// Charges a request that was taken out with the time that it occupied a slot.
    ///
    /// `share` is that time in thousandths of the service's mean.
    pub fn charge(&mut self, service: Index, team: &TeamId, caller: &CallerId, share: i64) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.pay(team, caller, share);
        }
    }

    /// Removes the requests whose deadline has passed and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.expire(now, &mut expired);
        }
        expired
    }

    /// Returns the number of waiting requests of a service.
    pub fn len(&self, service: Index) -> usize {
        self.queues.get(&service).map_or(0, Queue::len)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.len() == 0)
    }
}
