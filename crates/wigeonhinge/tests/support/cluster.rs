//! In-memory store and workers around a `Batch`, for its tests.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::Duration;

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
use wigeonhinge::batch::StartsRow;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::StoredProgress;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::batch::longest_lease;

/// Run on a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    pub run: u32,
    pub percent: u32,
    pub measurement: f64,
}

/// Simulated worker that executes every start and stop it receives.
#[derive(Clone, Debug, Default)]
pub struct Node {
    pub incarnation: u64,
    /// When the incarnation began.
    pub began_at: Time,
    pub runs: BTreeMap<TaskId, WorkerRun>,
    pub finished: Vec<FinishedRun>,
    /// Number of the last finished run.
    pub last_number: u64,
    /// Whether it answers neither listings nor starts nor stops.
    pub silent: bool,
    /// Whether it carries out starts without an answer, and no stops.
    pub leaves_orders: bool,
    /// Number of finished runs that it lists at most in one report; 0 for any number.
    pub listing_limit: usize,
}

/// The holder of the role, its store and its workers.
pub struct Cluster {
    pub batch: Batch,
    pub now: Time,
    pub nodes: BTreeMap<String, Node>,
    pub entries: Vec<WorkerEntry>,
    pub jobs: BTreeMap<String, JobRow>,
    pub progress: BTreeMap<String, StoredProgress>,
    /// Starts without an answer in the store.
    pub starts_row: StartsRow,
    /// Phases of the jobs in the store.
    pub states: BTreeMap<String, Phase>,
    pub actions: Vec<Action>,
    /// Rows of jobs that were stored for other partitions.
    pub transferred: Vec<JobRow>,
    /// Whether the actions of the holder are executed at once; if not, they are only recorded.
    pub auto_execute: bool,
    /// Configuration with which a successor begins.
    pub catalog: Catalog,
}

pub const POOL: &str = "crews";
pub const SPARE: &str = "spare";

pub fn bounds() -> Bounds {
    Bounds {
        lease: Duration::from_secs(10),
        retention: Duration::from_secs(120),
        migrate: Duration::from_millis(1_500),
        maintenance: Duration::from_secs(2),
        order_lease: Duration::from_secs(3),
        notice: Duration::from_millis(4_500),
    }
}

pub fn catalog() -> Catalog {
    let queue = |name: &str| Queue {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: POOL.into(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        objective: Duration::from_millis(600),
        anonymous: false,
    };
    let pool = |name: &str, standby| PoolRule {
        name: name.into(),
        enforces_capacity: true,
        standby,
    };
    let pools = vec![pool(POOL, false), pool(SPARE, true)];
    Catalog::new(1, [queue("booking")], pools, 1 << 18)
}

pub fn entry(id: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.into(),
        address: "127.0.0.1:1".parse().ok(),
        pool: POOL.into(),
        zone: "a".into(),
        rack: "r1-1".into(),
        capacity: Size {
            millicores: 16_000,
            memory_mb: 64_000,
            accelerators: 0,
        },
        labels: vec!["kind".into(), "r1-1".into()],
        draining: false,
        incarnation: 1,
        machine: format!("m-{id}").into(),
    }
}

pub fn step(count: u32) -> Step {
    Step {
        count,
        millicores: 1_000,
        memory_mb: 1_000,
        estimate_ms: 800,
        ..Step::default()
    }
}

pub fn job(id: &str, steps: Vec<Step>) -> JobRow {
    JobRow {
        id: id.into(),
        partition: 0,
        queue: "booking".into(),
        pool: POOL.into(),
        accepted_ms: 0,
        job: JobSpec {
            spec: "text".into(),
            steps,
            ..JobSpec::default()
        },
        workspace: "".into(),
        transfer: None,
    }
}

pub fn task(name: &str) -> TaskId {
    name.parse().expect("a valid task identifier")
}

pub fn machine(id: &str, pool: &str, worker: &str) -> Machine {
    Machine {
        id: id.into(),
        pool: pool.into(),
        state: MachineState::Up,
        zone: "a".into(),
        rack: "r1-1".into(),
        labels: vec!["kind".into(), "r1-1".into()],
        worker: worker.into(),
    }
}

