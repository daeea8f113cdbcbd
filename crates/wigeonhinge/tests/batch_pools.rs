//! Machines of a `Batch`: pools that follow demand, waves, orders of two holders.

#[path = "support/cluster.rs"]
mod cluster;

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Cluster;
use cluster::POOL;
use cluster::SPARE;
use cluster::job;
use cluster::machine;
use cluster::step;
use rstest::rstest;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Machine;
use wigeonhinge::batch::OrdersRow;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::Wave;

const SECOND: Duration = Duration::from_secs(1);

fn machines(workers: &[&str], parked: usize) -> Vec<Machine> {
    let own = workers
        .iter()
        .map(|id| machine(&format!("m-{id}"), POOL, id));
    let spare = (0..parked).map(|index| machine(&format!("p{index}"), SPARE, ""));
    own.chain(spare).collect()
}

fn moves(cluster: &Cluster, target: &str) -> usize {
    let is = |action: &&Action| matches!(action, Action::Move { pool, .. } if pool == target);
    cluster.actions.iter().filter(is).count()
}

fn ordered(cluster: &Cluster, id: &str) -> bool {
    let is = |action: &Action| matches!(action, Action::Move { machine, .. } if machine == id);
    cluster.actions.iter().any(is)
}

const THREE: [&str; 3] = ["w1", "w2", "w3"];

/// Two lasting tasks of one step at work on two of three workers; one may be away.
fn lasting_pair() -> Cluster {
    let lasting = Step {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(1),
        ..step(2)
    };
    let mut cluster = Cluster::new(&THREE);
    cluster.submit(job("j", vec![lasting]));
    cluster.store_writes();
    for node in cluster.nodes.values_mut() {
        node.runs.values_mut().for_each(|work| work.percent = 100);
    }
    cluster.poll_workers();
    cluster
}

fn maintained(cluster: &Cluster) -> Vec<String> {
    let orders = cluster.actions.iter().filter_map(|action| match action {
        Action::Maintain { machine, .. } => Some(machine.to_string()),
        _ => None,
    });
    orders.collect()
}

fn wave(machines: &[&str], limit: usize, secs: u64) -> Wave {
    Wave {
        number: 1,
        machines: machines.iter().map(|id| (*id).into()).collect(),
        remaining: Duration::from_secs(secs),
        limit,
        ..Wave::default()
    }
}

/// Parked machines come to a pool whose tasks wait, as many as they need.
#[test]
fn flood_brings_machines() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.handle(Event::Machines(machines(&["w1"], 8)));
    cluster.submit(job("j", vec![step(60)]));
    cluster.advance(Duration::from_millis(200));
    assert!((3..=5).contains(&moves(&cluster, POOL)));
}

/// Idle machines are not parked before any work was seen.
#[test]
fn idle_before_work() {
    let workers = ["w1", "w2", "w3"];
    let mut cluster = Cluster::new(&workers);
    cluster.handle(Event::Machines(machines(&workers, 0)));
    cluster.advance(5 * SECOND);
    assert_eq!(moves(&cluster, SPARE), 0);
}

/// Idle machines are parked after a lull, and one stays.
#[test]
fn idle_after_work() {
    let workers = ["w1", "w2", "w3"];
    let mut cluster = Cluster::new(&workers);
    cluster.handle(Event::Machines(machines(&workers, 0)));
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.end_run("j.0.0.0", wigeonhinge::batch::End::Done);
    cluster.advance(8 * SECOND);
    let parked: BTreeSet<String> = cluster
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Move { machine, .. } => Some(machine.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(parked.len(), 2);
}

/// No more machines of a wave are ordered at a time than its limit allows.
#[test]
fn wave_limit() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut cluster = Cluster::new(&workers);
    cluster.handle(Event::Machines(machines(&workers, 0)));
    let all = ["m-w1", "m-w2", "m-w3", "m-w4"];
    cluster.handle(Event::Wave(wave(&all, 2, 20)));
    cluster.advance(SECOND);
    assert_eq!(maintained(&cluster).len(), 2);
}

/// A lasting task leaves a machine only while its step may miss one more.
#[test]
fn wave_absences() {
    let mut cluster = lasting_pair();
    cluster.handle(Event::Machines(machines(&THREE, 0)));
    cluster.handle(Event::Wave(wave(&["m-w1", "m-w2", "m-w3"], 3, 3)));
    cluster.advance(Duration::from_millis(300));
    let stops = cluster.actions.iter();
    let stops = stops.filter(|action| matches!(action, Action::Stop { .. }));
    assert!(stops.count() <= 1);
}

/// A run that the predecessor has just stopped is still listed for some 400 ms; taking it for
/// one at work would let a second task of its step be stopped.
#[test]
fn takeover_counts_predecessors_stops() {
    let mut cluster = lasting_pair();
    cluster.take_over();
    cluster.handle(Event::Machines(machines(&THREE, 0)));
    let holder = cluster.worker_of("j.0.0.0").expect("a run");
    let machine = format!("m-{holder}");
    cluster.handle(Event::Wave(wave(&[&machine], 3, 3)));
    cluster.advance(Duration::from_millis(400));
    let stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(!cluster.actions.iter().any(stop));
    cluster.advance(SECOND);
    assert!(
        cluster.actions.iter().any(stop),
        "the other task is at work for certain"
    );
}

