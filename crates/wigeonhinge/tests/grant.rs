//! Leases of one worker: no start from before an ended lease runs under a new one.

use std::time::Duration;

use wigeonhinge::batch::Grant;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WORKER_LEASE;

const SECOND: Duration = Duration::from_secs(1);

fn task() -> TaskId {
    "j.0.0.0".parse().expect("a task's name")
}

fn granted() -> Grant {
    let mut grant = Grant::default();
    grant.record_clock(5_000, SECOND);
    grant.extend(SECOND).expect("a lease");
    grant
}

/// Bytes of a start can be held up by a partition and arrive after it, when the worker
/// already has a new lease; its task may run elsewhere by then.
#[test]
fn extend_after_doubtful_start() {
    let mut grant = granted();
    grant.start_sent(&task(), 1);
    let healed = SECOND + 2 * WORKER_LEASE;
    assert_eq!(grant.extend(healed), None);
    assert_eq!(grant.starts_to_stop(healed), [(task(), 1)]);
    grant.start_settled(&task(), 1);
    assert!(grant.extend(healed).is_some());
}

/// While the lease lasts the run is not given up, so the start may still happen.
#[test]
fn extend_during_start() {
    let mut grant = granted();
    grant.start_sent(&task(), 1);
    assert!(grant.starts_to_stop(SECOND).is_empty());
    assert!(grant.extend(2 * SECOND).is_some());
}

/// A start that waited in the queue while the lease ended was given up.
#[test]
fn start_ordered_before_renewal() {
    let mut grant = granted();
    let ordered = 2 * SECOND;
    assert!(grant.may_start(ordered, ordered));
    let healed = SECOND + 2 * WORKER_LEASE;
    assert!(!grant.may_start(ordered, healed), "the lease has ended");
    grant.extend(healed).expect("a new lease");
    assert!(!grant.may_start(ordered, healed + SECOND));
    assert!(grant.may_start(healed, healed + SECOND));
}

/// A lease on the worker's clock never gets shorter.
#[test]
fn extend_with_clock_read_late() {
    let mut grant = granted();
    let before = grant.expiry_ms().expect("a lease");
    grant.record_clock(4_000, SECOND);
    assert_eq!(grant.extend(SECOND), Some(before));
}
