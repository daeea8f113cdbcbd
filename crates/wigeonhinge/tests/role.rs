//! Tests of the order of candidates for a role.

use std::collections::BTreeMap;
use std::time::Duration;

use wigeonhinge::id::EntryId;
use wigeonhinge::role::CANDIDATE_INTERVAL;
use wigeonhinge::role::delay;
use wigeonhinge::role::rank;

fn entries(count: usize) -> Vec<EntryId> {
    (0..count)
        .map(|n| EntryId::from(format!("entry-{n}")))
        .collect()
}

/// Guards against entries that compute different orders.
#[test]
fn rank_order() {
    let forward = entries(8);
    let backward: Vec<EntryId> = forward.iter().rev().cloned().collect();
    assert_eq!(
        rank(&forward, "fleet/north"),
        rank(&backward, "fleet/north")
    );
}

/// Guards against a hash that makes one entry the first candidate for most roles.
#[test]
fn rank_spread() {
    let all = entries(16);
    let mut firsts: BTreeMap<EntryId, u32> = BTreeMap::new();
    for role in 0..1600 {
        let first = rank(&all, &format!("jobs/pool-{role}")).swap_remove(0);
        *firsts.entry(first).or_default() += 1;
    }
    assert_eq!(firsts.len(), 16);
    assert!(
        firsts.values().all(|count| (50..200).contains(count)),
        "{firsts:?}"
    );
}

/// Guards against candidates that try to acquire a role at the same time.
#[test]
fn delay_steps() {
    let all = entries(3);
    let mut delays: Vec<_> = all.iter().map(|own| delay(&all, "r", own)).collect();
    delays.sort();
    assert_eq!(
        delays,
        [
            Some(Duration::ZERO),
            Some(CANDIDATE_INTERVAL),
            Some(CANDIDATE_INTERVAL * 2)
        ]
    );
    assert_eq!(delay(&all, "r", &EntryId::from("other")), None);
}