impl Cluster {
    /// Creates a cluster whose workers have no runs.
    pub fn new(workers: &[&str]) -> Self {
        let now = Duration::from_secs(100);
        let entries: Vec<WorkerEntry> = workers.iter().map(|id| entry(id)).collect();
        let node = || Node {
            incarnation: 1,
            ..Node::default()
        };
        let nodes = workers.iter().map(|id| ((*id).to_owned(), node()));
        let mut cluster = Self {
            batch: Batch::new(bounds(), catalog(), -100_000, now),
            now,
            nodes: nodes.collect(),
            entries: entries.clone(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            starts_row: StartsRow::default(),
            states: BTreeMap::new(),
            actions: Vec::new(),
            transferred: Vec::new(),
            auto_execute: true,
            catalog: catalog(),
        };
        cluster.handle(Event::Workers(entries));
        cluster.poll_workers();
        cluster
    }

    /// Adds a worker without runs.
    pub fn add_worker(&mut self, entry: WorkerEntry) {
        let node = Node {
            incarnation: 1,
            ..Node::default()
        };
        self.nodes.insert(entry.id.to_string(), node);
        self.entries.push(entry.clone());
        self.handle(Event::WorkerRegistered(entry));
    }

    /// Replaces the holder by a successor that knows only what is in the store.
    pub fn take_over(&mut self) {
        self.batch = Batch::new(bounds(), self.catalog.clone(), -100_000, self.now);
        let rows = self.actions.iter().rev();
        let row = rows.clone().find_map(|action| match action {
            Action::RecordRestarts(row) => Some(row.clone()),
            _ => None,
        });
        self.batch
            .restore_restarts(&row.unwrap_or_default(), self.now);
        self.batch.restore_starts(self.starts_row.clone());
        self.handle(Event::Workers(self.entries.clone()));
        for (id, phase) in &self.states {
            if phase.terminal() {
                self.batch.restore_ended(id.as_str().into(), self.now);
            }
        }
        for (id, row) in &self.jobs {
            let progress = self.progress.get(id).cloned();
            self.batch.restore(row.clone(), progress, self.now);
        }
        self.advance(Duration::from_millis(1));
    }

    /// Brings a configuration into force.
    pub fn configure(&mut self, catalog: Catalog) {
        self.catalog = catalog.clone();
        self.handle(Event::Configure(catalog));
    }

    pub fn submit(&mut self, row: JobRow) {
        self.jobs.insert(row.id.to_string(), row.clone());
        self.handle(Event::Accept(row));
    }

    pub fn handle(&mut self, event: Event) {
        let actions = self.batch.handle(event, self.now);
        self.execute(actions);
    }

    /// Writes every pending row to the store and confirms it.
    pub fn store_writes(&mut self) {
        while let Some(write) = self.batch.take_write() {
            self.store_starts();
            let id = write.job.to_string();
            if let Some(state) = &write.state {
                self.states.insert(id.clone(), state.phase);
            }
            match write.progress.clone() {
                Some(row) => {
                    let progress = StoredProgress {
                        row,
                        written_by: self.now,
                    };
                    self.progress.insert(id, progress)
                }
                None => self.progress.remove(&id),
            };
            if let Some(row) = write.transfer.as_deref() {
                self.jobs.remove(row.id.as_str());
                self.transferred.push(row.clone());
            }
            let actions = self.batch.confirm_writes(&[write], self.now);
            self.execute(actions);
        }
    }

    /// Stores the starts without an answer, as a holder does with its next write.
    fn store_starts(&mut self) {
        if let Some(row) = self.batch.take_starts() {
            self.starts_row = row;
        }
    }

    /// Extends the lease of every worker, and reports the runs of those that answer.
    pub fn poll_workers(&mut self) {
        let ids: Vec<String> = self.nodes.keys().cloned().collect();
        for id in ids {
            self.extend_lease(&id);
            if !self.nodes[&id].silent {
                self.poll_worker(&id);
            }
        }
    }

    fn extend_lease(&mut self, id: &str) {
        let lease_end = self.now + longest_lease();
        self.handle(Event::LeaseExtended(id.into(), lease_end));
    }

    /// Reports the runs of a worker to the holder.
    pub fn poll_worker(&mut self, id: &str) {
        let node = &self.nodes[id];
        let running = node.runs.iter().map(|(task, work)| ActiveRun {
            task: task.clone(),
            run: work.run,
            checkpoint: "".into(),
            percent: work.percent,
            measurement: work.measurement,
        });
        let limit = match node.listing_limit {
            0 => usize::MAX,
            limit => limit,
        };
        let report = Report {
            incarnation: node.incarnation,
            age: self.now.saturating_sub(node.began_at),
            requested_at: self.now,
            answered_by: self.now,
            running: running.collect(),
            finished: node.finished.iter().take(limit).cloned().collect(),
            more_finished: node.finished.len() >= limit,
        };
        self.handle(Event::Report(id.into(), report));
    }

    /// Ends the run of a task on its worker, without a report to the holder.
    pub fn end_run(&mut self, name: &str, end: End) {
        let task = task(name);
        let holder = self.worker_of(name).expect("a worker that runs the task");
        let node = self.nodes.get_mut(&holder).expect("a known worker");
        let work = node.runs.remove(&task).expect("a run");
        node.last_number += 1;
        node.finished.push(FinishedRun {
            number: node.last_number,
            task,
            run: work.run,
            end,
            checkpoint: "".into(),
        });
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, name: &str) -> Option<String> {
        let task = task(name);
        let mut holders = self.nodes.iter();
        let holder = holders.find(|(_, node)| node.runs.contains_key(&task));
        holder.map(|(id, _)| id.clone())
    }

    /// Counts the workers that run a task.
    pub fn run_count(&self, name: &str) -> usize {
        let task = task(name);
        let nodes = self.nodes.values();
        nodes.filter(|node| node.runs.contains_key(&task)).count()
    }

    /// Advances the time by `time` in steps of up to 100 ms, each with reports, a tick and writes.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let rest = until - self.now;
            self.now += rest.min(Duration::from_millis(100));
            for node in self.nodes.values_mut() {
                for work in node.runs.values_mut() {
                    work.percent = (work.percent + 1).min(100);
                }
            }
            let ids: Vec<String> = self.nodes.keys().cloned().collect();
            for id in ids {
                // The lease of a silent worker is not extended.
                if !self.nodes[&id].silent {
                    self.extend_lease(&id);
                    self.poll_worker(&id);
                }
            }
            self.handle(Event::Tick);
            self.store_writes();
            self.store_starts();
        }
    }

    /// Returns the task and the run of each start ordered so far.
    pub fn starts(&self) -> Vec<(String, u32)> {
        let starts = self.actions.iter().filter_map(|action| match action {
            Action::Start { task, run, .. } => Some((task.to_string(), *run)),
            _ => None,
        });
        starts.collect()
    }

    fn execute(&mut self, actions: Vec<Action>) {
        self.actions.extend(actions.iter().cloned());
        if !self.auto_execute {
            return;
        }
        for action in actions {
            match action {
                Action::Start {
                    worker, task, run, ..
                } => self.start(&worker, task, run),
                Action::Stop { worker, task, run } => self.stop(&worker, &task, run),
                Action::Acknowledge { worker, end, .. } => {
                    if let Some(node) = self.nodes.get_mut(worker.as_str()) {
                        node.finished.retain(|it| it.number > end);
                    }
                }
                _ => {}
            }
        }
    }

    /// Starts a run on a worker and answers the holder.
    pub fn start(&mut self, worker: &str, task: TaskId, run: u32) {
        let node = self.nodes.get_mut(worker).expect("a known worker");
        let reply = match node.silent {
            true => StartReply::Unknown,
            false => {
                let work = WorkerRun {
                    run,
                    percent: 0,
                    measurement: 0.0,
                };
                node.runs.insert(task.clone(), work);
                match node.leaves_orders {
                    true => StartReply::Unknown,
                    false => StartReply::Started,
                }
            }
        };
        self.handle(Event::StartAnswered(worker.into(), task, run, reply));
    }

    fn stop(&mut self, worker: &str, task: &TaskId, run: u32) {
        let Some(node) = self.nodes.get_mut(worker) else {
            return;
        };
        let answered = !node.silent && !node.leaves_orders;
        if answered && node.runs.get(task).is_some_and(|it| it.run == run) {
            node.runs.remove(task);
            node.last_number += 1;
            node.finished.push(FinishedRun {
                number: node.last_number,
                task: task.clone(),
                run,
                end: End::Interrupted,
                checkpoint: "".into(),
            });
        }
        self.handle(Event::StopAnswered(
            worker.into(),
            task.clone(),
            run,
            answered,
        ));
    }
}
