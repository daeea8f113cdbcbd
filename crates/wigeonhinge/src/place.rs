//! Placement of jobs on the workers of a pool, and selection of the tasks to
//! preempt.

mod capacity;
mod choose;
mod health;
mod reservation;
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
pub use crate::place::health::Diagnosis;
pub use crate::place::health::FAULT_THRESHOLD;
pub use crate::place::health::FaultTracker;
pub use crate::place::tree::LEVELS;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::place::reservation::throttled_millicores;
use crate::place::tree::Available;
use crate::place::tree::CapacityTree;

/// Share of its reserved cores, in percent, that a throttled task keeps.
pub const THROTTLED_PERCENT: u32 = 25;

/// Returns the preemption level of a task: its priority, at most 3, plus 4 if it
/// borrows beyond the quota of its team.
///
/// A task may preempt tasks of higher levels only.
pub fn preemption_level(priority: u32, borrowed: bool) -> usize {
    let priority = usize::try_from(priority.min(3)).unwrap_or(3);
    if borrowed { priority + 4 } else { priority }
}

/// Workers of a pool, the capacity reserved on them, and an index over what is
/// free or can be preempted.
#[derive(Clone, Debug)]
pub struct Placer {
    workers: Vec<Worker>,
    /// Index of each worker in `workers`.
    indexes: BTreeMap<VmId, usize>,
    zones: Vec<Zone>,
    tree: CapacityTree,
    reservations: BTreeMap<JobId, Reservation>,
    /// Worker index and job of each reservation of a group.
    groups: BTreeMap<String, BTreeSet<(usize, JobId)>>,
    /// Job that each claimed worker is kept for.
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

/// Workers of a zone that all have or all lack accelerators; a contiguous range
/// of the worker list.
#[derive(Clone, Debug)]
struct Zone {
    name: String,
    cpu_only: bool,
    span: Range<usize>,
    racks: Vec<Range<usize>>,
}

#[derive(Clone, Debug)]
struct Reservation {
    worker: usize,
    size: Capacity,
    level: usize,
    group: String,
    since: Time,
    /// Whether the task may be stopped and started again.
    restartable: bool,
    /// Whether the task runs; only running tasks are preempted.
    running: bool,
    throttled: bool,
    /// Whether the task is to be stopped; its capacity counts as free.
    vacating: bool,
}

impl Placer {
    /// Creates a placer over the VMs of a pool. No worker is usable until
    /// [`set_usable`](Self::set_usable).
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a Vm>) -> Self {
        let mut workers: Vec<Worker> = vms.into_iter().map(Worker::new).collect();
        workers.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        let names = workers.iter().enumerate();
        Self {
            indexes: names
                .map(|(at, worker)| (worker.name.clone(), at))
                .collect(),
            zones: zones(&workers),
            tree: CapacityTree::new(workers.len().max(1)),
            reservations: BTreeMap::new(),
            groups: BTreeMap::new(),
            claims: BTreeMap::new(),
            workers,
        }
    }

    /// Returns whether the worker belongs to the pool.
    pub fn contains(&self, worker: &str) -> bool {
        self.indexes.contains_key(worker)
    }

    /// Returns the names of all workers, usable or not, in order.
    pub fn worker_names(&self) -> impl ExactSizeIterator<Item = &VmId> {
        self.indexes.keys()
    }

    /// Sets whether a worker accepts new tasks. A change ends the claim on it; an
    /// unknown worker is ignored.
    pub fn set_usable(&mut self, worker: &str, usable: bool) {
        let Some(&at) = self.indexes.get(worker) else {
            return;
        };
        if self.workers[at].usable != usable {
            self.workers[at].usable = usable;
            self.claims.remove(&at);
            self.update_tree(at);
        }
    }

    /// Returns the total capacity of all workers, usable or not.
    pub fn total(&self) -> Capacity {
        let totals = self.workers.iter().map(|worker| worker.total);
        totals.fold(Capacity::default(), Capacity::plus)
    }

    /// Returns the capacity reserved on all workers.
    pub fn reserved(&self) -> Capacity {
        let used = self.workers.iter().map(|worker| worker.used);
        used.fold(Capacity::default(), Capacity::plus)
    }

    /// Returns `size`, reduced to the total capacity of the worker of the zone that
    /// covers most of it. Accelerators are not reduced; `size` is returned unchanged
    /// if no worker has enough of them.
    pub fn largest_fit(&self, size: Capacity, zone: &str) -> Capacity {
        let fits = |worker: &&Worker| {
            worker.total.accelerators >= size.accelerators && worker.in_zone(zone)
        };
        let workers = self.workers.iter().filter(fits);
        let best = workers.max_by_key(|worker| {
            let cap = worker.total.min(size);
            i64::from(cap.millicores) * 1_000 / i64::from(size.millicores.max(1))
                + i64::from(cap.memory_mb) * 1_000 / i64::from(size.memory_mb.max(1))
        });
        best.map_or(size, |worker| worker.total.min(size))
    }

