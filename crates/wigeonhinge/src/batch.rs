//! Jobs of steps and tasks on leased workers, pools that follow demand, maintenance waves.
//!
//! [`Batch`] is the state of the one entry that holds the scheduler role. It
//! takes [`Event`]s and returns [`Action`]s, without I/O. Three orders of
//! durable steps make it safe to lose at any instant:
//!
//! - A start is ordered after the store holds the task's run and worker.
//! - An end is acknowledged to its worker after the store holds its result.
//! - A run that may exist on a worker is given up when the worker lists no such
//!   run under the current fence, has a new incarnation, or its lease has ended.

mod balance;
mod catalog;
mod demand;
mod event;
mod grant;
mod handover;
mod job;
mod pace;
mod place;
mod pools;
mod report;
mod row;
mod runs;
mod spec;
mod task;
mod upkeep;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

use crate::batch::balance::Needs;
use crate::batch::demand::Demand;
use crate::batch::job::Job;
use crate::batch::job::Rank;
use crate::batch::upkeep::Upkeep;
use crate::batch::worker::Worker;

pub use crate::batch::catalog::Catalog;
pub use crate::batch::catalog::PoolRule;
pub use crate::batch::catalog::Queue;
pub use crate::batch::event::Action;
pub use crate::batch::event::Event;
pub use crate::batch::event::PoolSummary;
pub use crate::batch::event::StartReply;
pub use crate::batch::event::Write;
pub use crate::batch::grant::Grant;
pub use crate::batch::handover::OrderLog;
pub use crate::batch::handover::OrdersRow;
pub use crate::batch::pools::Machine;
pub use crate::batch::pools::MachineState;
pub use crate::batch::report::ActiveRun;
pub use crate::batch::report::End;
pub use crate::batch::report::FinishedRun;
pub use crate::batch::report::Report;
pub use crate::batch::row::JobRow;
pub use crate::batch::row::Phase;
pub use crate::batch::row::ProgressRow;
pub use crate::batch::row::StateRow;
pub use crate::batch::row::TaskRow;
pub use crate::batch::spec::JobSpec;
pub use crate::batch::spec::Size;
pub use crate::batch::spec::Step;
pub use crate::batch::spec::WorkerEntry;
pub use crate::batch::task::TaskId;
pub use crate::batch::upkeep::Wave;

/// Identifier of a worker: one life of a VM in a pool.
pub type WorkerId = CompactString;

/// Number of a task's start; rises with each start.
pub type Run = u32;

/// Bounds that the platform sets.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Time after a job's deadline for which its state is kept.
    pub retention: Duration,
    /// Time that a move takes.
    pub migrate: Duration,
    /// Time that maintenance takes.
    pub maintenance: Duration,
    /// Time within which holders of machine orders must not take turns.
    pub order_lease: Duration,
    /// Time for which a lasting task may be unavailable before it counts as absent.
    pub notice: Duration,
}

/// Lease that workers are granted with each look.
///
/// A successor is at work within 2.5 s of a loss. A shorter lease would end
/// before that, and a longer one delays the work of a worker that fell silent.
pub const WORKER_LEASE: Duration = Duration::from_millis(3_500);

/// Share by which a worker's clock may be slow.
pub const MAX_CLOCK_DRIFT: f64 = 0.03;

/// Time for which a predecessor without contact may still extend leases.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time within which a worker leaves the registry after an order to its machine.
const RETURNED: Duration = Duration::from_secs(6);

/// State of the scheduler role.
#[derive(Debug)]
pub struct Batch {
    bounds: Bounds,
    catalog: Catalog,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that changed since their last row was taken, the first change first.
    dirty: VecDeque<JobId>,
    /// Tasks that could start, by pool.
    ready: BTreeMap<PoolId, BTreeSet<Rank>>,
    /// Pools in which a task may find room since the last pass.
    stale: BTreeSet<PoolId>,
    /// Workers that are left to run empty until a lasting task fits.
    reservations: BTreeMap<TaskId, WorkerId>,
    workers: BTreeMap<WorkerId, Worker>,
    demand: Demand,
    needs: Needs,
    upkeep: Upkeep,
    machines: BTreeMap<VmId, pools::Held>,
    /// Machines that a predecessor may still order, and until when.
    barred: BTreeMap<VmId, Time>,
    /// Last rows of ended jobs that wait to be written.
    finals: VecDeque<Write>,
    /// Workers that listed ends of a job whose result is not stored yet.
    unstored: BTreeMap<JobId, BTreeSet<WorkerId>>,
    /// Jobs that ended, by the time at which their state is no longer kept.
    ended: BTreeMap<JobId, Time>,
    started: Time,
    /// Unix time at `Time::ZERO`, in milliseconds.
    epoch_ms: i64,
    next_version: u64,
    next_tick: Time,
    actions: Vec<Action>,
}

