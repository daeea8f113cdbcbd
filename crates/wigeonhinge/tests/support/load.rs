//! Load generator around a `Batch`: callers, machines that change pools, and a store that may be out.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::Time;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::ActiveRun;
use wigeonhinge::batch::Batch;
use wigeonhinge::batch::Bounds;
use wigeonhinge::batch::Catalog;
use wigeonhinge::batch::End;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::FinishedRun;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::JobSpec;
use wigeonhinge::batch::Machine;
use wigeonhinge::batch::MachineState;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::PoolRule;
use wigeonhinge::batch::Queue;
use wigeonhinge::batch::Report;
use wigeonhinge::batch::Size;
use wigeonhinge::batch::StartReply;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::batch::Write;
use wigeonhinge::batch::longest_lease;

const STEP: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(100);

/// Time from a write to its answer.
const WRITE_TIME: Duration = Duration::from_millis(10);

/// Time for which a machine that changes its pool is away, and until its worker is registered.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
const REGISTRATION_TIME: Duration = Duration::from_millis(100);

/// Time between two readings of the list of machines.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two reports of a worker on which nothing ends.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two checkpoints of a task, and to restore one.
const CHECKPOINT_INTERVAL_MS: u128 = 500;
const RESTORE_TIME: Duration = Duration::from_millis(600);

const SPARE: &str = "spare";

/// Kind of job: its queue and pool have the same name.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Tasks of a step, from 1 to twice the mean.
    pub width: u32,
    pub steps: u32,
    pub millicores: u64,
    /// Mean run time of a task; single ones take half to one and a half of it.
    pub run_ms: u64,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
}

/// Jobs of one kind that arrive at a rate from one second to another.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub kind: usize,
    pub from_s: f64,
    pub to_s: f64,
    pub per_s: f64,
}

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub jobs: usize,
    pub in_time: usize,
    /// Jobs that ended within three times their objective.
    pub late: usize,
}

impl Served {
    pub fn share(self) -> f64 {
        self.in_time as f64 / (self.jobs as f64).max(1.0)
    }
}

#[derive(Clone, Debug)]
struct Running {
    run: u32,
    started: Time,
    ends: Time,
    /// Work that was done before this run.
    resumed: Duration,
    checkpointing: bool,
}

impl Running {
    /// Returns the work done that the last checkpoint holds, as text; empty for none.
    fn checkpoint(&self, now: Time) -> String {
        let done = self.resumed + now.saturating_sub(self.started);
        let saved = done.as_millis() / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        match self.checkpointing && saved > 0 {
            true => saved.to_string(),
            false => String::new(),
        }
    }
}

#[derive(Debug, Default)]
struct Node {
    pool: String,
    machine: String,
    runs: BTreeMap<TaskId, Running>,
    finished: Vec<FinishedRun>,
    last_number: u64,
    reported: Time,
}

#[derive(Debug)]
struct Host {
    pool: String,
    worker: String,
    /// When the machine arrives in its pool, and when its worker is registered there.
    arrives: Option<Time>,
    registers: Option<Time>,
}

/// Job of a caller: kind, when it was handed in, and its objective.
#[derive(Debug)]
struct Request {
    kind: usize,
    sent: Time,
    objective: Duration,
    run_ms: u64,
    ended: Option<Time>,
}

/// Deployment under load.
pub struct Load {
    pub batch: Batch,
    pub now: Time,
    pub moves: usize,
    /// Seconds of machines in pools.
    pub machine_secs: f64,
    /// Seconds at which runs were stopped.
    pub stops: Vec<f64>,
    /// Seconds from and to which the store answers nothing, so that callers are refused.
    pub outage: Option<(f64, f64)>,
    /// Whether all queues use the pool of the first one.
    shared_pool: bool,
    kinds: Vec<Kind>,
    millicores: u64,
    hosts: BTreeMap<String, Host>,
    nodes: BTreeMap<String, Node>,
    requests: BTreeMap<String, Request>,
    writes: Vec<(Time, Vec<Write>)>,
    answers: Vec<Event>,
    listed: Time,
    workers: u32,
    rng: Pcg64,
}

