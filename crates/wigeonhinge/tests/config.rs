//! Tests of adopting configurations and of resolving edits.

use compact_str::CompactString;
use rstest::rstest;
use wigeonhinge::config::Adopter;
use wigeonhinge::config::Adoption;
use wigeonhinge::config::Edit;
use wigeonhinge::config::MAX_EDIT_RECORDS;
use wigeonhinge::config::Resolution;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::Fleet;

fn edit(id: &str, base: u64) -> Edit {
    Edit {
        id: CompactString::from(id),
        base,
        author: CompactString::from(format!("author of {id}")),
        reason: CompactString::default(),
        fleet: Fleet::default(),
    }
}

fn chain(ids: &[&str]) -> Config {
    ids.iter().fold(Config::default(), |config, id| {
        edit(id, config.revision)
            .apply(&config, 0)
            .expect("configuration")
    })
}

/// Guards against an entry that returns to an older revision after a stale read of the store.
#[rstest]
#[case::newer(&["a", "b", "c"], 3)]
#[case::older(&["a"], 2)]
#[case::absent(&[], 2)]
fn offer_monotonic(#[case] offered: &[&str], #[case] expected: u64) {
    let mut adopter = Adopter::default();
    adopter.offer(chain(&["a", "b"]));
    adopter.offer(chain(offered));
    assert_eq!(adopter.revision(), expected);
}

/// Guards against replacing the configuration in force by a different edit of the same revision.
#[test]
fn offer_conflict() {
    let mut adopter = Adopter::default();
    adopter.offer(chain(&["a"]));
    assert_eq!(adopter.offer(chain(&["a"])), Adoption::Current);
    let conflict = Adoption::Conflict {
        ours: "a".into(),
        theirs: "b".into(),
    };
    assert_eq!(adopter.offer(chain(&["b"])), conflict);
    assert_eq!(adopter.current().expect("config").edit_id, "a");
}

/// Guards against a wrong outcome for an edit whose answer was lost.
#[rstest]
#[case::accepted(&["a", "me"], Resolution::Accepted(2))]
#[case::accepted_then_others(&["a", "me", "c"], Resolution::Accepted(2))]
#[case::pending(&["a"], Resolution::Pending)]
#[case::stale(&[], Resolution::Pending)]
#[case::raced(&["a", "b"], refused())]
#[case::raced_twice(&["a", "b", "c"], refused())]
fn resolve_cases(#[case] ids: &[&str], #[case] expected: Resolution) {
    assert_eq!(edit("me", 1).resolve(&chain(ids)), expected);
}

fn refused() -> Resolution {
    Resolution::Refused {
        revision: 2,
        author: "author of b".into(),
    }
}

/// Guards against reporting an edit as refused when its record may have been dropped.
#[test]
fn resolve_dropped_record() {
    let mut config = chain(&["me"]);
    for n in 0..MAX_EDIT_RECORDS {
        config = edit(&format!("e{n}"), config.revision)
            .apply(&config, 0)
            .expect("configuration");
    }
    assert_eq!(config.edits.len(), MAX_EDIT_RECORDS);
    assert_eq!(edit("me", 0).resolve(&config), Resolution::Unknown);
}

/// Guards against applying an edit to another base or a second time.
#[test]
fn apply_conflict() {
    assert!(edit("b", 0).apply(&chain(&["a"]), 0).is_err());
    assert!(edit("a", 1).apply(&chain(&["a"]), 0).is_err());
}
