//! Tests of the daemon as an entry on the users' platform, which is simulated on loopback.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use entry::Entry;
use entry::exchange;
use entry::exchange_with;
use entry::wait;
use rstest::rstest;
use site::Site;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::StateRow;
use wigeonhinge_platform::callers::decode_job;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Outcome;
use wigeonhinge_platform::store::Store;
use wigeonhinged::site::Settings;

const JOB: &str = r#"{"spec":"t","steps":[{"count":3,"cpu":500,"memMb":100,"estimateMs":150},
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}]}"#;

/// A job submitted twice is accepted once, runs its steps in order, and is shown as completed.
#[test]
fn job_completes() {
    let site = Site::spawn(3);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    let id = "00000000000000aa";
    let path = format!("/jobs/{id}");
    assert_eq!(entry.ask("POST", &path, JOB).expect("a response").0, 200);
    assert_eq!(entry.ask("POST", &path, JOB).expect("a response").0, 200);
    entry.wait_state(id, "completed");
    assert_eq!(site.oracle.start_count(), 5);
    let (_, page) = exchange(entry.metrics, "GET", "/metrics", "").expect("a page");
    assert!(page.contains("wigeonhinge.start.done 5"), "{page}");
    assert!(page.contains("wigeonhinge.answer.p99_ms"), "{page}");
}

/// Guards against registry entries of other writers that cannot be read and hide the workers whose
/// entries can.
#[test]
fn registry_bad_entries_others_hold() {
    let site = Site::spawn(3);
    let entries: [(&str, &[u8]); 6] = [
        ("servers/!", b"\x01\xff"),
        ("servers/a b", b""),
        ("servers/c", b"[]"),
        (
            "servers/d",
            br#"{"service":7,"address":"a","state":"ready"}"#,
        ),
        (
            "servers/e",
            br#"{"service":"s","address":"a","state":"asleep","capacity":{"cpu":1}}"#,
        ),
        (
            "servers/~",
            br#"{"service":"s","address":"","state":"ready","capacity":{"cpu":-1}}"#,
        ),
    ];
    let writes = entries.map(|(key, value)| (key.to_owned(), value.to_vec(), 0));
    let commit = Commit {
        writes: writes.to_vec(),
        ..Commit::default()
    };
    let store = Store::new(site.store);
    let outcome = site::runtime::block_on(store.commit(&commit, Duration::from_secs(2)));
    assert!(matches!(outcome, Ok(Outcome::Done(_))), "{outcome:?}");
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    let id = "00000000000000af";
    let response = entry.ask("POST", &format!("/jobs/{id}"), JOB);
    assert_eq!(response.expect("a response").0, 200);
    entry.wait_state(id, "completed");
    assert_eq!(site.oracle.start_count(), 5);
}

/// Guards against accepted jobs that are lost in an upgrade: earlier versions of the codec lack the last
/// fields of a job's row.
#[rstest]
#[case::without_workspace(3, 2)]
#[case::without_transfer(4, 1)]
#[case::current(5, 0)]
fn job_of_earlier_codec_completes(#[case] version: u8, #[case] missing: usize) {
    let site = Site::spawn(3);
    let id = "00000000000000c0";
    let row = JobRow {
        id: id.into(),
        partition: 0,
        queue: "r1".into(),
        pool: "crews".into(),
        accepted_ms: 0,
        job: decode_job(JOB.as_bytes()).expect("a valid job"),
        workspace: "".into(),
        transfer: None,
    };
    // Each missing field is one byte if it is empty.
    let mut row = postcard::to_extend(&row, vec![version]).expect("a row");
    row.truncate(row.len() - missing);
    let state = StateRow {
        queue: "r1".into(),
        ..StateRow::default()
    };
    let state = postcard::to_extend(&state, vec![version]).expect("a row");
    let commit = Commit {
        writes: vec![
            (format!("wigeonhinge-in/0/job/{id}"), row, 0),
            (format!("wigeonhinge-state/{id}"), state, 0),
        ],
        ..Commit::default()
    };
    let store = Store::new(site.store);
    let outcome = site::runtime::block_on(store.commit(&commit, Duration::from_secs(2)));
    assert!(matches!(outcome, Ok(Outcome::Done(_))), "{outcome:?}");
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    entry.wait_state(id, "completed");
    assert_eq!(site.oracle.start_count(), 5);
}