fn queue(kind: &Kind, pool: &str) -> Queue {
    Queue {
        name: kind.name.into(),
        host: "host".into(),
        prefix: format!("/{}/", kind.name).into(),
        pool: pool.into(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.5,
        objective: Duration::from_millis(600),
        anonymous: false,
    }
}

fn rules(kinds: &[Kind]) -> Vec<PoolRule> {
    let rule = |name: &str, standby| PoolRule {
        name: name.into(),
        enforces_capacity: true,
        standby,
    };
    let mut rules: Vec<PoolRule> = kinds.iter().map(|it| rule(it.name, false)).collect();
    rules.push(rule(SPARE, true));
    rules
}

impl Load {
    /// Creates a deployment with as many machines in each pool as `machines` says, and in the
    /// standby pool.
    pub fn new(kinds: &[Kind], machines: (usize, usize), millicores: u64, seed: u64) -> Self {
        let queues = kinds.iter().map(|kind| queue(kind, kind.name));
        let catalog = Catalog::new(1, queues, rules(kinds), 1 << 18);
        let bounds = Bounds {
            lease: Duration::from_secs(10),
            retention: Duration::from_secs(120),
            migrate: MOVE_TIME,
            maintenance: Duration::from_secs(2),
            order_lease: Duration::from_secs(3),
            notice: Duration::from_millis(4_500),
        };
        let mut load = Self {
            batch: Batch::new(bounds, catalog, -(START.as_millis() as i64), START),
            now: START,
            moves: 0,
            machine_secs: 0.0,
            stops: Vec::new(),
            outage: None,
            shared_pool: false,
            kinds: kinds.to_vec(),
            millicores,
            hosts: BTreeMap::new(),
            nodes: BTreeMap::new(),
            requests: BTreeMap::new(),
            writes: Vec::new(),
            answers: Vec::new(),
            listed: Time::ZERO,
            workers: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        let pools = kinds.iter().map(|it| (it.name, machines.0));
        for (pool, count) in pools.chain([(SPARE, machines.1)]) {
            for index in 0..count {
                let id = format!("m-{pool}-{index}");
                let host = Host {
                    pool: pool.to_owned(),
                    worker: String::new(),
                    arrives: None,
                    registers: None,
                };
                load.hosts.insert(id.clone(), host);
                load.register(&id);
            }
        }
        load
    }

    /// Plays arrivals for `secs` seconds and gives the rest of the jobs 20 s to end.
    pub fn play(&mut self, arrivals: &[Arrivals], secs: f64) {
        let mut next: Vec<f64> = arrivals.iter().map(|it| it.from_s).collect();
        let end = START + Duration::from_secs_f64(secs);
        while self.now < end {
            let second = self.second();
            for (entry, next) in arrivals.iter().zip(&mut next) {
                while *next <= second && *next < entry.to_s {
                    if !self.store_is_out() {
                        self.submit(entry.kind);
                    }
                    let gap: f64 = self.rng.random_range(0.4..1.6);
                    *next += gap / entry.per_s;
                }
            }
            self.step();
        }
        let until = self.now + Duration::from_secs(20);
        while self.now < until && self.requests.values().any(|it| it.ended.is_none()) {
            self.step();
        }
    }

    /// Lets all queues use the pool of the first one, with or without reservations in time.
    pub fn share_pool(&mut self, backfill: bool) {
        self.shared_pool = true;
        let queues: Vec<Queue> = (0..self.kinds.len())
            .map(|kind| queue(&self.kinds[kind], self.pool(kind)))
            .collect();
        let mut catalog = Catalog::new(2, queues, rules(&self.kinds), 1 << 18);
        catalog.backfill = backfill;
        self.handle(Event::Configure(catalog));
    }

    fn pool(&self, kind: usize) -> &'static str {
        match self.shared_pool {
            true => self.kinds[0].name,
            false => self.kinds[kind].name,
        }
    }

    /// Returns how much longer the ended jobs of a kind took than their run time, in milliseconds.
    pub fn waits_ms(&self, kind: usize) -> Vec<f64> {
        let requests = self.requests.values().filter(|it| it.kind == kind);
        let waits = requests.filter_map(|it| {
            let path = it.run_ms * u64::from(self.kinds[kind].steps);
            let time = (it.ended? - it.sent).as_secs_f64() * 1e3;
            Some(time - path as f64)
        });
        waits.collect()
    }

    /// Returns what the callers of each kind got, of jobs handed in between two seconds.
    pub fn served(&self, from_s: f64, to_s: f64) -> BTreeMap<&'static str, Served> {
        let mut served: BTreeMap<&'static str, Served> = BTreeMap::new();
        for request in self.requests.values() {
            let second = (request.sent - START).as_secs_f64();
            if second < from_s || second >= to_s {
                continue;
            }
            let entry = served.entry(self.kinds[request.kind].name).or_default();
            entry.jobs += 1;
            let Some(ended) = request.ended else {
                continue;
            };
            let time = ended - request.sent;
            entry.in_time += usize::from(time <= request.objective);
            entry.late += usize::from(time > request.objective && time <= 3 * request.objective);
        }
        served
    }

    fn submit(&mut self, kind: usize) {
        let Kind {
            name,
            width,
            steps,
            millicores,
            run_ms,
            checkpointing,
        } = self.kinds[kind];
        let id = format!("{name}-{}", self.requests.len());
        let run_ms = self.rng.random_range(run_ms / 2..=run_ms * 3 / 2);
        let step = |index: u32, count: u32| Step {
            count,
            millicores,
            memory_mb: 100,
            estimate_ms: run_ms,
            checkpointing,
            after: index
                .checked_sub(1)
                .map(|it| it as usize)
                .into_iter()
                .collect(),
            ..Step::default()
        };
        let steps: Vec<Step> = (0..steps)
            .map(|index| step(index, self.rng.random_range(1..=2 * width)))
            .collect();
        let path = Duration::from_millis(run_ms * steps.len() as u64);
        self.requests.insert(
            id.clone(),
            Request {
                kind,
                sent: self.now,
                objective: path.mul_f64(1.5) + Duration::from_millis(600),
                run_ms,
                ended: None,
            },
        );
        let row = JobRow {
            id: id.as_str().into(),
            partition: 0,
            queue: name.into(),
            pool: self.pool(kind).into(),
            accepted_ms: (self.now - START).as_millis() as i64,
            job: JobSpec {
                spec: "text".into(),
                steps,
                ..JobSpec::default()
            },
            workspace: "".into(),
            transfer: None,
        };
        self.handle(Event::Accept(row));
    }

    fn step(&mut self) {
        self.now += STEP;
        for event in std::mem::take(&mut self.answers) {
            self.handle(event);
        }
        self.advance_machines();
        self.advance_runs();
        if self.now >= self.listed + LIST_INTERVAL {
            self.listed = self.now;
            let list = self.list();
            self.handle(Event::Machines(list));
        }
        self.handle(Event::Tick);
        self.store();
        let in_pools = self.hosts.values().filter(|it| it.pool != SPARE).count();
        self.machine_secs += in_pools as f64 * STEP.as_secs_f64();
    }

    /// Returns the seconds since the start.
    fn second(&self) -> f64 {
        (self.now - START).as_secs_f64()
    }

    fn store_is_out(&self) -> bool {
        let second = self.second();
        self.outage
            .is_some_and(|(from, to)| second >= from && second < to)
    }

    fn store(&mut self) {
        if self.store_is_out() {
            return;
        }
        let due = self.writes.iter().take_while(|(time, _)| *time <= self.now);
        let due = due.count();
        for (_, writes) in self.writes.drain(..due).collect::<Vec<_>>() {
            for write in &writes {
                let ended = write
                    .state
                    .as_ref()
                    .filter(|it| it.phase == Phase::Completed);
                if ended.is_some()
                    && let Some(request) = self.requests.get_mut(write.job.as_str())
                {
                    request.ended.get_or_insert(self.now);
                }
            }
            let actions = self.batch.confirm_writes(&writes, self.now);
            self.execute(actions);
        }
        if self.writes.is_empty() {
            let mut writes = Vec::new();
            while let Some(write) = self.batch.take_write() {
                writes.push(write);
            }
            if !writes.is_empty() {
                self.writes.push((self.now + WRITE_TIME, writes));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.batch.handle(event, self.now);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    task,
                    run,
                    checkpoint,
                    ..
                } => self.start(&worker, task, run, &checkpoint),
                Action::Stop { worker, task, run } => {
                    self.stops.push(self.second());
                    self.end(&worker, &task, run, End::Interrupted);
                    self.answers
                        .push(Event::StopAnswered(worker, task, run, true));
                }
                Action::Acknowledge { worker, end, .. } => {
                    if let Some(node) = self.nodes.get_mut(worker.as_str()) {
                        node.finished.retain(|it| it.number > end);
                    }
                }
                Action::Move { machine, pool } => self.order(&machine, &pool),
                Action::Maintain { .. }
                | Action::Pace { .. }
                | Action::Publish { .. }
                | Action::WithdrawStop { .. }
                | Action::WithdrawStarts { .. }
                | Action::RecordRestarts(_)
                | Action::Log(_) => {}
            }
        }
    }

    fn start(&mut self, worker: &str, task: TaskId, run: u32, checkpoint: &str) {
        let Some(node) = self.nodes.get_mut(worker) else {
            let reply = StartReply::Unknown;
            self.answers
                .push(Event::StartAnswered(worker.into(), task, run, reply));
            return;
        };
        let request = &self.requests[task.job.as_str()];
        // The same for each run of a task, and in each play of the seed.
        let place = f64::from((task.index * 7 + task.step * 3) % 11) / 11.0;
        let time = Duration::from_millis(request.run_ms).mul_f64(0.9 + 0.2 * place);
        let resumed = Duration::from_millis(checkpoint.parse().unwrap_or(0));
        let restore = match checkpoint.is_empty() {
            true => Duration::ZERO,
            false => RESTORE_TIME,
        };
        let started = self.now + restore;
        let work = Running {
            run,
            started,
            ends: started + time.saturating_sub(resumed),
            resumed,
            checkpointing: self.kinds[request.kind].checkpointing,
        };
        node.runs.insert(task.clone(), work);
        let reply = StartReply::Started;
        self.answers
            .push(Event::StartAnswered(worker.into(), task, run, reply));
    }

    fn end(&mut self, worker: &str, task: &TaskId, run: u32, end: End) {
        let Some(node) = self.nodes.get_mut(worker) else {
            return;
        };
        if node.runs.get(task).is_some_and(|it| it.run == run)
            && let Some(work) = node.runs.remove(task)
        {
            node.last_number += 1;
            node.finished.push(FinishedRun {
                number: node.last_number,
                task: task.clone(),
                run,
                end,
                checkpoint: work.checkpoint(self.now).into(),
            });
        }
    }

    fn order(&mut self, machine: &str, pool: &str) {
        self.moves += 1;
        let Some(host) = self.hosts.get_mut(machine) else {
            return;
        };
        let worker = std::mem::take(&mut host.worker);
        pool.clone_into(&mut host.pool);
        host.arrives = Some(self.now + MOVE_TIME);
        if let Some(node) = self.nodes.remove(&worker) {
            assert!(node.runs.is_empty(), "a move ended {:?}", node.runs.keys());
        }
        self.answers
            .push(Event::OrderAnswered(machine.into(), true));
        self.answers
            .push(Event::WorkerRemoved(worker.as_str().into()));
    }

    fn advance_machines(&mut self) {
        let ids: Vec<String> = self.hosts.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(host) = self.hosts.get_mut(&id) else {
                continue;
            };
            if host.arrives.is_some_and(|time| time <= now) {
                host.arrives = None;
                host.registers = Some(now + REGISTRATION_TIME);
            }
            if host.registers.is_some_and(|time| time <= now) {
                host.registers = None;
                self.register(&id);
            }
        }
    }

    fn register(&mut self, machine: &str) {
        self.workers += 1;
        let worker = format!("w{}", self.workers);
        let Some(host) = self.hosts.get_mut(machine) else {
            return;
        };
        host.worker.clone_from(&worker);
        let entry = WorkerEntry {
            id: worker.as_str().into(),
            address: "127.0.0.1:1".parse().ok(),
            pool: host.pool.as_str().into(),
            zone: "a".into(),
            rack: "r1".into(),
            capacity: Size {
                millicores: self.millicores,
                memory_mb: 128_000,
                accelerators: 0,
            },
            labels: vec!["r1".into()],
            draining: false,
            incarnation: 1,
            machine: machine.into(),
        };
        let node = Node {
            pool: host.pool.clone(),
            machine: machine.to_owned(),
            ..Node::default()
        };
        self.nodes.insert(worker, node);
        self.handle(Event::WorkerRegistered(entry));
    }

    fn advance_runs(&mut self) {
        let ids: Vec<String> = self.nodes.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(node) = self.nodes.get(&id) else {
                continue;
            };
            let ended = node.runs.iter().filter(|(_, work)| work.ends <= now);
            let ended: Vec<(TaskId, u32)> =
                ended.map(|(task, work)| (task.clone(), work.run)).collect();
            let due = !ended.is_empty() || now >= node.reported + REPORT_INTERVAL;
            for (task, run) in ended {
                self.end(&id, &task, run, End::Done);
            }
            if due {
                self.report(&id);
            }
        }
    }

    fn report(&mut self, id: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.reported = now;
        let percent = |work: &Running| {
            let done = work.resumed + now.saturating_sub(work.started);
            let whole = work.resumed + work.ends.saturating_sub(work.started);
            (done.as_secs_f64() / whole.as_secs_f64().max(0.001) * 100.0) as u32
        };
        let running = node.runs.iter().map(|(task, work)| ActiveRun {
            task: task.clone(),
            run: work.run,
            checkpoint: work.checkpoint(now).into(),
            percent: percent(work),
            measurement: 0.0,
        });
        let report = Report {
            age: now,
            incarnation: 1,
            requested_at: now,
            answered_by: now,
            running: running.collect(),
            finished: node.finished.clone(),
            more_finished: false,
        };
        self.handle(Event::LeaseExtended(id.into(), now + longest_lease()));
        self.handle(Event::Report(id.into(), report));
    }

    fn list(&self) -> Vec<Machine> {
        let hosts = self.hosts.iter();
        let list = hosts.map(|(id, host)| Machine {
            id: id.as_str().into(),
            pool: host.pool.as_str().into(),
            state: match host.arrives {
                Some(_) => MachineState::Moving,
                None => MachineState::Up,
            },
            zone: "a".into(),
            rack: "r1".into(),
            labels: vec!["r1".into()],
            worker: host.worker.as_str().into(),
        });
        list.collect()
    }
}
