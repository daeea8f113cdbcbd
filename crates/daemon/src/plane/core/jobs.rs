//! Requests of submitters of jobs, forwarded to the entry that holds the role of the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::id::EntryId;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::envelope::Body;

use crate::admin::JobQuery;
use crate::plane::Input;
use crate::plane::JobAnswer;
use crate::plane::JobRequest;
use crate::plane::core::Core;
use crate::session::RoleName;

/// Time after which a request without an answer is dropped; no submitter waits that long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that wait for an answer; further ones are dropped.
const MAX_PENDING: usize = 4_096;

/// Requests that wait for an answer, by their number on this entry.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    last: u64,
    waiting: BTreeMap<u64, (Time, Requester)>,
}

/// Where an answer goes.
#[derive(Debug)]
enum Requester {
    /// To a submitter on the admin port of this entry.
    Local(flume::Sender<JobAnswer>),
    /// To a peer, with the number that the peer gave the request.
    Remote(EntryId, u64),
}

impl PendingRequests {
    /// Adds a request and returns its number; `None` if [`MAX_PENDING`] wait.
    fn insert(&mut self, requester: Requester, now: Time) -> Option<u64> {
        if self.waiting.len() >= MAX_PENDING {
            return None;
        }
        self.last += 1;
        self.waiting.insert(self.last, (now, requester));
        Some(self.last)
    }

    /// Drops the requests that have waited for [`ANSWER_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Time) {
        self.waiting
            .retain(|_, (since, _)| *since + ANSWER_TIMEOUT > now);
    }
}

impl Core {
    /// Handles a request from the admin port: passes it to the controller of the pool if this
    /// entry holds the role, else forwards it to the holder.
    pub(super) fn handle_job_request(&mut self, query: JobQuery) {
        let JobQuery {
            pool,
            request,
            reply,
        } = query;
        let role = jobs_role(&pool);
        let holder = self.role_holder(&role);
        let own = self.control.role_lease(&role, self.now()).is_some();
        if !own && holder.is_none() {
            // The send fails if the submitter has closed its connection.
            let _ = reply.try_send(JobAnswer::refused("no entry holds the role of the pool"));
            return;
        }
        let Some(number) = self.pending.insert(Requester::Local(reply), self.now()) else {
            return;
        };
        match holder {
            Some(holder) if !own => {
                let body = Body::JobAsk(request.to_wire(number, &pool));
                self.send(&holder, body);
            }
            _ => self.feed_controller(&role, Input::Job(number, request)),
        }
    }

    /// Handles a request that a peer forwarded.
    pub(super) fn handle_peer_request(&mut self, entry: EntryId, message: peer::JobAsk) {
        let role = jobs_role(&message.pool);
        let number = message.number;
        let refused = |reason| self::answer_body(number, JobAnswer::refused(reason));
        let Some(request) = JobRequest::from_wire(&message) else {
            return self.send(&entry, refused("malformed question"));
        };
        if self.control.role_lease(&role, self.now()).is_none() {
            let reason = "this entry does not hold the role of the pool";
            return self.send(&entry, refused(reason));
        }
        if let Some(own) = self
            .pending
            .insert(Requester::Remote(entry, number), self.now())
        {
            self.feed_controller(&role, Input::Job(own, request));
        }
    }

    /// Handles the answer to a request that this entry forwarded.
    pub(super) fn handle_peer_answer(&mut self, message: peer::JobAnswer) {
        let answer = JobAnswer {
            state: message.state.into(),
            reason: message.reason.into(),
        };
        self.answer_job(message.number, answer);
    }

    /// Sends an answer to where the request of this number came from.
    ///
    /// Ignored if the request has been answered or dropped.
    pub(super) fn answer_job(&mut self, number: u64, answer: JobAnswer) {
        match self.pending.waiting.remove(&number) {
            Some((_, Requester::Local(reply))) => {
                // The send fails if the submitter has closed its connection.
                let _ = reply.try_send(answer);
            }
            Some((_, Requester::Remote(entry, number))) => {
                self.send(&entry, answer_body(number, answer));
            }
            None => {}
        }
    }

    /// Returns the last known holder of a role.
    fn role_holder(&self, role: &RoleName) -> Option<EntryId> {
        let mut holders = self.control.holders();
        holders
            .find(|(name, ..)| *name == role)
            .map(|(_, entry, _)| entry.clone())
    }
}

fn jobs_role(pool: &str) -> RoleName {
    format!("jobs/{pool}").into()
}

impl JobAnswer {
    fn refused(reason: &str) -> Self {
        Self {
            state: "refused".into(),
            reason: reason.into(),
        }
    }
}

fn answer_body(number: u64, answer: JobAnswer) -> Body {
    Body::JobAnswer(peer::JobAnswer {
        number,
        state: answer.state.into(),
        reason: answer.reason.into(),
    })
}

impl JobRequest {
    fn to_wire(&self, number: u64, pool: &str) -> peer::JobAsk {
        let (action, job, value) = match self {
            Self::Submit(job) => {
                let value = serde_json::to_vec(job).unwrap_or_default();
                ("submit", job.id.clone(), value)
            }
            Self::Cancel(job) => ("cancel", job.to_string(), Vec::new()),
            Self::Show(job) => ("show", job.to_string(), Vec::new()),
        };
        peer::JobAsk {
            number,
            pool: pool.to_owned(),
            action: action.to_owned(),
            job,
            value,
        }
    }

    fn from_wire(message: &peer::JobAsk) -> Option<Self> {
        let job = message.job.as_str().into();
        match message.action.as_str() {
            "submit" => {
                let job: Job = serde_json::from_slice(&message.value).ok()?;
                Some(Self::Submit(Box::new(job)))
            }
            "cancel" => Some(Self::Cancel(job)),
            "show" => Some(Self::Show(job)),
            _ => None,
        }
    }
}
