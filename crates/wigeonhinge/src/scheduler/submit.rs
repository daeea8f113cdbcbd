//! Submitters: submissions, cancellations, questions and their answers.

use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::State;

use crate::id::JobId;
use crate::id::Ticket;
use crate::id::Time;
use crate::job::JobEvent;
use crate::job::is_ended;
use crate::place::Capacity;
use crate::scheduler::Action;
use crate::scheduler::Answer;
use crate::scheduler::Scheduler;
use crate::scheduler::tasks::Why;

/// Silence of the store after which new jobs are refused at once.
const STORE_SILENT: Time = Duration::from_secs(1);

/// Wait for the store after which a submitter is answered without it.
const ANSWER_WAIT: Time = Duration::from_secs(3);

/// Wait for a worker to stop a cancelled task after which the submitter is
/// answered that the outcome is not known yet.
const CANCEL_WAIT: Time = Duration::from_secs(10);

/// Length of an identifier of a job, a team, a class, a zone or a group.
const MAX_NAME: usize = 128;

/// A submitter that waits for the store.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    ticket: Ticket,
    since: Time,
    cancels: bool,
}

impl Scheduler {
    pub(super) fn submit(&mut self, ticket: Ticket, mut job: Job, now: Time) {
        let id = JobId::from(&job.id);
        if self.jobs.get(&id).is_some() {
            return self.ask(ticket, &id, now);
        }
        if let Some(answer) = self.unfit(&job, now) {
            return self.answer(ticket, answer);
        }
        clean(&mut job);
        job.submitted_ms = self.unix(now);
        let urgent = job.priority == 0;
        if let Err(error) = self.jobs.apply(JobEvent::Accept(Box::new(job))) {
            return self.answer(ticket, Answer::Refused(error.to_string().into()));
        }
        self.fresh.insert(id.clone());
        self.wait(ticket, &id, false, now);
        self.mark(&id, urgent, now);
        self.enqueue(&id, now);
        self.place(&id, now);
    }

