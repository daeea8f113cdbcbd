//! Controller of a region's ledger, maintenance and moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::audit::Kind;
use wigeonhinge::audit::Record;
use wigeonhinge::controller;
use wigeonhinge::controller::Action;
use wigeonhinge::controller::Controller;
use wigeonhinge::controller::Input as Facts;
use wigeonhinge::controller::PlatformVmState;
use wigeonhinge::controller::VmList;
use wigeonhinge::controller::WorkerReport;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::VmId;
use wigeonhinge::lease::Lease;
use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::ledger;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::WaveState;

use crate::controllers::Orders;
use crate::controllers::unix;
use crate::controllers::value;
use crate::plane::Input;
use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::RegionView;
use crate::platform;
use crate::platform::KeyVersion;
use crate::platform::Swap;
use crate::platform::TaskState;
use crate::platform::VmState;
use crate::platform::WorkerCommand;
use crate::platform::WorkerState;

pub use wigeonhinge::controller::Timing;

/// Period of the controller's decisions.
const STEP: Duration = Duration::from_millis(300);

/// Period of the looks at the ledger's version and at the VM list.
const LOOK: Duration = Duration::from_secs(2);

/// Period of the reports of a worker that is out of service.
const CLOSE: Duration = Duration::from_secs(2);

/// Period of the reports of a worker in service.
const WIDE: Duration = Duration::from_secs(10);

/// Workers whose reports one call reads.
const CHUNK: usize = 64;

/// Time in which every entry has stopped sending requests to a VM out of service.
const LEAVE: Duration = Duration::from_secs(3);

/// Prefix of the ledgers in the store.
const LEDGERS: &str = "ledger/";

/// Controller of a region.
#[derive(Debug)]
pub(super) struct Fleet {
    region: RegionId,
    controller: Controller,
    config: Option<Arc<Config>>,
    ledger: Option<(u64, Ledger)>,
    /// Whether a read or a write of the ledger is outstanding.
    busy: bool,
    list: VmList,
    workers: BTreeMap<VmId, WorkerReport>,
    polled: BTreeMap<VmId, Time>,
    /// Workers whose reports were asked for, with or without an answer.
    asked: BTreeSet<VmId>,
    /// VMs out of service that still have requests, by any entry's word.
    serving: BTreeSet<VmId>,
    /// Since when each VM is out of service, as this controller saw it.
    since: BTreeMap<VmId, Time>,
    /// Wave as this controller saw it last.
    wave: Option<Seen>,
    orders: Orders<Purpose>,
    looked: Option<Time>,
    stepped: Time,
}

/// Identifier and state of the wave, `None` without a wave.
type Seen = Option<(String, WaveState)>;

/// What an order is for.
#[derive(Debug)]
enum Purpose {
    Read,
    Write(Box<controller::Write>),
    Versions,
    Vms,
    Reports(Time, Vec<VmId>),
    Command,
}

impl Fleet {
    pub(super) fn new(region: &str, entry: &str, timing: Timing) -> Self {
        Self {
            region: region.into(),
            controller: Controller::new(region, entry, timing),
            config: None,
            ledger: None,
            busy: false,
            list: VmList::default(),
            workers: BTreeMap::new(),
            polled: BTreeMap::new(),
            asked: BTreeSet::new(),
            serving: BTreeSet::new(),
            since: BTreeMap::new(),
            wave: None,
            orders: Orders::new(),
            looked: None,
            stepped: Time::ZERO,
        }
    }

    /// Takes an event and returns the orders that follow.
    pub(super) fn handle(&mut self, input: Input, lease: Lease, now: Time) -> Vec<(u64, Order)> {
        match input {
            Input::Adopted(config) => {
                self.config = Some(config);
                self.spread(now);
            }
            Input::Busy(vms) => self.serving = vms,
            Input::Tick => self.tick(lease, now),
            Input::Done(number, outcome) => {
                if let Some(purpose) = self.orders.close(number) {
                    self.done(purpose, Some(outcome), now);
                }
            }
            Input::Gained(_) | Input::Regions(_) | Input::Ask(..) => {}
        }
        self.orders.take()
    }

