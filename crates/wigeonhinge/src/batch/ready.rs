//! Ready tasks of a pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::batch::Size;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::id::WorkspaceId;

/// Urgency of a ready task; lower ones start first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Urgency {
    /// Whether the occurrence can no longer meet its latency objective.
    pub(super) late: bool,
    pub(super) priority: u32,
    pub(super) deadline_ms: i64,
}

/// Position of a ready task in its pool; lower ranks start first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) urgency: Urgency,
    pub(super) task: TaskId,
}

impl Rank {
    /// Returns the last rank that a task of the same step and urgency may have.
    pub(super) fn last_of_step(mut self) -> Self {
        self.task.index = u32::MAX;
        self
    }

    /// Returns whether another task of the same urgency belongs to the same step.
    pub(super) fn is_same_step(&self, other: &Self) -> bool {
        let step = |rank: &Self| (rank.task.step, rank.task.occurrence, rank.urgency);
        step(self) == step(other) && self.task.job == other.task.job
    }
}

/// What a ready task asks of its pool.
#[derive(Clone, Debug)]
struct Request {
    size: Size,
    long_running: bool,
    /// Workers that the tasks of its step need, as they may not share them; 0 for any number.
    hosts: usize,
    /// Workspace of its job; empty for none.
    workspace: WorkspaceId,
    /// What its start counts against the cap of the workspace.
    start: Size,
}

impl Request {
    fn class(&self) -> (WorkspaceId, Size) {
        (self.workspace.clone(), self.start)
    }
}

/// Ready tasks of a workspace in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waiting {
    /// Number of tasks, parked ones included.
    pub(super) count: usize,
    /// Number of parked tasks.
    pub(super) parked: usize,
    /// What their starts count against the cap, those of parked tasks included.
    pub(super) request: Size,
    /// The same without parked tasks.
    open_request: Size,
    /// What the tasks that are not parked reserve on workers.
    open_size: Size,
}

/// Ready tasks of a pool by rank, with the sums that pool sizes are decided from.
///
/// Tasks that the caps of their workspaces hold back are parked: passes do not try them, and the sums
/// do not include them.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    requests: BTreeMap<Rank, Request>,
    /// Parked tasks by workspace and request.
    parked: BTreeMap<(WorkspaceId, Size), BTreeMap<Rank, Request>>,
    /// Sum of the requests of parked tasks.
    parked_total: Size,
    waiting: BTreeMap<WorkspaceId, Waiting>,
    total: Size,
    /// Number of tasks by what they need: whether they are long-running, and the workers.
    hosts: BTreeMap<(bool, usize), usize>,
}

impl ReadyQueue {
    /// Adds a task; returns whether it is parked, as an equal one of its workspace is.
    pub(super) fn insert(&mut self, rank: Rank, step: &Step, workspace: &WorkspaceId) -> bool {
        let hosts = match step.max_per_worker {
            0 => 0,
            limit => step.count.div_ceil(limit) as usize,
        };
        let request = Request {
            size: step.size(),
            long_running: step.long_running,
            hosts,
            workspace: workspace.clone(),
            start: step.start_request(),
        };
        if self.requests.contains_key(&rank) {
            return false;
        }
        if !request.workspace.is_empty() {
            let waiting = self.waiting.entry(workspace.clone()).or_default();
            waiting.count += 1;
            waiting.request = waiting.request.plus(request.start);
        }
        let parks = !request.workspace.is_empty() && self.parked.contains_key(&request.class());
        match parks {
            true => self.add_parked(rank, request),
            false => self.add_open(rank, request),
        }
        parks
    }

    pub(super) fn remove(&mut self, rank: &Rank) {
        let removed = self.remove_open(rank).or_else(|| self.remove_parked(rank));
        let Some(request) = removed else {
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&request.workspace) {
            waiting.count -= 1;
            waiting.request = waiting.request.minus(request.start);
            if waiting.count == 0 {
                self.waiting.remove(&request.workspace);
            }
        }
    }

    /// Parks a task until the cap of its workspace has room for it.
    pub(super) fn park(&mut self, rank: &Rank) {
        if let Some(request) = self.remove_open(rank) {
            self.add_parked(rank.clone(), request);
        }
    }

    /// Returns the first parked task of a workspace whose request fits to the ready tasks; returns its
    /// request, if there was one.
    pub(super) fn release(
        &mut self,
        workspace: &WorkspaceId,
        fits: impl Fn(Size) -> bool,
    ) -> Option<Size> {
        let classes = self.parked.range((workspace.clone(), Size::default())..);
        let classes = classes.take_while(|((name, _), _)| name == workspace);
        let fitting = classes.filter(|((_, size), _)| fits(*size));
        let first = fitting.filter_map(|(_, tasks)| tasks.first_key_value());
        let (rank, _) = first.min_by_key(|(rank, _)| *rank)?;
        let rank = rank.clone();
        let request = self.remove_parked(&rank)?;
        let size = request.start;
        self.add_open(rank, request);
        Some(size)
    }

