//! Tests the rules of the ledger: ownership, phase order, fence and budgets.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::Category;
use wigeonhinge::Error;
use wigeonhinge::id::Time;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::ledger::Refusal;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::WaveState;
use wigeonhinge_standin::region;

const NOW: Time = Duration::from_secs(5000);

fn active_ledger() -> Ledger {
    let mut ledger = Ledger::new("north")
        .apply(&inventory(1), 1, NOW)
        .expect("inventory");
    for vm in ledger.vms().to_vec() {
        let vm = vm.name.as_str();
        ledger = ledger
            .apply_all(&[mark_up(vm), uncordon(vm)], 1, NOW)
            .expect("up");
    }
    ledger
}

fn inventory(revision: u64) -> Change {
    let fleet = Box::new(region::fleet());
    Change::Inventory { revision, fleet }
}

fn mark_up(vm: &str) -> Change {
    Change::MarkUp { vm: vm.into() }
}

fn uncordon(vm: &str) -> Change {
    Change::Uncordon { vm: vm.into() }
}

fn cordon(vm: &str) -> Change {
    let vm = vm.into();
    Change::Cordon { vm, target: None }
}

fn move_to(vm: &str, target: &str) -> Change {
    let target = Some(target.into());
    Change::Cordon {
        vm: vm.into(),
        target,
    }
}

fn drain(vm: &str) -> Change {
    let deadline = NOW;
    Change::Drain {
        vm: vm.into(),
        deadline,
    }
}

fn drained(vm: &str) -> Change {
    Change::Drained { vm: vm.into() }
}

fn reboot(vm: &str) -> Change {
    let (vm, deadline) = (vm.into(), NOW);
    Change::Reboot {
        vm,
        boot: 0,
        deadline,
    }
}

fn mark_down(vm: &str) -> Change {
    Change::MarkDown { vm: vm.into() }
}

#[test]
fn apply_inventory_new() {
    let ledger = Ledger::new("north")
        .apply(&inventory(1), 1, NOW)
        .expect("inventory");
    assert!(ledger.vms().iter().all(|vm| vm.phase() == Phase::Down));
    assert_eq!(ledger.count("crews").map(|count| count.size), Some(8));
}

/// A third unavailable VM exceeds the budget of 2, whether the first two failed or were cordoned.
#[rstest]
#[case::third(&[cordon("crews-0"), cordon("crews-1")])]
#[case::failed(&[mark_down("crews-0"), mark_down("crews-1")])]
#[case::mixed(&[mark_down("crews-0"), cordon("crews-1")])]
fn apply_budget(#[case] before: &[Change]) {
    let ledger = active_ledger()
        .apply_all(before, 1, NOW)
        .expect("within the budget");
    let refusal = ledger
        .apply(&cordon("crews-2"), 1, NOW)
        .expect_err("beyond the budget");
    assert!(matches!(
        refusal,
        Refusal::Budget {
            unavailable: 3,
            limit: 2,
            ..
        }
    ));
    assert_eq!(Error::from(refusal).classify(), Category::Refused);
}

/// Failures are recorded beyond the budget, because they are not voluntary.
#[test]
fn apply_failures_beyond_budget() {
    let failures = ["crews-0", "crews-1", "crews-2", "crews-3"].map(mark_down);
    let ledger = active_ledger()
        .apply_all(&failures, 1, NOW)
        .expect("recorded");
    assert_eq!(
        ledger.count("crews").map(|count| count.unavailable()),
        Some(4)
    );
}

/// No change of a list takes effect if one of them is refused.
#[test]
fn apply_all_or_nothing() {
    let ledger = active_ledger();
    let changes = ["crews-0", "crews-1", "crews-2"].map(cordon);
    assert!(ledger.apply_all(&changes, 1, NOW).is_err());
    assert_eq!(ledger, active_ledger());
}

#[test]
fn apply_fence_lower() {
    let ledger = active_ledger()
        .apply(&cordon("crews-0"), 5, NOW)
        .expect("fence 5");
    let refusal = ledger
        .apply(&drain("crews-0"), 4, NOW)
        .expect_err("fence 4");
    assert_eq!(refusal, Refusal::Fence { held: 5, given: 4 });
    assert_eq!(Error::from(refusal).classify(), Category::Conflict);
}

#[rstest]
#[case::drain_active(&[], drain("crews-0"))]
#[case::reboot_undrained(&[cordon("crews-0"), drain("crews-0")], reboot("crews-0"))]
#[case::uncordon_rebooting(
    &[cordon("crews-0"), drain("crews-0"), drained("crews-0"), reboot("crews-0")],
    uncordon("crews-0")
)]
#[case::cordon_twice(&[cordon("crews-0")], cordon("crews-0"))]
#[case::up_active(&[], mark_up("crews-0"))]
#[case::retire_listed(&[mark_down("crews-0")], Change::Retire { vm: "crews-0".into() })]
#[case::move_untargeted(
    &[cordon("crews-0"), drain("crews-0"), drained("crews-0")],
    Change::Move { vm: "crews-0".into() }
)]
fn apply_phase_order(#[case] before: &[Change], #[case] change: Change) {
    let ledger = active_ledger().apply_all(before, 1, NOW).expect("in order");
    let refusal = ledger.apply(&change, 1, NOW).expect_err("out of order");
    assert!(matches!(refusal, Refusal::Phase { .. }), "{refusal}");
}

