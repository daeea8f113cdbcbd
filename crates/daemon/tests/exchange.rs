//! Upstream connections under faults.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Record;
use wigeonhinge_standin::caller::Verdict;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Fault;

use crate::site::SERVICE;
use crate::site::Site;

fn fault(fault: Fault) -> Behaviour {
    Behaviour {
        fault,
        ..Behaviour::default()
    }
}

/// Asserts that every request was answered, and none wrongly.
#[track_caller]
fn expect_true(site: &Site, records: &[Record]) -> Verdict {
    let verdict = caller::compare(records, &site.ledgers());
    let expected = Verdict {
        requests: records.len(),
        answered: verdict.answered,
        ..Verdict::default()
    };
    assert_eq!(verdict, expected);
    verdict
}

/// Guards against an answer that reaches another request.
#[rstest]
#[case(Fault::Crossed)]
#[case(Fault::Unnamed)]
#[case(Fault::CutAnswer(100))]
#[case(Fault::Twice)]
#[case(Fault::Garbage)]
#[case(Fault::Fail)]
#[case(Fault::Refuse)]
fn exchange_crossed(#[case] bad: Fault) {
    let site = Site::open(3);
    site.upstreams[0].behave(fault(bad));
    let records = site.load(150.0, Duration::from_secs(1), 11);
    let verdict = expect_true(&site, &records);
    assert!(verdict.answered > 0);
}

/// Guards against an answer that arrives after its request was given up.
#[test]
fn exchange_late() {
    let site = Site::open(1);
    site.upstreams[0].behave(Behaviour {
        delay: Duration::from_millis(80),
        ..Behaviour::default()
    });
    let mut stream = site::stream(60.0);
    stream.deadline = Duration::from_millis(60);
    let mut patient = site::stream(40.0);
    patient.deadline = Duration::from_secs(5);
    let balancer = caller::Balancer::new([site.daemon.address()]);
    let time = Duration::from_secs(1);
    let records = caller::run(&balancer, &[stream, patient], time, 12).unwrap();
    let verdict = expect_true(&site, &records);
    assert!(verdict.answered > 0);
    assert!(verdict.answered < records.len());
}

/// Guards against a second run or a false "not run" after a loss at any byte.
#[rstest]
#[case(true)]
#[case(false)]
fn exchange_lost_at_every_byte(#[case] in_request: bool) {
    let site = Site::open(2);
    site.raw(&site::keyed("at-100", true));
    let sizes = site.ledgers().into_iter();
    let bytes = sizes.map(|it| it.request_bytes.max(it.answer_bytes)).max();
    let mut records = Vec::new();
    for count in 0..bytes.unwrap() {
        site.behave(fault(match in_request {
            true => Fault::CutRequest(count),
            false => Fault::CutAnswer(count),
        }));
        let request = site::keyed(&format!("cut-{count}"), count % 2 == 0);
        let start = Instant::now();
        let answer = caller::send(site.daemon.address(), &request, site::ANSWER_TIMEOUT);
        records.push(Record {
            key: format!("cut-{count}"),
            service: SERVICE.into(),
            team: String::new(),
            idempotent: count % 2 == 0,
            sent: Duration::ZERO,
            latency: start.elapsed(),
            answer: answer.ok(),
        });
    }
    expect_true(&site, &records);
    // A connection that closes before the first byte is written gives "not run".
    let faults = records.iter().skip(1);
    let faults = faults.filter_map(|record| record.answer.as_ref());
    let mut faults = faults.filter(|answer| answer.status != 200);
    assert!(faults.all(|answer| answer.header("wigeonhinge-run") == "unknown"));
    if !in_request {
        let ledgers = site.ledgers();
        let ran = |record: &Record| ledgers.iter().any(|it| it.runs.contains_key(&record.key));
        assert!(records.iter().all(ran));
    }
}

/// Guards against connections that stay in use after they went silent.
#[test]
fn exchange_silent() {
    let site = warm(13);
    let before = site.ledgers()[0].connections;
    site.upstreams[0].silence();
    let records = single(&site, 14);
    expect_true(&site, &records);
    let silent: Vec<&Record> = records
        .iter()
        .filter(|record| record.answer.as_ref().unwrap().status != 200)
        .collect();
    for record in &silent {
        let answer = record.answer.as_ref().unwrap();
        assert_eq!(answer.header("wigeonhinge-kind"), "connection-silent");
        assert_eq!(answer.header("wigeonhinge-run"), "unknown");
        assert_eq!(answer.status, 504);
        assert!(record.latency < Duration::from_secs(2), "{record:?}");
    }
    let slowest = silent.iter().map(|record| record.latency).max();
    println!(
        "{} silent of {}, slowest {slowest:?}",
        silent.len(),
        records.len()
    );
    assert!(slowest > Some(Duration::from_secs(1)));
    let late = Duration::from_secs(2);
    assert!(records.iter().any(|record| record.sent > late));
    assert!(silent.iter().all(|record| record.sent < late));
    assert!(site.ledgers()[0].connections > before);
}

/// Starts an entry that has several idle connections to its upstream.
fn warm(seed: u64) -> Site {
    let site = Site::open(1);
    site.behave(Behaviour {
        delay: Duration::from_millis(40),
        ..Behaviour::default()
    });
    let records = site.load(150.0, Duration::from_millis(500), seed);
    expect_true(&site, &records);
    site.behave(Behaviour::default());
    site
}

/// Sends requests that may run once only.
fn single(site: &Site, seed: u64) -> Vec<Record> {
    let mut stream = site::stream(50.0);
    stream.idempotent = 0.0;
    let balancer = caller::Balancer::new([site.daemon.address()]);
    caller::run(&balancer, &[stream], Duration::from_secs(3), seed).unwrap()
}

/// Guards against silent idle connections that the next request would run into.
#[test]
fn exchange_silent_idle() {
    let site = warm(15);
    site.upstreams[0].silence();
    std::thread::sleep(Duration::from_millis(1_800));
    let start = Instant::now();
    assert_eq!(site.post(SERVICE, "").status, 200);
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// Guards against new work for an upstream that is leaving, and against never using it again.
#[test]
fn exchange_leaving() {
    let site = Site::open(2);
    site.load(100.0, Duration::from_millis(300), 16);
    site.upstreams[0].behave(Behaviour {
        leaving: true,
        ..Behaviour::default()
    });
    let start = Instant::now();
    let records = site.load(100.0, Duration::from_secs(4), 17);
    let verdict = expect_true(&site, &records);
    assert_eq!(verdict.answered, records.len());
    let last = site.ledgers()[0].last.unwrap();
    assert!(last.saturating_duration_since(start) < Duration::from_secs(3));
    site.upstreams[0].behave(Behaviour::default());
    site.load(100.0, Duration::from_secs(2), 18);
    assert!(site.ledgers()[0].last.unwrap() > last);
}
