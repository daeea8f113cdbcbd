//! Measurement of what job decisions cost: time, memory, bytes and store calls,
//! by the number of workers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::id::Time;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Scheduler;
use wigeonhinge::scheduler::TICK_INTERVAL;
use wigeonhinge::scheduler::Task;
use wigeonhinge::scheduler::WorkerReport;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Team;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;

use crate::measure::Report;
use crate::measure::Row;
use crate::owner::Owner;

/// Numbers of workers, all in one pool: the worst case for one role holder.
const SIZES: [usize; 5] = [100, 200, 400, 820, 1_640];

/// Teams in two years.
const TEAMS: u32 = 300;

/// Waiting and running jobs; the most that a pool accepts, less a reserve.
const JOBS: usize = 1_400;

/// Time that is simulated after the pool is full.
const SPAN: Time = Duration::from_secs(60);

/// Share of a core that control may use on a node, in percent.
const CORE_PERCENT: f64 = 3.2;

/// Memory that control may use on a node, in MB.
const MEMORY_MB: f64 = 256.0;

/// Bytes a second that control may send from a node.
const BYTES: f64 = 16_000.0;

/// Figures at one size.
struct Figures {
    p50: f64,
    p99: f64,
    core: f64,
    memory: f64,
    bytes: f64,
    calls: f64,
}

struct Driver {
    scheduler: Scheduler,
    now: Time,
    handled: Histogram<u64>,
    busy: Duration,
    bytes: usize,
    calls: usize,
    running: BTreeMap<Task, (String, Time)>,
    count: usize,
    /// Mean size of a job in thousandths of a core.
    mean: u32,
    rng: Pcg64,
}

/// Measures the scheduler at each size; real time, so figures vary with the
/// machine.
pub fn run(seed: u64, owner: Owner) -> Report {
    let mut report = Report::new("capacity", &owner.to_string(), seed);
    let mut last: Option<(usize, f64)> = None;
    for workers in SIZES {
        let figures = measure(workers, seed, owner);
        let mut push = |name: &str, unit, value| {
            let row = Row::new(&format!("{name} at {workers} workers"), unit, value);
            report.push(match name {
                "core used" => row.target(CORE_PERCENT),
                "state" => row.target(MEMORY_MB),
                "bytes sent to store and workers" => row.target(BYTES),
                _ => row,
            });
        };
        push("decision p50", "us", figures.p50);
        push("decision p99", "us", figures.p99);
        push("core used", "%", figures.core);
        push("state", "MB", figures.memory);
        push("bytes sent to store and workers", "B/s", figures.bytes);
        push("store calls", "calls/s", figures.calls);
        if let Some((fewer, core)) = last {
            let growth = (workers as f64 / fewer as f64).ln();
            let slope = (figures.core / core).ln() / growth;
            push("exponent of core used", "1", slope);
        }
        last = Some((workers, figures.core));
    }
    report
}

fn measure(workers: usize, seed: u64, owner: Owner) -> Figures {
    let mut driver = Driver::new(workers, seed, owner);
    for _ in 0..JOBS {
        driver.submit(3);
    }
    driver.run(Duration::from_secs(20));
    driver.reset();
    driver.run(SPAN);
    let micros = |quantile| driver.handled.value_at_quantile(quantile) as f64 / 1_000.0;
    Figures {
        p50: micros(0.5),
        p99: micros(0.99),
        core: 100.0 * driver.busy.as_secs_f64() / SPAN.as_secs_f64(),
        memory: driver.scheduler.bytes() as f64 / 1e6,
        bytes: driver.bytes as f64 / SPAN.as_secs_f64(),
        calls: driver.calls as f64 / SPAN.as_secs_f64(),
    }
}

impl Driver {
    fn new(workers: usize, seed: u64, owner: Owner) -> Self {
        let mut driver = Self {
            scheduler: Scheduler::new("pool".into(), "entry".into(), 0),
            now: Time::ZERO,
            handled: Histogram::new_with_max(10_000_000_000, 3).unwrap_or_else(|_| unreachable!()),
            busy: Duration::ZERO,
            bytes: 0,
            calls: 0,
            running: BTreeMap::new(),
            count: 0,
            mean: mean(workers),
            rng: Pcg64::seed_from_u64(seed),
        };
        let fleet = fleet(workers, owner);
        let names = || fleet.inventory.iter().map(|vm| vm.name.as_str().into());
        let reports = names().map(|worker| WorkerReport {
            worker,
            incarnation: 1,
            tasks: Vec::new(),
        });
        let phases = names().map(|name| (name, Phase::Active)).collect();
        driver.handle(Event::Adopt(Box::new(fleet.clone())));
        driver.handle(Event::Phases(phases));
        driver.handle(Event::Reports(reports.collect()));
        driver.handle(Event::Lease {
            fence: 1,
            until: Duration::from_secs(100_000),
        });
        driver
    }