/// A moving VM belongs to its old pool until it is active in the new one.
#[test]
fn apply_move() {
    let vm = "spare-0";
    let steps = [
        move_to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let moving = active_ledger().apply_all(&steps, 1, NOW).expect("move");
    assert_eq!(moving.vm(vm).map(|vm| vm.pool.as_str()), Some("spare"));
    let moved = moving.apply(&uncordon(vm), 1, NOW).expect("arrives");
    assert_eq!(moved.vm(vm).map(|vm| vm.pool.as_str()), Some("crews"));
    assert_eq!(moved.count("crews").map(|count| count.size), Some(9));
}

/// A VM that the pool needs for its promise and its own maintenance does not leave the pool.
#[test]
fn apply_move_promise() {
    let refusal = active_ledger()
        .apply(&move_to("crews-0", "spare"), 1, NOW)
        .expect_err("promised");
    let (left, needed) = (7, 8);
    assert_eq!(
        refusal,
        Refusal::Promise {
            pool: "crews".into(),
            left,
            needed
        }
    );
}

#[test]
fn apply_move_unknown() {
    let refusal = active_ledger()
        .apply(&move_to("spare-0", "x"), 1, NOW)
        .expect_err("no such pool");
    assert_eq!(Error::from(refusal).classify(), Category::Input);
}

/// A VM that fails during its move stays in its old pool, and the move is canceled.
#[test]
fn apply_move_fails() {
    let vm = "spare-0";
    let steps = [
        move_to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let back = [mark_down(vm), mark_up(vm), uncordon(vm)];
    let ledger = active_ledger().apply_all(&steps, 1, NOW).expect("move");
    let ledger = ledger.apply_all(&back, 1, NOW).expect("back");
    assert_eq!(
        ledger
            .vm(vm)
            .map(|vm| (vm.pool.as_str(), vm.target.as_str())),
        Some(("spare", ""))
    );
}

/// A VM that is removed from the fleet during its move and uncordoned still belongs to its old
/// pool: the removal clears the target, which must not become its pool.
#[test]
fn apply_move_then_removed() {
    let vm = "spare-0";
    let steps = [
        move_to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let mut fleet = region::fleet();
    fleet.inventory.retain(|item| item.name != vm);
    let fleet = Box::new(fleet);
    let ledger = active_ledger().apply_all(&steps, 1, NOW).expect("move");
    let removal = Change::Inventory { revision: 2, fleet };
    let ledger = ledger
        .apply_all(&[removal, uncordon(vm)], 1, NOW)
        .expect("removed");
    assert_eq!(ledger.vm(vm).map(|vm| vm.pool.as_str()), Some("spare"));
}

#[test]
fn apply_revision_older() {
    let ledger = active_ledger()
        .apply(&inventory(3), 1, NOW)
        .expect("revision 3");
    let refusal = ledger.apply(&inventory(2), 1, NOW).expect_err("revision 2");
    assert_eq!(refusal, Refusal::Revision { held: 3, given: 2 });
}

/// A new revision that does not reassign a moved VM leaves it in its new pool.
#[test]
fn apply_inventory_keeps_move() {
    let vm = "spare-0";
    let steps = [
        move_to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let steps = [&steps[..], &[uncordon(vm), inventory(2)]].concat();
    let ledger = active_ledger().apply_all(&steps, 1, NOW).expect("moved");
    assert_eq!(
        ledger
            .vm(vm)
            .map(|vm| (vm.pool.as_str(), vm.target.as_str())),
        Some(("crews", ""))
    );
}

/// A VM that is listed again starts above its earlier steps: its worker may remember them and
/// would reject a lower one.
#[test]
fn apply_step_reused() {
    let mut fleet = region::fleet();
    fleet.inventory.retain(|item| item.name != "crews-0");
    let removal = Change::Inventory {
        revision: 2,
        fleet: Box::new(fleet),
    };
    let steps = [
        removal,
        mark_down("crews-0"),
        Change::Retire {
            vm: "crews-0".into(),
        },
    ];
    let ledger = active_ledger().apply_all(&steps, 1, NOW).expect("retired");
    let step = ledger.vms()[0].step;
    let later = NOW + Duration::from_secs(1);
    let ledger = ledger.apply(&inventory(3), 1, later).expect("listed again");
    assert!(ledger.vm("crews-0").is_some_and(|vm| vm.step > step));
}

#[test]
fn apply_wave() {
    let start = |id: &str| {
        let (id, author, before) = (id.into(), "operator".into(), NOW);
        Change::Wave(WaveChange::Start { id, author, before })
    };
    let reason = String::from("test");
    let pause = Change::Wave(WaveChange::Pause {
        reason: reason.clone(),
    });
    let abort = Change::Wave(WaveChange::Abort { reason });
    let resume = Change::Wave(WaveChange::Resume);
    assert!(active_ledger().apply(&pause, 1, NOW).is_err());
    let ledger = active_ledger().apply(&start("w1"), 1, NOW).expect("start");
    assert!(ledger.apply(&start("w2"), 1, NOW).is_err());
    assert!(ledger.apply(&resume, 1, NOW).is_err());
    let changes = [pause, resume, abort, start("w2")];
    let ledger = ledger.apply_all(&changes, 1, NOW).expect("in order");
    assert_eq!(
        ledger.wave().map(|wave| wave.state()),
        Some(WaveState::Running)
    );
}

/// A ledger is unchanged after its document is encoded as JSON and decoded.
#[test]
fn document_round_trip() {
    let ledger = active_ledger();
    let text = serde_json::to_string(ledger.document()).expect("JSON");
    let doc = serde_json::from_str(&text).expect("document");
    assert_eq!(Ledger::from_document(doc), ledger);
}
