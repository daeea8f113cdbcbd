//! Racks that pass to another partition, parts of waves, and the index of workers.

#[path = "support/cluster.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Cluster;
use cluster::POOL;
use cluster::SPARE;
use cluster::job;
use cluster::machine;
use cluster::step;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use wigeonhinge::batch::Action;
use wigeonhinge::batch::End;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::OrdersRow;
use wigeonhinge::batch::Step;
use wigeonhinge::batch::WORKER_LEASE;
use wigeonhinge::batch::Wave;

const SECOND: Duration = Duration::from_secs(1);

const RACK: &str = "r1-1";

const TWO: [&str; 2] = ["w1", "w2"];

fn list_machines(cluster: &mut Cluster, workers: &[&str]) {
    let list = workers
        .iter()
        .map(|id| machine(&format!("m-{id}"), POOL, id));
    cluster.handle(Event::Machines(list.collect()));
}

fn wave(machines: &[&str], limit: usize) -> Wave {
    Wave {
        number: 1,
        machines: machines.iter().map(|id| (*id).into()).collect(),
        remaining: 30 * SECOND,
        limit,
        ..Wave::default()
    }
}

fn rack_idle(cluster: &Cluster) -> bool {
    let racks = BTreeSet::from([RACK.into()]);
    cluster.batch.idle_racks(&racks, cluster.now) == racks
}

fn published(cluster: &Cluster) -> bool {
    let is = |action: &Action| matches!(action, Action::Publish { .. });
    cluster.actions.iter().any(is)
}

fn maintained(cluster: &Cluster) -> usize {
    let is = |action: &&Action| matches!(action, Action::Maintain { .. });
    cluster.actions.iter().filter(is).count()
}

/// A rack is not given while a run may exist on it, and is given once the run has ended.
#[test]
fn rack_idle_after_runs() {
    let mut cluster = Cluster::new(&TWO);
    assert!(rack_idle(&cluster));
    cluster.submit(job("j", vec![step(1)]));
    assert!(!rack_idle(&cluster), "the start is reserved");
    cluster.store_writes();
    cluster.advance(SECOND);
    assert!(!rack_idle(&cluster));
    cluster.end_run("j.0.0.0", End::Done);
    cluster.advance(SECOND);
    assert!(rack_idle(&cluster));
}

/// Guards against a second run of a task that is done: the next owner of its worker's rack acknowledges
/// the end, as it does not know the job, and the store does not hold the result yet.
#[test]
fn rack_idle_after_stored_ends() {
    let mut cluster = Cluster::new(&TWO);
    cluster.submit(job("j", vec![step(1)]));
    cluster.advance(SECOND);
    cluster.end_run("j.0.0.0", End::Done);
    cluster.poll_workers();
    assert!(!rack_idle(&cluster), "the result is not stored");
    cluster.store_writes();
    assert!(rack_idle(&cluster));
}

/// Guards against orders of two partitions to one machine in turns: a rack rests before it is given.
#[rstest]
#[case::answered(Some(0))]
#[case::open(None)]
fn rack_idle_after_orders(#[case] age_ms: Option<u64>) {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &TWO);
    let row = OrdersRow([("m-w1".into(), age_ms)].into());
    cluster.batch.block_orders(&row, cluster.now);
    cluster.advance(2 * SECOND);
    assert!(!rack_idle(&cluster));
    cluster.advance(3 * SECOND);
    assert!(rack_idle(&cluster));
}

/// A rack that was given away gets no tasks any more.
#[test]
fn released_rack_gets_no_tasks() {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &TWO);
    cluster.batch.release_racks(&BTreeSet::from([RACK.into()]));
    cluster.submit(job("j", vec![step(1)]));
    cluster.advance(2 * SECOND);
    assert!(cluster.starts().is_empty());
}

/// Guards against a wave that is completed while a machine of it is missing in one list.
#[test]
fn wave_waits_for_missing_machine() {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &["w1"]);
    cluster.handle(Event::Wave(wave(&["m-w1", "m-w2"], 2)));
    cluster.advance(SECOND);
    cluster.handle(Event::OrderAnswered("m-w1".into(), true));
    cluster.advance(2 * SECOND);
    assert!(!published(&cluster));
    list_machines(&mut cluster, &TWO);
    cluster.advance(SECOND);
    assert_eq!(maintained(&cluster), 2);
}

