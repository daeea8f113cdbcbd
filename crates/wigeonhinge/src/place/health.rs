//! Attribution of failed starts: workers on which every job fails, and jobs that
//! fail on every worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::JobId;
use crate::id::VmId;

/// Different jobs that have to fail on a worker before the worker counts as
/// faulty, and workers that a job has to fail on before the job does.
pub const FAULT_THRESHOLD: usize = 3;

/// Failure history of workers and jobs.
///
/// ```
/// use wigeonhinge::place::Diagnosis;
/// use wigeonhinge::place::FaultTracker;
///
/// let mut tracker = FaultTracker::default();
/// for job in ["a", "b"] {
///     assert_eq!(tracker.record_failure(&"w1".into(), &job.into()), Diagnosis::Retry);
/// }
/// assert_eq!(tracker.record_failure(&"w1".into(), &"c".into()), Diagnosis::FaultyWorker);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FaultTracker {
    /// Jobs that failed on each worker since its last success, and whether the
    /// failure is confirmed, as the job succeeded on another worker since.
    workers: BTreeMap<VmId, BTreeMap<JobId, bool>>,
    /// Workers that each job failed on.
    jobs: BTreeMap<JobId, BTreeSet<VmId>>,
    /// Workers that have run a job successfully and were not found faulty since.
    proven: BTreeSet<VmId>,
}

/// Probable cause of a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Diagnosis {
    /// Not clear yet; the job may be tried on another worker.
    Retry,
    /// The job: it failed on several workers.
    FaultyJob,
    /// The worker: several different jobs in a row failed on it.
    FaultyWorker,
}

impl FaultTracker {
    /// Records the failure of a job that may be tried again.
    ///
    /// The failure counts against the worker as long as the job failed on no other
    /// worker; a job that fails on a second one is the more likely cause.
    pub fn record_failure(&mut self, worker: &VmId, job: &JobId) -> Diagnosis {
        let on = self.jobs.entry(job.clone()).or_default();
        on.insert(worker.clone());
        let failures = self.workers.entry(worker.clone()).or_default();
        failures.insert(job.clone(), false);
        if self.is_faulty_job(job) {
            self.clear_job(job);
            return Diagnosis::FaultyJob;
        }
        if self.is_faulty_worker(worker) {
            self.proven.remove(worker);
            return Diagnosis::FaultyWorker;
        }
        Diagnosis::Retry
    }

    /// Records the success of a job. It clears the failures of the worker, and
    /// confirms those of the job on other workers as faults of these workers.
    pub fn record_success(&mut self, worker: &str, job: &str) {
        self.workers.remove(worker);
        self.proven.insert(worker.into());
        for other in self.jobs.remove(job).unwrap_or_default() {
            let failures = self.workers.get_mut(&other);
            if let Some(confirmed) = failures.and_then(|failures| failures.get_mut(job)) {
                *confirmed = true;
            }
        }
    }

    /// Drops the history of a job that ended; its failures still count against
    /// workers.
    pub fn job_ended(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Drops the history of a worker that was replaced.
    pub fn worker_replaced(&mut self, worker: &str) {
        self.workers.remove(worker);
        self.proven.remove(worker);
    }

    /// Returns the workers that an open job failed on.
    pub fn failed_workers(&self, job: &str) -> BTreeSet<VmId> {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Returns whether the failures counted against a worker reach
    /// [`FAULT_THRESHOLD`].
    pub fn is_faulty_worker(&self, worker: &str) -> bool {
        let failures = self.workers.get(worker).into_iter().flatten();
        let counted = failures.filter(|(job, confirmed)| {
            let several = self.jobs.get(*job).is_some_and(|on| on.len() > 1);
            **confirmed || !several
        });
        counted.count() >= FAULT_THRESHOLD
    }

    /// Returns whether a job failed on several workers that are not all faulty: one
    /// of them has run other jobs, or there are twice as many as the threshold.
    fn is_faulty_job(&self, job: &str) -> bool {
        let Some(on) = self.jobs.get(job) else {
            return false;
        };
        let proven = on.iter().any(|worker| self.proven.contains(worker));
        on.len() >= 2 * FAULT_THRESHOLD || (on.len() >= FAULT_THRESHOLD && proven)
    }

    fn clear_job(&mut self, job: &str) {
        for failures in self.workers.values_mut() {
            failures.remove(job);
        }
        self.workers.retain(|_, failures| !failures.is_empty());
    }
}
