//! Holder of a partition: passes events to [`Batch`] and executes the actions it returns.

mod caps;
mod load;
mod racks;
mod registry;
mod restore;
mod status;
mod transfers;
mod waves;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use flume::Receiver;
use flume::Sender;
use slog::debug;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::Batch;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::OrderLog;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::batch::WorkerId;
use wigeonhinge::id::PoolId;
use wigeonhinge::id::VmId;
use wigeonhinge::partition::Ownership;
use wigeonhinge_platform::machines;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;

use crate::site::Shared;
use crate::site::clock;
use crate::site::election;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::message::KeyValue;
use crate::site::message::MachineOrder;
use crate::site::message::Message;
use crate::site::message::WriteContent;
use crate::site::orders;
use crate::site::orders::RateLimiter;
use crate::site::role::racks::KnownMachine;
use crate::site::role::restore::Snapshot;
use crate::site::role::status::LoadStats;
use crate::site::role::waves::ActiveWave;
use crate::site::rows;
use crate::site::worker::Handle;
use crate::site::writer;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two updates of the status that operators see.
const STATUS_TICKS: u64 = 20;

/// Ticks between two searches for jobs that no worker of the partition can run, 200 ms.
const TRANSFER_TICKS: u64 = 4;

/// Most messages that are handled before the next write is started.
const MAX_BURST: usize = 128;

/// Most ended jobs whose states one write removes.
const MAX_EXPIRED: usize = 16;

/// Longest time for which a holder that stops waits for its last write.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a holder may reach at most half of the workers before it gives up the role.
const MAX_ISOLATION: Duration = Duration::from_millis(1_500);

/// Time without a renewal after which a holder that still reads the state of its partition gives up.
const MAX_RENEWAL_AGE: Duration = Duration::from_secs(6);

struct Role {
    shared: Rc<Shared>,
    term: Term,
    batch: Batch,
    inbox: Sender<Message>,
    registry: BTreeMap<String, WorkerEntry>,
    workers: BTreeMap<WorkerId, Handle>,
    /// Machines of the platform's last list, of all partitions.
    machines: BTreeMap<VmId, KnownMachine>,
    ownership: Ownership,
    waves: BTreeMap<u64, ActiveWave>,
    extra_rows: Vec<KeyValue>,
    /// Keys to remove with the next write.
    removes: Vec<String>,
    machine_orders: Sender<MachineOrder>,
    order_limiter: Rc<RateLimiter>,
    /// Log of recent machine orders.
    order_log: OrderLog,
    /// Machine orders whose record is not yet part of a write.
    pending_orders: Vec<MachineOrder>,
    ticks: u64,
    load_stats: LoadStats,
    write_in_flight: bool,
    /// Time at which the write in flight was sent.
    write_sent_at: Time,
    write_count: u64,
    /// Whether leases could be extended at the last tick.
    may_extend: bool,
    /// Whether racks are being given or recorded, some at a time.
    dividing: bool,
    /// Pools without a worker here for which entries should choose other partitions.
    absent_pools: BTreeSet<PoolId>,
    /// Since when pools of queues have no worker here.
    lacking_since: BTreeMap<PoolId, Time>,
    catalog_version: u64,
    /// Number of partitions and version of the configuration by which caps were divided last.
    divided_caps: (u32, u64),
    /// Version of the control rows that were applied last.
    control_version: u64,
    started_at: Time,
    /// Time since which too few workers respond.
    isolated_since: Option<Time>,
    lost_reason: Option<String>,
    _tasks: Vec<JoinHandle<()>>,
}

