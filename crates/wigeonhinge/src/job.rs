//! Jobs of a pool: their states, and the changes that are allowed.

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

/// Jobs of a pool that wait or run at the same time. With [`MAX_ENDED`] it
/// keeps a snapshot near 500 KB.
pub const MAX_OPEN: usize = 1_500;

/// Ended jobs of a pool that are remembered, so that a repeated submission of
/// one does not run again.
pub const MAX_ENDED: usize = 1_000;

/// A change of one job.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// A new job.
    Accept(Box<Job>),
    /// A worker is chosen; counts an attempt.
    Start {
        /// Job.
        job: JobId,
        /// Worker.
        worker: VmId,
        /// Incarnation of the worker; 0 when not known.
        incarnation: u64,
        /// Fence of the role.
        fence: Fence,
    },
    /// The worker runs the job.
    Run(JobId),
    /// The job waits again.
    Requeue {
        /// Job.
        job: JobId,
        /// Whether the attempt may have run.
        ran: bool,
    },
    /// The job ended in a final state.
    End {
        /// Job.
        job: JobId,
        /// Final state.
        state: State,
        /// Reason; empty for none.
        reason: String,
    },
}

/// Jobs of a pool.
///
/// ```
/// use wigeonhinge::job::JobEvent;
/// use wigeonhinge::job::Jobs;
/// use wigeonhinge_schema::jobs::Job;
///
/// let mut jobs = Jobs::default();
/// let job = Job { id: "index".into(), ..Job::default() };
/// jobs.apply(JobEvent::Accept(Box::new(job))).unwrap();
/// assert_eq!(jobs.open(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    ended: VecDeque<JobId>,
}

impl Jobs {
    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns every job, ordered by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Counts the jobs that wait or run.
    pub fn open(&self) -> usize {
        self.jobs.len() - self.ended.len()
    }

    /// Applies a change.
    ///
    /// # Errors
    ///
    /// Refuses a change that the state of the job does not allow; above all, a
    /// job that is not idempotent never waits again after it may have run.
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

    /// Takes over a job from the log or from a snapshot.
    pub fn restore(&mut self, job: Job) {
        let id = JobId::from(&job.id);
        let known = self.jobs.get(&id).is_some_and(|job| ended(job.state()));
        match (known, ended(job.state())) {
            (false, true) => self.ended.push_back(id.clone()),
            (true, false) => self.ended.retain(|other| *other != id),
            _ => {}
        }
        self.jobs.insert(id, job);
        self.forget();
    }

    /// Removes a job that the store does not have.
    pub fn withdraw(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.retain(|other| other != job);
    }

    fn accept(&mut self, job: Job) -> Result<()> {
        if self.jobs.contains_key(job.id.as_str()) {
            return Err(Error::conflict("job"));
        }
        if self.open() >= MAX_OPEN {
            let reason = format_compact!("the pool has {MAX_OPEN} open jobs");
            return Err(Error::refused(reason));
        }
        self.jobs.insert(JobId::from(&job.id), job);
        Ok(())
    }

    fn start(&mut self, job: &str, worker: &str, incarnation: u64, fence: Fence) -> Result<()> {
        let job = self.find(job)?;
        expect(job, waits(job.state()))?;
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
        let known = matches!(state, State::Starting | State::Running | State::Unknown);
        expect(job, known)?;
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
        expect(job, ended(state))?;
        expect(job, !ended(before) || before == State::Unknown)?;
        job.set_state(state);
        job.reason = reason;
        if !ended(before) {
            self.ended.push_back(id);
        }
        self.forget();
        Ok(())
    }

    fn find(&mut self, job: &str) -> Result<&mut Job> {
        let found = self.jobs.get_mut(job);
        found.ok_or_else(|| Error::unknown("job", job))
    }

    fn forget(&mut self) {
        while self.ended.len() > MAX_ENDED {
            if let Some(job) = self.ended.pop_front() {
                self.jobs.remove(&job);
            }
        }
    }
}

/// Whether a job in this state waits for a worker.
pub fn waits(state: State) -> bool {
    matches!(state, State::Accepted | State::Checkpointed)
}

/// Whether a job in this state never starts again.
pub fn ended(state: State) -> bool {
    !waits(state) && !matches!(state, State::Starting | State::Running)
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