impl Batch {
    /// Creates the state of a holder that took the role at `now`.
    ///
    /// `epoch_ms` is the Unix time in milliseconds at which `Time` is zero.
    pub fn new(bounds: Bounds, catalog: Catalog, epoch_ms: i64, now: Time) -> Self {
        Self {
            bounds,
            catalog,
            jobs: BTreeMap::new(),
            dirty: VecDeque::new(),
            ready: BTreeMap::new(),
            stale: BTreeSet::new(),
            reservations: BTreeMap::new(),
            workers: BTreeMap::new(),
            demand: Demand::default(),
            needs: Needs::default(),
            upkeep: Upkeep::default(),
            machines: BTreeMap::new(),
            barred: BTreeMap::new(),
            finals: VecDeque::new(),
            unstored: BTreeMap::new(),
            ended: BTreeMap::new(),
            started: now,
            epoch_ms,
            next_version: 1,
            next_tick: now,
            actions: Vec::new(),
        }
    }

    /// Adds a job that the store holds, with what its runs did so far.
    pub fn restore(&mut self, row: JobRow, progress: Option<ProgressRow>, now: Time) {
        self.accept(row, progress, now);
    }

    /// Notes a job that ended before this term.
    pub fn restore_ended(&mut self, job: JobId, now: Time) {
        self.ended.insert(job, now + self.bounds.retention);
    }

    /// Returns up to `limit` ended jobs whose state is no longer kept.
    pub fn take_expired(&mut self, limit: usize, now: Time) -> Vec<JobId> {
        let expired = self.ended.iter().filter(|(_, until)| **until < now);
        let expired: Vec<JobId> = expired.map(|(job, _)| job.clone()).take(limit).collect();
        for job in &expired {
            self.ended.remove(job);
        }
        expired
    }

