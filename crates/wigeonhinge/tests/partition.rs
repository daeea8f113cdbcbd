//! Division of a fleet: number of partitions, racks, choice for jobs, claims, limits of waves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use wigeonhinge::batch::Step;
use wigeonhinge::partition::Claimant;
use wigeonhinge::partition::FleetLoad;
use wigeonhinge::partition::LayoutRow;
use wigeonhinge::partition::Limits;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::RackLoad;
use wigeonhinge::partition::RackRow;
use wigeonhinge::partition::Topology;
use wigeonhinge::partition::WavePlan;
use wigeonhinge::partition::claim_delay;
use wigeonhinge::partition::partition_count;
use wigeonhinge::partition::racks_to_give;

const POOLS: [&str; 5] = ["quoting", "workshop", "crews", "engineering", "backoffice"];

/// Racks of 8 workers, each of one pool, all owned by the first partition.
fn racks(count: usize) -> Vec<RackLoad> {
    let rack = |index: usize| RackLoad {
        rack: format!("r{index}").into(),
        partition: 0,
        workers: BTreeMap::from([(POOLS[index % POOLS.len()].into(), 8)]),
        idle: true,
    };
    (0..count).map(rack).collect()
}

fn workers_by_partition(racks: &[RackLoad], pool: Option<&str>) -> BTreeMap<Partition, usize> {
    let mut counts = BTreeMap::new();
    for rack in racks {
        let pools = rack.workers.iter();
        let workers = pools.filter(|(name, _)| pool.is_none_or(|it| it == name.as_str()));
        let workers: usize = workers.map(|(_, count)| count).sum();
        *counts.entry(rack.partition).or_default() += workers;
    }
    counts
}

fn apply(racks: &mut [RackLoad], gifts: &[(wigeonhinge::id::RackId, Partition)]) {
    for (name, partition) in gifts {
        let rack = racks.iter_mut().find(|it| it.rack == *name);
        rack.expect("a known rack").partition = *partition;
    }
}

fn topology(owners: &[(&str, Partition, &[&str])]) -> Topology {
    let mut topology = Topology::default();
    for (rack, partition, labels) in owners {
        let row = RackRow {
            partition: *partition,
            labels: labels.iter().map(|it| (*it).into()).collect(),
        };
        topology.set_rack((*rack).into(), Some((row, 7)));
    }
    topology
}

/// The sites of today are not divided, and each partition stays within its holder's limits.
#[rstest]
#[case::small(49, 0.25, 1_000.0, 1)]
#[case::grown(350, 0.5, 200.0, 1)]
#[case::large(1_100, 0.5, 200.0, 3)]
#[case::two_years(8_200, 0.5, 200.0, 21)]
#[case::thin_link(130, 0.12, 2.0, 2)]
#[case::empty(0, 0.5, 200.0, 1)]
fn partition_count_limits(
    #[case] machines: usize,
    #[case] cores: f64,
    #[case] link_mbps: f64,
    #[case] expected: u32,
) {
    let limits = Limits { cores, link_mbps };
    let fleet = FleetLoad {
        machines,
        ..FleetLoad::default()
    };
    assert_eq!(partition_count(&fleet, limits), expected);
}

/// Guards against a holder that cannot start as many tasks as the jobs that its workspaces are
/// entitled to have.
#[rstest]
#[case::no_workspaces(350, 0.0, 1)]
#[case::few_jobs(350, 40.0, 1)]
#[case::workspaces(350, 552.0, 2)]
#[case::many_jobs(350, 4_000.0, 3)]
#[case::few_machines(99, 4_000.0, 1)]
fn partition_count_load(#[case] machines: usize, #[case] job_rate: f64, #[case] expected: u32) {
    let limits = Limits {
        cores: 0.5,
        link_mbps: 200.0,
    };
    let fleet = FleetLoad { machines, job_rate };
    assert_eq!(partition_count(&fleet, limits), expected);
}

