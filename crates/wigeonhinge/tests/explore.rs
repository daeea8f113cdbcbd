//! Exhaustive exploration of a job start with the production scheduler.
//!
//! The model has two schedulers that always take their lease to be valid, a
//! store with compare-and-swap, two workers, and a network that delays and
//! reorders messages and loses answers. The job is not idempotent: it must
//! start at most once.

#[path = "explore/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use pathfinding::directed::bfs::bfs;
use rstest::rstest;
use wigeonhinge::id::Time;
use wigeonhinge::id::VmId;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::LogEntry;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Scheduler;
use wigeonhinge::scheduler::Task;
use wigeonhinge_schema::jobs::Size;

use crate::fixture::fleet;
use crate::fixture::job;
use crate::fixture::lease;
use crate::fixture::lost;
use crate::fixture::phases;
use crate::fixture::reports;

/// Protections of the protocol; a variant removes those that are set.
#[derive(Clone, Copy, Debug, Default)]
struct Removed {
    /// Workers reject commands with an outdated fence.
    fences: bool,
    /// Workers refuse the start of a task that was stopped before it arrived.
    refusals: bool,
    /// Workers refuse starts that were meant for an earlier incarnation.
    incarnations: bool,
    /// A start is recorded in the store before it is sent.
    record: bool,
    /// The store rejects a batch whose sequence number is taken.
    cas: bool,
}

/// Faults and ticks that may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Bounds {
    takeovers: u32,
    lost_answers: u32,
    outages: u32,
    restarts: u32,
    ticks: [u32; 2],
}

#[derive(Clone, Debug)]
struct Node {
    scheduler: Rc<Scheduler>,
    /// Hash of the scheduler; 0 if it has to be computed again.
    hash: u64,
    now: Time,
}

#[derive(Clone, Debug, Default, Hash)]
struct Worker {
    incarnation: u64,
    /// Highest fence seen.
    fence: u64,
    /// Tasks that have started, and whether they still run.
    tasks: BTreeMap<Task, bool>,
    /// Tasks that were stopped before their start arrived.
    refused: BTreeSet<Task>,
}

