//! Tests of the control plane under failures, with several entries on loopback sockets.

#[allow(dead_code, unreachable_pub)]
#[path = "support/cluster.rs"]
mod cluster;

use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::audit::Log;
use wigeonhinge_schema::peer::Offer;
use wigeonhinge_standin::platform::Mode;
use wigeonhinge_standin::vms;
use wigeonhinged::plane::FromDispatch;
use wigeonhinged::plane::ToDispatch;

use crate::cluster::Cluster;
use crate::cluster::Node;
use crate::cluster::entry_ids;
use crate::cluster::get;
use crate::cluster::within;

/// Promised time for a configuration to be in force on every entry.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Promised time for a role to be taken over.
const TAKE_OVER: Duration = Duration::from_secs(8);

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

fn in_force(nodes: &[Node], revision: u64) -> bool {
    nodes.iter().all(|node| node.status().revision == revision)
}

/// Returns the revisions sent to a dispatch thread since the last call, in order.
fn adopted_revisions(node: &Node) -> Vec<u64> {
    let received = node.messages.drain();
    received
        .filter_map(|message| match message {
            ToDispatch::Adopt(config) => Some(config.revision),
            _ => None,
        })
        .collect()
}

/// Starts every entry and waits until the first revision is in force and each entry has heard from
/// up to three peers.
fn start_ready(cluster: &Cluster) -> Vec<Node> {
    cluster.edit("first");
    let nodes = cluster.spawn_all();
    within(IN_FORCE, "first revision", || in_force(&nodes, 1));
    let count = nodes.len();
    within(IN_FORCE, "members", || {
        let live = |node: &Node| node.status().members.len() + 1 >= count.min(4);
        nodes.iter().all(live)
    });
    nodes
}

/// Guards against entries that miss an edit, and against an entry that is ready without a
/// configuration.
#[test]
fn adopt_everywhere() {
    let cluster = Cluster::new(&ZONES);
    let nodes = cluster.spawn_all();
    assert_eq!(get(nodes[0].plane.admin_address(), "/readyz").0, 503);
    assert_eq!(get(nodes[0].plane.admin_address(), "/healthz").0, 200);
    cluster.edit("first");
    within(IN_FORCE, "first revision", || in_force(&nodes, 1));
    assert_eq!(get(nodes[0].plane.admin_address(), "/readyz").0, 200);
    cluster.edit("second");
    within(IN_FORCE, "second revision", || in_force(&nodes, 2));
    assert!(nodes.iter().all(|node| adopted_revisions(node).is_sorted()));
}

/// Guards against entries that stop serving when the store hangs until every lease has expired,
/// and against roles that outlive their leases.
#[test]
fn store_out() {
    let cluster = Cluster::new(&ZONES);
    let nodes = start_ready(&cluster);
    within(TAKE_OVER, "roles", || active_roles(&nodes).len() == 2);
    cluster.platform.state().mode = Mode::Hang;
    std::thread::sleep(Duration::from_secs(8));
    assert!(in_force(&nodes, 1));
    assert!(active_roles(&nodes).is_empty(), "a role outlived its lease");
    assert!(nodes.iter().all(|node| node.status().ready));
    assert!(nodes.iter().all(|node| node.status().usable));
    cluster.platform.state().mode = Mode::Up;
    cluster.edit("second");
    within(IN_FORCE, "second revision", || in_force(&nodes, 2));
    within(TAKE_OVER, "roles", || active_roles(&nodes).len() == 2);
    assert!(nodes.iter().all(|node| adopted_revisions(node) == [1, 2]));
}

/// Returns the roles held under a valid lease, each with its holder.
fn active_roles(nodes: &[Node]) -> Vec<(String, String)> {
    nodes
        .iter()
        .map(Node::status)
        .flat_map(|status| {
            let entry = status.entry.clone();
            status
                .roles
                .into_keys()
                .map(move |role| (role, entry.clone()))
        })
        .collect()
}

/// Guards against a zone that misses an edit while it reaches its peers but not the platform.
#[test]
fn zone_cut_platform() {
    let cluster = Cluster::new(&ZONES);
    let nodes = start_ready(&cluster);
    for node in &nodes[..2] {
        cluster
            .platform
            .state()
            .cut
            .insert(node.settings.entry.clone());
    }
    cluster.edit("second");
    within(IN_FORCE, "second revision", || in_force(&nodes, 2));
}

/// Guards against a zone that loses its configuration while it reaches neither the platform nor
/// its peers, and against one that stays behind after one of the two paths is restored.
#[rstest::rstest]
#[case::platform_heals(true)]
#[case::peers_heal(false)]
fn zone_cut_both(#[case] platform: bool) {
    let cluster = Cluster::new(&ZONES);
    let nodes = start_ready(&cluster);
    let (cut, connected) = nodes.split_at(2);
    for node in cut {
        cluster
            .platform
            .state()
            .cut
            .insert(node.settings.entry.clone());
        node.plane.block(entry_ids(connected));
    }
    for node in connected {
        node.plane.block(entry_ids(cut));
    }
    cluster.edit("second");
    within(IN_FORCE, "second revision", || in_force(connected, 2));
    std::thread::sleep(Duration::from_secs(3));
    assert!(in_force(cut, 1));
    assert!(cut.iter().all(|node| node.status().ready));
    if platform {
        cluster.platform.state().cut.clear();
    } else {
        for node in &nodes {
            node.plane.block(BTreeSet::new());
        }
    }
    within(IN_FORCE, "healed", || in_force(cut, 2));
    assert!(cut.iter().all(|node| adopted_revisions(node) == [1, 2]));
}

