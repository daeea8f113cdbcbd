//! Workers that fail everything they start, told apart from jobs that fail
//! everywhere.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::JobId;
use crate::id::VmId;

/// Failed starts of different jobs after which a worker is quarantined, and
/// workers that a job failed on after which it is marked failed.
pub const STRIKES: usize = 3;

/// Failures of workers and jobs.
///
/// ```
/// use wigeonhinge::place::Health;
/// use wigeonhinge::place::Verdict;
///
/// let mut health = Health::default();
/// for job in ["a", "b"] {
///     assert_eq!(health.failed(&"w1".into(), &job.into()), Verdict::Again);
/// }
/// assert_eq!(health.failed(&"w1".into(), &"c".into()), Verdict::BadWorker);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failed jobs of each worker since its last success, with whether the job
    /// succeeded on another worker since.
    workers: BTreeMap<VmId, BTreeMap<JobId, bool>>,
    /// Workers that each job failed on.
    jobs: BTreeMap<JobId, BTreeSet<VmId>>,
    /// Workers that succeeded and have no strikes.
    proven: BTreeSet<VmId>,
}

/// What a failure means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The job may be tried on another worker.
    Again,
    /// The job failed on several workers; it is at fault.
    BadJob,
    /// Several different jobs in a row failed on the worker; it is at fault.
    BadWorker,
}

impl Health {
    /// Takes a failure of a job that may be tried again. It is a strike against
    /// the worker as long as the job failed on no other worker; a job that fails
    /// on a second one is the more likely cause.
    pub fn failed(&mut self, worker: &VmId, job: &JobId) -> Verdict {
        let on = self.jobs.entry(job.clone()).or_default();
        on.insert(worker.clone());
        let strikes = self.workers.entry(worker.clone()).or_default();
        strikes.insert(job.clone(), false);
        if self.at_fault(job) {
            self.withdraw(job);
            return Verdict::BadJob;
        }
        if self.bad(worker) {
            self.proven.remove(worker);
            return Verdict::BadWorker;
        }
        Verdict::Again
    }

    /// Takes a success. It clears the worker, and confirms the strikes of the
    /// job against the workers that it failed on.
    pub fn succeeded(&mut self, worker: &str, job: &str) {
        self.workers.remove(worker);
        self.proven.insert(worker.into());
        for other in self.jobs.remove(job).unwrap_or_default() {
            let strikes = self.workers.get_mut(&other);
            if let Some(confirmed) = strikes.and_then(|strikes| strikes.get_mut(job)) {
                *confirmed = true;
            }
        }
    }

    /// Forgets a job that ended, but not its strikes against workers.
    pub fn ended(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Forgets the strikes against a worker that was replaced.
    pub fn replaced(&mut self, worker: &str) {
        self.workers.remove(worker);
        self.proven.remove(worker);
    }

    /// Returns the workers that a job failed on.
    pub fn avoid(&self, job: &str) -> BTreeSet<VmId> {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Whether a worker has too many strikes.
    pub fn bad(&self, worker: &str) -> bool {
        let strikes = self.workers.get(worker).into_iter().flatten();
        let counted = strikes.filter(|(job, confirmed)| {
            let elsewhere = self.jobs.get(*job).is_some_and(|on| on.len() > 1);
            **confirmed || !elsewhere
        });
        counted.count() >= STRIKES
    }

    /// Whether a job failed on several workers that are not all at fault: one of
    /// them has run other work, or they are too many.
    fn at_fault(&self, job: &str) -> bool {
        let Some(on) = self.jobs.get(job) else {
            return false;
        };
        let proven = on.iter().any(|worker| self.proven.contains(worker));
        on.len() >= 2 * STRIKES || (on.len() >= STRIKES && proven)
    }

    fn withdraw(&mut self, job: &str) {
        for strikes in self.workers.values_mut() {
            strikes.remove(job);
        }
        self.workers.retain(|_, strikes| !strikes.is_empty());
    }
}
