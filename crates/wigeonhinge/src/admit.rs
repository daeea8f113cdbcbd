//! Admission control: bounded queues with guaranteed floors and fair sharing.
//!
//! The slots of a pool serve the queue of its own service first; this is the
//! guaranteed floor of the service. Slots of the spare pool that its own queue
//! leaves idle serve the other queues by priority. Within a queue, teams and
//! callers get equal shares of the time in slots.

mod drr;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::CallerId;
use crate::id::Index;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;
use crate::outcome::ErrorKind;

use crate::admit::queue::Queue;

/// Maximum length of the queue of a service that has no limit in the configuration.
pub const DEFAULT_QUEUE_LIMIT: usize = 1_024;

/// One in this many slots of the spare pool is reserved for the pool's own queue.
pub const SPARE_RESERVE_DIVISOR: u32 = 12;

/// A request that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number that the embedder gave the request.
    pub ticket: Ticket,
    /// Position in the order of arrival; the lowest is served first within a caller.
    pub order: u64,
    /// Service that the request is for.
    pub service: Index,
    /// Caller, the unit of fair sharing within a team.
    pub caller: CallerId,
    /// Team of the caller; empty for a caller without a team.
    pub team: TeamId,
    /// Time at which the caller gives up.
    pub deadline: Time,
}

/// Rate at which the slots of a service finish requests, to estimate waiting times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Throughput {
    /// Slots of the service, free or not; with 0 the waiting time is not estimated.
    pub slots: u32,
    /// Mean time for which a request occupies a slot.
    pub mean_time: Duration,
}

/// Slots of a pool that this entry may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// Slots that no request occupies.
    pub free: u32,
    /// All slots, free or not.
    pub total: u32,
}

/// The request queues of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::admit::Admission;
/// use wigeonhinge::admit::QueuedRequest;
/// use wigeonhinge::admit::Slots;
/// use wigeonhinge::admit::Throughput;
///
/// let mut admission = Admission::default();
/// admission.set_queue(0, 1, 0);
/// let request = QueuedRequest {
///     ticket: 1,
///     order: 1,
///     service: 0,
///     caller: "10.0.0.1".into(),
///     team: "".into(),
///     deadline: Duration::from_secs(10),
/// };
/// assert_eq!(admission.enqueue(request, Throughput::default(), Duration::ZERO), Ok(None));
/// let slots = Slots { free: 1, total: 8 };
/// assert_eq!(admission.dequeue(0, slots), Some(1));
/// assert_eq!(admission.dequeue(0, slots), None);
/// ```
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<Index, Queue>,
    spare: Option<Index>,
}

impl Admission {
    /// Adds or reconfigures the queue of a service.
    ///
    /// Priority 0 is the most urgent. A `limit` of 0 stands for
    /// [`DEFAULT_QUEUE_LIMIT`].
    pub fn set_queue(&mut self, service: Index, priority: u32, limit: u32) {
        let limit = match limit {
            0 => DEFAULT_QUEUE_LIMIT,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let queue = self.queues.entry(service).or_default();
        queue.priority = priority;
        queue.limit = limit;
    }

    /// Sets the service of the spare pool; none if there is no spare pool.
    pub fn set_spare(&mut self, spare: Option<Index>) {
        self.spare = spare;
    }

    /// Adds a request to the queue of its service.
    ///
    /// If the queue is full, a request of the team or caller with the longest
    /// backlog is displaced. Its ticket is returned, to be refused with
    /// [`ErrorKind::QueueFull`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::DeadlineBeforeSend`] if the request would probably not be
    /// finished by its deadline, [`ErrorKind::QueueFull`] if the queue is full
    /// and the request's own backlog is the longest.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        throughput: Throughput,
        now: Time,
    ) -> Result<Option<Ticket>, ErrorKind> {
        let queue = self.queues.entry(request.service).or_default();
        if request.deadline <= now || queue.would_expire(&request, throughput, now) {
            return Err(ErrorKind::DeadlineBeforeSend);
        }
        if queue.len() < queue.limit {
            queue.push(request);
            return Ok(None);
        }
        let dropped = queue.displace(&request).ok_or(ErrorKind::QueueFull)?;
        queue.push(request);
        Ok(Some(dropped))
    }

    /// Puts a dequeued request back that did not run to its end, without charging for it.
    pub fn requeue(&mut self, request: QueuedRequest) {
        let queue = self.queues.entry(request.service).or_default();
        queue.charge(&request.team, &request.caller, 0);
        queue.push(request);
    }

    /// Removes and returns the next request for a free slot of a pool.
    ///
    /// `pool` is the index of the pool's service, whose queue comes first. The
    /// spare pool then serves the most urgent other queue, among equals the one
    /// with the earliest deadline, as long as one slot in
    /// [`SPARE_RESERVE_DIVISOR`] stays free.
    pub fn dequeue(&mut self, pool: Index, slots: Slots) -> Option<Ticket> {
        if slots.free == 0 {
            return None;
        }
        let own = self.queues.get_mut(&pool).and_then(Queue::dequeue);
        if own.is_some() || self.spare != Some(pool) {
            return own;
        }
        if slots.free <= slots.total.div_ceil(SPARE_RESERVE_DIVISOR) {
            return None;
        }
        self.queues
            .values_mut()
            .filter_map(|queue| Some((queue.priority, queue.earliest_deadline()?, queue)))
            .min_by_key(|(priority, deadline, _)| (*priority, *deadline))
            .and_then(|(_, _, queue)| queue.dequeue())
    }

    /// Removes a waiting request from its queue; no effect if it does not wait there.
    pub fn remove(&mut self, request: &QueuedRequest) {
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(request);
        }
    }

    /// Ends a dequeued request and charges its team and caller for the time in a slot.
    ///
    /// `cost` is that time in thousandths of the service's mean time.
    pub fn charge(&mut self, service: Index, team: &TeamId, caller: &CallerId, cost: i64) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.charge(team, caller, cost);
        }
    }

    /// Removes the requests whose deadline has passed and returns their tickets.
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

    /// Returns whether no request waits in any queue.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.len() == 0)
    }
}
