//! A site on loopback, in one process: platform, upstreams, entries and a balancer.
//!
//! Every part but the entries is a stand-in; the sockets are real.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::Runtime;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use wigeonhinge::buffer::assess;
use wigeonhinge::config::Edit;
use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::ledger;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::settings as schema;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Answer;
use wigeonhinge_standin::caller::Balancer;
use wigeonhinge_standin::platform::Platform;
use wigeonhinge_standin::port::unused_address;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinge_standin::vms::State;
use wigeonhinged::Entry;
use wigeonhinged::Settings;
use wigeonhinged::Setup;
use wigeonhinged::peer::fingerprint;
use wigeonhinged::peer::generate_identity;
use wigeonhinged::platform::HttpPlatform;

use crate::owner::Owner;
use crate::submit;
use crate::submit::Outcome;

mod watch;

pub use crate::site::watch::Findings;
pub use crate::site::watch::Watch;

/// Entries of each availability zone.
const PER_ZONE: usize = 2;

/// Time that an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time that a task of a job runs.
const RUN_TIME: Duration = Duration::from_secs(1);

/// Time that a reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Time in which an edit has to be accepted.
const SUBMIT: Duration = Duration::from_secs(5);

/// Time in which a new entry has to be ready.
const READY: Duration = Duration::from_secs(10);

/// Time in which an admin port has to answer.
const ADMIN: Duration = Duration::from_secs(6);

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Seconds between "not ready" and the end of listening.
const DRAIN_SECS: u32 = 1;

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Owner of the fleet.
    pub owner: Owner,
    /// Fleet, with the addresses of the upstreams.
    pub fleet: Fleet,
    /// Platform.
    pub platform: Platform,
    /// Upstreams, in the order of the fleet.
    pub upstreams: Vec<Upstream>,
    /// Running entries.
    pub entries: Vec<Entry>,
    /// Balancer that callers use.
    pub balancer: Balancer,
    settings: Vec<Settings>,
}

impl Site {
    /// Starts every part; the fleet is not applied yet.
    ///
    /// # Errors
    ///
    /// Fails if no socket or thread is available.
    pub fn open(owner: Owner) -> Result<Self> {
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
        let settings = settings(owner, &platform)?;
        let entries = settings.iter().map(spawn).collect::<Result<Vec<_>>>()?;
        let balancer = Balancer::new(entries.iter().filter_map(Entry::address));
        Ok(Self {
            owner,
            fleet,
            platform,
            upstreams,
            entries,
            balancer,
            settings,
        })
    }

    /// Returns the settings of the entries, in the order they were started in.
    pub fn settings(&self) -> &[Settings] {
        &self.settings
    }

    /// Applies the fleet as an operator would; `base` is the revision in force.
    ///
    /// Each revision differs in the period of maintenance.
    ///
    /// # Errors
    ///
    /// Fails if the edit is not accepted.
    pub fn apply(&self, id: &str, base: u64) -> Result<()> {
        let mut fleet = self.fleet.clone();
        if let Some(rules) = &mut fleet.rules {
            rules.maintenance_days += u32::try_from(base)?;
        }
        let edit = Edit {
            id: id.into(),
            base,
            author: "operator".into(),
            reason: "site".into(),
            fleet,
        };
        let outcome = Runtime::new()?.block_on(async {
            let platform = HttpPlatform::new(&self.platform.base(), "operator")?;
            eyre::Ok(submit::submit(&platform, &edit, SUBMIT).await)
        })?;
        if outcome != Outcome::Accepted(base + 1) {
            bail!("the edit was not accepted: {outcome:?}");
        }
        Ok(())
    }

    /// Starts a successor of an entry, then stops the entry gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the successor cannot be started.
    pub fn replace(&mut self, index: usize) -> Result<()> {
        let mut raw = self.settings[index].raw.clone();
        raw.entry.push_str("-next");
        raw.peer = unused_address().to_string();
        let settings = Settings::check(raw)?;
        let entry = spawn(&settings)?;
        let (admin, address) = (entry.admin(), entry.address());
        let ready = || {
            admin
                .and_then(status)
                .is_some_and(|status| status["ready"] == true)
        };
        within(READY, "the successor is not ready", ready)?;
        if let Some(address) = address {
            self.balancer.add(address);
        }
        let old = std::mem::replace(&mut self.entries[index], entry);
        self.settings[index] = settings;
        if let Some(address) = old.address() {
            self.balancer.remove(address);
        }
        old.stop();
        Ok(())
    }

