//! All workers, with an index by pool that placement and pool sizes are decided from.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use compact_str::CompactString;

use crate::batch::Size;
use crate::batch::WorkerId;
use crate::batch::caps::Uses;
use crate::batch::worker::Worker;
use crate::id::PoolId;

/// Workers by identifier.
///
/// Each mutable access marks its worker, and [`Workers::refresh`] updates the index entries of the
/// marked workers only, so that the cost of a change does not grow with the number of workers.
#[derive(Debug, Default)]
pub(super) struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
    /// Workers whose index entries may be outdated.
    marked: Vec<WorkerId>,
    pools: BTreeMap<PoolId, PoolIndex>,
    /// Use of workspaces as of the last refresh.
    uses: Uses,
}

/// Workers and load of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    /// Workers that may get tasks, unless they are paused or have not reported for some time.
    open: BTreeSet<OpenWorker>,
    /// Number of workers.
    count: usize,
    /// Requests of the long-running and of the other runs.
    long_running: Size,
    short: Size,
    /// Number of workers with long-running runs.
    long_running_workers: usize,
    /// Number of workers by capacity, which differs as it may shrink for a time.
    capacities: BTreeMap<Size, u64>,
}

/// Worker that may get tasks, in the order in which workers are filled: those with long-running
/// runs first, and of these the fullest first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OpenWorker {
    without_long_running: bool,
    free_millicores: u64,
    id: WorkerId,
}

/// What the index holds of one worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct IndexEntry {
    pool: PoolId,
    open: bool,
    capacity: Size,
    free_millicores: u64,
    long_running: Size,
    short: Size,
    has_long_running: bool,
}

impl IndexEntry {
    fn new(worker: &Worker) -> Self {
        Self {
            pool: worker.entry.pool.clone(),
            open: worker.is_open(),
            capacity: worker.entry.capacity,
            free_millicores: worker.free().millicores,
            long_running: worker.long_running,
            short: worker.used.minus(worker.long_running),
            has_long_running: worker.has_long_running(),
        }
    }

    fn open_worker(&self, id: &WorkerId) -> Option<OpenWorker> {
        self.open.then(|| OpenWorker {
            without_long_running: !self.has_long_running,
            free_millicores: self.free_millicores,
            id: id.clone(),
        })
    }
}

impl Workers {
    pub(super) fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        if !std::mem::replace(&mut worker.marked, true) {
            self.marked.push(id.into());
        }
        Some(worker)
    }

    pub(super) fn insert(&mut self, id: WorkerId, mut worker: Worker) {
        self.remove(&id);
        worker.marked = true;
        self.marked.push(id.clone());
        self.workers.insert(id, worker);
    }

    pub(super) fn remove(&mut self, id: &str) -> Option<Worker> {
        let mut worker = self.workers.remove(id)?;
        self.uses.apply(&mut worker.take_charges());
        if let Some(entry) = &worker.indexed
            && let Some(pool) = self.pools.get_mut(&entry.pool)
        {
            pool.remove(&id.into(), entry);
        }
        Some(worker)
    }

    pub(super) fn contains_key(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Worker> + Clone {
        self.workers.values()
    }

    /// Returns the identifiers of the workers for which a condition holds.
    pub(super) fn select(&self, condition: impl Fn(&Worker) -> bool) -> Vec<WorkerId> {
        let selected = self.workers.iter().filter(|(_, worker)| condition(worker));
        selected.map(|(id, _)| id.clone()).collect()
    }

    /// Brings the index up to date with all changes so far.
    pub(super) fn refresh(&mut self) {
        while let Some(id) = self.marked.pop() {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.marked = false;
            self.uses.apply(&mut worker.charges);
            let entry = IndexEntry::new(worker);
            if worker.indexed.as_ref() == Some(&entry) {
                continue;
            }
            if let Some(previous) = worker.indexed.replace(entry.clone())
                && let Some(pool) = self.pools.get_mut(&previous.pool)
            {
                pool.remove(&id, &previous);
            }
            let pool = self.pools.entry(entry.pool.clone()).or_default();
            pool.add(&id, &entry);
        }
        debug_assert!(self.is_consistent(), "the index differs from its workers");
    }

    /// Returns whether the index holds what a pass over all workers gives.
    fn is_consistent(&self) -> bool {
        let mut pools: BTreeMap<PoolId, PoolIndex> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let entry = IndexEntry::new(worker);
            let pool = pools.entry(entry.pool.clone()).or_default();
            pool.add(id, &entry);
        }
        self.pools.iter().all(|(name, pool)| {
            let recounted = pools.remove(name).unwrap_or_default();
            pool.same_workers(&recounted)
        }) && pools.is_empty()
    }

    /// Returns what the runs of a workspace request, as of the last refresh.
    pub(super) fn used_by(&self, workspace: &str) -> Size {
        self.uses.get(workspace)
    }

    /// Returns the use of all workspaces as of the last refresh.
    pub(super) fn uses(&self) -> &Uses {
        &self.uses
    }

    /// Returns the index of a pool as of the last refresh; `None` if it never had a worker.
    pub(super) fn pool(&self, pool: &str) -> Option<&PoolIndex> {
        self.pools.get(pool)
    }

    /// Returns the mean capacity of the workers of some pool, for estimates that concern a pool
    /// without workers.
    pub(super) fn any_capacity(&self) -> Option<Size> {
        self.pools.values().find_map(PoolIndex::mean_capacity)
    }
}

