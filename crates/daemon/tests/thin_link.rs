//! Takeover, compaction and restart of entries whose links to the store are thin.
//!
//! Guards against reads that can never complete: what a link does not carry within a fixed time is
//! thrown away and asked for again, which keeps the link full.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use entry::Entry;
use entry::exchange;
use rstest::rstest;
use site::Site;
use site::proxy::Mode;
use site::proxy::Proxy;

const ENTRIES: usize = 6;

const OPEN_JOBS: usize = 2_000;

/// Bytes that a successor reads for each open job: its row, with the key and the encoding of the
/// store's answer. The stored job has one step and a short specification.
const BYTES_PER_JOB: usize = 300;

/// Time of an election and of all that does not depend on bytes.
const FIXED_TIME: Duration = Duration::from_secs(5);

/// Job of a queue that has no workers, so that it stays open.
const JOB: &str =
    r#"{"spec":"drawing","steps":[{"count":4,"cpu":90000,"memMb":100,"estimateMs":150}]}"#;

/// Returns the bytes a second of a link.
fn bytes_per_s(mbps: u64) -> u64 {
    mbps * 1_000_000 / 8
}

/// Returns in what time a successor has to be at work: the bytes that it reads, with as much again
/// for what else its link carries.
fn takeover_time(mbps: u64) -> Duration {
    let seconds = (OPEN_JOBS * BYTES_PER_JOB) as f64 / bytes_per_s(mbps) as f64;
    FIXED_TIME + Duration::from_secs_f64(2.0 * seconds)
}

struct ThinSite {
    site: Site,
    links: Vec<Proxy>,
    entries: Vec<Option<Entry>>,
}

impl ThinSite {
    fn new() -> Self {
        let site = Site::spawn(2);
        let links: Vec<Proxy> = (0..ENTRIES).map(|_| Proxy::spawn(site.store)).collect();
        let mut thin = Self {
            site,
            links,
            entries: (0..ENTRIES).map(|_| None).collect(),
        };
        (0..ENTRIES).for_each(|index| thin.start(index));
        thin
    }

    fn start(&mut self, index: usize) {
        let store = self.links[index].address;
        self.entries[index] = Some(Entry::spawn(store, &format!("e{index}")));
    }

    fn set_rate(&self, mbps: u64) {
        let mode = Mode::Rate(bytes_per_s(mbps));
        self.links.iter().for_each(|link| link.set_mode(mode));
    }

    /// Returns the entry that is at work as the holder and knows all jobs.
    fn holder(&self) -> Option<usize> {
        self.entries.iter().position(|entry| {
            let status = entry.as_ref().and_then(|entry| {
                let status = exchange(entry.metrics, "GET", "/status", "")?.1;
                status.contains("\"role\":true").then_some(status)
            });
            status.is_some()
        })
    }

    fn wait_for_holder(&self, limit: Duration, what: &str) -> usize {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(index) = self.holder() {
                return index;
            }
            assert!(
                Instant::now() < deadline,
                "no holder within {limit:?} {what}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Submits a job at an entry and waits until it is completed.
    fn serves(&self, index: usize, id: &str, limit: Duration) {
        let entry = self.entries[index].as_ref().expect("a running entry");
        let job = JOB.replace("90000", "500");
        let deadline = Instant::now() + limit;
        let done = || {
            let answer = entry.ask("GET", &format!("/jobs/{id}"), "");
            answer.is_some_and(|(_, body)| body.contains("completed"))
        };
        while !done() {
            assert!(
                Instant::now() < deadline,
                "{id} is not served within {limit:?}"
            );
            // A job that was accepted already stays one job.
            entry.ask("POST", &format!("/jobs/{id}"), &job);
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}

/// The loss of the holder, a compaction of the store's history and a restart of all entries are
/// each overcome in a time that follows from the bytes to read and the link.
#[rstest]
#[case(4)]
#[case(2)]
#[case(1)]
fn thin_link_recovers(#[case] mbps: u64) {
    let mut thin = ThinSite::new();
    for entry in thin.entries.iter().flatten() {
        entry.wait_ready();
    }
    let first = thin.wait_for_holder(FIXED_TIME, "at the start");
    let entry = thin.entries[first].as_ref().expect("a running entry");
    for job in 0..OPEN_JOBS {
        let id = format!("{job:016x}");
        let (status, _) = entry
            .ask("POST", &format!("/jobs/{id}"), JOB)
            .expect("a response");
        assert_eq!(status, 200);
    }
    thin.set_rate(mbps);
    let limit = takeover_time(mbps);

    thin.entries[first] = None;
    let second = thin.wait_for_holder(limit, "after the loss of the first one");
    thin.serves(second, "00000000000000ff01", limit);

    // Watches that continue from a revision before the compaction read everything again.
    thin.site.faults.compacted.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(300));
    thin.site.faults.compacted.store(false, Ordering::SeqCst);
    thin.serves(second, "00000000000000ff02", limit);

    thin.entries.iter_mut().for_each(|entry| *entry = None);
    (0..ENTRIES).for_each(|index| thin.start(index));
    let third = thin.wait_for_holder(limit, "after a restart of all entries");
    thin.serves(third, "00000000000000ff03", limit);
}
