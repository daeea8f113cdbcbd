//! Failed tasks, and workers that are held returned because of them.

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

/// Time for which a worker stays suspect before its quarantine is asked for, so
/// that jobs at fault can be told apart by their failures elsewhere.
const CONFIRMATION_DELAY: Time = Time::from_secs(10);

/// Time for which a suspect worker that the budget does not allow to quarantine
/// gets no work.
const PROBATION_DURATION: Time = Time::from_secs(30);

/// A worker that is held returned.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Suspect {
    since: Time,
    requested: bool,
    was_out: bool,
}

/// Failed attempts of an open job.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct Failures {
    count: u32,
    failed_runs: u32,
    peak_memory_mb: u64,
}

impl Failures {
    /// Memory to reserve for the next attempt: twice as much after each failed
    /// run, which may have lacked memory, and at least what was seen in use.
    pub(in crate::scheduler) fn memory_needed(&self, memory_mb: i32) -> i32 {
        let doubled = memory_mb.saturating_mul(1 << self.failed_runs.min(3));
        let seen = self.peak_memory_mb.saturating_add(self.peak_memory_mb / 8);
        doubled.max(i32::try_from(seen).unwrap_or(i32::MAX))
    }

    fn record(&mut self, ran: bool, peak: Size) {
        self.count += 1;
        self.failed_runs += u32::from(ran);
        self.peak_memory_mb = self.peak_memory_mb.max(peak.memory_mb);
    }
}

impl Scheduler {
    /// Takes a failed attempt. One that never ran may be repeated in any case;
    /// one that ran only when the job is idempotent.
    pub(super) fn on_failed(&mut self, id: &JobId, ran: bool, reason: &str, now: Time) {
        let (Some(job), Some(assignment)) = (self.jobs.get(id), self.assignments.get(id)) else {
            return;
        };
        let (idempotent, worker) = (job.idempotent, assignment.worker.clone());
        // A run that needed more than was reserved tells nothing about the worker.
        let outgrown =
            ran && Size::from(assignment.requested).memory_mb < assignment.peak.memory_mb;
        let peak = assignment.peak;
        let again = idempotent || !ran;
        // A run that cannot be repeated elsewhere does not tell who is at fault.
        let verdict = if outgrown && again {
            Diagnosis::Retry
        } else if again {
            self.faults.record_failure(&worker, id)
        } else {
            Diagnosis::FaultyJob
        };
        if verdict == Diagnosis::FaultyWorker {
            self.suspect_worker(&worker, now);
        }
        let failures = self.failures.entry(id.clone()).or_default();
        failures.record(ran, peak);
        let exhausted = failures.count >= MAX_FAILED_ATTEMPTS;
        if verdict == Diagnosis::FaultyJob || exhausted {
            return self.end_job(id, State::Failed, reason, now);
        }
        self.requeue(id, ran, now);
    }

    /// Holds a worker returned, as far as the budget of the pool allows, but one in
    /// any case: when more than that fail, the jobs are the more likely cause,
    /// and trying them on the other workers tells.
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

    /// Asks for the quarantine of suspects that stay suspect, as far as the
    /// budget of the pool allows; lets the others try again.
    pub(in crate::scheduler) fn confirm_suspects(&mut self, now: Time) {
        if self.suspects.is_empty() {
            return;
        }
        let asked = self.suspects.iter().filter(|(name, suspect)| {
            let phase = self.phases.get(*name);
            suspect.requested && phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        let mut budget = self.remaining_budget().saturating_sub(asked.count());
        let mut cleared = Vec::new();
        let mut confirmed = Vec::new();
        for (name, suspect) in &mut self.suspects {
            if !self.faults.is_faulty_worker(name) {
                cleared.push(name.clone());
            } else if suspect.requested || now < suspect.since + CONFIRMATION_DELAY {
                continue;
            } else if budget > 0 {
                budget -= 1;
                suspect.requested = true;
                confirmed.push(name.clone());
            } else if now >= suspect.since + PROBATION_DURATION {
                cleared.push(name.clone());
            }
        }
        for name in confirmed {
            self.request_quarantine(name, now);
        }
        for name in &cleared {
            self.suspects.remove(name);
        }
        if !cleared.is_empty() {
            self.update_usable();
            self.capacity_freed = true;
        }
    }

    /// Counts the workers that may become unavailable within the budget.
    fn remaining_budget(&self) -> usize {
        let out = self.placer.worker_names().filter(|name| {
            let phase = self.phases.get(*name);
            !phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        self.budget.saturating_sub(out.count())
    }

    /// Trusts the suspects again that were out of service since.
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
