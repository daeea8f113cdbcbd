//! Error kinds of requests and the answer to each.

/// Why a request was not answered by its upstream.
///
/// ```
/// use wigeonhinge::outcome::ErrorKind;
/// use wigeonhinge::outcome::Run;
///
/// let answer = ErrorKind::QueueFull.response();
/// assert_eq!(answer.status, 503);
/// assert_eq!(answer.run, Run::NotRun);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The headers exceed the limit.
    HeaderTooLarge,
    /// The request's body exceeds the limit.
    BodyTooLarge,
    /// The request did not arrive in time.
    SlowSender,
    /// No service has the name.
    UnknownService,
    /// The caller has too many connections open.
    TooManyConnections,
    /// The queue of the service is full.
    QueueFull,
    /// The deadline passed before the request was sent.
    DeadlineBeforeSend,
    /// No upstream of the service is usable.
    NoUpstream,
    /// The entry has no configuration or is stopping.
    NotReady,
    /// No connection to the upstream could be made.
    ConnectFailed,
    /// The upstream refused the request and did not run it.
    RefusedByUpstream,
    /// The connection ended after bytes of the request were written.
    ConnectionLost,
    /// The connection lost its path after bytes of the request were written.
    ConnectionSilent,
    /// The deadline passed after bytes of the request were written.
    DeadlineAfterSend,
    /// The answer belongs to another request.
    AnswerMismatch,
    /// The answer ended before its end.
    AnswerCutShort,
    /// The answer's body exceeds the limit.
    AnswerTooLarge,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Run {
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// Whether the caller should send a request again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Sending it again is safe and may help.
    Yes,
    /// Sending it again does not help.
    No,
    /// Sending it again is safe for an idempotent request only.
    IfIdempotent,
}

/// Response to a request that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub run: Run,
    /// Whether the caller should send it again.
    pub retry: Retry,
    /// Name of the kind, in kebab case.
    pub name: &'static str,
}

impl ErrorKind {
    /// Every kind.
    pub const ALL: [Self; 18] = [
        Self::BadRequest,
        Self::HeaderTooLarge,
        Self::BodyTooLarge,
        Self::SlowSender,
        Self::UnknownService,
        Self::TooManyConnections,
        Self::QueueFull,
        Self::DeadlineBeforeSend,
        Self::NoUpstream,
        Self::NotReady,
        Self::ConnectFailed,
        Self::RefusedByUpstream,
        Self::ConnectionLost,
        Self::ConnectionSilent,
        Self::DeadlineAfterSend,
        Self::AnswerMismatch,
        Self::AnswerCutShort,
        Self::AnswerTooLarge,
    ];

    /// Returns the answer that a caller gets.
    pub fn response(self) -> ErrorResponse {
        use Retry::IfIdempotent;
        use Retry::No;
        use Retry::Yes;
        use Run::NotRun;
        use Run::Ran;
        use Run::Unknown;

        let (status, run, retry, name) = match self {
            Self::BadRequest => (400, NotRun, No, "bad-request"),
            Self::HeaderTooLarge => (431, NotRun, No, "header-too-large"),
            Self::BodyTooLarge => (413, NotRun, No, "body-too-large"),
            Self::SlowSender => (408, NotRun, Yes, "slow-sender"),
            Self::UnknownService => (404, NotRun, No, "unknown-service"),
            Self::TooManyConnections => (429, NotRun, Yes, "too-many-connections"),
            Self::QueueFull => (503, NotRun, Yes, "queue-full"),
            Self::DeadlineBeforeSend => (504, NotRun, Yes, "deadline-before-send"),
            Self::NoUpstream => (503, NotRun, Yes, "no-upstream"),
            Self::NotReady => (503, NotRun, Yes, "not-ready"),
            Self::ConnectFailed => (502, NotRun, Yes, "connect-failed"),
            Self::RefusedByUpstream => (503, NotRun, Yes, "refused-by-upstream"),
            Self::ConnectionLost => (502, Unknown, IfIdempotent, "connection-lost"),
            Self::ConnectionSilent => (504, Unknown, IfIdempotent, "connection-silent"),
            Self::DeadlineAfterSend => (504, Unknown, IfIdempotent, "deadline-after-send"),
            Self::AnswerMismatch => (502, Unknown, IfIdempotent, "answer-mismatch"),
            Self::AnswerCutShort => (502, Unknown, IfIdempotent, "answer-cut-short"),
            Self::AnswerTooLarge => (502, Ran, No, "answer-too-large"),
        };
        ErrorResponse {
            status,
            run,
            retry,
            name,
        }
    }
}

impl Run {
    /// Returns the value of the `wigeonhinge-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl Retry {
    /// Returns the value of the `wigeonhinge-retry` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::IfIdempotent => "if-idempotent",
        }
    }
}