/// Runs the role until it is lost or given up; returns the reason.
pub(super) async fn run(shared: &Rc<Shared>, term: Term) -> String {
    let started = clock::now();
    let partition = term.partition;
    let (inbox, messages) = flume::unbounded();
    let renewal = election::keep_lease(Rc::clone(shared), term.clone(), inbox.clone());
    let renewal = compio::runtime::spawn(renewal);
    let snapshot = match restore::load(shared, &term, &messages).await {
        Ok(snapshot) => snapshot,
        Err(reason) => return reason,
    };
    let mut role = Role::new(shared, term, snapshot, inbox);
    role._tasks.push(renewal);
    info!(shared.log, "role: at work"; "partition" => partition, "fence" => role.term.fence,
        "after_ms" => (clock::now() - started).as_millis() as u64);
    shared.metrics.increment("role.taken");
    shared
        .metrics
        .record_time("role.takeover", clock::now() - started);
    let reason = role.run_loop(&messages).await;
    info!(shared.log, "role: ending"; "partition" => partition, "reason" => &reason,
        "may_extend" => role.term.contact.get().may_extend(clock::now()), "write_in_flight" => role.write_in_flight,
        "renewed_ms" => (clock::now() - role.term.contact.get().renewed_at()).as_millis() as u64);
    shared.status.borrow_mut().remove(&partition);
    // The caller revokes the lease next, which lets a successor start; wait for the last write.
    let deadline = clock::now() + LAST_WRITE_TIMEOUT;
    while role.write_in_flight && shared.draining.get() {
        let left = deadline.saturating_sub(clock::now());
        match compio::time::timeout(left, messages.recv_async()).await {
            Ok(Ok(Message::Written(..))) => role.write_in_flight = false,
            Ok(Ok(_)) if !left.is_zero() => {}
            Ok(_) | Err(_) => break,
        }
    }
    reason
}

impl Role {
    fn new(shared: &Rc<Shared>, term: Term, snapshot: Snapshot, inbox: Sender<Message>) -> Self {
        let now = clock::now();
        let bounds = bounds(shared);
        let epoch_ms = clock::wall_ms() - now.as_millis() as i64;
        let catalog = shared.catalog.borrow().clone();
        let catalog = catalog.map(|it| (*it).clone()).unwrap_or_default();
        let version = catalog.version;
        let (machine_orders, order_queue) = flume::unbounded();
        let mut tasks = restore::watches(shared, &term, &snapshot, &inbox);
        let order_limiter = Rc::new(RateLimiter::new(shared.settings.machine_orders));
        if let Some(address) = shared.settings.machines {
            let holder = shared.settings.entry.to_string();
            let log = shared.log.clone();
            let link = (holder.clone(), shared.settings.link_mbps);
            let poll = orders::poll_machines(address, link, log.clone(), inbox.clone());
            tasks.push(compio::runtime::spawn(poll));
            for _ in 0..orders::CONNECTIONS {
                let authority = (Rc::clone(&term.contact), Rc::clone(&order_limiter));
                let service = (address, holder.clone());
                let send = orders::send_orders(
                    service,
                    authority,
                    order_queue.clone(),
                    log.clone(),
                    inbox.clone(),
                );
                tasks.push(compio::runtime::spawn(send));
            }
        }
        let ownership = Ownership::new(term.partition, term.fence);
        let mut role = Self {
            shared: Rc::clone(shared),
            batch: Batch::new(bounds, catalog, epoch_ms, now),
            term,
            inbox,
            registry: BTreeMap::new(),
            workers: BTreeMap::new(),
            machines: BTreeMap::new(),
            ownership,
            waves: BTreeMap::new(),
            extra_rows: Vec::new(),
            removes: Vec::new(),
            machine_orders,
            order_limiter,
            order_log: OrderLog::default(),
            pending_orders: Vec::new(),
            ticks: 0,
            load_stats: LoadStats::default(),
            write_in_flight: false,
            write_sent_at: Time::ZERO,
            write_count: 0,
            may_extend: true,
            dividing: false,
            absent_pools: BTreeSet::new(),
            lacking_since: BTreeMap::new(),
            catalog_version: version,
            divided_caps: (1, 0),
            control_version: 0,
            started_at: now,
            isolated_since: None,
            lost_reason: None,
            _tasks: tasks,
        };
        role.restore(snapshot, now);
        role.sync_control();
        role.sync_caps();
        role
    }

