//! Many tasks that may have crashed their workers at the same time, as after the loss of a zone.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::job;
use cluster::step;
use cluster::task;
use rstest::rstest;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::longest_lease;

const STEP: Duration = Duration::from_millis(100);

/// Time within which urgent work has to start.
const START_TIME: Duration = Duration::from_millis(1_300);

/// Workers of the lost zone, and of the others.
const LOST: [&str; 3] = ["a1", "a2", "a3"];
const KEPT: [&str; 3] = ["b1", "b2", "b3"];

fn lasting(count: u32) -> Step {
    Step {
        millicores: 500,
        memory_mb: 500,
        long_running: true,
        ..step(count)
    }
}

/// Returns a cluster in which workers with many runs have just stopped answering.
fn lose_zone(step: Step, takeover: bool) -> Cluster {
    let mut cluster = Cluster::new(&LOST);
    cluster.submit(job("j", vec![step]));
    cluster.advance(STEP);
    if takeover {
        // The predecessor knows that the runs have survived their starts.
        cluster.advance(30 * STEP);
    }
    for id in KEPT {
        cluster.add_worker(cluster::entry(id));
    }
    cluster.advance(STEP);
    for id in LOST {
        cluster.nodes.get_mut(id).expect("a worker").silent = true;
    }
    if takeover {
        cluster.take_over();
    }
    cluster
}

/// Returns how many tasks of a step run on the workers that are left.
fn run_count(cluster: &Cluster, name: &str, count: u32) -> usize {
    let on = |id: &&str, index| {
        let node = &cluster.nodes[*id];
        node.runs
            .contains_key(&task(&format!("{name}.0.0.{index}")))
    };
    let kept = |index: &u32| KEPT.iter().any(|id| on(id, *index));
    (0..count).filter(kept).count()
}

/// Guards against a pool in which hardly anything starts for seconds after the loss of a zone: each of
/// the lost tasks started on a worker of its own, and all others waited.
#[rstest]
#[case::just_started(step(36), false)]
#[case::long_running(lasting(36), false)]
#[case::adopted_long_running(lasting(36), true)]
fn place_after_lost_zone(#[case] lost: Step, #[case] takeover: bool) {
    let count = lost.count;
    let mut cluster = lose_zone(lost, takeover);
    // A successor counts on leases that its predecessor extended.
    let waits = 2 * u32::from(takeover) * Duration::from_secs(1);
    cluster.advance(longest_lease() + waits);
    cluster.submit(job("s", vec![step(6)]));
    cluster.advance(START_TIME);
    assert_eq!(run_count(&cluster, "j", count), count as usize);
    assert_eq!(run_count(&cluster, "s", 6), 6);
}
