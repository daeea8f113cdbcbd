//! Fleets of several sizes and a fake of store, VM list and workers in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::controller::Action;
use wigeonhinge::controller::Controller;
use wigeonhinge::controller::Input;
use wigeonhinge::controller::Order;
use wigeonhinge::controller::PlatformVmState;
use wigeonhinge::controller::Request;
use wigeonhinge::controller::Timing;
use wigeonhinge::controller::VmList;
use wigeonhinge::controller::WorkerReport;
use wigeonhinge::id::Time;
use wigeonhinge::id::VmId;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::fleet::Zone;
use wigeonhinge_schema::ledger::Phase;

use crate::owner::RACK_VMS;

/// Time from the order to reboot until the worker is healthy.
pub(crate) const REBOOT: Duration = Duration::from_secs(300);

/// Interval of the polls of the workers.
pub(crate) const POLL: Duration = Duration::from_secs(2);

/// Region of generated fleets.
const REGION: &str = "north";

/// Pools of a generated fleet.
const POOLS: usize = 20;

/// Returns a fleet of the two-year size or a multiple: 20 pools in 4 zones, each rack with VMs of
/// several pools in an order that the seed gives.
pub(crate) fn grown(workers: usize, seed: u64) -> Fleet {
    let zones = (0..4).map(|index| Zone {
        name: format!("zone-{index}"),
        region: REGION.into(),
    });
    let mut owners: Vec<usize> = (0..workers).map(|index| index % POOLS).collect();
    let mut rng = Pcg64::seed_from_u64(seed);
    for index in (1..owners.len()).rev() {
        owners.swap(index, rng.random_range(0..=index));
    }
    let inventory = owners.iter().enumerate().map(|(index, pool)| Vm {
        name: format!("vm-{index:04}"),
        pool: format!("pool-{pool:02}"),
        zone: format!("zone-{}", index / RACK_VMS % 4),
        rack: format!("rack-{:03}", index / RACK_VMS),
        cores: 16,
        ..Vm::default()
    });
    let pools = (0..POOLS).map(|index| grown_pool(index, workers));
    let rules = Rules {
        zones: zones.collect(),
        pools: pools.collect(),
        ..Rules::default()
    };
    Fleet {
        rules: Some(rules),
        inventory: inventory.collect(),
        ..Fleet::default()
    }
}

fn grown_pool(index: usize, workers: usize) -> Pool {
    let size = workers / POOLS + usize::from(index < workers % POOLS);
    let size = u32::try_from(size).unwrap_or(u32::MAX);
    let budget = (size / 5).max(1);
    let rack = u32::try_from(RACK_VMS).unwrap_or(u32::MAX);
    let spare = index == 0;
    let reserve = if spare { rack } else { 0 };
    Pool {
        name: format!("pool-{index:02}"),
        spare,
        max_unavailable: budget,
        promised: size.saturating_sub(budget + reserve),
        ..Pool::default()
    }
}

/// Store, VM list and workers of a region, and its controller.
pub(crate) struct Fake {
    /// Time since the Unix epoch.
    pub(crate) now: Time,
    /// Ledger in the store.
    pub(crate) ledger: Ledger,
    /// Writes to the store.
    pub(crate) writes: u64,
    /// Voluntary steps that broke a pool's budget or promise.
    pub(crate) violations: u64,
    /// Time that each decision took.
    pub(crate) decisions: Vec<Duration>,
    /// Requests for the next step.
    pub(crate) requests: Vec<Request>,
    fleet: Fleet,
    version: u64,
    list: VmList,
    hosts: BTreeMap<VmId, Host>,
    reports: BTreeMap<VmId, WorkerReport>,
    polled: Time,
    controller: Controller,
}

struct Host {
    report: WorkerReport,
    drain: Duration,
    idle: Time,
    boots: Option<Time>,
    lost: bool,
}

impl Fake {
    /// Returns a region whose VMs are all active; drains take from 2 to 15 s by the seed.
    pub(crate) fn new(fleet: Fleet, region: &str, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let hosts = fleet.inventory.iter().map(|vm| {
            let drain = Duration::from_millis(rng.random_range(2_000..15_000));
            (VmId::from(vm.name.as_str()), Host::new(drain))
        });
        let mut fake = Self {
            now: Duration::from_secs(1_000_000),
            ledger: Ledger::new(region),
            writes: 0,
            violations: 0,
            decisions: Vec::new(),
            requests: Vec::new(),
            hosts: hosts.collect(),
            fleet,
            version: 0,
            list: VmList::default(),
            reports: BTreeMap::new(),
            polled: Duration::ZERO,
            controller: Controller::new(region, "entry-1", Timing::default()),
        };
        while fake.active() < fake.fleet.inventory.len() {
            fake.tick(POLL);
        }
        fake.writes = 0;
        fake.decisions.clear();
        fake
    }

