//! Error kinds of requests and the HTTP response that reports each to the caller.

/// Why a request got no response from an upstream.
///
/// ```
/// use wigeonhinge::outcome::ErrorKind;
/// use wigeonhinge::outcome::Run;
///
/// let response = ErrorKind::QueueFull.response();
/// assert_eq!(response.status, 503);
/// assert_eq!(response.run, Run::NotRun);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The request's headers exceed the configured size limit.
    HeaderTooLarge,
    /// The request's body exceeds the configured size limit.
    BodyTooLarge,
    /// The caller did not send the whole request within the receive timeout.
    SlowSender,
    /// The configuration has no service of this name.
    UnknownService,
    /// The caller has too many connections open.
    TooManyConnections,
    /// The queue of the service is full, and the request's team or caller has the longest backlog.
    QueueFull,
    /// The deadline passed, or would probably have passed, before the request was sent.
    DeadlineBeforeSend,
    /// No upstream of the service is usable.
    NoUpstream,
    /// The entry has no configuration or is stopping.
    NotReady,
    /// The entry could not connect to the upstream.
    ConnectFailed,
    /// The upstream refused the request and did not run it.
    RefusedByUpstream,
    /// The connection was closed after bytes of the request were written.
    ConnectionLost,
    /// The connection made no progress after bytes of the request were written, although the
    /// upstream answered a probe on a new connection.
    ConnectionSilent,
    /// The deadline passed after bytes of the request were written.
    DeadlineAfterSend,
    /// The response is not HTTP, or its request identifier is missing or that of another request.
    AnswerMismatch,
    /// The connection was closed in the middle of the response.
    AnswerCutShort,
    /// The response body exceeds the configured size limit.
    AnswerTooLarge,
}

/// Whether an upstream ran a request.
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
    /// A retry is safe and may succeed.
    Yes,
    /// A retry would fail in the same way.
    No,
    /// A retry is safe for an idempotent request only, because the first send may have run.
    IfIdempotent,
}

/// What the HTTP response to a failed request contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran, for the `wigeonhinge-run` header.
    pub run: Run,
    /// Whether the caller should retry, for the `wigeonhinge-retry` header.
    pub retry: Retry,
    /// Name of the kind in kebab case, for the `wigeonhinge-kind` header and metrics.
    pub name: &'static str,
}

impl ErrorKind {
    /// All kinds, in declaration order.
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

    /// Returns the response that the caller gets.
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