    async fn run_loop(&mut self, messages: &Receiver<Message>) -> String {
        let mut next_tick = clock::now() + TICK_INTERVAL;
        loop {
            // A tick that is due would win against a message that waits in half of all passes.
            let received = match messages.try_recv() {
                Ok(message) => Some(message),
                Err(_) => {
                    let wait = next_tick.saturating_sub(clock::now());
                    let received = compio::time::timeout(wait, messages.recv_async()).await;
                    received.ok().and_then(Result::ok)
                }
            };
            if let Some(message) = received {
                self.handle_message(message);
                for message in messages.try_iter().take(MAX_BURST) {
                    self.handle_message(message);
                }
            }
            if clock::now() >= next_tick {
                let late = clock::now() - next_tick;
                self.shared.metrics.record_time("role.tick_late", late);
                self.load_stats.max_delay = self.load_stats.max_delay.max(late);
                self.load_stats.max_queue = self.load_stats.max_queue.max(messages.len());
                next_tick = clock::now() + TICK_INTERVAL;
                self.tick();
            }
            let actions = self.batch.place_ready(clock::now());
            self.execute(actions);
            self.start_write();
            if let Some(reason) = self.lost_reason.take() {
                return reason;
            }
            if self.shared.draining.get() {
                return "the entry is stopping".into();
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        self.load_stats.messages += 1;
        match message {
            Message::InputChanges(changes) => {
                for change in changes {
                    if let Change::Set(item) = change {
                        self.handle_input(&item);
                    }
                }
            }
            Message::InputSnapshot(items) => {
                // Apply jobs first: a cancellation of an unknown job has no effect.
                let cancels = keys::cancel(self.term.partition, "");
                let cancel = |item: &&Item| item.key.starts_with(&cancels);
                items
                    .iter()
                    .filter(|item| !cancel(item))
                    .for_each(|item| self.handle_input(item));
                items
                    .iter()
                    .filter(cancel)
                    .for_each(|item| self.handle_input(item));
            }
            Message::WorkerChanges(changes) => self.update_workers(changes),
            Message::WorkerSnapshot(items) => self.replace_workers(items),
            Message::Waves(items) => self.apply_waves(items),
            Message::OldStates(items) => self.restore_states(items),
            Message::WaveProgress(items) => self.complete_waves(items),
            Message::Machines(list) => self.update_machines(list),
            Message::Event(event) => self.handle_event(event),
            // A write in flight gives one too.
            Message::FenceNeeded if self.write_in_flight => {}
            Message::FenceNeeded => self.publish_load(),
            Message::Written(content, revision) => {
                self.write_in_flight = false;
                self.term.revision.set(revision);
                let writes = content.writes;
                self.load_stats.writes += 1;
                self.load_stats.rows += writes.len();
                self.load_stats.max_write = self
                    .load_stats
                    .max_write
                    .max(clock::now() - self.write_sent_at);
                self.shared.metrics.add("role.rows", writes.len());
                for order in content.orders {
                    self.order_log.stored(&order.0, clock::now());
                    // The receivers live as long as this role.
                    let _ = self.machine_orders.send(order);
                }
                let actions = self.batch.confirm_writes(&writes, clock::now());
                self.execute(actions);
            }
            Message::Lost(reason) => self.lost_reason = Some(reason),
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::OrderAnswered(machine, true) = &event {
            self.order_log.answered(machine, clock::now());
            self.apply(event);
            let numbers: Vec<u64> = self.waves.keys().copied().collect();
            for number in numbers {
                self.store_wave(number);
            }
        } else {
            self.apply(event);
        }
    }

    fn handle_input(&mut self, item: &Item) {
        let prefix = keys::inputs(self.term.partition);
        let name = item.key.strip_prefix(&prefix).unwrap_or_default();
        if let Some(id) = name.strip_prefix(keys::CANCEL) {
            if self.batch.has_job(id) {
                self.apply(Event::Cancel(id.into()));
            } else if self.shared.control.borrow().topology.partitions() > 1 {
                self.forward_cancel(id.into());
            } else {
                // The job ended before its cancellation was read.
                self.removes.push(item.key.clone());
            }
            return;
        }
        match rows::decode::<JobRow>(&item.value) {
            Ok(row) => self.apply(Event::Accept(row)),
            Err(error) => self.log_invalid(&item.key, &error),
        }
    }

    /// Applies changes of racks and of the plans of waves.
    fn sync_control(&mut self) {
        let version = self.shared.control.borrow().version;
        if version == self.control_version {
            return;
        }
        self.control_version = version;
        self.sync_racks();
        self.plan_waves();
        self.apply_plans();
    }

    fn tick(&mut self) {
        let catalog = self.shared.catalog.borrow().clone();
        if let Some(catalog) = catalog.filter(|it| it.version > self.catalog_version) {
            self.catalog_version = catalog.version;
            self.apply(Event::Configure((*catalog).clone()));
            self.connect_all();
        }
        // The same time for both: a lease that ends in between would not be looked up.
        let now = clock::now();
        for worker in self.batch.lapsed_leases(now) {
            self.record_lease(&worker);
        }
        self.batch.apply(Event::Tick, now);
        self.ticks += 1;
        self.sync_control();
        self.sync_caps();
        if self.ticks.is_multiple_of(STATUS_TICKS) {
            self.publish_status();
            self.publish_load();
            self.divide();
            self.spread();
            self.advance_plans();
            self.publish_absent_pools();
        } else {
            self.continue_division();
        }
        if self.ticks.is_multiple_of(TRANSFER_TICKS) {
            self.transfer_jobs();
        }
        let now = clock::now();
        let (heard, expected) = self.batch.count_responsive(now);
        let reachable = heard * 2 > expected;
        let mut contact = self.term.contact.get();
        if self.batch.hears_majority(now) {
            contact.hear_majority(now);
            self.term.contact.set(contact);
        }
        let may_extend = contact.may_extend(now);
        if std::mem::replace(&mut self.may_extend, may_extend) != may_extend {
            let renewed = now.saturating_sub(contact.renewed_at());
            info!(self.shared.log, "role: extension of leases changed"; "partition" => self.term.partition,
                "allowed" => may_extend, "renewed_ms" => renewed.as_millis() as u64,
                "heard" => heard, "expected" => expected);
        }
        if reachable || expected == 0 {
            self.isolated_since = None;
        } else if now.saturating_sub(*self.isolated_since.get_or_insert(now)) > MAX_ISOLATION {
            self.lost_reason = Some(format!("{heard} of {expected} workers respond"));
        }
    }

    /// Passes the end of a worker's lease to the scheduler.
    ///
    /// The end is read when it is needed: a message with it could wait behind others while the
    /// scheduler takes the lease as ended.
    fn record_lease(&mut self, worker: &WorkerId) {
        let lease_end = self.workers.get(worker).and_then(Handle::lease_end);
        if let Some(lease_end) = lease_end {
            self.apply(Event::LeaseExtended(worker.clone(), lease_end));
        }
    }

    fn apply(&mut self, event: Event) {
        self.count_event(&event);
        self.batch.apply(event, clock::now());
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    task,
                    run,
                    spec,
                    checkpoint,
                } => {
                    info!(self.shared.log, "jobs: start"; "task" => %task, "run" => run,
                        "worker" => %worker);
                    let order = batch::Order::Start {
                        task,
                        run,
                        spec,
                        checkpoint,
                    };
                    self.send_order(&worker, order);
                }
                Action::Stop { worker, task, run } => {
                    info!(self.shared.log, "jobs: stop"; "task" => %task, "run" => run,
                        "worker" => %worker);
                    self.send_order(&worker, batch::Order::Stop(task, run));
                }
                Action::WithdrawStop { worker, task, run } => {
                    if let Some(handle) = self.workers.get(&worker) {
                        handle.withdraw_stop(&task, run);
                    }
                }
                Action::WithdrawStarts { worker } => {
                    if let Some(handle) = self.workers.get(&worker) {
                        handle.withdraw_starts();
                    }
                }
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => {
                    debug!(self.shared.log, "jobs: pace"; "task" => %task, "percent" => percent);
                    self.send_order(&worker, batch::Order::Pace(task, run, percent));
                }
                Action::Acknowledge {
                    worker,
                    incarnation,
                    end,
                } => {
                    if let Some(handle) = self.workers.get(&worker) {
                        handle.acknowledge(incarnation, end);
                    }
                }
                Action::Move { machine, pool } => {
                    self.record_order(machine, machines::Order::Move(pool));
                }
                Action::Maintain { machine, wave } => {
                    self.record_order(machine, machines::Order::Maintain(wave));
                }
                Action::RecordRestarts(row) => {
                    self.queue_json(keys::restarts(self.term.partition), &row);
                }
                Action::Publish { wave, .. } => self.part_completed(wave),
                Action::Log(line) => info!(self.shared.log, "{}", line),
            }
        }
    }

