//! Ejection of upstreams that fail.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::eject::Ejector;
use wigeonhinge::eject::FIRST;
use wigeonhinge::eject::Usable;
use wigeonhinge::eject::Verdict;
use wigeonhinge::outcome::ErrorKind;

fn ejector(count: u32) -> Ejector {
    let mut ejector = Ejector::default();
    (0..count).for_each(|index| ejector.add(index, 1));
    ejector
}

fn fail(ejector: &mut Ejector, index: u32, now: Duration) {
    for _ in 0..3 {
        ejector.record(index, Verdict::Bad, now);
    }
}

fn ejected(ejector: &Ejector, count: u32) -> usize {
    (0..count)
        .filter(|index| ejector.usable(*index) == Usable::No)
        .count()
}

/// Guards against a service that loses more than half its upstreams to ejection.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(7, 3)]
fn record_floor(#[case] count: u32, #[case] most: usize) {
    let mut ejector = ejector(count);
    for index in 0..count {
        fail(&mut ejector, index, Duration::ZERO);
    }
    assert!(ejected(&ejector, count) <= most);
}

/// Guards against a floor that counts upstreams that are leaving anyway.
#[test]
fn leaving_floor() {
    let mut ejector = ejector(4);
    for index in 0..4 {
        ejector.record(index, Verdict::Good, Duration::ZERO);
    }
    fail(&mut ejector, 0, Duration::ZERO);
    fail(&mut ejector, 1, Duration::ZERO);
    assert_eq!(ejected(&ejector, 4), 2);
    assert_eq!(ejector.leaving(2, true), [0]);
    assert_eq!(ejected(&ejector, 4), 1);
}

/// Guards against ejections when every upstream fails alike, as with a bad release.
#[test]
fn record_all_fail() {
    let mut ejector = ejector(6);
    let mut out = 0;
    for _ in 0..50 {
        for index in 0..6 {
            ejector.record(index, Verdict::Bad, Duration::ZERO);
            out = out.max(ejected(&ejector, 6));
        }
    }
    assert!(out <= 1, "{out} ejected");
}

/// Guards against blame for an upstream whose connections are at fault.
#[rstest]
#[case(ErrorKind::ConnectionLost, Usable::Fully)]
#[case(ErrorKind::ConnectionSilent, Usable::Fully)]
#[case(ErrorKind::AnswerCutShort, Usable::Fully)]
#[case(ErrorKind::ConnectFailed, Usable::No)]
#[case(ErrorKind::RefusedByUpstream, Usable::No)]
fn verdict_blame(#[case] kind: ErrorKind, #[case] usable: Usable) {
    let mut ejector = ejector(4);
    for _ in 0..10 {
        ejector.record(0, Verdict::of(kind), Duration::ZERO);
    }
    assert_eq!(ejector.usable(0), usable);
}

/// Guards against an upstream that is never tried again, or fully used before it has proved itself.
#[test]
fn tick_trial() {
    let mut ejector = ejector(4);
    fail(&mut ejector, 0, Duration::ZERO);
    assert!(ejector.tick(FIRST / 2).is_empty());
    assert_eq!(ejector.tick(FIRST), [0]);
    assert_eq!(ejector.usable(0), Usable::Trial);
    assert!(ejector.record(0, Verdict::Bad, FIRST));
    assert!(ejector.tick(FIRST * 2).is_empty());
    assert_eq!(ejector.tick(FIRST * 3), [0]);
    for _ in 0..3 {
        assert_eq!(ejector.usable(0), Usable::Trial);
        ejector.record(0, Verdict::Good, FIRST * 3);
    }
    assert_eq!(ejector.usable(0), Usable::Fully);
}

/// Guards against a probe without answer that changes nothing.
#[test]
fn suspect_ejects() {
    let mut ejector = ejector(2);
    assert!(ejector.suspect(0, Duration::ZERO));
    assert_eq!(ejector.usable(0), Usable::No);
}
