//! Quotas of teams within a pool, and the lending of what they leave unused.
//!
//! A team owns capacity up to its quota; work beyond it borrows. Which tasks
//! borrow follows from the tasks alone: in order of urgency and age, those that
//! no longer fit the quota.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::TeamId;
use crate::place::Capacity;

/// Order of a team's work: priority, then submission in milliseconds.
pub type Age = (u32, u64);

/// Quotas of the teams of a pool.
///
/// ```
/// use wigeonhinge::place::Capacity;
/// use wigeonhinge::quota::Quotas;
///
/// let mut quotas = Quotas::default();
/// let cap = |millicores| Capacity { millicores, memory_mb: 64, accelerators: 0 };
/// quotas.set([("ops".into(), cap(4_000))].into());
/// assert!(quotas.admit("ops", (0, 1), cap(3_000)));
/// quotas.add("ops", (0, 1), &"a".into(), cap(3_000));
/// assert!(!quotas.admit("ops", (0, 2), cap(3_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    limits: BTreeMap<TeamId, Capacity>,
    elsewhere: BTreeMap<TeamId, Capacity>,
    teams: BTreeMap<TeamId, Team>,
}

#[derive(Clone, Debug, Default)]
struct Team {
    tasks: BTreeMap<(Age, JobId), Held>,
}

#[derive(Clone, Debug)]
struct Held {
    size: Capacity,
    borrowed: bool,
}

/// A task that began or ceased to borrow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mark {
    /// Job of the task.
    pub job: JobId,
    /// Whether it borrows from now on.
    pub borrowed: bool,
}

impl Quotas {
    /// Sets the quota of every team. Without any, all teams own what they use.
    pub fn set(&mut self, limits: BTreeMap<TeamId, Capacity>) -> Vec<Mark> {
        self.limits = limits;
        self.mark()
    }

    /// Sets what teams hold in other pools, which counts against their quotas.
    pub fn elsewhere(&mut self, held: BTreeMap<TeamId, Capacity>) -> Vec<Mark> {
        self.elsewhere = held;
        self.mark()
    }

    /// Returns what each team holds.
    pub fn held(&self) -> BTreeMap<TeamId, Capacity> {
        let teams = self.teams.iter();
        teams
            .map(|(name, team)| {
                let sizes = team.tasks.values().map(|held| held.size);
                (
                    name.clone(),
                    sizes.fold(Capacity::default(), Capacity::plus),
                )
            })
            .collect()
    }

    /// Whether a team is known; each is while no quotas are set.
    pub fn known(&self, team: &str) -> bool {
        self.limits.is_empty() || self.limits.contains_key(team)
    }

    /// Whether work fits the quota of its team beside the team's work that
    /// comes before it.
    pub fn admit(&self, team: &str, age: Age, size: Capacity) -> bool {
        let Some(mut left) = self.limit(team) else {
            return true;
        };
        let tasks = self
            .teams
            .get(team)
            .into_iter()
            .flat_map(|team| &team.tasks);
        for ((other, _), held) in tasks {
            if *other > age {
                break;
            }
            if held.size.fits(left) {
                left = left.minus(held.size);
            }
        }
        size.fits(left)
    }

    /// Counts a task against its team.
    pub fn add(&mut self, team: &str, age: Age, job: &JobId, size: Capacity) -> Vec<Mark> {
        let held = Held {
            size,
            borrowed: false,
        };
        let entry = self.teams.entry(team.into()).or_default();
        entry.tasks.insert((age, job.clone()), held);
        self.mark_team(team)
    }

    /// Ends the count of a task.
    pub fn remove(&mut self, team: &str, age: Age, job: &JobId) -> Vec<Mark> {
        let Some(entry) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        entry.tasks.remove(&(age, job.clone()));
        if entry.tasks.is_empty() {
            self.teams.remove(team);
        }
        self.mark_team(team)
    }

    /// Ends the count of all tasks.
    pub fn clear(&mut self) {
        self.teams.clear();
    }

    /// Whether a task borrows.
    pub fn borrowed(&self, team: &str, age: Age, job: &JobId) -> bool {
        let team = self.teams.get(team);
        team.and_then(|team| team.tasks.get(&(age, job.clone())))
            .is_some_and(|held| held.borrowed)
    }

    fn mark(&mut self) -> Vec<Mark> {
        let names: Vec<TeamId> = self.teams.keys().cloned().collect();
        names.iter().flat_map(|name| self.mark_team(name)).collect()
    }

    fn mark_team(&mut self, name: &str) -> Vec<Mark> {
        let limit = self.limit(name);
        let team = self.teams.get_mut(name);
        team.map_or_else(Vec::new, |team| team.mark(limit))
    }

    /// What a team may hold here; `None` while no quotas are set.
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
    fn mark(&mut self, limit: Option<Capacity>) -> Vec<Mark> {
        let mut left = limit;
        let mut marks = Vec::new();
        for ((_, job), held) in &mut self.tasks {
            let owned = left.is_none_or(|left| held.size.fits(left));
            if owned {
                left = left.map(|left| left.minus(held.size));
            }
            if held.borrowed == owned {
                held.borrowed = !owned;
                marks.push(Mark {
                    job: job.clone(),
                    borrowed: !owned,
                });
            }
        }
        marks
    }
}