    /// Records an order to a machine; the order is sent once the record is stored.
    fn record_order(&mut self, machine: VmId, order: machines::Order) {
        let now = clock::now();
        self.order_log.record(machine.clone());
        let row = self.order_log.row(bounds(&self.shared).order_lease, now);
        match serde_json::to_vec(&row) {
            Ok(value) => {
                let fence = self.machine_fence(&machine);
                self.pending_orders.push((machine, order, fence));
                self.queue_row(keys::orders(self.term.partition), value);
            }
            Err(error) => {
                // An order must not be sent without a stored record.
                warn!(self.shared.log, "machines: order not sent, its record cannot be encoded";
                    "error" => %error, "machine" => %machine);
                self.apply(Event::OrderAnswered(machine, false));
            }
        }
    }

    fn send_order(&self, worker: &WorkerId, order: batch::Order) {
        match self.workers.get(worker) {
            Some(handle) => handle.order(order),
            None => {
                warn!(self.shared.log, "jobs: worker has no connection, dropping an order";
                    "worker" => %worker)
            }
        }
    }

    /// Starts a write of the changed rows unless one is in flight.
    fn start_write(&mut self) {
        if self.write_in_flight {
            return;
        }
        // Orders are sent once the write with their record is stored, and a start that follows the
        // restart of its worker needs the record of the restart.
        let partition = self.term.partition;
        let first = [keys::orders(partition), keys::restarts(partition)];
        self.extra_rows.sort_by_key(|(key, _)| !first.contains(key));
        let extra = self.extra_rows.len().min(writer::MAX_EXTRA_ROWS);
        let removes = self.removes.len().min(writer::MAX_REMOVES);
        let mut content = WriteContent {
            extra_rows: self.extra_rows.drain(..extra).collect(),
            orders: std::mem::take(&mut self.pending_orders),
            removes: self.removes.drain(..removes).collect(),
            ..WriteContent::default()
        };
        while content.has_job_room() {
            match self.batch.take_write() {
                Some(write) => content.writes.push(write),
                None => break,
            }
        }
        if content.writes.is_empty() && content.removes.is_empty() {
            let limit = content.room().min(MAX_EXPIRED);
            content.expired = self.batch.take_expired(limit, clock::now());
        }
        if content.is_empty() {
            return;
        }
        self.add_starts(&mut content);
        self.write_in_flight = true;
        self.write_sent_at = clock::now();
        self.write_count += 1;
        let term = (self.term.clone(), self.write_count);
        let shared = Rc::clone(&self.shared);
        let write = writer::write(shared, term, content, self.inbox.clone());
        compio::runtime::spawn(write).detach();
    }

