//! Placement of jobs on the workers of a pool, and the choice of what to
//! preempt.

mod capacity;
mod choose;
mod health;
mod held;
mod tree;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::ledger::Phase;

pub use crate::place::capacity::Capacity;
pub use crate::place::choose::Plan;
pub use crate::place::choose::Request;
pub use crate::place::choose::Victim;
pub use crate::place::health::Health;
pub use crate::place::health::STRIKES;
pub use crate::place::health::Verdict;
pub use crate::place::tree::LEVELS;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::place::held::kept;
use crate::place::tree::Offer;
use crate::place::tree::Tree;

/// Share of its processors, in percent, that a throttled task keeps.
pub const THROTTLED: u32 = 25;

/// Returns the level of work: its priority up to 3, and 4 more when borrowed.
pub fn level(priority: u32, borrowed: bool) -> usize {
    let priority = usize::try_from(priority.min(3)).unwrap_or(3);
    if borrowed { priority + 4 } else { priority }
}

/// Workers of a pool, what they hold, and an index over their free capacity.
#[derive(Clone, Debug)]
pub struct Placer {
    workers: Vec<Worker>,
    names: BTreeMap<VmId, usize>,
    zones: Vec<Zone>,
    tree: Tree,
    held: BTreeMap<JobId, Held>,
    groups: BTreeMap<String, BTreeSet<(usize, JobId)>>,
    claims: BTreeMap<usize, JobId>,
}

#[derive(Clone, Debug)]
struct Worker {
    name: VmId,
    zone: String,
    rack: String,
    total: Capacity,
    used: Capacity,
    usable: bool,
    jobs: BTreeSet<JobId>,
}

/// Workers of a zone, all with or all without accelerators.
#[derive(Clone, Debug)]
struct Zone {
    name: String,
    plain: bool,
    span: Range<usize>,
    racks: Vec<Range<usize>>,
}

#[derive(Clone, Debug)]
struct Held {
    worker: usize,
    size: Capacity,
    level: usize,
    group: String,
    since: Time,
    /// Whether it may be stopped and started again.
    movable: bool,
    /// Whether it runs, so that it can be preempted.
    running: bool,
    throttled: bool,
    leaving: bool,
}

