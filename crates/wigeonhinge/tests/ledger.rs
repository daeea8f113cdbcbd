//! Guards the rules of the ledger: ownership, phase order, fence and budgets.

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

fn active() -> Ledger {
    let mut ledger = Ledger::new("north")
        .apply(&inventory(1), 1, NOW)
        .expect("inventory");
    for vm in ledger.vms().to_vec() {
        let vm = vm.name.as_str();
        ledger = ledger
            .apply_all(&[up(vm), uncordon(vm)], 1, NOW)
            .expect("up");
    }
    ledger
}

fn inventory(revision: u64) -> Change {
    let fleet = Box::new(region::fleet());
    Change::Inventory { revision, fleet }
}

fn up(vm: &str) -> Change {
    Change::MarkUp { vm: vm.into() }
}

fn uncordon(vm: &str) -> Change {
    Change::Uncordon { vm: vm.into() }
}

fn cordon(vm: &str) -> Change {
    let vm = vm.into();
    Change::Cordon { vm, target: None }
}

fn to(vm: &str, target: &str) -> Change {
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

fn down(vm: &str) -> Change {
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

/// The third cordon exceeds the budget of 2, and a failure uses up the budget like a cordon.
#[rstest]
#[case::third(&[cordon("crews-0"), cordon("crews-1")])]
#[case::failed(&[down("crews-0"), down("crews-1")])]
#[case::mixed(&[down("crews-0"), cordon("crews-1")])]
fn apply_budget(#[case] before: &[Change]) {
    let ledger = active()
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
    assert_eq!(Error::from(refusal).category(), Category::Refused);
}

/// Failures are recorded beyond the budget, since nobody chose them.
#[test]
fn apply_failures_beyond() {
    let failures = ["crews-0", "crews-1", "crews-2", "crews-3"].map(down);
    let ledger = active().apply_all(&failures, 1, NOW).expect("recorded");
    assert_eq!(
        ledger.count("crews").map(|count| count.unavailable()),
        Some(4)
    );
}

/// A batch with one refused change leaves nothing behind.
#[test]
fn apply_all_or_nothing() {
    let ledger = active();
    let batch = ["crews-0", "crews-1", "crews-2"].map(cordon);
    assert!(ledger.apply_all(&batch, 1, NOW).is_err());
    assert_eq!(ledger, active());
}

#[test]
fn apply_fence_lower() {
    let ledger = active().apply(&cordon("crews-0"), 5, NOW).expect("fence 5");
    let refusal = ledger
        .apply(&drain("crews-0"), 4, NOW)
        .expect_err("fence 4");
    assert_eq!(refusal, Refusal::Fence { held: 5, given: 4 });
    assert_eq!(Error::from(refusal).category(), Category::Conflict);
}

#[rstest]
#[case::drain_active(&[], drain("crews-0"))]
#[case::reboot_undrained(&[cordon("crews-0"), drain("crews-0")], reboot("crews-0"))]
#[case::uncordon_rebooting(
    &[cordon("crews-0"), drain("crews-0"), drained("crews-0"), reboot("crews-0")],
    uncordon("crews-0")
)]
#[case::cordon_twice(&[cordon("crews-0")], cordon("crews-0"))]
#[case::up_active(&[], up("crews-0"))]
#[case::retire_listed(&[down("crews-0")], Change::Retire { vm: "crews-0".into() })]
#[case::move_untargeted(
    &[cordon("crews-0"), drain("crews-0"), drained("crews-0")],
    Change::Move { vm: "crews-0".into() }
)]
fn apply_phase_order(#[case] before: &[Change], #[case] change: Change) {
    let ledger = active().apply_all(before, 1, NOW).expect("in order");
    let refusal = ledger.apply(&change, 1, NOW).expect_err("out of order");
    assert!(matches!(refusal, Refusal::Phase { .. }), "{refusal}");
}

