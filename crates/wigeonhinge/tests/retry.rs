//! What may be sent again.

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
        doubt: None,
        idempotent,
        sends: 1,
        deadline: Duration::from_secs(1),
        now: Duration::ZERO,
    }
}

/// Guards against a second run of a non-idempotent request, for every kind.
#[test]
fn decide_non_idempotent() {
    for kind in ErrorKind::ALL {
        let again = matches!(decide(attempt(kind, false)), Decision::Retry(_));
        assert_eq!(again, kind.response().run == Run::NotRun, "{kind:?}");
    }
}

/// Guards against retries that cannot help, and against giving up where one may.
#[rstest]
#[case(ErrorKind::ConnectFailed, true)]
#[case(ErrorKind::RefusedByUpstream, true)]
#[case(ErrorKind::ConnectionLost, true)]
#[case(ErrorKind::ConnectionSilent, true)]
#[case(ErrorKind::AnswerCutShort, true)]
#[case(ErrorKind::DeadlineAfterSend, false)]
#[case(ErrorKind::AnswerMismatch, false)]
#[case(ErrorKind::AnswerTooLarge, false)]
fn decide_idempotent(#[case] kind: ErrorKind, #[case] again: bool) {
    let decision = decide(attempt(kind, true));
    assert_eq!(matches!(decision, Decision::Retry(_)), again);
}

/// Guards against a "not run" after an earlier sending that may have run.
#[test]
fn decide_doubt() {
    let refused = Attempt {
        doubt: Some(ErrorKind::ConnectionLost),
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

/// Guards against more retries than a tenth of the requests, and against saving up too many.
#[test]
fn spend_bounds() {
    let mut budget = Budget::default();
    let spent = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(spent.count(), 100);
    (0..10_000).for_each(|_| budget.earn());
    assert_eq!((0..10_000).filter(|_| budget.spend()).count(), 20);
}