/// Guards against a new entry that cannot serve while the store is down, although its peers have
/// the configuration.
#[test]
fn new_entry_store_out() {
    let cluster = Cluster::new(&ZONES).with_peers();
    cluster.edit("first");
    let nodes: Vec<Node> = (0..5).map(|n| cluster.spawn(n)).collect();
    within(IN_FORCE, "first revision", || in_force(&nodes, 1));
    cluster.platform.state().mode = Mode::Down;
    let added = cluster.spawn(5);
    within(IN_FORCE, "new entry", || added.status().revision == 1);
}

/// Guards against an entry that reports ready although it has reached neither the store nor a
/// peer.
#[test]
fn new_entry_alone() {
    let cluster = Cluster::new(&["a"]);
    cluster.platform.state().mode = Mode::Down;
    let node = cluster.spawn(0);
    std::thread::sleep(Duration::from_secs(1));
    let (status, body) = get(node.plane.admin_address(), "/readyz");
    assert_eq!(status, 503);
    assert!(body.contains("no configuration"), "{body}");
}

/// Guards against a return to an earlier revision when the store answers with an older value.
#[test]
fn store_stale() {
    let cluster = Cluster::new(&ZONES[..2]);
    let nodes = start_ready(&cluster);
    let old = cluster.platform.state().store.clone();
    cluster.edit("second");
    within(IN_FORCE, "second revision", || in_force(&nodes, 2));
    cluster.platform.state().stale = Some(old);
    std::thread::sleep(Duration::from_secs(5));
    assert!(in_force(&nodes, 2));
    cluster.platform.state().stale = None;
    cluster.edit("third");
    within(IN_FORCE, "third revision", || in_force(&nodes, 3));
    assert!(
        nodes
            .iter()
            .all(|node| adopted_revisions(node) == [1, 2, 3])
    );
}

/// Guards against a killed entry that keeps its roles or its share of the slots, and against
/// peers that take over the share while a paused entry may still use it.
#[test]
fn entry_killed() {
    let cluster = Cluster::new(&["a", "a", "a"]);
    let mut nodes = start_ready(&cluster);
    within(TAKE_OVER, "roles", || active_roles(&nodes).len() == 2);
    let (_, holder) = active_roles(&nodes).swap_remove(0);
    let index = nodes.iter().position(|node| node.name() == holder.as_str());
    let killed = nodes.remove(index.expect("holder"));
    nodes[0].messages.drain();
    killed.plane.kill();
    let gone = |message| matches!(message, ToDispatch::Members(members) if members.len() == 2);
    let shares = within(Duration::from_secs(3), "shares", || {
        let mut received = nodes[0].messages.drain();
        received.any(gone)
    });
    assert!(shares > Duration::from_millis(2_200), "{shares:?}");
    within(TAKE_OVER - shares, "roles", || {
        active_roles(&nodes).len() == 2
    });
}

/// Guards against a role that is taken without an audit record, or with two, and against a role
/// that its holder does not know of, when answers of the platform are lost.
#[test]
fn role_audited() {
    let cluster = Cluster::new(&["a", "a"]);
    cluster.edit("first");
    cluster.platform.state().lose_answers = 12;
    let nodes = cluster.spawn_all();
    within(TAKE_OVER, "roles", || active_roles(&nodes).len() == 2);
    let records = || {
        let state = cluster.platform.state();
        let value = state.store.get("audit/0").map(|(_, value)| value.clone());
        let log = value.map(serde_json::from_value::<Log>);
        log.map_or(Vec::new(), |log| log.expect("log").records)
    };
    within(IN_FORCE, "records", || records().len() == 2);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(records().len(), 2);
    assert_eq!(cluster.platform.state().lose_answers, 0);
}

/// Guards against entries that fetch an unreadable configuration repeatedly.
#[test]
fn config_unreadable() {
    let cluster = Cluster::new(&["a"]);
    cluster.edit("first");
    let nodes = cluster.spawn_all();
    within(IN_FORCE, "first revision", || in_force(&nodes, 1));
    let broken = serde_json::json!({ "revision": "two" });
    let put = cluster
        .platform
        .state()
        .store
        .put("config", broken, 1, None);
    put.expect("put");
    std::thread::sleep(Duration::from_secs(3));
    let status = nodes[0].status();
    assert_eq!(status.revision, 1);
    assert!((1..=2).contains(&status.counters.faults), "{status:?}");
}

