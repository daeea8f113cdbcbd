//! Settings of an entry daemon.

mod fault;
mod file;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use compact_str::format_compact;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::ZoneId;
use wigeonhinge_schema::settings;

pub use crate::settings::fault::Error;
pub use crate::settings::fault::Fault;

/// I/O threads unless the settings give a number.
pub const THREADS: usize = 2;
/// I/O threads, at most.
pub const MAX_THREADS: usize = 64;
/// Bytes of a request's headers, at most.
pub const HEADER_BYTES: usize = 16 * 1024;
/// Bytes of a request's body, at most.
pub const BODY_BYTES: usize = 1024 * 1024;
/// Bytes of an answer's body, at most.
pub const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time within which a request has to arrive in full.
pub const RECEIVE: Duration = Duration::from_secs(5);
/// Connections of one caller, at most.
pub const CALLER_CONNECTIONS: usize = 256;
/// Connections of all callers, at most.
pub const CONNECTIONS: usize = 4_096;

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
    pub drain: Duration,
    /// Limits towards callers and upstreams.
    pub limits: Limits,
    /// Form of the log.
    pub log: Log,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// The settings as written.
    pub raw: settings::Settings,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Log {
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
    pub receive: Duration,
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
    /// Fails with every fault of the file, each with its line and column.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = file::read(path)?;
        Self::check(file.raw).map_err(|mut error| {
            error.file = Some(path.into());
            for fault in &mut error.faults {
                fault.place = file.places.get(&fault.path).copied().or(Some((1, 1)));
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
        let faults = checker.faults;
        let (Some(listen), true) = (listen, faults.is_empty()) else {
            return Err(Error { file: None, faults });
        };
        Ok(Self {
            entry: EntryId::from(&raw.entry),
            zone: ZoneId::from(&raw.zone),
            listen,
            threads: or(raw.threads, THREADS),
            drain: Duration::from_secs(raw.drain_secs.into()),
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
            header_bytes: or(raw.header_bytes, HEADER_BYTES),
            body_bytes: or(raw.body_bytes, BODY_BYTES),
            answer_bytes: or(raw.answer_bytes, ANSWER_BYTES),
            receive: match raw.receive_ms {
                0 => RECEIVE,
                ms => Duration::from_millis(ms.into()),
            },
            caller_connections: or(raw.caller_connections, CALLER_CONNECTIONS),
            connections: or(raw.connections, CONNECTIONS),
        }
    }
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
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
            self.fault("platform", &raw.platform, "http://IP:port");
        }
        if raw.threads as usize > MAX_THREADS {
            let value = format_compact!("{}", raw.threads);
            let expected = format_compact!("at most {MAX_THREADS} threads");
            self.faults.push(Fault::new("threads", &value, &expected));
        }
        for (index, print) in raw.trusted.iter().enumerate() {
            if print.len() != 64 || !print.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let path = format_compact!("trusted[{index}]");
                self.fault(&path, print, "64 hex digits of a SHA-256 fingerprint");
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
            self.fault(path, value, "a name of letters, digits, '-', '_' and '.'");
        }
    }

    fn required(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        if value.is_empty() {
            self.fault(path, value, "IP:port");
        }
        self.address(path, value)
    }

    fn address(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() && !value.is_empty() {
            self.fault(path, value, "IP:port");
        }
        address
    }

    fn log(&mut self, value: &str) -> Log {
        match value {
            "" | "json" => {}
            "terminal" => return Log::Terminal,
            _ => self.fault("log", value, "json or terminal"),
        }
        Log::Json
    }

    fn fault(&mut self, path: &str, value: &str, expected: &str) {
        let value = format_compact!("{value:?}");
        self.faults.push(Fault::new(path, &value, expected));
    }
}

fn or(value: u32, default: usize) -> usize {
    match value {
        0 => default,
        value => value as usize,
    }
}
