//! Deficit round robin.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Cost of a request that occupies a slot for the mean time; the credit of one turn.
const UNIT: i64 = 1_000;

/// Bounds of a member's debt.
///
/// Run times are far from the mean at times; the bound keeps one long request
/// from locking a member out for long.
const DEBT: (i64, i64) = (-2 * UNIT, 16 * UNIT);

/// Members with a backlog, which take turns.
///
/// A request is charged one unit when it is taken out and the difference to
/// its actual cost at its end.
#[derive(Debug)]
pub(crate) struct Ring<K> {
    members: BTreeMap<K, Member>,
    turns: BTreeMap<u64, K>,
    last: u64,
    backlogs: BTreeSet<(usize, K)>,
}

#[derive(Debug, Default)]
struct Member {
    debt: i64,
    backlog: usize,
    running: usize,
    turn: u64,
}

impl<K> Default for Ring<K> {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            turns: BTreeMap::new(),
            last: 0,
            backlogs: BTreeSet::new(),
        }
    }
}

impl<K: Clone + Ord> Ring<K> {
    /// Adds a request of a member.
    pub(crate) fn push(&mut self, key: &K) {
        let member = self.members.entry(key.clone()).or_default();
        self.backlogs.remove(&(member.backlog, key.clone()));
        member.backlog += 1;
        self.backlogs.insert((member.backlog, key.clone()));
        if member.backlog == 1 {
            self.last += 1;
            member.turn = self.last;
            self.turns.insert(self.last, key.clone());
        }
    }

    /// Takes a request of the member whose turn it is.
    pub(crate) fn next(&mut self) -> Option<K> {
        let only = self.turns.len() == 1;
        loop {
            let key = self.turns.values().next()?.clone();
            let member = self.members.get_mut(&key)?;
            if member.debt <= 0 || only {
                self.serve(&key);
                return Some(key);
            }
            member.debt -= UNIT;
            self.rotate(&key);
        }
    }

    /// Removes a waiting request of a member.
    pub(crate) fn remove(&mut self, key: &K) {
        self.shrink(key);
        self.prune(key);
    }

    /// Ends a request that was taken out.
    pub(crate) fn pay(&mut self, key: &K, cost: i64) {
        if let Some(member) = self.members.get_mut(key) {
            member.running = member.running.saturating_sub(1);
            member.debt = member
                .debt
                .saturating_add(cost)
                .saturating_sub(UNIT)
                .clamp(DEBT.0, DEBT.1);
            self.prune(key);
        }
    }

    /// Returns the member with the longest backlog, and that backlog.
    pub(crate) fn longest(&self) -> Option<(K, usize)> {
        self.backlogs
            .last()
            .map(|(backlog, key)| (key.clone(), *backlog))
    }

    /// Returns the backlog of a member.
    pub(crate) fn backlog(&self, key: &K) -> usize {
        self.members.get(key).map_or(0, |member| member.backlog)
    }

    /// Returns the number of members with a backlog.
    pub(crate) fn active(&self) -> usize {
        self.backlogs.len()
    }

    /// Returns whether no member is left.
    pub(crate) fn unused(&self) -> bool {
        self.members.is_empty()
    }

    fn serve(&mut self, key: &K) {
        self.shrink(key);
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.running += 1;
        member.debt += UNIT;
        if member.debt > 0 {
            member.debt -= UNIT;
            self.rotate(key);
        }
    }

    /// Moves a member with a backlog behind the others.
    fn rotate(&mut self, key: &K) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if self.turns.remove(&member.turn).is_some() {
            self.last += 1;
            member.turn = self.last;
            self.turns.insert(self.last, key.clone());
        }
    }

    fn shrink(&mut self, key: &K) {
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

    /// Forgets a member that has no request.
    fn prune(&mut self, key: &K) {
        let unused = self
            .members
            .get(key)
            .is_some_and(|member| member.backlog == 0 && member.running == 0);
        if unused {
            self.members.remove(key);
        }
    }
}
