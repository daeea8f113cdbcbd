//! Failed tasks, and the workers that are suspected because of them.

use wigeonhinge_schema::audit;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::State;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::place;
use crate::place::Diagnosis;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::tasks::MAX_FAILED_ATTEMPTS;

/// Time that a worker is suspect before its quarantine is requested. Meanwhile the
/// failed jobs are tried on other workers, which shows whether the jobs are faulty.
const CONFIRMATION_DELAY: Time = Time::from_secs(10);

/// Time that a suspect worker gets no tasks if the budget does not allow its
/// quarantine.
const PROBATION_DURATION: Time = Time::from_secs(30);

/// A worker that gets no new tasks, as it may be faulty.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Suspect {
    since: Time,
    /// Whether the quarantine was requested.
    requested: bool,
    /// Whether the worker was out of service since it became suspect.
    was_out: bool,
}

/// Failed attempts of an open job, and those that outgrew the size they had asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct Failures {
    count: u32,
    /// Failed attempts in which the task ran.
    failed_runs: u32,
    peak_memory_mb: u64,
}

impl Failures {
    /// Returns the memory to reserve for the next attempt, in MiB: twice as much for
    /// each of up to three failed runs, which may have lacked memory, and at least the
    /// observed peak plus an eighth.
    pub(in crate::scheduler) fn memory_needed(&self, memory_mb: i32) -> i32 {
        let doubled = memory_mb.saturating_mul(1 << self.failed_runs.min(3));
        let observed = self.peak_memory_mb.saturating_add(self.peak_memory_mb / 8);
        doubled.max(i32::try_from(observed).unwrap_or(i32::MAX))
    }

    fn record(&mut self, ran: bool, peak: Size) {
        self.count += 1;
        self.failed_runs += u32::from(ran);
        self.peak_memory_mb = self.peak_memory_mb.max(peak.memory_mb);
    }
}

impl Scheduler {
    /// Handles a failed attempt. One that never ran may be repeated in any case, one
    /// that ran only if the job is idempotent.
    pub(super) fn on_failed(&mut self, id: &JobId, ran: bool, reason: &str, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        let (idempotent, worker) = (job.idempotent, assignment.worker.clone());
        // A run that exceeded its reservation is not the fault of the worker.
        let exceeded =
            ran && Size::from(assignment.requested).memory_mb < assignment.peak.memory_mb;
        let peak = assignment.peak;
        let repeatable = idempotent || !ran;
        // A run that cannot be repeated elsewhere does not tell the cause; the job
        // fails without a count against the worker.
        let diagnosis = if exceeded && repeatable {
            Diagnosis::Retry
        } else if repeatable {
            self.faults.record_failure(&worker, id)
        } else {
            Diagnosis::FaultyJob
        };
        if diagnosis == Diagnosis::FaultyWorker {
            self.suspect_worker(&worker, now);
        }
        let failures = self.failures.entry(id.clone()).or_default();
        failures.record(ran, peak);
        let exhausted = failures.count >= MAX_FAILED_ATTEMPTS;
        if diagnosis == Diagnosis::FaultyJob || exhausted {
            return self.end_job(id, State::Failed, reason, now);
        }
        self.requeue(id, ran, now);
    }

    /// Records the peak of an attempt that used more memory than it had asked for, so
    /// that the next one asks for enough.
    pub(super) fn record_growth(&mut self, id: &JobId) {
        let Some(assignment) = self.assignments.get(id) else {
            return;
        };
        let peak = assignment.peak.memory_mb;
        if peak > Size::from(assignment.requested).memory_mb {
            let failures = self.failures.entry(id.clone()).or_default();
            failures.peak_memory_mb = failures.peak_memory_mb.max(peak);
        }
    }

    /// Marks a worker as suspect, which keeps new tasks off it. At most as many workers
    /// are suspect as the budget of the pool allows, and at least one may be: if
    /// more fail, the jobs are the more likely cause, and trying them on the other
    /// workers shows it.
    fn suspect_worker(&mut self, worker: &VmId, now: Time) {
        if self.suspects.len() >= self.remaining_budget().max(1) {
            return;
        }
        let suspect = Suspect {
            since: now,
            requested: false,
            was_out: false,
        };
        self.suspects.entry(worker.clone()).or_insert(suspect);
        self.placer.set_usable(worker, false);
    }

    /// Requests the quarantine of workers that are still faulty after
    /// [`CONFIRMATION_DELAY`], as far as the budget of the pool allows. Reinstates
    /// suspects that are no longer faulty, and after [`PROBATION_DURATION`] those that
    /// the budget does not allow to quarantine.
    pub(in crate::scheduler) fn confirm_suspects(&mut self, now: Time) {
        if self.suspects.is_empty() {
            return;
        }
        let requested = self.suspects.iter().filter(|(name, suspect)| {
            let phase = self.phases.get(*name);
            suspect.requested && phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        let mut budget = self.remaining_budget().saturating_sub(requested.count());
        let mut reinstated = Vec::new();
        let mut confirmed = Vec::new();
        for (name, suspect) in &mut self.suspects {
            if !self.faults.is_faulty_worker(name) {
                reinstated.push(name.clone());
            } else if suspect.requested || now < suspect.since + CONFIRMATION_DELAY {
                continue;
            } else if budget > 0 {
                budget -= 1;
                suspect.requested = true;
                confirmed.push(name.clone());
            } else if now >= suspect.since + PROBATION_DURATION {
                reinstated.push(name.clone());
            }
        }
        for name in confirmed {
            self.request_quarantine(name, now);
        }
        for name in &reinstated {
            self.suspects.remove(name);
        }
        if !reinstated.is_empty() {
            self.update_usable();
            self.capacity_freed = true;
        }
    }

    /// Returns how many more workers the budget allows to be unavailable.
    fn remaining_budget(&self) -> usize {
        let unavailable = self.placer.worker_names().filter(|name| {
            let phase = self.phases.get(*name);
            !phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        self.budget.saturating_sub(unavailable.count())
    }

    /// Reinstates suspects that were out of service and have returned.
    pub(super) fn reinstate_suspects(&mut self) {
        let mut returned = Vec::new();
        for (name, suspect) in &mut self.suspects {
            let Some(phase) = self.phases.get(name) else {
                continue;
            };
            suspect.was_out |= place::tasks_lost(*phase);
            if suspect.was_out && place::accepts_work(*phase) {
                returned.push(name.clone());
            }
        }
        for name in &returned {
            self.suspects.remove(name);
            self.faults.worker_replaced(name);
        }
        if !returned.is_empty() {
            self.update_usable();
        }
    }

    fn request_quarantine(&mut self, worker: VmId, now: Time) {
        let reason = "the last starts of several different jobs all failed";
        self.actions.push(Action::Audit(audit::Record {
            at_ms: self.unix_ms(now),
            kind: audit::Kind::Quarantine.into(),
            subject: worker.to_string(),
            reason: reason.into(),
            ..audit::Record::default()
        }));
        self.actions.push(Action::Quarantine {
            worker,
            reason: reason.into(),
        });
    }
}
