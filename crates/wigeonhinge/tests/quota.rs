//! Tests of quotas and borrowing.

use wigeonhinge::place::Capacity;
use wigeonhinge::quota::BorrowChange;
use wigeonhinge::quota::Quotas;

#[test]
fn add_beyond_quota_borrows() {
    // Guards against borrowing tasks that count as owned and cannot be preempted.
    let mut quotas = quotas();
    assert!(
        quotas
            .add("ops", (3, 1), &"first".into(), capacity(3))
            .is_empty()
    );
    let changes = quotas.add("ops", (3, 2), &"second".into(), capacity(3));
    assert_eq!(changes, [change("second", true)]);
    let changes = quotas.remove("ops", (3, 1), &"first".into());
    assert_eq!(changes, [change("second", false)]);
}

#[test]
fn add_urgent_owns_first() {
    // Guards against urgent tasks that borrow because less urgent ones of the same
    // team were added first.
    let mut quotas = quotas();
    quotas.add("ops", (3, 1), &"idle".into(), capacity(4));
    assert!(quotas.admits("ops", (0, 2), capacity(4)));
    let changes = quotas.add("ops", (0, 2), &"now".into(), capacity(4));
    assert_eq!(changes, [change("idle", true)]);
}

#[test]
fn set_elsewhere_counts() {
    // Guards against a team that uses its whole quota in every pool.
    let mut quotas = quotas();
    quotas.add("ops", (3, 1), &"job".into(), capacity(3));
    let changes = quotas.set_elsewhere([("ops".into(), capacity(2))].into());
    assert_eq!(changes, [change("job", true)]);
    assert!(!quotas.admits("ops", (0, 2), capacity(3)));
    assert_eq!(quotas.usage()["ops"], capacity(3));
}

fn quotas() -> Quotas {
    let mut quotas = Quotas::default();
    quotas.set_limits([("ops".into(), capacity(4))].into());
    quotas
}

fn capacity(cores: i32) -> Capacity {
    Capacity {
        millicores: cores * 1_000,
        memory_mb: cores * 1_024,
        accelerators: 0,
    }
}

fn change(job: &str, borrowed: bool) -> BorrowChange {
    BorrowChange {
        job: job.into(),
        borrowed,
    }
}
