//! Jobs that pass to another partition, as no worker of this one can run them.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::POOL;
use cluster::SPARE;
use cluster::entry;
use cluster::job;
use cluster::step;
use rstest::rstest;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::Catalog;
use wigeonhinge::batch::End;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::FinishedRun;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::Queue;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::WorkerEntry;

const STEP: Duration = Duration::from_millis(100);

/// Longest time that a job may have nothing running while workers elsewhere can run it.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Advances the time, and transfers the jobs that no worker can run to partition 1.
fn advance(cluster: &mut Cluster, time: Duration) {
    let until = cluster.now + time;
    while cluster.now < until {
        cluster.advance(STEP);
        for job in cluster.batch.unschedulable_jobs(cluster.now) {
            cluster.batch.transfer(&job, 1, cluster.now);
        }
        cluster.store_writes();
    }
}

/// Returns a configuration whose queue uses another pool.
fn with_pool(version: u64, pool: &str) -> Catalog {
    let catalog = cluster::catalog();
    let queues = catalog.queues().map(|queue| Queue {
        pool: pool.into(),
        ..queue.clone()
    });
    let queues: Vec<Queue> = queues.collect();
    Catalog::new(version, queues, catalog.pools, catalog.max_body_bytes)
}

/// Returns the row of the only job that was transferred.
fn transferred(cluster: &Cluster) -> JobRow {
    assert_eq!(cluster.transferred.len(), 1);
    cluster.transferred[0].clone()
}

/// Guards against a job that never runs, as no worker of its partition can run it although one of
/// another partition can: none is in its pool, has the label, or has the room.
#[rstest]
#[case::pool(entry("w1"), SPARE, step(1))]
#[case::label(entry("w1"), POOL, Step { requires: "other".into(), ..step(1) })]
#[case::size(entry("w1"), POOL, Step { millicores: 17_000, ..step(1) })]
#[case::memory(entry("w1"), POOL, Step { memory_mb: 65_000, ..step(1) })]
#[case::accelerators(entry("w1"), POOL, Step { accelerators: 1, ..step(1) })]
#[case::gang(entry("w1"), POOL, Step { gang: true, ..step(17) })]
#[case::spread_gang(entry("w1"), POOL, Step { gang: true, max_per_worker: 1, ..step(2) })]
#[case::draining(WorkerEntry { draining: true, ..entry("w1") }, POOL, step(1))]
fn job_without_worker(#[case] worker: WorkerEntry, #[case] pool: &str, #[case] step: Step) {
    let mut cluster = Cluster::new(&[]);
    cluster.add_worker(worker);
    cluster.configure(with_pool(2, pool));
    cluster.submit(job("j", vec![step]));
    advance(&mut cluster, LONGEST_WAIT - 5 * STEP);
    let row = transferred(&cluster);
    assert_eq!((row.partition, row.pool.as_str()), (1, pool));
    assert!(!cluster.batch.has_job("j"));
    assert_eq!(cluster.starts(), []);
}

/// A job stays while a worker can run it, whether that is busy or not, and for the time in which a
/// machine may move to its pool.
#[rstest]
#[case::runs(step(1), false)]
#[case::waits(Step { millicores: 16_000, ..step(1) }, false)]
#[case::worker_comes(step(1), true)]
fn job_with_worker(#[case] step: Step, #[case] comes: bool) {
    let mut cluster = Cluster::new(&[]);
    if !comes {
        cluster.add_worker(entry("w1"));
        cluster.submit(job("first", vec![cluster::step(1)]));
        advance(&mut cluster, STEP);
    }
    cluster.submit(job("j", vec![step]));
    advance(&mut cluster, 17 * STEP);
    if comes {
        cluster.add_worker(entry("w1"));
    }
    advance(&mut cluster, 50 * STEP);
    assert_eq!(cluster.transferred, []);
    assert!(cluster.batch.has_job("j"));
}

