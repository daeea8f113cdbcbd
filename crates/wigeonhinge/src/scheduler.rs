//! Scheduler of the jobs of one pool, composed of [`job`](crate::job),
//! [`place`](crate::place), [`quota`](crate::quota) and [`usage`](crate::usage).
//!
//! The holder of the role `jobs/{pool}` passes every [`Event`] to
//! [`Scheduler::handle`] in order, carries out the returned [`Action`]s in order,
//! and passes [`Event::Tick`] every [`TICK_INTERVAL`]. No job is accepted and no
//! task is started before the store has recorded it, and nothing is sent to the
//! store or to a worker after the lease announced by [`Event::Lease`] has expired.

mod api;
mod placement;
mod store;
mod submit;
mod tasks;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;

pub use crate::scheduler::api::Action;
pub use crate::scheduler::api::Answer;
pub use crate::scheduler::api::Command;
pub use crate::scheduler::api::Event;
pub use crate::scheduler::api::LogEntry;
pub use crate::scheduler::api::Reply;
pub use crate::scheduler::api::Task;
pub use crate::scheduler::api::TaskReport;
pub use crate::scheduler::api::TaskState;
pub use crate::scheduler::api::WorkerReport;

use crate::id::EntryId;
use crate::id::Fence;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::TeamId;
use crate::id::Time;
use crate::id::VmId;
use crate::job::Jobs;
use crate::job::log::Log;
use crate::place::Capacity;
use crate::place::FaultTracker;
use crate::place::Placer;
use crate::quota::Quotas;
use crate::scheduler::placement::WaitingJob;
use crate::scheduler::submit::PendingRequest;
use crate::scheduler::tasks::Assignment;
use crate::usage::UsageHistory;

/// Interval of [`Event::Tick`]; adds to the start latency of urgent jobs.
pub const TICK_INTERVAL: Time = Duration::from_millis(50);

/// Time without a renewal after which a worker stops a task, as its scheduler may
/// be gone.
pub const TASK_TTL: Time = Duration::from_secs(3_600);

/// Scheduler of the jobs of one pool.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::scheduler::Action;
/// use wigeonhinge::scheduler::Event;
/// use wigeonhinge::scheduler::Scheduler;
///
/// let mut scheduler = Scheduler::new("crews".into(), "entry-1".into(), 0);
/// let lease = Event::Lease { fence: 1, until: Duration::from_secs(6) };
/// let actions = scheduler.handle(lease, Duration::ZERO);
/// assert_eq!(actions, [Action::Recover]);
/// ```
#[derive(Clone, Debug)]
pub struct Scheduler {
    pool: PoolId,
    entry: EntryId,
    epoch_ms: u64,
    role: Option<Role>,
    jobs: Jobs,
    /// Jobs that the store has not confirmed yet.
    unstored: BTreeSet<JobId>,
    /// Jobs whose latest change is not part of a batch yet.
    dirty: BTreeSet<JobId>,
    /// When the next batch is to be written; absent without changes.
    batch_due: Option<Time>,
    /// Requests of submitters that wait for a batch to contain their job.
    queued_requests: BTreeMap<JobId, Vec<PendingRequest>>,
    /// Requests of submitters that wait for the batch in flight.
    sent_requests: BTreeMap<JobId, Vec<PendingRequest>>,
    assignments: BTreeMap<JobId, Assignment>,
    /// When to act next on each assigned job.
    timers: BTreeSet<(Time, JobId)>,
    waiting: BTreeMap<placement::WaitKey, WaitingJob>,
    /// Jobs in state unknown whose worker was lost before it answered the stop of their
    /// cancellation.
    cancelled: BTreeSet<JobId>,
    /// Failed and outgrown attempts of open jobs.
    failures: BTreeMap<JobId, tasks::Failures>,
    placer: Placer,
    quotas: Quotas,
    usage: UsageHistory,
    faults: FaultTracker,
    phases: BTreeMap<VmId, Phase>,
    incarnations: BTreeMap<VmId, u64>,
    /// Workers that get no new tasks, as they may be faulty.
    suspects: BTreeMap<VmId, tasks::Suspect>,
    /// Workers of the pool that may be unavailable at the same time.
    budget: usize,
    /// Whether waiting jobs may fit that did not in the last placement pass.
    capacity_freed: bool,
    last_pass: Time,
    /// Actions to return from the event being handled.
    actions: Vec<Action>,
}

/// The role of the pool, while this entry holds it.
#[derive(Clone, Debug)]
struct Role {
    fence: Fence,
    valid_until: Time,
    /// Writer of the log; absent until the log has been read.
    log: Option<Log>,
    /// Whether the store has confirmed the first batch under this fence.
    established: bool,
    /// When to read the log again if it has not been read by then.
    retry_at: Time,
}

