//! The holder of the scheduler role: feeds [`Batch`] and carries out its actions.

mod registry;
mod restore;
mod status;
mod waves;

use std::cell::Cell;
use std::collections::BTreeMap;
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
use wigeonhinge::id::VmId;
use wigeonhinge_platform::machines;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Revision;

use crate::site::Shared;
use crate::site::clock;
use crate::site::election;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::lookout;
use crate::site::lookout::Handle;
use crate::site::orders;
use crate::site::role::restore::Stored;
use crate::site::role::status::Load;
use crate::site::role::waves::WaveRow;
use crate::site::watcher::CALL;
use crate::site::writer;
use crate::site::writer::Brought;
use crate::site::writer::Extra;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two publications of the state for operators.
const STATUS_TICKS: u64 = 20;

/// Messages that are handled before the rows are written.
const BURST: usize = 128;

/// Ended jobs that one write forgets; they leave room for other entries.
const EXPIRED: usize = 16;

/// Pause after a failed read at the start of a term.
const RETRY: Duration = Duration::from_millis(50);

/// Time for which a holder may reach too few workers before it gives up the role.
const ISOLATED: Duration = Duration::from_millis(1_500);

/// What the tasks of the role report.
#[derive(Debug)]
pub(super) enum Message {
    /// Jobs were accepted or cancelled.
    Input(Vec<Change>),
    /// Everything below the prefix of inputs.
    Inputs(Vec<Item>),
    /// Workers' entries changed.
    Registry(Vec<Change>),
    /// All workers' entries.
    Workers(Vec<Item>),
    /// Waves were asked for.
    Waves(Vec<Item>),
    /// Something happened that the library decides on.
    Event(Event),
    /// The store holds a write; the role's key has this revision.
    Written(Brought, Revision),
    /// The role is lost.
    Lost(String),
}

struct Role {
    shared: Rc<Shared>,
    term: Term,
    batch: Batch,
    inbox: Sender<Message>,
    registry: BTreeMap<String, WorkerEntry>,
    workers: BTreeMap<WorkerId, Handle>,
    waves: BTreeMap<u64, WaveRow>,
    extras: Vec<Extra>,
    machine_orders: Sender<(VmId, machines::Order)>,
    /// Machines that were ordered lately.
    ordered: OrderLog,
    /// Orders whose record is not stored yet.
    unrecorded: Vec<(VmId, machines::Order)>,
    ticks: u64,
    load: Load,
    writing: bool,
    /// When the write that is under way was sent.
    write_sent: Time,
    written: u64,
    extend: Rc<Cell<bool>>,
    catalog: u64,
    /// Since when too few workers answer.
    isolated: Option<Time>,
    lost: Option<String>,
    _tasks: Vec<JoinHandle<()>>,
}

/// Fills the role until it is lost or given up; returns the reason.
pub(super) async fn run(shared: &Rc<Shared>, term: Term, resigned: &Receiver<()>) -> String {
    let began = clock::now();
    let (inbox, messages) = flume::unbounded();
    let renewal = election::renew(Rc::clone(shared), term.clone(), inbox.clone());
    let renewal = compio::runtime::spawn(renewal);
    let stored = loop {
        match restore::load(shared).await {
            Ok(stored) => break stored,
            Err(error) => {
                warn!(shared.log, "role: cannot read the jobs"; "error" => %error);
                compio::time::sleep(RETRY).await;
            }
        }
        if clock::now().saturating_sub(term.renewed.get()) > 4 * ISOLATED {
            return "the jobs cannot be read".into();
        }
    };
    let mut role = Role::open(shared, term, stored, inbox);
    role._tasks.push(renewal);
    info!(shared.log, "role: at work"; "fence" => role.term.fence,
        "after_ms" => (clock::now() - began).as_millis() as u64);
    shared.metrics.count("role.taken");
    shared.metrics.time("role.takeover", clock::now() - began);
    let reason = role.work(&messages, resigned).await;
    *shared.status.borrow_mut() = serde_json::json!({ "role": false });
    while role.writing && shared.draining.get() {
        // A successor begins once the last write is done.
        match compio::time::timeout(CALL, messages.recv_async()).await {
            Ok(Ok(Message::Written(..))) => role.writing = false,
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => break,
        }
    }
    reason
}