/// A machine that stays away from the list for seconds does not hold up a wave.
#[test]
fn wave_completes_without_removed_machine() {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &["w1"]);
    cluster.handle(Event::Wave(wave(&["m-w1", "m-gone"], 2)));
    cluster.advance(SECOND);
    cluster.handle(Event::OrderAnswered("m-w1".into(), true));
    cluster.advance(7 * SECOND);
    assert!(published(&cluster));
}

/// A partition completes its part of a wave when its own machines had their maintenance.
#[test]
fn wave_part_without_foreign_machines() {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &["w1"]);
    cluster.handle(Event::ForeignMachines(BTreeSet::from(["m-other".into()])));
    cluster.handle(Event::Wave(wave(&["m-w1", "m-other"], 2)));
    cluster.advance(SECOND);
    cluster.handle(Event::OrderAnswered("m-w1".into(), true));
    cluster.advance(SECOND);
    assert!(published(&cluster));
    assert!(
        !cluster.batch.wave_settled(1, cluster.now),
        "the machine is still down"
    );
}

/// Guards against a long-running task that is never started again: its worker was drained while the
/// start waited for a slow store, and the machine went down with a run that nobody counted.
#[test]
fn drain_waits_for_reserved_start() {
    let long_running = Step {
        long_running: true,
        max_unavailable: Some(1),
        ..step(1)
    };
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &TWO);
    cluster.submit(job("j", vec![long_running]));
    // The start is reserved, and its row is not stored yet.
    cluster.handle(Event::Wave(wave(&["m-w1"], 1)));
    for _ in 0..3 {
        cluster.now += Duration::from_millis(100);
        for id in TWO {
            cluster.poll_worker(id);
        }
        cluster.handle(Event::Tick);
    }
    let down: Vec<String> = cluster
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Maintain { machine, .. } => Some(machine.to_string()),
            _ => None,
        })
        .collect();
    for machine in down {
        let id = machine.trim_start_matches("m-");
        cluster.nodes.get_mut(id).expect("a worker").silent = true;
        cluster.handle(Event::OrderAnswered(machine.as_str().into(), true));
    }
    cluster.advance(8 * SECOND);
    assert_eq!(cluster.run_count("j.0.0.0"), 1);
}

/// A partition whose share of a wave's limit is zero takes no machine down until it gets one.
#[test]
fn wave_without_share() {
    let mut cluster = Cluster::new(&TWO);
    list_machines(&mut cluster, &TWO);
    cluster.handle(Event::Wave(wave(&["m-w1", "m-w2"], 0)));
    cluster.advance(2 * SECOND);
    assert_eq!(maintained(&cluster), 0);
    cluster.handle(Event::WaveLimit(1, 1));
    cluster.advance(SECOND);
    assert_eq!(maintained(&cluster), 1);
}

/// A small task starts although more large tasks wait before it than a placement pass tries.
#[test]
fn small_task_behind_large_ones() {
    let large = Step {
        millicores: 12_000,
        ..step(60)
    };
    let mut cluster = Cluster::new(&TWO);
    cluster.submit(job("large", vec![large]));
    cluster.submit(job("small", vec![step(1)]));
    cluster.store_writes();
    let started = cluster.starts();
    assert_eq!(started.len(), 3);
    assert!(started.iter().any(|(task, _)| task == "small.0.0.0"));
}

/// Guards against a long-running task that waits for ever for a worker that other long-running
/// tasks fill, while the runs on another worker end.
#[test]
fn reserve_beside_short_runs() {
    let long_running = |millicores| Step {
        millicores,
        long_running: true,
        ..step(1)
    };
    let short = Step {
        millicores: 4_000,
        ..step(40)
    };
    let mut cluster = Cluster::new(&TWO);
    cluster.submit(job("filling", vec![long_running(13_000)]));
    cluster.submit(job("short", vec![short]));
    cluster.store_writes();
    cluster.submit(job("waiting", vec![long_running(8_000)]));
    cluster.advance(SECOND);
    assert_eq!(cluster.run_count("waiting.0.0.0"), 0);
    // The short runs end one after the other, and others wait for their room.
    for index in 0..8 {
        cluster.end_run(&format!("short.0.0.{index}"), End::Done);
        cluster.advance(Duration::from_millis(200));
    }
    assert_eq!(cluster.run_count("waiting.0.0.0"), 1);
}