/// A moving VM belongs to its old pool until it is active in the new one.
#[test]
fn apply_move() {
    let vm = "spare-0";
    let steps = [
        to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let moving = active().apply_all(&steps, 1, NOW).expect("move");
    assert_eq!(moving.vm(vm).map(|vm| vm.pool.as_str()), Some("spare"));
    let moved = moving.apply(&uncordon(vm), 1, NOW).expect("arrives");
    assert_eq!(moved.vm(vm).map(|vm| vm.pool.as_str()), Some("crews"));
    assert_eq!(moved.count("crews").map(|count| count.size), Some(9));
}

/// A pool gives away neither a promised VM nor one that its own maintenance needs.
#[test]
fn apply_move_promise() {
    let refusal = active()
        .apply(&to("crews-0", "spare"), 1, NOW)
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
    let refusal = active()
        .apply(&to("spare-0", "x"), 1, NOW)
        .expect_err("no such pool");
    assert_eq!(Error::from(refusal).category(), Category::Input);
}

/// A VM that fails while it moves stays in its pool.
#[test]
fn apply_move_fails() {
    let vm = "spare-0";
    let steps = [
        to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let back = [down(vm), up(vm), uncordon(vm)];
    let ledger = active().apply_all(&steps, 1, NOW).expect("move");
    let ledger = ledger.apply_all(&back, 1, NOW).expect("back");
    assert_eq!(
        ledger
            .vm(vm)
            .map(|vm| (vm.pool.as_str(), vm.target.as_str())),
        Some(("spare", ""))
    );
}

/// A removal that is taken back while the VM moves leaves it with a pool.
#[test]
fn apply_move_then_removed() {
    let vm = "spare-0";
    let steps = [
        to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let mut fleet = region::fleet();
    fleet.inventory.retain(|item| item.name != vm);
    let fleet = Box::new(fleet);
    let ledger = active().apply_all(&steps, 1, NOW).expect("move");
    let removal = Change::Inventory { revision: 2, fleet };
    let ledger = ledger
        .apply_all(&[removal, uncordon(vm)], 1, NOW)
        .expect("removed");
    assert_eq!(ledger.vm(vm).map(|vm| vm.pool.as_str()), Some("spare"));
}

#[test]
fn apply_revision_older() {
    let ledger = active().apply(&inventory(3), 1, NOW).expect("revision 3");
    let refusal = ledger.apply(&inventory(2), 1, NOW).expect_err("revision 2");
    assert_eq!(refusal, Refusal::Revision { held: 3, given: 2 });
}

/// A move stays in force when a revision changes something else.
#[test]
fn apply_inventory_keeps_move() {
    let vm = "spare-0";
    let steps = [
        to(vm, "crews"),
        drain(vm),
        drained(vm),
        Change::Move { vm: vm.into() },
    ];
    let steps = [&steps[..], &[uncordon(vm), inventory(2)]].concat();
    let ledger = active().apply_all(&steps, 1, NOW).expect("moved");
    assert_eq!(
        ledger
            .vm(vm)
            .map(|vm| (vm.pool.as_str(), vm.target.as_str())),
        Some(("crews", ""))
    );
}

/// A new VM of an old name begins above the steps that its worker may remember.
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
        down("crews-0"),
        Change::Retire {
            vm: "crews-0".into(),
        },
    ];
    let ledger = active().apply_all(&steps, 1, NOW).expect("retired");
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
    assert!(active().apply(&pause, 1, NOW).is_err());
    let ledger = active().apply(&start("w1"), 1, NOW).expect("start");
    assert!(ledger.apply(&start("w2"), 1, NOW).is_err());
    assert!(ledger.apply(&resume, 1, NOW).is_err());
    let changes = [pause, resume, abort, start("w2")];
    let ledger = ledger.apply_all(&changes, 1, NOW).expect("in order");
    assert_eq!(
        ledger.wave().map(|wave| wave.state()),
        Some(WaveState::Running)
    );
}

/// The document is the same after a round through the store.
#[test]
fn document_round() {
    let ledger = active();
    let text = serde_json::to_string(ledger.document()).expect("JSON");
    let doc = serde_json::from_str(&text).expect("document");
    assert_eq!(Ledger::from_document(doc), ledger);
}
