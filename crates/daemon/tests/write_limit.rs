//! Writes of a partition's holder that have more to store than one transaction may hold.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use entry::Entry;
use entry::wait;
use site::Site;

/// Waves that are requested at once. The holder stores two rows for each, which take several
/// transactions of 32 entries.
const WAVES: usize = 40;

/// Removals that are due at the same time.
const REMOVALS: usize = 24;

const JOB: &str = r#"{"spec":"t","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":150}]}"#;

/// Requests waves while a write is in flight, so that their rows wait for the next one.
fn request_waves(site: &Site) {
    for wave in 1..=WAVES {
        let request = format!(r#"{{"wave":{wave},"machines":["m-0"],"cap":1,"completeByS":60}}"#);
        site.put(&format!("op/wave/{wave}"), &request);
    }
}

fn submit(entry: &Entry, id: &str) {
    let response = entry.ask("POST", &format!("/jobs/{id}"), JOB);
    assert_eq!(response.expect("a response").0, 200);
}

/// Guards against a write that the store refuses for its number of entries, and that then holds up
/// all later writes: rows of waves together with cancellations that came too late.
#[test]
fn waves_with_late_cancellations() {
    let site = Site::spawn(3);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    submit(&entry, "00000000000000d1");
    entry.wait_state("00000000000000d1", "completed");
    site.faults.slow_commits_ms.store(400, Ordering::SeqCst);
    for index in 0..REMOVALS {
        site.put(&format!("wigeonhinge-in/0/cancel/{index:016x}"), "{}");
    }
    request_waves(&site);
    thread::sleep(Duration::from_secs(1));
    site.faults.slow_commits_ms.store(0, Ordering::SeqCst);
    submit(&entry, "00000000000000d2");
    entry.wait_state("00000000000000d2", "completed");
    wait("cancellations without effect are removed", || {
        (0..REMOVALS).all(|index| {
            let key = format!("wigeonhinge-in/0/cancel/{index:016x}");
            site.value(&key).is_none()
        })
    });
}

/// The same with the states of ended jobs whose retention time has passed.
#[test]
fn waves_with_expired_states() {
    let site = Site::spawn(3);
    let entry = Entry::spawn_retaining(site.store, "e1", "", 2.0);
    entry.wait_ready();
    for index in 0..REMOVALS {
        submit(&entry, &format!("{index:016x}"));
    }
    let states: Vec<String> = (0..REMOVALS)
        .map(|index| format!("wigeonhinge-state/{index:016x}"))
        .collect();
    wait("the jobs have ended", || {
        site.oracle.start_count() >= 2 * REMOVALS
    });
    thread::sleep(Duration::from_millis(1_000));
    site.faults.slow_commits_ms.store(500, Ordering::SeqCst);
    // The states expire while a write is in flight.
    thread::sleep(Duration::from_millis(1_000));
    request_waves(&site);
    thread::sleep(Duration::from_secs(1));
    site.faults.slow_commits_ms.store(0, Ordering::SeqCst);
    submit(&entry, "00000000000000d2");
    wait("a job starts", || {
        site.oracle.start_count() >= 2 * REMOVALS + 2
    });
    wait("expired states are removed", || {
        states.iter().all(|key| site.value(key).is_none())
    });
}
