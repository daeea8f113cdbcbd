//! Controller of the role `fleet/REGION`: ledger, maintenance and moves of a region.

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
use wigeonhinge::controller::Input as StepInput;
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

use crate::controllers::OrderQueue;
use crate::controllers::read_value;
use crate::controllers::unix_now;
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

/// Interval between steps of the controller.
const STEP_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between reads of the ledger's version and of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between reports of a worker whose VM is out of service.
const INACTIVE_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between reports of a worker whose VM is in service.
const ACTIVE_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Largest number of workers whose reports one call reads.
const MAX_REPORTS_PER_CALL: usize = 64;

/// Time after which every entry has stopped sending requests to a VM that is out of service.
const ROUTING_DELAY: Duration = Duration::from_secs(3);

/// Prefix of the store keys of the ledgers.
const LEDGER_PREFIX: &str = "ledger/";

/// Controller of one region.
#[derive(Debug)]
pub(super) struct Fleet {
    region: RegionId,
    controller: Controller,
    config: Option<Arc<Config>>,
    /// Ledger with the version of its key; `None` while it has to be read.
    ledger: Option<(u64, Ledger)>,
    /// Whether a read or a write of the ledger is in flight.
    ledger_pending: bool,
    list: VmList,
    workers: BTreeMap<VmId, WorkerReport>,
    /// Time at which the report of each worker was last requested.
    report_requested: BTreeMap<VmId, Time>,
    /// Workers for which a request for a report has ended, with or without an answer.
    polled: BTreeSet<VmId>,
    /// VMs out of service at which any live entry still has requests.
    serving: BTreeSet<VmId>,
    /// Time at which this controller first saw each VM out of service.
    inactive_since: BTreeMap<VmId, Time>,
    /// Status of the wave when the ledger was last read or written; `None` before the first read.
    last_wave: Option<WaveStatus>,
    orders: OrderQueue<Purpose>,
    last_list: Option<Time>,
    last_step: Time,
}

/// Identifier and state of the wave; `None` if there is no wave.
type WaveStatus = Option<(String, WaveState)>;

