//! Settings of an entry that runs on the users' platform.

use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

/// Least number of cores, of machine orders a second and of Mbit/s. Times that are computed from far
/// smaller ones do not fit in their type.
const MIN_RATE: f64 = 1e-3;

/// Least memory: the budget for clients then still has room for several bodies of 262,144 bytes.
const MIN_MEMORY_MB: usize = 16;

/// Least number of descriptors: half of them are for the store and workers.
const MIN_DESCRIPTORS: usize = 128;

/// Shortest time limit for clients, in milliseconds; a proper client on a slow link takes less.
const MIN_WAIT_MS: u64 = 100;

/// Longest time limit for clients, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Settings; `deploy/settings.jsonc` is the template that the platform fills in.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of the entry, unique among the entries of a deployment.
    pub entry: CompactString,
    /// Availability zone that the entry runs in.
    pub zone: CompactString,
    /// Address at which the entry serves callers.
    pub callers: SocketAddr,
    /// Address at which the entry serves the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address at which the entry serves metrics and its status; not served if absent.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the service that manages machines; absent if there is none.
    pub machines: Option<SocketAddr>,
    /// Number of machine orders that the service accepts a second; 64 if absent.
    #[serde(default = "orders_per_s")]
    pub machine_orders: f64,
    /// Address of the service that advises on placement; absent if there is none.
    pub advice: Option<SocketAddr>,
    /// Processor time that the entry may use, in cores; 1 if absent.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Rate of the entry's network link in Mbit/s; 1,000 if absent.
    #[serde(default = "fast_link")]
    pub link_mbps: f64,
    /// Whether keys are refused once the configuration has not been known to be current for
    /// `bounds.revoke_ms`, as they may be revoked; not if absent.
    #[serde(default)]
    pub strict_revocation: bool,
    /// Whether room is reserved in time for short tasks that fit on no worker now; not if absent.
    #[serde(default)]
    pub backfill: bool,
    /// Memory of the entry's machine in MB, from which the limits for clients are derived; 256 if
    /// absent.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Descriptors that the entry may open; 4,096 if absent.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Time within which the head of a request has to arrive, in milliseconds; 10 s if absent.
    #[serde(default = "ten_seconds_ms")]
    pub head_ms: u64,
    /// Time within which the body of a request has to arrive, in milliseconds; 30 s if absent.
    #[serde(default = "half_minute_ms")]
    pub body_ms: u64,
    /// Time without a request after which a connection is closed, in milliseconds; 5 minutes if absent.
    #[serde(default = "five_minutes_ms")]
    pub idle_ms: u64,
    /// Time bounds that the platform guarantees or requires.
    pub bounds: Bounds,
}

fn orders_per_s() -> f64 {
    64.0
}

fn fast_link() -> f64 {
    1_000.0
}

fn default_memory() -> usize {
    256
}

fn default_descriptors() -> usize {
    4_096
}

fn ten_seconds_ms() -> u64 {
    10_000
}

fn half_minute_ms() -> u64 {
    30_000
}

fn five_minutes_ms() -> u64 {
    300_000
}

fn one_core() -> f64 {
    1.0
}

fn five_seconds_ms() -> f64 {
    5_000.0
}

/// Time bounds of the platform, in milliseconds unless the name ends in `_secs`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker accepts.
    pub lease_ms: f64,
    /// Time for which a job's state is kept, in seconds.
    pub retention_secs: f64,
    /// Time that the move of a machine takes, in seconds.
    pub migrate_secs: f64,
    /// Time that the maintenance of a machine takes, in seconds.
    pub maintenance_secs: f64,
    /// Time within which the orders of two role holders to machines must not alternate.
    pub order_lease_ms: f64,
    /// Time after which an unavailable long-running task counts as absent.
    pub notice_ms: f64,
    /// Shortest time to live of a lease that the store accepts.
    pub shortest_lease_ms: f64,
    /// Time within which a revoked key must be refused; 5 s if absent.
    #[serde(default = "five_seconds_ms")]
    pub revoke_ms: f64,
}

impl Settings {
    /// Reads a settings file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a setting is invalid; the message names the place.
    pub fn open(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
        let settings: Self = parse_to_serde_value(&text, &ParseOptions::default())
            .wrap_err_with(|| format!("invalid settings file {}", path.display()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let bounds = self.bounds;
        let times = [
            ("bounds.lease_ms", bounds.lease_ms),
            ("bounds.retention_secs", bounds.retention_secs),
            ("bounds.migrate_secs", bounds.migrate_secs),
            ("bounds.maintenance_secs", bounds.maintenance_secs),
            ("bounds.order_lease_ms", bounds.order_lease_ms),
            ("bounds.notice_ms", bounds.notice_ms),
            ("bounds.shortest_lease_ms", bounds.shortest_lease_ms),
            ("bounds.revoke_ms", bounds.revoke_ms),
        ];
        for (name, value) in times {
            if !(0.0..=1e9).contains(&value) {
                bail!("{name} is {value}; expected a time from 0 to 1e9");
            }
        }
        let rates = [
            ("cores", self.cores, 1e4),
            ("machine_orders", self.machine_orders, 1e6),
            ("link_mbps", self.link_mbps, 1e6),
        ];
        for (name, value, most) in rates {
            if !(MIN_RATE..=most).contains(&value) {
                bail!("{name} is {value}; expected {MIN_RATE} to {most}");
            }
        }
        let sizes = [
            ("memory_mb", self.memory_mb, MIN_MEMORY_MB, 1 << 20),
            ("descriptors", self.descriptors, MIN_DESCRIPTORS, 1 << 20),
        ];
        for (name, value, least, most) in sizes {
            if !(least..=most).contains(&value) {
                bail!("{name} is {value}; expected {least} to {most}");
            }
        }
        let waits = [
            ("head_ms", self.head_ms),
            ("body_ms", self.body_ms),
            ("idle_ms", self.idle_ms),
        ];
        for (name, value) in waits {
            if !(MIN_WAIT_MS..=MAX_WAIT_MS).contains(&value) {
                bail!("{name} is {value}; expected {MIN_WAIT_MS} to {MAX_WAIT_MS}");
            }
        }
        if self.entry.is_empty() {
            bail!("entry is empty; expected a name");
        }
        Ok(())
    }
}