impl PoolIndex {
    fn add(&mut self, id: &WorkerId, entry: &IndexEntry) {
        self.open.extend(entry.open_worker(id));
        self.count += 1;
        *self.capacities.entry(entry.capacity).or_default() += 1;
        self.long_running = self.long_running.plus(entry.long_running);
        self.short = self.short.plus(entry.short);
        self.long_running_workers += usize::from(entry.has_long_running);
    }

    fn remove(&mut self, id: &WorkerId, entry: &IndexEntry) {
        if let Some(open) = entry.open_worker(id) {
            self.open.remove(&open);
        }
        self.count -= 1;
        if let Some(count) = self.capacities.get_mut(&entry.capacity) {
            *count -= 1;
        }
        self.capacities.retain(|_, count| *count > 0);
        self.long_running = self.long_running.minus(entry.long_running);
        self.short = self.short.minus(entry.short);
        self.long_running_workers -= usize::from(entry.has_long_running);
    }

    fn same_workers(&self, other: &Self) -> bool {
        self.open == other.open
            && self.count == other.count
            && self.capacities == other.capacities
            && self.long_running == other.long_running
            && self.short == other.short
            && self.long_running_workers == other.long_running_workers
    }

    /// Returns the workers that may get tasks and have so many cores free, in the order in which
    /// they are filled.
    pub(super) fn open(&self, millicores: u64) -> impl Iterator<Item = &WorkerId> + Clone {
        let from = |without_long_running| OpenWorker {
            without_long_running,
            free_millicores: millicores,
            id: CompactString::default(),
        };
        let others = OpenWorker {
            free_millicores: 0,
            ..from(true)
        };
        let with_long_running = (Bound::Included(from(false)), Bound::Excluded(others));
        let without = (Bound::Included(from(true)), Bound::Unbounded);
        let with_long_running = self.open.range(with_long_running);
        with_long_running
            .chain(self.open.range(without))
            .map(|it| &it.id)
    }

    /// Returns the workers that may get tasks, those without long-running runs and with most free
    /// cores first.
    pub(super) fn emptiest(&self) -> impl Iterator<Item = &WorkerId> {
        self.open.iter().rev().map(|it| &it.id)
    }

    /// Returns the number of workers.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Returns the requests of the long-running runs.
    pub(super) fn long_running(&self) -> Size {
        self.long_running
    }

    /// Returns the requests of the runs that are not long-running.
    pub(super) fn short(&self) -> Size {
        self.short
    }

    /// Returns the number of workers with long-running runs.
    pub(super) fn long_running_workers(&self) -> usize {
        self.long_running_workers
    }

    /// Returns the mean capacity of the workers; `None` if there are none.
    pub(super) fn mean_capacity(&self) -> Option<Size> {
        let scaled = self.capacities.iter();
        let scaled = scaled.map(|(capacity, count)| capacity.scaled(*count));
        let total = scaled.reduce(Size::plus)?;
        Some(total.divided(self.count as u64))
    }

    /// Returns whether a request fits on one of the workers when nothing runs there.
    pub(super) fn fits_when_empty(&self, request: Size) -> bool {
        self.capacities.keys().any(|it| request.fits(*it))
    }
}
