//! The log: taking the role, batches, snapshots, losing the role.

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

/// Wait before reading the log is tried again.
const RECOVER_AGAIN: Time = Time::from_secs(1);

/// Time after which an unanswered read of the log is repeated.
const RECOVER_TIMEOUT: Time = Time::from_secs(10);

impl Scheduler {
    pub(super) fn lease(&mut self, fence: Fence, until: Time, now: Time) {
        match &mut self.role {
            Some(role) if role.fence == fence => role.until = until,
            Some(role) if role.fence > fence => {}
            _ => {
                self.lose();
                self.role = Some(Role {
                    fence,
                    until,
                    log: None,
                    open: false,
                    retry: now + RECOVER_TIMEOUT,
                });
                self.out.push(Action::Recover);
            }
        }
    }

    /// Gives up the role and all that was known through it.
    pub(super) fn lose(&mut self) {
        self.give_up(true);
    }

    pub(super) fn recovered(
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
            return self.recover_at(now + RECOVER_AGAIN);
        };
        if end.fence > role.fence {
            return self.give_up(false);
        }
        let log = Log::new(
            self.pool.clone(),
            self.entry.clone(),
            role.fence,
            end.last_seq,
            end.snapshot_seq,
        );
        self.clear();
        self.jobs = jobs;
        self.revive(now);
        if let Some(role) = &mut self.role {
            role.log = Some(log);
        }
        self.due = Some(now);
    }

    pub(super) fn stored(&mut self, seq: u64, version: u64, now: Time) {
        let outcome = self.log().map(|log| log.on_stored(seq, version));
        self.outcome(outcome, now);
    }

    pub(super) fn conflict(&mut self, seq: u64, now: Time) {
        let outcome = self.log().map(|log| log.on_conflict(seq, now));
        self.outcome(outcome, now);
    }

    pub(super) fn read(&mut self, seq: u64, entry: Option<LogEntry>, now: Time) {
        let outcome = self.log().map(|log| log.on_read(seq, entry, now));
        self.outcome(outcome, now);
    }

    pub(super) fn unavailable(&mut self, now: Time) {
        match self.log() {
            Some(log) => log.on_unavailable(now),
            None => self.recover_at(now + RECOVER_AGAIN),
        }
    }

    pub(super) fn store_tick(&mut self, now: Time) {
        if !self.valid(now) {
            return;
        }
        let Some(role) = &mut self.role else {
            return;
        };
        match &mut role.log {
            Some(log) => self.out.extend(log.tick(now)),
            None if role.retry <= now => {
                role.retry = now + RECOVER_TIMEOUT;
                self.out.push(Action::Recover);
            }
            None => {}
        }
    }

    /// Notes a change of a job for the next batch.
    pub(super) fn mark(&mut self, id: &JobId, urgent: bool, now: Time) {
        self.dirty.insert(id.clone());
        let window = if urgent {
            log::URGENT_BATCH_WINDOW
        } else {
            log::BATCH_WINDOW
        };
        let due = now + window;
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// Writes the next batch once it is due.
    pub(super) fn flush(&mut self, now: Time) {
        let due = self.due.is_some_and(|due| due <= now);
        let Some(role) = &self.role else {
            return;
        };
        let Some(log) = &role.log else {
            return;
        };
        if !due || log.has_in_flight() || now >= role.until {
            return;
        }
        let opening = !role.open;
        let ids: Vec<JobId> = self
            .dirty
            .iter()
            .take(log::MAX_BATCH_JOBS)
            .cloned()
            .collect();
        if ids.is_empty() && !opening {
            self.due = None;
            return;
        }
        let mut jobs: Vec<Job> = Vec::with_capacity(ids.len());
        for id in ids {
            self.dirty.remove(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            jobs.push(job.clone());
            if let Some(list) = self.tickets.remove(&id) {
                self.flying.entry(id).or_default().extend(list);
            }
        }
        if self.dirty.is_empty() {
            self.due = None;
        }
        let action = self.log().map(|log| log.append(jobs, now));
        self.out.extend(action);
    }

    /// Whether the store has not confirmed the last batch for this long.
    pub(super) fn stalled(&self, now: Time, wait: Time) -> bool {
        let log = self.role.as_ref().and_then(|role| role.log.as_ref());
        log.is_some_and(|log| log.stalled(now, wait))
    }

    /// Whether the batch in flight contains a job.
    pub(super) fn in_flight(&self, id: &str) -> bool {
        let log = self.role.as_ref().and_then(|role| role.log.as_ref());
        log.is_some_and(|log| log.in_flight_has(id))
    }

    fn outcome(&mut self, outcome: Option<Outcome>, now: Time) {
        match outcome {
            None => {}
            Some(Outcome::Wait(actions)) if self.valid(now) => self.out.extend(actions),
            Some(Outcome::Wait(_)) => {}
            Some(Outcome::Stored(batch)) => self.batch_stored(batch.jobs, now),
            Some(Outcome::Reload) => {
                if let Some(role) = &mut self.role {
                    role.log = None;
                }
                self.recover_at(now);
            }
            Some(Outcome::Superseded) => self.give_up(false),
        }
    }

    fn batch_stored(&mut self, jobs: Vec<Job>, now: Time) {
        let opening = self.role.as_ref().is_some_and(|role| !role.open);
        if let Some(role) = &mut self.role {
            role.open = true;
        }
        if opening {
            self.leave_workers(now);
        }
        for job in jobs {
            let id = JobId::from(&job.id);
            self.fresh.remove(&id);
            self.answer_stored(&id, job.state(), now);
            if job.state() == State::Starting {
                self.start_stored(&id, job.attempts, now);
            }
        }
        self.snapshot(now);
    }

    fn snapshot(&mut self, now: Time) {
        if !self.valid(now) {
            return;
        }
        let (pool, fence) = (self.pool.to_string(), self.fence());
        let Some(seq) = self.log().and_then(|log| log.snapshot_due()) else {
            return;
        };
        let stored = self.jobs.iter().filter(|(id, _)| !self.fresh.contains(*id));
        let jobs = stored.map(|(_, job)| brief(job)).collect();
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
        self.out.push(Action::Snapshot { snapshot, trim });
    }

    fn recover_at(&mut self, at: Time) {
        if let Some(role) = &mut self.role {
            role.retry = at;
        }
    }

    fn give_up(&mut self, written: bool) {
        self.answer_lost(written);
        self.role = None;
        self.clear();
    }

    fn clear(&mut self) {
        self.jobs = Jobs::default();
        self.fresh.clear();
        self.dirty.clear();
        self.due = None;
        self.waiters.clear();
        self.failures.clear();
        let live: Vec<JobId> = self.live.keys().cloned().collect();
        for id in live {
            self.placer.release(&id);
        }
        self.live.clear();
        self.timers.clear();
        self.quotas.clear();
    }

    /// Takes up the jobs that were read from the log.
    fn revive(&mut self, now: Time) {
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
                self.doubt(&id, now);
            }
        }
        self.hold_all(now);
        self.freed = true;
    }

    fn log(&mut self) -> Option<&mut Log> {
        self.role.as_mut().and_then(|role| role.log.as_mut())
    }
}

/// Form of a job in a snapshot: an ended job keeps what answers need.
fn brief(job: &Job) -> Job {
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
