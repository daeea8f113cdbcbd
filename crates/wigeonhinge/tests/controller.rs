//! Tests the fleet controller under each failure that affects a fleet, alone and in pairs.

#[allow(dead_code)]
#[path = "support/failure.rs"]
mod failure;
use rstest::rstest;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::WaveState;
use wigeonhinge_standin::region::Region;

use crate::failure::FAILURES;
use crate::failure::Failure;

fn wave_state(world: &Region) -> Option<WaveState> {
    world.ledger.wave().map(|wave| wave.state())
}

fn recovered(world: &Region) -> bool {
    let all = world.ledger.vms().iter();
    let mut open = all.filter(|vm| vm.phase() != Phase::Active);
    wave_state(world) == Some(WaveState::Done) && open.next().is_none()
}

/// Runs a wave to its end through two overlapping failures; the first begins after some ticks.
fn run_wave(first: Failure, second: Failure, after: u32) -> Region {
    let mut world = Region::small();
    world.start_wave("w1");
    world.run(after);
    first.begin(&mut world);
    world.run(7);
    if second != first {
        second.begin(&mut world);
    }
    world.run(40);
    first.end(&mut world);
    world.run(11);
    if second != first {
        second.end(&mut world);
    }
    let label = format!("{first:?} and {second:?} after {after}");
    world.until(3000, &label, recovered);
    assert!(world.faults.is_empty(), "{label}: {:?}", world.faults);
    world
}

/// A wave ends and every VM is active again after any two overlapping failures.
#[rstest]
fn step_survives_failure_pairs(#[values(3, 9, 17, 31)] after: u32) {
    for first in FAILURES {
        for second in FAILURES {
            run_wave(first, second, after);
        }
    }
}

/// Without a lease or without the store nothing is written and requests are refused; the wave ends
/// once both are back.
#[rstest]
#[case::no_lease(false, true)]
#[case::no_store(true, false)]
fn step_without_lease_or_store(#[case] lease: bool, #[case] store: bool) {
    let mut world = Region::small();
    world.start_wave("w1");
    world.until(100, "a reboot", |world| {
        world
            .ledger
            .vms()
            .iter()
            .any(|vm| vm.phase() == Phase::Rebooting)
    });
    world.seats[0].fence = lease.then_some(1);
    world.store_up = store;
    let before = world.version;
    world.start_wave("w2");
    world.run(50);
    assert_eq!(world.version, before);
    assert!(!world.refused.is_empty());
    world.seats[0].fence = Some(1);
    world.store_up = true;
    world.until(3000, "the end of the wave", recovered);
}

/// A new holder of the role writes its fence before its first order: until then the earlier holder
/// may still write, and the ledger that the new one has read may be out of date.
#[test]
fn step_new_holder_writes_fence() {
    let mut world = Region::small();
    world.start_wave("w1");
    world.until(50, "a drain", |world| {
        world
            .ledger
            .vms()
            .iter()
            .any(|vm| vm.phase() == Phase::Draining)
    });
    world.seats[0].fence = None;
    world.seats[1].fence = Some(7);
    world.seats[1].view = Some((world.version, world.ledger.clone()));
    let first = world.output(1);
    assert!(first.orders.is_empty());
    let write = first.write.expect("claim");
    assert_eq!(write.ledger.document().fence, 7);
    assert!(world.write(write.expect, write.ledger));
    world.until(3000, "the end of the wave", recovered);
}

/// A controller that reads the fence of a later holder in the ledger neither writes nor gives orders.
#[test]
fn step_later_holder() {
    let mut world = Region::small();
    world.seats[1].fence = Some(9);
    world.seats[0].paused = true;
    world.run(1);
    world.seats[0].paused = false;
    world.seats[0].view = Some((world.version, world.ledger.clone()));
    let output = world.output(0);
    assert!(output.write.is_none() && output.orders.is_empty());
}

/// A VM that fails is marked down and becomes active again once the list shows it as running and its
/// worker is healthy.
#[test]
fn step_readmits() {
    let mut world = Region::small();
    world.set_lost("crews-3", true);
    world.until(20, "down", |world| {
        world.phase("crews-3") == Some(Phase::Down)
    });
    world.set_lost("crews-3", false);
    world.until(20, "active", |world| {
        world.phase("crews-3") == Some(Phase::Active)
    });
}

/// If most workers are silent, the controller itself is cut off: it marks no VM down and starts no
/// disruption.
#[test]
fn step_isolated() {
    let mut world = Region::small();
    world.cut = ["a", "b", "c"].map(String::from).into();
    world.run(10);
    world.start_wave("w1");
    world.run(60);
    assert!(
        world
            .ledger
            .vms()
            .iter()
            .all(|vm| vm.phase() == Phase::Active)
    );
}

/// An active worker that refuses work counts as unavailable, whoever cordoned it.
#[test]
fn step_foreign_cordon() {
    let mut world = Region::small();
    let machine = world.machines.get_mut("crews-1").expect("machine");
    machine.report.cordoned = true;
    world.poll();
    world.decide(0);
    assert_eq!(world.phase("crews-1"), Some(Phase::Down));
    world.until(20, "active", |world| {
        world.phase("crews-1") == Some(Phase::Active)
    });
}

/// A worker that restarts between two polls is detected: its report no longer has the step of its
/// last order.
#[test]
fn step_restart() {
    let mut world = Region::small();
    let machine = world.machines.get_mut("crews-1").expect("machine");
    machine.report.step = 0;
    machine.report.boot += 1;
    world.poll();
    world.decide(0);
    assert_eq!(world.phase("crews-1"), Some(Phase::Down));
    world.until(20, "active", |world| {
        world.phase("crews-1") == Some(Phase::Active)
    });
}

/// An outdated list starts no disruption: VMs that it still shows as running may be gone.
#[test]
fn step_stale_list() {
    let mut world = Region::small();
    world.list_lags = true;
    world.run(40);
    world.start_wave("w1");
    world.run(40);
    assert_eq!(
        world
            .ledger
            .counts()
            .values()
            .map(|count| count.unavailable())
            .sum::<u32>(),
        0
    );
}

/// VMs that an inventory edit removes or reassigns are cordoned and drained within the budget. A
/// removed VM that is listed again becomes active.
#[test]
fn step_inventory_edits() {
    let mut world = Region::small();
    world.edit();
    world.until(200, "edit followed", |world| {
        let moved = world.ledger.vm("spare-6").map(|vm| vm.pool.as_str()) == Some("quoting");
        moved && world.ledger.vm("crews-7").is_none()
    });
    world.edit();
    world.until(200, "edit undone", |world| {
        let moved = world.ledger.vm("spare-6").map(|vm| vm.pool.as_str()) == Some("spare");
        moved && world.phase("crews-7") == Some(Phase::Active)
    });
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}

/// A request whose write had a lost answer is not carried out twice, and is not refused.
#[test]
fn step_answer_lost() {
    let mut world = Region::small();
    world.lose_answer = true;
    world.start_wave("w1");
    world.run(2);
    let wave = world.ledger.wave().expect("wave").clone();
    world.run(2);
    assert_eq!(
        world.ledger.wave().map(|wave| wave.started_ms),
        Some(wave.started_ms)
    );
    assert!(world.refused.is_empty(), "{:?}", world.refused);
}
