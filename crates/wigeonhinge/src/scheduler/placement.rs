//! Placement of waiting jobs on workers, with preemption and claims.

use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::State;

use crate::id::JobId;
use crate::id::Time;
use crate::job::JobEvent;
use crate::job::is_waiting;
use crate::place;
use crate::place::Capacity;
use crate::place::Plan;
use crate::place::Request;
use crate::quota::BorrowChange;
use crate::scheduler::Scheduler;
use crate::scheduler::tasks::Assignment;

/// Time that a job within the quota of its team waits before it may preempt less
/// urgent tasks, as most short waits end without a preemption. Jobs of the most
/// urgent priority preempt at once.
const RECLAIM_DELAY: Time = Time::from_secs(5);

/// Time that the oldest job of a priority waits before a worker is claimed for it,
/// and that a job that cannot be restarted waits before it may use any worker.
const CLAIM_DELAY: Time = Time::from_secs(30);

/// Shortest interval between two placement passes over all waiting jobs.
const PASS_INTERVAL: Time = Time::from_millis(200);

/// Age at which the size estimate of a waiting job is renewed.
const ESTIMATE_MAX_AGE: Time = Time::from_secs(5);

/// Unplaceable requests kept during a placement pass, to skip others that cannot be
/// placed either.
const MAX_UNPLACEABLE: usize = 16;

/// Order of waiting jobs: priority, submission time in milliseconds, identifier.
pub(super) type WaitKey = (u32, u64, JobId);

/// A job that waits for a worker.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob {
    /// Size to reserve, estimated at `sized_at`.
    size: Capacity,
    sized_at: Time,
}

/// A request that could not be placed in this pass. Requests of the same or a
/// larger size and of the same or a less urgent level cannot be placed either.
struct Unplaceable {
    zone: String,
    size: Capacity,
    level: usize,
    preempt: bool,
}

impl Scheduler {
    /// Adds a job to those that wait for a worker.
    pub(super) fn enqueue(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let waiting = WaitingJob {
            size: self.size_to_reserve(job),
            sized_at: now,
        };
        self.waiting.insert(wait_key(id, job), waiting);
    }

