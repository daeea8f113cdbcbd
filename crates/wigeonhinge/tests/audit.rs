//! Tests of the audit log.

use wigeonhinge::audit::Log;
use wigeonhinge::audit::MAX_SLOT_BYTES;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::SLOT_COUNT;

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
        let write = log.prepare_append(&record(n)).expect("write");
        let size = serde_json::to_vec(&write.document).expect("json").len();
        assert!(size <= MAX_SLOT_BYTES + 100, "{size}");
        let version = write.expected_version + 1;
        log.confirm_write(&write, version);
    }
    log
}

/// Guards against a log that grows without bound or returns its records out of order.
#[test]
fn prepare_append_ring() {
    let log = filled(2_000);
    let ids: Vec<&str> = log.records().map(|record| record.id.as_str()).collect();
    assert_eq!(ids[0], "r1999");
    assert!(ids.len() > (SLOT_COUNT - 1) * 50 && ids.len() < 1_000);
    let expected: Vec<String> = (0..ids.len()).map(|n| format!("r{}", 1_999 - n)).collect();
    assert_eq!(ids, expected);
}

/// Guards against appending a record twice after the store's answer was lost.
#[test]
fn prepare_append_duplicate() {
    let mut log = filled(3);
    let write = log.prepare_append(&record(3)).expect("write");
    log.load(write.slot, write.expected_version + 1, write.document);
    assert!(log.prepare_append(&record(3)).is_none());
}

/// Guards against losing the record of another writer after a conflict.
#[test]
fn prepare_append_conflict() {
    let mut mine = filled(3);
    let mut other = filled(3);
    let theirs = other.prepare_append(&record(8)).expect("write");
    let version = theirs.expected_version + 1;
    other.confirm_write(&theirs, version);
    mine.load(theirs.slot, version, theirs.document);
    let write = mine.prepare_append(&record(9)).expect("write");
    assert_eq!(write.expected_version, version);
    assert_eq!(write.document.records.len(), 5);
}
