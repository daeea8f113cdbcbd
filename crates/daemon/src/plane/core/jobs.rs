//! Questions of submitters of jobs, passed on to the holder of the pool's role.

use std::collections::BTreeMap;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::id::EntryId;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::envelope::Body;

use crate::admin::Question;
use crate::plane::Input;
use crate::plane::JobAnswer;
use crate::plane::JobAsk;
use crate::plane::core::Core;
use crate::session::RoleName;

/// Time after which nobody waits for an answer any more.
const WAIT: Duration = Duration::from_secs(10);

/// Questions that wait for an answer; more are refused.
const QUESTIONS: usize = 4_096;

/// Questions that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Questions {
    last: u64,
    waiting: BTreeMap<u64, (Time, Asker)>,
}

/// Who waits for an answer.
#[derive(Debug)]
enum Asker {
    /// A submitter on the admin port of this entry.
    Here(flume::Sender<JobAnswer>),
    /// A peer, and its number for the question.
    Peer(EntryId, u64),
}

impl Questions {
    /// Keeps a question and returns its number; `None` if too many wait.
    fn push(&mut self, asker: Asker, now: Time) -> Option<u64> {
        if self.waiting.len() >= QUESTIONS {
            return None;
        }
        self.last += 1;
        self.waiting.insert(self.last, (now, asker));
        Some(self.last)
    }

    /// Forgets questions that nobody waits for any more.
    pub(super) fn expire(&mut self, now: Time) {
        self.waiting.retain(|_, (since, _)| *since + WAIT > now);
    }
}

impl Core {
    /// Passes on a question of a submitter of this entry.
    pub(super) fn question(&mut self, question: Question) {
        let Question { pool, ask, reply } = question;
        let role = role(&pool);
        let holder = self.holder(&role);
        let own = self.control.role_lease(&role, self.now()).is_some();
        if !own && holder.is_none() {
            // The submitter has gone if nobody receives the answer.
            let _ = reply.try_send(JobAnswer::refused("no entry holds the role of the pool"));
            return;
        }
        let Some(number) = self.questions.push(Asker::Here(reply), self.now()) else {
            return;
        };
        match holder {
            Some(holder) if !own => {
                let body = Body::JobAsk(ask.write(number, &pool));
                self.send(&holder, body);
            }
            _ => self.drive(&role, Input::Ask(number, ask)),
        }
    }

    /// Takes a question that a peer passed on.
    pub(super) fn job_asked(&mut self, entry: EntryId, message: peer::JobAsk) {
        let role = role(&message.pool);
        let number = message.number;
        let refused = |reason| self::message(number, JobAnswer::refused(reason));
        let Some(ask) = JobAsk::read(&message) else {
            return self.send(&entry, refused("malformed question"));
        };
        if self.control.role_lease(&role, self.now()).is_none() {
            let reason = "this entry does not hold the role of the pool";
            return self.send(&entry, refused(reason));
        }
        if let Some(own) = self.questions.push(Asker::Peer(entry, number), self.now()) {
            self.drive(&role, Input::Ask(own, ask));
        }
    }

    /// Takes the answer to a question that this entry passed on.
    pub(super) fn job_answered(&mut self, message: peer::JobAnswer) {
        let answer = JobAnswer {
            state: message.state.into(),
            reason: message.reason.into(),
        };
        self.answer(message.number, answer);
    }

    /// Answers a question.
    pub(super) fn answer(&mut self, number: u64, answer: JobAnswer) {
        match self.questions.waiting.remove(&number) {
            Some((_, Asker::Here(reply))) => {
                // The submitter has gone if nobody receives the answer.
                let _ = reply.try_send(answer);
            }
            Some((_, Asker::Peer(entry, number))) => {
                self.send(&entry, message(number, answer));
            }
            None => {}
        }
    }

    /// Returns the entry that holds a role, as far as this entry knows.
    fn holder(&self, role: &RoleName) -> Option<EntryId> {
        let mut holders = self.control.holders();
        holders
            .find(|(name, ..)| *name == role)
            .map(|(_, entry, _)| entry.clone())
    }
}

fn role(pool: &str) -> RoleName {
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

fn message(number: u64, answer: JobAnswer) -> Body {
    Body::JobAnswer(peer::JobAnswer {
        number,
        state: answer.state.into(),
        reason: answer.reason.into(),
    })
}

impl JobAsk {
    fn write(&self, number: u64, pool: &str) -> peer::JobAsk {
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

    fn read(message: &peer::JobAsk) -> Option<Self> {
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
