//! Stateful fuzzing of the fleet controller and of waves with two controllers and fixed seeds.
//!
//! The oracle is `Region`: it compares each write with the ledger that it replaces and each worker
//! with the ledger. At the end of a case all failures are ended, and the fleet has to recover.

#[allow(dead_code, unreachable_pub)]
#[path = "support/fuzz.rs"]
mod fuzz;

use proptest::prelude::*;
use proptest::sample::select;
use proptest::strategy::Union;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_standin::region;
use wigeonhinge_standin::region::Region;

/// Operation on a region: time that passes, a failure that begins or ends, or a request.
#[derive(Clone, Debug)]
enum Op {
    Tick(u32),
    StoreUp(bool),
    SlowStore(bool),
    LoseAnswer,
    RefuseOrders(bool),
    PauseHolder,
    WakePaused,
    Edit,
    LagList(bool),
    Rack(&'static str, bool),
    Zone(&'static str, bool),
    Vm(&'static str, bool),
    Broken(&'static str, bool),
    Stuck(&'static str, bool),
    Start(u32),
    Pause,
    Resume,
    Abort,
    Move(&'static str, &'static str),
}

const VMS: [&str; 7] = [
    "crews-0",
    "crews-7",
    "quoting-1",
    "quoting-5",
    "spare-0",
    "spare-3",
    "spare-6",
];

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Op> {
        let vm = || select(&VMS[..]);
        let rack = select(&["r0", "r1", "r2", "r3", "r4", "r5"][..]);
        let zone = select(&["a", "b", "c"][..]);
        let pool = select(&["crews", "quoting", "spare"][..]);
        let weighted = vec![
            (12, (1_u32..40).prop_map(Op::Tick).boxed()),
            (1, any::<bool>().prop_map(Op::StoreUp).boxed()),
            (1, any::<bool>().prop_map(Op::SlowStore).boxed()),
            (2, Just(Op::LoseAnswer).boxed()),
            (1, any::<bool>().prop_map(Op::RefuseOrders).boxed()),
            (2, Just(Op::PauseHolder).boxed()),
            (2, Just(Op::WakePaused).boxed()),
            (2, Just(Op::Edit).boxed()),
            (1, any::<bool>().prop_map(Op::LagList).boxed()),
            (
                2,
                (rack, any::<bool>())
                    .prop_map(|(rack, lost)| Op::Rack(rack, lost))
                    .boxed(),
            ),
            (
                1,
                (zone, any::<bool>())
                    .prop_map(|(zone, cut)| Op::Zone(zone, cut))
                    .boxed(),
            ),
            (
                2,
                (vm(), any::<bool>())
                    .prop_map(|(vm, lost)| Op::Vm(vm, lost))
                    .boxed(),
            ),
            (
                1,
                (vm(), any::<bool>())
                    .prop_map(|(vm, broken)| Op::Broken(vm, broken))
                    .boxed(),
            ),
            (
                1,
                (vm(), any::<bool>())
                    .prop_map(|(vm, stuck)| Op::Stuck(vm, stuck))
                    .boxed(),
            ),
            (3, (0_u32..1000).prop_map(Op::Start).boxed()),
            (1, Just(Op::Pause).boxed()),
            (1, Just(Op::Resume).boxed()),
            (1, Just(Op::Abort).boxed()),
            (
                3,
                (vm(), pool)
                    .prop_map(|(vm, pool)| Op::Move(vm, pool))
                    .boxed(),
            ),
        ];
        Union::new_weighted(weighted).boxed()
    }

    fn apply((): (), _: &Op) {}
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = Region;
    type Reference = Model;

    fn init_test((): &()) -> Region {
        Region::small()
    }

    fn apply(mut world: Region, (): &(), op: Op) -> Region {
        let reason = String::from("fuzz");
        match op {
            Op::Tick(ticks) => world.run(ticks),
            Op::StoreUp(up) => world.store_up = up,
            Op::SlowStore(slow) => world.slow = slow,
            Op::LoseAnswer => world.lose_answer = true,
            Op::RefuseOrders(refused) => world.refuse_orders = refused,
            Op::PauseHolder => world.lapse(),
            Op::WakePaused => world.wake(),
            Op::Edit => world.edit(),
            Op::LagList(lags) => world.list_lags = lags,
            Op::Rack(rack, lost) => drop(world.set_rack(rack, lost)),
            Op::Zone(zone, true) => drop(world.cut.insert(zone.into())),
            Op::Zone(zone, false) => drop(world.cut.remove(zone)),
            Op::Vm(vm, lost) => world.set_lost(vm, lost),
            Op::Broken(vm, broken) => modify(&mut world, vm, |machine| machine.broken = broken),
            Op::Stuck(vm, stuck) => modify(&mut world, vm, |machine| machine.stuck = stuck),
            Op::Start(id) => world.start_wave(&id.to_string()),
            Op::Pause => world.ask(Change::Wave(WaveChange::Pause { reason })),
            Op::Resume => world.ask(Change::Wave(WaveChange::Resume)),
            Op::Abort => world.ask(Change::Wave(WaveChange::Abort { reason })),
            Op::Move(vm, pool) => {
                let target = Some(pool.into());
                world.ask(Change::Cordon {
                    vm: vm.into(),
                    target,
                });
            }
        }
        world
    }

    fn check_invariants(world: &Region, (): &()) {
        assert!(world.faults.is_empty(), "{:?}", world.faults);
    }

    fn teardown(mut world: Region, (): ()) {
        end_failures(&mut world);
        world.until(4000, "every listed VM active in its pool", |world| {
            let vms = world.ledger.vms();
            let settled = vms
                .iter()
                .all(|vm| vm.phase() == Phase::Active && !vm.removing && vm.target.is_empty());
            let listed = vms.len() == world.fleet.inventory.len();
            settled && listed && !world.ledger.wave_running()
        });
        assert!(world.faults.is_empty(), "{:?}", world.faults);
    }
}

/// Ends every failure and replaces broken workers.
fn end_failures(world: &mut Region) {
    world.wake();
    world.store_up = true;
    world.slow = false;
    world.lose_answer = false;
    world.refuse_orders = false;
    world.list_lags = false;
    world.cut.clear();
    for machine in world.machines.values_mut() {
        machine.lost = false;
        machine.stuck = false;
        machine.report.boot += u64::from(machine.broken) * 100;
        machine.broken = false;
    }
}

fn modify(world: &mut Region, vm: &str, change: impl Fn(&mut region::Machine)) {
    if let Some(machine) = world.machines.get_mut(vm) {
        change(machine);
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(192, 1, 4_000))]

    /// Checks budgets, ownership and recovery under random sequences of failures and requests.
    #[test]
    fn fleet_recovers(sequential 1..60 => Fleet);
}