/// Guards against partitions that lack a pool's workers while others have too many.
#[rstest]
#[case::large(138, 3)]
#[case::two_years(1_025, 21)]
#[case::few(17, 2)]
fn racks_to_give_evenly(#[case] count: usize, #[case] partitions: u32) {
    let mut racks = racks(count);
    let targets = (0..partitions).collect();
    let gifts = racks_to_give(0, &targets, &racks, usize::MAX);
    apply(&mut racks, &gifts);
    for pool in POOLS {
        let workers = workers_by_partition(&racks, Some(pool));
        let (least, most) = (workers.values().min(), workers.values().max());
        assert_eq!(workers.len(), partitions as usize, "{pool}: {workers:?}");
        assert!(
            most.expect("a most") - least.expect("a least") <= 16,
            "{pool}: {workers:?}"
        );
    }
    assert_eq!(
        racks_to_give(0, &targets, &racks, usize::MAX),
        [],
        "the division is stable"
    );
}

/// Racks with runs or recent orders stay, and a partition without racks is filled from the others.
#[test]
fn racks_to_give_idle_only() {
    let mut racks = racks(20);
    for rack in racks.iter_mut().skip(4) {
        rack.idle = false;
    }
    let gifts = racks_to_give(0, &BTreeSet::from([0, 1]), &racks, usize::MAX);
    let given: BTreeSet<&str> = gifts.iter().map(|(rack, _)| rack.as_str()).collect();
    assert_eq!(given, BTreeSet::from(["r0", "r1", "r2", "r3"]));
}

/// Guards against a holder that gives more racks than it can store soon: nobody polls their workers
/// until the rows are stored. Steps of a few racks lead to the same even division.
#[test]
fn racks_to_give_in_steps() {
    let mut racks = racks(375);
    let targets: BTreeSet<Partition> = (0..8).collect();
    let mut steps = 0;
    loop {
        let gifts = racks_to_give(0, &targets, &racks, 16);
        assert!(gifts.len() <= 16, "{} racks at once", gifts.len());
        if gifts.is_empty() {
            break;
        }
        apply(&mut racks, &gifts);
        steps += 1;
    }
    let workers = workers_by_partition(&racks, None);
    assert!(
        steps >= 20 && workers.len() == 8,
        "{steps} steps: {workers:?}"
    );
    assert!(
        workers.values().all(|it| (368..=384).contains(it)),
        "{workers:?}"
    );
}

/// A partition that no entry holds gets no racks: their workers would have no holder.
#[test]
fn racks_to_give_held_only() {
    let racks = racks(40);
    let gifts = racks_to_give(0, &BTreeSet::from([0, 2]), &racks, usize::MAX);
    assert_eq!(gifts.len(), 20);
    assert!(gifts.iter().all(|(_, target)| *target == 2), "{gifts:?}");
}

/// Every partition gets jobs in proportion to its racks; one without racks gets none.
#[test]
fn choose_by_racks() {
    let names: Vec<String> = (0..12).map(|index| format!("r{index}")).collect();
    let owners: Vec<(&str, Partition, &[&str])> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (name.as_str(), if index < 8 { 0 } else { 1 }, &[][..]))
        .collect();
    let mut topology = topology(&owners);
    topology.set_layout(Some(LayoutRow { partitions: 3 }));
    let mut counts = [0; 3];
    for job in 0..3_000 {
        counts[topology.choose(&format!("{job:016x}"), "crews", &[]) as usize] += 1;
    }
    assert_eq!(counts[2], 0);
    let share = f64::from(counts[0]) / 3_000.0;
    assert!((share - 2.0 / 3.0).abs() < 0.05, "{counts:?}");
}

/// Guards against a job in a partition that has no worker with the label or rack that it names.
#[rstest]
#[case::label(Step { requires: "big".into(), ..Step::default() }, 1)]
#[case::rack(Step { affinity: "r2".into(), ..Step::default() }, 2)]
fn choose_where_it_fits(#[case] step: Step, #[case] expected: Partition) {
    let topology = topology(&[
        ("r0", 0, &["small"]),
        ("r1", 1, &["big"]),
        ("r2", 2, &["small"]),
    ]);
    for job in 0..100 {
        assert_eq!(
            topology.choose(&format!("{job:x}"), "crews", std::slice::from_ref(&step)),
            expected
        );
    }
}