    /// Returns the admin addresses of the running entries.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(Entry::admin).collect()
    }

    /// Returns whether every entry is ready with a revision.
    pub fn in_force(&self, revision: u64) -> bool {
        self.admins().into_iter().all(|admin| {
            let status = status(admin).unwrap_or_default();
            status["revision"] == revision && status["ready"] == true
        })
    }

    /// Returns the ledger and its version, past the platform's HTTP form.
    pub fn ledger(&self) -> Option<(u64, Ledger)> {
        let state = self.platform.state();
        let (version, value) = state.store.get(&self.key())?;
        let document: ledger::Ledger = serde_json::from_value(value.clone()).ok()?;
        Some((version, Ledger::from_document(document)))
    }

    /// Returns whether every VM of the fleet is in service, and every entry knows it.
    pub fn in_service(&self) -> bool {
        let told = |admin| {
            status(admin)
                .is_some_and(|status| status["leaving"].as_array().is_some_and(Vec::is_empty))
        };
        self.active() && self.admins().into_iter().all(told)
    }

    fn active(&self) -> bool {
        self.ledger().is_some_and(|(_, ledger)| {
            let active = ledger.vms().iter().filter(|vm| vm.phase() == Phase::Active);
            active.count() == self.fleet.inventory.len()
        })
    }

    /// Writes the ledger if it still has a version.
    pub fn put_ledger(&self, version: u64, ledger: &Ledger) -> bool {
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
    pub fn key(&self) -> String {
        format!("ledger/{}", self.owner.region())
    }

    /// Takes the first entry out of the balancer and stops it gracefully.
    pub fn stop_first(&mut self) {
        let entry = self.entries.remove(0);
        self.settings.remove(0);
        if let Some(address) = entry.address() {
            self.balancer.remove(address);
        }
        entry.stop();
    }

    /// Submits a job to a pool, or asks for the state of one, at the last entry.
    pub fn ask_job(&self, path: &str, job: Option<&Job>) -> Option<String> {
        let admin = self.entries.last()?.admin()?;
        let (method, body) = match job {
            Some(job) => ("POST", serde_json::to_string(job).ok()?),
            None => ("GET", String::new()),
        };
        let length = body.len();
        let request = format!(
            "{method} /jobs/{path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        let answer = ask(admin, &request).ok()?;
        Some(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Returns the capacity held back beyond what is promised, in percent of the promise.
    pub fn buffer_cost(&self) -> f64 {
        let held = f64::from(assess(&self.fleet).held);
        let size = u32::try_from(self.fleet.inventory.len()).unwrap_or(u32::MAX);
        100.0 * held / (f64::from(size) - held)
    }
}

/// Reads the status document of an entry.
pub fn status(admin: SocketAddr) -> Option<serde_json::Value> {
    let answer = ask(admin, "GET /status HTTP/1.1\r\nhost: entry\r\n\r\n").ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails with `failure` once `limit` has passed.
pub fn within(limit: Duration, failure: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            bail!("{failure} after {} s", limit.as_secs());
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

/// Sends a request to an entry's admin port.
fn ask(admin: SocketAddr, request: &str) -> Result<Answer> {
    caller::send(admin, request.as_bytes(), ADMIN).wrap_err("admin port")
}

fn spawn(settings: &Settings) -> Result<Entry> {
    Entry::spawn(settings, Setup::default())
}

fn settings(owner: Owner, platform: &Platform) -> Result<Vec<Settings>> {
    let names = owner
        .zones()
        .iter()
        .flat_map(|zone| (1..=PER_ZONE).map(move |index| (format!("entry-{zone}-{index}"), *zone)));
    let names: Vec<(String, &str)> = names.collect();
    let identities = names
        .iter()
        .map(|(name, _)| generate_identity(name))
        .collect::<Result<Vec<_>>>()?;
    let trusted = identities
        .iter()
        .map(|identity| fingerprint(&identity.certificate))
        .collect::<Result<Vec<_>>>()?;
    let mut settings = Vec::new();
    for ((name, zone), identity) in names.into_iter().zip(identities) {
        let raw = schema::Settings {
            entry: name,
            zone: zone.to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            admin: "127.0.0.1:0".to_owned(),
            peer: unused_address().to_string(),
            platform: platform.base(),
            threads: 1,
            drain_secs: DRAIN_SECS,
            identity: Some(identity),
            trusted: trusted.clone(),
            ..schema::Settings::default()
        };
        settings.push(Settings::check(raw)?);
    }
    Ok(settings)
}