/// Guards against a graceful stop after which the shares of the slots stay unused until the
/// membership times out.
#[test]
fn entry_finished() {
    let cluster = Cluster::new(&["a", "a"]);
    let mut nodes = start_ready(&cluster);
    within(TAKE_OVER, "roles", || active_roles(&nodes).len() == 2);
    nodes[1].plane.drain();
    within(IN_FORCE, "not ready", || !nodes[1].status().ready);
    let stopped = nodes.remove(1);
    stopped.plane.finish();
    within(Duration::from_millis(200), "shares", || {
        let mut received = nodes[0].messages.drain();
        received.any(|message| matches!(message, ToDispatch::Bye(_)))
    });
    within(Duration::from_secs(4), "roles", || {
        active_roles(&nodes).len() == 2
    });
}

/// Guards against offers and loans that are not passed on from one entry to another.
#[test]
fn loans_pass() {
    let cluster = Cluster::new(&["a", "a"]);
    let nodes = start_ready(&cluster);
    let ask = nodes[0].plane.dispatch_sender();
    let (to, from) = (nodes[1].name(), nodes[0].name());
    let offer = Offer {
        upstream: "up".to_owned(),
        slots: 2,
    };
    ask.send(FromDispatch::Offers(vec![offer])).expect("offers");
    let borrow = FromDispatch::Borrow(to.clone(), "up".into(), 3);
    ask.send(borrow).expect("borrow");
    let loan = FromDispatch::Loan(to.clone(), "up".into(), 3, 9);
    ask.send(loan).expect("loan");
    ask.send(FromDispatch::Return(to, 9)).expect("return");
    let mut received = Vec::new();
    within(IN_FORCE, "messages", || {
        received.extend(nodes[1].messages.drain());
        let has = |wanted: &dyn Fn(&ToDispatch) -> bool| received.iter().any(wanted);
        has(
            &|message| matches!(message, ToDispatch::Offers(entry, offers) if *entry == from && offers["up"] == 2),
        ) && has(&|message| matches!(message, ToDispatch::Borrow(entry, _, 3) if *entry == from))
            && has(&|message| matches!(message, ToDispatch::Loan(entry, _, 3, 9) if *entry == from))
            && has(&|message| matches!(message, ToDispatch::Return(entry, 9) if *entry == from))
    });
}

/// Guards against messages that are ignored because the sender sends no heartbeats to the
/// receiver, as is the case for all but two entries of another zone.
#[test]
fn pass_without_heartbeats() {
    let cluster = Cluster::new(&["a", "b", "b", "b", "b"]);
    let nodes = start_ready(&cluster);
    let (first, rest) = nodes.split_at(1);
    let known = || first[0].status().members.len() == rest.len();
    within(IN_FORCE, "addresses", known);
    let ask = first[0].plane.dispatch_sender();
    for node in rest {
        let borrow = FromDispatch::Borrow(node.name(), "up".into(), 3);
        ask.send(borrow).expect("borrow");
    }
    for node in rest {
        within(IN_FORCE, "message", || {
            let mut received = node.messages.drain();
            received.any(|message| matches!(message, ToDispatch::Borrow(..)))
        });
    }
}

/// Guards against an entry that others do not know until they next list the registry, because it
/// sends heartbeats to only two entries of each other zone: they drop their answers to it.
#[test]
fn newcomer_known() {
    let cluster = Cluster::new(&["b", "b", "b", "b", "a"]);
    cluster.edit("first");
    let old: Vec<Node> = (0..4).map(|n| cluster.spawn(n)).collect();
    within(IN_FORCE, "members", || {
        let known = |node: &Node| node.status().members.len() + 1 == old.len();
        old.iter().all(known)
    });
    let newcomer = cluster.spawn(4);
    // Well before the next list, which follows ENTRY_LIST_INTERVAL after the last.
    within(Duration::from_secs(3), "newcomer", || {
        newcomer.status().members.len() == old.len()
    });
    for node in &old {
        let ask = node.plane.dispatch_sender();
        let borrow = FromDispatch::Borrow(newcomer.name(), "up".into(), 3);
        ask.send(borrow).expect("borrow");
    }
    let mut received = 0;
    within(Duration::from_secs(1), "messages", || {
        let messages = newcomer.messages.drain();
        received += messages
            .filter(|message| matches!(message, ToDispatch::Borrow(..)))
            .count();
        received == old.len()
    });
}

/// Guards against leaving VMs that are known only to the entry that reads the VM list.
#[test]
fn leaving_spread() {
    let cluster = Cluster::new(&ZONES);
    let nodes = start_ready(&cluster);
    let now = std::time::Instant::now();
    let set = |state| cluster.platform.state().vms.set("vm-1", state, now);
    set(vms::State::Leaving);
    let all = |count| move |node: &Node| node.status().leaving.len() == count;
    within(Duration::from_secs(3), "leaving", || {
        nodes.iter().all(all(1))
    });
    set(vms::State::Live);
    within(Duration::from_secs(3), "back", || nodes.iter().all(all(0)));
}