/// Guards against a job that never runs again, as its pool lost its last worker, or a configuration gave
/// its queue a pool without workers. What is done stays done, and runs go on before the job leaves.
#[rstest]
#[case::worker_lost(false)]
#[case::configuration(true)]
fn started_job_without_worker(#[case] configured: bool) {
    let steps = vec![
        step(2),
        Step {
            after: vec![0],
            ..step(1)
        },
    ];
    let mut first = Cluster::new(&["w1"]);
    first.submit(job("j", steps));
    advance(&mut first, 5 * STEP);
    first.end_run("j.0.0.0", End::Done);
    advance(&mut first, 5 * STEP);
    match configured {
        true => first.configure(with_pool(2, SPARE)),
        false => {
            first.nodes.remove("w1");
            first.handle(Event::WorkerRemoved("w1".into()));
        }
    }
    if configured {
        advance(&mut first, 50 * STEP);
        assert_eq!(first.transferred, [], "a run goes on");
        first.end_run("j.0.0.1", End::Failed);
    }
    advance(&mut first, 100 * STEP);
    let row = transferred(&first);
    assert!(!first.progress.contains_key("j"));
    let mut second = Cluster::new(&["w2"]);
    second.catalog = with_pool(2, row.pool.as_str());
    second.add_worker(WorkerEntry {
        pool: row.pool.clone(),
        ..entry("w3")
    });
    second.configure(second.catalog.clone());
    second.submit(row);
    advance(&mut second, 5 * STEP);
    assert_eq!(second.starts(), [("j.0.0.1".to_owned(), 2)]);
    second.end_run("j.0.0.1", End::Done);
    advance(&mut second, 5 * STEP);
    second.end_run("j.0.1.0", End::Done);
    advance(&mut second, 5 * STEP);
    assert_eq!(second.states["j"], Phase::Completed);
}

/// Guards against a transfer while a machine moves to the pool, because the job had waited for one
/// before its last run.
#[test]
fn started_job_waits_anew() {
    let mut cluster = Cluster::new(&[]);
    cluster.submit(job("j", vec![step(1)]));
    advance(&mut cluster, 15 * STEP);
    cluster.add_worker(entry("w1"));
    advance(&mut cluster, 5 * STEP);
    cluster.configure(with_pool(2, SPARE));
    cluster.end_run("j.0.0.0", End::Failed);
    advance(&mut cluster, 15 * STEP);
    assert_eq!(cluster.transferred, []);
    advance(&mut cluster, 10 * STEP);
    transferred(&cluster);
}

/// Guards against a job that runs in two partitions: the one that it left reads its acceptance again.
#[test]
fn transferred_job_accepted_again() {
    let mut cluster = Cluster::new(&[]);
    let accepted = job("j", vec![step(1)]);
    cluster.submit(accepted.clone());
    advance(&mut cluster, LONGEST_WAIT);
    let row = transferred(&cluster);
    cluster.add_worker(entry("w1"));
    cluster.handle(Event::Accept(accepted));
    advance(&mut cluster, 5 * STEP);
    assert_eq!(cluster.starts(), []);
    // The other partition passes it back.
    let mut transfer = row.transfer.clone().expect("a transfer");
    assert_eq!(transfer.count, 1);
    transfer.count = 2;
    cluster.submit(JobRow {
        partition: 0,
        transfer: Some(transfer),
        ..row
    });
    advance(&mut cluster, 5 * STEP);
    assert_eq!(cluster.starts(), [("j.0.0.0".to_owned(), 1)]);
}

/// Guards against a task that is done twice: the end of a run that counted as lost is acknowledged
/// before the store has the job in its new partition.
#[test]
fn transferred_job_unstored() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.submit(job("j", vec![step(1)]));
    cluster.advance(5 * STEP);
    let worker = "w1";
    let node = cluster.nodes.get_mut(worker).expect("a worker");
    let runs = std::mem::take(&mut node.runs);
    cluster.configure(with_pool(2, SPARE));
    cluster.advance(25 * STEP);
    cluster.batch.unschedulable_jobs(cluster.now);
    cluster.advance(25 * STEP);
    let unschedulable = cluster.batch.unschedulable_jobs(cluster.now);
    assert_eq!(unschedulable, ["j"]);
    cluster.batch.transfer(&unschedulable[0], 1, cluster.now);
    let node = cluster.nodes.get_mut(worker).expect("a worker");
    node.finished
        .extend(runs.into_iter().map(|(task, work)| FinishedRun {
            number: node.last_number + 1,
            task,
            run: work.run,
            end: End::Done,
            checkpoint: "".into(),
        }));
    cluster.poll_workers();
    let acknowledged = |cluster: &Cluster| {
        let mut actions = cluster.actions.iter();
        actions.any(|it| matches!(it, Action::Acknowledge { .. }))
    };
    assert!(!acknowledged(&cluster));
    cluster.store_writes();
    assert!(acknowledged(&cluster));
}

/// Jobs behind many that wait for a busy worker are found as well.
#[test]
fn unschedulable_jobs_behind_others() {
    let mut cluster = Cluster::new(&["w1"]);
    for index in 0..600 {
        cluster.submit(job(&format!("busy{index:03}"), vec![step(1)]));
    }
    let large = Step {
        millicores: 17_000,
        ..step(1)
    };
    for index in 0..40 {
        cluster.submit(job(&format!("large{index:02}"), vec![large.clone()]));
    }
    advance(&mut cluster, 50 * STEP);
    assert_eq!(cluster.transferred.len(), 40);
}
