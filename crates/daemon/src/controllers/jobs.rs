//! Controller of the jobs of a pool.

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

use crate::controllers::Orders;
use crate::controllers::jobs::recovery::Recovery;
use crate::controllers::jobs::wire::event;
use crate::controllers::jobs::wire::job_answer;
use crate::controllers::jobs::wire::millis;
use crate::controllers::jobs::wire::order;
use crate::controllers::jobs::wire::phases;
use crate::controllers::jobs::wire::region;
use crate::controllers::jobs::wire::reply;
use crate::controllers::jobs::wire::report;
use crate::controllers::unix;
use crate::controllers::value;
use crate::plane::Input;
use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::RegionView;
use crate::platform;
use crate::platform::Swap;

mod recovery;
mod wire;

/// Period of the reports of the pool's workers.
///
/// At 41 workers a pool, a report of 400 bytes each keeps this below 16 KB/s.
const REPORTS: Duration = Duration::from_secs(2);

/// Controller of a pool's jobs.
#[derive(Debug)]
pub(super) struct Jobs {
    pool: PoolId,
    entry: EntryId,
    scheduler: Scheduler,
    config: Option<Arc<Config>>,
    regions: Arc<BTreeMap<RegionId, RegionView>>,
    vms: Vec<VmId>,
    /// Boot number that each worker reported last.
    boots: BTreeMap<VmId, u64>,
    until: Option<Lease>,
    orders: Orders<Purpose>,
    recovery: Option<Recovery>,
    records: u64,
    polled: Option<Time>,
}

/// What an order is for.
#[derive(Debug)]
enum Purpose {
    Append(u64),
    Read(u64),
    Recover,
    /// Reads the stored snapshot before it is replaced.
    Replace(Box<Snapshot>, u64),
    /// Writes a snapshot, after which positions up to this one are removed.
    Snapshot(u64),
    /// Lists the positions of the log, of which those up to this one are removed.
    Trim(u64),
    Removal,
    Command(VmId, Task, Command),
    Reports,
    /// Reads a ledger in which a worker is quarantined for a reason.
    Quarantine(String, VmId, String),
}

impl Jobs {
    pub(super) fn new(pool: PoolId, entry: EntryId) -> Self {
        let epoch = u64::try_from(unix().as_millis()).unwrap_or(u64::MAX);
        Self {
            scheduler: Scheduler::new(pool.clone(), entry.clone(), epoch),
            pool,
            entry,
            config: None,
            regions: Arc::default(),
            vms: Vec::new(),
            boots: BTreeMap::new(),
            until: None,
            orders: Orders::new(),
            recovery: None,
            records: 0,
            polled: None,
        }
    }

    /// Takes an event and returns the orders that follow.
    pub(super) fn handle(&mut self, input: Input, lease: Lease, now: Time) -> Vec<(u64, Order)> {
        if self.until != Some(lease) {
            self.until = Some(lease);
            let (fence, until) = (lease.fence(), lease.deadline());
            self.feed(Event::Lease { fence, until }, now);
        }
        match input {
            Input::Gained(_) | Input::Busy(_) => {}
            Input::Adopted(config) => {
                self.config = Some(config);
                self.place(now);
            }
            Input::Regions(regions) => {
                self.regions = regions;
                self.place(now);
            }
            Input::Tick => self.tick(now),
            Input::Done(number, outcome) => {
                if let Some(purpose) = self.orders.close(number) {
                    self.done(purpose, Some(outcome), now);
                }
            }
            Input::Ask(ticket, ask) => self.feed(event(ticket, ask), now),
        }
        self.orders.take()
    }

    fn tick(&mut self, now: Time) {
        for purpose in self.orders.expire(now) {
            self.done(purpose, None, now);
        }
        self.feed(Event::Tick, now);
        let due = self.polled.is_none_or(|polled| polled + REPORTS <= now);
        if due && !self.vms.is_empty() {
            self.polled = Some(now);
            self.orders
                .give(Order::Workers(self.vms.clone()), Purpose::Reports, now);
        }
    }

    /// Tells the scheduler which VMs the pool has and which of them are in service.
    fn place(&mut self, now: Time) {
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
        let phases = phases(&fleet, &self.pool, &self.regions);
        self.vms = phases.keys().cloned().collect();
        self.feed(Event::Adopt(Box::new(fleet)), now);
        self.feed(Event::Phases(phases), now);
    }

    fn feed(&mut self, event: Event, now: Time) {
        for action in self.scheduler.handle(event, now) {
            self.act(action, now);
        }
    }

