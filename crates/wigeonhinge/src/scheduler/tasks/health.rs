//! Failed tasks, and workers that are held back because of them.

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
use crate::scheduler::tasks::MAX_FAILURES;

/// Time for which a worker stays suspect before its quarantine is asked for, so
/// that jobs at fault can be told apart by their failures elsewhere.
const CONFIRM: Time = Time::from_secs(10);

/// Time for which a suspect worker that the budget does not allow to quarantine
/// gets no work.
const PROBATION: Time = Time::from_secs(30);

/// A worker that is held back.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Suspect {
    since: Time,
    asked: bool,
    out: bool,
}

/// Failed attempts of an open job.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct Failures {
    count: u32,
    runs: u32,
    peak: u64,
}

impl Failures {
    /// Memory to reserve for the next attempt: twice as much after each failed
    /// run, which may have lacked memory, and at least what was seen in use.
    pub(in crate::scheduler) fn memory(&self, memory_mb: i32) -> i32 {
        let doubled = memory_mb.saturating_mul(1 << self.runs.min(3));
        let seen = self.peak.saturating_add(self.peak / 8);
        doubled.max(i32::try_from(seen).unwrap_or(i32::MAX))
    }

    fn note(&mut self, ran: bool, peak: Size) {
        self.count += 1;
        self.runs += u32::from(ran);
        self.peak = self.peak.max(peak.memory_mb);
    }
}

impl Scheduler {
    /// Takes a failed attempt. One that never ran may be repeated in any case;
    /// one that ran only when the job is idempotent.
    pub(super) fn failed(&mut self, id: &JobId, ran: bool, reason: &str, now: Time) {
        let (Some(job), Some(live)) = (self.jobs.get(id), self.live.get(id)) else {
            return;
        };
        let (idempotent, worker) = (job.idempotent, live.worker.clone());
        // A run that needed more than was reserved tells nothing about the worker.
        let outgrown = ran && Size::from(live.asked).memory_mb < live.peak.memory_mb;
        let peak = live.peak;
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
            self.suspect(&worker, now);
        }
        let failures = self.failures.entry(id.clone()).or_default();
        failures.note(ran, peak);
        let worn = failures.count >= MAX_FAILURES;
        if verdict == Diagnosis::FaultyJob || worn {
            return self.finish(id, State::Failed, reason, now);
        }
        self.requeue(id, ran, now);
    }

    /// Holds a worker back, as far as the budget of the pool allows, but one in
    /// any case: when more than that fail, the jobs are the more likely cause,
    /// and trying them on the other workers tells.
    fn suspect(&mut self, worker: &VmId, now: Time) {
        if self.suspects.len() >= self.slack().max(1) {
            return;
        }
        let suspect = Suspect {
            since: now,
            asked: false,
            out: false,
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
            suspect.asked && phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        let mut slack = self.slack().saturating_sub(asked.count());
        let mut cleared = Vec::new();
        let mut confirmed = Vec::new();
        for (name, suspect) in &mut self.suspects {
            if !self.faults.is_faulty_worker(name) {
                cleared.push(name.clone());
            } else if suspect.asked || now < suspect.since + CONFIRM {
                continue;
            } else if slack > 0 {
                slack -= 1;
                suspect.asked = true;
                confirmed.push(name.clone());
            } else if now >= suspect.since + PROBATION {
                cleared.push(name.clone());
            }
        }
        for name in confirmed {
            self.quarantine(name, now);
        }
        for name in &cleared {
            self.suspects.remove(name);
        }
        if !cleared.is_empty() {
            self.update_usable();
            self.freed = true;
        }
    }

    /// Counts the workers that may become unavailable within the budget.
    fn slack(&self) -> usize {
        let out = self.placer.worker_names().filter(|name| {
            let phase = self.phases.get(*name);
            !phase.is_some_and(|phase| place::accepts_work(*phase))
        });
        self.budget.saturating_sub(out.count())
    }

    /// Trusts the suspects again that were out of service since.
    pub(super) fn return_suspects(&mut self) {
        let mut back = Vec::new();
        for (name, suspect) in &mut self.suspects {
            let Some(phase) = self.phases.get(name) else {
                continue;
            };
            suspect.out |= place::tasks_lost(*phase);
            if suspect.out && place::accepts_work(*phase) {
                back.push(name.clone());
            }
        }
        for name in &back {
            self.suspects.remove(name);
            self.faults.worker_replaced(name);
        }
        if !back.is_empty() {
            self.update_usable();
        }
    }

    fn quarantine(&mut self, worker: VmId, now: Time) {
        let reason = "the last starts of several different jobs all failed";
        self.out.push(Action::Audit(audit::Record {
            at_ms: self.unix(now),
            kind: audit::Kind::Quarantine.into(),
            subject: worker.to_string(),
            reason: reason.into(),
            ..audit::Record::default()
        }));
        self.out.push(Action::Quarantine {
            worker,
            reason: reason.into(),
        });
    }
}
