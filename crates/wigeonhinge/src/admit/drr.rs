//! Deficit round-robin scheduling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Cost of a request that occupies a slot for the mean time, and the credit granted per turn.
const QUANTUM: i64 = 1_000;

/// Lower and upper bound of a member's debt.
///
/// Some run times are far from the mean; the upper bound limits how long a
/// member is passed over because of a single long request.
const DEBT_BOUNDS: (i64, i64) = (-2 * QUANTUM, 16 * QUANTUM);

/// Members that take turns as long as they have a backlog.
///
/// A request is charged one quantum when it is dequeued, and the difference to
/// its actual cost when it ends.
#[derive(Debug)]
pub(crate) struct RoundRobin<K> {
    members: BTreeMap<K, Member>,
    turns: BTreeMap<u64, K>,
    last_turn: u64,
    backlogs: BTreeSet<(usize, K)>,
}

#[derive(Debug, Default)]
struct Member {
    debt: i64,
    backlog: usize,
    running: usize,
    turn: u64,
}

impl<K> Default for RoundRobin<K> {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            turns: BTreeMap::new(),
            last_turn: 0,
            backlogs: BTreeSet::new(),
        }
    }
}

impl<K: Clone + Ord> RoundRobin<K> {
    /// Adds a request to the backlog of a member.
    pub(crate) fn enqueue(&mut self, key: &K) {
        let member = self.members.entry(key.clone()).or_default();
        self.backlogs.remove(&(member.backlog, key.clone()));
        member.backlog += 1;
        self.backlogs.insert((member.backlog, key.clone()));
        if member.backlog == 1 {
            self.last_turn += 1;
            member.turn = self.last_turn;
            self.turns.insert(self.last_turn, key.clone());
        }
    }

    /// Takes a request from the backlog of the member whose turn it is; returns that member.
    pub(crate) fn dequeue(&mut self) -> Option<K> {
        let only_member = self.turns.len() == 1;
        loop {
            let key = self.turns.values().next()?.clone();
            let member = self.members.get_mut(&key)?;
            if member.debt <= 0 || only_member {
                self.serve(&key);
                return Some(key);
            }
            member.debt -= QUANTUM;
            self.rotate(&key);
        }
    }

    /// Removes a request from the backlog of a member without serving it.
    pub(crate) fn remove(&mut self, key: &K) {
        self.decrement_backlog(key);
        self.remove_if_idle(key);
    }

    /// Ends a dequeued request and charges its member for it.
    pub(crate) fn charge(&mut self, key: &K, cost: i64) {
        if let Some(member) = self.members.get_mut(key) {
            member.running = member.running.saturating_sub(1);
            member.debt = member
                .debt
                .saturating_add(cost)
                .saturating_sub(QUANTUM)
                .clamp(DEBT_BOUNDS.0, DEBT_BOUNDS.1);
            self.remove_if_idle(key);
        }
    }

    /// Returns the member with the longest backlog, and its length.
    pub(crate) fn longest_backlog(&self) -> Option<(K, usize)> {
        self.backlogs
            .last()
            .map(|(backlog, key)| (key.clone(), *backlog))
    }

    /// Returns the length of a member's backlog.
    pub(crate) fn backlog(&self, key: &K) -> usize {
        self.members.get(key).map_or(0, |member| member.backlog)
    }

    /// Returns the number of members with a backlog.
    pub(crate) fn active_members(&self) -> usize {
        self.backlogs.len()
    }

    /// Returns whether no member has a request in its backlog or running.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn serve(&mut self, key: &K) {
        self.decrement_backlog(key);
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.running += 1;
        member.debt += QUANTUM;
        if member.debt > 0 {
            member.debt -= QUANTUM;
            self.rotate(key);
        }
    }

    /// Puts a member with a backlog at the end of the order of turns.
    fn rotate(&mut self, key: &K) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if self.turns.remove(&member.turn).is_some() {
            self.last_turn += 1;
            member.turn = self.last_turn;
            self.turns.insert(self.last_turn, key.clone());
        }
    }

    fn decrement_backlog(&mut self, key: &K) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        self.backlogs.remove(&(member.backlog, key.clone()));
        member.backlog = member.backlog.saturating_sub(1);
        if member.backlog > 0 {
            self.backlogs.insert((member.backlog, key.clone()));
        } else {
            self.turns.remove(&member.turn);
        }
    }

    /// Removes a member without requests, together with its debt.
    fn remove_if_idle(&mut self, key: &K) {
        let idle = self
            .members
            .get(key)
            .is_some_and(|member| member.backlog == 0 && member.running == 0);
        if idle {
            self.members.remove(key);
        }
    }
}