    fn tick(&mut self, lease: Lease, now: Time) {
        for purpose in self.orders.expire(now) {
            self.done(purpose, None, now);
        }
        if self.looked.is_none_or(|looked| looked + LOOK <= now) {
            self.looked = Some(now);
            self.orders
                .give(Order::List(LEDGERS.to_owned()), Purpose::Versions, now);
            self.orders.give(Order::Vms, Purpose::Vms, now);
        }
        if self.ledger.is_none() && !self.busy {
            self.busy = true;
            self.orders.give(Order::Get(self.key()), Purpose::Read, now);
        }
        self.poll(now);
        if self.stepped + STEP <= now {
            self.stepped = now;
            self.step(lease, now);
        }
    }

    /// Lets the library decide, and carries out what it decided.
    fn step(&mut self, lease: Lease, now: Time) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(fleet) = &config.fleet else {
            return;
        };
        let ledger = match &self.ledger {
            Some((version, ledger)) if !self.busy && self.informed(ledger) => {
                Some((*version, ledger))
            }
            _ => None,
        };
        let output = self.controller.step(&Facts {
            now: unix(),
            fence: Some(lease.fence()),
            ledger,
            revision: config.revision,
            fleet,
            list: &self.list,
            workers: &self.workers,
            requests: &[],
        });
        for order in output.orders {
            let command = Order::Worker(order.vm, command(order.action), order.step);
            self.orders.give(command, Purpose::Command, now);
        }
        if let Some(write) = output.write
            && let Ok(document) = serde_json::to_value(write.ledger.document())
        {
            self.busy = true;
            let order = Order::Put(self.key(), document, write.expect, false);
            self.orders
                .give(order, Purpose::Write(Box::new(write)), now);
        }
    }

    /// Returns whether every worker of the ledger was asked for a report.
    ///
    /// A new holder of the role has no reports yet; without this it would take
    /// the workers that it has not asked for failed ones.
    fn informed(&self, ledger: &Ledger) -> bool {
        ledger
            .vms()
            .iter()
            .all(|vm| self.asked.contains(vm.name.as_str()))
    }

    /// Reads the reports of the workers that are due.
    fn poll(&mut self, now: Time) {
        let Some((_, ledger)) = &self.ledger else {
            return;
        };
        let due = |name: &VmId, active: bool| {
            let period = if active { WIDE } else { CLOSE };
            self.polled
                .get(name)
                .is_none_or(|polled| *polled + period <= now)
        };
        let vms: Vec<VmId> = ledger
            .vms()
            .iter()
            .map(|vm| (VmId::from(&vm.name), vm.phase() == Phase::Active))
            .filter(|(name, active)| due(name, *active))
            .map(|(name, _)| name)
            .take(CHUNK)
            .collect();
        if vms.is_empty() {
            return;
        }
        self.polled
            .extend(vms.iter().map(|name| (name.clone(), now)));
        let purpose = Purpose::Reports(unix(), vms.clone());
        self.orders.give(Order::Workers(vms), purpose, now);
    }

    fn done(&mut self, purpose: Purpose, outcome: Option<Outcome>, now: Time) {
        match purpose {
            Purpose::Read => {
                self.busy = false;
                if let Some(found) = outcome.and_then(value) {
                    self.read(found, now);
                }
            }
            Purpose::Write(write) => {
                self.busy = false;
                match outcome {
                    Some(Outcome::Swapped(Swap::Done(version))) => self.wrote(*write, version, now),
                    // Overtaken, or lost: the store tells what holds.
                    _ => self.ledger = None,
                }
            }
            Purpose::Versions => {
                if let Some(Outcome::Listed(items)) = outcome {
                    self.compare(&items);
                }
            }
            Purpose::Vms => {
                if let Some(Outcome::Vms(list)) = outcome {
                    self.list = read_list(&list);
                }
            }
            Purpose::Reports(at, vms) => {
                self.asked.extend(vms);
                if let Some(Outcome::Workers(reports)) = outcome {
                    self.reports(&reports, at, now);
                }
            }
            Purpose::Command => {}
        }
    }

    fn read(&mut self, found: Option<(u64, serde_json::Value)>, now: Time) {
        let read = match found {
            None => Some((0, Ledger::new(&self.region))),
            Some((version, value)) => serde_json::from_value::<ledger::Ledger>(value)
                .ok()
                .map(|document| (version, Ledger::from_document(document))),
        };
        self.ledger = read;
        self.audit_wave();
        self.spread(now);
    }

    /// Records a change of the wave that an operator made in the ledger.
    fn audit_wave(&mut self) {
        let Some((version, ledger)) = &self.ledger else {
            return;
        };
        let seen = seen(ledger);
        let before = self.wave.replace(seen.clone());
        if before.is_none() || before == Some(seen) {
            return;
        }
        if let Some(wave) = ledger.wave() {
            let state = wave.state().as_str_name().to_lowercase();
            let record = Record {
                id: format!("wave-{}-{version}", self.region),
                at_ms: u64::try_from(unix().as_millis()).unwrap_or(u64::MAX),
                who: wave.author.clone(),
                kind: Kind::WaveStep.into(),
                subject: format!("wave {} of region {}", wave.id, self.region),
                old_revision: ledger.document().revision,
                new_revision: ledger.document().revision,
                reason: format!("set to {state} by an operator: {}", wave.reason),
            };
            self.orders.tell(Order::Audit(vec![record]));
        }
    }

    fn wrote(&mut self, write: controller::Write, version: u64, now: Time) {
        self.wave = Some(seen(&write.ledger));
        self.ledger = Some((version, write.ledger));
        self.orders.tell(Order::Audit(write.records));
        self.spread(now);
    }

    /// Reads the ledger again once another writer has changed it.
    fn compare(&mut self, items: &[KeyVersion]) {
        let key = self.key();
        let listed = items
            .iter()
            .find(|item| item.key == key)
            .map_or(0, |item| item.version);
        if self
            .ledger
            .as_ref()
            .is_some_and(|(version, _)| *version != listed)
            && !self.busy
        {
            self.ledger = None;
        }
    }

    /// Tells every entry which VMs are out of service.
    fn spread(&mut self, now: Time) {
        let (Some(config), Some((version, ledger))) = (&self.config, &self.ledger) else {
            return;
        };
        let fleet = config.fleet.clone().unwrap_or_default();
        let view = RegionView::new(ledger.document(), *version, &fleet);
        self.since.retain(|vm, _| view.inactive.contains(vm));
        for vm in &view.inactive {
            self.since.entry(vm.clone()).or_insert(now);
        }
        self.orders.tell(Order::Spread(view));
    }

    fn reports(&mut self, reports: &platform::WorkerList, at: Time, now: Time) {
        for report in &reports.workers {
            let running = report
                .tasks
                .iter()
                .filter(|task| task.state == TaskState::Running);
            let told = self
                .since
                .get(&report.vm)
                .is_none_or(|since| *since + LEAVE <= now);
            let serving = !told || self.serving.contains(&report.vm);
            let worker = WorkerReport {
                at,
                healthy: !matches!(report.state, WorkerState::Rebooting | WorkerState::Broken),
                cordoned: report.state != WorkerState::Up,
                tasks: u32::try_from(running.count()).unwrap_or(u32::MAX) + u32::from(serving),
                boot: report.boot,
                step: report.step,
            };
            self.workers.insert(report.vm.clone(), worker);
        }
    }

    fn key(&self) -> String {
        format!("{LEDGERS}{}", self.region)
    }
}

fn seen(ledger: &Ledger) -> Seen {
    ledger.wave().map(|wave| (wave.id.clone(), wave.state()))
}

fn command(action: Action) -> WorkerCommand {
    match action {
        Action::Cordon => WorkerCommand::Cordon,
        Action::Drain => WorkerCommand::Drain,
        Action::Reboot => WorkerCommand::Reboot,
        Action::Uncordon => WorkerCommand::Uncordon,
    }
}

fn read_list(list: &platform::VmList) -> VmList {
    let state = |state| match state {
        VmState::Live => PlatformVmState::Live,
        VmState::Leaving => PlatformVmState::Leaving,
        VmState::Gone => PlatformVmState::Gone,
    };
    VmList {
        as_of: Duration::from_millis(list.as_of_ms),
        vms: list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), state(vm.state)))
            .collect(),
    }
}
