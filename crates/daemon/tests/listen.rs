//! Tests of callers' connections: misbehaving callers and a blocked I/O thread.

#[path = "support/site.rs"]
mod site;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use proptest::collection;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wigeonhinge_schema::settings::Limits;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Record;
use wigeonhinge_standin::caller::Verdict;

use crate::site::SERVICE;
use crate::site::Site;

#[track_caller]
fn expect_answered(site: &Site, records: &[Record]) {
    let expected = Verdict {
        requests: records.len(),
        answered: records.len(),
        ..Verdict::default()
    };
    assert_eq!(caller::compare(records, &site.ledgers()), expected);
}

/// Guards against slow senders that delay other callers or keep their connections open.
#[test]
fn listen_slow_senders() {
    let site = Site::with(2, |raw| {
        raw.limits = Some(Limits {
            receive_ms: 400,
            ..Limits::default()
        });
    });
    let address = site.daemon.address();
    let slow: Vec<_> = (0..40)
        .map(|_| thread::spawn(move || send_slowly(address)))
        .collect();
    let records = site.load(100.0, Duration::from_secs(1), 21);
    expect_answered(&site, &records);
    for thread in slow {
        let answer = thread.join().unwrap();
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    }
}

/// Sends a request byte by byte until the entry answers; returns the answer.
fn send_slowly(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let pause = Some(Duration::from_millis(50));
    stream.set_read_timeout(pause).unwrap();
    let mut answer = Vec::new();
    for byte in site::request("").iter().take(100) {
        let _ = stream.write_all(&[*byte]);
        let mut chunk = [0; 1_024];
        if let Ok(count) = stream.read(&mut chunk) {
            answer.extend_from_slice(&chunk[..count]);
            break;
        }
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against connections over the total limit that disturb accepted ones.
#[test]
fn listen_many_connections() {
    let site = Site::with(1, |raw| {
        raw.limits = Some(Limits {
            connections: 20,
            ..Limits::default()
        });
    });
    let address = site.daemon.address();
    let open: Vec<TcpStream> = (0..19)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    thread::sleep(Duration::from_millis(100));
    let mut good = TcpStream::connect(address).unwrap();
    thread::sleep(Duration::from_millis(100));
    for _ in 0..50 {
        assert_eq!(site.post(SERVICE, "").status, 429);
    }
    good.write_all(&site::request("")).unwrap();
    let mut status = [0; 12];
    good.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    drop(open);
}

/// Guards against malformed requests that crash the entry or disturb other callers.
#[test]
fn listen_fuzzed() {
    const SEED: [u8; 32] = [7; 32];
    let site = Site::with(2, |raw| {
        raw.limits = Some(Limits {
            receive_ms: 300,
            ..Limits::default()
        });
    });
    let address = site.daemon.address();
    let fuzz = thread::spawn(move || {
        let config = ProptestConfig {
            cases: 300,
            failure_persistence: None,
            ..ProptestConfig::default()
        };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(config, random);
        runner.run(&malformed_request(), |bytes| {
            let answer = exchange(address, &bytes);
            let known = answer.is_empty() || answer.starts_with(b"HTTP/1.1 ");
            proptest::prop_assert!(known, "{:?}", String::from_utf8_lossy(&answer));
            Ok(())
        })
    });
    let records = site.load(100.0, Duration::from_secs(2), 22);
    expect_answered(&site, &records);
    fuzz.join().unwrap().unwrap();
    assert_eq!(site.post(SERVICE, "").status, 200);
}

/// Returns a request, or nothing, followed by random bytes, with some bytes replaced.
fn malformed_request() -> impl Strategy<Value = Vec<u8>> {
    let edits = collection::vec((any::<usize>(), any::<u8>()), 0..6);
    let tail = collection::vec(any::<u8>(), 0..200);
    (edits, tail, any::<bool>()).prop_map(|(edits, tail, whole)| {
        let mut bytes = match whole {
            true => site::request("transfer-encoding: chunked\r\n"),
            false => Vec::new(),
        };
        bytes.extend(tail);
        for (position, byte) in edits {
            let size = bytes.len().max(1);
            if let Some(old) = bytes.get_mut(position % size) {
                *old = byte;
            }
        }
        bytes
    })
}

/// Sends bytes, closes the sending side and returns what the entry answers.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Guards against a blocked I/O thread that delays the dispatch thread or the other I/O threads.
#[test]
fn listen_stuck_thread() {
    let site = Site::open(4);
    site.load(400.0, Duration::from_millis(300), 23);
    let stall = Duration::from_secs(2);
    let records = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(500));
            site.daemon.stall(0, stall);
        });
        site.load(300.0, Duration::from_secs(3), 24)
    });
    expect_answered(&site, &records);
    let window = Duration::from_millis(700)..Duration::from_millis(2_300);
    let during: Vec<&Record> = records
        .iter()
        .filter(|record| window.contains(&record.sent))
        .collect();
    let fast = during
        .iter()
        .filter(|record| record.latency < Duration::from_millis(200));
    assert!(fast.count() * 2 > during.len(), "of {}", during.len());
}
