//! Tests of lease deadlines.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::lease::Lease;
use wigeonhinge::lease::SESSION_TTL;

/// Guards against a holder that acts after its lease may have expired.
#[rstest]
#[case::fresh(0, true)]
#[case::late(5_499, true)]
#[case::margin(5_500, false)]
#[case::paused(60_000, false)]
fn valid_cases(#[case] age_ms: u64, #[case] expected: bool) {
    let sent = Duration::from_secs(100);
    let lease = Lease::new(3, sent, SESSION_TTL);
    let now = sent + Duration::from_millis(age_ms);
    assert_eq!(lease.valid(now), expected);
}

/// Guards against a shortened lease when confirmations arrive out of order.
#[test]
fn renewed_order() {
    let mut lease = Lease::new(3, Duration::ZERO, SESSION_TTL);
    lease.renewed(Duration::from_secs(4), SESSION_TTL);
    lease.renewed(Duration::from_secs(2), SESSION_TTL);
    assert!(lease.valid(Duration::from_secs(9)));
    assert!(lease.with_fence(9).valid(Duration::from_secs(9)));
}