    fn act(&mut self, action: Action, now: Time) {
        match action {
            Action::Recover => {
                let (recovery, order) = Recovery::start(&self.pool);
                self.recovery = Some(recovery);
                self.orders.give(order, Purpose::Recover, now);
            }
            Action::Append(batch) => {
                let key = position(&self.pool, batch.seq);
                let document = serde_json::to_value(&*batch).unwrap_or_default();
                let order = Order::Put(key, document, 0, false);
                self.orders.give(order, Purpose::Append(batch.seq), now);
            }
            Action::Read { seq } => {
                let order = Order::Get(position(&self.pool, seq));
                self.orders.give(order, Purpose::Read(seq), now);
            }
            Action::Snapshot { snapshot, trim } => {
                let order = Order::Get(snapshot_key(&self.pool));
                self.orders
                    .give(order, Purpose::Replace(snapshot, trim), now);
            }
            Action::Command {
                worker,
                task,
                command,
                ..
            } => {
                let order = order(&worker, &task, command);
                self.orders
                    .give(order, Purpose::Command(worker, task, command), now);
            }
            Action::Answer { ticket, answer } => {
                self.orders.tell(Order::Answer(ticket, job_answer(answer)));
            }
            Action::Quarantine { worker, reason } => self.quarantine(worker, &reason, now),
            Action::Audit(record) => self.audit(record),
        }
    }

    /// Adds a record to the audit trail, with an identifier of its own.
    fn audit(&mut self, record: Record) {
        self.records += 1;
        let fence = self.until.map_or(0, |lease| lease.fence());
        let id = format!("jobs-{}-{fence}-{}", self.pool, self.records);
        let who = self.entry.to_string();
        self.orders
            .tell(Order::Audit(vec![Record { id, who, ..record }]));
    }

    fn done(&mut self, purpose: Purpose, outcome: Option<Outcome>, now: Time) {
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
                let event = match outcome.and_then(value) {
                    Some(found) => Event::Read {
                        seq,
                        entry: found.and_then(recovery::entry),
                    },
                    None => Event::StoreUnavailable,
                };
                self.feed(event, now);
            }
            Purpose::Recover => self.recover(outcome, now),
            Purpose::Replace(snapshot, trim) => {
                if let Some(found) = outcome.and_then(value) {
                    self.replace(&snapshot, trim, found, now);
                }
            }
            Purpose::Snapshot(trim) => {
                if let Some(Outcome::Swapped(Swap::Done(_))) = outcome {
                    let order = Order::List(log_prefix(&self.pool));
                    self.orders.give(order, Purpose::Trim(trim), now);
                }
            }
            Purpose::Trim(trim) => {
                if let Some(Outcome::Listed(items)) = outcome {
                    self.trim(&items, trim, now);
                }
            }
            Purpose::Command(worker, task, command) => {
                let (incarnation, reply) = reply(outcome);
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
                    let reports = workers.workers.iter().map(report).collect();
                    self.feed(Event::Reports(reports), now);
                }
            }
            Purpose::Quarantine(key, worker, reason) => {
                if let Some(Some(found)) = outcome.and_then(value) {
                    self.record_quarantine(key, &worker, &reason, found, now);
                }
            }
            Purpose::Removal => {}
        }
    }

    fn recover(&mut self, outcome: Option<Outcome>, now: Time) {
        let Some(recovery) = self.recovery.take() else {
            return;
        };
        match recovery.next(outcome) {
            recovery::Next::Order(recovery, order) => {
                self.recovery = Some(recovery);
                self.orders.give(order, Purpose::Recover, now);
            }
            recovery::Next::Done(snapshot, batches) => {
                self.feed(Event::Recovered { snapshot, batches }, now);
            }
            recovery::Next::Failed => self.feed(Event::StoreUnavailable, now),
        }
    }

    /// Writes a snapshot unless the stored one is newer.
    fn replace(
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
            self.orders.give(order, Purpose::Snapshot(trim), now);
        }
    }

    fn trim(&mut self, items: &[platform::KeyVersion], trim: u64, now: Time) {
        let prefix = log_prefix(&self.pool);
        for item in items {
            let seq = item
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse::<u64>().ok());
            if seq.is_some_and(|seq| seq <= trim) {
                let order = Order::Delete(item.key.to_string(), item.version);
                self.orders.give(order, Purpose::Removal, now);
            }
        }
    }

    /// Reads the ledger of a worker's region in order to quarantine the worker.
    fn quarantine(&mut self, worker: VmId, reason: &str, now: Time) {
        let Some(fleet) = self
            .config
            .as_ref()
            .and_then(|config| config.fleet.as_ref())
        else {
            return;
        };
        let Some(region) = region(fleet, &worker) else {
            return;
        };
        let key = format!("ledger/{region}");
        let purpose = Purpose::Quarantine(key.clone(), worker, reason.to_owned());
        self.orders.give(Order::Get(key), purpose, now);
    }

    /// Records a quarantine under the fence of the ledger's own writer; only the
    /// swap decides.
    fn record_quarantine(
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
        let Ok(next) = ledger.apply(&change, ledger.document().fence, unix()) else {
            return;
        };
        if let Ok(document) = serde_json::to_value(next.document()) {
            let record = Record {
                kind: Kind::Quarantine.into(),
                subject: worker.to_string(),
                reason: reason.to_owned(),
                at_ms: millis(unix()),
                ..Record::default()
            };
            self.audit(record);
            self.orders.give(
                Order::Put(key, document, version, false),
                Purpose::Removal,
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

fn position(pool: &str, seq: u64) -> String {
    format!("jobs/{pool}/{seq:012}")
}
