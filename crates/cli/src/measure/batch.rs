//! Time that the holder of a partition takes for a start, an end and a poll, by the number of workers.

use std::time::Duration;
use std::time::Instant;

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
use wigeonhinge::batch::PoolRule;
use wigeonhinge::batch::Queue;
use wigeonhinge::batch::Report as WorkerReport;
use wigeonhinge::batch::Size;
use wigeonhinge::batch::StartReply;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;

use crate::measure::Report;
use crate::measure::Row;

/// Numbers of workers.
const SIZES: [usize; 4] = [100, 350, 1_100, 3_300];

const POOLS: usize = 5;

/// Runs on each worker; each uses a sixteenth of it, so that most of the room is taken.
const RUNS: usize = 12;

/// Starts, ends and polls that are timed at each size.
const ROUNDS: usize = 20_000;

/// Numbers of workers at which the cost of a start is compared with and without reservations in time.
const BACKFILL_SIZES: [usize; 2] = [350, 1_100];

/// Large tasks of each pool that wait during this comparison; more than a pool has reservations.
const LARGE_TASKS: usize = 6;

/// Millicores of a large task, which needs a whole worker.
const LARGE_MILLICORES: u64 = 16_000;

/// Runs on each worker during this comparison, so that no worker is empty.
const FULL_RUNS: usize = 16;

/// Factor by which a cost may grow from the fewest to the most workers.
const MAX_GROWTH: f64 = 1.1;

struct Bench {
    batch: Batch,
    now: Time,
    jobs: usize,
    /// Last number of a finished run, by worker.
    ends: Vec<u64>,
    running: Vec<(usize, TaskId, u32)>,
}

/// Mean time of each operation in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    start: f64,
    end: f64,
    poll: f64,
}

/// Measures the scheduler at each size; real time, so figures vary with the machine.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("batch", "five pools", seed);
    let costs: Vec<Cost> = SIZES.iter().map(|workers| measure(*workers)).collect();
    for (workers, cost) in SIZES.iter().zip(&costs) {
        for (name, value) in [
            ("start", cost.start),
            ("end", cost.end),
            ("poll", cost.poll),
        ] {
            report.push(Row::new(
                &format!("{name} at {workers} workers"),
                "us",
                value,
            ));
        }
    }
    if let (Some(few), Some(many)) = (costs.first(), costs.last()) {
        let growth = [
            ("start", many.start / few.start),
            ("end", many.end / few.end),
            ("poll", many.poll / few.poll),
        ];
        for (name, value) in growth {
            let row = Row::new(&format!("growth of a {name}"), "1", value);
            report.push(row.target(MAX_GROWTH));
        }
    }
    for workers in BACKFILL_SIZES {
        let [off, on] = [false, true].map(|backfill| measure_beside_large(workers, backfill));
        for (name, off, on) in [("start", off.start, on.start), ("end", off.end, on.end)] {
            let place = format!("{name} beside large tasks at {workers} workers");
            report.push(Row::new(&format!("{place}, without backfill"), "us", off));
            report.push(Row::new(&format!("{place}, with backfill"), "us", on));
            report.push(Row::new(&format!("{place}, ratio"), "1", on / off));
        }
    }
    report
}

fn measure(workers: usize) -> Cost {
    let mut bench = Bench::new(workers, false);
    for _ in 0..workers * RUNS {
        bench.start();
    }
    bench.measure_rounds(workers)
}

/// Measures the same while large tasks wait in each pool, with or without reservations in time.
fn measure_beside_large(workers: usize, backfill: bool) -> Cost {
    let mut bench = Bench::new(workers, backfill);
    for _ in 0..workers * FULL_RUNS - POOLS {
        bench.start();
    }
    for _ in 0..POOLS * LARGE_TASKS {
        bench.start_sized(LARGE_MILLICORES);
    }
    bench.measure_rounds(workers)
}

impl Bench {
    /// Times an end, a start and a poll in each round.
    fn measure_rounds(&mut self, workers: usize) -> Cost {
        let mut cost = Cost::default();
        for round in 0..ROUNDS {
            let (worker, task, run) = self.running.swap_remove(round % self.running.len());
            cost.end += self.end(worker, task, run).as_secs_f64();
            cost.start += self.start().as_secs_f64();
            cost.poll += self.poll(round % workers).as_secs_f64();
        }
        let micros = |seconds: f64| seconds * 1e6 / ROUNDS as f64;
        Cost {
            start: micros(cost.start),
            end: micros(cost.end),
            poll: micros(cost.poll),
        }
    }