    /// Returns the number of active VMs.
    pub(crate) fn active(&self) -> usize {
        let vms = self.ledger.vms().iter();
        vms.filter(|vm| vm.phase() == Phase::Active).count()
    }

    /// Makes the VMs of a rack fail or return.
    pub(crate) fn set_rack(&mut self, rack: &str, lost: bool) {
        for vm in self.fleet.inventory.iter().filter(|vm| vm.rack == rack) {
            if let Some(host) = self.hosts.get_mut(vm.name.as_str()) {
                host.lost = lost;
            }
        }
    }

    /// Asks for a change.
    pub(crate) fn ask(&mut self, change: Change) {
        let (author, reason) = ("operator".into(), "measurement".into());
        self.requests.push(Request {
            author,
            reason,
            change,
        });
    }

    /// Passes time: workers, a poll when it is due, then decisions until nothing is left to write.
    pub(crate) fn tick(&mut self, time: Duration) {
        self.now += time;
        for host in self.hosts.values_mut() {
            host.tick(self.now);
        }
        if self.now - self.polled >= POLL {
            self.poll();
        }
        while self.decide() {}
        self.requests.clear();
    }

    fn poll(&mut self) {
        self.polled = self.now;
        self.list.as_of = self.now;
        for (name, host) in &self.hosts {
            let state = if host.lost {
                PlatformVmState::Gone
            } else {
                PlatformVmState::Live
            };
            self.list.vms.insert(name.clone(), state);
            if host.lost || host.boots.is_some() {
                continue;
            }
            let mut report = host.report;
            report.at = self.now;
            self.reports.insert(name.clone(), report);
        }
    }

    /// Takes one step of the controller; returns whether it wrote.
    fn decide(&mut self) -> bool {
        let start = Instant::now();
        let output = self.controller.step(&Input {
            now: self.now,
            fence: Some(1),
            ledger: Some((self.version, &self.ledger)),
            revision: 1,
            fleet: &self.fleet,
            list: &self.list,
            workers: &self.reports,
            requests: &self.requests,
        });
        self.decisions.push(start.elapsed());
        for order in output.orders {
            if let Some(host) = self.hosts.get_mut(&order.vm) {
                host.obey(&order, self.now);
            }
        }
        let Some(write) = output.write else {
            return false;
        };
        self.violations += violations(&self.ledger, &write.ledger);
        self.ledger = write.ledger;
        self.version += 1;
        self.writes += 1;
        true
    }
}

impl Host {
    fn new(drain: Duration) -> Self {
        let report = WorkerReport {
            healthy: true,
            ..WorkerReport::default()
        };
        Self {
            report,
            drain,
            idle: Duration::MAX,
            boots: None,
            lost: false,
        }
    }

    fn tick(&mut self, now: Time) {
        self.report.tasks = u32::from(self.idle > now);
        if self.lost || self.boots.is_none_or(|end| end > now) {
            return;
        }
        self.boots = None;
        self.idle = Duration::MAX;
        self.report.boot += 1;
        self.report.step = 0;
    }

    fn obey(&mut self, order: &Order, now: Time) {
        if self.lost || self.boots.is_some() || order.step < self.report.step {
            return;
        }
        self.report.step = order.step;
        match order.action {
            Action::Cordon => self.report.cordoned = true,
            Action::Drain => self.idle = now + self.drain,
            Action::Reboot => self.boots = Some(now + REBOOT),
            Action::Uncordon => {
                self.report.cordoned = false;
                self.idle = Duration::MAX;
            }
        }
    }
}

/// Counts the pools that a write takes VMs from by choice beyond their budget or promise.
fn violations(before: &Ledger, after: &Ledger) -> u64 {
    let mut broken = 0;
    for (pool, count) in after.counts() {
        let mut members = after.vms().iter().filter(|vm| vm.pool == pool.as_str());
        let taken = members.any(|vm| {
            let active = before
                .vm(&vm.name)
                .is_some_and(|vm| vm.phase() == Phase::Active);
            active && vm.phase() == Phase::Cordoned
        });
        let kept = count.unavailable() <= count.max_unavailable && count.active >= count.promised;
        broken += u64::from(taken && !kept);
    }
    broken
}