    /// Returns a description of what is missing if no worker of the zone could run
    /// a job of this size even when empty, and `None` otherwise.
    pub fn shortage(&self, size: Capacity, zone: &str) -> Option<String> {
        let all = || self.workers.iter().filter(|worker| worker.in_zone(zone));
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

    /// Reserves capacity for a job on a worker, in place of any earlier reservation
    /// of the job, and ends the job's claim. An unknown worker is ignored.
    pub fn reserve(&mut self, job: &JobId, worker: &str, request: &Request, since: Time) {
        let Some(&at) = self.indexes.get(worker) else {
            return;
        };
        self.release(job);
        let reservation = Reservation {
            worker: at,
            size: request.size,
            level: request.level,
            group: request.group.clone(),
            since,
            restartable: request.restartable,
            running: false,
            throttled: false,
            vacating: false,
        };
        if !reservation.group.is_empty() {
            let group = self.groups.entry(reservation.group.clone()).or_default();
            group.insert((at, job.clone()));
        }
        self.reservations.insert(job.clone(), reservation);
        self.workers[at].jobs.insert(job.clone());
        self.claims.retain(|_, claimant| claimant != job);
        self.update_worker(at);
    }

    /// Releases the reservation of a job, if it has one.
    pub fn release(&mut self, job: &str) {
        let Some(reservation) = self.reservations.remove(job) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&reservation.group) {
            group.remove(&(reservation.worker, job.into()));
            if group.is_empty() {
                self.groups.remove(&reservation.group);
            }
        }
        self.workers[reservation.worker].jobs.remove(job);
        self.update_worker(reservation.worker);
    }

    /// Marks a task as running, which makes it preemptible.
    pub fn set_running(&mut self, job: &str) {
        self.change(job, |reservation| reservation.running = true);
    }

    /// Sets whether a task is to be stopped; its capacity then counts as free.
    pub fn set_vacating(&mut self, job: &str, vacating: bool) {
        self.change(job, |reservation| reservation.vacating = vacating);
    }

    /// Sets whether a task is throttled to [`THROTTLED_PERCENT`] of its cores.
    pub fn set_throttled(&mut self, job: &str, throttled: bool) {
        self.change(job, |reservation| reservation.throttled = throttled);
    }

    /// Sets the [preemption level](preemption_level) of a task.
    pub fn set_level(&mut self, job: &str, level: usize) {
        self.change(job, |reservation| reservation.level = level);
    }

    /// Sets the size of a reservation, for a task that was observed to use more.
    pub fn set_size(&mut self, job: &str, size: Capacity) {
        self.change(job, |reservation| reservation.size = size);
    }

    /// Returns the tasks to stop so that the reserved memory of a worker no longer
    /// exceeds its total, the least urgent first. At least one task stays.
    pub fn memory_victims(&self, worker: &str) -> Vec<JobId> {
        let Some(&at) = self.indexes.get(worker) else {
            return Vec::new();
        };
        let worker = &self.workers[at];
        let mut over = worker.used.memory_mb - worker.total.memory_mb;
        let mut tasks: Vec<(&JobId, &Reservation)> = worker
            .jobs
            .iter()
            .map(|job| (job, &self.reservations[job]))
            .filter(|(_, task)| task.restartable && task.running && !task.vacating)
            .collect();
        tasks.sort_by_key(|(_, task)| Reverse((task.level, task.since)));
        tasks.truncate(tasks.len().min(worker.jobs.len().saturating_sub(1)));
        let mut chosen = Vec::new();
        for (job, task) in tasks {
            if over <= 0 {
                break;
            }
            over -= task.size.memory_mb;
            chosen.push(job.clone());
        }
        chosen
    }

    /// Returns the size reserved for a job; `None` without a reservation.
    pub fn size(&self, job: &str) -> Option<Capacity> {
        self.reservations
            .get(job)
            .map(|reservation| reservation.size)
    }

