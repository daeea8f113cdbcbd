//! Ends of runs that workers report before the store holds their results.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::job;
use cluster::step;
use rstest::rstest;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::End;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::Step;

const STEP: Duration = Duration::from_millis(100);

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// Returns a step whose tasks run on a worker each.
fn spread_step(count: u32) -> Step {
    Step {
        max_per_worker: 1,
        ..step(count)
    }
}

/// Returns the workers of the tasks of the first step of job `j`, in their order.
fn workers_of_step(cluster: &Cluster, count: u32) -> Vec<String> {
    let tasks = (0..count).map(|index| format!("j.0.0.{index}"));
    let workers = tasks.map(|task| cluster.worker_of(&task).expect("a run"));
    workers.collect()
}

/// Takes a worker and its runs away, and lets a successor take over.
fn crash_and_take_over(cluster: &mut Cluster, worker: &str) {
    cluster.nodes.remove(worker);
    cluster.entries.retain(|entry| entry.id != worker);
    cluster.take_over();
    cluster.advance(60 * STEP);
}

fn restarted(cluster: &Cluster, step: &str) -> Vec<(String, u32)> {
    let mut starts = cluster.starts();
    starts.retain(|(task, run)| task.starts_with(step) && *run > 1);
    starts
}

fn acknowledgements(cluster: &Cluster) -> usize {
    let acknowledges = |action: &&Action| matches!(action, Action::Acknowledge { .. });
    cluster.actions.iter().filter(acknowledges).count()
}

/// Guards against a second run of a gang that is done: while the store refuses the result, the ends
/// of all members but the first were acknowledged, and the worker of the first one crashed. In the
/// first case the gang ends its job, in the second one another step follows.
#[rstest]
#[case::last_step(false)]
#[case::step_follows(true)]
fn gang_ends_unstored(#[case] step_follows: bool) {
    let gang = Step {
        gang: true,
        ..spread_step(3)
    };
    let mut steps = vec![gang];
    if step_follows {
        steps.push(Step {
            after: vec![0],
            ..step(1)
        });
    }
    let mut cluster = Cluster::new(&WORKERS);
    cluster.submit(job("j", steps));
    cluster.advance(5 * STEP);
    let workers = workers_of_step(&cluster, 3);
    for index in 0..3 {
        cluster.end_run(&format!("j.0.0.{index}"), End::Done);
    }
    cluster.poll_workers();
    let first = workers.iter().min().expect("a worker");
    crash_and_take_over(&mut cluster, first);
    assert_eq!(restarted(&cluster, "j.0.0."), []);
    match step_follows {
        true => assert!(cluster.worker_of("j.0.1.0").is_some()),
        false => assert_eq!(cluster.states["j"], Phase::Completed),
    }
}

/// Guards against a second run of a task that is done: its end was acknowledged because its job had
/// failed, though the store did not hold that yet, and the successor did not hear of the failure.
#[test]
fn failed_job_unstored() {
    let mut cluster = Cluster::new(&WORKERS);
    cluster.submit(job("j", vec![spread_step(2)]));
    cluster.advance(5 * STEP);
    for _ in 0..2 {
        cluster.end_run("j.0.0.0", End::Failed);
        cluster.advance(5 * STEP);
    }
    let workers = workers_of_step(&cluster, 2);
    cluster.end_run("j.0.0.0", End::Failed);
    cluster.end_run("j.0.0.1", End::Done);
    cluster.poll_worker(&workers[0]);
    cluster.poll_worker(&workers[1]);
    crash_and_take_over(&mut cluster, &workers[0]);
    assert_eq!(restarted(&cluster, "j.0.0.1"), []);
}

/// Guards against an end that is acknowledged before its result is stored, because its worker was
/// missing from the registry for a time and its reported ends were forgotten.
#[rstest]
#[case::open_job(true)]
#[case::ended_job(false)]
fn forgotten_worker_unstored(#[case] step_follows: bool) {
    let mut steps = vec![step(1)];
    if step_follows {
        // Larger than the worker, which therefore has no run.
        steps.push(Step {
            after: vec![0],
            millicores: 32_000,
            ..step(1)
        });
    }
    let mut cluster = Cluster::new(&WORKERS[..1]);
    cluster.submit(job("j", steps));
    cluster.advance(5 * STEP);
    cluster.end_run("j.0.0.0", End::Done);
    cluster.poll_workers();
    cluster.handle(Event::WorkerRemoved("w1".into()));
    for _ in 0..30 {
        cluster.now += STEP;
        cluster.handle(Event::Tick);
    }
    assert!(!cluster.batch.has_worker("w1"));
    cluster.handle(Event::WorkerRegistered(cluster::entry("w1")));
    cluster.poll_workers();
    assert_eq!(acknowledgements(&cluster), 0);
    cluster.store_writes();
    assert_eq!(acknowledgements(&cluster), 1);
}