    pub(super) fn dequeue(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            self.waiting.remove(&wait_key(id, job));
        }
        self.placer.release_claim(id);
    }

    /// Tries to place a waiting job; returns whether it was placed.
    pub(super) fn place(&mut self, id: &JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let key = wait_key(id, job);
        let request = self.waiting.get(&key).map(|waiting| waiting.size);
        let Some(request) = request.map(|size| self.placement_request(id, job, size, now)) else {
            return false;
        };
        if let Some(plan) = self.placer.plan(id, &request) {
            self.assign(id, plan, &request, now);
            return true;
        }
        self.place_likely(id, now)
    }

    /// Tries to place all waiting jobs, those within the quota of their team first.
    /// Runs at most every [`PASS_INTERVAL`], and only after capacity was freed or
    /// [`RECLAIM_DELAY`] after the last pass.
    pub(super) fn placement_pass(&mut self, now: Time) {
        let due = now >= self.last_pass + PASS_INTERVAL;
        if !due || self.waiting.is_empty() && !self.capacity_freed {
            return;
        }
        let overdue = now >= self.last_pass + RECLAIM_DELAY;
        if !self.capacity_freed && !overdue {
            return;
        }
        self.capacity_freed = false;
        self.last_pass = now;
        for id in self.placer.restorable() {
            self.throttle(&id, 100);
        }
        self.refresh_sizes(now);
        let keys: Vec<WaitKey> = self.waiting.keys().cloned().collect();
        let mut unplaceable: Vec<Unplaceable> = Vec::new();
        let mut borrowing = Vec::new();
        for key in keys {
            match self.waiting_request(&key, now) {
                Some(request) if request.level >= 4 => borrowing.push((key, request)),
                Some(request) => self.try_place(&key, &request, &mut unplaceable, now),
                None => {}
            }
        }
        for (key, request) in borrowing {
            self.try_place(&key, &request, &mut unplaceable, now);
        }
        self.claim_workers(now);
    }

    /// Ends waiting jobs that no worker of the changed fleet could ever run.
    pub(super) fn end_impossible(&mut self, now: Time) {
        let impossible = self.waiting.keys().filter_map(|(_, _, id)| {
            let job = self.jobs.get(id)?;
            let size = self.required_size(job, job.size.unwrap_or_default());
            let shortage = self.placer.shortage(size, &job.zone)?;
            Some((id.clone(), shortage))
        });
        let impossible: Vec<(JobId, String)> = impossible.collect();
        for (id, shortage) in impossible {
            self.end_job(&id, State::Impossible, &shortage, now);
        }
    }

    /// Updates the preemption levels of tasks that started or stopped borrowing.
    pub(super) fn apply_borrow_changes(&mut self, changes: Vec<BorrowChange>) {
        for change in changes {
            let priority = self.jobs.get(&change.job).map_or(0, |job| job.priority);
            let level = place::preemption_level(priority, change.borrowed);
            self.placer.set_level(&change.job, level);
        }
    }

    /// Returns the requirements of a waiting or running job on its worker.
    pub(super) fn placement_request(
        &self,
        id: &JobId,
        job: &Job,
        size: Capacity,
        now: Time,
    ) -> Request {
        let precedence = (job.priority, job.submitted_ms);
        let owned = self.quotas.admits(&job.team, precedence, size);
        let waited = self.unix_ms(now).saturating_sub(job.submitted_ms);
        let waited_long = u128::from(waited) >= RECLAIM_DELAY.as_millis();
        let avoid = self.placer.widen_to_racks(self.faults.failed_workers(id));
        Request {
            size,
            level: place::preemption_level(job.priority, !owned),
            zone: job.zone.clone(),
            group: job.group.clone(),
            restartable: job.idempotent,
            any_worker: job.priority == 0 || u128::from(waited) >= CLAIM_DELAY.as_millis(),
            // An urgent job beyond its quota has a level from which it preempts only
            // tasks that borrow as well.
            preempt: job.priority == 0 || owned && waited_long,
            avoid,
            seed: zone_seed(id),
        }
    }

    fn try_place(
        &mut self,
        key: &WaitKey,
        request: &Request,
        unplaceable: &mut Vec<Unplaceable>,
        now: Time,
    ) {
        let claimed = self.placer.has_claim(&key.2);
        if !claimed && unplaceable.iter().any(|failed| failed.covers(request)) {
            self.place_likely(&key.2, now);
            return;
        }
        if let Some(plan) = self.placer.plan(&key.2, request) {
            return self.assign(&key.2, plan, request, now);
        }
        if self.place_likely(&key.2, now) {
            return;
        }
        let unconstrained = request.group.is_empty() && request.avoid.is_empty();
        if unconstrained && unplaceable.len() < MAX_UNPLACEABLE {
            unplaceable.push(Unplaceable {
                zone: request.zone.clone(),
                size: request.size,
                level: request.level,
                preempt: request.preempt,
            });
        }
    }

    /// Tries to place an urgent job that no worker has room for with its [likely
    /// size](crate::usage::UsageHistory::likely); returns whether it was placed. If the
    /// task grows beyond it, restartable tasks beside it are stopped. A job whose class
    /// is known, or that failed or outgrew its size before, waits for its whole size.
    fn place_likely(&mut self, id: &JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.priority > 0 || self.usage.has_estimate(&job.class) {
            return false;
        }
        let declared = self.size_to_reserve(job);
        let likely = Capacity::from(self.usage.likely(declared.into(), job.idempotent));
        if likely == declared || self.failures.contains_key(id) {
            return false;
        }
        let request = self.placement_request(id, job, likely, now);
        let Some(plan) = self.placer.plan(id, &request) else {
            return false;
        };
        self.assign(id, plan, &request, now);
        true
    }

    fn assign(&mut self, id: &JobId, plan: Plan, request: &Request, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let resume = job.state() == State::Checkpointed;
        let urgent = job.priority == 0;
        let (team, precedence) = (job.team.clone(), (job.priority, job.submitted_ms));
        self.dequeue(id);
        let start = JobEvent::Start {
            job: id.clone(),
            worker: plan.worker.clone(),
            incarnation: self.incarnations.get(&plan.worker).copied().unwrap_or(0),
            fence: self.fence(),
        };
        if self.jobs.apply(start).is_err() {
            return;
        }
        let attempt = self.jobs.get(id).map_or(0, |job| job.attempts);
        let blockers = plan.victims.iter().filter(|victim| victim.stop);
        let blockers = blockers.map(|victim| victim.job.clone()).collect();
        let assignment =
            Assignment::new(plan.worker.clone(), attempt, request.size, resume, blockers);
        self.assignments.insert(id.clone(), assignment);
        for victim in &plan.victims {
            if victim.stop {
                self.preempt(&victim.job, id, now);
            } else {
                self.throttle(&victim.job, place::THROTTLED_PERCENT);
            }
        }
        self.placer.reserve(id, &plan.worker, request, now);
        let changes = self.quotas.add(&team, precedence, id, request.size);
        self.apply_borrow_changes(changes);
        self.mark_dirty(id, urgent, now);
    }

    fn refresh_sizes(&mut self, now: Time) {
        let outdated = self.waiting.iter().filter(|(_, waiting)| {
            let due = waiting.sized_at + ESTIMATE_MAX_AGE;
            due <= now
        });
        let sizes = outdated.filter_map(|(key, _)| {
            let job = self.jobs.get(&key.2)?;
            Some((key.clone(), self.size_to_reserve(job)))
        });
        let sizes: Vec<(WaitKey, Capacity)> = sizes.collect();
        for (key, size) in sizes {
            self.waiting.insert(
                key,
                WaitingJob {
                    size,
                    sized_at: now,
                },
            );
        }
    }

    fn waiting_request(&self, key: &WaitKey, now: Time) -> Option<Request> {
        let job = self.jobs.get(&key.2)?;
        let waiting = self.waiting.get(key)?;
        is_waiting(job.state()).then(|| self.placement_request(&key.2, job, waiting.size, now))
    }

    /// Claims a worker for the oldest job of each priority once it has waited for
    /// [`CLAIM_DELAY`], so that smaller jobs do not starve it.
    fn claim_workers(&mut self, now: Time) {
        let now_ms = self.unix_ms(now);
        let limit = u64::try_from(CLAIM_DELAY.as_millis()).unwrap_or(u64::MAX);
        let mut last_priority = None;
        let mut oldest = Vec::new();
        for key in self.waiting.keys() {
            let late = now_ms.saturating_sub(key.1) >= limit;
            if late && last_priority != Some(key.0) {
                last_priority = Some(key.0);
                oldest.push(key.clone());
            }
        }
        for key in oldest {
            if self.placer.has_claim(&key.2) {
                continue;
            }
            if let Some(request) = self.waiting_request(&key, now) {
                self.placer.claim(&key.2, &request);
            }
        }
    }

    /// Returns the size to reserve for a job: estimated from the usage of its class
    /// where possible, with more memory after a failed attempt, and at most what a
    /// worker has.
    fn size_to_reserve(&self, job: &Job) -> Capacity {
        let declared = job.size.unwrap_or_default();
        let mut size = Capacity::from(self.usage.estimate(&job.class, declared));
        if let Some(failures) = self.failures.get(job.id.as_str()) {
            size.memory_mb = failures.memory_needed(size.memory_mb);
        }
        if self.placer.shortage(size, &job.zone).is_none() {
            return size;
        }
        self.placer.largest_fit(size, &job.zone)
    }
}

impl Unplaceable {
    /// Returns whether this failure implies that the request cannot be placed.
    fn covers(&self, request: &Request) -> bool {
        let zone = self.zone.is_empty() || self.zone == request.zone;
        let level = self.level <= request.level && (self.preempt || !request.preempt);
        zone && level && self.size.fits(request.size)
    }
}

fn wait_key(id: &JobId, job: &Job) -> WaitKey {
    (job.priority, job.submitted_ms, id.clone())
}

/// Returns the FNV-1a hash of a job identifier.
fn zone_seed(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
