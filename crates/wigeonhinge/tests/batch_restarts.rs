//! Workers that start again under their identifiers and may carry out calls that were meant for their
//! former incarnations.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::Node;
use cluster::entry;
use cluster::job;
use cluster::step;
use wigeonhinge::batch::End;

/// Time in which the lease of a worker ends that does not answer.
const LEASE: Duration = Duration::from_secs(5);

/// Time in which a lease ends that a worker took from a call that was meant for its former incarnation,
/// in addition to [`LEASE`]: the longest lease of 10 s, and the time in which the call may reach it.
const LONGEST_LEASE: Duration = Duration::from_secs(9);

fn silence(cluster: &mut Cluster, id: &str) {
    cluster.nodes.get_mut(id).expect("a known worker").silent = true;
}

/// Replaces a worker by an incarnation that runs nothing.
fn restart(cluster: &mut Cluster, id: &str) {
    let node = cluster.nodes.get_mut(id).expect("a known worker");
    node.incarnation += 1;
    node.began_at = cluster.now;
    node.runs.clear();
    node.finished.clear();
    node.last_number = 0;
}

/// Returns a cluster whose only worker has restarted, runs the job's task and is cut off.
fn restarted_and_cut_off() -> Cluster {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    restart(&mut cluster, "w1");
    cluster.advance(Duration::from_millis(200));
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_millis(200));
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w1"));
    silence(&mut cluster, "w1");
    cluster
}

/// Guards against a second run beside the one that a worker's next incarnation begins: it carries out
/// a start that had no answer, and is cut off before its first report.
#[test]
fn lapse_unanswered_start() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w2"));
}

/// A run that its worker is known to have had ends with the worker or with its lease, so the task does
/// not wait for longer.
#[test]
fn lapse_confirmed_run() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against a second run beside one on a restarted worker that is cut off: a call that was meant
/// for its former incarnation may have given it the longest lease.
#[test]
fn lapse_after_restart() {
    let mut cluster = restarted_and_cut_off();
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// The longest lease ends in time: a worker that is cut off long after its restart has its usual lease.
#[test]
fn lapse_long_after_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    restart(&mut cluster, "w1");
    cluster.advance(LONGEST_LEASE + LEASE);
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_millis(200));
    silence(&mut cluster, "w1");
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Time in which a successor takes the leases of its predecessor's workers as ended, if they do not
/// answer.
const PREDECESSOR_LEASE: Duration = Duration::from_secs(6);