impl Placer {
    /// Creates the placer of a pool's VMs, none of which is usable yet.
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a Vm>) -> Self {
        let mut workers: Vec<Worker> = vms.into_iter().map(Worker::new).collect();
        workers.sort_by(|a, b| a.order().cmp(&b.order()));
        let names = workers.iter().enumerate();
        Self {
            names: names
                .map(|(at, worker)| (worker.name.clone(), at))
                .collect(),
            zones: zones(&workers),
            tree: Tree::new(workers.len().max(1)),
            held: BTreeMap::new(),
            groups: BTreeMap::new(),
            claims: BTreeMap::new(),
            workers,
        }
    }

    /// Whether the pool has this worker.
    pub fn knows(&self, worker: &str) -> bool {
        self.names.contains_key(worker)
    }

    /// Returns the names of all workers.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &VmId> {
        self.names.keys()
    }

    /// Sets whether a worker takes new work.
    pub fn usable(&mut self, worker: &str, usable: bool) {
        let Some(&at) = self.names.get(worker) else {
            return;
        };
        if self.workers[at].usable != usable {
            self.workers[at].usable = usable;
            self.claims.remove(&at);
            self.index(at);
        }
    }

    /// Returns the capacity of all workers.
    pub fn total(&self) -> Capacity {
        let totals = self.workers.iter().map(|worker| worker.total);
        totals.fold(Capacity::default(), Capacity::plus)
    }

    /// Returns what all workers hold.
    pub fn used(&self) -> Capacity {
        let used = self.workers.iter().map(|worker| worker.used);
        used.fold(Capacity::default(), Capacity::plus)
    }

    /// Returns the largest size, at most `size`, that some worker can have.
    pub fn largest(&self, size: Capacity, zone: &str) -> Capacity {
        let fits = |worker: &&Worker| {
            worker.total.accelerators >= size.accelerators && worker.within(zone)
        };
        let workers = self.workers.iter().filter(fits);
        let best = workers.max_by_key(|worker| {
            let cap = worker.total.min(size);
            i64::from(cap.millicores) * 1_000 / i64::from(size.millicores.max(1))
                + i64::from(cap.memory_mb) * 1_000 / i64::from(size.memory_mb.max(1))
        });
        best.map_or(size, |worker| worker.total.min(size))
    }

    /// Returns what a job lacks that fits the total size of no worker.
    pub fn lacks(&self, size: Capacity, zone: &str) -> Option<String> {
        let all = || self.workers.iter().filter(|worker| worker.within(zone));
        if all().any(|worker| size.fits(worker.total)) {
            return None;
        }
        let place = if zone.is_empty() {
            "the pool".to_owned()
        } else {
            format!("zone {zone}")
        };
        let most = all().fold(Capacity::default(), |most, worker| most.max(worker.total));
        if all().next().is_none() {
            return Some(format!("{place} has no worker"));
        }
        let parts = [
            ("millicores", size.millicores, most.millicores),
            ("MiB of memory", size.memory_mb, most.memory_mb),
            ("accelerators", size.accelerators, most.accelerators),
        ];
        let short: Vec<String> = parts
            .iter()
            .filter(|(_, need, most)| need > most)
            .map(|(unit, need, most)| format!("{need} {unit} needed, {most} at most"))
            .collect();
        if short.is_empty() {
            return Some(format!("no worker of {place} has all of it together"));
        }
        Some(format!("on a worker of {place}: {}", short.join("; ")))
    }

    /// Holds capacity for a job on a worker.
    pub fn hold(&mut self, job: &JobId, worker: &str, request: &Request, since: Time) {
        let Some(&at) = self.names.get(worker) else {
            return;
        };
        self.release(job);
        let held = Held {
            worker: at,
            size: request.size,
            level: request.level,
            group: request.group.clone(),
            since,
            movable: request.movable,
            running: false,
            throttled: false,
            leaving: false,
        };
        if !held.group.is_empty() {
            let group = self.groups.entry(held.group.clone()).or_default();
            group.insert((at, job.clone()));
        }
        self.held.insert(job.clone(), held);
        self.workers[at].jobs.insert(job.clone());
        self.claims.retain(|_, claimant| claimant != job);
        self.refresh(at);
    }

    /// Gives back the capacity of a job.
    pub fn release(&mut self, job: &str) {
        let Some(held) = self.held.remove(job) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&held.group) {
            group.remove(&(held.worker, job.into()));
            if group.is_empty() {
                self.groups.remove(&held.group);
            }
        }
        self.workers[held.worker].jobs.remove(job);
        self.refresh(held.worker);
    }

    /// Notes that a task runs, so that it can be preempted.
    pub fn running(&mut self, job: &str) {
        self.change(job, |held| held.running = true);
    }

    /// Notes whether a task makes room; its capacity then counts as free.
    pub fn leaving(&mut self, job: &str, leaving: bool) {
        self.change(job, |held| held.leaving = leaving);
    }

    /// Notes whether a task is throttled.
    pub fn throttle(&mut self, job: &str, throttled: bool) {
        self.change(job, |held| held.throttled = throttled);
    }

    /// Sets the level of a task.
    pub fn relevel(&mut self, job: &str, level: usize) {
        self.change(job, |held| held.level = level);
    }

    /// Sets what a task holds to what it was seen to use.
    pub fn resize(&mut self, job: &str, size: Capacity) {
        self.change(job, |held| held.size = size);
    }

    /// Returns the tasks that have to be stopped so that the memory of a worker
    /// is not exceeded, the least urgent first.
    pub fn overfull(&self, worker: &str) -> Vec<JobId> {
        let Some(&at) = self.names.get(worker) else {
            return Vec::new();
        };
        let worker = &self.workers[at];
        let mut over = worker.used.memory_mb - worker.total.memory_mb;
        let mut tasks: Vec<(&JobId, &Held)> = worker
            .jobs
            .iter()
            .map(|job| (job, &self.held[job]))
            .filter(|(_, held)| held.movable && held.running && !held.leaving)
            .collect();
        tasks.sort_by_key(|(_, held)| Reverse((held.level, held.since)));
        tasks.truncate(tasks.len().min(worker.jobs.len().saturating_sub(1)));
        let mut chosen = Vec::new();
        for (job, held) in tasks {
            if over <= 0 {
                break;
            }
            over -= held.size.memory_mb;
            chosen.push(job.clone());
        }
        chosen
    }

    /// Returns what a task holds.
    pub fn size(&self, job: &str) -> Option<Capacity> {
        self.held.get(job).map(|held| held.size)
    }

    /// Keeps a worker for a job that waits too long, against all but the most
    /// urgent work. Chooses the worker with the most free capacity.
    pub fn claim(&mut self, job: &JobId, request: &Request) -> bool {
        let claimed = |at: &usize| self.claims.contains_key(at);
        let best = (0..self.workers.len())
            .filter(|at| self.workers[*at].usable && !claimed(at))
            .filter(|at| self.workers[*at].within(&request.zone))
            .filter(|at| request.size.fits(self.workers[*at].total))
            .filter(|at| !request.avoid.contains(&self.workers[*at].name))
            .max_by_key(|at| {
                let worker = &self.workers[*at];
                let free = worker.total.minus(worker.used);
                (free.min(request.size).memory_mb, free.millicores)
            });
        if let Some(at) = best {
            self.claims.insert(at, job.clone());
        }
        best.is_some()
    }

    /// Ends the claim of a job.
    pub fn unclaim(&mut self, job: &str) {
        self.claims.retain(|_, claimant| claimant != job);
    }

    /// Whether a job has a claim on a worker.
    pub fn claims(&self, job: &str) -> bool {
        self.claims.values().any(|claimant| claimant == job)
    }

    /// Adds the racks of workers that a job failed on, as failures within a rack
    /// are correlated; gives up the racks, then all, where nothing else is left.
    pub fn apart(&self, workers: BTreeSet<VmId>) -> BTreeSet<VmId> {
        if workers.is_empty() {
            return workers;
        }
        let at = workers.iter().filter_map(|name| self.names.get(name));
        let racks: BTreeSet<(&str, &str)> = at.map(|at| self.workers[*at].domain()).collect();
        let wide = self
            .workers
            .iter()
            .filter(|worker| racks.contains(&worker.domain()));
        let wide: BTreeSet<VmId> = wide.map(|worker| worker.name.clone()).collect();
        let left = |avoid: &BTreeSet<VmId>| {
            let usable = self.workers.iter().filter(|worker| worker.usable);
            usable.clone().any(|worker| !avoid.contains(&worker.name))
        };
        if left(&wide) {
            return wide;
        }
        if left(&workers) {
            return workers;
        }
        BTreeSet::new()
    }

    /// Returns the throttled tasks that can have their processors back.
    pub fn relieved(&self) -> Vec<JobId> {
        let throttled = self.held.iter().filter(|(_, held)| held.throttled);
        let mut given: BTreeMap<usize, i32> = BTreeMap::new();
        throttled
            .filter(|(_, held)| {
                let worker = &self.workers[held.worker];
                let lent = given.entry(held.worker).or_default();
                let more = held.size.millicores - kept(held.size.millicores);
                let room = worker.total.millicores - worker.used.millicores - *lent >= more;
                if room {
                    *lent += more;
                }
                room
            })
            .map(|(job, _)| job.clone())
            .collect()
    }

    /// Returns the jobs on a worker.
    pub fn jobs(&self, worker: &str) -> Vec<JobId> {
        let at = self.names.get(worker);
        at.map_or_else(Vec::new, |at| {
            self.workers[*at].jobs.iter().cloned().collect()
        })
    }

    /// Bytes of state, without allocator overhead.
    pub fn bytes(&self) -> usize {
        self.tree.bytes()
            + self.workers.len() * (size_of::<Worker>() + 96)
            + self.held.len() * (2 * size_of::<(JobId, Held)>() + 64)
    }

    fn change(&mut self, job: &str, change: impl FnOnce(&mut Held)) {
        let Some(held) = self.held.get_mut(job) else {
            return;
        };
        change(held);
        let at = held.worker;
        self.refresh(at);
    }

    fn refresh(&mut self, at: usize) {
        let held = self.workers[at].jobs.iter().map(|job| &self.held[job]);
        self.workers[at].used =
            held.fold(Capacity::default(), |used, held| used.plus(held.holds()));
        self.index(at);
    }

    fn index(&mut self, at: usize) {
        let worker = &self.workers[at];
        if !worker.usable {
            self.tree.set(at, [Capacity::NONE; LEVELS + 1]);
            return;
        }
        let mut offer: Offer = [Capacity::default(); LEVELS + 1];
        for job in &worker.jobs {
            let held = &self.held[job];
            offer[held.level] = offer[held.level].plus(held.gives());
        }
        offer[LEVELS] = worker.total.minus(worker.used);
        for level in (0..LEVELS).rev() {
            offer[level] = offer[level].plus(offer[level + 1]);
        }
        self.tree.set(at, offer);
    }
}

fn zones(workers: &[Worker]) -> Vec<Zone> {
    let mut zones: Vec<Zone> = Vec::new();
    for (at, worker) in workers.iter().enumerate() {
        let plain = worker.total.accelerators == 0;
        let same = |zone: &Zone| zone.plain == plain && zone.name == worker.zone;
        if !zones.last().is_some_and(same) {
            zones.push(Zone {
                name: worker.zone.clone(),
                plain,
                span: at..at,
                racks: Vec::new(),
            });
        }
        let Some(zone) = zones.last_mut() else {
            continue;
        };
        zone.span.end = at + 1;
        match zone.racks.last_mut() {
            Some(rack) if workers[rack.start].rack == worker.rack => rack.end = at + 1,
            _ => zone.racks.push(at..at + 1),
        }
    }
    zones
}

/// Whether a worker in this phase takes new work.
pub fn takes(phase: Phase) -> bool {
    phase == Phase::Active
}

/// Whether the tasks of a worker in this phase are taken for ended.
pub fn lost(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::Down | Phase::Moving | Phase::Quarantined | Phase::Rebooting
    )
}
