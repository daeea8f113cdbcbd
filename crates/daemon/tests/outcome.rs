//! Status and headers that a caller receives for each error kind.

#[path = "support/site.rs"]
mod site;

use std::thread;
use std::time::Duration;

use rstest::rstest;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge_schema::settings::Limits;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Answer;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Fault;
use wigeonhinged::Daemon;
use wigeonhinged::Settings;
use wigeonhinged::Source;

use crate::site::SERVICE;
use crate::site::Site;

const LIMITS: Limits = Limits {
    header_bytes: 2_000,
    body_bytes: 1_000,
    answer_bytes: 2_000,
    receive_ms: 300,
    caller_connections: 40,
    connections: 40,
};

/// Asserts the status and the headers of an error kind.
#[track_caller]
fn expect(answer: &Answer, kind: ErrorKind) {
    let expected = kind.response();
    assert_eq!(answer.header("wigeonhinge-kind"), expected.name);
    assert_eq!(answer.status, expected.status);
    assert_eq!(answer.header("wigeonhinge-run"), expected.run.as_str());
    assert_eq!(answer.header("wigeonhinge-retry"), expected.retry.as_str());
}

fn site(count: usize) -> Site {
    Site::with(count, |raw| raw.limits = Some(LIMITS))
}

/// Guards against malformed or incomplete requests that are answered without the
/// headers of their error kind.
#[rstest]
#[case("\u{0}\u{1}\r\n\r\n", ErrorKind::BadRequest)]
#[case("GET / HTTP/9.9\r\n\r\n", ErrorKind::BadRequest)]
#[case("GET /quoting HTTP/1.1\r\nbad header\r\n\r\n", ErrorKind::BadRequest)]
#[case(
    "GET /quoting HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
    ErrorKind::BadRequest
)]
#[case("OPTIONS * HTTP/1.1\r\n\r\n", ErrorKind::BadRequest)]
#[case(
    "GET /quoting HTTP/1.1\r\nwigeonhinge-deadline-ms: soon\r\n\r\n",
    ErrorKind::BadRequest
)]
#[case(
    "GET /quoting HTTP/1.1\r\nwigeonhinge-idempotent: yes\r\n\r\n",
    ErrorKind::BadRequest
)]
#[case(
    "POST /quoting HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ErrorKind::BadRequest
)]
#[case(
    "POST /quoting HTTP/1.1\r\ncontent-length: 1001\r\n\r\n",
    ErrorKind::BodyTooLarge
)]
#[case(
    "POST /quoting HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1000\r\n",
    ErrorKind::BodyTooLarge
)]
#[case("GET /nothing HTTP/1.1\r\n\r\n", ErrorKind::UnknownService)]
#[case("GET / HTTP/1.1\r\n\r\n", ErrorKind::UnknownService)]
#[case("GET /quoting HTTP/1.1\r\nhost:", ErrorKind::SlowSender)]
#[case(
    "POST /quoting HTTP/1.1\r\ncontent-length: 5\r\n\r\nhi",
    ErrorKind::SlowSender
)]
fn outcome_of_bytes(#[case] bytes: &str, #[case] kind: ErrorKind) {
    let mut bytes = bytes.as_bytes().to_vec();
    if kind == ErrorKind::BodyTooLarge {
        bytes.resize(bytes.len() + 2_000, b'x');
    }
    expect(&site(1).raw(&bytes), kind);
}

/// Guards against headers above the limit that are accepted.
#[rstest]
#[case("GET /quoting HTTP/1.1\r\nlong: ", 3_000)]
#[case("GET /quoting/", 3_000)]
#[case("GET /quoting/", 70_000)]
fn outcome_of_headers(#[case] start: &str, #[case] size: usize) {
    let text = format!("{start}{} HTTP/1.1\r\n\r\n", "x".repeat(size));
    expect(&site(1).raw(text.as_bytes()), ErrorKind::HeaderTooLarge);
}

/// Guards against an upstream fault that is reported as another error kind.
#[rstest]
#[case(Fault::Refuse, ErrorKind::RefusedByUpstream)]
#[case(Fault::CutRequest(1), ErrorKind::ConnectionLost)]
#[case(Fault::CutAnswer(0), ErrorKind::ConnectionLost)]
#[case(Fault::CutAnswer(60), ErrorKind::AnswerCutShort)]
#[case(Fault::Crossed, ErrorKind::AnswerMismatch)]
#[case(Fault::Unnamed, ErrorKind::AnswerMismatch)]
#[case(Fault::Garbage, ErrorKind::AnswerMismatch)]
fn outcome_of_fault(#[case] fault: Fault, #[case] kind: ErrorKind) {
    let site = site(1);
    site.behave(Behaviour {
        fault,
        ..Behaviour::default()
    });
    expect(&site.post(SERVICE, ""), kind);
}