    fn new(workers: usize, backfill: bool) -> Self {
        let bounds = Bounds {
            lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            migrate: Duration::from_millis(1_500),
            maintenance: Duration::from_secs(2),
            order_lease: Duration::from_secs(3),
            notice: Duration::from_millis(6_500),
        };
        let now = Duration::from_secs(100);
        let mut bench = Self {
            batch: Batch::new(bounds, catalog(backfill), 0, now),
            now,
            jobs: 0,
            ends: vec![0; workers],
            running: Vec::new(),
        };
        let entries = (0..workers).map(|index| WorkerEntry {
            id: name(index),
            address: "127.0.0.1:1".parse().ok(),
            pool: format!("pool-{}", index % POOLS).into(),
            capacity: Size {
                millicores: 16_000,
                memory_mb: 64_000,
                accelerators: 0,
            },
            incarnation: 1,
            ..WorkerEntry::default()
        });
        let entries: Vec<WorkerEntry> = entries.collect();
        bench.batch.handle(Event::Workers(entries), now);
        for index in 0..workers {
            bench.poll(index);
        }
        bench
    }

    /// Accepts a job of one task, places it, and confirms its row and its start.
    fn start(&mut self) -> Duration {
        self.start_sized(1_000)
    }

    fn start_sized(&mut self, millicores: u64) -> Duration {
        self.jobs += 1;
        let queue = self.jobs % POOLS;
        let row = JobRow {
            id: format!("{:016x}", self.jobs).into(),
            partition: 0,
            queue: format!("queue-{queue}").into(),
            pool: format!("pool-{queue}").into(),
            accepted_ms: self.now.as_millis() as i64,
            job: JobSpec {
                spec: "drawing".into(),
                steps: vec![Step {
                    count: 1,
                    millicores,
                    memory_mb: 1_000,
                    estimate_ms: 1_000,
                    ..Step::default()
                }],
                ..JobSpec::default()
            },
            workspace: "".into(),
            transfer: None,
        };
        let began = Instant::now();
        self.batch.apply(Event::Accept(row), self.now);
        self.batch.place_ready(self.now);
        let starts = self.store();
        let elapsed = began.elapsed();
        for action in starts {
            if let Action::Start {
                worker, task, run, ..
            } = action
            {
                let index = worker.trim_start_matches("w-").parse().unwrap_or(0);
                self.running.push((index, task.clone(), run));
                let answer = Event::StartAnswered(worker, task, run, StartReply::Started);
                self.batch.handle(answer, self.now);
            }
        }
        elapsed
    }

    /// Reports that a run ended, and confirms the row with its result.
    fn end(&mut self, worker: usize, task: TaskId, run: u32) -> Duration {
        self.ends[worker] += 1;
        let finished = FinishedRun {
            number: self.ends[worker],
            task,
            run,
            end: End::Done,
            checkpoint: "".into(),
        };
        let report = self.report(worker, vec![finished]);
        let began = Instant::now();
        self.batch.handle(report, self.now);
        self.store();
        began.elapsed()
    }

    /// Reports the runs of a worker of which nothing is new.
    fn poll(&mut self, worker: usize) -> Duration {
        let report = self.report(worker, Vec::new());
        let began = Instant::now();
        self.batch.handle(report, self.now);
        began.elapsed()
    }

    fn report(&self, worker: usize, finished: Vec<FinishedRun>) -> Event {
        let own = self.running.iter().filter(|(index, ..)| *index == worker);
        let running = own.map(|(_, task, run)| ActiveRun {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: 50,
            measurement: 0.0,
        });
        let report = WorkerReport {
            incarnation: 1,
            age: self.now,
            requested_at: self.now,
            answered_by: self.now,
            running: running.collect(),
            finished,
            more_finished: false,
        };
        Event::Report(name(worker), report)
    }

    fn store(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(write) = self.batch.take_write() {
            actions.extend(self.batch.confirm_writes(&[write], self.now));
        }
        actions
    }
}

fn name(index: usize) -> compact_str::CompactString {
    compact_str::format_compact!("w-{index}")
}

fn catalog(backfill: bool) -> Catalog {
    let queues = (0..POOLS).map(|index| Queue {
        name: format!("queue-{index}").into(),
        host: "host".into(),
        prefix: format!("/{index}/").into(),
        pool: format!("pool-{index}").into(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        objective: Duration::from_millis(600),
        anonymous: false,
    });
    let pools = (0..POOLS).map(|index| PoolRule {
        name: format!("pool-{index}").into(),
        enforces_capacity: true,
        standby: false,
    });
    let mut catalog = Catalog::new(1, queues, pools.collect(), 1 << 18);
    catalog.backfill = backfill;
    catalog
}
