//! Scheduler for jobs on leased workers, with demand-driven pool sizes and maintenance waves.
//!
//! [`Batch`] is the state of the one entry that holds the scheduler role. It
//! takes [`Event`]s and returns [`Action`]s and performs no I/O. The holder may
//! crash at any point; three ordering rules keep the jobs correct:
//!
//! - A start is sent only after the store holds the task's run number and worker.
//! - A finished run is acknowledged to its worker only after the store holds its
//!   result.
//! - A run that may exist on a worker is considered lost only when the worker
//!   does not list it in a complete report under the current fence, a new
//!   incarnation of the worker does not list it under a fence of its own, or its
//!   lease has expired. A run whose start had no answer may begin under the lease
//!   of the next incarnation, so it counts as lost only after the longest lease.

mod balance;
mod caps;
mod catalog;
mod contact;
mod crash;
mod demand;
mod event;
mod grant;
mod handover;
mod history;
mod hold;
mod job;
mod machines;
mod maintenance;
mod outbox;
mod pace;
mod pass;
mod place;
mod racks;
mod ready;
mod report;
mod reserve;
mod restarts;
mod row;
mod runs;
mod spec;
mod starts;
mod task;
mod transfer;
mod worker;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

use crate::batch::balance::DemandHistory;
use crate::batch::caps::Caps;
use crate::batch::demand::Demand;
use crate::batch::job::Job;
use crate::batch::maintenance::MaintenanceWaves;
use crate::batch::ready::Rank;
use crate::batch::ready::ReadyQueue;
use crate::batch::worker::Origin;
use crate::batch::worker::Worker;
use crate::batch::workers::Workers;

pub use crate::batch::caps::WorkspaceUse;
pub use crate::batch::catalog::Catalog;
pub use crate::batch::catalog::PoolRule;
pub use crate::batch::catalog::Queue;
pub use crate::batch::contact::Contact;
pub use crate::batch::event::Action;
pub use crate::batch::event::Event;
pub use crate::batch::event::PoolSummary;
pub use crate::batch::event::StartReply;
pub use crate::batch::event::Write;
pub use crate::batch::grant::Grant;
pub use crate::batch::handover::OrderLog;
pub use crate::batch::handover::OrdersRow;
pub use crate::batch::history::RevisionHistory;
pub use crate::batch::machines::Machine;
pub use crate::batch::machines::MachineState;
pub use crate::batch::maintenance::Wave;
pub use crate::batch::outbox::MAX_START_WAIT;
pub use crate::batch::outbox::Order;
pub use crate::batch::outbox::Outbox;
pub use crate::batch::report::ActiveRun;
pub use crate::batch::report::End;
pub use crate::batch::report::FinishedRun;
pub use crate::batch::report::Report;
pub use crate::batch::reserve::BackfillCounts;
pub use crate::batch::restarts::RestartsRow;
pub use crate::batch::row::JobRow;
pub use crate::batch::row::LostRunRow;
pub use crate::batch::row::Phase;
pub use crate::batch::row::ProgressRow;
pub use crate::batch::row::StateRow;
pub use crate::batch::row::TaskRow;
pub use crate::batch::row::TransferRow;
pub use crate::batch::spec::JobSpec;
pub use crate::batch::spec::Size;
pub use crate::batch::spec::Step;
pub use crate::batch::spec::WorkerEntry;
pub use crate::batch::starts::StartsRow;
pub use crate::batch::starts::StoredProgress;
pub use crate::batch::task::TaskId;
pub use crate::batch::worker::longest_lease;

/// Identifier of a worker; a VM gets a new one each time it joins a pool.
pub type WorkerId = CompactString;

/// Run number of a task; each start gets a higher one.
pub type Run = u32;

/// Time limits set by the platform.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Time for which the state of a job is kept after its end.
    pub retention: Duration,
    /// Duration of a machine's move to another pool.
    pub migrate: Duration,
    /// Duration of a machine's maintenance.
    pub maintenance: Duration,
    /// Minimum time between machine orders of two different role holders.
    pub order_lease: Duration,
    /// Time for which a long-running task may be unavailable before it counts as absent.
    pub notice: Duration,
}

/// Duration of the lease that each poll grants to a worker.
///
/// A successor takes over within 2.5 s of the loss of the role holder, so leases
/// must outlive that. Longer leases delay the restart of tasks of an unreachable
/// worker.
pub const WORKER_LEASE: Duration = Duration::from_millis(3_500);