#[rstest]
#[case::unknown_queue("GET", "/other/00000000000000aa", 404)]
#[case::unknown_job("GET", "/jobs/00000000000000ab", 410)]
#[case::cancel_unknown("DELETE", "/jobs/00000000000000ab", 410)]
#[case::waiting("GET", "/jobs/", 200)]
#[case::bad_body("POST", "/jobs/00000000000000ac", 400)]
fn request_status(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    assert_eq!(entry.ask(method, path, "").expect("a response").0, status);
}

/// Guards against a panic or a refusal because a caller's time limit cannot be read or is huge.
#[rstest]
#[case::text("soon")]
#[case::empty("")]
#[case::negative("-1")]
#[case::exponent("1e3")]
#[case::longest("18446744073709551615")]
#[case::too_long("18446744073709551616")]
#[case::twice("3000\r\nX-Deadline-Ms: x")]
fn request_deadline_malformed(#[case] value: &str) {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    let id = "00000000000000af";
    let header = format!("X-Deadline-Ms: {value}\r\n");
    let ask = |method: &str, path: &str, body: &str| {
        let answer = exchange_with(entry.callers, (method, path), body, &header);
        answer.expect("a response").0
    };
    assert_eq!(ask("POST", &format!("/jobs/{id}"), JOB), 200);
    assert_eq!(ask("GET", &format!("/jobs/{id}"), ""), 200);
    assert_eq!(ask("DELETE", "/jobs/00000000000000ff", ""), 410);
    entry.wait_state(id, "completed");
}

/// Guards against an entry that ends, or forgets other jobs, because a row in the store cannot be
/// read.
#[rstest]
#[case::empty("")]
#[case::other_version("\u{1}abc")]
#[case::short("\u{2}")]
#[case::long_text("\u{2}\u{7f}\u{7f}\u{7f}\u{7f}\u{7f}")]
#[case::json("{}")]
#[case::no_object("[[[")]
fn rows_malformed_others_hold(#[case] value: &str) {
    let keys = [
        "wigeonhinge-in/0/job/00000000000000b0",
        "wigeonhinge-in/0/cancel/00000000000000b0",
        "wigeonhinge-in/0/cancel/",
        "wigeonhinge-runs/0/00000000000000b1",
        "wigeonhinge-state/00000000000000b1",
        "wigeonhinge-orders/0",
        "wigeonhinge-load/0",
        "wigeonhinge-wave/0/1",
        "wigeonhinge-wave/0/x",
        "wigeonhinge/wave/1",
        "wigeonhinge/rack/r1",
        "wigeonhinge/layout",
        "op/wave/1",
    ];
    let site = Site::spawn(1);
    let put = || keys.iter().for_each(|key| site.put(key, value));
    put();
    let mut entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    for id in ["00000000000000b2", "00000000000000b3"] {
        let response = entry.ask("POST", &format!("/jobs/{id}"), JOB);
        assert_eq!(response.expect("a response").0, 200);
        entry.wait_state(id, "completed");
        // The second job is handled after the rows were watched.
        put();
    }
    let unknown = entry.ask("GET", "/jobs/00000000000000b1", "");
    assert_ne!(unknown.expect("a response").0, 200);
    assert!(
        matches!(entry.child.try_wait(), Ok(None)),
        "the entry ended"
    );
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}