/// Guards against a long-running task that waits for ever although machines are on standby: all
/// workers of its pool have either a task of its step or no memory left.
#[test]
fn unplaced_task_adds_machine() {
    let long_running = |count, memory_mb| Step {
        long_running: true,
        max_per_worker: 1,
        memory_mb,
        ..step(count)
    };
    let workers = ["w1", "w2", "w3"];
    let mut cluster = Cluster::new(&workers);
    let mut list: Vec<_> = workers
        .iter()
        .map(|id| machine(&format!("m-{id}"), POOL, id))
        .collect();
    list.extend((0..4).map(|index| machine(&format!("p{index}"), SPARE, "")));
    cluster.handle(Event::Machines(list));
    cluster.submit(job("filling", vec![long_running(1, 60_000)]));
    cluster.store_writes();
    cluster.submit(job("wide", vec![long_running(3, 10_000)]));
    cluster.advance(2 * SECOND);
    let moves = cluster.actions.iter();
    let moves = moves.filter(|action| matches!(action, Action::Move { .. }));
    assert_eq!(moves.count(), 1);
}

/// Guards against machines that move in one after the other for a task that fits on none.
#[test]
fn oversized_task_adds_few_machines() {
    let oversized = Step {
        long_running: true,
        memory_mb: 100_000,
        ..step(1)
    };
    let mut cluster = Cluster::new(&["w1"]);
    let mut list = vec![machine("m-w1", POOL, "w1")];
    list.extend((0..4).map(|index| machine(&format!("p{index}"), SPARE, "")));
    cluster.handle(Event::Machines(list));
    cluster.submit(job("oversized", vec![oversized]));
    cluster.advance(2 * SECOND);
    let moves = cluster.actions.iter();
    let moves = moves.filter(|action| matches!(action, Action::Move { .. }));
    // Its memory alone counts as demand for a second machine.
    assert!(moves.count() <= 1);
}

/// Plays random jobs, ends, silences and losses; debug builds compare the index of workers with a
/// pass over all of them at each refresh.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn index_random_play(#[case] seed: u64) {
    let names: Vec<String> = (0..12).map(|index| format!("w{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&names);
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut submitted = 0;
    let mut silent_since = BTreeMap::new();
    for round in 0..300 {
        if rng.random_bool(0.5) {
            let steps = (0..rng.random_range(1..3)).map(|index| Step {
                millicores: rng.random_range(500..9_000),
                memory_mb: rng.random_range(500..30_000),
                max_per_worker: rng.random_range(0..3),
                long_running: rng.random_bool(0.1),
                after: (0..index).collect(),
                ..step(rng.random_range(1..6))
            });
            cluster.submit(job(&format!("j{submitted}"), steps.collect()));
            submitted += 1;
        }
        if rng.random_bool(0.1) {
            let name = names[rng.random_range(0..names.len())];
            let node = cluster.nodes.get_mut(name).expect("a worker");
            node.silent = !node.silent;
            match silent_since.remove(name) {
                // The worker ends its runs when its lease expires.
                Some(since) if cluster.now - since >= WORKER_LEASE => node.runs.clear(),
                Some(_) => {}
                None => {
                    silent_since.insert(name, cluster.now);
                }
            }
        }
        if rng.random_bool(0.05) {
            cluster.handle(Event::Cancel(
                format!("j{}", rng.random_range(0..=submitted)).into(),
            ));
        }
        if round == 150 {
            cluster.take_over();
        }
        let ended: Vec<String> = cluster
            .nodes
            .values()
            .filter(|node| !node.silent)
            .flat_map(|node| node.runs.keys())
            .filter(|_| rng.random_bool(0.2))
            .map(ToString::to_string)
            .collect();
        for task in ended {
            let end = if rng.random_bool(0.9) {
                End::Done
            } else {
                End::Failed
            };
            cluster.end_run(&task, end);
        }
        cluster.advance(Duration::from_millis(100));
        let mut running = BTreeSet::new();
        for node in cluster.nodes.values().filter(|node| !node.silent) {
            for task in node.runs.keys() {
                assert!(running.insert(task.clone()), "two runs of {task}");
            }
        }
    }
    assert!(cluster.states.len() > 20, "{} jobs", cluster.states.len());
}
