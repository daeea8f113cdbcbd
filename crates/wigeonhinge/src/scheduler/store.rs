//! Acquisition and loss of the role, and the batches and snapshots of the log.

use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Snapshot;
use wigeonhinge_schema::jobs::State;

use crate::id::Fence;
use crate::id::JobId;
use crate::id::Time;
use crate::job::Jobs;
use crate::job::is_ended;
use crate::job::is_waiting;
use crate::job::log;
use crate::job::log::Log;
use crate::job::log::Outcome;
use crate::scheduler::Action;
use crate::scheduler::LogEntry;
use crate::scheduler::Role;
use crate::scheduler::Scheduler;

/// Delay before the log is read again after a failed attempt.
const RECOVERY_RETRY_DELAY: Time = Time::from_secs(1);

/// Time without an answer after which the log is read again.
const RECOVERY_TIMEOUT: Time = Time::from_secs(10);

impl Scheduler {
    /// Handles an acquired or renewed lease. A new fence starts a recovery; a lower one
    /// is ignored.
    pub(super) fn on_lease(&mut self, fence: Fence, valid_until: Time, now: Time) {
        match &mut self.role {
            Some(role) if role.fence == fence => role.valid_until = valid_until,
            Some(role) if role.fence > fence => {}
            _ => {
                self.lose_role();
                self.role = Some(Role {
                    fence,
                    valid_until,
                    log: None,
                    established: false,
                    retry_at: now + RECOVERY_TIMEOUT,
                });
                self.actions.push(Action::Recover);
            }
        }
    }

    /// Handles the loss of the role: answers all pending requests and drops the jobs.
    pub(super) fn lose_role(&mut self) {
        self.drop_role(true);
    }

    /// Rebuilds the jobs from the snapshot and the log. Retries after a gap in the log,
    /// and drops the role if a writer has a higher fence.
    pub(super) fn on_recovered(
        &mut self,
        snapshot: Option<Snapshot>,
        batches: Vec<LogEntry>,
        now: Time,
    ) {
        let Some(role) = &self.role else {
            return;
        };
        if role.log.is_some() {
            return;
        }
        let mut jobs = Jobs::default();
        let restored = log::replay(snapshot, batches, &mut |job| jobs.restore(job));
        let Some(end) = restored else {
            return self.schedule_recovery(now + RECOVERY_RETRY_DELAY);
        };
        if end.fence > role.fence {
            return self.drop_role(false);
        }
        let log = Log::new(
            self.pool.clone(),
            self.entry.clone(),
            role.fence,
            end.last_seq,
            end.snapshot_seq,
        );
        self.clear_state();
        self.jobs = jobs;
        self.resume_jobs(now);
        if let Some(role) = &mut self.role {
            role.log = Some(log);
        }
        self.batch_due = Some(now);
    }

    pub(super) fn on_stored(&mut self, seq: u64, version: u64, now: Time) {
        let outcome = self.log().map(|log| log.on_stored(seq, version));
        self.on_log_outcome(outcome, now);
    }

    pub(super) fn on_conflict(&mut self, seq: u64, now: Time) {
        let outcome = self.log().map(|log| log.on_conflict(seq, now));
        self.on_log_outcome(outcome, now);
    }

    pub(super) fn on_read(&mut self, seq: u64, entry: Option<LogEntry>, now: Time) {
        let outcome = self.log().map(|log| log.on_read(seq, entry, now));
        self.on_log_outcome(outcome, now);
    }

    pub(super) fn on_unavailable(&mut self, now: Time) {
        match self.log() {
            Some(log) => log.on_unavailable(now),
            None => self.schedule_recovery(now + RECOVERY_RETRY_DELAY),
        }
    }

    pub(super) fn tick_log(&mut self, now: Time) {
        if !self.lease_valid(now) {
            return;
        }
        let Some(role) = &mut self.role else {
            return;
        };
        match &mut role.log {
            Some(log) => self.actions.extend(log.tick(now)),
            None if role.retry_at <= now => {
                role.retry_at = now + RECOVERY_TIMEOUT;
                self.actions.push(Action::Recover);
            }
            None => {}
        }
    }

    /// Marks a job as changed, so that the next batch contains it.
    pub(super) fn mark_dirty(&mut self, id: &JobId, urgent: bool, now: Time) {
        self.dirty.insert(id.clone());
        let window = if urgent {
            log::URGENT_BATCH_WINDOW
        } else {
            log::BATCH_WINDOW
        };
        let due = now + window;
        self.batch_due = Some(self.batch_due.map_or(due, |before| before.min(due)));
    }