/// Fraction by which a worker's clock may run slow.
pub const MAX_CLOCK_DRIFT: f64 = 0.03;

/// Time without contact to the store after which a role holder stops extending worker leases.
///
/// A worker that has not reported within this time counts as unresponsive.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a worker may stay registered after its machine was ordered away.
const DEREGISTRATION_TIME: Duration = Duration::from_secs(6);

/// State of the scheduler role.
#[derive(Debug)]
pub struct Batch {
    bounds: Bounds,
    catalog: Catalog,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with several occurrences.
    repeated_jobs: BTreeSet<JobId>,
    /// When to check next whether a job can still meet its objective, as Unix time in
    /// milliseconds.
    late_checks: BTreeSet<(i64, JobId)>,
    /// Jobs with changes that no taken write includes yet, in the order of their first change.
    changed_jobs: VecDeque<JobId>,
    /// Tasks that are ready to start, by pool.
    ready: BTreeMap<PoolId, ReadyQueue>,
    /// Pools in which a ready task may fit since the last placement pass.
    dirty_pools: BTreeSet<PoolId>,
    /// Pools of which the next pass also tries tasks behind the head of the ready queue.
    rest_due: BTreeSet<PoolId>,
    /// Where the last pass behind the head of a pool's ready queue ended before the queue.
    pass_ends: BTreeMap<PoolId, Rank>,
    /// Workers that a pool needs besides its own, by pool, for long-running tasks that fit on none.
    unplaced_hosts: BTreeMap<PoolId, usize>,
    /// Workers that get no other tasks until a long-running task fits on them.
    reservations: BTreeMap<TaskId, WorkerId>,
    /// Reservations in time of short tasks; empty unless the catalog asks for them.
    backfill: reserve::Backfill,
    /// Room for long-running tasks that leave their workers.
    holds: hold::Holds,
    workers: Workers,
    caps: Caps,
    demand: Demand,
    demand_history: DemandHistory,
    maintenance: MaintenanceWaves,
    machines: BTreeMap<VmId, machines::ManagedMachine>,
    /// Workers that restarted lately, with the ends of the longest leases that they may have.
    restarts: BTreeMap<WorkerId, Time>,
    /// Starts that were sent, or may have been sent by a predecessor, and are not known to be answered.
    unanswered_starts: BTreeMap<TaskId, Run>,
    /// Whether these changed since they were last stored.
    starts_changed: bool,
    /// Starts without an answer that the predecessor recorded.
    predecessor_starts: StartsRow,
    /// Whether no other holder has called the workers of the next complete list.
    is_first_term: bool,
    /// Worker that each machine registered last.
    newest_workers: BTreeMap<VmId, WorkerId>,
    /// Machines that belong to other partitions.
    foreign_machines: BTreeSet<VmId>,
    /// Time before which a machine gets no order, as a predecessor's order may still be in flight.
    blocked_until: BTreeMap<VmId, Time>,
    /// Time before which a predecessor's order without an answer may still be carried out.
    open_orders: BTreeMap<VmId, Time>,
    /// Final rows of ended jobs that are not written yet.
    final_writes: VecDeque<Write>,
    /// Jobs that passed to other partitions: the number of their transfers then, and the time until
    /// which an older row is known by it.
    transferred_jobs: BTreeMap<JobId, (u32, Time)>,
    /// Where the last search for jobs that no worker can run ended in each ready queue.
    searched: BTreeMap<PoolId, Rank>,
    /// Jobs that ended or left whose last rows the store does not hold yet, with their versions.
    unstored_jobs: BTreeMap<JobId, u64>,
    /// Workers that reported finished runs of a job whose results are not stored yet.
    unstored_ends: BTreeMap<JobId, BTreeSet<WorkerId>>,
    /// Ended jobs with the time until which their state is kept.
    ended_jobs: BTreeMap<JobId, Time>,
    /// The same by this time: there may be tens of thousands, and the holder asks after each burst of
    /// messages which ones are due.
    ended_order: BTreeSet<(Time, JobId)>,
    term_start: Time,
    /// Whether half of the workers have reported under the current fence.
    has_majority: bool,
    /// Unix time at `Time::ZERO`, in milliseconds.
    epoch_ms: i64,
    next_version: u64,
    next_tick: Time,
    actions: Vec<Action>,
}

