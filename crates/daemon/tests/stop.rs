//! Graceful and abrupt stops of an entry.

#[path = "support/site.rs"]
mod site;

use std::fs;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhinge_schema::settings;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Balancer;
use wigeonhinge_standin::caller::Verdict;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinged::Daemon;

use crate::site::SERVICE;
use crate::site::Site;

/// Interval of the health checks of the balancer.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

/// Stops an entry; the balancer removes it one health check after it reports that it drains.
fn stop_and_deregister(daemon: Daemon, balancer: &Balancer) {
    let address = daemon.address();
    let phase = daemon.phase();
    thread::scope(|scope| {
        scope.spawn(move || {
            while !phase.draining() {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(HEALTH_INTERVAL);
            balancer.remove(address);
        });
        daemon.stop();
    });
}

/// Guards against requests that are lost or cut off while entries are replaced one by one.
#[test]
fn stop_rolling_replacement() {
    let upstreams: Vec<Upstream> = (0..4).map(|_| Upstream::spawn().unwrap()).collect();
    for upstream in &upstreams {
        upstream.behave(Behaviour {
            delay: Duration::from_millis(20),
            ..Behaviour::default()
        });
    }
    let spawn = || site::spawn(&upstreams, |raw| raw.drain_secs = 1);
    let mut entries: Vec<Daemon> = (0..3).map(|_| spawn()).collect();
    let balancer = Balancer::new(entries.iter().map(Daemon::address));
    let records = thread::scope(|scope| {
        let load = scope.spawn(|| {
            let time = Duration::from_secs(5);
            caller::run(&balancer, &[site::stream(300.0)], time, 31).unwrap()
        });
        thread::sleep(Duration::from_millis(300));
        for _ in 0..3 {
            let next = spawn();
            balancer.add(next.address());
            entries.push(next);
            stop_and_deregister(entries.remove(0), &balancer);
        }
        load.join().unwrap()
    });
    let ledgers: Vec<_> = upstreams.iter().map(Upstream::ledger).collect();
    let expected = Verdict {
        requests: records.len(),
        answered: records.len(),
        ..Verdict::default()
    };
    assert_eq!(caller::compare(&records, &ledgers), expected);
}

/// Guards against a graceful stop that does not wait for requests in progress.
#[test]
fn stop_finishes_requests() {
    let site = Site::open(1);
    site.behave(Behaviour {
        delay: Duration::from_secs(1),
        ..Behaviour::default()
    });
    let address = site.daemon.address();
    let slow = thread::spawn(move || {
        caller::send(address, &site::request(""), site::ANSWER_TIMEOUT).unwrap()
    });
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    site.daemon.stop();
    assert!(start.elapsed() > Duration::from_millis(500));
    let answer = slow.join().unwrap();
    assert_eq!(answer.status, 200);
}

/// Guards against a graceful stop that waits for idle connections or slow senders.
#[test]
fn stop_closes_idle_connections() {
    let site = Site::open(1);
    assert_eq!(site.post(SERVICE, "").status, 200);
    let _idle = std::net::TcpStream::connect(site.daemon.address()).unwrap();
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    site.daemon.stop();
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against a draining entry that refuses requests or keeps connections alive.
#[test]
fn stop_drains() {
    let site = Site::with(1, |raw| raw.drain_secs = 1);
    let address = site.daemon.address();
    assert_eq!(site.post(SERVICE, "").header("connection"), "");
    thread::scope(|scope| {
        scope.spawn(|| site.daemon.stop());
        thread::sleep(Duration::from_millis(300));
        let answer = caller::send(address, &site::request(""), site::ANSWER_TIMEOUT).unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("connection"), "close");
    });
}

/// Guards against an abrupt stop that waits for requests in progress.
#[test]
fn stop_kill() {
    let site = Site::open(1);
    site.behave(Behaviour {
        delay: Duration::from_secs(3),
        ..Behaviour::default()
    });
    let address = site.daemon.address();
    let slow =
        thread::spawn(move || caller::send(address, &site::request(""), site::ANSWER_TIMEOUT));
    thread::sleep(Duration::from_millis(200));
    let start = Instant::now();
    site.daemon.kill();
    assert!(start.elapsed() < Duration::from_secs(1));
    assert!(slow.join().unwrap().is_err());
}

/// Guards against a process that exits with an error on SIGTERM or SIGINT.
#[test]
fn stop_on_signal() {
    for signal in ["TERM", "INT"] {
        let mut child = start_process(signal, &["--settings"]);
        thread::sleep(Duration::from_millis(500));
        let id = child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.unwrap().success());
        assert!(child.wait().unwrap().success());
    }
}

fn start_process(name: &str, arguments: &[&str]) -> Child {
    let address = "127.0.0.1:0";
    let settings = settings::Settings {
        entry: "e1".into(),
        zone: "z".into(),
        listen: address.into(),
        admin: address.into(),
        peer: address.into(),
        platform: "http://127.0.0.1:9".into(),
        limits: Some(settings::Limits::default()),
        identity: Some(wigeonhinged::peer::generate_identity("e1").unwrap()),
        ..settings::Settings::default()
    };
    let text = format!("{} // one entry", serde_json::to_string(&settings).unwrap());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.jsonc"));
    fs::write(&path, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_wigeonhinged"))
        .args(arguments)
        .arg(path)
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