/// Message in the network; the number is the index of the scheduler that sent or receives it.
#[derive(Clone, Debug)]
enum Message {
    Store(usize, Action),
    Command(usize, VmId, Task, Command, u64),
    Event(usize, Event),
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    /// Batches in the store, by sequence number.
    log: BTreeMap<u64, Rc<LogEntry>>,
    workers: BTreeMap<VmId, Worker>,
    /// Messages under way, by their text.
    network: BTreeMap<String, Rc<Message>>,
    bounds: Bounds,
    /// Fence of the latest holder of the role.
    fence: u64,
    /// Starts of the job so far.
    runs: u32,
    /// Whether a running task was stopped with an outdated fence.
    stale_stop: bool,
    removed: Removed,
    /// Hash of the content, by which states are compared.
    key: u128,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl State {
    fn new(bounds: Bounds, removed: Removed) -> Self {
        let scheduler = |entry: &str| {
            let mut scheduler = Scheduler::new("crews".into(), entry.into(), 0);
            scheduler.handle(Event::Adopt(Box::new(fleet())), Time::ZERO);
            scheduler.handle(Event::Reports(reports()), Time::ZERO);
            Node {
                scheduler: Rc::new(scheduler),
                hash: 0,
                now: Time::ZERO,
            }
        };
        let worker = || Worker {
            incarnation: 1,
            ..Worker::default()
        };
        let mut state = Self {
            nodes: vec![scheduler("entry-0"), scheduler("entry-1")],
            log: BTreeMap::new(),
            workers: ["w0", "w1"].map(|name| (name.into(), worker())).into(),
            network: BTreeMap::new(),
            bounds,
            fence: 1,
            runs: 0,
            stale_stop: false,
            removed,
            key: 0,
        };
        state.handle(0, lease(1));
        state.deliver_all();
        let job = Box::new(job());
        state.handle(0, Event::Submit { ticket: 1, job });
        state.advance(0);
        state.deliver_all();
        // Each entry sees another worker as active, so that they place the job on
        // different workers.
        state.handle(0, phases("w0"));
        state.handle(1, phases("w1"));
        state.advance(0);
        state.deliver_all();
        state.update_key();
        state
    }

    /// Delivers all messages, without faults, until the network is empty.
    fn deliver_all(&mut self) {
        while let Some((_, message)) = self.network.pop_first() {
            self.deliver(&message);
        }
    }

    fn advance(&mut self, node: usize) {
        self.nodes[node].now += Duration::from_secs(3);
        self.handle(node, Event::Tick);
    }

    /// Returns the states that can follow this one.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (key, message) in &self.network {
            let mut taken = self.clone();
            taken.network.remove(key);
            let mut delivered = taken.clone();
            delivered.deliver(message);
            next.push(delivered);
            next.extend(taken.lose(message));
        }
        for node in 0..2 {
            next.extend(self.tick(node));
        }
        next.extend(self.takeover());
        next.extend(self.restart());
        next.iter_mut().for_each(Self::update_key);
        next
    }

    /// Loses an answer, or a store request during an outage; `None` for another message or when the
    /// bound is used up.
    fn lose(mut self, message: &Message) -> Option<Self> {
        match message {
            Message::Event(node, event) if self.bounds.lost_answers > 0 => {
                self.bounds.lost_answers -= 1;
                self.handle(*node, lost(event));
            }
            Message::Store(node, _) if self.bounds.outages > 0 => {
                self.bounds.outages -= 1;
                self.handle(*node, Event::StoreUnavailable);
            }
            _ => return None,
        }
        Some(self)
    }

    fn tick(&self, node: usize) -> Option<Self> {
        let mut next = self.clone();
        next.bounds.ticks[node] = next.bounds.ticks[node].checked_sub(1)?;
        next.advance(node);
        Some(next)
    }

    /// Gives the role to the other entry; the previous holder does not notice.
    fn takeover(&self) -> Option<Self> {
        let mut next = self.clone();
        next.bounds.takeovers = next.bounds.takeovers.checked_sub(1)?;
        next.fence += 1;
        let lease = lease(next.fence);
        next.handle(usize::from(next.fence.is_multiple_of(2)), lease);
        Some(next)
    }

    /// Restarts worker `w0`, which loses all its state.
    fn restart(&self) -> Option<Self> {
        let mut next = self.clone();
        next.bounds.restarts = next.bounds.restarts.checked_sub(1)?;
        let worker = next.workers.get_mut("w0")?;
        *worker = Worker {
            incarnation: worker.incarnation + 1,
            ..Worker::default()
        };
        Some(next)
    }

    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Store(node, action) => self.store(*node, action),
            Message::Event(node, event) => self.handle(*node, event.clone()),
            Message::Command(node, name, task, command, fence) => {
                let reply = self.command(name, task, *command, *fence);
                let event = Event::Reply {
                    worker: name.clone(),
                    task: task.clone(),
                    command: *command,
                    incarnation: self.workers[name].incarnation,
                    reply,
                };
                self.send(Message::Event(*node, event));
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        let actions = Rc::make_mut(&mut state.scheduler).handle(event, state.now);
        state.hash = 0;
        for action in actions {
            match action {
                Action::Append(_) | Action::Read { .. } | Action::Recover => {
                    if self.removed.record {
                        self.send_early_starts(node, &action);
                    }
                    self.send(Message::Store(node, action));
                }
                Action::Command {
                    worker,
                    task,
                    command,
                    fence,
                } => {
                    self.send(Message::Command(node, worker, task, command, fence));
                }
                _ => {}
            }
        }
    }

    /// Sends the starts of a batch before the batch is recorded.
    fn send_early_starts(&mut self, node: usize, action: &Action) {
        let Action::Append(batch) = action else {
            return;
        };
        for job in batch.jobs.iter().filter(|job| !job.worker.is_empty()) {
            let task = Task {
                job: job.id.as_str().into(),
                attempt: job.attempts,
            };
            let command = Command::Start {
                size: Size::default(),
                resume: false,
                ttl: Time::ZERO,
                incarnation: job.incarnation,
            };
            let worker = job.worker.as_str().into();
            self.send(Message::Command(node, worker, task, command, job.fence));
        }
    }

    fn store(&mut self, node: usize, action: &Action) {
        let event = match action {
            Action::Append(batch) if self.log.contains_key(&batch.seq) && !self.removed.cas => {
                Event::Conflict { seq: batch.seq }
            }
            Action::Append(batch) => {
                let entry = LogEntry {
                    version: 1,
                    batch: (**batch).clone(),
                };
                self.log.insert(batch.seq, Rc::new(entry));
                Event::Stored {
                    seq: batch.seq,
                    version: 1,
                }
            }
            Action::Read { seq } => {
                let entry = self.log.get(seq).map(|entry| (**entry).clone());
                Event::Read { seq: *seq, entry }
            }
            _ => Event::Recovered {
                snapshot: None,
                batches: self.log.values().map(|entry| (**entry).clone()).collect(),
            },
        };
        self.send(Message::Event(node, event));
    }

    fn command(&mut self, name: &VmId, task: &Task, command: Command, fence: u64) -> Reply {
        let removed = self.removed;
        let Some(worker) = self.workers.get_mut(name) else {
            return Reply::Lost;
        };
        let stale = fence < worker.fence;
        if stale && !removed.fences {
            return Reply::Fenced;
        }
        worker.fence = worker.fence.max(fence);
        let running = worker.tasks.get(task).copied();
        match (command, running) {
            (Command::Start { incarnation, .. }, None) => {
                if incarnation != worker.incarnation && !removed.incarnations {
                    return Reply::Restarted;
                }
                if worker.refused.contains(task) && !removed.refusals {
                    return Reply::Stopped { ran: false };
                }
                worker.tasks.insert(task.clone(), true);
                self.runs += 1;
                Reply::Running
            }
            (_, Some(false)) => Reply::Stopped { ran: true },
            (Command::Stop, Some(true)) => {
                worker.tasks.insert(task.clone(), false);
                self.stale_stop |= stale;
                Reply::Stopped { ran: true }
            }
            (Command::Stop, None) => {
                worker.refused.insert(task.clone());
                Reply::Stopped { ran: false }
            }
            (_, Some(true)) => Reply::Running,
            (_, None) => Reply::Absent,
        }
    }

    fn send(&mut self, message: Message) {
        let mut key = format!("{message:?}");
        while self.network.contains_key(&key) {
            key.push('+');
        }
        self.network.insert(key, Rc::new(message));
    }

    /// Recomputes the key from the whole content of the state.
    fn update_key(&mut self) {
        for node in &mut self.nodes {
            if node.hash == 0 {
                let mut hasher = DefaultHasher::new();
                format!("{:?}", node.scheduler).hash(&mut hasher);
                node.hash = hasher.finish() | 1;
            }
        }
        self.key = u128::from(self.digest(1)) << 64 | u128::from(self.digest(2));
    }

    fn digest(&self, salt: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        for node in &self.nodes {
            (node.hash, node.now).hash(&mut hasher);
        }
        for (seq, entry) in &self.log {
            (seq, entry.batch.fence, entry.batch.jobs.len()).hash(&mut hasher);
            entry.batch.jobs.hash(&mut hasher);
        }
        self.network.keys().for_each(|key| key.hash(&mut hasher));
        (
            &self.workers,
            self.bounds,
            self.fence,
            self.runs,
            self.stale_stop,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

#[rstest]
#[case::takeover(bounds([1, 1, 0, 0], [2, 3]))]
#[case::outage(bounds([1, 0, 1, 0], [2, 3]))]
#[case::restart(bounds([1, 0, 0, 1], [1, 3]))]
#[case::one_entry(bounds([0, 2, 1, 1], [4, 0]))]
#[case::takeover_back(bounds([2, 0, 0, 0], [2, 2]))]
fn start_once(#[case] bounds: Bounds) {
    // Guards against a second start after takeovers, pauses, lost answers, store
    // outages and worker restarts.
    let start = State::new(bounds, Removed::default());
    let states = explore(start);
    println!("{bounds:?}: {} states", states.count);
    assert_eq!(states.most_runs, 1, "the job must start, and only once");
    assert!(!states.stale_stop);
}

#[rstest]
#[case::start_before_record(
    Removed { record: true, ..Removed::default() },
    bounds([1, 0, 0, 0], [1, 3])
)]
#[case::no_cas(
    Removed { cas: true, ..Removed::default() },
    bounds([1, 0, 0, 0], [1, 3])
)]
#[case::no_refusals(
    Removed { refusals: true, ..Removed::default() },
    bounds([0, 1, 0, 0], [5, 0])
)]
#[case::no_incarnations(
    Removed { incarnations: true, ..Removed::default() },
    bounds([1, 0, 0, 1], [1, 4])
)]
fn start_twice_without(#[case] removed: Removed, #[case] bounds: Bounds) {
    // Checks that the exploration finds the second start that each protection prevents.
    let start = State::new(bounds, removed);
    let path = bfs(&start, State::successors, |state| state.runs > 1);
    let path = path.expect("a counterexample");
    println!("{removed:?}: counterexample of {} steps", path.len() - 1);
}

