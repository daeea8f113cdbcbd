//! Outlier ejection.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::eject::Availability;
use wigeonhinge::eject::BASE_EJECTION_TIME;
use wigeonhinge::eject::Ejector;
use wigeonhinge::eject::Verdict;
use wigeonhinge::outcome::ErrorKind;

fn ejector(count: u32) -> Ejector {
    let mut ejector = Ejector::default();
    (0..count).for_each(|index| ejector.add(index, 1));
    ejector
}

fn fail(ejector: &mut Ejector, index: u32, now: Duration) {
    for _ in 0..3 {
        ejector.record(index, Verdict::Failure, now);
    }
}

fn ejected(ejector: &Ejector, count: u32) -> usize {
    (0..count)
        .filter(|index| ejector.availability(*index) == Availability::Unavailable)
        .count()
}

/// Guards against the ejection of more than half the upstreams of a service.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(7, 3)]
fn record_max_ejected(#[case] count: u32, #[case] max: usize) {
    let mut ejector = ejector(count);
    for index in 0..count {
        fail(&mut ejector, index, Duration::ZERO);
    }
    assert!(ejected(&ejector, count) <= max);
}

/// Guards against counting leaving upstreams in the half of the group that must stay in service.
#[test]
fn set_leaving_readmits() {
    let mut ejector = ejector(4);
    for index in 0..4 {
        ejector.record(index, Verdict::Success, Duration::ZERO);
    }
    fail(&mut ejector, 0, Duration::ZERO);
    fail(&mut ejector, 1, Duration::ZERO);
    assert_eq!(ejected(&ejector, 4), 2);
    assert_eq!(ejector.set_leaving(2, true), [0]);
    assert_eq!(ejected(&ejector, 4), 1);
}

/// Guards against ejections when all upstreams fail alike, as after a bad release.
#[test]
fn record_all_fail() {
    let mut ejector = ejector(6);
    let mut highest = 0;
    for _ in 0..50 {
        for index in 0..6 {
            ejector.record(index, Verdict::Failure, Duration::ZERO);
            highest = highest.max(ejected(&ejector, 6));
        }
    }
    assert!(highest <= 1, "{highest} upstreams ejected at once");
}

/// Guards against the ejection of an upstream for faults of its connections.
#[rstest]
#[case(ErrorKind::ConnectionLost, Availability::Full)]
#[case(ErrorKind::ConnectionSilent, Availability::Full)]
#[case(ErrorKind::AnswerCutShort, Availability::Full)]
#[case(ErrorKind::ConnectFailed, Availability::Unavailable)]
#[case(ErrorKind::RefusedByUpstream, Availability::Unavailable)]
fn verdict_of(#[case] kind: ErrorKind, #[case] expected: Availability) {
    let mut ejector = ejector(4);
    for _ in 0..10 {
        ejector.record(0, Verdict::of(kind), Duration::ZERO);
    }
    assert_eq!(ejector.availability(0), expected);
}

/// Guards against an ejected upstream that never gets a trial, or that gets full load before it has
/// passed its trials.
#[test]
fn start_trials_backoff() {
    let mut ejector = ejector(4);
    fail(&mut ejector, 0, Duration::ZERO);
    assert!(ejector.start_trials(BASE_EJECTION_TIME / 2).is_empty());
    assert_eq!(ejector.start_trials(BASE_EJECTION_TIME), [0]);
    assert_eq!(ejector.availability(0), Availability::Trial);
    assert!(ejector.record(0, Verdict::Failure, BASE_EJECTION_TIME));
    assert!(ejector.start_trials(BASE_EJECTION_TIME * 2).is_empty());
    assert_eq!(ejector.start_trials(BASE_EJECTION_TIME * 3), [0]);
    for _ in 0..3 {
        assert_eq!(ejector.availability(0), Availability::Trial);
        ejector.record(0, Verdict::Success, BASE_EJECTION_TIME * 3);
    }
    assert_eq!(ejector.availability(0), Availability::Full);
}

/// Guards against an unanswered probe that has no effect.
#[test]
fn record_probe_failure_ejects() {
    let mut ejector = ejector(2);
    assert!(ejector.record_probe_failure(0, Duration::ZERO));
    assert_eq!(ejector.availability(0), Availability::Unavailable);
}