/// A machine with a run is not taken down while there is time.
#[test]
fn wave_waits_for_runs() {
    let workers = ["w1", "w2"];
    let mut cluster = Cluster::new(&workers);
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    let holder = cluster.worker_of("j.0.0.0").expect("a run");
    let name = format!("m-{holder}");
    cluster.handle(Event::Machines(machines(&workers, 0)));
    cluster.handle(Event::Wave(wave(&[&name], 1, 30)));
    cluster.advance(SECOND);
    assert!(maintained(&cluster).is_empty());
    cluster.end_run("j.0.0.0", wigeonhinge::batch::End::Done);
    cluster.advance(SECOND);
    assert_eq!(maintained(&cluster), [name]);
}

/// A machine that a predecessor may still order gets no order for the platform's bound of 3 s
/// and the time of the predecessor's own orders; one whose last order was answered waits for
/// the rest of the bound; others are ordered at once.
#[rstest]
#[case::open(None, Duration::from_millis(4_400), Duration::from_millis(4_800))]
#[case::answered(Some(2_000), Duration::from_millis(900), Duration::from_millis(1_500))]
fn takeover_keeps_away(#[case] age: Option<u64>, #[case] barred: Duration, #[case] free: Duration) {
    let mut cluster = Cluster::new(&["w1"]);
    let row = OrdersRow([("p0".into(), age)].into());
    cluster.batch.block_orders(&row, cluster.now);
    cluster.handle(Event::Machines(machines(&["w1"], 2)));
    cluster.submit(job("j", vec![step(60)]));
    cluster.advance(barred);
    assert!(ordered(&cluster, "p1"));
    assert!(!ordered(&cluster, "p0"));
    cluster.advance(free - barred);
    assert!(ordered(&cluster, "p0"));
}

/// After an order the list of machines may lag behind the registry: the machine already has a
/// new worker with a lasting task, and the list still names the one that is gone.
#[test]
fn list_lags_behind_order() {
    let mut cluster = Cluster::new(&["w1", "w2"]);
    cluster.handle(Event::Machines(machines(&["w1", "w2"], 0)));
    cluster.handle(Event::Wave(wave(&["m-w1"], 1, 60)));
    cluster.advance(SECOND);
    assert_eq!(maintained(&cluster), ["m-w1"]);
    cluster.handle(Event::OrderAnswered("m-w1".into(), true));
    cluster.nodes.remove("w1");
    cluster
        .nodes
        .insert("w3".into(), cluster.nodes["w2"].clone());
    let draining = cluster.entries.iter_mut().find(|it| it.id == "w2");
    draining.expect("an entry").draining = true;
    cluster.entries.retain(|it| it.id != "w1");
    let mut entry = cluster::entry("w3");
    entry.machine = "m-w1".into();
    cluster.entries.push(entry);
    cluster.handle(Event::Workers(cluster.entries.clone()));
    cluster.advance(3 * SECOND);
    let lasting = Step {
        long_running: true,
        ..step(1)
    };
    cluster.submit(job("j", vec![lasting]));
    cluster.advance(SECOND);
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w3"));
    let mut again = wave(&["m-w1"], 1, 60);
    again.number = 2;
    cluster.handle(Event::Wave(again));
    cluster.advance(SECOND);
    assert_eq!(
        maintained(&cluster),
        ["m-w1"],
        "the task would end with its worker"
    );
}

/// Filling tasks give way when a task that serves beside them nears its goal.
#[test]
fn pace_near_goal() {
    let serving = Step {
        long_running: true,
        goal_ms: 100,
        ..step(1)
    };
    let filling = Step {
        best_effort: true,
        ..step(1)
    };
    let mut cluster = Cluster::new(&["w1"]);
    cluster.submit(job("s", vec![serving]));
    cluster.submit(job("f", vec![filling]));
    cluster.store_writes();
    let node = cluster.nodes.get_mut("w1").expect("a worker");
    let id = cluster::task("s.0.0.0");
    node.runs.get_mut(&id).expect("a run").measurement = 95.0;
    cluster.advance(Duration::from_millis(300));
    let paces: Vec<u32> = cluster
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Pace { percent, .. } => Some(*percent),
            _ => None,
        })
        .collect();
    assert_eq!(paces.first(), Some(&50));
}

/// A machine whose order has no answer yet gets no task, since the order would end it.
#[test]
fn ordered_machine_gets_no_task() {
    let workers = ["w1"];
    let mut cluster = Cluster::new(&workers);
    cluster.handle(Event::Machines(machines(&workers, 0)));
    cluster.handle(Event::Wave(wave(&["m-w1"], 1, 20)));
    cluster.advance(Duration::from_millis(200));
    assert_eq!(maintained(&cluster).len(), 1);
    cluster.submit(job("j", vec![step(1)]));
    for _ in 0..20 {
        cluster.advance(Duration::from_millis(100));
        cluster.handle(Event::Machines(machines(&workers, 0)));
    }
    assert!(cluster.starts().is_empty());
    assert_eq!(maintained(&cluster).len(), 1);
}