impl Role {
    fn open(shared: &Rc<Shared>, term: Term, stored: Stored, inbox: Sender<Message>) -> Self {
        let now = clock::now();
        let bounds = bounds(shared);
        let epoch_ms = clock::wall_ms() - now.as_millis() as i64;
        let catalog = shared.catalog.borrow().clone();
        let catalog = catalog.map(|it| (*it).clone()).unwrap_or_default();
        let version = catalog.version;
        let (machine_orders, queue) = flume::unbounded();
        let mut tasks = restore::watches(shared, &stored, &inbox);
        if let Some(address) = shared.settings.machines {
            let holder = shared.settings.entry.to_string();
            let log = shared.log.clone();
            let list = orders::list(address, holder.clone(), log.clone(), inbox.clone());
            tasks.push(compio::runtime::spawn(list));
            let pacer = Rc::new(orders::Pacer::new(shared.settings.machine_orders));
            for _ in 0..orders::LANES {
                let renewed = Rc::clone(&term.renewed);
                let target = (term.fence, renewed, Rc::clone(&pacer));
                let service = (address, holder.clone());
                let give = orders::give(service, target, queue.clone(), log.clone(), inbox.clone());
                tasks.push(compio::runtime::spawn(give));
            }
        }
        let mut role = Self {
            shared: Rc::clone(shared),
            batch: Batch::new(bounds, catalog, epoch_ms, now),
            term,
            inbox,
            registry: BTreeMap::new(),
            workers: BTreeMap::new(),
            waves: BTreeMap::new(),
            extras: Vec::new(),
            machine_orders,
            ordered: OrderLog::default(),
            unrecorded: Vec::new(),
            ticks: 0,
            load: Load::default(),
            writing: false,
            write_sent: Time::ZERO,
            written: 0,
            extend: Rc::new(Cell::new(true)),
            catalog: version,
            isolated: None,
            lost: None,
            _tasks: tasks,
        };
        role.restore(stored, now);
        role
    }

    async fn work(&mut self, messages: &Receiver<Message>, resigned: &Receiver<()>) -> String {
        let mut next = clock::now() + TICK;
        loop {
            let wait = next.saturating_sub(clock::now());
            let received = compio::time::timeout(wait, messages.recv_async()).await;
            if let Ok(Ok(message)) = received {
                self.take(message);
                for message in messages.try_iter().take(BURST) {
                    self.take(message);
                }
            }
            if clock::now() >= next {
                let late = clock::now() - next;
                self.shared.metrics.time("role.tick_late", late);
                self.load.late = self.load.late.max(late);
                next = clock::now() + TICK;
                self.tick();
            }
            let actions = self.batch.place_ready(clock::now());
            self.act(actions);
            self.write();
            if let Some(reason) = self.lost.take() {
                return reason;
            }
            if resigned.try_recv().is_ok() || self.shared.draining.get() {
                return "the entry is stopping".into();
            }
        }
    }

    fn take(&mut self, message: Message) {
        self.load.messages += 1;
        match message {
            Message::Input(changes) => {
                for change in changes {
                    if let Change::Set(item) = change {
                        self.input(&item);
                    }
                }
            }
            Message::Inputs(items) => {
                // Jobs come before cancellations, which would find no job otherwise.
                let cancel = |item: &&Item| item.key.starts_with(keys::CANCELS);
                items
                    .iter()
                    .filter(|item| !cancel(item))
                    .for_each(|item| self.input(item));
                items
                    .iter()
                    .filter(cancel)
                    .for_each(|item| self.input(item));
            }
            Message::Registry(changes) => self.some_workers(changes),
            Message::Workers(items) => self.all_workers(items),
            Message::Waves(items) => self.all_waves(items),
            Message::Event(event) => self.event(event),
            Message::Written(brought, revision) => {
                self.writing = false;
                self.term.revision = revision;
                let writes = brought.writes;
                self.load.writes += 1;
                self.load.rows += writes.len();
                self.load.write = self.load.write.max(clock::now() - self.write_sent);
                self.shared.metrics.add("role.rows", writes.len());
                for order in brought.orders {
                    // The receiver lives as long as this role.
                    let _ = self.machine_orders.send(order);
                }
                let mut replica = self.shared.replica.borrow_mut();
                for write in &writes {
                    if let Some(state) = &write.state {
                        replica.written(&write.job, state);
                    }
                }
                drop(replica);
                let actions = self.batch.confirm_writes(&writes, clock::now());
                self.act(actions);
            }
            Message::Lost(reason) => self.lost = Some(reason),
        }
    }

    fn event(&mut self, event: Event) {
        if let Event::Machines(_) = event {
            self.handle(event);
            self.drop_handles();
        } else if let Event::OrderAnswered(machine, true) = &event {
            self.ordered.answered(machine, clock::now());
            self.handle(event);
            let numbers: Vec<u64> = self.waves.keys().copied().collect();
            for number in numbers {
                self.store_wave(number, false);
            }
        } else {
            self.handle(event);
        }
    }

