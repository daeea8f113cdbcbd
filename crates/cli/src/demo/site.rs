//! The parts of the demonstration: platform, upstreams, entries, balancer.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::ledger;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::settings;
use wigeonhinge_standin::caller::Balancer;
use wigeonhinge_standin::platform::Platform;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinge_standin::vms::State;
use wigeonhinged::Entry;
use wigeonhinged::Settings;
use wigeonhinged::Setup;
use wigeonhinged::peer::fingerprint;
use wigeonhinged::peer::identity;

use crate::demo::ask;
use crate::demo::text;
use crate::owner::Owner;

/// Entries of each availability zone.
const PER_ZONE: usize = 2;

/// Time that an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time that a task of a job runs.
const RUN_TIME: Duration = Duration::from_secs(1);

/// Time that a reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Seconds between "not ready" and the end of listening.
const DRAIN_SECS: u32 = 1;

/// A running site.
pub(super) struct Site {
    pub(super) owner: Owner,
    pub(super) fleet: Fleet,
    pub(super) platform: Platform,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) entries: Vec<Entry>,
    pub(super) balancer: Balancer,
}

impl Site {
    /// Starts every part.
    pub(super) fn open(owner: Owner) -> Result<Self> {
        let platform = Platform::spawn()?;
        let mut fleet = owner.fleet();
        let mut upstreams = Vec::new();
        for described in &mut fleet.upstreams {
            let upstream = Upstream::spawn()?;
            upstream.behave(Behaviour {
                delay: SERVICE_TIME,
                ..Behaviour::default()
            });
            described.address = upstream.address().to_string();
            upstreams.push(upstream);
        }
        {
            let mut state = platform.state();
            state.workers.run_time = Some(RUN_TIME);
            for vm in &fleet.inventory {
                state.workers.add(&vm.name);
                state.workers.reboot_time(&vm.name, REBOOT_TIME);
                state.vms.set(&vm.name, State::Live, Instant::now());
            }
        }
        let entries = entries(owner, &platform)?;
        let balancer = Balancer::new(entries.iter().filter_map(Entry::address));
        Ok(Self {
            owner,
            fleet,
            platform,
            upstreams,
            entries,
            balancer,
        })
    }

    /// Returns the admin addresses of the running entries.
    pub(super) fn admins(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(Entry::admin).collect()
    }

    /// Returns whether every entry is ready with a revision.
    pub(super) fn in_force(&self, revision: u64) -> bool {
        self.admins().into_iter().all(|admin| {
            let status = status(admin).unwrap_or_default();
            status["revision"] == revision && status["ready"] == true
        })
    }

    /// Returns the ledger and its version, past the platform's HTTP form.
    pub(super) fn ledger(&self) -> Option<(u64, Ledger)> {
        let state = self.platform.state();
        let (version, value) = state.store.get(&self.key())?;
        let document: ledger::Ledger = serde_json::from_value(value.clone()).ok()?;
        Some((version, Ledger::from_document(document)))
    }

    /// Returns whether every VM of the fleet is in service.
    pub(super) fn in_service(&self) -> bool {
        self.ledger().is_some_and(|(_, ledger)| {
            let active = ledger.vms().iter().filter(|vm| vm.phase() == Phase::Active);
            active.count() == self.fleet.inventory.len()
        })
    }

    /// Writes the ledger if it still has a version.
    pub(super) fn put_ledger(&self, version: u64, ledger: &Ledger) -> bool {
        let Ok(value) = serde_json::to_value(ledger.document()) else {
            return false;
        };
        self.platform
            .state()
            .store
            .put(&self.key(), value, version, None)
            .is_ok()
    }

    /// Returns the store key of the ledger.
    pub(super) fn key(&self) -> String {
        format!("ledger/{}", self.owner.region())
    }

    /// Takes the first entry out of the balancer and stops it gracefully.
    pub(super) fn stop_first(&mut self) {
        let entry = self.entries.remove(0);
        if let Some(address) = entry.address() {
            self.balancer.remove(address);
        }
        entry.stop();
    }

    /// Submits a job to a pool, or asks for the state of one, at the last entry.
    pub(super) fn ask_job(&self, path: &str, job: Option<&Job>) -> Option<String> {
        let admin = self.entries.last()?.admin()?;
        let (method, body) = match job {
            Some(job) => ("POST", serde_json::to_string(job).ok()?),
            None => ("GET", String::new()),
        };
        let length = body.len();
        let request = format!(
            "{method} /jobs/{path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        Some(text(&ask(admin, &request).ok()?))
    }

    /// Returns the share of VMs held back beyond what is promised, in percent.
    pub(super) fn buffer_cost(&self) -> f64 {
        let pools = self.fleet.rules.iter().flat_map(|rules| &rules.pools);
        let promised: u32 = pools.map(|pool| pool.promised).sum();
        let size = u32::try_from(self.fleet.inventory.len()).unwrap_or(u32::MAX);
        100.0 * f64::from(size - promised) / f64::from(promised.max(1))
    }
}

/// Reads the status document of an entry.
pub(super) fn status(admin: SocketAddr) -> Option<serde_json::Value> {
    let answer = ask(admin, "GET /status HTTP/1.1\r\nhost: entry\r\n\r\n").ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn entries(owner: Owner, platform: &Platform) -> Result<Vec<Entry>> {
    let names = owner
        .zones()
        .iter()
        .flat_map(|zone| (1..=PER_ZONE).map(move |index| (format!("entry-{zone}-{index}"), *zone)));
    let names: Vec<(String, &str)> = names.collect();
    let identities = names
        .iter()
        .map(|(name, _)| identity(name))
        .collect::<Result<Vec<_>>>()?;
    let trusted = identities
        .iter()
        .map(|identity| fingerprint(&identity.certificate))
        .collect::<Result<Vec<_>>>()?;
    let mut entries = Vec::new();
    for ((name, zone), identity) in names.into_iter().zip(identities) {
        let raw = settings::Settings {
            entry: name,
            zone: zone.to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            admin: "127.0.0.1:0".to_owned(),
            peer: free_port()?.to_string(),
            platform: platform.base(),
            threads: 1,
            drain_secs: DRAIN_SECS,
            identity: Some(identity),
            trusted: trusted.clone(),
            ..settings::Settings::default()
        };
        entries.push(Entry::spawn(&Settings::check(raw)?, Setup::default())?);
    }
    Ok(entries)
}

/// Returns a UDP address of loopback that is free now.
fn free_port() -> Result<SocketAddr> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?)
}
