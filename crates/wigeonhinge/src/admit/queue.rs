//! Queue of one service.

use std::collections::BTreeMap;

use crate::admit::DEFAULT_QUEUE_LIMIT;
use crate::admit::Pace;
use crate::admit::Waiting;
use crate::admit::ring::Ring;
use crate::id::CallerId;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;

/// Requests that wait for one service, by team and caller.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) priority: u32,
    pub(crate) limit: usize,
    groups: Ring<Group>,
    callers: BTreeMap<Group, Ring<CallerId>>,
    waiting: BTreeMap<Flow, BTreeMap<u64, Waiting>>,
    deadlines: BTreeMap<(Time, u64), Flow>,
}

/// Those who share a turn: a team, or a caller without one.
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
            groups: Ring::default(),
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

    /// Returns the earliest deadline of the waiting requests.
    pub(crate) fn earliest(&self) -> Option<Time> {
        self.deadlines.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Returns whether a request would wait beyond its deadline, by the order of turns.
    ///
    /// A request that finds the queue empty is always tried, so that the mean
    /// is measured again after it was too high.
    pub(crate) fn hopeless(&self, waiting: &Waiting, pace: Pace, now: Time) -> bool {
        if self.len() == 0 || pace.slots == 0 {
            return false;
        }
        let ahead = u32::try_from(self.ahead(waiting)).unwrap_or(u32::MAX);
        let wait = pace.mean.saturating_mul(ahead) / pace.slots;
        now + wait + pace.mean * 3 / 2 > waiting.deadline
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let flow = flow(&waiting.team, &waiting.caller);
        self.groups.push(&flow.0);
        self.callers
            .entry(flow.0.clone())
            .or_default()
            .push(&flow.1);
        self.deadlines
            .insert((waiting.deadline, waiting.order), flow.clone());
        self.waiting
            .entry(flow)
            .or_default()
            .insert(waiting.order, waiting);
    }

    /// Takes out the request whose turn it is.
    pub(crate) fn next(&mut self) -> Option<Ticket> {
        let group = self.groups.next()?;
        let caller = self.callers.get_mut(&group)?.next()?;
        let flow = (group, caller);
        let order = *self.waiting.get(&flow)?.keys().next()?;
        self.detach(&flow, order).map(|waiting| waiting.ticket)
    }

    pub(crate) fn remove(&mut self, waiting: &Waiting) {
        let flow = flow(&waiting.team, &waiting.caller);
        self.drop(&flow, waiting.order);
    }

    /// Makes room for a request at the cost of the longest backlog.
    ///
    /// Removes the newest request of that backlog and returns its ticket; none
    /// if the longest backlog is that of the request itself.
    pub(crate) fn displace(&mut self, waiting: &Waiting) -> Option<Ticket> {
        let (group, caller) = flow(&waiting.team, &waiting.caller);
        let (longest, most) = self.groups.longest()?;
        let callers = self.callers.get(&longest)?;
        let (loser, backlog) = callers.longest()?;
        let fair = if longest == group {
            callers.backlog(&caller) + 1 < backlog
        } else {
            self.groups.backlog(&group) + 1 < most
        };
        if !fair {
            return None;
        }
        let flow = (longest, loser);
        let order = *self.waiting.get(&flow)?.keys().next_back()?;
        self.drop(&flow, order)
    }

    /// Ends the turn of a request that was taken out, at a cost in thousandths of the mean.
    pub(crate) fn pay(&mut self, team: &TeamId, caller: &CallerId, cost: i64) {
        let (group, caller) = flow(team, caller);
        self.groups.pay(&group, cost);
        if let Some(callers) = self.callers.get_mut(&group) {
            callers.pay(&caller, cost);
            if callers.unused() {
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
            expired.extend(self.drop(&flow, order));
        }
    }

    /// Returns how many requests probably go before one that joins now.
    fn ahead(&self, waiting: &Waiting) -> usize {
        let (group, caller) = flow(&waiting.team, &waiting.caller);
        let within = self.callers.get(&group).map_or(0, |callers| {
            let turns = (callers.backlog(&caller) + 1) * callers.active();
            turns.min(self.groups.backlog(&group))
        });
        let turns = (within + 1) * self.groups.active().max(1);
        turns.min(self.len())
    }

    fn drop(&mut self, flow: &Flow, order: u64) -> Option<Ticket> {
        let waiting = self.detach(flow, order)?;
        self.groups.remove(&flow.0);
        if let Some(callers) = self.callers.get_mut(&flow.0) {
            callers.remove(&flow.1);
            if callers.unused() {
                self.callers.remove(&flow.0);
            }
        }
        Some(waiting.ticket)
    }

    fn detach(&mut self, flow: &Flow, order: u64) -> Option<Waiting> {
        let list = self.waiting.get_mut(flow)?;
        let waiting = list.remove(&order)?;
        if list.is_empty() {
            self.waiting.remove(flow);
        }
        self.deadlines.remove(&(waiting.deadline, order));
        Some(waiting)
    }
}

fn flow(team: &TeamId, caller: &CallerId) -> Flow {
    let group = match team.as_str() {
        "" => Group::Caller(caller.clone()),
        _ => Group::Team(team.clone()),
    };
    (group, caller.clone())
}
