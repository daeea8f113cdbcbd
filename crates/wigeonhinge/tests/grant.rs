//! Lease of one worker: a start sent under an expired lease must not run under a new one.

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

/// Guards against two runs of a task: a partition can delay the bytes of a start until the worker
/// has a new lease, when the task may run on another worker.
#[test]
fn extend_after_unanswered_start() {
    let mut grant = granted();
    grant.start_sent(&task(), 1);
    let reconnected = SECOND + 2 * WORKER_LEASE;
    assert_eq!(grant.extend(reconnected), None);
    assert_eq!(grant.starts_to_stop(reconnected), [(task(), 1)]);
    grant.start_settled(&task(), 1);
    assert!(grant.extend(reconnected).is_some());
}

/// While the lease lasts, an unanswered start is not lost and need not be stopped.
#[test]
fn extend_during_start() {
    let mut grant = granted();
    grant.start_sent(&task(), 1);
    assert!(grant.starts_to_stop(SECOND).is_empty());
    assert!(grant.extend(2 * SECOND).is_some());
}

/// Guards against a start of a lost run: the lease expired while the start waited in the queue.
#[test]
fn start_ordered_before_renewal() {
    let mut grant = granted();
    let ordered = 2 * SECOND;
    assert!(grant.may_start(ordered, ordered));
    let reconnected = SECOND + 2 * WORKER_LEASE;
    assert!(
        !grant.may_start(ordered, reconnected),
        "the lease has expired"
    );
    grant.extend(reconnected).expect("a new lease");
    assert!(!grant.may_start(ordered, reconnected + SECOND));
    assert!(grant.may_start(reconnected, reconnected + SECOND));
}

/// The expiry on the worker's clock never moves back.
#[test]
fn extend_with_clock_read_late() {
    let mut grant = granted();
    let before = grant.expiry_ms().expect("a lease");
    grant.record_clock(4_000, SECOND);
    assert_eq!(grant.extend(SECOND), Some(before));
}

/// Guards against a start for the former incarnation of a worker that is sent to the next one.
#[test]
fn start_ordered_before_restart() {
    let mut grant = granted();
    grant.start_sent(&task(), 1);
    let restarted = 2 * SECOND;
    grant.restart(restarted);
    assert!(grant.is_settled(), "the next incarnation refuses the start");
    assert_eq!(grant.expiry_ms(), None);
    assert!(!grant.may_start(SECOND, restarted));
    grant.record_clock(20, restarted);
    grant.extend(restarted).expect("a lease");
    assert!(!grant.may_start(SECOND, restarted));
    assert!(grant.may_start(restarted, restarted));
}

/// Guards against an answer of a worker's next incarnation that is taken for one of the known one: the
/// clock of the known one shows more, even if it is slow.
#[test]
fn earliest_clock_slow() {
    let grant = granted();
    assert_eq!(Grant::default().earliest_clock(SECOND), None);
    assert_eq!(grant.earliest_clock(SECOND), Some(4_980));
    assert_eq!(grant.earliest_clock(3 * SECOND), Some(6_920));
    assert_eq!(grant.earliest_clock(Duration::ZERO), Some(4_980));
}

/// Guards against an answer of the known incarnation that is taken for one of the next: a worker whose
/// clock runs 2% slow counts whole milliseconds, and shows the same time again 1.99 ms later.
#[test]
fn earliest_clock_rounded() {
    let slow = |elapsed: Duration| (elapsed.as_millis() as f64 * 0.98) as u64;
    let mut grant = Grant::default();
    let read = Duration::from_millis(100);
    grant.record_clock(slow(read), read);
    for micros in (0..100_000).step_by(10) {
        let now = read + Duration::from_micros(micros);
        let earliest = grant.earliest_clock(now).expect("a reading");
        assert!(slow(now) >= earliest, "after {micros} us");
    }
}
