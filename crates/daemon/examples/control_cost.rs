//! Measures what the control plane costs and how fast a configuration spreads.
//!
//! `cargo run --release -p wigeonhinged --example control_cost -- ENTRIES ZONES SECONDS EDITS SEED`
//! runs the entries and the platform's stand-in in one process over loopback.

#[allow(dead_code, unreachable_pub)]
#[path = "../tests/support/cluster.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;
use wigeonhinge::config::MAX_EDIT_RECORDS;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::EditRecord;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_standin::platform::Mode;
use wigeonhinged::plane::Status;
use wigeonhinged::plane::ToDispatch;

use crate::cluster::Cluster;
use crate::cluster::Node;
use crate::cluster::within;

/// Longest time that an edit is waited for.
const PATIENCE: Duration = Duration::from_secs(8);

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .map(|text| text.parse().expect("a number"))
        .collect();
    let &[entries, zones, seconds, edits, seed] = numbers.as_slice() else {
        panic!("expected ENTRIES ZONES SECONDS EDITS SEED");
    };
    let names: Vec<String> = (0..entries)
        .map(|n| format!("zone-{}", n % zones))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let net = Cluster::new(&names);
    let size = first(&net);
    let nodes = net.spawn_all();
    let told = |node: &Node| node.status().revision >= MAX_EDIT_RECORDS as u64;
    within(PATIENCE, "first revision", || nodes.iter().all(told));
    std::thread::sleep(Duration::from_secs(10));

    let cost = idle(&net, &nodes, Duration::from_secs(seconds));
    let mut random = Pcg64::seed_from_u64(seed);
    let up = spread(&net, &nodes, edits, &mut random, &|_| {});
    let out = spread(&net, &nodes, edits, &mut random, &|net| {
        net.platform.state().mode = Mode::Hang;
    });
    let healed = outages(&net, &nodes, edits, &mut random);
    let cut: Vec<String> = nodes
        .iter()
        .filter(|node| node.settings.zone != "zone-0")
        .map(|node| node.settings.entry.clone())
        .collect();
    net.platform.state().cut.extend(cut);
    std::thread::sleep(Duration::from_secs(8));
    let zone = spread(&net, &nodes, edits, &mut random, &|_| {});
    let report = json!({
        "entries": entries,
        "zones": zones,
        "seed": seed,
        "edits": edits,
        "document_bytes": size,
        "idle": cost,
        "resident_mb": resident_mb(),
        "in_force_ms": up,
        "in_force_store_out_after_first_ms": out,
        "in_force_after_outage_ms": healed,
        "in_force_one_zone_reaches_store_ms": zone,
    });
    println!("{report}");
}

/// Writes a configuration of the two-year size: 820 VMs, 20 pools, 512 edit records.
fn first(net: &Cluster) -> usize {
    let mut fleet = cluster::fleet();
    if let Some(rules) = &mut fleet.rules {
        rules.pools = (0..20)
            .map(|n| Pool {
                name: format!("pool-{n}"),
                ..Pool::default()
            })
            .collect();
    }
    fleet.inventory = (0..820)
        .map(|n| Vm {
            name: format!("vm-{n}"),
            pool: format!("pool-{}", n % 20),
            zone: format!("zone-{}", n % 8),
            rack: format!("rack-{}", n / 4),
            cores: 16,
            memory_mb: 65_536,
            accelerators: 2,
        })
        .collect();
    let edits: Vec<EditRecord> = (1..=MAX_EDIT_RECORDS as u64)
        .map(|revision| EditRecord {
            id: format!("{revision:032x}"),
            revision,
            author: "operator".to_owned(),
            accepted_ms: 1_780_000_000_000,
            reason: "raise the budget of a pool".to_owned(),
        })
        .collect();
    let config = Config {
        revision: MAX_EDIT_RECORDS as u64,
        edit_id: format!("{MAX_EDIT_RECORDS:032x}"),
        fleet: Some(fleet),
        edits,
    };
    let value = serde_json::to_value(config).expect("json");
    let size = value.to_string().len();
    let put = net.platform.state().store.put("config", value, 0, None);
    put.expect("put");
    size
}

