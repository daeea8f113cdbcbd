//! Settings of an entry daemon.

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

/// I/O threads unless the settings give a number.
pub const DEFAULT_THREADS: usize = 2;
/// I/O threads, at most.
pub const MAX_THREADS: usize = 64;
/// Bytes of a request's headers, at most.
pub const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Bytes of a request's body, at most.
pub const DEFAULT_BODY_BYTES: usize = 1024 * 1024;
/// Bytes of an answer's body, at most.
pub const DEFAULT_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time within which a request has to arrive in full.
pub const DEFAULT_RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections of one caller, at most.
pub const DEFAULT_CALLER_CONNECTIONS: usize = 256;
/// Connections of all callers, at most.
pub const DEFAULT_CONNECTIONS: usize = 4_096;

/// Checked settings with every default filled in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// I/O threads.
    pub threads: usize,
    /// Time between "not ready" and the end of listening on a graceful stop.
    pub drain_time: Duration,
    /// Limits towards callers and upstreams.
    pub limits: Limits,
    /// Form of the log.
    pub log: LogFormat,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// The settings as written.
    pub raw: settings::Settings,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Lines for a terminal.
    Terminal,
}

/// Limits towards callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of an answer's body.
    pub answer_bytes: usize,
    /// Time within which a request has to arrive in full.
    pub receive_timeout: Duration,
    /// Connections of one caller.
    pub caller_connections: usize,
    /// Connections of all callers.
    pub connections: usize,
}

impl Settings {
    /// Reads a settings file, which is JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails with every problem of the file, each with its line and column.
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

    /// Checks settings and fills in the defaults.
    ///
    /// # Errors
    ///
    /// Fails with every value that is missing or malformed.
    pub fn check(raw: settings::Settings) -> Result<Self, Error> {
        let mut checker = Checker::default();
        let listen = checker.required("listen", &raw.listen);
        let metrics = checker.address("metrics", &raw.metrics);
        let log = checker.log(&raw.log);
        checker.settings(&raw);
        checker.peers(&raw);
        let problems = checker.problems;
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
            threads: or(raw.threads, DEFAULT_THREADS),
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
            header_bytes: or(raw.header_bytes, DEFAULT_HEADER_BYTES),
            body_bytes: or(raw.body_bytes, DEFAULT_BODY_BYTES),
            answer_bytes: or(raw.answer_bytes, DEFAULT_ANSWER_BYTES),
            receive_timeout: match raw.receive_ms {
                0 => DEFAULT_RECEIVE_TIMEOUT,
                ms => Duration::from_millis(ms.into()),
            },
            caller_connections: or(raw.caller_connections, DEFAULT_CALLER_CONNECTIONS),
            connections: or(raw.connections, DEFAULT_CONNECTIONS),
        }
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
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
        for (index, print) in raw.trusted.iter().enumerate() {
            if print.len() != 64 || !print.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let path = format_compact!("trusted[{index}]");
                self.problem(&path, print, "64 hex digits of a SHA-256 fingerprint");
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

    fn log(&mut self, value: &str) -> LogFormat {
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

fn or(value: u32, default: usize) -> usize {
    match value {
        0 => default,
        value => value as usize,
    }
}