impl Batch {
    /// Creates the state of an entry that acquired the role at `now`.
    ///
    /// `epoch_ms` is the Unix time in milliseconds at which `Time` is zero.
    pub fn new(bounds: Bounds, catalog: Catalog, epoch_ms: i64, now: Time) -> Self {
        Self {
            bounds,
            catalog,
            jobs: BTreeMap::new(),
            repeated_jobs: BTreeSet::new(),
            late_checks: BTreeSet::new(),
            changed_jobs: VecDeque::new(),
            ready: BTreeMap::new(),
            dirty_pools: BTreeSet::new(),
            rest_due: BTreeSet::new(),
            pass_ends: BTreeMap::new(),
            unplaced_hosts: BTreeMap::new(),
            reservations: BTreeMap::new(),
            backfill: reserve::Backfill::default(),
            holds: hold::Holds::default(),
            workers: Workers::default(),
            caps: Caps::default(),
            demand: Demand::default(),
            demand_history: DemandHistory::default(),
            maintenance: MaintenanceWaves::default(),
            machines: BTreeMap::new(),
            restarts: BTreeMap::new(),
            unanswered_starts: BTreeMap::new(),
            starts_changed: false,
            predecessor_starts: StartsRow::default(),
            is_first_term: false,
            newest_workers: BTreeMap::new(),
            foreign_machines: BTreeSet::new(),
            blocked_until: BTreeMap::new(),
            open_orders: BTreeMap::new(),
            final_writes: VecDeque::new(),
            transferred_jobs: BTreeMap::new(),
            searched: BTreeMap::new(),
            unstored_jobs: BTreeMap::new(),
            unstored_ends: BTreeMap::new(),
            ended_jobs: BTreeMap::new(),
            ended_order: BTreeSet::new(),
            term_start: now,
            has_majority: false,
            epoch_ms,
            next_version: 1,
            next_tick: now,
            actions: Vec::new(),
        }
    }

    /// Records that the partition had no holder before; called before workers are registered.
    pub fn begin_first_term(&mut self) {
        self.is_first_term = true;
    }

    /// Adds a job read from the store, with the stored progress of its tasks.
    pub fn restore(&mut self, row: JobRow, progress: Option<StoredProgress>, now: Time) {
        self.accept(row, progress, now);
    }

    /// Adds a job that ended before this term; its state is kept for the whole retention time.
    pub fn restore_ended(&mut self, job: JobId, now: Time) {
        self.keep_ended(job, now);
    }

    /// Keeps the state of an ended job for the retention time from now on.
    fn keep_ended(&mut self, job: JobId, now: Time) {
        let until = now + self.bounds.retention;
        if let Some(previous) = self.ended_jobs.insert(job.clone(), until) {
            self.ended_order.remove(&(previous, job.clone()));
        }
        self.ended_order.insert((until, job));
    }

    /// Removes and returns up to `limit` ended jobs whose retention time has passed.
    pub fn take_expired(&mut self, limit: usize, now: Time) -> Vec<JobId> {
        let mut expired = Vec::new();
        while expired.len() < limit
            && let Some((until, _)) = self.ended_order.first()
            && *until < now
            && let Some((_, job)) = self.ended_order.pop_first()
        {
            self.ended_jobs.remove(&job);
            expired.push(job);
        }
        expired
    }