    /// Adds the starts without an answer to a write, which may record some.
    fn add_starts(&mut self, content: &mut WriteContent) {
        let Some(row) = self.batch.take_starts() else {
            return;
        };
        match serde_json::to_vec(&row) {
            Ok(value) => {
                let key = keys::starts(self.term.partition);
                content.extra_rows.push((key, value));
            }
            // A start must not be recorded without this row.
            Err(error) => {
                let reason = format!("starts without an answer cannot be encoded: {error}");
                self.lost_reason = Some(reason);
            }
        }
    }

    fn queue_row(&mut self, key: String, value: Vec<u8>) {
        self.extra_rows.retain(|(name, _)| *name != key);
        self.extra_rows.push((key, value));
    }

    fn log_invalid(&self, key: &str, reason: &str) {
        warn!(self.shared.log, "role: ignoring an invalid item"; "key" => key, "reason" => reason);
    }
}

fn bounds(shared: &Shared) -> batch::Bounds {
    let bounds = shared.settings.bounds;
    let millis = |value: f64| Duration::from_secs_f64(value / 1e3);
    batch::Bounds {
        lease: millis(bounds.lease_ms),
        retention: Duration::from_secs_f64(bounds.retention_secs),
        migrate: Duration::from_secs_f64(bounds.migrate_secs),
        maintenance: Duration::from_secs_f64(bounds.maintenance_secs),
        order_lease: millis(bounds.order_lease_ms),
        notice: millis(bounds.notice_ms),
    }
}