    pub(super) fn cancel(&mut self, ticket: Ticket, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            let answer = self.unknown_job(id, now);
            return self.answer(ticket, answer);
        };
        if is_ended(job.state()) {
            return self.ask(ticket, id, now);
        }
        if !self.ready(now) {
            return self.answer(ticket, Answer::Refused("the role is not held here".into()));
        }
        self.wait(ticket, id, true, now);
        if self.live.contains_key(id) {
            return self.stop(id, Why::Cancel, now);
        }
        self.finish(id, State::Cancelled, "", now);
    }

    pub(super) fn ask(&mut self, ticket: Ticket, id: &JobId, now: Time) {
        if self.fresh.contains(id) || self.unsettled(id) {
            return self.wait(ticket, id, false, now);
        }
        let answer = match self.jobs.get(id) {
            Some(job) => self.state_of(job),
            None => self.unknown_job(id, now),
        };
        self.answer(ticket, answer);
    }

    /// Answers the submitters whose job the store confirmed.
    pub(super) fn answer_stored(&mut self, id: &JobId, state: State, now: Time) {
        for waiting in self.flying.remove(id).unwrap_or_default() {
            if waiting.cancels && !is_ended(state) {
                self.tickets.entry(id.clone()).or_default().push(waiting);
                continue;
            }
            self.ask(waiting.ticket, id, now);
        }
    }

    /// Answers the submitters that have waited too long for the store. A job
    /// that no batch contained is withdrawn, so its refusal is final.
    pub(super) fn expire(&mut self, now: Time) {
        let down = !self.ready(now) || self.stalled(now, ANSWER_WAIT);
        let late = |waiting: &Waiting| {
            let waited = now.saturating_sub(waiting.since);
            down && waited >= ANSWER_WAIT || waiting.cancels && waited >= CANCEL_WAIT
        };
        let lists = self.tickets.iter();
        let ids: Vec<JobId> = lists
            .filter(|(_, list)| list.iter().any(late))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let list = self.tickets.remove(&id).unwrap_or_default();
            let (gone, kept): (Vec<Waiting>, Vec<Waiting>) = list.into_iter().partition(late);
            let flying = self.flying.contains_key(&id) || self.in_flight(&id);
            let withdrawn = self.fresh.contains(&id) && !flying;
            if withdrawn {
                self.withdraw(&id, now);
            } else if !kept.is_empty() {
                self.tickets.insert(id.clone(), kept.clone());
            }
            let kept = if withdrawn { kept } else { Vec::new() };
            for waiting in gone.into_iter().chain(kept) {
                self.answer(waiting.ticket, unstored(withdrawn));
            }
        }
        for list in self.flying.values_mut() {
            let gone: Vec<Waiting> = list
                .iter()
                .filter(|waiting| late(waiting))
                .cloned()
                .collect();
            list.retain(|waiting| !late(waiting));
            self.out
                .extend(gone.into_iter().map(|waiting| Action::Answer {
                    ticket: waiting.ticket,
                    answer: unstored(false),
                }));
        }
    }

    /// Answers all submitters that wait, as the role is lost. `written` says
    /// whether the batch in flight may have taken effect.
    pub(super) fn answer_lost(&mut self, written: bool) {
        let flying = std::mem::take(&mut self.flying);
        for waiting in flying.into_values().flatten() {
            let answer = unstored(!written && !waiting.cancels);
            self.answer(waiting.ticket, answer);
        }
        let tickets = std::mem::take(&mut self.tickets);
        for (id, list) in tickets {
            let fresh = self.fresh.contains(&id) && (!written || !self.in_flight(&id));
            for waiting in list {
                self.answer(waiting.ticket, unstored(fresh));
            }
        }
    }

    fn wait(&mut self, ticket: Ticket, id: &JobId, cancels: bool, now: Time) {
        let waiting = Waiting {
            ticket,
            since: now,
            cancels,
        };
        let flies = self.in_flight(id) && !self.dirty.contains(id);
        let lists = if flies {
            &mut self.flying
        } else {
            &mut self.tickets
        };
        lists.entry(id.clone()).or_default().push(waiting);
    }

    /// Whether a job ended in a state that the store does not have yet, so that
    /// another holder of the role would take it for open. A worker's word that a
    /// job is done holds without the store.
    fn unsettled(&self, id: &JobId) -> bool {
        let state = self.jobs.get(id).map(Job::state);
        let ended = state.is_some_and(|state| is_ended(state) && state != State::Done);
        ended && (self.dirty.contains(id) || self.in_flight(id))
    }

    fn unfit(&self, job: &Job, now: Time) -> Option<Answer> {
        let refused = |reason: &str| Some(Answer::Refused(reason.into()));
        if !self.ready(now) {
            return refused("the role is not held here");
        }
        if self.stalled(now, STORE_SILENT) {
            return refused("the store does not answer");
        }
        let names = [&job.id, &job.team, &job.class, &job.zone, &job.group];
        if job.id.is_empty() || names.iter().any(|name| name.len() > MAX_NAME) {
            return refused("an identifier is empty or longer than 128 bytes");
        }
        if !self.quotas.has_team(&job.team) {
            return refused("the team is not known");
        }
        let size = job.size.unwrap_or_default();
        let lacks = self.placer.shortage(self.needed(job, size), &job.zone);
        lacks.map(|lacks| Answer::Impossible(lacks.into()))
    }

    /// Size that decides whether a job can ever run.
    pub(super) fn needed(&self, job: &Job, declared: Size) -> Capacity {
        let size = Capacity::from(declared);
        if !self.usage.has_estimate(&job.class) {
            return size;
        }
        size.min(self.usage.estimate(&job.class, declared).into())
    }

    fn state_of(&self, job: &Job) -> Answer {
        let reason = || CompactString::from(&job.reason);
        match job.state() {
            State::Accepted | State::Starting | State::Checkpointed => Answer::Accepted,
            State::Running => Answer::Running(job.worker.as_str().into()),
            State::Done => Answer::Done,
            State::Failed => Answer::Failed(reason()),
            State::Cancelled => Answer::Cancelled,
            State::Impossible => Answer::Impossible(reason()),
            State::Unknown => Answer::Unknown(reason()),
        }
    }

    fn unknown_job(&self, id: &JobId, now: Time) -> Answer {
        if !self.ready(now) {
            return Answer::Unknown("the role is not held here".into());
        }
        Answer::Refused(format!("job {id:?} is not known").into())
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.out.push(Action::Answer { ticket, answer });
    }
}

fn unstored(refused: bool) -> Answer {
    if refused {
        return Answer::Refused("the store did not take the job".into());
    }
    Answer::Unknown("the change is not confirmed".into())
}

/// Clears the fields that only the scheduler sets.
fn clean(job: &mut Job) {
    job.set_state(State::Accepted);
    job.worker.clear();
    job.reason.clear();
    job.fence = 0;
    job.incarnation = 0;
    job.attempts = 0;
}
