//! Workers that start again under the identifier and the address that they had.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::thread;
use std::time::Duration;

use entry::Entry;
use entry::wait;
use site::Site;

/// Tasks of each of the job's steps, which run beside each other and end at different times.
const TASKS: usize = 30;

const STEPS: usize = 6;

/// Job whose steps run one after the other.
fn job() -> String {
    let task = format!(r#""count":{TASKS},"cpu":100,"memMb":100,"estimateMs":150"#);
    let steps = (0..STEPS).map(|index| match index.checked_sub(1) {
        None => format!("{{{task}}}"),
        Some(before) => format!(r#"{{{task},"after":[{before}]}}"#),
    });
    let steps: Vec<String> = steps.collect();
    format!(r#"{{"spec":"t","steps":[{}]}}"#, steps.join(","))
}

/// Guards against results that are lost because the polls of a restarted worker acknowledge the
/// numbers of its earlier incarnation.
#[test]
fn restart_keeps_results() {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    for (index, id) in ["00000000000000c1", "00000000000000c2"].iter().enumerate() {
        site.oracle.submitted(id, "t", &[TASKS as u64; STEPS]);
        let response = entry.ask("POST", &format!("/jobs/{id}"), &job());
        assert_eq!(response.expect("a response").0, 200);
        entry.wait_state(id, "completed");
        assert_eq!(site.oracle.start_count(), TASKS * STEPS * (index + 1));
        site.workers[0].restart();
        // Time for the next report.
        thread::sleep(Duration::from_secs(1));
    }
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}

/// Guards against two runs of a task at a time: the lease of a restarted worker ends on its own
/// clock, which starts anew.
#[test]
fn restart_shortens_lease() {
    let site = Site::spawn(3);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    // The clock of the first incarnations runs ahead of that of the second one.
    thread::sleep(Duration::from_secs(5));
    site.workers.iter().for_each(|worker| worker.restart());
    thread::sleep(Duration::from_secs(1));
    let lease = site.workers[0].lease();
    assert!(lease < Duration::from_secs(4), "{lease:?}");
    wait("the entry is ready", || {
        entry.ask("GET", "/jobs/", "").is_some_and(|it| it.0 == 200)
    });
}

/// Guards against a poll that carries the lease of the earlier incarnation to a worker whose crash
/// reset its connections.
#[test]
fn crash_shortens_lease() {
    let site = Site::spawn(3);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    // The clock of the first incarnation runs ahead of that of the second one.
    thread::sleep(Duration::from_secs(5));
    site.workers[0].restart();
    site.proxies[0].reset();
    thread::sleep(Duration::from_secs(1));
    let lease = site.workers[0].lease();
    assert!(lease < Duration::from_secs(4), "{lease:?}");
}

/// Guards against calls to a worker's earlier incarnations that are carried out after the next one
/// was polled: each incarnation sees a fence above those of the calls before.
#[test]
fn restart_raises_fence() {
    let site = Site::spawn(3);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    wait("the worker is polled", || site.workers[0].fence() > 0);
    let mut before = site.workers[0].fence();
    for _ in 0..3 {
        // Time for an answered poll, which tells the incarnation.
        thread::sleep(Duration::from_millis(800));
        site.workers[0].restart();
        wait("the fence is raised", || site.workers[0].fence() > before);
        before = site.workers[0].fence();
    }
    assert_eq!(site.workers[1].fence(), site.workers[2].fence());
    let id = "00000000000000c3";
    site.oracle.submitted(id, "t", &[TASKS as u64; STEPS]);
    let response = entry.ask("POST", &format!("/jobs/{id}"), &job());
    assert_eq!(response.expect("a response").0, 200);
    entry.wait_state(id, "completed");
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}