    fn input(&mut self, item: &Item) {
        if let Some(id) = item.key.strip_prefix(keys::CANCELS) {
            self.handle(Event::Cancel(id.into()));
            return;
        }
        match serde_json::from_slice::<JobRow>(&item.value) {
            Ok(row) => self.handle(Event::Accept(row)),
            Err(error) => self.unreadable(&item.key, &error.to_string()),
        }
    }

    fn tick(&mut self) {
        let catalog = self.shared.catalog.borrow().clone();
        if let Some(catalog) = catalog.filter(|it| it.version > self.catalog) {
            self.catalog = catalog.version;
            self.handle(Event::Configure((*catalog).clone()));
        }
        self.handle(Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(STATUS_TICKS) {
            self.publish();
        }
        let now = clock::now();
        let (heard, expected) = self.batch.count_responsive(now);
        let reaches = heard * 2 > expected;
        let contact = now.saturating_sub(self.term.renewed.get()) < batch::CONTACT_TIMEOUT;
        self.extend.set(contact || reaches);
        if reaches || expected == 0 {
            self.isolated = None;
        } else if now.saturating_sub(*self.isolated.get_or_insert(now)) > ISOLATED {
            self.lost = Some(format!("{heard} of {expected} workers answer"));
        }
    }

    fn handle(&mut self, event: Event) {
        self.count(&event);
        self.batch.apply(event, clock::now());
    }

    fn act(&mut self, actions: Vec<Action>) {
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
                    let order = lookout::Order::Start(task, run, spec, checkpoint);
                    self.order(&worker, order);
                }
                Action::Stop { worker, task, run } => {
                    info!(self.shared.log, "jobs: stop"; "task" => %task, "run" => run,
                        "worker" => %worker);
                    self.order(&worker, lookout::Order::Stop(task, run));
                }
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => {
                    debug!(self.shared.log, "jobs: pace"; "task" => %task, "percent" => percent);
                    self.order(&worker, lookout::Order::Pace(task, run, percent));
                }
                Action::Acknowledge { worker, end } => {
                    if let Some(handle) = self.workers.get(&worker) {
                        handle.acknowledge(end);
                    }
                }
                Action::Move { machine, pool } => {
                    self.record_order(machine, machines::Order::Move(pool));
                }
                Action::Maintain { machine, wave } => {
                    self.record_order(machine, machines::Order::Maintain(wave));
                }
                Action::Publish { wave, completed } => self.store_wave(wave, completed),
                Action::Log(line) => info!(self.shared.log, "{}", line),
            }
        }
    }

    /// Gives an order to a machine once the store holds that it is given.
    fn record_order(&mut self, machine: VmId, order: machines::Order) {
        let now = clock::now();
        self.ordered.record(machine.clone(), now);
        let row = self.ordered.row(bounds(&self.shared).order_lease, now);
        match serde_json::to_vec(&row) {
            Ok(value) => {
                self.unrecorded.push((machine, order));
                self.extra(keys::ORDERS.to_owned(), value);
            }
            Err(error) => {
                // An order without its record must not be given.
                warn!(self.shared.log, "machines: orders cannot be recorded"; "error" => %error,
                    "machine" => %machine);
                self.handle(Event::OrderAnswered(machine, false));
            }
        }
    }

    fn order(&self, worker: &WorkerId, order: lookout::Order) {
        match self.workers.get(worker) {
            Some(handle) => handle.order(order),
            None => warn!(self.shared.log, "jobs: no connection to worker"; "worker" => %worker),
        }
    }

    /// Writes changed rows unless a write is under way.
    fn write(&mut self) {
        if self.writing {
            return;
        }
        let mut brought = Brought {
            extras: std::mem::take(&mut self.extras),
            orders: std::mem::take(&mut self.unrecorded),
            ..Brought::default()
        };
        while brought.has_room() {
            match self.batch.take_write() {
                Some(write) => brought.writes.push(write),
                None => break,
            }
        }
        if brought.writes.is_empty() {
            brought.expired = self.batch.take_expired(EXPIRED, clock::now());
        }
        if brought.is_empty() {
            return;
        }
        self.writing = true;
        self.write_sent = clock::now();
        self.written += 1;
        let term = (self.term.clone(), self.written);
        let shared = Rc::clone(&self.shared);
        let write = writer::write(shared, term, brought, self.inbox.clone());
        compio::runtime::spawn(write).detach();
    }

    fn extra(&mut self, key: String, value: Vec<u8>) {
        self.extras.retain(|(name, _)| *name != key);
        self.extras.push((key, value));
    }

    fn unreadable(&self, key: &str, reason: &str) {
        warn!(self.shared.log, "role: entry skipped"; "key" => key, "reason" => reason);
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