#[test]
fn stop_stale_without_fences() {
    // Checks that without fences an entry that has lost the role can stop a task
    // of the current holder. The counterexample is not a second start, because
    // the refusal of stopped tasks alone already prevents that.
    let removed = Removed {
        fences: true,
        ..Removed::default()
    };
    let start = State::new(bounds([1, 1, 0, 0], [3, 3]), removed);
    let path = bfs(&start, State::successors, |state| state.stale_stop);
    let path = path.expect("a counterexample");
    println!("{removed:?}: counterexample of {} steps", path.len() - 1);
}

/// Returns bounds on takeovers, lost answers, outages and restarts, and on the
/// ticks of each entry.
fn bounds([takeovers, lost_answers, outages, restarts]: [u32; 4], ticks: [u32; 2]) -> Bounds {
    Bounds {
        takeovers,
        lost_answers,
        outages,
        restarts,
        ticks,
    }
}

struct Explored {
    /// Number of reachable states.
    count: usize,
    most_runs: u32,
    stale_stop: bool,
}

/// Visits every state that is reachable from `start`.
fn explore(start: State) -> Explored {
    let mut explored = Explored {
        count: 0,
        most_runs: 0,
        stale_stop: false,
    };
    let reached = pathfinding::directed::bfs::bfs_reach(start, State::successors);
    for state in reached {
        explored.count += 1;
        explored.most_runs = explored.most_runs.max(state.runs);
        explored.stale_stop |= state.stale_stop;
    }
    explored
}