    fn reset(&mut self) {
        self.handled.reset();
        self.busy = Duration::ZERO;
        self.bytes = 0;
        self.calls = 0;
    }

    /// Lets time pass in ticks; ended jobs are replaced, one in ten of them by
    /// urgent work.
    fn run(&mut self, time: Time) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            let over = |(_, (_, until)): &(&Task, &(String, Time))| *until <= self.now;
            let ended: Vec<Task> = self
                .running
                .iter()
                .filter(over)
                .map(|(task, _)| task.clone())
                .collect();
            for task in ended {
                let Some((worker, _)) = self.running.remove(&task) else {
                    continue;
                };
                self.reply(&worker, task, Command::Renew, Reply::Done);
                let priority = if self.count.is_multiple_of(10) { 0 } else { 3 };
                self.submit(priority);
            }
            self.handle(Event::Tick);
        }
    }

    fn submit(&mut self, priority: u32) {
        self.count += 1;
        let job = Job {
            id: format!("job-{:06}", self.count),
            team: format!("team-{}", self.rng.random_range(0..TEAMS)),
            class: format!("class-{}", self.rng.random_range(0..200)),
            priority,
            size: Some(Size {
                millicores: self
                    .rng
                    .random_range(self.mean / 2..self.mean * 3 / 2)
                    .min(16_000),
                memory_mb: u64::from(self.mean),
                accelerators: u32::from(self.rng.random_bool(0.2)),
            }),
            idempotent: self.rng.random_bool(0.8),
            ..Job::default()
        };
        let ticket = self.count as u64;
        self.handle(Event::Submit {
            ticket,
            job: Box::new(job),
        });
    }

    fn reply(&mut self, worker: &str, task: Task, command: Command, reply: Reply) {
        self.handle(Event::Reply {
            worker: worker.into(),
            task,
            command,
            incarnation: 1,
            reply,
        });
    }

    /// Times one event and answers its actions at once.
    fn handle(&mut self, event: Event) {
        let began = Instant::now();
        let actions = self.scheduler.handle(event, self.now);
        let took = began.elapsed();
        self.busy += took;
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        self.handled.saturating_record(nanos);
        for action in actions {
            self.answer(action);
        }
    }

    fn answer(&mut self, action: Action) {
        match action {
            Action::Recover => self.handle(Event::Recovered {
                snapshot: None,
                batches: Vec::new(),
            }),
            Action::Append(batch) => {
                self.calls += 1;
                self.bytes += serde_json::to_vec(&batch).map_or(0, |text| text.len());
                let seq = batch.seq;
                self.handle(Event::Stored { seq, version: 1 });
            }
            Action::Snapshot { snapshot, .. } => {
                self.calls += 1;
                self.bytes += serde_json::to_vec(&snapshot).map_or(0, |text| text.len());
            }
            Action::Command {
                worker,
                task,
                command,
                ..
            } => {
                // Request line, headers and body of a command to a worker.
                self.bytes += 250;
                let reply = match command {
                    Command::Stop => {
                        self.running.remove(&task);
                        Reply::Stopped { ran: true }
                    }
                    Command::Start { .. } => {
                        let run = Duration::from_secs(self.rng.random_range(30..600));
                        let entry = (worker.to_string(), self.now + run);
                        self.running.insert(task.clone(), entry);
                        Reply::Running
                    }
                    _ => Reply::Running,
                };
                self.reply(&worker, task, command, reply);
            }
            _ => {}
        }
    }
}

/// Mean size of a job so that all of them ask for half as much again as the
/// workers have.
fn mean(workers: usize) -> u32 {
    let all = workers * 16_000 * 3 / 2;
    u32::try_from(all / JOBS)
        .unwrap_or(u32::MAX)
        .clamp(500, 14_000)
}

/// Fleet of one pool with 1,800 accelerators for 820 workers.
fn fleet(workers: usize, owner: Owner) -> Fleet {
    let team = |index: u32| Team {
        name: format!("team-{index}"),
        cores: 43,
        memory_mb: 64 * 1_024,
        accelerators: 6,
    };
    let vm = |index: usize| Vm {
        name: format!("vm-{index:04}"),
        pool: "pool".into(),
        zone: format!("zone-{}", index / 4 % 8),
        rack: format!("rack-{}", index / 4),
        cores: 16,
        memory_mb: owner.memory_mb(),
        accelerators: if index % 20 < 11 { 4 } else { 0 },
    };
    Fleet {
        rules: Some(Rules {
            teams: (0..TEAMS).map(team).collect(),
            ..Rules::default()
        }),
        inventory: (0..workers).map(vm).collect(),
        ..Fleet::default()
    }
}
