//! Exchanges with faulty, silent and leaving upstreams.

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

/// Asserts that no request was lost, run twice, given a foreign response or falsely reported as not run.
#[track_caller]
fn expect_consistent(site: &Site, records: &[Record]) -> Verdict {
    let verdict = caller::compare(records, &site.ledgers());
    let expected = Verdict {
        requests: records.len(),
        answered: verdict.answered,
        ..Verdict::default()
    };
    assert_eq!(verdict, expected);
    verdict
}

/// Guards against a response that goes to another request.
///
/// A faulty response must not leave bytes on a connection that is then reused.
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
    let verdict = expect_consistent(&site, &records);
    assert!(verdict.answered > 0);
}

/// Guards against a late response that goes to the next request on its connection.
///
/// The upstream responds after the deadline of some requests and before that of others.
#[test]
fn exchange_late() {
    let site = Site::open(1);
    site.upstreams[0].behave(Behaviour {
        delay: Duration::from_millis(80),
        ..Behaviour::default()
    });
    let mut short_deadline = site::stream(60.0);
    short_deadline.deadline = Duration::from_millis(60);
    let mut long_deadline = site::stream(40.0);
    long_deadline.deadline = Duration::from_secs(5);
    let balancer = caller::Balancer::new([site.daemon.address()]);
    let time = Duration::from_secs(1);
    let records = caller::run(&balancer, &[short_deadline, long_deadline], time, 12).unwrap();
    let verdict = expect_consistent(&site, &records);
    assert!(verdict.answered > 0);
    assert!(verdict.answered < records.len());
}

/// Guards against a second run, or a false "not run", after a connection loss.
///
/// The upstream closes the connection after each possible number of bytes of a
/// request or a response.
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
    expect_consistent(&site, &records);
    // The first record is left out: a connection closed before any byte is written gives "not run".
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

/// Guards against reuse of connections on which the upstream stopped responding.
///
/// Requests on them fail within 2 s as `connection-silent`; later requests use new
/// connections.
#[test]
fn exchange_silent() {
    let site = site_with_idle_connections(13);
    let before = site.ledgers()[0].connections;
    site.upstreams[0].silence();
    let records = send_non_idempotent(&site, 14);
    expect_consistent(&site, &records);
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

/// Starts an entry and opens several connections to its upstream by a short load.
fn site_with_idle_connections(seed: u64) -> Site {
    let site = Site::open(1);
    site.behave(Behaviour {
        delay: Duration::from_millis(40),
        ..Behaviour::default()
    });
    let records = site.load(150.0, Duration::from_millis(500), seed);
    expect_consistent(&site, &records);
    site.behave(Behaviour::default());
    site
}

/// Sends non-idempotent requests, which must not be retried once they may have run.
fn send_non_idempotent(site: &Site, seed: u64) -> Vec<Record> {
    let mut stream = site::stream(50.0);
    stream.idempotent = 0.0;
    let balancer = caller::Balancer::new([site.daemon.address()]);
    caller::run(&balancer, &[stream], Duration::from_secs(3), seed).unwrap()
}

/// Guards against a silent idle connection that is given to the next request.
///
/// The probes of idle connections close it before the request arrives.
#[test]
fn exchange_silent_idle() {
    let site = site_with_idle_connections(15);
    site.upstreams[0].silence();
    std::thread::sleep(Duration::from_millis(1_800));
    let start = Instant::now();
    assert_eq!(site.post(SERVICE, "").status, 200);
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// Guards against requests to an upstream that announces its leaving, and against
/// leaving it out after it stops announcing that.
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
    let verdict = expect_consistent(&site, &records);
    assert_eq!(verdict.answered, records.len());
    let last = site.ledgers()[0].last.unwrap();
    assert!(last.saturating_duration_since(start) < Duration::from_secs(3));
    site.upstreams[0].behave(Behaviour::default());
    site.load(100.0, Duration::from_secs(2), 18);
    assert!(site.ledgers()[0].last.unwrap() > last);
}