impl Scheduler {
    /// Creates the scheduler of a pool, without its role. `epoch_ms` is the origin
    /// of [`Time`] in milliseconds since the Unix epoch.
    pub fn new(pool: PoolId, entry: EntryId, epoch_ms: u64) -> Self {
        Self {
            pool,
            entry,
            epoch_ms,
            role: None,
            jobs: Jobs::default(),
            unstored: BTreeSet::new(),
            dirty: BTreeSet::new(),
            batch_due: None,
            queued_requests: BTreeMap::new(),
            sent_requests: BTreeMap::new(),
            assignments: BTreeMap::new(),
            timers: BTreeSet::new(),
            waiting: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            failures: BTreeMap::new(),
            placer: Placer::new([]),
            quotas: Quotas::default(),
            usage: UsageHistory::default(),
            faults: FaultTracker::default(),
            phases: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            suspects: BTreeMap::new(),
            budget: 0,
            capacity_freed: false,
            last_pass: Time::ZERO,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Submit { ticket, job } => self.submit(ticket, *job, now),
            Event::Cancel { ticket, job } => self.cancel(ticket, &job, now),
            Event::Query { ticket, job } => self.query(ticket, &job, now),
            Event::Lease { fence, until } => self.on_lease(fence, until, now),
            Event::RoleLost => self.lose_role(),
            Event::Recovered { snapshot, batches } => {
                self.on_recovered(snapshot.map(|snapshot| *snapshot), batches, now);
            }
            Event::Stored { seq, version } => self.on_stored(seq, version, now),
            Event::Conflict { seq } => self.on_conflict(seq, now),
            Event::Read { seq, entry } => self.on_read(seq, entry, now),
            Event::StoreUnavailable => self.on_unavailable(now),
            Event::UsageElsewhere(usage) => {
                let changes = self.quotas.set_elsewhere(usage);
                self.apply_borrow_changes(changes);
            }
            Event::Adopt(fleet) => self.adopt(&fleet, now),
            Event::Phases(phases) => self.on_phases(phases, now),
            Event::Reports(reports) => self.on_reports(reports, now),
            Event::Reply {
                worker,
                task,
                command,
                incarnation,
                reply,
            } => self.on_reply(&worker, &task, command, (incarnation, reply), now),
            Event::Tick => self.tick(now),
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the role is held and its lease has not expired.
    pub fn lease_valid(&self, now: Time) -> bool {
        self.role
            .as_ref()
            .is_some_and(|role| now < role.valid_until)
    }

    /// Returns whether jobs are accepted and started: the lease is valid, the log was
    /// read, and the store has confirmed a first batch.
    pub fn ready(&self, now: Time) -> bool {
        self.lease_valid(now) && self.role.as_ref().is_some_and(|role| role.established)
    }

    /// Returns the jobs of the pool, including changes that are not stored yet; empty
    /// without the role.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Returns the total capacity of the pool and the part that jobs have reserved.
    pub fn load(&self) -> (Capacity, Capacity) {
        (self.placer.total(), self.placer.reserved())
    }

    /// Returns the capacity that each team uses in this pool, for
    /// [`Event::UsageElsewhere`] of the other pools.
    pub fn team_usage(&self) -> BTreeMap<TeamId, Capacity> {
        self.quotas.usage()
    }

    /// Returns the estimated size of the state in bytes, without allocator overhead.
    pub fn bytes(&self) -> usize {
        let jobs: usize = self.jobs.iter().map(|(_, job)| job_bytes(job)).sum();
        let assignments = self.assignments.len() * (2 * size_of::<(JobId, Assignment)>() + 64);
        let waiting = self.waiting.len() * 2 * size_of::<(placement::WaitKey, WaitingJob)>();
        jobs + assignments + waiting + self.placer.bytes()
    }

    fn tick(&mut self, now: Time) {
        self.tick_log(now);
        self.expire_requests(now);
        if !self.ready(now) {
            return;
        }
        self.run_timers(now);
        self.confirm_suspects(now);
        self.placement_pass(now);
    }

    fn adopt(&mut self, fleet: &Fleet, now: Time) {
        let vms = fleet.inventory.iter().filter(|vm| vm.pool == self.pool);
        self.placer = Placer::new(vms);
        let rules = fleet.rules.iter();
        let teams = rules.clone().flat_map(|rules| &rules.teams);
        let limits = teams.map(|team| {
            let quota = Capacity {
                millicores: i32::try_from(team.cores.saturating_mul(1_000)).unwrap_or(i32::MAX),
                memory_mb: i32::try_from(team.memory_mb).unwrap_or(i32::MAX),
                accelerators: i32::try_from(team.accelerators).unwrap_or(i32::MAX),
            };
            (team.name.as_str().into(), quota)
        });
        let changes = self.quotas.set_limits(limits.collect());
        let mut pools = rules.flat_map(|rules| &rules.pools);
        let pool = pools.find(|pool| pool.name == self.pool);
        self.budget = pool.map_or(0, |pool| pool.max_unavailable as usize);
        self.reserve_all(now);
        self.apply_borrow_changes(changes);
        self.update_usable();
        self.end_impossible(now);
        self.capacity_freed = true;
    }

    fn on_phases(&mut self, phases: BTreeMap<VmId, Phase>, now: Time) {
        self.phases = phases;
        self.update_usable();
        self.vacate_workers(now);
        self.capacity_freed = true;
    }

    /// Updates which workers accept new tasks: those in an active phase that have
    /// reported and are not suspect.
    fn update_usable(&mut self) {
        let names: Vec<VmId> = self.placer.worker_names().cloned().collect();
        for name in names {
            let phase = self.phases.get(&name);
            let usable = phase.is_some_and(|phase| crate::place::accepts_work(*phase))
                && self.incarnations.contains_key(&name)
                && !self.suspects.contains_key(&name);
            self.placer.set_usable(&name, usable);
        }
    }

    fn unix_ms(&self, now: Time) -> u64 {
        self.epoch_ms + u64::try_from(now.as_millis()).unwrap_or(u64::MAX / 2)
    }

    fn fence(&self) -> Fence {
        self.role.as_ref().map_or(0, |role| role.fence)
    }
}

fn job_bytes(job: &wigeonhinge_schema::jobs::Job) -> usize {
    let text = [
        &job.id,
        &job.team,
        &job.class,
        &job.worker,
        &job.reason,
        &job.zone,
        &job.group,
    ];
    let text: usize = text.iter().map(|text| text.capacity()).sum();
    2 * size_of_val(job) + text
}
