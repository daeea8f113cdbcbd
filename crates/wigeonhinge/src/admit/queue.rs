//! Queue of a service.

use std::collections::BTreeMap;

use crate::admit::DEFAULT_QUEUE_LIMIT;
use crate::admit::QueuedRequest;
use crate::admit::Throughput;
use crate::admit::drr::RoundRobin;
use crate::id::CallerId;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;

/// Requests waiting for a service, shared fairly among groups and then among the callers of each.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) priority: u32,
    pub(crate) limit: usize,
    groups: RoundRobin<Group>,
    callers: BTreeMap<Group, RoundRobin<CallerId>>,
    /// Requests by flow and order of arrival.
    waiting: BTreeMap<Flow, BTreeMap<u64, QueuedRequest>>,
    /// Flows of all requests, by deadline and order of arrival.
    deadlines: BTreeMap<(Time, u64), Flow>,
}

/// Member of the outer round robin: a team, or a caller without a team.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Group {
    Team(TeamId),
    Caller(CallerId),
}

type Flow = (Group, CallerId);

impl Default for Queue {
    fn default() -> Self {
        Self {
            priority: 0,
            limit: DEFAULT_QUEUE_LIMIT,
            groups: RoundRobin::default(),
            callers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            deadlines: BTreeMap::new(),
        }
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the earliest deadline of all waiting requests; none if the queue is empty.
    pub(crate) fn earliest_deadline(&self) -> Option<Time> {
        self.deadlines.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Returns whether a request would probably not be finished by its deadline.
    ///
    /// The estimate is the wait by the order of turns plus one and a half times
    /// the mean time. If the queue is empty, the request is always admitted, so
    /// that a mean that became too high is measured again.
    pub(crate) fn would_expire(
        &self,
        request: &QueuedRequest,
        throughput: Throughput,
        now: Time,
    ) -> bool {
        if self.len() == 0 || throughput.slots == 0 {
            return false;
        }
        let ahead = u32::try_from(self.estimate_ahead(request)).unwrap_or(u32::MAX);
        let wait = throughput.mean_time.saturating_mul(ahead) / throughput.slots;
        now + wait + throughput.mean_time * 3 / 2 > request.deadline
    }

    pub(crate) fn push(&mut self, request: QueuedRequest) {
        let flow = flow(&request.team, &request.caller);
        self.groups.enqueue(&flow.0);
        self.callers
            .entry(flow.0.clone())
            .or_default()
            .enqueue(&flow.1);
        self.deadlines
            .insert((request.deadline, request.order), flow.clone());
        self.waiting
            .entry(flow)
            .or_default()
            .insert(request.order, request);
    }

    /// Removes and returns the request whose turn it is.
    pub(crate) fn dequeue(&mut self) -> Option<Ticket> {
        let group = self.groups.dequeue()?;
        let caller = self.callers.get_mut(&group)?.dequeue()?;
        let flow = (group, caller);
        let order = *self.waiting.get(&flow)?.keys().next()?;
        self.take(&flow, order).map(|request| request.ticket)
    }

    pub(crate) fn remove(&mut self, request: &QueuedRequest) {
        let flow = flow(&request.team, &request.caller);
        self.discard(&flow, request.order);
    }

    /// Makes room for a request by discarding one from the longest backlog.
    ///
    /// Removes the newest request of that backlog and returns its ticket. Returns
    /// none if the backlog of the request itself would be as long.
    pub(crate) fn displace(&mut self, request: &QueuedRequest) -> Option<Ticket> {
        let (group, caller) = flow(&request.team, &request.caller);
        let (longest_group, group_backlog) = self.groups.longest_backlog()?;
        let callers = self.callers.get(&longest_group)?;
        let (longest_caller, caller_backlog) = callers.longest_backlog()?;
        let shorter = if longest_group == group {
            callers.backlog(&caller) + 1 < caller_backlog
        } else {
            self.groups.backlog(&group) + 1 < group_backlog
        };
        if !shorter {
            return None;
        }
        let flow = (longest_group, longest_caller);
        let order = *self.waiting.get(&flow)?.keys().next_back()?;
        self.discard(&flow, order)
    }

    /// Ends a dequeued request and charges its group and caller, in thousandths of the mean time.
    pub(crate) fn charge(&mut self, team: &TeamId, caller: &CallerId, cost: i64) {
        let (group, caller) = flow(team, caller);
        self.groups.charge(&group, cost);
        if let Some(callers) = self.callers.get_mut(&group) {
            callers.charge(&caller, cost);
            if callers.is_empty() {
                self.callers.remove(&group);
            }
        }
    }

    pub(crate) fn expire(&mut self, now: Time, expired: &mut Vec<Ticket>) {
        while let Some((&(deadline, order), flow)) = self.deadlines.first_key_value() {
            if deadline > now {
                return;
            }
            let flow = flow.clone();
            expired.extend(self.discard(&flow, order));
        }
    }

    /// Estimates how many waiting requests are served before a request that is enqueued now.
    fn estimate_ahead(&self, request: &QueuedRequest) -> usize {
        let (group, caller) = flow(&request.team, &request.caller);
        let within = self.callers.get(&group).map_or(0, |callers| {
            let turns = (callers.backlog(&caller) + 1) * callers.active_members();
            turns.min(self.groups.backlog(&group))
        });
        let turns = (within + 1) * self.groups.active_members().max(1);
        turns.min(self.len())
    }

    fn discard(&mut self, flow: &Flow, order: u64) -> Option<Ticket> {
        let request = self.take(flow, order)?;
        self.groups.remove(&flow.0);
        if let Some(callers) = self.callers.get_mut(&flow.0) {
            callers.remove(&flow.1);
            if callers.is_empty() {
                self.callers.remove(&flow.0);
            }
        }
        Some(request.ticket)
    }

    fn take(&mut self, flow: &Flow, order: u64) -> Option<QueuedRequest> {
        let requests = self.waiting.get_mut(flow)?;
        let request = requests.remove(&order)?;
        if requests.is_empty() {
            self.waiting.remove(flow);
        }
        self.deadlines.remove(&(request.deadline, order));
        Some(request)
    }
}

fn flow(team: &TeamId, caller: &CallerId) -> Flow {
    let group = match team.as_str() {
        "" => Group::Caller(caller.clone()),
        _ => Group::Team(team.clone()),
    };
    (group, caller.clone())
}
