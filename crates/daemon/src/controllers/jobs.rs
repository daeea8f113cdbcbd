//! Controller of the role `jobs/POOL`, which schedules the jobs of a pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::audit::Kind;
use wigeonhinge::audit::Record;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::PoolId;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::VmId;
use wigeonhinge::lease::Lease;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::Scheduler;
use wigeonhinge::scheduler::Task;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::jobs::Snapshot;
use wigeonhinge_schema::ledger;

use crate::controllers::OrderQueue;
use crate::controllers::jobs::recovery::Recovery;
use crate::controllers::jobs::wire::job_answer;
use crate::controllers::jobs::wire::job_event;
use crate::controllers::jobs::wire::millis;
use crate::controllers::jobs::wire::task_order;
use crate::controllers::jobs::wire::task_reply;
use crate::controllers::jobs::wire::vm_phases;
use crate::controllers::jobs::wire::worker_region;
use crate::controllers::jobs::wire::worker_report;
use crate::controllers::read_value;
use crate::controllers::unix_now;
use crate::plane::Input;
use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::RegionView;
use crate::platform;
use crate::platform::Swap;

mod recovery;
mod wire;

/// Interval between reads of the reports of the pool's workers.
///
/// With 41 workers in a pool and 400 bytes for each report, the reads stay below 16 KB/s.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Controller of the jobs of one pool.
#[derive(Debug)]
pub(super) struct Jobs {
    pool: PoolId,
    entry: EntryId,
    scheduler: Scheduler,
    config: Option<Arc<Config>>,
    regions: Arc<BTreeMap<RegionId, RegionView>>,
    vms: Vec<VmId>,
    /// Boot number in the last report of each worker.
    boots: BTreeMap<VmId, u64>,
    /// Lease that the scheduler was last informed of.
    lease: Option<Lease>,
    orders: OrderQueue<Purpose>,
    recovery: Option<Recovery>,
    /// Number of audit records written, part of their identifiers.
    record_count: u64,
    last_poll: Option<Time>,
}

/// Purpose of an order.
#[derive(Debug)]
enum Purpose {
    /// Writes the batch at this position of the log.
    Append(u64),
    /// Reads this position of the log.
    Read(u64),
    Recover,
    /// Reads the stored snapshot, which this snapshot then replaces unless the stored one is
    /// newer. Positions of the log up to the number are removed afterwards.
    ReadSnapshot(Box<Snapshot>, u64),
    /// Writes a snapshot; positions of the log up to this one are removed afterwards.
    WriteSnapshot(u64),
    /// Lists the positions of the log; those up to this one are then removed.
    ListLog(u64),
    /// Nothing follows from the outcome.
    NoFollowUp,
    Command(VmId, Task, Command),
    Reports,
    /// Reads the ledger at this key in order to quarantine a worker for this reason.
    ReadLedger(String, VmId, String),
}

impl Jobs {
    pub(super) fn new(pool: PoolId, entry: EntryId) -> Self {
        let epoch = u64::try_from(unix_now().as_millis()).unwrap_or(u64::MAX);
        Self {
            scheduler: Scheduler::new(pool.clone(), entry.clone(), epoch),
            pool,
            entry,
            config: None,
            regions: Arc::default(),
            vms: Vec::new(),
            boots: BTreeMap::new(),
            lease: None,
            orders: OrderQueue::new(),
            recovery: None,
            record_count: 0,
            last_poll: None,
        }
    }

    /// Handles an event and returns the orders that result from it.
    pub(super) fn handle(&mut self, input: Input, lease: Lease, now: Time) -> Vec<(u64, Order)> {
        if self.lease != Some(lease) {
            self.lease = Some(lease);
            let (fence, until) = (lease.fence(), lease.deadline());
            self.feed(Event::Lease { fence, until }, now);
        }
        match input {
            Input::Gained(_) | Input::Busy(_) => {}
            Input::Adopted(config) => {
                self.config = Some(config);
                self.update_vms(now);
            }
            Input::Regions(regions) => {
                self.regions = regions;
                self.update_vms(now);
            }
            Input::Tick => self.tick(now),
            Input::Done(number, outcome) => {
                if let Some(purpose) = self.orders.complete(number) {
                    self.complete(purpose, Some(outcome), now);
                }
            }
            Input::Job(ticket, ask) => self.feed(job_event(ticket, ask), now),
        }
        self.orders.take()
    }

    fn tick(&mut self, now: Time) {
        for purpose in self.orders.expire(now) {
            self.complete(purpose, None, now);
        }
        self.feed(Event::Tick, now);
        let due = self
            .last_poll
            .is_none_or(|last| last + REPORT_INTERVAL <= now);
        if due && !self.vms.is_empty() {
            self.last_poll = Some(now);
            self.orders
                .issue(Order::Workers(self.vms.clone()), Purpose::Reports, now);
        }
    }

