//! Retry policy: which failed requests are sent again, and how often.

use crate::id::Time;
use crate::outcome::ErrorKind;
use crate::outcome::Run;

/// Maximum number of times that a request is sent, the first send included.
pub const MAX_SENDS: u32 = 3;

/// Number of arriving requests that add one retry to the budget.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of unused retries in the budget, for a burst of failures.
const MAX_SAVED_RETRIES: u32 = 20;

/// Retry budget (token bucket): each request adds a tenth of a token, each retry takes one.
///
/// The bucket starts empty, so that retries never exceed a tenth of the
/// requests, not even right after the start.
///
/// ```
/// use wigeonhinge::retry::Budget;
///
/// let mut budget = Budget::default();
/// assert!(!budget.try_withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Budget {
    tenths: u32,
}

/// A request whose last send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Why the last send failed.
    pub kind: ErrorKind,
    /// Why an earlier send failed that may have run; none if no earlier send can have run.
    pub maybe_ran: Option<ErrorKind>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of times that it was sent so far.
    pub sends: u32,
    /// Time at which the caller gives up.
    pub deadline: Time,
    /// Current time.
    pub now: Time,
}

/// Decision on an [`Attempt`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request again if the budget allows it; otherwise fail it with this kind.
    Retry(ErrorKind),
    /// Fail the request with this kind.
    Fail(ErrorKind),
}

impl Budget {
    /// Adds a tenth of a token, for a request that arrived.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes a token for a retry; returns false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.tenths >= REQUESTS_PER_RETRY;
        if available {
            self.tenths -= REQUESTS_PER_RETRY;
        }
        available
    }
}

/// Decides whether a request may be sent again after a failed send.
///
/// A request that did not run may be sent again. A request that may have run is
/// sent again only if it is idempotent and its connection failed.
pub fn decide(attempt: Attempt) -> Decision {
    let kind = reported_kind(attempt.maybe_ran, attempt.kind);
    let retryable = match attempt.kind.response().run {
        Run::NotRun => true,
        Run::Unknown => attempt.idempotent && is_connection_failure(attempt.kind),
        Run::Ran => false,
    };
    if retryable && attempt.sends < MAX_SENDS && attempt.now < attempt.deadline {
        return Decision::Retry(kind);
    }
    Decision::Fail(kind)
}

/// Returns the kind to report to the caller when a request finally fails with `kind`.
///
/// If an earlier send may have run, a later refusal must not be reported as
/// "not run"; the kind of the earlier send is reported instead.
pub fn reported_kind(maybe_ran: Option<ErrorKind>, kind: ErrorKind) -> ErrorKind {
    match kind.response().run {
        Run::NotRun => maybe_ran.unwrap_or(kind),
        Run::Unknown | Run::Ran => kind,
    }
}

/// Returns whether the connection failed, so that a retry on another one may succeed.
///
/// After a passed deadline no time is left for a retry, and a mismatched
/// response points to a fault of the upstream rather than of the connection.
fn is_connection_failure(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionLost | ErrorKind::ConnectionSilent | ErrorKind::AnswerCutShort
    )
}
