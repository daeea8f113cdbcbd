//! Retry policy.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge::outcome::Run;
use wigeonhinge::retry::Attempt;
use wigeonhinge::retry::Budget;
use wigeonhinge::retry::Decision;
use wigeonhinge::retry::MAX_SENDS;
use wigeonhinge::retry::decide;

fn attempt(kind: ErrorKind, idempotent: bool) -> Attempt {
    Attempt {
        kind,
        maybe_ran: None,
        idempotent,
        sends: 1,
        deadline: Duration::from_secs(1),
        now: Duration::ZERO,
    }
}

/// Guards against a second run of a non-idempotent request, for every error kind.
#[test]
fn decide_non_idempotent() {
    for kind in ErrorKind::ALL {
        let retried = matches!(decide(attempt(kind, false)), Decision::Retry(_));
        assert_eq!(retried, kind.response().run == Run::NotRun, "{kind:?}");
    }
}

/// Guards against retries that cannot succeed, and against giving up where a retry may succeed.
#[rstest]
#[case(ErrorKind::ConnectFailed, true)]
#[case(ErrorKind::RefusedByUpstream, true)]
#[case(ErrorKind::ConnectionLost, true)]
#[case(ErrorKind::ConnectionSilent, true)]
#[case(ErrorKind::AnswerCutShort, true)]
#[case(ErrorKind::DeadlineAfterSend, false)]
#[case(ErrorKind::AnswerMismatch, false)]
#[case(ErrorKind::AnswerTooLarge, false)]
fn decide_idempotent(#[case] kind: ErrorKind, #[case] retried: bool) {
    let decision = decide(attempt(kind, true));
    assert_eq!(matches!(decision, Decision::Retry(_)), retried);
}

/// Guards against reporting "not run" after an earlier send that may have run.
#[test]
fn decide_maybe_ran() {
    let refused = Attempt {
        maybe_ran: Some(ErrorKind::ConnectionLost),
        sends: MAX_SENDS,
        ..attempt(ErrorKind::RefusedByUpstream, true)
    };
    assert_eq!(decide(refused), Decision::Fail(ErrorKind::ConnectionLost));
}

/// Guards against retries after the caller has given up.
#[test]
fn decide_deadline() {
    let late = Attempt {
        now: Duration::from_secs(1),
        ..attempt(ErrorKind::ConnectFailed, true)
    };
    assert_eq!(decide(late), Decision::Fail(ErrorKind::ConnectFailed));
}

/// Guards against more retries than a tenth of the requests, and against saving more than 20.
#[test]
fn try_withdraw_bounds() {
    let mut budget = Budget::default();
    let withdrawn = (0..1_000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    assert_eq!(withdrawn.count(), 100);
    (0..10_000).for_each(|_| budget.deposit());
    assert_eq!((0..10_000).filter(|_| budget.try_withdraw()).count(), 20);
}