    /// Informs the scheduler of the pool's VMs, including moved ones, and of their phases.
    fn update_vms(&mut self, now: Time) {
        let Some(fleet) = self
            .config
            .as_ref()
            .and_then(|config| config.fleet.as_ref())
        else {
            return;
        };
        let mut fleet = fleet.clone();
        for vm in &mut fleet.inventory {
            let name = vm.name.as_str();
            let moved = self.regions.values().find_map(|view| view.moved.get(name));
            if let Some(pool) = moved {
                vm.pool = pool.to_string();
            }
        }
        let phases = vm_phases(&fleet, &self.pool, &self.regions);
        self.vms = phases.keys().cloned().collect();
        self.feed(Event::Adopt(Box::new(fleet)), now);
        self.feed(Event::Phases(phases), now);
    }

    fn feed(&mut self, event: Event, now: Time) {
        for action in self.scheduler.handle(event, now) {
            self.execute(action, now);
        }
    }

    fn execute(&mut self, action: Action, now: Time) {
        match action {
            Action::Recover => {
                let (recovery, order) = Recovery::start(&self.pool);
                self.recovery = Some(recovery);
                self.orders.issue(order, Purpose::Recover, now);
            }
            Action::Append(batch) => {
                let key = log_key(&self.pool, batch.seq);
                let document = serde_json::to_value(&*batch).unwrap_or_default();
                let order = Order::Put(key, document, 0, false);
                self.orders.issue(order, Purpose::Append(batch.seq), now);
            }
            Action::Read { seq } => {
                let order = Order::Get(log_key(&self.pool, seq));
                self.orders.issue(order, Purpose::Read(seq), now);
            }
            Action::Snapshot { snapshot, trim } => {
                let order = Order::Get(snapshot_key(&self.pool));
                self.orders
                    .issue(order, Purpose::ReadSnapshot(snapshot, trim), now);
            }
            Action::Command {
                worker,
                task,
                command,
                ..
            } => {
                let order = task_order(&worker, &task, command);
                self.orders
                    .issue(order, Purpose::Command(worker, task, command), now);
            }
            Action::Answer { ticket, answer } => {
                self.orders
                    .issue_without_outcome(Order::Answer(ticket, job_answer(answer)));
            }
            Action::Quarantine { worker, reason } => self.start_quarantine(worker, &reason, now),
            Action::Audit(record) => self.audit(record),
        }
    }

    /// Adds a record with a unique identifier to the audit trail.
    fn audit(&mut self, record: Record) {
        self.record_count += 1;
        let fence = self.lease.map_or(0, |lease| lease.fence());
        let id = format!("jobs-{}-{fence}-{}", self.pool, self.record_count);
        let who = self.entry.to_string();
        self.orders
            .issue_without_outcome(Order::Audit(vec![Record { id, who, ..record }]));
    }

    fn complete(&mut self, purpose: Purpose, outcome: Option<Outcome>, now: Time) {
        match purpose {
            Purpose::Append(seq) => {
                let event = match outcome {
                    Some(Outcome::Swapped(Swap::Done(version))) => Event::Stored { seq, version },
                    Some(Outcome::Swapped(Swap::Conflict(_))) => Event::Conflict { seq },
                    _ => Event::StoreUnavailable,
                };
                self.feed(event, now);
            }
            Purpose::Read(seq) => {
                let event = match outcome.and_then(read_value) {
                    Some(found) => Event::Read {
                        seq,
                        entry: found.and_then(recovery::decode_entry),
                    },
                    None => Event::StoreUnavailable,
                };
                self.feed(event, now);
            }
            Purpose::Recover => self.recover(outcome, now),
            Purpose::ReadSnapshot(snapshot, trim) => {
                if let Some(found) = outcome.and_then(read_value) {
                    self.replace_snapshot(&snapshot, trim, found, now);
                }
            }
            Purpose::WriteSnapshot(trim) => {
                if let Some(Outcome::Swapped(Swap::Done(_))) = outcome {
                    let order = Order::List(log_prefix(&self.pool));
                    self.orders.issue(order, Purpose::ListLog(trim), now);
                }
            }
            Purpose::ListLog(trim) => {
                if let Some(Outcome::Listed(items)) = outcome {
                    self.trim_log(&items, trim, now);
                }
            }
            Purpose::Command(worker, task, command) => {
                let (incarnation, reply) = task_reply(outcome);
                let event = Event::Reply {
                    worker,
                    task,
                    command,
                    incarnation,
                    reply,
                };
                self.feed(event, now);
            }
            Purpose::Reports => {
                if let Some(Outcome::Workers(workers)) = outcome {
                    let boots = workers
                        .workers
                        .iter()
                        .map(|worker| (worker.vm.clone(), worker.boot));
                    self.boots.extend(boots);
                    let reports = workers.workers.iter().map(worker_report).collect();
                    self.feed(Event::Reports(reports), now);
                }
            }
            Purpose::ReadLedger(key, worker, reason) => {
                if let Some(Some(found)) = outcome.and_then(read_value) {
                    self.write_quarantine(key, &worker, &reason, found, now);
                }
            }
            Purpose::NoFollowUp => {}
        }
    }