    /// Claims a worker for a job that has waited too long: until the job is placed,
    /// only tasks of the most urgent level may start there. Chooses the worker
    /// with the most free capacity; returns whether one was available.
    pub fn claim(&mut self, job: &JobId, request: &Request) -> bool {
        let claimed = |at: &usize| self.claims.contains_key(at);
        let best = (0..self.workers.len())
            .filter(|at| self.workers[*at].usable && !claimed(at))
            .filter(|at| self.workers[*at].in_zone(&request.zone))
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

    /// Releases the claim of a job, if it has one.
    pub fn release_claim(&mut self, job: &str) {
        self.claims.retain(|_, claimant| claimant != job);
    }

    /// Returns whether a worker is claimed for the job.
    pub fn has_claim(&self, job: &str) -> bool {
        self.claims.values().any(|claimant| claimant == job)
    }

    /// Returns the workers that a job should avoid, given those that it failed on.
    ///
    /// These are all workers in the racks of the failed ones, because failures
    /// within a rack are correlated. If that leaves no usable worker, only the
    /// failed workers are avoided; if that leaves none either, none is.
    pub fn widen_to_racks(&self, workers: BTreeSet<VmId>) -> BTreeSet<VmId> {
        if workers.is_empty() {
            return workers;
        }
        let failed = workers.iter().filter_map(|name| self.indexes.get(name));
        let racks: BTreeSet<(&str, &str)> = failed
            .map(|at| self.workers[*at].failure_domain())
            .collect();
        let in_racks = self
            .workers
            .iter()
            .filter(|worker| racks.contains(&worker.failure_domain()));
        let in_racks: BTreeSet<VmId> = in_racks.map(|worker| worker.name.clone()).collect();
        let others_usable = |avoid: &BTreeSet<VmId>| {
            let usable = self.workers.iter().filter(|worker| worker.usable);
            usable.clone().any(|worker| !avoid.contains(&worker.name))
        };
        if others_usable(&in_racks) {
            return in_racks;
        }
        if others_usable(&workers) {
            return workers;
        }
        BTreeSet::new()
    }

    /// Returns the throttled tasks whose full cores fit on their workers again.
    pub fn restorable(&self) -> Vec<JobId> {
        let throttled = self.reservations.iter().filter(|(_, task)| task.throttled);
        let mut restored: BTreeMap<usize, i32> = BTreeMap::new();
        throttled
            .filter(|(_, task)| {
                let worker = &self.workers[task.worker];
                let sum = restored.entry(task.worker).or_default();
                let more = task.size.millicores - throttled_millicores(task.size.millicores);
                let fits = worker.total.millicores - worker.used.millicores - *sum >= more;
                if fits {
                    *sum += more;
                }
                fits
            })
            .map(|(job, _)| job.clone())
            .collect()
    }

    /// Returns the jobs with a reservation on a worker; none for an unknown worker.
    pub fn jobs_on(&self, worker: &str) -> Vec<JobId> {
        let at = self.indexes.get(worker);
        at.map_or_else(Vec::new, |at| {
            self.workers[*at].jobs.iter().cloned().collect()
        })
    }

    /// Returns the estimated size of the state in bytes, without allocator overhead.
    pub fn bytes(&self) -> usize {
        self.tree.bytes()
            + self.workers.len() * (size_of::<Worker>() + 96)
            + self.reservations.len() * (2 * size_of::<(JobId, Reservation)>() + 64)
    }

    fn change(&mut self, job: &str, change: impl FnOnce(&mut Reservation)) {
        let Some(reservation) = self.reservations.get_mut(job) else {
            return;
        };
        change(reservation);
        let at = reservation.worker;
        self.update_worker(at);
    }

    fn update_worker(&mut self, at: usize) {
        let tasks = self.workers[at]
            .jobs
            .iter()
            .map(|job| &self.reservations[job]);
        self.workers[at].used =
            tasks.fold(Capacity::default(), |used, task| used.plus(task.occupied()));
        self.update_tree(at);
    }

    fn update_tree(&mut self, at: usize) {
        let worker = &self.workers[at];
        if !worker.usable {
            self.tree.set(at, [Capacity::UNUSABLE; LEVELS + 1]);
            return;
        }
        let mut available: Available = [Capacity::default(); LEVELS + 1];
        for job in &worker.jobs {
            let task = &self.reservations[job];
            available[task.level] = available[task.level].plus(task.preemptible());
        }
        available[LEVELS] = worker.total.minus(worker.used);
        for level in (0..LEVELS).rev() {
            available[level] = available[level].plus(available[level + 1]);
        }
        self.tree.set(at, available);
    }
}

fn zones(workers: &[Worker]) -> Vec<Zone> {
    let mut zones: Vec<Zone> = Vec::new();
    for (at, worker) in workers.iter().enumerate() {
        let cpu_only = worker.total.accelerators == 0;
        let same = |zone: &Zone| zone.cpu_only == cpu_only && zone.name == worker.zone;
        if !zones.last().is_some_and(same) {
            zones.push(Zone {
                name: worker.zone.clone(),
                cpu_only,
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

/// Returns whether a worker in this phase accepts new tasks.
pub fn accepts_work(phase: Phase) -> bool {
    phase == Phase::Active
}

/// Returns whether the tasks of a worker in this phase are considered lost.
pub fn tasks_lost(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::Down | Phase::Moving | Phase::Quarantined | Phase::Rebooting
    )
}
