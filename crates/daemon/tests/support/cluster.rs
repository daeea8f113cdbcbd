//! Several entries and a stand-in of the platform on loopback.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use slog::Logger;
use wigeonhinge::config::Edit;
use wigeonhinge::id::EntryId;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Zone;
use wigeonhinge_schema::settings::Identity;
use wigeonhinge_schema::settings::Peer;
use wigeonhinge_schema::settings::Settings;
use wigeonhinge_standin::platform::Platform;
use wigeonhinge_standin::port::unused_address;
use wigeonhinged::peer::fingerprint;
use wigeonhinged::peer::generate_identity;
use wigeonhinged::plane::Options;
use wigeonhinged::plane::Plane;
use wigeonhinged::plane::Status;
use wigeonhinged::plane::ToDispatch;

/// A running control plane of an entry.
pub struct Node {
    /// Handle of the control plane.
    pub plane: Plane,
    /// Messages that the control plane sends to the dispatch thread.
    pub messages: flume::Receiver<ToDispatch>,
    /// Settings that it was started with.
    pub settings: Settings,
}

/// A stand-in of the platform, and settings of entries that use it.
pub struct Cluster {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Settings of entry `n` at position `n`.
    pub settings: Vec<Settings>,
}

impl Cluster {
    /// Starts the platform and prepares the settings of one entry for each element of `zones`.
    pub fn new(zones: &[&str]) -> Self {
        let platform = Platform::spawn().expect("platform");
        let identities: Vec<Identity> = (0..zones.len())
            .map(|n| generate_identity(&format!("entry-{n}")).expect("identity"))
            .collect();
        let trusted: Vec<String> = identities.iter().map(certificate_fingerprint).collect();
        let settings = zones.iter().zip(identities).enumerate();
        let settings = settings
            .map(|(n, (zone, identity))| Settings {
                entry: format!("entry-{n}"),
                zone: (*zone).to_owned(),
                admin: "127.0.0.1:0".to_owned(),
                peer: unused_address().to_string(),
                platform: platform.base(),
                identity: Some(identity),
                trusted: trusted.clone(),
                ..Settings::default()
            })
            .collect();
        Self { platform, settings }
    }

    /// Adds the addresses of all entries to the settings of each.
    pub fn with_peers(mut self) -> Self {
        let peers: Vec<Peer> = self.settings.iter().map(peer).collect();
        for settings in &mut self.settings {
            settings.peers = peers.clone();
        }
        self
    }

    /// Starts entry `n`.
    pub fn spawn(&self, n: usize) -> Node {
        Node::spawn(Options::new(self.settings[n].clone()), discard_logger())
    }

    /// Starts every entry.
    pub fn spawn_all(&self) -> Vec<Node> {
        (0..self.settings.len()).map(|n| self.spawn(n)).collect()
    }

    /// Writes the next revision directly into the store, unaffected by injected faults, and
    /// returns it.
    pub fn edit(&self, id: &str) -> u64 {
        let mut state = self.platform.state();
        let current = state.store.get("config");
        let (version, config) = current.map_or((0, Config::default()), |(version, value)| {
            (
                version,
                serde_json::from_value(value.clone()).expect("config"),
            )
        });
        let edit = Edit {
            id: id.into(),
            base: config.revision,
            author: "operator".into(),
            reason: "test".into(),
            fleet: fleet(),
        };
        let next = edit.apply(&config, 0).expect("configuration");
        let revision = next.revision;
        let value: Value = serde_json::to_value(next).expect("value");
        let put = state.store.put("config", value, version, None);
        put.expect("put");
        revision
    }
}

impl Node {
    /// Starts the control plane of an entry.
    pub fn spawn(options: Options, log: Logger) -> Self {
        let (sender, messages) = flume::bounded(10_000);
        let settings = options.settings.clone();
        let plane = Plane::spawn(options, log, sender).expect("plane");
        Self {
            plane,
            messages,
            settings,
        }
    }

    /// Requests `/status` on the admin port.
    pub fn status(&self) -> Status {
        let (_, body) = get(self.plane.admin_address(), "/status");
        serde_json::from_str(&body).expect("status")
    }

    /// Returns the name of the entry.
    pub fn name(&self) -> EntryId {
        EntryId::from(&self.settings.entry)
    }
}

/// A fleet of two zones and one pool.
pub fn fleet() -> Fleet {
    let zone = |name: &str| Zone {
        name: name.to_owned(),
        region: "north".to_owned(),
    };
    let pool = Pool {
        name: "crews".to_owned(),
        ..Pool::default()
    };
    let rules = Rules {
        zones: vec![zone("north-1"), zone("north-2")],
        pools: vec![pool],
        ..Rules::default()
    };
    Fleet {
        rules: Some(rules),
        ..Fleet::default()
    }
}

/// Returns the fingerprint of the certificate of an identity, as settings list it.
pub fn certificate_fingerprint(identity: &Identity) -> String {
    fingerprint(&identity.certificate).expect("fingerprint")
}

/// Returns a logger that discards all records.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Returns the names of entries.
pub fn entry_ids(nodes: &[Node]) -> BTreeSet<EntryId> {
    nodes.iter().map(Node::name).collect()
}

/// Waits until a condition holds and returns how long that took; panics after `limit`.
pub fn within(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}

/// Sends a GET request and returns the status and the body of the answer.
pub fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connect");
    let request = format!("GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read");
    let (head, body) = answer.split_once("\r\n\r\n").expect("answer");
    let status = head.split(' ').nth(1).expect("status").parse();
    (status.expect("number"), body.to_owned())
}

fn peer(settings: &Settings) -> Peer {
    Peer {
        entry: settings.entry.clone(),
        zone: settings.zone.clone(),
        address: settings.peer.clone(),
    }
}
