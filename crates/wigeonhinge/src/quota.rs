//! Quotas of teams within a pool, and borrowing of unused quota.
//!
//! A team owns capacity up to its quota and borrows capacity beyond it. Which
//! tasks borrow depends only on the set of tasks: in order of priority and
//! submission, those that no longer fit the quota.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::TeamId;
use crate::place::Capacity;

/// Order of the tasks of a team: priority, then submission time in milliseconds;
/// the lowest comes first.
pub type Precedence = (u32, u64);

/// Quotas of the teams of a pool.
///
/// ```
/// use wigeonhinge::place::Capacity;
/// use wigeonhinge::quota::Quotas;
///
/// let mut quotas = Quotas::default();
/// let capacity = |millicores| Capacity { millicores, memory_mb: 64, accelerators: 0 };
/// quotas.set_limits([("ops".into(), capacity(4_000))].into());
/// assert!(quotas.admits("ops", (0, 1), capacity(3_000)));
/// quotas.add("ops", (0, 1), &"a".into(), capacity(3_000));
/// assert!(!quotas.admits("ops", (0, 2), capacity(3_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    limits: BTreeMap<TeamId, Capacity>,
    /// Usage of each team in other pools.
    elsewhere: BTreeMap<TeamId, Capacity>,
    teams: BTreeMap<TeamId, Team>,
}

#[derive(Clone, Debug, Default)]
struct Team {
    tasks: BTreeMap<(Precedence, JobId), Task>,
}

#[derive(Clone, Debug)]
struct Task {
    size: Capacity,
    borrowed: bool,
}

/// A task that started or stopped borrowing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BorrowChange {
    /// Job of the task.
    pub job: JobId,
    /// Whether the task borrows from now on.
    pub borrowed: bool,
}

impl Quotas {
    /// Sets the quota of every team and returns the tasks whose borrowing changed.
    /// Without any quota, no task borrows; with some, a team without one has none.
    pub fn set_limits(&mut self, limits: BTreeMap<TeamId, Capacity>) -> Vec<BorrowChange> {
        self.limits = limits;
        self.update_borrowed()
    }

    /// Sets the usage of teams in other pools, which counts against their quotas, and
    /// returns the tasks whose borrowing changed.
    pub fn set_elsewhere(&mut self, usage: BTreeMap<TeamId, Capacity>) -> Vec<BorrowChange> {
        self.elsewhere = usage;
        self.update_borrowed()
    }

    /// Returns the capacity that the tasks of each team use in this pool.
    pub fn usage(&self) -> BTreeMap<TeamId, Capacity> {
        let teams = self.teams.iter();
        teams
            .map(|(name, team)| {
                let sizes = team.tasks.values().map(|task| task.size);
                (
                    name.clone(),
                    sizes.fold(Capacity::default(), Capacity::plus),
                )
            })
            .collect()
    }

    /// Returns whether the team has a quota; always `true` while no quotas are set.
    pub fn has_team(&self, team: &str) -> bool {
        self.limits.is_empty() || self.limits.contains_key(team)
    }

    /// Returns whether a task would fit the quota of its team next to the team's
    /// tasks that precede it.
    pub fn admits(&self, team: &str, precedence: Precedence, size: Capacity) -> bool {
        let Some(mut left) = self.limit(team) else {
            return true;
        };
        let tasks = self
            .teams
            .get(team)
            .into_iter()
            .flat_map(|team| &team.tasks);
        for ((other, _), task) in tasks {
            if *other > precedence {
                break;
            }
            if task.size.fits(left) {
                left = left.minus(task.size);
            }
        }
        size.fits(left)
    }

    /// Counts a task against the quota of its team and returns the tasks whose
    /// borrowing changed.
    pub fn add(
        &mut self,
        team: &str,
        precedence: Precedence,
        job: &JobId,
        size: Capacity,
    ) -> Vec<BorrowChange> {
        let task = Task {
            size,
            borrowed: false,
        };
        let entry = self.teams.entry(team.into()).or_default();
        entry.tasks.insert((precedence, job.clone()), task);
        self.update_team(team)
    }

    /// Stops counting a task and returns the tasks whose borrowing changed.
    pub fn remove(&mut self, team: &str, precedence: Precedence, job: &JobId) -> Vec<BorrowChange> {
        let Some(entry) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        entry.tasks.remove(&(precedence, job.clone()));
        if entry.tasks.is_empty() {
            self.teams.remove(team);
        }
        self.update_team(team)
    }

    /// Stops counting all tasks. Quotas and usage in other pools stay.
    pub fn clear(&mut self) {
        self.teams.clear();
    }

    /// Returns whether a task borrows; `false` for an unknown one.
    pub fn borrowed(&self, team: &str, precedence: Precedence, job: &JobId) -> bool {
        let team = self.teams.get(team);
        team.and_then(|team| team.tasks.get(&(precedence, job.clone())))
            .is_some_and(|task| task.borrowed)
    }

    fn update_borrowed(&mut self) -> Vec<BorrowChange> {
        let names: Vec<TeamId> = self.teams.keys().cloned().collect();
        names
            .iter()
            .flat_map(|name| self.update_team(name))
            .collect()
    }

    fn update_team(&mut self, name: &str) -> Vec<BorrowChange> {
        let limit = self.limit(name);
        let team = self.teams.get_mut(name);
        team.map_or_else(Vec::new, |team| team.update_borrowed(limit))
    }

    /// Returns the quota of a team less its usage in other pools; `None` while no
    /// quotas are set.
    fn limit(&self, team: &str) -> Option<Capacity> {
        if self.limits.is_empty() {
            return None;
        }
        let limit = self.limits.get(team).copied().unwrap_or_default();
        let elsewhere = self.elsewhere.get(team).copied().unwrap_or_default();
        Some(limit.minus(elsewhere))
    }
}

impl Team {
    fn update_borrowed(&mut self, limit: Option<Capacity>) -> Vec<BorrowChange> {
        let mut left = limit;
        let mut changes = Vec::new();
        for ((_, job), task) in &mut self.tasks {
            let owned = left.is_none_or(|left| task.size.fits(left));
            if owned {
                left = left.map(|left| left.minus(task.size));
            }
            if task.borrowed == owned {
                task.borrowed = !owned;
                changes.push(BorrowChange {
                    job: job.clone(),
                    borrowed: !owned,
                });
            }
        }
        changes
    }
}