    /// Writes the next batch if one is due, none is in flight and the lease is valid.
    /// The first batch of a role is written even without changes.
    pub(super) fn flush(&mut self, now: Time) {
        let due = self.batch_due.is_some_and(|due| due <= now);
        let Some(role) = &self.role else {
            return;
        };
        let Some(log) = &role.log else {
            return;
        };
        if !due || log.has_in_flight() || now >= role.valid_until {
            return;
        }
        let establishing = !role.established;
        let ids: Vec<JobId> = self
            .dirty
            .iter()
            .take(log::MAX_BATCH_JOBS)
            .cloned()
            .collect();
        if ids.is_empty() && !establishing {
            self.batch_due = None;
            return;
        }
        let mut jobs: Vec<Job> = Vec::with_capacity(ids.len());
        for id in ids {
            self.dirty.remove(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            jobs.push(job.clone());
            if let Some(list) = self.queued_requests.remove(&id) {
                self.sent_requests.entry(id).or_default().extend(list);
            }
        }
        if self.dirty.is_empty() {
            self.batch_due = None;
        }
        let action = self.log().map(|log| log.append(jobs, now));
        self.actions.extend(action);
    }

    /// Returns whether a batch has been in flight for at least `wait`.
    pub(super) fn store_stalled(&self, now: Time, wait: Time) -> bool {
        let log = self.role.as_ref().and_then(|role| role.log.as_ref());
        log.is_some_and(|log| log.stalled(now, wait))
    }

    /// Returns whether the batch in flight contains a job.
    pub(super) fn in_flight(&self, id: &str) -> bool {
        let log = self.role.as_ref().and_then(|role| role.log.as_ref());
        log.is_some_and(|log| log.in_flight_has(id))
    }

    /// Acts on the result of a store answer; `None` stands for an answer that came
    /// without a log.
    fn on_log_outcome(&mut self, outcome: Option<Outcome>, now: Time) {
        match outcome {
            None => {}
            Some(Outcome::Wait(actions)) if self.lease_valid(now) => self.actions.extend(actions),
            Some(Outcome::Wait(_)) => {}
            Some(Outcome::Stored(batch)) => self.on_batch_stored(batch.jobs, now),
            Some(Outcome::Reload) => {
                if let Some(role) = &mut self.role {
                    role.log = None;
                }
                self.schedule_recovery(now);
            }
            Some(Outcome::Superseded) => self.drop_role(false),
        }
    }

    fn on_batch_stored(&mut self, jobs: Vec<Job>, now: Time) {
        let establishing = self.role.as_ref().is_some_and(|role| !role.established);
        if let Some(role) = &mut self.role {
            role.established = true;
        }
        if establishing {
            self.vacate_workers(now);
        }
        for job in jobs {
            let id = JobId::from(&job.id);
            self.unstored.remove(&id);
            self.answer_stored(&id, job.state(), now);
            if job.state() == State::Starting {
                self.on_start_stored(&id, job.attempts, now);
            }
        }
        self.write_snapshot(now);
    }

    fn write_snapshot(&mut self, now: Time) {
        if !self.lease_valid(now) {
            return;
        }
        let (pool, fence) = (self.pool.to_string(), self.fence());
        let Some(seq) = self.log().and_then(|log| log.snapshot_due()) else {
            return;
        };
        let stored = self
            .jobs
            .iter()
            .filter(|(id, _)| !self.unstored.contains(*id));
        let jobs = stored.map(|(_, job)| snapshot_form(job)).collect();
        let Some(log) = self.log() else {
            return;
        };
        let trim = log.record_snapshot();
        let snapshot = Box::new(Snapshot {
            pool,
            seq,
            fence,
            jobs,
        });
        self.actions.push(Action::Snapshot { snapshot, trim });
    }

    fn schedule_recovery(&mut self, at: Time) {
        if let Some(role) = &mut self.role {
            role.retry_at = at;
        }
    }

    /// Drops the role and all state read under it. `maybe_written` says whether the
    /// batch in flight may have taken effect.
    fn drop_role(&mut self, maybe_written: bool) {
        self.answer_role_lost(maybe_written);
        self.role = None;
        self.clear_state();
    }

    fn clear_state(&mut self) {
        self.jobs = Jobs::default();
        self.unstored.clear();
        self.dirty.clear();
        self.batch_due = None;
        self.waiting.clear();
        self.cancelled.clear();
        self.failures.clear();
        let assigned: Vec<JobId> = self.assignments.keys().cloned().collect();
        for id in assigned {
            self.placer.release(&id);
        }
        self.assignments.clear();
        self.timers.clear();
        self.quotas.clear();
    }

    /// Resumes the open jobs read from the log: waiting ones are enqueued, and for the
    /// others the worker is asked whether the task runs.
    fn resume_jobs(&mut self, now: Time) {
        let open: Vec<(JobId, State)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !is_ended(job.state()))
            .map(|(id, job)| (id.clone(), job.state()))
            .collect();
        for (id, state) in open {
            if is_waiting(state) {
                self.enqueue(&id, now);
            } else {
                self.resume_uncertain(&id, now);
            }
        }
        self.reserve_all(now);
        self.capacity_freed = true;
    }

    fn log(&mut self) -> Option<&mut Log> {
        self.role.as_mut().and_then(|role| role.log.as_mut())
    }
}

/// Returns the form of a job in a snapshot. An ended job keeps only what answers
/// need, except in state unknown, where a late report can still change it.
fn snapshot_form(job: &Job) -> Job {
    if !is_ended(job.state()) || job.state() == State::Unknown {
        return job.clone();
    }
    Job {
        id: job.id.clone(),
        state: job.state,
        reason: job.reason.clone(),
        submitted_ms: job.submitted_ms,
        ..Job::default()
    }
}
