//! Fakes of the store, the workers and the network in virtual time, around one
//! or more schedulers of a pool. Used by measurements and by tests.

// The paths are explicit because tests include this file by its path.
#[path = "world/store.rs"]
mod store;
#[path = "world/task.rs"]
mod task;
#[path = "world/worker.rs"]
mod worker;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::id::JobId;
use wigeonhinge::id::Ticket;
use wigeonhinge::id::Time;
use wigeonhinge::id::VmId;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::Answer;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Scheduler;
use wigeonhinge::scheduler::TICK_INTERVAL;
use wigeonhinge::scheduler::Task;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;

pub use self::store::Store;
pub use self::worker::Worker;

/// Time to live of the lease of a role.
const LEASE: Time = Duration::from_secs(6);

/// Interval of lease renewals and of attempts to take the role.
const RENEW: Time = Duration::from_secs(2);

/// Margin that a holder takes off its lease.
const MARGIN: Time = Duration::from_millis(500);

/// Interval and age of the workers' reports.
const REPORT: Time = Duration::from_secs(1);

/// What a job really does.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Time that it runs undisturbed.
    pub run: Time,
    /// Highest use.
    pub peak: Size,
    /// Whether it fails on every worker.
    pub fails: bool,
    /// Whether it must start once at most.
    pub once: bool,
}

/// Faults that are switched on.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The store answers nothing and does nothing.
    pub store_down: bool,
    /// Added to each answer of the store.
    pub store_slow: Time,
    /// Share of the store's answers that are lost after the write took effect.
    pub store_lost: f64,
    /// Share of the workers' answers that are lost.
    pub worker_lost: f64,
    /// Share of the messages that arrive up to 10 s late.
    pub late: f64,
}

/// Counted events.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Writes to the store that took effect.
    pub writes: u64,
    /// Calls to the store.
    pub calls: u64,
    /// Bytes of all values written to the store.
    pub bytes: u64,
    /// Commands to workers.
    pub commands: u64,
    /// Time that tasks ran in vain, weighted by thousandths of a core.
    pub wasted: f64,
    /// Time that tasks ran in vain because memory ran out.
    pub exhausted: f64,
    /// Time that tasks ran, weighted by thousandths of a core that they use.
    pub worked: f64,
    /// First time that a job ran.
    pub first: BTreeMap<JobId, Time>,
    /// How often a job began to run.
    pub runs: BTreeMap<JobId, u32>,
    /// When a job ended well.
    pub done: BTreeMap<JobId, Time>,
    /// Workers whose quarantine was asked for.
    pub quarantined: Vec<VmId>,
}

/// An entry that may hold the role.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its scheduler.
    pub scheduler: Scheduler,
    paused: bool,
    backlog: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Message {
    Tick(usize),
    Renew,
    Report,
    Phases,
    Node(usize, Event),
    Store(usize, Action),
    Worker(usize, VmId, Task, Command, u64),
    Reply(usize, VmId, Task, Command, u64, Reply),
    End(VmId, Task, u64),
    Peak(VmId, Task),
}

/// The fakes around the schedulers.
#[derive(Clone, Debug)]
pub struct World {
    /// Current time.
    pub now: Time,
    /// Entries.
    pub nodes: Vec<Node>,
    /// Store.
    pub store: Store,
    /// Workers.
    pub workers: BTreeMap<VmId, Worker>,
    /// What the jobs really do.
    pub truths: BTreeMap<JobId, Truth>,
    /// Phases of the workers.
    pub phases: BTreeMap<VmId, Phase>,
    /// Answers to submitters.
    pub answers: BTreeMap<Ticket, Vec<(Time, Answer)>>,
    /// Faults that are switched on.
    pub faults: Faults,
    /// Counted events.
    pub stats: Stats,
    checkpoints: BTreeMap<JobId, Time>,
    queue: BTreeMap<(Time, u64), Message>,
    count: u64,
    rng: Pcg64,
    tickets: Ticket,
}