    /// Applies an event, places ready tasks, and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.apply(event, now);
        self.place_ready(now)
    }

    /// Places ready tasks and returns all actions since the last call.
    pub fn place_ready(&mut self, now: Time) -> Vec<Action> {
        self.place_tasks(now);
        std::mem::take(&mut self.actions)
    }

    /// Applies an event; the next call of [`Batch::place_ready`] returns the actions.
    ///
    /// One placement pass after several events is cheaper than one pass per event.
    pub fn apply(&mut self, event: Event, now: Time) {
        match event {
            Event::Configure(catalog) => self.configure(catalog, now),
            Event::Accept(row) => self.accept(row, None, now),
            Event::Cancel(job) => self.cancel(&job, now),
            Event::Workers(entries) => self.replace_workers(entries, now),
            Event::WorkerRegistered(entry) => self.register_worker(entry, Origin::New, now),
            Event::WorkerGained(entry) => self.register_worker(entry, Origin::Inherited, now),
            Event::WorkerRemoved(id) => self.worker_unregistered(&id, now),
            Event::WorkerGone(id) => self.worker_gone(&id, &BTreeSet::new(), now),
            Event::Report(worker, report) => self.apply_report(&worker, report, now),
            Event::LeaseExtended(worker, end) => self.lease_extended(&worker, end),
            Event::StartAnswered(worker, task, run, reply) => {
                match reply {
                    StartReply::Unknown => self.order_unanswered(&worker, now),
                    StartReply::NotSent => {}
                    StartReply::Started => {
                        self.order_responded(&worker);
                        self.run_seen(&worker, &task, run);
                    }
                    _ => self.order_responded(&worker),
                }
                self.start_answered(&worker, &task, (run, reply), now);
            }
            Event::StopAnswered(worker, task, run, answered) => {
                match answered {
                    true => self.order_responded(&worker),
                    false => self.order_unanswered(&worker, now),
                }
                self.stop_answered(&worker, &task, (run, answered), now);
            }
            Event::PaceAnswered(worker, task, run, done) => {
                self.pace_answered(&worker, &task, (run, done));
            }
            Event::Machines(list) => self.update_machines(list, now),
            Event::ForeignMachines(machines) => self.foreign_machines = machines,
            Event::OrderAnswered(machine, done) => self.order_answered(&machine, done, now),
            Event::OrderUnanswered(machine) => self.repeat_order_later(&machine, now),
            Event::OrderNotSent(machine) => self.order_not_sent(&machine, now),
            Event::Wave(wave) => self.maintenance.add(wave, now),
            Event::WaveLimit(wave, limit) => self.maintenance.set_limit(wave, limit),
            Event::CapShares(shares) => self.set_cap_shares(shares),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns the rows of the next job to store, if any.
    pub fn take_write(&mut self) -> Option<Write> {
        if let Some(write) = self.final_writes.pop_front() {
            return Some(write);
        }
        while let Some(id) = self.changed_jobs.pop_front() {
            // A job that has ended since then has its rows in `final_writes`.
            if let Some(job) = self.jobs.get_mut(&id) {
                return Some(job.take_write());
            }
        }
        None
    }

    /// Records that the store holds `writes`; returns the starts and acknowledgements that
    /// waited for them.
    pub fn confirm_writes(&mut self, writes: &[Write], now: Time) -> Vec<Action> {
        let mut changed = BTreeSet::new();
        for write in writes {
            self.record_stored(&write.job, write.version);
            self.send_recorded_starts(&write.job, write.version, now);
            let Some(workers) = self.unstored_ends.remove(&write.job) else {
                continue;
            };
            for id in workers {
                let Some(worker) = self.workers.get_mut(&id) else {
                    continue;
                };
                if worker.ends_stored(&write.job, write.version) {
                    let workers = self.unstored_ends.entry(write.job.clone()).or_default();
                    workers.insert(id.clone());
                }
                changed.insert(id);
            }
        }
        for id in changed {
            self.acknowledge(&id);
        }
        std::mem::take(&mut self.actions)
    }

    /// Records that the store holds the rows of a job with this version.
    fn record_stored(&mut self, id: &JobId, version: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stored_version = job.stored_version.max(version);
        }
        if self.unstored_jobs.get(id).is_some_and(|it| *it <= version) {
            self.unstored_jobs.remove(id);
        }
    }

    /// Returns the workers with runs whose leases have ended, as far as extensions are known.
    ///
    /// The next tick takes their runs as lost. Extensions that were sent since then are to be
    /// passed before it.
    pub fn lapsed_leases(&self, now: Time) -> Vec<WorkerId> {
        self.workers
            .select(|worker| now >= worker.lease_end && !worker.runs.is_empty())
    }

    /// Returns whether a job was accepted and has not ended.
    pub fn has_job(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns whether any job was accepted and has not ended.
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Returns whether a worker is registered or may still have runs.
    pub fn has_worker(&self, worker: &str) -> bool {
        self.workers.contains_key(worker)
    }

    /// Returns whether a worker has to be polled: it is registered or may still have runs, and its
    /// machine has not been given to another worker.
    ///
    /// Workers without runs in a standby pool that no queue uses are not polled: their machines are
    /// switched off, and they never get tasks.
    pub fn expects_reports(&self, worker: &str) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|it| !it.replaced && !self.is_parked(it))
    }

    fn is_parked(&self, worker: &Worker) -> bool {
        let pool = &worker.entry.pool;
        worker.runs.is_empty() && self.catalog.is_standby(pool) && !self.catalog.has_queue(pool)
    }

    /// Counts the jobs of each queue of which no task is known to have started.
    pub fn pending_jobs(&self) -> BTreeMap<CompactString, usize> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.begun) {
            *counts.entry(job.row.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns workers, load and waiting tasks of each pool, for operators.
    pub fn summary(&self) -> BTreeMap<PoolId, PoolSummary> {
        let mut summary: BTreeMap<PoolId, PoolSummary> = BTreeMap::new();
        // Workers known only from rows of jobs have no pool.
        let listed = |worker: &&Worker| !worker.replaced && !worker.entry.pool.is_empty();
        for worker in self.workers.values().filter(listed) {
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
        let previous = std::mem::replace(&mut self.catalog, catalog);
        self.caps_changed(&previous);
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.update_queue(&id, now);
        }
    }

    /// Applies the complete list of registered workers.
    fn replace_workers(&mut self, entries: Vec<WorkerEntry>, now: Time) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|it| it.id.clone()).collect();
        let origin = match std::mem::take(&mut self.is_first_term) {
            true => Origin::New,
            false => Origin::Inherited,
        };
        for entry in entries {
            self.register_worker(entry, origin, now);
        }
        let absent = self.workers.select(|worker| !worker.unregistered);
        for id in absent.iter().filter(|id| !listed.contains(*id)) {
            self.worker_unregistered(id, now);
        }
    }

    fn register_worker(&mut self, entry: WorkerEntry, origin: Origin, now: Time) {
        self.end_predecessor(&entry, now);
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                let id = entry.id.clone();
                let drains = entry.draining && !worker.entry.draining;
                let previous = worker.entry.capacity;
                let capacity = entry.capacity;
                worker.update(entry);
                // A start that is sent now would bring the worker over what is left of its capacity.
                let shrank = capacity != previous && !worker.used.fits(capacity);
                if capacity != previous {
                    self.capacity_changed(&id, (previous, capacity));
                }
                if drains || shrank {
                    self.withdraw_starts(&id, now);
                }
                self.check_adopted(&id, now);
            }
            None => {
                self.add_worker(entry, origin, now);
                self.cordon_ordered(now);
            }
        }
    }

    fn worker_unregistered(&mut self, id: &WorkerId, now: Time) {
        if let Some(worker) = self.workers.get_mut(id)
            && !std::mem::replace(&mut worker.unregistered, true)
        {
            worker.unregistered_since = now;
            self.withdraw_starts(id, now);
        }
    }

    /// Removes workers that left the registry and have no runs.
    fn remove_absent(&mut self, now: Time) {
        let absent = |worker: &Worker| {
            worker.deregistered(now)
                && worker.runs.is_empty()
                && worker.unknown_runs.is_empty()
                && !worker.fate_unknown(now)
        };
        for id in self.workers.select(absent) {
            self.workers.remove(&id);
        }
    }

    fn lease_extended(&mut self, worker: &WorkerId, lease_end: Time) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease_end = worker.lease_end.max(lease_end);
        }
    }

    fn tick(&mut self, now: Time) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Duration::from_millis(100);
        self.await_majority(now);
        self.expire_leases(now);
        self.expire_unknown_runs(now);
        self.enqueue_due(now);
        self.demote_late(now);
        self.stop_stalled(now);
        self.pace_best_effort(now);
        self.expire_arrivals(now);
        self.cordon_ordered(now);
        self.repeat_orders(now);
        self.holds.expire(now);
        self.advance_waves(now);
        self.balance_pools(now);
        self.log_caps(now);
        // No event reports that the pause of a worker or task is over.
        let waiting = self.ready.iter().filter(|(_, ready)| !ready.is_empty());
        self.rest_due.extend(waiting.map(|(pool, _)| pool.clone()));
        self.dirty_pools.extend(self.rest_due.iter().cloned());
    }

    fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn bump_version(&mut self, job: &JobId) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.version = version;
            if !std::mem::replace(&mut entry.write_queued, true) {
                self.changed_jobs.push_back(job.clone());
            }
        }
        version
    }
}
