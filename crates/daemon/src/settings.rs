//! Settings of the entry daemon: file format, validation and defaults.

mod file;
mod problem;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use compact_str::format_compact;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::ZoneId;
use wigeonhinge_schema::settings;

pub use crate::settings::problem::Error;
pub use crate::settings::problem::Problem;

/// Default number of I/O threads.
pub const DEFAULT_THREADS: usize = 2;
/// Maximum number of I/O threads.
pub const MAX_THREADS: usize = 64;
/// Default limit for the header bytes of a request.
pub const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Default limit for the body bytes of a request.
pub const DEFAULT_BODY_BYTES: usize = 1024 * 1024;
/// Default limit for the body bytes of an answer.
pub const DEFAULT_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Default time within which a request has to arrive completely.
pub const DEFAULT_RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Default limit for the open connections of one caller.
pub const DEFAULT_CALLER_CONNECTIONS: usize = 256;
/// Default limit for the open connections of all callers.
pub const DEFAULT_CONNECTIONS: usize = 4_096;

/// Validated settings with all defaults applied.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry among its peers.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Address that callers connect to; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// Number of I/O threads.
    pub threads: usize,
    /// Time for which a stopping entry still accepts connections after it reports that it is
    /// not ready.
    pub drain_time: Duration,
    /// Limits for requests, answers and connections.
    pub limits: Limits,
    /// Format of the log on standard error.
    pub log: LogFormat,
    /// StatsD address that metrics are sent to over UDP; `None` sends none.
    pub metrics: Option<SocketAddr>,
    /// The settings as written, without defaults.
    pub raw: settings::Settings,
}

/// Format of log records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable lines, coloured if standard error is a terminal.
    Terminal,
}

/// Limits for requests, answers and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum header bytes of a request.
    pub header_bytes: usize,
    /// Maximum body bytes of a request.
    pub body_bytes: usize,
    /// Maximum body bytes of an answer.
    pub answer_bytes: usize,
    /// Time within which a request has to arrive completely.
    pub receive_timeout: Duration,
    /// Maximum open connections of one caller.
    pub caller_connections: usize,
    /// Maximum open connections of all callers.
    pub connections: usize,
}

impl Settings {
    /// Reads and validates a settings file, which is JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed, and otherwise with the problems of its
    /// content, each with its line and column. Values are checked only if all names and
    /// types are valid.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = file::read(path)?;
        Self::check(file.raw).map_err(|mut error| {
            error.file = Some(path.into());
            for problem in &mut error.problems {
                problem.position = file.positions.get(&problem.path).copied().or(Some((1, 1)));
            }
            error
        })
    }

    /// Validates settings and applies the defaults; 0 and empty values count as absent.
    ///
    /// # Errors
    ///
    /// Fails with all missing and malformed values.
    pub fn check(raw: settings::Settings) -> Result<Self, Error> {
        let mut validator = Validator::default();
        let listen = validator.required("listen", &raw.listen);
        let metrics = validator.address("metrics", &raw.metrics);
        let log = validator.log_format(&raw.log);
        validator.settings(&raw);
        validator.peers(&raw);
        let problems = validator.problems;
        let (Some(listen), true) = (listen, problems.is_empty()) else {
            return Err(Error {
                file: None,
                problems,
            });
        };
        Ok(Self {
            entry: EntryId::from(&raw.entry),
            zone: ZoneId::from(&raw.zone),
            listen,
            threads: nonzero_or(raw.threads, DEFAULT_THREADS),
            drain_time: Duration::from_secs(raw.drain_secs.into()),
            limits: Limits::from(raw.limits.unwrap_or_default()),
            log,
            metrics,
            raw,
        })
    }
}

impl From<settings::Limits> for Limits {
    fn from(raw: settings::Limits) -> Self {
        Self {
            header_bytes: nonzero_or(raw.header_bytes, DEFAULT_HEADER_BYTES),
            body_bytes: nonzero_or(raw.body_bytes, DEFAULT_BODY_BYTES),
            answer_bytes: nonzero_or(raw.answer_bytes, DEFAULT_ANSWER_BYTES),
            receive_timeout: match raw.receive_ms {
                0 => DEFAULT_RECEIVE_TIMEOUT,
                ms => Duration::from_millis(ms.into()),
            },
            caller_connections: nonzero_or(raw.caller_connections, DEFAULT_CALLER_CONNECTIONS),
            connections: nonzero_or(raw.connections, DEFAULT_CONNECTIONS),
        }
    }
}

#[derive(Default)]
struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn settings(&mut self, raw: &settings::Settings) {
        self.name("entry", &raw.entry);
        self.name("zone", &raw.zone);
        self.address("admin", &raw.admin);
        self.address("peer", &raw.peer);
        let platform = raw.platform.strip_prefix("http://");
        let platform = platform.is_some_and(|rest| rest.parse::<SocketAddr>().is_ok());
        if !raw.platform.is_empty() && !platform {
            self.problem("platform", &raw.platform, "http://IP:port");
        }
        if raw.threads as usize > MAX_THREADS {
            let value = format_compact!("{}", raw.threads);
            let expected = format_compact!("at most {MAX_THREADS} threads");
            self.problems
                .push(Problem::new("threads", &value, &expected));
        }
        for (index, fingerprint) in raw.trusted.iter().enumerate() {
            if fingerprint.len() != 64 || !fingerprint.bytes().all(|byte| byte.is_ascii_hexdigit())
            {
                let path = format_compact!("trusted[{index}]");
                self.problem(&path, fingerprint, "64 hex digits of a SHA-256 fingerprint");
            }
        }
    }

    fn peers(&mut self, raw: &settings::Settings) {
        for (index, peer) in raw.peers.iter().enumerate() {
            self.name(&format_compact!("peers[{index}].entry"), &peer.entry);
            self.name(&format_compact!("peers[{index}].zone"), &peer.zone);
            self.required(&format_compact!("peers[{index}].address"), &peer.address);
        }
    }

    fn name(&mut self, path: &str, value: &str) {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if value.is_empty() || !value.bytes().all(allowed) {
            self.problem(path, value, "a name of letters, digits, '-', '_' and '.'");
        }
    }

    fn required(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        if value.is_empty() {
            self.problem(path, value, "IP:port");
        }
        self.address(path, value)
    }

    fn address(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() && !value.is_empty() {
            self.problem(path, value, "IP:port");
        }
        address
    }

    fn log_format(&mut self, value: &str) -> LogFormat {
        match value {
            "" | "json" => {}
            "terminal" => return LogFormat::Terminal,
            _ => self.problem("log", value, "json or terminal"),
        }
        LogFormat::Json
    }

    fn problem(&mut self, path: &str, value: &str, expected: &str) {
        let value = format_compact!("{value:?}");
        self.problems.push(Problem::new(path, &value, expected));
    }
}

fn nonzero_or(value: u32, default: usize) -> usize {
    match value {
        0 => default,
        value => value as usize,
    }
}