/// Measures entries that nobody changes anything on.
fn idle(net: &Cluster, nodes: &[Node], time: Duration) -> Value {
    let calls = net.platform.calls();
    let before: Vec<Status> = nodes.iter().map(Node::status).collect();
    std::thread::sleep(time);
    let after: Vec<Status> = nodes.iter().map(Node::status).collect();
    let calls: BTreeMap<&str, f64> = net
        .platform
        .calls()
        .into_iter()
        .map(|(kind, count)| (kind, count - calls.get(kind).unwrap_or(&0)))
        .map(|(kind, count)| (kind, count as f64 / time.as_secs_f64()))
        .collect();
    let mut rates = Rates::default();
    for (old, new) in before.iter().zip(&after) {
        rates.add(&old.counters, &new.counters);
    }
    json!({
        "seconds": time.as_secs(),
        "cpu_percent_of_core": figures(rates.cpu),
        "peer_bytes_per_s_both_ways": figures(rates.peer),
        "platform_bytes_per_s_both_ways": figures(rates.platform),
        "store_calls_per_s": calls,
    })
}

#[derive(Default)]
struct Rates {
    cpu: Vec<f64>,
    peer: Vec<f64>,
    platform: Vec<f64>,
}

impl Rates {
    fn add(&mut self, old: &wigeonhinged::plane::Counters, new: &wigeonhinged::plane::Counters) {
        let seconds = (new.uptime_ms - old.uptime_ms) as f64 / 1000.0;
        let rate = |new: u64, old: u64| (new - old) as f64 / seconds;
        self.cpu.push(rate(new.cpu_us, old.cpu_us) / 10_000.0);
        let peer = rate(new.peer_sent, old.peer_sent) + rate(new.peer_received, old.peer_received);
        self.peer.push(peer);
        let sent = rate(new.platform_sent, old.platform_sent);
        let received = rate(new.platform_received, old.platform_received);
        self.platform.push(sent + received);
    }
}

/// Makes edits and measures the time until each is in force on every entry.
///
/// The fault happens as soon as the first entry has adopted the edit.
fn spread(
    net: &Cluster,
    nodes: &[Node],
    edits: u64,
    random: &mut Pcg64,
    fault: &dyn Fn(&Cluster),
) -> Value {
    let mut times = Vec::new();
    for n in 0..edits {
        std::thread::sleep(Duration::from_millis(random.random_range(500..2_500)));
        let id = format!("edit-{}-{n}", random.random::<u64>());
        let revision = net.edit(&id);
        let accepted = Instant::now();
        times.push(await_all(nodes, revision, accepted, &|| fault(net)));
        if net.platform.state().mode != Mode::Up {
            net.platform.state().mode = Mode::Up;
            std::thread::sleep(Duration::from_secs(3));
        }
    }
    figures(times)
}

/// Makes edits in outages that begin before any entry sees the edit, and
/// measures the time from the end of the outage.
fn outages(net: &Cluster, nodes: &[Node], edits: u64, random: &mut Pcg64) -> Value {
    let mut times = Vec::new();
    for _ in 0..edits {
        net.platform.state().mode = Mode::Hang;
        std::thread::sleep(Duration::from_millis(random.random_range(1_500..4_000)));
        let revision = net.edit(&format!("edit-{}", random.random::<u64>()));
        let healed = Instant::now();
        net.platform.state().mode = Mode::Up;
        times.push(await_all(nodes, revision, healed, &|| {}));
        std::thread::sleep(Duration::from_secs(1));
    }
    figures(times)
}

/// Waits until a revision is in force everywhere; returns milliseconds.
fn await_all(nodes: &[Node], revision: u64, start: Instant, first: &dyn Fn()) -> f64 {
    let mut waiting: Vec<&Node> = nodes.iter().collect();
    while !waiting.is_empty() {
        let before = waiting.len();
        waiting.retain(|node| !adopted(node, revision));
        if before == nodes.len() && waiting.len() < before {
            first();
        }
        let late: Vec<Status> = match start.elapsed() < PATIENCE {
            true => Vec::new(),
            false => waiting.iter().map(|node| node.status()).collect(),
        };
        assert!(
            late.is_empty(),
            "revision {revision} is not in force: {late:#?}"
        );
        std::thread::sleep(Duration::from_micros(500));
    }
    start.elapsed().as_secs_f64() * 1000.0
}

fn adopted(node: &Node, revision: u64) -> bool {
    node.messages
        .drain()
        .any(|message| matches!(message, ToDispatch::Adopt(config) if config.revision >= revision))
}

fn figures(mut values: Vec<f64>) -> Value {
    values.sort_by(f64::total_cmp);
    let round = |value: f64| (value * 100.0).round() / 100.0;
    json!({
        "p50": values.get(values.len() / 2).copied().map(round),
        "max": values.last().copied().map(round),
    })
}

/// Returns the resident memory of the process in MB.
fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        / 1024
}