    fn add_open(&mut self, rank: Rank, request: Request) {
        self.total = self.total.plus(request.size);
        let key = (request.long_running, request.hosts);
        *self.hosts.entry(key).or_default() += 1;
        if let Some(waiting) = self.waiting.get_mut(&request.workspace) {
            waiting.open_request = waiting.open_request.plus(request.start);
            waiting.open_size = waiting.open_size.plus(request.size);
        }
        self.requests.insert(rank, request);
    }

    fn remove_open(&mut self, rank: &Rank) -> Option<Request> {
        let request = self.requests.remove(rank)?;
        self.total = self.total.minus(request.size);
        let key = (request.long_running, request.hosts);
        if let Some(count) = self.hosts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.hosts.remove(&key);
            }
        }
        if let Some(waiting) = self.waiting.get_mut(&request.workspace) {
            waiting.open_request = waiting.open_request.minus(request.start);
            waiting.open_size = waiting.open_size.minus(request.size);
        }
        Some(request)
    }

    fn add_parked(&mut self, rank: Rank, request: Request) {
        if let Some(waiting) = self.waiting.get_mut(&request.workspace) {
            waiting.parked += 1;
        }
        self.parked_total = self.parked_total.plus(request.size);
        let tasks = self.parked.entry(request.class()).or_default();
        tasks.insert(rank, request);
    }

    fn remove_parked(&mut self, rank: &Rank) -> Option<Request> {
        let mut classes = self.parked.values_mut();
        let request = classes.find_map(|tasks| tasks.remove(rank))?;
        let class = request.class();
        if self.parked.get(&class).is_some_and(BTreeMap::is_empty) {
            self.parked.remove(&class);
        }
        if let Some(waiting) = self.waiting.get_mut(&request.workspace) {
            waiting.parked -= 1;
        }
        self.parked_total = self.parked_total.minus(request.size);
        Some(request)
    }

    /// Returns the sum of the requests of parked tasks.
    pub(super) fn parked_total(&self) -> Size {
        self.parked_total
    }

    pub(super) fn has_parked(&self) -> bool {
        !self.parked.is_empty()
    }

    /// Returns the workspaces that have parked tasks.
    pub(super) fn parked_workspaces(&self) -> BTreeSet<WorkspaceId> {
        self.parked.keys().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the smallest request of the parked tasks of each workspace.
    pub(super) fn parked_units(&self) -> BTreeMap<WorkspaceId, Size> {
        // Of several requests of a workspace, the last one that is inserted is the smallest.
        let requests = self.parked.keys().rev();
        requests.map(|(name, size)| (name.clone(), *size)).collect()
    }

    /// Returns the ready tasks of each workspace.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (&WorkspaceId, &Waiting)> {
        self.waiting.iter()
    }

    /// Returns the number of tasks that caps do not hold back.
    pub(super) fn open_len(&self) -> usize {
        self.requests.len()
    }

    /// Returns for each workspace what its tasks that are not parked reserve, and what they count
    /// against its cap.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = (&WorkspaceId, Size, Size)> {
        let waiting = self.waiting.iter();
        waiting.map(|(name, it)| (name, it.open_size, it.open_request))
    }

    /// Returns the first task after a rank, or the first one of all.
    pub(super) fn next(&self, after: Option<&Rank>) -> Option<&Rank> {
        self.after(after).next()
    }

    /// Returns the tasks after a rank, or all tasks, in their order.
    pub(super) fn after(&self, rank: Option<&Rank>) -> impl Iterator<Item = &Rank> {
        let start = rank.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.requests.range((start, Bound::Unbounded));
        range.map(|(rank, _)| rank)
    }

    pub(super) fn len(&self) -> usize {
        let parked: usize = self.parked.values().map(BTreeMap::len).sum();
        self.requests.len() + parked
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parked.is_empty()
    }

    /// Returns the sum of the requests of tasks that are not parked.
    pub(super) fn total(&self) -> Size {
        self.total
    }

    /// Returns the most workers that the tasks of one step need because they may not share them.
    pub(super) fn max_hosts(&self, long_running: bool) -> usize {
        let mut range = self
            .hosts
            .range((long_running, 0)..=(long_running, usize::MAX));
        range.next_back().map_or(0, |((_, hosts), _)| *hosts)
    }
}