/// Guards against a second run beside one on a restarted worker that is cut off together with the
/// role holder, which alone knew of the restart.
#[test]
fn takeover_after_restart() {
    let mut cluster = restarted_and_cut_off();
    cluster.entries.push(entry("w2"));
    cluster.nodes.insert("w2".into(), Node::default());
    cluster.take_over();
    cluster.advance(PREDECESSOR_LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against the same if the holder was lost before it knew of the restart: the registry names
/// another incarnation than the record of the run.
#[test]
fn takeover_during_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.entries[0].incarnation = 2;
    cluster.entries.push(entry("w2"));
    cluster.nodes.insert("w2".into(), Node::default());
    cluster.take_over();
    cluster.advance(PREDECESSOR_LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against a second run beside one on a worker that restarted just before its rack or the role
/// got another holder: neither holder saw the former incarnation and the present one.
#[test]
fn takeover_unseen_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    restart(&mut cluster, "w1");
    cluster.entries[0].incarnation = 2;
    cluster.take_over();
    cluster.advance(Duration::from_millis(200));
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_millis(200));
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w1"));
    silence(&mut cluster, "w1");
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against the same for a run that the former holder ordered, on a worker that no poll of the
/// present one has reached and that has not registered its present incarnation.
#[test]
fn takeover_unregistered_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.entries.push(entry("w2"));
    cluster.nodes.insert("w2".into(), Node::default());
    cluster.take_over();
    cluster.advance(PREDECESSOR_LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against a second run beside one on a young worker whose age only the former holder knew: the
/// next one gets no answer, and neither the row of restarts nor the registry tells of the restart.
#[test]
fn second_takeover_unseen_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    restart(&mut cluster, "w1");
    cluster.entries[0].incarnation = 2;
    cluster.take_over();
    cluster.advance(Duration::from_millis(200));
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_millis(400));
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w1"));
    silence(&mut cluster, "w1");
    cluster.entries.push(entry("w2"));
    cluster.nodes.insert("w2".into(), Node::default());
    cluster.take_over();
    cluster.advance(PREDECESSOR_LEASE);
    assert_eq!(cluster.starts().len(), 1);
    cluster.advance(LONGEST_LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}

/// Guards against a second run beside one that a worker's next incarnation begins: the former one
/// answered the stop of an unanswered start, then crashed, and forgot the stop.
#[test]
#[ignore = "KNOWN-RED.txt, issue 42"]
fn stop_before_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.nodes.get_mut("w1").expect("a known worker").silent = false;
    cluster.add_worker(entry("w2"));
    let sent_at = cluster.now;
    // A call without an answer may be carried out up to 2 s later.
    while cluster.now < sent_at + Duration::from_secs(2) {
        cluster.advance(Duration::from_millis(100));
        let after = cluster.now - sent_at;
        assert_eq!(
            cluster.starts().len(),
            1,
            "the task starts again after {after:?}"
        );
    }
}

/// Guards against the same after a takeover: the former incarnation answered a poll of the successor,
/// and the fence that it saw is forgotten with its crash.
#[test]
#[ignore = "KNOWN-RED.txt, issue 42"]
fn takeover_before_restart() {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    let sent_at = cluster.now;
    cluster.nodes.get_mut("w1").expect("a known worker").silent = false;
    cluster.entries.push(entry("w2"));
    let node = Node {
        incarnation: 1,
        ..Node::default()
    };
    cluster.nodes.insert("w2".into(), node);
    cluster.take_over();
    while cluster.now < sent_at + Duration::from_secs(2) {
        cluster.advance(Duration::from_millis(100));
        let after = cluster.now - sent_at;
        assert_eq!(
            cluster.starts().len(),
            1,
            "the task starts again after {after:?}"
        );
    }
}

/// Returns a cluster whose only worker is cut off with one task of a job, of which another one ended
/// since the start was answered.
fn cut_off_after_end() -> Cluster {
    let mut cluster = Cluster::new(&["w1"]);
    cluster.submit(job("j", vec![step(2)]));
    cluster.store_writes();
    cluster.advance(Duration::from_secs(5));
    assert_eq!(cluster.starts().len(), 2);
    cluster.end_run("j.0.0.0", End::Done);
    cluster.advance(Duration::from_secs(1));
    silence(&mut cluster, "w1");
    cluster.entries.push(entry("w2"));
    cluster.nodes.insert("w2".into(), Node::default());
    cluster
}

/// Guards against a task that waits for the longest lease although its start was answered long ago: the
/// row of its job was written again as another task ended, and the row of starts was not.
#[test]
fn takeover_row_written_again() {
    let mut cluster = cut_off_after_end();
    cluster.take_over();
    cluster.advance(PREDECESSOR_LEASE);
    assert_eq!(cluster.starts().len(), 3, "the task starts again");
}

/// Guards against a task that waits for the longest lease although the holder saw its worker register
/// for the first time, so that there is no former incarnation.
#[test]
fn lapse_new_worker() {
    let mut cluster = Cluster::new(&[]);
    cluster.advance(Duration::from_secs(20));
    cluster.add_worker(entry("w1"));
    cluster
        .nodes
        .get_mut("w1")
        .expect("a known worker")
        .began_at = cluster.now;
    cluster.advance(Duration::from_millis(200));
    cluster.submit(job("j", vec![step(1)]));
    cluster.store_writes();
    cluster.advance(Duration::from_millis(200));
    assert_eq!(cluster.worker_of("j.0.0.0").as_deref(), Some("w1"));
    silence(&mut cluster, "w1");
    cluster.add_worker(entry("w2"));
    cluster.advance(LEASE);
    assert_eq!(cluster.starts().len(), 2, "the task starts again");
}
