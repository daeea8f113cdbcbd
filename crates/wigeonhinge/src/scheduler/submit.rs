//! Requests of submitters: submissions, cancellations and queries, and the answers.

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
use crate::scheduler::tasks::StopReason;

/// Time without confirmation of a batch after which new jobs are refused at once.
const STORE_STALL_LIMIT: Time = Duration::from_secs(1);

/// Time that a request waits for the store before it is answered without it.
const STORE_ANSWER_TIMEOUT: Time = Duration::from_secs(3);

/// Time that a cancellation waits for the worker to stop the task before the
/// answer is that the outcome is unknown.
const CANCEL_TIMEOUT: Time = Duration::from_secs(10);

/// Longest name of a job, team, class, zone or group.
const MAX_NAME_BYTES: usize = 128;

/// A request of a submitter that waits for the store.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    ticket: Ticket,
    since: Time,
    /// Whether the request is a cancellation, which waits until the job has ended.
    is_cancel: bool,
}

impl Scheduler {
    pub(super) fn submit(&mut self, ticket: Ticket, mut job: Job, now: Time) {
        let id = JobId::from(&job.id);
        if self.jobs.get(&id).is_some() {
            return self.query(ticket, &id, now);
        }
        if let Some(answer) = self.rejection(&job, now) {
            return self.answer(ticket, answer);
        }
        reset_scheduler_fields(&mut job);
        job.submitted_ms = self.unix_ms(now);
        let urgent = job.priority == 0;
        if let Err(error) = self.jobs.apply(JobEvent::Accept(Box::new(job))) {
            return self.answer(ticket, Answer::Refused(error.to_string().into()));
        }
        self.unstored.insert(id.clone());
        self.enqueue_request(ticket, &id, false, now);
        self.mark_dirty(&id, urgent, now);
        self.enqueue(&id, now);
        self.place(&id, now);
    }

