//! Workers that list only a part of their finished runs in one report.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::job;
use cluster::step;
use cluster::task;
use rstest::rstest;
use wigeonhinge::batch::End;
use wigeonhinge::batch::Phase;

const STEP: Duration = Duration::from_millis(100);

/// Finished runs in one report.
const LIMIT: usize = 2;

const TASKS: u32 = 6;

fn task_name(index: u32) -> String {
    format!("j.0.0.{index}")
}

/// Runs a job on the first worker until all of its tasks are done, without a report of their ends,
/// and adds a second worker.
fn finish_job(cluster: &mut Cluster) {
    let node = cluster.nodes.get_mut("w1").expect("a worker");
    node.listing_limit = LIMIT;
    cluster.submit(job("j", vec![step(TASKS)]));
    cluster.store_writes();
    cluster.advance(10 * STEP);
    cluster.add_worker(cluster::entry("w2"));
    for index in 0..TASKS {
        cluster.end_run(&task_name(index), End::Done);
    }
}

/// Returns a cluster in which all tasks of a job were done during an outage of the store.
fn outage() -> Cluster {
    let mut cluster = Cluster::new(&["w1"]);
    finish_job(&mut cluster);
    for _ in 0..20 {
        cluster.now += STEP;
        cluster.poll_workers();
    }
    cluster
}

fn restarted(cluster: &Cluster) -> Vec<(String, u32)> {
    let mut starts = cluster.starts();
    starts.retain(|(_, run)| *run > 1);
    starts
}

/// Guards against a second run of a task that is done: its end waits behind the ones that a worker
/// lists at most while none can be acknowledged.
#[test]
fn reconcile_more_ends_than_listed() {
    let mut cluster = outage();
    cluster.advance(20 * STEP);
    assert_eq!(restarted(&cluster), []);
    assert_eq!(cluster.states["j"], Phase::Completed);
}

/// Guards against the same after a takeover: the runs that a predecessor recorded may be among the
/// ends that are not listed yet. In the second case a run that began soon after a restart of the
/// worker is recorded under its earlier incarnation, so that the successor expects that one.
#[rstest]
#[case::same_incarnation(1)]
#[case::restarted(2)]
fn reconcile_successor_more_ends(#[case] incarnation: u64) {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.auto_execute = false;
    cluster.submit(job("z", vec![step(1)]));
    cluster.store_writes();
    let node = cluster.nodes.get_mut("w1").expect("a worker");
    node.incarnation = incarnation;
    cluster.auto_execute = true;
    cluster.start("w1", task("z.0.0.0"), 1);
    cluster.advance(10 * STEP);
    finish_job(&mut cluster);
    let known = cluster.starts().len();
    cluster.take_over();
    cluster.advance(20 * STEP);
    assert_eq!(cluster.starts().split_off(known), []);
    assert_eq!(cluster.states["j"], Phase::Completed);
    assert_eq!(cluster.worker_of("z.0.0.0").as_deref(), Some("w1"));
}

/// Guards against a lost run that is never found once a worker had more ends than it lists: the
/// first complete report decides.
#[test]
fn reconcile_lost_run_after_backlog() {
    let mut cluster = outage();
    cluster.submit(job("k", vec![step(1)]));
    cluster.advance(10 * STEP);
    let holder = cluster.worker_of("k.0.0.0").expect("a run");
    let node = cluster.nodes.get_mut(&holder).expect("a worker");
    node.runs.remove(&task("k.0.0.0"));
    cluster.advance(10 * STEP);
    assert_eq!(cluster.starts().last(), Some(&("k.0.0.0".to_owned(), 2)));
}
