//! An entry with upstreams, shared by several tests.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::net::SocketAddr;
use std::time::Duration;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::settings;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Answer;
use wigeonhinge_standin::caller::Balancer;
use wigeonhinge_standin::caller::Record;
use wigeonhinge_standin::caller::Stream;
use wigeonhinge_standin::fleet;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Ledger;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinged::Daemon;
use wigeonhinged::Settings;
use wigeonhinged::Source;

/// Service that all upstreams serve.
pub const SERVICE: &str = "quoting";
/// Longest wait for an answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

pub struct Site {
    pub daemon: Daemon,
    pub upstreams: Vec<Upstream>,
}

impl Site {
    /// Starts `count` upstreams of one service and an entry in front of them.
    pub fn open(count: usize) -> Self {
        Self::with(count, |_| {})
    }

    /// Same as [`Site::open`], with changed settings.
    pub fn with(count: usize, change: impl FnOnce(&mut settings::Settings)) -> Self {
        let upstreams: Vec<Upstream> = (0..count).map(|_| Upstream::spawn().unwrap()).collect();
        let daemon = spawn(&upstreams, change);
        Self { daemon, upstreams }
    }

    pub fn behave(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.behave(behaviour.clone());
        }
    }

    pub fn ledgers(&self) -> Vec<Ledger> {
        self.upstreams.iter().map(Upstream::ledger).collect()
    }

    /// Sends one request with extra header lines, each terminated by CRLF.
    pub fn post(&self, service: &str, headers: &str) -> Answer {
        let text = format!(
            "POST /{service}/x HTTP/1.1\r\nhost: e\r\ncontent-length: 2\r\n{headers}\r\nhi"
        );
        self.raw(text.as_bytes())
    }

    /// Sends bytes on a new connection and returns the answer.
    pub fn raw(&self, bytes: &[u8]) -> Answer {
        caller::send(self.daemon.address(), bytes, ANSWER_TIMEOUT).unwrap()
    }

    /// Sends requests at a rate per second for a time; half of them are idempotent.
    pub fn load(&self, rate: f64, time: Duration, seed: u64) -> Vec<Record> {
        let balancer = Balancer::new([self.daemon.address()]);
        caller::run(&balancer, &[stream(rate)], time, seed).unwrap()
    }
}

pub fn stream(rate: f64) -> Stream {
    Stream {
        service: SERVICE.into(),
        team: String::new(),
        rate,
        idempotent: 0.5,
        deadline: Duration::from_secs(5),
        bytes: 100,
    }
}

/// Encodes a request with extra header lines, each terminated by CRLF.
pub fn request(headers: &str) -> Vec<u8> {
    let start = format!("POST /{SERVICE}/x HTTP/1.1\r\nhost: e\r\ncontent-length: 2\r\n");
    format!("{start}{headers}\r\nhi").into_bytes()
}

/// Encodes a request that the upstreams record in their ledgers under a key.
pub fn keyed(key: &str, idempotent: bool) -> Vec<u8> {
    request(&format!(
        "standin-key: {key}\r\nwigeonhinge-idempotent: {idempotent}\r\n"
    ))
}

pub fn settings() -> settings::Settings {
    settings::Settings {
        entry: "entry-1".into(),
        zone: fleet::ZONE.into(),
        listen: "127.0.0.1:0".into(),
        ..settings::Settings::default()
    }
}

pub fn spawn(upstreams: &[Upstream], change: impl FnOnce(&mut settings::Settings)) -> Daemon {
    let mut raw = settings();
    change(&mut raw);
    let settings = Settings::check(raw).unwrap();
    Daemon::spawn(&settings, Source::Fixed(Box::new(fleet_of(upstreams)))).unwrap()
}

pub fn fleet_of(upstreams: &[Upstream]) -> Fleet {
    let addresses: Vec<SocketAddr> = upstreams.iter().map(Upstream::address).collect();
    fleet::small(&[(SERVICE, &addresses)])
}
