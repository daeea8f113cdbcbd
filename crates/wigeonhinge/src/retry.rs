//! Whether a request may be sent again.

use crate::id::Time;
use crate::outcome::ErrorKind;
use crate::outcome::Run;

/// Times that a request is sent at most.
pub const MAX_SENDS: u32 = 3;

/// Requests that earn one retry.
const COST: u32 = 10;

/// Retries that can be saved up, for a burst of failures.
const SAVED: u32 = 20;

/// Budget of retries: a tenth of a token for each request, a token for each retry.
///
/// It starts empty, so that retries stay under a tenth of the requests from
/// the first one on.
///
/// ```
/// use wigeonhinge::retry::Budget;
///
/// let mut budget = Budget::default();
/// assert!(!budget.spend());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Budget {
    tenths: u32,
}

/// A request that was sent without success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Why sending failed.
    pub kind: ErrorKind,
    /// Why an earlier sending failed that may have run.
    pub doubt: Option<ErrorKind>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Times that it was sent.
    pub sends: u32,
    /// When the caller gives up.
    pub deadline: Time,
    /// Current time.
    pub now: Time,
}

/// What follows from an [`Attempt`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send it again if the budget allows it; otherwise answer with the kind.
    Retry(ErrorKind),
    /// Answer with the kind.
    Fail(ErrorKind),
}

impl Budget {
    /// Counts a request that arrived.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(SAVED * COST);
    }

    /// Takes a token; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let enough = self.tenths >= COST;
        if enough {
            self.tenths -= COST;
        }
        enough
    }
}

/// Decides on a request after a failed sending.
///
/// A request that did not run may be sent again. One that may have run is sent
/// again only if it is idempotent and its connection failed.
pub fn decide(attempt: Attempt) -> Decision {
    let kind = report(attempt.doubt, attempt.kind);
    let safe = match attempt.kind.response().run {
        Run::NotRun => true,
        Run::Unknown => attempt.idempotent && lost(attempt.kind),
        Run::Ran => false,
    };
    if safe && attempt.sends < MAX_SENDS && attempt.now < attempt.deadline {
        return Decision::Retry(kind);
    }
    Decision::Fail(kind)
}

/// Returns the kind to answer with when a request fails with `kind`.
///
/// After a sending that may have run, a later refusal does not mean that the
/// request did not run.
pub fn report(doubt: Option<ErrorKind>, kind: ErrorKind) -> ErrorKind {
    match kind.response().run {
        Run::NotRun => doubt.unwrap_or(kind),
        Run::Unknown | Run::Ran => kind,
    }
}

/// Returns whether another connection may bring the answer.
///
/// A deadline that passed leaves no time, and a mismatch points to the upstream.
fn lost(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionLost | ErrorKind::ConnectionSilent | ErrorKind::AnswerCutShort
    )
}