    /// Takes an event, places the tasks that can start, and returns what to do.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.apply(event, now);
        self.place_ready(now)
    }

    /// Places the tasks that can start, and returns what to do since the last call.
    pub fn place_ready(&mut self, now: Time) -> Vec<Action> {
        self.place(now);
        std::mem::take(&mut self.actions)
    }

    /// Takes an event; what to do comes from the next call of [`Batch::place_ready`].
    ///
    /// One pass of placement after several events costs less than one after each.
    pub fn apply(&mut self, event: Event, now: Time) {
        match event {
            Event::Configure(catalog) => self.configure(catalog, now),
            Event::Accept(row) => self.accept(row, None, now),
            Event::Cancel(job) => self.cancel(&job, now),
            Event::Workers(entries) => self.register(entries, now),
            Event::Report(worker, report) => self.report(&worker, report, now),
            Event::LeaseExtended(worker) => self.extended(&worker, now),
            Event::StartAnswered(worker, task, run, reply) => {
                self.started(&worker, &task, (run, reply), now);
            }
            Event::StopAnswered(worker, task, run, known) => {
                self.stopped(&worker, &task, (run, known), now);
            }
            Event::Machines(list) => self.inventory(list, now),
            Event::OrderAnswered(machine, done) => self.ordered(&machine, done, now),
            Event::Wave(wave) => self.upkeep.add(wave, now),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns the rows that have to be stored next, of one job.
    pub fn take_write(&mut self) -> Option<Write> {
        if let Some(write) = self.finals.pop_front() {
            return Some(write);
        }
        while let Some(id) = self.dirty.pop_front() {
            // Jobs that ended meanwhile have a last row instead.
            if let Some(job) = self.jobs.get_mut(&id) {
                return Some(job.take_write());
            }
        }
        None
    }

    /// Notes that the store holds rows; orders the starts that waited for them.
    pub fn confirm_writes(&mut self, writes: &[Write], now: Time) -> Vec<Action> {
        let mut changed = BTreeSet::new();
        for write in writes {
            self.start_recorded(&write.job, write.version, now);
            let Some(workers) = self.unstored.remove(&write.job) else {
                continue;
            };
            for id in workers {
                let Some(worker) = self.workers.get_mut(&id) else {
                    continue;
                };
                if worker.store_ends(&write.job, write.version) {
                    let workers = self.unstored.entry(write.job.clone()).or_default();
                    workers.insert(id.clone());
                }
                changed.insert(id);
            }
        }
        for id in changed {
            let worker = self.workers.get_mut(&id);
            if let Some(end) = worker.and_then(Worker::acknowledge) {
                self.actions.push(Action::Acknowledge { worker: id, end });
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Counts the workers that answered lately, and those that should have.
    ///
    /// Workers that just joined, that left, or whose machines were ordered away do not count.
    pub fn count_responsive(&self, now: Time) -> (usize, usize) {
        let leaving = |worker: &Worker| {
            let ordered = worker.ordered;
            ordered.is_some_and(|time| now.saturating_sub(time) < RETURNED)
        };
        let expected = self.workers.values().filter(|worker| {
            let joined = now.saturating_sub(worker.joined) < CONTACT_TIMEOUT;
            !worker.absent && !worker.gone && !joined && !leaving(worker)
        });
        let heard = |worker: &&Worker| now.saturating_sub(worker.heard) < CONTACT_TIMEOUT;
        (expected.clone().filter(heard).count(), expected.count())
    }

    /// Returns whether a worker may answer: its machine has no other life, and it
    /// is listed or may still run something.
    pub fn has_active_worker(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|it| !it.gone)
    }

    /// Returns the standing of each pool for operators.
    pub fn summary(&self) -> BTreeMap<PoolId, PoolSummary> {
        let mut summary: BTreeMap<PoolId, PoolSummary> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| !it.gone) {
            let entry = summary.entry(worker.entry.pool.clone()).or_default();
            entry.workers += 1;
            entry.runs += worker.runs.len();
            entry.used_millicores += worker.used.millicores;
            entry.total_millicores += worker.entry.capacity.millicores;
        }
        for (pool, ready) in &self.ready {
            summary.entry(pool.clone()).or_default().waiting = ready.len();
        }
        summary
    }

    fn configure(&mut self, catalog: Catalog, now: Time) {
        if catalog.version <= self.catalog.version {
            return;
        }
        self.catalog = catalog;
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.retarget(&id, now);
        }
    }

    fn register(&mut self, entries: Vec<WorkerEntry>, now: Time) {
        let lease = WORKER_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + CONTACT_TIMEOUT;
        let mut listed = BTreeSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            match self.workers.get_mut(&entry.id) {
                Some(worker) => worker.update(entry),
                None => {
                    let id = entry.id.clone();
                    self.workers
                        .insert(id, Worker::new(entry, now, now + lease));
                }
            }
        }
        for (id, worker) in &mut self.workers {
            let absent = !listed.contains(id);
            if absent && !worker.absent {
                worker.absent_since = now;
            }
            worker.absent = absent;
        }
        self.drop_absent(now);
    }

    /// Forgets workers that left the registry and hold nothing.
    fn drop_absent(&mut self, now: Time) {
        let kept = |worker: &Worker| !worker.missing(now) || !worker.runs.is_empty();
        self.workers.retain(|_, worker| kept(worker));
    }

    fn extended(&mut self, worker: &WorkerId, now: Time) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lapse = worker.lapse.max(now + worker::longest_lease());
        }
    }

    fn tick(&mut self, now: Time) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Duration::from_millis(100);
        self.lapse(now);
        self.due(now);
        self.rerank(now);
        self.stalled(now);
        self.pace_fillers(now);
        self.demand_tick(now);
        self.maintain(now);
        self.balance(now);
        // Pauses of workers and tasks end without an event.
        let waiting = self.ready.iter().filter(|(_, ready)| !ready.is_empty());
        self.stale.extend(waiting.map(|(pool, _)| pool.clone()));
    }

    fn note(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn touch(&mut self, job: &JobId) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.version = version;
            if !std::mem::replace(&mut entry.dirty, true) {
                self.dirty.push_back(job.clone());
            }
        }
        version
    }
}
