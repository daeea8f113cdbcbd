//! Decisions on the jobs of one pool, composed of [`job`](crate::job),
//! [`place`](crate::place), [`quota`](crate::quota) and [`usage`](crate::usage).
//!
//! The holder of the role `jobs/{pool}` feeds every [`Event`] in order to
//! [`Scheduler::handle`], carries out the [`Action`]s that come back in order,
//! and calls it with [`Event::Tick`] every [`TICK_INTERVAL`]. Nothing is accepted or
//! started before the store holds it, and no command goes to the store or to a
//! worker outside the lease that [`Event::Lease`] announced.

mod api;
mod pass;
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
use crate::scheduler::pass::WaitingJob;
use crate::scheduler::submit::PendingRequest;
use crate::scheduler::tasks::Assignment;
use crate::usage::UsageHistory;

/// Interval of [`Event::Tick`]; it adds to the start latency of urgent work.
pub const TICK_INTERVAL: Time = Duration::from_millis(50);

/// Time within which a worker stops a task whose scheduler is gone.
pub const TASK_TTL: Time = Duration::from_secs(3_600);

/// Decisions on the jobs of one pool.
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
    /// Jobs that the store does not have yet.
    unstored: BTreeSet<JobId>,
    /// Jobs whose latest change is in no batch yet.
    dirty: BTreeSet<JobId>,
    /// When the next batch has to be written.
    batch_due: Option<Time>,
    queued_requests: BTreeMap<JobId, Vec<PendingRequest>>,
    sent_requests: BTreeMap<JobId, Vec<PendingRequest>>,
    assignments: BTreeMap<JobId, Assignment>,
    timers: BTreeSet<(Time, JobId)>,
    waiting: BTreeMap<pass::WaitKey, WaitingJob>,
    failures: BTreeMap<JobId, tasks::Failures>,
    placer: Placer,
    quotas: Quotas,
    usage: UsageHistory,
    faults: FaultTracker,
    phases: BTreeMap<VmId, Phase>,
    incarnations: BTreeMap<VmId, u64>,
    suspects: BTreeMap<VmId, tasks::Suspect>,
    budget: usize,
    capacity_freed: bool,
    last_pass: Time,
    actions: Vec<Action>,
}

/// A held role.
#[derive(Clone, Debug)]
struct Role {
    fence: Fence,
    valid_until: Time,
    /// Log; absent until it was read.
    log: Option<Log>,
    /// Whether the first batch of this role is durable.
    established: bool,
    /// When reading the log is tried again.
    retry_at: Time,
}

impl Scheduler {
    /// Creates the scheduler of a pool, without a role. `epoch_ms` is the origin
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

    /// Takes an event and returns what has to be done, in order.
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
            Event::HeldElsewhere(held) => {
                let changes = self.quotas.set_elsewhere(held);
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

    /// Whether the role is held and its lease is valid.
    pub fn lease_valid(&self, now: Time) -> bool {
        self.role
            .as_ref()
            .is_some_and(|role| now < role.valid_until)
    }

    /// Whether jobs are accepted and started: the role is held and the log was
    /// read.
    pub fn ready(&self, now: Time) -> bool {
        self.lease_valid(now) && self.role.as_ref().is_some_and(|role| role.established)
    }

    /// Returns the jobs of the pool as this scheduler knows them.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Returns the capacity of the pool and what its jobs hold.
    pub fn load(&self) -> (Capacity, Capacity) {
        (self.placer.total(), self.placer.reserved())
    }

    /// Returns what each team holds in this pool, for the other pools.
    pub fn held(&self) -> BTreeMap<TeamId, Capacity> {
        self.quotas.usage()
    }

    /// Bytes of state, without allocator overhead.
    pub fn bytes(&self) -> usize {
        let jobs: usize = self.jobs.iter().map(|(_, job)| job_bytes(job)).sum();
        let assignments = self.assignments.len() * (2 * size_of::<(JobId, Assignment)>() + 64);
        let waiting = self.waiting.len() * 2 * size_of::<(pass::WaitKey, WaitingJob)>();
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

    /// Sets which workers take new work from their phases and suspicion of faults.
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

    /// Milliseconds since the Unix epoch.
    fn unix(&self, now: Time) -> u64 {
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