    fn recover(&mut self, outcome: Option<Outcome>, now: Time) {
        let Some(recovery) = self.recovery.take() else {
            return;
        };
        match recovery.advance(outcome) {
            recovery::Step::Order(recovery, order) => {
                self.recovery = Some(recovery);
                self.orders.issue(order, Purpose::Recover, now);
            }
            recovery::Step::Done(snapshot, batches) => {
                self.feed(Event::Recovered { snapshot, batches }, now);
            }
            recovery::Step::Failed => self.feed(Event::StoreUnavailable, now),
        }
    }

    /// Writes a snapshot unless the stored one is newer or has a higher fence.
    fn replace_snapshot(
        &mut self,
        snapshot: &Snapshot,
        trim: u64,
        found: Option<(u64, serde_json::Value)>,
        now: Time,
    ) {
        let (version, stored) = found.map_or((0, Snapshot::default()), |(version, value)| {
            (version, serde_json::from_value(value).unwrap_or_default())
        });
        if stored.seq > snapshot.seq || stored.fence > snapshot.fence {
            return;
        }
        if let Ok(document) = serde_json::to_value(snapshot) {
            let order = Order::Put(snapshot_key(&self.pool), document, version, false);
            self.orders.issue(order, Purpose::WriteSnapshot(trim), now);
        }
    }

    fn trim_log(&mut self, items: &[platform::KeyVersion], trim: u64, now: Time) {
        let prefix = log_prefix(&self.pool);
        for item in items {
            let seq = item
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse::<u64>().ok());
            if seq.is_some_and(|seq| seq <= trim) {
                let order = Order::Delete(item.key.to_string(), item.version);
                self.orders.issue(order, Purpose::NoFollowUp, now);
            }
        }
    }

    /// Starts the quarantine of a worker by reading the ledger of its region.
    fn start_quarantine(&mut self, worker: VmId, reason: &str, now: Time) {
        let Some(fleet) = self
            .config
            .as_ref()
            .and_then(|config| config.fleet.as_ref())
        else {
            return;
        };
        let Some(region) = worker_region(fleet, &worker) else {
            return;
        };
        let key = format!("ledger/{region}");
        let purpose = Purpose::ReadLedger(key.clone(), worker, reason.to_owned());
        self.orders.issue(Order::Get(key), purpose, now);
    }

    /// Writes the quarantine of a worker to the ledger of its region.
    ///
    /// The change keeps the fence of the ledger's writer, the controller of the region;
    /// only the compare-and-swap guards against concurrent writes.
    fn write_quarantine(
        &mut self,
        key: String,
        worker: &VmId,
        reason: &str,
        (version, value): (u64, serde_json::Value),
        now: Time,
    ) {
        let Ok(document) = serde_json::from_value::<ledger::Ledger>(value) else {
            return;
        };
        let ledger = Ledger::from_document(document);
        let change = Change::Quarantine {
            vm: worker.clone(),
            boot: self.boots.get(worker).copied().unwrap_or_default(),
        };
        let Ok(next) = ledger.apply(&change, ledger.document().fence, unix_now()) else {
            return;
        };
        if let Ok(document) = serde_json::to_value(next.document()) {
            let record = Record {
                kind: Kind::Quarantine.into(),
                subject: worker.to_string(),
                reason: reason.to_owned(),
                at_ms: millis(unix_now()),
                ..Record::default()
            };
            self.audit(record);
            self.orders.issue(
                Order::Put(key, document, version, false),
                Purpose::NoFollowUp,
                now,
            );
        }
    }
}

fn log_prefix(pool: &str) -> String {
    format!("jobs/{pool}/")
}

fn snapshot_key(pool: &str) -> String {
    format!("jobs/{pool}/snapshot")
}

fn log_key(pool: &str, seq: u64) -> String {
    format!("jobs/{pool}/{seq:012}")
}