/// Purpose of an order.
#[derive(Debug)]
enum Purpose {
    Read,
    Write(Box<controller::Write>),
    Versions,
    Vms,
    /// Reads the reports of these workers, requested at this time since the Unix epoch.
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
            ledger_pending: false,
            list: VmList::default(),
            workers: BTreeMap::new(),
            report_requested: BTreeMap::new(),
            polled: BTreeSet::new(),
            serving: BTreeSet::new(),
            inactive_since: BTreeMap::new(),
            last_wave: None,
            orders: OrderQueue::new(),
            last_list: None,
            last_step: Time::ZERO,
        }
    }

    /// Handles an event and returns the orders that result from it.
    pub(super) fn handle(&mut self, input: Input, lease: Lease, now: Time) -> Vec<(u64, Order)> {
        match input {
            Input::Adopted(config) => {
                self.config = Some(config);
                self.publish_view(now);
            }
            Input::Busy(vms) => self.serving = vms,
            Input::Tick => self.tick(lease, now),
            Input::Done(number, outcome) => {
                if let Some(purpose) = self.orders.complete(number) {
                    self.complete(purpose, Some(outcome), now);
                }
            }
            Input::Gained(_) | Input::Regions(_) | Input::Job(..) => {}
        }
        self.orders.take()
    }

    fn tick(&mut self, lease: Lease, now: Time) {
        for purpose in self.orders.expire(now) {
            self.complete(purpose, None, now);
        }
        if self
            .last_list
            .is_none_or(|last| last + LIST_INTERVAL <= now)
        {
            self.last_list = Some(now);
            self.orders.issue(
                Order::List(LEDGER_PREFIX.to_owned()),
                Purpose::Versions,
                now,
            );
            self.orders.issue(Order::Vms, Purpose::Vms, now);
        }
        if self.ledger.is_none() && !self.ledger_pending {
            self.ledger_pending = true;
            self.orders
                .issue(Order::Get(self.ledger_key()), Purpose::Read, now);
        }
        self.request_reports(now);
        if self.last_step + STEP_INTERVAL <= now {
            self.last_step = now;
            self.step(lease, now);
        }
    }

    /// Runs one step of the library's controller and issues the resulting orders.
    ///
    /// The ledger is withheld from the step while it is being read or written, or while
    /// reports of workers are missing.
    fn step(&mut self, lease: Lease, now: Time) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(fleet) = &config.fleet else {
            return;
        };
        let ledger = match &self.ledger {
            Some((version, ledger)) if !self.ledger_pending && self.all_polled(ledger) => {
                Some((*version, ledger))
            }
            _ => None,
        };
        let output = self.controller.step(&StepInput {
            now: unix_now(),
            fence: Some(lease.fence()),
            ledger,
            revision: config.revision,
            fleet,
            list: &self.list,
            workers: &self.workers,
            requests: &[],
        });
        for order in output.orders {
            let command = Order::Worker(order.vm, worker_command(order.action), order.step);
            self.orders.issue(command, Purpose::Command, now);
        }
        if let Some(write) = output.write
            && let Ok(document) = serde_json::to_value(write.ledger.document())
        {
            self.ledger_pending = true;
            let order = Order::Put(self.ledger_key(), document, write.expect, false);
            self.orders
                .issue(order, Purpose::Write(Box::new(write)), now);
        }
    }

    /// Returns whether a request for the report of every worker in the ledger has ended.
    ///
    /// A new holder of the role has no reports yet; without this check it would treat
    /// workers whose reports it has not requested as failed.
    fn all_polled(&self, ledger: &Ledger) -> bool {
        ledger
            .vms()
            .iter()
            .all(|vm| self.polled.contains(vm.name.as_str()))
    }

    /// Requests the reports of the workers that are due.
    fn request_reports(&mut self, now: Time) {
        let Some((_, ledger)) = &self.ledger else {
            return;
        };
        let due = |name: &VmId, active: bool| {
            let period = if active {
                ACTIVE_REPORT_INTERVAL
            } else {
                INACTIVE_REPORT_INTERVAL
            };
            self.report_requested
                .get(name)
                .is_none_or(|requested| *requested + period <= now)
        };
        let vms: Vec<VmId> = ledger
            .vms()
            .iter()
            .map(|vm| (VmId::from(&vm.name), vm.phase() == Phase::Active))
            .filter(|(name, active)| due(name, *active))
            .map(|(name, _)| name)
            .take(MAX_REPORTS_PER_CALL)
            .collect();
        if vms.is_empty() {
            return;
        }
        self.report_requested
            .extend(vms.iter().map(|name| (name.clone(), now)));
        let purpose = Purpose::Reports(unix_now(), vms.clone());
        self.orders.issue(Order::Workers(vms), purpose, now);
    }

    fn complete(&mut self, purpose: Purpose, outcome: Option<Outcome>, now: Time) {
        match purpose {
            Purpose::Read => {
                self.ledger_pending = false;
                if let Some(found) = outcome.and_then(read_value) {
                    self.ledger_read(found, now);
                }
            }
            Purpose::Write(write) => {
                self.ledger_pending = false;
                match outcome {
                    Some(Outcome::Swapped(Swap::Done(version))) => {
                        self.ledger_written(*write, version, now)
                    }
                    // Another writer was first or the answer was lost: read the stored ledger.
                    _ => self.ledger = None,
                }
            }
            Purpose::Versions => {
                if let Some(Outcome::Listed(items)) = outcome {
                    self.check_version(&items);
                }
            }
            Purpose::Vms => {
                if let Some(Outcome::Vms(list)) = outcome {
                    self.list = vm_list(&list);
                }
            }
            Purpose::Reports(at, vms) => {
                self.polled.extend(vms);
                if let Some(Outcome::Workers(reports)) = outcome {
                    self.update_reports(&reports, at, now);
                }
            }
            Purpose::Command => {}
        }
    }

    fn ledger_read(&mut self, found: Option<(u64, serde_json::Value)>, now: Time) {
        let read = match found {
            None => Some((0, Ledger::new(&self.region))),
            Some((version, value)) => serde_json::from_value::<ledger::Ledger>(value)
                .ok()
                .map(|document| (version, Ledger::from_document(document))),
        };
        self.ledger = read;
        self.audit_wave();
        self.publish_view(now);
    }

    /// Adds an audit record if an operator has changed the wave in the ledger.
    fn audit_wave(&mut self) {
        let Some((version, ledger)) = &self.ledger else {
            return;
        };
        let status = wave_status(ledger);
        let before = self.last_wave.replace(status.clone());
        if before.is_none() || before == Some(status) {
            return;
        }
        if let Some(wave) = ledger.wave() {
            let state = wave.state().as_str_name().to_lowercase();
            let record = Record {
                id: format!("wave-{}-{version}", self.region),
                at_ms: u64::try_from(unix_now().as_millis()).unwrap_or(u64::MAX),
                who: wave.author.clone(),
                kind: Kind::WaveStep.into(),
                subject: format!("wave {} of region {}", wave.id, self.region),
                old_revision: ledger.document().revision,
                new_revision: ledger.document().revision,
                reason: format!("set to {state} by an operator: {}", wave.reason),
            };
            self.orders
                .issue_without_outcome(Order::Audit(vec![record]));
        }
    }

    fn ledger_written(&mut self, write: controller::Write, version: u64, now: Time) {
        self.last_wave = Some(wave_status(&write.ledger));
        self.ledger = Some((version, write.ledger));
        self.orders
            .issue_without_outcome(Order::Audit(write.records));
        self.publish_view(now);
    }

    /// Discards the ledger, so that it is read again, if another writer has changed it.
    fn check_version(&mut self, items: &[KeyVersion]) {
        let key = self.ledger_key();
        let listed = items
            .iter()
            .find(|item| item.key == key)
            .map_or(0, |item| item.version);
        if self
            .ledger
            .as_ref()
            .is_some_and(|(version, _)| *version != listed)
            && !self.ledger_pending
        {
            self.ledger = None;
        }
    }

    /// Publishes to every entry which VMs are out of service.
    fn publish_view(&mut self, now: Time) {
        let (Some(config), Some((version, ledger))) = (&self.config, &self.ledger) else {
            return;
        };
        let fleet = config.fleet.clone().unwrap_or_default();
        let view = RegionView::new(ledger.document(), *version, &fleet);
        self.inactive_since
            .retain(|vm, _| view.inactive.contains(vm));
        for vm in &view.inactive {
            self.inactive_since.entry(vm.clone()).or_insert(now);
        }
        self.orders.issue_without_outcome(Order::Publish(view));
    }

    fn update_reports(&mut self, reports: &platform::WorkerList, at: Time, now: Time) {
        for report in &reports.workers {
            let running = report
                .tasks
                .iter()
                .filter(|task| task.state == TaskState::Running);
            let rerouted = self
                .inactive_since
                .get(&report.vm)
                .is_none_or(|since| *since + ROUTING_DELAY <= now);
            let serving = !rerouted || self.serving.contains(&report.vm);
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

    fn ledger_key(&self) -> String {
        format!("{LEDGER_PREFIX}{}", self.region)
    }
}

fn wave_status(ledger: &Ledger) -> WaveStatus {
    ledger.wave().map(|wave| (wave.id.clone(), wave.state()))
}

fn worker_command(action: Action) -> WorkerCommand {
    match action {
        Action::Cordon => WorkerCommand::Cordon,
        Action::Drain => WorkerCommand::Drain,
        Action::Reboot => WorkerCommand::Reboot,
        Action::Uncordon => WorkerCommand::Uncordon,
    }
}

fn vm_list(list: &platform::VmList) -> VmList {
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
