//! What a successor learns of a predecessor's machine orders.

use std::time::Duration;

use wigeonhinge::batch::OrderLog;

const BOUND: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

/// An order without an answer may still be carried out, however old its record is.
#[test]
fn row_open_order() {
    let mut log = OrderLog::default();
    log.record("m".into(), SECOND);
    assert_eq!(log.row(BOUND, 6 * SECOND).0["m"], None);
}

/// An answered order matters for the platform's bound only.
#[test]
fn row_answered_order() {
    let mut log = OrderLog::default();
    log.record("m".into(), SECOND);
    log.answered(&"m".into(), 2 * SECOND);
    assert_eq!(log.row(BOUND, 3 * SECOND).0["m"], Some(1_000));
    assert!(log.row(BOUND, 5 * SECOND).0.is_empty());
}

/// A machine that is ordered again may be ordered after its first answer.
#[test]
fn row_ordered_again() {
    let mut log = OrderLog::default();
    log.record("m".into(), SECOND);
    log.answered(&"m".into(), SECOND);
    log.record("m".into(), 2 * SECOND);
    assert_eq!(log.row(BOUND, 3 * SECOND).0["m"], None);
}

/// Two takeovers within the bound: the second successor must know the first holder's orders.
#[test]
fn restore_second_takeover() {
    let mut first = OrderLog::default();
    first.record("m".into(), 7 * SECOND);
    first.answered(&"m".into(), 7 * SECOND);
    let row = first.row(BOUND, 8 * SECOND);
    let mut second = OrderLog::restore(&row, 8 * SECOND);
    second.record("n".into(), 9 * SECOND);
    assert_eq!(second.row(BOUND, 9 * SECOND).0["m"], Some(2_000));
}