/// Guards against jobs that are accepted for a partition that has no worker of their pool: it gets none
/// while another partition has some, and its share if all lack them.
#[rstest]
#[case::plain(Step::default())]
#[case::label(Step { requires: "big".into(), ..Step::default() })]
#[case::rack(Step { affinity: "r1".into(), ..Step::default() })]
fn choose_where_pool_is(#[case] step: Step) {
    let mut topology = topology(&[("r0", 0, &["small"]), ("r1", 1, &["big"])]);
    let counts = |topology: &Topology, pool: &str| {
        let mut counts = [0; 2];
        for job in 0..100 {
            let steps = std::slice::from_ref(&step);
            counts[topology.choose(&format!("{job:x}"), pool, steps) as usize] += 1;
        }
        counts
    };
    let before = counts(&topology, "crews");
    topology.set_absent(1, BTreeSet::from(["crews".into()]));
    assert_eq!(counts(&topology, "crews"), [100, 0]);
    assert_eq!(counts(&topology, "other"), before);
    topology.set_absent(0, BTreeSet::from(["crews".into()]));
    assert_eq!(counts(&topology, "crews"), before);
    topology.set_absent(1, BTreeSet::new());
    assert_eq!(counts(&topology, "crews"), [0, 100]);
}

/// A partition without a holder goes to a large entry that holds none, before a small one and long
/// before one that holds another partition.
#[test]
fn claim_order() {
    let entries: Vec<String> = (0..60).map(|index| format!("entry-{index}")).collect();
    let delay = |entry: &str, cores, held, zone_held| {
        let claimant = Claimant {
            entry,
            cores,
            held,
            zone_held,
        };
        claim_delay(1, &claimant)
    };
    for entry in &entries {
        for other in &entries {
            assert!(delay(entry, 0.5, 0, 1) < delay(other, 0.12, 0, 0));
            assert!(delay(entry, 0.12, 0, 3) < delay(other, 0.5, 1, 0));
        }
    }
}

/// Guards against a herd at an election: within the 10 ms after which the first claim is known, few
/// of the entries try.
#[test]
fn claim_spread() {
    let entries: Vec<String> = (0..30).map(|index| format!("entry-{index}")).collect();
    for partition in 0..50 {
        let delays = entries.iter().map(|entry| {
            let claimant = Claimant {
                entry,
                cores: 0.5,
                held: 0,
                zone_held: 0,
            };
            claim_delay(partition, &claimant)
        });
        let delays: Vec<Duration> = delays.collect();
        let first = *delays.iter().min().expect("a first claim");
        let early = delays
            .iter()
            .filter(|it| **it < first + Duration::from_millis(10));
        assert!(early.count() <= 12);
    }
}

proptest! {
    /// Guards against more machines of a wave that are down than its limit, and against a part that
    /// never gets its turn: partitions finish in any order, with plans divided again in between.
    #[test]
    fn plan_limit(
        limit in 1_usize..12,
        machines in proptest::collection::vec(1_usize..20, 1..6),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 6),
    ) {
        let machines: BTreeMap<Partition, usize> =
            machines.into_iter().enumerate().map(|(index, it)| (index as Partition, it)).collect();
        let mut plan = WavePlan::new(0, limit, &machines);
        let mut finished = BTreeSet::new();
        let mut turns: BTreeSet<Partition> = BTreeSet::new();
        for index in order {
            prop_assert!(plan.shares.values().sum::<usize>() <= limit);
            let working = plan.shares.iter().filter(|(_, share)| **share > 0);
            let working: Vec<Partition> = working.map(|(partition, _)| *partition).collect();
            let Some(done) = (!working.is_empty()).then(|| working[index.index(working.len())]) else {
                break;
            };
            let before = plan.shares.clone();
            finished.insert(done);
            turns.insert(done);
            plan.redivide(limit, &machines, &finished);
            for (partition, share) in &plan.shares {
                prop_assert!(finished.contains(partition) || *share >= before[partition]);
            }
        }
        prop_assert_eq!(turns.len(), machines.len(), "every part got its turn");
    }
}
