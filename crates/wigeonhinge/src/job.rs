//! States of the jobs of a pool, and the transitions between them.

pub mod log;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use compact_str::format_compact;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::State;

use crate::error::Error;
use crate::error::Result;
use crate::id::Fence;
use crate::id::JobId;
use crate::id::VmId;

/// Jobs of a pool that may be open, i.e. waiting or running, at the same time.
/// Together with [`MAX_ENDED_JOBS`] this keeps a snapshot near 500 KB.
pub const MAX_OPEN_JOBS: usize = 1_500;

/// Ended jobs of a pool that are kept, so that submitting one of them again does
/// not run it again.
pub const MAX_ENDED_JOBS: usize = 1_000;

/// A transition of one job.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// Accepts a new job.
    Accept(Box<Job>),
    /// Starts an attempt on a worker; the attempt is counted.
    Start {
        /// Waiting job.
        job: JobId,
        /// Worker that the job is placed on.
        worker: VmId,
        /// Incarnation of the worker; 0 if not known.
        incarnation: u64,
        /// Fence of the role under which the attempt is recorded.
        fence: Fence,
    },
    /// Records that the worker runs the job.
    Run(JobId),
    /// Makes the job wait for a worker again.
    Requeue {
        /// Starting or running job.
        job: JobId,
        /// Whether the attempt may have run.
        ran: bool,
    },
    /// Ends the job.
    End {
        /// Open job, or one that ended as unknown.
        job: JobId,
        /// Final state; see [`is_ended`].
        state: State,
        /// Reason that answers to submitters contain; empty for none.
        reason: String,
    },
}

/// Open jobs of a pool and the latest [`MAX_ENDED_JOBS`] ended ones.
///
/// ```
/// use wigeonhinge::job::JobEvent;
/// use wigeonhinge::job::Jobs;
/// use wigeonhinge_schema::jobs::Job;
///
/// let mut jobs = Jobs::default();
/// let job = Job { id: "index".into(), ..Job::default() };
/// jobs.apply(JobEvent::Accept(Box::new(job))).unwrap();
/// assert_eq!(jobs.open_count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// Ended jobs, in the order in which they ended.
    ended: VecDeque<JobId>,
}

impl Jobs {
    /// Returns a job; `None` if it is not known or no longer kept.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns every job, open or ended, ordered by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Returns the number of jobs that wait or run.
    pub fn open_count(&self) -> usize {
        self.jobs.len() - self.ended.len()
    }

    /// Applies a transition.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the job does not allow the transition. In
    /// particular, a job that is not idempotent is never requeued after it may have
    /// run.
    pub fn apply(&mut self, event: JobEvent) -> Result<()> {
        match event {
            JobEvent::Accept(job) => self.accept(*job),
            JobEvent::Start {
                job,
                worker,
                incarnation,
                fence,
            } => self.start(&job, &worker, incarnation, fence),
            JobEvent::Run(job) => self.run(&job),
            JobEvent::Requeue { job, ran } => self.requeue(&job, ran),
            JobEvent::End { job, state, reason } => self.end(job, state, reason),
        }
    }

    /// Inserts a job read from a snapshot or from the log, in place of an earlier
    /// state of the same job.
    pub fn restore(&mut self, job: Job) {
        let id = JobId::from(&job.id);
        let known = self.jobs.get(&id).is_some_and(|job| is_ended(job.state()));
        match (known, is_ended(job.state())) {
            (false, true) => self.ended.push_back(id.clone()),
            (true, false) => self.ended.retain(|other| *other != id),
            _ => {}
        }
        self.jobs.insert(id, job);
        self.drop_oldest_ended();
    }

    /// Removes a job that was never stored.
    pub fn withdraw(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.retain(|other| other != job);
    }

    fn accept(&mut self, job: Job) -> Result<()> {
        if self.jobs.contains_key(job.id.as_str()) {
            return Err(Error::conflict("job"));
        }
        if self.open_count() >= MAX_OPEN_JOBS {
            let reason = format_compact!("the pool has {MAX_OPEN_JOBS} open jobs");
            return Err(Error::refused(reason));
        }
        self.jobs.insert(JobId::from(&job.id), job);
        Ok(())
    }

    fn start(&mut self, job: &str, worker: &str, incarnation: u64, fence: Fence) -> Result<()> {
        let job = self.find(job)?;
        expect(job, is_waiting(job.state()))?;
        job.set_state(State::Starting);
        job.worker = worker.into();
        job.incarnation = incarnation;
        job.fence = fence;
        job.attempts += 1;
        Ok(())
    }

    fn run(&mut self, id: &str) -> Result<()> {
        let job = self.find(id)?;
        let state = job.state();
        let allowed = matches!(state, State::Starting | State::Running | State::Unknown);
        expect(job, allowed)?;
        job.set_state(State::Running);
        job.reason.clear();
        self.ended.retain(|other| other != id);
        Ok(())
    }

    fn requeue(&mut self, job: &str, ran: bool) -> Result<()> {
        let job = self.find(job)?;
        let placed = matches!(job.state(), State::Starting | State::Running);
        expect(job, placed && (job.idempotent || !ran))?;
        job.set_state(if ran {
            State::Checkpointed
        } else {
            State::Accepted
        });
        job.worker.clear();
        Ok(())
    }

    fn end(&mut self, id: JobId, state: State, reason: String) -> Result<()> {
        let job = self.find(&id)?;
        let before = job.state();
        expect(job, is_ended(state))?;
        expect(job, !is_ended(before) || before == State::Unknown)?;
        job.set_state(state);
        job.reason = reason;
        if !is_ended(before) {
            self.ended.push_back(id);
        }
        self.drop_oldest_ended();
        Ok(())
    }

    fn find(&mut self, job: &str) -> Result<&mut Job> {
        let found = self.jobs.get_mut(job);
        found.ok_or_else(|| Error::unknown("job", job))
    }

    fn drop_oldest_ended(&mut self) {
        while self.ended.len() > MAX_ENDED_JOBS {
            if let Some(job) = self.ended.pop_front() {
                self.jobs.remove(&job);
            }
        }
    }
}

/// Returns whether a job in this state waits for a worker.
pub fn is_waiting(state: State) -> bool {
    matches!(state, State::Accepted | State::Checkpointed)
}

/// Returns whether a job in this state has ended and is never started again.
pub fn is_ended(state: State) -> bool {
    !is_waiting(state) && !matches!(state, State::Starting | State::Running)
}

fn expect(job: &Job, allowed: bool) -> Result<()> {
    if allowed {
        return Ok(());
    }
    let state = job.state().as_str_name();
    Err(Error::refused(format_compact!(
        "job {:?} is {state}",
        job.id
    )))
}
