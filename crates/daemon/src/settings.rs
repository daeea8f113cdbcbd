//! Settings of an entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use eyre::eyre;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::ZoneId;
use wigeonhinge_schema::settings;

/// I/O threads unless the settings give a number.
pub const THREADS: usize = 2;
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
    /// The settings as written.
    pub raw: settings::Settings,
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
    /// Checks settings and fills in the defaults.
    ///
    /// # Errors
    ///
    /// Fails if the name, the zone or the address for callers is missing or malformed.
    pub fn check(raw: settings::Settings) -> Result<Self> {
        let listen = raw
            .listen
            .parse()
            .wrap_err_with(|| eyre!("listen {:?}: expected IP:port", raw.listen))?;
        let limits = raw.limits.unwrap_or_default();
        Ok(Self {
            entry: EntryId::from(&raw.entry),
            zone: ZoneId::from(&raw.zone),
            listen,
            threads: or(raw.threads, THREADS),
            drain: Duration::from_secs(raw.drain_secs.into()),
            limits: Limits {
                header_bytes: or(limits.header_bytes, HEADER_BYTES),
                body_bytes: or(limits.body_bytes, BODY_BYTES),
                answer_bytes: or(limits.answer_bytes, ANSWER_BYTES),
                receive: match limits.receive_ms {
                    0 => RECEIVE,
                    ms => Duration::from_millis(ms.into()),
                },
                caller_connections: or(limits.caller_connections, CALLER_CONNECTIONS),
                connections: or(limits.connections, CONNECTIONS),
            },
            raw,
        })
    }
}

fn or(value: u32, default: usize) -> usize {
    match value {
        0 => default,
        value => value as usize,
    }
}
