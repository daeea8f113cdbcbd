//! Tests maintenance waves: their steps, how operators control them and why they pause.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::buffer::Headroom;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge::wave;
use wigeonhinge::wave::Progress;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::WaveState;
use wigeonhinge_standin::region::Region;

fn state(world: &Region) -> Option<WaveState> {
    world.ledger.wave().map(|wave| wave.state())
}

fn reason(world: &Region) -> &str {
    world.ledger.wave().map_or("", |wave| wave.reason.as_str())
}

fn started() -> Region {
    let mut world = Region::small();
    world.start_wave("w1");
    world
}

fn done(world: &Region) -> bool {
    state(world) == Some(WaveState::Done)
}

fn in_phase(world: &Region, phase: Phase) -> usize {
    world
        .ledger
        .vms()
        .iter()
        .filter(|vm| vm.phase() == phase)
        .count()
}

#[test]
fn next_maintains_all() {
    let mut world = started();
    world.until(1000, "done", done);
    assert_eq!(world.maintained(), 24);
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}

/// A wave uses the full budget of every pool from the start, so that it lasts only as long as its
/// slowest pool needs.
#[test]
fn next_fills_budgets() {
    let mut world = started();
    world.run(2);
    assert_eq!(in_phase(&world, Phase::Cordoned), 6);
}

/// If the spare pool is just large enough to replace a lost rack, its VMs are maintained only while
/// the other pools would not need them after such a loss.
#[test]
fn next_keeps_rack_reserve() {
    let mut world = with_spare_promise(4);
    for _ in 0..1000 {
        world.tick();
        let (headroom, _) = Headroom::new(&world.ledger);
        assert!(headroom.promises_hold());
    }
    assert!(done(&world));
    assert_eq!(world.maintained(), 24);
}

/// If the spare pool is too small to replace a lost rack, the wave pauses and says so.
#[test]
fn next_pauses_without_reserve() {
    let mut world = with_spare_promise(6);
    world.until(1000, "pause", |world| {
        state(world) == Some(WaveState::Paused)
    });
    assert!(
        reason(&world).contains("loss of a rack"),
        "{}",
        reason(&world)
    );
}

fn with_spare_promise(promised: u32) -> Region {
    let mut world = Region::small();
    let rules = world.fleet.rules.as_mut().expect("rules");
    rules.pools[2].promised = promised;
    world.revision += 1;
    world.run(2);
    world.start_wave("w1");
    world
}

#[test]
fn next_pauses_without_budget() {
    let mut world = Region::small();
    let rules = world.fleet.rules.as_mut().expect("rules");
    rules.pools[0].max_unavailable = 0;
    world.revision += 1;
    world.run(2);
    world.start_wave("w1");
    world.until(1000, "pause", |world| {
        state(world) == Some(WaveState::Paused)
    });
    assert!(
        reason(&world).contains("its budget is 0"),
        "{}",
        reason(&world)
    );
}

/// Three broken VMs in a small fleet pause the wave. Once they are replaced and the wave is resumed,
/// it maintains every VM.
#[rstest]
fn next_pauses_when_broken(#[values(false, true)] late: bool) {
    let mut world = started();
    for machine in world.machines.values_mut() {
        machine.late = late;
        machine.broken = true;
    }
    world.until(2000, "pause", |world| {
        state(world) == Some(WaveState::Paused)
    });
    assert!(
        reason(&world).contains("came back broken"),
        "{}",
        reason(&world)
    );
    assert!(in_phase(&world, Phase::Quarantined) >= 3);
    for machine in world.machines.values_mut() {
        machine.broken = false;
        machine.report.boot += u64::from(machine.report.boot > 0);
    }
    world.ask(Change::Wave(WaveChange::Resume));
    world.until(2000, "done", done);
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}

#[test]
fn pause_returns_undrained() {
    let mut world = started();
    world.run(3);
    let reason = String::from("test");
    world.ask(Change::Wave(WaveChange::Pause { reason }));
    world.run(90);
    assert_eq!(in_phase(&world, Phase::Active), 24);
    world.ask(Change::Wave(WaveChange::Resume));
    world.until(1000, "done", done);
}

#[test]
fn abort_ends() {
    let mut world = started();
    world.run(10);
    let reason = String::from("test");
    world.ask(Change::Wave(WaveChange::Abort { reason }));
    world.run(90);
    assert_eq!(in_phase(&world, Phase::Active), 24);
    assert_eq!(state(&world), Some(WaveState::Aborted));
}

/// A VM that does not drain is retried after the others; the wave ends without it and names it.
#[test]
fn next_retries_stragglers_last() {
    let mut world = started();
    world.machines.get_mut("crews-0").expect("machine").stuck = true;
    world.until(2000, "done", done);
    assert_eq!(world.maintained(), 23);
    assert!(
        reason(&world).contains("1 not drained in time: crews-0"),
        "{}",
        reason(&world)
    );
}

/// A rack that is lost during a wave blocks only the pools whose budget it uses up; the wave ends
/// once the rack is back.
#[test]
fn next_rack_lost() {
    let mut world = started();
    world.run(12);
    let lost = world.set_rack("r2", true);
    world.run(300);
    assert!(!done(&world));
    let progress = Progress::new(&world.ledger, world.ledger.wave().expect("wave"));
    assert_eq!(progress.down, lost);
    world.set_rack("r2", false);
    world.until(1000, "done", done);
    assert_eq!(world.maintained(), 24);
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}

/// A wave waits for the VMs of a zone that cannot be reached and continues once it can.
#[test]
fn next_zone_unreachable() {
    let mut world = started();
    world.run(6);
    world.cut.insert("b".into());
    world.run(600);
    assert!(!done(&world));
    assert_eq!(in_phase(&world, Phase::Quarantined), 0);
    world.cut.clear();
    world.until(1000, "done", done);
    assert_eq!(world.maintained(), 24);
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}

/// Without a request, a wave starts in time to maintain every VM once in 6 weeks.
#[test]
fn due_by_default() {
    let mut world = Region::small();
    assert!(wave::due(&world.ledger, 0, world.now).is_none());
    world.now += Duration::from_secs(37 * 24 * 3600);
    world.run(2);
    assert!(world.ledger.wave_running());
    world.until(1000, "done", done);
    assert_eq!(world.maintained(), 24);
    world.run(50);
    assert!(done(&world));
}