impl World {
    /// Creates entries around a pool of a fleet and lets the first take the role.
    pub fn new(fleet: &Fleet, pool: &str, entries: usize, seed: u64) -> Self {
        let vms = || fleet.inventory.iter().filter(|vm| vm.pool == pool);
        let mut world = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            store: Store::default(),
            workers: vms()
                .map(|vm| (VmId::from(&vm.name), Worker::new(vm)))
                .collect(),
            truths: BTreeMap::new(),
            phases: vms()
                .map(|vm| (VmId::from(&vm.name), Phase::Active))
                .collect(),
            answers: BTreeMap::new(),
            faults: Faults::default(),
            stats: Stats::default(),
            checkpoints: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
            rng: Pcg64::seed_from_u64(seed),
            tickets: 0,
        };
        for index in 0..entries {
            let entry = CompactString::from(format!("entry-{index}"));
            let mut scheduler = Scheduler::new(pool.into(), entry, 1_000_000);
            scheduler.handle(Event::Adopt(Box::new(fleet.clone())), Time::ZERO);
            world.nodes.push(Node {
                scheduler,
                paused: false,
                backlog: Vec::new(),
            });
            let offset = TICK_INTERVAL * u32::try_from(index).unwrap_or(0) / 3;
            world.push(offset, Message::Tick(index));
        }
        world.push(Time::ZERO, Message::Renew);
        world.push(Time::ZERO, Message::Phases);
        world.push(Time::ZERO, Message::Report);
        world.run(Duration::from_secs(5));
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Time) {
        let end = self.now + time;
        while let Some((&(at, count), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if let Some(message) = self.queue.remove(&(at, count)) {
                self.deliver(message);
            }
        }
        self.now = end;
    }

    /// Submits a job to the holder of the role and returns its ticket.
    pub fn submit(&mut self, job: Job, truth: Truth) -> Ticket {
        self.truths.entry(job.id.as_str().into()).or_insert(truth);
        self.tickets += 1;
        let ticket = self.tickets;
        let job = Box::new(job);
        self.tell(Event::Submit { ticket, job });
        ticket
    }

    /// Cancels a job and returns the ticket.
    pub fn cancel(&mut self, job: &str) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        let job = job.into();
        self.tell(Event::Cancel { ticket, job });
        ticket
    }

    /// Asks for the state of a job and returns the answer, if it is immediate.
    pub fn ask(&mut self, job: &str) -> Option<Answer> {
        self.tickets += 1;
        let ticket = self.tickets;
        let job = job.into();
        self.tell(Event::Query { ticket, job });
        self.answer(ticket)
    }

    /// Returns the first answer to a ticket.
    pub fn answer(&self, ticket: Ticket) -> Option<Answer> {
        let answers = self.answers.get(&ticket)?;
        answers.first().map(|(_, answer)| answer.clone())
    }

    /// Stops or resumes an entry; its events wait meanwhile.
    pub fn pause(&mut self, node: usize, paused: bool) {
        self.nodes[node].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.nodes[node].backlog) {
                self.handle(node, event);
            }
        }
    }

    /// Returns the entry that holds the role.
    pub fn holder(&self) -> usize {
        self.store.holder.unwrap_or(0)
    }

    /// Returns the scheduler that holds the role.
    pub fn scheduler(&self) -> &Scheduler {
        &self.nodes[self.holder()].scheduler
    }

    /// Restarts a worker, which ends its tasks and forgets them.
    pub fn restart(&mut self, worker: &str) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let lost = state.restart(self.now);
        self.stats.wasted += lost;
    }

    /// Sets the phase of a worker as the ledger has it.
    pub fn phase(&mut self, worker: &str, phase: Phase) {
        self.phases.insert(worker.into(), phase);
    }

    /// Returns the jobs that must start once at most and started more often.
    pub fn repeated(&self) -> Vec<&JobId> {
        let runs = self.stats.runs.iter().filter(|(_, runs)| **runs > 1);
        runs.map(|(job, _)| job)
            .filter(|job| self.truths.get(*job).is_some_and(|truth| truth.once))
            .collect()
    }

    fn tell(&mut self, event: Event) {
        let node = self.holder();
        self.handle(node, event);
    }

    fn push(&mut self, after: Time, message: Message) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), message);
    }

    /// Delay of a message on the network.
    fn hop(&mut self) -> Time {
        if self.faults.late > 0.0 && self.rng.random_bool(self.faults.late) {
            return Duration::from_millis(self.rng.random_range(100..10_000));
        }
        Duration::from_micros(self.rng.random_range(300..2_000))
    }

    fn lost(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick(node) => {
                self.push(TICK_INTERVAL, Message::Tick(node));
                if !self.nodes[node].paused {
                    self.handle(node, Event::Tick);
                }
            }
            Message::Renew => self.renew(),
            Message::Phases => {
                self.push(REPORT, Message::Phases);
                let phases = self.phases.clone();
                self.all(&Event::Phases(phases));
            }
            Message::Report => {
                self.push(REPORT, Message::Report);
                let reports = self.workers.iter().filter(|(_, worker)| worker.up);
                let reports = reports.map(|(name, worker)| worker.report(name)).collect();
                self.all_after(REPORT, &Event::Reports(reports));
            }
            Message::Node(node, event) => self.handle(node, event),
            Message::Store(node, action) => self.store_call(node, action),
            Message::Worker(node, worker, task, command, fence) => {
                self.command(node, &worker, &task, command, fence);
            }
            Message::Reply(node, worker, task, command, incarnation, reply) => {
                let event = Event::Reply {
                    worker,
                    task,
                    command,
                    incarnation,
                    reply,
                };
                self.handle(node, event);
            }
            Message::End(worker, task, epoch) => self.end(&worker, &task, epoch),
            Message::Peak(worker, task) => self.peak(&worker, &task),
        }
    }

    fn all(&mut self, event: &Event) {
        for node in 0..self.nodes.len() {
            self.handle(node, event.clone());
        }
    }

    fn all_after(&mut self, after: Time, event: &Event) {
        for node in 0..self.nodes.len() {
            self.push(after, Message::Node(node, event.clone()));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        if self.nodes[node].paused {
            self.nodes[node].backlog.push(event);
            return;
        }
        let actions = self.nodes[node].scheduler.handle(event, self.now);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Answer { ticket, answer } => {
                let answers = self.answers.entry(ticket).or_default();
                answers.push((self.now, answer));
            }
            Action::Command {
                worker,
                task,
                command,
                fence,
            } => {
                self.stats.commands += 1;
                let hop = self.hop();
                self.push(hop, Message::Worker(node, worker, task, command, fence));
            }
            Action::Quarantine { worker, .. } => self.stats.quarantined.push(worker),
            Action::Audit(_) => {}
            call => {
                let hop = self.hop();
                self.push(hop, Message::Store(node, call));
            }
        }
    }

    /// Renews the lease of the holder, or lets the next entry take the role.
    fn renew(&mut self) {
        self.push(RENEW, Message::Renew);
        if self.faults.store_down {
            return;
        }
        let held = self.store.holder.filter(|_| self.now < self.store.until);
        let live = (0..self.nodes.len()).find(|node| !self.nodes[*node].paused);
        let node = match held {
            Some(node) if self.nodes[node].paused => return,
            Some(node) => node,
            None => {
                let Some(node) = live else {
                    return;
                };
                self.store.fence += 1;
                self.store.holder = Some(node);
                node
            }
        };
        self.store.until = self.now + LEASE;
        let lease = Event::Lease {
            fence: self.store.fence,
            until: self.now + LEASE - MARGIN,
        };
        self.handle(node, lease);
    }

    fn store_call(&mut self, node: usize, action: Action) {
        self.stats.calls += 1;
        let wait = self.hop() + self.faults.store_slow + Duration::from_millis(3);
        if self.faults.store_down {
            let event = Event::StoreUnavailable;
            return self.push(
                wait + Duration::from_millis(500),
                Message::Node(node, event),
            );
        }
        let Some(event) = self.store.call(action, &mut self.stats) else {
            return;
        };
        let share = self.faults.store_lost;
        let lost = self.lost(share);
        let event = if lost { Event::StoreUnavailable } else { event };
        self.push(wait, Message::Node(node, event));
    }
}