/// Guards against settings of which a time is computed that no type holds.
#[rstest]
#[case::orders("\"machine_orders\": 1e-300,", "machine_orders")]
#[case::no_orders("\"machine_orders\": 0,", "machine_orders")]
#[case::link("\"link_mbps\": 1e-300,", "link_mbps")]
#[case::fast_link("\"link_mbps\": 1e300,", "link_mbps")]
#[case::cores("\"cores\": 1e-300,", "cores")]
#[case::negative("\"cores\": -1,", "cores")]
#[case::memory("\"memory_mb\": 15,", "memory_mb")]
#[case::descriptors("\"descriptors\": 127,", "descriptors")]
#[case::head_time("\"head_ms\": 0,", "head_ms")]
#[case::body_time("\"body_ms\": 1e300,", "invalid settings file")]
#[case::idle_time("\"idle_ms\": 99,", "idle_ms")]
#[case::text("\"cores\": \"x\",", "invalid settings file")]
#[case::infinite("\"cores\": 1e400,", "invalid settings file")]
#[case::address("\"machines\": \"here:1\",", "invalid settings file")]
fn settings_malformed(#[case] more: &str, #[case] reason: &str) {
    let store = "127.0.0.1:1".parse().expect("an address");
    let entry = Entry::spawn_with(store, "e1", more);
    let error = Settings::open(&entry.file).expect_err("invalid settings");
    let text = format!("{error:#}");
    assert!(text.contains(reason), "{text}");
}

/// If the response to the write of a job is lost although the write was executed, the job is
/// accepted, and its tasks run once.
#[test]
fn submit_lost_response() {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    thread::sleep(Duration::from_millis(800));
    site.faults.lost_responses.store(1, Ordering::SeqCst);
    let id = "00000000000000ad";
    let response = entry.ask("POST", &format!("/jobs/{id}"), JOB);
    assert_eq!(response.expect("a response").0, 200);
    entry.wait_state(id, "completed");
    assert_eq!(site.oracle.start_count(), 5);
}

/// While the store is down, a job is refused promptly and with `Retry-After`, and never runs.
#[test]
fn submit_store_down() {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    site.faults.down.store(true, Ordering::SeqCst);
    let started = Instant::now();
    let response = entry.ask("POST", "/jobs/00000000000000ae", JOB);
    let (status, text) = response.expect("a response");
    assert_eq!(status, 503);
    assert!(text.to_lowercase().contains("retry-after: 1"), "{text}");
    assert!(started.elapsed() < Duration::from_millis(500));
    site.faults.down.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(site.oracle.start_count(), 0);
}

/// After the role holder is killed, another entry completes the jobs, and no task has two
/// concurrent runs.
#[test]
fn takeover_after_kill() {
    let site = Site::spawn(3);
    let mut entries: Vec<Entry> = (0..3)
        .map(|index| Entry::spawn(site.store, &format!("e{index}")))
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    wait("an entry holds the role", || {
        site.value("wigeonhinge/role/0").is_some()
    });
    let ids: Vec<String> = (0..6)
        .map(|index| format!("00000000000001{index:02}"))
        .collect();
    for id in &ids {
        let response = entries[0].ask("POST", &format!("/jobs/{id}"), JOB);
        assert_eq!(response.expect("a response").0, 200);
    }
    // On a busy machine the lease may end, and another entry then acquires the role shortly.
    let mut role = String::new();
    wait("an entry holds the role", || {
        role = site.value("wigeonhinge/role/0").unwrap_or_default();
        !role.is_empty()
    });
    let holder = entries.iter().position(|entry| {
        let name = entry.file.file_stem().and_then(|it| it.to_str());
        name.and_then(|it| it.rsplit('-').next())
            .is_some_and(|name| role.contains(&format!("\"{name}\"")))
    });
    drop(entries.remove(holder.expect("the holder is one of the entries")));
    for id in &ids {
        entries[0].wait_state(id, "completed");
    }
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}

/// A configuration with a lower version never replaces the one in force.
#[test]
fn configuration_never_reverts() {
    let site = Site::spawn(1);
    let entry = Entry::spawn(site.store, "e1");
    entry.wait_ready();
    let config = site.value("op/config").expect("a configuration");
    site.put(
        "op/config",
        &config
            .replace("/jobs/", "/tasks/")
            .replace("\"version\":1", "\"version\":5"),
    );
    wait("the new queue is in force", || {
        entry
            .ask("GET", "/tasks/", "")
            .is_some_and(|it| it.0 == 200)
    });
    site.put("op/config", &config);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(entry.ask("GET", "/tasks/", "").expect("a response").0, 200);
    assert_eq!(entry.ask("GET", "/jobs/", "").expect("a response").0, 404);
}