/// Guards against an upstream's error response that is reported as an error of the entry.
#[test]
fn outcome_of_failure() {
    let site = site(1);
    site.behave(Behaviour {
        fault: Fault::Fail,
        ..Behaviour::default()
    });
    let answer = site.post(SERVICE, "");
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (500, &b"failed"[..])
    );
    assert_eq!(answer.header("wigeonhinge-run"), "ran");
    assert_eq!(answer.header("wigeonhinge-kind"), "");
}

/// Guards against a response above the limit that is accepted.
#[test]
fn outcome_answer_too_large() {
    let site = site(1);
    site.behave(Behaviour {
        padding: 2_001,
        ..Behaviour::default()
    });
    expect(&site.post(SERVICE, ""), ErrorKind::AnswerTooLarge);
}

/// Guards against a missed deadline, and against the wrong kind for it.
///
/// The first request expires at the upstream. The second expires in the queue,
/// as 8 requests without a short deadline take all slots.
#[test]
fn outcome_deadline() {
    let site = site(1);
    site.behave(Behaviour {
        delay: Duration::from_secs(1),
        ..Behaviour::default()
    });
    let deadline = "wigeonhinge-deadline-ms: 150\r\n";
    expect(&site.post(SERVICE, deadline), ErrorKind::DeadlineAfterSend);
    let address = site.daemon.address();
    let fillers: Vec<_> = (0..8)
        .map(|_| {
            thread::spawn(move || caller::send(address, &site::request(""), site::ANSWER_TIMEOUT))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    expect(&site.post(SERVICE, deadline), ErrorKind::DeadlineBeforeSend);
    for thread in fillers {
        assert_eq!(thread.join().unwrap().unwrap().status, 200);
    }
}

/// Guards against a queue that grows past its limit.
#[test]
fn outcome_queue_full() {
    let site = site(1);
    let mut fleet = site::fleet_of(&site.upstreams);
    for service in &mut fleet.rules.as_mut().unwrap().services {
        service.queue_limit = 2;
    }
    let control = site.daemon.control();
    control.send(wigeonhinge::gateway::Event::Configure(Box::new(fleet)));
    site.behave(Behaviour {
        delay: Duration::from_millis(600),
        ..Behaviour::default()
    });
    let records = site.load(100.0, Duration::from_millis(400), 3);
    let full = records
        .iter()
        .filter_map(|record| record.answer.as_ref())
        .find(|answer| answer.header("wigeonhinge-kind") == "queue-full");
    expect(full.unwrap(), ErrorKind::QueueFull);
    let verdict = caller::compare(&records, &site.ledgers());
    assert_eq!((verdict.lost, verdict.false_not_run), (0, 0));
}

/// Guards against a wrong kind, or no response, if there is no upstream or none accepts connections.
#[test]
fn outcome_no_upstream() {
    expect(&site(0).post(SERVICE, ""), ErrorKind::NoUpstream);
    let mut site = site(1);
    site.upstreams.clear();
    expect(&site.post(SERVICE, ""), ErrorKind::ConnectFailed);
}

/// Guards against an entry that accepts requests before it has a configuration.
#[test]
fn outcome_not_ready() {
    let settings = Settings::check(site::settings()).unwrap();
    let daemon = Daemon::spawn(&settings, Source::Control).unwrap();
    let answer = caller::send(daemon.address(), &site::request(""), site::ANSWER_TIMEOUT);
    expect(&answer.unwrap(), ErrorKind::NotReady);
}

/// Guards against a caller that takes all connections.
///
/// A second connection is refused while the first is open, and accepted after that.
#[test]
fn outcome_too_many_connections() {
    let site = Site::with(1, |raw| {
        raw.limits = Some(Limits {
            caller_connections: 1,
            ..LIMITS
        });
    });
    let open = std::net::TcpStream::connect(site.daemon.address()).unwrap();
    thread::sleep(Duration::from_millis(100));
    expect(&site.post(SERVICE, ""), ErrorKind::TooManyConnections);
    drop(open);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(site.post(SERVICE, "").status, 200);
}
