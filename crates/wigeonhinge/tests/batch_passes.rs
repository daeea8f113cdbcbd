//! Passes over the ready tasks of a pool in which tasks wait that no worker can run.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::job;
use cluster::step;
use rstest::rstest;
use wigeonhinge::batch::Step;

const STEP: Duration = Duration::from_millis(100);

/// Time within which urgent work has to start.
const START_TIME: Duration = Duration::from_millis(1_300);

const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

/// Returns a step of long-running tasks that ask for a label that no worker has.
fn unknown_label(count: u32) -> Step {
    Step {
        requires: "none".into(),
        long_running: true,
        ..step(count)
    }
}

/// Returns a step of tasks that are larger than any worker.
fn too_large(count: u32) -> Step {
    Step {
        millicores: 20_000,
        ..step(count)
    }
}

/// Returns a step of long-running tasks that fit only on workers without long-running tasks.
fn wide(count: u32) -> Step {
    Step {
        millicores: 12_000,
        long_running: true,
        ..step(count)
    }
}

/// Guards against a pool that stands still with idle workers, because the tasks at the head of its
/// queue can run on none of them.
#[rstest]
#[case::long_running(4, unknown_label(5))]
#[case::one_large_step(1, too_large(200))]
#[case::large_steps(100, too_large(1))]
#[case::many_jobs(400, unknown_label(3))]
fn pass_hopeless_tasks(#[case] jobs: usize, #[case] hopeless: Step) {
    let mut cluster = Cluster::new(&WORKERS);
    for number in 0..jobs {
        let id = format!("h{number:04}");
        cluster.submit(job(&id, vec![hopeless.clone()]));
    }
    cluster.advance(STEP);
    for number in 0..12 {
        cluster.submit(job(&format!("s{number:02}"), vec![step(1)]));
    }
    cluster.advance(START_TIME);
    let names = (0..12).map(|number| format!("s{number:02}.0.0.0"));
    let waiting: Vec<String> = names.filter(|it| cluster.run_count(it) == 0).collect();
    assert_eq!(waiting, Vec::<String>::new());
}

/// Guards against the same for long-running tasks that other long-running tasks leave no room for,
/// and against more workers kept from short tasks than long-running ones can use.
#[test]
fn pass_long_running_without_room() {
    let mut cluster = Cluster::new(&WORKERS);
    cluster.submit(job("a", vec![wide(3)]));
    cluster.advance(10 * STEP);
    cluster.submit(job("b", vec![wide(40)]));
    cluster.submit(job("s", vec![step(6)]));
    cluster.advance(START_TIME);
    for index in 0..6 {
        let name = format!("s.0.0.{index}");
        assert_eq!(cluster.run_count(&name), 1, "{name}");
    }
}
