//! Jobs in a partition that has no worker for them, with entries as processes.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::thread;
use std::time::Duration;

use entry::Entry;
use entry::wait;
use site::Site;

const JOB: &str =
    r#"{"spec":"short spec","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":150}]}"#;

/// A job that runs until it is cancelled.
const LASTING: &str = r#"{"spec":"lasting spec","steps":[{"count":1,"cpu":500,"memMb":100,
    "longRunning":true,"mayMiss":1}]}"#;

/// Returns two entries that hold a partition each: the first one has two workers of the pool of all
/// jobs, the second one has two of another pool.
fn divided() -> (Site, [Entry; 2]) {
    let site = Site::spawn(4);
    site.divide(&[2, 3]);
    for index in [2, 3] {
        site.change_worker(index, |entry| entry["service"] = "plans".into());
    }
    let entries = ["e1", "e2"].map(|name| Entry::spawn(site.store, name));
    for entry in &entries {
        entry.wait_ready();
    }
    wait("both partitions have holders", || {
        ["0", "1"].iter().all(|it| {
            let key = format!("wigeonhinge/role/{it}");
            site.value(&key).is_some()
        })
    });
    // Entries choose a partition by the rows that they have read.
    thread::sleep(Duration::from_millis(200));
    (site, entries)
}

fn submit(entry: &Entry, id: &str, body: &str) {
    let response = entry.ask("POST", &format!("/jobs/{id}"), body);
    assert_eq!(response.expect("a response").0, 200);
}

/// Returns whether a partition has a job.
fn has_job(site: &Site, partition: u32, id: &str) -> bool {
    let key = format!("wigeonhinge-in/{partition}/job/{id}");
    site.value(&key).is_some()
}

/// Submits jobs until the second partition has one; returns it.
fn misplaced_job(site: &Site, entry: &Entry, body: &str) -> String {
    let ids = (0..40).map(|index| format!("{index:016x}"));
    let misplaced = ids.into_iter().find(|id| {
        let spec = match body == LASTING {
            true => ("lasting spec", 1),
            false => ("short spec", 2),
        };
        site.oracle.submitted(id, spec.0, &[spec.1]);
        submit(entry, id, body);
        has_job(site, 1, id)
    });
    misplaced.expect("a job in the second partition")
}

/// Guards against jobs that never run, as they were accepted for a partition without workers of their
/// pool. Later ones are accepted for the other partition, until the pool has a worker here.
#[test]
fn jobs_without_pool_complete() {
    let (site, [first, second]) = divided();
    let id = misplaced_job(&site, &second, JOB);
    first.wait_state(&id, "completed");
    wait("the other entry knows of the pool", || {
        let row = site.value("wigeonhinge/absent/1").unwrap_or_default();
        row.contains("crews")
    });
    thread::sleep(Duration::from_millis(200));
    for index in 0..20 {
        let id = format!("a{index:015x}");
        site.oracle.submitted(&id, "short spec", &[2]);
        submit(&second, &id, JOB);
        assert!(!has_job(&site, 1, &id), "{id} is in the second partition");
        first.wait_state(&id, "completed");
    }
    site.change_worker(2, |entry| entry["service"] = "crews".into());
    wait("the pool has a worker", || {
        let row = site.value("wigeonhinge/absent/1").unwrap_or_default();
        !row.contains("crews")
    });
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}

/// Guards against jobs that wait for a transfer although the partition has lacked their pool all along.
#[test]
fn jobs_avoid_partition_without_pool() {
    let (site, [first, second]) = divided();
    wait("the entries know of the pool", || {
        let row = site.value("wigeonhinge/absent/1").unwrap_or_default();
        row.contains("crews")
    });
    thread::sleep(Duration::from_millis(200));
    for index in 0..20 {
        let id = format!("a{index:015x}");
        site.oracle.submitted(&id, "short spec", &[2]);
        submit(&second, &id, JOB);
        assert!(!has_job(&site, 1, &id), "{id} is in the second partition");
        first.wait_state(&id, "completed");
    }
}

/// Guards against a cancellation that is lost: it was stored for the partition that the job leaves.
#[test]
fn cancellation_follows_job() {
    let (site, [first, second]) = divided();
    let id = misplaced_job(&site, &second, LASTING);
    wait("the job leaves", || has_job(&site, 0, &id));
    assert!(!has_job(&site, 1, &id));
    let key = format!("wigeonhinge-in/1/cancel/{id}");
    site.put(&key, "{}");
    first.wait_state(&id, "canceled");
    wait("the cancellation is removed", || site.value(&key).is_none());
}

/// A cancellation for a job that has ended is removed, as is one for a job that nobody knows.
#[test]
fn cancellation_without_job_is_removed() {
    let (site, [first, _second]) = divided();
    let id = misplaced_job(&site, &first, JOB);
    first.wait_state(&id, "completed");
    for id in [&id, "00000000000000ff"] {
        let key = format!("wigeonhinge-in/1/cancel/{id}");
        site.put(&key, "{}");
        wait("the cancellation is removed", || site.value(&key).is_none());
    }
}

/// Guards against jobs that wait for ever in a partition that loses its last worker of their pool.
#[test]
fn jobs_complete_after_last_worker_left() {
    let (site, [first, second]) = divided();
    site.change_worker(2, |entry| entry["service"] = "crews".into());
    thread::sleep(Duration::from_millis(500));
    let id = misplaced_job(&site, &second, LASTING);
    wait("the job runs", || site.oracle.is_at_work(&id));
    site.workers[2].crash();
    site.remove("servers/i-2");
    wait("the job leaves", || has_job(&site, 0, &id));
    wait("the job runs again", || site.oracle.is_at_work(&id));
    let response = second.ask("DELETE", &format!("/jobs/{id}"), "");
    assert_eq!(response.expect("a response").0, 200);
    first.wait_state(&id, "canceled");
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}
