//! Registry entries of other writers that cannot be read or used.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::thread;
use std::time::Duration;

use rstest::rstest;

use entry::Entry;
use site::Site;

const JOB: &str = r#"{"spec":"t","steps":[{"count":4,"cpu":100,"memMb":100,"estimateMs":150}]}"#;

/// Time after which a holder that reaches at most half of its workers has given up its role: 1.5 s
/// until a new worker is expected to answer, 1.5 s of isolation, and the lease of the role.
const ISOLATION_TIME: Duration = Duration::from_secs(5);

/// Returns a registry entry with other fields in place of the usual ones.
fn odd(address: &str, fields: &str) -> String {
    format!(r#"{{"service":"crews","zone":"a","state":"ready","address":"{address}",{fields}}}"#)
}

fn usual(address: &str) -> String {
    odd(address, r#""capacity":{"cpu":4000,"memMb":8000},"born":1"#)
}

fn nested(depth: usize) -> String {
    let labels = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let fields = format!(r#""capacity":{{"cpu":4000}},"labels":{labels}"#);
    odd("127.0.0.1:9", &fields)
}

/// Guards against entries that end, stop following the registry or pass their role around because of one
/// entry that another writer left there.
#[rstest]
#[case::nested(&nested(100_000))]
#[case::unclosed(&nested(100_000)[..90_000])]
#[case::number(&odd("127.0.0.1:9", r#""capacity":{"cpu":1e400},"born":1"#))]
#[case::born(&odd("127.0.0.1:9", r#""capacity":{"cpu":4000},"born":1e300"#))]
#[case::capacity(&odd("127.0.0.1:9", r#""capacity":{"cpu":18446744073709551615},"born":1"#))]
#[case::port(&usual("127.0.0.1:99999"))]
#[case::no_port(&usual("127.0.0.1"))]
#[case::bytes("\u{0}\u{1}\u{ffff}")]
fn registry_odd_entry(#[case] text: &str) {
    let site = Site::spawn(1);
    let mut entries = [
        Entry::spawn(site.store, "e1"),
        Entry::spawn(site.store, "e2"),
    ];
    entries.iter().for_each(Entry::wait_ready);
    entries[0].ask("POST", "/jobs/00000000000000d1", JOB);
    entries[0].wait_state("00000000000000d1", "completed");
    let holder = site.value("wigeonhinge/role/0");
    site.put("servers/odd", text);
    thread::sleep(ISOLATION_TIME);
    assert_eq!(site.value("wigeonhinge/role/0"), holder);
    // A worker that registers after the odd entry gets work as well.
    let row = site.value("servers/i-0").expect("a registry entry");
    site.remove("servers/i-0");
    site.put("servers/i-0", &row);
    entries[1].ask("POST", "/jobs/00000000000000d2", JOB);
    entries[1].wait_state("00000000000000d2", "completed");
    for entry in &mut entries {
        assert!(
            matches!(entry.child.try_wait(), Ok(None)),
            "a process ended"
        );
    }
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
}