    pub(super) fn cancel(&mut self, ticket: Ticket, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            let answer = self.answer_unknown(id, now);
            return self.answer(ticket, answer);
        };
        if is_ended(job.state()) {
            return self.query(ticket, id, now);
        }
        if !self.ready(now) {
            return self.answer(ticket, Answer::Refused("the role is not held here".into()));
        }
        self.enqueue_request(ticket, id, true, now);
        if self.assignments.contains_key(id) {
            return self.stop(id, StopReason::Cancel, now);
        }
        self.end_job(id, State::Cancelled, "", now);
    }

    pub(super) fn query(&mut self, ticket: Ticket, id: &JobId, now: Time) {
        if self.unstored.contains(id) || self.end_unconfirmed(id) {
            return self.enqueue_request(ticket, id, false, now);
        }
        let answer = match self.jobs.get(id) {
            Some(job) => self.answer_for(job),
            None => self.answer_unknown(id, now),
        };
        self.answer(ticket, answer);
    }

    /// Answers the requests whose job was part of a confirmed batch.
    pub(super) fn answer_stored(&mut self, id: &JobId, state: State, now: Time) {
        for request in self.sent_requests.remove(id).unwrap_or_default() {
            if request.is_cancel && !is_ended(state) {
                self.queued_requests
                    .entry(id.clone())
                    .or_default()
                    .push(request);
                continue;
            }
            self.query(request.ticket, id, now);
        }
    }

    /// Answers the requests that have waited too long. A job that was never part of a
    /// batch is withdrawn, so that its refusal is final.
    pub(super) fn expire_requests(&mut self, now: Time) {
        let down = !self.ready(now) || self.store_stalled(now, STORE_ANSWER_TIMEOUT);
        let late = |request: &PendingRequest| {
            let waited = now.saturating_sub(request.since);
            down && waited >= STORE_ANSWER_TIMEOUT || request.is_cancel && waited >= CANCEL_TIMEOUT
        };
        let lists = self.queued_requests.iter();
        let ids: Vec<JobId> = lists
            .filter(|(_, list)| list.iter().any(late))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let list = self.queued_requests.remove(&id).unwrap_or_default();
            let (expired, kept): (Vec<PendingRequest>, Vec<PendingRequest>) =
                list.into_iter().partition(late);
            let sent = self.sent_requests.contains_key(&id) || self.in_flight(&id);
            let withdrawn = self.unstored.contains(&id) && !sent;
            if withdrawn {
                self.withdraw(&id, now);
            } else if !kept.is_empty() {
                self.queued_requests.insert(id.clone(), kept.clone());
            }
            let kept = if withdrawn { kept } else { Vec::new() };
            for request in expired.into_iter().chain(kept) {
                self.answer(request.ticket, unconfirmed_answer(withdrawn));
            }
        }
        for list in self.sent_requests.values_mut() {
            let expired: Vec<PendingRequest> = list
                .iter()
                .filter(|request| late(request))
                .cloned()
                .collect();
            list.retain(|request| !late(request));
            self.actions
                .extend(expired.into_iter().map(|request| Action::Answer {
                    ticket: request.ticket,
                    answer: unconfirmed_answer(false),
                }));
        }
    }

    /// Answers all pending requests, as the role is lost. `maybe_written` says whether
    /// the batch in flight may have taken effect.
    pub(super) fn answer_role_lost(&mut self, maybe_written: bool) {
        let sent = std::mem::take(&mut self.sent_requests);
        for request in sent.into_values().flatten() {
            let answer = unconfirmed_answer(!maybe_written && !request.is_cancel);
            self.answer(request.ticket, answer);
        }
        let queued = std::mem::take(&mut self.queued_requests);
        for (id, list) in queued {
            let unstored = self.unstored.contains(&id) && (!maybe_written || !self.in_flight(&id));
            for request in list {
                self.answer(request.ticket, unconfirmed_answer(unstored));
            }
        }
    }

    fn enqueue_request(&mut self, ticket: Ticket, id: &JobId, is_cancel: bool, now: Time) {
        let request = PendingRequest {
            ticket,
            since: now,
            is_cancel,
        };
        let in_flight = self.in_flight(id) && !self.dirty.contains(id);
        let lists = if in_flight {
            &mut self.sent_requests
        } else {
            &mut self.queued_requests
        };
        lists.entry(id.clone()).or_default().push(request);
    }

    /// Returns whether a job ended in a state that is not stored yet, so that another
    /// holder of the role would consider the job open. A job that a worker reported
    /// as done stays done in any case.
    fn end_unconfirmed(&self, id: &JobId) -> bool {
        let state = self.jobs.get(id).map(Job::state);
        let ended = state.is_some_and(|state| is_ended(state) && state != State::Done);
        ended && (self.dirty.contains(id) || self.in_flight(id))
    }

    /// Returns the answer to a submission that cannot be accepted, and `None` if it
    /// can.
    fn rejection(&self, job: &Job, now: Time) -> Option<Answer> {
        let refused = |reason: &str| Some(Answer::Refused(reason.into()));
        if !self.ready(now) {
            return refused("the role is not held here");
        }
        if self.store_stalled(now, STORE_STALL_LIMIT) {
            return refused("the store does not answer");
        }
        let names = [&job.id, &job.team, &job.class, &job.zone, &job.group];
        if job.id.is_empty() || names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return refused("an identifier is empty or longer than 128 bytes");
        }
        if !self.quotas.has_team(&job.team) {
            return refused("the team is not known");
        }
        let size = job.size.unwrap_or_default();
        let shortage = self
            .placer
            .shortage(self.required_size(job, size), &job.zone);
        shortage.map(|shortage| Answer::Impossible(shortage.into()))
    }

    /// Returns the size that decides whether a job can ever run: the declared one, or
    /// the estimate of its class where that is smaller.
    pub(super) fn required_size(&self, job: &Job, declared: Size) -> Capacity {
        let size = Capacity::from(declared);
        if !self.usage.has_estimate(&job.class) {
            return size;
        }
        size.min(self.usage.estimate(&job.class, declared).into())
    }

    fn answer_for(&self, job: &Job) -> Answer {
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

    fn answer_unknown(&self, id: &JobId, now: Time) -> Answer {
        if !self.ready(now) {
            return Answer::Unknown("the role is not held here".into());
        }
        Answer::Refused(format!("job {id:?} is not known").into())
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer { ticket, answer });
    }
}

fn unconfirmed_answer(refused: bool) -> Answer {
    if refused {
        return Answer::Refused("the store did not take the job".into());
    }
    Answer::Unknown("the change is not confirmed".into())
}

/// Clears the fields of a submitted job that only the scheduler sets.
fn reset_scheduler_fields(job: &mut Job) {
    job.set_state(State::Accepted);
    job.worker.clear();
    job.reason.clear();
    job.fence = 0;
    job.incarnation = 0;
    job.attempts = 0;
}
