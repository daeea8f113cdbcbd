//! Quotas and lending.

use wigeonhinge::place::Capacity;
use wigeonhinge::quota::Mark;
use wigeonhinge::quota::Quotas;

#[test]
fn add_beyond_quota_borrows() {
    // Guards against borrowed work that counts as owned and cannot be taken back.
    let mut quotas = quotas();
    assert!(
        quotas
            .add("ops", (3, 1), &"first".into(), cap(3))
            .is_empty()
    );
    let marks = quotas.add("ops", (3, 2), &"second".into(), cap(3));
    assert_eq!(marks, [mark("second", true)]);
    let marks = quotas.remove("ops", (3, 1), &"first".into());
    assert_eq!(marks, [mark("second", false)]);
}

#[test]
fn add_urgent_owns_first() {
    // Guards against urgent work that borrows because the team's own less urgent
    // work came first.
    let mut quotas = quotas();
    quotas.add("ops", (3, 1), &"idle".into(), cap(4));
    assert!(quotas.admit("ops", (0, 2), cap(4)));
    let marks = quotas.add("ops", (0, 2), &"now".into(), cap(4));
    assert_eq!(marks, [mark("idle", true)]);
}

#[test]
fn elsewhere_counts() {
    // Guards against a team that uses its whole quota in each pool.
    let mut quotas = quotas();
    quotas.add("ops", (3, 1), &"job".into(), cap(3));
    let marks = quotas.elsewhere([("ops".into(), cap(2))].into());
    assert_eq!(marks, [mark("job", true)]);
    assert!(!quotas.admit("ops", (0, 2), cap(3)));
    assert_eq!(quotas.held()["ops"], cap(3));
}

fn quotas() -> Quotas {
    let mut quotas = Quotas::default();
    quotas.set([("ops".into(), cap(4))].into());
    quotas
}

fn cap(cores: i32) -> Capacity {
    Capacity {
        millicores: cores * 1_000,
        memory_mb: cores * 1_024,
        accelerators: 0,
    }
}

fn mark(job: &str, borrowed: bool) -> Mark {
    Mark {
        job: job.into(),
        borrowed,
    }
}
