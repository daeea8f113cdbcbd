//! Settings of an entry on the users' platform.

use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

/// Settings; `deploy/settings.jsonc` is the template that the platform fills in.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of the entry.
    pub entry: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's checks.
    pub readiness: SocketAddr,
    /// Address for metrics and operators; none if absent.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the service that manages machines; none if there is none.
    pub machines: Option<SocketAddr>,
    /// Orders to machines that the service accepts a second; 64 if absent.
    #[serde(default = "orders_per_s")]
    pub machine_orders: f64,
    /// Address of the service that advises on placement; none if there is none.
    pub advice: Option<SocketAddr>,
    /// Processor time that the entry may use, in cores; 1 if absent.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Bounds of the platform.
    pub bounds: Bounds,
}

fn orders_per_s() -> f64 {
    64.0
}

fn one_core() -> f64 {
    1.0
}

/// Bounds of the platform, in milliseconds if not said otherwise.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease_ms: f64,
    /// Time for which a job's state is kept, in seconds.
    pub retention_secs: f64,
    /// Time that a move takes, in seconds.
    pub migrate_secs: f64,
    /// Time that maintenance takes, in seconds.
    pub maintenance_secs: f64,
    /// Time within which two holders must not take turns with machine orders.
    pub order_lease_ms: f64,
    /// Time after which an unavailable lasting task counts as absent.
    pub notice_ms: f64,
    /// Shortest lease of the store.
    pub shortest_lease_ms: f64,
}

impl Settings {
    /// Reads a settings file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and names the place of a fault.
    pub fn open(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read the settings {}", path.display()))?;
        let settings: Self = parse_to_serde_value(&text, &ParseOptions::default())
            .wrap_err_with(|| format!("the settings {} are wrong", path.display()))?;
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
        ];
        for (name, value) in times {
            if !(0.0..=1e9).contains(&value) {
                bail!("{name} is {value}; expected a time from 0 to 1e9");
            }
        }
        if !(self.cores > 0.0 && self.cores <= 1e4) {
            bail!("cores is {}; expected more than 0, at most 1e4", self.cores);
        }
        if !(self.machine_orders > 0.0 && self.machine_orders <= 1e6) {
            let value = self.machine_orders;
            bail!("machine_orders is {value}; expected more than 0, at most 1e6 a second");
        }
        if self.entry.is_empty() {
            bail!("entry is empty; expected a name");
        }
        Ok(())
    }
}
