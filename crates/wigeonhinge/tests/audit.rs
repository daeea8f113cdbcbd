//! Tests of the audit trail.

use wigeonhinge::audit::Log;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::SLOT_BYTES;
use wigeonhinge::audit::SLOTS;

fn record(n: usize) -> Record {
    Record {
        id: format!("r{n}"),
        reason: "x".repeat(5_000),
        ..Record::default()
    }
}

fn filled(count: usize) -> Log {
    let mut log = Log::default();
    for n in 0..count {
        let write = log.push(&record(n)).expect("write");
        let size = serde_json::to_vec(&write.document).expect("json").len();
        assert!(size <= SLOT_BYTES + 100, "{size}");
        let version = write.expect + 1;
        log.written(&write, version);
    }
    log
}

/// Guards against a trail that grows without bound or loses its order.
#[test]
fn push_ring() {
    let log = filled(2_000);
    let ids: Vec<&str> = log.records().map(|record| record.id.as_str()).collect();
    assert_eq!(ids[0], "r1999");
    assert!(ids.len() > (SLOTS - 1) * 50 && ids.len() < 1_000);
    let expected: Vec<String> = (0..ids.len()).map(|n| format!("r{}", 1_999 - n)).collect();
    assert_eq!(ids, expected);
}

/// Guards against a record that is added twice after its answer was lost.
#[test]
fn push_again() {
    let mut log = filled(3);
    let write = log.push(&record(3)).expect("write");
    log.load(write.slot, write.expect + 1, write.document);
    assert!(log.push(&record(3)).is_none());
}

/// Guards against losing the record of another writer after a conflict.
#[test]
fn push_conflict() {
    let mut mine = filled(3);
    let mut other = filled(3);
    let theirs = other.push(&record(8)).expect("write");
    let version = theirs.expect + 1;
    other.written(&theirs, version);
    mine.load(theirs.slot, version, theirs.document);
    let write = mine.push(&record(9)).expect("write");
    assert_eq!(write.expect, version);
    assert_eq!(write.document.records.len(), 5);
}
